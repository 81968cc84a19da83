//! Loans of GPUs: services claim GPUs from jobs of other teams and return them, under all kinds of faults.

use crate::*;
use hazelsaddle_gpu_lending::ledger::{Ledger, Loan, LoanState as LoanStanding};

/// Two machines without GPUs and eight with four each. Each zone is full, so that no machine can be rented.
pub(super) const GPUS: Shape = Shape { machines: 2, gpus: 8, zone_capacity: 5, teams: 4, jobs: 0, ..SMALL };

/// Loans that were observed in one run.
#[derive(Default)]
pub(super) struct Observed {
    loans: BTreeMap<u64, Loan>,
    lenders: BTreeSet<String>,
    max_replicas: u32,
    ended: usize,
    history: Vec<String>,
    /// Seconds from the end of the service until its machines were in use again.
    reused_after_s: Option<u64>,
}

impl Observed {
    /// Whether GPUs were lent and replicas ran on them.
    pub(super) fn lent(&self) -> bool {
        !self.lenders.is_empty() && self.max_replicas > 0
    }
}

pub(super) struct GpuJob<'a> {
    pub(super) n: u32,
    pub(super) team: &'a str,
    pub(super) kind: &'a str,
    pub(super) priority: &'a str,
    pub(super) tasks: u32,
    pub(super) gpus: u32,
    pub(super) run: u64,
}

pub(super) fn add_job(w: &mut World, job: &GpuJob) -> String {
    let id = format!("wk-{:06}", job.n);
    let class = if job.kind == "service" { "serve" } else { "train" };
    let body = json!({"uid": id, "breed": class, "herd": job.team, "gait": job.kind, "rank": job.priority, "strides": job.tasks,
        "vcpus": f64::from(job.gpus), "cards": f64::from(job.gpus), "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
        "together": false, "scatter": false, "borrowed": false, "rideS": if job.kind == "service" { 0.0 } else { 60.0 },
        "restS": if job.kind == "group" { 10.0 } else { 0.0 }, "unsaddleS": 2.0, "dueS": null});
    w.add_described_job(&body, job.run);
    id
}

fn ledgers(w: &World) -> Vec<(String, Ledger)> {
    let read = |(k, v): (&String, &(Value, u64, Option<u64>))| {
        let team = k.strip_prefix("pact/l/")?.to_owned();
        Some((team, Ledger::read(&v.0["body"]).expect("a ledger")))
    };
    w.store.keys.iter().filter_map(read).collect()
}

/// Advances the time in steps of a second and checks the ledgers after each.
fn run_and_check(w: &mut World, observed: &mut Observed, faults_until: u64, end: u64) {
    while w.now < end {
        let next = w.now + S;
        w.run(faults_until, next);
        for (team, ledger) in ledgers(w) {
            let mut now = BTreeSet::new();
            for loan in &ledger.loans {
                assert_ne!(loan.lender, team, "a team doesn't lend to itself");
                assert!(loan.from != loan.job && loan.gpus > 0);
                now.insert(loan.id);
                observed.lenders.insert(loan.lender.clone());
                let previous = observed.loans.insert(loan.id, loan.clone());
                if previous.as_ref().is_none_or(|o| o.state != loan.state) {
                    let (at, from) = (w.now / S, &loan.from);
                    observed.history.push(format!(
                        "{at}: {} {:?} {from} on {} for {}",
                        loan.id, loan.state, loan.machine, loan.replicas
                    ));
                }
                if let Some(previous) = previous {
                    assert!(previous.state <= loan.state, "the state went back: {previous:?} {loan:?}");
                    assert_eq!(
                        (&previous.machine, &previous.from, &previous.tasks),
                        (&loan.machine, &loan.from, &loan.tasks)
                    );
                }
            }
            for job in ledger.loans.iter().map(|l| &l.job).collect::<BTreeSet<_>>() {
                let live =
                    ledger.loans.iter().filter(|l| l.job == *job && l.state != LoanStanding::Returning);
                let n: u32 = live.map(|l| l.replicas).sum();
                observed.max_replicas = observed.max_replicas.max(n);
                let task_count = w.jobs[job].spec.task_count;
                assert!(
                    n <= task_count,
                    "claimed more than needed: {n} replicas of {job} in {:#?}",
                    ledger.loans
                );
            }
            // Loan IDs are unique within a ledger, and only one team borrows here.
            let ended_loans: Vec<u64> =
                observed.loans.keys().filter(|id| !now.contains(id)).copied().collect();
            observed.ended += ended_loans.len();
            ended_loans.iter().for_each(|id| drop(observed.loans.remove(id)));
        }
    }
}

