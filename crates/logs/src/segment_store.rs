//! What one store holds: segments on a disk, and the index over them.
//!
//! Chunks are staged by `append` and become certain, all at once, by `commit`: one write, one sync, one change of
//! the index. Nothing that waits on a staged chunk may be told to anybody before `commit` has returned `Ok`.

use crate::chunk::{self, Chunk, Close, Kind};
use crate::disk::Disk;
use crate::index::{Changes, Index, IndexError, Segment, Spot, Stream};
use crate::key::StreamKey;
use crate::segment::{self, Head, Record, What};
use crate::sketch::Sketch;
use std::collections::BTreeMap;
use std::io;

mod keep;

pub use keep::{Hits, Retention};

/// How a shelf is kept.
#[derive(Clone, Debug)]
pub struct SegmentStoreOptions {
    /// A segment is sealed once it has this many bytes.
    pub segment_bytes: u64,
    /// All segments together may have this many bytes; what would go beyond is refused.
    pub max_bytes: u64,
    /// Whether chunks are compressed.
    pub compress: bool,
    /// Memory for the index's pages, in bytes.
    pub cache_bytes: usize,
    /// The index is made durable after this many bytes: at most so much is read again after a crash.
    pub checkpoint_bytes: u64,
    /// How long it is remembered that a stream was dropped, in microseconds.
    pub tombstone: u64,
}

impl Default for SegmentStoreOptions {
    fn default() -> SegmentStoreOptions {
        SegmentStoreOptions {
            segment_bytes: 64 << 20,
            max_bytes: 64 << 30,
            compress: true,
            cache_bytes: 16 << 20,
            checkpoint_bytes: 32 << 20,
            tombstone: 7 * 86_400 * 1_000_000,
        }
    }
}

/// Why a chunk is not taken, or what is held can't be had.
#[derive(Debug, thiserror::Error)]
pub enum SegmentStoreError {
    /// Another chunk is held under this number. The writer is wrong; sending again doesn't help.
    #[error("chunk {0} is held already, with another content")]
    Different(u32),
    /// Another writer has begun this stream.
    #[error("the stream belongs to another writer")]
    Token,
    /// The stream was dropped by retention.
    #[error("the stream was dropped")]
    Dropped,
    /// The chunk lies behind the stream's last one.
    #[error("chunk {0} lies behind the end of the stream")]
    BehindEnd(u32),
    /// The chunk is too large to be a record.
    #[error("the chunk is too large")]
    TooLarge,
    /// There is no room for more data. Reads go on.
    #[error("the store is full")]
    Full,
    /// A held chunk was damaged. It counts as not held from now on.
    #[error("chunk {0} was damaged on disk")]
    Damaged(u32),
    /// The disk failed.
    #[error("disk: {0}")]
    Disk(#[from] io::Error),
    /// The index failed.
    #[error(transparent)]
    Index(#[from] IndexError),
}

/// What became of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is new here.
    New,
    /// The very same chunk is held, or staged, already.
    Same,
}

/// What was found when the shelf was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Recovery {
    /// Segments there are.
    pub segments: usize,
    /// Bytes in them.
    pub bytes: u64,
    /// Records that were read to bring the index up to date.
    pub records: u64,
    /// Bytes that were read for that.
    pub scanned: u64,
    /// Bytes of a torn tail that were cut.
    pub torn: u64,
    /// Bytes that were damaged, with undamaged records behind them.
    pub damaged: u64,
    /// Whether the index had to be made anew.
    pub rebuilt: bool,
}

/// Counts since the shelf was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Chunks taken.
    pub chunks: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Chunks that were held already.
    pub repeats: u64,
    /// Syncs of the disk.
    pub syncs: u64,
    /// Chunks found damaged.
    pub damaged: u64,
    /// Streams dropped by retention.
    pub dropped: u64,
    /// Segments removed by compaction.
    pub compacted: u64,
    /// Writes or syncs that failed.
    pub failures: u64,
}

#[derive(Default)]
struct Staged {
    bytes: Vec<u8>,
    changes: Changes,
}

impl Staged {
    fn is_empty(&self) -> bool {
        let c = &self.changes;
        self.bytes.is_empty()
            && c.streams.is_empty()
            && c.chunks.is_empty()
            && c.bad.is_empty()
            && c.forgotten.is_empty()
            && c.removed.is_empty()
    }
}

