//! The home side of machines: their reports, sessions and leases, what may be started on them,
//! and the commands they are given.

use crate::config::settings::Settings;
use crate::membership::Membership;
use crate::peer::{
    DesiredAction, DesiredState, DesiredTask, InventoryState, MachineStatus, MachineStatusDelta,
    ObservedTask, TaskExit, TaskKey, TaskPhase,
};
use crate::units::{Micros, Resources};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod agent_lease;
mod fencing_probe;
mod handoff;
mod owner_liveness;

pub(crate) use agent_lease::ANSWER;
pub use fencing_probe::FencingProbe;
use owner_liveness::{OwnerBasis, OwnerLiveness};

/// A worker's report.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "stall")]
    pub machine: String,
    /// Where it takes direct commands.
    #[serde(default)]
    pub addr: String,
    /// Its type.
    #[serde(rename = "stallKind")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed", default)]
    pub spot: bool,
    /// The session.
    #[serde(rename = "ride")]
    pub session: u64,
    /// Grows with each message of a session.
    #[serde(rename = "hoofbeat")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "rein")]
    pub token: u64,
    /// Seconds until the cloud takes it.
    #[serde(rename = "whistleS", default)]
    pub notice_s: Option<f64>,
    /// Its tasks.
    #[serde(rename = "strides", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// A task in a report.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct HeartbeatTask {
    /// `job/number`.
    #[serde(rename = "stride")]
    pub task: String,
    /// Which start.
    #[serde(rename = "mount")]
    pub attempt: u64,
    /// Where it stands.
    #[serde(rename = "stance")]
    pub state: String,
    /// Why it ended.
    #[serde(rename = "cause", default)]
    pub why: Option<String>,
    /// Whether it saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

impl HeartbeatTask {
    fn read(&self) -> Option<(TaskKey, TaskPhase)> {
        let (job, index) = self.task.rsplit_once('/')?;
        let key = TaskKey { job: job.into(), index: index.parse().ok()?, attempt: self.attempt };
        let phase = match self.state.as_str() {
            "pulling" => TaskPhase::Fetching,
            "waiting" => TaskPhase::Waiting,
            "running" => TaskPhase::Running,
            "flushing" => TaskPhase::Saving,
            "ended" => TaskPhase::Exited(match self.why.as_deref() {
                Some("done") => TaskExit::Done,
                Some("stopped") => TaskExit::Stopped(self.saved == Some(true)),
                Some("peers") => TaskExit::Peers,
                Some("alone") => TaskExit::Alone,
                Some("no_room") => TaskExit::NoRoom,
                Some("busy") => TaskExit::Busy,
                Some("unknown") => TaskExit::Unknown,
                _ => TaskExit::Error,
            }),
            _ => return None,
        };
        Some((key, phase))
    }
}

/// The answer to a report.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct HeartbeatResponse {
    /// The token.
    #[serde(rename = "rein")]
    pub token: u64,
    /// What to do, in order.
    #[serde(rename = "calls")]
    pub commands: Vec<Command>,
}

