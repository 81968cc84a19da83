//! A disk that forgets what was not synced, tears what was being written, fills up, and flips bits.

#![allow(unreachable_pub, reason = "shared by test programs that each use a part")]
// Each test program uses a part of it.
#![allow(dead_code)]

use hazelsaddle_logs::disk::Disk;
use rand::{RngExt, rngs::StdRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, Default)]
struct Content {
    /// Handles of an earlier life are dead.
    life: u64,
    /// Bytes that survive a crash, and those that may not.
    segments: BTreeMap<u32, (Vec<u8>, Vec<u8>)>,
    values: BTreeMap<String, Vec<u8>>,
    /// The index's file as it is, and as it survives a crash.
    index: (Vec<u8>, Vec<u8>),
    /// Bytes that fit.
    room: usize,
    /// The next so many writes go well; then syncs fail until the crash.
    dies_after: Option<u32>,
    fails_next_sync: bool,
}

/// The thing itself: it stays when its store dies.
#[derive(Clone, Debug, Default)]
pub struct Platter(Arc<Mutex<Content>>);

impl Platter {
    pub fn new() -> Platter {
        let p = Platter::default();
        p.lock().room = usize::MAX;
        p
    }
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.0.lock().expect("no test panics while it holds a disk")
    }
    /// A handle for a store's next life.
    pub fn open(&self) -> Box<dyn Disk> {
        let mut c = self.lock();
        c.life += 1;
        Box::new(Handle { life: c.life, platter: self.clone() })
    }
    /// The store dies: what was not synced is lost, or a torn part of it stays.
    pub fn crash(&self, rng: &mut StdRng) {
        let mut c = self.lock();
        c.life += 1;
        (c.dies_after, c.fails_next_sync) = (None, false);
        for (synced, tail) in c.segments.values_mut() {
            let mut kept = tail[..rng.random_range(0..=tail.len())].to_vec();
            // A torn sector within what stays.
            if !kept.is_empty() && rng.random_bool(0.3) {
                let at = rng.random_range(0..kept.len());
                let end = (at + 512).min(kept.len());
                kept[at..end].fill(0);
            }
            synced.extend_from_slice(&kept);
            tail.clear();
        }
        c.index.0 = c.index.1.clone();
        // Now and then the index is gone altogether: it must be made anew.
        if rng.random_bool(0.15) {
            c.index = (Vec::new(), Vec::new());
        } else if rng.random_bool(0.05) && !c.index.0.is_empty() {
            let at = rng.random_range(0..c.index.0.len());
            let end = (at + 4096).min(c.index.0.len());
            c.index.0[at..end].fill(0xa5);
        }
    }
    /// The store will die between a write and its sync.
    pub fn die_after(&self, writes: u32) {
        self.lock().dies_after = Some(writes);
    }
    pub fn live_on(&self) {
        self.lock().dies_after = None;
    }
    pub fn is_dying(&self) -> bool {
        self.lock().dies_after == Some(0)
    }
    pub fn fail_next_sync(&self) {
        self.lock().fails_next_sync = true;
    }
    /// Leaves so much room beyond what is used.
    pub fn set_room(&self, free: Option<usize>) {
        let mut c = self.lock();
        let used: usize = c.segments.values().map(|s| s.0.len() + s.1.len()).sum();
        c.room = free.map_or(usize::MAX, |f| used + f);
    }
    /// What would be there if the store died now and everything that was not synced were lost, index included.
    pub fn survivor(&self) -> Platter {
        let p = Platter::new();
        p.lock().segments =
            self.lock().segments.iter().map(|(id, s)| (*id, (s.0.clone(), Vec::new()))).collect();
        p
    }
    /// Flips a bit of what was synced.
    pub fn flip(&self, rng: &mut StdRng) -> bool {
        let mut c = self.lock();
        let mut segments: Vec<&mut Vec<u8>> =
            c.segments.values_mut().map(|s| &mut s.0).filter(|s| !s.is_empty()).collect();
        let n = segments.len();
        if n == 0 {
            return false;
        }
        let s = &mut segments[rng.random_range(0..n)];
        let at = rng.random_range(0..s.len());
        s[at] ^= 1 << rng.random_range(0..8u32);
        true
    }
    pub fn segments(&self) -> BTreeMap<u32, Vec<u8>> {
        self.lock().segments.iter().map(|(id, s)| (*id, [s.0.clone(), s.1.clone()].concat())).collect()
    }
    pub fn set_segment(&self, id: u32, bytes: Vec<u8>) {
        self.lock().segments.insert(id, (bytes, Vec::new()));
    }
    pub fn lose_index(&self) {
        self.lock().index = (Vec::new(), Vec::new());
    }
}

