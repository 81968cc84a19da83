//! Hand-off batches from one controller to the next: delivered at least once, in any order, void with their epoch.
//!
//! A batch helps and is never needed: a controller that does not get it rebuilds from what the machines say. So it is
//! repeated only for a while, and dropped without a word when the epoch changes or its receiver never acknowledges it.

use hazelsaddle_cluster::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long a batch is offered. By then its receiver has heard from the machines that live.
const LIFE: Micros = Micros::from_millis(15_000);

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
    /// A new epoch: what was packed for the last is void. Numbers go on, so that a late acknowledgement of an old batch is
    /// never taken for one of a new.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Queues a batch for `to`.
    pub fn push(&mut self, now: Micros, to: usize, batch: B) {
        self.last_number += 1;
        let pending = PendingBatch { batch, packed_at: now, last_sent_at: None };
        self.pending.insert((to, self.last_number), pending);
    }

    /// The batches to send to `to` now, by number: each at once, and again every `pause` until it is acknowledged or too
    /// old. What is returned counts as sent.
    #[must_use]
    pub fn take_due(&mut self, now: Micros, to: usize, pause: Micros) -> Vec<(u64, B)> {
        self.pending.retain(|_, pending| now.since(pending.packed_at) < LIFE);
        let mut due = Vec::new();
        for ((_, number), pending) in self.pending.range_mut((to, 0)..=(to, u64::MAX)) {
            if pending.last_sent_at.is_none_or(|at| now.since(at) >= pause) {
                pending.last_sent_at = Some(now);
                due.push((*number, pending.batch.clone()));
            }
        }
        due
    }

    /// The receiver has these. Numbers that are not known are ignored.
    pub fn acknowledge(&mut self, from: usize, numbers: &[u64]) {
        for number in numbers {
            self.pending.remove(&(from, *number));
        }
    }

    /// How many have not been acknowledged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether all have been acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Batches that have come and can't be applied yet, and the numbers of all that came in this epoch.
#[derive(Clone, Debug)]
pub struct Inbox<B> {
    /// Sender, its process, and the batch's number.
    seen: BTreeSet<(usize, u64, u64)>,
    waiting: Vec<(usize, B)>,
}

impl<B> Default for Inbox<B> {
    fn default() -> Self {
        Inbox { seen: BTreeSet::new(), waiting: Vec::new() }
    }
}

impl<B> Inbox<B> {
    /// A new epoch: what came in the last is void.
    pub fn clear(&mut self) {
        self.seen.clear();
        self.waiting.clear();
    }

    /// Accepts a batch from a process (`boot`) of a controller. Returns whether it is new; a repeated one is dropped.
    pub fn accept(&mut self, from: usize, boot: u64, number: u64, batch: B) -> bool {
        let is_new = self.seen.insert((from, boot, number));
        if is_new {
            self.waiting.push((from, batch));
        }
        is_new
    }

    /// All that waits to be applied, with its sender.
    #[must_use]
    pub fn take_waiting(&mut self) -> Vec<(usize, B)> {
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
mod tests;
