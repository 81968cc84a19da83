//! Three job leaders, their teams' record and a fleet of machines, in steps of 0.1 s, to test placement alone.
//! Machine leaders, workers, the cloud and the state store are fakes that never fail; a status message or a desired
//! state of another controller takes one or two steps. Only the seed decides which jobs are submitted.

#![allow(unreachable_pub, reason = "shared by test programs that each use a part")]

use hazelsaddle::autoscaler::{Autoscaler, CloudAnswer, CloudMachine, CloudRequest, FleetView};
use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::{JobShard, RecordWrite};
use hazelsaddle::machine_view::MachineSnapshot;
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::{
    DesiredAction, DesiredState, InventoryState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit,
    TaskKey, TaskPhase,
};
use hazelsaddle::quota::{AllocationInput, QuotaLedger};
use hazelsaddle::spec::{JobKind, JobSpec, MachineType};
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Duration of a step.
pub const STEP: Micros = Micros::from_millis(100);

struct Entry {
    resources: Resources,
    priority: u8,
    phase: TaskPhase,
    action: DesiredAction,
    since: Micros,
}

pub struct Machine {
    name: String,
    machine_type: String,
    zone: String,
    spot: bool,
    total: Resources,
    pub alive: bool,
    entries: BTreeMap<TaskKey, Entry>,
}

impl Machine {
    fn free(&self) -> Resources {
        let unfinished = self.entries.values().filter(|e| !matches!(e.phase, TaskPhase::Exited(_)));
        unfinished.fold(self.total, |a, e| a - e.resources)
    }
    fn status(&self, membership: &Membership, receiver: usize) -> MachineStatus {
        let unfinished =
            || self.entries.values().filter(|entry| !matches!(entry.phase, TaskPhase::Exited(_)));
        let mut sums: BTreeMap<u8, Resources> = BTreeMap::new();
        for entry in unfinished().filter(|entry| !matches!(entry.action, DesiredAction::Stop(_))) {
            let sum = sums.entry(entry.priority).or_default();
            *sum = *sum + entry.resources;
        }
        let receiver_entries =
            self.entries.iter().filter(|(k, _)| membership.job_leader(&k.job) == Some(receiver));
        MachineStatus {
            name: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            inventory_state: if self.alive { InventoryState::Known } else { InventoryState::Gone },
            is_schedulable: self.alive,
            time_to_termination: None,
            free: self.free(),
            total: self.total,
            used_by_priority: sums.into_iter().collect(),
            images: Vec::new(),
            task_count: unfinished().count() as u32,
            idle_time: self.entries.is_empty().then_some(Micros(0)),
            silent_time: None,
            tasks: receiver_entries
                .map(|(k, entry)| ObservedTask { key: k.clone(), phase: entry.phase })
                .collect(),
        }
    }
}

pub struct SubmittedJob {
    pub spec: JobSpec,
    run_time: Micros,
    pub submitted_at: Micros,
    pub started_at: Option<Micros>,
    pub ended_at: Option<Micros>,
    pub stopped: u32,
    running: BTreeSet<u32>,
}

pub struct Simulation {
    pub now: Micros,
    pub rng: StdRng,
    settings: Vec<Settings>,
    members: Vec<Membership>,
    job_leaders: Vec<JobShard>,
    quota: Vec<QuotaLedger>,
    record: BTreeMap<String, (Value, u64)>,
    store_version: u64,
    autoscaler: Autoscaler,
    pub types: Vec<MachineType>,
    pub machines: Vec<Machine>,
    desired_states: Vec<(Micros, usize, usize, DesiredState)>,
    status_messages: Vec<(Micros, usize, usize, MachineStatusDelta)>,
    revisions_seen: Vec<[u64; 3]>,
    seq: u64,
    epoch: u64,
    loaded_at: Vec<Micros>,
    pub jobs: BTreeMap<String, SubmittedJob>,
    submissions: BTreeMap<String, Value>,
    pub placed: u64,
    pub refused: u64,
}

