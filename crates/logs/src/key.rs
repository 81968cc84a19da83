//! What output is kept under: an attempt of a task, and the streams within it.

use hazelsaddle_cluster::hash_ring;
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

/// Longest name of an artefact, in bytes.
pub const NAME_LIMIT: usize = 255;
/// Longest job id or team name taken, in bytes.
pub const ID_LIMIT: usize = 64;

/// Why something is no key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// A job id has other characters than letters, digits, `-`, `_` and `.`, or the wrong length.
    #[error("{0:?} is no job id")]
    Job(String),
    /// It is not of the form `job/task/attempt`.
    #[error("{0:?} is not of the form job/task/attempt")]
    Attempt(String),
    /// An artefact's name is empty, too long, absolute, has control characters or climbs out of its folder.
    #[error("{0:?} is no artefact name: {1}")]
    Name(String, &'static str),
}

/// One attempt of one task. Its hash decides which stores hold what it wrote.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The job's id.
    pub job: String,
    /// The task's number.
    pub task: u32,
    /// The attempt's number.
    pub attempt: u64,
}

/// Whether this can be a job's id or a team's name: it becomes part of paths and keys.
pub fn is_id(id: &str) -> bool {
    (1..=ID_LIMIT).contains(&id.len())
        && !id.starts_with('.')
        && id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

impl AttemptKey {
    /// Checks the parts.
    ///
    /// # Errors
    /// `KeyError::Job` if the id can't be one.
    pub fn new(job: &str, task: u32, attempt: u64) -> Result<AttemptKey, KeyError> {
        match is_id(job) {
            true => Ok(AttemptKey { job: job.to_owned(), task, attempt }),
            false => Err(KeyError::Job(job.chars().take(80).collect())),
        }
    }
    /// Reads `job/task/attempt`.
    ///
    /// # Errors
    /// `KeyError` names what is wrong.
    pub fn parse(text: &str) -> Result<AttemptKey, KeyError> {
        let wrong = || KeyError::Attempt(text.chars().take(80).collect());
        let mut parts = text.split('/');
        let (Some(job), Some(task), Some(attempt), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(wrong());
        };
        AttemptKey::new(job, task.parse().map_err(|_| wrong())?, attempt.parse().map_err(|_| wrong())?)
    }
    /// Where the attempt lies on the ring of stores.
    pub fn place(&self) -> u64 {
        hash_ring::hash(&format!("log/{self}"))
    }
}

impl fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.task, self.attempt)
    }
}

/// A numbered sequence of chunks of one attempt: its log (an empty name) or one of the files it produced.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey {
    /// The attempt.
    pub of: AttemptKey,
    /// The artefact's name; empty for the log.
    pub name: String,
}

impl StreamKey {
    /// The log of an attempt: standard output and standard error in the order in which they were written.
    pub fn log(of: AttemptKey) -> StreamKey {
        StreamKey { of, name: String::new() }
    }
    /// A file of an attempt.
    ///
    /// # Errors
    /// `KeyError::Name` if the name can't be a relative path below a folder.
    pub fn artefact(of: AttemptKey, name: &str) -> Result<StreamKey, KeyError> {
        check_name(name)?;
        Ok(StreamKey { of, name: name.to_owned() })
    }
    /// Whether it is the attempt's log.
    pub fn is_log(&self) -> bool {
        self.name.is_empty()
    }
    /// Whether what arrived can be a stream at all.
    ///
    /// # Errors
    /// `KeyError` names what is wrong.
    pub fn check(&self) -> Result<(), KeyError> {
        AttemptKey::new(&self.of.job, self.of.task, self.of.attempt)?;
        if self.is_log() { Ok(()) } else { check_name(&self.name) }
    }
    /// Bytes that sort by job, task, attempt and name.
    pub fn sorted(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.of.job.len() + self.name.len() + 13);
        out.extend_from_slice(self.of.job.as_bytes());
        out.push(0);
        out.extend_from_slice(&self.of.task.to_be_bytes());
        out.extend_from_slice(&self.of.attempt.to_be_bytes());
        out.extend_from_slice(self.name.as_bytes());
        out
    }
    /// Reads what `sorted` wrote; None if it is not of that form.
    pub fn from_sorted(bytes: &[u8]) -> Option<StreamKey> {
        let end = bytes.iter().position(|&b| b == 0)?;
        let job = std::str::from_utf8(&bytes[..end]).ok()?.to_owned();
        let rest = &bytes[end + 1..];
        let task = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?);
        let attempt = u64::from_be_bytes(rest.get(4..12)?.try_into().ok()?);
        let name = std::str::from_utf8(&rest[12..]).ok()?.to_owned();
        Some(StreamKey { of: AttemptKey { job, task, attempt }, name })
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_log() { write!(f, "{}", self.of) } else { write!(f, "{}:{}", self.of, self.name) }
    }
}

/// Artefact names become paths below a folder of whoever fetches them: none may lead out of it.
fn check_name(name: &str) -> Result<(), KeyError> {
    let wrong = |why| Err(KeyError::Name(name.chars().take(80).collect(), why));
    if name.is_empty() || name.len() > NAME_LIMIT {
        return wrong("it must have 1 to 255 bytes");
    }
    if name.chars().any(|c| c.is_control() || c == '\\') {
        return wrong("it has control characters or backslashes");
    }
    if name.starts_with('/') {
        return wrong("it must be relative");
    }
    if name.split('/').any(|part| matches!(part, "" | "." | "..")) {
        return wrong("no part may be empty, '.' or '..'");
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_checked_and_sorted() {
        let a = AttemptKey::parse("wk-000412/3/2").expect("valid");
        assert_eq!(a.to_string(), "wk-000412/3/2");
        for bad in ["", "wk-1", "wk-1/2", "wk-1/x/1", "wk-1/1/-1", "../1/1", "a b/1/1", "wk-1/1/1/1", "/1/1"]
        {
            assert!(AttemptKey::parse(bad).is_err(), "{bad}");
        }
        for bad in ["", "/etc/passwd", "../x", "a/../../x", "a//b", "./a", "a\0b", "a\\b", &"x".repeat(256)] {
            assert!(StreamKey::artefact(a.clone(), bad).is_err(), "{bad}");
        }
        let file = StreamKey::artefact(a.clone(), "out/table.csv").expect("valid");
        for key in [StreamKey::log(a.clone()), file.clone()] {
            assert_eq!(StreamKey::from_sorted(&key.sorted()), Some(key));
        }
        let later = StreamKey::log(AttemptKey { attempt: 10, ..a.clone() });
        assert!(file.sorted() < later.sorted() && StreamKey::log(a).sorted() < file.sorted());
        assert_eq!(StreamKey::from_sorted(b"wk-1\0abc"), None);
    }
}
