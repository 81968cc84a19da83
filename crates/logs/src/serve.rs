//! The running store: threads at the edges, one thread for the store itself.

use crate::config::{ConfigError, StoreConfig};
use crate::disk::Folder;
use crate::key::{AttemptKey, StreamKey};
use crate::members::List;
use crate::replica::{Effect, Event, Read, Replica, Reply, Ticket};
use crate::segment_store::{SegmentStore, SegmentStoreError};
use crate::wire::{Ack, Answer, Frame, Request};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use hazelsaddle_cluster::http_server::{Limits, Request as HttpRequest, Responder, Response, Server};
use hazelsaddle_cluster::send_queue::SendQueue;
use hazelsaddle_cluster::time::Micros;
use hazelsaddle_cluster::transport::{self, Framed};
use std::collections::HashMap;
use std::io::Write as _;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Threads that send responses to readers: who reads slowly holds up one of them.
const ANSWERERS: usize = 8;
/// Readers' requests that wait; more are turned away at once.
const QUEUE: usize = 1000;
/// Readers' connections at a time; each takes a thread.
const READER_CONNECTIONS: usize = 1000;
/// How long a reader may take nothing of a response before its connection is closed.
const READER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Events taken before they are made certain together.
const BATCH: usize = 256;
/// Bytes staged before that.
const BATCH_BYTES: usize = 8 << 20;
/// Longest list of stores taken.
const BODY: usize = 64 << 10;

/// Why a store can't start, or ended.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// An address can't be listened on.
    #[error("{0}: {1}")]
    Listen(String, String),
    /// Its folder can't be used.
    #[error("{0}: {1}")]
    Folder(String, String),
    /// What it holds can't be read.
    #[error(transparent)]
    SegmentStore(#[from] SegmentStoreError),
    /// Its settings.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

enum Inbound {
    Shipper(Ticket, Request, Sender<Answer>),
    Peer(Frame),
    Reader(Ticket, Responder, Read),
    Stop,
}

/// A store that runs in threads of this process.
pub struct Running {
    /// Where shippers reach it.
    pub link: SocketAddrV4,
    /// Where other stores reach it.
    pub peer: SocketAddrV4,
    /// Where readers reach it.
    pub http: SocketAddrV4,
    stop: Sender<Inbound>,
    thread: JoinHandle<()>,
}

impl Running {
    /// Makes sure of all that came, and ends the store's thread.
    pub fn stop(self) {
        let _ = self.stop.send(Inbound::Stop);
        let _ = self.thread.join();
    }
    /// Waits until the store has ended.
    pub fn wait(self) {
        let _ = self.thread.join();
    }
    /// Something that ends the store when it is called.
    pub fn stopper(&self) -> impl Fn() + Send + Sync + 'static {
        let stop = self.stop.clone();
        move || {
            let _ = stop.send(Inbound::Stop);
        }
    }
}

/// Microseconds of the time of day.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

fn later(why: &str) -> Answer {
    Answer::Ack(Ack { status: 503, retry_ms: 200, why: why.into(), members: 0 })
}

