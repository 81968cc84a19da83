//! Lost answers of the state store, reports that are delayed until the next leader has started, machines that boot fast, and
//! machines whose messages are lost, while leaders crash.

use super::compound::*;
use super::{batches, loans, releases};
use crate::*;

const EXECUTIONS: [Execution; 4] =
    [Execution::Never, Execution::AtOnce, Execution::Late, Execution::AfterSuccessor];

/// The first `n` rounds, or the seeds of `WORLD_SEEDS`.
fn rounds(n: u64) -> std::ops::Range<u64> {
    if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..n }
}

fn world(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, Shape { machines: 8, zone_capacity: 9, jobs, run: 30 * S, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

/// Adds a job of one task that runs for `run` microseconds. Its user sends nothing for 4 s, so that the test can submit it.
fn add_one_task_job(w: &mut World, run: u64) -> String {
    let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
    let body = json!({"uid": id, "breed": "batch-normal", "herd": "t1", "gait": "batch", "rank": "normal", "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false, "scatter": false,
        "borrowed": false, "rideS": run as f64 / 1e6, "restS": 0.0, "unsaddleS": 0.0, "dueS": null, "follows": []});
    w.add_described_job(&body, run).next = w.now + 4 * S;
    id
}

/// A controller crashes and restarts at once or late, is shut down, or is partitioned.
fn change_leader(w: &mut World, how: u64, n: usize) {
    w.log.push(format!("{:.1}: change {how} of {n}", w.now as f64 / 1e6));
    match how % 4 {
        0 => w.crash_for(n, S / 20..S / 10),
        1 => w.crash_for(n, 8 * S..14 * S),
        2 => w.inject_fault(Fault::Leave, n, 0),
        _ => w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 12 * S),
    }
}

/// Answers to one kind of write are lost, in two runs for each way in which the write may be executed, while the controllers
/// crash in turns. Returns the counts of these writes.
fn play_lost_answers(
    kind: Write,
    base: u64,
    mut play: impl FnMut(u64, &mut World),
) -> BTreeMap<Execution, Count> {
    let mut all = BTreeMap::new();
    for (round, (k, execution)) in
        rounds(2).flat_map(|r| EXECUTIONS.into_iter().enumerate().map(move |c| (r, c)))
    {
        let seed = base + 4 * round + k as u64;
        let mut w = world(seed, 40);
        print_log_on_panic(seed, &mut w, |w| {
            w.log.push(format!("{kind:?}, {execution:?}"));
            w.run(0, 12 * S);
            w.lose_answers(Some(kind), 0.5, 100 * S, execution);
            for i in 0..6 {
                let until = w.now + w.rng.random_range(9 * S..17 * S);
                w.run(0, until);
                play(i, w);
                let n = (seed + i) as usize % 3;
                change_leader(w, seed / 4 + i, n);
            }
            let until = w.last_fault_end().max(w.now) + 380 * S;
            run_until_finished(w, until);
        });
        assert_all_finished(&mut w, seed);
        add_counts(&mut all, &w, kind, execution);
    }
    all
}

fn add_counts(all: &mut BTreeMap<Execution, Count>, w: &World, kind: Write, execution: Execution) {
    let (count, sum) = (w.lost.count(kind, execution), all.entry(execution).or_default());
    sum.asked += count.asked;
    sum.applied += count.applied;
    sum.committed += count.committed;
    sum.read += count.read;
}

/// Checks the least number of writes that were sent in each way, that took effect at once, that were executed late and after a
/// write of the successor, and that other controllers read before the sender had read them back.
fn check_counts(
    kind: Write,
    all: &BTreeMap<Execution, Count>,
    [asked, at_once, late, after, read]: [usize; 5],
) {
    eprintln!("{kind:?}: {all:?}");
    for execution in EXECUTIONS {
        assert!(all[&execution].asked >= asked, "{kind:?}, {execution:?}: {all:?}");
    }
    assert!(all[&Execution::AtOnce].committed >= at_once, "{kind:?}: {all:?}");
    assert!(all[&Execution::Late].applied >= late, "{kind:?}: {all:?}");
    assert!(all[&Execution::AfterSuccessor].applied >= after, "{kind:?}: {all:?}");
    assert!(all[&Execution::AtOnce].read >= read, "{kind:?}: {all:?}");
}

/// The controller that raised the epoch continues in the previous one under its lease while others adopt the new one.
#[test]
fn an_epoch_is_raised_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::Raise, 30_000, |_, _| {});
    check_counts(Write::Raise, &all, [1, 1, 1, 1, 1]);
}

