//! What shippers and stores say to one another, as `rkyv` archives in frames (`hazelsaddle_cluster::transport`).

#![allow(missing_docs, reason = "rkyv derives archived types whose fields have no comments")]

use crate::chunk::Chunk;
use crate::key::StreamKey;
use crate::members::List;
use hazelsaddle_cluster::transport::{self, Framed};
use rkyv::{Archive, Deserialize, Serialize};

/// The form of all messages. A process that speaks another one is told so, and nothing else is taken from it.
pub const FORM: u32 = 1;

/// Numbers from one to another, both included.
pub type Span = (u32, u32);

/// Chunks of one stream.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Batch {
    /// The stream.
    pub stream: StreamKey,
    /// Its job's team.
    pub team: String,
    /// Who writes it.
    pub token: u64,
    /// The chunks.
    pub chunks: Vec<Chunk>,
}

/// What a shipper asks of a store.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Ask {
    /// Keep these chunks; none: the writer is alive.
    Append {
        /// What to keep.
        batch: Batch,
        /// For how long the task has been waiting for its log by now, in microseconds.
        stalled: u64,
    },
    /// Which chunks are held here?
    Held(StreamKey),
    /// Which stores are there?
    Members,
}

/// A shipper's frame.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Request {
    /// `FORM`.
    pub form: u32,
    /// What is asked.
    pub ask: Ask,
}

/// How a request went. The numbers are HTTP's.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// 200: on enough disks. 400: malformed. 403: another writer's. 409: another chunk is held under that number, or an
    /// artefact is not whole. 410: dropped. 413: too large. 422: an artefact's hash is wrong. 429: too fast. 503: come
    /// back. 505: another form. 507: full.
    pub status: u16,
    /// When to come back, in milliseconds (429, 503, 507).
    pub retry_ms: u32,
    /// What is wrong, for people.
    pub why: String,
    /// The mark of the list of stores that this one has.
    pub members: u64,
}

/// A store's answer.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Answer {
    /// To `Append`.
    Ack(Ack),
    /// To `Held`.
    Held(Vec<Span>),
    /// To `Members`.
    Members(List),
}

/// What is held of a stream, as one store tells another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct State {
    /// The stream.
    pub stream: StreamKey,
    /// Chunks held, as a serialized roaring bitmap.
    pub held: Vec<u8>,
    /// When it was dropped for good, by the store's time of day.
    pub dropped: Option<u64>,
}

/// What stores say to one another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// I am here.
    Beat,
    /// Keep these, too. `id` 0: no answer is needed.
    Copy {
        /// Names the request.
        id: u64,
        /// What to keep.
        batch: Batch,
    },
    /// They are on disk here, or why not.
    Copied {
        /// The request.
        id: u64,
        /// As in `Ack`.
        status: u16,
    },
    /// The sum over all that you and I both own in this part of the ring.
    Digest {
        /// Which of 256 parts.
        part: u8,
        /// The sum.
        sum: u64,
    },
    /// Say what you hold there, from behind this stream on.
    AskStates {
        /// Which part.
        part: u8,
        /// Behind which stream; None: from the start.
        after: Option<StreamKey>,
    },
    /// What I hold there.
    States {
        /// Which part.
        part: u8,
        /// Behind which stream this begins.
        after: Option<StreamKey>,
        /// The last stream that it covers; None: to the part's end.
        until: Option<StreamKey>,
        /// All that I hold within.
        list: Vec<State>,
    },
    /// Say what you hold of these.
    AskOf(Vec<StreamKey>),
    /// What I hold of what you asked for, one for each.
    StatesOf(Vec<State>),
    /// This was dropped for good.
    Drop(StreamKey),
    /// Which list of stores do you have?
    AskMembers,
    /// This one.
    Members(List),
}

/// A store's frame to another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Frame {
    /// `FORM`.
    pub form: u32,
    /// Who speaks.
    pub from: String,
    /// The mark of the list of stores that it has.
    pub members: u64,
    /// What it says.
    pub body: Message,
}

/// What a reader gets.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Chunks from the number asked for on, in order; some may be missing here.
    pub chunks: Vec<Chunk>,
    /// All chunks held here.
    pub held: Vec<Span>,
    /// The last chunk's number, if it is held.
    pub closed: Option<u32>,
    /// It was dropped by retention.
    pub dropped: bool,
    /// The writer has been silent for too long: more is not expected.
    pub silent: bool,
}

macro_rules! framed {
    ($($t:ty),*) => {$(
        impl Framed for $t {
            fn encode(&self) -> Option<Vec<u8>> {
                transport::encode(self)
            }
            fn decode(bytes: &[u8]) -> Option<Self> {
                transport::decode(bytes)
            }
        }
    )*};
}
framed!(Request, Answer, Frame, Page);
