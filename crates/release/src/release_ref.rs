//! A job's reference to the release that it takes part in, and the key of the release's record.

use crate::calendar::{Stage, find_nearest, parse_night};
use hazelsaddle_coordination::record::{Key, Kind};
use serde_json::{Map, Value};

/// Longest title, in bytes.
pub const TITLE_LIMIT_BYTES: usize = 100;
/// Most renders that a rebuild may declare: as many as a job may have tasks.
const EXPECTED_RENDER_LIMIT: u64 = 100_000;

/// The field `release` of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseRef {
    /// The title.
    pub title: String,
    /// The night; None: the night that is open.
    pub night: Option<String>,
    /// The part that the job has in the release.
    pub stage: Stage,
    /// For a rebuild, how many renders will follow it.
    pub expects: Option<u64>,
}

/// Why the field is malformed; answered with 400.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("release{}{field}: {reason}", if field.is_empty() { "" } else { "." })]
pub struct ReleaseRefError {
    /// The malformed field within `release`; empty if `release` itself is malformed.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl ReleaseRef {
    /// Parses the field `release`.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn parse(value: &Value) -> Result<ReleaseRef, ReleaseRefError> {
        let error = |field: &'static str, reason: &str| ReleaseRefError { field, reason: reason.to_owned() };
        let map = value.as_object().ok_or_else(|| error("", "must be an object"))?;
        let text = |key: &'static str| match map.get(key).filter(|value| !value.is_null()) {
            None => Ok(None),
            Some(value) => value.as_str().map(Some).ok_or_else(|| error(key, "must be a string")),
        };
        let title = text("title")?.ok_or_else(|| error("title", "is missing"))?.to_owned();
        if !is_valid_title(&title) {
            return Err(error(
                "title",
                "must have 1 to 100 bytes, and neither spaces, slashes, @ nor control characters",
            ));
        }
        let night = text("night")?.map(str::to_owned);
        if let Some(night) = &night {
            parse_night(night).map_err(|reason| error("night", &reason))?;
        }
        let word = text("stage")?.ok_or_else(|| error("stage", "is missing"))?;
        let stage = Stage::parse(word).ok_or_else(|| {
            let like = find_nearest(word, Stage::ALL.map(Stage::as_str)).unwrap_or("render");
            error(
                "stage",
                &format!("{word:?} is none of rebuild, render and rotation; the nearest is {like}"),
            )
        })?;
        let expects = match map.get("expects").filter(|value| !value.is_null()) {
            None => None,
            Some(_) if stage != Stage::Rebuild => return Err(error("expects", "is for rebuilds only")),
            Some(value) => Some(
                value
                    .as_u64()
                    .filter(|renders| (1..=EXPECTED_RENDER_LIMIT).contains(renders))
                    .ok_or_else(|| error("expects", "must be a whole number of renders, 1 to 100000"))?,
            ),
        };
        Ok(ReleaseRef { title, night, stage, expects })
    }

    /// The field as JSON, in the format in which the job's live record and its final record contain it.
    #[must_use]
    pub fn to_value(&self) -> Value {
        let mut map = Map::new();
        map.insert("title".into(), self.title.clone().into());
        if let Some(night) = &self.night {
            map.insert("night".into(), night.clone().into());
        }
        map.insert("stage".into(), self.stage.as_str().into());
        if let Some(expects) = self.expects {
            map.insert("expects".into(), expects.into());
        }
        Value::Object(map)
    }

    /// The key of the release's record; None as long as no night is set.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        release_key(&self.title, self.night.as_deref()?)
    }
}

/// Whether this is a valid title.
#[must_use]
pub fn is_valid_title(title: &str) -> bool {
    let is_forbidden = |c: char| c.is_whitespace() || c.is_control() || c == '/' || c == '@';
    (1..=TITLE_LIMIT_BYTES).contains(&title.len()) && !title.chars().any(is_forbidden)
}

/// The key of the record of a title's release in a night; None if either is malformed.
#[must_use]
pub fn release_key(title: &str, night: &str) -> Option<Key> {
    let is_valid = is_valid_title(title) && parse_night(night).is_ok();
    is_valid.then(|| Key::new(Kind::Release, &format!("{title}@{night}")).ok()).flatten()
}

/// The title and the night in the key of a release's record; None for any other key.
#[must_use]
pub fn title_and_night(key: &Key) -> Option<(&str, &str)> {
    key.name().rsplit_once('@').filter(|(title, night)| {
        key.kind() == Kind::Release && is_valid_title(title) && parse_night(night).is_ok()
    })
}

#[cfg(test)]
mod tests;
