//! The record of a batch: its version and the permits that are held.

use hazelsaddle_coordination::record::{CoordinationRecord, TransitionError, Unreadable};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Marks of writes that are over, kept at the most; the oldest go first.
const MARKS: usize = 32;

/// Who writes: one task's attempt. A gang writes as one: its permit serves all its tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Writer {
    /// The merge.
    pub job: String,
    /// Its attempt.
    pub attempt: u64,
    /// Its task; None for a gang.
    pub task: Option<u32>,
}

/// A permit to write tables of a batch.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The merge.
    pub job: String,
    /// Its attempt.
    pub attempt: u64,
    /// Its task; missing for a gang.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<u32>,
    /// Rises with each permit of the batch, so that whoever keeps the tables can turn an older writer away.
    pub fence: u64,
    /// The version that is written.
    pub version: u64,
}

impl Permit {
    fn is_of(&self, w: &Writer) -> bool {
        self.job == w.job && self.task == w.task
    }
}

/// What is on record of a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Batch {
    /// Its version. It only rises.
    pub version: u64,
    /// The fence of the newest permit. It only rises, also when permits end.
    pub fence: u64,
    /// Permits that are held.
    pub permits: Vec<Permit>,
    /// `(V, F)`: version V was recorded while the permit with fence F was held, so F's write came before it.
    pub after: Vec<(u64, u64)>,
}

/// What becomes of a `put`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is at this version already; nothing is to be written.
    Same,
    /// This is to be written, on condition of the mark of what was read.
    Raised(Batch),
}

/// What becomes of a question for a permit, the guard aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The very attempt holds one; nothing is to be written. It stays good when a newer version was recorded since: that
    /// came after this write.
    Held(Permit),
    /// This is to be written, on condition of the mark of what was read; only then is the permit given.
    New(Batch, Permit),
    /// A newer attempt of the task holds one.
    Overtaken,
    /// As many are held as fit on the record: ask again.
    Full,
}

#[derive(Deserialize)]
struct Body {
    fence: u64,
    permits: Vec<Permit>,
    after: Vec<(u64, u64)>,
}

impl Batch {
    /// A batch of which nothing was ever on record.
    #[must_use]
    pub fn first(version: u64) -> Batch {
        Batch { version, ..Batch::default() }
    }

    /// Reads a record.
    ///
    /// # Errors
    /// If its body is damaged.
    pub fn read(r: &CoordinationRecord) -> Result<Batch, Unreadable> {
        let body: Body = serde_json::from_value(r.body.clone()).map_err(|_| Unreadable::Damaged("body"))?;
        Ok(Batch { version: r.version, fence: body.fence, permits: body.permits, after: body.after })
    }

    /// The record to be written.
    #[must_use]
    pub fn record(&self) -> CoordinationRecord {
        let body: Value = json!({"fence": self.fence, "permits": self.permits, "after": self.after});
        CoordinationRecord::open(self.version, body)
    }

    /// Somebody names a version: an operator, or a run that is submitted.
    ///
    /// # Errors
    /// If a higher one is on record.
    pub fn put(&self, version: u64) -> Result<Put, TransitionError> {
        if version < self.version {
            return Err(TransitionError::Version(self.version));
        }
        if version == self.version {
            return Ok(Put::Same);
        }
        let mut next = Batch { version, ..self.clone() };
        for p in &self.permits {
            // The first newer version says it all: what follows on that is after the write as well.
            if !self.after.iter().any(|(_, f)| *f == p.fence) {
                next.after.push((version, p.fence));
            }
        }
        next.trim();
        Ok(Put::Raised(next))
    }

    /// A writer for which the guard found all fresh asks for a permit. `bytes`: longest value of the state service.
    #[must_use]
    pub fn grant(&self, w: &Writer, bytes: usize) -> Grant {
        let held = self.permits.iter().filter(|p| p.is_of(w));
        match held.max_by_key(|p| p.attempt) {
            Some(p) if p.attempt == w.attempt => return Grant::Held(p.clone()),
            Some(p) if p.attempt > w.attempt => return Grant::Overtaken,
            _ => {}
        }
        let permit = Permit {
            job: w.job.clone(),
            attempt: w.attempt,
            task: w.task,
            fence: self.fence + 1,
            version: self.version,
        };
        let mut next = Batch { fence: permit.fence, ..self.clone() };
        // An older attempt of the task has ended, or nothing newer could ask.
        next.permits.retain(|p| !p.is_of(w));
        next.permits.push(permit.clone());
        next.trim();
        // Room is left for a mark on each permit: a newer version must always fit.
        let marks = next.permits.len() * 44;
        if next.record().value().to_string().len() + marks > bytes {
            next.after.retain(|(_, f)| next.permits.iter().any(|p| p.fence == *f));
            if next.record().value().to_string().len() + marks > bytes {
                return Grant::Full;
            }
        }
        Grant::New(next, permit)
    }

