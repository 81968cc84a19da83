//! The protocol between controllers: length-prefixed frames over TCP. Each frame is an `rkyv` archive that the receiver
//! validates.
//!
//! State messages hold everything that has changed since the state that the receiver last confirmed, so losing,
//! repeating or reordering them causes only a delay. There is one module per pair of sender and receiver.
//!
//! Controllers of different versions run side by side during an upgrade. The order and the types of fields and variants
//! therefore never change, and new ones are appended. Names are not encoded and may change.

mod demand;
mod desired_state;
mod frame;
mod handoff;
mod machine_status;
mod refusal;
mod replication;
mod scheduling;
mod task;
mod user_request;

pub use demand::Demand;
pub use desired_state::{DesiredAction, DesiredState, DesiredTask};
pub use frame::{Frame, Message};
pub use handoff::{HandoffBatch, JobHandoff, MachineHandoff, StartHandoff, TaskHandoff};
/// The TCP connections that carry frames.
pub use hazelsaddle_cluster::transport::{dial, enqueue, listen};
pub use machine_status::{InventoryState, MachineStatus, MachineStatusDelta, ObservedTask};
pub use refusal::Refusal;
pub use replication::{ReplicatedItem, ReplicatedStarts};
pub use scheduling::{LendableJob, LendableTask, LendingReport, Reservation};
pub use task::{TaskExit, TaskKey, TaskPhase};
pub use user_request::{Reply, UserRequest};

#[cfg(test)]
mod tests;
