//! Jobs that follow others: watching the outcomes of the jobs that they follow, and passing on their
//! priorities.
//!
//! [`Dependencies`] owns the state of the watch; the job shard owns the waiting jobs. A waiting job is
//! released only by a final record.

use super::*;
use crate::wire::users;

/// How long the store keeps a watch open. A watch whose response is lost costs this time and a little more.
const WATCH_DURATION: Micros = Micros::from_millis(2_000);
/// Delay before a failed request is retried.
const RETRY_DELAY: Micros = Micros::from_millis(300);
/// Delay before an unreadable final record is read again.
const UNREADABLE_RETRY_DELAY: Micros = Micros::from_millis(5000);
/// Number of jobs remembered as accepted, so that each retry of a rejected submission has fewer left to look
/// up.
const MAX_KNOWN_JOBS: usize = 5000;
/// Maximum number of jobs that a job may follow: as many as can be looked up while a user keeps retrying.
pub(super) const MAX_DEPENDENCIES: usize = 250;

/// The state of the watch on outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Watch {
    /// No outcome is awaited.
    #[default]
    Off,
    /// The store's current revision has been requested.
    Starting,
    /// All changes up to this revision have been seen; `request_in_flight`: the store has been asked for the
    /// next ones.
    At { revision: u64, request_in_flight: bool },
}

/// The state of dependencies, apart from the waiting jobs.
#[derive(Default)]
pub(super) struct Dependencies {
    watch: Watch,
    retry_at: Micros,
    /// Jobs that are known to have been accepted and not to be services.
    known: BTreeSet<String>,
    /// Controllers whose last list of priorities was not empty.
    priority_receivers: BTreeSet<usize>,
}

impl Dependencies {
    /// Whether the watch reports all outcomes from now on.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.watch, Watch::At { .. })
    }

    fn note_known(&mut self, id: &str) {
        if self.known.len() >= MAX_KNOWN_JOBS {
            self.known.clear();
        }
        self.known.insert(id.to_owned());
    }
}

impl Controller {
    /// Sends the leaders of followed jobs the priorities of the jobs that wait for them. The list is always
    /// complete, so that a lost message is made up for by the next one. Called once per digest period.
    pub(super) fn send_inherited_priorities(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for peer in self.membership.members.clone() {
            if !self.can_read_dependencies(peer) {
                self.dependencies.priority_receivers.remove(&peer);
                continue;
            }
            let priorities = self.job_shard.inherited_priorities_for(peer, &self.membership);
            if priorities.is_empty() {
                // An empty list is sent once, to revoke the previous one.
                if !self.dependencies.priority_receivers.remove(&peer) {
                    continue;
                }
            } else {
                self.dependencies.priority_receivers.insert(peer);
            }
            if peer == self.settings.me {
                self.job_shard.apply_inherited_priorities(peer, priorities);
            } else {
                self.send(now, peer, Message::InheritedPriorities(priorities), out);
            }
        }
    }

    /// Whether any outcome is awaited.
    fn has_awaited_outcomes(&self) -> bool {
        self.job_shard.has_awaited_dependencies()
            || self.has_awaited_members()
            || self.has_merges_awaiting_runs()
    }

    /// The watch on final records and the reads that are due, for operators.
    pub(super) fn dependency_status(&self) -> Value {
        let counts = self.job_shard.dependency_counts();
        let watched_to_revision = match self.dependencies.watch {
            Watch::At { revision, .. } => Some(revision),
            Watch::Off | Watch::Starting => None,
        };
        json!({
            "awaited": counts.awaited,
            "reads_due": counts.reads_due,
            "unread": counts.unread,
            "watched_to_revision": watched_to_revision,
        })
    }

