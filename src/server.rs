//! The running daemon: threads at the edges, one thread for the controller itself.

pub mod http_api;
pub mod operator_api;

use self::http_api::Parsed;
use crate::autoscaler::{CloudClient, CloudRequest};
use crate::config::settings::Settings;
use crate::controller::{Controller, Effect, Event, StoreLane};
use crate::machine_shard::FencingProbe;
use crate::peer::{self, Frame, Reply};
use crate::state_store::{StoreClient, StoreRequest};
use crate::units::Micros;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use hazelsaddle_cluster::send_queue::SendQueue;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Threads that read requests; a client that sends slowly holds up one of them.
const READERS: usize = 4;
/// Threads that wait for the state service.
const STORE_THREADS: usize = 4;
/// Threads that ask machines directly.
const GREETERS: usize = 6;
/// How long an answer of the state service is waited for, beside the time that a watch stays open.
const STORE_PATIENCE: Duration = Duration::from_millis(2000);
/// Events that wait for the controller's thread; requests beyond that are turned away at once.
const QUEUE: usize = 2000;
/// Where the steady clock starts. Zero means "never" in the slices, and what others say happened a while ago must have
/// its place on the clock of a process that has just started.
const CLOCK_START: Micros = Micros::from_millis(3_600_000);
/// Events taken between two rounds of reconciling.
const BATCH: usize = 64;

enum Inbound {
    Event(Event),
    Request(u64, tiny_http::Request, Event),
}

/// Why the daemon can't start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A port can't be taken.
    #[error("{0}: {1}")]
    Listen(String, String),
}

fn answer(request: tiny_http::Request, r: Reply) {
    let mut response = tiny_http::Response::from_string(r.body).with_status_code(r.status);
    if let Ok(h) = tiny_http::Header::from_bytes("Content-Type", "application/json") {
        response.add_header(h);
    }
    if let Some(s) = r.retry_after
        && let Ok(h) = tiny_http::Header::from_bytes("Retry-After", s.to_string())
    {
        response.add_header(h);
    }
    // A client that is gone needs no answer.
    let _ = request.respond(response);
}

