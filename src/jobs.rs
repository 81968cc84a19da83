//! The owner side of jobs: records, where each task stands, starts and stops, gangs, takeover.

use crate::peer::{
    Actual, Demand, Digest, Exit, MachineDigest, Phase, Reservation, Standing, TaskKey, Want, Wanted, Wishes,
};
use crate::placement::{self, Place, ZoneCounts};
use crate::ring::Membership;
use crate::settings::{Objective, Settings};
use crate::spec::{Kind, Spec};
use crate::teams::{Need, Teams};
use crate::units::{Micros, Ranges, Room};
use crate::views::{Seen, View};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Finals kept in memory; older ones are read from the store.
const FINALS: usize = 2000;
/// Starts in one placement pass, which bounds the time a pass takes.
const STARTS_A_PASS: usize = 400;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// A start that has been placed.
#[derive(Clone, Debug)]
struct Placed {
    machine: String,
    zone: String,
    attempt: u64,
    want: Want,
    /// The first message to its home that named it; `u64::MAX` before that.
    asked: u64,
    phase: Option<Phase>,
    since: Micros,
}

/// A gang's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gang {
    /// Members are being accepted.
    Holding(Micros),
    /// All were accepted and may start.
    Going,
    /// The attempt is over; its members are being stopped.
    Ending,
}

/// A live job.
pub struct Job {
    /// What its user asked for.
    pub spec: Spec,
    raw: Value,
    /// When it was accepted, by the time of day.
    pub accepted_wall: Micros,
    /// Version of its record.
    pub mark: u64,
    /// Whether every start it may ever have had is known.
    settled: bool,
    done: Ranges,
    durable: Ranges,
    placed: BTreeMap<u32, Placed>,
    gang: Option<Gang>,
    starts: u64,
    not_before: Micros,
    failures: u32,
    /// The end it is to have, once the store has it.
    pub ending: Option<Final>,
    /// A change of its record is under way.
    pub writing: bool,
    /// Its record's version must be read again first.
    pub verify: bool,
    next_write: Micros,
    /// Machines kept for it while it waits. They stay the same ones: a choice that moved on with
    /// every pass would empty one machine after another.
    keeps: Vec<String>,
}

/// An old start that is stopping or waits to be forgotten.
#[derive(Clone, Debug)]
struct Leftover {
    room: Room,
    priority: u8,
    want: Want,
    alive: bool,
    /// It completed: the worker may forget it once that is on record.
    done: bool,
    asked: u64,
}

/// A job's leftovers by task, machine and attempt: whether each is alive, and its zone.
type OpenLeft = BTreeMap<(u32, String, u64), (bool, String)>;
/// A start on a machine.
type Key = (String, TaskKey);
/// Stands for the number of a message that has not gone out yet.
const UNSENT: u64 = u64::MAX;

/// A change of a job's record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// Progress.
    Progress(Value, Ranges),
    /// The end.
    End(Final, Value),
}

/// All that a controller knows as the owner of jobs.
pub struct Owner {
    me: usize,
    value_bytes: usize,
    /// Live jobs.
    pub jobs: BTreeMap<String, Job>,
    finals: BTreeMap<String, (Final, u32)>,
    finals_order: VecDeque<String>,
    leftovers: BTreeMap<(String, u32, String, u64), Leftover>,
    /// Per job, the leftovers that still matter to placing: those alive, with their zone, and those
    /// that ended without completing. Completed ones wait in hundreds for their record.
    open_left: BTreeMap<String, OpenLeft>,
    /// The leftovers of each machine, by job, task and attempt, and whether each is alive.
    left_on: BTreeMap<String, BTreeMap<(String, u32, u64), bool>>,
    by_machine: BTreeMap<String, BTreeSet<(String, u32)>>,
    views: Vec<View>,
    /// Machines that may hold tasks we don't know of.
    unheard: BTreeSet<String>,
    revs: Vec<u64>,
    /// Starts of which the homes are to hear.
    touched: BTreeSet<Key>,
    /// Per home, the starts that changed, and the latest message that named them. They are named
    /// again until the home says that it has seen it, so that a lost message heals.
    unacked: Vec<BTreeMap<Key, u64>>,
    /// Homes to which something new is to be said.
    dirty: Vec<bool>,
    /// Records have been read in this epoch.
    pub loaded: bool,
    /// Something changed that may let a task be placed.
    pub replan: bool,
    shunned: BTreeMap<String, (u32, Micros)>,
    demands: Vec<Demand>,
    gang_wait: Micros,
    objectives: Vec<Objective>,
    /// Machines kept for our waiting work.
    reserved: Vec<Reservation>,
    /// The same of other owners, and when they said so.
    others: BTreeMap<usize, (Micros, Vec<Reservation>)>,
    /// When tasks were last stopped on a machine to make room.
    evicted: BTreeMap<String, Micros>,
    /// Types that the decider leaves to urgent work.
    kept_types: Vec<(String, bool, u8)>,
    /// The same for single machines.
    kept_machines: BTreeMap<String, u8>,
    /// Whether this process has had the decider's word on that. Until then nothing is placed: after
    /// a restart queued work would take the machines that urgent work needs.
    steered: bool,
    loaded_at: Option<Micros>,
    /// Shapes of jobs seen of late, and when.
    shapes: Vec<(Demand, Micros)>,
    /// Per class, how long completed tasks ran and how long they were expected to. Users' guesses
    /// are off by half, on some days all to one side.
    ran: BTreeMap<String, (Micros, Micros)>,
}

impl Owner {
    /// Owns nothing yet.
    pub fn new(s: &Settings) -> Owner {
        let n = s.members.len();
        Owner {
            me: s.me,
            value_bytes: s.value_bytes,
            jobs: BTreeMap::new(),
            finals: BTreeMap::new(),
            finals_order: VecDeque::new(),
            leftovers: BTreeMap::new(),
            open_left: BTreeMap::new(),
            left_on: BTreeMap::new(),
            by_machine: BTreeMap::new(),
            views: (0..n).map(|_| View::default()).collect(),
            unheard: BTreeSet::new(),
            revs: vec![0; n],
            touched: BTreeSet::new(),
            unacked: vec![BTreeMap::new(); n],
            dirty: vec![true; n],
            loaded: false,
            replan: true,
            shunned: BTreeMap::new(),
            demands: Vec::new(),
            gang_wait: s.gang_wait,
            objectives: s.objectives.clone(),
            reserved: Vec::new(),
            others: BTreeMap::new(),
            evicted: BTreeMap::new(),
            kept_types: Vec::new(),
            kept_machines: BTreeMap::new(),
            steered: false,
            loaded_at: None,
            shapes: Vec::new(),
            ran: BTreeMap::new(),
        }
    }

    /// Takes up a new epoch. Jobs stay only if the epoch follows directly: otherwise another may
    /// have owned them in between. Placed starts stay in doubt until their home has spoken.
    pub fn adopt(&mut self, m: &Membership, follows: bool) {
        self.loaded = false;
        self.jobs.retain(|id, _| follows && m.job_owner(id) == Some(m.me));
        self.leftovers.retain(|(id, ..), _| follows && m.job_owner(id) == Some(m.me));
        self.finals.clear();
        self.finals_order.clear();
        for j in self.jobs.values_mut() {
            j.writing = false;
            j.verify = true;
            for p in j.placed.values_mut() {
                p.asked = u64::MAX;
            }
        }
        for l in self.leftovers.values_mut() {
            l.asked = u64::MAX;
        }
        let jobs = &self.jobs;
        for set in self.by_machine.values_mut() {
            set.retain(|(id, _)| jobs.contains_key(id));
        }
        self.by_machine.retain(|_, s| !s.is_empty());
        self.left_on.clear();
        self.open_left.retain(|id, _| follows && m.job_owner(id) == Some(m.me));
        for ((id, idx, machine, attempt), l) in &self.leftovers {
            self.left_on.entry(machine.clone()).or_default().insert((id.clone(), *idx, *attempt), l.alive);
        }
        // The first message to each home of the new epoch holds everything.
        self.touched.clear();
        self.unacked.fill(BTreeMap::new());
        for v in &mut self.views {
            v.forget_awaited();
        }
        for (id, j) in &self.jobs {
            for (&index, p) in &j.placed {
                let key = TaskKey { job: id.clone(), index, attempt: p.attempt };
                self.touched.insert((p.machine.clone(), key));
            }
        }
        for (id, index, machine, attempt) in self.leftovers.keys() {
            let key = TaskKey { job: id.clone(), index: *index, attempt: *attempt };
            self.touched.insert((machine.clone(), key));
        }
        // Message numbers never go back, not even over a restart, since the epoch is their head.
        for r in &mut self.revs {
            *r = (*r).max(m.epoch << 32);
        }
        self.unheard.clear();
        self.dirty.fill(true);
        self.demands.clear();
        self.reserved.clear();
        self.others.clear();
    }

