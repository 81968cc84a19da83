//! Batches: merges start, and write, only on fresh inputs. The batch record, the upstream inspection and the
//! decisions are in `crates/freshness`; this module supplies their inputs and carries the decisions out.

mod permits;
mod show;

use super::coordination::{JoinDecision, OperatorRequest};
use super::*;
use crate::job_shard::dependencies::unpack_job_ids;
use crate::job_shard::{AttemptStatus, Hold, Job};
use crate::wire::users;
use hazelsaddle_coordination::census::CensusJobState;
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Kind as RecordKind};
use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_freshness::batch::{Batch, Permit, VersionChange, Writer};
use hazelsaddle_freshness::guard::{self, Merge, PermitAnswer, Verdict};
use hazelsaddle_freshness::settings::{Settings as FreshnessSettings, find_nearest};
use hazelsaddle_freshness::upstream::{BatchVersion, JobDeclaration, JobLookup, Run, UpstreamFindings};

/// Time between two checks of the merges; new information triggers a check at once.
const MERGE_CHECK_PERIOD: Micros = Micros::from_millis(300);
/// A merge starts tasks only on a read of its batch's record that is no older than this.
const MAX_READ_AGE: Micros = Micros::from_millis(3_000);
/// A writer waits this long for its answer before it is asked to retry.
const PERMIT_REQUEST_TIMEOUT: Micros = Micros::from_millis(3_000);
/// Maximum number of cached declarations; a job's declaration never changes.
const MAX_CACHED_DECLARATIONS: usize = 20_000;
/// Delay before an unreadable record is read again.
const RETRY_DELAY: Micros = Micros::from_millis(5_000);
/// Maximum number of pending permit requests.
const MAX_PERMIT_REQUESTS: usize = 500;
/// Time between two releases of permits of ended attempts, for each batch.
const PERMIT_RELEASE_PERIOD: Micros = Micros::from_millis(1_000);
/// Maximum number of batches in one list.
const MAX_LISTED_BATCHES: usize = 1000;

/// The purpose of a request to the state store.
#[derive(Clone, Debug)]
pub(super) enum PendingFreshnessRequest {
    /// Reads a job's declaration: from its live record (false), then from its final one (true).
    Declaration(String, bool),
    /// Reads a page of batches for an operator's ticket.
    Heads(u64),
}

/// A permit request of a writer.
struct PermitRequest {
    caller: Caller,
    job: String,
    attempt: u64,
    task: u32,
    received_at: Micros,
}

/// What this controller knows of a merge that it leads.
#[derive(Clone, Debug, Default)]
struct MergeState {
    /// When the merge was first checked in this epoch; earlier reads don't count.
    first_checked_at: Micros,
    /// Whether its inputs are stale.
    stale: bool,
    /// Whether its inputs have ever been found stale. From then on, runs that supersede the stale ones are
    /// searched for and remembered for the lifetime of the merge.
    ever_stale: bool,
}

/// Event counts since the process started, for operators.
#[derive(Clone, Copy, Debug, Default)]
struct EventCounts {
    permits: u64,
    refused: u64,
    stopped: u64,
    raised: u64,
}

/// The state of batches on this controller.
#[derive(Default)]
pub(super) struct Freshness {
    next_check_at: Micros,
    merges: BTreeMap<String, MergeState>,
    /// Declarations of jobs of other leaders and of ended jobs.
    declarations: BTreeMap<String, JobDeclaration>,
    /// Jobs whose records must be read, and those that are being read.
    unread: BTreeSet<String>,
    being_read: BTreeSet<String>,
    unreadable: BTreeMap<String, Micros>,
    permit_requests: Vec<PermitRequest>,
    /// Done runs reported by the watch, by batch head key, and since when they are collected. Only batches of
    /// merges that have been found stale are included.
    runs: BTreeMap<String, (Micros, BTreeSet<Run>)>,
    /// Since when the watch reports all outcomes.
    watching_since: Option<Micros>,
    next_permit_release: BTreeMap<Key, Micros>,
    /// Lists in progress, by operator's ticket: the last key read, the rows so far, whether the list is
    /// complete, and whether a page is being read.
    lists: BTreeMap<u64, (String, Vec<Value>, bool, bool)>,
    counts: EventCounts,
}

