//! Clients that cancel many jobs at once, and checks of cancellations: the time until each is answered, whether the
//! outcome is stored when a client is told, and which tasks of the job start or run on afterwards.

use super::*;
use rand::seq::IndexedRandom;

/// Minimum remaining run time of jobs chosen for mass cancellation.
const MIN_REMAINING: u64 = 12 * S;
/// Number of jobs that a mass cancellation cancels.
pub(crate) const MASS_CANCEL_JOBS: usize = 12;
/// Maximum number of these jobs' machines that become unresponsive with it.
const MAX_UNRESPONSIVE: usize = 8;

/// A cancellation that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingCancel {
    since: u64,
    /// Time of the next retry.
    next: u64,
}

#[derive(Default)]
pub(crate) struct Cancels {
    pending_cancels: BTreeMap<String, PendingCancel>,
    /// When each job's client first asked to cancel it.
    pub(crate) asked: BTreeMap<String, u64>,
    /// Answered cancellations, and the longest time to an answer: including and excluding times with faults.
    pub(crate) answered: usize,
    pub(crate) longest: (u64, String),
    pub(crate) longest_calm: (u64, String),
    /// Task starts while the same team has a task of another job known to be cancelled on a machine; and while such a
    /// task is on an unresponsive or unreachable machine.
    pub(crate) concurrent: [usize; 2],
    /// Machines that resumed, and their remaining tasks of jobs known to be cancelled: tasks that go on, and tasks
    /// that the worker ended first because its lease had expired.
    pub(crate) resumed: usize,
    pub(crate) resumed_tasks: [usize; 2],
    /// Tasks ended first whose job was cancelled more than `cancel_s` ago.
    pub(crate) resumed_late: usize,
    /// When each job's record was created, and when its final record was.
    records: BTreeMap<String, u64>,
    pub(crate) ends: BTreeMap<String, u64>,
    /// Writes to the state store in excess of its rate limit, and when they were last counted.
    spent: (f64, u64),
    /// The largest number of writes in excess of the rate limit.
    pub(crate) burst: f64,
    /// Writes by key prefix.
    pub(crate) changes: BTreeMap<String, usize>,
}

impl World {
    /// Clients cancel `count` running jobs with a long remaining run time, within 0.2 s and through any controllers,
    /// and retry until they are answered. Up to eight machines of these jobs become unresponsive for `hang`. Returns
    /// the job IDs.
    pub(crate) fn mass_cancel(&mut self, count: usize, hang: u64) -> Vec<String> {
        let now = self.now;
        let is_running = |id: &String| {
            let running = self.workers.iter().filter(|w| !w.gone && !w.dead);
            let has_long_task =
                |t: &Task| t.job == *id && t.state == "running" && t.until >= now + MIN_REMAINING;
            running.flat_map(|w| &w.tasks).any(has_long_task)
        };
        let open = |j: &UserJob| j.known == KnownState::Accepted && !j.cancel_asked;
        let all: Vec<String> =
            self.jobs.iter().filter(|(id, j)| open(j) && is_running(id)).map(|(id, _)| id.clone()).collect();
        let some: Vec<String> = all.sample(&mut self.rng, count).cloned().collect();
        for id in &some {
            let delay = self.rng.random_range(0..S / 5);
            self.start_cancelling(id, delay);
        }
        if hang > 0 {
            let machines: BTreeSet<usize> =
                some.iter().flat_map(|id| self.machines_with_live_tasks(id)).collect();
            let machines: Vec<usize> = machines.into_iter().collect();
            for &worker_index in machines.sample(&mut self.rng, MAX_UNRESPONSIVE).collect::<Vec<_>>() {
                self.workers[worker_index].unresponsive_until =
                    self.workers[worker_index].unresponsive_until.max(now + hang);
            }
        }
        some
    }

    /// The job's client starts to ask random controllers to cancel it, until it is answered.
    pub(crate) fn start_cancelling(&mut self, id: &str, delay: u64) {
        let since = self.now + delay;
        self.cancels.asked.entry(id.to_owned()).or_insert(since);
        self.cancels.pending_cancels.entry(id.to_owned()).or_insert(PendingCancel { since, next: since });
        self.jobs.get_mut(id).expect("a job").cancel_asked = true;
        if delay > 0 {
            // Sent at its own random time instead of the next round.
            self.schedule(delay, SimEvent::RetryCancel(id.to_owned()));
        } else {
            self.retry_cancel(id);
        }
    }

