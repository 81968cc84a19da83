//! Requests to the state store: numbering them, keeping to the store's limits, and taking each answer to who asked.
//!
//! [`StateStoreIo`] owns the requests under way. Every change of a record carries the fencing condition: without it a
//! controller that has been deposed could still write.

use super::*;

/// After a refusal nothing but the ring's requests is sent for so long: a pause costs less than more refusals.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_millis(200);

/// What a request to the state store is for.
#[derive(Clone, Debug)]
pub(super) enum PendingStoreRequest {
    /// A step of the membership loop.
    Ring(PendingRingRequest),
    /// A page of the records that are read when an epoch begins.
    LoadPage {
        stage: LoadStage,
        epoch: u64,
    },
    /// Puts on record that this controller starts tasks without replication in this epoch.
    RecordUnreplicatedStarts {
        epoch: u64,
    },
    /// Puts a new job on record.
    AcceptJob {
        job: String,
        epoch: u64,
    },
    /// Writes a job's progress or end.
    WriteJob {
        job: String,
        write: RecordWrite,
    },
    /// Reads a live record again after a write of unknown outcome; then the job's final record.
    VerifyJob {
        job: String,
        epoch: u64,
    },
    VerifyOutcome {
        job: String,
        epoch: u64,
    },
    /// Reads the live record of a job that is not known here; then its final record.
    LookUpJob {
        job: String,
        lookup: u64,
    },
    LookUpOutcome {
        job: String,
        lookup: u64,
    },
    /// Reads the live record of a job whose leader does not answer, for a poll.
    PollRecord {
        job: String,
        caller: Caller,
    },
    /// Writes, and reads again, a page of the machine registry.
    WriteRegistryPage {
        epoch: u64,
        write: PageWrite,
    },
    ReadRegistryPage {
        epoch: u64,
        page: u32,
    },
    /// Writes, and reads, a team's quota record.
    WriteAllocation(AllocationWrite),
    ReadQuota {
        team: String,
    },
    /// Puts on record that all controllers have read this form of frames at one time.
    RecordFrameForm {
        form: u64,
    },
    Coordination(PendingRecordRequest),
    Freshness(PendingFreshnessRequest),
    Lending(PendingLoanRequest),
    /// The store's revision, from which ends of jobs are watched, and the watch.
    ReadRevision,
    WatchOutcomes,
    /// Reads the final record of a job that others wait for.
    ReadOutcome {
        job: String,
    },
    /// Reads the live record of a job that a submission names; then its final record.
    CheckDependency {
        job: String,
        dependency: String,
    },
    CheckDependencyOutcome {
        job: String,
        dependency: String,
    },
    /// Has the store confirm that nothing of a job is on record, before it is turned down for good.
    RejectJob {
        job: String,
        reason: String,
    },
}

/// Requests to the state store under way, and the limits that they keep to.
pub(super) struct StateStoreIo {
    pub(super) in_flight: BTreeMap<u64, PendingStoreRequest>,
    pub(super) request_limiter: RateLimiter,
    pub(super) write_limiter: RateLimiter,
    /// The store has refused a request: until then only the ring's are sent.
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
    /// The condition that every change carries: a controller that has been deposed can't write, not
    /// even by a transaction that is applied late.
    pub(super) fn fence(&self) -> (String, u64) {
        (EPOCH_KEY.into(), self.membership.store_version)
    }

    /// Sends a request to the state store.
    pub(super) fn ask_store(
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

    /// Takes an answer of the state store to who asked. One to a request that is not under way changes nothing.
    pub(super) fn take_store_answer(
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
            self.state_store.paused_until = now + PAUSE_AFTER_REFUSAL;
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
            Ring(pending) => self.apply_ring_answer(now, pending, answer, out),
            LoadPage { stage, epoch } => self.apply_load_page(now, stage, epoch, answer),
            RecordUnreplicatedStarts { epoch } => self.apply_unreplicated_starts(now, epoch, committed),
            AcceptJob { job, epoch } => self.apply_acceptance(now, job, epoch, answer, out),
            WriteJob { job, write } => self.apply_job_write(now, &job, write, answer, out),
            VerifyJob { job, epoch } => self.apply_verified_job(now, job, epoch, answer, out),
            VerifyOutcome { job, epoch } => self.apply_verified_outcome(now, &job, epoch, answer, out),
            LookUpJob { job, lookup } => self.apply_looked_up_job(now, job, lookup, answer, out),
            LookUpOutcome { job, lookup } => self.apply_looked_up_outcome(now, &job, lookup, answer, out),
            PollRecord { job, caller } => self.answer_poll_from_record(now, &job, caller, &answer, out),
            WriteRegistryPage { epoch, write } => self.apply_registry_write(epoch, &write, answer),
            ReadRegistryPage { epoch, page } => self.apply_registry_page(epoch, page, &answer),
            WriteAllocation(write) => self.apply_allocation_write(write, answer),
            ReadQuota { team } => self.apply_quota_record(&team, &answer),
            RecordFrameForm { form } => self.apply_recorded_form(form, committed),
            Coordination(pending) => self.apply_coordination_answer(now, pending, answer, out),
            Freshness(pending) => self.fresh_answer(now, pending, answer, out),
            Lending(pending) => self.loan_answer(now, pending, answer),
            ReadRevision | WatchOutcomes => self.apply_watch_answer(now, answer),
            ReadOutcome { job } => self.apply_dependency_outcome(now, &job, answer),
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
