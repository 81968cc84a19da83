//! Parcels from one controller to the next: at least once, in any order, void with their epoch.
//!
//! A parcel helps and is never needed: who does not get it rebuilds from what the machines say. So it is repeated only
//! for a while, and dropped without a word when the epoch changes or its receiver never says that it came.

use hazelsaddle_cluster::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long a parcel is offered. By then its receiver has heard from the machines that live.
const LIFE: Micros = Micros::from_millis(15_000);

#[derive(Clone, Debug)]
struct Sent<P> {
    parcel: P,
    packed: Micros,
    last: Option<Micros>,
}

/// Parcels that have not been acknowledged, by receiver and number.
#[derive(Clone, Debug)]
pub struct Outbox<P> {
    next: u64,
    waiting: BTreeMap<(usize, u64), Sent<P>>,
}

impl<P> Default for Outbox<P> {
    fn default() -> Self {
        Outbox { next: 0, waiting: BTreeMap::new() }
    }
}

impl<P: Clone> Outbox<P> {
    /// A new epoch: what was packed for the last is void. Numbers go on, so that a late word on an old parcel is never
    /// taken for one on a new.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Packs a parcel.
    pub fn pack(&mut self, now: Micros, to: usize, parcel: P) {
        self.next += 1;
        self.waiting.insert((to, self.next), Sent { parcel, packed: now, last: None });
    }

    /// The parcels to send to `to` now: each at once, and again every `pause` until it is acknowledged or too old.
    #[must_use]
    pub fn due(&mut self, now: Micros, to: usize, pause: Micros) -> Vec<(u64, P)> {
        self.waiting.retain(|_, s| now.since(s.packed) < LIFE);
        let mut out = Vec::new();
        for ((_, n), s) in self.waiting.range_mut((to, 0)..=(to, u64::MAX)) {
            if s.last.is_none_or(|t| now.since(t) >= pause) {
                s.last = Some(now);
                out.push((*n, s.parcel.clone()));
            }
        }
        out
    }

    /// The receiver has these.
    pub fn acknowledged(&mut self, from: usize, numbers: &[u64]) {
        for n in numbers {
            self.waiting.remove(&(from, *n));
        }
    }

    /// How many have not been acknowledged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether all have been acknowledged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Parcels that have come and can't be unpacked yet, and the numbers of all that came in this epoch.
#[derive(Clone, Debug)]
pub struct Inbox<P> {
    seen: BTreeSet<(usize, u64, u64)>,
    waiting: Vec<(usize, P)>,
}

impl<P> Default for Inbox<P> {
    fn default() -> Self {
        Inbox { seen: BTreeSet::new(), waiting: Vec::new() }
    }
}

impl<P> Inbox<P> {
    /// A new epoch: what came in the last is void.
    pub fn clear(&mut self) {
        self.seen.clear();
        self.waiting.clear();
    }

    /// A parcel came from a process (`boot`) of a controller. Says whether it is new; a repeated one is dropped.
    pub fn take(&mut self, from: usize, boot: u64, number: u64, parcel: P) -> bool {
        let new = self.seen.insert((from, boot, number));
        if new {
            self.waiting.push((from, parcel));
        }
        new
    }

    /// All that waits to be unpacked.
    #[must_use]
    pub fn unpack(&mut self) -> Vec<(usize, P)> {
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
mod tests;
