//! The frame that every message travels in, and which frames make an older one superfluous.

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

/// The body of a frame. What the first version reads, up to `KeepAlive`, must keep its layout: it runs beside
/// this one during an upgrade. New kinds come behind, none larger than the largest of the first form, or all
/// would change. `tests/compat.rs` compares with what the first version wrote.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// Between job shards and machine shards, in both directions.
    State(DesiredState, MachineStatusDelta),
    /// Job shard to autoscaler: what can't be placed, and shapes of jobs seen of late (count 0).
    Demands(Vec<Demand>),
    /// Job shard to job shards: machines reserved for its waiting work.
    Reserve(Vec<Reservation>),
    /// Autoscaler to all: machines to take no new tasks for, and machines that the cloud has taken.
    ScalingPlan {
        /// Machines about to be given back.
        draining: Vec<String>,
        /// Machines whose scale-in the cloud has confirmed.
        removed: Vec<String>,
        /// Types (and whether spot) left to work of at least a priority, which fits nowhere else.
        reserved_classes: Vec<(String, bool, u8)>,
        /// Machines left to work of at least a priority.
        reserved_machines: Vec<(String, u8)>,
    },
    /// A user's request forwarded to the job's leader.
    ForwardRequest {
        /// The sender's number for it.
        id: u64,
        /// The request.
        request: UserRequest,
    },
    /// The leader's answer to it.
    ForwardResponse {
        /// The number it was asked under.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// To a machine shard: machines of its whose heartbeats came to the sender and were sent on.
    MisroutedHeartbeats(Vec<String>),
    /// Only what every frame says: epoch and clocks.
    KeepAlive,
    /// From form 2 on: to the leader of jobs that the sender's waiting jobs need, how urgent those are.
    /// Sent only to processes that read form 2: the others would drop the link.
    InheritedPriorities(Vec<(String, u8)>),
    /// From form 3 on: what the sender knew of jobs and machines that are the receiver's in this epoch and were the
    /// sender's in the one directly before it.
    Handoff {
        /// The sender's number for it.
        number: u64,
        /// What it holds.
        batch: HandoffBatch,
    },
    /// From form 3 on: the sender has these batches of the receiver's.
    HandoffAck(Vec<u64>),
    /// From form 3 on, to a replica: what the sender alone decides and alone carries out.
    ReplicateStarts {
        /// Grows with every such message.
        revision: u64,
        /// The receiver's state on which the change builds; 0: this is the whole state.
        base_revision: u64,
        /// Items that are new.
        added: Vec<ReplicatedItem>,
        /// Items that are no more.
        removed: Vec<ReplicatedItem>,
    },
    /// From form 3 on: the sender holds what that revision of the receiver's said.
    ReplicationAck(u64),
    /// From form 4 on, where operators have switched loans on: what the sender's jobs could lend, and what they lack.
    Lending(LendingReport),
}

/// What travels between controllers. Every frame also confirms to the receiver which epoch the
/// sender knows, and how much of the receiver's clock it has heard.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's number.
    pub from: u32,
    /// The epoch the sender has adopted.
    pub epoch: u64,
    /// Its members, by number.
    pub members: Vec<u32>,
    /// The sender's steady clock.
    pub clock: Micros,
    /// Which process the sender is.
    pub boot: u64,
    /// The latest clock reading of the receiver that the sender has had.
    pub echo: Micros,
    /// Which process of the receiver that reading came from: a restarted one may count anew.
    pub echo_boot: u64,
    /// The sequence of the receiver's machine status that the sender holds in this epoch; 0: none yet.
    pub sequence_seen: u64,
    /// The rest.
    pub body: Message,
}

impl Frame {
    /// The frame as bytes, with its length in front.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        transport::encode(self)
    }

    /// Reads the bytes behind the length; None if they are no valid frame.
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

    /// What holds all that changed since the state that its receiver confirmed covers what was said before it, and so
    /// does a list that is sent whole. Batches, requests, answers and misrouted heartbeats are said once.
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
            | (ScalingPlan { .. }, ScalingPlan { .. })
            | (_, KeepAlive) => true,
            _ => false,
        }
    }
}
