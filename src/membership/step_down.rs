//! Stepping down: a controller that the state service takes for well, but that hears no worker, or no other controller, is
//! of no use where it stands on the ring. Nobody else can tell, so it leaves by itself: it stops acting, raises the epoch
//! without itself, and rejoins once it reaches what it missed. The epoch decides, as always; what is weighed here only says
//! when to raise it.

use crate::config::settings::Settings;
use crate::units::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// How long a worker waits for a response before it turns to another controller.
const WORKER_PATIENCE: Micros = Micros::from_millis(4000);
/// Time beyond a heartbeat period after which a worker's heartbeat is late.
const HEARTBEAT_MARGIN: Micros = Micros::from_millis(500);
/// Machines that must have turned up elsewhere, if there are as many.
const MISROUTED_MACHINES: usize = 3;
/// Probes in a row that must reach a worker before rejoining.
const PROBES_REACHED: u32 = 2;
/// Longest absence after leaving again and again.
const LONGEST_ABSENCE: Micros = Micros::from_millis(300_000);
/// How long a machine counts as misrouted after it was named.
const MISROUTED_LIFE: Micros = Micros(LONGEST_ABSENCE.0 / 10);
/// Doublings of the absence that are counted.
const MOST_DOUBLINGS: u32 = 8;

/// Why a controller leaves the ring by its own decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// It misses workers' heartbeats, while its machines turn up at other controllers.
    NoWorkers,
    /// It misses frames of other controllers whose store leases live.
    NoPeers,
    /// It was told to end.
    Requested,
}

/// The word in `/status`.
impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StepDownReason::NoWorkers => "workers",
            StepDownReason::NoPeers => "peers",
            StepDownReason::Requested => "asked",
        })
    }
}

/// Away from the ring by its own decision.
#[derive(Clone, Copy, Debug)]
struct Absence {
    reason: StepDownReason,
    since: Micros,
    not_before: Micros,
    /// Probes in a row that reached a worker.
    probes_reached: u32,
}

/// What speaks for leaving and for rejoining.
pub struct StepDown {
    heartbeat_period: Micros,
    member_lease: Micros,
    /// How soon a cancelled job's tasks must be gone. Their job's leader may be cut from their machine's, so half of that
    /// is how long not hearing one another can last: new jobs are accepted all the while.
    cancellation_limit: Micros,
    /// When a worker, any worker, was last heard.
    worker_heard_at: Micros,
    /// When the epoch was adopted.
    epoch_at: Micros,
    /// Own machines that turned up at other controllers and have not been heard since.
    misrouted: BTreeMap<String, Micros>,
    /// Per controller: when it last echoed our clock, which shows that both directions work.
    echoed_at: Vec<Micros>,
    absence: Option<Absence>,
    /// How often it left of late: who comes and goes costs the others an epoch each time, so the absence grows.
    departures: u32,
    rejoined_at: Micros,
    next_probe: Micros,
}

impl StepDown {
    /// On the ring, as far as this is concerned.
    pub fn new(settings: &Settings) -> StepDown {
        StepDown {
            heartbeat_period: settings.report,
            member_lease: settings.member_lease,
            cancellation_limit: settings.cancel,
            worker_heard_at: Micros(0),
            epoch_at: Micros(0),
            misrouted: BTreeMap::new(),
            echoed_at: vec![Micros(0); settings.members.len()],
            absence: None,
            departures: 0,
            rejoined_at: Micros(0),
            next_probe: Micros(0),
        }
    }

    /// A worker sent a heartbeat.
    pub fn record_heartbeat(&mut self, now: Micros, machine: &str) {
        self.worker_heard_at = now;
        self.misrouted.remove(machine);
    }

    /// Machines of ours turned up at another controller.
    pub fn record_misrouted(&mut self, now: Micros, machines: impl Iterator<Item = String>) {
        self.misrouted.extend(machines.map(|machine| (machine, now)));
        self.misrouted.retain(|_, at| now.since(*at) < MISROUTED_LIFE);
    }

    /// A controller had heard our clock at `echo`.
    pub fn record_echo(&mut self, peer: usize, echo: Micros) {
        if let Some(echoed_at) = self.echoed_at.get_mut(peer) {
            *echoed_at = (*echoed_at).max(echo);
        }
    }

    /// An epoch was adopted.
    pub fn adopt_epoch(&mut self, now: Micros) {
        self.epoch_at = now;
        self.misrouted.clear();
    }

    /// This process did not get to run for so long: who listened to nothing can't say that it heard nothing.
    pub fn discount_pause(&mut self, now: Micros, pause: Micros) {
        let later = |at: &mut Micros| *at = (*at + pause).min(now);
        later(&mut self.worker_heard_at);
        self.echoed_at.iter_mut().for_each(later);
        self.misrouted.clear();
    }

