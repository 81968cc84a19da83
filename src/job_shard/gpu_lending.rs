//! GPU lending as seen by a job leader: what its jobs run beyond their teams' guarantees, what its services
//! lack, resources that are reserved by loans, and the preemption of tasks as the ledgers demand. Whether a
//! job is within its guarantee is decided in `quota::tier` alone.

use super::JobShard;
use super::assignments::Assignment;
use super::gang::GangState;
use super::job::Job;
use crate::config::operators::LoanTerms;
use crate::membership::Membership;
use crate::peer::{DesiredAction, LendableJob, LendableTask, LendingReport, TaskPhase};
use crate::quota::QuotaLedger;
use crate::quota::tier::QuotaTier;
use crate::scheduler::placement::PlacementTarget;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobKind, JobSpec};
use crate::units::{Micros, Resources};
use hazelsaddle_gpu_lending::ResourceVector;
use hazelsaddle_gpu_lending::ledger::{Claim, Ledger, Loan, LoanFacts, LoanState};
use hazelsaddle_gpu_lending::preemption::{Machine, ReplicaDemand, Task, choose_preemptions};
use hazelsaddle_gpu_lending::reclaim::{Borrower, ReclaimTerms, ReplicasOnLoan, Shortfall, loans_to_reclaim};
use std::collections::{BTreeMap, BTreeSet};

/// How long a peer's lending message is valid.
const PEER_REPORT_VALIDITY: Micros = Micros::from_millis(5_000);
/// How long a ledger is valid after it was requested. An older one is not enforced, since its loans may have
/// been dropped.
const LEDGER_VALIDITY: Micros = Micros::from_millis(5_000);
/// How long replicas wait for resources to become free by themselves before a loan is claimed. No machine is
/// rented for them for twice that time.
const CLAIM_DELAY: Micros = Micros::from_millis(1_500);
/// Priority of resources reserved by a loan, which no work reaches: only the job that they are reserved for
/// may use them.
const LOAN_RESERVED_PRIORITY: u8 = u8::MAX;
/// Maximum number of replicas of a job that are considered.
const MAX_REPLICAS: i64 = 10_000;

/// What the shard knows of loans.
#[derive(Debug, Default)]
pub(super) struct Loans {
    terms: Option<LoanTerms>,
    /// The teams' ledgers.
    ledgers: BTreeMap<String, Ledger>,
    /// When the read that returned the ledgers was sent.
    ledgers_requested_at: Option<Micros>,
    /// By peer, its latest lending message.
    peers: BTreeMap<usize, PeerLending>,
    /// Services that lack replicas, and since when.
    services_lacking_replicas: BTreeMap<String, Micros>,
    /// Teams whose work within its guarantee lacks GPUs, counting the jobs of this shard.
    short: BTreeMap<String, TeamShortfall>,
}

/// What a peer's jobs can lend, and what they lack.
#[derive(Debug)]
struct PeerLending {
    received_at: Micros,
    lending: LendingReport,
}

/// What a team lacks within its guarantee.
#[derive(Clone, Copy, Debug)]
struct TeamShortfall {
    resources: Resources,
    since: Micros,
}

/// Resources on a placement target that are reserved for a job, made available to it while it is placed.
pub(super) struct GrantedResources {
    pub(super) target: usize,
    resources: Resources,
}

/// A loan that a service of this shard should claim.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanProposal {
    /// The borrowing team.
    pub team: String,
    /// The borrowing job.
    pub job: String,
    /// How many of its replicas have no machine.
    pub missing_replicas: u32,
    /// The claims, one for each machine.
    pub claims: Vec<Claim>,
}

fn to_amount(resources: Resources) -> ResourceVector {
    ResourceVector { gpus: resources.gpus, cpus: resources.cpus, memory: resources.memory }
}

/// Whether resources reserved by a loan are for this job. Resources being returned are for the lender's
/// jobs, and for any job within its team's guarantee, since such work takes precedence. All others are for
/// the borrowing job.
fn is_reserved_for(loan: &Loan, id: &str, job: &Job) -> bool {
    match loan.state {
        LoanState::Returning => loan.lender == job.spec.team || job.quota_tier == QuotaTier::Within,
        _ => loan.job == id,
    }
}

