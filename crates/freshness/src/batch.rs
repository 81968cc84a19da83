//! The record of a batch: its version and the permits to write its tables.
//!
//! Each change returns a new record, which the caller must write by compare-and-swap against the record that was read.

use hazelsaddle_coordination::record::{CoordinationRecord, TransitionError, Unreadable};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Most entries of [`Batch::outdated_writes`] that are kept for permits that have ended; the oldest are dropped first.
const ENDED_WRITE_LIMIT: usize = 32;
/// Longest entry of [`Batch::outdated_writes`] in a record, in bytes: two 64-bit numbers and their separators.
const OUTDATED_WRITE_BYTES: usize = 44;

/// The writer that requests or holds a permit: one attempt of a task, or of a whole gang, whose permit is for all its tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Writer {
    /// The merge job.
    pub job: String,
    /// The attempt.
    pub attempt: u64,
    /// The task's index; None for a gang.
    pub task: Option<u32>,
}

/// A permit to write the tables of a batch.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The merge job.
    pub job: String,
    /// The attempt.
    pub attempt: u64,
    /// The task's index; None for a gang.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// The fencing token. It rises with each permit of the batch, so that the storage of the tables can reject writers with
    /// an older one.
    pub fence: u64,
    /// The version of the batch when the permit was granted.
    pub version: u64,
}

impl Permit {
    /// Whether it was granted to this writer's task, in any attempt.
    fn is_of_task(&self, writer: &Writer) -> bool {
        self.job == writer.job && self.task == writer.task
    }
}

/// The record of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Batch {
    /// The version. It only rises.
    pub version: u64,
    /// The fencing token of the newest permit. It only rises, also when permits end.
    pub fence: u64,
    /// Permits that are held.
    pub permits: Vec<Permit>,
    /// Writes that were under way when a newer version was recorded, as pairs `(version, fence)`: `version` is the first one
    /// recorded while the permit with fencing token `fence` was held, so that write precedes it.
    pub outdated_writes: Vec<(u64, u64)>,
}

/// The result of recording a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionChange {
    /// The batch already has this version; nothing has to be written.
    Unchanged,
    /// The new record, to be written by compare-and-swap.
    Raised(Batch),
}

/// The result of a permit request whose inputs are fresh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitGrant {
    /// This attempt already holds a permit; nothing has to be written. The permit stays valid when a newer version is
    /// recorded: the write precedes that version.
    AlreadyHeld(Permit),
    /// The new record, to be written by compare-and-swap, and the permit, which is granted only once that has succeeded.
    New(Batch, Permit),
    /// A newer attempt of the task holds a permit.
    Superseded,
    /// No further permit fits into the record; the writer has to retry.
    RecordFull,
}

/// The body of the record as it is stored.
#[derive(Deserialize)]
struct Body {
    fence: u64,
    permits: Vec<Permit>,
    after: Vec<(u64, u64)>,
}

impl Batch {
    /// A batch that has no record yet.
    #[must_use]
    pub fn new(version: u64) -> Batch {
        Batch { version, ..Batch::default() }
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// If its body is malformed.
    pub fn read(record: &CoordinationRecord) -> Result<Batch, Unreadable> {
        let body: Body =
            serde_json::from_value(record.body.clone()).map_err(|_| Unreadable::Damaged("body"))?;
        Ok(Batch {
            version: record.version,
            fence: body.fence,
            permits: body.permits,
            outdated_writes: body.after,
        })
    }

    /// Encodes the record.
    #[must_use]
    pub fn to_record(&self) -> CoordinationRecord {
        let body: Value =
            json!({"fence": self.fence, "permits": self.permits, "after": self.outdated_writes});
        CoordinationRecord::open(self.version, body)
    }

    /// Records a version that an operator or a submitted run names.
    ///
    /// # Errors
    /// If a higher version is recorded.
    pub fn put_version(&self, version: u64) -> Result<VersionChange, TransitionError> {
        if version < self.version {
            return Err(TransitionError::Version(self.version));
        }
        if version == self.version {
            return Ok(VersionChange::Unchanged);
        }
        let mut next = Batch { version, ..self.clone() };
        for permit in &self.permits {
            // One entry per permit is enough: the write also precedes all later versions.
            if !self.outdated_writes.iter().any(|(_, fence)| *fence == permit.fence) {
                next.outdated_writes.push((version, permit.fence));
            }
        }
        next.drop_oldest_ended_writes();
        Ok(VersionChange::Raised(next))
    }

    /// Grants a permit to a writer whose inputs are fresh. `value_limit`: longest value of the state service, in bytes.
    #[must_use]
    pub fn grant_permit(&self, writer: &Writer, value_limit: usize) -> PermitGrant {
        let held_by_task = self.permits.iter().filter(|permit| permit.is_of_task(writer));
        match held_by_task.max_by_key(|permit| permit.attempt) {
            Some(permit) if permit.attempt == writer.attempt => {
                return PermitGrant::AlreadyHeld(permit.clone());
            }
            Some(permit) if permit.attempt > writer.attempt => return PermitGrant::Superseded,
            _ => {}
        }
        let permit = Permit {
            job: writer.job.clone(),
            attempt: writer.attempt,
            task: writer.task,
            fence: self.fence + 1,
            version: self.version,
        };
        let mut next = Batch { fence: permit.fence, ..self.clone() };
        // Any other permit of this task belongs to an older attempt, which has ended: otherwise this attempt would not run.
        next.permits.retain(|other| !other.is_of_task(writer));
        next.permits.push(permit.clone());
        next.drop_oldest_ended_writes();
        if next.max_record_bytes() > value_limit {
            next.outdated_writes.retain(|(_, fence)| next.permits.iter().any(|held| held.fence == *fence));
            if next.max_record_bytes() > value_limit {
                return PermitGrant::RecordFull;
            }
        }
        PermitGrant::New(next, permit)
    }

    /// Upper bound of the record's length after a newer version is recorded, in bytes. Recording a version must never fail
    /// for lack of space.
    fn max_record_bytes(&self) -> usize {
        self.to_record().to_value().to_string().len() + self.permits.len() * OUTDATED_WRITE_BYTES
    }

    /// The permit that a writer holds.
    #[must_use]
    pub fn find_permit(&self, writer: &Writer) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.is_of_task(writer) && permit.attempt == writer.attempt)
    }

    /// Releases the permits whose attempts have ended. None if there are none.
    #[must_use]
    pub fn release_permits(&self, ended: impl Fn(&Permit) -> bool) -> Option<Batch> {
        let mut next = self.clone();
        next.permits.retain(|permit| !ended(permit));
        (next.permits.len() < self.permits.len()).then_some(next)
    }

    /// Drops the oldest entries of permits that have ended, down to [`ENDED_WRITE_LIMIT`]. Entries of held permits stay.
    fn drop_oldest_ended_writes(&mut self) {
        let permits = &self.permits;
        let is_held = |fence: u64| permits.iter().any(|permit| permit.fence == fence);
        let ended = self.outdated_writes.iter().filter(|(_, fence)| !is_held(*fence)).count();
        let mut surplus = ended.saturating_sub(ENDED_WRITE_LIMIT);
        self.outdated_writes.retain(|(_, fence)| {
            let is_dropped = surplus > 0 && !is_held(*fence);
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
    }
}

#[cfg(test)]
mod tests;
