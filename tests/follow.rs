//! Job dependencies in isolation: outcomes that arrive in any order, repeatedly or late, inherited priority, and the
//! cost of processing one outcome.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::{DependencyRead, JobOutcome, JobShard};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, TaskIndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

fn new_leader() -> (Membership, JobShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let s = Settings::parse("test", text).expect("valid");
    let mut membership = Membership::new(&s, 1);
    membership.adopt_epoch(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
    let mut leader = JobShard::new(&s);
    leader.adopt_epoch(&membership, false);
    leader.finish_loading(std::iter::empty());
    (membership, leader)
}

fn add_job(leader: &mut JobShard, id: &str, rank: &str, dependencies: &[String]) {
    let raw = json!({"uid": id, "breed": "b", "herd": "t", "gait": "batch", "rank": rank, "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "i", "imageGb": 1, "together": false, "scatter": false,
        "borrowed": false, "rideS": 1, "restS": 0, "unsaddleS": 0, "follows": dependencies});
    let spec = JobSpec::from_value(&raw).expect("valid");
    leader.insert_job(raw, spec, Micros(1), TaskIndexSet::default(), 1, true);
}

fn id(n: usize) -> String {
    format!("wk-{n:06}")
}

/// Outcomes arrive late, repeatedly and in any order, by a read or by a watch. A job is released once all its
/// dependencies are done and not before, and is cancelled when one of them was cancelled, whatever the order.
#[test]
fn jobs_are_released_by_their_last_dependency_in_any_order_of_outcomes() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (_, mut leader) = new_leader();
        let outcomes: Vec<JobOutcome> = (0..30)
            .map(|_| if rng.random_bool(0.05) { JobOutcome::Cancelled } else { JobOutcome::Done })
            .collect();
        let mut dependencies: BTreeMap<String, BTreeSet<usize>> = BTreeMap::new();
        let mut known_outcomes: BTreeSet<usize> = BTreeSet::new();
        for step in 0..400 {
            match rng.random_range(0..4) {
                0 if dependencies.len() < 40 => {
                    let job_dependencies: BTreeSet<usize> =
                        (0..rng.random_range(1..5)).map(|_| rng.random_range(0..30)).collect();
                    let job = id(1000 + dependencies.len());
                    add_job(
                        &mut leader,
                        &job,
                        "idle",
                        &job_dependencies.iter().map(|&p| id(p)).collect::<Vec<_>>(),
                    );
                    dependencies.insert(job, job_dependencies);
                    // Outcomes from before are unknown until they are read.
                }
                1 => {
                    let p = rng.random_range(0..30);
                    leader.apply_dependency_outcome(&id(p), outcomes[p]);
                    known_outcomes.insert(p);
                }
                2 => {
                    // A read, which finds an outcome or finds that there is none yet.
                    if let Some(read) = leader.begin_dependency_read() {
                        let p = read.dependency;
                        let n: usize = p[3..].parse().expect("a number");
                        if known_outcomes.contains(&n) {
                            leader.apply_dependency_outcome(&p, outcomes[n]);
                        }
                    }
                }
                _ if step % 50 == 0 => leader.reread_dependencies(),
                _ => {}
            }
            for (job, job_dependencies) in &dependencies {
                let state = &leader.jobs[job];
                let is_ready = job_dependencies
                    .iter()
                    .all(|p| known_outcomes.contains(p) && outcomes[*p] == JobOutcome::Done);
                assert!(state.is_waiting() || is_ready, "seed {seed}: {job} is released too early");
                let is_cancelled = job_dependencies
                    .iter()
                    .any(|p| known_outcomes.contains(p) && outcomes[*p] == JobOutcome::Cancelled);
                assert!(
                    state.pending_outcome.is_none() || is_cancelled,
                    "seed {seed}: {job} is cancelled without cause"
                );
            }
        }
        // All dependencies have ended, and all unknown outcomes are read.
        leader.reread_dependencies();
        while let Some(DependencyRead { dependency: p, .. }) = leader.begin_dependency_read() {
            leader.apply_dependency_outcome(&p, outcomes[p[3..].parse::<usize>().expect("a number")]);
        }
        assert!(!leader.has_awaited_dependencies());
        for (job, job_dependencies) in &dependencies {
            let state = &leader.jobs[job];
            let is_cancelled = job_dependencies.iter().any(|p| outcomes[*p] == JobOutcome::Cancelled);
            assert_eq!(
                state.pending_outcome,
                is_cancelled.then_some(JobOutcome::Cancelled),
                "seed {seed}: {job}"
            );
            assert_eq!(state.is_waiting(), is_cancelled, "seed {seed}: {job}");
        }
    }
}

