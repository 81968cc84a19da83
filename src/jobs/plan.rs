//! Where tasks go: a placing pass, gangs, room that has to be made, and what finds no room.

use super::*;
use crate::peer::{MachineDigest, Standing};
use crate::placement::{self, Place, ZoneCounts};
use crate::teams::{Need, Teams};
/// Run time after which older tasks begin to count for less.
pub(super) const RUN_MEMORY: Micros = Micros::from_millis(4_000_000);
/// Starts in one placement pass, which bounds the time a pass takes.
pub(super) const STARTS_A_PASS: usize = 400;

/// Machines on which room is asked back at a time.
const RECLAIMED: usize = 60;

/// How long that may take until the room is free.
const RECLAIM_TIME: Micros = Micros::from_millis(8_000);

/// Work within a guarantee that finds no room.
struct Short {
    spec: Spec,
    count: u32,
}

/// Room to keep free for guarantees that add up to `all`, while `used` is in use (thousandths of a
/// processor): where little runs, little, and nothing where nothing runs.
pub fn headroom(all: i64, used: i64) -> i64 {
    (all / 5).min(used / 4)
}

impl Owner {
    /// How long a job's tasks may queue before a machine is worth renting for them: not at all
    /// where a guarantee or a waiting time is promised, otherwise a part of the time in which the
    /// job is expected to be done.
    pub(super) fn horizon(&self, j: &Job, guaranteed: bool, age: Micros) -> Micros {
        let of = |kind: &str| {
            let mine = self.objectives.iter().filter(|o| o.kind == kind && o.class == j.spec.class);
            mine.map(|o| Micros::from_secs(o.within_s).0).min()
        };
        if guaranteed || j.spec.kind == Kind::Service || of("wait").is_some() {
            return Micros(0);
        }
        let within = of("finished").or(j.spec.deadline.map(|d| d.0)).unwrap_or(120_000_000);
        Micros((within / 3).saturating_sub(age.0 / 2))
    }

    /// How long work may wait before work of lower priority is stopped for it.
    pub(super) fn patience(&self, s: &Spec) -> Micros {
        let promised = self.objectives.iter().filter(|o| o.kind == "wait" && o.class == s.class);
        let within = promised.map(|o| Micros::from_secs(o.within_s).0).min().unwrap_or(60_000_000);
        Micros(within / 40)
    }

    /// Remembers what a job asks for, with what its tasks are likely to run and how long they may queue:
    /// a decider that has just taken over must know that although nothing waits.
    pub(super) fn note_shape(&mut self, now: Micros, s: &Spec, horizon: Micros) {
        let d = Demand {
            room: s.room,
            kinds: s.kinds.clone(),
            zone: s.zone.clone(),
            one_zone: s.one_zone,
            spot: s.spot,
            count: 0,
            estimate: likely(&self.ran, s),
            priority: s.priority,
            horizon,
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
            x.estimate = Micros((x.estimate.0 * 7 + d.estimate.0) / 8);
            x.horizon = x.horizon.max(d.horizon);
        } else if self.shapes.len() < 100 {
            self.shapes.push((d, now));
        }
    }

    /// Jobs in the order in which they get room: by priority; then those that can still keep the
    /// earliest time promised for their class, those that can keep a later one, the rest; then by
    /// age. When there is far more work than room, arrays of one such group go by what they have
    /// left instead: being late with few large jobs beats being late with all.
    pub fn order(&self) -> Vec<String> {
        let arrays =
            || self.jobs.values().filter(|j| j.spec.kind == Kind::Array && j.ending.is_none() && !j.waits());
        let work: u64 = arrays().map(|j| self.left(j)).sum();
        let running: usize = arrays().map(|j| j.placed.len()).sum();
        let queue = Micros(work / running.max(1) as u64);
        let mut ids: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.ending.is_none() && !j.waits())
            .map(|(id, j)| {
                let (late, left) = if j.spec.kind == Kind::Array { self.standing(j, queue) } else { (0, 0) };
                // Of two releases the one that is due first; whoever belongs to one goes before its equals.
                let due = j.due.unwrap_or(Micros(u64::MAX));
                ((std::cmp::Reverse(j.spec.priority), late, left, due, j.accepted_wall), id)
            })
            .collect();
        ids.sort_unstable();
        ids.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// How long an array's tasks have left to run, one after the other.
    fn left(&self, j: &Job) -> u64 {
        u64::from(j.spec.tasks - j.done.len()) * likely(&self.ran, &j.spec).0.max(1)
    }

