//! All controllers restart at once during an outage of the state store while machines have been returned to the cloud, and
//! controllers restart in quick succession.

use crate::*;

/// The number of unresolved jobs and of machines without a report in a controller's status.
fn unresolved_counts(w: &mut World, n: usize) -> (u64, u64) {
    let now = w.clock(n);
    let Some(node) = w.nodes[n].as_mut() else { return (u64::MAX, u64::MAX) };
    let status = node.status(now);
    let number = |v: &Value| v.as_u64().expect("a number");
    (number(&status["takeover"]["jobs_in_doubt"]), number(&status["machines_unheard"]))
}

fn restart_all(w: &mut World) {
    for n in 0..3 {
        w.crash(n);
        w.restart_at[n] = w.now + S / 5;
    }
}

/// Machines are returned to the cloud, and all controllers restart before that is stored, so no controller has it in memory. A
/// lease is 18 s; the cloud's list of machines arrives in a few seconds. A restart of one controller does not start the wait
/// again.
#[test]
fn no_controller_waits_for_machines_that_were_returned_to_the_cloud() {
    for seed in 7600..7606u64 {
        let mut w = World::new(
            seed,
            Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 60 * S);
        let outage_ends_at = w.now + 12 * S;
        w.outage_until = outage_ends_at;
        for x in w.workers.iter_mut().take(6) {
            x.gone = true;
            x.tasks.clear();
        }
        let until = w.now + 3 * S;
        w.run(0, until);
        restart_all(&mut w);
        let mut unresolved = 0;
        for quarter in 1..=4 {
            w.run(0, outage_ends_at + quarter * S / 4);
            unresolved += (0..3).map(|n| unresolved_counts(&mut w, n).0).sum::<u64>();
        }
        assert!(unresolved > 0, "seed {seed}: the stored pages still name these machines");
        let until = outage_ends_at + 6 * S;
        w.run(0, until);
        for n in 0..3 {
            assert_eq!(unresolved_counts(&mut w, n), (0, 0), "seed {seed}, {n}");
        }
        w.crash(seed as usize % 3);
        w.restart_at[seed as usize % 3] = w.now + S / 5;
        let until = w.now + 4 * S;
        w.run(0, until);
        for n in 0..3 {
            assert_eq!(unresolved_counts(&mut w, n), (0, 0), "seed {seed}, {n}: after one more restart");
        }
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
}

/// Reports alone would take two periods of 3 s, or one period and a second if the worker has time to adopt the new token.
#[test]
fn live_machines_are_known_two_seconds_after_all_controllers_restart() {
    for seed in 7610..7616u64 {
        let mut w = World::new(
            seed,
            Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 60 * S);
        restart_all(&mut w);
        let until = w.now + 2 * S;
        w.run(0, until);
        for n in 0..3 {
            assert_eq!(unresolved_counts(&mut w, n), (0, 0), "seed {seed}, {n}");
        }
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
}

/// One, two or all controllers crash and restart within seconds of one another, while machines are returned to the cloud, die
/// and hang, and while messages to workers and to the state store are held and delivered late.
#[test]
fn invariants_hold_while_controllers_restart_at_once() {
    for seed in seeds().map(|s| s + 7700) {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 10, ..SMALL });
        w.handoff_fault_rate = 0.2;
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            w.run(0, 20 * S);
            while w.now < 200 * S {
                for _ in 0..w.rng.random_range(1..4) {
                    let n = w.rng.random_range(0..3usize);
                    w.crash(n);
                    w.restart_at[n] = w.now + w.rng.random_range(S / 20..S / 2);
                }
                let (n, duration) = (w.rng.random_range(0..3usize), w.rng.random_range(S..25 * S));
                match w.rng.random_range(0..5) {
                    0 => w.outage_until = w.now + duration,
                    1 => {
                        w.partitions.push((Endpoint::Controller(n), Endpoint::Store, w.now + duration, true))
                    }
                    2 => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Workers,
                        w.now + duration,
                        true,
                    )),
                    3 => w.paused_until[n] = w.now + duration,
                    _ => {}
                }
                let i = w.rng.random_range(0..w.workers.len());
                let x = &mut w.workers[i];
                match i % 4 {
                    0 => x.unresponsive_until = w.now + duration,
                    1 if w.now > 60 * S => {
                        x.gone = true;
                        x.tasks.clear();
                    }
                    2 => {
                        x.dead = true;
                        x.tasks.clear();
                    }
                    _ => {}
                }
                let until = w.now + w.rng.random_range(S..15 * S);
                w.run(0, until);
            }
            w.run(0, 520 * S);
        }));
        if let Err(panic) = result {
            eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(panic);
        }
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
    }
}
