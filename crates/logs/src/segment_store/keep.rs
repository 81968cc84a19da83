//! Keeping a shelf in shape: dropping, releasing, retention, compaction and scrubbing, each in small steps.

use super::{SegmentStore, SegmentStoreError};
use crate::index::Spot;
use crate::key::{AttemptKey, StreamKey};
use crate::segment::{self, Head, What};
use crate::sketch;

/// How long output is kept.
#[derive(Clone, Debug)]
pub struct Retention {
    /// What ended longer ago than this goes, in microseconds.
    pub age: u64,
    /// A team's closed streams go, those that ended first in front, while it has more bytes here than this.
    pub team_bytes: u64,
}

/// Where a text was found: streams and chunk numbers.
pub type Hits = Vec<(StreamKey, u32)>;

/// Streams dropped in one step.
const DROPS: usize = 64;
/// Streams looked at in one step for writers that never came back.
const LOOKS: usize = 64;

impl SegmentStore {
    /// Drops streams for good. What was staged before is committed first.
    ///
    /// # Errors
    /// As `commit`.
    pub fn drop_streams(&mut self, keys: &[StreamKey], wall: u64) -> Result<(), SegmentStoreError> {
        self.grave(keys, What::Drop, wall)
    }

    /// Lets streams go that others keep now. Their chunks may come back later.
    ///
    /// # Errors
    /// As `commit`.
    pub fn release(&mut self, keys: &[StreamKey], wall: u64) -> Result<(), SegmentStoreError> {
        self.grave(keys, What::Release, wall)
    }

    fn grave(&mut self, keys: &[StreamKey], what: What, wall: u64) -> Result<(), SegmentStoreError> {
        self.commit(wall)?;
        for key in keys {
            let mut s = self.stream_or_new(key)?;
            if s.dropped.is_some() || (what == What::Release && s.is_empty()) {
                continue;
            }
            let head = Head {
                stream: key.clone(),
                team: s.team.clone(),
                token: s.token,
                n: 0,
                at: wall,
                taken: wall,
            };
            self.record(self.seq, what, &head, &[], None)?;
            s.floor = self.seq;
            self.seq += 1;
            if what == What::Drop {
                s.dropped = Some(wall);
                self.counts.dropped += 1;
            }
            self.staged.changes.streams.insert(key.clone(), s);
            self.wipe(key)?;
        }
        self.commit(wall)
    }

    /// One step of retention: old streams and those beyond a team's bytes. Streams of attempts that are `alive` stay,
    /// however old or large; others without an end go once nothing has come for them for the whole age. Returns
    /// what was dropped.
    ///
    /// # Errors
    /// As `commit`.
    pub fn retire(
        &mut self,
        keep: &Retention,
        wall: u64,
        alive: impl Fn(&AttemptKey) -> bool,
    ) -> Result<Vec<StreamKey>, SegmentStoreError> {
        let mut going = Vec::new();
        for (team, bytes) in self.index.teams()? {
            let mut over = bytes.saturating_sub(keep.team_bytes);
            for (ended, key) in self.index.ended(&team, DROPS)? {
                if going.len() >= DROPS {
                    break;
                }
                let old = wall.saturating_sub(ended) > keep.age;
                if !old && over == 0 {
                    break;
                }
                if !alive(&key.of)
                    && let Some(s) = self.index.stream(&key)?
                {
                    over = over.saturating_sub(s.bytes);
                    going.push(key);
                }
            }
        }
        // Writers that never came back: their streams have no end.
        let some = self.index.streams(&[], &self.aged, LOOKS)?;
        self.aged = match some.last() {
            Some((key, _)) if some.len() == LOOKS => key.sorted(),
            _ => Vec::new(),
        };
        let abandoned = some.into_iter().filter(|(key, s)| {
            !alive(&key.of)
                && s.closed.is_none()
                && s.dropped.is_none()
                && !s.is_empty()
                && wall.saturating_sub(s.last) > keep.age
        });
        going.extend(abandoned.map(|(key, _)| key));
        if !going.is_empty() {
            self.drop_streams(&going, wall)?;
        }
        Ok(going)
    }

