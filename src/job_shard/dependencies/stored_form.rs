//! The stored format of the descriptions of jobs that wait, have waited or have ended.
//!
//! Earlier versions of the controller read these records too. To them a waiting job fits no machine, and a
//! released job is an ordinary one. The texts and keys here are stored and must never change.

use crate::units::Micros;
use crate::wire::users;
use serde_json::{Map, Value, json};

/// Replaces the allowed machine types in the stored description of a waiting job. A version 1 controller does
/// not support dependencies: it sees a job that fits no machine type, so it keeps, shows and cancels the job
/// but starts nothing.
const PLACEHOLDER_WAITING: &str = "(waits for other jobs)";
/// The same for a job that is held by a coordination record, whether it has dependencies or not. Versions
/// before format version 4 would start a job with the other placeholder as soon as all its dependencies are
/// done. This placeholder fits no machine type in those versions either.
const PLACEHOLDER_HELD: &str = "(held for a pact)";
const KEY_FOLLOWS_AFTER: &str = "followsAfter";
/// Keys within a stored description that only newer versions use. Version 1 preserves unknown keys when it
/// rewrites a record.
const KEY_TYPES: &str = "breedsOfStall";
const KEY_TYPES_AFTER: &str = "typesAfter";
const KEY_FOLLOWS: &str = "follows";
const KEY_RELEASED: &str = "releasedUs";
/// The packed dependencies of a released job. Its final record contains them too.
const KEY_FOLLOWED: &str = "followed";

/// Packs job ids into one text without their common prefix, since hundreds of them must fit into one value.
fn pack_job_ids(ids: &Value) -> Option<String> {
    let numbers = ids.as_array()?.iter().map(|v| v.as_str()?.strip_prefix("wk-"));
    Some(numbers.collect::<Option<Vec<_>>>()?.join(","))
}

/// Unpacks job ids.
pub(crate) fn unpack_job_ids(text: &str) -> Vec<String> {
    text.split(',').filter(|n| !n.is_empty()).map(|n| format!("wk-{n}")).collect()
}

/// The declarations in a job's final record: what other jobs may need to look up about it later. None for a
/// job that names no coordination record and had no dependencies.
pub(in crate::job_shard) fn declarations(raw_spec: &Value) -> Option<Value> {
    let mut declarations = Map::new();
    for key in ["release", "batch", "merges"] {
        if let Some(v) = raw_spec.get(key) {
            declarations.insert(key.into(), v.clone());
        }
    }
    let followed = match raw_spec.get(KEY_FOLLOWS) {
        Some(ids) => pack_job_ids(ids),
        None => raw_spec.get(KEY_FOLLOWED).and_then(Value::as_str).map(str::to_owned),
    };
    if let Some(text) = followed {
        declarations.insert(KEY_FOLLOWS.into(), text.into());
    }
    if declarations.is_empty() {
        return None;
    }
    declarations.insert(users::CLASS.into(), raw_spec.get(users::CLASS).cloned().unwrap_or_default());
    Some(Value::Object(declarations))
}

/// The declarations in a live job's record, in the format of the key `declarations` of a final record; None if there
/// are none.
pub fn declarations_in_record(record: &Value) -> Option<Value> {
    let spec = record.get("spec")?;
    let mut spec_with_packed_ids = spec.clone();
    // The dependencies of a waiting job are already packed.
    for key in [KEY_FOLLOWS, KEY_FOLLOWS_AFTER] {
        if let Some(text) = spec.get(key).and_then(Value::as_str) {
            let map = spec_with_packed_ids.as_object_mut()?;
            map.remove(key);
            map.insert(KEY_FOLLOWED.into(), text.into());
        }
    }
    declarations(&spec_with_packed_ids)
}

/// The stored description of a waiting job.
pub(in crate::job_shard) fn encode_waiting(raw_spec: &Value, by_hold: bool) -> Value {
    let Some(map) = raw_spec.as_object() else { return raw_spec.clone() };
    let mut map = map.clone();
    if let Some(types) =
        map.insert(KEY_TYPES.into(), json!([if by_hold { PLACEHOLDER_HELD } else { PLACEHOLDER_WAITING }]))
        && !types.is_null()
    {
        map.insert(KEY_TYPES_AFTER.into(), types);
    }
    if let Some(text) = map.get(KEY_FOLLOWS).and_then(pack_job_ids) {
        if by_hold {
            map.remove(KEY_FOLLOWS);
        }
        map.insert(if by_hold { KEY_FOLLOWS_AFTER } else { KEY_FOLLOWS }.into(), text.into());
    }
    Value::Object(map)
}

/// The stored description of a released job: an ordinary one, which every version runs.
pub(in crate::job_shard) fn encode_released(raw_spec: &Value, at: Micros) -> Value {
    let Some(map) = raw_spec.as_object() else { return raw_spec.clone() };
    let mut map = map.clone();
    if let Some(text) = map.remove(KEY_FOLLOWS).as_ref().and_then(pack_job_ids) {
        map.insert(KEY_FOLLOWED.into(), text.into());
    }
    map.insert(KEY_RELEASED.into(), at.0.into());
    Value::Object(map)
}

/// Restores the user's description from the stored one; None if its format is unknown.
pub(in crate::job_shard) fn decode_description(stored: &Value) -> Option<Value> {
    let map = stored.as_object()?;
    let placeholder = map.get(KEY_TYPES).and_then(|t| t.get(0)).and_then(Value::as_str);
    let by_hold = placeholder == Some(PLACEHOLDER_HELD);
    if !by_hold && placeholder != Some(PLACEHOLDER_WAITING) {
        return Some(stored.clone());
    }
    let mut map: Map<String, Value> = map.clone();
    match map.remove(KEY_TYPES_AFTER) {
        Some(types) => map.insert(KEY_TYPES.into(), types),
        None => map.remove(KEY_TYPES),
    };
    let ids = match by_hold {
        true => map.remove(KEY_FOLLOWS_AFTER),
        false => Some(map.remove(KEY_FOLLOWS)?),
    };
    if let Some(ids) = ids {
        map.insert(KEY_FOLLOWS.into(), unpack_job_ids(ids.as_str()?).into());
    }
    Some(Value::Object(map))
}

/// When a stored job was released; None if it never waited.
pub(in crate::job_shard) fn released_at(raw_spec: &Value) -> Option<Micros> {
    raw_spec.get(KEY_RELEASED)?.as_u64().map(Micros)
}

/// The dependencies of a released job.
pub(super) fn released_dependencies(raw_spec: &Value) -> Vec<String> {
    raw_spec.get(KEY_FOLLOWED).and_then(Value::as_str).map(unpack_job_ids).unwrap_or_default()
}
