//! The machine shard by itself.

use super::*;
use crate::membership::EpochRecord;

pub(super) const ROOM: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };

pub(super) fn setup() -> (Membership, MachineShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let s = Settings::parse("test", text).expect("valid");
    let mut m = Membership::new(&s, 1);
    m.adopt_epoch(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
    (m, MachineShard::new(&s))
}
pub(super) fn heartbeat(seq: u64, token: u64, tasks: &[(&str, u64, &str)]) -> Heartbeat {
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
        sequence: seq,
        token,
        time_to_termination_s: None,
        tasks,
    }
}
pub(super) fn want(attempt: u64, cpus: i64) -> DesiredTask {
    DesiredTask {
        key: TaskKey { job: "wk-1".into(), index: 0, attempt },
        machine: "i-1".into(),
        resources: Resources { cpus, gpus: 0, memory: 0 },
        action: DesiredAction::Run,
        priority: 0,
        image: 0,
    }
}
pub(super) fn whole(rev: u64, list: Vec<DesiredTask>) -> DesiredState {
    DesiredState { revision: rev, base_revision: 0, tasks: list, removed: Vec::new() }
}
pub(super) fn starts(shard: &mut MachineShard, m: &Membership) -> usize {
    let orders = shard.issue_commands(m, "i-1", |_| true).expect("known");
    orders.commands.iter().filter(|c| c.verb() == "run").count()
}
pub(super) fn ready() -> (Membership, MachineShard) {
    let (m, mut shard) = setup();
    assert_eq!(shard.apply_heartbeat(Micros(10), &m, &heartbeat(1, 7, &[])), HeartbeatOutcome::Accepted);
    shard.confirm_registered("i-1");
    (m, shard)
}

