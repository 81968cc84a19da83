//! Leader to replica: attempts that are replicated before their start commands are sent, because the same controller
//! leads the job and the machine. Replica to the new leader: what a controller had replicated before it left the
//! epoch.

use super::task::TaskKey;
use rkyv::{Archive, Deserialize, Serialize};

/// State that would be lost with a controller that leads both a job and the machine that runs it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub enum ReplicatedItem {
    /// States that the items include every attempt of this job that may be alive on the sender's own machines.
    Job(String),
    /// An attempt that may be on a machine.
    Start {
        /// The attempt.
        key: TaskKey,
        /// The machine.
        machine: String,
        /// The machine's zone.
        zone: String,
    },
}

/// Report of a replica, a member of the previous epoch, on what a former member had replicated to it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ReplicatedStarts {
    /// The member number of the former member.
    pub former_member: u32,
    /// The last epoch of which it was a member.
    pub last_epoch: u64,
    /// The members of that epoch. Everything replicated is known only from the reports of all of them together.
    pub members: Vec<u32>,
    /// The epoch in which the sender last received replicated state from the former member; 0 if it never did.
    pub last_contact_epoch: u64,
    /// The members of the epoch `last_contact_epoch`.
    pub last_contact_members: Vec<u32>,
    /// The first epoch of the unbroken series of epochs that the sender has adopted and in which attempts had to be
    /// replicated before they started.
    pub adopted_since: u64,
    /// The replicated items of jobs that the receiver leads now.
    pub items: Vec<ReplicatedItem>,
    /// Jobs that the sender accepted during `last_epoch` on behalf of the former member, so no attempt of them can have
    /// started before.
    pub accepted_jobs: Vec<String>,
}
