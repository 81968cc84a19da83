//! Connections between processes: framed TCP ([`crate::frame`]). A connection carries frames in one direction. To
//! answer, a process opens a connection of its own.

pub use crate::frame::{Framed, MAX_FRAME_BYTES, decode, encode, read_frame};
use crate::send_queue::{SendQueue, SendQueueReceiver, channel};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of peer connections at a time, so that a stray client cannot use up threads.
const MAX_CONNECTIONS: usize = 64;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Timeout for writing a frame, so that a peer that reads nothing does not block its thread for ever.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading a frame. Peers send several frames per second; one that sends none has another connection by
/// now.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a connection could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

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
        // The peer may have been replaced just now: frames written to the old connection would be lost without an
        // error.
        if connection.as_ref().is_some_and(has_ended) {
            connection = None;
        }
        if connection.is_none() {
            connection = connect(address);
        }
        let Some(open) = &mut connection else {
            // The queued frames are stale, and newer states follow anyway.
            frames.clear();
            std::thread::sleep(RECONNECT_DELAY);
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

/// Whether the peer has closed a connection. The peer never sends anything on it, so the only thing to read is its end.
fn has_ended(connection: &TcpStream) -> bool {
    if connection.set_nonblocking(true).is_err() {
        return true;
    }
    let is_open = matches!(connection.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    connection.set_nonblocking(false).is_err() || !is_open
}

/// Starts a thread that accepts peers' connections and passes their frames to `handle_frame`. Returns the address
/// listened on.
///
/// # Errors
/// The operating system's error if the address can't be listened on.
pub fn listen<F: Framed>(
    address: SocketAddrV4,
    handle_frame: impl Fn(F) + Send + Clone + 'static,
) -> std::io::Result<SocketAddrV4> {
    let listener = TcpListener::bind(address)?;
    let local_address = match listener.local_addr()? {
        SocketAddr::V4(local_address) => local_address,
        SocketAddr::V6(_) => address,
    };
    std::thread::spawn(move || accept_connections(&listener, handle_frame));
    Ok(local_address)
}

fn accept_connections<F: Framed>(listener: &TcpListener, handle_frame: impl Fn(F) + Send + Clone + 'static) {
    // Each connection's thread holds a reference, so the reference count limits the number of connections.
    let open = Arc::new(());
    for connection in listener.incoming() {
        let Ok(connection) = connection else {
            std::thread::sleep(ACCEPT_DELAY);
            continue;
        };
        if Arc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (handle_frame, guard) = (handle_frame.clone(), open.clone());
        std::thread::spawn(move || {
            let _guard = guard;
            receive_frames(connection, handle_frame);
        });
    }
}

fn receive_frames<F: Framed>(mut connection: TcpStream, handle_frame: impl Fn(F)) {
    let _ = connection.set_read_timeout(Some(READ_TIMEOUT));
    let mut buffer = Vec::new();
    while read_frame(&mut connection, &mut buffer) {
        match F::decode(&buffer) {
            Some(frame) => handle_frame(frame),
            None => {
                tracing::error!(bytes = buffer.len(), "peer frame malformed; connection closed");
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
