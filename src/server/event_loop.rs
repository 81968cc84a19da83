//! The event loop: the only thread that touches the controller.
//!
//! It feeds events in, has the controller reconcile, and carries out the effects. It reads the clocks for the controller,
//! which reads none itself.

use super::http_api;
use super::inbox::{Inbound, Inbox};
use super::outbound::Outbound;
use crate::controller::{Controller, Effect, Event, StoreLane};
use crate::peer::Reply;
use crate::units::Micros;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the steady clock starts. The controller reads zero as "never", and what peers say happened a while ago must have
/// its place on the clock of a process that has just started.
const CLOCK_START: Micros = Micros::from_millis(3_600_000);
/// Events handled between two reconciliations.
const EVENTS_PER_ROUND: usize = 64;

/// The controller and what connects it with the edge.
pub(super) struct EventLoop {
    controller: Controller,
    start: Instant,
    inbox: Inbox,
    outbound: Outbound,
    /// HTTP requests that wait for their answer, by the number that the controller knows them by.
    open_requests: HashMap<u64, tiny_http::Request>,
    /// Effects that are not yet carried out, in order.
    effects: Vec<Effect>,
    /// Whether a signal has told the process to end.
    terminate: Arc<AtomicBool>,
}

impl EventLoop {
    /// A loop that has not begun. `start` is the zero of the steady clock. Registers the signals that end it.
    pub(super) fn new(controller: Controller, start: Instant, inbox: Inbox, outbound: Outbound) -> EventLoop {
        EventLoop {
            controller,
            start,
            inbox,
            outbound,
            open_requests: HashMap::new(),
            effects: Vec::new(),
            terminate: termination_flag(),
        }
    }

    /// Runs until the controller has left the ring.
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
                tracing::info!("handed on and left");
                return;
            }
        }
    }

    /// Waits for events and handles those that are there, so many that reconciling is not put off for long.
    fn handle_events(&mut self) {
        let mut next = self.inbox.wait();
        let mut handled = 0;
        while let Some(inbound) = next {
            let event = match inbound {
                Inbound::Event(event) => event,
                Inbound::Request { id, request, event } => {
                    self.open_requests.insert(id, request);
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

    /// Carries out the effects, each after the controller's last look at it: the process may have stood still since it was
    /// decided.
    fn perform_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            let Some(effect) = self.controller.revalidate_effect(self.clock(), effect) else { continue };
            match effect {
                Effect::Reply { ticket: id, reply } => self.respond(id, reply),
                Effect::Send { to: member, frame } => self.outbound.send_frame(member, frame),
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

    /// Answers a request, unless it was answered before.
    fn respond(&mut self, id: u64, reply: Reply) {
        if let Some(request) = self.open_requests.remove(&id) {
            http_api::respond(request, reply);
        }
    }

    fn refuse_open_requests(&mut self) {
        for (_, request) in self.open_requests.drain() {
            http_api::respond(request, Reply::retry_later("this controller is leaving"));
        }
    }

    /// The steady clock.
    fn clock(&self) -> Micros {
        Micros(CLOCK_START.0 + self.start.elapsed().as_micros() as u64)
    }
}

/// The time of day.
fn wall_clock() -> Micros {
    Micros(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64))
}

/// A flag that SIGTERM and SIGINT raise. A second signal ends the process at once.
fn termination_flag() -> Arc<AtomicBool> {
    // A flag needs neither a thread nor a pipe.
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let shutdown = signal_hook::flag::register_conditional_shutdown(signal, 1, flag.clone());
        if let Err(e) = shutdown.and_then(|_| signal_hook::flag::register(signal, flag.clone())) {
            tracing::info!(signal, reason = %e, "can't be told to end by this signal");
        }
    }
    flag
}