/// One store's segments and index.
pub struct SegmentStore {
    disk: Box<dyn Disk>,
    index: Index,
    options: SegmentStoreOptions,
    /// The segment that is added to, and its length on disk.
    open: u32,
    open_len: u64,
    /// The words of the open segment; None if it was begun by an earlier process.
    sketch: Option<Sketch>,
    staged: Staged,
    seq: u64,
    next_id: u64,
    /// Bytes of all segments.
    used: u64,
    /// Bytes written since the index was last made durable.
    since_checkpoint: u64,
    compacting: Option<(u32, u64)>,
    scrubbed: Vec<u8>,
    aged: Vec<u8>,
    /// Counts since it was opened.
    pub counts: Counts,
}

impl SegmentStore {
    /// Opens a shelf: brings the index up to date with the segments, cuts a torn tail, steps over damage.
    ///
    /// # Errors
    /// If the disk or the index can't be used at all.
    pub fn open(
        mut disk: Box<dyn Disk>,
        options: SegmentStoreOptions,
        wall: u64,
    ) -> Result<(SegmentStore, Recovery), SegmentStoreError> {
        let files = disk.list()?;
        let (index, fresh) = Index::open(disk.as_mut(), options.cache_bytes, false)?;
        // An index that knows of more than there is describes another disk.
        let beyond = index.upto()?.is_some_and(|(s, at)| {
            !files.iter().any(|&(id, len)| id == s && len >= at) && (at > 0 || files.iter().any(|f| f.0 > s))
        });
        let (index, fresh) = match beyond {
            true => {
                drop(index);
                Index::open(disk.as_mut(), options.cache_bytes, true)?
            }
            false => (index, fresh),
        };
        let mut found = Recovery {
            segments: files.len(),
            bytes: files.iter().map(|f| f.1).sum(),
            rebuilt: fresh && !files.is_empty(),
            ..Recovery::default()
        };
        let (seq, next_id) = index.counters()?;
        let upto = index.upto()?.unwrap_or((0, 0));
        // A segment that was begun but never written to has no file. The one before it was left because its end was in
        // doubt after a failed sync: nothing may be added to it again.
        let open = files.last().map_or(1, |f| f.0).max(upto.0);
        let mut shelf = SegmentStore {
            disk,
            index,
            options,
            open,
            open_len: files.iter().find(|f| f.0 == open).map_or(0, |f| f.1),
            sketch: None,
            staged: Staged::default(),
            seq,
            next_id,
            used: found.bytes,
            since_checkpoint: 0,
            compacting: None,
            scrubbed: Vec::new(),
            aged: Vec::new(),
            counts: Counts::default(),
        };
        if shelf.open_len == 0 {
            shelf.sketch = Some(Sketch::default());
        }
        for &(id, len) in &files {
            if id < upto.0 {
                continue;
            }
            let from = if id == upto.0 { upto.1 } else { 0 };
            let last = id == shelf.open;
            shelf.replay(id, from, len, last, wall, &mut found)?;
        }
        // Rows of segments that compaction had removed before the index was durable.
        let gone: Vec<u32> =
            shelf.index.segments()?.into_keys().filter(|id| !files.iter().any(|f| f.0 == *id)).collect();
        shelf.staged.changes.removed.extend(gone.iter().filter(|id| **id != shelf.open));
        // Only the newest segment is added to.
        let unsealed: Vec<u32> = shelf
            .index
            .segments()?
            .into_iter()
            .filter(|(id, s)| !s.sealed && *id != shelf.open)
            .map(|(id, _)| id)
            .collect();
        shelf.staged.changes.sealed.extend(unsealed.into_iter().map(|id| (id, None)));
        shelf.index_staged(wall, true)?;
        Ok((shelf, found))
    }

