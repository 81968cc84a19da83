//! The teams' records as last seen, and the writes to them that are under way.

use super::allocation::{AllocationInput, AllocationPass, AllocationWrite, QuotaNeed};
use super::allocation_notes::AllocationNote;
use super::tier::{self, QuotaTier};
use super::{UNLIMITED, sum};
use crate::config::settings::TeamSettings;
use crate::units::{Micros, Resources};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// How often a record is read while a job of ours lacks room.
const READ_INTERVAL: Micros = Micros::from_millis(2_000);
/// How often the record of a team that has little left is read for what other controllers' jobs wait for.
const CROWDED_READ_INTERVAL: Micros = Micros::from_millis(10_000);
/// How long small changes of a record wait after a write.
const WRITE_INTERVAL: Micros = Micros::from_millis(3_000);

/// A write that may be applied, now or later: only while the record is at the version that it builds on.
#[derive(Clone, Debug)]
struct UnsettledWrite {
    base_version: u64,
    /// What it leaves each job.
    allocations: BTreeMap<String, Resources>,
}

/// A team's limit and what its record says.
#[derive(Clone, Debug)]
pub(super) struct TeamQuota {
    pub(super) limit: Resources,
    guarantee: Resources,
    /// By job, what it may use.
    pub(super) allocations: BTreeMap<String, Resources>,
    /// By job, what else the record says of it.
    pub(super) notes: BTreeMap<String, AllocationNote>,
    pub(super) version: u64,
    /// Whether the record has been read in this epoch.
    is_read: bool,
    /// Whether a request for the record is out.
    is_busy: bool,
    /// The write under way.
    in_flight: Option<UnsettledWrite>,
    /// Writes on top of this version that got no answer and may yet be applied, and the least that they leave each job:
    /// until the version moves on, nothing may be started beyond that.
    unanswered: Option<UnsettledWrite>,
    /// When the record may next be read to see whether others gave room back.
    next_read: Micros,
    pub(super) next_write: Micros,
    pub(super) last_write: Micros,
    /// When we last put on record what a job of ours waits for.
    pub(super) last_request: Option<Micros>,
}

impl TeamQuota {
    fn new(settings: &TeamSettings) -> TeamQuota {
        TeamQuota {
            limit: limit(settings.cpus_max, settings.gpus_max),
            guarantee: Resources::rounded_up(settings.cpus, settings.gpus, 0.0),
            allocations: BTreeMap::new(),
            notes: BTreeMap::new(),
            version: 0,
            is_read: false,
            is_busy: false,
            in_flight: None,
            unanswered: None,
            next_read: Micros(0),
            next_write: Micros(0),
            last_write: Micros(0),
            last_request: None,
        }
    }

    /// Whether a write may go out: the record has been read, and nothing is under way.
    pub(super) fn can_write(&self) -> bool {
        self.is_read && !self.is_busy
    }

    /// Whether writing again, even the same, would settle a write whose fate is unknown.
    pub(super) fn needs_settling(&self, now: Micros) -> bool {
        self.unanswered.is_some() && now >= self.next_write
    }

    pub(super) fn allocated(&self) -> Resources {
        sum(self.allocations.values())
    }

    /// Nobody knows what became of the write under way: it binds beside those that have no answer already.
    fn mark_unanswered(&mut self) {
        let Some(mut write) = self.in_flight.take() else { return };
        if let Some(older) = &self.unanswered {
            // Each of them can be applied only on its own version. The record is at one of the two at most, and which
            // is seen when it is read.
            write.allocations.retain(|job, allocation| {
                let Some(left) = older.allocations.get(job) else { return false };
                *allocation = Resources { memory: 0, ..Resources::min(*allocation, *left) };
                true
            });
            write.base_version = write.base_version.max(older.base_version);
        }
        self.unanswered = Some(write);
    }

    /// The record is at this version: what builds on an older one has been applied, or never will be.
    fn settle_older(&mut self, version: u64) {
        for write in [&mut self.in_flight, &mut self.unanswered] {
            if write.as_ref().is_some_and(|write| version > write.base_version) {
                *write = None;
            }
        }
    }

    /// The least that the record and every write which may be applied leave a job.
    fn usable(&self, job: &str) -> Resources {
        let unsettled = [&self.in_flight, &self.unanswered].into_iter().flatten();
        let recorded = self.allocations.get(job).copied().unwrap_or_default();
        unsettled.fold(recorded, |least, write| {
            let left = write.allocations.get(job).copied().unwrap_or_default();
            Resources { memory: 0, ..Resources::min(least, left) }
        })
    }
}

