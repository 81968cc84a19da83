//! Machines of another controller whose workers turn up here: their leader is told, since it may hear no worker at all and
//! not know that they live.

use crate::wire::workers::HeartbeatId;
use std::collections::{BTreeMap, BTreeSet};

/// Machines named to their leader at a time.
const NAMED_AT_A_TIME: usize = 50;

/// How often a machine's worker came here.
#[derive(Clone, Copy, Debug, Default)]
struct Visits {
    count: u32,
    last: HeartbeatId,
}

/// The machines of one other controller that turned up here in this epoch.
#[derive(Clone, Debug, Default)]
pub struct MisroutedHeartbeats {
    visits: BTreeMap<String, Visits>,
    unreported: BTreeSet<String>,
}

impl MisroutedHeartbeats {
    /// A machine's worker came here and was sent on to its leader. If its leader has answered it in this epoch
    /// (`was_answered`) it should be there; otherwise it may not have known better the first time. A copy of an older
    /// heartbeat is no visit: `id` says which of its messages this one is.
    pub fn record(&mut self, machine: &str, id: HeartbeatId, was_answered: bool) {
        let visits = self.visits.entry(machine.to_owned()).or_default();
        if id <= visits.last {
            return;
        }
        *visits = Visits { count: visits.count + 1, last: id };
        if (was_answered || visits.count > 1) && self.unreported.len() < NAMED_AT_A_TIME {
            self.unreported.insert(machine.to_owned());
        }
    }

    /// The machines to name to their leader; each is returned once a visit.
    #[must_use]
    pub fn take_unreported(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }
}

#[cfg(test)]
mod tests;
