//! Runs a controller process: its threads, the HTTP server, the connections to peers and the signal handlers.
//!
//! I/O threads make the blocking calls and put their results into the `inbox`. One thread, the `event_loop`, owns the
//! [`Controller`] with its whole state. Nothing here decides anything about jobs or machines.
//!
//! The I/O threads run until the process exits and are not joined: they hold no state that has to be saved, and a call in
//! which they block may take longer than the time limit of a controller that leaves.

mod event_loop;
pub mod http_api;
mod inbox;
pub mod operator_api;
mod outbound;
mod worker_probe;

use self::event_loop::EventLoop;
use self::http_api::RequestQueue;
use self::inbox::InboxSender;
use self::outbound::Outbound;
use crate::config::settings::Settings;
use crate::controller::{Controller, Event};
use crate::peer::{self, Frame};
use hazelsaddle_cluster::http_server::{Limits, Server};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// How long the event loop may wait for a client that doesn't read its responses. One response always fits into a
/// socket's buffer, so only a client that sends requests without reading comes to this.
const HTTP_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address for peers can't be bound.
    #[error("back {address}: {source}")]
    PeerListener {
        /// The address.
        address: SocketAddrV4,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The address for users, workers and health checks can't be bound.
    #[error("api_addr {address}: {source}")]
    HttpListener {
        /// The address.
        address: SocketAddrV4,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[error("thread {name}: {source}")]
    Thread {
        /// The thread's name.
        name: String,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Runs a controller until SIGTERM or SIGINT arrives and the controller has handed its state over to its peers, which
/// takes at most [`crate::controller::LEAVE_TIMEOUT`].
///
/// # Errors
/// If a listener or a thread can't be started.
pub fn run(settings: Settings) -> Result<(), ServerError> {
    let start = Instant::now();
    let (sender, inbox) = inbox::create();
    listen_for_peers(settings.back, &sender)?;
    let _http_server = serve_http(&settings, &sender)?;
    let outbound = Outbound::start(&settings, &sender)?;
    tracing::info!(
        member = %settings.member, zone = %settings.zone, api = %settings.api, back = %settings.back, "started"
    );
    let boot: u64 = rand::random::<u64>() >> 12;
    let controller = Controller::new(settings, boot);
    EventLoop::new(controller, start, inbox, outbound).run();
    Ok(())
}

/// Starts the threads that receive frames from peers.
fn listen_for_peers(address: SocketAddrV4, sender: &InboxSender) -> Result<(), ServerError> {
    let sender = sender.clone();
    peer::listen(address, move |frame: Frame| {
        // Fails only after the event loop has ended; the process exits right after that.
        let _ = sender.send(Event::Frame(Box::new(frame)));
    })
    .map_err(|source| ServerError::PeerListener { address, source })?;
    Ok(())
}

/// Starts the HTTP server.
fn serve_http(settings: &Settings, sender: &InboxSender) -> Result<Server, ServerError> {
    let address = settings.api;
    let limits = Limits {
        max_connections: settings.http_connections,
        max_body_bytes: http_api::HEARTBEAT_LIMIT_BYTES,
        write_timeout: HTTP_WRITE_TIMEOUT,
    };
    let queue = RequestQueue::new(sender.clone());
    Server::start(address, limits, move |request, responder| queue.handle(request, responder))
        .map_err(|source| ServerError::HttpListener { address, source })
}

/// Starts a named thread that runs until the process exits.
fn spawn(name: String, work: impl FnOnce() + Send + 'static) -> Result<(), ServerError> {
    match std::thread::Builder::new().name(name.clone()).spawn(work) {
        Ok(_) => Ok(()),
        Err(source) => Err(ServerError::Thread { name, source }),
    }
}
