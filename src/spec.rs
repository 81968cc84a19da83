//! A job as its user describes it: the wire's form, the checks, and the form used inside.

use crate::config::settings::TeamSettings;
use crate::units::{Micros, Resources};
use hazelsaddle_coordination::record::{self, Key};
use hazelsaddle_release::calendar::Stage;
use hazelsaddle_release::release_ref::ReleaseRef;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Work of teams with a guarantee stands above all other work, whatever its priority: this much is added.
/// What other teams run may be stopped to give a team its guarantee, so it also makes room.
pub const GUARANTEED: u8 = 10;
/// Longest request body taken.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks a job may have.
const TASK_LIMIT: u64 = 100_000;

/// How a job's tasks hang together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// All run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// A checked job description.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// How its tasks hang together.
    pub kind: JobKind,
    /// Higher goes first: production 3, high 2, normal 1, idle 0.
    pub priority: u8,
    /// How many tasks.
    pub tasks: u32,
    /// What each takes.
    pub room: Resources,
    /// Allowed types; empty: any.
    pub kinds: Vec<String>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// Whether spot machines will do.
    pub spot: bool,
    /// The image.
    pub image: String,
    /// Hash of its name.
    pub image_hash: u64,
    /// The owner's guess of a task's run time.
    pub estimate: Micros,
    /// Interval of checkpoints; zero: never saves.
    pub checkpoint: Micros,
    /// Time to save when stopped.
    pub save: Micros,
    /// When it should be complete, from its submission.
    pub deadline: Option<Micros>,
    /// Jobs that must be done before any of its tasks starts: in order, each once.
    pub follows: Vec<String>,
    /// The release that it belongs to.
    pub release: Option<ReleaseRef>,
    /// The batch and version that it is a run of.
    pub batch: Option<Batch>,
    /// The batch and version that it may merge.
    pub merges: Option<Batch>,
}

/// A batch and a version of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The batch.
    pub name: String,
    /// Its version.
    pub version: u64,
}

impl Batch {
    /// The key of the batch's record.
    pub fn key(&self) -> Option<Key> {
        Key::new(record::Kind::Batch, &self.name).ok()
    }
}

/// A machine type, as the cloud lists it.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processors.
    #[serde(rename = "vcpus")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Price an hour as a spot machine.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "startupS", default)]
    pub boot_s: f64,
    /// Zones that have it.
    #[serde(rename = "paddocks", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    /// All its room; rounded down, as needs are rounded up.
    pub fn room(&self) -> Resources {
        let down = |x: f64| (x * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(self.cpus), gpus: down(self.gpus), memory: down(self.memory_gb) }
    }
}

/// The machine types by name.
pub type Types = BTreeMap<String, MachineType>;

/// Why a submission is turned down.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SpecError {
    /// Malformed: the field and what is wrong with it.
    #[error("{0}: {1}")]
    Field(&'static str, &'static str),
    /// The same for a member that has parts of its own.
    #[error("{0}")]
    Member(String),
    /// Malformed as a whole.
    #[error("{0}")]
    Body(&'static str),
    /// Well-formed, but can never run.
    #[error("{0}")]
    Impossible(String),
}

impl SpecError {
    /// The protocol's status for it: 400 if it is malformed, 422 if it can never run.
    pub fn status(&self) -> u16 {
        match self {
            SpecError::Field(..) | SpecError::Member(_) | SpecError::Body(_) => 400,
            SpecError::Impossible(_) => 422,
        }
    }
}

/// Whether this is a job id.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("wk-")
        .is_some_and(|n| (1..=18).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

struct Fields<'a>(&'a Map<String, Value>);

