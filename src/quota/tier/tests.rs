use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn resources(cpus: i64, gpus: i64) -> Resources {
    Resources { cpus, gpus, memory: 0 }
}

#[test]
fn job_is_within_the_guarantee_together_with_earlier_jobs_only() {
    let guarantee = resources(100, 8);
    let others = [("wk-1", Some(10), resources(60, 8)), ("wk-3", Some(30), resources(90, 0))];
    let others = others.map(|(id, accepted, allocated)| TeamJob { id, accepted, allocated });
    let at = |place, taken| tier_of(guarantee, place, taken, others.iter().copied());
    assert_eq!(at((20, "wk-2"), resources(40, 0)), QuotaTier::Within, "other jobs' GPUs don't matter to it");
    assert_eq!(at((20, "wk-2"), resources(41, 0)), QuotaTier::Beyond);
    assert_eq!(at((20, "wk-2"), resources(1, 1)), QuotaTier::Beyond, "the earlier job has all GPUs");
    assert_eq!(at((10, "wk-0"), resources(100, 8)), QuotaTier::Within, "within a second the id decides");
    assert_eq!(at((10, "wk-2"), resources(100, 8)), QuotaTier::Beyond);
    assert_eq!(tier_of(resources(100, 0), (1, "a"), resources(1, 1), std::iter::empty()), QuotaTier::Beyond);
    assert_eq!(tier_of(resources(0, 4), (1, "a"), resources(50, 4), std::iter::empty()), QuotaTier::Within);
    assert_eq!(
        tier_of(resources(0, 0), (1, "a"), resources(1, 0), std::iter::empty()),
        QuotaTier::NoGuarantee
    );
}

/// A job whose tier depends on an order that is not stored must neither preempt nor be preempted, because either would
/// be wrong for one of the two possible orders.
#[test]
fn tier_is_unknown_if_it_depends_on_an_order_not_on_record() {
    let unknown = [TeamJob { id: "wk-1", accepted: None, allocated: resources(60, 0) }];
    let at = |taken| tier_of(resources(100, 0), (20, "wk-2"), taken, unknown.iter().copied());
    assert_eq!(at(resources(40, 0)), QuotaTier::Within);
    assert_eq!(at(resources(41, 0)), QuotaTier::Unknown);
    assert_eq!(at(resources(101, 0)), QuotaTier::Beyond);
    assert!(!may_preempt(10, QuotaTier::Unknown, true, 13, Micros(u64::MAX)));
    assert_eq!(preempting_priority(11, QuotaTier::Unknown), 1);
}

/// The jobs that are within the guarantee must fit into it together, since each controller computes the tier of each job
/// separately.
#[test]
fn jobs_within_the_guarantee_never_exceed_it_together() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let guarantee = resources(rng.random_range(1..400), rng.random_range(1..40));
        let jobs: Vec<(String, u64, Resources)> = (0..rng.random_range(1..12))
            .map(|i| {
                let allocation = resources(rng.random_range(1..120), rng.random_range(1..12));
                (format!("wk-{i}"), rng.random_range(0..5), allocation)
            })
            .collect();
        let tier_of_job = |(id, at, taken): &(String, u64, Resources)| {
            let others = jobs.iter().map(|(id, at, r)| TeamJob { id, accepted: Some(*at), allocated: *r });
            tier_of(guarantee, (*at, id), *taken, others)
        };
        let within = jobs.iter().filter(|j| tier_of_job(j) == QuotaTier::Within);
        let sum = within.fold(Resources::default(), |a, (.., r)| a + *r);
        assert!(guarantee.can_hold(sum), "seed {seed}");
    }
}

#[test]
fn only_borrowed_work_is_preempted_for_another_teams_guarantee() {
    let long = Micros::from_millis(60_000);
    assert!(
        may_preempt(0, QuotaTier::NoGuarantee, false, 10, Micros(0)),
        "work of teams without a guarantee is preempted immediately"
    );
    assert!(
        may_preempt(13, QuotaTier::Beyond, false, 10, long),
        "borrowed work is preempted at any priority"
    );
    assert!(!may_preempt(10, QuotaTier::Within, true, 13, long));
    assert!(
        !may_preempt(10, QuotaTier::Beyond, true, preempting_priority(12, QuotaTier::Beyond), long),
        "work beyond its guarantee does not preempt borrowed work"
    );
    let soon = Micros::from_millis(6_000);
    assert!(
        may_preempt(10, QuotaTier::Beyond, true, 11, soon)
            && !may_preempt(10, QuotaTier::Beyond, false, 11, soon)
    );
    assert!(
        !may_preempt(2, QuotaTier::NoGuarantee, true, preempting_priority(11, QuotaTier::Beyond), long),
        "work beyond its guarantee preempts with its own priority only"
    );
}
