//! In which order jobs get room.

use super::scheduling_pass::likely;
use super::*;

impl JobShard {
    /// Jobs in the order in which they get room: by priority; then those that can still keep the
    /// earliest time promised for their class, those that can keep a later one, the rest; then by
    /// age. When there is far more work than room, arrays of one such group go by what they have
    /// left instead: being late with few large jobs beats being late with all.
    pub fn order(&self) -> Vec<String> {
        let arrays = || {
            self.jobs.values().filter(|j| j.spec.kind == JobKind::Array && j.pending_outcome.is_none() && !j.waits())
        };
        let work = arrays().fold(0u64, |sum, j| sum.saturating_add(self.left(j)));
        let running: usize = arrays().map(|j| j.assignments.len()).sum();
        let queue = Micros(work / running.max(1) as u64);
        let mut ids: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.pending_outcome.is_none() && !j.waits())
            .map(|(id, j)| {
                // A job that has waited for long to begin goes by its age: what goes by what is left, or is late
                // anyway, could be overtaken for ever.
                let by_age = j.spec.kind != JobKind::Array || self.waits_too_long(j);
                let (late, left) = if by_age { (0, 0) } else { self.standing(j, queue) };
                // Of two releases the one that is due first; whoever belongs to one goes before its equals, but not
                // before what should have begun by now.
                let due = if self.waits_too_long(j) { Micros(0) } else { j.release_due.unwrap_or(Micros(u64::MAX)) };
                ((std::cmp::Reverse(j.spec.priority), late, left, due, j.accepted_wall), id)
            })
            .collect();
        ids.sort_unstable();
        ids.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Whether a job should have begun by now.
    pub(super) fn waits_too_long(&self, j: &Job) -> bool {
        j.assignments.is_empty() && j.done.is_empty() && self.wall_clock.since(j.ready_wall()) >= reservations::DUE
    }

    /// How long an array's tasks have left to run, one after the other.
    fn left(&self, j: &Job) -> u64 {
        // Users' estimates may be anything.
        u64::from(j.spec.tasks - j.done.len()).saturating_mul(likely(&self.run_times, &j.spec).0.max(1))
    }

    /// How many of the times promised for a job's class it can't keep any more, and, if the queue is
    /// long for what was promised, how much it has left.
    fn standing(&self, j: &Job, queue: Micros) -> (u8, u64) {
        let run = likely(&self.run_times, &j.spec).0;
        let soonest = self.wall_clock.since(j.ready_wall()).0 + run;
        let finished = self.objectives.iter().filter(|o| o.kind == "finished" && o.class == j.spec.class);
        let mut promised: Vec<u64> = finished.map(|o| Micros::from_secs(o.within_s).0).collect();
        // Deadlines count from the submission, however long the job waited for others.
        let waited = j.ready_wall().since(j.accepted_wall);
        promised.extend(j.spec.deadline.map(|d| d.since(waited).0));
        promised.extend(j.release_due.map(|d| d.since(j.ready_wall()).0));
        let late = promised.iter().filter(|&&p| soonest > p).count();
        let crowded = promised.iter().min().is_some_and(|&p| queue.0 > p / 2);
        (late.min(250) as u8, if crowded { self.left(j) } else { 0 })
    }
}
