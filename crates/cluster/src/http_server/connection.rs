//! One connection: reads its requests in turn, and writes the responses.

use super::Limits;
use super::connection_limit::ConnectionLimit;
use super::request::{Incoming, Request, RequestError, RequestReader};
use super::response::Response;
use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded};
use std::convert::Infallible;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a read waits. Idle connections are looked at this often.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle. Clients of the service send a request every few seconds; one that sends none has
/// lost power, or the way to it is cut.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles requests.
pub(super) type Handler = Arc<dyn Fn(Request, Responder) + Send + Sync>;

/// A connection that was accepted.
pub(super) struct Connection {
    stream: Arc<TcpStream>,
    limits: Limits,
    limit: Arc<ConnectionLimit>,
    has_ended: Arc<AtomicBool>,
    handler: Handler,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        limits: Limits,
        limit: Arc<ConnectionLimit>,
        has_ended: Arc<AtomicBool>,
        handler: Handler,
    ) -> std::io::Result<Connection> {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_write_timeout(Some(limits.write_timeout))?;
        Ok(Connection { stream: Arc::new(stream), limits, limit, has_ended, handler })
    }

    /// Serves the connection until it is closed.
    pub(super) fn run(self) {
        let mut reader = RequestReader::new(&*self.stream, self.limits.max_body_bytes);
        let mut last_response = ResponseState::sent();
        let mut last_active = Instant::now();
        loop {
            match reader.next() {
                Ok(Incoming::Request(request)) => {
                    // Responses must be sent in the order of the requests.
                    last_response.wait();
                    let is_last = request.is_last();
                    let responder = self.responder(&request);
                    last_response = ResponseState { is_sent: responder.1 };
                    (self.handler)(request, responder.0);
                    if is_last {
                        return last_response.wait();
                    }
                    last_active = Instant::now();
                }
                Ok(Incoming::Nothing) => {
                    if !last_response.is_sent() {
                        last_active = Instant::now();
                    } else if self.is_surplus(last_active.elapsed()) {
                        return;
                    }
                }
                Err(error) => {
                    last_response.wait();
                    return self.refuse(error);
                }
            }
        }
    }

    fn responder(&self, request: &Request) -> (Responder, Receiver<Infallible>) {
        let (sent, is_sent) = bounded(0);
        let responder = Responder {
            stream: self.stream.clone(),
            limit: self.limit.clone(),
            is_last: request.is_last(),
            has_body: request.method != "HEAD",
            is_pending: true,
            _sent: sent,
        };
        (responder, is_sent)
    }

    /// Whether a connection that has been idle for this long is to be closed.
    fn is_surplus(&self, idle: Duration) -> bool {
        idle >= IDLE_TIMEOUT || self.limit.is_crowded() || self.has_ended.load(Ordering::Relaxed)
    }

    /// Answers what is no request, if somebody is there. The connection ends after that: nobody knows where the next
    /// request would begin.
    fn refuse(&self, error: RequestError) {
        if let Some(status) = error.status() {
            tracing::debug!(reason = %error, "request refused");
            let _ =
                (&*self.stream).write_all(&Response::error(status, &error.to_string()).encode(true, true));
        }
    }
}

/// Whether the response to a connection's last request has been sent.
struct ResponseState {
    /// Disconnected when it has been.
    is_sent: Receiver<Infallible>,
}

impl ResponseState {
    fn sent() -> ResponseState {
        ResponseState { is_sent: bounded(0).1 }
    }

    fn is_sent(&self) -> bool {
        matches!(self.is_sent.try_recv(), Err(TryRecvError::Disconnected))
    }

    fn wait(&self) {
        let _ = self.is_sent.recv();
    }
}

/// The right to respond to one request. The connection is closed if this is dropped without a response.
pub struct Responder {
    stream: Arc<TcpStream>,
    limit: Arc<ConnectionLimit>,
    is_last: bool,
    has_body: bool,
    is_pending: bool,
    /// Dropped with this, which tells the connection's thread that the response has been sent.
    _sent: Sender<Infallible>,
}

impl Responder {
    /// Sends the response. A client that is gone needs none, so a failure closes the connection and is not reported.
    pub fn respond(mut self, response: &Response) {
        let is_last = self.is_last || self.limit.is_crowded();
        let is_written = (&*self.stream).write_all(&response.encode(is_last, self.has_body)).is_ok();
        self.is_pending = false;
        if is_last || !is_written {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.is_pending {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}
