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
fn lower_one_of_present_and_future_limit_is_used() {
    let limits = |next: &str| {
        let settings = parse(next).expect("valid");
        (settings.store_rps.round(), settings.store_write_rps.round(), settings.value_bytes, settings.txn_ops)
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
fn invalid_future_limits_are_rejected_and_named() {
    for key in ["rps", "write_rps", "value_kb", "txn_ops"] {
        for value in ["0", "-1", "\"x\"", "nan"] {
            let message = parse(&format!("[settings.state.next]\n{key} = {value}")).expect_err("rejected");
            assert!(message.contains(key) && !message.contains('\n'), "{message}");
        }
    }
}

/// `report_s`, `lease_s` and `cancel_s` of each deployment.
const DEPLOYMENTS: [(f64, f64, f64); 6] = [
    (3.0, 21.0, 51.0),
    (3.0, 18.0, 43.0),
    (4.0, 18.0, 43.0),
    (5.0, 26.5, 56.5),
    (5.0, 26.5, 51.5),
    (4.0, 26.5, 51.5),
];

#[test]
fn cancelled_tasks_stop_within_cancel_s_on_every_deployments_settings() {
    for (report, lease, cancel) in DEPLOYMENTS {
        let [report, lease, cancel] = [report, lease, cancel].map(Micros::from_secs);
        let budget = CancellationBudget::new(cancel, lease, report);
        assert_eq!(budget.check(), Ok(()));
        // Each step is measured by the clock on which it takes longest.
        let with_drift = |time: Micros| Micros(time.0 + time.0 / 2000);
        assert!(
            with_drift(with_drift(budget.leader_silence_limit))
                + with_drift(lease)
                + Micros::from_millis(500)
                < cancel,
            "{budget:?}"
        );
        assert!(
            budget.leader_silence_limit.0 > report.0 * 4,
            "a failover takes much less than this limit: {budget:?}"
        );
    }
}

#[test]
fn unattainable_cancel_s_is_reported_with_its_figures() {
    let secs = |seconds| Micros::from_secs(seconds);
    let budget = CancellationBudget::new(secs(30.0), secs(26.0), secs(5.0));
    assert_eq!(budget.leader_silence_limit, secs(10.0), "its minimum");
    let message = budget.check().expect_err("it can't be held").to_string();
    assert!(
        message.contains("cancel_s")
            && message.contains("30 s")
            && message.contains("26 s")
            && !message.contains('\n'),
        "{message}"
    );
}
