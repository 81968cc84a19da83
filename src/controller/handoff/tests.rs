//! Tests of leaving the ring, and of the epoch in which the hand-off is valid.

use super::super::peer_traffic::ClockReading;
use super::*;
use crate::machine_shard::Heartbeat;
use crate::state_store::{KeyValue, StoreAnswer, StoreRequest, Transaction};

const LEASE: u64 = 77;

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c1\"\n\
        addr = \"10.0.0.2:2\"\n[[seeds]]\nmember = \"c2\"\naddr = \"10.0.0.3:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn record(epoch: u64, members: &[usize]) -> EpochRecord {
    EpochRecord { epoch, members: members.iter().map(|member| (format!("c{member}"), 1)).collect() }
}

pub(crate) fn at_ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// Controller c0, which acts in epoch 7 with c1 and c2 and has received the heartbeats of some machines.
pub(crate) fn test_controller() -> Controller {
    let mut controller = Controller::new(settings(), 1);
    controller.membership.adopt_epoch(at_ms(1000), &record(7, &[0, 1, 2]), 7);
    controller.machine_shard.adopt_epoch(at_ms(1000), &controller.membership, false, |_| None);
    controller.job_shard.adopt_epoch(&controller.membership, false);
    controller.membership.renew_store_lease(at_ms(1000));
    for peer in [1, 2] {
        controller.peer_traffic.links[peer].last_clock = ClockReading { boot: 1, clock: at_ms(1) };
    }
    controller.note_format_versions(&members(), &mut Vec::new());
    controller.membership_loop.lease = Some(LEASE);
    controller.membership_loop.registered = true;
    for number in 0..60 {
        let heartbeat = Heartbeat {
            machine: format!("i-{number:06}"),
            addr: String::new(),
            machine_type: "k".into(),
            zone: "z".into(),
            spot: false,
            incarnation: 1,
            sequence: 1,
            token: 7,
            time_to_termination_s: None,
            tasks: Vec::new(),
        };
        if controller.membership.machine_leader(&heartbeat.machine) == Some(0) {
            controller.machine_shard.apply_heartbeat(at_ms(1100), &controller.membership, &heartbeat);
        }
    }
    controller
}

/// The member keys, which list the format version that hand-off needs.
fn members() -> Vec<KeyValue> {
    let key = |number: usize| format!("ring/m/c{number}");
    let row = |number| KeyValue {
        key: key(number),
        value: json!({"boot": 1, "reads": HANDOFF_FORMAT_VERSION}),
        store_version: 1,
    };
    (0..3).map(row).collect()
}

/// The controller steps down: it sends no answers or commands any more.
fn step_down(controller: &mut Controller) {
    controller.step_down.leave(at_ms(1200), StepDownReason::NoPeers);
    controller.membership.has_stepped_down = true;
}

/// Reads the ring once, with the epoch record `record` at version `store_version`, and returns the effects.
fn read_ring(
    controller: &mut Controller,
    now: Micros,
    record: &EpochRecord,
    store_version: u64,
) -> Vec<Effect> {
    let epoch = KeyValue {
        key: EPOCH_KEY.into(),
        value: serde_json::to_value(record).expect("plain"),
        store_version,
    };
    let mut out = Vec::new();
    controller.apply_membership_answer(
        now,
        PendingMembershipRequest::ReadEpoch { asked_at: now },
        StoreAnswer::Got(Some(epoch)),
        &mut out,
    );
    out.clear();
    let page = StoreAnswer::Page(members(), false);
    controller.apply_membership_answer(
        now,
        PendingMembershipRequest::ListMembers { asked_at: now },
        page,
        &mut out,
    );
    out
}

/// The epochs of the hand-off batches that are sent.
fn sent_batch_epochs(controller: &mut Controller, now: Micros) -> Vec<u64> {
    let mut out = Vec::new();
    controller.send_handoff_batches(now, &mut out);
    let epoch_of = |effect: &Effect| match effect {
        Effect::Send { frame: Frame { epoch, body: Message::Handoff { .. }, .. }, .. } => Some(*epoch),
        _ => None,
    };
    out.iter().filter_map(epoch_of).collect()
}

/// A controller that left hands off in the epoch after the one in which it acted, and keeps reading the ring.
/// In a later epoch, others have started tasks on machines that its batches list as free, and the receivers
/// would take the batches for complete.
#[test]
fn handoff_on_leaving_is_valid_only_in_the_next_epoch() {
    let mut controller = test_controller();
    step_down(&mut controller);
    controller.apply_membership_answer(
        at_ms(1300),
        PendingMembershipRequest::RaiseEpoch { record: record(8, &[1, 2]) },
        StoreAnswer::Committed(8),
        &mut Vec::new(),
    );
    let sent = sent_batch_epochs(&mut controller, at_ms(1400));
    assert!(!sent.is_empty() && sent.iter().all(|sent_epoch| *sent_epoch == 8), "{sent:?}");
    // No batch has been acknowledged, and the epoch is raised again.
    let epoch = KeyValue { key: EPOCH_KEY.into(), value: json!(record(9, &[1])), store_version: 9 };
    controller.apply_membership_answer(
        at_ms(3000),
        PendingMembershipRequest::ReadEpoch { asked_at: at_ms(3000) },
        StoreAnswer::Got(Some(epoch)),
        &mut Vec::new(),
    );
    assert_eq!(controller.advertised_epoch().0, 9);
    assert_eq!(sent_batch_epochs(&mut controller, at_ms(3100)), Vec::<u64>::new());
}

