//! Coordination records, which bind jobs of several leaders: releases and batches. Handles submissions that
//! join them, and the periodic work on them.
//!
//! [`CoordinationRecords`] owns what was read of the records, and the requests that wait for them. The
//! modules `release` and `freshness` define the meaning of releases and batches. Records are changed by
//! compare-and-swap only.

mod census;
mod changes;
mod record_reads;

use super::*;
use crate::job_shard::declarations_in_record;
use hazelsaddle_coordination::census::{Census, CensusJobState, CensusStep, JobMemberships};
use hazelsaddle_coordination::record::{self, CoordinationRecord, Key};
use hazelsaddle_coordination::record_cache::{CachedRecord, RecordCache};

/// Time between two passes over all records.
const ROUND_PERIOD: Micros = Micros::from_millis(300);
/// Delay before a record that is still needed is read again.
const READ_PERIOD: Micros = Micros::from_millis(1000);
/// Delay before a failed read is retried.
const RETRY_DELAY: Micros = Micros::from_millis(300);
/// Time between two listings of the head records.
const LIST_PERIOD: Micros = Micros::from_millis(5000);
/// A submission waits this long for a record before its user is asked to retry.
const SUBMISSION_TIMEOUT: Micros = Micros::from_millis(1500);
/// Records that have not been used for this long are dropped from the cache.
const UNUSED_RECORD_LIFETIME: Micros = Micros::from_millis(10_000);

/// Whether a submission may be stored.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum JoinDecision {
    /// It may be stored on these conditions.
    Allow(Vec<(String, u64)>),
    /// A record must be read or changed first; the decision is repeated in the next round.
    Pending,
    /// Rejected for now, with the reason.
    Defer(Refusal),
    /// Rejected for good, with the reason, unless it was accepted before.
    Reject(String),
}

/// The purpose of a state store request about a coordination record.
#[derive(Clone, Debug)]
pub(super) enum PendingRecordRequest {
    Read {
        key: Key,
        asked_at: Micros,
    },
    /// Lists a page of head records.
    Heads {
        epoch: u64,
        asked_at: Micros,
    },
    Change(Box<Change>),
    /// Writes a page, before the head that counts the pages; then continues the change.
    Page(Box<Change>),
    Census {
        epoch: u64,
    },
    /// Reads the final record of a member that was live when last seen.
    Member {
        epoch: u64,
        job: String,
    },
    /// Reads a page of a closed release's members.
    Members {
        key: Key,
        version: u64,
        page: usize,
    },
}

/// A change of a record in progress.
#[derive(Clone, Debug)]
pub(super) struct Change {
    key: Key,
    epoch: u64,
    store_version: u64,
    next: CoordinationRecord,
    /// Keys and values of the pages, last page first.
    pages: Vec<(String, Value)>,
    sent_at: Micros,
    /// The operator request to answer once the change is stored, and the answer.
    reply_when_stored: Option<(u64, Reply)>,
}

/// The result of a census: the members of a record, by job ID.
pub(super) type CensusMembers = BTreeMap<String, hazelsaddle_coordination::census::Member>;

/// A pending operator request.
pub(super) struct OperatorRequest {
    pub(super) ticket: u64,
    pub(super) command: OperatorCommand,
    pub(super) received_at: Micros,
}

