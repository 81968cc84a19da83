//! Writes this controller's records as a leader to the state store: jobs, quotas and the machine registry.
//!
//! The records are owned by the job shard, the quota ledger and the registry. This module reads and writes
//! them within the store's rate limits, and every write carries the fencing condition.

use super::*;

/// Time between two checks of the quota records.
const QUOTA_PERIOD: Micros = Micros::from_millis(100);
/// Time between two removals of returned machines from the registry.
const REGISTRY_PRUNE_PERIOD: Micros = Micros::from_millis(5000);
/// The write budget holds at most one second's worth of writes. It is kept nearly full, which costs no
/// throughput, so that a new submission is not rejected. Jobs' outcomes are written from this level on.
const MIN_BUDGET_FOR_OUTCOMES: f64 = 0.75;
/// Most pages of a team's quota record that one write changes, so that a write takes little of the budget.
const MAX_QUOTA_PAGES_PER_WRITE: usize = 4;
/// Most bytes of values in a transaction. The service accepts 64 KiB with keys and conditions.
const MAX_TRANSACTION_VALUE_BYTES: usize = 60 << 10;
/// Registry pages are written from this level on.
const MIN_BUDGET_FOR_REGISTRY: f64 = 0.5;
/// Writes that can be deferred are made from this level on.
const MIN_BUDGET_FOR_DEFERRABLE: f64 = 0.9;

impl Controller {
    /// Reads the teams' quota records and writes allocations.
    pub(super) fn write_quota(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.state_store.next_quota_pass || now < self.state_store.paused_until {
            return;
        }
        self.state_store.next_quota_pass = now + QUOTA_PERIOD;
        let needs = self.job_shard.quota_needs(&self.quota);
        for team in self.quota.next_reads(now, &needs) {
            let key = format!("team/{team}");
            let read = match self.quota.is_paged(&team) {
                true => StoreRequest::List(key, String::new()),
                false => StoreRequest::Get(key),
            };
            let pending = PendingStoreRequest::ReadQuota { team, epoch: self.membership.epoch };
            self.send_store_request(pending, read, out);
        }
        let no_needs = Vec::new();
        for team in self.quota.team_names() {
            let (membership, me) = (&self.membership, self.settings.me);
            let input = AllocationInput {
                team: &team,
                needs: needs.get(&team).unwrap_or(&no_needs),
                is_led_locally: &|job| membership.job_leader(job) == Some(me),
                can_release: &|job| self.job_shard.has_released_resources(job),
                value_bytes: self.settings.value_bytes,
                max_pages: self.max_quota_pages(&team),
            };
            let write = self.quota.next_write(now, &input);
            let Some(write) = write else { continue };
            if !self.state_store.write_limiter.take(now, write.value_count() as f64, 0.5) {
                break;
            }
            self.quota.begin_write(now, &write);
            let transaction = self.quota_transaction(&write);
            let pending = PendingStoreRequest::WriteAllocation(write);
            self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
        }
    }

    /// Most pages of a team's record that a write may change. A record gets a second page only while all controllers
    /// read several; one that has several keeps them, since the others allocate nothing from it.
    fn max_quota_pages(&self, team: &str) -> usize {
        let may_add_pages = self.can_page_quota() && self.quota.can_be_paged(team);
        if !may_add_pages && !self.quota.is_paged(team) {
            return 1;
        }
        let fitting = MAX_TRANSACTION_VALUE_BYTES / self.settings.value_bytes.max(1);
        MAX_QUOTA_PAGES_PER_WRITE.min(self.settings.txn_ops).min(fitting).max(1)
    }

    fn quota_transaction(&self, write: &AllocationWrite) -> Transaction {
        let key = format!("team/{}", write.team);
        let mut transaction = Transaction {
            conditions: vec![self.fencing_condition(), (key.clone(), write.base_version)],
            puts: vec![(key, write.value.clone(), None)],
            deletes: Vec::new(),
        };
        for page in &write.pages {
            transaction.conditions.push((page.key.clone(), page.base_version));
            match &page.value {
                Some(value) => transaction.puts.push((page.key.clone(), value.clone(), None)),
                None => transaction.deletes.push(page.key.clone()),
            }
        }
        transaction
    }

