//! Frames: `rkyv` archives, each preceded by its length (4 bytes, little-endian) and validated on arrival.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::io::Read;

/// Maximum length of a frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A message that can be sent over a connection.
pub trait Framed: Send + Sized + 'static {
    /// Encodes the message as a frame, including the length prefix; None if it cannot be encoded.
    fn encode(&self) -> Option<Vec<u8>>;
    /// Decodes a frame without its length prefix; None if it is not valid.
    fn decode(bytes: &[u8]) -> Option<Self>;
    /// Whether this message makes an older one that is still queued useless to the receiver.
    fn replaces(&self, _older: &Self) -> bool {
        false
    }
}

/// Encodes a value as a frame, including the length prefix; None if it cannot be encoded or is too long.
pub fn encode<T>(value: &T) -> Option<Vec<u8>>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    let bytes = rkyv::to_bytes::<Error>(value).ok()?;
    let mut frame = Vec::with_capacity(bytes.len() + 4);
    frame.extend_from_slice(&u32::try_from(bytes.len()).ok()?.to_le_bytes());
    frame.extend_from_slice(&bytes);
    Some(frame)
}

/// Decodes a frame without its length prefix; None if it is not a valid value.
pub fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    let mut aligned: AlignedVec = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).ok()
}

/// Reads the next frame into `buffer`. Returns false if the connection has ended, or if the frame is longer than
/// `MAX_FRAME_BYTES`, after which the following frames can't be located.
pub fn read_frame(connection: &mut impl Read, buffer: &mut Vec<u8>) -> bool {
    let mut length = [0u8; 4];
    if connection.read_exact(&mut length).is_err() {
        return false;
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        tracing::error!(bytes = length, "peer frame too long; connection closed");
        return false;
    }
    buffer.resize(length, 0);
    connection.read_exact(buffer).is_ok()
}
