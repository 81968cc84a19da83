//! The days that are played, by subject.

mod chains;
mod loans;
mod plain;
mod takeovers;
mod upgrade;
