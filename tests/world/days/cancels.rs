//! Cancellations that meet what makes them hard: teams at their limits whose machines are out of reach while the leader
//! changes, work that is just changing hands, and a stream of small jobs.

use super::compound::*;
use crate::*;

/// So many days, or all that are asked for.
fn few(n: usize, base: u64) -> impl Iterator<Item = u64> {
    let all = std::env::var("WORLD_SEEDS").is_ok();
    seeds().take(if all { usize::MAX } else { n }).map(move |s| s + base)
}

/// A job by its team, its kind, its tasks, what each takes and how long it runs; its user is at it at once.
fn job(w: &mut World, team: usize, kind: &str, tasks: u32, cpus: f64, run: u64) -> String {
    let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
    let body = json!({"uid": id, "breed": format!("{kind}-normal"), "herd": format!("t{team}"), "gait": kind,
        "rank": "normal", "strides": tasks, "vcpus": cpus, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0,
        "together": false, "scatter": false, "borrowed": false, "rideS": run as f64 / 1e6, "restS": 0.0,
        "unsaddleS": 0.0, "dueS": null, "follows": []});
    w.add_described_job(&body, run);
    id
}

/// Plays a day of cancellations on so many machines, while users ask, and holds it to what must hold.
fn played(seed: u64, machines: usize, sum: &mut Cancels, day: impl FnOnce(&mut World)) {
    let mut w = World::new(seed, Shape { machines, zone_capacity: machines, teams: 4, jobs: 0, ..SMALL });
    w.answer_gaps.pollers = true;
    guarded(seed, &mut w, |w| {
        day(w);
        settle(w, 520 * S);
    });
    ended(&mut w, seed);
    w.assert_cancels_answered(seed, 15.0);
    sum.add(&w.cancels);
}

/// Teams with a limit.
const LIMITED: [usize; 2] = [0, 2];

/// What becomes of the machines of the cancelled jobs.
#[derive(Clone, Copy, Debug)]
enum Machines {
    /// They hang for so long.
    Hang(u64),
    /// They hear nobody.
    Deaf(u64),
    /// No controller reaches any machine, and none reaches a controller.
    Cut(u64),
    /// Those of one home are cut from it alone.
    CutFromHome(u64),
}

impl Machines {
    fn befall(self, w: &mut World, at: &[usize]) {
        let now = w.now;
        w.log.push(format!("{:.1}: {self:?}, {at:?}", now as f64 / 1e6));
        match self {
            Machines::Hang(long) => at.iter().for_each(|&i| w.workers[i].unresponsive_until = now + long),
            Machines::Deaf(long) => w.lose_inbound_messages(at, long),
            Machines::Cut(long) => {
                (0..3).for_each(|n| {
                    w.partitions.push((Endpoint::Controller(n), Endpoint::Workers, now + long, n == 0))
                });
            }
            Machines::CutFromHome(long) => {
                let n = at.first().and_then(|&i| machine_leader(w, i)).unwrap_or(0);
                let hold = w.rng.random_bool(0.5);
                w.partitions.push((Endpoint::Controller(n), Endpoint::Workers, now + long, hold));
            }
        }
    }
}

/// What becomes of a controller.
#[derive(Clone, Copy, Debug)]
enum Leader {
    BackAtOnce,
    Lost,
    Leaves,
    CutFromStoreAndPeers,
    Refused,
    AllBackAtOnce,
}

const LEADERS: [Leader; 6] = [
    Leader::BackAtOnce,
    Leader::Lost,
    Leader::Leaves,
    Leader::CutFromStoreAndPeers,
    Leader::Refused,
    Leader::AllBackAtOnce,
];

impl Leader {
    fn befalls(self, w: &mut World, n: usize) {
        w.log.push(format!("{:.1}: {self:?}, {n}", w.now as f64 / 1e6));
        match self {
            Leader::BackAtOnce => w.crash_for(n, S / 20..S / 10),
            Leader::Lost => w.crash_for(n, 8 * S..14 * S),
            Leader::Leaves => w.inject_fault(Fault::Leave, n, 0),
            Leader::CutFromStoreAndPeers => w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 20 * S),
            Leader::Refused => w.inject_fault(Fault::StoreRefuses, n, 15 * S),
            Leader::AllBackAtOnce => w.inject_fault(Fault::RestartAll, n, 0),
        }
    }
}

