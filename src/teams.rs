//! Team room: what each job may use of its team's limit, claimed in batches in the team's record
//! before anything is started and given back only when the tasks are known to be gone.
//!
//! Claims are kept by job, not by controller: when a job changes owner its claim goes along.

use crate::settings::TeamSettings;
use crate::units::{Micros, Room};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// A team's limit and who has claimed what of it.
#[derive(Clone, Debug)]
pub struct Team {
    limit: Room,
    /// The guarantee.
    pub guarantee: Room,
    claims: BTreeMap<String, Room>,
    mark: u64,
    read: bool,
    busy: bool,
    /// A write that was sent on top of this version and may yet be applied: until the version
    /// moves on, nothing may be started beyond what it leaves each job.
    pending: Option<(u64, BTreeMap<String, Room>)>,
    /// When the record may next be read to see whether others gave room back.
    next_read: Micros,
    next_write: Micros,
    /// When a write last went out.
    sent_at: Micros,
}

/// What one job could use.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The job.
    pub job: String,
    /// What one task takes.
    pub one: Room,
    /// What its tasks use now, in-doubt and exiting ones included.
    pub in_use: Room,
    /// How many more tasks could be started.
    pub more: i64,
    /// Whether all of them are needed at once.
    pub whole: bool,
}

/// A change of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimWrite {
    /// The team.
    pub team: String,
    /// The record's version that it builds on.
    pub mark: u64,
    /// The new record.
    pub value: Value,
    /// The same, for when it is committed.
    pub claims: BTreeMap<String, Room>,
}

/// The teams' records as last seen.
pub struct Teams {
    teams: BTreeMap<String, Team>,
}

/// How long room that nobody lacks may stay claimed.
const CALM: Micros = Micros::from_millis(20_000);
/// Most bytes that a claim takes in a record, beside the job's name.
const ENTRY: usize = 48;
/// Most bytes by which one becomes longer when it grows.
const DIGITS: usize = 8;

fn record(claims: &BTreeMap<String, Room>) -> Value {
    let entry = |(j, c): (&String, &Room)| (j.clone(), json!([c.cpus, c.gpus]));
    Value::Object(claims.iter().map(entry).collect())
}

fn team_room(cpus: f64, gpus: f64) -> Room {
    let part = |x: f64| if x > 0.0 { (x * 1000.0 + 1e-6) as i64 } else { i64::MAX / 4 };
    Room { cpus: part(cpus), gpus: part(gpus), memory: i64::MAX / 4 }
}

impl Teams {
    /// Nothing read yet.
    pub fn new(settings: &[TeamSettings]) -> Teams {
        let teams = settings
            .iter()
            .map(|t| {
                let team = Team {
                    limit: team_room(t.cpus_max, t.gpus_max),
                    guarantee: Room::need(t.cpus, t.gpus, 0.0),
                    claims: BTreeMap::new(),
                    mark: 0,
                    read: false,
                    busy: false,
                    pending: None,
                    next_read: Micros(0),
                    next_write: Micros(0),
                    sent_at: Micros(0),
                };
                (t.name.clone(), team)
            })
            .collect();
        Teams { teams }
    }

