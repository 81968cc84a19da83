//! Consistent hashing (the paper's 2.3 and 4.2): the next member clockwise of a key's hash owns it. Controllers place jobs
//! and machines with it, log stores place attempts.
//!
//! Pure data: every process that knows the same names and members places every key alike, across versions too.

use twox_hash::XxHash64;

/// Points of a member. The paper gives each coordinator one; three members with a point each can share the work very
/// unequally, so each has many.
const POINTS_PER_MEMBER: u32 = 64;

/// Which members are on a ring, and so who owns each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    /// Hash and member, by hash.
    points: Vec<(u64, usize)>,
}

/// Where a key lies on every ring.
pub fn hash(text: &str) -> u64 {
    XxHash64::oneshot(0, text.as_bytes())
}

impl Ring {
    /// The ring of these members, by number in `names`; numbers without a name are left out.
    pub fn new(names: &[String], members: &[usize]) -> Ring {
        let mut points: Vec<(u64, usize)> = members
            .iter()
            .filter(|&&member| member < names.len())
            .flat_map(|&member| {
                (0..POINTS_PER_MEMBER).map(move |i| (hash(&format!("{}#{i}", names[member])), member))
            })
            .collect();
        points.sort_unstable();
        Ring { points }
    }

    /// The member clockwise of this key's hash.
    pub fn owner(&self, key: &str) -> Option<usize> {
        self.clockwise(hash(key))
    }

    /// The same for a key made of a class and a name. It allocates nothing for short keys: it is asked for each task of each
    /// message.
    pub fn owner_of(&self, class: &str, name: &str) -> Option<usize> {
        let mut key = [0u8; 64];
        let length = class.len() + name.len();
        if length > key.len() {
            return self.owner(&format!("{class}{name}"));
        }
        key[..class.len()].copy_from_slice(class.as_bytes());
        key[class.len()..length].copy_from_slice(name.as_bytes());
        self.clockwise(XxHash64::oneshot(0, &key[..length]))
    }

    /// The first `most` distinct members clockwise of a hash, or as many as there are: who leads, and who follows
    /// when the ones before are silent.
    #[must_use]
    pub fn successors(&self, hash: u64, most: usize) -> Vec<usize> {
        let start = self.points.partition_point(|&(point, _)| point < hash);
        let mut found = Vec::with_capacity(most);
        for &(_, member) in self.points[start..].iter().chain(&self.points[..start]) {
            if found.len() == most {
                break;
            }
            if !found.contains(&member) {
                found.push(member);
            }
        }
        found
    }

    fn clockwise(&self, hash: u64) -> Option<usize> {
        let start = self.points.partition_point(|&(point, _)| point < hash);
        self.points.get(start).or(self.points.first()).map(|&(_, member)| member)
    }
}

#[cfg(test)]
mod tests;