/// Whether a job's tasks run beyond its team's guarantee. A job for which this is unknown lends nothing.
fn is_lendable(job: &Job) -> bool {
    matches!(job.quota_tier, QuotaTier::Beyond | QuotaTier::NoGuarantee)
}

impl Loans {
    pub(super) fn new(terms: Option<LoanTerms>) -> Loans {
        Loans { terms, ..Loans::default() }
    }

    /// Adopts a new epoch: the peers' messages concerned the jobs that they led in the previous one.
    pub(super) fn adopt_epoch(&mut self) {
        self.peers.clear();
        self.ledgers_requested_at = None;
    }

    fn all(&self) -> impl Iterator<Item = &Loan> {
        self.ledgers.values().flat_map(|ledger| &ledger.loans)
    }

    /// Resources on machines that are reserved by loans: for a borrower's replicas until they run, and for a
    /// lender's job until it runs again. The loan determines the job.
    fn reserved_resources(&self) -> impl Iterator<Item = (&Loan, Resources)> {
        self.all().filter_map(|loan| match loan.state {
            LoanState::Taking => {
                let (gpus, cpus, memory) = loan.hold;
                Some((loan, Resources { gpus, cpus, memory }))
            }
            LoanState::Held => None,
            LoanState::Returning => {
                Some((loan, Resources { gpus: loan.gpus, cpus: loan.cpus, memory: loan.memory }))
            }
        })
    }

    /// By machine, the resources reserved by the loans that `is_wanted` selects.
    fn reserved_by_machine(&self, is_wanted: impl Fn(&Loan) -> bool) -> BTreeMap<&str, Resources> {
        let mut by_machine: BTreeMap<&str, Resources> = BTreeMap::new();
        for (loan, resources) in self.reserved_resources().filter(|(loan, _)| is_wanted(loan)) {
            let sum = by_machine.entry(&loan.machine).or_default();
            *sum = *sum + resources;
        }
        by_machine
    }

    /// Subtracts the resources reserved by loans from the free resources.
    pub(super) fn withhold_reserved(&self, targets: &mut [PlacementTarget]) {
        let reserved_resources = self.reserved_by_machine(|_| true);
        if reserved_resources.is_empty() {
            return;
        }
        for target in targets {
            if let Some(resources) = reserved_resources.get(target.machine.name.as_str()) {
                target.free = target.free - *resources;
                // Guards against waiting gangs: they would reserve the machine too, and neither would get it.
                target.reserved_for = Some(LOAN_RESERVED_PRIORITY);
            }
        }
    }

    /// Makes the resources that are reserved for a job available to it.
    pub(super) fn grant_reserved(
        &self,
        targets: &mut [PlacementTarget],
        id: &str,
        job: &Job,
    ) -> Vec<GrantedResources> {
        let reserved_resources = self.reserved_by_machine(|loan| is_reserved_for(loan, id, job));
        let mut granted = Vec::new();
        if reserved_resources.is_empty() {
            return granted;
        }
        for (i, target) in targets.iter_mut().enumerate() {
            if let Some(&resources) = reserved_resources.get(target.machine.name.as_str()) {
                target.free = target.free + resources;
                target.reserved_for = None;
                granted.push(GrantedResources { target: i, resources });
            }
        }
        granted
    }

    /// Withdraws the reserved resources that the job did not use; `used` are the targets of its tasks.
    pub(super) fn withdraw_unused(
        targets: &mut [PlacementTarget],
        granted: &[GrantedResources],
        one: Resources,
        used: &[usize],
    ) {
        for GrantedResources { target, resources } in granted {
            let tasks = used.iter().filter(|i| *i == target).count() as i64;
            targets[*target].free = targets[*target].free - (*resources - one.times(tasks).min(*resources));
            targets[*target].reserved_for = Some(LOAN_RESERVED_PRIORITY);
        }
    }

    /// Machines that a job's replicas are leaving in favour of a lender. The job is not placed there
    /// meanwhile.
    pub(super) fn machines_being_vacated_by(&self, id: &str) -> impl Iterator<Item = &str> {
        let is_leaving = move |loan: &&Loan| loan.job == id && loan.state == LoanState::Returning;
        self.all().filter(is_leaving).map(|loan| loan.machine.as_str())
    }

