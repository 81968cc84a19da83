//! The records of jobs in the state store: their format, and the writes that are due.

use super::JobShard;
use super::cancellation::QueuedEnd;
use super::dependencies::{self, Hold};
use super::job::Job;
use super::outcomes::JobOutcome;
use crate::peer::DesiredAction;
use crate::spec::JobSpec;
use crate::units::{Micros, TaskIndexSet};
use crate::wire::users;
use serde_json::{Value, json};

/// Size of a record in bytes, apart from the description and the completed tasks, with a margin.
const RECORD_OVERHEAD: usize = 200;
/// Minimum of that size: a description that leaves less fills a value by itself.
const MIN_RECORD_OVERHEAD: usize = 60;
/// Pause before the next attempt to write progress that does not fit into a value.
const NO_FIT_PAUSE: Micros = Micros::from_millis(5_000);
/// Minimum time between two writes of a job's progress.
const PROGRESS_INTERVAL: Micros = Micros::from_millis(4_000);
/// Pause after a failed write.
const RETRY_PAUSE: Micros = Micros::from_millis(500);

/// A write of a job's record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// Progress: the record, and the completed tasks that it lists.
    Progress(Value, TaskIndexSet),
    /// The end of the job: its outcome, and the final record.
    End(JobOutcome, Value),
}

impl JobShard {
    /// Decodes a job's record into its description, its specification, its acceptance time and its completed
    /// tasks. None if the format is unknown.
    pub fn read_record(record: &Value) -> Option<(Value, JobSpec, Micros, TaskIndexSet)> {
        let raw_spec = dependencies::decode_description(record.get("spec")?)?;
        let spec = JobSpec::from_value(&raw_spec).ok()?;
        let accepted = Micros(record.get("accepted_us")?.as_u64()?);
        let done = TaskIndexSet::decode(record.get("done")?.as_str()?, spec.task_count)?;
        Some((raw_spec, spec, accepted, done))
    }

    /// Builds the record of a live job.
    pub fn build_record(raw_spec: &Value, accepted: Micros, done: &str) -> Value {
        json!({"spec": raw_spec, "accepted_us": accepted.0, "done": done})
    }

    /// Builds the record of a job that waits for its dependencies.
    pub fn build_waiting_record(raw_spec: &Value, accepted: Micros) -> Value {
        JobShard::build_record(&dependencies::encode_waiting(raw_spec, false), accepted, "")
    }

    /// Builds the record of a new job.
    pub fn build_new_record(raw_spec: &Value, spec: &JobSpec, accepted: Micros) -> Value {
        match (Hold::of(spec, raw_spec).is_some(), spec.dependencies.is_empty()) {
            (true, _) => JobShard::build_record(&dependencies::encode_waiting(raw_spec, true), accepted, ""),
            (_, false) => JobShard::build_waiting_record(raw_spec, accepted),
            _ => JobShard::build_record(raw_spec, accepted, ""),
        }
    }

    /// The maximum size in bytes that a job's records, including the final one, may have without its
    /// progress. It is checked before the job is accepted, since the declarations of the final record cannot
    /// be left out later.
    pub fn max_record_bytes(raw_spec: &Value, spec: &JobSpec, accepted: Micros) -> usize {
        let bytes = |record: Value| record.to_string().len();
        let first = bytes(JobShard::build_new_record(raw_spec, spec, accepted));
        if !spec.has_coordination_record() {
            return first;
        }
        let later = JobShard::build_record(&dependencies::encode_released(raw_spec, accepted), accepted, "");
        let end = JobShard::end_record(raw_spec, JobOutcome::Cancelled, spec.task_count);
        first.max(bytes(later)).max(bytes(end))
    }

    /// Builds the final record of a job.
    fn end_record(raw_spec: &Value, outcome: JobOutcome, done: u32) -> Value {
        let end = match outcome {
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "cancelled",
        };
        let mut record = json!({"end": end, "done": done});
        if let Some(declarations) = dependencies::declarations(raw_spec) {
            record["says"] = declarations;
        }
        record
    }

    /// The description of a live job in its stored format.
    fn stored_spec(job: &Job) -> Value {
        match (job.is_waiting(), job.released_wall) {
            (true, _) => dependencies::encode_waiting(&job.raw_spec, job.hold.is_some()),
            (false, Some(at)) => dependencies::encode_released(&job.raw_spec, at),
            (false, None) => job.raw_spec.clone(),
        }
    }

