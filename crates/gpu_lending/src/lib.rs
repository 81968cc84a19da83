//! Lending of GPUs from batch jobs to services, and their reclaim, within each team's guarantee.
//!
//! [`ledger`] is the record of the loans: a loan is recorded before any task is stopped for it, and every loan ends.
//! [`preemption`] decides which tasks may be preempted for a service and on which machines the least work is lost.
//! [`reclaim`] decides when a replica must stop so that the lender gets its GPUs back. All modules are pure: no clock, no
//! sockets; times are arguments. Whether a job is within its team's guarantee is also an argument, decided in one place
//! outside. `docs/loans.md` proves the protocol correct.

pub mod ledger;
pub mod preemption;
pub mod reclaim;

use std::ops::{Add, Sub};

/// An amount of each resource of a machine or a task, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceVector {
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Thousandths of a processor.
    pub cpus: i64,
    /// Thousandths of a gigabyte.
    pub memory: i64,
}

impl ResourceVector {
    /// Whether `other` fits into these resources.
    #[must_use]
    pub fn can_hold(self, other: ResourceVector) -> bool {
        self.gpus >= other.gpus && self.cpus >= other.cpus && self.memory >= other.memory
    }
    /// How many times `unit` fits into these resources; 0 if `unit` is zero.
    #[must_use]
    pub fn max_count_of(self, unit: ResourceVector) -> u32 {
        let count = |available: i64, each: i64| (each > 0).then(|| available.max(0) / each);
        let counts =
            [count(self.gpus, unit.gpus), count(self.cpus, unit.cpus), count(self.memory, unit.memory)];
        let min = counts.into_iter().flatten().min().unwrap_or(0);
        u32::try_from(min).unwrap_or(u32::MAX)
    }
}

impl Add for ResourceVector {
    type Output = ResourceVector;
    fn add(self, other: ResourceVector) -> ResourceVector {
        ResourceVector {
            gpus: self.gpus + other.gpus,
            cpus: self.cpus + other.cpus,
            memory: self.memory + other.memory,
        }
    }
}

impl Sub for ResourceVector {
    type Output = ResourceVector;
    fn sub(self, other: ResourceVector) -> ResourceVector {
        ResourceVector {
            gpus: self.gpus - other.gpus,
            cpus: self.cpus - other.cpus,
            memory: self.memory - other.memory,
        }
    }
}
