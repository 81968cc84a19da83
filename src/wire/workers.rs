//! Forms that workers send and receive: heartbeats, commands, probes.
//!
//! This is the only module with the field names and words of the workers' protocol. The raw forms
//! are private; a [`Heartbeat`] is read through them, a [`HeartbeatResponse`] and the body of a fencing probe are written
//! through them.
//! Unknown fields are ignored. A task whose name or state can't be read is an [`UnreadableTask`] and invalidates neither
//! the heartbeat nor its other tasks.

use crate::peer::{ObservedTask, TaskExit, TaskKey, TaskPhase};
use crate::units::Micros;
use serde::{Deserialize, Serialize, Serializer};
use serde_json::{Value, json};

mod raw;

/// A worker's heartbeat, with its task list.
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(from = "raw::Report")]
pub struct Heartbeat {
    /// The machine.
    pub machine: String,
    /// Where it takes direct commands; empty if it takes none.
    pub addr: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The agent's incarnation; grows when its lease has expired.
    pub incarnation: u64,
    /// Grows with each message of an incarnation.
    pub sequence: u64,
    /// Highest fencing token that the agent has seen.
    pub token: u64,
    /// Seconds until the cloud takes the machine, if that was announced.
    pub time_to_termination_s: Option<f64>,
    /// Its tasks.
    pub tasks: Vec<HeartbeatTask>,
}

impl Heartbeat {
    /// Which of the worker's messages this is.
    #[must_use]
    pub fn id(&self) -> HeartbeatId {
        HeartbeatId { incarnation: self.incarnation, sequence: self.sequence }
    }
}

/// Which of a worker's messages one is; later messages are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The agent's incarnation.
    pub incarnation: u64,
    /// The message's number within it, from 1.
    pub sequence: u64,
}

/// A task in a heartbeat, in the worker's words; `TryFrom` gives it as an [`ObservedTask`].
#[derive(Deserialize, Clone, Debug, PartialEq)]
#[serde(from = "raw::ReportedTask")]
pub struct HeartbeatTask {
    /// `job/index`.
    pub task: String,
    /// Which start.
    pub attempt: u64,
    /// The word for its state.
    pub state: String,
    /// The word for the cause of its end.
    pub cause: Option<String>,
    /// Whether it saved before it ended.
    pub saved: Option<bool>,
}

/// Why a task in a heartbeat can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableTask {
    /// Its name is not a job and an index with a slash in between.
    #[error("the task's name is not of the form job/index")]
    Name,
    /// Its state is none that the protocol knows.
    #[error("the task's state is unknown")]
    State,
}

impl TryFrom<&HeartbeatTask> for ObservedTask {
    type Error = UnreadableTask;

    fn try_from(task: &HeartbeatTask) -> Result<ObservedTask, UnreadableTask> {
        let (job, index) = task.task.rsplit_once('/').ok_or(UnreadableTask::Name)?;
        let index = index.parse().map_err(|_| UnreadableTask::Name)?;
        let phase = match task.state.as_str() {
            "pulling" => TaskPhase::Fetching,
            "waiting" => TaskPhase::Waiting,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Saving,
            "ended" => TaskPhase::Exited(read_exit(task.cause.as_deref(), task.saved == Some(true))),
            _ => return Err(UnreadableTask::State),
        };
        Ok(ObservedTask { key: TaskKey { job: job.into(), index, attempt: task.attempt }, phase })
    }
}

/// The end that a cause stands for; one that is missing or unknown is an error of the task.
fn read_exit(cause: Option<&str>, saved: bool) -> TaskExit {
    match cause {
        Some("done") => TaskExit::Done,
        Some("stopped") => TaskExit::Stopped(saved),
        Some("peers") => TaskExit::PeerLost,
        Some("alone") => TaskExit::GangIncomplete,
        Some("no_room") => TaskExit::NoRoom,
        Some("busy") => TaskExit::AttemptConflict,
        Some("unknown") => TaskExit::UnknownTask,
        _ => TaskExit::Error,
    }
}

/// The response to a heartbeat. A worker that receives it renews its lease.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatResponse {
    /// The fencing token: the epoch.
    pub token: u64,
    /// What to do, in order.
    pub commands: Vec<Command>,
}

impl Serialize for HeartbeatResponse {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        raw::HeartbeatResponse::from(self).serialize(serializer)
    }
}

/// One command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start the task.
    Run(TaskKey),
    /// Stop the task, giving it this long to save.
    Kill(TaskKey, Micros),
    /// The task's end is on record: list it no more.
    Forget(TaskKey),
}

impl Command {
    /// The protocol's word for it.
    #[must_use]
    pub fn verb(&self) -> &'static str {
        match self {
            Command::Run(_) => "run",
            Command::Kill(..) => "kill",
            Command::Forget(_) => "forget",
        }
    }

    /// The start that it is about.
    #[must_use]
    pub fn task(&self) -> &TaskKey {
        match self {
            Command::Run(key) | Command::Kill(key, _) | Command::Forget(key) => key,
        }
    }

    /// The task's name in the protocol, `job/index`.
    #[must_use]
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.task().job, self.task().index)
    }
}

/// The answer to a worker that is to send its heartbeats to another controller.
#[must_use]
pub fn redirect_body(leader: &str) -> Value {
    json!({"rider": leader})
}

/// The body of a fencing probe: the token and no command. The agent answers with a heartbeat.
#[must_use]
pub fn fencing_probe_body(token: u64, incarnation: u64) -> String {
    serde_json::to_string(&raw::FencingProbe { calls: [], rein: token, ride: incarnation })
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;
