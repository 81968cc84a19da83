//! Stepping aside: a controller that the state service takes for well, but that hears no worker, or
//! no other controller, is of no use where it stands on the ring. Nobody else can tell, so it leaves
//! by itself: it stops acting, raises the epoch without itself, and comes back once it reaches what
//! it missed. The epoch decides, as always; what is weighed here only says when to raise it.

use crate::config::settings::Settings;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// How long a worker waits for an answer before it turns to another controller.
const WORKER_PATIENCE: Micros = Micros::from_millis(4000);
/// Machines that must have turned up elsewhere, if there are as many.
const STRAYS: usize = 3;
/// Machines named to their home at a time.
const REPORTED: usize = 50;
/// Probes in a row that must reach a worker before coming back.
const REACHED: u32 = 2;
/// Longest stay away after leaving again and again.
const LONGEST: Micros = Micros::from_millis(300_000);

/// What a controller misses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// Workers' reports, while its machines turn up at other controllers.
    Workers,
    /// Frames of other controllers whose store leases live.
    Peers,
    /// Nothing: it was told to end.
    Asked,
}

/// Away from the ring by its own decision.
#[derive(Clone, Copy, Debug)]
struct Away {
    missing: Missing,
    since: Micros,
    not_before: Micros,
    reached: u32,
}

/// The machines of one other controller that turned up here.
#[derive(Clone, Debug, Default)]
pub struct MisroutedHeartbeats {
    /// How often each came, and the number of its latest report.
    visits: BTreeMap<String, (u32, (u64, u64))>,
    news: BTreeSet<String>,
}

impl MisroutedHeartbeats {
    /// A machine's worker came here and was sent on to its home. If its home has answered it in this
    /// epoch (`answered`) it should be there; otherwise it may not have known better the first time. A copy of an older
    /// report is no visit: `number` says which of its messages this one is.
    pub fn visit(&mut self, machine: &str, number: (u64, u64), answered: bool) {
        let (n, last) = self.visits.entry(machine.to_owned()).or_default();
        if number <= *last {
            return;
        }
        (*n, *last) = (*n + 1, number);
        if (answered || *n > 1) && self.news.len() < REPORTED {
            self.news.insert(machine.to_owned());
        }
    }
    /// Whom to name to the home.
    pub fn report(&mut self) -> Vec<String> {
        std::mem::take(&mut self.news).into_iter().collect()
    }
}

/// What speaks for leaving and for coming back.
pub struct StepDown {
    report: Micros,
    member_lease: Micros,
    /// How soon a cancelled job's tasks must be gone. Their owner may be cut from their home, so half of
    /// that is how long not hearing one another can last: new jobs are accepted all the while.
    cancel: Micros,
    /// When a worker, any worker, was last heard.
    heard_at: Micros,
    /// When the epoch was adopted.
    epoch_at: Micros,
    /// Own machines that turned up at other controllers and have not been heard since.
    strays: BTreeMap<String, Micros>,
    /// Per controller: when it last echoed our clock, which shows that both directions work.
    echoed: Vec<Micros>,
    away: Option<Away>,
    /// How often it left of late, and when it last came back: who comes and goes costs the others
    /// an epoch each time, so the stay away grows.
    times: u32,
    back_at: Micros,
    next_probe: Micros,
}

impl StepDown {
    /// On the ring, as far as this is concerned.
    pub fn new(s: &Settings) -> StepDown {
        StepDown {
            report: s.report,
            member_lease: s.member_lease,
            cancel: s.cancel,
            heard_at: Micros(0),
            epoch_at: Micros(0),
            strays: BTreeMap::new(),
            echoed: vec![Micros(0); s.members.len()],
            away: None,
            times: 0,
            back_at: Micros(0),
            next_probe: Micros(0),
        }
    }

