//! Links between processes: framed TCP, each frame an `rkyv` archive with its length (4 bytes, little-endian) in
//! front, validated on arrival. A link carries frames one way; who wants an answer is dialled in turn.

use crate::send_queue::{SendQueue, channel};
use rkyv::api::high::{HighDeserializer, HighSerializer, HighValidator};
use rkyv::bytecheck::CheckBytes;
use rkyv::rancor::Error;
use rkyv::ser::allocator::ArenaHandle;
use rkyv::util::AlignedVec;
use rkyv::{Archive, Deserialize, Serialize};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

/// Longest frame taken.
pub const FRAME_LIMIT: usize = 4 << 20;
/// Peer connections taken at a time, so that a stray client can't use up threads.
const LINKS: usize = 64;

/// A value as a frame, length included; None if it is too large to be one.
pub fn encode<T>(value: &T) -> Option<Vec<u8>>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, Error>>,
{
    let bytes = rkyv::to_bytes::<Error>(value).ok()?;
    let mut out = Vec::with_capacity(bytes.len() + 4);
    out.extend_from_slice(&u32::try_from(bytes.len()).ok()?.to_le_bytes());
    out.extend_from_slice(&bytes);
    Some(out)
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

/// What can travel over a link.
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

/// Starts a thread that keeps a connection to one peer and sends it frames. It ends when the sender is dropped.
pub fn dial<F: Framed>(addr: SocketAddrV4) -> SendQueue<F> {
    let (tx, rx) = channel::<F>();
    std::thread::spawn(move || {
        let mut link: Option<TcpStream> = None;
        while let Some(frame) = rx.take() {
            // A peer that was replaced a moment ago: what is written to the old one is lost without a word.
            if link.as_ref().is_some_and(ended) {
                link = None;
            }
            if link.is_none() {
                link = TcpStream::connect_timeout(&addr.into(), Duration::from_millis(500)).ok();
                if let Some(l) = &link {
                    let _ = l.set_nodelay(true);
                    // A peer that reads nothing must not hold this thread for ever.
                    let _ = l.set_write_timeout(Some(Duration::from_secs(2)));
                }
                // What waited while there was no link is stale: states follow anyway.
                if link.is_none() {
                    rx.clear();
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                }
            }
            if let (Some(l), Some(bytes)) = (&mut link, frame.encode())
                && l.write_all(&bytes).is_err()
            {
                link = None;
            }
        }
    });
    tx
}

/// Puts a frame on a peer's queue, or drops it if the queue is full. Returns whether it was taken.
pub fn enqueue<F: Framed>(tx: &SendQueue<F>, frame: F) -> bool {
    let taken = tx.put(frame);
    if !taken {
        tracing::debug!("a peer's queue is full; frame dropped");
    }
    taken
}

/// Whether the other side has ended a link. It never says anything on it, so all that can be read is the end.
fn ended(link: &TcpStream) -> bool {
    if link.set_nonblocking(true).is_err() {
        return true;
    }
    let nothing = matches!(link.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    link.set_nonblocking(false).is_err() || !nothing
}

/// Reads the next frame's bytes into `buffer`. False when the link has ended, or its next frame is longer than
/// `FRAME_LIMIT`: what follows can't be told apart then.
pub fn read_frame(link: &mut impl Read, buffer: &mut Vec<u8>) -> bool {
    let mut size = [0u8; 4];
    if link.read_exact(&mut size).is_err() {
        return false;
    }
    let n = u32::from_le_bytes(size) as usize;
    if n > FRAME_LIMIT {
        tracing::error!(bytes = n, "a peer's frame is too long; connection closed");
        return false;
    }
    buffer.resize(n, 0);
    link.read_exact(buffer).is_ok()
}

/// Starts a thread that takes peers' connections and hands on their frames. Returns the address taken.
///
/// # Errors
/// What the system says if the address can't be listened on.
pub fn listen<F: Framed>(
    addr: SocketAddrV4,
    take: impl Fn(F) + Send + Clone + 'static,
) -> std::io::Result<SocketAddrV4> {
    let listener = TcpListener::bind(addr)?;
    let local = match listener.local_addr()? {
        SocketAddr::V4(a) => a,
        SocketAddr::V6(_) => addr,
    };
    std::thread::spawn(move || {
        let open = std::sync::Arc::new(());
        for link in listener.incoming() {
            let Ok(link) = link else {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            };
            if std::sync::Arc::strong_count(&open) > LINKS {
                continue;
            }
            let (take, guard) = (take.clone(), open.clone());
            std::thread::spawn(move || {
                let _guard = guard;
                take_frames(link, take);
            });
        }
    });
    Ok(local)
}

fn take_frames<F: Framed>(mut link: TcpStream, take: impl Fn(F)) {
    // A peer speaks several times a second; one that fell silent has another connection by now.
    let _ = link.set_read_timeout(Some(Duration::from_secs(60)));
    let mut buffer = Vec::new();
    while read_frame(&mut link, &mut buffer) {
        match F::decode(&buffer) {
            Some(f) => take(f),
            None => {
                tracing::error!(bytes = buffer.len(), "a peer's frame is malformed; connection closed");
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
