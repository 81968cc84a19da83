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
    room: Resources,
    priority: u8,
    phase: TaskPhase,
    want: DesiredAction,
    since: Micros,
}

pub struct Machine {
    name: String,
    kind: String,
    zone: String,
    spot: bool,
    total: Resources,
    pub alive: bool,
    entries: BTreeMap<TaskKey, Entry>,
}

impl Machine {
    fn free(&self) -> Resources {
        let alive = self.entries.values().filter(|e| !matches!(e.phase, TaskPhase::Exited(_)));
        alive.fold(self.total, |a, e| a - e.room)
    }
    fn digest(&self, m: &Membership, to: usize) -> MachineStatus {
        let alive = || self.entries.values().filter(|e| !matches!(e.phase, TaskPhase::Exited(_)));
        let mut sums: BTreeMap<u8, Resources> = BTreeMap::new();
        for e in alive().filter(|e| !matches!(e.want, DesiredAction::Stop(_))) {
            let sum = sums.entry(e.priority).or_default();
            *sum = *sum + e.room;
        }
        let mine = self.entries.iter().filter(|(k, _)| m.job_leader(&k.job) == Some(to));
        MachineStatus {
            name: self.name.clone(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            inventory_state: if self.alive { InventoryState::Known } else { InventoryState::Gone },
            is_schedulable: self.alive,
            time_to_termination: None,
            free: self.free(),
            total: self.total,
            used_by_priority: sums.into_iter().collect(),
            images: Vec::new(),
            task_count: alive().count() as u32,
            idle_time: self.entries.is_empty().then_some(Micros(0)),
            silent_time: None,
            tasks: mine.map(|(k, e)| ObservedTask { key: k.clone(), phase: e.phase }).collect(),
        }
    }
}

pub struct Asked {
    pub spec: JobSpec,
    run: Micros,
    pub at: Micros,
    pub begun: Option<Micros>,
    pub done: Option<Micros>,
    pub stopped: u32,
    running: BTreeSet<u32>,
}

pub struct Town {
    pub now: Micros,
    pub rng: StdRng,
    settings: Vec<Settings>,
    members: Vec<Membership>,
    owners: Vec<JobShard>,
    quota: Vec<QuotaLedger>,
    record: BTreeMap<String, (Value, u64)>,
    store_version: u64,
    autoscaler: Autoscaler,
    pub types: Vec<MachineType>,
    pub machines: Vec<Machine>,
    wishes: Vec<(Micros, usize, usize, DesiredState)>,
    digests: Vec<(Micros, usize, usize, MachineStatusDelta)>,
    seen: Vec<[u64; 3]>,
    seq: u64,
    epoch: u64,
    loaded_at: Vec<Micros>,
    pub jobs: BTreeMap<String, Asked>,
    raws: BTreeMap<String, Value>,
    pub placed: u64,
    pub refused: u64,
}

fn settings(me: usize, teams: &str) -> Settings {
    let seed =
        |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\nlocation = \"a\"\naddr = \"10.0.0.{i}:1\"\n");
    let seeds: String = (0..3).filter(|&i| i != me).map(seed).collect();
    let text = format!(
        "member = \"c{me}\"\nlocation = \"a\"\napi_addr = \"10.0.0.{me}:2\"\nback = \"10.0.0.{me}:1\"\n{seeds}[outside]\n\
        cloud = \"10.2.0.2:1\"\nstate = \"10.2.0.1:1\"\n[settings]\n{teams}[settings.workers]\nreport_s = 5.0\n\
        lease_s = 26.5\ngang_wait_s = 40.0\ngang_peer_s = 8.0\ncancel_s = 56.5\n[settings.state]\nrps = 400.0\n\
        write_rps = 35.0\nvalue_kb = 4.0\ntxn_ops = 12\n[settings.cloud]\nrps = 4.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("town", &text).expect("valid settings")
}

impl Town {
    pub fn new(seed: u64, teams: &str, types: Vec<MachineType>) -> Town {
        let settings: Vec<Settings> = (0..3).map(|i| settings(i, teams)).collect();
        let mut t = Town {
            now: Micros(100_000_000),
            rng: StdRng::seed_from_u64(seed),
            members: settings.iter().map(|s| Membership::new(s, 1)).collect(),
            owners: settings.iter().map(JobShard::new).collect(),
            quota: settings.iter().map(|s| QuotaLedger::new(&s.teams)).collect(),
            record: BTreeMap::new(),
            store_version: 1,
            autoscaler: Autoscaler::new(1, &settings[0]),
            settings,
            types,
            machines: Vec::new(),
            wishes: Vec::new(),
            digests: Vec::new(),
            seen: vec![[0; 3]; 3],
            seq: 0,
            epoch: 0,
            loaded_at: vec![Micros(0); 3],
            jobs: BTreeMap::new(),
            raws: BTreeMap::new(),
            placed: 0,
            refused: 0,
        };
        t.new_epoch(&[0, 1, 2]);
        t
    }

