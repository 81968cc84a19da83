//! Frames from and to other controllers.
//!
//! [`PeerTraffic`] owns what each was sent and has acknowledged. What a frame says counts in its own epoch alone, and none
//! is sent under an epoch that this controller does not speak for.

use super::membership::EpochReading;
use super::*;
use hazelsaddle_failover::start_replication::ReplicationDelta;

/// A reading of a process' clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockReading {
    pub(super) boot: u64,
    pub(super) clock: Micros,
}

/// What has passed between this controller and another one, or itself.
#[derive(Default)]
pub(super) struct PeerLink {
    /// The latest reading of its clock that was heard.
    pub(super) heard: ClockReading,
    /// When it was last sent our state.
    state_sent_at: Micros,
    /// The revision of our machines' state that it was last sent.
    revision_sent: u64,
    /// The revision of our machines' state that it says it holds.
    pub(super) revision_acked: u64,
    /// Whether it waits to hear which revision of its machines' state we hold.
    owes_ack: bool,
    /// Heartbeats of its machines that came here.
    pub(super) misrouted: MisroutedHeartbeats,
}

/// What is said to other controllers, and when.
pub(super) struct PeerTraffic {
    /// By controller.
    pub(super) links: Vec<PeerLink>,
    demands_sent_at: Micros,
}

impl PeerTraffic {
    pub(super) fn new(controllers: usize) -> PeerTraffic {
        let links = (0..controllers).map(|_| PeerLink::default()).collect();
        PeerTraffic { links, demands_sent_at: Micros(0) }
    }

    /// A new epoch: heartbeats that came here in the last one say nothing of it.
    pub(super) fn forget_misrouted(&mut self) {
        self.links.iter_mut().for_each(|link| link.misrouted = MisroutedHeartbeats::default());
    }

    /// A new epoch: everybody is sent everything again.
    pub(super) fn forget_revisions(&mut self) {
        for link in &mut self.links {
            (link.revision_acked, link.revision_sent) = (0, 0);
        }
    }
}

/// Who has sent a frame, and when.
struct Sender {
    from: usize,
    boot: u64,
    /// The reading of our clock that it had heard.
    echo: Micros,
    /// The revision of our machines' state that it holds.
    revision_seen: u64,
    is_self: bool,
}

impl Controller {
    /// The newest epoch that others may take it from us that we know. One that has stepped down says
    /// so by naming the epoch without it: nobody need wait for its lease to end.
    pub(super) fn known_epoch(&self) -> (u64, Vec<u32>) {
        let out_of_ring = self.membership.has_stepped_down || self.flap_damping.is_out_of_ring();
        if let (true, Some(EpochReading { record, .. })) = (out_of_ring, &self.membership_loop.newest_record)
            && record.epoch > self.membership.epoch
            && !self.membership.is_member_of(record)
        {
            let number = |member: &(String, u64)| self.settings.members.iter().position(|n| *n == member.0);
            // It may name an earlier process of ours. Guards against processes that are held back and wait for one another,
            // each heard as a member that is there.
            let others = record.members.iter().filter_map(number).filter(|n| *n != self.settings.me);
            return (record.epoch, others.map(|n| n as u32).collect());
        }
        let (epoch, members) = self.membership.acknowledged_epoch();
        // Who has given way takes no part in that epoch, even if it names an earlier process of ours: to others its word
        // must not count as that of a member who is there.
        let is_out = |member: usize| self.membership.has_yielded() && member == self.settings.me;
        (epoch, members.iter().filter(|m| !is_out(**m)).map(|&m| m as u32).collect())
    }

    /// Whether it speaks in the name of its epoch: the records are read, and it has neither stepped down nor given way.
    pub(super) fn speaks_for_epoch(&self) -> bool {
        let membership = &self.membership;
        self.record_loading.is_done()
            && membership.epoch > 0
            && !membership.has_stepped_down
            && !membership.has_yielded()
    }

    pub(super) fn envelope(&self, now: Micros, to: usize, body: Message) -> Frame {
        let heard = self.peer_traffic.links.get(to).map(|link| link.heard).unwrap_or_default();
        let (epoch, members) = self.known_epoch();
        Frame {
            from: self.settings.me as u32,
            epoch,
            members,
            clock: now,
            boot: self.boot,
            echo: heard.clock,
            echo_boot: heard.boot,
            sequence_seen: self.job_shard.applied_status_sequence(to, self.membership.epoch),
            body,
        }
    }

    /// Sends a message to another controller.
    pub(super) fn send(&self, now: Micros, to: usize, body: Message, out: &mut Vec<Effect>) {
        out.push(Effect::Send { to, frame: self.envelope(now, to, body) });
    }

    /// The same, or keeps it in `own` if it is for this controller.
    fn send_or_keep(
        &self,
        now: Micros,
        to: usize,
        body: Message,
        own: &mut Vec<Frame>,
        out: &mut Vec<Effect>,
    ) {
        let frame = self.envelope(now, to, body);
        if to == self.settings.me { own.push(frame) } else { out.push(Effect::Send { to, frame }) }
    }

