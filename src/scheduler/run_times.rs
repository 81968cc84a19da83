//! How long tasks are likely to run: users' estimates, corrected by how long tasks of the class ran.

use crate::spec::JobSpec;
use crate::units::Micros;
use std::collections::BTreeMap;

/// Expected run time in memory from which on older tasks count for half.
const MEMORY: Micros = Micros::from_millis(4_000_000);

/// How long completed tasks ran, by class.
#[derive(Debug, Default)]
pub struct RunTimes(BTreeMap<String, ClassRunTime>);

/// Sums over the completed tasks of a class.
#[derive(Clone, Copy, Debug)]
struct ClassRunTime {
    actual: Micros,
    expected: Micros,
}

impl RunTimes {
    /// A task of a job completed after it had run for so long.
    pub fn record(&mut self, spec: &JobSpec, run: Micros) {
        if spec.estimated_run_time == Micros(0) {
            return;
        }
        // It begins as if some had run as long as expected: the first to complete are the shortest.
        let start = Micros(MEMORY.0 / 4);
        let sums =
            self.0.entry(spec.class.clone()).or_insert(ClassRunTime { actual: start, expected: start });
        sums.actual = sums.actual + run;
        sums.expected = sums.expected + spec.estimated_run_time;
        if sums.expected > MEMORY {
            sums.actual = Micros(sums.actual.0 / 2);
            sums.expected = Micros(sums.expected.0 / 2);
        }
    }

    /// How long a task of a job is likely to run.
    #[must_use]
    pub fn likely(&self, spec: &JobSpec) -> Micros {
        let (actual, expected) =
            self.0.get(&spec.class).map_or((1, 1), |sums| (sums.actual.0, sums.expected.0));
        Micros(
            (u128::from(spec.estimated_run_time.0) * u128::from(actual) / u128::from(expected.max(1))) as u64,
        )
    }
}
