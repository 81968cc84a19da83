//! Loads all records at the beginning of each epoch.
//!
//! [`RecordLoading`] owns the progress. Until loading is complete, this controller answers for no job.

use super::*;

/// Delay before a page that could not be read is requested again.
const RETRY_DELAY: Micros = Micros::from_millis(300);

/// The records to load, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LoadStage {
    Jobs,
    Machines,
    Quota,
    /// Exemptions of controllers that started tasks without replication.
    UnreplicatedStarts,
    #[default]
    Done,
}

impl LoadStage {
    fn next(self) -> LoadStage {
        match self {
            LoadStage::Jobs => LoadStage::Machines,
            LoadStage::Machines => LoadStage::Quota,
            LoadStage::Quota => LoadStage::UnreplicatedStarts,
            LoadStage::UnreplicatedStarts | LoadStage::Done => LoadStage::Done,
        }
    }

    fn prefix(self) -> &'static str {
        match self {
            LoadStage::Jobs => "job/",
            LoadStage::Machines => machine_registry::PREFIX,
            LoadStage::Quota => "team/",
            LoadStage::UnreplicatedStarts | LoadStage::Done => start_replica::EXEMPTION_PREFIX,
        }
    }
}

/// The progress of loading in this epoch.
#[derive(Default)]
pub(super) struct RecordLoading {
    pub(super) stage: LoadStage,
    after_key: String,
    request_in_flight: bool,
    retry_at: Micros,
    /// The machines listed in the registry's pages.
    machines: Vec<String>,
}

impl RecordLoading {
    /// Starts loading again for a new epoch.
    pub(super) fn restart(&mut self, now: Micros) {
        *self = RecordLoading { stage: LoadStage::Jobs, retry_at: now, ..RecordLoading::default() };
    }

    pub(super) fn is_done(&self) -> bool {
        self.stage == LoadStage::Done
    }
}

impl Controller {
    /// Requests the next page.
    pub(super) fn load_records(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let loading = &self.record_loading;
        if loading.is_done()
            || loading.request_in_flight
            || now < loading.retry_at
            || self.membership.epoch == 0
        {
            return;
        }
        if !self.state_store.request_limiter.take(now, 1.0, 0.0) {
            return;
        }
        self.record_loading.request_in_flight = true;
        let stage = self.record_loading.stage;
        let request = StoreRequest::List(stage.prefix().into(), self.record_loading.after_key.clone());
        let pending = PendingStoreRequest::LoadPage { stage, epoch: self.membership.epoch };
        self.send_store_request(pending, request, out);
    }

    /// Applies a page, or schedules a retry if it could not be read.
    pub(super) fn apply_load_page(&mut self, now: Micros, stage: LoadStage, epoch: u64, answer: StoreAnswer) {
        if epoch != self.membership.epoch {
            return;
        }
        self.record_loading.request_in_flight = false;
        let StoreAnswer::Page(rows, more) = answer else {
            self.record_loading.retry_at = now + RETRY_DELAY;
            return;
        };
        if let Some(last) = rows.last() {
            self.record_loading.after_key = last.key.clone();
        }
        self.load_rows(now, stage, rows, more);
        if more {
            return;
        }
        self.record_loading.after_key.clear();
        self.record_loading.stage = stage.next();
        if self.record_loading.is_done() {
            self.finish_loading(now);
        }
    }

    fn load_rows(&mut self, now: Micros, stage: LoadStage, rows: Vec<KeyValue>, has_more: bool) {
        match stage {
            LoadStage::Jobs => rows.into_iter().for_each(|row| {
                self.apply_job_row(row);
            }),
            LoadStage::Machines => rows.iter().for_each(|row| self.load_registry_page(now, row)),
            LoadStage::Quota => self.quota.apply_listed_rows(&rows, has_more),
            LoadStage::UnreplicatedStarts | LoadStage::Done => {
                rows.iter().for_each(|row| self.load_unreplicated_starts(row));
            }
        }
    }

    fn load_registry_page(&mut self, now: Micros, row: &KeyValue) {
        let Ok(machines) = machine_registry::read_page(&row.value) else {
            tracing::error!(key = %row.key, "unreadable page of the machine registry");
            return;
        };
        self.machine_registry.apply_page(&row.key, &machines, row.store_version);
        for (name, entry) in machines {
            if self.membership.machine_leader(&name) == Some(self.settings.me) {
                self.machine_shard.load_record(now, &name, entry);
            }
            self.record_loading.machines.push(name);
        }
    }

    fn finish_loading(&mut self, now: Micros) {
        let machines = std::mem::take(&mut self.record_loading.machines);
        self.job_shard.finish_loading(machines.into_iter());
        let (jobs, ..) = self.job_shard.task_counts();
        tracing::info!(
            epoch = self.membership.epoch,
            jobs,
            machines = self.job_shard.unconfirmed_machine_count(),
            "records loaded"
        );
        self.apply_handed_off_jobs(now);
    }

    /// Applies a job's live record. Returns false if it is unreadable, in which case the job's state is
    /// unknown.
    pub(super) fn apply_job_row(&mut self, row: KeyValue) -> bool {
        let Some(id) = row.key.strip_prefix("job/") else { return false };
        if self.membership.job_leader(id) != Some(self.settings.me) {
            return true;
        }
        match JobShard::read_record(&row.value) {
            Some((raw, spec, accepted, done)) if spec.id == id => {
                // If the job is known, the latest write may be our own and doesn't show whether another
                // leader held the job before.
                let unknown = !self.job_shard.jobs.contains_key(id);
                self.job_shard.insert_job(raw, spec, accepted, done, row.store_version, false);
                if unknown
                    && self.job_shard.jobs.contains_key(id)
                    && row.store_version > self.membership.store_version
                {
                    self.job_shard.await_epoch_check(self.rounds.last_round, id);
                }
                true
            }
            _ => {
                tracing::error!(job = id, "unreadable job record");
                false
            }
        }
    }
}
