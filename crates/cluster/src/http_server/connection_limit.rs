//! Counts the open connections of a server and knows when there are too many.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Fraction of the connections from which on clients are asked to close theirs, so that others get a turn.
const CROWDED_NUMERATOR: usize = 3;
const CROWDED_DENOMINATOR: usize = 4;

/// The number of open connections, and whether new ones can't be accepted at present.
#[derive(Debug)]
pub(super) struct ConnectionLimit {
    max: usize,
    open: AtomicUsize,
    is_short: AtomicBool,
}

/// The right to have one connection open; given back when it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionSlot(Arc<ConnectionLimit>);

impl ConnectionLimit {
    pub(super) fn new(max: usize) -> ConnectionLimit {
        ConnectionLimit { max, open: AtomicUsize::new(0), is_short: AtomicBool::new(false) }
    }

    /// Takes a slot; None if all are in use. Only the thread that accepts connections takes slots.
    pub(super) fn try_open(limit: &Arc<ConnectionLimit>) -> Option<ConnectionSlot> {
        if limit.open() >= limit.max {
            return None;
        }
        limit.open.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionSlot(limit.clone()))
    }

    /// Number of slots in use.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Notes that a connection could not be accepted. Returns whether that is new.
    pub(super) fn begin_shortage(&self) -> bool {
        !self.is_short.swap(true, Ordering::Relaxed)
    }

    /// Notes that a connection was accepted. Returns whether none could be before.
    pub(super) fn end_shortage(&self) -> bool {
        self.is_short.swap(false, Ordering::Relaxed)
    }

    /// Whether connections should be closed as soon as they are not in use.
    pub(super) fn is_crowded(&self) -> bool {
        let threshold = self.max * CROWDED_NUMERATOR / CROWDED_DENOMINATOR;
        self.is_short.load(Ordering::Relaxed) || self.open() > threshold
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
