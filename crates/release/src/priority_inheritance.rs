//! Priority inheritance: the priority and the deadline that members inherit from the rotation that waits for them, so that
//! the renders of the release that is due first are scheduled first.

use crate::release_record::Release;
use std::cmp::Reverse;

/// The priority and the deadline that a job inherits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InheritedPriority {
    /// The priority; higher goes first.
    pub priority: u8,
    /// The deadline, in microseconds since 1970.
    pub due_us: Option<u64>,
}

impl InheritedPriority {
    /// The higher priority and the earlier deadline of both.
    #[must_use]
    pub fn combine(self, other: InheritedPriority) -> InheritedPriority {
        let due = match (self.due_us, other.due_us) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        InheritedPriority { priority: self.priority.max(other.priority), due_us: due }
    }

    /// Sort key: of two jobs, the one with the lesser key goes first.
    #[must_use]
    pub fn sort_key(self) -> (Reverse<u8>, u64) {
        (Reverse(self.priority), self.due_us.unwrap_or(u64::MAX))
    }
}

/// What a release's rebuilds and renders inherit: the highest priority of the rotations that wait for the release, and the
/// earliest of the release's due times and the rotations' deadlines. None once a rotation has started.
#[must_use]
pub fn inherited_by_members(
    release: &Release,
    rotations: impl IntoIterator<Item = InheritedPriority>,
) -> Option<InheritedPriority> {
    if release.rotated {
        return None;
    }
    // A reopened release closes only by an operator, so the time at which renders are due no longer counts.
    let due = if release.by_hand { release.due_us } else { release.renders_us.min(release.due_us) };
    Some(
        rotations
            .into_iter()
            .fold(InheritedPriority { priority: 0, due_us: Some(due) }, InheritedPriority::combine),
    )
}
