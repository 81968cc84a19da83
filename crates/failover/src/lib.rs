//! Taking jobs and machines over: what the new owner must wait for, and how what the one before it knew reaches it.
//!
//! [`unresolved`] keeps, for the jobs that a controller has taken over, the machines that may hold tasks of theirs that it
//! does not know of. [`handoff_batch`] delivers what a living controller hands to the next one: numbered, repeated until it is
//! acknowledged, void with the epoch that it belongs to. [`start_replica`] tells others what a controller would take with it,
//! before it has effect. All are pure: no clock, no sockets; times are passed in. What
//! a parcel holds is the daemon's business, and so is the argument for trusting it (`docs/takeovers.md`).

pub mod handoff_batch;
pub mod start_replica;
pub mod unresolved;
