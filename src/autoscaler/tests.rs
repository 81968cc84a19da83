use super::demand::TypicalTask;
use super::headroom::headroom;
use super::inventory::BootingMachine;
use super::*;
use crate::peer::InventoryState;

fn machine_type(name: &str, cpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        price: cpus,
        spot_price: cpus / 3.0,
        boot_s: 40.0,
        zones: vec!["a".into()],
    }
}
fn demand(cpus: f64, spot: bool, priority: u8) -> Demand {
    Demand {
        resources_per_task: Resources::rounded_up(cpus, 0.0, 1.0),
        machine_types: Vec::new(),
        zone: None,
        one_zone: false,
        spot_allowed: spot,
        count: 0,
        estimated_run_time: Micros(0),
        priority,
        max_queue_time: Micros(0),
        gang_size: 1,
    }
}
fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 8.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}
pub(super) fn autoscaler(demands: Vec<Demand>) -> Autoscaler {
    let mut autoscaler = Autoscaler::new(1, &settings());
    for machine_type in [machine_type("small", 4.0), machine_type("large", 32.0)] {
        autoscaler.machine_types.insert(machine_type.name.clone(), machine_type);
    }
    autoscaler.record_demand(Micros(1), 0, demands);
    autoscaler.update_reserved(Micros(2), &[]);
    autoscaler
}

#[test]
fn large_class_is_reserved_for_work_that_fits_nowhere_else() {
    let autoscaler = autoscaler(vec![demand(30.0, false, 2), demand(1.0, true, 0)]);
    assert_eq!(autoscaler.reserved_classes(), [("large".to_owned(), false, 2)]);
}

/// Work that may use on-demand machines only starves if all of them are left to more urgent work.
#[test]
fn no_class_is_reserved_from_work_that_has_nowhere_else_to_go() {
    let autoscaler = autoscaler(vec![demand(4.0, false, 1), demand(1.0, false, 0), demand(1.0, true, 0)]);
    assert_eq!(autoscaler.reserved_classes(), Vec::new());
}

pub(super) fn machine(i: usize, kind: &str, free: f64, total: f64) -> MachineSnapshot {
    let status = crate::peer::MachineStatus {
        name: format!("i-{i:03}"),
        machine_type: kind.into(),
        zone: "a".into(),
        spot: false,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: Resources::rounded_up(free, 0.0, 64.0),
        total: Resources::rounded_up(total, 0.0, 64.0),
        used_by_priority: vec![(0, Resources::rounded_up(total - free, 0.0, 0.0))],
        images: Vec::new(),
        task_count: (total - free) as u32,
        idle_time: None,
        silent_time: None,
        tasks: Vec::new(),
    };
    MachineSnapshot::new(Micros(1), status)
}

fn by_name(list: &[MachineSnapshot]) -> BTreeMap<&str, &MachineSnapshot> {
    list.iter().map(|machine| (machine.name.as_str(), machine)).collect()
}

/// If all on-demand machines were left to gangs, arrays would have a few spot machines.
#[test]
fn few_spot_machines_do_not_count_as_somewhere_else_to_go() {
    let gang = Demand {
        resources_per_task: Resources::rounded_up(96.0, 8.0, 1.0),
        gang_size: 4,
        ..demand(96.0, false, 11)
    };
    let array = Demand { resources_per_task: Resources::rounded_up(8.0, 1.0, 1.0), ..demand(8.0, true, 10) };
    let reserved = |spots: usize| {
        let mut autoscaler = autoscaler(vec![gang.clone(), array.clone()]);
        autoscaler.machine_types.insert("g".into(), MachineType { gpus: 8.0, ..machine_type("g", 96.0) });
        let mut seen: Vec<MachineSnapshot> = (0..60).map(|i| machine(i, "large", 0.0, 32.0)).collect();
        for i in 0..12 + spots {
            let plain = machine(100 + i, "g", 96.0, 96.0);
            let total = Resources::rounded_up(96.0, 8.0, 64.0);
            seen.push(MachineSnapshot::new(
                Micros(1),
                crate::peer::MachineStatus { total, spot: i >= 12, ..(*plain).clone() },
            ));
        }
        autoscaler.update_reserved(Micros(2), &seen.iter().collect::<Vec<_>>());
        autoscaler.reserved.classes.len()
    };
    assert_eq!((reserved(2), reserved(8)), (0, 1));
}

