use super::*;

fn reservation(machine: &str, priority: u8, evict: bool) -> Reservation {
    let need = Resources { cpus: 15_000, gpus: 0, memory: 1000 };
    Reservation { machine: machine.into(), priority, resources: need, must_preempt: evict }
}

/// Guards against small work that fills a gang's machines while the gang's new leader learns which tasks were
/// running.
#[test]
fn reservations_of_the_previous_epoch_stay_valid_for_a_while() {
    let mut reservations = PeerReservations::default();
    let now = Micros::from_millis(50_000);
    reservations.set_announced(now, 1, vec![reservation("i-1", 11, true), reservation("i-1", 12, false)]);
    reservations.inherit(&[reservation("i-2", 10, true)]);
    reservations.inherited_until = Some(now + INHERITED_RESERVATION_VALIDITY);
    reservations.inherit(&[]);
    assert_eq!(
        reservations.inherited["i-1"].priority, 11,
        "the gang's own priority, so that it can be placed there"
    );
    let need = reservation("", 0, false).resources;
    assert_eq!(
        reservations.inherited_for(now, need),
        ["i-1", "i-2"],
        "a second epoch right after changes nothing"
    );
    assert!(
        reservations.inherited_for(now, Resources::default()).is_empty(),
        "only for gangs with the same task resources"
    );
    assert!(
        reservations.inherited_for(now + INHERITED_RESERVATION_VALIDITY, need).is_empty(),
        "the reservations expire"
    );
}
