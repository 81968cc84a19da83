//! Coordination records: what binds jobs of several leaders, a release or a batch. Joining them, and what each round does.
//!
//! [`CoordinationRecords`] owns what was read, and what waits for it. What a release or a batch means is the business of
//! `release` and `freshness`. A record is changed by compare-and-swap only.

mod census;
mod changes;
mod readings;

use super::*;
use crate::job_shard::declarations_in_record;
use hazelsaddle_coordination::census::{Census, CensusJobState, CensusStep, JobMemberships};
use hazelsaddle_coordination::record::{self, CoordinationRecord, Key};
use hazelsaddle_coordination::record_cache::{CachedRecord, RecordCache};

/// Work that looks at all records is done so often.
const ROUND: Micros = Micros::from_millis(300);
/// A record that something here waits for is read again after so long.
const PAUSE_HELD: Micros = Micros::from_millis(1000);
/// A reading that failed is tried again after so long.
const PAUSE_FAILED: Micros = Micros::from_millis(300);
/// Heads are listed so often, a page.
const PAUSE_LIST: Micros = Micros::from_millis(5000);
/// A submission waits so long for a record before its user is told to come back.
const PATIENCE: Micros = Micros::from_millis(1500);
/// Records are forgotten that nobody has needed for so long.
const FORGET: Micros = Micros::from_millis(10_000);

/// What an acceptance rests on.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum JoinDecision {
    /// It may be put on record on these conditions.
    Open(Vec<(String, u64)>),
    /// A record must be read, or changed, first; asked again in the next round.
    Wait,
    /// Not now.
    Later(String),
    /// Never, unless it was accepted before.
    Never(String),
}

/// What a request to the state store about a record is for.
#[derive(Clone, Debug)]
pub(super) enum PendingRecordRequest {
    Read {
        key: Key,
        asked_at: Micros,
    },
    /// A page of the list of heads.
    Heads {
        epoch: u64,
        asked_at: Micros,
    },
    Change(Box<Change>),
    /// A page that is written before the head that counts it; then the rest.
    Page(Box<Change>),
    Census {
        epoch: u64,
    },
    /// The end of a member that was live when it was last seen.
    Member {
        epoch: u64,
        job: String,
    },
    /// A page of a closed set's members.
    Members {
        key: Key,
        version: u64,
        page: usize,
    },
}

/// A change of a record under way.
#[derive(Clone, Debug)]
pub(super) struct Change {
    key: Key,
    epoch: u64,
    store_version: u64,
    next: CoordinationRecord,
    /// Pages and their keys, the last first.
    pages: Vec<(String, Value)>,
    sent_at: Micros,
    /// What an operator hears once it is on record.
    then: Option<(u64, Reply)>,
}

/// A census' outcome: members of a record, by job.
pub(super) type Members = BTreeMap<String, hazelsaddle_coordination::census::Member>;

/// An operator's request that is under way.
pub(super) struct OperatorRequest {
    pub(super) ticket: u64,
    pub(super) request: OperatorCommand,
    pub(super) began: Micros,
}

/// What this controller knows of coordination records.
#[derive(Default)]
pub(super) struct CoordinationRecords {
    pub(super) records: RecordCache,
    /// Keys under change by this process.
    changing: BTreeSet<Key>,
    /// Submissions that wait for a record.
    waiting: BTreeSet<String>,
    /// Operators' requests under way; one whose change is being written is not among them.
    pub(super) operating: Vec<OperatorRequest>,
    /// Tickets that a change under way answers.
    pub(super) replying: BTreeSet<u64>,
    listing: bool,
    listed_after: String,
    next_list: Micros,
    /// When the last whole list of heads of this epoch was begun.
    pub(super) listed: Option<Micros>,
    list_began: Micros,
    /// Records that the latest list has found and that are not over; the list under way.
    pub(super) listed_keys: BTreeSet<Key>,
    listing_keys: BTreeSet<Key>,
    /// Each title's latest night on record, also one that is over: what operators mean who name none.
    pub(super) latest: BTreeMap<String, String>,
    next_round: Micros,
    /// Ends that were read or told of since the epoch began, of members that matter.
    ends: BTreeMap<String, CensusJobState>,
    census: Option<(Census, Micros)>,
    census_busy: bool,
    census_retry: Micros,
    census_took: Micros,
    /// Records that a census is wanted for, by head; filled anew in each round.
    wanted: BTreeSet<String>,
    /// The latest whole census of each record, with when it began.
    found: BTreeMap<String, (Micros, Members)>,
    /// Live members whose ends matter: a watch tells of them, and those in `unread` are read.
    awaited: BTreeSet<String>,
    unread: BTreeSet<String>,
    /// Records of jobs that no census could read.
    unreadable: Vec<String>,
    next_keep: Micros,
    used: BTreeMap<Key, Micros>,
}

impl Controller {
    /// A new epoch: what rests on the order of readings within the last one is begun anew. Records stay as read: they
    /// only go forward, and every change is conditional on what is held.
    pub(super) fn restart_coordination(&mut self) {
        let records = &mut self.coordination;
        (records.census, records.census_busy, records.listing) = (None, false, false);
        (records.listed, records.next_list) = (None, Micros(0));
        records.listed_after.clear();
        records.ends.clear();
        records.found.clear();
        records.awaited.clear();
        records.unread.clear();
        records.changing.clear();
    }

    /// Whether this controller does what a record needs by itself: the leader of the head's key on the ring.
    pub(super) fn keeps_record(&self, key: &Key) -> bool {
        self.membership.ring.owner(&key.head_key()) == Some(self.settings.me)
    }

