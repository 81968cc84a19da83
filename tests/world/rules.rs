//! The invariants checked after each step, and the checks of a whole simulated day.

use super::*;

impl World {
    /// Checks the invariants of the running tasks: no duplicates, quotas and placement constraints.
    pub(crate) fn check(&self) {
        let mut placements: BTreeMap<(&str, u32), &str> = BTreeMap::new();
        let mut used: BTreeMap<&str, i64> = BTreeMap::new();
        let mut zones: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| !worker.gone && !worker.dead) {
            // A machine whose lease expired while it was unresponsive kills its tasks before anything else.
            if self.now > worker.lease_from + (LEASE_S * 1e6) as u64 {
                continue;
            }
            for task in worker.tasks.iter().filter(|task| task.state != "ended") {
                let user_job = &self.jobs[&task.job];
                // By then all tasks of a cancelled job must have ended, including those that have not started yet.
                if let Some(at) = user_job.cancelled_at {
                    assert!(self.now <= at + (CANCEL_S * 1e6) as u64, "ran_cancelled: {}", task.job);
                }
                if !task.is_placed() {
                    continue;
                }
                if user_job.spec.is_rotation() {
                    self.check_rotation(&task.job);
                }
                if let Some(other) = placements.insert((&task.job, task.index), &worker.name) {
                    panic!(
                        "ran_twice: {}/{} on {other} and {} at {}",
                        task.job, task.index, worker.name, self.now
                    );
                }
                *used.entry(&user_job.spec.team).or_default() += user_job.spec.resources_per_task.cpus;
                assert!(
                    worker.spot <= user_job.spec.spot_allowed,
                    "wrong_place: {} on a spot machine",
                    task.job
                );
                zones.entry(&task.job).or_default().insert(&worker.zone);
            }
        }
        for team in (0..self.shape.teams).step_by(2) {
            let maximum = (limit(team, self.shape) * 1000.0) as i64;
            let of = used.get(format!("t{team}").as_str()).copied().unwrap_or(0);
            assert!(of <= maximum, "quota: t{team} uses {of} at {}", self.now);
        }
        for (job, job_zones) in zones {
            assert!(
                !self.jobs[job].spec.one_zone || job_zones.len() <= 1,
                "wrong_place: {job} in {job_zones:?}"
            );
        }
    }

    /// The status and the machines of each running controller, as text.
    pub(crate) fn states(&mut self) -> Vec<String> {
        (0..3)
            .filter_map(|controller| {
                let now = self.clock(controller);
                self.nodes[controller].as_mut().map(|node| {
                    let status = node.status(now);
                    let machines: Vec<_> = node.job_shard.machines(node.membership.epoch).collect();
                    format!("{status} {machines:?}")
                })
            })
            .collect()
    }

    /// Number of accepted jobs with dependencies.
    pub(crate) fn accepted_with_dependencies(&self) -> usize {
        let is_accepted = |j: &&UserJob| !j.spec.dependencies.is_empty() && j.known != KnownState::Unknown;
        self.jobs.values().filter(is_accepted).count()
    }

    /// Jobs that count as service: known to their client as accepted or done, not cancelled and able to run.
    fn counted(&self) -> impl Iterator<Item = &UserJob> {
        self.jobs.values().filter(|j| {
            !j.always_fails && !j.cancel_asked && matches!(j.known, KnownState::Accepted | KnownState::Done)
        })
    }

    /// The largest jobs of each class: the fifth with the most tasks, at least one.
    fn largest(&self) -> Vec<&UserJob> {
        let mut by_class: BTreeMap<&str, Vec<&UserJob>> = BTreeMap::new();
        self.counted().for_each(|j| by_class.entry(&j.spec.class).or_default().push(j));
        by_class.values_mut().for_each(|list| list.sort_by_key(|j| std::cmp::Reverse(j.spec.task_count)));
        by_class.into_values().flat_map(|list| list[..list.len().div_ceil(5)].to_vec()).collect()
    }

    /// Classes, teams and largest jobs of a class of which less than half is done. Operators count a day with any of
    /// them as failed.
    pub(crate) fn underserved(&self) -> Vec<String> {
        let mut by_key: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let keys = self.counted().flat_map(|j| [(j.spec.class.clone(), j), (j.spec.team.clone(), j)]);
        let largest = self.largest();
        for (key, j) in keys.chain(largest.iter().map(|j| (format!("largest of {}", j.spec.class), *j))) {
            let (served, of) = by_key.entry(key).or_default();
            *served += usize::from(j.known == KnownState::Done);
            *of += 1;
        }
        by_key
            .into_iter()
            .filter(|(_, (served, of))| served * 2 < *of)
            .map(|(key, (served, of))| format!("{key}: {served} of {of}"))
            .collect()
    }

    /// Largest jobs without dependencies that had not started within four minutes of their acceptance, or of the last
    /// fault of a controller if that was later.
    pub(crate) fn started_late(&self) -> Vec<String> {
        let late = |j: &&&UserJob| {
            let since = j.accepted_at.unwrap_or(self.now).max(self.answer_gaps.fault_free_from);
            j.spec.dependencies.is_empty() && j.started_at.unwrap_or(self.now) > since + 240 * S
        };
        self.largest()
            .iter()
            .filter(late)
            .map(|j| format!("{}: {} tasks", j.spec.id, j.spec.task_count))
            .collect()
    }

    /// Jobs that have not ended, or were cancelled without a reason.
    pub(crate) fn unfinished_jobs(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(id, j)| match j.known {
                KnownState::Done => false,
                KnownState::Cancelled => {
                    let needs = self.all_dependencies(id);
                    !j.cancel_asked && !needs.iter().any(|p| self.jobs[*p].known == KnownState::Cancelled)
                }
                _ => true,
            })
            .map(|(id, j)| format!("{id} {:?} {}/{}", j.known, j.done.len(), j.spec.task_count))
            .collect()
    }
}

impl World {
    /// Checks a running task of a rotation: its release must be closed, the start of the rotation must be stored, and
    /// every stored job of the release must be done or waived by an operator.
    pub(crate) fn check_rotation(&self, id: &str) {
        let release_and_outcome = |id: &str| {
            let live = self.store.keys.get(&format!("job/{id}")).map(|v| (&v.0["spec"]["release"], None));
            let end = self.store.keys.get(&format!("done/{id}"));
            live.or(end.map(|v| (&v.0["says"]["release"], Some(&v.0["end"]))))
        };
        let (own, _) = release_and_outcome(id).expect("the rotation is stored");
        let text = |v: &Value, key: &str| v[key].as_str().expect("text").to_owned();
        let head = format!("pact/r/{}@{}", text(own, "title"), text(own, "night"));
        let (record, ..) = self.store.keys.get(&head).expect("a rotation's record");
        assert!(record["phase"] == "closed" && record["body"]["rotated"] == true, "early: {id} of {record}");
        for key in self.store.keys.keys().filter_map(|k| k.strip_prefix("job/").or(k.strip_prefix("done/"))) {
            let Some((release, end)) = release_and_outcome(key) else { continue };
            if release["title"] != own["title"]
                || release["night"] != own["night"]
                || release["stage"] == "rotation"
            {
                continue;
            }
            let waived = record["body"]["waived"].get(key).is_some();
            assert!(waived || end.is_some_and(|e| e == "done"), "early: {id} before {key}, {end:?}");
        }
    }
}