    /// Whether the team has a limit at all; without one nothing is claimed.
    pub fn limited(&self, team: &str) -> bool {
        self.teams.get(team).is_none_or(|t| t.limit.cpus < i64::MAX / 4 || t.limit.gpus < i64::MAX / 4)
    }
    /// Whether the team has a guarantee.
    pub fn guaranteed(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(|t| t.guarantee.cpus > 0 || t.guarantee.gpus > 0)
    }
    /// What the job may use.
    pub fn claim(&self, team: &str, job: &str) -> Room {
        if !self.limited(team) {
            return Room { cpus: i64::MAX / 4, gpus: i64::MAX / 4, memory: i64::MAX / 4 };
        }
        let t = self.teams.get(team);
        let mut c = t.and_then(|t| t.claims.get(job)).copied().unwrap_or_default();
        if let Some((_, p)) = t.and_then(|t| t.pending.as_ref()) {
            let least = p.get(job).copied().unwrap_or_default();
            c = Room { cpus: c.cpus.min(least.cpus), gpus: c.gpus.min(least.gpus), memory: 0 };
        }
        c.memory = i64::MAX / 4;
        c
    }
    /// All teams' names, guarantees and claimed room.
    pub fn list(&self) -> impl Iterator<Item = (&str, Room, Room)> {
        self.teams.iter().map(|(n, t)| {
            let used = t.claims.values().fold(Room::default(), |a, &b| a + b);
            (n.as_str(), t.guarantee, used)
        })
    }
    /// What one job has claimed on record.
    pub fn claimed(&self, team: &str, job: &str) -> Room {
        self.teams.get(team).and_then(|t| t.claims.get(job)).copied().unwrap_or_default()
    }
    /// What all jobs of a team have claimed.
    pub fn used(&self, team: &str) -> Room {
        self.teams
            .get(team)
            .map_or(Room::default(), |t| t.claims.values().fold(Room::default(), |a, &b| a + b))
    }
    /// A new epoch: records must be read anew.
    pub fn unread(&mut self) {
        for t in self.teams.values_mut() {
            t.read = false;
            t.busy = false;
        }
    }
    /// Takes a team's record as the store has it. What can't be read counts as all claimed.
    pub fn take(&mut self, team: &str, value: Option<(&Value, u64)>) {
        let Some(t) = self.teams.get_mut(team) else { return };
        t.busy = false;
        let mark = value.map_or(0, |(_, m)| m);
        if t.read && mark < t.mark {
            return;
        }
        let empty = Map::new();
        let Some(map) = value.map_or(Some(&empty), |(v, _)| v.as_object()) else {
            tracing::error!(team, "unreadable team record");
            return;
        };
        t.claims.clear();
        for (job, v) in map {
            let part = |i: usize| v.get(i).and_then(Value::as_i64);
            match (part(0), part(1)) {
                (Some(cpus), Some(gpus)) => {
                    t.claims.insert(job.clone(), Room { cpus, gpus, memory: 0 });
                }
                _ => tracing::error!(team, job, "unreadable claim"),
            }
        }
        t.mark = mark;
        t.read = true;
        if t.pending.as_ref().is_some_and(|(base, _)| mark > *base) {
            t.pending = None;
        }
    }
    /// A write ended without effect (`certain`), or nobody knows how: read the record again.
    pub fn reread(&mut self, team: &str, certain: bool) {
        if let Some(t) = self.teams.get_mut(team) {
            if certain {
                t.pending = None;
            }
            t.busy = false;
            t.read = false;
            t.next_read = Micros(0);
        }
    }
    /// A write was committed.
    pub fn committed(&mut self, w: ClaimWrite, mark: u64) {
        if let Some(t) = self.teams.get_mut(&w.team) {
            t.busy = false;
            if mark > t.mark {
                t.claims = w.claims;
                t.mark = mark;
                t.pending = None;
            }
        }
    }
    /// Teams whose record should be read: not read in this epoch, or short of room that others
    /// may have given back.
    pub fn reads(&mut self, now: Micros, needs: &BTreeMap<String, Vec<Need>>) -> Vec<String> {
        let mut out = Vec::new();
        let names: Vec<String> = self.teams.keys().cloned().collect();
        for name in names {
            if !self.limited(&name) {
                continue;
            }
            let short = needs.get(&name).is_some_and(|ns| {
                ns.iter().any(|n| {
                    n.more > 0
                        && self.claim(&name, &n.job).count_of(n.one) <= n.in_use.cpus / n.one.cpus.max(1)
                })
            });
            let Some(t) = self.teams.get_mut(&name) else { continue };
            if !t.busy && now >= t.next_read && (!t.read || short) {
                t.next_read = now + Micros::from_millis(2000);
                t.busy = true;
                out.push(name);
            }
        }
        out
    }