    /// Takes a frame of another controller, or of this one.
    pub(super) fn take_frame(&mut self, now: Micros, frame: Frame, out: &mut Vec<Effect>) {
        let from = frame.from as usize;
        if from >= self.settings.members.len() {
            tracing::error!(from, "frame from an unknown controller");
            return;
        }
        let is_self = from == self.settings.me;
        // What we say to ourselves needs no echo.
        let echo = if is_self { now } else { self.note_sender(now, from, &frame) };
        // Who has given way to a newer epoch takes no part in its own any more.
        let is_same_epoch =
            frame.epoch == self.membership.epoch && frame.epoch > 0 && !self.membership.has_yielded();
        if is_same_epoch {
            let acked = &mut self.peer_traffic.links[from].revision_acked;
            *acked = (*acked).max(frame.sequence_seen);
        }
        match frame.body {
            // Who leaves the ring hands over in an epoch that it doesn't adopt. An older process of ours had other
            // numbers.
            Message::HandoffAck(numbers) if frame.echo_boot == self.boot => {
                self.handoff.apply_acknowledgements(from, &numbers)
            }
            Message::ForwardRequest { id, request } => {
                self.take_user_request(now, Caller::Peer { peer: from, request: id }, request, out)
            }
            Message::ForwardResponse { id, reply } => {
                self.apply_forward_response(now, frame.epoch, id, reply, out)
            }
            message if is_same_epoch => {
                let revision_seen = frame.sequence_seen;
                let sender = Sender { from, boot: frame.boot, echo, revision_seen, is_self };
                self.take_epoch_message(now, &sender, message, out);
            }
            _ => {}
        }
    }

    /// Notes what the head of another controller's frame says; returns the reading of our clock that it had heard.
    fn note_sender(&mut self, now: Micros, from: usize, frame: &Frame) -> Micros {
        self.peer_traffic.links[from].heard = ClockReading { boot: frame.boot, clock: frame.clock };
        let is_ours = frame.echo_boot == self.boot && frame.echo <= now;
        let echo = if is_ours { frame.echo } else { Micros(0) };
        self.membership.record_confirmation(from, frame.epoch, echo);
        self.step_down.record_echo(from, echo);
        self.membership.record_named_epoch(now, from, frame.epoch);
        // By a member's word only: those that keep out of the ring would take one another's for it.
        if frame.members.contains(&frame.from) {
            self.membership.record_announcement(now, frame.epoch, &frame.members);
        }
        if frame.epoch > self.membership.epoch {
            self.membership_loop.step_at_once(now);
        }
        echo
    }

    /// Takes a message that counts in our epoch.
    fn take_epoch_message(&mut self, now: Micros, sender: &Sender, message: Message, out: &mut Vec<Effect>) {
        let from = sender.from;
        match message {
            Message::State(desired, delta) => self.apply_peer_state(now, sender, &desired, delta),
            Message::Demands(demands) => self.autoscaler.record_demand(now, from, demands),
            Message::Reserve(list) if !sender.is_self => {
                self.job_shard.apply_peer_reservations(now, from, list)
            }
            Message::ScalingPlan {
                draining: drain,
                removed: gone,
                reserved_classes: kept,
                reserved_machines: kept_machines,
            } if self.membership.autoscaler() == Some(from) => {
                self.job_shard.apply_autoscaler_reservations(kept, kept_machines);
                self.machine_shard.apply_scaling_plan(&drain.into_iter().collect(), &gone);
            }
            Message::MisroutedHeartbeats(machines) => self.note_misrouted(now, machines),
            Message::Lending(told) if !sender.is_self => self.job_shard.apply_peer_lending(now, from, told),
            Message::InheritedPriorities(list) => self.job_shard.apply_inherited_priorities(from, list),
            Message::Handoff { number, batch } => self.take_batch(now, from, sender.boot, number, batch),
            Message::ReplicateStarts { revision, base_revision, added, removed: dropped }
                if !sender.is_self =>
            {
                self.replicate_starts(
                    now,
                    sender,
                    ReplicationDelta { revision, base_revision, added, dropped },
                    out,
                );
            }
            Message::ReplicationAck(revision) => self.apply_replicated(now, from, revision),
            _ => {}
        }
    }

    fn apply_peer_state(
        &mut self,
        now: Micros,
        sender: &Sender,
        desired: &DesiredState,
        delta: MachineStatusDelta,
    ) {
        let from = sender.from;
        let autoscaler = &self.autoscaler;
        let room = |kind: &str| autoscaler.resources_of(kind);
        if self.machine_shard.apply_desired_state(now, from, desired, &self.membership, room) {
            self.machine_shard.record_job_leader_message(from, sender.echo, sender.revision_seen);
        }
        let owes_ack = self.job_shard.apply_machine_status(now, &self.membership, from, delta);
        self.peer_traffic.links[from].owes_ack |= owes_ack;
        // What we hold of our own machines needs no frame.
        if sender.is_self {
            let held = self.job_shard.applied_status_sequence(from, self.membership.epoch);
            self.peer_traffic.links[from].revision_acked = held;
        }
    }

