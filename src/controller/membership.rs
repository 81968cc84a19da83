//! Membership: this controller's lease and member key, the epoch record, and the steps that follow when a new
//! epoch is adopted.
//!
//! [`MembershipLoop`] owns what was read about the ring. It has at most one request in flight. This module
//! never decides whether this controller may act as a leader: only [`Membership`] does, from what this loop
//! confirms.

use super::*;

/// Prefix of the member keys, by which controllers show that they are alive.
const MEMBER_PREFIX: &str = "ring/m/";
/// Delay before a failed step is retried.
const RETRY_DELAY: Micros = Micros::from_millis(300);
/// Delay before an unreadable epoch record is read again.
const UNREADABLE_RETRY_DELAY: Micros = Micros::from_millis(1000);
/// Delay before retrying after another controller has raised the epoch first.
const CONFLICT_RETRY_DELAY: Micros = Micros::from_millis(20);
const NO_DELAY: Micros = Micros(0);

/// State of the loop that maintains this controller's membership.
#[derive(Default)]
pub(super) struct MembershipLoop {
    /// The state store lease that the member key is attached to.
    pub(super) lease: Option<u64>,
    /// Whether the member key is stored with the value that it should have.
    pub(super) registered: bool,
    /// The epoch record as last read.
    pub(super) newest_record: Option<EpochRead>,
    request_in_flight: bool,
    next_step_at: Micros,
    /// The other controllers whose member keys existed when last read and that want to be members.
    pub(super) live_peers: Vec<usize>,
    /// The version of our member key, if it was read since the last write.
    own_key_version: Option<u64>,
    /// The value last written to our member key, until the write is confirmed.
    unconfirmed_own_key: Option<Value>,
}

/// The epoch record, and its version in the state store.
#[derive(Clone, Debug)]
pub(super) struct EpochRead {
    pub(super) record: EpochRecord,
    pub(super) store_version: u64,
}

/// The purpose of a request of this loop to the state store.
#[derive(Clone, Debug)]
pub(super) enum PendingMembershipRequest {
    GrantLease,
    ReadOwnKey,
    WriteOwnKey,
    ReadEpoch {
        asked_at: Micros,
    },
    ListMembers {
        asked_at: Micros,
    },
    RaiseEpoch {
        record: EpochRecord,
    },
    /// `asked_at`: when the pass that this renewal completes began to read the ring.
    RenewLease {
        asked_at: Micros,
    },
}

/// The result of reading the epoch record and the member keys.
struct MembershipRead {
    epoch: EpochRead,
    asked_at: Micros,
    lease: u64,
    /// Processes that are alive and want to be members, by controller name.
    live: Vec<(String, u64)>,
    /// Whether this controller wants no membership.
    out_of_ring: bool,
}

impl MembershipLoop {
    /// Starts the next pass in the next round.
    pub(super) fn step_at_once(&mut self, now: Micros) {
        self.next_step_at = now;
    }

    fn schedule_next_step(&mut self, now: Micros, delay: Micros) {
        self.request_in_flight = false;
        self.next_step_at = now + delay;
    }

    /// Called when the lease is lost, and the member key with it.
    fn forget_lease(&mut self) {
        self.lease = None;
        self.registered = false;
        self.unconfirmed_own_key = None;
    }

    /// Called when the member key is known to be stored as last written.
    fn confirm_own_key(&mut self) {
        self.registered = true;
        self.unconfirmed_own_key = None;
    }
}

fn member_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}{name}")
}

/// The processes that have member keys, without those that are alive but want no membership.
fn processes_wanting_membership(rows: &[KeyValue]) -> impl Iterator<Item = (String, u64)> {
    rows.iter().filter(|row| row.value.get("aside").is_none_or(|aside| aside != true)).filter_map(|row| {
        let name = row.key.strip_prefix(MEMBER_PREFIX)?;
        Some((name.to_owned(), row.value.get("boot")?.as_u64()?))
    })
}

