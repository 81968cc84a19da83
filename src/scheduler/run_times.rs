//! Likely run times of tasks: users' estimates, corrected by the actual run times of earlier tasks of the
//! class.

use crate::spec::JobSpec;
use crate::units::Micros;
use std::collections::BTreeMap;

/// Sum of expected run times at which both sums are halved, so that older tasks lose weight.
const MAX_EXPECTED_SUM: Micros = Micros::from_millis(4_000_000);

/// Actual run times of completed tasks, by class.
#[derive(Debug, Default)]
pub struct RunTimes(BTreeMap<String, ClassRunTime>);

/// Sums over the completed tasks of a class.
#[derive(Clone, Copy, Debug)]
struct ClassRunTime {
    actual: Micros,
    expected: Micros,
}

impl RunTimes {
    /// Records that a task of a job completed after running for `run`.
    pub fn record(&mut self, spec: &JobSpec, run: Micros) {
        if spec.estimated_run_time == Micros(0) {
            return;
        }
        // The sums start as if some tasks had run as long as expected, since the shortest tasks complete
        // first.
        let initial = Micros(MAX_EXPECTED_SUM.0 / 4);
        let sums =
            self.0.entry(spec.class.clone()).or_insert(ClassRunTime { actual: initial, expected: initial });
        sums.actual = sums.actual + run;
        sums.expected = sums.expected + spec.estimated_run_time;
        if sums.expected > MAX_EXPECTED_SUM {
            sums.actual = Micros(sums.actual.0 / 2);
            sums.expected = Micros(sums.expected.0 / 2);
        }
    }

    /// The likely run time of a task of a job.
    #[must_use]
    pub fn likely(&self, spec: &JobSpec) -> Micros {
        let (actual, expected) =
            self.0.get(&spec.class).map_or((1, 1), |sums| (sums.actual.0, sums.expected.0));
        Micros(
            (u128::from(spec.estimated_run_time.0) * u128::from(actual) / u128::from(expected.max(1))) as u64,
        )
    }
}
