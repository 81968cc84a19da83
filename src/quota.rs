//! Team room: what each job may use of its team's limit, claimed in batches in the team's record
//! before anything is started and given back only when the tasks are known to be gone.
//!
//! Claims are kept by job, not by controller: when a job changes owner its claim goes along. The record also says in
//! which order a team's jobs came, so that all controllers agree on which lie within the guarantee, and for which
//! job others are to leave room (`notes`).

mod allocation_notes;
pub mod tier;

use self::tier::QuotaTier;
use crate::config::settings::TeamSettings;
use crate::units::{Micros, Resources};
use allocation_notes::{Note, RoomRequest};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// A team's limit and who has claimed what of it.
#[derive(Clone, Debug)]
pub struct Team {
    limit: Resources,
    /// The guarantee.
    pub guarantee: Resources,
    claims: BTreeMap<String, Resources>,
    notes: BTreeMap<String, Note>,
    store_version: u64,
    read: bool,
    busy: bool,
    /// The write under way: the version that it builds on, and what it leaves each job.
    sent: Option<(u64, BTreeMap<String, Resources>)>,
    /// Writes that were sent on top of this version, got no answer and may yet be applied, and the least that they leave
    /// each job: until the version moves on, nothing may be started beyond that.
    pending: Option<(u64, BTreeMap<String, Resources>)>,
    /// When the record may next be read to see whether others gave room back.
    next_read: Micros,
    next_write: Micros,
    /// When a write last went out.
    sent_at: Micros,
    /// When we last put on record what a job of ours waits for.
    wanted_at: Option<Micros>,
}

/// What one job could use.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// The job.
    pub job: String,
    /// What one task takes.
    pub one: Resources,
    /// What its tasks use now, in-doubt and exiting ones included.
    pub in_use: Resources,
    /// Whether that is all: false while machines that may hold tasks of it have not been heard.
    pub settled: bool,
    /// How many more tasks could be started.
    pub more: i64,
    /// Whether all of them are needed at once.
    pub whole: bool,
    /// The job's priority.
    pub priority: u8,
    /// When it was accepted, by the time of day.
    pub accepted: Micros,
}

impl Need {
    fn target(&self) -> Resources {
        Resources { memory: 0, ..self.in_use + self.one.times(self.more) }
    }
    /// Its place among jobs that wait for the team's room.
    fn rank(&self) -> (std::cmp::Reverse<u8>, u64, &str) {
        (std::cmp::Reverse(self.priority), tier::seconds(self.accepted), &self.job)
    }
}

/// A change of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationWrite {
    /// The team.
    pub team: String,
    /// The record's version that it builds on.
    pub store_version: u64,
    /// The new record.
    pub value: Value,
    /// The same, for when it is committed.
    pub claims: BTreeMap<String, Resources>,
    notes: BTreeMap<String, Note>,
}

/// The teams' records as last seen.
pub struct QuotaLedger {
    teams: BTreeMap<String, Team>,
}

/// How long room that nobody lacks may stay claimed.
const CALM: Micros = Micros::from_millis(20_000);
/// How often what a job waits for is put on record again: a controller of the first version takes it out with every
/// write, and the two must not take turns at it.
const WANT_AGAIN: Micros = Micros::from_millis(20_000);
/// How soon room that somebody waits for is given back.
const SOON: Micros = Micros::from_millis(1_000);
/// How often the record of a team that has little left is read for what other owners' jobs wait for.
const CROWDED: Micros = Micros::from_millis(10_000);
/// Most bytes that a claim takes in a record, beside the job's name.
const ENTRY: usize = 64;
/// Most bytes by which one becomes longer when it grows.
const DIGITS: usize = 8;

fn record(claims: &BTreeMap<String, Resources>, notes: &BTreeMap<String, Note>) -> Value {
    let note = |j: &str| notes.get(j).copied().unwrap_or_default();
    let entry = |(j, c): (&String, &Resources)| (j.clone(), note(j).entry(*c));
    let waits = notes.iter().filter(|(j, n)| n.want.is_some() && !claims.contains_key(*j));
    let waits = waits.map(|(j, n)| (j.clone(), n.entry(Resources::default())));
    Value::Object(claims.iter().map(entry).chain(waits).collect())
}

