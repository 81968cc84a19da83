//! Users ask at all controllers within milliseconds, repeat submissions and cancel, just before and after somebody was told
//! how a job stands. The register holds each answer to what was known before it was asked for.

use super::compound::*;
use crate::*;

/// Many short jobs: something is accepted, ends or is cancelled each second.
fn world(seed: u64) -> World {
    let shape = Shape { machines: 10, zone_capacity: 10, jobs: 60, pause: 2 * S, run: 8 * S, ..SMALL };
    let mut w = World::new(seed, Shape { array: 5, gang: 3, ..shape });
    w.answer_gaps.pollers = true;
    w
}

/// What the looks of some days came to.
#[derive(Debug, Default)]
struct Seen {
    after: [usize; 2],
    around: usize,
    sent: [usize; 5],
    bound: [usize; 2],
    concurrent: usize,
    /// Requests that a slow store carried out unanswered, late transactions, and refusals of one controller alone.
    unknown: usize,
    late: usize,
    refusals: usize,
    /// Epochs.
    epochs: u64,
}

impl Seen {
    fn add(&mut self, w: &World) {
        self.after.iter_mut().zip(w.client_probes.after).for_each(|(a, b)| *a += b);
        self.around += w.client_probes.during_request;
        self.sent.iter_mut().zip(w.client_probes.sent).for_each(|(a, b)| *a += b);
        self.bound.iter_mut().zip(w.register.bound).for_each(|(a, b)| *a += b);
        self.concurrent += w.register.concurrent;
        self.unknown += w.compound.slow_unknown;
        self.late += w.compound.writes[0];
        self.refusals += w.compound.refusals;
        self.epochs += w.epoch();
    }
}

/// Days of looks that last as long as what else happens; that looks met all that they are meant to, on each of them.
fn looks_beside(base: u64, meanwhile: impl Fn(u64, &mut World)) -> Seen {
    let mut seen = Seen::default();
    let range = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..8 };
    let days = range.clone().count();
    for seed in range.map(|s| s + base) {
        let mut w = world(seed);
        guarded(seed, &mut w, |w| {
            w.run(0, 10 * S);
            w.enable_probe_bursts(130 * S);
            meanwhile(seed, w);
            all_come_and_end(w);
        });
        ended(&mut w, seed);
        seen.add(&w);
    }
    let counts = [seen.after[0], seen.after[1], seen.around, seen.sent[0], seen.concurrent];
    assert!(counts.iter().all(|n| *n >= 100 * days), "{seen:?}");
    assert!(seen.sent[1..].iter().all(|n| *n >= 10 * days), "{seen:?}");
    assert!(seen.bound.iter().all(|n| *n >= 500 * days), "{seen:?}");
    if std::env::var("WORLD_SEEDS").is_ok() {
        eprintln!("{days} days: {seen:?}");
    }
    seen
}

/// Plays until all jobs have come, and have ended as they should.
fn all_come_and_end(w: &mut World) {
    while w.jobs.len() < w.shape.jobs as usize {
        let until = w.now + S;
        w.run(0, until);
    }
    settle(w, 420 * S);
}

