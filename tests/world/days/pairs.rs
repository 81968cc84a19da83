//! Each trouble beside a restart within a tenth of a second, in a takeover, just after a confirmed cancellation and just after
//! a job's end; and seeded pairs of all troubles that overlap.

use super::compound::*;
use crate::*;

/// One small day for each trouble: long jobs run, the moment comes, and the trouble with it.
fn each(base: u64, moment: impl Fn(&mut World, &[String], Fault, usize)) {
    let rounds = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..1 };
    for (round, (k, trouble)) in rounds.flat_map(|r| FAULTS.into_iter().enumerate().map(move |t| (r, t))) {
        let seed = base + 100 * round + k as u64;
        let mut w = World::new(seed, Shape { machines: 10, zone_capacity: 10, jobs: 0, ..SMALL });
        w.answer_gaps.pollers = true;
        guarded(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let ids = long_jobs(w, 9, 45 * S);
            w.run(0, 35 * S);
            let n = w.rng.random_range(0..3);
            moment(w, &ids, trouble, n);
            settle(w, 420 * S);
        });
        ended(&mut w, seed);
    }
}

fn long(w: &mut World) -> u64 {
    w.rng.random_range(4 * S..60 * S)
}

fn pass(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

/// A second process of the one that fails, or of another, while the trouble begins.
#[test]
fn each_trouble_beside_a_restart_within_a_tenth_of_a_second() {
    each(22_000, |w, ids, trouble, n| {
        let long = long(w);
        w.inject_fault(trouble, n, long);
        pass(w, 0, 8 * S);
        for _ in 0..3 {
            let p = w.rng.random_range(0..3);
            w.crash_for(p, S / 20..S / 10);
            pass(w, S / 10, 3 * S);
        }
        w.cancel_job(n, &ids[0]);
    });
}

/// The epoch without a lost controller is just being raised, taken up, loaded or handed over.
#[test]
fn each_trouble_while_a_takeover_is_in_progress() {
    each(22_200, |w, ids, trouble, n| {
        let epoch = w.epoch();
        let (lost, long) = ((n + 1) % 3, long(w));
        w.crash_for(lost, 12 * S..16 * S);
        while w.epoch() == epoch {
            let until = w.now + S / 10;
            w.run(0, until);
        }
        pass(w, 0, 3 * S / 2);
        w.inject_fault(trouble, n, long);
        w.cancel_job(n, &ids[0]);
    });
}

/// Somebody has just been told that a job is cancelled whose tasks are alive; its home, its owner or any other is struck.
#[test]
fn each_trouble_just_after_a_cancellation_was_confirmed() {
    each(22_400, |w, ids, trouble, n| {
        // Some gang may be between two attempts.
        let id = ids.iter().max_by_key(|id| w.machines_with_live_tasks(id).count()).expect("jobs");
        let n = match w.rng.random_range(0..3) {
            0 => owner(w, id).unwrap_or(n),
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
        let told = w.compound.cancel_answers[id];
        assert!(told.tasks > 0 && w.now <= told.at + S / 5, "its tasks are alive: {told:?}");
        let long = long(w).max(50 * S);
        w.inject_fault(trouble, n, long);
        let until = w.now + 50 * S;
        w.run(0, until);
    });
}

/// A task has just ended, and perhaps nobody but its worker knows.
#[test]
fn each_trouble_just_after_a_job_has_finished() {
    each(22_600, |w, ids, trouble, n| {
        let whole = |w: &World, id: &String| w.jobs[id].done.len() == w.jobs[id].spec.task_count as usize;
        while !ids.iter().any(|id| whole(w, id)) {
            let until = w.now + S / 10;
            w.run(0, until);
        }
        let id = ids.iter().find(|id| whole(w, id)).expect("one has ended");
        assert_eq!(w.jobs[id].known, KnownState::Accepted, "nobody has been told");
        let n = match w.rng.random_range(0..2) {
            0 => owner(w, id).unwrap_or(n),
            _ => n,
        };
        let long = long(w);
        w.inject_fault(trouble, n, long);
        pass(w, S, 6 * S);
        // The user who asked to cancel is told what it came to.
        w.cancel_job(n, id);
    });
}

/// Pairs of all troubles that overlap, one after the other; `WORLD_SEEDS` plays more.
#[test]
fn the_rules_hold_while_two_troubles_overlap() {
    let mut met: BTreeMap<String, usize> = BTreeMap::new();
    for seed in seeds().take(if std::env::var("WORLD_SEEDS").is_ok() { usize::MAX } else { 12 }) {
        let seed = seed + 23_000;
        let mut w = World::new(seed, Shape { machines: 8, run: 45 * S, ..SMALL });
        w.answer_gaps.pollers = true;
        w.handoff_fault_rate = 0.1;
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            while w.now < 220 * S {
                let (a, b) = (w.rng.random_range(0..FAULTS.len()), w.rng.random_range(0..FAULTS.len()));
                *met.entry(format!("{:?}+{:?}", FAULTS[a.min(b)], FAULTS[a.max(b)])).or_default() += 1;
                w.pair(FAULTS[a], FAULTS[b]);
                let until = w.now + w.rng.random_range(S..35 * S);
                w.run(0, until);
            }
            let until = w.last_fault_end().max(w.now) + 320 * S;
            settle(w, until);
        });
        ended(&mut w, seed);
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
    }
    assert!(std::env::var("WORLD_SEEDS").is_ok() || met.len() > 40, "{} kinds of pairs", met.len());
}
