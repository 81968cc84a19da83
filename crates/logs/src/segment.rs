//! Segments: append-only files of framed records. A record has a header of 32 bytes with a checksum of its own,
//! so that damage to what a record holds doesn't hide the records behind it.
//!
//! ```text
//! magic 4 | what 1 | flags 1 | head length 2 | body length 4 | raw length 4 | sequence 8 | sum 4 | header sum 4
//! head (rkyv) | body (raw, or lz4 if flag 1 is set and it is the shorter for it)
//! ```
//!
//! Numbers are little-endian, sums are CRC32C; `sum` covers head and body as they are stored.

use crate::chunk::{Chunk, Kind};
use crate::disk::Disk;
use crate::key::{AttemptKey, StreamKey};
use rkyv::rancor::Error;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::io;

/// Length of a record's header.
pub const HEADER: usize = 32;
/// Longest body taken from a disk.
pub const BODY_LIMIT: usize = 16 << 20;
const MAGIC: u32 = 0x5253_5a48;
const COMPRESSED: u8 = 1;
/// Bodies shorter than this are not worth compressing.
const WORTH: usize = 128;

/// What a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// A chunk of a stream.
    Chunk(Kind),
    /// The stream is gone for good: nothing of it may come back.
    Drop,
    /// The stream is kept elsewhere; what came before is not kept here any more.
    Release,
    /// The last record of a sealed segment: its sketch.
    Seal,
}

impl What {
    fn number(self) -> u8 {
        match self {
            What::Chunk(k) => k.number(),
            What::Drop => 32,
            What::Release => 33,
            What::Seal => 34,
        }
    }
    fn of(number: u8) -> Option<What> {
        match number {
            32 => Some(What::Drop),
            33 => Some(What::Release),
            34 => Some(What::Seal),
            n => Kind::of(n).map(What::Chunk),
        }
    }
}

/// What a record says of itself.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The stream.
    pub stream: StreamKey,
    /// Its job's team.
    pub team: String,
    /// Who writes the stream.
    pub token: u64,
    /// The chunk's number.
    pub n: u32,
    /// When it was written, by the writer's time of day; for the others by the store's.
    pub at: u64,
    /// When this store took it, by its own time of day. What is kept for how long goes by this alone: a writer's
    /// clock may be wrong, and an artefact's chunks have no time at all.
    pub taken: u64,
}

impl Head {
    /// The head of a segment's last record, which belongs to no stream.
    pub fn seal(at: u64) -> Head {
        let of = AttemptKey { job: String::new(), task: 0, attempt: 0 };
        Head {
            stream: StreamKey { of, name: String::new() },
            team: String::new(),
            token: 0,
            n: 0,
            at,
            taken: at,
        }
    }
}

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The order in which this store took it; it stays when a record is moved.
    pub seq: u64,
    /// What it is.
    pub what: What,
    /// What it says of itself.
    pub head: Head,
    /// What it holds.
    pub body: Vec<u8>,
}

impl Record {
    /// The chunk, if it is one.
    pub fn into_chunk(self) -> Option<Chunk> {
        match self.what {
            What::Chunk(kind) => Some(Chunk { n: self.head.n, at: self.head.at, kind, body: self.body }),
            _ => None,
        }
    }
}

/// Writes a record behind what is there; returns its length, or None if it is too large to be one.
pub fn write(
    out: &mut Vec<u8>,
    seq: u64,
    what: What,
    head: &Head,
    body: &[u8],
    compress: bool,
) -> Option<u32> {
    let head = rkyv::to_bytes::<Error>(head).ok()?;
    let packed = if compress && body.len() >= WORTH { Some(lz4_flex::block::compress(body)) } else { None };
    let (flags, stored): (u8, &[u8]) = match &packed {
        Some(p) if p.len() < body.len() => (COMPRESSED, p),
        _ => (0, body),
    };
    if body.len() > BODY_LIMIT {
        return None;
    }
    let mut sum = crc32c::crc32c(&head);
    sum = crc32c::crc32c_append(sum, stored);
    let start = out.len();
    out.extend_from_slice(&MAGIC.to_le_bytes());
    out.extend_from_slice(&[what.number(), flags]);
    out.extend_from_slice(&u16::try_from(head.len()).ok()?.to_le_bytes());
    out.extend_from_slice(&u32::try_from(stored.len()).ok()?.to_le_bytes());
    out.extend_from_slice(&u32::try_from(body.len()).ok()?.to_le_bytes());
    out.extend_from_slice(&seq.to_le_bytes());
    out.extend_from_slice(&sum.to_le_bytes());
    let own = crc32c::crc32c(&out[start..]);
    out.extend_from_slice(&own.to_le_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(stored);
    u32::try_from(out.len() - start).ok()
}

/// A header whose own checksum holds.
#[derive(Clone, Copy, Debug)]
struct Header {
    what: u8,
    flags: u8,
    head: usize,
    body: usize,
    raw: usize,
    seq: u64,
    sum: u32,
}

impl Header {
    fn read(b: &[u8]) -> Option<Header> {
        let b: &[u8; HEADER] = b.get(..HEADER)?.try_into().ok()?;
        let word = |at: usize| u32::from_le_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]]);
        if word(0) != MAGIC || word(28) != crc32c::crc32c(&b[..28]) {
            return None;
        }
        let h = Header {
            what: b[4],
            flags: b[5],
            head: usize::from(u16::from_le_bytes([b[6], b[7]])),
            body: word(8) as usize,
            raw: word(12) as usize,
            seq: u64::from(word(16)) | u64::from(word(20)) << 32,
            sum: word(24),
        };
        (h.body <= BODY_LIMIT && h.raw <= BODY_LIMIT).then_some(h)
    }
    fn len(&self) -> usize {
        HEADER + self.head + self.body
    }
    /// The record behind this header; None if it was damaged.
    fn record(&self, rest: &[u8]) -> Option<Record> {
        let rest = rest.get(..self.head + self.body)?;
        if crc32c::crc32c(rest) != self.sum {
            return None;
        }
        let mut aligned: AlignedVec = AlignedVec::with_capacity(self.head);
        aligned.extend_from_slice(&rest[..self.head]);
        let head = rkyv::from_bytes::<Head, Error>(&aligned).ok()?;
        let stored = &rest[self.head..];
        let body = match self.flags & COMPRESSED {
            0 => stored.to_vec(),
            _ => lz4_flex::block::decompress(stored, self.raw).ok()?,
        };
        if body.len() != self.raw {
            return None;
        }
        Some(Record { seq: self.seq, what: What::of(self.what)?, head, body })
    }
}

