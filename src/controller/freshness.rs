//! Batches: merges start, and write, only on fresh inputs. The record, the walk upstream and the decisions are in
//! `crates/freshness`; this feeds them and carries out what they say.

mod permits;
mod show;

use super::coordination::{JoinDecision, OperatorRequest};
use super::*;
use crate::job_shard::dependencies::unpack_job_ids;
use crate::job_shard::{AttemptStatus, Hold, Job};
use crate::wire::users;
use hazelsaddle_coordination::census::CensusJobState;
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Kind as Sort};
use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_freshness::batch::{Batch, Permit, VersionChange, Writer};
use hazelsaddle_freshness::guard::{self, Merge, PermitAnswer, Verdict};
use hazelsaddle_freshness::settings::{Settings as Classes, find_nearest};
use hazelsaddle_freshness::upstream::{BatchVersion, JobDeclaration, JobLookup, Run, UpstreamFindings};

/// Merges are looked at so often, and at once when something is new.
const PAUSE: Micros = Micros::from_millis(300);
/// A merge starts nothing more on a reading older than this.
const RECENT: Micros = Micros::from_millis(3_000);
/// A writer waits so long for its answer before it is told to ask again.
const PATIENCE: Micros = Micros::from_millis(3_000);
/// What jobs say is remembered of so many; what they say never changes.
const KNOWN: usize = 20_000;
/// A record that can't be read is read again after so long.
const AGAIN: Micros = Micros::from_millis(5_000);
/// Writers' questions under way at the most.
const ASKING: usize = 500;
/// Permits of attempts that have ended are given back so often, for each batch.
const RELEASE: Micros = Micros::from_millis(1_000);
/// Batches shown in one list.
const LISTED: usize = 1000;

/// What a request to the state service was for.
#[derive(Clone, Debug)]
pub(super) enum PendingFreshnessRequest {
    /// What a job says: its live record, then its final one.
    Declaration(String, bool),
    /// A page of batches, for an operator's ticket.
    Heads(u64),
}

/// A writer's question.
struct Asking {
    from: Caller,
    job: String,
    attempt: u64,
    task: u32,
    came: Micros,
}

/// What this controller knows of a merge of its.
#[derive(Clone, Debug, Default)]
struct SeenRevision {
    /// When it was first looked at in this epoch: what was read before counts for nothing.
    since: Micros,
    /// It is stale.
    stale: bool,
    /// It was found stale once: runs that supersede the old ones are looked for, and remembered as long as it lives.
    sought: bool,
}

/// What has happened since the process started. For operators.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    permits: u64,
    refused: u64,
    stopped: u64,
    raised: u64,
}

/// What this controller knows of batches.
#[derive(Default)]
pub(super) struct Freshness {
    next: Micros,
    merges: BTreeMap<String, SeenRevision>,
    /// What jobs of other leaders, or ended ones, declare.
    says: BTreeMap<String, JobDeclaration>,
    /// Records to be read, and those being read.
    unread: BTreeSet<String>,
    reading: BTreeSet<String>,
    unreadable: BTreeMap<String, Micros>,
    asking: Vec<Asking>,
    /// Done runs that the watch told of, by head, and since when it is listened to; only of batches that a stale merge of
    /// ours is of.
    runs: BTreeMap<String, (Micros, BTreeSet<Run>)>,
    /// The watch tells of all ends since then.
    watched: Option<Micros>,
    released: BTreeMap<Key, Micros>,
    /// Lists under way, by operator's ticket: the key read last, rows so far, and whether all is there.
    lists: BTreeMap<u64, (String, Vec<Value>, bool, bool)>,
    counts: Counts,
}

