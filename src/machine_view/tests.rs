use super::*;
use crate::config::settings::Settings;
use crate::machine_shard::{Heartbeat, HeartbeatTask, MachineShard};
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
use crate::units::Resources;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn setup() -> (Membership, MachineShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let settings = Settings::parse("test", text).expect("valid");
    let mut membership = Membership::new(&settings, 1);
    membership.adopt_epoch(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
    let mut shard = MachineShard::new(&settings);
    shard.adopt_epoch(Micros(1), &membership, false, |_| None);
    (membership, shard)
}

fn heartbeat(machine: usize, sequence: u64, tasks: &BTreeSet<(u32, u64)>) -> Heartbeat {
    let tasks = tasks
        .iter()
        .map(|&(index, attempt)| HeartbeatTask {
            task: format!("wk-1/{index}"),
            attempt,
            state: "running".into(),
            cause: None,
            saved: None,
        })
        .collect();
    Heartbeat {
        machine: format!("i-{machine}"),
        addr: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence,
        token: 7,
        time_to_termination_s: None,
        tasks,
    }
}

/// Deltas and desired states are lost, duplicated and reordered. Once one exchange succeeds, the job shard's view
/// must equal the machine shard's state, and the machine shard must hold only starts that are desired.
#[test]
fn view_converges_to_the_machine_shard_despite_lost_and_reordered_messages() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (membership, mut shard) = setup();
        let capacity = |_: &str| Some(Resources { cpus: 64_000, gpus: 0, memory: 64_000 });
        let mut view = MachineView::default();
        let mut now = Micros(1_000_000);
        let mut deltas: Vec<MachineStatusDelta> = Vec::new();
        let mut state_messages: Vec<DesiredState> = Vec::new();
        // The job shard's side, reduced to its rule: send all that changed since the last acknowledged revision.
        let mut desired_starts: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
        let mut removed_starts: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
        let (mut current_revision, mut heartbeat_sequence) = (7u64 << 32, 0u64);
        for _ in 0..150 {
            now = now + Micros::from_millis(50);
            match rng.random_range(0..7) {
                0 | 1 => {
                    let machine = rng.random_range(0..6);
                    let tasks = (0..rng.random_range(0..3u32)).map(|i| (i, 9)).collect();
                    heartbeat_sequence += 1;
                    shard.apply_heartbeat(now, &membership, &heartbeat(machine, heartbeat_sequence, &tasks));
                }
                2 => {
                    let machine = format!("i-{}", rng.random_range(0..7));
                    let key = TaskKey { job: "wk-1".into(), index: 50, attempt: current_revision };
                    desired_starts.insert((machine, key), current_revision + 1);
                }
                3 => {
                    if let Some(key) = desired_starts.keys().next().cloned() {
                        desired_starts.remove(&key);
                        removed_starts.insert(key, current_revision + 1);
                    }
                }
                4 => {
                    current_revision += 1;
                    let since = view.revision_seen(7);
                    let since = if since > 7 << 32 { since } else { 0 };
                    let list = desired_starts
                        .iter()
                        .filter(|(_, revision)| **revision > since)
                        .map(|((machine, key), _)| DesiredTask {
                            key: key.clone(),
                            machine: machine.clone(),
                            resources: Resources { cpus: 1000, gpus: 0, memory: 0 },
                            action: DesiredAction::Hold,
                            priority: 0,
                            image: 0,
                        })
                        .collect();
                    let removed = removed_starts
                        .iter()
                        .filter(|(_, revision)| **revision > since)
                        .map(|(key, _)| key.clone())
                        .collect();
                    state_messages.push(DesiredState {
                        revision: current_revision,
                        base_revision: since,
                        tasks: list,
                        removed,
                    });
                }
                5 => deltas.push(shard.status_delta(now, &membership, 0, view.sequence(7), capacity)),
                _ => shard.expire_leases(now, &membership),
            }
            if !deltas.is_empty() && rng.random_bool(0.4) {
                let i = rng.random_range(0..deltas.len());
                let delta = if rng.random_bool(0.3) { deltas[i].clone() } else { deltas.swap_remove(i) };
                view.apply_delta(now, 7, delta);
            }
            if !state_messages.is_empty() && rng.random_bool(0.4) {
                let i = rng.random_range(0..state_messages.len());
                let state = if rng.random_bool(0.3) {
                    state_messages[i].clone()
                } else {
                    state_messages.swap_remove(i)
                };
                shard.apply_desired_state(now, 0, &state, &membership, capacity);
            }
        }
        view.apply_delta(now, 7, shard.status_delta(now, &membership, 0, view.sequence(7), capacity));
        let full = shard.status_delta(now, &membership, 0, 0, capacity);
        assert_eq!(full.base_sequence, 0);
        let held = view.machines(7).expect("a status of this epoch");
        assert_eq!(held.len(), full.machines.len(), "seed {seed}");
        for expected in full.machines {
            let snapshot = &held[&expected.name];
            // Time spans count from when each status was sent.
            let without_spans = |status: &MachineStatus| MachineStatus {
                idle_time: None,
                silent_time: None,
                ..status.clone()
            };
            assert_eq!(without_spans(snapshot), without_spans(&expected), "seed {seed}");
            assert_eq!(
                (snapshot.idle_time.is_some(), snapshot.silent_time.is_some()),
                (expected.idle_time.is_some(), expected.silent_time.is_some())
            );
            for task in expected.tasks.iter().filter(|task| task.key.index == 50) {
                let key = (expected.name.clone(), task.key.clone());
                let is_newer =
                    removed_starts.get(&key).is_some_and(|&revision| revision > view.revision_seen(7));
                assert!(
                    desired_starts.contains_key(&key) || is_newer,
                    "seed {seed}: {key:?} is no longer desired"
                );
            }
        }
    }
}

