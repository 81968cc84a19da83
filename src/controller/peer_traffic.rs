//! Frames from and to other controllers.
//!
//! [`PeerTraffic`] owns, for each controller, what was sent to it and what it has acknowledged. Most messages
//! are valid only in the epoch of their frame, and state is sent only while this controller is an active
//! member of its epoch.

use super::membership::EpochRead;
use super::*;
use hazelsaddle_failover::start_replication::ReplicationDelta;

/// A clock reading of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClockReading {
    pub(super) boot: u64,
    pub(super) clock: Micros,
}

/// The exchange with one controller, which may be this controller itself.
#[derive(Default)]
pub(super) struct PeerLink {
    /// The latest clock reading received from the peer.
    pub(super) last_clock: ClockReading,
    /// When our state was last sent to the peer.
    state_sent_at: Micros,
    /// The revision of our machines' state that was last sent to the peer.
    revision_sent: u64,
    /// The revision of our machines' state that the peer has acknowledged.
    pub(super) revision_acked: u64,
    /// Whether the peer is still owed an acknowledgement of its machines' state.
    is_ack_owed: bool,
    /// Heartbeats of machines that the peer leads but that were sent to this controller.
    pub(super) misrouted: MisroutedHeartbeats,
}

/// What is sent to other controllers, and when.
pub(super) struct PeerTraffic {
    /// By controller number.
    pub(super) links: Vec<PeerLink>,
    demands_sent_at: Micros,
}

impl PeerTraffic {
    pub(super) fn new(controllers: usize) -> PeerTraffic {
        let links = (0..controllers).map(|_| PeerLink::default()).collect();
        PeerTraffic { links, demands_sent_at: Micros(0) }
    }

    /// Called for a new epoch: misrouted heartbeats of the previous epoch don't apply to it.
    pub(super) fn forget_misrouted(&mut self) {
        self.links.iter_mut().for_each(|link| link.misrouted = MisroutedHeartbeats::default());
    }

    /// Called for a new epoch: every peer is sent the full state again.
    pub(super) fn forget_revisions(&mut self) {
        for link in &mut self.links {
            (link.revision_acked, link.revision_sent) = (0, 0);
        }
    }
}

/// The sender of a frame.
struct Sender {
    from: usize,
    boot: u64,
    /// Our clock reading that the sender has echoed.
    echo: Micros,
    /// The revision of our machines' state that the sender holds.
    revision_seen: u64,
    is_from_self: bool,
}

impl Controller {
    /// The newest epoch that this controller advertises in its frames, and the members of that epoch. A
    /// controller that has stepped down advertises the epoch that excludes it, so that the others need not
    /// wait for its lease to expire.
    pub(super) fn advertised_epoch(&self) -> (u64, Vec<u32>) {
        let out_of_ring = self.membership.has_stepped_down || self.flap_damping.is_out_of_ring();
        if let (true, Some(EpochRead { record, .. })) = (out_of_ring, &self.membership_loop.newest_record)
            && record.epoch > self.membership.epoch
            && !self.membership.is_member_of(record)
        {
            let number_of =
                |member: &(String, u64)| self.settings.members.iter().position(|name| *name == member.0);
            // The record may list an earlier process of this controller. Listing this controller would let
            // processes that are all held back by flap damping count one another as members and wait for each
            // other.
            let others =
                record.members.iter().filter_map(number_of).filter(|number| *number != self.settings.me);
            return (record.epoch, others.map(|number| number as u32).collect());
        }
        let (epoch, members) = self.membership.acknowledged_epoch();
        // A controller that has yielded takes no part in the announced epoch, even if that epoch lists an
        // earlier process of it: its frames must not count as those of a live member.
        let is_self_yielded = |member: usize| self.membership.has_yielded() && member == self.settings.me;
        (
            epoch,
            members.iter().filter(|member| !is_self_yielded(**member)).map(|&member| member as u32).collect(),
        )
    }

    /// Whether this controller is an active member of its epoch: its records are loaded, and it has neither
    /// stepped down nor yielded to a newer epoch.
    pub(super) fn is_active_member(&self) -> bool {
        let membership = &self.membership;
        self.record_loading.is_done()
            && membership.epoch > 0
            && !membership.has_stepped_down
            && !membership.has_yielded()
    }

    pub(super) fn build_frame(&self, now: Micros, to: usize, body: Message) -> Frame {
        let last_clock = self.peer_traffic.links.get(to).map(|link| link.last_clock).unwrap_or_default();
        let (epoch, members) = self.advertised_epoch();
        Frame {
            from: self.settings.me as u32,
            epoch,
            members,
            clock: now,
            boot: self.boot,
            echo: last_clock.clock,
            echo_boot: last_clock.boot,
            sequence_seen: self.job_shard.applied_status_sequence(to, self.membership.epoch),
            body,
        }
    }

