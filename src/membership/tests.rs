use super::*;

fn membership_of(me: usize) -> Membership {
    let seed = |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\naddr = \"10.0.0.{i}:2\"\n");
    let seeds: String = (0..3).filter(|&i| i != me).map(seed).collect();
    let text = format!(
        "member = \"c{me}\"\napi_addr = \"10.0.0.9:1\"\nback = \"10.0.0.9:2\"\n{seeds}[outside]\n\
        cloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\n\
        gang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\n\
        value_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    let mut membership = Membership::new(&Settings::parse("test", &text).expect("valid"), 1);
    let record = |epoch| EpochRecord { epoch, members: (0..3).map(|i| (format!("c{i}"), 1)).collect() };
    membership.adopt_epoch(Micros::from_millis(1000), &record(4), 1);
    membership
}

#[test]
fn leadership_ends_with_the_lease_or_the_last_confirmation() {
    let at = Micros::from_millis;
    let mut membership = membership_of(0);
    assert!(!membership.is_leader(at(1000)));
    membership.renew_store_lease(at(1000));
    assert!(
        membership.is_leader(at(6900)) && !membership.is_leader(at(7000)),
        "a third of 18 s after the request was sent, minus drift"
    );
    membership.record_confirmation(1, 4, at(6500));
    assert!(!membership.is_leader(at(7000)), "one of two confirmations is not enough");
    membership.record_confirmation(2, 4, at(6600));
    assert!(membership.is_leader(at(9000)) && !membership.is_leader(at(9500)));
    membership.record_confirmation(2, 5, at(6700));
    assert!(!membership.is_leader(at(7000)), "one controller has a newer epoch");
}

#[test]
fn an_announced_epoch_sets_forward_targets_and_grants_no_leadership() {
    let at = Micros::from_millis;
    let mut membership = membership_of(0);
    membership.record_announcement(at(2000), 5, &[1, 2]);
    let targets: Vec<_> = (0..50).filter_map(|i| membership.job_forward_target(&format!("wk-{i}"))).collect();
    assert!(targets.len() == 50 && targets.iter().all(|&target| target != 0));
    assert!(membership.can_forward(at(3000)) && !membership.can_forward(at(3600)));
    assert_eq!((membership.epoch, membership.is_leader(at(2000))), (4, false));
    assert!(
        (0..50).any(|i| membership.job_leader(&format!("wk-{i}")) == Some(0)),
        "the adopted ring is unchanged"
    );
}

/// Guards against a load balancer that removes all controllers that were restarted while the state store is
/// unavailable, so that most users reach none for a while after the outage.
#[test]
fn is_leaderless_only_while_no_controller_can_act() {
    let at = Micros::from_millis;
    let mut membership = membership_of(0);
    membership.record_named_epoch(at(2000), 1, 0);
    assert!(!membership.is_leaderless(at(2100)), "the other may act while this one is cut off from it");
    membership.record_named_epoch(at(2000), 2, 4);
    assert!(membership.is_leaderless(at(2100)) && !membership.is_leaderless(at(3600)));
    membership.record_named_epoch(at(3700), 1, 5);
    membership.record_named_epoch(at(3700), 2, 0);
    assert!(!membership.is_leaderless(at(3800)), "one controller has a newer epoch and may act");
}

#[test]
fn older_leaders_have_stopped_once_others_confirmed_or_lost_leadership() {
    let at = Micros::from_millis;
    let mut membership = membership_of(0);
    membership.record_confirmation(1, 4, at(900));
    assert!(!membership.have_older_leaders_stopped(at(1100)));
    assert!(membership.have_older_leaders_stopped(at(7100)), "one lease after the epoch was adopted");
    membership.record_confirmation(2, 4, at(900));
    assert!(membership.have_older_leaders_stopped(at(1100)));
    membership.record_confirmation(2, 0, at(1200));
    assert!(!membership.have_older_leaders_stopped(at(1300)), "a restarted controller has no epoch");
}

/// Guards against an outage in which no controller can act: the state store refuses one controller alone, the others
/// raise the epoch, and then the state store becomes unavailable to all. All running tasks were lost before it was
/// back.
#[test]
fn a_controller_that_cannot_adopt_a_newer_epoch_yields_and_confirms_it() {
    let at = Micros::from_millis;
    let (mut refused, mut other) = (membership_of(0), membership_of(1));
    refused.renew_store_lease(at(1000));
    other.renew_store_lease(at(1000));
    let newer = EpochRecord { epoch: 5, members: vec![("c1".into(), 1), ("c2".into(), 1)] };
    other.adopt_epoch(at(2000), &newer, 2);
    other.renew_store_lease(at(2000));
    assert_eq!(refused.acknowledged_epoch().0, 4);
    assert!(refused.is_leader(at(2000)));
    refused.record_announcement(at(2000), 5, &[1, 2]);
    assert!(!refused.is_leader(at(2000)), "the store lease under the older epoch no longer counts");
    assert_eq!(refused.acknowledged_epoch(), (5, &[1, 2][..]));
    // With its confirmation and the third controller's, the other controller acts during the outage.
    other.record_confirmation(0, refused.acknowledged_epoch().0, at(9000));
    other.record_confirmation(2, 5, at(9000));
    assert!(other.is_leader(at(9500)) && other.have_older_leaders_stopped(at(9500)));
    // Permanently: not even confirmations of the older epoch by all others restore its leadership.
    refused.record_confirmation(1, 4, at(9000));
    refused.record_confirmation(2, 4, at(9000));
    refused.renew_store_lease(at(9000));
    assert!(!refused.is_leader(at(9100)));
    let back = EpochRecord { epoch: 6, members: (0..3).map(|i| (format!("c{i}"), 1)).collect() };
    refused.adopt_epoch(at(10_000), &back, 3);
    refused.renew_store_lease(at(10_000));
    assert!(refused.is_leader(at(10_100)));
    assert_eq!(refused.acknowledged_epoch().0, 6);
}

/// A controller that is a member of the newer epoch adopts it by reading the state store. It yields only if it cannot
/// read it.
#[test]
fn a_member_of_a_newer_epoch_yields_only_without_a_store_lease() {
    let at = Micros::from_millis;
    let mut membership = membership_of(0);
    membership.renew_store_lease(at(1000));
    membership.record_announcement(at(2000), 5, &[0, 1]);
    assert!(membership.is_leader(at(2000)) && membership.acknowledged_epoch().0 == 4);
    membership.record_announcement(at(8000), 5, &[0, 1]);
    assert_eq!((membership.is_leader(at(8000)), membership.acknowledged_epoch().0), (false, 5));
}
