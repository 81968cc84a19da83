//! Machines kept for waiting gangs: by us, by other owners, and by those whose jobs have become ours.
//!
//! A gang that finds no room keeps machines so that it can come together, and says so to the other owners. One that
//! has waited for `DUE` is not overtaken any more: see `docs/design.md`, "The largest begin".

use super::*;
use crate::peer::InventoryState;
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::Place;

/// From then on a job that waits to begin is not overtaken by work that is no more urgent.
pub(super) const DUE: Micros = Micros::from_millis(45_000);
/// How many tasks such an array gets ahead of its turn: it is to begin, not to push aside many small ones.
pub(super) const FIRST_LOT: usize = 16;
/// How long after a takeover machines stay kept for gangs whose owner has gone. Their new one can't place them
/// before it knows what they had running, and small work would have filled the machines by then.
const INHERITED: Micros = Micros::from_millis(40_000);
/// How long an owner's word on what it keeps holds.
const WORD: Micros = Micros::from_millis(3_000);

/// What other owners keep.
#[derive(Debug, Default)]
pub(super) struct OtherReservations {
    /// By owner, and when it said so.
    said: BTreeMap<usize, (Micros, Vec<Reservation>)>,
    /// Of the epoch before: machines, the priority and the room of a task, until when.
    inherited: BTreeMap<String, (u8, Resources)>,
    until: Option<Micros>,
}

impl OtherReservations {
    fn fresh(&self, now: Micros) -> impl Iterator<Item = (usize, &Reservation)> {
        let fresh = self.said.iter().filter(move |(_, (t, _))| now.since(*t) < WORD);
        fresh.flat_map(|(o, (_, l))| l.iter().map(move |r| (*o, r)))
    }

    /// A new epoch: what `ours` and the others kept of late stays kept for a while, whoever owns the gangs now.
    pub(super) fn inherit(&mut self, ours: &[Reservation]) {
        if !self.said.is_empty() || !ours.is_empty() {
            self.inherited.clear();
            self.until = None;
        }
        let said = std::mem::take(&mut self.said);
        for r in said.values().flat_map(|(_, l)| l).chain(ours) {
            // The first for a machine names the gang's own priority.
            self.inherited.entry(r.machine.clone()).or_insert((r.priority, r.need));
        }
    }

    /// Machines that were kept before the takeover for tasks that need such room.
    fn kept_before(&self, now: Micros, room: Resources) -> Vec<String> {
        let holds = self.until.is_some_and(|t| now < t);
        let alike = self.inherited.iter().filter(|(_, (_, need))| holds && *need == room);
        alike.map(|(m, _)| m.clone()).collect()
    }
}

