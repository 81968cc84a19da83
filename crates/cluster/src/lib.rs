//! Code that controllers and log stores share: time in whole microseconds, the consistent-hash ring, the connections that
//! carry frames, and the HTTP server.
//!
//! [`hash_ring`], [`time`] and [`frame`] do no I/O; [`send_queue`] blocks its receiver, and [`transport`] and
//! [`http_server`] have the threads and sockets. Each module uses only those listed before it.

pub mod frame;
pub mod hash_ring;
pub mod http_server;
pub mod send_queue;
pub mod time;
pub mod transport;
