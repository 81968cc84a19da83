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

const CAPACITY: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };

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
struct Setup {
    before: Membership,
    next: Membership,
    new: Membership,
    machine: String,
    job: String,
}

fn new_setup() -> Setup {
    let (a, b) = (settings(0), settings(1));
    let mut before = Membership::new(&a, 1);
    before.adopt_epoch(at(10.0), &record(7, &[0]), 1);
    let mut next = before.clone();
    assert!(next.adopt_epoch(at(100.0), &record(8, &[0, 1]), 2), "it follows directly");
    let mut new = Membership::new(&b, 1);
    new.adopt_epoch(at(1001.0), &record(8, &[0, 1]), 2);
    let find_moved_name = |p: &str, new_job_leader: &dyn Fn(&str) -> Option<usize>| {
        (0..).map(|i| format!("{p}-{i:06}")).find(|n| new_job_leader(n) == Some(1)).expect("one of many")
    };
    let machine = find_moved_name("i", &|n| new.machine_leader(n));
    let job = find_moved_name("wk", &|n| new.job_leader(n));
    Setup { before, next, new, machine, job }
}

fn heartbeat(setup: &Setup, seq: u64, token: u64, tasks: &[(u64, &str)]) -> Heartbeat {
    let task = |&(attempt, state): &(u64, &str)| HeartbeatTask {
        task: format!("{}/0", setup.job),
        attempt,
        state: state.into(),
        cause: None,
        saved: None,
    };
    Heartbeat {
        machine: setup.machine.clone(),
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

fn desired_task(setup: &Setup, attempt: u64, action: DesiredAction) -> DesiredTask {
    DesiredTask {
        key: TaskKey { job: setup.job.clone(), index: 0, attempt },
        machine: setup.machine.clone(),
        resources: Resources { cpus: 3000, gpus: 0, memory: 0 },
        action,
        priority: 0,
        image: 0,
    }
}

fn full_state(rev: u64, list: Vec<DesiredTask>) -> DesiredState {
    DesiredState { revision: rev, base_revision: 0, tasks: list, removed: Vec::new() }
}

/// The old machine leader, which has just sent out a start command, and the new one.
fn new_machine_leaders(setup: &Setup) -> (MachineShard, MachineShard) {
    let mut old = MachineShard::new(&settings(0));
    old.adopt_epoch(at(10.0), &setup.before, false, |_| None);
    assert_eq!(
        old.apply_heartbeat(at(99.0), &setup.before, &heartbeat(setup, 1, 7, &[])),
        HeartbeatOutcome::Accepted
    );
    old.confirm_registered(&setup.machine);
    old.apply_desired_state(
        at(99.1),
        0,
        &full_state(1, vec![desired_task(setup, 5, DesiredAction::Run)]),
        &setup.before,
        |_| Some(CAPACITY),
    );
    assert_eq!(old.issue_commands(&setup.before, &setup.machine, |_| true).expect("known").commands.len(), 1);
    let mut new = MachineShard::new(&settings(1));
    new.adopt_epoch(at(1001.0), &setup.new, false, |_| None);
    (old, new)
}

fn read_status(leader: &MachineShard, now: Micros, setup: &Setup) -> MachineStatus {
    leader.status_delta(now, &setup.new, 1, 0, |_| Some(CAPACITY)).machines.remove(0)
}

#[test]
fn a_handed_off_machine_is_known_at_once_with_its_unconfirmed_attempt() {
    let setup = new_setup();
    let (old, mut new) = new_machine_leaders(&setup);
    let mut batches = old.pack_handoff(at(100.0), &setup.next);
    let machine = batches.remove(&1).expect("it moves").remove(0);
    assert!(new.apply_handoff(at(1005.0), &setup.new, machine.clone()));
    let status = read_status(&new, at(1005.0), &setup);
    assert_eq!(
        (status.inventory_state, status.free.cpus, status.tasks[0].phase),
        (InventoryState::Known, 1000, TaskPhase::InDoubt)
    );
    assert!(
        !new.apply_handoff(at(1005.1), &setup.new, machine.clone()),
        "a repeated hand-off changes nothing"
    );
    // The unconfirmed attempt keeps its resources, and its task is not started again.
    new.apply_desired_state(
        at(1005.2),
        1,
        &full_state(1, vec![desired_task(&setup, 6, DesiredAction::Run)]),
        &setup.new,
        |_| Some(CAPACITY),
    );
    assert!(new.issue_commands(&setup.new, &setup.machine, |_| true).expect("known").commands.is_empty());
    // The start command never arrived, as the next heartbeat shows.
    assert_eq!(
        new.apply_heartbeat(at(1006.0), &setup.new, &heartbeat(&setup, 2, 7, &[])),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(read_status(&new, at(1006.0), &setup).free.cpus, 4000);
    // A late copy of the hand-off batch restores nothing.
    new.apply_handoff(at(1007.0), &setup.new, machine);
    assert!(read_status(&new, at(1007.0), &setup).tasks.is_empty());
}

#[test]
fn a_heartbeat_before_the_hand_off_counts_only_if_newer_than_the_handed_off_state() {
    for (seq, cpus) in [(2, 4000), (1, 1000)] {
        let setup = new_setup();
        let (old, mut new) = new_machine_leaders(&setup);
        // This heartbeat has the old fencing token, so that it is no evidence by itself.
        new.apply_heartbeat(at(1004.0), &setup.new, &heartbeat(&setup, seq, 7, &[]));
        assert_eq!(read_status(&new, at(1004.0), &setup).inventory_state, InventoryState::Unconfirmed);
        let machine = old.pack_handoff(at(100.0), &setup.next).remove(&1).expect("it moves").remove(0);
        new.apply_handoff(at(1005.0), &setup.new, machine);
        let status = read_status(&new, at(1005.0), &setup);
        assert_eq!((status.inventory_state, status.free.cpus), (InventoryState::Known, cpus), "report {seq}");
    }
}

#[test]
fn desired_state_received_before_the_hand_off_is_not_lost() {
    let setup = new_setup();
    let (old, mut new) = new_machine_leaders(&setup);
    new.apply_heartbeat(at(1004.0), &setup.new, &heartbeat(&setup, 2, 7, &[(5, "running")]));
    let stop = desired_task(&setup, 5, DesiredAction::Stop(Micros(0)));
    new.apply_desired_state(at(1004.5), 1, &full_state(1, vec![stop]), &setup.new, |_| Some(CAPACITY));
    let machine = old.pack_handoff(at(100.0), &setup.next).remove(&1).expect("it moves").remove(0);
    new.apply_handoff(at(1005.0), &setup.new, machine);
    let commands = new.issue_commands(&setup.new, &setup.machine, |_| true).expect("known").commands;
    assert_eq!(commands.iter().map(|c| c.verb()).collect::<Vec<_>>(), ["kill"]);
}

/// The loss of a machine that was unreachable before the epoch is counted from then. A machine whose loss is not yet
/// certain is not reported as lost.
#[test]
fn lease_of_an_unconfirmed_machine_continues_after_a_change_of_leader() {
    let setup = new_setup();
    let machine_record = hazelsaddle::machine_shard::MachineRecord {
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        addr: String::new(),
    };
    for (packed, known_at) in [(30.0, 10.0), (12.0, f64::NAN)] {
        let mut old = MachineShard::new(&settings(0));
        old.adopt_epoch(at(10.0), &setup.before, false, |_| None);
        old.load_record(at(10.0), &setup.machine, machine_record.clone());
        let batches = old.pack_handoff(at(packed), &setup.next);
        let mut new = MachineShard::new(&settings(1));
        new.adopt_epoch(at(1001.0), &setup.new, false, |_| None);
        new.load_record(at(1001.0), &setup.machine, machine_record.clone());
        if known_at.is_nan() {
            assert!(batches.is_empty(), "other controllers may still answer it");
        } else {
            let machine = batches[&1][0].clone();
            assert!(!machine.inventory_known);
            new.apply_handoff(at(1001.5), &setup.new, machine);
        }
        // The last right of the epoch before ends at 16 s; a worker's lease and its margin follow. On the old machine
        // leader's clock that is at 35 s, so 5 s after packing. On the new leader's own clock it is a member lease, a
        // worker lease and the margin after 1 s.
        let mut resolved_at_s = 1002.0;
        while read_status(&new, at(resolved_at_s), &setup).inventory_state == InventoryState::Unconfirmed {
            resolved_at_s += 0.25;
            new.expire_leases(at(resolved_at_s), &setup.new);
            assert!(resolved_at_s < 1060.0);
        }
        let bound = if known_at.is_nan() { 1025.0..1027.0 } else { 1006.0..1008.0 };
        assert!(bound.contains(&resolved_at_s), "packed at {packed}: {resolved_at_s}");
    }
}

/// The same for a machine whose leader stays: its lease does not begin anew with the epoch.
#[test]
fn lease_of_a_machine_whose_leader_stays_continues() {
    let setup = new_setup();
    let retained_machine = (0..)
        .map(|i| format!("i-{i:06}"))
        .find(|n| setup.next.machine_leader(n) == Some(0))
        .expect("one of many");
    let machine_record = hazelsaddle::machine_shard::MachineRecord {
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        addr: String::new(),
    };
    let mut leader = MachineShard::new(&settings(0));
    leader.adopt_epoch(at(10.0), &setup.before, false, |_| None);
    leader.load_record(at(10.0), &retained_machine, machine_record);
    // A member lease after 10 s no other controller can answer the machine; with a worker lease and its margin that
    // is 35 s.
    leader.adopt_epoch(at(30.0), &setup.next, true, |_| None);
    let known = |leader: &mut MachineShard, s: f64| {
        leader.expire_leases(at(s), &setup.next);
        leader.status_delta(at(s), &setup.next, 0, 0, |_| Some(CAPACITY)).machines[0].inventory_state
            == InventoryState::Known
    };
    assert!(!known(&mut leader, 34.0));
    assert!(known(&mut leader, 36.0));
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
fn new_job_leader(setup: &Setup, kind: &str, tasks: u32) -> (JobShard, QuotaLedger, MachineStatus) {
    let settings_c1 = settings(1);
    let mut leader = JobShard::new(&settings_c1);
    leader.adopt_epoch(&setup.new, false);
    let raw = raw(&setup.job, kind, tasks);
    leader.insert_job(
        raw.clone(),
        JobSpec::from_value(&raw).expect("valid"),
        Micros(1),
        TaskIndexSet::default(),
        1,
        false,
    );
    leader.finish_loading([setup.machine.clone(), "i-dark".to_owned()].into_iter());
    leader.apply_autoscaler_reservations(Vec::new(), Vec::new());
    let capacity = Resources { cpus: 80_000, gpus: 0, memory: 90_000 };
    let status = MachineStatus {
        name: "i-free".into(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: true,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: capacity,
        total: capacity,
        used_by_priority: Vec::new(),
        images: Vec::new(),
        task_count: 0,
        idle_time: None,
        silent_time: None,
        tasks: Vec::new(),
    };
    (leader, QuotaLedger::new(&settings_c1.teams), status)
}

/// Status messages of both machine leaders. Machines named beside the free one are known to have no free resources.
fn receive_statuses(
    leader: &mut JobShard,
    setup: &Setup,
    seq: u64,
    free: &MachineStatus,
    others: &[(&str, InventoryState)],
) {
    for from in 0..2 {
        // The machine leader has seen the latest desired state, if one was sent.
        let revision_seen = if seq == 1 { 0 } else { leader.next_desired_state(from, &setup.new).revision };
        let no_resources = Resources::default();
        let other = |&(name, inventory_state): &(&str, InventoryState)| MachineStatus {
            name: name.into(),
            inventory_state,
            free: no_resources,
            is_schedulable: false,
            ..free.clone()
        };
        let all = others.iter().map(other).chain([free.clone()]);
        let machines =
            all.filter(|status_delta| setup.new.machine_leader(&status_delta.name) == Some(from)).collect();
        let status_delta = MachineStatusDelta {
            sequence: (setup.new.epoch << 32) + seq,
            base_sequence: 0,
            revision_seen,
            machines,
        };
        leader.apply_machine_status(at(5.0), &setup.new, from, status_delta);
    }
}

fn place_tasks(leader: &mut JobShard, setup: &Setup, quota: &QuotaLedger, now: f64) -> Vec<u32> {
    leader.run_scheduling_pass(at(now), at(now), &setup.new, quota);
    let mut desired_tasks: Vec<DesiredTask> =
        (0..2).flat_map(|h| leader.next_desired_state(h, &setup.new).tasks).collect();
    desired_tasks.retain(|w| w.action == DesiredAction::Run || w.action == DesiredAction::Hold);
    let mut indices: Vec<u32> = desired_tasks.iter().map(|w| w.key.index).collect();
    indices.sort_unstable();
    indices.dedup();
    indices
}

fn start_handoff(setup: &Setup, index: u32, stopping: bool) -> StartHandoff {
    StartHandoff {
        index,
        attempt: 77,
        machine: setup.machine.clone(),
        zone: "z".into(),
        stopping,
        phase: Some(TaskPhase::Running),
    }
}

#[test]
fn a_handed_off_job_starts_absent_tasks_at_once_and_waits_for_the_others() {
    let setup = new_setup();
    let unconfirmed =
        [(setup.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut leader, quota, free) = new_job_leader(&setup, "batch", 4);
    receive_statuses(&mut leader, &setup, 1, &free, &unconfirmed);
    assert_eq!(
        place_tasks(&mut leader, &setup, &quota, 5.0),
        Vec::<u32>::new(),
        "any of them may be on two machines"
    );
    let starts = vec![start_handoff(&setup, 1, false), start_handoff(&setup, 2, true)];
    let job = |unresolved_set| JobHandoff {
        id: setup.job.clone(),
        done: "3".into(),
        starts: starts.clone(),
        unresolved_set,
    };
    assert_eq!(
        leader.accept_handoff(at(5.1), vec![job(Some(9))], &[]),
        0,
        "a set that is not there is no evidence"
    );
    assert_eq!(leader.accept_handoff(at(5.1), vec![job(None)], &[]), 1);
    assert_eq!(
        place_tasks(&mut leader, &setup, &quota, 6.0),
        [0],
        "one is there, one being stopped, one completed"
    );
    assert_eq!(
        leader.accept_handoff(at(6.1), vec![job(None)], &[]),
        0,
        "a repeated hand-off changes nothing"
    );
    // Their machine reports and has neither.
    let known = [(setup.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)];
    receive_statuses(&mut leader, &setup, 2, &free, &known);
    receive_statuses(&mut leader, &setup, 3, &free, &known);
    assert_eq!(
        place_tasks(&mut leader, &setup, &quota, 9.0).len(),
        3,
        "0 as before, and both that were lost"
    );
}

#[test]
fn a_job_handed_off_with_unresolved_machines_waits_only_for_these() {
    let setup = new_setup();
    let unconfirmed =
        [(setup.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut leader, quota, free) = new_job_leader(&setup, "batch", 2);
    receive_statuses(&mut leader, &setup, 1, &free, &unconfirmed);
    let job = JobHandoff {
        id: setup.job.clone(),
        done: String::new(),
        starts: Vec::new(),
        unresolved_set: Some(0),
    };
    // An attempt that the old job leader waited for was never stored, or is gone, so the new one does not wait for
    // it.
    leader.accept_handoff(at(5.1), vec![job], &[vec![setup.machine.clone(), "i-gone".into()]]);
    assert!(place_tasks(&mut leader, &setup, &quota, 6.0).is_empty());
    let known = [(setup.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)];
    receive_statuses(&mut leader, &setup, 2, &free, &known);
    assert_eq!(place_tasks(&mut leader, &setup, &quota, 7.0), [0, 1]);
    assert_eq!(leader.unconfirmed_machine_count(), 1, "the other machine is still unconfirmed");
}

/// What a machine has reported since this controller leads the job stays valid in the following epochs.
#[test]
fn a_machine_that_has_reported_is_not_waited_for_in_the_next_epoch() {
    let setup = new_setup();
    let (mut leader, quota, free) = new_job_leader(&setup, "batch", 2);
    receive_statuses(
        &mut leader,
        &setup,
        1,
        &free,
        &[(setup.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)],
    );
    assert!(place_tasks(&mut leader, &setup, &quota, 6.0).is_empty(), "one of two has reported");
    let mut next_setup = new_setup();
    assert!(next_setup.new.adopt_epoch(at(1100.0), &record(9, &[0, 1]), 3));
    leader.adopt_epoch(&next_setup.new, true);
    leader.finish_loading([setup.machine.clone(), "i-dark".to_owned()].into_iter());
    // Now the other machine reports, and the first one has yet to report to its new leader.
    let known = [(setup.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Known)];
    receive_statuses(&mut leader, &next_setup, 1, &free, &known);
    assert_eq!(place_tasks(&mut leader, &next_setup, &quota, 7.0), [0, 1]);
}

/// A gang is one attempt: its remaining tasks are stopped, and the next attempt waits until they are gone.
#[test]
fn an_incomplete_handed_off_gang_is_stopped_before_its_next_attempt() {
    let setup = new_setup();
    let unconfirmed =
        [(setup.machine.as_str(), InventoryState::Unconfirmed), ("i-dark", InventoryState::Unconfirmed)];
    let (mut leader, quota, free) = new_job_leader(&setup, "group", 2);
    receive_statuses(&mut leader, &setup, 1, &free, &unconfirmed);
    let starts = vec![start_handoff(&setup, 1, false)];
    let job = JobHandoff { id: setup.job.clone(), done: String::new(), starts, unresolved_set: None };
    leader.accept_handoff(at(5.1), vec![job], &[]);
    assert!(place_tasks(&mut leader, &setup, &quota, 6.0).is_empty());
    let actions: Vec<DesiredAction> =
        (0..2).flat_map(|h| leader.next_desired_state(h, &setup.new).tasks).map(|w| w.action).collect();
    assert_eq!(actions, [DesiredAction::Stop(Micros(0))]);
    receive_statuses(
        &mut leader,
        &setup,
        2,
        &free,
        &[(setup.machine.as_str(), InventoryState::Known), ("i-dark", InventoryState::Unconfirmed)],
    );
    leader.run_scheduling_pass(at(7.0), at(7.0), &setup.new, &quota);
    assert_eq!(
        place_tasks(&mut leader, &setup, &quota, 8.0),
        [0, 1],
        "the whole gang at once, since all its tasks are known"
    );
}