/// Every team with a limit is at it, more of its work waits, and some of its jobs are cancelled whose machines are out of
/// reach, while the leader changes, before or after. What comes free may be used only once it is certainly free: the world
/// counts what is on machines that hang or can't be reached, too, until their leases are over.
fn at_their_limits(base: u64, machines: [Machines; 3], changes_first: bool) -> Cancels {
    let mut sum = Cancels::default();
    for seed in few(8, base) {
        played(seed, 12, &mut sum, |w| {
            w.run(0, 15 * S);
            for t in LIMITED {
                for i in 0..8 {
                    let (kind, tasks) = [("batch", 4), ("group", 3), ("batch", 2)][i % 3];
                    job(w, t, kind, tasks, 2.0, 150 * S);
                }
            }
            w.run(0, 28 * S);
            // What waits runs for a few seconds only: each bit of room that comes free is used at once.
            for i in 0..40 {
                let kind = if i % 4 == 0 { "group" } else { "batch" };
                let run = w.rng.random_range(4 * S..12 * S);
                job(w, LIMITED[i % 2], kind, 1 + i as u32 % 3, 1.0, run);
            }
            w.run(0, 45 * S);
            for t in LIMITED {
                // A task of two processors, and a gang of which not all fits.
                let (most, used) = ((limit(t, w.shape) * 1000.0) as i64, w.team_use(&format!("t{t}")));
                assert!(used > most - 5000, "t{t} is not at its limit: {used} of {most}");
            }
            for round in 0..2 {
                let n = w.rng.random_range(0..3);
                let leader = LEADERS[(seed as usize + 3 * round) % LEADERS.len()];
                if changes_first {
                    leader.befalls(w, n);
                    let until = w.now + w.rng.random_range(0..3 * S);
                    w.run(0, until);
                }
                let some = w.mass_cancel(6, 0);
                let at: BTreeSet<usize> = some.iter().flat_map(|id| w.machines_with_live_tasks(id)).collect();
                let at: Vec<usize> = at.into_iter().take(8).collect();
                machines[seed as usize % machines.len()].befall(w, &at);
                if !changes_first {
                    let until = w.now + w.rng.random_range(0..3 * S);
                    w.run(0, until);
                    leader.befalls(w, n);
                }
                let until = w.now + 55 * S;
                w.run(0, until);
            }
        });
    }
    sum
}

/// The machines of the cancelled jobs hang for less than a lease, for longer, and for longer than a cancelled task may live.
#[test]
fn jobs_of_teams_at_their_limits_are_cancelled_on_machines_that_hang_and_the_leader_changes() {
    let hang = [12 * S, (LEASE_S * 1e6) as u64 + 6 * S, (CANCEL_S * 1e6) as u64 + 8 * S].map(Machines::Hang);
    for (base, changes_first) in [(24_000, true), (24_100, false)] {
        let sum = at_their_limits(base, hang, changes_first);
        assert!(sum.answered >= 60 && sum.concurrent[1] > 15, "{sum:?}");
        // Of those that went on some had tasks of cancelled jobs that went on as well, and some were to end them first.
        assert!(sum.resumed_tasks.iter().all(|n| *n > 20), "{sum:?}");
    }
}

/// They hear nobody, or are cut off.
#[test]
fn jobs_of_teams_at_their_limits_are_cancelled_on_machines_that_are_cut_off_and_the_leader_changes() {
    let cut = [Machines::Deaf(30 * S), Machines::Cut(25 * S), Machines::CutFromHome(16 * S)];
    for (base, changes_first) in [(24_200, true), (24_300, false)] {
        let sum = at_their_limits(base, cut, changes_first);
        assert!(sum.answered >= 60 && sum.concurrent[0] > 25, "{sum:?}");
    }
}

/// How one controller's work changes hands.
#[derive(Clone, Copy, Debug)]
enum Hands {
    Leaves,
    Lost,
    BackAtOnce,
    /// All, one after the other, as in a roll.
    MachineRegistry,
    CutFromStoreAndPeers,
    CutFromWorkers,
}

