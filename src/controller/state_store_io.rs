//! Requests to the state store: numbering, rate limits, and dispatch of the responses.
//!
//! [`StateStoreIo`] owns the requests in flight. Every change of a record carries the fencing condition;
//! without it, a deposed controller could still write.

use super::*;

/// After a refusal, only membership requests are sent for this long: a pause costs less than further
/// refusals.
const REFUSAL_PAUSE: Micros = Micros::from_millis(200);

/// The purpose of a request to the state store.
#[derive(Clone, Debug)]
pub(super) enum PendingStoreRequest {
    /// A step of the membership loop.
    Ring(PendingMembershipRequest),
    /// Reads a page of the records at the beginning of an epoch.
    LoadPage {
        stage: LoadStage,
        epoch: u64,
    },
    /// Stores that this controller starts tasks without replication in this epoch.
    RecordUnreplicatedStarts {
        epoch: u64,
    },
    /// Stores a new job.
    AcceptJob {
        job: String,
        epoch: u64,
    },
    /// Writes a job's progress or outcome.
    WriteJob {
        job: String,
        write: RecordWrite,
    },
    /// Reads a job's live record, and if there is none its final record, after a write of unknown outcome.
    VerifyJob {
        job: String,
        epoch: u64,
    },
    VerifyOutcome {
        job: String,
        epoch: u64,
    },
    /// Reads the live record of a job that is unknown here, and if there is none its final record.
    LookUpJob {
        job: String,
        lookup: u64,
    },
    LookUpOutcome {
        job: String,
        lookup: u64,
    },
    /// Reads the live record of a job whose leader is unresponsive, to answer a poll.
    PollRecord {
        job: String,
        poll: RecordPoll,
    },
    /// Writes a page of the machine registry, and reads it back after an uncertain write.
    WriteRegistryPage {
        epoch: u64,
        write: PageWrite,
    },
    ReadRegistryPage {
        epoch: u64,
        page: u32,
    },
    /// Writes and reads a team's quota record.
    WriteAllocation(AllocationWrite),
    ReadQuota {
        team: String,
        epoch: u64,
    },
    /// Stores that all controllers have read this format version at the same time.
    RecordClusterFormat {
        version: u64,
    },
    Coordination(PendingRecordRequest),
    Freshness(PendingFreshnessRequest),
    Lending(PendingLoanRequest),
    /// Reads the store's revision from which outcomes are watched, and watches them.
    ReadRevision,
    WatchOutcomes,
    /// Reads the final record of a job that others follow.
    ReadOutcome(DependencyRead),
    /// Reads the live record of a job that a submission names, and if there is none its final record.
    CheckDependency {
        job: String,
        dependency: String,
    },
    CheckDependencyOutcome {
        job: String,
        dependency: String,
    },
    /// Verifies that no record of a job exists before its submission is finally rejected.
    RejectJob {
        job: String,
        reason: String,
    },
}

/// The requests in flight to the state store, and their rate limits.
pub(super) struct StateStoreIo {
    pub(super) in_flight: BTreeMap<u64, PendingStoreRequest>,
    pub(super) request_limiter: RateLimiter,
    pub(super) write_limiter: RateLimiter,
    /// After a refusal, only membership requests are sent until this time.
    pub(super) paused_until: Micros,
    pub(super) next_quota_pass: Micros,
    pub(super) next_registry_prune: Micros,
}

impl StateStoreIo {
    pub(super) fn new(settings: &Settings) -> StateStoreIo {
        StateStoreIo {
            in_flight: BTreeMap::new(),
            request_limiter: RateLimiter::new(settings.store_rps),
            write_limiter: RateLimiter::new(settings.store_write_rps),
            paused_until: Micros(0),
            next_quota_pass: Micros(0),
            next_registry_prune: Micros(0),
        }
    }
}

impl Controller {
    /// The fencing condition of every change: a deposed controller can't write, not even by a transaction
    /// that is applied late.
    pub(super) fn fencing_condition(&self) -> (String, u64) {
        (EPOCH_KEY.into(), self.membership.store_version)
    }

    /// Sends a request to the state store.
    pub(super) fn send_store_request(
        &mut self,
        pending: PendingStoreRequest,
        request: StoreRequest,
        out: &mut Vec<Effect>,
    ) {
        let id = self.request_ids.next();
        let lane = match pending {
            PendingStoreRequest::Ring(_) => StoreLane::Membership,
            _ => StoreLane::Records,
        };
        self.state_store.in_flight.insert(id, pending);
        out.push(Effect::Store { id, request, lane });
    }

    /// Dispatches a response of the state store by the purpose of its request. A response to an unknown
    /// request has no effect.
    pub(super) fn handle_store_answer(
        &mut self,
        now: Micros,
        id: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.state_store.in_flight.remove(&id) else { return };
        if let StoreAnswer::Conflict(keys) = &answer
            && keys.iter().any(|key| key == EPOCH_KEY)
        {
            self.membership_loop.step_at_once(now);
        }
        if answer == StoreAnswer::Refused {
            self.state_store.paused_until = now + REFUSAL_PAUSE;
        }
        self.dispatch_store_answer(now, pending, answer, out);
    }

    fn dispatch_store_answer(
        &mut self,
        now: Micros,
        pending: PendingStoreRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        use PendingStoreRequest::*;
        let committed = matches!(answer, StoreAnswer::Committed(_));
        match pending {
            Ring(pending) => self.apply_membership_answer(now, pending, answer, out),
            LoadPage { stage, epoch } => self.apply_load_page(now, stage, epoch, answer),
            RecordUnreplicatedStarts { epoch } => self.apply_unreplicated_starts(now, epoch, committed),
            AcceptJob { job, epoch } => self.apply_acceptance(now, job, epoch, answer, out),
            WriteJob { job, write } => self.apply_job_write(now, &job, write, answer, out),
            VerifyJob { job, epoch } => self.apply_verified_job(now, job, epoch, answer, out),
            VerifyOutcome { job, epoch } => self.apply_verified_outcome(now, &job, epoch, answer, out),
            LookUpJob { job, lookup } => self.apply_looked_up_job(now, job, lookup, answer, out),
            LookUpOutcome { job, lookup } => self.apply_looked_up_outcome(now, &job, lookup, answer, out),
            PollRecord { job, poll } => self.answer_poll_from_record(now, &job, poll, &answer, out),
            WriteRegistryPage { epoch, write } => self.apply_registry_write(epoch, &write, answer),
            ReadRegistryPage { epoch, page } => self.apply_registry_page(epoch, page, &answer),
            WriteAllocation(write) => self.apply_allocation_write(write, answer),
            ReadQuota { team, epoch } => self.apply_quota_record(&team, epoch, &answer),
            RecordClusterFormat { version } => self.apply_recorded_cluster_format(version, committed),
            Coordination(pending) => self.apply_coordination_answer(now, pending, answer, out),
            Freshness(pending) => self.apply_freshness_answer(now, pending, answer, out),
            Lending(pending) => self.apply_loan_answer(now, pending, answer),
            ReadRevision | WatchOutcomes => self.apply_watch_answer(now, answer),
            ReadOutcome(read) => self.apply_dependency_outcome(now, &read, answer),
            CheckDependency { job, dependency } => {
                self.apply_dependency_check(now, job, dependency, answer, out)
            }
            CheckDependencyOutcome { job, dependency } => {
                self.apply_dependency_outcome_check(now, job, dependency, answer, out)
            }
            RejectJob { job, reason } => self.apply_rejection(now, job, &reason, answer, out),
        }
    }
}
