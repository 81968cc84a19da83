//! Jobs' records in the state store: their form, and the changes that are due.

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

/// Bytes of a record beside the description and the completed tasks, with some to spare.
const RECORD_OVERHEAD: usize = 200;
/// The least of those: a description that leaves less fills a value by itself.
const LEAST_OVERHEAD: usize = 60;
/// Pause before progress that does not fit is looked at again.
const NO_FIT_PAUSE: Micros = Micros::from_millis(5_000);
/// The least time between two writes of a job's progress.
const PROGRESS_EVERY: Micros = Micros::from_millis(4_000);
/// Pause after a write that failed.
const RETRY_PAUSE: Micros = Micros::from_millis(500);

/// A change of a job's record.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// Progress: the record, and the completed tasks that it names.
    Progress(Value, TaskIndexSet),
    /// The end: the outcome, and the final record.
    End(JobOutcome, Value),
}

impl JobShard {
    /// Reads a job's record: its description, what that says, when it was accepted, and its completed tasks. None if it
    /// is of an unknown form.
    pub fn read_record(record: &Value) -> Option<(Value, JobSpec, Micros, TaskIndexSet)> {
        let raw = dependencies::restored(record.get("spec")?)?;
        let spec = JobSpec::from_value(&raw).ok()?;
        let accepted = Micros(record.get("accepted_us")?.as_u64()?);
        let done = TaskIndexSet::decode(record.get("done")?.as_str()?, spec.task_count)?;
        Some((raw, spec, accepted, done))
    }

    /// A job's record.
    pub fn build_record(raw: &Value, accepted: Micros, done: &str) -> Value {
        json!({"spec": raw, "accepted_us": accepted.0, "done": done})
    }

    /// The record of a job that waits for others.
    pub fn build_waiting_record(raw: &Value, accepted: Micros) -> Value {
        JobShard::build_record(&dependencies::held(raw, false), accepted, "")
    }

    /// The record of a job that is new.
    pub fn build_new_record(raw: &Value, spec: &JobSpec, accepted: Micros) -> Value {
        match (Hold::of(spec, raw).is_some(), spec.dependencies.is_empty()) {
            (true, _) => JobShard::build_record(&dependencies::held(raw, true), accepted, ""),
            (_, false) => JobShard::build_waiting_record(raw, accepted),
            _ => JobShard::build_record(raw, accepted, ""),
        }
    }

    /// The most bytes that a job's record may come to, its progress aside, and its end's: to be looked at before it is
    /// taken, since what an end says may not be left out later.
    pub fn max_record_bytes(raw: &Value, spec: &JobSpec, accepted: Micros) -> usize {
        let bytes = |record: Value| record.to_string().len();
        let first = bytes(JobShard::build_new_record(raw, spec, accepted));
        if !spec.has_coordination_record() {
            return first;
        }
        let later = JobShard::build_record(&dependencies::released(raw, accepted), accepted, "");
        let end = JobShard::end_record(raw, JobOutcome::Cancelled, spec.task_count);
        first.max(bytes(later)).max(bytes(end))
    }

    /// The record of a job's end.
    fn end_record(raw: &Value, outcome: JobOutcome, done: u32) -> Value {
        let end = match outcome {
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "cancelled",
        };
        let mut record = json!({"end": end, "done": done});
        if let Some(says) = dependencies::says(raw) {
            record["says"] = says;
        }
        record
    }

    /// A live job's description as it is to be stored.
    fn stored_raw(job: &Job) -> Value {
        match (job.is_waiting(), job.released_wall) {
            (true, _) => dependencies::held(&job.raw, job.hold.is_some()),
            (false, Some(at)) => dependencies::released(&job.raw, at),
            (false, None) => job.raw.clone(),
        }
    }

    /// The next change of a job's record that is due, with the job and the version that it replaces: an end, or progress.
    /// The job's record is taken to be under way until `confirm_progress`, `end_job` or `fail_write`.
    pub fn next_write(&mut self, now: Micros, ends: bool) -> Option<(String, RecordWrite, u64)> {
        self.note_ends(now);
        if ends { self.next_end(now) } else { self.next_progress(now) }
    }

    /// The next end: cancellations first, whose users wait for it, and then those that have waited for longest. In any other
    /// order the same few would go last for as long as there are more ends than the state store takes.
    fn next_end(&mut self, now: Micros) -> Option<(String, RecordWrite, u64)> {
        // Guards against an end that is told by who led the job before us and reads it there, while we have yet to hear that
        // our write was carried out and still say that the job runs.
        if !self.older_leaders_stopped {
            return None;
        }
        let id = self.first_due_end(now)?;
        let job = self.jobs.get_mut(&id)?;
        let outcome = job.pending_outcome?;
        job.write_in_flight = true;
        let mut record = JobShard::end_record(&job.raw, outcome, job.done.len());
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
        // Guards against a start after the user was told that the job is cancelled: one that waits at a machine's leader,
        // or is on its way to an agent.
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
            let raw = JobShard::stored_raw(job);
            let raw_bytes = raw.to_string().len();
            let text = job.done.encode(self.value_bytes.saturating_sub(raw_bytes + RECORD_OVERHEAD));
            let recorded = TaskIndexSet::decode(&text, job.spec.task_count).unwrap_or_default();
            // A description from before the limits fell may fill a value by itself: its progress stays
            // with the agents until its end, which is short, is on record.
            if recorded == job.recorded || raw_bytes + LEAST_OVERHEAD > self.value_bytes {
                job.next_progress = now + NO_FIT_PAUSE;
                continue;
            }
            job.write_in_flight = true;
            let record = JobShard::build_record(&raw, job.accepted_wall, &text);
            return Some((id.clone(), RecordWrite::Progress(record, recorded), job.store_version));
        }
        None
    }

    /// Progress is on record: agents may forget the tasks that it names.
    pub fn confirm_progress(&mut self, now: Micros, id: &str, recorded: TaskIndexSet, store_version: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.write_in_flight = false;
        job.store_version = job.store_version.max(store_version);
        // Its end doesn't wait for that.
        job.next_progress = now + PROGRESS_EVERY;
        for (key, start) in self.retired_starts.of_job_mut(id) {
            if !start.alive && recorded.contains(key.index) && start.action != DesiredAction::Forget {
                start.action = DesiredAction::Forget;
                self.delivery.mark_changed(&key.machine, &key.job, key.index, key.attempt);
            }
        }
        job.recorded = recorded;
    }

    /// A change of a record failed; unless that is `certain` it may have been applied, and its version is read first.
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
