//! Short runs of every kind whose effects are recorded. Two plays of a run give the same trace, and `scripts/compare-traces`
//! compares the traces of one commit with those of another.

use super::compound::{add_long_jobs, cancel_all, print_log_on_panic};
use super::{batches, loans, releases, zones};
use crate::*;
use hazelsaddle::controller::OperatorCommand;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// One kind of short run.
struct RunKind {
    /// The name in the first line of a trace file.
    name: &'static str,
    /// Creates the initial world.
    world: fn(u64) -> World,
    /// Plays the run. The number counts the runs of this kind, so that their variants alternate.
    play: fn(u64, &mut World),
}

/// All kinds of runs. A seed plays the kind at its remainder. New kinds are appended, because any other order would change the
/// kind of existing seeds.
const RUN_KINDS: [RunKind; 19] = [
    RunKind { name: "plain", world: small, play: |_, w| w.run(110 * S, 130 * S) },
    RunKind { name: "stalls", world: small, play: stalls },
    RunKind { name: "grown", world: |seed| World::new(seed, LARGE), play: |_, w| w.run(30 * S, 40 * S) },
    RunKind {
        name: "chained",
        world: |seed| World::new(seed, CHAINED),
        play: |_, w| w.run(100 * S, 130 * S),
    },
    RunKind { name: "releases", world: with_calendar, play: rotations },
    RunKind { name: "loans", world: |seed| World::new(seed, loans::GPUS), play: lending },
    RunKind { name: "batches", world: |seed| batches::world(seed, batches::REPLACED), play: merges },
    RunKind { name: "upgrade", world: |seed| World::new(seed, CHAINED), play: upgrade },
    RunKind { name: "takeovers", world: medium, play: takeovers },
    RunKind { name: "leaving", world: medium, play: leaving },
    RunKind { name: "restarts", world: small, play: restarts },
    RunKind { name: "pairs", world: medium, play: pairs },
    RunKind { name: "trouble", world: medium, play: each_fault },
    RunKind { name: "looks", world: medium, play: looks },
    RunKind { name: "lost", world: medium, play: lost },
    RunKind { name: "zones", world: medium, play: cut_zones },
    RunKind { name: "cancels", world: medium, play: cancels },
    RunKind { name: "commands", world: medium, play: late_commands },
    RunKind { name: "gap", world: medium, play: gap },
];

fn small(seed: u64) -> World {
    let mut w = World::new(seed, SMALL);
    w.answer_gaps.pollers = true;
    w
}

