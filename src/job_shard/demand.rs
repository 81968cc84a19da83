//! What finds no room, and what may come: the autoscaler sizes the fleet by it.

use super::JobShard;
use super::job::Job;
use crate::peer::Demand;
use crate::spec::{JobKind, JobSpec};
use crate::units::Micros;

/// Time in which a job without an objective or a deadline is expected to be done.
const EXPECTED_WITHIN: Micros = Micros::from_millis(120_000);
/// Time in which work without an objective is expected to begin.
const BEGINS_WITHIN: Micros = Micros::from_millis(60_000);
/// The most shapes of jobs that are remembered.
const REMEMBERED_SHAPES: usize = 100;

impl JobShard {
    /// The shortest time that objectives of a kind promise to a job's class.
    fn promised_time(&self, kind: &str, spec: &JobSpec) -> Option<Micros> {
        let of_class = self.objectives.iter().filter(|o| o.kind == kind && o.class == spec.class);
        of_class.map(|objective| Micros::from_secs(objective.within_s)).min()
    }

    /// How long a job's tasks may queue before a machine is worth renting for them: not at all
    /// where a guarantee or a waiting time is promised, otherwise a part of the time in which the
    /// job is expected to be done.
    pub(super) fn horizon(&self, job: &Job, guaranteed: bool, age: Micros) -> Micros {
        let spec = &job.spec;
        if guaranteed || spec.kind == JobKind::Service || self.promised_time("wait", spec).is_some() {
            return Micros(0);
        }
        let within = self.promised_time("finished", spec).or(spec.deadline).unwrap_or(EXPECTED_WITHIN);
        Micros((within.0 / 3).saturating_sub(age.0 / 2))
    }

    /// How long work may wait before work of lower priority is stopped for it.
    pub(super) fn patience(&self, spec: &JobSpec) -> Micros {
        Micros(self.promised_time("wait", spec).unwrap_or(BEGINS_WITHIN).0 / 40)
    }

    /// So many tasks of a job that may queue for `horizon`.
    pub(super) fn demand_of(&self, spec: &JobSpec, count: u32, horizon: Micros) -> Demand {
        Demand {
            resources_per_task: spec.resources_per_task,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            spot_allowed: spec.spot_allowed,
            count,
            estimated_run_time: self.run_times.likely(spec),
            priority: spec.priority,
            max_queue_time: horizon,
            gang_size: if spec.kind == JobKind::Gang { spec.task_count } else { 1 },
        }
    }

    /// Remembers what a job asks for, with what its tasks are likely to run and how long they may queue:
    /// an autoscaler that has just taken over must know that although nothing waits.
    pub(super) fn note_shape(&mut self, now: Micros, spec: &JobSpec, horizon: Micros) {
        let shape = self.demand_of(spec, 0, horizon);
        if let Some((known, seen_at)) =
            self.recent_shapes.iter_mut().find(|(known, _)| is_alike(known, &shape))
        {
            *seen_at = now;
            known.resources_per_task = known.resources_per_task.max(shape.resources_per_task);
            known.gang_size = known.gang_size.max(shape.gang_size);
            known.estimated_run_time =
                Micros((known.estimated_run_time.0 * 7 + shape.estimated_run_time.0) / 8);
            known.max_queue_time = known.max_queue_time.max(shape.max_queue_time);
        } else if self.recent_shapes.len() < REMEMBERED_SHAPES {
            self.recent_shapes.push((shape, now));
        }
    }

    /// What finds no room, and the shapes of jobs seen of late, for the autoscaler.
    pub fn demands(&self) -> Vec<Demand> {
        let waiting = self.demands.iter().chain(&self.unresolved_demand.demands);
        waiting.chain(self.recent_shapes.iter().map(|(shape, _)| shape)).cloned().collect()
    }
}

/// Whether two shapes count as one, of which the larger is kept: jobs whose tasks differ a little must not crowd out the
/// rest. Two unlike gangs must not make a third that nobody asked for, such as one of many small tasks and one of few
/// tasks on GPUs: whole machine types would be reserved for it.
fn is_alike(known: &Demand, shape: &Demand) -> bool {
    let is_near = |a: i64, b: i64| a <= b.saturating_mul(2) && b <= a.saturating_mul(2);
    (known.priority, known.spot_allowed, known.one_zone, known.gang_size > 1)
        == (shape.priority, shape.spot_allowed, shape.one_zone, shape.gang_size > 1)
        && (known.resources_per_task.gpus > 0) == (shape.resources_per_task.gpus > 0)
        && (shape.gang_size == 1 || is_near(known.resources_per_task.cpus, shape.resources_per_task.cpus))
        && known.machine_types == shape.machine_types
        && known.zone == shape.zone
}
