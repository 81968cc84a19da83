//! Job shard to machine shard: the desired state of task attempts on the receiver's machines.

use super::task::TaskKey;
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// The desired state of an attempt that a job shard has placed.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredAction {
    /// Reserve its resources but don't start it yet (gangs).
    Hold,
    /// Start it.
    Run,
    /// Keep an attempt that was observed on the machine, but never start it again.
    Keep,
    /// Stop it, with this much time to save its progress.
    Stop(Micros),
    /// Tell the worker to drop it, because its end has been stored.
    Forget,
}

/// An attempt that a job shard has placed on one of the receiver's machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DesiredTask {
    /// The attempt.
    pub key: TaskKey,
    /// The machine.
    pub machine: String,
    /// The resources that it uses.
    pub resources: Resources,
    /// The desired state.
    pub action: DesiredAction,
    /// Effective priority of the job, higher first.
    pub priority: u8,
    /// Hash of the container image's name.
    pub image: u64,
}

/// The sender's desired state on the receiver's machines: everything that has changed since a revision.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Increases with every such message.
    pub revision: u64,
    /// The revision held by the receiver to which the change applies; 0 if this is the full state.
    pub base_revision: u64,
    /// The attempts that are new or changed.
    pub tasks: Vec<DesiredTask>,
    /// The attempts that are no longer desired, each with its machine.
    pub removed: Vec<(String, TaskKey)>,
}