impl Fields<'_> {
    fn get(&self, key: &'static str) -> Option<&Value> {
        self.0.get(key).filter(|v| !v.is_null())
    }
    fn text(&self, key: &'static str) -> Result<String, SpecError> {
        let v = self.get(key).ok_or(SpecError::Field(key, "is missing"))?;
        let s = v.as_str().ok_or(SpecError::Field(key, "must be a string"))?;
        if s.is_empty() || s.len() > 200 {
            return Err(SpecError::Field(key, "must have 1 to 200 bytes"));
        }
        Ok(s.to_owned())
    }
    fn amount(&self, key: &'static str) -> Result<f64, SpecError> {
        let v = self.get(key).ok_or(SpecError::Field(key, "is missing"))?;
        let x = v.as_f64().ok_or(SpecError::Field(key, "must be a number"))?;
        if !x.is_finite() || !(0.0..=1e9).contains(&x) {
            return Err(SpecError::Field(key, "must be finite and from 0 to 1000000000"));
        }
        Ok(x)
    }
    fn release(&self) -> Result<Option<ReleaseRef>, SpecError> {
        let read = |v| ReleaseRef::parse(v).map_err(|e| SpecError::Member(e.to_string()));
        self.get("release").map(read).transpose()
    }
    fn batch(&self, key: &'static str) -> Result<Option<Batch>, SpecError> {
        let Some(v) = self.get(key) else { return Ok(None) };
        let wrong = |why| SpecError::Field(key, why);
        let map = v.as_object().ok_or(wrong("must be an object"))?;
        let name = map.get("name").and_then(Value::as_str).ok_or(wrong("name must be a string"))?;
        let version = map.get("version").and_then(Value::as_u64);
        let version = version.ok_or(wrong("version must be a whole number"))?;
        if Key::new(record::Kind::Batch, name).is_err() {
            return Err(wrong("name must be short, and have neither spaces, slashes nor control characters"));
        }
        Ok(Some(Batch { name: name.to_owned(), version }))
    }
    fn flag(&self, key: &'static str) -> Result<bool, SpecError> {
        let v = self.get(key).ok_or(SpecError::Field(key, "is missing"))?;
        v.as_bool().ok_or(SpecError::Field(key, "must be true or false"))
    }
}

impl JobSpec {
    /// Reads a submission's body.
    pub fn parse(body: &str) -> Result<JobSpec, SpecError> {
        if body.len() > BODY_LIMIT {
            return Err(SpecError::Body("the body is over 64 KiB"));
        }
        let v: Value = serde_json::from_str(body).map_err(|_| SpecError::Body("the body is not JSON"))?;
        JobSpec::from_value(&v)
    }

