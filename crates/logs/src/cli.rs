//! The commands: `store`, `stores`, `logs` and `artefacts`.

use crate::chunk::{BackPressure, Chunk, Gap, Kind};
use crate::config::{StoreConfig, sample};
use crate::key::{AttemptKey, StreamKey};
use crate::members::{List, Member};
use crate::reader::{Merged, Piece, ReadError, Reader};
use crate::serve;
use clap::{Args, Subcommand};
use crossbeam_channel::{Sender, bounded};
use regex::bytes::Regex;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{IsTerminal, Write};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

/// What commands exit with.
pub mod exit {
    /// All went well.
    pub const OK: u8 = 0;
    /// It failed: no store answers, a file can't be written.
    pub const FAILED: u8 = 1;
    /// The arguments or the settings file can't be used.
    pub const USAGE: u8 = 2;
    /// There is no such job, task, attempt or file.
    pub const UNKNOWN: u8 = 3;
    /// What was read has holes, or has no end where one was expected.
    pub const INCOMPLETE: u8 = 4;
}

/// Why a command failed, and what it exits with.
#[derive(Debug)]
pub struct Failure(pub u8, pub String);

impl From<ReadError> for Failure {
    fn from(e: ReadError) -> Failure {
        let code = match e {
            ReadError::Unknown(_) => exit::UNKNOWN,
            ReadError::Missing(..) => exit::INCOMPLETE,
            _ => exit::FAILED,
        };
        Failure(code, e.to_string())
    }
}

impl From<std::io::Error> for Failure {
    fn from(e: std::io::Error) -> Failure {
        Failure(exit::FAILED, e.to_string())
    }
}

fn usage(why: impl Into<String>) -> Failure {
    Failure(exit::USAGE, why.into())
}

/// Where the stores are.
#[derive(Args, Clone, Debug)]
pub struct Stores {
    /// Reader addresses of some stores, with commas between them; they name the others.
    #[arg(long, env = "HAZELSADDLE_STORES", value_delimiter = ',', required = true, value_name = "ADDR,...")]
    stores: Vec<SocketAddrV4>,
}

/// Run a log store until it is told to end (SIGTERM or SIGINT).
#[derive(Args, Debug)]
#[command(
    after_help = "Example:\n  hazelsaddle store --sample > store-0.ini\n  hazelsaddle store --config store-0.ini"
)]
pub struct StoreArgs {
    /// The store's settings (INI).
    #[arg(long, value_name = "FILE", required_unless_present = "sample")]
    pub config: Option<String>,
    /// Print settings with all defaults and what they mean.
    #[arg(long)]
    pub sample: bool,
    /// Check the settings and end.
    #[arg(long)]
    pub check: bool,
}

/// Show and change which log stores there are.
#[derive(Subcommand, Debug)]
pub enum StoresCommand {
    /// The list in force, and how each store is.
    Show {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// One JSON document.
        #[arg(long)]
        json: bool,
    },
    /// Add a store that runs. It takes over its part of the ring in the background.
    Join {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// Its name, as in its settings.
        #[arg(long)]
        name: String,
        /// Its zone.
        #[arg(long, default_value = "")]
        zone: String,
        /// Where shippers reach it.
        #[arg(long)]
        link: SocketAddrV4,
        /// Where other stores reach it.
        #[arg(long)]
        peer: SocketAddrV4,
        /// Where readers reach it.
        #[arg(long)]
        http: SocketAddrV4,
    },
    /// Let a store hand over what it has; `show` tells when it is done.
    Leave {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// Its name.
        name: String,
    },
    /// Take a store off the list: one that has handed over everything, or whose disk is dead.
    Remove {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// Its name.
        name: String,
        /// Although it has not handed over everything.
        #[arg(long)]
        force: bool,
    },
}

