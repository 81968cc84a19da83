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
            let risky = p.machine.spot && s.hurried();
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
mod tests;
