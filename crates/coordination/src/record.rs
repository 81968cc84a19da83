//! A coordination record: key, form, version, phase, and a body that belongs to whoever builds on it.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// The form that this version of the program writes. A newer one is not understood and holds up what rests on it.
pub const FORMAT_VERSION: u64 = 1;
/// Key prefix of all heads of records; pages don't, so that a list of heads is short.
pub const HEADS: &str = "pact/";
/// Key prefix of all pages.
pub const PAGES: &str = "pactpage/";
/// Longest name, in bytes: with prefix and page number a key stays well below the service's 200.
pub const MAX_NAME_BYTES: usize = 120;

/// What a record is about.
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
    /// Its part of a key.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Kind::Release => "r",
            Kind::Batch => "b",
            Kind::Loan => "l",
        }
    }

    /// The beginning of all its heads' keys.
    #[must_use]
    pub fn prefix(self) -> String {
        format!("{HEADS}{}/", self.code())
    }
}

/// A name that can't be part of a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name must have 1 to {MAX_NAME_BYTES} bytes, and neither spaces, slashes nor control characters")]
pub struct InvalidName;

/// A record's key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    kind: Kind,
    name: String,
}

impl Key {
    /// The key of a record.
    ///
    /// # Errors
    /// If the name can't be part of a key of the state service.
    pub fn new(kind: Kind, name: &str) -> Result<Key, InvalidName> {
        let is_valid = (1..=MAX_NAME_BYTES).contains(&name.len())
            && name.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '/');
        if is_valid { Ok(Key { kind, name: name.to_owned() }) } else { Err(InvalidName) }
    }

    /// Reads the key of a head.
    #[must_use]
    pub fn parse(text: &str) -> Option<Key> {
        let (code, name) = text.strip_prefix(HEADS)?.split_once('/')?;
        let kind = [Kind::Release, Kind::Batch, Kind::Loan].into_iter().find(|k| k.code() == code)?;
        Key::new(kind, name).ok()
    }

    /// What it is about.
    #[must_use]
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The head's key in the state service.
    #[must_use]
    pub fn head_key(&self) -> String {
        format!("{}{}", self.kind.prefix(), self.name)
    }

    /// A page's key. It names the version, so that a page that is written late never stands among those of another.
    #[must_use]
    pub fn page_key(&self, version: u64, number: usize) -> String {
        format!("{PAGES}{}/{}/{version}/{number:05}", self.kind.code(), self.name)
    }
}

/// How far a record has got. It only goes forward within a version.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Members may join.
    Open,
    /// None may join any more; those that have are being counted.
    Closing,
    /// All members are on record.
    Closed,
}

/// The head of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationRecord {
    /// Grows when the record begins anew, and never goes back.
    pub version: u64,
    /// How far it has got.
    pub phase: Phase,
    /// How many pages belong to it.
    pub pages: usize,
    /// What it says.
    pub body: Value,
}

/// Why a record can't be used. What rests on it is held, never guessed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// A newer version of this program wrote it.
    #[error("the record has form {0}, and this controller reads forms up to {FORMAT_VERSION}")]
    Newer(u64),
    /// It is damaged.
    #[error("the record can't be read: {0} is missing or wrong")]
    Damaged(&'static str),
}

/// Why a record does not allow a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// Within a version a record only goes forward.
    #[error("the record is {0:?} already")]
    Phase(Phase),
    /// A version never goes back.
    #[error("version {0} is on record already")]
    Version(u64),
}

impl CoordinationRecord {
    /// A record that begins.
    #[must_use]
    pub fn open(version: u64, body: Value) -> CoordinationRecord {
        CoordinationRecord { version, phase: Phase::Open, pages: 0, body }
    }

    /// Reads a head.
    ///
    /// # Errors
    /// If it is of a newer form, or damaged.
    pub fn read(value: &Value) -> Result<CoordinationRecord, Unreadable> {
        let number =
            |key: &'static str| value.get(key).and_then(Value::as_u64).ok_or(Unreadable::Damaged(key));
        let form = number("form")?;
        if form > FORMAT_VERSION {
            return Err(Unreadable::Newer(form));
        }
        let phase = value.get("phase").cloned().and_then(|phase| serde_json::from_value(phase).ok());
        Ok(CoordinationRecord {
            version: number("version")?,
            phase: phase.ok_or(Unreadable::Damaged("phase"))?,
            pages: usize::try_from(number("pages")?).map_err(|_| Unreadable::Damaged("pages"))?,
            body: value.get("body").cloned().ok_or(Unreadable::Damaged("body"))?,
        })
    }

    /// The value to be written.
    #[must_use]
    pub fn to_value(&self) -> Value {
        json!({"form": FORMAT_VERSION, "version": self.version, "phase": self.phase, "pages": self.pages, "body": self.body})
    }

    /// Whether `next` may follow on this record. To be asked before every write: it is what makes a decision that was once
    /// read stay true.
    ///
    /// # Errors
    /// If it would go back.
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

/// What a page takes beside its items, in bytes, rounded up.
const PAGE_OVERHEAD: usize = 40;

/// Splits a list into the values of pages, none longer than `bytes`, with the number of items that fit into no page:
/// those are left out, an error of whoever made them.
#[must_use]
pub fn split_into_pages(items: impl IntoIterator<Item = Value>, bytes: usize) -> (Vec<Value>, usize) {
    let mut pages: Vec<Vec<Value>> = Vec::new();
    let (mut free, mut left_out) = (0usize, 0);
    for item in items {
        let length = item.to_string().len() + 1;
        if length + PAGE_OVERHEAD > bytes {
            left_out += 1;
            continue;
        }
        if pages.is_empty() || length > free {
            pages.push(Vec::new());
            free = bytes - PAGE_OVERHEAD;
        }
        free -= length;
        if let Some(page) = pages.last_mut() {
            page.push(item);
        }
    }
    (pages.into_iter().map(|items| json!({"form": FORMAT_VERSION, "items": items})).collect(), left_out)
}

/// Reads a page.
///
/// # Errors
/// If it is of a newer form, or damaged.
pub fn read_page_items(page: &Value) -> Result<&[Value], Unreadable> {
    match page.get("form").and_then(Value::as_u64) {
        Some(form) if form > FORMAT_VERSION => return Err(Unreadable::Newer(form)),
        Some(_) => {}
        None => return Err(Unreadable::Damaged("form")),
    }
    page.get("items").and_then(Value::as_array).map(Vec::as_slice).ok_or(Unreadable::Damaged("items"))
}

#[cfg(test)]
mod tests;
