use super::*;
use crate::peer::{InventoryState, MachineStatus};
use serde_json::json;

fn machine(i: usize, zone: &str, busy: &[(u8, i64)]) -> MachineStatus {
    let total = Resources { cpus: 16_000, gpus: 0, memory: 64_000 };
    let by_priority: Vec<(u8, Resources)> =
        busy.iter().map(|(p, c)| (*p, Resources { cpus: *c, ..Resources::default() })).collect();
    MachineStatus {
        name: format!("i-{i:02}"),
        machine_type: "k".into(),
        zone: zone.into(),
        spot: false,
        inventory_state: InventoryState::Known,
        is_schedulable: true,
        time_to_termination: None,
        free: by_priority.iter().fold(total, |a, (_, r)| a - *r),
        total,
        used_by_priority: by_priority,
        images: Vec::new(),
        task_count: 0,
        idle_time: None,
        silent_time: None,
        tasks: Vec::new(),
    }
}

fn gang(tasks: u32, priority: u8) -> JobSpec {
    let raw = json!({"uid":"wk-1","breed":"b","herd":"t","gait":"group","rank":"idle","strides":tasks,"vcpus":15.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":false,"rideS":1,
        "restS":0,"unsaddleS":0});
    JobSpec { priority, ..JobSpec::from_value(&raw).expect("valid") }
}

/// The machines reserved for a gang.
fn reserve(
    machines: &[MachineStatus],
    spec: &JobSpec,
    quota_tier: QuotaTier,
    overdue: bool,
    taken: &BTreeSet<String>,
) -> Vec<String> {
    let request = ReservationRequest { spec, quota_tier, overdue, previous: &[], taken };
    reserve_machines(&mut targets(machines), &request).names
}

fn targets(machines: &[MachineStatus]) -> Vec<PlacementTarget<'_>> {
    let target = |d| PlacementTarget {
        machine: d,
        free: d.free,
        unacknowledged: Resources::default(),
        local: false,
        reserved_for: None,
    };
    machines.iter().map(target).collect()
}

/// Guards against a deadlock of two large gangs that each hold half of the machines they need.
#[test]
fn a_gang_reserves_all_its_machines_or_none_and_none_reserved_by_another_leader() {
    let machines: Vec<MachineStatus> = (0..40).map(|i| machine(i, "a", &[(0, 4000)])).collect();
    let reserved = |taken: usize| {
        let taken = (0..taken).map(|i| format!("i-{i:02}")).collect();
        reserve(&machines, &gang(24, 1), QuotaTier::NoGuarantee, false, &taken)
    };
    assert_eq!(reserved(0).len(), 24);
    assert!(reserved(16).iter().all(|n| n.as_str() >= "i-16") && reserved(16).len() == 24);
    assert!(reserved(17).is_empty(), "only 23 are left");
}

#[test]
fn borrowing_gangs_do_not_count_on_tasks_they_may_not_preempt() {
    let machines =
        [machine(0, "a", &[(1, 15_000)]), machine(1, "a", &[(0, 15_000)]), machine(2, "a", &[(10, 9000)])];
    let reserved = |tasks, quota_tier, overdue| {
        reserve(&machines, &gang(tasks, 11), quota_tier, overdue, &BTreeSet::new())
    };
    let count = |tasks, quota_tier| reserved(tasks, quota_tier, false).len();
    assert_eq!(reserved(1, QuotaTier::Within, false), ["i-02"], "the machine with the least work");
    assert_eq!(
        (count(3, QuotaTier::Within), count(3, QuotaTier::Beyond), count(2, QuotaTier::Beyond)),
        (3, 0, 2)
    );
    assert_eq!(
        reserved(3, QuotaTier::Beyond, true).len(),
        3,
        "an overdue gang also reserves machines whose tasks it may not preempt"
    );
}
