//! Leadership: whether this controller may answer and command, and from when on no other can under an older epoch.

use super::Membership;
use crate::units::Micros;

/// What a peer has confirmed.
#[derive(Clone, Copy, Default)]
pub(super) struct PeerConfirmation {
    /// The highest epoch that it said it knows.
    epoch: u64,
    /// The latest reading of our own clock that it had heard when it said so; zero before the first.
    echo: Micros,
}

impl Membership {
    /// The store renewed our lease and showed the adopted epoch as the newest; both requests were sent no earlier than
    /// `sent`.
    pub fn renew_store_lease(&mut self, sent: Micros) {
        self.store_lease_until = self.store_lease_until.max(sent + self.member_lease.minus_drift());
    }

    /// The lease is gone.
    pub fn lose_store_lease(&mut self) {
        self.store_lease_until = Micros(0);
    }

    /// Whether the store's word alone entitles this controller to act.
    #[must_use]
    pub fn has_store_lease(&self, now: Micros) -> bool {
        now < self.store_lease_until
    }

    /// A peer said that it knows `epoch` and had heard our clock at `echo`.
    pub fn record_confirmation(&mut self, peer: usize, epoch: u64, echo: Micros) {
        let Some(confirmed) = self.confirmations.get_mut(peer) else { return };
        // An echo under an older epoch is no confirmation of the newer one; and a peer that names an older epoch than before
        // was restarted and knows less than it did.
        let echo = if epoch == confirmed.epoch { confirmed.echo.max(echo) } else { echo };
        *confirmed = PeerConfirmation { epoch, echo };
    }

    /// Whether this controller may answer and command: by the store's word, or, when the store is silent, by that of every
    /// other controller. A controller can't tell an outage from a 503 of its own, hence *every* other one.
    #[must_use]
    pub fn is_leader(&self, now: Micros) -> bool {
        if self.epoch == 0 || self.has_stepped_down || self.has_yielded() || !self.members.contains(&self.me)
        {
            return false;
        }
        if self.has_store_lease(now) {
            return true;
        }
        self.confirmations.len() > 1
            && self.other_confirmations().all(|(_, confirmed)| self.is_confirmed_by(confirmed, now))
    }

    fn is_confirmed_by(&self, confirmed: &PeerConfirmation, now: Micros) -> bool {
        confirmed.epoch == self.epoch
            && now < confirmed.echo + self.confirmation.minus_drift()
            && confirmed.echo > Micros(0)
    }

    /// Whether no other controller can still be acting under an older epoch: each has said that it knows this one, or its
    /// leadership has run out. A member's leadership lasts a lease from when the epoch was raised at the latest; one that
    /// is no member lost its lease before that, and lives at most on the confirmation that we gave before adopting.
    #[must_use]
    pub fn have_older_leaders_stopped(&self, now: Micros) -> bool {
        self.other_confirmations().all(|(peer, confirmed)| {
            let wait = if self.members.contains(&peer) { self.member_lease } else { self.confirmation };
            confirmed.epoch >= self.epoch || now >= self.adopted_at + wait.plus_drift()
        })
    }

    /// Called at every round: notes the first moment of this epoch at which [`Membership::have_older_leaders_stopped`].
    pub fn note_older_leaders_stopped(&mut self, now: Micros) {
        if self.older_stopped_at.is_none() && self.epoch > 0 && self.have_older_leaders_stopped(now) {
            self.older_stopped_at = Some(now);
        }
    }

    /// From when on no older token can be answering any worker: when all others had said that they know this epoch, or had
    /// certainly lost their leadership; before that is seen, when they will have lost it.
    #[must_use]
    pub fn older_leaders_stopped_at(&self) -> Micros {
        self.older_stopped_at.unwrap_or(self.adopted_at + self.member_lease.plus_drift())
    }

    /// The other controllers, members or not, and what each has confirmed.
    fn other_confirmations(&self) -> impl Iterator<Item = (usize, &PeerConfirmation)> {
        self.confirmations.iter().enumerate().filter(|(peer, _)| *peer != self.me)
    }
}
