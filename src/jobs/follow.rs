//! Jobs that wait for others: which job waits for which, what is known of their ends, and the
//! urgency that a job has from those that need it.
//!
//! The evidence for a start is a prerequisite's end in the state service. An end never changes, so
//! whoever has seen it may rely on it for ever, whatever becomes of epochs, leases and messages: a
//! controller that is late, frozen or deposed can be slow to release a job, but not early.

use super::*;
use serde_json::Map;

/// Stands in the stored description of a job that waits, in place of the machine types it allows.
/// A controller of the first version doesn't know of prerequisites: it takes the job for one that no
/// machine suits, so it keeps, shows and cancels it, and starts nothing.
const HELD: &str = "(waits for other jobs)";
/// What of a stored description is ours alone, inside the description, which the first version hands
/// on untouched when it rewrites a record.
const TYPES: &str = "breedsOfStall";
const TYPES_AFTER: &str = "typesAfter";
const FOLLOWS: &str = "follows";
const RELEASED: &str = "releasedUs";

/// Who waits for whom.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Per prerequisite whose end is not known, the jobs that wait for it: an end touches only those.
    followers: BTreeMap<String, BTreeSet<String>>,
    /// Prerequisites whose end must be read, since no watch would tell of it.
    unread: BTreeSet<String>,
    /// Per controller, the jobs of ours that its waiting jobs need, and how urgent those are.
    urged: BTreeMap<usize, BTreeMap<String, u8>>,
}

impl Waiting {
    fn add(&mut self, job: &str, prerequisites: &BTreeSet<String>) {
        for p in prerequisites {
            let jobs = self.followers.entry(p.clone()).or_insert_with(|| {
                self.unread.insert(p.clone());
                BTreeSet::new()
            });
            jobs.insert(job.to_owned());
        }
    }

    fn remove(&mut self, job: &str, prerequisites: &BTreeSet<String>) {
        for p in prerequisites {
            if let Some(jobs) = self.followers.get_mut(p) {
                jobs.remove(job);
                if jobs.is_empty() {
                    self.followers.remove(p);
                    self.unread.remove(p);
                }
            }
        }
    }

    fn urgency(&self, job: &str) -> u8 {
        self.urged.values().filter_map(|l| l.get(job)).copied().max().unwrap_or(0)
    }
}

impl Job {
    /// Whether a job that it needs is not known to be done: nothing of it may start, and it holds no
    /// place in any queue.
    pub fn waits(&self) -> bool {
        !self.waits_for.is_empty()
    }
    /// The jobs that it waits for.
    pub fn waits_for(&self) -> impl Iterator<Item = &str> {
        self.waits_for.iter().map(String::as_str)
    }
    /// From when the times promised for its class count, its deadline aside.
    pub(super) fn ready_wall(&self) -> Micros {
        self.released_wall.unwrap_or(self.accepted_wall)
    }
}

/// Ids without what all have in common, in one text: hundreds must fit into a value.
fn packed(ids: &Value) -> Option<String> {
    let numbers = ids.as_array()?.iter().map(|v| v.as_str()?.strip_prefix("wk-"));
    Some(numbers.collect::<Option<Vec<_>>>()?.join(","))
}

/// The description to be stored for a job that waits.
pub(super) fn held(raw: &Value) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    if let Some(types) = map.insert(TYPES.into(), json!([HELD]))
        && !types.is_null()
    {
        map.insert(TYPES_AFTER.into(), types);
    }
    if let Some(text) = map.get(FOLLOWS).and_then(packed) {
        map.insert(FOLLOWS.into(), text.into());
    }
    Value::Object(map)
}

/// The description to be stored for a job that waits no more: a plain one, which every version runs.
pub(super) fn released(raw: &Value, at: Micros) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    map.remove(FOLLOWS);
    map.insert(RELEASED.into(), at.0.into());
    Value::Object(map)
}

/// The user's description again, from the stored one; None if that is of an unknown form.
pub(super) fn restored(stored: &Value) -> Option<Value> {
    let map = stored.as_object()?;
    let is_held = map.get(TYPES).and_then(|t| t.get(0)).is_some_and(|t| t == HELD);
    if !is_held {
        return Some(stored.clone());
    }
    let mut map: Map<String, Value> = map.clone();
    match map.remove(TYPES_AFTER) {
        Some(types) => map.insert(TYPES.into(), types),
        None => map.remove(TYPES),
    };
    let ids: Vec<Value> = map.get(FOLLOWS)?.as_str()?.split(',').map(|n| format!("wk-{n}").into()).collect();
    map.insert(FOLLOWS.into(), ids.into());
    Some(Value::Object(map))
}

/// When a stored job was released, if it ever waited.
pub(super) fn released_at(raw: &Value) -> Option<Micros> {
    raw.get(RELEASED)?.as_u64().map(Micros)
}

