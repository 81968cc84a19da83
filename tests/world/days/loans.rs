//! Days with GPUs: serving takes them from other teams' work and gives them back, whatever fails.

use crate::*;
use hazelsaddle_gpu_lending::ledger::{Ledger, Loan, LoanState as LoanStanding};

/// Two machines without GPUs and eight of four; each zone is full, so that nothing can be rented.
pub(super) const GPUS: Shape = Shape { machines: 2, gpus: 8, zone_capacity: 5, teams: 4, jobs: 0, ..SMALL };

/// What a day has seen of loans.
#[derive(Default)]
pub(super) struct Seen {
    loans: BTreeMap<u64, Loan>,
    lenders: BTreeSet<String>,
    most: u32,
    ended: usize,
    story: Vec<String>,
    /// Seconds from the end of serving until its machines were in use again.
    back: Option<u64>,
}

impl Seen {
    /// Whether something was lent, and serving ran on it.
    pub(super) fn lent(&self) -> bool {
        !self.lenders.is_empty() && self.most > 0
    }
}

pub(super) struct Ask<'a> {
    pub(super) n: u32,
    pub(super) team: &'a str,
    pub(super) gait: &'a str,
    pub(super) rank: &'a str,
    pub(super) tasks: u32,
    pub(super) gpus: u32,
    pub(super) run: u64,
}

pub(super) fn add(w: &mut World, a: &Ask) -> String {
    let id = format!("wk-{:06}", a.n);
    let class = if a.gait == "service" { "serve" } else { "train" };
    let body = json!({"uid": id, "breed": class, "herd": a.team, "gait": a.gait, "rank": a.rank, "strides": a.tasks,
        "vcpus": f64::from(a.gpus), "cards": f64::from(a.gpus), "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
        "together": false, "scatter": false, "borrowed": false, "rideS": if a.gait == "service" { 0.0 } else { 60.0 },
        "restS": if a.gait == "group" { 10.0 } else { 0.0 }, "unsaddleS": 2.0, "dueS": null});
    w.add_described_job(&body, a.run);
    id
}

fn ledgers(w: &World) -> Vec<(String, Ledger)> {
    let read = |(k, v): (&String, &(Value, u64, Option<u64>))| {
        let team = k.strip_prefix("pact/l/")?.to_owned();
        Some((team, Ledger::read(&v.0["body"]).expect("a ledger")))
    };
    w.store.keys.iter().filter_map(read).collect()
}

/// Lets time go on, a second at a time, and looks at the ledgers after each.
fn look(w: &mut World, seen: &mut Seen, troubles: u64, end: u64) {
    while w.now < end {
        let next = w.now + S;
        w.run(troubles, next);
        for (team, ledger) in ledgers(w) {
            let mut now = BTreeSet::new();
            for l in &ledger.loans {
                assert_ne!(l.lender, team, "a team doesn't lend to itself");
                assert!(l.from != l.job && l.gpus > 0);
                now.insert(l.id);
                seen.lenders.insert(l.lender.clone());
                let was = seen.loans.insert(l.id, l.clone());
                if was.as_ref().is_none_or(|o| o.state != l.state) {
                    let (at, from) = (w.now / S, &l.from);
                    seen.story.push(format!(
                        "{at}: {} {:?} {from} on {} for {}",
                        l.id, l.state, l.machine, l.replicas
                    ));
                }
                if let Some(was) = was {
                    assert!(was.state <= l.state, "it went back: {was:?} {l:?}");
                    assert_eq!((&was.machine, &was.from, &was.tasks), (&l.machine, &l.from, &l.tasks));
                }
            }
            for job in ledger.loans.iter().map(|l| &l.job).collect::<BTreeSet<_>>() {
                let live =
                    ledger.loans.iter().filter(|l| l.job == *job && l.state != LoanStanding::Returning);
                let n: u32 = live.map(|l| l.replicas).sum();
                seen.most = seen.most.max(n);
                let all = w.jobs[job].spec.task_count;
                assert!(n <= all, "taken in vain: {n} replicas of {job} in {:#?}", ledger.loans);
            }
            // Numbers are used once in a ledger; here one team borrows.
            let gone: Vec<u64> = seen.loans.keys().filter(|id| !now.contains(id)).copied().collect();
            seen.ended += gone.len();
            gone.iter().for_each(|id| drop(seen.loans.remove(id)));
        }
    }
}

fn serving(w: &World, id: &str) -> usize {
    let tasks = w.workers.iter().filter(|x| !x.gone && !x.dead).flat_map(|x| &x.tasks);
    tasks.filter(|t| t.job == id && t.state == "running").count()
}

/// t0 fills all GPUs, t2 runs within its guarantee, then t1 serves: eight GPUs within its guarantee.
fn gpu_day(seed: u64, gang: bool, troubles: u64) -> (World, Seen, usize) {
    gpu_day_in(World::new(seed, GPUS), seed, gang, troubles)
}

