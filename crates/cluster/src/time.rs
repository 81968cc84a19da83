//! Time in whole microseconds, so that sums are exact and types are the same on every process.

use rkyv::{Archive, Deserialize, Serialize};

/// Spans between clocks are lengthened or shortened by one part in so many.
const DRIFT_ALLOWANCE: u64 = 400;

/// A point in time or a span, in whole microseconds. Points are on the process's own steady
/// clock unless a name says `wall`.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Micros(pub u64);

impl Micros {
    /// From seconds as the wire gives them; negative and non-finite values become zero.
    pub fn from_secs(seconds: f64) -> Self {
        Micros((seconds.max(0.0) * 1e6) as u64)
    }

    /// From whole milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Micros(milliseconds * 1000)
    }

    /// As seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The span since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This span lengthened so that it covers its length on a clock that drifts by the
    /// protocol's 0.05% against ours, on both sides, with some room.
    pub fn plus_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_ALLOWANCE)
    }

    /// This span shortened by the same allowance.
    pub fn minus_drift(self) -> Micros {
        Micros(self.0 - self.0 / DRIFT_ALLOWANCE)
    }
}

impl std::ops::Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}
