//! The queues from the I/O threads to the event loop.
//!
//! User requests and the state service's answers that they depend on go to the urgent queue, heartbeats and everything
//! else to the ordinary one: after a restart hundreds of workers report at once, and a health probe queued behind their
//! heartbeats would time out.

use crate::controller::Event;
use crossbeam_channel::{Receiver, Sender, unbounded};
use hazelsaddle_cluster::http_server::Responder;
use std::time::Duration;

/// Most requests that may wait in a queue; further ones are rejected at once.
const REQUEST_LIMIT: usize = 2000;
/// How long the event loop waits for an event before it reconciles without one.
const EVENT_TIMEOUT: Duration = Duration::from_millis(100);

/// What the event loop receives.
pub(super) enum Inbound {
    /// An event that does not come from an HTTP request.
    Event(Event),
    /// An HTTP request, and the event that it is for the controller.
    Request {
        /// The request id (ticket) under which the controller answers it.
        id: u64,
        /// Sends the response.
        responder: Responder,
        /// The event for the controller.
        event: Event,
    },
}

/// The event loop has ended and takes no more events.
#[derive(Debug)]
pub(super) struct LoopEnded;

/// Whether a request was queued.
pub(super) enum Admission {
    /// It waits for the event loop.
    Queued,
    /// The queue is full: the caller must reject the request.
    Overloaded(Responder),
    /// The event loop has ended.
    LoopEnded,
}

/// The sending end for the I/O threads; each has its own clone.
#[derive(Clone)]
pub(super) struct InboxSender {
    urgent: Sender<Inbound>,
    ordinary: Sender<Inbound>,
}

/// The receiving end for the event loop.
pub(super) struct Inbox {
    urgent: Receiver<Inbound>,
    ordinary: Receiver<Inbound>,
}

/// Creates the queues. Both channels are unbounded, so that answers and frames never block the thread that sends them.
/// Requests, whose number clients control, are limited by [`REQUEST_LIMIT`].
pub(super) fn create() -> (InboxSender, Inbox) {
    let (urgent_sender, urgent) = unbounded();
    let (ordinary_sender, ordinary) = unbounded();
    (InboxSender { urgent: urgent_sender, ordinary: ordinary_sender }, Inbox { urgent, ordinary })
}

impl InboxSender {
    /// Queues an event.
    pub(super) fn send(&self, event: Event) -> Result<(), LoopEnded> {
        self.ordinary.send(Inbound::Event(event)).map_err(|_| LoopEnded)
    }

    /// Queues an event in the urgent queue.
    pub(super) fn send_urgent(&self, event: Event) -> Result<(), LoopEnded> {
        self.urgent.send(Inbound::Event(event)).map_err(|_| LoopEnded)
    }

    /// Queues a request: heartbeats in the ordinary queue, all others in the urgent one.
    #[must_use]
    pub(super) fn send_request(&self, id: u64, responder: Responder, event: Event) -> Admission {
        let queue = if matches!(event, Event::Heartbeat { .. }) { &self.ordinary } else { &self.urgent };
        if queue.len() >= REQUEST_LIMIT {
            return Admission::Overloaded(responder);
        }
        match queue.send(Inbound::Request { id, responder, event }) {
            Ok(()) => Admission::Queued,
            Err(_) => Admission::LoopEnded,
        }
    }
}

impl Inbox {
    /// The next event, urgent ones first; waits at most [`EVENT_TIMEOUT`] for one.
    pub(super) fn wait(&self) -> Option<Inbound> {
        self.urgent.try_recv().ok().or_else(|| {
            crossbeam_channel::select! {
                recv(self.urgent) -> inbound => inbound.ok(),
                recv(self.ordinary) -> inbound => inbound.ok(),
                default(EVENT_TIMEOUT) => None,
            }
        })
    }

    /// The next event, urgent ones first, if one is queued.
    pub(super) fn try_next(&self) -> Option<Inbound> {
        self.urgent.try_recv().or_else(|_| self.ordinary.try_recv()).ok()
    }
}
