//! Responses to heartbeats: which commands a machine's worker receives, and whether a response is held back for a
//! while.

use super::*;

/// Maximum number of starts in one response, so that no line of it comes near 64 KiB.
const MAX_STARTS_PER_RESPONSE: usize = 200;
/// Maximum number of kill and forget commands in one response.
const MAX_STOPS_PER_RESPONSE: usize = 500;

impl MachineShard {
    /// Returns the response to a machine's latest heartbeat; None for an unknown machine. The starts in it count as
    /// sent from then on. A start for which `can_start` is false stays queued.
    #[must_use]
    pub fn issue_commands(
        &mut self,
        membership: &Membership,
        name: &str,
        can_start: impl Fn(&TaskKey) -> bool,
    ) -> Option<HeartbeatResponse> {
        let machine = self.machines.get_mut(name)?;
        let mut commands: Vec<Command> =
            machine.tasks.iter().filter_map(|(key, task)| task.stop_command(key)).collect();
        commands.truncate(MAX_STOPS_PER_RESPONSE);
        if machine.is_ready_for_starts() {
            commands.extend(machine.issue_starts(can_start));
        }
        Some(HeartbeatResponse { token: membership.epoch, commands })
    }

    /// Whether the response to this machine's heartbeat can be held back for a while: the machine has free resources
    /// and there are no commands for it, and a start that is placed meanwhile can be sent at once instead of with the
    /// response to the next heartbeat.
    #[must_use]
    pub fn can_hold_response(
        &self,
        now: Micros,
        name: &str,
        capacity: impl Fn(&str) -> Option<Resources>,
        can_start: impl Fn(&TaskKey) -> bool,
    ) -> bool {
        self.machines.get(name).is_some_and(|machine| {
            machine.is_ready_for_starts()
                && machine.is_schedulable(now, self.silence_limit)
                && capacity(&machine.record.kind)
                    .and_then(|total| machine.free(total))
                    .is_some_and(|free| free.cpus > 0 && free.memory > 0)
                && !machine.tasks.iter().any(|(key, task)| task.has_command(|| can_start(key)))
        })
    }
}

impl Machine {
    /// Marks queued starts as sent and returns their commands.
    fn issue_starts(&mut self, can_start: impl Fn(&TaskKey) -> bool) -> Vec<Command> {
        let mut starts = Vec::new();
        let last_heartbeat = self.last_heartbeat;
        for (key, task) in &mut self.tasks {
            if starts.len() < MAX_STARTS_PER_RESPONSE
                && task.phase == TaskPhase::Queued
                && task.desired == Some(DesiredAction::Run)
                && can_start(key)
            {
                // Not a change to report: queued and in doubt mean the same to job leaders.
                task.phase = TaskPhase::InDoubt;
                task.sent_with = last_heartbeat;
                starts.push(Command::Run(key.clone()));
            }
        }
        starts
    }
}

impl TaskEntry {
    /// Returns the command that stops the task, or that removes it from the worker's list, if one is due.
    fn stop_command(&self, key: &TaskKey) -> Option<Command> {
        match (self.phase, self.desired) {
            (TaskPhase::Exited(_), Some(DesiredAction::Forget)) => Some(Command::Forget(key.clone())),
            (phase, Some(DesiredAction::Stop(grace))) if phase.is_live_on_worker() => {
                Some(Command::Kill(key.clone(), grace))
            }
            // Its job leader has seen it end: it runs again, for example because a start command was repeated after the
            // worker had forgotten it.
            (phase, Some(DesiredAction::Forget)) if phase.is_live_on_worker() => {
                Some(Command::Kill(key.clone(), Micros(0)))
            }
            _ => None,
        }
    }

    /// Whether there is a command for the worker about this task, or will be once the worker lists the task.
    fn has_command(&self, can_start: impl FnOnce() -> bool) -> bool {
        match self.desired {
            Some(DesiredAction::Run) => self.phase == TaskPhase::Queued && can_start(),
            Some(DesiredAction::Stop(_)) => self.is_live(),
            Some(DesiredAction::Forget) => true,
            _ => false,
        }
    }
}