    /// A worker reported.
    pub fn worker(&mut self, now: Micros, machine: &str) {
        self.heard_at = now;
        self.strays.remove(machine);
    }
    /// Machines of ours turned up at another controller.
    pub fn stray(&mut self, now: Micros, machines: impl Iterator<Item = String>) {
        self.strays.extend(machines.map(|m| (m, now)));
        self.strays.retain(|_, at| now.since(*at) < Micros(LONGEST.0 / 10));
    }
    /// A controller had heard our clock at `echo`.
    pub fn echo(&mut self, peer: usize, echo: Micros) {
        if let Some(e) = self.echoed.get_mut(peer) {
            *e = (*e).max(echo);
        }
    }
    /// An epoch was adopted.
    pub fn epoch(&mut self, now: Micros) {
        self.epoch_at = now;
        self.strays.clear();
    }
    /// This process did not get to run for so long: who listened to nothing can't say that it heard
    /// nothing.
    pub fn paused(&mut self, now: Micros, pause: Micros) {
        let later = |t: &mut Micros| *t = (*t + pause).min(now);
        later(&mut self.heard_at);
        self.echoed.iter_mut().for_each(later);
        self.strays.clear();
    }

    /// Whether to leave. `live` is how many machines of ours were heard within their lease, `peers` the
    /// other members whose store leases live, `me` our own number.
    pub fn verdict(&self, now: Micros, live: usize, me: usize, peers: &[usize]) -> Option<Missing> {
        if self.away.is_some() || self.epoch_at == Micros(0) || peers.is_empty() {
            return None;
        }
        let heard = self.heard_at > self.epoch_at;
        let from = self.heard_at.max(self.epoch_at);
        // After a new epoch workers need a while to find their way.
        let quiet = match heard {
            true => self.report + Micros::from_millis(500),
            false => Micros(self.report.0 * 2) + WORKER_PATIENCE,
        };
        let strays = self.strays.values().filter(|&&at| at > from).count();
        if now >= from + quiet && strays >= STRAYS.min(live.max(1)) {
            return Some(Missing::Workers);
        }
        let deaf = |p: &&usize, long: Micros| {
            let last = self.echoed.get(**p).copied().unwrap_or_default().max(self.epoch_at);
            now >= last + long
        };
        // Who hears nobody leaves first. Of two that don't hear each other the later one leaves,
        // and only after the former had time to.
        // One that died is gone from the store's list a little after a lease.
        let all =
            peers.iter().all(|p| deaf(&p, Micros((self.member_lease.0 * 3 / 2).max(self.cancel.0 / 2))));
        let long = Micros((self.member_lease.0 * 5 / 2).max(self.cancel.0 * 5 / 8));
        (all || peers.iter().any(|p| *p < me && deaf(&p, long))).then_some(Missing::Peers)
    }

    /// It leaves.
    pub fn leave(&mut self, now: Micros, missing: Missing) {
        if now.since(self.back_at) > LONGEST {
            self.times = 0;
        }
        let stay = Micros(self.member_lease.0 << self.times.min(8)).min(LONGEST);
        self.times += 1;
        self.away = Some(Away { missing, since: now, not_before: now + stay, reached: 0 });
        self.next_probe = now + self.member_lease;
    }
    /// What it misses, if it is away.
    pub fn away(&self) -> Option<Missing> {
        self.away.map(|a| a.missing)
    }
    /// Whether to try to reach a worker now.
    pub fn probe(&mut self, now: Micros) -> bool {
        let due = self.away() == Some(Missing::Workers) && now >= self.next_probe;
        if due {
            self.next_probe = now + Micros(self.member_lease.0 / 4);
        }
        due
    }
    /// How a try ended.
    pub fn probed(&mut self, reached: bool) {
        if let Some(a) = &mut self.away {
            a.reached = if reached { a.reached + 1 } else { 0 };
        }
    }
    /// Whether what was missed is there again, and it has been away for long enough. After the
    /// longest stay it comes back in any case: those it knew may all be gone.
    pub fn may_return(&self, now: Micros, peers: &[usize]) -> bool {
        self.away.is_some_and(|a| {
            let there = match a.missing {
                Missing::Asked => return false,
                Missing::Workers => a.reached >= REACHED,
                Missing::Peers => peers.iter().all(|&p| {
                    self.echoed.get(p).is_some_and(|&e| now.since(e) < Micros(self.member_lease.0 / 4))
                }),
            };
            now >= a.since + LONGEST || (there && now >= a.not_before)
        })
    }
    /// It comes back.
    pub fn back(&mut self, now: Micros) {
        self.away = None;
        self.back_at = now;
        self.epoch_at = Micros(0);
        self.strays.clear();
    }
}

#[cfg(test)]
mod tests;
