//! The ring: members, the epoch (the workers' token), who owns what, and who may act.

pub mod aside;

use crate::settings::Settings;
use crate::units::Micros;
pub use hazelsaddle_base::ring::Ring;
use serde::{Deserialize, Serialize};

/// A peer that has said nothing for longer may be gone, or the way to it.
const LATELY: Micros = Micros::from_millis(1500);

/// The record under `ring/epoch`.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochRecord {
    /// The epoch; also the workers' token.
    pub epoch: u64,
    /// Its members and which process of each (a random number drawn at start).
    pub members: Vec<(String, u64)>,
}

/// What this controller knows of the ring and of its own right to act.
#[derive(Clone)]
pub struct Membership {
    names: Vec<String>,
    /// This controller's number.
    pub me: usize,
    /// This process, to tell it from earlier ones of the same name.
    pub boot: u64,
    member_lease: Micros,
    confirmation: Micros,
    /// The adopted epoch; 0 before the first.
    pub epoch: u64,
    /// Store version of the epoch record; every write carries it as a condition.
    pub mark: u64,
    /// Members of the adopted epoch.
    pub members: Vec<usize>,
    /// The ring of the adopted epoch.
    pub ring: Ring,
    /// When it was adopted.
    pub adopted_at: Micros,
    /// Until when the store's word entitles this controller to act.
    store_until: Micros,
    /// Per controller: the highest epoch it said it knows, and the latest of our own clock
    /// readings that it had heard when it said so.
    heard: Vec<(u64, Micros)>,
    /// A newer epoch's ring, known from peers only. It says whom to ask; it gives no right to act.
    hearsay: Option<(u64, Ring, Micros)>,
    /// Per controller: the epoch that its latest frame named, and when that came.
    spoke: Vec<(u64, Micros)>,
    /// Since when, in this epoch, every other controller is known to have stopped acting under older ones.
    stopped_at: Option<Micros>,
    /// It has stepped aside: it leaves the ring by its own decision and acts no more.
    pub aside: bool,
}

impl Membership {
    /// Before the first epoch.
    pub fn new(s: &Settings, boot: u64) -> Membership {
        Membership {
            names: s.members.clone(),
            me: s.me,
            boot,
            member_lease: s.member_lease,
            confirmation: s.confirmation,
            epoch: 0,
            mark: 0,
            members: Vec::new(),
            ring: Ring::default(),
            adopted_at: Micros(0),
            store_until: Micros(0),
            heard: vec![(0, Micros(0)); s.members.len()],
            hearsay: None,
            spoke: vec![(0, Micros(0)); s.members.len()],
            stopped_at: None,
            aside: false,
        }
    }

    /// The record that follows `old` when the controllers in `alive` are to be its members.
    pub fn next_record(old: &EpochRecord, alive: &[(String, u64)]) -> EpochRecord {
        let mut members = alive.to_vec();
        members.sort();
        EpochRecord { epoch: old.epoch + 1, members }
    }

    /// Whether this process is a member by that record.
    pub fn is_in(&self, r: &EpochRecord) -> bool {
        r.members.iter().any(|(m, b)| *m == self.names[self.me] && *b == self.boot)
    }

    /// Takes up a newer epoch. Returns whether it directly follows the one held, in which case
    /// nobody else can have commanded what stays ours.
    pub fn adopt(&mut self, now: Micros, r: &EpochRecord, mark: u64) -> bool {
        let follows = self.epoch != 0 && r.epoch == self.epoch + 1;
        self.epoch = r.epoch;
        self.mark = mark;
        self.members = r.members.iter().filter_map(|(m, _)| self.names.iter().position(|n| n == m)).collect();
        self.ring = Ring::new(&self.names, &self.members);
        self.adopted_at = now;
        self.stopped_at = None;
        follows
    }

    /// The store renewed our lease and showed the adopted epoch as the newest; both requests
    /// were sent no earlier than `sent`.
    pub fn confirmed_by_store(&mut self, sent: Micros) {
        self.store_until = self.store_until.max(sent + self.member_lease.shortened());
    }

    /// Whether the store's word alone entitles it to act.
    pub fn store_confirms(&self, now: Micros) -> bool {
        now < self.store_until
    }

    /// The lease is gone.
    pub fn lease_lost(&mut self) {
        self.store_until = Micros(0);
    }

