//! Puts together what stores hold: any of them may be silent, have a part, or still have what moved elsewhere.

use crate::chunk::{Chunk, Close, Kind};
use crate::key::{AttemptKey, StreamKey};
use crate::replica::Listed;
use crate::wire::{Page, Span};
use hazelsaddle_cluster::transport::Framed;
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Why something can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No store answers.
    #[error("no store answers: {0}")]
    Silent(String),
    /// No store that answers has it.
    #[error("no store has {0}")]
    Unknown(String),
    /// Some of it is at no store that answers.
    #[error("{0}: chunk {1} is at no store that answers")]
    Missing(String, u32),
    /// The content is not what its hash says.
    #[error("{0}: the content is not what its hash says")]
    Hash(String),
    /// It can't be written where it should go.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
}

/// What all stores together say of a stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Merged {
    /// The attempt, as `job/task/attempt`.
    pub at: String,
    /// The artefact's name; empty for the log.
    pub name: String,
    /// Its team.
    pub team: String,
    /// Chunks that some store holds.
    pub held: Vec<Span>,
    /// The last chunk's number, if it is known.
    pub closed: Option<u32>,
    /// What the last chunk says.
    pub end: Option<Close>,
    /// Bytes at the store that has the most.
    pub bytes: u64,
    /// When the first and the last chunk came, in microseconds.
    pub first: u64,
    /// See `first`.
    pub last: u64,
    /// `open`, `closed`, `cut off after chunk N` or `dropped`.
    pub state: String,
    /// For how long its task is waiting for its log, in microseconds.
    pub stalled: u64,
    /// How many stores hold some of it.
    pub stores: usize,
    /// Its key.
    #[serde(skip)]
    pub key: StreamKey,
}

/// What is read of a log.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// The next chunk.
    Chunk(Chunk),
    /// These numbers are at no store that answers, and what follows them is known.
    Missing(u32, u32),
    /// Nothing more will come: the last chunk was read (`closed`), or its writer has fallen silent after a chunk.
    End {
        /// Whether the log is complete.
        closed: bool,
        /// How many chunks there are.
        chunks: u32,
        /// It was dropped by retention.
        dropped: bool,
    },
}

/// Reads from several stores.
pub struct Reader {
    agent: ureq::Agent,
    seeds: Vec<SocketAddrV4>,
    stores: Vec<SocketAddrV4>,
    listed: Instant,
}

/// How long a store is waited for, beside the time for which it is asked to wait.
const PATIENCE: Duration = Duration::from_secs(2);

impl Reader {
    /// Knows some stores' reader addresses, and learns of the others from them.
    pub fn new(seeds: Vec<SocketAddrV4>) -> Reader {
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(Duration::from_millis(500))
            .timeout_read(PATIENCE)
            .redirects(0)
            .build();
        let mut r = Reader { agent, stores: seeds.clone(), seeds, listed: Instant::now() };
        r.learn();
        r
    }

    /// All stores that are known.
    pub fn stores(&self) -> &[SocketAddrV4] {
        &self.stores
    }

    /// Asks for the list of stores. Seeds stay in it: one that was taken off the list may still hold something.
    fn learn(&mut self) {
        self.listed = Instant::now();
        let mut found: BTreeSet<SocketAddrV4> = self.seeds.iter().copied().collect();
        for store in self.stores.clone() {
            if let Ok(body) = self.get(store, "/v1/members", Duration::ZERO)
                && let Ok(list) = serde_json::from_slice::<crate::members::List>(&body)
            {
                found.extend(list.members.iter().filter_map(|m| m.http.parse::<SocketAddrV4>().ok()));
            }
        }
        self.stores = found.into_iter().collect();
    }

    fn get(&self, store: SocketAddrV4, path: &str, wait: Duration) -> Result<Vec<u8>, String> {
        let url = format!("http://{store}{path}");
        match self.agent.get(&url).timeout(PATIENCE + wait).call() {
            Ok(r) => {
                let mut body = Vec::new();
                match r.into_reader().take(64 << 20).read_to_end(&mut body) {
                    Ok(_) => Ok(body),
                    Err(e) => Err(format!("{store}: {e}")),
                }
            }
            Err(ureq::Error::Status(status, r)) => {
                Err(format!("{store}: {status} {}", r.into_string().unwrap_or_default()))
            }
            Err(e) => Err(format!("{store}: {e}")),
        }
    }

