//! The days that are played, by subject.

mod chains;
mod plain;
mod restarts;
mod takeovers;
mod upgrade;
