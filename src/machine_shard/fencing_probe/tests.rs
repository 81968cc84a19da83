use super::super::tests::{ROOM, heartbeat, ready, setup, starts, want, whole};
use super::*;

#[test]
fn an_answer_that_shows_our_token_makes_a_machine_known() {
    let (m, mut shard) = setup();
    let named = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.5:1".into() };
    shard.load_record(Micros(9), "i-1", named);
    let asked = shard.take_due_probes(Micros(10), 9);
    assert_eq!(asked.iter().map(|g| (g.machine.as_str(), g.incarnation)).collect::<Vec<_>>(), [("i-1", 1)]);
    assert!(shard.take_due_probes(Micros(11), 9).is_empty(), "once, and again after a while");
    assert_eq!(shard.take_due_probes(Micros(2_000_000), 9).len(), 1);
    assert_eq!(shard.apply_probe_answer(Micros(20), &m, &heartbeat(3, 6, &[])), HeartbeatOutcome::Stale);
    assert_eq!(shard.count_known_and_total(), (0, 1), "an older token's answer may still be executed");
    assert_eq!(shard.apply_probe_answer(Micros(20), &m, &heartbeat(4, 8, &[])), HeartbeatOutcome::Fenced);
    assert_eq!(
        shard.apply_probe_answer(Micros(20), &m, &heartbeat(5, 7, &[("wk-1/0", 1, "running")])),
        HeartbeatOutcome::Accepted
    );
    assert_eq!(shard.count_known_and_total(), (1, 1));
    assert_eq!(shard.status_delta(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(), 1);
    assert!(shard.take_due_probes(Micros(9_000_000), 9).is_empty());
}

/// An answer says nothing about a start that went out with the answer to a report: the worker may have had the one
/// before the other.
#[test]
fn a_late_answer_does_not_undo_a_start() {
    let (m, mut shard) = ready();
    shard.apply_desired_state(Micros(11), 0, &whole(1, vec![want(1, 3000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut shard, &m), 1);
    assert_eq!(shard.apply_probe_answer(Micros(20), &m, &heartbeat(9, 7, &[])), HeartbeatOutcome::Stale);
    let d = shard.status_delta(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
    assert_eq!((d.free.cpus, d.tasks.len()), (1000, 1));
}
