//! What controllers and log stores share and neither owns: whole microseconds, the ring by consistent
//! hashing, and the links that carry frames. `hash_ring` and `time` are pure data; threads and sockets are in `transport`.

pub mod hash_ring;
pub mod send_queue;
pub mod time;
pub mod transport;