/// One command to a worker.
#[derive(Serialize, Clone, Debug, PartialEq)]
pub struct Command {
    /// `run`, `kill` or `forget`.
    #[serde(rename = "call")]
    pub op: &'static str,
    /// `job/number`.
    #[serde(rename = "stride")]
    pub task: String,
    /// Which start.
    #[serde(rename = "mount")]
    pub attempt: u64,
    /// Seconds to save.
    #[serde(rename = "cooldownS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

impl Command {
    fn new(op: &'static str, key: &TaskKey, grace: Option<Micros>) -> Command {
        Command {
            op,
            task: format!("{}/{}", key.job, key.index),
            attempt: key.attempt,
            grace_s: grace.map(Micros::secs),
        }
    }
}

/// Most starts in one answer, so that no line of it nears 64 KiB.
const STARTS_AN_ANSWER: usize = 200;
/// Names of returned machines remembered.
const RETURNED: usize = 5000;
/// Images remembered a machine.
const IMAGES: usize = 32;
/// A machine whose reports have not shown the epoch's token so often hears nobody, and gets no tasks: the answer to the
/// first of them brought it.
const UNSHOWN: u32 = 3;
/// Most commands in one answer.
const COMMANDS_AN_ANSWER: usize = 500;

#[derive(Clone, Debug)]
struct Entry {
    /// None until the owner has said what the task takes.
    room: Option<Resources>,
    priority: u8,
    image: u64,
    phase: TaskPhase,
    want: Option<DesiredAction>,
    /// The report that the start was answered to.
    sent_to: (u64, u64),
    /// How long its machine may be answered on its owner's behalf.
    standpoint: OwnerBasis,
}

impl Entry {
    fn on_machine(&self) -> bool {
        !matches!(self.phase, TaskPhase::Held | TaskPhase::Queued)
    }
    fn alive(&self) -> bool {
        !matches!(self.phase, TaskPhase::Exited(_))
    }
}

/// Whether the store has a machine's name, so that after a takeover it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    No,
    Asked,
    Yes,
}

#[derive(Clone, Debug)]
struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    addr: String,
    standing: InventoryState,
    record: Record,
    last: (u64, u64),
    /// When the last report came; for one that never reported, when it became ours.
    heard_at: Micros,
    reported: bool,
    /// While its tasks are not known: when at the latest anybody else can have answered it. None: as the present
    /// epoch says. One that stays ours keeps the word of the epoch in which it became ours, or its lease would
    /// begin anew with each.
    answered: Option<Micros>,
    /// How often it was asked directly in this epoch, and when last.
    greeted: (u8, Micros),
    /// Sessions up to this one have certainly ended.
    ended: u64,
    /// The epoch as whose home we first can have answered it since others last could.
    ours_from: u64,
    /// When its latest report came, if that shows that it has taken no answer of ours.
    unanswered: Option<Micros>,
    /// Reports in a row that do not show the token of the epoch they came in.
    unshown: u32,
    /// Answers with starts that were lost in a row, and until when it gets none for that reason.
    answers_lost: u32,
    shut_until: Micros,
    notice_at: Option<Micros>,
    entries: BTreeMap<TaskKey, Entry>,
    draining: bool,
    idle_since: Option<Micros>,
    /// Whether it took new tasks when that was last looked at.
    was_open: bool,
    /// Images that tasks have run from, the latest last.
    images: Vec<u64>,
    /// The change that it was last touched by.
    version: u64,
}

/// Which machines changed, in order, so that a digest costs as much as what changed since the last
/// and not as much as the fleet.
#[derive(Default)]
struct Changes {
    seq: u64,
    by_seq: BTreeMap<u64, String>,
    /// Changed since the answers held back were last looked at.
    fresh: BTreeSet<String>,
}

impl Changes {
    fn touch(&mut self, name: &str, version: &mut u64) {
        self.by_seq.remove(version);
        self.seq += 1;
        *version = self.seq;
        self.by_seq.insert(self.seq, name.to_owned());
        self.fresh.insert(name.to_owned());
    }
}

/// What the store keeps of a machine.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineRecord {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes direct commands.
    pub addr: String,
}

/// What to do with a report.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is the machine's latest; `orders` gives the answer.
    Taken,
    /// The report is out of date: a newer one has been taken.
    Stale,
    /// The worker has seen a newer token than ours.
    Deposed,
}

/// All that a controller knows as the home of machines.
pub struct MachineShard {
    worker_lease: Micros,
    machines: BTreeMap<String, Machine>,
    /// Starts that were decided on once, accepted or refused. A start is never decided on twice:
    /// the owner may have placed the task elsewhere since.
    decided: BTreeMap<TaskKey, usize>,
    /// Latest message of each owner.
    revs: Vec<u64>,
    changes: Changes,
    /// A machine that has been silent for this long may be dead.
    patience: Micros,
    next_tick: Micros,
    /// Machines that the cloud has taken back, of any home, the newest names. The roll's pages of a
    /// controller that is down name them on, and a new epoch must not wait for them.
    returned: BTreeSet<String>,
    /// What owners want of starts on machines that have yet to say what they hold. A wish is said only
    /// once, and a machine's first report in an epoch may come after it.
    early: BTreeMap<String, BTreeMap<TaskKey, DesiredTask>>,
    /// From when on nobody else can be answering workers, by what this epoch says.
    older_silent: Micros,
    reach: OwnerLiveness,
    /// The epoch taken up; 0 before the first.
    epoch: u64,
}

