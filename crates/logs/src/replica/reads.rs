//! What readers and operators ask of one store. A store tells what it holds itself; readers put together what
//! several of them say (`reader`).

use super::{Effect, Replica, Ticket, Waiting};
use crate::index::Stream;
use crate::key::{AttemptKey, StreamKey};
use crate::members::List;
use crate::wire::{Page, Span};
use hazelsaddle_cluster::time::Micros;
use hazelsaddle_cluster::transport::Framed;
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Streams in one answer.
const STREAMS: usize = 500;
/// Bytes of chunks in one answer.
pub(crate) const PAGE_BYTES: usize = 1 << 20;
/// Readers that wait for more; others get what there is at once.
const WAITERS: usize = 5000;
/// Longest wait.
const WAIT: Micros = Micros::from_millis(30_000);

/// What is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// The streams of a job (all jobs if it is empty), behind one.
    Streams {
        /// The job.
        job: String,
        /// Behind which stream.
        after: Option<StreamKey>,
    },
    /// Chunks of a stream from a number on.
    Chunks {
        /// The stream.
        stream: StreamKey,
        /// From which number on.
        from: u32,
        /// How long to wait if there is nothing yet.
        wait: Micros,
    },
    /// Bytes of an artefact that is whole here.
    Artefact {
        /// The artefact.
        stream: StreamKey,
        /// The first byte.
        from: u64,
        /// The last byte, if not the artefact's last.
        to: Option<u64>,
    },
    /// Chunks with a text.
    Search {
        /// The text.
        text: String,
        /// From which segment on.
        from: u32,
    },
    /// How the store is.
    Status,
    /// The list of stores.
    Members,
    /// Another list of stores, to follow the version given.
    SetMembers(List),
}

/// An answer to a reader.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The status, as in HTTP.
    pub status: u16,
    /// What kind of body it is.
    pub kind: &'static str,
    /// The body.
    pub body: Vec<u8>,
    /// When to come back, in seconds.
    pub retry_after: Option<u32>,
    /// Which bytes of how many these are, if not all.
    pub range: Option<(u64, u64, u64)>,
}

impl Reply {
    /// A JSON answer.
    pub fn json(status: u16, value: &serde_json::Value) -> Reply {
        let body = value.to_string().into_bytes();
        Reply { status, kind: "application/json", body, retry_after: None, range: None }
    }
    /// An error, with its reason.
    pub fn error(status: u16, why: &str) -> Reply {
        Reply::json(status, &json!({"error": why}))
    }
    /// Come back.
    pub fn later(why: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, why) }
    }
    fn bytes(body: Vec<u8>) -> Reply {
        Reply { status: 200, kind: "application/octet-stream", body, retry_after: None, range: None }
    }
}

/// A stream as a store lists it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Listed {
    /// The task.
    pub task: u32,
    /// The attempt.
    pub attempt: u64,
    /// The artefact's name; empty for the log.
    pub name: String,
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// Chunks held here.
    pub held: Vec<Span>,
    /// The last chunk's number, if it is held.
    pub closed: Option<u32>,
    /// What the last chunk says.
    pub end: Option<crate::chunk::Close>,
    /// Bytes held here.
    pub bytes: u64,
    /// When the first and the last chunk came, in microseconds of the store's time of day.
    pub first: u64,
    /// See `first`.
    pub last: u64,
    /// `open`, `closed`, `cut off` or `dropped`, by what this store knows.
    pub state: String,
    /// For how long its task is waiting for its log, in microseconds; 0: it is not.
    pub stalled: u64,
}

/// Ranges of a set.
pub fn spans(held: &RoaringBitmap) -> Vec<Span> {
    let mut out = Vec::new();
    let mut iter = held.iter();
    while let Some(r) = iter.next_range() {
        out.push((*r.start(), *r.end()));
    }
    out
}

struct Wait {
    ticket: Ticket,
    from: u32,
    until: Micros,
}

/// Readers that wait for more.
#[derive(Default)]
pub(super) struct Waits {
    of: BTreeMap<StreamKey, Vec<Wait>>,
    count: usize,
}

