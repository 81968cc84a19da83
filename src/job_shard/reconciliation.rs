//! What an owner and the homes tell one another: wishes out, digests in, and what follows for tasks.

use super::scheduling_pass::note_run;
use super::*;
use crate::peer::{DesiredState, DesiredTask, InventoryState, MachineStatusDelta, ObservedTask, TaskExit};
use crate::quota::tier;

impl JobShard {
    pub(super) fn unindex(&mut self, machine: &str, id: &str, idx: u32) {
        if let Some(s) = self.by_machine.get_mut(machine) {
            s.remove(&(id.to_owned(), idx));
            if s.is_empty() {
                self.by_machine.remove(machine);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn leave(
        &mut self,
        id: &str,
        idx: u32,
        p: &Assignment,
        room: Resources,
        want: DesiredAction,
        alive: bool,
        done: bool,
    ) {
        let key = (id.to_owned(), idx, p.machine.clone(), p.attempt);
        let priority = self.jobs.get(id).map_or(0, |j| j.spec.priority);
        let arrived = p.phase.is_some_and(TaskPhase::arrived);
        let left = RetiredStart { room, priority, want, alive, arrived, done, asked: UNSENT };
        self.leftovers.insert(key, left);
        if alive || !done {
            let open = self.open_left.entry(id.to_owned()).or_default();
            open.insert((idx, p.machine.clone(), p.attempt), (alive, p.zone.clone()));
        }
        self.left_on.entry(p.machine.clone()).or_default().insert((id.to_owned(), idx, p.attempt), alive);
        touch(&mut self.touched, &p.machine, id, idx, p.attempt);
    }

    pub(super) fn clear_leftover(&mut self, k: &(String, u32, String, u64)) {
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

    pub(super) fn close_leftover(&mut self, k: &(String, u32, String, u64)) {
        if let Some(open) = self.open_left.get_mut(&k.0) {
            open.remove(&(k.1, k.2.clone(), k.3));
            if open.is_empty() {
                self.open_left.remove(&k.0);
            }
        }
    }

    /// Whether a home is to hear something new.
    pub fn has_news(&mut self, home: usize, m: &Membership) -> bool {
        for key in std::mem::take(&mut self.touched) {
            if let Some(h) = m.machine_leader(&key.0) {
                if h == self.me {
                    self.vouching.touched.insert(key.clone());
                }
                self.unacked[h].insert(key, UNSENT);
                self.dirty[h] = true;
            }
        }
        self.dirty[home]
    }

    /// What one home is to hear: all that changed since the last message that it says it has seen.
    pub fn wanted(&mut self, home: usize, m: &Membership) -> DesiredState {
        self.has_news(home, m);
        let rev = self.revs[home] + 1;
        self.revs[home] = rev;
        self.dirty[home] = false;
        let seen = self.views[home].revision_seen(m.epoch);
        let since = if seen > m.epoch << 32 { seen } else { 0 };
        let mut out = DesiredState { revision: rev, base_revision: since, ..DesiredState::default() };
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
            let placed = job.and_then(|j| Some((j.placed.get_mut(&key.index)?, (&j.spec, j.footing))));
            let placed = placed.filter(|(p, _)| p.attempt == key.attempt && p.machine == *machine);
            let (room, want, priority, image) = if let Some((p, (spec, footing))) = placed {
                p.asked = p.asked.min(rev);
                (spec.room, p.want, tier::effective_priority(spec.priority, footing), spec.image_hash)
            } else if let Some(l) = self.leftovers.get_mut(&left) {
                l.asked = l.asked.min(rev);
                (l.room, l.want, l.priority, 0)
            } else {
                out.removed.push((machine.clone(), key.clone()));
                continue;
            };
            out.list.push(DesiredTask {
                key: key.clone(),
                machine: machine.clone(),
                room,
                action: want,
                priority,
                image,
            });
        }
        self.unacked[home] = unacked;
        self.views[home].await_answer(rev, first);
        out
    }

    /// The state of a home that we hold.
    pub fn digest_seen(&self, home: usize, epoch: u64) -> u64 {
        self.views.get(home).map_or(0, |v| v.sequence(epoch))
    }

    /// Takes a home's digest: the truth about our tasks on its machines. Says whether it brought
    /// anything new.
    pub fn digest(&mut self, now: Micros, m: &Membership, from: usize, d: MachineStatusDelta) -> bool {
        let Some(v) = self.views.get_mut(from) else { return false };
        if !self.loaded {
            return false;
        }
        let Some(news) = v.apply_delta(now, m.epoch, d) else { return false };
        let mut names = news.names;
        if news.is_whole {
            let theirs = |n: &&String| m.machine_leader(n) == Some(from);
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
            for name in names.iter().filter(|n| m.machine_leader(n) == Some(from)) {
                self.machine_news(now, m, view, name);
            }
        }
        self.views = views;
        if std::mem::take(&mut self.ends_doubt) {
            self.settle();
        }
        self.replan = true;
        true
    }

    pub(super) fn machine_news(&mut self, now: Micros, m: &Membership, view: &MachineView, name: &str) {
        let rev_seen = view.revision_seen(m.epoch);
        // A home that has read the records names every machine that was ever given a task; one
        // that it doesn't name is gone.
        let seen = view.machines(m.epoch).and_then(|v| v.get(name));
        let standing = seen.map_or(InventoryState::Gone, |d| d.standing);
        let tasks: &[ObservedTask] = seen.map_or(&[], |d| &d.tasks);
        let listed = |job: &str, index: u32, attempt: u64| {
            let here =
                |a: &&ObservedTask| a.key.index == index && a.key.attempt == attempt && a.key.job == job;
            tasks.iter().find(here).map(|a| a.phase)
        };
        // Most tasks are where they were: only the others are worth a copy of their names.
        let news = |id: &str, idx: u32| {
            let p = self.jobs.get(id)?.placed.get(&idx)?;
            match listed(id, idx, p.attempt) {
                Some(phase) if p.phase == Some(phase) => None,
                Some(phase) => Some(Ok(phase)),
                None if standing == InventoryState::Gone => Some(Err("machine gone")),
                None if standing == InventoryState::Known && p.asked <= rev_seen => {
                    let was = p.phase.is_some_and(|x| x != TaskPhase::Held);
                    Some(Err(if was { "no longer there" } else { "refused" }))
                }
                None => None,
            }
        };
        let current = self.by_machine.get(name).into_iter().flatten();
        let current: Vec<(String, u32, Result<TaskPhase, &str>)> =
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
                Some(phase) => **alive && matches!(phase, TaskPhase::Exited(_)),
                None => true,
            })
            .map(|((id, idx, attempt), _)| (id.clone(), *idx, name.to_owned(), *attempt))
            .collect();
        for ((id, idx, attempt), alive) in self.left_on.get(name).into_iter().flatten() {
            let key = || (id.clone(), *idx, name.to_owned(), *attempt);
            if *alive
                && listed(id, *idx, *attempt).is_some_and(TaskPhase::arrived)
                && let Some(l) = self.leftovers.get_mut(&key())
            {
                l.arrived = true;
            }
        }
        for k in old {
            match listed(&k.0, k.1, k.3) {
                Some(phase) => {
                    let ended = !self.jobs.contains_key(&k.0);
                    let durable = ended || self.jobs.get(&k.0).is_some_and(|j| j.durable.contains(k.1));
                    let mut finished = false;
                    if let Some(l) = self.leftovers.get_mut(&k)
                        && let TaskPhase::Exited(exit) = phase
                    {
                        if l.alive {
                            if let Some(on) = self.left_on.get_mut(name) {
                                on.insert((k.0.clone(), k.1, k.3), false);
                            }
                            l.alive = false;
                            l.done = exit == TaskExit::Done;
                            finished = l.done;
                            self.replan = true;
                        }
                        let want =
                            if !l.done || durable { DesiredAction::Forget } else { DesiredAction::Keep };
                        if l.want != want {
                            l.want = want;
                            touch(&mut self.touched, name, &k.0, k.1, k.3);
                        }
                    }
                    if finished {
                        self.close_leftover(&k);
                        self.complete(&k.0, k.1);
                    } else if let TaskPhase::Exited(_) = phase
                        && let Some(open) = self.open_left.get_mut(&k.0)
                        && let Some((alive, _)) = open.get_mut(&(k.1, k.2.clone(), k.3))
                    {
                        *alive = false;
                    }
                }
                None if standing == InventoryState::Gone
                    || (standing == InventoryState::Known
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
            let p = Assignment {
                machine: name.to_owned(),
                zone: seen.map(|d| d.zone.clone()).unwrap_or_default(),
                attempt: k.attempt,
                want: DesiredAction::Keep,
                asked: UNSENT,
                phase: Some(a.phase),
                since: now,
                taken_over: true,
            };
            let exited = matches!(a.phase, TaskPhase::Exited(_));
            let adopt = self.jobs.get(&k.job).is_some_and(|j| {
                !exited && k.index < j.spec.tasks && j.ending.is_none() && !j.done.contains(k.index) && !j.placed.contains_key(&k.index)
                    // Members of two attempts of one gang can't be told to run together.
                    && (j.spec.kind != JobKind::Gang || j.placed.values().all(|q| q.attempt == k.attempt))
                    && !matches!(a.phase, TaskPhase::Held | TaskPhase::Queued)
            });
            if adopt {
                touch(&mut self.touched, name, &k.job, k.index, k.attempt);
                tracing::info!(job = %k.job, task = k.index, machine = name, epoch = m.epoch, "task taken over");
                self.by_machine.entry(name.into()).or_default().insert((k.job.clone(), k.index));
                if let Some(j) = self.jobs.get_mut(&k.job) {
                    j.placed.insert(k.index, p);
                    if j.spec.kind == JobKind::Gang && j.gang.is_none() {
                        j.gang = Some(Gang::Going);
                    }
                }
                self.task_news(now, &k.job, k.index, a.phase);
            } else {
                let room = self.jobs.get(&k.job).map(|j| j.spec.room).unwrap_or_default();
                let done = a.phase == TaskPhase::Exited(TaskExit::Done);
                let durable = self.jobs.get(&k.job).is_none_or(|j| j.durable.contains(k.index));
                let want = match (exited, done && !durable) {
                    (false, _) => DesiredAction::Stop(Micros(0)),
                    (true, true) => DesiredAction::Keep,
                    (true, false) => DesiredAction::Forget,
                };
                self.leave(&k.job, k.index, &p, room, want, !exited, done);
                if done {
                    self.complete(&k.job, k.index);
                }
            }
        }
        if standing != InventoryState::Unconfirmed {
            self.unheard.remove(name);
            self.ends_doubt |= self.doubts.heard(name);
        }
    }

    pub(super) fn task_news(&mut self, now: Micros, id: &str, idx: u32, phase: TaskPhase) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let room = j.spec.room;
        let Some(p) = j.placed.get_mut(&idx) else { return };
        if !p.taken_over && p.phase == Some(TaskPhase::Running) && phase == TaskPhase::Exited(TaskExit::Done)
        {
            note_run(&mut self.ran, &j.spec, now.since(p.since));
        }
        if p.phase.is_none() && !p.taken_over {
            self.refusals.note(&p.machine, true);
        }
        if p.phase != Some(phase) {
            p.since = now;
        }
        p.phase = Some(phase);
        if matches!(phase, TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving)
            && p.want == DesiredAction::Run
        {
            p.want = DesiredAction::Keep;
        }
        let TaskPhase::Exited(exit) = phase else { return };
        let Some(p) = j.placed.remove(&idx) else { return };
        let gang = j.spec.kind == JobKind::Gang;
        let machine = p.machine.clone();
        if exit != TaskExit::Done {
            match exit {
                // A task that can't be started must not spin.
                TaskExit::Error | TaskExit::Unknown => j.not_before = now + Micros::from_millis(1000),
                TaskExit::NoRoom | TaskExit::Busy => j.not_before = now + Micros::from_millis(500),
                _ => {}
            }
            tracing::debug!(job = id, task = idx, machine = %machine, why = ?exit, "task ended");
        }
        match exit {
            TaskExit::Error => self.blame.error(now, id, &machine),
            TaskExit::Done => self.blame.success(id, &machine),
            _ => {}
        }
        self.unindex(&machine, id, idx);
        let done = exit == TaskExit::Done;
        let want = if done { DesiredAction::Keep } else { DesiredAction::Forget };
        self.leave(id, idx, &p, room, want, false, done);
        if done {
            self.complete(id, idx);
        } else if gang {
            self.end_gang(id);
        }
        self.replan = true;
    }

    /// A placed start is certainly not on its machine, and never will be.
    pub(super) fn lost(&mut self, now: Micros, id: &str, idx: u32, why: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let Some(p) = j.placed.remove(&idx) else { return };
        let gang = j.spec.kind == JobKind::Gang;
        // What was withdrawn from a home, since its job is to end, was not refused by it.
        if j.ending.is_some() {
            tracing::debug!(job = id, task = idx, machine = %p.machine, reason = why, "withdrawn");
        } else if why == "refused" {
            j.not_before = j.not_before.max(now + Micros::from_millis(200));
            self.refusals.note(&p.machine, false);
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
}
