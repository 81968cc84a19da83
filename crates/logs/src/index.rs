//! The index: which chunks of which streams are held, and where. It is derived from the segments: what it lacks
//! after a crash is read from them again, and one that is damaged is made anew.

use crate::disk::Disk;
use crate::key::StreamKey;
use hazelsaddle_cluster::transport::decode;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use rkyv::rancor::Error as Rancor;
use rkyv::{Archive, Deserialize, Serialize};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};

/// A `Spot` as the index has it.
type SpotRow = (u32, u64, u32, u32, u64);
/// Sorted stream key to its row.
const STREAMS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("streams");
/// Place on the ring and sorted stream key.
const PLACES: TableDefinition<&[u8], ()> = TableDefinition::new("places");
/// Stream's number and chunk's number to where the chunk is.
const CHUNKS: TableDefinition<(u64, u32), SpotRow> = TableDefinition::new("chunks");
/// Segment to its row.
const SEGMENTS: TableDefinition<u32, &[u8]> = TableDefinition::new("segments");
/// Team to the bytes that it has here.
const TEAMS: TableDefinition<&str, u64> = TableDefinition::new("teams");
/// Team, when it ended, and sorted stream key of closed streams.
const ENDED: TableDefinition<&[u8], ()> = TableDefinition::new("ended");
/// How far the segments are indexed, and counters.
const META: TableDefinition<&str, (u64, u64)> = TableDefinition::new("meta");

/// What goes wrong in the index.
#[derive(Debug, thiserror::Error)]
#[error("index: {0}")]
pub struct IndexError(Box<redb::Error>);

impl<E: Into<redb::Error>> From<E> for IndexError {
    fn from(e: E) -> IndexError {
        IndexError(Box::new(e.into()))
    }
}

type Result<T> = std::result::Result<T, IndexError>;

/// Where a chunk is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The segment.
    pub segment: u32,
    /// Where its record begins.
    pub at: u64,
    /// The record's length.
    pub len: u32,
    /// The chunk's checksum.
    pub sum: u32,
    /// The record's sequence number.
    pub seq: u64,
}

/// What is held of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stream {
    /// Its number in this index.
    pub id: u64,
    /// Who writes it.
    pub token: u64,
    /// Its job's team.
    pub team: String,
    /// Which chunks are held.
    pub held: RoaringBitmap,
    /// A sum over the chunks held, the same at every store that holds the same.
    pub digest: u64,
    /// Bytes of all chunks held.
    pub bytes: u64,
    /// When its first and its last chunk came, by the store's time of day in microseconds.
    pub first: u64,
    /// See `first`.
    pub last: u64,
    /// Its last chunk's number and text, once that is held.
    pub closed: Option<(u32, String)>,
    /// Records with a lower sequence number are not kept any more.
    pub floor: u64,
    /// When it was dropped for good.
    pub dropped: Option<u64>,
}

impl Stream {
    /// What a chunk adds to a stream's digest.
    pub fn part(n: u32, sum: u32) -> u64 {
        let mut x = u64::from(n) << 32 | u64::from(sum);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }
    /// Whether all chunks up to the last one are held.
    pub fn whole(&self) -> bool {
        self.closed.as_ref().is_some_and(|(n, _)| self.held.len() == u64::from(*n) + 1)
    }
    /// Whether there is nothing to show of it.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[derive(Archive, Serialize, Deserialize)]
struct StreamRow {
    id: u64,
    token: u64,
    team: String,
    held: Vec<u8>,
    digest: u64,
    bytes: u64,
    first: u64,
    last: u64,
    closed: Option<(u32, String)>,
    floor: u64,
    dropped: Option<u64>,
}

/// What is known of a segment.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Segment {
    /// Bytes of all its records.
    pub bytes: u64,
    /// Bytes of those that are still needed.
    pub live: u64,
    /// Records that say what is gone.
    pub graves: u64,
    /// Nothing is added to it any more.
    pub sealed: bool,
    /// When its last record was written, by the store's time of day.
    pub to: u64,
    /// Its sketch, if it has one.
    pub sketch: Option<Vec<u8>>,
}

fn stream_of(bytes: &[u8]) -> Option<Stream> {
    let r: StreamRow = decode(bytes)?;
    Some(Stream {
        id: r.id,
        token: r.token,
        team: r.team,
        held: RoaringBitmap::deserialize_from(r.held.as_slice()).ok()?,
        digest: r.digest,
        bytes: r.bytes,
        first: r.first,
        last: r.last,
        closed: r.closed,
        floor: r.floor,
        dropped: r.dropped,
    })
}

