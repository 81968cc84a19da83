//! Reading coordination records: those that something here waits for, and the list of all releases.

use super::*;

/// The next page of a list is read so much later.
const PAUSE_PAGE: Micros = Micros::from_millis(200);
/// Records read in one round at the most.
const READ_AT_A_TIME: usize = 8;

impl Controller {
    pub(super) fn read_due_records(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.coordination.next_keep {
            self.coordination.next_keep = now + PAUSE_HELD;
            self.coordination.used.retain(|_, t| now.since(*t) < FORGET);
            let mut wanted: BTreeSet<Key> = self.coordination.used.keys().cloned().collect();
            let listed = self.coordination.listed_keys.iter().chain(&self.coordination.listing_keys);
            wanted.extend(listed.chain(&self.coordination.changing).cloned());
            self.coordination.records.retain(&wanted);
        }
        for key in self.coordination.records.due_reads(now, READ_AT_A_TIME) {
            // The list tells of those that nothing here waits for.
            if !self.coordination.used.contains_key(&key)
                && *self.coordination.records.get(&key) != CachedRecord::NotRead
            {
                self.coordination.records.record_failure(&key, now + PAUSE_LIST);
                continue;
            }
            if self.state_store.in_flight.len() >= IN_FLIGHT
                || !self.state_store.request_limiter.take(now, 1.0, 0.2)
            {
                break;
            }
            self.coordination.records.record_request(&key, now);
            let read = StoreRequest::Get(key.head_key());
            let pending = PendingRecordRequest::Read { key, asked_at: now };
            self.ask_store(PendingStoreRequest::Coordination(pending), read, out);
        }
    }

    /// All heads of releases, so that those are known that nobody here has named: a record that its keeper left in the
    /// middle, or that another opened.
    pub(super) fn list_heads(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.coordination.listing
            || now < self.coordination.next_list
            || !self.state_store.request_limiter.take(now, 1.0, 0.2)
        {
            return;
        }
        if self.coordination.listed_after.is_empty() {
            self.coordination.list_began = now;
            self.coordination.listing_keys.clear();
        }
        self.coordination.listing = true;
        let prefix = record::Kind::Release.prefix();
        let list = StoreRequest::List(prefix, self.coordination.listed_after.clone());
        let pending = PendingRecordRequest::Heads { epoch: self.membership.epoch, asked_at: now };
        self.ask_store(PendingStoreRequest::Coordination(pending), list, out);
    }

    pub(super) fn apply_head_list(&mut self, now: Micros, asked_at: Micros, answer: StoreAnswer) {
        self.coordination.listing = false;
        let StoreAnswer::Page(rows, more) = answer else {
            self.coordination.next_list = now + PAUSE_FAILED;
            return;
        };
        self.coordination.listed_after = match rows.last() {
            Some(last) if more => last.key.clone(),
            _ => String::new(),
        };
        for row in rows {
            let Some(key) = Key::parse(&row.key) else {
                tracing::error!(key = %row.key, "the key of a coordination record can't be read");
                continue;
            };
            if let Some((title, night)) = hazelsaddle_release::release_ref::title_and_night(&key) {
                let latest = self.coordination.latest.entry(title.to_owned()).or_default();
                if latest.as_str() < night {
                    *latest = night.to_owned();
                }
            }
            // What is over for good is of no use here.
            let over = CoordinationRecord::read(&row.value).is_ok_and(|r| self.release_over(&r));
            if over && *self.coordination.records.get(&key) == CachedRecord::NotRead {
                continue;
            }
            self.coordination.records.track(&key);
            self.take_record(&key, asked_at, now, Some((&row.value, row.store_version)));
            if !over {
                self.coordination.listing_keys.insert(key);
            }
        }
        self.coordination.next_list = now + if more { PAUSE_PAGE } else { PAUSE_LIST };
        if !more {
            self.coordination.listed = Some(self.coordination.list_began);
            self.coordination.listed_keys = std::mem::take(&mut self.coordination.listing_keys);
        }
    }

    /// A record was read, or could not be.
    pub(super) fn apply_record(&mut self, now: Micros, key: &Key, asked_at: Micros, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Got(row) => {
                let row = row.as_ref().map(|row| (&row.value, row.store_version));
                self.take_record(key, asked_at, now, row);
            }
            _ => self.coordination.records.record_failure(key, now + PAUSE_FAILED),
        }
    }

    /// Takes what was read of a record.
    pub(super) fn take_record(
        &mut self,
        key: &Key,
        asked_at: Micros,
        now: Micros,
        row: Option<(&Value, u64)>,
    ) {
        if self.coordination.records.apply_answer(key, asked_at, now + PAUSE_HELD, row) {
            if let CachedRecord::Unreadable(why) = self.coordination.records.get(key) {
                tracing::error!(record = %key.head_key(), reason = %why, "what rests on this record is held");
            }
            self.job_shard.replan = true;
        }
    }

    /// A list of heads that begins no earlier than this is wanted.
    pub(in crate::controller) fn list_since(&mut self, since: Micros) -> bool {
        let listed = self.coordination.listed.is_some_and(|t| t >= since);
        if !listed {
            self.coordination.next_list = Micros(0);
        }
        listed
    }
}