/// What is left of `a` without `b`; room that is not limited stays so.
fn without(a: Resources, b: Resources) -> Resources {
    Resources { memory: i64::MAX / 4, ..a - b }
}

fn team_room(cpus: f64, gpus: f64) -> Resources {
    let part = |x: f64| if x > 0.0 { (x * 1000.0 + 1e-6) as i64 } else { i64::MAX / 4 };
    Resources { cpus: part(cpus), gpus: part(gpus), memory: i64::MAX / 4 }
}

impl Team {
    /// Nobody knows what became of the write under way: it binds beside those that are in doubt already.
    fn in_doubt(&mut self) {
        let Some((base, mut least)) = self.sent.take() else { return };
        if let Some((other, old)) = &self.pending {
            // Each of them can be applied only on its own version. The record is at one of the two at most, and which
            // is seen when it is read.
            least.retain(|job, c| {
                old.get(job).is_some_and(|o| {
                    *c = Resources { memory: 0, ..Resources::min(*c, *o) };
                    true
                })
            });
            self.pending = Some((base.max(*other), least));
        } else {
            self.pending = Some((base, least));
        }
    }
    /// The record is at this version: what builds on an older one has been applied, or never will be.
    fn moved_on(&mut self, store_version: u64) {
        for write in [&mut self.sent, &mut self.pending] {
            if write.as_ref().is_some_and(|(base, _)| store_version > *base) {
                *write = None;
            }
        }
    }
}

impl QuotaLedger {
    /// Nothing read yet.
    pub fn new(settings: &[TeamSettings]) -> QuotaLedger {
        let teams = settings
            .iter()
            .map(|t| {
                let team = Team {
                    limit: team_room(t.cpus_max, t.gpus_max),
                    guarantee: Resources::need(t.cpus, t.gpus, 0.0),
                    claims: BTreeMap::new(),
                    notes: BTreeMap::new(),
                    store_version: 0,
                    read: false,
                    busy: false,
                    sent: None,
                    pending: None,
                    next_read: Micros(0),
                    next_write: Micros(0),
                    sent_at: Micros(0),
                    wanted_at: None,
                };
                (t.name.clone(), team)
            })
            .collect();
        QuotaLedger { teams }
    }

