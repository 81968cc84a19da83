//! Membership: this controller's lease and member key, the epoch record, and what follows when a new epoch is adopted.
//!
//! [`MembershipLoop`] owns what was read of the ring. One request is under way at a time. Nothing here may act as a leader:
//! that is decided by [`Membership`] alone, from what this loop confirms.

use super::*;

/// Prefix of the keys under which controllers show that they live.
const MEMBER_PREFIX: &str = "ring/m/";
/// A step that has failed is tried again after so long.
const RETRY: Micros = Micros::from_millis(300);
/// The same after an epoch record that can't be read.
const RETRY_UNREADABLE: Micros = Micros::from_millis(1000);
/// The same after another controller has raised the epoch first.
const RETRY_CONFLICT: Micros = Micros::from_millis(20);
const AT_ONCE: Micros = Micros(0);

/// The loop that keeps this controller's place on the ring.
#[derive(Default)]
pub(super) struct MembershipLoop {
    /// The lease under which the state store keeps the member key.
    pub(super) lease: Option<u64>,
    /// Whether the member key stands and says what it should.
    pub(super) registered: bool,
    /// The epoch record as last read.
    pub(super) newest_record: Option<EpochReading>,
    request_in_flight: bool,
    next_step_at: Micros,
    /// Other controllers whose member keys stood when last read, and that want a place.
    pub(super) live_peers: Vec<usize>,
    /// The version of the member key, if it was read since that was last written.
    own_key_version: Option<u64>,
    /// What was last written to the member key, until that is answered.
    unconfirmed_own_key: Option<Value>,
}

/// The epoch record, and the version under which it is on record.
#[derive(Clone, Debug)]
pub(super) struct EpochReading {
    pub(super) record: EpochRecord,
    pub(super) store_version: u64,
}

/// What a request of this loop to the state store is for.
#[derive(Clone, Debug)]
pub(super) enum PendingRingRequest {
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
    /// `asked_at`: when the reading of the ring began that the renewal ends.
    RenewLease {
        asked_at: Micros,
    },
}

/// What one reading of the ring has found.
struct RingReading {
    epoch: EpochReading,
    asked_at: Micros,
    lease: u64,
    /// Processes that live and want a place, by the name of their controller.
    live: Vec<(String, u64)>,
    /// Whether this controller wants no place.
    out_of_ring: bool,
}

impl MembershipLoop {
    /// Has the epoch record read in the next round.
    pub(super) fn step_at_once(&mut self, now: Micros) {
        self.next_step_at = now;
    }

    fn step_again_after(&mut self, now: Micros, pause: Micros) {
        self.request_in_flight = false;
        self.next_step_at = now + pause;
    }

    /// The lease is gone, and with it the member key.
    fn forget_lease(&mut self) {
        self.lease = None;
        self.registered = false;
        self.unconfirmed_own_key = None;
    }

    /// The member key stands as it was last written.
    fn confirm_own_key(&mut self) {
        self.registered = true;
        self.unconfirmed_own_key = None;
    }
}

fn member_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}{name}")
}

/// Processes whose member keys stand, but for those that have stepped down: they live, and want no place.
fn processes_that_want_a_place(rows: &[KeyValue]) -> impl Iterator<Item = (String, u64)> {
    rows.iter().filter(|row| row.value.get("aside").is_none_or(|aside| aside != true)).filter_map(|row| {
        let name = row.key.strip_prefix(MEMBER_PREFIX)?;
        Some((name.to_owned(), row.value.get("boot")?.as_u64()?))
    })
}