/// Small tasks on all big machines but a few: gangs find those few, and the rest is not idle.
#[test]
fn of_many_large_machines_some_are_reserved_for_gangs_and_stay_the_same() {
    let mut autoscaler =
        autoscaler(vec![Demand { gang_size: 3, ..demand(30.0, false, 2) }, demand(1.0, true, 0)]);
    let mut seen: Vec<MachineSnapshot> =
        (0..60).map(|i| machine(i, "large", if i < 6 { 20.0 } else { 2.0 }, 32.0)).collect();
    autoscaler.update_reserved(Micros(2), &seen.iter().collect::<Vec<_>>());
    assert_eq!(autoscaler.reserved_classes(), Vec::new(), "enough of them that a part will do");
    let first = autoscaler.reserved.machines.clone();
    assert_eq!(first.len(), 6, "two gangs of three");
    assert!(first.keys().all(|n| n.as_str() < "i-006"), "those that are emptiest");
    seen.extend((60..70).map(|i| machine(i, "large", 32.0, 32.0)));
    autoscaler.update_reserved(Micros(3), &seen.iter().collect::<Vec<_>>());
    assert_eq!(
        autoscaler.reserved.machines, first,
        "a choice that moved on would empty one machine after another"
    );
    autoscaler.update_reserved(Micros(4), &seen[..8].iter().collect::<Vec<_>>());
    assert!(!autoscaler.reserved.classes.is_empty(), "of a few, all are left to the gangs");
}

#[test]
fn headroom_follows_what_runs_and_ends_with_it() {
    let autoscaler = autoscaler(vec![]);
    let promised = Resources { cpus: 1_000_000, ..Resources::default() };
    let full: Vec<MachineSnapshot> = (0..20).map(|i| machine(i, "large", 0.0, 32.0)).collect();
    // A quarter of 640 in use, which is less than a fifth of 1,000: 160, five machines.
    assert_eq!(
        headroom(promised, &autoscaler.machine_types, &by_name(&full))
            .first()
            .map(|d| (d.count, d.spot_allowed)),
        Some((6, false))
    );
    let idle: Vec<MachineSnapshot> = (0..20).map(|i| machine(i, "large", 32.0, 32.0)).collect();
    assert!(headroom(promised, &autoscaler.machine_types, &by_name(&idle)).is_empty());
}

/// One machine every few seconds would keep a large fleet for minutes after a surge.
#[test]
fn clear_surplus_is_chosen_in_batches_unless_work_queues() {
    let mut autoscaler = autoscaler(vec![]);
    autoscaler.demand.typical = Some(TypicalTask {
        resources: Resources::rounded_up(1.0, 0.0, 1.0),
        run_time: Micros(20_000_000),
        horizon: Micros(60_000_000),
    });
    let idle: Vec<MachineSnapshot> = (0..100).map(|i| machine(i, "small", 3.0, 4.0)).collect();
    let by_name = by_name(&idle);
    let old = |machine: &MachineSnapshot| CloudMachine {
        name: machine.name.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: false,
        state: MachineState::Running,
        age_s: 100.0,
    };
    autoscaler.inventory.listed =
        Some(idle.iter().map(|machine| (machine.name.clone(), old(machine))).collect());
    autoscaler.update_surplus(Micros(10_000_000), &by_name);
    assert_eq!(autoscaler.scale_in.surplus.len(), 10);
    autoscaler.scale_in.surplus.clear();
    let queue = Demand {
        count: 5,
        estimated_run_time: Micros(20_000_000),
        max_queue_time: Micros(60_000_000),
        ..demand(1.0, true, 0)
    };
    autoscaler.record_demand(Micros(20_000_000), 0, vec![queue]);
    autoscaler.update_surplus(Micros(20_000_000), &by_name);
    assert_eq!(autoscaler.scale_in.surplus.len(), 1);
}

