//! The rules, and what must be true of a whole day.

use super::*;

impl World {
    pub(crate) fn check(&self) {
        let mut on: BTreeMap<(&str, u32), &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, i64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for w in self.workers.iter().filter(|w| !w.gone && !w.dead) {
            // A machine whose lease ran out while it hung kills its tasks before anything else.
            if self.now > w.lease_from + (LEASE_S * 1e6) as u64 {
                continue;
            }
            for t in w.tasks.iter().filter(|t| t.on()) {
                let j = &self.jobs[&t.job];
                if let Some(other) = on.insert((&t.job, t.index), &w.name) {
                    panic!("ran_twice: {}/{} on {other} and {} at {}", t.job, t.index, w.name, self.now);
                }
                *used.entry(&j.spec.team).or_default() += j.spec.room.cpus;
                assert!(w.spot <= j.spec.spot, "wrong_place: {} on a spot machine", t.job);
                zones.entry(&t.job).or_default().insert(&w.zone);
                if let Some(at) = j.cancelled_at {
                    assert!(self.now <= at + (CANCEL_S * 1e6) as u64, "ran_cancelled: {}", t.job);
                }
            }
        }
        for t in (0..self.shape.teams).step_by(2) {
            let most = (limit(t, self.shape) * 1000.0) as i64;
            let of = used.get(format!("t{t}").as_str()).copied().unwrap_or(0);
            assert!(of <= most, "quota: t{t} uses {of} at {}", self.now);
        }
        for (job, z) in zones {
            assert!(!self.jobs[job].spec.one_zone || z.len() <= 1, "wrong_place: {job} in {z:?}");
        }
    }

    pub(crate) fn states(&mut self) -> Vec<String> {
        (0..3)
            .filter_map(|n| {
                let now = self.clock(n);
                self.nodes[n].as_mut().map(|node| {
                    let status = node.status(now);
                    let machines: Vec<_> = node.owner.machines(node.membership.epoch).collect();
                    format!("{status} {machines:?}")
                })
            })
            .collect()
    }

    /// How many jobs that follow others were accepted.
    pub(crate) fn accepted_chains(&self) -> usize {
        let taken = |j: &&UserJob| !j.spec.follows.is_empty() && j.known != Known::Nothing;
        self.jobs.values().filter(taken).count()
    }

    /// Classes and teams of which less than half is served: the operators count a day with one as failed.
    /// A job counts once its user knows that it was accepted and all that it waits for is done, unless it was
    /// cancelled or can never run.
    pub(crate) fn underserved(&self) -> Vec<String> {
        let mut by: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        let counted =
            |j: &&UserJob| !j.mistaken && !j.cancel_asked && matches!(j.known, Known::Accepted | Known::Done);
        for j in self.jobs.values().filter(counted) {
            for key in [&j.spec.class, &j.spec.team] {
                let (served, of) = by.entry(key).or_default();
                *served += usize::from(j.known == Known::Done);
                *of += 1;
            }
        }
        by.into_iter()
            .filter(|(_, (served, of))| served * 2 < *of)
            .map(|(key, (served, of))| format!("{key}: {served} of {of}"))
            .collect()
    }

    /// Jobs that have not ended as they should have.
    pub(crate) fn finished(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(id, j)| match j.known {
                Known::Done => false,
                Known::Cancelled => {
                    let needs = self.needed(id);
                    !j.cancel_asked && !needs.iter().any(|p| self.jobs[*p].known == Known::Cancelled)
                }
                _ => true,
            })
            .map(|(id, j)| format!("{id} {:?} {}/{}", j.known, j.done.len(), j.spec.tasks))
            .collect()
    }
}