    /// The records were read: `machines` are those that may hold tasks.
    pub fn load_done(&mut self, machines: impl Iterator<Item = String>) {
        self.unheard = machines.collect();
        self.loaded = true;
        self.replan = true;
        self.dirty.fill(true);
        self.settle();
    }

    /// Takes a job's record from the store. `fresh` if this process has just written it and it
    /// can't have been started before.
    pub fn insert(
        &mut self,
        raw: Value,
        spec: Spec,
        accepted_wall: Micros,
        done: Ranges,
        mark: u64,
        fresh: bool,
    ) {
        let id = spec.id.clone();
        if let Some(j) = self.jobs.get_mut(&id) {
            j.mark = j.mark.max(mark);
            j.verify = false;
            return;
        }
        let job = Job {
            spec,
            raw,
            accepted_wall,
            mark,
            settled: fresh || (self.loaded && self.unheard.is_empty()),
            durable: done.clone(),
            done,
            placed: BTreeMap::new(),
            gang: None,
            starts: 0,
            not_before: Micros(0),
            failures: 0,
            ending: None,
            writing: false,
            verify: false,
            next_write: Micros(0),
            keeps: Vec::new(),
        };
        self.jobs.insert(id, job);
        self.replan = true;
    }

    /// Reads a job's record.
    pub fn read_record(v: &Value) -> Option<(Value, Spec, Micros, Ranges)> {
        let raw = v.get("spec")?.clone();
        let spec = Spec::from_value(&raw).ok()?;
        let accepted = Micros(v.get("accepted_us")?.as_u64()?);
        let done = Ranges::decode(v.get("done")?.as_str()?, spec.tasks)?;
        Some((raw, spec, accepted, done))
    }

    /// A job's record.
    pub fn record(raw: &Value, accepted: Micros, done: &str) -> Value {
        json!({"spec": raw, "accepted_us": accepted.0, "done": done})
    }

    /// The end of a job, if it is remembered.
    pub fn final_of(&self, id: &str) -> Option<(Final, u32)> {
        self.finals.get(id).copied()
    }
    /// Remembers the end of a job that the store has on record.
    pub fn remember_final(&mut self, id: &str, f: Final, done: u32) {
        if self.finals.insert(id.into(), (f, done)).is_none() {
            self.finals_order.push_back(id.into());
            if self.finals_order.len() > FINALS
                && let Some(old) = self.finals_order.pop_front()
            {
                self.finals.remove(&old);
            }
        }
    }

    /// The job's end is on record: it is live no more, and what it left behind is cleared away.
    pub fn ended(&mut self, id: &str, f: Final) {
        let Some(j) = self.jobs.remove(id) else { return };
        tracing::info!(job = id, end = ?f, tasks = j.spec.tasks, "job ended");
        self.remember_final(id, f, j.done.len());
        for (idx, p) in j.placed {
            self.unindex(&p.machine, id, idx);
            self.leave(id, idx, &p, j.spec.room, Want::Stop(Micros(0)), true, false);
        }
        let left = self.leftovers.range_mut((id.to_owned(), 0, String::new(), 0)..);
        for ((job, idx, machine, attempt), l) in left {
            if job != id {
                break;
            }
            if !l.alive && l.want != Want::Forget {
                l.want = Want::Forget;
                touch(&mut self.touched, machine, job, *idx, *attempt);
            }
        }
        self.replan = true;
    }

