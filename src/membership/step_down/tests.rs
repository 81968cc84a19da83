//! When to leave the ring, and when to come back.

use super::*;

fn aside() -> StepDown {
    let text = "member = \"c1\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
        [[seeds]]\nmember = \"c0\"\naddr = \"10.0.0.2:2\"\n[[seeds]]\nmember = \"c2\"\naddr = \"10.0.0.3:2\"\n\
        [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\n\
        lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
        write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let mut a = StepDown::new(&Settings::parse("test", text).expect("valid"));
    a.epoch(at(1000));
    a.worker(at(2000), "i-1");
    for p in [0, 2] {
        a.echo(p, at(2000));
    }
    a
}
fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}
fn names(n: usize) -> impl Iterator<Item = String> {
    (0..n).map(|i| format!("i-{i}"))
}
fn echo(a: &mut StepDown, ms: u64) {
    a.echo(0, at(ms));
    a.echo(2, at(ms));
}

/// Seen on sanaq-forms-ops: cut from its workers alone, a controller kept its place until their
/// leases had run out, and 1,600 tasks were lost.
#[test]
fn who_hears_no_worker_while_its_machines_turn_up_elsewhere_leaves() {
    let mut a = aside();
    echo(&mut a, 6000);
    assert_eq!(a.verdict(at(6000), 9, 1, &[0, 2]), None, "quiet alone proves nothing: they may be dead");
    a.stray(at(5000), names(2));
    assert_eq!(a.verdict(at(6000), 9, 1, &[0, 2]), None, "two may have had bad luck");
    a.stray(at(5500), names(4));
    assert_eq!(a.verdict(at(6000), 9, 1, &[0, 2]), Some(Missing::Workers));
    assert_eq!(a.verdict(at(6000), 9, 1, &[]), None, "there is nobody to leave it to");
    let mut heard = aside();
    heard.stray(at(5000), names(9));
    heard.worker(at(5900), "i-77");
    echo(&mut heard, 6000);
    assert_eq!(heard.verdict(at(6000), 9, 1, &[0, 2]), None, "one worker gets through");
    a.paused(at(6000), at(3500));
    assert_eq!(a.verdict(at(6000), 9, 1, &[0, 2]), None, "it did not listen itself");
}

#[test]
fn of_two_that_do_not_hear_each_other_one_leaves() {
    let mut a = aside();
    a.worker(at(40_000), "i-1");
    a.echo(0, at(40_000));
    assert_eq!(a.verdict(at(40_000), 9, 1, &[0, 2]), None, "the other one is the later");
    a.echo(2, at(40_000));
    a.echoed[0] = at(2000);
    assert_eq!(a.verdict(at(28_000), 9, 1, &[0, 2]), None, "they had better wait a little");
    assert_eq!(a.verdict(at(40_000), 9, 1, &[0, 2]), Some(Missing::Peers));
    a.echoed[2] = at(2000);
    assert_eq!(a.verdict(at(23_000), 9, 1, &[0, 2]), None);
    assert_eq!(a.verdict(at(24_000), 9, 1, &[0, 2]), Some(Missing::Peers), "it hears nobody");
}

#[test]
fn it_comes_back_once_workers_answer_and_stays_away_longer_each_time() {
    let mut a = aside();
    let mut now = at(10_000);
    let mut stays = Vec::new();
    for _ in 0..5 {
        a.leave(now, Missing::Workers);
        let left = now;
        a.probed(true);
        a.probed(false);
        a.probed(true);
        assert!(!a.may_return(left + LONGEST.shortened(), &[0, 2]), "one answer may be luck");
        assert!(a.may_return(left + LONGEST, &[0, 2]), "but not for ever");
        a.probed(true);
        while !a.may_return(now, &[0, 2]) {
            now = now + at(1000);
        }
        stays.push(now.since(left).0 / 1_000_000);
        a.back(now);
    }
    assert_eq!(stays, [6, 12, 24, 48, 96]);
}

/// A copy of a report that came by here long ago says nothing of where the machine is now.
#[test]
fn a_copy_of_an_old_report_is_no_visit() {
    let mut s = MisroutedHeartbeats::default();
    s.visit("i-1", (1, 5), false);
    s.visit("i-1", (1, 5), false);
    s.visit("i-1", (1, 4), true);
    assert!(s.report().is_empty());
    s.visit("i-1", (2, 1), false);
    assert_eq!(s.report(), ["i-1"]);
}
