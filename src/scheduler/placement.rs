//! Where a task goes: among the machines that its job allows, the one it leaves fullest, the owner's own first.

use crate::peer::MachineStatus;
use crate::spec::{GUARANTEED, JobSpec};
use crate::units::Resources;
use std::collections::BTreeMap;

/// A machine as an owner sees it: its home's digest less what the owner has asked for since.
#[derive(Clone, Debug, PartialEq)]
pub struct Place<'a> {
    /// The machine.
    pub machine: &'a MachineStatus,
    /// Free room.
    pub free: Resources,
    /// What the owner has asked for since, which the machine's home has not seen.
    pub unseen: Resources,
    /// Its home is the owner itself, which sees at once what is free there.
    pub near: bool,
    /// Kept for waiting work of at least this priority.
    pub kept_for: Option<u8>,
}

impl Place<'_> {
    /// Whether the job may use this machine at all.
    pub fn allowed(&self, s: &JobSpec) -> bool {
        (self.machine.spot <= s.spot)
            && (s.kinds.is_empty() || s.kinds.contains(&self.machine.kind))
            && s.zone.as_ref().is_none_or(|z| *z == self.machine.zone)
            && self.machine.total.holds(s.room)
    }
    /// Room here is spoken for.
    pub fn take(&mut self, room: Resources) {
        self.free = self.free - room;
        self.unseen = self.unseen + room;
    }
    /// Room there will be once tasks of lower priority than this are gone, and those that are being
    /// stopped already: a machine that is being emptied must not look fuller than one that is not.
    pub fn free_for(&self, priority: u8) -> Resources {
        let stays = self.machine.by_priority.iter().filter(|(p, _)| *p >= priority);
        stays.fold(self.machine.total - self.unseen, |a, (_, r)| a - *r)
    }
    /// Room there will be once all that is no more urgent than this rank has ended by itself, whoever is guaranteed it.
    pub fn free_in_time(&self, rank: u8) -> Resources {
        let stays = self.machine.by_priority.iter().filter(|(p, _)| p % GUARANTEED > rank);
        stays.fold(self.machine.total - self.unseen, |a, (_, r)| a - *r)
    }
    /// What work that borrows can have at once: it may not stop other borrowed work of its own rank or above.
    pub fn free_for_borrowed(&self, priority: u8) -> Resources {
        let rank = priority % GUARANTEED;
        let stays = |p: u8| p >= priority || (rank..GUARANTEED).contains(&p);
        let stays = self.machine.by_priority.iter().filter(|(p, _)| stays(*p));
        stays.fold(self.machine.total - self.unseen, |a, (_, r)| a - *r)
    }
}

/// Whether work for which `other` found no room leaves none for `s` either.
pub fn no_easier(s: &JobSpec, other: &JobSpec) -> bool {
    s.room.holds(other.room)
        && s.spot <= other.spot
        && s.priority <= other.priority
        && (other.kinds.is_empty() || s.kinds == other.kinds)
        && (other.zone.is_none() || s.zone == other.zone)
}

/// How many of the job's tasks stand in each zone, old attempts that are not yet gone included.
pub type ZoneCounts = BTreeMap<String, u32>;

/// Whether one more task may go to this zone.
pub fn zone_allows(s: &JobSpec, counts: &ZoneCounts, zone: &str) -> bool {
    if s.one_zone && counts.iter().any(|(z, &n)| n > 0 && z != zone) {
        return false;
    }
    !s.spread || counts.get(zone).copied().unwrap_or(0) < s.tasks.div_ceil(2)
}

