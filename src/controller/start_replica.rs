//! Replication before effect. A start that a controller both decides (as the job's leader) and carries out
//! (as the machine's leader) is replicated to another member before it is sent to the machine. When a
//! controller leaves the ring, its replicas report its starts to the new leaders of its jobs.
//!
//! [`StartReplica`] owns the starts that this controller replicates and those that it holds for others. A
//! controller that reaches no replica stores an exemption and starts tasks without replication. For the rest
//! of that epoch the replicas' reports about it don't count, and the new leaders wait for every machine
//! instead.

use super::handoff::HANDOFF_FORMAT_VERSION;
use super::*;
use crate::job_shard::JobShard;
use crate::membership::{Membership, Ring};
use crate::peer::{ReplicatedItem, ReplicatedStarts, TaskKey};
use hazelsaddle_failover::start_replication::{ReplicationDelta, ReplicationReceiver, ReplicationSender};

/// Key prefix of the exemptions: under a controller's name, the latest epoch in which it started tasks
/// without replication.
pub(super) const EXEMPTION_PREFIX: &str = "unwitnessed/";
/// How long starts wait for an acknowledgement before the exemption is requested.
const REPLICATION_TIMEOUT: Micros = Micros::from_millis(2000);
/// Changes are batched this long before they are sent to a replica: a start waits for its machine's heartbeat
/// anyway, and a frame costs more than its content.
const BATCHING_DELAY: Micros = Micros::from_millis(100);
/// If the first replica has been silent for this long, changes are sent to all members.
const FIRST_REPLICA_TIMEOUT: Micros = Micros::from_millis(500);

/// Whether starts on our own machines must be replicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Not required: there is no other member, or one that doesn't support replication.
    Off,
    /// Required until this epoch ends or an exemption is stored.
    Required,
    /// The exemption is being stored.
    RecordingExemption,
    /// The exemption is stored.
    Exempt,
}

/// The replicas' reports about a departed controller, by reporting controller.
#[derive(Default)]
struct DepartedController {
    reports: BTreeMap<usize, ReplicatedStarts>,
}

/// The combined reports of all replicas of a departed controller.
struct CombinedStarts {
    /// The first epoch that the reports depend on. If the controller had an exemption in this epoch or a
    /// later one, the reports don't count.
    epoch: u64,
    /// The members of the epochs that the reports depend on. They apply only to jobs and machines that the
    /// controller led in each of these epochs.
    rings: Vec<Vec<u32>>,
    items: BTreeSet<ReplicatedItem>,
}

/// The starts that this controller holds as a replica of another one.
#[derive(Default)]
struct HeldStarts {
    /// The other controller's boot ID.
    boot: u64,
    /// The epoch in which the other controller last replicated to us, and that epoch's members.
    epoch: u64,
    members: Vec<u32>,
    receiver: ReplicationReceiver<ReplicatedItem>,
}

/// What is known of the previous epoch when a new one begins.
struct EndedEpoch {
    epoch: u64,
    /// Its members: number and boot ID.
    members: Vec<(usize, u64)>,
    /// Whether the new epoch directly follows it and this process was a member of it.
    follows: bool,
    /// This controller has adopted every epoch from this one on, and starts had to be replicated in each of
    /// them.
    unbroken_since: u64,
    /// The held starts of members that have departed, or of all members if the new epoch doesn't directly
    /// follow.
    held_starts: BTreeMap<usize, HeldStarts>,
}

/// The starts that we replicate, those that we hold as a replica, and the reports about departed controllers.
pub(super) struct StartReplica {
    mode: Mode,
    outgoing: ReplicationSender<ReplicatedItem>,
    last_sent: Vec<Micros>,
    /// When a replica last acknowledged a change, or when there was nothing to acknowledge.
    last_acknowledged: Micros,
    next_exemption_request_at: Micros,
    held_starts: Vec<HeldStarts>,
    /// The epoch, and number and boot ID of its members.
    epoch_processes: (u64, Vec<(usize, u64)>),
    /// This controller has adopted every epoch from this one on, and every member supported replication in
    /// each of them.
    unbroken_since: u64,
    /// The newest format version that each process reads, from its member key.
    format_versions: BTreeMap<u64, u64>,
    /// Members of the previous epoch that have departed.
    departed: BTreeMap<usize, DepartedController>,
    /// By controller: the latest epoch in which it started tasks without replication.
    exemptions: BTreeMap<usize, u64>,
    /// Jobs that we accepted in this epoch on behalf of a leader that has not responded since. No task of
    /// them can have been started before.
    proxy_accepted: BTreeSet<String>,
    recovered_jobs: usize,
}

