//! Leader to replica: starts that are replicated before they take effect, because the same controller decides and carries
//! them out; and a replica's word to the successor once that controller is gone.

use super::task::TaskKey;
use rkyv::{Archive, Deserialize, Serialize};

/// What would be lost with a controller that leads both a job and the machine that runs it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub enum ReplicatedItem {
    /// Every start of this job that may be alive on the sender's own machines is among the items.
    Job(String),
    /// A start that may be on a machine.
    Start {
        /// Which start.
        key: TaskKey,
        /// The machine.
        machine: String,
        /// Its zone.
        zone: String,
    },
}

/// What a replica that was a member of the epoch before heard of a member that is not one any more.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ReplicatedStarts {
    /// The one that is not a member any more.
    pub former_member: u32,
    /// The last epoch of which it was a member.
    pub last_epoch: u64,
    /// That epoch's members. Only together do they hold all that was replicated.
    pub members: Vec<u32>,
    /// The epoch in which the sender last heard of it, 0: never.
    pub last_contact_epoch: u64,
    /// That epoch's members.
    pub last_contact_members: Vec<u32>,
    /// The epoch from which on the sender has adopted every one, and in each of which starts had to be replicated.
    pub adopted_since: u64,
    /// What was heard of jobs that the receiver leads now.
    pub items: Vec<ReplicatedItem>,
    /// Jobs that the sender accepted in that last epoch in its place: nobody can have started them before.
    pub accepted_jobs: Vec<String>,
}
