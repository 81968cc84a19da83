//! Takeovers in quick succession, and controllers that are shut down.

use crate::*;

/// Epochs are a few seconds apart: controllers crash, pause and are partitioned one after the other while machines die, hang
/// and recover, and hand-off batches are lost, duplicated and delayed.
#[test]
fn invariants_hold_during_takeovers_in_quick_succession() {
    let mut batches = 0;
    for seed in seeds().map(|s| s + 7000) {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 10, ..SMALL });
        w.handoff_fault_rate = 0.3;
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            w.run(0, 20 * S);
            while w.now < 200 * S {
                let n = w.rng.random_range(0..3usize);
                let duration = w.rng.random_range(S..25 * S);
                w.log.push(format!("{:.1}: {n}, {:.1}", w.now as f64 / 1e6, duration as f64 / 1e6));
                match w.rng.random_range(0..8) {
                    0..4 => w.crash(n),
                    4 => w.paused_until[n] = w.now + duration,
                    5 => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Store,
                        w.now + duration,
                        seed % 2 == 0,
                    )),
                    6 => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Workers,
                        w.now + duration,
                        seed % 2 == 0,
                    )),
                    _ => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Controller((n + 1) % 3),
                        w.now + duration,
                        seed % 2 == 0,
                    )),
                }
                let i = w.rng.random_range(0..w.workers.len());
                match w.rng.random_range(0..3) {
                    0 => w.workers[i].unresponsive_until = w.now + duration,
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
        if let Err(panic) = result {
            eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(panic);
        }
        assert!(w.underserved().is_empty(), "seed {seed}: {:?}", w.underserved());
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
        batches += w.handoff_batches;
    }
    assert!(batches > 500, "{batches} hand-off batches");
}

/// A machine dies, and a controller that does not lead it crashes twice, 16 s apart, so several epochs follow. The new leaders of
/// its jobs must not start the wait for that machine again, and jobs that one live leader hands to the next wait for nothing.
#[test]
fn a_dead_machine_is_waited_for_once_across_several_epochs() {
    for seed in 7300..7306 {
        let mut w = World::new(
            seed,
            Shape { machines: 12, zone_capacity: 16, jobs: 30, run: 60 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 40 * S);
        // The cloud's list still has this machine as running.
        w.workers[0].unresponsive_until = NEVER;
        let died_at = w.now;
        // The machine leader loses what it has in memory when it crashes, so another controller crashes here: that must not
        // affect the machine.
        let machine_leader = w.nodes[0]
            .as_ref()
            .and_then(|n| n.membership.machine_leader("i-000000"))
            .expect("a machine leader");
        for _ in 0..2 {
            w.crash((machine_leader + 1 + seed as usize % 2) % 3);
            let until = w.now + 16 * S;
            w.run(0, until);
        }
        // The bound is the lease at the state store, after which the first crash is detected, plus the worker's lease plus
        // half a lease, after which the other controllers answer no more. A wait that began again with the last epoch
        // would last until 56 s.
        let bound = died_at + 36 * S;
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

/// Controllers are shut down one after the other, under load. Each exits within the timeout and causes one epoch for leaving
/// and one for rejoining. A report period after it left no job is unresolved.
#[test]
fn a_controller_that_is_shut_down_hands_off_its_state() {
    for seed in 7400..7412u64 {
        let mut w =
            World::new(seed, Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, ..SMALL });
        w.run(0, 60 * S);
        let epoch = w.epoch();
        for i in 0..3 {
            let n = (seed as usize + i) % 3;
            w.schedule(1, SimEvent::Controller(n, 0, Event::Leave));
            let shutdown_at = w.now;
            while !w.nodes[n].as_ref().is_some_and(|node| node.can_exit(w.clock(n))) {
                let until = w.now + S / 10;
                w.run(0, until);
                assert!(
                    w.now < shutdown_at + hazelsaddle::controller::LEAVE_TIMEOUT.0 + S,
                    "seed {seed}: {n} does not exit"
                );
            }
            assert!(
                w.now < shutdown_at + 2 * S,
                "seed {seed}: {n} took {} s",
                (w.now - shutdown_at) as f64 / 1e6
            );
            w.crash(n);
            w.restart_at[n] = w.now + 8 * S;
            // A machine that has just booted reports twice before its task list counts as complete.
            let until = w.now + 4 * S;
            w.run(0, until);
            for p in (0..3).filter(|&p| p != n) {
                let now = w.clock(p);
                let status = w.nodes[p].as_mut().expect("the controller runs").status(now);
                let takeover = &status["takeover"];
                assert_eq!(takeover["jobs_in_doubt"], 0, "seed {seed}, {n} left, {p}: {status:#}");
            }
            let until = w.now + 15 * S;
            w.run(0, until);
            assert_eq!(w.epoch(), epoch + 2 * (i as u64 + 1), "seed {seed}: epochs of a rolling restart");
        }
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
}

/// A controller crashes and restarts before its lease expires, so that no other controller has led its jobs, while some of its
/// own machines hang. The witness records that it had sent to the others let its jobs proceed long before these machines are
/// certainly dead.
#[test]
fn jobs_of_a_crashed_controller_do_not_wait_for_its_dead_machines() {
    let mut witnessed = 0;
    for seed in 7500..7510u64 {
        let mut w = World::new(
            seed,
            Shape { machines: 24, zone_capacity: 16, jobs: 50, run: 40 * S, pause: 2 * S, ..SMALL },
        );
        w.run(0, 40 * S);
        let n = seed as usize % 3;
        let machine_leaders: Vec<Option<usize>> = {
            let membership = &w.nodes[0].as_ref().expect("the controller runs").membership;
            w.workers.iter().map(|x| membership.machine_leader(&x.name)).collect()
        };
        for (i, machine_leader) in machine_leaders.into_iter().enumerate() {
            if machine_leader == Some(n) && i % 3 == 0 {
                w.workers[i].unresponsive_until = NEVER;
            }
        }
        w.crash(n);
        w.restart_at[n] = w.now + 4 * S;
        let until = w.now + 7 * S;
        w.run(0, until);
        let now = w.clock(n);
        let node = w.nodes[n].as_mut().expect("the controller has restarted");
        let status = node.status(now);
        let takeover = &status["takeover"];
        let waits = takeover["waits_for_machines"].as_array().expect("names").len();
        assert!(waits > 0, "seed {seed}: the hung machines are not known to be dead yet");
        // A job that another controller has accepted since then is resolved after the next read of the epoch, which happens
        // every second.
        let recent = w.jobs.values().filter(|j| j.accepted_at.is_some_and(|t| t + 3 * S / 2 > w.now)).count();
        let unresolved_jobs = takeover["jobs_in_doubt"].as_u64().expect("a number");
        assert!(unresolved_jobs <= recent as u64, "seed {seed}: {status:#}");
        witnessed += takeover["jobs_witnessed"].as_u64().expect("a number");
        w.run(0, 420 * S);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?}", w.unfinished_jobs());
    }
    assert!(witnessed > 20, "{witnessed} jobs");
}
