use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn room(cpus: i64, gpus: i64) -> Resources {
    Resources { cpus, gpus, memory: 0 }
}

#[test]
fn job_is_within_the_guarantee_together_with_earlier_ones_only() {
    let guarantee = room(100, 8);
    let others = [("wk-1", Some(10), room(60, 8)), ("wk-3", Some(30), room(90, 0))];
    let others = others.map(|(id, accepted, allocated)| TeamJob { id, accepted, allocated });
    let at = |place, taken| tier_of(guarantee, place, taken, others.iter().copied());
    assert_eq!(at((20, "wk-2"), room(40, 0)), QuotaTier::Within, "the GPUs of others are no concern of it");
    assert_eq!(at((20, "wk-2"), room(41, 0)), QuotaTier::Beyond);
    assert_eq!(at((20, "wk-2"), room(1, 1)), QuotaTier::Beyond, "the earlier one has all GPUs");
    assert_eq!(at((10, "wk-0"), room(100, 8)), QuotaTier::Within, "the id decides within a second");
    assert_eq!(at((10, "wk-2"), room(100, 8)), QuotaTier::Beyond);
    assert_eq!(tier_of(room(100, 0), (1, "a"), room(1, 1), std::iter::empty()), QuotaTier::Beyond);
    assert_eq!(tier_of(room(0, 4), (1, "a"), room(50, 4), std::iter::empty()), QuotaTier::Within);
    assert_eq!(tier_of(room(0, 0), (1, "a"), room(1, 0), std::iter::empty()), QuotaTier::NoGuarantee);
}

/// What the record leaves open is neither taken for nor taken: both would be wrong for one of two answers.
#[test]
fn tier_is_unknown_if_an_order_that_is_not_on_record_would_decide() {
    let unknown = [TeamJob { id: "wk-1", accepted: None, allocated: room(60, 0) }];
    let at = |taken| tier_of(room(100, 0), (20, "wk-2"), taken, unknown.iter().copied());
    assert_eq!(at(room(40, 0)), QuotaTier::Within);
    assert_eq!(at(room(41, 0)), QuotaTier::Unknown);
    assert_eq!(at(room(101, 0)), QuotaTier::Beyond);
    assert!(!may_preempt(10, QuotaTier::Unknown, true, 13, Micros(u64::MAX)));
    assert_eq!(preempting_priority(11, QuotaTier::Unknown), 1);
}

/// All jobs that are within fit into the guarantee together, whoever asks about which.
#[test]
fn jobs_within_never_add_up_to_more_than_the_guarantee() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let guarantee = room(rng.random_range(1..400), rng.random_range(1..40));
        let jobs: Vec<(String, u64, Resources)> = (0..rng.random_range(1..12))
            .map(|i| {
                let r = room(rng.random_range(1..120), rng.random_range(1..12));
                (format!("wk-{i}"), rng.random_range(0..5), r)
            })
            .collect();
        let of = |(id, at, taken): &(String, u64, Resources)| {
            let others = jobs.iter().map(|(id, at, r)| TeamJob { id, accepted: Some(*at), allocated: *r });
            tier_of(guarantee, (*at, id), *taken, others)
        };
        let within = jobs.iter().filter(|j| of(j) == QuotaTier::Within);
        let sum = within.fold(Resources::default(), |a, (.., r)| a + *r);
        assert!(guarantee.can_hold(sum), "seed {seed}");
    }
}

#[test]
fn only_borrowed_work_is_preempted_for_another_teams_guarantee() {
    let long = Micros::from_millis(60_000);
    assert!(
        may_preempt(0, QuotaTier::NoGuarantee, false, 10, Micros(0)),
        "whatever has no guarantee, at once"
    );
    assert!(may_preempt(13, QuotaTier::Beyond, false, 10, long), "whatever its rank");
    assert!(!may_preempt(10, QuotaTier::Within, true, 13, long));
    assert!(
        !may_preempt(10, QuotaTier::Beyond, true, preempting_priority(12, QuotaTier::Beyond), long),
        "nor for borrowed room"
    );
    let soon = Micros::from_millis(6_000);
    assert!(
        may_preempt(10, QuotaTier::Beyond, true, 11, soon)
            && !may_preempt(10, QuotaTier::Beyond, false, 11, soon)
    );
    assert!(
        !may_preempt(2, QuotaTier::NoGuarantee, true, preempting_priority(11, QuotaTier::Beyond), long),
        "borrowing has its rank"
    );
}
