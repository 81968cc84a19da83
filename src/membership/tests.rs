use super::*;

fn member(me: usize) -> Membership {
    let s = |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\naddr = \"10.0.0.{i}:2\"\n");
    let seeds: String = (0..3).filter(|&i| i != me).map(s).collect();
    let text = format!(
        "member = \"c{me}\"\napi_addr = \"10.0.0.9:1\"\nback = \"10.0.0.9:2\"\n{seeds}[outside]\n\
        cloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\n\
        gang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\n\
        value_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    let mut m = Membership::new(&Settings::parse("test", &text).expect("valid"), 1);
    let record = |epoch| EpochRecord { epoch, members: (0..3).map(|i| (format!("c{i}"), 1)).collect() };
    m.adopt(Micros::from_millis(1000), &record(4), 1);
    m
}

#[test]
fn the_right_to_act_ends_with_the_lease_or_the_last_confirmation() {
    let at = Micros::from_millis;
    let mut m = member(0);
    assert!(!m.is_leader(at(1000)));
    m.confirmed_by_store(at(1000));
    assert!(m.is_leader(at(6900)) && !m.is_leader(at(7000)), "a third of 18 s from sending, shortened");
    m.heard_from(1, 4, at(6500));
    assert!(!m.is_leader(at(7000)), "one of two is not every other");
    m.heard_from(2, 4, at(6600));
    assert!(m.is_leader(at(9000)) && !m.is_leader(at(9500)));
    m.heard_from(2, 5, at(6700));
    assert!(!m.is_leader(at(7000)), "one knows a newer epoch");
}

#[test]
fn hearsay_says_whom_to_ask_and_gives_no_right() {
    let at = Micros::from_millis;
    let mut m = member(0);
    m.told(at(2000), 5, &[1, 2]);
    let passed: Vec<_> = (0..50).filter_map(|i| m.pass_job_to(&format!("wk-{i}"))).collect();
    assert!(passed.len() == 50 && passed.iter().all(|&p| p != 0));
    assert!(m.can_pass(at(3000)) && !m.can_pass(at(3600)));
    assert_eq!((m.epoch, m.is_leader(at(2000))), (4, false));
    assert!((0..50).any(|i| m.job_leader(&format!("wk-{i}")) == Some(0)), "the adopted ring is as it was");
}

/// Seen on days of our own: while the state service was away all controllers were restarted, the load balancer took out
/// all three, and for up to a minute after the outage most users found none.
#[test]
fn who_can_not_act_says_so_only_while_somebody_else_may() {
    let at = Micros::from_millis;
    let mut m = member(0);
    m.spoke(at(2000), 1, 0);
    assert!(!m.nobody_acts(at(2100)), "the other may be well, and we cut off from it");
    m.spoke(at(2000), 2, 4);
    assert!(m.nobody_acts(at(2100)) && !m.nobody_acts(at(3600)));
    m.spoke(at(3700), 1, 5);
    m.spoke(at(3700), 2, 0);
    assert!(!m.nobody_acts(at(3800)), "one knows a newer epoch: it may act");
}

#[test]
fn others_are_waited_for_until_they_know_the_epoch_or_must_have_stopped() {
    let at = Micros::from_millis;
    let mut m = member(0);
    m.heard_from(1, 4, at(900));
    assert!(!m.others_have_stopped(at(1100)));
    assert!(m.others_have_stopped(at(7100)), "a lease after adopting");
    m.heard_from(2, 4, at(900));
    assert!(m.others_have_stopped(at(1100)));
    m.heard_from(2, 0, at(1200));
    assert!(!m.others_have_stopped(at(1300)), "restarted: it knows nothing any more");
}

/// The state service refuses one alone, the others raise the epoch, and then it is down for all: nobody could act until it
/// was back, and all that ran was lost.
#[test]
fn who_hears_of_a_newer_epoch_that_it_cannot_take_up_gives_way_and_says_so() {
    let at = Micros::from_millis;
    let (mut refused, mut other) = (member(0), member(1));
    refused.confirmed_by_store(at(1000));
    other.confirmed_by_store(at(1000));
    let newer = EpochRecord { epoch: 5, members: vec![("c1".into(), 1), ("c2".into(), 1)] };
    other.adopt(at(2000), &newer, 2);
    other.confirmed_by_store(at(2000));
    assert_eq!(refused.stands_by().0, 4);
    assert!(refused.is_leader(at(2000)));
    refused.told(at(2000), 5, &[1, 2]);
    assert!(!refused.is_leader(at(2000)), "the store's word of before counts no more");
    assert_eq!(refused.stands_by(), (5, &[1, 2][..]));
    // Its confirmation, and the third one's, carry the other over the outage.
    other.heard_from(0, refused.stands_by().0, at(9000));
    other.heard_from(2, 5, at(9000));
    assert!(other.is_leader(at(9500)) && other.others_have_stopped(at(9500)));
    // For good: not even everybody's word for the older epoch brings its right back.
    refused.heard_from(1, 4, at(9000));
    refused.heard_from(2, 4, at(9000));
    refused.confirmed_by_store(at(9000));
    assert!(!refused.is_leader(at(9100)));
    let back = EpochRecord { epoch: 6, members: (0..3).map(|i| (format!("c{i}"), 1)).collect() };
    refused.adopt(at(10_000), &back, 3);
    refused.confirmed_by_store(at(10_000));
    assert!(refused.is_leader(at(10_100)));
    assert_eq!(refused.stands_by().0, 6);
}

/// A place in the newer epoch is taken up by reading the store; only who can't read it gives way.
#[test]
fn a_member_of_a_newer_epoch_gives_way_only_when_the_store_is_silent() {
    let at = Micros::from_millis;
    let mut m = member(0);
    m.confirmed_by_store(at(1000));
    m.told(at(2000), 5, &[0, 1]);
    assert!(m.is_leader(at(2000)) && m.stands_by().0 == 4);
    m.told(at(8000), 5, &[0, 1]);
    assert_eq!((m.is_leader(at(8000)), m.stands_by().0), (false, 5));
}