#[test]
fn nothing_is_started_before_a_heartbeat_shows_our_token() {
    let (m, mut shard) = setup();
    shard.apply_heartbeat(Micros(10), &m, &heartbeat(1, 6, &[]));
    shard.confirm_registered("i-1");
    shard.apply_desired_state(Micros(11), 0, &whole(1, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 0, "an older token's answer may still be executed");
    shard.apply_heartbeat(Micros(20), &m, &heartbeat(2, 7, &[]));
    // The desired start of before, repeated, must not start the task now. The status has told the job's leader that it
    // isn't there, and it may have been placed elsewhere.
    shard.apply_desired_state(Micros(21), 0, &whole(2, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 0);
    shard.apply_desired_state(Micros(22), 0, &whole(3, vec![want(2, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 1);
    assert_eq!(shard.apply_heartbeat(Micros(30), &m, &heartbeat(3, 8, &[])), HeartbeatOutcome::Fenced);
}

#[test]
fn a_late_heartbeat_changes_nothing() {
    let (m, mut shard) = ready();
    shard.apply_heartbeat(Micros(20), &m, &heartbeat(5, 7, &[("wk-1/0", 1, "running")]));
    assert_eq!(shard.apply_heartbeat(Micros(30), &m, &heartbeat(4, 7, &[])), HeartbeatOutcome::Stale);
    assert_eq!(shard.status_delta(Micros(31), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(), 1);
}

#[test]
fn a_start_is_decided_on_once() {
    let (m, mut shard) = ready();
    shard.apply_desired_state(Micros(11), 0, &whole(1, vec![want(1, 4000), want(2, 4000)]), &m, |_| {
        Some(ROOM)
    });
    assert_eq!(starts(&mut shard, &m), 1);
    // The accepted one never arrived; the refused one would fit now. The owner may have placed
    // either elsewhere since, so neither goes out again until it says so under a new attempt.
    shard.apply_heartbeat(Micros(20), &m, &heartbeat(2, 7, &[]));
    assert!(shard.status_delta(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.is_empty());
    shard.apply_desired_state(Micros(22), 0, &whole(2, vec![want(1, 4000), want(2, 4000)]), &m, |_| {
        Some(ROOM)
    });
    assert_eq!(starts(&mut shard, &m), 0);
    shard.apply_desired_state(Micros(23), 0, &whole(3, vec![want(3, 4000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 1);
}

/// Or a cancelled job's task whose machine has just changed its leader runs on for longer than `cancel_s`: the message to
/// stop it may come before the machine's first heartbeat, and is never sent again.
#[test]
fn desired_state_of_a_machine_that_has_yet_to_report_is_not_lost() {
    for recorded in [false, true] {
        let (m, mut shard) = setup();
        if recorded {
            let r = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
            shard.load_record(Micros(9), "i-1", r);
        }
        let stop = DesiredTask { action: DesiredAction::Stop(Micros(0)), ..want(1, 3000) };
        let keep = DesiredTask {
            action: DesiredAction::Keep,
            key: TaskKey { job: "wk-1".into(), index: 1, attempt: 1 },
            ..want(1, 500)
        };
        shard.apply_desired_state(Micros(10), 0, &whole(1, vec![stop, keep]), &m, |_| Some(ROOM));
        let running = [("wk-1/0", 1, "running"), ("wk-1/1", 1, "running")];
        shard.apply_heartbeat(Micros(20), &m, &heartbeat(1, 6, &running));
        let orders = shard.issue_commands(&m, "i-1", |_| true).expect("known");
        let told: Vec<_> = orders.commands.iter().map(|c| (c.verb(), c.task_name())).collect();
        assert_eq!(told, [("kill", "wk-1/0".to_owned())]);
        shard.apply_heartbeat(Micros(30), &m, &heartbeat(2, 7, &running));
        let d = shard.status_delta(Micros(31), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
        assert!(d.is_schedulable && d.free.cpus == 500, "what the tasks take is known too: {d:?}");
    }
}

#[test]
fn a_start_in_doubt_holds_its_resources_until_a_newer_heartbeat() {
    let (m, mut shard) = ready();
    shard.apply_desired_state(Micros(11), 0, &whole(1, vec![want(1, 3000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 1);
    // The job's leader asks for it no more: what is out can't be called back by silence.
    shard.apply_desired_state(Micros(12), 0, &whole(2, vec![]), &m, |_| Some(ROOM));
    let d = shard.status_delta(Micros(13), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
    assert_eq!((d.free.cpus, d.tasks[0].phase), (1000, TaskPhase::InDoubt));
    shard.apply_heartbeat(Micros(20), &m, &heartbeat(2, 7, &[("wk-1/0", 1, "pulling")]));
    let d = shard.status_delta(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
    assert_eq!((d.free.cpus, d.tasks[0].phase), (1000, TaskPhase::Fetching));
}

#[test]
fn nothing_is_started_on_a_machine_that_is_not_on_record() {
    let (m, mut shard) = setup();
    shard.apply_heartbeat(Micros(10), &m, &heartbeat(1, 7, &[]));
    shard.apply_desired_state(Micros(11), 0, &whole(1, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 0);
}

/// The cloud has taken a machine back and all controllers were told, so nothing is kept of it but its name. A copy of a
/// report of this very epoch would make it known, with room, and put it on record again.
#[test]
fn a_copy_does_not_bring_a_returned_machine_back() {
    let (m, mut shard) = ready();
    let copy = heartbeat(2, 7, &[("wk-1/0", 1, "running")]);
    shard.apply_heartbeat(Micros(20), &m, &copy);
    shard.apply_scaling_plan(&BTreeSet::new(), &["i-1".into()]);
    shard.drop_gone(&[u64::MAX]);
    assert_eq!(shard.count_known_and_total(), (0, 0));
    assert_eq!(shard.apply_heartbeat(Micros(60_000_000), &m, &heartbeat(3, 7, &[])), HeartbeatOutcome::Stale);
    assert_eq!(shard.apply_heartbeat(Micros(61_000_000), &m, &copy), HeartbeatOutcome::Stale);
    assert_eq!(
        (
            shard.count_known_and_total(),
            shard.count_live(Micros(61_000_001)),
            shard.take_unregistered().len()
        ),
        ((0, 0), 0, 0)
    );
}

/// A report that was on its way for longer than a lease, so that its number is the highest seen, and its original never
/// came: the incarnation in which it was sent has ended.
#[test]
fn what_was_sent_in_an_incarnation_that_has_ended_proves_nothing() {
    for tasks in [&[("wk-1/0", 1, "running")][..], &[]] {
        let (m, mut shard) = ready();
        shard.apply_heartbeat(Micros(20), &m, &heartbeat(5, 7, tasks));
        let later = Micros(20_000_000);
        shard.expire_leases(later, &m);
        assert_eq!(shard.apply_heartbeat(later, &m, &heartbeat(6, 7, tasks)), HeartbeatOutcome::Stale);
        let d = shard.status_delta(later, &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
        assert!(!d.is_schedulable && d.tasks.is_empty() && shard.count_live(later) == 0, "{d:?}");
        assert_eq!(
            shard.apply_heartbeat(later, &m, &Heartbeat { incarnation: 2, ..heartbeat(1, 7, &[]) }),
            HeartbeatOutcome::Accepted
        );
        assert_eq!(shard.count_live(later), 1);
    }
}

/// A deaf machine that has shown our token loses each start, and would be given the next with its next report.
#[test]
fn a_machine_that_loses_responses_in_a_row_is_given_nothing_for_a_while() {
    let (m, mut shard) = ready();
    let open = |shard: &mut MachineShard, at: u64| {
        shard.expire_leases(Micros(at), &m);
        shard.status_delta(Micros(at), &m, 0, 0, |_| Some(ROOM)).machines.remove(0).is_schedulable
    };
    for lost in 1..3 {
        let at = lost * 3_000_000;
        shard.apply_desired_state(Micros(at), 0, &whole(lost, vec![want(lost, 1000)]), &m, |_| Some(ROOM));
        assert_eq!(starts(&mut shard, &m), 1);
        shard.apply_heartbeat(Micros(at + 1000), &m, &heartbeat(1 + lost, 7, &[]));
        assert_eq!(open(&mut shard, at + 300_000), lost == 1, "one is lost now and then");
    }
    shard.apply_heartbeat(Micros(16_000_000), &m, &heartbeat(4, 7, &[]));
    assert!(open(&mut shard, 16_300_000), "and it may hear again");
}

/// A shard in epoch 7 that knows a machine by its name on record.
fn after_failover() -> (Membership, MachineShard) {
    let (m, mut shard) = setup();
    shard.adopt_epoch(Micros(1), &m, false, |_| None);
    let r = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
    shard.load_record(Micros(1), "i-1", r);
    (m, shard)
}

fn inventory(shard: &mut MachineShard, m: &Membership, s: f64) -> InventoryState {
    shard.expire_leases(Micros::from_secs(s), m);
    shard.status_delta(Micros::from_secs(s), m, 0, 0, |_| Some(ROOM)).machines[0].inventory_state
}

/// Others may have answered it for a store lease, 6 s, and its lease with the margin is over after another 18.71 s. A
/// report that comes then may have been sent before, and be answered by us in time.
#[test]
fn a_heartbeat_that_comes_as_a_lease_expires_may_renew_it() {
    let (m, mut shard) = after_failover();
    let running = [("wk-1/0", 1, "running")];
    shard.apply_heartbeat(Micros::from_secs(24.9), &m, &heartbeat(1, 6, &running));
    assert_eq!(inventory(&mut shard, &m, 25.5), InventoryState::Unconfirmed);
    shard.apply_heartbeat(Micros::from_secs(28.0), &m, &heartbeat(2, 6, &running));
    assert_eq!(inventory(&mut shard, &m, 40.0), InventoryState::Unconfirmed);
    shard.apply_heartbeat(Micros::from_secs(41.0), &m, &heartbeat(3, 6, &running));
    assert_eq!(
        inventory(&mut shard, &m, 41.5),
        InventoryState::Known,
        "sent after all that others began was over"
    );
    assert!(
        shard.status_delta(Micros::from_secs(41.5), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.is_empty()
    );
}

/// It took an answer of ours in the epoch before this one: its older tasks live on.
#[test]
fn a_machine_that_shows_an_earlier_token_of_ours_has_received_our_response() {
    let (mut m, mut shard) = after_failover();
    let running = [("wk-1/0", 1, "running")];
    shard.apply_heartbeat(Micros::from_secs(20.0), &m, &heartbeat(1, 6, &running));
    m.adopt_epoch(Micros::from_secs(21.0), &EpochRecord { epoch: 8, members: vec![("c0".into(), 1)] }, 2);
    shard.adopt_epoch(Micros::from_secs(21.0), &m, true, |_| Some(0));
    shard.apply_heartbeat(Micros::from_secs(33.0), &m, &heartbeat(2, 7, &running));
    assert_eq!(inventory(&mut shard, &m, 33.5), InventoryState::Unconfirmed);
    assert_eq!(
        shard.status_delta(Micros::from_secs(33.5), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(),
        1
    );
}
