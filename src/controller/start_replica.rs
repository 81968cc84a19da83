//! Witnesses: starts that their owner carries out itself are told to the other members before they go out, and what was
//! heard of one that is there no more is told to the new owners of its jobs.
//!
//! Who can't reach any witness puts on record that it goes on without: for the rest of that epoch nobody's word about it
//! counts, and its successor asks every machine.

use super::handoff::FORM;
use super::*;
use crate::job_shard::JobShard;
use crate::membership::{Membership, Ring};
use crate::peer::{ReplicatedItem, ReplicatedStarts, TaskKey};
use hazelsaddle_failover::start_replica::{Changes, ReceivedStarts, ReplicationUpdate};

/// Where it is put on record that a controller goes on without witnesses: its latest such epoch under its name.
pub(super) const PREFIX: &str = "unwitnessed/";
/// How long starts are held back for want of a witness.
const PATIENCE: Micros = Micros::from_millis(2000);
/// Changes are gathered for so long before a witness is told: a start waits for its machine's report anyway, and a
/// frame costs more than what it says.
const GATHER: Micros = Micros::from_millis(100);
/// The next member is told what the others are not, unless it has said nothing for so long.
const SECOND: Micros = Micros::from_millis(500);

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

/// One that is there no more, as its witnesses remember it: who has spoken, and what they said.
#[derive(Default)]
struct Case {
    spoken: BTreeMap<usize, ReplicatedStarts>,
}

/// What all who witnessed a controller know together.
struct Word {
    /// The first epoch that it rests on: in none from there on may the controller have gone on without witnesses.
    epoch: u64,
    /// The members of the epochs that it rests on. By each of them a job must be the controller's, and a machine.
    rings: Vec<Vec<u32>>,
    items: BTreeSet<ReplicatedItem>,
}

/// What another member has told us.
#[derive(Default)]
struct Stream {
    /// Its process.
    boot: u64,
    /// The epoch in which it last told us, and that epoch's members.
    epoch: u64,
    members: Vec<u32>,
    told: ReceivedStarts<ReplicatedItem>,
}

/// What we tell witnesses, what we have heard as one, and what new owners are told.
pub(super) struct StartReplica {
    mode: Mode,
    told: ReplicationUpdate<ReplicatedItem>,
    last_told: Vec<Micros>,
    /// When somebody last said that it holds something, or when there was first something to hold.
    last_noted: Micros,
    next_try: Micros,
    streams: Vec<Stream>,
    /// The epoch, and the processes that are its members.
    ring: (u64, Vec<(usize, u64)>),
    /// From which epoch on we have taken up every one, and in each of which every member read this form.
    since: u64,
    /// The newest form that each process reads, by what the store said of it.
    forms: BTreeMap<u64, u64>,
    /// Members of the epoch before that are there no more.
    cases: BTreeMap<usize, Case>,
    /// Per controller, the latest epoch in which it went on without witnesses.
    without: BTreeMap<usize, u64>,
    /// Jobs that we accepted in this epoch in place of an owner that has not answered since: nobody can have started
    /// them before it.
    accepted: BTreeSet<String>,
    taken: usize,
}

/// Processes whose form is remembered.
const FORMS: usize = 200;

impl StartReplica {
    pub(super) fn new(controllers: usize) -> StartReplica {
        StartReplica {
            mode: Mode::Off,
            told: ReplicationUpdate::default(),
            last_told: vec![Micros(0); controllers],
            last_noted: Micros(0),
            next_try: Micros(0),
            streams: (0..controllers).map(|_| Stream::default()).collect(),
            ring: (0, Vec::new()),
            since: 0,
            forms: BTreeMap::new(),
            cases: BTreeMap::new(),
            without: BTreeMap::new(),
            accepted: BTreeSet::new(),
            taken: 0,
        }
    }

    /// The store says which form a process reads; that never changes.
    pub(super) fn note_form(&mut self, boot: u64, form: u64) {
        if self.forms.len() >= FORMS {
            // Processes come with random numbers: which ones stay is chance, and a form that is not known costs a wait.
            self.forms.pop_first();
        }
        self.forms.insert(boot, form);
    }

