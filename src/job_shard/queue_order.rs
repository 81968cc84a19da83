//! The order in which jobs are placed.

use super::JobShard;
use super::job::Job;
use crate::spec::JobKind;
use crate::units::Micros;
use std::cmp::Reverse;

/// How late an array is relative to its objectives. Ordered: the lesser value is placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Lateness {
    /// How many objectives it can no longer meet.
    missed: u8,
    /// Its remaining run time if the backlog is long relative to its objectives, else 0.
    remaining_work: u64,
}

impl JobShard {
    /// Jobs in the order in which they are placed: by priority; then jobs that can still meet the earliest
    /// objective of their class, jobs that can meet a later one, and the rest; then by age. If there is far
    /// more work than capacity, arrays of one such group are ordered by their remaining run time instead: a
    /// few large late jobs are better than all jobs late.
    pub fn queue_order(&self) -> Vec<String> {
        let backlog = self.backlog_time();
        let queued = self.jobs.iter().filter(|(_, job)| is_queued(job));
        let mut order: Vec<_> = queued.map(|(id, job)| (self.queue_key(job, backlog), id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// How long the remaining work of all arrays takes with the tasks that run now.
    fn backlog_time(&self) -> Micros {
        let arrays = || self.jobs.values().filter(|job| job.spec.kind == JobKind::Array && is_queued(job));
        let work = arrays().fold(0u64, |sum, job| sum.saturating_add(self.remaining_work_of(job)));
        let running: usize = arrays().map(|job| job.assignments.len()).sum();
        Micros(work / running.max(1) as u64)
    }

    fn queue_key(&self, job: &Job, backlog: Micros) -> (Reverse<u8>, Lateness, Micros, Micros) {
        let overdue = self.is_overdue_to_begin(job);
        // A job that has waited long for its first task is ordered by age. Ordered by remaining run time, or
        // when it is late anyway, it could be overtaken forever.
        let is_ordered_by_age = job.spec.kind != JobKind::Array || overdue;
        let lateness = if is_ordered_by_age { Lateness::default() } else { self.lateness(job, backlog) };
        // Of two jobs of releases, the one that is due first goes first. A job of a release precedes its
        // equals, but not jobs that are overdue to begin.
        let due = if overdue { Micros(0) } else { job.release_due.unwrap_or(Micros(u64::MAX)) };
        (Reverse(job.spec.priority), lateness, due, job.accepted_wall)
    }

    /// The remaining run time of an array if its tasks ran one after the other.
    fn remaining_work_of(&self, job: &Job) -> u64 {
        // Users' estimates may have any value.
        u64::from(job.unfinished_tasks()).saturating_mul(self.run_times.likely(&job.spec).0.max(1))
    }

    fn lateness(&self, job: &Job, backlog: Micros) -> Lateness {
        let ready = job.ready_wall();
        let earliest_run_time = self.wall_clock.since(ready).0 + self.run_times.likely(&job.spec).0;
        let finished = self.objectives.iter().filter(|o| o.kind == "finished" && o.class == job.spec.class);
        let mut time_limits: Vec<u64> = finished.map(|o| Micros::from_secs(o.within_s).0).collect();
        // Deadlines are measured from submission, however long the job waited for its dependencies.
        let waited = ready.since(job.accepted_wall);
        time_limits.extend(job.spec.deadline.map(|deadline| deadline.since(waited).0));
        time_limits.extend(job.release_due.map(|due| due.since(ready).0));
        let missed = time_limits.iter().filter(|&&within| earliest_run_time > within).count();
        let is_backlogged = time_limits.iter().min().is_some_and(|&within| backlog.0 > within / 2);
        Lateness {
            missed: missed.min(250) as u8,
            remaining_work: if is_backlogged { self.remaining_work_of(job) } else { 0 },
        }
    }
}

/// Whether a job may be placed.
fn is_queued(job: &Job) -> bool {
    job.pending_outcome.is_none() && !job.is_waiting()
}
