//! When to leave the ring, and when to come back.

use super::*;

fn on_ring() -> StepDown {
    let text = "member = \"c1\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
        [[seeds]]\nmember = \"c0\"\naddr = \"10.0.0.2:2\"\n[[seeds]]\nmember = \"c2\"\naddr = \"10.0.0.3:2\"\n\
        [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let mut step_down = StepDown::new(&Settings::parse("test", text).expect("valid"));
    step_down.adopt_epoch(at(1000));
    step_down.record_heartbeat(at(2000), "i-1");
    for p in [0, 2] {
        step_down.record_echo(p, at(2000));
    }
    step_down
}
fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}
fn names(n: usize) -> impl Iterator<Item = String> {
    (0..n).map(|i| format!("i-{i}"))
}
fn echo(step_down: &mut StepDown, ms: u64) {
    step_down.record_echo(0, at(ms));
    step_down.record_echo(2, at(ms));
}

/// Cut from its workers alone, a controller that kept its place until their leases had expired would lose all their tasks.
#[test]
fn who_hears_no_worker_while_its_machines_turn_up_elsewhere_leaves() {
    let mut step_down = on_ring();
    echo(&mut step_down, 6000);
    assert_eq!(
        step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]),
        None,
        "quiet alone proves nothing: they may be dead"
    );
    step_down.record_misrouted(at(5000), names(2));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]), None, "two may have had bad luck");
    step_down.record_misrouted(at(5500), names(4));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]), Some(StepDownReason::NoWorkers));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[]), None, "there is nobody to leave it to");
    let mut heard = on_ring();
    heard.record_misrouted(at(5000), names(9));
    heard.record_heartbeat(at(5900), "i-77");
    echo(&mut heard, 6000);
    assert_eq!(heard.reason_to_leave(at(6000), 9, 1, &[0, 2]), None, "one worker gets through");
    step_down.discount_pause(at(6000), at(3500));
    assert_eq!(step_down.reason_to_leave(at(6000), 9, 1, &[0, 2]), None, "it did not listen itself");
}

#[test]
fn of_two_that_do_not_hear_each_other_one_leaves() {
    let mut step_down = on_ring();
    step_down.record_heartbeat(at(40_000), "i-1");
    step_down.record_echo(0, at(40_000));
    assert_eq!(step_down.reason_to_leave(at(40_000), 9, 1, &[0, 2]), None, "the other one is the later");
    step_down.record_echo(2, at(40_000));
    step_down.echoed_at[0] = at(2000);
    assert_eq!(step_down.reason_to_leave(at(28_000), 9, 1, &[0, 2]), None, "they had better wait a little");
    assert_eq!(step_down.reason_to_leave(at(40_000), 9, 1, &[0, 2]), Some(StepDownReason::NoPeers));
    step_down.echoed_at[2] = at(2000);
    assert_eq!(step_down.reason_to_leave(at(23_000), 9, 1, &[0, 2]), None);
    assert_eq!(
        step_down.reason_to_leave(at(24_000), 9, 1, &[0, 2]),
        Some(StepDownReason::NoPeers),
        "it hears nobody"
    );
}

#[test]
fn it_comes_back_once_workers_answer_and_stays_away_longer_each_time() {
    let mut step_down = on_ring();
    let mut now = at(10_000);
    let mut stays = Vec::new();
    for _ in 0..5 {
        step_down.leave(now, StepDownReason::NoWorkers);
        let left = now;
        step_down.record_probe(true);
        step_down.record_probe(false);
        step_down.record_probe(true);
        assert!(
            !step_down.can_rejoin(left + LONGEST_ABSENCE.minus_drift(), &[0, 2]),
            "one answer may be luck"
        );
        assert!(step_down.can_rejoin(left + LONGEST_ABSENCE, &[0, 2]), "but not for ever");
        step_down.record_probe(true);
        while !step_down.can_rejoin(now, &[0, 2]) {
            now = now + at(1000);
        }
        stays.push(now.since(left).0 / 1_000_000);
        step_down.rejoin(now);
    }
    assert_eq!(stays, [6, 12, 24, 48, 96]);
}

#[test]
fn the_reason_has_its_word_in_the_status() {
    let words = [StepDownReason::NoWorkers, StepDownReason::NoPeers, StepDownReason::Requested];
    assert_eq!(words.map(|reason| reason.to_string()), ["workers", "peers", "asked"]);
}
