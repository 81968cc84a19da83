//! The ring: members, the epoch (the workers' token), who owns what, and who may act.

pub mod step_down;

use crate::config::settings::Settings;
use crate::units::Micros;
pub use hazelsaddle_cluster::hash_ring::Ring;
use serde::{Deserialize, Serialize};

/// A peer that has said nothing for longer may be gone, or the way to it.
const LATELY: Micros = Micros::from_millis(1500);

/// The record under `ring/epoch`.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochRecord {
    /// The epoch; also the workers' token.
    pub epoch: u64,
    /// Its members and which process of each (a random number drawn at start).
    pub members: Vec<(String, u64)>,
}

/// A newer epoch, as a member of it has told.
#[derive(Clone)]
struct AnnouncedEpoch {
    epoch: u64,
    members: Vec<usize>,
    ring: Ring,
    /// When one of its members last spoke of it.
    at: Micros,
}

/// What this controller knows of the ring and of its own right to act.
#[derive(Clone)]
pub struct Membership {
    names: Vec<String>,
    /// This controller's number.
    pub me: usize,
    /// This process, to tell it from earlier ones of the same name.
    pub boot: u64,
    member_lease: Micros,
    confirmation: Micros,
    /// The adopted epoch; 0 before the first.
    pub epoch: u64,
    /// Store version of the epoch record; every write carries it as a condition.
    pub store_version: u64,
    /// Members of the adopted epoch.
    pub members: Vec<usize>,
    /// The ring of the adopted epoch.
    pub ring: Ring,
    /// When it was adopted.
    pub adopted_at: Micros,
    /// Until when the store's word entitles this controller to act.
    store_until: Micros,
    /// Per controller: the highest epoch it said it knows, and the latest of our own clock
    /// readings that it had heard when it said so.
    heard: Vec<(u64, Micros)>,
    /// A newer epoch, known from peers only. It says whom to ask; it gives no right to act.
    hearsay: Option<AnnouncedEpoch>,
    /// The newest epoch for which this controller has given up its right to act under older ones.
    yielded: u64,
    /// Per controller: the epoch that its latest frame named, and when that came.
    spoke: Vec<(u64, Micros)>,
    /// Since when, in this epoch, every other controller is known to have stopped acting under older ones.
    stopped_at: Option<Micros>,
    /// It has stepped aside: it leaves the ring by its own decision and acts no more.
    pub aside: bool,
}

impl Membership {
    /// Before the first epoch.
    pub fn new(s: &Settings, boot: u64) -> Membership {
        Membership {
            names: s.members.clone(),
            me: s.me,
            boot,
            member_lease: s.member_lease,
            confirmation: s.confirmation,
            epoch: 0,
            store_version: 0,
            members: Vec::new(),
            ring: Ring::default(),
            adopted_at: Micros(0),
            store_until: Micros(0),
            heard: vec![(0, Micros(0)); s.members.len()],
            hearsay: None,
            yielded: 0,
            spoke: vec![(0, Micros(0)); s.members.len()],
            stopped_at: None,
            aside: false,
        }
    }

    /// The record that follows `old` when the controllers in `alive` are to be its members.
    pub fn next_record(old: &EpochRecord, alive: &[(String, u64)]) -> EpochRecord {
        let mut members = alive.to_vec();
        members.sort();
        EpochRecord { epoch: old.epoch + 1, members }
    }

    /// Whether this process is a member by that record.
    pub fn is_in(&self, r: &EpochRecord) -> bool {
        r.members.iter().any(|(m, b)| *m == self.names[self.me] && *b == self.boot)
    }

    /// Takes up a newer epoch. Returns whether it directly follows the one held, in which case
    /// nobody else can have commanded what stays ours.
    pub fn adopt(&mut self, now: Micros, r: &EpochRecord, store_version: u64) -> bool {
        let follows = self.epoch != 0 && r.epoch == self.epoch + 1;
        self.epoch = r.epoch;
        self.store_version = store_version;
        self.members = r.members.iter().filter_map(|(m, _)| self.names.iter().position(|n| n == m)).collect();
        self.ring = Ring::new(&self.names, &self.members);
        self.adopted_at = now;
        self.stopped_at = None;
        follows
    }

