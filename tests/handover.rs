//! Hand-off between machine leaders and between job leaders: the receiver treats complete state as complete, never
//! assumes more than was handed off, and tolerates late or repeated batches.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::JobShard;
use hazelsaddle::machine_shard::{Heartbeat, HeartbeatOutcome, HeartbeatTask, MachineShard};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::*;
use hazelsaddle::quota::QuotaLedger;
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use serde_json::{Value, json};

const ROOM: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };

fn at(s: f64) -> Micros {
    Micros::from_secs(s)
}

fn settings(me: usize) -> Settings {
    let other = 1 - me;
    let text = format!(
        "member = \"c{me}\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c{other}\"\n\
        addr = \"10.0.0.2:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings]\n\
        [[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("test", &text).expect("valid")
}

fn record(epoch: u64, members: &[usize]) -> EpochRecord {
    EpochRecord { epoch, members: members.iter().map(|m| (format!("c{m}"), 1)).collect() }
}

/// c0 alone in epoch 7, then c0 and c1 from epoch 8 on, and names whose leader changes to c1 at that time.
struct Two {
    before: Membership,
    next: Membership,
    new: Membership,
    machine: String,
    job: String,
}

fn two() -> Two {
    let (a, b) = (settings(0), settings(1));
    let mut before = Membership::new(&a, 1);
    before.adopt_epoch(at(10.0), &record(7, &[0]), 1);
    let mut next = before.clone();
    assert!(next.adopt_epoch(at(100.0), &record(8, &[0, 1]), 2), "it follows directly");
    let mut new = Membership::new(&b, 1);
    new.adopt_epoch(at(1001.0), &record(8, &[0, 1]), 2);
    let moves = |p: &str, owner: &dyn Fn(&str) -> Option<usize>| {
        (0..).map(|i| format!("{p}-{i:06}")).find(|n| owner(n) == Some(1)).expect("one of many")
    };
    let machine = moves("i", &|n| new.machine_leader(n));
    let job = moves("wk", &|n| new.job_leader(n));
    Two { before, next, new, machine, job }
}

fn report(t: &Two, seq: u64, token: u64, tasks: &[(u64, &str)]) -> Heartbeat {
    let task = |&(attempt, state): &(u64, &str)| HeartbeatTask {
        task: format!("{}/0", t.job),
        attempt,
        state: state.into(),
        cause: None,
        saved: None,
    };
    Heartbeat {
        machine: t.machine.clone(),
        addr: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        token,
        time_to_termination_s: None,
        tasks: tasks.iter().map(task).collect(),
    }
}

fn wanted(t: &Two, attempt: u64, want: DesiredAction) -> DesiredTask {
    DesiredTask {
        key: TaskKey { job: t.job.clone(), index: 0, attempt },
        machine: t.machine.clone(),
        resources: Resources { cpus: 3000, gpus: 0, memory: 0 },
        action: want,
        priority: 0,
        image: 0,
    }
}

fn whole(rev: u64, list: Vec<DesiredTask>) -> DesiredState {
    DesiredState { revision: rev, base_revision: 0, tasks: list, removed: Vec::new() }
}

/// The old machine leader, which has just sent out a start command, and the new one.
fn homes(t: &Two) -> (MachineShard, MachineShard) {
    let mut old = MachineShard::new(&settings(0));
    old.adopt_epoch(at(10.0), &t.before, false, |_| None);
    assert_eq!(old.apply_heartbeat(at(99.0), &t.before, &report(t, 1, 7, &[])), HeartbeatOutcome::Accepted);
    old.confirm_registered(&t.machine);
    old.apply_desired_state(
        at(99.1),
        0,
        &whole(1, vec![wanted(t, 5, DesiredAction::Run)]),
        &t.before,
        |_| Some(ROOM),
    );
    assert_eq!(old.issue_commands(&t.before, &t.machine, |_| true).expect("known").commands.len(), 1);
    let mut new = MachineShard::new(&settings(1));
    new.adopt_epoch(at(1001.0), &t.new, false, |_| None);
    (old, new)
}

fn digest(home: &MachineShard, now: Micros, t: &Two) -> MachineStatus {
    home.status_delta(now, &t.new, 1, 0, |_| Some(ROOM)).machines.remove(0)
}

#[test]
fn a_handed_machine_is_known_at_once_with_the_start_that_is_in_doubt() {
    let t = two();
    let (old, mut new) = homes(&t);
    let mut parcels = old.pack_handoff(at(100.0), &t.next);
    let machine = parcels.remove(&1).expect("it moves").remove(0);
    assert!(new.apply_handoff(at(1005.0), &t.new, machine.clone()));
    let d = digest(&new, at(1005.0), &t);
    assert_eq!(
        (d.inventory_state, d.free.cpus, d.tasks[0].phase),
        (InventoryState::Known, 1000, TaskPhase::InDoubt)
    );
    assert!(!new.apply_handoff(at(1005.1), &t.new, machine.clone()), "twice changes nothing");
    // The unconfirmed attempt keeps its resources, and its task is not started again.
    new.apply_desired_state(
        at(1005.2),
        1,
        &whole(1, vec![wanted(&t, 6, DesiredAction::Run)]),
        &t.new,
        |_| Some(ROOM),
    );
    assert!(new.issue_commands(&t.new, &t.machine, |_| true).expect("known").commands.is_empty());
    // The start command never arrived, as the next heartbeat shows.
    assert_eq!(new.apply_heartbeat(at(1006.0), &t.new, &report(&t, 2, 7, &[])), HeartbeatOutcome::Accepted);
    assert_eq!(digest(&new, at(1006.0), &t).free.cpus, 4000);
    // A late copy of the hand-off batch restores nothing.
    new.apply_handoff(at(1007.0), &t.new, machine);
    assert!(digest(&new, at(1007.0), &t).tasks.is_empty());
}

#[test]
fn a_report_that_came_before_the_parcel_says_all_there_is_and_an_older_one_nothing() {
    for (seq, cpus) in [(2, 4000), (1, 1000)] {
        let t = two();
        let (old, mut new) = homes(&t);
        // This heartbeat has the old fencing token, so that it is no evidence by itself.
        new.apply_heartbeat(at(1004.0), &t.new, &report(&t, seq, 7, &[]));
        assert_eq!(digest(&new, at(1004.0), &t).inventory_state, InventoryState::Unconfirmed);
        let machine = old.pack_handoff(at(100.0), &t.next).remove(&1).expect("it moves").remove(0);
        new.apply_handoff(at(1005.0), &t.new, machine);
        let d = digest(&new, at(1005.0), &t);
        assert_eq!((d.inventory_state, d.free.cpus), (InventoryState::Known, cpus), "report {seq}");
    }
}

#[test]
fn what_owners_want_of_a_machine_before_its_parcel_comes_is_not_lost() {
    let t = two();
    let (old, mut new) = homes(&t);
    new.apply_heartbeat(at(1004.0), &t.new, &report(&t, 2, 7, &[(5, "running")]));
    let stop = wanted(&t, 5, DesiredAction::Stop(Micros(0)));
    new.apply_desired_state(at(1004.5), 1, &whole(1, vec![stop]), &t.new, |_| Some(ROOM));
    let machine = old.pack_handoff(at(100.0), &t.next).remove(&1).expect("it moves").remove(0);
    new.apply_handoff(at(1005.0), &t.new, machine);
    let told = new.issue_commands(&t.new, &t.machine, |_| true).expect("known").commands;
    assert_eq!(told.iter().map(|c| c.verb()).collect::<Vec<_>>(), ["kill"]);
}

/// The loss of a machine that was unreachable before the epoch is counted from then. A machine whose loss is not yet
/// certain is not reported as lost.
#[test]
fn the_clock_of_a_machine_that_nobody_knows_goes_on() {
    let t = two();
    let r = hazelsaddle::machine_shard::MachineRecord {
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        addr: String::new(),
    };
    for (packed, known_at) in [(30.0, 10.0), (12.0, f64::NAN)] {
        let mut old = MachineShard::new(&settings(0));
        old.adopt_epoch(at(10.0), &t.before, false, |_| None);
        old.load_record(at(10.0), &t.machine, r.clone());
        let parcels = old.pack_handoff(at(packed), &t.next);
        let mut new = MachineShard::new(&settings(1));
        new.adopt_epoch(at(1001.0), &t.new, false, |_| None);
        new.load_record(at(1001.0), &t.machine, r.clone());
        if known_at.is_nan() {
            assert!(parcels.is_empty(), "others may still be answering it");
        } else {
            let machine = parcels[&1][0].clone();
            assert!(!machine.inventory_known);
            new.apply_handoff(at(1001.5), &t.new, machine);
        }
        // The last right of the epoch before ends at 16 s; a worker's lease and its margin follow. On the old machine
        // leader's clock that is at 35 s, so 5 s after packing. On the new leader's own clock it is a member lease, a
        // worker lease and the margin after 1 s.
        let mut over = 1002.0;
        while digest(&new, at(over), &t).inventory_state == InventoryState::Unconfirmed {
            over += 0.25;
            new.expire_leases(at(over), &t.new);
            assert!(over < 1060.0);
        }
        let bound = if known_at.is_nan() { 1025.0..1027.0 } else { 1006.0..1008.0 };
        assert!(bound.contains(&over), "packed at {packed}: {over}");
    }
}

/// The same for a machine whose leader stays: its lease does not begin anew with the epoch.
#[test]
fn the_clock_of_a_machine_that_stays_goes_on() {
    let t = two();
    let stays = (0..)
        .map(|i| format!("i-{i:06}"))
        .find(|n| t.next.machine_leader(n) == Some(0))
        .expect("one of many");
    let r = hazelsaddle::machine_shard::MachineRecord {
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        addr: String::new(),
    };
    let mut home = MachineShard::new(&settings(0));
    home.adopt_epoch(at(10.0), &t.before, false, |_| None);
    home.load_record(at(10.0), &stays, r);
    // A member lease after 10 s no other controller can answer the machine; with a worker lease and its margin that
    // is 35 s.
    home.adopt_epoch(at(30.0), &t.next, true, |_| None);
    let known = |home: &mut MachineShard, s: f64| {
        home.expire_leases(at(s), &t.next);
        home.status_delta(at(s), &t.next, 0, 0, |_| Some(ROOM)).machines[0].inventory_state
            == InventoryState::Known
    };
    assert!(!known(&mut home, 34.0));
    assert!(known(&mut home, 36.0));
}

fn raw(id: &str, kind: &str, tasks: u32) -> Value {
    json!({
        "uid": id,
        "breed": "b",
        "herd": "t",
        "gait": kind,
        "rank": "high",
        "strides": tasks,
        "vcpus": 2.0,
        "cards": 0,
        "ramGb": 1.0,
        "tack": "i",
        "imageGb": 1,
        "together": true,
        "scatter": false,
        "borrowed": true,
        "rideS": 1,
        "restS": 0,
        "unsaddleS": 0,
    })
}

/// The new leader of a job, with a machine that has not reported and one with free resources.
fn owner(t: &Two, kind: &str, tasks: u32) -> (JobShard, QuotaLedger, MachineStatus) {
    let s = settings(1);
    let mut o = JobShard::new(&s);
    o.adopt_epoch(&t.new, false);
    let raw = raw(&t.job, kind, tasks);
    o.insert_job(
        raw.clone(),
        JobSpec::from_value(&raw).expect("valid"),
        Micros(1),
        TaskIndexSet::default(),
        1,
        false,
    );
    o.finish_loading([t.machine.clone(), "i-dark".to_owned()].into_iter());
    o.apply_autoscaler_reservations(Vec::new(), Vec::new());
    let room = Resources { cpus: 80_000, gpus: 0, memory: 90_000 };
    let d = MachineStatus {
        name: "i-free".into(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: true,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: room,
        total: room,
        used_by_priority: Vec::new(),
        images: Vec::new(),
        task_count: 0,
        idle_time: None,
        silent_time: None,
        tasks: Vec::new(),
    };
    (o, QuotaLedger::new(&s.teams), d)
}

/// Status messages of both machine leaders. Machines named beside the free one are known to have no free resources.
fn hear(o: &mut JobShard, t: &Two, seq: u64, free: &MachineStatus, others: &[(&str, InventoryState)]) {
    for from in 0..2 {
        // The machine leader has seen the latest desired state, if one was sent.
        let rev_seen = if seq == 1 { 0 } else { o.next_desired_state(from, &t.new).revision };
        let none = Resources::default();
        let other = |&(name, standing): &(&str, InventoryState)| MachineStatus {
            name: name.into(),
            inventory_state: standing,
            free: none,
            is_schedulable: false,
            ..free.clone()
        };
        let all = others.iter().map(other).chain([free.clone()]);
        let machines = all.filter(|d| t.new.machine_leader(&d.name) == Some(from)).collect();
        let d = MachineStatusDelta {
            sequence: (t.new.epoch << 32) + seq,
            base_sequence: 0,
            revision_seen: rev_seen,
            machines,
        };
        o.apply_machine_status(at(5.0), &t.new, from, d);
    }
}

fn placed(o: &mut JobShard, t: &Two, teams: &QuotaLedger, now: f64) -> Vec<u32> {
    o.run_scheduling_pass(at(now), at(now), &t.new, teams);
    let mut all: Vec<DesiredTask> = (0..2).flat_map(|h| o.next_desired_state(h, &t.new).tasks).collect();
    all.retain(|w| w.action == DesiredAction::Run || w.action == DesiredAction::Hold);
    let mut out: Vec<u32> = all.iter().map(|w| w.key.index).collect();
    out.sort_unstable();
    out.dedup();
    out
}

fn start(t: &Two, index: u32, stopping: bool) -> StartHandoff {
    StartHandoff {
        index,
        attempt: 77,
        machine: t.machine.clone(),
        zone: "z".into(),
        stopping,
        phase: Some(TaskPhase::Running),
    }
}

#[test]
fn a_handed_job_starts_at_once_what_is_nowhere_and_waits_for_the_rest() {
    let t = two();
    let dark = [(t.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut o, teams, free) = owner(&t, "batch", 4);
    hear(&mut o, &t, 1, &free, &dark);
    assert_eq!(placed(&mut o, &t, &teams, 5.0), Vec::<u32>::new(), "any of them may be on two machines");
    let starts = vec![start(&t, 1, false), start(&t, 2, true)];
    let job = |unresolved_set| JobHandoff {
        id: t.job.clone(),
        done: "3".into(),
        starts: starts.clone(),
        unresolved_set,
    };
    assert_eq!(
        o.accept_handoff(at(5.1), vec![job(Some(9))], &[]),
        0,
        "a set that is not there is no evidence"
    );
    assert_eq!(o.accept_handoff(at(5.1), vec![job(None)], &[]), 1);
    assert_eq!(placed(&mut o, &t, &teams, 6.0), [0], "one is there, one being stopped, one completed");
    assert_eq!(o.accept_handoff(at(6.1), vec![job(None)], &[]), 0, "twice changes nothing");
    // Their machine reports and has neither.
    let known = [(t.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)];
    hear(&mut o, &t, 2, &free, &known);
    hear(&mut o, &t, 3, &free, &known);
    assert_eq!(placed(&mut o, &t, &teams, 9.0).len(), 3, "0 as before, and both that were lost");
}

#[test]
fn a_job_handed_on_in_doubt_waits_for_those_machines_only() {
    let t = two();
    let dark = [(t.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut o, teams, free) = owner(&t, "batch", 2);
    hear(&mut o, &t, 1, &free, &dark);
    let job =
        JobHandoff { id: t.job.clone(), done: String::new(), starts: Vec::new(), unresolved_set: Some(0) };
    // An attempt that the old job leader waited for was never stored, or is gone, so the new one does not wait for
    // it.
    o.accept_handoff(at(5.1), vec![job], &[vec![t.machine.clone(), "i-gone".into()]]);
    assert!(placed(&mut o, &t, &teams, 6.0).is_empty());
    let known = [(t.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)];
    hear(&mut o, &t, 2, &free, &known);
    assert_eq!(placed(&mut o, &t, &teams, 7.0), [0, 1]);
    assert_eq!(o.unconfirmed_machine_count(), 1, "the other machine is as dark as it was");
}

/// What a machine has reported since this controller leads the job stays valid in the following epochs.
#[test]
fn a_machine_that_has_spoken_is_not_waited_for_again_in_the_next_epoch() {
    let t = two();
    let (mut o, teams, free) = owner(&t, "batch", 2);
    hear(
        &mut o,
        &t,
        1,
        &free,
        &[(t.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)],
    );
    assert!(placed(&mut o, &t, &teams, 6.0).is_empty(), "one of two has spoken");
    let mut after = two();
    assert!(after.new.adopt_epoch(at(1100.0), &record(9, &[0, 1]), 3));
    o.adopt_epoch(&after.new, true);
    o.finish_loading([t.machine.clone(), "i-dark".to_owned()].into_iter());
    // Now the other machine reports, and the first one has yet to report to its new leader.
    let known = [(t.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Known)];
    hear(&mut o, &after, 1, &free, &known);
    assert_eq!(placed(&mut o, &after, &teams, 7.0), [0, 1]);
}

/// A gang is one attempt: its remaining tasks are stopped, and the next attempt waits until they are gone.
#[test]
fn a_handed_gang_that_is_not_whole_is_ended_before_it_is_tried_again() {
    let t = two();
    let dark = [(t.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut o, teams, free) = owner(&t, "group", 2);
    hear(&mut o, &t, 1, &free, &dark);
    let starts = vec![start(&t, 1, false)];
    let job = JobHandoff { id: t.job.clone(), done: String::new(), starts, unresolved_set: None };
    o.accept_handoff(at(5.1), vec![job], &[]);
    assert!(placed(&mut o, &t, &teams, 6.0).is_empty());
    let stops: Vec<DesiredAction> =
        (0..2).flat_map(|h| o.next_desired_state(h, &t.new).tasks).map(|w| w.action).collect();
    assert_eq!(stops, [DesiredAction::Stop(Micros(0))]);
    hear(
        &mut o,
        &t,
        2,
        &free,
        &[(t.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)],
    );
    o.run_scheduling_pass(at(7.0), at(7.0), &t.new, &teams);
    assert_eq!(placed(&mut o, &t, &teams, 8.0), [0, 1], "as a whole, at once: all of it is known");
}