/// Maximum number of processes whose format version is remembered.
const MAX_REMEMBERED_PROCESSES: usize = 200;

impl StartReplica {
    pub(super) fn new(controllers: usize) -> StartReplica {
        StartReplica {
            mode: Mode::Off,
            outgoing: ReplicationSender::default(),
            last_sent: vec![Micros(0); controllers],
            last_acknowledged: Micros(0),
            next_exemption_request_at: Micros(0),
            held_starts: (0..controllers).map(|_| HeldStarts::default()).collect(),
            epoch_processes: (0, Vec::new()),
            unbroken_since: 0,
            format_versions: BTreeMap::new(),
            departed: BTreeMap::new(),
            exemptions: BTreeMap::new(),
            proxy_accepted: BTreeSet::new(),
            recovered_jobs: 0,
        }
    }

    /// Records the format version that a process reads, which never changes.
    pub(super) fn note_format_version(&mut self, boot: u64, version: u64) {
        if self.format_versions.len() >= MAX_REMEMBERED_PROCESSES {
            // Boot IDs are random, so an arbitrary process is forgotten. An unknown version only costs a
            // wait.
            self.format_versions.pop_first();
        }
        self.format_versions.insert(boot, version);
    }

    /// Whether starts need no replication in this epoch, because there is no other member or one that is
    /// known not to support it.
    fn is_replication_off(&self, me: usize) -> bool {
        let mut others = self.epoch_processes.1.iter().filter(|(number, _)| *number != me).peekable();
        others.peek().is_none()
            || others.any(|(_, boot)| {
                self.format_versions.get(boot).is_some_and(|version| *version < HANDOFF_FORMAT_VERSION)
            })
    }

    /// Whether a start may be sent to one of our machines. A start that another controller decided is known
    /// to that controller too.
    pub(super) fn can_start(
        &self,
        membership: &Membership,
        job_shard: &JobShard,
        key: &TaskKey,
        machine: &str,
    ) -> bool {
        match self.mode {
            Mode::Off | Mode::Exempt => true,
            Mode::Required | Mode::RecordingExemption => {
                membership.job_leader(&key.job) != Some(membership.me)
                    || job_shard
                        .replicated_start(machine, key)
                        .is_some_and(|item| self.outgoing.is_replicated(&item))
            }
        }
    }

    /// Whether starts on our own machines must wait for a replica's acknowledgement.
    pub(super) fn is_replication_required(&self) -> bool {
        matches!(self.mode, Mode::Required | Mode::RecordingExemption)
    }

    /// Records a job that was accepted in this epoch on behalf of its leader; `waiting` are the jobs whose
    /// leaders have not responded.
    pub(super) fn note_proxy_acceptance(&mut self, job: &str, waiting: &BTreeMap<String, Micros>) {
        self.proxy_accepted.retain(|id| waiting.contains_key(id));
        self.proxy_accepted.insert(job.to_owned());
    }

    /// Number of jobs in this epoch whose starts were recovered from replicas.
    pub(super) fn recovered_jobs(&self) -> usize {
        self.recovered_jobs
    }

    /// Applies a delta from another member; returns the revision to acknowledge.
    pub(super) fn receive(
        &mut self,
        from: usize,
        boot: u64,
        delta: ReplicationDelta<ReplicatedItem>,
    ) -> Option<u64> {
        let epoch = self.epoch_processes.0;
        let held = self.held_starts.get_mut(from)?;
        if held.boot != boot {
            *held = HeldStarts { boot, ..HeldStarts::default() };
        }
        // The first delta in an epoch must be the complete set.
        if held.epoch != epoch && delta.base_revision != 0 {
            return None;
        }
        let revision = held.receiver.apply(delta)?;
        if held.epoch != epoch {
            held.epoch = epoch;
            held.members = self.epoch_processes.1.iter().map(|(number, _)| *number as u32).collect();
        }
        Some(revision)
    }

