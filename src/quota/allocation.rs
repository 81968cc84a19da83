//! Computes the next change of a team's record: released resources, new allocations, and requests of waiting jobs.

use super::allocation_notes::{AllocationNote, QueuePlace, QuotaRequest};
use super::allocation_write::{self, AllocationWrite};
use super::ledger::TeamQuota;
use super::record_pages::{FIRST_PAGE, PageSpace, RecordPages, encode_pages, entry_bytes};
use super::{remaining, sum, tier};
use crate::units::{Micros, Resources};
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
    /// Maximum size of a page of the record in bytes.
    pub value_bytes: usize,
    /// Most pages that one write may change. With 1 the record stays on its first page, which all versions read.
    pub max_pages: usize,
}

/// A job of another controller that waits for quota.
#[derive(Clone, Copy)]
struct WaitingJob<'a> {
    place: QueuePlace<'a>,
    lacking: Resources,
}

/// One computation of a change of a team's record.
#[derive(Clone)]
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
    /// The pages of the new record, and the space taken on them.
    pages: RecordPages,
    space: PageSpace,
    /// The pages whose entries may change; None: all.
    open_pages: Option<BTreeSet<u32>>,
    /// The pages on which allocations were increased, in the order of the queue.
    grown_pages: Vec<u32>,
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
            pages: team.pages.clone(),
            space: PageSpace::default(),
            open_pages: None,
            grown_pages: Vec::new(),
        }
    }

    /// Computes the change of the record. None if no write is needed now.
    pub(super) fn run(self, now: Micros) -> Option<AllocationWrite> {
        if self.input.max_pages > 1
            && let Some(write) = self.clone().shorten_overlong_page()
        {
            return Some(write);
        }
        let complete = self.clone().change_entries(now)?;
        let changed = complete.changed_pages();
        if changed.len() <= self.most_further_pages() {
            return complete.into_write();
        }
        // Only some pages fit into one write. Those on which jobs get resources are changed first, unless they can get
        // them only after resources are released on others.
        let grown = complete.grown_pages.iter().copied().filter(|page| changed.contains(page));
        let by_growth: Vec<u32> = grown.chain(changed.iter().copied()).collect();
        let by_release: Vec<u32> = by_growth.iter().rev().copied().collect();
        [by_growth, by_release].into_iter().find_map(|order| self.clone().change_some_pages(now, &order))
    }

    /// Most pages beside the first one that a write may change.
    fn most_further_pages(&self) -> usize {
        self.input.max_pages.saturating_sub(1)
    }

    /// Changes the first page and the first ones of `order`.
    fn change_some_pages(mut self, now: Micros, order: &[u32]) -> Option<AllocationWrite> {
        let mut open = BTreeSet::from([FIRST_PAGE]);
        for &page in order {
            if open.len() <= self.most_further_pages() {
                open.insert(page);
            }
        }
        self.open_pages = Some(open);
        self.change_entries(now)?.into_write()
    }

    /// Computes the new entries. None if no write is needed now.
    fn change_entries(mut self, now: Micros) -> Option<AllocationPass<'a>> {
        self.drop_ended();
        self.shrink_unused();
        self.clear_requests();
        let used = sum(self.allocations.values());
        self.free = remaining(self.team.limit, used);
        self.measure_space();
        for index in 0..self.input.needs.len() {
            self.grow_allocation(index);
        }
        self.release_for_waiting_jobs();
        self.complete_notes();
        self.is_write_due(now, used).then_some(self)
    }

    fn measure_space(&mut self) {
        let encoded = encode_pages(&self.allocations, &self.notes, &self.pages);
        self.space = PageSpace::of(&encoded, self.input.value_bytes);
    }

    /// Moves entries of a page that was written before the limit was lowered to other pages, and changes nothing else.
    /// None if no page is too long, or if the write would change too many pages.
    fn shorten_overlong_page(mut self) -> Option<AllocationWrite> {
        let encoded = encode_pages(&self.allocations, &self.notes, &self.pages);
        self.space = PageSpace::of(&encoded, self.input.value_bytes);
        let overlong = self.space.first_overlong()?;
        for (job, entry) in encoded[&overlong].iter().rev() {
            if self.space.first_overlong() != Some(overlong) {
                break;
            }
            let bytes = entry_bytes(job, entry);
            let page = self.find_page(bytes)?;
            self.space.give_back(overlong, bytes);
            self.space.take(page, bytes);
            self.pages.assign(job, page);
        }
        self.into_write()
    }

    /// The first page that has space for a new entry of this size.
    fn find_page(&self, bytes: usize) -> Option<u32> {
        let usable =
            self.pages.usable_pages().take_while(|&page| page == FIRST_PAGE || self.input.max_pages > 1);
        usable.filter(|&page| self.is_open(page)).find(|&page| self.space.has_space(page, bytes))
    }

    fn is_open(&self, page: u32) -> bool {
        self.open_pages.as_ref().is_none_or(|open| open.contains(&page))
    }

    /// Whether the entry of a job may change.
    fn may_change(&self, job: &str) -> bool {
        self.is_open(self.pages.page_of(job))
    }

    /// The pages beside the first one whose entries have changed.
    fn changed_pages(&self) -> BTreeSet<u32> {
        allocation_write::changed_pages(
            &encode_pages(&self.team.allocations, &self.team.notes, &self.team.pages),
            &encode_pages(&self.allocations, &self.notes, &self.pages),
        )
    }

    /// The write of the new entries. None if a page is too long: one that was written before the limit was lowered, in a
    /// record that must stay on its first page, is written after more jobs have ended.
    fn into_write(mut self) -> Option<AllocationWrite> {
        let (allocations, notes) = (&self.allocations, &self.notes);
        self.pages.retain(|job| allocations.contains_key(job) || notes.contains_key(job));
        AllocationWrite::build(self.team, self.input, self.allocations, self.notes, self.pages)
    }

    /// Drops the allocations of jobs led by this controller that have ended and whose tasks are all gone.
    fn drop_ended(&mut self) {
        let AllocationInput { needs, is_led_locally, can_release, .. } = self.input;
        let live: BTreeSet<&str> = needs.iter().map(|need| need.job.as_str()).collect();
        let closed = self.closed_jobs();
        self.allocations.retain(|job, allocation| {
            let is_kept = !is_led_locally(job)
                || live.contains(job.as_str())
                || !can_release(job)
                || closed.contains(job);
            if !is_kept {
                self.released = self.released + *allocation;
            }
            is_kept
        });
    }

    /// The jobs whose entries may not change.
    fn closed_jobs(&self) -> BTreeSet<String> {
        let jobs = self.allocations.keys().chain(self.notes.keys());
        if self.open_pages.is_none() {
            return BTreeSet::new();
        }
        jobs.filter(|job| !self.may_change(job)).cloned().collect()
    }

    /// Shrinks allocations that a job no longer needs, but never below the resources in use. Jobs whose use is not
    /// known completely are skipped: tasks on machines that have not sent a heartbeat since a failover use resources
    /// too.
    fn shrink_unused(&mut self) {
        for need in self.input.needs.iter().filter(|need| need.is_usage_known) {
            if !self.may_change(&need.job) {
                continue;
            }
            let Some(allocation) = self.allocations.get_mut(&need.job) else { continue };
            let target = need.target();
            let shrunk = Resources { memory: 0, ..Resources::min(*allocation, target) };
            self.released = self.released + (*allocation - shrunk);
            *allocation = shrunk;
        }
    }

    /// Clears the requests of jobs led by this controller, since they are computed again.
    fn clear_requests(&mut self) {
        let closed = self.closed_jobs();
        let (is_led_locally, allocations) = (self.input.is_led_locally, &self.allocations);
        self.notes.retain(|job, note| {
            if is_led_locally(job) && !closed.contains(job) {
                note.request = None;
            }
            allocations.contains_key(job) || note.request.is_some()
        });
    }

    /// Allocates to the job at `index` the resources that it lacks, or the part of them that it can use. A job for
    /// which a record that must stay on its first page has no space waits until other jobs have ended.
    fn grow_allocation(&mut self, index: usize) {
        let need = &self.input.needs[index];
        let Some((page, added_bytes)) = self.page_for_growth(need) else { return };
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
            self.put_on_page(&need.job, page, added_bytes);
            self.allocations.insert(need.job.clone(), current + added);
            self.has_grown = true;
            self.grown_pages.push(page);
        }
    }

    /// The page on which a job's allocation can grow, and the bytes that it then takes there in addition.
    fn page_for_growth(&self, need: &QuotaNeed) -> Option<(u32, usize)> {
        let present = self.pages.page_of(&need.job);
        if self.allocations.contains_key(&need.job) {
            if !self.is_open(present) {
                return None;
            }
            if self.space.has_space(present, GROWTH_BYTES) {
                return Some((present, GROWTH_BYTES));
            }
        }
        let entry_bytes = need.job.len() + ENTRY_BYTES;
        self.find_page(entry_bytes).map(|page| (page, entry_bytes))
    }

    /// Puts a job's entry on a page, with so many more bytes than it takes there now.
    fn put_on_page(&mut self, job: &str, page: u32, added_bytes: usize) {
        self.space.take(page, added_bytes);
        self.pages.assign(job, page);
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
            if !need.is_usage_known || !self.may_change(&need.job) {
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
            if !self.may_change(&need.job) {
                continue;
            }
            let note = self.notes.entry(need.job.clone()).or_default();
            note.accepted = Some(tier::accepted_seconds(need.accepted));
        }
        if let Some(need) = self.requester
            && let Some((page, added_bytes)) = self.page_for_request(need)
        {
            self.put_on_page(&need.job, page, added_bytes);
            let current = self.allocations.get(&need.job).copied().unwrap_or_default();
            let request = QuotaRequest { lacking: need.target() - current, priority: need.priority };
            let accepted = Some(tier::accepted_seconds(need.accepted));
            self.notes.insert(need.job.clone(), AllocationNote { accepted, request: Some(request) });
        }
        let allocations = &self.allocations;
        self.notes.retain(|job, note| allocations.contains_key(job) || note.request.is_some());
    }

    /// The page for a job's request, and the bytes that it takes there in addition. None if there is no space: a request
    /// that made its page too long would keep everything else from being written.
    fn page_for_request(&self, need: &QuotaNeed) -> Option<(u32, usize)> {
        let present = self.pages.page_of(&need.job);
        if self.allocations.contains_key(&need.job) {
            let has_space = self.is_open(present) && self.space.has_space(present, ENTRY_BYTES);
            return has_space.then_some((present, ENTRY_BYTES));
        }
        let entry_bytes = need.job.len() + ENTRY_BYTES;
        self.find_page(entry_bytes).map(|page| (page, entry_bytes))
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
            && (self.input.max_pages > 1 || self.space.is_first_page_relaxed());
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
