//! hazelsaddle: a cluster scheduler. Three controllers take jobs from users, rent machines and
//! decide what runs where. `docs/architecture.md` shows the parts, `docs/design.md` why they are as they are.

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
