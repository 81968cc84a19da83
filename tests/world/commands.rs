//! Fencing probes that are delayed in the network, and counters of their effects: a worker may have received a newer
//! leader's token by the time it gets one.

use super::*;

#[derive(Default)]
pub(crate) struct Commands {
    /// Share of the probes and the end time.
    late: (f64, u64),
    /// Delayed probes that reached a running worker; of these, those from a process that had ended, and those after a
    /// newer epoch was raised.
    pub(crate) late_all: usize,
    pub(crate) ended: usize,
    pub(crate) after_newer: usize,
    /// Probes that a worker rejected because it had a newer token, or because of a different incarnation.
    pub(crate) by_token: usize,
    pub(crate) by_incarnation: usize,
    /// Probes that a worker accepted; of these, those of an epoch that was no longer the newest.
    pub(crate) carried_out: usize,
    pub(crate) deposed: usize,
}

impl Commands {
    /// When the last delayed probe is sent.
    pub(crate) fn until(&self) -> u64 {
        self.late.1
    }
}

impl World {
    /// For `duration`, this share of fencing probes arrives 2 to 16 s late and its answer is lost. A worker still
    /// accepts one if token and incarnation match.
    pub(crate) fn delay_fencing_probes(&mut self, share: f64, duration: u64) {
        self.commands.late = (share, self.now + duration);
    }

    /// A controller sends a fencing probe. `delay` is its normal network delay.
    pub(crate) fn send_fencing_probe(
        &mut self,
        controller: usize,
        token: u64,
        probe: FencingProbe,
        delay: u64,
    ) {
        let boot = self.boot_ids[controller];
        let (share, until) = self.commands.late;
        if self.now < until && self.rng.random_bool(share) {
            let late = self.rng.random_range(2 * S..16 * S);
            return self.schedule(delay + late, SimEvent::DeliverLateProbe(controller, boot, token, probe));
        }
        self.schedule(delay, SimEvent::DeliverProbe(controller, boot, token, probe));
    }

    /// A delayed probe arrives; its answer is dropped.
    pub(crate) fn deliver_late_probe(&mut self, sender: usize, boot: u64, token: u64, probe: FencingProbe) {
        let Some(worker_index) = self.probed_worker(&probe) else { return };
        let unresponsive_until = self.workers[worker_index].unresponsive_until;
        if unresponsive_until > self.now {
            return self.schedule(
                unresponsive_until - self.now,
                SimEvent::DeliverLateProbe(sender, boot, token, probe),
            );
        }
        let (newest, ended) = (self.epoch(), boot != self.boot_ids[sender]);
        // No controller may use a token newer than the epoch: a worker that accepted it would reject all later
        // responses.
        assert!(token <= newest, "controller {sender} uses token {token}, the newest epoch is {newest}");
        let worker = &self.workers[worker_index];
        let counts = &mut self.commands;
        counts.late_all += 1;
        counts.ended += usize::from(ended);
        counts.after_newer += usize::from(token < newest);
        if token < worker.token {
            counts.by_token += 1;
        } else if probe.incarnation != worker.incarnation {
            counts.by_incarnation += 1;
        } else {
            counts.carried_out += 1;
            counts.deposed += usize::from(token < newest);
        }
        self.apply_fencing_probe(worker_index, token, &probe);
    }
}
