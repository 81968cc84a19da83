//! After an epoch has been adopted, machines that have yet to show its fencing token are asked directly.

use super::*;

/// Machines asked at a time.
const BATCH: usize = 40;
/// Until so long after adopting an epoch. Later only machines that have just come up are unconfirmed; they send two
/// heartbeats within a second by themselves.
const PROBE_WINDOW: Micros = Micros::from_millis(12_000);
/// What the former leaders hand off comes first.
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
        let probes = self.machine_shard.take_due_probes(now, BATCH);
        if !probes.is_empty() {
            out.push(Effect::FencingProbe { epoch: self.membership.epoch, probes });
        }
    }

    /// A machine has answered.
    pub(super) fn apply_fencing_probe_answer(&mut self, now: Micros, heartbeat: &Heartbeat) {
        if self.machine_shard.apply_probe_answer(now, &self.membership, heartbeat) == HeartbeatOutcome::Fenced
        {
            self.membership_loop.step_at_once(now);
        }
    }
}
