//! Types shared by several messages: the identity of a task attempt, and its phase.

use rkyv::{Archive, Deserialize, Serialize};

/// Identifies one attempt of one task.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub struct TaskKey {
    /// The job.
    pub job: String,
    /// The task's number.
    pub index: u32,
    /// The attempt's number. Later attempts of a task have higher numbers.
    pub attempt: u64,
}

/// The phase of an attempt, as seen by the leader of its machine.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Resources are reserved for it.
    Held,
    /// It is accepted. The start command is sent with the response to the machine's next heartbeat.
    Queued,
    /// The start command was sent, but it is not known yet whether it arrived.
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
    /// Whether the worker is known to have received the start command.
    #[must_use]
    pub fn has_arrived(self) -> bool {
        !matches!(self, TaskPhase::Held | TaskPhase::Queued | TaskPhase::InDoubt)
    }

    /// Whether the worker has received the start command and the task has not ended.
    #[must_use]
    pub fn is_live_on_worker(self) -> bool {
        self.has_arrived() && !matches!(self, TaskPhase::Exited(_))
    }
}

/// How a task ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskExit {
    /// Completed.
    Done,
    /// Stopped by command; whether it saved its progress.
    Stopped(bool),
    /// It stopped because another task of its gang had ended or disappeared.
    PeerLost,
    /// It did not start because its gang was not complete in time.
    GangIncomplete,
    /// It failed.
    Error,
    /// The worker refused it because the machine had not enough free resources.
    NoRoom,
    /// The worker refused it because another attempt of the task is still on the machine.
    AttemptConflict,
    /// The worker has no such task.
    UnknownTask,
}