/// Parses the declaration in a job's record, live or final (`is_final`); None if it is unreadable.
fn parse_declaration(record: &Value, is_final: bool) -> Option<JobDeclaration> {
    let (stored, is_declared) = if is_final {
        read_final_record(record)?;
        (record.get("says").cloned().unwrap_or_default(), record.get("says").is_some())
    } else {
        let class = record.get("spec")?.get(users::CLASS)?.clone();
        let mut declaration = crate::job_shard::declarations_in_record(record).unwrap_or_else(|| json!({}));
        declaration[users::CLASS] = class;
        (declaration, true)
    };
    // The job ended before classes were stored, or while freshness checks were not enabled.
    if !is_declared {
        return Some(JobDeclaration::default());
    }
    let batch = match stored.get("batch") {
        None => None,
        Some(batch) => Some(BatchVersion {
            name: batch.get("name")?.as_str()?.to_owned(),
            version: batch.get("version")?.as_u64()?,
        }),
    };
    let follows = stored.get("follows").and_then(Value::as_str).map(unpack_job_ids).unwrap_or_default();
    Some(JobDeclaration {
        class: stored.get(users::CLASS).and_then(Value::as_str).map(str::to_owned),
        batch,
        dependencies: follows,
    })
}

fn declaration_of(job: &Job) -> JobDeclaration {
    let batch = job
        .spec
        .batch
        .as_ref()
        .map(|batch| BatchVersion { name: batch.name.clone(), version: batch.version });
    JobDeclaration { class: Some(job.spec.class.clone()), batch, dependencies: job.declared_dependencies() }
}

fn parse_run(job: &str, declaration: &Value) -> Option<Run> {
    let version = declaration.get("version")?.as_u64()?;
    Some(Run { job: job.to_owned(), class: declaration.get(users::CLASS)?.as_str()?.to_owned(), version })
}

impl Controller {
    fn freshness_settings(&self) -> Option<&FreshnessSettings> {
        self.settings.operators.freshness.as_ref()
    }

    /// Whether operators have enabled freshness checks.
    pub(super) fn is_freshness_enabled(&self) -> bool {
        self.freshness_settings().is_some()
    }

    // ---- Acceptance ----

    /// Decides whether a submission that names a batch may be stored. A run that names a newer version than
    /// the stored one raises the batch's version in the transaction that stores the run. A repeated
    /// submission that names another version fails on the run's own record and then raises nothing.
    pub(super) fn decide_batch_join(
        &mut self,
        now: Micros,
        id: &str,
        _out: &mut Vec<Effect>,
    ) -> JoinDecision {
        let Some(submission) = self.user_requests.submissions.get_mut(id) else {
            return JoinDecision::Allow(Vec::new());
        };
        if submission.coordinated_write.take().is_some() {
            // The batch's record had changed when the job was to be stored, so it must be read again.
            submission.reads_since = now;
        }
        let (reads_since, spec) = (submission.reads_since, &submission.spec);
        if spec.batch.is_none() && spec.merges.is_none() {
            return JoinDecision::Allow(Vec::new());
        }
        let Some(settings) = self.settings.operators.freshness.as_ref() else {
            return JoinDecision::Reject("batch: batches are not switched on here".into());
        };
        if spec.merges.is_some() && !settings.can_merge(&spec.class) {
            let mergeable_classes: Vec<&str> = settings.merges.iter().map(String::as_str).collect();
            let (class, mergeable_classes) = (&spec.class, mergeable_classes.join(", "));
            return JoinDecision::Reject(format!(
                "merges: {class} writes no tables; those that may name it: {mergeable_classes}"
            ));
        }
        if spec.merges.is_some() && spec.is_rotation() {
            return JoinDecision::Reject("merges: a rotation can't be a merge as well".into());
        }
        let Some((key, version)) = spec.batch.as_ref().and_then(|batch| Some((batch.key()?, batch.version)))
        else {
            return JoinDecision::Allow(Vec::new());
        };
        // A run of an older version is accepted and is simply stale: rejecting it would reject a repeated
        // submission, and accepting it does no harm, since nothing that depends on it starts. Versions only
        // grow, so any read is recent enough for this.
        if matches!(self.coordination_record(now, &key) , CachedRecord::Present(record) if version<=record.version)
        {
            return JoinDecision::Allow(Vec::new());
        }
        if self
            .user_requests
            .submissions
            .values()
            .any(|submission| submission.coordinated_write.as_ref().is_some_and(|write| write.key == key))
        {
            return JoinDecision::Pending;
        }
        let next = match self.coordination_record_since(now, &key, reads_since) {
            None | Some(CachedRecord::NotRead) => return JoinDecision::Pending,
            Some(CachedRecord::Unreadable(why)) => {
                tracing::error!(job = id, batch = %key.name(), reason = %why, "unreadable record of a batch");
                return JoinDecision::Defer(Refusal::BatchUnreadable);
            }
            Some(CachedRecord::Absent) => Batch::new(version),
            Some(CachedRecord::Present(record)) => {
                match Batch::read(&record).map(|batch| batch.put_version(version)) {
                    Ok(Ok(VersionChange::Raised(next))) => next,
                    Ok(_) => return JoinDecision::Allow(Vec::new()),
                    Err(why) => {
                        tracing::error!(job = id, batch = %key.name(), reason = %why, "unreadable record of a batch");
                        return JoinDecision::Defer(Refusal::BatchUnreadable);
                    }
                }
            }
        };
        let condition = self.join_condition(&key);
        if let Some(submission) = self.user_requests.submissions.get_mut(id) {
            submission.coordinated_write =
                Some(CoordinatedWrite { key, record: next.to_record(), sent_at: now });
        }
        JoinDecision::Allow(vec![condition])
    }

