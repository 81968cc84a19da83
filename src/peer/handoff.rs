//! Leader in the previous epoch to its successor: hand-off of jobs and machines.

use super::desired_state::DesiredAction;
use super::replication::ReplicatedStarts;
use super::task::{TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// Jobs and machines that are handed over. The sender no longer sends commands for any of them.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct HandoffBatch {
    /// Jobs, for their new leader.
    pub jobs: Vec<JobHandoff>,
    /// Sets of machines that may hold tasks of the handed-over jobs that the sender has no record of.
    pub unresolved_sets: Vec<Vec<String>>,
    /// Machines, for their new leader.
    pub machines: Vec<MachineHandoff>,
    /// What former members had replicated to the sender.
    pub replicated_starts: Vec<ReplicatedStarts>,
    /// Machines led by the receiver that the cloud has certainly removed although pages of the machine registry still
    /// list them.
    pub removed_machines: Vec<String>,
}

/// A job, as known to its leader in the previous epoch.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobHandoff {
    /// The job.
    pub id: String,
    /// Its completed tasks as ranges, including those not stored in the state store yet.
    pub done: String,
    /// Attempts that may be on a machine.
    pub starts: Vec<StartHandoff>,
    /// Index of the batch's set of machines that may hold other tasks of the job; None if no machine does.
    pub unresolved_set: Option<u32>,
}

/// An attempt that may be on a machine or on its way there.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct StartHandoff {
    /// The task's number.
    pub index: u32,
    /// The attempt's number.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Its phase, if the machine shard has reported one.
    pub phase: Option<TaskPhase>,
}

/// A machine, as known to its leader in the previous epoch.
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
    /// The address at which its worker accepts direct commands.
    pub addr: String,
    /// Whether it is stored in the machine registry.
    pub on_record: bool,
    /// Whether the machine's tasks are exactly those listed here, some of them possibly still on their way in the
    /// response to the latest heartbeat.
    pub inventory_known: bool,
    /// Incarnation and sequence number of its latest heartbeat.
    pub last_heartbeat: (u64, u64),
    /// Time from the latest heartbeat to the packing of this batch. If the tasks are not known: time since the last
    /// moment at which another controller could have answered a heartbeat of the machine.
    pub silent_time: Micros,
    /// Time until the cloud terminates the machine, if the cloud has announced that.
    pub time_to_termination: Option<Micros>,
    /// How long it has had no task; None if it has one.
    pub idle_time: Option<Micros>,
    /// Hashes of the names of the images that are probably cached on it.
    pub images: Vec<u64>,
    /// Its tasks.
    pub tasks: Vec<TaskHandoff>,
}

/// A task on a machine that is handed over.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TaskHandoff {
    /// The attempt.
    pub key: TaskKey,
    /// The resources that it uses, if its job shard has reported them.
    pub resources: Option<Resources>,
    /// Priority of its job.
    pub priority: u8,
    /// Hash of its image's name.
    pub image: u64,
    /// Its phase.
    pub phase: TaskPhase,
    /// The job shard's desired state, if there is one.
    pub action: Option<DesiredAction>,
    /// Incarnation and sequence number of the heartbeat in whose response the start command was sent.
    pub sent_with_heartbeat: (u64, u64),
}
