//! Demand: the work that job shards cannot place because machines are missing, and the task shapes seen recently.

use crate::peer::Demand;
use crate::units::{Micros, Resources};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How long a job shard's report is valid. Shards repeat it several times a second.
const DEMAND_TTL: Micros = Micros::from_millis(3_000);

impl Demand {
    /// Whether the work may run on machines of this type.
    pub(super) fn can_run_on_type(&self, machine_type: &str) -> bool {
        self.machine_types.is_empty() || self.machine_types.iter().any(|allowed| allowed == machine_type)
    }

    /// Whether the work may run on machines of this type in this zone, spot or on-demand.
    pub(super) fn can_run_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.can_run_on_type(machine_type)
            && self.zone.as_ref().is_none_or(|only| only == zone)
            && spot <= self.spot_allowed
    }

    /// Whether the work may queue for some time before a machine is added for it.
    pub(super) fn can_queue(&self) -> bool {
        self.max_queue_time.0 > 0 && self.estimated_run_time.0 > 0
    }
}

/// The latest report of one job shard.
struct MemberDemand {
    received_at: Micros,
    demands: Vec<Demand>,
}

/// Averages of recent queueable work.
#[derive(Clone, Copy)]
pub(super) struct TypicalTask {
    /// Resources of one task.
    pub(super) resources: Resources,
    /// Run time of one task.
    pub(super) run_time: Micros,
    /// How long the work may queue.
    pub(super) max_queue_time: Micros,
}

/// The demand of all job shards.
#[derive(Default)]
pub(super) struct DemandReports {
    by_member: BTreeMap<usize, MemberDemand>,
    /// None until there has been queueable work.
    pub(super) typical: Option<TypicalTask>,
}

impl DemandReports {
    /// Records the report of a member's job shard. It replaces the shard's previous report.
    pub(super) fn record(&mut self, now: Micros, member: usize, demands: Vec<Demand>) {
        self.by_member.insert(member, MemberDemand { received_at: now, demands });
    }

    /// Discards all reports but keeps the averages.
    pub(super) fn clear(&mut self) {
        self.by_member.clear();
    }

    /// Whether the job shards of all these members have reported.
    pub(super) fn has_all(&self, members: &[usize]) -> bool {
        members.iter().all(|member| self.by_member.contains_key(member))
    }

    /// The demands of all reports that are still valid, the most urgent first.
    pub(super) fn fresh(&self, now: Micros) -> Vec<Demand> {
        let fresh = self.by_member.values().filter(|report| now.since(report.received_at) < DEMAND_TTL);
        let mut demands: Vec<Demand> = fresh.flat_map(|report| report.demands.iter().cloned()).collect();
        demands.sort_by_key(|demand| (Reverse(demand.priority), demand.max_queue_time));
        demands
    }

    /// Updates the moving averages of queueable work with these demands.
    pub(super) fn update_typical(&mut self, demands: &[Demand]) {
        for demand in demands.iter().filter(|demand| demand.can_queue()) {
            let typical = self.typical.get_or_insert(TypicalTask {
                resources: demand.resources_per_task,
                run_time: demand.estimated_run_time,
                max_queue_time: demand.max_queue_time,
            });
            typical.run_time = Micros((typical.run_time.0 * 7 + demand.estimated_run_time.0) / 8);
            typical.max_queue_time =
                Micros((typical.max_queue_time.0 * 63 / 64).max(demand.max_queue_time.0));
        }
    }
}
