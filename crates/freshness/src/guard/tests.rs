use super::*;
use crate::upstream::JobDeclaration;
use hazelsaddle_coordination::record::{CoordinationRecord, Unreadable};

fn settings() -> Settings {
    let mut s = Settings::default();
    s.set("sources", "split").expect("valid");
    s
}
fn merge() -> Merge {
    Merge { batch: BatchVersion { name: "b".into(), version: 7 }, dependencies: vec!["s".into()] }
}
fn at(version: u64) -> impl Fn(&str) -> JobLookup {
    move |_| {
        let batch = Some(BatchVersion { name: "b".into(), version });
        JobLookup::Ended(JobDeclaration { class: Some("split".into()), batch, dependencies: vec![] })
    }
}
fn held(version: u64) -> CachedRecord {
    CachedRecord::Present(Batch::new(version).record())
}
fn verdict(held: &CachedRecord, read: u64, runs: &[Run]) -> Verdict {
    merge().assess(&settings(), held, at(read), &runs.iter().cloned().collect())
}

#[test]
fn a_merge_follows_its_batch() {
    assert_eq!(verdict(&held(7), 7, &[]), Verdict::Fresh(7));
    assert!(matches!(verdict(&held(8), 7, &[]), Verdict::Stale(8, _)));
    let new = Run { job: "n".into(), class: "split".into(), version: 8 };
    assert_eq!(verdict(&held(8), 7, &[new]), Verdict::Fresh(8));
    assert_eq!(verdict(&held(6), 6, &[]), Verdict::Unknown(UnknownCause::NotYetOnRecord(6)));
    assert_eq!(verdict(&held(7), 8, &[]), Verdict::Unknown(UnknownCause::RecordUnread), "read too early");
}

#[test]
fn nothing_rests_on_what_is_not_known() {
    for h in [CachedRecord::NotRead, CachedRecord::Absent, CachedRecord::Unreadable(Unreadable::Newer(9))] {
        let v = verdict(&h, 7, &[]);
        assert!(matches!(v, Verdict::Unknown(_)) && !v.may_start(), "{h:?}");
    }
    let v = |k: JobLookup| merge().assess(&settings(), &held(7), |_| k.clone(), &BTreeSet::new());
    assert_eq!(v(JobLookup::Unread), Verdict::Unknown(UnknownCause::JobsUnread(1)));
    assert_eq!(v(JobLookup::Unreadable), Verdict::Unknown(UnknownCause::JobUnreadable("s".into())));
    let JobLookup::Ended(says) = at(7)("s") else { panic!("not ended") };
    assert_eq!(v(JobLookup::Live(says)), Verdict::Unknown(UnknownCause::Unfinished("s".into())));
    let w = Writer { job: "m".into(), attempt: 1, task: None };
    assert!(!v(JobLookup::Unread).must_stop(&held(7), &w), "what is not known stops nothing");
}

#[test]
fn a_write_under_way_is_neither_stopped_nor_refused() {
    let w = Writer { job: "m".into(), attempt: 1, task: None };
    let PermitAnswer::GrantAfterWrite(b, p) = decide_permit(&verdict(&held(7), 7, &[]), &held(7), &w, 2000)
    else {
        panic!("no permit")
    };
    let Ok(crate::batch::VersionChange::Raised(b)) = b.put_version(8) else { panic!("not raised") };
    let h = CachedRecord::Present(b.record());
    let v = verdict(&h, 7, &[]);
    assert!(!v.must_stop(&h, &w));
    assert_eq!(decide_permit(&v, &h, &w, 2000), PermitAnswer::AlreadyHeld(p));
    let next = Writer { attempt: 2, ..w };
    assert!(v.must_stop(&h, &next));
    assert!(matches!(decide_permit(&v, &h, &next, 2000), PermitAnswer::Stale(8, _)));
    let damaged = CachedRecord::Present(CoordinationRecord::open(7, serde_json::json!(1)));
    assert!(matches!(
        decide_permit(&verdict(&damaged, 7, &[]), &damaged, &next, 2000),
        PermitAnswer::Retry(_)
    ));
}
