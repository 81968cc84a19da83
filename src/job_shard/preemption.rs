//! Room that has to be made: tasks preempted for waiting work, room left free for guarantees, borrowed room reclaimed, and
//! tasks that save before the cloud takes their machine.

use super::JobShard;
use super::gang::GangState;
use super::job::Job;
use crate::membership::Membership;
use crate::peer::{Reservation, TaskPhase};
use crate::quota::QuotaLedger;
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::Place;
use crate::spec::{GUARANTEED_PRIORITY_BONUS, JobKind, JobSpec};
use crate::units::{Micros, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// One dimension of resources.
type Dimension = fn(Resources) -> i64;

/// The most machines on which room is reclaimed in one pass.
const RECLAIMED_MACHINES: usize = 60;
/// How long a machine on which room is reclaimed stays the first choice: borrowed work that never saves is stopped last.
const RECLAIM_TIME: Micros = Micros::from_millis(35_000);
/// How often it is decided anew which jobs lie within their team's guarantee.
const TIER_REFRESH_EVERY: Micros = Micros::from_millis(500);
/// How long a machine may go unnamed before a request for it counts as new.
const REQUEST_GAP: Micros = Micros::from_millis(3_000);
/// Pause between two preemptions on a machine: its status must have caught up with the first.
const PREEMPTION_PAUSE: Micros = Micros::from_millis(1_500);
/// How long work within its guarantee waits before room is reclaimed where all teams have guarantees.
const RECLAIM_DELAY: Micros = Micros::from_millis(5_000);

/// Since when room is requested on which machine.
#[derive(Debug, Default)]
pub(super) struct PreemptionRequests {
    next_tier_refresh: Micros,
    /// Machines on which the last pass reclaimed room.
    reclaimed: Vec<String>,
    /// Requests of work within a guarantee, by machine.
    standing: BTreeMap<String, StandingRequest>,
}

/// A request that is repeated until the room is there.
#[derive(Clone, Copy, Debug)]
struct StandingRequest {
    since: Micros,
    last_named: Micros,
}

impl PreemptionRequests {
    /// Notes the requests of this pass.
    fn note(&mut self, now: Micros, requests: &[Reservation]) {
        self.standing.retain(|_, request| now.since(request.last_named) < REQUEST_GAP);
        for request in requests.iter().filter(|request| request.priority >= GUARANTEED_PRIORITY_BONUS) {
            let new = StandingRequest { since: now, last_named: now };
            self.standing.entry(request.machine.clone()).or_insert(new).last_named = now;
        }
    }

    /// How long work within a guarantee has requested room on a machine.
    fn age(&self, now: Micros, machine: &str) -> Micros {
        self.standing.get(machine).map_or(Micros(0), |request| now.since(request.since))
    }
}

/// Work within a guarantee that finds no room.
pub(super) struct Shortfall {
    pub(super) spec: JobSpec,
    pub(super) count: u32,
}

/// How long work within a guarantee waits before borrowed room is reclaimed for it: not at all where some work has no
/// guarantee, else until what ends by itself would have made room.
pub(super) fn reclaim_delay(quota: &QuotaLedger) -> Micros {
    let all_guaranteed = quota.team_names().iter().all(|team| quota.has_guarantee(team));
    if all_guaranteed { RECLAIM_DELAY } else { Micros(0) }
}

/// Room to keep free for guarantees that add up to `all`, while `used` is in use (thousandths of a
/// processor or of a GPU): where little runs, little, and nothing where nothing runs.
pub fn headroom(all: i64, used: i64) -> i64 {
    (all / 5).min(used / 4)
}

impl JobShard {
    /// Decides which of our jobs lie within their team's guarantee. Machines' leaders hear of a change by the priority
    /// that the job's tasks are shown with.
    pub(super) fn refresh_quota_tiers(&mut self, now: Micros, quota: &QuotaLedger) {
        if self.guarantees.is_empty() {
            return;
        }
        let all = now >= self.preemption_requests.next_tier_refresh;
        if all {
            self.preemption_requests.next_tier_refresh = now + TIER_REFRESH_EVERY;
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
            let shown_before = tier::effective_priority(job.spec.priority, job.quota_tier);
            job.quota_tier = quota.tier_of(&job.spec.team, id, job.accepted_wall, need);
            if shown_before != tier::effective_priority(job.spec.priority, job.quota_tier) {
                for (&index, assignment) in &job.assignments {
                    self.delivery.mark_changed(&assignment.machine, id, index, assignment.attempt);
                }
            }
        }
    }

    /// Machines on which room is being made for work within a guarantee: what is borrowed is not placed there, or it
    /// would take the room that it was stopped for.
    pub(super) fn promised_machines(&self, now: Micros) -> BTreeSet<String> {
        let requested = self
            .announced_reservations(now)
            .filter(|request| request.must_preempt && request.priority >= GUARANTEED_PRIORITY_BONUS)
            .map(|request| &request.machine);
        requested.chain(&self.preemption_requests.reclaimed).cloned().collect()
    }

    /// Stops what has to make room; called after each scheduling pass. Does nothing before records are loaded.
    pub fn preempt_tasks(&mut self, now: Micros, membership: &Membership) {
        if self.loaded {
            self.save_before_loss(now, membership);
            self.preempt_for_requests(now, membership);
        }
    }

    /// Stops our tasks of lower priority where waiting work needs the room.
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

    /// Stops tasks on one machine, those that have run the shortest first, and no more than the machine's own room falls
    /// short.
    fn preempt_on_machine(&mut self, now: Micros, membership: &Membership, request: &Reservation) {
        let Some(machine) = self.machine(&request.machine, membership) else { return };
        // What others are already stopping counts as free.
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

    /// Our tasks on a machine that may be stopped for a request, the latest to change phase first.
    fn preemptible_tasks(&self, now: Micros, request: &Reservation) -> Vec<(Micros, String, u32)> {
        let age = self.preemption_requests.age(now, &request.machine);
        let mut tasks: Vec<(Micros, String, u32)> = Vec::new();
        for (id, index) in self.assigned_by_machine.get(&request.machine).into_iter().flatten() {
            let Some(job) = self.jobs.get(id) else { continue };
            let Some(assignment) = job.assignments.get(index) else { continue };
            // Where teams have guarantees the fleet is kept large, and waiting for a machine costs
            // less than what is lost by stopping tasks that never save: of what has one, only borrowed
            // work is stopped, and not at once.
            if !assignment.is_stopping()
                && tier::may_preempt(job.spec.priority, job.quota_tier, job.can_save(), request.priority, age)
            {
                tasks.push((assignment.phase_since, id.clone(), *index));
            }
        }
        tasks.sort_by(|a, b| b.cmp(a));
        tasks
    }

    /// Leaves a part of the ordinary machines, the emptiest, to work with a guarantee: that is promised
    /// a start at once, and what others run may go on for long.
    pub(super) fn leave_headroom(&self, places: &mut [Place]) {
        let competes = |job: &Job| {
            job.spec.priority < GUARANTEED_PRIORITY_BONUS
                && !job.is_waiting()
                && (job.assignments.len() as u32) < job.unfinished_tasks()
        };
        if self.guarantees.is_empty() || !self.jobs.values().any(competes) {
            return;
        }
        // Processors of machines with GPUs are left to work that needs those, unless there are no others.
        let has_plain = places.iter().any(|place| !has_gpus(place));
        let dimensions: [(Dimension, bool); 2] = [(|room| room.cpus, !has_plain), (|room| room.gpus, true)];
        for (dimension, gpus) in dimensions {
            let guaranteed: i64 = self.guarantees.values().map(|room| dimension(*room)).sum();
            reserve_headroom(places, dimension, gpus, guaranteed);
        }
    }

    /// Requests room that is used beyond guarantees, where work within one finds none.
    pub(super) fn reclaim(&mut self, now: Micros, places: &[Place], shortfalls: Vec<Shortfall>) {
        // Room that was requested takes a heartbeat or two to come free. Without a memory of that, each
        // pass would empty other machines.
        self.reclaim_since.retain(|_, since| now.since(*since) < RECLAIM_TIME);
        self.preemption_requests.reclaimed.clear();
        let mut used: BTreeSet<usize> = BTreeSet::new();
        for shortfall in shortfalls {
            let mut left = i64::from(shortfall.count);
            for i in self.reclaimable_places(places, &used, &shortfall.spec) {
                if left <= 0 {
                    break;
                }
                if used.len() == RECLAIMED_MACHINES {
                    return;
                }
                let place = &places[i];
                let tasks = place
                    .free_for(GUARANTEED_PRIORITY_BONUS)
                    .max_count_of(shortfall.spec.resources_per_task)
                    .min(left);
                if tasks <= 0 {
                    continue;
                }
                used.insert(i);
                left -= tasks;
                let machine = place.machine.name.clone();
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

    /// Places where room may be reclaimed: those that are being emptied already first, then where most can be had of what
    /// the work needs most.
    fn reclaimable_places(&self, places: &[Place], used: &BTreeSet<usize>, spec: &JobSpec) -> Vec<usize> {
        let dimension =
            |room: Resources| if spec.resources_per_task.gpus > 0 { room.gpus } else { room.cpus };
        let mut usable: Vec<(bool, i64, usize)> = places
            .iter()
            .enumerate()
            .filter(|(i, place)| !used.contains(i) && place.is_allowed(spec))
            .map(|(i, place)| {
                let is_new = !self.reclaim_since.contains_key(&place.machine.name);
                (is_new, dimension(place.free) - dimension(place.free_for(GUARANTEED_PRIORITY_BONUS)), i)
            })
            .filter(|(is_new, gain, _)| !is_new || *gain < 0)
            .collect();
        usable.sort_unstable();
        usable.into_iter().map(|(.., i)| i).collect()
    }

    /// Stops tasks that can save on machines that the cloud is about to take, so that their progress
    /// is not lost. Tasks that never save may as well go on: some end in time.
    fn save_before_loss(&mut self, now: Micros, membership: &Membership) {
        let noticed: Vec<(String, Micros)> = self
            .machines(membership.epoch)
            .filter_map(|machine| Some((machine.name.clone(), machine.termination_at?.since(now))))
            .collect();
        for (machine, left) in noticed {
            let tasks = self.assigned_by_machine.get(&machine).cloned().unwrap_or_default();
            for (id, index) in tasks {
                self.save_task(&machine, &id, index, left);
            }
        }
    }

    /// Has one task save and stop, with the rest of its gang, if it can in the time left.
    fn save_task(&mut self, machine: &str, id: &str, index: u32, left: Micros) {
        let Some(job) = self.jobs.get(id) else { return };
        let save = job.spec.checkpoint_duration;
        if !job.can_save() || left < save {
            return;
        }
        if job.spec.kind == JobKind::Gang {
            if job.gang != Some(GangState::Ending) {
                tracing::info!(job = id, machine, reason = "notice", "gang saves and stops");
                self.stop_gang(id, save);
            }
        } else if let Some(assignment) = job.assignments.get(&index)
            && assignment.phase == Some(TaskPhase::Running)
            && !assignment.is_stopping()
        {
            tracing::info!(job = id, task = index, machine, reason = "notice", "task saves and stops");
            self.stop_task(id, index, save);
        }
    }
}

fn has_gpus(place: &Place) -> bool {
    place.machine.total.gpus > 0
}

/// Leaves the emptiest ordinary machines, with GPUs or without, to work with a guarantee until the headroom for
/// `guaranteed` is covered.
fn reserve_headroom(places: &mut [Place], dimension: Dimension, gpus: bool, guaranteed: i64) {
    let used = places.iter().filter(|place| has_gpus(place) == gpus);
    let used: i64 = used.map(|place| dimension(place.machine.total) - dimension(place.free)).sum();
    let mut lacking = headroom(guaranteed, used);
    let mut ordinary: Vec<usize> =
        (0..places.len()).filter(|&i| !places[i].machine.spot && has_gpus(&places[i]) == gpus).collect();
    ordinary.sort_by_key(|&i| (std::cmp::Reverse(dimension(places[i].free)), &places[i].machine.name));
    for i in ordinary {
        if lacking <= 0 {
            break;
        }
        lacking -= dimension(places[i].free).max(0);
        places[i].reserved_for = places[i].reserved_for.max(Some(GUARANTEED_PRIORITY_BONUS));
    }
}