fn medium(seed: u64) -> World {
    let mut w = World::new(seed, Shape { machines: 10, zone_capacity: 10, jobs: 30, pause: 4 * S, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

fn with_calendar(seed: u64) -> World {
    World::new(seed, Shape { jobs: 8, calendar: true, ..SMALL })
}

/// Plays for a random time from `from` to less than `to`.
fn run_for_random_time(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

/// Controllers pause between a decision and its execution, under all kinds of faults.
fn stalls(_: u64, w: &mut World) {
    w.pause_rate = 0.001;
    w.run(90 * S, 100 * S);
    w.pause_rate = 0.0;
    w.run(0, 120 * S);
}

/// The night of two titles with close and rotation, and in every other run with restarts and all kinds of faults.
fn rotations(round: u64, w: &mut World) {
    releases::add_release_jobs(w);
    match round % 2 {
        0 => w.run(0, 180 * S),
        _ => releases::play_faults(w, 200 * S),
    }
    w.run(0, 225 * S);
}

/// A service borrows GPUs from arrays or gangs and returns them.
fn lending(round: u64, w: &mut World) {
    let faults_until = if round.is_multiple_of(2) { 0 } else { 110 * S };
    let add_job = |w: &mut World, n, team, kind, tasks, gpus, run| {
        loans::add_job(w, &loans::GpuJob { n, team, kind, priority: "normal", tasks, gpus, run })
    };
    add_job(w, 1, "t2", "batch", 2, 2, 100 * S);
    w.run(0, 20 * S);
    for n in 2..16 {
        match round / 2 % 2 {
            0 => add_job(w, n, "t0", "batch", 4, 1, 90 * S),
            _ => add_job(w, n, "t0", "group", 2, 4, 60 * S),
        };
    }
    w.run(0, 45 * S);
    let service = add_job(w, 50, "t1", "service", 2, 4, NEVER);
    w.run(faults_until, 90 * S);
    w.jobs.get_mut(&service).expect("added").cancel_asked = true;
    w.run(faults_until, 125 * S);
}

/// Batch versions are set and raised while merges wait, start, run and request write permits.
fn merges(round: u64, w: &mut World) {
    w.batches.writers = true;
    w.quick_restarts = !round.is_multiple_of(2);
    w.run(0, 15 * S);
    for i in 0..5 {
        let name = ["b0", "b1"][w.rng.random_range(0..2usize)];
        let version = w.version(name).max(1);
        batches::add_pipeline(w, name, version);
        run_for_random_time(w, S, 12 * S);
        let (n, up) = (w.rng.random_range(0..3usize), w.rng.random_range(0..3));
        w.send_operator_command(n, OperatorCommand::PutBatch { name: name.into(), version: version + up });
        batches::add_new_runs(w, name, version + up);
        if !round.is_multiple_of(3) && i % 2 == 1 {
            w.inject_random_fault();
        }
        run_for_random_time(w, S, 12 * S);
    }
    w.run(0, 120 * S);
}

/// Controllers limited to version 1 are replaced one after the other, one of them joins again, and the state store lowers its
/// limits.
fn upgrade(round: u64, w: &mut World) {
    w.limited = [true; 3];
    // A controller of the old version that joins later reports no outcomes of a job's dependencies.
    w.checks_orphans = false;
    w.run(0, 20 * S);
    for i in 0..3 {
        let n = (round as usize + i) % 3;
        if w.rng.random_bool(0.4) {
            w.inject_random_fault();
        }
        w.limited[n] = false;
        w.crash(n);
        run_for_random_time(w, 4 * S, 18 * S);
    }
    w.limits_fall = w.now + w.rng.random_range(0..20 * S);
    run_for_random_time(w, 15 * S, 30 * S);
    if round % 2 == 1 {
        let n = round as usize % 3;
        w.limited[n] = true;
        w.crash(n);
        run_for_random_time(w, 10 * S, 15 * S);
        w.limited[n] = false;
        w.crash(n);
    }
    w.run(0, 130 * S);
}

/// Epochs are a few seconds apart, and hand-off batches are lost, duplicated and delayed.
fn takeovers(round: u64, w: &mut World) {
    w.handoff_fault_rate = 0.3;
    w.run(0, 20 * S);
    while w.now < 90 * S {
        let n = w.rng.random_range(0..3usize);
        let duration = w.rng.random_range(S..25 * S);
        let hold = round.is_multiple_of(2);
        match w.rng.random_range(0..8) {
            0..4 => w.crash(n),
            4 => w.paused_until[n] = w.now + duration,
            5 => w.partitions.push((Endpoint::Controller(n), Endpoint::Store, w.now + duration, hold)),
            6 => w.partitions.push((Endpoint::Controller(n), Endpoint::Workers, w.now + duration, hold)),
            _ => w.partitions.push((
                Endpoint::Controller(n),
                Endpoint::Controller((n + 1) % 3),
                w.now + duration,
                hold,
            )),
        }
        let i = w.rng.random_range(0..w.workers.len());
        w.workers[i].unresponsive_until = w.now + duration;
        run_for_random_time(w, 2 * S, 12 * S);
    }
    w.run(0, 120 * S);
}

/// Controllers are shut down one after the other, hand off their state and restart.
fn leaving(round: u64, w: &mut World) {
    w.handoff_fault_rate = if round % 2 == 1 { 0.3 } else { 0.0 };
    w.run(0, 30 * S);
    for i in 0..3 {
        let n = (round as usize + i) % 3;
        w.schedule(1, SimEvent::Controller(n, 0, Event::Leave));
        let end = w.now + 4 * S;
        while w.now < end && !w.nodes[n].as_ref().is_some_and(|node| node.can_exit(w.clock(n))) {
            let until = w.now + S / 10;
            w.run(0, until);
        }
        w.crash_for(n, 2 * S..8 * S);
        run_for_random_time(w, 12 * S, 20 * S);
    }
    w.run(0, 110 * S);
}

/// Controllers crash at any moment, also during a hand-off or a write, and restart at once.
fn restarts(_: u64, w: &mut World) {
    (w.quick_restarts, w.crash_rate) = (true, 0.03);
    w.run(90 * S, 100 * S);
    w.crash_rate = 0.0;
    w.run(0, 120 * S);
}

/// Overlapping pairs of all kinds of faults.
fn pairs(_: u64, w: &mut World) {
    w.handoff_fault_rate = 0.1;
    w.run(0, 20 * S);
    while w.now < 100 * S {
        let (a, b) = (w.rng.random_range(0..FAULTS.len()), w.rng.random_range(0..FAULTS.len()));
        w.pair(FAULTS[a], FAULTS[b]);
        run_for_random_time(w, S, 25 * S);
    }
    w.run(0, 120 * S);
}

/// Three kinds of faults in each run, one after the other, each together with a restart or a takeover.
fn each_fault(round: u64, w: &mut World) {
    w.run(0, 15 * S);
    let ids = add_long_jobs(w, 6, 45 * S);
    w.run(0, 25 * S);
    for i in 0..3 {
        let n = w.rng.random_range(0..3);
        match round % 2 {
            0 => w.crash_for((n + 1) % 3, S / 20..S / 10),
            _ => w.crash_for((n + 1) % 3, 9 * S..12 * S),
        }
        run_for_random_time(w, S, 10 * S);
        let duration = w.rng.random_range(4 * S..25 * S);
        w.inject_fault(FAULTS[(3 * round as usize + i) % FAULTS.len()], n, duration);
        w.cancel_job(n, &ids[i]);
        run_for_random_time(w, 10 * S, 25 * S);
    }
    w.run(0, 125 * S);
}

/// Users query closely, cancel as the last task of a job ends, and submit jobs that can't run, while the state store is slow or
/// executes transactions late.
fn looks(round: u64, w: &mut World) {
    w.run(0, 10 * S);
    w.enable_probe_bursts(80 * S);
    w.cancel_at_end(0.3, 80 * S);
    w.enable_invalid_requests(80 * S);
    match round % 3 {
        0 => w.slow_store(20 * S),
        1 => w.slow_store_by(60 * S, S / 20..9 * S / 10),
        _ => w.delay_writes(0.3, 60 * S),
    }
    run_for_random_time(w, 10 * S, 30 * S);
    w.refuse(round as usize % 3, 8 * S);
    w.run(0, 115 * S);
}

/// Answers of the state store and to scale-outs are lost, reports are delayed until the next leader has started, and messages of
/// machines are lost.
fn lost(round: u64, w: &mut World) {
    const WAYS: [Execution; 4] =
        [Execution::Never, Execution::AtOnce, Execution::Late, Execution::AfterSuccessor];
    w.run(0, 12 * S);
    w.lose_answers(None, 0.3, 70 * S, WAYS[round as usize % 4]);
    w.hold_back_heartbeats(0.5, 70 * S);
    w.lose_scale_out_answers(0.5, 60 * S);
    w.delay_heartbeats(0.3, 70 * S);
    for i in 0..3 {
        run_for_random_time(w, 8 * S, 16 * S);
        let machines = w.some_machines();
        w.lose_outbound_messages(&machines, 20 * S);
        let n = (round + i) as usize % 3;
        w.slow_membership_lane(n, S / 2, 8 * S);
        match i {
            0 => w.crash_for(n, S / 20..S / 10),
            1 => w.crash_for(n, 8 * S..12 * S),
            _ => w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 12 * S),
        }
    }
    w.run(0, 120 * S);
}

/// A zone with its workers and its controller is partitioned, the cloud is down, and jobs have zone constraints.
fn cut_zones(round: u64, w: &mut World) {
    w.zones.cloud_outage_until = w.rng.random_range(5 * S..30 * S);
    w.run(0, 20 * S);
    let mut ids = zones::add_constrained_jobs(w, 8, 40 * S);
    ids.extend(add_long_jobs(w, 3, 60 * S));
    w.run(0, 45 * S);
    w.partition_zone(
        ZONES[round as usize % 2],
        [12, 30][round as usize / 2 % 2] * S,
        round.is_multiple_of(3),
    );
    run_for_random_time(w, 2 * S, 9 * S);
    cancel_all(w, &ids[..5], 20 * S);
    w.run(0, 120 * S);
}

/// Running jobs are cancelled while some of their machines hang or receive no answers and the leader changes.
fn cancels(round: u64, w: &mut World) {
    w.run(0, 20 * S);
    add_long_jobs(w, 9, 60 * S);
    for i in 0..3 {
        run_for_random_time(w, 10 * S, 16 * S);
        let hang = if i == 1 { 20 * S } else { 0 };
        w.mass_cancel(3, hang);
        let machines = w.some_machines();
        w.lose_inbound_messages(&machines, 15 * S);
        let n = (round + i) as usize % 3;
        match round % 2 {
            0 => w.crash_for(n, S / 20..S / 10),
            _ => w.crash_for(n, 8 * S..12 * S),
        }
    }
    w.run(0, 110 * S);
}

/// Direct commands arrive late, after those of the next leader, while users cancel jobs.
fn late_commands(round: u64, w: &mut World) {
    w.run(0, 20 * S);
    let ids = add_long_jobs(w, 9, 60 * S);
    w.run(0, 30 * S);
    w.delay_fencing_probes([0.5, 1.0][round as usize % 2], 70 * S);
    for (i, cancelled) in ids[..6].chunks(2).enumerate() {
        let n = (round as usize + i) % 3;
        w.crash_for((n + 1) % 3, S / 20..S / 10);
        run_for_random_time(w, S / 2, 4 * S);
        match round % 3 {
            0 => w.crash_for(n, 8 * S..14 * S),
            1 => w.paused_until[n] = w.now + 12 * S,
            _ => w.cut_from_store_and_peers(n, 12 * S, i % 2 == 0),
        }
        cancel_all(w, cancelled, 8 * S);
        run_for_random_time(w, 4 * S, 12 * S);
    }
    w.run(0, 115 * S);
}

/// The state store refuses one controller, others confirm cancellations, and then it is down for all controllers.
fn gap(round: u64, w: &mut World) {
    w.run(0, 15 * S);
    let ids = add_long_jobs(w, 8, 80 * S);
    w.run(0, 35 * S);
    let n = round as usize % 3;
    w.refuse(n, 9 * S);
    for p in (0..3).filter(|&p| p != n) {
        match round % 4 {
            0 => {}
            1 => w.fail_one_way(n, p, 50 * S, LinkFault::Lost),
            2 => w.fail_one_way(p, n, 50 * S, LinkFault::Late(2 * S)),
            _ => w.partitions.push((Endpoint::Controller(n), Endpoint::Controller(p), w.now + 50 * S, true)),
        }
    }
    cancel_all(w, &ids[..5], 8 * S);
    w.outage_until = w.now + 45 * S;
    w.run(0, 125 * S);
}

/// Plays the run of a seed. Returns its trace, and the panic if an invariant was violated.
fn record_trace(seed: u64) -> (Trace, std::thread::Result<()>) {
    let kinds = RUN_KINDS.len() as u64;
    let kind = &RUN_KINDS[(seed % kinds) as usize];
    let mut w = (kind.world)(seed);
    w.trace = Some(Trace::default());
    let play = |w: &mut World| (kind.play)(seed / kinds, w);
    let end =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| print_log_on_panic(seed, &mut w, play)));
    (w.trace.take().expect("it was switched on"), end)
}

/// The seeds to play: those of `TRACE_SEEDS=from..to`, or two by default.
fn trace_seeds() -> std::ops::Range<u64> {
    let Ok(seed_range) = std::env::var("TRACE_SEEDS") else { return 10..12 };
    let range = seed_range.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.filter(|r: &std::ops::Range<u64>| !r.is_empty()).expect("TRACE_SEEDS has the form 0..200")
}

/// With `TRACE_DIR`, writes the effects of the controllers in the run of each seed to a file there. Without, plays each run twice
/// and compares the traces: if these differed, a comparison of two versions of the sources would mean nothing.
#[test]
fn traces_are_written_for_each_seed() {
    let dir = std::env::var_os("TRACE_DIR").map(PathBuf::from);
    let seeds = trace_seeds();
    let next = AtomicU64::new(seeds.start);
    let faults = Mutex::new(BTreeSet::new());
    let digests = Mutex::new(BTreeMap::new());
    let play = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let (trace, end) = record_trace(seed);
            if end.is_err() {
                faults.lock().expect("no thread fails with it").insert((seed, "an invariant was violated"));
            }
            for kind in ["reply", "frame", "store"] {
                if trace.count(kind) < 100 {
                    faults
                        .lock()
                        .expect("no thread fails with it")
                        .insert((seed, "too few effects were recorded"));
                }
            }
            match &dir {
                Some(dir) => {
                    let text =
                        format!("# {}\n{}", RUN_KINDS[seed as usize % RUN_KINDS.len()].name, trace.text());
                    std::fs::write(dir.join(format!("{seed}.trace")), text)
                        .expect("TRACE_DIR can be written to");
                }
                None if record_trace(seed).0.digest() != trace.digest() => {
                    faults
                        .lock()
                        .expect("no thread fails with it")
                        .insert((seed, "the traces of two plays differ"));
                }
                None => {}
            }
            digests.lock().expect("no thread fails with it").insert(trace.digest(), seed);
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|s| {
        (0..threads).for_each(|_| drop(s.spawn(play)));
    });
    let faults = faults.into_inner().expect("no thread has failed");
    assert!(faults.is_empty(), "{faults:?}");
    let count = digests.into_inner().expect("no thread has failed").len() as u64;
    assert_eq!(count, seeds.end - seeds.start, "the runs of two seeds have the same trace");
}

