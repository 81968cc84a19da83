//! Batches, merge jobs and their write permits. The expected state is computed independently from the state store's
//! keys and the clients' job descriptions, and is used to check that no merge starts and no permit is granted on a
//! stale run.

use super::*;
use hazelsaddle::controller::OperatorCommand;

/// Classes of jobs that read inputs, as configured in `FRESHNESS_CONFIG`.
pub(crate) const SOURCES: [&str; 2] = ["split", "read"];
pub(crate) const FRESHNESS_CONFIG: &str =
    "[freshness]\nsources = split, read\nmerges = merge\nrequired = split\n";
/// Maximum delay of a start that was decided before a newer version: three seconds to read it, the time that a
/// partitioned peer may hold a message back until one of the two leaves (half of `cancel_s`), and the response to the
/// last heartbeat.
const MAX_START_DELAY: u64 = 30 * S;

/// A run that replaces a stale one must be known this long after its outcome is stored.
const MAX_REPLACEMENT_LAG: u64 = 10 * S;

/// A permit request in flight.
#[derive(Clone, Debug)]
pub(crate) struct PermitRequest {
    job: String,
    attempt: u64,
    /// Whether no run had been stale for at least `MAX_REPLACEMENT_LAG` when it was sent, and how often the version
    /// had been raised by then.
    fresh: bool,
    version_raises: usize,
}

#[derive(Clone, Debug, Default)]
struct Record {
    store_version: u64,
    version: u64,
    fence: u64,
    raised_at: u64,
    version_raises: usize,
    /// Held permits by fencing token: job, attempt, task and version.
    held: BTreeMap<u64, (String, u64, Option<u64>, u64)>,
}

#[derive(Default)]
pub(crate) struct Batches {
    /// Whether merges request permits.
    pub(crate) writers: bool,
    records: BTreeMap<String, Record>,
    /// All permits ever stored: job and attempt by batch and fencing token.
    granted: BTreeMap<(String, u64), (String, u64)>,
    asked: BTreeMap<(String, u32, u64), u64>,
    /// When each merge became fresh.
    fresh_from: BTreeMap<String, u64>,
    /// Starts of merges, those on stale runs within the bound, granted permits and refused requests.
    pub(crate) starts: usize,
    pub(crate) late: usize,
    pub(crate) permits: usize,
    pub(crate) refused: usize,
    /// Merges refused for stale runs, or found stale when their dependencies were done.
    pub(crate) stale_merges: BTreeSet<String>,
}

impl World {
    /// The number of stale runs that a merge depends on, less the newer runs that replace them.
    pub(crate) fn count_stale_runs(&self, id: &str) -> usize {
        let Some(of) = &self.jobs[id].spec.merges else { return 0 };
        let Some(record) = self.batches.records.get(&of.name) else { return 1 };
        if record.version < of.version {
            return 1;
        }
        let needs = self.all_dependencies(id);
        let mut stale_by_class: BTreeMap<&str, usize> = BTreeMap::new();
        for dependency in &needs {
            let spec = &self.jobs[*dependency].spec;
            let own_batch = spec.batch.as_ref().filter(|b| b.name == of.name);
            if own_batch.is_none() && !SOURCES.contains(&spec.class.as_str()) {
                continue;
            }
            if own_batch.is_none_or(|b| b.version < record.version) {
                *stale_by_class.entry(&spec.class).or_default() += 1;
            }
        }
        if !needs.iter().any(|id| self.jobs[*id].spec.class == "split") {
            *stale_by_class.entry("split").or_default() += 1;
        }
        let mut left = 0;
        for (class, stale) in stale_by_class {
            let newer = self.jobs.iter().filter(|(other, user_job)| {
                let at = |b: &hazelsaddle::spec::BatchRef| b.name == of.name && b.version == record.version;
                user_job.spec.class == class
                    && user_job.spec.batch.as_ref().is_some_and(at)
                    && !needs.contains(other.as_str())
                    && self.store.keys.get(&format!("done/{other}")).is_some_and(|v| v.0["end"] == "done")
            });
            left += stale.saturating_sub(newer.count());
        }
        left
    }

    /// Checks the start of a merge's task.
    pub(crate) fn check_merge_start(&mut self, id: &str) {
        let Some(of) = &self.jobs[id].spec.merges else { return };
        let raised_at = self.batches.records.get(&of.name).map_or(0, |r| r.raised_at);
        self.batches.starts += 1;
        if self.count_stale_runs(id) > 0 {
            self.batches.late += 1;
            assert!(self.now <= raised_at + MAX_START_DELAY, "stale_start: {id} at {}", self.now);
        }
    }