    pub(crate) fn retry_cancel(&mut self, id: &str) {
        let pause = self.rng.random_range(S / 2..5 * S);
        if let Some(pending) = self.cancels.pending_cancels.get_mut(id) {
            pending.next = self.now + pause;
            let controller = self.rng.random_range(0..3);
            self.cancel_job(controller, id);
        }
    }

    /// Retries unanswered cancellations.
    pub(crate) fn run_cancels(&mut self) {
        for (id, pending) in self.cancels.pending_cancels.clone() {
            match self.jobs[&id].known {
                KnownState::Accepted if self.now >= pending.next + S / 5 => self.retry_cancel(&id),
                KnownState::Accepted | KnownState::Unknown => {}
                KnownState::Done | KnownState::Cancelled => {
                    self.cancels.pending_cancels.remove(&id);
                    self.cancels.answered += 1;
                    let answered_at = self.compound.cancel_answers.get(&id).map_or(self.now, |t| t.at);
                    let calm =
                        answered_at.saturating_sub(pending.since.max(self.answer_gaps.fault_free_from));
                    let counts = &mut self.cancels;
                    let all = (answered_at.saturating_sub(pending.since), id.clone());
                    counts.longest = counts.longest.clone().max(all);
                    counts.longest_calm = counts.longest_calm.clone().max((calm, id));
                }
            }
        }
    }

    /// Checks an answer sent to a client: if it reports a job's outcome, the final record must be stored.
    pub(crate) fn check_outcome_stored(&self, by: usize, reply: &Reply) {
        let ends = ["\"stance\":\"aborted\"", "\"stance\":\"done\""];
        if reply.status != 200 || !ends.iter().any(|e| reply.body.contains(e)) {
            return;
        }
        let Ok(body) = serde_json::from_str::<Value>(&reply.body) else { return };
        let (Some(stance @ ("aborted" | "done")), Some(id)) = (body["stance"].as_str(), body["uid"].as_str())
        else {
            return;
        };
        let end = self.store.keys.get(&format!("done/{id}")).map(|v| v.0["end"].clone());
        let says = if stance == "done" { "done" } else { "cancelled" };
        assert_eq!(
            end,
            Some(says.into()),
            "reported, but no final record is stored: {id} is {stance} by {by} at {}",
            self.now
        );
    }

    /// Counts a transaction on the state store. Each job's record and final record may be created only once.
    pub(crate) fn record_transaction(&mut self, transaction: &Transaction, done: bool) {
        let writes = (transaction.puts.len() + transaction.deletes.len()) as f64;
        let (left, at) = self.cancels.spent;
        let over = (left - (self.now - at) as f64 / 1e6 * self.shape.write_rps).max(0.0) + writes;
        self.cancels.spent = (over, self.now);
        self.cancels.burst = self.cancels.burst.max(over);
        for key in transaction.puts.iter().map(|p| &p.0).chain(&transaction.deletes) {
            let kind = key.split('/').next().unwrap_or("").to_owned();
            *self.cancels.changes.entry(kind).or_default() += 1;
        }
        if !done {
            return;
        }
        for (key, ..) in &transaction.puts {
            if let Some(id) = key.strip_prefix("job/")
                && transaction.conditions.iter().any(|(k, store_version)| k == key && *store_version == 0)
            {
                let before = self.cancels.records.insert(id.to_owned(), self.now);
                assert_eq!(before, None, "job record created twice: {id} at {}", self.now);
            }
            if let Some(id) = key.strip_prefix("done/") {
                let before = self.cancels.ends.insert(id.to_owned(), self.now);
                assert_eq!(before, None, "final record created twice: {id} at {}", self.now);
            }
        }
    }

    /// The number of created job records.
    pub(crate) fn created_jobs(&self) -> usize {
        self.cancels.records.len()
    }

