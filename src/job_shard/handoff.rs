//! Hand-off of jobs between live leaders: the batches that the old leader sends, and how the new leader
//! accepts them.
//!
//! The new leader need not query every machine. Only the old leader decided about the job's attempts, and it
//! packs the batches after it has adopted the epoch, so it decides nothing more. A batch lists every attempt
//! that the old leader ever requested and has not seen gone. Attempts of earlier leaders can only be on
//! machines that had not reported to the old leader, and the batch names those machines.

use super::JobShard;
use super::assignments::{Assignment, UNSENT};
use super::job::{Job, StartKnowledge};
use super::reconciliation::is_compatible_with_gang_attempt;
use super::retired_starts::Retirement;
use crate::membership::Membership;
use crate::peer::{DesiredAction, HandoffBatch, JobHandoff, StartHandoff, TaskKey};
use crate::units::{Micros, TaskIndexSet};
use hazelsaddle_failover::unresolved::UnresolvedSetId;
use std::collections::BTreeMap;

/// A batch that is being packed.
#[derive(Default)]
struct PackedBatch {
    batch: HandoffBatch,
    /// The index in the batch of each set of unresolved machines.
    sets: BTreeMap<UnresolvedSetId, u32>,
}

impl JobShard {
    /// The jobs that have another leader in `next`, the directly following epoch, by that leader. Must be
    /// called before that epoch is adopted, and only by a leader that makes no more decisions.
    pub fn handoff_batches(&self, next: &Membership) -> BTreeMap<usize, HandoffBatch> {
        let mut batches: BTreeMap<usize, PackedBatch> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if let Some(to) = next.job_leader(id).filter(|&leader| leader != next.me) {
                self.pack_job(batches.entry(to).or_default(), id, job);
            }
        }
        batches.into_iter().map(|(to, packed)| (to, packed.batch)).collect()
    }

    fn pack_job(&self, packed: &mut PackedBatch, id: &str, job: &Job) {
        let PackedBatch { batch, sets } = packed;
        let unresolved_set = match job.start_knowledge {
            // The next leader reads the same records.
            StartKnowledge::RecordsUnread | StartKnowledge::AwaitsEpochCheck => return,
            StartKnowledge::Complete => None,
            StartKnowledge::AwaitsMachines(set) => Some(*sets.entry(set).or_insert_with(|| {
                batch.unresolved_sets.push(self.unresolved_sets.machines(set).cloned().collect());
                batch.unresolved_sets.len() as u32 - 1
            })),
        };
        let assigned = job.assignments.iter().map(|(&index, assignment)| StartHandoff {
            index,
            attempt: assignment.attempt,
            machine: assignment.machine.clone(),
            zone: assignment.zone.clone(),
            stopping: assignment.is_stopping(),
            phase: assignment.phase,
        });
        let retired = self.retired_starts.alive_attempts_of(id).map(|(key, start)| StartHandoff {
            index: key.index,
            attempt: key.attempt,
            machine: key.machine.clone(),
            zone: start.zone.clone(),
            stopping: true,
            phase: None,
        });
        batch.jobs.push(JobHandoff {
            id: id.to_owned(),
            done: job.done.encode(usize::MAX),
            starts: assigned.chain(retired).collect(),
            unresolved_set,
        });
    }

    /// Accepts jobs from their leader in the directly preceding epoch. Returns how many of them wait for
    /// fewer machines than before. Must be called only once the records have been read. A job that waits for
    /// nothing is skipped: the batch came late or twice.
    pub fn accept_handoff(
        &mut self,
        now: Micros,
        jobs: Vec<JobHandoff>,
        unresolved: &[Vec<String>],
    ) -> usize {
        // What a machine has reported in this epoch was sent to this controller, or is gone.
        let open: Vec<Option<UnresolvedSetId>> = unresolved
            .iter()
            .map(|set| {
                let unheard = set.iter().filter(|machine| self.unconfirmed_machines.contains(*machine));
                self.unresolved_sets.open(unheard.cloned().collect())
            })
            .collect();
        let mut taken = 0;
        for handoff in jobs {
            let start_knowledge = match handoff.unresolved_set.map(|set| open.get(set as usize)) {
                None => StartKnowledge::Complete,
                Some(Some(set)) => set.map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines),
                // The referenced set is missing, so the batch tells nothing about this job.
                Some(None) => continue,
            };
            if self.accept_job(now, handoff, start_knowledge) {
                taken += 1;
            }
        }
        self.replan = true;
        taken
    }

    /// Accepts one job from its leader in the preceding epoch. Returns whether the job was waiting for
    /// anything.
    fn accept_job(&mut self, now: Micros, handoff: JobHandoff, start_knowledge: StartKnowledge) -> bool {
        let id = handoff.id.as_str();
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.has_known_starts()) else { return false };
        let tasks = job.spec.task_count;
        let Some(done) = TaskIndexSet::decode(&handoff.done, tasks) else {
            tracing::error!(job = id, "unreadable job in a hand-off batch");
            return false;
        };
        job.start_knowledge = start_knowledge;
        self.start_replication.jobs_changed = true;
        let completed: Vec<u32> =
            (0..tasks).filter(|index| done.contains(*index) && !job.done.contains(*index)).collect();
        for index in completed {
            self.complete_task(id, index);
        }
        for start in handoff.starts.into_iter().filter(|start| start.index < tasks) {
            self.take_over_attempt(now, id, start);
        }
        true
    }

    /// Takes over an attempt that may be on a machine. It is kept if nothing speaks against it, and stopped
    /// otherwise. Until its machine has reported, it holds its resources and counts in its zone, and its task
    /// is not started elsewhere.
    pub(super) fn take_over_attempt(&mut self, now: Micros, id: &str, handoff: StartHandoff) {
        let StartHandoff { index, attempt, machine, zone, stopping, phase } = handoff;
        let Some(job) = self.jobs.get_mut(id) else { return };
        if self.retired_starts.is_on_machine(&machine, &TaskKey { job: id.to_owned(), index, attempt }) {
            return;
        }
        if let Some(assignment) = job.assignments.get_mut(&index)
            && assignment.is_attempt(&machine, attempt)
        {
            // Its machine reported first.
            if stopping {
                self.stop_task(id, index, Micros(0));
            }
            return;
        }
        let keep = !stopping
            && is_compatible_with_gang_attempt(job, attempt)
            && !job.done.contains(index)
            && !job.assignments.contains_key(&index);
        let resources = job.spec.resources_per_task;
        let start = Assignment {
            machine,
            zone,
            attempt,
            action: DesiredAction::Keep,
            first_revision: UNSENT,
            phase,
            phase_since: now,
            adopted: true,
        };
        if keep {
            self.adopt_attempt(id, index, start);
        } else {
            self.retire_attempt(id, index, &start, Retirement::stopped(resources));
        }
    }
}
