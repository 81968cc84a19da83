//! Direct probes of machines whose heartbeats have yet to carry this epoch's fencing token.
//!
//! A heartbeat that carries the current fencing token proves that its task list is complete. Without probes that
//! takes two heartbeats: the response to one with an older token carries the new token, and the next heartbeat shows
//! it. So a machine would be confirmed only after up to two heartbeat periods. A direct message without commands
//! carries the token as well, and its answer is a heartbeat.

use super::*;

/// A machine that has not shown the token after this many probes is confirmed by its regular heartbeats only.
const MAX_PROBES: u8 = 3;
/// Minimum time between the first probe and the second; the time before the third is twice as long.
const PROBE_INTERVAL: Micros = Micros::from_millis(1500);

/// A machine to send the fencing token to. It answers with a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct FencingProbe {
    /// The machine.
    pub machine: String,
    /// Address on which its worker accepts direct commands.
    pub addr: String,
    /// The worker's incarnation, as far as known.
    pub incarnation: u64,
}

/// The probes that were sent to a machine in this epoch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbeState {
    sent: u8,
    last_at: Micros,
}

impl ProbeState {
    fn is_due(self, now: Micros) -> bool {
        self.sent < MAX_PROBES && now >= self.last_at + Micros(PROBE_INTERVAL.0 * u64::from(self.sent))
    }
}

impl MachineShard {
    /// Returns up to `max_probes` machines whose task list is not confirmed, to be probed now. Each counts as probed.
    #[must_use]
    pub fn take_due_probes(&mut self, now: Micros, max_probes: usize) -> Vec<FencingProbe> {
        let is_due = |machine: &Machine| {
            machine.inventory == InventoryState::Unconfirmed
                && !machine.record.addr.is_empty()
                && machine.probes.is_due(now)
        };
        self.machines
            .iter_mut()
            .filter(|(_, machine)| is_due(machine))
            .take(max_probes)
            .map(|(name, machine)| {
                machine.probes = ProbeState { sent: machine.probes.sent + 1, last_at: now };
                // Nearly all workers are in their first incarnation; the answer carries the actual one.
                let incarnation = machine.last_heartbeat.incarnation.max(1);
                FencingProbe { machine: name.clone(), addr: machine.record.addr.clone(), incarnation }
            })
            .collect()
    }

    /// Applies a machine's answer to a probe. An answer counts only if it carries the current fencing token and the
    /// machine's task list is not yet confirmed, so that no task was started on it in this epoch: whether the starts in
    /// responses to heartbeats have arrived is decided by heartbeats alone.
    pub fn apply_probe_answer(
        &mut self,
        now: Micros,
        membership: &Membership,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if heartbeat.token > membership.epoch {
            return HeartbeatOutcome::Fenced;
        }
        let is_unconfirmed = |machine: &Machine| machine.inventory == InventoryState::Unconfirmed;
        if heartbeat.token < membership.epoch
            || membership.machine_leader(&heartbeat.machine) != Some(membership.me)
            || !self.machines.get(&heartbeat.machine).is_some_and(is_unconfirmed)
        {
            return HeartbeatOutcome::Stale;
        }
        self.apply_heartbeat(now, membership, heartbeat)
    }
}

#[cfg(test)]
mod tests;
