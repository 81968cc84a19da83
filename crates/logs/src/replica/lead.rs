//! Taking chunks: from shippers, as the lead that sees to the copies, and from other stores, as a copy.

use super::{Effect, Replica, Ticket, Waiting};
use crate::chunk::{Close, Kind};
use crate::key::StreamKey;
use crate::segment_store::{Put, SegmentStoreError};
use crate::wire::{Ack, Answer, Batch, Message};
use hazelsaddle_cluster::time::Micros;
use std::collections::{BTreeMap, HashMap};

/// Requests that wait for copies; more are refused at once.
const PENDING: usize = 10_000;
/// Artefacts hashed while they arrive.
const HASHED: usize = 256;

/// A request that waits until enough copies are on disk.
struct Pending {
    ticket: Ticket,
    stream: StreamKey,
    have: usize,
    /// Copies that may still come.
    open: usize,
    /// The gravest refusal so far.
    refused: u16,
    until: Micros,
}

/// The requests that this store leads.
#[derive(Default)]
pub(super) struct Lead {
    next: u64,
    pending: BTreeMap<u64, Pending>,
}

/// Hashes of artefacts that arrive in order, so that their end needs no reading.
#[derive(Default)]
pub(super) struct Hashing(HashMap<StreamKey, (u32, u64, blake3::Hasher)>);

impl Hashing {
    fn take(&mut self, stream: &StreamKey, n: u32, body: &[u8]) {
        if n == 0 && (self.0.len() < HASHED || self.0.contains_key(stream)) {
            self.0.insert(stream.clone(), (0, 0, blake3::Hasher::new()));
        }
        if let Some((next, size, hash)) = self.0.get_mut(stream)
            && *next == n
        {
            hash.update(body);
            *size += body.len() as u64;
            *next += 1;
        }
    }
    /// Whether the artefact is what its end says; None: not known here, it must be read.
    fn ends(&mut self, stream: &StreamKey, n: u32, close: &Close) -> Option<bool> {
        let (next, size, hash) = self.0.remove(stream)?;
        (next == n).then(|| close.is_of(size, &hash))
    }
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

fn status_of(e: &SegmentStoreError) -> u16 {
    match e {
        SegmentStoreError::Different(_) | SegmentStoreError::BehindEnd(_) => 409,
        SegmentStoreError::Token => 403,
        SegmentStoreError::Dropped => 410,
        SegmentStoreError::TooLarge => 413,
        SegmentStoreError::Full => 507,
        SegmentStoreError::Damaged(_) | SegmentStoreError::Disk(_) | SegmentStoreError::Index(_) => 503,
    }
}

impl Replica {
    /// Chunks from a shipper.
    pub(super) fn append(
        &mut self,
        now: Micros,
        wall: u64,
        ticket: Ticket,
        batch: Batch,
        stalled: u64,
        out: &mut Vec<Effect>,
    ) {
        if let Err(ack) = self.admit(now, &batch) {
            if ack.status != 429 {
                tracing::debug!(stream = %batch.stream, status = ack.status, why = %ack.why, "chunks refused");
            }
            return out.push(Effect::Answer(ticket, Answer::Ack(ack)));
        }
        self.heard(now, &batch.stream.of, stalled);
        if batch.chunks.is_empty() {
            return out.push(Effect::Answer(ticket, Answer::Ack(self.ack(200, 0, ""))));
        }
        if let Err(ack) = self.keep_batch(wall, &batch) {
            return out.push(Effect::Answer(ticket, Answer::Ack(ack)));
        }
        let to = self.others(now, &batch.stream.of);
        self.lead.next += 1;
        let id = self.lead.next;
        let pending = Pending {
            ticket,
            stream: batch.stream.clone(),
            have: 0,
            open: to.len() + 1,
            refused: 0,
            until: now + self.options.patience,
        };
        self.lead.pending.insert(id, pending);
        self.waiting.push(Waiting::Own(id));
        for name in &to {
            self.say(name, Message::Copy { id, batch: batch.clone() }, out);
        }
    }

