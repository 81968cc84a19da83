use super::*;

fn with_gpus(gpus: i64) -> ResourceVector {
    ResourceVector { gpus: gpus * 1000, cpus: gpus * 4000, memory: gpus * 8000 }
}
fn demand(gpus: i64, replicas: u32) -> ReplicaDemand {
    ReplicaDemand {
        team: "serve".into(),
        base_priority: 3,
        within_guarantee: true,
        resources_per_replica: with_gpus(gpus),
        replicas,
        zone_quota: None,
        one_zone: false,
    }
}
fn machine(name: &str, free: i64) -> Machine {
    Machine { name: name.into(), zone: "a".into(), free: with_gpus(free), has_image: false }
}
/// A running task; it belongs to a gang if the job's name begins with `g`.
fn task(job: &str, index: u32, machine: &str, gpus: i64, lost_s: u64) -> Task {
    Task {
        job: job.into(),
        index,
        attempt: 1,
        team: "vision".into(),
        base_priority: 1,
        within_guarantee: false,
        is_gang: job.starts_with('g'),
        machine: machine.into(),
        resources: with_gpus(gpus),
        lost_work_ms: lost_s * 1000,
        protected: false,
    }
}
/// The preemptions of claims: machine, lending job and number of tasks.
fn preemptions(claims: &[Claim]) -> Vec<(String, String, usize)> {
    let preempted = claims.iter().flat_map(|claim| {
        claim.shares.iter().map(|share| (claim.machine.clone(), share.job.clone(), share.tasks.len()))
    });
    preempted.collect()
}

#[test]
fn preemption_depends_on_guarantee_priority_and_team() {
    let ordinary = task("a", 0, "m", 1, 0);
    let (within, beyond) = (demand(1, 1), ReplicaDemand { within_guarantee: false, ..demand(1, 1) });
    let urgent = Task { base_priority: 9, ..ordinary.clone() };
    let guaranteed = Task { within_guarantee: true, ..ordinary.clone() };
    let own_team = Task { team: "serve".into(), ..ordinary.clone() };
    assert!(
        can_preempt(&within, &ordinary) && can_preempt(&within, &urgent) && can_preempt(&beyond, &ordinary)
    );
    assert!(
        !can_preempt(&beyond, &urgent)
            && !can_preempt(&beyond, &Task { base_priority: 3, ..ordinary.clone() })
    );
    for demand in [&within, &beyond] {
        assert!(!can_preempt(demand, &guaranteed) && !can_preempt(demand, &own_team));
    }
}

#[test]
fn machine_is_chosen_by_image_then_gpus_then_lost_work() {
    let mut machines = vec![machine("m1", 0), machine("m2", 0), machine("m3", 2)];
    let tasks: Vec<Task> = vec![
        task("a", 0, "m1", 4, 10),
        task("b", 0, "m2", 4, 5),
        task("c", 0, "m3", 2, 500),
        task("c", 1, "m3", 4, 500),
    ];
    assert_eq!(
        preemptions(&choose_preemptions(&demand(4, 1), &machines, &tasks)),
        [("m3".into(), "c".into(), 1)],
        "two GPUs are fewer than four"
    );
    machines.pop();
    assert_eq!(
        preemptions(&choose_preemptions(&demand(4, 1), &machines, &tasks)),
        [("m2".into(), "b".into(), 1)]
    );
    machines[0].has_image = true;
    assert_eq!(
        preemptions(&choose_preemptions(&demand(4, 1), &machines, &tasks)),
        [("m1".into(), "a".into(), 1)]
    );
    machines.push(machine("m4", 4));
    assert!(choose_preemptions(&demand(4, 1), &machines, &tasks).is_empty(), "free resources are used first");
}

#[test]
fn one_whole_gang_is_preempted_rather_than_parts_of_three() {
    let machines: Vec<Machine> = (0..6).map(|i| machine(&format!("m{i}"), 0)).collect();
    let mut tasks: Vec<Task> = (0..3).map(|i| task("g0", i, &format!("m{i}"), 8, 9)).collect();
    for gang in 1..4u32 {
        // Gangs of two tasks: one on a machine of its own, one on a machine that the service must not use.
        tasks.push(task(&format!("g{gang}"), 0, &format!("m{}", 2 + gang), 8, 1));
        tasks.push(task(&format!("g{gang}"), 1, "elsewhere", 8, 1));
    }
    let chosen = preemptions(&choose_preemptions(&demand(8, 3), &machines, &tasks));
    assert_eq!(chosen.iter().map(|share| share.1.as_str()).collect::<BTreeSet<_>>(), ["g0"].into());
    assert_eq!(chosen.len(), 3, "the resources of each machine are claimed");
    tasks[1].within_guarantee = true;
    assert!(
        !preemptions(&choose_preemptions(&demand(8, 3), &machines, &tasks))
            .iter()
            .any(|share| share.1 == "g0"),
        "a gang is never preempted in part"
    );
}
