//! Demand of jobs whose attempts are not all known yet.
//!
//! None of their tasks is placed. But an unreachable machine may block such a job until its lease expires,
//! and a new machine takes as long to boot. Therefore machines are requested meanwhile for the tasks that are
//! certainly missing.

use super::JobShard;
use super::job::{Job, StartKnowledge};
use super::scheduling_pass::SchedulingPass;
use crate::peer::Demand;
use crate::scheduler::placement::{self, ZoneCounts};
use crate::spec::{JobKind, JobSpec};
use crate::units::{Micros, Resources};

/// Interval between two counts. A count costs as much as a scheduling pass.
const COUNT_INTERVAL: Micros = Micros::from_millis(500);
/// The demand is counted only once this many tenths of the machines have reported. Before that, the free
/// resources of the others are unknown too, and machines would be rented for tasks that are about to be found
/// running.
const MIN_REPORTED_TENTHS: usize = 9;

/// The result of the latest count.
#[derive(Default)]
pub(super) struct UnresolvedDemand {
    next: Micros,
    pub(super) demands: Vec<Demand>,
}

impl JobShard {
    /// Counts the missing tasks of jobs with unknown attempts that do not fit into the resources left by the
    /// scheduling pass.
    pub(super) fn count_unresolved_demand(&mut self, pass: &mut SchedulingPass) {
        if self.jobs.values().all(Job::has_known_starts) {
            self.unresolved_demand = UnresolvedDemand::default();
            return;
        }
        if pass.now < self.unresolved_demand.next {
            return;
        }
        self.unresolved_demand = UnresolvedDemand { next: pass.now + COUNT_INTERVAL, demands: Vec::new() };
        let mut unplaceable: Vec<JobSpec> = Vec::new();
        for id in self.queue_order() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let missing = self.certain_shortfall(pass, &id, job);
            if missing == 0 {
                continue;
            }
            let spec = job.spec.clone();
            let guaranteed = pass.quota.has_guarantee(&spec.team);
            let max_queue_time = self.max_queue_time(job, guaranteed, pass.wall.since(job.ready_wall()));
            let full_horizon = self.max_queue_time(job, guaranteed, Micros(0));
            let unplaced = allocate_if_possible(pass, &mut unplaceable, &spec, missing);
            self.remember_shape(pass.now, &spec, full_horizon);
            if unplaced > 0 {
                let count = if spec.kind == JobKind::Gang { spec.task_count } else { unplaced as u32 };
                let demand = self.demand_of(&spec, count, max_queue_time);
                self.unresolved_demand.demands.push(demand);
            }
        }
    }

    /// How many tasks a job certainly lacks while machines that may run some of its tasks have not reported;
    /// 0 for a job that waits for no machines.
    fn certain_shortfall(&self, pass: &SchedulingPass, id: &str, job: &Job) -> usize {
        let StartKnowledge::AwaitsMachines(set) = job.start_knowledge else { return 0 };
        let spec = &job.spec;
        let unreported = self.unresolved_sets.machines(set).count();
        if job.is_waiting()
            || self.failures.is_job_quarantined(id)
            || unreported * 10 > pass.machine_count * (10 - MIN_REPORTED_TENTHS)
        {
            return 0;
        }
        let gang = spec.kind == JobKind::Gang;
        let known_attempts = job.assignments.len() + self.retired_starts.alive_attempts_of(id).count();
        let missing = (spec.task_count as usize).saturating_sub(job.done.len() as usize + known_attempts);
        // An unreported machine is likely to run as many of the job's tasks as one that has reported. A gang
        // either runs completely or not at all.
        let likely_unreported =
            (known_attempts * unreported).div_ceil(pass.machine_count.saturating_sub(unreported).max(1));
        let missing = if gang && known_attempts > 0 { 0 } else { missing.saturating_sub(likely_unreported) };
        let allowance = pass.quota.usable(&spec.team, id) - self.resources_in_use(id, job);
        let allowance = Resources { memory: i64::MAX / 4, ..allowance };
        let allowed = allowance.max_count_of(spec.resources_per_task).clamp(0, missing as i64);
        if gang && allowed < i64::from(spec.task_count) { 0 } else { allowed as usize }
    }
}

/// Allocates resources for up to `count` tasks. Returns how many could not be placed.
fn allocate_if_possible(
    pass: &mut SchedulingPass,
    unplaceable: &mut Vec<JobSpec>,
    spec: &JobSpec,
    count: usize,
) -> usize {
    if unplaceable.iter().any(|failed| placement::is_at_least_as_demanding(spec, failed)) {
        return count;
    }
    let found =
        placement::place_tasks(spec, &mut pass.targets, &mut ZoneCounts::new(), count, |_| true).len();
    let unplaced = count.saturating_sub(found);
    if unplaced > 0 && !spec.one_zone && !spec.spread {
        unplaceable.push(spec.clone());
    }
    unplaced
}

#[cfg(test)]
mod tests;
