//! Batches, merge jobs and their write permits. The expected state is computed independently from the state store's
//! keys and the clients' job descriptions, and is used to check that no merge starts and no permit is granted on a
//! stale run.

use super::*;
use hazelsaddle::controller::OperatorCommand;

/// Classes of jobs that read inputs, as configured in `INI`.
pub(crate) const SOURCES: [&str; 2] = ["split", "read"];
pub(crate) const INI: &str = "[freshness]\nsources = split, read\nmerges = merge\nrequired = split\n";
/// Maximum delay of a start that was decided before a newer version: three seconds to read it, the time that a
/// partitioned peer may hold a message back until one of the two leaves (half of `cancel_s`), and the response to the
/// last heartbeat.
const BOUND: u64 = 30 * S;

/// A run that replaces a stale one must be known this long after its outcome is stored.
const LAG: u64 = 10 * S;

/// A permit request in flight.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    job: String,
    attempt: u64,
    /// Whether no run had been stale for at least `LAG` when it was sent, and how often the version had been raised
    /// by then.
    fresh: bool,
    raised: usize,
}

#[derive(Clone, Debug, Default)]
struct Record {
    store_version: u64,
    version: u64,
    fence: u64,
    raised_at: u64,
    raised: usize,
    /// Held permits by fencing token: job, attempt, task and version.
    held: BTreeMap<u64, (String, u64, Option<u64>, u64)>,
}

#[derive(Default)]
pub(crate) struct Batches {
    /// Whether merges request permits.
    pub(crate) writers: bool,
    records: BTreeMap<String, Record>,
    /// All permits ever stored: job and attempt by batch and fencing token.
    given: BTreeMap<(String, u64), (String, u64)>,
    asked: BTreeMap<(String, u32, u64), u64>,
    /// When each merge became fresh.
    fresh_from: BTreeMap<String, u64>,
    /// Starts of merges, those on stale runs within the bound, granted permits and refused requests.
    pub(crate) starts: usize,
    pub(crate) late: usize,
    pub(crate) permits: usize,
    pub(crate) refused: usize,
    /// Merges refused for stale runs, or found stale when their dependencies were done.
    pub(crate) old: BTreeSet<String>,
}

impl World {
    /// The number of stale runs that a merge depends on, less the newer runs that replace them.
    pub(crate) fn old_runs(&self, id: &str) -> usize {
        let Some(of) = &self.jobs[id].spec.merges else { return 0 };
        let Some(record) = self.batches.records.get(&of.name) else { return 1 };
        if record.version < of.version {
            return 1;
        }
        let needs = self.needed(id);
        let mut old: BTreeMap<&str, usize> = BTreeMap::new();
        for p in &needs {
            let s = &self.jobs[*p].spec;
            let mine = s.batch.as_ref().filter(|b| b.name == of.name);
            if mine.is_none() && !SOURCES.contains(&s.class.as_str()) {
                continue;
            }
            if mine.is_none_or(|b| b.version < record.version) {
                *old.entry(&s.class).or_default() += 1;
            }
        }
        if !needs.iter().any(|p| self.jobs[*p].spec.class == "split") {
            *old.entry("split").or_default() += 1;
        }
        let mut left = 0;
        for (class, n) in old {
            let newer = self.jobs.iter().filter(|(p, j)| {
                let at = |b: &hazelsaddle::spec::BatchRef| b.name == of.name && b.version == record.version;
                j.spec.class == class
                    && j.spec.batch.as_ref().is_some_and(at)
                    && !needs.contains(p.as_str())
                    && self.store.keys.get(&format!("done/{p}")).is_some_and(|v| v.0["end"] == "done")
            });
            left += n.saturating_sub(newer.count());
        }
        left
    }

    /// Checks the start of a merge's task.
    pub(crate) fn merge_starts(&mut self, id: &str) {
        let Some(of) = &self.jobs[id].spec.merges else { return };
        let raised_at = self.batches.records.get(&of.name).map_or(0, |r| r.raised_at);
        self.batches.starts += 1;
        if self.old_runs(id) > 0 {
            self.batches.late += 1;
            assert!(self.now <= raised_at + BOUND, "stale_start: {id} at {}", self.now);
        }
    }

    /// Checks the batch records after each write to the state store.
    pub(crate) fn watch_batches(&mut self) {
        let changed: Vec<(String, Value, u64)> = self
            .store
            .keys
            .range("pact/b/".to_owned().."pact/b0".to_owned())
            .filter(|(k, v)| self.batches.records.get(&k[7..]).is_none_or(|r| r.store_version != v.1))
            .map(|(k, v)| (k[7..].to_owned(), v.0.clone(), v.1))
            .collect();
        for (name, v, store_version) in changed {
            let before = self.batches.records.get(&name).cloned().unwrap_or_default();
            let number = |v: &Value| v.as_u64().expect("a number");
            let mut r = Record { store_version, ..before.clone() };
            (r.version, r.fence) = (number(&v["version"]), number(&v["body"]["fence"]));
            assert!(
                r.version >= before.version && r.fence >= before.fence,
                "{name} went back at {}",
                self.now
            );
            if r.version > before.version {
                (r.raised_at, r.raised) = (self.now, before.raised + 1);
            }
            let permits = v["body"]["permits"].as_array().expect("a list");
            r.held = permits
                .iter()
                .map(|p| {
                    let job = p["job"].as_str().expect("a job").to_owned();
                    (
                        number(&p["fence"]),
                        (job, number(&p["attempt"]), p["task"].as_u64(), number(&p["version"])),
                    )
                })
                .collect();
            let after: BTreeSet<u64> =
                v["body"]["after"].as_array().expect("a list").iter().map(|a| number(&a[1])).collect();
            self.batches.records.insert(name.clone(), r.clone());
            for (fence, (job, attempt, _, version)) in &r.held {
                assert_eq!(after.contains(fence), r.version > *version, "{name}: mark of {fence}: {v}");
                if before.held.contains_key(fence) {
                    continue;
                }
                assert!(*fence > before.fence, "{name}: fence {fence} at {}", self.now);
                assert_eq!(*version, r.version, "stale_permit: {job}");
                assert_eq!(self.old_runs(job), 0, "stale_permit: {job} at {}", self.now);
                self.batches.given.insert((name.clone(), *fence), (job.clone(), *attempt));
                self.batches.permits += 1;
            }
            for (fence, (job, attempt, task, _)) in &before.held {
                if !r.held.contains_key(fence) {
                    assert!(
                        !self.writes(job, *attempt, *task),
                        "{name}: {fence} ended too early at {}",
                        self.now
                    );
                }
            }
        }
    }

