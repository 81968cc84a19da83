//! What experiments on jobs share: users that submit, poll and cancel as PROTOCOL has them do, and note what they were told;
//! troubles at seeded moments; what was on record when; and the account of what holds on every seed.

use crate::http::{body, lock};
use crate::local_cluster::LocalCluster;
use crate::state::State;
use crate::worker::Ran;
use rand::{RngExt, rngs::StdRng};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A job is forgotten if nobody answers for it for so long once troubles are over.
const FORGOTTEN: Duration = Duration::from_secs(75);
/// Users give a request up after so long.
const GIVE_UP: Duration = Duration::from_secs(60);
/// Users ask again about a job so often: more often than PROTOCOL's, to see older answers.
const POLL: Duration = Duration::from_millis(700);
const POLLERS: usize = 4;
/// A cancelled job's tasks are gone by then.
const CANCEL: Duration = Duration::from_secs(24);

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Accepted, or carried out.
    Yes,
    /// Refused for good.
    No(u16, String),
    /// No answer in time: it may have been carried out.
    Nothing,
}

/// A job as its user knows it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// What was submitted.
    pub body: Value,
    /// When it was accepted.
    pub accepted: Option<Instant>,
    /// Its state when it was told last.
    pub stance: String,
    /// When somebody last answered for it.
    pub heard: Instant,
    /// The longest time in which nobody did.
    pub silence: Duration,
    /// When its user was told that it is cancelled.
    pub cancelled: Option<Instant>,
    /// Its user has asked to cancel it.
    pub unwanted: bool,
    /// It got an older answer than before, or one that it must not get.
    pub broken: Vec<String>,
    /// It got 404, or its repeat was refused.
    pub denied: bool,
}

/// All users.
pub struct Users {
    api: Vec<SocketAddrV4>,
    jobs: Mutex<BTreeMap<String, Asked>>,
    turn: AtomicUsize,
    ended: AtomicBool,
}

impl Users {
    /// Users of these controllers; they ask about all accepted jobs from now on.
    #[must_use]
    pub fn start(api: Vec<SocketAddrV4>) -> Arc<Users> {
        let users = Users {
            api,
            jobs: Mutex::new(BTreeMap::new()),
            turn: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
        };
        let users = Arc::new(users);
        for n in 0..POLLERS {
            let users = users.clone();
            std::thread::spawn(move || {
                while !users.ended.load(Ordering::Relaxed) {
                    let begun = Instant::now();
                    for id in users.open().into_iter().skip(n).step_by(POLLERS) {
                        users.poll(&id);
                    }
                    std::thread::sleep(POLL.saturating_sub(begun.elapsed()));
                }
            });
        }
        users
    }

