//! Scheduling decisions that need neither a clock nor input or output.
//!
//! Everything here is a function of what it is given: the jobs' specifications and the machines as their leaders describe
//! them. Who asks owns the state.

pub mod placement;
pub mod reservations;
pub mod run_times;
