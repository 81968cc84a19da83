//! Clients that cancel many jobs at once, and checks of cancellations: the time until each is answered, whether the
//! outcome is stored when a client is told, and which tasks of the job start or run on afterwards.

use super::*;
use rand::seq::IndexedRandom;

/// Minimum remaining run time of jobs chosen for mass cancellation.
const LONG_TO_GO: u64 = 12 * S;
/// Number of jobs that a mass cancellation cancels.
pub(crate) const CALLED_OFF: usize = 12;
/// Maximum number of these jobs' machines that become unresponsive with it.
const HANGING: usize = 8;

/// A cancellation that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct Asking {
    since: u64,
    /// Time of the next retry.
    next: u64,
}

#[derive(Default)]
pub(crate) struct Cancels {
    asking: BTreeMap<String, Asking>,
    /// When each job's client first asked to cancel it.
    pub(crate) asked: BTreeMap<String, u64>,
    /// Answered cancellations, and the longest time to an answer: including and excluding times with faults.
    pub(crate) answered: usize,
    pub(crate) longest: (u64, String),
    pub(crate) longest_calm: (u64, String),
    /// Task starts while the same team has a task of another job known to be cancelled on a machine; and while such a
    /// task is on an unresponsive or unreachable machine.
    pub(crate) beside: [usize; 2],
    /// Machines that resumed, and their remaining tasks of jobs known to be cancelled: tasks that go on, and tasks
    /// that the worker ended first because its lease had expired.
    pub(crate) woke: usize,
    pub(crate) woke_with: [usize; 2],
    /// Tasks ended first whose job was cancelled more than `cancel_s` ago.
    pub(crate) woke_late: usize,
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
    pub(crate) fn cancel_now(&mut self, count: usize, hang: u64) -> Vec<String> {
        let now = self.now;
        let runs = |id: &String| {
            let there = self.workers.iter().filter(|w| !w.gone && !w.dead);
            let long = |t: &Task| t.job == *id && t.state == "running" && t.until >= now + LONG_TO_GO;
            there.flat_map(|w| &w.tasks).any(long)
        };
        let open = |j: &UserJob| j.known == Known::Accepted && !j.cancel_asked;
        let all: Vec<String> =
            self.jobs.iter().filter(|(id, j)| open(j) && runs(id)).map(|(id, _)| id.clone()).collect();
        let some: Vec<String> = all.sample(&mut self.rng, count).cloned().collect();
        for id in &some {
            let delay = self.rng.random_range(0..S / 5);
            self.call_off(id, delay);
        }
        if hang > 0 {
            let of: BTreeSet<usize> = some.iter().flat_map(|id| self.alive(id)).collect();
            let of: Vec<usize> = of.into_iter().collect();
            for &i in of.sample(&mut self.rng, HANGING).collect::<Vec<_>>() {
                self.workers[i].hung_until = self.workers[i].hung_until.max(now + hang);
            }
        }
        some
    }

    /// The job's client starts to ask random controllers to cancel it, until it is answered.
    pub(crate) fn call_off(&mut self, id: &str, delay: u64) {
        let since = self.now + delay;
        self.cancels.asked.entry(id.to_owned()).or_insert(since);
        self.cancels.asking.entry(id.to_owned()).or_insert(Asking { since, next: since });
        self.jobs.get_mut(id).expect("a job").cancel_asked = true;
        if delay > 0 {
            // Sent at its own random time instead of the next round.
            self.later(delay, What::CallOff(id.to_owned()));
        } else {
            self.call_off_again(id);
        }
    }

    pub(crate) fn call_off_again(&mut self, id: &str) {
        let pause = self.rng.random_range(S / 2..5 * S);
        if let Some(a) = self.cancels.asking.get_mut(id) {
            a.next = self.now + pause;
            let n = self.rng.random_range(0..3);
            self.withdraw(n, id);
        }
    }

    /// Retries unanswered cancellations.
    pub(crate) fn run_cancels(&mut self) {
        for (id, a) in self.cancels.asking.clone() {
            match self.jobs[&id].known {
                Known::Accepted if self.now >= a.next + S / 5 => self.call_off_again(&id),
                Known::Accepted | Known::Nothing => {}
                Known::Done | Known::Cancelled => {
                    self.cancels.asking.remove(&id);
                    self.cancels.answered += 1;
                    let told = self.compound.told.get(&id).map_or(self.now, |t| t.at);
                    let calm = told.saturating_sub(a.since.max(self.silence.calm_from));
                    let c = &mut self.cancels;
                    let all = (told.saturating_sub(a.since), id.clone());
                    c.longest = c.longest.clone().max(all);
                    c.longest_calm = c.longest_calm.clone().max((calm, id));
                }
            }
        }
    }

    /// Checks an answer sent to a client: if it reports a job's outcome, the final record must be stored.
    pub(crate) fn vet_told(&self, by: usize, reply: &Reply) {
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
        assert_eq!(end, Some(says.into()), "told, not on record: {id} is {stance} by {by} at {}", self.now);
    }

