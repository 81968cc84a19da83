//! Forms of the user API: submissions, job states, errors.
