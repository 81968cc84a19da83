//! Failover: what a controller that takes jobs and machines over must wait for, and how what the leader before it knew
//! reaches it.
//!
//! [`unresolved`] keeps, for the jobs that a controller has taken over, the machines that may hold tasks of theirs that it
//! does not know of. [`handoff_batch`] delivers what a living controller hands to the next leader: numbered, repeated until
//! it is acknowledged, void with the epoch that it belongs to. [`start_replication`] replicates what a controller alone knows to
//! others before it has effect. All are pure: no clock, no sockets; times are passed in. What a batch holds is the daemon's
//! business, and so is the argument for trusting it (`docs/takeovers.md`).

pub mod handoff_batch;
pub mod start_replication;
pub mod unresolved;
