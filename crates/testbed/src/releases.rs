//! The experiment on releases: rebuilds, renders and rotations of many titles, closed by count, by calendar and by operators,
//! some of whose renders come too late or are cancelled, while controllers and machines are killed.
//!
//! What came of it is judged by what was on record at the revision at which each rotation's task began, not by what
//! controllers say.

use crate::http::lock;
use crate::local_cluster::{LocalCluster, Size, description};
use crate::worker::{Ran, Script};
use crate::workload::{
    Change, Clock, Told, Troubles, Users, history, keep_logs, member, quantile, value_at, with,
};
use hazelsaddle_coordination::record::{CoordinationRecord, Phase};
use hazelsaddle_logs::spool::Policy;
use hazelsaddle_release::release_record::{ClosedBy, Release, read_member_pages};
use jiff::{SignedDuration, Timestamp, ToSpan, tz::TimeZone};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Releases whose rotations must have started within this, once all troubles are over, are held for ever.
const PATIENCE: Duration = Duration::from_secs(240);
/// A night began so long before its renders are due.
const NIGHT: SignedDuration = SignedDuration::from_hours(3);
/// The slowest releases may take so long.
const MOST_S: f64 = 5.0;

/// What came of it. The middle ones are 0 on every seed.
#[derive(Debug, Default, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Sets whose rotation started.
    pub releases: u64,
    /// Renders accepted.
    pub renders: u64,
    /// Rotations that started.
    pub rotations: u64,
    /// Renders refused since their set was closed.
    pub refused_late: u64,
    /// Renders cancelled, and waivers on record.
    pub cancelled: u64,
    /// See `cancelled`.
    pub waived: u64,
    /// Rotations whose task started before their set was closed and that was on record.
    pub early: u64,
    /// Rotations whose task started before some accepted render or rebuild was done on record, or waived there.
    pub unrecorded: u64,
    /// Renders that were accepted after their set was closed, or are not among its members.
    pub joined_late: u64,
    /// Rotations that never started.
    pub held_for_ever: u64,
    /// Accepted, and in the end neither done nor cancelled by its user.
    pub lost: u64,
    /// Accepted and then denied, or nobody answered for 75 s.
    pub forgotten: u64,
    /// Other rules of PROTOCOL.
    pub rules_broken: u64,
    /// Controllers and machines killed.
    pub kills: u64,
    /// From the last thing that a rotation waits for to its first task: the last render on record; for sets closed by the
    /// calendar or an operator the close, if that came later; a waiver.
    pub release_p99_s: f64,
    /// The longest silence about any job.
    pub silence_s: f64,
}

