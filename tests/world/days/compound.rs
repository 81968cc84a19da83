//! Combinations of two faults that violated invariants in other tests. Each test here is certain to bring its combination about.

use crate::*;

pub(super) fn print_log_on_panic(seed: u64, w: &mut World, play: impl FnOnce(&mut World)) {
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(w)));
    if let Err(panic) = result {
        eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
        std::panic::resume_unwind(panic);
    }
}

/// Checks at the end of a run that all jobs that were not cancelled are done, and that no user went unanswered for 30 s. After a
/// fault of a minute leases are granted again and records are read again, so the bound is longer than in other runs. It is far
/// below the 75 s after which a job counts as forgotten.
pub(super) fn assert_all_finished(w: &mut World, seed: u64) {
    let states = w.states();
    assert!(
        w.unfinished_jobs().is_empty(),
        "seed {seed}: {:?} {:#?} {states:#?}",
        w.unfinished_jobs(),
        w.log
    );
    w.assert_answer_gaps_below(seed, 30.0);
}

/// Plays until all jobs have finished as expected, at most until `end`.
pub(super) fn run_until_finished(w: &mut World, end: u64) {
    while w.now < end && !w.unfinished_jobs().is_empty() {
        let until = w.now + 5 * S;
        w.run(0, until);
    }
}

/// Adds jobs and gangs of a few tasks that run for `run` microseconds. Their users submit them at once.
pub(super) fn add_long_jobs(w: &mut World, count: u32, run: u64) -> Vec<String> {
    (0..count)
        .map(|i| {
            let (kind, tasks) = [("batch", 2), ("group", 3), ("batch", 4)][i as usize % 3];
            let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
            let class = format!("{kind}-normal");
            let body = json!({"uid": id, "breed": class, "herd": "t1", "gait": kind,
                "rank": "normal", "strides": tasks, "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img",
                "imageGb": 1.0, "together": false, "scatter": false, "borrowed": false, "rideS": run as f64 / 1e6,
                "restS": 0.0, "unsaddleS": 0.0, "dueS": null, "follows": []});
            w.add_described_job(&body, run);
            id
        })
        .collect()
}

fn world(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, Shape { machines: 10, zone_capacity: 10, jobs, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

/// The leader of a job, by the newest epoch that any controller has adopted.
pub(super) fn job_leader(w: &World, id: &str) -> Option<usize> {
    let newest = w.nodes.iter().flatten().max_by_key(|x| x.membership.epoch)?;
    newest.membership.job_leader(id)
}

/// The leader of a machine, by the newest epoch that any controller has adopted.
pub(super) fn machine_leader(w: &World, machine: usize) -> Option<usize> {
    let newest = w.nodes.iter().flatten().max_by_key(|x| x.membership.epoch)?;
    newest.membership.machine_leader(&w.workers[machine].name)
}

/// Users ask any controller to cancel these jobs until that is confirmed, for at most `duration`.
pub(super) fn cancel_all(w: &mut World, ids: &[String], duration: u64) {
    let end = w.now + duration;
    while w.now < end && ids.iter().any(|id| w.jobs[id].known == KnownState::Accepted) {
        for id in ids {
            if w.jobs[id].known == KnownState::Accepted {
                let n = w.rng.random_range(0..3);
                w.cancel_job(n, id);
            }
        }
        let until = w.now + 2 * S;
        w.run(0, until);
    }
}

/// The old report may come from an earlier session or attempt. Meanwhile machine leaders restart without their state or change,
/// and jobs are cancelled.
#[test]
fn a_stale_report_arrives_after_newer_ones() {
    let (mut copies, mut earlier) = ([0; 3], 0);
    for seed in seeds().take(6).map(|s| s + 21_000) {
        let mut w = world(seed, 30);
        w.shape.run = 40 * S;
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            w.delay_heartbeats(0.5, 130 * S);
            for i in 0..5 {
                // A machine whose lease expires while it hangs begins a new session.
                for m in w.some_machines() {
                    w.workers[m].unresponsive_until = w.now + (LEASE_S * 1e6) as u64 + 3 * S;
                }
                let n = (seed as usize + i) % 3;
                match i % 2 {
                    0 => w.crash_for(n, S / 20..S / 10),
                    _ => w.partitions.push((Endpoint::Controller(n), Endpoint::Store, w.now + 12 * S, true)),
                }
                let until = w.now + 25 * S;
                w.run(0, until);
            }
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        copies.iter_mut().zip(w.compound.copies).for_each(|(a, b)| *a += b);
        earlier += w.compound.earlier;
    }
    assert!(copies[1] > 500 && copies[2] > 300 && earlier > 10, "{copies:?}, {earlier} of earlier sessions");
}

/// Machines with long tasks report but receive no answers, or are unreachable, while their machine leader or job leader crashes
/// and restarts and users cancel. Tasks on machines without answers live until the worker's lease expires, which no report
/// extends.
#[test]
fn a_leader_crashes_while_machines_get_no_answers_or_are_unreachable() {
    let (mut unheard, mut confirmed) = (0, 0);
    for seed in seeds().take(8).map(|s| s + 21_100) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 12, 120 * S);
            w.run(0, 50 * S);
            let n = seed as usize % 3;
            let machines: Vec<usize> =
                (0..w.workers.len()).filter(|&i| machine_leader(w, i) == Some(n)).collect();
            let duration = w.rng.random_range(8 * S..60 * S);
            w.lose_inbound_messages(&machines[..machines.len().div_ceil(2)], duration);
            for &i in &machines[machines.len().div_ceil(2)..] {
                w.workers[i].unresponsive_until = w.now + w.rng.random_range(4 * S..duration);
            }
            let until = w.now + w.rng.random_range(0..5 * S);
            w.run(0, until);
            match seed % 2 {
                0 => w.crash_for(n, S / 20..S / 10),
                _ => w.crash_for(n, 8 * S..14 * S),
            }
            let until = w.now + w.rng.random_range(S / 10..4 * S);
            w.run(0, until);
            cancel_all(w, &ids[..8], 60 * S);
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        unheard += w.compound.lost_to_workers;
        confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
    }
    assert!(
        unheard > 50 && confirmed > 20,
        "{unheard} lost answers, {confirmed} cancellations with live tasks"
    );
}

