//! The days that are played, by subject.

mod chains;
mod plain;
mod takeovers;
mod upgrade;
