//! Epochs that peers name: whom a controller without leadership passes things on to, and when it yields.
//!
//! What a peer names gives no leadership. A controller that can't reach the store learns in this way whom to forward
//! requests and workers to, and gives way to a newer epoch that it can't adopt.

use super::{JOBS, MACHINES, Membership, Ring};
use crate::units::Micros;

/// A peer that has said nothing for longer may be gone, or the way to it.
const PEER_SILENCE: Micros = Micros::from_millis(1500);

/// A newer epoch, as a member of it has announced.
#[derive(Clone)]
pub(super) struct AnnouncedEpoch {
    epoch: u64,
    members: Vec<usize>,
    ring: Ring,
    /// When one of its members last spoke of it.
    announced_at: Micros,
}

/// The epoch that a controller's latest frame named.
#[derive(Clone, Copy, Default)]
pub(super) struct NamedEpoch {
    epoch: u64,
    /// When the frame came; zero before the first.
    named_at: Micros,
}

impl NamedEpoch {
    fn is_recent(self, now: Micros) -> bool {
        self.named_at > Micros(0) && now.since(self.named_at) < PEER_SILENCE
    }
}

impl Membership {
    /// A peer named the members of its epoch.
    pub fn record_announcement(&mut self, now: Micros, epoch: u64, members: &[u32]) {
        let newest = self.announced.as_ref().map_or(0, |announced| announced.epoch).max(self.epoch);
        if let Some(announced) = &mut self.announced
            && announced.epoch == epoch
        {
            announced.announced_at = now;
        }
        if epoch > newest {
            let members: Vec<usize> = members.iter().map(|&member| member as usize).collect();
            let ring = Ring::new(&self.names, &members);
            self.announced = Some(AnnouncedEpoch { epoch, members, ring, announced_at: now });
        }
        self.yield_to_newer(now);
    }

    /// Gives up leadership under the adopted epoch, for good, once a newer one is known to stand in which this controller
    /// has no place, or which it can't adopt because the state service doesn't answer it. The others can't tell such a
    /// controller from one that acts on; while the service is silent for all they would have to wait for its word, and
    /// every worker's lease would expire meanwhile.
    ///
    /// From then on its frames name the newer epoch, and count as a confirmation of it: it knows no newer one, it acts under
    /// none, and before it acts again it has raised or adopted a newer one, which its next frame names.
    fn yield_to_newer(&mut self, now: Micros) {
        if let Some(newer) = &self.announced
            && newer.epoch > self.epoch.max(self.yielded_to)
            && (!newer.members.contains(&self.me) || !self.has_store_lease(now))
        {
            tracing::info!(epoch = self.epoch, newer = newer.epoch, "leadership yielded to newer epoch");
            self.yielded_to = newer.epoch;
        }
    }

    /// Whether it has given way to a newer epoch than the one adopted. What it would say in that one's name is its own
    /// state of an older one: nothing but what every frame says may go out.
    #[must_use]
    pub fn has_yielded(&self) -> bool {
        self.yielded_to > self.epoch
    }

    /// The newest epoch that this controller acts under or has yielded to, and its members.
    #[must_use]
    pub fn acknowledged_epoch(&self) -> (u64, &[usize]) {
        match &self.announced {
            Some(newer) if newer.epoch > self.epoch && newer.epoch == self.yielded_to => {
                (newer.epoch, &newer.members)
            }
            _ => (self.epoch, &self.members),
        }
    }

    /// A peer's frame named this epoch as the one it knows.
    pub fn record_named_epoch(&mut self, now: Micros, peer: usize, epoch: u64) {
        if let Some(named) = self.named_epochs.get_mut(peer) {
            *named = NamedEpoch { epoch, named_at: now };
        }
    }

    /// Whether no controller can act, as far as one that can't act itself may say: every other one spoke lately, and none
    /// knows a newer epoch. One under the same epoch would confirm it to us, and then we could act too; one under an older
    /// epoch, or none, has been restarted and is no member yet. One that is silent may be well, and we be cut off.
    #[must_use]
    pub fn is_leaderless(&self, now: Micros) -> bool {
        let mut others = self.named_epochs.iter().enumerate().filter(|(peer, _)| *peer != self.me);
        self.named_epochs.len() > 1
            && others.all(|(_, named)| named.is_recent(now) && named.epoch <= self.epoch)
    }

    /// Whether requests can be forwarded to the members of a newer epoch, one of whom spoke lately.
    #[must_use]
    pub fn can_forward(&self, now: Micros) -> bool {
        self.announced.as_ref().is_some_and(|announced| {
            announced.epoch > self.epoch && now.since(announced.announced_at) < PEER_SILENCE
        })
    }

    /// Whom to forward a user's request to: the job's leader by the newest ring known.
    #[must_use]
    pub fn job_forward_target(&self, id: &str) -> Option<usize> {
        self.newest_ring().owner_of(JOBS, id)
    }

    /// Whom to send a machine's worker to: the machine's leader by the newest ring known.
    #[must_use]
    pub fn machine_forward_target(&self, machine: &str) -> Option<usize> {
        self.newest_ring().owner_of(MACHINES, machine)
    }

    fn newest_ring(&self) -> &Ring {
        match &self.announced {
            Some(announced) if announced.epoch > self.epoch => &announced.ring,
            _ => &self.ring,
        }
    }
}
