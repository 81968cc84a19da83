//! Jobs of two or three tasks whose outcomes are far apart in time, while their leaders change. The outcome of one
//! task is known only to its machine, to a machine leader, or from a record whose write was truncated or had no
//! response.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::{JobOutcome, JobShard, RecordWrite};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::*;
use hazelsaddle::quota::QuotaLedger;
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 3;
const JOB: &str = "wk-1";

/// With `small`, the job description fills its record, so that no progress fits into it.
fn settings(small: bool) -> Settings {
    let kb = if small { 0.28 } else { 4.0 };
    let text = format!(
        "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = {kb}\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("test", &text).expect("valid")
}

/// The job's state in the state store.
#[derive(Clone, Default)]
struct Stored {
    done: TaskIndexSet,
    end: bool,
    store_version: u64,
}

struct Play {
    rng: StdRng,
    small: bool,
    seed: u64,
    tasks: u32,
    kind: &'static str,
    store: Stored,
    /// The tasks that each machine really has.
    on: Vec<BTreeMap<TaskKey, TaskPhase>>,
    /// Attempts that were started in this epoch.
    decided: BTreeSet<TaskKey>,
    /// Completed tasks. Another attempt of one of them ends at once.
    completed: Vec<bool>,
    ran_again: u32,
    cut: u32,
}

impl Play {
    fn alive(&self, index: u32) -> usize {
        let here = |(k, p): &(&TaskKey, &TaskPhase)| {
            k.index == index && !matches!(p, TaskPhase::Exited(_) | TaskPhase::Held)
        };
        self.on.iter().flatten().filter(here).count()
    }

    fn spec(&self) -> (serde_json::Value, JobSpec) {
        let raw = json!({
            "uid": JOB,
            "breed": "b",
            "herd": "t",
            "gait": self.kind,
            "rank": "high",
            "strides": self.tasks,
            "vcpus": 2.0,
            "cards": 0,
            "ramGb": 1.0,
            "tack": "i",
            "imageGb": 1,
            "together": false,
            "scatter": false,
            "borrowed": true,
            "rideS": 1,
            "restS": 0,
            "unsaddleS": 0,
        });
        let spec = JobSpec::from_value(&raw).expect("valid");
        (raw, spec)
    }

    fn load(&self, o: &mut JobShard) {
        if self.store.end {
            return o.end_job(JOB, JobOutcome::Done);
        }
        let (raw, spec) = self.spec();
        o.insert_job(raw, spec, Micros(1), self.store.done.clone(), self.store.store_version, false);
    }

    /// Sends a machine leader's status message: the machines that have reported, and the stored state of the others.
    fn tell(&self, o: &mut JobShard, m: &Membership, now: Micros, seq: u64, rev_seen: u64, known: &[bool]) {
        let room = Resources { cpus: 2000, gpus: 0, memory: 9000 };
        let digest = |i: usize| {
            let busy = self.on[i].values().any(|p| !matches!(p, TaskPhase::Exited(_)));
            MachineStatus {
                name: format!("i-{i}"),
                machine_type: "k".into(),
                zone: "z".into(),
                spot: true,
                inventory_state: if known[i] { InventoryState::Known } else { InventoryState::Unconfirmed },
                is_schedulable: known[i],
                time_to_termination: None,
                free: if busy { Resources::default() } else { room },
                total: room,
                used_by_priority: Vec::new(),
                images: Vec::new(),
                task_count: u32::from(busy),
                idle_time: None,
                silent_time: None,
                tasks: match known[i] {
                    true => {
                        self.on[i].iter().map(|(k, p)| ObservedTask { key: k.clone(), phase: *p }).collect()
                    }
                    false => Vec::new(),
                },
            }
        };
        let machines = (0..MACHINES).map(digest).collect();
        o.apply_machine_status(
            now,
            m,
            0,
            MachineStatusDelta {
                sequence: (m.epoch << 32) + seq,
                base_sequence: 0,
                revision_seen: rev_seen,
                machines,
            },
        );
    }

    /// Applies the desired state to the machines. Machines without a confirmed task list get no commands.
    fn obey(&mut self, wishes: &DesiredState, known: &[bool]) {
        for on in &mut self.on {
            let listed = |k: &TaskKey| wishes.tasks.iter().any(|w| w.key == *k);
            let dropped = |k: &TaskKey| wishes.removed.iter().any(|(_, d)| d == k);
            on.retain(|k, p| {
                *p != TaskPhase::Held || !(dropped(k) || (wishes.base_revision == 0 && !listed(k)))
            });
        }
        for w in &wishes.tasks {
            let i: usize = w.machine[2..].parse().expect("a number");
            let durable = self.store.end || self.store.done.contains(w.key.index);
            let phase = self.on[i].get(&w.key).copied();
            match (w.action, phase) {
                (DesiredAction::Hold, None) if known[i] && self.decided.insert(w.key.clone()) => {
                    self.on[i].insert(w.key.clone(), TaskPhase::Held);
                }
                (DesiredAction::Stop(_), Some(TaskPhase::Held)) => _ = self.on[i].remove(&w.key),
                (DesiredAction::Run, None | Some(TaskPhase::Held))
                    if known[i] && (phase.is_some() || self.decided.insert(w.key.clone())) =>
                {
                    assert_eq!(
                        self.alive(w.key.index),
                        0,
                        "seed {}: {:?} is alive elsewhere",
                        self.seed,
                        w.key
                    );
                    assert!(!self.store.end, "seed {}: {:?} after the end", self.seed, w.key);
                    let again = self.completed[w.key.index as usize];
                    self.ran_again += u32::from(again);
                    let phase = if again { TaskPhase::Exited(TaskExit::Done) } else { TaskPhase::Running };
                    self.on[i].insert(w.key.clone(), phase);
                }
                (DesiredAction::Stop(_), Some(TaskPhase::Running)) if known[i] => {
                    self.on[i].insert(w.key.clone(), TaskPhase::Exited(TaskExit::Stopped(false)));
                }
                (DesiredAction::Forget, Some(TaskPhase::Exited(e))) if known[i] => {
                    // The machine must keep an outcome that is stored nowhere else.
                    assert!(
                        e != TaskExit::Done || durable,
                        "seed {}: {:?} is not on record",
                        self.seed,
                        w.key
                    );
                    self.on[i].remove(&w.key);
                }
                _ => {}
            }
        }
    }

    /// Handles one pending write: executed and acknowledged, executed without a response, or lost.
    fn write(&mut self, o: &mut JobShard, now: Micros) {
        let ends = self.rng.random_bool(0.5);
        let Some((id, write, store_version)) = o.next_write(now, ends) else { return };
        assert!(store_version <= self.store.store_version);
        let fate = self.rng.random_range(0..4);
        if fate == 3 {
            return o.fail_write(now, &id, false);
        }
        self.store.store_version += 1;
        match write {
            RecordWrite::Progress(_, kept) => {
                let truly = (0..self.tasks).all(|i| !kept.contains(i) || self.completed[i as usize]);
                assert!(truly, "seed {}: on record and not done", self.seed);
                self.store.done = kept.clone();
                match fate {
                    0 | 1 => o.confirm_progress(now, &id, kept, self.store.store_version),
                    _ => o.fail_write(now, &id, false),
                }
            }
            RecordWrite::End(f, _) => {
                assert!(
                    f == JobOutcome::Done && self.completed.iter().all(|c| *c),
                    "seed {}: done too early",
                    self.seed
                );
                self.cut += u32::from((0..self.tasks).any(|i| !self.store.done.contains(i)));
                self.store.end = true;
                match fate {
                    0 | 1 => o.end_job(&id, f),
                    _ => o.fail_write(now, &id, false),
                }
            }
        }
    }

    fn run(&mut self) {
        let s = settings(self.small);
        let teams = QuotaLedger::new(&s.teams);
        let mut m = Membership::new(&s, 1);
        let mut owner = JobShard::new(&s);
        let (mut epoch, mut seq, mut seen) = (0u64, 0, 0);
        let mut known = [false; MACHINES];
        let mut due = 0;
        for step in 0..3000u64 {
            let now = Micros::from_millis(1000 + step * 200);
            let calm = step > 2600;
            if step == due {
                due = step + self.rng.random_range(3..400);
                if calm {
                    due = u64::MAX;
                }
                epoch += 1;
                m.adopt_epoch(now, &EpochRecord { epoch, members: vec![("c0".into(), epoch)] }, epoch);
                let follows = epoch > 1 && self.rng.random_bool(0.3);
                if !follows {
                    owner = JobShard::new(&s);
                }
                owner.adopt_epoch(&m, follows);
                self.load(&mut owner);
                owner.finish_loading((0..MACHINES).map(|i| format!("i-{i}")));
                owner.apply_autoscaler_reservations(Vec::new(), Vec::new());
                (seq, seen) = (0, 0);
                known = [false; MACHINES];
                self.decided.clear();
                self.on.iter_mut().for_each(|on| on.retain(|_, p| *p != TaskPhase::Held));
                if epoch == 1 {
                    known = [true; MACHINES];
                }
            }
            for k in &mut known {
                *k |= calm || self.rng.random_bool(0.03);
            }
            // Tasks end far apart in time. Now and then a machine is lost with the outcomes that only it holds.
            if self.rng.random_bool(0.01) {
                let i = self.rng.random_range(0..MACHINES);
                let gang = self.kind == "group";
                let all = self.on.iter().flatten().filter(|(_, p)| **p == TaskPhase::Running).count();
                if !gang || all == self.tasks as usize {
                    for (_, on) in self.on.iter_mut().enumerate().filter(|(j, _)| gang || *j == i) {
                        for (k, p) in on.iter_mut().filter(|(_, p)| **p == TaskPhase::Running) {
                            *p = TaskPhase::Exited(TaskExit::Done);
                            self.completed[k.index as usize] = true;
                        }
                    }
                }
            }
            if !calm && self.rng.random_bool(0.002) {
                let i = self.rng.random_range(0..MACHINES);
                self.on[i].clear();
            }
            if self.rng.random_bool(0.5) {
                seq += 1;
                self.tell(&mut owner, &m, now, seq, seen, &known);
            }
            owner.run_scheduling_pass(now, now, &m, &teams);
            owner.preempt_tasks(now, &m);
            let w = owner.next_desired_state(0, &m);
            if self.rng.random_bool(0.7) {
                seen = w.revision;
                self.obey(&w, &known);
            }
            if let Some(id) = owner.next_reread()
                && self.rng.random_bool(0.3)
            {
                assert_eq!(id, JOB);
                self.load(&mut owner);
            }
            if self.rng.random_bool(0.2) {
                self.write(&mut owner, now);
            }
        }
        assert!(
            self.store.end,
            "seed {}: {:?} {:?} {:?}",
            self.seed, self.completed, self.on, self.store.done
        );
        assert!(self.on.iter().all(BTreeMap::is_empty), "seed {}: {:?} is left behind", self.seed, self.on);
    }
}

#[test]
fn a_task_that_ended_long_before_the_others_is_neither_lost_nor_run_beside_itself() {
    let (mut again, mut cut) = (0, 0);
    for seed in 0..60u64 {
        let tasks = 2 + (seed % 2) as u32;
        let mut p = Play {
            rng: StdRng::seed_from_u64(seed),
            small: seed % 3 == 0,
            seed,
            tasks,
            kind: if seed % 4 == 3 { "group" } else { "batch" },
            store: Stored { store_version: 1, ..Stored::default() },
            on: vec![BTreeMap::new(); MACHINES],
            decided: BTreeSet::new(),
            completed: vec![false; tasks as usize],
            ran_again: 0,
            cut: 0,
        };
        p.run();
        again += p.ran_again;
        cut += p.cut;
    }
    assert!(
        again > 0 && cut > 5,
        "{again} again, {cut} ended with progress not on record: nothing was tried"
    );
}