    /// Begins an epoch with these members; returns what is known of the epoch that ends. `own` is this
    /// process.
    fn begin_epoch(
        &mut self,
        now: Micros,
        own: (usize, u64),
        processes: (u64, Vec<(usize, u64)>),
        follows: bool,
    ) -> EndedEpoch {
        let new_epoch = processes.0;
        let me = own.0;
        let supports_replication = |boot: &u64| {
            self.format_versions.get(boot).is_some_and(|version| *version >= HANDOFF_FORMAT_VERSION)
        };
        let all_support_replication =
            self.epoch_processes.1.iter().all(|(number, boot)| *number == me || supports_replication(boot));
        let (epoch, members) = std::mem::replace(&mut self.epoch_processes, processes);
        let follows = follows && epoch + 1 == new_epoch && members.contains(&own);
        // If not every member of an epoch supported replication, tasks may have been started without it.
        if !follows || !all_support_replication {
            self.unbroken_since = new_epoch;
        }
        let unbroken_since = if all_support_replication { self.unbroken_since } else { epoch + 1 };
        self.departed.clear();
        self.exemptions.clear();
        self.recovered_jobs = 0;
        // Starts that wait in the machine shards must not be sent before the replicas of this epoch have
        // acknowledged them.
        self.mode = if self.is_replication_off(me) { Mode::Off } else { Mode::Required };
        self.outgoing
            .restart(self.epoch_processes.1.iter().map(|(number, _)| *number).filter(|number| *number != me));
        self.last_sent.fill(Micros(0));
        self.last_acknowledged = now;
        let mut held_starts = BTreeMap::new();
        for (number, held) in self.held_starts.iter_mut().enumerate() {
            // Keep what a remaining member has replicated until it replicates again: it may depart before it
            // does.
            if !follows || !self.epoch_processes.1.contains(&(number, held.boot)) {
                held_starts.insert(number, std::mem::take(held));
            }
        }
        EndedEpoch { epoch, members, follows, unbroken_since, held_starts }
    }

    /// Records a replica's report about a departed controller.
    pub(super) fn record_report(&mut self, from: usize, starts: ReplicatedStarts) {
        if starts.last_epoch + 1 == self.epoch_processes.0 && starts.members.contains(&(from as u32)) {
            self.departed
                .entry(starts.former_member as usize)
                .or_default()
                .reports
                .entry(from)
                .or_insert(starts);
        }
    }

    /// Combines the reports about `departed`. None while a replica that may hold starts has not reported, or
    /// if the reports are too old.
    fn combine_reports(&self, departed: usize) -> Option<CombinedStarts> {
        let reports = &self.departed.get(&departed)?.reports;
        let all_reported = |members: &[u32], latest_adopted: u64| {
            let mut others =
                members.iter().map(|member| *member as usize).filter(|member| *member != departed).peekable();
            others.peek().is_some()
                && others.all(|member| {
                    reports.get(&member).is_some_and(|report| report.adopted_since <= latest_adopted)
                })
        };
        let first = reports.values().next()?;
        if !all_reported(&first.members, first.last_epoch)
            || reports.values().any(|report| report.members != first.members)
        {
            return None;
        }
        // The latest epoch in which any replica received starts from the controller. The set it replicated
        // then included all its earlier starts. If no replica received anything in the following epoch,
        // nothing was replicated in it and so nothing was started, as replication was required. Older epochs
        // don't count, since the jobs may have had other leaders in between.
        let latest = reports.values().max_by_key(|report| report.last_contact_epoch)?;
        let accepted_jobs: Vec<String> =
            reports.values().flat_map(|report| report.accepted_jobs.iter().cloned()).collect();
        let has_contact = latest.last_contact_epoch > 0
            && latest.last_contact_epoch + 1 >= first.last_epoch
            && all_reported(&latest.last_contact_members, latest.last_contact_epoch);
        let mut combined = CombinedStarts {
            epoch: first.last_epoch,
            rings: vec![first.members.clone()],
            items: BTreeSet::new(),
        };
        if has_contact {
            let reports_of_epoch =
                reports.values().filter(|report| report.last_contact_epoch == latest.last_contact_epoch);
            combined.items = reports_of_epoch.flat_map(|report| report.items.iter().cloned()).collect();
            combined.epoch = latest.last_contact_epoch;
            combined.rings.push(latest.last_contact_members.clone());
        } else if latest.last_contact_epoch == first.last_epoch {
            return None;
        }
        combined.items.extend(accepted_jobs.into_iter().map(ReplicatedItem::Job));
        Some(combined)
    }
}

