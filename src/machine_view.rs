//! What an owner sees of the machines of all homes: their digests put together.

use crate::peer::{MachineStatus, MachineStatusDelta};
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A machine as its home last described it, with the spans turned into points of our own clock.
#[derive(Clone, Debug)]
pub struct MachineSnapshot {
    digest: MachineStatus,
    /// When the cloud takes it away.
    pub notice_at: Option<Micros>,
    /// Since when it has been without a task.
    pub idle_since: Option<Micros>,
    /// Since when it has been silent.
    pub silent_since: Option<Micros>,
}

impl std::ops::Deref for MachineSnapshot {
    type Target = MachineStatus;
    fn deref(&self) -> &MachineStatus {
        &self.digest
    }
}

impl MachineSnapshot {
    /// A machine as described just now.
    pub fn new(now: Micros, d: MachineStatus) -> MachineSnapshot {
        let ago = |t: Micros| Micros(now.0.saturating_sub(t.0));
        MachineSnapshot {
            notice_at: d.notice.map(|t| now + t),
            idle_since: d.idle.map(ago),
            silent_since: d.silent.map(ago),
            digest: d,
        }
    }
    /// How long it has been without a task; zero if it has one.
    pub fn idle_for(&self, now: Micros) -> Micros {
        self.idle_since.map_or(Micros(0), |t| now.since(t))
    }
    /// How long it has been silent; zero if it missed no reports.
    pub fn silent_for(&self, now: Micros) -> Micros {
        self.silent_since.map_or(Micros(0), |t| now.since(t))
    }
}

/// What is known of one home's machines in one epoch.
#[derive(Debug, Default)]
pub struct MachineView {
    epoch: u64,
    seq: u64,
    rev_seen: u64,
    machines: BTreeMap<String, MachineSnapshot>,
    /// Machines on which starts were asked for, by the message that did: once the home has seen
    /// that message, what it does not name is an answer too.
    awaiting: BTreeMap<u64, Vec<String>>,
}

/// What a digest brought.
#[derive(Debug, PartialEq)]
pub struct StatusChange {
    /// Machines to look at.
    pub names: BTreeSet<String>,
    /// The whole state came: machines that it does not name are gone.
    pub whole: bool,
}