    /// How many unplaced replicas are covered by claims; all of them while a loan is still being sought. No
    /// machine is rented for these.
    pub(super) fn replicas_covered_by_loans(&self, now: Micros, id: &str) -> u32 {
        if self
            .services_lacking_replicas
            .get(id)
            .is_some_and(|since| now.since(*since) < Micros(CLAIM_DELAY.0 * 2))
        {
            return u32::MAX;
        }
        self.claimed_replicas(id)
    }

    fn claimed_replicas(&self, id: &str) -> u32 {
        self.ledgers.values().map(|ledger| ledger.claimed_replicas(id)).sum()
    }

    /// Whether a borrower has already claimed an attempt.
    fn is_lent(&self, id: &str, index: u32, attempt: u64) -> bool {
        self.ledgers.values().any(|ledger| ledger.is_lent(id, (index, attempt)))
    }

    fn is_ledger_valid(&self, now: Micros) -> bool {
        self.ledgers_requested_at.is_some_and(|requested_at| now.since(requested_at) < LEDGER_VALIDITY)
    }
}

impl JobShard {
    /// Whether a job may borrow.
    pub(super) fn can_borrow(&self, spec: &JobSpec) -> bool {
        let is_borrower =
            |terms: &LoanTerms| terms.borrowers.iter().any(|b| *b == spec.team || *b == spec.class);
        spec.kind == JobKind::Service
            && spec.resources_per_task.gpus > 0
            && self.loans.terms.as_ref().is_some_and(is_borrower)
    }

    /// Replaces the teams' ledgers by those returned for a read that was sent at `sent`.
    pub fn apply_ledgers(&mut self, sent: Micros, ledgers: BTreeMap<String, Ledger>) {
        self.loans.ledgers = ledgers;
        self.loans.ledgers_requested_at = Some(sent);
        self.replan = true;
    }

    /// Replaces what a peer's jobs can lend and what they lack.
    pub fn apply_peer_lending(&mut self, now: Micros, from: usize, lending: LendingReport) {
        self.loans.peers.insert(from, PeerLending { received_at: now, lending });
    }

    /// Updates which services lack replicas, and which teams lack GPUs within their guarantees.
    pub fn note_gpu_shortfalls(&mut self, now: Micros) {
        let mut services_lacking_replicas: BTreeMap<String, Micros> = BTreeMap::new();
        let mut short: BTreeMap<String, TeamShortfall> = BTreeMap::new();
        for (id, job) in &self.jobs {
            let spec = &job.spec;
            let lacks =
                (spec.task_count as usize).saturating_sub(job.done.len() as usize + job.assignments.len());
            if spec.resources_per_task.gpus <= 0
                || lacks == 0
                || job.pending_outcome.is_some()
                || job.is_waiting()
                || !job.has_known_starts()
            {
                continue;
            }
            if self.can_borrow(spec) {
                services_lacking_replicas
                    .insert(id.clone(), self.loans.services_lacking_replicas.get(id).copied().unwrap_or(now));
            }
            if job.quota_tier == QuotaTier::Within && !self.failures.is_job_quarantined(id) {
                let since = self.loans.short.get(&spec.team).map_or(now, |short| short.since);
                let none = TeamShortfall { resources: Resources::default(), since };
                let team = short.entry(spec.team.clone()).or_insert(none);
                team.resources = team.resources + spec.resources_per_task.times(lacks as i64);
            }
        }
        (self.loans.services_lacking_replicas, self.loans.short) = (services_lacking_replicas, short);
    }

