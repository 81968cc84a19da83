//! Lending of GPUs as a leader of jobs sees it: what its jobs run beyond their teams' guarantees, what its services lack,
//! room that is kept for somebody, and tasks that are preempted, or go back, by what a ledger says. Which job is within
//! its guarantee is decided in `quota::tier` alone.

use super::JobShard;
use super::assignments::Assignment;
use super::gang::GangState;
use super::job::Job;
use crate::config::operators::LoanTerms;
use crate::membership::Membership;
use crate::peer::{DesiredAction, LendableJob, LendableTask, LendingReport, TaskPhase};
use crate::quota::QuotaLedger;
use crate::quota::tier::QuotaTier;
use crate::scheduler::placement::Place;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobKind, JobSpec};
use crate::units::{Micros, Resources};
use hazelsaddle_gpu_lending::ResourceVector;
use hazelsaddle_gpu_lending::ledger::{Claim, Ledger, Loan, LoanFacts, LoanState};
use hazelsaddle_gpu_lending::preemption::{Machine, ReplicaDemand, Task, choose_preemptions};
use hazelsaddle_gpu_lending::reclaim::{Borrower, ReclaimTerms, ReplicasOnLoan, Shortfall, loans_to_reclaim};
use std::collections::{BTreeMap, BTreeSet};

/// How long what a peer said holds.
const VALID_FOR: Micros = Micros::from_millis(5_000);
/// A ledger that was read longer ago is not followed any more: what it says may have been taken back.
const LEDGER_VALID_FOR: Micros = Micros::from_millis(5_000);
/// Replicas wait so long for room that comes free by itself before any is taken, and before a machine is rented.
const TAKE_DELAY: Micros = Micros::from_millis(1_500);
/// Priority of room that is kept for a loan: only whom it is kept for may use it.
const KEPT: u8 = u8::MAX;
/// The most replicas of a job that are looked at.
const MOST_REPLICAS: i64 = 10_000;

/// What is known of loans.
#[derive(Debug, Default)]
pub(super) struct Loans {
    terms: Option<LoanTerms>,
    /// Teams' ledgers.
    ledgers: BTreeMap<String, Ledger>,
    /// When the question went out that they answer.
    as_of: Option<Micros>,
    /// By peer, what it said last.
    peers: BTreeMap<usize, PeerLending>,
    /// Services that lack replicas, and since when.
    lacking: BTreeMap<String, Micros>,
    /// Teams whose work within its guarantee lacks GPUs, by our jobs.
    short: BTreeMap<String, TeamShortfall>,
}

/// What a peer's jobs could lend, and what they lack.
#[derive(Debug)]
struct PeerLending {
    at: Micros,
    lending: LendingReport,
}

/// What a team lacks within its guarantee.
#[derive(Clone, Copy, Debug)]
struct TeamShortfall {
    room: Resources,
    since: Micros,
}

/// Room on a place that is kept for a job, given to it while it is placed.
pub(super) struct LentRoom {
    pub(super) place: usize,
    room: Resources,
}

/// Room that is to be claimed.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanProposal {
    /// The borrowing team.
    pub team: String,
    /// Its job.
    pub job: String,
    /// How many of its replicas have no place.
    pub missing_replicas: u32,
    /// What is claimed, machine by machine.
    pub claims: Vec<Claim>,
}

fn amount(room: Resources) -> ResourceVector {
    ResourceVector { gpus: room.gpus, cpus: room.cpus, memory: room.memory }
}

/// What goes back is for the lender, and for whatever lies within its guarantee: that stands above. All else is for the
/// loan's job.
fn is_kept_for(loan: &Loan, id: &str, job: &Job) -> bool {
    match loan.state {
        LoanState::Returning => loan.lender == job.spec.team || job.quota_tier == QuotaTier::Within,
        _ => loan.job == id,
    }
}

/// Whether a job's tasks run beyond what its team is guaranteed. Of one of which that is not known nothing is lent.
fn is_lendable(job: &Job) -> bool {
    matches!(job.quota_tier, QuotaTier::Beyond | QuotaTier::NoGuarantee)
}

impl Loans {
    pub(super) fn new(terms: Option<LoanTerms>) -> Loans {
        Loans { terms, ..Loans::default() }
    }

    /// A new epoch: what peers said, they said as leaders of other jobs.
    pub(super) fn adopt_epoch(&mut self) {
        self.peers.clear();
        self.as_of = None;
    }

