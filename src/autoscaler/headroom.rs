//! Which room the decider rents for what: free room for guarantees, and all of a gang in one zone.

use crate::machine_view::MachineSnapshot;
use crate::peer::Demand;
use crate::spec::{MachineType, Types};
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// One part of a room.
type Part = fn(Resources) -> i64;

/// Room to keep free for guarantees: work within them should start at once, also when the next surge comes, and a
/// machine takes long to boot. Processors beside GPUs don't count as such where there are machines without.
pub(super) fn headroom(
    guaranteed: Resources,
    types: &Types,
    machines: &BTreeMap<&str, &MachineSnapshot>,
) -> Vec<Demand> {
    let parts: [(Part, bool); 2] = [(|r| r.cpus, false), (|r| r.gpus, true)];
    parts.into_iter().filter_map(|(part, gpus)| lacking(guaranteed, types, machines, part, gpus)).collect()
}

fn lacking(
    guaranteed: Resources,
    types: &Types,
    machines: &BTreeMap<&str, &MachineSnapshot>,
    part: Part,
    gpus: bool,
) -> Option<Demand> {
    let plain = types.values().any(|t| t.gpus <= 0.0);
    let suits = |r: Resources| (r.gpus > 0) == gpus || (!plain && !gpus);
    let largest = types.values().map(MachineType::room).filter(|r| suits(*r)).max_by_key(|r| part(*r))?;
    let open = || machines.values().filter(|d| d.open && suits(d.total));
    let free: i64 = open().map(|d| part(d.free).max(0)).sum();
    let used: i64 = open().map(|d| part(d.total)).sum::<i64>() - free;
    // Where little runs, little is kept free, and nothing where nothing runs.
    let lacking = crate::job_shard::headroom(part(guaranteed), used) - free;
    (lacking > 0).then(|| Demand {
        room: largest,
        kinds: Vec::new(),
        zone: None,
        one_zone: false,
        spot: false,
        count: u32::try_from(lacking / part(largest).max(1) + 1).unwrap_or(u32::MAX),
        estimate: Micros(0),
        priority: 0,
        horizon: Micros(0),
        together: 1,
    })
}

/// The zone in which a gang that stays in one is to come together, if some is on its way already: where the most is
/// coming, unless that is too little and no more can be had there. Machines in several zones would be of no use.
pub(super) fn zone_for(
    d: &Demand,
    types: &Types,
    coming: &[(String, String, bool, Resources)],
    out_of: impl Fn(&str) -> bool,
) -> Option<String> {
    if !d.one_zone || d.together <= 1 {
        return None;
    }
    let mut zones: BTreeMap<&str, i64> = BTreeMap::new();
    for (kind, zone, spot, free) in coming {
        let fits = (d.kinds.is_empty() || d.kinds.contains(kind))
            && d.zone.as_ref().is_none_or(|z| z == zone)
            && *spot <= d.spot;
        if fits {
            *zones.entry(zone).or_default() += free.count_of(d.room).clamp(0, 10_000);
        }
    }
    if zones.values().all(|n| *n == 0) {
        return None;
    }
    for z in types.values().flat_map(|t| &t.zones).filter(|z| d.zone.as_ref().is_none_or(|only| only == *z)) {
        zones.entry(z).or_default();
    }
    let best = zones.into_iter().filter(|(z, n)| *n >= i64::from(d.count) || !out_of(z));
    best.max_by_key(|(z, n)| (*n, std::cmp::Reverse(*z))).map(|(z, _)| z.to_owned())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind(name: &str, cpus: f64, gpus: f64) -> (String, MachineType) {
        let t = MachineType {
            name: name.into(),
            cpus,
            gpus,
            memory_gb: 64.0,
            price: cpus,
            spot_price: cpus,
            boot_s: 40.0,
            zones: vec!["a".into(), "b".into()],
        };
        (t.name.clone(), t)
    }

    /// Machines for one gang in two zones, half of them in each, serve nobody.
    #[test]
    fn a_gang_of_one_zone_is_rented_for_where_its_machines_are_coming() {
        let types: Types = [kind("k", 16.0, 0.0)].into();
        let d = Demand {
            room: Resources::need(15.0, 0.0, 1.0),
            kinds: Vec::new(),
            zone: None,
            one_zone: true,
            spot: false,
            count: 24,
            estimate: Micros(0),
            priority: 1,
            horizon: Micros(0),
            together: 24,
        };
        let coming =
            |b: usize| vec![("k".to_owned(), "b".to_owned(), false, Resources::need(16.0, 0.0, 64.0)); b];
        let zone = |b: usize, out: &[&str]| zone_for(&d, &types, &coming(b), |z| out.contains(&z));
        assert_eq!(zone(0, &[]), None, "nothing is coming: wherever it is cheapest");
        assert_eq!(zone(10, &[]).as_deref(), Some("b"));
        assert_eq!(zone(10, &["b"]).as_deref(), Some("a"), "no more to be had there");
        assert_eq!(zone(24, &["b"]).as_deref(), Some("b"), "all of it is coming");
    }

    #[test]
    fn headroom_counts_gpus_by_themselves() {
        let types: Types = [kind("k", 16.0, 0.0), kind("g", 96.0, 8.0)].into();
        let none = BTreeMap::new();
        assert!(headroom(Resources::need(500.0, 40.0, 0.0), &types, &none).is_empty(), "nothing runs");
        let seen = |name: &str, kind: &str, free: Resources| {
            let d = crate::peer::MachineStatus {
                name: name.into(),
                kind: kind.into(),
                zone: "a".into(),
                spot: false,
                standing: crate::peer::InventoryState::Known,
                open: true,
                notice: None,
                free,
                total: types[kind].room(),
                by_priority: Vec::new(),
                images: Vec::new(),
                busy: 1,
                idle: None,
                silent: None,
                tasks: Vec::new(),
            };
            MachineSnapshot::new(Micros(1), d)
        };
        let busy = [
            seen("1", "g", Resources::need(90.0, 0.0, 9.0)),
            seen("2", "k", Resources::need(16.0, 0.0, 9.0)),
        ];
        let by_name = busy.iter().map(|d| (d.name.as_str(), d)).collect();
        let wanted = headroom(Resources::need(500.0, 40.0, 0.0), &types, &by_name);
        let shapes: Vec<(i64, i64)> = wanted.iter().map(|d| (d.room.gpus, i64::from(d.count))).collect();
        assert_eq!(
            shapes,
            [(8000, 1)],
            "a quarter of the eight in use; processors beside GPUs are no headroom"
        );
        assert!(
            headroom(Resources::need(500.0, 0.0, 0.0), &types, &by_name).is_empty(),
            "no GPUs are guaranteed"
        );
    }
}