    /// The message to peers: tasks of this shard on GPUs beyond their teams' guarantees, and shortfalls
    /// within guarantees.
    pub fn lending_offer(&self, now: Micros, wall: Micros) -> LendingReport {
        let short = self.loans.short.iter();
        let shortfalls =
            short.map(|(team, short)| (team.clone(), short.resources, now.since(short.since))).collect();
        let Some(terms) = &self.loans.terms else { return LendingReport { jobs: Vec::new(), shortfalls } };
        let is_offered = |job: &Job| {
            is_lendable(job)
                && job.spec.resources_per_task.gpus > 0
                && job.pending_outcome.is_none()
                && !job.assignments.is_empty()
        };
        let lendable = |(id, job): (&String, &Job)| LendableJob {
            job: id.clone(),
            team: job.spec.team.clone(),
            priority: job.spec.priority % GUARANTEED_PRIORITY_BONUS,
            is_gang: job.spec.kind == JobKind::Gang,
            resources_per_task: job.spec.resources_per_task,
            tasks: job
                .assignments
                .iter()
                .map(|(&index, assignment)| self.lendable_task(now, wall, terms, job, index, assignment))
                .collect(),
        };
        LendingReport {
            jobs: self.jobs.iter().filter(|(_, job)| is_offered(job)).map(lendable).collect(),
            shortfalls,
        }
    }

    fn lendable_task(
        &self,
        now: Micros,
        wall: Micros,
        terms: &LoanTerms,
        job: &Job,
        index: u32,
        assignment: &Assignment,
    ) -> LendableTask {
        let id = &job.spec.id;
        let gang = job.spec.kind == JobKind::Gang;
        let is_in_transition = !job.has_known_starts() || (gang && job.gang != Some(GangState::Started));
        let is_on_machine =
            matches!(assignment.phase, Some(TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running));
        // A replica that was started by a loan is not preempted for a while. Otherwise resources would
        // oscillate between jobs.
        let is_recent_loan = self.loans.all().any(|loan| {
            loan.job == *id
                && loan.machine == assignment.machine
                && loan.state == LoanState::Held
                && wall.0.saturating_sub(loan.since_us) < terms.stay.0
        });
        LendableTask {
            index,
            attempt: assignment.attempt,
            machine: assignment.machine.clone(),
            lost_work_ms: self.lost_by_stopping_ms(now, job, assignment),
            is_protected: is_in_transition
                || !is_on_machine
                || assignment.is_stopping()
                || is_recent_loan
                || self.loans.is_lent(id, index, assignment.attempt),
        }
    }

    /// Run time that is lost if a task is stopped, in milliseconds.
    fn lost_by_stopping_ms(&self, now: Micros, job: &Job, assignment: &Assignment) -> u64 {
        if job.has_checkpoints() {
            return job.spec.checkpoint_duration.0 / 1000;
        }
        let ran = match assignment.phase {
            Some(TaskPhase::Running) => now.since(assignment.phase_since).0 / 1000,
            _ => 0,
        };
        let left = (self.run_times.likely(&job.spec).0 / 1000).saturating_sub(ran);
        // A task that never checkpoints and is nearly done is preempted last.
        if left < ran / 4 { ran * 2 } else { ran }
    }

    /// The next loan to claim for a service of this shard whose replicas have found no free resources for
    /// `CLAIM_DELAY`.
    pub fn propose_loan(
        &self,
        now: Micros,
        wall: Micros,
        membership: &Membership,
        quota: &QuotaLedger,
    ) -> Option<LoanProposal> {
        // Guards against claims on tasks that others have claimed meanwhile.
        if !self.loans.is_ledger_valid(now) || self.loans.services_lacking_replicas.is_empty() {
            return None;
        }
        let tasks = self.preemptible_tasks_for_loans(now, wall, membership);
        if tasks.is_empty() {
            return None;
        }
        let mut targets = self.placement_targets(now, membership, &self.views);
        self.loans.withhold_reserved(&mut targets);
        let has_waited = |id: &String| {
            self.loans.services_lacking_replicas.get(id).is_some_and(|since| now.since(*since) >= CLAIM_DELAY)
        };
        for id in self.queue_order().iter().filter(|id| has_waited(id)) {
            let Some(job) = self.jobs.get(id) else { continue };
            let is_paused = self.failures.awaits_probe(now, id) || now < job.not_before;
            if self.failures.is_job_quarantined(id) || is_paused {
                continue;
            }
            let missing = self.unplaced_replicas_within_quota(id, job, quota);
            let claimed = self.loans.claimed_replicas(id);
            if missing <= claimed {
                continue;
            }
            let need = self.replica_demand(id, job, missing - claimed, &targets, membership);
            let claims = choose_preemptions(&need, &self.machines_for_loan(now, id, job, &targets), &tasks);
            if !claims.is_empty() {
                return Some(LoanProposal {
                    team: job.spec.team.clone(),
                    job: id.clone(),
                    missing_replicas: missing,
                    claims,
                });
            }
        }
        None
    }