    /// Sends a message to another controller.
    pub(super) fn send(&self, now: Micros, to: usize, body: Message, out: &mut Vec<Effect>) {
        out.push(Effect::Send { to, frame: self.build_frame(now, to, body) });
    }

    /// Sends a message to another controller, or adds its frame to `local_frames` if the receiver is this
    /// controller.
    fn send_or_queue_locally(
        &self,
        now: Micros,
        to: usize,
        body: Message,
        local_frames: &mut Vec<Frame>,
        out: &mut Vec<Effect>,
    ) {
        let frame = self.build_frame(now, to, body);
        if to == self.settings.me { local_frames.push(frame) } else { out.push(Effect::Send { to, frame }) }
    }

    /// Handles a frame from another controller or from this one.
    pub(super) fn handle_frame(&mut self, now: Micros, frame: Frame, out: &mut Vec<Effect>) {
        let from = frame.from as usize;
        if from >= self.settings.members.len() {
            tracing::error!(from, "frame from an unknown controller");
            return;
        }
        let is_from_self = from == self.settings.me;
        // Frames to ourselves need no echo.
        let echo = if is_from_self { now } else { self.record_frame_header(now, from, &frame) };
        // A controller that has yielded to a newer epoch no longer takes part in its own.
        let is_same_epoch =
            frame.epoch == self.membership.epoch && frame.epoch > 0 && !self.membership.has_yielded();
        if is_same_epoch {
            let revision_acked = &mut self.peer_traffic.links[from].revision_acked;
            *revision_acked = (*revision_acked).max(frame.sequence_seen);
        }
        match frame.body {
            // A controller that leaves the ring hands off in an epoch that it doesn't adopt, so the epoch is
            // not compared here. Acknowledgements to an earlier process of this controller refer to other
            // batch numbers.
            Message::HandoffAck(numbers) if frame.echo_boot == self.boot => {
                self.handoff.apply_acknowledgements(from, &numbers)
            }
            // What is announced is true in every epoch.
            Message::CancelledJobs(jobs) => self.apply_cancelled_jobs(now, from, jobs, is_same_epoch, out),
            Message::CancelledJobsAck(jobs) => {
                self.apply_cancelled_jobs_ack(now, from, &jobs, is_same_epoch.then_some(echo))
            }
            Message::ForwardRequest { id, request } => {
                self.handle_user_request(now, Caller::Peer { peer: from, request: id }, request, out)
            }
            Message::ForwardResponse { id, reply } => {
                self.apply_forward_response(now, frame.epoch, id, reply, out)
            }
            message if is_same_epoch => {
                let revision_seen = frame.sequence_seen;
                let sender = Sender { from, boot: frame.boot, echo, revision_seen, is_from_self };
                self.handle_epoch_message(now, &sender, message, out);
            }
            _ => {}
        }
    }

    /// Records the header of another controller's frame; returns our clock reading that the sender has
    /// echoed.
    fn record_frame_header(&mut self, now: Micros, from: usize, frame: &Frame) -> Micros {
        self.peer_traffic.links[from].last_clock = ClockReading { boot: frame.boot, clock: frame.clock };
        let is_own_clock = frame.echo_boot == self.boot && frame.echo <= now;
        let echo = if is_own_clock { frame.echo } else { Micros(0) };
        self.membership.record_confirmation(from, frame.epoch, echo);
        self.step_down.record_echo(from, echo);
        self.membership.record_named_epoch(now, from, frame.epoch);
        // Accepted only from members: controllers that are kept out of the ring would otherwise confirm the
        // announcement to one another.
        if frame.members.contains(&frame.from) {
            self.membership.record_announcement(now, frame.epoch, &frame.members);
        }
        if frame.epoch > self.membership.epoch {
            self.membership_loop.step_at_once(now);
        }
        echo
    }

