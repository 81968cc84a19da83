use super::super::tests::{
    CAPACITY, desired_start, full_state, heartbeat, issue_starts, setup, shard_with_registered_machine,
};
use super::*;

#[test]
fn a_probe_answer_with_the_current_token_confirms_the_task_list() {
    let (membership, mut shard) = setup();
    let record = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.5:1".into() };
    shard.load_record(Micros(9), "i-1", record);
    let probes = shard.take_due_probes(Micros(10), 9);
    assert_eq!(
        probes.iter().map(|probe| (probe.machine.as_str(), probe.incarnation)).collect::<Vec<_>>(),
        [("i-1", 1)]
    );
    assert!(shard.take_due_probes(Micros(11), 9).is_empty(), "the next probe is due after an interval");
    assert_eq!(shard.take_due_probes(Micros(2_000_000), 9).len(), 1);
    assert_eq!(
        shard.apply_probe_answer(Micros(20), &membership, &heartbeat(3, 6, &[])),
        HeartbeatOutcome::Stale
    );
    assert_eq!(shard.count_known_and_total(), (0, 1), "the response to an older token may still be executed");
    assert_eq!(
        shard.apply_probe_answer(Micros(20), &membership, &heartbeat(4, 8, &[])),
        HeartbeatOutcome::Fenced
    );
    assert_eq!(
        shard.apply_probe_answer(Micros(20), &membership, &heartbeat(5, 7, &[("wk-1/0", 1, "running")])),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(shard.count_known_and_total(), (1, 1));
    assert_eq!(
        shard.status_delta(Micros(21), &membership, 0, 0, |_| Some(CAPACITY)).machines[0].tasks.len(),
        1
    );
    assert!(shard.take_due_probes(Micros(9_000_000), 9).is_empty());
}

/// An answer to a probe shows nothing about a start that was sent in the response to a heartbeat: the worker may have
/// received the two in either order.
#[test]
fn a_late_probe_answer_does_not_undo_a_start() {
    let (membership, mut shard) = shard_with_registered_machine();
    shard.apply_desired_state(
        Micros(11),
        0,
        &full_state(1, vec![desired_start(1, 3000)]),
        &membership,
        |_| Some(CAPACITY),
    );
    assert_eq!(issue_starts(&mut shard, &membership), 1);
    assert_eq!(
        shard.apply_probe_answer(Micros(20), &membership, &heartbeat(9, 7, &[])),
        HeartbeatOutcome::Stale
    );
    let status = shard.status_delta(Micros(21), &membership, 0, 0, |_| Some(CAPACITY)).machines.remove(0);
    assert_eq!((status.free.cpus, status.tasks.len()), (1000, 1));
}
