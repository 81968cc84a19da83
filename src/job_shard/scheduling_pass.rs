//! A scheduling pass: places waiting tasks, and registers demand or reserves machines for those that cannot
//! be placed.

use super::JobShard;
use super::assignments::{Assignment, UNSENT};
use super::gang::GangState;
use super::gpu_lending::{GrantedResources, Loans};
use super::job::Job;
use super::preemption::{Shortfall, reclaim_delay};
use super::reservations::{MAX_OVERDUE_ARRAY_STARTS, ReservationPlan};
use crate::machine_view::MachineView;
use crate::membership::Membership;
use crate::peer::{DesiredAction, MachineStatus, Reservation};
use crate::quota::QuotaLedger;
use crate::quota::tier::QuotaTier;
use crate::scheduler::placement::{self, PlacementTarget, ZoneCounts};
use crate::spec::{JobKind, JobSpec};
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of starts in one scheduling pass, which bounds its duration.
const MAX_STARTS_PER_PASS: usize = 400;
/// How long a new leader waits for the autoscaler's reservations before it places anything.
const AUTOSCALER_WAIT: Micros = Micros::from_millis(3_000);
/// How long the shape of a job is remembered.
const SHAPE_RETENTION: Micros = Micros::from_millis(300_000);

/// The inputs of a scheduling pass, and its decisions so far.
pub(super) struct SchedulingPass<'a> {
    pub(super) now: Micros,
    pub(super) wall: Micros,
    pub(super) membership: &'a Membership,
    pub(super) quota: &'a QuotaLedger,
    /// Machines that accept tasks, and the free resources of each.
    pub(super) targets: Vec<PlacementTarget<'a>>,
    /// Number of all known machines, including those that accept no tasks.
    pub(super) machine_count: usize,
    /// Jobs that could not be placed; tasks that are at least as demanding are not tried again.
    unplaceable: Vec<JobSpec>,
    remaining_starts: usize,
    shortfalls: Vec<Shortfall>,
    /// How long work within its guarantee waits before borrowed resources are reclaimed for it.
    reclaim_delay: Micros,
    pub(super) reservation_plan: ReservationPlan,
    /// Machines on which resources are being freed for work within a guarantee.
    reclaimed_for_guarantees: BTreeSet<String>,
    /// Machines whose leader has recently refused attempts.
    refusing_machines: BTreeSet<&'a str>,
}

impl SchedulingPass<'_> {
    /// Whether a gang that is no more demanding could not be placed.
    fn is_known_unplaceable_gang(&self, spec: &JobSpec) -> bool {
        self.unplaceable.iter().any(|failed| {
            failed.kind == JobKind::Gang
                && failed.task_count <= spec.task_count
                && placement::is_at_least_as_demanding(spec, failed)
        })
    }

    /// Whether a task that is no more demanding could not be placed.
    fn is_known_unplaceable_task(&self, spec: &JobSpec) -> bool {
        self.unplaceable
            .iter()
            .any(|failed| failed.kind != JobKind::Gang && placement::is_at_least_as_demanding(spec, failed))
    }
}

/// A job with tasks to place.
struct Candidate<'a> {
    id: &'a str,
    job: &'a Job,
    /// How long it has been ready to start.
    age: Micros,
    /// What its team's quota still allows it.
    allowance: Resources,
    /// Its attempts in each zone.
    zone_counts: ZoneCounts,
    /// Tasks with an old attempt that may still be running.
    tasks_with_alive_attempts: BTreeSet<u32>,
    /// Machines that the job must not, or should not, be placed on.
    excluded: BTreeSet<&'a str>,
    quarantined: bool,
    /// Whether the job is kept off machines on which resources are being freed for a guarantee. This holds
    /// for borrowing jobs. A failure to place such a job says nothing about other work.
    avoids_reclaimed_machines: bool,
}

impl Candidate<'_> {
    fn can_use(&self, machine: &MachineStatus, reclaimed_for_guarantees: &BTreeSet<String>) -> bool {
        let is_excluded = self.excluded.contains(machine.name.as_str());
        let is_being_reclaimed =
            self.avoids_reclaimed_machines && reclaimed_for_guarantees.contains(&machine.name);
        !is_excluded && !is_being_reclaimed
    }

    /// Whether a failure to place it implies that work that is at least as demanding cannot be placed either.
    fn is_representative(&self) -> bool {
        self.excluded.is_empty() && !self.job.spec.spread && !self.avoids_reclaimed_machines
    }
}

/// A task to start, and its placement target.
struct PlannedStart {
    index: u32,
    target: usize,
}

/// The decisions of a pass about one job.
#[derive(Default)]
struct JobPlan {
    starts: Vec<PlannedStart>,
    /// Number of tasks that could not be placed.
    unplaced: u32,
    reserved_machines: Vec<String>,
    reservations: Vec<Reservation>,
}

