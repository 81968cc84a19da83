//! Time in whole microseconds, so that sums are exact and every process computes with the same type.

use rkyv::{Archive, Deserialize, Serialize};

/// Time spans that are compared between clocks are lengthened or shortened by one part in this many.
const DRIFT_ALLOWANCE: u64 = 400;

/// A point in time or a time span, in whole microseconds. Points in time are on the process's own monotonic clock
/// unless a name contains `wall`.
#[derive(
    Archive, Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Micros(pub u64);

impl Micros {
    /// Converts seconds as received on the wire; negative and non-finite values become zero.
    pub fn from_secs(seconds: f64) -> Self {
        Micros((seconds.max(0.0) * 1e6) as u64)
    }

    /// Converts whole milliseconds.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Micros(milliseconds * 1000)
    }

    /// Converts to seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time span since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns this span lengthened for clock drift: it covers the span on a clock that drifts by the protocol's 0.05%
    /// against this one, in either direction, with some margin.
    pub fn plus_drift(self) -> Micros {
        Micros(self.0 + self.0 / DRIFT_ALLOWANCE)
    }

    /// Returns this span shortened for clock drift by the same allowance.
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
