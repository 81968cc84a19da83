//! Loans of GPUs as an owner sees them: what its jobs run beyond their teams' guarantees, what its services lack, room that
//! is kept for somebody, and tasks that are stopped, or go back, by what a ledger says. Which job is within its guarantee is
//! decided in `guarantee` alone.

use super::scheduling_pass::likely;
use super::*;
use crate::config::operators::LoanTerms;
use crate::peer::{Lendable, LendableTask, Lending as Told};
use crate::quota::QuotaLedger;
use crate::quota::tier::QuotaTier;
use crate::scheduler::placement::Place;
use hazelsaddle_gpu_lending::Amount;
use hazelsaddle_gpu_lending::ledger::{Claim, Facts, Ledger, Loan, State};
use hazelsaddle_gpu_lending::preemption::{Machine, Need, Task, choose};
use hazelsaddle_gpu_lending::reclaim::{Borrower, LoanStanding, Shortfall, Terms, give_back};

/// What others said holds for so long.
const WORD: Micros = Micros::from_millis(5_000);
/// A ledger that was read longer ago is obeyed no more: what it says may have been taken back.
const FRESH: Micros = Micros::from_millis(5_000);
/// Replicas wait so long for room that comes free by itself before any is taken, and before a machine is rented.
const MOMENT: Micros = Micros::from_millis(1_500);

/// What is known of loans.
#[derive(Debug, Default)]
pub(super) struct Loans {
    terms: Option<LoanTerms>,
    /// Teams' ledgers, and when the question went out that they answer.
    ledgers: BTreeMap<String, Ledger>,
    as_of: Option<Micros>,
    others: BTreeMap<usize, (Micros, Told)>,
    /// Services that lack replicas, and since when.
    lacking: BTreeMap<String, Micros>,
    /// Teams whose work within its guarantee lacks GPUs, by our jobs: how much, and since when.
    short: BTreeMap<String, (Resources, Micros)>,
}

/// Room that is to be claimed.
#[derive(Clone, Debug, PartialEq)]
pub struct Taking {
    /// The borrowing team.
    pub team: String,
    /// Its job.
    pub job: String,
    /// How many of its replicas have no place.
    pub missing: u32,
    /// What is claimed, machine by machine.
    pub claims: Vec<Claim>,
}

fn amount(r: Resources) -> Amount {
    Amount { gpus: r.gpus, cpus: r.cpus, memory: r.memory }
}

impl Loans {
    pub(super) fn new(terms: Option<LoanTerms>) -> Loans {
        Loans { terms, ..Loans::default() }
    }

    /// A new epoch: what others said was said by other owners.
    pub(super) fn anew(&mut self) {
        self.others.clear();
        self.as_of = None;
    }

    fn all(&self) -> impl Iterator<Item = &Loan> {
        self.ledgers.values().flat_map(|l| &l.loans)
    }

    /// Room on machines that is kept for somebody: for a borrower's replicas until they stand, and for a lender's job until
    /// it is back. The first says whom a loan is for.
    fn kept(&self) -> impl Iterator<Item = (&Loan, Resources)> {
        self.all().filter_map(|l| match l.state {
            State::Taking => {
                let (gpus, cpus, memory) = l.hold;
                Some((l, Resources { gpus, cpus, memory }))
            }
            State::Held => None,
            State::Returning => Some((l, Resources { gpus: l.gpus, cpus: l.cpus, memory: l.memory })),
        })
    }

    /// What goes back is for the lender, and for whatever lies within its guarantee: that stands above.
    fn is_for(l: &Loan, id: &str, team: &str, within: bool) -> bool {
        match l.state {
            State::Returning => l.lender == team || within,
            _ => l.job == id,
        }
    }

    /// Takes what is kept for somebody off what is free.
    pub(super) fn hold_back(&self, places: &mut [Place]) {
        let mut by: BTreeMap<&str, Resources> = BTreeMap::new();
        for (l, room) in self.kept() {
            let sum = by.entry(&l.machine).or_default();
            *sum = *sum + room;
        }
        if by.is_empty() {
            return;
        }
        for p in places {
            if let Some(room) = by.get(p.machine.name.as_str()) {
                p.free = p.free - *room;
                // Guards against gangs that wait: they would keep the machine, and neither would get it.
                p.kept_for = Some(u8::MAX);
            }
        }
    }

