//! Where a task goes: among the machines that its job allows, the one it leaves fullest.

use crate::spec::Spec;
use crate::units::Room;
use std::collections::BTreeMap;

/// A machine as an owner sees it: its home's digest less what the owner has asked for since.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The machine.
    pub name: String,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free room.
    pub free: Room,
    /// All its room.
    pub total: Room,
    /// Images that it is likely to have.
    pub images: Vec<u64>,
    /// Room taken by tasks of each priority.
    pub by_priority: Vec<(u8, Room)>,
    /// Kept for waiting work of at least this priority.
    pub kept_for: Option<u8>,
}

impl Place {
    /// Whether the job may use this machine at all.
    pub fn allowed(&self, s: &Spec) -> bool {
        (self.spot <= s.spot)
            && (s.kinds.is_empty() || s.kinds.contains(&self.kind))
            && s.zone.as_ref().is_none_or(|z| *z == self.zone)
            && self.total.holds(s.room)
    }
    /// Room there would be without tasks of lower priority than this.
    pub fn free_for(&self, priority: u8) -> Room {
        self.by_priority.iter().filter(|(p, _)| *p < priority).fold(self.free, |a, (_, r)| a + *r)
    }
}

/// How many of the job's tasks stand in each zone, old attempts that are not yet gone included.
pub type ZoneCounts = BTreeMap<String, u32>;

/// Whether one more task may go to this zone.
pub fn zone_allows(s: &Spec, counts: &ZoneCounts, zone: &str) -> bool {
    if s.one_zone && counts.iter().any(|(z, &n)| n > 0 && z != zone) {
        return false;
    }
    !s.spread || counts.get(zone).copied().unwrap_or(0) < s.tasks.div_ceil(2)
}

/// The machine that one more task leaves fullest.
pub fn best(s: &Spec, places: &[Place], counts: &ZoneCounts, shun: impl Fn(&str) -> bool) -> Option<usize> {
    places
        .iter()
        .enumerate()
        .filter(|(_, p)| {
            p.free.holds(s.room)
                && p.allowed(s)
                && p.kept_for.is_none_or(|k| s.priority >= k)
                && zone_allows(s, counts, &p.zone)
                && !shun(&p.name)
        })
        .min_by_key(|(_, p)| {
            let left = p.free - s.room;
            // Among equally full ones, the one that need not fetch the image.
            (left.gpus, left.cpus, !p.images.contains(&s.image_hash), left.memory)
        })
        .map(|(i, _)| i)
}

/// Places for all tasks of a gang, or none. With one zone for all, each zone is tried, the one
/// that ends up fullest first.
pub fn gang(
    s: &Spec,
    places: &[Place],
    counts: &ZoneCounts,
    shun: impl Fn(&str) -> bool,
) -> Option<Vec<usize>> {
    let attempt = |only: Option<&str>| {
        let mut places = places.to_vec();
        let mut counts = counts.clone();
        let mut out = Vec::new();
        for _ in 0..s.tasks {
            let at = best(s, &places, &counts, |m| {
                shun(m) || only.is_some_and(|z| places.iter().any(|p| p.name == m && p.zone != z))
            })?;
            places[at].free = places[at].free - s.room;
            *counts.entry(places[at].zone.clone()).or_default() += 1;
            out.push(at);
        }
        let left: i64 = out.iter().map(|&i| places[i].free.cpus).sum();
        Some((left, out))
    };
    if !s.one_zone {
        return attempt(None).map(|(_, v)| v);
    }
    let zones: std::collections::BTreeSet<&str> = places.iter().map(|p| p.zone.as_str()).collect();
    zones.into_iter().filter_map(|z| attempt(Some(z))).min_by_key(|(left, _)| *left).map(|(_, v)| v)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};
    use serde_json::json;

    fn spec(tasks: u32, one_zone: bool, spread: bool) -> Spec {
        Spec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":"group","rank":"idle",
            "strides":tasks,"vcpus":2.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":one_zone,
            "scatter":spread,"borrowed":false,"rideS":1,"restS":0,"unsaddleS":0}))
        .unwrap()
    }

    #[test]
    fn zone_rules_hold_for_random_fleets() {
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let places: Vec<Place> = (0..rng.random_range(1..12))
                .map(|i| Place {
                    name: format!("m{i}"),
                    kind: "k".into(),
                    zone: ["a", "b", "c"][rng.random_range(0..3usize)].into(),
                    spot: rng.random_bool(0.2),
                    free: Room::need(rng.random_range(0..9) as f64, 0.0, 9.0),
                    total: Room::need(8.0, 0.0, 9.0),
                    by_priority: Vec::new(),
                    images: Vec::new(),
                    kept_for: None,
                })
                .collect();
            let s = spec(rng.random_range(1..8), rng.random_bool(0.5), rng.random_bool(0.4));
            let Some(at) = gang(&s, &places, &ZoneCounts::new(), |_| false) else { continue };
            assert_eq!(at.len(), s.tasks as usize);
            let mut counts = ZoneCounts::new();
            let mut free: Vec<Room> = places.iter().map(|p| p.free).collect();
            for i in at {
                assert!(!places[i].spot);
                assert!(free[i].holds(s.room));
                free[i] = free[i] - s.room;
                *counts.entry(places[i].zone.clone()).or_default() += 1;
            }
            assert!(!s.one_zone || counts.len() == 1);
            assert!(!s.spread || counts.values().all(|&n| n <= s.tasks.div_ceil(2)));
        }
    }

    #[test]
    fn the_fullest_machine_is_taken() {
        let place = |name: &str, cpus: f64| Place {
            name: name.into(),
            kind: "k".into(),
            zone: "a".into(),
            spot: false,
            free: Room::need(cpus, 0.0, 9.0),
            total: Room::need(16.0, 0.0, 9.0),
            by_priority: Vec::new(),
            images: Vec::new(),
            kept_for: None,
        };
        let places = [place("wide", 9.0), place("snug", 2.5), place("small", 1.0)];
        assert_eq!(best(&spec(1, false, false), &places, &ZoneCounts::new(), |_| false), Some(1));
    }
}
