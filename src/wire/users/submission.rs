//! A submission: the body of `POST /v1/jobs` (PROTOCOL, "POST /v1/jobs").
//!
//! The body is kept as the job's description, in the protocol's own terms: what is stored can be read again by
//! [`JobSpec::from_value`], and an answer can repeat it.

use crate::spec::{BatchRef, JobKind, JobSpec, is_job_id};
use crate::units::{Micros, Resources};
use hazelsaddle_coordination::record::{self, Key};
use hazelsaddle_release::release_ref::ReleaseRef;
use serde_json::{Map, Value, json};

/// Longest body accepted, in bytes.
pub const BODY_LIMIT_BYTES: usize = 64 * 1024;
/// Most tasks that a job may have.
const TASK_LIMIT: u64 = 100_000;
/// Longest text of a field, in bytes.
const TEXT_LIMIT: usize = 200;
/// Largest amount of a field.
const AMOUNT_LIMIT: f64 = 1e9;
/// Most machine types that a job may name.
const MACHINE_TYPE_LIMIT: usize = 1000;
/// Seed of the hash of an image's name. Hashes go to other controllers, so it stays.
const IMAGE_HASH_SEED: u64 = 1;

/// The fields that the protocol defines without an extension; a stored description has no others but those of
/// dependencies, releases and batches.
const PLAIN_FIELDS: [&str; 20] = [
    "uid",
    "breed",
    "herd",
    "gait",
    "rank",
    "strides",
    "vcpus",
    "cards",
    "ramGb",
    "tack",
    "imageGb",
    "breedsOfStall",
    "paddock",
    "together",
    "scatter",
    "borrowed",
    "rideS",
    "restS",
    "unsaddleS",
    "dueS",
];