    fn unindex(&mut self, machine: &str, id: &str, idx: u32) {
        if let Some(s) = self.by_machine.get_mut(machine) {
            s.remove(&(id.to_owned(), idx));
            if s.is_empty() {
                self.by_machine.remove(machine);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn leave(&mut self, id: &str, idx: u32, p: &Placed, room: Room, want: Want, alive: bool, done: bool) {
        let key = (id.to_owned(), idx, p.machine.clone(), p.attempt);
        let priority = self.jobs.get(id).map_or(0, |j| j.spec.priority);
        let left = Leftover { room, priority, want, alive, done, asked: UNSENT };
        self.leftovers.insert(key, left);
        if alive || !done {
            let open = self.open_left.entry(id.to_owned()).or_default();
            open.insert((idx, p.machine.clone(), p.attempt), (alive, p.zone.clone()));
        }
        self.left_on.entry(p.machine.clone()).or_default().insert((id.to_owned(), idx, p.attempt), alive);
        touch(&mut self.touched, &p.machine, id, idx, p.attempt);
    }

    fn clear_leftover(&mut self, k: &(String, u32, String, u64)) {
        if self.leftovers.remove(k).is_none() {
            return;
        }
        if let Some(s) = self.left_on.get_mut(&k.2) {
            s.remove(&(k.0.clone(), k.1, k.3));
            if s.is_empty() {
                self.left_on.remove(&k.2);
            }
        }
        self.close_leftover(k);
        touch(&mut self.touched, &k.2, &k.0, k.1, k.3);
        self.replan = true;
    }

    fn close_leftover(&mut self, k: &(String, u32, String, u64)) {
        if let Some(open) = self.open_left.get_mut(&k.0) {
            open.remove(&(k.1, k.2.clone(), k.3));
            if open.is_empty() {
                self.open_left.remove(&k.0);
            }
        }
    }

    /// What a user sees of a live job: whether a task runs, and how many are done and run.
    pub fn stance(&self, id: &str) -> Option<(&'static str, u32, u32)> {
        let j = self.jobs.get(id)?;
        let running =
            j.placed.values().filter(|p| matches!(p.phase, Some(Phase::Running | Phase::Saving))).count()
                as u32;
        Some((if running > 0 { "running" } else { "pending" }, j.done.len(), running))
    }

    /// Whether a home is to hear something new.
    pub fn has_news(&mut self, home: usize, m: &Membership) -> bool {
        for key in std::mem::take(&mut self.touched) {
            if let Some(h) = m.home(&key.0) {
                self.unacked[h].insert(key, UNSENT);
                self.dirty[h] = true;
            }
        }
        self.dirty[home]
    }

    /// What one home is to hear: all that changed since the last message that it says it has seen.
    pub fn wanted(&mut self, home: usize, m: &Membership) -> Wishes {
        self.has_news(home, m);
        let rev = self.revs[home] + 1;
        self.revs[home] = rev;
        self.dirty[home] = false;
        let seen = self.views[home].rev_seen(m.epoch);
        let since = if seen > m.epoch << 32 { seen } else { 0 };
        let mut out = Wishes { rev, since, ..Wishes::default() };
        let mut first = Vec::new();
        let mut unacked = std::mem::take(&mut self.unacked[home]);
        unacked.retain(|_, r| *r > since);
        for ((machine, key), at) in &mut unacked {
            if *at == UNSENT {
                *at = rev;
                first.push(machine.clone());
            }
            let left = (key.job.clone(), key.index, machine.clone(), key.attempt);
            let job = self.jobs.get_mut(&key.job);
            let placed = job.and_then(|j| Some((j.placed.get_mut(&key.index)?, &j.spec)));
            let placed = placed.filter(|(p, _)| p.attempt == key.attempt && p.machine == *machine);
            let (room, want, priority, image) = if let Some((p, spec)) = placed {
                p.asked = p.asked.min(rev);
                (spec.room, p.want, spec.priority, spec.image_hash)
            } else if let Some(l) = self.leftovers.get_mut(&left) {
                l.asked = l.asked.min(rev);
                (l.room, l.want, l.priority, 0)
            } else {
                out.dropped.push((machine.clone(), key.clone()));
                continue;
            };
            out.list.push(Wanted { key: key.clone(), machine: machine.clone(), room, want, priority, image });
        }
        self.unacked[home] = unacked;
        self.views[home].await_answer(rev, first);
        out
    }

    /// The state of a home that we hold.
    pub fn digest_seen(&self, home: usize, epoch: u64) -> u64 {
        self.views.get(home).map_or(0, |v| v.seq(epoch))
    }

    /// Takes a home's digest: the truth about our tasks on its machines. Says whether it brought
    /// anything new.
    pub fn digest(&mut self, now: Micros, m: &Membership, from: usize, d: Digest) -> bool {
        let Some(v) = self.views.get_mut(from) else { return false };
        if !self.loaded {
            return false;
        }
        let Some(news) = v.take(now, m.epoch, d) else { return false };
        let mut names = news.names;
        if news.whole {
            let theirs = |n: &&String| m.home(n) == Some(from);
            names.extend(self.by_machine.keys().filter(theirs).cloned());
            names.extend(self.unheard.iter().filter(theirs).cloned());
            names.extend(self.left_on.keys().filter(theirs).cloned());
        }
        if names.is_empty() {
            return false;
        }
        let views = std::mem::take(&mut self.views);
        if let Some(view) = views.get(from) {
            // A machine has one home, and only that one can tell about it.
            for name in names.iter().filter(|n| m.home(n) == Some(from)) {
                self.machine_news(now, m, view, name);
            }
        }
        self.views = views;
        self.settle();
        self.replan = true;
        true
    }

    fn machine_news(&mut self, now: Micros, m: &Membership, view: &View, name: &str) {
        let rev_seen = view.rev_seen(m.epoch);
        // A home that has read the records names every machine that was ever given a task; one
        // that it doesn't name is gone.
        let seen = view.machines(m.epoch).and_then(|v| v.get(name));
        let standing = seen.map_or(Standing::Gone, |d| d.standing);
        let tasks: &[Actual] = seen.map_or(&[], |d| &d.tasks);
        let listed = |job: &str, index: u32, attempt: u64| {
            let here = |a: &&Actual| a.key.index == index && a.key.attempt == attempt && a.key.job == job;
            tasks.iter().find(here).map(|a| a.phase)
        };
        // Most tasks are where they were: only the others are worth a copy of their names.
        let news = |id: &str, idx: u32| {
            let p = self.jobs.get(id)?.placed.get(&idx)?;
            match listed(id, idx, p.attempt) {
                Some(phase) if p.phase == Some(phase) => None,
                Some(phase) => Some(Ok(phase)),
                None if standing == Standing::Gone => Some(Err("machine gone")),
                None if standing == Standing::Known && p.asked <= rev_seen => {
                    let was = p.phase.is_some_and(|x| x != Phase::Held);
                    Some(Err(if was { "no longer there" } else { "refused" }))
                }
                None => None,
            }
        };
        let current = self.by_machine.get(name).into_iter().flatten();
        let current: Vec<(String, u32, Result<Phase, &str>)> =
            current.filter_map(|(id, idx)| Some((id.clone(), *idx, news(id, *idx)?))).collect();
        for (id, idx, what) in current {
            match what {
                Ok(phase) => self.task_news(now, &id, idx, phase),
                Err(why) => self.lost(now, &id, idx, why),
            }
        }
        // Those that ended and are still listed wait for their record, which is no news.
        let old: Vec<(String, u32, String, u64)> = self
            .left_on
            .get(name)
            .into_iter()
            .flatten()
            .filter(|((id, idx, attempt), alive)| match listed(id, *idx, *attempt) {
                Some(phase) => **alive && matches!(phase, Phase::Exited(_)),
                None => true,
            })
            .map(|((id, idx, attempt), _)| (id.clone(), *idx, name.to_owned(), *attempt))
            .collect();
        for k in old {
            match listed(&k.0, k.1, k.3) {
                Some(phase) => {
                    let ended = !self.jobs.contains_key(&k.0);
                    let durable = ended || self.jobs.get(&k.0).is_some_and(|j| j.durable.contains(k.1));
                    let mut finished = false;
                    if let Some(l) = self.leftovers.get_mut(&k)
                        && let Phase::Exited(exit) = phase
                    {
                        if l.alive {
                            if let Some(on) = self.left_on.get_mut(name) {
                                on.insert((k.0.clone(), k.1, k.3), false);
                            }
                            l.alive = false;
                            l.done = exit == Exit::Done;
                            finished = l.done;
                            self.replan = true;
                        }
                        let want = if !l.done || durable { Want::Forget } else { Want::Keep };
                        if l.want != want {
                            l.want = want;
                            touch(&mut self.touched, name, &k.0, k.1, k.3);
                        }
                    }
                    if finished {
                        self.close_leftover(&k);
                        self.complete(&k.0, k.1);
                    } else if let Phase::Exited(_) = phase
                        && let Some(open) = self.open_left.get_mut(&k.0)
                        && let Some((alive, _)) = open.get_mut(&(k.1, k.2.clone(), k.3))
                    {
                        *alive = false;
                    }
                }
                None if standing == Standing::Gone
                    || (standing == Standing::Known
                        && self.leftovers.get(&k).is_some_and(|l| l.asked <= rev_seen)) =>
                {
                    self.clear_leftover(&k);
                }
                None => {}
            }
        }
        // Starts that we don't know of: taken over with the job, or left by one that has ended.
        for a in tasks {
            let k = &a.key;
            let known = self
                .jobs
                .get(&k.job)
                .and_then(|j| j.placed.get(&k.index))
                .is_some_and(|p| p.attempt == k.attempt && p.machine == name);
            let key = (k.job.clone(), k.index, k.attempt);
            if known || self.left_on.get(name).is_some_and(|s| s.contains_key(&key)) {
                continue;
            }
            let p = Placed {
                machine: name.to_owned(),
                zone: seen.map(|d| d.zone.clone()).unwrap_or_default(),
                attempt: k.attempt,
                want: Want::Keep,
                asked: UNSENT,
                phase: Some(a.phase),
                since: now,
            };
            let exited = matches!(a.phase, Phase::Exited(_));
            let adopt = self.jobs.get(&k.job).is_some_and(|j| {
                !exited && k.index < j.spec.tasks && j.ending.is_none() && !j.done.contains(k.index) && !j.placed.contains_key(&k.index)
                    // Members of two attempts of one gang can't be told to run together.
                    && (j.spec.kind != Kind::Gang || j.placed.values().all(|q| q.attempt == k.attempt))
                    && !matches!(a.phase, Phase::Held | Phase::Queued)
            });
            if adopt {
                touch(&mut self.touched, name, &k.job, k.index, k.attempt);
                tracing::info!(job = %k.job, task = k.index, machine = name, epoch = m.epoch, "task taken over");
                self.by_machine.entry(name.into()).or_default().insert((k.job.clone(), k.index));
                if let Some(j) = self.jobs.get_mut(&k.job) {
                    j.placed.insert(k.index, p);
                    if j.spec.kind == Kind::Gang && j.gang.is_none() {
                        j.gang = Some(Gang::Going);
                    }
                }
                self.task_news(now, &k.job, k.index, a.phase);
            } else {
                let room = self.jobs.get(&k.job).map(|j| j.spec.room).unwrap_or_default();
                let done = a.phase == Phase::Exited(Exit::Done);
                let durable = self.jobs.get(&k.job).is_none_or(|j| j.durable.contains(k.index));
                let want = match (exited, done && !durable) {
                    (false, _) => Want::Stop(Micros(0)),
                    (true, true) => Want::Keep,
                    (true, false) => Want::Forget,
                };
                self.leave(&k.job, k.index, &p, room, want, !exited, done);
                if done {
                    self.complete(&k.job, k.index);
                }
            }
        }
        if standing != Standing::Unconfirmed {
            self.unheard.remove(name);
        }
    }

    fn task_news(&mut self, now: Micros, id: &str, idx: u32, phase: Phase) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let room = j.spec.room;
        let Some(p) = j.placed.get_mut(&idx) else { return };
        if p.phase == Some(Phase::Running) && phase == Phase::Exited(Exit::Done) {
            note_run(&mut self.ran, &j.spec, now.since(p.since));
        }
        if p.phase != Some(phase) {
            p.since = now;
        }
        p.phase = Some(phase);
        if matches!(phase, Phase::Fetching | Phase::Waiting | Phase::Running | Phase::Saving)
            && p.want == Want::Run
        {
            p.want = Want::Keep;
        }
        let Phase::Exited(exit) = phase else { return };
        let Some(p) = j.placed.remove(&idx) else { return };
        let gang = j.spec.kind == Kind::Gang;
        let machine = p.machine.clone();
        if exit != Exit::Done {
            match exit {
                Exit::Error | Exit::Unknown => {
                    j.failures += 1;
                    // A job that fails everywhere must not spin: each failure doubles the pause.
                    let pause = 1000u64 << j.failures.min(6);
                    j.not_before = now + Micros::from_millis(pause);
                }
                Exit::NoRoom | Exit::Busy => j.not_before = now + Micros::from_millis(500),
                _ => {}
            }
            tracing::debug!(job = id, task = idx, machine = %machine, why = ?exit, "task ended");
        }
        if exit == Exit::Error {
            let s = self.shunned.entry(machine.clone()).or_insert((0, now));
            s.0 += 1;
            // A faulty machine eats tasks: each error keeps it out of use for longer.
            s.1 = now + Micros::from_millis(10_000u64 << s.0.min(5));
        }
        self.unindex(&machine, id, idx);
        let done = exit == Exit::Done;
        let want = if done { Want::Keep } else { Want::Forget };
        self.leave(id, idx, &p, room, want, false, done);
        if done {
            self.complete(id, idx);
        } else if gang {
            self.end_gang(id);
        }
        self.replan = true;
    }

    /// A task has completed. A gang completes as a whole. Replicas of a service never do.
    fn complete(&mut self, id: &str, idx: u32) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.failures = 0;
        match j.spec.kind {
            Kind::Array => {
                if idx < j.spec.tasks {
                    j.done.insert(idx);
                }
            }
            Kind::Gang => {
                for i in 0..j.spec.tasks {
                    j.done.insert(i);
                }
            }
            Kind::Service => {}
        }
        self.replan = true;
    }

    /// A placed start is certainly not on its machine, and never will be.
    fn lost(&mut self, now: Micros, id: &str, idx: u32, why: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let Some(p) = j.placed.remove(&idx) else { return };
        let gang = j.spec.kind == Kind::Gang;
        if why == "refused" {
            j.not_before = j.not_before.max(now + Micros::from_millis(200));
            tracing::debug!(job = id, task = idx, machine = %p.machine, "start refused");
        } else {
            tracing::info!(job = id, task = idx, machine = %p.machine, reason = why, "task lost");
        }
        self.unindex(&p.machine, id, idx);
        touch(&mut self.touched, &p.machine, id, idx, p.attempt);
        if gang {
            self.end_gang(id);
        }
        self.replan = true;
    }

    /// A gang's attempt is over: its other members are stopped, and the next attempt waits until
    /// they are gone.
    fn end_gang(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if j.done.len() == j.spec.tasks {
            return;
        }
        self.stop_gang(id, Micros(0));
    }

    fn stop_gang(&mut self, id: &str, grace: Micros) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.gang = if j.placed.is_empty() { None } else { Some(Gang::Ending) };
        for (&idx, p) in &mut j.placed {
            // One that is saving already keeps its time.
            if !matches!(p.want, Want::Stop(_)) {
                p.want = Want::Stop(grace);
                touch(&mut self.touched, &p.machine, id, idx, p.attempt);
            }
        }
    }

