//! Job shard to autoscaler: work for which there is no machine.

use crate::units::{Micros, Resources};
use rkyv::{Archive, Deserialize, Serialize};

/// Tasks of one shape that a job shard can't place because machines are missing.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Demand {
    /// Resources of one task.
    pub resources_per_task: Resources,
    /// Allowed machine types; empty if any is allowed.
    pub machine_types: Vec<String>,
    /// The only allowed zone, if there is one.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether spot machines are allowed.
    pub spot_allowed: bool,
    /// Number of waiting tasks. 0 if none waits but such work was seen recently.
    pub count: u32,
    /// Estimated run time of one task.
    pub estimated_run_time: Micros,
    /// Priority, higher first.
    pub priority: u8,
    /// How long this work may queue before a machine is added for it; 0 if it should start immediately.
    pub max_queue_time: Micros,
    /// How many tasks must run at the same time: the gang's size, otherwise 1.
    pub gang_size: u32,
}