    /// What is checked before anything is kept.
    fn admit(&mut self, now: Micros, batch: &Batch) -> Result<(), Ack> {
        let bad = |why: String| Err(self.ack(400, 0, &why));
        if let Err(e) = batch.stream.check() {
            return bad(e.to_string());
        }
        if !crate::key::is_id(&batch.team) {
            return bad(format!("{:?} is no team", batch.team.chars().take(80).collect::<String>()));
        }
        if self.broken.is_some() {
            return Err(self.ack(503, 5000, "this store's index has failed"));
        }
        for c in &batch.chunks {
            let fits = match c.kind {
                Kind::Data => !batch.stream.is_log(),
                Kind::Out | Kind::Err | Kind::Gap | Kind::BackPressure => batch.stream.is_log(),
                Kind::Close => true,
            };
            if !fits {
                return bad(format!("chunk {}: {:?} does not belong into this stream", c.n, c.kind));
            }
            if c.n == u32::MAX {
                return bad("a stream has 4294967295 chunks at the most".into());
            }
            if c.body.len() > self.options.chunk_bytes {
                let why =
                    format!("chunk {}: a chunk has {} bytes at the most", c.n, self.options.chunk_bytes);
                return Err(self.ack(413, 0, &why));
            }
            if c.kind == Kind::Close && serde_json::from_slice::<Close>(&c.body).is_err() {
                return bad(format!("chunk {}: an end that can't be read", c.n));
            }
        }
        if self.lead.pending.len() >= PENDING {
            return Err(self.ack(503, 1000, "too many requests wait for copies"));
        }
        let bytes: u64 = batch.chunks.iter().map(|c| c.body.len() as u64).sum();
        if bytes > 0
            && let Err((wait, limit)) = self.limits.take(now, &batch.stream.of, &batch.team, bytes)
        {
            let ms = u32::try_from(wait.0.div_ceil(1000)).unwrap_or(u32::MAX).clamp(1, 30_000);
            return Err(self.ack(429, ms, &format!("faster than the limit of the {limit}")));
        }
        Ok(())
    }

    /// Stages chunks. On a refusal those before it stay: sent again, they are the same.
    fn keep_batch(&mut self, wall: u64, batch: &Batch) -> Result<(), Ack> {
        for chunk in &batch.chunks {
            if chunk.kind == Kind::Close && !batch.stream.is_log() {
                self.whole(wall, batch, chunk.n, &chunk.body)?;
            }
            match self.shelf.append(&batch.stream, &batch.team, batch.token, chunk, wall) {
                Ok(put) => {
                    if put == Put::New {
                        self.touched.insert(batch.stream.clone());
                    }
                    if chunk.kind == Kind::Data {
                        self.hashing.take(&batch.stream, chunk.n, &chunk.body);
                    }
                }
                Err(e) => {
                    let status = status_of(&e);
                    if matches!(e, SegmentStoreError::Different(_) | SegmentStoreError::Token) {
                        tracing::error!(stream = %batch.stream, chunk = chunk.n, reason = %e, "chunk refused");
                    }
                    if matches!(e, SegmentStoreError::Disk(_) | SegmentStoreError::Index(_)) {
                        self.fail(&e);
                    }
                    let retry = if status >= 429 { 1000 } else { 0 };
                    return Err(self.ack(status, retry, &e.to_string()));
                }
            }
        }
        Ok(())
    }

