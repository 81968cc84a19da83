//! Release calendar: a rotation waits until every render and rebuild of its title has ended, according to their records.
//!
//! A release is the work on one title in one night. Its members are rebuild jobs, which recompute prices, and render jobs,
//! which make bundles of them. Its rotation, a job that brings the bundles into the shops, waits for all members.
//!
//! All modules are pure: no clock, no sockets, no files. Times are microseconds since 1970 (the wall clock, `wall`). No safety
//! property depends on them: they decide when a release opens, closes by itself or is late, never whether a rotation may
//! start.
//!
//! How a controller uses the crate:
//!
//! 1. *Settings*: [`calendar::Calendar::parse`] parses each section `[calendar NAME]`; [`calendar::Calendars`] holds them all.
//! 2. *A submission* with the field `release`: the repeated submission of a known job is answered before any of this. For a
//!    new job, call [`release_ref::ReleaseRef::parse`] (400 on failure), [`join::resolve_night`] unless it names a night (422
//!    on failure), and [`join::decide_join`] with the record of [`release_ref::release_key`]`(title, night)`. On `Join`, the
//!    transaction that accepts the job also has the condition that the record is unchanged; if it fails, repeat these steps.
//!    On `OpenFirst(record)`, first write the record on condition that none exists. On `Retry`, answer 503. The job's record
//!    contains [`release_ref::ReleaseRef::to_value`] with the night filled in.
//! 3. *Closing*, by the record's maintainer, the owner of its key on the hash ring:
//!    [`release_record::Release::close_reason`] decides whether it is time. Write [`release_record::begin_closing`], then run
//!    a census, then write the pages and the head of [`release_record::finish_closing`].
//! 4. *A rotation* starts no task until [`readiness::assess`] returns `MayStart`. `Ready(record)` has to be written first, on
//!    condition that the record is unchanged. `Held` has the causes to show. Members' states must come from stored records.
//! 5. *Operators*: [`release_record::close`], [`release_record::waive`] and [`release_record::reopen`] return the record to
//!    write, or why the change is not allowed; [`status::ReleaseStatus::from_record`] is what `release show` prints.
//! 6. *Scheduling order*: [`priority_inheritance`] computes the priority and the deadline that members inherit.

pub mod calendar;
pub mod join;
pub mod priority_inheritance;
pub mod readiness;
pub mod release_record;
pub mod release_ref;
pub mod status;

#[cfg(test)]
mod tests;
