//! Witnesses: starts that their owner carries out itself are told to the other members before they go out, and what was
//! heard of one that is there no more is told to the new owners of its jobs.
//!
//! Who can't reach any witness puts on record that it goes on without: for the rest of that epoch nobody's word about it
//! counts, and its successor asks every machine.

use super::handover::FORM;
use super::*;
use crate::jobs::Owner;
use crate::peer::{TaskKey, Testimony, Vouched};
use crate::ring::{Membership, Ring};
use hazelsaddle_takeover::witness::{Changes, Heard, Told};

/// Where it is put on record that a controller goes on without witnesses: its latest such epoch under its name.
pub(super) const PREFIX: &str = "unwitnessed/";
/// How long starts are held back for want of a witness.
const PATIENCE: Micros = Micros::from_millis(2000);
/// Changes are gathered for so long before the witnesses are told.
const GATHER: Micros = Micros::from_millis(20);

/// Whether starts on our own machines need a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// No: there is nobody to be one, or somebody who would not understand.
    Off,
    /// Yes, until this epoch ends or it is on record that we go on without.
    On,
    /// That is being put on record.
    Asking,
    /// It is on record.
    Without,
}

/// One that is there no more, as its witnesses remember it.
struct Case {
    members: Vec<u32>,
    /// Who has spoken, and all that they said.
    spoken: BTreeSet<usize>,
    items: BTreeSet<Vouched>,
}

/// What we tell witnesses, what we have heard as one, and what new owners are told.
pub(super) struct Witness {
    mode: Mode,
    told: Told<Vouched>,
    last_told: Vec<Micros>,
    /// When somebody last said that it holds something, or when there was first something to hold.
    last_noted: Micros,
    next_try: Micros,
    /// Per controller, its process and what it has told us in this epoch.
    heard: Vec<(u64, Heard<Vouched>)>,
    /// The epoch, and the processes that are its members.
    ring: (u64, Vec<(usize, u64)>),
    /// Members of the epoch before that are there no more.
    cases: BTreeMap<usize, Case>,
    /// Per controller, the latest epoch in which it went on without witnesses.
    without: BTreeMap<usize, u64>,
    /// Jobs that we accepted in this epoch in place of an owner that has not answered since: nobody can have started
    /// them before it.
    accepted: BTreeSet<String>,
    taken: usize,
}

impl Witness {
    pub(super) fn new(controllers: usize) -> Witness {
        Witness {
            mode: Mode::Off,
            told: Told::default(),
            last_told: vec![Micros(0); controllers],
            last_noted: Micros(0),
            next_try: Micros(0),
            heard: (0..controllers).map(|_| (0, Heard::default())).collect(),
            ring: (0, Vec::new()),
            cases: BTreeMap::new(),
            without: BTreeMap::new(),
            accepted: BTreeSet::new(),
            taken: 0,
        }
    }

    /// Whether a start may go out to one of our machines. One that another owner decided is known to that one too.
    pub(super) fn may_go(&self, m: &Membership, owner: &Owner, key: &TaskKey, machine: &str) -> bool {
        match self.mode {
            Mode::Off | Mode::Without => true,
            Mode::On | Mode::Asking => {
                m.job_owner(&key.job) != Some(m.me)
                    || owner.vouched(machine, key).is_some_and(|item| self.told.witnessed(&item))
            }
        }
    }

    /// Whether starts on our own machines wait for a witness.
    pub(super) fn holds_back(&self) -> bool {
        matches!(self.mode, Mode::On | Mode::Asking)
    }

    /// A job was accepted in this epoch in place of its owner; `waiting` are those whose owners have not answered.
    pub(super) fn stood_in(&mut self, job: &str, waiting: &BTreeMap<String, Micros>) {
        self.accepted.retain(|id| waiting.contains_key(id));
        self.accepted.insert(job.to_owned());
    }

    /// Jobs of this epoch that need not wait, by the word of witnesses.
    pub(super) fn taken(&self) -> usize {
        self.taken
    }

    /// Takes what another member has told; returns the number to say in answer.
    pub(super) fn heard(&mut self, from: usize, boot: u64, c: Changes<Vouched>) -> Option<u64> {
        let of = self.heard.get_mut(from)?;
        if of.0 != boot {
            *of = (boot, Heard::default());
        }
        of.1.take(c)
    }