    /// Reads a description from JSON.
    pub fn from_value(v: &Value) -> Result<JobSpec, SpecError> {
        let f = Fields(v.as_object().ok_or(SpecError::Body("the body is not an object"))?);
        let id = f.text("uid")?;
        if !is_job_id(&id) {
            return Err(SpecError::Field("uid", "must be wk- and digits"));
        }
        let kind = match f.text("gait")?.as_str() {
            "batch" => JobKind::Array,
            "group" => JobKind::Gang,
            "service" => JobKind::Service,
            _ => return Err(SpecError::Field("gait", "must be batch, group or service")),
        };
        let priority = match f.text("rank")?.as_str() {
            "production" => 3,
            "high" => 2,
            "normal" => 1,
            "idle" => 0,
            _ => return Err(SpecError::Field("rank", "must be production, high, normal or idle")),
        };
        let strides = f.get("strides").ok_or(SpecError::Field("strides", "is missing"))?;
        let tasks = strides.as_u64().ok_or(SpecError::Field("strides", "must be a whole number"))?;
        if !(1..=TASK_LIMIT).contains(&tasks) {
            return Err(SpecError::Field("strides", "must be from 1 to 100000"));
        }
        let room = Resources::need(f.amount("vcpus")?, f.amount("cards")?, f.amount("ramGb")?);
        f.amount("imageGb")?;
        let kinds = match f.get("breedsOfStall") {
            None => Vec::new(),
            Some(v) => {
                let wrong = SpecError::Field("breedsOfStall", "must be a list of type names, or null");
                let list = v.as_array().filter(|l| !l.is_empty() && l.len() <= 1000).ok_or(wrong.clone())?;
                list.iter().map(|k| k.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>().ok_or(wrong)?
            }
        };
        let zone = if f.get("paddock").is_some() { Some(f.text("paddock")?) } else { None };
        let deadline =
            if f.get("dueS").is_some() { Some(Micros::from_secs(f.amount("dueS")?)) } else { None };
        let wrong = SpecError::Field("follows", "must be a list of job ids");
        let mut follows = match f.get("follows") {
            None => Vec::new(),
            Some(v) => {
                let list = v.as_array().ok_or(wrong.clone())?.iter().map(|x| x.as_str().map(str::to_owned));
                list.collect::<Option<Vec<_>>>().filter(|l| l.iter().all(|x| is_job_id(x))).ok_or(wrong)?
            }
        };
        follows.sort_unstable();
        follows.dedup();
        Ok(JobSpec {
            follows,
            release: f.release()?,
            batch: f.batch("batch")?,
            merges: f.batch("merges")?,
            id,
            class: f.text("breed")?,
            team: f.text("herd")?,
            kind,
            priority,
            tasks: tasks as u32,
            room,
            kinds,
            zone,
            one_zone: f.flag("together")?,
            spread: f.flag("scatter")?,
            spot: f.flag("borrowed")?,
            image_hash: twox_hash::XxHash64::oneshot(1, f.text("tack")?.as_bytes()),
            image: f.text("tack")?,
            estimate: Micros::from_secs(f.amount("rideS")?),
            checkpoint: Micros::from_secs(f.amount("restS")?),
            save: Micros::from_secs(f.amount("unsaddleS")?),
            deadline,
        })
    }

    /// Urgent work that would lose all it did with its machine: a spot machine that is taken costs it more than
    /// a fuller ordinary one saves.
    pub fn hurried(&self) -> bool {
        self.priority % GUARANTEED >= 2 && self.checkpoint == Micros(0) && self.kind != JobKind::Service
    }

    /// Whether it names a pact: such jobs are taken only while every controller knows of pacts.
    pub fn has_pact(&self) -> bool {
        self.release.is_some() || self.batch.is_some() || self.merges.is_some()
    }

    /// Whether it is a rotation, which waits for its release.
    pub fn rotates(&self) -> bool {
        self.release.as_ref().is_some_and(|r| r.stage == Stage::Rotation)
    }

    /// Whether the job can ever run here.
    pub fn check(&self, types: &Types, teams: &[TeamSettings]) -> Result<(), SpecError> {
        let never = |why: String| Err(SpecError::Impossible(why));
        if self.follows.contains(&self.id) {
            return never(format!("follows: {} can't wait for itself", self.id));
        }
        let Some(team) = teams.iter().find(|t| t.name == self.team) else {
            return never(format!("unknown team {}", self.team));
        };
        let fits = |t: &MachineType| {
            (self.kinds.is_empty() || self.kinds.contains(&t.name))
                && self.zone.as_ref().map_or(!t.zones.is_empty(), |z| t.zones.contains(z))
                && t.room().holds(self.room)
        };
        if !types.values().any(fits) {
            return never("a task fits no allowed machine type".into());
        }
        // Guards against a gang that is accepted and waits for ever: all its tasks run at the same time, and one zone may
        // have no more than half of those that are to be scattered.
        if self.kind == JobKind::Gang && self.spread && self.tasks > 1 {
            let zones = types.values().filter(|t| fits(t)).flat_map(|t| &t.zones);
            let zones: BTreeSet<&String> =
                zones.filter(|z| self.zone.as_ref().is_none_or(|only| only == *z)).collect();
            if self.one_zone || zones.len() < 2 {
                return never("a gang's tasks can't be scattered over a single zone".into());
            }
        }
        let together = if self.kind == JobKind::Array { 1 } else { i64::from(self.tasks) };
        let all = self.room.times(together);
        for (need, most, what) in [(all.cpus, team.cpus_max, "processors"), (all.gpus, team.gpus_max, "GPUs")]
        {
            if most > 0.0 && need > (most * 1000.0 + 1e-6) as i64 {
                return never(format!("the job needs more {what} than its team's limit"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn body() -> Value {
        json!({"uid":"wk-000412","breed":"train","herd":"vision","gait":"group","rank":"high","strides":16,
            "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
            "paddock":null,"together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
            "unsaddleS":4.0,"dueS":900.0})
    }

    #[test]
    fn each_missing_or_wrong_field_is_named() {
        assert!(JobSpec::from_value(&body()).is_ok());
        let optional = ["breedsOfStall", "paddock", "dueS"];
        for key in body().as_object().unwrap().keys() {
            let mut b = body();
            b.as_object_mut().unwrap().remove(key);
            if optional.contains(&key.as_str()) {
                assert!(JobSpec::from_value(&b).is_ok(), "{key}");
            } else {
                let e = JobSpec::from_value(&b).unwrap_err().to_string();
                assert!(e.starts_with(key.as_str()), "{e}");
            }
            for wrong in [json!({}), json!([1]), json!(-1.0), json!("")] {
                b[key] = wrong;
                let e = JobSpec::from_value(&b).unwrap_err().to_string();
                assert!(e.starts_with(key.as_str()), "{e}");
            }
        }
        for text in ["", "[]", "7", "{", "nul"] {
            assert!(matches!(JobSpec::parse(text), Err(SpecError::Body(_))), "{text}");
        }
    }

    #[test]
    fn malformed_pacts_are_named() {
        let with = |key: &str, v: Value| {
            let mut b = body();
            b[key] = v;
            JobSpec::from_value(&b)
        };
        let long = "x".repeat(120);
        for (key, wrong) in [
            ("release", json!("tonight")),
            ("release", json!({"title": "t"})),
            ("release", json!({"title": "t", "stage": "dance"})),
            ("release", json!({"title": "a b", "stage": "render"})),
            ("release", json!({"title": "", "stage": "render"})),
            ("release", json!({"title": long, "stage": "render"})),
            ("release", json!({"title": "t", "stage": "render", "night": "1-12-2026"})),
            ("release", json!({"title": "t", "stage": "render", "night": 7})),
            ("batch", json!({"name": "b"})),
            ("batch", json!({"name": "b", "version": -1})),
            ("batch", json!({"name": "b/c", "version": 1})),
            ("merges", json!({"name": "", "version": 1})),
            ("merges", json!([])),
        ] {
            let e = with(key, wrong.clone()).expect_err("malformed").to_string();
            assert!(e.starts_with(key), "{wrong}: {e}");
        }
        let s = with("release", json!({"title": "t", "stage": "rotation", "night": "2026-12-01"}))
            .expect("valid");
        assert!(s.rotates() && s.has_pact());
        assert_eq!(s.release.and_then(|r| r.key()).map(|k| k.head()), Some("pact/r/t@2026-12-01".into()));
        assert!(with("batch", Value::Null).is_ok_and(|s| !s.has_pact()));
    }

    #[test]
    fn jobs_that_can_never_run_are_told_so() {
        let g8 = MachineType {
            name: "g8".into(),
            cpus: 96.0,
            gpus: 8.0,
            memory_gb: 768.0,
            price: 1.0,
            spot_price: 1.0,
            boot_s: 1.0,
            zones: vec!["a".into()],
        };
        let types: Types = [("g8".to_owned(), g8)].into();
        let mut team =
            TeamSettings { name: "vision".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
        let spec = JobSpec::from_value(&body()).unwrap();
        assert_eq!(spec.check(&types, std::slice::from_ref(&team)), Ok(()));
        team.gpus_max = 15.0;
        assert!(spec.check(&types, std::slice::from_ref(&team)).is_err(), "gang of 16 over a limit of 15");
        let array = JobSpec { kind: JobKind::Array, ..spec.clone() };
        assert_eq!(array.check(&types, std::slice::from_ref(&team)), Ok(()));
        assert!(array.check(&types, &[]).is_err(), "unknown team");
        let big = JobSpec { room: Resources::need(97.0, 0.0, 1.0), ..array.clone() };
        assert!(big.check(&types, std::slice::from_ref(&team)).is_err());
        let elsewhere = JobSpec { zone: Some("b".into()), ..array };
        assert!(elsewhere.check(&types, &[team]).is_err());
    }
}
