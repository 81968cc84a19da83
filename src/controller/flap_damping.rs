//! Flap damping: a controller that joins the ring again and again is kept out of it for a while.
//!
//! Each time that one joins, everybody pays for an epoch, and another when it is missed; so who has joined often of late
//! keeps out of the ring, longer each time, and passes users' requests on meanwhile. [`FlapDamping`] dies with the process:
//! how often it joined stands in the epoch record, which joining writes anyway, so that nothing is written at rest. Versions
//! that don't know the list drop it, and then nobody is held back. No member is ever put out by it.

use super::*;

/// How often a controller may join within `window` without being held back. A single restart must cost no time.
const FREE_JOINS: u32 = 3;
/// Joins that the epoch record names at most.
const MOST_JOINS: usize = 24;
/// Where they stand in it.
const KEY: &str = "came";
/// How long a process that has just started waits to hear from a member before it concludes that there is none.
const HEARING_TIME: Micros = Micros::from_millis(1500);

/// What is known of earlier processes of the controllers.
#[derive(Default)]
pub(super) struct FlapDamping {
    /// When this process began.
    started_at: Option<Micros>,
    /// Who joined lately, and when by the wall clock of who raised that epoch, in seconds.
    joins: Vec<(String, u64)>,
    /// Its member key says that it wants no place for now.
    out_of_ring: bool,
}

/// For how long joins are held against who joined.
fn window(settings: &Settings) -> Micros {
    Micros(settings.member_lease.0 * 10)
}

impl FlapDamping {
    /// Takes the list out of the epoch record. One that can't be read holds nobody back.
    pub(super) fn read(&mut self, record: &Value) {
        let list = record.get(KEY).cloned().unwrap_or(Value::Null);
        self.joins = serde_json::from_value(list).unwrap_or_default();
    }

    /// Adds to the next epoch's record who joins with it.
    pub(super) fn write(
        &self,
        settings: &Settings,
        wall: Micros,
        old: &EpochRecord,
        next: &EpochRecord,
        record: &mut Value,
    ) {
        let now_s = wall.0 / 1_000_000;
        // Clocks differ and may be set: what lies far ahead counts as little as what lies far back.
        let recent = |c: &&(String, u64)| c.1.abs_diff(now_s) < window(settings).0 / 1_000_000;
        let mut joins: Vec<(String, u64)> = self.joins.iter().filter(recent).cloned().collect();
        joins.extend(next.members.iter().filter(|m| !old.members.contains(m)).map(|m| (m.0.clone(), now_s)));
        joins.drain(..joins.len().saturating_sub(MOST_JOINS));
        if !joins.is_empty() {
            record[KEY] = json!(joins);
        }
    }

    /// How long this process has to keep out, by how often it has joined lately.
    fn pause(&self, settings: &Settings, wall: Micros) -> Micros {
        let now_s = wall.0 / 1_000_000;
        let ours = |c: &&(String, u64)| {
            c.0 == settings.member && c.1.abs_diff(now_s) < window(settings).0 / 1_000_000
        };
        match (self.joins.iter().filter(ours).count() as u32).checked_sub(FREE_JOINS) {
            None => Micros(0),
            Some(over) => Micros(settings.member_lease.0 << over.min(8)).min(window(settings)),
        }
    }

    /// Whether its key says that it wants no place for now.
    pub(super) fn is_out_of_ring(&self) -> bool {
        self.out_of_ring
    }

    /// Notes what its member key is to say.
    pub(super) fn note_registration(&mut self, out_of_ring: bool) {
        self.out_of_ring = out_of_ring;
    }
}

impl Controller {
    /// Whether this process keeps out of the ring for now. Never one that has been in it, and not while no member is
    /// heard: then nobody serves whom it could disturb.
    pub(super) fn is_held_back(&mut self, now: Micros) -> bool {
        let started_at = *self.flap_damping.started_at.get_or_insert(now);
        let pause = self.flap_damping.pause(&self.settings, self.rounds.wall);
        self.membership.epoch == 0
            && now < started_at + pause
            && (now < started_at + HEARING_TIME || self.membership.can_forward(now))
    }
}

#[cfg(test)]
mod tests;