/// Others see a member that has no confirmation of its own registration yet, or one that wants no membership any more.
#[test]
fn a_member_key_is_written_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::Member, 30_020, |_, _| {});
    check_counts(Write::Member, &all, [1, 1, 1, 0, 1]);
}

/// Some leases are granted but not used, and some live longer than their holder assumes.
#[test]
fn leases_are_granted_and_renewed_and_the_answers_are_lost() {
    let all = play_lost_answers(Write::Grant, 30_040, |_, _| {});
    check_counts(Write::Grant, &all, [1, 1, 1, 0, 0]);
    let all = play_lost_answers(Write::Renewal, 30_060, |_, _| {});
    check_counts(Write::Renewal, &all, [20, 20, 20, 0, 0]);
}

/// The user is told to retry and does so at any controller; other controllers read the record meanwhile.
#[test]
fn a_job_is_accepted_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::Acceptance, 30_080, |_, _| {});
    check_counts(Write::Acceptance, &all, [4, 4, 1, 1, 1]);
}

#[test]
fn progress_is_stored_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::Progress, 30_100, |_, _| {});
    check_counts(Write::Progress, &all, [4, 4, 4, 1, 1]);
}

/// Others read the outcome while the job leader still has the job as live.
#[test]
fn an_outcome_is_stored_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::End, 30_120, |_, _| {});
    check_counts(Write::End, &all, [6, 6, 4, 1, 1]);
}

/// Other job leaders use the quota that a claim leaves or returns, while its writer has no confirmation of the claim.
#[test]
fn quota_is_claimed_and_returned_and_the_answers_are_lost() {
    let all = play_lost_answers(Write::Claim, 30_140, |_, _| {});
    check_counts(Write::Claim, &all, [4, 4, 2, 1, 1]);
    let all = play_lost_answers(Write::Shrinking, 30_160, |_, _| {});
    check_counts(Write::Shrinking, &all, [2, 2, 1, 1, 1]);
}

#[test]
fn machines_are_registered_and_the_answer_is_lost() {
    let all = play_lost_answers(Write::Page, 30_180, |_, _| {});
    check_counts(Write::Page, &all, [1, 1, 1, 0, 1]);
}

/// A controller that gets no messages from its witness proceeds without one. Its successor reads that or not, and asks every
/// machine.
#[test]
fn a_controller_proceeds_without_witnesses_and_the_answer_to_that_write_is_lost() {
    let all = play_lost_answers(Write::Unwitnessed, 30_200, |i, w| {
        if i % 2 == 0 {
            let n = i as usize / 2 % 3;
            for p in (0..3).filter(|&p| p != n) {
                w.fail_one_way(p, n, 8 * S, LinkFault::Lost);
            }
            let until = w.now + 6 * S;
            w.run(0, until);
        }
    });
    check_counts(Write::Unwitnessed, &all, [1, 1, 1, 0, 0]);
}