    pub fn add_machines(&mut self, kind: &str, zone: &str, spot: bool, n: usize) {
        let total = self.types.iter().find(|t| t.name == kind).expect("a known type").capacity();
        for _ in 0..n {
            let name = format!("i-{:06}", self.machines.len());
            let (kind, zone) = (kind.to_owned(), zone.to_owned());
            let m = Machine { name, kind, zone, spot, total, alive: true, entries: BTreeMap::new() };
            self.machines.push(m);
        }
    }

    /// Begins a new epoch with these members. Earlier messages are lost, and jobs move to their new leaders.
    pub fn new_epoch(&mut self, members: &[usize]) {
        self.epoch += 1;
        let list = members.iter().map(|i| (format!("c{i}"), 1)).collect();
        let record = EpochRecord { epoch: self.epoch, members: list };
        self.wishes.clear();
        self.digests.clear();
        for i in 0..3 {
            let follows = self.members[i].adopt_epoch(self.now, &record, self.store_version);
            self.owners[i].adopt_epoch(&self.members[i], follows);
            self.quota[i].begin_epoch();
            self.seen[i] = [0; 3];
            for (id, raw) in &self.raws {
                let a = &self.jobs[id];
                if self.members[i].job_leader(id) == Some(i) && a.done.is_none() {
                    let spec = a.spec.clone();
                    self.owners[i].insert_job(raw.clone(), spec, a.at, TaskIndexSet::default(), 1, false);
                }
            }
            let names: Vec<String> =
                self.machines.iter().filter(|x| x.alive).map(|x| x.name.clone()).collect();
            self.owners[i].finish_loading(names.into_iter());
            self.loaded_at[i] = self.now;
        }
    }

    pub fn submit(&mut self, raw: Value, run: Micros) {
        let spec = JobSpec::from_value(&raw).expect("a valid description");
        let id = spec.id.clone();
        let owner = self.members[0].job_leader(&id).expect("owned");
        self.owners[owner].insert_job(raw.clone(), spec.clone(), self.now, TaskIndexSet::default(), 1, true);
        let asked =
            Asked { spec, run, at: self.now, begun: None, done: None, stopped: 0, running: BTreeSet::new() };
        self.jobs.insert(id.clone(), asked);
        self.raws.insert(id, raw);
    }

    /// Resources in use on all machines, and their capacity.
    pub fn in_use(&self) -> (Resources, Resources) {
        let alive = || self.machines.iter().filter(|m| m.alive);
        let all = alive().fold(Resources::default(), |a, m| a + m.total);
        (alive().fold(all, |a, m| a - m.free()), all)
    }

    pub fn team_in_use(&self, team: &str) -> Resources {
        let of = |k: &TaskKey| self.jobs[&k.job].spec.team == team;
        let entries = self.machines.iter().flat_map(|m| &m.entries);
        let on = entries.filter(|(k, e)| of(k) && !matches!(e.phase, TaskPhase::Exited(_)));
        on.fold(Resources::default(), |a, (_, e)| a + e.room)
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.run_tasks();
        self.deliver();
        let now = self.now;
        for i in 0..3 {
            self.claims(i);
            let m = &self.members[i];
            self.owners[i].run_scheduling_pass(now, now, m, &self.quota[i]);
            self.make_room(i);
            while let Some((id, w, _)) = self.owners[i].next_write(now, true) {
                if let RecordWrite::End(f, _) = w {
                    self.owners[i].end_job(&id, f);
                    let a = self.jobs.get_mut(&id).expect("asked");
                    a.done = Some(now);
                }
            }
            while let Some((id, w, store_version)) = self.owners[i].next_write(now, false) {
                if let RecordWrite::Progress(_, kept) = w {
                    self.owners[i].confirm_progress(now, &id, kept, store_version);
                }
            }
        }
        for i in 0..3 {
            for home in 0..3 {
                if self.owners[i].has_changes_for(home, &self.members[i]) {
                    let w = self.owners[i].next_desired_state(home, &self.members[i]);
                    let lag = if home == i { 0 } else { 50_000 + self.rng.random_range(0..100_000) };
                    self.wishes.push((now + Micros(lag), i, home, w));
                }
            }
        }
        if (now.0 / STEP.0).is_multiple_of(8) {
            self.talk();
        }
    }

    fn make_room(&mut self, i: usize) {
        self.owners[i].preempt_tasks(self.now, &self.members[i]);
    }

