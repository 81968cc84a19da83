use super::*;
use crate::units::{Micros, Resources};
use hazelsaddle_cluster::transport::Framed;
use rand::{RngExt, SeedableRng, rngs::StdRng};

#[test]
fn frames_survive_encoding_and_malformed_ones_are_refused() {
    let key = TaskKey { job: "wk-1".into(), index: 3, attempt: 9 };
    let f = Frame {
        from: 1,
        epoch: 7,
        members: vec![0, 1],
        clock: Micros(5),
        boot: 1,
        echo: Micros(4),
        echo_boot: 2,
        sequence_seen: 3,
        body: Message::State(
            DesiredState::default(),
            MachineStatusDelta {
                sequence: 2,
                base_sequence: 1,
                revision_seen: 1,
                machines: vec![MachineStatus {
                    name: "i-1".into(),
                    machine_type: "k".into(),
                    zone: "z".into(),
                    spot: true,
                    inventory_state: InventoryState::Known,
                    is_schedulable: true,
                    time_to_termination: None,
                    free: Resources::rounded_up(1.0, 0.0, 2.0),
                    total: Resources::rounded_up(2.0, 0.0, 4.0),
                    used_by_priority: vec![(1, Resources::rounded_up(1.0, 0.0, 2.0))],
                    images: vec![7],
                    task_count: 1,
                    idle_time: Some(Micros(0)),
                    silent_time: None,
                    tasks: vec![ObservedTask { key, phase: TaskPhase::Exited(TaskExit::Stopped(true)) }],
                }],
            },
        ),
    };
    let bytes = f.encode().unwrap();
    assert_eq!(Frame::decode(&bytes[4..]), Some(f));
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2000 {
        let mut broken = bytes[4..].to_vec();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..broken.len());
            broken[at] = rng.random();
        }
        broken.truncate(rng.random_range(0..=broken.len()));
        let _ = Frame::decode(&broken);
    }
    assert_eq!(Frame::decode(&[]), None);
}

/// What is said once must not give way to a newer frame, and nothing to an older one.
#[test]
fn frame_is_replaced_only_by_one_that_says_it_again() {
    let frame = |epoch: u64, boot: u64, body: Message| Frame {
        from: 1,
        epoch,
        members: Vec::new(),
        clock: Micros(5),
        boot,
        echo: Micros(4),
        echo_boot: 2,
        sequence_seen: 3,
        body,
    };
    let state = |revision, sequence| {
        let status = MachineStatusDelta { sequence, ..MachineStatusDelta::default() };
        Message::State(DesiredState { revision, ..DesiredState::default() }, status)
    };
    let replicate = |revision| Message::ReplicateStarts {
        revision,
        base_revision: 0,
        added: Vec::new(),
        removed: Vec::new(),
    };
    let old = frame(7, 1, state(5, 5));
    assert!(frame(7, 1, state(6, 5)).replaces(&old) && frame(8, 1, state(1, 1)).replaces(&old));
    assert!(!frame(7, 1, state(4, 6)).replaces(&old) && !frame(6, 1, state(9, 9)).replaces(&old));
    assert!(!frame(7, 2, state(6, 6)).replaces(&old), "another process counts anew");
    assert!(frame(7, 1, replicate(3)).replaces(&frame(7, 1, replicate(2))));
    assert!(!frame(7, 1, replicate(2)).replaces(&frame(7, 1, replicate(3))));
    let once = [
        Message::Handoff { number: 1, batch: HandoffBatch::default() },
        Message::HandoffAck(vec![1]),
        Message::MisroutedHeartbeats(vec!["i-1".into()]),
        Message::ForwardResponse { id: 1, reply: Reply::retry_later("x") },
        Message::ForwardRequest { id: 1, request: UserRequest::Query("wk-1".into()) },
    ];
    for body in once {
        let again = frame(8, 1, body.clone());
        assert!(!again.replaces(&frame(7, 1, body.clone())), "{body:?}");
        assert!(!frame(8, 1, state(9, 9)).replaces(&frame(7, 1, body)));
    }
}
