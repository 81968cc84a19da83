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
/// The same for a job that is held for a pact, whether it follows others or not. Versions before form 4 would start
/// one of the other sort as soon as all that it follows is done; this one suits no machine of theirs either.
const HELD_FOR: &str = "(held for a pact)";
const FOLLOWS_AFTER: &str = "followsAfter";
/// What of a stored description is ours alone, inside the description, which the first version hands
/// on untouched when it rewrites a record.
const TYPES: &str = "breedsOfStall";
const TYPES_AFTER: &str = "typesAfter";
const FOLLOWS: &str = "follows";
const RELEASED: &str = "releasedUs";
/// What a released job followed, packed: its end says so too.
const FOLLOWED: &str = "followed";

/// Why nothing of a job may start, beside the jobs that it follows. Only whoever has the evidence lifts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// A rotation whose release is not on record as complete; what it waits for.
    Release(String),
    /// A merge whose upstreams are not known to be fresh; what is old.
    Batch(String),
}

impl Hold {
    /// The hold that a job begins with.
    pub(super) fn of(spec: &JobSpec, raw: &Value) -> Option<Hold> {
        if spec.merges.is_some() {
            // Fresh inputs must be seen anew by each owner: a newer version may have come.
            return Some(Hold::Batch("its inputs have not been looked at yet".into()));
        }
        // What let a rotation go is on record for ever, so a released one needs no second look.
        (spec.is_rotation() && released_at(raw).is_none())
            .then(|| Hold::Release("its release has not been looked at yet".into()))
    }
    /// In words.
    pub fn why(&self) -> &str {
        match self {
            Hold::Release(why) | Hold::Batch(why) => why,
        }
    }
}

/// Who waits for whom.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// Per prerequisite whose end is not known, the jobs that wait for it: an end touches only those.
    followers: BTreeMap<String, BTreeSet<String>>,
    /// Prerequisites whose end must be read, since no watch would tell of it.
    unread: BTreeSet<String>,
    /// Per controller, the jobs of ours that its waiting jobs need, and how urgent those are.
    urged: BTreeMap<usize, BTreeMap<String, u8>>,
    /// Jobs that our held rotations wait for, and how urgent those are.
    for_releases: BTreeMap<String, u8>,
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
    /// Whether a job that it needs is not known to be done, or a hold is not lifted: nothing of it may start, and
    /// it holds no place in any queue. The one place that decides this.
    pub fn waits(&self) -> bool {
        !self.waits_for.is_empty() || self.hold.is_some()
    }
    /// What holds it beside the jobs that it follows.
    pub fn hold(&self) -> Option<&Hold> {
        self.hold.as_ref()
    }
    /// All jobs that it followed, also those that are done: as its user named them.
    pub fn followed(&self) -> Vec<String> {
        match self.spec.follows.is_empty() {
            false => self.spec.follows.clone(),
            true => self.raw.get(FOLLOWED).and_then(Value::as_str).map(unpacked).unwrap_or_default(),
        }
    }
    /// Its description as stored: with all that it says of pacts.
    pub fn raw(&self) -> &Value {
        &self.raw
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

/// Ids again from a packed text.
pub(crate) fn unpacked(text: &str) -> Vec<String> {
    text.split(',').filter(|n| !n.is_empty()).map(|n| format!("wk-{n}")).collect()
}

/// What a final record says of a job beside its end: what others may have to know of it for ever. None for jobs that
/// name no pact and followed nobody.
pub(super) fn says(raw: &Value) -> Option<Value> {
    let mut says = Map::new();
    for key in ["release", "batch", "merges"] {
        if let Some(v) = raw.get(key) {
            says.insert(key.into(), v.clone());
        }
    }
    let followed = match raw.get(FOLLOWS) {
        Some(ids) => packed(ids),
        None => raw.get(FOLLOWED).and_then(Value::as_str).map(str::to_owned),
    };
    if let Some(text) = followed {
        says.insert(FOLLOWS.into(), text.into());
    }
    if says.is_empty() {
        return None;
    }
    says.insert("breed".into(), raw.get("breed").cloned().unwrap_or_default());
    Some(Value::Object(says))
}

/// What a live job's record says of pacts, in the form of a final one's `says`; None if it says nothing.
pub fn says_of_record(record: &Value) -> Option<Value> {
    let spec = record.get("spec")?;
    let mut plain = spec.clone();
    // A waiting one is packed already.
    for key in [FOLLOWS, FOLLOWS_AFTER] {
        if let Some(text) = spec.get(key).and_then(Value::as_str) {
            let map = plain.as_object_mut()?;
            map.remove(key);
            map.insert(FOLLOWED.into(), text.into());
        }
    }
    says(&plain)
}

/// The description to be stored for a job that waits.
pub(super) fn held(raw: &Value, pact: bool) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    if let Some(types) = map.insert(TYPES.into(), json!([if pact { HELD_FOR } else { HELD }]))
        && !types.is_null()
    {
        map.insert(TYPES_AFTER.into(), types);
    }
    if let Some(text) = map.get(FOLLOWS).and_then(packed) {
        if pact {
            map.remove(FOLLOWS);
        }
        map.insert(if pact { FOLLOWS_AFTER } else { FOLLOWS }.into(), text.into());
    }
    Value::Object(map)
}

