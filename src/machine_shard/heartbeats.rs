//! Heartbeats: which of them are applied, and what they show about a machine's tasks.
//!
//! A worker keeps one heartbeat in flight, so it sent each one after it received the response to the one before or
//! gave up waiting for it. Hence a start that was sent and is not listed in a later heartbeat never arrived.

use super::*;

/// The result of applying a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is the machine's latest; [`MachineShard::issue_commands`] gives the response.
    Accepted,
    /// The heartbeat is out of date: a newer one has been accepted, or the machine was returned to the cloud.
    Stale,
    /// The worker has seen a newer fencing token than this controller's.
    Fenced,
}

impl MachineShard {
    /// Applies a heartbeat of a machine that this controller leads. A copy, or a heartbeat that was overtaken by a
    /// newer one, changes nothing.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        membership: &Membership,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if heartbeat.token > membership.epoch {
            return HeartbeatOutcome::Fenced;
        }
        // A late heartbeat of a returned machine must not add the machine again after its entry was dropped here.
        if self.returned_machines.contains(&heartbeat.machine) {
            return HeartbeatOutcome::Stale;
        }
        let mut changed = !self.machines.contains_key(&heartbeat.machine);
        let epoch = self.epoch;
        let machine = self
            .machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| Machine::new(now, epoch, MachineRecord::from(heartbeat)));
        if machine.is_outdated(heartbeat) {
            return HeartbeatOutcome::Stale;
        }
        changed |= machine.apply_header(now, membership.epoch, heartbeat);
        let context = TaskListContext {
            membership,
            pending: self.pending_desired.get(&heartbeat.machine),
            next_revision: self.changes.revision + 1,
            now,
            silence_limit: self.silence_limit,
        };
        changed |= machine.apply_task_list(heartbeat, &context);
        if machine.inventory == InventoryState::Known {
            self.pending_desired.remove(&heartbeat.machine);
        }
        changed |= machine.record_images();
        let is_schedulable = machine.is_schedulable(now, self.silence_limit);
        changed |= is_schedulable != machine.was_schedulable;
        if changed {
            machine.was_schedulable = is_schedulable;
            self.changes.record(&heartbeat.machine, &mut machine.revision);
        }
        HeartbeatOutcome::Accepted
    }
}

/// The context in which a heartbeat's task list is applied.
struct TaskListContext<'a> {
    membership: &'a Membership,
    /// The desired state of starts on this machine that arrived before the machine listed them.
    pending: Option<&'a BTreeMap<TaskKey, DesiredTask>>,
    /// The revision that this heartbeat's change gets, if it changes anything.
    next_revision: u64,
    now: Micros,
    silence_limit: Micros,
}

impl TaskListContext<'_> {
    /// Creates the entry of a task that is listed for the first time.
    fn new_entry(&self, observed: &ObservedTask) -> TaskEntry {
        let job_leader = self.membership.job_leader(&observed.key.job);
        let mut entry =
            TaskEntry::new(observed.phase, JobLeaderEvidence::new(job_leader, self.next_revision));
        if let Some(desired) = self.pending.and_then(|pending| pending.get(&observed.key)) {
            entry.apply_desired(desired);
        }
        entry
    }
}

impl Machine {
    /// Whether a heartbeat is out of date. The sender of a delayed heartbeat has given up waiting for its response.
    /// One of an ended incarnation shows neither that the machine is alive nor what runs on it, even if its number is
    /// the highest seen.
    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.id() <= self.last_heartbeat
            || heartbeat.incarnation <= self.ended_incarnation
            || self.inventory == InventoryState::Gone
    }

    /// Applies everything of a heartbeat except its tasks. Returns whether anything changed that other controllers see.
    fn apply_header(&mut self, now: Micros, epoch: u64, heartbeat: &Heartbeat) -> bool {
        self.record_token(now, heartbeat.token, epoch);
        self.last_heartbeat = heartbeat.id();
        self.last_heartbeat_at = now;
        self.has_sent_heartbeat = true;
        let mut changed = self.termination_at.is_some() != heartbeat.time_to_termination_s.is_some();
        self.termination_at = heartbeat.time_to_termination_s.map(|seconds| now + Micros::from_secs(seconds));
        // Only a heartbeat with the current fencing token proves that no response of an earlier leader can still be
        // executed, and hence that the task list is complete.
        if heartbeat.token == epoch && self.inventory == InventoryState::Unconfirmed {
            self.inventory = InventoryState::Known;
            changed = true;
        }
        changed
    }

    /// Applies the task list. Returns whether any task was added or removed or changed its phase.
    fn apply_task_list(&mut self, heartbeat: &Heartbeat, context: &TaskListContext<'_>) -> bool {
        let (listed, mut changed) = self.apply_listed_tasks(heartbeat, context);
        let id = heartbeat.id();
        let is_lost_start = |key: &TaskKey, task: &TaskEntry| {
            task.phase == TaskPhase::InDoubt && task.sent_with < id && !listed.contains(key)
        };
        if self.tasks.iter().any(|(key, task)| is_lost_start(key, task)) {
            self.record_lost_response(context.now, context.silence_limit);
        }
        // A start that was sent with the response to an earlier heartbeat and is not listed never arrived.
        let task_count_before = self.tasks.len();
        self.tasks.retain(|key, task| {
            !task.can_be_on_machine()
                || listed.contains(key)
                || (task.phase == TaskPhase::InDoubt && task.sent_with >= id)
        });
        changed |= task_count_before != self.tasks.len();
        changed
    }

    /// Adds or updates the listed tasks. Returns their keys, and whether any task is new or changed its phase.
    fn apply_listed_tasks(
        &mut self,
        heartbeat: &Heartbeat,
        context: &TaskListContext<'_>,
    ) -> (BTreeSet<TaskKey>, bool) {
        let mut listed = BTreeSet::new();
        let mut changed = false;
        for task in &heartbeat.tasks {
            let observed = match ObservedTask::try_from(task) {
                Ok(observed) => observed,
                Err(reason) => {
                    tracing::error!(machine = %heartbeat.machine, task = %task.task, state = %task.state, %reason, "unreadable task in a heartbeat");
                    continue;
                }
            };
            let entry = self.tasks.entry(observed.key.clone()).or_insert_with(|| {
                changed = true;
                context.new_entry(&observed)
            });
            if entry.phase == TaskPhase::InDoubt {
                self.lost_responses = 0;
            }
            changed |= entry.phase != observed.phase;
            entry.phase = observed.phase;
            listed.insert(observed.key);
        }
        (listed, changed)
    }
}

impl From<&Heartbeat> for MachineRecord {
    fn from(heartbeat: &Heartbeat) -> MachineRecord {
        MachineRecord {
            kind: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            addr: heartbeat.addr.clone(),
        }
    }
}
