//! Freeing of resources: preemption for waiting work, headroom for guarantees, reclaiming of borrowed
//! resources, and checkpoints before the cloud terminates a machine.

use super::JobShard;
use super::gang::GangState;
use super::job::Job;
use crate::membership::Membership;
use crate::peer::{Reservation, TaskPhase};
use crate::quota::QuotaLedger;
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::PlacementTarget;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobKind, JobSpec};
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Selects one kind of resource.
type Dimension = fn(Resources) -> i64;

/// Maximum number of machines on which one pass reclaims resources.
const MAX_RECLAIMED_MACHINES: usize = 60;
/// How long a machine on which resources are reclaimed remains the first choice. Borrowed work without
/// checkpoints is stopped last.
const RECLAIM_PREFERENCE_TIME: Micros = Micros::from_millis(35_000);
/// How often the quota tiers of all jobs are recomputed.
const TIER_REFRESH_INTERVAL: Micros = Micros::from_millis(500);
/// How long a request for a machine may be absent before its next occurrence counts as new.
const MAX_REQUEST_GAP: Micros = Micros::from_millis(3_000);
/// Pause between two preemptions on a machine: its reported status must reflect the first one.
const PREEMPTION_PAUSE: Micros = Micros::from_millis(1_500);
/// How long work within its guarantee waits before resources are reclaimed, if all teams have guarantees.
const RECLAIM_DELAY: Micros = Micros::from_millis(5_000);

/// Since when resources are requested on which machine.
#[derive(Debug, Default)]
pub(super) struct PreemptionRequests {
    next_tier_refresh: Micros,
    /// Machines on which the last pass reclaimed resources.
    reclaimed: Vec<String>,
    /// By machine, requests of work within a guarantee.
    guaranteed_requests: BTreeMap<String, GuaranteedRequest>,
}

/// A request that is repeated until the resources are free.
#[derive(Clone, Copy, Debug)]
struct GuaranteedRequest {
    since: Micros,
    last_seen: Micros,
}

impl PreemptionRequests {
    /// Records the requests of this pass.
    fn note(&mut self, now: Micros, requests: &[Reservation]) {
        self.guaranteed_requests.retain(|_, request| now.since(request.last_seen) < MAX_REQUEST_GAP);
        for request in requests.iter().filter(|request| request.priority >= GUARANTEED_PRIORITY_BONUS) {
            let new = GuaranteedRequest { since: now, last_seen: now };
            self.guaranteed_requests.entry(request.machine.clone()).or_insert(new).last_seen = now;
        }
    }

    /// How long work within a guarantee has requested resources on a machine.
    fn age(&self, now: Micros, machine: &str) -> Micros {
        self.guaranteed_requests.get(machine).map_or(Micros(0), |request| now.since(request.since))
    }
}

/// Work within a guarantee that could not be placed.
pub(super) struct Shortfall {
    pub(super) spec: JobSpec,
    pub(super) count: u32,
}

/// How long work within a guarantee waits before borrowed resources are reclaimed for it. Zero if some team
/// has no guarantee; otherwise long enough for tasks that end by themselves to free resources.
pub(super) fn reclaim_delay(quota: &QuotaLedger) -> Micros {
    let all_guaranteed = quota.team_names().iter().all(|team| quota.has_guarantee(team));
    if all_guaranteed { RECLAIM_DELAY } else { Micros(0) }
}

/// The resources to keep free for guarantees that sum to `all` while `used` is in use, in thousandths of a
/// processor or of a GPU. Little is kept free where little runs, and nothing where nothing runs.
pub fn headroom(all: i64, used: i64) -> i64 {
    (all / 5).min(used / 4)
}

impl JobShard {
    /// Recomputes which jobs of this shard are within their team's guarantee. A change reaches the machine
    /// leaders as the effective priority of the job's tasks.
    pub(super) fn refresh_quota_tiers(&mut self, now: Micros, quota: &QuotaLedger) {
        if self.guarantees.is_empty() {
            return;
        }
        let all = now >= self.preemption_requests.next_tier_refresh;
        if all {
            self.preemption_requests.next_tier_refresh = now + TIER_REFRESH_INTERVAL;
        }
        for (id, job) in &mut self.jobs {
            if !(all || job.quota_tier == QuotaTier::Unknown) || !self.guarantees.contains_key(&job.spec.team)
            {
                continue;
            }
            let need = Resources {
                memory: 0,
                ..job.spec.resources_per_task.times(i64::from(job.unfinished_tasks()))
            };
            let previous_priority = tier::effective_priority(job.spec.priority, job.quota_tier);
            job.quota_tier = quota.tier_of(&job.spec.team, id, job.accepted_wall, need);
            if previous_priority != tier::effective_priority(job.spec.priority, job.quota_tier) {
                for (&index, assignment) in &job.assignments {
                    self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
                }
            }
        }
    }