/// What a record of a job says, live or final; None: it can't be read.
fn says_of(record: &Value, end: bool) -> Option<JobDeclaration> {
    let (text, says) = if end {
        read_final_record(record)?;
        (record.get("says").cloned().unwrap_or_default(), record.get("says").is_some())
    } else {
        let class = record.get("spec")?.get(users::CLASS)?.clone();
        let mut says = crate::job_shard::declarations_in_record(record).unwrap_or_else(|| json!({}));
        says[users::CLASS] = class;
        (says, true)
    };
    // It ended before classes were kept, or while the guard was off.
    if !says {
        return Some(JobDeclaration::default());
    }
    let batch = match text.get("batch") {
        None => None,
        Some(b) => Some(BatchVersion {
            name: b.get("name")?.as_str()?.to_owned(),
            version: b.get("version")?.as_u64()?,
        }),
    };
    let follows = text.get("follows").and_then(Value::as_str).map(unpack_job_ids).unwrap_or_default();
    Some(JobDeclaration {
        class: text.get(users::CLASS).and_then(Value::as_str).map(str::to_owned),
        batch,
        dependencies: follows,
    })
}

fn says_of_job(j: &Job) -> JobDeclaration {
    let batch = j.spec.batch.as_ref().map(|b| BatchVersion { name: b.name.clone(), version: b.version });
    JobDeclaration { class: Some(j.spec.class.clone()), batch, dependencies: j.declared_dependencies() }
}

fn run_of(job: &str, says: &Value) -> Option<Run> {
    let version = says.get("version")?.as_u64()?;
    Some(Run { job: job.to_owned(), class: says.get(users::CLASS)?.as_str()?.to_owned(), version })
}

impl Controller {
    fn classes(&self) -> Option<&Classes> {
        self.settings.operators.freshness.as_ref()
    }

    /// Whether operators have switched the guard on.
    pub(super) fn batches_on(&self) -> bool {
        self.classes().is_some()
    }

    // ---- Acceptance ----

    /// The condition on which a submission that names a batch is taken. A run that names a newer version than the one on
    /// record raises it in the transaction that puts the run on record: a repeated submission that names another version
    /// fails on the run's record, and then raises nothing.
    pub(super) fn batch_gate(&mut self, now: Micros, id: &str, _out: &mut Vec<Effect>) -> JoinDecision {
        let Some(a) = self.user_requests.submissions.get_mut(id) else {
            return JoinDecision::Open(Vec::new());
        };
        if a.coordinated_write.take().is_some() {
            // The record had changed when this was to be put on record: one that is newer must be read.
            a.readings_since = now;
        }
        let (since, spec) = (a.readings_since, &a.spec);
        if spec.batch.is_none() && spec.merges.is_none() {
            return JoinDecision::Open(Vec::new());
        }
        let Some(classes) = self.settings.operators.freshness.as_ref() else {
            return JoinDecision::Never("batch: batches are not switched on here".into());
        };
        if spec.merges.is_some() && !classes.can_merge(&spec.class) {
            let list: Vec<&str> = classes.merges.iter().map(String::as_str).collect();
            let (class, list) = (&spec.class, list.join(", "));
            return JoinDecision::Never(format!(
                "merges: {class} writes no tables; those that may name it: {list}"
            ));
        }
        if spec.merges.is_some() && spec.is_rotation() {
            return JoinDecision::Never("merges: a rotation can't be a merge as well".into());
        }
        let Some((key, version)) = spec.batch.as_ref().and_then(|b| Some((b.key()?, b.version))) else {
            return JoinDecision::Open(Vec::new());
        };
        // An older one is taken and is simply old: to refuse it would turn a repeated submission away, and it harms
        // nobody, since nothing that rests on it starts. Versions only rise, so any reading will do for that.
        if matches!(self.coordination_record(now, &key) , CachedRecord::Present(r) if version<=r.version) {
            return JoinDecision::Open(Vec::new());
        }
        if self
            .user_requests
            .submissions
            .values()
            .any(|a| a.coordinated_write.as_ref().is_some_and(|write| write.key == key))
        {
            return JoinDecision::Wait;
        }
        let next = match self.coordination_record_since(now, &key, since) {
            None | Some(CachedRecord::NotRead) => return JoinDecision::Wait,
            Some(CachedRecord::Unreadable(why)) => {
                return JoinDecision::Later(format!("the record of its batch: {why}"));
            }
            Some(CachedRecord::Absent) => Batch::new(version),
            Some(CachedRecord::Present(r)) => match Batch::read(&r).map(|b| b.put_version(version)) {
                Ok(Ok(VersionChange::Raised(next))) => next,
                Ok(_) => return JoinDecision::Open(Vec::new()),
                Err(why) => return JoinDecision::Later(format!("the record of its batch: {why}")),
            },
        };
        let condition = self.join_condition(&key);
        if let Some(a) = self.user_requests.submissions.get_mut(id) {
            a.coordinated_write = Some(CoordinatedWrite { key, record: next.record(), sent_at: now });
        }
        JoinDecision::Open(vec![condition])
    }

