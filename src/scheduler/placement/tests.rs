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
        machine_type: "k".into(),
        zone: zone.into(),
        spot,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: Resources::rounded_up(cpus, 0.0, 9.0),
        total: Resources::rounded_up(total, 0.0, 9.0),
        used_by_priority: Vec::new(),
        images: Vec::new(),
        task_count: 0,
        idle_time: Some(Micros(0)),
        silent_time: None,
        tasks: Vec::new(),
    }
}

/// Guards against late pipelines, as seen on sanaq-forms-next: a stage of 24 short tasks lost one with its
/// spot machine.
#[test]
fn urgent_tasks_without_checkpoints_prefer_on_demand_machines() {
    let machines = [machine("a".into(), "a", true, 2.0, 8.0), machine("b".into(), "a", false, 8.0, 8.0)];
    let at = |priority: u8, checkpoint: Micros| {
        let spec = JobSpec {
            spot_allowed: true,
            priority,
            checkpoint_interval: checkpoint,
            ..spec("batch", 2, false, false)
        };
        place_tasks(&spec, &mut targets(&machines), &mut ZoneCounts::new(), 2, |_| true)
    };
    assert_eq!(at(1, Micros(0)), [0, 1], "the fullest machine first");
    assert_eq!(at(2, Micros(0)), [1, 1]);
    assert_eq!(at(12, Micros(0)), [1, 1]);
    assert_eq!(at(2, Micros(5)), [0, 1], "tasks with checkpoints lose little");
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

fn targets(machines: &[MachineStatus]) -> Vec<PlacementTarget<'_>> {
    machines
        .iter()
        .map(|d| PlacementTarget {
            machine: d,
            free: d.free,
            unacknowledged: Resources::default(),
            local: false,
            reserved_for: None,
        })
        .collect()
}

#[test]
fn zone_rules_hold_for_random_fleets() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let machines = fleet(&mut rng);
        let targets = targets(&machines);
        let spec = spec("group", rng.random_range(1..8), rng.random_bool(0.5), rng.random_bool(0.4));
        let Some(at) = place_gang(&spec, &targets, &ZoneCounts::new(), |_| true) else { continue };
        assert_eq!(at.len(), spec.task_count as usize);
        let mut counts = ZoneCounts::new();
        let mut free: Vec<Resources> = targets.iter().map(|p| p.free).collect();
        for i in at {
            assert!(!machines[i].spot);
            assert!(free[i].can_hold(spec.resources_per_task));
            free[i] = free[i] - spec.resources_per_task;
            *counts.entry(machines[i].zone.clone()).or_default() += 1;
        }
        assert!(!spec.one_zone || counts.len() == 1);
        assert!(!spec.spread || counts.values().all(|&n| n <= spec.task_count.div_ceil(2)));
    }
}

/// Guards against a gang that gives up a reserved machine, as seen on sanaq-forms-ops: while the machine's
/// tasks were being stopped it seemed to have no resources to free, so for half a minute the gang reserved
/// other machines and had those emptied too.
#[test]
fn a_machine_that_is_being_emptied_counts_as_empty() {
    let mut machine_status = machine("i".into(), "a", false, 0.0, 16.0);
    machine_status.used_by_priority = vec![(2, Resources::rounded_up(6.0, 0.0, 1.0))];
    let mut target = targets(std::slice::from_ref(&machine_status)).remove(0);
    assert_eq!(
        target.free_after_preemption(2).cpus,
        10_000,
        "six remain in use; the rest is free or being stopped"
    );
    assert_eq!(target.free_after_preemption(3).cpus, 16_000);
    target.take(Resources::rounded_up(4.0, 0.0, 1.0));
    assert_eq!(target.free_after_preemption(2).cpus, 6_000, "allocated resources are not free");
}

/// If each task uses a whole machine, the image is the only difference between the machines.
#[test]
fn whole_machine_tasks_prefer_machines_with_the_image() {
    let spec = spec("group", 2, false, false);
    let mut machines: Vec<_> = (0..4).map(|i| machine(format!("i-{i}"), "a", false, 3.0, 3.0)).collect();
    machines[1].images = vec![spec.image_hash];
    machines[3].images = vec![spec.image_hash];
    assert_eq!(place_gang(&spec, &targets(&machines), &ZoneCounts::new(), |_| true), Some(vec![1, 3]));
}

/// Filling machine after machine must give the same result as choosing the fullest machine for each task.
#[test]
fn each_task_goes_where_it_leaves_the_machine_fullest() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let machines = fleet(&mut rng);
        let spec = spec("batch", rng.random_range(1..20), rng.random_bool(0.3), rng.random_bool(0.3));
        let (mut at_once, mut one_by_one) = (targets(&machines), targets(&machines));
        let (mut counts_at_once, mut counts_one_by_one) = (ZoneCounts::new(), ZoneCounts::new());
        let placed_at_once =
            place_tasks(&spec, &mut at_once, &mut counts_at_once, spec.task_count as usize, |_| true).len();
        let placed_one_by_one = (0..spec.task_count)
            .filter(|_| !place_tasks(&spec, &mut one_by_one, &mut counts_one_by_one, 1, |_| true).is_empty())
            .count();
        let free = |p: &[PlacementTarget]| p.iter().map(|p| p.free).collect::<Vec<_>>();
        assert_eq!(
            (placed_at_once, counts_at_once, free(&at_once)),
            (placed_one_by_one, counts_one_by_one, free(&one_by_one)),
            "seed {seed}"
        );
    }
    let machines = [
        machine("wide".into(), "a", false, 9.0, 16.0),
        machine("snug".into(), "a", false, 2.5, 16.0),
        machine("small".into(), "a", false, 1.0, 16.0),
    ];
    let mut targets = targets(&machines);
    let spec = spec("batch", 1, false, false);
    assert_eq!(place_tasks(&spec, &mut targets, &mut ZoneCounts::new(), 1, |_| true), [1]);
}