fn row_of(s: &Stream) -> Vec<u8> {
    let mut held = s.held.clone();
    held.optimize();
    let mut bytes = Vec::with_capacity(held.serialized_size());
    // Writing to memory does not fail.
    let _ = held.serialize_into(&mut bytes);
    let row = StreamRow {
        id: s.id,
        token: s.token,
        team: s.team.clone(),
        held: bytes,
        digest: s.digest,
        bytes: s.bytes,
        first: s.first,
        last: s.last,
        closed: s.closed.clone(),
        floor: s.floor,
        dropped: s.dropped,
    };
    rkyv::to_bytes::<Rancor>(&row).map(|b| b.to_vec()).unwrap_or_default()
}

fn placed(stream: &StreamKey) -> Vec<u8> {
    let mut out = stream.of.place().to_be_bytes().to_vec();
    out.extend_from_slice(&stream.sorted());
    out
}

fn ended_key(team: &str, at: u64, stream: &[u8]) -> Vec<u8> {
    let mut out = team.as_bytes().to_vec();
    out.push(0);
    out.extend_from_slice(&at.to_be_bytes());
    out.extend_from_slice(stream);
    out
}

/// All that one commit changes.
#[derive(Default)]
pub struct Changes {
    /// Streams as they will be.
    pub streams: BTreeMap<StreamKey, Stream>,
    /// Chunks added or moved.
    pub chunks: BTreeMap<(u64, u32), Spot>,
    /// Chunks that can't be read any more.
    pub bad: Vec<(u64, u32)>,
    /// Streams whose chunks below a sequence number go.
    pub wiped: Vec<(u64, u64)>,
    /// Streams of which nothing needs to be remembered.
    pub forgotten: Vec<StreamKey>,
    /// Records added to segments: bytes, how many of them are needed, and how many say what is gone.
    pub added: BTreeMap<u32, (u64, u64, u64)>,
    /// Segments that are sealed now, with their sketch.
    pub sealed: Vec<(u32, Option<Vec<u8>>)>,
    /// Segments that are gone.
    pub removed: Vec<u32>,
    /// When all this was, by the store's time of day.
    pub wall: u64,
    /// Up to where the segments are indexed now.
    pub upto: (u32, u64),
    /// The next sequence number.
    pub seq: u64,
    /// The next number of a stream.
    pub next_id: u64,
}

/// The index of a store.
pub struct Index {
    db: Database,
}

impl Index {
    /// Opens it; makes it anew if it is damaged. Says whether it is new.
    ///
    /// # Errors
    /// If it can't be made anew either.
    pub fn open(disk: &mut dyn Disk, cache: usize, anew: bool) -> Result<(Index, bool)> {
        let mut builder = Database::builder();
        builder.set_cache_size(cache);
        // A damaged page must be found now: met later, it would end the process.
        builder.set_check_integrity_on_open(true);
        if !anew && let Ok(db) = disk.index(&builder, false) {
            let index = Index { db };
            let fresh = index.upto().ok();
            if let Some(upto) = fresh {
                return Ok((index, upto.is_none()));
            }
        }
        let db = disk.index(&builder, true)?;
        let index = Index { db };
        let tx = index.db.begin_write()?;
        tx.open_table(STREAMS)?;
        tx.open_table(PLACES)?;
        tx.open_table(CHUNKS)?;
        tx.open_table(SEGMENTS)?;
        tx.open_table(TEAMS)?;
        tx.open_table(ENDED)?;
        tx.open_table(META)?;
        tx.commit()?;
        Ok((index, true))
    }

