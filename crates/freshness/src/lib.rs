//! Stale-input guard: a merge starts and writes only on runs of its batch's version.
//!
//! [`batch`] is the record of a batch: its version, which only rises, and the permits that are held to write tables of it.
//! [`upstream`] walks from a merge to all that it rests on and says which runs are old. [`guard`] decides what may start,
//! who gets a permit, and which running merge must stop. [`settings`] says which classes all this is about. All are pure:
//! no clock, no sockets; records are read and written by whoever calls. `docs/freshness.md` has the argument.

pub mod batch;
pub mod guard;
pub mod settings;
pub mod upstream;