impl MachineShard {
    /// Knows nothing yet.
    pub fn new(s: &Settings) -> MachineShard {
        MachineShard {
            worker_lease: s.worker_lease,
            machines: BTreeMap::new(),
            decided: BTreeMap::new(),
            revs: vec![0; s.members.len()],
            changes: Changes::default(),
            patience: Micros(s.report.0 * 5 / 2 + 500_000),
            next_tick: Micros(0),
            returned: BTreeSet::new(),
            early: BTreeMap::new(),
            older_silent: Micros(0),
            reach: OwnerLiveness::new(s),
            epoch: 0,
        }
    }

    /// Takes up a new epoch. A machine stays known only if the epoch follows directly and it was
    /// ours before: then nobody else can have commanded it. Queued starts of jobs that changed
    /// owner are dropped, since the new owner hasn't asked for them.
    pub fn adopt(
        &mut self,
        now: Micros,
        m: &Membership,
        follows: bool,
        owner_before: impl Fn(&str) -> Option<usize>,
    ) {
        self.machines.retain(|name, _| m.machine_leader(name) == Some(m.me));
        self.early.clear();
        // Numbers never go back, not even over a restart, since the epoch is their head. Everything
        // counts as changed: whoever holds nothing of this epoch gets all.
        self.changes.by_seq.clear();
        self.changes.seq = self.changes.seq.max(m.epoch << 32);
        self.next_tick = Micros(0);
        for (name, x) in &mut self.machines {
            self.changes.touch(name, &mut x.version);
            x.greeted = (0, Micros(0));
            // What was being written for the last epoch fails, and its answer tells nobody.
            if x.record == Record::Asked {
                x.record = Record::No;
            }
            match (follows, x.standing) {
                (false, InventoryState::Known) => {
                    x.standing = InventoryState::Unconfirmed;
                    x.heard_at = now;
                }
                // Nobody but us can have answered it since the epoch before.
                (true, InventoryState::Unconfirmed) => x.answered = x.answered.or(Some(self.older_silent)),
                _ => {}
            }
            if !follows {
                x.answered = None;
                x.ours_from = m.epoch;
                x.unanswered = None;
            }
            x.entries
                .retain(|k, e| e.on_machine() || (follows && owner_before(&k.job) == m.job_leader(&k.job)));
            for (k, e) in &mut x.entries {
                e.standpoint.adopt(&self.reach, m.job_leader(&k.job), x.version);
            }
        }
        self.reach.adopt();
        if !follows {
            self.decided.clear();
        }
        self.older_silent = m.older_silent_at();
        self.epoch = m.epoch;
    }

    /// The store names a machine that had tasks once; it may still have.
    pub fn recorded(&mut self, now: Micros, name: &str, r: MachineRecord) {
        let x = self
            .machines
            .entry(name.into())
            .or_insert_with(|| Machine::new(now, self.epoch, r.kind, r.zone, r.spot, r.addr));
        x.record = Record::Yes;
        if self.returned.contains(name) {
            x.standing = InventoryState::Gone;
            x.entries.clear();
        }
        self.changes.touch(name, &mut x.version);
    }

    /// Where some of the machines can be reached; others each time.
    pub fn addresses(&self, n: usize, now: Micros) -> Vec<String> {
        let known: Vec<&String> =
            self.machines.values().filter(|x| x.standing != InventoryState::Gone).map(|x| &x.addr).collect();
        let first = (now.0 / 1_000_000) as usize * n;
        (0..n.min(known.len())).map(|i| known[(first + i) % known.len()].clone()).collect()
    }

