//! Reconciliation of the desired state of this shard's tasks with the machine status that machine leaders
//! report: sends the desired state, applies the reported status, and updates the tasks accordingly.

use super::JobShard;
use super::assignments::{Assignment, MachineStart, UNSENT};
use super::gang::GangState;
use super::job::Job;
use super::retired_starts::{RetiredStartKey, Retirement};
use crate::machine_view::{MachineSnapshot, MachineView};
use crate::membership::Membership;
use crate::peer::{
    DesiredAction, DesiredState, DesiredTask, InventoryState, MachineStatusDelta, ObservedTask, TaskExit,
    TaskKey, TaskPhase,
};
use crate::quota::tier;
use crate::spec::JobKind;
use crate::units::Micros;
use std::collections::BTreeSet;

/// Pause of a job after a task that could not be run, which prevents a tight retry loop.
const ERROR_PAUSE: Micros = Micros::from_millis(1_000);
/// Pause of a job after a worker had insufficient free resources for a task.
const NO_ROOM_PAUSE: Micros = Micros::from_millis(500);
/// Pause of a job after a machine's leader refused an attempt.
const REFUSED_PAUSE: Micros = Micros::from_millis(200);

/// The status of one machine as reported by its leader.
struct MachineReport<'a> {
    name: &'a str,
    /// None if the leader does not list the machine.
    snapshot: Option<&'a MachineSnapshot>,
    /// A leader that has read the records lists every machine that was ever given a task, so a machine that
    /// it does not list is gone.
    inventory: InventoryState,
    tasks: &'a [ObservedTask],
    /// Revision of this shard's latest message that the leader had seen.
    seen_revision: u64,
}

/// The change of an assignment according to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssignmentChange {
    Phase(TaskPhase),
    Lost(LossReason),
}

/// Why an attempt is certainly not on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossReason {
    MachineGone,
    NotOnMachine,
    Refused,
}

impl LossReason {
    fn text(self) -> &'static str {
        match self {
            LossReason::MachineGone => "machine gone",
            LossReason::NotOnMachine => "no longer on the machine",
            LossReason::Refused => "refused",
        }
    }
}

impl<'a> MachineReport<'a> {
    fn new(view: &'a MachineView, epoch: u64, name: &'a str) -> MachineReport<'a> {
        let snapshot = view.machines(epoch).and_then(|machines| machines.get(name));
        MachineReport {
            name,
            snapshot,
            inventory: snapshot.map_or(InventoryState::Gone, |machine| machine.inventory_state),
            tasks: snapshot.map_or(&[], |machine| &machine.tasks),
            seen_revision: view.revision_seen(epoch),
        }
    }

    /// The phase of an attempt, if the machine has it.
    fn phase_of(&self, job: &str, index: u32, attempt: u64) -> Option<TaskPhase> {
        let is_match = |observed: &&ObservedTask| {
            observed.key.index == index && observed.key.attempt == attempt && observed.key.job == job
        };
        self.tasks.iter().find(is_match).map(|observed| observed.phase)
    }

    /// An attempt on the machine that this shard has not started.
    fn unknown_attempt(&self, now: Micros, attempt: u64, phase: TaskPhase) -> Assignment {
        Assignment {
            machine: self.name.to_owned(),
            zone: self.snapshot.map(|machine| machine.zone.clone()).unwrap_or_default(),
            attempt,
            action: DesiredAction::Keep,
            first_revision: UNSENT,
            phase: Some(phase),
            phase_since: now,
            adopted: true,
        }
    }

    /// Whether an attempt that the machine does not list is certainly not there and never will be.
    /// `first_revision` is that of the first message that contained the attempt.
    fn rules_out(&self, first_revision: u64) -> bool {
        match self.inventory {
            InventoryState::Gone => true,
            InventoryState::Known => first_revision <= self.seen_revision,
            _ => false,
        }
    }

    /// How an assignment changes according to the report; None if it does not.
    fn change_of(&self, id: &str, index: u32, assignment: &Assignment) -> Option<AssignmentChange> {
        if let Some(phase) = self.phase_of(id, index, assignment.attempt) {
            return (assignment.phase != Some(phase)).then_some(AssignmentChange::Phase(phase));
        }
        if !self.rules_out(assignment.first_revision) {
            return None;
        }
        let was_on_machine = assignment.phase.is_some_and(|phase| phase != TaskPhase::Held);
        Some(AssignmentChange::Lost(match (self.inventory, was_on_machine) {
            (InventoryState::Gone, _) => LossReason::MachineGone,
            (_, true) => LossReason::NotOnMachine,
            (_, false) => LossReason::Refused,
        }))
    }
}

