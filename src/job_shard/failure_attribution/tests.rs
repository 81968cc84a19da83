use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn seconds(seconds: u64) -> Micros {
    Micros::from_millis(seconds * 1000)
}

/// Guards against a faulty array of many tasks that quarantines most of its leader's machines for minutes.
#[test]
fn a_faulty_job_quarantines_no_machine_and_is_probed_with_backoff() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut failures = FailureAttribution::default();
        let mut now = seconds(1);
        for _ in 0..400 {
            let machine = format!("i-{}", rng.random_range(0..60));
            failures.note_error(now, "bad", &machine);
            failures.note_success("good", &format!("i-{}", rng.random_range(0..60)));
            now = now + Micros::from_millis(5);
        }
        assert!(failures.is_job_quarantined("bad") && !failures.is_job_quarantined("good"));
        assert!((0..60).all(|i| !failures.is_machine_quarantined(now, &format!("i-{i}"))), "seed {seed}");
        let mut probes = 0;
        for second in 0..600 {
            let time = now + seconds(second);
            if !failures.awaits_probe(time, "bad") {
                probes += 1;
                failures.note_error(time, "bad", "i-1");
            }
        }
        assert!((5..20).contains(&probes), "seed {seed}: {probes}");
        failures.note_success("bad", "i-1");
        assert!(!failures.is_job_quarantined("bad"), "one success ends the quarantine");
    }
}

#[test]
fn a_faulty_machine_is_quarantined_and_the_jobs_it_failed_are_not() {
    let mut failures = FailureAttribution::default();
    for i in 0..20 {
        failures.note_error(seconds(10 + i), &format!("wk-{i}"), "i-9");
        assert!(!failures.is_job_quarantined(&format!("wk-{i}")));
    }
    assert!(
        failures.is_machine_quarantined(seconds(60), "i-9")
            && failures.is_machine_quarantined(seconds(150), "i-9")
    );
    assert!(!failures.is_machine_quarantined(seconds(600), "i-9"), "the quarantine expires");
    assert!(
        failures.machines_avoided_by(seconds(30), "wk-19").contains("i-9")
            && failures.machines_avoided_by(seconds(90), "wk-19").is_empty()
    );
    failures.note_success("wk-77", "i-9");
    assert!(!failures.is_machine_quarantined(seconds(60), "i-9"));
}
