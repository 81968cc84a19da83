//! Attempts that have been assigned to a machine and have not ended.

use super::JobShard;
use crate::peer::{DesiredAction, TaskKey, TaskPhase};
use crate::units::Micros;

/// Placeholder for the revision of a message that has not been sent yet.
pub(super) const UNSENT: u64 = u64::MAX;

/// An attempt of a task assigned to a machine. It is kept until the machine's leader reports that it ended or
/// does not exist.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) machine: String,
    pub(super) zone: String,
    pub(super) attempt: u64,
    /// The action that the machine is to take.
    pub(super) action: DesiredAction,
    /// Revision of the first message to the machine's leader that contained the attempt; `UNSENT` before
    /// that.
    pub(super) first_revision: u64,
    /// The last reported phase; None before the first report.
    pub(super) phase: Option<TaskPhase>,
    pub(super) phase_since: Micros,
    /// Whether an earlier leader started it, in which case its run time so far is unknown.
    pub(super) adopted: bool,
}

impl Assignment {
    /// Whether the attempt is to be stopped.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.action, DesiredAction::Stop(_))
    }

    /// Whether the worker is known to have received the command to start it.
    pub(super) fn has_arrived(&self) -> bool {
        self.phase.is_some_and(TaskPhase::has_arrived)
    }

    /// Whether this is the given attempt on the given machine.
    pub(super) fn is_attempt(&self, machine: &str, attempt: u64) -> bool {
        self.attempt == attempt && self.machine == machine
    }
}

/// An attempt on a machine. Ordered by machine, then by job, task and attempt number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineStart {
    pub(super) machine: String,
    pub(super) task: TaskKey,
}

impl MachineStart {
    pub(super) fn new(machine: &str, job: &str, index: u32, attempt: u64) -> MachineStart {
        MachineStart { machine: machine.to_owned(), task: TaskKey { job: job.to_owned(), index, attempt } }
    }
}

impl JobShard {
    /// Adds a task to the index of tasks by machine.
    pub(super) fn index_assignment(&mut self, machine: &str, id: &str, index: u32) {
        self.assigned_by_machine.entry(machine.to_owned()).or_default().insert((id.to_owned(), index));
    }

    /// Removes a task from the index of tasks by machine.
    pub(super) fn unindex_assignment(&mut self, machine: &str, id: &str, index: u32) {
        if let Some(tasks) = self.assigned_by_machine.get_mut(machine) {
            tasks.remove(&(id.to_owned(), index));
            if tasks.is_empty() {
                self.assigned_by_machine.remove(machine);
            }
        }
    }
}
