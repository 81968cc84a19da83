use super::*;
use proptest::prelude::*;

fn writer(job: &str, attempt: u64) -> Writer {
    Writer { job: job.into(), attempt, task: Some(0) }
}

#[test]
fn a_version_only_rises_and_twice_is_fine() {
    let b = Batch::new(7);
    assert_eq!(b.put_version(6), Err(TransitionError::Version(7)));
    assert_eq!(b.put_version(7), Ok(VersionChange::Unchanged));
    let Ok(VersionChange::Raised(next)) = b.put_version(9) else { panic!("not raised") };
    assert_eq!(next.version, 9);
    assert_eq!(Batch::read(&next.record()), Ok(next));
    assert!(Batch::read(&CoordinationRecord::open(1, json!({"fence": 1}))).is_err());
}

#[test]
fn a_newer_version_is_marked_as_after_a_write_under_way() {
    let PermitGrant::New(b, p) = Batch::new(7).grant_permit(&writer("m", 1), 2000) else {
        panic!("no permit")
    };
    let Ok(VersionChange::Raised(b)) = b.put_version(8) else { panic!("not raised") };
    let Ok(VersionChange::Raised(b)) = b.put_version(9) else { panic!("not raised") };
    assert_eq!(b.outdated_writes, [(8, p.fence)], "the first says it all");
    assert_eq!(b.grant_permit(&writer("m", 1), 2000), PermitGrant::AlreadyHeld(p), "a repeated question");
    let b = b.release_permits(|p| p.attempt == 1).expect("one was held");
    assert_eq!((b.permits.len(), b.fence, b.outdated_writes.len()), (0, 1, 1));
    assert_eq!(b.release_permits(|_| true), None);
}

#[test]
fn an_older_attempt_gets_none_and_a_newer_one_takes_its_place() {
    let PermitGrant::New(b, _) = Batch::new(7).grant_permit(&writer("m", 2), 2000) else {
        panic!("no permit")
    };
    assert_eq!(b.grant_permit(&writer("m", 1), 2000), PermitGrant::Superseded);
    let PermitGrant::New(b, p) = b.grant_permit(&writer("m", 3), 2000) else { panic!("no permit") };
    assert_eq!((b.permits.as_slice(), p.fence), ([p.clone()].as_slice(), 2));
}

proptest! {
    /// Whatever comes in whatever order: versions and fences rise, permits are of the version of their time, each
    /// newer version is marked on each that is held, and the record fits.
    #[test]
    fn the_record_keeps_its_promises(ops in prop::collection::vec((0u8..3, 0u64..12, 0u64..4), 0..300)) {
        const BYTES: usize = 2000;
        let mut b = Batch::new(1);
        for (op, x, y) in ops {
            let before = b.clone();
            match op {
                0 => if let Ok(VersionChange::Raised(next)) = b.put_version(x + b.version.saturating_sub(4)) { b = next },
                1 => if let PermitGrant::New(next, p) = b.grant_permit(&writer(&format!("wk-{x:06}"), y), BYTES) {
                    prop_assert!(p.fence > b.fence && p.version == b.version);
                    b = next;
                },
                _ => if let Some(next) = b.release_permits(|p| p.fence % 3 == y) { b = next },
            }
            prop_assert!(b.version >= before.version && b.fence >= before.fence);
            prop_assert!(b.record().to_value().to_string().len() <= BYTES);
            for p in &b.permits {
                let marked = b.outdated_writes.iter().any(|(v, f)| *f == p.fence && *v > p.version);
                prop_assert_eq!(marked, b.version > p.version);
            }
            prop_assert_eq!(Batch::read(&b.record()), Ok(b.clone()));
        }
    }
}
