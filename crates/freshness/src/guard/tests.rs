use super::*;
use crate::upstream::JobDeclaration;
use hazelsaddle_coordination::record::{CoordinationRecord, Unreadable};

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.set("sources", "split").expect("valid");
    settings
}
fn merge() -> Merge {
    Merge { batch: BatchVersion { name: "b".into(), version: 7 }, dependencies: vec!["s".into()] }
}
fn ended_run_of(version: u64) -> impl Fn(&str) -> JobLookup {
    move |_| {
        let batch = Some(BatchVersion { name: "b".into(), version });
        JobLookup::Ended(JobDeclaration { class: Some("split".into()), batch, dependencies: vec![] })
    }
}
fn batch_record(version: u64) -> CachedRecord {
    CachedRecord::Present(Batch::new(version).to_record())
}
/// The verdict on a merge of version 7 whose only input is a run of version `input_version`.
fn verdict(batch_record: &CachedRecord, input_version: u64, runs: &[Run]) -> Verdict {
    merge().assess(&settings(), batch_record, ended_run_of(input_version), &runs.iter().cloned().collect())
}

#[test]
fn inputs_must_have_the_recorded_version_of_the_batch() {
    assert_eq!(verdict(&batch_record(7), 7, &[]), Verdict::Fresh(7));
    assert!(matches!(verdict(&batch_record(8), 7, &[]), Verdict::Stale(8, _)));
    let new_run = Run { job: "n".into(), class: "split".into(), version: 8 };
    assert_eq!(verdict(&batch_record(8), 7, &[new_run]), Verdict::Fresh(8));
    assert_eq!(verdict(&batch_record(6), 6, &[]), Verdict::Unknown(UnknownCause::VersionNotRecorded(6)));
    assert_eq!(
        verdict(&batch_record(7), 8, &[]),
        Verdict::Unknown(UnknownCause::RecordUnread),
        "a stale read of the record"
    );
}

#[test]
fn unknown_inputs_neither_start_nor_stop_a_merge() {
    for record in
        [CachedRecord::NotRead, CachedRecord::Absent, CachedRecord::Unreadable(Unreadable::Newer(9))]
    {
        let verdict = verdict(&record, 7, &[]);
        assert!(matches!(verdict, Verdict::Unknown(_)) && !verdict.can_start(), "{record:?}");
    }
    let verdict_for =
        |input: JobLookup| merge().assess(&settings(), &batch_record(7), |_| input.clone(), &BTreeSet::new());
    assert_eq!(verdict_for(JobLookup::Unread), Verdict::Unknown(UnknownCause::JobsUnread(1)));
    assert_eq!(verdict_for(JobLookup::Unreadable), Verdict::Unknown(UnknownCause::JobUnreadable("s".into())));
    let JobLookup::Ended(declaration) = ended_run_of(7)("s") else { panic!("not ended") };
    assert_eq!(
        verdict_for(JobLookup::Live(declaration)),
        Verdict::Unknown(UnknownCause::Unfinished("s".into()))
    );
    let writer = Writer { job: "m".into(), attempt: 1, task: None };
    assert!(
        !verdict_for(JobLookup::Unread).must_stop(&batch_record(7), &writer),
        "an unknown input stops nothing"
    );
}

#[test]
fn write_under_way_is_neither_stopped_nor_rejected() {
    let writer = Writer { job: "m".into(), attempt: 1, task: None };
    let PermitAnswer::GrantAfterWrite(batch, permit) =
        decide_permit(&verdict(&batch_record(7), 7, &[]), &batch_record(7), &writer, 2000)
    else {
        panic!("no permit")
    };
    let Ok(crate::batch::VersionChange::Raised(batch)) = batch.put_version(8) else { panic!("not raised") };
    let record = CachedRecord::Present(batch.to_record());
    let stale = verdict(&record, 7, &[]);
    assert!(!stale.must_stop(&record, &writer));
    assert_eq!(decide_permit(&stale, &record, &writer, 2000), PermitAnswer::AlreadyHeld(permit));
    let next_attempt = Writer { attempt: 2, ..writer };
    assert!(stale.must_stop(&record, &next_attempt));
    assert!(matches!(decide_permit(&stale, &record, &next_attempt, 2000), PermitAnswer::Stale(8, _)));
    let damaged = CachedRecord::Present(CoordinationRecord::open(7, serde_json::json!(1)));
    assert!(matches!(
        decide_permit(&verdict(&damaged, 7, &[]), &damaged, &next_attempt, 2000),
        PermitAnswer::Retry(_)
    ));
}