/// Takes shippers' connections, a thread each. A shipper sends its next request once it has the answer to the last.
fn take_shippers(
    listener: TcpListener,
    tx: Sender<Inbound>,
    tickets: Arc<AtomicU64>,
    most: usize,
    queue: u64,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let waiting = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        if open.load(Ordering::Relaxed) >= most {
            tracing::warn!(most, "too many shippers; connection closed");
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (tx, tickets, open, waiting) = (tx.clone(), tickets.clone(), open.clone(), waiting.clone());
        let served = std::thread::Builder::new().stack_size(256 << 10).spawn({
            let open = open.clone();
            move || {
                shipper(stream, &tx, &tickets, &waiting, queue);
                open.fetch_sub(1, Ordering::Relaxed);
            }
        });
        if served.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn shipper(mut s: TcpStream, tx: &Sender<Inbound>, tickets: &AtomicU64, waiting: &AtomicU64, queue: u64) {
    let _ = s.set_nodelay(true);
    let _ = s.set_read_timeout(Some(Duration::from_secs(300)));
    let _ = s.set_write_timeout(Some(Duration::from_secs(5)));
    let (back, answers) = bounded(1);
    let mut buffer = Vec::new();
    while transport::read_frame(&mut s, &mut buffer) {
        let Some(request) = Request::decode(&buffer) else {
            tracing::error!(bytes = buffer.len(), "a shipper's request is malformed; connection closed");
            return;
        };
        let size = buffer.len();
        // A queue of large requests is what takes the memory.
        let answer = if waiting.load(Ordering::Relaxed) + size as u64 > queue {
            later("too much waits for the disk")
        } else {
            waiting.fetch_add(size as u64, Ordering::Relaxed);
            let ticket = tickets.fetch_add(1, Ordering::Relaxed);
            let sent = tx.send(Inbound::Shipper(ticket, request, back.clone()));
            let answer = sent.ok().and_then(|()| answers.recv_timeout(Duration::from_secs(60)).ok());
            waiting.fetch_sub(size as u64, Ordering::Relaxed);
            match answer {
                Some(a) => a,
                None => return,
            }
        };
        match answer.encode() {
            Some(bytes) if s.write_all(&bytes).is_ok() => {}
            _ => return,
        }
    }
}

fn number<T: std::str::FromStr>(query: &HashMap<String, String>, key: &str) -> Result<Option<T>, Reply> {
    match query.get(key) {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(n) => Ok(Some(n)),
            Err(_) => Err(Reply::error(400, &format!("{key}: {text:?} is no number"))),
        },
    }
}

/// Reads `job/task/attempt` or `job/task/attempt:name`.
fn stream_key(text: &str) -> Result<StreamKey, Reply> {
    let bad = |e: crate::key::KeyError| Reply::error(400, &e.to_string());
    match text.split_once(':') {
        None => AttemptKey::parse(text).map(StreamKey::log).map_err(bad),
        Some((of, name)) => AttemptKey::parse(of).and_then(|of| StreamKey::artefact(of, name)).map_err(bad),
    }
}

/// The bytes that a `Range` header asks for: one range with a beginning.
fn range(text: &str) -> Option<(u64, Option<u64>)> {
    let (from, to) = text.trim().strip_prefix("bytes=")?.split_once('-')?;
    let to = if to.is_empty() { None } else { Some(to.parse().ok()?) };
    Some((from.parse().ok()?, to))
}

/// Reads a reader's request.
fn parse(method: &str, url: &str, ranged: Option<&str>, body: &[u8]) -> Result<Read, Reply> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let query: HashMap<String, String> = form_urlencoded::parse(query.as_bytes()).into_owned().collect();
    let asked = |key: &str| query.get(key).map(String::as_str);
    let get = method == "GET";
    match path {
        "/ready" | "/v1/status" if get => Ok(Read::Status),
        "/v1/members" if get => Ok(Read::Members),
        "/v1/members" if method == "PUT" => {
            let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= BODY);
            let text = text.ok_or_else(|| Reply::error(400, "the body is too long, or is not UTF-8"))?;
            let list: List = serde_json::from_str(text).map_err(|e| Reply::error(400, &e.to_string()))?;
            Ok(Read::SetMembers(list))
        }
        "/v1/streams" if get => {
            let job = asked("job").unwrap_or("").to_owned();
            if !job.is_empty() && !crate::key::is_id(&job) {
                return Err(Reply::error(400, "job: this is no job id"));
            }
            let after = asked("after").map(stream_key).transpose()?;
            Ok(Read::Streams { job, after })
        }
        "/v1/chunks" if get => {
            let stream = stream_key(asked("at").ok_or_else(|| Reply::error(400, "at: is missing"))?)?;
            let from = number(&query, "from")?.unwrap_or(0);
            let wait = Micros::from_millis(number(&query, "wait_ms")?.unwrap_or(0u64).min(60_000));
            Ok(Read::Chunks { stream, from, wait })
        }
        "/v1/search" if get => {
            let text = asked("text").unwrap_or("").to_owned();
            if !(3..=200).contains(&text.len()) {
                return Err(Reply::error(400, "text: must have 3 to 200 bytes"));
            }
            Ok(Read::Search { text, from: number(&query, "from")?.unwrap_or(0) })
        }
        "/ready" | "/v1/status" | "/v1/members" | "/v1/streams" | "/v1/chunks" | "/v1/search" => {
            Err(Reply::error(405, "no such method here"))
        }
        _ => {
            let rest =
                path.strip_prefix("/v1/artefacts/").ok_or_else(|| Reply::error(404, "no such path"))?;
            if !get {
                return Err(Reply::error(405, "no such method here"));
            }
            let rest = percent_encoding::percent_decode_str(rest)
                .decode_utf8()
                .map_err(|_| Reply::error(400, "the path is not UTF-8"))?;
            let mut parts = rest.splitn(4, '/');
            let of = [parts.next(), parts.next(), parts.next()].map(|p| p.unwrap_or("")).join("/");
            let stream = stream_key(&format!("{of}:{}", parts.next().unwrap_or("")))?;
            let (from, to) = match ranged {
                None => (0, None),
                Some(r) => {
                    range(r).ok_or_else(|| Reply::error(416, "one range, with a beginning, is served"))?
                }
            };
            Ok(Read::Artefact { stream, from, to })
        }
    }
}

