//! What controllers say to one another: framed TCP, each message an `rkyv` archive that is validated on arrival.
//!
//! A message holds all that changed since the state that its receiver last confirmed, so a lost, repeated or overtaken
//! one costs a delay and nothing else. The modules are by sender and receiver.
//!
//! Controllers of several versions run beside each other during an upgrade: the order and the types of fields and
//! variants never change, and new ones come behind. Names are not in the bytes.

mod demand;
mod desired_state;
mod frame;
mod handoff;
mod machine_status;
mod replication;
mod scheduling;
mod task;
mod user_request;

pub use demand::Demand;
pub use desired_state::{DesiredAction, DesiredState, DesiredTask};
pub use frame::{Frame, Message};
pub use handoff::{HandoffBatch, JobHandoff, MachineHandoff, StartHandoff, TaskHandoff};
/// The links that carry frames.
pub use hazelsaddle_cluster::transport::{dial, enqueue, listen};
pub use machine_status::{InventoryState, MachineStatus, MachineStatusDelta, ObservedTask};
pub use replication::{ReplicatedItem, ReplicatedStarts};
pub use scheduling::{LendableJob, LendableTask, LendingReport, Reservation};
pub use task::{TaskExit, TaskKey, TaskPhase};
pub use user_request::{Reply, UserRequest};

#[cfg(test)]
mod tests;
