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
            room: spec.room,
            kinds: spec.kinds.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            spot: spec.spot,
            count,
            estimate: self.run_times.likely(spec),
            priority: spec.priority,
            horizon,
            together: if spec.kind == JobKind::Gang { spec.tasks } else { 1 },
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
            known.room = known.room.max(shape.room);
            known.together = known.together.max(shape.together);
            known.estimate = Micros((known.estimate.0 * 7 + shape.estimate.0) / 8);
            known.horizon = known.horizon.max(shape.horizon);
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
    (known.priority, known.spot, known.one_zone, known.together > 1)
        == (shape.priority, shape.spot, shape.one_zone, shape.together > 1)
        && (known.room.gpus > 0) == (shape.room.gpus > 0)
        && (shape.together == 1 || is_near(known.room.cpus, shape.room.cpus))
        && known.kinds == shape.kinds
        && known.zone == shape.zone
}
