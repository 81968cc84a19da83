use super::*;

fn gpus(n: i64) -> ResourceVector {
    ResourceVector { gpus: n * 1000, cpus: n * 4000, memory: n * 8000 }
}
fn need(n: i64, replicas: u32) -> ReplicaDemand {
    ReplicaDemand {
        team: "serve".into(),
        base_priority: 3,
        within_guarantee: true,
        resources_per_replica: gpus(n),
        replicas,
        zone_quota: None,
        one_zone: false,
    }
}
fn machine(name: &str, free: i64) -> Machine {
    Machine { name: name.into(), zone: "a".into(), free: gpus(free), has_image: false }
}
fn task(job: &str, index: u32, machine: &str, n: i64, lost_s: u64) -> Task {
    Task {
        job: job.into(),
        index,
        attempt: 1,
        team: "vision".into(),
        base_priority: 1,
        within_guarantee: false,
        is_gang: job.starts_with('g'),
        machine: machine.into(),
        resources: gpus(n),
        lost_work_ms: lost_s * 1000,
        protected: false,
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
    let (within, beyond) = (need(1, 1), ReplicaDemand { within_guarantee: false, ..need(1, 1) });
    let urgent = Task { base_priority: 9, ..t.clone() };
    let safe = Task { within_guarantee: true, ..t.clone() };
    let own = Task { team: "serve".into(), ..t.clone() };
    assert!(may_preempt(&within, &t) && may_preempt(&within, &urgent) && may_preempt(&beyond, &t));
    assert!(!may_preempt(&beyond, &urgent) && !may_preempt(&beyond, &Task { base_priority: 3, ..t.clone() }));
    for n in [&within, &beyond] {
        assert!(!may_preempt(n, &safe) && !may_preempt(n, &own));
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
        stops(&choose_preemptions(&need(4, 1), &ms, &ts)),
        [("m3".into(), "c".into(), 1)],
        "two GPUs are fewer than four"
    );
    ms.pop();
    assert_eq!(stops(&choose_preemptions(&need(4, 1), &ms, &ts)), [("m2".into(), "b".into(), 1)]);
    ms[0].has_image = true;
    assert_eq!(stops(&choose_preemptions(&need(4, 1), &ms, &ts)), [("m1".into(), "a".into(), 1)]);
    ms.push(machine("m4", 4));
    assert!(choose_preemptions(&need(4, 1), &ms, &ts).is_empty(), "free room first");
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
    let got = stops(&choose_preemptions(&need(8, 3), &ms, &ts));
    assert_eq!(got.iter().map(|g| g.1.as_str()).collect::<BTreeSet<_>>(), ["g0"].into());
    assert_eq!(got.len(), 3, "each machine's room is held");
    ts[1].within_guarantee = true;
    assert!(!stops(&choose_preemptions(&need(8, 3), &ms, &ts)).iter().any(|g| g.1 == "g0"), "never in part");
}
