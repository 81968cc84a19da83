//! Room that has to be made: what is stopped for whom, what is left free for guarantees, what saves in time.

use super::*;
use crate::quota::QuotaLedger;
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::Place;

/// One part of a room.
type Part = fn(Resources) -> i64;

/// Machines on which room is asked back at a time.
const RECLAIMED: usize = 60;

/// How long that may take until the room is free: borrowed work that never saves is stopped last.
const RECLAIM_TIME: Micros = Micros::from_millis(35_000);
/// How often it is looked again which jobs lie within their team's guarantee.
const JUDGED: Micros = Micros::from_millis(500);
/// How long a machine may go unnamed without its being asked for anew.
const UNNAMED: Micros = Micros::from_millis(3_000);

/// How jobs stand to their teams' guarantees, and since when which machine has been asked for.
#[derive(Debug, Default)]
pub(super) struct PreemptionRequests {
    next_judged: Micros,
    /// Machines on which we asked for room in the last pass.
    ours: Vec<String>,
    since: BTreeMap<String, (Micros, Micros)>,
}

/// Work within a guarantee that finds no room.
pub(super) struct Shortfall {
    pub(super) spec: JobSpec,
    pub(super) count: u32,
}

/// How long work within a guarantee waits before it asks for room: not at all where some work has no guarantee, else
/// until what ends by itself would have made room.
pub(super) fn short_after(teams: &QuotaLedger) -> Micros {
    let all = teams.team_names().iter().all(|t| teams.has_guarantee(t));
    Micros::from_millis(if all { 5_000 } else { 0 })
}

/// Room to keep free for guarantees that add up to `all`, while `used` is in use (thousandths of a
/// processor or of a GPU): where little runs, little, and nothing where nothing runs.
pub fn headroom(all: i64, used: i64) -> i64 {
    (all / 5).min(used / 4)
}

impl JobShard {
    /// Sees which of our jobs lie within their team's guarantee. Others are told what is borrowed by the priority
    /// that its tasks are shown with.
    pub(super) fn judge(&mut self, now: Micros, teams: &QuotaLedger) {
        if self.guaranteed.is_empty() {
            return;
        }
        let all = now >= self.asked.next_judged;
        if all {
            self.asked.next_judged = now + JUDGED;
        }
        for (id, j) in &mut self.jobs {
            if !(all || j.footing == QuotaTier::Unknown) || !self.guaranteed.contains_key(&j.spec.team) {
                continue;
            }
            let left = i64::from(j.spec.tasks - j.done.len());
            let need = Resources { memory: 0, ..j.spec.room.times(left) };
            let was =
                std::mem::replace(&mut j.footing, teams.tier_of(&j.spec.team, id, j.accepted_wall, need));
            if tier::effective_priority(j.spec.priority, was)
                != tier::effective_priority(j.spec.priority, j.footing)
            {
                for (&idx, p) in &j.placed {
                    touch(&mut self.touched, &p.machine, id, idx, p.attempt);
                }
            }
        }
    }

    /// Machines on which room is being made for work within a guarantee: what is borrowed is not placed there, or it
    /// would take the room that it was stopped for.
    pub(super) fn promised(&self, now: Micros) -> BTreeSet<String> {
        let asked = self.foreign(now).filter(|r| r.evict && r.priority >= GUARANTEED);
        asked.map(|r| &r.machine).chain(&self.asked.ours).cloned().collect()
    }

