//! Jobs that somebody else put on record in this epoch: while their leader did not answer, or had not yet read its records.
//!
//! Every write of a job's record names the epoch that it is made in, and in each epoch only the leader writes progress. So
//! a record written since this epoch was raised, and in no later one, of a job that we know nothing of, was accepted in
//! this epoch, and nobody can have started the job. A later one may have been raised while we read: what counts is that
//! the epoch record is read once more after the job's, and still names this epoch. Until then nothing of it is started.

use super::JobShard;
use super::job::StartKnowledge;
use crate::units::Micros;

impl JobShard {
    /// The record of a job that we knew nothing of, read just now, was written after this epoch was raised.
    pub fn await_epoch_check(&mut self, now: Micros, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // Guards against a start by the leaders of two epochs: while we act on in the older one, the job's leader in the
        // newer one may have accepted it there, and starts it at once. Whether our machines have been heard says nothing
        // of that.
        job.start_knowledge = StartKnowledge::AwaitsEpochCheck;
        self.start_replication.jobs_changed = true;
        self.awaiting_epoch_check.entry(id.to_owned()).or_insert(now);
    }

    /// The store said that this epoch is the newest; it was asked at `sent`.
    pub fn confirm_epoch(&mut self, sent: Micros) {
        let jobs = &mut self.jobs;
        let before = self.awaiting_epoch_check.len();
        self.awaiting_epoch_check.retain(|id, read| {
            if *read >= sent {
                return true;
            }
            let job = jobs.get_mut(id).filter(|job| job.start_knowledge == StartKnowledge::AwaitsEpochCheck);
            if let Some(job) = job {
                job.start_knowledge = StartKnowledge::Complete;
            }
            false
        });
        if self.awaiting_epoch_check.len() < before {
            self.start_replication.jobs_changed = true;
            self.replan = true;
        }
    }
}

#[cfg(test)]
mod tests;
