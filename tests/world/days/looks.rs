//! Users query all controllers within milliseconds, repeat submissions and cancel, just before and after a user got the state
//! of a job. The register compares each answer with what was known before the request was sent.

use super::compound::*;
use crate::*;

/// A world with many short jobs: one is accepted, finishes or is cancelled about every second.
fn world(seed: u64) -> World {
    let shape = Shape { machines: 10, zone_capacity: 10, jobs: 60, pause: 2 * S, run: 8 * S, ..SMALL };
    let mut w = World::new(seed, Shape { array: 5, gang: 3, ..shape });
    w.answer_gaps.pollers = true;
    w
}

/// Counts of requests and faults over some runs.
#[derive(Debug, Default)]
struct Totals {
    /// Queries just after a user got the confirmation of an acceptance, and of an outcome.
    after: [usize; 2],
    /// Queries while a submission or cancellation was in progress.
    around: usize,
    /// Requests sent: queries, submissions repeated with the same body, with another one, or malformed, and cancellations.
    sent: [usize; 5],
    /// Answers to requests that were sent when a user knew that the job was accepted, or knew its outcome.
    bound: [usize; 2],
    /// Requests sent while the same controller had another one about the same job.
    concurrent: usize,
    /// Requests that a slow state store executed without an answer.
    unknown: usize,
    /// Transactions that the state store executed late.
    late: usize,
    /// Requests that the state store refused from one controller only.
    refusals: usize,
    epochs: u64,
}

impl Totals {
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

/// Plays runs in which users query closely while `meanwhile` injects faults, and checks that each run had enough requests of
/// each kind.
fn play_queries(base: u64, meanwhile: impl Fn(u64, &mut World)) -> Totals {
    let mut totals = Totals::default();
    let range = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..8 };
    let runs = range.clone().count();
    for seed in range.map(|s| s + base) {
        let mut w = world(seed);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 10 * S);
            w.enable_probe_bursts(130 * S);
            meanwhile(seed, w);
            run_until_all_finish(w);
        });
        assert_all_finished(&mut w, seed);
        totals.add(&w);
    }
    let counts = [totals.after[0], totals.after[1], totals.around, totals.sent[0], totals.concurrent];
    assert!(counts.iter().all(|n| *n >= 100 * runs), "{totals:?}");
    assert!(totals.sent[1..].iter().all(|n| *n >= 10 * runs), "{totals:?}");
    assert!(totals.bound.iter().all(|n| *n >= 500 * runs), "{totals:?}");
    if std::env::var("WORLD_SEEDS").is_ok() {
        eprintln!("{runs} runs: {totals:?}");
    }
    totals
}

/// Plays until all jobs were submitted and have finished as expected.
fn run_until_all_finish(w: &mut World) {
    while w.jobs.len() < w.shape.jobs as usize {
        let until = w.now + S;
        w.run(0, until);
    }
    run_until_finished(w, 420 * S);
}

