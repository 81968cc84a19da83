//! Runs beside a task: takes what it writes, and sees that it reaches the stores.

use crate::chunk::{Chunk, Close, Gap, Kind};
use crate::client::Client;
use crate::key::{AttemptKey, KeyError, StreamKey};
use crate::serve::wall;
use crate::spool::{Offer, Policy, Spool, SpoolOptions};
use crate::wire::{Ack, Answer, Ask, Batch};
use std::io::{self, Read};
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Bytes in one request: at the most, at the least, and in the first. They double with each that goes through, and
/// halve with each that is too fast.
const REQUEST: usize = 1 << 20;
const LEAST: usize = 16 << 10;
const FIRST: usize = 64 << 10;
/// A request has no more than goes through in this part of a second: what has a number can't give way any more when
/// the machine is drained.
const WINDOW: f64 = 0.5;
/// Bytes of an artefact's chunks.
const PIECE: usize = 256 << 10;
/// A writer says that it is alive after so long without anything to send.
const ALIVE: Duration = Duration::from_secs(10);
/// While its task waits for its log, it says so this often.
const STALLED: Duration = Duration::from_millis(500);
/// After so long on another store the lead is tried again.
const HOME: Duration = Duration::from_secs(10);

/// How an attempt's output is shipped.
#[derive(Clone, Debug)]
pub struct ShipOptions {
    /// The attempt.
    pub of: AttemptKey,
    /// Its job's team.
    pub team: String,
    /// Tells this writer from others of the same attempt. A writer that goes on after a restart gives the same.
    pub token: u64,
    /// What to hold, and what to do when it is full.
    pub spool: SpoolOptions,
}

/// Why something could not be kept.
#[derive(Debug, thiserror::Error)]
pub enum ShipError {
    /// The stores refuse it for good.
    #[error("refused ({0}): {1}")]
    Refused(u16, String),
    /// No store took it in time.
    #[error("no store took it in time: {0}")]
    Late(String),
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// The artefact's name can't be one.
    #[error(transparent)]
    Name(#[from] KeyError),
}

/// How the shipping of an attempt stands, or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shipped {
    /// Everything is on enough disks, gaps included.
    pub through: bool,
    /// Chunks so far.
    pub chunks: u32,
    /// Lines that are on enough disks.
    pub lines: u64,
    /// Bytes that wait.
    pub spooled: usize,
    /// For how long the task is waiting right now, in microseconds.
    pub stalled: u64,
    /// For how long it has waited altogether, in microseconds.
    pub waited: u64,
    /// What was dropped.
    pub dropped: Gap,
    /// Why the stores refuse this log for good.
    pub refused: Option<(u16, String)>,
}

struct Inner {
    spool: Spool,
    /// By when everything must be through; what doesn't fit gives way.
    deadline: Option<Instant>,
    refused: Option<(u16, String)>,
    ended: bool,
}

struct Shared {
    inner: Mutex<Inner>,
    /// Something to send, room in the spool, or the end.
    changed: Condvar,
}

/// A poisoned lock guards a spool, whose steps leave it whole.
fn lock(s: &Shared) -> MutexGuard<'_, Inner> {
    s.inner.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ships the output of one attempt.
pub struct Shipper {
    shared: Arc<Shared>,
    client: Arc<Client>,
    options: ShipOptions,
    thread: Option<JoinHandle<()>>,
}

