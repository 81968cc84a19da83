//! Machine shard to job shard: the sender's machines, and the receiver's tasks on them.

use super::task::{TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// A start on a machine of the sender's.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// Which start.
    pub key: TaskKey,
    /// Where it stands.
    pub phase: TaskPhase,
}

/// Whether a machine's task list is complete.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum InventoryState {
    /// It may hold tasks that its shard doesn't know of.
    Unconfirmed,
    /// Its tasks are exactly those listed.
    Known,
    /// It is gone for good, with all its tasks.
    Gone,
}

/// A machine, with those of its tasks whose jobs the receiver leads. Spans are as of sending.
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
    /// Whether it takes new tasks.
    pub is_schedulable: bool,
    /// Time until the cloud takes it away, if that was announced.
    pub time_to_termination: Option<Micros>,
    /// What is free of it.
    pub free: Resources,
    /// All that it has.
    pub total: Resources,
    /// What is taken by tasks of each priority that aren't being stopped.
    pub used_by_priority: Vec<(u8, Resources)>,
    /// Images that it is likely to have, by the hashes of their names.
    pub images: Vec<u64>,
    /// How many tasks of any job are on it or accepted for it.
    pub task_count: u32,
    /// How long it has been without a task, if it is.
    pub idle_time: Option<Micros>,
    /// How long it has been silent, if it missed heartbeats.
    pub silent_time: Option<Micros>,
    /// The receiver's tasks on it.
    pub tasks: Vec<ObservedTask>,
}

/// The sender's machines: all that changed since a state.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct MachineStatusDelta {
    /// Grows with every change of a machine.
    pub sequence: u64,
    /// The receiver's state on which the change builds; 0: this is the whole state.
    pub base_sequence: u64,
    /// The latest revision of the receiver's desired state that this state takes account of.
    pub revision_seen: u64,
    /// The machines that changed.
    pub machines: Vec<MachineStatus>,
}
