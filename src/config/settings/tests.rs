use super::*;

fn parse(next: &str) -> Result<Settings, String> {
    let text = format!(
        "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 20.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n{next}\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("test", &text).map_err(|e| e.to_string())
}

#[test]
fn of_each_limit_now_and_later_the_lesser_holds() {
    let limits = |next: &str| {
        let s = parse(next).expect("valid");
        (s.store_rps.round(), s.store_write_rps.round(), s.value_bytes, s.txn_ops)
    };
    assert_eq!(limits(""), (90.0, 18.0, 4096, 8));
    assert_eq!(
        limits("[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 10"),
        (90.0, 9.0, 2048, 4)
    );
    assert_eq!(limits("[settings.state.next]\nvalue_kb = 2"), (90.0, 18.0, 2048, 8));
    assert_eq!(limits("[settings.state.next]\nvalue_kb = 9.0\nrps = 50.0\nother = 1"), (45.0, 18.0, 4096, 8));
}

#[test]
fn limits_that_make_no_sense_are_refused_by_name() {
    for key in ["rps", "write_rps", "value_kb", "txn_ops"] {
        for value in ["0", "-1", "\"x\"", "nan"] {
            let e = parse(&format!("[settings.state.next]\n{key} = {value}")).expect_err("refused");
            assert!(e.contains(key) && !e.contains('\n'), "{e}");
        }
    }
}

/// Each deployment's `report_s`, `lease_s` and `cancel_s`.
const DEPLOYMENTS: [(f64, f64, f64); 6] = [
    (3.0, 21.0, 51.0),
    (3.0, 18.0, 43.0),
    (4.0, 18.0, 43.0),
    (5.0, 26.5, 56.5),
    (5.0, 26.5, 51.5),
    (4.0, 26.5, 51.5),
];

#[test]
fn on_the_settings_of_every_deployment_a_cancelled_jobs_tasks_are_gone_in_time() {
    for (report, lease, cancel) in DEPLOYMENTS {
        let [report, lease, cancel] = [report, lease, cancel].map(Micros::from_secs);
        let b = CancellationBudget::new(cancel, lease, report);
        assert_eq!(b.check(), Ok(()));
        // Each step, on the clock on which it is longest.
        let drift = |t: Micros| Micros(t.0 + t.0 / 2000);
        assert!(drift(drift(b.reach)) + drift(lease) + Micros::from_millis(500) < cancel, "{b:?}");
        assert!(b.reach.0 > report.0 * 4, "a takeover is over long before: {b:?}");
    }
}

#[test]
fn settings_that_leave_no_time_are_named_with_their_figures() {
    let s = |x| Micros::from_secs(x);
    let b = CancellationBudget::new(s(30.0), s(26.0), s(5.0));
    assert_eq!(b.reach, s(10.0), "the least that serves");
    let e = b.check().expect_err("it can't be held").to_string();
    assert!(e.contains("cancel_s") && e.contains("30 s") && e.contains("26 s") && !e.contains('\n'), "{e}");
}