/// Lost answers to writes of releases, batches and loans, in the runs of these features.
fn play_lost_answers_in(
    kind: Write,
    base: u64,
    rounds_per_execution: u64,
    play: impl Fn(u64, World) -> World,
    world: impl Fn(u64) -> World,
) -> BTreeMap<Execution, Count> {
    let mut all = BTreeMap::new();
    for (round, (k, execution)) in
        rounds(rounds_per_execution).flat_map(|r| EXECUTIONS.into_iter().enumerate().map(move |c| (r, c)))
    {
        let seed = base + 4 * round + k as u64;
        let mut w = world(seed);
        w.log.push(format!("{kind:?}, {execution:?}"));
        w.lose_answers(Some(kind), 0.5, 250 * S, execution);
        let w = play(seed, w);
        add_counts(&mut all, &w, kind, execution);
    }
    all
}

#[test]
fn a_release_is_closed_and_rotated_and_the_answers_are_lost() {
    let shape = Shape { jobs: 20, calendar: true, ..SMALL };
    let play = |seed, w| releases::play_release(seed, w).0;
    let all = play_lost_answers_in(Write::Release, 30_220, 2, play, |seed| World::new(seed, shape));
    check_counts(Write::Release, &all, [4, 4, 2, 1, 1]);
}

#[test]
fn a_batch_is_raised_and_permits_are_granted_and_the_answers_are_lost() {
    let play = |seed, w| {
        let mut w = batches::play_replaced_in(w, seed, seed % 2 == 0);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
        assert!(
            ["b0", "b1", "b2"].iter().all(|batch| w.permits_held(batch) == 0),
            "seed {seed}: {:#?}",
            w.states()
        );
        w
    };
    let all =
        play_lost_answers_in(Write::Batch, 30_240, 2, play, |seed| batches::world(seed, batches::REPLACED));
    check_counts(Write::Batch, &all, [10, 10, 4, 1, 4]);
}

#[test]
fn gpus_are_lent_and_returned_and_the_answers_are_lost() {
    let play = |seed, w| {
        let (w, observed, _) = loans::play_gpu_loans_in(w, seed, seed % 2 == 0, 200 * S);
        loans::check_loans(seed, &w, &observed);
        w
    };
    // A run has few writes of loans.
    let all = play_lost_answers_in(Write::Loan, 30_260, 4, play, |seed| World::new(seed, loans::GPUS));
    check_counts(Write::Loan, &all, [1, 2, 1, 1, 2]);
}

/// Which controller crashes while new machines start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crashed {
    Autoscaler,
    /// The leader of a machine that has reported and is not registered yet.
    MachineLeader,
    /// The leader of a job with a task on a new machine.
    JobLeader,
    All,
}

/// Counts of one run with new machines.
#[derive(Clone, Copy, Debug, Default)]
struct NewMachines {
    /// New machines that were given tasks.
    machines: usize,
    /// Crashes while a new machine had reported and was not registered, while one had just got its first task, and while a
    /// scale-out was in progress or had no answer.
    unrecorded: usize,
    first: usize,
    rented: usize,
}

