//! What is said to peers of the ring.

use super::super::handoff::tests::node;
use super::super::membership::EpochReading;
use crate::membership::EpochRecord;

/// Three that are held back at the same time heard one another as members, and nobody joined for the whole pause (seed 4542 of
/// the world's restarts).
#[test]
fn who_is_held_back_does_not_count_itself_in_by_the_name_of_its_earlier_process() {
    let mut n = node();
    let members = [("c0", 5), ("c1", 1), ("c2", 1)].map(|(m, boot)| (m.to_owned(), boot));
    n.membership_loop.newest_record =
        Some(EpochReading { record: EpochRecord { epoch: 8, members: members.to_vec() }, store_version: 9 });
    n.flap_damping.note_registration(true);
    assert_eq!(n.known_epoch(), (8, vec![1, 2]));
}
