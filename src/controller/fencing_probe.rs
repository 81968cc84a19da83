//! After an epoch the machines that have yet to show its token are asked directly.

use super::*;

/// Machines asked at a time.
const AT_A_TIME: usize = 40;
/// Until so long after adopting an epoch. Later only machines that have just come up are unconfirmed; they report twice
/// within a second by themselves.
const WHILE: Micros = Micros::from_millis(12_000);
/// What the former homes hand over comes first.
const PARCELS: Micros = Micros::from_millis(250);
const EVERY: Micros = Micros::from_millis(100);

impl Controller {
    /// Asks the next few.
    pub(super) fn greet(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let since = now.since(self.membership.adopted_at);
        let due = now >= self.next_greeting && since >= PARCELS && since < WHILE;
        if !due || self.load != Load::Done || !self.membership.is_leader(now) {
            return;
        }
        self.next_greeting = now + EVERY;
        let list = self.machine_shard.take_due_probes(now, AT_A_TIME);
        if !list.is_empty() {
            out.push(Effect::Greet(self.membership.epoch, list));
        }
    }

    /// A machine has answered.
    pub(super) fn greeted(&mut self, now: Micros, r: &Heartbeat) {
        if self.machine_shard.apply_probe_answer(now, &self.membership, r) == HeartbeatOutcome::Fenced {
            self.next_ring = now;
        }
    }
}
