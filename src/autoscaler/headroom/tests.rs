use super::super::scale_out::CapacityPool;
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
fn single_zone_gang_is_completed_where_its_machines_are_arriving() {
    let types: MachineTypes = [kind("k", 16.0, 0.0)].into();
    let demand = Demand {
        resources_per_task: Resources::rounded_up(15.0, 0.0, 1.0),
        machine_types: Vec::new(),
        zone: None,
        one_zone: true,
        spot_allowed: false,
        count: 24,
        estimated_run_time: Micros(0),
        priority: 1,
        max_queue_time: Micros(0),
        gang_size: 24,
    };
    let pool = CapacityPool { kind: "k".into(), zone: "b".into(), spot: false };
    let machine = Capacity { pool, resources: Resources::rounded_up(16.0, 0.0, 64.0) };
    let arriving = |count: usize| vec![machine.clone(); count];
    let zone = |count: usize, out: &[&str]| zone_for(&demand, &types, &arriving(count), |z| out.contains(&z));
    assert_eq!(zone(0, &[]), None, "nothing is arriving: wherever it is cheapest");
    assert_eq!(zone(10, &[]).as_deref(), Some("b"));
    assert_eq!(zone(10, &["b"]).as_deref(), Some("a"), "no more to be had there");
    assert_eq!(zone(24, &["b"]).as_deref(), Some("b"), "all of it is arriving");
}

#[test]
fn headroom_counts_gpus_by_themselves() {
    let types: MachineTypes = [kind("k", 16.0, 0.0), kind("g", 96.0, 8.0)].into();
    let none = BTreeMap::new();
    assert!(headroom(Resources::rounded_up(500.0, 40.0, 0.0), &types, &none).is_empty(), "nothing runs");
    let seen = |name: &str, kind: &str, free: Resources| {
        let d = crate::peer::MachineStatus {
            name: name.into(),
            machine_type: kind.into(),
            zone: "a".into(),
            spot: false,
            inventory_state: crate::peer::InventoryState::Known,
            is_schedulable: true,
            time_to_termination: None,
            free,
            total: types[kind].capacity(),
            used_by_priority: Vec::new(),
            images: Vec::new(),
            task_count: 1,
            idle_time: None,
            silent_time: None,
            tasks: Vec::new(),
        };
        MachineSnapshot::new(Micros(1), d)
    };
    let busy = [
        seen("1", "g", Resources::rounded_up(90.0, 0.0, 9.0)),
        seen("2", "k", Resources::rounded_up(16.0, 0.0, 9.0)),
    ];
    let by_name = busy.iter().map(|d| (d.name.as_str(), d)).collect();
    let wanted = headroom(Resources::rounded_up(500.0, 40.0, 0.0), &types, &by_name);
    let shapes: Vec<(i64, i64)> =
        wanted.iter().map(|d| (d.resources_per_task.gpus, i64::from(d.count))).collect();
    assert_eq!(shapes, [(8000, 1)], "a quarter of the eight in use; processors beside GPUs are no headroom");
    assert!(
        headroom(Resources::rounded_up(500.0, 0.0, 0.0), &types, &by_name).is_empty(),
        "no GPUs are guaranteed"
    );
}
