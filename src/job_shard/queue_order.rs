//! In which order jobs get room.

use super::JobShard;
use super::job::Job;
use crate::spec::JobKind;
use crate::units::Micros;
use std::cmp::Reverse;

/// How an array stands to the times promised for its class. Ordered: what goes first is less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Lateness {
    /// How many of them it can't keep any more.
    missed: u8,
    /// How much it has left to run if the queue is long for what was promised, else 0.
    left: u64,
}

impl JobShard {
    /// Jobs in the order in which they get room: by priority; then those that can still keep the
    /// earliest time promised for their class, those that can keep a later one, the rest; then by
    /// age. When there is far more work than room, arrays of one such group go by what they have
    /// left instead: being late with few large jobs beats being late with all.
    pub fn queue_order(&self) -> Vec<String> {
        let queue = self.queue_length();
        let queued = self.jobs.iter().filter(|(_, job)| is_queued(job));
        let mut order: Vec<_> = queued.map(|(id, job)| (self.queue_key(job, queue), id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// How long the arrays' work takes with the tasks that run now.
    fn queue_length(&self) -> Micros {
        let arrays = || self.jobs.values().filter(|job| job.spec.kind == JobKind::Array && is_queued(job));
        let work = arrays().fold(0u64, |sum, job| sum.saturating_add(self.work_left(job)));
        let running: usize = arrays().map(|job| job.assignments.len()).sum();
        Micros(work / running.max(1) as u64)
    }

    fn queue_key(&self, job: &Job, queue: Micros) -> (Reverse<u8>, Lateness, Micros, Micros) {
        let overdue = self.is_overdue_to_begin(job);
        // A job that has waited for long to begin goes by its age: what goes by what is left, or is late
        // anyway, could be overtaken for ever.
        let by_age = job.spec.kind != JobKind::Array || overdue;
        let lateness = if by_age { Lateness::default() } else { self.lateness(job, queue) };
        // Of two releases the one that is due first; whoever belongs to one goes before its equals, but not
        // before what should have begun by now.
        let due = if overdue { Micros(0) } else { job.release_due.unwrap_or(Micros(u64::MAX)) };
        (Reverse(job.spec.priority), lateness, due, job.accepted_wall)
    }

    /// How long an array's tasks have left to run, one after the other.
    fn work_left(&self, job: &Job) -> u64 {
        // Users' estimates may be anything.
        u64::from(job.unfinished_tasks()).saturating_mul(self.run_times.likely(&job.spec).0.max(1))
    }

    fn lateness(&self, job: &Job, queue: Micros) -> Lateness {
        let ready = job.ready_wall();
        let soonest = self.wall_clock.since(ready).0 + self.run_times.likely(&job.spec).0;
        let finished = self.objectives.iter().filter(|o| o.kind == "finished" && o.class == job.spec.class);
        let mut promised: Vec<u64> = finished.map(|o| Micros::from_secs(o.within_s).0).collect();
        // Deadlines count from the submission, however long the job waited for others.
        let waited = ready.since(job.accepted_wall);
        promised.extend(job.spec.deadline.map(|deadline| deadline.since(waited).0));
        promised.extend(job.release_due.map(|due| due.since(ready).0));
        let missed = promised.iter().filter(|&&within| soonest > within).count();
        let crowded = promised.iter().min().is_some_and(|&within| queue.0 > within / 2);
        Lateness { missed: missed.min(250) as u8, left: if crowded { self.work_left(job) } else { 0 } }
    }
}

/// Whether a job may get room.
fn is_queued(job: &Job) -> bool {
    job.pending_outcome.is_none() && !job.is_waiting()
}
