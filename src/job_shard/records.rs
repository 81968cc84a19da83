//! Jobs' records in the state service: their form, and the changes that are due.

use super::*;

impl JobShard {
    /// Reads a job's record.
    pub fn read_record(v: &Value) -> Option<(Value, JobSpec, Micros, Ranges)> {
        let raw = dependencies::restored(v.get("spec")?)?;
        let spec = JobSpec::from_value(&raw).ok()?;
        let accepted = Micros(v.get("accepted_us")?.as_u64()?);
        let done = Ranges::decode(v.get("done")?.as_str()?, spec.tasks)?;
        Some((raw, spec, accepted, done))
    }

    /// A job's record.
    pub fn record(raw: &Value, accepted: Micros, done: &str) -> Value {
        json!({"spec": raw, "accepted_us": accepted.0, "done": done})
    }

    /// The record of a job that waits for others.
    pub fn waiting_record(raw: &Value, accepted: Micros) -> Value {
        JobShard::record(&dependencies::held(raw, false), accepted, "")
    }

    /// The record of a job that is new.
    pub fn new_record(raw: &Value, spec: &JobSpec, accepted: Micros) -> Value {
        match (Hold::of(spec, raw).is_some(), spec.follows.is_empty()) {
            (true, _) => JobShard::record(&dependencies::held(raw, true), accepted, ""),
            (_, false) => JobShard::waiting_record(raw, accepted),
            _ => JobShard::record(raw, accepted, ""),
        }
    }

    /// The longest that a job's record may become, its progress aside, and its end's: to be looked at before it is
    /// taken, since what an end says may not be left out later.
    pub fn longest(raw: &Value, spec: &JobSpec, accepted: Micros) -> usize {
        let long = |v: Value| v.to_string().len();
        let first = long(JobShard::new_record(raw, spec, accepted));
        if !spec.has_coordination_record() {
            return first;
        }
        let later = JobShard::record(&dependencies::released(raw, accepted), accepted, "");
        let end = JobShard::end_record(raw, JobOutcome::Cancelled, spec.tasks);
        first.max(long(later)).max(long(end))
    }

    /// The record of a job's end.
    fn end_record(raw: &Value, f: JobOutcome, done: u32) -> Value {
        let mut v = json!({"end": if f == JobOutcome::Done { "done" } else { "cancelled" }, "done": done});
        if let Some(says) = dependencies::says(raw) {
            v["says"] = says;
        }
        v
    }

    /// A live job's description as it is to be stored.
    fn stored_raw(j: &Job) -> Value {
        match (j.waits(), j.released_wall) {
            (true, _) => dependencies::held(&j.raw, j.hold.is_some()),
            (false, Some(at)) => dependencies::released(&j.raw, at),
            (false, None) => j.raw.clone(),
        }
    }

    /// The next change of a job's record that is due: an end, or progress.
    pub fn next_write(&mut self, now: Micros, ends: bool) -> Option<(String, RecordWrite, u64)> {
        self.note_endings(now);
        if ends { self.next_end(now) } else { self.next_progress(now) }
    }

    /// The next end: cancellations first, whose users wait for it, and then those that have waited for longest. In any other
    /// order the same few would go last for as long as there are more ends than the state service takes.
    fn next_end(&mut self, now: Micros) -> Option<(String, RecordWrite, u64)> {
        // Guards against an end that is told by who owned the job before us and reads it there, while we have yet to hear that
        // our write was carried out and still say that the job runs.
        if !self.alone {
            return None;
        }
        let (mut next, mut over) = (None, Vec::new());
        let queue = std::mem::take(&mut self.endings.queue);
        for entry @ (done, _, id) in &queue {
            let Some(j) = self.jobs.get(id) else {
                over.push(entry.clone());
                continue;
            };
            // Guards against a start after the user was told that the job is cancelled: one that waits at a home, or is on
            // its way to a worker.
            let due = !j.writing && !j.verify && now >= j.next_write && (*done || self.withdrawn(now, id));
            if due {
                next = Some(id.clone());
                break;
            }
        }
        self.endings.queue = queue;
        over.iter().for_each(|entry| {
            self.endings.queue.remove(entry);
        });
        let id = next?;
        let j = self.jobs.get_mut(&id)?;
        let f = j.ending?;
        j.writing = true;
        let mut value = JobShard::end_record(&j.raw, f, j.done.len());
        if self.keep_class && value.get("says").is_none() {
            value["says"] = json!({"breed": j.spec.class});
        }
        Some((id, RecordWrite::End(f, value), j.store_version))
    }

    fn next_progress(&mut self, now: Micros) -> Option<(String, RecordWrite, u64)> {
        for (id, j) in &mut self.jobs {
            let due = !j.writing && !j.verify && now >= j.next_write.max(j.next_progress);
            if !due || j.ending.is_some() || j.done.len() <= j.durable.len() {
                continue;
            }
            let raw = JobShard::stored_raw(j);
            let raw_len = raw.to_string().len();
            let text = j.done.encode(self.value_bytes.saturating_sub(raw_len + 200));
            let kept = Ranges::decode(&text, j.spec.tasks).unwrap_or_default();
            // A description from before the limits fell may fill a value by itself: its progress stays
            // with the workers until its end, which is short, is on record.
            if kept == j.durable || raw_len + 60 > self.value_bytes {
                j.next_progress = now + Micros::from_millis(5000);
                continue;
            }
            j.writing = true;
            let value = JobShard::record(&raw, j.accepted_wall, &text);
            return Some((id.clone(), RecordWrite::Progress(value, kept), j.store_version));
        }
        None
    }

    /// Progress is on record: workers may forget those tasks.
    pub fn progress_written(&mut self, now: Micros, id: &str, kept: Ranges, store_version: u64) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        j.writing = false;
        j.store_version = j.store_version.max(store_version);
        j.durable = kept;
        // Its end doesn't wait for that.
        j.next_progress = now + Micros::from_millis(4000);
        let durable = j.durable.clone();
        for (k, l) in self.leftovers.range_mut((id.to_owned(), 0, String::new(), 0)..) {
            if k.0 != id {
                break;
            }
            if !l.alive && durable.contains(k.1) && l.want != DesiredAction::Forget {
                l.want = DesiredAction::Forget;
                touch(&mut self.touched, &k.2, &k.0, k.1, k.3);
            }
        }
    }

    /// A change of a record failed; if it may have been applied, its version is read first.
    pub fn write_failed(&mut self, now: Micros, id: &str, certain: bool) {
        if let Some(j) = self.jobs.get_mut(id) {
            j.writing = false;
            j.verify = !certain;
            j.next_write = now + Micros::from_millis(500);
        }
    }

    /// A job whose record's version must be read.
    pub fn next_verify(&self) -> Option<String> {
        self.jobs.iter().find(|(_, j)| j.verify && !j.writing).map(|(id, _)| id.clone())
    }
}