    /// Works out the change that a team's record needs. `needs` are our live jobs in the order in
    /// which they should get room; `released` tells whether a claim may be dropped for a job that
    /// is not live: it must be ours and all its tasks gone.
    pub fn plan(
        &self,
        now: Micros,
        team: &str,
        needs: &[Need],
        mine: impl Fn(&str) -> bool,
        released: impl Fn(&str) -> bool,
        value_bytes: usize,
    ) -> Option<ClaimWrite> {
        let t = self.teams.get(team)?;
        if !self.limited(team) || !t.read || t.busy {
            return None;
        }
        let mut claims = t.claims.clone();
        let mut dropped = Room::default();
        let by_job: BTreeMap<&str, &Need> = needs.iter().map(|n| (n.job.as_str(), n)).collect();
        claims.retain(|job, c| {
            let keep = !mine(job) || by_job.contains_key(job.as_str()) || !released(job);
            if !keep {
                dropped = dropped + *c;
            }
            keep
        });
        // Shrink what is no longer of use, but only down to what is in use.
        for n in needs {
            if let Some(c) = claims.get_mut(&n.job) {
                let useful = n.in_use + n.one.times(n.more);
                let less = Room { cpus: c.cpus.min(useful.cpus), gpus: c.gpus.min(useful.gpus), memory: 0 };
                dropped = dropped + (*c - less);
                *c = less;
            }
        }
        let used = claims.values().fold(Room::default(), |a, &b| a + b);
        let mut free = Room { memory: i64::MAX / 4, ..t.limit - used };
        let mut grown = false;
        // A record must fit into a value. Jobs beyond that wait until others are done; without a count
        // of the bytes they would keep even what shrinks from being written.
        let mut bytes = record(&claims).to_string().len();
        for n in needs {
            let more = if claims.contains_key(&n.job) { DIGITS } else { n.job.len() + ENTRY };
            if bytes + more > value_bytes {
                continue;
            }
            let have = claims.get(&n.job).copied().unwrap_or_default();
            let target = n.in_use + n.one.times(n.more);
            let lacking = Room { cpus: target.cpus - have.cpus, gpus: target.gpus - have.gpus, memory: 0 };
            if lacking.cpus <= 0 && lacking.gpus <= 0 {
                continue;
            }
            let add = if free.holds(lacking) {
                Room { cpus: lacking.cpus.max(0), gpus: lacking.gpus.max(0), memory: 0 }
            } else if n.whole {
                continue;
            } else {
                let part = n.one.times(free.count_of(n.one).clamp(0, n.more));
                Room { memory: 0, ..part }
            };
            if add.cpus <= 0 && add.gpus <= 0 {
                continue;
            }
            free = free - add;
            bytes += more;
            claims.insert(n.job.clone(), have + add);
            grown = true;
        }
        claims.retain(|_, c| c.cpus > 0 || c.gpus > 0);
        // A write whose fate is unknown binds us to the lesser of two claims until the version
        // moves on; writing again, even the same, settles it.
        let unsettled = t.pending.is_some() && now >= t.next_write;
        // A change that only gives room back can wait and be lumped together, or go along with one that
        // takes some. Where nobody is near the limit, for long: with many teams such changes would take
        // most of the write budget, and jobs' ends would wait for theirs.
        let calm =
            used.cpus < t.limit.cpus / 2 && used.gpus < t.limit.gpus / 2 && bytes < value_bytes / 4 * 3;
        let slight = match calm {
            true => now < t.sent_at + CALM,
            false => now < t.next_write && dropped.cpus < t.limit.cpus / 8,
        };
        let slight = slight && !grown;
        if !unsettled && (claims == t.claims || slight) {
            return None;
        }
        let value = record(&claims);
        // One from before the limits fell may be too long still: it waits until more jobs have ended.
        if value.to_string().len() > value_bytes {
            return None;
        }
        Some(ClaimWrite { team: team.into(), mark: t.mark, value, claims })
    }

    /// Notes that a write goes out.
    pub fn sent(&mut self, now: Micros, w: &ClaimWrite) {
        if let Some(t) = self.teams.get_mut(&w.team) {
            t.busy = true;
            let mut least = w.claims.clone();
            if let Some((base, old)) = &t.pending
                && *base == w.mark
            {
                least.retain(|job, c| {
                    old.get(job).is_some_and(|o| {
                        *c = Room { cpus: c.cpus.min(o.cpus), gpus: c.gpus.min(o.gpus), memory: 0 };
                        true
                    })
                });
            }
            t.pending = Some((w.mark, least));
            t.sent_at = now;
            t.next_write = now + Micros::from_millis(3000);
        }
    }

