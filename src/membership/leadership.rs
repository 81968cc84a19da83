//! Leadership: whether this controller may respond and send commands, and from when on no other can under an older
//! epoch.

use super::Membership;
use crate::units::Micros;

/// What a peer has confirmed.
#[derive(Clone, Copy, Default)]
pub(super) struct PeerConfirmation {
    /// The epoch that the peer's latest confirmation named.
    epoch: u64,
    /// The latest reading of this controller's clock that the peer had received when it confirmed that epoch; zero
    /// before the first.
    echo: Micros,
}

impl Membership {
    /// Records that the state store renewed this controller's lease and returned the adopted epoch as the newest. Both
    /// requests were sent no earlier than `sent`.
    pub fn renew_store_lease(&mut self, sent: Micros) {
        self.store_lease_until = self.store_lease_until.max(sent + self.member_lease.minus_drift());
    }

    /// Records that the lease is lost.
    pub fn lose_store_lease(&mut self) {
        self.store_lease_until = Micros(0);
    }

    /// Whether the lease on the state store alone entitles this controller to act.
    #[must_use]
    pub fn has_store_lease(&self, now: Micros) -> bool {
        now < self.store_lease_until
    }

    /// Records that a peer confirmed `epoch` and had received the reading `echo` of this controller's clock.
    pub fn record_confirmation(&mut self, peer: usize, epoch: u64, echo: Micros) {
        let Some(confirmed) = self.confirmations.get_mut(peer) else { return };
        // An echo under an older epoch does not confirm the newer one. A peer that names an older epoch than before was
        // restarted and no longer has the newer one.
        let echo = if epoch == confirmed.epoch { confirmed.echo.max(echo) } else { echo };
        *confirmed = PeerConfirmation { epoch, echo };
    }

    /// Whether this controller may respond and send commands: by its lease on the state store, or, while the state
    /// store does not respond, by the confirmation of every other controller. It must be *every* other one, because a
    /// controller cannot distinguish an outage of the state store from a 503 that it alone receives.
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
            && now < confirmed.echo + self.confirmation_lifetime.minus_drift()
            && confirmed.echo > Micros(0)
    }

    /// Whether no other controller can still be acting under an older epoch: each has confirmed this one, or its
    /// leadership has expired. The leadership of a member expires at most one lease after the epoch was raised. A
    /// controller that is not a member lost its lease before that, and can act at most as long as the confirmation
    /// lasts that this controller gave before it adopted the epoch.
    #[must_use]
    pub fn have_older_leaders_stopped(&self, now: Micros) -> bool {
        self.other_confirmations().all(|(peer, confirmed)| {
            let max_leadership =
                if self.members.contains(&peer) { self.member_lease } else { self.confirmation_lifetime };
            confirmed.epoch >= self.epoch || now >= self.adopted_at + max_leadership.plus_drift()
        })
    }

    /// Records the first time in this epoch at which [`Membership::have_older_leaders_stopped`]. Called every round.
    pub fn note_older_leaders_stopped(&mut self, now: Micros) {
        if self.older_leaders_stopped_since.is_none()
            && self.epoch > 0
            && self.have_older_leaders_stopped(now)
        {
            self.older_leaders_stopped_since = Some(now);
        }
    }

    /// Returns the time from which no controller can respond to a worker with an older fencing token: when all others
    /// had confirmed this epoch or certainly lost their leadership, or, before that is known, when they will have
    /// lost it.
    #[must_use]
    pub fn older_leaders_stopped_at(&self) -> Micros {
        self.older_leaders_stopped_since.unwrap_or(self.adopted_at + self.member_lease.plus_drift())
    }

    /// Returns the other controllers, members or not, and what each has confirmed.
    fn other_confirmations(&self) -> impl Iterator<Item = (usize, &PeerConfirmation)> {
        self.confirmations.iter().enumerate().filter(|(peer, _)| *peer != self.me)
    }
}