    /// An artefact's end is kept only once the artefact is whole and what it should be: until then nobody sees it.
    fn whole(&mut self, wall: u64, batch: &Batch, n: u32, body: &[u8]) -> Result<(), Ack> {
        let close: Close = serde_json::from_slice(body).unwrap_or_default();
        let right = match self.hashing.ends(&batch.stream, n, &close) {
            Some(right) => right,
            None => {
                // It came out of order, or in part before a restart: read it.
                if let Err(e) = self.shelf.commit(wall) {
                    self.fail(&e);
                    return Err(self.ack(status_of(&e), 1000, &e.to_string()));
                }
                let held =
                    self.shelf.stream(&batch.stream).ok().flatten().map(|s| s.held).unwrap_or_default();
                let missing = (0..n).find(|i| !held.contains(*i));
                if let Some(missing) = missing {
                    return Err(self.ack(409, 0, &format!("not whole: chunk {missing} is missing here")));
                }
                match self.shelf.verify(&batch.stream, n, &close) {
                    Ok(right) => right,
                    Err(e) => return Err(self.ack(status_of(&e), 1000, &e.to_string())),
                }
            }
        };
        match right {
            true => Ok(()),
            false => Err(self.ack(422, 0, "the content is not what its size and hash say")),
        }
    }

    /// Chunks from another store, to be kept here as a copy. Its lead has seen to limits; an artefact's end is taken
    /// as it is, since the lead has checked it and its chunks may come in any order.
    pub(super) fn copy(&mut self, wall: u64, from: &str, id: u64, batch: Batch) {
        let mut status = if batch.stream.check().is_err() { 400 } else { 200 };
        if self.broken.is_some() {
            status = 503;
        }
        for chunk in &batch.chunks {
            if status != 200 {
                break;
            }
            match self.shelf.append(&batch.stream, &batch.team, batch.token, chunk, wall) {
                Ok(Put::New) => {
                    self.touched.insert(batch.stream.clone());
                }
                Ok(Put::Same) => {}
                Err(e) => {
                    status = status_of(&e);
                    if matches!(e, SegmentStoreError::Different(_) | SegmentStoreError::Token) {
                        tracing::error!(stream = %batch.stream, chunk = chunk.n, %from, reason = %e, "copy refused");
                    }
                    if matches!(e, SegmentStoreError::Disk(_) | SegmentStoreError::Index(_)) {
                        self.fail(&e);
                    }
                }
            }
        }
        if id != 0 {
            let body = Message::Copied { id, status };
            self.waiting.push(match status {
                200 => Waiting::Copied(from.to_owned(), id),
                _ => Waiting::Say(Effect::Send(from.to_owned(), self.frame(body))),
            });
        }
    }

    /// A copy of a request, our own or another store's, is on disk, or was refused.
    pub(super) fn copied(&mut self, id: u64, status: u16, out: &mut Vec<Effect>) {
        let Some(p) = self.lead.pending.get_mut(&id) else { return };
        p.open = p.open.saturating_sub(1);
        match status {
            200 => p.have += 1,
            _ => p.refused = p.refused.max(status),
        }
        let (have, open, refused) = (p.have, p.open, p.refused);
        if have >= self.options.acks {
            self.answer(id, 200, out);
        } else if have + open < self.options.acks {
            self.answer(id, if refused == 0 { 503 } else { refused }, out);
        }
    }

    fn answer(&mut self, id: u64, status: u16, out: &mut Vec<Effect>) {
        let Some(p) = self.lead.pending.remove(&id) else { return };
        let ack = match status {
            200 => self.ack(200, 0, ""),
            403 | 409 | 410 => {
                tracing::error!(stream = %p.stream, status, "another store refuses a copy");
                self.ack(status, 0, "another store refuses it")
            }
            507 => self.ack(507, 1000, "too few stores have room"),
            _ => self.ack(503, 500, "too few copies are on disk"),
        };
        out.push(Effect::Answer(p.ticket, Answer::Ack(ack)));
    }

    /// Requests whose copies did not come in time: the shipper sends them again.
    pub(super) fn overdue(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let late: Vec<u64> =
            self.lead.pending.iter().filter(|(_, p)| now >= p.until).map(|(id, _)| *id).collect();
        for id in late {
            self.answer(id, 503, out);
        }
    }

    /// Requests that wait for copies.
    pub(super) fn pending(&self) -> usize {
        self.lead.pending.len()
    }
}
