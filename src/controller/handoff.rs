//! Hand-off: what this controller knows of jobs and machines goes to their next leaders, and comes from their last.
//!
//! [`Handoff`] owns the batches out and in, and how this epoch's failover stands. A batch counts in one epoch only: in a later
//! one others have commanded what it lists.

use super::*;
use crate::membership::Membership;
use crate::membership::step_down::StepDownReason;
use crate::peer::{HandoffBatch, JobHandoff, MachineHandoff, ReplicatedStarts};
use hazelsaddle_failover::handoff_batch::{Inbox, Outbox};

/// The form of frames that hand-off and replicated starts need.
pub(super) const FORM: u64 = 3;
/// A process that was told to end is gone after so long, whatever has become of its batches.
pub const LEAVE_TIMEOUT: Micros = Micros::from_millis(5000);
/// Starts in one batch, so that none holds up what travels behind it for long.
const STARTS_IN_BATCH: usize = 1500;

/// Jobs, and the sets of machines that they wait for.
struct HandedJobs {
    jobs: Vec<JobHandoff>,
    unresolved: Vec<Vec<String>>,
}

/// Batches out and in, and what this epoch's failover came to.
pub(super) struct Handoff {
    outbox: Outbox<HandoffBatch>,
    /// The epoch that what is packed counts in.
    packed_for: u64,
    /// The epoch that this process may yet leave the ring by: it asked the store to raise it without itself and had no
    /// answer.
    unanswered_departure: Option<u64>,
    /// Jobs that came before the records were read.
    jobs: Inbox<HandedJobs>,
    /// Per controller, the batches of its that have come and are not acknowledged.
    owed_acks: Vec<Vec<u64>>,
    /// Since when this epoch's failover has been under way; None: every job's starts are known.
    failover_since: Option<Micros>,
    taken_jobs: usize,
    taken_machines: usize,
    /// Since when this process has been told to end.
    leaving: Option<Micros>,
}

impl Handoff {
    pub(super) fn new(controllers: usize) -> Handoff {
        Handoff {
            outbox: Outbox::default(),
            packed_for: 0,
            unanswered_departure: None,
            jobs: Inbox::default(),
            owed_acks: vec![Vec::new(); controllers],
            failover_since: None,
            taken_jobs: 0,
            taken_machines: 0,
            leaving: None,
        }
    }

    /// The process is to end. Saying so twice changes nothing.
    pub(super) fn leave(&mut self, now: Micros) {
        if self.leaving.is_none() {
            tracing::info!("leaving the ring: the process is to end");
        }
        self.leaving.get_or_insert(now);
    }

    /// The store is asked to raise this epoch without us, and may carry that out late. None: it has answered.
    pub(super) fn note_departure_request(&mut self, epoch: Option<u64>) {
        self.unanswered_departure = epoch;
    }

    /// Whether our place in this epoch may yet be taken by a change of our own that has had no answer. Who came back must
    /// not act in it: the others would take a process that is no member for one whose lease had ended before.
    pub(super) fn may_be_out_after(&self, epoch: u64) -> bool {
        self.unanswered_departure == Some(epoch + 1)
    }

    pub(super) fn leaving(&self) -> Option<Micros> {
        self.leaving
    }

    /// Packs what a process that has just joined can't know.
    pub(super) fn pack_gone(&mut self, now: Micros, to: usize, gone: Vec<String>) {
        if !gone.is_empty() {
            self.outbox.push(now, to, HandoffBatch { removed_machines: gone, ..HandoffBatch::default() });
        }
    }

    /// Packs the replicated starts of a controller that is gone, for a job's new leader.
    pub(super) fn pack_replicated_starts(&mut self, now: Micros, to: usize, starts: ReplicatedStarts) {
        self.outbox.push(
            now,
            to,
            HandoffBatch { replicated_starts: vec![starts], ..HandoffBatch::default() },
        );
    }

    pub(super) fn apply_acknowledgements(&mut self, from: usize, numbers: &[u64]) {
        self.outbox.acknowledge(from, numbers);
    }
}

