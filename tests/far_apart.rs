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

struct Scenario {
    rng: StdRng,
    small: bool,
    seed: u64,
    tasks: u32,
    kind: &'static str,
    store: Stored,
    /// The tasks that each machine really has.
    machine_tasks: Vec<BTreeMap<TaskKey, TaskPhase>>,
    /// Attempts that were started in this epoch.
    started: BTreeSet<TaskKey>,
    /// Completed tasks. Another attempt of one of them ends at once.
    completed: Vec<bool>,
    repeated_run_count: u32,
    truncated_record_count: u32,
}

impl Scenario {
    fn live_task_count(&self, index: u32) -> usize {
        let is_live = |(k, p): &(&TaskKey, &TaskPhase)| {
            k.index == index && !matches!(p, TaskPhase::Exited(_) | TaskPhase::Held)
        };
        self.machine_tasks.iter().flatten().filter(is_live).count()
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

    fn load_job(&self, leader: &mut JobShard) {
        if self.store.end {
            return leader.end_job(JOB, JobOutcome::Done);
        }
        let (raw, spec) = self.spec();
        leader.insert_job(raw, spec, Micros(1), self.store.done.clone(), self.store.store_version, false);
    }

    /// Sends a machine leader's status message: the machines that have reported, and the stored state of the others.
    fn send_status(
        &self,
        leader: &mut JobShard,
        membership: &Membership,
        now: Micros,
        seq: u64,
        last_revision: u64,
        known: &[bool],
    ) {
        let capacity = Resources { cpus: 2000, gpus: 0, memory: 9000 };
        let build_status = |i: usize| {
            let has_live_tasks = self.machine_tasks[i].values().any(|p| !matches!(p, TaskPhase::Exited(_)));
            MachineStatus {
                name: format!("i-{i}"),
                machine_type: "k".into(),
                zone: "z".into(),
                spot: true,
                inventory_state: if known[i] { InventoryState::Known } else { InventoryState::Unconfirmed },
                is_schedulable: known[i],
                time_to_termination: None,
                free: if has_live_tasks { Resources::default() } else { capacity },
                total: capacity,
                used_by_priority: Vec::new(),
                images: Vec::new(),
                task_count: u32::from(has_live_tasks),
                idle_time: None,
                silent_time: None,
                tasks: match known[i] {
                    true => self.machine_tasks[i]
                        .iter()
                        .map(|(k, p)| ObservedTask { key: k.clone(), phase: *p })
                        .collect(),
                    false => Vec::new(),
                },
            }
        };
        let machines = (0..MACHINES).map(build_status).collect();
        leader.apply_machine_status(
            now,
            membership,
            0,
            MachineStatusDelta {
                sequence: (membership.epoch << 32) + seq,
                base_sequence: 0,
                revision_seen: last_revision,
                machines,
            },
        );
    }

    /// Applies the desired state to the machines. Machines without a confirmed task list get no commands.
    fn apply_desired_state(&mut self, desired_state: &DesiredState, known: &[bool]) {
        for tasks in &mut self.machine_tasks {
            let is_listed = |k: &TaskKey| desired_state.tasks.iter().any(|task| task.key == *k);
            let is_removed = |k: &TaskKey| desired_state.removed.iter().any(|(_, d)| d == k);
            tasks.retain(|k, p| {
                *p != TaskPhase::Held
                    || !(is_removed(k) || (desired_state.base_revision == 0 && !is_listed(k)))
            });
        }
        for task in &desired_state.tasks {
            let i: usize = task.machine[2..].parse().expect("a number");
            let is_stored = self.store.end || self.store.done.contains(task.key.index);
            let phase = self.machine_tasks[i].get(&task.key).copied();
            match (task.action, phase) {
                (DesiredAction::Hold, None) if known[i] && self.started.insert(task.key.clone()) => {
                    self.machine_tasks[i].insert(task.key.clone(), TaskPhase::Held);
                }
                (DesiredAction::Stop(_), Some(TaskPhase::Held)) => {
                    _ = self.machine_tasks[i].remove(&task.key)
                }
                (DesiredAction::Run, None | Some(TaskPhase::Held))
                    if known[i] && (phase.is_some() || self.started.insert(task.key.clone())) =>
                {
                    assert_eq!(
                        self.live_task_count(task.key.index),
                        0,
                        "seed {}: {:?} is alive elsewhere",
                        self.seed,
                        task.key
                    );
                    assert!(!self.store.end, "seed {}: {:?} runs after the job ended", self.seed, task.key);
                    let was_completed = self.completed[task.key.index as usize];
                    self.repeated_run_count += u32::from(was_completed);
                    let phase =
                        if was_completed { TaskPhase::Exited(TaskExit::Done) } else { TaskPhase::Running };
                    self.machine_tasks[i].insert(task.key.clone(), phase);
                }
                (DesiredAction::Stop(_), Some(TaskPhase::Running)) if known[i] => {
                    self.machine_tasks[i]
                        .insert(task.key.clone(), TaskPhase::Exited(TaskExit::Stopped(false)));
                }
                (DesiredAction::Forget, Some(TaskPhase::Exited(exit))) if known[i] => {
                    // The machine must keep an outcome that is stored nowhere else.
                    assert!(
                        exit != TaskExit::Done || is_stored,
                        "seed {}: {:?} is not stored",
                        self.seed,
                        task.key
                    );
                    self.machine_tasks[i].remove(&task.key);
                }
                _ => {}
            }
        }
    }

    /// Handles one pending write: executed and acknowledged, executed without a response, or lost.
    fn handle_write(&mut self, leader: &mut JobShard, now: Micros) {
        let is_final = self.rng.random_bool(0.5);
        let Some((id, record_write, store_version)) = leader.next_write(now, is_final) else { return };
        assert!(store_version <= self.store.store_version);
        let fate = self.rng.random_range(0..4);
        if fate == 3 {
            return leader.fail_write(now, &id, false);
        }
        self.store.store_version += 1;
        match record_write {
            RecordWrite::Progress(_, progress) => {
                let are_all_completed =
                    (0..self.tasks).all(|i| !progress.contains(i) || self.completed[i as usize]);
                assert!(are_all_completed, "seed {}: stored and not done", self.seed);
                self.store.done = progress.clone();
                match fate {
                    0 | 1 => leader.confirm_progress(now, &id, progress, self.store.store_version),
                    _ => leader.fail_write(now, &id, false),
                }
            }
            RecordWrite::End(outcome, _) => {
                assert!(
                    outcome == JobOutcome::Done && self.completed.iter().all(|c| *c),
                    "seed {}: the job ended too early",
                    self.seed
                );
                self.truncated_record_count +=
                    u32::from((0..self.tasks).any(|i| !self.store.done.contains(i)));
                self.store.end = true;
                match fate {
                    0 | 1 => leader.end_job(&id, outcome),
                    _ => leader.fail_write(now, &id, false),
                }
            }
        }
    }

    fn run(&mut self) {
        let settings = settings(self.small);
        let quota = QuotaLedger::new(&settings.teams);
        let mut membership = Membership::new(&settings, 1);
        let mut leader = JobShard::new(&settings);
        let (mut epoch, mut seq, mut last_revision) = (0u64, 0, 0);
        let mut known = [false; MACHINES];
        let mut next_epoch_step = 0;
        for step in 0..3000u64 {
            let now = Micros::from_millis(1000 + step * 200);
            let is_final_phase = step > 2600;
            if step == next_epoch_step {
                next_epoch_step = step + self.rng.random_range(3..400);
                if is_final_phase {
                    next_epoch_step = u64::MAX;
                }
                epoch += 1;
                membership.adopt_epoch(
                    now,
                    &EpochRecord { epoch, members: vec![("c0".into(), epoch)] },
                    epoch,
                );
                let is_consecutive = epoch > 1 && self.rng.random_bool(0.3);
                if !is_consecutive {
                    leader = JobShard::new(&settings);
                }
                leader.adopt_epoch(&membership, is_consecutive);
                self.load_job(&mut leader);
                leader.finish_loading((0..MACHINES).map(|i| format!("i-{i}")));
                leader.apply_autoscaler_reservations(Vec::new(), Vec::new());
                (seq, last_revision) = (0, 0);
                known = [false; MACHINES];
                self.started.clear();
                self.machine_tasks.iter_mut().for_each(|tasks| tasks.retain(|_, p| *p != TaskPhase::Held));
                if epoch == 1 {
                    known = [true; MACHINES];
                }
            }
            for is_known in &mut known {
                *is_known |= is_final_phase || self.rng.random_bool(0.03);
            }
            // Tasks end far apart in time. Now and then a machine is lost with the outcomes that only it holds.
            if self.rng.random_bool(0.01) {
                let i = self.rng.random_range(0..MACHINES);
                let is_gang = self.kind == "group";
                let running_count =
                    self.machine_tasks.iter().flatten().filter(|(_, p)| **p == TaskPhase::Running).count();
                if !is_gang || running_count == self.tasks as usize {
                    for (_, tasks) in
                        self.machine_tasks.iter_mut().enumerate().filter(|(j, _)| is_gang || *j == i)
                    {
                        for (key, p) in tasks.iter_mut().filter(|(_, p)| **p == TaskPhase::Running) {
                            *p = TaskPhase::Exited(TaskExit::Done);
                            self.completed[key.index as usize] = true;
                        }
                    }
                }
            }
            if !is_final_phase && self.rng.random_bool(0.002) {
                let i = self.rng.random_range(0..MACHINES);
                self.machine_tasks[i].clear();
            }
            if self.rng.random_bool(0.5) {
                seq += 1;
                self.send_status(&mut leader, &membership, now, seq, last_revision, &known);
            }
            leader.run_scheduling_pass(now, now, &membership, &quota);
            leader.preempt_tasks(now, &membership);
            let desired_state = leader.next_desired_state(0, &membership);
            if self.rng.random_bool(0.7) {
                last_revision = desired_state.revision;
                self.apply_desired_state(&desired_state, &known);
            }
            if let Some(id) = leader.next_reread()
                && self.rng.random_bool(0.3)
            {
                assert_eq!(id, JOB);
                self.load_job(&mut leader);
            }
            if self.rng.random_bool(0.2) {
                self.handle_write(&mut leader, now);
            }
        }
        assert!(
            self.store.end,
            "seed {}: {:?} {:?} {:?}",
            self.seed, self.completed, self.machine_tasks, self.store.done
        );
        assert!(
            self.machine_tasks.iter().all(BTreeMap::is_empty),
            "seed {}: {:?} still has tasks",
            self.seed,
            self.machine_tasks
        );
    }
}

#[test]
fn early_task_outcomes_are_not_lost_and_no_task_runs_twice_at_a_time() {
    let (mut repeated_run_count, mut truncated_record_count) = (0, 0);
    for seed in 0..60u64 {
        let tasks = 2 + (seed % 2) as u32;
        let mut scenario = Scenario {
            rng: StdRng::seed_from_u64(seed),
            small: seed % 3 == 0,
            seed,
            tasks,
            kind: if seed % 4 == 3 { "group" } else { "batch" },
            store: Stored { store_version: 1, ..Stored::default() },
            machine_tasks: vec![BTreeMap::new(); MACHINES],
            started: BTreeSet::new(),
            completed: vec![false; tasks as usize],
            repeated_run_count: 0,
            truncated_record_count: 0,
        };
        scenario.run();
        repeated_run_count += scenario.repeated_run_count;
        truncated_record_count += scenario.truncated_record_count;
    }
    assert!(
        repeated_run_count > 0 && truncated_record_count > 5,
        "{repeated_run_count} run again, {truncated_record_count} ended with progress not stored: the scenario was not covered"
    );
}
