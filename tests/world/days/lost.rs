//! Answers that are lost, reports that are kept for the next leader, machines that are up at once, and mute ones, while
//! leaders end.

use super::compound::*;
use super::{batches, loans, releases};
use crate::*;

const ALL: [Execution; 4] = [Execution::Never, Execution::AtOnce, Execution::Late, Execution::AfterSuccessor];

/// So many rounds of a day; `WORLD_SEEDS` plays others.
fn rounds(n: u64) -> std::ops::Range<u64> {
    if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..n }
}

fn world(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, Shape { machines: 8, zone_capacity: 9, jobs, run: 30 * S, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

/// A job of one task that runs for so long; its user asks nothing by itself before it was submitted.
fn one_task(w: &mut World, run: u64) -> String {
    let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
    let body = json!({"uid": id, "breed": "batch-normal", "herd": "t1", "gait": "batch", "rank": "normal", "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false, "scatter": false,
        "borrowed": false, "rideS": run as f64 / 1e6, "restS": 0.0, "unsaddleS": 0.0, "dueS": null, "follows": []});
    w.add_described_job(&body, run).next = w.now + 4 * S;
    id
}

/// A controller ends and is back at once, or late, or leaves, or is cut off.
fn change_leader(w: &mut World, how: u64, n: usize) {
    w.log.push(format!("{:.1}: change {how} of {n}", w.now as f64 / 1e6));
    match how % 4 {
        0 => w.crash_for(n, S / 20..S / 10),
        1 => w.crash_for(n, 8 * S..14 * S),
        2 => w.inject_fault(Fault::Leave, n, 0),
        _ => w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 12 * S),
    }
}

/// One kind of change gets no answer, in two days for each way in which it may be carried out; controllers end in turns.
/// Returns what became of those changes.
fn without_answer(
    kind: Write,
    base: u64,
    mut day: impl FnMut(u64, &mut World),
) -> BTreeMap<Execution, Count> {
    let mut all = BTreeMap::new();
    for (round, (k, carried)) in rounds(2).flat_map(|r| ALL.into_iter().enumerate().map(move |c| (r, c))) {
        let seed = base + 4 * round + k as u64;
        let mut w = world(seed, 40);
        guarded(seed, &mut w, |w| {
            w.log.push(format!("{kind:?}, {carried:?}"));
            w.run(0, 12 * S);
            w.lose_answers(Some(kind), 0.5, 100 * S, carried);
            for i in 0..6 {
                let until = w.now + w.rng.random_range(9 * S..17 * S);
                w.run(0, until);
                day(i, w);
                let n = (seed + i) as usize % 3;
                change_leader(w, seed / 4 + i, n);
            }
            let until = w.last_fault_end().max(w.now) + 380 * S;
            settle(w, until);
        });
        ended(&mut w, seed);
        add_up(&mut all, &w, kind, carried);
    }
    all
}

fn add_up(all: &mut BTreeMap<Execution, Count>, w: &World, kind: Write, carried: Execution) {
    let (c, sum) = (w.lost.count(kind, carried), all.entry(carried).or_default());
    sum.asked += c.asked;
    sum.applied += c.applied;
    sum.committed += c.committed;
    sum.read += c.read;
}

/// So many were asked for in each way, took effect at once and late, met their successor's; and so many were read by others
/// before their sender had read them back.
fn met(kind: Write, all: &BTreeMap<Execution, Count>, [asked, at_once, late, after, read]: [usize; 5]) {
    eprintln!("{kind:?}: {all:?}");
    for carried in ALL {
        assert!(all[&carried].asked >= asked, "{kind:?}, {carried:?}: {all:?}");
    }
    assert!(all[&Execution::AtOnce].committed >= at_once, "{kind:?}: {all:?}");
    assert!(all[&Execution::Late].applied >= late, "{kind:?}: {all:?}");
    assert!(all[&Execution::AfterSuccessor].applied >= after, "{kind:?}: {all:?}");
    assert!(all[&Execution::AtOnce].read >= read, "{kind:?}: {all:?}");
}

/// Whoever raised it goes on in the epoch before by its lease while others take up the next.
#[test]
fn an_epoch_is_raised_and_who_raised_it_is_not_told() {
    let all = without_answer(Write::Raise, 30_000, |_, _| {});
    met(Write::Raise, &all, [1, 1, 1, 1, 1]);
}

/// Others see a process that doesn't know yet that it is seen, or one that wants no place.
#[test]
fn a_member_key_is_written_and_its_process_is_not_told() {
    let all = without_answer(Write::Member, 30_020, |_, _| {});
    met(Write::Member, &all, [1, 1, 1, 0, 1]);
}

/// Leases that nobody uses, and leases that live longer than who holds them knows.
#[test]
fn leases_are_granted_and_renewed_and_their_holder_is_not_told() {
    let all = without_answer(Write::Grant, 30_040, |_, _| {});
    met(Write::Grant, &all, [1, 1, 1, 0, 0]);
    let all = without_answer(Write::Renewal, 30_060, |_, _| {});
    met(Write::Renewal, &all, [20, 20, 20, 0, 0]);
}

/// The user is told to come back and does, to any controller; others read the record meanwhile.
#[test]
fn a_job_is_accepted_and_who_accepted_it_is_not_told() {
    let all = without_answer(Write::Acceptance, 30_080, |_, _| {});
    met(Write::Acceptance, &all, [4, 4, 1, 1, 1]);
}

#[test]
fn progress_is_on_record_and_the_owner_is_not_told() {
    let all = without_answer(Write::Progress, 30_100, |_, _| {});
    met(Write::Progress, &all, [4, 4, 4, 1, 1]);
}

/// Others read the end and its owner still has the job as live.
#[test]
fn an_end_is_on_record_and_the_owner_is_not_told() {
    let all = without_answer(Write::End, 30_120, |_, _| {});
    met(Write::End, &all, [6, 6, 4, 1, 1]);
}

/// Other owners go by what a claim leaves them, or by what it gives back, while who wrote it can't know.
#[test]
fn room_is_claimed_and_given_back_and_the_owner_is_not_told() {
    let all = without_answer(Write::Claim, 30_140, |_, _| {});
    met(Write::Claim, &all, [4, 4, 2, 1, 1]);
    let all = without_answer(Write::Shrinking, 30_160, |_, _| {});
    met(Write::Shrinking, &all, [2, 2, 1, 1, 1]);
}

#[test]
fn machines_are_on_record_and_their_home_is_not_told() {
    let all = without_answer(Write::Page, 30_180, |_, _| {});
    met(Write::Page, &all, [1, 1, 1, 0, 1]);
}

/// A controller that hears no witness goes on without; its successor reads that, or doesn't, and asks every machine.
#[test]
fn a_controller_goes_on_without_witnesses_and_is_not_told_that_this_is_on_record() {
    let all = without_answer(Write::Unwitnessed, 30_200, |i, w| {
        if i % 2 == 0 {
            let n = i as usize / 2 % 3;
            for p in (0..3).filter(|&p| p != n) {
                w.fail_one_way(p, n, 8 * S, LinkFault::Lost);
            }
            let until = w.now + 6 * S;
            w.run(0, until);
        }
    });
    met(Write::Unwitnessed, &all, [1, 1, 1, 0, 0]);
}

/// Pacts' records, batches and loans, on the days of their own.
fn on_their_days(
    kind: Write,
    base: u64,
    most: u64,
    day: impl Fn(u64, World) -> World,
    world: impl Fn(u64) -> World,
) -> BTreeMap<Execution, Count> {
    let mut all = BTreeMap::new();
    for (round, (k, carried)) in rounds(most).flat_map(|r| ALL.into_iter().enumerate().map(move |c| (r, c))) {
        let seed = base + 4 * round + k as u64;
        let mut w = world(seed);
        w.log.push(format!("{kind:?}, {carried:?}"));
        w.lose_answers(Some(kind), 0.5, 250 * S, carried);
        let w = day(seed, w);
        add_up(&mut all, &w, kind, carried);
    }
    all
}

#[test]
fn a_release_is_closed_and_rotated_and_who_wrote_that_is_not_told() {
    let shape = Shape { jobs: 20, calendar: true, ..SMALL };
    let day = |seed, w| releases::release_day(seed, w).0;
    let all = on_their_days(Write::Release, 30_220, 2, day, |seed| World::new(seed, shape));
    met(Write::Release, &all, [4, 4, 2, 1, 1]);
}

#[test]
fn a_batch_is_raised_and_permits_are_given_and_who_wrote_that_is_not_told() {
    let day = |seed, w| {
        let mut w = batches::replaced_in(w, seed, seed % 2 == 0);
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
        assert!(["b0", "b1", "b2"].iter().all(|b| w.permits_held(b) == 0), "seed {seed}: {:#?}", w.states());
        w
    };
    let all = on_their_days(Write::Batch, 30_240, 2, day, |seed| batches::world(seed, batches::REPLACED));
    met(Write::Batch, &all, [10, 10, 4, 1, 4]);
}

#[test]
fn gpus_are_lent_and_given_back_and_who_wrote_that_is_not_told() {
    let day = |seed, w| {
        let (w, seen, _) = loans::gpu_day_in(w, seed, seed % 2 == 0, 200 * S);
        loans::kept(seed, &w, &seen);
        w
    };
    // Few changes are asked for in a day.
    let all = on_their_days(Write::Loan, 30_260, 4, day, |seed| World::new(seed, loans::GPUS));
    met(Write::Loan, &all, [1, 2, 1, 1, 2]);
}

/// Whose end meets new machines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    Decider,
    /// The home of a machine that has reported and is not on record.
    MachineShard,
    /// The owner of a task on a new machine.
    JobShard,
    All,
}

