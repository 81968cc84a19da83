//! Late copies of messages that were delivered, handled and answered before: frames and hand-off batches between
//! controllers, responses to heartbeats, and fencing probes. The receiver may have restarted in between, and the task that
//! a copy starts may have ended, moved or been cancelled.

use super::*;
use hazelsaddle::peer::{DesiredAction, DesiredTask, Frame, TaskKey};

/// Shortest and longest delay of a copy. The longest is well over a lease of a worker.
const DELAYS: std::ops::Range<u64> = S / 20..30 * S;

/// A late copy of a message.
#[derive(Debug)]
pub(crate) enum LateCopy {
    /// A frame to a controller, whichever process it runs by then.
    Frame(usize, Box<Frame>),
    /// The response to a machine's heartbeat with this sequence number.
    Response(usize, u64, Reply),
    /// A fencing probe of a controller's process with this boot ID and epoch.
    Probe(usize, u64, u64, FencingProbe),
}

/// What had become of a start when a copy of the message that requested it arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CopiedStarts {
    /// All starts that a worker had carried out before.
    pub(crate) carried_out: usize,
    /// Of these, those that the worker had forgotten since, so that it would carry them out once more.
    pub(crate) forgotten: usize,
    /// Of these, those of tasks with a newer attempt, and those of jobs whose cancellation was confirmed.
    pub(crate) moved: usize,
    pub(crate) cancelled: usize,
}

#[derive(Default)]
pub(crate) struct LateCopies {
    /// Share of the messages that are copied, and the end time.
    share: (f64, u64),
    /// Starts that each worker has carried out: machine, incarnation and task.
    started: BTreeSet<(usize, u64, TaskKey)>,
    /// The newest attempt of each task.
    newest: BTreeMap<(String, u32), u64>,
    pub(crate) in_frames: CopiedStarts,
    pub(crate) in_handoffs: CopiedStarts,
    pub(crate) in_responses: CopiedStarts,
    /// Copies that a newer process of their receiver got.
    pub(crate) after_restart: usize,
    pub(crate) probes: usize,
    /// Workers carry out starts of these jobs once more as soon as they have forgotten them, whatever the reason.
    pub(crate) repeated_jobs: BTreeSet<String>,
    /// When each of these tasks began to run again, by machine and task.
    repeated: BTreeMap<(usize, TaskKey), u64>,
    /// The longest time that one of them was on its machine.
    pub(crate) longest_repeated: u64,
}

impl World {
    /// For `duration`, copies of this share of the messages between controllers and to workers arrive once more, up to 30 s
    /// later.
    pub(crate) fn copy_messages(&mut self, share: f64, duration: u64) {
        self.copies.share = (share, self.now + duration);
    }

    /// Schedules a late copy of a random share of the messages.
    pub(crate) fn schedule_late_copy(&mut self, copy: impl FnOnce() -> LateCopy) {
        let (share, until) = self.copies.share;
        if self.now < until && self.rng.random_bool(share) {
            let delay = self.rng.random_range(DELAYS);
            self.schedule(delay, SimEvent::LateCopy(copy()));
        }
    }

    pub(crate) fn deliver_late_copy(&mut self, copy: LateCopy) {
        match copy {
            LateCopy::Frame(controller, frame) => {
                self.count_copied_frame(controller, &frame);
                if self.nodes[controller].is_some() {
                    self.step_controller(controller, Event::Frame(frame));
                }
            }
            LateCopy::Response(worker, sequence, reply) => {
                let counts = self.count_copied_response(worker, &reply);
                self.copies.in_responses.add(counts);
                self.handle_worker_answer(worker, sequence, &reply);
            }
            LateCopy::Probe(controller, boot, token, probe) => {
                self.copies.probes += 1;
                self.deliver_late_probe(controller, boot, token, probe);
            }
        }
    }

    /// Records that a worker carries out a start. No worker may do so twice in one incarnation.
    pub(crate) fn record_start(&mut self, worker: usize, key: TaskKey) {
        let newest = self.copies.newest.entry((key.job.clone(), key.index)).or_default();
        *newest = (*newest).max(key.attempt);
        let incarnation = self.workers[worker].incarnation;
        let is_first = self.copies.started.insert((worker, incarnation, key.clone()));
        assert!(is_first, "{key:?} started twice on {}", self.workers[worker].name);
    }