    /// Takes a report and says what to answer. `capacity` gives a type's room.
    pub fn report(&mut self, now: Micros, m: &Membership, r: &Heartbeat) -> Verdict {
        if r.token > m.epoch {
            return Verdict::Deposed;
        }
        // What comes late of a machine that the cloud has taken back must not bring it to life once it was dropped here.
        if self.returned.contains(&r.machine) {
            return Verdict::Stale;
        }
        let mut changed = !self.machines.contains_key(&r.machine);
        let epoch = self.epoch;
        let x = self.machines.entry(r.machine.clone()).or_insert_with(|| {
            Machine::new(now, epoch, r.kind.clone(), r.zone.clone(), r.spot, r.addr.clone())
        });
        // A delayed report tells nothing new, and its sender has given up on the answer. One of a session that is over
        // proves neither that the machine lives nor what is on it, though its number be the highest seen.
        if (r.session, r.seq) <= x.last || r.session <= x.ended || x.standing == InventoryState::Gone {
            return Verdict::Stale;
        }
        x.shows(now, r.token, m.epoch);
        x.last = (r.session, r.seq);
        x.heard_at = now;
        x.reported = true;
        changed |= x.notice_at.is_some() != r.notice_s.is_some();
        x.notice_at = r.notice_s.map(|s| now + Micros::from_secs(s));
        // Only a report that shows our token proves that no older controller's answer can still
        // be executed, hence that the list is complete.
        if r.token == m.epoch && x.standing == InventoryState::Unconfirmed {
            x.standing = InventoryState::Known;
            changed = true;
        }
        let early = self.early.get(&r.machine);
        // The change that this report will be, if it brings anything new.
        let next = self.changes.seq + 1;
        let mut listed = BTreeSet::new();
        for t in &r.tasks {
            let Some((key, phase)) = t.read() else {
                tracing::error!(machine = %r.machine, task = %t.task, state = %t.state, "unreadable task in a report");
                continue;
            };
            let e = x.entries.entry(key.clone()).or_insert_with(|| {
                changed = true;
                let w = early.and_then(|e| e.get(&key));
                let mut standpoint = OwnerBasis::new(m.job_leader(&key.job), next);
                if w.is_some() {
                    standpoint.named();
                }
                Entry {
                    room: w.map(|w| w.room),
                    priority: w.map_or(0, |w| w.priority),
                    image: w.map_or(0, |w| w.image),
                    phase,
                    want: w.map(|w| w.action),
                    sent_to: (0, 0),
                    standpoint,
                }
            });
            if e.phase == TaskPhase::InDoubt {
                x.answers_lost = 0;
            }
            changed |= e.phase != phase;
            e.phase = phase;
            listed.insert(key);
        }
        if x.standing == InventoryState::Known {
            self.early.remove(&r.machine);
        }
        if x.entries.iter().any(|(k, e)| {
            e.phase == TaskPhase::InDoubt && e.sent_to < (r.session, r.seq) && !listed.contains(k)
        }) {
            x.lost_answer(now, self.patience);
        }
        // What is not listed and was out is not there: the worker keeps one report in flight, so
        // this one was sent after it took or dropped the answer that carried the start.
        let before = x.entries.len();
        x.entries.retain(|k, e| {
            !e.on_machine()
                || listed.contains(k)
                || (e.phase == TaskPhase::InDoubt && e.sent_to >= (r.session, r.seq))
        });
        changed |= before != x.entries.len();
        let present: BTreeSet<u64> = x
            .entries
            .values()
            .filter(|e| {
                e.image != 0 && matches!(e.phase, TaskPhase::Running | TaskPhase::Waiting | TaskPhase::Saving)
            })
            .map(|e| e.image)
            .collect();
        for image in present {
            if !x.images.contains(&image) {
                x.images.push(image);
                changed = true;
            }
        }
        let surplus = x.images.len().saturating_sub(IMAGES);
        x.images.drain(..surplus);
        changed |= x.open(now, self.patience) != x.was_open;
        if changed {
            x.was_open = x.open(now, self.patience);
            self.changes.touch(&r.machine, &mut x.version);
        }
        Verdict::Taken
    }

