//! What may start, who gets a permit, and which running merge must stop.

use crate::batch::{Batch, Grant, Permit, Writer};
use crate::settings::Settings;
use crate::upstream::{Known, Look, Of, Run, look};
use hazelsaddle_coordination::record_cache::CachedRecord;
use std::collections::BTreeSet;

/// What is known of a merge and all that it rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All that it rests on is of this version of the batch.
    Fresh(u64),
    /// Something is old or missing.
    Stale(u64, Look),
    /// Something is not known, or not done: nothing may rest on it.
    Unknown(Why),
}

/// Why nothing can be said.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Why {
    /// The batch's record was not read since it had to be.
    #[error("the record of the batch is still to be read")]
    Unread,
    /// The batch's record is damaged or of a newer form.
    #[error("the record of the batch: {0}")]
    Record(String),
    /// No version of the batch is on record.
    #[error("no version of the batch is on record")]
    Absent,
    /// The merge is of a version that is not yet on record.
    #[error("version {0} of the batch is on record, and the merge is of a newer one")]
    Early(u64),
    /// Some records are still to be read.
    #[error("{0} of the jobs that it rests on are still to be read")]
    Jobs(usize),
    /// Some records can't be read.
    #[error("the record of {0} can't be read")]
    Unreadable(String),
    /// More is upstream than can be walked.
    #[error("it rests on too many jobs")]
    Many,
    /// Something that it rests on has not ended.
    #[error("{0} has not ended")]
    Unfinished(String),
}

/// What a merge says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The batch and the version that it claims.
    pub of: Of,
    /// The jobs that it follows.
    pub follows: Vec<String>,
}

impl Merge {
    /// What the records say of it: `held` the batch's, `know` those of jobs, `runs` done runs under the batch.
    #[must_use]
    pub fn verdict(
        &self,
        settings: &Settings,
        held: &CachedRecord,
        know: impl Fn(&str) -> Known,
        runs: &BTreeSet<Run>,
    ) -> Verdict {
        let record = match held {
            CachedRecord::NotRead => return Verdict::Unknown(Why::Unread),
            CachedRecord::Absent => return Verdict::Unknown(Why::Absent),
            CachedRecord::Unreadable(why) => return Verdict::Unknown(Why::Record(why.to_string())),
            CachedRecord::Present(r) => r,
        };
        // A merge follows its batch: once that is at a newer version, only runs of that will do.
        if record.version < self.of.version {
            return Verdict::Unknown(Why::Early(record.version));
        }
        let of = Of { name: self.of.name.clone(), version: record.version };
        let l = look(settings, &of, &self.follows, know, runs);
        // A run of a newer version was accepted with that on record: this reading is older.
        if l.ahead {
            return Verdict::Unknown(Why::Unread);
        }
        if l.too_many {
            return Verdict::Unknown(Why::Many);
        }
        if let Some(job) = l.unreadable.first() {
            return Verdict::Unknown(Why::Unreadable(job.clone()));
        }
        if !l.unread.is_empty() {
            return Verdict::Unknown(Why::Jobs(l.unread.len()));
        }
        if !l.old.is_empty() || !l.missing.is_empty() {
            return Verdict::Stale(of.version, l);
        }
        match l.unfinished.first() {
            Some(job) => Verdict::Unknown(Why::Unfinished(job.clone())),
            None => Verdict::Fresh(of.version),
        }
    }
}

impl Verdict {
    /// Whether a task of the merge may start.
    #[must_use]
    pub fn may_start(&self) -> bool {
        matches!(self, Verdict::Fresh(_))
    }

    /// Whether a running task must be stopped, with nothing saved: its inputs are known to be old, and its write has not
    /// begun. What is merely not known stops nothing.
    #[must_use]
    pub fn must_stop(&self, held: &CachedRecord, writer: &Writer) -> bool {
        let writes = || match held {
            CachedRecord::Present(r) => Batch::read(r).is_ok_and(|b| b.held_by(writer).is_some()),
            _ => false,
        };
        matches!(self, Verdict::Stale(..)) && !writes()
    }

    /// In a sentence, for people.
    #[must_use]
    pub fn reason(&self) -> String {
        match self {
            Verdict::Fresh(v) => format!("all that it rests on is of version {v}"),
            Verdict::Unknown(why) => why.to_string(),
            Verdict::Stale(v, l) => {
                let old = l.old.iter().map(ToString::to_string);
                let missing = l.missing.iter().map(|c| format!("no run of {c}"));
                let list: Vec<String> = old.chain(missing).collect();
                format!("the batch is at version {v}: {}", list.join(", "))
            }
        }
    }
}

/// What a writer is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200: it holds this permit, on record already.
    Holds(Permit),
    /// 200, but only once this is on record, on condition of the mark of the reading.
    Write(Batch, Permit),
    /// 409: what is old.
    Stale(u64, Look),
    /// 409: a newer attempt of the task writes.
    Overtaken,
    /// 503: not known, or no room; ask again.
    Later(String),
}