/// Machines boot within 2 s while writes of registry pages get no answer, jobs wait for these machines, and leaders crash.
fn play_new_machines(seed: u64, crashed: Crashed, execution: Execution, share: f64) -> (World, NewMachines) {
    let mut w = World::new(seed, Shape { machines: 2, zone_capacity: 12, jobs: 0, ..SMALL });
    w.answer_gaps.pollers = true;
    w.lost.boot_times = Some(1000..2 * S);
    let mut counts = NewMachines::default();
    print_log_on_panic(seed, &mut w, |w| {
        w.log.push(format!("{crashed:?}, {execution:?} {share}"));
        w.run(0, 20 * S);
        w.lose_answers(Some(Write::Page), share, 75 * S, execution);
        w.lose_scale_out_answers(0.3, 75 * S);
        for round in 0..4 {
            let before = w.workers.len();
            let (lost, run) = (w.lost.lost_scale_outs, w.rng.random_range(15 * S..40 * S));
            add_long_jobs(w, 8, run);
            let deadline = w.now + 15 * S;
            // Half of the crashes come as early as possible, the others once a task was started on the machine.
            let first = round % 2 == 1;
            let met = loop {
                let until = w.now + S / 20;
                w.run(0, until);
                let new = w.workers.iter().enumerate().skip(before).find(|(_, x)| match first {
                    true => x.tasks.iter().any(|t| t.state == "pulling"),
                    false => x.token > 0 && !w.is_registered(&x.name),
                });
                if let Some((i, _)) = new {
                    break Some(i);
                }
                if w.now >= deadline {
                    break None;
                }
            };
            counts.rented += usize::from(w.lost.lost_scale_outs > lost);
            let Some(i) = met else { continue };
            if first {
                counts.first += 1;
            } else {
                counts.unrecorded += 1;
            }
            let of_task = w.workers[i].tasks.first().and_then(|t| job_leader(w, &t.job));
            let n = match crashed {
                Crashed::Autoscaler => {
                    w.nodes.iter().flatten().next().and_then(|x| x.membership.autoscaler())
                }
                Crashed::MachineLeader => machine_leader(w, i),
                Crashed::JobLeader => of_task.or(machine_leader(w, i)),
                Crashed::All => None,
            };
            let pause = if seed.is_multiple_of(2) { S / 20..S / 10 } else { 8 * S..12 * S };
            match n {
                Some(n) => w.crash_for(n, pause),
                None => (0..3).for_each(|n| w.crash_for(n, pause.clone())),
            }
            let until = w.now + w.rng.random_range(4 * S..10 * S);
            w.run(0, until);
        }
        counts.machines = w.workers.iter().skip(2).filter(|x| x.has_run_tasks).count();
        let until = w.last_fault_end().max(w.now) + 300 * S;
        run_until_finished(w, until);
    });
    assert_all_finished(&mut w, seed);
    (w, counts)
}

/// A machine gets no task before it is registered, whichever controller registers it. The next leader asks every machine that
/// may hold a task, and no task starts twice.
fn play_lagging_pages(crashed: Crashed, base: u64) {
    let (mut sum, mut pages) = (NewMachines::default(), [Count::default(); 2]);
    for round in rounds(6) {
        let execution_index = round as usize % 2;
        let execution = [Execution::Late, Execution::AtOnce][execution_index];
        let (w, run_counts) = play_new_machines(base + round, crashed, execution, 0.7);
        sum.machines += run_counts.machines;
        sum.unrecorded += run_counts.unrecorded;
        sum.first += run_counts.first;
        sum.rented += run_counts.rented;
        let count = w.lost.count(Write::Page, execution);
        pages[execution_index].asked += count.asked;
        pages[execution_index].committed += count.committed;
        pages[execution_index].read += count.read;
    }
    eprintln!("{crashed:?}: {sum:?}, pages late and at once: {pages:?}");
    assert!(sum.machines >= 12 && sum.unrecorded >= 4 && sum.first >= 3, "{crashed:?}: {sum:?}");
    assert!(pages[0].asked >= 6 && pages[1].committed >= 6 && pages[1].read >= 1, "{crashed:?}: {pages:?}");
}

#[test]
fn new_machines_get_tasks_while_their_pages_lag_and_the_autoscaler_crashes() {
    play_lagging_pages(Crashed::Autoscaler, 30_300);
}

#[test]
fn new_machines_get_tasks_while_their_pages_lag_and_their_leader_crashes() {
    play_lagging_pages(Crashed::MachineLeader, 30_320);
}

#[test]
fn new_machines_get_tasks_while_their_pages_lag_and_the_job_leader_crashes() {
    play_lagging_pages(Crashed::JobLeader, 30_340);
}

#[test]
fn new_machines_get_tasks_while_their_pages_lag_and_all_controllers_crash() {
    play_lagging_pages(Crashed::All, 30_360);
}

