//! The job shard: the state of the live jobs that this controller leads, namely their records, the placement
//! and termination of their tasks, gangs, dependencies and quota tiers, and the handover of all this when the
//! membership epoch changes.
//!
//! Throughout this module an *attempt* is one execution of a task on one machine, identified by job, task
//! index, attempt number and machine. Some type names call it a start.
//!
//! `JobShard` performs no I/O and reads no clock: the controller passes in every message and asks for the
//! next message, record write or request. A task is never started while an earlier attempt of it may still be
//! running.

pub use dependencies::{DependencyCounts, DependencyRead, Hold, declarations_in_record};
pub use job::Job;
pub use outcomes::JobOutcome;
pub use preemption::headroom;
pub use records::RecordWrite;
pub use stale_inputs::AttemptStatus;

mod assignments;
mod cancellation;
mod delivery;
mod demand;
pub(crate) mod dependencies;
mod epoch_adoption;
mod epoch_check;
mod failure_attribution;
mod gang;
mod gpu_lending;
mod handoff;
mod job;
mod outcomes;
mod peer_reservations;
mod placement_refusals;
mod placement_targets;
mod preemption;
mod queue_order;
mod quota_needs;
mod reconciliation;
mod records;
mod reservations;
mod retired_starts;
mod scheduling_pass;
mod stale_inputs;
mod start_replication;
mod unresolved_starts;

use self::cancellation::EndQueue;
use self::delivery::Delivery;
use self::dependencies::Dependents;
use self::failure_attribution::FailureAttribution;
use self::gpu_lending::Loans;
use self::outcomes::RememberedOutcomes;
use self::peer_reservations::PeerReservations;
use self::placement_refusals::PlacementRefusals;
use self::preemption::PreemptionRequests;
use self::reservations::AutoscalerReservations;
use self::retired_starts::RetiredStarts;
use self::start_replication::StartReplication;
use self::unresolved_starts::UnresolvedDemand;
use crate::config::settings::{Objective, Settings};
use crate::machine_view::{MachineSnapshot, MachineView};
use crate::membership::Membership;
use crate::peer::{Demand, InventoryState, Reservation, TaskPhase};
use crate::scheduler::run_times::RunTimes;
use crate::units::{Micros, Resources};
use hazelsaddle_failover::unresolved::{UnresolvedSetId, UnresolvedSets};
use std::collections::{BTreeMap, BTreeSet};