fn settings(index: usize, teams: &str) -> Settings {
    let seed =
        |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\nlocation = \"a\"\naddr = \"10.0.0.{i}:1\"\n");
    let seeds: String = (0..3).filter(|&i| i != index).map(seed).collect();
    let text = format!(
        "member = \"c{index}\"\nlocation = \"a\"\napi_addr = \"10.0.0.{index}:2\"\nback = \"10.0.0.{index}:1\"\n{seeds}[outside]\n\
        cloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[settings]\n{teams}[settings.workers]\nreport_s = 5.0\n\
        lease_s = 26.5\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = 56.5\n[settings.state]\nrps = 400.0\n\
        write_rps = 35.0\nvalue_kb = 4.0\ntxn_ops = 12\n[settings.cloud]\nrps = 4.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("town", &text).expect("valid settings")
}

impl Simulation {
    pub fn new(seed: u64, teams: &str, types: Vec<MachineType>) -> Simulation {
        let settings: Vec<Settings> = (0..3).map(|i| settings(i, teams)).collect();
        let mut simulation = Simulation {
            now: Micros(100_000_000),
            rng: StdRng::seed_from_u64(seed),
            members: settings.iter().map(|s| Membership::new(s, 1)).collect(),
            job_leaders: settings.iter().map(JobShard::new).collect(),
            quota: settings.iter().map(|s| QuotaLedger::new(&s.teams)).collect(),
            record: BTreeMap::new(),
            store_version: 1,
            autoscaler: Autoscaler::new(1, &settings[0]),
            settings,
            types,
            machines: Vec::new(),
            desired_states: Vec::new(),
            status_messages: Vec::new(),
            revisions_seen: vec![[0; 3]; 3],
            seq: 0,
            epoch: 0,
            loaded_at: vec![Micros(0); 3],
            jobs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            placed: 0,
            refused: 0,
        };
        simulation.new_epoch(&[0, 1, 2]);
        simulation
    }

    pub fn add_machines(&mut self, machine_type: &str, zone: &str, spot: bool, count: usize) {
        let total = self.types.iter().find(|t| t.name == machine_type).expect("a known type").capacity();
        for _ in 0..count {
            let name = format!("i-{:06}", self.machines.len());
            let (machine_type, zone) = (machine_type.to_owned(), zone.to_owned());
            let machine =
                Machine { name, machine_type, zone, spot, total, alive: true, entries: BTreeMap::new() };
            self.machines.push(machine);
        }
    }

    /// Begins a new epoch with these members. Earlier messages are lost, and jobs move to their new leaders.
    pub fn new_epoch(&mut self, members: &[usize]) {
        self.epoch += 1;
        let member_list = members.iter().map(|i| (format!("c{i}"), 1)).collect();
        let record = EpochRecord { epoch: self.epoch, members: member_list };
        self.desired_states.clear();
        self.status_messages.clear();
        for i in 0..3 {
            let is_consecutive = self.members[i].adopt_epoch(self.now, &record, self.store_version);
            self.job_leaders[i].adopt_epoch(&self.members[i], is_consecutive);
            self.quota[i].begin_epoch();
            self.revisions_seen[i] = [0; 3];
            for (id, raw) in &self.submissions {
                let job = &self.jobs[id];
                if self.members[i].job_leader(id) == Some(i) && job.ended_at.is_none() {
                    let spec = job.spec.clone();
                    self.job_leaders[i].insert_job(
                        raw.clone(),
                        spec,
                        job.submitted_at,
                        TaskIndexSet::default(),
                        1,
                        false,
                    );
                }
            }
            let machine_names: Vec<String> =
                self.machines.iter().filter(|x| x.alive).map(|x| x.name.clone()).collect();
            self.job_leaders[i].finish_loading(machine_names.into_iter());
            self.loaded_at[i] = self.now;
        }
    }

    pub fn submit(&mut self, raw: Value, run_time: Micros) {
        let spec = JobSpec::from_value(&raw).expect("a valid description");
        let id = spec.id.clone();
        let leader = self.members[0].job_leader(&id).expect("a job leader");
        self.job_leaders[leader].insert_job(
            raw.clone(),
            spec.clone(),
            self.now,
            TaskIndexSet::default(),
            1,
            true,
        );
        let submitted_job = SubmittedJob {
            spec,
            run_time,
            submitted_at: self.now,
            started_at: None,
            ended_at: None,
            stopped: 0,
            running: BTreeSet::new(),
        };
        self.jobs.insert(id.clone(), submitted_job);
        self.submissions.insert(id, raw);
    }

