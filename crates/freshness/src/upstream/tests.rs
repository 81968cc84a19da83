use super::*;
use proptest::prelude::*;

fn settings() -> Settings {
    let mut s = Settings::default();
    s.set("sources", "split,read").expect("valid");
    s.set("required", "split").expect("valid");
    s
}
fn of(version: u64) -> BatchVersion {
    BatchVersion { name: "b".into(), version }
}
fn says(class: &str, batch: Option<BatchVersion>, follows: &[&str]) -> JobLookup {
    let follows = follows.iter().map(|f| (*f).to_owned()).collect();
    JobLookup::Ended(JobDeclaration { class: Some(class.into()), batch, dependencies: follows })
}
fn look_at(jobs: &[(&str, JobLookup)], version: u64, runs: &[(&str, &str, u64)]) -> UpstreamFindings {
    let jobs: BTreeMap<&str, JobLookup> = jobs.iter().cloned().collect();
    let run = |(j, c, v): &(&str, &str, u64)| Run { job: (*j).into(), class: (*c).into(), version: *v };
    let runs = runs.iter().map(run).collect();
    let know = |id: &str| jobs.get(id).cloned().unwrap_or(JobLookup::Unread);
    inspect_upstream(&settings(), &of(version), &["check".to_owned()], know, &runs)
}
fn old(l: &UpstreamFindings) -> Vec<&str> {
    l.stale_runs.iter().map(|o| o.job.as_str()).collect()
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
    assert_eq!((old(&l), l.missing_classes.len(), l.unread.len()), (vec!["split"], 0, 0));
    assert_eq!(l.stale_runs[0].to_string(), "split (split) read version 6 of b");
    assert_eq!(old(&look_at(&jobs, 8, &[])), ["read", "split"]);
    let l = look_at(&jobs[..2], 7, &[]);
    assert_eq!((l.unread.len(), l.missing_classes.len()), (2, 1));
}

#[test]
fn no_version_another_batch_or_no_class_is_old() {
    let jobs = |read: JobLookup| {
        [("check", says("check", None, &["a", "s"])), ("a", read), ("s", says("split", Some(of(7)), &[]))]
    };
    let other = Some(BatchVersion { name: "c".into(), version: 9 });
    assert_eq!(old(&look_at(&jobs(says("read", None, &[])), 7, &[])), ["a"]);
    assert_eq!(old(&look_at(&jobs(says("read", other.clone(), &[])), 7, &[])), ["a"]);
    assert!(old(&look_at(&jobs(says("group", other, &[])), 7, &[])).is_empty(), "no source");
    assert_eq!(old(&look_at(&jobs(says("group", Some(of(6)), &[])), 7, &[])), ["a"], "it says so");
    assert_eq!(old(&look_at(&jobs(JobLookup::Ended(JobDeclaration::default())), 7, &[])), ["a"]);
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
    assert_eq!(look_at(&jobs, 7, &[("s3", "split", 7)]).stale_runs.len(), 2, "it is upstream already");
    assert_eq!(
        look_at(&jobs, 7, &[("n1", "split", 7), ("n2", "read", 7), ("n3", "split", 6)]).stale_runs.len(),
        1
    );
    assert_eq!(look_at(&jobs, 7, &[("n1", "split", 7), ("n2", "split", 7)]).stale_runs.len(), 0);
    let none = [("check", says("check", None, &[]))];
    assert_eq!(look_at(&none, 7, &[]).missing_classes, ["split"]);
    assert!(look_at(&none, 7, &[("n1", "split", 7)]).missing_classes.is_empty());
}

#[test]
fn a_circle_or_too_many_end_the_walk() {
    let circle = [("check", says("check", None, &["check"]))];
    assert!(!look_at(&circle, 7, &[]).too_many);
    let endless = |id: &str| {
        let n: usize = id.parse().unwrap_or(0);
        JobLookup::Ended(JobDeclaration {
            class: Some("x".into()),
            batch: None,
            dependencies: vec![(n + 1).to_string()],
        })
    };
    assert!(inspect_upstream(&settings(), &of(1), &["0".into()], endless, &BTreeSet::new()).too_many);
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
            JobLookup::Ended(JobDeclaration { class: Some(class.into()), batch, dependencies: follows(n) })
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
        let l = inspect_upstream(&settings(), &of(7), &follows(11), know, &BTreeSet::new());
        let got: BTreeSet<String> = l.stale_runs.into_iter().map(|o| o.job).collect();
        prop_assert_eq!(got, want);
    }
}