fn run_for_random_time(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

#[test]
fn users_query_closely_without_faults() {
    play_queries(24_000, |_, _| ());
}

/// Answers take 1 to 5 s, while the request timeout is two: half of the requests are executed without an answer.
#[test]
fn users_query_closely_while_the_state_store_is_slow() {
    let totals = play_queries(24_100, |_, w| {
        for _ in 0..2 {
            run_for_random_time(w, S, 10 * S);
            w.slow_store(25 * S);
            run_for_random_time(w, 30 * S, 45 * S);
        }
    });
    assert!(totals.unknown > 100, "{totals:?}");
}

/// Answers take 50 to 900 ms: all arrive, but not in the order of their requests.
#[test]
fn users_query_closely_while_the_state_store_answers_out_of_order() {
    play_queries(24_200, |_, w| w.slow_store_by(110 * S, S / 20..9 * S / 10));
}

/// A share of the transactions gets no answer and is executed 2 to 12 s later.
#[test]
fn users_query_closely_while_transactions_are_executed_late() {
    let totals = play_queries(24_300, |seed, w| {
        let share = [0.1, 0.3, 0.6][seed as usize % 3];
        w.delay_writes(share, 100 * S);
    });
    assert!(totals.late > 200, "{totals:?}");
}

/// Controllers are shut down and restart at once, or crash, one after the other and then all together.
#[test]
fn users_query_closely_while_controllers_restart() {
    let totals = play_queries(24_400, |seed, w| {
        for i in 0..6 {
            run_for_random_time(w, S, 18 * S);
            let n = (seed as usize + i) % 3;
            match (seed as usize + i) % 4 {
                0 => w.inject_fault(Fault::Leave, n, 0),
                1 => w.crash_for(n, S / 20..S / 10),
                2 => w.crash_for(n, 5 * S..12 * S),
                _ => w.inject_fault(Fault::RestartAll, n, 0),
            }
        }
    });
    assert!(totals.epochs > 60, "{totals:?}");
}

/// The state store refuses one controller only, before and after the controller's lease there has expired.
#[test]
fn users_query_closely_while_the_state_store_refuses_one_controller() {
    let totals = play_queries(24_500, |seed, w| {
        for i in 0..4 {
            run_for_random_time(w, S, 8 * S);
            let duration = w.rng.random_range(2 * S..20 * S);
            w.refuse((seed as usize + i) % 3, duration);
            let until = w.now + duration;
            w.run(0, until);
        }
    });
    assert!(totals.refusals > 200, "{totals:?}");
}

/// Jobs are accepted and looked up on behalf of leaders that are slow, unreachable or paused.
#[test]
fn users_query_closely_while_other_controllers_act_for_job_leaders() {
    play_queries(24_600, |seed, w| {
        for i in 0..6 {
            run_for_random_time(w, S, 6 * S);
            let n = (seed as usize + i) % 3;
            let duration = w.rng.random_range(S..12 * S);
            let faults = [
                Fault::LatePeers,
                Fault::OneWayPartition,
                Fault::ProcessPaused,
                Fault::PartitionFromStoreAndPeers,
                Fault::PartitionFromPeer,
            ];
            w.inject_fault(faults[(seed as usize + i) % faults.len()], n, duration);
            let until = w.now + duration;
            w.run(0, until);
        }
    });
}

/// Half of all jobs are cancelled, queried and submitted again at the moment at which their last task ends. Either outcome is
/// valid, and it is final.
#[test]
fn jobs_are_cancelled_as_their_last_task_ends() {
    let mut at_ends = [0; 3];
    for seed in seeds().take(8).map(|s| s + 24_700) {
        let mut w = world(seed);
        print_log_on_panic(seed, &mut w, |w| {
            w.cancel_at_end(0.5, 160 * S);
            run_until_all_finish(w);
        });
        assert_all_finished(&mut w, seed);
        at_ends.iter_mut().zip(w.client_probes.cancels_at_end).for_each(|(a, b)| *a += b);
    }
    assert!(at_ends[0] > 100 && at_ends[1] > 50 && at_ends[2] > 10, "sent, done, aborted: {at_ends:?}");
}

/// Every controller rejects a job that can't run with 422 and one that lacks a field with 400, and stores neither. A job that
/// is done stays done when it is cancelled.
#[test]
fn invalid_requests_are_rejected_and_store_nothing() {
    play_invalid_requests(24_800, false);
}

/// The same holds for controllers that have just started and have loaded neither machine types nor records.
#[test]
fn invalid_requests_are_rejected_while_controllers_have_loaded_nothing() {
    play_invalid_requests(24_900, true);
}

fn play_invalid_requests(base: u64, restarts: bool) {
    let (mut rejected, mut cancels_after_end, mut repeats) = ([0; 3], 0, 0);
    for seed in seeds().take(8).map(|s| s + base) {
        let mut w = world(seed);
        print_log_on_panic(seed, &mut w, |w| {
            w.enable_invalid_requests(130 * S);
            for i in 0..12 {
                run_for_random_time(w, S, 18 * S);
                match (restarts, (seed + i) % 3) {
                    (false, _) => {}
                    (true, 0) => w.crash_for(i as usize % 3, S / 20..S / 10),
                    (true, _) => w.inject_fault(Fault::RestartAll, 0, 0),
                }
            }
            run_until_all_finish(w);
        });
        assert_all_finished(&mut w, seed);
        rejected.iter_mut().zip(w.client_probes.rejected).for_each(|(a, b)| *a += b);
        cancels_after_end += w.client_probes.cancels_after_end;
        repeats += w.client_probes.sent[1];
        for id in w.client_probes.invalid.keys() {
            let is_stored = ["job", "done"].iter().any(|p| w.store.keys.contains_key(&format!("{p}/{id}")));
            assert!(!is_stored, "seed {seed}: {id} is stored");
        }
    }
    assert!(rejected[0] > 500 && rejected[1] > 500, "400, 422, 503: {rejected:?}");
    assert!(!restarts || rejected[2] > 50, "400, 422, 503: {rejected:?}");
    assert!(
        cancels_after_end > 200 && repeats > 200,
        "{cancels_after_end} cancellations of ended jobs, {repeats} repeats"
    );
}
