use super::super::tests::{raw, running, shard_with_job, whole_status};
use super::*;
use crate::peer::{DesiredAction, InventoryState, MachineStatus, TaskKey};
use crate::units::TaskIndexSet;
use serde_json::json;

/// Guards against all work waiting for a few dead machines while the autoscaler sees no demand.
#[test]
fn tasks_blocked_by_a_dead_machine_create_demand_unless_likely_on_it() {
    let (membership, quota, mut shard, machine) = shard_with_job(raw("batch", 4, 0.0));
    let now = Micros::from_millis(1000);
    let fleet: Vec<MachineStatus> = (0..20)
        .map(|i| MachineStatus { name: format!("i-{i:02}"), is_schedulable: i < 2, ..machine.clone() })
        .collect();
    // A new epoch: one machine of twenty has not reported, and 40 tasks of an adopted job run on the others.
    shard.adopt_epoch(&membership, false);
    let mut raw_spec = raw("batch", 100, 0.0);
    raw_spec["uid"] = json!("wk-2");
    let spec = JobSpec::from_value(&raw_spec).expect("valid");
    shard.insert_job(raw_spec, spec, Micros(1), TaskIndexSet::default(), 1, false);
    shard.finish_loading(fleet.iter().map(|d| d.name.clone()));
    let mut seq = 0;
    let mut tell = |shard: &mut JobShard, unheard: usize| {
        let mut list = fleet.clone();
        for (i, d) in list.iter_mut().enumerate() {
            let key = |index| TaskKey { job: "wk-2".into(), index, attempt: 9 };
            match i < unheard {
                true => (d.inventory_state, d.is_schedulable) = (InventoryState::Unconfirmed, false),
                false => d.tasks = (0..2).map(|k| running(&key((i * 2 + k) as u32))).collect(),
            }
        }
        seq += 1;
        shard.apply_machine_status(now, &membership, 0, whole_status(&membership, seq, 0, list));
    };
    let asked = |shard: &mut JobShard, at: u64| {
        let now = Micros::from_millis(at);
        shard.run_scheduling_pass(now, now, &membership, &quota);
        shard.demands().iter().map(|d| d.count).sum::<u32>()
    };
    tell(&mut shard, 5);
    assert_eq!(asked(&mut shard, 1000), 0, "too few machines have reported");
    tell(&mut shard, 1);
    // Not counted are the tasks seen, those that are likely to be on the unreported machine, and those that
    // fit beside two others on the one schedulable machine.
    assert_eq!(asked(&mut shard, 2000), 100 - 38 - 2 - 2);
    assert!(
        shard.next_desired_state(0, &membership).tasks.iter().all(|w| w.action != DesiredAction::Run),
        "none of its tasks is placed"
    );
    assert_eq!(shard.unresolved_job_count(), 1);
    tell(&mut shard, 0);
    assert_eq!((shard.unresolved_job_count(), asked(&mut shard, 3000)), (0, 100 - 40 - 4));
}