impl Controller {
    /// Takes the next step that is due: a lease, the member key, or the epoch record.
    pub(super) fn run_membership_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.membership_loop.request_in_flight || now < self.membership_loop.next_step_at {
            return;
        }
        self.membership_loop.request_in_flight = true;
        let Some(lease) = self.membership_loop.lease else {
            let ms = self.settings.member_lease.0 / 1000;
            return self.ask_ring(PendingRingRequest::GrantLease, StoreRequest::Grant(ms), out);
        };
        // How often it joined of late stands in the epoch record: once read, its key may take back that it wants a place.
        if !self.membership_loop.registered {
            return self.register(now, lease, out);
        }
        let read = StoreRequest::Get(EPOCH_KEY.into());
        self.ask_ring(PendingRingRequest::ReadEpoch { asked_at: now }, read, out);
    }

    fn ask_ring(&mut self, pending: PendingRingRequest, request: StoreRequest, out: &mut Vec<Effect>) {
        self.ask_store(PendingStoreRequest::Ring(pending), request, out);
    }

    /// Writes the member key, once its version is known.
    fn register(&mut self, now: Micros, lease: u64, out: &mut Vec<Effect>) {
        let held_back = self.membership_loop.newest_record.is_some() && self.is_held_back(now);
        if held_back && !self.flap_damping.is_out_of_ring() {
            tracing::info!("flap damping: this controller has joined too often of late");
        }
        let Some(store_version) = self.membership_loop.own_key_version.take() else {
            let read = StoreRequest::Get(member_key(&self.settings.member));
            return self.ask_ring(PendingRingRequest::ReadOwnKey, read, out);
        };
        self.flap_damping.note_registration(held_back);
        let own_key = self.own_key(lease, held_back || self.step_down.absence_reason().is_some());
        self.membership_loop.unconfirmed_own_key = Some(own_key.1.clone());
        // Guards against one that is carried out late, after a newer one of this process or the next: the key would
        // say that a controller wants no place, or is another process, and the others would put it out while it acts.
        let transaction = Transaction {
            conditions: vec![(own_key.0.clone(), store_version)],
            puts: vec![own_key],
            ..Transaction::default()
        };
        self.ask_ring(PendingRingRequest::WriteOwnKey, StoreRequest::Transaction(transaction), out);
    }

    /// The key that shows that this process lives, and whether it wants a place on the ring.
    fn own_key(&self, lease: u64, out_of_ring: bool) -> (String, Value, Option<u64>) {
        let mut value = json!({"boot": self.boot, "reads": frame_forms::NEWEST});
        if out_of_ring {
            value["aside"] = true.into();
        }
        (member_key(&self.settings.member), value, Some(lease))
    }

    /// Steps down, or comes back, when the evidence says so.
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
            // The key must say so before the epoch is raised, or others would raise it again. Until
            // the ring has it back this process still doesn't act.
            self.membership_loop.registered = false;
            self.membership_loop.step_at_once(now);
        } else if self.step_down.take_due_probe(now) {
            let addresses = self.machine_shard.sample_addresses(PROBED, now);
            // Guards against a stay of minutes after those it knew have gone: nobody is left to try, so it tries its place.
            match addresses.is_empty() {
                true => self.step_down.record_probe(true),
                false => out.push(Effect::Probe(addresses)),
            }
        }
    }

    fn step_down_on_evidence(&mut self, now: Micros) {
        // With the store's word only: leaving takes a change of the epoch record.
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
        // From here on nothing is commanded or answered, before anybody else may do so.
        self.membership.has_stepped_down = true;
        self.membership_loop.step_at_once(now);
    }

    /// An answer of the state store to this loop.
    pub(super) fn apply_ring_answer(
        &mut self,
        now: Micros,
        pending: PendingRingRequest,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        use PendingRingRequest::*;
        match (pending, answer) {
            (_, StoreAnswer::NoLease) => self.lose_lease(now),
            (GrantLease, StoreAnswer::Granted(lease)) => self.take_lease(now, lease),
            (ReadOwnKey, StoreAnswer::Got(row)) => self.apply_own_key(now, row),
            (WriteOwnKey, StoreAnswer::Committed(_)) => self.finish_registration(now),
            (ReadEpoch { asked_at }, StoreAnswer::Got(row)) => {
                self.apply_epoch_record(now, asked_at, row, out)
            }
            (ListMembers { asked_at }, StoreAnswer::Page(rows, _)) => {
                self.apply_member_list(now, asked_at, &rows, out)
            }
            (RaiseEpoch { record }, StoreAnswer::Committed(store_version)) => {
                self.apply_raised_epoch(now, EpochReading { record, store_version }, out)
            }
            (RaiseEpoch { .. }, StoreAnswer::Conflict(_)) => self.step_again_after(now, RETRY_CONFLICT),
            // It may be carried out yet. One that the store refused is not.
            (RaiseEpoch { record }, StoreAnswer::Unknown) if !self.membership.is_member_of(&record) => {
                self.handoff.note_departure_request(Some(record.epoch));
                self.step_again_after(now, RETRY);
            }
            (RenewLease { asked_at }, StoreAnswer::Renewed) => self.apply_lease_renewal(now, asked_at),
            _ => self.step_again_after(now, RETRY),
        }
    }

    fn step_again_after(&mut self, now: Micros, pause: Micros) {
        self.membership_loop.step_again_after(now, pause);
    }

    fn lose_lease(&mut self, now: Micros) {
        tracing::info!(epoch = self.membership.epoch, "store lease expired");
        self.membership_loop.forget_lease();
        self.membership.lose_store_lease();
        self.step_again_after(now, AT_ONCE);
    }

    fn take_lease(&mut self, now: Micros, lease: u64) {
        self.membership_loop.lease = Some(lease);
        self.step_again_after(now, AT_ONCE);
    }

    fn apply_own_key(&mut self, now: Micros, row: Option<KeyValue>) {
        // Guards against a controller that never joins: what it wrote may stand although no answer ever comes, and
        // others count it in while it writes again until its lease ends. With its lease the key would be gone.
        let written = self.membership_loop.unconfirmed_own_key.as_ref();
        if row.as_ref().is_some_and(|row| written == Some(&row.value)) {
            self.membership_loop.confirm_own_key();
        } else {
            self.membership_loop.own_key_version = Some(row.map_or(0, |row| row.store_version));
        }
        self.step_again_after(now, AT_ONCE);
    }

    fn finish_registration(&mut self, now: Micros) {
        self.membership_loop.confirm_own_key();
        self.step_again_after(now, AT_ONCE);
    }

    fn apply_lease_renewal(&mut self, now: Micros, asked_at: Micros) {
        self.membership.renew_store_lease(asked_at);
        // A sixth of the lease.
        self.step_again_after(now, Micros::from_millis(self.settings.member_lease.0 / 6000));
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
                    return self.step_again_after(now, RETRY_UNREADABLE);
                }
            },
        };
        self.membership_loop.newest_record = Some(EpochReading { record, store_version });
        let list = StoreRequest::List(MEMBER_PREFIX.into(), String::new());
        self.ask_ring(PendingRingRequest::ListMembers { asked_at }, list, out);
    }

    /// The member keys were read: raises the epoch, adopts it, or renews the lease.
    fn apply_member_list(&mut self, now: Micros, asked_at: Micros, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let Some(epoch) = self.membership_loop.newest_record.clone() else {
            return self.step_again_after(now, RETRY);
        };
        self.note_forms(rows, out);
        let held_back = !self.membership.is_member_of(&epoch.record) && self.is_held_back(now);
        if self.flap_damping.is_out_of_ring() != held_back {
            // Its key must say so before the epoch is raised.
            self.membership_loop.registered = false;
            return self.step_again_after(now, AT_ONCE);
        }
        // Whose lease has ended without its knowledge must get a new one before it joins:
        // the others would put it out again at once, and so on in turns.
        if !self.own_key_stands(rows) {
            return self.lose_lease(now);
        }
        let out_of_ring = self.step_down.absence_reason().is_some() || self.flap_damping.is_out_of_ring();
        let live = self.note_live_members(rows, out_of_ring);
        let (Some(lease), false) = (self.membership_loop.lease, live.is_empty()) else {
            return self.step_again_after(now, RETRY);
        };
        let reading = RingReading { epoch, asked_at, lease, live, out_of_ring };
        if self.must_raise_epoch(&reading) {
            return self.raise_epoch(now, &reading, rows, out);
        }
        self.follow_epoch(now, &reading, out);
    }

    fn own_key_stands(&self, rows: &[KeyValue]) -> bool {
        let key = member_key(&self.settings.member);
        rows.iter().any(|row| row.key == key && row.value.get("boot").is_some_and(|boot| *boot == self.boot))
    }

    /// Notes which other controllers live and want a place; returns them, and this one if it wants one.
    fn note_live_members(&mut self, rows: &[KeyValue], out_of_ring: bool) -> Vec<(String, u64)> {
        let names = &self.settings.members;
        let mut live: Vec<(String, u64)> = processes_that_want_a_place(rows)
            .filter(|(name, _)| names.contains(name) && *name != self.settings.member)
            .collect();
        self.membership_loop.live_peers =
            live.iter().filter_map(|(name, _)| names.iter().position(|member| member == name)).collect();
        if !out_of_ring {
            live.push((self.settings.member.clone(), self.boot));
        }
        live
    }

    /// Whether the epoch is to be raised: to join, to leave, or because a member's lease has ended.
    fn must_raise_epoch(&self, reading: &RingReading) -> bool {
        let record = &reading.epoch.record;
        let lost = record.members.iter().any(|member| !reading.live.contains(member));
        // One that came back while its own leaving has no answer raises an epoch with itself: then a late one fails.
        let in_doubt = !reading.out_of_ring && self.handoff.may_be_out_after(record.epoch);
        (!reading.out_of_ring && !self.membership.is_member_of(record)) || lost || in_doubt
    }

    fn raise_epoch(&mut self, now: Micros, reading: &RingReading, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let EpochReading { record, store_version } = &reading.epoch;
        let next = record.successor(&reading.live);
        let Ok(mut value) = serde_json::to_value(&next) else {
            return self.step_again_after(now, RETRY);
        };
        self.flap_damping.write(&self.settings, self.rounds.wall, record, &next, &mut value);
        let mut conditions = vec![(EPOCH_KEY.into(), *store_version)];
        // Guards against a raise that is carried out late: who is left out must not live at that moment. One
        // whose lease had ended, and who has a new one since, still is a member of the old epoch and acts.
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
        let pending = PendingRingRequest::RaiseEpoch { record: next };
        self.ask_ring(pending, StoreRequest::Transaction(transaction), out);
    }

    /// The epoch record stands as it was read: adopts it, and renews the lease if this controller's place is settled.
    fn follow_epoch(&mut self, now: Micros, reading: &RingReading, out: &mut Vec<Effect>) {
        let EpochReading { record, store_version } = &reading.epoch;
        let renewal = PendingRingRequest::RenewLease { asked_at: reading.asked_at };
        if reading.out_of_ring {
            self.hand_off_on_leaving(now, record, *store_version);
            return self.ask_ring(renewal, StoreRequest::Renew(reading.lease), out);
        }
        if record.epoch > self.membership.epoch {
            self.adopt_epoch(now, record, *store_version, out);
        }
        if record.epoch == self.membership.epoch {
            self.job_shard.confirm_epoch(reading.asked_at);
            // It came back before it had left: its place is still its own.
            self.membership.has_stepped_down = false;
            return self.ask_ring(renewal, StoreRequest::Renew(reading.lease), out);
        }
        self.step_again_after(now, RETRY);
    }

    fn apply_raised_epoch(&mut self, now: Micros, raised: EpochReading, out: &mut Vec<Effect>) {
        if self.membership.is_member_of(&raised.record) {
            self.adopt_epoch(now, &raised.record, raised.store_version, out);
        } else {
            self.handoff.note_departure_request(None);
            self.hand_off_on_leaving(now, &raised.record, raised.store_version);
            self.membership_loop.newest_record = Some(raised);
        }
        self.step_again_after(now, AT_ONCE);
    }

    /// Takes up an epoch that this controller is a member of: all records are read again, by everybody.
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
        self.report_lost_controllers(now, record, follows);
        self.machine_shard
            .adopt_epoch(now, &self.membership, follows, |job| ring_before.owner(&format!("job/{job}")));
        self.job_shard.adopt_epoch(&self.membership, follows);
        self.restart_coordination();
        self.batches_anew();
        self.loans_anew();
        self.stand_ins.next_notice.clear();
        self.quota.begin_epoch();
        self.machine_registry.adopt_epoch();
        self.peer_traffic.forget_revisions();
        self.release_held_heartbeats(now, out);
        self.record_loading.restart(now);
        for caller in self.user_requests.take_waiting() {
            // The job may have another leader now.
            self.reply(now, caller, Reply::retry_later("the ring has changed"), out);
        }
    }
}
