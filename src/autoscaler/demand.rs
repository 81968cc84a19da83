//! Demand: the work that job shards cannot place for want of machines, and the shapes of work seen of late.

use crate::peer::Demand;
use crate::units::{Micros, Resources};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How long a job shard's word counts. Shards repeat it several times a second.
const DEMAND_TTL: Micros = Micros::from_millis(3_000);

impl Demand {
    /// Whether machines of this type will do.
    pub(super) fn accepts_kind(&self, kind: &str) -> bool {
        self.machine_types.is_empty() || self.machine_types.iter().any(|allowed| allowed == kind)
    }

    /// Whether machines of this type, zone and market will do.
    pub(super) fn accepts(&self, kind: &str, zone: &str, spot: bool) -> bool {
        self.accepts_kind(kind)
            && self.zone.as_ref().is_none_or(|only| only == zone)
            && spot <= self.spot_allowed
    }

    /// Whether this work may queue for a while before a machine is worth adding for it.
    pub(super) fn may_queue(&self) -> bool {
        self.max_queue_time.0 > 0 && self.estimated_run_time.0 > 0
    }
}

/// What one job shard said last.
struct MemberDemand {
    received_at: Micros,
    demands: Vec<Demand>,
}

/// What queueable work is like of late.
#[derive(Clone, Copy)]
pub(super) struct TypicalTask {
    /// What a task takes.
    pub(super) resources: Resources,
    /// How long it runs.
    pub(super) run_time: Micros,
    /// How long it may queue.
    pub(super) horizon: Micros,
}

/// All job shards' demand.
#[derive(Default)]
pub(super) struct DemandBook {
    by_member: BTreeMap<usize, MemberDemand>,
    /// None until there was queueable work.
    pub(super) typical: Option<TypicalTask>,
}

impl DemandBook {
    /// Takes what a member's job shard says, in place of what it said before.
    pub(super) fn record(&mut self, now: Micros, member: usize, demands: Vec<Demand>) {
        self.by_member.insert(member, MemberDemand { received_at: now, demands });
    }

    /// Forgets what was said; what is typical stays.
    pub(super) fn clear(&mut self) {
        self.by_member.clear();
    }

    /// Whether all of these members have spoken.
    pub(super) fn has_all(&self, members: &[usize]) -> bool {
        members.iter().all(|member| self.by_member.contains_key(member))
    }

    /// What was said of late, the most urgent first.
    pub(super) fn fresh(&self, now: Micros) -> Vec<Demand> {
        let fresh = self.by_member.values().filter(|said| now.since(said.received_at) < DEMAND_TTL);
        let mut demands: Vec<Demand> = fresh.flat_map(|said| said.demands.iter().cloned()).collect();
        demands.sort_by_key(|demand| (Reverse(demand.priority), demand.max_queue_time));
        demands
    }

    /// Moves the averages of queueable work towards these demands.
    pub(super) fn update_typical(&mut self, demands: &[Demand]) {
        for demand in demands.iter().filter(|demand| demand.may_queue()) {
            let typical = self.typical.get_or_insert(TypicalTask {
                resources: demand.resources_per_task,
                run_time: demand.estimated_run_time,
                horizon: demand.max_queue_time,
            });
            typical.run_time = Micros((typical.run_time.0 * 7 + demand.estimated_run_time.0) / 8);
            typical.horizon = Micros((typical.horizon.0 * 63 / 64).max(demand.max_queue_time.0));
        }
    }
}
