//! What controllers and log stores share and neither owns: whole microseconds, the ring by consistent
//! hashing, and the links that carry frames. `ring` and `units` are pure data; threads and sockets are in `link`.

pub mod line;
pub mod link;
pub mod ring;
pub mod units;