/// Places for up to `n` tasks, each on the machine that it leaves fullest, and takes the room. Filling
/// the fullest machine first, then the next, comes to the same as choosing anew for each task, and
/// looks at every machine once.
pub fn fill(
    s: &JobSpec,
    places: &mut [Place],
    counts: &mut ZoneCounts,
    n: usize,
    usable: impl Fn(&MachineStatus) -> bool,
) -> Vec<usize> {
    let mut at: Vec<_> = places
        .iter()
        .enumerate()
        .filter(|(_, p)| {
            p.free.holds(s.room)
                && p.kept_for.is_none_or(|k| s.priority >= k)
                && p.allowed(s)
                && zone_allows(s, counts, &p.machine.zone)
                && usable(p.machine)
        })
        .map(|(i, p)| {
            let left = p.free - s.room;
            // Among equally full ones, the one that need not fetch the image. Where a task takes a
            // machine for itself all are as good as equally full.
            let fetch = !p.machine.images.contains(&s.image_hash);
            let alone = p.machine.total.count_of(s.room) == 1;
            let risky = p.machine.spot && s.is_urgent_without_checkpoints();
            // Of machines about as full the owner's own: several owners that each take the very fullest have half
            // of their starts refused when much is placed.
            let half = left.cpus * 2 > p.machine.total.cpus;
            ((risky, alone && fetch, left.gpus, half, !p.near, left.cpus, fetch, left.memory), i)
        })
        .collect();
    at.sort_unstable();
    let mut out = Vec::new();
    for (_, i) in at {
        let zone = &places[i].machine.zone;
        while out.len() < n && places[i].free.holds(s.room) && zone_allows(s, counts, zone) {
            places[i].take(s.room);
            *counts.entry(zone.clone()).or_default() += 1;
            out.push(i);
        }
        if out.len() == n {
            break;
        }
    }
    out
}