    /// The next due write of a job's record, with the job and the version that it replaces: the final record
    /// if `ends`, or progress. The record is considered in flight until `confirm_progress`, `end_job` or
    /// `fail_write` is called.
    pub fn next_write(&mut self, now: Micros, ends: bool) -> Option<(String, RecordWrite, u64)> {
        self.collect_ends(now);
        if ends { self.next_end(now) } else { self.next_progress(now) }
    }

    /// The next final record: cancellations first, since their users wait for it, and then by waiting time.
    /// In any other order the same few jobs would go last for as long as there are more final records than
    /// the state store accepts.
    fn next_end(&mut self, now: Micros) -> Option<(String, RecordWrite, u64)> {
        // Guards against contradictory answers: the job's previous leader could read the final record and
        // report the outcome, while this controller has not yet received the response to its write and still
        // reports the job as running.
        if !self.older_leaders_stopped {
            return None;
        }
        let id = self.first_due_end(now)?;
        let job = self.jobs.get_mut(&id)?;
        let outcome = job.pending_outcome?;
        job.write_in_flight = true;
        let mut record = JobShard::end_record(&job.raw_spec, outcome, job.done.len());
        if self.class_in_end_records && record.get("says").is_none() {
            record["says"] = json!({users::CLASS: job.spec.class});
        }
        Some((id, RecordWrite::End(outcome, record), job.store_version))
    }

    fn first_due_end(&mut self, now: Micros) -> Option<String> {
        let mut queue = std::mem::take(&mut self.end_queue.queue);
        let (mut next, mut stale) = (None, Vec::new());
        for end in &queue {
            if !self.jobs.contains_key(&end.id) {
                stale.push(end.clone());
            } else if self.is_end_due(now, end) {
                next = Some(end.id.clone());
                break;
            }
        }
        for end in stale {
            queue.remove(&end);
        }
        self.end_queue.queue = queue;
        next
    }

    fn is_end_due(&mut self, now: Micros, end: &QueuedEnd) -> bool {
        let Some(job) = self.jobs.get(&end.id) else { return false };
        // Guards against a task that starts after the user was told that the job is cancelled: its attempt
        // may be queued at a machine's leader or be in transit to a worker.
        !job.write_in_flight
            && !job.needs_reread
            && now >= job.next_write
            && (end.done || self.is_withdrawn(now, &end.id))
    }

    fn next_progress(&mut self, now: Micros) -> Option<(String, RecordWrite, u64)> {
        for (id, job) in &mut self.jobs {
            let due =
                !job.write_in_flight && !job.needs_reread && now >= job.next_write.max(job.next_progress);
            if !due || job.pending_outcome.is_some() || job.done.len() <= job.recorded.len() {
                continue;
            }
            let raw_spec = JobShard::stored_spec(job);
            let spec_bytes = raw_spec.to_string().len();
            let text = job.done.encode(self.value_bytes.saturating_sub(spec_bytes + RECORD_OVERHEAD));
            let recorded = TaskIndexSet::decode(&text, job.spec.task_count).unwrap_or_default();
            // A description accepted before the limits were lowered may fill a value by itself. Its progress
            // stays with the workers until the final record, which is short, is stored.
            if recorded == job.recorded || spec_bytes + MIN_RECORD_OVERHEAD > self.value_bytes {
                job.next_progress = now + NO_FIT_PAUSE;
                continue;
            }
            job.write_in_flight = true;
            let record = JobShard::build_record(&raw_spec, job.accepted_wall, &text);
            return Some((id.clone(), RecordWrite::Progress(record, recorded), job.store_version));
        }
        None
    }

    /// Handles stored progress: workers may forget the tasks that the record lists.
    pub fn confirm_progress(&mut self, now: Micros, id: &str, recorded: TaskIndexSet, store_version: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.write_in_flight = false;
        job.store_version = job.store_version.max(store_version);
        // The final record does not wait for this time.
        job.next_progress = now + PROGRESS_INTERVAL;
        for (key, start) in self.retired_starts.attempts_of_job_mut(id) {
            if !start.alive && recorded.contains(key.index) && start.action != DesiredAction::Forget {
                start.action = DesiredAction::Forget;
                self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            }
        }
        job.recorded = recorded;
    }

    /// Handles a failed write of a record. Unless the failure is `certain`, the write may have been applied,
    /// so the version of the record is read first.
    pub fn fail_write(&mut self, now: Micros, id: &str, certain: bool) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.write_in_flight = false;
            job.needs_reread = !certain;
            job.next_write = now + RETRY_PAUSE;
        }
    }

    /// A job whose record's version must be read.
    pub fn next_reread(&self) -> Option<String> {
        let mut jobs = self.jobs.iter().filter(|(_, job)| job.needs_reread && !job.write_in_flight);
        jobs.next().map(|(id, _)| id.clone())
    }
}
