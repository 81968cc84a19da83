//! All that a merge rests on, and which runs among it are old.
//!
//! Upstream means all the way through `follows`, also through jobs that carry no batch. What a job says is on record from
//! its acceptance on, in its live record and then in its final one, and never changes.

use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs walked at the most; what rests on more is held.
pub const MOST: usize = 5000;

/// A batch and a version of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Of {
    /// The batch.
    pub name: String,
    /// The version.
    pub version: u64,
}

/// What a job's record says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Says {
    /// Its class; None: it ended before classes were kept.
    pub class: Option<String>,
    /// The batch that it is a run of.
    pub batch: Option<Of>,
    /// The jobs that it follows.
    pub follows: Vec<String>,
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// Its record was not read yet.
    Unread,
    /// Its record can't be read, or there is none, which can't be: it was accepted.
    Unreadable,
    /// It is live.
    Live(Says),
    /// Its end is on record. What is upstream of a cancelled job is cancelled with it.
    Ended(Says),
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

/// A run that is old for a merge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Old {
    /// Its id.
    pub job: String,
    /// Its class, if it is known.
    pub class: Option<String>,
    /// What it read: another version, another batch, or nothing that it says.
    pub read: Option<Of>,
}

impl std::fmt::Display for Old {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.job)?;
        if let Some(class) = &self.class {
            write!(f, " ({class})")?;
        }
        match &self.read {
            Some(of) => write!(f, " read version {} of {}", of.version, of.name),
            None => write!(f, " says no version"),
        }
    }
}

/// What a walk has found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// Runs that are old and not superseded.
    pub old: Vec<Old>,
    /// Classes that are required and of which there is no run.
    pub missing: Vec<String>,
    /// Jobs whose records are still to be read.
    pub unread: Vec<String>,
    /// Jobs whose records can't be read.
    pub unreadable: Vec<String>,
    /// Jobs that have not ended.
    pub unfinished: Vec<String>,
    /// Some run read a version newer than the one asked about: the batch's record was read too early.
    pub ahead: bool,
    /// More is upstream than can be walked.
    pub too_many: bool,
}

/// All jobs upstream of one that follows these, as far as their records are read.
#[must_use]
pub fn closure(follows: &[String], know: impl Fn(&str) -> Known) -> (BTreeMap<String, Known>, bool) {
    let mut found = BTreeMap::new();
    let mut next: Vec<String> = follows.to_vec();
    while let Some(job) = next.pop() {
        // A job follows only those accepted before it, so there are no circles; a damaged record must not make one.
        if found.contains_key(&job) {
            continue;
        }
        if found.len() >= MOST {
            return (found, true);
        }
        let known = know(&job);
        if let Known::Live(s) | Known::Ended(s) = &known {
            next.extend(s.follows.iter().cloned());
        }
        found.insert(job, known);
    }
    (found, false)
}

/// Looks at all that a merge of this batch and version rests on. `runs`: done runs under the batch, wherever they were found.
///
/// An old run is superseded by a run of its own: of the same class, under the same batch, at the version, done on record, and
/// not upstream of the merge already. One new run does not stand for two old ones, or a merge of two halves would begin
/// when the first of them is there.
#[must_use]
pub fn look(
    settings: &Settings,
    of: &Of,
    follows: &[String],
    know: impl Fn(&str) -> Known,
    runs: &BTreeSet<Run>,
) -> Look {
    let (found, too_many) = closure(follows, know);
    let mut l = Look { too_many, ..Look::default() };
    let mut there: BTreeSet<&str> = BTreeSet::new();
    for (job, known) in &found {
        let says = match known {
            Known::Unread => {
                l.unread.push(job.clone());
                continue;
            }
            Known::Unreadable => {
                l.unreadable.push(job.clone());
                continue;
            }
            Known::Live(s) => {
                l.unfinished.push(job.clone());
                s
            }
            Known::Ended(s) => s,
        };
        let class = says.class.as_deref();
        if let Some(c) = class {
            there.insert(c);
        }
        let same = says.batch.as_ref().is_some_and(|b| b.name == of.name);
        // Who says that it is a run of this batch is looked at, whatever its class.
        if !same && class.is_some_and(|c| !settings.sources.contains(c)) {
            continue;
        }
        let version = says.batch.as_ref().filter(|_| same).map(|b| b.version);
        l.ahead |= version.is_some_and(|v| v > of.version);
        if version.is_none_or(|v| v < of.version) {
            l.old.push(Old { job: job.clone(), class: says.class.clone(), read: says.batch.clone() });
        }
    }
    let mut spare: BTreeMap<&str, usize> = BTreeMap::new();
    for r in runs.iter().filter(|r| r.version == of.version && !found.contains_key(&r.job)) {
        *spare.entry(&r.class).or_default() += 1;
    }
    // What is not yet read may be of a class that is required.
    l.missing = settings.required.iter().filter(|c| !there.contains(c.as_str())).cloned().collect();
    l.missing.retain(|c| !take(&mut spare, c));
    l.old.retain(|o| !o.class.as_deref().is_some_and(|c| take(&mut spare, c)));
    l
}