fn respond(responder: Responder, r: Reply) {
    let mut headers = vec![("Content-Type", r.kind.to_owned())];
    if let Some(s) = r.retry_after {
        headers.push(("Retry-After", s.to_string()));
    }
    if let Some((from, to, of)) = r.range {
        let text = if r.status == 416 { format!("bytes */{of}") } else { format!("bytes {from}-{to}/{of}") };
        headers.push(("Content-Range", text));
    }
    responder.respond(&Response { status: r.status, headers, body: r.body });
}

/// Passes a reader's request to the store's thread, unless it can be answered without.
fn take_reader(request: &HttpRequest, responder: Responder, tickets: &AtomicU64, tx: &Sender<Inbound>) {
    match parse(&request.method, &request.target, request.header("Range"), &request.body) {
        Err(reply) => respond(responder, reply),
        Ok(_) if tx.len() >= QUEUE => respond(responder, Reply::later("overloaded")),
        Ok(read) => {
            let ticket = tickets.fetch_add(1, Ordering::Relaxed);
            // Fails only after the store has ended; the connection is closed then.
            let _ = tx.send(Inbound::Reader(ticket, responder, read));
        }
    }
}

/// Starts the HTTP server for readers.
fn serve_readers(
    address: &str,
    tickets: &Arc<AtomicU64>,
    tx: &Sender<Inbound>,
) -> Result<Server, ServeError> {
    let limits = Limits {
        max_connections: READER_CONNECTIONS,
        max_body_bytes: BODY,
        write_timeout: READER_WRITE_TIMEOUT,
    };
    let (tickets, tx) = (tickets.clone(), tx.clone());
    Server::start(StoreConfig::address(address)?, limits, move |request, responder| {
        take_reader(&request, responder, &tickets, &tx);
    })
    .map_err(|e| ServeError::Listen(format!("http {address}"), e.to_string()))
}

fn listening(name: &str, addr: &str) -> Result<(TcpListener, SocketAddrV4), ServeError> {
    let failed = |e: std::io::Error| ServeError::Listen(format!("{name} {addr}"), e.to_string());
    let listener = TcpListener::bind(StoreConfig::address(addr)?).map_err(failed)?;
    match listener.local_addr().map_err(failed)? {
        SocketAddr::V4(a) => Ok((listener, a)),
        SocketAddr::V6(_) => Err(ServeError::Listen(name.into(), "not IPv4".into())),
    }
}