/// Read what tasks wrote, also while they run.
#[derive(Args, Debug)]
#[command(
    after_help = "Examples:\n  hazelsaddle logs wk-000412 --tail 20\n  hazelsaddle logs wk-000412/3 --follow\n  \
    hazelsaddle logs wk-000412 --attempt 1 --grep 'price [0-9]+'\n\n\
    Exit codes: 0 all read, 1 no store answers, 2 wrong arguments, 3 no such log, 4 there are holes in it."
)]
pub struct LogsArgs {
    #[command(flatten)]
    at: Stores,
    /// A job, or one of its tasks: JOB or JOB/TASK.
    #[arg(required_unless_present = "search")]
    job: Option<String>,
    /// Only this attempt; without it the latest of each task.
    #[arg(long, value_name = "N")]
    attempt: Option<u64>,
    /// Wait for more, and go over to new attempts, until every task is done.
    #[arg(long, short)]
    follow: bool,
    /// Only lines written since: `90s`, `2h` ago, or a time such as `2026-12-01T03:00:00Z`.
    #[arg(long, value_name = "TIME")]
    since: Option<String>,
    /// Only the last lines of each log.
    #[arg(long, value_name = "N")]
    tail: Option<usize>,
    /// Only lines that match this regular expression.
    #[arg(long, value_name = "RE")]
    grep: Option<String>,
    /// A JSON document a line.
    #[arg(long)]
    json: bool,
    /// List the logs that have this text instead, of all jobs: whole words, letters of either case.
    #[arg(long, value_name = "TEXT", conflicts_with_all = ["follow", "tail", "since", "grep"])]
    search: Option<String>,
}

/// List and fetch the files that tasks produced.
#[derive(Subcommand, Debug)]
pub enum ArtefactsCommand {
    /// The files of a job: JOB, JOB/TASK or JOB/TASK/ATTEMPT.
    List {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// Whose files.
        job: String,
        /// A JSON document a line.
        #[arg(long)]
        json: bool,
    },
    /// Fetch a file. It appears under its name only when it is whole and its hash is right.
    Get {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        at: Stores,
        /// Whose file: JOB/TASK, or JOB/TASK/ATTEMPT.
        task: String,
        /// Its name.
        name: String,
        /// Where to write it; without this under its own name's last part, here.
        #[arg(long, short, value_name = "FILE")]
        output: Option<PathBuf>,
    },
}

/// Runs a store.
///
/// # Errors
/// What to tell the user, and the exit code.
pub fn store(args: &StoreArgs) -> Result<(), Failure> {
    if args.sample {
        print!("{}", sample());
        return Ok(());
    }
    let config = StoreConfig::load(args.config.as_deref().unwrap_or("")).map_err(|e| usage(e.to_string()))?;
    if args.check {
        println!("{config:#?}");
        return Ok(());
    }
    let running = serve::start(config).map_err(|e| Failure(exit::FAILED, e.to_string()))?;
    let stop = running.stopper();
    let mut signals =
        signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            stop();
        }
    });
    running.wait();
    Ok(())
}

fn get(store: &SocketAddrV4, path: &str) -> Result<serde_json::Value, String> {
    let r = ureq::get(&format!("http://{store}{path}")).timeout(Duration::from_secs(3)).call();
    match r {
        Ok(r) => serde_json::from_reader(r.into_reader()).map_err(|e| format!("{store}: {e}")),
        Err(ureq::Error::Status(s, r)) => {
            Err(format!("{store}: {s} {}", r.into_string().unwrap_or_default()))
        }
        Err(e) => Err(format!("{store}: {e}")),
    }
}

/// The newest list that any of these stores has, and whom to tell of another.
fn list(at: &Stores) -> Result<(List, Vec<SocketAddrV4>), Failure> {
    let mut best: Option<List> = None;
    let mut errors = Vec::new();
    for store in &at.stores {
        match get(store, "/v1/members")
            .and_then(|v| serde_json::from_value::<List>(v).map_err(|e| e.to_string()))
        {
            Ok(l) if best.as_ref().is_none_or(|b| l.replaces(b)) => best = Some(l),
            Ok(_) => {}
            Err(e) => errors.push(e),
        }
    }
    let list =
        best.ok_or_else(|| Failure(exit::FAILED, format!("no store answers: {}", errors.join("; "))))?;
    let mut all: Vec<SocketAddrV4> = list.members.iter().filter_map(|m| m.http.parse().ok()).collect();
    all.extend(at.stores.iter().filter(|s| !list.members.iter().any(|m| m.http == s.to_string())));
    Ok((list, all))
}