    /// Resources in use on all machines, and their capacity.
    pub fn resources_in_use(&self) -> (Resources, Resources) {
        let live_machines = || self.machines.iter().filter(|m| m.alive);
        let capacity = live_machines().fold(Resources::default(), |a, m| a + m.total);
        (live_machines().fold(capacity, |a, m| a - m.free()), capacity)
    }

    pub fn team_resources_in_use(&self, team: &str) -> Resources {
        let is_of_team = |k: &TaskKey| self.jobs[&k.job].spec.team == team;
        let entries = self.machines.iter().flat_map(|m| &m.entries);
        let unfinished = entries.filter(|(k, e)| is_of_team(k) && !matches!(e.phase, TaskPhase::Exited(_)));
        unfinished.fold(Resources::default(), |a, (_, e)| a + e.resources)
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.run_tasks();
        self.deliver();
        let now = self.now;
        for i in 0..3 {
            self.update_quota(i);
            let membership = &self.members[i];
            self.job_leaders[i].run_scheduling_pass(now, now, membership, &self.quota[i]);
            self.preempt(i);
            while let Some((id, write, _)) = self.job_leaders[i].next_write(now, true) {
                if let RecordWrite::End(outcome, _) = write {
                    self.job_leaders[i].end_job(&id, outcome);
                    let job = self.jobs.get_mut(&id).expect("a submitted job");
                    job.ended_at = Some(now);
                }
            }
            while let Some((id, write, store_version)) = self.job_leaders[i].next_write(now, false) {
                if let RecordWrite::Progress(_, completed) = write {
                    self.job_leaders[i].confirm_progress(now, &id, completed, store_version);
                }
            }
        }
        for i in 0..3 {
            for machine_leader in 0..3 {
                if self.job_leaders[i].has_changes_for(machine_leader, &self.members[i]) {
                    let desired_state =
                        self.job_leaders[i].next_desired_state(machine_leader, &self.members[i]);
                    let delay_us =
                        if machine_leader == i { 0 } else { 50_000 + self.rng.random_range(0..100_000) };
                    self.desired_states.push((now + Micros(delay_us), i, machine_leader, desired_state));
                }
            }
        }
        if (now.0 / STEP.0).is_multiple_of(8) {
            self.exchange_messages();
        }
    }

    fn preempt(&mut self, i: usize) {
        self.job_leaders[i].preempt_tasks(self.now, &self.members[i]);
    }

    /// Reservations, demands, and the messages of the scaling leader.
    fn exchange_messages(&mut self) {
        let now = self.now;
        for i in 0..3 {
            let reservations = self.job_leaders[i].reservations().to_vec();
            for j in (0..3).filter(|&j| j != i) {
                self.job_leaders[j].apply_peer_reservations(now, i, reservations.clone());
            }
            let demands = self.job_leaders[i].demands();
            self.autoscaler.record_demand(now, i, demands);
        }
        let live_snapshots = self
            .machines
            .iter()
            .filter(|m| m.alive)
            .map(|x| MachineSnapshot::new(now, x.status(&self.members[0], 3)));
        let snapshots: Vec<MachineSnapshot> = live_snapshots.collect();
        let fleet_machines: Vec<&MachineSnapshot> = snapshots.iter().collect();
        for _ in 0..4 {
            let fleet = FleetView {
                machines: &fleet_machines,
                all_reported: true,
                failover_complete: true,
                members: &[0, 1, 2],
            };
            let Some(request) = self.autoscaler.next_request(now, Some(fleet)) else { break };
            let answer = match &request {
                CloudRequest::MachineTypes => CloudAnswer::MachineTypes(self.types.clone()),
                CloudRequest::List(_) => CloudAnswer::Page(Vec::<CloudMachine>::new(), false),
                CloudRequest::ScaleOut(_) => CloudAnswer::NoCapacity,
                CloudRequest::ScaleIn(_) => CloudAnswer::Failed,
            };
            self.autoscaler.apply_answer(now, &request, answer);
        }
        for leader in &mut self.job_leaders {
            leader.apply_autoscaler_reservations(
                self.autoscaler.reserved_classes(),
                self.autoscaler.reserved_machines(),
            );
        }
    }

