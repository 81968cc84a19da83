//! Tests of when a controller leaves the ring and when it rejoins.

use super::*;

fn step_down_on_ring() -> StepDown {
    let text = "member = \"c1\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
        [[seeds]]\nmember = \"c0\"\naddr = \"10.0.0.2:2\"\n[[seeds]]\nmember = \"c2\"\naddr = \"10.0.0.3:2\"\n\
        [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let mut step_down = StepDown::new(&Settings::parse("test", text).expect("valid"));
    step_down.adopt_epoch(at(1000));
    step_down.record_heartbeat(at(2000), "i-1");
    for peer in [0, 2] {
        step_down.record_echo(peer, at(2000));
    }
    step_down
}
fn at(milliseconds: u64) -> Micros {
    Micros::from_millis(milliseconds)
}
fn machine_names(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|i| format!("i-{i}"))
}
fn record_echoes(step_down: &mut StepDown, milliseconds: u64) {
    step_down.record_echo(0, at(milliseconds));
    step_down.record_echo(2, at(milliseconds));
}

/// Guards against a controller that is cut off from its workers alone and stays on the ring until their leases have
/// expired, so that all their tasks are lost.
#[test]
fn a_controller_without_heartbeats_leaves_once_its_machines_are_misrouted() {
    let mut step_down = step_down_on_ring();
    record_echoes(&mut step_down, 6000);
    assert_eq!(
        step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]),
        None,
        "missing heartbeats alone prove nothing: the machines may be down"
    );
    step_down.record_misrouted(at(5000), machine_names(2));
    assert_eq!(
        step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]),
        None,
        "two misrouted machines are too few"
    );
    step_down.record_misrouted(at(5500), machine_names(4));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]), Some(StepDownReason::NoWorkers));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[]), None, "there is no other member to take over");
    let mut connected = step_down_on_ring();
    connected.record_misrouted(at(5000), machine_names(9));
    connected.record_heartbeat(at(5900), "i-77");
    record_echoes(&mut connected, 6000);
    assert_eq!(connected.reason_to_leave(at(6000), 9, 1, &[0, 2]), None, "one worker's heartbeat arrived");
    step_down.discount_pause(at(6000), at(3500));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]), None, "the process itself was paused");
}

#[test]
fn of_two_controllers_cut_off_from_each_other_one_leaves() {
    let mut step_down = step_down_on_ring();
    step_down.record_heartbeat(at(40_000), "i-1");
    step_down.record_echo(0, at(40_000));
    assert_eq!(
        step_down.reason_to_leave(at(40_000), 9, 1, &[0, 2]),
        None,
        "the other controller has the higher index"
    );
    step_down.record_echo(2, at(40_000));
    step_down.echoed_at[0] = at(2000);
    assert_eq!(
        step_down.reason_to_leave(at(28_000), 9, 1, &[0, 2]),
        None,
        "the limit for a single peer is longer"
    );
    assert_eq!(step_down.reason_to_leave(at(40_000), 9, 1, &[0, 2]), Some(StepDownReason::NoPeers));
    step_down.echoed_at[2] = at(2000);
    assert_eq!(step_down.reason_to_leave(at(23_000), 9, 1, &[0, 2]), None);
    assert_eq!(
        step_down.reason_to_leave(at(24_000), 9, 1, &[0, 2]),
        Some(StepDownReason::NoPeers),
        "no peer's echo arrives"
    );
}

#[test]
fn it_rejoins_once_workers_are_reached_and_each_absence_is_longer() {
    let mut step_down = step_down_on_ring();
    let mut now = at(10_000);
    let mut absences_s = Vec::new();
    for _ in 0..5 {
        step_down.leave(now, StepDownReason::NoWorkers);
        let left_at = now;
        step_down.record_probe(true);
        step_down.record_probe(false);
        step_down.record_probe(true);
        assert!(
            !step_down.can_rejoin(left_at + MAX_ABSENCE.minus_drift(), &[0, 2]),
            "one reached worker is not enough"
        );
        assert!(
            step_down.can_rejoin(left_at + MAX_ABSENCE, &[0, 2]),
            "but it rejoins after the maximum absence"
        );
        step_down.record_probe(true);
        while !step_down.can_rejoin(now, &[0, 2]) {
            now = now + at(1000);
        }
        absences_s.push(now.since(left_at).0 / 1_000_000);
        step_down.rejoin(now);
    }
    assert_eq!(absences_s, [6, 12, 24, 48, 96]);
}

#[test]
fn step_down_reasons_are_displayed_as_status_words() {
    let reasons = [StepDownReason::NoWorkers, StepDownReason::NoPeers, StepDownReason::Requested];
    assert_eq!(reasons.map(|reason| reason.to_string()), ["workers", "peers", "asked"]);
}