/// Puts another list in force: one store has to take it, and tells the others.
fn change(mut list: List, tell: &[SocketAddrV4]) -> Result<(), Failure> {
    list.version += 1;
    list.check().map_err(|e| usage(e.to_string()))?;
    let body = serde_json::to_string(&list).map_err(|e| usage(e.to_string()))?;
    let mut last = String::from("none is known");
    for store in tell {
        let put = ureq::put(&format!("http://{store}/v1/members"))
            .timeout(Duration::from_secs(3))
            .send_string(&body);
        match put {
            Ok(_) => {
                println!("list {} is in force: {} stores", list.version, list.members.len());
                return Ok(());
            }
            Err(ureq::Error::Status(409, _)) => {
                return Err(Failure(
                    exit::FAILED,
                    "somebody else has just changed the list; look again".into(),
                ));
            }
            Err(e) => last = e.to_string(),
        }
    }
    Err(Failure(exit::FAILED, format!("no store took the list: {last}")))
}

/// Shows or changes the list of stores.
///
/// # Errors
/// What to tell the user, and the exit code.
pub fn stores(command: &StoresCommand) -> Result<(), Failure> {
    match command {
        StoresCommand::Show { at, json } => {
            let (list, _) = list(at)?;
            let states: Vec<(&Member, Result<serde_json::Value, String>)> = list
                .members
                .iter()
                .map(|m| (m, m.http.parse().map_err(|_| m.http.clone()).and_then(|a| get(&a, "/v1/status"))))
                .collect();
            if *json {
                let all: Vec<_> = states
                    .iter()
                    .map(|(m, s)| serde_json::json!({"store": m, "status": s.as_ref().ok(), "error": s.as_ref().err()}))
                    .collect();
                println!("{}", serde_json::json!({"version": list.version, "stores": all}));
                return Ok(());
            }
            println!("list {}", list.version);
            println!(
                "{:<16} {:<10} {:<22} {:>10} {:>9} {:>9}  state",
                "store", "zone", "http", "MiB", "writers", "to give"
            );
            for (m, s) in states {
                let (mib, writers, give, state) = match &s {
                    Err(e) => ("-".into(), "-".into(), "-".into(), format!("does not answer: {e}")),
                    Ok(v) => {
                        let state = if v["broken"].is_string() {
                            format!("broken: {}", v["broken"])
                        } else if v["handed_over"] == true {
                            "has handed over everything".into()
                        } else if m.leaving {
                            "leaving".into()
                        } else {
                            "well".into()
                        };
                        let mib = v["used_bytes"].as_u64().unwrap_or(0) >> 20;
                        (
                            mib.to_string(),
                            v["writers"].to_string(),
                            v["to_hand_over"].as_u64().map_or("-".into(), |n| n.to_string()),
                            state,
                        )
                    }
                };
                println!(
                    "{:<16} {:<10} {:<22} {mib:>10} {writers:>9} {give:>9}  {state}",
                    m.name, m.zone, m.http
                );
            }
            Ok(())
        }
        StoresCommand::Join { at, name, zone, link, peer, http } => {
            let (mut list, tell) = list(at)?;
            if list.members.iter().any(|m| m.name == *name) {
                return Err(usage(format!("{name} is on the list already")));
            }
            get(http, "/v1/status").map_err(|e| Failure(exit::FAILED, format!("it does not answer: {e}")))?;
            list.members.push(Member {
                name: name.clone(),
                zone: zone.clone(),
                link: link.to_string(),
                peer: peer.to_string(),
                http: http.to_string(),
                leaving: false,
            });
            change(list, &tell)
        }
        StoresCommand::Leave { at, name } => {
            let (mut list, tell) = list(at)?;
            let Some(m) = list.members.iter_mut().find(|m| m.name == *name) else {
                return Err(Failure(exit::UNKNOWN, format!("{name} is not on the list")));
            };
            m.leaving = true;
            change(list, &tell)
        }
        StoresCommand::Remove { at, name, force } => {
            let (mut list, tell) = list(at)?;
            let Some(m) = list.members.iter().find(|m| m.name == *name) else {
                return Err(Failure(exit::UNKNOWN, format!("{name} is not on the list")));
            };
            let done = m.http.parse().ok().and_then(|a| get(&a, "/v1/status").ok());
            if !force && done.is_none_or(|s| s["handed_over"] != true) {
                return Err(Failure(
                    exit::FAILED,
                    format!("{name} has not handed over everything; --force all the same"),
                ));
            }
            list.members.retain(|m| m.name != *name);
            change(list, &tell)
        }
    }
}