/// Opens a store's folder and starts its threads.
///
/// # Errors
/// If its folder is in use or unreadable, or an address is taken.
pub fn start(config: StoreConfig) -> Result<Running, ServeError> {
    let begun = Instant::now();
    let folder = config.folder.display().to_string();
    let disk = Folder::open(&config.folder).map_err(|e| ServeError::Folder(folder.clone(), e.to_string()))?;
    let (shelf, recovery) = SegmentStore::open(Box::new(disk), config.shelf.clone(), wall())?;
    tracing::info!(
        store = %config.member.name, %folder, segments = recovery.segments, bytes = recovery.bytes,
        scanned = recovery.scanned, torn = recovery.torn, damaged = recovery.damaged, rebuilt = recovery.rebuilt,
        ms = begun.elapsed().as_millis() as u64, "folder opened"
    );
    let (tx, rx): (Sender<Inbound>, Receiver<Inbound>) = unbounded();
    let tickets = Arc::new(AtomicU64::new(1));
    let (listener, link_addr) = listening("link", &config.member.link)?;
    let (peers, most, queue) = (tx.clone(), config.connections, config.queue_bytes);
    std::thread::spawn({
        let (tx, tickets) = (tx.clone(), tickets.clone());
        move || take_shippers(listener, tx, tickets, most, queue)
    });
    let peer_addr = transport::listen(StoreConfig::address(&config.member.peer)?, move |f: Frame| {
        let _ = peers.send(Inbound::Peer(f));
    })
    .map_err(|e| ServeError::Listen(format!("peer {}", config.member.peer), e.to_string()))?;
    let server = serve_readers(&config.member.http, &tickets, &tx)?;
    let http_addr = server.address();
    let (answer_tx, answer_rx) = bounded::<(Responder, Reply)>(QUEUE);
    for _ in 0..ANSWERERS {
        let answers = answer_rx.clone();
        std::thread::spawn(move || {
            while let Ok((request, reply)) = answers.recv() {
                respond(request, reply);
            }
        });
    }
    tracing::info!(store = %config.member.name, link = %link_addr, peer = %peer_addr, http = %http_addr, "started");
    // Ports that the system chose must be known to the other stores by another way: a list set by an operator.
    let node = Replica::new(config.node.clone(), config.list.clone(), shelf, recovery, Micros(1_000_000));
    let thread = std::thread::spawn(move || {
        run(node, &rx, &answer_tx, begun);
        drop(server);
    });
    Ok(Running { link: link_addr, peer: peer_addr, http: http_addr, stop: tx, thread })
}