    /// Reads a segment into the index from a position on.
    fn replay(
        &mut self,
        id: u32,
        from: u64,
        len: u64,
        last: bool,
        wall: u64,
        found: &mut Recovery,
    ) -> Result<(), SegmentStoreError> {
        const BATCH: usize = 4096;
        let mut at = from;
        loop {
            let mut records = Vec::new();
            let mut bytes = 0usize;
            let scan = segment::scan(self.disk.as_mut(), id, at, len, |at, size, r| {
                bytes += r.body.len();
                let (mut r, mut sum) = (r, 0);
                if let What::Chunk(kind) = r.what {
                    sum = chunk::sum(kind, r.head.at, &r.body);
                }
                // What was in the body matters only for the end of a stream.
                if r.what != What::Chunk(Kind::Close) {
                    r.body = Vec::new();
                }
                if r.what != What::Seal {
                    records.push((at, size, sum, r));
                }
                records.len() < BATCH && bytes < 32 << 20
            })?;
            found.scanned += scan.end - at;
            found.damaged += scan.damaged.iter().map(|d| d.1).sum::<u64>();
            for d in &scan.damaged {
                tracing::error!(segment = id, at = d.0, bytes = d.1, "damage in a segment; stepped over");
            }
            let done = records.len() < BATCH && bytes < 32 << 20;
            found.records += records.len() as u64;
            for (at, size, sum, record) in records {
                self.indexed(id, at, size, sum, record)?;
            }
            at = scan.end;
            self.staged.changes.upto = (id, at);
            if done {
                if scan.tail > 0 && last {
                    // Nobody was told of it: what is told is synced, and a sync covers all before it.
                    tracing::warn!(segment = id, at = scan.end, bytes = scan.tail, "torn tail cut");
                    self.disk.truncate(id, scan.end)?;
                    found.torn += scan.tail;
                    self.open_len = scan.end;
                    self.used -= scan.tail;
                } else if scan.tail > 0 {
                    tracing::error!(
                        segment = id,
                        at = scan.end,
                        bytes = scan.tail,
                        "damage at a segment's end"
                    );
                    found.damaged += scan.tail;
                }
                self.index_staged(wall, false)?;
                return Ok(());
            }
            self.index_staged(wall, false)?;
        }
    }

    /// Takes a record that is on disk into what is staged for the index.
    fn indexed(&mut self, id: u32, at: u64, size: u32, sum: u32, r: Record) -> Result<(), SegmentStoreError> {
        self.seq = self.seq.max(r.seq + 1);
        let mut s = self.stream_or_new(&r.head.stream)?;
        let n = r.head.n;
        let size_bytes = u64::from(size);
        match r.what {
            What::Chunk(kind) if r.seq >= s.floor => {
                // It was taken later: the drop had been forgotten by then, or it would have been refused.
                s.dropped = None;
                self.count(id, size_bytes, size_bytes, 0);
                self.staged
                    .changes
                    .chunks
                    .insert((s.id, n), Spot { segment: id, at, len: size, sum, seq: r.seq });
                if s.held.insert(n) {
                    s.digest = s.digest.wrapping_add(Stream::part(n, sum));
                    s.bytes += size_bytes;
                    s.token = r.head.token;
                    s.team = r.head.team;
                    s.first = if s.first == 0 { r.head.taken } else { s.first.min(r.head.taken) };
                    s.last = s.last.max(r.head.taken);
                    if kind == Kind::Close {
                        s.closed = Some((n, String::from_utf8_lossy(&r.body).into_owned()));
                    }
                }
            }
            What::Chunk(_) => self.count(id, size_bytes, 0, 0),
            What::Drop | What::Release => {
                self.count(id, size_bytes, size_bytes, 1);
                if r.seq > s.floor {
                    // What was staged before must be there to be wiped.
                    s.floor = r.seq;
                    if r.what == What::Drop {
                        s.dropped = Some(r.head.at);
                    }
                    self.staged.changes.streams.insert(r.head.stream.clone(), s.clone());
                    return self.wipe(&r.head.stream);
                }
            }
            What::Seal => return Ok(()),
        }
        self.staged.changes.streams.insert(r.head.stream, s);
        Ok(())
    }

    /// Counts a record against its segment: its bytes, those that are needed, and whether it says what is gone.
    fn count(&mut self, segment: u32, bytes: u64, live: u64, graves: u64) {
        let add = self.staged.changes.added.entry(segment).or_default();
        (add.0, add.1, add.2) = (add.0 + bytes, add.1 + live, add.2 + graves);
    }

    /// Where a chunk is, or will be once what is staged is committed.
    fn spot(&self, id: u64, n: u32) -> Result<Option<Spot>, SegmentStoreError> {
        match self.staged.changes.chunks.get(&(id, n)) {
            Some(spot) => Ok(Some(*spot)),
            None => Ok(self.index.spot(id, n)?),
        }
    }