    /// Applies that a run was stored together with a newer version of its batch.
    pub(super) fn note_raised_batch(
        &mut self,
        id: &str,
        write: Option<CoordinatedWrite>,
        store_version: u64,
    ) {
        let Some(CoordinatedWrite { key, record, sent_at }) = write else { return };
        tracing::info!(
            batch = %key.name(),
            version = record.version,
            by = id,
            "batch is at a newer version"
        );
        self.freshness.counts.raised += 1;
        self.freshness.next_check_at = Micros(0);
        self.coordination.records.apply_commit(&key, sent_at, record, store_version);
    }

    // ---- Declarations ----

    /// What is known of a job. A merge is checked only after all jobs that it follows are stored as done.
    /// Everything upstream of it has therefore ended, even if the last record read was a live one.
    fn look_up_declaration(&self, id: &str) -> JobLookup {
        if let Some(job) = self.job_shard.jobs.get(id) {
            return JobLookup::Ended(declaration_of(job));
        }
        match self.freshness.declarations.get(id) {
            Some(declaration) => JobLookup::Ended(declaration.clone()),
            None if self.freshness.unreadable.contains_key(id) => JobLookup::Unreadable,
            None => JobLookup::Unread,
        }
    }

    fn read_declarations(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let due: Vec<String> = self
            .freshness
            .unreadable
            .iter()
            .filter(|(_, retry_at)| now >= **retry_at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.freshness.unreadable.remove(&id);
        }
        while self.state_store.in_flight.len() < MAX_IN_FLIGHT
            && now >= self.state_store.paused_until
            && self.state_store.request_limiter.level(now) >= 0.3
        {
            let Some(id) = self.freshness.unread.pop_first() else { break };
            if self.freshness.declarations.contains_key(&id) || !self.freshness.being_read.insert(id.clone())
            {
                continue;
            }
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let read = StoreRequest::Get(format!("job/{id}"));
            self.send_store_request(
                PendingStoreRequest::Freshness(PendingFreshnessRequest::Declaration(id, false)),
                read,
                out,
            );
        }
    }

    /// Applies a response of the state store.
    pub(super) fn apply_freshness_answer(
        &mut self,
        now: Micros,
        pending: PendingFreshnessRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let (id, is_final) = match pending {
            PendingFreshnessRequest::Declaration(id, is_final) => (id, is_final),
            PendingFreshnessRequest::Heads(ticket) => return self.apply_batch_page(ticket, answer),
        };
        match answer {
            StoreAnswer::Got(Some(row)) => {
                self.freshness.being_read.remove(&id);
                if self.freshness.declarations.len() >= MAX_CACHED_DECLARATIONS {
                    self.freshness.declarations.clear();
                }
                match parse_declaration(&row.value, is_final) {
                    Some(declaration) => {
                        self.freshness.declarations.insert(id, declaration);
                    }
                    None => {
                        tracing::error!(job = %id, "unreadable record: merges that rest on it are held");
                        self.freshness.unreadable.insert(id, now + RETRY_DELAY);
                    }
                }
                if self.freshness.unread.is_empty() && self.freshness.being_read.is_empty() {
                    self.freshness.next_check_at = Micros(0);
                }
            }
            // The job may end between the two reads; in this order one of them finds it.
            StoreAnswer::Got(None) if !is_final => {
                let read = StoreRequest::Get(format!("done/{id}"));
                self.send_store_request(
                    PendingStoreRequest::Freshness(PendingFreshnessRequest::Declaration(id, true)),
                    read,
                    out,
                );
            }
            StoreAnswer::Got(None) => {
                self.freshness.being_read.remove(&id);
                tracing::error!(job = %id, "missing record of a job that a merge depends on");
                self.freshness.unreadable.insert(id, now + RETRY_DELAY);
            }
            _ => {
                self.freshness.being_read.remove(&id);
                self.freshness.unread.insert(id);
            }
        }
    }