/// What a day with new machines came to.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    /// New machines that were given tasks.
    machines: usize,
    /// Ends that met a new machine that had reported and was not on record, one that had just been given its first task, and
    /// a rental under way or without an answer.
    unrecorded: usize,
    first: usize,
    rented: usize,
}

/// Machines are up within 2 s while pages of the roll have no answer, work waits for them, and leaders end.
fn new_machines(seed: u64, ends: Ends, carried: Execution, share: f64) -> (World, Begun) {
    let mut w = World::new(seed, Shape { machines: 2, zone_capacity: 12, jobs: 0, ..SMALL });
    w.answer_gaps.pollers = true;
    w.lost.boot_times = Some(1000..2 * S);
    let mut begun = Begun::default();
    guarded(seed, &mut w, |w| {
        w.log.push(format!("{ends:?}, {carried:?} {share}"));
        w.run(0, 20 * S);
        w.lose_answers(Some(Write::Page), share, 75 * S, carried);
        w.lose_scale_out_answers(0.3, 75 * S);
        for round in 0..4 {
            let before = w.workers.len();
            let (lost, run) = (w.lost.lost_scale_outs, w.rng.random_range(15 * S..40 * S));
            long_jobs(w, 8, run);
            let patience = w.now + 15 * S;
            // Half of the ends come as early as they can, the others once something has begun there.
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
                if w.now >= patience {
                    break None;
                }
            };
            begun.rented += usize::from(w.lost.lost_scale_outs > lost);
            let Some(i) = met else { continue };
            if first {
                begun.first += 1;
            } else {
                begun.unrecorded += 1;
            }
            let of_task = w.workers[i].tasks.first().and_then(|t| owner(w, &t.job));
            let n = match ends {
                Ends::Decider => w.nodes.iter().flatten().next().and_then(|x| x.membership.autoscaler()),
                Ends::MachineShard => machine_leader(w, i),
                Ends::JobShard => of_task.or(machine_leader(w, i)),
                Ends::All => None,
            };
            let pause = if seed.is_multiple_of(2) { S / 20..S / 10 } else { 8 * S..12 * S };
            match n {
                Some(n) => w.crash_for(n, pause),
                None => (0..3).for_each(|n| w.crash_for(n, pause.clone())),
            }
            let until = w.now + w.rng.random_range(4 * S..10 * S);
            w.run(0, until);
        }
        begun.machines = w.workers.iter().skip(2).filter(|x| x.has_run_tasks).count();
        let until = w.last_fault_end().max(w.now) + 300 * S;
        settle(w, until);
    });
    ended(&mut w, seed);
    (w, begun)
}

