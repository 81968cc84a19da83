//! Where tasks go: a placing pass, gangs, room that has to be made, and what finds no room.

use super::preemption::{Shortfall, short_after};
use super::reservations::FIRST_LOT;
use super::*;
use crate::peer::MachineStatus;
use crate::quota::{QuotaLedger, QuotaNeed};
use crate::scheduler::placement::{self, ZoneCounts};
/// Run time after which older tasks begin to count for less.
pub(super) const RUN_MEMORY: Micros = Micros::from_millis(4_000_000);
/// Starts in one placement pass, which bounds the time a pass takes.
pub(super) const STARTS_A_PASS: usize = 400;

impl JobShard {
    /// How long a job's tasks may queue before a machine is worth renting for them: not at all
    /// where a guarantee or a waiting time is promised, otherwise a part of the time in which the
    /// job is expected to be done.
    pub(super) fn horizon(&self, j: &Job, guaranteed: bool, age: Micros) -> Micros {
        let of = |kind: &str| {
            let mine = self.objectives.iter().filter(|o| o.kind == kind && o.class == j.spec.class);
            mine.map(|o| Micros::from_secs(o.within_s).0).min()
        };
        if guaranteed || j.spec.kind == JobKind::Service || of("wait").is_some() {
            return Micros(0);
        }
        let within = of("finished").or(j.spec.deadline.map(|d| d.0)).unwrap_or(120_000_000);
        Micros((within / 3).saturating_sub(age.0 / 2))
    }

    /// How long work may wait before work of lower priority is stopped for it.
    pub(super) fn patience(&self, s: &JobSpec) -> Micros {
        let promised = self.objectives.iter().filter(|o| o.kind == "wait" && o.class == s.class);
        let within = promised.map(|o| Micros::from_secs(o.within_s).0).min().unwrap_or(60_000_000);
        Micros(within / 40)
    }