fn run(mut node: Replica, rx: &Receiver<Inbound>, answer_tx: &Sender<(Responder, Reply)>, begun: Instant) {
    let clock = || Micros(1_000_000 + begun.elapsed().as_micros() as u64);
    let mut shippers: HashMap<Ticket, Sender<Answer>> = HashMap::new();
    let mut readers: HashMap<Ticket, Responder> = HashMap::new();
    let mut links: HashMap<String, (String, SendQueue<Frame>)> = HashMap::new();
    let mut out = Vec::new();
    loop {
        let mut next = rx.recv_timeout(Duration::from_millis(20)).ok();
        let mut taken = 0;
        let mut stop = false;
        while let Some(inbound) = next {
            let event = match inbound {
                Inbound::Shipper(ticket, request, back) => {
                    shippers.insert(ticket, back);
                    Event::Ask(ticket, request)
                }
                Inbound::Peer(frame) => Event::Peer(frame),
                Inbound::Reader(ticket, request, read) => {
                    readers.insert(ticket, request);
                    Event::Read(ticket, read)
                }
                Inbound::Stop => {
                    stop = true;
                    break;
                }
            };
            node.step(clock(), wall(), event, &mut out);
            taken += 1;
            let enough = taken >= BATCH || node.shelf().staged_bytes() >= BATCH_BYTES;
            next = if enough { None } else { rx.try_recv().ok() };
            // Copies can be on their way while we sync our own.
            send(&node, &mut links, &mut out);
        }
        node.flush(clock(), wall(), &mut out);
        node.tick(clock(), wall(), &mut out);
        send(&node, &mut links, &mut out);
        for effect in out.drain(..) {
            match effect {
                Effect::Answer(ticket, answer) => {
                    if let Some(back) = shippers.remove(&ticket) {
                        let _ = back.try_send(answer);
                    }
                }
                Effect::Reply(ticket, reply) => {
                    // Who can't be answered at once is let go, or slow readers would hold up the store.
                    if let Some(request) = readers.remove(&ticket) {
                        let _ = answer_tx.try_send((request, reply));
                    }
                }
                Effect::Send(..) => {}
            }
        }
        if stop {
            if let Err(e) = node.shelf().checkpoint(wall()) {
                tracing::error!(reason = %e, "the index could not be made durable; the next start reads more");
            }
            tracing::info!("stopped");
            return;
        }
    }
}

/// Sends what is meant for other stores, and keeps the rest.
fn send(node: &Replica, links: &mut HashMap<String, (String, SendQueue<Frame>)>, out: &mut Vec<Effect>) {
    for effect in std::mem::take(out) {
        let Effect::Send(to, frame) = effect else {
            out.push(effect);
            continue;
        };
        let Some(member) = node.list().members.iter().find(|m| m.name == to) else { continue };
        // A store may come back at another address.
        if links.get(&to).is_none_or(|l| l.0 != member.peer) {
            let Ok(addr) = member.peer.parse() else { continue };
            links.insert(to.clone(), (member.peer.clone(), transport::dial(addr)));
        }
        if let Some((_, tx)) = links.get(&to) {
            transport::enqueue(tx, frame);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_requests_are_answered_at_the_edge() {
        let status = |method: &str, url: &str| parse(method, url, None, b"{}").map_err(|r| r.status);
        assert!(status("GET", "/v1/chunks?at=wk-1/0/1&from=3&wait_ms=500").is_ok());
        assert!(status("GET", "/v1/streams?job=wk-1&after=wk-1/0/1:a%2Fb").is_ok());
        for (method, url, expected) in [
            ("GET", "/", 404),
            ("POST", "/v1/status", 405),
            ("GET", "/v1/chunks", 400),
            ("GET", "/v1/chunks?at=wk-1/0", 400),
            ("GET", "/v1/chunks?at=wk-1/0/1&from=x", 400),
            ("GET", "/v1/chunks?at=..%2F0/1", 400),
            ("GET", "/v1/streams?job=a%20b", 400),
            ("GET", "/v1/search?text=ab", 400),
            ("PUT", "/v1/members", 400),
            ("GET", "/v1/artefacts/wk-1/0/1/..%2F..%2Fetc%2Fpasswd", 400),
            ("GET", "/v1/artefacts/wk-1/0/1/", 400),
            ("PUT", "/v1/artefacts/wk-1/0/1/a", 405),
        ] {
            assert_eq!(status(method, url), Err(expected), "{method} {url}");
        }
        let ranged = |r| parse("GET", "/v1/artefacts/wk-1/0/1/a/b.csv", Some(r), b"");
        assert!(matches!(ranged("bytes=5-9"), Ok(Read::Artefact { from: 5, to: Some(9), .. })));
        assert!(matches!(ranged("bytes=5-"), Ok(Read::Artefact { from: 5, to: None, .. })));
        assert_eq!(ranged("bytes=-5").map_err(|r| r.status), Err(416));
    }
}
