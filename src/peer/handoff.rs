//! Leader of the epoch before to its successor: jobs and machines handed over.

use super::desired_state::DesiredAction;
use super::replication::ReplicatedStarts;
use super::task::{TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// Jobs and machines handed over. The sender commands none of them any more.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct HandoffBatch {
    /// Jobs, for their new leader.
    pub jobs: Vec<JobHandoff>,
    /// Sets of machines that may hold tasks of handed jobs unknown to the sender.
    pub unresolved_sets: Vec<Vec<String>>,
    /// Machines, for their new leader.
    pub machines: Vec<MachineHandoff>,
    /// What others had replicated with the sender.
    pub replicated_starts: Vec<ReplicatedStarts>,
    /// Machines of the receiver's that the cloud has taken back for certain: pages of the machine registry still name
    /// them.
    pub removed_machines: Vec<String>,
}

/// A job as its leader of the epoch before knew it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobHandoff {
    /// The job.
    pub id: String,
    /// Its completed tasks, also those not yet on record, as ranges.
    pub done: String,
    /// Starts that may be on a machine.
    pub starts: Vec<StartHandoff>,
    /// Which of the batch's sets of machines may hold other tasks of it; None: no machine does.
    pub unresolved_set: Option<u32>,
}

/// A start that may be on a machine, or on its way there.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct StartHandoff {
    /// The task's number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Where it stood, if its machine's shard had said.
    pub phase: Option<TaskPhase>,
}

/// A machine as its leader of the epoch before knew it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineHandoff {
    /// The machine.
    pub name: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes direct commands.
    pub addr: String,
    /// Whether its name is on record.
    pub on_record: bool,
    /// Whether its tasks were exactly those listed here, or on their way with an answer to the latest heartbeat.
    pub inventory_known: bool,
    /// Incarnation and number of its latest heartbeat.
    pub last_heartbeat: (u64, u64),
    /// How long ago, as of packing, the latest heartbeat came; if it is not known: how long ago nobody could have
    /// answered it any more.
    pub silent_time: Micros,
    /// Time until the cloud takes it away, if that was announced.
    pub time_to_termination: Option<Micros>,
    /// How long it has been without a task, if it is.
    pub idle_time: Option<Micros>,
    /// Images that it is likely to have.
    pub images: Vec<u64>,
    /// Its tasks.
    pub tasks: Vec<TaskHandoff>,
}

/// A task on a handed machine.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TaskHandoff {
    /// Which start.
    pub key: TaskKey,
    /// What it takes, if its job's shard has said.
    pub resources: Option<Resources>,
    /// Priority of its job.
    pub priority: u8,
    /// Hash of its image's name.
    pub image: u64,
    /// Where it stands.
    pub phase: TaskPhase,
    /// What its job's shard wants.
    pub action: Option<DesiredAction>,
    /// Incarnation and number of the heartbeat with whose answer the start went out.
    pub sent_with_heartbeat: (u64, u64),
}