impl JobShard {
    /// Whether a machine leader must be sent something new.
    pub fn has_changes_for(&mut self, leader: usize, membership: &Membership) -> bool {
        let local = self.delivery.distribute_changes(membership, self.me);
        self.start_replication.changed.extend(local);
        self.delivery.has_changes(leader)
    }

    /// The next message to a machine leader: all changes since the last message that it has acknowledged.
    pub fn next_desired_state(&mut self, leader: usize, membership: &Membership) -> DesiredState {
        self.has_changes_for(leader, membership);
        let seen = self.views[leader].revision_seen(membership.epoch);
        let since = if seen > membership.epoch << 32 { seen } else { 0 };
        let (rev, changes) = self.delivery.next_message(leader, since);
        let mut state = DesiredState { revision: rev, base_revision: since, ..DesiredState::default() };
        let mut newly_listed = Vec::new();
        for (start, first_revision) in changes {
            if *first_revision == UNSENT {
                *first_revision = rev;
                newly_listed.push(start.machine.clone());
            }
            let MachineStart { machine, task: key } = start;
            let retired = RetiredStartKey::new(&key.job, key.index, machine, key.attempt);
            let (resources, action, priority, image) = if let Some(job) = self.jobs.get_mut(&key.job)
                && let Some(assignment) = job.assignments.get_mut(&key.index)
                && assignment.is_attempt(machine, key.attempt)
            {
                assignment.first_revision = assignment.first_revision.min(rev);
                let priority = tier::effective_priority(job.spec.priority, job.quota_tier);
                (job.spec.resources_per_task, assignment.action, priority, job.spec.image_hash)
            } else if let Some(retired) = self.retired_starts.get_mut(&retired) {
                retired.first_revision = retired.first_revision.min(rev);
                (retired.resources, retired.action, retired.priority, 0)
            } else {
                state.removed.push((machine.clone(), key.clone()));
                continue;
            };
            state.tasks.push(DesiredTask {
                key: key.clone(),
                machine: machine.clone(),
                resources,
                action,
                priority,
                image,
            });
        }
        self.views[leader].record_start_request(rev, newly_listed);
        state
    }

    /// The sequence number of the state of a leader's machines that this shard has applied.
    pub fn applied_status_sequence(&self, leader: usize, epoch: u64) -> u64 {
        self.views.get(leader).map_or(0, |view| view.sequence(epoch))
    }

    /// Applies the status of a leader's machines, which is authoritative for the tasks on them. Returns
    /// whether it contained anything new; a late or repeated one has no effect.
    pub fn apply_machine_status(
        &mut self,
        now: Micros,
        membership: &Membership,
        from: usize,
        delta: MachineStatusDelta,
    ) -> bool {
        let Some(view) = self.views.get_mut(from) else { return false };
        if !self.loaded {
            return false;
        }
        let Some(change) = view.apply_delta(now, membership.epoch, delta) else { return false };
        let mut names = change.names;
        if change.is_full {
            names.extend(self.machines_with_attempts_led_by(membership, from));
        }
        if names.is_empty() {
            return false;
        }
        let views = std::mem::take(&mut self.views);
        if let Some(view) = views.get(from) {
            // A machine has one leader, and only that leader may report it.
            for name in names.iter().filter(|name| membership.machine_leader(name) == Some(from)) {
                self.apply_machine_report(now, membership, &MachineReport::new(view, membership.epoch, name));
            }
        }
        self.views = views;
        if std::mem::take(&mut self.some_set_resolved) {
            self.resolve_start_knowledge();
        }
        self.replan = true;
        true
    }

