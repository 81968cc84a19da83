//! What may be taken, and where the least is lost.
//!
//! [`choose`] gives each missing replica a machine: where its image is, then where the fewest GPUs must be taken, then where
//! the least work is lost. Gangs are stopped whole, so a gang counts with all its GPUs, and what it frees elsewhere serves the
//! next replicas before anything else is taken.

use crate::Amount;
use crate::ledger::{Claim, Part};
use std::collections::{BTreeMap, BTreeSet};

/// A service whose replicas find no room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Its team.
    pub team: String,
    /// Its rank, higher is more urgent.
    pub rank: u8,
    /// Whether it is within its team's guarantee.
    pub within: bool,
    /// What a replica takes.
    pub each: Amount,
    /// How many have no place and no claim.
    pub replicas: u32,
    /// How many more may go to a zone, if that is bounded.
    pub zones: Option<BTreeMap<String, u32>>,
    /// Whether all must be in one zone.
    pub one_zone: bool,
}

/// A machine that the service may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// What is free there and promised to nobody.
    pub free: Amount,
    /// Whether it has the image.
    pub image: bool,
}

/// A running task of which a machine's room might be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its job.
    pub job: String,
    /// Its number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
    /// Its team.
    pub team: String,
    /// Its rank.
    pub rank: u8,
    /// Whether it is within its team's guarantee, by the one decision that all owners share.
    pub within: bool,
    /// Whether it belongs to a gang.
    pub gang: bool,
    /// The machine.
    pub machine: String,
    /// What it takes there.
    pub room: Amount,
    /// Work that is lost if it is stopped, in milliseconds of its run time: what it takes to save, or all that it ran if it
    /// never saves.
    pub lost_ms: u64,
    /// Whether it must be left alone for now: it is lent already, being stopped, or a replica that came a short time ago.
    pub fixed: bool,
}

/// Whether a task may be stopped for a service. Work within its team's guarantee never; for serving within its guarantee
/// whatever other teams run beyond theirs, and otherwise only what is of lower rank.
#[must_use]
pub fn may_take(need: &Need, t: &Task) -> bool {
    !t.within && t.team != need.team && (need.within || t.rank < need.rank)
}

/// What a job loses, and its tasks by machine.
struct Unit<'a> {
    tasks: Vec<&'a Task>,
    gang: bool,
    free_to_take: bool,
}

impl Unit<'_> {
    fn on(&self, machine: &str) -> Amount {
        let here = self.tasks.iter().filter(|t| t.machine == machine);
        here.fold(Amount::default(), |a, t| a + t.room)
    }
    fn gpus(&self) -> i64 {
        self.tasks.iter().map(|t| t.room.gpus).sum()
    }
    /// GPU-seconds that are lost.
    fn lost(&self) -> i64 {
        self.tasks
            .iter()
            .map(|t| t.room.gpus.max(1) * i64::try_from(t.lost_ms / 1000).unwrap_or(i64::MAX / 4096))
            .sum()
    }
}

/// Gangs as one unit, all other tasks each for itself.
fn units<'a>(need: &Need, tasks: &'a [Task]) -> Vec<Unit<'a>> {
    let mut by: BTreeMap<(&str, Option<u32>), Vec<&Task>> = BTreeMap::new();
    for t in tasks {
        by.entry((&t.job, (!t.gang).then_some(t.index))).or_default().push(t);
    }
    let free = |list: &[&Task]| list.iter().all(|t| may_take(need, t) && !t.fixed);
    // A gang is left alone if any of its tasks must be: it can't be stopped in part.
    by.into_values().map(|tasks| Unit { gang: tasks[0].gang, free_to_take: free(&tasks), tasks }).collect()
}