/// A machine gets nothing before its name is on record, whoever asked for that; who follows asks every machine that may hold
/// something, and no task starts twice.
fn while_pages_lag(ends: Ends, base: u64) {
    let (mut sum, mut pages) = (Begun::default(), [Count::default(); 2]);
    for round in rounds(6) {
        let which = round as usize % 2;
        let carried = [Execution::Late, Execution::AtOnce][which];
        let (w, b) = new_machines(base + round, ends, carried, 0.7);
        sum.machines += b.machines;
        sum.unrecorded += b.unrecorded;
        sum.first += b.first;
        sum.rented += b.rented;
        let c = w.lost.count(Write::Page, carried);
        pages[which].asked += c.asked;
        pages[which].committed += c.committed;
        pages[which].read += c.read;
    }
    eprintln!("{ends:?}: {sum:?}, pages late and at once: {pages:?}");
    assert!(sum.machines >= 12 && sum.unrecorded >= 4 && sum.first >= 3, "{ends:?}: {sum:?}");
    assert!(pages[0].asked >= 6 && pages[1].committed >= 6 && pages[1].read >= 1, "{ends:?}: {pages:?}");
}

#[test]
fn new_machines_get_work_at_once_while_their_pages_lag_and_who_rents_ends() {
    while_pages_lag(Ends::Decider, 30_300);
}

