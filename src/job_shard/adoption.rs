//! Jobs that somebody else put on record in this epoch: while their owner did not answer, or had not yet read its records.
//!
//! Every write of a job's record names the epoch that it is made in, and in each epoch only the owner writes progress. So
//! a record written since this epoch was raised, and in no later one, of a job that we know nothing of, was accepted in
//! this epoch, and nobody can have started the job. A later one may have been raised while we read: what counts is that
//! the epoch record is read once more after the job's, and still names this epoch. Until then nothing of it is started.

use super::*;

impl JobShard {
    /// The record of a job that we knew nothing of, read just now, was written after this epoch was raised.
    pub fn maybe_new(&mut self, now: Micros, id: &str) {
        let Some(j) = self.jobs.get_mut(id) else { return };
        // Guards against a start by the owners of two epochs: while we act on in the older one, the job's owner in the newer
        // one may have accepted it there, and starts it at once. Whether our machines have been heard says nothing of that.
        j.evidence = Evidence::IfEpochStands;
        self.vouching.jobs_changed = true;
        self.maybe_new.entry(id.to_owned()).or_insert(now);
    }

    /// The store said that this epoch is the newest; it was asked at `sent`.
    pub fn epoch_stands(&mut self, sent: Micros) {
        let jobs = &mut self.jobs;
        let before = self.maybe_new.len();
        self.maybe_new.retain(|id, read| {
            if *read >= sent {
                return true;
            }
            if let Some(j) = jobs.get_mut(id).filter(|j| j.evidence == Evidence::IfEpochStands) {
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
    use super::super::tests::{owner_of, raw, whole};
    use super::*;
    use crate::units::Ranges;

    /// Found by the seeded sweep of overlapping pairs: `ran_twice`, by the owners of two epochs.
    #[test]
    fn what_was_written_since_the_epoch_began_is_not_started_before_that_is_seen_to_stand() {
        for (machines, late) in [(&[][..], false), (&["i-1"][..], false), (&["i-1"][..], true)] {
            let (mut m, _, mut owner, machine) = owner_of(raw("batch", 1, 0.0));
            owner.adopt(&m, false);
            let at = Micros::from_millis;
            let read = |owner: &mut JobShard| {
                let mut r = raw("batch", 4, 0.0);
                r["uid"] = json!("wk-2");
                let spec = JobSpec::from_value(&r).expect("valid");
                owner.insert(r, spec, Micros(1), Ranges::default(), 9, false);
                owner.maybe_new(at(1000), "wk-2");
            };
            // With the other records, or when somebody asks about it.
            if !late {
                read(&mut owner);
            }
            owner.load_done(machines.iter().map(|m| (*m).to_owned()));
            owner.digest(at(900), &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
            if late {
                read(&mut owner);
            }
            assert_eq!((owner.unheard(), owner.in_doubt()), (0, 1), "all machines have been heard");
            m.adopt_epoch(
                at(1100),
                &crate::membership::EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] },
                2,
            );
            let next = owner_in_next(&mut owner, &m);
            assert_eq!(next.in_doubt(), 1, "in the next epoch it waits like any other");
            next.digest(at(1200), &m, 0, whole(&m, 1, 0, vec![machine]));
            assert_eq!(next.in_doubt(), 0);
        }
    }

    /// Adopts the next epoch, in which a machine is on record.
    fn owner_in_next<'a>(owner: &'a mut JobShard, m: &Membership) -> &'a mut JobShard {
        owner.adopt(m, true);
        owner.load_done(["i-1".to_owned()].into_iter());
        owner
    }

    #[test]
    fn a_job_accepted_in_this_epoch_waits_for_nobody_once_the_epoch_is_seen_to_stand() {
        let (mut m, _, mut owner, _) = owner_of(raw("batch", 1, 0.0));
        owner.adopt(&m, false);
        owner.load_done(["i-1".to_owned()].into_iter());
        let at = Micros::from_millis;
        let read = |owner: &mut JobShard, id: &str| {
            let mut r = raw("batch", 4, 0.0);
            r["uid"] = json!(id);
            let spec = JobSpec::from_value(&r).expect("valid");
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
        m.adopt_epoch(
            at(2001),
            &crate::membership::EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] },
            2,
        );
        owner.adopt(&m, true);
        owner.epoch_stands(at(3000));
        assert!(!owner.jobs["wk-4"].settled());
    }
}
