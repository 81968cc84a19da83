//! Coordination records: records in the state service that several controllers read, one changes at a time by
//! compare-and-swap, and that bind jobs of several leaders. Release sets, batches and GPU loans are built on them.
//!
//! [`record`] has the record: its key, its form, its phase, which only goes forward within a version, and the pages that a
//! long list is split into. [`record_cache`] is what one controller holds of records, from which reading, and which are to
//! be read next. [`census`] finds all members of a record from the jobs' own records, so that joining costs no change at
//! all. All are pure: no clock, no sockets; times are passed in. What a record's body says is the business of whoever builds
//! on it; `docs/pacts.md` has the argument.

pub mod census;
pub mod record;
pub mod record_cache;
