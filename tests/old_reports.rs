//! One worker and a succession of machine leaders, with copies of old heartbeats, lost responses to heartbeats that
//! arrived, delayed direct messages, and leaders that start without state. A task that a machine leader reports as
//! absent from the machine is absent.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::machine_shard::{
    Heartbeat, HeartbeatOutcome, HeartbeatResponse, HeartbeatTask, MachineRecord, MachineShard,
};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::*;
use hazelsaddle::units::{Micros, Resources};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

const ROOM: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };
const LEASE: u64 = 18_000;
const STEP: u64 = 100;

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c1\"\n\
        addr = \"10.0.0.2:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\n\
        report_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\n\
        rps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// A worker that follows the protocol. Times are in milliseconds.
struct Worker {
    machine: String,
    incarnation: u64,
    seq: u64,
    token: u64,
    /// Tasks by attempt, and whether each has ended.
    tasks: BTreeMap<u64, bool>,
    /// The time at which the last answered heartbeat was sent, or at which the incarnation began.
    lease_renewed_at: u64,
    in_flight: Option<(u64, u64)>,
    next_heartbeat_at: u64,
    started_attempts: BTreeSet<u64>,
}

impl Worker {
    fn next_heartbeat(&mut self, job: &str) -> Heartbeat {
        self.seq += 1;
        let task = |(attempt, ended): (&u64, &bool)| HeartbeatTask {
            task: format!("{job}/0"),
            attempt: *attempt,
            state: if *ended { "ended" } else { "running" }.into(),
            cause: ended.then(|| "error".into()),
            saved: None,
        };
        Heartbeat {
            machine: self.machine.clone(),
            addr: "10.0.0.5:1".into(),
            machine_type: "k".into(),
            zone: "z".into(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.seq,
            token: self.token,
            time_to_termination_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
    fn advance(&mut self, now: u64) {
        if now >= self.lease_renewed_at + LEASE {
            self.tasks.clear();
            (self.incarnation, self.lease_renewed_at) = (self.incarnation + 1, now);
        }
        if self.in_flight.is_some_and(|(_, sent)| now >= sent + 4000) {
            (self.in_flight, self.next_heartbeat_at) = (None, now + 1000);
        }
    }
    fn handle_response(&mut self, now: u64, response: &Response) {
        if self.in_flight != Some((response.seq, response.sent)) {
            return;
        }
        (self.in_flight, self.next_heartbeat_at) = (None, now + 2500);
        let Some(body) = &response.body else { return };
        if body.token < self.token || response.incarnation != self.incarnation {
            return;
        }
        (self.token, self.lease_renewed_at) = (body.token, response.sent);
        for command in &body.commands {
            let attempt = command.task().attempt;
            match command.verb() {
                "run" if !self.tasks.contains_key(&attempt) => {
                    assert!(self.started_attempts.insert(attempt), "attempt {attempt} is started twice");
                    self.tasks.insert(attempt, false);
                }
                "kill" => _ = self.tasks.insert(attempt, true),
                "forget" => _ = self.tasks.remove(&attempt),
                _ => {}
            }
        }
    }
}

#[derive(Clone)]
struct Response {
    incarnation: u64,
    seq: u64,
    sent: u64,
    body: Option<HeartbeatResponse>,
}

enum Delivery {
    Heartbeat(Heartbeat, Option<u64>),
    Response(Response),
    FencingProbe(u64, u64),
    ProbeAnswer(Heartbeat),
}

/// The machine leader of one epoch, with the attempts that the job leader wants.
struct LeaderTerm {
    membership: Membership,
    machine_shard: MachineShard,
    began_at_ms: u64,
    revision: u64,
    start_count: u64,
}

/// Runs until `until`. The worker receives nothing during the spans in `deaf`, in milliseconds. `look` is called with
/// the state after each step.
fn simulate(
    seed: u64,
    deaf_spans: &[(u64, u64)],
    until: u64,
    mut inspect: impl FnMut(u64, &LeaderTerm, &MachineStatus),
) -> Worker {
    let mut rng = StdRng::seed_from_u64(seed);
    let config = settings();
    let mut membership = Membership::new(&config, 1);
    let record = |epoch| EpochRecord { epoch, members: vec![("c0".into(), epoch), ("c1".into(), 1)] };
    membership.adopt_epoch(at(1), &record(7), 7);
    let find_led_name = |p: &str, of: &dyn Fn(&str) -> Option<usize>| {
        (0..).map(|i| format!("{p}-{i:06}")).find(|n| of(n) == Some(0)).expect("one of many")
    };
    let (machine, job) = (
        find_led_name("i", &|n| membership.machine_leader(n)),
        find_led_name("wk", &|n| membership.job_leader(n)),
    );
    let mut worker = Worker {
        machine: machine.clone(),
        incarnation: 1,
        seq: 0,
        token: 0,
        tasks: BTreeMap::new(),
        lease_renewed_at: 0,
        in_flight: None,
        next_heartbeat_at: 0,
        started_attempts: BTreeSet::new(),
    };
    let mut deliveries: BTreeMap<(u64, u64), Delivery> = BTreeMap::new();
    let mut n = 0;
    let mut schedule = |when: u64, what: Delivery, deliveries: &mut BTreeMap<(u64, u64), Delivery>| {
        n += 1;
        deliveries.insert((when, n), what);
    };
    let begin_term = |now: u64, epoch: u64, membership: &Membership, known: bool| {
        let mut membership = membership.clone();
        membership.adopt_epoch(at(now), &record(epoch), epoch);
        let mut machine_shard = MachineShard::new(&settings());
        machine_shard.adopt_epoch(at(now), &membership, false, |_| None);
        if known {
            let record =
                MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.5:1".into() };
            machine_shard.load_record(at(now), &machine, record);
        }
        LeaderTerm { membership, machine_shard, began_at_ms: now, revision: epoch << 32, start_count: 0 }
    };
    let mut term = begin_term(1, 7, &membership, false);
    // The machine leader of the previous epoch goes on for a while, in another process.
    let mut previous_term: Option<(LeaderTerm, u64)> = None;
    let mut next_epoch = rng.random_range(20_000..60_000);
    let mut now = 1;
    while now < until {
        now += STEP;
        worker.advance(now);
        if now >= next_epoch {
            next_epoch = now + rng.random_range(2_000..90_000);
            let epoch = term.membership.epoch + 1;
            if rng.random_bool(0.3) {
                // The same machine leader goes on in the epoch that follows directly.
                term.membership.adopt_epoch(at(now), &record(epoch), epoch);
                term.machine_shard.adopt_epoch(at(now), &term.membership, true, |_| Some(0));
                (term.began_at_ms, term.revision, term.start_count) = (now, epoch << 32, 0);
                previous_term = None;
                continue;
            }
            let new = begin_term(now, epoch, &membership, true);
            // Its lease expires at most a store lease after it was replaced, whatever it still decides.
            previous_term = Some((std::mem::replace(&mut term, new), now + rng.random_range(0..5_900)));
        }
        previous_term = previous_term.filter(|(_, ends)| now < *ends);
        if worker.in_flight.is_none() && now >= worker.next_heartbeat_at {
            let heartbeat = worker.next_heartbeat(&job);
            worker.in_flight = Some((heartbeat.sequence, now));
            let transit_time =
                if rng.random_bool(0.05) { rng.random_range(300..60_000) } else { rng.random_range(1..300) };
            schedule(now + transit_time, Delivery::Heartbeat(heartbeat.clone(), Some(now)), &mut deliveries);
            if rng.random_bool(0.3) {
                schedule(
                    now + rng.random_range(2_000..50_000),
                    Delivery::Heartbeat(heartbeat, None),
                    &mut deliveries,
                );
            }
        }
        if rng.random_bool(0.005)
            && let Some(ended) = worker.tasks.values_mut().next()
        {
            *ended = true;
        }
        let can_receive = !deaf_spans.iter().any(|(start, end)| (*start..*end).contains(&now));
        while let Some(entry) = deliveries.first_entry()
            && entry.key().0 <= now
        {
            let delay = now + rng.random_range(1..300);
            match entry.remove() {
                Delivery::Heartbeat(heartbeat, sent) => {
                    // An old process still has the worker's connection.
                    let old_term =
                        previous_term.as_mut().filter(|_| rng.random_bool(0.5)).map(|(old_term, _)| old_term);
                    let receiver = old_term.unwrap_or(&mut term);
                    let body = match receiver.machine_shard.apply_heartbeat(
                        at(now),
                        &receiver.membership,
                        &heartbeat,
                    ) {
                        HeartbeatOutcome::Accepted => {
                            receiver.machine_shard.issue_commands(&receiver.membership, &machine, |_| true)
                        }
                        _ => None,
                    };
                    // The sender of a copy awaits no response.
                    if let Some(sent) = sent {
                        let response = Response {
                            incarnation: heartbeat.incarnation,
                            seq: heartbeat.sequence,
                            sent,
                            body,
                        };
                        schedule(delay, Delivery::Response(response), &mut deliveries);
                    }
                }
                Delivery::Response(response) if can_receive => worker.handle_response(now, &response),
                Delivery::FencingProbe(token, incarnation) if can_receive => {
                    if token >= worker.token && incarnation == worker.incarnation {
                        worker.token = token;
                    }
                    let heartbeat = worker.next_heartbeat(&job);
                    schedule(
                        delay + if rng.random_bool(0.2) { 9_000 } else { 0 },
                        Delivery::ProbeAnswer(heartbeat),
                        &mut deliveries,
                    );
                }
                Delivery::ProbeAnswer(heartbeat) => {
                    _ = term.machine_shard.apply_probe_answer(at(now), &term.membership, &heartbeat)
                }
                Delivery::Response(_) | Delivery::FencingProbe(..) => {}
            }
        }
        for probe in term.machine_shard.take_due_probes(at(now), 9) {
            let probe_delay = if rng.random_bool(0.3) { rng.random_range(1_000..20_000) } else { 1 };
            schedule(
                now + probe_delay,
                Delivery::FencingProbe(term.membership.epoch, probe.incarnation),
                &mut deliveries,
            );
        }
        for _ in 0..term.machine_shard.take_unregistered().len() {
            term.machine_shard.confirm_registered(&machine);
        }
        term.membership.note_older_leaders_stopped(at(now));
        term.machine_shard.expire_leases(at(now), &term.membership);
        let read_status = |term: &LeaderTerm| {
            term.machine_shard.status_delta(at(now), &term.membership, 0, 0, |_| Some(ROOM)).machines.pop()
        };
        let Some(status) = read_status(&term) else { continue };
        // The job leader: one attempt at a time, unknown attempts are kept, ended ones may be forgotten.
        let desired_task = |attempt, action| DesiredTask {
            key: TaskKey { job: job.clone(), index: 0, attempt },
            machine: machine.clone(),
            resources: Resources { cpus: 1000, gpus: 0, memory: 1000 },
            action,
            priority: 0,
            image: 0,
        };
        let mut desired_tasks: Vec<DesiredTask> = Vec::new();
        for task in &status.tasks {
            let action = match task.phase {
                TaskPhase::Exited(_) => DesiredAction::Forget,
                TaskPhase::Held | TaskPhase::Queued | TaskPhase::InDoubt => DesiredAction::Run,
                _ => DesiredAction::Keep,
            };
            desired_tasks.push(desired_task(task.key.attempt, action));
        }
        if status.inventory_state == InventoryState::Known
            && !status.tasks.iter().any(|task| !matches!(task.phase, TaskPhase::Exited(_)))
        {
            term.start_count += 1;
            desired_tasks
                .push(desired_task((term.membership.epoch << 24) + term.start_count, DesiredAction::Run));
        }
        term.revision += 1;
        let desired_state = DesiredState {
            revision: term.revision,
            base_revision: 0,
            tasks: desired_tasks,
            removed: Vec::new(),
        };
        let membership = term.membership.clone();
        term.machine_shard.apply_desired_state(at(now), 0, &desired_state, &membership, |_| Some(ROOM));
        let Some(status) = read_status(&term) else { continue };
        if status.inventory_state == InventoryState::Known {
            for (attempt, _) in worker.tasks.iter().filter(|(_, ended)| !**ended) {
                let is_listed = status.tasks.iter().any(|task| task.key.attempt == *attempt);
                assert!(
                    is_listed,
                    "seed {seed}, {now} ms, epoch {}: attempt {attempt} runs and is not reported",
                    membership.epoch
                );
            }
        }
        inspect(now, &term, &status);
    }
    worker
}

/// Copies, delayed heartbeats, spans without responses and new machine leaders at random times.
#[test]
fn a_task_reported_as_absent_from_a_machine_is_absent() {
    let (mut started, mut incarnations) = (0, 0);
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(1000 + seed);
        let mut deaf_spans = Vec::new();
        let mut time_ms = 0;
        while time_ms < 600_000 {
            let from = time_ms + rng.random_range(5_000..90_000);
            time_ms = from + rng.random_range(2_000..120_000);
            deaf_spans.push((from, time_ms));
        }
        let worker = simulate(seed, &deaf_spans, 600_000, |_, _, _| {});
        started += worker.started_attempts.len();
        incarnations += worker.incarnation;
    }
    assert!(
        started > 600 && incarnations > 300,
        "{started} starts, {incarnations} incarnations: the scenario was not covered"
    );
}

/// A machine that reports but receives nothing blocks its tasks only for a bounded time, and gets no new commands.
#[test]
fn a_machine_that_receives_nothing_is_waited_for_only_for_a_bounded_time() {
    let mut late_check_count = 0;
    for seed in 0..40 {
        let mut first_checked_at = None;
        simulate(seed, &[(15_000, 400_000)], 400_000, |now, term, status| {
            // A store lease, until the other leaders have stopped; the worker's lease; its request timeout, and two
            // heartbeats.
            let bound_ms = 6_000 + LEASE + 4_000 + 2 * 5_000 + 1_500;
            // A heartbeat that arrived just before that may have been answered, which adds one lease.
            let worst_bound_ms = bound_ms + LEASE;
            if term.membership.epoch > 7 && now > term.began_at_ms + worst_bound_ms {
                assert_eq!(status.inventory_state, InventoryState::Known, "seed {seed}, {now} ms");
                late_check_count += 1;
            }
            // Three heartbeats without the fencing token show that the worker receives nothing.
            if term.membership.epoch > 7 && now > *first_checked_at.get_or_insert(now) + 20_000 {
                assert!(
                    !status.is_schedulable,
                    "seed {seed}, {now} ms: it would get tasks whose commands it never receives"
                );
            }
        });
    }
    assert!(late_check_count > 1000, "{late_check_count}");
}