    /// Takes all chunks below its floor out of a staged stream; those that came after a release stay.
    fn wipe(&mut self, key: &StreamKey) -> Result<(), SegmentStoreError> {
        let Some(mut s) = self.staged.changes.streams.get(key).cloned() else { return Ok(()) };
        let mut kept = Stream { held: Default::default(), digest: 0, bytes: 0, closed: None, ..s.clone() };
        for n in s.held.iter() {
            if let Some(spot) = self.spot(s.id, n)?
                && spot.seq >= s.floor
            {
                kept.held.insert(n);
                kept.digest = kept.digest.wrapping_add(Stream::part(n, spot.sum));
                kept.bytes += u64::from(spot.len);
                if s.closed.as_ref().is_some_and(|c| c.0 == n) {
                    kept.closed = s.closed.take();
                }
            }
        }
        if !kept.held.is_empty() {
            kept.dropped = None;
        }
        self.staged.changes.wiped.push((kept.id, kept.floor));
        self.staged.changes.streams.insert(key.clone(), kept);
        Ok(())
    }

    fn stream_or_new(&mut self, key: &StreamKey) -> Result<Stream, SegmentStoreError> {
        if let Some(s) = self.staged.changes.streams.get(key) {
            return Ok(s.clone());
        }
        if let Some(s) = self.index.stream(key)? {
            return Ok(s);
        }
        self.next_id += 1;
        Ok(Stream { id: self.next_id, ..Stream::default() })
    }

    /// Stages a chunk. What it returns may be told only after the next `commit`.
    ///
    /// # Errors
    /// Why the chunk is not taken; nothing is staged then.
    pub fn append(
        &mut self,
        key: &StreamKey,
        team: &str,
        token: u64,
        chunk: &Chunk,
        wall: u64,
    ) -> Result<Put, SegmentStoreError> {
        let mut s = self.stream_or_new(key)?;
        let (n, sum) = (chunk.n, chunk.sum());
        if s.dropped.is_some() {
            return Err(SegmentStoreError::Dropped);
        }
        if !s.held.is_empty() && s.token != token {
            return Err(SegmentStoreError::Token);
        }
        if s.held.contains(n) {
            self.counts.repeats += 1;
            return match self.spot(s.id, n)? {
                Some(spot) if spot.sum == sum => Ok(Put::Same),
                _ => Err(SegmentStoreError::Different(n)),
            };
        }
        if s.closed.as_ref().is_some_and(|c| n > c.0) || (chunk.kind == Kind::Close && s.held.max() > Some(n))
        {
            return Err(SegmentStoreError::BehindEnd(n));
        }
        let room = chunk.body.len() as u64 + 512;
        if self.used + self.staged.bytes.len() as u64 + room > self.options.max_bytes {
            return Err(SegmentStoreError::Full);
        }
        let head = Head { stream: key.clone(), team: team.to_owned(), token, n, at: chunk.at, taken: wall };
        let spot = self.record(self.seq, What::Chunk(chunk.kind), &head, &chunk.body, Some(sum))?;
        self.seq += 1;
        s.token = token;
        s.team = team.to_owned();
        s.held.insert(n);
        s.digest = s.digest.wrapping_add(Stream::part(n, sum));
        s.bytes += u64::from(spot.len);
        s.first = if s.first == 0 { wall } else { s.first };
        s.last = wall;
        if chunk.kind == Kind::Close {
            s.closed = Some((n, String::from_utf8_lossy(&chunk.body).into_owned()));
        }
        if matches!(chunk.kind, Kind::Out | Kind::Err)
            && let Some(sketch) = &mut self.sketch
        {
            sketch.add(&chunk.body);
        }
        self.staged.changes.chunks.insert((s.id, n), spot);
        self.staged.changes.streams.insert(key.clone(), s);
        self.counts.chunks += 1;
        self.counts.bytes += chunk.body.len() as u64;
        Ok(Put::New)
    }