/// The state of coordination records on this controller.
#[derive(Default)]
pub(super) struct CoordinationRecords {
    pub(super) records: RecordCache,
    /// Keys of the records that this process is changing.
    changing: BTreeSet<Key>,
    /// Submissions that wait for a record.
    waiting_submissions: BTreeSet<String>,
    /// Pending operator requests, without those that wait for a change to be stored.
    pub(super) operator_requests: Vec<OperatorRequest>,
    /// Tickets that are answered by a change in progress.
    pub(super) answered_by_change: BTreeSet<u64>,
    is_list_in_flight: bool,
    list_after_key: String,
    next_list_at: Micros,
    /// When the last complete listing of the head records in this epoch began.
    pub(super) last_list_began: Option<Micros>,
    current_list_began: Micros,
    /// Unfinished records found by the last complete listing, and by the current one.
    pub(super) listed_keys: BTreeSet<Key>,
    pending_listed_keys: BTreeSet<Key>,
    /// The latest stored night of each title, also if its release is finished: selected by operators who name
    /// no night.
    pub(super) latest_nights: BTreeMap<String, String>,
    next_round_at: Micros,
    /// Outcomes of members that matter, as read or watched since the epoch began.
    member_outcomes: BTreeMap<String, CensusJobState>,
    census: Option<(Census, Micros)>,
    census_request_in_flight: bool,
    census_retry_at: Micros,
    last_census_duration: Micros,
    /// Head keys of the records that need a census; rebuilt in each round.
    census_wanted: BTreeSet<String>,
    /// The latest complete census of each record, and when it began.
    census_results: BTreeMap<String, (Micros, CensusMembers)>,
    /// Live members whose outcomes matter: the watch reports them, and those in `unread_members` are read.
    awaited_members: BTreeSet<String>,
    unread_members: BTreeSet<String>,
    /// Jobs whose records the last census could not read.
    unreadable_jobs: Vec<String>,
    next_cleanup_at: Micros,
    last_used_at: BTreeMap<Key, Micros>,
}

impl Controller {
    /// Restarts everything that relies on the order of reads within an epoch. Cached records are kept:
    /// their versions only grow, and every change is conditional on the cached version.
    pub(super) fn restart_coordination(&mut self) {
        let records = &mut self.coordination;
        (records.census, records.census_request_in_flight, records.is_list_in_flight) = (None, false, false);
        (records.last_list_began, records.next_list_at) = (None, Micros(0));
        records.list_after_key.clear();
        records.member_outcomes.clear();
        records.census_results.clear();
        records.awaited_members.clear();
        records.unread_members.clear();
        records.changing.clear();
    }

    /// Whether this controller maintains a record: it is the owner of the head's key on the ring.
    pub(super) fn is_record_maintainer(&self, key: &Key) -> bool {
        self.membership.ring.owner(&key.head_key()) == Some(self.settings.me)
    }

    /// Whether coordination records matter on this controller.
    fn is_coordination_enabled(&self) -> bool {
        self.can_accept_coordination()
            && (self.has_release_calendar()
                || self.is_freshness_enabled()
                || self.job_shard.held_jobs().next().is_some())
    }

    /// The cached record; it is kept up to date while it is used.
    pub(super) fn coordination_record(&mut self, now: Micros, key: &Key) -> CachedRecord {
        self.coordination.records.track(key);
        self.coordination.last_used_at.insert(key.clone(), now);
        self.coordination.records.get(key).clone()
    }

    /// The record from a read that began no earlier than `since`; requests one if there is none.
    pub(super) fn coordination_record_since(
        &mut self,
        now: Micros,
        key: &Key,
        since: Micros,
    ) -> Option<CachedRecord> {
        self.coordination.last_used_at.insert(key.clone(), now);
        let held = self.coordination.records.get_since(key, since).cloned();
        if held.is_none() {
            self.coordination.records.require_read_since(key, since);
        }
        held
    }

    /// Decides whether a submission may be stored, and on which conditions.
    pub(super) fn decide_submission_join(
        &mut self,
        now: Micros,
        id: &str,
        out: &mut Vec<Effect>,
    ) -> JoinDecision {
        if !self
            .user_requests
            .submissions
            .get(id)
            .is_some_and(|submission| submission.spec.has_coordination_record())
        {
            return JoinDecision::Allow(Vec::new());
        }
        // An older controller may have joined since the submission arrived.
        if !self.can_accept_coordination() {
            return JoinDecision::Defer(Refusal::CoordinationUnsupported);
        }
        let Some(submission) = self.user_requests.submissions.get(id) else { return JoinDecision::Pending };
        if now.since(submission.arrived_at) >= SUBMISSION_TIMEOUT {
            return JoinDecision::Defer(Refusal::CoordinationRecordBusy);
        }
        let mut conditions = Vec::new();
        for decide_join in [Controller::decide_release_join, Controller::decide_batch_join] {
            match decide_join(self, now, id, out) {
                JoinDecision::Allow(more) => conditions.extend(more),
                JoinDecision::Pending => {
                    self.coordination.waiting_submissions.insert(id.to_owned());
                    return JoinDecision::Pending;
                }
                other => return other,
            }
        }
        JoinDecision::Allow(conditions)
    }

