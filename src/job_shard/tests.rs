use super::*;
use crate::membership::EpochRecord;
use crate::peer::{
    DesiredAction, DesiredState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit, TaskKey,
};
use crate::quota::QuotaLedger;
use crate::spec::JobSpec;
use crate::units::TaskIndexSet;
use serde_json::{Value, json};

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

pub(super) fn raw(kind: &str, tasks: u32, checkpoint: f64) -> Value {
    json!({"uid":"wk-1","breed":"b","herd":"t","gait":kind,"rank":"high","strides":tasks,"vcpus":2.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":true,
        "rideS":1,"restS":checkpoint,"unsaddleS":5.0})
}

pub(super) fn whole_status(
    membership: &Membership,
    seq: u64,
    rev_seen: u64,
    machines: Vec<MachineStatus>,
) -> MachineStatusDelta {
    MachineStatusDelta {
        sequence: (membership.epoch << 32) + seq,
        base_sequence: 0,
        revision_seen: rev_seen,
        machines,
    }
}

/// A shard with one job, and a machine with free resources as reported by its leader.
pub(super) fn shard_with_job(raw: Value) -> (Membership, QuotaLedger, JobShard, MachineStatus) {
    let settings = settings();
    let mut membership = Membership::new(&settings, 1);
    membership.adopt_epoch(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
    let quota = QuotaLedger::new(&settings.teams);
    let mut shard = JobShard::new(&settings);
    shard.adopt_epoch(&membership, false);
    shard.finish_loading(std::iter::empty());
    shard.apply_autoscaler_reservations(Vec::new(), Vec::new());
    let spec = JobSpec::from_value(&raw).expect("valid");
    shard.insert_job(raw, spec, Micros(1), TaskIndexSet::default(), 1, true);
    let resources = Resources { cpus: 8000, gpus: 0, memory: 9000 };
    let machine = MachineStatus {
        name: "i-1".into(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: true,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: resources,
        total: resources,
        used_by_priority: Vec::new(),
        images: Vec::new(),
        task_count: 0,
        idle_time: None,
        silent_time: None,
        tasks: Vec::new(),
    };
    (membership, quota, shard, machine)
}

#[test]
fn tasks_with_checkpoints_are_stopped_gracefully_before_machine_termination() {
    for (checkpoint, stops) in [(10.0, true), (0.0, false)] {
        let (membership, quota, mut shard, mut machine) = shard_with_job(raw("batch", 1, checkpoint));
        let now = Micros::from_millis(1000);
        shard.apply_machine_status(
            now,
            &membership,
            0,
            whole_status(&membership, 1, 0, vec![machine.clone()]),
        );
        shard.run_scheduling_pass(now, now, &membership, &quota);
        let DesiredState { revision, tasks: wanted, .. } = shard.next_desired_state(0, &membership);
        assert_eq!(wanted[0].action, DesiredAction::Run);
        machine.tasks = vec![ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Running }];
        machine.time_to_termination = Some(Micros::from_millis(9000));
        shard.apply_machine_status(
            now,
            &membership,
            0,
            whole_status(&membership, 2, revision, vec![machine]),
        );
        shard.preempt_tasks(now, &membership);
        // An unchanged task is not sent again.
        let expected = stops.then_some(DesiredAction::Stop(Micros::from_millis(5000)));
        assert_eq!(shard.next_desired_state(0, &membership).tasks.first().map(|w| w.action), expected);
    }
}

/// Guards against messages to a machine leader that grow with all tasks on its machines instead of with the
/// changes.
#[test]
fn desired_state_contains_only_changes() {
    let (membership, quota, mut shard, machine) = shard_with_job(raw("batch", 400, 0.0));
    let now = Micros::from_millis(1000);
    let fleet: Vec<MachineStatus> =
        (0..100).map(|i| MachineStatus { name: format!("i-{i}"), ..machine.clone() }).collect();
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 1, 0, fleet.clone()));
    shard.run_scheduling_pass(now, now, &membership, &quota);
    let first = shard.next_desired_state(0, &membership);
    assert_eq!(first.tasks.len(), 400);
    // Not acknowledged yet, so it is sent again.
    assert_eq!(shard.next_desired_state(0, &membership).tasks.len(), 400);
    let seen = MachineStatusDelta {
        sequence: (membership.epoch << 32) + 2,
        base_sequence: 0,
        revision_seen: first.revision + 1,
        machines: Vec::new(),
    };
    let on = |machine: &MachineStatus| {
        let here = first.tasks.iter().filter(|w| w.machine == machine.name);
        MachineStatus { tasks: here.map(|w| running(&w.key)).collect(), ..machine.clone() }
    };
    shard.apply_machine_status(
        now,
        &membership,
        0,
        MachineStatusDelta { machines: fleet.iter().map(on).collect(), ..seen.clone() },
    );
    assert!(shard.next_desired_state(0, &membership).tasks.is_empty());
    let mut one = on(&fleet[7]);
    one.tasks[0].phase = TaskPhase::Exited(TaskExit::Stopped(false));
    let change = MachineStatusDelta {
        sequence: seen.sequence + 1,
        base_sequence: seen.sequence,
        machines: vec![one],
        ..seen
    };
    assert!(shard.apply_machine_status(now, &membership, 0, change));
    assert_eq!(shard.next_desired_state(0, &membership).tasks.len(), 1);
}