/// What a user names: a job, perhaps a task, perhaps an attempt.
fn named(text: &str) -> Result<(String, Option<u32>, Option<u64>), Failure> {
    let bad = || usage(format!("{text:?} is not JOB, JOB/TASK or JOB/TASK/ATTEMPT"));
    let mut parts = text.split('/');
    let job = parts.next().unwrap_or("").to_owned();
    let task = parts.next().map(str::parse).transpose().map_err(|_| bad())?;
    let attempt = parts.next().map(str::parse).transpose().map_err(|_| bad())?;
    if parts.next().is_some() || !crate::key::is_id(&job) {
        return Err(bad());
    }
    Ok((job, task, attempt))
}

/// Whether an attempt is of the task and attempt that are named, if they are.
fn is_named(of: &AttemptKey, task: Option<u32>, attempt: Option<u64>) -> bool {
    task.is_none_or(|t| t == of.task) && attempt.is_none_or(|a| a == of.attempt)
}

/// `90s` ago, or a time, in microseconds.
fn since(text: &str) -> Result<u64, Failure> {
    if let Ok(ago) = humantime::parse_duration(text) {
        return Ok(serve::wall().saturating_sub(ago.as_micros() as u64));
    }
    let at = humantime::parse_rfc3339_weak(text)
        .map_err(|_| usage(format!("--since: {text:?} is neither a span such as 90s nor a time")))?;
    Ok(at.duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64))
}

/// A line of output, or a note on what is missing.
struct Line {
    of: AttemptKey,
    kind: Kind,
    at: u64,
    text: Vec<u8>,
}

/// Cuts chunks into lines. Standard output and standard error are cut apart.
struct Lines {
    of: AttemptKey,
    open: BTreeMap<Kind, (u64, Vec<u8>)>,
}

impl Lines {
    fn take(&mut self, c: Chunk, each: &mut dyn FnMut(Line)) {
        let note =
            |text: String| Line { of: self.of.clone(), kind: c.kind, at: c.at, text: text.into_bytes() };
        match c.kind {
            Kind::Out | Kind::Err => {
                for part in c.body.split_inclusive(|&b| b == b'\n') {
                    let (at, open) = self.open.entry(c.kind).or_insert_with(|| (c.at, Vec::new()));
                    if open.is_empty() {
                        *at = c.at;
                    }
                    open.extend_from_slice(part);
                    if open.last() == Some(&b'\n') {
                        open.pop();
                        each(Line { of: self.of.clone(), kind: c.kind, at: *at, text: std::mem::take(open) });
                    }
                }
            }
            Kind::Gap => {
                let g: Gap = serde_json::from_slice(&c.body).unwrap_or_default();
                each(note(format!("[{} lines ({} bytes) are missing here: {}]", g.lines, g.bytes, g.why)));
            }
            Kind::BackPressure => {
                let s: BackPressure = serde_json::from_slice(&c.body).unwrap_or_default();
                each(note(format!("[the task waited {:.1} s for its log here]", s.waited as f64 / 1e6)));
            }
            Kind::Data | Kind::Close => {}
        }
    }
    fn end(&mut self, each: &mut dyn FnMut(Line)) {
        for (kind, (at, text)) in std::mem::take(&mut self.open) {
            if !text.is_empty() {
                each(Line { of: self.of.clone(), kind, at, text });
            }
        }
    }
}