    /// Whether the attempt is on a machine with a valid lease.
    fn writes(&self, job: &str, attempt: u64, task: Option<u64>) -> bool {
        let lives = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let mine = |t: &Task| {
            t.on() && t.job == job && t.attempt == attempt && task.is_none_or(|i| i == u64::from(t.index))
        };
        self.workers.iter().filter(lives).any(|w| w.tasks.iter().any(mine))
    }

    /// Running merges repeatedly request write permits through random controllers.
    pub(crate) fn run_writers(&mut self) {
        if !self.batches.writers {
            return;
        }
        let running: Vec<(String, u32, u64)> = self
            .workers
            .iter()
            .filter(|w| !w.gone && !w.dead && self.now >= w.hung_until)
            .flat_map(|w| &w.tasks)
            .filter(|t| t.state == "running" && self.jobs[&t.job].spec.merges.is_some())
            .map(|t| (t.job.clone(), t.index, t.attempt))
            .collect();
        for who in running {
            if self.batches.asked.get(&who).is_some_and(|t| self.now < *t) {
                continue;
            }
            let pause = self.rng.random_range(S..5 * S);
            self.batches.asked.insert(who.clone(), self.now + pause);
            let (job, index, attempt) = who;
            let raised = self.raised(&job);
            let now = self.now;
            let fresh = match self.old_runs(&job) {
                0 => now >= *self.batches.fresh_from.entry(job.clone()).or_insert(now) + LAG,
                _ => {
                    self.batches.fresh_from.remove(&job);
                    false
                }
            };
            let request = UserRequest::Permit(job.clone(), format!("{attempt}/{index}"));
            self.serial += 1;
            let ticket = self.serial;
            self.tickets.insert(ticket, Ticket::Writer(Question { job, attempt, fresh, raised }));
            let n = self.rng.random_range(0..3usize);
            self.later(1000, What::Controller(n, 0, Event::User { ticket, request }));
        }
    }

    fn raised(&self, job: &str) -> usize {
        let of = self.jobs[job].spec.merges.as_ref().expect("a merge");
        self.batches.records.get(&of.name).map_or(0, |r| r.raised)
    }

    /// Checks the answer to a permit request.
    pub(crate) fn writer_told(&mut self, q: &Question, r: &Reply) {
        let body: Value = serde_json::from_str(&r.body).expect("JSON");
        match r.status {
            200 => {
                let key = (
                    body["batch"].as_str().expect("a batch").to_owned(),
                    body["fence"].as_u64().expect("one"),
                );
                let given = self.batches.given.get(&key).expect("a permit that was on record");
                assert_eq!(*given, (q.job.clone(), q.attempt), "another's permit");
            }
            409 => {
                if body["old"].is_array() {
                    self.batches.refused += 1;
                    self.batches.old.insert(q.job.clone());
                    let fresh = q.fresh && self.old_runs(&q.job) == 0 && self.raised(&q.job) == q.raised;
                    assert!(!fresh, "wrongly refused: {q:?} {}", r.body);
                }
            }
            503 => assert!(r.retry_after.is_some(), "a refusal says when to come back"),
            other => panic!("{other} for {q:?}: {}", r.body),
        }
    }

    /// Sends an operator's request to a controller without waiting for the answer.
    pub(crate) fn operator_asks(&mut self, n: usize, request: OperatorCommand) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.tickets.insert(ticket, Ticket::Asked);
        self.later(1, What::Controller(n, 0, Event::Operator { ticket, request }));
        ticket
    }

    /// Sends an operator's request to a controller and waits for the answer.
    pub(crate) fn ask_operator(&mut self, n: usize, request: OperatorCommand) -> Reply {
        let ticket = self.operator_asks(n, request);
        let end = self.now + 12 * S;
        while self.now < end {
            let next = self.now + S / 10;
            self.run(0, next);
            if let Some(reply) = self.answers.remove(&ticket) {
                return reply;
            }
        }
        panic!("no answer within 12 s");
    }

    /// The stored version of a batch.
    pub(crate) fn version(&self, name: &str) -> u64 {
        self.batches.records.get(name).map_or(0, |r| r.version)
    }

    /// The number of held permits of a batch.
    pub(crate) fn permits_held(&self, name: &str) -> usize {
        self.batches.records.get(name).map_or(0, |r| r.held.len())
    }
}
