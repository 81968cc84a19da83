//! Hand-off batches from one leader to the next: delivered at least once, in any order, and valid only in their epoch.
//!
//! Batches are an optimization: a controller that does not receive one rebuilds the state from the machines'
//! heartbeats. So a batch is repeated only for a limited time, and silently dropped when the epoch changes or no
//! acknowledgement arrives.

use hazelsaddle_cluster::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long a batch is sent repeatedly. By then its receiver has received heartbeats from the machines that are alive.
const BATCH_LIFETIME: Micros = Micros::from_millis(15_000);

#[derive(Clone, Debug)]
struct PendingBatch<B> {
    batch: B,
    packed_at: Micros,
    last_sent_at: Option<Micros>,
}

/// Batches that have not been acknowledged, by receiver and number.
#[derive(Clone, Debug)]
pub struct Outbox<B> {
    last_number: u64,
    pending: BTreeMap<(usize, u64), PendingBatch<B>>,
}

impl<B> Default for Outbox<B> {
    fn default() -> Self {
        Outbox { last_number: 0, pending: BTreeMap::new() }
    }
}

impl<B: Clone> Outbox<B> {
    /// Drops all batches at a new epoch, in which those of the last one are not valid. Numbers continue, so that a late
    /// acknowledgement of an old batch is never taken for one of a new batch.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Queues a batch for the controller `to`.
    pub fn push(&mut self, now: Micros, to: usize, batch: B) {
        self.last_number += 1;
        let pending = PendingBatch { batch, packed_at: now, last_sent_at: None };
        self.pending.insert((to, self.last_number), pending);
    }

    /// Returns the batches to send to `to` now, by number. Each is returned at once, and again after every `pause`
    /// until it is acknowledged or too old. The returned batches count as sent.
    #[must_use]
    pub fn take_due(&mut self, now: Micros, to: usize, pause: Micros) -> Vec<(u64, B)> {
        self.pending.retain(|_, pending| now.since(pending.packed_at) < BATCH_LIFETIME);
        let mut due = Vec::new();
        for ((_, number), pending) in self.pending.range_mut((to, 0)..=(to, u64::MAX)) {
            if pending.last_sent_at.is_none_or(|at| now.since(at) >= pause) {
                pending.last_sent_at = Some(now);
                due.push((*number, pending.batch.clone()));
            }
        }
        due
    }

    /// Removes the batches that a receiver has acknowledged. Unknown numbers are ignored.
    pub fn acknowledge(&mut self, from: usize, numbers: &[u64]) {
        for number in numbers {
            self.pending.remove(&(from, *number));
        }
    }

    /// Returns the number of unacknowledged batches.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether all batches have been acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Batches that were received and can't be applied yet, and the numbers of all that were received in this epoch.
#[derive(Clone, Debug)]
pub struct Inbox<B> {
    /// Sender, its boot ID, and the number of the batch.
    received: BTreeSet<(usize, u64, u64)>,
    waiting: Vec<(usize, B)>,
}

impl<B> Default for Inbox<B> {
    fn default() -> Self {
        Inbox { received: BTreeSet::new(), waiting: Vec::new() }
    }
}

impl<B> Inbox<B> {
    /// Drops all batches at a new epoch, in which those of the last one are not valid.
    pub fn clear(&mut self) {
        self.received.clear();
        self.waiting.clear();
    }

    /// Accepts a batch from a controller's process with the boot ID `boot`. Returns whether it is new; a repeated one is dropped.
    pub fn accept(&mut self, from: usize, boot: u64, number: u64, batch: B) -> bool {
        let is_new = self.received.insert((from, boot, number));
        if is_new {
            self.waiting.push((from, batch));
        }
        is_new
    }

    /// Returns all batches that wait to be applied, with their senders.
    #[must_use]
    pub fn take_waiting(&mut self) -> Vec<(usize, B)> {
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
mod tests;
