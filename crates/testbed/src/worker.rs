//! A machine's worker: reports to the controllers, runs scripted tasks that write known output, ships it.

use crate::http::lock;
use hazelsaddle_logs::chunk::Kind;
use hazelsaddle_logs::client::Client;
use hazelsaddle_logs::key::AttemptKey;
use hazelsaddle_logs::shipper::{ShipOptions, Shipped, Shipper};
use hazelsaddle_logs::spool::{Policy, SpoolOptions};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What the tasks of a job do.
#[derive(Clone, Debug)]
pub struct Script {
    /// Its team.
    pub team: String,
    /// Processors a task.
    pub cpus: f64,
    /// Lines a task writes.
    pub lines: u32,
    /// Bytes of a line.
    pub width: usize,
    /// Pause between two bursts of lines, and lines a burst.
    pub pause: Duration,
    /// See `pause`.
    pub burst: u32,
    /// What to do while storage is slow.
    pub policy: Policy,
    /// Bytes of output that may wait.
    pub spool: usize,
    /// Bytes of the file that a task leaves at its end; 0: none.
    pub file: usize,
}

/// What an attempt wrote, and what its shipper says became of it.
#[derive(Clone, Debug)]
pub struct Written {
    /// Lines that the task wrote.
    pub lines: u32,
    /// What its shipper said last.
    pub shipped: Shipped,
    /// How it ended; None: its machine was killed.
    pub end: Option<String>,
    /// Files that were kept: name, size and hash.
    pub files: Vec<(String, u64, String)>,
}

/// An attempt of a task, as it ran.
#[derive(Clone, Debug)]
pub struct Ran {
    /// Its job, task and attempt.
    pub of: AttemptKey,
    /// When it was started, and the state service's revision then.
    pub at: Instant,
    /// See `at`.
    pub revision: u64,
    /// When it ended, and whether it was done.
    pub end: Option<(Instant, bool)>,
}

/// What workers share: scripts, stores, and the account of all attempts.
pub struct Registry {
    /// Scripts by job.
    pub scripts: Mutex<BTreeMap<String, Script>>,
    /// What all attempts wrote.
    pub written: Mutex<BTreeMap<AttemptKey, Written>>,
    /// All attempts that ran.
    pub ran: Mutex<Vec<Ran>>,
    /// The state service's revision.
    pub revision: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Shipper addresses of the stores; none: tasks write nothing.
    pub stores: Vec<SocketAddrV4>,
    /// For files before they are shipped.
    pub scratch: PathBuf,
    /// Seconds between reports, and a worker's lease.
    pub report: Duration,
    /// See `report`.
    pub lease: Duration,
}

/// A line of a task's output: its attempt, its number, and filling that follows from both.
pub fn line(of: &AttemptKey, n: u32, width: usize) -> String {
    let head = format!("{of} {n} ");
    let fill = width.saturating_sub(head.len() + 1);
    let letter = char::from(b'a' + (n % 26) as u8);
    format!("{head}{}\n", letter.to_string().repeat(fill))
}

struct Task {
    state: &'static str,
    cause: Option<&'static str>,
    stop: Arc<AtomicBool>,
    /// Set by the task's thread at its end.
    ended: Arc<Mutex<Option<&'static str>>>,
    shipper: Slot,
    cpus: f64,
}

/// A task's shipper, once it has one.
type Slot = Arc<Mutex<Option<Arc<Shipper>>>>;

struct Inner {
    tasks: BTreeMap<(String, u64), Task>,
    drain_until: Option<Instant>,
}

/// A worker that runs in threads of this process.
pub struct Worker {
    dead: Arc<AtomicBool>,
    inner: Arc<Mutex<Inner>>,
}

impl Worker {
    /// A machine that boots, and then reports to the controllers.
    pub fn start(
        name: &str,
        zone: &str,
        boot: Duration,
        controllers: Vec<(String, SocketAddrV4)>,
        registry: Arc<Registry>,
    ) -> Worker {
        let dead = Arc::new(AtomicBool::new(false));
        let inner = Arc::new(Mutex::new(Inner { tasks: BTreeMap::new(), drain_until: None }));
        let (d, i) = (dead.clone(), inner.clone());
        let (name, zone) = (name.to_owned(), zone.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(boot);
            let client = Client::new(registry.stores.clone());
            report_loop(&name, &zone, &controllers, &registry, &client, &d, &i);
        });
        Worker { dead, inner }
    }
    /// The machine loses power.
    pub fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
        for t in lock(&self.inner).tasks.values() {
            t.stop.store(true, Ordering::Relaxed);
            if let Some(s) = lock(&t.shipper).as_ref() {
                s.abort();
            }
        }
    }
    /// The machine will be taken away.
    pub fn drain(&self, notice: Duration) {
        lock(&self.inner).drain_until.get_or_insert(Instant::now() + notice);
    }
    /// Whether its notice has run out.
    pub fn is_over(&self) -> bool {
        lock(&self.inner).drain_until.is_some_and(|at| Instant::now() >= at)
    }
}

