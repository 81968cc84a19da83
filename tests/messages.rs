//! Messages and decisions that must be ignored: messages that build on a state which their receiver does not hold,
//! and decisions under a lease that has expired.

use hazelsaddle::autoscaler::CloudRequest;
use hazelsaddle::config::settings::Settings;
use hazelsaddle::controller::{Controller, Effect};
use hazelsaddle::machine_shard::{Heartbeat, MachineShard};
use hazelsaddle::machine_view::MachineView;
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::{DesiredAction, DesiredState, DesiredTask, MachineStatusDelta, Reply, TaskKey};
use hazelsaddle::server::http_api::{self, Dispatch};
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, Resources};
use serde_json::json;

const EPOCH: u64 = 3;

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn machine_leader() -> (Membership, MachineShard) {
    let s = settings();
    let mut membership = Membership::new(&s, 1);
    membership.adopt_epoch(Micros(1), &EpochRecord { epoch: EPOCH, members: vec![("c0".into(), 1)] }, 1);
    let mut leader = MachineShard::new(&s);
    leader.adopt_epoch(Micros(1), &membership, false, |_| None);
    let heartbeat = Heartbeat {
        machine: "i-1".into(),
        addr: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        token: EPOCH,
        time_to_termination_s: None,
        tasks: Vec::new(),
    };
    leader.apply_heartbeat(Micros(2), &membership, &heartbeat);
    (membership, leader)
}

/// A receiver without the state in between would read the gap as "not wanted" or "not there".
#[test]
fn a_delta_on_a_state_not_held_is_dropped() {
    let (membership, mut leader) = machine_leader();
    let capacity = |_: &str| Some(Resources { cpus: 4000, gpus: 0, memory: 8000 });
    let first = EPOCH << 32;
    let desired_task = DesiredTask {
        key: TaskKey { job: "wk-1".into(), index: 0, attempt: 1 },
        machine: "i-1".into(),
        resources: Resources { cpus: 1000, gpus: 0, memory: 1000 },
        action: DesiredAction::Run,
        priority: 0,
        image: 0,
    };
    let ahead = DesiredState {
        revision: first + 5,
        base_revision: first + 4,
        tasks: vec![desired_task.clone()],
        removed: Vec::new(),
    };
    assert!(!leader.apply_desired_state(Micros(3), 0, &ahead, &membership, capacity));
    let status_delta = leader.status_delta(Micros(4), &membership, 0, 0, capacity);
    assert!(status_delta.machines[0].tasks.is_empty());
    assert!(status_delta.revision_seen < first, "what was dropped must not count as seen");
    assert!(leader.apply_desired_state(
        Micros(5),
        0,
        &DesiredState { base_revision: 0, ..ahead },
        &membership,
        capacity
    ));
    assert_eq!(
        leader.status_delta(Micros(6), &membership, 0, 0, capacity).machines[0].tasks[0].key,
        desired_task.key
    );

    let mut view = MachineView::default();
    let later = MachineStatusDelta {
        base_sequence: status_delta.sequence,
        sequence: status_delta.sequence + 2,
        ..status_delta.clone()
    };
    assert_eq!(view.apply_delta(Micros(7), EPOCH, later), None, "nothing of this epoch is held yet");
    assert!(view.apply_delta(Micros(8), EPOCH, status_delta.clone()).is_some());
    let gap = MachineStatusDelta {
        base_sequence: status_delta.sequence + 1,
        sequence: status_delta.sequence + 2,
        machines: Vec::new(),
        ..status_delta.clone()
    };
    assert_eq!(view.apply_delta(Micros(9), EPOCH, gap), None);
    assert_eq!(
        view.sequence(EPOCH),
        status_delta.sequence,
        "the sender continues from the state that is held"
    );
}

/// A process may be suspended between a decision and its effect while its lease expires. Production controllers have
/// frozen for seconds, which showed that this check was missing.
#[test]
fn effects_under_an_expired_lease_are_withdrawn() {
    let at = |s: u64| Micros(s * 1_000_000);
    let mut controller = Controller::new(settings(), 1);
    controller.membership.adopt_epoch(
        at(1),
        &EpochRecord { epoch: EPOCH, members: vec![("c0".into(), 1)] },
        1,
    );
    controller.membership.renew_store_lease(at(1));
    controller.reconcile(at(2), at(2), &mut Vec::new());
    let status = |e: Option<Effect>| match e {
        Some(Effect::Reply { ticket: 7, reply: r }) => Some((r.status, r.retry_after)),
        other => panic!("{other:?}"),
    };
    let answer = |code| Effect::Reply {
        ticket: 7,
        reply: Reply::json(code, &serde_json::json!({"rein": EPOCH, "calls": []})),
    };
    let scale_in = || Effect::Cloud(CloudRequest::ScaleIn(vec!["i-1".into()]));
    assert_eq!(status(controller.revalidate_effect(at(2), answer(200))), Some((200, None)));
    assert!(controller.revalidate_effect(at(2), scale_in()).is_some());
    // The lease of six seconds has expired, and nothing has happened in between.
    assert_eq!(status(controller.revalidate_effect(at(30), answer(200))), Some((503, Some(1))));
    assert_eq!(status(controller.revalidate_effect(at(30), answer(201))), Some((503, Some(1))));
    assert_eq!(
        status(controller.revalidate_effect(at(30), answer(421))),
        Some((421, None)),
        "this needs no lease"
    );
    assert!(controller.revalidate_effect(at(30), scale_in()).is_none());
}

/// A value that is no list of job ids is refused with the field's name; absent, null and empty mean no dependencies.
#[test]
fn dependencies_that_are_no_list_of_job_ids_are_malformed() {
    let parse = |follows: serde_json::Value| {
        let body = json!({
            "uid": "wk-1",
            "breed": "b",
            "herd": "t",
            "gait": "batch",
            "rank": "idle",
            "strides": 1,
            "vcpus": 1.0,
            "cards": 0,
            "ramGb": 1.0,
            "tack": "i",
            "imageGb": 1,
            "together": false,
            "scatter": false,
            "borrowed": false,
            "rideS": 1,
            "restS": 0,
            "unsaddleS": 0,
            "follows": follows,
        })
        .to_string();
        // The request names a job, so its record is looked up before the request is refused, with this status and
        // this text.
        assert!(matches!(
            http_api::dispatch(1, "POST", "/v1/jobs", |_| Ok(body.clone())),
            Dispatch::Event(_)
        ));
        match JobSpec::parse(&body) {
            Err(e) => (e.status(), e.to_string()),
            Ok(_) => (0, String::new()),
        }
    };
    for none in [json!(null), json!([]), json!(["wk-2", "wk-2"])] {
        assert_eq!(parse(none).0, 0);
    }
    for wrong in
        [json!("wk-2"), json!(7), json!({}), json!([2]), json!(["job-2"]), json!(["wk-2", null]), json!([""])]
    {
        let (status, body) = parse(wrong.clone());
        assert!(status == 400 && body.contains("follows"), "{wrong}: {status} {body}");
    }
}