fn running_replicas(w: &World, id: &str) -> usize {
    let tasks = w.workers.iter().filter(|x| !x.gone && !x.dead).flat_map(|x| &x.tasks);
    tasks.filter(|t| t.job == id && t.state == "running").count()
}

/// t0 fills all GPUs, t2 runs within its guarantee, then t1 starts a service on eight GPUs within its guarantee.
fn play_gpu_loans(seed: u64, gang: bool, faults_until: u64) -> (World, Observed, usize) {
    play_gpu_loans_in(World::new(seed, GPUS), seed, gang, faults_until)
}

pub(super) fn play_gpu_loans_in(
    mut w: World,
    seed: u64,
    gang: bool,
    faults_until: u64,
) -> (World, Observed, usize) {
    let mut observed = Observed::default();
    add_job(
        &mut w,
        &GpuJob { n: 1, team: "t2", kind: "batch", priority: "normal", tasks: 2, gpus: 2, run: 400 * S },
    );
    run_and_check(&mut w, &mut observed, 0, 25 * S);
    let kind = if gang { "group" } else { "batch" };
    for n in 2..if gang { 16 } else { 32 } {
        let (tasks, gpus) = if gang { (2, 4) } else { (4, 1) };
        let run = if gang { 90 * S } else { 120 * S };
        add_job(&mut w, &GpuJob { n, team: "t0", kind, priority: "normal", tasks, gpus, run });
    }
    run_and_check(&mut w, &mut observed, 0, 60 * S);
    let job =
        GpuJob { n: 50, team: "t1", kind: "service", priority: "normal", tasks: 2, gpus: 4, run: NEVER };
    let service = add_job(&mut w, &job);
    run_and_check(&mut w, &mut observed, faults_until, 100 * S);
    let served = running_replicas(&w, &service);
    run_and_check(&mut w, &mut observed, faults_until, 250 * S);
    w.jobs.get_mut(&service).expect("added").cancel_asked = true;
    let is_running =
        |w: &World| w.workers.iter().flat_map(|x| &x.tasks).any(|t| t.job == service && t.is_placed());
    let mut stopped_at = None;
    while w.now < 300 * S {
        let next = w.now + S;
        run_and_check(&mut w, &mut observed, faults_until, next);
        if !is_running(&w) {
            let since = *stopped_at.get_or_insert(w.now);
            // Every machine is in use by the lenders again. A gang waits for more than one machine.
            let idle = w
                .workers
                .iter()
                .filter(|x| x.kind == "gpu" && x.tasks.iter().all(|t| !t.is_placed()))
                .count();
            if faults_until == 0 && !gang && idle > 0 {
                assert!(w.now <= since + 30 * S, "seed {seed}: {idle} machines idle {:#?}", observed.history);
            } else {
                observed.reused_after_s.get_or_insert((w.now - since) / S);
            }
        }
    }
    run_and_check(&mut w, &mut observed, 0, 900 * S);
    (w, observed, served)
}

fn check_lent(seed: u64, w: &World, observed: &Observed) {
    check_loans(seed, w, observed);
    assert!(observed.lent(), "seed {seed}: nothing was lent {:#?}", w.log);
}

/// Checks what must hold whether or not GPUs were lent.
pub(super) fn check_loans(seed: u64, w: &World, observed: &Observed) {
    assert!(!observed.lenders.contains("t2"), "seed {seed}: GPUs within the lender's guarantee were lent");
    for (team, l) in ledgers(w) {
        assert!(
            l.loans.is_empty(),
            "seed {seed}: loans in the ledger of {team} never end: {:#?} {:#?}",
            l.loans,
            w.log
        );
    }
    assert!(observed.ended > 0 || !observed.lent(), "seed {seed}: no loan ended");
    assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
}

