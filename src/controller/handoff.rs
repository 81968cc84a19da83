//! Hand-off: passes the state of jobs and machines to their next leaders, and receives it from their previous
//! ones.
//!
//! [`Handoff`] owns the outgoing and incoming batches and the progress of this epoch's failover. A batch is
//! valid in one epoch only: in later ones, other controllers have commanded the jobs and machines that it
//! lists.

use super::*;
use crate::membership::Membership;
use crate::membership::step_down::StepDownReason;
use crate::peer::{HandoffBatch, JobHandoff, MachineHandoff, ReplicatedStarts};
use hazelsaddle_failover::handoff_batch::{Inbox, Outbox};

/// The format version that hand-off and replicated starts need.
pub(super) const HANDOFF_FORMAT_VERSION: u64 = 3;
/// A process that is shutting down exits after this time, even if its batches are not acknowledged.
pub const LEAVE_TIMEOUT: Micros = Micros::from_millis(5000);
/// Maximum number of starts in a batch, so that no batch delays the frames behind it for long.
const MAX_STARTS_IN_BATCH: usize = 1500;

/// Jobs handed off to this controller, and the sets of machines that may run unknown tasks of theirs.
struct HandedOffJobs {
    jobs: Vec<JobHandoff>,
    unresolved: Vec<Vec<String>>,
}

/// Outgoing and incoming batches, and the progress of this epoch's failover.
pub(super) struct Handoff {
    outbox: Outbox<HandoffBatch>,
    /// The epoch in which the packed batches are valid.
    packed_epoch: u64,
    /// The epoch that may still exclude this process: it asked the store to raise the epoch without itself,
    /// and the outcome is unknown.
    unconfirmed_departure: Option<u64>,
    /// Jobs that were received before the records were loaded.
    inbox: Inbox<HandedOffJobs>,
    /// By controller number: received batches that have yet to be acknowledged.
    pending_acks: Vec<Vec<u64>>,
    /// When this epoch's failover began; None once the starts of every job are known.
    failover_since: Option<Micros>,
    adopted_jobs: usize,
    adopted_machines: usize,
    /// When this process was told to shut down.
    leaving: Option<Micros>,
}

impl Handoff {
    pub(super) fn new(controllers: usize) -> Handoff {
        Handoff {
            outbox: Outbox::default(),
            packed_epoch: 0,
            unconfirmed_departure: None,
            inbox: Inbox::default(),
            pending_acks: vec![Vec::new(); controllers],
            failover_since: None,
            adopted_jobs: 0,
            adopted_machines: 0,
            leaving: None,
        }
    }

    /// Starts the shutdown. Repeated calls have no effect.
    pub(super) fn leave(&mut self, now: Micros) {
        if self.leaving.is_none() {
            tracing::info!("leaving the ring: the process is shutting down");
        }
        self.leaving.get_or_insert(now);
    }

    /// Records that the store was asked to raise this epoch without this process and may still do so. None:
    /// it has responded.
    pub(super) fn note_departure_request(&mut self, epoch: Option<u64>) {
        self.unconfirmed_departure = epoch;
    }

    /// Whether a departure of our own, of unknown outcome, may still end our membership in this epoch. A
    /// controller that has returned must not act in it: the others would assume that this process, no longer
    /// a member, had lost its lease earlier.
    pub(super) fn has_unconfirmed_departure(&self, epoch: u64) -> bool {
        self.unconfirmed_departure == Some(epoch + 1)
    }

    pub(super) fn leaving(&self) -> Option<Micros> {
        self.leaving
    }

    /// Packs the list of gone machines, which a process that has just joined lacks.
    pub(super) fn pack_gone(&mut self, now: Micros, to: usize, gone: Vec<String>) {
        if !gone.is_empty() {
            self.outbox.push(now, to, HandoffBatch { removed_machines: gone, ..HandoffBatch::default() });
        }
    }

