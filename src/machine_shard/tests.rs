//! Tests of the machine shard without a controller.

use super::*;
use crate::membership::EpochRecord;

pub(super) const CAPACITY: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };

pub(super) fn setup() -> (Membership, MachineShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let settings = Settings::parse("test", text).expect("valid");
    let mut membership = Membership::new(&settings, 1);
    membership.adopt_epoch(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
    (membership, MachineShard::new(&settings))
}
pub(super) fn heartbeat(sequence: u64, token: u64, tasks: &[(&str, u64, &str)]) -> Heartbeat {
    let tasks = tasks
        .iter()
        .map(|(task, attempt, state)| HeartbeatTask {
            task: (*task).into(),
            attempt: *attempt,
            state: (*state).into(),
            cause: None,
            saved: None,
        })
        .collect();
    Heartbeat {
        machine: "i-1".into(),
        addr: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence,
        token,
        time_to_termination_s: None,
        tasks,
    }
}
pub(super) fn desired_start(attempt: u64, cpus: i64) -> DesiredTask {
    DesiredTask {
        key: TaskKey { job: "wk-1".into(), index: 0, attempt },
        machine: "i-1".into(),
        resources: Resources { cpus, gpus: 0, memory: 0 },
        action: DesiredAction::Run,
        priority: 0,
        image: 0,
    }
}
pub(super) fn full_state(revision: u64, list: Vec<DesiredTask>) -> DesiredState {
    DesiredState { revision, base_revision: 0, tasks: list, removed: Vec::new() }
}
pub(super) fn issue_starts(shard: &mut MachineShard, membership: &Membership) -> usize {
    let response = shard.issue_commands(membership, "i-1", |_| true).expect("known");
    response.commands.iter().filter(|command| command.verb() == "run").count()
}
pub(super) fn shard_with_registered_machine() -> (Membership, MachineShard) {
    let (membership, mut shard) = setup();
    assert_eq!(
        shard.apply_heartbeat(Micros(10), &membership, &heartbeat(1, 7, &[])),
        HeartbeatOutcome::Accepted
    );
    shard.confirm_registered("i-1");
    (membership, shard)
}

#[test]
fn no_start_is_issued_before_a_heartbeat_carries_the_current_token() {
    let (membership, mut shard) = setup();
    shard.apply_heartbeat(Micros(10), &membership, &heartbeat(1, 6, &[]));
    shard.confirm_registered("i-1");
    shard.apply_desired_state(
        Micros(11),
        0,
        &full_state(1, vec![desired_start(1, 1000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(
        issue_starts(&mut shard, &membership),
        0,
        "the response to an older token may still be executed"
    );
    shard.apply_heartbeat(Micros(20), &membership, &heartbeat(2, 7, &[]));
    // The same start must not be issued now: the status has shown the job leader that the machine does not have it, and
    // the job leader may have placed the task on another machine.
    shard.apply_desired_state(
        Micros(21),
        0,
        &full_state(2, vec![desired_start(1, 1000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 0);
    shard.apply_desired_state(
        Micros(22),
        0,
        &full_state(3, vec![desired_start(2, 1000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 1);
    assert_eq!(
        shard.apply_heartbeat(Micros(30), &membership, &heartbeat(3, 8, &[])),
        HeartbeatOutcome::Fenced
    );
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let (membership, mut shard) = shard_with_registered_machine();
    shard.apply_heartbeat(Micros(20), &membership, &heartbeat(5, 7, &[("wk-1/0", 1, "running")]));
    assert_eq!(
        shard.apply_heartbeat(Micros(30), &membership, &heartbeat(4, 7, &[])),
        HeartbeatOutcome::Stale
    );
    assert_eq!(
        shard.status_delta(Micros(31), &membership, 0, 0, |_| Some(CAPACITY)).machines[0].tasks.len(),
        1
    );
}

#[test]
fn a_start_is_accepted_or_refused_once() {
    let (membership, mut shard) = shard_with_registered_machine();
    shard.apply_desired_state(
        Micros(11),
        0,
        &full_state(1, vec![desired_start(1, 4000), desired_start(2, 4000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 1);
    // The accepted start never arrived, and the refused one would fit now. The job leader may have placed either task
    // on another machine since, so neither is sent again until the job leader requests a new attempt.
    shard.apply_heartbeat(Micros(20), &membership, &heartbeat(2, 7, &[]));
    assert!(
        shard.status_delta(Micros(21), &membership, 0, 0, |_| Some(CAPACITY)).machines[0].tasks.is_empty()
    );
    shard.apply_desired_state(
        Micros(22),
        0,
        &full_state(2, vec![desired_start(1, 4000), desired_start(2, 4000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 0);
    shard.apply_desired_state(
        Micros(23),
        0,
        &full_state(3, vec![desired_start(3, 4000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 1);
}

/// Guards against a task that runs on because its job leader has seen it end and the worker was asked to forget it: a repeated
/// start command starts it once more then.
#[test]
fn a_task_to_forget_that_runs_again_is_killed_at_once() {
    let (membership, mut shard) = shard_with_registered_machine();
    let forget = DesiredTask { action: DesiredAction::Forget, ..desired_start(1, 1000) };
    let mut verbs_after = |sequence: u64, state: &str| {
        shard.apply_heartbeat(Micros(10), &membership, &heartbeat(sequence, 7, &[("wk-1/0", 1, state)]));
        let revision = sequence;
        shard.apply_desired_state(
            Micros(11),
            0,
            &full_state(revision, vec![forget.clone()]),
            &membership,
            |_| Some(CAPACITY),
        );
        assert!(!shard.can_hold_response(Micros(12), "i-1", |_| Some(CAPACITY), |_| true));
        assert!(shard.can_renew_lease(Micros(12), "i-1"), "the response carries the command");
        let response = shard.issue_commands(&membership, "i-1", |_| true).expect("known");
        response.commands.iter().map(|command| command.verb().to_owned()).collect::<Vec<_>>()
    };
    assert_eq!(verbs_after(2, "ended"), ["forget"]);
    for (sequence, state) in [(3, "pulling"), (4, "running"), (5, "flushing"), (6, "waiting")] {
        assert_eq!(verbs_after(sequence, state), ["kill"], "{state}");
    }
    assert_eq!(verbs_after(7, "ended"), ["forget"]);
}

/// Guards against a cancelled job's task that runs on for longer than `cancel_s` after its machine's leader has
/// changed. The message to stop it may arrive before the machine's first heartbeat, and is sent only once.
#[test]
fn desired_state_that_precedes_the_first_heartbeat_is_not_lost() {
    for is_registered in [false, true] {
        let (membership, mut shard) = setup();
        if is_registered {
            let record =
                MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
            shard.load_record(Micros(9), "i-1", record);
        }
        let stop = DesiredTask { action: DesiredAction::Stop(Micros(0)), ..desired_start(1, 3000) };
        let keep = DesiredTask {
            action: DesiredAction::Keep,
            key: TaskKey { job: "wk-1".into(), index: 1, attempt: 1 },
            ..desired_start(1, 500)
        };
        shard.apply_desired_state(Micros(10), 0, &full_state(1, vec![stop, keep]), &membership, |_| {
            Some(CAPACITY)
        });
        let running = [("wk-1/0", 1, "running"), ("wk-1/1", 1, "running")];
        shard.apply_heartbeat(Micros(20), &membership, &heartbeat(1, 6, &running));
        let response = shard.issue_commands(&membership, "i-1", |_| true).expect("known");
        let commands: Vec<_> =
            response.commands.iter().map(|command| (command.verb(), command.task_name())).collect();
        assert_eq!(commands, [("kill", "wk-1/0".to_owned())]);
        shard.apply_heartbeat(Micros(30), &membership, &heartbeat(2, 7, &running));
        let status = shard.status_delta(Micros(31), &membership, 0, 0, |_| Some(CAPACITY)).machines.remove(0);
        assert!(
            status.is_schedulable && status.free.cpus == 500,
            "the resources of the tasks are known too: {status:?}"
        );
    }
}

#[test]
fn a_start_in_doubt_holds_its_resources_until_a_newer_heartbeat() {
    let (membership, mut shard) = shard_with_registered_machine();
    shard.apply_desired_state(
        Micros(11),
        0,
        &full_state(1, vec![desired_start(1, 3000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 1);
    // The job leader no longer requests the start: one that was sent cannot be withdrawn by no longer listing it.
    shard.apply_desired_state(Micros(12), 0, &full_state(2, vec![]), &membership, |_| Some(CAPACITY));
    let status = shard.status_delta(Micros(13), &membership, 0, 0, |_| Some(CAPACITY)).machines.remove(0);
    assert_eq!((status.free.cpus, status.tasks[0].phase), (1000, TaskPhase::InDoubt));
    shard.apply_heartbeat(Micros(20), &membership, &heartbeat(2, 7, &[("wk-1/0", 1, "pulling")]));
    let status = shard.status_delta(Micros(21), &membership, 0, 0, |_| Some(CAPACITY)).machines.remove(0);
    assert_eq!((status.free.cpus, status.tasks[0].phase), (1000, TaskPhase::Fetching));
}

#[test]
fn no_start_is_issued_to_an_unregistered_machine() {
    let (membership, mut shard) = setup();
    shard.apply_heartbeat(Micros(10), &membership, &heartbeat(1, 7, &[]));
    shard.apply_desired_state(
        Micros(11),
        0,
        &full_state(1, vec![desired_start(1, 1000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 0);
}

/// Guards against an old copy of a heartbeat that adds a returned machine again. All controllers have acknowledged the
/// return, so only the machine's name is left; without that check the copy, which is of this epoch, would register the
/// machine with free resources.
#[test]
fn a_heartbeat_copy_does_not_add_a_returned_machine_again() {
    let (membership, mut shard) = shard_with_registered_machine();
    let copy = heartbeat(2, 7, &[("wk-1/0", 1, "running")]);
    shard.apply_heartbeat(Micros(20), &membership, &copy);
    shard.apply_scaling_plan(&BTreeSet::new(), &["i-1".into()]);
    shard.drop_gone(&[u64::MAX]);
    assert_eq!(shard.count_known_and_total(), (0, 0));
    assert_eq!(
        shard.apply_heartbeat(Micros(60_000_000), &membership, &heartbeat(3, 7, &[])),
        HeartbeatOutcome::Stale
    );
    assert_eq!(shard.apply_heartbeat(Micros(61_000_000), &membership, &copy), HeartbeatOutcome::Stale);
    assert_eq!(
        (
            shard.count_known_and_total(),
            shard.count_live(Micros(61_000_001)),
            shard.take_unregistered().len()
        ),
        ((0, 0), 0, 0)
    );
}

/// Guards against a heartbeat that was delayed for longer than a lease. Its number is the highest seen, since the
/// original never arrived, but the incarnation in which it was sent has ended.
#[test]
fn a_heartbeat_of_an_ended_incarnation_is_stale() {
    for tasks in [&[("wk-1/0", 1, "running")][..], &[]] {
        let (membership, mut shard) = shard_with_registered_machine();
        shard.apply_heartbeat(Micros(20), &membership, &heartbeat(5, 7, tasks));
        let later = Micros(20_000_000);
        shard.expire_leases(later, &membership);
        assert_eq!(
            shard.apply_heartbeat(later, &membership, &heartbeat(6, 7, tasks)),
            HeartbeatOutcome::Stale
        );
        let status = shard.status_delta(later, &membership, 0, 0, |_| Some(CAPACITY)).machines.remove(0);
        assert!(
            !status.is_schedulable && status.tasks.is_empty() && shard.count_live(later) == 0,
            "{status:?}"
        );
        assert_eq!(
            shard.apply_heartbeat(later, &membership, &Heartbeat { incarnation: 2, ..heartbeat(1, 7, &[]) }),
            HeartbeatOutcome::Accepted
        );
        assert_eq!(shard.count_live(later), 1);
    }
}

/// A machine that loses responses, although it has shown the current token, loses each start. Guards against giving
/// it the next start with its next heartbeat.
#[test]
fn a_machine_that_loses_two_responses_in_a_row_gets_no_starts_for_a_while() {
    let (membership, mut shard) = shard_with_registered_machine();
    let is_schedulable = |shard: &mut MachineShard, at: u64| {
        shard.expire_leases(Micros(at), &membership);
        shard
            .status_delta(Micros(at), &membership, 0, 0, |_| Some(CAPACITY))
            .machines
            .remove(0)
            .is_schedulable
    };
    for lost in 1..3 {
        let at = lost * 3_000_000;
        shard.apply_desired_state(
            Micros(at),
            0,
            &full_state(lost, vec![desired_start(lost, 1000)]),
            &membership,
            |_| Some(CAPACITY),
        );
        assert_eq!(issue_starts(&mut shard, &membership), 1);
        shard.apply_heartbeat(Micros(at + 1000), &membership, &heartbeat(1 + lost, 7, &[]));
        assert_eq!(
            is_schedulable(&mut shard, at + 300_000),
            lost == 1,
            "single responses are lost now and then"
        );
    }
    shard.apply_heartbeat(Micros(16_000_000), &membership, &heartbeat(4, 7, &[]));
    assert!(is_schedulable(&mut shard, 16_300_000), "it may receive responses again");
}

/// Creates a shard in epoch 7 that has read a machine's name from the state store.
fn after_failover() -> (Membership, MachineShard) {
    let (membership, mut shard) = setup();
    shard.adopt_epoch(Micros(1), &membership, false, |_| None);
    let record = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
    shard.load_record(Micros(1), "i-1", record);
    (membership, shard)
}

fn inventory(shard: &mut MachineShard, membership: &Membership, seconds: f64) -> InventoryState {
    shard.expire_leases(Micros::from_secs(seconds), membership);
    shard.status_delta(Micros::from_secs(seconds), membership, 0, 0, |_| Some(CAPACITY)).machines[0]
        .inventory_state
}

/// Other controllers may have responded to the machine for a store lease, 6 s, and its lease with the margin ends
/// another 18.71 s later. A heartbeat that arrives at that moment may have been sent before the lease ended, and the
/// response from this controller may arrive in time.
#[test]
fn a_heartbeat_that_comes_as_a_lease_expires_may_renew_it() {
    let (membership, mut shard) = after_failover();
    let running = [("wk-1/0", 1, "running")];
    shard.apply_heartbeat(Micros::from_secs(24.9), &membership, &heartbeat(1, 6, &running));
    assert_eq!(inventory(&mut shard, &membership, 25.5), InventoryState::Unconfirmed);
    shard.apply_heartbeat(Micros::from_secs(28.0), &membership, &heartbeat(2, 6, &running));
    assert_eq!(inventory(&mut shard, &membership, 40.0), InventoryState::Unconfirmed);
    shard.apply_heartbeat(Micros::from_secs(41.0), &membership, &heartbeat(3, 6, &running));
    assert_eq!(
        inventory(&mut shard, &membership, 41.5),
        InventoryState::Known,
        "sent after the leases that other controllers renewed had expired"
    );
    assert!(
        shard.status_delta(Micros::from_secs(41.5), &membership, 0, 0, |_| Some(CAPACITY)).machines[0]
            .tasks
            .is_empty()
    );
}

/// The machine received a response from this controller in the epoch before this one, so its older tasks still run.
#[test]
fn a_machine_that_shows_an_earlier_token_of_this_leader_has_received_its_response() {
    let (mut membership, mut shard) = after_failover();
    let running = [("wk-1/0", 1, "running")];
    shard.apply_heartbeat(Micros::from_secs(20.0), &membership, &heartbeat(1, 6, &running));
    membership.adopt_epoch(
        Micros::from_secs(21.0),
        &EpochRecord { epoch: 8, members: vec![("c0".into(), 1)] },
        2,
    );
    shard.adopt_epoch(Micros::from_secs(21.0), &membership, true, |_| Some(0));
    shard.apply_heartbeat(Micros::from_secs(33.0), &membership, &heartbeat(2, 7, &running));
    assert_eq!(inventory(&mut shard, &membership, 33.5), InventoryState::Unconfirmed);
    assert_eq!(
        shard.status_delta(Micros::from_secs(33.5), &membership, 0, 0, |_| Some(CAPACITY)).machines[0]
            .tasks
            .len(),
        1
    );
}
