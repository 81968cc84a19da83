//! Consistent hashing (sections 2.3 and 4.2 of the paper that `docs/design.md` names): the next member clockwise of a
//! key's hash owns the key. Controllers place jobs and machines with it, log stores place attempts.
//!
//! Every process that has the same names and members places every key alike, also across versions of the program.

use twox_hash::XxHash64;

/// Number of points per member. The paper gives each coordinator one. With one point each, three members could get very
/// unequal shares of the keys, so each has many.
const POINTS_PER_MEMBER: u32 = 64;

/// The members on a ring, which determine the owner of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    /// Hash and member, by hash.
    points: Vec<(u64, usize)>,
}

/// Returns the hash of a key, which is its position on every ring.
pub fn hash(text: &str) -> u64 {
    XxHash64::oneshot(0, text.as_bytes())
}

impl Ring {
    /// Creates the ring of these members, given as indices into `names`. Indices without a name are left out.
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

    /// Returns the owner of a key: the next member clockwise of its hash.
    pub fn owner(&self, key: &str) -> Option<usize> {
        self.clockwise(hash(key))
    }

    /// Returns the owner of the key that consists of a class and a name. It does not allocate for short keys, since
    /// it is called for each task in each message.
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

    /// Returns the first `max_members` distinct members clockwise of a hash, or all members if there are fewer: the
    /// leader, followed by the members that take over in turn if the ones before are unresponsive.
    #[must_use]
    pub fn successors(&self, hash: u64, max_members: usize) -> Vec<usize> {
        let first_point = self.points.partition_point(|&(point, _)| point < hash);
        let mut successors = Vec::with_capacity(max_members);
        for &(_, member) in self.points[first_point..].iter().chain(&self.points[..first_point]) {
            if successors.len() == max_members {
                break;
            }
            if !successors.contains(&member) {
                successors.push(member);
            }
        }
        successors
    }

    fn clockwise(&self, hash: u64) -> Option<usize> {
        let first_point = self.points.partition_point(|&(point, _)| point < hash);
        self.points.get(first_point).or(self.points.first()).map(|&(_, member)| member)
    }
}

#[cfg(test)]
mod tests;