/// Splits a list into pieces that weigh little.
fn pieces<T>(list: Vec<T>, weight: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for item in list {
        let item_weight = weight(&item) + 1;
        match pieces.last_mut() {
            Some(piece) if item_weight <= room => piece.push(item),
            _ => {
                pieces.push(vec![item]);
                room = STARTS_IN_BATCH;
            }
        }
        room = room.saturating_sub(item_weight);
    }
    pieces
}

impl Controller {
    /// A new epoch has been adopted by the membership, and by nothing else yet. What it gives to others is handed to them
    /// if nobody else can have commanded it in between.
    pub(super) fn hand_off(&mut self, now: Micros, follows: bool) {
        let handoff = &mut self.handoff;
        handoff.outbox.clear();
        handoff.packed_for = self.membership.epoch;
        handoff.unanswered_departure = None;
        handoff.jobs.clear();
        handoff.owed_acks.iter_mut().for_each(Vec::clear);
        (handoff.failover_since, handoff.taken_jobs, handoff.taken_machines) = (Some(now), 0, 0);
        if follows {
            let next = self.membership.clone();
            self.pack(now, &next);
        }
    }

    /// It has left the ring by its own decision, and commands nothing any more. Whoever raised the epoch without it: its
    /// own change may have had no answer, or have come second.
    pub(super) fn hand_off_on_leaving(&mut self, now: Micros, record: &EpochRecord, store_version: u64) {
        if self.step_down.absence_reason().is_none()
            || !self.membership.has_stepped_down
            || self.handoff.packed_for >= record.epoch
        {
            return;
        }
        let mut next = self.membership.clone();
        self.handoff.outbox.clear();
        self.handoff.packed_for = record.epoch;
        if next.adopt_epoch(now, record, store_version) {
            self.pack(now, &next);
        }
    }

    /// Leaves the ring because the process is to end. The epoch decides, as always: until it is raised without us we only
    /// command and answer nothing any more.
    pub(super) fn leave_ring(&mut self, now: Micros) {
        let others = !self.membership_loop.live_peers.is_empty();
        if self.step_down.absence_reason().is_none() && others && self.membership.has_store_lease(now) {
            self.step_down.leave(now, StepDownReason::Requested);
            self.membership.has_stepped_down = true;
            self.membership_loop.step_at_once(now);
        }
    }

    /// Whether a process that was told to end may: it is out of the ring and what it knew has been taken, or there is
    /// nobody to take it, or its time is up.
    #[must_use]
    pub fn can_exit(&self, now: Micros) -> bool {
        let Some(since) = self.handoff.leaving else { return false };
        let membership = &self.membership;
        let is_member = membership.epoch > 0 && membership.members.contains(&membership.me);
        let left = self.membership_loop.newest_record.as_ref().is_some_and(|read| {
            read.record.epoch > membership.epoch && !membership.is_member_of(&read.record)
        });
        let asked = self.step_down.absence_reason() == Some(StepDownReason::Requested);
        // That it is out is read before it has packed.
        let packed = self
            .membership_loop
            .newest_record
            .as_ref()
            .is_some_and(|read| read.record.epoch <= self.handoff.packed_for);
        let handed = asked && left && packed && self.handoff.outbox.is_empty();
        let nobody = self.membership_loop.live_peers.is_empty() && self.membership_loop.lease.is_some();
        let out = self.step_down.absence_reason().is_some() && !asked;
        !is_member || handed || nobody || out || now.since(since) >= LEAVE_TIMEOUT
    }

    fn pack(&mut self, now: Micros, next: &Membership) {
        let jobs = self.job_shard.handoff_batches(next);
        let machines = self.machine_shard.pack_handoff(now, next);
        let (of_jobs, of_machines) = (
            jobs.values().map(|p| p.jobs.len()).sum::<usize>(),
            machines.values().map(Vec::len).sum::<usize>(),
        );
        if of_jobs + of_machines > 0 {
            tracing::info!(epoch = next.epoch, jobs = of_jobs, machines = of_machines, "handing off");
        }
        for (to, list) in machines {
            for machines in pieces(list, |m: &MachineHandoff| m.tasks.len()) {
                self.handoff.outbox.push(now, to, HandoffBatch { machines, ..HandoffBatch::default() });
            }
        }
        for (to, HandoffBatch { jobs, unresolved_sets, .. }) in jobs {
            for jobs in pieces(jobs, |j: &JobHandoff| j.starts.len()) {
                let unresolved_sets = unresolved_sets.clone();
                self.handoff.outbox.push(
                    now,
                    to,
                    HandoffBatch { jobs, unresolved_sets, ..HandoffBatch::default() },
                );
            }
        }
    }

