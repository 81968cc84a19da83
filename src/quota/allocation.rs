//! The next change of a team's record: what is given back, what is allotted anew, and for whom room is left.

use super::allocation_notes::{AllocationNote, QueuePlace, QuotaRequest};
use super::ledger::TeamQuota;
use super::{remaining, sum, tier};
use crate::units::{Micros, Resources};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// How long room that nobody lacks may stay allotted.
const RELAXED_RELEASE_INTERVAL: Micros = Micros::from_millis(20_000);
/// How soon room that somebody waits for is given back.
const URGENT_RELEASE_INTERVAL: Micros = Micros::from_millis(1_000);
/// How often what a job waits for is put on record again: a controller of the first version takes it out with every
/// write, and the two must not take turns at it.
const REQUEST_INTERVAL: Micros = Micros::from_millis(20_000);
/// Most bytes that an allocation takes in a record, beside the job's name.
const ENTRY_BYTES: usize = 64;
/// Most bytes by which one becomes longer when it grows.
const GROWTH_BYTES: usize = 8;

/// What one job could use.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNeed {
    /// The job.
    pub job: String,
    /// What one task takes.
    pub per_task: Resources,
    /// What its tasks use now, unresolved and exiting ones included.
    pub in_use: Resources,
    /// Whether that is all: false while machines that may hold tasks of it have not been heard.
    pub is_usage_known: bool,
    /// How many more tasks could be started.
    pub more_tasks: i64,
    /// Whether all of them are needed at once.
    pub all_or_nothing: bool,
    /// The job's priority.
    pub priority: u8,
    /// When it was accepted, by the time of day.
    pub accepted: Micros,
}

impl QuotaNeed {
    fn target(&self) -> Resources {
        Resources { memory: 0, ..self.in_use + self.per_task.times(self.more_tasks) }
    }

    /// Its place among jobs that wait for the team's room.
    fn place(&self) -> QueuePlace<'_> {
        QueuePlace {
            priority: Reverse(self.priority),
            accepted: tier::accepted_seconds(self.accepted),
            job: &self.job,
        }
    }
}

/// What a change of a team's record is worked out from.
pub struct AllocationInput<'a> {
    /// The team.
    pub team: &'a str,
    /// Our live jobs, in the order in which they should get room.
    pub needs: &'a [QuotaNeed],
    /// Whether this controller leads the job.
    pub is_led_locally: &'a dyn Fn(&str) -> bool,
    /// Whether an allocation may be dropped for a job of ours that is not live: all its tasks must be gone.
    pub can_release: &'a dyn Fn(&str) -> bool,
    /// Most bytes that a record may have.
    pub value_bytes: usize,
}

/// A change of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationWrite {
    /// The team.
    pub team: String,
    /// The record's version that it builds on.
    pub base_version: u64,
    /// The new record.
    pub value: Value,
    /// The same, for when it is committed.
    pub allocations: BTreeMap<String, Resources>,
    pub(super) notes: BTreeMap<String, AllocationNote>,
}

/// A job of another controller that waits for room.
#[derive(Clone, Copy)]
struct WaitingJob<'a> {
    place: QueuePlace<'a>,
    lacking: Resources,
}

/// One pass over a team's record.
pub(super) struct AllocationPass<'a> {
    team: &'a TeamQuota,
    input: &'a AllocationInput<'a>,
    /// The allocations as they are to be.
    allocations: BTreeMap<String, Resources>,
    notes: BTreeMap<String, AllocationNote>,
    /// Jobs of other controllers that wait for room, those that are to have it first in front.
    waiting: Vec<WaitingJob<'a>>,
    /// Room that nobody is allotted.
    free: Resources,
    /// How much was given back.
    released: Resources,
    /// Whether a job was allotted more.
    has_grown: bool,
    /// The first of our jobs that needs all at once and lacks some.
    requester: Option<&'a QuotaNeed>,
    /// How long the record is, at the most.
    bytes: usize,
}

