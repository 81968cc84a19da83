//! Gangs: all members of an attempt begin together, and end together.

use super::*;

/// A gang's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gang {
    /// Members are being accepted.
    Holding(Micros),
    /// All were accepted and may start.
    Going,
    /// The attempt is over; its members are being stopped.
    Ending,
}

impl JobShard {
    /// A gang's attempt is over: its other members are stopped, and the next attempt waits until
    /// they are gone.
    pub(super) fn end_gang(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        if j.done.len() == j.spec.tasks {
            return;
        }
        self.stop_gang(id, Micros(0));
    }

    pub(super) fn stop_gang(&mut self, id: &str, grace: Micros) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.gang = if j.assignments.is_empty() { None } else { Some(Gang::Ending) };
        for (&idx, p) in &mut j.assignments {
            // One that is saving already keeps its time.
            if !matches!(p.action, DesiredAction::Stop(_)) {
                p.action = DesiredAction::Stop(grace);
                mark_changed(&mut self.changed_starts, &p.machine, id, idx, p.attempt);
            }
        }
    }

    pub(super) fn move_gangs(&mut self, now: Micros) {
        let mut end = Vec::new();
        for (id, j) in &mut self.jobs {
            match j.gang {
                Some(Gang::Holding(since)) => {
                    let held = j.assignments.values().filter(|p| p.phase == Some(TaskPhase::Held)).count();
                    if held == j.spec.tasks as usize {
                        j.gang = Some(Gang::Going);
                        for (&idx, p) in &mut j.assignments {
                            p.action = DesiredAction::Run;
                            mark_changed(&mut self.changed_starts, &p.machine, id, idx, p.attempt);
                        }
                    } else if now.since(since) > Micros::from_millis(4000) {
                        end.push((id.clone(), true));
                    }
                }
                Some(Gang::Going) => {
                    // A member that never gets as far as waiting holds up the rest; theirs run
                    // out by themselves after a while, ours is to notice the odd one.
                    let short = j.assignments.len() < j.spec.tasks as usize;
                    let stuck = j.assignments.values().any(|p| {
                        matches!(p.phase, Some(TaskPhase::Queued | TaskPhase::InDoubt) | None)
                            && now.since(p.phase_since) > self.gang_wait
                    });
                    if short || stuck {
                        end.push((id.clone(), false));
                    }
                }
                Some(Gang::Ending) if j.assignments.is_empty() => j.gang = None,
                _ => {}
            }
        }
        for (id, held) in end {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            if !held {
                // A gang taken over is complete only when every machine has been heard.
                if !j.settled() {
                    continue;
                }
                self.end_gang(&id);
                continue;
            }
            // Nothing of it was started: what is no longer asked for is dropped by the homes.
            j.gang = None;
            j.not_before = now + Micros::from_millis(300);
            let dropped = std::mem::take(&mut j.assignments);
            for (idx, p) in dropped {
                self.unindex(&p.machine, &id, idx);
                mark_changed(&mut self.changed_starts, &p.machine, &id, idx, p.attempt);
            }
        }
    }
}
