//! The workers: heartbeats, commands, leases and gangs.

use super::*;
use hazelsaddle::peer::TaskKey;

impl Worker {
    fn heartbeat(&self) -> Heartbeat {
        let task = |task: &Task| HeartbeatTask {
            task: format!("{}/{}", task.job, task.index),
            attempt: task.attempt,
            state: task.state.into(),
            cause: task.cause.map(str::to_owned),
            saved: Some(task.saved),
        };
        Heartbeat {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.seq,
            token: self.token,
            time_to_termination_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
}

impl World {
    /// A worker receives a fencing probe and answers with a heartbeat.
    pub(crate) fn handle_fencing_probe(
        &mut self,
        controller: usize,
        boot: u64,
        token: u64,
        probe: FencingProbe,
    ) {
        let now = self.now;
        let Some(worker_index) = self.probed_worker(&probe) else { return };
        // An unresponsive worker processes the probe when it resumes.
        let unresponsive_until = self.workers[worker_index].unresponsive_until;
        if unresponsive_until > now {
            return self
                .schedule(unresponsive_until - now, SimEvent::DeliverProbe(controller, boot, token, probe));
        }
        let heartbeat = self.apply_fencing_probe(worker_index, token, &probe);
        self.lost.fencing_answers += usize::from(now < self.workers[worker_index].outbound_lost_until);
        if let Some(delay) = self.delay_from_worker(worker_index, controller) {
            self.schedule(
                delay,
                SimEvent::Controller(controller, boot, Event::FencingProbeAnswered(heartbeat)),
            );
        }
    }

    /// The worker that receives a fencing probe. `None` if it is not running or the probe is lost.
    pub(crate) fn probed_worker(&mut self, probe: &FencingProbe) -> Option<usize> {
        let now = self.now;
        let is_running = |w: &Worker| w.name == probe.machine && !w.gone && !w.dead && now >= w.up_at;
        let worker_index = self.workers.iter().position(is_running)?;
        if now < self.workers[worker_index].inbound_lost_until {
            self.compound.lost_to_workers += 1;
            return None;
        }
        Some(worker_index)
    }

    /// Applies a fencing probe: the worker adopts its token if the incarnation matches and the token is not older,
    /// and answers with a heartbeat.
    pub(crate) fn apply_fencing_probe(
        &mut self,
        worker_index: usize,
        token: u64,
        probe: &FencingProbe,
    ) -> Heartbeat {
        let worker = &mut self.workers[worker_index];
        if worker.incarnation == probe.incarnation && token >= worker.token {
            worker.changed |= token > worker.token;
            worker.token = token;
        }
        worker.seq += 1;
        worker.heartbeat()
    }

    pub(crate) fn handle_worker_answer(&mut self, worker_index: usize, seq: u64, reply: &Reply) {
        let worker = &mut self.workers[worker_index];
        if worker.gone || worker.dead {
            return;
        }
        if self.now < worker.inbound_lost_until {
            self.compound.lost_to_workers += 1;
            return;
        }
        // An unresponsive worker reads the response when it resumes, and drops it if it is too late by then.
        if self.now < worker.unresponsive_until {
            let delay = worker.unresponsive_until - self.now;
            return self.schedule(delay, SimEvent::WorkerAnswer(worker_index, seq, reply.clone()));
        }
        if self.now > worker.lease_from + (LEASE_S * 1e6) as u64 {
            return;
        }
        let Some((number, sent)) = worker.in_flight else { return };
        if number != seq || self.now > sent + 4 * S {
            return;
        }
        worker.in_flight = None;
        let body: Value = serde_json::from_str(&reply.body).expect("answers are JSON");
        match reply.status {
            200 => {
                let token = body["rein"].as_u64().expect("a token");
                if token < worker.token {
                    return;
                }
                worker.changed |= token > worker.token;
                worker.token = token;
                worker.lease_from = sent;
                let calls = body["calls"].as_array().expect("commands").clone();
                for call in calls {
                    self.handle_command(worker_index, &call);
                }
            }
            421 => {
                let to =
                    body["rider"].as_str().and_then(|r| r.strip_prefix('c')).and_then(|n| n.parse().ok());
                worker.target = to.unwrap_or((worker.target + 1) % 3);
                worker.next = self.now + 200_000;
            }
            _ => {
                worker.target = (worker.target + 1) % 3;
                worker.next = self.now + S;
            }
        }
    }

    pub(crate) fn handle_command(&mut self, worker_index: usize, command: &Value) {
        let (job, index) = command["stride"].as_str().and_then(|t| t.rsplit_once('/')).expect("a task");
        let index: u32 = index.parse().expect("a number");
        let attempt = command["mount"].as_u64().expect("an attempt");
        let now = self.now;
        let is_same = |t: &Task| t.job == job && t.index == index && t.attempt == attempt;
        match command["call"].as_str().expect("a command") {
            "run" => {
                let worker = &self.workers[worker_index];
                if worker.tasks.iter().any(is_same) {
                    return;
                }
                let spec = &self.jobs[job].spec;
                let busy = worker.tasks.iter().any(|t| t.job == job && t.index == index);
                let used_cpus: i64 = worker
                    .tasks
                    .iter()
                    .filter(|t| t.state != "ended")
                    .map(|t| self.jobs[&t.job].spec.resources_per_task.cpus)
                    .sum();
                let alive = self.workers[worker_index].tasks.iter().filter(|t| t.state != "ended");
                let used_gpus: i64 = alive.map(|t| self.jobs[&t.job].spec.resources_per_task.gpus).sum();
                let gpu_capacity = if worker.kind == "gpu" { 4000 } else { 0 };
                let cpu_capacity = if worker.kind == "small" { 4000 } else { 8000 };
                let cause = if busy {
                    Some("busy")
                } else if used_cpus + spec.resources_per_task.cpus > cpu_capacity
                    || used_gpus + spec.resources_per_task.gpus > gpu_capacity
                    || (self.rejected_class == Some(spec.class.as_str())
                        && spec.task_count >= self.rejected_min_tasks)
                {
                    Some("no_room")
                } else {
                    None
                };
                let fetch = self.rng.random_range(S / 2..4 * S);
                self.observe_start(attempt);
                // An unregistered machine would not be probed after a failover.
                assert!(
                    self.is_registered(&self.workers[worker_index].name),
                    "{job}/{index}: started on an unregistered machine"
                );
                self.workers[worker_index].tasks.push(Task {
                    job: job.into(),
                    index,
                    attempt,
                    state: if cause.is_some() { "ended" } else { "pulling" },
                    cause,
                    saved: false,
                    until: now + fetch,
                });
                if cause.is_none() {
                    let key = TaskKey { job: job.to_owned(), index, attempt };
                    self.record_start(worker_index, key);
                    self.starts += 1;
                    self.workers[worker_index].has_run_tasks = true;
                    self.check_task_start(job, index);
                    self.check_merge_start(job);
                    for dependency in &self.jobs[job].spec.dependencies {
                        let dependency = &self.jobs[dependency];
                        let all = dependency.done.len() == dependency.spec.task_count as usize;
                        assert!(
                            all,
                            "too_early: {job}/{index} before {} at {}",
                            dependency.spec.id, self.now
                        );
                    }
                }
            }
            "kill" => {
                if let Some(t) =
                    self.workers[worker_index].tasks.iter_mut().find(|t| is_same(t) && t.state != "ended")
                {
                    t.state = "ended";
                    t.cause = Some("stopped");
                }
            }
            "forget" => {
                self.workers[worker_index].tasks.retain(|t| !(is_same(t) && t.state == "ended"));
                self.repeat_start(worker_index, TaskKey { job: job.to_owned(), index, attempt });
            }
            other => panic!("unknown command {other}"),
        }
        self.workers[worker_index].changed = true;
    }

    pub(crate) fn run_workers(&mut self) {
        let now = self.now;
        let mut finished_jobs = Vec::new();
        for worker_index in 0..self.workers.len() {
            let worker = &mut self.workers[worker_index];
            if worker.gone || worker.dead || now < worker.up_at || now < worker.unresponsive_until {
                continue;
            }
            self.check_resumed(worker_index);
            let worker = &mut self.workers[worker_index];
            if now > worker.lease_from + (LEASE_S * 1e6) as u64 {
                worker.tasks.clear();
                worker.incarnation += 1;
                worker.lease_from = now;
                worker.in_flight = None;
                worker.changed = true;
            }
            for task_index in 0..self.workers[worker_index].tasks.len() {
                let task = self.workers[worker_index].tasks[task_index].clone();
                if now < task.until {
                    continue;
                }
                let job = &self.jobs[&task.job];
                let gang = job.spec.kind == hazelsaddle::spec::JobKind::Gang;
                let (state, until, cause) = match task.state {
                    "pulling" if job.always_fails => ("ended", 0, Some("error")),
                    "pulling" if job.done.contains(&task.index) => ("ended", 0, Some("done")),
                    "pulling" if gang => ("waiting", now + 30 * S, None),
                    "pulling" => {
                        ("running", now + job.run + job.extra_run_per_index * u64::from(task.index), None)
                    }
                    "waiting" => ("ended", 0, Some("alone")),
                    "running" if job.always_fails => ("ended", 0, Some("error")),
                    "running" => ("ended", 0, Some("done")),
                    _ => continue,
                };
                if cause == Some("done") {
                    let all = job.spec.task_count;
                    let user_job = self.jobs.get_mut(&task.job).expect("known");
                    let before = user_job.done.len();
                    if gang {
                        user_job.done.extend(0..all);
                    } else {
                        user_job.done.insert(task.index);
                    }
                    if before < user_job.done.len() && user_job.done.len() == all as usize {
                        finished_jobs.push(task.job.clone());
                    }
                }
                if state == "running" {
                    self.jobs.get_mut(&task.job).expect("known").started_at.get_or_insert(now);
                }
                let worker = &mut self.workers[worker_index];
                worker.tasks[task_index].state = state;
                worker.tasks[task_index].until = until;
                worker.tasks[task_index].cause = cause;
                worker.changed = true;
                if task.state == "pulling" && state != "ended" {
                    self.check_placement(worker_index, &task.job);
                }
            }
            let worker = &mut self.workers[worker_index];
            if worker.in_flight.is_some_and(|(_, sent)| now > sent + 4 * S) {
                worker.in_flight = None;
                worker.target = (worker.target + 1) % 3;
                worker.next = now + S;
            }
            if worker.in_flight.is_none()
                && (now >= worker.next || (worker.changed && now + 2 * S >= worker.next))
            {
                worker.seq += 1;
                worker.changed = false;
                worker.in_flight = Some((worker.seq, now));
                worker.next = now + 3 * S;
                if now < worker.outbound_lost_until {
                    self.lost.lost_heartbeats += 1;
                    continue;
                }
                let heartbeat = worker.heartbeat();
                let (target, seq) = (worker.target, worker.seq);
                self.serial += 1;
                let ticket = self.serial;
                self.tickets.insert(ticket, Ticket::Worker(worker_index, seq));
                self.schedule_late_heartbeat(worker_index, target, &heartbeat);
                self.hold_back_heartbeat(worker_index, &heartbeat);
                if let Some(delay) = self.delay_from_worker(worker_index, target) {
                    self.schedule(
                        delay,
                        SimEvent::Controller(target, 0, Event::Heartbeat { ticket, heartbeat }),
                    );
                }
            }
        }
        self.cancel_ended_jobs(&finished_jobs);
        self.run_gangs();
    }

    pub(crate) fn run_gangs(&mut self) {
        let mut waiting: BTreeMap<(String, u64), BTreeSet<u32>> = BTreeMap::new();
        let mut running: BTreeMap<(String, u64), BTreeSet<u32>> = BTreeMap::new();
        for worker in self
            .workers
            .iter()
            .filter(|worker| !worker.gone && !worker.dead && self.now >= worker.unresponsive_until)
        {
            for task in &worker.tasks {
                let set = match task.state {
                    "waiting" => &mut waiting,
                    "running" => &mut running,
                    _ => continue,
                };
                set.entry((task.job.clone(), task.attempt)).or_default().insert(task.index);
            }
        }
        let now = self.now;
        // In worlds with GPUs a gang notices missing tasks only after the protocol's timeout, so that an orderly stop
        // can be told from a failure.
        let peer_timeout = if self.shape.gpus > 0 { 6 * S } else { 0 };
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| !worker.gone && !worker.dead && now >= worker.unresponsive_until)
        {
            for task in &mut worker.tasks {
                let Some(user_job) = self.jobs.get_mut(&task.job) else { continue };
                if user_job.spec.kind != hazelsaddle::spec::JobKind::Gang {
                    continue;
                }
                let key = (task.job.clone(), task.attempt);
                let all = user_job.spec.task_count as usize;
                if task.state == "waiting" && waiting.get(&key).is_some_and(|s| s.len() == all) {
                    task.state = "running";
                    task.until = now + user_job.run;
                    user_job.started_at.get_or_insert(now);
                    worker.changed = true;
                } else if task.state == "running"
                    && running.get(&key).is_none_or(|s| s.len() < all)
                    && !waiting.contains_key(&key)
                    && user_job.done.is_empty()
                    && now >= *self.incomplete_since.entry(key).or_insert(now) + peer_timeout
                {
                    task.state = "ended";
                    task.cause = Some("peers");
                    self.peer_failures += 1;
                    worker.changed = true;
                }
            }
        }
    }
}