    /// Stops our tasks of lower priority where waiting work needs the room, those that have run
    /// the shortest first, and no more than the machine's own room falls short.
    pub(super) fn evict(&mut self, now: Micros, m: &Membership) {
        let list: Vec<Reservation> =
            self.foreign(now).chain(&self.reserved).filter(|r| r.evict).cloned().collect();
        self.asked.since.retain(|_, (_, last)| now.since(*last) < UNNAMED);
        for r in list.iter().filter(|r| r.priority >= GUARANTEED) {
            self.asked.since.entry(r.machine.clone()).or_insert((now, now)).1 = now;
        }
        for r in list {
            let stood = self.asked.since.get(&r.machine).map_or(Micros(0), |(t, _)| now.since(*t));
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
                // less than what is lost by stopping tasks that never save: of what has one, only borrowed
                // work is stopped, and not at once.
                let saves = j.spec.checkpoint.0 > 0;
                if !matches!(p.want, DesiredAction::Stop(_))
                    && tier::may_preempt(j.spec.priority, j.footing, saves, r.priority, stood)
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
                if j.spec.kind == JobKind::Gang {
                    self.stop_gang(&id, grace);
                } else if let Some(p) = j.placed.get_mut(&idx) {
                    p.want = DesiredAction::Stop(grace);
                    touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                }
            }
        }
    }

    /// Leaves a part of the ordinary machines, the emptiest, to work with a guarantee: that is promised
    /// a start at once, and what others run may go on for long.
    pub(super) fn leave_headroom(&self, places: &mut [Place]) {
        let waits = |j: &Job| {
            j.spec.priority < GUARANTEED
                && !j.waits()
                && (j.placed.len() as u32) < j.spec.tasks - j.done.len()
        };
        if self.guaranteed.is_empty() || !self.jobs.values().any(waits) {
            return;
        }
        // Processors of machines with GPUs are left to work that needs those, unless there are no others.
        let with_gpus = |p: &Place| p.machine.total.gpus > 0;
        let plain = places.iter().any(|p| !with_gpus(p));
        let parts: [(Part, bool); 2] = [(|r| r.cpus, !plain), (|r| r.gpus, true)];
        for (part, gpus) in parts {
            let of_these = |p: &&Place| with_gpus(p) == gpus;
            let used: i64 =
                places.iter().filter(of_these).map(|p| part(p.machine.total) - part(p.free)).sum();
            let all: i64 = self.guaranteed.values().map(|g| part(*g)).sum();
            let mut lacking = headroom(all, used);
            let mut at: Vec<usize> = (0..places.len())
                .filter(|&i| !places[i].machine.spot && with_gpus(&places[i]) == gpus)
                .collect();
            at.sort_by_key(|&i| (std::cmp::Reverse(part(places[i].free)), &places[i].machine.name));
            for i in at {
                if lacking <= 0 {
                    break;
                }
                lacking -= part(places[i].free).max(0);
                places[i].kept_for = places[i].kept_for.max(Some(GUARANTEED));
            }
        }
    }

    /// Asks for room that is used beyond guarantees, where work within one finds none.
    pub(super) fn reclaim(&mut self, now: Micros, places: &[Place], short: Vec<Shortfall>) {
        // Room that was asked for takes a report or two to come free. Without a memory of that, each
        // pass would empty other machines.
        self.reclaiming.retain(|_, t| now.since(*t) < RECLAIM_TIME);
        self.asked.ours.clear();
        if short.is_empty() {
            return;
        }
        let mut room = RECLAIMED;
        let mut used: BTreeSet<usize> = BTreeSet::new();
        for s in short {
            // Where most can be had, of what the work needs most; machines that are being emptied already go first.
            let part = |r: Resources| if s.spec.room.gpus > 0 { r.gpus } else { r.cpus };
            let mut at: Vec<(bool, i64, usize)> = places
                .iter()
                .enumerate()
                .filter(|(i, p)| !used.contains(i) && p.allowed(&s.spec))
                .map(|(i, p)| {
                    let new = !self.reclaiming.contains_key(&p.machine.name);
                    (new, part(p.free) - part(p.free_for(GUARANTEED)), i)
                })
                .filter(|(new, taken, _)| !new || *taken < 0)
                .collect();
            at.sort_unstable();
            let mut left = i64::from(s.count);
            for (.., i) in at {
                if left <= 0 {
                    break;
                }
                if room == 0 {
                    return;
                }
                let p = &places[i];
                let n = p.free_for(GUARANTEED).count_of(s.spec.room).min(left);
                if n <= 0 {
                    continue;
                }
                room -= 1;
                used.insert(i);
                left -= n;
                self.reclaiming.entry(p.machine.name.clone()).or_insert(now);
                self.asked.ours.push(p.machine.name.clone());
                self.reserved.push(Reservation {
                    machine: p.machine.name.clone(),
                    priority: s.spec.priority,
                    need: s.spec.room.times(n),
                    evict: true,
                });
            }
        }
    }

    /// Stops tasks that can save on machines that the cloud is about to take, so that their progress
    /// is not lost. Tasks that never save may as well go on: some end in time.
    pub(super) fn save_before_loss(&mut self, now: Micros, m: &Membership) {
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
                if j.spec.kind == JobKind::Gang {
                    if j.gang != Some(Gang::Ending) {
                        tracing::info!(job = %id, machine = %name, reason = "notice", "gang saves and stops");
                        self.stop_gang(&id, save);
                    }
                } else if let Some(p) = j.placed.get_mut(&idx)
                    && p.phase == Some(TaskPhase::Running)
                    && !matches!(p.want, DesiredAction::Stop(_))
                {
                    tracing::info!(job = %id, task = idx, machine = %name, reason = "notice", "task saves and stops");
                    p.want = DesiredAction::Stop(save);
                    touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                }
            }
        }
    }

    /// Stops what has to make room; called after placing.
    pub fn make_room(&mut self, now: Micros, m: &Membership) {
        if self.loaded {
            self.save_before_loss(now, m);
            self.evict(now, m);
        }
    }
}
