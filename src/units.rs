//! Quantities that all modules share: time, amounts of machine resources, and sets of task numbers.

pub use hazelsaddle_cluster::time::Micros;
use rkyv::{Archive, Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Thousandths in a processor, GPU or gigabyte.
const MILLI: f64 = 1000.0;
/// Slack for fractions that binary numbers can't hold, in thousandths.
const ROUNDING: f64 = 1e-6;

/// What a machine has, or a task takes of it, in thousandths so that sums are exact.
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
    /// From processors, GPUs and gigabytes. Rounds up, so that a sum of tasks never hides a fraction.
    #[must_use]
    pub fn rounded_up(cpus: f64, gpus: f64, memory: f64) -> Resources {
        let round_up = |amount: f64| (amount * MILLI - ROUNDING).ceil() as i64;
        Resources { cpus: round_up(cpus), gpus: round_up(gpus), memory: round_up(memory) }
    }

    /// Whether `self` has room for `other`.
    #[must_use]
    pub fn can_hold(self, other: Resources) -> bool {
        self.cpus >= other.cpus && self.gpus >= other.gpus && self.memory >= other.memory
    }

    /// The larger of each.
    #[must_use]
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory: self.memory.max(other.memory),
        }
    }

    /// The smaller of each.
    #[must_use]
    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// `count` times this.
    #[must_use]
    pub fn times(self, count: i64) -> Resources {
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, memory: self.memory * count }
    }

    /// How many of `one` fit. What takes nothing fits more often than any job has tasks, but not so often that a sum over
    /// machines overflows.
    #[must_use]
    pub fn max_count_of(self, one: Resources) -> i64 {
        let count = |have: i64, each: i64| if each <= 0 { i64::from(u32::MAX) } else { have.max(0) / each };
        count(self.cpus, one.cpus).min(count(self.gpus, one.gpus)).min(count(self.memory, one.memory))
    }
}

impl std::ops::Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }
}

impl std::ops::Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory: self.memory - other.memory,
        }
    }
}

/// A set of task numbers kept as ranges: a job of 100,000 tasks that is mostly done stays small.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskIndexSet {
    /// The first number of a range, and its last. Ranges never touch.
    spans: BTreeMap<u32, u32>,
    len: u32,
}

impl TaskIndexSet {
    /// How many numbers are in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `number` is in the set.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.spans.range(..=number).next_back().is_some_and(|(_, &last)| last >= number)
    }

    /// Adds `number`; false if it was there.
    pub fn insert(&mut self, number: u32) -> bool {
        if self.contains(number) {
            return false;
        }
        self.len += 1;
        let before = self.spans.range(..number).next_back().map(|(&first, &last)| (first, last));
        let first = match before {
            Some((first, last)) if last == number - 1 => first,
            _ => number,
        };
        let after = number.checked_add(1).and_then(|next| self.spans.remove(&next));
        self.spans.insert(first, after.unwrap_or(number));
        true
    }

    /// The numbers below `total` that are not in the set, in order.
    pub fn gaps(&self, total: u32) -> impl Iterator<Item = u32> + '_ {
        let mut next = 0u32;
        let mut spans = self.spans.iter().peekable();
        std::iter::from_fn(move || {
            while let Some(&(&first, &last)) = spans.peek() {
                if next < first {
                    break;
                }
                next = next.max(last.saturating_add(1));
                spans.next();
            }
            if next >= total {
                return None;
            }
            next += 1;
            Some(next - 1)
        })
    }

    /// As text such as `0-4,7`, at most `limit` bytes long; longer sets lose their shortest ranges. That is safe where
    /// the set says what is known to be done: a task left out is asked for again and ends at once with the result that
    /// it kept.
    #[must_use]
    pub fn encode(&self, limit: usize) -> String {
        let mut spans: Vec<(u32, u32)> = self.spans.iter().map(|(&first, &last)| (first, last)).collect();
        let width = |&(first, last): &(u32, u32)| format!("{first}-{last},").len();
        let mut size: usize = spans.iter().map(width).sum();
        if size > limit {
            spans.sort_by_key(|&(first, last)| Reverse(last - first));
            while size > limit
                && let Some(shortest) = spans.pop()
            {
                size -= width(&shortest);
            }
            spans.sort_unstable();
        }
        let text = |&(first, last): &(u32, u32)| {
            if first == last { first.to_string() } else { format!("{first}-{last}") }
        };
        spans.iter().map(text).collect::<Vec<String>>().join(",")
    }

    /// Reads what `encode` wrote; None if it is not of that form or names a task from `total` on.
    #[must_use]
    pub fn decode(text: &str, total: u32) -> Option<TaskIndexSet> {
        let mut ranges = TaskIndexSet::default();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            let (first, last): (u32, u32) = match part.split_once('-') {
                Some((first, last)) => (first.parse().ok()?, last.parse().ok()?),
                None => {
                    let number = part.parse().ok()?;
                    (number, number)
                }
            };
            if first > last || last >= total {
                return None;
            }
            for number in first..=last {
                ranges.insert(number);
            }
        }
        Some(ranges)
    }
}

#[cfg(test)]
mod tests;