    /// The number of replicas without a machine that the job's quota allows.
    fn unplaced_replicas_within_quota(&self, id: &str, job: &Job, quota: &QuotaLedger) -> u32 {
        let allowance = quota.usable(&job.spec.team, id) - self.resources_in_use(id, job);
        let allowance = Resources { memory: i64::MAX / 4, ..allowance };
        let allowed = allowance.max_count_of(job.spec.resources_per_task).clamp(0, MAX_REPLICAS) as u32;
        (job.spec.task_count - job.assignments.len() as u32).min(allowed)
    }

    fn replica_demand(
        &self,
        id: &str,
        job: &Job,
        replicas: u32,
        targets: &[PlacementTarget],
        membership: &Membership,
    ) -> ReplicaDemand {
        let spec = &job.spec;
        let counts = self.replicas_by_zone(id, job, membership);
        let zones = if spec.one_zone && !counts.is_empty() {
            Some(counts.keys().map(|zone| (zone.clone(), u32::MAX)).collect())
        } else if spec.spread {
            let half = spec.task_count.div_ceil(2);
            let left = |zone: &String| half.saturating_sub(counts.get(zone).copied().unwrap_or(0));
            let zones = targets.iter().map(|target| &target.machine.zone);
            Some(zones.map(|zone| (zone.clone(), left(zone))).collect())
        } else {
            None
        };
        ReplicaDemand {
            team: spec.team.clone(),
            base_priority: spec.priority % GUARANTEED_PRIORITY_BONUS,
            within_guarantee: job.quota_tier == QuotaTier::Within,
            resources_per_replica: to_amount(spec.resources_per_task),
            replicas,
            zone_quota: zones,
            one_zone: spec.one_zone,
        }
    }