    /// Whether the team has a limit or a guarantee at all; without either nothing is claimed.
    pub fn limited(&self, team: &str) -> bool {
        self.guaranteed(team)
            || self.teams.get(team).is_none_or(|t| t.limit.cpus < i64::MAX / 4 || t.limit.gpus < i64::MAX / 4)
    }
    /// How a job stands to its team's guarantee, by the record: beside all that the team's earlier jobs have claimed.
    /// `need` is what it takes while it has no claim on record.
    pub fn footing(&self, team: &str, job: &str, accepted: Micros, need: Resources) -> QuotaTier {
        let Some(t) = self.teams.get(team) else { return QuotaTier::Unpromised };
        let room = t.claims.get(job).copied().unwrap_or(need);
        let at = |id: &String| t.notes.get(id).and_then(|n| n.accepted);
        let others = t.claims.iter().map(|(id, c)| (id.as_str(), at(id), *c));
        tier::footing(t.guarantee, (tier::seconds(accepted), job), room, others)
    }
    /// Whether the team has a guarantee.
    pub fn guaranteed(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(|t| t.guarantee.cpus > 0 || t.guarantee.gpus > 0)
    }
    /// What the job may use.
    pub fn claim(&self, team: &str, job: &str) -> Resources {
        if !self.limited(team) {
            return Resources { cpus: i64::MAX / 4, gpus: i64::MAX / 4, memory: i64::MAX / 4 };
        }
        let t = self.teams.get(team);
        let mut c = t.and_then(|t| t.claims.get(job)).copied().unwrap_or_default();
        let unsettled = t.into_iter().flat_map(|t| [&t.sent, &t.pending]).flatten();
        for (_, left) in unsettled {
            c = Resources { memory: 0, ..Resources::min(c, left.get(job).copied().unwrap_or_default()) };
        }
        c.memory = i64::MAX / 4;
        c
    }
    /// All teams' names, guarantees and claimed room.
    pub fn list(&self) -> impl Iterator<Item = (&str, Resources, Resources)> {
        self.teams.iter().map(|(n, t)| {
            let used = t.claims.values().fold(Resources::default(), |a, &b| a + b);
            (n.as_str(), t.guarantee, used)
        })
    }
    /// What one job has claimed on record.
    pub fn claimed(&self, team: &str, job: &str) -> Resources {
        self.teams.get(team).and_then(|t| t.claims.get(job)).copied().unwrap_or_default()
    }
    /// What all jobs of a team have claimed.
    pub fn used(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::default(), |t| t.claims.values().fold(Resources::default(), |a, &b| a + b))
    }
    /// A new epoch: records must be read anew.
    pub fn unread(&mut self) {
        for t in self.teams.values_mut() {
            t.in_doubt();
            t.read = false;
            t.busy = false;
        }
    }
    /// Takes a team's record as the store has it. What can't be read counts as all claimed.
    pub fn take(&mut self, team: &str, value: Option<(&Value, u64)>) {
        let Some(t) = self.teams.get_mut(team) else { return };
        t.busy = false;
        let store_version = value.map_or(0, |(_, m)| m);
        // Guards against an answer that was overtaken: a record only goes forward and is never taken away. What it says
        // may be more than a job has been left since.
        if store_version < t.store_version {
            return;
        }
        let empty = Map::new();
        let Some(map) = value.map_or(Some(&empty), |(v, _)| v.as_object()) else {
            tracing::error!(team, "unreadable team record");
            return;
        };
        t.claims.clear();
        t.notes.clear();
        for (job, v) in map {
            let part = |i: usize| v.get(i).and_then(Value::as_i64);
            match (part(0), part(1)) {
                (Some(cpus), Some(gpus)) => {
                    if cpus > 0 || gpus > 0 {
                        t.claims.insert(job.clone(), Resources { cpus, gpus, memory: 0 });
                    }
                    t.notes.insert(job.clone(), Note::read(v));
                }
                _ => tracing::error!(team, job, "unreadable claim"),
            }
        }
        t.store_version = store_version;
        t.read = true;
        t.moved_on(store_version);
    }
    /// The record must be read again.
    pub fn reread(&mut self, team: &str) {
        if let Some(t) = self.teams.get_mut(team) {
            t.busy = false;
            t.read = false;
            t.next_read = Micros(0);
        }
    }
    /// A write ended without effect (`certain`), or nobody knows how: the record is read again.
    pub fn failed(&mut self, w: &AllocationWrite, certain: bool) {
        self.reread(&w.team);
        let Some(t) = self.teams.get_mut(&w.team) else { return };
        if t.sent.as_ref().is_none_or(|(base, claims)| (*base, claims) != (w.store_version, &w.claims)) {
            return;
        }
        // Guards against taking one write's end for that of another: an earlier one without an answer may be applied
        // yet, whatever became of this one.
        if certain {
            t.sent = None;
        } else {
            t.in_doubt();
        }
    }
    /// A write was committed.
    pub fn committed(&mut self, w: AllocationWrite, store_version: u64) {
        if let Some(t) = self.teams.get_mut(&w.team) {
            t.busy = false;
            if store_version > t.store_version {
                t.claims = w.claims;
                t.notes = w.notes;
                t.store_version = store_version;
            }
            let store_version = t.store_version;
            t.moved_on(store_version);
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
            let idle = needs.get(&name).is_some_and(|ns| {
                ns.iter().any(|n| !n.in_use.holds(Resources { memory: 0, ..self.claimed(&name, &n.job) }))
            });
            let Some(t) = self.teams.get_mut(&name) else { continue };
            // Whoever holds claims that it doesn't use hears of nothing that would make it read.
            let used = t.claims.values().fold(Resources::default(), |a, &b| a + b);
            let crowded = used.cpus > t.limit.cpus / 4 * 3 || used.gpus > t.limit.gpus / 4 * 3;
            let asked = idle && crowded && now >= t.next_read + CROWDED;
            if !t.busy && now >= t.next_read && (!t.read || short || asked) {
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
    ) -> Option<AllocationWrite> {
        let t = self.teams.get(team)?;
        if !self.limited(team) || !t.read || t.busy {
            return None;
        }
        let mut claims = t.claims.clone();
        let mut dropped = Resources::default();
        let by_job: BTreeMap<&str, &Need> = needs.iter().map(|n| (n.job.as_str(), n)).collect();
        claims.retain(|job, c| {
            let keep = !mine(job) || by_job.contains_key(job.as_str()) || !released(job);
            if !keep {
                dropped = dropped + *c;
            }
            keep
        });
        // Shrink what is no longer of use, but only down to what is in use.
        // What that is must be known: tasks on machines that have not been heard since a takeover use room too, whatever
        // is asked for the job meanwhile.
        for n in needs.iter().filter(|n| n.settled) {
            if let Some(c) = claims.get_mut(&n.job) {
                let useful = n.in_use + n.one.times(n.more);
                let less =
                    Resources { cpus: c.cpus.min(useful.cpus), gpus: c.gpus.min(useful.gpus), memory: 0 };
                dropped = dropped + (*c - less);
                *c = less;
            }
        }
        let mut notes = t.notes.clone();
        notes.retain(|job, n| {
            // What our own jobs wait for is worked out anew.
            if mine(job) {
                n.want = None;
            }
            claims.contains_key(job) || n.want.is_some()
        });
        let used = claims.values().fold(Resources::default(), |a, &b| a + b);
        let mut free = without(t.limit, used);
        let mut grown = false;
        // Room that jobs of other owners wait for, first those that are to have it first.
        let mut others: Vec<_> = notes.iter().filter_map(|(j, n)| Some((n.rank(j)?, n.want?.room))).collect();
        others.retain(|(_, room)| t.limit.holds(*room));
        others.sort_unstable();
        let others: Vec<(_, Resources)> =
            others.into_iter().map(|((p, at, j), r)| ((p, at, j.to_owned()), r)).collect();
        let before = |n: &Need| {
            let first = others.iter().filter(|((p, at, j), _)| (*p, *at, j.as_str()) < n.rank());
            first.fold(Resources::default(), |a, (_, r)| a + *r)
        };
        let mut ours: Option<&Need> = None;
        // A record must fit into a value. Jobs beyond that wait until others are done; without a count
        // of the bytes they would keep even what shrinks from being written.
        let mut bytes = record(&claims, &notes).to_string().len();
        for (i, n) in needs.iter().enumerate() {
            let more = if claims.contains_key(&n.job) { DIGITS } else { n.job.len() + ENTRY };
            if bytes + more > value_bytes {
                continue;
            }
            let have = claims.get(&n.job).copied().unwrap_or_default();
            let lacking = n.target() - have;
            if lacking.cpus <= 0 && lacking.gpus <= 0 {
                continue;
            }
            let lacking = Resources { cpus: lacking.cpus.max(0), gpus: lacking.gpus.max(0), memory: 0 };
            // Claims that less urgent jobs of ours don't use go to one that can't do with less.
            if n.whole && !free.holds(lacking) {
                dropped = dropped + give_back(&mut claims, &mut free, &needs[i + 1..], lacking);
            }
            let left = without(free, before(n));
            let add = if left.holds(lacking) {
                lacking
            } else if n.whole {
                // Guards against a job that never begins: smaller ones would take each bit of room that comes
                // free, here and on other controllers, and it would never be enough at one time.
                if ours.is_none() && t.limit.holds(n.target()) {
                    ours = Some(n);
                    free = without(free, lacking);
                }
                continue;
            } else {
                let part = n.one.times(left.count_of(n.one).clamp(0, n.more));
                Resources { memory: 0, ..part }
            };
            if add.cpus <= 0 && add.gpus <= 0 {
                continue;
            }
            free = free - add;
            bytes += more;
            claims.insert(n.job.clone(), have + add);
            grown = true;
        }
        // What less urgent jobs of ours don't use goes to those of other owners that wait.
        for (rank, room) in &others {
            let (p, at, j) = rank;
            let later: Vec<Need> =
                needs.iter().filter(|n| n.rank() > (*p, *at, j.as_str())).cloned().collect();
            if !free.holds(*room) {
                dropped = dropped + give_back(&mut claims, &mut free, &later, *room);
            }
            free = without(free, *room);
        }
        claims.retain(|_, c| c.cpus > 0 || c.gpus > 0);
        for n in needs.iter().filter(|n| claims.contains_key(&n.job)) {
            notes.entry(n.job.clone()).or_default().accepted = Some(tier::seconds(n.accepted));
        }
        if let Some(n) = ours {
            let have = claims.get(&n.job).copied().unwrap_or_default();
            let want = RoomRequest { room: n.target() - have, priority: n.priority };
            let note = Note { accepted: Some(tier::seconds(n.accepted)), want: Some(want) };
            notes.insert(n.job.clone(), note);
        }
        notes.retain(|job, n| claims.contains_key(job) || n.want.is_some());
        // What a job waits for is worth a write, but not over and over.
        let wants = |notes: &BTreeMap<String, Note>| -> Vec<String> {
            notes.iter().filter(|(j, n)| n.want.is_some() && mine(j)).map(|(j, _)| j.clone()).collect()
        };
        let (was, is) = (wants(&t.notes), wants(&notes));
        let asked = was.iter().any(|j| !is.contains(j))
            || (was != is && t.wanted_at.is_none_or(|at| now >= at + WANT_AGAIN));
        // A write whose fate is unknown binds us to the lesser of two claims until the version
        // moves on; writing again, even the same, settles it.
        let unsettled = t.pending.is_some() && now >= t.next_write;
        // A change that only gives room back can wait and be lumped together, or go along with one that
        // takes some. Where nobody is near the limit, for long: with many teams such changes would take
        // most of the write budget, and jobs' ends would wait for theirs.
        let calm =
            used.cpus < t.limit.cpus / 2 && used.gpus < t.limit.gpus / 2 && bytes < value_bytes / 4 * 3;
        let slight = match calm {
            _ if !others.is_empty() => now < t.sent_at + SOON,
            true => now < t.sent_at + CALM,
            false => now < t.next_write && dropped.cpus < t.limit.cpus / 8,
        };
        let slight = slight && !grown;
        if !unsettled && !asked && (claims == t.claims || slight) {
            return None;
        }
        let value = record(&claims, &notes);
        // One from before the limits fell may be too long still: it waits until more jobs have ended.
        if value.to_string().len() > value_bytes {
            return None;
        }
        Some(AllocationWrite { team: team.into(), store_version: t.store_version, value, claims, notes })
    }

    /// Notes that a write goes out.
    pub fn sent(&mut self, now: Micros, w: &AllocationWrite) {
        if let Some(t) = self.teams.get_mut(&w.team) {
            t.busy = true;
            t.in_doubt();
            t.sent = Some((w.store_version, w.claims.clone()));
            t.sent_at = now;
            if w.notes.values().any(|n| n.want.is_some()) {
                t.wanted_at = Some(now);
            }
            t.next_write = now + Micros::from_millis(3000);
        }
    }

    /// Teams by name.
    pub fn names(&self) -> Vec<String> {
        self.teams.keys().cloned().collect()
    }
}

/// Takes back what `from`, the last first, have claimed and don't use, until there is room for `lacking`. Claims never
/// shrink below what is in use. Returns how much.
fn give_back(
    claims: &mut BTreeMap<String, Resources>,
    free: &mut Resources,
    from: &[Need],
    lacking: Resources,
) -> Resources {
    let mut all = Resources::default();
    for n in from.iter().rev() {
        if free.holds(lacking) {
            break;
        }
        // Guards against a claim below what runs: of a job taken over, tasks that we don't know of may be alive.
        if !n.settled {
            continue;
        }
        let Some(c) = claims.get_mut(&n.job) else { continue };
        // Of a gang's claim a part is of no use to it.
        let keep = if n.whole { Resources::default() } else { (*c - (lacking - *free)).min(*c) };
        let less = Resources { memory: 0, ..Resources::min(*c, n.in_use.max(keep)) };
        all = all + (*c - less);
        *free = *free + (*c - less);
        *c = less;
    }
    all
}

#[cfg(test)]
mod tests;