    /// How long a job's tasks may queue before a machine is worth renting for them: not at all
    /// where a guarantee or a waiting time is promised, otherwise a part of the time in which the
    /// job is expected to be done.
    fn horizon(&self, j: &Job, guaranteed: bool, age: Micros) -> Micros {
        let of = |kind: &str| {
            let mine = self.objectives.iter().filter(|o| o.kind == kind && o.class == j.spec.class);
            mine.map(|o| Micros::from_secs(o.within_s).0).min()
        };
        if guaranteed || j.spec.kind == Kind::Service || of("wait").is_some() {
            return Micros(0);
        }
        let within = of("finished").or(j.spec.deadline.map(|d| d.0)).unwrap_or(120_000_000);
        Micros((within / 2).saturating_sub(age.0 / 2))
    }

    /// How long work may wait before work of lower priority is stopped for it.
    fn patience(&self, s: &Spec) -> Micros {
        let promised = self.objectives.iter().filter(|o| o.kind == "wait" && o.class == s.class);
        let within = promised.map(|o| Micros::from_secs(o.within_s).0).min().unwrap_or(60_000_000);
        Micros(within / 4)
    }

    fn note_shape(&mut self, now: Micros, s: &Spec) {
        let d = Demand {
            room: s.room,
            kinds: s.kinds.clone(),
            zone: s.zone.clone(),
            one_zone: s.one_zone,
            spot: s.spot,
            count: 0,
            estimate: Micros(0),
            priority: s.priority,
            horizon: Micros(0),
            together: if s.kind == Kind::Gang { s.tasks } else { 1 },
        };
        // Of each sort the largest: jobs whose tasks differ a little must not crowd out the rest.
        let alike = |x: &Demand| {
            (x.priority, x.spot, x.one_zone, x.together > 1)
                == (d.priority, d.spot, d.one_zone, d.together > 1)
                && x.kinds == d.kinds
                && x.zone == d.zone
        };
        if let Some((x, t)) = self.shapes.iter_mut().find(|(x, _)| alike(x)) {
            *t = now;
            x.room = x.room.max(d.room);
            x.together = x.together.max(d.together);
        } else if self.shapes.len() < 100 {
            self.shapes.push((d, now));
        }
    }

    fn settle(&mut self) {
        if self.loaded && self.unheard.is_empty() {
            for j in self.jobs.values_mut().filter(|j| !j.settled) {
                j.settled = true;
                self.replan = true;
            }
        }
    }

    /// Whether all that an ended job's tasks used is free again: every machine has been heard, and
    /// no start of the job is left alive.
    pub fn released(&self, id: &str) -> bool {
        self.loaded && self.unheard.is_empty() && !self.jobs.contains_key(id) && !self.alive_leftover(id)
    }

    fn alive_leftover(&self, id: &str) -> bool {
        self.open_of(id).any(|(_, (alive, _))| *alive)
    }

    fn open_of(&self, id: &str) -> impl Iterator<Item = (&(u32, String, u64), &(bool, String))> {
        self.open_left.get(id).into_iter().flatten()
    }

    /// Jobs in the order in which they get room: by priority, then by age.
    fn order(&self) -> Vec<String> {
        let mut ids: Vec<(&String, &Job)> = self.jobs.iter().filter(|(_, j)| j.ending.is_none()).collect();
        ids.sort_by_key(|(id, j)| (std::cmp::Reverse(j.spec.priority), j.accepted_wall, (*id).clone()));
        ids.into_iter().map(|(id, _)| id.clone()).collect()
    }

    fn in_use(&self, id: &str, j: &Job) -> Room {
        let left = self.open_of(id).filter(|(_, (alive, _))| *alive).count();
        Room { memory: 0, ..j.spec.room.times((j.placed.len() + left) as i64) }
    }