impl Owner {
    /// A job has come: notes what it waits for, and how urgent others make it.
    pub(super) fn note_waiting(&mut self, id: &str) {
        if let Some(j) = self.jobs.get(id) {
            self.waiting.add(id, &j.waits_for);
        }
        self.set_urgency(id);
    }

    /// A job has ended or is another's now.
    pub(super) fn forget_waiting(&mut self, id: &str, j: &Job) {
        self.waiting.remove(id, &j.waits_for);
    }

    /// A new epoch: what others said of urgency is said anew.
    pub(super) fn keep_waiting(&mut self) {
        let jobs = &self.jobs;
        self.waiting.followers.retain(|_, f| {
            f.retain(|id| jobs.contains_key(id));
            !f.is_empty()
        });
        let followers = &self.waiting.followers;
        self.waiting.unread.retain(|p| followers.contains_key(p));
        let urged: Vec<String> =
            std::mem::take(&mut self.waiting.urged).into_values().flat_map(BTreeMap::into_keys).collect();
        for id in urged {
            self.set_urgency(&id);
        }
    }

    /// Whether any job waits, so that ends must be watched.
    pub fn watches(&self) -> bool {
        !self.waiting.followers.is_empty()
    }
    /// Whether a job waits for this one.
    pub fn is_awaited(&self, prerequisite: &str) -> bool {
        self.waiting.followers.contains_key(prerequisite)
    }
    /// Nobody has watched ends for a while: all that matter must be read.
    pub fn unwatched(&mut self) {
        self.waiting.unread = self.waiting.followers.keys().cloned().collect();
    }
    /// The next prerequisite whose end must be read. From then on a watch that began before tells of it.
    pub fn next_unread(&mut self) -> Option<String> {
        self.waiting.unread.pop_first()
    }
    /// It could not be read.
    pub fn read_again(&mut self, prerequisite: &str) {
        if self.is_awaited(prerequisite) {
            self.waiting.unread.insert(prerequisite.to_owned());
        }
    }

    /// The store has the end of a job on record: those that wait for it go on, or end with it.
    pub fn prerequisite_ended(&mut self, prerequisite: &str, end: Final) {
        self.waiting.unread.remove(prerequisite);
        for id in self.waiting.followers.remove(prerequisite).unwrap_or_default() {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            match end {
                Final::Done => {
                    j.waits_for.remove(prerequisite);
                    if j.waits_for.is_empty() {
                        j.released_wall = Some(self.wall.max(j.accepted_wall));
                        let waited = self.wall.since(j.accepted_wall).secs();
                        tracing::info!(job = %id, last = prerequisite, waited, "job waits no more");
                    }
                }
                // It stays a waiting job until its own end is on record.
                Final::Cancelled => {
                    if j.ending.is_none() {
                        tracing::info!(job = %id, needs = prerequisite, "cancelled with a job that it needs");
                        j.ending = Some(Final::Cancelled);
                    }
                }
            }
            self.replan = true;
        }
    }

    /// What our waiting jobs need of one controller's jobs, and how urgent that is. Urgency passes on
    /// through jobs that wait themselves. Guarantees don't pass on: they are a team's own.
    pub fn urges(&self, owner: usize, m: &Membership) -> Vec<(String, u8)> {
        let theirs = self.waiting.followers.iter().filter(|(p, _)| m.job_owner(p) == Some(owner));
        theirs
            .map(|(p, jobs)| {
                let ranks = jobs.iter().filter_map(|id| self.jobs.get(id));
                let ranks = ranks.filter(|j| j.ending.is_none()).map(|j| j.spec.priority % GUARANTEED);
                (p.clone(), ranks.max().unwrap_or(0))
            })
            .filter(|(_, rank)| *rank > 0)
            .collect()
    }

    /// Takes what another controller's waiting jobs need of ours: the whole list.
    pub fn urged_by(&mut self, from: usize, list: Vec<(String, u8)>) {
        let list: BTreeMap<String, u8> = list.into_iter().collect();
        let before = self.waiting.urged.insert(from, list.clone()).unwrap_or_default();
        let changed = before.keys().chain(list.keys()).filter(|id| before.get(*id) != list.get(*id));
        for id in changed.cloned().collect::<BTreeSet<_>>() {
            self.set_urgency(&id);
        }
    }

    fn set_urgency(&mut self, id: &str) {
        let urgency = self.waiting.urgency(id);
        let Some(j) = self.jobs.get_mut(id) else { return };
        let guaranteed = j.rank / GUARANTEED * GUARANTEED;
        let priority = guaranteed + (j.rank % GUARANTEED).max(urgency.min(GUARANTEED - 1));
        if j.spec.priority != priority {
            tracing::debug!(
                job = id,
                from = j.spec.priority,
                to = priority,
                "priority from jobs that need it"
            );
            j.spec.priority = priority;
            self.replan = true;
        }
    }

    /// Jobs that wait, those that have waited for longest first. For operators.
    pub fn waiting_jobs(&self) -> Vec<&Job> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| j.waits()).collect();
        jobs.sort_by_key(|j| j.accepted_wall);
        jobs
    }
}
