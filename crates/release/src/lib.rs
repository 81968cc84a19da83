//! Release calendar: a rotation waits until every render and rebuild of its title is on record.
//!
//! All is pure: no clock, no sockets, no files. Points in time are microseconds since 1970 (the time of day, `wall`), and no
//! safety rests on them: they say when something opens, closes by itself, or is late, never what a rotation may rely on.
//!
//! How a controller uses it:
//!
//! 1. *Settings*: [`calendar::Calendar::parse`] for each `[calendar NAME]`, all of them in a [`calendar::Calendars`].
//! 2. *A submission* with `"release"`: a job that is known is answered first, whatever this says. Then
//!    [`release_ref::ReleaseRef::parse`] (400), [`join::resolve_night`] (422) unless it names one, and [`join::decide_join`]
//!    with the record of [`release_ref::release_key`]`(title, night)`. `Join`: the transaction that accepts the job is also
//!    conditional on the record's being unchanged, and if that fails, all is asked anew. `OpenFirst(record)`: write it first,
//!    on condition that there is none. `Retry`: 503. The job's record has [`release_ref::ReleaseRef::value`], with the night
//!    filled in.
//! 3. *Closing*, by the owner of the record's key: [`release_record::Release::due_to_close`] says whether it is time; write
//!    [`release_record::begin_closing`], then take the census, then write the pages and the head of [`release_record::finish_closing`].
//! 4. *A rotation* starts nothing until [`readiness::assess`] says `Open`. `Ready(record)` is to be written first, on
//!    condition that the record is unchanged. `Held` has the causes to show. Members' states come from records alone.
//! 5. *Operators*: [`release_record::close`], [`release_record::waive`], [`release_record::reopen`] give the record to be written or the reason why not;
//!    [`status::ReleaseStatus::of`] is what `release show` prints.
//! 6. *Order*: [`priority_inheritance`] has the urgency and the deadline that members inherit.

pub mod calendar;
pub mod join;
pub mod priority_inheritance;
pub mod readiness;
pub mod release_record;
pub mod release_ref;
pub mod status;

#[cfg(test)]
mod tests;
