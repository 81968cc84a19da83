//! The stored form of descriptions of jobs that wait, have waited, or have ended.
//!
//! Earlier versions of the controller read these records too: a job that waits suits no machine of theirs, and one that
//! waits no more is a plain one. The texts and keys here are stored and never change.

use crate::units::Micros;
use crate::wire::users;
use serde_json::{Map, Value, json};

/// Stands in the stored description of a job that waits, in place of the machine types it allows.
/// A controller of the first version doesn't know of prerequisites: it takes the job for one that no
/// machine suits, so it keeps, shows and cancels it, and starts nothing.
const HELD: &str = "(waits for other jobs)";
/// The same for a job that is held by a coordination record, whether it follows others or not. Versions before form 4 would start
/// one of the other sort as soon as all that it follows is done; this one suits no machine of theirs either.
const HELD_FOR: &str = "(held for a pact)";
const FOLLOWS_AFTER: &str = "followsAfter";
/// What of a stored description is ours alone, inside the description, which the first version hands
/// on untouched when it rewrites a record.
const TYPES: &str = "breedsOfStall";
const TYPES_AFTER: &str = "typesAfter";
const FOLLOWS: &str = "follows";
const RELEASED: &str = "releasedUs";
/// What a released job followed, packed: its end says so too.
const FOLLOWED: &str = "followed";

/// Ids without what all have in common, in one text: hundreds must fit into a value.
fn packed(ids: &Value) -> Option<String> {
    let numbers = ids.as_array()?.iter().map(|v| v.as_str()?.strip_prefix("wk-"));
    Some(numbers.collect::<Option<Vec<_>>>()?.join(","))
}

/// Ids again from a packed text.
pub(crate) fn unpack_job_ids(text: &str) -> Vec<String> {
    text.split(',').filter(|n| !n.is_empty()).map(|n| format!("wk-{n}")).collect()
}

/// What a final record says of a job beside its end: what others may have to know of it for ever. None for jobs that
/// name no coordination record and followed nobody.
pub(in crate::job_shard) fn says(raw: &Value) -> Option<Value> {
    let mut says = Map::new();
    for key in ["release", "batch", "merges"] {
        if let Some(v) = raw.get(key) {
            says.insert(key.into(), v.clone());
        }
    }
    let followed = match raw.get(FOLLOWS) {
        Some(ids) => packed(ids),
        None => raw.get(FOLLOWED).and_then(Value::as_str).map(str::to_owned),
    };
    if let Some(text) = followed {
        says.insert(FOLLOWS.into(), text.into());
    }
    if says.is_empty() {
        return None;
    }
    says.insert(users::CLASS.into(), raw.get(users::CLASS).cloned().unwrap_or_default());
    Some(Value::Object(says))
}

/// What a live job's record says of coordination records, in the form of a final one's `says`; None if it says nothing.
pub fn declarations_in_record(record: &Value) -> Option<Value> {
    let spec = record.get("spec")?;
    let mut plain = spec.clone();
    // A waiting one is packed already.
    for key in [FOLLOWS, FOLLOWS_AFTER] {
        if let Some(text) = spec.get(key).and_then(Value::as_str) {
            let map = plain.as_object_mut()?;
            map.remove(key);
            map.insert(FOLLOWED.into(), text.into());
        }
    }
    says(&plain)
}

/// The description to be stored for a job that waits.
pub(in crate::job_shard) fn held(raw: &Value, by_record: bool) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    if let Some(types) = map.insert(TYPES.into(), json!([if by_record { HELD_FOR } else { HELD }]))
        && !types.is_null()
    {
        map.insert(TYPES_AFTER.into(), types);
    }
    if let Some(text) = map.get(FOLLOWS).and_then(packed) {
        if by_record {
            map.remove(FOLLOWS);
        }
        map.insert(if by_record { FOLLOWS_AFTER } else { FOLLOWS }.into(), text.into());
    }
    Value::Object(map)
}

/// The description to be stored for a job that waits no more: a plain one, which every version runs.
pub(in crate::job_shard) fn released(raw: &Value, at: Micros) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    if let Some(text) = map.remove(FOLLOWS).as_ref().and_then(packed) {
        map.insert(FOLLOWED.into(), text.into());
    }
    map.insert(RELEASED.into(), at.0.into());
    Value::Object(map)
}

/// The user's description again, from the stored one; None if that is of an unknown form.
pub(in crate::job_shard) fn restored(stored: &Value) -> Option<Value> {
    let map = stored.as_object()?;
    let held = map.get(TYPES).and_then(|t| t.get(0)).and_then(Value::as_str);
    let by_record = held == Some(HELD_FOR);
    if !by_record && held != Some(HELD) {
        return Some(stored.clone());
    }
    let mut map: Map<String, Value> = map.clone();
    match map.remove(TYPES_AFTER) {
        Some(types) => map.insert(TYPES.into(), types),
        None => map.remove(TYPES),
    };
    let ids = match by_record {
        true => map.remove(FOLLOWS_AFTER),
        false => Some(map.remove(FOLLOWS)?),
    };
    if let Some(ids) = ids {
        map.insert(FOLLOWS.into(), unpack_job_ids(ids.as_str()?).into());
    }
    Some(Value::Object(map))
}

/// When a stored job was released, if it ever waited.
pub(in crate::job_shard) fn released_at(raw: &Value) -> Option<Micros> {
    raw.get(RELEASED)?.as_u64().map(Micros)
}

/// The jobs that a released one followed.
pub(super) fn followed(raw: &Value) -> Vec<String> {
    raw.get(FOLLOWED).and_then(Value::as_str).map(unpack_job_ids).unwrap_or_default()
}