    /// Remembers what a job asks for, with what its tasks are likely to run and how long they may queue:
    /// a decider that has just taken over must know that although nothing waits.
    pub(super) fn note_shape(&mut self, now: Micros, s: &JobSpec, horizon: Micros) {
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
            together: if s.kind == JobKind::Gang { s.tasks } else { 1 },
        };
        // Of each sort the largest: jobs whose tasks differ a little must not crowd out the rest.
        // Nor may two unlike ones make a third that nobody asked for, such as a gang of many small tasks and one
        // of few tasks on GPUs: whole machine types were kept for it.
        let near = |a: i64, b: i64| a <= b.saturating_mul(2) && b <= a.saturating_mul(2);
        let alike = |x: &Demand| {
            (x.priority, x.spot, x.one_zone, x.together > 1)
                == (d.priority, d.spot, d.one_zone, d.together > 1)
                && (x.room.gpus > 0) == (d.room.gpus > 0)
                && (d.together == 1 || near(x.room.cpus, d.room.cpus))
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

    /// What our jobs need of their teams, per team in the order in which they should get it.
    pub fn needs(&self, teams: &QuotaLedger) -> BTreeMap<String, Vec<QuotaNeed>> {
        let mut out: BTreeMap<String, Vec<QuotaNeed>> = BTreeMap::new();
        for id in self.order() {
            let Some(j) = self.jobs.get(&id) else { continue };
            if !teams.is_limited(&j.spec.team) {
                continue;
            }
            let mut left = j.spec.tasks.saturating_sub(j.done.len()) as usize;
            // One array of each team that should have begun asks for a first task before all others: claims of gangs
            // that wait for machines would leave it nothing for as long as gangs come. More would keep the gangs out.
            let list = out.entry(j.spec.team.clone()).or_default();
            // One whose starts are not all known may have begun long ago.
            let first = j.spec.kind == JobKind::Array
                && j.settled()
                && self.waits_too_long(j)
                && !self.blame.suspected(&id)
                && list.first().is_none_or(|n| n.priority < u8::MAX);
            if first {
                left = left.min(1);
            }
            let at = if first { 0 } else { list.len() };
            list.insert(
                at,
                QuotaNeed {
                    in_use: self.in_use(&id, j),
                    per_task: Resources { memory: 0, ..j.spec.room },
                    more_tasks: match self.blame.suspected(&id) && j.spec.kind == JobKind::Array {
                        true => i64::from(j.placed.is_empty()),
                        false => left.saturating_sub(j.placed.len()) as i64,
                    },
                    all_or_nothing: j.spec.kind != JobKind::Array,
                    is_settled: j.settled(),
                    priority: if first { u8::MAX } else { j.spec.priority },
                    accepted: j.accepted_wall,
                    job: id,
                },
            );
        }
        // Jobs that are to end, or that wait for others, get no more, but keep what they use. What that is must
        // be known first: a claim that shrinks while a machine is unheard would make room for others too soon.
        // One that waits uses nothing, but an old controller may have claimed room for it: left to it, that
        // would be missing to the very job that it waits for.
        for (id, j) in self.jobs.iter().filter(|(_, j)| (j.ending.is_some() || j.waits()) && j.settled()) {
            if teams.is_limited(&j.spec.team) {
                out.entry(j.spec.team.clone()).or_default().push(QuotaNeed {
                    job: id.clone(),
                    per_task: Resources { memory: 0, ..j.spec.room },
                    in_use: self.in_use(id, j),
                    more_tasks: 0,
                    all_or_nothing: true,
                    is_settled: true,
                    priority: 0,
                    accepted: j.accepted_wall,
                });
            }
        }
        out
    }

    /// Places what can be placed, moves gangs on, and notes what finds no room.
    pub fn plan(&mut self, now: Micros, wall: Micros, m: &Membership, teams: &QuotaLedger) {
        if !self.loaded {
            return;
        }
        self.wall = wall;
        self.older_silent = m.older_silent_at();
        self.note_endings(now);
        self.judge(now, teams);
        self.move_gangs(now);
        let since = *self.loaded_at.get_or_insert(now);
        if !self.steered && now.since(since) < Micros::from_millis(3000) {
            return;
        }
        let views = std::mem::take(&mut self.views);
        let mut places = self.places(now, m, &views);
        self.loans.hold_back(&mut places);
        self.leave_headroom(&mut places);
        let mut short: Vec<Shortfall> = Vec::new();
        // Shapes for which no machine has room left: nothing as large is looked for again.
        let mut full: Vec<JobSpec> = Vec::new();
        let mut budget = STARTS_A_PASS;
        self.demands.clear();
        self.reserved.clear();
        let asks_after = short_after(teams);
        let mut keeping = self.keeping(now);
        let promised = self.promised(now);
        let left_alone = self.refusals.current(now, m);
        let left_alone = left_alone.iter().filter_map(|h| views[*h].machines(m.epoch));
        let left_alone: BTreeSet<&str> = left_alone.flat_map(BTreeMap::keys).map(String::as_str).collect();
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
            let whole = self.horizon(j, teams.has_guarantee(&spec.team), Micros(0));
            self.note_shape(now, &spec, whole);
            let Some(j) = self.jobs.get(&id) else { continue };
            let age = wall.since(j.ready_wall());
            let one = j.spec.room;
            let claim = teams.usable(&j.spec.team, &id);
            let in_use = self.in_use(&id, j);
            let claim_left = Resources { memory: i64::MAX / 4, ..claim - in_use };
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
            old.extend(self.loans.left_by(&id));
            let suspected = self.blame.suspected(&id);
            // What is borrowed keeps away from machines where room is being made for a guarantee; that it finds none
            // says nothing about other work.
            let kept_out = j.footing == QuotaTier::Beyond && !promised.is_empty() && !self.waits_too_long(j);
            let apart = |d: &MachineStatus| kept_out && promised.contains(&d.name);
            let mut starts: Vec<(u32, usize)> = Vec::new();
            let mut unplaced = 0u32;
            let mut keeps = Vec::new();
            if j.spec.kind == JobKind::Gang {
                if j.gang.is_some() || !j.placed.is_empty() || !still_there.is_empty() {
                    continue;
                }
                if claim_left.count_of(one) < i64::from(j.spec.tasks) {
                    continue;
                }
                let hopeless = full.iter().any(|f| {
                    f.kind == JobKind::Gang && f.tasks <= j.spec.tasks && placement::no_easier(&j.spec, f)
                });
                let lent = self.loans.lend(&mut places, &id, j);
                let at = (!hopeless || !lent.is_empty()).then(|| {
                    placement::gang(&j.spec, &places, &counts, |p| {
                        !old.contains(p.name.as_str()) && !apart(p)
                    })
                });
                let at = at.flatten();
                gpu_lending::Loans::unlend(&mut places, &lent, one, at.as_deref().unwrap_or_default());
                match at {
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
                        if !hopeless && old.is_empty() && !j.spec.spread && !kept_out {
                            full.push(j.spec.clone());
                        }
                        let reserve;
                        (keeps, reserve) = self.keep_for(now, &mut keeping, &mut places, j, age);
                        self.reserved.extend(reserve);
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
                    .take(if self.waits_too_long(j) { allowed.min(FIRST_LOT) } else { allowed }.min(budget))
                    .collect();
                let hopeless =
                    full.iter().any(|f| f.kind != JobKind::Gang && placement::no_easier(&j.spec, f));
                // Room that is kept for the job goes first, or it would have been kept, or taken, in vain.
                let lent = self.loans.lend(&mut places, &id, j);
                let at = if (hopeless && lent.is_empty()) || next.is_empty() {
                    Vec::new()
                } else {
                    let usable = |p: &MachineStatus| {
                        !old.contains(p.name.as_str()) && !apart(p) && !left_alone.contains(p.name.as_str())
                    };
                    let kept: BTreeSet<String> =
                        lent.iter().map(|(i, _)| places[*i].machine.name.clone()).collect();
                    let first = |p: &MachineStatus| usable(p) && kept.contains(&p.name);
                    let mut at = match lent.is_empty() {
                        true => Vec::new(),
                        false => placement::fill(&j.spec, &mut places, &mut counts, next.len(), first),
                    };
                    let rest = next.len() - at.len();
                    at.extend(placement::fill(&j.spec, &mut places, &mut counts, rest, usable));
                    at
                };
                gpu_lending::Loans::unlend(&mut places, &lent, one, &at);
                if at.len() < next.len() {
                    // A task may be known to be done by another's word while its start still counts as placed.
                    unplaced = left.saturating_sub(at.len()).min(allowed) as u32;
                    if !hopeless && old.is_empty() && !j.spec.one_zone && !j.spec.spread && !kept_out {
                        full.push(j.spec.clone());
                    }
                }
                budget -= at.len();
                // What a borrower lacks is claimed in its team's ledger first; asked back here too, it would be taken twice.
                let asks = j.footing == QuotaTier::Within && age >= asks_after && !self.borrows(&j.spec);
                if unplaced > 0 && !suspected && asks {
                    short.push(Shortfall { spec: j.spec.clone(), count: unplaced });
                }
                starts.extend(next.into_iter().zip(at));
            }
            // A loan is sooner than a machine that has to boot: none is rented for what is claimed, or about to be.
            let unplaced = unplaced.saturating_sub(self.loans.covers(now, &id));
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
                    horizon: self.horizon(j, teams.has_guarantee(&s.team), age),
                    together: if s.kind == JobKind::Gang { s.tasks } else { 1 },
                });
            }
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            j.keeps = keeps;
            // A gang without places is not under way: it must go on asking for room.
            if starts.is_empty() {
                continue;
            }
            let gang = j.spec.kind == JobKind::Gang;
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
                let p = Assignment {
                    machine: place.name.clone(),
                    zone: place.zone.clone(),
                    attempt: (m.epoch << 24) + j.starts,
                    want: if gang { DesiredAction::Hold } else { DesiredAction::Run },
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
        self.count_doubted(now, wall, teams, m, &views, &mut places);
        drop(places);
        self.views = views;
    }

