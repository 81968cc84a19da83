//! Frames: `rkyv` archives with their length (4 bytes, little-endian) in front, validated on arrival.

use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::io::Read;

/// Longest frame accepted, in bytes without the length in front.
pub const FRAME_LIMIT: usize = 4 << 20;

/// What can travel over a connection.
pub trait Framed: Send + Sized + 'static {
    /// The frame as bytes, with its length in front.
    fn encode(&self) -> Option<Vec<u8>>;
    /// Reads the bytes behind the length; None if they are no valid frame.
    fn decode(bytes: &[u8]) -> Option<Self>;
    /// Whether a receiver of this frame has no use for an older one that still waits.
    fn replaces(&self, _older: &Self) -> bool {
        false
    }
}

/// A value as a frame, length included; None if it is too large to be one.
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

/// Reads the bytes behind the length; None if they are no valid value.
pub fn decode<T>(bytes: &[u8]) -> Option<T>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, Error>> + Deserialize<T, HighDeserializer<Error>>,
{
    let mut aligned: AlignedVec = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<T, Error>(&aligned).ok()
}

/// Reads the next frame's bytes into `buffer`. False when the connection has ended, or its next frame is longer than
/// `FRAME_LIMIT`: what follows can't be told apart then.
pub fn read_frame(connection: &mut impl Read, buffer: &mut Vec<u8>) -> bool {
    let mut length = [0u8; 4];
    if connection.read_exact(&mut length).is_err() {
        return false;
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_LIMIT {
        tracing::error!(bytes = length, "peer frame too long; connection closed");
        return false;
    }
    buffer.resize(length, 0);
    connection.read_exact(buffer).is_ok()
}