    /// A run was put on record with a newer version of its batch.
    pub(super) fn raised(&mut self, id: &str, write: Option<CoordinatedWrite>, store_version: u64) {
        let Some(CoordinatedWrite { key, record, sent_at }) = write else { return };
        tracing::info!(
            batch = %key.name(),
            version = record.version,
            by = id,
            "batch is at a newer version"
        );
        self.freshness.counts.raised += 1;
        self.freshness.next = Micros(0);
        self.coordination.records.apply_commit(&key, sent_at, record, store_version);
    }

    // ---- What jobs say ----

    /// What is known of a job. All that a merge follows is done on record before it is looked at here, so whatever is
    /// upstream of it has ended, also where a live record was the last that was read.
    fn known_of(&self, id: &str) -> JobLookup {
        if let Some(j) = self.job_shard.jobs.get(id) {
            return JobLookup::Ended(says_of_job(j));
        }
        match self.freshness.says.get(id) {
            Some(s) => JobLookup::Ended(s.clone()),
            None if self.freshness.unreadable.contains_key(id) => JobLookup::Unreadable,
            None => JobLookup::Unread,
        }
    }

    fn read_says(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due: Vec<String> =
            self.freshness.unreadable.iter().filter(|(_, t)| now >= **t).map(|(id, _)| id.clone()).collect();
        for id in due {
            self.freshness.unreadable.remove(&id);
        }
        while self.state_store.in_flight.len() < IN_FLIGHT
            && now >= self.state_store.paused_until
            && self.state_store.request_limiter.level(now) >= 0.3
        {
            let Some(id) = self.freshness.unread.pop_first() else { break };
            if self.freshness.says.contains_key(&id) || !self.freshness.reading.insert(id.clone()) {
                continue;
            }
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let get = StoreRequest::Get(format!("job/{id}"));
            self.ask_store(
                PendingStoreRequest::Freshness(PendingFreshnessRequest::Declaration(id, false)),
                get,
                out,
            );
        }
    }

    /// An answer of the state service.
    pub(super) fn fresh_answer(
        &mut self,
        now: Micros,
        p: PendingFreshnessRequest,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let (id, end) = match p {
            PendingFreshnessRequest::Declaration(id, end) => (id, end),
            PendingFreshnessRequest::Heads(ticket) => return self.listed(ticket, a),
        };
        match a {
            StoreAnswer::Got(Some(row)) => {
                self.freshness.reading.remove(&id);
                if self.freshness.says.len() >= KNOWN {
                    self.freshness.says.clear();
                }
                match says_of(&row.value, end) {
                    Some(s) => {
                        self.freshness.says.insert(id, s);
                    }
                    None => {
                        tracing::error!(job = %id, "unreadable record: merges that rest on it are held");
                        self.freshness.unreadable.insert(id, now + AGAIN);
                    }
                }
                if self.freshness.unread.is_empty() && self.freshness.reading.is_empty() {
                    self.freshness.next = Micros(0);
                }
            }
            // It may have ended between the two: in this order it is seen in one of them.
            StoreAnswer::Got(None) if !end => {
                let get = StoreRequest::Get(format!("done/{id}"));
                self.ask_store(
                    PendingStoreRequest::Freshness(PendingFreshnessRequest::Declaration(id, true)),
                    get,
                    out,
                );
            }
            StoreAnswer::Got(None) => {
                self.freshness.reading.remove(&id);
                tracing::error!(job = %id, "no record of a job that a merge rests on");
                self.freshness.unreadable.insert(id, now + AGAIN);
            }
            _ => {
                self.freshness.reading.remove(&id);
                self.freshness.unread.insert(id);
            }
        }
    }

    // ---- Runs that supersede ----

