//! Heartbeats: which of them count, and what they show of a machine's tasks.
//!
//! A worker keeps one heartbeat in flight, so each was sent after it received or gave up on the response to the one
//! before. That is why a start which went out and is not listed in a later heartbeat never arrived.

use super::*;

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is the machine's latest; [`MachineShard::issue_commands`] gives the response.
    Accepted,
    /// The heartbeat is out of date: a newer one has been accepted, or the machine is gone.
    Stale,
    /// The worker has seen a newer fencing token than ours.
    Fenced,
}

impl MachineShard {
    /// Applies a heartbeat of a machine of ours. A copy, or one that was overtaken, changes nothing.
    pub fn apply_heartbeat(
        &mut self,
        now: Micros,
        membership: &Membership,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if heartbeat.token > membership.epoch {
            return HeartbeatOutcome::Fenced;
        }
        // What comes late of a machine that the cloud has taken back must not bring it to life once it was dropped here.
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
        changed |= machine.remember_images();
        let is_schedulable = machine.is_schedulable(now, self.silence_limit);
        changed |= is_schedulable != machine.was_schedulable;
        if changed {
            machine.was_schedulable = is_schedulable;
            self.changes.record(&heartbeat.machine, &mut machine.revision);
        }
        HeartbeatOutcome::Accepted
    }
}

/// What the tasks of a heartbeat are read against.
struct TaskListContext<'a> {
    membership: &'a Membership,
    /// What jobs' leaders want of starts on this machine, said before the machine listed them.
    pending: Option<&'a BTreeMap<TaskKey, DesiredTask>>,
    /// The change that this heartbeat will be, if it brings anything new.
    next_revision: u64,
    now: Micros,
    silence_limit: Micros,
}

impl TaskListContext<'_> {
    /// The entry of a task that is listed for the first time.
    fn new_entry(&self, observed: &ObservedTask) -> TaskEntry {
        let owner = self.membership.job_leader(&observed.key.job);
        let mut entry = TaskEntry::new(observed.phase, OwnerBasis::new(owner, self.next_revision));
        if let Some(desired) = self.pending.and_then(|pending| pending.get(&observed.key)) {
            entry.apply_desired(desired);
        }
        entry
    }
}

impl Machine {
    /// Whether a heartbeat proves nothing. A delayed one tells nothing new, and its sender has given up on the response.
    /// One of an incarnation that has ended proves neither that the machine lives nor what is on it, though its number
    /// be the highest seen.
    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.id() <= self.last_heartbeat
            || heartbeat.incarnation <= self.ended_incarnation
            || self.inventory == InventoryState::Gone
    }

    /// Applies everything of a heartbeat but its tasks. Returns whether anything changed that other controllers see.
    fn apply_header(&mut self, now: Micros, epoch: u64, heartbeat: &Heartbeat) -> bool {
        self.note_token(now, heartbeat.token, epoch);
        self.last_heartbeat = heartbeat.id();
        self.heard_at = now;
        self.has_reported = true;
        let mut changed = self.termination_at.is_some() != heartbeat.time_to_termination_s.is_some();
        self.termination_at = heartbeat.time_to_termination_s.map(|seconds| now + Micros::from_secs(seconds));
        // Only a heartbeat that shows our token proves that no older controller's response can still be executed, hence
        // that the list is complete.
        if heartbeat.token == epoch && self.inventory == InventoryState::Unconfirmed {
            self.inventory = InventoryState::Known;
            changed = true;
        }
        changed
    }

    /// Applies the task list. Returns whether any task came, went or changed its phase.
    fn apply_task_list(&mut self, heartbeat: &Heartbeat, context: &TaskListContext<'_>) -> bool {
        let (listed, mut changed) = self.apply_listed_tasks(heartbeat, context);
        let id = heartbeat.id();
        let lost_start = |key: &TaskKey, task: &TaskEntry| {
            task.phase == TaskPhase::InDoubt && task.sent_with < id && !listed.contains(key)
        };
        if self.tasks.iter().any(|(key, task)| lost_start(key, task)) {
            self.note_lost_response(context.now, context.silence_limit);
        }
        // A start that went out with the response to an earlier heartbeat and is not listed never arrived.
        let before = self.tasks.len();
        self.tasks.retain(|key, task| {
            !task.may_be_on_machine()
                || listed.contains(key)
                || (task.phase == TaskPhase::InDoubt && task.sent_with >= id)
        });
        changed |= before != self.tasks.len();
        changed
    }

    /// Enters the tasks that are listed. Returns which they are, and whether any is new or changed its phase.
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
