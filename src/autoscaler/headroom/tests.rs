use super::super::scale_out::CapacityPool;
use super::*;

fn kind(name: &str, cpus: f64, gpus: f64) -> (String, MachineType) {
    let machine_type = MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 64.0,
        price: cpus,
        spot_price: cpus,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    };
    (machine_type.name.clone(), machine_type)
}

/// A single-zone gang cannot use machines if half of them are added in each of two zones.
#[test]
fn single_zone_gang_is_completed_in_the_zone_of_its_arriving_machines() {
    let types: Types = [kind("k", 16.0, 0.0)].into();
    let demand = Demand {
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
    let pool = CapacityPool { kind: "k".into(), zone: "b".into(), spot: false };
    let machine = Capacity { pool, resources: Resources::need(16.0, 0.0, 64.0) };
    let arriving = |count: usize| vec![machine.clone(); count];
    let zone = |count: usize, out: &[&str]| {
        choose_gang_zone(&demand, &types, &arriving(count), |z| out.contains(&z))
    };
    assert_eq!(zone(0, &[]), None, "nothing is arriving, so any zone will do");
    assert_eq!(zone(10, &[]).as_deref(), Some("b"));
    assert_eq!(zone(10, &["b"]).as_deref(), Some("a"), "zone b has no more capacity");
    assert_eq!(zone(24, &["b"]).as_deref(), Some("b"), "all machines of the gang are arriving in zone b");
}

#[test]
fn headroom_counts_gpus_and_processors_separately() {
    let types: Types = [kind("k", 16.0, 0.0), kind("g", 96.0, 8.0)].into();
    let none = BTreeMap::new();
    assert!(headroom_demands(Resources::need(500.0, 40.0, 0.0), &types, &none).is_empty(), "nothing runs");
    let seen = |name: &str, kind: &str, free: Resources| {
        let status = crate::peer::MachineStatus {
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
        MachineSnapshot::new(Micros(1), status)
    };
    let busy =
        [seen("1", "g", Resources::need(90.0, 0.0, 9.0)), seen("2", "k", Resources::need(16.0, 0.0, 9.0))];
    let by_name = busy.iter().map(|machine| (machine.name.as_str(), machine)).collect();
    let wanted = headroom_demands(Resources::need(500.0, 40.0, 0.0), &types, &by_name);
    let shapes: Vec<(i64, i64)> =
        wanted.iter().map(|demand| (demand.room.gpus, i64::from(demand.count))).collect();
    assert_eq!(
        shapes,
        [(8000, 1)],
        "a quarter of the eight GPUs in use; processors of GPU machines don't count as headroom"
    );
    assert!(
        headroom_demands(Resources::need(500.0, 0.0, 0.0), &types, &by_name).is_empty(),
        "no GPUs are guaranteed"
    );
}