fn take(spare: &mut BTreeMap<&str, usize>, class: &str) -> bool {
    match spare.get_mut(class) {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn settings() -> Settings {
        let mut s = Settings::default();
        s.set("sources", "split,read").expect("valid");
        s.set("required", "split").expect("valid");
        s
    }
    fn of(version: u64) -> Of {
        Of { name: "b".into(), version }
    }
    fn says(class: &str, batch: Option<Of>, follows: &[&str]) -> Known {
        let follows = follows.iter().map(|f| (*f).to_owned()).collect();
        Known::Ended(Says { class: Some(class.into()), batch, follows })
    }
    fn look_at(jobs: &[(&str, Known)], version: u64, runs: &[(&str, &str, u64)]) -> Look {
        let jobs: BTreeMap<&str, Known> = jobs.iter().cloned().collect();
        let run = |(j, c, v): &(&str, &str, u64)| Run { job: (*j).into(), class: (*c).into(), version: *v };
        let runs = runs.iter().map(run).collect();
        let know = |id: &str| jobs.get(id).cloned().unwrap_or(Known::Unread);
        look(&settings(), &of(version), &["check".to_owned()], know, &runs)
    }
    fn old(l: &Look) -> Vec<&str> {
        l.old.iter().map(|o| o.job.as_str()).collect()
    }

    #[test]
    fn upstream_means_all_the_way() {
        let jobs = [
            ("check", says("check", None, &["group"])),
            ("group", says("group", None, &["read", "split"])),
            ("read", says("read", Some(of(7)), &["split"])),
            ("split", says("split", Some(of(6)), &[])),
        ];
        let l = look_at(&jobs, 7, &[]);
        assert_eq!((old(&l), l.missing.len(), l.unread.len()), (vec!["split"], 0, 0));
        assert_eq!(l.old[0].to_string(), "split (split) read version 6 of b");
        assert_eq!(old(&look_at(&jobs, 8, &[])), ["read", "split"]);
        let l = look_at(&jobs[..2], 7, &[]);
        assert_eq!((l.unread.len(), l.missing.len()), (2, 1));
    }

    #[test]
    fn no_version_another_batch_or_no_class_is_old() {
        let jobs = |read: Known| {
            [("check", says("check", None, &["a", "s"])), ("a", read), ("s", says("split", Some(of(7)), &[]))]
        };
        let other = Some(Of { name: "c".into(), version: 9 });
        assert_eq!(old(&look_at(&jobs(says("read", None, &[])), 7, &[])), ["a"]);
        assert_eq!(old(&look_at(&jobs(says("read", other.clone(), &[])), 7, &[])), ["a"]);
        assert!(old(&look_at(&jobs(says("group", other, &[])), 7, &[])).is_empty(), "no source");
        assert_eq!(old(&look_at(&jobs(says("group", Some(of(6)), &[])), 7, &[])), ["a"], "it says so");
        assert_eq!(old(&look_at(&jobs(Known::Ended(Says::default())), 7, &[])), ["a"]);
        assert!(look_at(&jobs(says("read", Some(of(8)), &[])), 7, &[]).ahead);
    }

    #[test]
    fn each_old_run_needs_one_of_its_own() {
        let jobs = [
            ("check", says("check", None, &["s1", "s2", "s3"])),
            ("s1", says("split", Some(of(6)), &[])),
            ("s2", says("split", Some(of(6)), &[])),
            ("s3", says("split", Some(of(7)), &[])),
        ];
        assert_eq!(look_at(&jobs, 7, &[("s3", "split", 7)]).old.len(), 2, "it is upstream already");
        assert_eq!(
            look_at(&jobs, 7, &[("n1", "split", 7), ("n2", "read", 7), ("n3", "split", 6)]).old.len(),
            1
        );
        assert_eq!(look_at(&jobs, 7, &[("n1", "split", 7), ("n2", "split", 7)]).old.len(), 0);
        let none = [("check", says("check", None, &[]))];
        assert_eq!(look_at(&none, 7, &[]).missing, ["split"]);
        assert!(look_at(&none, 7, &[("n1", "split", 7)]).missing.is_empty());
    }

    #[test]
    fn a_circle_or_too_many_end_the_walk() {
        let circle = [("check", says("check", None, &["check"]))];
        assert!(!look_at(&circle, 7, &[]).too_many);
        let endless = |id: &str| {
            let n: usize = id.parse().unwrap_or(0);
            Known::Ended(Says { class: Some("x".into()), batch: None, follows: vec![(n + 1).to_string()] })
        };
        assert!(look(&settings(), &of(1), &["0".into()], endless, &BTreeSet::new()).too_many);
    }

    proptest! {
        /// Any pipeline: what the walk finds old is what a plain search of all paths finds.
        #[test]
        fn old_runs_are_found_on_any_path(
            edges in prop::collection::vec((0usize..12, 0usize..12), 0..40),
            versions in prop::collection::vec(prop::option::of(5u64..8), 12)
        ) {
            let id = |n: usize| format!("j{n}");
            let follows = |n: usize| -> Vec<String> {
                edges.iter().filter(|(a, b)| *a == n && b < a).map(|(_, b)| id(*b)).collect()
            };
            let know = |job: &str| {
                let n: usize = job[1..].parse().expect("number");
                let class = if n.is_multiple_of(2) { "read" } else { "group" };
                let batch = versions[n].map(of).filter(|_| n.is_multiple_of(2));
                Known::Ended(Says { class: Some(class.into()), batch, follows: follows(n) })
            };
            let mut reached = [false; 12];
            reached[11] = true;
            for n in (0..12).rev().filter(|n| *n < 12) {
                if reached[n] {
                    for (_, b) in edges.iter().filter(|(a, b)| *a == n && b < a) {
                        reached[*b] = true;
                    }
                }
            }
            let want: BTreeSet<String> = (0..11)
                .filter(|n| reached[*n] && n.is_multiple_of(2) && versions[*n].is_none_or(|v| v < 7))
                .map(id)
                .collect();
            let l = look(&settings(), &of(7), &follows(11), know, &BTreeSet::new());
            let got: BTreeSet<String> = l.old.into_iter().map(|o| o.job).collect();
            prop_assert_eq!(got, want);
        }
    }
}