/// What is shown, and how.
struct Show {
    since: u64,
    grep: Option<Regex>,
    json: bool,
    several: bool,
}

impl Show {
    fn wants(&self, l: &Line) -> bool {
        l.at >= self.since
            && (!l.kind.is_output() || self.grep.as_ref().is_none_or(|re| re.is_match(&l.text)))
    }
    fn print(&self, out: &mut dyn Write, l: &Line) -> std::io::Result<()> {
        if self.json {
            let stream = match l.kind {
                Kind::Out => "stdout",
                Kind::Err => "stderr",
                _ => "note",
            };
            let text = String::from_utf8_lossy(&l.text);
            let line = serde_json::json!({"job": l.of.job, "task": l.of.task, "attempt": l.of.attempt, "at": l.at,
                "stream": stream, "text": text});
            return writeln!(out, "{line}");
        }
        if self.several {
            write!(out, "{} | ", l.of)?;
        }
        out.write_all(&l.text)?;
        out.write_all(b"\n")
    }
}

enum Told {
    Line(Line),
    /// A log has ended: which one, how many holes it has, and how it ended.
    End(AttemptKey, u32, String),
    Failed(AttemptKey, Failure),
}

/// Reads one log and tells its lines.
fn tell(seeds: Vec<SocketAddrV4>, of: &AttemptKey, follow: bool, tx: &Sender<Told>) {
    let mut reader = Reader::new(seeds);
    let mut lines = Lines { of: of.clone(), open: BTreeMap::new() };
    let (mut holes, mut why) = (0, String::from("open"));
    let note = |text: String| Line { of: of.clone(), kind: Kind::Gap, at: u64::MAX, text: text.into_bytes() };
    let read = reader.stream(&StreamKey::log(of.clone()), 0, follow, |piece| {
        let mut each = |l: Line| {
            let _ = tx.send(Told::Line(l));
        };
        match piece {
            Piece::Chunk(c) => {
                if c.kind == Kind::Close {
                    let close: crate::chunk::Close = serde_json::from_slice(&c.body).unwrap_or_default();
                    why = close.why;
                }
                lines.take(c, &mut each);
            }
            Piece::Missing(a, b) => {
                holes += b - a + 1;
                each(note(format!("[chunks {a} to {b} are at no store that answers]")));
            }
            Piece::End { closed, chunks, dropped } => {
                lines.end(&mut each);
                if dropped {
                    each(note("[dropped by retention]".into()));
                } else if !closed && follow {
                    let after = chunks
                        .checked_sub(1)
                        .map_or("before its first chunk".into(), |n| format!("after chunk {n}"));
                    each(note(format!("[cut off {after}: its writer is silent]")));
                }
            }
        }
        true
    });
    let _ = tx.send(match read {
        Ok(()) => Told::End(of.clone(), holes, why),
        Err(e) => Told::Failed(of.clone(), e.into()),
    });
}

/// The logs that are asked for: of each task the latest attempt, or one attempt.
fn wanted(streams: &[Merged], task: Option<u32>, attempt: Option<u64>) -> BTreeMap<u32, u64> {
    let mut found: BTreeMap<u32, u64> = BTreeMap::new();
    for s in streams.iter().filter(|s| s.key.is_log() && is_named(&s.key.of, task, attempt)) {
        let of = &s.key.of;
        let latest = found.entry(of.task).or_insert(of.attempt);
        *latest = (*latest).max(of.attempt);
    }
    found
}

/// Logs read at a time.
const AT_ONCE: usize = 64;