impl MachineView {
    /// The home's state that is held, 0 if none of this epoch.
    pub fn seq(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.seq } else { 0 }
    }
    /// Our latest message that the home had seen, 0 if none of this epoch.
    pub fn rev_seen(&self, epoch: u64) -> u64 {
        if self.epoch == epoch { self.rev_seen } else { 0 }
    }
    /// The machines, if the home has spoken in this epoch.
    pub fn machines(&self, epoch: u64) -> Option<&BTreeMap<String, MachineSnapshot>> {
        (self.epoch == epoch).then_some(&self.machines)
    }
    /// A message that asks for starts on these machines goes out.
    pub fn await_answer(&mut self, rev: u64, machines: Vec<String>) {
        if !machines.is_empty() {
            self.awaiting.insert(rev, machines);
        }
    }
    /// A new epoch: answers to older messages don't come any more.
    pub fn forget_awaited(&mut self) {
        self.awaiting.clear();
    }

    /// Takes a digest; None if it is older than what is held, or builds on something that is not.
    /// Nothing need be done about that: the sender hears what is held, and builds on it next time.
    pub fn take(&mut self, now: Micros, epoch: u64, d: MachineStatusDelta) -> Option<StatusChange> {
        let first = self.epoch != epoch;
        if (first && d.since != 0) || (!first && (d.seq < self.seq || d.since > self.seq)) {
            return None;
        }
        let mut names = BTreeSet::new();
        if d.since == 0 {
            let old = std::mem::take(&mut self.machines);
            // What an older epoch's home named may have another home now, which alone can tell
            // whether it is gone.
            if first {
                self.rev_seen = 0;
            } else {
                names.extend(old.into_keys());
            }
        }
        self.epoch = epoch;
        self.seq = d.seq;
        self.rev_seen = self.rev_seen.max(d.rev_seen);
        for m in d.machines {
            names.insert(m.name.clone());
            self.machines.insert(m.name.clone(), MachineSnapshot::new(now, m));
        }
        while let Some(e) = self.awaiting.first_entry()
            && *e.key() <= self.rev_seen
        {
            names.extend(e.remove());
        }
        Some(StatusChange { names, whole: d.since == 0 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::settings::Settings;
    use crate::machine_shard::{Heartbeat, HeartbeatTask, MachineShard};
    use crate::membership::{EpochRecord, Membership};
    use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
    use crate::units::Resources;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    fn parts() -> (Membership, MachineShard) {
        let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
            state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
            gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
            txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
        let s = Settings::parse("test", text).expect("valid");
        let mut m = Membership::new(&s, 1);
        m.adopt_epoch(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
        let mut home = MachineShard::new(&s);
        home.adopt_epoch(Micros(1), &m, false, |_| None);
        (m, home)
    }

    fn report(machine: usize, seq: u64, tasks: &BTreeSet<(u32, u64)>) -> Heartbeat {
        let tasks = tasks
            .iter()
            .map(|&(index, attempt)| HeartbeatTask {
                task: format!("wk-1/{index}"),
                attempt,
                state: "running".into(),
                cause: None,
                saved: None,
            })
            .collect();
        Heartbeat {
            machine: format!("i-{machine}"),
            addr: String::new(),
            kind: "k".into(),
            zone: "z".into(),
            spot: false,
            incarnation: 1,
            sequence: seq,
            token: 7,
            notice_s: None,
            tasks,
        }
    }

    /// Digests and wishes get lost, repeated and overtaken. Once one round gets through, the owner's
    /// view is the home's state, to the letter, and the home holds just the starts that are wanted.
    #[test]
    fn a_view_agrees_with_its_home_whatever_happens_to_messages() {
        for seed in 0..60 {
            let mut rng = StdRng::seed_from_u64(seed);
            let (m, mut home) = parts();
            let room = |_: &str| Some(Resources { cpus: 64_000, gpus: 0, memory: 64_000 });
            let mut view = MachineView::default();
            let mut now = Micros(1_000_000);
            let mut digests: Vec<MachineStatusDelta> = Vec::new();
            let mut wishes: Vec<DesiredState> = Vec::new();
            // The owner's side, reduced to its bare rule: all that changed since the last answer.
            let mut wanted: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
            let mut gone: BTreeMap<(String, TaskKey), u64> = BTreeMap::new();
            let (mut rev, mut seqs) = (7u64 << 32, 0u64);
            for _ in 0..150 {
                now = now + Micros::from_millis(50);
                match rng.random_range(0..7) {
                    0 | 1 => {
                        let machine = rng.random_range(0..6);
                        let tasks = (0..rng.random_range(0..3u32)).map(|i| (i, 9)).collect();
                        seqs += 1;
                        home.apply_heartbeat(now, &m, &report(machine, seqs, &tasks));
                    }
                    2 => {
                        let machine = format!("i-{}", rng.random_range(0..7));
                        let key = TaskKey { job: "wk-1".into(), index: 50, attempt: rev };
                        wanted.insert((machine, key), rev + 1);
                    }
                    3 => {
                        if let Some(k) = wanted.keys().next().cloned() {
                            wanted.remove(&k);
                            gone.insert(k, rev + 1);
                        }
                    }
                    4 => {
                        rev += 1;
                        let since = view.rev_seen(7);
                        let since = if since > 7 << 32 { since } else { 0 };
                        let list = wanted
                            .iter()
                            .filter(|(_, r)| **r > since)
                            .map(|((machine, key), _)| DesiredTask {
                                key: key.clone(),
                                machine: machine.clone(),
                                room: Resources { cpus: 1000, gpus: 0, memory: 0 },
                                want: DesiredAction::Hold,
                                priority: 0,
                                image: 0,
                            })
                            .collect();
                        let dropped =
                            gone.iter().filter(|(_, r)| **r > since).map(|(k, _)| k.clone()).collect();
                        wishes.push(DesiredState { rev, since, list, dropped });
                    }
                    5 => digests.push(home.status_delta(now, &m, 0, view.seq(7), room)),
                    _ => home.expire_leases(now, &m),
                }
                if !digests.is_empty() && rng.random_bool(0.4) {
                    let i = rng.random_range(0..digests.len());
                    let d = if rng.random_bool(0.3) { digests[i].clone() } else { digests.swap_remove(i) };
                    view.take(now, 7, d);
                }
                if !wishes.is_empty() && rng.random_bool(0.4) {
                    let i = rng.random_range(0..wishes.len());
                    let w = if rng.random_bool(0.3) { wishes[i].clone() } else { wishes.swap_remove(i) };
                    home.apply_desired_state(now, 0, &w, &m, room);
                }
            }
            view.take(now, 7, home.status_delta(now, &m, 0, view.seq(7), room));
            let whole = home.status_delta(now, &m, 0, 0, room);
            assert_eq!(whole.since, 0);
            let seen = view.machines(7).expect("spoken");
            assert_eq!(seen.len(), whole.machines.len(), "seed {seed}");
            for w in whole.machines {
                let s = &seen[&w.name];
                // Spans count from when each was sent.
                let plain = |d: &MachineStatus| MachineStatus { idle: None, silent: None, ..d.clone() };
                assert_eq!(plain(s), plain(&w), "seed {seed}");
                assert_eq!((s.idle.is_some(), s.silent.is_some()), (w.idle.is_some(), w.silent.is_some()));
                for t in w.tasks.iter().filter(|t| t.key.index == 50) {
                    let key = (w.name.clone(), t.key.clone());
                    let newer = gone.get(&key).is_some_and(|&r| r > view.rev_seen(7));
                    assert!(wanted.contains_key(&key) || newer, "seed {seed}: {key:?} is wanted no more");
                }
            }
        }
    }

    /// Found by the simulated world: after a new epoch a machine that had moved to another home was
    /// taken for gone, since its old home named it no more, and its tasks were started again.
    #[test]
    fn machines_of_an_older_epoch_are_no_news_of_the_new_one() {
        let (m, mut home) = parts();
        let room = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
        home.apply_heartbeat(Micros(10), &m, &report(1, 1, &BTreeSet::new()));
        home.apply_heartbeat(Micros(10), &m, &report(2, 1, &BTreeSet::new()));
        let mut view = MachineView::default();
        let all = home.status_delta(Micros(20), &m, 0, 0, room);
        view.take(Micros(30), 7, all.clone());
        let mut moved = MachineStatusDelta { seq: (8 << 32) + 1, ..all };
        moved.machines.truncate(1);
        let news = view.take(Micros(40), 8, moved).expect("a new epoch");
        assert_eq!(news.names, BTreeSet::from(["i-1".to_owned()]));
    }

    /// The cost of a digest is that of what changed, not of the fleet.
    #[test]
    fn a_digest_of_a_large_home_names_only_what_changed() {
        let (m, mut home) = parts();
        for i in 0..300 {
            home.apply_heartbeat(Micros(10), &m, &report(i, 1, &BTreeSet::new()));
        }
        let room = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
        let mut view = MachineView::default();
        let first = home.status_delta(Micros(20), &m, 0, 0, room);
        assert_eq!(first.machines.len(), 300);
        view.take(Micros(30), 7, first);
        home.apply_heartbeat(Micros(40), &m, &report(5, 2, &BTreeSet::from([(1, 3)])));
        for i in 10..300 {
            home.apply_heartbeat(Micros(40), &m, &report(i, 2, &BTreeSet::new()));
        }
        let next = home.status_delta(Micros(50), &m, 0, view.seq(7), room);
        assert_eq!(next.machines.iter().map(|d| d.name.as_str()).collect::<Vec<_>>(), ["i-5"]);
        assert_eq!(view.take(Micros(60), 7, next).map(|n| n.names.len()), Some(1));
    }
}
