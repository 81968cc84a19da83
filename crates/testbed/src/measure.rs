//! Measurements: how fast a store takes data beside plain writes, how soon a follower sees a line, how long a store
//! takes to come back, and what memory it holds.

use hazelsaddle_logs::chunk::{Chunk, Kind};
use hazelsaddle_logs::client::Client;
use hazelsaddle_logs::config::{StoreConfig, sample};
use hazelsaddle_logs::key::{AttemptKey, StreamKey};
use hazelsaddle_logs::members::{List, Member};
use hazelsaddle_logs::reader::{Piece, Reader};
use hazelsaddle_logs::serve::{self, Running, wall};
use hazelsaddle_logs::shipper::{ShipOptions, Shipper, options};
use hazelsaddle_logs::spool::{Policy, SpoolOptions};
use hazelsaddle_logs::wire::{Answer, Ask, Batch};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

type Failed = Box<dyn std::error::Error>;

const CHUNK: usize = 64 << 10;
const REQUEST: usize = 8;
const WRITERS: u32 = 16;

/// A store alone: one copy, no compression, limits out of the way.
///
/// # Errors
/// If it can't be started.
pub fn alone(folder: &Path, change: &[(&str, &str)]) -> Result<Running, Failed> {
    let mut text = sample().replace("/var/lib/hazelsaddle/store-0", &folder.display().to_string());
    for port in ["7101", "7102", "7103"] {
        text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
    }
    let mut changes = vec![
        ("copies = 3", "copies = 1"),
        ("acks = 2", "acks = 1"),
        ("compress = 1", "compress = 0"),
        ("attempt_kib_s = 32768", "attempt_kib_s = 16777216"),
        ("job_kib_s = 131072", "job_kib_s = 16777216"),
        ("team_kib_s = 262144", "team_kib_s = 16777216"),
    ];
    changes.extend(change);
    for (from, to) in changes {
        text = text.replacen(from, to, 1);
    }
    let s = serve::start(StoreConfig::parse("measurement", &text)?)?;
    let me = Member {
        name: "store-0".into(),
        zone: "a".into(),
        link: s.link.to_string(),
        peer: s.peer.to_string(),
        http: s.http.to_string(),
        leaving: false,
    };
    // A folder that is used again has a list already; its addresses are those of an earlier life.
    let kept: List =
        status(s.http, "/v1/members").and_then(|v| serde_json::from_value(v).ok()).ok_or("no list")?;
    let list = List { version: kept.version + 1, members: vec![me] };
    ureq::put(&format!("http://{}/v1/members", s.http)).send_string(&serde_json::to_string(&list)?)?;
    Ok(s)
}

fn status(http: SocketAddrV4, path: &str) -> Option<Value> {
    ureq::get(&format!("http://{http}{path}")).call().ok().map(crate::http::body)
}

/// Content that does not compress.
fn noise(seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..CHUNK).map(|_| rng.random()).collect()
}

/// Fills a store with chunks of 64 KiB; returns MB/s.
fn fill(s: &Running, mib: u64, job: &str) -> Result<f64, Failed> {
    let chunks = (mib << 20) / CHUNK as u64 / u64::from(WRITERS);
    let begun = Instant::now();
    let writers: Vec<JoinHandle<Result<(), String>>> = (0..WRITERS)
        .map(|task| {
            let (link, job) = (s.link, job.to_owned());
            std::thread::spawn(move || {
                let client = Client::new(vec![link]);
                let of = AttemptKey::new(&job, task, 1).map_err(|e| e.to_string())?;
                let body = noise(u64::from(task));
                let mut n = 0u32;
                while u64::from(n) < chunks {
                    let count = (REQUEST as u64).min(chunks - u64::from(n)) as u32;
                    let chunk = |n| Chunk { n, at: 1, kind: Kind::Out, body: body.clone() };
                    let chunks = (n..n + count).map(chunk).collect();
                    let batch =
                        Batch { stream: StreamKey::log(of.clone()), team: "t".into(), token: 1, chunks };
                    match client.ask(link, Ask::Append { batch, stalled: 0 }) {
                        Ok(Answer::Ack(a)) if a.status == 200 => n += count,
                        Ok(Answer::Ack(a)) if matches!(a.status, 429 | 503) => {
                            std::thread::sleep(Duration::from_millis(u64::from(a.retry_ms.min(200))));
                        }
                        other => return Err(format!("{other:?}")),
                    }
                }
                Ok(())
            })
        })
        .collect();
    for w in writers {
        w.join().map_err(|_| "a writer died")??;
    }
    Ok((chunks * u64::from(WRITERS) * CHUNK as u64) as f64 / 1e6 / begun.elapsed().as_secs_f64())
}