    /// Machines of a leader that have, or may have, attempts of this shard's jobs.
    fn machines_with_attempts_led_by(&self, membership: &Membership, leader: usize) -> BTreeSet<String> {
        let machines = self
            .assigned_by_machine
            .keys()
            .chain(&self.unconfirmed_machines)
            .chain(self.retired_starts.machines());
        machines.filter(|name| membership.machine_leader(name) == Some(leader)).cloned().collect()
    }

    fn apply_machine_report(&mut self, now: Micros, membership: &Membership, report: &MachineReport) {
        self.update_assignments(now, report);
        self.stop_attempts_that_run_again(now, report);
        self.update_retired_attempts(report);
        self.handle_unknown_attempts(now, membership, report);
        if report.inventory != InventoryState::Unconfirmed {
            self.unconfirmed_machines.remove(report.name);
            self.some_set_resolved |= self.unresolved_sets.resolve(report.name);
        }
    }

    fn update_assignments(&mut self, now: Micros, report: &MachineReport) {
        // Most tasks have not changed: only for the others are the names copied.
        let change_of =
            |id: &str, index: u32| report.change_of(id, index, self.jobs.get(id)?.assignments.get(&index)?);
        let assigned = self.assigned_by_machine.get(report.name).into_iter().flatten();
        let changes: Vec<(String, u32, AssignmentChange)> =
            assigned.filter_map(|(id, index)| Some((id.clone(), *index, change_of(id, *index)?))).collect();
        for (id, index, change) in changes {
            match change {
                AssignmentChange::Phase(phase) => self.apply_phase(now, &id, index, phase),
                AssignmentChange::Lost(reason) => self.remove_lost_attempt(now, &id, index, reason),
            }
        }
    }

    /// Stops attempts that have ended and run again. A worker that has forgotten an attempt carries out a repeated start
    /// command once more. Until such an attempt has ended again, it counts like any other that may be running.
    fn stop_attempts_that_run_again(&mut self, now: Micros, report: &MachineReport) {
        // An unconfirmed list may be older than the end.
        if report.inventory != InventoryState::Known {
            return;
        }
        let running_again: Vec<&ObservedTask> = report
            .tasks
            .iter()
            .filter(|observed| observed.phase.is_live_on_worker())
            .filter(|observed| self.retired_starts.has_ended_on_machine(report.name, &observed.key))
            .collect();
        for ObservedTask { key, phase } in running_again {
            let TaskKey { job, index, attempt } = key;
            tracing::warn!(%job, task = index, machine = report.name, attempt, "ended task runs again: stopping it");
            let retired = RetiredStartKey::new(job, *index, report.name, *attempt);
            let resources =
                self.retired_starts.get(&retired).map(|start| start.resources).unwrap_or_default();
            let start = report.unknown_attempt(now, *attempt, *phase);
            self.retire_attempt(job, *index, &start, Retirement::stopped(resources));
        }
    }

    fn update_retired_attempts(&mut self, report: &MachineReport) {
        let phase_of = |task: &TaskKey| report.phase_of(&task.job, task.index, task.attempt);
        let key_of = |task: &TaskKey| RetiredStartKey::new(&task.job, task.index, report.name, task.attempt);
        // Ended attempts that are still listed wait for their record to be stored; they are not new.
        let changed: Vec<RetiredStartKey> = self
            .retired_starts
            .on_machine(report.name)
            .filter(|(task, alive)| match phase_of(task) {
                Some(phase) => *alive && matches!(phase, TaskPhase::Exited(_)),
                None => true,
            })
            .map(|(task, _)| key_of(task))
            .collect();
        let arrived = self
            .retired_starts
            .on_machine(report.name)
            .filter(|(task, alive)| *alive && phase_of(task).is_some_and(TaskPhase::has_arrived))
            .map(|(task, _)| key_of(task));
        for key in arrived.collect::<Vec<_>>() {
            if let Some(start) = self.retired_starts.get_mut(&key) {
                start.arrived = true;
            }
        }
        for key in changed {
            match report.phase_of(&key.job, key.index, key.attempt) {
                Some(TaskPhase::Exited(exit)) => self.end_retired_attempt(&key, exit),
                Some(_) => {}
                None => {
                    let first_revision = self.retired_starts.get(&key).map(|start| start.first_revision);
                    if report.inventory == InventoryState::Gone
                        || first_revision.is_some_and(|first| report.rules_out(first))
                    {
                        self.forget_retired_attempt(&key);
                    }
                }
            }
        }
    }

