//! Release calendar: a rotation waits until every render and rebuild of its title is on record.
//!
//! All is pure: no clock, no sockets, no files. Points in time are microseconds since 1970 (the time of day, `wall`), and no
//! safety rests on them: they say when something opens, closes by itself, or is late, never what a rotation may rely on.
//!
//! How a slice uses it:
//!
//! 1. *Settings*: [`calendar::Calendar::parse`] for each `[calendar NAME]`, all of them in a [`calendar::Calendars`].
//! 2. *A submission* with `"release"`: a known job is answered first, whatever this says. [`release_ref::ReleaseRef::parse`] (400), then
//!    [`join::night`] (422) unless it names one, then [`join::may_join`] with what the shelf holds of
//!    [`release_ref::key`]`(title, night)`. `Now`: the transaction that accepts the job is also conditional on the record's mark as
//!    read, and if that fails, all is asked anew. `Open(record)`: write it first, on condition that there is none. `Later`:
//!    503. The job's record has [`release_ref::ReleaseRef::value`], with the night filled in.
//! 3. *Closing*, by the owner of the head's key: [`set::Release::to_close`] says whether it is time; write
//!    [`set::closing`], then take the census (`pact::census`; a job's record says [`release_ref::ReleaseRef`]), then write the pages and the head of
//!    [`set::closed`].
//! 4. *A rotation* starts nothing until [`readiness::verdict`] says `Open`. `Ready(record)` is to be written first, on condition
//!    of the mark. `Held` has the causes to show. Facts about members come from records alone.
//! 5. *Operators*: [`set::close`], [`set::waive`], [`set::reopen`] give the record to be written or the reason why not;
//!    [`status::ReleaseStatus::of`] is what `release show` prints.
//! 6. *Order*: [`priority_inheritance`] has the urgency and the deadline that members inherit.

pub mod calendar;
pub mod join;
pub mod priority_inheritance;
pub mod readiness;
pub mod release_ref;
pub mod set;
pub mod status;

#[cfg(test)]
mod tests;