    /// A worker starts a task on a leader's command.
    pub(crate) fn check_task_start(&mut self, job: &str, index: u32) {
        if let Some(at) = self.jobs[job].cancelled_at {
            panic!(
                "started after its cancellation was confirmed: {job}/{index} at {}, confirmed at {at}",
                self.now
            );
        }
        let team = &self.jobs[job].spec.team;
        let is_cancelled_teammate = |t: &Task| {
            let user_job = &self.jobs[&t.job];
            t.is_placed() && user_job.spec.team == *team && user_job.cancelled_at.is_some()
        };
        let has_lease = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let machines: Vec<&Worker> = self
            .workers
            .iter()
            .filter(has_lease)
            .filter(|w| w.tasks.iter().any(is_cancelled_teammate))
            .collect();
        let is_unresponsive =
            machines.iter().any(|w| self.now < w.unresponsive_until || self.now < w.inbound_lost_until);
        let counts = [!machines.is_empty(), is_unresponsive];
        for (count, applies) in self.cancels.concurrent.iter_mut().zip(counts) {
            *count += usize::from(applies);
        }
    }

    /// An unresponsive machine resumes. If its lease has expired, the worker ends its tasks first; otherwise they go
    /// on and are checked like any others.
    pub(crate) fn check_resumed(&mut self, worker_index: usize) {
        let worker = &mut self.workers[worker_index];
        if worker.unresponsive_until == 0 {
            return;
        }
        worker.unresponsive_until = 0;
        let over = self.now > worker.lease_from + (LEASE_S * 1e6) as u64;
        let counts = &mut self.cancels;
        counts.resumed += 1;
        for task in worker.tasks.iter().filter(|task| task.state != "ended") {
            let Some(at) = self.jobs[&task.job].cancelled_at else { continue };
            let late = self.now > at + (CANCEL_S * 1e6) as u64;
            assert!(over || !late, "ran_cancelled: {} continues after its machine resumed", task.job);
            counts.resumed_tasks[usize::from(over)] += 1;
            counts.resumed_late += usize::from(over && late);
        }
    }

    /// CPUs of a team's tasks as its limit counts them, in thousandths.
    pub(crate) fn team_use(&self, team: &str) -> i64 {
        let has_lease = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let on = self.workers.iter().filter(has_lease).flat_map(|w| &w.tasks).filter(|t| t.is_placed());
        on.map(|t| &self.jobs[&t.job].spec)
            .filter(|s| s.team == team)
            .map(|s| s.resources_per_task.cpus)
            .sum()
    }
}

impl World {
    /// Checks that every cancellation was answered, within `maximum` seconds outside of faults.
    pub(crate) fn assert_cancels_answered(&self, seed: u64, maximum: f64) {
        let counts = &self.cancels;
        assert!(counts.pending_cancels.is_empty(), "seed {seed}: {:?}", counts.pending_cancels);
        let (duration, id) = &counts.longest_calm;
        assert!(*duration as f64 / 1e6 <= maximum, "seed {seed}: {:.1} s for {id}", *duration as f64 / 1e6);
    }
}

impl Cancels {
    /// Adds the counts of another simulated day.
    pub(crate) fn add(&mut self, other: &Cancels) {
        self.answered += other.answered;
        self.longest = self.longest.clone().max(other.longest.clone());
        self.longest_calm = self.longest_calm.clone().max(other.longest_calm.clone());
        self.resumed += other.resumed;
        self.resumed_late += other.resumed_late;
        for (sum, count) in
            [(&mut self.concurrent, &other.concurrent), (&mut self.resumed_tasks, &other.resumed_tasks)]
        {
            sum.iter_mut().zip(count).for_each(|(a, b)| *a += b);
        }
        self.burst = self.burst.max(other.burst);
        for (kind, n) in &other.changes {
            *self.changes.entry(kind.clone()).or_default() += n;
        }
    }
}

impl std::fmt::Debug for Cancels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let format_longest =
            |(duration, id): &(u64, String)| format!("{:.1} s ({id})", *duration as f64 / 1e6);
        f.debug_struct("Cancels")
            .field("answered", &self.answered)
            .field("longest", &format_longest(&self.longest))
            .field("longest_calm", &format_longest(&self.longest_calm))
            .field("concurrent", &self.concurrent)
            .field("resumed", &(self.resumed, self.resumed_tasks, self.resumed_late))
            .field("burst", &self.burst)
            .field("changes", &self.changes)
            .finish()
    }
}
