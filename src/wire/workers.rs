//! Forms that workers send and receive: heartbeats, commands, probes.

pub mod fencing_probe;
