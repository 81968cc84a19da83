//! Handing over to the next owner and home, and taking from the last.

use super::*;
use crate::membership::Membership;
use crate::membership::step_down::Missing;
use crate::peer::{HandoffBatch, JobHandoff, MachineHandoff, ReplicatedStarts};
use hazelsaddle_failover::handoff_batch::{Inbox, Outbox};

/// The form of peers' frames that this and witnesses need.
pub(super) const FORM: u64 = 3;
/// A process that was told to end is gone after so long, whatever has become of its parcels.
pub const LEAVING: Micros = Micros::from_millis(5000);
/// Starts in one parcel, so that none holds up what travels behind it for long.
const STARTS: usize = 1500;

/// Jobs and the sets of machines that they wait for.
type Jobs = (Vec<JobHandoff>, Vec<Vec<String>>);

/// Parcels out and in, and what this epoch's takeover came to.
pub(super) struct Handoff {
    out: Outbox<HandoffBatch>,
    /// The epoch that what is packed counts in.
    packed_for: u64,
    /// The epoch that this process may yet leave the ring by: it asked the store to raise it without itself and had no
    /// answer.
    out_in_doubt: Option<u64>,
    /// Jobs that came before the records were read.
    jobs: Inbox<Jobs>,
    /// Per controller, the parcels of its that we have and have not said so.
    owed: Vec<Vec<u64>>,
    /// Since when this epoch's takeover has been under way; None: every job's starts are known.
    since: Option<Micros>,
    taken_jobs: usize,
    taken_machines: usize,
    /// Since when this process has been told to end.
    leaving: Option<Micros>,
}

impl Handoff {
    pub(super) fn new(controllers: usize) -> Handoff {
        Handoff {
            out: Outbox::default(),
            packed_for: 0,
            out_in_doubt: None,
            jobs: Inbox::default(),
            owed: vec![Vec::new(); controllers],
            since: None,
            taken_jobs: 0,
            taken_machines: 0,
            leaving: None,
        }
    }
    /// The process is to end. Saying so twice changes nothing.
    pub(super) fn leave(&mut self, now: Micros) {
        if self.leaving.is_none() {
            tracing::info!("told to end: leaving the ring");
        }
        self.leaving.get_or_insert(now);
    }
    /// The store is asked to raise this epoch without us, and may carry that out late. None: it has answered.
    pub(super) fn asks_out(&mut self, epoch: Option<u64>) {
        self.out_in_doubt = epoch;
    }
    /// Whether our place in this epoch may yet be taken by a change of our own that has had no answer. Who came back must
    /// not act in it: the others would take a process that is no member for one whose lease had ended before.
    pub(super) fn may_be_out_after(&self, epoch: u64) -> bool {
        self.out_in_doubt == Some(epoch + 1)
    }
    pub(super) fn leaving(&self) -> Option<Micros> {
        self.leaving
    }
    /// Packs what a process that has just joined can't know.
    pub(super) fn pack_gone(&mut self, now: Micros, to: usize, gone: Vec<String>) {
        if !gone.is_empty() {
            self.out.pack(now, to, HandoffBatch { gone, ..HandoffBatch::default() });
        }
    }
    /// Packs what was heard of one that is there no more, for a job's new owner.
    pub(super) fn pack_testimony(&mut self, now: Micros, to: usize, t: ReplicatedStarts) {
        self.out.pack(now, to, HandoffBatch { testimony: vec![t], ..HandoffBatch::default() });
    }
    pub(super) fn acknowledged(&mut self, from: usize, numbers: &[u64]) {
        self.out.acknowledged(from, numbers);
    }
}

/// Splits a list into pieces that weigh little.
fn pieces<T>(list: Vec<T>, weight: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut out: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for x in list {
        let w = weight(&x) + 1;
        match out.last_mut() {
            Some(piece) if w <= room => piece.push(x),
            _ => {
                out.push(vec![x]);
                room = STARTS;
            }
        }
        room = room.saturating_sub(w);
    }
    out
}

impl Controller {
    /// A new epoch has been adopted by the membership, and by nothing else yet. What it gives to others is handed to them
    /// if nobody else can have commanded it in between.
    pub(super) fn hand_over(&mut self, now: Micros, follows: bool) {
        let h = &mut self.handoff;
        h.out.clear();
        h.packed_for = self.membership.epoch;
        h.out_in_doubt = None;
        h.jobs.clear();
        h.owed.iter_mut().for_each(Vec::clear);
        (h.since, h.taken_jobs, h.taken_machines) = (Some(now), 0, 0);
        if follows {
            let next = self.membership.clone();
            self.pack(now, &next);
        }
    }

    /// It has left the ring by its own decision, and commands nothing any more. Whoever raised the epoch without it: its
    /// own change may have had no answer, or have come second.
    pub(super) fn hand_over_on_leaving(&mut self, now: Micros, record: &EpochRecord, store_version: u64) {
        if self.step_down.away().is_none()
            || !self.membership.aside
            || self.handoff.packed_for >= record.epoch
        {
            return;
        }
        let mut next = self.membership.clone();
        self.handoff.out.clear();
        self.handoff.packed_for = record.epoch;
        if next.adopt(now, record, store_version) {
            self.pack(now, &next);
        }
    }

    /// Leaves the ring because the process is to end. The epoch decides, as always: until it is raised without us we only
    /// command and answer nothing any more.
    pub(super) fn step_out(&mut self, now: Micros) {
        let others = !self.alive.is_empty();
        if self.step_down.away().is_none() && others && self.membership.store_confirms(now) {
            self.step_down.leave(now, Missing::Asked);
            self.membership.aside = true;
            self.next_ring = now;
        }
    }