    /// Checks the batch records after each write to the state store.
    pub(crate) fn check_batches(&mut self) {
        let changed: Vec<(String, Value, u64)> = self
            .store
            .keys
            .range("pact/b/".to_owned().."pact/b0".to_owned())
            .filter(|(k, value)| {
                self.batches.records.get(&k[7..]).is_none_or(|record| record.store_version != value.1)
            })
            .map(|(k, value)| (k[7..].to_owned(), value.0.clone(), value.1))
            .collect();
        for (name, value, store_version) in changed {
            let before = self.batches.records.get(&name).cloned().unwrap_or_default();
            let number = |value: &Value| value.as_u64().expect("a number");
            let mut record = Record { store_version, ..before.clone() };
            (record.version, record.fence) = (number(&value["version"]), number(&value["body"]["fence"]));
            assert!(
                record.version >= before.version && record.fence >= before.fence,
                "{name}: version or fencing token decreased at {}",
                self.now
            );
            if record.version > before.version {
                (record.raised_at, record.version_raises) = (self.now, before.version_raises + 1);
            }
            let permits = value["body"]["permits"].as_array().expect("a list");
            record.held = permits
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
                value["body"]["after"].as_array().expect("a list").iter().map(|a| number(&a[1])).collect();
            self.batches.records.insert(name.clone(), record.clone());
            for (fence, (job, attempt, _, version)) in &record.held {
                assert_eq!(
                    after.contains(fence),
                    record.version > *version,
                    "{name}: entry in `after` for {fence}: {value}"
                );
                if before.held.contains_key(fence) {
                    continue;
                }
                assert!(*fence > before.fence, "{name}: fence {fence} at {}", self.now);
                assert_eq!(*version, record.version, "stale_permit: {job}");
                assert_eq!(self.count_stale_runs(job), 0, "stale_permit: {job} at {}", self.now);
                self.batches.granted.insert((name.clone(), *fence), (job.clone(), *attempt));
                self.batches.permits += 1;
            }
            for (fence, (job, attempt, task, _)) in &before.held {
                if !record.held.contains_key(fence) {
                    assert!(
                        !self.has_live_attempt(job, *attempt, *task),
                        "{name}: permit {fence} ended too early at {}",
                        self.now
                    );
                }
            }
        }
    }

    /// Whether the attempt is on a machine with a valid lease.
    fn has_live_attempt(&self, job: &str, attempt: u64, task: Option<u64>) -> bool {
        let has_lease = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let matches_attempt = |t: &Task| {
            t.is_placed()
                && t.job == job
                && t.attempt == attempt
                && task.is_none_or(|i| i == u64::from(t.index))
        };
        self.workers.iter().filter(has_lease).any(|w| w.tasks.iter().any(matches_attempt))
    }

    /// Running merges repeatedly request write permits through random controllers.
    pub(crate) fn run_writers(&mut self) {
        if !self.batches.writers {
            return;
        }
        let running: Vec<(String, u32, u64)> = self
            .workers
            .iter()
            .filter(|w| !w.gone && !w.dead && self.now >= w.unresponsive_until)
            .flat_map(|w| &w.tasks)
            .filter(|t| t.state == "running" && self.jobs[&t.job].spec.merges.is_some())
            .map(|t| (t.job.clone(), t.index, t.attempt))
            .collect();
        for writer in running {
            if self.batches.asked.get(&writer).is_some_and(|t| self.now < *t) {
                continue;
            }
            let pause = self.rng.random_range(S..5 * S);
            self.batches.asked.insert(writer.clone(), self.now + pause);
            let (job, index, attempt) = writer;
            let version_raises = self.version_raises(&job);
            let now = self.now;
            let fresh = match self.count_stale_runs(&job) {
                0 => now >= *self.batches.fresh_from.entry(job.clone()).or_insert(now) + MAX_REPLACEMENT_LAG,
                _ => {
                    self.batches.fresh_from.remove(&job);
                    false
                }
            };
            let request = UserRequest::Permit(job.clone(), format!("{attempt}/{index}"));
            self.serial += 1;
            let ticket = self.serial;
            self.tickets
                .insert(ticket, Ticket::Writer(PermitRequest { job, attempt, fresh, version_raises }));
            let controller = self.rng.random_range(0..3usize);
            self.schedule(1000, SimEvent::Controller(controller, 0, Event::User { ticket, request }));
        }
    }

    fn version_raises(&self, job: &str) -> usize {
        let merge = self.jobs[job].spec.merges.as_ref().expect("a merge");
        self.batches.records.get(&merge.name).map_or(0, |r| r.version_raises)
    }

    /// Checks the answer to a permit request.
    pub(crate) fn check_permit_answer(&mut self, permit_request: &PermitRequest, reply: &Reply) {
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        match reply.status {
            200 => {
                let key = (
                    body["batch"].as_str().expect("a batch").to_owned(),
                    body["fence"].as_u64().expect("a fencing token"),
                );
                let granted = self.batches.granted.get(&key).expect("a stored permit");
                assert_eq!(
                    *granted,
                    (permit_request.job.clone(), permit_request.attempt),
                    "a permit of another attempt"
                );
            }
            409 => {
                if body["old"].is_array() {
                    self.batches.refused += 1;
                    self.batches.stale_merges.insert(permit_request.job.clone());
                    let fresh = permit_request.fresh
                        && self.count_stale_runs(&permit_request.job) == 0
                        && self.version_raises(&permit_request.job) == permit_request.version_raises;
                    assert!(!fresh, "wrongly refused: {permit_request:?} {}", reply.body);
                }
            }
            503 => assert!(reply.retry_after.is_some(), "a 503 has a Retry-After"),
            other => panic!("{other} for {permit_request:?}: {}", reply.body),
        }
    }

    /// Sends an operator's request to a controller without waiting for the answer.
    pub(crate) fn send_operator_command(&mut self, controller: usize, request: OperatorCommand) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.tickets.insert(ticket, Ticket::TestRequest);
        self.schedule(1, SimEvent::Controller(controller, 0, Event::Operator { ticket, request }));
        ticket
    }

    /// Sends an operator's request to a controller and waits for the answer.
    pub(crate) fn ask_operator(&mut self, controller: usize, request: OperatorCommand) -> Reply {
        let ticket = self.send_operator_command(controller, request);
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