/// When the leader changes, the end of the first task is known to the worker, the machine leader, the job leader or the state
/// store; the last task ends much later. Machine leaders change together with job leaders, and machines of ended tasks die.
#[test]
fn tasks_of_one_job_end_far_apart_across_a_change_of_leader() {
    let mut partly_done = 0;
    for seed in seeds().take(8).map(|s| s + 21_200) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 15, 14 * S);
            ids.iter().for_each(|id| w.jobs.get_mut(id).expect("a job").extra_run_per_index = 22 * S);
            w.run(0, 30 * S);
            for i in 0..4 {
                // The leader changes just as tasks end, or before any controller has got a report of that.
                let until = w.now + w.rng.random_range(S..12 * S);
                w.run(0, until);
                let is_partly_done =
                    |j: &&UserJob| !j.done.is_empty() && j.done.len() < j.spec.task_count as usize;
                partly_done += w.jobs.values().filter(is_partly_done).count();
                let n = (seed as usize + i) % 3;
                match (seed + i as u64) % 4 {
                    0 => w.crash_for(n, S / 20..S / 10),
                    1 => w.crash_for(n, 8 * S..12 * S),
                    2 => w.inject_fault(Fault::Leave, n, 0),
                    _ => w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 14 * S),
                }
                if i == 1 {
                    w.inject_fault(Fault::MachinesFail, n, 0);
                }
            }
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        let is_done = |j: &UserJob| j.known == KnownState::Done && j.done.len() == j.spec.task_count as usize;
        assert!(w.jobs.values().all(is_done), "seed {seed}: no job was cancelled");
    }
    assert!(partly_done > 40, "{partly_done} jobs with some tasks done at a change of leader");
}

/// One controller is shut down and restarts, the next is shut down, all crash, and one restarts, all within a second, while
/// hand-off batches are lost, duplicated and delayed.
#[test]
fn controllers_hand_off_twice_all_crash_and_one_restarts_within_a_second() {
    let mut batches = 0;
    for seed in seeds().take(8).map(|s| s + 21_300) {
        let mut w = world(seed, 30);
        (w.handoff_fault_rate, w.shape.run) = (0.3, 40 * S);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 40 * S);
            for i in 0..4 {
                let n = (seed as usize + i) % 3;
                let (p, q) = ((n + 1) % 3, (n + 2) % 3);
                w.schedule(1, SimEvent::Controller(n, 0, Event::Leave));
                let until = w.now + w.rng.random_range(S / 10..S / 2);
                w.run(0, until);
                w.crash_for(n, S / 20..S / 10);
                w.schedule(1, SimEvent::Controller(p, 0, Event::Leave));
                let until = w.now + w.rng.random_range(S / 10..S / 2);
                w.run(0, until);
                w.crash_for(n, S / 20..S / 10);
                [p, q].into_iter().for_each(|m| w.crash_for(m, S / 2..12 * S));
                let until = w.now + w.rng.random_range(S..25 * S);
                w.run(0, until);
            }
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        batches += w.handoff_batches;
    }
    assert!(batches > 20, "{batches} hand-off batches");
}

/// Commands in answers and direct commands are delayed by seconds, or the machine hangs after it received them. It resumes,
/// possibly after its machine leader has changed and jobs were cancelled.
#[test]
fn commands_and_answers_are_delayed_for_seconds_and_the_machine_resumes() {
    let mut starts = 0;
    for seed in seeds().take(8).map(|s| s + 21_400) {
        let mut w = world(seed, 40);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            for i in 0..6 {
                let n = (seed as usize + i) % 3;
                let (delay, duration) = (w.rng.random_range(S..4 * S), w.rng.random_range(8 * S..20 * S));
                let (from, until) = (Endpoint::Controller(n), w.now + duration);
                w.compound.faulty_links.push(FaultyLink {
                    from,
                    to: Endpoint::Workers,
                    until,
                    fate: LinkFault::Late(delay),
                });
                let until = w.now + w.rng.random_range(S..5 * S);
                w.run(0, until);
                let duration = w.rng.random_range(3 * S..16 * S);
                w.inject_fault(Fault::MachinesUnresponsive, n, duration);
                if i % 2 == 0 {
                    let m = w.rng.random_range(0..3);
                    w.crash_for(m, S / 20..S / 10);
                }
                let until = w.now + w.rng.random_range(4 * S..18 * S);
                w.run(0, until);
            }
            starts += w.starts;
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
    }
    assert!(starts > 400, "{starts} attempts meanwhile");
}

