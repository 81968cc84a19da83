//! Starts that were decided on and have not ended.

use super::JobShard;
use crate::peer::{DesiredAction, TaskKey, TaskPhase};
use crate::units::Micros;

/// Stands for the revision of a message that has not been sent yet.
pub(super) const UNSENT: u64 = u64::MAX;

/// A start of a task on a machine. It stands until the machine's leader says that it ended or is not there.
#[derive(Clone, Debug)]
pub(super) struct Assignment {
    pub(super) machine: String,
    pub(super) zone: String,
    pub(super) attempt: u64,
    /// What the machine is to do with it.
    pub(super) action: DesiredAction,
    /// The first message to the machine's leader that named it; `UNSENT` before that.
    pub(super) first_revision: u64,
    /// As last reported; None before the first report.
    pub(super) phase: Option<TaskPhase>,
    pub(super) phase_since: Micros,
    /// Started by an earlier leader: how long it has run is not known.
    pub(super) adopted: bool,
}

impl Assignment {
    /// Whether it is to stop.
    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.action, DesiredAction::Stop(_))
    }

    /// Whether the agent is known to have had the command to start it.
    pub(super) fn has_arrived(&self) -> bool {
        self.phase.is_some_and(TaskPhase::has_arrived)
    }

    /// Whether it is this attempt on this machine.
    pub(super) fn is_start(&self, machine: &str, attempt: u64) -> bool {
        self.attempt == attempt && self.machine == machine
    }
}

/// A start on a machine. Ordered by machine, then by job, task and attempt.
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
    /// Records which machine a task is assigned to.
    pub(super) fn index_assignment(&mut self, machine: &str, id: &str, index: u32) {
        self.assigned_by_machine.entry(machine.to_owned()).or_default().insert((id.to_owned(), index));
    }

    /// The reverse of `index_assignment`.
    pub(super) fn unindex_assignment(&mut self, machine: &str, id: &str, index: u32) {
        if let Some(tasks) = self.assigned_by_machine.get_mut(machine) {
            tasks.remove(&(id.to_owned(), index));
            if tasks.is_empty() {
                self.assigned_by_machine.remove(machine);
            }
        }
    }
}