    /// Machines on which resources are being freed for work within a guarantee. Borrowing work is not placed
    /// there, since it would take the resources that it was stopped for.
    pub(super) fn machines_reclaimed_for_guarantees(&self, now: Micros) -> BTreeSet<String> {
        let requested = self
            .announced_reservations(now)
            .filter(|request| request.must_preempt && request.priority >= GUARANTEED_PRIORITY_BONUS)
            .map(|request| &request.machine);
        requested.chain(&self.preemption_requests.reclaimed).cloned().collect()
    }

    /// Preempts tasks after a scheduling pass. Does nothing before the records are loaded.
    pub fn preempt_tasks(&mut self, now: Micros, membership: &Membership) {
        if self.loaded {
            self.checkpoint_before_termination(now, membership);
            self.preempt_for_requests(now, membership);
        }
    }

    /// Preempts lower-priority tasks of this shard where waiting work needs the resources.
    fn preempt_for_requests(&mut self, now: Micros, membership: &Membership) {
        let requests = self.announced_reservations(now).chain(&self.reservations);
        let requests: Vec<Reservation> = requests.filter(|request| request.must_preempt).cloned().collect();
        self.preemption_requests.note(now, &requests);
        for request in requests {
            let last = self.last_preemption.get(&request.machine);
            if last.is_none_or(|last| now.since(*last) >= PREEMPTION_PAUSE) {
                self.preempt_on_machine(now, membership, &request);
            }
        }
    }

    /// Preempts tasks on one machine, those that have run the shortest time first, and no more than the
    /// machine lacks.
    fn preempt_on_machine(&mut self, now: Micros, membership: &Membership, request: &Reservation) {
        let Some(machine) = self.machine(&request.machine, membership) else { return };
        // The resources of tasks that are already being stopped count as free.
        let mut free = machine.used_by_priority.iter().fold(machine.total, |free, (_, used)| free - *used);
        if free.can_hold(request.resources) {
            return;
        }
        self.last_preemption.insert(request.machine.clone(), now);
        for (_, id, index) in self.preemptible_tasks(now, request) {
            if free.can_hold(request.resources) {
                break;
            }
            let Some(job) = self.jobs.get(&id) else { continue };
            free = free + job.spec.resources_per_task;
            let (grace, gang) = (job.stop_grace(), job.spec.kind == JobKind::Gang);
            let priority = request.priority;
            tracing::debug!(job = %id, task = index, machine = %request.machine, priority, "task preempted");
            if gang {
                self.stop_gang(&id, grace);
            } else {
                self.stop_task(&id, index, grace);
            }
        }
    }

    /// Tasks of this shard on a machine that may be preempted for a request, the latest to change phase
    /// first.
    fn preemptible_tasks(&self, now: Micros, request: &Reservation) -> Vec<(Micros, String, u32)> {
        let age = self.preemption_requests.age(now, &request.machine);
        let mut tasks: Vec<(Micros, String, u32)> = Vec::new();
        for (id, index) in self.assigned_by_machine.get(&request.machine).into_iter().flatten() {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(assignment) = job.assignments.get(index) else { continue };
            // Where teams have guarantees the fleet is kept large, and waiting for a machine costs less than
            // losing the work of tasks without checkpoints. Of a team with a guarantee, only borrowing work
            // is therefore preempted, and not at once.
            if !assignment.is_stopping()
                && tier::may_preempt(
                    job.spec.priority,
                    job.quota_tier,
                    job.has_checkpoints(),
                    request.priority,
                    age,
                )
            {
                tasks.push((assignment.phase_since, id.clone(), *index));
            }
        }
        tasks.sort_by(|a, b| b.cmp(a));
        tasks
    }

    /// Reserves the emptiest part of the on-demand machines for work with a guarantee. Such work is promised
    /// an immediate start, and other tasks may run for long.
    pub(super) fn reserve_headroom_for_guarantees(&self, targets: &mut [PlacementTarget]) {
        let competes = |job: &Job| {
            job.spec.priority < GUARANTEED_PRIORITY_BONUS
                && !job.is_waiting()
                && (job.assignments.len() as u32) < job.unfinished_tasks()
        };
        if self.guarantees.is_empty() || !self.jobs.values().any(competes) {
            return;
        }
        // Processors of machines with GPUs are left to work that needs GPUs, unless there are no other
        // machines.
        let has_machines_without_gpus = targets.iter().any(|target| !has_gpus(target));
        let dimensions: [(Dimension, bool); 2] =
            [(|resources| resources.cpus, !has_machines_without_gpus), (|resources| resources.gpus, true)];
        for (dimension, gpus) in dimensions {
            let guaranteed: i64 = self.guarantees.values().map(|resources| dimension(*resources)).sum();
            reserve_headroom(targets, dimension, gpus, guaranteed);
        }
    }