    /// Watches the outcomes of jobs that others follow, and reads those that the watch does not report.
    pub(super) fn watch_outcomes(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.dependencies.retry_at || now < self.state_store.paused_until {
            return;
        }
        match self.dependencies.watch {
            Watch::Off
                if self.has_awaited_outcomes() && self.state_store.request_limiter.take(now, 1.0, 0.1) =>
            {
                self.dependencies.watch = Watch::Starting;
                self.send_store_request(PendingStoreRequest::ReadRevision, StoreRequest::Revision, out);
            }
            Watch::At { revision, request_in_flight: false } => self.extend_watch(now, revision, out),
            _ => {}
        }
        if self.dependencies.is_watching() {
            self.read_outcomes(now, out);
        }
    }

    fn extend_watch(&mut self, now: Micros, revision: u64, out: &mut Vec<Effect>) {
        if !self.has_awaited_outcomes() {
            self.dependencies.watch = Watch::Off;
        } else if self.state_store.request_limiter.take(now, 1.0, 0.1) {
            self.dependencies.watch = Watch::At { revision, request_in_flight: true };
            let watch = StoreRequest::Watch("done/".into(), revision, WATCH_DURATION);
            self.send_store_request(PendingStoreRequest::WatchOutcomes, watch, out);
        }
    }

    fn read_outcomes(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while self.state_store.in_flight.len() < MAX_IN_FLIGHT
            && self.state_store.request_limiter.level(now) >= 0.2
        {
            let Some(dependency_read) = self.job_shard.begin_dependency_read() else { break };
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let request = StoreRequest::Get(format!("done/{}", dependency_read.dependency));
            self.send_store_request(PendingStoreRequest::ReadOutcome(dependency_read), request, out);
        }
    }

    /// Applies the response to the watch, or to the request for the store's revision before it.
    pub(super) fn apply_watch_answer(&mut self, now: Micros, answer: StoreAnswer) {
        match (self.dependencies.watch, answer) {
            (Watch::Starting, StoreAnswer::CurrentRevision(revision)) => {
                // Outcomes stored before this revision must be read; the watch reports later ones.
                self.job_shard.reread_dependencies();
                self.reread_awaited_members();
                self.note_run_watch_started(now);
                self.dependencies.watch = Watch::At { revision, request_in_flight: false };
                tracing::debug!(revision, "watching final records");
            }
            (Watch::At { revision, .. }, StoreAnswer::Changes(newest, written)) => {
                let revision = revision.max(newest);
                self.dependencies.watch = Watch::At { revision, request_in_flight: false };
                self.apply_watched_outcomes(now, &written);
            }
            (Watch::At { revision, .. }, answer) if answer != StoreAnswer::Compacted => {
                self.dependencies.retry_at = now + RETRY_DELAY;
                self.dependencies.watch = Watch::At { revision, request_in_flight: false };
            }
            (_, answer) => {
                tracing::debug!(?answer, "watch on final records lost");
                self.dependencies.retry_at = now + RETRY_DELAY;
                self.dependencies.watch = Watch::Off;
            }
        }
    }

    fn apply_watched_outcomes(&mut self, now: Micros, written: &[(String, Value)]) {
        for (key, value) in written {
            let Some(job) = key.strip_prefix("done/") else { continue };
            self.apply_run_outcome(job, value);
            if self.job_shard.is_awaited(job) || self.is_awaited_member(job) {
                self.apply_outcome(now, job, value);
            }
        }
    }

    fn apply_outcome(&mut self, now: Micros, job: &str, value: &Value) {
        match read_final_record(value) {
            Some((outcome, _)) => {
                self.job_shard.advance_wall_clock(self.rounds.wall);
                self.job_shard.apply_dependency_outcome(job, outcome);
                self.apply_member_outcome(job, outcome);
            }
            None => {
                tracing::error!(job = %job, "unreadable final record");
                self.job_shard.retry_dependency_read(job);
                self.dependencies.retry_at = now + UNREADABLE_RETRY_DELAY;
            }
        }
    }

