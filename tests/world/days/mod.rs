//! The days that are played, by subject.

mod batches;
mod cancels;
mod chains;
mod compound;
mod gap;
mod loans;
mod pairs;
mod plain;
mod releases;
mod restarts;
mod rough;
mod takeovers;
mod upgrade;
