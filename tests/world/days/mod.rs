//! The days that are played, by subject.

mod chains;
mod plain;
mod releases;
mod takeovers;
mod upgrade;
