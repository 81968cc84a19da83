//! Expiry of workers' leases, as their machine leader computes it: from the latest heartbeat that a controller can have
//! responded to, which is not always the latest that arrived.
//!
//! A worker kills its tasks and begins its next incarnation when one lease time has passed since it sent the last
//! heartbeat that was answered. If the leader concludes too late that the tasks have ended, time is lost; if
//! it concludes so too early, a task can run twice. The leader counts the lease from:
//!
//! - the last heartbeat, for a machine whose task list is complete. Only this controller has responded to it since,
//!   and only to heartbeats that had arrived.
//! - the last heartbeat, or the time until which other controllers can have responded if that is later, for a machine
//!   whose task list is not confirmed.
//! - the time until which other controllers can have responded, for a machine that keeps sending heartbeats that
//!   never carry a token of this controller. Its heartbeats arrive, but the responses are lost. Each heartbeat proves
//!   that the machine received no response from this controller to an earlier one, so the tasks of the other
//!   controllers have ended one lease after those stopped responding. Counted from its last heartbeat, the lease
//!   would not expire as long as the machine keeps sending.

use super::*;

/// A worker drops a response that arrives later than this after it sent the heartbeat.
pub(crate) const RESPONSE_TIMEOUT: Micros = Micros::from_millis(4000);
/// Interval between two checks of all leases.
const CHECK_INTERVAL: Micros = Micros::from_millis(200);
/// Margin that is added to a lease, beside a fortieth of it, before the lease counts as expired.
const LEASE_MARGIN: Micros = Micros::from_millis(250);
/// Number of lost responses in a row up to which each one lengthens the time without tasks.
const MAX_COUNTED_LOST_RESPONSES: u32 = 4;

impl MachineShard {
    /// Accounts for a pause of this process. Heartbeats may have been sent meanwhile, so the pause does not count
    /// towards the time since a machine's last heartbeat.
    pub fn discount_pause(&mut self, now: Micros, pause: Micros) {
        for machine in self.machines.values_mut() {
            machine.last_heartbeat_at = (machine.last_heartbeat_at + pause).min(now);
        }
    }

    /// Returns the number of machines whose last heartbeat arrived within their lease.
    #[must_use]
    pub fn count_live(&self, now: Micros) -> usize {
        let is_live = |machine: &&Machine| {
            machine.has_sent_heartbeat && now.since(machine.last_heartbeat_at) < self.worker_lease
        };
        self.machines.values().filter(is_live).count()
    }

    /// Applies the changes that come with time alone: leases that have certainly expired, and machines that became
    /// idle or unresponsive. Does nothing within `CHECK_INTERVAL` of the last check.
    pub fn expire_leases(&mut self, now: Micros, membership: &Membership) {
        if now < self.next_lease_check {
            return;
        }
        self.next_lease_check = now + CHECK_INTERVAL;
        self.older_leaders_stopped_at = membership.older_leaders_stopped_at();
        let lease = self.worker_lease.plus_drift() + Micros(self.worker_lease.0 / 40 + LEASE_MARGIN.0);
        for (name, machine) in &mut self.machines {
            if machine.inventory == InventoryState::Gone {
                continue;
            }
            if let Some(reason) = machine.expire_lease(now, lease, self.older_leaders_stopped_at) {
                tracing::info!(machine = %name, epoch = membership.epoch, tasks = machine.tasks.len(), reason, "machine's tasks have ended");
                machine.tasks.clear();
                machine.inventory = InventoryState::Known;
                self.changes.record(name, &mut machine.revision);
            }
            let is_idle = machine.tasks.is_empty();
            if is_idle != machine.idle_since.is_some() {
                machine.idle_since = is_idle.then_some(now);
                self.changes.record(name, &mut machine.revision);
            }
            let is_schedulable = machine.is_schedulable(now, self.silence_limit);
            if is_schedulable != machine.was_schedulable {
                machine.was_schedulable = is_schedulable;
                self.changes.record(name, &mut machine.revision);
            }
        }
    }
}