/// The state that a controller keeps as the leader of jobs.
pub struct JobShard {
    me: usize,
    /// Maximum size of a stored value, in bytes.
    value_bytes: usize,
    /// Live jobs.
    pub jobs: BTreeMap<String, Job>,
    outcomes: RememberedOutcomes,
    retired_starts: RetiredStarts,
    /// Tasks of live jobs that are assigned to each machine.
    assigned_by_machine: BTreeMap<String, BTreeSet<(String, u32)>>,
    /// By member index, the machines that the member leads.
    views: Vec<MachineView>,
    /// Machines whose leader has not yet confirmed their task list in this epoch: they may run unknown tasks.
    unconfirmed_machines: BTreeSet<String>,
    /// Sets of unconfirmed machines that jobs wait for. A job keeps its set across epochs.
    unresolved_sets: UnresolvedSets,
    /// The set that jobs loaded in this epoch wait for.
    set_of_epoch: Option<UnresolvedSetId>,
    /// Whether some set has become empty, so that the attempts of its jobs may now all be known.
    some_set_resolved: bool,
    start_replication: StartReplication,
    /// Jobs whose record was written after this epoch began and possibly in a newer one, with the time at
    /// which this controller read it.
    awaiting_epoch_check: BTreeMap<String, Micros>,
    delivery: Delivery,
    /// Whether the records have been read in this epoch.
    pub loaded: bool,
    /// Whether no other controller can still be answering as the leader of this controller's jobs.
    pub older_leaders_stopped: bool,
    /// Whether something has changed that may allow a task to be placed.
    pub replan: bool,
    end_queue: EndQueue,
    failures: FailureAttribution,
    dependents: Dependents,
    /// Whether every final record states the job's class. A merge needs the classes of the jobs upstream of
    /// it.
    class_in_end_records: bool,
    /// Demand that the last scheduling pass could not place.
    demands: Vec<Demand>,
    unresolved_demand: UnresolvedDemand,
    loans: Loans,
    /// How long a gang member may take to become ready.
    gang_wait: Micros,
    /// How long a machine's leader keeps answering the machine after the last message from the job's leader.
    leader_silence_limit: Micros,
    /// How long a job that follows a cancelled one may still be called queued: half of the time that users allow, since
    /// this controller may have learned of the cancellation late.
    orphan_grace: Micros,
    /// Time from which no controller of an older epoch can still be answering workers.
    older_epochs_stopped_at: Micros,
    objectives: Vec<Objective>,
    /// The guarantees of the teams that have one.
    guarantees: BTreeMap<String, Resources>,
    /// Machines reserved for waiting work of this shard.
    reservations: Vec<Reservation>,
    peer_reservations: PeerReservations,
    autoscaler_reservations: AutoscalerReservations,
    /// When tasks were last preempted on a machine.
    last_preemption: BTreeMap<String, Micros>,
    /// Machines on which borrowed resources are being reclaimed, and since when.
    reclaim_since: BTreeMap<String, Micros>,
    preemption_requests: PreemptionRequests,
    placement_refusals: PlacementRefusals,
    /// When the first scheduling pass was due.
    loaded_at: Option<Micros>,
    /// Resource shapes of recently seen jobs, and when each was last seen.
    recent_shapes: Vec<(Demand, Micros)>,
    /// Wall-clock time of the last scheduling pass.
    wall_clock: Micros,
    run_times: RunTimes,
}

impl JobShard {
    /// Creates a shard without jobs.
    pub fn new(settings: &Settings) -> JobShard {
        let members = settings.members.len();
        JobShard {
            me: settings.me,
            value_bytes: settings.value_bytes,
            jobs: BTreeMap::new(),
            outcomes: RememberedOutcomes::default(),
            retired_starts: RetiredStarts::default(),
            assigned_by_machine: BTreeMap::new(),
            views: (0..members).map(|_| MachineView::default()).collect(),
            unconfirmed_machines: BTreeSet::new(),
            unresolved_sets: UnresolvedSets::default(),
            set_of_epoch: None,
            some_set_resolved: false,
            start_replication: StartReplication::default(),
            awaiting_epoch_check: BTreeMap::new(),
            delivery: Delivery::new(members),
            loaded: false,
            older_leaders_stopped: true,
            replan: true,
            end_queue: EndQueue::default(),
            failures: FailureAttribution::default(),
            dependents: Dependents::default(),
            class_in_end_records: settings.operators.freshness.is_some(),
            demands: Vec::new(),
            unresolved_demand: UnresolvedDemand::default(),
            loans: Loans::new(settings.operators.loans.clone()),
            gang_wait: settings.gang_wait,
            leader_silence_limit: settings.reach,
            orphan_grace: Micros(settings.cancel.0 / 2),
            older_epochs_stopped_at: Micros(0),
            objectives: settings.objectives.clone(),
            guarantees: settings
                .teams
                .iter()
                .filter(|team| team.cpus > 0.0 || team.gpus > 0.0)
                .map(|team| (team.name.clone(), Resources::rounded_up(team.cpus, team.gpus, 0.0)))
                .collect(),
            reservations: Vec::new(),
            peer_reservations: PeerReservations::default(),
            autoscaler_reservations: AutoscalerReservations::default(),
            last_preemption: BTreeMap::new(),
            reclaim_since: BTreeMap::new(),
            preemption_requests: PreemptionRequests::default(),
            placement_refusals: PlacementRefusals::default(),
            loaded_at: None,
            recent_shapes: Vec::new(),
            wall_clock: Micros(0),
            run_times: RunTimes::default(),
        }
    }

    /// Advances the wall-clock time between scheduling passes.
    pub fn advance_wall_clock(&mut self, wall: Micros) {
        self.wall_clock = self.wall_clock.max(wall);
    }

