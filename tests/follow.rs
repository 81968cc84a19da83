//! Job dependencies in isolation: outcomes that arrive in any order, repeatedly or late, inherited priority, and the
//! cost of processing one outcome.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::{JobOutcome, JobShard};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, TaskIndexSet};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

fn parts() -> (Membership, JobShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let s = Settings::parse("test", text).expect("valid");
    let mut m = Membership::new(&s, 1);
    m.adopt_epoch(Micros(1), &EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] }, 1);
    let mut owner = JobShard::new(&s);
    owner.adopt_epoch(&m, false);
    owner.finish_loading(std::iter::empty());
    (m, owner)
}

fn add(owner: &mut JobShard, id: &str, rank: &str, follows: &[String]) {
    let raw = json!({"uid": id, "breed": "b", "herd": "t", "gait": "batch", "rank": rank, "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "i", "imageGb": 1, "together": false, "scatter": false,
        "borrowed": false, "rideS": 1, "restS": 0, "unsaddleS": 0, "follows": follows});
    let spec = JobSpec::from_value(&raw).expect("valid");
    owner.insert_job(raw, spec, Micros(1), TaskIndexSet::default(), 1, true);
}

fn id(n: usize) -> String {
    format!("wk-{n:06}")
}

/// Outcomes arrive late, repeatedly and in any order, by a read or by a watch. A job is released once all its
/// dependencies are done and not before, and is cancelled when one of them was cancelled, whatever the order.
#[test]
fn jobs_are_released_by_the_last_end_in_whatever_order_ends_are_told() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (_, mut owner) = parts();
        let ends: Vec<JobOutcome> = (0..30)
            .map(|_| if rng.random_bool(0.05) { JobOutcome::Cancelled } else { JobOutcome::Done })
            .collect();
        let mut needs: BTreeMap<String, BTreeSet<usize>> = BTreeMap::new();
        let mut told: BTreeSet<usize> = BTreeSet::new();
        for step in 0..400 {
            match rng.random_range(0..4) {
                0 if needs.len() < 40 => {
                    let on: BTreeSet<usize> =
                        (0..rng.random_range(1..5)).map(|_| rng.random_range(0..30)).collect();
                    let job = id(1000 + needs.len());
                    add(&mut owner, &job, "idle", &on.iter().map(|&p| id(p)).collect::<Vec<_>>());
                    needs.insert(job, on);
                    // Outcomes from before are unknown until they are read.
                }
                1 => {
                    let p = rng.random_range(0..30);
                    owner.apply_dependency_outcome(&id(p), ends[p]);
                    told.insert(p);
                }
                2 => {
                    // A read, which finds an outcome or finds that there is none yet.
                    if let Some(p) = owner.next_unread_dependency() {
                        let n: usize = p[3..].parse().expect("a number");
                        if told.contains(&n) {
                            owner.apply_dependency_outcome(&p, ends[n]);
                        }
                    }
                }
                _ if step % 50 == 0 => owner.reread_dependencies(),
                _ => {}
            }
            for (job, on) in &needs {
                let j = &owner.jobs[job];
                let all = on.iter().all(|p| told.contains(p) && ends[*p] == JobOutcome::Done);
                assert!(j.is_waiting() || all, "seed {seed}: {job} is released too early");
                let gone = on.iter().any(|p| told.contains(p) && ends[*p] == JobOutcome::Cancelled);
                assert!(j.pending_outcome.is_none() || gone, "seed {seed}: {job} ends for nothing");
            }
        }
        // All dependencies have ended, and all unknown outcomes are read.
        owner.reread_dependencies();
        while let Some(p) = owner.next_unread_dependency() {
            owner.apply_dependency_outcome(&p, ends[p[3..].parse::<usize>().expect("a number")]);
        }
        assert!(!owner.has_awaited_dependencies());
        for (job, on) in &needs {
            let j = &owner.jobs[job];
            let gone = on.iter().any(|p| ends[*p] == JobOutcome::Cancelled);
            assert_eq!(j.pending_outcome, gone.then_some(JobOutcome::Cancelled), "seed {seed}: {job}");
            assert_eq!(j.is_waiting(), gone, "seed {seed}: {job}");
        }
    }
}

/// An outcome touches only the jobs that wait for it, however many wait for others, and each dependency is
/// read once, however many jobs wait for it.
#[test]
fn an_end_costs_its_followers_only() {
    let (_, mut owner) = parts();
    for n in 0..1000 {
        add(&mut owner, &id(1000 + n), "idle", &[id(n / 10), id(500 + n)]);
    }
    let reads = std::iter::from_fn(|| owner.next_unread_dependency()).count();
    assert_eq!(reads, 100 + 1000);
    owner.replan = false;
    owner.apply_dependency_outcome(&id(900_000), JobOutcome::Done);
    assert!(!owner.replan, "nobody waits for this one");
    owner.apply_dependency_outcome(&id(7), JobOutcome::Cancelled);
    let touched: Vec<&String> =
        owner.jobs.iter().filter(|(_, j)| j.pending_outcome.is_some()).map(|(id, _)| id).collect();
    assert_eq!(touched, (1070..1080).map(id).collect::<Vec<_>>().iter().collect::<Vec<_>>());
    assert!(owner.replan && !owner.is_awaited(&id(7)) && owner.is_awaited(&id(8)));
}

/// Among jobs of equal priority, the dependencies of the earliest due release go first; they never pass a higher
/// priority.
#[test]
fn what_a_release_needs_first_goes_first() {
    let (m, mut owner) = parts();
    for (n, rank) in [(1, "normal"), (2, "normal"), (3, "normal"), (4, "high")] {
        add(&mut owner, &id(n), rank, &[]);
    }
    owner.set_release_due(&id(3), Some(Micros(4_000_000_000)));
    owner.set_release_due(&id(2), Some(Micros(5_000_000_000)));
    owner.apply_autoscaler_reservations(Vec::new(), Vec::new());
    assert_eq!(owner.queue_order(), [4, 3, 2, 1].map(id));
    owner.set_release_due(&id(3), None);
    assert_eq!(owner.queue_order(), [4, 2, 1, 3].map(id));
    assert!(owner.inherited_priorities_for(0, &m).is_empty());
    owner.set_release_priorities([(id(1), 2)].into());
    assert_eq!(owner.inherited_priorities_for(0, &m), [(id(1), 2)]);
}

/// Priority is inherited from the last job of a pipeline to its first, and is dropped with the job that it came from.
/// Lists may be lost or repeated, since each list is complete.
#[test]
fn prerequisites_are_as_urgent_as_what_needs_them() {
    let (m, mut owner) = parts();
    add(&mut owner, &id(1), "idle", &[]);
    add(&mut owner, &id(2), "idle", &[id(1)]);
    add(&mut owner, &id(3), "high", &[id(2)]);
    let priority = |o: &JobShard, n: usize| o.jobs[&id(n)].spec.priority;
    for _ in 0..2 {
        let list = owner.inherited_priorities_for(0, &m);
        owner.apply_inherited_priorities(0, list.clone());
        owner.apply_inherited_priorities(0, list);
    }
    assert_eq!((priority(&owner, 1), priority(&owner, 2), priority(&owner, 3)), (2, 2, 2));
    owner.jobs.get_mut(&id(3)).expect("live").pending_outcome = Some(JobOutcome::Cancelled);
    for _ in 0..2 {
        let list = owner.inherited_priorities_for(0, &m);
        owner.apply_inherited_priorities(0, list);
    }
    assert_eq!((priority(&owner, 1), priority(&owner, 2)), (0, 0), "it needs them no more");
}
