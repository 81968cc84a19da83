//! What this controller writes to the state store as a leader: jobs' records, quota, and the machine registry.
//!
//! The records themselves are owned by the job shard, the quota ledger and the registry; here they are read again and
//! written within the store's limits. Nothing is written without the fencing condition.

use super::*;

/// A look at the quota records is taken so often.
const QUOTA_PERIOD: Micros = Micros::from_millis(100);
/// Machines that are gone leave the registry so often.
const REGISTRY_PRUNE_PERIOD: Micros = Micros::from_millis(5000);
/// The write budget holds a second's worth and no more. It is kept nearly full, which costs no throughput, so that a
/// submission that comes now is not turned away. Ends of jobs are written from this level on.
const LEVEL_FOR_ENDS: f64 = 0.75;
/// Pages of the registry are written from this level on.
const LEVEL_FOR_REGISTRY: f64 = 0.5;
/// What can wait is written from this level on.
const LEVEL_TO_SPARE: f64 = 0.9;

impl Controller {
    /// Reads teams' quota records, and writes what is allocated.
    pub(super) fn write_quota(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.state_store.next_quota_pass || now < self.state_store.paused_until {
            return;
        }
        self.state_store.next_quota_pass = now + QUOTA_PERIOD;
        let needs = self.job_shard.quota_needs(&self.quota);
        for team in self.quota.next_reads(now, &needs) {
            let read = StoreRequest::Get(format!("team/{team}"));
            self.ask_store(PendingStoreRequest::ReadQuota { team }, read, out);
        }
        let none = Vec::new();
        for team in self.quota.team_names() {
            let (membership, me) = (&self.membership, self.settings.me);
            let input = AllocationInput {
                team: &team,
                needs: needs.get(&team).unwrap_or(&none),
                is_led_locally: &|job| membership.job_leader(job) == Some(me),
                can_release: &|job| self.job_shard.has_released_resources(job),
                value_bytes: self.settings.value_bytes,
            };
            let write = self.quota.next_write(now, &input);
            let Some(write) = write else { continue };
            if !self.state_store.write_limiter.take(now, 1.0, 0.5) {
                break;
            }
            self.quota.begin_write(now, &write);
            let key = format!("team/{team}");
            let transaction = Transaction {
                conditions: vec![self.fence(), (key.clone(), write.base_version)],
                puts: vec![(key, write.value.clone(), None)],
                deletes: Vec::new(),
            };
            let pending = PendingStoreRequest::WriteAllocation(write);
            self.ask_store(pending, StoreRequest::Transaction(transaction), out);
        }
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

    pub(super) fn apply_quota_record(&mut self, team: &str, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Got(row) => {
                self.quota.apply_record(team, row.as_ref().map(|row| (&row.value, row.store_version)))
            }
            _ => self.quota.require_read(team),
        }
    }

    /// Writes what is due of jobs' records and of the machine registry: ends first, progress last.
    pub(super) fn write_records(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.state_store.paused_until || self.state_store.in_flight.len() > IN_FLIGHT {
            return;
        }
        self.verify_jobs(now, out);
        while self.state_store.write_limiter.level(now) >= LEVEL_FOR_ENDS
            && self.state_store.in_flight.len() < IN_FLIGHT
        {
            let Some((job, write, store_version)) = self.job_shard.next_write(now, true) else { break };
            self.state_store.write_limiter.take(now, 2.0, 0.0);
            self.write_job(job, write, store_version, out);
        }
        self.keep_registry(now, out);
        while self.state_store.write_limiter.level(now) >= LEVEL_TO_SPARE
            && self.state_store.in_flight.len() < IN_FLIGHT
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
            self.ask_store(pending, read, out);
        }
    }

    pub(super) fn write_job(
        &mut self,
        job: String,
        write: RecordWrite,
        store_version: u64,
        out: &mut Vec<Effect>,
    ) {
        // The record's own version keeps a late transaction from bringing back an older state.
        let mut transaction = Transaction {
            conditions: vec![self.fence(), (format!("job/{job}"), store_version)],
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
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
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
                        let reply = Reply::retry_later("the job's end could not be put on record");
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
        // Guards against what was read in an earlier epoch: the job may have ended since under another leader, and would
        // live again here. Each epoch has what it keeps read anew.
        if epoch != self.membership.epoch {
            return;
        }
        match answer {
            StoreAnswer::Got(Some(row)) => {
                if let Some(job) = self.job_shard.jobs.get_mut(&id) {
                    job.write_in_flight = false;
                    self.take_job_row(row);
                }
            }
            StoreAnswer::Got(None) => {
                let read = StoreRequest::Get(format!("done/{id}"));
                self.ask_store(PendingStoreRequest::VerifyOutcome { job: id, epoch }, read, out);
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

    /// Keeps our pages of the machine registry.
    fn keep_registry(&mut self, now: Micros, out: &mut Vec<Effect>) {
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
            self.ask_store(pending, StoreRequest::Get(key), out);
        }
        while self.state_store.write_limiter.level(now) >= LEVEL_FOR_REGISTRY
            && self.state_store.in_flight.len() < IN_FLIGHT
        {
            let to_spare = self.state_store.write_limiter.level(now) >= LEVEL_TO_SPARE;
            let Some(write) = self.machine_registry.next_write(to_spare) else { break };
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
            conditions: vec![self.fence(), (write.key.clone(), write.base_version)],
            ..Transaction::default()
        };
        match &write.value {
            Some(value) => transaction.puts.push((write.key.clone(), value.clone(), None)),
            None => transaction.deletes.push(write.key.clone()),
        }
        let pending = PendingStoreRequest::WriteRegistryPage { epoch, write };
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
    }

    /// A page was written, or not. Of an epoch that has passed it says nothing: the page has been read again since.
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
        // Guards against machines that get no work for as long as no write of their page is answered.
        for name in self.machine_registry.apply_read_back(page, read) {
            self.machine_shard.confirm_registered(&name);
        }
    }
}
