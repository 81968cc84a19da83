//! Replication before effect: starts that a leader decides and carries out itself are told to another member, its replica,
//! before they go out; and what was heard of one that is there no more is told to the new leaders of its jobs.
//!
//! [`StartReplica`] owns what this controller tells, and what it holds for others. Who can't reach any replica puts on record
//! that it goes on without: for the rest of that epoch nobody's word about it counts, and its successor asks every machine.

use super::handoff::FORM;
use super::*;
use crate::job_shard::JobShard;
use crate::membership::{Membership, Ring};
use crate::peer::{ReplicatedItem, ReplicatedStarts, TaskKey};
use hazelsaddle_failover::start_replication::{ReplicationDelta, ReplicationReceiver, ReplicationSender};

/// Where it is put on record that a controller starts tasks without replication: its latest such epoch under its name.
pub(super) const PREFIX: &str = "unwitnessed/";
/// How long starts are held back for want of a replica.
const PATIENCE: Micros = Micros::from_millis(2000);
/// ReplicationDelta are gathered for so long before a replica is told: a start waits for its machine's heartbeat anyway, and a
/// frame costs more than what it says.
const GATHER: Micros = Micros::from_millis(100);
/// The next member is told what the others are not, unless it has said nothing for so long.
const FIRST_REPLICA_PATIENCE: Micros = Micros::from_millis(500);

/// Whether starts on our own machines need a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// No: there is nobody to be one, or somebody who would not understand.
    Off,
    /// Yes, until this epoch ends or it is on record that we go on without.
    Required,
    /// That is being put on record.
    RecordingExemption,
    /// It is on record.
    Exempt,
}

/// A controller that is there no more, as its replicas remember it: who has reported, and what.
#[derive(Default)]
struct LostController {
    reports: BTreeMap<usize, ReplicatedStarts>,
}

/// What all replicas of a controller know together.
struct CombinedStarts {
    /// The first epoch that it rests on: in none from there on may the controller have gone on without replication.
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
    told: ReplicationReceiver<ReplicatedItem>,
}

/// What is known of the epoch before the one that begins.
struct EndedEpoch {
    epoch: u64,
    /// Its members, by number and process.
    members: Vec<(usize, u64)>,
    /// Whether the new epoch follows it directly, and this process was a member.
    follows: bool,
    /// From which epoch on we have taken up every one, and in each of which starts had to be replicated.
    since: u64,
    /// What members told that are there no more, or all if it is not followed directly.
    streams: BTreeMap<usize, Stream>,
}

/// What we tell replicas, what we hold as one, and what new leaders are told.
pub(super) struct StartReplica {
    mode: Mode,
    outgoing: ReplicationSender<ReplicatedItem>,
    last_sent: Vec<Micros>,
    /// When somebody last said that it holds something, or when there was first something to hold.
    last_acknowledged: Micros,
    next_try: Micros,
    streams: Vec<Stream>,
    /// The epoch, and the processes that are its members.
    ring: (u64, Vec<(usize, u64)>),
    /// From which epoch on we have taken up every one, and in each of which every member read this form.
    since: u64,
    /// The newest form that each process reads, by what the store said of it.
    forms: BTreeMap<u64, u64>,
    /// Members of the epoch before that are there no more.
    lost: BTreeMap<usize, LostController>,
    /// Per controller, the latest epoch in which it started tasks without replication.
    exempt: BTreeMap<usize, u64>,
    /// Jobs that we accepted in this epoch in place of a leader that has not answered since: nobody can have started
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
            outgoing: ReplicationSender::default(),
            last_sent: vec![Micros(0); controllers],
            last_acknowledged: Micros(0),
            next_try: Micros(0),
            streams: (0..controllers).map(|_| Stream::default()).collect(),
            ring: (0, Vec::new()),
            since: 0,
            forms: BTreeMap::new(),
            lost: BTreeMap::new(),
            exempt: BTreeMap::new(),
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