    /// Reservations, demands, and the messages of the scaling leader.
    fn talk(&mut self) {
        let now = self.now;
        for i in 0..3 {
            let list = self.owners[i].reservations().to_vec();
            for j in (0..3).filter(|&j| j != i) {
                self.owners[j].apply_peer_reservations(now, i, list.clone());
            }
            let d = self.owners[i].demands();
            self.autoscaler.record_demand(now, i, d);
        }
        let digests = self
            .machines
            .iter()
            .filter(|m| m.alive)
            .map(|x| MachineSnapshot::new(now, x.digest(&self.members[0], 3)));
        let seen: Vec<MachineSnapshot> = digests.collect();
        let all: Vec<&MachineSnapshot> = seen.iter().collect();
        for _ in 0..4 {
            let fleet = FleetView {
                machines: &all,
                all_reported: true,
                failover_complete: true,
                members: &[0, 1, 2],
            };
            let Some(r) = self.autoscaler.next_request(now, Some(fleet)) else { break };
            let answer = match &r {
                CloudRequest::MachineTypes => CloudAnswer::MachineTypes(self.types.clone()),
                CloudRequest::List(_) => CloudAnswer::Page(Vec::<CloudMachine>::new(), false),
                CloudRequest::ScaleOut(_) => CloudAnswer::NoCapacity,
                CloudRequest::ScaleIn(_) => CloudAnswer::Failed,
            };
            self.autoscaler.apply_answer(now, &r, answer);
        }
        for o in &mut self.owners {
            o.apply_autoscaler_reservations(
                self.autoscaler.reserved_classes(),
                self.autoscaler.reserved_machines(),
            );
        }
    }

    fn claims(&mut self, i: usize) {
        let now = self.now;
        let needs = self.owners[i].quota_needs(&self.quota[i]);
        for team in self.quota[i].next_reads(now, &needs) {
            let row = self.record.get(&team);
            self.quota[i].apply_record(&team, row.map(|(v, m)| (v, *m)));
        }
        for team in self.quota[i].team_names() {
            let list = needs.get(&team).cloned().unwrap_or_default();
            let m = &self.members[i];
            let owner = &self.owners[i];
            let mine = |j: &str| m.job_leader(j) == Some(i);
            let input = AllocationInput {
                team: &team,
                needs: &list,
                is_led_locally: &mine,
                can_release: &|j| owner.has_released_resources(j),
                value_bytes: 4096,
            };
            let w = self.quota[i].next_write(now, &input);
            let Some(w) = w else { continue };
            self.quota[i].begin_write(now, &w);
            if self.record.get(&team).map_or(0, |r| r.1) != w.base_version {
                self.quota[i].fail_write(&w, true);
                continue;
            }
            self.store_version += 1;
            self.record.insert(team.clone(), (w.value.clone(), self.store_version));
            self.quota[i].commit_write(w, self.store_version);
        }
    }

    fn deliver(&mut self) {
        let (now, mut later) = (self.now, Vec::new());
        for (at, from, home, w) in std::mem::take(&mut self.wishes) {
            if at > now {
                later.push((at, from, home, w));
                continue;
            }
            self.seen[home][from] = self.seen[home][from].max(w.revision);
            for x in w.tasks {
                let m = self.machines.iter_mut().find(|m| m.name == x.machine).expect("a machine");
                let shown = x.priority;
                if let Some(e) = m.entries.get_mut(&x.key) {
                    e.priority = shown;
                    match (x.action, e.phase) {
                        (DesiredAction::Forget, _) => {
                            m.entries.remove(&x.key);
                            continue;
                        }
                        (DesiredAction::Run, TaskPhase::Held) => {
                            (e.phase, e.since) = (TaskPhase::Queued, now)
                        }
                        (DesiredAction::Stop(_), TaskPhase::Held | TaskPhase::Queued) => {
                            m.entries.remove(&x.key);
                            continue;
                        }
                        _ => {}
                    }
                    e.want = x.action;
                } else if matches!(x.action, DesiredAction::Run | DesiredAction::Hold) {
                    self.placed += 1;
                    if m.alive && m.free().can_hold(x.resources) {
                        let phase =
                            if x.action == DesiredAction::Run { TaskPhase::Queued } else { TaskPhase::Held };
                        m.entries.insert(
                            x.key,
                            Entry { room: x.resources, priority: shown, phase, want: x.action, since: now },
                        );
                    } else {
                        self.refused += 1;
                    }
                }
            }
            for (machine, key) in w.removed {
                let m = self.machines.iter_mut().find(|m| m.name == machine).expect("a machine");
                if m.entries.get(&key).is_some_and(|e| matches!(e.phase, TaskPhase::Held | TaskPhase::Queued))
                {
                    m.entries.remove(&key);
                }
            }
        }
        self.wishes.append(&mut later);
        for (at, home, to, d) in std::mem::take(&mut self.digests) {
            if at > now {
                self.digests.push((at, home, to, d));
            } else {
                self.owners[to].apply_machine_status(now, &self.members[to], home, d);
            }
        }
        self.seq += 1;
        for home in 0..3 {
            for to in 0..3 {
                let m = &self.members[to];
                let here = self.machines.iter().filter(|x| m.machine_leader(&x.name) == Some(home));
                let machines = here.map(|x| x.digest(m, to)).collect();
                let rev_seen = self.seen[home][to];
                let d = MachineStatusDelta {
                    sequence: (self.epoch << 32) + self.seq,
                    base_sequence: 0,
                    revision_seen: rev_seen,
                    machines,
                };
                if home == to {
                    self.owners[to].apply_machine_status(now, &self.members[to], home, d);
                } else {
                    let lag = 50_000 + self.rng.random_range(0..100_000);
                    self.digests.push((now + Micros(lag), home, to, d));
                }
            }
        }
    }