/// Copies of reports reach every controller just as the next epoch begins, or once its leaders have started tasks. Machine
/// leaders crash and are shut down; machines are returned to the cloud, die, and hang for longer than a lease.
#[test]
fn stale_reports_reach_every_controller_as_a_leader_starts_or_once_it_has_acted() {
    let mut sum = Copies::default();
    for seed in rounds(8).map(|r| r + 30_400) {
        let mut w = world(seed, 40);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            w.hold_back_heartbeats(0.7, 150 * S);
            for i in 0..6 {
                let until = w.now + w.rng.random_range(8 * S..18 * S);
                w.run(0, until);
                let machines = [Fault::MachinesReturned, Fault::MachinesUnresponsive, Fault::MachinesFail];
                w.inject_fault(machines[i as usize % 3], 0, (LEASE_S * 1e6) as u64 + 4 * S);
                // A machine that hung is in its next session when it resumes.
                let hung = if i % 3 == 1 { (LEASE_S * 1e6) as u64 + 5 * S } else { 0 };
                let until = w.now + hung + w.rng.random_range(0..3 * S);
                w.run(0, until);
                if i == 4 {
                    w.inject_fault(Fault::RestartAll, 0, 0);
                } else {
                    change_leader(w, seed + i, (seed + i) as usize % 3);
                }
            }
            let until = w.last_fault_end().max(w.now) + 350 * S;
            run_until_finished(w, until);
        });
        assert_all_finished(&mut w, seed);
        let copies = w.lost.copies;
        sum.all += copies.all;
        sum.first += copies.first;
        sum.acted += copies.acted;
        sum.earlier += copies.earlier;
        sum.gone += copies.gone;
        sum.forgotten += copies.forgotten;
    }
    eprintln!("{sum:?}");
    let forgotten = sum.forgotten > 40;
    assert!(sum.first > 60 && sum.acted > 30 && sum.earlier > 20 && sum.gone > 40 && forgotten, "{sum:?}");
}

/// Machines with long tasks can't reach any controller, for less or for longer than their lease. Direct messages reach them and
/// are answered, but do not renew the lease. With `crash_leader`, the machine leader, the job leader or all controllers crash
/// meanwhile. Jobs are cancelled.
fn play_mute_machines(seed: u64, duration: u64, crash_leader: bool) -> World {
    let mut w = world(seed, 0);
    print_log_on_panic(seed, &mut w, |w| {
        w.run(0, 15 * S);
        let ids = add_long_jobs(w, 10, 100 * S);
        w.run(0, 45 * S);
        let affected: Vec<usize> = (0..w.workers.len())
            .filter(|&i| w.workers[i].tasks.iter().any(Task::is_placed))
            .take(3)
            .collect();
        let before: Vec<u64> = affected.iter().map(|&i| w.workers[i].incarnation).collect();
        w.lose_outbound_messages(&affected, duration);
        let until = w.now + w.rng.random_range(0..6 * S);
        w.run(0, until);
        if crash_leader {
            let n = match seed % 3 {
                0 => machine_leader(w, affected[0]),
                1 => w.workers[affected[0]].tasks.first().and_then(|t| job_leader(w, &t.job)),
                _ => None,
            };
            let pause = if seed.is_multiple_of(2) { S / 20..S / 10 } else { 8 * S..12 * S };
            match n {
                Some(n) => w.crash_for(n, pause),
                None => (0..3).for_each(|n| w.crash_for(n, pause.clone())),
            }
        }
        cancel_all(w, &ids[..5], 40 * S);
        let until = w.last_fault_end().max(w.now);
        w.run(0, until);
        for (&i, before) in affected.iter().zip(before) {
            let expired = w.workers[i].incarnation > before;
            let lease = (LEASE_S * 1e6) as u64;
            assert!(
                expired || duration <= lease + S,
                "direct messages have renewed the lease of machine {i}"
            );
            assert!(
                !expired || crash_leader || duration * 2 > lease,
                "machine {i} lost its lease within {duration}"
            );
        }
        run_until_finished(w, 520 * S);
    });
    assert_all_finished(&mut w, seed);
    w
}