    /// One step of compaction: moves what is needed out of a segment that mostly isn't, at most about `budget`
    /// bytes, and removes the segment once nothing is left. Returns whether there was something to do.
    ///
    /// The moved records are synced before the old ones go, and keep their sequence numbers, so a crash at any
    /// point leaves one of the two or both, which say the same.
    ///
    /// # Errors
    /// As `commit`.
    pub fn compact(&mut self, budget: u64, wall: u64) -> Result<bool, SegmentStoreError> {
        self.commit(wall)?;
        let segments = self.index.segments()?;
        let (victim, from) = match self.compacting {
            Some(c) => c,
            None => {
                let oldest = segments.keys().next().copied();
                let due = |id: &u32, s: &crate::index::Segment| {
                    let settled = Some(*id) == oldest && s.graves > 0;
                    s.sealed
                        && *id != self.open
                        && (s.live * 2 < s.bytes
                            || s.bytes == 0
                            || (settled && s.to + self.options.tombstone < wall))
                };
                match segments.iter().find(|(id, s)| due(id, s)) {
                    Some((id, _)) => (*id, 0),
                    None => return Ok(false),
                }
            }
        };
        let oldest = segments.keys().next() == Some(&victim);
        let len = self.disk.list()?.iter().find(|f| f.0 == victim).map_or(0, |f| f.1);
        let mut records = Vec::new();
        let mut bytes = 0;
        let scan = segment::scan(self.disk.as_mut(), victim, from, len, |at, size, r| {
            bytes += u64::from(size);
            records.push((at, r));
            bytes < budget
        })?;
        for (at, r) in records {
            match r.what {
                What::Seal => {}
                What::Chunk(_) => {
                    let Some(s) = self.index.stream(&r.head.stream)? else { continue };
                    let Some(spot) = self.index.spot(s.id, r.head.n)? else { continue };
                    if (spot.segment, spot.at) == (victim, at) {
                        let moved = self.record(r.seq, r.what, &r.head, &r.body, Some(spot.sum))?;
                        self.staged.changes.chunks.insert((s.id, r.head.n), Spot { seq: r.seq, ..moved });
                        if matches!(r.what, What::Chunk(crate::chunk::Kind::Out | crate::chunk::Kind::Err))
                            && let Some(sketch) = &mut self.sketch
                        {
                            sketch.add(&r.body);
                        }
                    }
                }
                What::Drop | What::Release => {
                    // Older segments may hold what it buried. In the oldest one there is nothing left to bury.
                    let settled = oldest && r.head.at + self.options.tombstone < wall;
                    let s = self.index.stream(&r.head.stream)?;
                    match s {
                        Some(s) if settled && s.is_empty() && s.floor == r.seq => {
                            self.staged.changes.forgotten.push(r.head.stream);
                        }
                        Some(s) if s.floor == r.seq && !settled => {
                            self.record(r.seq, r.what, &r.head, &[], None)?;
                        }
                        _ => {}
                    }
                }
            }
        }
        self.commit(wall)?;
        if scan.end < len && bytes >= budget {
            self.compacting = Some((victim, scan.end));
            return Ok(true);
        }
        self.compacting = None;
        self.disk.remove(victim)?;
        self.used = self.used.saturating_sub(len);
        self.staged.changes.removed.push(victim);
        self.counts.compacted += 1;
        self.index_staged(wall, false)?;
        Ok(true)
    }

    /// One step of scrubbing: reads all chunks of the next stream, so that damage is found before it is asked for.
    /// Returns how many bytes it looked at; 0 at the end of a round.
    ///
    /// # Errors
    /// If the disk fails altogether.
    pub fn scrub(&mut self) -> Result<u64, SegmentStoreError> {
        let next = self.index.streams(&[], &self.scrubbed, 1)?;
        let Some((key, s)) = next.into_iter().next() else {
            self.scrubbed = Vec::new();
            return Ok(0);
        };
        self.scrubbed = key.sorted();
        for n in s.held.iter() {
            match self.read(&key, n) {
                Ok(_) | Err(SegmentStoreError::Damaged(_)) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(s.bytes.max(1))
    }

    /// Streams and chunk numbers whose text has `text`, as whole words and in either case, from segment `from` on, at most `most`.
    /// Returns the next segment to ask for, if there are more.
    ///
    /// # Errors
    /// What the disk says.
    pub fn search(
        &mut self,
        text: &str,
        from: u32,
        most: usize,
    ) -> Result<(Hits, Option<u32>), SegmentStoreError> {
        let mut wanted = Vec::new();
        sketch::words(text.as_bytes(), |w| wanted.push(w));
        let needle = text.as_bytes().to_ascii_lowercase();
        let mut found = Vec::new();
        let files = self.disk.list()?;
        let segments = self.index.segments()?;
        for (id, len) in files.into_iter().filter(|f| f.0 >= from) {
            if found.len() >= most {
                return Ok((found, Some(id)));
            }
            let sketch = segments.get(&id).and_then(|s| s.sketch.as_deref()).and_then(sketch::Sketch::read);
            if sketch.is_some_and(|s| !s.may_have(&wanted)) {
                continue;
            }
            let mut hits = Vec::new();
            segment::scan(self.disk.as_mut(), id, 0, len, |at, _, r| {
                let text = matches!(r.what, What::Chunk(crate::chunk::Kind::Out | crate::chunk::Kind::Err));
                if text {
                    let body = r.body.to_ascii_lowercase();
                    if has_words(&body, &needle) {
                        hits.push((at, r.head));
                    }
                }
                true
            })?;
            for (at, head) in hits {
                // Only what is still held here counts.
                let spot = match self.index.stream(&head.stream)? {
                    Some(s) => self.index.spot(s.id, head.n)?,
                    None => None,
                };
                if spot.is_some_and(|s| (s.segment, s.at) == (id, at)) {
                    found.push((head.stream, head.n));
                }
            }
        }
        Ok((found, None))
    }
}

/// Whether a text has another one in it that neither begins nor ends within a word: the sketch knows whole words.
fn has_words(body: &[u8], needle: &[u8]) -> bool {
    let inside = |a: Option<&u8>, b: Option<&u8>| {
        a.is_some_and(u8::is_ascii_alphanumeric) && b.is_some_and(u8::is_ascii_alphanumeric)
    };
    let n = needle.len().max(1);
    body.windows(n).enumerate().any(|(i, w)| {
        w == needle
            && !inside(i.checked_sub(1).and_then(|i| body.get(i)), w.first())
            && !inside(w.last(), body.get(i + n))
    })
}
