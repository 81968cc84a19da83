//! Reads coordination records that are in use, and lists all releases.

use super::*;

/// Delay before the next page of a list is read.
const PAGE_DELAY: Micros = Micros::from_millis(200);
/// Maximum number of records read in one round.
const MAX_READS_PER_ROUND: usize = 8;

impl Controller {
    pub(super) fn read_due_records(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now >= self.coordination.next_cleanup_at {
            self.coordination.next_cleanup_at = now + READ_PERIOD;
            self.coordination.last_used_at.retain(|_, used_at| now.since(*used_at) < UNUSED_RECORD_LIFETIME);
            let mut wanted: BTreeSet<Key> = self.coordination.last_used_at.keys().cloned().collect();
            let listed = self.coordination.listed_keys.iter().chain(&self.coordination.pending_listed_keys);
            wanted.extend(listed.chain(&self.coordination.changing).cloned());
            self.coordination.records.retain(&wanted);
        }
        for key in self.coordination.records.due_reads(now, MAX_READS_PER_ROUND) {
            // Records that are not in use here are kept up to date by the listing alone.
            if !self.coordination.last_used_at.contains_key(&key)
                && *self.coordination.records.get(&key) != CachedRecord::NotRead
            {
                self.coordination.records.record_failure(&key, now + LIST_PERIOD);
                continue;
            }
            if self.state_store.in_flight.len() >= MAX_IN_FLIGHT
                || !self.state_store.request_limiter.take(now, 1.0, 0.2)
            {
                break;
            }
            self.coordination.records.record_request(&key, now);
            let read = StoreRequest::Get(key.head_key());
            let pending = PendingRecordRequest::Read { key, asked_at: now };
            self.send_store_request(PendingStoreRequest::Coordination(pending), read, out);
        }
    }

    /// Lists the head records of all releases. This finds releases that no request here has named: those left
    /// unfinished by their previous maintainer, and those opened by another controller.
    pub(super) fn list_heads(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.coordination.is_list_in_flight
            || now < self.coordination.next_list_at
            || !self.state_store.request_limiter.take(now, 1.0, 0.2)
        {
            return;
        }
        if self.coordination.list_after_key.is_empty() {
            self.coordination.current_list_began = now;
            self.coordination.pending_listed_keys.clear();
        }
        self.coordination.is_list_in_flight = true;
        let prefix = record::Kind::Release.prefix();
        let list = StoreRequest::List(prefix, self.coordination.list_after_key.clone());
        let pending = PendingRecordRequest::Heads { epoch: self.membership.epoch, asked_at: now };
        self.send_store_request(PendingStoreRequest::Coordination(pending), list, out);
    }

    pub(super) fn apply_head_list(&mut self, now: Micros, asked_at: Micros, answer: StoreAnswer) {
        self.coordination.is_list_in_flight = false;
        let StoreAnswer::Page(rows, more) = answer else {
            self.coordination.next_list_at = now + RETRY_DELAY;
            return;
        };
        self.coordination.list_after_key = match rows.last() {
            Some(last) if more => last.key.clone(),
            _ => String::new(),
        };
        for row in rows {
            let Some(key) = Key::parse(&row.key) else {
                tracing::error!(key = %row.key, "the key of a coordination record can't be read");
                continue;
            };
            if let Some((title, night)) = hazelsaddle_release::release_ref::title_and_night(&key) {
                let latest = self.coordination.latest_nights.entry(title.to_owned()).or_default();
                if latest.as_str() < night {
                    *latest = night.to_owned();
                }
            }
            // Finished records are of no use here.
            let is_finished =
                CoordinationRecord::read(&row.value).is_ok_and(|r| self.is_release_finished(&r));
            if is_finished && *self.coordination.records.get(&key) == CachedRecord::NotRead {
                continue;
            }
            self.coordination.records.track(&key);
            self.apply_record_row(&key, asked_at, now, Some((&row.value, row.store_version)));
            if !is_finished {
                self.coordination.pending_listed_keys.insert(key);
            }
        }
        self.coordination.next_list_at = now + if more { PAGE_DELAY } else { LIST_PERIOD };
        if !more {
            self.coordination.last_list_began = Some(self.coordination.current_list_began);
            self.coordination.listed_keys = std::mem::take(&mut self.coordination.pending_listed_keys);
        }
    }

    /// Applies a read of a record, or schedules a retry if it failed.
    pub(super) fn apply_record(&mut self, now: Micros, key: &Key, asked_at: Micros, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Got(row) => {
                let row = row.as_ref().map(|row| (&row.value, row.store_version));
                self.apply_record_row(key, asked_at, now, row);
            }
            _ => self.coordination.records.record_failure(key, now + RETRY_DELAY),
        }
    }

    /// Stores a read of a record in the cache.
    pub(super) fn apply_record_row(
        &mut self,
        key: &Key,
        asked_at: Micros,
        now: Micros,
        row: Option<(&Value, u64)>,
    ) {
        if self.coordination.records.apply_answer(key, asked_at, now + READ_PERIOD, row) {
            if let CachedRecord::Unreadable(why) = self.coordination.records.get(key) {
                tracing::error!(record = %key.head_key(), reason = %why, "unreadable coordination record: everything that depends on it is held");
            }
            self.job_shard.replan = true;
        }
    }

    /// Whether a listing that began no earlier than `since` is complete; requests one if there is none.
    pub(in crate::controller) fn has_list_since(&mut self, since: Micros) -> bool {
        let is_listed = self.coordination.last_list_began.is_some_and(|began| began >= since);
        if !is_listed {
            self.coordination.next_list_at = Micros(0);
        }
        is_listed
    }
}
