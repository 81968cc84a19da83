//! Cache of the teams' records, and the state of the writes to them.

use super::allocation::{AllocationInput, AllocationPass, QuotaNeed};
use super::allocation_notes::AllocationNote;
use super::allocation_write::AllocationWrite;
use super::record_pages::{self, FIRST_PAGE, RecordPages};
use super::tier::{self, QuotaTier};
use super::{UNLIMITED, sum};
use crate::config::settings::TeamSettings;
use crate::state_store::KeyValue;
use crate::units::{Micros, Resources};
use serde_json::Value;
use std::collections::BTreeMap;

/// How often a record is read while a job led by this controller lacks quota.
const READ_INTERVAL: Micros = Micros::from_millis(2_000);
/// How often the record of a team near its limit is read to find the requests of other controllers' jobs.
const CROWDED_READ_INTERVAL: Micros = Micros::from_millis(10_000);
/// How long small changes of a record are delayed after a write.
const WRITE_INTERVAL: Micros = Micros::from_millis(3_000);

/// A write that may be applied now or later, as long as the record is at the write's base version.
#[derive(Clone, Debug)]
struct UnsettledWrite {
    base_version: u64,
    /// The allocations after the write, by job.
    allocations: BTreeMap<String, Resources>,
}

/// A team's limit and guarantee, and the contents of its record.
#[derive(Clone, Debug)]
pub(super) struct TeamQuota {
    pub(super) limit: Resources,
    guarantee: Resources,
    /// The allocations, by job.
    pub(super) allocations: BTreeMap<String, Resources>,
    /// The other parts of the entries, by job.
    pub(super) notes: BTreeMap<String, AllocationNote>,
    /// The version of the record: that of its first page.
    pub(super) version: u64,
    /// The other pages.
    pub(super) pages: RecordPages,
    /// Whether the record has, or had when it was last read or written, several pages, so that all must be read at once.
    is_paged: bool,
    /// Whether the record has been read since that was last required.
    is_read: bool,
    /// Whether the record has been read in this epoch. Before that another controller may have led the job of any entry
    /// since the entry was read here.
    is_read_in_epoch: bool,
    /// Whether a read or write of the record is in flight.
    is_busy: bool,
    /// The write in flight.
    in_flight: Option<UnsettledWrite>,
    /// The writes that got no answer and may still be applied, combined: the latest base version, and the smallest
    /// allocation of each job. Until the record's version exceeds the base version, jobs may use no more than that.
    unanswered: Option<UnsettledWrite>,
    /// When the record may be read again to see whether other controllers have released resources.
    next_read: Micros,
    pub(super) next_write: Micros,
    pub(super) last_write: Micros,
    /// When this controller last wrote a request of one of its jobs.
    pub(super) last_request: Option<Micros>,
}

impl TeamQuota {
    fn new(settings: &TeamSettings) -> TeamQuota {
        TeamQuota {
            limit: team_limit(settings.cpus_max, settings.gpus_max),
            guarantee: Resources::rounded_up(settings.cpus, settings.gpus, 0.0),
            allocations: BTreeMap::new(),
            notes: BTreeMap::new(),
            version: 0,
            pages: RecordPages::default(),
            is_paged: false,
            is_read: false,
            is_read_in_epoch: false,
            is_busy: false,
            in_flight: None,
            unanswered: None,
            next_read: Micros(0),
            next_write: Micros(0),
            last_write: Micros(0),
            last_request: None,
        }
    }

    /// Adds the entries of a page to those of the record.
    fn apply_page(&mut self, team: &str, number: u32, value: &Value, version: u64) {
        let Some(entries) = record_pages::entries(value) else { return };
        if number != FIRST_PAGE {
            self.pages.add(number, version, entries.keys());
        }
        for (job, entry) in entries {
            let Some((allocation, note)) = AllocationNote::decode_entry(entry) else {
                tracing::error!(team, job, "malformed quota allocation");
                continue;
            };
            if allocation.cpus > 0 || allocation.gpus > 0 {
                self.allocations.insert(job.clone(), allocation);
            }
            self.notes.insert(job.clone(), note);
        }
    }

    /// Whether a write may be sent: the record has been read, and no request is in flight.
    pub(super) fn can_write(&self) -> bool {
        self.is_read && !self.is_busy
    }

    /// Whether a write with unknown outcome should be settled by another write, even one without changes.
    pub(super) fn is_settling_due(&self, now: Micros) -> bool {
        self.unanswered.is_some() && now >= self.next_write
    }

    pub(super) fn allocated(&self) -> Resources {
        sum(self.allocations.values())
    }

