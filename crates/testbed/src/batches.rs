//! The experiment on batches: splitting, reading, checking and merges of many batches, replaced at any moment by operators and
//! by runs, while merges wait, start, run and ask whether they may write, and controllers and machines are killed.
//!
//! What came of it is judged by what was on record at the revision at which each merge's attempt began, and each permit was
//! recorded, not by what controllers say.

use crate::http::lock;
use crate::local_cluster::{LocalCluster, Size, description};
use crate::worker::Script;
use crate::workload::{Change, Clock, Told, Troubles, Users, history, keep_logs, member, value_at, with};
use hazelsaddle_coordination::record::CoordinationRecord;
use hazelsaddle_freshness::batch::{Batch, Permit};
use hazelsaddle_logs::spool::Policy;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Merges must be done within this, once all troubles are over, or they are stuck.
const PATIENCE: Duration = Duration::from_secs(240);
/// A start that was decided before a newer version may come so much later; a run that supersedes is known so soon.
const BOUND: Duration = Duration::from_secs(10);
const INI: &str = "[freshness]\nsources = split, read\nmerges = merge\nrequired = split\n";

/// What came of it. The faults are 0 on every seed.
#[derive(Debug, Default, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Batches on record.
    pub batches: u64,
    /// Newer versions that were recorded.
    pub replaced: u64,
    /// Merges accepted.
    pub merges: u64,
    /// Permits given.
    pub permits: u64,
    /// Writers that were told what is old.
    pub refused: u64,
    /// Attempts of merges that were stopped, by the guard or a kill, and began again.
    pub again: u64,
    /// Attempts of merges that began on old runs, longer after the newer version than a start may take.
    pub stale_starts: u64,
    /// The same within that time.
    pub late_starts: u64,
    /// Permits recorded on old runs, or told and never recorded.
    pub stale_permits: u64,
    /// Writers told that something is old when nothing was.
    pub wrongly_refused: u64,
    /// Merges that were never done.
    pub stuck: u64,
    /// Controllers and machines killed.
    pub kills: u64,
    /// Accepted, and in the end neither done nor cancelled by its user.
    pub lost: u64,
    /// Accepted and then denied, or nobody answered for 75 s.
    pub forgotten: u64,
    /// Other rules of PROTOCOL.
    pub rules_broken: u64,
    /// The longest silence about any job.
    pub silence_s: f64,
}

impl Outcome {
    /// Whether all that must hold on every seed does.
    #[must_use]
    pub fn holds(&self) -> bool {
        let faults = self.stale_starts + self.stale_permits + self.wrongly_refused + self.stuck;
        let rules = self.lost + self.forgotten + self.rules_broken;
        faults + rules == 0 && self.merges > 0 && self.replaced > 0 && self.permits > 0
    }
}

/// One batch: its first runs and merges, when it is replaced, and its new runs.
#[derive(Clone, Debug)]
struct Plan {
    name: String,
    begins: Duration,
    /// Jobs with what follows what; submitted one after the other.
    jobs: Vec<(String, Value)>,
    /// When a newer version is named, and whether by an operator or by the first new run.
    replaced: Duration,
    by_operator: bool,
    again: Duration,
    new: Vec<(String, Value)>,
}

/// What a writer was told.
#[derive(Clone, Debug)]
struct Answer {
    job: String,
    asked: Instant,
    /// The state service's revision then.
    until: u64,
    status: u16,
    body: Value,
}

fn script(rng: &mut StdRng, from: u32, to: u32) -> Script {
    Script {
        team: "lab-team".into(),
        cpus: 1.0,
        lines: rng.random_range(from..to),
        width: 60,
        pause: Duration::from_millis(50),
        burst: 1,
        policy: Policy::Drop,
        spool: 1 << 16,
        file: 0,
    }
}