impl Outcome {
    /// Whether all that must hold on every seed does.
    #[must_use]
    pub fn holds(&self) -> bool {
        let faults = self.early + self.unrecorded + self.joined_late + self.held_for_ever;
        let rules = self.lost + self.forgotten + self.rules_broken;
        faults + rules == 0 && self.rotations > 0 && self.renders > 0 && self.release_p99_s <= MOST_S
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    Count,
    Calendar,
    Operator,
}

/// What is asked for one title.
#[derive(Clone, Debug)]
struct Title {
    name: String,
    night: String,
    closing: Closing,
    begins: Duration,
    /// The job ids: rebuild, renders, renders that come too late or race the close, rotation.
    rebuild: (String, Script),
    renders: Vec<(String, u32, Script, Duration)>,
    late: Vec<(String, u32, Script)>,
    rotation: (String, Script, Duration),
    cancels: Option<usize>,
}

fn script(rng: &mut StdRng, most: u32) -> Script {
    Script {
        team: "lab-team".into(),
        cpus: 1.0,
        lines: rng.random_range(4..most),
        width: 60,
        pause: Duration::from_millis(50),
        burst: 1,
        policy: Policy::Drop,
        spool: 1 << 16,
        file: 0,
    }
}

fn draw(rng: &mut StdRng, n: usize, seed: u64, due: [Timestamp; 2]) -> Title {
    let closing = [Closing::Count, Closing::Operator, Closing::Calendar][n % 3];
    let (prefix, due) = match closing {
        Closing::Calendar => ("due", due[0]),
        _ => ("long", due[1]),
    };
    let id = |k: usize| format!("wk-{}", seed % 100_000 * 100_000 + (n * 100 + k) as u64);
    let ms = |rng: &mut StdRng, to: u64| Duration::from_millis(rng.random_range(0..to));
    let renders = rng.random_range(2..6);
    Title {
        name: format!("{prefix}-{n}"),
        night: (due - NIGHT).to_zoned_datetime(TimeZone::UTC).date().to_string(),
        closing,
        begins: ms(rng, 20_000),
        rebuild: (id(0), script(rng, 30)),
        renders: (0..renders)
            .map(|r| (id(1 + r), rng.random_range(1..4), script(rng, 80), ms(rng, 6000)))
            .collect(),
        late: (0..2).map(|r| (id(50 + r), 1, script(rng, 20))).collect(),
        rotation: (id(99), script(rng, 12), ms(rng, 9000)),
        cancels: rng.random_bool(0.3).then(|| rng.random_range(0..renders)),
    }
}

/// A calendar under which a night is open now, until renders are due at a full minute some time from now.
fn calendar(name: &str, title: &str, due: Timestamp) -> String {
    let at = |t: Timestamp| t.to_zoned_datetime(TimeZone::UTC).strftime("%H:%M").to_string();
    format!(
        "[calendar {name}]\ntitle = {title}\nzone = UTC\nnight_begins = {}\nrenders_due = {}\nrotation_due = {}\n\n",
        at(due - NIGHT),
        at(due),
        at(due + 1.minute())
    )
}

/// Plays it.
///
/// # Errors
/// If the deployment can't be started at all.
pub fn releases(
    program: &Path,
    seed: u64,
    machines: usize,
    kills: usize,
) -> Result<Outcome, Box<dyn std::error::Error>> {
    let mut rng = StdRng::seed_from_u64(seed);
    let due = [Timestamp::now() + 110.seconds(), Timestamp::now() + 2.hours()];
    let operators = calendar("soon", "due-*", due[0]) + &calendar("long", "long-*", due[1]);
    let size = Size { workers: machines, operators, keep_all: true, ..Size::default() };
    let mut town = LocalCluster::start(program, &size)?;
    let clock = Clock::start(town.state.clone());
    let users = Users::start(town.api.clone());
    let titles: Vec<Title> = (0..(machines / 2).max(6)).map(|n| draw(&mut rng, n, seed, due)).collect();
    let mut troubles = Troubles::draw(&mut rng, kills, Duration::from_secs(3), Duration::from_secs(45));
    let begun = Instant::now();
    let mut players: Vec<JoinHandle<()>> = Vec::new();
    for t in &titles {
        let scripts = [(&t.rebuild.0, &t.rebuild.1), (&t.rotation.0, &t.rotation.1)];
        let renders = t.renders.iter().map(|r| (&r.0, &r.2)).chain(t.late.iter().map(|r| (&r.0, &r.2)));
        for (id, s) in scripts.into_iter().chain(renders) {
            lock(&town.registry.scripts).insert(id.clone(), s.clone());
        }
        players.extend(play(t, &users, begun));
    }
    while !troubles.over() {
        troubles.step(&mut town)?;
        std::thread::sleep(Duration::from_millis(5));
    }
    let over = Instant::now();
    while players.iter().any(|p| !p.is_finished()) && over.elapsed() < PATIENCE {
        lock(&town.cloud).sweep();
        std::thread::sleep(Duration::from_millis(20));
    }
    let open = users.settle(Duration::from_secs(60));
    if !open.is_empty() {
        tracing::error!(jobs = ?open, "not done in time");
    }
    let account = users.account(&town, over);
    users.end();
    clock.end();
    let mut out =
        Outcome { seed, kills: u64::from(troubles.kills.0 + troubles.kills.1), ..Outcome::default() };
    (out.lost, out.forgotten, out.rules_broken) = (account.lost, account.forgotten, account.rules_broken);
    out.silence_s = (account.silence_s * 1000.0).round() / 1000.0;
    judge(&town, &users, &titles, &clock, &mut out);
    if !out.holds() {
        keep_logs(&town, "releases", seed);
    }
    Ok(out)
}

/// The users and the operator of a title, each with a clock of its own.
fn play(t: &Title, users: &Arc<Users>, begun: Instant) -> Vec<JoinHandle<()>> {
    let at =
        move |after: Duration| std::thread::sleep((begun + after).saturating_duration_since(Instant::now()));
    let says = |stage: &str| json!({"title": t.name, "stage": stage});
    let mut threads = Vec::new();
    let mut rebuild = says("rebuild");
    if t.closing == Closing::Count {
        rebuild["expects"] = t.renders.len().into();
    }
    let (id, script) = &t.rebuild;
    let first = (id.clone(), with(description(id, 1, script), &[("release", rebuild)]));
    let mut rest: Vec<(Duration, String, Value, bool)> = Vec::new();
    for (n, (id, tasks, script, after)) in t.renders.iter().enumerate() {
        let mut job = with(description(id, *tasks, script), &[("release", says("render"))]);
        if n % 2 == 0 {
            job["follows"] = json!([t.rebuild.0]);
        }
        rest.push((t.begins + *after, id.clone(), job, t.cancels == Some(n)));
    }
    let (id, script, after) = &t.rotation;
    let rotation = with(description(id, 1, script), &[("release", says("rotation"))]);
    rest.push((t.begins + *after, id.clone(), rotation, false));
    let (users, title, begins) = (users.clone(), t.clone(), t.begins);
    threads.push(std::thread::spawn(move || {
        at(begins);
        users.submit(&first.0, &first.1);
        let others: Vec<JoinHandle<()>> = rest
            .into_iter()
            .map(|(after, id, job, cancel)| {
                let users = users.clone();
                std::thread::spawn(move || {
                    at(after);
                    if users.submit(&id, &job) == Told::Yes && cancel {
                        std::thread::sleep(Duration::from_millis(300));
                        users.cancel(&id);
                    }
                })
            })
            .collect();
        // Renders race the close: whoever loses is refused.
        if title.closing != Closing::Calendar {
            for o in others {
                let _ = o.join();
            }
        }
        operate(&title, &users);
    }));
    threads
}

/// An operator: closes the set if that is theirs to do, and does without what was cancelled.
fn operate(t: &Title, users: &Arc<Users>) {
    // A count that a cancelled render leaves short is never reached.
    let by_hand = t.closing == Closing::Operator || (t.closing == Closing::Count && t.cancels.is_some());
    let late: Vec<JoinHandle<()>> = t
        .late
        .iter()
        .cloned()
        .map(|(id, tasks, script)| {
            let (users, name, wait) = (users.clone(), (t.name.clone(), t.night.clone()), t.closing);
            std::thread::spawn(move || {
                if wait != Closing::Operator {
                    // Until the set is closed; one that comes before joins it.
                    let _ = until(&users, (&name.0, &name.1), |v| v["state"] != "open");
                }
                let says = json!({"title": name.0, "night": name.1, "stage": "render"});
                users.submit(&id, &with(description(&id, tasks, &script), &[("release", says)]));
            })
        })
        .collect();
    if by_hand {
        let close = json!({"title": t.name, "night": t.night}).to_string();
        users.insist("POST", "/ops/releases/close", Some(&close));
    }
    for l in late {
        let _ = l.join();
    }
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        let Some(shown) =
            until(users, (&t.name, &t.night), |v| v["state"] != "open" && v["state"] != "closing")
        else {
            return;
        };
        if shown["state"] == "rotated" {
            return;
        }
        let waits = shown["waits_for"].as_array().cloned().unwrap_or_default();
        // All others end by themselves.
        let without = waits.iter().find_map(|w| match w["cause"].as_str() {
            Some("cancelled") => w["job"].as_str(),
            Some("missing" | "no_render") if waits.len() == 1 => Some("missing"),
            _ => None,
        });
        if let Some(job) = without {
            let waive = json!({"title": t.name, "night": t.night, "job": job, "why": "not needed tonight"})
                .to_string();
            users.insist("POST", "/ops/releases/waive", Some(&waive));
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Asks until a release is shown as wanted.
fn until(users: &Users, (title, night): (&str, &str), good: impl Fn(&Value) -> bool) -> Option<Value> {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        match users.ask("GET", &format!("/ops/releases/{title}?night={night}"), None, Duration::from_secs(9))
        {
            Some((200, v)) if good(&v) => return Some(v),
            _ => std::thread::sleep(Duration::from_millis(300)),
        }
    }
    tracing::error!(title, "a release never got there");
    None
}

/// What records say of one set.
struct Set {
    key: String,
    /// Its states on record: revision, phase and body.
    states: Vec<(u64, Phase, Release)>,
    last: CoordinationRecord,
}

fn sets(changes: &[Change]) -> BTreeMap<String, Set> {
    let mut out: BTreeMap<String, Set> = BTreeMap::new();
    for c in changes.iter().filter(|c| c.key.starts_with("pact/r/")) {
        let Some(Ok(record)) = c.value.as_ref().map(CoordinationRecord::read) else { continue };
        let Ok(body) = Release::read(&record) else { continue };
        let state = (c.at, record.phase, body);
        let set = out.entry(state.2.title.clone()).or_insert_with(|| Set {
            key: c.key.clone(),
            states: Vec::new(),
            last: record.clone(),
        });
        set.states.push(state);
        set.last = record;
    }
    out
}

fn judge(town: &LocalCluster, users: &Users, titles: &[Title], clock: &Clock, out: &mut Outcome) {
    let changes = history(town, &["job/", "done/", "pact/r/", "pactpage/r/"]);
    let sets = sets(&changes);
    let joined = joined(&changes);
    let ran = lock(&town.registry.ran).clone();
    let mut took = Vec::new();
    for t in titles {
        let none = BTreeMap::new();
        let members_of = joined.get(&t.name).unwrap_or(&none);
        out.renders += members_of.values().filter(|(_, render)| *render).count() as u64;
        let accepted = users.of(&t.rotation.0).is_some_and(|a| a.accepted.is_some());
        let first = ran.iter().filter(|r| r.of.job == t.rotation.0).min_by_key(|r| r.at);
        let asked = t.renders.iter().map(|r| &r.0).chain(t.late.iter().map(|r| &r.0));
        out.cancelled +=
            asked.clone().filter_map(|id| users.of(id)).filter(|a| a.cancelled.is_some()).count() as u64;
        // Asked, and by no record accepted: each was told so.
        out.refused_late += asked
            .filter(|id| users.of(id).is_some_and(|a| a.accepted.is_none()) && !members_of.contains_key(*id))
            .count() as u64;
        let Some(set) = sets.get(&t.name) else {
            out.held_for_ever += u64::from(accepted);
            continue;
        };
        out.waived += set.states.last().map_or(0, |s| s.2.waived.len()) as u64;
        out.joined_late += joined_late(t, set, members_of, &changes);
        let Some(first) = first else {
            if accepted {
                tracing::error!(title = t.name, state = ?set.last, "a rotation never started");
                out.held_for_ever += 1;
            }
            continue;
        };
        out.rotations += 1;
        out.releases += 1;
        took.extend(started(t, set, first, members_of, &changes, clock, out));
    }
    out.release_p99_s = quantile(took, 0.99);
}

/// Rebuilds and renders by title, as on record: since when, and whether it is a render.
type Joined = BTreeMap<String, (u64, bool)>;

/// Every rebuild and render that was ever accepted.
fn joined(changes: &[Change]) -> BTreeMap<String, Joined> {
    let mut out: BTreeMap<String, Joined> = BTreeMap::new();
    for c in changes {
        let Some(id) = c.key.strip_prefix("job/").or_else(|| c.key.strip_prefix("done/")) else { continue };
        let Some(says) = c.value.as_ref().and_then(|v| member(v, "release")) else { continue };
        if let (Some(title), Some(stage)) = (says["title"].as_str(), says["stage"].as_str())
            && stage != "rotation"
        {
            let set = out.entry(title.to_owned()).or_default();
            set.entry(id.to_owned()).or_insert((c.at, stage == "render"));
        }
    }
    out
}

/// Renders that are on record as accepted while their set was not open, or that are not among the members.
fn joined_late(t: &Title, set: &Set, joined: &Joined, changes: &[Change]) -> u64 {
    let mut late: BTreeSet<&str> = BTreeSet::new();
    for (id, (at, _)) in joined {
        let then = set.states.iter().rev().find(|s| s.0 < *at);
        if then.is_none_or(|s| s.1 != Phase::Open) {
            late.insert(id);
        }
    }
    if set.last.phase == Phase::Closed {
        let name = set.key.trim_start_matches("pact/r/");
        let page = |n| format!("pactpage/r/{name}/{}/{n:05}", set.last.version);
        let pages: Vec<&Value> =
            (0..set.last.pages).filter_map(|n| value_at(changes, &page(n), u64::MAX)).collect();
        let listed: BTreeSet<String> =
            read_member_pages(pages).unwrap_or_default().into_iter().map(|m| m.id).collect();
        late.extend(joined.keys().filter(|id| !listed.contains(*id)).map(String::as_str));
    }
    if !late.is_empty() {
        tracing::error!(title = t.name, ?late, "joined late");
    }
    late.len() as u64
}

/// Judges a rotation by what was on record when its first task started. Returns how long that took, in seconds.
fn started(
    t: &Title,
    set: &Set,
    first: &Ran,
    joined: &Joined,
    changes: &[Change],
    clock: &Clock,
    out: &mut Outcome,
) -> Option<f64> {
    let now = set.states.iter().rev().find(|s| s.0 <= first.revision);
    let Some((_, phase, body)) = now else {
        out.early += 1;
        return None;
    };
    if *phase != Phase::Closed || !body.rotated {
        tracing::error!(title = t.name, ?phase, ?body, "a rotation started early");
        out.early += 1;
    }
    // What it waited for last.
    let mut last = 0;
    for (id, (at, _)) in joined {
        let end = changes.iter().find(|c| c.key == format!("done/{id}") && c.value.is_some());
        let done =
            end.filter(|c| c.at <= first.revision && c.value.as_ref().is_some_and(|v| v["end"] == "done"));
        match done {
            Some(c) => last = last.max(c.at),
            None if body.waived.contains_key(id) => {}
            None => {
                tracing::error!(title = t.name, job = id, at, "a rotation didn't wait for a job");
                out.unrecorded += 1;
            }
        }
    }
    let waived = |b: &Release| b.waived.len();
    for pair in set.states.windows(2) {
        let closed = pair[1].2.closed_by != Some(ClosedBy::Count)
            && pair[0].1 == Phase::Open
            && pair[1].1 == Phase::Closing;
        if closed || waived(&pair[1].2) > waived(&pair[0].2) {
            last = last.max(pair[1].0);
        }
    }
    Some(first.at.saturating_duration_since(clock.of(last)?).as_secs_f64())
}

#[cfg(test)]
mod tests {
    use super::*;
    use hazelsaddle_logs::key::AttemptKey;
    use std::sync::{Mutex, atomic::AtomicBool};

    fn head(at: u64, phase: Phase, rotated: bool, pages: usize) -> Change {
        let night = [("begins_us", 1), ("renders_us", 2), ("due_us", 3), ("opened_us", 1)];
        let mut body = json!({"title": "t", "night": "2026-12-01", "calendar": "c", "rotated": rotated});
        for (key, us) in night {
            body[key] = us.into();
        }
        let value = CoordinationRecord { version: 1, phase, pages, body }.to_value();
        Change { at, key: "pact/r/t@2026-12-01".into(), value: Some(value) }
    }
    fn job(at: u64, id: &str, end: Option<&str>) -> Change {
        let release = json!({"title": "t", "night": "2026-12-01", "stage": "render"});
        let (key, value) = match end {
            None => (format!("job/{id}"), json!({"spec": {"release": release}})),
            Some(end) => (format!("done/{id}"), json!({"end": end, "says": {"release": release}})),
        };
        Change { at, key, value: Some(value) }
    }
    fn page(at: u64, ids: &[&str]) -> Change {
        let items: Vec<Value> = ids.iter().map(|id| json!([id, "render"])).collect();
        let value = json!({"form": 1, "items": items});
        Change { at, key: "pactpage/r/t@2026-12-01/1/00000".into(), value: Some(value) }
    }
    fn title() -> Title {
        let mut t = draw(&mut StdRng::seed_from_u64(1), 0, 1, [Timestamp::UNIX_EPOCH; 2]);
        t.name = "t".into();
        t
    }
    /// What is found wrong with a rotation that started at a revision: early, unrecorded, joined late.
    fn found(changes: &[Change], revision: u64) -> (u64, u64, u64) {
        let (t, now) = (title(), Instant::now());
        let clock =
            Clock { seen: Arc::new(Mutex::new(vec![(99, now)])), ended: Arc::new(AtomicBool::new(true)) };
        let first =
            Ran { of: AttemptKey { job: "r".into(), task: 0, attempt: 1 }, at: now, revision, end: None };
        let sets = sets(changes);
        let joined = joined(changes);
        let mut out = Outcome::default();
        let _ = started(&t, &sets["t"], &first, &joined["t"], changes, &clock, &mut out);
        (out.early, out.unrecorded, joined_late(&t, &sets["t"], &joined["t"], changes))
    }

    #[test]
    fn what_is_wrong_with_a_rotation_is_found_in_what_was_on_record() {
        let open = head(1, Phase::Open, false, 0);
        let closing = head(5, Phase::Closing, false, 0);
        let (closed, rotated) = (head(8, Phase::Closed, false, 1), head(9, Phase::Closed, true, 1));
        let well = [
            open.clone(),
            job(2, "a", None),
            closing.clone(),
            job(6, "a", Some("done")),
            page(7, &["a"]),
            closed,
            rotated,
        ];
        assert_eq!(found(&well, 9), (0, 0, 0));
        assert_eq!(found(&well, 8).0, 1, "not yet on record that it rotates");
        assert_eq!(found(&well, 5).1, 1, "the render was not on record as done");
        let mut cancelled = well.clone();
        cancelled[3] = job(6, "a", Some("cancelled"));
        assert_eq!(found(&cancelled, 9).1, 1);
        let mut late = well.to_vec();
        late.insert(3, job(6, "b", None));
        assert_eq!(found(&late, 9), (0, 1, 1), "accepted while closing, and not among the members");
    }
}