    /// A peer said that it knows `epoch` and had heard our clock at `echo`.
    pub fn heard_from(&mut self, peer: usize, epoch: u64, echo: Micros) {
        if let Some(h) = self.heard.get_mut(peer) {
            if epoch >= h.0 {
                // An echo under an older epoch is no confirmation of the newer one.
                h.1 = if epoch > h.0 { echo } else { h.1.max(echo) };
                h.0 = epoch;
            } else {
                // The peer was restarted and knows less than it did.
                *h = (epoch, echo);
            }
        }
    }

    /// A peer named the members of its epoch. One that can't reach the store learns in this way
    /// whom to pass requests and workers on to.
    pub fn told(&mut self, now: Micros, epoch: u64, members: &[u32]) {
        let known = self.hearsay.as_ref().map_or(0, |h| h.0).max(self.epoch);
        if let Some(h) = &mut self.hearsay
            && h.0 == epoch
        {
            h.2 = now;
        }
        if epoch > known {
            let members: Vec<usize> = members.iter().map(|&m| m as usize).collect();
            self.hearsay = Some((epoch, Ring::new(&self.names, &members), now));
        }
    }

    /// A peer's frame named this epoch as the one it knows.
    pub fn spoke(&mut self, now: Micros, peer: usize, epoch: u64) {
        if let Some(s) = self.spoke.get_mut(peer) {
            *s = (epoch, now);
        }
    }
    /// Whether no controller can act, as far as one that can't act itself may say: every other one spoke lately, and none
    /// knows a newer epoch. One under the same epoch would confirm it to us, and then we could act too; one under an older
    /// epoch, or none, has been restarted and is no member yet. One that is silent may be well, and we be cut off.
    pub fn nobody_acts(&self, now: Micros) -> bool {
        let lately = |at: Micros| at > Micros(0) && now.since(at) < LATELY;
        self.spoke.len() > 1
            && (0..self.spoke.len())
                .filter(|&p| p != self.me)
                .all(|p| lately(self.spoke[p].1) && self.spoke[p].0 <= self.epoch)
    }

    /// The newest ring known, for passing things on.
    fn newest(&self) -> &Ring {
        match &self.hearsay {
            Some((e, r, _)) if *e > self.epoch => r,
            _ => &self.ring,
        }
    }
    /// Whether requests can be passed on to the members of a newer epoch, one of whom spoke lately.
    pub fn can_pass(&self, now: Micros) -> bool {
        self.hearsay.as_ref().is_some_and(|(e, _, at)| *e > self.epoch && now.since(*at) < LATELY)
    }
    /// Whom to pass a user's request to.
    pub fn pass_job_to(&self, id: &str) -> Option<usize> {
        self.newest().owner_of("job/", id)
    }
    /// Whom to send a machine's worker to.
    pub fn pass_machine_to(&self, machine: &str) -> Option<usize> {
        self.newest().owner_of("machine/", machine)
    }
    /// The other members of the adopted epoch.
    pub fn others(&self) -> impl Iterator<Item = usize> {
        self.members.iter().copied().filter(|&p| p != self.me)
    }

    /// Whether this controller may answer and command: by the store's word, or, when the store
    /// is silent, by that of every other controller. A controller can't tell an outage from a
    /// 503 of its own, hence *every* other one.
    pub fn may_act(&self, now: Micros) -> bool {
        if self.epoch == 0 || self.aside || !self.members.contains(&self.me) {
            return false;
        }
        if self.store_confirms(now) {
            return true;
        }
        self.heard.len() > 1
            && (0..self.heard.len()).filter(|&p| p != self.me).all(|p| {
                self.heard[p].0 == self.epoch
                    && now < self.heard[p].1 + self.confirmation.shortened()
                    && self.heard[p].1 > Micros(0)
            })
    }

    /// Whether no other controller can still be acting under an older epoch: each has said that
    /// it knows this one, or its right to act has run out. A member's right lasts a lease from
    /// when the epoch was raised at the latest; one that is no member lost its lease before
    /// that, and lives at most on the confirmation that we gave before adopting.
    pub fn others_have_stopped(&self, now: Micros) -> bool {
        (0..self.heard.len()).filter(|&p| p != self.me).all(|p| {
            let wait = if self.members.contains(&p) { self.member_lease } else { self.confirmation };
            self.heard[p].0 >= self.epoch || now >= self.adopted_at + wait.stretched()
        })
    }

    /// Called at every round: notes the first moment of this epoch at which `others_have_stopped`.
    pub fn note_stopped(&mut self, now: Micros) {
        if self.stopped_at.is_none() && self.epoch > 0 && self.others_have_stopped(now) {
            self.stopped_at = Some(now);
        }
    }