/// A machine that never comes up must not hold up the work it was added for until it is given back. All of them late at
/// once must not be added again.
#[test]
fn overdue_machine_is_replaced_but_not_a_whole_surge() {
    for (added, replaced) in [(1u64, 1), (20, 2)] {
        let mut autoscaler = autoscaler(vec![]);
        let waiting = Demand { count: 8 * added as u32, ..demand(4.0, false, 1) };
        let since = Micros(1_000_000);
        for i in 0..added {
            let booting = BootingMachine { kind: "large".into(), zone: "a".into(), spot: false, since };
            autoscaler.inventory.booting.insert(format!("i-{i}"), booting);
        }
        let mut scale_out = |seconds: u64| {
            let now = Micros(seconds * 1_000_000);
            autoscaler.record_demand(now, 0, vec![waiting.clone()]);
            autoscaler.next_scale_out(now, &BTreeMap::new()).map(|r| (r.machine_type, r.count))
        };
        assert_eq!(scale_out(50), None, "boots take 40 s");
        let room = scale_out(90).map(|(kind, n)| n * if kind == "large" { 8 } else { 1 });
        assert_eq!(room, Some(8 * replaced), "{added} added");
    }
}

/// While failovers follow one another in a surge, the work that waits for them asks for nothing: machines that idle for
/// want of it must not be given back and added anew.
#[test]
fn during_a_failover_only_failed_machines_are_given_back() {
    let mut autoscaler = autoscaler(vec![]);
    let late = Micros(200_000_000);
    let mut seen: Vec<MachineSnapshot> = (0..9).map(|i| machine(i, "small", 4.0, 4.0)).collect();
    for (i, machine) in seen.iter_mut().enumerate() {
        (machine.idle_since, machine.silent_since) = (Some(Micros(1)), (i == 4).then_some(Micros(1)));
    }
    let by_name = by_name(&seen);
    assert_eq!(autoscaler.next_scale_in(late, &by_name, Micros(1), false), ["i-004"], "the silent one");
    assert!(autoscaler.scale_in.draining.is_empty(), "the others stay open to the work that waits");
    autoscaler.next_scale_in(late, &by_name, Micros(1), true);
    assert_eq!(autoscaler.scale_in.draining.len(), 8, "a moment later they may go");
}

#[test]
fn scale_out_without_an_answer_is_repeated_under_its_name() {
    let mut autoscaler = autoscaler(vec![]);
    let waiting = Demand { count: 9, ..demand(1.0, false, 1) };
    autoscaler.inventory.listed = Some(BTreeMap::new());
    let fleet = FleetView { machines: &[], all_reported: true, failover_complete: true, members: &[0] };
    let mut names = BTreeSet::new();
    for i in 1..60u64 {
        let now = Micros(i * 1_000_000);
        autoscaler.record_demand(now, 0, vec![waiting.clone()]);
        if let Some(request) = autoscaler.next_request(now, Some(fleet)) {
            let answer = match &request {
                CloudRequest::List(_) => CloudAnswer::Page(Vec::new(), false),
                CloudRequest::MachineTypes => {
                    CloudAnswer::MachineTypes(autoscaler.machine_types.values().cloned().collect())
                }
                CloudRequest::ScaleOut(scale_out) => {
                    names.insert(scale_out.name.clone());
                    CloudAnswer::Failed
                }
                CloudRequest::ScaleIn(_) => CloudAnswer::ScaledIn,
            };
            autoscaler.apply_answer(now, &request, answer);
        }
    }
    assert_eq!(names.len(), 1, "{names:?}");
}
