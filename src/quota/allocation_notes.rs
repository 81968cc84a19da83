//! The format of an entry in a team's record: a job's allocation, the time at which the job was accepted, and its
//! request.
//!
//! An entry is `[cpus, gpus]`, `[cpus, gpus, accepted]` or
//! `[cpus, gpus, accepted, cpus lacking, gpus lacking, priority]`. Controllers of version 1 read the first two numbers
//! and drop the others when they write the record. Until the job's leader writes the entry again, the job's place in the
//! team's order is unknown (`QuotaTier::Unknown`), and no resources are left free for its request. In neither case can a
//! team exceed its limit.

use crate::units::Resources;
use serde_json::{Value, json};
use std::cmp::Reverse;

/// Resources that a job needs at once but cannot get because its team's quota is used up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct QuotaRequest {
    /// The resources that the job lacks.
    pub(super) lacking: Resources,
    /// The job's priority.
    pub(super) priority: u8,
}

/// The rest of a job's entry beside its allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct AllocationNote {
    /// When the job was accepted, in seconds of wall-clock time.
    pub(super) accepted: Option<u64>,
    /// The resources that the job waits for.
    pub(super) request: Option<QuotaRequest>,
}

/// The order in which waiting jobs get their team's quota: by priority, then by age, then by id.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePlace<'a> {
    pub(super) priority: Reverse<u8>,
    pub(super) accepted: u64,
    pub(super) job: &'a str,
}

impl AllocationNote {
    /// Encodes an entry.
    pub(super) fn encode_entry(self, allocation: Resources) -> Value {
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

    /// Decodes an entry. None if it has no valid allocation; other parts that can't be read count as missing.
    pub(super) fn decode_entry(entry: &Value) -> Option<(Resources, AllocationNote)> {
        let number = |index: usize| entry.get(index).and_then(Value::as_i64);
        let allocation = Resources { cpus: number(0)?, gpus: number(1)?, memory: 0 };
        let accepted = number(2).filter(|seconds| *seconds > 0).map(|seconds| seconds as u64);
        Some((allocation, AllocationNote { accepted, request: decode_request(entry) }))
    }

    /// The place of a waiting job in the queue for quota; None if it does not wait.
    pub(super) fn place(self, job: &str) -> Option<QueuePlace<'_>> {
        let priority = Reverse(self.request?.priority);
        Some(QueuePlace { priority, accepted: self.accepted.unwrap_or(u64::MAX), job })
    }
}

fn decode_request(entry: &Value) -> Option<QuotaRequest> {
    let number = |index: usize| entry.get(index).and_then(Value::as_i64).filter(|number| *number >= 0);
    let lacking = Resources { cpus: number(3)?, gpus: number(4)?, memory: 0 };
    Some(QuotaRequest { lacking, priority: u8::try_from(number(5)?).ok()? })
}

#[cfg(test)]
mod tests;
