//! Outcomes of jobs, and the cache of recent ones.

use super::JobShard;
use super::retired_starts::Retirement;
use crate::peer::DesiredAction;
use crate::spec::JobKind;
use std::collections::{BTreeMap, VecDeque};

/// Number of outcomes kept in memory; older ones are read from the state store.
const MAX_REMEMBERED_OUTCOMES: usize = 2000;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The outcomes that were last stored or read.
#[derive(Debug, Default)]
pub(super) struct RememberedOutcomes {
    /// By job, with the number of completed tasks.
    by_job: BTreeMap<String, (JobOutcome, u32)>,
    /// Oldest first.
    order: VecDeque<String>,
}

impl RememberedOutcomes {
    pub(super) fn contains(&self, id: &str) -> bool {
        self.by_job.contains_key(id)
    }

    pub(super) fn clear(&mut self) {
        self.by_job.clear();
        self.order.clear();
    }

    fn insert(&mut self, id: &str, outcome: JobOutcome, done: u32) {
        if self.by_job.insert(id.into(), (outcome, done)).is_none() {
            self.order.push_back(id.into());
            if self.order.len() > MAX_REMEMBERED_OUTCOMES
                && let Some(old) = self.order.pop_front()
            {
                self.by_job.remove(&old);
            }
        }
    }
}

impl JobShard {
    /// The outcome of a job and the number of its completed tasks, if cached.
    pub fn outcome_of(&self, id: &str) -> Option<(JobOutcome, u32)> {
        self.outcomes.by_job.get(id).copied()
    }

    /// Caches the outcome of a job that is stored.
    pub fn remember_outcome(&mut self, id: &str, outcome: JobOutcome, done: u32) {
        self.outcomes.insert(id, outcome, done);
    }

    /// Ends a job whose final record is stored: the job is no longer live, and its attempts are retired. A
    /// repeated call has no effect.
    pub fn end_job(&mut self, id: &str, outcome: JobOutcome) {
        // Dependents are notified even if this controller no longer leads the job, since its final record is
        // stored.
        self.apply_dependency_outcome(id, outcome);
        let Some(job) = self.jobs.remove(id) else { return };
        self.start_replication.jobs_changed = true;
        self.end_queue.remove(id, &job);
        self.unregister_dependencies(id, &job);
        self.failures.forget(id);
        tracing::info!(job = id, end = ?outcome, tasks = job.spec.task_count, "job ended");
        self.remember_outcome(id, outcome, job.done.len());
        for (index, assignment) in job.assignments {
            self.unindex_assignment(&assignment.machine, id, index);
            self.retire_attempt(id, index, &assignment, Retirement::stopped(job.spec.resources_per_task));
        }
        for (key, start) in self.retired_starts.attempts_of_job_mut(id) {
            if !start.alive && start.action != DesiredAction::Forget {
                start.action = DesiredAction::Forget;
                self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            }
        }
        self.replan = true;
    }

    /// Marks a task as completed. A gang completes as a whole. Replicas of a service never complete.
    pub(super) fn complete_task(&mut self, id: &str, index: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        match job.spec.kind {
            JobKind::Array => {
                if index < job.spec.task_count {
                    job.done.insert(index);
                }
            }
            JobKind::Gang => {
                for index in 0..job.spec.task_count {
                    job.done.insert(index);
                }
            }
            JobKind::Service => {}
        }
        self.end_queue.mark_changed(id);
        self.replan = true;
    }
}
