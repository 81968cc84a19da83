//! The frame around every message, and the rule for which frames replace an older one in a send queue.

use super::demand::Demand;
use super::desired_state::DesiredState;
use super::handoff::HandoffBatch;
use super::machine_status::MachineStatusDelta;
use super::replication::ReplicatedItem;
use super::scheduling::{LendingReport, Reservation};
use super::user_request::{Reply, UserRequest};
use crate::units::Micros;
use hazelsaddle_cluster::transport::{self, Framed};
use rkyv::{Archive, Deserialize, Serialize};

/// The body of a frame. The variants up to `KeepAlive` are those of format version 1 and must keep their layout,
/// because controllers of that version run beside this one during an upgrade. New variants are appended. None may be
/// larger than the largest of format version 1, or the layout of all would change. `tests/compat.rs` compares the
/// encoding with what version 1 wrote.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// Between job shards and machine shards, in both directions.
    State(DesiredState, MachineStatusDelta),
    /// Job shard to autoscaler: the tasks that can't be placed, and the task shapes seen recently (count 0).
    Demands(Vec<Demand>),
    /// Job shard to the other job shards: the machines that the sender reserves for its waiting work.
    Reserve(Vec<Reservation>),
    /// Autoscaler to all controllers: draining, removed and reserved machines.
    ScalingPlan {
        /// Machines that must not get new tasks because they are about to be removed.
        draining: Vec<String>,
        /// Machines whose scale-in the cloud has confirmed.
        removed: Vec<String>,
        /// Reserved classes of machines (machine type, whether spot), each with the lowest priority that may use it.
        reserved_classes: Vec<(String, bool, u8)>,
        /// Reserved machines, each with the lowest priority that may use it.
        reserved_machines: Vec<(String, u8)>,
    },
    /// A user's request forwarded to the job's leader.
    ForwardRequest {
        /// The sender's id for the request.
        id: u64,
        /// The request.
        request: UserRequest,
    },
    /// The leader's answer to a forwarded request.
    ForwardResponse {
        /// The id of the request.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// To a machine shard: those of its machines whose heartbeats were sent to the sender of this message, which
    /// redirected them.
    MisroutedHeartbeats(Vec<String>),
    /// Carries only the epoch and the clocks that are in every frame.
    KeepAlive,
    /// Since format version 2: to the leader of the dependencies of the sender's waiting jobs, the priorities that
    /// these dependencies inherit. Sent only to processes that can read version 2; others would close the
    /// connection.
    InheritedPriorities(Vec<(String, u8)>),
    /// Since format version 3: hand-off of jobs and machines that the sender led in the previous epoch and the receiver
    /// leads in this one.
    Handoff {
        /// The sender's number for the batch.
        number: u64,
        /// The jobs and machines.
        batch: HandoffBatch,
    },
    /// Since format version 3: acknowledges the receiver's hand-off batches with these numbers.
    HandoffAck(Vec<u64>),
    /// Since format version 3, to a replica: the attempts for which the sender leads both the job and the machine, so
    /// that no other controller has a record of them.
    ReplicateStarts {
        /// Increases with every such message.
        revision: u64,
        /// The revision held by the receiver to which the change applies; 0 if this is the full state.
        base_revision: u64,
        /// New items.
        added: Vec<ReplicatedItem>,
        /// Items that no longer apply.
        removed: Vec<ReplicatedItem>,
    },
    /// Since format version 3: acknowledges that the sender holds the receiver's replicated state at this revision.
    ReplicationAck(u64),
    /// Since format version 4, if operators have enabled GPU lending: which GPUs the sender's jobs could lend, and
    /// which resources they lack.
    Lending(LendingReport),
    /// Since format version 6: jobs that are cancelled for good, all that the receiver has not acknowledged. Each is on
    /// record as cancelled, or follows one that is.
    CancelledJobs(Vec<String>),
    /// Since format version 6: acknowledges that the sender knows that these jobs are cancelled.
    CancelledJobsAck(Vec<String>),
}

/// The unit of communication between controllers. Beside the message, every frame tells the receiver which epoch the
/// sender has adopted and the latest reading of the receiver's clock that the sender has received.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's member number.
    pub from: u32,
    /// The epoch the sender has adopted.
    pub epoch: u64,
    /// The member numbers of that epoch.
    pub members: Vec<u32>,
    /// The sender's monotonic clock.
    pub clock: Micros,
    /// Boot ID of the sender's process; it changes with a restart.
    pub boot: u64,
    /// The latest reading of the receiver's clock that the sender has received.
    pub echo: Micros,
    /// Boot ID of the receiver's process that sent this reading. After a restart the clock may begin again.
    pub echo_boot: u64,
    /// The sequence of the receiver's machine status that the sender holds in this epoch; 0 if it holds none yet.
    pub sequence_seen: u64,
    /// The message.
    pub body: Message,
}

impl Frame {
    /// Encodes the frame, preceded by its length.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        transport::encode(self)
    }

    /// Decodes the bytes after the length; None if they are not a valid frame.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        transport::decode(bytes)
    }
}

impl Framed for Frame {
    fn encode(&self) -> Option<Vec<u8>> {
        Frame::encode(self)
    }

    fn decode(bytes: &[u8]) -> Option<Frame> {
        Frame::decode(bytes)
    }

    /// A message with everything that has changed since the state confirmed by the receiver replaces an older one,
    /// and so does a message with a complete list. Hand-off batches and their acknowledgements, requests, answers and
    /// misrouted heartbeats are sent only once, so they are never replaced.
    fn replaces(&self, older: &Frame) -> bool {
        use Message::*;
        if self.boot != older.boot || self.epoch < older.epoch {
            return false;
        }
        let is_newer_epoch = self.epoch > older.epoch;
        match (&self.body, &older.body) {
            (State(desired, status), State(older_desired, older_status)) => {
                let is_newer =
                    desired.revision >= older_desired.revision && status.sequence >= older_status.sequence;
                is_newer_epoch || is_newer
            }
            (ReplicateStarts { revision, .. }, ReplicateStarts { revision: older_revision, .. })
            | (ReplicationAck(revision), ReplicationAck(older_revision)) => {
                is_newer_epoch || revision >= older_revision
            }
            (Demands(_), Demands(_))
            | (Reserve(_), Reserve(_))
            | (InheritedPriorities(_), InheritedPriorities(_))
            | (CancelledJobs(_), CancelledJobs(_))
            | (ScalingPlan { .. }, ScalingPlan { .. })
            | (_, KeepAlive) => true,
            _ => false,
        }
    }
}
