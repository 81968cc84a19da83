//! Scheduling decisions as pure functions, without a clock or I/O.
//!
//! All results depend only on the arguments: the jobs' specifications, and the machines as their leaders
//! report them. The callers own the state.

pub mod placement;
pub mod reservations;
pub mod run_times;
