//! The record of a batch: its version and the permits to write its tables.
//!
//! Every change is a value to be written on condition that the record is still the one that was read.

use hazelsaddle_coordination::record::{CoordinationRecord, TransitionError, Unreadable};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Most entries of [`Batch::after`] kept of permits that have ended; the oldest are dropped first.
const ENDED_WRITE_LIMIT: usize = 32;
/// Longest entry of [`Batch::after`] in a record, in bytes: two numbers of 64 bits and what separates them.
const AFTER_ENTRY_BYTES: usize = 44;

/// Who writes: one attempt of a task. A gang writes as one: its permit holds for all its tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Writer {
    /// The merge job.
    pub job: String,
    /// The attempt.
    pub attempt: u64,
    /// The task's index; None for a gang.
    pub task: Option<u32>,
}

/// A permit to write tables of a batch.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The merge job.
    pub job: String,
    /// The attempt.
    pub attempt: u64,
    /// The task's index; missing for a gang.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// A fencing token: rises with each permit of the batch, so that the tables' keeper can refuse an older writer.
    pub fence: u64,
    /// The version of the batch when it was given.
    pub version: u64,
}

impl Permit {
    /// Whether it was given to this task, in whatever attempt.
    fn is_of_task(&self, writer: &Writer) -> bool {
        self.job == writer.job && self.task == writer.task
    }
}

/// What is on record of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Its version. It only rises.
    pub version: u64,
    /// The fence of the newest permit. It only rises, also when permits end.
    pub fence: u64,
    /// Permits that are held.
    pub permits: Vec<Permit>,
    /// `(V, F)`: V is the first version recorded while the permit with fence F was held, so the write under F came before V.
    pub outdated_writes: Vec<(u64, u64)>,
}

/// What putting a version on record changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionChange {
    /// The batch is at this version already; nothing is to be written.
    Unchanged,
    /// This is to be written, on condition that the record is unchanged.
    Raised(Batch),
}

/// What a request for a permit changes, if the inputs are fresh.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitGrant {
    /// This attempt holds one; nothing is to be written. It stays valid when a newer version is recorded: that came after
    /// this write.
    AlreadyHeld(Permit),
    /// This batch is to be written, on condition that the record is unchanged; only then is the permit given.
    New(Batch, Permit),
    /// A newer attempt of the task holds one.
    Superseded,
    /// No more permits fit into the record: ask again.
    RecordFull,
}

#[derive(Deserialize)]
struct Body {
    fence: u64,
    permits: Vec<Permit>,
    after: Vec<(u64, u64)>,
}

impl Batch {
    /// A batch that was never on record.
    #[must_use]
    pub fn new(version: u64) -> Batch {
        Batch { version, ..Batch::default() }
    }

    /// Reads a record.
    ///
    /// # Errors
    /// If its body is damaged.
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

    /// The record to be written.
    #[must_use]
    pub fn record(&self) -> CoordinationRecord {
        let body: Value =
            json!({"fence": self.fence, "permits": self.permits, "after": self.outdated_writes});
        CoordinationRecord::open(self.version, body)
    }

    /// Puts a version on record that an operator or a submitted run names.
    ///
    /// # Errors
    /// If a higher one is on record.
    pub fn put_version(&self, version: u64) -> Result<VersionChange, TransitionError> {
        if version < self.version {
            return Err(TransitionError::Version(self.version));
        }
        if version == self.version {
            return Ok(VersionChange::Unchanged);
        }
        let mut next = Batch { version, ..self.clone() };
        for permit in &self.permits {
            // The first newer version is enough: those after it came after the write as well.
            if !self.outdated_writes.iter().any(|(_, fence)| *fence == permit.fence) {
                next.outdated_writes.push((version, permit.fence));
            }
        }
        next.drop_oldest_ended_writes();
        Ok(VersionChange::Raised(next))
    }

    /// Gives a permit to a writer whose inputs are fresh. `value_limit`: longest value of the state service, in bytes.
    #[must_use]
    pub fn grant_permit(&self, writer: &Writer, value_limit: usize) -> PermitGrant {
        let held = self.permits.iter().filter(|permit| permit.is_of_task(writer));
        match held.max_by_key(|permit| permit.attempt) {
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
        // An older attempt of the task has ended, or a newer one could not ask.
        next.permits.retain(|other| !other.is_of_task(writer));
        next.permits.push(permit.clone());
        next.drop_oldest_ended_writes();
        if next.longest_record() > value_limit {
            next.outdated_writes.retain(|(_, fence)| next.permits.iter().any(|held| held.fence == *fence));
            if next.longest_record() > value_limit {
                return PermitGrant::RecordFull;
            }
        }
        PermitGrant::New(next, permit)
    }

    /// How long the record gets if a newer version comes: that must always fit.
    fn longest_record(&self) -> usize {
        self.record().to_value().to_string().len() + self.permits.len() * AFTER_ENTRY_BYTES
    }

    /// The permit that a writer holds.
    #[must_use]
    pub fn permit_of(&self, writer: &Writer) -> Option<&Permit> {
        self.permits.iter().find(|permit| permit.is_of_task(writer) && permit.attempt == writer.attempt)
    }

    /// Gives back the permits whose attempts have ended. None: none has.
    #[must_use]
    pub fn release_permits(&self, ended: impl Fn(&Permit) -> bool) -> Option<Batch> {
        let mut next = self.clone();
        next.permits.retain(|permit| !ended(permit));
        (next.permits.len() < self.permits.len()).then_some(next)
    }

    /// Drops the oldest entries of permits that have ended; those of permits that are held stay.
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