    /// Requests resources used beyond guarantees for work within a guarantee that could not be placed.
    pub(super) fn reclaim(&mut self, now: Micros, targets: &[PlacementTarget], shortfalls: Vec<Shortfall>) {
        // Requested resources become free only after one or two heartbeats. Without a memory of the requests
        // each pass would empty other machines.
        self.reclaim_since.retain(|_, since| now.since(*since) < RECLAIM_PREFERENCE_TIME);
        self.preemption_requests.reclaimed.clear();
        let mut used: BTreeSet<usize> = BTreeSet::new();
        for shortfall in shortfalls {
            let mut left = i64::from(shortfall.count);
            for i in self.reclaimable_targets(targets, &used, &shortfall.spec) {
                if left <= 0 {
                    break;
                }
                if used.len() == MAX_RECLAIMED_MACHINES {
                    return;
                }
                let target = &targets[i];
                let tasks = target
                    .free_after_preemption(GUARANTEED_PRIORITY_BONUS)
                    .max_count_of(shortfall.spec.resources_per_task)
                    .min(left);
                if tasks <= 0 {
                    continue;
                }
                used.insert(i);
                left -= tasks;
                let machine = target.machine.name.clone();
                self.reclaim_since.entry(machine.clone()).or_insert(now);
                self.preemption_requests.reclaimed.push(machine.clone());
                self.reservations.push(Reservation {
                    machine,
                    priority: shortfall.spec.priority,
                    resources: shortfall.spec.resources_per_task.times(tasks),
                    must_preempt: true,
                });
            }
        }
    }

    /// Targets on which resources may be reclaimed: first those that are already being emptied, then those
    /// where the most can be freed of the resource that the work needs most.
    fn reclaimable_targets(
        &self,
        targets: &[PlacementTarget],
        used: &BTreeSet<usize>,
        spec: &JobSpec,
    ) -> Vec<usize> {
        let dimension = |resources: Resources| {
            if spec.resources_per_task.gpus > 0 { resources.gpus } else { resources.cpus }
        };
        let mut usable: Vec<(bool, i64, usize)> = targets
            .iter()
            .enumerate()
            .filter(|(i, target)| !used.contains(i) && target.is_allowed(spec))
            .map(|(i, target)| {
                let is_new = !self.reclaim_since.contains_key(&target.machine.name);
                (
                    is_new,
                    dimension(target.free)
                        - dimension(target.free_after_preemption(GUARANTEED_PRIORITY_BONUS)),
                    i,
                )
            })
            .filter(|(is_new, gain, _)| !is_new || *gain < 0)
            .collect();
        usable.sort_unstable();
        usable.into_iter().map(|(.., i)| i).collect()
    }

    /// Has tasks write a checkpoint and stop on machines that the cloud is about to terminate, so that their
    /// progress is not lost. Tasks without checkpoints keep running: some end in time.
    fn checkpoint_before_termination(&mut self, now: Micros, membership: &Membership) {
        let terminating: Vec<(String, Micros)> = self
            .machines(membership.epoch)
            .filter_map(|machine| Some((machine.name.clone(), machine.termination_at?.since(now))))
            .collect();
        for (machine, left) in terminating {
            let tasks = self.assigned_by_machine.get(&machine).cloned().unwrap_or_default();
            for (id, index) in tasks {
                self.checkpoint_and_stop_task(&machine, &id, index, left);
            }
        }
    }

    /// Has a task, with the rest of its gang, write a checkpoint and stop if the time left is sufficient.
    fn checkpoint_and_stop_task(&mut self, machine: &str, id: &str, index: u32, left: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let save = job.spec.checkpoint_duration;
        if !job.has_checkpoints() || left < save {
            return;
        }
        if job.spec.kind == JobKind::Gang {
            if job.gang != Some(GangState::Stopping) {
                tracing::info!(job = id, machine, reason = "notice", "gang checkpoints and stops");
                self.stop_gang(id, save);
            }
        } else if let Some(assignment) = job.assignments.get(&index)
            && assignment.phase == Some(TaskPhase::Running)
            && !assignment.is_stopping()
        {
            tracing::info!(job = id, task = index, machine, reason = "notice", "task checkpoints and stops");
            self.stop_task(id, index, save);
        }
    }
}

fn has_gpus(target: &PlacementTarget) -> bool {
    target.machine.total.gpus > 0
}

/// Reserves the emptiest on-demand machines, with or without GPUs, for work with a guarantee until the
/// headroom for `guaranteed` is covered.
fn reserve_headroom(targets: &mut [PlacementTarget], dimension: Dimension, gpus: bool, guaranteed: i64) {
    let used = targets.iter().filter(|target| has_gpus(target) == gpus);
    let used: i64 = used.map(|target| dimension(target.machine.total) - dimension(target.free)).sum();
    let mut missing = headroom(guaranteed, used);
    let mut on_demand: Vec<usize> =
        (0..targets.len()).filter(|&i| !targets[i].machine.spot && has_gpus(&targets[i]) == gpus).collect();
    on_demand.sort_by_key(|&i| (std::cmp::Reverse(dimension(targets[i].free)), &targets[i].machine.name));
    for i in on_demand {
        if missing <= 0 {
            break;
        }
        missing -= dimension(targets[i].free).max(0);
        targets[i].reserved_for = targets[i].reserved_for.max(Some(GUARANTEED_PRIORITY_BONUS));
    }
}