    pub(super) fn move_gangs(&mut self, now: Micros) {
        let mut end = Vec::new();
        for (id, j) in &mut self.jobs {
            match j.gang {
                Some(Gang::Holding(since)) => {
                    let held = j.placed.values().filter(|p| p.phase == Some(TaskPhase::Held)).count();
                    if held == j.spec.tasks as usize {
                        j.gang = Some(Gang::Going);
                        for (&idx, p) in &mut j.placed {
                            p.want = DesiredAction::Run;
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
                        matches!(p.phase, Some(TaskPhase::Queued | TaskPhase::InDoubt) | None)
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
        let waiting = self.demands.iter().chain(&self.doubted.demands);
        waiting.chain(self.shapes.iter().map(|(d, _)| d)).cloned().collect()
    }
}

/// A task of this sort completed after running for so long.
pub(super) fn note_run(ran: &mut BTreeMap<String, (Micros, Micros)>, s: &JobSpec, run: Micros) {
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
pub(super) fn likely(ran: &BTreeMap<String, (Micros, Micros)>, s: &JobSpec) -> Micros {
    let (was, expected) = ran.get(&s.class).copied().unwrap_or((Micros(1), Micros(1)));
    Micros((u128::from(s.estimate.0) * u128::from(was.0) / u128::from(expected.0.max(1))) as u64)
}
