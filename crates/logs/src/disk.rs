//! Where a store keeps its segments and its index. The trait is the edge: tests put a disk behind it that
//! forgets what was not synced, fills up or flips bits.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// A disk that holds numbered segments, which only grow, and a few small values.
///
/// What was appended is certain to survive a crash only after `sync` has returned `Ok`.
pub trait Disk: Send {
    /// The segments that exist, with their lengths, in order.
    ///
    /// # Errors
    /// What the system says.
    fn list(&mut self) -> io::Result<Vec<(u32, u64)>>;
    /// Adds bytes to the end of a segment, which comes into being with its first bytes.
    ///
    /// # Errors
    /// `StorageFull` if there is no room. After any error the end of the segment is unknown until `truncate`.
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()>;
    /// Fills `into` from a position of a segment, or a part of it at the segment's end. Returns how much was read.
    ///
    /// # Errors
    /// What the system says.
    fn read(&mut self, segment: u32, at: u64, into: &mut [u8]) -> io::Result<usize>;
    /// Makes all that was appended to a segment, and its existence, durable.
    ///
    /// # Errors
    /// What the system says; what was appended since the last success may be lost or torn then.
    fn sync(&mut self, segment: u32) -> io::Result<()>;
    /// Cuts a segment to a length.
    ///
    /// # Errors
    /// What the system says.
    fn truncate(&mut self, segment: u32, len: u64) -> io::Result<()>;
    /// Removes a segment; one that does not exist is no error.
    ///
    /// # Errors
    /// What the system says.
    fn remove(&mut self, segment: u32) -> io::Result<()>;
    /// Replaces a small value by another, durably: afterwards either the old or the new one is there.
    ///
    /// # Errors
    /// What the system says.
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// A small value, if there is one.
    ///
    /// # Errors
    /// What the system says.
    fn get(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Opens the index, new if there is none or `anew`.
    ///
    /// # Errors
    /// What the index's library says, for example that its file is damaged.
    fn index(&mut self, builder: &redb::Builder, anew: bool) -> Result<redb::Database, redb::DatabaseError>;
}

/// Open files kept for reading.
const HANDLES: usize = 64;

/// A folder of the file system. Holds a lock on it, so that no two stores use one folder.
pub struct Folder {
    path: PathBuf,
    handles: HashMap<u32, File>,
    _lock: File,
}

impl Folder {
    /// Opens a folder, which is made if need be.
    ///
    /// # Errors
    /// `WouldBlock` if another store uses it, else what the system says.
    pub fn open(path: &Path) -> io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join("lock"))?;
        lock.try_lock().map_err(|e| match e {
            std::fs::TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::WouldBlock, "another store uses this folder")
            }
            std::fs::TryLockError::Error(e) => e,
        })?;
        Ok(Folder { path: path.to_owned(), handles: HashMap::new(), _lock: lock })
    }
    fn segment(&self, segment: u32) -> PathBuf {
        self.path.join(format!("{segment:010}.seg"))
    }
    fn handle(&mut self, segment: u32) -> io::Result<&File> {
        if !self.handles.contains_key(&segment) {
            if self.handles.len() >= HANDLES
                && let Some(&any) = self.handles.keys().min()
            {
                self.handles.remove(&any);
            }
            let file = OpenOptions::new().read(true).append(true).open(self.segment(segment))?;
            self.handles.insert(segment, file);
        }
        self.handles.get(&segment).ok_or_else(|| io::Error::other("no handle"))
    }
    /// A new name in a folder is durable only once the folder is.
    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Disk for Folder {
    fn list(&mut self) -> io::Result<Vec<(u32, u64)>> {
        let mut found = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            let name = entry.file_name();
            let number = name.to_str().and_then(|n| n.strip_suffix(".seg")).and_then(|n| n.parse().ok());
            if let Some(number) = number {
                found.push((number, entry.metadata()?.len()));
            }
        }
        found.sort_unstable();
        Ok(found)
    }
    fn append(&mut self, segment: u32, bytes: &[u8]) -> io::Result<()> {
        use std::io::Write;
        if !self.handles.contains_key(&segment) && !self.segment(segment).exists() {
            OpenOptions::new().create_new(true).append(true).open(self.segment(segment))?;
            self.sync_names()?;
        }
        let mut file: &File = self.handle(segment)?;
        file.write_all(bytes)
    }
    fn read(&mut self, segment: u32, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let file = self.handle(segment)?;
        let mut have = 0;
        while have < into.len() {
            match file.read_at(&mut into[have..], at + have as u64) {
                Ok(0) => break,
                Ok(n) => have += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(have)
    }
    fn sync(&mut self, segment: u32) -> io::Result<()> {
        self.handle(segment)?.sync_data()
    }
    fn truncate(&mut self, segment: u32, len: u64) -> io::Result<()> {
        let file = self.handle(segment)?;
        file.set_len(len)?;
        file.sync_all()
    }
    fn remove(&mut self, segment: u32) -> io::Result<()> {
        self.handles.remove(&segment);
        match std::fs::remove_file(self.segment(segment)) {
            Ok(()) => self.sync_names(),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(e) => Err(e),
        }
    }
    fn put(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        use std::io::Write;
        let fresh = self.path.join(format!("{name}.new"));
        let mut file = File::create(&fresh)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&fresh, self.path.join(name))?;
        self.sync_names()
    }
    fn get(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }
    fn index(&mut self, builder: &redb::Builder, anew: bool) -> Result<redb::Database, redb::DatabaseError> {
        let path = self.path.join("index.redb");
        if anew {
            match std::fs::remove_file(&path) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
                _ => {}
            }
        }
        builder.create(path)
    }
}
