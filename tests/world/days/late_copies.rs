//! Late copies of the messages of each hop of a start, after the start was carried out and answered, while controllers restart
//! within 0.2 s and tasks end, move or are cancelled. The world checks at each start that no worker carries one out twice in an
//! incarnation, that no task runs on two machines, and that nothing of a cancelled job starts (`World::record_start`).

use super::compound::*;
use crate::*;

/// Share of all messages of which a copy arrives later.
const SHARE: f64 = 0.4;
/// Pause of a controller that restarts at once.
const RESTART: std::ops::Range<u64> = S / 20..S / 5;

/// Plays a day of short tasks on machines that fail and hang, while jobs are cancelled and controllers restart.
fn play_late_copies(seed: u64) -> LateCopies {
    let mut w = World::new(seed, Shape { machines: 14, zone_capacity: 12, jobs: 0, ..SMALL });
    w.handoff_fault_rate = 0.3;
    print_log_on_panic(seed, &mut w, |w| {
        w.run(0, 20 * S);
        w.copy_messages(SHARE, 150 * S);
        for round in 0..10 {
            // Short tasks end and are forgotten while copies of their starts are still under way.
            let run = [S, 12 * S][round % 2];
            let ids = add_long_jobs(w, 6, run);
            let until = w.now + w.rng.random_range(3 * S..7 * S);
            w.run(0, until);
            let controller = w.rng.random_range(0..3);
            if round % 3 == 2 {
                w.inject_fault(Fault::Leave, controller, 0);
            } else {
                w.crash_for(controller, RESTART);
            }
            match round % 4 {
                0 => w.inject_fault(Fault::MachinesFail, controller, 0),
                1 => w.inject_fault(Fault::MachinesUnresponsive, controller, 22 * S),
                _ => {}
            }
            let until = w.now + w.rng.random_range(S / 2..2 * S);
            w.run(0, until);
            cancel_all(w, &ids[..3], 4 * S);
            let until = w.now + w.rng.random_range(2 * S..6 * S);
            w.run(0, until);
        }
        run_until_finished(w, 420 * S);
    });
    assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    w.copies
}

/// Guards against a late copy of a start that starts its task once more: after the worker has forgotten the task, which may have
/// ended, moved to another machine or been cancelled, and after its receiver has restarted.
#[test]
fn late_copies_of_starts_start_nothing_again() {
    let (mut frames, mut handoffs, mut responses) =
        (CopiedStarts::default(), CopiedStarts::default(), CopiedStarts::default());
    let (mut after_restart, mut probes) = (0, 0);
    for seed in seeds().take(12).map(|seed| seed + 30_000) {
        let copies = play_late_copies(seed);
        frames.add(copies.in_frames);
        handoffs.add(copies.in_handoffs);
        responses.add(copies.in_responses);
        after_restart += copies.after_restart;
        probes += copies.probes;
    }
    // The meetings took place, on each hop.
    for counts in [frames, handoffs, responses] {
        assert!(counts.forgotten > 40 && counts.moved > 0 && counts.cancelled > 10, "{counts:?}");
    }
    assert!(after_restart > 1000 && probes > 50, "{after_restart} copies after a restart, {probes} probes");
}

/// Two report periods and a digest period: the machine reports the task, its leader or the job's leader has it stopped, and
/// the answer to the next report carries that.
const MAX_REPEATED: u64 = 7 * S;

/// Guards against a task of a cancelled job that runs on because it was started again after its worker had forgotten it: it is
/// stopped at once, however it came to run.
#[test]
fn task_of_a_cancelled_job_that_runs_again_is_stopped_at_once() {
    let mut total = 0;
    for seed in 30_100..30_106 {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs: 0, ..SMALL });
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 9, 300 * S);
            w.run(0, 40 * S);
            w.copies.repeated_jobs = ids.iter().cloned().collect();
            cancel_all(w, &ids, 6 * S);
            let end = w.now + 40 * S;
            while w.now < end {
                let next = w.now + S / 10;
                w.run(0, next);
                w.repeated_starts();
                assert!(w.copies.longest_repeated <= MAX_REPEATED, "seed {seed}: a task runs on");
            }
            let (all, running) = w.repeated_starts();
            assert_eq!(running, 0, "seed {seed}");
            total += all;
        });
    }
    assert!(total > 90, "{total} tasks were started again");
}