    /// A witness speaks of one that is there no more.
    pub(super) fn testified(&mut self, from: usize, t: Testimony) {
        if t.epoch + 1 != self.ring.0 || !t.members.contains(&(from as u32)) {
            return;
        }
        let case = self.cases.entry(t.of as usize).or_insert_with(|| Case {
            members: t.members.clone(),
            spoken: BTreeSet::new(),
            items: BTreeSet::new(),
        });
        if case.members == t.members && case.spoken.insert(from) {
            case.items.extend(t.items);
        }
    }
}

impl Node {
    /// A new epoch: what was heard of members that are there no more goes to the new owners of their jobs. Only the
    /// epoch directly before counts: later ones may have started more.
    pub(super) fn testify(&mut self, now: Micros, record: &EpochRecord, follows: bool) {
        let number = |name: &String| self.settings.members.iter().position(|m| m == name);
        let processes: Vec<(usize, u64)> =
            record.members.iter().filter_map(|(n, boot)| Some((number(n)?, *boot))).collect();
        let w = &mut self.witness;
        let (epoch, before) = std::mem::replace(&mut w.ring, (record.epoch, processes));
        w.cases.clear();
        w.without.clear();
        w.taken = 0;
        w.mode = Mode::Off;
        let mut fresh = std::mem::take(&mut w.accepted);
        fresh.retain(|id| self.standing_in.contains_key(id));
        let heard = w.heard.iter_mut().map(std::mem::take).collect::<Vec<_>>();
        let me = self.settings.me;
        if !follows || epoch + 1 != record.epoch || !before.contains(&(me, self.boot)) {
            return;
        }
        for (to, _) in self.witness.ring.1.clone().into_iter().filter(|p| !before.contains(p)) {
            let gone = self.home.gone_for(to, &self.membership);
            self.handover.pack_gone(now, to, gone);
        }
        let members: Vec<u32> = before.iter().map(|(n, _)| *n as u32).collect();
        let gone = before.iter().filter(|p| !self.witness.ring.1.contains(p)).copied().collect::<Vec<_>>();
        for (of, boot) in gone {
            for to in self.membership.members.clone() {
                let theirs = |job: &str| self.membership.job_owner(job) == Some(to);
                let told = heard.get(of).filter(|(b, _)| *b == boot).into_iter().flat_map(|(_, h)| h.items());
                let mut items: Vec<Vouched> = told.filter(|i| theirs(job_of(i))).cloned().collect();
                // The dead one never vouched for what it never knew. What it started on its own machines it told.
                items.extend(fresh.iter().filter(|id| theirs(id)).cloned().map(Vouched::Job));
                let t = Testimony { of: of as u32, epoch, members: members.clone(), items };
                if to == me {
                    self.witness.testified(me, t);
                } else {
                    self.handover.pack_testimony(now, to, t);
                }
            }
        }
    }

    /// Where all witnesses of one that is there no more have spoken, its jobs need not wait for its machines.
    pub(super) fn hear_witnesses(&mut self, now: Micros) {
        if !self.owner.loaded {
            return;
        }
        let w = &mut self.witness;
        let complete = |(of, c): (&usize, &mut Case)| {
            let all = c.members.iter().map(|&m| m as usize).filter(|m| m != of);
            all.clone().count() > 0 && all.clone().all(|m| c.spoken.contains(&m))
        };
        let epoch = w.ring.0.saturating_sub(1);
        let done: Vec<(usize, Case)> = w.cases.extract_if(.., |of, c| complete((of, c))).collect();
        for (of, case) in done {
            // It went on without witnesses: they don't know all.
            if self.witness.without.get(&of) == Some(&epoch) {
                continue;
            }
            let members: Vec<usize> = case.members.iter().map(|&m| m as usize).collect();
            let ring = Ring::new(&self.settings.members, &members);
            let helped = self.owner.witnessed(now, of, &ring, &case.items);
            let items = case.items.len();
            tracing::info!(epoch, of = %self.settings.members[of], jobs = helped, items, "witnesses heard");
            self.witness.taken += helped;
        }
    }

