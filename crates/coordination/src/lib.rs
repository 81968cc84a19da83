//! Coordination records: records in the state store that several controllers read, that change by compare-and-swap, and
//! that coordinate jobs with different leaders. Releases, batches and GPU loans are built on them.
//!
//! [`record`] has the record itself: its key, its format, its phase, which only advances within a version, and the
//! pages into which a long list is split. [`record_cache`] holds the records that one controller has read, with the
//! time of each read, and decides which to read next. [`census`] finds all members of a record from the jobs' own
//! records, so that joining costs no extra write. None of them reads a clock or does I/O: the current time is a
//! parameter. The users of a record define its body. `docs/pacts.md` explains why this is safe.

pub mod census;
pub mod record;
pub mod record_cache;