/// Where the missing replicas go, and what is stopped for that, each on one machine. Replicas for which there is free room,
/// or for which nothing may be taken, are left out. Deterministic; nothing is taken that could be left out.
#[must_use]
pub fn choose(need: &Need, machines: &[Machine], tasks: &[Task]) -> Vec<Claim> {
    let units = units(need, tasks);
    let mut free: BTreeMap<&str, Amount> = machines.iter().map(|m| (m.name.as_str(), m.free)).collect();
    let mut zones = need.zones.clone();
    let mut only: Option<&str> = None;
    let mut taken: BTreeSet<usize> = BTreeSet::new();
    let mut plan: BTreeMap<&str, Chosen> = BTreeMap::new();
    let mut left = need.replicas;
    while left > 0 {
        let allowed = |m: &Machine| {
            let zone = zones.as_ref().is_none_or(|z| z.get(&m.zone).is_some_and(|n| *n > 0));
            zone && only.is_none_or(|z| z == m.zone)
        };
        let option = |m: &Machine| {
            let room = free.get(m.name.as_str()).copied().unwrap_or_default();
            let stop = victims(need, &units, &taken, &m.name, room)?;
            let gpus: i64 = stop.iter().map(|&u| units[u].gpus()).sum();
            let lost: i64 = stop.iter().map(|&u| units[u].lost()).sum();
            // What a gang frees elsewhere serves other replicas as well.
            let served = serves(need, machines, &free, &units, &stop).clamp(1, left);
            let after = stop.iter().fold(room, |a, &u| a + units[u].on(&m.name)) - need.each;
            let per = |n: i64| n.saturating_mul(1000) / i64::from(served);
            // What is left over is broken up: the less, the more machines stay whole.
            Some(((!stop.is_empty(), !m.image, per(gpus), per(lost), after.gpus, m.name.clone()), stop))
        };
        let options = machines
            .iter()
            .filter(|m| allowed(m))
            .filter_map(|m| option(m).map(|(key, stop)| (key, m, stop)));
        let Some((_, m, stop)) = options.min_by(|a, b| a.0.cmp(&b.0)) else { break };
        // What a gang frees here that was stopped for an earlier replica belongs to this claim, if the replica needs it.
        let mut room = free.get(m.name.as_str()).copied().unwrap_or_default();
        let mut used = stop.clone();
        let chosen = plan.entry(&m.name).or_insert_with(|| Chosen { free: m.free, ..Chosen::default() });
        for &u in taken.iter().filter(|&&u| units[u].gang && !chosen.units.contains(&u)) {
            let here = units[u].on(&m.name);
            if here != Amount::default() && !(room - here).holds(need.each) {
                used.push(u);
            } else {
                room = room - here;
            }
        }
        chosen.units.append(&mut used);
        if chosen.units.is_empty() {
            chosen.free = chosen.free - need.each;
        } else {
            chosen.replicas += 1;
        }
        for &u in &stop {
            for t in &units[u].tasks {
                if let Some(f) = free.get_mut(t.machine.as_str()) {
                    *f = *f + t.room;
                }
            }
            taken.insert(u);
        }
        if let Some(f) = free.get_mut(m.name.as_str()) {
            *f = *f - need.each;
        }
        if let Some(n) = zones.as_mut().and_then(|z| z.get_mut(&m.zone)) {
            *n -= 1;
        }
        if need.one_zone {
            only = Some(&m.zone);
        }
        left -= 1;
    }
    let plan = plan.into_iter().filter(|(_, c)| c.replicas > 0);
    plan.map(|(machine, c)| claim(need, &units, machine, c)).collect()
}

/// What was chosen on one machine.
#[derive(Default)]
struct Chosen {
    /// Free room, less what replicas take for which nothing is stopped.
    free: Amount,
    /// What is stopped there.
    units: Vec<usize>,
    /// For how many replicas.
    replicas: u32,
}

fn claim(need: &Need, units: &[Unit], machine: &str, mut c: Chosen) -> Claim {
    // Guards against taking in vain: what was stopped for the first replica may not be needed beside what the last one stops.
    c.units.sort_by_key(|&u| (std::cmp::Reverse((units[u].lost(), units[u].gpus())), u));
    let mut room = c.units.iter().fold(c.free, |a, &u| a + units[u].on(machine));
    c.units.retain(|&u| {
        let less = room - units[u].on(machine);
        let needed = less.count_of(need.each) < c.replicas;
        room = if needed { room } else { less };
        needed
    });
    let mut parts: BTreeMap<&str, Part> = BTreeMap::new();
    for t in c.units.iter().flat_map(|&u| &units[u].tasks).filter(|t| t.machine == machine) {
        let part = parts.entry(&t.job).or_insert_with(|| Part {
            lender: t.team.clone(),
            from: t.job.clone(),
            tasks: Vec::new(),
            room: Amount::default(),
        });
        part.tasks.push((t.index, t.attempt));
        part.room = part.room + t.room;
    }
    Claim {
        machine: machine.to_owned(),
        replicas: c.replicas,
        each: need.each,
        parts: parts.into_values().collect(),
    }
}

/// How many replicas all machines of these units hold once they are stopped.
fn serves(
    need: &Need,
    machines: &[Machine],
    free: &BTreeMap<&str, Amount>,
    units: &[Unit],
    stop: &[usize],
) -> u32 {
    let at: BTreeSet<&str> =
        stop.iter().flat_map(|&u| units[u].tasks.iter().map(|t| t.machine.as_str())).collect();
    let held = |m: &Machine| {
        let room = free.get(m.name.as_str()).copied().unwrap_or_default();
        stop.iter().fold(room, |a, &u| a + units[u].on(&m.name)).count_of(need.each)
    };
    machines.iter().filter(|m| at.contains(m.name.as_str())).map(held).sum()
}

