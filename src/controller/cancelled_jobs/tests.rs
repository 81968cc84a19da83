//! Tests of the answers to members that ask whether there are cancellations to announce.

use super::super::handoff::tests::test_controller;
use super::*;

const NOW: Micros = Micros::from_millis(60_000);
const PEER: usize = 1;

/// Controller c0, which leads jobs and has read its records.
fn leader() -> Controller {
    let mut controller = test_controller();
    controller.membership.renew_store_lease(NOW);
    controller.job_shard.finish_loading(std::iter::empty());
    controller.record_loading.stage = LoadStage::Done;
    controller
}

/// Adds a job that follows `dependency`.
fn add_follower(controller: &mut Controller, dependency: &str) {
    let body = json!({
        "uid": "wk-000002", "breed": "b", "herd": "t", "gait": "batch", "rank": "idle", "strides": 2, "vcpus": 1.0,
        "cards": 0, "ramGb": 1.0, "tack": "i", "imageGb": 1, "together": false, "scatter": false, "borrowed": false,
        "rideS": 1, "restS": 0, "unsaddleS": 0, "follows": [dependency],
    });
    let spec = JobSpec::from_value(&body).expect("a valid description");
    controller.job_shard.insert_job(body, spec, Micros(1), TaskIndexSet::default(), 9, true);
}

/// Looks for the final record of the dependency that is due to be read, and finds none.
fn look_for_outcome(controller: &mut Controller) {
    let read = controller.job_shard.begin_dependency_read().expect("a read");
    controller.job_shard.note_absent_outcome(&read);
}

/// Whether the peer gets the answer that there is nothing to announce.
fn has_nothing_to_announce(controller: &mut Controller) -> bool {
    let mut out = Vec::new();
    controller.apply_cancelled_jobs(NOW, PEER, Vec::new(), true, &mut out);
    matches!(&out[..], [Effect::Send { to: PEER, frame }] if frame.body == Message::CancelledJobsAck(Vec::new()))
}

#[test]
fn only_a_leader_of_the_epoch_answers_that_it_has_nothing_to_announce() {
    assert!(has_nothing_to_announce(&mut leader()));
    let mut out = Vec::new();
    leader().apply_cancelled_jobs(NOW, PEER, Vec::new(), false, &mut out);
    assert!(out.is_empty(), "the question came from another epoch: {out:?}");
    let mut without_lease = leader();
    without_lease.membership.lose_store_lease();
    assert!(!has_nothing_to_announce(&mut without_lease), "another controller may lead its jobs");
    let mut loading = leader();
    loading.record_loading.restart(NOW);
    assert!(!has_nothing_to_announce(&mut loading));
}

#[test]
fn announcement_without_acknowledgement_is_something_to_announce() {
    let mut controller = leader();
    controller.announce_cancelled_job("wk-000001");
    assert!(!has_nothing_to_announce(&mut controller));
    controller.apply_cancelled_jobs_ack(NOW, PEER, &["wk-000001".to_owned()], Some(NOW));
    assert!(has_nothing_to_announce(&mut controller));
    for number in 0..=MAX_UNACKNOWLEDGED {
        controller.announce_cancelled_job(&format!("wk-{number:06}"));
    }
    let kept: Vec<String> = (0..=MAX_UNACKNOWLEDGED).map(|number| format!("wk-{number:06}")).collect();
    controller.apply_cancelled_jobs_ack(NOW, PEER, &kept, Some(NOW));
    assert!(!has_nothing_to_announce(&mut controller), "one was dropped that the peer never saw");
}

/// A job may have been cancelled with another in an earlier epoch: that is found by a look for the other's final record.
#[test]
fn outcomes_awaited_when_the_epoch_began_must_have_been_looked_for() {
    let mut controller = test_controller();
    controller.membership.renew_store_lease(NOW);
    controller.record_loading.stage = LoadStage::Done;
    add_follower(&mut controller, "wk-000001");
    controller.job_shard.finish_loading(std::iter::empty());
    assert!(!has_nothing_to_announce(&mut controller));
    look_for_outcome(&mut controller);
    assert!(has_nothing_to_announce(&mut controller));
}

/// Guards against questions that are refused in calm weather: with a stream of new jobs some dependency is always about to be
/// read.
#[test]
fn dependency_of_a_new_job_does_not_keep_a_member_from_answering() {
    let mut controller = leader();
    add_follower(&mut controller, "wk-000001");
    assert!(has_nothing_to_announce(&mut controller));
}

/// The cancellation of a job with another is announced before anything that denies it.
#[test]
fn job_that_has_just_become_an_orphan_is_something_to_announce() {
    let mut controller = leader();
    add_follower(&mut controller, "wk-000001");
    look_for_outcome(&mut controller);
    assert!(has_nothing_to_announce(&mut controller));
    controller.job_shard.apply_cancelled_dependency("wk-000001");
    assert!(!has_nothing_to_announce(&mut controller));
    controller.apply_cancelled_jobs_ack(NOW, PEER, &["wk-000002".to_owned()], Some(NOW));
    assert!(has_nothing_to_announce(&mut controller));
    // The peer's next process has not heard of it, and it may not be on record.
    controller.peer_traffic.links[PEER].last_clock.boot += 1;
    assert!(!has_nothing_to_announce(&mut controller));
}

/// Guards against announcements that never arrive, so that no question is answered either: in the send queue a newer list
/// replaces an older one.
#[test]
fn announcements_and_the_question_are_one_message() {
    let mut controller = leader();
    let row = |number: usize| KeyValue {
        key: format!("ring/m/c{number}"),
        value: json!({"boot": 1, "reads": CANCELLED_JOBS_FORMAT_VERSION}),
        store_version: 1,
    };
    controller.note_format_versions(&[row(0), row(1), row(2)], &mut Vec::new());
    add_follower(&mut controller, "wk-000001");
    let mut lists = || {
        let mut out = Vec::new();
        controller.send_cancelled_jobs(NOW, &mut out);
        controller.announce_cancelled_job("wk-000003");
        let to_peer = out.into_iter().filter_map(|effect| match effect {
            Effect::Send { to: PEER, frame } => Some(frame.body),
            _ => None,
        });
        to_peer.collect::<Vec<_>>()
    };
    assert_eq!(lists(), [Message::CancelledJobs(Vec::new())]);
    assert_eq!(lists(), [Message::CancelledJobs(vec!["wk-000003".into()])]);
}