/// Plain sequential writes with a sync after so many bytes; returns MB/s.
fn plain(folder: &Path, mib: u64, per_sync: usize) -> Result<f64, Failed> {
    let block: Vec<u8> = (0..per_sync.div_ceil(CHUNK)).flat_map(|i| noise(i as u64)).take(per_sync).collect();
    let mut file = std::fs::File::create(folder.join("plain"))?;
    let begun = Instant::now();
    let mut written = 0u64;
    while written < mib << 20 {
        file.write_all(&block)?;
        file.sync_data()?;
        written += block.len() as u64;
    }
    let rate = written as f64 / 1e6 / begun.elapsed().as_secs_f64();
    std::fs::remove_file(folder.join("plain"))?;
    Ok(rate)
}

/// What a store takes beside plain writes with as many bytes a sync, on the same disk, in turns; medians, in MB/s.
///
/// # Errors
/// If a store can't be started or refuses data.
pub fn ingest(mib: u64) -> Result<(f64, f64), Failed> {
    let folder = tempfile::tempdir()?;
    let (mut store, mut disk) = (Vec::new(), Vec::new());
    for round in 0..3 {
        let at = folder.path().join(format!("s{round}"));
        let s = alone(&at, &[])?;
        store.push(fill(&s, mib, "wk-1")?);
        let counts = status(s.http, "/v1/status").ok_or("the store does not answer")?["counts"].clone();
        let bytes = counts["bytes"].as_u64().unwrap_or(1);
        let per_sync = bytes / counts["syncs"].as_u64().unwrap_or(1).max(1);
        s.stop();
        std::fs::remove_dir_all(&at)?;
        disk.push(plain(folder.path(), mib, per_sync.max(1) as usize)?);
    }
    let median = |mut v: Vec<f64>| {
        v.sort_by(f64::total_cmp);
        v[v.len() / 2]
    };
    Ok((median(store), median(disk)))
}

/// Writes a line every few milliseconds, and follows them; each line says when it was written.
pub struct Follow {
    stop: Arc<AtomicBool>,
    writer: JoinHandle<()>,
    reader: JoinHandle<Histogram<u64>>,
}

impl Follow {
    /// Starts writer and follower.
    pub fn start(links: &[SocketAddrV4], doors: &[SocketAddrV4]) -> Follow {
        let stop = Arc::new(AtomicBool::new(false));
        let of = AttemptKey { job: format!("follow-{}", wall()), task: 0, attempt: 1 };
        let (s, links, key) = (stop.clone(), links.to_vec(), of.clone());
        let writer = std::thread::spawn(move || {
            let spool = SpoolOptions { linger: 10_000, ..SpoolOptions::default() };
            let ship = Shipper::start(
                Client::new(links),
                ShipOptions { spool, ..options(key, "lab-team", Policy::Block) },
            );
            while !s.load(Ordering::Relaxed) {
                ship.write(Kind::Out, format!("{}\n", wall()).as_bytes());
                std::thread::sleep(Duration::from_millis(25));
            }
            ship.close("done", Duration::from_secs(20));
        });
        let doors = doors.to_vec();
        let reader = std::thread::spawn(move || {
            let mut latency =
                Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("3 digits are allowed"));
            let mut r = Reader::new(doors);
            let _ = r.stream(&StreamKey::log(of), 0, true, |piece| {
                if let Piece::Chunk(c) = piece
                    && c.kind == Kind::Out
                {
                    let now = wall();
                    for at in String::from_utf8_lossy(&c.body).lines().filter_map(|l| l.parse::<u64>().ok()) {
                        let _ = latency.record(now.saturating_sub(at).max(1));
                    }
                }
                true
            });
            latency
        });
        Follow { stop, writer, reader }
    }
    /// Ends both; the median and the 99th percentile in milliseconds.
    pub fn end(self) -> (f64, f64) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.writer.join();
        match self.reader.join() {
            Ok(h) => (h.value_at_quantile(0.5) as f64 / 1e3, h.value_at_quantile(0.99) as f64 / 1e3),
            Err(_) => (f64::NAN, f64::NAN),
        }
    }
}

