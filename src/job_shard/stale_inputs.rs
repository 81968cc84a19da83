//! Merges whose inputs turn out to be old while they run, and which of a merge's attempts still stand.

use super::*;

/// How an attempt stands, as far as its job's owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It may run.
    Stands,
    /// It is being stopped.
    Stopping,
    /// It is over, or there never was one.
    Over,
    /// Not all machines that may run it have been heard.
    Unknown,
}

impl JobShard {
    /// How an attempt of a live job stands; `task` is None for a gang, whose attempts are the job's.
    pub fn attempt(&self, id: &str, task: Option<u32>, attempt: u64) -> Attempt {
        let Some(j) = self.jobs.get(id) else { return Attempt::Over };
        let mine = |t: u32| task.is_none_or(|task| task == t);
        let placed = j.assignments.iter().find(|(t, p)| mine(**t) && p.attempt == attempt);
        if let Some((_, p)) = placed {
            return if matches!(p.action, DesiredAction::Stop(_)) {
                Attempt::Stopping
            } else {
                Attempt::Stands
            };
        }
        let left = self.open_of(id).any(|((t, _, a), (alive, _))| *alive && mine(*t) && *a == attempt);
        match (left, j.settled()) {
            (true, _) => Attempt::Stopping,
            (false, true) => Attempt::Over,
            (false, false) => Attempt::Unknown,
        }
    }

    /// Stops what runs of a merge, with no time to save: what it made of old inputs is worth nothing. Tasks that
    /// `writes` names have begun to write and go on. Returns how many were stopped.
    pub fn stop_stale(&mut self, id: &str, writes: impl Fn(Option<u32>, u64) -> bool) -> usize {
        let Some(j) = self.jobs.get_mut(id) else { return 0 };
        let gang = j.spec.kind == JobKind::Gang;
        let running = |p: &Assignment| !matches!(p.action, DesiredAction::Stop(_));
        let stops: Vec<u32> = j
            .assignments
            .iter()
            .filter(|(t, p)| running(p) && !writes((!gang).then_some(**t), p.attempt))
            .map(|(t, _)| *t)
            .collect();
        if stops.is_empty() {
            return 0;
        }
        if gang {
            self.stop_gang(id, Micros(0));
            return stops.len();
        }
        for t in &stops {
            if let Some(p) = j.assignments.get_mut(t) {
                p.action = DesiredAction::Stop(Micros(0));
                mark_changed(&mut self.changed_starts, &p.machine, id, *t, p.attempt);
            }
        }
        stops.len()
    }

    /// Whether anything of a job is placed, or may be.
    pub fn has_placed(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|j| !j.assignments.is_empty())
    }
}