/// Guards against treating a machine as gone when a new epoch gives it another leader and the old leader's status no
/// longer lists it. Its tasks would be started a second time.
#[test]
fn a_machine_missing_from_the_first_status_of_an_epoch_is_not_reported() {
    let (membership, mut shard) = setup();
    let capacity = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
    shard.apply_heartbeat(Micros(10), &membership, &heartbeat(1, 1, &BTreeSet::new()));
    shard.apply_heartbeat(Micros(10), &membership, &heartbeat(2, 1, &BTreeSet::new()));
    let mut view = MachineView::default();
    let all = shard.status_delta(Micros(20), &membership, 0, 0, capacity);
    view.apply_delta(Micros(30), 7, all.clone());
    let mut moved = MachineStatusDelta { sequence: (8 << 32) + 1, ..all };
    moved.machines.truncate(1);
    let change = view.apply_delta(Micros(40), 8, moved).expect("a new epoch");
    assert_eq!(change.names, BTreeSet::from(["i-1".to_owned()]));
}

/// The cost of a delta depends on the number of changes, not on the number of machines.
#[test]
fn a_delta_lists_only_changed_machines() {
    let (membership, mut shard) = setup();
    for i in 0..300 {
        shard.apply_heartbeat(Micros(10), &membership, &heartbeat(i, 1, &BTreeSet::new()));
    }
    let capacity = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
    let mut view = MachineView::default();
    let first = shard.status_delta(Micros(20), &membership, 0, 0, capacity);
    assert_eq!(first.machines.len(), 300);
    view.apply_delta(Micros(30), 7, first);
    shard.apply_heartbeat(Micros(40), &membership, &heartbeat(5, 2, &BTreeSet::from([(1, 3)])));
    for i in 10..300 {
        shard.apply_heartbeat(Micros(40), &membership, &heartbeat(i, 2, &BTreeSet::new()));
    }
    let next = shard.status_delta(Micros(50), &membership, 0, view.sequence(7), capacity);
    assert_eq!(next.machines.iter().map(|status| status.name.as_str()).collect::<Vec<_>>(), ["i-5"]);
    assert_eq!(view.apply_delta(Micros(60), 7, next).map(|change| change.names.len()), Some(1));
}