#[test]
fn new_machines_get_work_at_once_while_their_pages_lag_and_their_home_ends() {
    while_pages_lag(Ends::MachineShard, 30_320);
}

#[test]
fn new_machines_get_work_at_once_while_their_pages_lag_and_the_owner_of_their_tasks_ends() {
    while_pages_lag(Ends::JobShard, 30_340);
}

#[test]
fn new_machines_get_work_at_once_while_their_pages_lag_and_all_controllers_end() {
    while_pages_lag(Ends::All, 30_360);
}

/// Copies of reports come to every controller just as the next epoch begins, or once its owners have started tasks; homes end
/// and leave, machines are taken back, die, hang for longer than a lease.
#[test]
fn old_reports_come_to_every_controller_as_a_leader_begins_or_once_it_has_acted() {
    let mut sum = Copies::default();
    for seed in rounds(8).map(|r| r + 30_400) {
        let mut w = world(seed, 40);
        guarded(seed, &mut w, |w| {
            w.run(0, 15 * S);
            w.hold_back_heartbeats(0.7, 150 * S);
            for i in 0..6 {
                let until = w.now + w.rng.random_range(8 * S..18 * S);
                w.run(0, until);
                let machines = [Fault::MachinesReturned, Fault::MachinesUnresponsive, Fault::MachinesFail];
                w.inject_fault(machines[i as usize % 3], 0, (LEASE_S * 1e6) as u64 + 4 * S);
                // One that hung is in its next session when it goes on.
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
            settle(w, until);
        });
        ended(&mut w, seed);
        let c = w.lost.copies;
        sum.all += c.all;
        sum.first += c.first;
        sum.acted += c.acted;
        sum.earlier += c.earlier;
        sum.gone += c.gone;
        sum.forgotten += c.forgotten;
    }
    eprintln!("{sum:?}");
    let forgotten = sum.forgotten > 40;
    assert!(sum.first > 60 && sum.acted > 30 && sum.earlier > 20 && sum.gone > 40 && forgotten, "{sum:?}");
}

/// Machines with long tasks reach no controller, for less and for longer than their lease. Direct messages reach them and
/// are answered; they renew no lease. With `ends`, home or owner end meanwhile, and jobs are cancelled.
fn mute_day(seed: u64, long: u64, ends: bool) -> World {
    let mut w = world(seed, 0);
    guarded(seed, &mut w, |w| {
        w.run(0, 15 * S);
        let ids = long_jobs(w, 10, 100 * S);
        w.run(0, 45 * S);
        let some: Vec<usize> = (0..w.workers.len())
            .filter(|&i| w.workers[i].tasks.iter().any(Task::is_placed))
            .take(3)
            .collect();
        let before: Vec<u64> = some.iter().map(|&i| w.workers[i].incarnation).collect();
        w.lose_outbound_messages(&some, long);
        let until = w.now + w.rng.random_range(0..6 * S);
        w.run(0, until);
        if ends {
            let n = match seed % 3 {
                0 => machine_leader(w, some[0]),
                1 => w.workers[some[0]].tasks.first().and_then(|t| owner(w, &t.job)),
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
        for (&i, before) in some.iter().zip(before) {
            let ran_out = w.workers[i].incarnation > before;
            let lease = (LEASE_S * 1e6) as u64;
            assert!(ran_out || long <= lease + S, "direct messages have renewed the lease of machine {i}");
            assert!(!ran_out || ends || long * 2 > lease, "machine {i} lost its lease within {long}");
        }
        settle(w, 520 * S);
    });
    ended(&mut w, seed);
    w
}

#[test]
fn machines_reach_no_controller_while_direct_messages_reach_them() {
    let (mut muted, mut confirmed) = (0, 0);
    for seed in rounds(6).map(|r| r + 30_420) {
        let w = mute_day(seed, [7, 16, 40][seed as usize % 3] * S, false);
        muted += w.lost.lost_heartbeats;
        confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
    }
    assert!(muted > 30 && confirmed > 12, "{muted} reports, {confirmed} cancellations with tasks alive");
}

#[test]
fn a_leader_ends_while_machines_reach_no_controller() {
    let (mut muted, mut spoken, mut confirmed) = (0, 0, 0);
    for seed in rounds(8).map(|r| r + 30_440) {
        let w = mute_day(seed, [9, 17, 45][seed as usize % 3] * S, true);
        muted += w.lost.lost_heartbeats;
        spoken += w.lost.fencing_answers;
        confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
    }
    assert!(
        muted > 40 && spoken >= 8 && confirmed > 12,
        "{muted} reports, {spoken} answers, {confirmed} cancellations"
    );
}

/// A machine was taken back and is off the roll; then nobody remembers it, and copies of its reports come to all. Nothing
/// tells them from a live one's: it gets no task and no job waits for it.
#[test]
fn a_machine_that_nobody_remembers_is_given_nothing_and_waited_for_by_nobody() {
    let (mut gone, mut days) = (0, 0);
    for seed in rounds(6).map(|r| r + 30_460) {
        let mut w = world(seed, 30);
        w.shape.run = 20 * S;
        guarded(seed, &mut w, |w| {
            w.run(0, 15 * S);
            w.hold_back_heartbeats(1.0, 10 * S);
            w.run(0, 25 * S);
            let some: Vec<usize> = (0..3).map(|k| (seed as usize + 2 * k) % 8).collect();
            for &i in &some {
                w.workers[i].gone = true;
                w.workers[i].tasks.clear();
            }
            let names: Vec<String> = some.iter().map(|&i| w.workers[i].name.clone()).collect();
            // Silent for two leases, it is returned; its page is written with the next change.
            while names.iter().any(|name| w.is_registered(name)) && w.now < 110 * S {
                let until = w.now + S;
                w.run(0, until);
            }
            // A page that nothing else is changed on keeps its names.
            let off = !names.iter().any(|name| w.is_registered(name));
            days += usize::from(off);
            w.inject_fault(Fault::RestartAll, 0, 0);
            let until = w.now + 25 * S / 10;
            while w.now < until {
                let next = w.now + S / 10;
                w.run(0, next);
                for n in 0..3 {
                    let Some(node) = &w.nodes[n] else { continue };
                    let d = node.machine_shard.status_delta(w.clock(n), &node.membership, n, 0, |_| None);
                    for d in d.machines.iter().filter(|d| names.contains(&d.name)) {
                        assert!(
                            !d.is_schedulable
                                && d.tasks.iter().all(|t| t.key.attempt >> 24 < node.membership.epoch),
                            "{d:?}"
                        );
                    }
                }
            }
            for n in 0..3 {
                let now = w.clock(n);
                let status = w.nodes[n].as_mut().expect("it is back").status(now);
                let unresolved_sets = &status["takeover"]["jobs_in_doubt"];
                assert!(!off || *unresolved_sets == 0, "seed {seed}, {n}: {status:#}");
            }
            settle(w, 420 * S);
        });
        ended(&mut w, seed);
        gone += w.lost.copies.gone;
    }
    assert!(gone > 30 && days >= 5, "{gone} copies of machines that are gone, on {days} days");
}

/// Copies of reports come to a controller that its workers can't reach: they are no sign that it hears them, and it leaves
/// the ring all the same.
#[test]
fn copies_do_not_keep_a_controller_on_the_ring_that_its_workers_can_not_reach() {
    let mut copies = 0;
    for seed in rounds(8).map(|r| r + 30_470) {
        let mut w = World::new(seed, Shape { machines: 24, zone_capacity: 16, ..SMALL });
        guarded(seed, &mut w, |w| {
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
            let out = |w: &World| w.nodes[p].as_ref().is_some_and(|x| !x.membership.members.contains(&n));
            assert!(out(w), "seed {seed}: {n} is still on the ring");
            settle(w, 420 * S);
        });
    }
    assert!(copies > 200, "{copies} copies");
}

/// Two epochs' owners of one job, both acting: the new one has put the end on record and has no answer yet, the old one reads
/// it there. It must not be told before the new one knows, or the new one would still say that the job runs.
#[test]
fn an_end_that_a_new_owner_wrote_is_not_told_by_the_old_one_first() {
    let (mut met, mut lost) = (0, 0);
    for seed in rounds(8).map(|r| r + 30_480) {
        let mut w = world(seed, 0);
        guarded(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let (q, n) = (seed as usize % 3, (seed as usize + 1) % 3);
            let back = w.now + 20 * S;
            w.crash_for(q, 20 * S..20 * S + 1);
            let until = back - 10 * S;
            w.run(0, until);
            for _ in 0..50 {
                let id = one_task(w, 60 * S);
                let n = (0..3).filter(|&n| n != q).collect::<Vec<_>>()[w.rng.random_range(0..2)];
                w.submit_to(n, &id);
            }
            // They all end within moments, more than their owner can put on record at once, and the next epoch comes.
            w.run(0, back - 5 * S / 2);
            w.lose_answers_of(n, Write::End, 1.0, 3 * S, Execution::Never);
            let now = w.now;
            for t in w.workers.iter_mut().flat_map(|x| &mut x.tasks).filter(|t| t.state == "running") {
                t.until = now + u64::from(t.attempt as u32 % 10) * S / 20;
            }
            w.run(0, back);
            let by = w.rng.random_range(3 * S / 10..S);
            w.slow_membership_lane(n, by, 8 * S);
            for p in (0..3).filter(|&p| p != n) {
                w.fail_one_way(p, n, 8 * S, LinkFault::Lost);
            }
            w.lose_answers_of(q, Write::End, 1.0, 6 * S, Execution::AtOnce);
            while w.now < back + 9 * S {
                // Two that act as the owner of a job whose task has ended, and its user has not been told.
                let acts = |x: usize, id: &str| {
                    let node = w.nodes[x].as_ref().filter(|node| node.membership.is_leader(w.clock(x)));
                    node.is_some_and(|node| node.membership.job_leader(id) == Some(x))
                };
                let over = |(id, j): (&String, &UserJob)| {
                    (j.known == KnownState::Accepted && !j.done.is_empty()).then(|| id.clone())
                };
                let open: Vec<String> = w.jobs.iter().filter_map(over).collect();
                met += open.iter().filter(|id| acts(n, id) && acts(q, id)).count();
                for id in open {
                    let p = if w.rng.random_bool(0.5) { n } else { q };
                    if w.rng.random_bool(0.5) {
                        w.poll(p, &id);
                    }
                }
                let until = w.now + S / 10;
                w.run(0, until);
            }
            settle(w, 420 * S);
        });
        ended(&mut w, seed);
        lost += w.lost.count(Write::End, Execution::Never).asked
            + w.lost.count(Write::End, Execution::AtOnce).committed;
    }
    eprintln!("{met} moments, {lost} ends without an answer");
    assert!(met > 100 && lost > 40, "{met} moments, {lost} ends without an answer");
}

/// The new owner has just accepted a job, the old one acts on in the epoch before and reads the record when it is asked. All its
/// machines are heard in its epoch; the job must not be started by both.
#[test]
fn a_job_accepted_in_a_new_epoch_is_not_started_by_its_owner_of_the_last() {
    let mut met = 0;
    for seed in rounds(8).map(|r| r + 30_500) {
        let mut w = world(seed, 0);
        guarded(seed, &mut w, |w| {
            w.run(0, 15 * S);
            let (q, n) = (seed as usize % 3, (seed as usize + 1) % 3);
            let back = w.now + 20 * S;
            // It stands still for longer than its lease, and joins anew.
            w.paused_until[q] = back;
            w.run(0, back);
            // Its home and its witness is in the older epoch too.
            for p in (0..3).filter(|&p| p != q) {
                let by = w.rng.random_range(3 * S / 10..S);
                w.slow_membership_lane(p, by, 8 * S);
                w.fail_one_way(q, p, 8 * S, LinkFault::Lost);
            }
            let epoch = w.epoch();
            while w.epoch() == epoch {
                let until = w.now + S / 20;
                w.run(0, until);
            }
            let ids: Vec<String> = (0..24).map(|_| one_task(w, 12 * S)).collect();
            let until = w.now + S / 5;
            w.run(0, until);
            ids.iter().for_each(|id| w.submit_to(q, id));
            for _ in 0..12 {
                let acts = |x: usize, id: &str| {
                    let node = w.nodes[x].as_ref().filter(|node| node.membership.is_leader(w.clock(x)));
                    node.is_some_and(|node| node.membership.job_leader(id) == Some(x))
                };
                let both =
                    |id: &&String| w.jobs[*id].known == KnownState::Accepted && acts(n, id) && acts(q, id);
                let ids: Vec<String> = ids.iter().filter(both).cloned().collect();
                met += ids.len();
                ids.iter().for_each(|id| w.poll(n, id));
                let until = w.now + S / 5;
                w.run(0, until);
            }
            settle(w, 420 * S);
        });
        ended(&mut w, seed);
    }
    assert!(met > 40, "{met} questions to the old owner while both act");
}

/// None of a controller's writes of its own key has an answer, while it is carried out: what it reads back tells it as much.
#[test]
fn who_reads_its_own_key_back_joins_without_an_answer_to_its_write() {
    let mut took = 0;
    for seed in rounds(6).map(|r| r + 30_490) {
        let mut w = world(seed, 20);
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let n = seed as usize % 3;
            let epoch = w.epoch();
            w.lose_answers_of(n, Write::Member, 1.0, 60 * S, Execution::AtOnce);
            w.crash_for(n, S / 20..S / 10);
            let until = w.now + 8 * S;
            w.run(0, until);
            let acts = |w: &World| w.nodes[n].as_ref().is_some_and(|x| x.membership.is_leader(w.clock(n)));
            assert!(acts(w), "seed {seed}: {n} has not joined");
            let until = w.now + 40 * S;
            w.run(0, until);
            assert!(acts(w) && w.epoch() <= epoch + 2, "seed {seed}: epochs {epoch} to {}", w.epoch());
            settle(w, 420 * S);
        });
        ended(&mut w, seed);
        took += w.lost.count(Write::Member, Execution::AtOnce).committed;
    }
    assert!(took >= 6, "{took} keys written without an answer");
}