impl<'a> AllocationPass<'a> {
    pub(super) fn new(team: &'a TeamQuota, input: &'a AllocationInput<'a>) -> AllocationPass<'a> {
        AllocationPass {
            team,
            input,
            allocations: team.allocations.clone(),
            notes: team.notes.clone(),
            waiting: waiting_jobs(team, input),
            free: Resources::default(),
            released: Resources::default(),
            has_grown: false,
            requester: None,
            bytes: 0,
        }
    }

    /// The change that the record needs, if it is worth a write now.
    pub(super) fn run(mut self, now: Micros) -> Option<AllocationWrite> {
        self.drop_ended();
        self.shrink_unused();
        self.forget_requests();
        let used = sum(self.allocations.values());
        self.free = remaining(self.team.limit, used);
        // Without a count of the bytes, jobs that a record has no space for would keep even what shrinks from being
        // written.
        self.bytes = record(&self.allocations, &self.notes).to_string().len();
        for index in 0..self.input.needs.len() {
            self.grow(index);
        }
        self.leave_room();
        self.complete_notes();
        if !self.is_worth_a_write(now, used) {
            return None;
        }
        let value = record(&self.allocations, &self.notes);
        // A record from before the limit on values fell may be too long still: it waits until more jobs have ended.
        if value.to_string().len() > self.input.value_bytes {
            return None;
        }
        Some(AllocationWrite {
            team: self.input.team.into(),
            base_version: self.team.version,
            value,
            allocations: self.allocations,
            notes: self.notes,
        })
    }

    /// Drops the allocations of our jobs that have ended and all of whose tasks are gone.
    fn drop_ended(&mut self) {
        let AllocationInput { needs, is_led_locally: is_ours, can_release: is_released, .. } = self.input;
        let live: BTreeSet<&str> = needs.iter().map(|need| need.job.as_str()).collect();
        self.allocations.retain(|job, allocation| {
            let stays = !is_ours(job) || live.contains(job.as_str()) || !is_released(job);
            if !stays {
                self.released = self.released + *allocation;
            }
            stays
        });
    }

    /// Shrinks what is no longer of use, but only down to what is in use. What that is must be known: tasks on machines
    /// that have not been heard since a failover use room too, whatever is asked for the job meanwhile.
    fn shrink_unused(&mut self) {
        for need in self.input.needs.iter().filter(|need| need.is_usage_known) {
            let Some(allocation) = self.allocations.get_mut(&need.job) else { continue };
            let target = need.target();
            let shrunk = Resources { memory: 0, ..Resources::min(*allocation, target) };
            self.released = self.released + (*allocation - shrunk);
            *allocation = shrunk;
        }
    }

    /// Forgets what our own jobs waited for, which is worked out anew.
    fn forget_requests(&mut self) {
        let (is_ours, allocations) = (self.input.is_led_locally, &self.allocations);
        self.notes.retain(|job, note| {
            if is_ours(job) {
                note.request = None;
            }
            allocations.contains_key(job) || note.request.is_some()
        });
    }

    /// Allots to the job of this index what it lacks, or as much of that as is of use to it. Jobs that the record has no
    /// space for wait until others are done.
    fn grow(&mut self, index: usize) {
        let need = &self.input.needs[index];
        let is_new = !self.allocations.contains_key(&need.job);
        let added_bytes = if is_new { need.job.len() + ENTRY_BYTES } else { GROWTH_BYTES };
        if self.bytes + added_bytes > self.input.value_bytes {
            return;
        }
        let held = self.allocations.get(&need.job).copied().unwrap_or_default();
        let lacking = need.target() - held;
        let lacking = Resources { cpus: lacking.cpus.max(0), gpus: lacking.gpus.max(0), memory: 0 };
        if lacking.cpus <= 0 && lacking.gpus <= 0 {
            return;
        }
        // What less urgent jobs of ours don't use goes to one that can't do with less.
        if need.all_or_nothing && !self.free.can_hold(lacking) {
            self.take_back(self.input.needs[index + 1..].iter(), lacking);
        }
        let Some(added) = self.available_to(need, lacking) else {
            self.note_requester(need, lacking);
            return;
        };
        if added.cpus > 0 || added.gpus > 0 {
            self.free = self.free - added;
            self.bytes += added_bytes;
            self.allocations.insert(need.job.clone(), held + added);
            self.has_grown = true;
        }
    }

    /// How much of what a job lacks it can have, beside what is left to other controllers' jobs that come first; None if
    /// it needs all of it and that is not there.
    fn available_to(&self, need: &QuotaNeed, lacking: Resources) -> Option<Resources> {
        let place = need.place();
        let earlier = self.waiting.iter().filter(|job| job.place < place).map(|job| &job.lacking);
        let left = remaining(self.free, sum(earlier));
        if left.can_hold(lacking) {
            Some(lacking)
        } else if need.all_or_nothing {
            None
        } else {
            let tasks = left.max_count_of(need.per_task).clamp(0, need.more_tasks);
            Some(Resources { memory: 0, ..need.per_task.times(tasks) })
        }
    }

    /// Keeps room for the first of our jobs that needs all at once. Otherwise it might never begin: smaller ones would
    /// take each bit of room that comes free, here and on other controllers, and it would never be enough at one time.
    fn note_requester(&mut self, need: &'a QuotaNeed, lacking: Resources) {
        if self.requester.is_none() && self.team.limit.can_hold(need.target()) {
            self.requester = Some(need);
            self.free = remaining(self.free, lacking);
        }
    }

    /// Gives what less urgent jobs of ours don't use to those of other controllers that wait.
    fn leave_room(&mut self) {
        let needs = self.input.needs;
        for WaitingJob { place, lacking } in self.waiting.clone() {
            if !self.free.can_hold(lacking) {
                self.take_back(needs.iter().filter(|need| need.place() > place), lacking);
            }
            self.free = remaining(self.free, lacking);
        }
    }

    /// Takes back what `from`, the last first, are allotted and don't use, until there is room for `lacking`.
    /// Allocations never shrink below what is in use.
    fn take_back(&mut self, from: impl DoubleEndedIterator<Item = &'a QuotaNeed>, lacking: Resources) {
        for need in from.rev() {
            if self.free.can_hold(lacking) {
                return;
            }
            // Guards against an allocation below what runs: of a job taken over, tasks that we don't know of may be
            // alive.
            if !need.is_usage_known {
                continue;
            }
            let Some(allocation) = self.allocations.get_mut(&need.job) else { continue };
            // Of a gang's allocation a part is of no use to it.
            let kept = if need.all_or_nothing {
                Resources::default()
            } else {
                (*allocation - (lacking - self.free)).min(*allocation)
            };
            let shrunk = Resources { memory: 0, ..Resources::min(*allocation, need.in_use.max(kept)) };
            self.released = self.released + (*allocation - shrunk);
            self.free = self.free + (*allocation - shrunk);
            *allocation = shrunk;
        }
    }

    /// Writes down when our jobs were accepted, and what the first of them waits for.
    fn complete_notes(&mut self) {
        self.allocations.retain(|_, allocation| allocation.cpus > 0 || allocation.gpus > 0);
        for need in self.input.needs.iter().filter(|need| self.allocations.contains_key(&need.job)) {
            let note = self.notes.entry(need.job.clone()).or_default();
            note.accepted = Some(tier::accepted_seconds(need.accepted));
        }
        if let Some(need) = self.requester {
            let held = self.allocations.get(&need.job).copied().unwrap_or_default();
            let request = QuotaRequest { lacking: need.target() - held, priority: need.priority };
            let accepted = Some(tier::accepted_seconds(need.accepted));
            self.notes.insert(need.job.clone(), AllocationNote { accepted, request: Some(request) });
        }
        let allocations = &self.allocations;
        self.notes.retain(|job, note| allocations.contains_key(job) || note.request.is_some());
    }

    fn is_worth_a_write(&self, now: Micros, used: Resources) -> bool {
        // A write whose fate is unknown binds us to the lesser of two allocations until the version moves on.
        let is_due = self.team.needs_settling(now) || self.has_new_request(now);
        is_due || (self.allocations != self.team.allocations && !self.can_wait(now, used))
    }

    /// What a job waits for is worth a write, but not over and over.
    fn has_new_request(&self, now: Micros) -> bool {
        let requesters = |notes: &BTreeMap<String, AllocationNote>| -> Vec<String> {
            let ours =
                notes.iter().filter(|(job, note)| note.request.is_some() && (self.input.is_led_locally)(job));
            ours.map(|(job, _)| job.clone()).collect()
        };
        let (before, after) = (requesters(&self.team.notes), requesters(&self.notes));
        before.iter().any(|job| !after.contains(job))
            || (before != after && self.team.last_request.is_none_or(|at| now >= at + REQUEST_INTERVAL))
    }

    /// A change that only gives room back can wait and be lumped together, or go along with one that takes some. Where
    /// nobody is near the limit, for long: with many teams such changes would take most of the write budget, and jobs'
    /// ends would wait for theirs.
    fn can_wait(&self, now: Micros, used: Resources) -> bool {
        if self.has_grown {
            return false;
        }
        if !self.waiting.is_empty() {
            return now < self.team.last_write + URGENT_RELEASE_INTERVAL;
        }
        let limit = self.team.limit;
        let is_relaxed = used.cpus < limit.cpus / 2
            && used.gpus < limit.gpus / 2
            && self.bytes < self.input.value_bytes / 4 * 3;
        if is_relaxed {
            now < self.team.last_write + RELAXED_RELEASE_INTERVAL
        } else {
            now < self.team.next_write && self.released.cpus < limit.cpus / 8
        }
    }
}

/// The jobs of other controllers that wait for room which the team's limit allows.
fn waiting_jobs<'a>(team: &'a TeamQuota, input: &AllocationInput) -> Vec<WaitingJob<'a>> {
    let others = team.notes.iter().filter(|(job, _)| !(input.is_led_locally)(job));
    let waiting = others.filter_map(|(job, note)| {
        let lacking = note.request?.lacking;
        Some(WaitingJob { place: note.place(job)?, lacking })
    });
    let mut waiting: Vec<WaitingJob> = waiting.filter(|job| team.limit.can_hold(job.lacking)).collect();
    waiting.sort_unstable_by_key(|job| job.place);
    waiting
}

/// A team's record as it is stored.
fn record(allocations: &BTreeMap<String, Resources>, notes: &BTreeMap<String, AllocationNote>) -> Value {
    let note = |job: &str| notes.get(job).copied().unwrap_or_default();
    let allotted = allocations.iter().map(|(job, allocation)| (job.clone(), note(job).entry(*allocation)));
    let waiting = notes
        .iter()
        .filter(|(job, note)| note.request.is_some() && !allocations.contains_key(*job))
        .map(|(job, note)| (job.clone(), note.entry(Resources::default())));
    Value::Object(allotted.chain(waiting).collect())
}