#[allow(clippy::too_many_arguments)]
fn report_loop(
    name: &str,
    zone: &str,
    controllers: &[(String, SocketAddrV4)],
    registry: &Arc<Registry>,
    client: &Arc<Client>,
    dead: &Arc<AtomicBool>,
    inner: &Arc<Mutex<Inner>>,
) {
    let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(4)).redirects(0).build();
    let (mut target, mut session, mut seq) = (0usize, 1u64, 0u64);
    let token = Arc::new(AtomicU64::new(0));
    let mut answered = Instant::now();
    let mut last = String::new();
    while !dead.load(Ordering::Relaxed) {
        if answered.elapsed() > registry.lease {
            // The lease has run out: all tasks are killed and forgotten.
            let mut inner = lock(inner);
            for t in inner.tasks.values() {
                t.stop.store(true, Ordering::Relaxed);
            }
            inner.tasks.clear();
            session += 1;
            answered = Instant::now();
        }
        seq += 1;
        let (tasks, notice) = {
            let mut inner = lock(inner);
            let mut tasks = Vec::new();
            for ((task, attempt), t) in &mut inner.tasks {
                if let Some(cause) = *lock(&t.ended) {
                    (t.state, t.cause) = ("ended", Some(cause));
                }
                let mut v = json!({"stride": task, "mount": attempt, "stance": t.state});
                if let Some(c) = t.cause {
                    v["cause"] = c.into();
                }
                tasks.push(v);
            }
            let left = inner.drain_until.map(|at| at.saturating_duration_since(Instant::now()).as_secs_f64());
            (tasks, left)
        };
        let report = json!({"stall": name, "addr": "127.0.0.1:9", "stallKind": "m4", "paddock": zone, "borrowed": false,
            "ride": session, "hoofbeat": seq, "rein": token.load(Ordering::Relaxed), "whistleS": notice, "strides": tasks});
        let sent = Instant::now();
        let (at, addr) = &controllers[target % controllers.len()];
        let answer = agent.post(&format!("http://{addr}/hello")).send_string(&report.to_string());
        match answer {
            Ok(r) => {
                let body: Value = crate::http::body(r);
                let given = body["rein"].as_u64().unwrap_or(0);
                if given >= token.load(Ordering::Relaxed) && sent.elapsed() < Duration::from_secs(4) {
                    token.store(given, Ordering::Relaxed);
                    answered = sent;
                    for c in body["calls"].as_array().into_iter().flatten() {
                        command(c, registry, client, dead, inner);
                    }
                }
            }
            Err(ureq::Error::Status(421, r)) => {
                let body: Value = crate::http::body(r);
                let to = controllers
                    .iter()
                    .position(|c| Some(c.0.as_str()) == body["rider"].as_str() && c.0 != *at);
                match to {
                    Some(to) => target = to,
                    None => {
                        target += 1;
                        std::thread::sleep(Duration::from_millis(500));
                    }
                }
                continue;
            }
            Err(_) => {
                target += 1;
                std::thread::sleep(Duration::from_millis(300));
                continue;
            }
        }
        // Until the next report, or a change.
        let until = sent + registry.report;
        loop {
            std::thread::sleep(Duration::from_millis(50));
            let now: String = lock(inner)
                .tasks
                .values()
                .map(|t| if lock(&t.ended).is_some() { 'e' } else { 'r' })
                .collect();
            let changed = now != last && sent.elapsed() >= Duration::from_millis(500);
            if changed || Instant::now() >= until || dead.load(Ordering::Relaxed) {
                last = now;
                break;
            }
        }
    }
}