#[test]
fn machines_reach_no_controller_while_direct_messages_reach_the_machines() {
    let (mut muted, mut confirmed) = (0, 0);
    for seed in rounds(6).map(|r| r + 30_420) {
        let w = play_mute_machines(seed, [7, 16, 40][seed as usize % 3] * S, false);
        muted += w.lost.lost_heartbeats;
        confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
    }
    assert!(muted > 30 && confirmed > 12, "{muted} lost reports, {confirmed} cancellations with live tasks");
}

#[test]
fn a_leader_crashes_while_machines_reach_no_controller() {
    let (mut muted, mut answered, mut confirmed) = (0, 0, 0);
    for seed in rounds(8).map(|r| r + 30_440) {
        let w = play_mute_machines(seed, [9, 17, 45][seed as usize % 3] * S, true);
        muted += w.lost.lost_heartbeats;
        answered += w.lost.fencing_answers;
        confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
    }
    assert!(
        muted > 40 && answered >= 8 && confirmed > 12,
        "{muted} lost reports, {answered} answers, {confirmed} cancellations"
    );
}

/// A machine was returned to the cloud and removed from the registry, and all controllers restart, so that none has it in
/// memory. Copies of its reports, which look like those of a live machine, reach all controllers. It must get no task, and no
/// job may wait for it.
#[test]
fn a_machine_unknown_to_all_controllers_gets_no_task_and_no_job_waits_for_it() {
    let (mut gone, mut runs) = (0, 0);
    for seed in rounds(6).map(|r| r + 30_460) {
        let mut w = world(seed, 30);
        w.shape.run = 20 * S;
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            w.hold_back_heartbeats(1.0, 10 * S);
            w.run(0, 25 * S);
            let affected: Vec<usize> = (0..3).map(|k| (seed as usize + 2 * k) % 8).collect();
            for &i in &affected {
                w.workers[i].gone = true;
                w.workers[i].tasks.clear();
            }
            let names: Vec<String> = affected.iter().map(|&i| w.workers[i].name.clone()).collect();
            // After two leases without a report the machine is scaled in; its page is written with the next change.
            while names.iter().any(|name| w.is_registered(name)) && w.now < 110 * S {
                let until = w.now + S;
                w.run(0, until);
            }
            // A page without another change keeps its names.
            let is_unregistered = !names.iter().any(|name| w.is_registered(name));
            runs += usize::from(is_unregistered);
            w.inject_fault(Fault::RestartAll, 0, 0);
            let until = w.now + 25 * S / 10;
            while w.now < until {
                let next = w.now + S / 10;
                w.run(0, next);
                for n in 0..3 {
                    let Some(node) = &w.nodes[n] else { continue };
                    let delta = node.machine_shard.status_delta(w.clock(n), &node.membership, n, 0, |_| None);
                    for machine in delta.machines.iter().filter(|m| names.contains(&m.name)) {
                        assert!(
                            !machine.is_schedulable
                                && machine.tasks.iter().all(|t| t.key.attempt >> 24 < node.membership.epoch),
                            "{machine:?}"
                        );
                    }
                }
            }
            for n in 0..3 {
                let now = w.clock(n);
                let status = w.nodes[n].as_mut().expect("the controller has restarted").status(now);
                let unresolved_jobs = &status["takeover"]["jobs_in_doubt"];
                assert!(!is_unregistered || *unresolved_jobs == 0, "seed {seed}, {n}: {status:#}");
            }
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
        gone += w.lost.copies.gone;
    }
    assert!(gone > 30 && runs >= 5, "{gone} copies from returned machines, in {runs} runs");
}

