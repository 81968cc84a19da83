use super::*;

fn reservation(machine: &str, priority: u8, evict: bool) -> Reservation {
    let need = Resources { cpus: 15_000, gpus: 0, memory: 1000 };
    Reservation { machine: machine.into(), priority, resources: need, must_preempt: evict }
}

/// While a gang's new leader learns what the gang had running, small work would fill its machines.
#[test]
fn reservations_of_the_epoch_before_hold_for_a_while() {
    let mut reservations = PeerReservations::default();
    let now = Micros::from_millis(50_000);
    reservations.announce(now, 1, vec![reservation("i-1", 11, true), reservation("i-1", 12, false)]);
    reservations.inherit(&[reservation("i-2", 10, true)]);
    reservations.inherited_until = Some(now + INHERITED_FOR);
    reservations.inherit(&[]);
    assert_eq!(reservations.inherited["i-1"].priority, 11, "the gang's own priority: it may go there itself");
    let need = reservation("", 0, false).resources;
    assert_eq!(
        reservations.inherited_for(now, need),
        ["i-1", "i-2"],
        "a second epoch at once changes nothing"
    );
    assert!(reservations.inherited_for(now, Resources::default()).is_empty(), "for gangs of such tasks only");
    assert!(reservations.inherited_for(now + INHERITED_FOR, need).is_empty(), "not for ever");
}