impl Controller {
    /// Called when a new epoch has been adopted: reports the starts of departed members to the new leaders of
    /// their jobs, and sends members that have just joined the list of gone machines.
    pub(super) fn report_departed_controllers(&mut self, now: Micros, record: &EpochRecord, follows: bool) {
        let number_of = |name: &String| self.settings.members.iter().position(|member| member == name);
        let processes: Vec<(usize, u64)> =
            record.members.iter().filter_map(|(name, boot)| Some((number_of(name)?, *boot))).collect();
        let own = (self.settings.me, self.boot);
        let ended = self.start_replica.begin_epoch(now, own, (record.epoch, processes), follows);
        let mut accepted_jobs = std::mem::take(&mut self.start_replica.proxy_accepted);
        accepted_jobs.retain(|job| self.proxy_acceptances.next_notice_at.contains_key(job));
        if !ended.follows {
            return;
        }
        let members = self.start_replica.epoch_processes.1.clone();
        for (to, _) in members.iter().filter(|process| !ended.members.contains(process)) {
            let gone = self.machine_shard.returned_machines_led_by(*to, &self.membership);
            self.handoff.pack_gone(now, *to, gone);
        }
        for (departed, boot) in ended.members.iter().filter(|process| !members.contains(process)) {
            self.report_departed_controller(now, &ended, (*departed, *boot), &accepted_jobs);
        }
    }

    fn report_departed_controller(
        &mut self,
        now: Micros,
        ended: &EndedEpoch,
        (departed, boot): (usize, u64),
        accepted_jobs: &BTreeSet<String>,
    ) {
        let none = HeldStarts::default();
        let held = ended.held_starts.get(&departed).filter(|held| held.boot == boot && held.epoch > 0);
        let held = held.unwrap_or(&none);
        for to in self.membership.members.clone() {
            let is_led_by_receiver = |job: &str| self.membership.job_leader(job) == Some(to);
            let starts = ReplicatedStarts {
                former_member: departed as u32,
                last_epoch: ended.epoch,
                members: ended.members.iter().map(|(number, _)| *number as u32).collect(),
                last_contact_epoch: held.epoch,
                last_contact_members: held.members.clone(),
                adopted_since: ended.unbroken_since,
                items: held
                    .receiver
                    .items()
                    .filter(|item| is_led_by_receiver(job_of(item)))
                    .cloned()
                    .collect(),
                accepted_jobs: accepted_jobs.iter().filter(|job| is_led_by_receiver(job)).cloned().collect(),
            };
            if to == self.settings.me {
                self.start_replica.record_report(to, starts);
            } else {
                self.handoff.pack_replicated_starts(now, to, starts);
            }
        }
    }

    /// Jobs of a departed controller need not wait for its machines once all its replicas have reported.
    pub(super) fn use_replicated_starts(&mut self, now: Micros) {
        if !self.job_shard.loaded {
            return;
        }
        for departed in self.start_replica.departed.keys().copied().collect::<Vec<_>>() {
            let Some(combined) = self.start_replica.combine_reports(departed) else { continue };
            self.start_replica.departed.remove(&departed);
            // The controller started tasks without replication, so the reports may be incomplete.
            if self.start_replica.exemptions.get(&departed).is_some_and(|epoch| *epoch >= combined.epoch) {
                continue;
            }
            let ring_of = |members: &Vec<u32>| {
                let members: Vec<usize> = members.iter().map(|&m| m as usize).collect();
                Ring::new(&self.settings.members, &members)
            };
            let rings: Vec<Ring> = combined.rings.iter().map(ring_of).collect();
            let resolved_jobs = self.job_shard.apply_start_replicas(now, departed, &rings, &combined.items);
            let (epoch, items) = (combined.epoch, combined.items.len());
            tracing::info!(epoch, lost = %self.settings.members[departed], jobs = resolved_jobs, items, "replicated starts adopted");
            self.start_replica.recovered_jobs += resolved_jobs;
        }
    }

    /// Replicates new starts before they take effect.
    pub(super) fn send_replicated_starts(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.is_active_member() || self.start_replica.mode == Mode::Exempt {
            return;
        }
        if self.start_replica.is_replication_off(self.settings.me) {
            self.start_replica.mode = Mode::Off;
            return;
        }
        let due = self.replicas_due(now);
        if due.is_empty() {
            return;
        }
        // The call also records the starts that have yet to be sent to the machine shards.
        self.job_shard.has_changes_for(self.settings.me, &self.membership);
        for (item, is_present) in self.job_shard.take_replication_changes() {
            self.start_replica.outgoing.set(item, is_present);
        }
        let mut all_awaiting = true;
        for replica in due {
            all_awaiting &= self.start_replica.outgoing.awaits_acknowledgement(replica);
            self.send_replicated_starts_to(now, replica, out);
        }
        if !all_awaiting {
            self.start_replica.last_acknowledged = now;
        } else {
            self.ask_for_exemption_if_unanswered(now, out);
        }
    }

