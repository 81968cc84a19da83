//! The days that are played, by subject.

mod batches;
mod chains;
mod plain;
mod releases;
mod takeovers;
mod upgrade;
