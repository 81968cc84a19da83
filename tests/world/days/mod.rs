//! The days that are played, by subject.

mod batches;
mod chains;
mod loans;
mod plain;
mod releases;
mod restarts;
mod rough;
mod takeovers;
mod upgrade;