impl Machine {
    /// Ends the machine's incarnation if its lease has certainly expired. Returns the reason if it follows that all
    /// its tasks have ended and this is new. `others_stopped_at` is the time until which another controller may have
    /// responded, as the epoch shows.
    fn expire_lease(
        &mut self,
        now: Micros,
        lease: Micros,
        others_stopped_at: Micros,
    ) -> Option<&'static str> {
        // Only this controller can have responded since the last heartbeat to a machine whose task list is complete.
        // A machine that was never confirmed may have received responses with an older token until the controllers
        // that send them stopped.
        let is_unconfirmed = self.inventory == InventoryState::Unconfirmed;
        let last_response_at =
            if is_unconfirmed { self.last_response_at(others_stopped_at) } else { self.last_heartbeat_at };
        let is_expired = now >= last_response_at + lease;
        if is_expired {
            // Any heartbeat of this incarnation that still arrives was sent before its end.
            self.ended_incarnation = self.ended_incarnation.max(self.last_heartbeat.incarnation);
        }
        let others_expired_at = self.others_responded_until.unwrap_or(others_stopped_at) + lease;
        if is_unconfirmed && !is_expired && self.is_receiving_no_responses(others_expired_at) {
            return Some("machine receives no responses");
        }
        let has_tasks = self.tasks.values().any(TaskEntry::can_be_on_machine);
        (is_expired && (is_unconfirmed || has_tasks)).then_some("lease expired")
    }

    /// Returns the latest time at which any controller can have responded to a machine whose task list is not
    /// confirmed. `others_stopped_at` is the time until which another controller may have responded, as the epoch
    /// shows.
    pub(super) fn last_response_at(&self, others_stopped_at: Micros) -> Micros {
        let others_stopped_at = self.others_responded_until.unwrap_or(others_stopped_at);
        if self.has_sent_heartbeat {
            self.last_heartbeat_at.max(others_stopped_at)
        } else {
            others_stopped_at
        }
    }

    /// Records the fencing token of the heartbeat that arrived just now. A token older than any that this controller
    /// can have sent to the machine shows that the machine received no response from this controller to an earlier
    /// heartbeat.
    pub(super) fn record_token(&mut self, now: Micros, token: u64, epoch: u64) {
        self.no_response_received_at = (token < self.led_since_epoch).then_some(now);
        self.stale_token_heartbeats =
            if token < epoch { self.stale_token_heartbeats.saturating_add(1) } else { 0 };
    }

    /// Whether no task of another controller can still run on a machine whose task list is not confirmed, although
    /// the machine sends heartbeats. `others_expired_at` is the time at which the leases have expired that other
    /// controllers renewed, as the epoch shows.
    ///
    /// Its last heartbeat shows that it had received no response from this controller to an earlier one. If it
    /// received the response to the last one, it had sent that heartbeat at most `RESPONSE_TIMEOUT` ago: after
    /// `others_expired_at`, and so in an incarnation without tasks of other controllers. If it did not, no controller
    /// has responded to it since the others stopped. A copy of an old heartbeat proves no less, since the worker
    /// drops the response to it.
    fn is_receiving_no_responses(&self, others_expired_at: Micros) -> bool {
        self.no_response_received_at.is_some_and(|at| at >= others_expired_at + RESPONSE_TIMEOUT.plus_drift())
    }

    /// Records that a heartbeat did not list starts that were sent with the response to an earlier heartbeat of the
    /// same incarnation: that response was lost. Single responses are lost now and then. A machine that loses two in
    /// a row gets no tasks for a while; otherwise jobs would be placed on it again after each heartbeat.
    pub(super) fn record_lost_response(&mut self, now: Micros, silence_limit: Micros) {
        self.lost_responses = (self.lost_responses + 1).min(MAX_COUNTED_LOST_RESPONSES);
        if self.lost_responses > 1 {
            self.no_starts_until = now + Micros(silence_limit.0 << (self.lost_responses - 2));
        }
    }
}
