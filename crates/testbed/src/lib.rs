//! A model of the systems that hazelsaddle serves: the state service, the cloud and workers, over real HTTP on
//! loopback as PROTOCOL describes them, with faults on command. Experiments run real controllers and log stores
//! against it and say what came of it.
//!
//! It is a test bench, not a product: gangs are run like arrays, and nothing here is tuned.

pub mod batches;
pub mod cloud;
pub mod experiment;
pub mod http;
pub mod local_cluster;
pub mod measure;
pub mod releases;
pub mod state;
pub mod worker;
pub mod workload;
