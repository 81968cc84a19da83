//! Decides what may start, who gets a permit, and which running merge must stop.
//!
//! Nothing that is not known ever lets a merge start or write.

use crate::batch::{Batch, Permit, PermitGrant, Writer};
use crate::settings::Settings;
use crate::upstream::{BatchVersion, JobLookup, Run, UpstreamFindings, inspect_upstream};
use hazelsaddle_coordination::record_cache::CachedRecord;
use std::collections::BTreeSet;

/// What the records say of a merge and of all that is upstream of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All of it is of this version of the batch.
    Fresh(u64),
    /// Something is stale or missing; the batch's version.
    Stale(u64, UpstreamFindings),
    /// Something is not known, or not done.
    Unknown(UnknownCause),
}

/// Why nothing can be said.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownCause {
    /// The batch's record was not read since it had to be.
    #[error("the record of the batch is still to be read")]
    RecordUnread,
    /// The batch's record is damaged or of a newer form.
    #[error("the record of the batch: {0}")]
    RecordUnreadable(String),
    /// No version of the batch is on record.
    #[error("no version of the batch is on record")]
    NoVersion,
    /// The merge is of a version that is not yet on record.
    #[error("version {0} of the batch is on record, and the merge is of a newer one")]
    NotYetOnRecord(u64),
    /// Some records are still to be read.
    #[error("{0} of the jobs that it rests on are still to be read")]
    JobsUnread(usize),
    /// Some records can't be read.
    #[error("the record of {0} can't be read")]
    JobUnreadable(String),
    /// More is upstream than can be walked.
    #[error("it rests on too many jobs")]
    TooManyJobs,
    /// Something that it rests on has not ended.
    #[error("{0} has not ended")]
    Unfinished(String),
}

/// What a merge declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The batch and the version that it claims.
    pub batch: BatchVersion,
    /// The jobs that it follows.
    pub dependencies: Vec<String>,
}

impl Merge {
    /// What the records say of it: `held` is the batch's, `job` gives those of jobs, `runs` are the done runs of the batch.
    #[must_use]
    pub fn assess(
        &self,
        settings: &Settings,
        held: &CachedRecord,
        job: impl Fn(&str) -> JobLookup,
        runs: &BTreeSet<Run>,
    ) -> Verdict {
        let record = match held {
            CachedRecord::NotRead => return Verdict::Unknown(UnknownCause::RecordUnread),
            CachedRecord::Absent => return Verdict::Unknown(UnknownCause::NoVersion),
            CachedRecord::Unreadable(why) => {
                return Verdict::Unknown(UnknownCause::RecordUnreadable(why.to_string()));
            }
            CachedRecord::Present(record) => record,
        };
        // A merge follows its batch: once that is at a newer version, only runs of that version count.
        if record.version < self.batch.version {
            return Verdict::Unknown(UnknownCause::NotYetOnRecord(record.version));
        }
        let of = BatchVersion { name: self.batch.name.clone(), version: record.version };
        let found = inspect_upstream(settings, &of, &self.dependencies, job, runs);
        // A run of a newer version was accepted with that on record: this reading of the batch's record is older.
        if found.ahead {
            return Verdict::Unknown(UnknownCause::RecordUnread);
        }
        if found.too_many {
            return Verdict::Unknown(UnknownCause::TooManyJobs);
        }
        if let Some(job) = found.unreadable.first() {
            return Verdict::Unknown(UnknownCause::JobUnreadable(job.clone()));
        }
        if !found.unread.is_empty() {
            return Verdict::Unknown(UnknownCause::JobsUnread(found.unread.len()));
        }
        if !found.stale_runs.is_empty() || !found.missing_classes.is_empty() {
            return Verdict::Stale(of.version, found);
        }
        match found.unfinished.first() {
            Some(job) => Verdict::Unknown(UnknownCause::Unfinished(job.clone())),
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

    /// Whether a running task must be stopped, with nothing saved: its inputs are known to be stale, and its write has not
    /// begun. What is merely not known stops nothing.
    #[must_use]
    pub fn must_stop(&self, held: &CachedRecord, writer: &Writer) -> bool {
        let has_permit = || match held {
            CachedRecord::Present(record) => {
                Batch::read(record).is_ok_and(|batch| batch.permit_of(writer).is_some())
            }
            _ => false,
        };
        matches!(self, Verdict::Stale(..)) && !has_permit()
    }

    /// In words, for people.
    #[must_use]
    pub fn reason(&self) -> String {
        match self {
            Verdict::Fresh(version) => format!("all that it rests on is of version {version}"),
            Verdict::Unknown(cause) => cause.to_string(),
            Verdict::Stale(version, found) => {
                let stale = found.stale_runs.iter().map(ToString::to_string);
                let missing = found.missing_classes.iter().map(|class| format!("no run of {class}"));
                let list: Vec<String> = stale.chain(missing).collect();
                format!("the batch is at version {version}: {}", list.join(", "))
            }
        }
    }
}

/// What a writer is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// 200: it holds this permit, on record already.
    AlreadyHeld(Permit),
    /// 200, but only once this batch is on record, written on condition that the record is unchanged.
    GrantAfterWrite(Batch, Permit),
    /// 409: the batch's version, and what is stale or missing.
    Stale(u64, UpstreamFindings),
    /// 409: a newer attempt of the task writes.
    Superseded,
    /// 503: something is not known, or the record is full; ask again.
    Retry(String),
}

/// Answers a writer that asks for a permit, from a reading of the record that began after it asked. `value_limit`: longest
/// value of the state service, in bytes.
#[must_use]
pub fn decide_permit(
    verdict: &Verdict,
    held: &CachedRecord,
    writer: &Writer,
    value_limit: usize,
) -> PermitAnswer {
    let CachedRecord::Present(record) = held else { return PermitAnswer::Retry(verdict.reason()) };
    let batch = match Batch::read(record) {
        Ok(batch) => batch,
        Err(error) => return PermitAnswer::Retry(error.to_string()),
    };
    // A write under way goes on; the record says that the newer version came after it.
    if let Some(permit) = batch.permit_of(writer) {
        return PermitAnswer::AlreadyHeld(permit.clone());
    }
    match verdict {
        Verdict::Fresh(_) => {}
        Verdict::Stale(version, found) => return PermitAnswer::Stale(*version, found.clone()),
        Verdict::Unknown(cause) => return PermitAnswer::Retry(cause.to_string()),
    }
    match batch.grant_permit(writer, value_limit) {
        PermitGrant::AlreadyHeld(permit) => PermitAnswer::AlreadyHeld(permit),
        PermitGrant::New(next, permit) => PermitAnswer::GrantAfterWrite(next, permit),
        PermitGrant::Superseded => PermitAnswer::Superseded,
        PermitGrant::RecordFull => PermitAnswer::Retry("too many permits are held".into()),
    }
}

#[cfg(test)]
mod tests;