    /// Whether coordination records are of any concern here.
    fn coordination_is_on(&self) -> bool {
        self.takes_coordination()
            && (self.releases_on() || self.batches_on() || self.job_shard.held_jobs().next().is_some())
    }

    /// What a record says, as far as is known; it is read again while anybody asks.
    pub(super) fn coordination_record(&mut self, now: Micros, key: &Key) -> CachedRecord {
        self.coordination.records.track(key);
        self.coordination.used.insert(key.clone(), now);
        self.coordination.records.get(key).clone()
    }

    /// What a record says in a reading that began no earlier than `since`; asks for one if there is none.
    pub(super) fn coordination_record_since(
        &mut self,
        now: Micros,
        key: &Key,
        since: Micros,
    ) -> Option<CachedRecord> {
        self.coordination.used.insert(key.clone(), now);
        let held = self.coordination.records.get_since(key, since).cloned();
        if held.is_none() {
            self.coordination.records.require_read_since(key, since);
        }
        held
    }

    /// The conditions on which a submission may be put on record.
    pub(super) fn gate_submission(&mut self, now: Micros, id: &str, out: &mut Vec<Effect>) -> JoinDecision {
        if !self
            .user_requests
            .submissions
            .get(id)
            .is_some_and(|submission| submission.spec.has_coordination_record())
        {
            return JoinDecision::Open(Vec::new());
        }
        // Guards against an older controller that has joined since the submission came.
        if !self.takes_coordination() {
            return JoinDecision::Later("not every controller knows of releases and batches yet".into());
        }
        let Some(submission) = self.user_requests.submissions.get(id) else { return JoinDecision::Wait };
        if now.since(submission.came_at) >= PATIENCE {
            return JoinDecision::Later("a record that it names could not be read or changed in time".into());
        }
        let mut all = Vec::new();
        for gate in [Controller::release_gate, Controller::batch_gate] {
            match gate(self, now, id, out) {
                JoinDecision::Open(conditions) => all.extend(conditions),
                JoinDecision::Wait => {
                    self.coordination.waiting.insert(id.to_owned());
                    return JoinDecision::Wait;
                }
                other => return other,
            }
        }
        JoinDecision::Open(all)
    }

    /// The condition that a job joins a record under, as it was read.
    pub(super) fn join_condition(&self, key: &Key) -> (String, u64) {
        (key.head_key(), self.coordination.records.store_version(key))
    }

    /// A submission met a record that had changed: that says nothing about the job, so it is looked at anew. Says
    /// whether it is.
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
        self.put_on_record(now, id.to_owned(), out);
        true
    }

    /// Reads what is due, does what records need, and goes on with submissions and operators' requests that wait.
    pub(super) fn run_coordination(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let round = now >= self.coordination.next_round;
        if round {
            self.coordination.next_round = now + ROUND;
            self.coordination.wanted.clear();
        }
        for id in std::mem::take(&mut self.coordination.waiting) {
            self.put_on_record(now, id, out);
        }
        self.operate(now, out);
        if !self.membership.is_leader(now) || !self.job_shard.loaded || !self.coordination_is_on() {
            return;
        }
        if round {
            self.coordination.awaited.clear();
            self.release_loop(now, out);
            self.batch_loop(now, out);
        }
        self.batch_now(now, out);
        if now < self.state_store.paused_until {
            return;
        }
        self.list_heads(now, out);
        self.read_due_records(now, out);
        self.run_census(now, out);
        self.read_awaited_members(now, out);
    }

    /// An answer of the state store about a record. What was begun in an epoch that has passed was begun anew since.
    pub(super) fn apply_coordination_answer(
        &mut self,
        now: Micros,
        pending: PendingRecordRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        use PendingRecordRequest::*;
        let current = self.membership.epoch;
        match pending {
            Read { key, asked_at } => self.apply_record(now, &key, asked_at, &answer),
            Heads { epoch, asked_at } if epoch == current => self.apply_head_list(now, asked_at, answer),
            Census { epoch } if epoch == current => self.apply_census_page(now, answer),
            Member { epoch, job } if epoch == current => self.apply_member_record(job, &answer),
            Heads { .. } | Census { .. } | Member { .. } => {}
            Members { key, version, page } => self.members_page(now, key, version, page, answer),
            Page(change) => self.apply_written_page(now, change, answer, out),
            Change(change) => self.apply_change(now, *change, answer, out),
        }
    }

    /// How coordination records stand, for operators.
    pub(super) fn coordination_status(&self) -> Value {
        let held: Vec<Value> = self
            .job_shard
            .held_jobs()
            .take(SHOWN)
            .map(|(id, _, h)| json!({"job": id, "why": h.reason()}))
            .collect();
        let unreadable: Vec<String> = self
            .coordination
            .records
            .iter()
            .filter(|(_, h)| matches!(h, CachedRecord::Unreadable(_)))
            .map(|(k, _)| k.head_key())
            .collect();
        json!({
            "takes": self.takes_coordination(),
            "records": self.coordination.records.iter().filter(|(_, h)| matches!(h, CachedRecord::Present(_))).count(),
            "jobs_held": self.job_shard.held_jobs().count(),
            "held": held,
            "unreadable": unreadable,
            "jobs_unreadable": self.coordination.unreadable,
            "census_under_way": self.coordination.census.is_some(),
            "members_awaited": self.coordination.awaited.len(),
            "releases": self.release_status(),
        })
    }
}