    /// The store renewed our lease and showed the adopted epoch as the newest; both requests
    /// were sent no earlier than `sent`.
    pub fn confirmed_by_store(&mut self, sent: Micros) {
        self.store_until = self.store_until.max(sent + self.member_lease.shortened());
    }

    /// Whether the store's word alone entitles it to act.
    pub fn store_confirms(&self, now: Micros) -> bool {
        now < self.store_until
    }

    /// The lease is gone.
    pub fn lease_lost(&mut self) {
        self.store_until = Micros(0);
    }

    /// A peer said that it knows `epoch` and had heard our clock at `echo`.
    pub fn heard_from(&mut self, peer: usize, epoch: u64, echo: Micros) {
        if let Some(h) = self.heard.get_mut(peer) {
            if epoch >= h.0 {
                // An echo under an older epoch is no confirmation of the newer one.
                h.1 = if epoch > h.0 { echo } else { h.1.max(echo) };
                h.0 = epoch;
            } else {
                // The peer was restarted and knows less than it did.
                *h = (epoch, echo);
            }
        }
    }

    /// A peer named the members of its epoch. One that can't reach the store learns in this way
    /// whom to pass requests and workers on to.
    pub fn told(&mut self, now: Micros, epoch: u64, members: &[u32]) {
        let known = self.hearsay.as_ref().map_or(0, |h| h.epoch).max(self.epoch);
        if let Some(h) = &mut self.hearsay
            && h.epoch == epoch
        {
            h.at = now;
        }
        if epoch > known {
            let members: Vec<usize> = members.iter().map(|&m| m as usize).collect();
            let ring = Ring::new(&self.names, &members);
            self.hearsay = Some(AnnouncedEpoch { epoch, members, ring, at: now });
        }
        self.yield_to_newer(now);
    }

    /// Gives up the right to act under the adopted epoch, for good, once a newer one is known to stand in which this
    /// controller has no place, or which it can't take up because the state service doesn't answer it. The others can't
    /// tell such a one from one that acts on; while the service is silent for all they would have to wait for its word,
    /// and every worker's lease would run out meanwhile.
    ///
    /// From then on its frames name the newer epoch, and count as a confirmation of it: it knows no newer one, it acts under
    /// none, and before it acts again it has raised or adopted a newer one, which its next frame names.
    fn yield_to_newer(&mut self, now: Micros) {
        if let Some(h) = &self.hearsay
            && h.epoch > self.epoch.max(self.yielded)
            && (!h.members.contains(&self.me) || !self.store_confirms(now))
        {
            tracing::info!(epoch = self.epoch, newer = h.epoch, "right to act given up to a newer epoch");
            self.yielded = h.epoch;
        }
    }

    /// Whether it has given way to a newer epoch than the one adopted. What it would say in that one's name is its own
    /// state of an older one: nothing but what every frame says may go out.
    pub fn gave_way(&self) -> bool {
        self.yielded > self.epoch
    }

    /// The newest epoch that this controller acts under or has yielded to, and its members.
    pub fn stands_by(&self) -> (u64, &[usize]) {
        match &self.hearsay {
            Some(h) if h.epoch > self.epoch && h.epoch == self.yielded => (h.epoch, &h.members),
            _ => (self.epoch, &self.members),
        }
    }

    /// A peer's frame named this epoch as the one it knows.
    pub fn spoke(&mut self, now: Micros, peer: usize, epoch: u64) {
        if let Some(s) = self.spoke.get_mut(peer) {
            *s = (epoch, now);
        }
    }
    /// Whether no controller can act, as far as one that can't act itself may say: every other one spoke lately, and none
    /// knows a newer epoch. One under the same epoch would confirm it to us, and then we could act too; one under an older
    /// epoch, or none, has been restarted and is no member yet. One that is silent may be well, and we be cut off.
    pub fn nobody_acts(&self, now: Micros) -> bool {
        let lately = |at: Micros| at > Micros(0) && now.since(at) < LATELY;
        self.spoke.len() > 1
            && (0..self.spoke.len())
                .filter(|&p| p != self.me)
                .all(|p| lately(self.spoke[p].1) && self.spoke[p].0 <= self.epoch)
    }