    fn update_quota(&mut self, i: usize) {
        let now = self.now;
        let needs = self.job_leaders[i].quota_needs(&self.quota[i]);
        for team in self.quota[i].next_reads(now, &needs) {
            let row = self.record.get(&team);
            self.quota[i].apply_record(&team, row.map(|(value, version)| (value, *version)));
        }
        for team in self.quota[i].team_names() {
            let team_needs = needs.get(&team).cloned().unwrap_or_default();
            let membership = &self.members[i];
            let leader = &self.job_leaders[i];
            let is_led_locally = |j: &str| membership.job_leader(j) == Some(i);
            let input = AllocationInput {
                team: &team,
                needs: &team_needs,
                is_led_locally: &is_led_locally,
                can_release: &|j| leader.has_released_resources(j),
                value_bytes: 4096,
                max_pages: 1,
            };
            let write = self.quota[i].next_write(now, &input);
            let Some(write) = write else { continue };
            self.quota[i].begin_write(now, &write);
            if self.record.get(&team).map_or(0, |r| r.1) != write.base_version {
                self.quota[i].fail_write(&write, true);
                continue;
            }
            self.store_version += 1;
            self.record.insert(team.clone(), (write.value.clone(), self.store_version));
            self.quota[i].commit_write(write, self.store_version);
        }
    }

    fn deliver(&mut self) {
        let (now, mut pending) = (self.now, Vec::new());
        for (due_at, sender, machine_leader, desired_state) in std::mem::take(&mut self.desired_states) {
            if due_at > now {
                pending.push((due_at, sender, machine_leader, desired_state));
                continue;
            }
            self.revisions_seen[machine_leader][sender] =
                self.revisions_seen[machine_leader][sender].max(desired_state.revision);
            for task in desired_state.tasks {
                let machine =
                    self.machines.iter_mut().find(|machine| machine.name == task.machine).expect("a machine");
                let task_priority = task.priority;
                if let Some(entry) = machine.entries.get_mut(&task.key) {
                    entry.priority = task_priority;
                    match (task.action, entry.phase) {
                        (DesiredAction::Forget, _) => {
                            machine.entries.remove(&task.key);
                            continue;
                        }
                        (DesiredAction::Run, TaskPhase::Held) => {
                            (entry.phase, entry.since) = (TaskPhase::Queued, now)
                        }
                        (DesiredAction::Stop(_), TaskPhase::Held | TaskPhase::Queued) => {
                            machine.entries.remove(&task.key);
                            continue;
                        }
                        _ => {}
                    }
                    entry.action = task.action;
                } else if matches!(task.action, DesiredAction::Run | DesiredAction::Hold) {
                    self.placed += 1;
                    if machine.alive && machine.free().can_hold(task.resources) {
                        let phase = if task.action == DesiredAction::Run {
                            TaskPhase::Queued
                        } else {
                            TaskPhase::Held
                        };
                        machine.entries.insert(
                            task.key,
                            Entry {
                                resources: task.resources,
                                priority: task_priority,
                                phase,
                                action: task.action,
                                since: now,
                            },
                        );
                    } else {
                        self.refused += 1;
                    }
                }
            }
            for (machine_name, key) in desired_state.removed {
                let machine =
                    self.machines.iter_mut().find(|machine| machine.name == machine_name).expect("a machine");
                if machine
                    .entries
                    .get(&key)
                    .is_some_and(|entry| matches!(entry.phase, TaskPhase::Held | TaskPhase::Queued))
                {
                    machine.entries.remove(&key);
                }
            }
        }
        self.desired_states.append(&mut pending);
        for (due_at, machine_leader, receiver, status_delta) in std::mem::take(&mut self.status_messages) {
            if due_at > now {
                self.status_messages.push((due_at, machine_leader, receiver, status_delta));
            } else {
                self.job_leaders[receiver].apply_machine_status(
                    now,
                    &self.members[receiver],
                    machine_leader,
                    status_delta,
                );
            }
        }
        self.seq += 1;
        for machine_leader in 0..3 {
            for receiver in 0..3 {
                let membership = &self.members[receiver];
                let led_machines = self
                    .machines
                    .iter()
                    .filter(|machine| membership.machine_leader(&machine.name) == Some(machine_leader));
                let machines = led_machines.map(|machine| machine.status(membership, receiver)).collect();
                let revision_seen = self.revisions_seen[machine_leader][receiver];
                let status_delta = MachineStatusDelta {
                    sequence: (self.epoch << 32) + self.seq,
                    base_sequence: 0,
                    revision_seen,
                    machines,
                };
                if machine_leader == receiver {
                    self.job_leaders[receiver].apply_machine_status(
                        now,
                        &self.members[receiver],
                        machine_leader,
                        status_delta,
                    );
                } else {
                    let delay_us = 50_000 + self.rng.random_range(0..100_000);
                    self.status_messages.push((
                        now + Micros(delay_us),
                        machine_leader,
                        receiver,
                        status_delta,
                    ));
                }
            }
        }
    }