    fn all(&self) -> impl Iterator<Item = &Loan> {
        self.ledgers.values().flat_map(|ledger| &ledger.loans)
    }

    /// Room on machines that is kept for somebody: for a borrower's replicas until they stand, and for a lender's job until
    /// it is back. The first says whom a loan is for.
    fn kept(&self) -> impl Iterator<Item = (&Loan, Resources)> {
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

    /// By machine, the room that is kept by those loans that are wanted.
    fn kept_by_machine(&self, is_wanted: impl Fn(&Loan) -> bool) -> BTreeMap<&str, Resources> {
        let mut by_machine: BTreeMap<&str, Resources> = BTreeMap::new();
        for (loan, room) in self.kept().filter(|(loan, _)| is_wanted(loan)) {
            let sum = by_machine.entry(&loan.machine).or_default();
            *sum = *sum + room;
        }
        by_machine
    }

    /// Takes what is kept for somebody off what is free.
    pub(super) fn hold_back(&self, places: &mut [Place]) {
        let kept = self.kept_by_machine(|_| true);
        if kept.is_empty() {
            return;
        }
        for place in places {
            if let Some(room) = kept.get(place.machine.name.as_str()) {
                place.free = place.free - *room;
                // Guards against gangs that wait: they would reserve the machine, and neither would get it.
                place.reserved_for = Some(KEPT);
            }
        }
    }

    /// Gives a job the room that is kept for it.
    pub(super) fn lend(&self, places: &mut [Place], id: &str, job: &Job) -> Vec<LentRoom> {
        let kept = self.kept_by_machine(|loan| is_kept_for(loan, id, job));
        let mut lent = Vec::new();
        if kept.is_empty() {
            return lent;
        }
        for (i, place) in places.iter_mut().enumerate() {
            if let Some(&room) = kept.get(place.machine.name.as_str()) {
                place.free = place.free + room;
                place.reserved_for = None;
                lent.push(LentRoom { place: i, room });
            }
        }
        lent
    }

    /// Takes back what of it the job, whose tasks go to the places `used`, has not used.
    pub(super) fn take_back(places: &mut [Place], lent: &[LentRoom], one: Resources, used: &[usize]) {
        for LentRoom { place, room } in lent {
            let tasks = used.iter().filter(|i| *i == place).count() as i64;
            places[*place].free = places[*place].free - (*room - one.times(tasks).min(*room));
            places[*place].reserved_for = Some(KEPT);
        }
    }

    /// Machines that a job's replicas are leaving for a lender: it comes back to none of them meanwhile.
    pub(super) fn machines_left_by(&self, id: &str) -> impl Iterator<Item = &str> {
        let is_leaving = move |loan: &&Loan| loan.job == id && loan.state == LoanState::Returning;
        self.all().filter(is_leaving).map(|loan| loan.machine.as_str())
    }

    /// Replicas that are claimed for already, or that loans are being looked for: no machine is rented for them.
    pub(super) fn covers(&self, now: Micros, id: &str) -> u32 {
        if self.lacking.get(id).is_some_and(|since| now.since(*since) < Micros(TAKE_DELAY.0 * 2)) {
            return u32::MAX;
        }
        self.claimed_replicas(id)
    }

    fn claimed_replicas(&self, id: &str) -> u32 {
        self.ledgers.values().map(|ledger| ledger.claimed_replicas(id)).sum()
    }

    /// Whether a start is claimed already by a borrower.
    fn is_lent(&self, id: &str, index: u32, attempt: u64) -> bool {
        self.ledgers.values().any(|ledger| ledger.is_lent(id, (index, attempt)))
    }

    fn is_ledger_valid(&self, now: Micros) -> bool {
        self.as_of.is_some_and(|as_of| now.since(as_of) < LEDGER_VALID_FOR)
    }
}

impl JobShard {
    /// Whether a job may borrow.
    pub(super) fn may_borrow(&self, spec: &JobSpec) -> bool {
        let is_borrower =
            |terms: &LoanTerms| terms.borrowers.iter().any(|b| *b == spec.team || *b == spec.class);
        spec.kind == JobKind::Service
            && spec.resources_per_task.gpus > 0
            && self.loans.terms.as_ref().is_some_and(is_borrower)
    }

    /// Takes the teams' ledgers, read by a question that went out at `sent`.
    pub fn apply_ledgers(&mut self, sent: Micros, ledgers: BTreeMap<String, Ledger>) {
        self.loans.ledgers = ledgers;
        self.loans.as_of = Some(sent);
        self.replan = true;
    }

