//! Whose fault an error is. A faulty machine fails the tasks of several jobs; a job that was submitted
//! with a mistake fails on every machine. Taking one for the other is costly: a large mistaken array
//! would put all machines out of use, a faulty machine would stop every job that comes near it.

use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on so many machines, and completed nothing since, is quarantined.
const QUARANTINE_MACHINES: usize = 3;
/// How long a job keeps away from a machine that it failed on.
const AVOIDED_FOR: Micros = Micros::from_millis(30_000);
/// How long a machine is out of use after the error of one job, and the base for those of several.
const MACHINE_QUARANTINE: Micros = Micros::from_millis(5_000);
/// The most doublings of the pause between two probes.
const DOUBLINGS: u32 = 5;
/// The first pause between two probes of a quarantined job.
const PROBE_PAUSE: Micros = Micros::from_millis(2_000);

#[derive(Debug, Default)]
struct JobFailures {
    /// Machines that it failed on, and when.
    machines: BTreeMap<String, Micros>,
    quarantined: bool,
    /// Failed probes since.
    probes: u32,
    next_probe: Micros,
}

#[derive(Debug, Default)]
struct MachineFailures {
    /// Jobs that failed on it.
    jobs: BTreeSet<String>,
    quarantined_until: Micros,
}

/// The errors that have not been cleared by a success since.
#[derive(Debug, Default)]
pub(super) struct FailureAttribution {
    jobs: BTreeMap<String, JobFailures>,
    machines: BTreeMap<String, MachineFailures>,
}

impl FailureAttribution {
    /// A task of a job failed on a machine.
    pub(super) fn note_error(&mut self, now: Micros, job: &str, machine: &str) {
        let failures = self.jobs.entry(job.to_owned()).or_default();
        if failures.quarantined {
            // Many tasks may fail at once: that is one failed probe.
            if now >= failures.next_probe {
                failures.next_probe = now + Micros(PROBE_PAUSE.0 << failures.probes);
                failures.probes = (failures.probes + 1).min(DOUBLINGS);
            }
            return;
        }
        failures.machines.insert(machine.to_owned(), now);
        if failures.machines.len() >= QUARANTINE_MACHINES {
            let machines = failures.machines.len();
            tracing::info!(job, machines, "job quarantined: fails on every machine");
            failures.quarantined = true;
            failures.machines.clear();
            failures.next_probe = now + PROBE_PAUSE;
            self.forgive_machines(job);
        } else {
            self.blame_machine(now, job, machine);
        }
    }

    /// What was held against machines for a mistaken job's sake is forgiven.
    fn forgive_machines(&mut self, job: &str) {
        self.machines.retain(|_, failures| {
            failures.jobs.remove(job);
            !failures.jobs.is_empty()
        });
    }

    fn blame_machine(&mut self, now: Micros, job: &str, machine: &str) {
        let failures = self.machines.entry(machine.to_owned()).or_default();
        failures.jobs.insert(job.to_owned());
        let others = failures.jobs.len() as u32 - 1;
        let until = now + Micros(MACHINE_QUARANTINE.0 << (others * 2).min(DOUBLINGS + 1));
        failures.quarantined_until = failures.quarantined_until.max(until);
        if others > 0 {
            let jobs = failures.jobs.len();
            tracing::info!(machine, jobs, "machine quarantined: several jobs fail on it");
        }
    }

    /// A task of a job completed on a machine.
    pub(super) fn note_success(&mut self, job: &str, machine: &str) {
        if self.jobs.is_empty() && self.machines.is_empty() {
            return;
        }
        if self.jobs.remove(job).is_some_and(|failures| failures.quarantined) {
            tracing::info!(job, "job quarantine ended");
        }
        self.machines.remove(machine);
    }

    /// A job has ended, or has another leader now.
    pub(super) fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether a job is taken to be mistaken.
    pub(super) fn is_job_quarantined(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|failures| failures.quarantined)
    }

    /// Whether a quarantined job must still wait for its next probe.
    pub(super) fn awaits_probe(&self, now: Micros, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|failures| failures.quarantined && now < failures.next_probe)
    }

    /// Whether a machine takes no tasks for the time being.
    pub(super) fn is_machine_quarantined(&self, now: Micros, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|failures| now < failures.quarantined_until)
    }

    /// Machines that a job had better not be placed on.
    pub(super) fn machines_avoided_by(&self, now: Micros, job: &str) -> BTreeSet<&str> {
        let failed_on = self.jobs.get(job).into_iter().flat_map(|failures| &failures.machines);
        let recent = failed_on.filter(|(_, failed_at)| now.since(**failed_at) < AVOIDED_FOR);
        recent.map(|(machine, _)| machine.as_str()).collect()
    }

    /// Quarantined jobs and machines, for operators.
    pub(super) fn quarantined(&self, now: Micros) -> (Vec<&str>, Vec<&str>) {
        let jobs = self.jobs.iter().filter(|(_, failures)| failures.quarantined);
        let machines = self.machines.keys().filter(|machine| self.is_machine_quarantined(now, machine));
        (jobs.map(|(id, _)| id.as_str()).collect(), machines.map(String::as_str).collect())
    }
}

#[cfg(test)]
mod tests;