fn pass(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

#[test]
fn users_look_closely_and_nothing_fails() {
    looks_beside(24_000, |_, _| ());
}

/// Answers take 1 to 5 s, beside the client's limit of two: half of what is asked is carried out without an answer.
#[test]
fn users_look_closely_while_the_state_service_is_slow() {
    let seen = looks_beside(24_100, |_, w| {
        for _ in 0..2 {
            pass(w, S, 10 * S);
            w.slow_store(25 * S);
            pass(w, 30 * S, 45 * S);
        }
    });
    assert!(seen.unknown > 100, "{seen:?}");
}

/// Answers take 50 to 900 ms: they come, and not in the order in which they were asked for.
#[test]
fn users_look_closely_while_the_state_service_answers_out_of_order() {
    looks_beside(24_200, |_, w| w.slow_store_by(110 * S, S / 20..9 * S / 10));
}

/// A share of the transactions gets no answer and is carried out 2 to 12 s later.
#[test]
fn users_look_closely_while_transactions_are_carried_out_late() {
    let seen = looks_beside(24_300, |seed, w| {
        let share = [0.1, 0.3, 0.6][seed as usize % 3];
        w.delay_writes(share, 100 * S);
    });
    assert!(seen.late > 200, "{seen:?}");
}

/// One after the other is told to leave and is back at once, or ends, and then all of them.
#[test]
fn users_look_closely_while_controllers_end_and_are_back() {
    let seen = looks_beside(24_400, |seed, w| {
        for i in 0..6 {
            pass(w, S, 18 * S);
            let n = (seed as usize + i) % 3;
            match (seed as usize + i) % 4 {
                0 => w.inject_fault(Fault::Leave, n, 0),
                1 => w.crash_for(n, S / 20..S / 10),
                2 => w.crash_for(n, 5 * S..12 * S),
                _ => w.inject_fault(Fault::RestartAll, n, 0),
            }
        }
    });
    assert!(seen.epochs > 60, "{seen:?}");
}

/// The state service refuses one controller alone, before and after its lease there has run out.
#[test]
fn users_look_closely_while_the_state_service_refuses_one() {
    let seen = looks_beside(24_500, |seed, w| {
        for i in 0..4 {
            pass(w, S, 8 * S);
            let long = w.rng.random_range(2 * S..20 * S);
            w.refuse((seed as usize + i) % 3, long);
            let until = w.now + long;
            w.run(0, until);
        }
    });
    assert!(seen.refusals > 200, "{seen:?}");
}

/// Jobs are accepted and looked up in the place of owners that are late, can't be reached, or stand still.
#[test]
fn users_look_closely_while_others_stand_in_for_owners() {
    looks_beside(24_600, |seed, w| {
        for i in 0..6 {
            pass(w, S, 6 * S);
            let n = (seed as usize + i) % 3;
            let long = w.rng.random_range(S..12 * S);
            let of = [
                Fault::LatePeers,
                Fault::OneWayPartition,
                Fault::ProcessPaused,
                Fault::PartitionFromStoreAndPeers,
                Fault::PartitionFromPeer,
            ];
            w.inject_fault(of[(seed as usize + i) % of.len()], n, long);
            let until = w.now + long;
            w.run(0, until);
        }
    });
}

/// Half of all jobs are cancelled at the moment at which their last task ends, asked about and submitted again. Either end
/// will do, and is the end for ever.
#[test]
fn jobs_are_cancelled_at_the_end_of_their_last_task() {
    let mut at_ends = [0; 3];
    for seed in seeds().take(8).map(|s| s + 24_700) {
        let mut w = world(seed);
        guarded(seed, &mut w, |w| {
            w.cancel_at_end(0.5, 160 * S);
            all_come_and_end(w);
        });
        ended(&mut w, seed);
        at_ends.iter_mut().zip(w.client_probes.cancels_at_end).for_each(|(a, b)| *a += b);
    }
    assert!(at_ends[0] > 100 && at_ends[1] > 50 && at_ends[2] > 10, "sent, done, aborted: {at_ends:?}");
}

/// What can't run is refused with 422, what lacks a field with 400, by each controller, and neither is ever known; jobs that
/// are done stay so when they are cancelled.
#[test]
fn odd_requests_are_turned_down_and_leave_nothing_behind() {
    odd_days(24_800, false);
}

/// Also by controllers that have just started and know neither machine types nor records.
#[test]
fn odd_requests_are_turned_down_while_controllers_know_nothing_yet() {
    odd_days(24_900, true);
}

fn odd_days(base: u64, restarts: bool) {
    let (mut down, mut cancels_after_end, mut repeats) = ([0; 3], 0, 0);
    for seed in seeds().take(8).map(|s| s + base) {
        let mut w = world(seed);
        guarded(seed, &mut w, |w| {
            w.enable_invalid_requests(130 * S);
            for i in 0..12 {
                pass(w, S, 18 * S);
                match (restarts, (seed + i) % 3) {
                    (false, _) => {}
                    (true, 0) => w.crash_for(i as usize % 3, S / 20..S / 10),
                    (true, _) => w.inject_fault(Fault::RestartAll, 0, 0),
                }
            }
            all_come_and_end(w);
        });
        ended(&mut w, seed);
        down.iter_mut().zip(w.client_probes.rejected).for_each(|(a, b)| *a += b);
        cancels_after_end += w.client_probes.cancels_after_end;
        repeats += w.client_probes.sent[1];
        for id in w.client_probes.invalid.keys() {
            let kept = ["job", "done"].iter().any(|p| w.store.keys.contains_key(&format!("{p}/{id}")));
            assert!(!kept, "seed {seed}: {id} is on record");
        }
    }
    assert!(down[0] > 500 && down[1] > 500, "400, 422, 503: {down:?}");
    assert!(!restarts || down[2] > 50, "400, 422, 503: {down:?}");
    assert!(
        cancels_after_end > 200 && repeats > 200,
        "{cancels_after_end} cancellations of ended jobs, {repeats} repeats"
    );
}
