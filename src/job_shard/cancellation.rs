//! What a cancelled job has on its way to machines: nothing of it may start once its user has been told.
//!
//! An end on record calls nothing back that is out: a start may wait at a home, or travel in the answer to a report. So the
//! starts go first. Those that are not known to have arrived are withdrawn, and the end goes on record, which comes before
//! any answer, once each of them has arrived or is gone, or can't arrive any more:
//!
//! - A home that has taken account of the withdrawal sends nothing of it from then on. What it sent before, a worker drops
//!   `RESPONSE_TIMEOUT` after it sent the report.
//! - A home that doesn't hear us answers a machine with such a start for no longer than `reach` after our last word
//!   without the withdrawal, whatever epochs do meanwhile (`machines/reach`).
//! - Starts of a job taken over that are not known yet were sent before the older epochs fell silent.

use super::*;
use crate::machine_shard::RESPONSE_TIMEOUT;

/// How far a cancelled job's starts have been withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cancellation {
    /// Since when it is to end.
    pub(super) since: Option<Micros>,
    /// Since when the homes of all that is still on its way have taken account of that.
    heard: Option<Micros>,
}

/// Jobs that are to end, so that no pass over all jobs looks for them.
#[derive(Debug, Default)]
pub(super) struct EndQueue {
    /// Jobs that may have become complete, or were cancelled, since that was last noted.
    changed: BTreeSet<String>,
    /// Whether they are done, since when they are to end, and which: in the order in which ends go on record.
    pub(super) queue: BTreeSet<(bool, Micros, String)>,
}

impl EndQueue {
    pub(super) fn changed(&mut self, id: &str) {
        self.changed.insert(id.to_owned());
    }

    pub(super) fn keep(&mut self, jobs: &BTreeMap<String, Job>) {
        self.changed.retain(|id| jobs.contains_key(id));
        self.queue.retain(|(.., id)| jobs.contains_key(id));
    }

    pub(super) fn ended(&mut self, id: &str, j: &Job) {
        if let (Some(f), Some(since)) = (j.ending, j.withdrawal.since) {
            self.queue.remove(&(f != JobOutcome::Cancelled, since, id.to_owned()));
        }
    }
}

impl Cancellation {
    /// A new epoch: machines may have other homes.
    pub(super) fn anew(&mut self) {
        self.heard = None;
    }
}

impl JobShard {
    /// A live job is to end as cancelled, unless it is to end already. Says whether that is new.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(j) = self.jobs.get_mut(id).filter(|j| j.ending.is_none()) else { return false };
        j.ending = Some(JobOutcome::Cancelled);
        self.endings.changed(id);
        true
    }

    /// Takes note of jobs that are to end, and withdraws what cancelled ones have on their way.
    pub(super) fn note_endings(&mut self, now: Micros) {
        for id in std::mem::take(&mut self.endings.changed) {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            let complete = j.spec.kind != JobKind::Service && j.done.len() == j.spec.tasks;
            if j.ending.is_none() && complete {
                // While its record is written or read it is looked at again.
                if j.writing || j.verify {
                    self.endings.changed.insert(id);
                    continue;
                }
                j.ending = Some(JobOutcome::Done);
            }
            let Some(f) = j.ending else { continue };
            if j.withdrawal.since.is_none() {
                j.withdrawal.since = Some(now);
                self.endings.queue.insert((f != JobOutcome::Cancelled, now, id.clone()));
                if f == JobOutcome::Cancelled {
                    self.withdraw(&id);
                }
            }
        }
    }

    /// The starts of a job that are not known to have arrived.
    fn on_their_way(&self, id: &str, j: &Job) -> Vec<Key> {
        let key = |machine: &str, index, attempt| {
            (machine.to_owned(), TaskKey { job: id.to_owned(), index, attempt })
        };
        let placed = j.placed.iter().filter(|(_, p)| !p.phase.is_some_and(TaskPhase::arrived));
        let mut out: Vec<Key> = placed.map(|(&index, p)| key(&p.machine, index, p.attempt)).collect();
        let left = self.leftovers.range((id.to_owned(), 0, String::new(), 0)..);
        for ((_, index, machine, attempt), l) in left.take_while(|(k, _)| k.0 == id) {
            if l.alive && !l.arrived {
                out.push(key(machine, *index, *attempt));
            }
        }
        out
    }

    fn withdraw(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let mut any = false;
        for (&index, p) in &mut j.placed {
            if !p.phase.is_some_and(TaskPhase::arrived) && !matches!(p.want, DesiredAction::Stop(_)) {
                p.want = DesiredAction::Stop(Micros(0));
                touch(&mut self.touched, &p.machine, id, index, p.attempt);
                any = true;
            }
        }
        // The others of a gang's attempt must not be told to begin.
        if any && j.spec.kind == JobKind::Gang {
            j.gang = Some(Gang::Ending);
        }
    }

    /// Whether nothing of a job that is to end as cancelled can start any more.
    pub(super) fn withdrawn(&mut self, now: Micros, id: &str) -> bool {
        let Some(j) = self.jobs.get(id) else { return true };
        let on_way = self.on_their_way(id, j);
        if on_way.is_empty() && j.settled() {
            return true;
        }
        let told = |k: &Key| !self.touched.contains(k) && !self.unacked.iter().any(|u| u.contains_key(k));
        let all_told = on_way.iter().all(told);
        let (silent, reach) = (self.older_silent, self.reach);
        let Some(j) = self.jobs.get_mut(id) else { return true };
        let since = *j.withdrawal.since.get_or_insert(now);
        j.withdrawal.heard = all_told.then(|| j.withdrawal.heard.unwrap_or(now));
        let late = RESPONSE_TIMEOUT.stretched();
        let heard = j.withdrawal.heard.is_some_and(|t| now >= t.max(silent) + late);
        heard || now >= since + reach.stretched() + late
    }
}

#[cfg(test)]
mod tests;
