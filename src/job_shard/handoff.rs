//! Jobs that change their owner: what an owner that lives hands to the next one, and what that makes of it.
//!
//! Why the new owner need not ask every machine: the old one alone decided the job's starts, and packs after it has
//! adopted the epoch and thus decides no more. Whatever it ever wanted started and has not heard to be gone is listed;
//! starts of the owners before it can only be where it was itself still in doubt, and those machines are named.

use super::*;
use crate::peer::{HandoffBatch, JobHandoff, StartHandoff};

impl Job {
    /// Whether every start that it may ever have had is known.
    pub(super) fn settled(&self) -> bool {
        self.start_knowledge == StartKnowledge::Complete
    }
}

impl JobShard {
    /// The jobs that have another owner in `next`, the epoch that directly follows, by that owner. To be called before
    /// that epoch is adopted, and only by who decides no more.
    pub fn hand_over(&self, next: &Membership) -> BTreeMap<usize, HandoffBatch> {
        let mut out: BTreeMap<usize, (HandoffBatch, BTreeMap<UnresolvedSetId, u32>)> = BTreeMap::new();
        for (id, j) in &self.jobs {
            let Some(to) = next.job_leader(id).filter(|&o| o != next.me) else { continue };
            let (parcel, sets) = out.entry(to).or_default();
            let doubt = match j.start_knowledge {
                // The next owner reads the same records.
                StartKnowledge::RecordsUnread | StartKnowledge::AwaitsEpochCheck => continue,
                StartKnowledge::Complete => None,
                StartKnowledge::AwaitsMachines(d) => Some(*sets.entry(d).or_insert_with(|| {
                    parcel.doubts.push(self.unresolved_sets.machines(d).cloned().collect());
                    parcel.doubts.len() as u32 - 1
                })),
            };
            let placed = j.assignments.iter().map(|(&index, p)| StartHandoff {
                index,
                attempt: p.attempt,
                machine: p.machine.clone(),
                zone: p.zone.clone(),
                stopping: matches!(p.action, DesiredAction::Stop(_)),
                phase: p.phase,
            });
            let left = self.open_of(id).filter(|(_, (alive, _))| *alive).map(|(k, (_, zone))| StartHandoff {
                index: k.0,
                attempt: k.2,
                machine: k.1.clone(),
                zone: zone.clone(),
                stopping: true,
                phase: None,
            });
            parcel.jobs.push(JobHandoff {
                id: id.clone(),
                done: j.done.encode(usize::MAX),
                starts: placed.chain(left).collect(),
                doubt,
            });
        }
        out.into_iter().map(|(to, (parcel, _))| (to, parcel)).collect()
    }

    /// Takes jobs from their owner of the epoch directly before; returns how many wait for less than they did. To be
    /// called only once the records have been read. Does nothing to a job that waits for nothing: the parcel came late,
    /// or twice.
    pub fn handed(&mut self, now: Micros, jobs: Vec<JobHandoff>, doubts: &[Vec<String>]) -> usize {
        let mut taken = 0;
        // What has been heard in this epoch was told to us, or is gone.
        let open: Vec<Option<UnresolvedSetId>> = doubts
            .iter()
            .map(|set| {
                let left = set.iter().filter(|m| self.unconfirmed_machines.contains(*m)).cloned().collect();
                self.unresolved_sets.open(left)
            })
            .collect();
        for h in jobs {
            let evidence = match h.doubt.map(|d| open.get(d as usize)) {
                None => StartKnowledge::Complete,
                Some(Some(left)) => left.map_or(StartKnowledge::Complete, StartKnowledge::AwaitsMachines),
                // It names a set that is not there: no evidence at all.
                Some(None) => continue,
            };
            let Some(j) = self.jobs.get_mut(&h.id).filter(|j| !j.settled()) else { continue };
            let Some(done) = Ranges::decode(&h.done, j.spec.tasks) else {
                tracing::error!(job = %h.id, "unreadable job in a parcel");
                continue;
            };
            j.start_knowledge = evidence;
            self.start_replication.jobs_changed = true;
            taken += 1;
            let (tasks, gang) = (j.spec.tasks, j.spec.kind == JobKind::Gang);
            let completed: Vec<u32> =
                (0..tasks).filter(|i| done.contains(*i) && !j.done.contains(*i)).collect();
            for index in completed {
                self.complete(&h.id, index);
            }
            for s in h.starts.into_iter().filter(|s| s.index < tasks) {
                self.take_start(now, &h.id, s, gang);
            }
        }
        self.replan = true;
        taken
    }

    /// A start that may be on a machine: it is kept if nothing is known that speaks against it, else stopped. Until its
    /// machine has spoken it holds its room and its place, and its task is not started elsewhere.
    pub(super) fn take_start(&mut self, now: Micros, id: &str, s: StartHandoff, gang: bool) {
        let key = (id.to_owned(), s.index, s.attempt);
        let Some(j) = self.jobs.get_mut(id) else { return };
        if self.retired_by_machine.get(&s.machine).is_some_and(|l| l.contains_key(&key)) {
            return;
        }
        let room = j.spec.room;
        let p = Assignment {
            machine: s.machine.clone(),
            zone: s.zone,
            attempt: s.attempt,
            action: DesiredAction::Keep,
            first_revision: UNSENT,
            phase: s.phase,
            phase_since: now,
            adopted: true,
        };
        if let Some(q) = j.assignments.get_mut(&s.index)
            && (q.attempt == s.attempt && q.machine == s.machine)
        {
            // Its machine was heard first.
            if s.stopping {
                q.action = DesiredAction::Stop(Micros(0));
                mark_changed(&mut self.changed_starts, &s.machine, id, s.index, s.attempt);
            }
            return;
        }
        // Members of two attempts of one gang can't be told to run together.
        let alike = !gang || j.assignments.values().all(|q| q.attempt == s.attempt);
        let keep = !s.stopping && alike && !j.done.contains(s.index) && !j.assignments.contains_key(&s.index);
        if !keep {
            return self.leave(id, s.index, &p, room, DesiredAction::Stop(Micros(0)), true, false);
        }
        if gang && j.gang.is_none() {
            j.gang = Some(Gang::Going);
        }
        j.assignments.insert(s.index, p);
        self.assigned_by_machine.entry(s.machine.clone()).or_default().insert((id.to_owned(), s.index));
        mark_changed(&mut self.changed_starts, &s.machine, id, s.index, s.attempt);
    }
}