    /// Stages a record; says where it will be.
    fn record(
        &mut self,
        seq: u64,
        what: What,
        head: &Head,
        body: &[u8],
        sum: Option<u32>,
    ) -> Result<Spot, SegmentStoreError> {
        let before = self.staged.bytes.len();
        let compress = self.options.compress && head.stream.is_log();
        let Some(len) = segment::write(&mut self.staged.bytes, seq, what, head, body, compress) else {
            self.staged.bytes.truncate(before);
            return Err(SegmentStoreError::TooLarge);
        };
        let graves = u64::from(matches!(what, What::Drop | What::Release));
        self.count(self.open, u64::from(len), u64::from(len), graves);
        Ok(Spot { segment: self.open, at: self.open_len + before as u64, len, sum: sum.unwrap_or(0), seq })
    }

    /// Whether anything is staged.
    pub fn has_staged(&self) -> bool {
        !self.staged.is_empty()
    }
    /// Bytes that are staged.
    pub fn staged_bytes(&self) -> usize {
        self.staged.bytes.len()
    }

    /// Makes all that is staged certain: written, synced, and in the index.
    ///
    /// # Errors
    /// If the disk fails nothing of what was staged is held: whoever waits for it must be refused. The shelf goes on
    /// with a new segment, since what the old one's end holds can't be known any more.
    pub fn commit(&mut self, wall: u64) -> Result<(), SegmentStoreError> {
        if self.staged.is_empty() {
            return Ok(());
        }
        if !self.staged.bytes.is_empty() {
            let written = self.disk.append(self.open, &self.staged.bytes);
            let synced = written.and_then(|()| self.disk.sync(self.open));
            if let Err(e) = synced {
                self.counts.failures += 1;
                tracing::error!(segment = self.open, reason = %e, "a write failed; what was to be held is not");
                self.staged = Staged::default();
                let _ = self.disk.truncate(self.open, self.open_len);
                self.begin_segment(wall, None)?;
                return Err(match e.kind() {
                    io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => SegmentStoreError::Full,
                    _ => SegmentStoreError::Disk(e),
                });
            }
            self.counts.syncs += 1;
        }
        let n = self.staged.bytes.len() as u64;
        self.open_len += n;
        self.used += n;
        self.since_checkpoint += n;
        self.staged.changes.upto = (self.open, self.open_len);
        self.index_staged(wall, false)?;
        if self.open_len >= self.options.segment_bytes {
            self.seal(wall)?;
        }
        Ok(())
    }

    fn index_staged(&mut self, wall: u64, durable: bool) -> Result<(), SegmentStoreError> {
        let durable = durable || self.since_checkpoint >= self.options.checkpoint_bytes;
        let mut staged = std::mem::take(&mut self.staged);
        let c = &mut staged.changes;
        (c.wall, c.seq, c.next_id) = (wall, self.seq, self.next_id);
        if c.upto == (0, 0) {
            c.upto = (self.open, self.open_len);
        }
        self.index.apply(c, durable)?;
        if durable {
            self.since_checkpoint = 0;
        }
        Ok(())
    }

    /// Makes the index durable, for example before the process ends: the next one has nothing to read again.
    ///
    /// # Errors
    /// What the index says.
    pub fn checkpoint(&mut self, wall: u64) -> Result<(), SegmentStoreError> {
        self.commit(wall)?;
        self.index_staged(wall, true)
    }

    fn seal(&mut self, wall: u64) -> Result<(), SegmentStoreError> {
        let sketch = self.sketch.take().map(|s| s.bytes());
        if let Some(bytes) = &sketch {
            let mut record = Vec::new();
            if segment::write(&mut record, self.seq, What::Seal, &Head::seal(wall), bytes, true).is_some()
                && self.disk.append(self.open, &record).and_then(|()| self.disk.sync(self.open)).is_ok()
            {
                self.seq += 1;
                self.open_len += record.len() as u64;
                self.used += record.len() as u64;
            }
        }
        self.begin_segment(wall, sketch)
    }

    fn begin_segment(&mut self, wall: u64, sketch: Option<Vec<u8>>) -> Result<(), SegmentStoreError> {
        self.staged.changes.sealed.push((self.open, sketch));
        self.open += 1;
        self.open_len = 0;
        self.sketch = Some(Sketch::default());
        self.staged.changes.upto = (self.open, 0);
        self.index_staged(wall, false)
    }

