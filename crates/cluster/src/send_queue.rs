//! A bounded queue of frames for one peer. What a newer frame says again takes no place in it: a peer that is slow, or just
//! being replaced, must not lose what can't be said again for the sake of what will be.

use crate::frame::Framed;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Frames that wait for a slow peer; more are dropped.
pub(crate) const QUEUE_CAPACITY: usize = 64;

struct State<F> {
    waiting: VecDeque<F>,
    /// The other end is gone.
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

/// The end where frames are put.
pub struct SendQueue<F>(Arc<Shared<F>>);

/// The end where they are taken.
pub(crate) struct SendQueueReceiver<F>(Arc<Shared<F>>);

/// Both ends of a new queue.
pub(crate) fn channel<F>() -> (SendQueue<F>, SendQueueReceiver<F>) {
    let state = Mutex::new(State { waiting: VecDeque::new(), is_closed: false });
    let shared = Arc::new(Shared { state, changed: Condvar::new() });
    (SendQueue(shared.clone()), SendQueueReceiver(shared))
}

impl<F: Framed> SendQueue<F> {
    /// Puts a frame at the end, in place of those that it says again. False if the queue is full: the frame is dropped.
    pub fn push(&self, frame: F) -> bool {
        let mut state = self.0.lock();
        state.waiting.retain(|older| !frame.replaces(older));
        if state.is_closed || state.waiting.len() >= QUEUE_CAPACITY {
            return false;
        }
        state.waiting.push_back(frame);
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
    /// Waits for the next frame; None once the other end is gone and nothing waits.
    pub(crate) fn pop(&self) -> Option<F> {
        let mut state = self.0.lock();
        loop {
            if let Some(frame) = state.waiting.pop_front() {
                return Some(frame);
            }
            if state.is_closed {
                return None;
            }
            state = self.0.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Forgets what waits.
    pub(crate) fn clear(&self) {
        self.0.lock().waiting.clear();
    }
}

#[cfg(test)]
mod tests;