/// A leader is partitioned from the state store and its peers, but not from its workers and users. Its jobs are cancelled
/// through its successor.
#[test]
fn jobs_of_a_leader_partitioned_from_store_and_peers_are_cancelled_through_its_successor() {
    let mut confirmed = 0;
    for seed in seeds().take(10).map(|s| s + 21_500) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 12, 130 * S);
            w.run(0, 45 * S);
            let n = seed as usize % 3;
            let led_jobs: BTreeSet<String> =
                ids.iter().filter(|id| job_leader(w, id) == Some(n)).cloned().collect();
            let (from, duration) = (w.now, [10, 30, 70][seed as usize % 3] * S);
            w.cut_from_store_and_peers(n, duration, seed % 2 == 0);
            cancel_all(w, &ids[..9], duration + 20 * S);
            let is_by_successor = |(id, t): (&String, &CancelAnswer)| {
                led_jobs.contains(id) && t.by != n && t.at < from + duration
            };
            confirmed += w.compound.cancel_answers.iter().filter(|(id, t)| is_by_successor((id, t))).count();
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
    }
    assert!(confirmed > 5, "{confirmed} cancellations by the new leader during the partition");
}

/// Answers take 1 to 5 s, while the request timeout is two: half of the requests are executed without an answer. Users cancel
/// and query jobs meanwhile.
#[test]
fn the_state_store_is_slow_while_users_cancel_and_query() {
    let (mut unknown, mut confirmed) = (0, 0);
    for seed in seeds().take(8).map(|s| s + 21_600) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 12, 100 * S);
            w.run(0, 40 * S);
            let from = w.now;
            let duration = [6, 15, 40][seed as usize % 3] * S;
            w.slow_store(duration);
            cancel_all(w, &ids[..8], duration);
            confirmed += w.compound.cancel_answers.values().filter(|t| t.at >= from && t.tasks > 0).count();
            if seed % 2 == 0 {
                w.outage_until = w.now + 50 * S;
                let until = w.now + 50 * S;
                w.run(0, until);
            }
            cancel_all(w, &ids[..8], 60 * S);
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        unknown += w.compound.slow_unknown;
    }
    assert!(unknown > 100 && confirmed > 10, "{unknown} without an answer, {confirmed} confirmed");
}

/// Transactions without an answer are executed late, after newer ones of the same controller and across its restarts, while
/// jobs are cancelled and finish.
#[test]
fn transactions_without_an_answer_are_executed_after_newer_ones() {
    let mut writes = [0; 3];
    for seed in seeds().take(10).map(|s| s + 21_700) {
        let mut w = world(seed, 40);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 10 * S);
            let share = [0.1, 0.3, 0.6][seed as usize % 3];
            w.delay_writes(share, 110 * S);
            for i in 0..5 {
                let until = w.now + 22 * S;
                w.run(0, until);
                let n = (seed as usize + i) % 3;
                match i % 3 {
                    0 => w.crash_for(n, S / 20..S / 10),
                    1 => w.outage_until = w.now + 8 * S,
                    _ => w.inject_fault(Fault::Leave, n, 0),
                }
            }
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        writes.iter_mut().zip(w.compound.writes).for_each(|(a, b)| *a += b);
    }
    assert!(writes[1] > 200 && writes[2] > 20, "late, after newer ones, applied: {writes:?}");
}

/// The job leader writes an outcome, gets no answer, and the write is executed late. Another controller that can't reach the
/// leader could read the outcome there. It must not report it to users, because the leader still reports the job as queued or
/// running from memory. The random pairs of faults (`pairs`) found this.
#[test]
fn an_outcome_that_is_stored_late_is_reported_by_its_leader_only() {
    let (mut late, mut by_others) = (0, 0);
    for seed in 21_800..21_808u64 {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 9, 60 * S);
            w.run(0, 35 * S);
            let n = seed as usize % 3;
            let led_jobs: Vec<String> = ids.into_iter().filter(|id| job_leader(w, id) == Some(n)).collect();
            w.delay_writes(1.0, 20 * S);
            for p in (0..3).filter(|&p| p != n) {
                w.fail_one_way(n, p, 20 * S, LinkFault::Lost);
            }
            led_jobs.iter().for_each(|id| w.cancel_job(n, id));
            let until = w.now + 20 * S;
            w.run(0, until);
            by_others += w.compound.cancel_answers.values().filter(|t| t.by != n && t.at < until).count();
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
        late += w.compound.writes[0];
    }
    assert!(late > 20 && by_others == 0, "{late} late, {by_others} reported by other controllers");
}