    /// Teams by name.
    pub fn names(&self) -> Vec<String> {
        self.teams.keys().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn team(max: f64) -> Vec<TeamSettings> {
        vec![TeamSettings { name: "t".into(), cpus: 0.0, cpus_max: max, gpus: 0.0, gpus_max: 0.0 }]
    }
    fn need(job: &str, in_use: i64, more: i64, whole: bool) -> Need {
        let one = Room { cpus: 1000, gpus: 0, memory: 500 };
        Need { job: job.into(), one, in_use: Room { memory: 0, ..one.times(in_use) }, more, whole }
    }

    #[test]
    fn two_owners_never_claim_more_than_the_limit() {
        use rand::{RngExt, SeedableRng, rngs::StdRng};
        for seed in 0..30 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut store: (Value, u64) = (json!({}), 0);
            let mut owners = [Teams::new(&team(10.0)), Teams::new(&team(10.0))];
            for step in 0..60u64 {
                let o = rng.random_range(0..2usize);
                let prefix = ["a", "b"][o];
                if rng.random_bool(0.5) {
                    owners[o].take("t", (store.1 > 0).then_some((&store.0, store.1)));
                }
                let needs: Vec<Need> = (0..3)
                    .map(|i| need(&format!("{prefix}{i}"), 0, rng.random_range(0..8), rng.random_bool(0.3)))
                    .collect();
                let now = Micros::from_millis(step * 4000);
                let Some(w) = owners[o].plan(now, "t", &needs, |j| j.starts_with(prefix), |_| true, 4096)
                else {
                    continue;
                };
                if w.mark == store.1 {
                    store = (w.value.clone(), store.1 + 1);
                    let total: i64 = w.claims.values().map(|c| c.cpus).sum();
                    assert!(total <= 10_000, "seed {seed}: {total}");
                    owners[o].committed(w, store.1);
                } else {
                    owners[o].reread("t", true);
                }
            }
        }
    }

    #[test]
    fn a_write_of_unknown_fate_binds_until_it_is_settled() {
        let mut t = Teams::new(&team(10.0));
        t.take("t", Some((&json!({"a": [5000, 0]}), 4)));
        let late = Micros::from_millis(60_000);
        let w = t.plan(late, "t", &[need("a", 2, 0, false)], |_| true, |_| true, 4096).unwrap();
        t.sent(late, &w);
        t.reread("t", false);
        t.take("t", Some((&json!({"a": [5000, 0]}), 4)));
        assert_eq!(t.claim("t", "a").cpus, 2000, "the shrunken claim may yet be applied");
        let later = Micros::from_millis(70_000);
        let w =
            t.plan(later, "t", &[need("a", 2, 3, false)], |_| true, |_| true, 4096).expect("written again");
        t.sent(later, &w);
        t.committed(w, 5);
        assert_eq!(t.claim("t", "a").cpus, 5000);
    }

    /// Seen on kincsbolt-ops-next: ten teams gave room back every three seconds on three controllers, which
    /// took 60% of all changes, and a cancellation waited for 38 s to be put on record.
    #[test]
    fn room_that_nobody_lacks_is_given_back_in_lumps() {
        let writes = |limit: f64| {
            let mut t = Teams::new(&team(limit));
            t.take("t", Some((&json!({"a": [900_000, 0]}), 4)));
            let (mut mark, mut n) = (4, 0);
            for s in 60..120u64 {
                let now = Micros::from_millis(s * 1000);
                let need = need("a", 900 - s as i64, 0, false);
                let Some(w) = t.plan(now, "t", &[need], |_| true, |_| true, 4096) else { continue };
                t.sent(now, &w);
                (mark, n) = (mark + 1, n + 1);
                t.committed(w, mark);
            }
            n
        };
        assert_eq!(writes(4000.0), 3, "far from the limit");
        assert_eq!(writes(1000.0), 20, "near it others may wait for the room");
    }

    #[test]
    fn a_claim_stays_while_tasks_use_it() {
        let mut t = Teams::new(&team(10.0));
        t.take("t", Some((&json!({"a": [5000, 0], "gone": [3000, 0]}), 4)));
        let late = Micros::from_millis(60_000);
        let w = t.plan(late, "t", &[need("a", 4, 0, false)], |_| true, |_| false, 4096).unwrap();
        assert_eq!(w.claims["a"].cpus, 4000, "down to what is in use");
        assert_eq!(w.claims["gone"].cpus, 3000, "tasks not known to be gone");
        let w = t.plan(late, "t", &[need("a", 4, 0, false)], |_| true, |_| true, 4096).unwrap();
        assert!(!w.claims.contains_key("gone"));
        assert!(
            t.plan(late, "t", &[need("a", 5, 9, true)], |_| true, |_| false, 4096).is_none(),
            "a gang gets all or none"
        );
    }
}