    /// Up to where the segments are indexed; None if nothing is.
    pub fn upto(&self) -> Result<Option<(u32, u64)>> {
        let tx = self.db.begin_read()?;
        let meta = tx.open_table(META)?;
        Ok(meta.get("upto")?.map(|v| v.value()).map(|(s, at)| (s as u32, at)))
    }
    /// The next sequence number and the next number of a stream.
    pub fn counters(&self) -> Result<(u64, u64)> {
        let tx = self.db.begin_read()?;
        let meta = tx.open_table(META)?;
        Ok(meta.get("next")?.map_or((1, 1), |v| v.value()))
    }
    /// What is held of a stream.
    pub fn stream(&self, key: &StreamKey) -> Result<Option<Stream>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(STREAMS)?;
        Ok(t.get(key.sorted().as_slice())?.and_then(|v| stream_of(v.value())))
    }
    /// Where a chunk is.
    pub fn spot(&self, id: u64, n: u32) -> Result<Option<Spot>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(CHUNKS)?;
        Ok(t.get((id, n))?.map(|v| spot_of(v.value())))
    }
    /// Streams behind `after` whose sorted keys begin with `prefix`, at most so many.
    pub fn streams(&self, prefix: &[u8], after: &[u8], most: usize) -> Result<Vec<(StreamKey, Stream)>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(STREAMS)?;
        let from = if after > prefix { after } else { prefix };
        let mut found = Vec::new();
        for row in t.range::<&[u8]>(from..)? {
            let (k, v) = row?;
            if !k.value().starts_with(prefix) || found.len() >= most {
                break;
            }
            if k.value() == after && !after.is_empty() {
                continue;
            }
            if let (Some(key), Some(s)) = (StreamKey::from_sorted(k.value()), stream_of(v.value())) {
                found.push((key, s));
            }
        }
        Ok(found)
    }
    /// Streams that lie from one place on the ring (inclusive) to another (exclusive; 0: the end), behind `after`.
    pub fn placed(
        &self,
        from: u64,
        to: u64,
        after: Option<&StreamKey>,
        most: usize,
    ) -> Result<Vec<(StreamKey, Stream)>> {
        let tx = self.db.begin_read()?;
        let (places, streams) = (tx.open_table(PLACES)?, tx.open_table(STREAMS)?);
        let begin = after.map_or_else(|| from.to_be_bytes().to_vec(), placed);
        let mut found = Vec::new();
        for row in places.range::<&[u8]>(begin.as_slice()..)? {
            let (k, _) = row?;
            let k = k.value();
            let Some(place) = k.get(..8).and_then(|p| p.try_into().ok()).map(u64::from_be_bytes) else {
                break;
            };
            if (to != 0 && place >= to) || found.len() >= most {
                break;
            }
            if after.is_some() && k == begin.as_slice() {
                continue;
            }
            let stream = streams.get(&k[8..])?.and_then(|v| stream_of(v.value()));
            if let (Some(key), Some(s)) = (StreamKey::from_sorted(&k[8..]), stream) {
                found.push((key, s));
            }
        }
        Ok(found)
    }
    /// The teams and their bytes here.
    pub fn teams(&self) -> Result<BTreeMap<String, u64>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(TEAMS)?;
        let mut found = BTreeMap::new();
        for row in t.iter()? {
            let (k, v) = row?;
            found.insert(k.value().to_owned(), v.value());
        }
        Ok(found)
    }
    /// The closed streams of a team, the one that ended first in front, with when they ended.
    pub fn ended(&self, team: &str, most: usize) -> Result<Vec<(u64, StreamKey)>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(ENDED)?;
        let mut prefix = team.as_bytes().to_vec();
        prefix.push(0);
        let mut found = Vec::new();
        for row in t.range::<&[u8]>(prefix.as_slice()..)? {
            let (k, _) = row?;
            let Some(rest) = k.value().strip_prefix(prefix.as_slice()) else { break };
            if found.len() >= most {
                break;
            }
            let at = rest.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes);
            if let (Some(at), Some(key)) = (at, rest.get(8..).and_then(StreamKey::from_sorted)) {
                found.push((at, key));
            }
        }
        Ok(found)
    }
    /// All segments.
    pub fn segments(&self) -> Result<BTreeMap<u32, Segment>> {
        let tx = self.db.begin_read()?;
        let t = tx.open_table(SEGMENTS)?;
        let mut found = BTreeMap::new();
        for row in t.iter()? {
            let (k, v) = row?;
            if let Some(s) = decode(v.value()) {
                found.insert(k.value(), s);
            }
        }
        Ok(found)
    }

    /// Carries out what a commit changes. Unless `durable`, a crash may lose it; the segments hold it.
    pub fn apply(&self, c: &Changes, durable: bool) -> Result<()> {
        let mut tx = self.db.begin_write()?;
        match durable {
            true => tx.set_quick_repair(true),
            false => tx.set_durability(Durability::None)?,
        }
        {
            let mut segments = tx.open_table(SEGMENTS)?;
            // Segments that this commit touches, written once at the end.
            let mut rows: BTreeMap<u32, Segment> = BTreeMap::new();
            let mut touched: BTreeSet<u32> = c.added.keys().copied().collect();
            touched.extend(c.sealed.iter().map(|s| s.0));
            let load = |t: &redb::Table<u32, &[u8]>, id: u32| -> Result<Segment> {
                Ok(t.get(id)?.and_then(|v| decode(v.value())).unwrap_or_default())
            };
            for id in touched {
                let row = load(&segments, id)?;
                rows.insert(id, row);
            }
            for (id, (bytes, live, graves)) in &c.added {
                let row = rows.entry(*id).or_default();
                row.bytes += bytes;
                row.live += live;
                row.graves += graves;
                row.to = row.to.max(c.wall);
            }
            for (id, sketch) in &c.sealed {
                let row = rows.entry(*id).or_default();
                row.sealed = true;
                row.sketch = sketch.clone();
            }
            let dead = |rows: &mut BTreeMap<u32, Segment>, id: u32, len: u32| -> Result<()> {
                if let std::collections::btree_map::Entry::Vacant(v) = rows.entry(id) {
                    v.insert(load(&segments, id)?);
                }
                if let Some(row) = rows.get_mut(&id) {
                    row.live = row.live.saturating_sub(u64::from(len));
                }
                Ok(())
            };
            let mut chunks = tx.open_table(CHUNKS)?;
            for ((id, n), s) in &c.chunks {
                let old = chunks.insert((*id, *n), (s.segment, s.at, s.len, s.sum, s.seq))?;
                if let Some(old) = old.map(|o| spot_of(o.value())) {
                    dead(&mut rows, old.segment, old.len)?;
                }
            }
            for key in &c.bad {
                let old = chunks.remove(*key)?.map(|o| spot_of(o.value()));
                if let Some(old) = old {
                    dead(&mut rows, old.segment, old.len)?;
                }
            }
            for (id, below) in &c.wiped {
                let mut gone = Vec::new();
                for row in chunks.range((*id, 0)..=(*id, u32::MAX))? {
                    let (k, v) = row?;
                    let s = spot_of(v.value());
                    if s.seq < *below {
                        gone.push((k.value(), s));
                    }
                }
                for (k, s) in gone {
                    chunks.remove(k)?;
                    dead(&mut rows, s.segment, s.len)?;
                }
            }
            for (id, row) in &rows {
                let bytes = rkyv::to_bytes::<Rancor>(row).map(|b| b.to_vec()).unwrap_or_default();
                segments.insert(*id, bytes.as_slice())?;
            }
            for id in &c.removed {
                segments.remove(*id)?;
            }
            let mut streams = tx.open_table(STREAMS)?;
            let mut places = tx.open_table(PLACES)?;
            let mut ended = tx.open_table(ENDED)?;
            let mut teams = tx.open_table(TEAMS)?;
            let mut use_of: BTreeMap<String, i64> = BTreeMap::new();
            for (key, s) in &c.streams {
                let sorted = key.sorted();
                let old = streams
                    .insert(sorted.as_slice(), row_of(s).as_slice())?
                    .and_then(|o| stream_of(o.value()));
                match &old {
                    None => {
                        places.insert(placed(key).as_slice(), ())?;
                    }
                    Some(o) => {
                        *use_of.entry(o.team.clone()).or_default() -= o.bytes as i64;
                        if o.closed.is_some() {
                            ended.remove(ended_key(&o.team, o.last, &sorted).as_slice())?;
                        }
                    }
                }
                *use_of.entry(s.team.clone()).or_default() += s.bytes as i64;
                if s.closed.is_some() {
                    ended.insert(ended_key(&s.team, s.last, &sorted).as_slice(), ())?;
                }
            }
            for key in &c.forgotten {
                places.remove(placed(key).as_slice())?;
                streams.remove(key.sorted().as_slice())?;
            }
            for (team, change) in use_of {
                let was = teams.get(team.as_str())?.map_or(0, |v| v.value());
                match was.saturating_add_signed(change) {
                    0 => teams.remove(team.as_str())?.map(|v| v.value()),
                    n => teams.insert(team.as_str(), n)?.map(|v| v.value()),
                };
            }
            let mut meta = tx.open_table(META)?;
            meta.insert("upto", (u64::from(c.upto.0), c.upto.1))?;
            meta.insert("next", (c.seq, c.next_id))?;
        }
        tx.commit()?;
        Ok(())
    }
}

fn spot_of((segment, at, len, sum, seq): SpotRow) -> Spot {
    Spot { segment, at, len, sum, seq }
}