    /// What our jobs need of their teams, per team in the order in which they should get it.
    pub fn needs(&self, teams: &Teams) -> BTreeMap<String, Vec<Need>> {
        let mut out: BTreeMap<String, Vec<Need>> = BTreeMap::new();
        for id in self.order() {
            let Some(j) = self.jobs.get(&id) else { continue };
            if !teams.limited(&j.spec.team) {
                continue;
            }
            let left = j.spec.tasks.saturating_sub(j.done.len()) as usize;
            out.entry(j.spec.team.clone()).or_default().push(Need {
                in_use: self.in_use(&id, j),
                one: Room { memory: 0, ..j.spec.room },
                more: left.saturating_sub(j.placed.len()) as i64,
                whole: j.spec.kind != Kind::Array,
                job: id,
            });
        }
        // Jobs that are to end get no more, but keep what they use.
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.ending.is_some()) {
            if teams.limited(&j.spec.team) {
                out.entry(j.spec.team.clone()).or_default().push(Need {
                    job: id.clone(),
                    one: Room { memory: 0, ..j.spec.room },
                    in_use: self.in_use(id, j),
                    more: 0,
                    whole: true,
                });
            }
        }
        out
    }

    /// The machines that take tasks, as far as we know.
    fn places<'a>(&self, now: Micros, m: &Membership, views: &'a [View]) -> Vec<Place<'a>> {
        let mut out = Vec::new();
        // What a home hasn't seen yet is not in its digest.
        let mut unseen: BTreeMap<&str, Room> = BTreeMap::new();
        let news = self.unacked.iter().flat_map(BTreeMap::keys).chain(&self.touched);
        let mut counted = BTreeSet::new();
        for (machine, key) in news {
            if let Some(j) = self.jobs.get(&key.job)
                && let Some(p) = j.placed.get(&key.index)
                && (p.attempt == key.attempt && p.machine == *machine)
                && p.asked > m.home(machine).map_or(0, |h| views[h].rev_seen(m.epoch))
                && counted.insert((machine, key))
            {
                let sum = unseen.entry(machine).or_default();
                *sum = *sum + j.spec.room;
            }
        }
        let mut foreign: BTreeMap<&str, u8> = BTreeMap::new();
        for r in self.foreign(now) {
            let p = foreign.entry(&r.machine).or_default();
            *p = (*p).max(r.priority);
        }
        for d in views.iter().filter_map(|v| v.machines(m.epoch)).flat_map(BTreeMap::values) {
            if !d.open
                || d.standing != Standing::Known
                || self.shunned.get(&d.name).is_some_and(|s| now < s.1)
            {
                continue;
            }
            let of_type = self.kept_types.iter().filter(|(k, spot, _)| *k == d.kind && *spot == d.spot);
            out.push(Place {
                machine: d,
                free: d.free - unseen.get(d.name.as_str()).copied().unwrap_or_default(),
                kept_for: of_type
                    .map(|t| t.2)
                    .max()
                    .max(foreign.get(d.name.as_str()).copied())
                    .max(self.kept_machines.get(&d.name).copied()),
            });
        }
        out
    }

    fn foreign(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
        let fresh = move |t: Micros| now.since(t) < Micros::from_millis(3000);
        self.others.values().filter(move |(t, _)| fresh(*t)).flat_map(|(_, l)| l)
    }

    /// Takes another owner's reservations.
    pub fn others_reserve(&mut self, now: Micros, from: usize, list: Vec<Reservation>) {
        self.others.insert(from, (now, list));
    }
    /// Our reservations.
    pub fn reserved(&self) -> &[Reservation] {
        &self.reserved
    }
    /// The decider's word on types and machines left to urgent work.
    pub fn keep(&mut self, types: Vec<(String, bool, u8)>, machines: Vec<(String, u8)>) {
        self.kept_types = types;
        self.kept_machines = machines.into_iter().collect();
        self.steered = true;
    }

    /// Stops our tasks of lower priority where waiting work needs the room, those that have run
    /// the shortest first, and no more than the machine's own room falls short.
    fn evict(&mut self, now: Micros, m: &Membership, teams: &Teams) {
        let list: Vec<Reservation> =
            self.foreign(now).chain(&self.reserved).filter(|r| r.evict).cloned().collect();
        for r in list {
            // The digest must have caught up with the last stops before there are more.
            let pause = Micros::from_millis(1500);
            if self.evicted.get(&r.machine).is_some_and(|t| now.since(*t) < pause) {
                continue;
            }
            let Some(d) = self.seen(&r.machine, m) else { continue };
            // What other owners are already stopping counts as free.
            let mut free = d.by_priority.iter().fold(d.total, |a, (_, r)| a - *r);
            if free.holds(r.need) {
                continue;
            }
            self.evicted.insert(r.machine.clone(), now);
            let mut ours: Vec<(Micros, String, u32)> = Vec::new();
            for (id, idx) in self.by_machine.get(&r.machine).into_iter().flatten() {
                let Some(j) = self.jobs.get(id) else { continue };
                let Some(p) = j.placed.get(idx) else { continue };
                // Where teams have guarantees the fleet is kept large, and waiting for a machine costs
                // less than what is lost by stopping tasks that never save.
                if !matches!(p.want, Want::Stop(_))
                    && j.spec.priority < r.priority
                    && !teams.guaranteed(&j.spec.team)
                {
                    ours.push((p.since, id.clone(), *idx));
                }
            }
            ours.sort_by(|a, b| b.cmp(a));
            for (_, id, idx) in ours {
                if free.holds(r.need) {
                    break;
                }
                let Some(j) = self.jobs.get_mut(&id) else { continue };
                free = free + j.spec.room;
                let grace = if j.spec.checkpoint.0 > 0 { j.spec.save } else { Micros(0) };
                tracing::debug!(job = %id, task = idx, machine = %r.machine, priority = r.priority, "task makes room");
                if j.spec.kind == Kind::Gang {
                    self.stop_gang(&id, grace);
                } else if let Some(p) = j.placed.get_mut(&idx) {
                    p.want = Want::Stop(grace);
                    touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                }
            }
        }
    }

    /// Places what can be placed, moves gangs on, and notes what finds no room.
    pub fn plan(&mut self, now: Micros, wall: Micros, m: &Membership, teams: &Teams) {
        if !self.loaded {
            return;
        }
        self.move_gangs(now);
        let since = *self.loaded_at.get_or_insert(now);
        if !self.steered && now.since(since) < Micros::from_millis(3000) {
            return;
        }
        let views = std::mem::take(&mut self.views);
        let mut places = self.places(now, m, &views);
        // Shapes for which no machine has room left: nothing as large is looked for again.
        let mut full: Vec<Spec> = Vec::new();
        let mut budget = STARTS_A_PASS;
        self.demands.clear();
        self.reserved.clear();
        let mut keeping = 0;
        let most = places.len() / 6;
        let taken: BTreeSet<String> = self.foreign(now).map(|r| r.machine.clone()).collect();
        self.shapes.retain(|(_, t)| now.since(*t) < Micros::from_millis(300_000));
        for id in self.order() {
            let Some(j) = self.jobs.get(&id) else { continue };
            // Most jobs have all their tasks placed: they cost a look.
            let placed = j.done.len() as usize + j.placed.len();
            if !j.settled || now < j.not_before || placed >= j.spec.tasks as usize {
                continue;
            }
            let spec = j.spec.clone();
            self.note_shape(now, &spec);
            let Some(j) = self.jobs.get(&id) else { continue };
            let age = wall.since(j.accepted_wall);
            let one = j.spec.room;
            let claim = teams.claim(&j.spec.team, &id);
            let in_use = self.in_use(&id, j);
            let claim_left = Room { memory: i64::MAX / 4, ..claim - in_use };
            let mut counts = ZoneCounts::new();
            for p in j.placed.values() {
                *counts.entry(p.zone.clone()).or_default() += 1;
            }
            let mut still_there = BTreeSet::new();
            for (k, (_, zone)) in self.open_of(&id).filter(|(_, (alive, _))| *alive) {
                *counts.entry(zone.clone()).or_default() += 1;
                still_there.insert(k.0);
            }
            // A machine that still has an old start of the job would refuse the task.
            let old: BTreeSet<&str> =
                self.open_of(&id).filter(|(k, _)| !j.done.contains(k.0)).map(|(k, _)| k.1.as_str()).collect();
            let mut starts: Vec<(u32, usize)> = Vec::new();
            let mut unplaced = 0u32;
            let mut keeps = Vec::new();
            if j.spec.kind == Kind::Gang {
                if j.gang.is_some() || !j.placed.is_empty() || !still_there.is_empty() {
                    continue;
                }
                if claim_left.count_of(one) < i64::from(j.spec.tasks) {
                    continue;
                }
                let hopeless = full.iter().any(|f| {
                    f.kind == Kind::Gang && f.tasks <= j.spec.tasks && placement::no_easier(&j.spec, f)
                });
                let at = (!hopeless)
                    .then(|| placement::gang(&j.spec, &places, &counts, |p| !old.contains(p.name.as_str())));
                match at.flatten() {
                    Some(at) => {
                        for (i, &pl) in at.iter().enumerate() {
                            places[pl].free = places[pl].free - one;
                            starts.push((i as u32, pl));
                        }
                    }
                    None => {
                        unplaced = j.spec.tasks;
                        if !hopeless && old.is_empty() && !j.spec.spread {
                            full.push(j.spec.clone());
                        }
                        let evict = age >= self.patience(&j.spec);
                        // One gang at a time unless the fleet is large, and not where another owner's
                        // waits: several that each empty a few machines get nowhere and keep all
                        // others out.
                        if keeping == 0 || keeping + j.spec.tasks as usize <= most {
                            keeps = keep_places(&mut places, &j.spec, &j.keeps, &taken);
                            keeping += keeps.len();
                        }
                        // Others are asked to keep away only when it has waited for a while:
                        // what is kept empty serves nobody.
                        for name in keeps.iter().filter(|_| evict) {
                            self.reserved.push(Reservation {
                                machine: name.clone(),
                                priority: j.spec.priority,
                                need: one,
                                evict,
                            });
                        }
                    }
                }
            } else {
                let allowed = claim_left.count_of(one).clamp(0, i64::from(u32::MAX)) as usize;
                let left = (j.spec.tasks as usize).saturating_sub(j.done.len() as usize + j.placed.len());
                let next: Vec<u32> = j
                    .done
                    .gaps(j.spec.tasks)
                    .filter(|idx| !j.placed.contains_key(idx) && !still_there.contains(idx))
                    .take(allowed.min(budget))
                    .collect();
                let hopeless = full.iter().any(|f| f.kind != Kind::Gang && placement::no_easier(&j.spec, f));
                let at = if hopeless || next.is_empty() {
                    Vec::new()
                } else {
                    let usable = |p: &MachineDigest| !old.contains(p.name.as_str());
                    placement::fill(&j.spec, &mut places, &mut counts, next.len(), usable)
                };
                if at.len() < next.len() {
                    unplaced = (left - at.len()).min(allowed) as u32;
                    if !hopeless && old.is_empty() && !j.spec.one_zone && !j.spec.spread {
                        full.push(j.spec.clone());
                    }
                }
                budget -= at.len();
                starts.extend(next.into_iter().zip(at));
            }
            if unplaced > 0 {
                let s = &j.spec;
                self.demands.push(Demand {
                    room: one,
                    kinds: s.kinds.clone(),
                    zone: s.zone.clone(),
                    one_zone: s.one_zone,
                    spot: s.spot,
                    count: unplaced,
                    estimate: likely(&self.ran, s),
                    priority: s.priority,
                    horizon: self.horizon(j, teams.guaranteed(&s.team), age),
                    together: if s.kind == Kind::Gang { s.tasks } else { 1 },
                });
            }
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            j.keeps = keeps;
            // A gang without places is not under way: it must go on asking for room.
            if starts.is_empty() {
                continue;
            }
            let gang = j.spec.kind == Kind::Gang;
            if gang {
                j.gang = Some(Gang::Holding(now));
                j.starts += 1;
            }
            for (idx, pl) in starts {
                if !gang {
                    j.starts += 1;
                }
                let place = places[pl].machine;
                // The epoch in front makes attempts unique across owners without a counter on
                // record.
                let p = Placed {
                    machine: place.name.clone(),
                    zone: place.zone.clone(),
                    attempt: (m.epoch << 24) + j.starts,
                    want: if gang { Want::Hold } else { Want::Run },
                    asked: UNSENT,
                    phase: None,
                    since: now,
                };
                tracing::debug!(job = %id, task = idx, machine = %p.machine, attempt = p.attempt, "task placed");
                touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                self.by_machine.entry(p.machine.clone()).or_default().insert((id.clone(), idx));
                j.placed.insert(idx, p);
            }
        }
        drop(places);
        self.views = views;
    }

    /// Stops tasks that can save on machines that the cloud is about to take, so that their progress
    /// is not lost. Tasks that never save may as well go on: some end in time.
    fn save_before_loss(&mut self, now: Micros, m: &Membership) {
        let ending: Vec<(String, Micros)> =
            self.machines(m.epoch).filter_map(|d| Some((d.name.clone(), d.notice_at?.since(now)))).collect();
        for (name, left) in ending {
            let on: Vec<(String, u32)> = self.by_machine.get(&name).into_iter().flatten().cloned().collect();
            for (id, idx) in on {
                let Some(j) = self.jobs.get_mut(&id) else { continue };
                let save = j.spec.save;
                if j.spec.checkpoint.0 == 0 || left < save {
                    continue;
                }
                if j.spec.kind == Kind::Gang {
                    if j.gang != Some(Gang::Ending) {
                        tracing::info!(job = %id, machine = %name, reason = "notice", "gang saves and stops");
                        self.stop_gang(&id, save);
                    }
                } else if let Some(p) = j.placed.get_mut(&idx)
                    && p.phase == Some(Phase::Running)
                    && !matches!(p.want, Want::Stop(_))
                {
                    tracing::info!(job = %id, task = idx, machine = %name, reason = "notice", "task saves and stops");
                    p.want = Want::Stop(save);
                    touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                }
            }
        }
    }

    /// Stops what has to make room; called after placing.
    pub fn make_room(&mut self, now: Micros, m: &Membership, teams: &Teams) {
        if self.loaded {
            self.save_before_loss(now, m);
            self.evict(now, m, teams);
        }
    }

    fn move_gangs(&mut self, now: Micros) {
        let mut end = Vec::new();
        for (id, j) in &mut self.jobs {
            match j.gang {
                Some(Gang::Holding(since)) => {
                    let held = j.placed.values().filter(|p| p.phase == Some(Phase::Held)).count();
                    if held == j.spec.tasks as usize {
                        j.gang = Some(Gang::Going);
                        for (&idx, p) in &mut j.placed {
                            p.want = Want::Run;
                            touch(&mut self.touched, &p.machine, id, idx, p.attempt);
                        }
                    } else if now.since(since) > Micros::from_millis(4000) {
                        end.push((id.clone(), true));
                    }
                }
                Some(Gang::Going) => {
                    // A member that never gets as far as waiting holds up the rest; theirs run
                    // out by themselves after a while, ours is to notice the odd one.
                    let short = j.placed.len() < j.spec.tasks as usize;
                    let stuck = j.placed.values().any(|p| {
                        matches!(p.phase, Some(Phase::Queued | Phase::InDoubt) | None)
                            && now.since(p.since) > self.gang_wait
                    });
                    if short || stuck {
                        end.push((id.clone(), false));
                    }
                }
                Some(Gang::Ending) if j.placed.is_empty() => j.gang = None,
                _ => {}
            }
        }
        for (id, held) in end {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            if !held {
                // A gang taken over is complete only when every machine has been heard.
                if !j.settled {
                    continue;
                }
                self.end_gang(&id);
                continue;
            }
            // Nothing of it was started: what is no longer asked for is dropped by the homes.
            j.gang = None;
            j.not_before = now + Micros::from_millis(300);
            let dropped = std::mem::take(&mut j.placed);
            for (idx, p) in dropped {
                self.unindex(&p.machine, &id, idx);
                touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
            }
        }
    }

    /// What finds no room, for the decider.
    pub fn demands(&self) -> Vec<Demand> {
        self.demands.iter().chain(self.shapes.iter().map(|(d, _)| d)).cloned().collect()
    }

    /// The next change of a job's record that is due: ends first, then progress.
    pub fn next_write(&mut self, now: Micros, ends: bool) -> Option<(String, RecordWrite, u64)> {
        for (id, j) in &mut self.jobs {
            if j.writing || j.verify {
                continue;
            }
            if j.ending.is_none() && j.spec.kind != Kind::Service && j.done.len() == j.spec.tasks {
                j.ending = Some(Final::Done);
            }
            if ends {
                if let Some(f) = j.ending
                    && now >= j.next_write
                {
                    j.writing = true;
                    let value = json!({"end": if f == Final::Done { "done" } else { "cancelled" }, "done": j.done.len()});
                    return Some((id.clone(), RecordWrite::End(f, value), j.mark));
                }
            } else if j.ending.is_none() && j.done.len() > j.durable.len() && now >= j.next_write {
                let raw_len = j.raw.to_string().len();
                let text = j.done.encode(self.value_bytes.saturating_sub(raw_len + 200));
                let kept = Ranges::decode(&text, j.spec.tasks).unwrap_or_default();
                if kept == j.durable {
                    j.next_write = now + Micros::from_millis(5000);
                    continue;
                }
                j.writing = true;
                let value = Owner::record(&j.raw, j.accepted_wall, &text);
                return Some((id.clone(), RecordWrite::Progress(value, kept), j.mark));
            }
        }
        None
    }

    /// Progress is on record: workers may forget those tasks.
    pub fn progress_written(&mut self, now: Micros, id: &str, kept: Ranges, mark: u64) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.writing = false;
        j.mark = j.mark.max(mark);
        j.durable = kept;
        j.next_write = now + Micros::from_millis(4000);
        let durable = j.durable.clone();
        for (k, l) in self.leftovers.range_mut((id.to_owned(), 0, String::new(), 0)..) {
            if k.0 != id {
                break;
            }
            if !l.alive && durable.contains(k.1) && l.want != Want::Forget {
                l.want = Want::Forget;
                touch(&mut self.touched, &k.2, &k.0, k.1, k.3);
            }
        }
    }

    /// A change of a record failed; if it may have been applied, its version is read first.
    pub fn write_failed(&mut self, now: Micros, id: &str, certain: bool) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.writing = false;
            j.verify = !certain;
            j.next_write = now + Micros::from_millis(500);
        }
    }

    /// A job whose record's version must be read.
    pub fn next_verify(&self) -> Option<String> {
        self.jobs.iter().find(|(_, j)| j.verify && !j.writing).map(|(id, _)| id.clone())
    }

    /// This controller's number.
    pub fn me(&self) -> usize {
        self.me
    }
    /// Whether everything that could be running is known.
    pub fn rebuilt(&self) -> bool {
        self.loaded && self.unheard.is_empty()
    }
    /// How many machines have not been heard since the epoch began.
    pub fn unheard(&self) -> usize {
        self.unheard.len()
    }
    /// Machines of all homes as last seen.
    pub fn machines(&self, epoch: u64) -> impl Iterator<Item = &Seen> {
        self.views.iter().filter_map(move |v| v.machines(epoch)).flat_map(BTreeMap::values)
    }
    /// One machine as its home last described it.
    pub fn seen(&self, name: &str, m: &Membership) -> Option<&Seen> {
        self.views.get(m.home(name)?)?.machines(m.epoch)?.get(name)
    }
    /// Whether a machine of another home is certainly gone: its home has spoken in this epoch and
    /// says so, or doesn't name it.
    pub fn gone(&self, name: &str, m: &Membership) -> bool {
        let view = m.home(name).and_then(|h| self.views.get(h)?.machines(m.epoch));
        view.is_some_and(|v| v.get(name).is_none_or(|d| d.standing == Standing::Gone))
    }
    /// Whether all homes have spoken in this epoch.
    pub fn all_homes_heard(&self, m: &Membership) -> bool {
        m.members.iter().all(|&h| self.views.get(h).is_some_and(|v| v.machines(m.epoch).is_some()))
    }
    /// Started, waiting and total tasks of live jobs.
    pub fn counts(&self) -> (usize, usize, usize) {
        let placed = self.jobs.values().map(|j| j.placed.len()).sum();
        let left: usize = self.jobs.values().map(|j| (j.spec.tasks - j.done.len()) as usize).sum();
        (self.jobs.len(), placed, left)
    }
}

