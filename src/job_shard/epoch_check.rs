//! Checks the epoch before starting jobs whose record was stored by another controller in this epoch, while
//! their leader did not answer or had not yet read its records.
//!
//! Every write of a job's record names the epoch that it is made in, and in each epoch only the job's leader
//! writes progress. Therefore a job that this controller does not know, and whose record was written in this
//! epoch and no later one, was accepted in this epoch and cannot have been started. A newer epoch may have
//! been raised while the record was read, so the epoch record is read again after the job's record and must
//! still name this epoch. Until then no task of the job is started.

use super::JobShard;
use super::job::StartKnowledge;
use crate::units::Micros;

impl JobShard {
    /// Marks a previously unknown job whose record, just read, was written after this epoch began.
    pub fn await_epoch_check(&mut self, now: Micros, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // Guards against attempts started by the leaders of two epochs. While this controller still acts in
        // the older epoch, the job's leader in the newer one may have accepted the job there and starts it at
        // once. The reports of the machines cannot rule that out.
        job.start_knowledge = StartKnowledge::AwaitsEpochCheck;
        self.start_replication.jobs_changed = true;
        self.awaiting_epoch_check.entry(id.to_owned()).or_insert(now);
    }

    /// Handles the state store's confirmation that this epoch is the newest. The request was sent at `sent`.
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