/// Reads logs.
///
/// # Errors
/// What to tell the user, and the exit code.
pub fn logs(args: &LogsArgs) -> Result<(), Failure> {
    let mut reader = Reader::new(args.at.stores.clone());
    let stdout = std::io::stdout();
    if let Some(text) = &args.search {
        let found = reader.search(text)?;
        for (at, chunk) in &found {
            if args.json {
                println!("{}", serde_json::json!({"at": at, "chunk": chunk}));
            } else {
                println!("{at} chunk {chunk}");
            }
        }
        return if found.is_empty() {
            Err(Failure(exit::UNKNOWN, format!("no log has {text:?}")))
        } else {
            Ok(())
        };
    }
    let (job, task, attempt) = named(args.job.as_deref().unwrap_or(""))?;
    let attempt = args.attempt.or(attempt);
    let grep = args.grep.as_deref().map(Regex::new).transpose().map_err(|e| usage(format!("--grep: {e}")))?;
    let since = args.since.as_deref().map(since).transpose()?.unwrap_or(0);
    let (streams, silent) = reader.job(&job)?;
    for s in &silent {
        eprintln!("hazelsaddle: a store does not answer: {s}");
    }
    let mut logs = wanted(&streams, task, attempt);
    if logs.is_empty() && !args.follow {
        let what = attempt.map_or(String::new(), |a| format!(", attempt {a}"));
        return Err(Failure(
            exit::UNKNOWN,
            format!("no store that answers has a log of {}{what}", args.job.as_deref().unwrap_or("")),
        ));
    }
    let show = Show { since, grep, json: args.json, several: task.is_none() };
    let (tx, rx) = bounded::<Told>(10_000);
    let mut queue: VecDeque<AttemptKey> = VecDeque::new();
    let key = |t: u32, a: u64| AttemptKey { job: job.clone(), task: t, attempt: a };
    queue.extend(logs.iter().map(|(t, a)| key(*t, *a)));
    let mut running: BTreeSet<AttemptKey> = BTreeSet::new();
    let mut done: BTreeMap<u32, String> = BTreeMap::new();
    let mut tails: BTreeMap<AttemptKey, VecDeque<Line>> = BTreeMap::new();
    let mut holes = 0;
    let mut looked = std::time::Instant::now();
    loop {
        // Attempts of one task are shown one after the other.
        while running.len() < AT_ONCE
            && let Some(at) = queue.iter().position(|of| !running.iter().any(|r| r.task == of.task))
            && let Some(of) = queue.remove(at)
        {
            running.insert(of.clone());
            let (seeds, tx, follow) = (args.at.stores.clone(), tx.clone(), args.follow);
            std::thread::spawn(move || tell(seeds, &of, follow, &tx));
        }
        match rx.recv_timeout(Duration::from_millis(200)) {
            Ok(Told::Line(l)) => {
                if !show.wants(&l) {
                    continue;
                }
                match args.tail {
                    // What comes after the end of what there is now is shown at once.
                    Some(n) if !args.follow => {
                        let t = tails.entry(l.of.clone()).or_default();
                        t.push_back(l);
                        if t.len() > n {
                            t.pop_front();
                        }
                    }
                    _ => show.print(&mut stdout.lock(), &l)?,
                }
            }
            Ok(Told::End(of, missing, why)) => {
                running.remove(&of);
                holes += missing;
                for l in tails.remove(&of).unwrap_or_default() {
                    show.print(&mut stdout.lock(), &l)?;
                }
                done.insert(of.task, why);
            }
            Ok(Told::Failed(of, e)) => return Err(Failure(e.0, format!("{of}: {}", e.1))),
            Err(_) => stdout.lock().flush()?,
        }
        if !args.follow {
            if running.is_empty() && queue.is_empty() {
                break;
            }
            continue;
        }
        // New tasks and new attempts; a task that is done has no other.
        if looked.elapsed() >= Duration::from_millis(500) {
            looked = std::time::Instant::now();
            if let Ok((streams, _)) = reader.job(&job) {
                // Every attempt behind the one that is shown, in order: some may have come and gone since the last look.
                let mut new: Vec<(u32, u64)> = streams
                    .iter()
                    .filter(|s| s.key.is_log() && is_named(&s.key.of, task, attempt))
                    .map(|s| (s.key.of.task, s.key.of.attempt))
                    .filter(|(t, a)| logs.get(t).is_none_or(|have| have < a))
                    .collect();
                new.sort_unstable();
                for (t, a) in new {
                    logs.insert(t, a);
                    done.remove(&t);
                    queue.push_back(key(t, a));
                }
            }
            let over = |t: &u32| attempt.is_some() || done.get(t).is_some_and(|why| why == "done");
            if running.is_empty() && queue.is_empty() && !logs.is_empty() && logs.keys().all(over) {
                break;
            }
        }
    }
    stdout.lock().flush()?;
    match holes {
        0 => Ok(()),
        n => Err(Failure(exit::INCOMPLETE, format!("{n} chunks are at no store that answers"))),
    }
}