struct Handle {
    life: u64,
    platter: Platter,
}

impl Handle {
    fn lock(&self) -> io::Result<MutexGuard<'_, Content>> {
        let c = self.platter.lock();
        if c.life == self.life { Ok(c) } else { Err(io::Error::other("the store has died")) }
    }
}

impl Disk for Handle {
    fn list(&mut self) -> io::Result<Vec<(u32, u64)>> {
        Ok(self.lock()?.segments.iter().map(|(id, s)| (*id, (s.0.len() + s.1.len()) as u64)).collect())
    }
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        let mut c = self.lock()?;
        let used: usize = c.segments.values().map(|s| s.0.len() + s.1.len()).sum();
        let fits = bytes.len().min(c.room.saturating_sub(used));
        let tail = &mut c.segments.entry(segment).or_default().1;
        // A full disk takes a part.
        tail.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if let Some(n) = &mut c.dies_after {
            *n = n.saturating_sub(1);
        }
        Ok(())
    }
    fn read(&mut self, segment: u32, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let c = self.lock()?;
        let Some((synced, tail)) = c.segments.get(&segment) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let all = synced.iter().chain(tail).skip(at as usize);
        Ok(into.iter_mut().zip(all).map(|(i, b)| *i = *b).count())
    }
    fn sync(&mut self, segment: u32) -> io::Result<()> {
        let mut c = self.lock()?;
        if c.dies_after == Some(0) || std::mem::take(&mut c.fails_next_sync) {
            return Err(io::Error::other("the disk failed"));
        }
        if let Some((synced, tail)) = c.segments.get_mut(&segment) {
            synced.append(tail);
        }
        Ok(())
    }
    fn truncate(&mut self, segment: u32, len: u64) -> io::Result<()> {
        let mut c = self.lock()?;
        if let Some((synced, tail)) = c.segments.get_mut(&segment) {
            synced.append(tail);
            synced.truncate(len as usize);
        }
        Ok(())
    }
    fn remove(&mut self, segment: u32) -> io::Result<()> {
        self.lock()?.segments.remove(&segment);
        Ok(())
    }
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.lock()?.values.insert(name.into(), bytes.to_vec());
        Ok(())
    }
    fn get(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.lock()?.values.get(name).cloned())
    }
    fn index(&mut self, builder: &redb::Builder, anew: bool) -> Result<redb::Database, redb::DatabaseError> {
        if anew {
            self.lock()?.index = (Vec::new(), Vec::new());
        }
        builder.create_with_backend(Pages { life: self.life, platter: self.platter.clone() })
    }
}

#[derive(Debug)]
struct Pages {
    life: u64,
    platter: Platter,
}

impl Pages {
    fn with<T>(&self, f: impl FnOnce(&mut Content) -> T) -> io::Result<T> {
        let mut c = self.platter.lock();
        if c.life == self.life { Ok(f(&mut c)) } else { Err(io::Error::other("the store has died")) }
    }
}

impl redb::StorageBackend for Pages {
    fn len(&self) -> io::Result<u64> {
        self.with(|c| c.index.0.len() as u64)
    }
    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        self.with(|c| {
            let at = at as usize;
            match c.index.0.get(at..at + out.len()) {
                Some(bytes) => {
                    out.copy_from_slice(bytes);
                    Ok(())
                }
                None => Err(io::ErrorKind::UnexpectedEof.into()),
            }
        })?
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.with(|c| c.index.0.resize(len as usize, 0))
    }
    fn sync_data(&self) -> io::Result<()> {
        self.with(|c| c.index.1 = c.index.0.clone())
    }
    fn write(&self, at: u64, data: &[u8]) -> io::Result<()> {
        self.with(|c| {
            let at = at as usize;
            c.index.0[at..at + data.len()].copy_from_slice(data);
        })
    }
}
