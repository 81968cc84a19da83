//! Membership: leases, the epoch record, and what happens when a new epoch is adopted.

use super::*;

impl Node {
    pub(super) fn ring_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.ring_busy || now < self.next_ring {
            return;
        }
        self.ring_busy = true;
        let Some(lease) = self.lease else {
            let ms = self.settings.member_lease.0 / 1000;
            return self.ask_store(Purpose::Grant, StoreRequest::Grant(ms), out);
        };
        if !self.registered {
            let c = Commit {
                puts: vec![(
                    format!("ring/m/{}", self.settings.member),
                    json!({"boot": self.boot}),
                    Some(lease),
                )],
                ..Commit::default()
            };
            return self.ask_store(Purpose::Register, StoreRequest::Commit(c), out);
        }
        self.ask_store(Purpose::ReadEpoch(now), StoreRequest::Get(EPOCH_KEY.into()), out);
    }

    pub(super) fn ring_again(&mut self, now: Micros, ms: u64) {
        self.ring_busy = false;
        self.next_ring = now + Micros::from_millis(ms);
    }

    pub(super) fn ring_answer(&mut self, now: Micros, p: Purpose, a: StoreAnswer, out: &mut Vec<Effect>) {
        match (p, a) {
            (_, StoreAnswer::NoLease) => {
                tracing::info!(epoch = self.membership.epoch, "store lease lost");
                self.lease = None;
                self.registered = false;
                self.membership.lease_lost();
                self.ring_again(now, 0);
            }
            (Purpose::Grant, StoreAnswer::Granted(id)) => {
                self.lease = Some(id);
                self.ring_again(now, 0);
            }
            (Purpose::Register, StoreAnswer::Committed(_)) => {
                self.registered = true;
                self.ring_again(now, 0);
            }
            (Purpose::ReadEpoch(sent), StoreAnswer::Got(row)) => {
                let (record, mark) = match row {
                    None => (EpochRecord::default(), 0),
                    Some(Row { value, mark, .. }) => match serde_json::from_value(value) {
                        Ok(r) => (r, mark),
                        Err(e) => {
                            tracing::error!(reason = %e, "unreadable epoch record");
                            return self.ring_again(now, 1000);
                        }
                    },
                };
                self.seen = Some((record, mark, sent));
                self.ask_store(
                    Purpose::ReadMembers(sent),
                    StoreRequest::List("ring/m/".into(), String::new()),
                    out,
                );
            }
            (Purpose::ReadMembers(sent), StoreAnswer::Page(rows, _)) => {
                let Some((record, mark, _)) = self.seen.clone() else {
                    return self.ring_again(now, 300);
                };
                let mut alive: Vec<(String, u64)> = rows
                    .iter()
                    .filter_map(|r| {
                        let name = r.key.strip_prefix("ring/m/")?;
                        Some((name.to_owned(), r.value.get("boot")?.as_u64()?))
                    })
                    .filter(|(n, _)| self.settings.members.contains(n) && *n != self.settings.member)
                    .collect();
                alive.push((self.settings.member.clone(), self.boot));
                // Raise the epoch to join, or when the store has ended a member's lease.
                let lost = record.members.iter().any(|m| !alive.contains(m));
                if !self.membership.is_in(&record) || lost {
                    let next = Membership::next_record(&record, &alive);
                    let Ok(value) = serde_json::to_value(&next) else {
                        return self.ring_again(now, 300);
                    };
                    let c = Commit {
                        conditions: vec![(EPOCH_KEY.into(), mark)],
                        puts: vec![(EPOCH_KEY.into(), value, None)],
                        drops: Vec::new(),
                    };
                    return self.ask_store(Purpose::Raise(next), StoreRequest::Commit(c), out);
                }
                if record.epoch > self.membership.epoch {
                    self.adopt(now, &record, mark, out);
                }
                if record.epoch == self.membership.epoch
                    && let Some(lease) = self.lease
                {
                    return self.ask_store(Purpose::Renew(sent), StoreRequest::Renew(lease), out);
                }
                self.ring_again(now, 300);
            }
            (Purpose::Raise(record), StoreAnswer::Committed(mark)) => {
                self.adopt(now, &record, mark, out);
                self.ring_again(now, 0);
            }
            (Purpose::Raise(_), StoreAnswer::Conflict(_)) => self.ring_again(now, 20),
            (Purpose::Renew(sent), StoreAnswer::Renewed) => {
                self.membership.confirmed_by_store(sent);
                self.ring_again(now, self.settings.member_lease.0 / 6000);
            }
            _ => self.ring_again(now, 300),
        }
    }

    pub(super) fn adopt(&mut self, now: Micros, record: &EpochRecord, mark: u64, out: &mut Vec<Effect>) {
        let ring_before = self.membership.ring.clone();
        let follows = self.membership.adopt(now, record, mark);
        tracing::info!(epoch = record.epoch, members = ?record.members.iter().map(|(n, _)| n).collect::<Vec<_>>(), follows, "epoch adopted");
        self.home.adopt(now, &self.membership, follows, |job| ring_before.owner(&format!("job/{job}")));
        self.owner.adopt(&self.membership, follows);
        self.teams.unread();
        self.roll.unread();
        self.acked.fill(0);
        self.sent_seq.fill(0);
        self.release_held(now, out);
        self.load = Load::Jobs;
        self.load_after.clear();
        self.load_busy = false;
        self.load_retry = now;
        self.machines_on_record.clear();
        // Who waits is told to come back: the job may have another owner now.
        let waiting: Vec<Origin> = std::mem::take(&mut self.withdrawing)
            .into_values()
            .flatten()
            .chain(std::mem::take(&mut self.lookups).into_values().flatten().map(|(o, _)| o))
            .collect();
        for o in waiting {
            self.reply(now, o, Reply::later("the ring has changed"), out);
        }
    }
}