fn draw(rng: &mut StdRng, n: usize, seed: u64, town: &LocalCluster) -> Plan {
    let name = format!("batch-{n}");
    let mut count = 0;
    let mut job = |rng: &mut StdRng, class: &str, lines: (u32, u32), members: &[(&str, Value)]| {
        let id = format!("wk-{}", seed % 100_000 * 100_000 + (n * 100 + count) as u64);
        count += 1;
        let script = script(rng, lines.0, lines.1);
        let tasks = if class == "merge" { rng.random_range(1..3) } else { 1 };
        let body = with(with(description(&id, tasks, &script), &[("breed", class.into())]), members);
        lock(&town.registry.scripts).insert(id.clone(), script);
        (id, body)
    };
    let of = |version: u64| json!({"name": name, "version": version});
    let ms = |rng: &mut StdRng, from: u64, to: u64| Duration::from_millis(rng.random_range(from..to));
    let halves = rng.random_range(1..3);
    let (mut jobs, mut reads) = (Vec::new(), Vec::new());
    for _ in 0..halves {
        // Some runs say no version: they are old from the beginning.
        let says = if rng.random_bool(0.15) { vec![] } else { vec![("batch", of(1))] };
        let split = job(rng, "split", (4, 30), &says);
        let read = job(rng, "read", (4, 30), &[("batch", of(1)), ("follows", json!([split.0]))]);
        reads.push(read.0.clone());
        jobs.extend([split, read]);
    }
    let check = job(rng, "check", (4, 20), &[("follows", json!(reads))]);
    let follows = json!([check.0]);
    jobs.push(check);
    for _ in 0..rng.random_range(1..3) {
        jobs.push(job(rng, "merge", (80, 400), &[("merges", of(1)), ("follows", follows.clone())]));
    }
    let mut new = Vec::new();
    for _ in 0..halves {
        let split = job(rng, "split", (4, 30), &[("batch", of(2))]);
        let read = job(rng, "read", (4, 30), &[("batch", of(2)), ("follows", json!([split.0]))]);
        new.extend([split, read]);
    }
    let begins = ms(rng, 0, 20_000);
    Plan {
        name,
        begins,
        jobs,
        replaced: begins + ms(rng, 1_000, 24_000),
        by_operator: rng.random_bool(0.6),
        again: ms(rng, 500, 9_000),
        new,
    }
}

/// The users and the operator of a batch.
fn play(p: &Plan, users: &Arc<Users>, begun: Instant) -> Vec<JoinHandle<()>> {
    let at =
        move |after: Duration| std::thread::sleep((begun + after).saturating_duration_since(Instant::now()));
    let submit = |users: &Users, jobs: &[(String, Value)]| {
        for (id, body) in jobs {
            if let Told::No(status, why) = users.submit(id, body) {
                tracing::error!(job = id, status, why, "a submission was refused");
            }
        }
    };
    let (u, first) = (users.clone(), p.clone());
    let second = (users.clone(), p.clone());
    vec![
        std::thread::spawn(move || {
            at(first.begins);
            submit(&u, &first.jobs);
        }),
        std::thread::spawn(move || {
            let (users, p) = second;
            at(p.replaced);
            if p.by_operator {
                let put = json!({"name": p.name, "version": 2}).to_string();
                users.insist("POST", "/ops/batches", Some(&put));
                std::thread::sleep(p.again);
            }
            submit(&users, &p.new);
        }),
    ]
}

/// Running merges ask whether they may write, again and again, by way of the load balancer.
fn writers(
    town: &LocalCluster,
    users: &Arc<Users>,
    ended: &Arc<AtomicBool>,
) -> (JoinHandle<()>, Arc<Mutex<Vec<Answer>>>) {
    let told = Arc::new(Mutex::new(Vec::new()));
    let (registry, state) = (town.registry.clone(), town.state.clone());
    let (users, ended, answers) = (users.clone(), ended.clone(), told.clone());
    let ask = std::thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let running: Vec<(String, u32, u64)> = lock(&registry.ran)
                .iter()
                // Each at a moment of its own: some are stopped first, some refused.
                .filter(|r| {
                    r.end.is_none() && r.at.elapsed() >= Duration::from_millis(r.of.attempt * 977 % 6000)
                })
                .map(|r| (r.of.job.clone(), r.of.task, r.of.attempt))
                .collect();
            for (job, task, attempt) in running {
                let merges = users.of(&job).is_some_and(|a| a.body.get("merges").is_some());
                if !merges {
                    continue;
                }
                let asked = Instant::now();
                let path = format!("/v1/jobs/{job}/permit?attempt={attempt}&task={task}");
                if let Some((status, body)) = users.ask("GET", &path, None, Duration::from_secs(5)) {
                    let until = lock(&state).revision;
                    lock(&answers).push(Answer { job, asked, until, status, body });
                }
            }
            std::thread::sleep(Duration::from_millis(700));
        }
    });
    (ask, told)
}

