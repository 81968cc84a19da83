//! Chunks: what a stream consists of. They are numbered from 0 without holes; a gap is a chunk, too, that says
//! what is missing.

use rkyv::{Archive, Deserialize, Serialize};

/// What a chunk holds.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Standard output.
    Out,
    /// Standard error.
    Err,
    /// A piece of an artefact.
    Data,
    /// Output is missing here (`Gap` as JSON).
    Gap,
    /// The task had to wait here (`BackPressure` as JSON).
    BackPressure,
    /// The stream is complete; this is its last chunk (`Close` as JSON).
    Close,
}

impl Kind {
    /// The number that stands for it on disk.
    pub fn number(self) -> u8 {
        match self {
            Kind::Out => 1,
            Kind::Err => 2,
            Kind::Data => 3,
            Kind::Gap => 4,
            Kind::BackPressure => 5,
            Kind::Close => 6,
        }
    }
    /// Reads what `number` wrote.
    pub fn of(number: u8) -> Option<Kind> {
        [Kind::Out, Kind::Err, Kind::Data, Kind::Gap, Kind::BackPressure, Kind::Close]
            .into_iter()
            .find(|k| k.number() == number)
    }
    /// Whether it holds what a task wrote.
    pub fn is_output(self) -> bool {
        matches!(self, Kind::Out | Kind::Err | Kind::Data)
    }
}

/// One chunk.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Its number within the stream.
    pub n: u32,
    /// When its first byte was written, by the writer's time of day in microseconds.
    pub at: u64,
    /// What it holds.
    pub kind: Kind,
    /// Its bytes.
    pub body: Vec<u8>,
}

impl Chunk {
    /// A checksum over all that must be the same when the chunk is sent again.
    pub fn sum(&self) -> u32 {
        sum(self.kind, self.at, &self.body)
    }
}

/// `Chunk::sum` of a chunk's parts.
pub fn sum(kind: Kind, at: u64, body: &[u8]) -> u32 {
    let head = crc32c::crc32c(&[kind.number()]);
    let head = crc32c::crc32c_append(head, &at.to_le_bytes());
    crc32c::crc32c_append(head, body)
}

/// Output that is missing, and why.
#[derive(serde::Serialize, serde::Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct Gap {
    /// Bytes that are missing.
    pub bytes: u64,
    /// Line ends among them.
    pub lines: u64,
    /// When the first of them was written, in microseconds of the writer's time of day.
    pub from: u64,
    /// When the last of them was.
    pub to: u64,
    /// Why they are missing.
    pub why: String,
}

/// A wait of the task for its log.
#[derive(serde::Serialize, serde::Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct BackPressure {
    /// How long it waited, in microseconds.
    pub waited: u64,
}

/// The end of a stream.
#[derive(serde::Serialize, serde::Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct Close {
    /// How the writer ended: `done`, `stopped`, `drained`, `error`; free text.
    pub why: String,
    /// An artefact's size in bytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<u64>,
    /// An artefact's content hash (blake3, hexadecimal).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hash: Option<String>,
}

impl Close {
    /// Whether an artefact of this size and with this content is the one that was closed.
    pub fn is_of(&self, size: u64, content: &blake3::Hasher) -> bool {
        self.size == Some(size) && self.hash.as_deref() == Some(content.finalize().to_hex().as_str())
    }
}
