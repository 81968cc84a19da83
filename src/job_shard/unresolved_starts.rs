//! What jobs ask for whose starts are not all known yet.
//!
//! Nothing of them is placed. But a dead machine may hold them up for a lease, and a machine takes as long to boot: what
//! they will certainly lack is asked for meanwhile.

use super::JobShard;
use super::job::{Job, StartKnowledge};
use super::scheduling_pass::Pass;
use crate::peer::Demand;
use crate::scheduler::placement::{self, ZoneCounts};
use crate::spec::{JobKind, JobSpec};
use crate::units::{Micros, Resources};

/// What waits for machines is counted this often. It is a scheduling pass of its own.
const EVERY: Micros = Micros::from_millis(500);
/// Only once so many of ten machines have been heard. Before that the room of the others isn't seen either, and
/// machines would be rented for tasks that are about to be found running.
const HEARD_OF_TEN: usize = 9;

/// The latest count.
#[derive(Default)]
pub(super) struct UnresolvedDemand {
    next: Micros,
    pub(super) demands: Vec<Demand>,
}

impl JobShard {
    /// Counts what jobs with unknown starts lack that would find no room in what placing has left.
    pub(super) fn count_unresolved_demand(&mut self, pass: &mut Pass) {
        if self.jobs.values().all(Job::has_known_starts) {
            self.unresolved_demand = UnresolvedDemand::default();
            return;
        }
        if pass.now < self.unresolved_demand.next {
            return;
        }
        self.unresolved_demand = UnresolvedDemand { next: pass.now + EVERY, demands: Vec::new() };
        let mut exhausted: Vec<JobSpec> = Vec::new();
        for id in self.queue_order() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let lacking = self.unresolved_lack(pass, &id, job);
            if lacking == 0 {
                continue;
            }
            let spec = job.spec.clone();
            let guaranteed = pass.quota.has_guarantee(&spec.team);
            let horizon = self.horizon(job, guaranteed, pass.wall.since(job.ready_wall()));
            let whole_horizon = self.horizon(job, guaranteed, Micros(0));
            let unplaced = try_to_place(pass, &mut exhausted, &spec, lacking);
            self.note_shape(pass.now, &spec, whole_horizon);
            if unplaced > 0 {
                let count = if spec.kind == JobKind::Gang { spec.task_count } else { unplaced as u32 };
                let demand = self.demand_of(&spec, count, horizon);
                self.unresolved_demand.demands.push(demand);
            }
        }
    }

    /// How many tasks a job certainly lacks while machines that may run some have not been heard; 0 for one that waits
    /// for no machines.
    fn unresolved_lack(&self, pass: &Pass, id: &str, job: &Job) -> usize {
        let StartKnowledge::AwaitsMachines(set) = job.start_knowledge else { return 0 };
        let spec = &job.spec;
        let hidden = self.unresolved_sets.machines(set).count();
        if job.is_waiting()
            || self.failures.is_job_quarantined(id)
            || hidden * 10 > pass.machine_count * (10 - HEARD_OF_TEN)
        {
            return 0;
        }
        let gang = spec.kind == JobKind::Gang;
        let there = job.assignments.len() + self.retired_starts.alive_of(id).count();
        let lacking = (spec.task_count as usize).saturating_sub(job.done.len() as usize + there);
        // As many of its tasks are likely to be on a machine that is not heard as on one that is. A gang is there or
        // is not.
        let expected = (there * hidden).div_ceil(pass.machine_count.saturating_sub(hidden).max(1));
        let lacking = if gang && there > 0 { 0 } else { lacking.saturating_sub(expected) };
        let allowance = pass.quota.usable(&spec.team, id) - self.resources_in_use(id, job);
        let allowance = Resources { memory: i64::MAX / 4, ..allowance };
        let allowed = allowance.max_count_of(spec.resources_per_task).clamp(0, lacking as i64);
        if gang && allowed < i64::from(spec.task_count) { 0 } else { allowed as usize }
    }
}

/// Takes room for up to `count` tasks. Returns how many find none.
fn try_to_place(pass: &mut Pass, exhausted: &mut Vec<JobSpec>, spec: &JobSpec, count: usize) -> usize {
    if exhausted.iter().any(|failed| placement::is_no_easier(spec, failed)) {
        return count;
    }
    let found = placement::place_tasks(spec, &mut pass.places, &mut ZoneCounts::new(), count, |_| true).len();
    let unplaced = count.saturating_sub(found);
    if unplaced > 0 && !spec.one_zone && !spec.spread {
        exhausted.push(spec.clone());
    }
    unplaced
}

#[cfg(test)]
mod tests;
