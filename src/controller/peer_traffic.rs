//! Frames from and to peers.

use super::*;
use hazelsaddle_failover::start_replica::Changes;

impl Controller {
    /// The newest epoch that others may take it from us that we know. One that has stepped aside says
    /// so by naming the epoch without it: nobody need wait for its lease to end.
    pub(super) fn known_epoch(&self) -> (u64, Vec<u32>) {
        let aside = self.membership.aside || self.flap_damping.aside();
        if let (true, Some((record, ..))) = (aside, &self.seen)
            && record.epoch > self.membership.epoch
            && !self.membership.is_in(record)
        {
            let number = |m: &(String, u64)| self.settings.members.iter().position(|n| *n == m.0);
            // It may name an earlier process of ours. Guards against processes that are held back and wait for one another,
            // each heard as a member that is there.
            let others = record.members.iter().filter_map(number).filter(|n| *n != self.settings.me);
            return (record.epoch, others.map(|n| n as u32).collect());
        }
        let (epoch, members) = self.membership.stands_by();
        // Who has given way takes no part in that epoch, even if it names an earlier process of ours: to others its word
        // must not count as that of a member who is there.
        let out = |&&m: &&usize| self.membership.gave_way() && m == self.settings.me;
        (epoch, members.iter().filter(|m| !out(m)).map(|&m| m as u32).collect())
    }

    /// Whether it speaks in the name of its epoch: the records are read, and it has neither stepped aside nor given way.
    pub(super) fn takes_part(&self) -> bool {
        let m = &self.membership;
        self.load == Load::Done && m.epoch > 0 && !m.aside && !m.gave_way()
    }

    pub(super) fn envelope(&self, now: Micros, to: usize, body: Message) -> Frame {
        let (echo_boot, echo) = self.clocks.get(to).copied().unwrap_or_default();
        let (epoch, members) = self.known_epoch();
        Frame {
            from: self.settings.me as u32,
            epoch,
            members,
            clock: now,
            boot: self.boot,
            echo,
            echo_boot,
            sequence_seen: self.job_shard.digest_seen(to, self.membership.epoch),
            body,
        }
    }

    pub(super) fn frame(&mut self, now: Micros, f: Frame, out: &mut Vec<Effect>) {
        let from = f.from as usize;
        if from >= self.settings.members.len() {
            tracing::error!(from, "a frame from nobody");
            return;
        }
        // The reading of our clock that the sender had heard; what we say to ourselves needs none.
        let mut echo = now;
        if from != self.settings.me {
            self.clocks[from] = (f.boot, f.clock);
            echo = if f.echo_boot == self.boot && f.echo <= now { f.echo } else { Micros(0) };
            self.membership.heard_from(from, f.epoch, echo);
            self.step_down.echo(from, echo);
            self.membership.spoke(now, from, f.epoch);
            // By a member's word only: those that keep out of the ring would take one another's for it.
            if f.members.contains(&f.from) {
                self.membership.told(now, f.epoch, &f.members);
            }
            if f.epoch > self.membership.epoch {
                self.next_ring = self.next_ring.min(now);
            }
        }
        // Who has given way to a newer epoch takes no part in its own any more.
        let same = f.epoch == self.membership.epoch && f.epoch > 0 && !self.membership.gave_way();
        if same {
            self.acked[from] = self.acked[from].max(f.sequence_seen);
        }
        match f.body {
            Message::State(wishes, digest) if same => {
                let fleet = &self.autoscaler;
                if self.machine_shard.wanted(now, from, &wishes, &self.membership, |k| fleet.resources_of(k))
                {
                    self.machine_shard.said(from, echo, f.sequence_seen);
                }
                self.owe_ack[from] |= self.job_shard.digest(now, &self.membership, from, digest);
                // What we hold of our own machines needs no frame.
                if from == self.settings.me {
                    self.acked[from] = self.job_shard.digest_seen(from, self.membership.epoch);
                }
            }
            Message::Demands(d) if same => self.autoscaler.record_demand(now, from, d),
            Message::Reserve(list) if same && from != self.settings.me => {
                self.job_shard.others_reserve(now, from, list);
            }
            Message::ScalingPlan { drain, gone, kept, kept_machines }
                if same && self.membership.decider() == Some(from) =>
            {
                self.job_shard.keep(kept, kept_machines);
                self.machine_shard.fleet(&drain.into_iter().collect(), &gone);
            }
            Message::MisroutedHeartbeats(list) if same => {
                let (home, m) = (&self.machine_shard, &self.membership);
                let ours = list
                    .into_iter()
                    .filter(|n| m.machine_leader(n) == Some(m.me) && home.is_gone(n) == Some(false));
                self.step_down.stray(now, ours);
            }
            Message::Lending(told) if same && from != self.settings.me => {
                self.job_shard.others_lend(now, from, told)
            }
            Message::InheritedPriorities(list) if same => self.job_shard.urged_by(from, list),
            Message::Handoff { number, batch } if same => self.parcel(now, from, f.boot, number, batch),
            Message::ReplicateStarts { revision, base_revision, added, removed }
                if same && from != self.settings.me =>
            {
                let c = Changes { rev: revision, since: base_revision, added, dropped: removed };
                if let Some(rev) = self.start_replica.heard(from, f.boot, c)
                    && self.reads(from, handoff::FORM)
                {
                    out.push(Effect::Send(from, self.envelope(now, from, Message::StartsReplicated(rev))));
                }
            }
            Message::StartsReplicated(rev) if same => self.noted(now, from, rev),
            // Who leaves the ring hands over in an epoch that it doesn't adopt. An older process of ours had other
            // numbers.
            Message::HandoffAck(numbers) if f.echo_boot == self.boot => {
                self.handoff.acknowledged(from, &numbers);
            }
            Message::ForwardRequest { id, request } => self.user(now, Caller::Peer(from, id), request, out),
            Message::ForwardResponse { id, reply } => {
                if let Some(a) = self.forwarded.remove(&id) {
                    // One that is in a newer epoch than ours can't have started it in this one: that it is new stays worth
                    // saying.
                    if reply.status == 200 && f.epoch <= self.membership.epoch {
                        self.standing_in.remove(a.request.job());
                    }
                    // An owner that has spent its share of the write budget is helped out by one that
                    // has not.
                    if let (503, Some(t), UserRequest::Submit(job, body)) =
                        (reply.status, a.ticket, &a.request)
                        && self.writes.level(now) >= 0.5
                        && self.accept_unseen(now, Caller::Ticket(t), job, body, out)
                    {
                        return;
                    }
                    out.extend(a.ticket.map(|t| Effect::Reply(t, reply)));
                }
            }
            _ => {}
        }
    }

