//! The edge of a running controller: threads, HTTP, peers' sockets and signals.
//!
//! Edge threads do what blocks and feed what comes of it into the `inbox`; one thread, the `event_loop`, owns the
//! [`Controller`] and everything that it knows. Nothing here decides anything about jobs or machines.
//!
//! The edge threads run until the process ends: they hold nothing that must be put away, and what they wait for may take
//! longer than a leaving controller has.

mod event_loop;
pub mod http_api;
mod inbox;
pub mod operator_api;
mod outbound;
mod worker_probe;

use self::event_loop::EventLoop;
use self::inbox::InboxSender;
use self::outbound::Outbound;
use crate::config::settings::Settings;
use crate::controller::{Controller, Event};
use crate::peer::{self, Frame};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Instant;

/// Threads that read HTTP requests; a client that sends slowly holds up one of them.
const HTTP_READERS: usize = 4;

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address for peers can't be bound.
    #[error("back {address}: {source}")]
    PeerListener {
        /// The address.
        address: SocketAddrV4,
        /// What the system says.
        source: std::io::Error,
    },
    /// The address for users, workers and health checks can't be bound.
    #[error("api_addr {address}: {source}")]
    HttpListener {
        /// The address.
        address: SocketAddrV4,
        /// What the system says.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A thread can't be started.
    #[error("thread {name}: {source}")]
    Thread {
        /// The thread's name.
        name: String,
        /// What the system says.
        source: std::io::Error,
    },
}

/// Runs a controller until it is told to end (SIGTERM, SIGINT) and has handed on what it knows, at most
/// [`crate::controller::LEAVING`] later.
///
/// # Errors
/// If a listener or a thread can't be started.
pub fn run(settings: Settings) -> Result<(), ServerError> {
    let start = Instant::now();
    let (sender, inbox) = inbox::channel();
    listen_for_peers(settings.back, &sender)?;
    serve_http(settings.api, &sender)?;
    let outbound = Outbound::start(&settings, &sender)?;
    tracing::info!(
        member = %settings.member, zone = %settings.zone, api = %settings.api, back = %settings.back, "started"
    );
    let boot: u64 = rand::random::<u64>() >> 12;
    let controller = Controller::new(settings, boot);
    EventLoop::new(controller, start, inbox, outbound).run();
    Ok(())
}

/// Starts the threads that read peers' frames.
fn listen_for_peers(address: SocketAddrV4, sender: &InboxSender) -> Result<(), ServerError> {
    let sender = sender.clone();
    peer::listen(address, move |frame: Frame| {
        // The loop has ended: the process is about to.
        let _ = sender.send(Event::Frame(Box::new(frame)));
    })
    .map_err(|source| ServerError::PeerListener { address, source })?;
    Ok(())
}

/// Starts the threads that read HTTP requests.
fn serve_http(address: SocketAddrV4, sender: &InboxSender) -> Result<(), ServerError> {
    let server =
        tiny_http::Server::http(address).map_err(|source| ServerError::HttpListener { address, source })?;
    let server = Arc::new(server);
    let next_request_id = Arc::new(AtomicU64::new(1));
    for number in 0..HTTP_READERS {
        let (server, next_request_id, sender) = (server.clone(), next_request_id.clone(), sender.clone());
        spawn(format!("http-{number}"), move || http_api::read_requests(&server, &next_request_id, &sender))?;
    }
    Ok(())
}

/// Starts a named thread that runs until the process ends.
fn spawn(name: String, work: impl FnOnce() + Send + 'static) -> Result<(), ServerError> {
    match std::thread::Builder::new().name(name.clone()).spawn(work) {
        Ok(_) => Ok(()),
        Err(source) => Err(ServerError::Thread { name, source }),
    }
}