/// An outcome touches only the jobs that wait for it, directly or through others, however many wait for others, and each
/// dependency is read once, however many jobs wait for it.
#[test]
fn an_outcome_touches_only_dependent_jobs() {
    let (_, mut leader) = new_leader();
    for n in 0..1000 {
        add_job(&mut leader, &id(1000 + n), "idle", &[id(n / 10), id(500 + n)]);
    }
    let reads = std::iter::from_fn(|| leader.begin_dependency_read()).count();
    assert_eq!(reads, 100 + 1000);
    leader.replan = false;
    leader.apply_dependency_outcome(&id(900_000), JobOutcome::Done);
    assert!(!leader.replan, "no job waits for this one");
    leader.apply_dependency_outcome(&id(7), JobOutcome::Cancelled);
    let touched: Vec<&String> =
        leader.jobs.iter().filter(|(_, j)| j.pending_outcome.is_some()).map(|(id, _)| id).collect();
    // The jobs 1570 to 1579 follow 1070 to 1079.
    let expected: Vec<String> = (1070..1080).chain(1570..1580).map(id).collect();
    assert_eq!(touched, expected.iter().collect::<Vec<_>>());
    assert!(leader.replan && !leader.is_awaited(&id(7)) && leader.is_awaited(&id(8)));
}

/// Among jobs of equal priority, the dependencies of the earliest due release go first; they never pass a higher
/// priority.
#[test]
fn dependencies_of_the_earliest_due_release_go_first() {
    let (membership, mut leader) = new_leader();
    for (n, rank) in [(1, "normal"), (2, "normal"), (3, "normal"), (4, "high")] {
        add_job(&mut leader, &id(n), rank, &[]);
    }
    leader.set_release_due(&id(3), Some(Micros(4_000_000_000)));
    leader.set_release_due(&id(2), Some(Micros(5_000_000_000)));
    leader.apply_autoscaler_reservations(Vec::new(), Vec::new());
    assert_eq!(leader.queue_order(), [4, 3, 2, 1].map(id));
    leader.set_release_due(&id(3), None);
    assert_eq!(leader.queue_order(), [4, 2, 1, 3].map(id));
    assert!(leader.inherited_priorities_for(0, &membership).is_empty());
    leader.set_release_priorities([(id(1), 2)].into());
    assert_eq!(leader.inherited_priorities_for(0, &membership), [(id(1), 2)]);
}

/// Priority is inherited from the last job of a pipeline to its first, and is dropped with the job that it came from.
/// Lists may be lost or repeated, since each list is complete.
#[test]
fn dependencies_inherit_the_priority_of_dependent_jobs() {
    let (membership, mut leader) = new_leader();
    add_job(&mut leader, &id(1), "idle", &[]);
    add_job(&mut leader, &id(2), "idle", &[id(1)]);
    add_job(&mut leader, &id(3), "high", &[id(2)]);
    let priority = |o: &JobShard, n: usize| o.jobs[&id(n)].spec.priority;
    for _ in 0..2 {
        let list = leader.inherited_priorities_for(0, &membership);
        leader.apply_inherited_priorities(0, list.clone());
        leader.apply_inherited_priorities(0, list);
    }
    assert_eq!((priority(&leader, 1), priority(&leader, 2), priority(&leader, 3)), (2, 2, 2));
    leader.jobs.get_mut(&id(3)).expect("live").pending_outcome = Some(JobOutcome::Cancelled);
    for _ in 0..2 {
        let list = leader.inherited_priorities_for(0, &membership);
        leader.apply_inherited_priorities(0, list);
    }
    assert_eq!(
        (priority(&leader, 1), priority(&leader, 2)),
        (0, 0),
        "the ended job no longer passes on its priority"
    );
}