    /// How many of the times promised for a job's class it can't keep any more, and, if the queue is
    /// long for what was promised, how much it has left.
    fn standing(&self, j: &Job, queue: Micros) -> (u8, u64) {
        let run = likely(&self.ran, &j.spec).0;
        let soonest = self.wall.since(j.ready_wall()).0 + run;
        let finished = self.objectives.iter().filter(|o| o.kind == "finished" && o.class == j.spec.class);
        let mut promised: Vec<u64> = finished.map(|o| Micros::from_secs(o.within_s).0).collect();
        // Deadlines count from the submission, however long the job waited for others.
        let waited = j.ready_wall().since(j.accepted_wall);
        promised.extend(j.spec.deadline.map(|d| d.since(waited).0));
        promised.extend(j.due.map(|d| d.since(j.ready_wall()).0));
        let late = promised.iter().filter(|&&p| soonest > p).count();
        let crowded = promised.iter().min().is_some_and(|&p| queue.0 > p / 2);
        (late.min(250) as u8, if crowded { self.left(j) } else { 0 })
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
                more: match self.blame.suspected(&id) && j.spec.kind == Kind::Array {
                    true => i64::from(j.placed.is_empty()),
                    false => left.saturating_sub(j.placed.len()) as i64,
                },
                whole: j.spec.kind != Kind::Array,
                job: id,
            });
        }
        // Jobs that are to end, or that wait for others, get no more, but keep what they use. What that is must
        // be known first: a claim that shrinks while a machine is unheard would make room for others too soon.
        // One that waits uses nothing, but an old controller may have claimed room for it: left to it, that
        // would be missing to the very job that it waits for.
        for (id, j) in self.jobs.iter().filter(|(_, j)| (j.ending.is_some() || j.waits()) && j.settled()) {
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
    pub(super) fn places<'a>(&self, now: Micros, m: &Membership, views: &'a [View]) -> Vec<Place<'a>> {
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
            if !d.open || d.standing != Standing::Known || self.blame.shunned(now, &d.name) {
                continue;
            }
            let of_type = self.kept_types.iter().filter(|(k, spot, _)| *k == d.kind && *spot == d.spot);
            let unseen = unseen.get(d.name.as_str()).copied().unwrap_or_default();
            out.push(Place {
                machine: d,
                free: d.free - unseen,
                unseen,
                kept_for: of_type
                    .map(|t| t.2)
                    .max()
                    .max(foreign.get(d.name.as_str()).copied())
                    .max(self.kept_machines.get(&d.name).copied()),
            });
        }
        out
    }

    pub(super) fn foreign(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
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
    pub(super) fn evict(&mut self, now: Micros, m: &Membership, teams: &Teams) {
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
        self.wall = wall;
        self.move_gangs(now);
        let since = *self.loaded_at.get_or_insert(now);
        if !self.steered && now.since(since) < Micros::from_millis(3000) {
            return;
        }
        let views = std::mem::take(&mut self.views);
        let mut places = self.places(now, m, &views);
        self.leave_headroom(&mut places);
        let mut short: Vec<Short> = Vec::new();
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
            // Guards against a start before all that the job needs is done: whatever else may have
            // put it in the queue, nothing of it is placed.
            if j.waits() {
                continue;
            }
            // Most jobs have all their tasks placed: they cost a look.
            let placed = j.done.len() as usize + j.placed.len();
            let waits = now < j.not_before || self.blame.waits(now, &id);
            if !j.settled() || waits || placed >= j.spec.tasks as usize {
                continue;
            }
            let spec = j.spec.clone();
            let whole = self.horizon(j, teams.guaranteed(&spec.team), Micros(0));
            self.note_shape(now, &spec, whole);
            let Some(j) = self.jobs.get(&id) else { continue };
            let age = wall.since(j.ready_wall());
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
            let mut old: BTreeSet<&str> =
                self.open_of(&id).filter(|(k, _)| !j.done.contains(k.0)).map(|(k, _)| k.1.as_str()).collect();
            old.append(&mut self.blame.avoided(now, &id));
            let suspected = self.blame.suspected(&id);
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
                            places[pl].take(one);
                            starts.push((i as u32, pl));
                        }
                    }
                    // A probe takes room that is there; none is made, kept or rented for it.
                    None if suspected => continue,
                    None => {
                        unplaced = j.spec.tasks;
                        if !hopeless && old.is_empty() && !j.spec.spread {
                            full.push(j.spec.clone());
                        }
                        let evict = age >= self.patience(&j.spec);
                        // One gang at a time, and not where another owner's waits: several that each
                        // empty a few machines get nowhere and keep all others out. On a large fleet
                        // several may, where what is in their way can be stopped.
                        let several = !teams.guaranteed(&j.spec.team);
                        if keeping == 0 || (several && keeping + j.spec.tasks as usize <= most) {
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
                let mut allowed = claim_left.count_of(one).clamp(0, i64::from(u32::MAX)) as usize;
                // A job that fails everywhere is tried with one task at a time.
                if suspected {
                    allowed = usize::from(j.placed.is_empty() && allowed > 0);
                }
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
                if unplaced > 0 && !suspected && self.within_guarantee(teams, j) {
                    short.push(Short { spec: j.spec.clone(), count: unplaced });
                }
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
                    taken_over: false,
                };
                tracing::debug!(job = %id, task = idx, machine = %p.machine, attempt = p.attempt, "task placed");
                touch(&mut self.touched, &p.machine, &id, idx, p.attempt);
                self.by_machine.entry(p.machine.clone()).or_default().insert((id.clone(), idx));
                j.placed.insert(idx, p);
            }
        }
        self.reclaim(now, &places, short);
        drop(places);
        self.views = views;
    }

    /// Leaves a part of the ordinary machines, the emptiest, to work with a guarantee: that is promised
    /// a start at once, and what others run may go on for long.
    fn leave_headroom(&self, places: &mut [Place]) {
        let waits = |j: &Job| {
            j.spec.priority < GUARANTEED
                && !j.waits()
                && (j.placed.len() as u32) < j.spec.tasks - j.done.len()
        };
        if self.guaranteed.is_empty() || !self.jobs.values().any(waits) {
            return;
        }
        let used: i64 = places.iter().map(|p| p.machine.total.cpus - p.free.cpus).sum();
        let all: i64 = self.guaranteed.values().map(|g| g.cpus).sum();
        let mut lacking = headroom(all, used);
        let mut at: Vec<usize> = (0..places.len()).filter(|&i| !places[i].machine.spot).collect();
        at.sort_by_key(|&i| (std::cmp::Reverse(places[i].free.cpus), &places[i].machine.name));
        for i in at {
            if lacking <= 0 {
                break;
            }
            lacking -= places[i].free.cpus.max(0);
            places[i].kept_for = places[i].kept_for.max(Some(GUARANTEED));
        }
    }

    /// Whether a job fits into its team's guarantee together with the team's earlier jobs. Jobs of other
    /// owners count as earlier.
    fn within_guarantee(&self, teams: &Teams, j: &Job) -> bool {
        let Some(guarantee) = self.guaranteed.get(&j.spec.team) else { return false };
        let later = self
            .jobs
            .iter()
            .filter(|(_, k)| k.spec.team == j.spec.team && k.accepted_wall > j.accepted_wall)
            .fold(Room::default(), |a, (id, k)| a + teams.claimed(&k.spec.team, id));
        let used = teams.used(&j.spec.team) - later;
        used.cpus <= guarantee.cpus && (guarantee.gpus == 0 || used.gpus <= guarantee.gpus)
    }

    /// Asks for the room that teams without a guarantee have taken, where work within one finds none.
    fn reclaim(&mut self, now: Micros, places: &[Place], short: Vec<Short>) {
        // Room that was asked for takes a report or two to come free. Without a memory of that, each
        // pass would empty other machines.
        self.reclaiming.retain(|_, t| now.since(*t) < RECLAIM_TIME);
        if short.is_empty() {
            return;
        }
        let mut at: Vec<(bool, i64, usize)> = places
            .iter()
            .enumerate()
            .map(|(i, p)| {
                let new = !self.reclaiming.contains_key(&p.machine.name);
                (new, p.free.cpus - p.free_for(GUARANTEED).cpus, i)
            })
            .filter(|(new, taken, _)| !new || *taken < 0)
            .collect();
        at.sort_unstable();
        let mut at = at.into_iter().take(RECLAIMED);
        for s in short {
            let mut left = i64::from(s.count);
            while left > 0 {
                let Some((.., i)) = at.next() else { return };
                let p = &places[i];
                let n = p.free_for(GUARANTEED).count_of(s.spec.room).min(left);
                if n <= 0 || !p.allowed(&s.spec) {
                    continue;
                }
                left -= n;
                self.reclaiming.entry(p.machine.name.clone()).or_insert(now);
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

    pub(super) fn move_gangs(&mut self, now: Micros) {
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
                if !j.settled() {
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
}

/// Keeps machines that a waiting gang could use from less urgent work, so that the room its tasks
/// need can come together: those kept already, if they will do, else those where the least has to
/// go. Nothing is kept if the gang would not fit even then. Returns which.
pub(super) fn keep_places(
    places: &mut [Place],
    s: &Spec,
    before: &[String],
    taken: &BTreeSet<String>,
) -> Vec<String> {
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
            // Where the least stays that can't be stopped, then where the least has to go.
            let stoppable = s.priority.min(GUARANTEED);
            let key = |&i: &usize| {
                let p = &places[i];
                let after = -p.free_for(stoppable).cpus.min(s.room.cpus);
                let fetch = !p.machine.images.contains(&s.image_hash);
                (!before.contains(&p.machine.name), after, fetch, -p.free.cpus.min(s.room.cpus), i)
            };
            let mut at: Vec<(bool, i64, bool, i64, usize)> = at.iter().map(key).collect();
            at.sort_unstable();
            at.truncate(s.tasks as usize);
            let kept = at.iter().filter(|(new, ..)| !new).count();
            let free: i64 = at.iter().map(|(_, after, _, missing, _)| -missing - after).sum();
            (kept, free, at.into_iter().map(|(.., i)| i).collect::<Vec<_>>())
        })
        .max_by_key(|(kept, free, _)| (*kept, *free));
    let Some((_, _, at)) = best else { return Vec::new() };
    let mut names = Vec::new();
    for i in at {
        places[i].kept_for = places[i].kept_for.max(Some(s.priority));
        // A second gang must not count on the same room.
        places[i].take(s.room);
        names.push(places[i].machine.name.clone());
    }
    names
}

/// A task of this sort completed after running for so long.
pub(super) fn note_run(ran: &mut BTreeMap<String, (Micros, Micros)>, s: &Spec, run: Micros) {
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
pub(super) fn likely(ran: &BTreeMap<String, (Micros, Micros)>, s: &Spec) -> Micros {
    let (was, expected) = ran.get(&s.class).copied().unwrap_or((Micros(1), Micros(1)));
    Micros((u128::from(s.estimate.0) * u128::from(was.0) / u128::from(expected.0.max(1))) as u64)
}