    /// Gives a job the room that is kept for it: which places, and how much.
    pub(super) fn lend(&self, places: &mut [Place], id: &str, j: &Job) -> Vec<(usize, Resources)> {
        let mut by: BTreeMap<&str, Resources> = BTreeMap::new();
        let (team, within) = (j.spec.team.as_str(), j.footing == QuotaTier::Within);
        for (l, room) in self.kept().filter(|(l, _)| Loans::is_for(l, id, team, within)) {
            let sum = by.entry(&l.machine).or_default();
            *sum = *sum + room;
        }
        let mut out = Vec::new();
        for (i, p) in places.iter_mut().enumerate().filter(|_| !by.is_empty()) {
            if let Some(room) = by.get(p.machine.name.as_str()) {
                p.free = p.free + *room;
                p.kept_for = None;
                out.push((i, *room));
            }
        }
        out
    }

    /// Takes back what of it the job has not used.
    pub(super) fn unlend(places: &mut [Place], lent: &[(usize, Resources)], one: Resources, at: &[usize]) {
        for (i, room) in lent {
            let used = one.times(at.iter().filter(|a| *a == i).count() as i64).min(*room);
            places[*i].free = places[*i].free - (*room - used);
            places[*i].kept_for = Some(u8::MAX);
        }
    }

    /// Machines that a job's replicas are leaving for a lender: it comes back to none of them meanwhile.
    pub(super) fn left_by(&self, id: &str) -> impl Iterator<Item = &str> {
        let leaving = move |l: &&Loan| l.job == id && l.state == State::Returning;
        self.all().filter(leaving).map(|l| l.machine.as_str())
    }

    /// Replicas that are claimed for already, or that loans are being looked for: no machine is rented for them.
    pub(super) fn covers(&self, now: Micros, id: &str) -> u32 {
        if self.lacking.get(id).is_some_and(|t| now.since(*t) < Micros(MOMENT.0 * 2)) {
            return u32::MAX;
        }
        self.ledgers.values().map(|l| l.claimed(id)).sum()
    }

    /// The ledgers were read, by a question that went out at `sent`.
    pub(super) fn read(&mut self, sent: Micros, ledgers: BTreeMap<String, Ledger>) {
        self.ledgers = ledgers;
        self.as_of = Some(sent);
    }
}

impl JobShard {
    /// Whether a job may borrow.
    pub(super) fn borrows(&self, s: &JobSpec) -> bool {
        let may = |t: &LoanTerms| t.borrowers.iter().any(|b| *b == s.team || *b == s.class);
        s.kind == JobKind::Service && s.room.gpus > 0 && self.loans.terms.as_ref().is_some_and(may)
    }

    /// The ledgers were read.
    pub fn loans_read(&mut self, sent: Micros, ledgers: BTreeMap<String, Ledger>) {
        self.loans.read(sent, ledgers);
        self.replan = true;
    }

    /// What another owner's jobs could lend, and what they lack.
    pub fn others_lend(&mut self, now: Micros, from: usize, told: Told) {
        self.loans.others.insert(from, (now, told));
    }

    /// Sees which services lack replicas, and which teams lack GPUs within their guarantees.
    pub fn note_lacks(&mut self, now: Micros) {
        let mut lacking: BTreeMap<String, Micros> = BTreeMap::new();
        let mut short: BTreeMap<String, (Resources, Micros)> = BTreeMap::new();
        for (id, j) in &self.jobs {
            let lacks = (j.spec.tasks as usize).saturating_sub(j.done.len() as usize + j.placed.len());
            if j.spec.room.gpus <= 0 || lacks == 0 || j.ending.is_some() || j.waits() || !j.settled() {
                continue;
            }
            if self.borrows(&j.spec) {
                lacking.insert(id.clone(), self.loans.lacking.get(id).copied().unwrap_or(now));
            }
            if j.footing == QuotaTier::Within && !self.blame.suspected(id) {
                let since = self.loans.short.get(&j.spec.team).map_or(now, |(_, t)| *t);
                let sum = short.entry(j.spec.team.clone()).or_insert((Resources::default(), since));
                sum.0 = sum.0 + j.spec.room.times(lacks as i64);
            }
        }
        (self.loans.lacking, self.loans.short) = (lacking, short);
    }