    /// Handles a message that is valid only in the current epoch.
    fn handle_epoch_message(
        &mut self,
        now: Micros,
        sender: &Sender,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let from = sender.from;
        match message {
            Message::State(desired, delta) => self.apply_peer_state(now, sender, &desired, delta),
            Message::Demands(demands) => self.autoscaler.record_demand(now, from, demands),
            Message::Reserve(list) if !sender.is_from_self => {
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
            Message::Lending(lending) if !sender.is_from_self => {
                self.job_shard.apply_peer_lending(now, from, lending)
            }
            Message::InheritedPriorities(list) => self.job_shard.apply_inherited_priorities(from, list),
            Message::Handoff { number, batch } => {
                self.apply_handoff_batch(now, from, sender.boot, number, batch)
            }
            Message::ReplicateStarts { revision, base_revision, added, removed } if !sender.is_from_self => {
                self.replicate_starts(
                    now,
                    sender,
                    ReplicationDelta { revision, base_revision, added, dropped: removed },
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
        let capacity_of = |kind: &str| autoscaler.resources_of(kind);
        if self.machine_shard.apply_desired_state(now, from, desired, &self.membership, capacity_of) {
            self.machine_shard.record_job_leader_message(from, sender.echo, sender.revision_seen);
        }
        let is_ack_owed = self.job_shard.apply_machine_status(now, &self.membership, from, delta);
        self.peer_traffic.links[from].is_ack_owed |= is_ack_owed;
        // The state of our own machines is already up to date and needs no acknowledgement frame.
        if sender.is_from_self {
            let held = self.job_shard.applied_status_sequence(from, self.membership.epoch);
            self.peer_traffic.links[from].revision_acked = held;
        }
    }

    /// Handles a peer's report that machines led by this controller send their heartbeats to the peer: this
    /// controller may be unreachable for all machines.
    fn note_misrouted(&mut self, now: Micros, machines: Vec<String>) {
        let (shard, membership) = (&self.machine_shard, &self.membership);
        let led_here = machines.into_iter().filter(|name| {
            membership.machine_leader(name) == Some(membership.me) && shard.is_gone(name) == Some(false)
        });
        self.step_down.record_misrouted(now, led_here);
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
            && self.can_read_format(from, handoff::HANDOFF_FORMAT_VERSION)
        {
            self.send(now, from, Message::ReplicationAck(revision), out);
        }
    }

    /// Sends our state to the other controllers: soon after a change, and once per digest period.
    pub(super) fn send_state(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.is_active_member() {
            return self.send_keep_alives(now, out);
        }
        let mut local_frames = Vec::new();
        for peer in 0..self.settings.members.len() {
            self.send_state_to(now, peer, &mut local_frames, out);
        }
        self.handle_own_frames(now, local_frames, out);
        if now.since(self.peer_traffic.demands_sent_at) >= self.settings.digest {
            self.peer_traffic.demands_sent_at = now;
            self.send_periodic(now, out);
        }
    }

    fn handle_own_frames(&mut self, now: Micros, local_frames: Vec<Frame>, out: &mut Vec<Effect>) {
        for frame in local_frames {
            self.handle_frame(now, frame, out);
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

    fn send_state_to(
        &mut self,
        now: Micros,
        peer: usize,
        local_frames: &mut Vec<Frame>,
        out: &mut Vec<Effect>,
    ) {
        let period = self.settings.digest;
        // Changes are batched for a moment, because a frame costs more than its content.
        let batching_delay = if peer == self.settings.me { period.0 / 25 } else { period.0 / 5 };
        let link = &self.peer_traffic.links[peer];
        let since_last = now.since(link.state_sent_at);
        let has_news = self.machine_shard.revision() > link.revision_sent || link.is_ack_owed;
        if since_last < period
            && (since_last.0 < batching_delay
                || !(has_news || self.job_shard.has_changes_for(peer, &self.membership)))
        {
            return;
        }
        let link = &mut self.peer_traffic.links[peer];
        link.state_sent_at = now;
        link.revision_sent = self.machine_shard.revision();
        link.is_ack_owed = false;
        let acked = link.revision_acked;
        let desired = match self.membership.members.contains(&peer) {
            true => self.job_shard.next_desired_state(peer, &self.membership),
            false => DesiredState::default(),
        };
        let autoscaler = &self.autoscaler;
        let capacity_of = |kind: &str| autoscaler.resources_of(kind);
        let delta = self.machine_shard.status_delta(now, &self.membership, peer, acked, capacity_of);
        self.send_or_queue_locally(now, peer, Message::State(desired, delta), local_frames, out);
    }

    /// Sends the messages that are due once per digest period.
    fn send_periodic(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let peers = self.settings.members.len();
        let mut local_frames = Vec::new();
        self.send_inherited_priorities(now, out);
        self.send_cancelled_jobs(now, out);
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
            self.send_or_queue_locally(now, autoscaler, demands, &mut local_frames, out);
            if autoscaler == self.settings.me && self.autoscaler.can_publish() {
                for peer in 0..peers {
                    self.send_or_queue_locally(now, peer, self.build_scaling_plan(), &mut local_frames, out);
                }
            }
        }
        self.handle_own_frames(now, local_frames, out);
    }

    fn build_scaling_plan(&self) -> Message {
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