/// Reads a whole record; None unless the bytes are exactly one that is undamaged.
pub fn read(bytes: &[u8]) -> Option<Record> {
    let h = Header::read(bytes)?;
    if h.len() != bytes.len() {
        return None;
    }
    h.record(&bytes[HEADER..])
}

/// A window over a segment that is read from front to back.
struct Window<'a> {
    disk: &'a mut dyn Disk,
    segment: u32,
    bytes: Vec<u8>,
    at: u64,
}

const WINDOW: usize = 1 << 20;

impl Window<'_> {
    /// At least `len` bytes from `at` on, or what there is up to the end.
    fn get(&mut self, at: u64, len: usize) -> io::Result<&[u8]> {
        let have = at >= self.at && at + len as u64 <= self.at + self.bytes.len() as u64;
        if !have {
            self.bytes.resize(len.max(WINDOW), 0);
            let n = self.disk.read(self.segment, at, &mut self.bytes)?;
            self.bytes.truncate(n);
            self.at = at;
        }
        let from = (at - self.at) as usize;
        Ok(&self.bytes[from.min(self.bytes.len())..])
    }
    /// The record at a position, with its length.
    fn record(&mut self, at: u64) -> io::Result<Option<(Record, u32)>> {
        let Some(h) = Header::read(self.get(at, HEADER)?) else { return Ok(None) };
        let bytes = self.get(at, h.len())?;
        Ok(bytes.get(HEADER..).and_then(|rest| h.record(rest)).map(|r| (r, h.len() as u32)))
    }
    /// The next position from `at` on where an undamaged record begins.
    fn resume(&mut self, mut at: u64) -> io::Result<Option<u64>> {
        loop {
            let bytes = self.get(at, WINDOW)?;
            if bytes.len() < HEADER {
                return Ok(None);
            }
            let found = (0..=bytes.len() - HEADER).find(|&i| {
                bytes[i..].starts_with(&MAGIC.to_le_bytes()) && Header::read(&bytes[i..]).is_some()
            });
            match found {
                Some(i) => {
                    let here = at + i as u64;
                    if self.record(here)?.is_some() {
                        return Ok(Some(here));
                    }
                    at = here + 1;
                }
                None => at += (bytes.len() - HEADER + 1) as u64,
            }
        }
    }
}

/// What a scan of a segment found beside its records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// Where the last undamaged record ends.
    pub end: u64,
    /// Damage with undamaged records behind it: where, and how many bytes.
    pub damaged: Vec<(u64, u64)>,
    /// Bytes behind the last undamaged record.
    pub tail: u64,
}

/// Reads a segment from a position on, and hands over each undamaged record with its place and length. It stops
/// early when `each` says false.
///
/// # Errors
/// What the disk says.
pub fn scan(
    disk: &mut dyn Disk,
    segment: u32,
    from: u64,
    len: u64,
    mut each: impl FnMut(u64, u32, Record) -> bool,
) -> io::Result<Scan> {
    let mut w = Window { disk, segment, bytes: Vec::new(), at: 0 };
    let mut found = Scan { end: from, ..Scan::default() };
    let mut at = from;
    while at < len {
        match w.record(at)? {
            Some((record, size)) => {
                let next = at + u64::from(size);
                found.end = next;
                if !each(at, size, record) {
                    return Ok(found);
                }
                at = next;
            }
            None => match w.resume(at + 1)? {
                Some(next) => {
                    found.damaged.push((at, next - at));
                    at = next;
                }
                None => break,
            },
        }
    }
    found.tail = len.saturating_sub(found.end);
    Ok(found)
}
