//! Jobs that wait for others: watching for the ends of the jobs they follow, and handing priorities on to those.
//!
//! [`Dependencies`] owns how far ends have been watched; which jobs wait is the job shard's. A job is never let go on
//! anything but a final record.

use super::*;
use crate::wire::users;

/// How long a watch stays open. One whose answer is lost on the way costs that much and a little more.
const WATCH: Micros = Micros::from_millis(2_000);
/// A request that failed is repeated after so long.
const RETRY: Micros = Micros::from_millis(300);
/// A final record that can't be read is read again after so long.
const RETRY_UNREADABLE: Micros = Micros::from_millis(5000);
/// Ids remembered as accepted, so that a retry that follows a refusal gets further than it did.
const KNOWN: usize = 5000;
/// Most jobs that one may name: as many as can be looked up while a user goes on trying.
pub(super) const MOST_DEPENDENCIES: usize = 250;

/// How far the ends of jobs have been watched.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Watch {
    /// Nothing waits.
    #[default]
    Off,
    /// The store is asked for its revision.
    Starting,
    /// All changes up to this revision have been seen; `waiting`: the store is asked for the next.
    At { revision: u64, waiting: bool },
}

/// What this controller knows beside its waiting jobs.
#[derive(Default)]
pub(super) struct Dependencies {
    watch: Watch,
    retry_at: Micros,
    /// Jobs that were found to be accepted and no services.
    known: BTreeSet<String>,
    /// Controllers that were last sent a list of priorities that is not empty.
    inheritors: BTreeSet<usize>,
}

impl Dependencies {
    /// Whether ends are told of from here on.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.watch, Watch::At { .. })
    }

    fn note_known(&mut self, id: &str) {
        if self.known.len() >= KNOWN {
            self.known.clear();
        }
        self.known.insert(id.to_owned());
    }
}

impl Controller {
    /// Tells the leaders of jobs that others follow how urgent those are that wait for them: the whole list, so
    /// that a lost message heals. Called once in a digest period.
    pub(super) fn send_inherited_priorities(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for peer in self.membership.members.clone() {
            if !self.reads_dependencies(peer) {
                self.dependencies.inheritors.remove(&peer);
                continue;
            }
            let priorities = self.job_shard.inherited_priorities_for(peer, &self.membership);
            if priorities.is_empty() {
                // The empty list is sent once: it takes back what was sent before.
                if !self.dependencies.inheritors.remove(&peer) {
                    continue;
                }
            } else {
                self.dependencies.inheritors.insert(peer);
            }
            if peer == self.settings.me {
                self.job_shard.apply_inherited_priorities(peer, priorities);
            } else {
                self.send(now, peer, Message::InheritedPriorities(priorities), out);
            }
        }
    }

    /// Whether anything here waits for an end.
    fn awaits_outcomes(&self) -> bool {
        self.job_shard.has_awaited_dependencies() || self.awaits_members() || self.batches_watch()
    }

    /// Watches for the ends of jobs that others wait for, and reads those that no watch tells of.
    pub(super) fn watch_outcomes(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.dependencies.retry_at || now < self.state_store.paused_until {
            return;
        }
        match self.dependencies.watch {
            Watch::Off if self.awaits_outcomes() && self.state_store.request_limiter.take(now, 1.0, 0.1) => {
                self.dependencies.watch = Watch::Starting;
                self.ask_store(PendingStoreRequest::ReadRevision, StoreRequest::Revision, out);
            }
            Watch::At { revision, waiting: false } => self.extend_watch(now, revision, out),
            _ => {}
        }
        if self.dependencies.is_watching() {
            self.read_outcomes(now, out);
        }
    }

    fn extend_watch(&mut self, now: Micros, revision: u64, out: &mut Vec<Effect>) {
        if !self.awaits_outcomes() {
            self.dependencies.watch = Watch::Off;
        } else if self.state_store.request_limiter.take(now, 1.0, 0.1) {
            self.dependencies.watch = Watch::At { revision, waiting: true };
            let watch = StoreRequest::Watch("done/".into(), revision, WATCH);
            self.ask_store(PendingStoreRequest::WatchOutcomes, watch, out);
        }
    }

    fn read_outcomes(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while self.state_store.in_flight.len() < IN_FLIGHT
            && self.state_store.request_limiter.level(now) >= 0.2
        {
            let Some(job) = self.job_shard.next_unread_dependency() else { break };
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let read = StoreRequest::Get(format!("done/{job}"));
            self.ask_store(PendingStoreRequest::ReadOutcome { job }, read, out);
        }
    }

