//! Heartbeats of machines that another controller leads. Their leader is informed, since it may receive no heartbeats
//! at all and treat the machines as unresponsive.

use crate::wire::workers::HeartbeatId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of machines that are reported to their leader at a time.
const MAX_REPORTED_MACHINES: usize = 50;

/// The heartbeats of one machine that arrived here.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    count: u32,
    last: HeartbeatId,
}

/// The machines of one other controller whose heartbeats arrived here in this epoch.
#[derive(Clone, Debug, Default)]
pub struct MisroutedHeartbeats {
    arrivals: BTreeMap<String, Arrivals>,
    unreported: BTreeSet<String>,
}

impl MisroutedHeartbeats {
    /// Records that a machine's heartbeat arrived here and was redirected to the machine's leader. If that leader has
    /// responded to the machine in this epoch (`was_answered`), the heartbeat should have gone there; otherwise the
    /// worker may not have had the leader's address the first time. `id` identifies the heartbeat: a copy of an older
    /// one is ignored.
    pub fn record(&mut self, machine: &str, id: HeartbeatId, was_answered: bool) {
        let arrivals = self.arrivals.entry(machine.to_owned()).or_default();
        if id <= arrivals.last {
            return;
        }
        *arrivals = Arrivals { count: arrivals.count + 1, last: id };
        if (was_answered || arrivals.count > 1) && self.unreported.len() < MAX_REPORTED_MACHINES {
            self.unreported.insert(machine.to_owned());
        }
    }

    /// Returns the machines to report to their leader; each is returned once per recorded heartbeat.
    #[must_use]
    pub fn take_unreported(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