    /// What to answer a machine's latest report with. A start in it counts as out from then on. One that `may_go`
    /// holds back stays queued.
    pub fn orders(
        &mut self,
        m: &Membership,
        name: &str,
        may_go: impl Fn(&TaskKey) -> bool,
    ) -> Option<HeartbeatResponse> {
        let x = self.machines.get_mut(name)?;
        let mut commands = Vec::new();
        for (k, e) in &x.entries {
            match (e.phase, e.want) {
                (TaskPhase::Exited(_), Some(DesiredAction::Forget)) => {
                    commands.push(Command::new("forget", k, None));
                }
                (
                    TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving,
                    Some(DesiredAction::Stop(g)),
                ) => {
                    commands.push(Command::new("kill", k, Some(g)));
                }
                _ => {}
            }
        }
        commands.truncate(COMMANDS_AN_ANSWER);
        if x.standing == InventoryState::Known && x.record == Record::Yes {
            let mut room = STARTS_AN_ANSWER;
            let last = x.last;
            for (k, e) in &mut x.entries {
                if room > 0 && e.phase == TaskPhase::Queued && e.want == Some(DesiredAction::Run) && may_go(k)
                {
                    room -= 1;
                    // No news for the owners: queued and in doubt are the same to them.
                    e.phase = TaskPhase::InDoubt;
                    e.sent_to = last;
                    commands.push(Command::new("run", k, None));
                }
            }
        }
        Some(HeartbeatResponse { token: m.epoch, commands })
    }

    /// Whether the answer to this machine's report should wait a little: it has room, there is
    /// nothing to tell it, and a start that is placed meanwhile goes out at once rather than with
    /// the next report.
    pub fn may_wait(
        &self,
        now: Micros,
        name: &str,
        capacity: impl Fn(&str) -> Option<Resources>,
        may_go: impl Fn(&TaskKey) -> bool,
    ) -> bool {
        self.machines.get(name).is_some_and(|x| {
            x.standing == InventoryState::Known
                && x.record == Record::Yes
                && x.open(now, self.patience)
                && capacity(&x.kind).and_then(|t| x.free(t)).is_some_and(|f| f.cpus > 0 && f.memory > 0)
                && !x.entries.iter().any(|(k, e)| match e.want {
                    Some(DesiredAction::Run) => e.phase == TaskPhase::Queued && may_go(k),
                    Some(DesiredAction::Stop(_)) => e.alive(),
                    Some(DesiredAction::Forget) => !e.alive(),
                    _ => false,
                })
        })
    }

