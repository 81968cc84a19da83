//! Jobs that somebody else put on record in this epoch: while their owner did not answer, or had not yet read its records.
//!
//! Every write of a job's record names the epoch that it is made in, and in each epoch only the owner writes progress. So
//! a record written since this epoch was raised, and in no later one, of a job that we know nothing of, was accepted in
//! this epoch, and nobody can have started the job. A later one may have been raised while we read: what counts is that
//! the epoch record is read once more after the job's, and still names this epoch.

use super::*;

impl Owner {
    /// A job's record, read just now, was written after this epoch was raised.
    pub fn maybe_new(&mut self, now: Micros, id: &str) {
        if self.jobs.get(id).is_some_and(|j| !j.settled()) {
            self.maybe_new.entry(id.to_owned()).or_insert(now);
        }
    }

    /// The store said that this epoch is the newest; it was asked at `sent`.
    pub fn epoch_stands(&mut self, sent: Micros) {
        let jobs = &mut self.jobs;
        let before = self.maybe_new.len();
        self.maybe_new.retain(|id, read| {
            if *read >= sent {
                return true;
            }
            if let Some(j) = jobs.get_mut(id) {
                j.evidence = Evidence::Complete;
            }
            false
        });
        if self.maybe_new.len() < before {
            self.vouching.jobs_changed = true;
            self.replan = true;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{owner_of, raw};
    use super::*;
    use crate::units::Ranges;

    #[test]
    fn a_job_accepted_in_this_epoch_waits_for_nobody_once_the_epoch_is_seen_to_stand() {
        let (mut m, _, mut owner, _) = owner_of(raw("batch", 1, 0.0));
        owner.adopt(&m, false);
        owner.load_done(["i-1".to_owned()].into_iter());
        let at = Micros::from_millis;
        let read = |owner: &mut Owner, id: &str| {
            let mut r = raw("batch", 4, 0.0);
            r["uid"] = json!(id);
            let spec = Spec::from_value(&r).expect("valid");
            owner.insert(r, spec, Micros(1), Ranges::default(), 9, false);
        };
        read(&mut owner, "wk-2");
        read(&mut owner, "wk-3");
        owner.maybe_new(at(1000), "wk-3");
        owner.epoch_stands(at(1000));
        assert_eq!(owner.in_doubt(), 2, "asked before the record was read");
        owner.epoch_stands(at(1001));
        assert!(owner.jobs["wk-3"].settled() && !owner.jobs["wk-2"].settled());
        // What was read in one epoch says nothing in the next.
        read(&mut owner, "wk-4");
        owner.maybe_new(at(2000), "wk-4");
        m.adopt(at(2001), &crate::ring::EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
        owner.adopt(&m, true);
        owner.epoch_stands(at(3000));
        assert!(!owner.jobs["wk-4"].settled());
    }
}