impl Controller {
    /// Takes the next step: grant a lease, write the member key, or read the epoch record.
    pub(super) fn run_membership_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.membership_loop.request_in_flight || now < self.membership_loop.next_step_at {
            return;
        }
        self.membership_loop.request_in_flight = true;
        let Some(lease) = self.membership_loop.lease else {
            let ms = self.settings.member_lease.0 / 1000;
            return self.send_membership_request(
                PendingMembershipRequest::GrantLease,
                StoreRequest::Grant(ms),
                out,
            );
        };
        // Whether flap damping applies is known only from the epoch record; once it has been read, the member
        // key may be rewritten to request no membership.
        if !self.membership_loop.registered {
            return self.register(now, lease, out);
        }
        let read = StoreRequest::Get(EPOCH_KEY.into());
        self.send_membership_request(PendingMembershipRequest::ReadEpoch { asked_at: now }, read, out);
    }

    fn send_membership_request(
        &mut self,
        pending: PendingMembershipRequest,
        request: StoreRequest,
        out: &mut Vec<Effect>,
    ) {
        self.send_store_request(PendingStoreRequest::Ring(pending), request, out);
    }

    /// Writes our member key, after reading its version.
    fn register(&mut self, now: Micros, lease: u64, out: &mut Vec<Effect>) {
        let is_held_back = self.membership_loop.newest_record.is_some() && self.is_held_back(now);
        if is_held_back && !self.flap_damping.is_out_of_ring() {
            tracing::info!("flap damping: held back after too many recent joins");
        }
        let Some(store_version) = self.membership_loop.own_key_version.take() else {
            let read = StoreRequest::Get(member_key(&self.settings.member));
            return self.send_membership_request(PendingMembershipRequest::ReadOwnKey, read, out);
        };
        self.flap_damping.note_registration(is_held_back);
        let own_key = self.own_key(lease, is_held_back || self.step_down.absence_reason().is_some());
        self.membership_loop.unconfirmed_own_key = Some(own_key.1.clone());
        // The condition on the key's version keeps a late write from overwriting a newer one of this process
        // or its successor. The key would then show the wrong process, or that this controller wants no
        // membership, and the others would remove the controller from the ring while it acts.
        let transaction = Transaction {
            conditions: vec![(own_key.0.clone(), store_version)],
            puts: vec![own_key],
            ..Transaction::default()
        };
        self.send_membership_request(
            PendingMembershipRequest::WriteOwnKey,
            StoreRequest::Transaction(transaction),
            out,
        );
    }

    /// The member key, which shows that this process is alive and whether it wants to be a member.
    fn own_key(&self, lease: u64, out_of_ring: bool) -> (String, Value, Option<u64>) {
        let mut value = json!({"boot": self.boot, "reads": format_versions::CURRENT_FORMAT_VERSION});
        if out_of_ring {
            value["aside"] = true.into();
        }
        (member_key(&self.settings.member), value, Some(lease))
    }

    /// Steps down or returns to the ring if the evidence requires it.
    pub(super) fn step_down_or_return(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.handoff.leaving().is_some() {
            return self.leave_ring(now);
        }
        if self.step_down.absence_reason().is_none() {
            self.step_down_on_evidence(now);
        } else if self.membership_loop.live_peers.is_empty()
            || self.step_down.can_rejoin(now, &self.membership_loop.live_peers)
        {
            tracing::info!(epoch = self.membership.epoch, "returning to the ring");
            self.step_down.rejoin(now);
            // The member key must be updated before the epoch is raised, or the others would raise it again.
            // Until the ring includes this process again, it doesn't act as a leader.
            self.membership_loop.registered = false;
            self.membership_loop.step_at_once(now);
        } else if self.step_down.take_due_probe(now) {
            let addresses = self.machine_shard.sample_addresses(PROBE_SAMPLE_SIZE, now);
            // If all known machines are gone, there is none left to probe. Returning without a probe avoids
            // an absence of minutes.
            match addresses.is_empty() {
                true => self.step_down.record_probe(true),
                false => out.push(Effect::Probe(addresses)),
            }
        }
    }

    fn step_down_on_evidence(&mut self, now: Micros) {
        // Requires a valid store lease, since leaving requires a change of the epoch record.
        if !self.membership.has_store_lease(now) || self.membership.has_stepped_down {
            return;
        }
        let live = &self.membership_loop.live_peers;
        let peers: Vec<usize> = self.membership.others().filter(|peer| live.contains(peer)).collect();
        let machines = self.machine_shard.count_live(now);
        let Some(missing) = self.step_down.reason_to_leave(now, machines, self.settings.me, &peers) else {
            return;
        };
        tracing::info!(epoch = self.membership.epoch, ?missing, "stepping down");
        self.step_down.leave(now, missing);
        // From here on this controller sends no commands or answers, before another controller may take over.
        self.membership.has_stepped_down = true;
        self.membership_loop.step_at_once(now);
    }

    /// Applies a response of the state store to this loop.
    pub(super) fn apply_membership_answer(
        &mut self,
        now: Micros,
        pending: PendingMembershipRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        use PendingMembershipRequest::*;
        match (pending, answer) {
            (_, StoreAnswer::NoLease) => self.lose_lease(now),
            (GrantLease, StoreAnswer::Granted(lease)) => self.apply_granted_lease(now, lease),
            (ReadOwnKey, StoreAnswer::Got(row)) => self.apply_own_key(now, row),
            (WriteOwnKey, StoreAnswer::Committed(_)) => self.finish_registration(now),
            (ReadEpoch { asked_at }, StoreAnswer::Got(row)) => {
                self.apply_epoch_record(now, asked_at, row, out)
            }
            (ListMembers { asked_at }, StoreAnswer::Page(rows, _)) => {
                self.apply_member_list(now, asked_at, &rows, out)
            }
            (RaiseEpoch { record }, StoreAnswer::Committed(store_version)) => {
                self.apply_raised_epoch(now, EpochRead { record, store_version }, out)
            }
            (RaiseEpoch { .. }, StoreAnswer::Conflict(_)) => {
                self.schedule_next_step(now, CONFLICT_RETRY_DELAY)
            }
            // With an unknown outcome the transaction may still be applied later; a refused one is not.
            (RaiseEpoch { record }, StoreAnswer::Unknown) if !self.membership.is_member_of(&record) => {
                self.handoff.note_departure_request(Some(record.epoch));
                self.schedule_next_step(now, RETRY_DELAY);
            }
            (RenewLease { asked_at }, StoreAnswer::Renewed) => self.apply_lease_renewal(now, asked_at),
            _ => self.schedule_next_step(now, RETRY_DELAY),
        }
    }

    fn schedule_next_step(&mut self, now: Micros, pause: Micros) {
        self.membership_loop.schedule_next_step(now, pause);
    }

    fn lose_lease(&mut self, now: Micros) {
        tracing::info!(epoch = self.membership.epoch, "store lease expired");
        self.membership_loop.forget_lease();
        self.membership.lose_store_lease();
        self.schedule_next_step(now, NO_DELAY);
    }

    fn apply_granted_lease(&mut self, now: Micros, lease: u64) {
        self.membership_loop.lease = Some(lease);
        self.schedule_next_step(now, NO_DELAY);
    }

    fn apply_own_key(&mut self, now: Micros, row: Option<KeyValue>) {
        // A write may have been applied although its response was lost. Rewriting the key until its lease
        // expires would keep this controller from joining while the others count it as alive. If the lease
        // had expired, the key would be gone.
        let written = self.membership_loop.unconfirmed_own_key.as_ref();
        if row.as_ref().is_some_and(|row| written == Some(&row.value)) {
            self.membership_loop.confirm_own_key();
        } else {
            self.membership_loop.own_key_version = Some(row.map_or(0, |row| row.store_version));
        }
        self.schedule_next_step(now, NO_DELAY);
    }

    fn finish_registration(&mut self, now: Micros) {
        self.membership_loop.confirm_own_key();
        self.schedule_next_step(now, NO_DELAY);
    }

    fn apply_lease_renewal(&mut self, now: Micros, asked_at: Micros) {
        self.membership.renew_store_lease(asked_at);
        // A sixth of the lease.
        self.schedule_next_step(now, Micros::from_millis(self.settings.member_lease.0 / 6000));
    }

    fn apply_epoch_record(
        &mut self,
        now: Micros,
        asked_at: Micros,
        row: Option<KeyValue>,
        out: &mut Vec<Effect>,
    ) {
        self.flap_damping.read(row.as_ref().map_or(&Value::Null, |row| &row.value));
        let (record, store_version) = match row {
            None => (EpochRecord::default(), 0),
            Some(KeyValue { value, store_version, .. }) => match serde_json::from_value(value) {
                Ok(record) => (record, store_version),
                Err(error) => {
                    tracing::error!(reason = %error, "unreadable epoch record");
                    return self.schedule_next_step(now, UNREADABLE_RETRY_DELAY);
                }
            },
        };
        self.membership_loop.newest_record = Some(EpochRead { record, store_version });
        let list = StoreRequest::List(MEMBER_PREFIX.into(), String::new());
        self.send_membership_request(PendingMembershipRequest::ListMembers { asked_at }, list, out);
    }

    /// Applies the list of member keys: raises the epoch, adopts it, or renews the lease.
    fn apply_member_list(&mut self, now: Micros, asked_at: Micros, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let Some(epoch) = self.membership_loop.newest_record.clone() else {
            return self.schedule_next_step(now, RETRY_DELAY);
        };
        self.note_format_versions(rows, out);
        let is_held_back = !self.membership.is_member_of(&epoch.record) && self.is_held_back(now);
        if self.flap_damping.is_out_of_ring() != is_held_back {
            // The member key must be updated before the epoch is raised.
            self.membership_loop.registered = false;
            return self.schedule_next_step(now, NO_DELAY);
        }
        // If our lease has expired unnoticed, a new one is needed before joining: otherwise the others would
        // remove this controller again at once, and both sides would keep raising the epoch.
        if !self.has_own_key(rows) {
            return self.lose_lease(now);
        }
        let out_of_ring = self.step_down.absence_reason().is_some() || self.flap_damping.is_out_of_ring();
        let live = self.note_live_members(rows, out_of_ring);
        let (Some(lease), false) = (self.membership_loop.lease, live.is_empty()) else {
            return self.schedule_next_step(now, RETRY_DELAY);
        };
        let reading = MembershipRead { epoch, asked_at, lease, live, out_of_ring };
        if self.is_epoch_change_needed(&reading) {
            return self.raise_epoch(now, &reading, rows, out);
        }
        self.follow_epoch(now, &reading, out);
    }

    fn has_own_key(&self, rows: &[KeyValue]) -> bool {
        let key = member_key(&self.settings.member);
        rows.iter().any(|row| row.key == key && row.value.get("boot").is_some_and(|boot| *boot == self.boot))
    }

    /// Records which other controllers are alive and want to be members; returns them, and this one if it
    /// wants to be one.
    fn note_live_members(&mut self, rows: &[KeyValue], out_of_ring: bool) -> Vec<(String, u64)> {
        let names = &self.settings.members;
        let mut live: Vec<(String, u64)> = processes_wanting_membership(rows)
            .filter(|(name, _)| names.contains(name) && *name != self.settings.member)
            .collect();
        self.membership_loop.live_peers =
            live.iter().filter_map(|(name, _)| names.iter().position(|member| member == name)).collect();
        if !out_of_ring {
            live.push((self.settings.member.clone(), self.boot));
        }
        live
    }

    /// Whether the epoch must be raised: to join, to leave, or because a member's lease has expired.
    fn is_epoch_change_needed(&self, reading: &MembershipRead) -> bool {
        let record = &reading.epoch.record;
        let is_member_lost = record.members.iter().any(|member| !reading.live.contains(member));
        // If this controller returned while its own departure is unconfirmed, it raises an epoch that
        // includes itself, so that the late departure fails.
        let is_departure_unconfirmed =
            !reading.out_of_ring && self.handoff.has_unconfirmed_departure(record.epoch);
        (!reading.out_of_ring && !self.membership.is_member_of(record))
            || is_member_lost
            || is_departure_unconfirmed
    }

    fn raise_epoch(
        &mut self,
        now: Micros,
        reading: &MembershipRead,
        rows: &[KeyValue],
        out: &mut Vec<Effect>,
    ) {
        let EpochRead { record, store_version } = &reading.epoch;
        let next = record.successor(&reading.live);
        let Ok(mut value) = serde_json::to_value(&next) else {
            return self.schedule_next_step(now, RETRY_DELAY);
        };
        self.flap_damping.write(&self.settings, self.rounds.wall, record, &next, &mut value);
        let mut conditions = vec![(EPOCH_KEY.into(), *store_version)];
        // A late transaction must not remove a live controller: the member keys must be unchanged. A
        // controller whose lease expired and that has a new one since is still a member of the old epoch and
        // acts in it.
        conditions.extend(self.settings.members.iter().map(|name| {
            let key = member_key(name);
            let version = rows.iter().find(|row| row.key == key).map_or(0, |row| row.store_version);
            (key, version)
        }));
        let mut transaction =
            Transaction { conditions, puts: vec![(EPOCH_KEY.into(), value, None)], deletes: Vec::new() };
        if reading.out_of_ring {
            transaction.puts.push(self.own_key(reading.lease, true));
        }
        let pending = PendingMembershipRequest::RaiseEpoch { record: next };
        self.send_membership_request(pending, StoreRequest::Transaction(transaction), out);
    }

    /// The epoch record needs no change: adopts it, and renews the lease if this controller's membership is
    /// settled.
    fn follow_epoch(&mut self, now: Micros, reading: &MembershipRead, out: &mut Vec<Effect>) {
        let EpochRead { record, store_version } = &reading.epoch;
        let renewal = PendingMembershipRequest::RenewLease { asked_at: reading.asked_at };
        if reading.out_of_ring {
            self.hand_off_on_leaving(now, record, *store_version);
            return self.send_membership_request(renewal, StoreRequest::Renew(reading.lease), out);
        }
        if record.epoch > self.membership.epoch {
            self.adopt_epoch(now, record, *store_version, out);
        }
        if record.epoch == self.membership.epoch {
            self.job_shard.confirm_epoch(reading.asked_at);
            // This controller returned before it had left, so it is still a member.
            self.membership.has_stepped_down = false;
            return self.send_membership_request(renewal, StoreRequest::Renew(reading.lease), out);
        }
        self.schedule_next_step(now, RETRY_DELAY);
    }

    fn apply_raised_epoch(&mut self, now: Micros, raised: EpochRead, out: &mut Vec<Effect>) {
        if self.membership.is_member_of(&raised.record) {
            self.adopt_epoch(now, &raised.record, raised.store_version, out);
        } else {
            self.handoff.note_departure_request(None);
            self.hand_off_on_leaving(now, &raised.record, raised.store_version);
            self.membership_loop.newest_record = Some(raised);
        }
        self.schedule_next_step(now, NO_DELAY);
    }

    /// Adopts an epoch that this controller is a member of. Every member reads all records again.
    fn adopt_epoch(&mut self, now: Micros, record: &EpochRecord, store_version: u64, out: &mut Vec<Effect>) {
        let ring_before = self.membership.ring.clone();
        self.membership.has_stepped_down = self.step_down.absence_reason().is_some();
        self.step_down.adopt_epoch(now);
        self.peer_traffic.forget_misrouted();
        let follows = self.membership.adopt_epoch(now, record, store_version);
        tracing::info!(
            epoch = record.epoch,
            members = ?record.members.iter().map(|(name, _)| name).collect::<Vec<_>>(),
            follows,
            "epoch adopted"
        );
        self.hand_off(now, follows);
        self.report_departed_controllers(now, record, follows);
        self.machine_shard
            .adopt_epoch(now, &self.membership, follows, |job| ring_before.owner(&format!("job/{job}")));
        self.job_shard.adopt_epoch(&self.membership, follows);
        self.restart_coordination();
        self.reset_batches();
        self.reset_loans();
        self.proxy_acceptances.next_notice_at.clear();
        self.quota.begin_epoch();
        self.machine_registry.adopt_epoch();
        self.peer_traffic.forget_revisions();
        self.release_held_heartbeats(now, out);
        self.record_loading.restart(now);
        for caller in self.user_requests.take_waiting() {
            // The job may have a different leader now.
            self.reply(now, caller, Reply::refuse(Refusal::RingChanged), out);
        }
    }
}
