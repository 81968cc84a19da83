use super::*;
use proptest::prelude::*;

fn settings() -> Settings {
    let mut settings = Settings::default();
    settings.set("sources", "split,read").expect("valid");
    settings.set("required", "split").expect("valid");
    settings
}
fn batch(version: u64) -> BatchVersion {
    BatchVersion { name: "b".into(), version }
}
fn ended(class: &str, batch: Option<BatchVersion>, dependencies: &[&str]) -> JobLookup {
    let dependencies = dependencies.iter().map(|id| (*id).to_owned()).collect();
    JobLookup::Ended(JobDeclaration { class: Some(class.into()), batch, dependencies })
}
/// Inspects the jobs upstream of a merge of this version that depends on the job `check`.
fn inspect(jobs: &[(&str, JobLookup)], version: u64, runs: &[(&str, &str, u64)]) -> UpstreamFindings {
    let jobs: BTreeMap<&str, JobLookup> = jobs.iter().cloned().collect();
    let run = |(job, class, version): &(&str, &str, u64)| Run {
        job: (*job).into(),
        class: (*class).into(),
        version: *version,
    };
    let runs = runs.iter().map(run).collect();
    let lookup = |id: &str| jobs.get(id).cloned().unwrap_or(JobLookup::Unread);
    inspect_upstream(&settings(), &batch(version), &["check".to_owned()], lookup, &runs)
}
fn stale_jobs(findings: &UpstreamFindings) -> Vec<&str> {
    findings.stale_runs.iter().map(|run| run.job.as_str()).collect()
}

#[test]
fn indirect_dependencies_are_inspected() {
    let jobs = [
        ("check", ended("check", None, &["group"])),
        ("group", ended("group", None, &["read", "split"])),
        ("read", ended("read", Some(batch(7)), &["split"])),
        ("split", ended("split", Some(batch(6)), &[])),
    ];
    let findings = inspect(&jobs, 7, &[]);
    assert_eq!(
        (stale_jobs(&findings), findings.missing_classes.len(), findings.unread.len()),
        (vec!["split"], 0, 0)
    );
    assert_eq!(findings.stale_runs[0].to_string(), "split (split) read version 6 of b");
    assert_eq!(stale_jobs(&inspect(&jobs, 8, &[])), ["read", "split"]);
    let findings = inspect(&jobs[..2], 7, &[]);
    assert_eq!((findings.unread.len(), findings.missing_classes.len()), (2, 1));
}

#[test]
fn run_without_version_of_another_batch_or_without_class_is_stale() {
    let jobs = |input: JobLookup| {
        [
            ("check", ended("check", None, &["a", "s"])),
            ("a", input),
            ("s", ended("split", Some(batch(7)), &[])),
        ]
    };
    let other_batch = Some(BatchVersion { name: "c".into(), version: 9 });
    assert_eq!(stale_jobs(&inspect(&jobs(ended("read", None, &[])), 7, &[])), ["a"]);
    assert_eq!(stale_jobs(&inspect(&jobs(ended("read", other_batch.clone(), &[])), 7, &[])), ["a"]);
    assert!(
        stale_jobs(&inspect(&jobs(ended("group", other_batch, &[])), 7, &[])).is_empty(),
        "its class is no source"
    );
    assert_eq!(
        stale_jobs(&inspect(&jobs(ended("group", Some(batch(6)), &[])), 7, &[])),
        ["a"],
        "it declares to be a run of the batch"
    );
    assert_eq!(stale_jobs(&inspect(&jobs(JobLookup::Ended(JobDeclaration::default())), 7, &[])), ["a"]);
    assert!(inspect(&jobs(ended("read", Some(batch(8)), &[])), 7, &[]).has_newer_run);
}

#[test]
fn each_stale_run_needs_a_newer_run_of_its_own() {
    let jobs = [
        ("check", ended("check", None, &["s1", "s2", "s3"])),
        ("s1", ended("split", Some(batch(6)), &[])),
        ("s2", ended("split", Some(batch(6)), &[])),
        ("s3", ended("split", Some(batch(7)), &[])),
    ];
    assert_eq!(inspect(&jobs, 7, &[("s3", "split", 7)]).stale_runs.len(), 2, "it is upstream itself");
    assert_eq!(
        inspect(&jobs, 7, &[("n1", "split", 7), ("n2", "read", 7), ("n3", "split", 6)]).stale_runs.len(),
        1
    );
    assert_eq!(inspect(&jobs, 7, &[("n1", "split", 7), ("n2", "split", 7)]).stale_runs.len(), 0);
    let without_split = [("check", ended("check", None, &[]))];
    assert_eq!(inspect(&without_split, 7, &[]).missing_classes, ["split"]);
    assert!(inspect(&without_split, 7, &[("n1", "split", 7)]).missing_classes.is_empty());
}

#[test]
fn traversal_ends_on_cycles_and_at_the_job_limit() {
    let cycle = [("check", ended("check", None, &["check"]))];
    assert!(!inspect(&cycle, 7, &[]).has_too_many_jobs);
    let endless_chain = |id: &str| {
        let number: usize = id.parse().unwrap_or(0);
        JobLookup::Ended(JobDeclaration {
            class: Some("x".into()),
            batch: None,
            dependencies: vec![(number + 1).to_string()],
        })
    };
    assert!(
        inspect_upstream(&settings(), &batch(1), &["0".into()], endless_chain, &BTreeSet::new())
            .has_too_many_jobs
    );
}

proptest! {
    /// In any dependency graph, the traversal finds the same stale runs as an exhaustive search of all paths.
    #[test]
    fn stale_runs_are_found_on_any_path(
        edges in prop::collection::vec((0usize..12, 0usize..12), 0..40),
        versions in prop::collection::vec(prop::option::of(5u64..8), 12)
    ) {
        let id = |number: usize| format!("j{number}");
        // An edge `(a, b)` with `b < a` makes job `a` depend on job `b`; other edges are ignored.
        let dependencies = |number: usize| -> Vec<String> {
            edges.iter().filter(|(a, b)| *a == number && b < a).map(|(_, b)| id(*b)).collect()
        };
        let lookup = |job: &str| {
            let number: usize = job[1..].parse().expect("number");
            let class = if number.is_multiple_of(2) { "read" } else { "group" };
            let batch = versions[number].map(batch).filter(|_| number.is_multiple_of(2));
            JobLookup::Ended(JobDeclaration { class: Some(class.into()), batch, dependencies: dependencies(number) })
        };
        let mut reached = [false; 12];
        reached[11] = true;
        for number in (0..12).rev().filter(|n| *n < 12) {
            if reached[number] {
                for (_, b) in edges.iter().filter(|(a, b)| *a == number && b < a) {
                    reached[*b] = true;
                }
            }
        }
        let expected: BTreeSet<String> = (0..11)
            .filter(|n| reached[*n] && n.is_multiple_of(2) && versions[*n].is_none_or(|version| version < 7))
            .map(id)
            .collect();
        let findings = inspect_upstream(&settings(), &batch(7), &dependencies(11), lookup, &BTreeSet::new());
        let found: BTreeSet<String> = findings.stale_runs.into_iter().map(|run| run.job).collect();
        prop_assert_eq!(found, expected);
    }
}
