//! Keeps what tasks write: every line of output and every file, findable by job, task and attempt, readable while
//! the task runs, whatever dies. `docs/logs.md` weighs the ways and argues why an acknowledged line survives.
//!
//! - `segment_store` is what one store holds: segments on a `disk`, and the `index` over them.
//!
//! Nothing in those reads a clock; times come in as arguments.

pub mod chunk;
pub mod cli;
pub mod client;
pub mod config;
pub mod disk;
pub mod index;
pub mod key;
pub mod limits;
pub mod members;
pub mod reader;
pub mod replica;
pub mod segment;
pub mod segment_store;
pub mod serve;
pub mod shipper;
pub mod sketch;
pub mod spool;
pub mod wire;
