//! Whose fault an error is. A faulty machine fails the tasks of several jobs; a job that was submitted
//! with a mistake fails on every machine. Taking one for the other is costly: a large mistaken array
//! would put all machines out of use, a faulty machine would stop every job that comes near it.

use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on so many machines, and completed nothing since, is taken to be mistaken.
const MACHINES: usize = 3;
/// How long a job keeps away from a machine that it failed on.
const AVOIDED: Micros = Micros::from_millis(30_000);
/// How long a machine is out of use after the error of one job, and the base for those of several.
const FIRST: Micros = Micros::from_millis(5_000);
/// Longest doubling of that, and of the pause between two probes.
const DOUBLINGS: u32 = 5;
/// The first pause between two probes of a suspected job.
const PROBE: Micros = Micros::from_millis(2_000);

#[derive(Debug, Default)]
struct JobFailures {
    machines: BTreeMap<String, Micros>,
    suspected: bool,
    probes: u32,
    not_before: Micros,
}

#[derive(Debug, Default)]
struct MachineFailures {
    jobs: BTreeSet<String>,
    until: Micros,
}

/// The errors that have not been cleared by a success since.
#[derive(Debug, Default)]
pub struct FailureAttribution {
    jobs: BTreeMap<String, JobFailures>,
    machines: BTreeMap<String, MachineFailures>,
}

impl FailureAttribution {
    /// A task of a job failed on a machine.
    pub fn error(&mut self, now: Micros, job: &str, machine: &str) {
        let j = self.jobs.entry(job.to_owned()).or_default();
        if j.suspected {
            // Many tasks may fail at once: that is one failed probe.
            if now >= j.not_before {
                j.not_before = now + Micros(PROBE.0 << j.probes);
                j.probes = (j.probes + 1).min(DOUBLINGS);
            }
            return;
        }
        j.machines.insert(machine.to_owned(), now);
        if j.machines.len() >= MACHINES {
            tracing::info!(job, machines = j.machines.len(), "job suspected: it fails on every machine");
            j.suspected = true;
            j.machines.clear();
            j.not_before = now + PROBE;
            // What was held against machines for its sake is forgiven.
            self.machines.retain(|_, m| {
                m.jobs.remove(job);
                !m.jobs.is_empty()
            });
            return;
        }
        let m = self.machines.entry(machine.to_owned()).or_default();
        m.jobs.insert(job.to_owned());
        let strikes = m.jobs.len() as u32 - 1;
        m.until = m.until.max(now + Micros(FIRST.0 << (strikes * 2).min(DOUBLINGS + 1)));
        if strikes > 0 {
            tracing::info!(machine, jobs = m.jobs.len(), "machine suspected: several jobs fail on it");
        }
    }

    /// A task of a job completed on a machine.
    pub fn success(&mut self, job: &str, machine: &str) {
        if self.jobs.is_empty() && self.machines.is_empty() {
            return;
        }
        if self.jobs.remove(job).is_some_and(|j| j.suspected) {
            tracing::info!(job, "job suspected no more");
        }
        self.machines.remove(machine);
    }

    /// A job has ended, or is another's now.
    pub fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether a job is taken to be mistaken.
    pub fn suspected(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|j| j.suspected)
    }
    /// Whether a suspected job must still wait for its next probe.
    pub fn waits(&self, now: Micros, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|j| j.suspected && now < j.not_before)
    }
    /// Whether a machine takes no tasks for the time being.
    pub fn shunned(&self, now: Micros, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|m| now < m.until)
    }
    /// Machines that a job had better not be placed on.
    pub fn avoided(&self, now: Micros, job: &str) -> BTreeSet<&str> {
        let of = self.jobs.get(job).into_iter().flat_map(|j| &j.machines);
        of.filter(|(_, t)| now.since(**t) < AVOIDED).map(|(m, _)| m.as_str()).collect()
    }
    /// Suspected jobs and machines, for operators.
    pub fn suspects(&self, now: Micros) -> (Vec<&str>, Vec<&str>) {
        let jobs = self.jobs.iter().filter(|(_, j)| j.suspected).map(|(id, _)| id.as_str());
        let machines = self.machines.keys().filter(|m| self.shunned(now, m)).map(String::as_str);
        (jobs.collect(), machines.collect())
    }
}

#[cfg(test)]
mod tests;
