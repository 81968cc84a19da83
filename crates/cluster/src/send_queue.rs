//! A queue of frames for one peer. What a newer frame says again takes no place in it: a peer that is slow, or just being
//! replaced, must not lose what can't be said again for the sake of what will be.

use crate::transport::Framed;
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// Frames that wait for a slow peer; more are dropped.
pub(crate) const QUEUE: usize = 64;

struct Inner<F> {
    waiting: VecDeque<F>,
    /// The other end is gone.
    closed: bool,
}

struct Shared<F> {
    inner: Mutex<Inner<F>>,
    news: Condvar,
}

impl<F> Shared<F> {
    fn lock(&self) -> MutexGuard<'_, Inner<F>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The end where frames are put.
pub struct SendQueue<F>(Arc<Shared<F>>);

/// The end where they are taken.
pub(crate) struct SendQueueReceiver<F>(Arc<Shared<F>>);

/// Both ends of a new queue.
pub(crate) fn channel<F>() -> (SendQueue<F>, SendQueueReceiver<F>) {
    let inner = Mutex::new(Inner { waiting: VecDeque::new(), closed: false });
    let shared = Arc::new(Shared { inner, news: Condvar::new() });
    (SendQueue(shared.clone()), SendQueueReceiver(shared))
}

impl<F: Framed> SendQueue<F> {
    /// Puts a frame at the end, in place of those that it says again. False if the queue is full: it is dropped.
    pub fn put(&self, frame: F) -> bool {
        let mut inner = self.0.lock();
        inner.waiting.retain(|old| !frame.replaces(old));
        if inner.closed || inner.waiting.len() >= QUEUE {
            return false;
        }
        inner.waiting.push_back(frame);
        drop(inner);
        self.0.news.notify_one();
        true
    }
}

impl<F> Drop for SendQueue<F> {
    fn drop(&mut self) {
        self.0.lock().closed = true;
        self.0.news.notify_one();
    }
}

impl<F> Drop for SendQueueReceiver<F> {
    fn drop(&mut self) {
        self.0.lock().closed = true;
    }
}

impl<F> SendQueueReceiver<F> {
    /// The next frame; None once the other end is gone.
    pub(crate) fn take(&self) -> Option<F> {
        let mut inner = self.0.lock();
        loop {
            if let Some(f) = inner.waiting.pop_front() {
                return Some(f);
            }
            if inner.closed {
                return None;
            }
            inner = self.0.news.wait(inner).unwrap_or_else(PoisonError::into_inner);
        }
    }
    /// Forgets what waits.
    pub(crate) fn clear(&self) {
        self.0.lock().waiting.clear();
    }
}

#[cfg(test)]
mod tests;