    /// Applies the final record of a job that others follow, if it has one.
    pub(super) fn apply_dependency_outcome(
        &mut self,
        now: Micros,
        read: &DependencyRead,
        answer: StoreAnswer,
    ) {
        let job = read.dependency.as_str();
        let found = match &answer {
            StoreAnswer::Got(Some(_)) => "final record",
            StoreAnswer::Got(None) => "no final record",
            _ => "failed",
        };
        tracing::debug!(dependency = job, epoch = self.membership.epoch, found, "dependency read");
        match answer {
            StoreAnswer::Got(Some(row)) => self.apply_outcome(now, job, &row.value),
            StoreAnswer::Got(None) => self.job_shard.note_absent_outcome(read),
            _ => {
                self.job_shard.retry_dependency_read(job);
                self.dependencies.retry_at = now + RETRY_DELAY;
            }
        }
    }

    /// Whether a job is known to have been accepted and not to be a service.
    fn is_known_dependency(&self, id: &str) -> bool {
        self.job_shard.jobs.get(id).is_some_and(|job| job.spec.kind != JobKind::Service)
            || self.job_shard.outcome_of(id).is_some()
            || self.dependencies.known.contains(id)
    }

    /// Begins to look up the jobs that a submission follows. Returns a reply if it can't be accepted for now.
    pub(super) fn begin_dependency_check(
        &mut self,
        now: Micros,
        id: &str,
        spec: &JobSpec,
        out: &mut Vec<Effect>,
    ) -> Result<BTreeSet<String>, Reply> {
        let unknown: BTreeSet<String> =
            spec.dependencies.iter().filter(|job| !self.is_known_dependency(job)).cloned().collect();
        // A long list must not use up the request budget that leases and releases need: only as many jobs are
        // looked up as the budget allows. They are remembered, so that each retry gets further.
        for dependency in &unknown {
            if !self.state_store.request_limiter.take(now, 1.0, 0.3) {
                return Err(Reply::refuse(Refusal::DependenciesToLookUp));
            }
            let read = StoreRequest::Get(format!("job/{dependency}"));
            let dependency = dependency.clone();
            let pending = PendingStoreRequest::CheckDependency { job: id.to_owned(), dependency };
            self.send_store_request(pending, read, out);
        }
        Ok(unknown)
    }

    /// Applies the live record of a job that a submission follows. If there is none, the final record is
    /// read, in this order because the job may end between the two reads.
    pub(super) fn apply_dependency_check(
        &mut self,
        now: Micros,
        job: String,
        dependency: String,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let StoreAnswer::Got(found) = answer else { return self.fail_unread_dependency(now, &job, out) };
        let Some(row) = found else {
            let read = StoreRequest::Get(format!("done/{dependency}"));
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let pending = PendingStoreRequest::CheckDependencyOutcome { job, dependency };
            return self.send_store_request(pending, read, out);
        };
        if row.value.get("spec").is_some_and(users::is_service) {
            let why = format!("follows: {dependency} is a service, which is never done");
            return self.reject_submission(job, why, out);
        }
        self.note_dependency(now, job, &dependency, out);
    }

    /// Applies the final record of a job that a submission follows and that has no live record.
    pub(super) fn apply_dependency_outcome_check(
        &mut self,
        now: Micros,
        job: String,
        dependency: String,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            StoreAnswer::Got(Some(_)) => self.note_dependency(now, job, &dependency, out),
            StoreAnswer::Got(None) => {
                let why = format!("follows: {dependency} was never accepted");
                self.reject_submission(job, why, out);
            }
            _ => self.fail_unread_dependency(now, &job, out),
        }
    }

    fn fail_unread_dependency(&mut self, now: Micros, job: &str, out: &mut Vec<Effect>) {
        let reply = Reply::refuse(Refusal::DependencyUnreadable);
        self.fail_submission(now, job, &reply, out);
    }

    /// Notes that a job that a submission follows has a record; when all have one, the submission is stored.
    fn note_dependency(&mut self, now: Micros, job: String, dependency: &str, out: &mut Vec<Effect>) {
        self.dependencies.note_known(dependency);
        let Some(submission) = self.user_requests.submissions.get_mut(&job) else { return };
        let unchecked = &mut submission.unchecked_dependencies;
        if unchecked.remove(dependency) && unchecked.is_empty() {
            self.write_acceptance(now, job, out);
        }
    }
}
