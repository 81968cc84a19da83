//! Replication of starts: what one controller alone knows is told to others before it has effect.
//!
//! The paper's leader awaits acknowledgements of its peers (4.3). Here a controller keeps a set of items (starts that it
//! alone decides and alone carries out, and jobs for which the set is complete) and sends its peers each change. An item
//! [is replicated](ReplicationSender::is_replicated) once at least one of them has acknowledged it, so all of them together
//! hold every replicated item, whatever was lost on the way: a delta names all that changed since the one that its receiver
//! last acknowledged.

use std::collections::{BTreeMap, BTreeSet};

/// What goes to one replica: all that changed since `base_revision`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationDelta<K> {
    /// Grows with each delta.
    pub revision: u64,
    /// The delta on which this one builds; 0: this is the whole set.
    pub base_revision: u64,
    /// Items that are new.
    pub added: Vec<K>,
    /// Items that are no more.
    pub dropped: Vec<K>,
}

#[derive(Clone, Debug)]
struct Replica<K> {
    /// The revision that it last acknowledged; 0: none.
    acknowledged: u64,
    /// It has been sent something; before that it need not be sent changes.
    was_sent: bool,
    /// An acknowledgement up to this revision means nothing: it was given before the replica was forgotten.
    floor: u64,
    /// Changes that it has not acknowledged, with the first revision that named them; None before that.
    open: BTreeMap<K, Option<u64>>,
}

impl<K> Replica<K> {
    fn new(floor: u64) -> Replica<K> {
        Replica { acknowledged: 0, was_sent: false, floor, open: BTreeMap::new() }
    }
}

/// The sender's side: the set, and what each replica has of it.
#[derive(Clone, Debug)]
pub struct ReplicationSender<K> {
    revision: u64,
    items: BTreeSet<K>,
    replicas: BTreeMap<usize, Replica<K>>,
}

impl<K> Default for ReplicationSender<K> {
    fn default() -> Self {
        ReplicationSender { revision: 0, items: BTreeSet::new(), replicas: BTreeMap::new() }
    }
}

impl<K: Clone + Ord> ReplicationSender<K> {
    /// Begins anew with an empty set and other replicas, who hold nothing. Revisions go on.
    pub fn restart(&mut self, peers: impl Iterator<Item = usize>) {
        self.items.clear();
        self.replicas = peers.map(|peer| (peer, Replica::new(self.revision))).collect();
    }

    /// Adds an item, or removes it. Does nothing if that is so already.
    pub fn set(&mut self, item: K, is_present: bool) {
        let changed = if is_present { self.items.insert(item.clone()) } else { self.items.remove(&item) };
        if changed {
            for replica in self.replicas.values_mut().filter(|replica| replica.was_sent) {
                replica.open.insert(item.clone(), None);
            }
        }
    }

    /// Whether `peer` is to be sent something that no delta has named to it.
    #[must_use]
    pub fn has_unsent(&self, peer: usize) -> bool {
        self.replicas
            .get(&peer)
            .is_some_and(|replica| !replica.was_sent || replica.open.values().any(Option::is_none))
    }

    /// Whether `peer` has yet to acknowledge all that it was sent.
    #[must_use]
    pub fn awaits_acknowledgement(&self, peer: usize) -> bool {
        self.replicas.get(&peer).is_some_and(|replica| replica.acknowledged == 0 || !replica.open.is_empty())
    }

    /// The delta to send to a peer now; None if it is no replica.
    #[must_use]
    pub fn next_delta(&mut self, peer: usize) -> Option<ReplicationDelta<K>> {
        let replica = self.replicas.get_mut(&peer)?;
        self.revision += 1;
        let revision = self.revision;
        replica.was_sent = true;
        for named_in in replica.open.values_mut() {
            named_in.get_or_insert(revision);
        }
        let (added, dropped) = match replica.acknowledged {
            0 => (self.items.iter().cloned().collect(), Vec::new()),
            _ => replica.open.keys().cloned().partition(|item| self.items.contains(item)),
        };
        Some(ReplicationDelta { revision, base_revision: replica.acknowledged, added, dropped })
    }

    /// A replica is not needed for now: what it holds may grow old, and it is sent the whole set when it is next sent
    /// anything. Without this the changes that it is not sent would pile up.
    pub fn reset_replica(&mut self, peer: usize) {
        if let Some(replica) = self.replicas.get_mut(&peer) {
            *replica = Replica::new(self.revision);
        }
    }

    /// A replica has the delta of this revision. Returns the items that are replicated now and were not.
    pub fn acknowledge(&mut self, peer: usize, revision: u64) -> Vec<K> {
        let Some(replica) = self.replicas.get(&peer) else { return Vec::new() };
        if revision <= replica.acknowledged.max(replica.floor) || revision > self.revision {
            return Vec::new();
        }
        let is_named = |named_in: &Option<u64>| named_in.is_some_and(|named_in| named_in <= revision);
        let named: Vec<K> = replica
            .open
            .iter()
            .filter(|(_, named_in)| is_named(named_in))
            .map(|(item, _)| item.clone())
            .collect();
        // The first acknowledgement is of the whole set.
        let held: Vec<&K> = match replica.acknowledged {
            0 => self.items.iter().filter(|item| replica.open.get(*item).is_none_or(is_named)).collect(),
            _ => named.iter().filter(|item| self.items.contains(*item)).collect(),
        };
        let newly_replicated: Vec<K> =
            held.into_iter().filter(|item| !self.is_replicated(item)).cloned().collect();
        if let Some(replica) = self.replicas.get_mut(&peer) {
            replica.acknowledged = revision;
            for item in named {
                replica.open.remove(&item);
            }
        }
        newly_replicated
    }

    /// Whether at least one replica has acknowledged this item.
    #[must_use]
    pub fn is_replicated(&self, item: &K) -> bool {
        self.items.contains(item)
            && self
                .replicas
                .values()
                .any(|replica| replica.acknowledged > 0 && !replica.open.contains_key(item))
    }

    /// How many items there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

/// The replica's side: what one sender has sent.
#[derive(Clone, Debug)]
pub struct ReplicationReceiver<K> {
    revision: u64,
    items: BTreeSet<K>,
}

impl<K> Default for ReplicationReceiver<K> {
    fn default() -> Self {
        ReplicationReceiver { revision: 0, items: BTreeSet::new() }
    }
}

impl<K: Clone + Ord> ReplicationReceiver<K> {
    /// Applies a delta. Returns the revision to acknowledge; None for a delta that is out of date or builds on something
    /// that is not held.
    pub fn apply(&mut self, delta: ReplicationDelta<K>) -> Option<u64> {
        if delta.revision <= self.revision || delta.base_revision > self.revision {
            return None;
        }
        if delta.base_revision == 0 {
            self.items.clear();
        }
        for item in &delta.dropped {
            self.items.remove(item);
        }
        self.items.extend(delta.added);
        self.revision = delta.revision;
        Some(delta.revision)
    }

    /// What is held.
    pub fn items(&self) -> impl Iterator<Item = &K> {
        self.items.iter()
    }
}

#[cfg(test)]
mod tests;
