//! A ring by consistent hashing (the paper's 2.3 and 4.2): the next member clockwise of a key's hash owns it.
//! Controllers place jobs and machines with it, log stores place attempts.

use twox_hash::XxHash64;

/// Points a member has. The paper gives each coordinator one; three members with a point each can
/// share the work very unequally, so each has many.
const POINTS: u32 = 64;

/// Which members are on a ring, and so who owns each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
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
            .filter(|&&m| m < names.len())
            .flat_map(|&m| (0..POINTS).map(move |i| (hash(&format!("{}#{i}", names[m])), m)))
            .collect();
        points.sort_unstable();
        Ring { points }
    }
    /// The member clockwise of this key's hash.
    pub fn owner(&self, key: &str) -> Option<usize> {
        self.clockwise(hash(key))
    }
    /// The same for a key made of a class and a name; it is asked for each task of each message.
    pub fn owner_of(&self, class: &str, name: &str) -> Option<usize> {
        let mut key = [0u8; 64];
        let (a, n) = (class.len(), class.len() + name.len());
        if n > key.len() {
            return self.owner(&format!("{class}{name}"));
        }
        key[..a].copy_from_slice(class.as_bytes());
        key[a..n].copy_from_slice(name.as_bytes());
        self.clockwise(XxHash64::oneshot(0, &key[..n]))
    }
    /// The first `n` distinct members clockwise of a hash, or as many as there are: who leads, and who follows
    /// when the ones before are silent.
    pub fn successors(&self, h: u64, n: usize) -> Vec<usize> {
        let at = self.points.partition_point(|&(p, _)| p < h);
        let mut found = Vec::with_capacity(n);
        for &(_, m) in self.points[at..].iter().chain(&self.points[..at]) {
            if found.len() == n {
                break;
            }
            if !found.contains(&m) {
                found.push(m);
            }
        }
        found
    }
    fn clockwise(&self, h: u64) -> Option<usize> {
        let at = self.points.partition_point(|&(p, _)| p < h);
        self.points.get(at).or(self.points.first()).map(|&(_, m)| m)
    }
}

#[cfg(test)]
mod tests;
