//! Epochs that peers announce: where a controller without leadership forwards requests, and when it yields.
//!
//! An announcement grants no leadership. A controller that cannot reach the state store learns from it where to forward
//! requests and redirect workers, and yields to a newer epoch that it cannot adopt.

use super::{JOB_CLASS, MACHINE_CLASS, Membership, Ring};
use crate::units::Micros;

/// If no frame of a peer has arrived for longer, the peer may be down or the network to it interrupted.
const PEER_SILENCE_LIMIT: Micros = Micros::from_millis(1500);

/// A newer epoch that one of its members has announced.
#[derive(Clone)]
pub(super) struct AnnouncedEpoch {
    epoch: u64,
    members: Vec<usize>,
    ring: Ring,
    /// When one of its members last announced it.
    announced_at: Micros,
}

/// The epoch that a controller's latest frame named.
#[derive(Clone, Copy, Default)]
pub(super) struct NamedEpoch {
    epoch: u64,
    /// When the frame arrived; zero before the first.
    named_at: Micros,
}

impl NamedEpoch {
    fn is_recent(self, now: Micros) -> bool {
        self.named_at > Micros(0) && now.since(self.named_at) < PEER_SILENCE_LIMIT
    }
}

impl Membership {
    /// Records the members of a peer's epoch, as announced by that peer.
    pub fn record_announcement(&mut self, now: Micros, epoch: u64, members: &[u32]) {
        let newest_epoch = self.announced.as_ref().map_or(0, |announced| announced.epoch).max(self.epoch);
        if let Some(announced) = &mut self.announced
            && announced.epoch == epoch
        {
            announced.announced_at = now;
        }
        if epoch > newest_epoch {
            let members: Vec<usize> = members.iter().map(|&member| member as usize).collect();
            let ring = Ring::new(&self.names, &members);
            self.announced = Some(AnnouncedEpoch { epoch, members, ring, announced_at: now });
        }
        self.yield_to_newer(now);
    }

    /// Gives up leadership under the adopted epoch, permanently, once a newer epoch is known to exist of which this
    /// controller is no member, or which it cannot adopt because the state store does not respond to it. The others
    /// cannot distinguish such a controller from one that still acts. While the state store is unavailable to all,
    /// they would have to wait for its confirmation, and every worker's lease would expire meanwhile.
    ///
    /// From then on its frames name the newer epoch and count as a confirmation of it: it has seen no newer epoch and
    /// acts under none. Before it acts again it has raised or adopted a newer epoch, which its next frame names.
    fn yield_to_newer(&mut self, now: Micros) {
        if let Some(newer) = &self.announced
            && newer.epoch > self.epoch.max(self.yielded_to)
            && (!newer.members.contains(&self.me) || !self.has_store_lease(now))
        {
            tracing::info!(epoch = self.epoch, newer = newer.epoch, "leadership yielded to newer epoch");
            self.yielded_to = newer.epoch;
        }
    }

    /// Whether this controller has yielded to a newer epoch than the adopted one. Its state belongs to an older
    /// epoch, so its frames must carry only what every frame carries.
    #[must_use]
    pub fn has_yielded(&self) -> bool {
        self.yielded_to > self.epoch
    }

    /// Returns the newest epoch that this controller acts under or has yielded to, and its members.
    #[must_use]
    pub fn acknowledged_epoch(&self) -> (u64, &[usize]) {
        match &self.announced {
            Some(newer) if newer.epoch > self.epoch && newer.epoch == self.yielded_to => {
                (newer.epoch, &newer.members)
            }
            _ => (self.epoch, &self.members),
        }
    }

    /// Records the epoch that a peer's frame named.
    pub fn record_named_epoch(&mut self, now: Micros, peer: usize, epoch: u64) {
        if let Some(named) = self.named_epochs.get_mut(peer) {
            *named = NamedEpoch { epoch, named_at: now };
        }
    }

    /// Whether no controller can act, as far as a controller that cannot act itself can determine: every other one
    /// has sent a frame recently, and none has seen a newer epoch. A controller under the same epoch would confirm it
    /// to this one, which could then act too. One under an older epoch, or none, has been restarted and is not a
    /// member yet. One that sends no frames may be working while this controller is cut off.
    #[must_use]
    pub fn is_leaderless(&self, now: Micros) -> bool {
        let mut others = self.named_epochs.iter().enumerate().filter(|(peer, _)| *peer != self.me);
        self.named_epochs.len() > 1
            && others.all(|(_, named)| named.is_recent(now) && named.epoch <= self.epoch)
    }

    /// Whether requests can be forwarded to the members of a newer epoch, one of which has announced it recently.
    #[must_use]
    pub fn can_forward(&self, now: Micros) -> bool {
        self.announced.as_ref().is_some_and(|announced| {
            announced.epoch > self.epoch && now.since(announced.announced_at) < PEER_SILENCE_LIMIT
        })
    }

    /// Returns where to forward a user's request: to the job's leader on the newest known ring.
    #[must_use]
    pub fn job_forward_target(&self, id: &str) -> Option<usize> {
        self.find_newest_ring().owner_of(JOB_CLASS, id)
    }

    /// Returns where to redirect a machine's worker: to the machine's leader on the newest known ring.
    #[must_use]
    pub fn machine_forward_target(&self, machine: &str) -> Option<usize> {
        self.find_newest_ring().owner_of(MACHINE_CLASS, machine)
    }

    fn find_newest_ring(&self) -> &Ring {
        match &self.announced {
            Some(announced) if announced.epoch > self.epoch => &announced.ring,
            _ => &self.ring,
        }
    }
}