/// Run time after which older tasks begin to count for less.
const RUN_MEMORY: Micros = Micros::from_millis(4_000_000);

/// A task of this sort completed after running for so long.
fn note_run(ran: &mut BTreeMap<String, (Micros, Micros)>, s: &Spec, run: Micros) {
    if s.estimate == Micros(0) {
        return;
    }
    // It begins as if some had run as long as expected: the first to complete are the shortest.
    let start = Micros(RUN_MEMORY.0 / 4);
    let (was, expected) = ran.entry(s.class.clone()).or_insert((start, start));
    *was = *was + run;
    *expected = *expected + s.estimate;
    if *expected > RUN_MEMORY {
        *was = Micros(was.0 / 2);
        *expected = Micros(expected.0 / 2);
    }
}

/// How long a task of this sort is likely to run.
fn likely(ran: &BTreeMap<String, (Micros, Micros)>, s: &Spec) -> Micros {
    let (was, expected) = ran.get(&s.class).copied().unwrap_or((Micros(1), Micros(1)));
    Micros((u128::from(s.estimate.0) * u128::from(was.0) / u128::from(expected.0.max(1))) as u64)
}

fn touch(touched: &mut BTreeSet<Key>, machine: &str, job: &str, index: u32, attempt: u64) {
    touched.insert((machine.to_owned(), TaskKey { job: job.to_owned(), index, attempt }));
}

