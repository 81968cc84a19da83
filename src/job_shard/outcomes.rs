//! How jobs end, and what is remembered of those that have.

use super::*;

/// Finals kept in memory; older ones are read from the store.
const REMEMBERED_OUTCOMES: usize = 2000;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

impl JobShard {
    /// The end of a job, if it is remembered.
    pub fn final_of(&self, id: &str) -> Option<(JobOutcome, u32)> {
        self.outcomes.get(id).copied()
    }
    /// Remembers the end of a job that the store has on record.
    pub fn remember_final(&mut self, id: &str, f: JobOutcome, done: u32) {
        if self.outcomes.insert(id.into(), (f, done)).is_none() {
            self.outcome_order.push_back(id.into());
            if self.outcome_order.len() > REMEMBERED_OUTCOMES
                && let Some(old) = self.outcome_order.pop_front()
            {
                self.outcomes.remove(&old);
            }
        }
    }

    /// The job's end is on record: it is live no more, and what it left behind is cleared away.
    pub fn ended(&mut self, id: &str, f: JobOutcome) {
        // Whoever waits for it must hear even if it was not ours any more: the store has its end.
        self.prerequisite_ended(id, f);
        let Some(j) = self.jobs.remove(id) else { return };
        self.start_replication.jobs_changed = true;
        self.end_queue.ended(id, &j);
        self.forget_waiting(id, &j);
        self.failures.forget(id);
        tracing::info!(job = id, end = ?f, tasks = j.spec.tasks, "job ended");
        self.remember_final(id, f, j.done.len());
        for (idx, p) in j.assignments {
            self.unindex(&p.machine, id, idx);
            self.leave(id, idx, &p, j.spec.room, DesiredAction::Stop(Micros(0)), true, false);
        }
        let left = self.retired_starts.range_mut((id.to_owned(), 0, String::new(), 0)..);
        for ((job, idx, machine, attempt), l) in left {
            if job != id {
                break;
            }
            if !l.alive && l.action != DesiredAction::Forget {
                l.action = DesiredAction::Forget;
                mark_changed(&mut self.changed_starts, machine, job, *idx, *attempt);
            }
        }
        self.replan = true;
    }

    /// A task has completed. A gang completes as a whole. Replicas of a service never do.
    pub(super) fn complete(&mut self, id: &str, idx: u32) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        match j.spec.kind {
            JobKind::Array => {
                if idx < j.spec.tasks {
                    j.done.insert(idx);
                }
            }
            JobKind::Gang => {
                for i in 0..j.spec.tasks {
                    j.done.insert(i);
                }
            }
            JobKind::Service => {}
        }
        self.end_queue.changed(id);
        self.replan = true;
    }
}
