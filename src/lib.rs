//! hazelsaddle: a cluster scheduler. Three controllers accept jobs from users, rent machines and place tasks on them.
//! `docs/architecture.md` describes the components, `docs/design.md` the reasons for the design.

pub mod autoscaler;
pub mod cli;
pub mod config;
pub mod controller;
pub mod job_shard;
pub mod machine_registry;
pub mod machine_shard;
pub mod machine_view;
pub mod membership;
pub mod peer;
pub mod quota;
pub mod scheduler;
pub mod server;
pub mod spec;
pub mod state_store;
pub mod units;
pub mod wire;
