//! After an epoch change, sends the fencing token directly to the machines that have not confirmed it yet.

use super::*;

/// Machines probed at a time.
const PROBE_BATCH_SIZE: usize = 40;
/// Probing stops this long after the epoch was adopted. Machines that are unconfirmed later have just
/// started, and send two heartbeats within a second without being probed.
const PROBE_WINDOW: Micros = Micros::from_millis(12_000);
/// Delay after the adoption, so that the hand-off of the former leaders arrives first.
const HANDOFF_GRACE: Micros = Micros::from_millis(250);
const PROBE_PERIOD: Micros = Micros::from_millis(100);

/// When machines are next probed.
#[derive(Default)]
pub(super) struct FencingProbes {
    next_at: Micros,
}

impl Controller {
    /// Probes the next few machines.
    pub(super) fn send_fencing_probes(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let since_adoption = now.since(self.membership.adopted_at);
        let due = now >= self.fencing_probes.next_at
            && since_adoption >= HANDOFF_GRACE
            && since_adoption < PROBE_WINDOW;
        if !due || !self.record_loading.is_done() || !self.membership.is_leader(now) {
            return;
        }
        self.fencing_probes.next_at = now + PROBE_PERIOD;
        let probes = self.machine_shard.take_due_probes(now, PROBE_BATCH_SIZE);
        if !probes.is_empty() {
            out.push(Effect::FencingProbe { epoch: self.membership.epoch, probes });
        }
    }

    /// Applies a machine's response to a probe.
    pub(super) fn apply_fencing_probe_answer(&mut self, now: Micros, heartbeat: &Heartbeat) {
        if self.machine_shard.apply_probe_answer(now, &self.membership, heartbeat) == HeartbeatOutcome::Fenced
        {
            self.membership_loop.step_at_once(now);
        }
    }
}