    /// The status of a live job that its user sees: whether a task is running, and how many tasks are done
    /// and running.
    pub fn user_status(&self, id: &str) -> Option<(&'static str, u32, u32)> {
        let job = self.jobs.get(id)?;
        let runs = |phase| matches!(phase, Some(TaskPhase::Running | TaskPhase::Saving));
        let running = job.assignments.values().filter(|assignment| runs(assignment.phase)).count() as u32;
        Some((if running > 0 { "running" } else { "pending" }, job.done.len(), running))
    }

    /// Whether all resources that an ended job's tasks used are free again: every machine has reported in
    /// this epoch, and no attempt of the job may still be running.
    pub fn has_released_resources(&self, id: &str) -> bool {
        self.is_rebuilt()
            && !self.jobs.contains_key(id)
            && self.retired_starts.alive_attempts_of(id).next().is_none()
    }

    /// What a job's attempts use of its team's quota, including attempts that are not known to be gone.
    fn resources_in_use(&self, id: &str, job: &Job) -> Resources {
        let starts = job.assignments.len() + self.retired_starts.alive_attempts_of(id).count();
        Resources { memory: 0, ..job.spec.resources_per_task.times(starts as i64) }
    }

    /// Up to `most` machines that have not confirmed their task list in this epoch.
    pub fn unconfirmed_machines(&self, most: usize) -> impl Iterator<Item = &String> {
        self.unconfirmed_machines.iter().take(most)
    }

    /// The number of machines that have not confirmed their task list in this epoch.
    pub fn unconfirmed_machine_count(&self) -> usize {
        self.unconfirmed_machines.len()
    }

    /// The number of jobs that may have unknown attempts started by an earlier leader.
    pub fn unresolved_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.has_known_starts()).count()
    }

    /// This controller's member index.
    pub fn me(&self) -> usize {
        self.me
    }

    /// Whether every attempt that may be running is known.
    pub fn is_rebuilt(&self) -> bool {
        self.loaded && self.unconfirmed_machines.is_empty()
    }

    /// The machines of all machine leaders, as last reported.
    pub fn machines(&self, epoch: u64) -> impl Iterator<Item = &MachineSnapshot> {
        self.views.iter().filter_map(move |view| view.machines(epoch)).flat_map(BTreeMap::values)
    }

    /// A machine as its leader last reported it.
    pub fn machine(&self, name: &str, membership: &Membership) -> Option<&MachineSnapshot> {
        self.views.get(membership.machine_leader(name)?)?.machines(membership.epoch)?.get(name)
    }

    /// Whether a machine is certainly gone: its leader has reported in this epoch, and either reports the
    /// machine as gone or does not list it.
    pub fn is_machine_gone(&self, name: &str, membership: &Membership) -> bool {
        let leader = membership.machine_leader(name);
        let machines = leader.and_then(|leader| self.views.get(leader)?.machines(membership.epoch));
        machines.is_some_and(|machines| {
            machines.get(name).is_none_or(|machine| machine.inventory_state == InventoryState::Gone)
        })
    }

    /// Whether all machine leaders have reported in this epoch.
    pub fn have_all_machine_shards_reported(&self, membership: &Membership) -> bool {
        let has_spoken =
            |member: usize| self.views.get(member).is_some_and(|v| v.machines(membership.epoch).is_some());
        membership.members.iter().all(|&member| has_spoken(member))
    }

    /// Quarantined jobs and machines.
    pub fn quarantined(&self, now: Micros) -> (Vec<&str>, Vec<&str>) {
        self.failures.quarantined(now)
    }

    /// The number of live jobs, of their assigned tasks, and of their unfinished tasks.
    pub fn task_counts(&self) -> (usize, usize, usize) {
        let assigned = self.jobs.values().map(|job| job.assignments.len()).sum();
        let unfinished = self.jobs.values().map(|job| job.unfinished_tasks() as usize).sum();
        (self.jobs.len(), assigned, unfinished)
    }
}

#[cfg(test)]
mod tests;