    /// Sends batches that are due, and acknowledges those that have come.
    pub(super) fn send_handoff_batches(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // What was packed for an older epoch must not go out under the newer one's name. Who left by its own decision has
        // packed for the epoch that its frames name.
        if self.membership.has_yielded() && !self.membership.has_stepped_down {
            return;
        }
        let pause = self.settings.digest;
        // Who has left names the newest epoch that it has read. What it packed is as of the one that it acted in, and
        // counts only in the next: in a later one others have commanded what it lists.
        if self.known_epoch().0 != self.handoff.packed_for {
            self.handoff.outbox.clear();
        }
        for peer in (0..self.settings.members.len()).filter(|&peer| peer != self.settings.me) {
            if !self.reads(peer, FORM) {
                continue;
            }
            for (number, batch) in self.handoff.outbox.take_due(now, peer, pause) {
                self.send(now, peer, Message::Handoff { number, batch }, out);
            }
            let owed = std::mem::take(&mut self.handoff.owed_acks[peer]);
            if !owed.is_empty() {
                self.send(now, peer, Message::HandoffAck(owed), out);
            }
        }
        self.note_failover_complete(now);
    }

    fn note_failover_complete(&mut self, now: Micros) {
        if let Some(since) = self.handoff.failover_since
            && self.job_shard.loaded
            && self.job_shard.unresolved_job_count() == 0
        {
            self.handoff.failover_since = None;
            let handoff = &self.handoff;
            tracing::info!(
                epoch = self.membership.epoch,
                seconds = now.since(since).as_secs(),
                handed_jobs = handoff.taken_jobs,
                handed_machines = handoff.taken_machines,
                replicated_jobs = self.start_replica.taken(),
                unheard = self.job_shard.unconfirmed_machine_count(),
                "failover complete: every job's starts are known"
            );
        }
    }

    /// A batch of this epoch has come.
    pub(super) fn take_batch(
        &mut self,
        now: Micros,
        from: usize,
        boot: u64,
        number: u64,
        batch: HandoffBatch,
    ) {
        if let Some(owed) = self.handoff.owed_acks.get_mut(from) {
            owed.push(number);
        }
        self.machine_shard.mark_returned(&batch.removed_machines);
        // One that comes again finds its machines known, and its jobs settled.
        for machine in batch.machines {
            let is_new = self.machine_shard.apply_handoff(now, &self.membership, machine);
            self.handoff.taken_machines += usize::from(is_new);
        }
        for starts in batch.replicated_starts {
            self.start_replica.take_report(from, starts);
        }
        if !batch.jobs.is_empty() {
            self.handoff.jobs.accept(
                from,
                boot,
                number,
                HandedJobs { jobs: batch.jobs, unresolved: batch.unresolved_sets },
            );
        }
        self.take_handed_jobs(now);
    }

    /// Jobs that were handed to us, once it is known from the records which are live.
    pub(super) fn take_handed_jobs(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for (_, HandedJobs { jobs, unresolved }) in self.handoff.jobs.take_waiting() {
            self.handoff.taken_jobs += self.job_shard.accept_handoff(now, jobs, &unresolved);
        }
        self.use_replicated_starts(now);
    }

    /// How this epoch's failover stands, for operators.
    pub(super) fn failover_status(&self, now: Micros) -> Value {
        let handoff = &self.handoff;
        let waits: Vec<&String> = self.job_shard.unconfirmed_machines(SHOWN).collect();
        json!({
            "under_way_s": handoff.failover_since.map(|t| now.since(t).as_secs()),
            "jobs_in_doubt": self.job_shard.unresolved_job_count(),
            "jobs_handed_to_us": handoff.taken_jobs,
            "machines_handed_to_us": handoff.taken_machines,
            "jobs_witnessed": self.start_replica.taken(),
            "starts_await_a_witness": self.start_replica.holds_back(),
            "parcels_not_acknowledged": handoff.outbox.len(),
            "waits_for_machines": waits,
        })
    }
}

#[cfg(test)]
pub(super) mod tests;