    // ---- Superseding runs ----

    /// Whether outcomes must be watched, since a new run may make a stale merge fresh.
    pub(super) fn has_merges_awaiting_runs(&self) -> bool {
        self.freshness.merges.values().any(|state| state.ever_stale)
    }

    /// The watch begins only now, so runs that ended earlier must be found by a census.
    pub(super) fn note_run_watch_started(&mut self, now: Micros) {
        self.freshness.watching_since = Some(now);
    }

    /// Applies an outcome reported by the watch.
    pub(super) fn apply_run_outcome(&mut self, id: &str, value: &Value) {
        if self.freshness.runs.is_empty() || !matches!(read_final_record(value), Some((JobOutcome::Done, _)))
        {
            return;
        }
        let Some(declaration) = value.get("says") else { return };
        let Some(batch) = declaration.get("batch") else { return };
        let key =
            batch.get("name").and_then(Value::as_str).and_then(|name| Key::new(RecordKind::Batch, name).ok());
        let mut batch = batch.clone();
        batch[users::CLASS] = declaration.get(users::CLASS).cloned().unwrap_or_default();
        if let Some(runs) = key.and_then(|key| self.freshness.runs.get_mut(&key.head_key()))
            && let Some(run) = parse_run(id, &batch)
        {
            runs.1.insert(run);
            self.freshness.next_check_at = Micros(0);
        }
    }

    /// The known done runs of a batch: from a census, once a merge was found stale, and then from the watch.
    fn known_runs(&mut self, key: &Key) -> BTreeSet<Run> {
        let mut runs =
            self.freshness.runs.get(&key.head_key()).map(|collected| collected.1.clone()).unwrap_or_default();
        if let Some(members) = self.members_so_far(key) {
            let done = members.iter().filter(|(_, member)| member.state == CensusJobState::Done);
            runs.extend(done.filter_map(|(id, member)| parse_run(id, &member.declaration)));
        }
        runs
    }

    /// The time since which a census must have begun so that, together with the watch, all done runs are
    /// known.
    fn required_census_start(&self, key: &Key) -> Option<Micros> {
        let (since, _) = self.freshness.runs.get(&key.head_key())?;
        let watching_since = self.freshness.watching_since.filter(|_| self.dependencies.is_watching())?;
        Some(watching_since.max(*since))
    }

    /// Whether all done runs of a batch are known here. Until then, a new leader knows only the runs that it
    /// has seen itself, and might refuse or stop a merge that newer runs have made fresh.
    fn has_all_runs(&self, key: &Key) -> bool {
        let census_began = self.census_began(key);
        self.required_census_start(key)
            .is_some_and(|since| census_began.is_some_and(|began_at| began_at >= since))
    }

    /// Marks a merge as stale and starts the search for runs that supersede its inputs.
    fn mark_stale(&mut self, now: Micros, id: &str, key: &Key) {
        let state = MergeState { first_checked_at: now, stale: true, ever_stale: true };
        self.freshness.merges.entry(id.to_owned()).or_insert(state).ever_stale = true;
        self.freshness.runs.entry(key.head_key()).or_insert((now, BTreeSet::new()));
    }

    // ---- Verdicts ----

    /// Called for a new epoch: all merges are checked again.
    pub(super) fn reset_batches(&mut self) {
        self.freshness.merges.clear();
        self.freshness.runs.clear();
        self.freshness.watching_since = None;
        self.freshness.next_check_at = Micros(0);
    }

    fn assess_merge(&mut self, cached: &CachedRecord, merge: &Merge, key: &Key) -> Verdict {
        let runs = self.known_runs(key);
        let Some(settings) = self.freshness_settings() else {
            return Verdict::Unknown(guard::UnknownCause::RecordUnreadable(
                "the guard is not switched on here".into(),
            ));
        };
        let (found, _) = hazelsaddle_freshness::upstream::upstream_closure(&merge.dependencies, |id| {
            self.look_up_declaration(id)
        });
        let unread: Vec<String> = found
            .into_iter()
            .filter(|(_, knowledge)| *knowledge == JobLookup::Unread)
            .map(|(id, _)| id)
            .collect();
        let verdict = merge.assess(settings, cached, |id| self.look_up_declaration(id), &runs);
        self.freshness.unread.extend(unread);
        verdict
    }