/// Keeps machines that a waiting gang could use from less urgent work, so that the room its tasks
/// need can come together: those kept already, if they will do, else those where the least has to
/// go. Nothing is kept if the gang would not fit even then. Returns which.
fn keep_places(places: &mut [Place], s: &Spec, before: &[String], taken: &BTreeSet<String>) -> Vec<String> {
    let mut zones: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    let usable = |p: &Place| {
        p.allowed(s)
            && (before.contains(&p.machine.name) || !taken.contains(&p.machine.name))
            && p.kept_for.is_none_or(|k| k <= s.priority)
            && p.free_for(s.priority).holds(s.room)
    };
    for (i, p) in places.iter().enumerate().filter(|(_, p)| usable(p)) {
        let zone = if s.one_zone { p.machine.zone.clone() } else { String::new() };
        zones.entry(zone).or_default().push(i);
    }
    let best = zones
        .into_values()
        .filter(|at| at.len() >= s.tasks as usize)
        .map(|at| {
            let key = |&i: &usize| {
                (!before.contains(&places[i].machine.name), -places[i].free.cpus.min(s.room.cpus), i)
            };
            let mut at: Vec<(bool, i64, usize)> = at.iter().map(key).collect();
            at.sort_unstable();
            at.truncate(s.tasks as usize);
            let kept = at.iter().filter(|(new, ..)| !new).count();
            let free: i64 = at.iter().map(|(_, missing, _)| -missing).sum();
            (kept, free, at.into_iter().map(|(.., i)| i).collect::<Vec<_>>())
        })
        .max_by_key(|(kept, free, _)| (*kept, *free));
    let Some((_, _, at)) = best else { return Vec::new() };
    let mut names = Vec::new();
    for i in at {
        places[i].kept_for = places[i].kept_for.max(Some(s.priority));
        // A second gang must not count on the same room.
        places[i].free = places[i].free - s.room;
        names.push(places[i].machine.name.clone());
    }
    names
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ring::EpochRecord;

    fn settings() -> Settings {
        let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
            state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\n[settings.workers]\nreport_s = 3.0\n\
            lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
            write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
        Settings::parse("test", text).expect("valid")
    }

    fn raw(kind: &str, tasks: u32, checkpoint: f64) -> Value {
        json!({"uid":"wk-1","breed":"b","herd":"t","gait":kind,"rank":"high","strides":tasks,"vcpus":2.0,
            "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":true,
            "rideS":1,"restS":checkpoint,"unsaddleS":5.0})
    }

    fn whole(m: &Membership, seq: u64, rev_seen: u64, machines: Vec<MachineDigest>) -> Digest {
        Digest { seq: (m.epoch << 32) + seq, since: 0, rev_seen, machines }
    }

    /// An owner of one job, and one machine with room as its home describes it.
    fn owner_of(raw: Value) -> (Membership, Teams, Owner, MachineDigest) {
        let s = settings();
        let mut m = Membership::new(&s, 1);
        m.adopt(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
        let teams = Teams::new(&s.teams);
        let mut owner = Owner::new(&s);
        owner.adopt(&m, false);
        owner.load_done(std::iter::empty());
        owner.keep(Vec::new(), Vec::new());
        let spec = Spec::from_value(&raw).expect("valid");
        owner.insert(raw, spec, Micros(1), Ranges::default(), 1, true);
        let room = Room { cpus: 8000, gpus: 0, memory: 9000 };
        let machine = MachineDigest {
            name: "i-1".into(),
            kind: "k".into(),
            zone: "z".into(),
            spot: true,
            standing: Standing::Known,
            open: true,
            notice: None,
            free: room,
            total: room,
            by_priority: Vec::new(),
            images: Vec::new(),
            busy: 0,
            idle: None,
            silent: None,
            tasks: Vec::new(),
        };
        (m, teams, owner, machine)
    }

    #[test]
    fn what_can_save_is_stopped_with_grace_before_its_machine_is_taken() {
        for (checkpoint, stops) in [(10.0, true), (0.0, false)] {
            let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, checkpoint));
            let now = Micros::from_millis(1000);
            owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
            owner.plan(now, now, &m, &teams);
            let Wishes { rev, list: wanted, .. } = owner.wanted(0, &m);
            assert_eq!(wanted[0].want, Want::Run);
            machine.tasks = vec![Actual { key: wanted[0].key.clone(), phase: Phase::Running }];
            machine.notice = Some(Micros::from_millis(9000));
            owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
            owner.make_room(now, &m, &teams);
            // What stays as it was is not said again.
            let expected = stops.then_some(Want::Stop(Micros::from_millis(5000)));
            assert_eq!(owner.wanted(0, &m).list.first().map(|w| w.want), expected);
        }
    }

    /// The cost of a message to a home is that of what changed, not of all that runs there.
    #[test]
    fn a_home_hears_only_what_changed() {
        let (m, teams, mut owner, machine) = owner_of(raw("batch", 400, 0.0));
        let now = Micros::from_millis(1000);
        let fleet: Vec<MachineDigest> =
            (0..100).map(|i| MachineDigest { name: format!("i-{i}"), ..machine.clone() }).collect();
        owner.digest(now, &m, 0, whole(&m, 1, 0, fleet.clone()));
        owner.plan(now, now, &m, &teams);
        let first = owner.wanted(0, &m);
        assert_eq!(first.list.len(), 400);
        // Not yet seen by the home, so it is said again.
        assert_eq!(owner.wanted(0, &m).list.len(), 400);
        let seen =
            Digest { seq: (m.epoch << 32) + 2, since: 0, rev_seen: first.rev + 1, machines: Vec::new() };
        let on = |d: &MachineDigest| {
            let here = first.list.iter().filter(|w| w.machine == d.name);
            MachineDigest { tasks: here.map(|w| running(&w.key)).collect(), ..d.clone() }
        };
        owner.digest(now, &m, 0, Digest { machines: fleet.iter().map(on).collect(), ..seen.clone() });
        assert!(owner.wanted(0, &m).list.is_empty());
        let mut one = on(&fleet[7]);
        one.tasks[0].phase = Phase::Exited(Exit::Stopped(false));
        let change = Digest { seq: seen.seq + 1, since: seen.seq, machines: vec![one], ..seen };
        assert!(owner.digest(now, &m, 0, change));
        assert_eq!(owner.wanted(0, &m).list.len(), 1);
    }

    #[test]
    fn guesses_are_corrected_by_what_was_seen() {
        let s = Spec::from_value(&json!({"uid":"wk-1","breed":"b","herd":"t","gait":"batch","rank":"idle",
            "strides":1,"vcpus":1.0,"cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,
            "borrowed":true,"rideS":40.0,"restS":0,"unsaddleS":0}))
        .expect("valid");
        let mut ran = BTreeMap::new();
        assert_eq!(likely(&ran, &s), s.estimate);
        for _ in 0..3 {
            note_run(&mut ran, &s, Micros::from_millis(20_000));
        }
        assert!(likely(&ran, &s) > Micros::from_millis(35_000), "a few tell little");
        for _ in 0..500 {
            note_run(&mut ran, &s, Micros::from_millis(20_000));
        }
        assert!(likely(&ran, &s) < Micros::from_millis(21_000));
    }

    fn running(key: &TaskKey) -> Actual {
        Actual { key: key.clone(), phase: Phase::Running }
    }

    #[test]
    fn a_job_being_ended_starts_nothing() {
        let (m, teams, mut owner, machine) = owner_of(raw("batch", 3, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine]));
        owner.jobs.get_mut("wk-1").expect("live").ending = Some(Final::Cancelled);
        owner.plan(now, now, &m, &teams);
        assert!(owner.wanted(0, &m).list.is_empty());
    }

    #[test]
    fn a_task_waits_until_its_old_start_is_gone() {
        let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 1, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        let Wishes { rev, list: wanted, .. } = owner.wanted(0, &m);
        let old = TaskKey { attempt: 5, ..wanted[0].key.clone() };
        machine.tasks = vec![running(&old), running(&wanted[0].key)];
        owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine.clone()]));
        machine.tasks = vec![running(&old)];
        let other = MachineDigest { name: "i-2".into(), tasks: Vec::new(), ..machine.clone() };
        owner.digest(now, &m, 0, whole(&m, 3, rev, vec![machine, other]));
        let later = Micros::from_millis(9000);
        owner.plan(later, later, &m, &teams);
        let wanted = owner.wanted(0, &m).list;
        assert_eq!(wanted.len(), 1);
        assert_eq!((&wanted[0].key, wanted[0].want), (&old, Want::Stop(Micros(0))));
        // It counts towards its team's room all the while.
        assert_eq!(owner.in_use("wk-1", &owner.jobs["wk-1"]).cpus, 2000);
    }

    #[test]
    fn a_completed_task_is_forgotten_only_once_that_is_on_record() {
        let (m, teams, mut owner, mut machine) = owner_of(raw("batch", 2, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        let Wishes { rev, list: wanted, .. } = owner.wanted(0, &m);
        let done = Actual { key: wanted[0].key.clone(), phase: Phase::Exited(Exit::Done) };
        machine.tasks = vec![done, running(&wanted[1].key)];
        let want_of = |owner: &mut Owner| {
            let list = owner.wanted(0, &m).list;
            list.iter().find(|w| w.key.index == 0).map(|w| w.want)
        };
        for seq in 2..5 {
            owner.digest(now, &m, 0, whole(&m, seq, rev, vec![machine.clone()]));
            assert_eq!(want_of(&mut owner), Some(Want::Keep));
        }
        let (id, write, _) = owner.next_write(now, false).expect("progress is due");
        let RecordWrite::Progress(_, kept) = write else { panic!("not an end") };
        owner.progress_written(now, &id, kept, 9);
        assert_eq!(want_of(&mut owner), Some(Want::Forget));
    }

    #[test]
    fn a_new_epoch_leaves_starts_in_doubt_until_their_home_has_seen_them() {
        let (mut m, teams, mut owner, machine) = owner_of(raw("batch", 1, 0.0));
        let now = Micros::from_millis(1000);
        owner.digest(now, &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
        owner.plan(now, now, &m, &teams);
        owner.wanted(0, &m);
        m.adopt(now, &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
        owner.adopt(&m, true);
        owner.load_done(std::iter::empty());
        // The home has not yet had our wishes of this epoch; whatever it has seen is of the last.
        owner.digest(now, &m, 0, whole(&m, 1, u64::MAX - 1, vec![machine.clone()]));
        assert_eq!(owner.counts().1, 1);
        let rev = owner.wanted(0, &m).rev;
        owner.digest(now, &m, 0, whole(&m, 2, rev, vec![machine]));
        assert_eq!(owner.counts().1, 0, "now its absence is an answer");
    }

    /// Found on sanaq-forms: a gang without places was taken for one being held, asked for machines
    /// only every few seconds and lost the machines kept for it in between.
    #[test]
    fn a_gang_without_places_asks_for_room_at_every_pass() {
        let (m, teams, mut owner, _) = owner_of(raw("group", 2, 0.0));
        for i in 0..20 {
            let now = Micros::from_millis(1000 + i * 100);
            owner.plan(now, now, &m, &teams);
            let waiting: u32 = owner.demands().iter().map(|d| d.count).sum();
            assert_eq!(waiting, 2, "at pass {i}");
        }
    }
}