/// Guards against first-come, first-served order, which makes most jobs late in a surge that exceeds any
/// fleet.
#[test]
fn jobs_that_can_meet_objectives_go_first_and_short_before_long() {
    let (membership, quota, mut shard, _) = shard_with_job(raw("batch", 50, 0.0));
    shard.objectives = vec![Objective { kind: "finished".into(), class: "b".into(), within_s: 40.0 }];
    let mut add = |id: &str, tasks: u32, accepted_s: u64| {
        let mut raw_spec = raw("batch", tasks, 0.0);
        raw_spec["uid"] = json!(id);
        let spec = JobSpec::from_value(&raw_spec).expect("valid");
        shard.insert_job(
            raw_spec,
            spec,
            Micros::from_millis(accepted_s * 1000),
            TaskIndexSet::default(),
            1,
            true,
        );
    };
    add("wk-2", 9, 90);
    add("wk-3", 2, 58);
    let now = Micros::from_millis(100_000);
    // The first job was accepted just after wall-clock time 0.
    shard.jobs.get_mut("wk-1").expect("live").accepted_wall = Micros::from_millis(80_000);
    shard.run_scheduling_pass(now, now, &membership, &quota);
    assert_eq!(shard.queue_order(), ["wk-2", "wk-1", "wk-3"], "the third can no longer meet its objective");
    shard.jobs.get_mut("wk-1").expect("live").spec.task_count = 9;
    assert_eq!(shard.queue_order(), ["wk-1", "wk-2", "wk-3"], "by age while the backlog is small");
    // Late jobs go last, but a job that has waited 45 s to begin is not overtaken forever.
    shard.advance_wall_clock(Micros::from_millis(104_000));
    assert_eq!(shard.queue_order(), ["wk-3", "wk-1", "wk-2"]);
}

/// Guards against merging the shapes of a gang of 24 small tasks and of a gang of four tasks on GPUs into one
/// of 24 tasks on GPUs: all GPU machines would be reserved for it while other work waits for them.
#[test]
fn shapes_of_unlike_gangs_are_not_merged() {
    let (.., mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    let mut note = |tasks: u32, cpus: f64, gpus: f64| {
        let mut raw_spec = raw("group", tasks, 0.0);
        (raw_spec["vcpus"], raw_spec["cards"]) = (json!(cpus), json!(gpus));
        shard.remember_shape(Micros(1), &JobSpec::from_value(&raw_spec).expect("valid"), Micros(0));
        shard.demands().iter().map(|d| (d.gang_size, d.resources_per_task.cpus / 1000)).collect::<Vec<_>>()
    };
    note(24, 15.0, 0.0);
    note(4, 96.0, 8.0);
    assert_eq!(note(12, 16.0, 0.0), [(24, 16), (4, 96)], "similar shapes are merged");
}

#[test]
fn estimates_are_corrected_by_run_times() {
    let spec = JobSpec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":"batch","rank":"idle",
        "strides":1,"vcpus":1.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,
        "borrowed":true,"rideS":40.0,"restS":0,"unsaddleS":0}))
    .expect("valid");
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.likely(&spec), spec.estimated_run_time);
    for _ in 0..3 {
        run_times.record(&spec, Micros::from_millis(20_000));
    }
    assert!(
        run_times.likely(&spec) > Micros::from_millis(35_000),
        "a few run times change the estimate little"
    );
    for _ in 0..500 {
        run_times.record(&spec, Micros::from_millis(20_000));
    }
    assert!(run_times.likely(&spec) < Micros::from_millis(21_000));
}