/// Without faults replicas run within 40 s, arrays lend as many GPUs as needed and no more, and all are returned.
#[test]
fn a_service_borrows_gpus_of_arrays_and_returns_them() {
    for seed in 0..4 {
        let (w, observed, served) = play_gpu_loans(seed, false, 0);
        check_lent(seed, &w, &observed);
        assert!(observed.reused_after_s.is_some(), "seed {seed}");
        assert_eq!(served, 2, "seed {seed}: {:#?}", observed.history);
    }
}

/// Gangs are stopped as a whole by commands: no task ends because it lost its peers.
#[test]
fn a_service_claims_whole_gangs() {
    for seed in 10..14 {
        let (w, observed, served) = play_gpu_loans(seed, true, 0);
        check_lent(seed, &w, &observed);
        assert_eq!(served, 2, "seed {seed}: {:#?}", observed.history);
        assert_eq!(w.peer_failures, 0, "seed {seed}: gang tasks that ended because they lost their peers");
    }
}

/// A lender has a job within its guarantee and no free GPUs: the service, which exceeds its own guarantee, returns as many as
/// needed.
#[test]
fn a_lender_that_is_short_gets_its_gpus_back() {
    for seed in 40..44 {
        let mut w = World::new(seed, GPUS);
        let mut observed = Observed::default();
        let job = |n, team, tasks, gpus| GpuJob {
            n,
            team,
            kind: "batch",
            priority: "normal",
            tasks,
            gpus,
            run: 400 * S,
        };
        add_job(&mut w, &job(1, "t2", 2, 2));
        run_and_check(&mut w, &mut observed, 0, 25 * S);
        let batch_job = add_job(&mut w, &job(2, "t0", 28, 1));
        run_and_check(&mut w, &mut observed, 0, 60 * S);
        let service_job =
            GpuJob { n: 3, team: "t1", kind: "service", priority: "high", tasks: 4, gpus: 4, run: NEVER };
        let service = add_job(&mut w, &service_job);
        run_and_check(&mut w, &mut observed, 0, 100 * S);
        assert_eq!(running_replicas(&w, &service), 4, "seed {seed}: {:#?}", observed.history);
        add_job(&mut w, &job(4, "t3", 8, 1));
        add_job(&mut w, &job(5, "t2", 2, 2));
        run_and_check(&mut w, &mut observed, 0, 150 * S);
        w.jobs.get_mut(&batch_job).expect("added").cancel_asked = true;
        run_and_check(&mut w, &mut observed, 0, 190 * S);
        let lender_job = add_job(&mut w, &job(6, "t0", 2, 4));
        let (since, ended) = (w.now, observed.ended);
        while running_replicas(&w, &lender_job) < 2 && w.now < since + 60 * S {
            let next = w.now + S;
            run_and_check(&mut w, &mut observed, 0, next);
        }
        let elapsed_s = (w.now - since) / S;
        assert!(elapsed_s <= 30, "seed {seed}: after {elapsed_s} s {:#?}", observed.history);
        run_and_check(&mut w, &mut observed, 0, since + 60 * S);
        assert!(observed.ended > ended, "seed {seed}: {:#?}", observed.history);
        assert!(running_replicas(&w, &service) > 0, "seed {seed}: {:#?}", observed.history);
    }
}

#[test]
fn invariants_of_loans_hold_under_all_faults() {
    let mut lent = 0;
    for seed in 20..36 {
        let (w, observed, _) = play_gpu_loans(seed, seed % 2 == 0, 300 * S);
        check_loans(seed, &w, &observed);
        lent += u32::from(observed.lent());
    }
    // If faults have left the lender's gang without machines, there is nothing to lend.
    assert!(lent >= 14, "GPUs were lent in {lent} of 16 runs");
}