    /// Takes what one owner wants. Returns false for a message that is out of date, or that builds
    /// on one which never came.
    pub fn wanted(
        &mut self,
        now: Micros,
        from: usize,
        w: &DesiredState,
        m: &Membership,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> bool {
        if self.revs.get(from).is_none_or(|&r| w.revision <= r || w.base_revision > r) {
            return false;
        }
        self.revs[from] = w.revision;
        if w.base_revision == 0 {
            self.forget_unlisted(from, &w.list, m);
        }
        for (machine, key) in &w.removed {
            self.decided.remove(key);
            if let Some(e) = self.early.get_mut(machine) {
                e.remove(key);
            }
            if m.job_leader(&key.job) == Some(from) {
                self.drop_entry(machine, key);
            }
        }
        for w in &w.list {
            if m.job_leader(&w.key.job) == Some(from) {
                self.want(now, from, w, &capacity);
            }
        }
        true
    }

    /// An owner's message was taken; it had heard our clock at `echo`, and takes account of our state numbered `seen`.
    pub fn said(&mut self, owner: usize, echo: Micros, seen: u64) {
        self.reach.said(owner, echo, seen);
    }
    /// Whether any owner has said something since this was last asked.
    pub fn heard_owners(&mut self) -> bool {
        self.reach.news()
    }
    /// Whether an answer may keep a machine's lease alive: not while the owner of one of its tasks may have told a user
    /// that the job is cancelled, so long ago that the task could not be stopped in time any more.
    pub fn in_reach(&self, now: Micros, name: &str) -> bool {
        self.machines.get(name).is_none_or(|x| self.reach.covers_all(now, x))
    }

    /// A whole state came: what it doesn't name is wanted no more.
    fn forget_unlisted(&mut self, from: usize, list: &[DesiredTask], m: &Membership) {
        let listed: BTreeSet<(&str, &TaskKey)> = list.iter().map(|w| (w.machine.as_str(), &w.key)).collect();
        for (name, x) in &mut self.machines {
            let before = x.entries.len();
            x.entries.retain(|k, e| {
                e.on_machine() || m.job_leader(&k.job) != Some(from) || listed.contains(&(name.as_str(), k))
            });
            if x.entries.len() != before {
                self.changes.touch(name, &mut x.version);
            }
            for (k, e) in &mut x.entries {
                if m.job_leader(&k.job) == Some(from) && !listed.contains(&(name.as_str(), k)) {
                    e.standpoint.unnamed(x.version);
                }
            }
        }
        for e in self.early.values_mut() {
            e.retain(|k, _| m.job_leader(&k.job) != Some(from));
        }
        let keys: BTreeSet<&TaskKey> = list.iter().map(|w| &w.key).collect();
        self.decided.retain(|k, &mut owner| owner != from || keys.contains(k));
    }

    /// A start that has not gone out is given up; one that has can't be called back by silence.
    fn drop_entry(&mut self, machine: &str, key: &TaskKey) {
        let Some(x) = self.machines.get_mut(machine) else { return };
        match x.entries.get_mut(key) {
            Some(e) if e.on_machine() => e.standpoint.unnamed(x.version),
            Some(_) => {
                x.entries.remove(key);
                self.changes.touch(machine, &mut x.version);
            }
            None => {}
        }
    }

    fn want(
        &mut self,
        now: Micros,
        from: usize,
        w: &DesiredTask,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) {
        if let Some(x) = self.machines.get_mut(&w.machine)
            && let Some(e) = x.entries.get_mut(&w.key)
        {
            e.standpoint.named();
            e.room = Some(w.room);
            e.priority = w.priority;
            e.image = w.image;
            if e.phase == TaskPhase::Held && w.action == DesiredAction::Run {
                e.phase = TaskPhase::Queued;
            }
            e.want = Some(w.action);
            // A held or queued start that is to be stopped never goes out.
            if !e.on_machine() && !matches!(w.action, DesiredAction::Hold | DesiredAction::Run) {
                x.entries.remove(&w.key);
            }
            self.changes.touch(&w.machine, &mut x.version);
            return;
        }
        if !matches!(w.action, DesiredAction::Hold | DesiredAction::Run) {
            if self.machines.get(&w.machine).is_none_or(|x| x.standing == InventoryState::Unconfirmed) {
                self.early.entry(w.machine.clone()).or_default().insert(w.key.clone(), w.clone());
            }
            return;
        }
        if self.decided.contains_key(&w.key) {
            return;
        }
        // Decided here and now, even if the machine isn't known yet: then the answer is no. The
        // next digest may say that the start isn't there, and the owner places the task
        // elsewhere, while a repeat of this very wish is still on its way.
        self.decided.insert(w.key.clone(), from);
        let Some(x) = self.machines.get_mut(&w.machine) else { return };
        if x.standing != InventoryState::Known {
            return;
        }
        let Some(total) = capacity(&x.kind) else { return };
        // One machine never holds two starts of one task.
        let twin = x.entries.iter().any(|(k, e)| k.job == w.key.job && k.index == w.key.index && e.alive());
        let fits = x.free(total).is_some_and(|f| f.holds(w.room));
        if x.open(now, self.patience) && fits && !twin {
            let phase = if w.action == DesiredAction::Run { TaskPhase::Queued } else { TaskPhase::Held };
            let mut standpoint = OwnerBasis::new(Some(from), self.changes.seq + 1);
            standpoint.named();
            let entry = Entry {
                room: Some(w.room),
                priority: w.priority,
                image: w.image,
                phase,
                want: Some(w.action),
                sent_to: (0, 0),
                standpoint,
            };
            x.entries.insert(w.key.clone(), entry);
            self.changes.touch(&w.machine, &mut x.version);
        } else {
            tracing::debug!(machine = %w.machine, job = %w.key.job, task = w.key.index, fits, twin, "start refused");
        }
    }

    /// The decider's word on machines to empty and machines that are gone.
    pub fn fleet(&mut self, drain: &BTreeSet<String>, gone: &[String]) {
        for (name, x) in &mut self.machines {
            let d = drain.contains(name);
            if d != x.draining {
                x.draining = d;
                x.was_open = false;
                self.changes.touch(name, &mut x.version);
            }
        }
        for name in gone {
            self.is_returned(name);
        }
    }

    /// The cloud has confirmed that it took this machine back.
    fn is_returned(&mut self, name: &str) {
        if self.returned.insert(name.to_owned()) && self.returned.len() > RETURNED {
            self.returned.pop_first();
        }
        if let Some(x) = self.machines.get_mut(name)
            && x.standing != InventoryState::Gone
        {
            x.standing = InventoryState::Gone;
            x.entries.clear();
            self.changes.touch(name, &mut x.version);
        }
    }

    /// Machines to put on record before anything is started on them.
    pub fn to_record(&mut self) -> Vec<(String, MachineRecord)> {
        let mut out = Vec::new();
        for (name, x) in &mut self.machines {
            if x.record == Record::No && x.reported && x.standing != InventoryState::Gone {
                x.record = Record::Asked;
                let r = MachineRecord {
                    kind: x.kind.clone(),
                    zone: x.zone.clone(),
                    spot: x.spot,
                    addr: x.addr.clone(),
                };
                out.push((name.clone(), r));
            }
        }
        out
    }
    /// A machine's name is on record.
    pub fn on_record(&mut self, name: &str) {
        if let Some(x) = self.machines.get_mut(name) {
            x.record = Record::Yes;
            self.changes.fresh.insert(name.to_owned());
        }
    }
    /// Whether a machine of ours is gone for good; None if it isn't ours or not known.
    pub fn is_gone(&self, name: &str) -> Option<bool> {
        self.machines.get(name).map(|x| x.standing == InventoryState::Gone)
    }

    /// Drops machines that are gone, once every controller in `acked` (the changes that each holds)
    /// has been told. What is no longer named is gone to them anyway.
    pub fn drop_gone(&mut self, acked: &[u64]) {
        let least = acked.iter().copied().min().unwrap_or(0);
        let by_seq = &mut self.changes.by_seq;
        self.machines.retain(|_, x| {
            let drop = x.standing == InventoryState::Gone && x.version <= least;
            if drop {
                by_seq.remove(&x.version);
            }
            !drop
        });
    }

    /// All machines count as changed: what the types can hold has become known.
    pub fn touch_all(&mut self) {
        for (name, x) in &mut self.machines {
            self.changes.touch(name, &mut x.version);
        }
    }

    /// A start on this machine need not be held back any more: an answer to it may go out.
    pub fn freshen(&mut self, name: &str) {
        self.changes.fresh.insert(name.to_owned());
    }

    /// The same for all machines.
    pub fn freshen_all(&mut self) {
        self.changes.fresh.extend(self.machines.keys().cloned());
    }

    /// Number of the latest change.
    pub fn seq(&self) -> u64 {
        self.changes.seq
    }

    /// Machines that changed since this was last asked.
    pub fn fresh(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changes.fresh)
    }

