//! Coordination records: their keys, format, version and phase, and a body whose content the users of the record
//! define.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The format version that this version of the program writes. Records of a newer format version can't be read, and
/// decisions that depend on them wait.
pub const FORMAT_VERSION: u64 = 1;
/// Key prefix of all record heads. Pages have another prefix, so that a list of heads is short.
pub const HEAD_PREFIX: &str = "pact/";
/// Key prefix of all pages.
pub const PAGE_PREFIX: &str = "pactpage/";
/// Maximum length of a name in bytes. With prefix and page number a key stays well below the state store's limit of
/// 200.
pub const MAX_NAME_BYTES: usize = 120;

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The release of a title on one night.
    Release,
    /// A batch of inputs and its version.
    Batch,
    /// GPUs that one team lends to another.
    Loan,
}

impl Kind {
    /// Returns the code of this kind in keys.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Kind::Release => "r",
            Kind::Batch => "b",
            Kind::Loan => "l",
        }
    }

    /// Returns the prefix of the keys of all heads of this kind.
    #[must_use]
    pub fn prefix(self) -> String {
        format!("{HEAD_PREFIX}{}/", self.code())
    }
}

/// A name that can't be part of a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name must have 1 to {MAX_NAME_BYTES} bytes, and neither spaces, slashes nor control characters")]
pub struct InvalidName;

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    kind: Kind,
    name: String,
}

impl Key {
    /// Creates the key of a record.
    ///
    /// # Errors
    /// If the name can't be part of a key in the state store.
    pub fn new(kind: Kind, name: &str) -> Result<Key, InvalidName> {
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '/');
        if is_valid { Ok(Key { kind, name: name.to_owned() }) } else { Err(InvalidName) }
    }

    /// Parses the key of a head; None if it is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Key> {
        let (code, name) = text.strip_prefix(HEAD_PREFIX)?.split_once('/')?;
        let kind = [Kind::Release, Kind::Batch, Kind::Loan].into_iter().find(|k| k.code() == code)?;
        Key::new(kind, name).ok()
    }

    /// Returns the kind of the record.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the head's key in the state store.
    #[must_use]
    pub fn head_key(&self) -> String {
        format!("{}{}", self.kind.prefix(), self.name)
    }

    /// Returns a page's key. It contains the version, so that a page that is written late is never read as a page of
    /// another version.
    #[must_use]
    pub fn page_key(&self, version: u64, number: usize) -> String {
        format!("{PAGE_PREFIX}{}/{}/{version}/{number:05}", self.kind.code(), self.name)
    }
}

/// The phase of a record. Within a version it only advances.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Members may join.
    Open,
    /// No more members may join; those that have joined are being counted.
    Closing,
    /// All members are stored.
    Closed,
}

/// The head of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationRecord {
    /// Increases when the record is opened again, and never decreases.
    pub version: u64,
    /// The phase within this version.
    pub phase: Phase,
    /// Number of pages that belong to the record.
    pub pages: usize,
    /// The content, in a form that depends on the kind.
    pub body: Value,
}

/// Why a record can't be used. Decisions that depend on it wait.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// A newer version of this program wrote the record.
    #[error("the record has form {0}, and this controller reads forms up to {FORMAT_VERSION}")]
    Newer(u64),
    /// The record is damaged.
    #[error("the record can't be read: {0} is missing or wrong")]
    Damaged(&'static str),
}

/// Why a record can't be changed as requested.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// Within a version the phase only advances.
    #[error("the record is {0:?} already")]
    Phase(Phase),
    /// The version never decreases.
    #[error("version {0} is on record already")]
    Version(u64),
}

impl CoordinationRecord {
    /// Creates an open record.
    #[must_use]
    pub fn open(version: u64, body: Value) -> CoordinationRecord {
        CoordinationRecord { version, phase: Phase::Open, pages: 0, body }
    }

    /// Reads a head.
    ///
    /// # Errors
    /// If it has a newer format version, or is damaged.
    pub fn read(value: &Value) -> Result<CoordinationRecord, Unreadable> {
        let number =
            |key: &'static str| value.get(key).and_then(Value::as_u64).ok_or(Unreadable::Damaged(key));
        let format_version = number("form")?;
        if format_version > FORMAT_VERSION {
            return Err(Unreadable::Newer(format_version));
        }
        let phase = value.get("phase").cloned().and_then(|phase| serde_json::from_value(phase).ok());
        Ok(CoordinationRecord {
            version: number("version")?,
            phase: phase.ok_or(Unreadable::Damaged("phase"))?,
            pages: usize::try_from(number("pages")?).map_err(|_| Unreadable::Damaged("pages"))?,
            body: value.get("body").cloned().ok_or(Unreadable::Damaged("body"))?,
        })
    }

    /// Returns the value to write.
    #[must_use]
    pub fn to_value(&self) -> Value {
        json!({"form": FORMAT_VERSION, "version": self.version, "phase": self.phase, "pages": self.pages, "body": self.body})
    }

    /// Checks that `next` may replace this record. Call it before every write: decisions that were based on a record
    /// stay valid because version and phase never decrease.
    ///
    /// # Errors
    /// If the version or the phase would decrease.
    pub fn check_transition(&self, next: &CoordinationRecord) -> Result<(), TransitionError> {
        if next.version < self.version {
            return Err(TransitionError::Version(self.version));
        }
        if next.version == self.version && next.phase < self.phase {
            return Err(TransitionError::Phase(self.phase));
        }
        Ok(())
    }
}

/// Length of a page besides its items in bytes, rounded up.
const PAGE_OVERHEAD_BYTES: usize = 40;

/// Splits a list into the values of pages, each at most `max_bytes` long. Also returns the number of items that are
/// too long for any page; these are left out, and the caller has to treat that as an error.
#[must_use]
pub fn split_into_pages(items: impl IntoIterator<Item = Value>, max_bytes: usize) -> (Vec<Value>, usize) {
    let mut pages: Vec<Vec<Value>> = Vec::new();
    let (mut free_bytes, mut left_out) = (0usize, 0);
    for item in items {
        let item_bytes = item.to_string().len() + 1;
        if item_bytes + PAGE_OVERHEAD_BYTES > max_bytes {
            left_out += 1;
            continue;
        }
        if pages.is_empty() || item_bytes > free_bytes {
            pages.push(Vec::new());
            free_bytes = max_bytes - PAGE_OVERHEAD_BYTES;
        }
        free_bytes -= item_bytes;
        if let Some(page) = pages.last_mut() {
            page.push(item);
        }
    }
    (pages.into_iter().map(|items| json!({"form": FORMAT_VERSION, "items": items})).collect(), left_out)
}

/// Reads a page.
///
/// # Errors
/// If it has a newer format version, or is damaged.
pub fn read_page_items(page: &Value) -> Result<&[Value], Unreadable> {
    match page.get("form").and_then(Value::as_u64) {
        Some(version) if version > FORMAT_VERSION => return Err(Unreadable::Newer(version)),
        Some(_) => {}
        None => return Err(Unreadable::Damaged("form")),
    }
    page.get("items").and_then(Value::as_array).map(Vec::as_slice).ok_or(Unreadable::Damaged("items"))
}

#[cfg(test)]
mod tests;