pub(super) fn gpu_day_in(mut w: World, seed: u64, gang: bool, troubles: u64) -> (World, Seen, usize) {
    let mut seen = Seen::default();
    add(&mut w, &Ask { n: 1, team: "t2", gait: "batch", rank: "normal", tasks: 2, gpus: 2, run: 400 * S });
    look(&mut w, &mut seen, 0, 25 * S);
    let gait = if gang { "group" } else { "batch" };
    for n in 2..if gang { 16 } else { 32 } {
        let (tasks, gpus) = if gang { (2, 4) } else { (4, 1) };
        let run = if gang { 90 * S } else { 120 * S };
        add(&mut w, &Ask { n, team: "t0", gait, rank: "normal", tasks, gpus, run });
    }
    look(&mut w, &mut seen, 0, 60 * S);
    let ask = Ask { n: 50, team: "t1", gait: "service", rank: "normal", tasks: 2, gpus: 4, run: NEVER };
    let service = add(&mut w, &ask);
    look(&mut w, &mut seen, troubles, 100 * S);
    let served = serving(&w, &service);
    look(&mut w, &mut seen, troubles, 250 * S);
    w.jobs.get_mut(&service).expect("added").cancel_asked = true;
    let on = |w: &World| w.workers.iter().flat_map(|x| &x.tasks).any(|t| t.job == service && t.is_placed());
    let mut free = None;
    while w.now < 300 * S {
        let next = w.now + S;
        look(&mut w, &mut seen, troubles, next);
        if !on(&w) {
            let since = *free.get_or_insert(w.now);
            // Every machine is in use again, by those that lent. A gang waits for more than one machine.
            let idle = w
                .workers
                .iter()
                .filter(|x| x.kind == "gpu" && x.tasks.iter().all(|t| !t.is_placed()))
                .count();
            if troubles == 0 && !gang && idle > 0 {
                assert!(w.now <= since + 30 * S, "seed {seed}: {idle} machines idle {:#?}", seen.story);
            } else {
                seen.back.get_or_insert((w.now - since) / S);
            }
        }
    }
    look(&mut w, &mut seen, 0, 900 * S);
    (w, seen, served)
}

fn holds(seed: u64, w: &World, seen: &Seen) {
    kept(seed, w, seen);
    assert!(seen.lent(), "seed {seed}: nothing was taken {:#?}", w.log);
}

/// What must be true whether or not anything was lent.
pub(super) fn kept(seed: u64, w: &World, seen: &Seen) {
    assert!(!seen.lenders.contains("t2"), "seed {seed}: what is within its guarantee was lent");
    for (team, l) in ledgers(w) {
        assert!(l.loans.is_empty(), "seed {seed}: lent for ever by {team}: {:#?} {:#?}", l.loans, w.log);
    }
    assert!(seen.ended > 0 || !seen.lent(), "seed {seed}: what was lent never ended");
    assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
}

/// Without troubles replicas stand within 40 s, arrays give what is needed and no more, and all is given back.
#[test]
fn serving_takes_from_arrays_and_gives_back() {
    for seed in 0..4 {
        let (w, seen, served) = gpu_day(seed, false, 0);
        holds(seed, &w, &seen);
        assert!(seen.back.is_some(), "seed {seed}");
        assert_eq!(served, 2, "seed {seed}: {:#?}", seen.story);
    }
}

/// Gangs are stopped whole, by command: no task is left to find out that its gang is gone.
#[test]
fn serving_takes_whole_gangs() {
    for seed in 10..14 {
        let (w, seen, served) = gpu_day(seed, true, 0);
        holds(seed, &w, &seen);
        assert_eq!(served, 2, "seed {seed}: {:#?}", seen.story);
        assert_eq!(w.peer_failures, 0, "seed {seed}: gang tasks that ended for want of their peers");
    }
}

/// A lender whose work lies within its guarantee finds no room: serving beyond its own gives back what it needs.
#[test]
fn a_lender_that_is_short_gets_its_gpus_back() {
    for seed in 40..44 {
        let mut w = World::new(seed, GPUS);
        let mut seen = Seen::default();
        let ask =
            |n, team, tasks, gpus| Ask { n, team, gait: "batch", rank: "normal", tasks, gpus, run: 400 * S };
        add(&mut w, &ask(1, "t2", 2, 2));
        look(&mut w, &mut seen, 0, 25 * S);
        let a = add(&mut w, &ask(2, "t0", 28, 1));
        look(&mut w, &mut seen, 0, 60 * S);
        let all = Ask { n: 3, team: "t1", gait: "service", rank: "high", tasks: 4, gpus: 4, run: NEVER };
        let service = add(&mut w, &all);
        look(&mut w, &mut seen, 0, 100 * S);
        assert_eq!(serving(&w, &service), 4, "seed {seed}: {:#?}", seen.story);
        add(&mut w, &ask(4, "t3", 8, 1));
        add(&mut w, &ask(5, "t2", 2, 2));
        look(&mut w, &mut seen, 0, 150 * S);
        w.jobs.get_mut(&a).expect("added").cancel_asked = true;
        look(&mut w, &mut seen, 0, 190 * S);
        let b = add(&mut w, &ask(6, "t0", 2, 4));
        let (since, ended) = (w.now, seen.ended);
        while serving(&w, &b) < 2 && w.now < since + 60 * S {
            let next = w.now + S;
            look(&mut w, &mut seen, 0, next);
        }
        let after = (w.now - since) / S;
        assert!(after <= 30, "seed {seed}: after {after} s {:#?}", seen.story);
        look(&mut w, &mut seen, 0, since + 60 * S);
        assert!(seen.ended > ended, "seed {seed}: {:#?}", seen.story);
        assert!(serving(&w, &service) > 0, "seed {seed}: {:#?}", seen.story);
    }
}

#[test]
fn loans_hold_under_all_troubles() {
    let mut lent = 0;
    for seed in 20..36 {
        let (w, seen, _) = gpu_day(seed, seed % 2 == 0, 300 * S);
        kept(seed, &w, &seen);
        lent += u32::from(seen.lent());
    }
    // Where troubles have left the lender's gang without machines, there is nothing to take.
    assert!(lent >= 14, "of 16 days something was lent on {lent}");
}
