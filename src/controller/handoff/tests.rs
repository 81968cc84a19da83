//! Who leaves the ring, and in which epoch what it hands over counts.

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
    EpochRecord { epoch, members: members.iter().map(|m| (format!("c{m}"), 1)).collect() }
}

pub(crate) fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// c0, which acts in epoch 7 beside c1 and c2 and knows some machines.
pub(crate) fn node() -> Controller {
    let mut n = Controller::new(settings(), 1);
    n.membership.adopt_epoch(at(1000), &record(7, &[0, 1, 2]), 7);
    n.machine_shard.adopt_epoch(at(1000), &n.membership, false, |_| None);
    n.job_shard.adopt_epoch(&n.membership, false);
    n.membership.renew_store_lease(at(1000));
    for p in [1, 2] {
        n.peer_traffic.links[p].heard = ClockReading { boot: 1, clock: at(1) };
    }
    n.note_forms(&members(), &mut Vec::new());
    n.membership_loop.lease = Some(LEASE);
    n.membership_loop.registered = true;
    for i in 0..60 {
        let r = Heartbeat {
            machine: format!("i-{i:06}"),
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
        if n.membership.machine_leader(&r.machine) == Some(0) {
            n.machine_shard.apply_heartbeat(at(1100), &n.membership, &r);
        }
    }
    n
}

/// The members' keys, each of which says that it reads the newest form.
fn members() -> Vec<KeyValue> {
    let key = |i: usize| format!("ring/m/c{i}");
    let row = |i| KeyValue { key: key(i), value: json!({"boot": 1, "reads": FORM}), store_version: 1 };
    (0..3).map(row).collect()
}

/// The node answers and commands nothing any more.
fn leaves(n: &mut Controller) {
    n.step_down.leave(at(1200), StepDownReason::NoPeers);
    n.membership.has_stepped_down = true;
}

/// One reading of the ring, by which the epoch record is `r` at version `mark`, and what follows from it.
fn reads(n: &mut Controller, now: Micros, r: &EpochRecord, store_version: u64) -> Vec<Effect> {
    let epoch =
        KeyValue { key: EPOCH_KEY.into(), value: serde_json::to_value(r).expect("plain"), store_version };
    let mut out = Vec::new();
    n.apply_ring_answer(
        now,
        PendingRingRequest::ReadEpoch { asked_at: now },
        StoreAnswer::Got(Some(epoch)),
        &mut out,
    );
    out.clear();
    let page = StoreAnswer::Page(members(), false);
    n.apply_ring_answer(now, PendingRingRequest::ListMembers { asked_at: now }, page, &mut out);
    out
}

/// The epochs in whose name parcels go out.
fn parcels(n: &mut Controller, now: Micros) -> Vec<u64> {
    let mut out = Vec::new();
    n.send_handoff_batches(now, &mut out);
    let of = |e: &Effect| match e {
        Effect::Send { frame: Frame { epoch, body: Message::Handoff { .. }, .. }, .. } => Some(*epoch),
        _ => None,
    };
    out.iter().filter_map(of).collect()
}

/// One who left hands over in the epoch after the one that it acted in. It goes on reading the ring: in the next epoch
/// others have started tasks where its parcels say that there are none, and their receivers would take them for complete.
#[test]
fn what_is_handed_on_leaving_counts_in_the_next_epoch_and_in_no_later_one() {
    let mut n = node();
    leaves(&mut n);
    n.apply_ring_answer(
        at(1300),
        PendingRingRequest::RaiseEpoch { record: record(8, &[1, 2]) },
        StoreAnswer::Committed(8),
        &mut Vec::new(),
    );
    let first = parcels(&mut n, at(1400));
    assert!(!first.is_empty() && first.iter().all(|e| *e == 8), "{first:?}");
    // Nobody has said that it has them, and the ring moves on.
    let epoch = KeyValue { key: EPOCH_KEY.into(), value: json!(record(9, &[1])), store_version: 9 };
    n.apply_ring_answer(
        at(3000),
        PendingRingRequest::ReadEpoch { asked_at: at(3000) },
        StoreAnswer::Got(Some(epoch)),
        &mut Vec::new(),
    );
    assert_eq!(n.known_epoch().0, 9);
    assert_eq!(parcels(&mut n, at(3100)), Vec::<u64>::new());
}

/// Its own change had no answer, or somebody else's came first: it commands nothing all the same, so what it knows holds.
#[test]
fn who_is_out_of_the_ring_hands_over_whoever_raised_the_epoch() {
    let mut n = node();
    leaves(&mut n);
    n.apply_ring_answer(
        at(1300),
        PendingRingRequest::RaiseEpoch { record: record(8, &[1, 2]) },
        StoreAnswer::Unknown,
        &mut Vec::new(),
    );
    assert_eq!(parcels(&mut n, at(1400)), Vec::<u64>::new());
    reads(&mut n, at(1700), &record(8, &[1, 2]), 8);
    let said = parcels(&mut n, at(1800));
    assert!(!said.is_empty() && said.iter().all(|e| *e == 8), "{said:?}");
    // One that was told to end stays until that is taken.
    let mut n = node();
    n.handoff.leave(at(1200));
    n.step_down.leave(at(1200), StepDownReason::Requested);
    n.membership.has_stepped_down = true;
    n.membership_loop.live_peers = vec![1, 2];
    let epoch = KeyValue { key: EPOCH_KEY.into(), value: json!(record(8, &[1, 2])), store_version: 8 };
    n.apply_ring_answer(
        at(1700),
        PendingRingRequest::ReadEpoch { asked_at: at(1700) },
        StoreAnswer::Got(Some(epoch)),
        &mut Vec::new(),
    );
    assert!(!n.can_exit(at(1701)), "out, and nothing packed yet");
    reads(&mut n, at(1702), &record(8, &[1, 2]), 8);
    assert!(!n.can_exit(at(1703)), "packed, and not taken");
    let numbers: Vec<u64> = (0..100).collect();
    (1..3).for_each(|p| n.handoff.apply_acknowledgements(p, &numbers));
    assert!(n.can_exit(at(1704)));
    // Not from two epochs back: who raised the one between may have given its machines to others.
    let mut n = node();
    leaves(&mut n);
    reads(&mut n, at(1700), &record(9, &[1, 2]), 9);
    assert_eq!(parcels(&mut n, at(1800)), Vec::<u64>::new());
}

/// It asked to leave, had no answer, and came back while the epoch was still its own. The change may be carried out yet,
/// and the others would take it for one whose lease had ended before.
#[test]
fn who_came_back_before_its_leaving_was_answered_acts_only_in_a_new_epoch() {
    for (answer, again) in [(StoreAnswer::Unknown, true), (StoreAnswer::Refused, false)] {
        let mut n = node();
        leaves(&mut n);
        n.apply_ring_answer(
            at(1300),
            PendingRingRequest::RaiseEpoch { record: record(8, &[1, 2]) },
            answer,
            &mut Vec::new(),
        );
        n.step_down.rejoin(at(9000));
        let out = reads(&mut n, at(9100), &record(7, &[0, 1, 2]), 7);
        let raises = out.iter().any(|e| match e {
            Effect::Store {
                request: StoreRequest::Transaction(Transaction { conditions, puts, .. }),
                ..
            } => {
                // The epoch as it was read, and each member's key.
                let keys = conditions[1..].iter().all(|(k, _)| k.starts_with("ring/m/"));
                conditions[0] == (EPOCH_KEY.to_owned(), 7)
                    && conditions.len() == 4
                    && keys
                    && puts[0].1["epoch"] == json!(8)
            }
            _ => false,
        });
        assert_eq!((raises, n.membership.has_stepped_down), (again, again));
        if again {
            n.apply_ring_answer(
                at(9200),
                PendingRingRequest::RaiseEpoch { record: record(8, &[0, 1, 2]) },
                StoreAnswer::Committed(9),
                &mut Vec::new(),
            );
            assert_eq!((n.membership.epoch, n.membership.has_stepped_down), (8, false));
        }
    }
}
