//! Stepping down. The state store still renews the lease of a controller that receives no heartbeats, or no frames
//! from other controllers, but such a controller can lead nothing. No other controller can detect this, so it leaves
//! the ring by itself: it stops acting, raises the epoch without itself, and rejoins once it can reach workers or
//! controllers again. As always, only the epoch decides who is a member; the rules here only decide when to raise it.

use crate::config::settings::Settings;
use crate::units::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// How long a worker waits for a response before it turns to another controller.
const WORKER_RESPONSE_TIMEOUT: Micros = Micros::from_millis(4000);
/// Time after a heartbeat period at which a heartbeat counts as late.
const HEARTBEAT_MARGIN: Micros = Micros::from_millis(500);
/// Minimum number of misrouted machines for stepping down, if this controller leads that many live ones.
const MIN_MISROUTED_MACHINES: usize = 3;
/// Number of probes in a row that must reach a worker before rejoining.
const MIN_PROBES_REACHED: u32 = 2;
/// Maximum absence after leaving repeatedly.
const MAX_ABSENCE: Micros = Micros::from_millis(300_000);
/// How long a machine counts as misrouted after another controller reported it.
const MISROUTED_RETENTION: Micros = Micros(MAX_ABSENCE.0 / 10);
/// Maximum number of doublings of the absence.
const MAX_DOUBLINGS: u32 = 8;

/// Why a controller leaves the ring by its own decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// It receives no heartbeats, while its machines send theirs to other controllers.
    NoWorkers,
    /// It receives no frames from other controllers whose store leases are live.
    NoPeers,
    /// The process was asked to end.
    Requested,
}

/// Writes the word that `/status` shows.
impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::NoWorkers => "workers",
            StepDownReason::NoPeers => "peers",
            StepDownReason::Requested => "asked",
        })
    }
}

/// The time that a controller spends out of the ring by its own decision.
#[derive(Clone, Copy, Debug)]
struct Absence {
    reason: StepDownReason,
    since: Micros,
    rejoin_not_before: Micros,
    /// Number of probes in a row that reached a worker.
    probes_reached: u32,
}

/// The observations that decide when to leave the ring and when to rejoin it.
pub struct StepDown {
    heartbeat_period: Micros,
    member_lease: Micros,
    /// How soon a cancelled job's tasks must have ended. Their job leader may be cut off from their machine leader,
    /// and new jobs are accepted meanwhile, so two controllers may go without each other's messages for at most about
    /// half of this.
    cancellation_limit: Micros,
    /// When the last heartbeat of any worker arrived.
    last_heartbeat_at: Micros,
    /// When the epoch was adopted.
    epoch_adopted_at: Micros,
    /// Machines led by this controller that sent heartbeats to other controllers and none to this one since, with the
    /// time of the report.
    misrouted: BTreeMap<String, Micros>,
    /// By controller, the latest reading of this controller's clock that it echoed. An echo shows that messages
    /// arrive in both directions.
    echoed_at: Vec<Micros>,
    absence: Option<Absence>,
    /// How often this controller left recently. Each departure and return costs the others an epoch, so the absence
    /// grows.
    departure_count: u32,
    rejoined_at: Micros,
    next_probe: Micros,
}