    /// Packs the replicated starts of a departed controller for the new leader of its jobs.
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

/// Splits a list into pieces of limited weight.
fn split_by_weight<T>(items: Vec<T>, weight: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut pieces: Vec<Vec<T>> = Vec::new();
    let mut remaining_weight = 0;
    for item in items {
        let item_weight = weight(&item) + 1;
        match pieces.last_mut() {
            Some(piece) if item_weight <= remaining_weight => piece.push(item),
            _ => {
                pieces.push(vec![item]);
                remaining_weight = MAX_STARTS_IN_BATCH;
            }
        }
        remaining_weight = remaining_weight.saturating_sub(item_weight);
    }
    pieces
}

impl Controller {
    /// Called when the membership has adopted a new epoch, before any other component has. Hands off what
    /// this controller no longer leads, provided that no other controller can have commanded it in between.
    pub(super) fn hand_off(&mut self, now: Micros, follows: bool) {
        let handoff = &mut self.handoff;
        handoff.outbox.clear();
        handoff.packed_epoch = self.membership.epoch;
        handoff.unconfirmed_departure = None;
        handoff.inbox.clear();
        handoff.pending_acks.iter_mut().for_each(Vec::clear);
        (handoff.failover_since, handoff.adopted_jobs, handoff.adopted_machines) = (Some(now), 0, 0);
        if follows {
            let next = self.membership.clone();
            self.pack(now, &next);
        }
    }

    /// Hands off everything after this controller has left the ring by its own decision and commands nothing
    /// any more. It doesn't matter which controller raised the epoch: our own change may have had no
    /// response, or may have come second.
    pub(super) fn hand_off_on_leaving(&mut self, now: Micros, record: &EpochRecord, store_version: u64) {
        if self.step_down.absence_reason().is_none()
            || !self.membership.has_stepped_down
            || self.handoff.packed_epoch >= record.epoch
        {
            return;
        }
        let mut next = self.membership.clone();
        self.handoff.outbox.clear();
        self.handoff.packed_epoch = record.epoch;
        if next.adopt_epoch(now, record, store_version) {
            self.pack(now, &next);
        }
    }

    /// Leaves the ring because the process is shutting down. As always, the epoch decides: until it is raised
    /// without this process, the process merely stops commanding and answering.
    pub(super) fn leave_ring(&mut self, now: Micros) {
        let has_others = !self.membership_loop.live_peers.is_empty();
        if self.step_down.absence_reason().is_none() && has_others && self.membership.has_store_lease(now) {
            self.step_down.leave(now, StepDownReason::Requested);
            self.membership.has_stepped_down = true;
            self.membership_loop.step_at_once(now);
        }
    }

    /// Whether a process that is shutting down may exit: it is out of the ring and its batches are
    /// acknowledged, there is no other controller to take over, or its time is up.
    #[must_use]
    pub fn can_exit(&self, now: Micros) -> bool {
        let Some(since) = self.handoff.leaving else { return false };
        let membership = &self.membership;
        let is_member = membership.epoch > 0 && membership.members.contains(&membership.me);
        let has_left = self.membership_loop.newest_record.as_ref().is_some_and(|read| {
            read.record.epoch > membership.epoch && !membership.is_member_of(&read.record)
        });
        let is_requested = self.step_down.absence_reason() == Some(StepDownReason::Requested);
        // The record that excludes this process may be read before its batches are packed.
        let is_packed = self
            .membership_loop
            .newest_record
            .as_ref()
            .is_some_and(|read| read.record.epoch <= self.handoff.packed_epoch);
        let is_handed_off = is_requested && has_left && is_packed && self.handoff.outbox.is_empty();
        let is_alone = self.membership_loop.live_peers.is_empty() && self.membership_loop.lease.is_some();
        let is_absent = self.step_down.absence_reason().is_some() && !is_requested;
        !is_member || is_handed_off || is_alone || is_absent || now.since(since) >= LEAVE_TIMEOUT
    }

    fn pack(&mut self, now: Micros, next: &Membership) {
        let jobs = self.job_shard.handoff_batches(next);
        let machines = self.machine_shard.pack_handoff(now, next);
        let (job_count, machine_count) = (
            jobs.values().map(|batch| batch.jobs.len()).sum::<usize>(),
            machines.values().map(Vec::len).sum::<usize>(),
        );
        if job_count + machine_count > 0 {
            tracing::info!(epoch = next.epoch, jobs = job_count, machines = machine_count, "handing off");
        }
        for (to, list) in machines {
            for machines in split_by_weight(list, |machine: &MachineHandoff| machine.tasks.len()) {
                self.handoff.outbox.push(now, to, HandoffBatch { machines, ..HandoffBatch::default() });
            }
        }
        for (to, HandoffBatch { jobs, unresolved_sets, .. }) in jobs {
            for jobs in split_by_weight(jobs, |job: &JobHandoff| job.starts.len()) {
                let unresolved_sets = unresolved_sets.clone();
                self.handoff.outbox.push(
                    now,
                    to,
                    HandoffBatch { jobs, unresolved_sets, ..HandoffBatch::default() },
                );
            }
        }
    }

