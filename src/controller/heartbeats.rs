//! Workers' reports and the answers that wait a little.

use super::*;
use crate::peer::TaskKey;

impl Controller {
    pub(super) fn report(
        &mut self,
        now: Micros,
        ticket: u64,
        r: &Heartbeat,
        out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        self.step_down.worker(now, &r.machine);
        if let Some(reply) = self.not_home(now, &r.machine) {
            // A worker that has had its home's answers and comes here doesn't get them any more. Its
            // home is told, since it may hear no worker at all and not know that they live.
            let home = self.membership.machine_leader(&r.machine).filter(|&h| h != self.settings.me);
            if let Some(strays) = home.and_then(|h| self.strays.get_mut(h)) {
                strays.visit(&r.machine, (r.session, r.seq), r.token == self.membership.epoch);
            }
            return Some(reply);
        }
        match self.machine_shard.report(now, &self.membership, r) {
            Verdict::Taken => {
                // The worker has given up on an older report, or it would not have sent this one.
                if let Some(old) = self.held.remove(&r.machine) {
                    out.push(Effect::Reply(old, Reply::later("out of date")));
                }
                let (fleet, w, m, o) =
                    (&self.autoscaler, &self.start_replica, &self.membership, &self.job_shard);
                // Out of an owner's reach it waits too: right after a takeover the owner speaks in a moment.
                if !self.machine_shard.in_reach(now, &r.machine) {
                    self.unreached.insert(r.machine.clone());
                } else if !self.machine_shard.may_wait(
                    now,
                    &r.machine,
                    |k| fleet.resources_of(k),
                    |k| w.may_go(m, o, k, &r.machine),
                ) {
                    return Some(self.orders(&r.machine));
                }
                self.held_order.push_back((now, r.machine.clone(), ticket));
                self.held.insert(r.machine.clone(), ticket);
                None
            }
            Verdict::Stale => Some(Reply::later("out of date")),
            Verdict::Deposed => {
                // Somebody has raised the epoch; find out.
                self.next_ring = now;
                Some(Reply::later("a newer epoch is known"))
            }
        }
    }

    /// The answer to a machine's report if this controller may not command it.
    pub(super) fn not_home(&self, now: Micros, machine: &str) -> Option<Reply> {
        match self.membership.pass_machine_to(machine) {
            Some(h) if h == self.settings.me => {
                let ours =
                    self.membership.machine_leader(machine) == Some(h) && self.membership.is_leader(now);
                (!ours).then(|| Reply::later("not entitled to act"))
            }
            Some(h) => Some(Reply::json(421, &json!({"rider": self.membership.name(h)}))),
            None => Some(Reply::later("no home")),
        }
    }

    /// The answer to a report that has waited, by what holds now.
    fn answer(&mut self, now: Micros, machine: &str) -> Reply {
        if let Some(reply) = self.not_home(now, machine) {
            return reply;
        }
        // A 200 keeps its lease alive, and with it tasks of which the owner may have said that they are cancelled.
        match self.machine_shard.in_reach(now, machine) {
            true => self.orders(machine),
            false => Reply::later("the owner of one of its tasks is out of reach"),
        }
    }

    pub(super) fn orders(&mut self, machine: &str) -> Reply {
        let (w, m, o) = (&self.start_replica, &self.membership, &self.job_shard);
        match self.machine_shard.orders(m, machine, |k| w.may_go(m, o, k, machine)) {
            Some(o) => {
                Reply { status: 200, body: serde_json::to_string(&o).unwrap_or_default(), retry_after: None }
            }
            None => Reply::later("no such machine"),
        }
    }

    /// Answers reports that were held back, once there is something to say or their time is up.
    /// Looks only at machines that changed and at those held longest.
    pub(super) fn held_reports(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let longest = Micros(self.settings.report.0 * 2 / 5);
        let mut due: Vec<String> = Vec::new();
        while let Some((since, name, ticket)) = self.held_order.front() {
            let answered = self.held.get(name) != Some(ticket);
            if !answered && now.since(*since) < longest {
                break;
            }
            if !answered {
                due.push(name.clone());
            }
            self.held_order.pop_front();
        }
        let (fleet, w, m, o) = (&self.autoscaler, &self.start_replica, &self.membership, &self.job_shard);
        for name in self.machine_shard.fresh() {
            let go = |k: &TaskKey| w.may_go(m, o, k, &name);
            if self.held.contains_key(&name)
                && self.machine_shard.in_reach(now, &name)
                && !self.machine_shard.may_wait(now, &name, |k| fleet.resources_of(k), go)
            {
                due.push(name);
            }
        }
        if self.machine_shard.heard_owners() {
            let home = &self.machine_shard;
            let reached = self.unreached.extract_if(.., |name| home.in_reach(now, name));
            due.extend(reached);
        }
        for name in due {
            let Some(ticket) = self.held.remove(&name) else { continue };
            self.unreached.remove(&name);
            let reply = self.answer(now, &name);
            out.push(Effect::Reply(ticket, reply));
        }
    }

    /// The ring or the right to act has changed: whoever waits is answered by what holds now.
    pub(super) fn release_held(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.held_order.clear();
        self.unreached.clear();
        for (name, ticket) in std::mem::take(&mut self.held) {
            let reply = self.answer(now, &name);
            out.push(Effect::Reply(ticket, reply));
        }
    }
}