    /// The digest for one owner that holds the state `acked`: the machines that changed since, with
    /// those tasks that are the owner's. One that holds nothing of this epoch gets all machines.
    pub fn digest(
        &self,
        now: Micros,
        m: &Membership,
        to: usize,
        acked: u64,
        capacity: impl Fn(&str) -> Option<Resources>,
    ) -> MachineStatusDelta {
        let since = if acked > m.epoch << 32 && acked <= self.changes.seq { acked } else { 0 };
        let machines = self
            .changes
            .by_seq
            .range(since + 1..)
            .filter_map(|(_, name)| Some((name, self.machines.get(name)?)))
            .map(|(name, x)| {
                let total = capacity(&x.kind).unwrap_or_default();
                let free = x.free(total);
                MachineStatus {
                    name: name.clone(),
                    kind: x.kind.clone(),
                    zone: x.zone.clone(),
                    spot: x.spot,
                    standing: x.standing,
                    open: x.open(now, self.patience) && x.standing == InventoryState::Known && free.is_some(),
                    notice: x.notice_at.map(|t| t.since(now)),
                    free: free.unwrap_or_default(),
                    total,
                    by_priority: x.by_priority(),
                    images: x.images.clone(),
                    busy: x.entries.values().filter(|e| e.alive()).count() as u32,
                    idle: x.idle_since.filter(|_| x.entries.is_empty()).map(|t| now.since(t)),
                    silent: Some(now.since(x.heard_at)).filter(|&s| s >= self.patience),
                    tasks: x
                        .entries
                        .iter()
                        .filter(|(k, _)| m.job_leader(&k.job) == Some(to))
                        .map(|(k, e)| ObservedTask { key: k.clone(), phase: e.phase })
                        .collect(),
                }
            })
            .collect();
        let rev_seen = self.revs.get(to).copied().unwrap_or(0);
        MachineStatusDelta {
            sequence: self.changes.seq,
            base_sequence: since,
            revision_seen: rev_seen,
            machines,
        }
    }

