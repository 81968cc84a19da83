//! Each kind of fault together with a restart within a tenth of a second, during a takeover, just after a confirmed
//! cancellation and just after a job has finished; and random pairs of overlapping faults.

use super::compound::*;
use crate::*;

/// Plays one short run for each kind of fault: long jobs are running when `moment` brings about a state and injects the fault.
fn play_each_fault(base: u64, moment: impl Fn(&mut World, &[String], Fault, usize)) {
    let rounds = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..1 };
    for (round, (k, fault)) in rounds.flat_map(|r| FAULTS.into_iter().enumerate().map(move |t| (r, t))) {
        let seed = base + 100 * round + k as u64;
        let mut w = World::new(seed, Shape { machines: 10, zone_capacity: 10, jobs: 0, ..SMALL });
        w.answer_gaps.pollers = true;
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let ids = add_long_jobs(w, 9, 45 * S);
            w.run(0, 35 * S);
            let n = w.rng.random_range(0..3);
            moment(w, &ids, fault, n);
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
    }
}

fn random_duration(w: &mut World) -> u64 {
    w.rng.random_range(4 * S..60 * S)
}

fn run_for_random_time(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

/// The faulty controller or another one restarts as a new process while the fault begins.
#[test]
fn each_fault_together_with_a_restart_within_a_tenth_of_a_second() {
    play_each_fault(22_000, |w, ids, fault, n| {
        let duration = random_duration(w);
        w.inject_fault(fault, n, duration);
        run_for_random_time(w, 0, 8 * S);
        for _ in 0..3 {
            let p = w.rng.random_range(0..3);
            w.crash_for(p, S / 20..S / 10);
            run_for_random_time(w, S / 10, 3 * S);
        }
        w.cancel_job(n, &ids[0]);
    });
}

/// The epoch without a crashed controller is being raised, adopted, loaded or handed off.
#[test]
fn each_fault_while_a_takeover_is_in_progress() {
    play_each_fault(22_200, |w, ids, fault, n| {
        let epoch = w.epoch();
        let (crashed, duration) = ((n + 1) % 3, random_duration(w));
        w.crash_for(crashed, 12 * S..16 * S);
        while w.epoch() == epoch {
            let until = w.now + S / 10;
            w.run(0, until);
        }
        run_for_random_time(w, 0, 3 * S / 2);
        w.inject_fault(fault, n, duration);
        w.cancel_job(n, &ids[0]);
    });
}

/// A user has just got confirmation that a job with live tasks is cancelled. The fault hits the machine leader of a task, the
/// job leader or any other controller.
#[test]
fn each_fault_just_after_a_cancellation_was_confirmed() {
    play_each_fault(22_400, |w, ids, fault, n| {
        // A gang may be between two attempts and have no live task.
        let id = ids.iter().max_by_key(|id| w.machines_with_live_tasks(id).count()).expect("jobs");
        let n = match w.rng.random_range(0..3) {
            0 => job_leader(w, id).unwrap_or(n),
            1 => w.machines_with_live_tasks(id).next().and_then(|m| machine_leader(w, m)).unwrap_or(n),
            _ => n,
        };
        let until = w.now + 30 * S;
        while !w.compound.cancel_answers.contains_key(id) && w.now < until {
            let p = w.rng.random_range(0..3);
            w.cancel_job(p, id);
            let until = w.now + S / 10;
            w.run(0, until);
        }
        let confirmation = w.compound.cancel_answers[id];
        assert!(
            confirmation.tasks > 0 && w.now <= confirmation.at + S / 5,
            "its tasks are alive: {confirmation:?}"
        );
        let duration = random_duration(w).max(50 * S);
        w.inject_fault(fault, n, duration);
        let until = w.now + 50 * S;
        w.run(0, until);
    });
}

/// A task has just ended, and possibly only its worker has a record of that.
#[test]
fn each_fault_just_after_a_job_has_finished() {
    play_each_fault(22_600, |w, ids, fault, n| {
        let has_all_tasks_done =
            |w: &World, id: &String| w.jobs[id].done.len() == w.jobs[id].spec.task_count as usize;
        while !ids.iter().any(|id| has_all_tasks_done(w, id)) {
            let until = w.now + S / 10;
            w.run(0, until);
        }
        let id = ids.iter().find(|id| has_all_tasks_done(w, id)).expect("one has ended");
        assert_eq!(w.jobs[id].known, KnownState::Accepted, "no user has been told");
        let n = match w.rng.random_range(0..2) {
            0 => job_leader(w, id).unwrap_or(n),
            _ => n,
        };
        let duration = random_duration(w);
        w.inject_fault(fault, n, duration);
        run_for_random_time(w, S, 6 * S);
        // The user who asks to cancel the job is told its outcome.
        w.cancel_job(n, id);
    });
}

/// Plays overlapping pairs of all kinds of faults, one pair after the other; `WORLD_SEEDS` plays more.
#[test]
fn invariants_hold_while_two_faults_overlap() {
    let mut pairs_met: BTreeMap<String, usize> = BTreeMap::new();
    for seed in seeds().take(if std::env::var("WORLD_SEEDS").is_ok() { usize::MAX } else { 12 }) {
        let seed = seed + 23_000;
        let mut w = World::new(seed, Shape { machines: 8, run: 45 * S, ..SMALL });
        w.answer_gaps.pollers = true;
        w.handoff_fault_rate = 0.1;
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            while w.now < 220 * S {
                let (a, b) = (w.rng.random_range(0..FAULTS.len()), w.rng.random_range(0..FAULTS.len()));
                *pairs_met.entry(format!("{:?}+{:?}", FAULTS[a.min(b)], FAULTS[a.max(b)])).or_default() += 1;
                w.pair(FAULTS[a], FAULTS[b]);
                let until = w.now + w.rng.random_range(S..35 * S);
                w.run(0, until);
            }
            let until = w.last_fault_end().max(w.now) + 320 * S;
            run_until_finished(w, until);
        });
        assert_all_finished(&mut w, seed);
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
    }
    assert!(
        std::env::var("WORLD_SEEDS").is_ok() || pairs_met.len() > 40,
        "{} kinds of pairs",
        pairs_met.len()
    );
}