fn command(
    c: &Value,
    registry: &Arc<Registry>,
    client: &Arc<Client>,
    dead: &Arc<AtomicBool>,
    inner: &Arc<Mutex<Inner>>,
) {
    let (Some(task), Some(attempt)) = (c["stride"].as_str(), c["mount"].as_u64()) else { return };
    let key = (task.to_owned(), attempt);
    let mut held = lock(inner);
    match c["call"].as_str() {
        Some("run") if !held.tasks.contains_key(&key) => {
            let (job, number) = task.rsplit_once('/').unwrap_or((task, "0"));
            let script = lock(&registry.scripts).get(job).cloned();
            let stop = Arc::new(AtomicBool::new(false));
            let ended = Arc::new(Mutex::new(None));
            let busy = held.tasks.keys().any(|k| k.0 == task);
            let used: f64 = held.tasks.values().filter(|t| lock(&t.ended).is_none()).map(|t| t.cpus).sum();
            let cpus = script.as_ref().map_or(0.0, |s| s.cpus);
            let of = AttemptKey::new(job, number.parse().unwrap_or(0), attempt);
            let refused = match (&script, &of) {
                (None, _) | (_, Err(_)) => Some("unknown"),
                _ if busy => Some("busy"),
                _ if used + cpus > f64::from(crate::cloud::CPUS) => Some("no_room"),
                _ => None,
            };
            *lock(&ended) = refused;
            let shipper = Slot::default();
            let task = Task {
                state: "running",
                cause: None,
                stop: stop.clone(),
                ended: ended.clone(),
                shipper: shipper.clone(),
                cpus,
            };
            held.tasks.insert(key, task);
            if let (None, Some(script), Ok(of)) = (refused, script, of) {
                let (registry, client, dead, inner) =
                    (registry.clone(), client.clone(), dead.clone(), inner.clone());
                let number = {
                    let ran = Ran {
                        of: of.clone(),
                        at: Instant::now(),
                        revision: (registry.revision)(),
                        end: None,
                    };
                    let mut all = lock(&registry.ran);
                    all.push(ran);
                    all.len() - 1
                };
                std::thread::spawn(move || {
                    let cause = run(&of, &script, &registry, client, &stop, &dead, &inner, &shipper);
                    lock(&registry.ran)[number].end = Some((Instant::now(), cause == "done"));
                    *lock(&ended) = Some(cause);
                });
            }
        }
        Some("kill") => {
            if let Some(t) = held.tasks.get(&key) {
                t.stop.store(true, Ordering::Relaxed);
            }
        }
        Some("forget") if held.tasks.get(&key).is_some_and(|t| lock(&t.ended).is_some()) => {
            held.tasks.remove(&key);
        }
        _ => {}
    }
}

/// Runs a task to its end; says how it ended.
#[allow(clippy::too_many_arguments)]
fn run(
    of: &AttemptKey,
    script: &Script,
    registry: &Registry,
    client: Arc<Client>,
    stop: &AtomicBool,
    dead: &AtomicBool,
    inner: &Mutex<Inner>,
    slot: &Slot,
) -> &'static str {
    if registry.stores.is_empty() {
        let mut n = 0;
        while n < script.lines && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(script.pause);
            n += script.burst;
        }
        let done = n >= script.lines && !dead.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed);
        return if done { "done" } else { "stopped" };
    }
    let spool = SpoolOptions { policy: script.policy, bytes: script.spool, chunk: 16 << 10, linger: 50_000 };
    let token = of.place() ^ 0x5eed;
    let s = Arc::new(Shipper::start(
        client,
        ShipOptions { of: of.clone(), team: script.team.clone(), token, spool },
    ));
    *lock(slot) = Some(s.clone());
    let note = |lines: u32, end: Option<&str>, s: &Shipper, files: Vec<(String, u64, String)>| {
        let w = Written { lines, shipped: s.status(), end: end.map(str::to_owned), files };
        lock(&registry.written).insert(of.clone(), w);
    };
    let mut n = 0;
    while n < script.lines && !stop.load(Ordering::Relaxed) {
        for _ in 0..script.burst.min(script.lines - n) {
            // One task in a handful of lines writes to standard error.
            let kind = if n % 7 == 3 { Kind::Err } else { Kind::Out };
            s.write(kind, line(of, n, script.width).as_bytes());
            n += 1;
        }
        std::thread::sleep(script.pause);
    }
    if dead.load(Ordering::Relaxed) {
        // No power: nothing is said any more.
        note(n, None, &s, Vec::new());
        return "error";
    }
    let left = || {
        let until = lock(inner).drain_until;
        until.map_or(Duration::from_secs(60), |at| at.saturating_duration_since(Instant::now()))
    };
    let done = n == script.lines;
    let mut files = Vec::new();
    if done && script.file > 0 {
        let name = format!("out/{}-{}.bin", of.job, of.task);
        let path = registry.scratch.join(format!("{}-{}-{}", of.job, of.task, of.attempt));
        let mut x = of.place();
        let content: Vec<u8> = (0..script.file)
            .map(|_| {
                x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (x >> 56) as u8
            })
            .collect();
        if std::fs::write(&path, &content).is_ok()
            && let Ok((size, hash)) = s.put_file(&name, &path, left().min(Duration::from_secs(30)))
        {
            files.push((name, size, hash));
        }
        let _ = std::fs::remove_file(&path);
    }
    if dead.load(Ordering::Relaxed) {
        note(n, None, &s, files);
        return "error";
    }
    let draining = lock(inner).drain_until.is_some();
    let end = if done {
        "done"
    } else if draining {
        "drained"
    } else {
        "stopped"
    };
    s.close(end, left().saturating_sub(Duration::from_millis(300)).max(Duration::from_millis(200)));
    note(n, Some(end), &s, files);
    if done { "done" } else { "stopped" }
}