    /// The permit that a writer holds.
    #[must_use]
    pub fn held_by(&self, w: &Writer) -> Option<&Permit> {
        self.permits.iter().find(|p| p.is_of(w) && p.attempt == w.attempt)
    }

    /// Permits whose attempts have ended are given back. None: none of them has.
    #[must_use]
    pub fn release(&self, ended: impl Fn(&Permit) -> bool) -> Option<Batch> {
        let mut next = self.clone();
        next.permits.retain(|p| !ended(p));
        (next.permits.len() < self.permits.len()).then_some(next)
    }

    /// Marks of writes that are over are kept for a while; those of permits that are held stay.
    fn trim(&mut self) {
        let permits = &self.permits;
        let held = |f: u64| permits.iter().any(|p| p.fence == f);
        let over = self.after.iter().filter(|(_, f)| !held(*f)).count();
        let mut drop = over.saturating_sub(MARKS);
        self.after.retain(|(_, f)| {
            let goes = drop > 0 && !held(*f);
            drop -= usize::from(goes);
            !goes
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn writer(job: &str, attempt: u64) -> Writer {
        Writer { job: job.into(), attempt, task: Some(0) }
    }

    #[test]
    fn a_version_only_rises_and_twice_is_fine() {
        let b = Batch::first(7);
        assert_eq!(b.put(6), Err(TransitionError::Version(7)));
        assert_eq!(b.put(7), Ok(Put::Same));
        let Ok(Put::Raised(next)) = b.put(9) else { panic!("not raised") };
        assert_eq!(next.version, 9);
        assert_eq!(Batch::read(&next.record()), Ok(next));
        assert!(Batch::read(&CoordinationRecord::open(1, json!({"fence": 1}))).is_err());
    }

    #[test]
    fn a_newer_version_is_marked_as_after_a_write_under_way() {
        let Grant::New(b, p) = Batch::first(7).grant(&writer("m", 1), 2000) else { panic!("no permit") };
        let Ok(Put::Raised(b)) = b.put(8) else { panic!("not raised") };
        let Ok(Put::Raised(b)) = b.put(9) else { panic!("not raised") };
        assert_eq!(b.after, [(8, p.fence)], "the first says it all");
        assert_eq!(b.grant(&writer("m", 1), 2000), Grant::Held(p), "a repeated question");
        let b = b.release(|p| p.attempt == 1).expect("one was held");
        assert_eq!((b.permits.len(), b.fence, b.after.len()), (0, 1, 1));
        assert_eq!(b.release(|_| true), None);
    }

    #[test]
    fn an_older_attempt_gets_none_and_a_newer_one_takes_its_place() {
        let Grant::New(b, _) = Batch::first(7).grant(&writer("m", 2), 2000) else { panic!("no permit") };
        assert_eq!(b.grant(&writer("m", 1), 2000), Grant::Overtaken);
        let Grant::New(b, p) = b.grant(&writer("m", 3), 2000) else { panic!("no permit") };
        assert_eq!((b.permits.as_slice(), p.fence), ([p.clone()].as_slice(), 2));
    }

    proptest! {
        /// Whatever comes in whatever order: versions and fences rise, permits are of the version of their time, each
        /// newer version is marked on each that is held, and the record fits.
        #[test]
        fn the_record_keeps_its_promises(ops in prop::collection::vec((0u8..3, 0u64..12, 0u64..4), 0..300)) {
            const BYTES: usize = 2000;
            let mut b = Batch::first(1);
            for (op, x, y) in ops {
                let before = b.clone();
                match op {
                    0 => if let Ok(Put::Raised(next)) = b.put(x + b.version.saturating_sub(4)) { b = next },
                    1 => if let Grant::New(next, p) = b.grant(&writer(&format!("wk-{x:06}"), y), BYTES) {
                        prop_assert!(p.fence > b.fence && p.version == b.version);
                        b = next;
                    },
                    _ => if let Some(next) = b.release(|p| p.fence % 3 == y) { b = next },
                }
                prop_assert!(b.version >= before.version && b.fence >= before.fence);
                prop_assert!(b.record().value().to_string().len() <= BYTES);
                for p in &b.permits {
                    let marked = b.after.iter().any(|(v, f)| *f == p.fence && *v > p.version);
                    prop_assert_eq!(marked, b.version > p.version);
                }
                prop_assert_eq!(Batch::read(&b.record()), Ok(b.clone()));
            }
        }
    }
}
