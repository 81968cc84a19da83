//! The urgency and the deadline that members inherit from the rotation that waits for them, so that the renders of the title
//! due first go first.

use crate::release_record::Release;
use std::cmp::Reverse;

/// What a job inherits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InheritedPriority {
    /// Higher goes first.
    pub urgency: u8,
    /// When it should be done, in microseconds since 1970.
    pub due_us: Option<u64>,
}

impl InheritedPriority {
    /// The higher urgency and the earlier deadline of both.
    #[must_use]
    pub fn and(self, other: InheritedPriority) -> InheritedPriority {
        let due = match (self.due_us, other.due_us) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        InheritedPriority { urgency: self.urgency.max(other.urgency), due_us: due }
    }

    /// The order of two jobs: the one that sorts first goes first.
    #[must_use]
    pub fn order(self) -> (Reverse<u8>, u64) {
        (Reverse(self.urgency), self.due_us.unwrap_or(u64::MAX))
    }
}

/// What a set's rebuilds and renders inherit: the urgency of its most urgent rotation that still waits, and the set's own
/// times. Nothing once it has rotated. A rotation's own deadline counts if it is earlier.
#[must_use]
pub fn inherited_by_members(
    set: &Release,
    rotations: impl IntoIterator<Item = InheritedPriority>,
) -> Option<InheritedPriority> {
    if set.rotated {
        return None;
    }
    // A reopened set has no time of its own but the rotation's.
    let due = if set.by_hand { set.due_us } else { set.renders_us.min(set.due_us) };
    Some(
        rotations
            .into_iter()
            .fold(InheritedPriority { urgency: 0, due_us: Some(due) }, InheritedPriority::and),
    )
}