/// Plays it.
///
/// # Errors
/// If the deployment can't be started at all.
pub fn freshness(
    program: &Path,
    seed: u64,
    machines: usize,
    kills: usize,
) -> Result<Outcome, Box<dyn std::error::Error>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let size = Size { workers: machines, operators: INI.into(), keep_all: true, ..Size::default() };
    let mut town = LocalCluster::start(program, &size)?;
    let clock = Clock::start(town.state.clone());
    let users = Users::start(town.api.clone());
    let plans: Vec<Plan> = (0..(machines / 2).max(6)).map(|n| draw(&mut rng, n, seed, &town)).collect();
    let mut troubles = Troubles::draw(&mut rng, kills, Duration::from_secs(3), Duration::from_secs(45));
    let begun = Instant::now();
    let ended = Arc::new(AtomicBool::new(false));
    let (asking, told) = writers(&town, &users, &ended);
    let players: Vec<JoinHandle<()>> = plans.iter().flat_map(|p| play(p, &users, begun)).collect();
    while !troubles.over() {
        troubles.step(&mut town)?;
        std::thread::sleep(Duration::from_millis(5));
    }
    let over = Instant::now();
    while players.iter().any(|p| !p.is_finished()) && over.elapsed() < PATIENCE {
        lock(&town.cloud).sweep();
        std::thread::sleep(Duration::from_millis(20));
    }
    let open = users.settle(PATIENCE.saturating_sub(over.elapsed()));
    if !open.is_empty() {
        tracing::error!(jobs = ?open, "not done in time");
    }
    ended.store(true, Ordering::Relaxed);
    let _ = asking.join();
    let account = users.account(&town, over);
    users.end();
    clock.end();
    let kills = u64::from(troubles.kills.0 + troubles.kills.1);
    let mut out = Outcome { seed, kills, ..Outcome::default() };
    (out.lost, out.forgotten, out.rules_broken) = (account.lost, account.forgotten, account.rules_broken);
    out.silence_s = (account.silence_s * 1000.0).round() / 1000.0;
    let told = lock(&told).clone();
    let book = Book { changes: history(&town, &["job/", "done/", "pact/b/"]), clock };
    book.judge(&town, &users, &plans, &told, &mut out);
    if !out.holds() {
        keep_logs(&town, "freshness", seed);
    }
    Ok(out)
}

/// All that was ever on record.
struct Book {
    changes: Vec<Change>,
    clock: Clock,
}