    /// Counts a transaction on the state store. Each job's record and final record may be created only once.
    pub(crate) fn note_change(&mut self, c: &Transaction, done: bool) {
        let n = (c.puts.len() + c.deletes.len()) as f64;
        let (left, at) = self.cancels.spent;
        let over = (left - (self.now - at) as f64 / 1e6 * self.shape.write_rps).max(0.0) + n;
        self.cancels.spent = (over, self.now);
        self.cancels.burst = self.cancels.burst.max(over);
        for key in c.puts.iter().map(|p| &p.0).chain(&c.deletes) {
            let kind = key.split('/').next().unwrap_or("").to_owned();
            *self.cancels.changes.entry(kind).or_default() += 1;
        }
        if !done {
            return;
        }
        for (key, ..) in &c.puts {
            if let Some(id) = key.strip_prefix("job/")
                && c.conditions.iter().any(|(k, store_version)| k == key && *store_version == 0)
            {
                let before = self.cancels.records.insert(id.to_owned(), self.now);
                assert_eq!(before, None, "put on record again: {id} at {}", self.now);
            }
            if let Some(id) = key.strip_prefix("done/") {
                let before = self.cancels.ends.insert(id.to_owned(), self.now);
                assert_eq!(before, None, "ended again: {id} at {}", self.now);
            }
        }
    }

    /// The number of created job records.
    pub(crate) fn recorded(&self) -> usize {
        self.cancels.records.len()
    }

    /// A worker starts a task on a leader's command.
    pub(crate) fn note_start_of(&mut self, job: &str, index: u32) {
        if let Some(at) = self.jobs[job].cancelled_at {
            panic!("started after its user was told: {job}/{index} at {}, told at {at}", self.now);
        }
        let team = &self.jobs[job].spec.team;
        let mine = |t: &Task| {
            let j = &self.jobs[&t.job];
            t.on() && j.spec.team == *team && j.cancelled_at.is_some()
        };
        let lives = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let has: Vec<&Worker> =
            self.workers.iter().filter(lives).filter(|w| w.tasks.iter().any(mine)).collect();
        let quiet = has.iter().any(|w| self.now < w.hung_until || self.now < w.deaf_until);
        let counts = [!has.is_empty(), quiet];
        for (count, is) in self.cancels.beside.iter_mut().zip(counts) {
            *count += usize::from(is);
        }
    }

    /// An unresponsive machine resumes. If its lease has expired, the worker ends its tasks first; otherwise they go
    /// on and are checked like any others.
    pub(crate) fn note_wake(&mut self, i: usize) {
        let w = &mut self.workers[i];
        if w.hung_until == 0 {
            return;
        }
        w.hung_until = 0;
        let over = self.now > w.lease_from + (LEASE_S * 1e6) as u64;
        let c = &mut self.cancels;
        c.woke += 1;
        for t in w.tasks.iter().filter(|t| t.state != "ended") {
            let Some(at) = self.jobs[&t.job].cancelled_at else { continue };
            let late = self.now > at + (CANCEL_S * 1e6) as u64;
            assert!(over || !late, "ran_cancelled: {} goes on after its machine hung", t.job);
            c.woke_with[usize::from(over)] += 1;
            c.woke_late += usize::from(over && late);
        }
    }

    /// CPUs of a team's tasks as its limit counts them, in thousandths.
    pub(crate) fn team_use(&self, team: &str) -> i64 {
        let lives = |w: &&Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let on = self.workers.iter().filter(lives).flat_map(|w| &w.tasks).filter(|t| t.on());
        on.map(|t| &self.jobs[&t.job].spec)
            .filter(|s| s.team == team)
            .map(|s| s.resources_per_task.cpus)
            .sum()
    }
}

impl World {
    /// Checks that every cancellation was answered, within `most` seconds outside of faults.
    pub(crate) fn each_was_answered(&self, seed: u64, most: f64) {
        let c = &self.cancels;
        assert!(c.asking.is_empty(), "seed {seed}: {:?}", c.asking);
        let (long, id) = &c.longest_calm;
        assert!(*long as f64 / 1e6 <= most, "seed {seed}: {:.1} s for {id}", *long as f64 / 1e6);
    }
}

impl Cancels {
    /// Adds the counts of another simulated day.
    pub(crate) fn add(&mut self, other: &Cancels) {
        self.answered += other.answered;
        self.longest = self.longest.clone().max(other.longest.clone());
        self.longest_calm = self.longest_calm.clone().max(other.longest_calm.clone());
        self.woke += other.woke;
        self.woke_late += other.woke_late;
        for (mine, theirs) in [(&mut self.beside, &other.beside), (&mut self.woke_with, &other.woke_with)] {
            mine.iter_mut().zip(theirs).for_each(|(a, b)| *a += b);
        }
        self.burst = self.burst.max(other.burst);
        for (kind, n) in &other.changes {
            *self.changes.entry(kind.clone()).or_default() += n;
        }
    }
}

impl std::fmt::Debug for Cancels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let s = |(long, id): &(u64, String)| format!("{:.1} s ({id})", *long as f64 / 1e6);
        f.debug_struct("Cancels")
            .field("answered", &self.answered)
            .field("longest", &s(&self.longest))
            .field("longest_calm", &s(&self.longest_calm))
            .field("beside", &self.beside)
            .field("woke", &(self.woke, self.woke_with, self.woke_late))
            .field("burst", &self.burst)
            .field("changes", &self.changes)
            .finish()
    }
}