    /// Handles the end of a retired attempt on its machine.
    fn end_retired_attempt(&mut self, key: &RetiredStartKey, exit: TaskExit) {
        let recorded = self.is_recorded(&key.job, key.index);
        let mut completed = false;
        if let Some(start) = self.retired_starts.get_mut(key) {
            let was_alive = start.alive;
            if was_alive {
                start.alive = false;
                start.done = exit == TaskExit::Done;
                completed = start.done;
            }
            let action = if !start.done || recorded { DesiredAction::Forget } else { DesiredAction::Keep };
            let changes = start.action != action;
            start.action = action;
            if was_alive {
                self.retired_starts.mark_ended_in_machine_index(key);
                self.replan = true;
            }
            if changes {
                self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            }
        }
        if completed {
            self.retired_starts.unblock_placement(key);
            self.complete_task(&key.job, key.index);
        } else {
            self.retired_starts.mark_ended_in_job_index(key);
        }
    }

    /// Whether a task's completion no longer needs to be reported: it is stored, or its job has ended.
    fn is_recorded(&self, id: &str, index: u32) -> bool {
        self.jobs.get(id).is_none_or(|job| job.recorded.contains(index))
    }

    /// Handles attempts that this shard does not know: those of an adopted job, or those left by a job that
    /// has ended.
    fn handle_unknown_attempts(&mut self, now: Micros, membership: &Membership, report: &MachineReport) {
        for observed in report.tasks {
            let key = &observed.key;
            let assignment = self.jobs.get(&key.job).and_then(|job| job.assignments.get(&key.index));
            if assignment.is_some_and(|assignment| assignment.is_attempt(report.name, key.attempt))
                || self.retired_starts.is_on_machine(report.name, key)
            {
                continue;
            }
            let start = report.unknown_attempt(now, key.attempt, observed.phase);
            if self.jobs.get(&key.job).is_some_and(|job| can_adopt(job, observed)) {
                tracing::info!(job = %key.job, task = key.index, machine = report.name, epoch = membership.epoch, "task adopted");
                self.adopt_attempt(&key.job, key.index, start);
                self.apply_phase(now, &key.job, key.index, observed.phase);
            } else {
                self.retire_unknown_attempt(key, &start, observed.phase);
            }
        }
    }

    /// Adopts an attempt that an earlier leader started.
    pub(super) fn adopt_attempt(&mut self, id: &str, index: u32, start: Assignment) {
        self.delivery.mark_changed(&start.machine, id, index, start.attempt);
        self.index_assignment(&start.machine, id, index);
        if let Some(job) = self.jobs.get_mut(id) {
            job.assignments.insert(index, start);
            if job.spec.kind == JobKind::Gang && job.gang.is_none() {
                job.gang = Some(GangState::Started);
            }
        }
    }

    /// Stops an attempt that is not adopted, or lets its worker forget it.
    fn retire_unknown_attempt(&mut self, key: &TaskKey, start: &Assignment, phase: TaskPhase) {
        let resources = self.jobs.get(&key.job).map(|job| job.spec.resources_per_task).unwrap_or_default();
        let exited = matches!(phase, TaskPhase::Exited(_));
        let done = phase == TaskPhase::Exited(TaskExit::Done);
        let action = match (exited, done && !self.is_recorded(&key.job, key.index)) {
            (false, _) => DesiredAction::Stop(Micros(0)),
            (true, true) => DesiredAction::Keep,
            (true, false) => DesiredAction::Forget,
        };
        self.retire_attempt(
            &key.job,
            key.index,
            start,
            Retirement { resources, action, alive: !exited, done },
        );
        if done {
            self.complete_task(&key.job, key.index);
        }
    }