    fn find_merge(&self, id: &str) -> Option<(Key, Merge)> {
        let job = self.job_shard.jobs.get(id)?;
        let batch = job.spec.merges.as_ref()?;
        let batch_version = BatchVersion { name: batch.name.clone(), version: batch.version };
        Some((batch.key()?, Merge { batch: batch_version, dependencies: job.declared_dependencies() }))
    }

    /// The periodic work on batches: requests a census for each stale merge.
    pub(super) fn request_batch_censuses(&mut self, _now: Micros, _out: &mut Vec<Effect>) {
        let operator_requests = &self.coordination.operator_requests;
        self.freshness
            .lists
            .retain(|ticket, _| operator_requests.iter().any(|request| request.ticket == *ticket));
        let stale_merges = self.freshness.merges.iter().filter(|(_, state)| state.ever_stale);
        let stale_keys: BTreeSet<Key> =
            stale_merges.filter_map(|(id, _)| self.find_merge(id).map(|merge| merge.0)).collect();
        for key in stale_keys {
            if let Some(since) = self.required_census_start(&key) {
                self.census_since(&key, since);
            }
        }
    }

    /// The work that can't wait for the next round: permit requests, and checks after new information.
    pub(super) fn reconcile_batches(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.is_freshness_enabled() {
            return;
        }
        if now >= self.freshness.next_check_at {
            self.freshness.next_check_at = now + MERGE_CHECK_PERIOD;
            self.check_merges(now);
            self.release_permits(now, out);
        }
        self.answer_permit_requests(now, out);
        self.read_declarations(now, out);
    }

    fn check_merges(&mut self, now: Micros) {
        let ids: Vec<String> = self
            .job_shard
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.spec.merges.is_some()
                    && job.pending_outcome.is_none()
                    && job.unfinished_dependencies().next().is_none()
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.freshness.merges.retain(|id, _| ids.binary_search(id).is_ok());
        let mut stale_heads = BTreeSet::new();
        for id in ids {
            let Some((key, merge)) = self.find_merge(&id) else { continue };
            let mut state = self
                .freshness
                .merges
                .get(&id)
                .cloned()
                .unwrap_or(MergeState { first_checked_at: now, ..MergeState::default() });
            let cached = self.coordination_record(now, &key);
            let verdict = self.assess_merge(&cached, &merge, &key);
            let since = state.first_checked_at.max(Micros(now.0.saturating_sub(MAX_READ_AGE.0)));
            let is_read_recent = self.coordination.records.get_since(&key, since).is_some();
            if !is_read_recent {
                self.coordination_record_since(now, &key, since);
            }
            match verdict {
                Verdict::Fresh(_) => state.stale = false,
                Verdict::Stale(..) => state.stale = true,
                // No new information: the search goes on as before.
                Verdict::Unknown(_) => {}
            }
            state.ever_stale |= state.stale;
            let ever_stale = state.ever_stale;
            self.freshness.merges.insert(id.clone(), state);
            if ever_stale {
                stale_heads.insert(key.head_key());
                self.mark_stale(now, &id, &key);
            }
            let are_runs_known = self.has_all_runs(&key);
            self.apply_verdict(&id, &cached, &verdict, is_read_recent, are_runs_known);
        }
        self.freshness.runs.retain(|head, _| stale_heads.contains(head));
    }

    /// Lifts a merge's hold, or holds it; stops its running tasks if its inputs are stale.
    fn apply_verdict(
        &mut self,
        id: &str,
        cached: &CachedRecord,
        verdict: &Verdict,
        is_read_recent: bool,
        are_runs_known: bool,
    ) {
        let Some(job) = self.job_shard.jobs.get(id) else { return };
        if verdict.can_start() && is_read_recent {
            if matches!(job.hold(), Some(Hold::Batch(_))) {
                self.job_shard.lift_hold(id);
            }
            return;
        }
        let reason = match verdict {
            Verdict::Fresh(_) => "the record of its batch must be read again".to_owned(),
            verdict => verdict.reason(),
        };
        if job.hold().is_none_or(|hold| hold.reason() != reason) {
            tracing::info!(job = id, reason = %reason, "merge held");
            self.job_shard.hold_job(id, Hold::Batch(reason));
        }
        if are_runs_known && matches!(verdict, Verdict::Stale(..)) {
            let has_permit = |task: Option<u32>, attempt: u64| {
                !verdict.must_stop(cached, &Writer { job: id.to_owned(), attempt, task })
            };
            let stopped = self.job_shard.stop_stale_attempts(id, has_permit);
            if stopped > 0 {
                self.freshness.counts.stopped += stopped as u64;
                tracing::info!(
                    job = id,
                    tasks = stopped,
                    "merge stopped without saving: its inputs are stale"
                );
            }
        }
    }
}
