//! Computes the next change of a team's record: released resources, new allocations, and requests of waiting jobs.

use super::allocation_notes::{AllocationNote, QueuePlace, QuotaRequest};
use super::ledger::TeamQuota;
use super::{remaining, sum, tier};
use crate::units::{Micros, Resources};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Least time from a write to one that only releases resources, while the team is far from its limit.
const RELAXED_RELEASE_INTERVAL: Micros = Micros::from_millis(20_000);
/// Least time from a write to one that only releases resources, while a job of another controller waits for quota.
const URGENT_RELEASE_INTERVAL: Micros = Micros::from_millis(1_000);
/// Least time between two writes of a job's request. A controller of version 1 drops requests with every write, so
/// without this limit the two controllers would overwrite each other all the time.
const REQUEST_INTERVAL: Micros = Micros::from_millis(20_000);
/// Most bytes of a new entry in a record, without the job's id.
const ENTRY_BYTES: usize = 64;
/// Most bytes by which an entry becomes longer when its allocation grows.
const GROWTH_BYTES: usize = 8;

/// The resources that one job uses and could use.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNeed {
    /// The job.
    pub job: String,
    /// Resources of one task.
    pub per_task: Resources,
    /// Resources used by its tasks now, including unresolved and exiting ones.
    pub in_use: Resources,
    /// Whether `in_use` is complete. False while machines that may hold tasks of the job have not sent a heartbeat.
    pub is_usage_known: bool,
    /// How many more tasks could be started.
    pub more_tasks: i64,
    /// Whether all of these tasks must start together, as in a gang.
    pub all_or_nothing: bool,
    /// The job's priority.
    pub priority: u8,
    /// When it was accepted, in wall-clock time.
    pub accepted: Micros,
}

impl QuotaNeed {
    fn target(&self) -> Resources {
        Resources { memory: 0, ..self.in_use + self.per_task.times(self.more_tasks) }
    }

    /// Its place in the queue for the team's quota.
    fn place(&self) -> QueuePlace<'_> {
        QueuePlace {
            priority: Reverse(self.priority),
            accepted: tier::accepted_seconds(self.accepted),
            job: &self.job,
        }
    }
}

/// Input for computing a change of a team's record.
pub struct AllocationInput<'a> {
    /// The team.
    pub team: &'a str,
    /// The live jobs that this controller leads, in the order in which they should get resources.
    pub needs: &'a [QuotaNeed],
    /// Whether this controller leads the job.
    pub is_led_locally: &'a dyn Fn(&str) -> bool,
    /// Whether the allocation of a job that this controller leads and that is no longer live may be released, because
    /// all its tasks are gone.
    pub can_release: &'a dyn Fn(&str) -> bool,
    /// Maximum size of a record in bytes.
    pub value_bytes: usize,
}

/// A change of a team's record.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocationWrite {
    /// The team.
    pub team: String,
    /// The version of the record to which the change applies.
    pub base_version: u64,
    /// The new record, encoded.
    pub value: Value,
    /// The allocations in the new record.
    pub allocations: BTreeMap<String, Resources>,
    pub(super) notes: BTreeMap<String, AllocationNote>,
}

/// A job of another controller that waits for quota.
#[derive(Clone, Copy)]
struct WaitingJob<'a> {
    place: QueuePlace<'a>,
    lacking: Resources,
}

