//! Unplaced and expected demand, by which the autoscaler sizes the fleet.

use super::JobShard;
use super::job::Job;
use crate::peer::Demand;
use crate::spec::{JobKind, JobSpec};
use crate::units::Micros;

/// Expected completion time of a job without an objective or a deadline.
const DEFAULT_COMPLETION_TIME: Micros = Micros::from_millis(120_000);
/// Expected waiting time before the start of work without an objective.
const DEFAULT_WAITING_TIME: Micros = Micros::from_millis(60_000);
/// Maximum number of job shapes that are remembered.
const MAX_REMEMBERED_SHAPES: usize = 100;

impl JobShard {
    /// The shortest time that objectives of a kind set for a job's class.
    fn tightest_objective(&self, kind: &str, spec: &JobSpec) -> Option<Micros> {
        let of_class = self.objectives.iter().filter(|o| o.kind == kind && o.class == spec.class);
        of_class.map(|objective| Micros::from_secs(objective.within_s)).min()
    }

    /// How long a job's tasks may queue before a machine is rented for them. It is zero where a guarantee or
    /// a waiting-time objective applies, and otherwise a part of the time in which the job is expected to
    /// complete.
    pub(super) fn max_queue_time(&self, job: &Job, guaranteed: bool, age: Micros) -> Micros {
        let spec = &job.spec;
        if guaranteed || spec.kind == JobKind::Service || self.tightest_objective("wait", spec).is_some() {
            return Micros(0);
        }
        let within =
            self.tightest_objective("finished", spec).or(spec.deadline).unwrap_or(DEFAULT_COMPLETION_TIME);
        Micros((within.0 / 3).saturating_sub(age.0 / 2))
    }

    /// How long work waits before lower-priority tasks are preempted for it.
    pub(super) fn preemption_delay(&self, spec: &JobSpec) -> Micros {
        Micros(self.tightest_objective("wait", spec).unwrap_or(DEFAULT_WAITING_TIME).0 / 40)
    }

    /// The demand for `count` tasks of a job that may queue for `max_queue_time`.
    pub(super) fn demand_of(&self, spec: &JobSpec, count: u32, max_queue_time: Micros) -> Demand {
        Demand {
            resources_per_task: spec.resources_per_task,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            spot_allowed: spec.spot_allowed,
            count,
            estimated_run_time: self.run_times.likely(spec),
            priority: spec.priority,
            max_queue_time,
            gang_size: if spec.kind == JobKind::Gang { spec.task_count } else { 1 },
        }
    }

    /// Remembers a job's resource request, likely run time and queueing horizon. An autoscaler that has just
    /// taken over needs them even though nothing waits.
    pub(super) fn remember_shape(&mut self, now: Micros, spec: &JobSpec, max_queue_time: Micros) {
        let shape = self.demand_of(spec, 0, max_queue_time);
        if let Some((known, seen_at)) =
            self.recent_shapes.iter_mut().find(|(known, _)| can_merge_shapes(known, &shape))
        {
            *seen_at = now;
            known.resources_per_task = known.resources_per_task.max(shape.resources_per_task);
            known.gang_size = known.gang_size.max(shape.gang_size);
            known.estimated_run_time =
                Micros((known.estimated_run_time.0 * 7 + shape.estimated_run_time.0) / 8);
            known.max_queue_time = known.max_queue_time.max(shape.max_queue_time);
        } else if self.recent_shapes.len() < MAX_REMEMBERED_SHAPES {
            self.recent_shapes.push((shape, now));
        }
    }

    /// Unplaced demand and the recently seen job shapes, for the autoscaler.
    pub fn demands(&self) -> Vec<Demand> {
        let waiting = self.demands.iter().chain(&self.unresolved_demand.demands);
        waiting.chain(self.recent_shapes.iter().map(|(shape, _)| shape)).cloned().collect()
    }
}

/// Whether two shapes are merged into one, which keeps the larger values: jobs whose tasks differ a little
/// must not crowd out other shapes. Two unlike gangs must not be merged into a third that was never
/// submitted, such as one of many small tasks and one of few tasks on GPUs: whole machine types would be
/// reserved for it.
fn can_merge_shapes(known: &Demand, shape: &Demand) -> bool {
    let is_near = |a: i64, b: i64| a <= b.saturating_mul(2) && b <= a.saturating_mul(2);
    (known.priority, known.spot_allowed, known.one_zone, known.gang_size > 1)
        == (shape.priority, shape.spot_allowed, shape.one_zone, shape.gang_size > 1)
        && (known.resources_per_task.gpus > 0) == (shape.resources_per_task.gpus > 0)
        && (shape.gang_size == 1 || is_near(known.resources_per_task.cpus, shape.resources_per_task.cpus))
        && known.machine_types == shape.machine_types
        && known.zone == shape.zone
}
