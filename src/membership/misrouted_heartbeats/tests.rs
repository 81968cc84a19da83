use super::*;

fn id(incarnation: u64, sequence: u64) -> HeartbeatId {
    HeartbeatId { incarnation, sequence }
}

/// A copy of a heartbeat that came by here long ago says nothing of where the machine is now.
#[test]
fn a_copy_of_an_old_heartbeat_is_no_visit() {
    let mut visits = MisroutedHeartbeats::default();
    visits.record("i-1", id(1, 5), false);
    visits.record("i-1", id(1, 5), false);
    visits.record("i-1", id(1, 4), true);
    assert!(visits.take_unreported().is_empty());
    visits.record("i-1", id(2, 1), false);
    assert_eq!(visits.take_unreported(), ["i-1"]);
}