    /// All streams of a job (of all jobs if it is empty), as all stores that answer say, and what the others did.
    ///
    /// # Errors
    /// `Silent` if none answers.
    pub fn job(&mut self, job: &str) -> Result<(Vec<Merged>, Vec<String>), ReadError> {
        if self.listed.elapsed() > Duration::from_secs(5) {
            self.learn();
        }
        let mut silent = Vec::new();
        let mut all: BTreeMap<StreamKey, Vec<Listed>> = BTreeMap::new();
        for &store in &self.stores {
            let mut after = String::new();
            loop {
                let query: String = form_urlencoded::Serializer::new(String::new())
                    .append_pair("job", job)
                    .extend_pairs((!after.is_empty()).then_some(("after", after.as_str())))
                    .finish();
                #[derive(serde::Deserialize)]
                struct Body {
                    streams: Vec<Listed>,
                    next: Option<String>,
                }
                let body = self.get(store, &format!("/v1/streams?{query}"), Duration::ZERO);
                let body = body.and_then(|b| serde_json::from_slice::<Body>(&b).map_err(|e| e.to_string()));
                match body {
                    Err(e) => {
                        silent.push(e);
                        break;
                    }
                    Ok(b) => {
                        for l in b.streams {
                            let Ok(of) = AttemptKey::new(&l.job, l.task, l.attempt) else { continue };
                            all.entry(StreamKey { of, name: l.name.clone() }).or_default().push(l);
                        }
                        match b.next {
                            Some(next) => after = next,
                            None => break,
                        }
                    }
                }
            }
        }
        if silent.len() == self.stores.len() {
            return Err(ReadError::Silent(silent.join("; ")));
        }
        Ok((all.into_iter().map(|(key, of)| merge(key, &of)).collect(), silent))
    }

    fn page(&self, store: SocketAddrV4, key: &StreamKey, from: u32, wait: Duration) -> Result<Page, String> {
        let query: String = form_urlencoded::Serializer::new(String::new())
            .append_pair("at", &key.to_string())
            .append_pair("from", &from.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string())
            .finish();
        let body = self.get(store, &format!("/v1/chunks?{query}"), wait)?;
        Page::decode(&body).ok_or_else(|| format!("{store}: the answer is malformed"))
    }

    /// Reads a stream from a chunk on, in order, each chunk once, and hands it over piece by piece until `each` says
    /// false or the end has come. With `follow` it waits for more; without, it ends at what there is. It goes over
    /// the death of any store as long as another one has the chunk.
    ///
    /// # Errors
    /// `Silent` if no store has answered for 30 s.
    pub fn stream(
        &mut self,
        key: &StreamKey,
        from: u32,
        follow: bool,
        mut each: impl FnMut(Piece) -> bool,
    ) -> Result<(), ReadError> {
        let mut next = from;
        let mut heard = Instant::now();
        let mut first = 0;
        // Since when the next chunk is known to exist, or to have been expected, and is nowhere.
        let mut stuck: Option<Instant> = None;
        loop {
            if self.listed.elapsed() > Duration::from_secs(5) {
                self.learn();
            }
            let stores = self.stores.clone();
            let n = stores.len().max(1);
            let mut asked = Vec::new();
            let mut errors = Vec::new();
            let before = next;
            for i in 0..stores.len() {
                let at = (first + i) % n;
                // The one that had the last chunk is waited at; the others are asked at once.
                let wait = if follow && i == 0 && stuck.is_none() {
                    Duration::from_millis(1000)
                } else {
                    Duration::ZERO
                };
                match self.page(stores[at], key, next, wait) {
                    Err(e) => errors.push(e),
                    Ok(mut page) => {
                        heard = Instant::now();
                        for chunk in std::mem::take(&mut page.chunks) {
                            if chunk.n == next {
                                next += 1;
                                first = at;
                                if !each(Piece::Chunk(chunk)) {
                                    return Ok(());
                                }
                            }
                        }
                        asked.push(page);
                    }
                }
                if next != before {
                    break;
                }
            }
            if next != before {
                stuck = None;
                continue;
            }
            if asked.is_empty() {
                if heard.elapsed() > Duration::from_secs(30) {
                    return Err(ReadError::Silent(errors.join("; ")));
                }
                std::thread::sleep(Duration::from_millis(200));
                continue;
            }
            let dropped = asked.iter().any(|p| p.dropped);
            let closed = asked.iter().find_map(|p| p.closed);
            let held = union(asked.iter().flat_map(|p| p.held.iter().copied()));
            if dropped || closed.is_some_and(|c| next > c) {
                each(Piece::End { closed: closed.is_some() && !dropped, chunks: next, dropped });
                return Ok(());
            }
            // A chunk behind the next one is there, or the end is: the next one exists, or did.
            let beyond = held.range(next..).next().or(closed);
            if let Some(beyond) = beyond {
                let since = *stuck.get_or_insert_with(Instant::now);
                // Copies take a moment, and a store that is silent may come back with it.
                let patience =
                    if errors.is_empty() { Duration::from_secs(3) } else { Duration::from_secs(15) };
                if since.elapsed() > patience
                    || (!follow && errors.is_empty() && since.elapsed() > Duration::from_secs(1))
                {
                    if !each(Piece::Missing(next, beyond - 1)) {
                        return Ok(());
                    }
                    next = beyond;
                    stuck = None;
                } else {
                    std::thread::sleep(Duration::from_millis(50));
                }
                continue;
            }
            let silent = errors.is_empty() && asked.iter().all(|p| p.silent);
            if !follow || silent {
                each(Piece::End { closed: false, chunks: next, dropped: false });
                return Ok(());
            }
        }
    }