    /// What the other owners are told: our jobs' tasks on GPUs beyond their teams' guarantees, and what is lacking.
    pub fn lending(&self, now: Micros, wall: Micros) -> Told {
        let lacks = self.loans.short.iter().map(|(t, (r, since))| (t.clone(), *r, now.since(*since)));
        let mut out = Told { jobs: Vec::new(), lacks: lacks.collect() };
        let Some(terms) = &self.loans.terms else { return out };
        for (id, j) in &self.jobs {
            // Work within its team's guarantee, or of which that is not known, is never offered.
            let lent = matches!(j.footing, QuotaTier::Beyond | QuotaTier::NoGuarantee);
            if !lent || j.spec.room.gpus <= 0 || j.ending.is_some() || j.placed.is_empty() {
                continue;
            }
            let gang = j.spec.kind == JobKind::Gang;
            let moving = !j.settled() || (gang && j.gang != Some(Gang::Going));
            let task = |(&index, p): (&u32, &Assignment)| {
                let there =
                    matches!(p.phase, Some(TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running));
                // A replica that was taken for is left where it is for a while, or room would swing.
                let young = self.loans.all().any(|l| {
                    let age = wall.0.saturating_sub(l.since_us);
                    l.job == *id && l.machine == p.machine && l.state == State::Held && age < terms.stay.0
                });
                let claimed = self.loans.ledgers.values().any(|l| l.lent(id, (index, p.attempt)));
                let ran = if p.phase == Some(TaskPhase::Running) { now.since(p.since).0 / 1000 } else { 0 };
                let left = (likely(&self.ran, &j.spec).0 / 1000).saturating_sub(ran);
                let lost_ms = match j.spec.checkpoint.0 > 0 {
                    true => j.spec.save.0 / 1000,
                    // What never saves and is nearly done goes last.
                    false if left < ran / 4 => ran * 2,
                    false => ran,
                };
                let fixed = moving || !there || matches!(p.want, DesiredAction::Stop(_)) || young || claimed;
                LendableTask { index, attempt: p.attempt, machine: p.machine.clone(), lost_ms, fixed }
            };
            out.jobs.push(Lendable {
                job: id.clone(),
                team: j.spec.team.clone(),
                rank: j.spec.priority % GUARANTEED,
                gang,
                room: j.spec.room,
                tasks: j.placed.iter().map(task).collect(),
            });
        }
        out
    }

    /// What is to be claimed for one of our services whose replicas have found no room for a moment.
    pub fn takings(&self, now: Micros, wall: Micros, m: &Membership, teams: &QuotaLedger) -> Option<Taking> {
        // Guards against claims on what others have claimed meanwhile.
        let fresh = self.loans.as_of.is_some_and(|t| now.since(t) < FRESH);
        let wait = |id: &&String| self.loans.lacking.get(*id).is_some_and(|t| now.since(*t) >= MOMENT);
        if !fresh || self.loans.lacking.is_empty() {
            return None;
        }
        let tasks = self.tasks_to_take(now, wall, m);
        if tasks.is_empty() {
            return None;
        }
        let mut places = self.places(now, m, &self.views);
        self.loans.hold_back(&mut places);
        for id in self.order().iter().filter(wait) {
            let Some(j) = self.jobs.get(id) else { continue };
            if self.blame.suspected(id) || self.blame.waits(now, id) || now < j.not_before {
                continue;
            }
            let claimed = teams.usable(&j.spec.team, id) - self.in_use(id, j);
            let may =
                Resources { memory: i64::MAX / 4, ..claimed }.count_of(j.spec.room).clamp(0, 10_000) as u32;
            let missing = (j.spec.tasks - j.placed.len() as u32).min(may);
            let open: u32 = self.loans.ledgers.values().map(|l| l.claimed(id)).sum();
            if missing <= open {
                continue;
            }
            let mut counts: BTreeMap<String, u32> = BTreeMap::new();
            for p in j.placed.values() {
                *counts.entry(p.zone.clone()).or_default() += 1;
            }
            let zone_of = |name: &String| self.seen(name, m).map(|d| d.zone.clone());
            for l in self.loans.all().filter(|l| l.job == *id && l.state == State::Taking) {
                *counts.entry(zone_of(&l.machine).unwrap_or_default()).or_default() += l.replicas;
            }
            for (_, (alive, zone)) in self.open_of(id) {
                *counts.entry(zone.clone()).or_default() += u32::from(*alive);
            }
            counts.retain(|_, n| *n > 0);
            let half = j.spec.tasks.div_ceil(2);
            let all = || places.iter().map(|p| p.machine.zone.clone());
            let zones = match (j.spec.one_zone && !counts.is_empty(), j.spec.spread) {
                (true, _) => Some(counts.keys().map(|z| (z.clone(), u32::MAX)).collect()),
                (_, true) => {
                    let left = |z: &String| half.saturating_sub(counts.get(z).copied().unwrap_or(0));
                    Some(all().map(|z| (z.clone(), left(&z))).collect())
                }
                _ => None,
            };
            let need = Need {
                team: j.spec.team.clone(),
                rank: j.spec.priority % GUARANTEED,
                within: j.footing == QuotaTier::Within,
                each: amount(j.spec.room),
                replicas: missing - open,
                zones,
                one_zone: j.spec.one_zone,
            };
            let avoided = self.blame.avoided(now, id);
            let leaving: BTreeSet<&str> = self.loans.left_by(id).collect();
            let usable = |p: &&Place| {
                let name = p.machine.name.as_str();
                p.allowed(&j.spec)
                    && p.kept_for.is_none_or(|k| k <= j.spec.priority)
                    && !avoided.contains(name)
                    && !leaving.contains(name)
                    && self.open_of(id).all(|(k, _)| k.1 != name)
            };
            let machine = |p: &Place| Machine {
                name: p.machine.name.clone(),
                zone: p.machine.zone.clone(),
                free: amount(p.free),
                image: p.machine.images.contains(&j.spec.image_hash),
            };
            let machines: Vec<Machine> = places.iter().filter(usable).map(machine).collect();
            let claims = choose(&need, &machines, &tasks);
            if !claims.is_empty() {
                return Some(Taking { team: j.spec.team.clone(), job: id.clone(), missing, claims });
            }
        }
        None
    }