    /// Whether a process that was told to end may: it is out of the ring and what it knew has been taken, or there is
    /// nobody to take it, or its time is up.
    pub fn gone(&self, now: Micros) -> bool {
        let Some(since) = self.handoff.leaving else { return false };
        let m = &self.membership;
        let member = m.epoch > 0 && m.members.contains(&m.me);
        let left = self.seen.as_ref().is_some_and(|(r, ..)| r.epoch > m.epoch && !m.is_in(r));
        let asked = self.step_down.away() == Some(Missing::Asked);
        // That it is out is read before it has packed.
        let packed = self.seen.as_ref().is_some_and(|(r, ..)| r.epoch <= self.handoff.packed_for);
        let handed = asked && left && packed && self.handoff.out.is_empty();
        let nobody = self.alive.is_empty() && self.lease.is_some();
        let out = self.step_down.away().is_some() && !asked;
        !member || handed || nobody || out || now.since(since) >= LEAVING
    }

    fn pack(&mut self, now: Micros, next: &Membership) {
        let jobs = self.job_shard.hand_over(next);
        let machines = self.machine_shard.hand_over(now, next);
        let (of_jobs, of_machines) = (
            jobs.values().map(|p| p.jobs.len()).sum::<usize>(),
            machines.values().map(Vec::len).sum::<usize>(),
        );
        if of_jobs + of_machines > 0 {
            tracing::info!(epoch = next.epoch, jobs = of_jobs, machines = of_machines, "handing over");
        }
        for (to, list) in machines {
            for machines in pieces(list, |m: &MachineHandoff| m.tasks.len()) {
                self.handoff.out.pack(now, to, HandoffBatch { machines, ..HandoffBatch::default() });
            }
        }
        for (to, HandoffBatch { jobs, doubts, .. }) in jobs {
            for jobs in pieces(jobs, |j: &JobHandoff| j.starts.len()) {
                let doubts = doubts.clone();
                self.handoff.out.pack(now, to, HandoffBatch { jobs, doubts, ..HandoffBatch::default() });
            }
        }
    }

    /// Sends parcels that are due, and says which have come.
    pub(super) fn say_parcels(&mut self, now: Micros, out: &mut Vec<Effect>) {
        // What was packed for an older epoch must not go out under the newer one's name. Who left by its own decision has
        // packed for the epoch that its frames name.
        if self.membership.gave_way() && !self.membership.aside {
            return;
        }
        let pause = self.settings.digest;
        // Who has left names the newest epoch that it has read. What it packed is as of the one that it acted in, and
        // counts only in the next: in a later one others have commanded what it lists.
        if self.known_epoch().0 != self.handoff.packed_for {
            self.handoff.out.clear();
        }
        for p in (0..self.settings.members.len()).filter(|&p| p != self.settings.me) {
            if !self.reads(p, FORM) {
                continue;
            }
            for (number, batch) in self.handoff.out.due(now, p, pause) {
                out.push(Effect::Send(p, self.envelope(now, p, Message::Handoff { number, batch })));
            }
            let owed = std::mem::take(&mut self.handoff.owed[p]);
            if !owed.is_empty() {
                out.push(Effect::Send(p, self.envelope(now, p, Message::HandoffAck(owed))));
            }
        }
        if let Some(since) = self.handoff.since
            && self.job_shard.loaded
            && self.job_shard.in_doubt() == 0
        {
            self.handoff.since = None;
            let h = &self.handoff;
            tracing::info!(
                epoch = self.membership.epoch,
                seconds = now.since(since).secs(),
                handed_jobs = h.taken_jobs,
                handed_machines = h.taken_machines,
                witnessed_jobs = self.start_replica.taken(),
                unheard = self.job_shard.unheard(),
                "taken over: every job's starts are known"
            );
        }
    }

    /// A parcel of this epoch has come.
    pub(super) fn parcel(&mut self, now: Micros, from: usize, boot: u64, number: u64, parcel: HandoffBatch) {
        if let Some(owed) = self.handoff.owed.get_mut(from) {
            owed.push(number);
        }
        self.machine_shard.told_gone(&parcel.gone);
        // One that comes again finds its machines known, and its jobs settled.
        for m in parcel.machines {
            self.handoff.taken_machines += usize::from(self.machine_shard.handed(now, &self.membership, m));
        }
        for t in parcel.testimony {
            self.start_replica.testified(from, t);
        }
        if !parcel.jobs.is_empty() {
            self.handoff.jobs.take(from, boot, number, (parcel.jobs, parcel.doubts));
        }
        self.unpack(now);
    }

    /// Jobs that were handed to us, once it is known from the records which are live.
    pub(super) fn unpack(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for (_, (jobs, doubts)) in self.handoff.jobs.unpack() {
            self.handoff.taken_jobs += self.job_shard.handed(now, jobs, &doubts);
        }
        self.hear_witnesses(now);
    }

    /// How this epoch's takeover stands, for operators.
    pub(super) fn takeover_status(&self, now: Micros) -> Value {
        let h = &self.handoff;
        let waits: Vec<&String> = self.job_shard.unheard_machines(SHOWN).collect();
        json!({
            "under_way_s": h.since.map(|t| now.since(t).secs()),
            "jobs_in_doubt": self.job_shard.in_doubt(),
            "jobs_handed_to_us": h.taken_jobs,
            "machines_handed_to_us": h.taken_machines,
            "jobs_witnessed": self.start_replica.taken(),
            "starts_await_a_witness": self.start_replica.holds_back(),
            "parcels_not_acknowledged": h.out.len(),
            "waits_for_machines": waits,
        })
    }
}

#[cfg(test)]
pub(super) mod tests;