    /// Applies the reported phase of an assigned task.
    fn apply_phase(&mut self, now: Micros, id: &str, index: u32, phase: TaskPhase) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(assignment) = job.assignments.get_mut(&index) else { return };
        let started_here = !assignment.adopted;
        if started_here
            && assignment.phase == Some(TaskPhase::Running)
            && phase == TaskPhase::Exited(TaskExit::Done)
        {
            self.run_times.record(&job.spec, now.since(assignment.phase_since));
        }
        if started_here && assignment.phase.is_none() {
            self.placement_refusals.note(&assignment.machine, true);
        }
        if assignment.phase != Some(phase) {
            assignment.phase_since = now;
        }
        assignment.phase = Some(phase);
        if phase.is_live_on_worker() && assignment.action == DesiredAction::Run {
            assignment.action = DesiredAction::Keep;
        }
        if let TaskPhase::Exited(exit) = phase {
            self.end_task(now, id, index, exit);
        }
    }

    /// Handles the end of an assigned task on its machine.
    fn end_task(&mut self, now: Micros, id: &str, index: u32, exit: TaskExit) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(assignment) = job.assignments.remove(&index) else { return };
        let (resources, gang) = (job.spec.resources_per_task, job.spec.kind == JobKind::Gang);
        let machine = assignment.machine.as_str();
        let done = exit == TaskExit::Done;
        match exit {
            TaskExit::Error | TaskExit::UnknownTask => job.not_before = now + ERROR_PAUSE,
            TaskExit::NoRoom | TaskExit::AttemptConflict => job.not_before = now + NO_ROOM_PAUSE,
            _ => {}
        }
        if !done {
            tracing::debug!(job = id, task = index, machine, why = ?exit, "task ended");
        }
        match exit {
            TaskExit::Error => self.failures.note_error(now, id, machine),
            TaskExit::Done => self.failures.note_success(id, machine),
            _ => {}
        }
        self.unindex_assignment(machine, id, index);
        let action = if done { DesiredAction::Keep } else { DesiredAction::Forget };
        self.retire_attempt(id, index, &assignment, Retirement { resources, action, alive: false, done });
        if done {
            self.complete_task(id, index);
        } else if gang {
            self.end_gang_attempt(id);
        }
        self.replan = true;
    }

    /// Removes an assigned attempt that is certainly not on its machine and never will be.
    fn remove_lost_attempt(&mut self, now: Micros, id: &str, index: u32, reason: LossReason) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(assignment) = job.assignments.remove(&index) else { return };
        let gang = job.spec.kind == JobKind::Gang;
        let machine = assignment.machine.as_str();
        // An attempt that was withdrawn because its job is ending was not refused by the machine's leader.
        if job.pending_outcome.is_some() {
            tracing::debug!(job = id, task = index, machine, reason = reason.text(), "start withdrawn");
        } else if reason == LossReason::Refused {
            job.not_before = job.not_before.max(now + REFUSED_PAUSE);
            self.placement_refusals.note(machine, false);
            tracing::debug!(job = id, task = index, machine, "attempt refused by machine leader");
        } else {
            tracing::info!(job = id, task = index, machine, reason = reason.text(), "task lost");
        }
        self.unindex_assignment(machine, id, index);
        self.delivery.mark_changed(machine, id, index, assignment.attempt);
        if gang {
            self.end_gang_attempt(id);
        }
        self.replan = true;
    }
}

/// Whether a job adopts an attempt that it does not know.
fn can_adopt(job: &Job, observed: &ObservedTask) -> bool {
    let key = &observed.key;
    !matches!(observed.phase, TaskPhase::Exited(_) | TaskPhase::Held | TaskPhase::Queued)
        && key.index < job.spec.task_count
        && job.pending_outcome.is_none()
        && !job.done.contains(key.index)
        && !job.assignments.contains_key(&key.index)
        && is_compatible_with_gang_attempt(job, key.attempt)
}

/// Whether an attempt may run beside the job's others: members of two attempts of one gang must not run
/// together.
pub(super) fn is_compatible_with_gang_attempt(job: &Job, attempt: u64) -> bool {
    job.spec.kind != JobKind::Gang || job.assignments.values().all(|assignment| assignment.attempt == attempt)
}