    /// By zone, the replicas of a job that are assigned there, claimed there, or may still be running there.
    fn replicas_by_zone(&self, id: &str, job: &Job, membership: &Membership) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for assignment in job.assignments.values() {
            *counts.entry(assignment.zone.clone()).or_default() += 1;
        }
        let zone_of = |name: &str| self.machine(name, membership).map(|machine| machine.zone.clone());
        for loan in self.loans.all().filter(|loan| loan.job == *id && loan.state == LoanState::Taking) {
            *counts.entry(zone_of(&loan.machine).unwrap_or_default()).or_default() += loan.replicas;
        }
        for (_, start) in self.retired_starts.alive_attempts_of(id) {
            *counts.entry(start.zone.clone()).or_default() += 1;
        }
        counts.retain(|_, count| *count > 0);
        counts
    }

    /// Machines on which a job's replicas may be placed.
    fn machines_for_loan(
        &self,
        now: Micros,
        id: &str,
        job: &Job,
        targets: &[PlacementTarget],
    ) -> Vec<Machine> {
        let spec = &job.spec;
        let avoided = self.failures.machines_avoided_by(now, id);
        let vacating: BTreeSet<&str> = self.loans.machines_being_vacated_by(id).collect();
        let is_usable = |target: &&PlacementTarget| {
            let name = target.machine.name.as_str();
            target.is_allowed(spec)
                && target.reserved_for.is_none_or(|priority| priority <= spec.priority)
                && !avoided.contains(name)
                && !vacating.contains(name)
                && self.retired_starts.blocking_attempts_of(id).all(|(key, _)| key.machine != name)
        };
        let machine = |target: &PlacementTarget| Machine {
            name: target.machine.name.clone(),
            zone: target.machine.zone.clone(),
            free: to_amount(target.free),
            has_image: target.machine.images.contains(&spec.image_hash),
        };
        targets.iter().filter(is_usable).map(machine).collect()
    }

    /// Tasks of this shard and of peers that may be preempted for a borrower.
    fn preemptible_tasks_for_loans(&self, now: Micros, wall: Micros, membership: &Membership) -> Vec<Task> {
        let is_valid = |(peer, report): &(&usize, &PeerLending)| {
            now.since(report.received_at) < PEER_REPORT_VALIDITY && membership.members.contains(peer)
        };
        let peers =
            self.loans.peers.iter().filter(is_valid).flat_map(|(_, report)| report.lending.jobs.clone());
        let mut tasks = Vec::new();
        for lendable in self.lending_offer(now, wall).jobs.into_iter().chain(peers) {
            for task in lendable.tasks {
                // A message that was sent before the claim does not reflect it.
                let claimed = self.loans.is_lent(&lendable.job, task.index, task.attempt);
                tasks.push(Task {
                    job: lendable.job.clone(),
                    index: task.index,
                    attempt: task.attempt,
                    team: lendable.team.clone(),
                    base_priority: lendable.priority,
                    within_guarantee: false,
                    is_gang: lendable.is_gang,
                    machine: task.machine,
                    resources: to_amount(lendable.resources_per_task),
                    lost_work_ms: task.lost_work_ms,
                    protected: task.is_protected || claimed,
                });
            }
        }
        tasks
    }

    /// Enforces the ledgers: stops lent tasks of this shard, gangs as a whole, and replicas whose resources
    /// are being returned.
    pub fn enforce_loans(&mut self, now: Micros) {
        if !self.loans.is_ledger_valid(now) {
            return;
        }
        let open: Vec<Loan> =
            self.loans.all().filter(|loan| loan.state != LoanState::Held).cloned().collect();
        for loan in open {
            match loan.state {
                LoanState::Taking => self.stop_lent_tasks(&loan),
                _ => self.stop_replicas_to_return(&loan),
            }
        }
    }

    fn stop_replicas_to_return(&mut self, loan: &Loan) {
        let Some(job) = self.jobs.get_mut(&loan.job) else { return };
        for (&index, assignment) in &mut job.assignments {
            if assignment.machine == loan.machine && !assignment.is_stopping() {
                tracing::info!(job = %loan.job, task = index, machine = %loan.machine, lender = %loan.lender, loan = loan.id, "replica reclaimed");
                assignment.action = DesiredAction::Stop(job.spec.checkpoint_duration);
                self.delivery.mark_changed(&assignment.machine, &loan.job, index, assignment.attempt);
            }
        }
    }

    fn stop_lent_tasks(&mut self, loan: &Loan) {
        let Some(job) = self.jobs.get_mut(&loan.from) else { return };
        // Guards work that has come to be within its team's guarantee since it was offered.
        if !is_lendable(job) || job.pending_outcome.is_some() {
            return;
        }
        let grace = job.stop_grace();
        let is_lent = |index: u32, assignment: &Assignment| {
            loan.tasks.contains(&(index, assignment.attempt)) && assignment.machine == loan.machine
        };
        if job.spec.kind == JobKind::Gang {
            let has_lent = job.assignments.iter().any(|(index, assignment)| is_lent(*index, assignment));
            if job.gang == Some(GangState::Started) && has_lent {
                tracing::info!(job = %loan.from, machine = %loan.machine, borrower = %loan.job, loan = loan.id, "gang preempted for loan");
                self.stop_gang(&loan.from, grace);
            }
            return;
        }
        for (&index, assignment) in &mut job.assignments {
            if is_lent(index, assignment) && !assignment.is_stopping() {
                tracing::info!(job = %loan.from, task = index, machine = %loan.machine, borrower = %loan.job, loan = loan.id, "task preempted for loan");
                assignment.action = DesiredAction::Stop(grace);
                self.delivery.mark_changed(&assignment.machine, &loan.from, index, assignment.attempt);
            }
        }
    }

    /// The facts about a loan that this shard knows: about jobs that it leads, and about machines.
    pub fn loan_facts(&self, loan: &Loan, membership: &Membership) -> LoanFacts {
        let mut facts = LoanFacts {
            is_machine_gone: self.is_machine_gone(&loan.machine, membership),
            ..LoanFacts::default()
        };
        if !self.loaded {
            return facts;
        }
        if membership.job_leader(&loan.job) == Some(self.me) {
            let job = self.jobs.get(&loan.job);
            facts.is_borrower_live = Some(job.is_some_and(|job| job.pending_outcome.is_none()));
            // After a failover not all replicas are known at first.
            if let Some(job) = job.filter(|job| job.has_known_starts()) {
                facts.replicas_on_machine = Some(replicas_on(job, &loan.machine));
                facts.unplaced_replicas = Some(job.spec.task_count - job.assignments.len() as u32);
            }
        }
        if membership.job_leader(&loan.from) == Some(self.me) {
            facts.is_preemption_refused = self.jobs.get(&loan.from).is_some_and(|job| is_refused(job, loan));
            facts.is_lender_short = self.is_lender_short(loan);
        }
        facts
    }

    /// Whether the lender's job or team lacks resources; None if not all attempts of the job are known.
    fn is_lender_short(&self, loan: &Loan) -> Option<bool> {
        let Some(job) = self.jobs.get(&loan.from) else { return Some(false) };
        if !job.has_known_starts() {
            return None;
        }
        let lacks = job.assignments.len() < job.unfinished_tasks() as usize;
        let lacks = lacks || self.loans.short.contains_key(&loan.lender);
        Some(job.pending_outcome.is_none() && lacks)
    }

    /// Loans of services of this shard that must be returned, since the lender has a shortfall within its
    /// guarantee.
    pub fn loans_to_return(
        &self,
        now: Micros,
        wall: Micros,
        team: &str,
        ledger: &Ledger,
        membership: &Membership,
        quota: &QuotaLedger,
    ) -> Vec<u64> {
        let Some(terms) = &self.loans.terms else { return Vec::new() };
        let shortfalls = self.combined_shortfalls(now, wall);
        if shortfalls.is_empty() {
            return Vec::new();
        }
        let guarantee = self.guarantees.get(team).map_or(0, |guarantee| guarantee.gpus);
        let borrower =
            Borrower { used_milligpus: quota.allocated(team).gpus, guaranteed_milligpus: guarantee };
        let is_led_here = |id: &str| membership.job_leader(id) == Some(self.me);
        let replicas_on_loan = |id: &str, machine: &str| match self.jobs.get(id).filter(|_| is_led_here(id)) {
            Some(job) => ReplicasOnLoan {
                replicas: replicas_on(job, machine),
                milligpus_per_replica: job.spec.resources_per_task.gpus,
                within_guarantee: job.quota_tier == QuotaTier::Within,
            },
            // The leader of that job decides about it.
            None => ReplicasOnLoan { within_guarantee: true, ..ReplicasOnLoan::default() },
        };
        let terms = ReclaimTerms { min_stay_us: terms.stay.0, min_shortfall_us: terms.burst.0 };
        loans_to_reclaim(wall.0, terms, ledger, borrower, &shortfalls, replicas_on_loan)
    }

    /// By team, the shortfall of work within its guarantee, over the jobs of this shard and of peers.
    fn combined_shortfalls(&self, now: Micros, wall: Micros) -> BTreeMap<String, Shortfall> {
        let valid =
            self.loans.peers.values().filter(|report| now.since(report.received_at) < PEER_REPORT_VALIDITY);
        let peers = valid.flat_map(|report| report.lending.shortfalls.iter().cloned());
        let local = self.loans.short.iter();
        let local = local.map(|(team, short)| (team.clone(), short.resources, now.since(short.since)));
        let mut shortfalls: BTreeMap<String, Shortfall> = BTreeMap::new();
        for (team, resources, age) in local.chain(peers) {
            let since_us = wall.0.saturating_sub(age.0);
            let sum = shortfalls
                .entry(team)
                .or_insert(Shortfall { resources: ResourceVector::default(), since_us });
            sum.resources = sum.resources + to_amount(resources);
            sum.since_us = sum.since_us.min(since_us);
        }
        shortfalls
    }
}

fn replicas_on(job: &Job, machine: &str) -> u32 {
    job.assignments.values().filter(|assignment| assignment.machine == machine).count() as u32
}

/// Whether the tasks of a loan keep running, since they have come to be within their team's guarantee.
fn is_refused(job: &Job, loan: &Loan) -> bool {
    let keeps_running = |(index, attempt): &(u32, u64)| {
        let assignment = job.assignments.get(index);
        assignment.is_some_and(|assignment| assignment.attempt == *attempt && !assignment.is_stopping())
    };
    !is_lendable(job) && loan.tasks.iter().all(keeps_running)
}