    fn has_guarantee(&self) -> bool {
        self.guarantee.cpus > 0 || self.guarantee.gpus > 0
    }

    /// Requires that the record is read again as soon as possible.
    fn require_read(&mut self) {
        self.is_busy = false;
        self.is_read = false;
        self.next_read = Micros(0);
    }

    /// Adds the write in flight to the unanswered writes, because its outcome is unknown.
    fn mark_unanswered(&mut self) {
        let Some(mut write) = self.in_flight.take() else { return };
        if let Some(older) = &self.unanswered {
            // Each write can be applied only at its own base version. The record can be at no more than one of the two
            // versions, which the next read shows.
            write.allocations.retain(|job, allocation| {
                let Some(left) = older.allocations.get(job) else { return false };
                *allocation = Resources { memory: 0, ..Resources::min(*allocation, *left) };
                true
            });
            write.base_version = write.base_version.max(older.base_version);
        }
        self.unanswered = Some(write);
    }

    /// Drops the writes with an older base version than the record's version: they have been applied, or never will be.
    fn settle_older(&mut self, version: u64) {
        for write in [&mut self.in_flight, &mut self.unanswered] {
            if write.as_ref().is_some_and(|write| version > write.base_version) {
                *write = None;
            }
        }
    }

    /// The smallest allocation of a job in the record and in all writes that may still be applied. Nothing before the
    /// record has been read in this epoch.
    fn usable(&self, job: &str) -> Resources {
        // Guards against an allocation read in an earlier epoch: another leader of the job may have shrunk it since, and
        // other jobs have what was released.
        if !self.is_read_in_epoch {
            return Resources::default();
        }
        let unsettled = [&self.in_flight, &self.unanswered].into_iter().flatten();
        let recorded = self.allocations.get(job).copied().unwrap_or_default();
        unsettled.fold(recorded, |least, write| {
            let left = write.allocations.get(job).copied().unwrap_or_default();
            Resources { memory: 0, ..Resources::min(least, left) }
        })
    }
}

/// A team's guarantee in the settings and its stored allocations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamUsage<'a> {
    /// The team.
    pub team: &'a str,
    /// Its guarantee.
    pub guarantee: Resources,
    /// Sum of the allocations of its jobs.
    pub allocated: Resources,
}

/// Cache of the teams' records.
pub struct QuotaLedger {
    teams: BTreeMap<String, TeamQuota>,
}

impl QuotaLedger {
    /// Creates a ledger that has not read any record.
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