    /// Fetches an artefact into a file, which appears under its name only when it is whole and its hash is right.
    /// `progress` is told how many bytes there are so far, and of how many.
    ///
    /// # Errors
    /// If no store that answers has it whole, its content is wrong, or the file can't be written.
    pub fn fetch(
        &mut self,
        key: &StreamKey,
        into: &std::path::Path,
        mut progress: impl FnMut(u64, u64),
    ) -> Result<Close, ReadError> {
        use std::io::Write;
        let name = key.to_string();
        let failed = |e: std::io::Error| ReadError::File(into.display().to_string(), e);
        let (streams, _) = self.job(&key.of.job)?;
        let end = streams.iter().find(|s| s.key == *key).and_then(|s| s.end.clone());
        let Some(end) = end else { return Err(ReadError::Unknown(name)) };
        let part = into.with_extension(match into.extension().and_then(|e| e.to_str()) {
            Some(e) => format!("{e}.part"),
            None => "part".to_owned(),
        });
        let mut file = std::fs::File::create(&part).map_err(failed)?;
        let mut hash = blake3::Hasher::new();
        let mut size = 0u64;
        let mut trouble = None;
        self.stream(key, 0, false, |piece| match piece {
            Piece::Chunk(c) if c.kind == Kind::Data => {
                hash.update(&c.body);
                size += c.body.len() as u64;
                progress(size, end.size.unwrap_or(size));
                match file.write_all(&c.body) {
                    Ok(()) => true,
                    Err(e) => {
                        trouble = Some(failed(e));
                        false
                    }
                }
            }
            Piece::Missing(n, _) => {
                trouble = Some(ReadError::Missing(name.clone(), n));
                false
            }
            Piece::Chunk(_) | Piece::End { .. } => true,
        })?;
        let right = end.is_of(size, &hash);
        let done = match trouble {
            Some(e) => Err(e),
            None if !right => Err(ReadError::Hash(key.to_string())),
            None => file.sync_all().and_then(|()| std::fs::rename(&part, into)).map_err(failed).map(|()| end),
        };
        if done.is_err() {
            // Half a file must not be taken for one.
            let _ = std::fs::remove_file(&part);
        }
        done
    }

    /// Chunks with a text, at all stores that answer.
    ///
    /// # Errors
    /// `Silent` if none answers.
    pub fn search(&self, text: &str) -> Result<BTreeSet<(String, u32)>, ReadError> {
        let mut found = BTreeSet::new();
        let mut errors = Vec::new();
        for &store in &self.stores {
            let mut from = Some(0u32);
            while let Some(segment) = from {
                let query: String = form_urlencoded::Serializer::new(String::new())
                    .append_pair("text", text)
                    .append_pair("from", &segment.to_string())
                    .finish();
                #[derive(serde::Deserialize)]
                struct Hit {
                    at: String,
                    chunk: u32,
                }
                #[derive(serde::Deserialize)]
                struct Body {
                    hits: Vec<Hit>,
                    next: Option<u32>,
                }
                let body = self.get(store, &format!("/v1/search?{query}"), Duration::from_secs(20));
                from = match body.and_then(|b| serde_json::from_slice::<Body>(&b).map_err(|e| e.to_string()))
                {
                    Ok(b) => {
                        found.extend(b.hits.into_iter().map(|h| (h.at, h.chunk)));
                        b.next
                    }
                    Err(e) => {
                        errors.push(e);
                        None
                    }
                };
            }
        }
        if errors.len() == self.stores.len() { Err(ReadError::Silent(errors.join("; "))) } else { Ok(found) }
    }
}

fn union(spans: impl Iterator<Item = Span>) -> RoaringBitmap {
    let mut all = RoaringBitmap::new();
    for (a, b) in spans {
        all.insert_range(a..=b);
    }
    all
}

fn merge(key: StreamKey, of: &[Listed]) -> Merged {
    let held = union(of.iter().flat_map(|l| l.held.iter().copied()));
    let closed = of.iter().find_map(|l| l.closed);
    let whole = closed.is_some_and(|c| held.len() == u64::from(c) + 1);
    // Chunks without a hole in front of them.
    let front = held.iter().zip(0u32..).take_while(|(h, i)| h == i).count();
    let state = if of.iter().any(|l| l.state == "dropped") {
        "dropped".to_owned()
    } else if whole {
        "closed".into()
    } else if closed.is_some() {
        format!("closed, with holes after chunk {}", front.saturating_sub(1))
    } else if of.iter().any(|l| l.state == "open") {
        "open".into()
    } else if front == 0 {
        "cut off before its first chunk".into()
    } else {
        format!("cut off after chunk {}", front - 1)
    };
    Merged {
        at: key.of.to_string(),
        name: key.name.clone(),
        team: of.first().map(|l| l.team.clone()).unwrap_or_default(),
        held: crate::replica::spans(&held),
        closed,
        end: of.iter().find_map(|l| l.end.clone()),
        bytes: of.iter().map(|l| l.bytes).max().unwrap_or(0),
        first: of.iter().map(|l| l.first).filter(|f| *f > 0).min().unwrap_or(0),
        last: of.iter().map(|l| l.last).max().unwrap_or(0),
        state,
        stalled: of.iter().map(|l| l.stalled).max().unwrap_or(0),
        stores: of.iter().filter(|l| !l.held.is_empty()).count(),
        key,
    }
}
