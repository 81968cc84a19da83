//! Finds all jobs that a merge depends on, and the stale runs among them.
//!
//! The jobs upstream of a merge are the transitive closure of its dependencies, also through jobs of no batch. What a job
//! declares is stored from its acceptance on, first in its live record and then in its final one, and never changes.

use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Most jobs upstream of a merge; a merge with more is held.
pub const UPSTREAM_LIMIT: usize = 5000;

/// A batch and one version of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchVersion {
    /// The batch.
    pub name: String,
    /// The version.
    pub version: u64,
}

/// What a job's record declares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDeclaration {
    /// The job's class; None if it ended before final records had the class.
    pub class: Option<String>,
    /// The batch and version that it is a run of.
    pub batch: Option<BatchVersion>,
    /// The jobs that it depends on.
    pub dependencies: Vec<String>,
}

/// The result of looking up a job's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The record has not been read yet.
    Unread,
    /// The record can't be decoded, or is missing although the job was accepted.
    Unreadable,
    /// The job has not ended.
    Live(JobDeclaration),
    /// The job's final record is stored.
    Ended(JobDeclaration),
}

/// A successful run of a batch, according to its final record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// The job's id.
    pub job: String,
    /// Its class.
    pub class: String,
    /// The version of the batch that it read.
    pub version: u64,
}

/// A run upstream of a merge that is stale for the merge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StaleRun {
    /// The job's id.
    pub job: String,
    /// Its class, if it is known.
    pub class: Option<String>,
    /// The batch and version that it declares to have read: an older version, or another batch. None if it declares none.
    pub declared_batch: Option<BatchVersion>,
}

impl std::fmt::Display for StaleRun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.job)?;
        if let Some(class) = &self.class {
            write!(f, " ({class})")?;
        }
        match &self.declared_batch {
            Some(batch) => write!(f, " read version {} of {}", batch.version, batch.name),
            None => write!(f, " says no version"),
        }
    }
}

/// The findings of [`inspect_upstream`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFindings {
    /// Stale runs that no newer run supersedes.
    pub stale_runs: Vec<StaleRun>,
    /// Required classes without a run.
    pub missing_classes: Vec<String>,
    /// Jobs whose records have not been read yet.
    pub unread: Vec<String>,
    /// Jobs whose records can't be decoded.
    pub unreadable: Vec<String>,
    /// Jobs that have not ended.
    pub unfinished: Vec<String>,
    /// Whether a run is of a newer version than the one inspected, which means that the batch's record was a stale read.
    pub has_newer_run: bool,
    /// Whether there are more jobs than [`UPSTREAM_LIMIT`].
    pub has_too_many_jobs: bool,
}

/// All jobs upstream of a job with these dependencies, as far as their records have been read, and whether the traversal
/// stopped at [`UPSTREAM_LIMIT`].
#[must_use]
pub fn upstream_closure(
    dependencies: &[String],
    job: impl Fn(&str) -> JobLookup,
) -> (BTreeMap<String, JobLookup>, bool) {
    let mut upstream = BTreeMap::new();
    let mut pending: Vec<String> = dependencies.to_vec();
    while let Some(id) = pending.pop() {
        // A job can depend only on jobs accepted before it, so there are no cycles. The check keeps the traversal finite
        // even if a damaged record makes one.
        if upstream.contains_key(&id) {
            continue;
        }
        if upstream.len() >= UPSTREAM_LIMIT {
            return (upstream, true);
        }
        let lookup = job(&id);
        if let JobLookup::Live(declaration) | JobLookup::Ended(declaration) = &lookup {
            pending.extend(declaration.dependencies.iter().cloned());
        }
        upstream.insert(id, lookup);
    }
    (upstream, false)
}

/// Inspects all jobs upstream of a merge of this batch and version. `runs`: the successful runs of the batch, upstream of the
/// merge or not.
///
/// A stale run is superseded by a newer run of the same class and batch that has the merge's version, has succeeded, and is
/// not upstream of the merge itself. Each newer run supersedes only one stale run; otherwise a merge of two halves would
/// start when the first half has been rerun.
#[must_use]
pub fn inspect_upstream(
    settings: &Settings,
    batch: &BatchVersion,
    dependencies: &[String],
    job: impl Fn(&str) -> JobLookup,
    runs: &BTreeSet<Run>,
) -> UpstreamFindings {
    let (upstream, has_too_many_jobs) = upstream_closure(dependencies, job);
    let mut findings = UpstreamFindings { has_too_many_jobs, ..UpstreamFindings::default() };
    let mut classes: BTreeSet<&str> = BTreeSet::new();
    for (id, lookup) in &upstream {
        if let Some(declaration) = findings.record_state(id, lookup) {
            classes.extend(declaration.class.as_deref());
            findings.record_version(settings, batch, id, declaration);
        }
    }
    let mut unused_runs: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.version == batch.version && !upstream.contains_key(&run.job)) {
        *unused_runs.entry(&run.class).or_default() += 1;
    }
    // A class counts as missing as long as the records of its runs may be among those not read yet; callers check `unread`
    // first.
    let missing = settings.required.iter().filter(|class| !classes.contains(class.as_str()));
    findings.missing_classes = missing.cloned().collect();
    findings.missing_classes.retain(|class| !take_unused_run(&mut unused_runs, class));
    findings
        .stale_runs
        .retain(|run| !run.class.as_deref().is_some_and(|class| take_unused_run(&mut unused_runs, class)));
    findings
}

impl UpstreamFindings {
    /// Records that a job's record is unavailable or that the job has not ended. Returns the job's declaration, if the record
    /// is available.
    fn record_state<'a>(&mut self, id: &str, lookup: &'a JobLookup) -> Option<&'a JobDeclaration> {
        match lookup {
            JobLookup::Unread => {
                self.unread.push(id.to_owned());
                None
            }
            JobLookup::Unreadable => {
                self.unreadable.push(id.to_owned());
                None
            }
            JobLookup::Live(declaration) => {
                self.unfinished.push(id.to_owned());
                Some(declaration)
            }
            JobLookup::Ended(declaration) => Some(declaration),
        }
    }

    /// Records a job that is a run of another version than the merge's.
    fn record_version(
        &mut self,
        settings: &Settings,
        merge_batch: &BatchVersion,
        id: &str,
        declaration: &JobDeclaration,
    ) {
        let same_batch = declaration.batch.as_ref().filter(|batch| batch.name == merge_batch.name);
        let is_other_class =
            declaration.class.as_ref().is_some_and(|class| !settings.sources.contains(class));
        // A job that declares to be a run of this batch is checked whatever its class.
        if same_batch.is_none() && is_other_class {
            return;
        }
        let version = same_batch.map(|batch| batch.version);
        self.has_newer_run |= version.is_some_and(|version| version > merge_batch.version);
        if version.is_none_or(|version| version < merge_batch.version) {
            let (class, read) = (declaration.class.clone(), declaration.batch.clone());
            self.stale_runs.push(StaleRun { job: id.to_owned(), class, declared_batch: read });
        }
    }
}

/// Uses up one of the runs of a class; false if there is none left.
fn take_unused_run(unused_runs: &mut BTreeMap<&str, usize>, class: &str) -> bool {
    match unused_runs.get_mut(class) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests;