    fn tasks_to_take(&self, now: Micros, wall: Micros, m: &Membership) -> Vec<Task> {
        let fresh = |(p, (t, _)): &(&usize, &(Micros, Told))| now.since(*t) < WORD && m.members.contains(p);
        let others = self.loans.others.iter().filter(fresh).flat_map(|(_, (_, told))| told.jobs.clone());
        let mut out = Vec::new();
        for l in self.lending(now, wall).jobs.into_iter().chain(others) {
            for t in l.tasks {
                // What was said before the claim was made doesn't know of it.
                let claimed = self.loans.ledgers.values().any(|x| x.lent(&l.job, (t.index, t.attempt)));
                out.push(Task {
                    job: l.job.clone(),
                    index: t.index,
                    attempt: t.attempt,
                    team: l.team.clone(),
                    rank: l.rank,
                    within: false,
                    gang: l.gang,
                    machine: t.machine,
                    room: amount(l.room),
                    lost_ms: t.lost_ms,
                    fixed: t.fixed || claimed,
                });
            }
        }
        out
    }

    /// Stops what the ledgers say: our tasks that are lent, gangs whole, and our replicas whose room goes back.
    pub fn obey_loans(&mut self, now: Micros) {
        if self.loans.as_of.is_none_or(|t| now.since(t) >= FRESH) {
            return;
        }
        let open: Vec<Loan> = self.loans.all().filter(|l| l.state != State::Held).cloned().collect();
        for l in open {
            if l.state == State::Taking {
                self.give(&l);
            } else if let Some(j) = self.jobs.get_mut(&l.job) {
                for (&idx, p) in &mut j.placed {
                    if p.machine == l.machine && !matches!(p.want, DesiredAction::Stop(_)) {
                        tracing::info!(job = %l.job, task = idx, machine = %l.machine, lender = %l.lender, loan = l.id, "replica goes back");
                        p.want = DesiredAction::Stop(j.spec.save);
                        touch(&mut self.touched, &p.machine, &l.job, idx, p.attempt);
                    }
                }
            }
        }
    }