/// What a team has in the settings and on record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage<'a> {
    /// The team.
    pub team: &'a str,
    /// Its guarantee.
    pub guarantee: Resources,
    /// What its jobs are allotted.
    pub allocated: Resources,
}

/// The teams' records as last seen.
pub struct QuotaLedger {
    teams: BTreeMap<String, TeamQuota>,
}

impl QuotaLedger {
    /// Nothing read yet.
    #[must_use]
    pub fn new(settings: &[TeamSettings]) -> QuotaLedger {
        let teams = settings.iter().map(|team| (team.name.clone(), TeamQuota::new(team)));
        QuotaLedger { teams: teams.collect() }
    }

    /// The teams' names.
    #[must_use]
    pub fn team_names(&self) -> Vec<String> {
        self.teams.keys().cloned().collect()
    }

    /// Whether the team has a limit or a guarantee at all; without either nothing is allotted.
    #[must_use]
    pub fn is_limited(&self, team: &str) -> bool {
        self.has_guarantee(team)
            || self
                .teams
                .get(team)
                .is_none_or(|team| team.limit.cpus < UNLIMITED || team.limit.gpus < UNLIMITED)
    }

    /// Whether the team has a guarantee.
    #[must_use]
    pub fn has_guarantee(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(|team| team.guarantee.cpus > 0 || team.guarantee.gpus > 0)
    }

    /// How a job stands to its team's guarantee, by the record: beside all that the team's earlier jobs are allotted.
    /// `need` is what it takes while it has no allocation on record.
    #[must_use]
    pub fn tier_of(&self, team: &str, job: &str, accepted: Micros, need: Resources) -> QuotaTier {
        let Some(team) = self.teams.get(team) else { return QuotaTier::NoGuarantee };
        let taken = team.allocations.get(job).copied().unwrap_or(need);
        let others = team.allocations.iter().map(|(id, allocated)| tier::TeamJob {
            id: id.as_str(),
            accepted: team.notes.get(id).and_then(|note| note.accepted),
            allocated: *allocated,
        });
        tier::tier_of(team.guarantee, (tier::accepted_seconds(accepted), job), taken, others)
    }

    /// What the job may use now.
    #[must_use]
    pub fn usable(&self, team: &str, job: &str) -> Resources {
        if !self.is_limited(team) {
            return Resources { cpus: UNLIMITED, gpus: UNLIMITED, memory: UNLIMITED };
        }
        let usable = self.teams.get(team).map(|team| team.usable(job)).unwrap_or_default();
        Resources { memory: UNLIMITED, ..usable }
    }

    /// What one job is allotted on record.
    #[must_use]
    pub fn allocation(&self, team: &str, job: &str) -> Resources {
        self.teams.get(team).and_then(|team| team.allocations.get(job)).copied().unwrap_or_default()
    }

    /// What all jobs of a team are allotted on record.
    #[must_use]
    pub fn allocated(&self, team: &str) -> Resources {
        self.teams.get(team).map(TeamQuota::allocated).unwrap_or_default()
    }

