//! Lending of GPUs from batch work to services, and reclaim, within each team's guarantee.
//!
//! [`ledger`] is the record of who lends what to whom: claimed before anything is stopped, and never kept for ever.
//! [`preemption`] says what may be preempted and where the least is lost. [`reclaim`] says when a replica stops so that the
//! lender gets its GPUs. All are pure: no clock, no sockets; times are passed in. Whether a job is within its team's guarantee
//! is decided elsewhere, once, and passed in. `docs/loans.md` has the argument.

pub mod ledger;
pub mod preemption;
pub mod reclaim;

use std::ops::{Add, Sub};

/// Resources of a machine or a task, in thousandths.
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
    /// Whether `other` fits in.
    #[must_use]
    pub fn holds(self, other: ResourceVector) -> bool {
        self.gpus >= other.gpus && self.cpus >= other.cpus && self.memory >= other.memory
    }
    /// How many of `one` fit; none if `one` is nothing.
    #[must_use]
    pub fn count_of(self, one: ResourceVector) -> u32 {
        let part = |have: i64, each: i64| (each > 0).then(|| have.max(0) / each);
        let parts = [part(self.gpus, one.gpus), part(self.cpus, one.cpus), part(self.memory, one.memory)];
        let least = parts.into_iter().flatten().min().unwrap_or(0);
        u32::try_from(least).unwrap_or(u32::MAX)
    }
}

impl Add for ResourceVector {
    type Output = ResourceVector;
    fn add(self, o: ResourceVector) -> ResourceVector {
        ResourceVector { gpus: self.gpus + o.gpus, cpus: self.cpus + o.cpus, memory: self.memory + o.memory }
    }
}

impl Sub for ResourceVector {
    type Output = ResourceVector;
    fn sub(self, o: ResourceVector) -> ResourceVector {
        ResourceVector { gpus: self.gpus - o.gpus, cpus: self.cpus - o.cpus, memory: self.memory - o.memory }
    }
}
