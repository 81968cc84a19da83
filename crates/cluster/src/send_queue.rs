//! A bounded queue of frames for one peer. A newer frame replaces the queued frames that it supersedes. So when a
//! peer is slow or being replaced, frames that are repeated anyway don't crowd out frames that are sent only once.

use crate::frame::Framed;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Maximum number of frames in the queue; further frames are dropped.
pub(crate) const QUEUE_CAPACITY: usize = 64;

struct State<F> {
    frames: VecDeque<F>,
    /// Whether the other end was dropped.
    is_closed: bool,
}

struct Shared<F> {
    state: Mutex<State<F>>,
    changed: Condvar,
}

impl<F> Shared<F> {
    fn lock(&self) -> MutexGuard<'_, State<F>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The sending end of a queue.
pub struct SendQueue<F>(Arc<Shared<F>>);

/// The receiving end of a queue.
pub(crate) struct SendQueueReceiver<F>(Arc<Shared<F>>);

/// Creates a queue and returns both its ends.
pub(crate) fn channel<F>() -> (SendQueue<F>, SendQueueReceiver<F>) {
    let state = Mutex::new(State { frames: VecDeque::new(), is_closed: false });
    let shared = Arc::new(Shared { state, changed: Condvar::new() });
    (SendQueue(shared.clone()), SendQueueReceiver(shared))
}

impl<F: Framed> SendQueue<F> {
    /// Appends a frame after removing the queued frames that it replaces. Returns false, and drops the frame, if the
    /// queue is full.
    pub fn push(&self, frame: F) -> bool {
        let mut state = self.0.lock();
        state.frames.retain(|queued| !frame.replaces(queued));
        if state.is_closed || state.frames.len() >= QUEUE_CAPACITY {
            return false;
        }
        state.frames.push_back(frame);
        drop(state);
        self.0.changed.notify_one();
        true
    }
}

impl<F> Drop for SendQueue<F> {
    fn drop(&mut self) {
        self.0.lock().is_closed = true;
        self.0.changed.notify_one();
    }
}

impl<F> Drop for SendQueueReceiver<F> {
    fn drop(&mut self) {
        self.0.lock().is_closed = true;
    }
}

impl<F> SendQueueReceiver<F> {
    /// Blocks until a frame can be returned; None once the sending end was dropped and the queue is empty.
    pub(crate) fn pop(&self) -> Option<F> {
        let mut state = self.0.lock();
        loop {
            if let Some(frame) = state.frames.pop_front() {
                return Some(frame);
            }
            if state.is_closed {
                return None;
            }
            state = self.0.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Drops all queued frames.
    pub(crate) fn clear(&self) {
        self.0.lock().frames.clear();
    }
}

#[cfg(test)]
mod tests;