/// Every part of an effect that is sent changes its trace line.
#[test]
fn different_effects_have_different_trace_lines() {
    let store = |r: StoreRequest| Effect::Store { id: 1, request: r, lane: StoreLane::Records };
    let commit = |c: Transaction| store(StoreRequest::Transaction(c));
    let put = |v: Value, lease| {
        commit(Transaction { puts: vec![("a".into(), v, lease)], ..Transaction::default() })
    };
    let fencing_probe = |token, addr: &str, incarnation| Effect::FencingProbe {
        epoch: token,
        probes: vec![FencingProbe { machine: "i-1".into(), addr: addr.into(), incarnation }],
    };
    let scale_out = |count, spot| {
        let (name, kind, zone) = ("r".into(), "large".into(), "a".into());
        Effect::Cloud(CloudRequest::ScaleOut(hazelsaddle::autoscaler::ScaleOut {
            name,
            machine_type: kind,
            zone,
            spot,
            count,
        }))
    };
    let all = [
        Effect::Reply { ticket: 1, reply: Reply::error(503, "later") },
        Effect::Reply { ticket: 1, reply: Reply::retry_later("later") },
        Effect::Reply { ticket: 2, reply: Reply::retry_later("later") },
        Effect::Reply { ticket: 1, reply: Reply::error(404, "later") },
        store(StoreRequest::Get("a".into())),
        Effect::Store { id: 2, request: StoreRequest::Get("a".into()), lane: StoreLane::Records },
        Effect::Store { id: 1, request: StoreRequest::Get("a".into()), lane: StoreLane::Membership },
        store(StoreRequest::Get("b".into())),
        store(StoreRequest::List("a".into(), String::new())),
        store(StoreRequest::List("a".into(), "b".into())),
        store(StoreRequest::Grant(5)),
        store(StoreRequest::Renew(5)),
        store(StoreRequest::Revision),
        store(StoreRequest::Watch("a".into(), 1, Micros(1000))),
        store(StoreRequest::Watch("a".into(), 1, Micros(1001))),
        store(StoreRequest::Watch("a".into(), 2, Micros(1000))),
        put(json!(1), None),
        put(json!(1), Some(1)),
        put(json!(2), None),
        commit(Transaction { conditions: vec![("a".into(), 1)], ..Transaction::default() }),
        commit(Transaction { conditions: vec![("a".into(), 2)], ..Transaction::default() }),
        commit(Transaction { deletes: vec!["a".into()], ..Transaction::default() }),
        Effect::Cloud(CloudRequest::MachineTypes),
        Effect::Cloud(CloudRequest::List(String::new())),
        Effect::Cloud(CloudRequest::List("a".into())),
        scale_out(1, false),
        scale_out(1, true),
        scale_out(2, false),
        Effect::Cloud(CloudRequest::ScaleIn(vec!["a".into()])),
        Effect::Cloud(CloudRequest::ScaleIn(vec!["a".into(), "b".into()])),
        Effect::Probe(vec!["ab".into()]),
        Effect::Probe(vec!["a".into(), "b".into()]),
        fencing_probe(1, "a", 1),
        fencing_probe(2, "a", 1),
        fencing_probe(1, "b", 1),
        fencing_probe(1, "a", 2),
    ];
    let line = |effect: &Effect| {
        let mut trace = Trace::default();
        trace.note(1, 0, effect);
        trace.text().to_owned()
    };
    let lines: BTreeSet<String> = all.iter().map(line).collect();
    assert_eq!(lines.len(), all.len(), "{lines:#?}");
    assert!(all.iter().map(line).all(|l| lines.contains(&l)), "equal effects have equal lines");
}