/// One computation of a change of a team's record.
pub(super) struct AllocationPass<'a> {
    team: &'a TeamQuota,
    input: &'a AllocationInput<'a>,
    /// The new allocations.
    allocations: BTreeMap<String, Resources>,
    notes: BTreeMap<String, AllocationNote>,
    /// Jobs of other controllers that wait for quota, in the order of the queue.
    waiting: Vec<WaitingJob<'a>>,
    /// Quota that is not allocated.
    free: Resources,
    /// Quota that was released.
    released: Resources,
    /// Whether an allocation was increased.
    has_grown: bool,
    /// The first job led by this controller that needs all its resources at once and lacks some.
    requester: Option<&'a QuotaNeed>,
    /// Upper bound of the size of the new record.
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

    /// Computes the change of the record. None if no write is needed now.
    pub(super) fn run(mut self, now: Micros) -> Option<AllocationWrite> {
        self.drop_ended();
        self.shrink_unused();
        self.clear_requests();
        let used = sum(self.allocations.values());
        self.free = remaining(self.team.limit, used);
        // The size is tracked because a record that grows beyond the limit can't be written at all, so not even
        // released resources could be stored.
        self.bytes = encode_record(&self.allocations, &self.notes).to_string().len();
        for index in 0..self.input.needs.len() {
            self.grow_allocation(index);
        }
        self.release_for_waiting_jobs();
        self.complete_notes();
        if !self.is_write_due(now, used) {
            return None;
        }
        let value = encode_record(&self.allocations, &self.notes);
        // A record written before the limit was lowered may still be too long. It is written after more jobs have
        // ended.
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

    /// Drops the allocations of jobs led by this controller that have ended and whose tasks are all gone.
    fn drop_ended(&mut self) {
        let AllocationInput { needs, is_led_locally, can_release, .. } = self.input;
        let live: BTreeSet<&str> = needs.iter().map(|need| need.job.as_str()).collect();
        self.allocations.retain(|job, allocation| {
            let is_kept = !is_led_locally(job) || live.contains(job.as_str()) || !can_release(job);
            if !is_kept {
                self.released = self.released + *allocation;
            }
            is_kept
        });
    }

    /// Shrinks allocations that a job no longer needs, but never below the resources in use. Jobs whose use is not
    /// known completely are skipped: tasks on machines that have not sent a heartbeat since a failover use resources
    /// too.
    fn shrink_unused(&mut self) {
        for need in self.input.needs.iter().filter(|need| need.is_usage_known) {
            let Some(allocation) = self.allocations.get_mut(&need.job) else { continue };
            let target = need.target();
            let shrunk = Resources { memory: 0, ..Resources::min(*allocation, target) };
            self.released = self.released + (*allocation - shrunk);
            *allocation = shrunk;
        }
    }

    /// Clears the requests of jobs led by this controller, since they are computed again.
    fn clear_requests(&mut self) {
        let (is_led_locally, allocations) = (self.input.is_led_locally, &self.allocations);
        self.notes.retain(|job, note| {
            if is_led_locally(job) {
                note.request = None;
            }
            allocations.contains_key(job) || note.request.is_some()
        });
    }

    /// Allocates to the job at `index` the resources that it lacks, or the part of them that it can use. A job for
    /// which the record has no space waits until other jobs have ended.
    fn grow_allocation(&mut self, index: usize) {
        let need = &self.input.needs[index];
        let is_new = !self.allocations.contains_key(&need.job);
        let added_bytes = if is_new { need.job.len() + ENTRY_BYTES } else { GROWTH_BYTES };
        if self.bytes + added_bytes > self.input.value_bytes {
            return;
        }
        let current = self.allocations.get(&need.job).copied().unwrap_or_default();
        let lacking = need.target() - current;
        let lacking = Resources { cpus: lacking.cpus.max(0), gpus: lacking.gpus.max(0), memory: 0 };
        if lacking.cpus <= 0 && lacking.gpus <= 0 {
            return;
        }
        // A job that needs all its resources at once gets the unused allocations of less urgent jobs.
        if need.all_or_nothing && !self.free.can_hold(lacking) {
            self.release_unused(self.input.needs[index + 1..].iter(), lacking);
        }
        let Some(added) = self.available_to(need, lacking) else {
            self.set_requester(need, lacking);
            return;
        };
        if added.cpus > 0 || added.gpus > 0 {
            self.free = self.free - added;
            self.bytes += added_bytes;
            self.allocations.insert(need.job.clone(), current + added);
            self.has_grown = true;
        }
    }

    /// How much of the resources that a job lacks it can get, without those left for earlier jobs of other controllers.
    /// None if it needs all of them and not all are available.
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

    /// Reserves resources for the first job that needs all of them at once and lacks some. Otherwise it might never
    /// start: smaller jobs, here and on other controllers, would take all released resources before there are enough.
    fn set_requester(&mut self, need: &'a QuotaNeed, lacking: Resources) {
        if self.requester.is_none() && self.team.limit.can_hold(need.target()) {
            self.requester = Some(need);
            self.free = remaining(self.free, lacking);
        }
    }

    /// Releases the unused allocations of less urgent jobs for waiting jobs of other controllers.
    fn release_for_waiting_jobs(&mut self) {
        let needs = self.input.needs;
        for WaitingJob { place, lacking } in self.waiting.clone() {
            if !self.free.can_hold(lacking) {
                self.release_unused(needs.iter().filter(|need| need.place() > place), lacking);
            }
            self.free = remaining(self.free, lacking);
        }
    }

    /// Releases unused allocations of the jobs in `from`, the last one first, until `lacking` is free. Allocations
    /// never shrink below the resources in use.
    fn release_unused(&mut self, from: impl DoubleEndedIterator<Item = &'a QuotaNeed>, lacking: Resources) {
        for need in from.rev() {
            if self.free.can_hold(lacking) {
                return;
            }
            // Prevents an allocation below the actual use: a job taken over from another leader may have running tasks
            // that this controller has no record of yet.
            if !need.is_usage_known {
                continue;
            }
            let Some(allocation) = self.allocations.get_mut(&need.job) else { continue };
            // A gang can't use a part of its allocation, so all of it is released.
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

    /// Records when the jobs led by this controller were accepted, and the request of the requester.
    fn complete_notes(&mut self) {
        self.allocations.retain(|_, allocation| allocation.cpus > 0 || allocation.gpus > 0);
        for need in self.input.needs.iter().filter(|need| self.allocations.contains_key(&need.job)) {
            let note = self.notes.entry(need.job.clone()).or_default();
            note.accepted = Some(tier::accepted_seconds(need.accepted));
        }
        if let Some(need) = self.requester {
            let current = self.allocations.get(&need.job).copied().unwrap_or_default();
            let request = QuotaRequest { lacking: need.target() - current, priority: need.priority };
            let accepted = Some(tier::accepted_seconds(need.accepted));
            self.notes.insert(need.job.clone(), AllocationNote { accepted, request: Some(request) });
        }
        let allocations = &self.allocations;
        self.notes.retain(|job, note| allocations.contains_key(job) || note.request.is_some());
    }

    fn is_write_due(&self, now: Micros, used: Resources) -> bool {
        // A write with an unknown outcome limits jobs to the smaller of two allocations until the version increases.
        let is_due = self.team.is_settling_due(now) || self.has_changed_requests(now);
        is_due || (self.allocations != self.team.allocations && !self.can_be_delayed(now, used))
    }

    /// Whether the set of requesting jobs has changed. Added requests are rate-limited, see `REQUEST_INTERVAL`.
    fn has_changed_requests(&self, now: Micros) -> bool {
        let requesters = |notes: &BTreeMap<String, AllocationNote>| -> Vec<String> {
            let local_requests =
                notes.iter().filter(|(job, note)| note.request.is_some() && (self.input.is_led_locally)(job));
            local_requests.map(|(job, _)| job.clone()).collect()
        };
        let (before, after) = (requesters(&self.team.notes), requesters(&self.notes));
        before.iter().any(|job| !after.contains(job))
            || (before != after && self.team.last_request.is_none_or(|at| now >= at + REQUEST_INTERVAL))
    }

    /// Whether the change only releases resources and can be delayed, so that it is batched with others or combined
    /// with a new allocation. The delay is long while the team is far from its limit: with many teams such changes
    /// would use most of the write budget and delay the records of ended jobs.
    fn can_be_delayed(&self, now: Micros, used: Resources) -> bool {
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

/// The jobs of other controllers that wait for quota and fit into the team's limit.
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

/// Encodes a team's record.
fn encode_record(
    allocations: &BTreeMap<String, Resources>,
    notes: &BTreeMap<String, AllocationNote>,
) -> Value {
    let note = |job: &str| notes.get(job).copied().unwrap_or_default();
    let allocated =
        allocations.iter().map(|(job, allocation)| (job.clone(), note(job).encode_entry(*allocation)));
    let waiting = notes
        .iter()
        .filter(|(job, note)| note.request.is_some() && !allocations.contains_key(*job))
        .map(|(job, note)| (job.clone(), note.encode_entry(Resources::default())));
    Value::Object(allocated.chain(waiting).collect())
}