    /// Whether in this epoch starts go out without replication, because a member is known not to understand.
    fn is_off(&self, me: usize) -> bool {
        let mut others = self.ring.1.iter().filter(|(n, _)| *n != me).peekable();
        others.peek().is_none() || others.any(|(_, boot)| self.forms.get(boot).is_some_and(|f| *f < FORM))
    }

    /// Whether a start may go out to one of our machines. One that another leader decided is known to that one too.
    pub(super) fn may_start(
        &self,
        m: &Membership,
        job_shard: &JobShard,
        key: &TaskKey,
        machine: &str,
    ) -> bool {
        match self.mode {
            Mode::Off | Mode::Exempt => true,
            Mode::Required | Mode::RecordingExemption => {
                m.job_leader(&key.job) != Some(m.me)
                    || job_shard
                        .replicated_start(machine, key)
                        .is_some_and(|item| self.outgoing.is_replicated(&item))
            }
        }
    }

    /// Whether starts on our own machines wait for a replica.
    pub(super) fn holds_back(&self) -> bool {
        matches!(self.mode, Mode::Required | Mode::RecordingExemption)
    }

    /// A job was accepted in this epoch in place of its leader; `waiting` are those whose leaders have not answered.
    pub(super) fn note_stand_in(&mut self, job: &str, waiting: &BTreeMap<String, Micros>) {
        self.accepted.retain(|id| waiting.contains_key(id));
        self.accepted.insert(job.to_owned());
    }

    /// Jobs of this epoch that need not wait, by what replicas reported.
    pub(super) fn taken(&self) -> usize {
        self.taken
    }

    /// Takes what another member has told; returns the number to say in answer.
    pub(super) fn receive(
        &mut self,
        from: usize,
        boot: u64,
        c: ReplicationDelta<ReplicatedItem>,
    ) -> Option<u64> {
        let epoch = self.ring.0;
        let of = self.streams.get_mut(from)?;
        if of.boot != boot {
            *of = Stream { boot, ..Stream::default() };
        }
        // The first word in an epoch is the whole set.
        if of.epoch != epoch && c.base_revision != 0 {
            return None;
        }
        let rev = of.told.apply(c)?;
        if of.epoch != epoch {
            of.epoch = epoch;
            of.members = self.ring.1.iter().map(|(n, _)| *n as u32).collect();
        }
        Some(rev)
    }

    /// Begins an epoch, with the processes that are its members; returns what is known of the one that ends. `own` is this
    /// process.
    fn begin_epoch(
        &mut self,
        now: Micros,
        own: (usize, u64),
        ring: (u64, Vec<(usize, u64)>),
        follows: bool,
    ) -> EndedEpoch {
        let new_epoch = ring.0;
        let me = own.0;
        let reads = |boot: &u64| self.forms.get(boot).is_some_and(|form| *form >= FORM);
        let all_read = self.ring.1.iter().all(|(number, boot)| *number == me || reads(boot));
        let (epoch, members) = std::mem::replace(&mut self.ring, ring);
        let follows = follows && epoch + 1 == new_epoch && members.contains(&own);
        // In an epoch in which not all read of them, starts may have gone out that nobody was told.
        if !follows || !all_read {
            self.since = new_epoch;
        }
        let since = if all_read { self.since } else { epoch + 1 };
        self.lost.clear();
        self.exempt.clear();
        self.taken = 0;
        // Starts that wait in the machine shards must not slip out before the replicas of this epoch have been told.
        self.mode = if self.is_off(me) { Mode::Off } else { Mode::Required };
        self.outgoing.restart(self.ring.1.iter().map(|(number, _)| *number).filter(|number| *number != me));
        self.last_sent.fill(Micros(0));
        self.last_acknowledged = now;
        let mut streams = BTreeMap::new();
        for (number, stream) in self.streams.iter_mut().enumerate() {
            // What a member told stays with us until it tells us anew: it may be gone before it does.
            if !follows || !self.ring.1.contains(&(number, stream.boot)) {
                streams.insert(number, std::mem::take(stream));
            }
        }
        EndedEpoch { epoch, members, follows, since, streams }
    }

