//! Witnesses: what one controller knows and would take with it, told to others before it has effect.
//!
//! The paper's leader awaits acknowledgements of its peers (4.3). Here a controller keeps a set of items (starts that
//! it alone decides and alone carries out, and jobs for which the set is complete) and tells the others of each change.
//! An item is [`witnessed`](ReplicationUpdate::witnessed) once at least one of them has said that it holds it, so all of them together
//! hold every witnessed item, whatever was lost on the way: a message names all that changed since the one that its
//! receiver last said it has.

use std::collections::{BTreeMap, BTreeSet};

/// What goes to one witness: all that changed since `since`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes<K> {
    /// Grows with each message.
    pub rev: u64,
    /// The message on which this one builds; 0: this is the whole set.
    pub since: u64,
    /// Items that are new.
    pub added: Vec<K>,
    /// Items that are no more.
    pub dropped: Vec<K>,
}

#[derive(Clone, Debug)]
struct Peer<K> {
    /// The message that it last said it has; 0: none.
    has: u64,
    /// It has been told something; before that it need not be told of changes.
    asked: bool,
    /// What it says of messages up to this one means nothing: they were said before it was forgotten.
    floor: u64,
    /// Changes that it has not said it has, with the first message that named them; None before that.
    open: BTreeMap<K, Option<u64>>,
}

impl<K> Peer<K> {
    fn new(floor: u64) -> Peer<K> {
        Peer { has: 0, asked: false, floor, open: BTreeMap::new() }
    }
}

/// The teller's side.
#[derive(Clone, Debug)]
pub struct ReplicationUpdate<K> {
    rev: u64,
    live: BTreeSet<K>,
    peers: BTreeMap<usize, Peer<K>>,
}

impl<K> Default for ReplicationUpdate<K> {
    fn default() -> Self {
        ReplicationUpdate { rev: 0, live: BTreeSet::new(), peers: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> ReplicationUpdate<K> {
    /// Begins anew with other witnesses, who hold nothing. Numbers go on.
    pub fn begin(&mut self, peers: impl Iterator<Item = usize>) {
        self.live.clear();
        self.peers = peers.map(|p| (p, Peer::new(self.rev))).collect();
    }

    /// An item is there, or is no more.
    pub fn set(&mut self, item: K, there: bool) {
        let changed = if there { self.live.insert(item.clone()) } else { self.live.remove(&item) };
        if changed {
            for p in self.peers.values_mut().filter(|p| p.asked) {
                p.open.insert(item.clone(), None);
            }
        }
    }

    /// Whether `peer` is to hear something that it was never told.
    #[must_use]
    pub fn has_news(&self, peer: usize) -> bool {
        self.peers.get(&peer).is_some_and(|p| !p.asked || p.open.values().any(Option::is_none))
    }

    /// Whether `peer` has yet to say that it has all that it was told.
    #[must_use]
    pub fn waits(&self, peer: usize) -> bool {
        self.peers.get(&peer).is_some_and(|p| p.has == 0 || !p.open.is_empty())
    }

    /// What to tell a witness; None if it is none.
    #[must_use]
    pub fn tell(&mut self, peer: usize) -> Option<Changes<K>> {
        let p = self.peers.get_mut(&peer)?;
        self.rev += 1;
        let rev = self.rev;
        p.asked = true;
        for named in p.open.values_mut() {
            named.get_or_insert(rev);
        }
        let (added, dropped) = match p.has {
            0 => (self.live.iter().cloned().collect(), Vec::new()),
            _ => p.open.keys().cloned().partition(|k| self.live.contains(k)),
        };
        Some(Changes { rev, since: p.has, added, dropped })
    }

    /// A witness is not needed for now: what it holds may grow old, and it is told the whole set when it is next told
    /// anything. Without this the changes that it is not told of would pile up.
    pub fn forget(&mut self, peer: usize) {
        if let Some(p) = self.peers.get_mut(&peer) {
            *p = Peer::new(self.rev);
        }
    }

    /// A witness has this message. Returns the items that are witnessed now and were not.
    pub fn noted(&mut self, peer: usize, rev: u64) -> Vec<K> {
        let Some(p) = self.peers.get(&peer) else { return Vec::new() };
        if rev <= p.has.max(p.floor) || rev > self.rev {
            return Vec::new();
        }
        let first = p.has == 0;
        let known: Vec<K> =
            p.open.iter().filter(|(_, n)| n.is_some_and(|n| n <= rev)).map(|(k, _)| k.clone()).collect();
        let fresh: Vec<K> = match first {
            true => self
                .live
                .iter()
                .filter(|k| p.open.get(*k).is_none_or(|n| n.is_some_and(|n| n <= rev)))
                .collect(),
            false => known.iter().filter(|k| self.live.contains(*k)).collect::<Vec<&K>>(),
        }
        .into_iter()
        .filter(|k| !self.witnessed(k))
        .cloned()
        .collect();
        if let Some(p) = self.peers.get_mut(&peer) {
            p.has = rev;
            for k in known {
                p.open.remove(&k);
            }
        }
        fresh
    }

    /// Whether at least one witness holds this item.
    #[must_use]
    pub fn witnessed(&self, item: &K) -> bool {
        self.live.contains(item) && self.peers.values().any(|p| p.has > 0 && !p.open.contains_key(item))
    }

    /// How many items there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}

/// The witness's side: what one teller has told.
#[derive(Clone, Debug)]
pub struct ReceivedStarts<K> {
    rev: u64,
    items: BTreeSet<K>,
}

impl<K> Default for ReceivedStarts<K> {
    fn default() -> Self {
        ReceivedStarts { rev: 0, items: BTreeSet::new() }
    }
}

impl<K: Clone + Ord> ReceivedStarts<K> {
    /// Takes a message. Returns the number to say in answer; None for one that is out of date or builds on something that
    /// is not held.
    pub fn take(&mut self, c: Changes<K>) -> Option<u64> {
        if c.rev <= self.rev || c.since > self.rev {
            return None;
        }
        if c.since == 0 {
            self.items.clear();
        }
        for k in &c.dropped {
            self.items.remove(k);
        }
        self.items.extend(c.added);
        self.rev = c.rev;
        Some(c.rev)
    }

    /// What is held.
    pub fn items(&self) -> impl Iterator<Item = &K> {
        self.items.iter()
    }
}

#[cfg(test)]
mod tests;
