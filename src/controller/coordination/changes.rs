//! Changing coordination records, on condition of the epoch and of the record as last read.

use super::*;

impl Controller {
    /// ReplicationDelta a record, on condition of the epoch and of the record as last read. Returns whether the change is
    /// under way; what becomes of it is seen in the record. `then` is told to an operator once it is on record.
    pub(in crate::controller) fn change_record(
        &mut self,
        now: Micros,
        key: &Key,
        next: CoordinationRecord,
        pages: Vec<(String, Value)>,
        then: Option<(u64, Reply)>,
        out: &mut Vec<Effect>,
    ) -> bool {
        // A reading under way may bring what makes the change wrong, but its version then fails the condition.
        let allowed = match self.coordination.records.get(key) {
            CachedRecord::Present(r) => r.check_transition(&next).is_ok(),
            CachedRecord::Absent => true,
            CachedRecord::NotRead | CachedRecord::Unreadable(_) => false,
        };
        if !allowed
            || !self.membership.is_leader(now)
            || now < self.state_store.paused_until
            || self.coordination.changing.contains(key)
            || next.to_value().to_string().len() > self.settings.value_bytes
        {
            return false;
        }
        let cost = (pages.len() + 1) as f64;
        if !self.state_store.write_limiter.take(now, cost, 0.2) {
            return false;
        }
        self.coordination.changing.insert(key.clone());
        self.coordination.replying.extend(then.as_ref().map(|(ticket, _)| *ticket));
        let store_version = self.coordination.records.store_version(key);
        let pages = pages.into_iter().rev().collect();
        let epoch = self.membership.epoch;
        let change = Change { key: key.clone(), epoch, store_version, next, pages, sent_at: now, then };
        self.continue_change(Box::new(change), out);
        true
    }

    /// Writes the next page of a change, or its head when all pages are on record. Pages are conditional on the head too:
    /// one that is written late changes nothing that was decided.
    pub(super) fn continue_change(&mut self, mut change: Box<Change>, out: &mut Vec<Effect>) {
        let conditions = vec![self.fence(), (change.key.head_key(), change.store_version)];
        let mut transaction = Transaction { conditions, ..Transaction::default() };
        match change.pages.pop() {
            Some((key, page)) => {
                transaction.puts.push((key, page, None));
                self.ask_store(
                    PendingStoreRequest::Coordination(PendingRecordRequest::Page(change)),
                    StoreRequest::Transaction(transaction),
                    out,
                );
            }
            None => {
                transaction.puts.push((change.key.head_key(), change.next.to_value(), None));
                self.ask_store(
                    PendingStoreRequest::Coordination(PendingRecordRequest::Change(change)),
                    StoreRequest::Transaction(transaction),
                    out,
                );
            }
        }
    }

    pub(super) fn apply_change(
        &mut self,
        now: Micros,
        change: Change,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if change.epoch == self.membership.epoch {
            self.coordination.changing.remove(&change.key);
        }
        self.coordination.records.track(&change.key);
        match answer {
            StoreAnswer::Committed(store_version) => {
                self.coordination.records.apply_commit(
                    &change.key,
                    change.sent_at,
                    change.next,
                    store_version,
                );
                if let Some((ticket, reply)) = change.then {
                    out.push(Effect::Reply { ticket, reply });
                }
            }
            answer => {
                // It may have been carried out: the record tells.
                self.coordination.records.require_read_since(&change.key, now);
                if let Some((ticket, _)) = change.then {
                    let why = match answer {
                        StoreAnswer::Conflict(_) => "the record has changed meanwhile: ask again",
                        _ => "the change could not be put on record: ask again",
                    };
                    out.push(Effect::Reply { ticket, reply: Reply::retry_later(why) });
                }
            }
        }
    }

    /// A page is on record, or not: then the change is over.
    pub(super) fn apply_written_page(
        &mut self,
        now: Micros,
        change: Box<Change>,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            StoreAnswer::Committed(_) if change.epoch == self.membership.epoch => {
                self.continue_change(change, out)
            }
            StoreAnswer::Committed(_) => self.apply_change(now, *change, StoreAnswer::Unknown, out),
            answer => self.apply_change(now, *change, answer, out),
        }
    }

    /// Whether a change of a record is under way here.
    pub(in crate::controller) fn is_record_changing(&self, key: &Key) -> bool {
        self.coordination.changing.contains(key)
    }
}
