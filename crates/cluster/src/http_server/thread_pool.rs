//! Threads that serve connections, one connection each. A thread that is done waits a while for the next connection,
//! since starting a thread for each of many short connections would cost more than serving them.

use super::Limits;
use super::connection::{Connection, Handler};
use super::connection_limit::{ConnectionLimit, ConnectionSlot};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// How long a thread waits for its next connection before it ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Stack of a connection's thread. It holds a read buffer and the frames of the JSON parser, whose depth is limited.
const STACK_BYTES: usize = 256 << 10;

/// A connection for a waiting thread.
struct Assignment {
    connection: Connection,
    slot: ConnectionSlot,
}

/// Starts threads and hands connections to those that wait for one.
pub(super) struct ThreadPool {
    limits: Limits,
    limit: Arc<ConnectionLimit>,
    has_ended: Arc<AtomicBool>,
    handler: Handler,
    /// To the threads that wait. It has no buffer: an assignment is sent only while a thread is receiving.
    to_waiting: Sender<Assignment>,
    waiting: Receiver<Assignment>,
}

impl ThreadPool {
    pub(super) fn new(
        limits: Limits,
        limit: Arc<ConnectionLimit>,
        has_ended: Arc<AtomicBool>,
        handler: Handler,
    ) -> ThreadPool {
        let (to_waiting, waiting) = bounded(0);
        ThreadPool { limits, limit, has_ended, handler, to_waiting, waiting }
    }

    /// Serves a connection on a waiting thread or on a new one.
    ///
    /// # Errors
    /// The operating system's error if the connection can't be set up or no thread can be started. The connection is
    /// closed then.
    pub(super) fn serve(&self, stream: TcpStream, slot: ConnectionSlot) -> std::io::Result<()> {
        let connection = Connection::new(
            stream,
            self.limits,
            self.limit.clone(),
            self.has_ended.clone(),
            self.handler.clone(),
        )?;
        match self.to_waiting.try_send(Assignment { connection, slot }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(assignment) | TrySendError::Disconnected(assignment)) => {
                self.start_thread(assignment)
            }
        }
    }

    fn start_thread(&self, first: Assignment) -> std::io::Result<()> {
        let waiting = self.waiting.clone();
        let thread = std::thread::Builder::new().name("http".into()).stack_size(STACK_BYTES);
        thread.spawn(move || serve_connections(first, &waiting))?;
        Ok(())
    }
}

fn serve_connections(first: Assignment, waiting: &Receiver<Assignment>) {
    let mut next = Some(first);
    while let Some(Assignment { connection, slot }) = next {
        connection.run();
        drop(slot);
        next = waiting.recv_timeout(THREAD_IDLE_TIMEOUT).ok();
    }
}
