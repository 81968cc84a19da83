//! What a job declares of a release, and the key of the release's record.

use crate::calendar::{Stage, date_of, find_nearest};
use hazelsaddle_coordination::record::{Key, Kind};
use serde_json::{Map, Value};

/// Longest title, in bytes.
pub const TITLE_LIMIT: usize = 100;
/// Most renders that a rebuild may declare: as many as a job may have tasks.
const EXPECTED_RENDER_LIMIT: u64 = 100_000;

/// The member `release` of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseRef {
    /// The title.
    pub title: String,
    /// The night; None: the one that is open.
    pub night: Option<String>,
    /// What the job does for it.
    pub stage: Stage,
    /// A rebuild: how many renders it will be followed by.
    pub expects: Option<u64>,
}

/// A member that is malformed: answered with 400.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("release{}{field}: {reason}", if field.is_empty() { "" } else { "." })]
pub struct ReleaseRefError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl ReleaseRef {
    /// Reads the member.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn parse(value: &Value) -> Result<ReleaseRef, ReleaseRefError> {
        let bad = |field: &'static str, reason: &str| ReleaseRefError { field, reason: reason.to_owned() };
        let map = value.as_object().ok_or_else(|| bad("", "must be an object"))?;
        let text = |key: &'static str| match map.get(key).filter(|v| !v.is_null()) {
            None => Ok(None),
            Some(v) => v.as_str().map(Some).ok_or_else(|| bad(key, "must be a string")),
        };
        let title = text("title")?.ok_or_else(|| bad("title", "is missing"))?.to_owned();
        if !is_title(&title) {
            return Err(bad(
                "title",
                "must have 1 to 100 bytes, and neither spaces, slashes, @ nor control characters",
            ));
        }
        let night = text("night")?.map(str::to_owned);
        if let Some(night) = &night {
            date_of(night).map_err(|reason| bad("night", &reason))?;
        }
        let word = text("stage")?.ok_or_else(|| bad("stage", "is missing"))?;
        let stage = Stage::parse(word).ok_or_else(|| {
            let like = find_nearest(word, Stage::ALL.map(Stage::word)).unwrap_or("render");
            bad("stage", &format!("{word:?} is none of rebuild, render and rotation; the nearest is {like}"))
        })?;
        let expects = match map.get("expects").filter(|v| !v.is_null()) {
            None => None,
            Some(_) if stage != Stage::Rebuild => return Err(bad("expects", "is for rebuilds only")),
            Some(v) => Some(
                v.as_u64()
                    .filter(|n| (1..=EXPECTED_RENDER_LIMIT).contains(n))
                    .ok_or_else(|| bad("expects", "must be a whole number of renders, 1 to 100000"))?,
            ),
        };
        Ok(ReleaseRef { title, night, stage, expects })
    }

    /// The member again, as the job's record and its final record keep it.
    #[must_use]
    pub fn to_value(&self) -> Value {
        let mut map = Map::new();
        map.insert("title".into(), self.title.clone().into());
        if let Some(n) = &self.night {
            map.insert("night".into(), n.clone().into());
        }
        map.insert("stage".into(), self.stage.word().into());
        if let Some(n) = self.expects {
            map.insert("expects".into(), n.into());
        }
        Value::Object(map)
    }

    /// The key of the record that it joins, once its night is known.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        release_key(&self.title, self.night.as_deref()?)
    }
}

/// Whether this may be a title.
#[must_use]
pub fn is_title(title: &str) -> bool {
    let bad = |c: char| c.is_whitespace() || c.is_control() || c == '/' || c == '@';
    (1..=TITLE_LIMIT).contains(&title.len()) && !title.chars().any(bad)
}

/// The key of a title's record for a night; None if either is malformed.
#[must_use]
pub fn release_key(title: &str, night: &str) -> Option<Key> {
    let good = is_title(title) && date_of(night).is_ok();
    good.then(|| Key::new(Kind::Release, &format!("{title}@{night}")).ok()).flatten()
}

/// Title and night of a record, from its key.
#[must_use]
pub fn title_and_night(key: &Key) -> Option<(&str, &str)> {
    key.name()
        .rsplit_once('@')
        .filter(|(t, n)| key.kind() == Kind::Release && is_title(t) && date_of(n).is_ok())
}

#[cfg(test)]
mod tests;
