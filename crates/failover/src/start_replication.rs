//! Replication of task starts: information that only one controller has is sent to others before it takes effect.
//!
//! In the paper that `docs/design.md` names, the leader waits for its peers' acknowledgements (section 4.3). Here a
//! controller keeps a set of items and sends its peers each change. The items are starts, which only this controller
//! decides and issues, and jobs for which the set of starts is complete. An item [is
//! replicated](ReplicationSender::is_replicated) once at least one peer has acknowledged it, so all peers together
//! hold every replicated item, whichever messages were lost: a delta contains all changes since the one that its
//! receiver last acknowledged.

use std::collections::{BTreeMap, BTreeSet};

/// A message to one replica: all changes since `base_revision`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicationDelta<K> {
    /// Increases with each delta.
    pub revision: u64,
    /// The delta on which this one builds; 0 if this is the full set.
    pub base_revision: u64,
    /// Items that were added.
    pub added: Vec<K>,
    /// Items that were removed.
    pub dropped: Vec<K>,
}

#[derive(Clone, Debug)]
struct Replica<K> {
    /// The latest acknowledged revision; 0 if none.
    acknowledged: u64,
    /// Whether a delta was sent to it. Before that, no changes need to be kept for it.
    has_been_sent: bool,
    /// Acknowledgements up to this revision are ignored: they were given before the replica was reset.
    ignored_up_to: u64,
    /// Changes that it has not acknowledged, with the first revision that contained each; None before a delta did.
    unacknowledged: BTreeMap<K, Option<u64>>,
}

impl<K> Replica<K> {
    fn new(ignored_up_to: u64) -> Replica<K> {
        Replica { acknowledged: 0, has_been_sent: false, ignored_up_to, unacknowledged: BTreeMap::new() }
    }
}

/// The sender's side: the set, and what each replica has acknowledged.
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
    /// Begins again with an empty set and new replicas, which hold nothing. Revisions continue.
    pub fn restart(&mut self, peers: impl Iterator<Item = usize>) {
        self.items.clear();
        self.replicas = peers.map(|peer| (peer, Replica::new(self.revision))).collect();
    }

    /// Adds or removes an item. Does nothing if the set is already in that state.
    pub fn set(&mut self, item: K, is_present: bool) {
        let changed = if is_present { self.items.insert(item.clone()) } else { self.items.remove(&item) };
        if changed {
            for replica in self.replicas.values_mut().filter(|replica| replica.has_been_sent) {
                replica.unacknowledged.insert(item.clone(), None);
            }
        }
    }

    /// Whether there is a change that no delta has sent to `peer`.
    #[must_use]
    pub fn has_unsent(&self, peer: usize) -> bool {
        self.replicas.get(&peer).is_some_and(|replica| {
            !replica.has_been_sent || replica.unacknowledged.values().any(Option::is_none)
        })
    }

    /// Whether `peer` has yet to acknowledge some of what it was sent.
    #[must_use]
    pub fn awaits_acknowledgement(&self, peer: usize) -> bool {
        self.replicas
            .get(&peer)
            .is_some_and(|replica| replica.acknowledged == 0 || !replica.unacknowledged.is_empty())
    }

    /// Returns the delta to send to a peer now; None if the peer is not a replica.
    #[must_use]
    pub fn next_delta(&mut self, peer: usize) -> Option<ReplicationDelta<K>> {
        let replica = self.replicas.get_mut(&peer)?;
        self.revision += 1;
        let revision = self.revision;
        replica.has_been_sent = true;
        for sent_in in replica.unacknowledged.values_mut() {
            sent_in.get_or_insert(revision);
        }
        let (added, dropped) = match replica.acknowledged {
            0 => (self.items.iter().cloned().collect(), Vec::new()),
            _ => replica.unacknowledged.keys().cloned().partition(|item| self.items.contains(item)),
        };
        Some(ReplicationDelta { revision, base_revision: replica.acknowledged, added, dropped })
    }

    /// Resets a replica that is not needed for now. What it holds may become stale, and the next delta sends it the
    /// full set. Otherwise the changes that it is not sent would accumulate.
    pub fn reset_replica(&mut self, peer: usize) {
        if let Some(replica) = self.replicas.get_mut(&peer) {
            *replica = Replica::new(self.revision);
        }
    }

    /// Records that a replica has the delta of this revision. Returns the items that have become replicated.
    pub fn acknowledge(&mut self, peer: usize, revision: u64) -> Vec<K> {
        let Some(replica) = self.replicas.get(&peer) else { return Vec::new() };
        if revision <= replica.acknowledged.max(replica.ignored_up_to) || revision > self.revision {
            return Vec::new();
        }
        let is_sent = |sent_in: &Option<u64>| sent_in.is_some_and(|sent_in| sent_in <= revision);
        let acknowledged_changes: Vec<K> = replica
            .unacknowledged
            .iter()
            .filter(|(_, sent_in)| is_sent(sent_in))
            .map(|(item, _)| item.clone())
            .collect();
        // The first acknowledgement covers the full set.
        let held_items: Vec<&K> = match replica.acknowledged {
            0 => self
                .items
                .iter()
                .filter(|item| replica.unacknowledged.get(*item).is_none_or(is_sent))
                .collect(),
            _ => acknowledged_changes.iter().filter(|item| self.items.contains(*item)).collect(),
        };
        let newly_replicated: Vec<K> =
            held_items.into_iter().filter(|item| !self.is_replicated(item)).cloned().collect();
        if let Some(replica) = self.replicas.get_mut(&peer) {
            replica.acknowledged = revision;
            for item in acknowledged_changes {
                replica.unacknowledged.remove(&item);
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
                .any(|replica| replica.acknowledged > 0 && !replica.unacknowledged.contains_key(item))
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

/// The replica's side: the items received from one sender.
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
    /// Applies a delta. Returns the revision to acknowledge; None for a delta that is out of date or builds on one
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

    /// Returns the items held.
    pub fn items(&self) -> impl Iterator<Item = &K> {
        self.items.iter()
    }
}

#[cfg(test)]
mod tests;
