//! Connections between processes: framed TCP ([`crate::frame`]). A connection carries frames one way; a process that wants
//! an answer is connected to in turn.

pub use crate::frame::{FRAME_LIMIT, Framed, decode, encode, read_frame};
use crate::send_queue::{SendQueue, SendQueueReceiver, channel};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Peer connections accepted at a time, so that a stray client can't use up threads.
const MOST_CONNECTIONS: usize = 64;
/// How long a connection may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed connection until the next is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// A peer that reads nothing must not hold its thread for ever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer speaks several times a second; one that fell silent has another connection by now.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after a connection that could not be accepted until the next is.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts a thread that keeps a connection to one peer and sends it the frames that are put on the returned queue. The
/// thread ends when the queue is dropped.
pub fn dial<F: Framed>(address: SocketAddrV4) -> SendQueue<F> {
    let (queue, frames) = channel::<F>();
    std::thread::spawn(move || send_frames(address, &frames));
    queue
}

fn send_frames<F: Framed>(address: SocketAddrV4, frames: &SendQueueReceiver<F>) {
    let mut connection: Option<TcpStream> = None;
    while let Some(frame) = frames.pop() {
        // A peer that was replaced a moment ago: what is written to the old one is lost without a word.
        if connection.as_ref().is_some_and(has_ended) {
            connection = None;
        }
        if connection.is_none() {
            connection = connect(address);
        }
        let Some(open) = &mut connection else {
            // What waited while there was no connection is stale: states follow anyway.
            frames.clear();
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        if let Some(bytes) = frame.encode()
            && open.write_all(&bytes).is_err()
        {
            connection = None;
        }
    }
}

fn connect(address: SocketAddrV4) -> Option<TcpStream> {
    let connection = TcpStream::connect_timeout(&address.into(), CONNECT_TIMEOUT).ok()?;
    let _ = connection.set_nodelay(true);
    let _ = connection.set_write_timeout(Some(WRITE_TIMEOUT));
    Some(connection)
}

/// Puts a frame on a peer's queue, or drops it if the queue is full. Returns whether it was queued.
pub fn enqueue<F: Framed>(queue: &SendQueue<F>, frame: F) -> bool {
    let is_queued = queue.push(frame);
    if !is_queued {
        tracing::debug!("peer queue full; frame dropped");
    }
    is_queued
}

/// Whether the other side has ended a connection. It never says anything on it, so all that can be read is the end.
fn has_ended(connection: &TcpStream) -> bool {
    if connection.set_nonblocking(true).is_err() {
        return true;
    }
    let is_silent = matches!(connection.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    connection.set_nonblocking(false).is_err() || !is_silent
}

/// Starts a thread that accepts peers' connections and hands their frames to `take`. Returns the address listened on.
///
/// # Errors
/// What the system says if the address can't be listened on.
pub fn listen<F: Framed>(
    address: SocketAddrV4,
    take: impl Fn(F) + Send + Clone + 'static,
) -> std::io::Result<SocketAddrV4> {
    let listener = TcpListener::bind(address)?;
    let local = match listener.local_addr()? {
        SocketAddr::V4(local) => local,
        SocketAddr::V6(_) => address,
    };
    std::thread::spawn(move || accept_connections(&listener, take));
    Ok(local)
}

fn accept_connections<F: Framed>(listener: &TcpListener, take: impl Fn(F) + Send + Clone + 'static) {
    // Each connection's thread holds a reference.
    let open = Arc::new(());
    for connection in listener.incoming() {
        let Ok(connection) = connection else {
            std::thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if Arc::strong_count(&open) > MOST_CONNECTIONS {
            continue;
        }
        let (take, guard) = (take.clone(), open.clone());
        std::thread::spawn(move || {
            let _guard = guard;
            take_frames(connection, take);
        });
    }
}

fn take_frames<F: Framed>(mut connection: TcpStream, take: impl Fn(F)) {
    let _ = connection.set_read_timeout(Some(READ_TIMEOUT));
    let mut buffer = Vec::new();
    while read_frame(&mut connection, &mut buffer) {
        match F::decode(&buffer) {
            Some(frame) => take(frame),
            None => {
                tracing::error!(bytes = buffer.len(), "peer frame malformed; connection closed");
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