/// Answers a writer's question from a reading that began after it came.
#[must_use]
pub fn permit(verdict: &Verdict, held: &CachedRecord, writer: &Writer, bytes: usize) -> Answer {
    let CachedRecord::Present(record) = held else { return Answer::Later(verdict.reason()) };
    let batch = match Batch::read(record) {
        Ok(b) => b,
        Err(why) => return Answer::Later(why.to_string()),
    };
    // A write under way goes on; the newer version is marked as after it.
    if let Some(p) = batch.held_by(writer) {
        return Answer::Holds(p.clone());
    }
    match verdict {
        Verdict::Fresh(_) => {}
        Verdict::Stale(v, l) => return Answer::Stale(*v, l.clone()),
        Verdict::Unknown(why) => return Answer::Later(why.to_string()),
    }
    match batch.grant(writer, bytes) {
        Grant::Held(p) => Answer::Holds(p),
        Grant::New(b, p) => Answer::Write(b, p),
        Grant::Overtaken => Answer::Overtaken,
        Grant::Full => Answer::Later("too many permits are held".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::upstream::Says;
    use hazelsaddle_coordination::record::{CoordinationRecord, Unreadable};

    fn settings() -> Settings {
        let mut s = Settings::default();
        s.set("sources", "split").expect("valid");
        s
    }
    fn merge() -> Merge {
        Merge { of: Of { name: "b".into(), version: 7 }, follows: vec!["s".into()] }
    }
    fn at(version: u64) -> impl Fn(&str) -> Known {
        move |_| {
            let batch = Some(Of { name: "b".into(), version });
            Known::Ended(Says { class: Some("split".into()), batch, follows: vec![] })
        }
    }
    fn held(version: u64) -> CachedRecord {
        CachedRecord::Present(Batch::first(version).record())
    }
    fn verdict(held: &CachedRecord, read: u64, runs: &[Run]) -> Verdict {
        merge().verdict(&settings(), held, at(read), &runs.iter().cloned().collect())
    }

    #[test]
    fn a_merge_follows_its_batch() {
        assert_eq!(verdict(&held(7), 7, &[]), Verdict::Fresh(7));
        assert!(matches!(verdict(&held(8), 7, &[]), Verdict::Stale(8, _)));
        let new = Run { job: "n".into(), class: "split".into(), version: 8 };
        assert_eq!(verdict(&held(8), 7, &[new]), Verdict::Fresh(8));
        assert_eq!(verdict(&held(6), 6, &[]), Verdict::Unknown(Why::Early(6)));
        assert_eq!(verdict(&held(7), 8, &[]), Verdict::Unknown(Why::Unread), "read too early");
    }

    #[test]
    fn nothing_rests_on_what_is_not_known() {
        for h in [CachedRecord::NotRead, CachedRecord::Absent, CachedRecord::Unreadable(Unreadable::Newer(9))]
        {
            let v = verdict(&h, 7, &[]);
            assert!(matches!(v, Verdict::Unknown(_)) && !v.may_start(), "{h:?}");
        }
        let v = |k: Known| merge().verdict(&settings(), &held(7), |_| k.clone(), &BTreeSet::new());
        assert_eq!(v(Known::Unread), Verdict::Unknown(Why::Jobs(1)));
        assert_eq!(v(Known::Unreadable), Verdict::Unknown(Why::Unreadable("s".into())));
        let Known::Ended(says) = at(7)("s") else { panic!("not ended") };
        assert_eq!(v(Known::Live(says)), Verdict::Unknown(Why::Unfinished("s".into())));
        let w = Writer { job: "m".into(), attempt: 1, task: None };
        assert!(!v(Known::Unread).must_stop(&held(7), &w), "what is not known stops nothing");
    }

    #[test]
    fn a_write_under_way_is_neither_stopped_nor_refused() {
        let w = Writer { job: "m".into(), attempt: 1, task: None };
        let Answer::Write(b, p) = permit(&verdict(&held(7), 7, &[]), &held(7), &w, 2000) else {
            panic!("no permit")
        };
        let Ok(crate::batch::Put::Raised(b)) = b.put(8) else { panic!("not raised") };
        let h = CachedRecord::Present(b.record());
        let v = verdict(&h, 7, &[]);
        assert!(!v.must_stop(&h, &w));
        assert_eq!(permit(&v, &h, &w, 2000), Answer::Holds(p));
        let next = Writer { attempt: 2, ..w };
        assert!(v.must_stop(&h, &next));
        assert!(matches!(permit(&v, &h, &next, 2000), Answer::Stale(8, _)));
        let damaged = CachedRecord::Present(CoordinationRecord::open(7, serde_json::json!(1)));
        assert!(matches!(permit(&verdict(&damaged, 7, &[]), &damaged, &next, 2000), Answer::Later(_)));
    }
}
