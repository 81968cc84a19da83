//! Flap damping: a controller that joins the ring repeatedly is kept out of it for a while.
//!
//! Every join costs all controllers an epoch change, and another one when the controller disappears. A
//! controller that has joined often recently therefore stays out of the ring, longer each time, and forwards
//! users' requests meanwhile. The number of joins must survive the process, so it is kept in the epoch
//! record, which every join writes anyway: no extra writes are needed. Versions without flap damping drop the
//! list, and then no controller is held back. Flap damping never removes a current member.

use super::*;

/// Number of joins within [`join_lifetime`] before a controller is held back. A single restart must not cause
/// a delay.
const UNPENALIZED_JOINS: u32 = 3;
/// Maximum number of joins listed in the epoch record.
const MAX_LISTED_JOINS: usize = 24;
/// Key of the list in the epoch record.
const JOINS_KEY: &str = "came";
/// How long a new process waits for a frame of a member before it concludes that there is none.
const MEMBER_DISCOVERY_TIMEOUT: Micros = Micros::from_millis(1500);

/// What is known about joins of the controllers.
#[derive(Default)]
pub(super) struct FlapDamping {
    /// When this process started.
    started_at: Option<Micros>,
    /// The controllers that joined recently, and when: seconds by the wall clock of the controller that
    /// raised the epoch.
    joins: Vec<(String, u64)>,
    /// Whether our member key requests no membership because of flap damping.
    out_of_ring: bool,
}

/// How long a join counts.
fn join_lifetime(settings: &Settings) -> Micros {
    Micros(settings.member_lease.0 * 10)
}

impl FlapDamping {
    /// Reads the list from the epoch record. An unreadable list holds no controller back.
    pub(super) fn read(&mut self, record: &Value) {
        let list = record.get(JOINS_KEY).cloned().unwrap_or(Value::Null);
        self.joins = serde_json::from_value(list).unwrap_or_default();
    }

    /// Writes the list to the next epoch's record, with the controllers that join in it.
    pub(super) fn write(
        &self,
        settings: &Settings,
        wall: Micros,
        old: &EpochRecord,
        next: &EpochRecord,
        record: &mut Value,
    ) {
        let now_s = wall.0 / 1_000_000;
        // Wall clocks differ and may be adjusted: joins far in the future are ignored like those far in the
        // past.
        let is_recent =
            |join: &&(String, u64)| join.1.abs_diff(now_s) < join_lifetime(settings).0 / 1_000_000;
        let mut joins: Vec<(String, u64)> = self.joins.iter().filter(is_recent).cloned().collect();
        joins.extend(
            next.members
                .iter()
                .filter(|member| !old.members.contains(member))
                .map(|member| (member.0.clone(), now_s)),
        );
        joins.drain(..joins.len().saturating_sub(MAX_LISTED_JOINS));
        if !joins.is_empty() {
            record[JOINS_KEY] = json!(joins);
        }
    }

    /// How long this process must stay out of the ring, by its number of recent joins.
    fn pause(&self, settings: &Settings, wall: Micros) -> Micros {
        let now_s = wall.0 / 1_000_000;
        let is_recent_own_join = |join: &&(String, u64)| {
            join.0 == settings.member && join.1.abs_diff(now_s) < join_lifetime(settings).0 / 1_000_000
        };
        match (self.joins.iter().filter(is_recent_own_join).count() as u32).checked_sub(UNPENALIZED_JOINS) {
            None => Micros(0),
            Some(excess_joins) => {
                Micros(settings.member_lease.0 << excess_joins.min(8)).min(join_lifetime(settings))
            }
        }
    }

    /// Whether our member key requests no membership because of flap damping.
    pub(super) fn is_out_of_ring(&self) -> bool {
        self.out_of_ring
    }

    /// Records what the member key is about to request.
    pub(super) fn note_registration(&mut self, out_of_ring: bool) {
        self.out_of_ring = out_of_ring;
    }
}

impl Controller {
    /// Whether this process stays out of the ring for now. A process that has been a member is never held
    /// back. Nor is one that receives no frame of a member: then there is no ring that it could disturb.
    pub(super) fn is_held_back(&mut self, now: Micros) -> bool {
        let started_at = *self.flap_damping.started_at.get_or_insert(now);
        let pause = self.flap_damping.pause(&self.settings, self.rounds.wall);
        self.membership.epoch == 0
            && now < started_at + pause
            && (now < started_at + MEMBER_DISCOVERY_TIMEOUT || self.membership.can_forward(now))
    }
}

#[cfg(test)]
mod tests;
