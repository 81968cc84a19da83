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
pub(super) struct UnresolvedStarts {
    next: Micros,
    pub(super) demands: Vec<Demand>,
}

impl JobShard {
    /// Counts what unsettled jobs lack that would find no room in what placing has left.
    pub(super) fn count_doubted(
        &mut self,
        now: Micros,
        wall: Micros,
        teams: &QuotaLedger,
        m: &Membership,
        views: &[MachineView],
        places: &mut [Place],
    ) {
        if self.jobs.values().all(Job::settled) {
            self.doubted = UnresolvedStarts::default();
            return;
        }
        if now < self.doubted.next {
            return;
        }
        self.doubted = UnresolvedStarts { next: now + EVERY, demands: Vec::new() };
        let all: usize = views.iter().filter_map(|v| v.machines(m.epoch)).map(BTreeMap::len).sum();
        let mut full: Vec<JobSpec> = Vec::new();
        for id in self.order() {
            let Some(j) = self.jobs.get(&id) else { continue };
            let Evidence::Waits(d) = j.evidence else { continue };
            let hidden = self.doubts.machines(d).count();
            if j.waits() || self.blame.suspected(&id) || hidden * 10 > all * (10 - HEARD_OF_TEN) {
                continue;
            }
            let spec = j.spec.clone();
            let gang = spec.kind == JobKind::Gang;
            let left_alive = self.open_of(&id).filter(|(_, (alive, _))| *alive).count();
            let there = j.placed.len() + left_alive;
            let lacking = (spec.tasks as usize).saturating_sub(j.done.len() as usize + there);
            // As many of its tasks are likely to be on a machine that is not heard as on one that is. A gang is there or
            // is not.
            let expected = (there * hidden).div_ceil(all.saturating_sub(hidden).max(1));
            let lacking = if gang && there > 0 { 0 } else { lacking.saturating_sub(expected) };
            let claim = teams.usable(&spec.team, &id) - self.in_use(&id, j);
            let allowed =
                Resources { memory: i64::MAX / 4, ..claim }.count_of(spec.room).clamp(0, lacking as i64);
            if allowed == 0 || (gang && allowed < i64::from(spec.tasks)) {
                continue;
            }
            let age = wall.since(j.ready_wall());
            let guaranteed = teams.has_guarantee(&spec.team);
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
                self.doubted.demands.push(Demand {
                    room: spec.room,
                    kinds: spec.kinds.clone(),
                    zone: spec.zone.clone(),
                    one_zone: spec.one_zone,
                    spot: spec.spot,
                    count: if gang { spec.tasks } else { lacks as u32 },
                    estimate: scheduling_pass::likely(&self.ran, &spec),
                    priority: spec.priority,
                    horizon,
                    together: if gang { spec.tasks } else { 1 },
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{owner_of, raw, running, whole};
    use super::*;
    use crate::peer::MachineStatus;
    use crate::units::Ranges;

    /// Measured on rough days of the large sites: for half a minute at a time all work waited for a few dead machines, and
    /// the decider saw nothing queue.
    #[test]
    fn what_waits_for_a_dead_machine_asks_for_room_and_what_is_likely_there_does_not() {
        let (m, teams, mut owner, machine) = owner_of(raw("batch", 4, 0.0));
        let now = Micros::from_millis(1000);
        let fleet: Vec<MachineStatus> = (0..20)
            .map(|i| MachineStatus { name: format!("i-{i:02}"), open: i < 2, ..machine.clone() })
            .collect();
        // A new epoch: one machine of twenty is not heard, and 40 tasks of a job taken over run on the others.
        owner.adopt(&m, false);
        let mut r = raw("batch", 100, 0.0);
        r["uid"] = json!("wk-2");
        let spec = JobSpec::from_value(&r).expect("valid");
        owner.insert(r, spec, Micros(1), Ranges::default(), 1, false);
        owner.load_done(fleet.iter().map(|d| d.name.clone()));
        let mut seq = 0;
        let mut tell = |owner: &mut JobShard, unheard: usize| {
            let mut list = fleet.clone();
            for (i, d) in list.iter_mut().enumerate() {
                let key = |index| TaskKey { job: "wk-2".into(), index, attempt: 9 };
                match i < unheard {
                    true => (d.standing, d.open) = (InventoryState::Unconfirmed, false),
                    false => d.tasks = (0..2).map(|k| running(&key((i * 2 + k) as u32))).collect(),
                }
            }
            seq += 1;
            owner.digest(now, &m, 0, whole(&m, seq, 0, list));
        };
        let asked = |owner: &mut JobShard, at: u64| {
            let now = Micros::from_millis(at);
            owner.plan(now, now, &m, &teams);
            owner.demands().iter().map(|d| d.count).sum::<u32>()
        };
        tell(&mut owner, 5);
        assert_eq!(asked(&mut owner, 1000), 0, "too few are heard");
        tell(&mut owner, 1);
        // Less those seen, those that may well be on the unheard one, and those that fit beside two on the one open.
        assert_eq!(asked(&mut owner, 2000), 100 - 38 - 2 - 2);
        assert!(
            owner.wanted(0, &m).list.iter().all(|w| w.action != DesiredAction::Run),
            "nothing of it is placed"
        );
        assert_eq!(owner.in_doubt(), 1);
        tell(&mut owner, 0);
        assert_eq!((owner.in_doubt(), asked(&mut owner, 3000)), (0, 100 - 40 - 4));
    }
}
