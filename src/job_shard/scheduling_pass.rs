//! A scheduling pass: which waiting tasks start where, and what is done about those that find no room.

use super::JobShard;
use super::assignments::{Assignment, UNSENT};
use super::gang::GangState;
use super::gpu_lending::{LentRoom, Loans};
use super::job::Job;
use super::preemption::{Shortfall, reclaim_delay};
use super::reservations::{FIRST_LOT, ReservationPlan};
use crate::machine_view::MachineView;
use crate::membership::Membership;
use crate::peer::{DesiredAction, MachineStatus, Reservation};
use crate::quota::QuotaLedger;
use crate::quota::tier::QuotaTier;
use crate::scheduler::placement::{self, Place, ZoneCounts};
use crate::spec::{JobKind, JobSpec};
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Starts in one scheduling pass, which bounds the time a pass takes.
const STARTS_PER_PASS: usize = 400;
/// How long a new leader waits for the autoscaler's reservations before it places anything.
const AUTOSCALER_WAIT: Micros = Micros::from_millis(3_000);
/// How long the shape of a job is remembered.
const SHAPE_MEMORY: Micros = Micros::from_millis(300_000);

/// What a pass works with, and what it has decided so far.
pub(super) struct Pass<'a> {
    pub(super) now: Micros,
    pub(super) wall: Micros,
    pub(super) membership: &'a Membership,
    pub(super) quota: &'a QuotaLedger,
    /// Machines that take tasks, and the room that is left on each.
    pub(super) places: Vec<Place<'a>>,
    /// All machines that are known, also those that take no tasks.
    pub(super) machine_count: usize,
    /// Jobs that found no room: nothing as large is looked for again.
    exhausted: Vec<JobSpec>,
    starts_left: usize,
    shortfalls: Vec<Shortfall>,
    /// How long work within its guarantee waits before borrowed room is reclaimed for it.
    reclaim_delay: Micros,
    pub(super) reservation_plan: ReservationPlan,
    /// Machines on which room is being made for work within a guarantee.
    promised: BTreeSet<String>,
    /// Machines whose leader has refused starts of late.
    refusing: BTreeSet<&'a str>,
}

impl Pass<'_> {
    /// Whether a gang as easy to place has found no room.
    fn is_exhausted_for_gang(&self, spec: &JobSpec) -> bool {
        self.exhausted.iter().any(|failed| {
            failed.kind == JobKind::Gang
                && failed.task_count <= spec.task_count
                && placement::is_no_easier(spec, failed)
        })
    }

    /// Whether a task as easy to place has found no room.
    fn is_exhausted_for_task(&self, spec: &JobSpec) -> bool {
        self.exhausted
            .iter()
            .any(|failed| failed.kind != JobKind::Gang && placement::is_no_easier(spec, failed))
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
    /// Its starts in each zone.
    zone_counts: ZoneCounts,
    /// Tasks with an old start that may still run.
    retiring: BTreeSet<u32>,
    /// Machines that it must not, or had better not, be placed on.
    excluded: BTreeSet<&'a str>,
    quarantined: bool,
    /// What is borrowed keeps away from machines where room is being made for a guarantee; that it finds none
    /// says nothing about other work.
    avoids_promised: bool,
}

impl Candidate<'_> {
    fn may_use(&self, machine: &MachineStatus, promised: &BTreeSet<String>) -> bool {
        let is_excluded = self.excluded.contains(machine.name.as_str());
        let is_promised = self.avoids_promised && promised.contains(&machine.name);
        !is_excluded && !is_promised
    }

    /// Whether its finding no room means that work no easier to place finds none either.
    fn is_representative(&self) -> bool {
        self.excluded.is_empty() && !self.job.spec.spread && !self.avoids_promised
    }
}

/// A task that starts, and the place where it does.
struct PlannedStart {
    index: u32,
    place: usize,
}

