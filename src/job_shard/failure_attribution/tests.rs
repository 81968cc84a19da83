use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn s(s: u64) -> Micros {
    Micros::from_millis(s * 1000)
}

/// Seen on sanaq-forms-ops: one mistaken array of 400 tasks put most of its owner's machines out of
/// use for minutes.
#[test]
fn a_mistaken_job_costs_no_machine_and_is_probed_ever_more_rarely() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut b = FailureAttribution::default();
        let mut now = s(1);
        for _ in 0..400 {
            let m = format!("i-{}", rng.random_range(0..60));
            b.error(now, "bad", &m);
            b.success("good", &format!("i-{}", rng.random_range(0..60)));
            now = now + Micros::from_millis(5);
        }
        assert!(b.suspected("bad") && !b.suspected("good"));
        assert!((0..60).all(|i| !b.shunned(now, &format!("i-{i}"))), "seed {seed}");
        let mut probes = 0;
        for t in 0..600 {
            let t = now + s(t);
            if !b.waits(t, "bad") {
                probes += 1;
                b.error(t, "bad", "i-1");
            }
        }
        assert!((5..20).contains(&probes), "seed {seed}: {probes}");
        b.success("bad", "i-1");
        assert!(!b.suspected("bad"), "one success clears it");
    }
}

#[test]
fn a_faulty_machine_is_shunned_and_the_jobs_it_failed_are_not_suspected() {
    let mut b = FailureAttribution::default();
    for i in 0..20 {
        b.error(s(10 + i), &format!("wk-{i}"), "i-9");
        assert!(!b.suspected(&format!("wk-{i}")));
    }
    assert!(b.shunned(s(60), "i-9") && b.shunned(s(150), "i-9"));
    assert!(!b.shunned(s(600), "i-9"), "but not for ever");
    assert!(b.avoided(s(30), "wk-19").contains("i-9") && b.avoided(s(90), "wk-19").is_empty());
    b.success("wk-77", "i-9");
    assert!(!b.shunned(s(60), "i-9"));
}