/// Copies of reports reach a controller that its workers can't reach. They must not count as reports, and the controller leaves
/// the ring.
#[test]
fn report_copies_do_not_keep_a_controller_in_the_ring_that_its_workers_can_not_reach() {
    let mut copies = 0;
    for seed in rounds(8).map(|r| r + 30_470) {
        let mut w = World::new(seed, Shape { machines: 24, zone_capacity: 16, ..SMALL });
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 50 * S);
            w.hold_back_heartbeats(1.0, 14 * S);
            w.run(0, 60 * S);
            let n = seed as usize % 3;
            let p = (n + 1 + seed as usize / 3 % 2) % 3;
            w.partitions.push((Endpoint::Controller(n), Endpoint::Workers, 110 * S, seed % 2 == 0));
            let until = w.now + w.rng.random_range(S..3 * S);
            w.run(0, until);
            w.crash_for(p, S / 20..S / 10);
            let all = w.lost.copies.all;
            w.run(0, 78 * S);
            copies += w.lost.copies.all - all;
            let has_removed =
                |w: &World| w.nodes[p].as_ref().is_some_and(|x| !x.membership.members.contains(&n));
            assert!(has_removed(w), "seed {seed}: {n} is still a member of the ring");
            run_until_finished(w, 420 * S);
        });
    }
    assert!(copies > 200, "{copies} copies");
}

/// The leaders of one job in two epochs both act. The new one has written the outcome and has no answer yet; the old one reads
/// it. The old one must not report it before the new one has the confirmation, or the new one would still report the job as
/// running.
#[test]
fn an_outcome_that_a_new_leader_wrote_is_not_reported_by_the_old_one_first() {
    let (mut met, mut lost) = (0, 0);
    for seed in rounds(8).map(|r| r + 30_480) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let (new_leader, old_leader) = (seed as usize % 3, (seed as usize + 1) % 3);
            let rejoin_at = w.now + 20 * S;
            w.crash_for(new_leader, 20 * S..20 * S + 1);
            let until = rejoin_at - 10 * S;
            w.run(0, until);
            for _ in 0..50 {
                let id = add_one_task_job(w, 60 * S);
                let n = (0..3).filter(|&n| n != new_leader).collect::<Vec<_>>()[w.rng.random_range(0..2)];
                w.submit_to(n, &id);
            }
            // All tasks end at almost the same time, more than their job leader can store at once, and the next epoch begins.
            w.run(0, rejoin_at - 5 * S / 2);
            w.lose_answers_of(old_leader, Write::End, 1.0, 3 * S, Execution::Never);
            let now = w.now;
            for t in w.workers.iter_mut().flat_map(|x| &mut x.tasks).filter(|t| t.state == "running") {
                t.until = now + u64::from(t.attempt as u32 % 10) * S / 20;
            }
            w.run(0, rejoin_at);
            let delay = w.rng.random_range(3 * S / 10..S);
            w.slow_membership_lane(old_leader, delay, 8 * S);
            for p in (0..3).filter(|&p| p != old_leader) {
                w.fail_one_way(p, old_leader, 8 * S, LinkFault::Lost);
            }
            w.lose_answers_of(new_leader, Write::End, 1.0, 6 * S, Execution::AtOnce);
            while w.now < rejoin_at + 9 * S {
                // Counts the moments at which two controllers act as leader of a job whose task has ended and whose user was
                // not told.
                let is_acting = |x: usize, id: &str| {
                    let node = w.nodes[x].as_ref().filter(|node| node.membership.is_leader(w.clock(x)));
                    node.is_some_and(|node| node.membership.job_leader(id) == Some(x))
                };
                let has_unreported_end = |(id, j): (&String, &UserJob)| {
                    (j.known == KnownState::Accepted && !j.done.is_empty()).then(|| id.clone())
                };
                let unreported: Vec<String> = w.jobs.iter().filter_map(has_unreported_end).collect();
                met += unreported
                    .iter()
                    .filter(|id| is_acting(old_leader, id) && is_acting(new_leader, id))
                    .count();
                for id in unreported {
                    let p = if w.rng.random_bool(0.5) { old_leader } else { new_leader };
                    if w.rng.random_bool(0.5) {
                        w.poll(p, &id);
                    }
                }
                let until = w.now + S / 10;
                w.run(0, until);
            }
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
        lost += w.lost.count(Write::End, Execution::Never).asked
            + w.lost.count(Write::End, Execution::AtOnce).committed;
    }
    eprintln!("{met} moments, {lost} outcomes without an answer");
    assert!(met > 100 && lost > 40, "{met} moments, {lost} outcomes without an answer");
}

