//! Machine shard to job shard: the sender's machines, and the receiver's tasks on them.

use super::task::{TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// An attempt on one of the sender's machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// The attempt.
    pub key: TaskKey,
    /// Its phase.
    pub phase: TaskPhase,
}

/// Whether a machine's task list is complete.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum InventoryState {
    /// The machine may hold tasks that its machine shard has no record of.
    Unconfirmed,
    /// The machine's tasks are exactly those listed.
    Known,
    /// The machine has been removed for good, and its tasks with it.
    Gone,
}

/// A machine, with those of its tasks whose jobs the receiver leads. Durations are as of sending.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineStatus {
    /// The machine.
    pub name: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether the list of its tasks is complete.
    pub inventory_state: InventoryState,
    /// Whether new tasks may be placed on it.
    pub is_schedulable: bool,
    /// Time until the cloud terminates the machine, if the cloud has announced that.
    pub time_to_termination: Option<Micros>,
    /// Its free resources.
    pub free: Resources,
    /// Its capacity.
    pub total: Resources,
    /// Resources used at each priority, without tasks that are being stopped.
    pub used_by_priority: Vec<(u8, Resources)>,
    /// Hashes of the names of the images that are probably cached on it.
    pub images: Vec<u64>,
    /// Number of tasks, of any job, that are on it or accepted for it.
    pub task_count: u32,
    /// How long it has had no task; None if it has one.
    pub idle_time: Option<Micros>,
    /// Time since the latest heartbeat, if heartbeats were missed.
    pub silent_time: Option<Micros>,
    /// Its tasks whose jobs the receiver leads.
    pub tasks: Vec<ObservedTask>,
}

/// The sender's machines: everything that has changed since a sequence number.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct MachineStatusDelta {
    /// Increases with every change of a machine.
    pub sequence: u64,
    /// The sequence number held by the receiver to which the change applies; 0 if this is the full state.
    pub base_sequence: u64,
    /// The latest revision of the receiver's desired state that the sender had applied.
    pub revision_seen: u64,
    /// The machines that changed.
    pub machines: Vec<MachineStatus>,
}