    /// The watch, or the question that it begins with, is answered.
    pub(super) fn apply_watch_answer(&mut self, now: Micros, answer: StoreAnswer) {
        match (self.dependencies.watch, answer) {
            (Watch::Starting, StoreAnswer::CurrentRevision(revision)) => {
                // Whatever ended before this must be read; whatever ends later will be told.
                self.job_shard.reread_dependencies();
                self.reread_awaited_members();
                self.batches_unwatched(now);
                self.dependencies.watch = Watch::At { revision, waiting: false };
            }
            (Watch::At { revision, .. }, StoreAnswer::Changes(newest, written)) => {
                let revision = revision.max(newest);
                self.dependencies.watch = Watch::At { revision, waiting: false };
                self.take_watched_outcomes(now, &written);
            }
            (Watch::At { revision, .. }, answer) if answer != StoreAnswer::Compacted => {
                self.dependencies.retry_at = now + RETRY;
                self.dependencies.watch = Watch::At { revision, waiting: false };
            }
            _ => {
                self.dependencies.retry_at = now + RETRY;
                self.dependencies.watch = Watch::Off;
            }
        }
    }

    fn take_watched_outcomes(&mut self, now: Micros, written: &[(String, Value)]) {
        for (key, value) in written {
            let Some(job) = key.strip_prefix("done/") else { continue };
            self.run_ended(job, value);
            if self.job_shard.is_awaited(job) || self.awaits_member(job) {
                self.take_outcome(now, job, value);
            }
        }
    }

    fn take_outcome(&mut self, now: Micros, job: &str, value: &Value) {
        match read_final_record(value) {
            Some((outcome, _)) => {
                self.job_shard.advance_wall_clock(self.rounds.wall);
                self.job_shard.apply_dependency_outcome(job, outcome);
                self.apply_member_outcome(job, outcome);
            }
            None => {
                tracing::error!(job = %job, "unreadable final record");
                self.job_shard.retry_dependency_read(job);
                self.dependencies.retry_at = now + RETRY_UNREADABLE;
            }
        }
    }

    /// The final record of a job that others follow was read, or it has none yet.
    pub(super) fn apply_dependency_outcome(&mut self, now: Micros, job: &str, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Got(Some(row)) => self.take_outcome(now, job, &row.value),
            StoreAnswer::Got(None) => {}
            _ => {
                self.job_shard.retry_dependency_read(job);
                self.dependencies.retry_at = now + RETRY;
            }
        }
    }

    /// Whether a job is known to have been accepted, and to be no service.
    fn is_known_dependency(&self, id: &str) -> bool {
        self.job_shard.jobs.get(id).is_some_and(|job| job.spec.kind != JobKind::Service)
            || self.job_shard.outcome_of(id).is_some()
            || self.dependencies.known.contains(id)
    }

    /// Begins to look up the jobs that a submission names. Says why it can't be taken, if so.
    pub(super) fn begin_dependency_check(
        &mut self,
        now: Micros,
        id: &str,
        spec: &JobSpec,
        out: &mut Vec<Effect>,
    ) -> Result<BTreeSet<String>, Reply> {
        let unknown: BTreeSet<String> =
            spec.dependencies.iter().filter(|job| !self.is_known_dependency(job)).cloned().collect();
        // A long list must not use up what leases and releases need: as many are looked up as the budget
        // allows. They are remembered, so that each retry gets further.
        for dependency in &unknown {
            if !self.state_store.request_limiter.take(now, 1.0, 0.3) {
                return Err(Reply::retry_later("some of the jobs that it follows are still to be looked up"));
            }
            let read = StoreRequest::Get(format!("job/{dependency}"));
            let dependency = dependency.clone();
            let pending = PendingStoreRequest::CheckDependency { job: id.to_owned(), dependency };
            self.ask_store(pending, read, out);
        }
        Ok(unknown)
    }

    /// The store was asked for the live record of a job that a submission names. Its final record is read after that: in
    /// this order, since a job may end between the two.
    pub(super) fn apply_dependency_check(
        &mut self,
        now: Micros,
        job: String,
        dependency: String,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let StoreAnswer::Got(found) = answer else { return self.give_up_unread(now, &job, out) };
        let Some(row) = found else {
            let read = StoreRequest::Get(format!("done/{dependency}"));
            self.state_store.request_limiter.take(now, 1.0, 0.0);
            let pending = PendingStoreRequest::CheckDependencyOutcome { job, dependency };
            return self.ask_store(pending, read, out);
        };
        if row.value.get("spec").is_some_and(users::is_service) {
            let why = format!("follows: {dependency} is a service, which is never done");
            return self.reject_submission(job, why, out);
        }
        self.note_dependency(now, job, &dependency, out);
    }

    /// The store was asked for the final record of a job that a submission names and that has no live one.
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
            _ => self.give_up_unread(now, &job, out),
        }
    }

    fn give_up_unread(&mut self, now: Micros, job: &str, out: &mut Vec<Effect>) {
        let reply = Reply::retry_later("a job that it follows could not be read");
        self.give_up_submission(now, job, &reply, out);
    }

    /// A job that a submission names is on record: when all are, the submission is put on record too.
    fn note_dependency(&mut self, now: Micros, job: String, dependency: &str, out: &mut Vec<Effect>) {
        self.dependencies.note_known(dependency);
        let Some(submission) = self.user_requests.submissions.get_mut(&job) else { return };
        let unchecked = &mut submission.unchecked_dependencies;
        if unchecked.remove(dependency) && unchecked.is_empty() {
            self.put_on_record(now, job, out);
        }
    }
}