fn reader(
    server: Arc<tiny_http::Server>,
    tickets: Arc<AtomicU64>,
    tx: Sender<Inbound>,
    first: Sender<Inbound>,
) {
    loop {
        let mut request = match server.recv() {
            Ok(r) => r,
            Err(e) => {
                tracing::debug!(reason = %e, "request not received");
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
        };
        let ticket = tickets.fetch_add(1, Ordering::Relaxed);
        let method = request.method().as_str().to_owned();
        let url = request.url().to_owned();
        match http_api::parse(ticket, &method, &url, |limit| http_api::body(request.as_reader(), limit)) {
            Parsed::Answer(r) => answer(request, r),
            Parsed::Event(e) => {
                let tx = if matches!(e, Event::Heartbeat { .. }) { &tx } else { &first };
                if tx.len() >= QUEUE {
                    answer(request, Reply::later("overloaded"));
                } else if tx.send(Inbound::Request(ticket, request, e)).is_err() {
                    return;
                }
            }
        }
    }
}

/// Runs a controller until it is told to end (SIGTERM, SIGINT) and has handed on what it knows, at most
/// `node::LEAVING` later.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let start = Instant::now();
    let (tx, rx): (Sender<Inbound>, Receiver<Inbound>) = unbounded();
    // Users' requests and the answers that they wait for go before reports: after a restart
    // hundreds of workers come back at once, and a probe that waits behind them fails.
    let (first_tx, first_rx): (Sender<Inbound>, Receiver<Inbound>) = unbounded();

    let frames = tx.clone();
    peer::listen(settings.back, move |f: Frame| {
        let _ = frames.send(Inbound::Event(Event::Frame(Box::new(f))));
    })
    .map_err(|e| DaemonError::Listen(format!("back {}", settings.back), e.to_string()))?;

    let server = tiny_http::Server::http(settings.api)
        .map_err(|e| DaemonError::Listen(format!("api_addr {}", settings.api), e.to_string()))?;
    let server = Arc::new(server);
    let tickets = Arc::new(AtomicU64::new(1));
    for _ in 0..READERS {
        let (server, tickets) = (server.clone(), tickets.clone());
        let (tx, first) = (tx.clone(), first_tx.clone());
        std::thread::spawn(move || reader(server, tickets, tx, first));
    }

    let links: HashMap<usize, SendQueue<Frame>> = settings
        .seeds
        .iter()
        .filter_map(|s| {
            let number = settings.members.iter().position(|m| *m == s.member)?;
            Some((number, peer::dial(s.addr)))
        })
        .collect();

    let (store_tx, store_rx) = unbounded::<(u64, StoreRequest)>();
    let (ring_tx, ring_rx) = unbounded::<(u64, StoreRequest)>();
    // A watch stays open for long; it must hold up nothing else.
    let (watch_tx, watch_rx) = unbounded::<(u64, StoreRequest)>();
    let lines = std::iter::repeat_n(store_rx, STORE_THREADS).chain([ring_rx, watch_rx]);
    for line in lines {
        let (tx, addr) = (first_tx.clone(), settings.state);
        std::thread::spawn(move || {
            let client = StoreClient::new(addr, STORE_PATIENCE);
            while let Ok((id, r)) = line.recv() {
                let a = client.call(&r);
                if tx.send(Inbound::Event(Event::Store { id, answer: a })).is_err() {
                    return;
                }
            }
        });
    }

    let (cloud_tx, cloud_rx) = bounded::<CloudRequest>(4);
    let (back, addr) = (tx.clone(), settings.cloud);
    std::thread::spawn(move || {
        let client = CloudClient::new(addr);
        while let Ok(r) = cloud_rx.recv() {
            let a = client.call(&r);
            if back.send(Inbound::Event(Event::Cloud { request: r, answer: a })).is_err() {
                return;
            }
        }
    });

    let (probe_tx, probe_rx) = bounded::<Vec<String>>(1);
    let back = tx.clone();
    std::thread::spawn(move || {
        while let Ok(addresses) = probe_rx.recv() {
            let reached = addresses.iter().any(|a| http_api::reachable(a));
            if back.send(Inbound::Event(Event::Probed(reached))).is_err() {
                return;
            }
        }
    });

    // Dead ones cost a wait each, so there are several threads; they have nothing to do but after an epoch.
    let (greet_tx, greet_rx) = unbounded::<(u64, FencingProbe)>();
    let newest = Arc::new(AtomicU64::new(0));
    for _ in 0..GREETERS {
        let (tx, line, newest) = (tx.clone(), greet_rx.clone(), newest.clone());
        std::thread::spawn(move || {
            let agent = http_api::greeter();
            while let Ok((epoch, g)) = line.recv() {
                // What was asked for an older epoch would say nothing.
                if epoch < newest.load(Ordering::Relaxed) {
                    continue;
                }
                if let Some(r) = http_api::greet(&agent, epoch, &g)
                    && tx.send(Inbound::Event(Event::FencingProbeAnswered(r))).is_err()
                {
                    return;
                }
            }
        });
    }

    tracing::info!(member = %settings.member, zone = %settings.zone, api = %settings.api, back = %settings.back, "started");
    let boot: u64 = rand::random::<u64>() >> 12;
    let mut node = Controller::new(settings, boot);
    let mut open: HashMap<u64, tiny_http::Request> = HashMap::new();
    let mut out = Vec::new();
    let clock = || Micros(CLOCK_START.0 + start.elapsed().as_micros() as u64);
    let wall = || Micros(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64));
    // A flag needs neither a thread nor a pipe; a second signal ends the process at once.
    let told = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let now = signal_hook::flag::register_conditional_shutdown(signal, 1, told.clone());
        if let Err(e) = now.and_then(|_| signal_hook::flag::register(signal, told.clone())) {
            tracing::info!(signal, reason = %e, "can't be told to end by this signal");
        }
    }
    loop {
        if told.load(Ordering::Relaxed) {
            node.step(clock(), wall(), Event::Leave, &mut out);
        }
        let mut next = first_rx.try_recv().ok().or_else(|| {
            crossbeam_channel::select! {
                recv(first_rx) -> e => e.ok(),
                recv(rx) -> e => e.ok(),
                default(Duration::from_millis(100)) => None,
            }
        });
        let mut taken = 0;
        while let Some(inbound) = next {
            let event = match inbound {
                Inbound::Event(e) => e,
                Inbound::Request(ticket, request, e) => {
                    open.insert(ticket, request);
                    e
                }
            };
            node.step(clock(), wall(), event, &mut out);
            taken += 1;
            next = if taken < BATCH { first_rx.try_recv().or_else(|_| rx.try_recv()).ok() } else { None };
        }
        node.reconcile(clock(), wall(), &mut out);
        for effect in out.drain(..) {
            let Some(effect) = node.vetted(clock(), effect) else { continue };
            match effect {
                Effect::Probe(addresses) => {
                    let _ = probe_tx.try_send(addresses);
                }
                Effect::FencingProbe { epoch, probes: list } => {
                    newest.store(epoch, Ordering::Relaxed);
                    for g in list {
                        let _ = greet_tx.send((epoch, g));
                    }
                }
                Effect::Reply { ticket, reply: r } => {
                    if let Some(request) = open.remove(&ticket) {
                        answer(request, r);
                    }
                }
                Effect::Send { to: p, frame: f } => {
                    if let Some(link) = links.get(&p) {
                        peer::enqueue(link, f);
                    }
                }
                Effect::Store { id, request: r, lane } => {
                    let line = match &r {
                        StoreRequest::Watch(..) => &watch_tx,
                        _ if lane == StoreLane::Membership => &ring_tx,
                        _ => &store_tx,
                    };
                    let _ = line.send((id, r));
                }
                Effect::Cloud(r) => {
                    let _ = cloud_tx.send(r);
                }
            }
        }
        if node.gone(clock()) {
            for (_, request) in open.drain() {
                answer(request, Reply::later("this controller is leaving"));
            }
            tracing::info!("handed on and left");
            return Ok(());
        }
    }
}
