//! Time, amounts of machine room, and sets of task numbers.

pub use hazelsaddle_cluster::time::Micros;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::BTreeMap;

/// Room on a machine, or what a task takes of it, in thousandths so that sums are exact.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Resources {
    /// Thousandths of a processor.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Thousandths of a gigabyte.
    pub memory: i64,
}

impl Resources {
    /// Rounds up, so that a sum of tasks never hides a fraction.
    pub fn need(cpus: f64, gpus: f64, memory: f64) -> Resources {
        let up = |x: f64| (x * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: up(cpus), gpus: up(gpus), memory: up(memory) }
    }
    /// Whether `self` has room for `other`.
    pub fn holds(self, other: Resources) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus && self.memory >= other.memory
    }
    /// The larger of each.
    pub fn max(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(o.cpus),
            gpus: self.gpus.max(o.gpus),
            memory: self.memory.max(o.memory),
        }
    }
    /// The smaller of each.
    pub fn min(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(o.cpus),
            gpus: self.gpus.min(o.gpus),
            memory: self.memory.min(o.memory),
        }
    }
    /// `n` times this.
    pub fn times(self, n: i64) -> Resources {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }
    /// How many of `one` fit. What takes nothing fits more often than any job has tasks, but not so often that a sum over
    /// machines overflows.
    pub fn count_of(self, one: Resources) -> i64 {
        let part = |have: i64, each: i64| if each <= 0 { i64::from(u32::MAX) } else { have.max(0) / each };
        part(self.cpus, one.cpus).min(part(self.gpus, one.gpus)).min(part(self.memory, one.memory))
    }
}

impl std::ops::Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus, memory: self.memory + o.memory }
    }
}

impl std::ops::Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        Resources { cpus: self.cpus - o.cpus, gpus: self.gpus - o.gpus, memory: self.memory - o.memory }
    }
}

/// A set of task numbers kept as ranges: a job of 100,000 tasks that is mostly done stays small.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// First number of a range to its last.
    spans: BTreeMap<u32, u32>,
    len: u32,
}

impl Ranges {
    /// How many numbers are in the set.
    pub fn len(&self) -> u32 {
        self.len
    }
    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
    /// Whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.spans.range(..=n).next_back().is_some_and(|(_, &end)| end >= n)
    }
    /// Adds `n`; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        if self.contains(n) {
            return false;
        }
        self.len += 1;
        let mut start = n;
        let mut end = n;
        if n > 0
            && let Some((&s, &e)) = self.spans.range(..n).next_back()
            && e == n - 1
        {
            start = s;
        }
        if let Some(&e) = n.checked_add(1).and_then(|m| self.spans.get(&m)) {
            self.spans.remove(&(n + 1));
            end = e;
        }
        self.spans.insert(start, end);
        true
    }
    /// The numbers below `total` that are not in the set, in order.
    pub fn gaps(&self, total: u32) -> impl Iterator<Item = u32> + '_ {
        let mut next = 0u32;
        let mut spans = self.spans.iter().peekable();
        std::iter::from_fn(move || {
            while let Some(&(&s, &e)) = spans.peek() {
                if next < s {
                    break;
                }
                next = next.max(e.saturating_add(1));
                spans.next();
            }
            if next >= total {
                return None;
            }
            next += 1;
            Some(next - 1)
        })
    }
    /// As text such as `0-4,7`, at most `limit` bytes long; longer sets lose their shortest
    /// ranges. That is safe where the set says what is known to be done: a task left out is
    /// asked for again and ends at once with the result that it kept.
    pub fn encode(&self, limit: usize) -> String {
        let mut parts: Vec<(u32, u32)> = self.spans.iter().map(|(&s, &e)| (s, e)).collect();
        let width = |&(s, e): &(u32, u32)| format!("{s}-{e},").len();
        let mut size: usize = parts.iter().map(width).sum();
        if size > limit {
            parts.sort_by_key(|&(s, e)| std::cmp::Reverse(e - s));
            while size > limit
                && let Some(p) = parts.pop()
            {
                size -= width(&p);
            }
            parts.sort_unstable();
        }
        let text: Vec<String> =
            parts.iter().map(|&(s, e)| if s == e { s.to_string() } else { format!("{s}-{e}") }).collect();
        text.join(",")
    }
    /// Reads what `encode` wrote; None if it is not of that form or names a task from `total` on.
    pub fn decode(text: &str, total: u32) -> Option<Ranges> {
        let mut out = Ranges::default();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (s, e) = match part.split_once('-') {
                Some((s, e)) => (s.parse().ok()?, e.parse().ok()?),
                None => {
                    let n: u32 = part.parse().ok()?;
                    (n, n)
                }
            };
            if s > e || e >= total {
                return None;
            }
            for n in s..=e {
                out.insert(n);
            }
        }
        Some(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    #[test]
    fn ranges_agree_with_a_plain_set() {
        for seed in 0..20 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut ranges = Ranges::default();
            let mut plain = std::collections::BTreeSet::new();
            for _ in 0..200 {
                let n = rng.random_range(0..150u32);
                assert_eq!(ranges.insert(n), plain.insert(n));
                assert_eq!(ranges.len() as usize, plain.len());
            }
            let gaps: Vec<u32> = ranges.gaps(150).collect();
            let expect: Vec<u32> = (0..150).filter(|n| !plain.contains(n)).collect();
            assert_eq!(gaps, expect);
            assert_eq!(Ranges::decode(&ranges.encode(10_000), 150), Some(ranges.clone()));
            let short = ranges.encode(40);
            assert!(short.len() <= 40);
            let part = Ranges::decode(&short, 150).expect("what was written is read");
            assert!((0..150).all(|n| !part.contains(n) || plain.contains(&n)));
        }
        assert_eq!(Ranges::decode("3-1", 10), None);
        assert_eq!(Ranges::decode("9-10", 10), None);
    }
}
