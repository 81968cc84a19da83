//! The event loop: the only thread that accesses the controller.
//!
//! It passes events to the controller, lets the controller reconcile, and executes the resulting effects. It also reads
//! the clocks: the controller gets the time as an argument and never reads a clock itself.

use super::http_api;
use super::inbox::{Inbound, Inbox};
use super::outbound::Outbound;
use crate::controller::{Controller, Effect, Event, StoreLane};
use crate::peer::{Refusal, Reply};
use crate::units::Micros;
use hazelsaddle_cluster::http_server::Responder;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the monotonic clock of this process starts. It isn't zero because the controller reads zero as "never", and
/// because events that peers report as some time ago must have a representable time in a process that has just started.
const CLOCK_START: Micros = Micros::from_millis(3_600_000);
/// Most events handled between two reconciliations.
const EVENTS_PER_ROUND: usize = 64;

/// The controller and its connections to the I/O threads.
pub(super) struct EventLoop {
    controller: Controller,
    start: Instant,
    inbox: Inbox,
    outbound: Outbound,
    /// The HTTP requests not yet answered, by the request id (ticket) under which the controller answers them.
    open_requests: HashMap<u64, Responder>,
    /// Effects not yet executed, in order.
    effects: Vec<Effect>,
    /// Set by a signal handler when the process is to terminate.
    terminate: Arc<AtomicBool>,
}

impl EventLoop {
    /// Creates a loop that is not running yet and registers the signals that end it. `start` is the instant at which the
    /// monotonic clock shows [`CLOCK_START`].
    pub(super) fn new(controller: Controller, start: Instant, inbox: Inbox, outbound: Outbound) -> EventLoop {
        EventLoop {
            controller,
            start,
            inbox,
            outbound,
            open_requests: HashMap::new(),
            effects: Vec::new(),
            terminate: register_termination_flag(),
        }
    }

    /// Runs until the controller has left the hash ring.
    pub(super) fn run(mut self) {
        loop {
            if self.terminate.load(Ordering::Relaxed) {
                self.step(Event::Leave);
            }
            self.handle_events();
            self.controller.reconcile(self.clock(), wall_clock(), &mut self.effects);
            self.perform_effects();
            if self.controller.can_exit(self.clock()) {
                self.refuse_open_requests();
                tracing::info!("state handed over, controller left the ring");
                return;
            }
        }
    }

    /// Waits for events and handles those that are queued, at most [`EVENTS_PER_ROUND`], so that reconciliation is not
    /// delayed for long.
    fn handle_events(&mut self) {
        let mut next = self.inbox.wait();
        let mut handled = 0;
        while let Some(inbound) = next {
            let event = match inbound {
                Inbound::Event(event) => event,
                Inbound::Request { id, responder, event } => {
                    self.open_requests.insert(id, responder);
                    event
                }
            };
            self.step(event);
            handled += 1;
            next = if handled < EVENTS_PER_ROUND { self.inbox.try_next() } else { None };
        }
    }

    fn step(&mut self, event: Event) {
        self.controller.step(self.clock(), wall_clock(), event, &mut self.effects);
    }

    /// Executes the effects. The controller revalidates each one right before, because the process may have been paused
    /// since the effect was decided.
    fn perform_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            let Some(effect) = self.controller.revalidate_effect(self.clock(), effect) else { continue };
            match effect {
                Effect::Reply { ticket, reply } => self.respond(ticket, reply),
                Effect::Send { to, frame } => self.outbound.send_frame(to, frame),
                Effect::Store { id, request, lane } => {
                    self.outbound.call_store(id, request, lane == StoreLane::Membership)
                }
                Effect::Cloud(request) => self.outbound.call_cloud(request),
                Effect::Probe(addresses) => self.outbound.probe_any(addresses),
                Effect::FencingProbe { epoch, probes } => self.outbound.send_fencing_probes(epoch, probes),
            }
        }
        self.effects = effects;
    }

    /// Answers a request, unless it was already answered.
    fn respond(&mut self, request_id: u64, reply: Reply) {
        if let Some(responder) = self.open_requests.remove(&request_id) {
            http_api::respond(responder, reply);
        }
    }

    fn refuse_open_requests(&mut self) {
        for (_, responder) in self.open_requests.drain() {
            http_api::respond(responder, Reply::refuse(Refusal::Leaving));
        }
    }

    /// The monotonic clock.
    fn clock(&self) -> Micros {
        Micros(CLOCK_START.0 + self.start.elapsed().as_micros() as u64)
    }
}

/// The time of day.
fn wall_clock() -> Micros {
    Micros(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// Registers a flag that SIGTERM and SIGINT set. A second signal ends the process at once.
fn register_termination_flag() -> Arc<AtomicBool> {
    // A flag needs neither a signal-handling thread nor a pipe.
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let shutdown = signal_hook::flag::register_conditional_shutdown(signal, 1, flag.clone());
        if let Err(e) = shutdown.and_then(|_| signal_hook::flag::register(signal, flag.clone())) {
            tracing::info!(signal, reason = %e, "termination signal can't be registered");
        }
    }
    flag
}