impl Shipper {
    /// Begins to ship an attempt's output.
    pub fn start(client: Arc<Client>, options: ShipOptions) -> Shipper {
        let inner = Inner { spool: Spool::new(options.spool), deadline: None, refused: None, ended: false };
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: Condvar::new() });
        let thread = std::thread::Builder::new().stack_size(512 << 10).spawn({
            let (shared, client, options) = (shared.clone(), client.clone(), options.clone());
            move || ship(&shared, &client, &options)
        });
        Shipper { shared, client, options, thread: thread.ok() }
    }

    /// Takes output. With `Policy::Block` it waits while the spool is full; how long goes on record.
    pub fn write(&self, kind: Kind, mut output: &[u8]) {
        let mut inner = lock(&self.shared);
        while let Offer::Full(n) = inner.spool.offer(wall(), kind, output) {
            output = &output[n..];
            if inner.refused.is_some() || inner.ended {
                return;
            }
            self.shared.changed.notify_all();
            inner = self
                .shared
                .changed
                .wait_timeout(inner, Duration::from_millis(200))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        drop(inner);
        self.shared.changed.notify_all();
    }
    /// Standard output or standard error, as a writer.
    pub fn writer(self: &Arc<Self>, kind: Kind) -> impl io::Write + Send + 'static {
        Writer { shipper: self.clone(), kind }
    }

    /// How it stands.
    pub fn status(&self) -> Shipped {
        let inner = lock(&self.shared);
        let now = wall();
        Shipped {
            through: inner.spool.is_empty() && inner.refused.is_none(),
            chunks: inner.spool.numbered(),
            lines: inner.spool.lines_acked(),
            spooled: inner.spool.bytes(),
            stalled: inner.spool.stalled(now),
            waited: inner.spool.waited(now),
            dropped: inner.spool.dropped().clone(),
            refused: inner.refused.clone(),
        }
    }

    /// The task has ended. Waits until all is through, `within` at the most: whatever can't be by then gives way to a
    /// gap that says so, what was written last goes first.
    pub fn close(&self, why: &str, within: Duration) -> Shipped {
        let deadline = Instant::now() + within;
        let mut inner = lock(&self.shared);
        inner.spool.close(wall(), why);
        inner.deadline = Some(inner.deadline.map_or(deadline, |d| d.min(deadline)));
        self.shared.changed.notify_all();
        while !inner.spool.is_empty() && inner.refused.is_none() && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now()).min(Duration::from_millis(100));
            inner = self.shared.changed.wait_timeout(inner, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        inner.ended = true;
        drop(inner);
        self.shared.changed.notify_all();
        self.status()
    }

    /// The machine has no power any more: nothing is sent from now on. For stand-ins.
    pub fn abort(&self) {
        lock(&self.shared).ended = true;
        self.shared.changed.notify_all();
    }

    /// Keeps a file. It is visible once all of it is kept and its hash is right. A file that was kept in part, by this
    /// or an earlier process with the same token, is gone on with. Returns its size and hash.
    ///
    /// # Errors
    /// If it can't be read, is refused (a file of this name that is kept already can't be replaced in the same
    /// attempt), or no store takes it `within` this time.
    pub fn put_file(&self, name: &str, path: &Path, within: Duration) -> Result<(u64, String), ShipError> {
        let stream = StreamKey::artefact(self.options.of.clone(), name)?;
        let failed = |e: io::Error| ShipError::File(path.display().to_string(), e);
        let deadline = Instant::now() + within;
        let place = self.options.of.place();
        let mut last = "there is none".to_owned();
        let mut round = 0usize;
        while Instant::now() < deadline {
            let stores = self.client.clockwise(place, None);
            let Some(&store) = stores.get(round % stores.len().max(1)) else { break };
            match self.put_at(store, &stream, path, deadline) {
                Ok(done) => return Ok(done),
                Err(Put::File(e)) => return Err(failed(e)),
                Err(Put::Ack(a)) if matches!(a.status, 400 | 403 | 410 | 413 | 422) => {
                    return Err(ShipError::Refused(a.status, a.why));
                }
                // A different chunk under a number of ours: the file has changed since it was begun.
                Err(Put::Ack(a)) if a.status == 409 && !a.why.starts_with("not whole") => {
                    return Err(ShipError::Refused(a.status, a.why));
                }
                Err(Put::Ack(a)) => last = a.why,
                Err(Put::Net(e)) => last = e.to_string(),
            }
            round += 1;
            std::thread::sleep(
                Duration::from_millis(100).min(deadline.saturating_duration_since(Instant::now())),
            );
        }
        Err(ShipError::Late(last))
    }

    fn put_at(
        &self,
        store: SocketAddrV4,
        stream: &StreamKey,
        path: &Path,
        deadline: Instant,
    ) -> Result<(u64, String), Put> {
        let held = match self.client.ask(store, Ask::Held(stream.clone())).map_err(Put::Net)? {
            Answer::Held(spans) => spans,
            _ => return Err(Put::Net(io::Error::other("not an answer to what was asked"))),
        };
        let holds = |n: u32| held.iter().any(|&(a, b)| a <= n && n <= b);
        let mut file = std::fs::File::open(path).map_err(Put::File)?;
        let mut hash = blake3::Hasher::new();
        let (mut n, mut size) = (0u32, 0u64);
        let mut waiting: Vec<Chunk> = Vec::new();
        let mut bytes = 0;
        loop {
            let mut piece = Vec::with_capacity(PIECE);
            Read::by_ref(&mut file).take(PIECE as u64).read_to_end(&mut piece).map_err(Put::File)?;
            let end = piece.is_empty();
            if !end {
                hash.update(&piece);
                size += piece.len() as u64;
                if !holds(n) {
                    bytes += piece.len();
                    // Times would differ when it is sent again; an artefact's chunks have none.
                    waiting.push(Chunk { n, at: 0, kind: Kind::Data, body: piece });
                }
                n += 1;
            }
            if bytes >= REQUEST || (end && !waiting.is_empty()) {
                bytes = 0;
                self.send(store, stream, std::mem::take(&mut waiting), deadline)?;
            }
            if end {
                break;
            }
        }
        let hash = hash.finalize().to_hex().to_string();
        let close = Close { why: "whole".into(), size: Some(size), hash: Some(hash.clone()) };
        let body = serde_json::to_vec(&close).unwrap_or_default();
        self.send(store, stream, vec![Chunk { n, at: 0, kind: Kind::Close, body }], deadline)?;
        Ok((size, hash))
    }

    fn send(
        &self,
        store: SocketAddrV4,
        stream: &StreamKey,
        chunks: Vec<Chunk>,
        deadline: Instant,
    ) -> Result<(), Put> {
        let batch = Batch {
            stream: stream.clone(),
            team: self.options.team.clone(),
            token: self.options.token,
            chunks,
        };
        loop {
            let ask = Ask::Append { batch: batch.clone(), stalled: 0 };
            match self.client.ask(store, ask).map_err(Put::Net)? {
                Answer::Ack(a) if a.status == 200 => return Ok(()),
                Answer::Ack(a) if a.status == 429 && Instant::now() < deadline => {
                    std::thread::sleep(Duration::from_millis(u64::from(a.retry_ms)));
                }
                Answer::Ack(a) => return Err(Put::Ack(a)),
                _ => return Err(Put::Net(io::Error::other("not an answer to what was asked"))),
            }
        }
    }
}