    /// Whether ends must be watched, since one of them may let a stale merge go on.
    pub(super) fn batches_watch(&self) -> bool {
        self.freshness.merges.values().any(|s| s.sought)
    }

    /// The watch begins only now: what ended before must be found by a census.
    pub(super) fn batches_unwatched(&mut self, now: Micros) {
        self.freshness.watched = Some(now);
    }

    /// The watch tells of an end.
    pub(super) fn run_ended(&mut self, id: &str, value: &Value) {
        if self.freshness.runs.is_empty() || !matches!(read_final_record(value), Some((JobOutcome::Done, _)))
        {
            return;
        }
        let Some(says) = value.get("says") else { return };
        let Some(b) = says.get("batch") else { return };
        let key = b.get("name").and_then(Value::as_str).and_then(|n| Key::new(Sort::Batch, n).ok());
        let mut b = b.clone();
        b[users::CLASS] = says.get(users::CLASS).cloned().unwrap_or_default();
        if let Some(runs) = key.and_then(|k| self.freshness.runs.get_mut(&k.head_key()))
            && let Some(run) = run_of(id, &b)
        {
            runs.1.insert(run);
            self.freshness.next = Micros(0);
        }
    }

    /// Done runs under a batch, as far as they are known: a census once a merge was found stale, and then the watch.
    fn runs_of(&mut self, key: &Key) -> BTreeSet<Run> {
        let mut runs = self.freshness.runs.get(&key.head_key()).map(|r| r.1.clone()).unwrap_or_default();
        if let Some(members) = self.members_so_far(key) {
            let done = members.iter().filter(|(_, m)| m.state == CensusJobState::Done);
            runs.extend(done.filter_map(|(id, m)| run_of(id, &m.declaration)));
        }
        runs
    }

    /// Since when a census must have begun so that with what the watch has told since, all done runs are known.
    fn runs_since(&self, key: &Key) -> Option<Micros> {
        let (since, _) = self.freshness.runs.get(&key.head_key())?;
        let watched = self.freshness.watched.filter(|_| self.dependencies.is_watching())?;
        Some(watched.max(*since))
    }

    /// Whether all done runs under a batch are known here. Guards against refusing or stopping a merge that new runs have
    /// made fresh: who has just become its leader knows only what it names itself.
    fn runs_known(&self, key: &Key) -> bool {
        let began = self.census_began(key);
        self.runs_since(key).is_some_and(|since| began.is_some_and(|b| b >= since))
    }

    /// A merge was found stale: runs that supersede the old ones are looked for.
    fn mark_stale(&mut self, now: Micros, id: &str, key: &Key) {
        let new = SeenRevision { since: now, stale: true, sought: true };
        self.freshness.merges.entry(id.to_owned()).or_insert(new).sought = true;
        self.freshness.runs.entry(key.head_key()).or_insert((now, BTreeSet::new()));
    }

    // ---- The guard ----

    /// A new epoch: each merge is looked at anew.
    pub(super) fn batches_anew(&mut self) {
        self.freshness.merges.clear();
        self.freshness.runs.clear();
        self.freshness.watched = None;
        self.freshness.next = Micros(0);
    }

    fn verdict(&mut self, held: &CachedRecord, merge: &Merge, key: &Key) -> Verdict {
        let runs = self.runs_of(key);
        let Some(classes) = self.classes() else {
            return Verdict::Unknown(guard::UnknownCause::RecordUnreadable(
                "the guard is not switched on here".into(),
            ));
        };
        let (found, _) =
            hazelsaddle_freshness::upstream::upstream_closure(&merge.dependencies, |id| self.known_of(id));
        let unread: Vec<String> =
            found.into_iter().filter(|(_, k)| *k == JobLookup::Unread).map(|(id, _)| id).collect();
        let verdict = merge.assess(classes, held, |id| self.known_of(id), &runs);
        self.freshness.unread.extend(unread);
        verdict
    }

    fn merge_of(&self, id: &str) -> Option<(Key, Merge)> {
        let j = self.job_shard.jobs.get(id)?;
        let m = j.spec.merges.as_ref()?;
        let of = BatchVersion { name: m.name.clone(), version: m.version };
        Some((m.key()?, Merge { batch: of, dependencies: j.declared_dependencies() }))
    }