pub(super) fn running(key: &TaskKey) -> ObservedTask {
    ObservedTask { key: key.clone(), phase: TaskPhase::Running }
}

#[test]
fn a_cancelled_job_starts_no_tasks() {
    let (membership, quota, mut shard, machine) = shard_with_job(raw("batch", 3, 0.0));
    let now = Micros::from_millis(1000);
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 1, 0, vec![machine]));
    assert!(shard.cancel("wk-1"));
    shard.run_scheduling_pass(now, now, &membership, &quota);
    assert!(shard.next_desired_state(0, &membership).tasks.is_empty());
}

#[test]
fn a_task_waits_until_its_old_attempt_is_gone() {
    let (membership, quota, mut shard, mut machine) = shard_with_job(raw("batch", 1, 0.0));
    let now = Micros::from_millis(1000);
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 1, 0, vec![machine.clone()]));
    shard.run_scheduling_pass(now, now, &membership, &quota);
    let DesiredState { revision, tasks: wanted, .. } = shard.next_desired_state(0, &membership);
    let old = TaskKey { attempt: 5, ..wanted[0].key.clone() };
    machine.tasks = vec![running(&old), running(&wanted[0].key)];
    shard.apply_machine_status(
        now,
        &membership,
        0,
        whole_status(&membership, 2, revision, vec![machine.clone()]),
    );
    machine.tasks = vec![running(&old)];
    let other = MachineStatus { name: "i-2".into(), tasks: Vec::new(), ..machine.clone() };
    shard.apply_machine_status(
        now,
        &membership,
        0,
        whole_status(&membership, 3, revision, vec![machine, other]),
    );
    let later = Micros::from_millis(9000);
    shard.run_scheduling_pass(later, later, &membership, &quota);
    let wanted = shard.next_desired_state(0, &membership).tasks;
    assert_eq!(wanted.len(), 1);
    assert_eq!((&wanted[0].key, wanted[0].action), (&old, DesiredAction::Stop(Micros(0))));
    // The old attempt counts towards its team's quota until it is gone.
    assert_eq!(shard.resources_in_use("wk-1", &shard.jobs["wk-1"]).cpus, 2000);
}

#[test]
fn a_completed_task_is_forgotten_only_once_its_completion_is_stored() {
    let (membership, quota, mut shard, mut machine) = shard_with_job(raw("batch", 2, 0.0));
    let now = Micros::from_millis(1000);
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 1, 0, vec![machine.clone()]));
    shard.run_scheduling_pass(now, now, &membership, &quota);
    let DesiredState { revision, tasks: wanted, .. } = shard.next_desired_state(0, &membership);
    let done = ObservedTask { key: wanted[0].key.clone(), phase: TaskPhase::Exited(TaskExit::Done) };
    machine.tasks = vec![done, running(&wanted[1].key)];
    let want_of = |shard: &mut JobShard| {
        let list = shard.next_desired_state(0, &membership).tasks;
        list.iter().find(|w| w.key.index == 0).map(|w| w.action)
    };
    for seq in 2..5 {
        shard.apply_machine_status(
            now,
            &membership,
            0,
            whole_status(&membership, seq, revision, vec![machine.clone()]),
        );
        assert_eq!(want_of(&mut shard), Some(DesiredAction::Keep));
    }
    let (id, write, _) = shard.next_write(now, false).expect("progress is due");
    let RecordWrite::Progress(_, recorded) = write else { panic!("expected a progress write") };
    shard.confirm_progress(now, &id, recorded, 9);
    assert_eq!(want_of(&mut shard), Some(DesiredAction::Forget));
}

