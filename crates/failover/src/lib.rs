//! Failover: what a controller that takes over jobs and machines must wait for, and how the state of their former
//! leader reaches it.
//!
//! [`unresolved`] keeps, for the jobs that a controller has taken over, the machines that may hold tasks of them of
//! which it has received no information. [`handoff_batch`] delivers the batches that a controller sends to the next
//! leader: numbered, repeated until acknowledged, and valid only in their epoch. [`start_replication`] replicates
//! information that only one controller has to others before it takes effect. None of them reads a clock or does I/O:
//! the current time is a parameter. The daemon defines what a batch contains; `docs/takeovers.md` explains why it can
//! be trusted.

pub mod handoff_batch;
pub mod start_replication;
pub mod unresolved;
