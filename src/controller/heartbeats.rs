//! Machines' heartbeats, and the answers that wait a little for something to say.
//!
//! [`HeldHeartbeats`] owns the heartbeats that are held. A machine gets commands, and has its lease renewed, from its leader
//! alone, and only while the leaders of its tasks' jobs are in reach.

use super::*;
use crate::peer::TaskKey;
use crate::wire::workers;

/// Heartbeats whose answer waits for something to say.
#[derive(Default)]
pub(super) struct HeldHeartbeats {
    /// The ticket of the answer, by machine.
    tickets: BTreeMap<String, u64>,
    /// The order in which they came.
    order: VecDeque<HeldHeartbeat>,
    /// Machines whose heartbeat is held because a leader of their tasks' jobs is out of reach.
    owner_unreachable: BTreeSet<String>,
}

struct HeldHeartbeat {
    came_at: Micros,
    machine: String,
    ticket: u64,
}

impl HeldHeartbeats {
    fn hold(&mut self, now: Micros, machine: &str, ticket: u64) {
        self.order.push_back(HeldHeartbeat { came_at: now, machine: machine.to_owned(), ticket });
        self.tickets.insert(machine.to_owned(), ticket);
    }

    /// Takes out machines whose heartbeat has been held for as long as it may be.
    fn take_expired(&mut self, now: Micros, longest: Micros) -> Vec<String> {
        let mut expired = Vec::new();
        while let Some(HeldHeartbeat { came_at, machine, ticket }) = self.order.front() {
            let answered = self.tickets.get(machine) != Some(ticket);
            if !answered && now.since(*came_at) < longest {
                break;
            }
            if !answered {
                expired.push(machine.clone());
            }
            self.order.pop_front();
        }
        expired
    }
}

impl Controller {
    /// A machine's heartbeat: answers it, or holds it.
    pub(super) fn take_heartbeat(
        &mut self,
        now: Micros,
        ticket: u64,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        if let Some(reply) = self.answer_or_hold(now, ticket, heartbeat, out) {
            out.push(Effect::Reply { ticket, reply });
        }
    }

    fn answer_or_hold(
        &mut self,
        now: Micros,
        ticket: u64,
        heartbeat: &Heartbeat,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        self.step_down.record_heartbeat(now, &heartbeat.machine);
        if let Some(reply) = self.refuse_unless_machine_leader(now, &heartbeat.machine) {
            self.note_misrouted_heartbeat(heartbeat);
            return Some(reply);
        }
        match self.machine_shard.apply_heartbeat(now, &self.membership, heartbeat) {
            HeartbeatOutcome::Accepted => {
                // The machine has given up on an older heartbeat, or it would not have sent this one.
                if let Some(ticket) = self.held_heartbeats.tickets.remove(&heartbeat.machine) {
                    out.push(Effect::Reply { ticket, reply: Reply::retry_later("out of date") });
                }
                // Out of a job leader's reach it waits too: right after a failover the leader speaks in a moment.
                if !self.machine_shard.can_renew_lease(now, &heartbeat.machine) {
                    self.held_heartbeats.owner_unreachable.insert(heartbeat.machine.clone());
                } else if !self.may_hold(now, &heartbeat.machine) {
                    return Some(self.command(&heartbeat.machine));
                }
                self.held_heartbeats.hold(now, &heartbeat.machine, ticket);
                None
            }
            HeartbeatOutcome::Stale => Some(Reply::retry_later("out of date")),
            HeartbeatOutcome::Fenced => {
                // Somebody has raised the epoch; find out.
                self.membership_loop.step_at_once(now);
                Some(Reply::retry_later("a newer epoch is known"))
            }
        }
    }