impl JobShard {
    /// Places tasks, advances gangs, and registers the demand that could not be placed. Does nothing before
    /// the records are loaded.
    pub fn run_scheduling_pass(
        &mut self,
        now: Micros,
        wall: Micros,
        membership: &Membership,
        quota: &QuotaLedger,
    ) {
        if !self.loaded {
            return;
        }
        self.wall_clock = wall;
        self.older_epochs_stopped_at = membership.older_leaders_stopped_at();
        self.collect_ends(now);
        self.refresh_quota_tiers(now, quota);
        self.advance_gangs(now);
        let since = *self.loaded_at.get_or_insert(now);
        if !self.autoscaler_reservations.received && now.since(since) < AUTOSCALER_WAIT {
            return;
        }
        let views = std::mem::take(&mut self.views);
        let mut pass = self.begin_pass(now, wall, membership, quota, &views);
        for id in self.queue_order() {
            self.schedule_job(&mut pass, &id);
        }
        let shortfalls = std::mem::take(&mut pass.shortfalls);
        self.reclaim(now, &pass.targets, shortfalls);
        self.count_unresolved_demand(&mut pass);
        drop(pass);
        self.views = views;
    }

    /// Determines the placement targets, and clears the results of the last pass.
    fn begin_pass<'a>(
        &mut self,
        now: Micros,
        wall: Micros,
        membership: &'a Membership,
        quota: &'a QuotaLedger,
        views: &'a [MachineView],
    ) -> SchedulingPass<'a> {
        let mut targets = self.placement_targets(now, membership, views);
        self.loans.withhold_reserved(&mut targets);
        self.reserve_headroom_for_guarantees(&mut targets);
        self.demands.clear();
        self.reservations.clear();
        let reservation_plan = self.begin_reservation_plan(now);
        let reclaimed_for_guarantees = self.machines_reclaimed_for_guarantees(now);
        let leaders_to_avoid = self.placement_refusals.leaders_to_avoid(now, membership);
        let refusing_machines =
            leaders_to_avoid.iter().filter_map(|&leader| views[leader].machines(membership.epoch));
        self.recent_shapes.retain(|(_, seen_at)| now.since(*seen_at) < SHAPE_RETENTION);
        SchedulingPass {
            now,
            wall,
            membership,
            quota,
            targets,
            machine_count: views
                .iter()
                .filter_map(|view| view.machines(membership.epoch))
                .map(BTreeMap::len)
                .sum(),
            unplaceable: Vec::new(),
            remaining_starts: MAX_STARTS_PER_PASS,
            shortfalls: Vec::new(),
            reclaim_delay: reclaim_delay(quota),
            reservation_plan,
            reclaimed_for_guarantees,
            refusing_machines: refusing_machines.flat_map(BTreeMap::keys).map(String::as_str).collect(),
        }
    }

    /// Places as many tasks of one job as possible.
    fn schedule_job(&mut self, pass: &mut SchedulingPass, id: &str) {
        if !self.has_tasks_to_place(pass.now, id) {
            return;
        }
        self.remember_shape_of(pass, id);
        let Some(candidate) = self.candidate(pass, id) else { return };
        let plan = match candidate.job.spec.kind {
            JobKind::Gang => self.plan_gang(pass, &candidate),
            JobKind::Array | JobKind::Service => Some(self.plan_tasks(pass, &candidate)),
        };
        let Some(plan) = plan else { return };
        // A loan is available sooner than a machine that has to boot: no machine is rented for replicas that
        // are claimed, or about to be.
        let uncovered = plan.unplaced.saturating_sub(self.loans.replicas_covered_by_loans(pass.now, id));
        if uncovered > 0 {
            let spec = &candidate.job.spec;
            let max_queue_time =
                self.max_queue_time(candidate.job, pass.quota.has_guarantee(&spec.team), candidate.age);
            let demand = self.demand_of(spec, uncovered, max_queue_time);
            self.demands.push(demand);
        }
        self.reservations.extend(plan.reservations);
        if let Some(job) = self.jobs.get_mut(id) {
            job.reserved_machines = plan.reserved_machines;
        }
        self.start_tasks(pass, id, plan.starts);
    }

    /// Whether a job may start tasks now, and has tasks that are neither completed nor assigned.
    fn has_tasks_to_place(&self, now: Micros, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        // Guards against a start before all dependencies of the job are done, however the job got into the
        // queue.
        if job.is_waiting() {
            return false;
        }
        // Most jobs have all their tasks assigned; this check is all that they cost.
        let placed = job.done.len() as usize + job.assignments.len();
        let is_paused = now < job.not_before || self.failures.awaits_probe(now, id);
        job.has_known_starts() && !is_paused && placed < job.spec.task_count as usize
    }

    fn remember_shape_of(&mut self, pass: &SchedulingPass, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let max_queue_time = self.max_queue_time(job, pass.quota.has_guarantee(&spec.team), Micros(0));
        self.remember_shape(pass.now, &spec, max_queue_time);
    }

    /// Collects what determines where a job's tasks may be placed.
    fn candidate<'a>(&'a self, pass: &SchedulingPass, id: &'a str) -> Option<Candidate<'a>> {
        let job = self.jobs.get(id)?;
        let usable_quota = pass.quota.usable(&job.spec.team, id);
        let mut zone_counts = ZoneCounts::new();
        for assignment in job.assignments.values() {
            *zone_counts.entry(assignment.zone.clone()).or_default() += 1;
        }
        let mut tasks_with_alive_attempts = BTreeSet::new();
        for (key, start) in self.retired_starts.alive_attempts_of(id) {
            *zone_counts.entry(start.zone.clone()).or_default() += 1;
            tasks_with_alive_attempts.insert(key.index);
        }
        // A machine that still has an old attempt of the job would refuse the task.
        let open =
            self.retired_starts.blocking_attempts_of(id).filter(|(key, _)| !job.done.contains(key.index));
        let mut excluded: BTreeSet<&str> = open.map(|(key, _)| key.machine.as_str()).collect();
        excluded.append(&mut self.failures.machines_avoided_by(pass.now, id));
        excluded.extend(self.loans.machines_being_vacated_by(id));
        Some(Candidate {
            id,
            job,
            age: pass.wall.since(job.ready_wall()),
            allowance: Resources { memory: i64::MAX / 4, ..usable_quota - self.resources_in_use(id, job) },
            zone_counts,
            tasks_with_alive_attempts,
            excluded,
            quarantined: self.failures.is_job_quarantined(id),
            avoids_reclaimed_machines: job.quota_tier == QuotaTier::Beyond
                && !pass.reclaimed_for_guarantees.is_empty()
                && !self.is_overdue_to_begin(job),
        })
    }

    /// Places all members of a gang, or reserves machines for it. None if the gang is not to be placed now.
    fn plan_gang(&self, pass: &mut SchedulingPass, candidate: &Candidate) -> Option<JobPlan> {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        if job.gang.is_some()
            || !job.assignments.is_empty()
            || !candidate.tasks_with_alive_attempts.is_empty()
        {
            return None;
        }
        if candidate.allowance.max_count_of(spec.resources_per_task) < i64::from(spec.task_count) {
            return None;
        }
        let known_unplaceable = pass.is_known_unplaceable_gang(spec);
        let granted = self.loans.grant_reserved(&mut pass.targets, candidate.id, job);
        let found = if known_unplaceable && granted.is_empty() {
            None
        } else {
            placement::place_gang(spec, &pass.targets, &candidate.zone_counts, |machine| {
                candidate.can_use(machine, &pass.reclaimed_for_guarantees)
            })
        };
        Loans::withdraw_unused(
            &mut pass.targets,
            &granted,
            spec.resources_per_task,
            found.as_deref().unwrap_or_default(),
        );
        if let Some(found) = found {
            for &target in &found {
                pass.targets[target].take(spec.resources_per_task);
            }
            let starts = found.into_iter().zip(0..).map(|(target, index)| PlannedStart { index, target });
            return Some(JobPlan { starts: starts.collect(), ..JobPlan::default() });
        }
        // A probe only uses resources that are free; none are freed, reserved or rented for it.
        if candidate.quarantined {
            return None;
        }
        if !known_unplaceable && candidate.is_representative() {
            pass.unplaceable.push(spec.clone());
        }
        let (reserved_machines, reservations) = self.reserve_machines_for(pass, job, candidate.age);
        Some(JobPlan { starts: Vec::new(), unplaced: spec.task_count, reserved_machines, reservations })
    }

    /// Places as many tasks of an array or a service as its quota allows.
    fn plan_tasks(&self, pass: &mut SchedulingPass, candidate: &Candidate) -> JobPlan {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        let mut allowed =
            candidate.allowance.max_count_of(spec.resources_per_task).clamp(0, i64::from(u32::MAX)) as usize;
        // A job that fails on every machine is probed with one task at a time.
        if candidate.quarantined {
            allowed = usize::from(job.assignments.is_empty() && allowed > 0);
        }
        let max_starts =
            if self.is_overdue_to_begin(job) { allowed.min(MAX_OVERDUE_ARRAY_STARTS) } else { allowed };
        let next_tasks: Vec<u32> = job
            .done
            .gaps(spec.task_count)
            .filter(|index| {
                !job.assignments.contains_key(index) && !candidate.tasks_with_alive_attempts.contains(index)
            })
            .take(max_starts.min(pass.remaining_starts))
            .collect();
        let known_unplaceable = pass.is_known_unplaceable_task(spec);
        // Resources reserved for the job are used first, since otherwise they would have been reserved, or
        // preempted, in vain.
        let granted = self.loans.grant_reserved(&mut pass.targets, candidate.id, job);
        let found = if (known_unplaceable && granted.is_empty()) || next_tasks.is_empty() {
            Vec::new()
        } else {
            place_on_granted_first(pass, candidate, &granted, next_tasks.len())
        };
        Loans::withdraw_unused(&mut pass.targets, &granted, spec.resources_per_task, &found);
        let mut unplaced = 0;
        if found.len() < next_tasks.len() {
            // Another controller may have reported a task as done whose attempt here still counts as
            // assigned.
            let left =
                (spec.task_count as usize).saturating_sub(job.done.len() as usize + job.assignments.len());
            unplaced = left.saturating_sub(found.len()).min(allowed) as u32;
            if !known_unplaceable && candidate.is_representative() && !spec.one_zone {
                pass.unplaceable.push(spec.clone());
            }
        }
        pass.remaining_starts -= found.len();
        self.note_shortfall(pass, candidate, unplaced);
        let starts = next_tasks.into_iter().zip(found).map(|(index, target)| PlannedStart { index, target });
        JobPlan { starts: starts.collect(), unplaced, ..JobPlan::default() }
    }

    /// Registers a shortfall of work within its guarantee, for which borrowed resources are reclaimed.
    fn note_shortfall(&self, pass: &mut SchedulingPass, candidate: &Candidate, unplaced: u32) {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        // What a borrower lacks is claimed in its team's ledger first. If it were reclaimed here too, it
        // would be taken twice.
        let reclaims = job.quota_tier == QuotaTier::Within
            && candidate.age >= pass.reclaim_delay
            && !self.can_borrow(spec);
        if unplaced > 0 && !candidate.quarantined && reclaims {
            pass.shortfalls.push(Shortfall { spec: spec.clone(), count: unplaced });
        }
    }

    /// Assigns tasks to their targets. The machines' leaders receive the assignments with the next message.
    fn start_tasks(&mut self, pass: &SchedulingPass, id: &str, starts: Vec<PlannedStart>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // A gang without targets has not started: it must keep requesting resources.
        if starts.is_empty() {
            return;
        }
        let gang = job.spec.kind == JobKind::Gang;
        if gang {
            job.gang = Some(GangState::Accepting(pass.now));
            job.start_count += 1;
        }
        let mut assigned = Vec::new();
        for PlannedStart { index, target } in starts {
            if !gang {
                job.start_count += 1;
            }
            let machine = pass.targets[target].machine;
            let assignment = Assignment {
                machine: machine.name.clone(),
                zone: machine.zone.clone(),
                // The epoch in the upper bits makes attempt numbers unique across leaders without a stored
                // counter.
                attempt: (pass.membership.epoch << 24) + job.start_count,
                action: if gang { DesiredAction::Hold } else { DesiredAction::Run },
                first_revision: UNSENT,
                phase: None,
                phase_since: pass.now,
                adopted: false,
            };
            let attempt = assignment.attempt;
            tracing::debug!(job = %id, task = index, machine = %machine.name, attempt, "task placed");
            self.delivery.mark_changed(&machine.name, id, index, attempt);
            assigned.push((machine.name.as_str(), index));
            job.assignments.insert(index, assignment);
        }
        for (machine, index) in assigned {
            self.index_assignment(machine, id, index);
        }
    }
}

/// Places up to `count` tasks, first on machines with resources that are reserved for the job.
fn place_on_granted_first(
    pass: &mut SchedulingPass,
    candidate: &Candidate,
    granted: &[GrantedResources],
    count: usize,
) -> Vec<usize> {
    let spec = &candidate.job.spec;
    let SchedulingPass { targets, reclaimed_for_guarantees, refusing_machines, .. } = pass;
    let mut zone_counts = candidate.zone_counts.clone();
    let usable = |machine: &MachineStatus| {
        candidate.can_use(machine, reclaimed_for_guarantees)
            && !refusing_machines.contains(machine.name.as_str())
    };
    let mut found = Vec::new();
    if !granted.is_empty() {
        let granted_machines: BTreeSet<String> =
            granted.iter().map(|granted| targets[granted.target].machine.name.clone()).collect();
        let first = |machine: &MachineStatus| usable(machine) && granted_machines.contains(&machine.name);
        found = placement::place_tasks(spec, targets, &mut zone_counts, count, first);
    }
    let rest = count - found.len();
    found.extend(placement::place_tasks(spec, targets, &mut zone_counts, rest, usable));
    found
}