/// The new leader has just accepted a job, while the old one still acts in the previous epoch and reads the record when it is
/// asked. All its machines have reported in its epoch. The job must not be started by both.
#[test]
fn a_job_accepted_in_a_new_epoch_is_not_started_by_its_previous_leader() {
    let mut met = 0;
    for seed in rounds(8).map(|r| r + 30_500) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let (new_leader, old_leader) = (seed as usize % 3, (seed as usize + 1) % 3);
            let rejoin_at = w.now + 20 * S;
            // The controller pauses for longer than its lease and joins again.
            w.paused_until[new_leader] = rejoin_at;
            w.run(0, rejoin_at);
            // The job's machine leader and witness are in the older epoch too.
            for p in (0..3).filter(|&p| p != new_leader) {
                let delay = w.rng.random_range(3 * S / 10..S);
                w.slow_membership_lane(p, delay, 8 * S);
                w.fail_one_way(new_leader, p, 8 * S, LinkFault::Lost);
            }
            let epoch = w.epoch();
            while w.epoch() == epoch {
                let until = w.now + S / 20;
                w.run(0, until);
            }
            let ids: Vec<String> = (0..24).map(|_| add_one_task_job(w, 12 * S)).collect();
            let until = w.now + S / 5;
            w.run(0, until);
            ids.iter().for_each(|id| w.submit_to(new_leader, id));
            for _ in 0..12 {
                let is_acting = |x: usize, id: &str| {
                    let node = w.nodes[x].as_ref().filter(|node| node.membership.is_leader(w.clock(x)));
                    node.is_some_and(|node| node.membership.job_leader(id) == Some(x))
                };
                let has_two_leaders = |id: &&String| {
                    w.jobs[*id].known == KnownState::Accepted
                        && is_acting(old_leader, id)
                        && is_acting(new_leader, id)
                };
                let ids: Vec<String> = ids.iter().filter(has_two_leaders).cloned().collect();
                met += ids.len();
                ids.iter().for_each(|id| w.poll(old_leader, id));
                let until = w.now + S / 5;
                w.run(0, until);
            }
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
    }
    assert!(met > 40, "{met} requests to the old leader while both act");
}

/// A controller gets no answer to any write of its own member key, but the writes are executed. Reading the key back confirms
/// them.
#[test]
fn a_controller_that_reads_its_own_key_back_joins_without_an_answer_to_its_write() {
    let mut took = 0;
    for seed in rounds(6).map(|r| r + 30_490) {
        let mut w = world(seed, 20);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let n = seed as usize % 3;
            let epoch = w.epoch();
            w.lose_answers_of(n, Write::Member, 1.0, 60 * S, Execution::AtOnce);
            w.crash_for(n, S / 20..S / 10);
            let until = w.now + 8 * S;
            w.run(0, until);
            let is_acting =
                |w: &World| w.nodes[n].as_ref().is_some_and(|x| x.membership.is_leader(w.clock(n)));
            assert!(is_acting(w), "seed {seed}: {n} has not joined");
            let until = w.now + 40 * S;
            w.run(0, until);
            assert!(is_acting(w) && w.epoch() <= epoch + 2, "seed {seed}: epochs {epoch} to {}", w.epoch());
            run_until_finished(w, 420 * S);
        });
        assert_all_finished(&mut w, seed);
        took += w.lost.count(Write::Member, Execution::AtOnce).committed;
    }
    assert!(took >= 6, "{took} keys stored without an answer");
}