impl Drop for Shipper {
    fn drop(&mut self) {
        lock(&self.shared).ended = true;
        self.shared.changed.notify_all();
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
    }
}

/// Why a file did not get through to one store.
enum Put {
    File(io::Error),
    Net(io::Error),
    Ack(Ack),
}

struct Writer {
    shipper: Arc<Shipper>,
    kind: Kind,
}

impl io::Write for Writer {
    fn write(&mut self, output: &[u8]) -> io::Result<usize> {
        self.shipper.write(self.kind, output);
        Ok(output.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What to send next, or how long to wait.
enum Next {
    Send(Vec<Chunk>, u64),
    Wait(Duration),
    End,
}

fn next(inner: &mut Inner, again: bool, rate: f64, most: usize, spoke: Instant) -> Next {
    if inner.ended || inner.refused.is_some() {
        return Next::End;
    }
    let now = wall();
    let mut window = ((rate * WINDOW) as usize).clamp(LEAST, most);
    if let Some(deadline) = inner.deadline {
        // What can't be through in the time that is left gives way, oldest first, and requests get smaller towards the
        // end, so that the last one, which says that this is the end, is through in time.
        let left = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        inner.spool.shorten(now, (rate * left * 0.8) as usize);
        window = window.min((rate * left * 0.4) as usize).max(1024);
    }
    let chunks = inner.spool.batch(now, window, again);
    let stalled = inner.spool.stalled(now);
    if !chunks.is_empty() {
        return Next::Send(chunks, stalled);
    }
    let quiet = spoke.elapsed();
    if quiet >= ALIVE || (stalled > 0 && quiet >= STALLED) {
        return Next::Send(Vec::new(), stalled);
    }
    let ready = inner.spool.ready_at().map(|at| Duration::from_micros(at.saturating_sub(now)));
    Next::Wait(
        ready.unwrap_or(ALIVE).min(ALIVE.saturating_sub(quiet)).min(STALLED).max(Duration::from_millis(1)),
    )
}

/// The thread that sends: to the lead, and when that is silent or refuses, to those that follow it clockwise.
fn ship(shared: &Shared, client: &Client, options: &ShipOptions) {
    let stream = StreamKey::log(options.of.clone());
    let place = options.of.place();
    let mut newer = None;
    let (mut target, mut away_since) = (0usize, None::<Instant>);
    let mut again = false;
    let mut failures = 0u32;
    // Bytes a second that went through lately, waits included; a guess until something has.
    let mut rate = 128_000.0f64;
    let mut most = FIRST;
    let mut cycle = Instant::now();
    let mut spoke = Instant::now();
    loop {
        let mut inner = lock(shared);
        let (chunks, stalled) = match next(&mut inner, again, rate, most, spoke) {
            Next::End => return,
            Next::Send(chunks, stalled) => (chunks, stalled),
            Next::Wait(time) => {
                drop(shared.changed.wait_timeout(inner, time).unwrap_or_else(PoisonError::into_inner));
                continue;
            }
        };
        drop(inner);
        if away_since.is_some_and(|at| at.elapsed() >= HOME) {
            (target, away_since) = (0, None);
        }
        let stores = client.clockwise(place, newer);
        let Some(&store) = stores.get(target % stores.len().max(1)) else {
            std::thread::sleep(Duration::from_millis(200));
            again = true;
            continue;
        };
        let numbers: Vec<u32> = chunks.iter().map(|c| c.n).collect();
        let bytes: usize = chunks.iter().map(|c| c.body.len()).sum();
        let batch =
            Batch { stream: stream.clone(), team: options.team.clone(), token: options.token, chunks };
        if !again {
            cycle = Instant::now();
        }
        let answer = client.ask(store, Ask::Append { batch, stalled });
        spoke = Instant::now();
        let pause = match answer {
            Ok(Answer::Ack(a)) => {
                newer = Some(a.members);
                match a.status {
                    200 => {
                        let took = cycle.elapsed().as_secs_f64().max(1e-4);
                        if bytes > 1000 {
                            rate = 0.3 * rate + 0.7 * bytes as f64 / took;
                        }
                        lock(shared).spool.acked(numbers);
                        shared.changed.notify_all();
                        (again, failures) = (lock(shared).spool.unacked(), 0);
                        most = (most * 2).min(REQUEST);
                        continue;
                    }
                    429 => {
                        again = true;
                        most = (most / 2).max(LEAST);
                        Duration::from_millis(u64::from(a.retry_ms))
                    }
                    503 | 507 | 505 => {
                        (again, failures) = (true, failures + 1);
                        target += 1;
                        away_since.get_or_insert_with(Instant::now);
                        let full_round = (failures as usize).is_multiple_of(stores.len().max(1));
                        Duration::from_millis(if full_round {
                            u64::from(a.retry_ms.clamp(20, 2000))
                        } else {
                            20
                        })
                    }
                    status => {
                        tracing::error!(stream = %stream, status, why = %a.why, "the stores refuse this log");
                        lock(shared).refused = Some((status, a.why));
                        shared.changed.notify_all();
                        return;
                    }
                }
            }
            Ok(_) | Err(_) => {
                (again, failures) = (true, failures + 1);
                target += 1;
                away_since.get_or_insert_with(Instant::now);
                Duration::from_millis((20u64 << failures.min(6)).min(1000))
            }
        };
        // A drain must not be slept through.
        let inner = lock(shared);
        let left = inner.deadline.map_or(pause, |d| d.saturating_duration_since(Instant::now()) / 4);
        drop(
            shared
                .changed
                .wait_timeout(inner, pause.min(left.max(Duration::from_millis(5))))
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

/// Options for a writer that blocks, with a random token.
pub fn options(of: AttemptKey, team: &str, policy: Policy) -> ShipOptions {
    ShipOptions {
        of,
        team: team.into(),
        token: rand::random(),
        spool: SpoolOptions { policy, ..SpoolOptions::default() },
    }
}