    /// How many machines are known, and how many there are.
    pub fn counts(&self) -> (usize, usize) {
        let known = self.machines.values().filter(|x| x.standing == InventoryState::Known).count();
        (known, self.machines.len())
    }
}

impl Machine {
    fn new(now: Micros, ours_from: u64, kind: String, zone: String, spot: bool, addr: String) -> Machine {
        Machine {
            kind,
            zone,
            spot,
            addr,
            standing: InventoryState::Unconfirmed,
            record: Record::No,
            last: (0, 0),
            heard_at: now,
            reported: false,
            answered: None,
            greeted: (0, Micros(0)),
            ended: 0,
            ours_from,
            unanswered: None,
            unshown: 0,
            answers_lost: 0,
            shut_until: Micros(0),
            notice_at: None,
            entries: BTreeMap::new(),
            draining: false,
            idle_since: None,
            was_open: false,
            images: Vec::new(),
            version: 0,
        }
    }
    /// Free room; None while some task's needs are unknown.
    fn free(&self, total: Resources) -> Option<Resources> {
        let mut free = total;
        for e in self.entries.values().filter(|e| e.alive()) {
            free = free - e.room?;
        }
        Some(free)
    }
    /// Room taken by tasks of each priority that are not being stopped.
    fn by_priority(&self) -> Vec<(u8, Resources)> {
        let mut sums: BTreeMap<u8, Resources> = BTreeMap::new();
        for e in
            self.entries.values().filter(|e| e.alive() && !matches!(e.want, Some(DesiredAction::Stop(_))))
        {
            let sum = sums.entry(e.priority).or_default();
            *sum = *sum + e.room.unwrap_or_default();
        }
        sums.into_iter().collect()
    }
    /// Whether it takes new tasks. One that missed two reports may be dead.
    fn open(&self, now: Micros, patience: Micros) -> bool {
        let hears = self.unshown < UNSHOWN && now >= self.shut_until;
        !self.draining
            && self.notice_at.is_none()
            && self.reported
            && hears
            && now.since(self.heard_at) < patience
    }
}

#[cfg(test)]
mod tests;