/// What is to be stopped on a machine so that it holds one more replica: nothing that could be left out. None: it can't.
fn victims(
    need: &Need,
    units: &[Unit],
    taken: &BTreeSet<usize>,
    machine: &str,
    free: Amount,
) -> Option<Vec<usize>> {
    if free.holds(need.each) {
        return Some(Vec::new());
    }
    let mut at: Vec<usize> = (0..units.len())
        .filter(|u| {
            units[*u].free_to_take && !taken.contains(u) && units[*u].on(machine) != Amount::default()
        })
        .collect();
    let key = |u: &usize| (units[*u].gpus(), units[*u].lost(), *u);
    at.sort_by_key(key);
    // One that alone is enough costs one stop.
    let alone = at.iter().copied().find(|&u| (free + units[u].on(machine)).holds(need.each));
    at.sort_by_key(|&u| (units[u].gang, units[u].lost(), units[u].gpus(), u));
    let (mut room, mut stop) = (free, Vec::new());
    for u in at {
        if room.holds(need.each) {
            break;
        }
        room = room + units[u].on(machine);
        stop.push(u);
    }
    if !room.holds(need.each) {
        return None;
    }
    // The first ones may not be needed beside the last: they don't count against the machine.
    let mut n = 0;
    while n < stop.len() {
        let less = room - units[stop[n]].on(machine);
        if less.holds(need.each) {
            room = less;
            stop.remove(n);
        } else {
            n += 1;
        }
    }
    let sum = |list: &[usize]| {
        let gpus: i64 = list.iter().map(|&u| units[u].gpus()).sum();
        (gpus, list.iter().map(|&u| units[u].lost()).sum::<i64>())
    };
    match alone {
        Some(u) if sum(&[u]) < sum(&stop) => Some(vec![u]),
        _ => Some(stop),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn gpus(n: i64) -> Amount {
        Amount { gpus: n * 1000, cpus: n * 4000, memory: n * 8000 }
    }
    fn need(n: i64, replicas: u32) -> Need {
        Need {
            team: "serve".into(),
            rank: 3,
            within: true,
            each: gpus(n),
            replicas,
            zones: None,
            one_zone: false,
        }
    }
    fn machine(name: &str, free: i64) -> Machine {
        Machine { name: name.into(), zone: "a".into(), free: gpus(free), image: false }
    }
    fn task(job: &str, index: u32, machine: &str, n: i64, lost_s: u64) -> Task {
        Task {
            job: job.into(),
            index,
            attempt: 1,
            team: "vision".into(),
            rank: 1,
            within: false,
            gang: job.starts_with('g'),
            machine: machine.into(),
            room: gpus(n),
            lost_ms: lost_s * 1000,
            fixed: false,
        }
    }
    fn stops(claims: &[Claim]) -> Vec<(String, String, usize)> {
        let parts = claims
            .iter()
            .flat_map(|c| c.parts.iter().map(|p| (c.machine.clone(), p.from.clone(), p.tasks.len())));
        parts.collect()
    }

    #[test]
    fn who_may_be_stopped() {
        let t = task("a", 0, "m", 1, 0);
        let (within, beyond) = (need(1, 1), Need { within: false, ..need(1, 1) });
        let urgent = Task { rank: 9, ..t.clone() };
        let safe = Task { within: true, ..t.clone() };
        let own = Task { team: "serve".into(), ..t.clone() };
        assert!(may_take(&within, &t) && may_take(&within, &urgent) && may_take(&beyond, &t));
        assert!(!may_take(&beyond, &urgent) && !may_take(&beyond, &Task { rank: 3, ..t.clone() }));
        for n in [&within, &beyond] {
            assert!(!may_take(n, &safe) && !may_take(n, &own));
        }
    }

    #[test]
    fn images_then_few_gpus_then_little_work() {
        let mut ms = vec![machine("m1", 0), machine("m2", 0), machine("m3", 2)];
        let ts: Vec<Task> = vec![
            task("a", 0, "m1", 4, 10),
            task("b", 0, "m2", 4, 5),
            task("c", 0, "m3", 2, 500),
            task("c", 1, "m3", 4, 500),
        ];
        assert_eq!(
            stops(&choose(&need(4, 1), &ms, &ts)),
            [("m3".into(), "c".into(), 1)],
            "two GPUs are fewer than four"
        );
        ms.pop();
        assert_eq!(stops(&choose(&need(4, 1), &ms, &ts)), [("m2".into(), "b".into(), 1)]);
        ms[0].image = true;
        assert_eq!(stops(&choose(&need(4, 1), &ms, &ts)), [("m1".into(), "a".into(), 1)]);
        ms.push(machine("m4", 4));
        assert!(choose(&need(4, 1), &ms, &ts).is_empty(), "free room first");
    }

    #[test]
    fn one_whole_gang_before_pieces_of_three() {
        let ms: Vec<Machine> = (0..6).map(|i| machine(&format!("m{i}"), 0)).collect();
        let mut ts: Vec<Task> = (0..3).map(|i| task("g0", i, &format!("m{i}"), 8, 9)).collect();
        for g in 1..4u32 {
            // Gangs of two: one task on a machine of its own, one outside what serving may use.
            ts.push(task(&format!("g{g}"), 0, &format!("m{}", 2 + g), 8, 1));
            ts.push(task(&format!("g{g}"), 1, "elsewhere", 8, 1));
        }
        let got = stops(&choose(&need(8, 3), &ms, &ts));
        assert_eq!(got.iter().map(|g| g.1.as_str()).collect::<BTreeSet<_>>(), ["g0"].into());
        assert_eq!(got.len(), 3, "each machine's room is held");
        ts[1].within = true;
        assert!(!stops(&choose(&need(8, 3), &ms, &ts)).iter().any(|g| g.1 == "g0"), "never in part");
    }
}
