use super::*;
use proptest::prelude::*;

fn writer(job: &str, attempt: u64) -> Writer {
    Writer { job: job.into(), attempt, task: Some(0) }
}

#[test]
fn version_only_rises_and_recording_it_again_changes_nothing() {
    let batch = Batch::new(7);
    assert_eq!(batch.put_version(6), Err(TransitionError::Version(7)));
    assert_eq!(batch.put_version(7), Ok(VersionChange::Unchanged));
    let Ok(VersionChange::Raised(next)) = batch.put_version(9) else { panic!("not raised") };
    assert_eq!(next.version, 9);
    assert_eq!(Batch::read(&next.to_record()), Ok(next));
    assert!(Batch::read(&CoordinationRecord::open(1, json!({"fence": 1}))).is_err());
}

#[test]
fn write_under_way_is_listed_as_preceding_a_newer_version() {
    let PermitGrant::New(batch, permit) = Batch::new(7).grant_permit(&writer("m", 1), 2000) else {
        panic!("no permit")
    };
    let Ok(VersionChange::Raised(batch)) = batch.put_version(8) else { panic!("not raised") };
    let Ok(VersionChange::Raised(batch)) = batch.put_version(9) else { panic!("not raised") };
    assert_eq!(batch.outdated_writes, [(8, permit.fence)], "one entry per permit");
    assert_eq!(
        batch.grant_permit(&writer("m", 1), 2000),
        PermitGrant::AlreadyHeld(permit),
        "a repeated request"
    );
    let batch = batch.release_permits(|permit| permit.attempt == 1).expect("one was held");
    assert_eq!((batch.permits.len(), batch.fence, batch.outdated_writes.len()), (0, 1, 1));
    assert_eq!(batch.release_permits(|_| true), None);
}

#[test]
fn older_attempt_gets_no_permit_and_newer_one_replaces_it() {
    let PermitGrant::New(batch, _) = Batch::new(7).grant_permit(&writer("m", 2), 2000) else {
        panic!("no permit")
    };
    assert_eq!(batch.grant_permit(&writer("m", 1), 2000), PermitGrant::Superseded);
    let PermitGrant::New(batch, permit) = batch.grant_permit(&writer("m", 3), 2000) else {
        panic!("no permit")
    };
    assert_eq!((batch.permits.as_slice(), permit.fence), ([permit.clone()].as_slice(), 2));
}

proptest! {
    /// In any sequence of operations: versions and fencing tokens only rise, a permit has the version at which it was
    /// granted, a newer version lists each held permit as a preceding write, and the record stays within the value limit.
    #[test]
    fn record_invariants_hold_in_any_sequence(ops in prop::collection::vec((0u8..3, 0u64..12, 0u64..4), 0..300)) {
        const VALUE_LIMIT: usize = 2000;
        let mut batch = Batch::new(1);
        for (op, x, y) in ops {
            let before = batch.clone();
            match op {
                0 => if let Ok(VersionChange::Raised(next)) = batch.put_version(x + batch.version.saturating_sub(4)) { batch = next },
                1 => if let PermitGrant::New(next, permit) = batch.grant_permit(&writer(&format!("wk-{x:06}"), y), VALUE_LIMIT) {
                    prop_assert!(permit.fence > batch.fence && permit.version == batch.version);
                    batch = next;
                },
                _ => if let Some(next) = batch.release_permits(|permit| permit.fence % 3 == y) { batch = next },
            }
            prop_assert!(batch.version >= before.version && batch.fence >= before.fence);
            prop_assert!(batch.to_record().to_value().to_string().len() <= VALUE_LIMIT);
            for permit in &batch.permits {
                let is_outdated =
                    batch.outdated_writes.iter().any(|(version, fence)| *fence == permit.fence && *version > permit.version);
                prop_assert_eq!(is_outdated, batch.version > permit.version);
            }
            prop_assert_eq!(Batch::read(&batch.to_record()), Ok(batch.clone()));
        }
    }
}
