//! Attributes task failures to jobs or machines. A faulty machine fails the tasks of several jobs; a faulty
//! job fails on every machine. Confusing the two is costly: a large faulty array would quarantine all
//! machines, and a faulty machine would quarantine every job that runs on it.

use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A job that failed on this many machines without a success in between is quarantined.
const QUARANTINE_MACHINES: usize = 3;
/// How long a job avoids a machine that it failed on.
const MACHINE_AVOIDANCE_TIME: Micros = Micros::from_millis(30_000);
/// How long a machine is quarantined after a failure of one job; the base of the backoff for failures of
/// several jobs.
const MACHINE_QUARANTINE_BASE: Micros = Micros::from_millis(5_000);
/// Maximum number of doublings of the pause between two probes.
const MAX_DOUBLINGS: u32 = 5;
/// Initial pause between two probes of a quarantined job.
const FIRST_PROBE_PAUSE: Micros = Micros::from_millis(2_000);

#[derive(Debug, Default)]
struct JobFailures {
    /// Machines that it failed on, and when.
    machines: BTreeMap<String, Micros>,
    quarantined: bool,
    /// Failed probes since it was quarantined.
    probes: u32,
    next_probe: Micros,
}

#[derive(Debug, Default)]
struct MachineFailures {
    /// Jobs that failed on it.
    jobs: BTreeSet<String>,
    quarantined_until: Micros,
}

/// Failures that have not been cleared by a later success.
#[derive(Debug, Default)]
pub(super) struct FailureAttribution {
    jobs: BTreeMap<String, JobFailures>,
    machines: BTreeMap<String, MachineFailures>,
}

impl FailureAttribution {
    /// Records the failure of a job's task on a machine.
    pub(super) fn note_error(&mut self, now: Micros, job: &str, machine: &str) {
        let failures = self.jobs.entry(job.to_owned()).or_default();
        if failures.quarantined {
            // Many tasks may fail at once, which counts as one failed probe.
            if now >= failures.next_probe {
                failures.next_probe = now + Micros(FIRST_PROBE_PAUSE.0 << failures.probes);
                failures.probes = (failures.probes + 1).min(MAX_DOUBLINGS);
            }
            return;
        }
        failures.machines.insert(machine.to_owned(), now);
        if failures.machines.len() >= QUARANTINE_MACHINES {
            let machines = failures.machines.len();
            tracing::info!(job, machines, "job quarantined: fails on every machine");
            failures.quarantined = true;
            failures.machines.clear();
            failures.next_probe = now + FIRST_PROBE_PAUSE;
            self.clear_machine_failures(job);
        } else {
            self.attribute_to_machine(now, job, machine);
        }
    }

    /// Clears the failures that a faulty job caused on machines.
    fn clear_machine_failures(&mut self, job: &str) {
        self.machines.retain(|_, failures| {
            failures.jobs.remove(job);
            !failures.jobs.is_empty()
        });
    }

    fn attribute_to_machine(&mut self, now: Micros, job: &str, machine: &str) {
        let failures = self.machines.entry(machine.to_owned()).or_default();
        failures.jobs.insert(job.to_owned());
        let other_jobs = failures.jobs.len() as u32 - 1;
        let until = now + Micros(MACHINE_QUARANTINE_BASE.0 << (other_jobs * 2).min(MAX_DOUBLINGS + 1));
        failures.quarantined_until = failures.quarantined_until.max(until);
        if other_jobs > 0 {
            let jobs = failures.jobs.len();
            tracing::info!(machine, jobs, "machine quarantined: several jobs fail on it");
        }
    }

    /// Records the success of a job's task on a machine.
    pub(super) fn note_success(&mut self, job: &str, machine: &str) {
        if self.jobs.is_empty() && self.machines.is_empty() {
            return;
        }
        if self.jobs.remove(job).is_some_and(|failures| failures.quarantined) {
            tracing::info!(job, "job quarantine ended");
        }
        self.machines.remove(machine);
    }

    /// Removes a job that has ended or has another leader now.
    pub(super) fn forget(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Whether a job is quarantined as faulty.
    pub(super) fn is_job_quarantined(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|failures| failures.quarantined)
    }

    /// Whether a quarantined job must wait for its next probe.
    pub(super) fn awaits_probe(&self, now: Micros, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|failures| failures.quarantined && now < failures.next_probe)
    }

    /// Whether a machine is quarantined and takes no tasks.
    pub(super) fn is_machine_quarantined(&self, now: Micros, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|failures| now < failures.quarantined_until)
    }

    /// Machines that a job should not be placed on.
    pub(super) fn machines_avoided_by(&self, now: Micros, job: &str) -> BTreeSet<&str> {
        let failed_on = self.jobs.get(job).into_iter().flat_map(|failures| &failures.machines);
        let recent = failed_on.filter(|(_, failed_at)| now.since(**failed_at) < MACHINE_AVOIDANCE_TIME);
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