    /// A replica reports what it holds of a controller that is there no more.
    pub(super) fn take_report(&mut self, from: usize, starts: ReplicatedStarts) {
        if starts.last_epoch + 1 == self.ring.0 && starts.members.contains(&(from as u32)) {
            self.lost.entry(starts.former_member as usize).or_default().reports.entry(from).or_insert(starts);
        }
    }

    /// What those who have reported `lost` know together; None while somebody who may hold something has not reported, or
    /// if what they heard is too old.
    fn combine_reports(&self, lost: usize) -> Option<CombinedStarts> {
        let reports = &self.lost.get(&lost)?.reports;
        let all_reported = |members: &[u32], since: u64| {
            let mut others =
                members.iter().map(|member| *member as usize).filter(|member| *member != lost).peekable();
            others.peek().is_some()
                && others
                    .all(|member| reports.get(&member).is_some_and(|report| report.adopted_since <= since))
        };
        let first = reports.values().next()?;
        if !all_reported(&first.members, first.last_epoch)
            || reports.values().any(|report| report.members != first.members)
        {
            return None;
        }
        // The latest epoch in which anybody heard of it. What it told in that one named all there was before; if nobody
        // heard of it in the one after, nothing was replicated there and, as starts had to be, nothing started. Further
        // back, its jobs may have been another's in between.
        let latest = reports.values().max_by_key(|report| report.last_contact_epoch)?;
        let fresh: Vec<String> =
            reports.values().flat_map(|report| report.accepted_jobs.iter().cloned()).collect();
        let heard = latest.last_contact_epoch > 0
            && latest.last_contact_epoch + 1 >= first.last_epoch
            && all_reported(&latest.last_contact_members, latest.last_contact_epoch);
        let mut combined = CombinedStarts {
            epoch: first.last_epoch,
            rings: vec![first.members.clone()],
            items: BTreeSet::new(),
        };
        if heard {
            let same =
                reports.values().filter(|report| report.last_contact_epoch == latest.last_contact_epoch);
            combined.items = same.flat_map(|report| report.items.iter().cloned()).collect();
            combined.epoch = latest.last_contact_epoch;
            combined.rings.push(latest.last_contact_members.clone());
        } else if latest.last_contact_epoch == first.last_epoch {
            return None;
        }
        combined.items.extend(fresh.into_iter().map(ReplicatedItem::Job));
        Some(combined)
    }
}

impl Controller {
    /// A new epoch has been taken up by the membership: what was heard of members that are there no more goes to the new
    /// leaders of their jobs, and who has just joined is told which machines are gone.
    pub(super) fn report_lost_controllers(&mut self, now: Micros, record: &EpochRecord, follows: bool) {
        let number = |name: &String| self.settings.members.iter().position(|member| member == name);
        let processes: Vec<(usize, u64)> =
            record.members.iter().filter_map(|(name, boot)| Some((number(name)?, *boot))).collect();
        let own = (self.settings.me, self.boot);
        let ended = self.start_replica.begin_epoch(now, own, (record.epoch, processes), follows);
        let mut fresh = std::mem::take(&mut self.start_replica.accepted);
        fresh.retain(|job| self.stand_ins.next_notice.contains_key(job));
        if !ended.follows {
            return;
        }
        let members = self.start_replica.ring.1.clone();
        for (to, _) in members.iter().filter(|process| !ended.members.contains(process)) {
            let gone = self.machine_shard.returned_machines_led_by(*to, &self.membership);
            self.handoff.pack_gone(now, *to, gone);
        }
        for (lost, boot) in ended.members.iter().filter(|process| !members.contains(process)) {
            self.report_lost_controller(now, &ended, (*lost, *boot), &fresh);
        }
    }