    /// What batches need in each round, which begins with nothing asked for: a census for each stale merge.
    pub(super) fn batch_loop(&mut self, _now: Micros, _out: &mut Vec<Effect>) {
        let operating = &self.coordination.operating;
        self.freshness.lists.retain(|ticket, _| operating.iter().any(|o| o.ticket == *ticket));
        let sought = self.freshness.merges.iter().filter(|(_, s)| s.sought);
        let sought: BTreeSet<Key> = sought.filter_map(|(id, _)| self.merge_of(id).map(|m| m.0)).collect();
        for key in sought {
            if let Some(since) = self.runs_since(&key) {
                self.census_since(&key, since);
            }
        }
    }

    /// What can't wait for the next round: writers' questions, and news.
    pub(super) fn batch_now(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.batches_on() {
            return;
        }
        if now >= self.freshness.next {
            self.freshness.next = now + PAUSE;
            self.look_at_merges(now);
            self.release_permits(now, out);
        }
        self.answer_writers(now, out);
        self.read_says(now, out);
    }

    fn look_at_merges(&mut self, now: Micros) {
        let ids: Vec<String> = self
            .job_shard
            .jobs
            .iter()
            .filter(|(_, j)| {
                j.spec.merges.is_some()
                    && j.pending_outcome.is_none()
                    && j.unfinished_dependencies().next().is_none()
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.freshness.merges.retain(|id, _| ids.binary_search(id).is_ok());
        let mut heads = BTreeSet::new();
        for id in ids {
            let Some((key, merge)) = self.merge_of(&id) else { continue };
            let mut seen = self
                .freshness
                .merges
                .get(&id)
                .cloned()
                .unwrap_or(SeenRevision { since: now, ..SeenRevision::default() });
            let held = self.coordination_record(now, &key);
            let verdict = self.verdict(&held, &merge, &key);
            let since = seen.since.max(Micros(now.0.saturating_sub(RECENT.0)));
            let recent = self.coordination.records.get_since(&key, since).is_some();
            if !recent {
                self.coordination_record_since(now, &key, since);
            }
            match verdict {
                Verdict::Fresh(_) => seen.stale = false,
                Verdict::Stale(..) => seen.stale = true,
                // Nothing new: what was looked for still is.
                Verdict::Unknown(_) => {}
            }
            seen.sought |= seen.stale;
            let sought = seen.sought;
            self.freshness.merges.insert(id.clone(), seen);
            if sought {
                heads.insert(key.head_key());
                self.mark_stale(now, &id, &key);
            }
            let known = self.runs_known(&key);
            self.guard_merge(&id, &held, &verdict, recent, known);
        }
        self.freshness.runs.retain(|head, _| heads.contains(head));
    }

    /// Lifts a merge's hold, or holds it; what runs of one whose inputs are old is stopped.
    fn guard_merge(&mut self, id: &str, held: &CachedRecord, verdict: &Verdict, recent: bool, known: bool) {
        let Some(j) = self.job_shard.jobs.get(id) else { return };
        if verdict.may_start() && recent {
            if matches!(j.hold(), Some(Hold::Batch(_))) {
                self.job_shard.lift_hold(id);
            }
            return;
        }
        let why = match verdict {
            Verdict::Fresh(_) => "the record of its batch must be read again".to_owned(),
            v => v.reason(),
        };
        if j.hold().is_none_or(|h| h.reason() != why) {
            tracing::info!(job = id, reason = %why, "merge is held");
            self.job_shard.hold_job(id, Hold::Batch(why));
        }
        if known && matches!(verdict, Verdict::Stale(..)) {
            let writes = |task: Option<u32>, attempt: u64| {
                !verdict.must_stop(held, &Writer { job: id.to_owned(), attempt, task })
            };
            let stopped = self.job_shard.stop_stale_attempts(id, writes);
            if stopped > 0 {
                self.freshness.counts.stopped += stopped as u64;
                tracing::info!(job = id, tasks = stopped, "merge on old inputs is stopped, nothing is saved");
            }
        }
    }
}