    fn run_tasks(&mut self) {
        let now = self.now;
        let mut going: BTreeMap<(String, u64), u32> = BTreeMap::new();
        for (k, e) in self.machines.iter().flat_map(|m| &m.entries) {
            if matches!(e.phase, TaskPhase::Waiting | TaskPhase::Running) {
                *going.entry((k.job.clone(), k.attempt)).or_default() += 1;
            }
        }
        for m in self.machines.iter_mut().filter(|m| m.alive) {
            for (k, e) in &mut m.entries {
                let a = self.jobs.get_mut(&k.job).expect("asked");
                let all = going.get(&(k.job.clone(), k.attempt)).copied() == Some(a.spec.task_count);
                let ready = a.spec.kind != JobKind::Gang || all;
                let next = match (e.phase, e.want) {
                    (TaskPhase::Exited(_) | TaskPhase::Held, _) => continue,
                    (TaskPhase::Saving, _) if now.since(e.since) >= a.spec.checkpoint_duration => {
                        TaskPhase::Exited(TaskExit::Stopped(true))
                    }
                    (TaskPhase::Saving, _) => continue,
                    (TaskPhase::Running, DesiredAction::Stop(grace)) if grace.0 > 0 => TaskPhase::Saving,
                    (_, DesiredAction::Stop(_)) => TaskPhase::Exited(TaskExit::Stopped(false)),
                    (TaskPhase::Queued, _) if now.since(e.since) > Micros::from_millis(400) => {
                        TaskPhase::Waiting
                    }
                    (TaskPhase::Waiting, _) if ready => {
                        a.running.insert(k.index);
                        if a.spec.kind != JobKind::Gang || a.running.len() == a.spec.task_count as usize {
                            a.begun.get_or_insert(now);
                        }
                        TaskPhase::Running
                    }
                    (TaskPhase::Running, _)
                        if a.spec.kind != JobKind::Service && now.since(e.since) >= a.run =>
                    {
                        TaskPhase::Exited(TaskExit::Done)
                    }
                    _ => continue,
                };
                if matches!(next, TaskPhase::Exited(TaskExit::Stopped(_))) {
                    a.stopped += 1;
                    a.running.remove(&k.index);
                }
                (e.phase, e.since) = (next, now);
            }
        }
    }

    /// Removes a failed machine.
    pub fn kill(&mut self, i: usize) {
        self.machines[i].alive = false;
        self.machines[i].entries.clear();
    }

    /// Jobs that have not started, and how long they have waited.
    pub fn waiting(&self) -> impl Iterator<Item = (&str, Micros)> {
        let waits = self.jobs.iter().filter(|(_, a)| a.begun.is_none() && a.done.is_none());
        waits.map(|(id, a)| (id.as_str(), self.now.since(a.at)))
    }

    /// The wait of each job until its start, or until now if it has not started.
    pub fn waits(&self, of: impl Fn(&Asked) -> bool) -> Vec<Micros> {
        let of_these = self.jobs.values().filter(|a| of(a));
        of_these.map(|a| a.begun.unwrap_or(self.now).since(a.at)).collect()
    }

    /// Returns a team whose resources in use exceed its limit.
    pub fn over_limit(&self) -> Option<String> {
        for t in &self.settings[0].teams {
            let used = self.team_in_use(&t.name);
            let over = |have: i64, most: f64| most > 0.0 && have > (most * 1000.0) as i64;
            if over(used.cpus, t.cpus_max) || over(used.gpus, t.gpus_max) {
                return Some(t.name.clone());
            }
        }
        None
    }
}
