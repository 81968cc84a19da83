//! All that a merge rests on, and which runs of it are stale.
//!
//! Upstream is the transitive closure of `follows`, also through jobs of no batch. What a job declares is on record from its
//! acceptance on, in its live record and then in its final one, and never changes.

use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Most jobs upstream of a merge; one that rests on more is held.
pub const UPSTREAM_LIMIT: usize = 5000;

/// A batch and a version of it.
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
    /// Its class; None: it ended before classes were kept.
    pub class: Option<String>,
    /// The batch that it is a run of.
    pub batch: Option<BatchVersion>,
    /// The jobs that it follows.
    pub dependencies: Vec<String>,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// Its record was not read yet.
    Unread,
    /// Its record can't be read, or is missing, though the job was accepted.
    Unreadable,
    /// It has not ended.
    Live(JobDeclaration),
    /// Its end is on record.
    Ended(JobDeclaration),
}

/// A run that is done, by its final record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run {
    /// Its id.
    pub job: String,
    /// Its class.
    pub class: String,
    /// The version that it read.
    pub version: u64,
}

/// A run that is stale for a merge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StaleRun {
    /// Its id.
    pub job: String,
    /// Its class, if it is known.
    pub class: Option<String>,
    /// What it read: another version, another batch, or nothing that it declares.
    pub declared_batch: Option<BatchVersion>,
}

impl std::fmt::Display for StaleRun {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.job)?;
        if let Some(class) = &self.class {
            write!(f, " ({class})")?;
        }
        match &self.declared_batch {
            Some(of) => write!(f, " read version {} of {}", of.version, of.name),
            None => write!(f, " says no version"),
        }
    }
}

/// What an inspection has found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamFindings {
    /// Runs that are stale and not superseded.
    pub stale_runs: Vec<StaleRun>,
    /// Classes that are required and of which there is no run.
    pub missing_classes: Vec<String>,
    /// Jobs whose records are still to be read.
    pub unread: Vec<String>,
    /// Jobs whose records can't be read.
    pub unreadable: Vec<String>,
    /// Jobs that have not ended.
    pub unfinished: Vec<String>,
    /// A run is of a newer version than the one asked about: the batch's record was read too early.
    pub ahead: bool,
    /// There are more jobs than [`UPSTREAM_LIMIT`].
    pub too_many: bool,
}

/// All jobs upstream of one that follows these, as far as their records are read; and whether there are too many to walk.
#[must_use]
pub fn upstream_closure(
    follows: &[String],
    job: impl Fn(&str) -> JobLookup,
) -> (BTreeMap<String, JobLookup>, bool) {
    let mut found = BTreeMap::new();
    let mut pending: Vec<String> = follows.to_vec();
    while let Some(id) = pending.pop() {
        // A job follows only those accepted before it, so there are no cycles; a damaged record must not make one.
        if found.contains_key(&id) {
            continue;
        }
        if found.len() >= UPSTREAM_LIMIT {
            return (found, true);
        }
        let known = job(&id);
        if let JobLookup::Live(declaration) | JobLookup::Ended(declaration) = &known {
            pending.extend(declaration.dependencies.iter().cloned());
        }
        found.insert(id, known);
    }
    (found, false)
}

/// Inspects all that a merge of this batch and version rests on. `runs`: done runs of the batch, wherever they were found.
///
/// A stale run is superseded by a run of its own: of the same class, of the same batch, at the version, done on record, and
/// not upstream of the merge already. One new run does not stand for two stale ones, or a merge of two halves would begin
/// when the first of them is there.
#[must_use]
pub fn inspect_upstream(
    settings: &Settings,
    of: &BatchVersion,
    follows: &[String],
    job: impl Fn(&str) -> JobLookup,
    runs: &BTreeSet<Run>,
) -> UpstreamFindings {
    let (upstream, too_many) = upstream_closure(follows, job);
    let mut findings = UpstreamFindings { too_many, ..UpstreamFindings::default() };
    let mut classes: BTreeSet<&str> = BTreeSet::new();
    for (id, known) in &upstream {
        if let Some(declaration) = findings.note_state(id, known) {
            classes.extend(declaration.class.as_deref());
            findings.note_version(settings, of, id, declaration);
        }
    }
    let mut spare: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.version == of.version && !upstream.contains_key(&run.job)) {
        *spare.entry(&run.class).or_default() += 1;
    }
    // What is not yet read may be of a class that is required.
    let missing = settings.required.iter().filter(|class| !classes.contains(class.as_str()));
    findings.missing_classes = missing.cloned().collect();
    findings.missing_classes.retain(|class| !take_spare(&mut spare, class));
    findings
        .stale_runs
        .retain(|run| !run.class.as_deref().is_some_and(|class| take_spare(&mut spare, class)));
    findings
}

impl UpstreamFindings {
    /// Notes what is not known of a job, or not done. Returns what the job declares, if that is known.
    fn note_state<'a>(&mut self, id: &str, known: &'a JobLookup) -> Option<&'a JobDeclaration> {
        match known {
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

    /// Notes whether a job is a run of another version than it has to be.
    fn note_version(
        &mut self,
        settings: &Settings,
        of: &BatchVersion,
        id: &str,
        declaration: &JobDeclaration,
    ) {
        let same_batch = declaration.batch.as_ref().filter(|batch| batch.name == of.name);
        let is_other_class =
            declaration.class.as_ref().is_some_and(|class| !settings.sources.contains(class));
        // What declares to be a run of this batch counts, whatever its class.
        if same_batch.is_none() && is_other_class {
            return;
        }
        let version = same_batch.map(|batch| batch.version);
        self.ahead |= version.is_some_and(|version| version > of.version);
        if version.is_none_or(|version| version < of.version) {
            let (class, read) = (declaration.class.clone(), declaration.batch.clone());
            self.stale_runs.push(StaleRun { job: id.to_owned(), class, declared_batch: read });
        }
    }
}

/// Takes one of the spare runs of a class, if there is one.
fn take_spare(spare: &mut BTreeMap<&str, usize>, class: &str) -> bool {
    match spare.get_mut(class) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests;
