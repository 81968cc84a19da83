//! hazelsaddle: a cluster scheduler. Three controllers take jobs from users, rent machines and
//! decide what runs where. `docs/design.md` tells how and why.

pub mod api;
pub mod commands;
pub mod daemon;
pub mod fleet;
pub mod guarantee;
pub mod jobs;
pub mod lending;
pub mod machines;
pub mod node;
pub mod operators;
pub mod peer;
pub mod placement;
pub mod ring;
pub mod roll;
pub mod settings;
pub mod spec;
pub mod store;
pub mod teams;
pub mod units;
pub mod views;
