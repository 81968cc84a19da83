//! Forms of the user API: submissions, job states, errors.

pub mod submission;