    /// What is held of a stream, as of the last commit.
    ///
    /// # Errors
    /// What the index says.
    pub fn stream(&self, key: &StreamKey) -> Result<Option<Stream>, SegmentStoreError> {
        Ok(self.index.stream(key)?)
    }
    /// Streams of a job (all jobs if it is empty) behind `after`, at most so many.
    ///
    /// # Errors
    /// What the index says.
    pub fn streams(
        &self,
        job: &str,
        after: Option<&StreamKey>,
        most: usize,
    ) -> Result<Vec<(StreamKey, Stream)>, SegmentStoreError> {
        let mut prefix = job.as_bytes().to_vec();
        if !job.is_empty() {
            prefix.push(0);
        }
        Ok(self.index.streams(&prefix, &after.map(StreamKey::sorted).unwrap_or_default(), most)?)
    }
    /// Streams by place on the ring; see `Index::placed`.
    ///
    /// # Errors
    /// What the index says.
    pub fn placed(
        &self,
        from: u64,
        to: u64,
        after: Option<&StreamKey>,
        most: usize,
    ) -> Result<Vec<(StreamKey, Stream)>, SegmentStoreError> {
        Ok(self.index.placed(from, to, after, most)?)
    }
    /// Teams and their bytes.
    ///
    /// # Errors
    /// What the index says.
    pub fn teams(&self) -> Result<BTreeMap<String, u64>, SegmentStoreError> {
        Ok(self.index.teams()?)
    }
    /// All segments.
    ///
    /// # Errors
    /// What the index says.
    pub fn segments(&self) -> Result<BTreeMap<u32, Segment>, SegmentStoreError> {
        Ok(self.index.segments()?)
    }
    /// Bytes of all segments.
    pub fn used(&self) -> u64 {
        self.used
    }
    /// How it is kept.
    pub fn options(&self) -> &SegmentStoreOptions {
        &self.options
    }
    /// The disk, for the few small values that a store keeps beside its segments.
    pub fn disk(&mut self) -> &mut dyn Disk {
        self.disk.as_mut()
    }

    /// Reads a chunk that was committed; None if it is not held.
    ///
    /// # Errors
    /// `Damaged` if what the disk has is not what was written; the chunk is not held any more then.
    pub fn read(&mut self, key: &StreamKey, n: u32) -> Result<Option<Chunk>, SegmentStoreError> {
        let Some(s) = self.index.stream(key)? else { return Ok(None) };
        let Some(spot) = self.index.spot(s.id, n)? else { return Ok(None) };
        match self.fetch(&spot)? {
            Some(r) if r.head.stream == *key && r.head.n == n => {
                if let Some(chunk) = r.into_chunk()
                    && chunk.sum() == spot.sum
                {
                    return Ok(Some(chunk));
                }
                self.lose(key, n, spot)
            }
            _ => self.lose(key, n, spot),
        }
    }

    fn fetch(&mut self, spot: &Spot) -> Result<Option<Record>, SegmentStoreError> {
        let mut bytes = vec![0; spot.len as usize];
        match self.disk.read(spot.segment, spot.at, &mut bytes) {
            Ok(have) => Ok(segment::read(&bytes[..have])),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// A damaged chunk is not held any more: the copies heal it.
    fn lose(&mut self, key: &StreamKey, n: u32, spot: Spot) -> Result<Option<Chunk>, SegmentStoreError> {
        tracing::error!(stream = %key, chunk = n, segment = spot.segment, at = spot.at, "a chunk is damaged");
        self.counts.damaged += 1;
        let mut s = self.stream_or_new(key)?;
        if s.held.remove(n) {
            s.digest = s.digest.wrapping_sub(Stream::part(n, spot.sum));
            s.bytes = s.bytes.saturating_sub(u64::from(spot.len));
            if s.closed.as_ref().is_some_and(|c| c.0 == n) {
                s.closed = None;
            }
            self.staged.changes.bad.push((s.id, n));
            self.staged.changes.streams.insert(key.clone(), s);
        }
        Err(SegmentStoreError::Damaged(n))
    }

    /// Whether an artefact is whole and what it was said to be; reads all of it.
    ///
    /// # Errors
    /// As `read`.
    pub fn verify(&mut self, key: &StreamKey, chunks: u32, close: &Close) -> Result<bool, SegmentStoreError> {
        let mut hash = blake3::Hasher::new();
        let mut size = 0;
        for n in 0..chunks {
            let Some(chunk) = self.read(key, n)? else { return Ok(false) };
            hash.update(&chunk.body);
            size += chunk.body.len() as u64;
        }
        Ok(close.is_of(size, &hash))
    }
}
