use super::*;

const NOW: Micros = Micros(9000);

/// The evidence of a controller in an epoch with these other members.
fn evidence(others: &[usize]) -> OutcomeEvidence {
    let mut evidence = OutcomeEvidence::default();
    evidence.adopt_epoch(others.iter().copied());
    evidence
}

fn known_until(evidence: &mut OutcomeEvidence) -> u64 {
    evidence.refresh(NOW);
    evidence.known_until().0
}

#[test]
fn every_other_member_must_have_answered() {
    let mut evidence = evidence(&[1, 2]);
    evidence.note_nothing_to_announce(1, Micros(8000));
    assert_eq!(known_until(&mut evidence), 0, "member 2 may have told a user and ended");
    evidence.note_nothing_to_announce(2, Micros(7000));
    assert_eq!(known_until(&mut evidence), 7000);
    evidence.note_nothing_to_announce(2, Micros(6000));
    evidence.note_nothing_to_announce(3, Micros(500));
    assert_eq!(known_until(&mut evidence), 7000, "neither a late answer nor one of a stranger counts");
}

#[test]
fn answers_count_in_their_epoch_and_what_is_known_stays_known() {
    let mut evidence = evidence(&[1]);
    evidence.note_nothing_to_announce(1, Micros(8000));
    assert_eq!(known_until(&mut evidence), 8000);
    evidence.note_nothing_to_announce(1, Micros(8500));
    evidence.adopt_epoch([1].into_iter());
    assert_eq!(known_until(&mut evidence), 8000, "its answer was not used in its epoch");
    evidence.note_nothing_to_announce(1, Micros(8700));
    assert_eq!(known_until(&mut evidence), 8700);
}

#[test]
fn a_controller_that_nobody_else_can_answer_knows_all() {
    assert_eq!(known_until(&mut evidence(&[])), NOW.0);
    let mut with_older_version = evidence(&[1]);
    with_older_version.exempt(1);
    assert_eq!(known_until(&mut with_older_version), NOW.0);
}