impl Replica {
    /// Takes a reader's request.
    pub(super) fn read(&mut self, now: Micros, ticket: Ticket, read: Read, out: &mut Vec<Effect>) {
        let reply = match read {
            Read::Streams { job, after } => self.list_streams(now, &job, after.as_ref()),
            Read::Chunks { stream, from, wait } => {
                let (page, more) = match self.page(now, &stream, from) {
                    Ok(found) => found,
                    Err(reply) => return out.push(Effect::Reply(ticket, reply)),
                };
                let wait = wait.min(WAIT);
                if !more && wait > Micros(0) && self.reads.count < WAITERS {
                    self.reads.count += 1;
                    let until = now + wait;
                    return self.reads.of.entry(stream).or_default().push(Wait { ticket, from, until });
                }
                page
            }
            Read::Artefact { stream, from, to } => self.artefact(&stream, from, to),
            Read::Search { text, from } => match self.shelf.search(&text, from, 200) {
                Ok((hits, next)) => {
                    let hits: Vec<_> =
                        hits.iter().map(|(key, n)| json!({"at": key.of.to_string(), "chunk": n})).collect();
                    Reply::json(200, &json!({"hits": hits, "next": next}))
                }
                Err(e) => Reply::error(503, &e.to_string()),
            },
            Read::Status => self.status(now),
            Read::Members => Reply::json(200, &json!(self.list())),
            Read::SetMembers(list) => {
                let reply = self.set_members(now, list);
                // Nobody may be told of a list that a crash could take back.
                return self.waiting.push(Waiting::Say(Effect::Reply(ticket, reply)));
            }
        };
        out.push(Effect::Reply(ticket, reply));
    }

    fn set_members(&mut self, now: Micros, list: List) -> Reply {
        if let Err(e) = list.check() {
            return Reply::error(400, &e.to_string());
        }
        if list.version != self.list().version + 1 {
            let why = format!("the list has version {}: read it again", self.list().version);
            return Reply::error(409, &why);
        }
        match self.adopt(now, list) {
            Ok(_) => Reply::json(200, &json!(self.list())),
            Err(e) => Reply::error(503, &e),
        }
    }