    /// From when on no older token can be answering any worker: when all others had said that they know this
    /// epoch, or had certainly lost their right; before that is seen, when they will have lost it.
    pub fn older_silent_at(&self) -> Micros {
        self.stopped_at.unwrap_or(self.adopted_at + self.member_lease.stretched())
    }

    /// The owner of a job.
    pub fn job_owner(&self, id: &str) -> Option<usize> {
        self.ring.owner_of("job/", id)
    }
    /// The home of a machine.
    pub fn home(&self, machine: &str) -> Option<usize> {
        self.ring.owner_of("machine/", machine)
    }
    /// Who rents and returns machines.
    pub fn decider(&self) -> Option<usize> {
        self.ring.owner("fleet")
    }
    /// A controller's name.
    pub fn name(&self, n: usize) -> &str {
        self.names.get(n).map_or("?", String::as_str)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(me: usize) -> Membership {
        let s = |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\naddr = \"10.0.0.{i}:2\"\n");
        let seeds: String = (0..3).filter(|&i| i != me).map(s).collect();
        let text = format!(
            "member = \"c{me}\"\napi_addr = \"10.0.0.9:1\"\nback = \"10.0.0.9:2\"\n{seeds}[outside]\n\
            cloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\n\
            gang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\n\
            value_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
        );
        let mut m = Membership::new(&Settings::parse("test", &text).expect("valid"), 1);
        let record = |epoch| EpochRecord { epoch, members: (0..3).map(|i| (format!("c{i}"), 1)).collect() };
        m.adopt(Micros::from_millis(1000), &record(4), 1);
        m
    }

    #[test]
    fn the_right_to_act_ends_with_the_lease_or_the_last_confirmation() {
        let at = Micros::from_millis;
        let mut m = member(0);
        assert!(!m.may_act(at(1000)));
        m.confirmed_by_store(at(1000));
        assert!(m.may_act(at(6900)) && !m.may_act(at(7000)), "a third of 18 s from sending, shortened");
        m.heard_from(1, 4, at(6500));
        assert!(!m.may_act(at(7000)), "one of two is not every other");
        m.heard_from(2, 4, at(6600));
        assert!(m.may_act(at(9000)) && !m.may_act(at(9500)));
        m.heard_from(2, 5, at(6700));
        assert!(!m.may_act(at(7000)), "one knows a newer epoch");
    }

    #[test]
    fn hearsay_says_whom_to_ask_and_gives_no_right() {
        let at = Micros::from_millis;
        let mut m = member(0);
        m.told(at(2000), 5, &[1, 2]);
        let passed: Vec<_> = (0..50).filter_map(|i| m.pass_job_to(&format!("wk-{i}"))).collect();
        assert!(passed.len() == 50 && passed.iter().all(|&p| p != 0));
        assert!(m.can_pass(at(3000)) && !m.can_pass(at(3600)));
        assert_eq!((m.epoch, m.may_act(at(2000))), (4, false));
        assert!((0..50).any(|i| m.job_owner(&format!("wk-{i}")) == Some(0)), "the adopted ring is as it was");
    }

    /// Seen on days of our own: while the state service was away all controllers were restarted, the load balancer took out
    /// all three, and for up to a minute after the outage most users found none.
    #[test]
    fn who_can_not_act_says_so_only_while_somebody_else_may() {
        let at = Micros::from_millis;
        let mut m = member(0);
        m.spoke(at(2000), 1, 0);
        assert!(!m.nobody_acts(at(2100)), "the other may be well, and we cut off from it");
        m.spoke(at(2000), 2, 4);
        assert!(m.nobody_acts(at(2100)) && !m.nobody_acts(at(3600)));
        m.spoke(at(3700), 1, 5);
        m.spoke(at(3700), 2, 0);
        assert!(!m.nobody_acts(at(3800)), "one knows a newer epoch: it may act");
    }

    #[test]
    fn others_are_waited_for_until_they_know_the_epoch_or_must_have_stopped() {
        let at = Micros::from_millis;
        let mut m = member(0);
        m.heard_from(1, 4, at(900));
        assert!(!m.others_have_stopped(at(1100)));
        assert!(m.others_have_stopped(at(7100)), "a lease after adopting");
        m.heard_from(2, 4, at(900));
        assert!(m.others_have_stopped(at(1100)));
        m.heard_from(2, 0, at(1200));
        assert!(!m.others_have_stopped(at(1300)), "restarted: it knows nothing any more");
    }
}