    /// No more polls.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// One request by way of the load balancer: to any node that takes the connection. None: no answer.
    pub fn ask(
        &self,
        method: &str,
        path: &str,
        text: Option<&str>,
        within: Duration,
    ) -> Option<(u16, Value)> {
        let agent =
            ureq::AgentBuilder::new().timeout_connect(Duration::from_millis(500)).timeout(within).build();
        for _ in 0..self.api.len() {
            let at = self.api[self.turn.fetch_add(1, Ordering::Relaxed) % self.api.len()];
            let r = agent.request(method, &format!("http://{at}{path}"));
            let answer = match text {
                Some(t) => r.send_string(t),
                None => r.call(),
            };
            match answer {
                Ok(r) => return Some((r.status(), body(r))),
                Err(ureq::Error::Status(s, r)) => return Some((s, body(r))),
                Err(ureq::Error::Transport(t)) if t.kind() == ureq::ErrorKind::ConnectionFailed => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Asks again and again, as users do, until there is an answer that is one.
    pub fn insist(&self, method: &str, path: &str, text: Option<&str>) -> Told {
        let begun = Instant::now();
        while begun.elapsed() < GIVE_UP {
            match self.ask(method, path, text, Duration::from_secs(5)) {
                Some((200 | 201, _)) => return Told::Yes,
                Some((s @ (400 | 404 | 409 | 422), why)) => return Told::No(s, why.to_string()),
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        Told::Nothing
    }

    /// Submits a job.
    pub fn submit(&self, id: &str, job: &Value) -> Told {
        let told = self.insist("POST", "/v1/jobs", Some(&job.to_string()));
        let now = Instant::now();
        let asked = Asked {
            body: job.clone(),
            accepted: (told == Told::Yes).then_some(now),
            stance: String::new(),
            heard: now,
            silence: Duration::ZERO,
            cancelled: None,
            unwanted: false,
            broken: Vec::new(),
            denied: false,
        };
        lock(&self.jobs).insert(id.to_owned(), asked);
        told
    }

    /// Cancels a job.
    pub fn cancel(&self, id: &str) -> Told {
        self.note(id, |a| a.unwanted = true);
        let told = self.insist("POST", &format!("/v1/jobs/{id}/withdraw"), Some("{}"));
        if told == Told::Yes {
            self.poll(id);
        }
        told
    }

    fn note(&self, id: &str, change: impl FnOnce(&mut Asked)) {
        if let Some(a) = lock(&self.jobs).get_mut(id) {
            change(a);
        }
    }

    fn open(&self) -> Vec<String> {
        let open = |a: &Asked| a.accepted.is_some() && !matches!(a.stance.as_str(), "done" | "aborted");
        lock(&self.jobs).iter().filter(|(_, a)| open(a)).map(|(id, _)| id.clone()).collect()
    }

    fn poll(&self, id: &str) {
        let sent = Instant::now();
        let answer = self.ask("GET", &format!("/v1/jobs/{id}"), None, Duration::from_secs(2));
        self.note(id, |a| {
            let now = Instant::now();
            match answer {
                Some((200, v)) => {
                    a.silence = a.silence.max(sent.saturating_duration_since(a.heard));
                    a.heard = now;
                    let stance = v["stance"].as_str().unwrap_or("").to_owned();
                    match (a.stance.as_str(), stance.as_str()) {
                        ("done", s) | ("aborted", s) if s != a.stance => {
                            a.broken.push(format!("{} and then {s}", a.stance));
                        }
                        (_, "aborted") if !a.unwanted => a.broken.push("cancelled by nobody".into()),
                        _ => {}
                    }
                    if stance == "aborted" {
                        a.cancelled.get_or_insert(now);
                    }
                    a.stance = stance;
                }
                Some((404, _)) => a.denied = true,
                _ => {}
            }
        });
    }

    /// A copy of what is known of a job.
    #[must_use]
    pub fn of(&self, id: &str) -> Option<Asked> {
        lock(&self.jobs).get(id).cloned()
    }

    /// Waits until a job is as wanted. Returns whether it is.
    pub fn wait(&self, id: &str, within: Duration, good: impl Fn(&Asked) -> bool) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < within {
            if self.of(id).is_some_and(|a| good(&a)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Waits until nothing is open any more. Returns what is.
    pub fn settle(&self, within: Duration) -> Vec<String> {
        let begun = Instant::now();
        while begun.elapsed() < within && !self.open().is_empty() {
            std::thread::sleep(Duration::from_millis(100));
        }
        self.open()
    }

    /// Looks at every job once more, sends every submission again, and counts. `over`: when the last trouble was.
    #[must_use]
    pub fn account(&self, town: &LocalCluster, over: Instant) -> Account {
        let ids: Vec<String> = lock(&self.jobs).keys().cloned().collect();
        let mut out = Account::default();
        for id in ids {
            let Some(before) = self.of(&id).filter(|a| a.accepted.is_some()) else { continue };
            let open = !matches!(before.stance.as_str(), "done" | "aborted");
            let since = if open { before.heard.max(over) } else { Instant::now() };
            // Nobody has asked about it since its end was told.
            self.note(&id, |a| a.heard = a.heard.max(since));
            let asked = Instant::now();
            while self.of(&id).is_some_and(|a| a.heard < asked && !a.denied) && since.elapsed() < FORGOTTEN {
                self.poll(&id);
            }
            // A repeat gets 200 for ever, whatever has become of what the job names.
            if let Told::No(status, why) = self.insist("POST", "/v1/jobs", Some(&before.body.to_string())) {
                tracing::error!(job = id, status, why, "a repeat was refused");
                self.note(&id, |a| a.denied = true);
            }
            let Some(a) = self.of(&id) else { continue };
            let quiet = if a.heard < asked { since.elapsed() } else { a.silence };
            out.silence_s = out.silence_s.max(a.silence.as_secs_f64());
            if a.denied || quiet > FORGOTTEN {
                tracing::error!(job = id, denied = a.denied, ?quiet, "a job was forgotten");
                out.forgotten += 1;
            }
            if a.stance != "done" && !(a.unwanted && a.stance == "aborted") {
                tracing::error!(job = id, stance = a.stance, "a job is not done");
                out.lost += 1;
            }
            if !a.broken.is_empty() {
                tracing::error!(job = id, broken = ?a.broken, "a job got answers that it must not get");
                out.rules_broken += 1;
            }
        }
        let ran = lock(&town.registry.ran).clone();
        out.rules_broken += twice(&ran);
        let gone = |r: &&Ran| {
            let until = self.of(&r.of.job).and_then(|a| a.cancelled).map(|at| at + CANCEL);
            until.is_some_and(|u| r.end.map_or_else(Instant::now, |e| e.0) > u)
        };
        out.rules_broken += ran.iter().filter(gone).count() as u64;
        out
    }
}

/// Pairs of attempts of one task that ran at the same time.
fn twice(ran: &[Ran]) -> u64 {
    let mut tasks: BTreeMap<(&str, u32), Vec<&Ran>> = BTreeMap::new();
    for r in ran {
        tasks.entry((&r.of.job, r.of.task)).or_default().push(r);
    }
    let mut found = 0;
    for attempts in tasks.values_mut() {
        attempts.sort_by_key(|r| r.at);
        for pair in attempts.windows(2) {
            if pair[0].end.is_none_or(|e| e.0 > pair[1].at) {
                tracing::error!(first = %pair[0].of, second = %pair[1].of, "a task ran twice at the same time");
                found += 1;
            }
        }
    }
    found
}

/// What holds on every seed: all counts are 0.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Account {
    /// Accepted and in the end neither done nor cancelled by its user.
    pub lost: u64,
    /// Accepted and then denied, or nobody answers for it.
    pub forgotten: u64,
    /// Other rules of PROTOCOL.
    pub rules_broken: u64,
    /// The longest silence about any job, troubles included.
    pub silence_s: f64,
}

/// Controllers and machines that are killed at seeded moments. Controllers come back at once.
pub struct Troubles {
    /// When, whom of all, whether it is a machine, and how long a controller stays away.
    events: Vec<(Duration, usize, bool, Duration)>,
    back: Vec<(Instant, usize)>,
    begun: Instant,
    /// Controllers and machines killed.
    pub kills: (u32, u32),
}

impl Troubles {
    /// Draws them: within a span of time, one in four a machine, controllers away for 0.05 to 0.5 s.
    #[must_use]
    pub fn draw(rng: &mut StdRng, kills: usize, from: Duration, to: Duration) -> Troubles {
        let ms = |d: Duration| d.as_millis() as u64;
        let mut events: Vec<(Duration, usize, bool, Duration)> = (0..kills)
            .map(|_| {
                let at = Duration::from_millis(rng.random_range(ms(from)..ms(to)));
                let away = Duration::from_millis(rng.random_range(50..500));
                (at, rng.random_range(0..1000), rng.random_bool(0.25), away)
            })
            .collect();
        events.sort();
        events.reverse();
        Troubles { events, back: Vec::new(), begun: Instant::now(), kills: (0, 0) }
    }

    /// Does what is due; to be called every few milliseconds.
    ///
    /// # Errors
    /// If a controller can't be started again.
    pub fn step(&mut self, town: &mut LocalCluster) -> std::io::Result<()> {
        while let Some(n) = self.back.iter().position(|b| Instant::now() >= b.0) {
            let (_, i) = self.back.swap_remove(n);
            town.start_controller(i)?;
        }
        while self.events.last().is_some_and(|e| self.begun.elapsed() >= e.0) {
            let Some((_, pick, machine, away)) = self.events.pop() else { break };
            let (up, machines) = (town.controllers_up(), lock(&town.cloud).up());
            if machine && machines.len() > 2 {
                lock(&town.cloud).kill(&machines[pick % machines.len()]);
                self.kills.1 += 1;
            } else if !up.is_empty() {
                let i = up[pick % up.len()];
                town.kill_controller(i);
                self.back.push((Instant::now() + away, i));
                self.kills.0 += 1;
            }
        }
        lock(&town.cloud).sweep();
        Ok(())
    }

    /// Whether all are over.
    #[must_use]
    pub fn over(&self) -> bool {
        self.events.is_empty() && self.back.is_empty()
    }
}

/// When each revision of the state service was first seen, to a hundredth of a second.
pub struct Clock {
    pub(crate) seen: Arc<Mutex<Vec<(u64, Instant)>>>,
    pub(crate) ended: Arc<AtomicBool>,
}

impl Clock {
    /// Begins to watch.
    #[must_use]
    pub fn start(state: Arc<Mutex<State>>) -> Clock {
        let (seen, ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let (s, e) = (seen.clone(), ended.clone());
        std::thread::spawn(move || {
            let mut last = u64::MAX;
            while !e.load(Ordering::Relaxed) {
                let at = lock(&state).revision;
                if at != last {
                    lock(&s).push((at, Instant::now()));
                    last = at;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Clock { seen, ended }
    }
    /// When a revision was there.
    #[must_use]
    pub fn of(&self, revision: u64) -> Option<Instant> {
        let seen = lock(&self.seen);
        seen.get(seen.partition_point(|(r, _)| *r < revision)).map(|s| s.1)
    }
    /// Ends it.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// One change on record.
#[derive(Clone, Debug)]
pub struct Change {
    /// The revision.
    pub at: u64,
    /// The key.
    pub key: String,
    /// The value; None: dropped.
    pub value: Option<Value>,
}

/// All that was ever on record, of the keys that begin with one of these.
#[must_use]
pub fn history(town: &LocalCluster, prefixes: &[&str]) -> Vec<Change> {
    let state = lock(&town.state);
    let of = |k: &str| prefixes.iter().any(|p| k.starts_with(p));
    let all = state.history().filter(|(_, k, _)| of(k));
    all.map(|(at, k, v)| Change { at, key: k.to_owned(), value: v.cloned() }).collect()
}

/// The value of a key at a revision.
#[must_use]
pub fn value_at<'a>(changes: &'a [Change], key: &str, revision: u64) -> Option<&'a Value> {
    changes.iter().rev().find(|c| c.at <= revision && c.key == key).and_then(|c| c.value.as_ref())
}

/// A member of a submission, wherever a record keeps it.
#[must_use]
pub fn member<'a>(record: &'a Value, name: &str) -> Option<&'a Value> {
    ["spec", "says"].iter().find_map(|part| record.get(part)?.get(name))
}

/// A quantile of some times, in seconds, rounded to milliseconds.
#[must_use]
pub fn quantile(mut times: Vec<f64>, q: f64) -> f64 {
    times.sort_by(f64::total_cmp);
    let at = ((times.len() as f64 * q).ceil() as usize).clamp(1, times.len().max(1));
    times.get(at - 1).map_or(0.0, |t| (t * 1000.0).round() / 1000.0)
}

/// A submission with further members.
#[must_use]
pub fn with(mut job: Value, members: &[(&str, Value)]) -> Value {
    for (key, value) in members {
        job[*key] = value.clone();
    }
    job
}

/// Keeps the logs of a trial that doesn't hold.
pub fn keep_logs(town: &LocalCluster, name: &str, seed: u64) {
    let kept = std::env::temp_dir().join(format!("hazelsaddle-testbed-{name}-{seed}.log"));
    let wrote = std::fs::write(&kept, town.logs()).is_ok();
    tracing::error!(seed, logs = %kept.display(), wrote, "the experiment does not hold");
}

#[cfg(test)]
mod tests {
    use super::*;
    use hazelsaddle_logs::key::AttemptKey;

    #[test]
    fn attempts_that_overlap_are_found() {
        let begun = Instant::now();
        let at = |ms| begun + Duration::from_millis(ms);
        let ran = |task, attempt, from, to: Option<u64>| Ran {
            of: AttemptKey { job: "wk-1".into(), task, attempt },
            at: at(from),
            revision: 0,
            end: to.map(|t| (at(t), true)),
        };
        assert_eq!(twice(&[ran(0, 1, 0, Some(5)), ran(0, 2, 5, None), ran(1, 1, 2, None)]), 0);
        assert_eq!(twice(&[ran(0, 2, 4, None), ran(0, 1, 0, Some(5))]), 1);
        assert_eq!(twice(&[ran(0, 1, 0, None), ran(0, 2, 9, Some(10))]), 1);
    }

    #[test]
    fn quantiles_are_of_the_values_themselves() {
        assert_eq!(quantile(vec![3.0, 1.0, 2.0], 0.5), 2.0);
        assert_eq!((quantile(vec![1.0, 9.0], 0.99), quantile(Vec::new(), 0.99)), (9.0, 0.0));
    }

    #[test]
    fn the_seed_alone_decides_the_troubles() {
        use rand::SeedableRng;
        let draw = |seed| {
            let mut rng = StdRng::seed_from_u64(seed);
            Troubles::draw(&mut rng, 20, Duration::from_secs(3), Duration::from_secs(45)).events
        };
        assert_eq!(draw(4), draw(4));
        assert_ne!(draw(4), draw(5));
        assert!(draw(4).iter().all(|e| (50..500).contains(&(e.3.as_millis() as u64))));
    }
}
