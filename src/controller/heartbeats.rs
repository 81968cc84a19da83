//! Machines' heartbeats, and the responses that are held until there are commands to send.
//!
//! [`HeldHeartbeats`] owns the held heartbeats. A machine receives commands and lease renewals from its
//! leader alone, and only while that leader is in contact with the leaders of the jobs whose tasks the
//! machine runs.

use super::*;
use crate::peer::TaskKey;
use crate::wire::workers;

/// Heartbeats whose response is held.
#[derive(Default)]
pub(super) struct HeldHeartbeats {
    /// The ticket of the held heartbeat, by machine.
    tickets: BTreeMap<String, u64>,
    /// The held heartbeats in the order of arrival.
    order: VecDeque<HeldHeartbeat>,
    /// Machines whose heartbeat is held because the leader of one of their tasks' jobs is out of contact.
    job_leader_unreachable: BTreeSet<String>,
}

struct HeldHeartbeat {
    arrived_at: Micros,
    machine: String,
    ticket: u64,
}

impl HeldHeartbeats {
    fn hold(&mut self, now: Micros, machine: &str, ticket: u64) {
        self.order.push_back(HeldHeartbeat { arrived_at: now, machine: machine.to_owned(), ticket });
        self.tickets.insert(machine.to_owned(), ticket);
    }

    /// Removes and returns the machines whose heartbeat has been held for the maximum time.
    fn take_expired(&mut self, now: Micros, longest: Micros) -> Vec<String> {
        let mut expired = Vec::new();
        while let Some(HeldHeartbeat { arrived_at, machine, ticket }) = self.order.front() {
            let answered = self.tickets.get(machine) != Some(ticket);
            if !answered && now.since(*arrived_at) < longest {
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
    /// Answers a machine's heartbeat or holds it.
    pub(super) fn handle_heartbeat(
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
                // The machine has given up on its previous heartbeat, or it would not have sent this one.
                if let Some(ticket) = self.held_heartbeats.tickets.remove(&heartbeat.machine) {
                    out.push(Effect::Reply { ticket, reply: Reply::retry_later("out of date") });
                }
                // The heartbeat is also held while a job's leader is out of contact: right after a failover
                // its first message arrives soon.
                if !self.machine_shard.can_renew_lease(now, &heartbeat.machine) {
                    self.held_heartbeats.job_leader_unreachable.insert(heartbeat.machine.clone());
                } else if !self.can_hold(now, &heartbeat.machine) {
                    return Some(self.command(&heartbeat.machine));
                }
                self.held_heartbeats.hold(now, &heartbeat.machine, ticket);
                None
            }
            HeartbeatOutcome::Stale => Some(Reply::retry_later("out of date")),
            HeartbeatOutcome::Fenced => {
                // Another controller has raised the epoch: read the record now.
                self.membership_loop.step_at_once(now);
                Some(Reply::retry_later("a newer epoch is known"))
            }
        }
    }

    /// Records the heartbeat of a machine that another controller leads. The leader is notified of machines
    /// whose heartbeats it has answered before: it may be unreachable for all machines and not notice that
    /// they are alive.
    fn note_misrouted_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let leader = self.membership.machine_leader(&heartbeat.machine);
        let leader = leader.filter(|&leader| leader != self.settings.me);
        if let Some(link) = leader.and_then(|leader| self.peer_traffic.links.get_mut(leader)) {
            let was_answered = heartbeat.token == self.membership.epoch;
            link.misrouted.record(&heartbeat.machine, heartbeat.id(), was_answered);
        }
    }

    /// Whether there is nothing to send to a machine yet.
    fn can_hold(&self, now: Micros, machine: &str) -> bool {
        let capacity_of = |kind: &str| self.autoscaler.resources_of(kind);
        self.machine_shard.can_hold_response(now, machine, capacity_of, |task| self.can_start(machine, task))
    }

    fn can_start(&self, machine: &str, task: &TaskKey) -> bool {
        self.start_replica.can_start(&self.membership, &self.job_shard, task, machine)
    }

    /// The answer to a machine's heartbeat if this controller is not entitled to command the machine.
    fn refuse_unless_machine_leader(&self, now: Micros, machine: &str) -> Option<Reply> {
        match self.membership.machine_forward_target(machine) {
            Some(leader) if leader == self.settings.me => {
                let is_leader =
                    self.membership.machine_leader(machine) == Some(leader) && self.membership.is_leader(now);
                (!is_leader).then(|| Reply::retry_later("not entitled to act"))
            }
            Some(leader) => Some(Reply::json(421, &workers::redirect_body(self.membership.name(leader)))),
            None => Some(Reply::retry_later("no home")),
        }
    }

    /// The answer to a held heartbeat, by the current state.
    fn answer_held(&mut self, now: Micros, machine: &str) -> Reply {
        if let Some(reply) = self.refuse_unless_machine_leader(now, machine) {
            return reply;
        }
        // Status 200 renews the machine's lease and keeps its tasks alive. The unreachable leader may already
        // have reported some of them as cancelled.
        match self.machine_shard.can_renew_lease(now, machine) {
            true => self.command(machine),
            false => Reply::retry_later("the owner of one of its tasks is out of reach"),
        }
    }

    /// The commands for a machine.
    fn command(&mut self, machine: &str) -> Reply {
        let (replica, membership, jobs) = (&self.start_replica, &self.membership, &self.job_shard);
        let can_start = |task: &TaskKey| replica.can_start(membership, jobs, task, machine);
        match self.machine_shard.issue_commands(membership, machine, can_start) {
            Some(commands) => {
                let body = serde_json::to_string(&commands).unwrap_or_default();
                Reply { status: 200, body, retry_after: None }
            }
            None => Reply::retry_later("no such machine"),
        }
    }

    /// Answers held heartbeats when there are commands to send or the maximum time has passed. Checks only
    /// machines that changed and those held longest.
    pub(super) fn answer_due_heartbeats(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let longest = Micros(self.settings.report.0 * 2 / 5);
        let mut due = self.held_heartbeats.take_expired(now, longest);
        for machine in self.machine_shard.take_rechecks() {
            if self.held_heartbeats.tickets.contains_key(&machine)
                && self.machine_shard.can_renew_lease(now, &machine)
                && !self.can_hold(now, &machine)
            {
                due.push(machine);
            }
        }
        if self.machine_shard.take_job_leader_message_flag() {
            let machines = &self.machine_shard;
            let waiting = &mut self.held_heartbeats.job_leader_unreachable;
            due.extend(waiting.extract_if(.., |machine| machines.can_renew_lease(now, machine)));
        }
        for machine in due {
            let Some(ticket) = self.held_heartbeats.tickets.remove(&machine) else { continue };
            self.held_heartbeats.job_leader_unreachable.remove(&machine);
            let reply = self.answer_held(now, &machine);
            out.push(Effect::Reply { ticket, reply });
        }
    }

    /// Answers all held heartbeats by the current state, after a change of the ring or of leadership.
    pub(super) fn release_held_heartbeats(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.held_heartbeats.order.clear();
        self.held_heartbeats.job_leader_unreachable.clear();
        for (machine, ticket) in std::mem::take(&mut self.held_heartbeats.tickets) {
            let reply = self.answer_held(now, &machine);
            out.push(Effect::Reply { ticket, reply });
        }
    }
}