    /// Whether to leave, and why. `live` is how many machines of ours were heard within their lease, `peers` the other
    /// members whose store leases live, `me` our own number.
    #[must_use]
    pub fn reason_to_leave(
        &self,
        now: Micros,
        live: usize,
        me: usize,
        peers: &[usize],
    ) -> Option<StepDownReason> {
        if self.absence.is_some() || self.epoch_at == Micros(0) || peers.is_empty() {
            return None;
        }
        if self.misses_workers(now, live) {
            return Some(StepDownReason::NoWorkers);
        }
        self.misses_peers(now, me, peers).then_some(StepDownReason::NoPeers)
    }

    fn misses_workers(&self, now: Micros, live: usize) -> bool {
        let from = self.worker_heard_at.max(self.epoch_at);
        // After a new epoch workers need a while to find their way.
        let silence = match self.worker_heard_at > self.epoch_at {
            true => self.heartbeat_period + HEARTBEAT_MARGIN,
            false => Micros(self.heartbeat_period.0 * 2) + WORKER_PATIENCE,
        };
        let misrouted = self.misrouted.values().filter(|&&at| at > from).count();
        now >= from + silence && misrouted >= MISROUTED_MACHINES.min(live.max(1))
    }

    /// A controller that hears nobody leaves first. Of two that don't hear each other the later one leaves, and only after
    /// the former had time to. One that died is gone from the store's list a little after a lease.
    fn misses_peers(&self, now: Micros, me: usize, peers: &[usize]) -> bool {
        let is_silent = |peer: usize, limit: Micros| {
            let echoed_at = self.echoed_at.get(peer).copied().unwrap_or_default().max(self.epoch_at);
            now >= echoed_at + limit
        };
        let all_limit = Micros((self.member_lease.0 * 3 / 2).max(self.cancellation_limit.0 / 2));
        let one_limit = Micros((self.member_lease.0 * 5 / 2).max(self.cancellation_limit.0 * 5 / 8));
        peers.iter().all(|&peer| is_silent(peer, all_limit))
            || peers.iter().any(|&peer| peer < me && is_silent(peer, one_limit))
    }

    /// It leaves.
    pub fn leave(&mut self, now: Micros, reason: StepDownReason) {
        if now.since(self.rejoined_at) > LONGEST_ABSENCE {
            self.departures = 0;
        }
        let absence = Micros(self.member_lease.0 << self.departures.min(MOST_DOUBLINGS)).min(LONGEST_ABSENCE);
        self.departures += 1;
        self.absence = Some(Absence { reason, since: now, not_before: now + absence, probes_reached: 0 });
        self.next_probe = now + self.member_lease;
    }

    /// Why it left, if it is away.
    #[must_use]
    pub fn absence_reason(&self) -> Option<StepDownReason> {
        self.absence.map(|absence| absence.reason)
    }

    /// Whether to try to reach a worker now; once a while.
    #[must_use]
    pub fn take_due_probe(&mut self, now: Micros) -> bool {
        let is_due = self.absence_reason() == Some(StepDownReason::NoWorkers) && now >= self.next_probe;
        if is_due {
            self.next_probe = now + Micros(self.member_lease.0 / 4);
        }
        is_due
    }

    /// How a probe ended.
    pub fn record_probe(&mut self, reached: bool) {
        if let Some(absence) = &mut self.absence {
            absence.probes_reached = if reached { absence.probes_reached + 1 } else { 0 };
        }
    }

    /// Whether what was missed is there again, and it has been away for long enough. After the longest absence it rejoins
    /// in any case: those it knew may all be gone.
    #[must_use]
    pub fn can_rejoin(&self, now: Micros, peers: &[usize]) -> bool {
        let Some(absence) = self.absence else { return false };
        let is_recovered = match absence.reason {
            StepDownReason::Requested => return false,
            StepDownReason::NoWorkers => absence.probes_reached >= PROBES_REACHED,
            StepDownReason::NoPeers => peers.iter().all(|&peer| self.echoed_lately(now, peer)),
        };
        now >= absence.since + LONGEST_ABSENCE || (is_recovered && now >= absence.not_before)
    }

    fn echoed_lately(&self, now: Micros, peer: usize) -> bool {
        self.echoed_at.get(peer).is_some_and(|&at| now.since(at) < Micros(self.member_lease.0 / 4))
    }

    /// It rejoins.
    pub fn rejoin(&mut self, now: Micros) {
        self.absence = None;
        self.rejoined_at = now;
        self.epoch_at = Micros(0);
        self.misrouted.clear();
    }
}

#[cfg(test)]
mod tests;
