//! The dependencies whose outcomes are unknown: which jobs wait for each, and what has been read of its final record.
//!
//! A dependency that is awaited and has not been read is always due to be read or being read. So whatever waits for that
//! read, such as the answers about its dependents, waits for something that is certain to come.

use crate::job_shard::job::Job;
use std::collections::{BTreeMap, BTreeSet};

/// What has been read of a dependency's final record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// It must be read, since no watch would report it.
    Due,
    /// The read with this number is in flight.
    InFlight(u64),
    /// It did not exist when it was read, after the watch on final records had begun. The watch reports a later one.
    Absent,
}

#[derive(Debug)]
struct AwaitedDependency {
    /// The jobs that wait for it.
    dependents: BTreeSet<String>,
    state: ReadState,
    /// Whether it was ever found absent. Stays true while it is read again after a gap in the watch.
    was_absent: bool,
    /// Whether it was awaited when the epoch began and has not been found absent since.
    is_from_earlier_epoch: bool,
}

/// A read of a dependency's final record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DependencyRead {
    /// The dependency.
    pub dependency: String,
    /// Distinguishes its response from those of earlier reads.
    pub number: u64,
}

/// How many dependencies are awaited, and what has been read of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DependencyCounts {
    /// Dependencies whose outcome is unknown.
    pub awaited: usize,
    /// Those whose final records are to be read.
    pub reads_due: usize,
    /// Those whose final records have never been looked for here: questions about the jobs that wait for them may be
    /// refused.
    pub unread: usize,
}

/// The dependencies whose outcomes are unknown.
#[derive(Debug, Default)]
pub(super) struct AwaitedDependencies {
    by_dependency: BTreeMap<String, AwaitedDependency>,
    /// Those in state `Due`.
    due: BTreeSet<String>,
    last_read: u64,
}

impl AwaitedDependencies {
    /// Adds a job that waits for these dependencies. Those that nothing else waits for become due to be read.
    /// `is_from_earlier_epoch` tells whether the job is taken up as the epoch begins.
    pub(super) fn add(&mut self, job: &str, dependencies: &BTreeSet<String>, is_from_earlier_epoch: bool) {
        for dependency in dependencies {
            let awaited = self.by_dependency.entry(dependency.clone()).or_insert_with(|| {
                self.due.insert(dependency.clone());
                AwaitedDependency {
                    dependents: BTreeSet::new(),
                    state: ReadState::Due,
                    was_absent: false,
                    is_from_earlier_epoch,
                }
            });
            awaited.dependents.insert(job.to_owned());
        }
    }

    /// Removes a job that no longer waits for these dependencies.
    pub(super) fn remove(&mut self, job: &str, dependencies: &BTreeSet<String>) {
        for dependency in dependencies {
            let Some(awaited) = self.by_dependency.get_mut(dependency) else { continue };
            awaited.dependents.remove(job);
            if awaited.dependents.is_empty() {
                self.take(dependency);
            }
        }
    }

    /// Keeps only these jobs as dependents.
    pub(super) fn retain_dependents(&mut self, jobs: &BTreeMap<String, Job>) {
        self.by_dependency.retain(|_, awaited| {
            awaited.dependents.retain(|id| jobs.contains_key(id));
            !awaited.dependents.is_empty()
        });
        let by_dependency = &self.by_dependency;
        self.due.retain(|dependency| by_dependency.contains_key(dependency));
    }

    /// Removes a dependency whose outcome is known now, and returns the jobs that waited for it.
    pub(super) fn take(&mut self, dependency: &str) -> BTreeSet<String> {
        self.due.remove(dependency);
        self.by_dependency.remove(dependency).map(|awaited| awaited.dependents).unwrap_or_default()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_dependency.is_empty()
    }

    pub(super) fn contains(&self, dependency: &str) -> bool {
        self.by_dependency.contains_key(dependency)
    }

    /// The dependencies, each with the jobs that wait for it.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &BTreeSet<String>)> {
        self.by_dependency.iter().map(|(dependency, awaited)| (dependency, &awaited.dependents))
    }

    /// Whether a dependency is awaited and its final record has never been looked for.
    pub(super) fn is_unread(&self, dependency: &str) -> bool {
        self.by_dependency.get(dependency).is_some_and(|awaited| !awaited.was_absent)
    }

    /// Whether a dependency that was awaited when the epoch began has yet to be looked for in it.
    pub(super) fn has_any_of_earlier_epoch(&self) -> bool {
        self.by_dependency.values().any(|awaited| awaited.is_from_earlier_epoch)
    }

    /// Begins an epoch: all dependencies must be read again, by reads that are sent from now on.
    pub(super) fn begin_epoch(&mut self) {
        self.require_reads();
        self.by_dependency.values_mut().for_each(|awaited| awaited.is_from_earlier_epoch = true);
    }

    /// Makes all dependencies due to be read, after a time in which final records were not watched.
    pub(super) fn require_reads(&mut self) {
        self.due = self.by_dependency.keys().cloned().collect();
        for awaited in self.by_dependency.values_mut() {
            awaited.state = ReadState::Due;
        }
    }

    /// Begins the next read that is due.
    pub(super) fn begin_read(&mut self) -> Option<DependencyRead> {
        let dependency = self.due.first()?.clone();
        self.last_read += 1;
        let number = self.last_read;
        self.set_state(&dependency, ReadState::InFlight(number));
        Some(DependencyRead { dependency, number })
    }

    /// Makes a dependency due to be read again, after a read that failed.
    pub(super) fn retry_read(&mut self, dependency: &str) {
        self.set_state(dependency, ReadState::Due);
    }

    /// Handles that a read found no final record. An earlier read than the one in flight proves nothing: the record may
    /// have been written since.
    pub(super) fn note_absent(&mut self, read: &DependencyRead) {
        let Some(awaited) = self.by_dependency.get_mut(&read.dependency) else { return };
        if awaited.state == ReadState::InFlight(read.number) {
            (awaited.was_absent, awaited.is_from_earlier_epoch) = (true, false);
            self.set_state(&read.dependency, ReadState::Absent);
        }
    }

    pub(super) fn counts(&self) -> DependencyCounts {
        DependencyCounts {
            awaited: self.by_dependency.len(),
            reads_due: self.due.len(),
            unread: self.by_dependency.values().filter(|awaited| !awaited.was_absent).count(),
        }
    }

    fn set_state(&mut self, dependency: &str, state: ReadState) {
        let Some(awaited) = self.by_dependency.get_mut(dependency) else { return };
        awaited.state = state;
        if state == ReadState::Due {
            self.due.insert(dependency.to_owned());
        } else {
            self.due.remove(dependency);
        }
    }
}
