//! Takeovers that follow one another, and controllers that are told to end.

use crate::*;

/// Epochs a few seconds apart: controllers crash, stand still and are cut off one after the other while machines die,
/// hang and come back, and what is handed over is lost, doubled and late.
#[test]
fn the_rules_hold_while_takeovers_follow_one_another() {
    let mut parcels = 0;
    for seed in seeds().map(|s| s + 7000) {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 10, ..SMALL });
        w.handoff_fault_rate = 0.3;
        let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            w.run(0, 20 * S);
            while w.now < 200 * S {
                let n = w.rng.random_range(0..3usize);
                let long = w.rng.random_range(S..25 * S);
                w.log.push(format!("{:.1}: {n}, {:.1}", w.now as f64 / 1e6, long as f64 / 1e6));
                match w.rng.random_range(0..8) {
                    0..4 => w.crash(n),
                    4 => w.paused_until[n] = w.now + long,
                    5 => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Store,
                        w.now + long,
                        seed % 2 == 0,
                    )),
                    6 => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Workers,
                        w.now + long,
                        seed % 2 == 0,
                    )),
                    _ => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Controller((n + 1) % 3),
                        w.now + long,
                        seed % 2 == 0,
                    )),
                }
                let i = w.rng.random_range(0..w.workers.len());
                match w.rng.random_range(0..3) {
                    0 => w.workers[i].unresponsive_until = w.now + long,
                    1 if i % 3 == 0 => {
                        w.workers[i].dead = true;
                        w.workers[i].tasks.clear();
                    }
                    _ => {}
                }
                let until = w.now + w.rng.random_range(2 * S..12 * S);
                w.run(0, until);
            }
            w.run(0, 520 * S);
        }));
        if let Err(e) = r {
            eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(e);
        }
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
        parcels += w.handoff_batches;
    }
    assert!(parcels > 500, "{parcels} parcels");
}

/// A machine dies and a second controller crashes half a lease later. Whoever owns the first one's jobs then must not
/// begin to wait for that machine anew, and jobs that one owner living hands to the next wait for nothing.
#[test]
fn a_dead_machine_is_waited_for_once_however_many_epochs_pass() {
    for seed in 7300..7306 {
        let mut w = World::new(
            seed,
            Shape { machines: 12, zone_capacity: 16, jobs: 30, run: 60 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 40 * S);
        // The cloud's list takes it for well.
        w.workers[0].unresponsive_until = NEVER;
        let first = w.now;
        // What its home knows is lost with its home; any other controller's crash must not touch it.
        let home = w.nodes[0].as_ref().and_then(|n| n.membership.machine_leader("i-000000")).expect("a home");
        for _ in 0..2 {
            w.crash((home + 1 + seed as usize % 2) % 3);
            let until = w.now + 16 * S;
            w.run(0, until);
        }
        // The lease of a store, in which the first is noticed, and that of the worker; half a lease ends what others
        // may still answer. A clock that began again with the last epoch would run until 56 s.
        let bound = first + 36 * S;
        let until = bound.max(w.now);
        w.run(0, until);
        for n in 0..3 {
            let now = w.clock(n);
            let Some(node) = w.nodes[n].as_mut() else { continue };
            let status = node.status(now);
            assert_eq!(status["takeover"]["jobs_in_doubt"], 0, "seed {seed}, {n}: {status:#}");
        }
    }
}

/// Controllers are told to end one after the other, under load: each is gone within the bound, costs one epoch on
/// leaving and one on coming back, and a report period after it left nobody is in doubt.
#[test]
fn a_controller_that_is_told_to_end_hands_on_what_it_knows() {
    for seed in 7400..7412u64 {
        let mut w =
            World::new(seed, Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, ..SMALL });
        w.run(0, 60 * S);
        let epoch = w.epoch();
        for i in 0..3 {
            let n = (seed as usize + i) % 3;
            w.schedule(1, SimEvent::Controller(n, 0, Event::Leave));
            let told = w.now;
            while !w.nodes[n].as_ref().is_some_and(|node| node.can_exit(w.clock(n))) {
                let until = w.now + S / 10;
                w.run(0, until);
                assert!(
                    w.now < told + hazelsaddle::controller::LEAVE_TIMEOUT.0 + S,
                    "seed {seed}: {n} stays"
                );
            }
            assert!(w.now < told + 2 * S, "seed {seed}: {n} took {} s", (w.now - told) as f64 / 1e6);
            w.crash(n);
            w.restart_at[n] = w.now + 8 * S;
            // A machine that has just come up reports twice before its tasks count as known.
            let until = w.now + 4 * S;
            w.run(0, until);
            for p in (0..3).filter(|&p| p != n) {
                let now = w.clock(p);
                let status = w.nodes[p].as_mut().expect("it lives").status(now);
                let takeover = &status["takeover"];
                assert_eq!(takeover["jobs_in_doubt"], 0, "seed {seed}, {n} left, {p}: {status:#}");
            }
            let until = w.now + 15 * S;
            w.run(0, until);
            assert_eq!(w.epoch(), epoch + 2 * (i as u64 + 1), "seed {seed}: epochs of a roll");
        }
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
}

/// A controller crashes and is back before its lease has ended, so nobody else has had its jobs, while one of its own
/// machines hangs. What it had told the others lets its jobs go on long before that machine is certainly dead.
#[test]
fn jobs_of_a_crashed_controller_do_not_wait_for_its_dead_machines() {
    let mut helped = 0;
    for seed in 7500..7510u64 {
        let mut w = World::new(
            seed,
            Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 40 * S);
        let n = seed as usize % 3;
        let homes: Vec<Option<usize>> = {
            let m = &w.nodes[0].as_ref().expect("it lives").membership;
            w.workers.iter().map(|x| m.machine_leader(&x.name)).collect()
        };
        for (i, home) in homes.into_iter().enumerate() {
            if home == Some(n) && i % 3 == 0 {
                w.workers[i].unresponsive_until = NEVER;
            }
        }
        w.crash(n);
        w.restart_at[n] = w.now + 4 * S;
        let until = w.now + 7 * S;
        w.run(0, until);
        let now = w.clock(n);
        let node = w.nodes[n].as_mut().expect("it is back");
        let status = node.status(now);
        let takeover = &status["takeover"];
        let waits = takeover["waits_for_machines"].as_array().expect("names").len();
        assert!(waits > 0, "seed {seed}: the dead ones are not known to be dead yet");
        // One that another has put on record since is new once the epoch was read again, which it is every second.
        let recent = w.jobs.values().filter(|j| j.accepted_at.is_some_and(|t| t + 3 * S / 2 > w.now)).count();
        let unresolved_sets = takeover["jobs_in_doubt"].as_u64().expect("a number");
        assert!(unresolved_sets <= recent as u64, "seed {seed}: {status:#}");
        helped += takeover["jobs_witnessed"].as_u64().expect("a number");
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
    assert!(helped > 20, "{helped} jobs");
}
