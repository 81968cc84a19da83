//! What jobs ask for whose starts are not all known yet.
//!
//! Nothing of them is placed. But a dead machine may hold them up for a lease, and a machine takes as long to boot: what
//! they will certainly lack is asked for meanwhile.

use super::*;
use crate::quota::QuotaLedger;
use crate::scheduler::placement::{self, Place, ZoneCounts};

/// What waits for evidence is counted this often. It is a placing pass of its own.
const EVERY: Micros = Micros::from_millis(500);
/// Only once so many of ten machines have been heard. Before that the room of the others isn't seen either, and
/// machines would be rented for tasks that are about to be found running.
const HEARD_OF_TEN: usize = 9;

/// The latest count.
#[derive(Default)]
pub(super) struct UnresolvedDemand {
    next: Micros,
    pub(super) demands: Vec<Demand>,
}

impl JobShard {
    /// Counts what unsettled jobs lack that would find no room in what placing has left.
    pub(super) fn count_doubted(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        teams: &QuotaLedger,
        m: &Membership,
        views: &[MachineView],
        places: &mut [Place],
    ) {
        if self.jobs.values().all(Job::settled) {
            self.unresolved_demand = UnresolvedDemand::default();
            return;
        }
        if now < self.unresolved_demand.next {
            return;
        }
        self.unresolved_demand = UnresolvedDemand { next: now + EVERY, demands: Vec::new() };
        let all: usize = views.iter().filter_map(|v| v.machines(m.epoch)).map(BTreeMap::len).sum();
        let mut full: Vec<JobSpec> = Vec::new();
        for id in self.order() {
            let Some(j) = self.jobs.get(&id) else { continue };
            let StartKnowledge::AwaitsMachines(d) = j.start_knowledge else { continue };
            let hidden = self.unresolved_sets.machines(d).count();
            if j.waits() || self.failures.suspected(&id) || hidden * 10 > all * (10 - HEARD_OF_TEN) {
                continue;
            }
            let spec = j.spec.clone();
            let gang = spec.kind == JobKind::Gang;
            let left_alive = self.open_of(&id).filter(|(_, (alive, _))| *alive).count();
            let there = j.assignments.len() + left_alive;
            let lacking = (spec.tasks as usize).saturating_sub(j.done.len() as usize + there);
            // As many of its tasks are likely to be on a machine that is not heard as on one that is. A gang is there or
            // is not.
            let expected = (there * hidden).div_ceil(all.saturating_sub(hidden).max(1));
            let lacking = if gang && there > 0 { 0 } else { lacking.saturating_sub(expected) };
            let claim = teams.claim(&spec.team, &id) - self.in_use(&id, j);
            let allowed =
                Resources { memory: i64::MAX / 4, ..claim }.count_of(spec.room).clamp(0, lacking as i64);
            if allowed == 0 || (gang && allowed < i64::from(spec.tasks)) {
                continue;
            }
            let age = wall.since(j.ready_wall());
            let guaranteed = teams.guaranteed(&spec.team);
            let (horizon, whole) = (self.horizon(j, guaranteed, age), self.horizon(j, guaranteed, Micros(0)));
            let hopeless = full.iter().any(|f| placement::no_easier(&spec, f));
            let found = match hopeless {
                true => 0,
                false => {
                    let n = allowed as usize;
                    placement::fill(&spec, places, &mut ZoneCounts::new(), n, |_| true).len()
                }
            };
            let lacks = (allowed as usize).saturating_sub(found);
            if lacks > 0 && !hopeless && !spec.one_zone && !spec.spread {
                full.push(spec.clone());
            }
            self.note_shape(now, &spec, whole);
            if lacks > 0 {
                self.unresolved_demand.demands.push(Demand {
                    room: spec.room,
                    kinds: spec.kinds.clone(),
                    zone: spec.zone.clone(),
                    one_zone: spec.one_zone,
                    spot: spec.spot,
                    count: if gang { spec.tasks } else { lacks as u32 },
                    estimate: scheduling_pass::likely(&self.run_times, &spec),
                    priority: spec.priority,
                    horizon,
                    together: if gang { spec.tasks } else { 1 },
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