    /// The newest ring known, for passing things on.
    fn newest(&self) -> &Ring {
        match &self.hearsay {
            Some(h) if h.epoch > self.epoch => &h.ring,
            _ => &self.ring,
        }
    }
    /// Whether requests can be passed on to the members of a newer epoch, one of whom spoke lately.
    pub fn can_pass(&self, now: Micros) -> bool {
        self.hearsay.as_ref().is_some_and(|h| h.epoch > self.epoch && now.since(h.at) < LATELY)
    }
    /// Whom to pass a user's request to.
    pub fn pass_job_to(&self, id: &str) -> Option<usize> {
        self.newest().owner_of("job/", id)
    }
    /// Whom to send a machine's worker to.
    pub fn pass_machine_to(&self, machine: &str) -> Option<usize> {
        self.newest().owner_of("machine/", machine)
    }
    /// The other members of the adopted epoch.
    pub fn others(&self) -> impl Iterator<Item = usize> {
        self.members.iter().copied().filter(|&p| p != self.me)
    }

    /// Whether this controller may answer and command: by the store's word, or, when the store
    /// is silent, by that of every other controller. A controller can't tell an outage from a
    /// 503 of its own, hence *every* other one.
    pub fn is_leader(&self, now: Micros) -> bool {
        if self.epoch == 0 || self.aside || self.gave_way() || !self.members.contains(&self.me) {
            return false;
        }
        if self.store_confirms(now) {
            return true;
        }
        self.heard.len() > 1
            && (0..self.heard.len()).filter(|&p| p != self.me).all(|p| {
                self.heard[p].0 == self.epoch
                    && now < self.heard[p].1 + self.confirmation.shortened()
                    && self.heard[p].1 > Micros(0)
            })
    }

    /// Whether no other controller can still be acting under an older epoch: each has said that
    /// it knows this one, or its right to act has run out. A member's right lasts a lease from
    /// when the epoch was raised at the latest; one that is no member lost its lease before
    /// that, and lives at most on the confirmation that we gave before adopting.
    pub fn others_have_stopped(&self, now: Micros) -> bool {
        (0..self.heard.len()).filter(|&p| p != self.me).all(|p| {
            let wait = if self.members.contains(&p) { self.member_lease } else { self.confirmation };
            self.heard[p].0 >= self.epoch || now >= self.adopted_at + wait.stretched()
        })
    }

    /// Called at every round: notes the first moment of this epoch at which `others_have_stopped`.
    pub fn note_stopped(&mut self, now: Micros) {
        if self.stopped_at.is_none() && self.epoch > 0 && self.others_have_stopped(now) {
            self.stopped_at = Some(now);
        }
    }

    /// From when on no older token can be answering any worker: when all others had said that they know this
    /// epoch, or had certainly lost their right; before that is seen, when they will have lost it.
    pub fn older_silent_at(&self) -> Micros {
        self.stopped_at.unwrap_or(self.adopted_at + self.member_lease.stretched())
    }

    /// The owner of a job.
    pub fn job_leader(&self, id: &str) -> Option<usize> {
        self.ring.owner_of("job/", id)
    }
    /// The home of a machine.
    pub fn machine_leader(&self, machine: &str) -> Option<usize> {
        self.ring.owner_of("machine/", machine)
    }
    /// Who rents and returns machines.
    pub fn decider(&self) -> Option<usize> {
        self.ring.owner("fleet")
    }
    /// A controller's name.
    pub fn name(&self, n: usize) -> &str {
        self.names.get(n).map_or("?", String::as_str)
    }
}

#[cfg(test)]
mod tests;