    /// The replicas to which changes are due.
    fn replicas_due(&mut self, now: Micros) -> Vec<usize> {
        // One replica is enough and costs half as much as two: the next member by number, or all members if
        // that one is silent.
        let (me, controllers) = (self.settings.me, self.settings.members.len());
        let others = (1..controllers).map(|step| (me + step) % controllers);
        let others = others.filter(|peer| self.membership.members.contains(peer));
        let replica = &mut self.start_replica;
        let is_silent = now.since(replica.last_acknowledged) >= FIRST_REPLICA_TIMEOUT;
        let selected: Vec<usize> = others.take(if is_silent { controllers } else { 1 }).collect();
        if let (false, [first]) = (is_silent, &selected[..])
            && !replica.outgoing.awaits_acknowledgement(*first)
        {
            (0..controllers)
                .filter(|peer| peer != first)
                .for_each(|peer| replica.outgoing.reset_replica(peer));
        }
        selected.into_iter().filter(|&peer| now.since(replica.last_sent[peer]) >= BATCHING_DELAY).collect()
    }

    fn send_replicated_starts_to(&mut self, now: Micros, peer: usize, out: &mut Vec<Effect>) {
        let replica = &self.start_replica;
        let repeats = replica.outgoing.awaits_acknowledgement(peer)
            && now.since(replica.last_sent[peer]) >= self.settings.digest;
        // The peer may have been replaced by an older version since the epoch began.
        if !(replica.outgoing.has_unsent(peer) || repeats)
            || !self.can_read_format(peer, HANDOFF_FORMAT_VERSION)
        {
            return;
        }
        self.start_replica.last_sent[peer] = now;
        let delta = self.start_replica.outgoing.next_delta(peer);
        if let Some(ReplicationDelta { revision, base_revision, added, dropped }) = delta {
            let message = Message::ReplicateStarts { revision, base_revision, added, removed: dropped };
            self.send(now, peer, message, out);
        }
    }

    /// If no replica has acknowledged for too long, requests the exemption to start tasks without
    /// replication.
    fn ask_for_exemption_if_unanswered(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let replica = &mut self.start_replica;
        if replica.mode != Mode::Required
            || now.since(replica.last_acknowledged) < REPLICATION_TIMEOUT
            || now < replica.next_exemption_request_at
            || !self.membership.is_leader(now)
        {
            return;
        }
        let epoch = self.membership.epoch;
        tracing::info!(epoch, "no replica acknowledges: starting tasks without replication");
        replica.mode = Mode::RecordingExemption;
        let key = format!("{EXEMPTION_PREFIX}{}", self.settings.member);
        let transaction = Transaction {
            conditions: vec![self.fencing_condition()],
            puts: vec![(key, json!({"epoch": epoch}), None)],
            ..Transaction::default()
        };
        // Sent even if the write budget is used up: without the exemption this controller starts nothing on
        // its machines.
        self.state_store.write_limiter.take(now, 1.0, 0.0);
        let pending = PendingStoreRequest::RecordUnreplicatedStarts { epoch };
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    /// Applies a replica's acknowledgement: starts that waited for it may be sent.
    pub(super) fn apply_replicated(&mut self, now: Micros, from: usize, revision: u64) {
        self.start_replica.last_acknowledged = now;
        for item in self.start_replica.outgoing.acknowledge(from, revision) {
            if let ReplicatedItem::Start { machine, .. } = item {
                self.machine_shard.recheck_response(&machine);
            }
        }
    }

    /// Applies the result of storing the exemption.
    pub(super) fn apply_unreplicated_starts(&mut self, now: Micros, epoch: u64, committed: bool) {
        if epoch != self.membership.epoch || self.start_replica.mode != Mode::RecordingExemption {
            return;
        }
        self.start_replica.mode = if committed { Mode::Exempt } else { Mode::Required };
        self.start_replica.next_exemption_request_at = now + Micros::from_millis(500);
        if committed {
            self.machine_shard.recheck_all_responses();
        }
    }

    /// Loads a controller's exemption from its record.
    pub(super) fn load_unreplicated_starts(&mut self, row: &KeyValue) {
        let name = row.key.strip_prefix(EXEMPTION_PREFIX);
        let number = name.and_then(|name| self.settings.members.iter().position(|member| member == name));
        let Some(number) = number else { return };
        match row.value.get("epoch").and_then(Value::as_u64) {
            Some(epoch) => {
                self.start_replica.exemptions.insert(number, epoch);
            }
            None => {
                // An unreadable record is treated as an exemption in the previous epoch.
                tracing::error!(key = %row.key, "unreadable record; its controller's replicas don't count");
                self.start_replica.exemptions.insert(number, self.membership.epoch.saturating_sub(1));
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