    /// Tells the witnesses what has changed, before it may have effect.
    pub(super) fn vouch(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let ready = self.load == Load::Done && self.membership.epoch > 0 && !self.membership.aside;
        if !ready || self.witness.mode == Mode::Without {
            return;
        }
        let others: Vec<usize> = self.membership.others().collect();
        if self.witness.mode == Mode::Off {
            if others.is_empty() || !others.iter().all(|&p| self.reads(p, FORM)) {
                return;
            }
            let w = &mut self.witness;
            w.mode = Mode::On;
            w.told.begin(others.iter().copied());
            w.last_told.fill(Micros(0));
            w.last_noted = now;
        }
        let due: Vec<usize> =
            others.into_iter().filter(|&p| now.since(self.witness.last_told[p]) >= GATHER).collect();
        if due.is_empty() {
            return;
        }
        // What the homes are to hear is noted here too.
        self.owner.has_news(self.settings.me, &self.membership);
        for (item, there) in self.owner.vouch_changes() {
            self.witness.told.set(item, there);
        }
        let mut waits = true;
        for p in due {
            let w = &mut self.witness;
            waits &= w.told.waits(p);
            let again = w.told.waits(p) && now.since(w.last_told[p]) >= self.settings.digest;
            // It may have been replaced by an older version since the epoch began.
            if !(w.told.has_news(p) || again) || !self.reads(p, FORM) {
                continue;
            }
            let w = &mut self.witness;
            w.last_told[p] = now;
            if let Some(Changes { rev, since, added, dropped }) = w.told.tell(p) {
                out.push(Effect::Send(
                    p,
                    self.envelope(now, p, Message::Vouch { rev, since, added, dropped }),
                ));
            }
        }
        let w = &mut self.witness;
        if !waits {
            w.last_noted = now;
        } else if w.mode == Mode::On
            && now.since(w.last_noted) >= PATIENCE
            && now >= w.next_try
            && self.membership.may_act(now)
        {
            tracing::info!(epoch = self.membership.epoch, "no witness answers: going on without");
            w.mode = Mode::Asking;
            let key = format!("{PREFIX}{}", self.settings.member);
            let value = json!({"epoch": self.membership.epoch});
            let c = Commit {
                conditions: vec![self.fence()],
                puts: vec![(key, value, None)],
                ..Commit::default()
            };
            // It goes out whatever is left of the budget: without it this controller starts nothing on its machines.
            self.writes.take(now, 1.0, 0.0);
            self.ask_store(Purpose::Unwitnessed(self.membership.epoch), StoreRequest::Commit(c), out);
        }
    }

    /// A witness holds what that message said: starts that waited for it may go out.
    pub(super) fn noted(&mut self, now: Micros, from: usize, rev: u64) {
        self.witness.last_noted = now;
        for item in self.witness.told.noted(from, rev) {
            if let Vouched::Start { machine, .. } = item {
                self.home.freshen(&machine);
            }
        }
    }

    /// It is on record, or not, that we go on without witnesses.
    pub(super) fn unwitnessed(&mut self, now: Micros, epoch: u64, done: bool) {
        if epoch != self.membership.epoch || self.witness.mode != Mode::Asking {
            return;
        }
        self.witness.mode = if done { Mode::Without } else { Mode::On };
        self.witness.next_try = now + Micros::from_millis(500);
        if done {
            self.home.freshen_all();
        }
    }

    /// The store says that a controller went on without witnesses in some epoch.
    pub(super) fn unwitnessed_on_record(&mut self, row: &Row) {
        let name = row.key.strip_prefix(PREFIX);
        let number = name.and_then(|n| self.settings.members.iter().position(|m| m == n));
        let Some(number) = number else { return };
        match row.value.get("epoch").and_then(Value::as_u64) {
            Some(epoch) => {
                self.witness.without.insert(number, epoch);
            }
            None => {
                // What can't be read is taken for the worst.
                tracing::error!(key = %row.key, "unreadable record; its controller's witnesses don't count");
                self.witness.without.insert(number, self.membership.epoch.saturating_sub(1));
            }
        }
    }
}

fn job_of(item: &Vouched) -> &str {
    match item {
        Vouched::Job(id) => id,
        Vouched::Start { key, .. } => &key.job,
    }
}