    fn state_name(&self, now: Micros, of: &AttemptKey, s: &Stream) -> &'static str {
        if s.dropped.is_some() {
            return "dropped";
        }
        if s.whole() || s.closed.is_some() {
            return "closed";
        }
        if self.is_silent(now, of) { "cut off" } else { "open" }
    }

    /// Whether an attempt's writer has been silent for too long. Just after a start nobody has had the time to speak.
    fn is_silent(&self, now: Micros, of: &AttemptKey) -> bool {
        let heard = self.writers.get(of).map_or(self.started, |h| h.at);
        now.since(heard) >= self.options.silent
    }

    fn list_streams(&mut self, now: Micros, job: &str, after: Option<&StreamKey>) -> Reply {
        let found = match self.shelf.streams(job, after, STREAMS) {
            Ok(found) => found,
            Err(e) => return Reply::error(503, &e.to_string()),
        };
        let more = found.len() == STREAMS;
        let listed = |(key, s): &(StreamKey, Stream)| Listed {
            job: key.of.job.clone(),
            task: key.of.task,
            attempt: key.of.attempt,
            name: key.name.clone(),
            team: s.team.clone(),
            held: spans(&s.held),
            closed: s.closed.as_ref().map(|c| c.0),
            end: s.closed.as_ref().and_then(|c| serde_json::from_str(&c.1).ok()),
            bytes: s.bytes,
            first: s.first,
            last: s.last,
            state: self.state_name(now, &key.of, s).into(),
            stalled: self.writers.get(&key.of).map_or(0, |h| h.stalled),
        };
        let shown = |(_, s): &&(StreamKey, Stream)| !s.is_empty() || s.dropped.is_some();
        let list: Vec<Listed> = found.iter().filter(shown).map(listed).collect();
        let next = if more { found.last().map(|(key, _)| key.to_string()) } else { None };
        Reply::json(200, &json!({"store": self.options.name, "streams": list, "next": next}))
    }

    /// Chunks of a stream from a number on; whether there are any, or nothing more can come.
    fn page(&mut self, now: Micros, stream: &StreamKey, from: u32) -> Result<(Reply, bool), Reply> {
        let later = |e: crate::segment_store::SegmentStoreError| Reply::later(&e.to_string());
        let s = self.shelf.stream(stream).map_err(later)?.unwrap_or_default();
        let mut page = Page {
            held: spans(&s.held),
            closed: s.closed.as_ref().map(|c| c.0),
            dropped: s.dropped.is_some(),
            silent: self.is_silent(now, &stream.of),
            ..Page::default()
        };
        let mut bytes = 0;
        for n in s.held.range(from..) {
            match self.shelf.read(stream, n) {
                Ok(Some(chunk)) => {
                    bytes += chunk.body.len() + 64;
                    page.chunks.push(chunk);
                }
                // It is damaged: it counts as not held, and the reader asks another store.
                Ok(None) | Err(_) => continue,
            }
            if bytes >= PAGE_BYTES {
                break;
            }
        }
        let ended = page.closed.is_some_and(|c| c < from);
        let more = !page.chunks.is_empty() || ended || page.dropped;
        match Framed::encode(&page) {
            Some(body) => Ok((Reply::bytes(body[4..].to_vec()), more)),
            None => Err(Reply::error(500, "the page can't be written")),
        }
    }

    fn artefact(&mut self, stream: &StreamKey, from: u64, to: Option<u64>) -> Reply {
        let s = match self.shelf.stream(stream) {
            Ok(s) => s.unwrap_or_default(),
            Err(e) => return Reply::later(&e.to_string()),
        };
        if s.dropped.is_some() {
            return Reply::error(410, "the artefact was dropped by retention");
        }
        let end = s.closed.as_ref().and_then(|c| serde_json::from_str::<crate::chunk::Close>(&c.1).ok());
        let Some(size) = end.and_then(|e| e.size).filter(|_| s.whole()) else {
            return Reply::error(404, "no such artefact is whole at this store");
        };
        if size == 0 && from == 0 {
            return Reply::bytes(Vec::new());
        }
        let last = to.unwrap_or(u64::MAX).min(size.saturating_sub(1));
        if from >= size || last < from {
            return Reply { range: Some((0, 0, size)), ..Reply::error(416, "no such bytes") };
        }
        // As much as fits into one answer.
        let last = last.min(from + PAGE_BYTES as u64 - 1);
        let mut body = Vec::new();
        let mut at = 0u64;
        for n in s.held.iter() {
            // All chunks but the last two (the last bytes and the end) have the first one's length; a length that
            // is only counted would still have to be read, and reading is what is asked for.
            let chunk = match self.shelf.read(stream, n) {
                Ok(Some(c)) => c,
                _ => return Reply::later("a chunk is damaged here; it is being healed"),
            };
            let len = chunk.body.len() as u64;
            if chunk.kind == crate::chunk::Kind::Data && at + len > from && at <= last {
                let a = from.saturating_sub(at) as usize;
                let b = (last + 1 - at).min(len) as usize;
                body.extend_from_slice(&chunk.body[a..b]);
            }
            at += len;
            if at > last {
                break;
            }
        }
        let whole = from == 0 && last + 1 == size;
        let mut reply = Reply::bytes(body);
        if !whole {
            (reply.status, reply.range) = (206, Some((from, last, size)));
        }
        reply
    }

    /// Answers readers that wait for streams that have grown.
    pub(super) fn wake(&mut self, now: Micros, touched: &BTreeSet<StreamKey>, out: &mut Vec<Effect>) {
        for key in touched {
            let Some(waits) = self.reads.of.remove(key) else { continue };
            for w in waits {
                match self.page(now, key, w.from) {
                    Ok((_, false)) => self.reads.of.entry(key.clone()).or_default().push(w),
                    Ok((reply, true)) | Err(reply) => {
                        self.reads.count -= 1;
                        out.push(Effect::Reply(w.ticket, reply));
                    }
                }
            }
        }
    }

    /// Answers readers that have waited for long enough.
    pub(super) fn expire(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due: Vec<StreamKey> = self
            .reads
            .of
            .iter()
            .filter(|(_, waits)| waits.iter().any(|w| now >= w.until))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let Some(waits) = self.reads.of.remove(&key) else { continue };
            for w in waits {
                if now < w.until {
                    self.reads.of.entry(key.clone()).or_default().push(w);
                    continue;
                }
                self.reads.count -= 1;
                let reply = match self.page(now, &key, w.from) {
                    Ok((reply, _)) | Err(reply) => reply,
                };
                out.push(Effect::Reply(w.ticket, reply));
            }
        }
    }

    fn status(&mut self, now: Micros) -> Reply {
        let segments = self.shelf.segments().map(|s| s.len()).unwrap_or(0);
        let teams = self.shelf.teams().unwrap_or_default();
        let peers: BTreeMap<&str, bool> = self
            .list()
            .members
            .iter()
            .filter(|m| m.name != self.options.name)
            .map(|m| (m.name.as_str(), self.is_there(now, &m.name)))
            .collect();
        let leaving = self.members.get(&self.options.name).is_none_or(|m| m.leaving);
        let foreign = self.heal.foreign();
        let body = json!({
            "store": self.options.name,
            "members": self.list(),
            "peers": peers,
            "leaving": leaving,
            "to_hand_over": foreign,
            "handed_over": leaving && foreign == Some(0),
            "used_bytes": self.shelf.used(),
            "max_bytes": self.shelf.options().max_bytes,
            "segments": segments,
            "teams": teams,
            "writers": self.writers.len(),
            "stalled": self.writers.values().filter(|h| h.stalled > 0).count(),
            "pending": self.pending(),
            "readers_waiting": self.reads.count,
            "counts": self.shelf.counts,
            "healed_chunks": self.heal.sent,
            "released_streams": self.heal.released,
            "recovery": self.recovery,
            "broken": self.broken,
        });
        Reply::json(200, &body)
    }
}
