//! Membership: leases, the epoch record, and what happens when a new epoch is adopted.

use super::*;

impl Controller {
    pub(super) fn ring_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.ring_busy || now < self.next_ring {
            return;
        }
        self.ring_busy = true;
        let Some(lease) = self.lease else {
            let ms = self.settings.member_lease.0 / 1000;
            return self.ask_store(PendingStoreRequest::Grant, StoreRequest::Grant(ms), out);
        };
        // How often it joined of late stands in the epoch record: once read, its key may take back that it wants a place.
        if !self.registered {
            let held = self.seen.is_some() && self.held_back(now);
            if held && !self.flap_damping.aside() {
                tracing::info!("held back: this controller has joined too often of late");
            }
            let Some(store_version) = self.own_key_version.take() else {
                let key = format!("ring/m/{}", self.settings.member);
                return self.ask_store(PendingStoreRequest::ReadOwn, StoreRequest::Get(key), out);
            };
            self.flap_damping.registers(held);
            let aside = held || self.step_down.away().is_some();
            let own = self.own_key(lease, aside);
            self.own_sent = Some(own.1.clone());
            // Guards against one that is carried out late, after a newer one of this process or the next: the key would
            // say that a controller wants no place, or is another process, and the others would put it out while it acts.
            let c = Transaction {
                conditions: vec![(own.0.clone(), store_version)],
                puts: vec![own],
                ..Transaction::default()
            };
            return self.ask_store(PendingStoreRequest::Register, StoreRequest::Transaction(c), out);
        }
        self.ask_store(PendingStoreRequest::ReadEpoch(now), StoreRequest::Get(EPOCH_KEY.into()), out);
    }

    /// The key that shows that this process lives, and whether it wants a place on the ring.
    fn own_key(&self, lease: u64, aside: bool) -> (String, Value, Option<u64>) {
        let mut value = json!({"boot": self.boot, "reads": dependencies::NEWEST});
        if aside {
            value["aside"] = true.into();
        }
        (format!("ring/m/{}", self.settings.member), value, Some(lease))
    }

    /// Leaves the ring, or comes back, when the evidence says so.
    pub(super) fn step_aside(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.handoff.leaving().is_some() {
            return self.step_out(now);
        }
        if self.step_down.away().is_none() {
            // With the store's word only: leaving takes a change of the epoch record.
            if !self.membership.store_confirms(now) || self.membership.aside {
                return;
            }
            let peers: Vec<usize> = self.membership.others().filter(|p| self.alive.contains(p)).collect();
            let Some(missing) =
                self.step_down.verdict(now, self.machine_shard.live(now), self.settings.me, &peers)
            else {
                return;
            };
            tracing::info!(epoch = self.membership.epoch, ?missing, "stepping aside");
            self.step_down.leave(now, missing);
            // From here on nothing is commanded or answered, before anybody else may do so.
            self.membership.aside = true;
            self.next_ring = now;
        } else if self.alive.is_empty() || self.step_down.may_return(now, &self.alive) {
            tracing::info!(epoch = self.membership.epoch, "coming back");
            self.step_down.back(now);
            // The key must say so before the epoch is raised, or others would raise it again. Until
            // the ring has it back this process still doesn't act.
            self.registered = false;
            self.next_ring = now;
        } else if self.step_down.probe(now) {
            let addresses = self.machine_shard.addresses(PROBED, now);
            // Guards against a stay of minutes after those it knew have gone: nobody is left to try, so it tries its place.
            match addresses.is_empty() {
                true => self.step_down.probed(true),
                false => out.push(Effect::Probe(addresses)),
            }
        }
    }

    pub(super) fn ring_again(&mut self, now: Micros, ms: u64) {
        self.ring_busy = false;
        self.next_ring = now + Micros::from_millis(ms);
    }

    pub(super) fn ring_answer(
        &mut self,
        now: Micros,
        p: PendingStoreRequest,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match (p, a) {
            (_, StoreAnswer::NoLease) => {
                tracing::info!(epoch = self.membership.epoch, "store lease lost");
                self.lease = None;
                self.registered = false;
                self.own_sent = None;
                self.membership.lease_lost();
                self.ring_again(now, 0);
            }
            (PendingStoreRequest::Grant, StoreAnswer::Granted(id)) => {
                self.lease = Some(id);
                self.ring_again(now, 0);
            }
            (PendingStoreRequest::ReadOwn, StoreAnswer::Got(row)) => {
                // Guards against a controller that never joins: what it wrote may stand although no answer ever comes, and
                // others count it in while it writes again until its lease ends. With its lease the key would be gone.
                if row.as_ref().is_some_and(|r| self.own_sent.as_ref() == Some(&r.value)) {
                    self.registered = true;
                    self.own_sent = None;
                } else {
                    self.own_key_version = Some(row.map_or(0, |r| r.store_version));
                }
                self.ring_again(now, 0);
            }
            (PendingStoreRequest::Register, StoreAnswer::Committed(_)) => {
                self.registered = true;
                self.own_sent = None;
                self.ring_again(now, 0);
            }
            (PendingStoreRequest::ReadEpoch(sent), StoreAnswer::Got(row)) => {
                self.flap_damping.read(row.as_ref().map_or(&Value::Null, |r| &r.value));
                let (record, store_version) = match row {
                    None => (EpochRecord::default(), 0),
                    Some(KeyValue { value, store_version, .. }) => match serde_json::from_value(value) {
                        Ok(r) => (r, store_version),
                        Err(e) => {
                            tracing::error!(reason = %e, "unreadable epoch record");
                            return self.ring_again(now, 1000);
                        }
                    },
                };
                self.seen = Some((record, store_version, sent));
                self.ask_store(
                    PendingStoreRequest::ReadMembers(sent),
                    StoreRequest::List("ring/m/".into(), String::new()),
                    out,
                );
            }
            (PendingStoreRequest::ReadMembers(sent), StoreAnswer::Page(rows, _)) => {
                let Some((record, store_version, _)) = self.seen.clone() else {
                    return self.ring_again(now, 300);
                };
                self.note_forms(&rows, out);
                // Those that have stepped aside live, but want no place.
                let mut alive: Vec<(String, u64)> = rows
                    .iter()
                    .filter(|r| !r.value.get("aside").is_some_and(|a| a == true))
                    .filter_map(|r| {
                        let name = r.key.strip_prefix("ring/m/")?;
                        Some((name.to_owned(), r.value.get("boot")?.as_u64()?))
                    })
                    .filter(|(n, _)| self.settings.members.contains(n))
                    .collect();
                let own = (self.settings.member.clone(), self.boot);
                let held = !self.membership.is_in(&record) && self.held_back(now);
                if self.flap_damping.aside() != held {
                    // Its key must say so before the epoch is raised.
                    self.registered = false;
                    return self.ring_again(now, 0);
                }
                let away = self.step_down.away().is_some() || self.flap_damping.aside();
                // Whose lease has ended without its knowledge must get a new one before it joins:
                // the others would put it out again at once, and so on in turns.
                let key = format!("ring/m/{}", own.0);
                let there = |r: &KeyValue| r.key == key && r.value.get("boot").is_some_and(|b| *b == own.1);
                if !rows.iter().any(there) {
                    return self.ring_answer(
                        now,
                        PendingStoreRequest::ReadMembers(sent),
                        StoreAnswer::NoLease,
                        out,
                    );
                }
                alive.retain(|m| m.0 != own.0);
                let number = |(n, _): &(String, u64)| self.settings.members.iter().position(|m| m == n);
                self.alive = alive.iter().filter_map(number).collect();
                if !away {
                    alive.push(own);
                }
                // Raise the epoch to join, or to leave, or when the store has ended a member's lease.
                let lost = record.members.iter().any(|m| !alive.contains(m));
                let (Some(lease), false) = (self.lease, alive.is_empty()) else {
                    return self.ring_again(now, 300);
                };
                // One that came back while its own leaving has no answer raises an epoch with itself: then a late one fails.
                let doubt = !away && self.handoff.may_be_out_after(record.epoch);
                if (!away && !self.membership.is_in(&record)) || lost || doubt {
                    let next = Membership::next_record(&record, &alive);
                    let Ok(mut value) = serde_json::to_value(&next) else {
                        return self.ring_again(now, 300);
                    };
                    self.flap_damping.write(&self.settings, self.wall, &record, &next, &mut value);
                    let mut conditions = vec![(EPOCH_KEY.into(), store_version)];
                    // Guards against a raise that is carried out late: who is left out must not live at that moment. One
                    // whose lease had ended, and who has a new one since, still is a member of the old epoch and acts.
                    conditions.extend(self.settings.members.iter().map(|m| {
                        let key = format!("ring/m/{m}");
                        let store_version = rows.iter().find(|r| r.key == key).map_or(0, |r| r.store_version);
                        (key, store_version)
                    }));
                    let mut c = Transaction {
                        conditions,
                        puts: vec![(EPOCH_KEY.into(), value, None)],
                        drops: Vec::new(),
                    };
                    if away {
                        c.puts.push(self.own_key(lease, true));
                    }
                    return self.ask_store(
                        PendingStoreRequest::Raise(next),
                        StoreRequest::Transaction(c),
                        out,
                    );
                }
                if away {
                    self.hand_over_on_leaving(now, &record, store_version);
                    return self.ask_store(PendingStoreRequest::Renew(sent), StoreRequest::Renew(lease), out);
                }
                if record.epoch > self.membership.epoch {
                    self.adopt(now, &record, store_version, out);
                }
                if record.epoch == self.membership.epoch {
                    self.job_shard.epoch_stands(sent);
                    // It came back before it had left: its place is still its own.
                    self.membership.aside = false;
                    return self.ask_store(PendingStoreRequest::Renew(sent), StoreRequest::Renew(lease), out);
                }
                self.ring_again(now, 300);
            }
            (PendingStoreRequest::Raise(record), StoreAnswer::Committed(store_version)) => {
                if self.membership.is_in(&record) {
                    self.adopt(now, &record, store_version, out);
                } else {
                    self.handoff.asks_out(None);
                    self.hand_over_on_leaving(now, &record, store_version);
                    self.seen = Some((record, store_version, now));
                }
                self.ring_again(now, 0);
            }
            (PendingStoreRequest::Raise(_), StoreAnswer::Conflict(_)) => self.ring_again(now, 20),
            // It may be carried out yet. One that the store refused is not.
            (PendingStoreRequest::Raise(record), StoreAnswer::Unknown) if !self.membership.is_in(&record) => {
                self.handoff.asks_out(Some(record.epoch));
                self.ring_again(now, 300);
            }
            (PendingStoreRequest::Renew(sent), StoreAnswer::Renewed) => {
                self.membership.confirmed_by_store(sent);
                self.ring_again(now, self.settings.member_lease.0 / 6000);
            }
            _ => self.ring_again(now, 300),
        }
    }

    pub(super) fn adopt(
        &mut self,
        now: Micros,
        record: &EpochRecord,
        store_version: u64,
        out: &mut Vec<Effect>,
    ) {
        let ring_before = self.membership.ring.clone();
        self.membership.aside = self.step_down.away().is_some();
        self.step_down.epoch(now);
        self.strays.fill_with(MisroutedHeartbeats::default);
        let follows = self.membership.adopt(now, record, store_version);
        tracing::info!(epoch = record.epoch, members = ?record.members.iter().map(|(n, _)| n).collect::<Vec<_>>(), follows, "epoch adopted");
        self.hand_over(now, follows);
        self.testify(now, record, follows);
        self.machine_shard
            .adopt(now, &self.membership, follows, |job| ring_before.owner(&format!("job/{job}")));
        self.job_shard.adopt(&self.membership, follows);
        self.pacts_anew();
        self.batches_anew();
        self.loans_anew();
        // All records are read again, by everybody.
        self.standing_in.clear();
        self.quota.begin_epoch();
        self.machine_registry.begin_epoch();
        self.acked.fill(0);
        self.sent_seq.fill(0);
        self.release_held(now, out);
        self.load = Load::Jobs;
        self.load_after.clear();
        self.load_busy = false;
        self.load_retry = now;
        self.machines_on_record.clear();
        // Who waits is told to come back: the job may have another owner now.
        let waiting: Vec<Caller> = std::mem::take(&mut self.withdrawing)
            .into_values()
            .flatten()
            .chain(
                std::mem::take(&mut self.lookups)
                    .into_values()
                    .flat_map(|l| l.waiting.into_iter().chain(l.next).map(|(o, _)| o)),
            )
            .collect();
        for o in waiting {
            self.reply(now, o, Reply::later("the ring has changed"), out);
        }
    }
}