    /// A worker has forgotten a task. If starts of its job are repeated, it runs the task again, for as long as it is let.
    pub(crate) fn repeat_start(&mut self, worker: usize, key: TaskKey) {
        if !self.copies.repeated_jobs.contains(&key.job)
            || self.copies.repeated.contains_key(&(worker, key.clone()))
        {
            return;
        }
        self.workers[worker].tasks.push(Task {
            job: key.job.clone(),
            index: key.index,
            attempt: key.attempt,
            state: "running",
            cause: None,
            saved: false,
            until: NEVER,
        });
        self.copies.repeated.insert((worker, key), self.now);
    }

    /// The number of tasks that were started again, and of those that still run.
    pub(crate) fn repeated_starts(&mut self) -> (usize, usize) {
        let is_on = |worker: &Worker, key: &TaskKey| {
            let is_same =
                |task: &&Task| task.job == key.job && task.index == key.index && task.attempt == key.attempt;
            !worker.gone && !worker.dead && worker.tasks.iter().find(is_same).is_some_and(Task::is_placed)
        };
        let mut running = 0;
        for ((worker, key), since) in &self.copies.repeated {
            if is_on(&self.workers[*worker], key) {
                running += 1;
                self.copies.longest_repeated = self.copies.longest_repeated.max(self.now - since);
            }
        }
        (self.copies.repeated.len(), running)
    }

    fn count_copied_frame(&mut self, controller: usize, frame: &Frame) {
        self.copies.after_restart += usize::from(frame.echo_boot != self.boot_ids[controller]);
        match &frame.body {
            Message::State(desired, _) => {
                let is_start = |task: &&DesiredTask| task.action == DesiredAction::Run;
                for task in desired.tasks.iter().filter(is_start) {
                    let counts = self.count_copied_start(&task.machine, &task.key);
                    self.copies.in_frames.add(counts);
                }
            }
            Message::Handoff { batch, .. } => {
                for machine in &batch.machines {
                    for task in &machine.tasks {
                        let counts = self.count_copied_start(&machine.name, &task.key);
                        self.copies.in_handoffs.add(counts);
                    }
                }
            }
            _ => {}
        }
    }

    fn count_copied_response(&self, worker: usize, reply: &Reply) -> CopiedStarts {
        let mut counts = CopiedStarts::default();
        let body: Value = serde_json::from_str(&reply.body).expect("answers are JSON");
        for call in body["calls"].as_array().into_iter().flatten().filter(|call| call["call"] == "run") {
            let (job, index) =
                call["stride"].as_str().and_then(|task| task.rsplit_once('/')).expect("a task");
            let key = TaskKey {
                job: job.to_owned(),
                index: index.parse().expect("a number"),
                attempt: call["mount"].as_u64().expect("an attempt"),
            };
            counts.add(self.count_copied_start(&self.workers[worker].name, &key));
        }
        counts
    }

    fn count_copied_start(&self, machine: &str, key: &TaskKey) -> CopiedStarts {
        let Some(index) = self.workers.iter().position(|worker| worker.name == machine) else {
            return CopiedStarts::default();
        };
        let worker = &self.workers[index];
        let carried_out = self.copies.started.contains(&(index, worker.incarnation, key.clone()));
        let is_listed = worker
            .tasks
            .iter()
            .any(|task| task.job == key.job && task.index == key.index && task.attempt == key.attempt);
        let forgotten = carried_out && !is_listed;
        let newest = self.copies.newest.get(&(key.job.clone(), key.index)).copied().unwrap_or(0);
        CopiedStarts {
            carried_out: usize::from(carried_out),
            forgotten: usize::from(forgotten),
            moved: usize::from(forgotten && newest > key.attempt),
            cancelled: usize::from(forgotten && self.jobs[&key.job].cancelled_at.is_some()),
        }
    }
}

impl CopiedStarts {
    pub(crate) fn add(&mut self, other: CopiedStarts) {
        self.carried_out += other.carried_out;
        self.forgotten += other.forgotten;
        self.moved += other.moved;
        self.cancelled += other.cancelled;
    }
}
