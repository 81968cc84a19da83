use super::super::scale_out::CapacityPool;
use super::*;

fn machine_type(name: &str, cpus: f64, gpus: f64) -> (String, MachineType) {
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
    let types: MachineTypes = [machine_type("k", 16.0, 0.0)].into();
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
    let pool = CapacityPool { machine_type: "k".into(), zone: "b".into(), spot: false };
    let machine = Capacity { pool, resources: Resources::rounded_up(16.0, 0.0, 64.0) };
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
    let types: MachineTypes = [machine_type("k", 16.0, 0.0), machine_type("g", 96.0, 8.0)].into();
    let none = BTreeMap::new();
    assert!(
        headroom_demands(Resources::rounded_up(500.0, 40.0, 0.0), &types, &none).is_empty(),
        "nothing runs"
    );
    let seen = |name: &str, machine_type: &str, free: Resources| {
        let status = crate::peer::MachineStatus {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: "a".into(),
            spot: false,
            inventory_state: crate::peer::InventoryState::Known,
            is_schedulable: true,
            time_to_termination: None,
            free,
            total: types[machine_type].capacity(),
            used_by_priority: Vec::new(),
            images: Vec::new(),
            task_count: 1,
            idle_time: None,
            silent_time: None,
            tasks: Vec::new(),
        };
        MachineSnapshot::new(Micros(1), status)
    };
    let busy = [
        seen("1", "g", Resources::rounded_up(90.0, 0.0, 9.0)),
        seen("2", "k", Resources::rounded_up(16.0, 0.0, 9.0)),
    ];
    let by_name = busy.iter().map(|machine| (machine.name.as_str(), machine)).collect();
    let wanted = headroom_demands(Resources::rounded_up(500.0, 40.0, 0.0), &types, &by_name);
    let shapes: Vec<(i64, i64)> =
        wanted.iter().map(|demand| (demand.resources_per_task.gpus, i64::from(demand.count))).collect();
    assert_eq!(
        shapes,
        [(8000, 1)],
        "a quarter of the eight GPUs in use; processors of GPU machines don't count as headroom"
    );
    assert!(
        headroom_demands(Resources::rounded_up(500.0, 0.0, 0.0), &types, &by_name).is_empty(),
        "no GPUs are guaranteed"
    );
}