    fn report_lost_controller(
        &mut self,
        now: Micros,
        ended: &EndedEpoch,
        (lost, boot): (usize, u64),
        fresh: &BTreeSet<String>,
    ) {
        let none = Stream::default();
        let stream = ended.streams.get(&lost).filter(|stream| stream.boot == boot && stream.epoch > 0);
        let stream = stream.unwrap_or(&none);
        for to in self.membership.members.clone() {
            let theirs = |job: &str| self.membership.job_leader(job) == Some(to);
            let starts = ReplicatedStarts {
                former_member: lost as u32,
                last_epoch: ended.epoch,
                members: ended.members.iter().map(|(number, _)| *number as u32).collect(),
                last_contact_epoch: stream.epoch,
                last_contact_members: stream.members.clone(),
                adopted_since: ended.since,
                items: stream.told.items().filter(|item| theirs(job_of(item))).cloned().collect(),
                accepted_jobs: fresh.iter().filter(|job| theirs(job)).cloned().collect(),
            };
            if to == self.settings.me {
                self.start_replica.take_report(to, starts);
            } else {
                self.handoff.pack_replicated_starts(now, to, starts);
            }
        }
    }

    /// Where all replicas of one that is there no more have reported, its jobs need not wait for its machines.
    pub(super) fn use_replicated_starts(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for lost in self.start_replica.lost.keys().copied().collect::<Vec<_>>() {
            let Some(combined) = self.start_replica.combine_reports(lost) else { continue };
            self.start_replica.lost.remove(&lost);
            // It started tasks without replication: they don't know all.
            if self.start_replica.exempt.get(&lost).is_some_and(|epoch| *epoch >= combined.epoch) {
                continue;
            }
            let ring = |members: &Vec<u32>| {
                let members: Vec<usize> = members.iter().map(|&m| m as usize).collect();
                Ring::new(&self.settings.members, &members)
            };
            let rings: Vec<Ring> = combined.rings.iter().map(ring).collect();
            let helped = self.job_shard.apply_start_replicas(now, lost, &rings, &combined.items);
            let (epoch, items) = (combined.epoch, combined.items.len());
            tracing::info!(epoch, lost = %self.settings.members[lost], jobs = helped, items, "replicated starts adopted");
            self.start_replica.taken += helped;
        }
    }

    /// Tells the replicas what has changed, before it may have effect.
    pub(super) fn send_replicated_starts(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.speaks_for_epoch() || self.start_replica.mode == Mode::Exempt {
            return;
        }
        if self.start_replica.is_off(self.settings.me) {
            self.start_replica.mode = Mode::Off;
            return;
        }
        let due = self.replicas_due(now);
        if due.is_empty() {
            return;
        }
        // What the machine shards are to hear is noted here too.
        self.job_shard.has_changes_for(self.settings.me, &self.membership);
        for (item, there) in self.job_shard.take_replication_changes() {
            self.start_replica.outgoing.set(item, there);
        }
        let mut all_wait = true;
        for replica in due {
            all_wait &= self.start_replica.outgoing.awaits_acknowledgement(replica);
            self.send_replicated_starts_to(now, replica, out);
        }
        if !all_wait {
            self.start_replica.last_acknowledged = now;
        } else {
            self.ask_for_exemption_if_unanswered(now, out);
        }
    }

    /// Replicas that are to be told what is new, if anything is.
    fn replicas_due(&mut self, now: Micros) -> Vec<usize> {
        // One replica will do, and costs half of what two do: the next member by number, and all if that one is silent.
        let (me, controllers) = (self.settings.me, self.settings.members.len());
        let others = (1..controllers).map(|step| (me + step) % controllers);
        let others = others.filter(|peer| self.membership.members.contains(peer));
        let replica = &mut self.start_replica;
        let is_silent = now.since(replica.last_acknowledged) >= FIRST_REPLICA_PATIENCE;
        let asked: Vec<usize> = others.take(if is_silent { controllers } else { 1 }).collect();
        if let (false, [first]) = (is_silent, &asked[..])
            && !replica.outgoing.awaits_acknowledgement(*first)
        {
            (0..controllers)
                .filter(|peer| peer != first)
                .for_each(|peer| replica.outgoing.reset_replica(peer));
        }
        asked.into_iter().filter(|&peer| now.since(replica.last_sent[peer]) >= GATHER).collect()
    }