    /// The condition on which a job joins a record: the record is unchanged since it was read.
    pub(super) fn join_condition(&self, key: &Key) -> (String, u64) {
        (key.head_key(), self.coordination.records.store_version(key))
    }

    /// Repeats the decision about a submission if its write failed only because a coordination record had
    /// changed, which does not affect whether the job can be accepted. Returns whether it does.
    pub(super) fn retry_after_record_change(
        &mut self,
        now: Micros,
        id: &str,
        answer: &StoreAnswer,
        out: &mut Vec<Effect>,
    ) -> bool {
        let StoreAnswer::Conflict(keys) = answer else { return false };
        let records: Vec<Key> = keys.iter().filter_map(|key| Key::parse(key)).collect();
        if records.is_empty()
            || records.len() < keys.len()
            || !self.user_requests.submissions.contains_key(id)
        {
            return false;
        }
        for key in records {
            self.coordination.records.require_read_since(&key, now);
        }
        self.write_acceptance(now, id.to_owned(), out);
        true
    }

    /// Reads records that are due, does the periodic work on them, and continues waiting submissions and
    /// operator requests.
    pub(super) fn run_coordination(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let is_round_due = now >= self.coordination.next_round_at;
        if is_round_due {
            self.coordination.next_round_at = now + ROUND_PERIOD;
            self.coordination.census_wanted.clear();
        }
        for id in std::mem::take(&mut self.coordination.waiting_submissions) {
            self.write_acceptance(now, id, out);
        }
        self.continue_operator_requests(now, out);
        if !self.membership.is_leader(now) || !self.job_shard.loaded || !self.is_coordination_enabled() {
            return;
        }
        if is_round_due {
            self.coordination.awaited_members.clear();
            self.reconcile_releases(now, out);
            self.request_batch_censuses(now, out);
        }
        self.reconcile_batches(now, out);
        if now < self.state_store.paused_until {
            return;
        }
        self.list_heads(now, out);
        self.read_due_records(now, out);
        self.run_census(now, out);
        self.read_awaited_members(now, out);
    }

    /// Applies a response of the state store about a record. Responses to listings and censuses of an earlier
    /// epoch are ignored, since these were restarted.
    pub(super) fn apply_coordination_answer(
        &mut self,
        now: Micros,
        pending: PendingRecordRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        use PendingRecordRequest::*;
        let current_epoch = self.membership.epoch;
        match pending {
            Read { key, asked_at } => self.apply_record(now, &key, asked_at, &answer),
            Heads { epoch, asked_at } if epoch == current_epoch => {
                self.apply_head_list(now, asked_at, answer)
            }
            Census { epoch } if epoch == current_epoch => self.apply_census_page(now, answer),
            Member { epoch, job } if epoch == current_epoch => self.apply_member_record(job, &answer),
            Heads { .. } | Census { .. } | Member { .. } => {}
            Members { key, version, page } => self.apply_members_page(now, key, version, page, answer),
            Page(change) => self.apply_written_page(now, change, answer, out),
            Change(change) => self.apply_change(now, *change, answer, out),
        }
    }

    /// The state of coordination records, for operators.
    pub(super) fn coordination_status(&self) -> Value {
        let held: Vec<Value> = self
            .job_shard
            .held_jobs()
            .take(MAX_STATUS_ROWS)
            .map(|(id, _, hold)| json!({"job": id, "why": hold.reason()}))
            .collect();
        let unreadable: Vec<String> = self
            .coordination
            .records
            .iter()
            .filter(|(_, cached)| matches!(cached, CachedRecord::Unreadable(_)))
            .map(|(key, _)| key.head_key())
            .collect();
        json!({
            "takes": self.can_accept_coordination(),
            "records": self.coordination.records.iter().filter(|(_, cached)| matches!(cached, CachedRecord::Present(_))).count(),
            "jobs_held": self.job_shard.held_jobs().count(),
            "held": held,
            "unreadable": unreadable,
            "jobs_unreadable": self.coordination.unreadable_jobs,
            "census_under_way": self.coordination.census.is_some(),
            "members_awaited": self.coordination.awaited_members.len(),
            "releases": self.release_status(),
        })
    }
}