    /// Takes what a peer's jobs could lend and what they lack, in place of what it said before.
    pub fn apply_peer_lending(&mut self, now: Micros, from: usize, lending: LendingReport) {
        self.loans.peers.insert(from, PeerLending { at: now, lending });
    }

    /// Sees which services lack replicas, and which teams lack GPUs within their guarantees.
    pub fn note_gpu_shortfalls(&mut self, now: Micros) {
        let mut lacking: BTreeMap<String, Micros> = BTreeMap::new();
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
            if self.may_borrow(spec) {
                lacking.insert(id.clone(), self.loans.lacking.get(id).copied().unwrap_or(now));
            }
            if job.quota_tier == QuotaTier::Within && !self.failures.is_job_quarantined(id) {
                let since = self.loans.short.get(&spec.team).map_or(now, |short| short.since);
                let none = TeamShortfall { room: Resources::default(), since };
                let team = short.entry(spec.team.clone()).or_insert(none);
                team.room = team.room + spec.resources_per_task.times(lacks as i64);
            }
        }
        (self.loans.lacking, self.loans.short) = (lacking, short);
    }

    /// What peers are told: our jobs' tasks on GPUs beyond their teams' guarantees, and what is lacking.
    pub fn lending_offer(&self, now: Micros, wall: Micros) -> LendingReport {
        let short = self.loans.short.iter();
        let lacks = short.map(|(team, short)| (team.clone(), short.room, now.since(short.since))).collect();
        let Some(terms) = &self.loans.terms else {
            return LendingReport { jobs: Vec::new(), shortfalls: lacks };
        };
        let offers = |job: &Job| {
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
            jobs: self.jobs.iter().filter(|(_, job)| offers(job)).map(lendable).collect(),
            shortfalls: lacks,
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
        let is_moving = !job.has_known_starts() || (gang && job.gang != Some(GangState::Going));
        let is_there =
            matches!(assignment.phase, Some(TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running));
        // A replica that was taken for is left where it is for a while, or room would swing.
        let is_young = self.loans.all().any(|loan| {
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
            is_protected: is_moving
                || !is_there
                || assignment.is_stopping()
                || is_young
                || self.loans.is_lent(id, index, assignment.attempt),
        }
    }

    /// Run time that is lost if a task is stopped, in milliseconds.
    fn lost_by_stopping_ms(&self, now: Micros, job: &Job, assignment: &Assignment) -> u64 {
        if job.can_save() {
            return job.spec.checkpoint_duration.0 / 1000;
        }
        let ran = match assignment.phase {
            Some(TaskPhase::Running) => now.since(assignment.phase_since).0 / 1000,
            _ => 0,
        };
        let left = (self.run_times.likely(&job.spec).0 / 1000).saturating_sub(ran);
        // What never saves and is nearly done goes last.
        if left < ran / 4 { ran * 2 } else { ran }
    }

    /// What is to be claimed for one of our services whose replicas have found no room for a moment.
    pub fn propose_loan(
        &self,
        now: Micros,
        wall: Micros,
        membership: &Membership,
        quota: &QuotaLedger,
    ) -> Option<LoanProposal> {
        // Guards against claims on what others have claimed meanwhile.
        if !self.loans.is_ledger_valid(now) || self.loans.lacking.is_empty() {
            return None;
        }
        let tasks = self.tasks_to_take(now, wall, membership);
        if tasks.is_empty() {
            return None;
        }
        let mut places = self.places(now, membership, &self.views);
        self.loans.hold_back(&mut places);
        let has_waited =
            |id: &String| self.loans.lacking.get(id).is_some_and(|since| now.since(*since) >= TAKE_DELAY);
        for id in self.queue_order().iter().filter(|id| has_waited(id)) {
            let Some(job) = self.jobs.get(id) else { continue };
            let pauses = self.failures.awaits_probe(now, id) || now < job.not_before;
            if self.failures.is_job_quarantined(id) || pauses {
                continue;
            }
            let missing = self.replicas_missing(id, job, quota);
            let claimed = self.loans.claimed_replicas(id);
            if missing <= claimed {
                continue;
            }
            let need = self.loan_need(id, job, missing - claimed, &places, membership);
            let claims = choose_preemptions(&need, &self.machines_for_loan(now, id, job, &places), &tasks);
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

    /// Replicas without a place that a job's quota allows.
    fn replicas_missing(&self, id: &str, job: &Job, quota: &QuotaLedger) -> u32 {
        let allowance = quota.usable(&job.spec.team, id) - self.resources_in_use(id, job);
        let allowance = Resources { memory: i64::MAX / 4, ..allowance };
        let allowed = allowance.max_count_of(job.spec.resources_per_task).clamp(0, MOST_REPLICAS) as u32;
        (job.spec.task_count - job.assignments.len() as u32).min(allowed)
    }

    fn loan_need(
        &self,
        id: &str,
        job: &Job,
        replicas: u32,
        places: &[Place],
        membership: &Membership,
    ) -> ReplicaDemand {
        let spec = &job.spec;
        let counts = self.replicas_by_zone(id, job, membership);
        let zones = if spec.one_zone && !counts.is_empty() {
            Some(counts.keys().map(|zone| (zone.clone(), u32::MAX)).collect())
        } else if spec.spread {
            let half = spec.task_count.div_ceil(2);
            let left = |zone: &String| half.saturating_sub(counts.get(zone).copied().unwrap_or(0));
            let zones = places.iter().map(|place| &place.machine.zone);
            Some(zones.map(|zone| (zone.clone(), left(zone))).collect())
        } else {
            None
        };
        ReplicaDemand {
            team: spec.team.clone(),
            base_priority: spec.priority % GUARANTEED_PRIORITY_BONUS,
            within_guarantee: job.quota_tier == QuotaTier::Within,
            resources_per_replica: amount(spec.resources_per_task),
            replicas,
            zone_quota: zones,
            one_zone: spec.one_zone,
        }
    }

    /// By zone, the replicas that a job has there, is being given there, or may still have there.
    fn replicas_by_zone(&self, id: &str, job: &Job, membership: &Membership) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for assignment in job.assignments.values() {
            *counts.entry(assignment.zone.clone()).or_default() += 1;
        }
        let zone_of = |name: &str| self.machine(name, membership).map(|machine| machine.zone.clone());
        for loan in self.loans.all().filter(|loan| loan.job == *id && loan.state == LoanState::Taking) {
            *counts.entry(zone_of(&loan.machine).unwrap_or_default()).or_default() += loan.replicas;
        }
        for (_, start) in self.retired_starts.alive_of(id) {
            *counts.entry(start.zone.clone()).or_default() += 1;
        }
        counts.retain(|_, count| *count > 0);
        counts
    }

    /// Machines where a job's replicas may go.
    fn machines_for_loan(&self, now: Micros, id: &str, job: &Job, places: &[Place]) -> Vec<Machine> {
        let spec = &job.spec;
        let avoided = self.failures.machines_avoided_by(now, id);
        let leaving: BTreeSet<&str> = self.loans.machines_left_by(id).collect();
        let is_usable = |place: &&Place| {
            let name = place.machine.name.as_str();
            place.is_allowed(spec)
                && place.reserved_for.is_none_or(|priority| priority <= spec.priority)
                && !avoided.contains(name)
                && !leaving.contains(name)
                && self.retired_starts.open_of(id).all(|(key, _)| key.machine != name)
        };
        let machine = |place: &Place| Machine {
            name: place.machine.name.clone(),
            zone: place.machine.zone.clone(),
            free: amount(place.free),
            has_image: place.machine.images.contains(&spec.image_hash),
        };
        places.iter().filter(is_usable).map(machine).collect()
    }

    /// Tasks, ours and peers', that may be stopped for a borrower.
    fn tasks_to_take(&self, now: Micros, wall: Micros, membership: &Membership) -> Vec<Task> {
        let is_valid = |(peer, said): &(&usize, &PeerLending)| {
            now.since(said.at) < VALID_FOR && membership.members.contains(peer)
        };
        let peers = self.loans.peers.iter().filter(is_valid).flat_map(|(_, said)| said.lending.jobs.clone());
        let mut tasks = Vec::new();
        for lendable in self.lending_offer(now, wall).jobs.into_iter().chain(peers) {
            for task in lendable.tasks {
                // What was said before the claim was made doesn't know of it.
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
                    resources: amount(lendable.resources_per_task),
                    lost_work_ms: task.lost_work_ms,
                    protected: task.is_protected || claimed,
                });
            }
        }
        tasks
    }

    /// Stops what the ledgers say: our tasks that are lent, gangs whole, and our replicas whose room goes back.
    pub fn enforce_loans(&mut self, now: Micros) {
        if !self.loans.is_ledger_valid(now) {
            return;
        }
        let open: Vec<Loan> =
            self.loans.all().filter(|loan| loan.state != LoanState::Held).cloned().collect();
        for loan in open {
            match loan.state {
                LoanState::Taking => self.stop_lent_tasks(&loan),
                _ => self.return_replicas(&loan),
            }
        }
    }

    fn return_replicas(&mut self, loan: &Loan) {
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
        // Guards work that has come to lie within its guarantee since it was offered.
        if !is_lendable(job) || job.pending_outcome.is_some() {
            return;
        }
        let grace = job.stop_grace();
        let is_lent = |index: u32, assignment: &Assignment| {
            loan.tasks.contains(&(index, assignment.attempt)) && assignment.machine == loan.machine
        };
        if job.spec.kind == JobKind::Gang {
            let has_lent = job.assignments.iter().any(|(index, assignment)| is_lent(*index, assignment));
            if job.gang == Some(GangState::Going) && has_lent {
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

    /// How things stand with a loan, as far as we know: of our own jobs, and of machines.
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
            facts.is_lender_short = self.lender_lacks(loan);
        }
        facts
    }

    /// Whether the lender's job, or its team, lacks room; None if not all its starts are known.
    fn lender_lacks(&self, loan: &Loan) -> Option<bool> {
        let Some(job) = self.jobs.get(&loan.from) else { return Some(false) };
        if !job.has_known_starts() {
            return None;
        }
        let lacks = job.assignments.len() < job.unfinished_tasks() as usize;
        let lacks = lacks || self.loans.short.contains_key(&loan.lender);
        Some(job.pending_outcome.is_none() && lacks)
    }

    /// Loans of our services that are to be given back, since the lender is within its guarantee and short.
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
        let lacks = self.lacks_of_all(now, wall);
        if lacks.is_empty() {
            return Vec::new();
        }
        let guarantee = self.guarantees.get(team).map_or(0, |guarantee| guarantee.gpus);
        let borrower =
            Borrower { used_milligpus: quota.allocated(team).gpus, guaranteed_milligpus: guarantee };
        let is_ours = |id: &str| membership.job_leader(id) == Some(self.me);
        let standing = |id: &str, machine: &str| match self.jobs.get(id).filter(|_| is_ours(id)) {
            Some(job) => ReplicasOnLoan {
                replicas: replicas_on(job, machine),
                milligpus_per_replica: job.spec.resources_per_task.gpus,
                within_guarantee: job.quota_tier == QuotaTier::Within,
            },
            // Another leader decides about it.
            None => ReplicasOnLoan { within_guarantee: true, ..ReplicasOnLoan::default() },
        };
        let terms = ReclaimTerms { min_stay_us: terms.stay.0, min_shortfall_us: terms.burst.0 };
        loans_to_reclaim(wall.0, terms, ledger, borrower, &lacks, standing)
    }

    /// By team, what work within its guarantee lacks, by our jobs and peers'.
    fn lacks_of_all(&self, now: Micros, wall: Micros) -> BTreeMap<String, Shortfall> {
        let valid = self.loans.peers.values().filter(|said| now.since(said.at) < VALID_FOR);
        let peers = valid.flat_map(|said| said.lending.shortfalls.iter().cloned());
        let ours = self.loans.short.iter();
        let ours = ours.map(|(team, short)| (team.clone(), short.room, now.since(short.since)));
        let mut lacks: BTreeMap<String, Shortfall> = BTreeMap::new();
        for (team, room, age) in ours.chain(peers) {
            let since_us = wall.0.saturating_sub(age.0);
            let sum =
                lacks.entry(team).or_insert(Shortfall { resources: ResourceVector::default(), since_us });
            sum.resources = sum.resources + amount(room);
            sum.since_us = sum.since_us.min(since_us);
        }
        lacks
    }
}

fn replicas_on(job: &Job, machine: &str) -> u32 {
    job.assignments.values().filter(|assignment| assignment.machine == machine).count() as u32
}

/// Whether tasks that a loan names go on, since they have come to lie within their team's guarantee.
fn is_refused(job: &Job, loan: &Loan) -> bool {
    let goes_on = |(index, attempt): &(u32, u64)| {
        let assignment = job.assignments.get(index);
        assignment.is_some_and(|assignment| assignment.attempt == *attempt && !assignment.is_stopping())
    };
    !is_lendable(job) && loan.tasks.iter().all(goes_on)
}
