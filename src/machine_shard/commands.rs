//! Responses to heartbeats: which commands a machine is given, and whether a response had better wait a little.

use super::*;

/// Most starts in one response, so that no line of it nears 64 KiB.
const STARTS_PER_RESPONSE: usize = 200;
/// Most stops and forgets in one response.
const STOPS_PER_RESPONSE: usize = 500;

impl MachineShard {
    /// The response to a machine's latest heartbeat; None for a machine that is not known. A start in it counts as out
    /// from then on. One that `may_go` holds back stays queued.
    #[must_use]
    pub fn issue_commands(
        &mut self,
        membership: &Membership,
        name: &str,
        may_go: impl Fn(&TaskKey) -> bool,
    ) -> Option<HeartbeatResponse> {
        let machine = self.machines.get_mut(name)?;
        let mut commands: Vec<Command> =
            machine.tasks.iter().filter_map(|(key, task)| task.stop_command(key)).collect();
        commands.truncate(STOPS_PER_RESPONSE);
        if machine.is_ready_for_starts() {
            commands.extend(machine.issue_starts(may_go));
        }
        Some(HeartbeatResponse { token: membership.epoch, commands })
    }

    /// Whether the response to this machine's heartbeat should wait a little: it has free resources, there is nothing to
    /// tell it, and a start that is placed meanwhile goes out at once rather than with the next heartbeat.
    #[must_use]
    pub fn can_hold_response(
        &self,
        now: Micros,
        name: &str,
        capacity: impl Fn(&str) -> Option<Resources>,
        may_go: impl Fn(&TaskKey) -> bool,
    ) -> bool {
        self.machines.get(name).is_some_and(|machine| {
            machine.is_ready_for_starts()
                && machine.is_schedulable(now, self.silence_limit)
                && capacity(&machine.record.kind)
                    .and_then(|total| machine.free(total))
                    .is_some_and(|free| free.cpus > 0 && free.memory > 0)
                && !machine.tasks.iter().any(|(key, task)| task.has_command(|| may_go(key)))
        })
    }
}

impl Machine {
    /// Marks queued starts as out and returns their commands.
    fn issue_starts(&mut self, may_go: impl Fn(&TaskKey) -> bool) -> Vec<Command> {
        let mut starts = Vec::new();
        let last_heartbeat = self.last_heartbeat;
        for (key, task) in &mut self.tasks {
            if starts.len() < STARTS_PER_RESPONSE
                && task.phase == TaskPhase::Queued
                && task.desired == Some(DesiredAction::Run)
                && may_go(key)
            {
                // No change to report: queued and in doubt are the same to jobs' leaders.
                task.phase = TaskPhase::InDoubt;
                task.sent_with = last_heartbeat;
                starts.push(Command::Run(key.clone()));
            }
        }
        starts
    }
}

impl TaskEntry {
    /// The command that ends the task or its listing, if one is due.
    fn stop_command(&self, key: &TaskKey) -> Option<Command> {
        match (self.phase, self.desired) {
            (TaskPhase::Exited(_), Some(DesiredAction::Forget)) => Some(Command::Forget(key.clone())),
            (
                TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Saving,
                Some(DesiredAction::Stop(grace)),
            ) => Some(Command::Kill(key.clone(), grace)),
            _ => None,
        }
    }

    /// Whether there is something to tell the worker of this task, or will be once it lists it.
    fn has_command(&self, may_go: impl FnOnce() -> bool) -> bool {
        match self.desired {
            Some(DesiredAction::Run) => self.phase == TaskPhase::Queued && may_go(),
            Some(DesiredAction::Stop(_)) => self.is_live(),
            Some(DesiredAction::Forget) => !self.is_live(),
            _ => false,
        }
    }
}
