//! What a team's record says of a claim beside its room: when its job was accepted, and what the job waits for.
//!
//! A claim is `[cpus, gpus]`, `[cpus, gpus, accepted]` or `[cpus, gpus, accepted, cpus wanted, gpus wanted, priority]`.
//! The first version reads the first two and drops the rest when it writes the record: until the job's owner has
//! written again its place in the team's order is unknown (`guarantee::Footing::Unknown`), and nobody leaves room to
//! what it waits for. Neither lets a team use more than its limit.

use crate::units::Room;
use serde_json::{Value, json};

/// Room that a job needs at once and that its team has no claim left for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Want {
    /// What it lacks.
    pub room: Room,
    /// The job's priority.
    pub priority: u8,
}

/// What a record says of a job beside its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Note {
    /// When it was accepted, in seconds.
    pub accepted: Option<u64>,
    /// What it waits for.
    pub want: Option<Want>,
}

impl Note {
    /// A claim as it is written.
    pub fn entry(self, claim: Room) -> Value {
        let at = self.accepted.unwrap_or(0);
        match (self.want, at) {
            (Some(w), _) => json!([claim.cpus, claim.gpus, at, w.room.cpus, w.room.gpus, w.priority]),
            (None, 0) => json!([claim.cpus, claim.gpus]),
            (None, _) => json!([claim.cpus, claim.gpus, at]),
        }
    }

    /// Reads what stands beside a claim. What can't be read counts as not said.
    pub fn read(v: &Value) -> Note {
        let part = |i: usize| v.get(i).and_then(Value::as_i64).filter(|x| *x >= 0);
        let want = match (part(3), part(4), part(5).and_then(|p| u8::try_from(p).ok())) {
            (Some(cpus), Some(gpus), Some(priority)) => {
                Some(Want { room: Room { cpus, gpus, memory: 0 }, priority })
            }
            _ => None,
        };
        Note { accepted: part(2).filter(|a| *a > 0).map(|a| a as u64), want }
    }

    /// The order in which jobs that wait for their team's room get it.
    pub fn rank<'a>(self, job: &'a str) -> Option<(std::cmp::Reverse<u8>, u64, &'a str)> {
        Some((std::cmp::Reverse(self.want?.priority), self.accepted.unwrap_or(u64::MAX), job))
    }
}
