//! hazelsaddle: a cluster scheduler. Three controllers take jobs from users, rent machines and
//! decide what runs where. `docs/design.md` tells how and why.

pub mod api;
pub mod autoscaler;
pub mod commands;
pub mod controller;
pub mod daemon;
pub mod job_shard;
pub mod lending;
pub mod machine_registry;
pub mod machine_shard;
pub mod machine_view;
pub mod membership;
pub mod operators;
pub mod peer;
pub mod quota;
pub mod scheduler;
pub mod settings;
pub mod spec;
pub mod state_store;
pub mod units;