impl StepDown {
    /// Creates the state of a controller that has not left the ring.
    pub fn new(settings: &Settings) -> StepDown {
        StepDown {
            heartbeat_period: settings.report,
            member_lease: settings.member_lease,
            cancellation_limit: settings.cancel,
            last_heartbeat_at: Micros(0),
            epoch_adopted_at: Micros(0),
            misrouted: BTreeMap::new(),
            echoed_at: vec![Micros(0); settings.members.len()],
            absence: None,
            departure_count: 0,
            rejoined_at: Micros(0),
            next_probe: Micros(0),
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Micros, machine: &str) {
        self.last_heartbeat_at = now;
        self.misrouted.remove(machine);
    }

    /// Records machines led by this controller whose heartbeats another controller received.
    pub fn record_misrouted(&mut self, now: Micros, machines: impl Iterator<Item = String>) {
        self.misrouted.extend(machines.map(|machine| (machine, now)));
        self.misrouted.retain(|_, at| now.since(*at) < MISROUTED_RETENTION);
    }

    /// Records that a controller had received the reading `echo` of this controller's clock.
    pub fn record_echo(&mut self, peer: usize, echo: Micros) {
        if let Some(echoed_at) = self.echoed_at.get_mut(peer) {
            *echoed_at = (*echoed_at).max(echo);
        }
    }

    /// Records that an epoch was adopted.
    pub fn adopt_epoch(&mut self, now: Micros) {
        self.epoch_adopted_at = now;
        self.misrouted.clear();
    }

    /// Accounts for a pause of this process, during which it could not receive heartbeats or frames.
    pub fn discount_pause(&mut self, now: Micros, pause: Micros) {
        let postpone = |at: &mut Micros| *at = (*at + pause).min(now);
        postpone(&mut self.last_heartbeat_at);
        self.echoed_at.iter_mut().for_each(postpone);
        self.misrouted.clear();
    }

    /// Returns the reason to leave the ring, if there is one. `live_machines` is the number of machines led by this
    /// controller whose last heartbeat is younger than their lease, `peers` the other members whose store leases are
    /// live, `me` this controller's index.
    #[must_use]
    pub fn reason_to_leave(
        &self,
        now: Micros,
        live_machines: usize,
        me: usize,
        peers: &[usize],
    ) -> Option<StepDownReason> {
        if self.absence.is_some() || self.epoch_adopted_at == Micros(0) || peers.is_empty() {
            return None;
        }
        if self.is_cut_off_from_workers(now, live_machines) {
            return Some(StepDownReason::NoWorkers);
        }
        self.is_cut_off_from_peers(now, me, peers).then_some(StepDownReason::NoPeers)
    }

    fn is_cut_off_from_workers(&self, now: Micros, live_machines: usize) -> bool {
        let since = self.last_heartbeat_at.max(self.epoch_adopted_at);
        // After a new epoch, workers take a while to find their machines' leaders.
        let silence = match self.last_heartbeat_at > self.epoch_adopted_at {
            true => self.heartbeat_period + HEARTBEAT_MARGIN,
            false => Micros(self.heartbeat_period.0 * 2) + WORKER_RESPONSE_TIMEOUT,
        };
        let misrouted = self.misrouted.values().filter(|&&at| at > since).count();
        now >= since + silence && misrouted >= MIN_MISROUTED_MACHINES.min(live_machines.max(1))
    }

    /// Whether this controller should leave because it receives no frames. A controller that receives none from any
    /// peer leaves first. Of two that receive none from each other, the one with the higher index leaves, and only
    /// after a controller that receives none at all had time to leave. A controller that crashed is no longer among
    /// `peers` a little after its lease has expired.
    fn is_cut_off_from_peers(&self, now: Micros, me: usize, peers: &[usize]) -> bool {
        let is_silent = |peer: usize, limit: Micros| {
            let echoed_at = self.echoed_at.get(peer).copied().unwrap_or_default().max(self.epoch_adopted_at);
            now >= echoed_at + limit
        };
        let all_peers_limit = Micros((self.member_lease.0 * 3 / 2).max(self.cancellation_limit.0 / 2));
        let one_peer_limit = Micros((self.member_lease.0 * 5 / 2).max(self.cancellation_limit.0 * 5 / 8));
        peers.iter().all(|&peer| is_silent(peer, all_peers_limit))
            || peers.iter().any(|&peer| peer < me && is_silent(peer, one_peer_limit))
    }

    /// Records that this controller leaves the ring.
    pub fn leave(&mut self, now: Micros, reason: StepDownReason) {
        if now.since(self.rejoined_at) > MAX_ABSENCE {
            self.departure_count = 0;
        }
        let absence = Micros(self.member_lease.0 << self.departure_count.min(MAX_DOUBLINGS)).min(MAX_ABSENCE);
        self.departure_count += 1;
        self.absence =
            Some(Absence { reason, since: now, rejoin_not_before: now + absence, probes_reached: 0 });
        self.next_probe = now + self.member_lease;
    }

    /// Returns why it left the ring, if it has.
    #[must_use]
    pub fn absence_reason(&self) -> Option<StepDownReason> {
        self.absence.map(|absence| absence.reason)
    }

    /// Returns whether to probe a worker now, at most once per interval.
    #[must_use]
    pub fn take_due_probe(&mut self, now: Micros) -> bool {
        let is_due = self.absence_reason() == Some(StepDownReason::NoWorkers) && now >= self.next_probe;
        if is_due {
            self.next_probe = now + Micros(self.member_lease.0 / 4);
        }
        is_due
    }

    /// Records whether a probe reached a worker.
    pub fn record_probe(&mut self, reached: bool) {
        if let Some(absence) = &mut self.absence {
            absence.probes_reached = if reached { absence.probes_reached + 1 } else { 0 };
        }
    }

    /// Whether the reason for leaving no longer applies and the absence has lasted long enough. After the maximum
    /// absence this controller rejoins in any case, since all machines or peers that it could reach may no longer
    /// exist.
    #[must_use]
    pub fn can_rejoin(&self, now: Micros, peers: &[usize]) -> bool {
        let Some(absence) = self.absence else { return false };
        let is_recovered = match absence.reason {
            StepDownReason::Requested => return false,
            StepDownReason::NoWorkers => absence.probes_reached >= MIN_PROBES_REACHED,
            StepDownReason::NoPeers => peers.iter().all(|&peer| self.has_echoed_recently(now, peer)),
        };
        now >= absence.since + MAX_ABSENCE || (is_recovered && now >= absence.rejoin_not_before)
    }

    fn has_echoed_recently(&self, now: Micros, peer: usize) -> bool {
        self.echoed_at.get(peer).is_some_and(|&at| now.since(at) < Micros(self.member_lease.0 / 4))
    }

    /// Records that this controller rejoins the ring.
    pub fn rejoin(&mut self, now: Micros) {
        self.absence = None;
        self.rejoined_at = now;
        self.epoch_adopted_at = Micros(0);
        self.misrouted.clear();
    }
}

#[cfg(test)]
mod tests;
