//! The queues in front of the event loop.
//!
//! Users' requests and the answers that they wait for are urgent, heartbeats and the rest are not: after a restart
//! hundreds of workers come back at once, and a health probe that waits behind them fails.

use crate::controller::Event;
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::time::Duration;

/// Requests that may wait in a queue; those beyond are refused at once.
const REQUEST_LIMIT: usize = 2000;
/// How long the loop waits for an event before it reconciles without one.
const WAIT: Duration = Duration::from_millis(100);

/// What the event loop receives.
pub(super) enum Inbound {
    /// An event that nobody waits at the edge for.
    Event(Event),
    /// An HTTP request, and the event that it is for the controller.
    Request {
        /// The number under which the controller answers it.
        id: u64,
        /// The open request.
        request: tiny_http::Request,
        /// What it asks for.
        event: Event,
    },
}

/// The event loop has ended, and with it the need for more events.
#[derive(Debug)]
pub(super) struct LoopEnded;

/// Whether a request was queued.
pub(super) enum Admission {
    /// It waits for the event loop.
    Queued,
    /// Too many requests wait: it is to be refused.
    Overloaded(tiny_http::Request),
    /// The event loop has ended.
    LoopEnded,
}

/// The edge threads' end: any number of clones.
#[derive(Clone)]
pub(super) struct InboxSender {
    urgent: Sender<Inbound>,
    ordinary: Sender<Inbound>,
}

/// The event loop's end.
pub(super) struct Inbox {
    urgent: Receiver<Inbound>,
    ordinary: Receiver<Inbound>,
}

/// Makes the queues. Both are unbounded, so that answers and frames never block the thread that brings them; what clients
/// can multiply, requests, is bounded by [`REQUEST_LIMIT`].
pub(super) fn channel() -> (InboxSender, Inbox) {
    let (urgent_sender, urgent) = unbounded();
    let (ordinary_sender, ordinary) = unbounded();
    (InboxSender { urgent: urgent_sender, ordinary: ordinary_sender }, Inbox { urgent, ordinary })
}

impl InboxSender {
    /// Queues an event.
    pub(super) fn send(&self, event: Event) -> Result<(), LoopEnded> {
        self.ordinary.send(Inbound::Event(event)).map_err(|_| LoopEnded)
    }

    /// Queues an event that goes before the others.
    pub(super) fn send_urgent(&self, event: Event) -> Result<(), LoopEnded> {
        self.urgent.send(Inbound::Event(event)).map_err(|_| LoopEnded)
    }

    /// Queues a request, heartbeats behind all others.
    #[must_use]
    pub(super) fn send_request(&self, id: u64, request: tiny_http::Request, event: Event) -> Admission {
        let queue = if matches!(event, Event::Heartbeat { .. }) { &self.ordinary } else { &self.urgent };
        if queue.len() >= REQUEST_LIMIT {
            return Admission::Overloaded(request);
        }
        match queue.send(Inbound::Request { id, request, event }) {
            Ok(()) => Admission::Queued,
            Err(_) => Admission::LoopEnded,
        }
    }
}

impl Inbox {
    /// The next event; waits a little for one.
    pub(super) fn wait(&self) -> Option<Inbound> {
        self.urgent.try_recv().ok().or_else(|| {
            crossbeam_channel::select! {
                recv(self.urgent) -> inbound => inbound.ok(),
                recv(self.ordinary) -> inbound => inbound.ok(),
                default(WAIT) => None,
            }
        })
    }

    /// The next event, if one waits.
    pub(super) fn try_next(&self) -> Option<Inbound> {
        self.urgent.try_recv().or_else(|_| self.ordinary.try_recv()).ok()
    }
}
