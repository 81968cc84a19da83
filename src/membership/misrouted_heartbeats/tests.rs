use super::*;

fn id(incarnation: u64, sequence: u64) -> HeartbeatId {
    HeartbeatId { incarnation, sequence }
}

/// A copy of a heartbeat that arrived here long ago shows nothing about where the machine sends heartbeats now.
#[test]
fn a_copy_of_an_old_heartbeat_is_not_counted() {
    let mut misrouted = MisroutedHeartbeats::default();
    misrouted.record("i-1", id(1, 5), false);
    misrouted.record("i-1", id(1, 5), false);
    misrouted.record("i-1", id(1, 4), true);
    assert!(misrouted.take_unreported().is_empty());
    misrouted.record("i-1", id(2, 1), false);
    assert_eq!(misrouted.take_unreported(), ["i-1"]);
}
