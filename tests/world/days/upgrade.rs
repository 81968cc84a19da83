//! Controllers of an older form among the others.

use crate::*;

/// The upgrade: controllers limited to the first form are killed and replaced in each order, at times that
/// overlap with crashes of their own; one that dies before its turn comes back old. Jobs that follow others
/// are offered all the while, and taken only once all are new. Then the limits fall.
#[test]
fn the_rules_hold_while_old_controllers_are_replaced_by_new_ones() {
    const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for seed in 3000..3024u64 {
        let mut w = World::new(seed, Shape { jobs: 50, ..CHAINED });
        w.limited = [true; 3];
        let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            w.run(0, 30 * S);
            let every = w.rng.random_range(4..30u64) * S;
            for n in ORDERS[seed as usize % 6] {
                assert!(w.accepted_with_dependencies() == 0, "taken while an old controller is there");
                if w.rng.random_bool(0.4) {
                    w.inject_random_fault();
                }
                w.limited[n] = false;
                w.crash(n);
                let until = w.now + every;
                w.run(0, until);
            }
            w.limits_fall = w.now + w.rng.random_range(0..40 * S);
            let until = w.now + 150 * S;
            w.run(until, until);
            w.run(0, until + 320 * S);
        }));
        if let Err(e) = r {
            eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(e);
        }
        assert!(w.accepted_with_dependencies() > 5, "seed {seed}");
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
    }
}

/// An old controller turns up once more when jobs wait already: it starts none of them, denies none, and
/// they go on once it has been replaced again.
#[test]
fn an_old_controller_that_turns_up_later_starts_nothing_that_waits() {
    for seed in 3100..3115u64 {
        let mut w = World::new(seed, Shape { jobs: 50, ..CHAINED });
        w.checks_orphans = false;
        w.run(0, 120 * S);
        assert!(w.accepted_with_dependencies() > 0, "seed {seed}");
        let n = seed as usize % 3;
        w.limited[n] = true;
        w.crash(n);
        w.run(200 * S, 200 * S);
        w.limited[n] = false;
        w.crash(n);
        w.run(0, 560 * S);
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
    }
}
