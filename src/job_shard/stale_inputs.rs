//! Merges whose inputs become stale while they run, and the status of a merge's attempts.

use super::JobShard;
use crate::spec::JobKind;
use crate::units::Micros;

/// The status of an attempt as seen by its job's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// It may run.
    Active,
    /// It is being stopped.
    Stopping,
    /// It has ended or never existed.
    Ended,
    /// Not all machines that may run it have reported.
    Unknown,
}

impl JobShard {
    /// The status of an attempt of a live job. `task` is None for a gang, whose attempts are those of the
    /// job.
    pub fn attempt_status(&self, id: &str, task: Option<u32>, attempt: u64) -> AttemptStatus {
        let Some(job) = self.jobs.get(id) else { return AttemptStatus::Ended };
        let is_of = |index: u32| task.is_none_or(|task| task == index);
        let assigned = job.assignments.iter().find(|(index, a)| is_of(**index) && a.attempt == attempt);
        if let Some((_, assignment)) = assigned {
            return match assignment.is_stopping() {
                true => AttemptStatus::Stopping,
                false => AttemptStatus::Active,
            };
        }
        let mut alive = self.retired_starts.alive_attempts_of(id);
        match (alive.any(|(key, _)| is_of(key.index) && key.attempt == attempt), job.has_known_starts()) {
            (true, _) => AttemptStatus::Stopping,
            (false, true) => AttemptStatus::Ended,
            (false, false) => AttemptStatus::Unknown,
        }
    }

    /// Stops the running tasks of a merge without a grace period, since results from stale inputs are
    /// worthless. Tasks for which `writes` returns true have begun to write and keep running. Returns how
    /// many were stopped.
    pub fn stop_stale_attempts(&mut self, id: &str, writes: impl Fn(Option<u32>, u64) -> bool) -> usize {
        let Some(job) = self.jobs.get(id) else { return 0 };
        let gang = job.spec.kind == JobKind::Gang;
        let stale: Vec<u32> = job
            .assignments
            .iter()
            .filter(|(_, assignment)| !assignment.is_stopping())
            .filter(|(index, assignment)| !writes((!gang).then_some(**index), assignment.attempt))
            .map(|(index, _)| *index)
            .collect();
        if stale.is_empty() {
            return 0;
        }
        if gang {
            self.stop_gang(id, Micros(0));
        } else {
            for &index in &stale {
                self.stop_task(id, index, Micros(0));
            }
        }
        stale.len()
    }

    /// Whether any task of a job is assigned.
    pub fn has_assignments(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|job| !job.assignments.is_empty())
    }
}