    /// Sends what peers should know: at once when it changed, and every digest period.
    pub(super) fn say(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let period = self.settings.digest;
        let n = self.settings.members.len();
        let mut own = Vec::new();
        if !self.takes_part() {
            for p in (0..n).filter(|&p| p != self.settings.me) {
                if now.since(self.sent[p]) >= period {
                    self.sent[p] = now;
                    out.push(Effect::Send(p, self.envelope(now, p, Message::KeepAlive)));
                }
            }
            return;
        }
        for p in 0..n {
            // Changes are gathered for a moment: a frame costs more than what it says.
            let soon = if p == self.settings.me { period.0 / 25 } else { period.0 / 5 };
            let gap = now.since(self.sent[p]);
            let news = self.machine_shard.seq() > self.sent_seq[p] || self.owe_ack[p];
            if gap < period && (gap.0 < soon || !(news || self.job_shard.has_news(p, &self.membership))) {
                continue;
            }
            self.sent[p] = now;
            self.sent_seq[p] = self.machine_shard.seq();
            self.owe_ack[p] = false;
            let wishes = match self.membership.members.contains(&p) {
                true => self.job_shard.wanted(p, &self.membership),
                false => DesiredState::default(),
            };
            let fleet = &self.autoscaler;
            let digest =
                self.machine_shard.digest(now, &self.membership, p, self.acked[p], |k| fleet.resources_of(k));
            let f = self.envelope(now, p, Message::State(wishes, digest));
            if p == self.settings.me { own.push(f) } else { out.push(Effect::Send(p, f)) }
        }
        for f in own.drain(..) {
            self.frame(now, f, out);
        }
        if now.since(self.sent_demands) >= period {
            self.sent_demands = now;
            self.say_needs(now, out);
            for p in 0..n {
                let list = self.strays[p].report();
                if !list.is_empty() {
                    out.push(Effect::Send(p, self.envelope(now, p, Message::MisroutedHeartbeats(list))));
                }
            }
            for p in (0..n).filter(|&p| p != self.settings.me) {
                let list = self.job_shard.reserved().to_vec();
                out.push(Effect::Send(p, self.envelope(now, p, Message::Reserve(list))));
            }
            if let Some(d) = self.membership.decider() {
                let f = self.envelope(now, d, Message::Demands(self.job_shard.demands()));
                if d == self.settings.me {
                    own.push(f)
                } else {
                    out.push(Effect::Send(d, f))
                }
                if d == self.settings.me && self.autoscaler.can_publish() {
                    for p in 0..n {
                        let drain = self.autoscaler.draining();
                        let kept = self.autoscaler.reserved_classes();
                        let gone = self.autoscaler.removed();
                        let kept_machines = self.autoscaler.reserved_machines();
                        let f =
                            self.envelope(now, p, Message::ScalingPlan { drain, gone, kept, kept_machines });
                        if p == self.settings.me { own.push(f) } else { out.push(Effect::Send(p, f)) }
                    }
                }
            }
        }
        for f in own {
            self.frame(now, f, out);
        }
    }
}

#[cfg(test)]
mod tests;
