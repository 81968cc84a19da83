//! The days that are played, by subject.

mod batches;
mod chains;
mod plain;
mod takeovers;
mod upgrade;