    /// Whether in this epoch starts go out without witnesses, because a member is known not to understand.
    fn is_off(&self, me: usize) -> bool {
        let mut others = self.ring.1.iter().filter(|(n, _)| *n != me).peekable();
        others.peek().is_none() || others.any(|(_, boot)| self.forms.get(boot).is_some_and(|f| *f < FORM))
    }

    /// Whether a start may go out to one of our machines. One that another owner decided is known to that one too.
    pub(super) fn may_go(&self, m: &Membership, owner: &JobShard, key: &TaskKey, machine: &str) -> bool {
        match self.mode {
            Mode::Off | Mode::Without => true,
            Mode::On | Mode::Asking => {
                m.job_leader(&key.job) != Some(m.me)
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
    pub(super) fn heard(&mut self, from: usize, boot: u64, c: Changes<ReplicatedItem>) -> Option<u64> {
        let epoch = self.ring.0;
        let of = self.streams.get_mut(from)?;
        if of.boot != boot {
            *of = Stream { boot, ..Stream::default() };
        }
        // The first word in an epoch is the whole set.
        if of.epoch != epoch && c.since != 0 {
            return None;
        }
        let rev = of.told.take(c)?;
        if of.epoch != epoch {
            of.epoch = epoch;
            of.members = self.ring.1.iter().map(|(n, _)| *n as u32).collect();
        }
        Some(rev)
    }

    /// A witness speaks of one that is there no more.
    pub(super) fn testified(&mut self, from: usize, t: ReplicatedStarts) {
        if t.epoch + 1 == self.ring.0 && t.members.contains(&(from as u32)) {
            self.cases.entry(t.of as usize).or_default().spoken.entry(from).or_insert(t);
        }
    }

    /// What those who have spoken of `of` know together; None while somebody who may hold something has not spoken, or
    /// if what they heard is too old.
    fn together(&self, of: usize) -> Option<Word> {
        let spoken = &self.cases.get(&of)?.spoken;
        let all_spoke = |members: &[u32], since: u64| {
            let mut others = members.iter().map(|m| *m as usize).filter(|m| *m != of).peekable();
            others.peek().is_some() && others.all(|m| spoken.get(&m).is_some_and(|t| t.since <= since))
        };
        let first = spoken.values().next()?;
        if !all_spoke(&first.members, first.epoch) || spoken.values().any(|t| t.members != first.members) {
            return None;
        }
        // The latest epoch in which anybody heard of it. What it told in that one named all there was before; if nobody
        // heard of it in the one after, nothing was witnessed there and, as starts had to be, nothing started. Further
        // back, its jobs may have been another's in between.
        let latest = spoken.values().max_by_key(|t| t.heard_in)?;
        let fresh: Vec<String> = spoken.values().flat_map(|t| t.fresh.iter().cloned()).collect();
        let heard = latest.heard_in > 0
            && latest.heard_in + 1 >= first.epoch
            && all_spoke(&latest.heard_with, latest.heard_in);
        let mut word =
            Word { epoch: first.epoch, rings: vec![first.members.clone()], items: BTreeSet::new() };
        if heard {
            let same = spoken.values().filter(|t| t.heard_in == latest.heard_in);
            word.items = same.flat_map(|t| t.items.iter().cloned()).collect();
            word.epoch = latest.heard_in;
            word.rings.push(latest.heard_with.clone());
        } else if latest.heard_in == first.epoch {
            return None;
        }
        word.items.extend(fresh.into_iter().map(ReplicatedItem::Job));
        Some(word)
    }
}

impl Controller {
    /// A new epoch has been taken up by the membership: what was heard of members that are there no more goes to the new
    /// owners of their jobs, and who has just joined is told which machines are gone.
    pub(super) fn testify(&mut self, now: Micros, record: &EpochRecord, follows: bool) {
        let number = |name: &String| self.settings.members.iter().position(|m| m == name);
        let processes: Vec<(usize, u64)> =
            record.members.iter().filter_map(|(n, boot)| Some((number(n)?, *boot))).collect();
        let me = self.settings.me;
        let w = &mut self.start_replica;
        let all_read =
            w.ring.1.iter().all(|(n, boot)| *n == me || w.forms.get(boot).is_some_and(|f| *f >= FORM));
        let (epoch, before) = std::mem::replace(&mut w.ring, (record.epoch, processes));
        let follows = follows && epoch + 1 == record.epoch && before.contains(&(me, self.boot));
        if !follows {
            w.since = record.epoch;
        } else if !all_read {
            // In the epoch that ends, starts may have gone out that nobody was told.
            w.since = record.epoch;
        }
        let since = if all_read { w.since } else { epoch + 1 };
        w.cases.clear();
        w.without.clear();
        w.taken = 0;
        // Starts that wait in the homes must not slip out before the witnesses of this epoch have been told.
        w.mode = if w.is_off(me) { Mode::Off } else { Mode::On };
        w.told.begin(w.ring.1.iter().map(|(n, _)| *n).filter(|n| *n != me));
        w.last_told.fill(Micros(0));
        w.last_noted = now;
        let mut fresh = std::mem::take(&mut w.accepted);
        fresh.retain(|id| self.standing_in.contains_key(id));
        let gone: Vec<(usize, u64)> = before.iter().filter(|p| !w.ring.1.contains(p)).copied().collect();
        let mut streams: BTreeMap<usize, Stream> = BTreeMap::new();
        for (n, s) in w.streams.iter_mut().enumerate() {
            // What a member told stays with us until it tells us anew: it may be gone before it does.
            if !follows || !w.ring.1.contains(&(n, s.boot)) {
                streams.insert(n, std::mem::take(s));
            }
        }
        if !follows {
            return;
        }
        for (to, _) in self.start_replica.ring.1.clone().into_iter().filter(|p| !before.contains(p)) {
            let gone = self.machine_shard.gone_for(to, &self.membership);
            self.handoff.pack_gone(now, to, gone);
        }
        let members: Vec<u32> = before.iter().map(|(n, _)| *n as u32).collect();
        let none = Stream::default();
        for (of, boot) in gone {
            let s = streams.get(&of).filter(|s| s.boot == boot && s.epoch > 0).unwrap_or(&none);
            for to in self.membership.members.clone() {
                let theirs = |job: &str| self.membership.job_leader(job) == Some(to);
                let t = ReplicatedStarts {
                    of: of as u32,
                    epoch,
                    members: members.clone(),
                    heard_in: s.epoch,
                    heard_with: s.members.clone(),
                    since,
                    items: s.told.items().filter(|i| theirs(job_of(i))).cloned().collect(),
                    fresh: fresh.iter().filter(|id| theirs(id)).cloned().collect(),
                };
                if to == me {
                    self.start_replica.testified(me, t);
                } else {
                    self.handoff.pack_testimony(now, to, t);
                }
            }
        }
    }

    /// Where all witnesses of one that is there no more have spoken, its jobs need not wait for its machines.
    pub(super) fn hear_witnesses(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for of in self.start_replica.cases.keys().copied().collect::<Vec<_>>() {
            let Some(word) = self.start_replica.together(of) else { continue };
            self.start_replica.cases.remove(&of);
            // It went on without witnesses: they don't know all.
            if self.start_replica.without.get(&of).is_some_and(|w| *w >= word.epoch) {
                continue;
            }
            let ring = |members: &Vec<u32>| {
                let members: Vec<usize> = members.iter().map(|&m| m as usize).collect();
                Ring::new(&self.settings.members, &members)
            };
            let rings: Vec<Ring> = word.rings.iter().map(ring).collect();
            let helped = self.job_shard.witnessed(now, of, &rings, &word.items);
            let (epoch, items) = (word.epoch, word.items.len());
            tracing::info!(epoch, of = %self.settings.members[of], jobs = helped, items, "witnesses heard");
            self.start_replica.taken += helped;
        }
    }

    /// Tells the witnesses what has changed, before it may have effect.
    pub(super) fn vouch(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.takes_part() || self.start_replica.mode == Mode::Without {
            return;
        }
        if self.start_replica.is_off(self.settings.me) {
            self.start_replica.mode = Mode::Off;
            return;
        }
        // One witness will do, and costs half of what two do: the next member by number, and all if that one is silent.
        let n = self.settings.members.len();
        let others =
            (1..n).map(|i| (self.settings.me + i) % n).filter(|p| self.membership.members.contains(p));
        let silent = now.since(self.start_replica.last_noted) >= SECOND;
        let asked = others.take(if silent { n } else { 1 });
        let asked: Vec<usize> = asked.collect();
        if let (false, [first]) = (silent, &asked[..])
            && !self.start_replica.told.waits(*first)
        {
            (0..n).filter(|p| p != first).for_each(|p| self.start_replica.told.forget(p));
        }
        let due: Vec<usize> =
            asked.into_iter().filter(|&p| now.since(self.start_replica.last_told[p]) >= GATHER).collect();
        if due.is_empty() {
            return;
        }
        // What the homes are to hear is noted here too.
        self.job_shard.has_news(self.settings.me, &self.membership);
        for (item, there) in self.job_shard.vouch_changes() {
            self.start_replica.told.set(item, there);
        }
        let mut waits = true;
        for p in due {
            let w = &mut self.start_replica;
            waits &= w.told.waits(p);
            let again = w.told.waits(p) && now.since(w.last_told[p]) >= self.settings.digest;
            // It may have been replaced by an older version since the epoch began.
            if !(w.told.has_news(p) || again) || !self.reads(p, FORM) {
                continue;
            }
            let w = &mut self.start_replica;
            w.last_told[p] = now;
            if let Some(Changes { rev, since, added, dropped }) = w.told.tell(p) {
                out.push(Effect::Send(
                    p,
                    self.envelope(
                        now,
                        p,
                        Message::ReplicateStarts {
                            revision: rev,
                            base_revision: since,
                            added,
                            removed: dropped,
                        },
                    ),
                ));
            }
        }
        let w = &mut self.start_replica;
        if !waits {
            w.last_noted = now;
        } else if w.mode == Mode::On
            && now.since(w.last_noted) >= PATIENCE
            && now >= w.next_try
            && self.membership.is_leader(now)
        {
            tracing::info!(epoch = self.membership.epoch, "no witness answers: going on without");
            w.mode = Mode::Asking;
            let key = format!("{PREFIX}{}", self.settings.member);
            let value = json!({"epoch": self.membership.epoch});
            let c = Transaction {
                conditions: vec![self.fence()],
                puts: vec![(key, value, None)],
                ..Transaction::default()
            };
            // It goes out whatever is left of the budget: without it this controller starts nothing on its machines.
            self.writes.take(now, 1.0, 0.0);
            self.ask_store(
                PendingStoreRequest::Unwitnessed(self.membership.epoch),
                StoreRequest::Transaction(c),
                out,
            );
        }
    }

    /// A witness holds what that message said: starts that waited for it may go out.
    pub(super) fn noted(&mut self, now: Micros, from: usize, rev: u64) {
        self.start_replica.last_noted = now;
        for item in self.start_replica.told.noted(from, rev) {
            if let ReplicatedItem::Start { machine, .. } = item {
                self.machine_shard.freshen(&machine);
            }
        }
    }

    /// It is on record, or not, that we go on without witnesses.
    pub(super) fn unwitnessed(&mut self, now: Micros, epoch: u64, done: bool) {
        if epoch != self.membership.epoch || self.start_replica.mode != Mode::Asking {
            return;
        }
        self.start_replica.mode = if done { Mode::Without } else { Mode::On };
        self.start_replica.next_try = now + Micros::from_millis(500);
        if done {
            self.machine_shard.freshen_all();
        }
    }

    /// The store says that a controller went on without witnesses in some epoch.
    pub(super) fn unwitnessed_on_record(&mut self, row: &KeyValue) {
        let name = row.key.strip_prefix(PREFIX);
        let number = name.and_then(|n| self.settings.members.iter().position(|m| m == n));
        let Some(number) = number else { return };
        match row.value.get("epoch").and_then(Value::as_u64) {
            Some(epoch) => {
                self.start_replica.without.insert(number, epoch);
            }
            None => {
                // What can't be read is taken for the worst.
                tracing::error!(key = %row.key, "unreadable record; its controller's witnesses don't count");
                self.start_replica.without.insert(number, self.membership.epoch.saturating_sub(1));
            }
        }
    }
}

fn job_of(item: &ReplicatedItem) -> &str {
    match item {
        ReplicatedItem::Job(id) => id,
        ReplicatedItem::Start { key, .. } => &key.job,
    }
}