    /// A machine that has had its leader's answers and comes here doesn't get them any more. Its
    /// leader is told, since it may hear no machine at all and not know that they live.
    fn note_misrouted_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let leader = self.membership.machine_leader(&heartbeat.machine);
        let leader = leader.filter(|&leader| leader != self.settings.me);
        if let Some(link) = leader.and_then(|leader| self.peer_traffic.links.get_mut(leader)) {
            let was_answered = heartbeat.token == self.membership.epoch;
            link.misrouted.record(&heartbeat.machine, heartbeat.id(), was_answered);
        }
    }

    /// Whether there is nothing yet to tell a machine.
    fn may_hold(&self, now: Micros, machine: &str) -> bool {
        let room = |kind: &str| self.autoscaler.resources_of(kind);
        self.machine_shard.can_hold_response(now, machine, room, |task| self.may_start(machine, task))
    }

    fn may_start(&self, machine: &str, task: &TaskKey) -> bool {
        self.start_replica.may_start(&self.membership, &self.job_shard, task, machine)
    }

    /// The answer to a machine's heartbeat if this controller may not command it.
    fn refuse_unless_machine_leader(&self, now: Micros, machine: &str) -> Option<Reply> {
        match self.membership.machine_forward_target(machine) {
            Some(leader) if leader == self.settings.me => {
                let ours =
                    self.membership.machine_leader(machine) == Some(leader) && self.membership.is_leader(now);
                (!ours).then(|| Reply::retry_later("not entitled to act"))
            }
            Some(leader) => Some(Reply::json(421, &workers::redirect_body(self.membership.name(leader)))),
            None => Some(Reply::retry_later("no home")),
        }
    }

    /// The answer to a heartbeat that has been held, by what holds now.
    fn answer_held(&mut self, now: Micros, machine: &str) -> Reply {
        if let Some(reply) = self.refuse_unless_machine_leader(now, machine) {
            return reply;
        }
        // A 200 keeps its lease alive, and with it tasks of which the leader may have said that they are cancelled.
        match self.machine_shard.can_renew_lease(now, machine) {
            true => self.command(machine),
            false => Reply::retry_later("the owner of one of its tasks is out of reach"),
        }
    }

    /// The commands for a machine.
    fn command(&mut self, machine: &str) -> Reply {
        let (replica, membership, jobs) = (&self.start_replica, &self.membership, &self.job_shard);
        let may_start = |task: &TaskKey| replica.may_start(membership, jobs, task, machine);
        match self.machine_shard.issue_commands(membership, machine, may_start) {
            Some(commands) => {
                let body = serde_json::to_string(&commands).unwrap_or_default();
                Reply { status: 200, body, retry_after: None }
            }
            None => Reply::retry_later("no such machine"),
        }
    }

    /// Answers heartbeats that were held, once there is something to say or their time is up.
    /// Looks only at machines that changed and at those held longest.
    pub(super) fn answer_due_heartbeats(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let longest = Micros(self.settings.report.0 * 2 / 5);
        let mut due = self.held_heartbeats.take_expired(now, longest);
        for machine in self.machine_shard.take_rechecks() {
            if self.held_heartbeats.tickets.contains_key(&machine)
                && self.machine_shard.can_renew_lease(now, &machine)
                && !self.may_hold(now, &machine)
            {
                due.push(machine);
            }
        }
        if self.machine_shard.take_job_leader_message_flag() {
            let machines = &self.machine_shard;
            let waiting = &mut self.held_heartbeats.owner_unreachable;
            due.extend(waiting.extract_if(.., |machine| machines.can_renew_lease(now, machine)));
        }
        for machine in due {
            let Some(ticket) = self.held_heartbeats.tickets.remove(&machine) else { continue };
            self.held_heartbeats.owner_unreachable.remove(&machine);
            let reply = self.answer_held(now, &machine);
            out.push(Effect::Reply { ticket, reply });
        }
    }

    /// The ring or the leadership has changed: whoever waits is answered by what holds now.
    pub(super) fn release_held_heartbeats(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.held_heartbeats.order.clear();
        self.held_heartbeats.owner_unreachable.clear();
        for (machine, ticket) in std::mem::take(&mut self.held_heartbeats.tickets) {
            let reply = self.answer_held(now, &machine);
            out.push(Effect::Reply { ticket, reply });
        }
    }
}
