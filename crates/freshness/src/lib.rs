//! Stale-input guard: a merge starts and writes only if its inputs are runs of its batch's current version.
//!
//! [`batch`] is the record of a batch: its version, which only rises, and the permits that are held to write its tables.
//! [`upstream`] collects all jobs that a merge depends on and finds the stale runs among them. [`guard`] decides which
//! merge may start, which writer gets a permit, and which running merge must stop. [`settings`] has the job classes that
//! the guard covers. All modules are pure: no clock, no sockets; the caller reads and writes the records.
//! `docs/freshness.md` proves the guard correct.

pub mod batch;
pub mod guard;
pub mod settings;
pub mod upstream;