    pub(super) fn apply_allocation_write(&mut self, write: AllocationWrite, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Committed(store_version) => {
                self.quota.commit_write(write, store_version);
                self.job_shard.replan = true;
            }
            StoreAnswer::Conflict(_) | StoreAnswer::Refused => self.quota.fail_write(&write, true),
            _ => self.quota.fail_write(&write, false),
        }
    }

    /// Applies a team's record as read, if the read was sent in this epoch.
    pub(super) fn apply_quota_record(&mut self, team: &str, epoch: u64, answer: &StoreAnswer) {
        // Guards against allocations from before the jobs' leaders changed, which would count as read in this epoch.
        if epoch != self.membership.epoch {
            return;
        }
        match answer {
            StoreAnswer::Got(row) => {
                self.quota.apply_record(team, row.as_ref().map(|row| (&row.value, row.store_version)))
            }
            StoreAnswer::Page(rows, has_more) => self.quota.apply_rows(team, rows, *has_more),
            _ => self.quota.require_read(team),
        }
    }

    /// Writes the job records and registry pages that are due: outcomes first, progress last.
    pub(super) fn write_records(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.state_store.paused_until || self.state_store.in_flight.len() > MAX_IN_FLIGHT {
            return;
        }
        self.verify_jobs(now, out);
        while self.state_store.write_limiter.level(now) >= MIN_BUDGET_FOR_OUTCOMES
            && self.state_store.in_flight.len() < MAX_IN_FLIGHT
        {
            let Some((job, write, store_version)) = self.job_shard.next_write(now, true) else { break };
            self.state_store.write_limiter.take(now, 2.0, 0.0);
            self.write_job(job, write, store_version, out);
        }
        self.update_registry(now, out);
        while self.state_store.write_limiter.level(now) >= MIN_BUDGET_FOR_DEFERRABLE
            && self.state_store.in_flight.len() < MAX_IN_FLIGHT
        {
            let Some((job, write, store_version)) = self.job_shard.next_write(now, false) else { break };
            self.state_store.write_limiter.take(now, 1.0, 0.0);
            self.write_job(job, write, store_version, out);
        }
    }

    fn verify_jobs(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(id) = self.job_shard.next_reread() {
            if !self.state_store.request_limiter.take(now, 2.0, 0.2) {
                break;
            }
            if let Some(job) = self.job_shard.jobs.get_mut(&id) {
                job.write_in_flight = true;
            }
            let read = StoreRequest::Get(format!("job/{id}"));
            let pending = PendingStoreRequest::VerifyJob { job: id, epoch: self.membership.epoch };
            self.send_store_request(pending, read, out);
        }
    }

    pub(super) fn write_job(
        &mut self,
        job: String,
        write: RecordWrite,
        store_version: u64,
        out: &mut Vec<Effect>,
    ) {
        // The record's own version keeps a late transaction from restoring an older state.
        let mut transaction = Transaction {
            conditions: vec![self.fencing_condition(), (format!("job/{job}"), store_version)],
            ..Transaction::default()
        };
        match &write {
            RecordWrite::Progress(value, _) => {
                transaction.puts.push((format!("job/{job}"), value.clone(), None));
            }
            RecordWrite::End(_, value) => {
                transaction.puts.push((format!("done/{job}"), value.clone(), None));
                transaction.deletes.push(format!("job/{job}"));
            }
        }
        let pending = PendingStoreRequest::WriteJob { job, write };
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    pub(super) fn apply_job_write(
        &mut self,
        now: Micros,
        job: &str,
        write: RecordWrite,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match (answer, write) {
            (StoreAnswer::Committed(store_version), RecordWrite::Progress(_, kept)) => {
                self.job_shard.confirm_progress(now, job, kept, store_version);
            }
            (StoreAnswer::Committed(_), RecordWrite::End(outcome, _)) => {
                self.finish_job(now, job, outcome, out);
            }
            (answer, write) => {
                self.job_shard.fail_write(now, job, answer == StoreAnswer::Refused);
                if matches!(write, RecordWrite::End(..)) {
                    for caller in self.user_requests.cancellations.remove(job).unwrap_or_default() {
                        let reply = Reply::refuse(Refusal::EndNotOnRecord);
                        self.reply(now, caller, reply, out);
                    }
                }
            }
        }
    }

    pub(super) fn apply_verified_job(
        &mut self,
        now: Micros,
        id: String,
        epoch: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        // A read that was requested in an earlier epoch is dropped: the job may have ended under another
        // leader since, and would be restored here. In each epoch all of a leader's records are read again.
        if epoch != self.membership.epoch {
            return;
        }
        match answer {
            StoreAnswer::Got(Some(row)) => {
                if let Some(job) = self.job_shard.jobs.get_mut(&id) {
                    job.write_in_flight = false;
                    self.apply_job_row(row);
                }
            }
            StoreAnswer::Got(None) => {
                let read = StoreRequest::Get(format!("done/{id}"));
                self.send_store_request(PendingStoreRequest::VerifyOutcome { job: id, epoch }, read, out);
            }
            _ => self.job_shard.fail_write(now, &id, false),
        }
    }

    pub(super) fn apply_verified_outcome(
        &mut self,
        now: Micros,
        job: &str,
        epoch: u64,
        answer: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if epoch != self.membership.epoch {
            return;
        }
        match answer {
            StoreAnswer::Got(Some(row)) => match read_final_record(&row.value) {
                Some((outcome, _)) => self.finish_job(now, job, outcome, out),
                None => tracing::error!(job = %job, "unreadable final record"),
            },
            _ => self.job_shard.fail_write(now, job, false),
        }
    }

    /// Keeps our pages of the machine registry up to date.
    fn update_registry(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for (name, entry) in self.machine_shard.take_unregistered() {
            self.machine_registry.register(&name, &entry);
        }
        if now >= self.state_store.next_registry_prune {
            self.state_store.next_registry_prune = now + REGISTRY_PRUNE_PERIOD;
            self.prune_registry();
        }
        let epoch = self.membership.epoch;
        while let Some((page, key)) = self.machine_registry.next_read() {
            let pending = PendingStoreRequest::ReadRegistryPage { epoch, page };
            self.send_store_request(pending, StoreRequest::Get(key), out);
        }
        while self.state_store.write_limiter.level(now) >= MIN_BUDGET_FOR_REGISTRY
            && self.state_store.in_flight.len() < MAX_IN_FLIGHT
        {
            let has_spare_budget = self.state_store.write_limiter.level(now) >= MIN_BUDGET_FOR_DEFERRABLE;
            let Some(write) = self.machine_registry.next_write(has_spare_budget) else { break };
            self.state_store.write_limiter.take(now, 1.0, 0.0);
            self.write_registry_page(epoch, write, out);
        }
    }

    fn prune_registry(&mut self) {
        let (machines, jobs, membership) = (&self.machine_shard, &self.job_shard, &self.membership);
        self.machine_registry.remove_gone(|name| match machines.is_gone(name) {
            Some(gone) => gone,
            None => {
                membership.machine_leader(name) != Some(membership.me)
                    && jobs.is_machine_gone(name, membership)
            }
        });
        let acked: Vec<u64> = self
            .membership
            .members
            .iter()
            .map(|&member| self.peer_traffic.links[member].revision_acked)
            .collect();
        self.machine_shard.drop_gone(&acked);
    }

    fn write_registry_page(&mut self, epoch: u64, write: PageWrite, out: &mut Vec<Effect>) {
        let mut transaction = Transaction {
            conditions: vec![self.fencing_condition(), (write.key.clone(), write.base_version)],
            ..Transaction::default()
        };
        match &write.value {
            Some(value) => transaction.puts.push((write.key.clone(), value.clone(), None)),
            None => transaction.deletes.push(write.key.clone()),
        }
        let pending = PendingStoreRequest::WriteRegistryPage { epoch, write };
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    /// Applies the result of a registry write. Ignored for an earlier epoch, because the page has been read
    /// again since.
    pub(super) fn apply_registry_write(&mut self, epoch: u64, write: &PageWrite, answer: StoreAnswer) {
        if epoch != self.membership.epoch {
            return;
        }
        match answer {
            StoreAnswer::Committed(store_version) => {
                self.machine_registry.commit_write(write, store_version);
                for name in &write.names {
                    self.machine_shard.confirm_registered(name);
                }
            }
            answer => self.machine_registry.fail_write(write.page, answer == StoreAnswer::Refused),
        }
    }

    pub(super) fn apply_registry_page(&mut self, epoch: u64, page: u32, answer: &StoreAnswer) {
        if epoch != self.membership.epoch {
            return;
        }
        let read = match answer {
            StoreAnswer::Got(None) => Some((0, Vec::new())),
            StoreAnswer::Got(Some(row)) => {
                Some((row.store_version, machine_registry::read_page(&row.value).unwrap_or_default()))
            }
            _ => None,
        };
        let read = read.as_ref().map(|(store_version, rows)| (*store_version, rows.as_slice()));
        // Without this, the machines would get no work if the response to every write of their page were
        // lost.
        for name in self.machine_registry.apply_read_back(page, read) {
            self.machine_shard.confirm_registered(&name);
        }
    }
}

#[cfg(test)]
mod tests;