#[test]
fn assignments_survive_a_new_epoch_until_the_machine_leader_has_seen_them() {
    let (mut membership, quota, mut shard, machine) = shard_with_job(raw("batch", 1, 0.0));
    let now = Micros::from_millis(1000);
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 1, 0, vec![machine.clone()]));
    shard.run_scheduling_pass(now, now, &membership, &quota);
    shard.next_desired_state(0, &membership);
    membership.adopt_epoch(now, &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
    shard.adopt_epoch(&membership, true);
    shard.finish_loading(std::iter::empty());
    // The machine leader has not yet received the desired state of this epoch; the revision that it has seen
    // is of the previous one.
    shard.apply_machine_status(
        now,
        &membership,
        0,
        whole_status(&membership, 1, u64::MAX - 1, vec![machine.clone()]),
    );
    assert_eq!(shard.task_counts().1, 1);
    let revision = shard.next_desired_state(0, &membership).revision;
    shard.apply_machine_status(now, &membership, 0, whole_status(&membership, 2, revision, vec![machine]));
    assert_eq!(shard.task_counts().1, 0, "the leader has now seen the desired state, so the task is gone");
}

/// Guards against taking an unplaced gang for one that is being accepted: it would request machines only
/// every few seconds and lose its reserved machines in between.
#[test]
fn an_unplaced_gang_requests_resources_in_every_pass() {
    let (membership, quota, mut shard, _) = shard_with_job(raw("group", 2, 0.0));
    for i in 0..20 {
        let now = Micros::from_millis(1000 + i * 100);
        shard.run_scheduling_pass(now, now, &membership, &quota);
        let waiting: u32 = shard.demands().iter().map(|d| d.count).sum();
        assert_eq!(waiting, 2, "in pass {i}");
    }
}

/// Guards against a task that counts as ended while it runs again: a worker that has forgotten it carries out a repeated start
/// command once more. Meanwhile it is not started on another machine.
#[test]
fn ended_attempt_that_runs_again_is_stopped_and_blocks_its_task() {
    let (membership, quota, mut shard, mut machine) = shard_with_job(raw("batch", 1, 0.0));
    let mut sequence = 0;
    let mut report = |shard: &mut JobShard, machine: &MachineStatus, revision: u64| {
        sequence += 1;
        let status = whole_status(&membership, sequence, revision, vec![machine.clone()]);
        shard.apply_machine_status(Micros::from_millis(1000), &membership, 0, status);
    };
    report(&mut shard, &machine, 0);
    shard.run_scheduling_pass(Micros::from_millis(1000), Micros(1), &membership, &quota);
    let start = shard.next_desired_state(0, &membership);
    let key = start.tasks[0].key.clone();
    machine.tasks = vec![ObservedTask { key: key.clone(), phase: TaskPhase::Exited(TaskExit::Error) }];
    report(&mut shard, &machine, start.revision);
    let forget = shard.next_desired_state(0, &membership);
    assert_eq!(forget.tasks[0].action, DesiredAction::Forget);
    machine.tasks[0].phase = TaskPhase::Running;
    machine.inventory_state = InventoryState::Unconfirmed;
    report(&mut shard, &machine, forget.revision);
    assert_eq!(shard.next_desired_state(0, &membership).tasks, [], "the list may be older than the end");
    machine.inventory_state = InventoryState::Known;
    report(&mut shard, &machine, forget.revision);
    let stop = shard.next_desired_state(0, &membership);
    assert_eq!(
        stop.tasks.iter().map(|task| (&task.key, task.action)).collect::<Vec<_>>(),
        [(&key, DesiredAction::Stop(Micros(0)))]
    );
    shard.run_scheduling_pass(Micros::from_millis(60_000), Micros(1), &membership, &quota);
    assert_eq!(shard.next_desired_state(0, &membership).tasks, stop.tasks, "no other attempt is started");
    machine.tasks.clear();
    report(&mut shard, &machine, stop.revision + 1);
    shard.run_scheduling_pass(Micros::from_millis(61_000), Micros(1), &membership, &quota);
    let again = shard.next_desired_state(0, &membership);
    assert_eq!(again.tasks[0].action, DesiredAction::Run);
    assert_ne!(again.tasks[0].key, key);
}
