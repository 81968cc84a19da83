//! What several messages say of a task: which start it is, and where it stands.

use rkyv::{Archive, Deserialize, Serialize};

/// One start of one task.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub struct TaskKey {
    /// The job.
    pub job: String,
    /// The task's number.
    pub index: u32,
    /// Which start. Later starts of a task have higher numbers.
    pub attempt: u64,
}

/// Where a start stands, as the leader of its machine sees it.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Room is held for it.
    Held,
    /// Accepted; the command goes out with the next answer to the machine.
    Queued,
    /// The command is out; whether it arrived is not yet known.
    InDoubt,
    /// Waiting for its image.
    Fetching,
    /// Waiting for its gang.
    Waiting,
    /// Running.
    Running,
    /// Saving its progress.
    Saving,
    /// Ended.
    Exited(TaskExit),
}

impl TaskPhase {
    /// Whether the agent is known to have had the command.
    #[must_use]
    pub fn has_arrived(self) -> bool {
        !matches!(self, TaskPhase::Held | TaskPhase::Queued | TaskPhase::InDoubt)
    }
}

/// How a task ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskExit {
    /// Completed.
    Done,
    /// Stopped by command; whether it saved its progress.
    Stopped(bool),
    /// Another task of the gang is gone.
    PeerLost,
    /// The gang was not complete in time.
    GangIncomplete,
    /// Failed.
    Error,
    /// The agent refused it for want of room.
    NoRoom,
    /// The agent has another attempt of it.
    AttemptConflict,
    /// The agent knows no such task.
    UnknownTask,
}