/// The controller's own change had no response, or another controller's change came first. It commands
/// nothing in either case, so its batches are correct.
#[test]
fn departed_controller_hands_off_regardless_of_who_raised_the_epoch() {
    let mut controller = test_controller();
    step_down(&mut controller);
    controller.apply_membership_answer(
        at_ms(1300),
        PendingMembershipRequest::RaiseEpoch { record: record(8, &[1, 2]) },
        StoreAnswer::Unknown,
        &mut Vec::new(),
    );
    assert_eq!(sent_batch_epochs(&mut controller, at_ms(1400)), Vec::<u64>::new());
    read_ring(&mut controller, at_ms(1700), &record(8, &[1, 2]), 8);
    let sent = sent_batch_epochs(&mut controller, at_ms(1800));
    assert!(!sent.is_empty() && sent.iter().all(|sent_epoch| *sent_epoch == 8), "{sent:?}");
    // A process that is shutting down stays until its batches are acknowledged.
    let mut controller = test_controller();
    controller.handoff.leave(at_ms(1200));
    controller.step_down.leave(at_ms(1200), StepDownReason::Requested);
    controller.membership.has_stepped_down = true;
    controller.membership_loop.live_peers = vec![1, 2];
    let epoch = KeyValue { key: EPOCH_KEY.into(), value: json!(record(8, &[1, 2])), store_version: 8 };
    controller.apply_membership_answer(
        at_ms(1700),
        PendingMembershipRequest::ReadEpoch { asked_at: at_ms(1700) },
        StoreAnswer::Got(Some(epoch)),
        &mut Vec::new(),
    );
    assert!(!controller.can_exit(at_ms(1701)), "excluded, and nothing packed yet");
    read_ring(&mut controller, at_ms(1702), &record(8, &[1, 2]), 8);
    assert!(!controller.can_exit(at_ms(1703)), "packed, and not acknowledged");
    let numbers: Vec<u64> = (0..100).collect();
    (1..3).for_each(|peer| controller.handoff.apply_acknowledgements(peer, &numbers));
    assert!(controller.can_exit(at_ms(1704)));
    // No hand-off from two epochs back: the controller that raised the epoch in between may have given the
    // machines to others.
    let mut controller = test_controller();
    step_down(&mut controller);
    read_ring(&mut controller, at_ms(1700), &record(9, &[1, 2]), 9);
    assert_eq!(sent_batch_epochs(&mut controller, at_ms(1800)), Vec::<u64>::new());
}

/// The controller asked to leave, had no response, and returned while it was still a member. The change may
/// be applied later, and the others would assume that the controller's lease had expired earlier.
#[test]
fn returning_controller_with_unconfirmed_departure_acts_only_in_a_new_epoch() {
    for (answer, needs_new_epoch) in [(StoreAnswer::Unknown, true), (StoreAnswer::Refused, false)] {
        let mut controller = test_controller();
        step_down(&mut controller);
        controller.apply_membership_answer(
            at_ms(1300),
            PendingMembershipRequest::RaiseEpoch { record: record(8, &[1, 2]) },
            answer,
            &mut Vec::new(),
        );
        controller.step_down.rejoin(at_ms(9000));
        let out = read_ring(&mut controller, at_ms(9100), &record(7, &[0, 1, 2]), 7);
        let raises_epoch = out.iter().any(|effect| match effect {
            Effect::Store {
                request: StoreRequest::Transaction(Transaction { conditions, puts, .. }),
                ..
            } => {
                // The conditions: the epoch record as it was read, and each member's key.
                let are_member_keys = conditions[1..].iter().all(|(key, _)| key.starts_with("ring/m/"));
                conditions[0] == (EPOCH_KEY.to_owned(), 7)
                    && conditions.len() == 4
                    && are_member_keys
                    && puts[0].1["epoch"] == json!(8)
            }
            _ => false,
        });
        assert_eq!(
            (raises_epoch, controller.membership.has_stepped_down),
            (needs_new_epoch, needs_new_epoch)
        );
        if needs_new_epoch {
            controller.apply_membership_answer(
                at_ms(9200),
                PendingMembershipRequest::RaiseEpoch { record: record(8, &[0, 1, 2]) },
                StoreAnswer::Committed(9),
                &mut Vec::new(),
            );
            assert_eq!((controller.membership.epoch, controller.membership.has_stepped_down), (8, false));
        }
    }
}