impl JobShard {
    /// The machines that take tasks, as far as we know.
    pub(super) fn places<'a>(&self, now: Micros, m: &Membership, views: &'a [MachineView]) -> Vec<Place<'a>> {
        let mut out = Vec::new();
        // What a home hasn't seen yet is not in its digest.
        let mut unseen: BTreeMap<&str, Resources> = BTreeMap::new();
        let news = self.unacked.iter().flat_map(BTreeMap::keys).chain(&self.touched);
        let mut counted = BTreeSet::new();
        for (machine, key) in news {
            if let Some(j) = self.jobs.get(&key.job)
                && let Some(p) = j.placed.get(&key.index)
                && (p.attempt == key.attempt && p.machine == *machine)
                && p.asked > m.machine_leader(machine).map_or(0, |h| views[h].revision_seen(m.epoch))
                && counted.insert((machine, key))
            {
                let sum = unseen.entry(machine).or_default();
                *sum = *sum + j.spec.room;
            }
        }
        let ours: BTreeSet<&str> = self.jobs.values().flat_map(|j| &j.keeps).map(String::as_str).collect();
        let mut foreign: BTreeMap<&str, u8> = BTreeMap::new();
        for (owner, r) in self.others.fresh(now) {
            // Two that chose the same machine before they heard of each other: the first by name has it, or
            // neither gang would ever get it.
            if owner > self.me && ours.contains(r.machine.as_str()) {
                continue;
            }
            let p = foreign.entry(&r.machine).or_default();
            *p = (*p).max(r.priority);
        }
        if self.others.until.is_some_and(|t| now < t) {
            for (machine, (priority, _)) in &self.others.inherited {
                let p = foreign.entry(machine).or_default();
                *p = (*p).max(*priority);
            }
        }
        for d in views.iter().filter_map(|v| v.machines(m.epoch)).flat_map(BTreeMap::values) {
            if !d.open || d.standing != InventoryState::Known || self.blame.shunned(now, &d.name) {
                continue;
            }
            let of_type = self.kept_types.iter().filter(|(k, spot, _)| *k == d.kind && *spot == d.spot);
            let unseen = unseen.get(d.name.as_str()).copied().unwrap_or_default();
            out.push(Place {
                machine: d,
                free: d.free - unseen,
                unseen,
                near: m.machine_leader(&d.name) == Some(self.me),
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
        self.others.fresh(now).map(|(_, r)| r)
    }

    /// Takes another owner's reservations.
    pub fn others_reserve(&mut self, now: Micros, from: usize, list: Vec<Reservation>) {
        self.others.said.insert(from, (now, list));
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

    /// What this pass may keep, and for whom.
    pub(super) fn keeping(&mut self, now: Micros) -> ReservationPlan {
        if self.others.until.is_none() && !self.others.inherited.is_empty() {
            self.others.until = Some(now + INHERITED);
        }
        ReservationPlan { taken: self.foreign(now).map(|r| r.machine.clone()).collect(), kept: 0 }
    }

    /// Keeps machines for a gang that finds no room, if it may keep any: returns which. The other owners hear of it
    /// once it has waited for a while, since what is kept empty serves nobody.
    pub(super) fn keep_for(
        &self,
        now: Micros,
        k: &mut ReservationPlan,
        places: &mut [Place],
        j: &Job,
        age: Micros,
    ) -> (Vec<String>, Vec<Reservation>) {
        let s = &j.spec;
        let due = age >= DUE;
        // One gang at a time, and not where another owner's waits: several that each empty a few machines get
        // nowhere and keep all others out. On a large fleet several may, where what is in their way can be stopped,
        // or where they have waited for long: one after the other the last would wait for ever. Machines that
        // nothing less urgent may use anyway don't count.
        let several = due || j.footing == QuotaTier::NoGuarantee;
        let most = || {
            let would_do = places.iter().filter(|p| p.allowed(s)).count();
            if due { would_do / 8 } else { (would_do / 2).min(places.len() / 6) }
        };
        if k.kept > 0 && !(several && k.kept + s.tasks as usize <= most()) {
            return Default::default();
        }
        let inherited = if j.keeps.is_empty() { self.others.kept_before(now, s.room) } else { Vec::new() };
        let before = if j.keeps.is_empty() { &inherited } else { &j.keeps };
        let (names, open) = keep_places(places, s, j.footing, due, before, &k.taken);
        k.kept += open;
        let mut out = Vec::new();
        if age >= self.patience(s) {
            let asks = tier::preempting_priority(s.priority, j.footing);
            for machine in &names {
                let r =
                    |priority, evict| Reservation { machine: machine.clone(), priority, need: s.room, evict };
                out.push(r(s.priority, asks == s.priority));
                if due {
                    // Work of its own rank that came later must not slip in there any more.
                    out.push(r(s.priority + 1, false));
                    if asks < s.priority {
                        out.push(r(asks, true));
                    }
                }
            }
        }
        (names, out)
    }
}

/// What a placing pass has kept so far.
pub(super) struct ReservationPlan {
    /// Machines that other owners keep.
    taken: BTreeSet<String>,
    /// Machines kept from work that could have used them.
    kept: usize,
}

/// Keeps machines that a waiting gang could use from less urgent work, so that the room its tasks
/// need can come together: those kept already, if they will do, else those where the least has to
/// go. One that is `due` also keeps those where work runs that is no more urgent and that it may not stop. Nothing is
/// kept if the gang would not fit even then. Returns which, and how many of them other work could use.
pub(super) fn keep_places(
    places: &mut [Place],
    s: &JobSpec,
    footing: QuotaTier,
    due: bool,
    before: &[String],
    taken: &BTreeSet<String>,
) -> (Vec<String>, usize) {
    let mut zones: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    // What lies within a guarantee may have borrowed work of any rank stopped, borrowed work may not.
    // Guards against a gang that is overtaken for ever: later ones of its rank, which it may not stop, went to each
    // machine that came free while too few were without any. Once due it keeps those too; what is there runs out.
    let could = |p: &Place| match footing {
        QuotaTier::Beyond if due => p.free_in_time(s.priority % GUARANTEED),
        _ if due => p.free_for(s.priority + 1),
        QuotaTier::Beyond => p.free_for_borrowed(s.priority),
        _ => p.free_for(s.priority),
    };
    let usable = |p: &Place| {
        p.allowed(s)
            && (before.contains(&p.machine.name) || !taken.contains(&p.machine.name))
            && p.kept_for.is_none_or(|k| k <= s.priority)
            && could(p).holds(s.room)
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
            // Where there are guarantees, stopping costs more than an empty machine: those with the least on them.
            let stoppable = if s.priority < GUARANTEED { s.priority } else { 0 };
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
    let Some((_, _, at)) = best else { return (Vec::new(), 0) };
    let (mut names, mut open) = (Vec::new(), 0);
    for i in at {
        open += usize::from(places[i].kept_for.is_none_or(|k| k < s.priority));
        places[i].kept_for = places[i].kept_for.max(Some(s.priority));
        // A second gang must not count on the same room.
        places[i].take(s.room);
        names.push(places[i].machine.name.clone());
    }
    (names, open)
}

/// Homes that turned starts down of late. The owner beside a home sees at once what is free there, we see it later: where
/// that owner has work waiting itself, most of what we ask for is gone, and each refusal costs a round of messages.
#[derive(Debug, Default)]
pub(super) struct PlacementRefusals {
    /// Starts on machines, in order: whether each was taken.
    news: Vec<(String, bool)>,
    /// Per home, how many rounds of refusals there were without a start taken since, and until when it is left alone.
    homes: BTreeMap<usize, (u32, Micros)>,
}

/// How long a home is left alone at first, and the most doublings of that.
const LEFT_ALONE: Micros = Micros::from_millis(200);
const DOUBLINGS: u32 = 4;

impl PlacementRefusals {
    pub(super) fn note(&mut self, machine: &str, taken: bool) {
        self.news.push((machine.to_owned(), taken));
    }

    /// The homes to leave alone now: never our own.
    pub(super) fn current(&mut self, now: Micros, m: &Membership) -> Vec<usize> {
        for (machine, taken) in std::mem::take(&mut self.news) {
            let Some(home) = m.machine_leader(&machine).filter(|h| *h != m.me) else { continue };
            let (rounds, until) = self.homes.entry(home).or_insert((0, now));
            if taken {
                *rounds = 0;
            } else if now >= *until {
                *until = now + Micros(LEFT_ALONE.0 << *rounds);
                *rounds = (*rounds + 1).min(DOUBLINGS);
            }
        }
        self.homes.iter().filter(|(_, (_, until))| now < *until).map(|(h, _)| *h).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::peer::MachineStatus;

    fn machine(i: usize, zone: &str, busy: &[(u8, i64)]) -> MachineStatus {
        let total = Resources { cpus: 16_000, gpus: 0, memory: 64_000 };
        let by_priority: Vec<(u8, Resources)> =
            busy.iter().map(|(p, c)| (*p, Resources { cpus: *c, ..Resources::default() })).collect();
        MachineStatus {
            name: format!("i-{i:02}"),
            kind: "k".into(),
            zone: zone.into(),
            spot: false,
            standing: InventoryState::Known,
            open: true,
            notice: None,
            free: by_priority.iter().fold(total, |a, (_, r)| a - *r),
            total,
            by_priority,
            images: Vec::new(),
            busy: 0,
            idle: None,
            silent: None,
            tasks: Vec::new(),
        }
    }

    fn gang(tasks: u32, priority: u8) -> JobSpec {
        let raw = json!({"uid":"wk-1","breed":"b","herd":"t","gait":"group","rank":"idle","strides":tasks,"vcpus":15.0,
            "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":false,"rideS":1,
            "restS":0,"unsaddleS":0});
        JobSpec { priority, ..JobSpec::from_value(&raw).expect("valid") }
    }

    fn places(machines: &[MachineStatus]) -> Vec<Place<'_>> {
        let place =
            |d| Place { machine: d, free: d.free, unseen: Resources::default(), near: false, kept_for: None };
        machines.iter().map(place).collect()
    }

    fn reservation(machine: &str, priority: u8, evict: bool) -> Reservation {
        let need = Resources { cpus: 15_000, gpus: 0, memory: 1000 };
        Reservation { machine: machine.into(), priority, need, evict }
    }

    /// Two large gangs that hold half of what each needs would wait for one another for ever.
    #[test]
    fn a_gang_keeps_all_its_machines_or_none_and_none_of_another_owners() {
        let machines: Vec<MachineStatus> = (0..40).map(|i| machine(i, "a", &[(0, 4000)])).collect();
        let keep = |taken: usize| {
            let taken = (0..taken).map(|i| format!("i-{i:02}")).collect();
            keep_places(&mut places(&machines), &gang(24, 1), QuotaTier::NoGuarantee, false, &[], &taken).0
        };
        assert_eq!(keep(0).len(), 24);
        assert!(keep(16).iter().all(|n| n.as_str() >= "i-16") && keep(16).len() == 24);
        assert!(keep(17).is_empty(), "23 are left");
    }

    #[test]
    fn borrowed_gangs_do_not_count_on_what_they_may_not_stop() {
        let machines = [
            machine(0, "a", &[(1, 15_000)]),
            machine(1, "a", &[(0, 15_000)]),
            machine(2, "a", &[(10, 9000)]),
        ];
        let keep = |footing| {
            keep_places(&mut places(&machines), &gang(1, 11), footing, false, &[], &BTreeSet::new()).0
        };
        let keeps = |tasks, footing, due| {
            keep_places(&mut places(&machines), &gang(tasks, 11), footing, due, &[], &BTreeSet::new()).0.len()
        };
        let all = |tasks, footing| keeps(tasks, footing, false);
        assert_eq!(keep(QuotaTier::Within), ["i-02"], "where the least is on it");
        assert_eq!(
            (all(3, QuotaTier::Within), all(3, QuotaTier::Beyond), all(2, QuotaTier::Beyond)),
            (3, 0, 2)
        );
        assert_eq!(
            keeps(3, QuotaTier::Beyond, true),
            3,
            "what it may not stop runs out: it is not overtaken again"
        );
    }

    /// While a gang's new owner learns what the gang had running, small work would fill its machines.
    #[test]
    fn what_was_kept_before_a_takeover_stays_kept_for_a_while() {
        let mut o = OtherReservations::default();
        let now = Micros::from_millis(50_000);
        o.said.insert(1, (now, vec![reservation("i-1", 11, true), reservation("i-1", 12, false)]));
        o.inherit(&[reservation("i-2", 10, true)]);
        o.until = Some(now + INHERITED);
        o.inherit(&[]);
        assert_eq!(o.inherited["i-1"].0, 11, "the gang's own priority: it may go there itself");
        let need = reservation("", 0, false).need;
        assert_eq!(o.kept_before(now, need), ["i-1", "i-2"], "a second epoch at once changes nothing");
        assert!(o.kept_before(now, Resources::default()).is_empty(), "for gangs of such tasks only");
        assert!(o.kept_before(now + INHERITED, need).is_empty(), "not for ever");
    }
}