    /// Whether the team has a limit or a guarantee. Without either its jobs need no allocations. True for unknown
    /// teams.
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
        self.teams.get(team).is_some_and(TeamQuota::has_guarantee)
    }

    /// Whether a job is within its team's guarantee according to the record, given the allocations of the team's
    /// earlier jobs. `need` is used as the job's allocation while it has no stored allocation.
    #[must_use]
    pub fn tier_of(&self, team: &str, job: &str, accepted: Micros, need: Resources) -> QuotaTier {
        let Some(team) = self.teams.get(team) else { return QuotaTier::NoGuarantee };
        if team.has_guarantee() && !team.is_read_in_epoch {
            return QuotaTier::Unknown;
        }
        let taken = team.allocations.get(job).copied().unwrap_or(need);
        let others = team.allocations.iter().map(|(id, allocated)| tier::TeamJob {
            id: id.as_str(),
            accepted: team.notes.get(id).and_then(|note| note.accepted),
            allocated: *allocated,
        });
        tier::tier_of(team.guarantee, (tier::accepted_seconds(accepted), job), taken, others)
    }

    /// The resources that the job may use now.
    #[must_use]
    pub fn usable(&self, team: &str, job: &str) -> Resources {
        if !self.is_limited(team) {
            return Resources { cpus: UNLIMITED, gpus: UNLIMITED, memory: UNLIMITED };
        }
        let usable = self.teams.get(team).map(|team| team.usable(job)).unwrap_or_default();
        Resources { memory: UNLIMITED, ..usable }
    }

    /// The job's stored allocation.
    #[must_use]
    pub fn allocation(&self, team: &str, job: &str) -> Resources {
        self.teams.get(team).and_then(|team| team.allocations.get(job)).copied().unwrap_or_default()
    }

    /// Sum of the stored allocations of a team's jobs.
    #[must_use]
    pub fn allocated(&self, team: &str) -> Resources {
        self.teams.get(team).map(TeamQuota::allocated).unwrap_or_default()
    }

    /// The usage of all teams, sorted by name.
    pub fn usage(&self) -> impl Iterator<Item = TeamUsage<'_>> {
        self.teams.iter().map(|(name, team)| TeamUsage {
            team: name,
            guarantee: team.guarantee,
            allocated: team.allocated(),
        })
    }

    /// Begins a new epoch: all records must be read again before any allocation is used. Answers to reads that were sent
    /// in an earlier epoch must not be applied any more.
    pub fn begin_epoch(&mut self) {
        for team in self.teams.values_mut() {
            team.mark_unanswered();
            team.is_read = false;
            team.is_busy = false;
            team.is_read_in_epoch = false;
        }
    }

    /// The teams whose records have not been read in this epoch, so that none of their tasks may start.
    pub fn unread_teams(&self) -> impl Iterator<Item = &str> {
        let unread = self.teams.iter().filter(|(name, team)| !team.is_read_in_epoch && self.is_limited(name));
        unread.map(|(name, _)| name.as_str())
    }

    /// Applies rows of a listing of all teams' records. A record whose pages may go on in the next rows counts as not
    /// read, because these are listed at another time.
    pub fn apply_listed_rows(&mut self, rows: &[KeyValue], has_more: bool) {
        for team in self.team_names() {
            let first_key = record_pages::page_key(&team, FIRST_PAGE);
            let Some(first) = rows.iter().find(|row| row.key == first_key) else { continue };
            let is_page = |row: &KeyValue| record_pages::page_number(&team, &row.key).is_some();
            let is_cut_short = has_more && rows.last().is_some_and(is_page);
            if is_cut_short && record_pages::is_first_of_several(&first.value) {
                self.apply_record(&team, Some((&first.value, first.store_version)));
            } else {
                self.apply_rows(&team, rows, false);
            }
        }
    }

    /// Applies the first page of a team's record and its version as read from the store; None if there is no record. If it
    /// is the first of several, all of them must be read at once: see [`QuotaLedger::is_paged`].
    pub fn apply_record(&mut self, team: &str, record: Option<(&Value, u64)>) {
        if !record.is_some_and(|(value, _)| record_pages::is_first_of_several(value)) {
            return self.apply_pages(team, record.into_iter().map(|page| (FIRST_PAGE, page)));
        }
        self.require_read(team);
        if let Some(quota) = self.teams.get_mut(team) {
            quota.is_paged = true;
        }
    }

    /// Applies a team's record as read from the store by one request for all keys that begin like its key. The rows of
    /// other teams come last and are ignored. If there are more rows and these may be the record's, it counts as not read.
    pub fn apply_rows(&mut self, team: &str, rows: &[KeyValue], has_more: bool) {
        let numbered = |row: &KeyValue| record_pages::page_number(team, &row.key);
        if has_more && rows.last().is_some_and(|row| numbered(row).is_some()) {
            tracing::error!(team, "quota record too long to be read at once");
            return self.require_read(team);
        }
        let pages: Vec<(u32, (&Value, u64))> =
            rows.iter().filter_map(|row| Some((numbered(row)?, (&row.value, row.store_version)))).collect();
        self.apply_pages(team, pages.into_iter());
    }

    /// Applies the pages of a team's record. A malformed record counts as not read.
    fn apply_pages<'a>(&mut self, team: &str, pages: impl Iterator<Item = (u32, (&'a Value, u64))>) {
        let Some(quota) = self.teams.get_mut(team) else { return };
        quota.is_busy = false;
        let pages: BTreeMap<u32, (&Value, u64)> = pages.collect();
        let first = pages.get(&FIRST_PAGE).copied();
        let version = first.map_or(0, |(_, version)| version);
        // Ignores an answer that arrives after a newer one. The version only increases and a record is never deleted,
        // and an older record may hold larger allocations than jobs have now.
        if version < quota.version {
            return;
        }
        if pages.values().any(|(value, _)| record_pages::entries(value).is_none()) {
            tracing::error!(team, "malformed quota record");
            return;
        }
        quota.is_paged = first.is_some_and(|(value, _)| record_pages::is_first_of_several(value));
        quota.allocations.clear();
        quota.notes.clear();
        quota.pages = RecordPages::default();
        for (number, (value, version)) in pages {
            quota.apply_page(team, number, value, version);
        }
        quota.version = version;
        quota.is_read = true;
        if !quota.is_read_in_epoch {
            let (jobs, cpus) = (quota.allocations.len(), quota.allocated().cpus);
            tracing::debug!(team, version, jobs, cpus, "quota record read for the first time in this epoch");
        }
        quota.is_read_in_epoch = true;
        quota.settle_older(version);
    }

    /// Whether a team's record has several pages. They must be read by one request, because separate ones could show
    /// them at different times.
    #[must_use]
    pub fn is_paged(&self, team: &str) -> bool {
        self.teams.get(team).is_some_and(|team| team.is_paged)
    }

    /// Whether a team's record may have several pages.
    #[must_use]
    pub fn can_be_paged(&self, team: &str) -> bool {
        !record_pages::is_ambiguous(team, self.teams.keys())
    }

    /// Requires that the record is read again as soon as possible.
    pub fn require_read(&mut self, team: &str) {
        if let Some(team) = self.teams.get_mut(team) {
            team.require_read();
        }
    }

    /// The teams whose records must be read now: those not read in this epoch, those with a job that lacks quota which
    /// other controllers may have released, and those near their limit with unused allocations that other jobs may have
    /// requested. Each of them counts as busy until `apply_record` or `require_read`.
    #[must_use]
    pub fn next_reads(&mut self, now: Micros, needs: &BTreeMap<String, Vec<QuotaNeed>>) -> Vec<String> {
        let mut due = Vec::new();
        for name in self.team_names() {
            if !self.is_limited(&name) {
                continue;
            }
            let needs = needs.get(&name).map_or(&[][..], Vec::as_slice);
            let is_short = needs.iter().any(|need| self.is_short(&name, need));
            let has_unused = needs.iter().any(|need| {
                let allocation = Resources { memory: 0, ..self.allocation(&name, &need.job) };
                !need.in_use.can_hold(allocation)
            });
            let Some(team) = self.teams.get_mut(&name) else { continue };
            // A controller with unused allocations has no other reason to read the record and see the requests of
            // others.
            let used = team.allocated();
            let is_crowded = used.cpus > team.limit.cpus / 4 * 3 || used.gpus > team.limit.gpus / 4 * 3;
            let is_request_check_due =
                has_unused && is_crowded && now >= team.next_read + CROWDED_READ_INTERVAL;
            if !team.is_busy && now >= team.next_read && (!team.is_read || is_short || is_request_check_due) {
                team.next_read = now + READ_INTERVAL;
                team.is_busy = true;
                due.push(name);
            }
        }
        due
    }

    /// Whether a job could start more tasks than its allocation allows.
    fn is_short(&self, team: &str, need: &QuotaNeed) -> bool {
        let running = need.in_use.cpus / need.per_task.cpus.max(1);
        need.more_tasks > 0 && self.usable(team, &need.job).max_count_of(need.per_task) <= running
    }

    /// The next write of a team's record, if one is needed and may be sent now. It takes effect only when
    /// `begin_write` is called.
    #[must_use]
    pub fn next_write(&self, now: Micros, input: &AllocationInput) -> Option<AllocationWrite> {
        let team = self.teams.get(input.team)?;
        if !self.is_limited(input.team) || !team.can_write() {
            return None;
        }
        AllocationPass::new(team, input).run(now)
    }

    /// Records that a write is sent.
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

    /// Records that a write was committed and the record is at this version.
    pub fn commit_write(&mut self, write: AllocationWrite, version: u64) {
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        team.is_busy = false;
        if version > team.version {
            let is_paged = record_pages::is_first_of_several(&write.value);
            if is_paged != team.is_paged {
                tracing::info!(team = %write.team, is_paged, "quota record changed between one and several pages");
            }
            team.is_paged = is_paged;
            team.pages = write.committed_pages(version);
            team.allocations = write.allocations;
            team.notes = write.notes;
            team.version = version;
        }
        team.settle_older(team.version);
    }

    /// Records that a write failed. With `is_certain` it was not applied, otherwise its outcome is unknown. The
    /// record is read again.
    pub fn fail_write(&mut self, write: &AllocationWrite, is_certain: bool) {
        self.require_read(&write.team);
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        let is_same = |sent: &UnsettledWrite| {
            sent.base_version == write.base_version && sent.allocations == write.allocations
        };
        if !team.in_flight.as_ref().is_some_and(is_same) {
            return;
        }
        // Only the write in flight is settled. Earlier unanswered writes may still be applied, whatever the outcome of
        // this one.
        if is_certain {
            team.in_flight = None;
        } else {
            team.mark_unanswered();
        }
    }
}

/// A team's limit. A value of 0 in the settings means unlimited.
fn team_limit(cpus: f64, gpus: f64) -> Resources {
    let limit_or_unlimited =
        |limit: f64| if limit > 0.0 { (limit * 1000.0 + 1e-6) as i64 } else { UNLIMITED };
    Resources { cpus: limit_or_unlimited(cpus), gpus: limit_or_unlimited(gpus), memory: UNLIMITED }
}