/// Places for all tasks of a gang, or none. With one zone for all, each zone is tried, the one
/// that ends up fullest first.
pub fn gang(
    s: &JobSpec,
    places: &[Place],
    counts: &ZoneCounts,
    usable: impl Fn(&MachineStatus) -> bool,
) -> Option<Vec<usize>> {
    let attempt = |only: Option<&str>| {
        let mut places = places.to_vec();
        let here = |d: &MachineStatus| only.is_none_or(|z| d.zone == z) && usable(d);
        let out = fill(s, &mut places, &mut counts.clone(), s.tasks as usize, here);
        let left: i64 = out.iter().map(|&i| places[i].free.cpus).sum();
        (out.len() == s.tasks as usize).then_some((left, out))
    };
    if !s.one_zone {
        return attempt(None).map(|(_, v)| v);
    }
    let zones: std::collections::BTreeSet<&str> = places.iter().map(|p| p.machine.zone.as_str()).collect();
    zones.into_iter().filter_map(|z| attempt(Some(z))).min_by_key(|(left, _)| *left).map(|(_, v)| v)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::peer::InventoryState;
    use crate::units::Micros;
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    use serde_json::json;

    fn spec(kind: &str, tasks: u32, one_zone: bool, spread: bool) -> JobSpec {
        JobSpec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":kind,"rank":"idle",
            "strides":tasks,"vcpus":2.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":one_zone,
            "scatter":spread,"borrowed":false,"rideS":1,"restS":0,"unsaddleS":0}))
        .unwrap()
    }

    fn machine(name: String, zone: &str, spot: bool, cpus: f64, total: f64) -> MachineStatus {
        MachineStatus {
            name,
            kind: "k".into(),
            zone: zone.into(),
            spot,
            standing: InventoryState::Known,
            open: true,
            notice: None,
            free: Resources::need(cpus, 0.0, 9.0),
            total: Resources::need(total, 0.0, 9.0),
            by_priority: Vec::new(),
            images: Vec::new(),
            busy: 0,
            idle: Some(Micros(0)),
            silent: None,
            tasks: Vec::new(),
        }
    }

    /// Seen on sanaq-forms-next: a stage of 24 short tasks lost one with its spot machine, and the whole
    /// pipeline was late.
    #[test]
    fn urgent_work_that_never_saves_goes_to_ordinary_machines_first() {
        let machines = [machine("a".into(), "a", true, 2.0, 8.0), machine("b".into(), "a", false, 8.0, 8.0)];
        let at = |priority: u8, checkpoint: Micros| {
            let spec = JobSpec { spot: true, priority, checkpoint, ..spec("batch", 2, false, false) };
            fill(&spec, &mut places(&machines), &mut ZoneCounts::new(), 2, |_| true)
        };
        assert_eq!(at(1, Micros(0)), [0, 1], "the fullest first");
        assert_eq!(at(2, Micros(0)), [1, 1]);
        assert_eq!(at(12, Micros(0)), [1, 1]);
        assert_eq!(at(2, Micros(5)), [0, 1], "what saves loses little");
    }

    fn fleet(rng: &mut StdRng) -> Vec<MachineStatus> {
        (0..rng.random_range(1..12))
            .map(|i| {
                let zone = ["a", "b", "c"][rng.random_range(0..3usize)];
                let spot = rng.random_bool(0.2);
                machine(format!("m{i}"), zone, spot, rng.random_range(0..9) as f64, 8.0)
            })
            .collect()
    }

    fn places(machines: &[MachineStatus]) -> Vec<Place<'_>> {
        machines
            .iter()
            .map(|d| Place {
                machine: d,
                free: d.free,
                unseen: Resources::default(),
                near: false,
                kept_for: None,
            })
            .collect()
    }

    #[test]
    fn zone_rules_hold_for_random_fleets() {
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let machines = fleet(&mut rng);
            let places = places(&machines);
            let s = spec("group", rng.random_range(1..8), rng.random_bool(0.5), rng.random_bool(0.4));
            let Some(at) = gang(&s, &places, &ZoneCounts::new(), |_| true) else { continue };
            assert_eq!(at.len(), s.tasks as usize);
            let mut counts = ZoneCounts::new();
            let mut free: Vec<Resources> = places.iter().map(|p| p.free).collect();
            for i in at {
                assert!(!machines[i].spot);
                assert!(free[i].holds(s.room));
                free[i] = free[i] - s.room;
                *counts.entry(machines[i].zone.clone()).or_default() += 1;
            }
            assert!(!s.one_zone || counts.len() == 1);
            assert!(!s.spread || counts.values().all(|&n| n <= s.tasks.div_ceil(2)));
        }
    }

    /// Seen on sanaq-forms-ops: while a kept machine's tasks were being stopped it seemed to have no room
    /// to make, so the gang kept others and had those emptied too, for half a minute.
    #[test]
    fn a_machine_that_is_being_emptied_counts_as_empty() {
        let mut m = machine("i".into(), "a", false, 0.0, 16.0);
        m.by_priority = vec![(2, Resources::need(6.0, 0.0, 1.0))];
        let mut p = places(std::slice::from_ref(&m)).remove(0);
        assert_eq!(p.free_for(2).cpus, 10_000, "six stay, the rest is free or being stopped");
        assert_eq!(p.free_for(3).cpus, 16_000);
        p.take(Resources::need(4.0, 0.0, 1.0));
        assert_eq!(p.free_for(2).cpus, 6_000, "what is spoken for is not there twice");
    }

    /// Where a task takes a machine for itself, fetching an image is all that differs.
    #[test]
    fn whole_machines_with_the_image_go_first() {
        let s = spec("group", 2, false, false);
        let mut machines: Vec<_> = (0..4).map(|i| machine(format!("i-{i}"), "a", false, 3.0, 3.0)).collect();
        machines[1].images = vec![s.image_hash];
        machines[3].images = vec![s.image_hash];
        assert_eq!(gang(&s, &places(&machines), &ZoneCounts::new(), |_| true), Some(vec![1, 3]));
    }

    /// Filling machine after machine must come to the same as choosing the fullest for each task.
    #[test]
    fn each_task_goes_where_it_leaves_the_machine_fullest() {
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let machines = fleet(&mut rng);
            let s = spec("batch", rng.random_range(1..20), rng.random_bool(0.3), rng.random_bool(0.3));
            let (mut at_once, mut one_by_one) = (places(&machines), places(&machines));
            let (mut a, mut b) = (ZoneCounts::new(), ZoneCounts::new());
            let n = fill(&s, &mut at_once, &mut a, s.tasks as usize, |_| true).len();
            let m =
                (0..s.tasks).filter(|_| !fill(&s, &mut one_by_one, &mut b, 1, |_| true).is_empty()).count();
            let free = |p: &[Place]| p.iter().map(|p| p.free).collect::<Vec<_>>();
            assert_eq!((n, a, free(&at_once)), (m, b, free(&one_by_one)), "seed {seed}");
        }
        let machines = [
            machine("wide".into(), "a", false, 9.0, 16.0),
            machine("snug".into(), "a", false, 2.5, 16.0),
            machine("small".into(), "a", false, 1.0, 16.0),
        ];
        let mut places = places(&machines);
        let s = spec("batch", 1, false, false);
        assert_eq!(fill(&s, &mut places, &mut ZoneCounts::new(), 1, |_| true), [1]);
    }
}
