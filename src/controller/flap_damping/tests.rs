//! Tests of the time for which a flapping controller is kept out of the ring.

use super::*;

fn settings() -> Settings {
    let text = "member = \"c1\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
        [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

#[test]
fn pause_grows_with_each_join_and_expires() {
    let (settings, mut damping) = (settings(), FlapDamping::default());
    let wall = |secs: u64| Micros(1_000_000_000_000 + secs * 1_000_000);
    let mut record = json!({});
    let mut old = EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] };
    let mut pauses = Vec::new();
    for boot in 0..8 {
        let mut next = old.clone();
        next.members = vec![("c0".into(), 1), ("c1".into(), boot)];
        pauses.push(damping.pause(&settings, wall(boot)).0 / 1_000_000);
        damping.write(&settings, wall(boot), &old, &next, &mut record);
        damping.read(&record);
        old = next;
    }
    assert_eq!(pauses, [0, 0, 0, 6, 12, 24, 48, 60]);
    assert_eq!(damping.pause(&settings, wall(80)), Micros(0));
    assert_eq!(
        damping.pause(&settings, wall(0).since(wall(0) + Micros(1))),
        Micros(0),
        "a clock that was set back"
    );
    // A controller that remains a member is not added again, and an unreadable list holds no controller back.
    damping.write(&settings, wall(8), &old, &old, &mut record);
    assert_eq!(record[JOINS_KEY].as_array().map(Vec::len), Some(8));
    damping.read(&json!({"came": 7}));
    assert_eq!(damping.pause(&settings, wall(8)), Micros(0));
}