/// Why a submission is malformed. The texts name the protocol's fields: users read them.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SubmissionError {
    /// A field is missing or has a wrong value.
    #[error("{field}: {problem}")]
    Field {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// A field that has fields of its own is malformed: the text names the inner field.
    #[error("{0}")]
    Member(String),
    /// The body as a whole can't be read.
    #[error("{0}")]
    Body(&'static str),
}

impl SubmissionError {
    /// The protocol's status for a malformed submission.
    pub fn status(&self) -> u16 {
        400
    }
}

impl JobSpec {
    /// Reads the body of a submission.
    ///
    /// # Errors
    /// If it is too long, is not JSON, or a field is missing or wrong.
    pub fn parse(body: &str) -> Result<JobSpec, SubmissionError> {
        if body.len() > BODY_LIMIT_BYTES {
            return Err(SubmissionError::Body("the body is over 64 KiB"));
        }
        let value: Value =
            serde_json::from_str(body).map_err(|_| SubmissionError::Body("the body is not JSON"))?;
        JobSpec::from_value(&value)
    }

    /// Reads a description: a submission's body, or what is stored of it.
    ///
    /// # Errors
    /// The first field, in the order of the checks, that is missing or wrong.
    pub fn from_value(value: &Value) -> Result<JobSpec, SubmissionError> {
        JobSpec::try_from(value)
    }
}

impl TryFrom<&Value> for JobSpec {
    type Error = SubmissionError;

    fn try_from(value: &Value) -> Result<JobSpec, SubmissionError> {
        let fields = Fields(value.as_object().ok_or(SubmissionError::Body("the body is not an object"))?);
        let id = fields.job_id()?;
        let kind = fields.kind()?;
        let priority = fields.priority()?;
        let tasks = fields.task_count()?;
        let room =
            Resources::rounded_up(fields.amount("vcpus")?, fields.amount("cards")?, fields.amount("ramGb")?);
        // It has to be valid; nothing depends on it.
        fields.amount("imageGb")?;
        let kinds = fields.machine_types()?;
        let zone = fields.get("paddock").map(|_| fields.text("paddock")).transpose()?;
        let deadline = fields.get("dueS").map(|_| fields.duration("dueS")).transpose()?;
        Ok(JobSpec {
            dependencies: fields.dependencies()?,
            release: fields.release()?,
            batch: fields.batch("batch")?,
            merges: fields.batch("merges")?,
            id,
            class: fields.text("breed")?,
            team: fields.text("herd")?,
            kind,
            priority,
            task_count: tasks,
            resources_per_task: room,
            machine_types: kinds,
            zone,
            one_zone: fields.flag("together")?,
            spread: fields.flag("scatter")?,
            spot_allowed: fields.flag("borrowed")?,
            image_hash: twox_hash::XxHash64::oneshot(IMAGE_HASH_SEED, fields.text("tack")?.as_bytes()),
            image: fields.text("tack")?,
            estimated_run_time: fields.duration("rideS")?,
            checkpoint_interval: fields.duration("restS")?,
            checkpoint_duration: fields.duration("unsaddleS")?,
            deadline,
        })
    }
}

/// The description that is stored of a submission: its fields as they came, without those that mean nothing here. Fields
/// of dependencies, releases and batches are those that were read.
pub fn stored_description(submitted: &Value, spec: &JobSpec) -> Value {
    let Some(fields) = submitted.as_object() else { return Value::Null };
    let plain = fields.iter().filter(|(field, _)| PLAIN_FIELDS.contains(&field.as_str()));
    let mut stored: Map<String, Value> = plain.map(|(field, value)| (field.clone(), value.clone())).collect();
    if !spec.dependencies.is_empty() {
        stored.insert("follows".into(), json!(spec.dependencies));
    }
    if let Some(release) = &spec.release {
        stored.insert("release".into(), release.to_value());
    }
    for (field, batch) in [("batch", &spec.batch), ("merges", &spec.merges)] {
        if let Some(batch) = batch {
            stored.insert(field.into(), json!({"name": batch.name, "version": batch.version}));
        }
    }
    Value::Object(stored)
}

/// The job that a body names, be the rest of it malformed.
pub fn read_job_id(body: &str) -> Option<String> {
    let value: Value = serde_json::from_str(body).ok()?;
    value.get("uid")?.as_str().filter(|id| is_job_id(id)).map(str::to_owned)
}

/// The fields of a body; a field that is null counts as missing.
struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, field: &'static str) -> Option<&Value> {
        self.0.get(field).filter(|value| !value.is_null())
    }

    fn required(&self, field: &'static str) -> Result<&Value, SubmissionError> {
        self.get(field).ok_or(SubmissionError::Field { field, problem: "is missing" })
    }

    fn text(&self, field: &'static str) -> Result<String, SubmissionError> {
        let wrong = |problem| SubmissionError::Field { field, problem };
        let text = self.required(field)?.as_str().ok_or(wrong("must be a string"))?;
        if text.is_empty() || text.len() > TEXT_LIMIT {
            return Err(wrong("must have 1 to 200 bytes"));
        }
        Ok(text.to_owned())
    }

    fn amount(&self, field: &'static str) -> Result<f64, SubmissionError> {
        let wrong = |problem| SubmissionError::Field { field, problem };
        let amount = self.required(field)?.as_f64().ok_or(wrong("must be a number"))?;
        if !amount.is_finite() || !(0.0..=AMOUNT_LIMIT).contains(&amount) {
            return Err(wrong("must be finite and from 0 to 1000000000"));
        }
        Ok(amount)
    }

    fn duration(&self, field: &'static str) -> Result<Micros, SubmissionError> {
        self.amount(field).map(Micros::from_secs)
    }

    fn flag(&self, field: &'static str) -> Result<bool, SubmissionError> {
        let value = self.required(field)?;
        value.as_bool().ok_or(SubmissionError::Field { field, problem: "must be true or false" })
    }

    fn job_id(&self) -> Result<String, SubmissionError> {
        let id = self.text("uid")?;
        if !is_job_id(&id) {
            return Err(SubmissionError::Field { field: "uid", problem: "must be wk- and digits" });
        }
        Ok(id)
    }

    fn kind(&self) -> Result<JobKind, SubmissionError> {
        match self.text("gait")?.as_str() {
            "batch" => Ok(JobKind::Array),
            "group" => Ok(JobKind::Gang),
            "service" => Ok(JobKind::Service),
            _ => {
                let problem = "must be batch, group or service";
                Err(SubmissionError::Field { field: "gait", problem })
            }
        }
    }

    fn priority(&self) -> Result<u8, SubmissionError> {
        match self.text("rank")?.as_str() {
            "production" => Ok(3),
            "high" => Ok(2),
            "normal" => Ok(1),
            "idle" => Ok(0),
            _ => {
                let problem = "must be production, high, normal or idle";
                Err(SubmissionError::Field { field: "rank", problem })
            }
        }
    }

    fn task_count(&self) -> Result<u32, SubmissionError> {
        let wrong = |problem| SubmissionError::Field { field: "strides", problem };
        let tasks = self.required("strides")?.as_u64().ok_or(wrong("must be a whole number"))?;
        if !(1..=TASK_LIMIT).contains(&tasks) {
            return Err(wrong("must be from 1 to 100000"));
        }
        Ok(tasks as u32)
    }

    fn machine_types(&self) -> Result<Vec<String>, SubmissionError> {
        let Some(value) = self.get("breedsOfStall") else { return Ok(Vec::new()) };
        let problem = "must be a list of type names, or null";
        let wrong = SubmissionError::Field { field: "breedsOfStall", problem };
        let list = value.as_array().filter(|list| !list.is_empty() && list.len() <= MACHINE_TYPE_LIMIT);
        list.and_then(|list| texts(list)).ok_or(wrong)
    }

    fn dependencies(&self) -> Result<Vec<String>, SubmissionError> {
        let Some(value) = self.get("follows") else { return Ok(Vec::new()) };
        let wrong = SubmissionError::Field { field: "follows", problem: "must be a list of job ids" };
        let ids = value.as_array().and_then(|list| texts(list));
        let mut ids = ids.filter(|ids| ids.iter().all(|id| is_job_id(id))).ok_or(wrong)?;
        ids.sort_unstable();
        ids.dedup();
        Ok(ids)
    }

    fn release(&self) -> Result<Option<ReleaseRef>, SubmissionError> {
        let read = |value| ReleaseRef::parse(value).map_err(|e| SubmissionError::Member(e.to_string()));
        self.get("release").map(read).transpose()
    }

    fn batch(&self, field: &'static str) -> Result<Option<BatchRef>, SubmissionError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        let wrong = |problem| SubmissionError::Field { field, problem };
        let members = value.as_object().ok_or(wrong("must be an object"))?;
        let name = members.get("name").and_then(Value::as_str).ok_or(wrong("name must be a string"))?;
        let version = members.get("version").and_then(Value::as_u64);
        let version = version.ok_or(wrong("version must be a whole number"))?;
        if Key::new(record::Kind::Batch, name).is_err() {
            return Err(wrong("name must be short, and have neither spaces, slashes nor control characters"));
        }
        Ok(Some(BatchRef { name: name.to_owned(), version }))
    }
}

/// The texts of a list; None if anything else is in it.
fn texts(list: &[Value]) -> Option<Vec<String>> {
    list.iter().map(|value| value.as_str().map(str::to_owned)).collect()
}

#[cfg(test)]
mod tests;