/// Users call off some of these, now and then, for so long.
fn call_some_off(w: &mut World, left: &mut Vec<String>, often: f64, long: u64) {
    let end = w.now + long;
    while w.now < end {
        if !left.is_empty() && w.rng.random_bool(often) {
            let id = left.swap_remove(w.rng.random_range(0..left.len()));
            let delay = w.rng.random_range(0..S / 10);
            w.start_cancelling(&id, delay);
        }
        let until = w.now + S / 10;
        w.run(0, until);
    }
}

/// Jobs are cancelled through any controller just before, while and after one's work goes to another: what runs, what is
/// just starting, what waits. Returns how many of them had another owner then.
fn while_work_changes_hands(base: u64, hands: Hands) -> (usize, Cancels) {
    let (mut sum, mut moved) = (Cancels::default(), 0);
    for seed in few(6, base) {
        played(seed, 10, &mut sum, |w| {
            w.handoff_fault_rate = 0.1;
            w.log.push(format!("{hands:?}"));
            w.run(0, 15 * S);
            for round in 0..3 {
                let mut ids: Vec<String> = Vec::new();
                for i in 0..12 {
                    let (kind, tasks) = [("batch", 3), ("group", 3), ("batch", 1), ("group", 2)][i % 4];
                    ids.push(job(w, i % 4, kind, tasks, 2.0, [60 * S, 15 * S][i % 2]));
                }
                let until = w.now + 10 * S;
                w.run(0, until);
                // These are just starting when the moment comes.
                for i in 0..10 {
                    ids.push(job(w, i % 4, ["batch", "group"][i % 2], 2, 1.0, 30 * S));
                }
                let until = w.now + w.rng.random_range(S / 2..3 * S);
                w.run(0, until);
                let n = (seed as usize + round) % 3;
                ids.retain(|id| w.jobs[id].known == KnownState::Accepted);
                let epoch = w.epoch();
                let before: Vec<(String, Option<usize>)> =
                    ids.iter().map(|id| (id.clone(), owner(w, id))).collect();
                match hands {
                    Hands::Leaves | Hands::MachineRegistry => w.inject_fault(Fault::Leave, n, 0),
                    Hands::Lost => w.crash_for(n, 8 * S..14 * S),
                    Hands::BackAtOnce => w.crash_for(n, S / 20..S / 10),
                    Hands::CutFromStoreAndPeers => {
                        w.inject_fault(Fault::PartitionFromStoreAndPeers, n, 12 * S)
                    }
                    Hands::CutFromWorkers => w.inject_fault(Fault::PartitionFromWorkers, n, 14 * S),
                }
                let end = w.now + 25 * S;
                while w.now < end && w.epoch() == epoch {
                    call_some_off(w, &mut ids, 0.08, S / 10);
                }
                call_some_off(w, &mut ids, 0.4, 3 * S);
                let other = |(id, o): &&(String, Option<usize>)| {
                    owner(w, id) != *o && w.cancels.asked.contains_key(id)
                };
                moved += before.iter().filter(other).count();
                if matches!(hands, Hands::MachineRegistry) {
                    for p in [(n + 1) % 3, (n + 2) % 3] {
                        w.inject_fault(Fault::Leave, p, 0);
                        call_some_off(w, &mut ids, 0.15, 5 * S);
                    }
                }
                let until = w.now + 15 * S;
                w.run(0, until);
            }
        });
    }
    assert!(sum.answered > 150, "{hands:?}: {sum:?}");
    (moved, sum)
}

#[test]
fn jobs_are_cancelled_while_a_controller_leaves_or_all_are_rolled() {
    let (moved, _) = while_work_changes_hands(24_400, Hands::Leaves);
    assert!(moved > 40, "{moved} of another owner");
    while_work_changes_hands(24_410, Hands::MachineRegistry);
}

#[test]
fn jobs_are_cancelled_while_a_controller_is_lost_or_back_at_once() {
    let (moved, _) = while_work_changes_hands(24_420, Hands::Lost);
    assert!(moved > 40, "{moved} of another owner");
    while_work_changes_hands(24_430, Hands::BackAtOnce);
}

