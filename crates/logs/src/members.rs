//! Which stores there are. The list has a version; the newer one wins, and stores tell each other. Where a stream
//! lies follows from the list, but what is held is found by asking all of them: the list decides how well things
//! go, not whether what was acknowledged can be read.

use hazelsaddle_cluster::hash_ring::Ring;
use rkyv::{Archive, Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Stores at the most.
pub const MOST: usize = 64;

/// One store.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where shippers reach it (IPv4 and port).
    pub link: String,
    /// Where other stores reach it (IPv4 and port).
    pub peer: String,
    /// Where readers reach it (IPv4 and port).
    pub http: String,
    /// It takes nothing new and hands over what it has.
    #[serde(default)]
    pub leaving: bool,
}

/// Why a list can't be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum MembersError {
    /// There are none, or too many.
    #[error("a list has 1 to {MOST} stores, at least one of them not leaving")]
    Count,
    /// The version is beyond all bounds.
    #[error("a version is below 1099511627776")]
    Version,
    /// A name is empty, has odd characters or is there twice.
    #[error("{0:?} is no name of a store, or is there twice")]
    Name(String),
    /// An address is no IPv4 address with a port.
    #[error("{0:?} is no IPv4 address with a port")]
    Address(String),
}

/// All stores.
#[derive(
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
    Clone,
    Debug,
    Default,
    PartialEq,
    Eq,
)]
pub struct List {
    /// The newer list wins.
    pub version: u64,
    /// The stores.
    pub members: Vec<Member>,
}

impl List {
    /// Checks a list that came from outside.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), MembersError> {
        if self.version >= 1 << 40 {
            return Err(MembersError::Version);
        }
        if self.members.is_empty() || self.members.len() > MOST || self.members.iter().all(|m| m.leaving) {
            return Err(MembersError::Count);
        }
        let mut seen = std::collections::BTreeSet::new();
        for m in &self.members {
            if !crate::key::is_id(&m.name) || !seen.insert(&m.name) {
                return Err(MembersError::Name(m.name.clone()));
            }
            for addr in [&m.link, &m.peer, &m.http] {
                if addr.parse::<SocketAddrV4>().is_err() {
                    return Err(MembersError::Address(addr.clone()));
                }
            }
        }
        Ok(())
    }
    /// The version, with a few bits of the content behind it: of two lists of one version, made by two operators at
    /// once, all stores choose the same.
    pub fn mark(&self) -> u64 {
        let mut h = blake3::Hasher::new();
        for m in &self.members {
            for part in [&m.name, &m.zone, &m.link, &m.peer, &m.http] {
                h.update(part.as_bytes());
                h.update(&[0, u8::from(m.leaving)]);
            }
        }
        let b = *h.finalize().as_bytes();
        (self.version << 24) | u64::from(b[0]) << 16 | u64::from(b[1]) << 8 | u64::from(b[2])
    }
    /// Whether this list takes the place of another.
    pub fn replaces(&self, old: &List) -> bool {
        self.mark() > old.mark()
    }
}

/// The list in force, and the ring that follows from it.
#[derive(Clone, Debug)]
pub struct Members {
    list: List,
    mark: u64,
    ring: Ring,
}

impl Members {
    /// The ring of all that don't leave.
    pub fn new(list: List) -> Members {
        let names: Vec<String> = list.members.iter().map(|m| m.name.clone()).collect();
        let staying: Vec<usize> = (0..names.len()).filter(|&i| !list.members[i].leaving).collect();
        Members { ring: Ring::new(&names, &staying), mark: list.mark(), list }
    }
    /// The list's mark.
    pub fn mark(&self) -> u64 {
        self.mark
    }
    /// The list.
    pub fn list(&self) -> &List {
        &self.list
    }
    /// A store by name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.list.members.iter().find(|m| m.name == name)
    }
    /// All stores that take new data, the lead in front, then those that follow it clockwise.
    pub fn clockwise(&self, place: u64) -> Vec<&Member> {
        let n = self.list.members.len();
        self.ring.successors(place, n).into_iter().filter_map(|i| self.list.members.get(i)).collect()
    }
    /// The stores that hold copies of what lies at a place: the lead and those that follow it, in other zones first.
    pub fn owners(&self, place: u64, copies: usize) -> Vec<&Member> {
        let all = self.clockwise(place);
        let mut taken: Vec<&Member> = Vec::with_capacity(copies);
        for m in &all {
            if taken.len() < copies && !taken.iter().any(|t| t.zone == m.zone) {
                taken.push(m);
            }
        }
        for m in &all {
            if taken.len() < copies && !taken.iter().any(|t| t.name == m.name) {
                taken.push(m);
            }
        }
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(zones: &[&str]) -> List {
        let member = |(i, z): (usize, &&str)| Member {
            name: format!("s{i}"),
            zone: (*z).to_owned(),
            link: format!("10.0.0.{i}:1"),
            peer: format!("10.0.0.{i}:3"),
            http: format!("10.0.0.{i}:2"),
            leaving: false,
        };
        List { version: 1, members: zones.iter().enumerate().map(member).collect() }
    }

    #[test]
    fn copies_lie_in_different_zones_while_there_are_some() {
        let m = Members::new(list(&["a", "a", "b", "b", "c"]));
        for place in (0..200u64).map(|i| i.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
            let of = m.owners(place, 3);
            let zones: std::collections::BTreeSet<&str> = of.iter().map(|o| o.zone.as_str()).collect();
            assert_eq!((of.len(), zones.len()), (3, 3));
            assert_eq!(of[0].name, m.clockwise(place)[0].name, "the lead is the next clockwise");
        }
        assert_eq!(Members::new(list(&["a", "a"])).owners(7, 3).len(), 2);
    }

    #[test]
    fn a_leaving_store_owns_nothing_and_bad_lists_are_refused() {
        let mut l = list(&["a", "b", "c"]);
        l.members[1].leaving = true;
        assert!(Members::new(l.clone()).clockwise(1).iter().all(|m| m.name != "s1"));
        assert!(l.check().is_ok());
        l.members.iter_mut().for_each(|m| m.leaving = true);
        assert_eq!(l.check(), Err(MembersError::Count));
        let mut l = list(&["a", "b"]);
        l.members[1].name = "s0".into();
        assert!(matches!(l.check(), Err(MembersError::Name(_))));
        let mut l = list(&["a"]);
        l.members[0].link = "localhost:1".into();
        assert!(matches!(l.check(), Err(MembersError::Address(_))));
    }

    #[test]
    fn of_two_lists_of_one_version_all_choose_the_same() {
        let (a, mut b) = (list(&["a", "b"]), list(&["a", "b"]));
        b.members[0].leaving = true;
        assert!(a.replaces(&b) != b.replaces(&a));
        assert!(!a.replaces(&a));
        b.version = 2;
        assert!(b.replaces(&a) && !a.replaces(&b));
    }
}
