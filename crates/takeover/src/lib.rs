//! Taking jobs and machines over: what the new owner must wait for, and how what the one before it knew reaches it.
//!
//! [`doubts`] keeps, for the jobs that a controller has taken over, the machines that may hold tasks of theirs that it
//! does not know of. [`parcels`] delivers what a living controller hands to the next one: numbered, repeated until it is
//! acknowledged, void with the epoch that it belongs to. [`witness`] tells others what a controller would take with it,
//! before it has effect. All are pure: no clock, no sockets; times are passed in. What
//! a parcel holds is the daemon's business, and so is the argument for trusting it (`docs/takeovers.md`).

pub mod doubts;
pub mod parcels;
pub mod witness;