#[test]
fn jobs_are_cancelled_while_a_controller_is_cut_off_and_replaced() {
    for (base, hands) in [(24_440, Hands::CutFromStoreAndPeers), (24_450, Hands::CutFromWorkers)] {
        let (moved, _) = while_work_changes_hands(base, hands);
        assert!(moved > 40, "{hands:?}: {moved} of another owner");
    }
}

/// What a stream of small jobs came to.
#[derive(Debug, Default)]
struct Stream {
    jobs: usize,
    /// Cancelled as soon as they were accepted, and while they ran.
    cancelled: [usize; 2],
    /// The longest, in seconds: from the first submission to the acceptance, from the end of the task to that on record.
    accepted: f64,
    ended: f64,
}

/// One-task jobs come four a second for so long, a quarter of them cancelled: half of these as soon as they are accepted,
/// half while they run. `befalls` is what happens in the middle.
fn stream(w: &mut World, seconds: u64, befalls: impl FnOnce(&mut World)) -> Stream {
    let mut out = Stream::default();
    w.run(0, 20 * S);
    let (from, end) = (w.now, w.now + seconds * S);
    let mut befalls = Some(befalls);
    let mut next = w.now;
    let mut to_cancel: Vec<(String, bool)> = Vec::new();
    let mut came: BTreeMap<String, u64> = BTreeMap::new();
    while w.now < end {
        while w.now >= next {
            next += S / 4;
            let (team, run) = (w.rng.random_range(0..w.shape.teams), w.rng.random_range(S..6 * S));
            let id = job(w, team, "batch", 1, 1.0, run);
            came.insert(id.clone(), w.now);
            match w.rng.random_range(0..8) {
                0 => to_cancel.push((id, true)),
                1 => to_cancel.push((id, false)),
                _ => {}
            }
        }
        if w.now >= from + (end - from) / 2
            && let Some(f) = befalls.take()
        {
            f(w);
        }
        let due = |w: &World, (id, at_once): &(String, bool)| {
            let j = &w.jobs[id];
            j.known != KnownState::Unknown && (*at_once || j.started_at.is_some())
        };
        let due: Vec<(String, bool)> = to_cancel.extract_if(.., |c| due(w, c)).collect();
        for (id, at_once) in due {
            if w.jobs[&id].known == KnownState::Accepted {
                out.cancelled[usize::from(!at_once)] += 1;
                let delay = w.rng.random_range(0..S / 10);
                w.start_cancelling(&id, delay);
            }
        }
        let until = w.now + S / 10;
        w.run(0, until);
    }
    settle(w, end + 240 * S);
    out.jobs = came.len();
    for (id, at) in &came {
        let j = &w.jobs[id];
        let since = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1e6;
        out.accepted = out.accepted.max(since(*at, j.accepted_at.expect("accepted")));
        if let (KnownState::Done, Some(begun), Some(end)) = (&j.known, j.started_at, w.cancels.ends.get(id)) {
            out.ended = out.ended.max(since(begun + j.run, *end));
        }
    }
    out
}

/// What the state service's limits allow for in the long run, in one-task jobs a second: one change for the acceptance and
/// two for the end, beside what teams' records take.
fn sustained(w: &World, s: &Stream) -> f64 {
    let per_job = w.cancels.changes.values().sum::<usize>() as f64 / s.jobs as f64;
    assert!((3.0..4.0).contains(&per_job), "{per_job:.2} changes a job");
    3.0 * settings(0, w.shape, false).store_write_rps / per_job
}