/// The description to be stored for a job that waits no more: a plain one, which every version runs.
pub(super) fn released(raw: &Value, at: Micros) -> Value {
    let Some(map) = raw.as_object() else { return raw.clone() };
    let mut map = map.clone();
    if let Some(text) = map.remove(FOLLOWS).as_ref().and_then(packed) {
        map.insert(FOLLOWED.into(), text.into());
    }
    map.insert(RELEASED.into(), at.0.into());
    Value::Object(map)
}

/// The user's description again, from the stored one; None if that is of an unknown form.
pub(super) fn restored(stored: &Value) -> Option<Value> {
    let map = stored.as_object()?;
    let held = map.get(TYPES).and_then(|t| t.get(0)).and_then(Value::as_str);
    let pact = held == Some(HELD_FOR);
    if !pact && held != Some(HELD) {
        return Some(stored.clone());
    }
    let mut map: Map<String, Value> = map.clone();
    match map.remove(TYPES_AFTER) {
        Some(types) => map.insert(TYPES.into(), types),
        None => map.remove(TYPES),
    };
    let ids = match pact {
        true => map.remove(FOLLOWS_AFTER),
        false => Some(map.remove(FOLLOWS)?),
    };
    if let Some(ids) = ids {
        map.insert(FOLLOWS.into(), unpacked(ids.as_str()?).into());
    }
    Some(Value::Object(map))
}

/// When a stored job was released, if it ever waited.
pub(super) fn released_at(raw: &Value) -> Option<Micros> {
    raw.get(RELEASED)?.as_u64().map(Micros)
}

impl JobShard {
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
    pub fn prerequisite_ended(&mut self, prerequisite: &str, end: JobOutcome) {
        self.waiting.unread.remove(prerequisite);
        for id in self.waiting.followers.remove(prerequisite).unwrap_or_default() {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            match end {
                JobOutcome::Done => {
                    j.waits_for.remove(prerequisite);
                    if !j.waits() {
                        j.released_wall = Some(self.wall.max(j.accepted_wall));
                        let waited = self.wall.since(j.accepted_wall).secs();
                        tracing::info!(job = %id, last = prerequisite, waited, "job waits no more");
                    }
                }
                // It stays a waiting job until its own end is on record.
                JobOutcome::Cancelled => {
                    if self.cancel(&id) {
                        tracing::info!(job = %id, needs = prerequisite, "cancelled with a job that it needs");
                    }
                }
            }
            self.replan = true;
        }
    }

    /// Lifts a job's hold: whoever calls this has the evidence.
    pub fn lift(&mut self, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        let Some(hold) = j.hold.take() else { return };
        if !j.waits() {
            j.released_wall = Some(self.wall.max(j.accepted_wall));
        }
        let waited = self.wall.since(j.accepted_wall).secs();
        tracing::info!(job = id, was = hold.why(), waited, "job is held no more");
        self.replan = true;
    }

    /// Holds a job, or says anew why it is held. What of it runs goes on: whoever holds it decides about that.
    pub fn hold(&mut self, id: &str, hold: Hold) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.hold = Some(hold);
        }
    }

    /// Jobs that are held and not about to end.
    pub fn held_jobs(&self) -> impl Iterator<Item = (&String, &Job, &Hold)> {
        self.jobs
            .iter()
            .filter(|(_, j)| j.ending.is_none())
            .filter_map(|(id, j)| j.hold.as_ref().map(|h| (id, j, h)))
    }

    /// What our waiting jobs need of one controller's jobs, and how urgent that is. Urgency passes on
    /// through jobs that wait themselves. Guarantees don't pass on: they are a team's own.
    pub fn urges(&self, owner: usize, m: &Membership) -> Vec<(String, u8)> {
        let theirs = self.waiting.followers.iter().filter(|(p, _)| m.job_leader(p) == Some(owner));
        let mut list: BTreeMap<String, u8> = theirs
            .map(|(p, jobs)| {
                let ranks = jobs.iter().filter_map(|id| self.jobs.get(id));
                let ranks = ranks.filter(|j| j.ending.is_none()).map(|j| j.spec.priority % GUARANTEED);
                (p.clone(), ranks.max().unwrap_or(0))
            })
            .collect();
        for (id, rank) in self.waiting.for_releases.iter().filter(|(id, _)| m.job_leader(id) == Some(owner)) {
            let r = list.entry(id.clone()).or_default();
            *r = (*r).max(*rank);
        }
        list.into_iter().filter(|(_, rank)| *rank > 0).collect()
    }

    /// When a job's release needs it, by the time of day.
    pub fn due(&mut self, id: &str, at: Option<Micros>) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.due = at;
        }
    }

    /// What our held rotations wait for, and how urgent those are: the whole list.
    pub fn releases_need(&mut self, list: BTreeMap<String, u8>) {
        self.waiting.for_releases = list;
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
