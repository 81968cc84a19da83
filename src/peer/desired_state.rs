//! Job shard to machine shard: the starts that are wanted on the receiver's machines.

use super::task::TaskKey;
use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// What a job shard wants of a start that it has placed.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredAction {
    /// Hold room for it, don't start it yet (gangs).
    Hold,
    /// Start it.
    Run,
    /// It was seen on the machine: keep it, never start it anew.
    Keep,
    /// Stop it, giving it this long to save its progress.
    Stop(Micros),
    /// Its end is on record: let the agent forget it.
    Forget,
}

/// A start that a job shard has placed on a machine of the receiver's.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DesiredTask {
    /// Which start.
    pub key: TaskKey,
    /// On which machine.
    pub machine: String,
    /// What it takes.
    pub resources: Resources,
    /// What is wanted.
    pub action: DesiredAction,
    /// Effective priority of the job, higher first.
    pub priority: u8,
    /// Hash of the image's name.
    pub image: u64,
}

/// What the sender wants on the receiver's machines: all that changed since a revision.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Grows with every such message.
    pub revision: u64,
    /// The receiver's state on which the change builds; 0: this is the whole state.
    pub base_revision: u64,
    /// The starts that are new or changed.
    pub tasks: Vec<DesiredTask>,
    /// The starts no longer wanted, by machine.
    pub removed: Vec<(String, TaskKey)>,
}
