//! The form of an entry in a team's record: a job's allocation, when the job was accepted, and what it waits for.
//!
//! An entry is `[cpus, gpus]`, `[cpus, gpus, accepted]` or `[cpus, gpus, accepted, cpus lacking, gpus lacking, priority]`.
//! Controllers of the first version read the first two and drop the rest when they write the record: until the job's
//! leader has written again the job's place in the team's order is unknown (`QuotaTier::Unknown`), and nobody leaves room
//! to what it waits for. Neither lets a team use more than its limit.

use crate::units::Resources;
use serde_json::{Value, json};
use std::cmp::Reverse;

/// Room that a job needs at once and that its team has no allocation left for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuotaRequest {
    /// What it lacks.
    pub(super) lacking: Resources,
    /// The job's priority.
    pub(super) priority: u8,
}

/// What a record says of a job beside its allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AllocationNote {
    /// When it was accepted, in seconds of the time of day.
    pub(super) accepted: Option<u64>,
    /// What it waits for.
    pub(super) request: Option<QuotaRequest>,
}

/// The order in which jobs that wait for their team's room get it: by priority, then by age, then by id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePlace<'a> {
    pub(super) priority: Reverse<u8>,
    pub(super) accepted: u64,
    pub(super) job: &'a str,
}

impl AllocationNote {
    /// An entry as it is written.
    pub(super) fn entry(self, allocation: Resources) -> Value {
        let Resources { cpus, gpus, .. } = allocation;
        let accepted = self.accepted.unwrap_or(0);
        match (self.request, accepted) {
            (Some(QuotaRequest { lacking, priority }), _) => {
                json!([cpus, gpus, accepted, lacking.cpus, lacking.gpus, priority])
            }
            (None, 0) => json!([cpus, gpus]),
            (None, _) => json!([cpus, gpus, accepted]),
        }
    }

    /// Reads an entry: the allocation and what stands beside it. None without an allocation; of what stands beside it,
    /// what can't be read counts as not said.
    pub(super) fn read_entry(entry: &Value) -> Option<(Resources, AllocationNote)> {
        let number = |index: usize| entry.get(index).and_then(Value::as_i64);
        let allocation = Resources { cpus: number(0)?, gpus: number(1)?, memory: 0 };
        let accepted = number(2).filter(|seconds| *seconds > 0).map(|seconds| seconds as u64);
        Some((allocation, AllocationNote { accepted, request: read_request(entry) }))
    }

    /// The place of a job that waits for room; None if it does not wait.
    pub(super) fn place(self, job: &str) -> Option<QueuePlace<'_>> {
        let priority = Reverse(self.request?.priority);
        Some(QueuePlace { priority, accepted: self.accepted.unwrap_or(u64::MAX), job })
    }
}

fn read_request(entry: &Value) -> Option<QuotaRequest> {
    let number = |index: usize| entry.get(index).and_then(Value::as_i64).filter(|number| *number >= 0);
    let lacking = Resources { cpus: number(3)?, gpus: number(4)?, memory: 0 };
    Some(QuotaRequest { lacking, priority: u8::try_from(number(5)?).ok()? })
}

#[cfg(test)]
mod tests;