    /// All teams, by name.
    pub fn usage(&self) -> impl Iterator<Item = TeamUsage<'_>> {
        self.teams.iter().map(|(name, team)| TeamUsage {
            team: name,
            guarantee: team.guarantee,
            allocated: team.allocated(),
        })
    }

    /// A new epoch: all records must be read anew, and answers to older requests don't come any more.
    pub fn begin_epoch(&mut self) {
        for team in self.teams.values_mut() {
            team.mark_unanswered();
            team.is_read = false;
            team.is_busy = false;
        }
    }

    /// Takes a team's record and its version as the store has it, None if there is no record. A record that can't be
    /// read counts as not read.
    pub fn apply_record(&mut self, team: &str, record: Option<(&Value, u64)>) {
        let Some(quota) = self.teams.get_mut(team) else { return };
        quota.is_busy = false;
        let version = record.map_or(0, |(_, version)| version);
        // Guards against an answer that was overtaken: a record only goes forward and is never taken away. What it says
        // may be more than a job has been left since.
        if version < quota.version {
            return;
        }
        let empty = Map::new();
        let Some(entries) = record.map_or(Some(&empty), |(value, _)| value.as_object()) else {
            tracing::error!(team, "malformed quota record");
            return;
        };
        quota.allocations.clear();
        quota.notes.clear();
        for (job, entry) in entries {
            let Some((allocation, note)) = AllocationNote::read_entry(entry) else {
                tracing::error!(team, job, "malformed quota allocation");
                continue;
            };
            if allocation.cpus > 0 || allocation.gpus > 0 {
                quota.allocations.insert(job.clone(), allocation);
            }
            quota.notes.insert(job.clone(), note);
        }
        quota.version = version;
        quota.is_read = true;
        quota.settle_older(version);
    }

    /// The record must be read again, as soon as possible.
    pub fn require_read(&mut self, team: &str) {
        if let Some(team) = self.teams.get_mut(team) {
            team.is_busy = false;
            team.is_read = false;
            team.next_read = Micros(0);
        }
    }

    /// Teams whose record is to be read now: not read in this epoch, or short of room that others may have given back.
    /// Each of them counts as busy until `apply_record` or `require_read`.
    #[must_use]
    pub fn next_reads(&mut self, now: Micros, needs: &BTreeMap<String, Vec<QuotaNeed>>) -> Vec<String> {
        let mut due = Vec::new();
        for name in self.team_names() {
            if !self.is_limited(&name) {
                continue;
            }
            let needs = needs.get(&name).map_or(&[][..], Vec::as_slice);
            let is_short = needs.iter().any(|need| self.is_short(&name, need));
            let holds_unused = needs.iter().any(|need| {
                let allocation = Resources { memory: 0, ..self.allocation(&name, &need.job) };
                !need.in_use.can_hold(allocation)
            });
            let Some(team) = self.teams.get_mut(&name) else { continue };
            // Whoever holds allocations that it doesn't use hears of nothing that would make it read.
            let used = team.allocated();
            let is_crowded = used.cpus > team.limit.cpus / 4 * 3 || used.gpus > team.limit.gpus / 4 * 3;
            let may_be_asked = holds_unused && is_crowded && now >= team.next_read + CROWDED_READ_INTERVAL;
            if !team.is_busy && now >= team.next_read && (!team.is_read || is_short || may_be_asked) {
                team.next_read = now + READ_INTERVAL;
                team.is_busy = true;
                due.push(name);
            }
        }
        due
    }

    /// Whether a job could start more tasks than it is allotted room for.
    fn is_short(&self, team: &str, need: &QuotaNeed) -> bool {
        let running = need.in_use.cpus / need.per_task.cpus.max(1);
        need.more_tasks > 0 && self.usable(team, &need.job).max_count_of(need.per_task) <= running
    }

    /// The change that a team's record needs, if any, and if it may be written now. It counts only once `begin_write` is
    /// called.
    #[must_use]
    pub fn next_write(&self, now: Micros, input: &AllocationInput) -> Option<AllocationWrite> {
        let team = self.teams.get(input.team)?;
        if !self.is_limited(input.team) || !team.can_write() {
            return None;
        }
        AllocationPass::new(team, input).run(now)
    }

    /// Notes that a write goes out.
    pub fn begin_write(&mut self, now: Micros, write: &AllocationWrite) {
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        team.is_busy = true;
        team.mark_unanswered();
        team.in_flight =
            Some(UnsettledWrite { base_version: write.base_version, allocations: write.allocations.clone() });
        team.last_write = now;
        if write.notes.values().any(|note| note.request.is_some()) {
            team.last_request = Some(now);
        }
        team.next_write = now + WRITE_INTERVAL;
    }

    /// A write was committed, and the record is at this version.
    pub fn commit_write(&mut self, write: AllocationWrite, version: u64) {
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        team.is_busy = false;
        if version > team.version {
            team.allocations = write.allocations;
            team.notes = write.notes;
            team.version = version;
        }
        team.settle_older(team.version);
    }

    /// A write ended without effect (`is_certain`), or nobody knows how: the record is read again.
    pub fn fail_write(&mut self, write: &AllocationWrite, is_certain: bool) {
        self.require_read(&write.team);
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        let is_same = |sent: &UnsettledWrite| {
            sent.base_version == write.base_version && sent.allocations == write.allocations
        };
        if !team.in_flight.as_ref().is_some_and(is_same) {
            return;
        }
        // Guards against taking one write's end for that of another: an earlier one without an answer may be applied
        // yet, whatever became of this one.
        if is_certain {
            team.in_flight = None;
        } else {
            team.mark_unanswered();
        }
    }
}

/// A team's limit; what is not limited in the settings is unlimited.
fn limit(cpus: f64, gpus: f64) -> Resources {
    let part = |limit: f64| if limit > 0.0 { (limit * 1000.0 + 1e-6) as i64 } else { UNLIMITED };
    Resources { cpus: part(cpus), gpus: part(gpus), memory: UNLIMITED }
}