    fn run_tasks(&mut self) {
        let now = self.now;
        let mut live_task_counts: BTreeMap<(String, u64), u32> = BTreeMap::new();
        for (key, entry) in self.machines.iter().flat_map(|machine| &machine.entries) {
            if matches!(entry.phase, TaskPhase::Waiting | TaskPhase::Running) {
                *live_task_counts.entry((key.job.clone(), key.attempt)).or_default() += 1;
            }
        }
        for machine in self.machines.iter_mut().filter(|machine| machine.alive) {
            for (key, entry) in &mut machine.entries {
                let job = self.jobs.get_mut(&key.job).expect("a submitted job");
                let is_whole_gang_live = live_task_counts.get(&(key.job.clone(), key.attempt)).copied()
                    == Some(job.spec.task_count);
                let can_run = job.spec.kind != JobKind::Gang || is_whole_gang_live;
                let next_phase = match (entry.phase, entry.action) {
                    (TaskPhase::Exited(_) | TaskPhase::Held, _) => continue,
                    (TaskPhase::Saving, _) if now.since(entry.since) >= job.spec.checkpoint_duration => {
                        TaskPhase::Exited(TaskExit::Stopped(true))
                    }
                    (TaskPhase::Saving, _) => continue,
                    (TaskPhase::Running, DesiredAction::Stop(grace)) if grace.0 > 0 => TaskPhase::Saving,
                    (_, DesiredAction::Stop(_)) => TaskPhase::Exited(TaskExit::Stopped(false)),
                    (TaskPhase::Queued, _) if now.since(entry.since) > Micros::from_millis(400) => {
                        TaskPhase::Waiting
                    }
                    (TaskPhase::Waiting, _) if can_run => {
                        job.running.insert(key.index);
                        if job.spec.kind != JobKind::Gang || job.running.len() == job.spec.task_count as usize
                        {
                            job.started_at.get_or_insert(now);
                        }
                        TaskPhase::Running
                    }
                    (TaskPhase::Running, _)
                        if job.spec.kind != JobKind::Service && now.since(entry.since) >= job.run_time =>
                    {
                        TaskPhase::Exited(TaskExit::Done)
                    }
                    _ => continue,
                };
                if matches!(next_phase, TaskPhase::Exited(TaskExit::Stopped(_))) {
                    job.stopped += 1;
                    job.running.remove(&key.index);
                }
                (entry.phase, entry.since) = (next_phase, now);
            }
        }
    }

    /// Removes a failed machine.
    pub fn remove_machine(&mut self, i: usize) {
        self.machines[i].alive = false;
        self.machines[i].entries.clear();
    }

    /// Jobs that have not started, and how long they have waited.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, Micros)> {
        let waiting_jobs = self.jobs.iter().filter(|(_, a)| a.started_at.is_none() && a.ended_at.is_none());
        waiting_jobs.map(|(id, a)| (id.as_str(), self.now.since(a.submitted_at)))
    }

    /// The wait of each job until its start, or until now if it has not started.
    pub fn wait_times(&self, is_selected: impl Fn(&SubmittedJob) -> bool) -> Vec<Micros> {
        let selected = self.jobs.values().filter(|a| is_selected(a));
        selected.map(|a| a.started_at.unwrap_or(self.now).since(a.submitted_at)).collect()
    }

    /// Returns a team whose resources in use exceed its limit.
    pub fn team_over_limit(&self) -> Option<String> {
        for team in &self.settings[0].teams {
            let used = self.team_resources_in_use(&team.name);
            let is_over = |amount: i64, limit: f64| limit > 0.0 && amount > (limit * 1000.0) as i64;
            if is_over(used.cpus, team.cpus_max) || is_over(used.gpus, team.gpus_max) {
                return Some(team.name.clone());
            }
        }
        None
    }
}
