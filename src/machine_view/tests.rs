use super::*;
use crate::config::settings::Settings;
use crate::machine_shard::{Heartbeat, HeartbeatTask, MachineShard};
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
use crate::units::Resources;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn parts() -> (Membership, MachineShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let s = Settings::parse("test", text).expect("valid");
    let mut m = Membership::new(&s, 1);
    m.adopt_epoch(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
    let mut shard = MachineShard::new(&s);
    shard.adopt_epoch(Micros(1), &m, false, |_| None);
    (m, shard)
}

fn report(machine: usize, seq: u64, tasks: &BTreeSet<(u32, u64)>) -> Heartbeat {
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
        sequence: seq,
        token: 7,
        time_to_termination_s: None,
        tasks,
    }
}

/// Deltas and desired states get lost, repeated and overtaken. Once one round gets through, the job shard's view is the
/// machine shard's state, to the letter, and the machine shard holds just the starts that are wanted.
#[test]
fn view_agrees_with_its_machine_shard_whatever_happens_to_messages() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (m, mut shard) = parts();
        let room = |_: &str| Some(Resources { cpus: 64_000, gpus: 0, memory: 64_000 });
        let mut view = MachineView::default();
        let mut now = Micros(1_000_000);
        let mut deltas: Vec<MachineStatusDelta> = Vec::new();
        let mut desired: Vec<DesiredState> = Vec::new();
        // The job shard's side, reduced to its bare rule: all that changed since the last answer.
        let mut wanted: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
        let mut gone: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
        let (mut rev, mut seqs) = (7u64 << 32, 0u64);
        for _ in 0..150 {
            now = now + Micros::from_millis(50);
            match rng.random_range(0..7) {
                0 | 1 => {
                    let machine = rng.random_range(0..6);
                    let tasks = (0..rng.random_range(0..3u32)).map(|i| (i, 9)).collect();
                    seqs += 1;
                    shard.apply_heartbeat(now, &m, &report(machine, seqs, &tasks));
                }
                2 => {
                    let machine = format!("i-{}", rng.random_range(0..7));
                    let key = TaskKey { job: "wk-1".into(), index: 50, attempt: rev };
                    wanted.insert((machine, key), rev + 1);
                }
                3 => {
                    if let Some(k) = wanted.keys().next().cloned() {
                        wanted.remove(&k);
                        gone.insert(k, rev + 1);
                    }
                }
                4 => {
                    rev += 1;
                    let since = view.revision_seen(7);
                    let since = if since > 7 << 32 { since } else { 0 };
                    let list = wanted
                        .iter()
                        .filter(|(_, r)| **r > since)
                        .map(|((machine, key), _)| DesiredTask {
                            key: key.clone(),
                            machine: machine.clone(),
                            resources: Resources { cpus: 1000, gpus: 0, memory: 0 },
                            action: DesiredAction::Hold,
                            priority: 0,
                            image: 0,
                        })
                        .collect();
                    let dropped = gone.iter().filter(|(_, r)| **r > since).map(|(k, _)| k.clone()).collect();
                    desired.push(DesiredState {
                        revision: rev,
                        base_revision: since,
                        tasks: list,
                        removed: dropped,
                    });
                }
                5 => deltas.push(shard.status_delta(now, &m, 0, view.sequence(7), room)),
                _ => shard.expire_leases(now, &m),
            }
            if !deltas.is_empty() && rng.random_bool(0.4) {
                let i = rng.random_range(0..deltas.len());
                let delta = if rng.random_bool(0.3) { deltas[i].clone() } else { deltas.swap_remove(i) };
                view.apply_delta(now, 7, delta);
            }
            if !desired.is_empty() && rng.random_bool(0.4) {
                let i = rng.random_range(0..desired.len());
                let state = if rng.random_bool(0.3) { desired[i].clone() } else { desired.swap_remove(i) };
                shard.apply_desired_state(now, 0, &state, &m, room);
            }
        }
        view.apply_delta(now, 7, shard.status_delta(now, &m, 0, view.sequence(7), room));
        let whole = shard.status_delta(now, &m, 0, 0, room);
        assert_eq!(whole.base_sequence, 0);
        let seen = view.machines(7).expect("spoken");
        assert_eq!(seen.len(), whole.machines.len(), "seed {seed}");
        for w in whole.machines {
            let s = &seen[&w.name];
            // Spans count from when each was sent.
            let plain = |d: &MachineStatus| MachineStatus { idle_time: None, silent_time: None, ..d.clone() };
            assert_eq!(plain(s), plain(&w), "seed {seed}");
            assert_eq!(
                (s.idle_time.is_some(), s.silent_time.is_some()),
                (w.idle_time.is_some(), w.silent_time.is_some())
            );
            for t in w.tasks.iter().filter(|t| t.key.index == 50) {
                let key = (w.name.clone(), t.key.clone());
                let newer = gone.get(&key).is_some_and(|&r| r > view.revision_seen(7));
                assert!(wanted.contains_key(&key) || newer, "seed {seed}: {key:?} is wanted no more");
            }
        }
    }
}

/// After a new epoch the old leader names a machine no more that has moved to another one: that must not be taken for
/// the machine's end, or its tasks would be started again.
#[test]
fn machines_of_an_older_epoch_say_nothing_about_the_new_one() {
    let (m, mut shard) = parts();
    let room = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
    shard.apply_heartbeat(Micros(10), &m, &report(1, 1, &BTreeSet::new()));
    shard.apply_heartbeat(Micros(10), &m, &report(2, 1, &BTreeSet::new()));
    let mut view = MachineView::default();
    let all = shard.status_delta(Micros(20), &m, 0, 0, room);
    view.apply_delta(Micros(30), 7, all.clone());
    let mut moved = MachineStatusDelta { sequence: (8 << 32) + 1, ..all };
    moved.machines.truncate(1);
    let change = view.apply_delta(Micros(40), 8, moved).expect("a new epoch");
    assert_eq!(change.names, BTreeSet::from(["i-1".to_owned()]));
}

/// The cost of a delta is that of what changed, not of the fleet.
#[test]
fn delta_of_a_large_shard_names_only_what_changed() {
    let (m, mut shard) = parts();
    for i in 0..300 {
        shard.apply_heartbeat(Micros(10), &m, &report(i, 1, &BTreeSet::new()));
    }
    let room = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
    let mut view = MachineView::default();
    let first = shard.status_delta(Micros(20), &m, 0, 0, room);
    assert_eq!(first.machines.len(), 300);
    view.apply_delta(Micros(30), 7, first);
    shard.apply_heartbeat(Micros(40), &m, &report(5, 2, &BTreeSet::from([(1, 3)])));
    for i in 10..300 {
        shard.apply_heartbeat(Micros(40), &m, &report(i, 2, &BTreeSet::new()));
    }
    let next = shard.status_delta(Micros(50), &m, 0, view.sequence(7), room);
    assert_eq!(next.machines.iter().map(|d| d.name.as_str()).collect::<Vec<_>>(), ["i-5"]);
    assert_eq!(view.apply_delta(Micros(60), 7, next).map(|n| n.names.len()), Some(1));
}
