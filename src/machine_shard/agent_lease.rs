//! Workers' leases as their machine's leader counts them: from the last heartbeat that somebody can have answered, which
//! is not always the last that came.
//!
//! A worker kills its tasks and begins its next incarnation once the last of its heartbeats that was answered was sent a
//! lease ago. Too late a conclusion costs time, too early a one lets a task run twice. What a leader may count from:
//!
//! - a machine whose tasks are known: its last heartbeat. Only we have answered it since, and no heartbeat before it has
//!   arrived.
//! - one whose tasks are not known: also until when others can have answered it.
//! - one that reports on and never shows a token of ours receives no responses: its heartbeats arrive and the responses are
//!   lost. Each heartbeat proves that no earlier one was answered by us, so what others began is over a lease after they
//!   stopped answering. Counted from its last heartbeat it would be waited for as long as it reports.

use super::*;

/// A worker drops a response that comes later than this after it sent its heartbeat.
pub(crate) const RESPONSE_TIMEOUT: Micros = Micros::from_millis(4000);
/// Time between two looks at all leases.
const CHECK_INTERVAL: Micros = Micros::from_millis(200);
/// Added to a lease, beside a fortieth of it, before it counts as expired.
const LEASE_MARGIN: Micros = Micros::from_millis(250);
/// Lost responses in a row that still lengthen the time without tasks.
const MOST_LOST_RESPONSES: u32 = 4;

impl MachineShard {
    /// This process did not get to run for so long. Machines may have spoken meanwhile, so their silence is counted
    /// without that time.
    pub fn discount_pause(&mut self, now: Micros, pause: Micros) {
        for machine in self.machines.values_mut() {
            machine.heard_at = (machine.heard_at + pause).min(now);
        }
    }

    /// How many machines were heard of late enough that their leases live.
    #[must_use]
    pub fn count_live(&self, now: Micros) -> usize {
        let is_live =
            |machine: &&Machine| machine.has_reported && now.since(machine.heard_at) < self.worker_lease;
        self.machines.values().filter(is_live).count()
    }

    /// Applies what time alone decides: leases that have certainly expired, machines that became idle or silent.
    /// Does nothing if it was called a moment ago.
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
                tracing::info!(machine = %name, epoch = membership.epoch, tasks = machine.tasks.len(), reason, "machine's tasks are gone");
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
    /// Ends the incarnation if its lease has certainly expired. Returns why all its tasks are gone, if they are and that is
    /// news. `others_until`: until when another controller may have answered it, by what the epoch says.
    fn expire_lease(&mut self, now: Micros, lease: Micros, others_until: Micros) -> Option<&'static str> {
        // A machine whose tasks are known was last answered by us, no earlier than its last heartbeat; no other controller
        // can have answered it since. One that was never confirmed may have been answered under an older token until those
        // controllers stopped.
        let is_unconfirmed = self.inventory == InventoryState::Unconfirmed;
        let last_answer = if is_unconfirmed { self.last_answer(others_until) } else { self.heard_at };
        let is_expired = now >= last_answer + lease;
        if is_expired {
            // Whatever still comes of this incarnation was sent before its end.
            self.ended_incarnation = self.ended_incarnation.max(self.last_heartbeat.incarnation);
        }
        let others_expired_at = self.others_answered_until.unwrap_or(others_until) + lease;
        if is_unconfirmed && !is_expired && self.receives_no_responses(others_expired_at) {
            return Some("it receives no responses");
        }
        let has_tasks = self.tasks.values().any(TaskEntry::may_be_on_machine);
        (is_expired && (is_unconfirmed || has_tasks)).then_some("lease expired")
    }

    /// When at the latest anybody can have answered a machine whose tasks are not known; `others_until`: until when
    /// another controller may have, by what the epoch says.
    pub(super) fn last_answer(&self, others_until: Micros) -> Micros {
        let others_until = self.others_answered_until.unwrap_or(others_until);
        if self.has_reported { self.heard_at.max(others_until) } else { others_until }
    }

    /// Its latest heartbeat, which came just now, shows this token. One that is older than any under which we can have
    /// answered it shows that it received no response of ours to an earlier heartbeat.
    pub(super) fn note_token(&mut self, now: Micros, token: u64, epoch: u64) {
        self.unanswered_at = (token < self.led_since_epoch).then_some(now);
        self.stale_token_heartbeats =
            if token < epoch { self.stale_token_heartbeats.saturating_add(1) } else { 0 };
    }

    /// Whether nothing is left of what others began on a machine whose tasks are not known, although it reports.
    /// `others_expired_at`: when the leases have expired that others renewed, by what the epoch says.
    ///
    /// Its last heartbeat shows that it had received no response of ours to an earlier one. If it received ours to this
    /// one, it had sent it no longer ago than a worker waits: after `others_expired_at`, so in an incarnation without tasks
    /// of others. If it did not, nobody has answered it since the others stopped. A copy of an old heartbeat proves no
    /// less: the response to it is dropped.
    fn receives_no_responses(&self, others_expired_at: Micros) -> bool {
        self.unanswered_at.is_some_and(|at| at >= others_expired_at + RESPONSE_TIMEOUT.plus_drift())
    }

    /// A heartbeat did not list starts that went out with the response to an earlier one of the incarnation: that response
    /// was lost. Now and then one is; a machine that loses two in a row is given no tasks for a while, or jobs would be
    /// placed on it again with each heartbeat.
    pub(super) fn note_lost_response(&mut self, now: Micros, silence_limit: Micros) {
        self.lost_responses = (self.lost_responses + 1).min(MOST_LOST_RESPONSES);
        if self.lost_responses > 1 {
            self.closed_until = now + Micros(silence_limit.0 << (self.lost_responses - 2));
        }
    }
}
