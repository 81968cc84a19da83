use super::super::tests::{raw, shard_with_job, whole_status};
use super::*;
use crate::membership::Membership;
use crate::spec::JobSpec;
use crate::units::TaskIndexSet;
use serde_json::json;

/// Guards against a task that runs twice because the leaders of two epochs start it.
#[test]
fn a_job_recorded_in_this_epoch_is_not_started_before_the_epoch_is_confirmed() {
    for (machines, late) in [(&[][..], false), (&["i-1"][..], false), (&["i-1"][..], true)] {
        let (mut membership, _, mut shard, machine) = shard_with_job(raw("batch", 1, 0.0));
        shard.adopt_epoch(&membership, false);
        let at = Micros::from_millis;
        let read = |shard: &mut JobShard| {
            let mut raw_spec = raw("batch", 4, 0.0);
            raw_spec["uid"] = json!("wk-2");
            let spec = JobSpec::from_value(&raw_spec).expect("valid");
            shard.insert_job(raw_spec, spec, Micros(1), TaskIndexSet::default(), 9, false);
            shard.await_epoch_check(at(1000), "wk-2");
        };
        // The job is read either with the other records, or later because a user asked about it.
        if !late {
            read(&mut shard);
        }
        shard.finish_loading(machines.iter().map(|membership| (*membership).to_owned()));
        shard.apply_machine_status(
            at(900),
            &membership,
            0,
            whole_status(&membership, 1, 0, vec![machine.clone()]),
        );
        if late {
            read(&mut shard);
        }
        assert_eq!(
            (shard.unconfirmed_machine_count(), shard.unresolved_job_count()),
            (0, 1),
            "all machines have reported"
        );
        membership.adopt_epoch(
            at(1100),
            &crate::membership::EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] },
            2,
        );
        let next = adopt_next_epoch(&mut shard, &membership);
        assert_eq!(next.unresolved_job_count(), 1, "in the next epoch it waits like any other job");
        next.apply_machine_status(at(1200), &membership, 0, whole_status(&membership, 1, 0, vec![machine]));
        assert_eq!(next.unresolved_job_count(), 0);
    }
}

/// Adopts the next epoch, in which one machine is registered.
fn adopt_next_epoch<'a>(shard: &'a mut JobShard, membership: &Membership) -> &'a mut JobShard {
    shard.adopt_epoch(membership, true);
    shard.finish_loading(["i-1".to_owned()].into_iter());
    shard
}

#[test]
fn a_job_recorded_in_this_epoch_waits_for_no_machines_once_the_epoch_is_confirmed() {
    let (mut membership, _, mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    shard.adopt_epoch(&membership, false);
    shard.finish_loading(["i-1".to_owned()].into_iter());
    let at = Micros::from_millis;
    let read = |shard: &mut JobShard, id: &str| {
        let mut raw_spec = raw("batch", 4, 0.0);
        raw_spec["uid"] = json!(id);
        let spec = JobSpec::from_value(&raw_spec).expect("valid");
        shard.insert_job(raw_spec, spec, Micros(1), TaskIndexSet::default(), 9, false);
    };
    read(&mut shard, "wk-2");
    read(&mut shard, "wk-3");
    shard.await_epoch_check(at(1000), "wk-3");
    shard.confirm_epoch(at(1000));
    assert_eq!(shard.unresolved_job_count(), 2, "the epoch was read before the record");
    shard.confirm_epoch(at(1001));
    assert!(shard.jobs["wk-3"].has_known_starts() && !shard.jobs["wk-2"].has_known_starts());
    // What was read in one epoch proves nothing in the next.
    read(&mut shard, "wk-4");
    shard.await_epoch_check(at(2000), "wk-4");
    membership.adopt_epoch(
        at(2001),
        &crate::membership::EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] },
        2,
    );
    shard.adopt_epoch(&membership, true);
    shard.confirm_epoch(at(3000));
    assert!(!shard.jobs["wk-4"].has_known_starts());
}