/// What a pass decides about one job.
#[derive(Default)]
struct JobPlan {
    starts: Vec<PlannedStart>,
    /// Tasks that found no room.
    unplaced: u32,
    reserved_machines: Vec<String>,
    reservations: Vec<Reservation>,
}

impl JobShard {
    /// Places what can be placed, moves gangs on, and notes what finds no room. Does nothing before records are loaded.
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
        self.older_epochs_silent_at = membership.older_leaders_stopped_at();
        self.note_ends(now);
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
        self.reclaim(now, &pass.places, shortfalls);
        self.count_unresolved_demand(&mut pass);
        drop(pass);
        self.views = views;
    }

    /// Lists the places, and forgets what the last pass found.
    fn begin_pass<'a>(
        &mut self,
        now: Micros,
        wall: Micros,
        membership: &'a Membership,
        quota: &'a QuotaLedger,
        views: &'a [MachineView],
    ) -> Pass<'a> {
        let mut places = self.places(now, membership, views);
        self.loans.hold_back(&mut places);
        self.leave_headroom(&mut places);
        self.demands.clear();
        self.reservations.clear();
        let reservation_plan = self.begin_reservations(now);
        let promised = self.promised_machines(now);
        let refusing = self.placement_refusals.refusing(now, membership);
        let refusing = refusing.iter().filter_map(|&leader| views[leader].machines(membership.epoch));
        self.recent_shapes.retain(|(_, seen_at)| now.since(*seen_at) < SHAPE_MEMORY);
        Pass {
            now,
            wall,
            membership,
            quota,
            places,
            machine_count: views
                .iter()
                .filter_map(|view| view.machines(membership.epoch))
                .map(BTreeMap::len)
                .sum(),
            exhausted: Vec::new(),
            starts_left: STARTS_PER_PASS,
            shortfalls: Vec::new(),
            reclaim_delay: reclaim_delay(quota),
            reservation_plan,
            promised,
            refusing: refusing.flat_map(BTreeMap::keys).map(String::as_str).collect(),
        }
    }

    /// Places what can be placed of one job.
    fn schedule_job(&mut self, pass: &mut Pass, id: &str) {
        if !self.has_tasks_to_place(pass.now, id) {
            return;
        }
        self.note_shape_of(pass, id);
        let Some(candidate) = self.candidate(pass, id) else { return };
        let plan = match candidate.job.spec.kind {
            JobKind::Gang => self.plan_gang(pass, &candidate),
            JobKind::Array | JobKind::Service => Some(self.plan_tasks(pass, &candidate)),
        };
        let Some(plan) = plan else { return };
        // A loan is sooner than a machine that has to boot: none is rented for what is claimed, or about to be.
        let lacking = plan.unplaced.saturating_sub(self.loans.covers(pass.now, id));
        if lacking > 0 {
            let spec = &candidate.job.spec;
            let horizon = self.horizon(candidate.job, pass.quota.has_guarantee(&spec.team), candidate.age);
            let demand = self.demand_of(spec, lacking, horizon);
            self.demands.push(demand);
        }
        self.reservations.extend(plan.reservations);
        if let Some(job) = self.jobs.get_mut(id) {
            job.reserved_machines = plan.reserved_machines;
        }
        self.start_tasks(pass, id, plan.starts);
    }

    /// Whether a job may start tasks now and has any that are neither completed nor assigned.
    fn has_tasks_to_place(&self, now: Micros, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        // Guards against a start before all that the job needs is done: whatever else may have
        // put it in the queue, nothing of it is placed.
        if job.is_waiting() {
            return false;
        }
        // Most jobs have all their tasks placed: they cost a look.
        let placed = job.done.len() as usize + job.assignments.len();
        let pauses = now < job.not_before || self.failures.awaits_probe(now, id);
        job.has_known_starts() && !pauses && placed < job.spec.task_count as usize
    }

    fn note_shape_of(&mut self, pass: &Pass, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let horizon = self.horizon(job, pass.quota.has_guarantee(&spec.team), Micros(0));
        self.note_shape(pass.now, &spec, horizon);
    }

    /// All that decides where a job's tasks may go.
    fn candidate<'a>(&'a self, pass: &Pass, id: &'a str) -> Option<Candidate<'a>> {
        let job = self.jobs.get(id)?;
        let claim = pass.quota.usable(&job.spec.team, id);
        let mut zone_counts = ZoneCounts::new();
        for assignment in job.assignments.values() {
            *zone_counts.entry(assignment.zone.clone()).or_default() += 1;
        }
        let mut retiring = BTreeSet::new();
        for (key, start) in self.retired_starts.alive_of(id) {
            *zone_counts.entry(start.zone.clone()).or_default() += 1;
            retiring.insert(key.index);
        }
        // A machine that still has an old start of the job would refuse the task.
        let open = self.retired_starts.open_of(id).filter(|(key, _)| !job.done.contains(key.index));
        let mut excluded: BTreeSet<&str> = open.map(|(key, _)| key.machine.as_str()).collect();
        excluded.append(&mut self.failures.machines_avoided_by(pass.now, id));
        excluded.extend(self.loans.machines_left_by(id));
        Some(Candidate {
            id,
            job,
            age: pass.wall.since(job.ready_wall()),
            allowance: Resources { memory: i64::MAX / 4, ..claim - self.resources_in_use(id, job) },
            zone_counts,
            retiring,
            excluded,
            quarantined: self.failures.is_job_quarantined(id),
            avoids_promised: job.quota_tier == QuotaTier::Beyond
                && !pass.promised.is_empty()
                && !self.is_overdue_to_begin(job),
        })
    }

    /// Places all members of a gang, or reserves machines for it. None if it is not to be looked at.
    fn plan_gang(&self, pass: &mut Pass, candidate: &Candidate) -> Option<JobPlan> {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        if job.gang.is_some() || !job.assignments.is_empty() || !candidate.retiring.is_empty() {
            return None;
        }
        if candidate.allowance.max_count_of(spec.resources_per_task) < i64::from(spec.task_count) {
            return None;
        }
        let hopeless = pass.is_exhausted_for_gang(spec);
        let lent = self.loans.lend(&mut pass.places, candidate.id, job);
        let found = if hopeless && lent.is_empty() {
            None
        } else {
            placement::place_gang(spec, &pass.places, &candidate.zone_counts, |machine| {
                candidate.may_use(machine, &pass.promised)
            })
        };
        Loans::take_back(
            &mut pass.places,
            &lent,
            spec.resources_per_task,
            found.as_deref().unwrap_or_default(),
        );
        if let Some(found) = found {
            for &place in &found {
                pass.places[place].take(spec.resources_per_task);
            }
            let starts = found.into_iter().zip(0..).map(|(place, index)| PlannedStart { index, place });
            return Some(JobPlan { starts: starts.collect(), ..JobPlan::default() });
        }
        // A probe takes room that is there; none is made, reserved or rented for it.
        if candidate.quarantined {
            return None;
        }
        if !hopeless && candidate.is_representative() {
            pass.exhausted.push(spec.clone());
        }
        let (reserved_machines, reservations) = self.reserve_for(pass, job, candidate.age);
        Some(JobPlan { starts: Vec::new(), unplaced: spec.task_count, reserved_machines, reservations })
    }

    /// Places as many tasks of an array or a service as its quota allows.
    fn plan_tasks(&self, pass: &mut Pass, candidate: &Candidate) -> JobPlan {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        let mut allowed =
            candidate.allowance.max_count_of(spec.resources_per_task).clamp(0, i64::from(u32::MAX)) as usize;
        // A job that fails everywhere is tried with one task at a time.
        if candidate.quarantined {
            allowed = usize::from(job.assignments.is_empty() && allowed > 0);
        }
        let lot = if self.is_overdue_to_begin(job) { allowed.min(FIRST_LOT) } else { allowed };
        let next: Vec<u32> = job
            .done
            .gaps(spec.task_count)
            .filter(|index| !job.assignments.contains_key(index) && !candidate.retiring.contains(index))
            .take(lot.min(pass.starts_left))
            .collect();
        let hopeless = pass.is_exhausted_for_task(spec);
        // Room that is kept for the job goes first, or it would have been kept, or taken, in vain.
        let lent = self.loans.lend(&mut pass.places, candidate.id, job);
        let found = if (hopeless && lent.is_empty()) || next.is_empty() {
            Vec::new()
        } else {
            place_on_lent_first(pass, candidate, &lent, next.len())
        };
        Loans::take_back(&mut pass.places, &lent, spec.resources_per_task, &found);
        let mut unplaced = 0;
        if found.len() < next.len() {
            // A task may be known to be done by another's word while its start still counts as placed.
            let left =
                (spec.task_count as usize).saturating_sub(job.done.len() as usize + job.assignments.len());
            unplaced = left.saturating_sub(found.len()).min(allowed) as u32;
            if !hopeless && candidate.is_representative() && !spec.one_zone {
                pass.exhausted.push(spec.clone());
            }
        }
        pass.starts_left -= found.len();
        self.note_shortfall(pass, candidate, unplaced);
        let starts = next.into_iter().zip(found).map(|(index, place)| PlannedStart { index, place });
        JobPlan { starts: starts.collect(), unplaced, ..JobPlan::default() }
    }

    /// Work within its guarantee that finds no room has borrowed room reclaimed.
    fn note_shortfall(&self, pass: &mut Pass, candidate: &Candidate, unplaced: u32) {
        let (job, spec) = (candidate.job, &candidate.job.spec);
        // What a borrower lacks is claimed in its team's ledger first; reclaimed here too, it would be taken twice.
        let reclaims = job.quota_tier == QuotaTier::Within
            && candidate.age >= pass.reclaim_delay
            && !self.may_borrow(spec);
        if unplaced > 0 && !candidate.quarantined && reclaims {
            pass.shortfalls.push(Shortfall { spec: spec.clone(), count: unplaced });
        }
    }

    /// Assigns tasks to their places; the machines' leaders hear of it with the next message.
    fn start_tasks(&mut self, pass: &Pass, id: &str, starts: Vec<PlannedStart>) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // A gang without places is not under way: it must go on asking for room.
        if starts.is_empty() {
            return;
        }
        let gang = job.spec.kind == JobKind::Gang;
        if gang {
            job.gang = Some(GangState::Holding(pass.now));
            job.start_count += 1;
        }
        let mut assigned = Vec::new();
        for PlannedStart { index, place } in starts {
            if !gang {
                job.start_count += 1;
            }
            let machine = pass.places[place].machine;
            let assignment = Assignment {
                machine: machine.name.clone(),
                zone: machine.zone.clone(),
                // The epoch in front makes attempts unique across leaders without a counter on record.
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

/// Places up to `count` tasks, on machines with room lent to the job first.
fn place_on_lent_first(
    pass: &mut Pass,
    candidate: &Candidate,
    lent: &[LentRoom],
    count: usize,
) -> Vec<usize> {
    let spec = &candidate.job.spec;
    let Pass { places, promised, refusing, .. } = pass;
    let mut zone_counts = candidate.zone_counts.clone();
    let usable = |machine: &MachineStatus| {
        candidate.may_use(machine, promised) && !refusing.contains(machine.name.as_str())
    };
    let mut found = Vec::new();
    if !lent.is_empty() {
        let with_lent: BTreeSet<String> =
            lent.iter().map(|lent| places[lent.place].machine.name.clone()).collect();
        let first = |machine: &MachineStatus| usable(machine) && with_lent.contains(&machine.name);
        found = placement::place_tasks(spec, places, &mut zone_counts, count, first);
    }
    let rest = count - found.len();
    found.extend(placement::place_tasks(spec, places, &mut zone_counts, rest, usable));
    found
}
