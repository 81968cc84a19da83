//! Tests of the epoch that frames advertise.

use super::super::handoff::tests::test_controller;
use super::super::membership::EpochRead;
use crate::membership::EpochRecord;

/// Three controllers that were held back at the same time counted one another as members, and none of them
/// joined for the whole pause (seed 4542 of the simulated restarts).
#[test]
fn held_back_controller_does_not_advertise_its_earlier_process_as_member() {
    let mut controller = test_controller();
    let members = [("c0", 5), ("c1", 1), ("c2", 1)].map(|(name, boot)| (name.to_owned(), boot));
    controller.membership_loop.newest_record =
        Some(EpochRead { record: EpochRecord { epoch: 8, members: members.to_vec() }, store_version: 9 });
    controller.flap_damping.note_registration(true);
    assert_eq!(controller.advertised_epoch(), (8, vec![1, 2]));
}
