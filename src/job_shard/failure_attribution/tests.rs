use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn s(s: u64) -> Micros {
    Micros::from_millis(s * 1000)
}

/// Guards against one mistaken array of many tasks that puts most of its leader's machines out of use for minutes.
#[test]
fn a_mistaken_job_costs_no_machine_and_is_probed_ever_more_rarely() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut failures = FailureAttribution::default();
        let mut now = s(1);
        for _ in 0..400 {
            let machine = format!("i-{}", rng.random_range(0..60));
            failures.note_error(now, "bad", &machine);
            failures.note_success("good", &format!("i-{}", rng.random_range(0..60)));
            now = now + Micros::from_millis(5);
        }
        assert!(failures.is_job_quarantined("bad") && !failures.is_job_quarantined("good"));
        assert!((0..60).all(|i| !failures.is_machine_quarantined(now, &format!("i-{i}"))), "seed {seed}");
        let mut probes = 0;
        for t in 0..600 {
            let t = now + s(t);
            if !failures.awaits_probe(t, "bad") {
                probes += 1;
                failures.note_error(t, "bad", "i-1");
            }
        }
        assert!((5..20).contains(&probes), "seed {seed}: {probes}");
        failures.note_success("bad", "i-1");
        assert!(!failures.is_job_quarantined("bad"), "one success clears it");
    }
}

#[test]
fn a_faulty_machine_is_quarantined_and_the_jobs_it_failed_are_not() {
    let mut failures = FailureAttribution::default();
    for i in 0..20 {
        failures.note_error(s(10 + i), &format!("wk-{i}"), "i-9");
        assert!(!failures.is_job_quarantined(&format!("wk-{i}")));
    }
    assert!(failures.is_machine_quarantined(s(60), "i-9") && failures.is_machine_quarantined(s(150), "i-9"));
    assert!(!failures.is_machine_quarantined(s(600), "i-9"), "but not for ever");
    assert!(
        failures.machines_avoided_by(s(30), "wk-19").contains("i-9")
            && failures.machines_avoided_by(s(90), "wk-19").is_empty()
    );
    failures.note_success("wk-77", "i-9");
    assert!(!failures.is_machine_quarantined(s(60), "i-9"));
}