    /// Sends batches that are due, and acknowledges received ones.
    pub(super) fn send_handoff_batches(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // Batches packed for an older epoch must not be sent in a newer one. A controller that left by its
        // own decision has packed for the epoch that its frames advertise.
        if self.membership.has_yielded() && !self.membership.has_stepped_down {
            return;
        }
        let period = self.settings.digest;
        // A controller that has left advertises the newest epoch that it has read. Its batches describe the
        // epoch in which it acted and are valid only in the next one: in later epochs other controllers have
        // commanded what they list.
        if self.advertised_epoch().0 != self.handoff.packed_epoch {
            self.handoff.outbox.clear();
        }
        for peer in self.peers() {
            if !self.can_read_format(peer, HANDOFF_FORMAT_VERSION) {
                continue;
            }
            for (number, batch) in self.handoff.outbox.take_due(now, peer, period) {
                self.send(now, peer, Message::Handoff { number, batch }, out);
            }
            let acks = std::mem::take(&mut self.handoff.pending_acks[peer]);
            if !acks.is_empty() {
                self.send(now, peer, Message::HandoffAck(acks), out);
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
                handed_jobs = handoff.adopted_jobs,
                handed_machines = handoff.adopted_machines,
                replicated_jobs = self.start_replica.recovered_jobs(),
                unheard = self.job_shard.unconfirmed_machine_count(),
                "failover complete: every job's starts are known"
            );
        }
    }

    /// Applies a batch of this epoch.
    pub(super) fn apply_handoff_batch(
        &mut self,
        now: Micros,
        from: usize,
        boot: u64,
        number: u64,
        batch: HandoffBatch,
    ) {
        if let Some(owed) = self.handoff.pending_acks.get_mut(from) {
            owed.push(number);
        }
        self.machine_shard.mark_returned(&batch.removed_machines);
        // For a repeated batch, the machines are known and the jobs are settled already.
        for machine in batch.machines {
            let is_new = self.machine_shard.apply_handoff(now, &self.membership, machine);
            self.handoff.adopted_machines += usize::from(is_new);
        }
        for starts in batch.replicated_starts {
            self.start_replica.record_report(from, starts);
        }
        if !batch.jobs.is_empty() {
            self.handoff.inbox.accept(
                from,
                boot,
                number,
                HandedOffJobs { jobs: batch.jobs, unresolved: batch.unresolved_sets },
            );
        }
        self.apply_handed_off_jobs(now);
    }

    /// Applies the received jobs once the records show which of them are live.
    pub(super) fn apply_handed_off_jobs(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for (_, HandedOffJobs { jobs, unresolved }) in self.handoff.inbox.take_waiting() {
            self.handoff.adopted_jobs += self.job_shard.accept_handoff(now, jobs, &unresolved);
        }
        self.use_replicated_starts(now);
    }

    /// The progress of this epoch's failover, for operators.
    pub(super) fn failover_status(&self, now: Micros) -> Value {
        let handoff = &self.handoff;
        let unconfirmed_machines: Vec<&String> =
            self.job_shard.unconfirmed_machines(MAX_STATUS_ROWS).collect();
        json!({
            "under_way_s": handoff.failover_since.map(|t| now.since(t).as_secs()),
            "jobs_in_doubt": self.job_shard.unresolved_job_count(),
            "jobs_handed_to_us": handoff.adopted_jobs,
            "machines_handed_to_us": handoff.adopted_machines,
            "jobs_witnessed": self.start_replica.recovered_jobs(),
            "starts_await_a_witness": self.start_replica.is_replication_required(),
            "parcels_not_acknowledged": handoff.outbox.len(),
            "waits_for_machines": unconfirmed_machines,
        })
    }
}

#[cfg(test)]
pub(super) mod tests;