impl Book {
    fn says<'a>(&'a self, job: &str, part: &str) -> Option<&'a Value> {
        let live = format!("job/{job}");
        let first = self.changes.iter().find(|c| c.key == live)?;
        member(first.value.as_ref()?, part)
    }

    /// All that a job rests on, by what users submitted.
    fn upstream(&self, users: &Users, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![job.to_owned()];
        while let Some(id) = next.pop() {
            let body = users.of(&id).map(|a| a.body).unwrap_or_default();
            for p in body["follows"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                if found.insert(p.to_owned()) {
                    next.push(p.to_owned());
                }
            }
        }
        found
    }

    /// The version of a batch at a revision.
    fn version(&self, batch: &str, at: u64) -> u64 {
        value_at(&self.changes, &format!("pact/b/{batch}"), at)
            .and_then(|v| v["version"].as_u64())
            .unwrap_or(0)
    }

    /// How many runs a merge rests on at a revision that are old, and not made up for by a new run of their own.
    fn old(&self, users: &Users, job: &str, at: u64) -> usize {
        let body = users.of(job).map(|a| a.body).unwrap_or_default();
        let name = body["merges"]["name"].as_str().unwrap_or_default().to_owned();
        let version = self.version(&name, at);
        let needs = self.upstream(users, job);
        let read = |id: &str| {
            let says = self.says(id, "batch").filter(|b| b["name"] == name.as_str());
            says.and_then(|b| b["version"].as_u64()).unwrap_or(0)
        };
        let mut left = 0;
        for class in ["split", "read"] {
            let of_class = |id: &str| self.says(id, "breed").is_some_and(|b| b == class);
            let old = needs.iter().filter(|id| of_class(id) && read(id) < version).count();
            let done = self.changes.iter().filter(|c| c.at <= at && c.value.is_some());
            let new = done
                .filter_map(|c| c.key.strip_prefix("done/"))
                .filter(|id| !needs.contains(*id) && of_class(id) && read(id) == version);
            left += old.saturating_sub(new.count());
        }
        left
    }

    /// When a batch's present version at a revision was recorded.
    fn raised(&self, batch: &str, at: u64) -> Option<Instant> {
        let version = self.version(batch, at);
        let key = format!("pact/b/{batch}");
        let of = |c: &&Change| c.key == key && c.value.as_ref().is_some_and(|v| v["version"] == version);
        self.clock.of(self.changes.iter().find(of)?.at)
    }

    fn judge(&self, town: &LocalCluster, users: &Users, plans: &[Plan], told: &[Answer], out: &mut Outcome) {
        let merges: BTreeMap<String, String> = plans
            .iter()
            .flat_map(|p| {
                p.jobs.iter().filter(|j| j.1.get("merges").is_some()).map(|j| (j.0.clone(), p.name.clone()))
            })
            .filter(|(id, _)| users.of(id).is_some_and(|a| a.accepted.is_some()))
            .collect();
        out.merges = merges.len() as u64;
        out.stuck =
            merges.keys().filter(|id| users.of(id).is_some_and(|a| a.stance != "done")).count() as u64;
        let mut attempts: BTreeMap<(String, u32), u64> = BTreeMap::new();
        for r in lock(&town.registry.ran).iter() {
            let Some(batch) = merges.get(&r.of.job) else { continue };
            let number = attempts.entry((r.of.job.clone(), r.of.task)).or_default();
            out.again += u64::from(*number > 0);
            *number += 1;
            if self.old(users, &r.of.job, r.revision) == 0 {
                continue;
            }
            match self.raised(batch, r.revision) {
                Some(t) if r.at.saturating_duration_since(t) <= BOUND => out.late_starts += 1,
                _ => {
                    tracing::error!(attempt = %r.of, revision = r.revision, "a merge started on old runs");
                    out.stale_starts += 1;
                }
            }
        }
        let given = self.permits(users, out);
        for a in told {
            let key = (a.body["batch"].as_str().unwrap_or_default().to_owned(), a.body["fence"].as_u64());
            if a.status == 200 && given.get(&(key.0.clone(), key.1.unwrap_or(0))) != Some(&a.job) {
                tracing::error!(?a, "a permit that was never on record");
                out.stale_permits += 1;
            }
            if a.status == 409 && a.body["old"].is_array() {
                out.refused += 1;
                let before = a.asked.checked_sub(BOUND).unwrap_or(a.asked);
                let then =
                    self.changes.iter().rev().find(|c| self.clock.of(c.at).is_some_and(|t| t <= before));
                let since = then.map_or(0, |c| c.at);
                let same = self.version(&key.0, since) == self.version(&key.0, a.until);
                if same && self.old(users, &a.job, since) == 0 {
                    tracing::error!(?a, "wrongly refused");
                    out.wrongly_refused += 1;
                }
            }
        }
    }

    /// Looks at all permits that were ever recorded; returns the jobs that got them, by batch and fence.
    fn permits(&self, users: &Users, out: &mut Outcome) -> BTreeMap<(String, u64), String> {
        let mut given: BTreeMap<(String, u64), String> = BTreeMap::new();
        let mut last: BTreeMap<String, Batch> = BTreeMap::new();
        for c in self.changes.iter().filter(|c| c.key.starts_with("pact/b/")) {
            let batch = c.value.as_ref().and_then(|v| Batch::read(&CoordinationRecord::read(v).ok()?).ok());
            let Some(batch) = batch else {
                tracing::error!(key = c.key, "a batch that can't be read");
                out.rules_broken += 1;
                continue;
            };
            let name = c.key.trim_start_matches("pact/b/").to_owned();
            let before = last.insert(name.clone(), batch.clone());
            let (version, fence) = before.as_ref().map_or((batch.version, 0), |b| (b.version, b.fence));
            out.batches += u64::from(before.is_none());
            out.replaced += u64::from(batch.version > version);
            let unmarked = |p: &&Permit| {
                p.version < batch.version && !batch.outdated_writes.iter().any(|a| a.1 == p.fence)
            };
            let wrong =
                batch.version < version || batch.fence < fence || batch.permits.iter().any(|p| unmarked(&p));
            if wrong {
                tracing::error!(key = c.key, ?batch, "a batch went back, or a write is not marked");
                out.stale_permits += 1;
            }
            for p in &batch.permits {
                if given.insert((name.clone(), p.fence), p.job.clone()).is_some() {
                    continue;
                }
                out.permits += 1;
                if p.fence <= fence || p.version != batch.version || self.old(users, &p.job, c.at) > 0 {
                    tracing::error!(?p, revision = c.at, "a permit on old runs");
                    out.stale_permits += 1;
                }
            }
        }
        given
    }
}