/// Plays a stream and holds it to what must hold at any rate.
fn stream_day(seed: u64, write_rps: f64, befalls: impl FnOnce(&mut World)) -> (World, Stream) {
    let shape = Shape { machines: 14, zone_capacity: 10, jobs: 0, teams: 4, write_rps, ..SMALL };
    let mut w = World::new(seed, shape);
    let mut out = Stream::default();
    guarded(seed, &mut w, |w| {
        out = stream(w, 130, befalls);
        assert_eq!(w.created_jobs(), out.jobs, "each was put on record, once");
        assert!(out.cancelled[0] > 30 && out.cancelled[1] > 30, "{out:?}");
        // Nothing of what ended is left: not as live, nor on a machine.
        let until = w.now + 15 * S;
        w.run(0, until);
        for n in w.nodes.iter().flatten() {
            let tasks: usize = n.job_shard.machines(n.membership.epoch).map(|d| d.tasks.len()).sum();
            assert_eq!((n.job_shard.task_counts().0, tasks), (0, 0), "jobs and tasks that are left");
        }
        // Whoever asks later is told what became of it, by whichever controller.
        let some: Vec<String> = w.jobs.keys().step_by(17).cloned().collect();
        for id in some {
            let says = if w.jobs[&id].known == KnownState::Done { "\"done\"" } else { "\"aborted\"" };
            for n in 0..3 {
                let r = w.ask(n, UserRequest::Query(id.clone()));
                assert!(r.status == 200 && r.body.contains(says), "{id}: {r:?}");
            }
        }
    });
    ended(&mut w, seed);
    (w, out)
}

/// At a rate that the state service's limits allow for, alone and with one controller lost for a while.
#[test]
fn small_jobs_come_four_a_second_for_minutes_and_a_quarter_is_cancelled() {
    for seed in few(3, 24_800) {
        let (w, out) = stream_day(seed, 25.0, |_| {});
        assert!(sustained(&w, &out) > 4.0, "seed {seed}: {:.1} a second", sustained(&w, &out));
        w.assert_cancels_answered(seed, 6.0);
        assert!(out.accepted <= 5.0 && out.ended <= 10.0, "seed {seed}: {out:?}");
        let (w, out) = stream_day(seed + 100, 25.0, |w| w.crash_for(seed as usize % 3, 3 * S..9 * S));
        w.assert_cancels_answered(seed, 20.0);
        assert!(out.accepted <= 20.0, "seed {seed}: {out:?}");
    }
}

/// At a higher rate than they allow for ends wait; cancellations go first.
#[test]
fn small_jobs_come_faster_than_their_ends_can_be_put_on_record() {
    for seed in few(2, 24_900) {
        let (w, out) = stream_day(seed, 15.0, |_| {});
        assert!(sustained(&w, &out) < 4.0, "seed {seed}: {:.1} a second", sustained(&w, &out));
        w.assert_cancels_answered(seed, 10.0);
    }
}

/// Ends beyond what is kept in memory are read from the record, whoever asked before.
#[test]
fn ends_that_are_kept_in_memory_no_more_are_read_from_the_record() {
    const KEPT: usize = 2000;
    let mut w = World::new(25_000, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 20 * S);
    let m = w.nodes[0].as_ref().expect("it lives").membership.clone();
    let ids: Vec<String> = (0..)
        .map(|i| format!("wk-{i:06}"))
        .filter(|id| m.job_leader(id) == Some(0))
        .take(KEPT + 60)
        .collect();
    let end = |i: usize| if i.is_multiple_of(4) { "cancelled" } else { "done" };
    for (i, id) in ids.iter().enumerate() {
        w.store.keys.insert(format!("done/{id}"), (json!({"end": end(i), "done": 1}), 1, None));
        w.register.mark_ended(id);
    }
    let asked = |w: &mut World, i: usize| {
        let r = w.ask(i % 3, UserRequest::Query(ids[i].clone()));
        let says = if end(i) == "done" { "\"done\"" } else { "\"aborted\"" };
        assert!(r.status == 200 && r.body.contains(says), "{}: {r:?}", ids[i]);
    };
    let kept = |w: &World| -> Vec<usize> {
        let owner = &w.nodes[0].as_ref().expect("it lives").job_shard;
        (0..ids.len()).filter(|&i| owner.outcome_of(&ids[i]).is_some()).collect()
    };
    (0..ids.len()).for_each(|i| asked(&mut w, i));
    assert_eq!(kept(&w), (60..KEPT + 60).collect::<Vec<_>>(), "the latest");
    (0..60).for_each(|i| asked(&mut w, i));
    assert_eq!(kept(&w).len(), KEPT);
    assert_eq!(w.ask(0, UserRequest::Query("wk-999998".into())).status, 404);
}
