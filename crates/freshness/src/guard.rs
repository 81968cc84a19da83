//! Decides which merge may start, which writer gets a permit, and which running merge must stop.
//!
//! A merge starts or writes only if everything that it depends on is known: an unread or unreadable record holds it.

use crate::batch::{Batch, Permit, PermitGrant, Writer};
use crate::settings::Settings;
use crate::upstream::{BatchVersion, JobLookup, Run, UpstreamFindings, inspect_upstream};
use hazelsaddle_coordination::record_cache::CachedRecord;
use std::collections::BTreeSet;

/// Whether a merge's inputs are fresh, according to the records of the batch and of the jobs upstream of the merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All inputs are of this version of the batch.
    Fresh(u64),
    /// Some inputs are stale or missing; with the batch's version.
    Stale(u64, UpstreamFindings),
    /// Some record is unavailable, or some job upstream has not ended.
    Unknown(UnknownCause),
}

/// Why the freshness of a merge can't be decided. The texts are sent to users.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownCause {
    /// The batch's record has not been read recently enough.
    #[error("the record of the batch is still to be read")]
    RecordUnread,
    /// The batch's record is damaged or has a newer format version.
    #[error("the record of the batch: {0}")]
    RecordUnreadable(String),
    /// The batch has no record.
    #[error("no version of the batch is on record")]
    NoVersion,
    /// The merge names a newer version than the recorded one, which is given.
    #[error("version {0} of the batch is on record, and the merge is of a newer one")]
    VersionNotRecorded(u64),
    /// The records of that many jobs upstream have not been read yet.
    #[error("{0} of the jobs that it rests on are still to be read")]
    JobsUnread(usize),
    /// The record of this job upstream can't be decoded.
    #[error("the record of {0} can't be read")]
    JobUnreadable(String),
    /// There are more jobs upstream than [`crate::upstream::UPSTREAM_LIMIT`].
    #[error("it rests on too many jobs")]
    TooManyJobs,
    /// This job upstream has not ended.
    #[error("{0} has not ended")]
    Unfinished(String),
}

/// What a merge declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The batch that it merges, and the version that it names.
    pub batch: BatchVersion,
    /// The jobs that it depends on.
    pub dependencies: Vec<String>,
}

impl Merge {
    /// Decides whether the merge's inputs are fresh. `batch_record` is the batch's record, `job` looks up jobs' records,
    /// `runs` are the successful runs of the batch.
    #[must_use]
    pub fn assess(
        &self,
        settings: &Settings,
        batch_record: &CachedRecord,
        job: impl Fn(&str) -> JobLookup,
        runs: &BTreeSet<Run>,
    ) -> Verdict {
        let record = match batch_record {
            CachedRecord::NotRead => return Verdict::Unknown(UnknownCause::RecordUnread),
            CachedRecord::Absent => return Verdict::Unknown(UnknownCause::NoVersion),
            CachedRecord::Unreadable(error) => {
                return Verdict::Unknown(UnknownCause::RecordUnreadable(error.to_string()));
            }
            CachedRecord::Present(record) => record,
        };
        if record.version < self.batch.version {
            return Verdict::Unknown(UnknownCause::VersionNotRecorded(record.version));
        }
        // The recorded version counts, not the one that the merge names: once the batch has a newer version, only runs of
        // that version are fresh.
        let current = BatchVersion { name: self.batch.name.clone(), version: record.version };
        let findings = inspect_upstream(settings, &current, &self.dependencies, job, runs);
        // A run is accepted only after its version has been recorded, so this copy of the batch's record is a stale read.
        if findings.has_newer_run {
            return Verdict::Unknown(UnknownCause::RecordUnread);
        }
        if findings.has_too_many_jobs {
            return Verdict::Unknown(UnknownCause::TooManyJobs);
        }
        if let Some(job) = findings.unreadable.first() {
            return Verdict::Unknown(UnknownCause::JobUnreadable(job.clone()));
        }
        if !findings.unread.is_empty() {
            return Verdict::Unknown(UnknownCause::JobsUnread(findings.unread.len()));
        }
        if !findings.stale_runs.is_empty() || !findings.missing_classes.is_empty() {
            return Verdict::Stale(current.version, findings);
        }
        match findings.unfinished.first() {
            Some(job) => Verdict::Unknown(UnknownCause::Unfinished(job.clone())),
            None => Verdict::Fresh(current.version),
        }
    }
}

impl Verdict {
    /// Whether tasks of the merge may start.
    #[must_use]
    pub fn can_start(&self) -> bool {
        matches!(self, Verdict::Fresh(_))
    }

    /// Whether a running task must be stopped without a checkpoint: its inputs are known to be stale, and it holds no permit,
    /// so its write has not begun. An unknown verdict stops nothing.
    #[must_use]
    pub fn must_stop(&self, batch_record: &CachedRecord, writer: &Writer) -> bool {
        let has_permit = || match batch_record {
            CachedRecord::Present(record) => {
                Batch::read(record).is_ok_and(|batch| batch.find_permit(writer).is_some())
            }
            _ => false,
        };
        matches!(self, Verdict::Stale(..)) && !has_permit()
    }

    /// The verdict as text for users and operators.
    #[must_use]
    pub fn reason(&self) -> String {
        match self {
            Verdict::Fresh(version) => format!("all that it rests on is of version {version}"),
            Verdict::Unknown(cause) => cause.to_string(),
            Verdict::Stale(version, findings) => {
                let stale = findings.stale_runs.iter().map(ToString::to_string);
                let missing = findings.missing_classes.iter().map(|class| format!("no run of {class}"));
                let list: Vec<String> = stale.chain(missing).collect();
                format!("the batch is at version {version}: {}", list.join(", "))
            }
        }
    }
}

/// The answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// 200: the writer already holds this permit.
    AlreadyHeld(Permit),
    /// 200, but only after this record has been written by compare-and-swap.
    GrantAfterWrite(Batch, Permit),
    /// 409: the batch's version, and the stale or missing inputs.
    Stale(u64, UpstreamFindings),
    /// 409: a newer attempt of the task holds a permit.
    Superseded,
    /// 503: a record is unavailable, a job upstream has not ended, or the batch's record is full; the writer has to retry.
    Retry(String),
}

/// Decides a permit request. `batch_record` must come from a read that began after the request arrived. `value_limit`:
/// longest value of the state service, in bytes.
#[must_use]
pub fn decide_permit(
    verdict: &Verdict,
    batch_record: &CachedRecord,
    writer: &Writer,
    value_limit: usize,
) -> PermitAnswer {
    let CachedRecord::Present(record) = batch_record else { return PermitAnswer::Retry(verdict.reason()) };
    let batch = match Batch::read(record) {
        Ok(batch) => batch,
        Err(error) => return PermitAnswer::Retry(error.to_string()),
    };
    // A write under way may finish even if its inputs are stale by now: the record lists it as preceding the newer version.
    if let Some(permit) = batch.find_permit(writer) {
        return PermitAnswer::AlreadyHeld(permit.clone());
    }
    match verdict {
        Verdict::Fresh(_) => {}
        Verdict::Stale(version, findings) => return PermitAnswer::Stale(*version, findings.clone()),
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
