//! The simulated runs, by subject.

mod batches;
mod cancels;
mod chains;
mod commands;
mod compound;
mod followers;
mod gap;
mod late_copies;
mod loans;
mod looks;
mod lost;
mod orphans;
mod pairs;
mod plain;
mod quota;
mod refused;
mod register;
mod releases;
mod restarts;
mod rough;
mod takeovers;
mod traces;
mod upgrade;
mod zones;