/// Lists and fetches files.
///
/// # Errors
/// What to tell the user, and the exit code.
pub fn artefacts(command: &ArtefactsCommand) -> Result<(), Failure> {
    match command {
        ArtefactsCommand::List { at, job, json } => {
            let (job, task, attempt) = named(job)?;
            let mut reader = Reader::new(at.stores.clone());
            let (streams, silent) = reader.job(&job)?;
            for s in &silent {
                eprintln!("hazelsaddle: a store does not answer: {s}");
            }
            let files: Vec<&Merged> = streams
                .iter()
                .filter(|s| !s.key.is_log() && s.state == "closed" && is_named(&s.key.of, task, attempt))
                .collect();
            if !*json && !files.is_empty() {
                println!("{:<28} {:>14}  {:<16}  name", "attempt", "bytes", "blake3");
            }
            for f in &files {
                let end = f.end.clone().unwrap_or_default();
                if *json {
                    println!(
                        "{}",
                        serde_json::json!({"at": f.at, "name": f.name, "size": end.size, "hash": end.hash})
                    );
                } else {
                    let hash: String = end.hash.unwrap_or_default().chars().take(16).collect();
                    println!("{:<28} {:>14}  {hash:<16}  {}", f.at, end.size.unwrap_or(0), f.name);
                }
            }
            if files.is_empty() {
                Err(Failure(exit::UNKNOWN, format!("no store that answers has files of {job}")))
            } else {
                Ok(())
            }
        }
        ArtefactsCommand::Get { at, task, name, output } => {
            let (job, Some(number), attempt) = named(task)? else {
                return Err(usage(format!("{task:?} is not JOB/TASK or JOB/TASK/ATTEMPT")));
            };
            let mut reader = Reader::new(at.stores.clone());
            let (streams, _) = reader.job(&job)?;
            let found = streams
                .iter()
                .filter(|s| {
                    s.name == *name && s.state == "closed" && is_named(&s.key.of, Some(number), attempt)
                })
                .max_by_key(|s| s.key.of.attempt);
            let Some(found) = found else {
                return Err(Failure(exit::UNKNOWN, format!("no store that answers has {name} of {task}")));
            };
            let last = name.rsplit('/').next().unwrap_or(name);
            let into = output.clone().unwrap_or_else(|| PathBuf::from(last));
            let bar = match std::io::stderr().is_terminal() {
                true => indicatif::ProgressBar::new(found.end.as_ref().and_then(|e| e.size).unwrap_or(0)),
                false => indicatif::ProgressBar::hidden(),
            };
            if let Ok(style) = indicatif::ProgressStyle::with_template(
                "{bar:40} {bytes}/{total_bytes} {bytes_per_sec} {eta}",
            ) {
                bar.set_style(style);
            }
            let end = reader.fetch(&found.key, &into, |n, _| bar.set_position(n))?;
            bar.finish_and_clear();
            eprintln!(
                "{} of {}: {} bytes, blake3 {}",
                name,
                found.at,
                end.size.unwrap_or(0),
                end.hash.unwrap_or_default()
            );
            Ok(())
        }
    }
}
