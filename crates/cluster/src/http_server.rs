//! A blocking HTTP/1.1 server with a thread for each connection. Controllers and log stores use it.
//!
//! It goes on whatever happens to a connection: one that can't be accepted or can't get a thread costs a log line and a
//! short pause, never the listener. The number of connections is limited, so that a process keeps descriptors and threads
//! for its own work, and a client that stops in the middle of a request holds up nobody else and is cut off.
//!
//! The server decides nothing about requests: it passes each one to a handler, with a [`Responder`] through which the
//! response may be sent later and from any thread.

mod connection;
mod connection_limit;
mod request;
mod response;
mod thread_pool;

pub use connection::Responder;
pub use request::Request;
pub use response::Response;

use self::connection_limit::ConnectionLimit;
use self::thread_pool::ThreadPool;
use std::io::ErrorKind;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Delay after a connection could not be accepted, and between two checks whether one may be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections that are open at a time. Further ones wait in the system's queue.
    pub max_connections: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a write may make no progress before the connection is closed.
    pub write_timeout: Duration,
}

/// A running server. It stops accepting connections when this is dropped.
#[must_use]
pub struct Server {
    address: SocketAddrV4,
    has_ended: Arc<AtomicBool>,
}

impl Server {
    /// Binds an address and starts to serve it. `handle` is called on a connection's thread; the connection's next
    /// request is read only after the response to the last one was sent.
    ///
    /// # Errors
    /// The operating system's error if the address can't be bound or the first thread can't be started.
    pub fn start(
        address: SocketAddrV4,
        limits: Limits,
        handle: impl Fn(Request, Responder) + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(ErrorKind::Unsupported.into());
        };
        let has_ended = Arc::new(AtomicBool::new(false));
        let limit = Arc::new(ConnectionLimit::new(limits.max_connections));
        let acceptor = Acceptor {
            listener,
            has_ended: has_ended.clone(),
            limit: limit.clone(),
            pool: ThreadPool::new(limits, limit, has_ended.clone(), Arc::new(handle)),
        };
        std::thread::Builder::new().name("http-accept".into()).spawn(move || acceptor.run())?;
        Ok(Server { address, has_ended })
    }

    /// The address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect_timeout(&self.address.into(), ACCEPT_DELAY);
    }
}

/// Accepts connections until the server ends.
struct Acceptor {
    listener: TcpListener,
    has_ended: Arc<AtomicBool>,
    limit: Arc<ConnectionLimit>,
    pool: ThreadPool,
}

impl Acceptor {
    fn run(self) {
        while !self.has_ended.load(Ordering::Relaxed) {
            let Some(slot) = ConnectionLimit::try_open(&self.limit) else {
                self.pause_after("all connections are in use");
                continue;
            };
            match self.listener.accept() {
                Ok((stream, _)) => match self.pool.serve(stream, slot) {
                    Ok(()) => self.report_recovery(),
                    Err(error) => self.pause_after(&error.to_string()),
                },
                // The client gave up while it was waiting.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => self.pause_after(&error.to_string()),
            }
        }
    }

    fn pause_after(&self, reason: &str) {
        if self.limit.begin_shortage() {
            tracing::warn!(reason, open = self.limit.open(), "no connections accepted");
        }
        std::thread::sleep(ACCEPT_DELAY);
    }

    fn report_recovery(&self) {
        if self.limit.end_shortage() {
            tracing::info!(open = self.limit.open(), "connections accepted again");
        }
    }
}

#[cfg(test)]
mod tests;
