//! Machines that have yet to show this epoch's fencing token, probed directly instead of waited for.
//!
//! A heartbeat that shows our token proves that its task list is complete. By itself a worker gets there by two heartbeats:
//! one with an older token, whose response brings ours, and the next. That takes two heartbeat periods where the token has
//! changed a moment ago already. A direct message without commands brings the token as well, and its answer is a heartbeat.

use super::*;

/// A machine that has not shown the token after so many probes is left to its heartbeats.
const MOST_PROBES: u8 = 3;
/// Least time between the first probe and the second; the time before the third is twice as long.
const PROBE_INTERVAL: Micros = Micros::from_millis(1500);

/// A machine that is to be told the fencing token, and to report.
#[derive(Clone, Debug, PartialEq)]
pub struct FencingProbe {
    /// The machine.
    pub machine: String,
    /// Where it takes direct commands.
    pub addr: String,
    /// Its agent's incarnation, as far as is known.
    pub incarnation: u64,
}

/// The probes that a machine was sent in this epoch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProbeState {
    sent: u8,
    last_at: Micros,
}

impl ProbeState {
    fn is_due(self, now: Micros) -> bool {
        self.sent < MOST_PROBES && now >= self.last_at + Micros(PROBE_INTERVAL.0 * u64::from(self.sent))
    }
}

impl MachineShard {
    /// Up to `most` of our machines that may hold tasks that we don't know of, to be probed now. Each counts as probed.
    #[must_use]
    pub fn take_due_probes(&mut self, now: Micros, most: usize) -> Vec<FencingProbe> {
        let is_due = |machine: &Machine| {
            machine.inventory == InventoryState::Unconfirmed
                && !machine.record.addr.is_empty()
                && machine.probes.is_due(now)
        };
        self.machines
            .iter_mut()
            .filter(|(_, machine)| is_due(machine))
            .take(most)
            .map(|(name, machine)| {
                machine.probes = ProbeState { sent: machine.probes.sent + 1, last_at: now };
                // Nearly all agents are in their first incarnation; one that is not says so.
                let incarnation = machine.last_heartbeat.incarnation.max(1);
                FencingProbe { machine: name.clone(), addr: machine.record.addr.clone(), incarnation }
            })
            .collect()
    }

    /// Applies a machine's answer to a probe. Only an answer that shows our token says anything, and only of a machine on
    /// which nothing was started in this epoch: what goes out with responses to heartbeats is settled by heartbeats.
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