/// How soon a follower sees a line: of an idle store, and of one that takes half of what it can.
///
/// # Errors
/// If a store can't be started.
pub fn follow(mib: u64) -> Result<Value, Failed> {
    let folder = tempfile::tempdir()?;
    let s = alone(folder.path(), &[])?;
    let f = Follow::start(&[s.link], &[s.http]);
    std::thread::sleep(Duration::from_secs(8));
    let idle = f.end();
    let most = fill(&s, mib, "wk-1")?;
    // Half of that, for eight seconds, by several writers, since one that waits for its answers can't do it.
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let load = |task: u32| {
        let (stop, link, sent) = (stop.clone(), s.link, sent.clone());
        std::thread::spawn(move || {
            let client = Client::new(vec![link]);
            let body = noise(9);
            let begun = Instant::now();
            let of = AttemptKey { job: "wk-2".into(), task, attempt: 1 };
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                let chunks = vec![Chunk { n, at: 1, kind: Kind::Out, body: body.clone() }];
                let batch = Batch { stream: StreamKey::log(of.clone()), team: "t".into(), token: 1, chunks };
                if matches!(client.ask(link, Ask::Append { batch, stalled: 0 }), Ok(Answer::Ack(a)) if a.status == 200)
                {
                    n += 1;
                    sent.fetch_add(CHUNK as u64, Ordering::Relaxed);
                }
                let ahead =
                    sent.load(Ordering::Relaxed) as f64 / (most * 1e6 / 2.0) - begun.elapsed().as_secs_f64();
                if ahead > 0.0 {
                    std::thread::sleep(Duration::from_secs_f64(ahead));
                }
            }
        })
    };
    let loads: Vec<JoinHandle<()>> = (0..WRITERS).map(load).collect();
    let f = Follow::start(&[s.link], &[s.http]);
    std::thread::sleep(Duration::from_secs(8));
    let half = f.end();
    stop.store(true, Ordering::Relaxed);
    for l in loads {
        let _ = l.join();
    }
    s.stop();
    let load = sent.load(Ordering::Relaxed) as f64 / 1e6 / 8.0;
    Ok(json!({"store_mb_per_s": most, "load_mb_per_s": load, "idle_p50_ms": idle.0, "idle_p99_ms": idle.1,
        "half_p50_ms": half.0, "half_p99_ms": half.1}))
}

/// How long a store takes to open what it holds: with its index as a crash leaves it, and without one.
///
/// # Errors
/// If a store can't be started.
pub fn recover(mib: u64) -> Result<Value, Failed> {
    let folder = tempfile::tempdir()?;
    let s = alone(folder.path(), &[])?;
    let rate = fill(&s, mib, "wk-1")?;
    // As a crash leaves it: copied while the store runs, without its last, durable step.
    let crashed = folder.path().join("crashed");
    std::fs::create_dir(&crashed)?;
    for entry in std::fs::read_dir(folder.path())? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            std::fs::hard_link(entry.path(), crashed.join(entry.file_name()))
                .or_else(|_| std::fs::copy(entry.path(), crashed.join(entry.file_name())).map(|_| ()))?;
        }
    }
    std::fs::remove_file(crashed.join("lock"))?;
    std::fs::remove_file(crashed.join("index.redb"))?;
    std::fs::copy(folder.path().join("index.redb"), crashed.join("index.redb"))?;
    s.stop();
    let mut times = Vec::new();
    for anew in [false, true] {
        if anew {
            std::fs::remove_file(crashed.join("index.redb"))?;
        }
        let begun = Instant::now();
        let s = alone(&crashed, &[])?;
        let took = begun.elapsed().as_secs_f64();
        let found = status(s.http, "/v1/status").ok_or("no status")?["recovery"].clone();
        s.stop();
        times.push((took, found));
    }
    Ok(json!({"mib": mib, "fill_mb_per_s": rate, "after_crash_s": times[0].0, "after_crash": times[0].1,
        "without_index_s": times[1].0, "without_index": times[1].1}))
}

/// Resident memory of this process, in KiB.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// What a store holds in memory by the number of attempts that it knows. It runs in this process, so what the process
/// had before is taken off.
///
/// # Errors
/// If a store can't be started or refuses data.
pub fn memory(counts: &[u32]) -> Result<Value, Failed> {
    let folder = tempfile::tempdir()?;
    let s = alone(folder.path(), &[])?;
    let client = Client::new(vec![s.link]);
    let before = resident();
    let mut rows = Vec::new();
    let mut made = 0u32;
    for &count in counts {
        let begun = Instant::now();
        while made < count {
            let of = AttemptKey { job: format!("wk-{}", made / 1000), task: made % 1000, attempt: 1 };
            let chunk = |n, kind, body: &[u8]| Chunk { n, at: 1, kind, body: body.to_vec() };
            let chunks =
                vec![chunk(0, Kind::Out, b"one line\n"), chunk(1, Kind::Close, b"{\"why\":\"done\"}")];
            let batch = Batch { stream: StreamKey::log(of), team: "t".into(), token: 1, chunks };
            match client.ask(s.link, Ask::Append { batch, stalled: 0 })? {
                Answer::Ack(a) if a.status == 200 => made += 1,
                Answer::Ack(a) if matches!(a.status, 429 | 503) => {
                    std::thread::sleep(Duration::from_millis(20))
                }
                other => return Err(format!("{other:?}").into()),
            }
        }
        let disk: u64 =
            std::fs::read_dir(folder.path())?.flatten().filter_map(|e| Some(e.metadata().ok()?.len())).sum();
        rows.push(
            json!({"attempts": count, "resident_mib": (resident().saturating_sub(before)) as f64 / 1024.0,
            "disk_mib": disk as f64 / 1048576.0, "s": begun.elapsed().as_secs_f64()}),
        );
    }
    s.stop();
    Ok(json!(rows))
}
