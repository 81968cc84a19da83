//! What controllers and log stores share and neither owns: whole microseconds, the ring by consistent hashing, and the
//! connections that carry frames.
//!
//! [`hash_ring`], [`time`] and [`frame`] are pure; [`send_queue`] blocks its reader, and [`transport`] has the threads and
//! sockets. Each module uses only those before it.

pub mod frame;
pub mod hash_ring;
pub mod send_queue;
pub mod time;
pub mod transport;