    fn give(&mut self, l: &Loan) {
        let Some(j) = self.jobs.get_mut(&l.from) else { return };
        // Guards work that has come to lie within its guarantee since it was offered.
        if !matches!(j.footing, QuotaTier::Beyond | QuotaTier::NoGuarantee) || j.ending.is_some() {
            return;
        }
        let grace = if j.spec.checkpoint.0 > 0 { j.spec.save } else { Micros(0) };
        let named =
            |idx: &u32, p: &Assignment| l.tasks.contains(&(*idx, p.attempt)) && p.machine == l.machine;
        if j.spec.kind == JobKind::Gang {
            if j.gang == Some(Gang::Going) && j.placed.iter().any(|(i, p)| named(i, p)) {
                tracing::info!(job = %l.from, machine = %l.machine, borrower = %l.job, loan = l.id, "gang stops for a loan");
                self.stop_gang(&l.from, grace);
            }
            return;
        }
        for (&idx, p) in &mut j.placed {
            if named(&idx, p) && !matches!(p.want, DesiredAction::Stop(_)) {
                tracing::info!(job = %l.from, task = idx, machine = %l.machine, borrower = %l.job, loan = l.id, "task stops for a loan");
                p.want = DesiredAction::Stop(grace);
                touch(&mut self.touched, &p.machine, &l.from, idx, p.attempt);
            }
        }
    }

    /// How things stand with a loan, as far as we know: of our own jobs, and of machines.
    pub fn loan_facts(&self, l: &Loan, m: &Membership) -> Facts {
        let mut f = Facts { gone: self.gone(&l.machine, m), ..Facts::default() };
        if !self.loaded {
            return f;
        }
        if m.job_leader(&l.job) == Some(self.me) {
            let j = self.jobs.get(&l.job);
            f.live = Some(j.is_some_and(|j| j.ending.is_none()));
            // After a takeover not all replicas are known at first.
            if let Some(j) = j.filter(|j| j.settled()) {
                f.there = Some(j.placed.values().filter(|p| p.machine == l.machine).count() as u32);
                f.missing = Some(j.spec.tasks - j.placed.len() as u32);
            }
        }
        if m.job_leader(&l.from) == Some(self.me) {
            f.refused = self.jobs.get(&l.from).is_some_and(|j| {
                let safe = matches!(j.footing, QuotaTier::Within | QuotaTier::Unknown);
                let named = |(idx, attempt): &(u32, u64)| {
                    let p = j.placed.get(idx).filter(|p| p.attempt == *attempt);
                    p.is_some_and(|p| !matches!(p.want, DesiredAction::Stop(_)))
                };
                safe && l.tasks.iter().all(named)
            });
            f.lender_lacks = match self.jobs.get(&l.from) {
                None => Some(false),
                Some(j) if !j.settled() => None,
                Some(j) => {
                    let lacks = j.placed.len() < (j.spec.tasks - j.done.len()) as usize;
                    Some(j.ending.is_none() && (lacks || self.loans.short.contains_key(&l.lender)))
                }
            };
        }
        f
    }

    /// Loans of our services that are to be given back, since the lender is within its guarantee and short.
    pub fn loans_due(
        &self,
        now: Micros,
        wall: Micros,
        team: &str,
        ledger: &Ledger,
        m: &Membership,
        teams: &QuotaLedger,
    ) -> Vec<u64> {
        let Some(terms) = &self.loans.terms else { return Vec::new() };
        let fresh = self.loans.others.values().filter(|(t, _)| now.since(*t) < WORD);
        let others = fresh.flat_map(|(_, told)| told.lacks.iter().cloned());
        let ours = self.loans.short.iter().map(|(t, (r, since))| (t.clone(), *r, now.since(*since)));
        let mut lacks: BTreeMap<String, Shortfall> = BTreeMap::new();
        for (team, room, age) in ours.chain(others) {
            let since_us = wall.0.saturating_sub(age.0);
            let l = lacks.entry(team).or_insert(Shortfall { room: Amount::default(), since_us });
            l.room = l.room + amount(room);
            l.since_us = l.since_us.min(since_us);
        }
        if lacks.is_empty() {
            return Vec::new();
        }
        let (used, guarantee) = (teams.allocated(team).gpus, self.guaranteed.get(team).map_or(0, |g| g.gpus));
        let stands = |job: &str, machine: &str| match self
            .jobs
            .get(job)
            .filter(|_| m.job_leader(job) == Some(self.me))
        {
            Some(j) => LoanStanding {
                replicas: j.placed.values().filter(|p| p.machine == machine).count() as u32,
                each: j.spec.room.gpus,
                within: j.footing == QuotaTier::Within,
            },
            // Another owner decides about it.
            None => LoanStanding { within: true, ..LoanStanding::default() },
        };
        let terms = Terms { stay_us: terms.stay.0, burst_us: terms.burst.0 };
        give_back(wall.0, terms, ledger, Borrower { used, guarantee }, &lacks, stands)
    }
}