    /// Another controller has heartbeats of machines that we lead: we may hear no machine at all.
    fn note_misrouted(&mut self, now: Micros, machines: Vec<String>) {
        let (shard, membership) = (&self.machine_shard, &self.membership);
        let ours = machines.into_iter().filter(|name| {
            membership.machine_leader(name) == Some(membership.me) && shard.is_gone(name) == Some(false)
        });
        self.step_down.record_misrouted(now, ours);
    }

    fn replicate_starts(
        &mut self,
        now: Micros,
        sender: &Sender,
        changes: ReplicationDelta<ReplicatedItem>,
        out: &mut Vec<Effect>,
    ) {
        let from = sender.from;
        if let Some(revision) = self.start_replica.receive(from, sender.boot, changes)
            && self.reads(from, handoff::FORM)
        {
            self.send(now, from, Message::ReplicationAck(revision), out);
        }
    }

    /// Sends what other controllers should know: at once when it changed, and every digest period.
    pub(super) fn send_state(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.speaks_for_epoch() {
            return self.send_keep_alives(now, out);
        }
        let mut own = Vec::new();
        for peer in 0..self.settings.members.len() {
            self.send_state_to(now, peer, &mut own, out);
        }
        self.take_own_frames(now, own, out);
        if now.since(self.peer_traffic.demands_sent_at) >= self.settings.digest {
            self.peer_traffic.demands_sent_at = now;
            self.send_periodic(now, out);
        }
    }

    fn take_own_frames(&mut self, now: Micros, own: Vec<Frame>, out: &mut Vec<Effect>) {
        for frame in own {
            self.take_frame(now, frame, out);
        }
    }

    fn send_keep_alives(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let peers = 0..self.settings.members.len();
        for peer in peers.filter(|&peer| peer != self.settings.me) {
            if now.since(self.peer_traffic.links[peer].state_sent_at) >= self.settings.digest {
                self.peer_traffic.links[peer].state_sent_at = now;
                self.send(now, peer, Message::KeepAlive, out);
            }
        }
    }

    fn send_state_to(&mut self, now: Micros, peer: usize, own: &mut Vec<Frame>, out: &mut Vec<Effect>) {
        let period = self.settings.digest;
        // ReplicationDelta are gathered for a moment: a frame costs more than what it says.
        let gather = if peer == self.settings.me { period.0 / 25 } else { period.0 / 5 };
        let link = &self.peer_traffic.links[peer];
        let waited = now.since(link.state_sent_at);
        let has_news = self.machine_shard.revision() > link.revision_sent || link.owes_ack;
        if waited < period
            && (waited.0 < gather || !(has_news || self.job_shard.has_changes_for(peer, &self.membership)))
        {
            return;
        }
        let link = &mut self.peer_traffic.links[peer];
        link.state_sent_at = now;
        link.revision_sent = self.machine_shard.revision();
        link.owes_ack = false;
        let acked = link.revision_acked;
        let desired = match self.membership.members.contains(&peer) {
            true => self.job_shard.next_desired_state(peer, &self.membership),
            false => DesiredState::default(),
        };
        let autoscaler = &self.autoscaler;
        let room = |kind: &str| autoscaler.resources_of(kind);
        let delta = self.machine_shard.status_delta(now, &self.membership, peer, acked, room);
        self.send_or_keep(now, peer, Message::State(desired, delta), own, out);
    }

    /// Sends what is sent once in a digest period.
    fn send_periodic(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let peers = self.settings.members.len();
        let mut own = Vec::new();
        self.send_inherited_priorities(now, out);
        for peer in 0..peers {
            let machines = self.peer_traffic.links[peer].misrouted.take_unreported();
            if !machines.is_empty() {
                self.send(now, peer, Message::MisroutedHeartbeats(machines), out);
            }
        }
        for peer in (0..peers).filter(|&peer| peer != self.settings.me) {
            let reserved = self.job_shard.reservations().to_vec();
            self.send(now, peer, Message::Reserve(reserved), out);
        }
        if let Some(autoscaler) = self.membership.autoscaler() {
            let demands = Message::Demands(self.job_shard.demands());
            self.send_or_keep(now, autoscaler, demands, &mut own, out);
            if autoscaler == self.settings.me && self.autoscaler.can_publish() {
                for peer in 0..peers {
                    self.send_or_keep(now, peer, self.scaling_plan(), &mut own, out);
                }
            }
        }
        self.take_own_frames(now, own, out);
    }

    fn scaling_plan(&self) -> Message {
        Message::ScalingPlan {
            draining: self.autoscaler.draining(),
            removed: self.autoscaler.removed(),
            reserved_classes: self.autoscaler.reserved_classes(),
            reserved_machines: self.autoscaler.reserved_machines(),
        }
    }
}

#[cfg(test)]
mod tests;