    fn send_replicated_starts_to(&mut self, now: Micros, peer: usize, out: &mut Vec<Effect>) {
        let replica = &self.start_replica;
        let repeats = replica.outgoing.awaits_acknowledgement(peer)
            && now.since(replica.last_sent[peer]) >= self.settings.digest;
        // It may have been replaced by an older version since the epoch began.
        if !(replica.outgoing.has_unsent(peer) || repeats) || !self.reads(peer, FORM) {
            return;
        }
        self.start_replica.last_sent[peer] = now;
        let delta = self.start_replica.outgoing.next_delta(peer);
        if let Some(ReplicationDelta { revision, base_revision, added, dropped }) = delta {
            let message = Message::ReplicateStarts { revision, base_revision, added, removed: dropped };
            self.send(now, peer, message, out);
        }
    }

    /// No replica has answered for long: puts on record that starts go out without.
    fn ask_for_exemption_if_unanswered(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let replica = &mut self.start_replica;
        if replica.mode != Mode::Required
            || now.since(replica.last_acknowledged) < PATIENCE
            || now < replica.next_try
            || !self.membership.is_leader(now)
        {
            return;
        }
        let epoch = self.membership.epoch;
        tracing::info!(epoch, "no replica answers: starting tasks without replication");
        replica.mode = Mode::RecordingExemption;
        let key = format!("{PREFIX}{}", self.settings.member);
        let transaction = Transaction {
            conditions: vec![self.fence()],
            puts: vec![(key, json!({"epoch": epoch}), None)],
            ..Transaction::default()
        };
        // It goes out whatever is left of the budget: without it this controller starts nothing on its machines.
        self.state_store.write_limiter.take(now, 1.0, 0.0);
        let pending = PendingStoreRequest::RecordUnreplicatedStarts { epoch };
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
    }

    /// A replica holds what that message said: starts that waited for it may go out.
    pub(super) fn apply_replicated(&mut self, now: Micros, from: usize, rev: u64) {
        self.start_replica.last_acknowledged = now;
        for item in self.start_replica.outgoing.acknowledge(from, rev) {
            if let ReplicatedItem::Start { machine, .. } = item {
                self.machine_shard.recheck_response(&machine);
            }
        }
    }

    /// It is on record, or not, that we start tasks without replication.
    pub(super) fn apply_unreplicated_starts(&mut self, now: Micros, epoch: u64, committed: bool) {
        if epoch != self.membership.epoch || self.start_replica.mode != Mode::RecordingExemption {
            return;
        }
        self.start_replica.mode = if committed { Mode::Exempt } else { Mode::Required };
        self.start_replica.next_try = now + Micros::from_millis(500);
        if committed {
            self.machine_shard.recheck_all_responses();
        }
    }

    /// The store says that a controller started tasks without replication in some epoch.
    pub(super) fn load_unreplicated_starts(&mut self, row: &KeyValue) {
        let name = row.key.strip_prefix(PREFIX);
        let number = name.and_then(|n| self.settings.members.iter().position(|m| m == n));
        let Some(number) = number else { return };
        match row.value.get("epoch").and_then(Value::as_u64) {
            Some(epoch) => {
                self.start_replica.exempt.insert(number, epoch);
            }
            None => {
                // What can't be read is taken for the worst.
                tracing::error!(key = %row.key, "unreadable record; its controller's replicas don't count");
                self.start_replica.exempt.insert(number, self.membership.epoch.saturating_sub(1));
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
