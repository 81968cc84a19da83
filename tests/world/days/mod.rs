//! The days that are played, by subject.

mod batches;
mod chains;
mod compound;
mod gap;
mod loans;
mod lost;
mod pairs;
mod plain;
mod releases;
mod restarts;
mod rough;
mod takeovers;
mod upgrade;
