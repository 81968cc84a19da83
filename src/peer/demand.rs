//! Job shard to autoscaler: work that finds no machine.

use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// Tasks of one shape that a job shard can't place for want of machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Demand {
    /// What one takes.
    pub resources_per_task: Resources,
    /// Allowed machine types; empty: any.
    pub machine_types: Vec<String>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All of a gang must be in one zone.
    pub one_zone: bool,
    /// Whether spot machines will do.
    pub spot_allowed: bool,
    /// How many. 0: none waits, but such work was seen of late.
    pub count: u32,
    /// Estimated run time of one.
    pub estimated_run_time: Micros,
    /// Priority, higher first.
    pub priority: u8,
    /// How long this work may queue before a machine is worth adding for it; 0: it should start at once.
    pub max_queue_time: Micros,
    /// How many must run at the same time: a gang's size, otherwise one.
    pub gang_size: u32,
}
