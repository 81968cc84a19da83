//! Compatibility with the version in production: the frames and stored values that its build wrote
//! (`fixtures/README.md`) are read, and this version writes the same bytes for it. A change of layout fails
//! here.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::{JobOutcome, JobShard, RecordWrite};
use hazelsaddle::machine_registry::{self, MachineRegistry};
use hazelsaddle::machine_shard::MachineRecord;
use hazelsaddle::membership::EpochRecord;
use hazelsaddle::peer::*;
use hazelsaddle::quota::{AllocationInput, QuotaLedger, QuotaNeed};
use hazelsaddle::spec::JobSpec;
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use serde_json::{Map, Value, json};

fn fixtures() -> Value {
    serde_json::from_str(include_str!("fixtures/first-form.json")).expect("the fixtures are JSON")
}

fn settings(value_kb: f64) -> Settings {
    let text = format!(
        "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"t\"\ncpus_max = 4000.0\n[settings.workers]\n\
        report_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\n\
        rps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.state.next]\nvalue_kb = {value_kb:.1}\n\
        [settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n"
    );
    Settings::parse("test", &text).expect("valid")
}

fn body() -> Value {
    json!({"uid":"wk-000412","breed":"train","herd":"vision","gait":"group","rank":"high","strides":16,
        "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
        "paddock":null,"together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
        "unsaddleS":4.0,"dueS":900.0})
}

fn resources(n: i64) -> Resources {
    Resources { cpus: 1000 * n, gpus: n, memory: 2500 * n }
}

fn frame(body: Message) -> Frame {
    Frame {
        from: 1,
        epoch: 7,
        members: vec![0, 1, 2],
        clock: Micros(5_000_001),
        boot: 11,
        echo: Micros(4_000_002),
        echo_boot: 12,
        sequence_seen: (7 << 32) + 3,
        body,
    }
}

/// The values that the fixtures contain.
fn frames() -> Vec<(&'static str, Frame)> {
    let key = |index| TaskKey { job: "wk-000412".into(), index, attempt: (7 << 24) + 2 };
    let desired_task = |i, action| DesiredTask {
        key: key(i),
        machine: "i-000231".into(),
        resources: resources(2),
        action,
        priority: 12,
        image: 99,
    };
    let desired_state = DesiredState {
        revision: (7 << 32) + 4,
        base_revision: (7 << 32) + 1,
        tasks: vec![
            desired_task(0, DesiredAction::Hold),
            desired_task(1, DesiredAction::Run),
            desired_task(2, DesiredAction::Keep),
            desired_task(3, DesiredAction::Stop(Micros(4_000_000))),
            desired_task(4, DesiredAction::Forget),
        ],
        removed: vec![("i-000007".into(), key(5))],
    };
    let phases = [
        TaskPhase::Held,
        TaskPhase::Queued,
        TaskPhase::InDoubt,
        TaskPhase::Fetching,
        TaskPhase::Waiting,
        TaskPhase::Running,
        TaskPhase::Saving,
        TaskPhase::Exited(TaskExit::Done),
        TaskPhase::Exited(TaskExit::Stopped(true)),
        TaskPhase::Exited(TaskExit::PeerLost),
        TaskPhase::Exited(TaskExit::GangIncomplete),
        TaskPhase::Exited(TaskExit::Error),
        TaskPhase::Exited(TaskExit::NoRoom),
        TaskPhase::Exited(TaskExit::AttemptConflict),
        TaskPhase::Exited(TaskExit::UnknownTask),
    ];
    let machine = |name: &str, inventory_state| MachineStatus {
        name: name.into(),
        machine_type: "tolgy16".into(),
        zone: "buda-a".into(),
        spot: false,
        inventory_state,
        is_schedulable: true,
        time_to_termination: Some(Micros(9_000_000)),
        free: resources(3),
        total: resources(16),
        used_by_priority: vec![(1, resources(2)), (12, resources(4))],
        images: vec![7, 8],
        task_count: 15,
        idle_time: None,
        silent_time: Some(Micros(3_500_000)),
        tasks: phases.iter().zip(0..).map(|(p, i)| ObservedTask { key: key(i), phase: *p }).collect(),
    };
    let status_delta = MachineStatusDelta {
        sequence: (7 << 32) + 9,
        base_sequence: 0,
        revision_seen: (7 << 32) + 4,
        machines: vec![
            machine("i-000231", InventoryState::Known),
            machine("i-2", InventoryState::Unconfirmed),
            machine("i-000000000000003", InventoryState::Gone),
        ],
    };
    let demand = Demand {
        resources_per_task: resources(1),
        machine_types: vec!["tolgy16".into()],
        zone: Some("pest-c".into()),
        one_zone: true,
        spot_allowed: true,
        count: 40,
        estimated_run_time: Micros(40_000_000),
        priority: 1,
        max_queue_time: Micros(80_000_000),
        gang_size: 12,
    };
    let reservation =
        Reservation { machine: "i-000231".into(), priority: 2, resources: resources(15), must_preempt: true };
    let scaling_plan = Message::ScalingPlan {
        draining: vec!["i-000009".into()],
        removed: vec!["i-000010".into(), "i-000011".into()],
        reserved_classes: vec![("ulken32".into(), false, 2)],
        reserved_machines: vec![("i-000231".into(), 2)],
    };
    let forward_request = |id, request| frame(Message::ForwardRequest { id, request });
    let job = || "wk-000412".to_owned();
    vec![
        ("state", frame(Message::State(desired_state, status_delta))),
        ("demands", frame(Message::Demands(vec![demand]))),
        ("reserve", frame(Message::Reserve(vec![reservation]))),
        ("fleet", frame(scaling_plan)),
        ("submit", forward_request(5, UserRequest::Submit(job(), body().to_string()))),
        ("query", forward_request(6, UserRequest::Query(job()))),
        ("withdraw", forward_request(7, UserRequest::Cancel(job()))),
        ("answer", frame(Message::ForwardResponse { id: 8, reply: Reply::retry_later("not now") })),
        ("strays", frame(Message::MisroutedHeartbeats(vec!["i-000231".into()]))),
        ("beat", frame(Message::KeepAlive)),
    ]
}

#[test]
fn frames_match_the_version_in_production() {
    let all = fixtures();
    let all = all["frames"].as_object().expect("frames");
    let frames = frames();
    assert_eq!(all.len(), frames.len());
    for (name, frame) in frames {
        let hex = all[name].as_str().expect("text");
        let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal");
        let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
        assert_eq!(Frame::decode(&bytes[4..]).as_ref(), Some(&frame), "{name} is read");
        assert_eq!(frame.encode().as_ref(), Some(&bytes), "{name} is written to the byte");
    }
}

#[test]
fn message_of_format_2_round_trips() {
    let f = frame(Message::InheritedPriorities(vec![("wk-000412".into(), 2), ("wk-1".into(), 1)]));
    assert_eq!(Frame::decode(&f.encode().expect("encoded")[4..]), Some(f));
}

#[test]
fn messages_of_format_3_round_trip() {
    let key = TaskKey { job: "wk-000412".into(), index: 3, attempt: (7 << 24) + 2 };
    let start = StartHandoff {
        index: 3,
        attempt: key.attempt,
        machine: "i-000231".into(),
        zone: "buda-a".into(),
        stopping: true,
        phase: Some(TaskPhase::InDoubt),
    };
    let task = TaskHandoff {
        key,
        resources: Some(resources(2)),
        priority: 12,
        image: 99,
        phase: TaskPhase::Running,
        action: Some(DesiredAction::Keep),
        sent_with_heartbeat: (1, 88),
    };
    let machine = MachineHandoff {
        name: "i-000231".into(),
        machine_type: "tolgy16".into(),
        zone: "buda-a".into(),
        spot: false,
        addr: "10.1.0.232:9000".into(),
        on_record: true,
        inventory_known: true,
        last_heartbeat: (1, 90),
        silent_time: Micros(400_000),
        time_to_termination: None,
        idle_time: None,
        images: vec![7],
        tasks: vec![task],
    };
    let key = TaskKey { job: "wk-000412".into(), index: 4, attempt: 9 };
    let items = vec![
        ReplicatedItem::Job("wk-000412".into()),
        ReplicatedItem::Start { key, machine: "i-000231".into(), zone: "buda-a".into() },
    ];
    let replicated_starts = ReplicatedStarts {
        former_member: 2,
        last_epoch: 6,
        members: vec![0, 1, 2],
        last_contact_epoch: 5,
        last_contact_members: vec![1, 2],
        adopted_since: 4,
        items: items.clone(),
        accepted_jobs: vec!["wk-000413".into()],
    };
    let job = JobHandoff {
        id: "wk-000412".into(),
        done: "0-2".into(),
        starts: vec![start],
        unresolved_set: Some(0),
    };
    let batch = HandoffBatch {
        jobs: vec![job],
        unresolved_sets: vec![vec!["i-000007".into()]],
        machines: vec![machine],
        replicated_starts: vec![replicated_starts],
        removed_machines: vec!["i-000005".into()],
    };
    let replicate_starts =
        Message::ReplicateStarts { revision: 5, base_revision: 4, added: items.clone(), removed: items };
    for body in [
        Message::Handoff { number: 4, batch },
        Message::HandoffAck(vec![4, 5]),
        replicate_starts,
        Message::ReplicationAck(5),
    ] {
        let f = frame(body);
        assert_eq!(Frame::decode(&f.encode().expect("encoded")[4..]), Some(f));
    }
}

#[test]
fn requests_of_format_4_round_trip() {
    let id = || "wk-000412".to_owned();
    for request in [UserRequest::Why(id()), UserRequest::Permit(id(), "117440514/3".into())] {
        let f = frame(Message::ForwardRequest { id: 9, request });
        assert_eq!(Frame::decode(&f.encode().expect("encoded")[4..]), Some(f));
    }
}

#[test]
fn values_stored_by_production_round_trip() {
    let all = fixtures();
    let stored = &all["stored"];
    let epoch: EpochRecord = serde_json::from_value(stored["ring/epoch"].clone()).expect("an epoch");
    assert_eq!(epoch.members, [("c0".to_owned(), 11), ("c1".to_owned(), 12)]);
    assert_eq!(serde_json::to_value(&epoch).expect("written"), stored["ring/epoch"]);

    let (raw, spec, accepted, done) = JobShard::read_record(&stored["job/wk-000412"]).expect("a record");
    assert_eq!((raw.clone(), done.len(), spec.dependencies.len()), (body(), 7, 0));
    assert_eq!(JobShard::build_record(&raw, accepted, &done.encode(1000)), stored["job/wk-000412"]);

    let mut leader = JobShard::new(&settings(4.0));
    leader.insert_job(raw, spec, accepted, TaskIndexSet::default(), 1, true);
    leader.jobs.get_mut("wk-000412").expect("live").pending_outcome = Some(JobOutcome::Cancelled);
    let Some((_, RecordWrite::End(_, end), _)) = leader.next_write(Micros(1), true) else { panic!("no end") };
    assert_eq!(end, stored["done/wk-000413"]);
    assert_eq!(hazelsaddle::controller::read_final_record(&end), Some((JobOutcome::Cancelled, 0)));
}

/// Rewrites a waiting job's record as version 1 does, which sees a job that no machine type suits. Version 1 passes
/// the job description on unchanged, so its rewrite loses nothing that this version needs.
#[test]
fn version_1_keeps_a_waiting_record_and_does_not_start_the_job() {
    let mut submission = body();
    submission["follows"] = json!(["wk-000398", "wk-405"]);
    for types in [json!(["g8", "g9"]), Value::Null] {
        submission["breedsOfStall"] = types.clone();
        let record = JobShard::build_waiting_record(&submission, Micros(5));
        // The fields that version 1 reads, with its own checks, which ignore `follows`.
        let mut plain = record["spec"].clone();
        let map: &mut Map<String, Value> = plain.as_object_mut().expect("an object");
        assert!(map.remove("follows").is_some());
        let seen = JobSpec::from_value(&plain).expect("version 1 accepts it as a job");
        assert_eq!(seen.machine_types.len(), 1);
        assert!(seen.machine_types[0].contains(' '), "and no machine is of a type of this name");
        assert_eq!((seen.id.as_str(), seen.task_count, seen.team.as_str()), ("wk-000412", 16, "vision"));
        // Version 1 rewrites the rest, and this version restores the submitted values.
        let rewritten = json!({"spec": record["spec"], "accepted_us": record["accepted_us"], "done": "0-3"});
        let (raw, spec, accepted, done) = JobShard::read_record(&rewritten).expect("readable");
        assert_eq!((accepted, done.len()), (Micros(5), 4));
        assert_eq!(spec.dependencies, ["wk-000398", "wk-405"]);
        assert_eq!(raw["follows"], submission["follows"]);
        assert_eq!(raw.get("breedsOfStall").cloned().unwrap_or_default(), types);
    }
    assert_eq!(
        JobShard::read_record(&json!({"spec": {"breedsOfStall": ["(waits for other jobs)"], "follows": 7}})),
        None
    );
}

/// A held job suits no machine type of any older version, not even when all its dependencies are done. Hand-off
/// between older versions keeps its record complete, and its final record contains its declarations.
#[test]
fn older_versions_keep_a_held_record_and_do_not_start_the_job() {
    let mut submission = body();
    submission["release"] = json!({"title": "t", "night": "2026-12-01", "stage": "rotation"});
    for follows in [Value::Null, json!(["wk-000398", "wk-405"])] {
        submission["follows"] = follows.clone();
        let spec = JobSpec::from_value(&submission).expect("valid");
        let record = JobShard::build_new_record(&submission, &spec, Micros(5));
        let types = &record["spec"]["breedsOfStall"];
        assert!(types.as_array().is_some_and(|t| t.len() == 1) && types[0] != "(waits for other jobs)");
        assert!(
            record["spec"].get("follows").is_none_or(Value::is_null),
            "nothing for which they would let it go"
        );
        let (raw, spec, ..) = JobShard::read_record(&record).expect("readable");
        assert_eq!(
            (raw["breedsOfStall"].clone(), spec.dependencies.len()),
            (submission["breedsOfStall"].clone(), follows.as_array().map_or(0, Vec::len))
        );
        let mut leader = JobShard::new(&settings(4.0));
        leader.insert_job(raw, spec, Micros(5), TaskIndexSet::default(), 1, true);
        for p in ["wk-000398", "wk-405"] {
            leader.apply_dependency_outcome(p, JobOutcome::Done);
        }
        assert!(leader.jobs["wk-000412"].is_waiting(), "the release still holds it");
        leader.lift_hold("wk-000412");
        assert!(!leader.jobs["wk-000412"].is_waiting());
        leader.jobs.get_mut("wk-000412").expect("live").pending_outcome = Some(JobOutcome::Done);
        let Some((_, RecordWrite::End(_, end), _)) = leader.next_write(Micros(1), true) else {
            panic!("no end")
        };
        assert_eq!(end["says"]["release"], submission["release"]);
        assert_eq!(end["says"]["breed"], submission["breed"]);
        let packed = if follows.is_null() { Value::Null } else { "000398,405".into() };
        assert_eq!(end["says"]["follows"], packed);
        assert_eq!(hazelsaddle::job_shard::declarations_in_record(&record), Some(end["says"].clone()));
        assert_eq!(hazelsaddle::controller::read_final_record(&end), Some((JobOutcome::Done, 0)));
    }
}

/// Values stored before the size limits were lowered are longer than what may be written now.
#[test]
fn overlong_stored_values_are_read_and_never_written_at_that_length() {
    let all = fixtures();
    let s = settings(2.0);
    assert_eq!(s.value_bytes, 2048);
    let claims = &all["stored"]["team/t"];
    assert!(claims.to_string().len() > 2048);
    let mut quota = QuotaLedger::new(&s.teams);
    quota.apply_record("t", Some((claims, 5)));
    let allocation_count = claims.as_object().expect("claims").len();
    assert_eq!(quota.allocated("t").cpus, 15_000 * allocation_count as i64, "every claim counts");
    let one = Resources { cpus: 15_000, gpus: 0, memory: 0 };
    let need = |i: usize| QuotaNeed {
        job: format!("wk-9{i:05}"),
        per_task: one,
        in_use: Resources::default(),
        is_usage_known: true,
        more_tasks: 1,
        all_or_nothing: true,
        priority: 0,
        accepted: Micros(1_790_000_000_000_000),
    };
    let needs: Vec<QuotaNeed> = (0..200).map(need).collect();
    let ended = |left: usize| move |job: &str| job[3..].parse::<usize>().expect("a number") >= left * 7;
    let plan_write = |left: usize| {
        let (needs, value_bytes) = (&needs[..], s.value_bytes);
        let input = AllocationInput {
            team: "t",
            needs,
            is_led_locally: &|_| true,
            can_release: &ended(left),
            value_bytes,
            max_pages: 1,
        };
        quota.next_write(Micros(60_000_000), &input)
    };
    assert!(
        plan_write(allocation_count - 3).is_none(),
        "too long still: it waits until more jobs have ended"
    );
    let w = plan_write(10).expect("most have ended");
    let jobs = w.allocations.len();
    assert!(w.value.to_string().len() <= 2048 && jobs > 20, "as many as a value holds: {jobs}");

    let key = "mach/c0/0";
    let rows = machine_registry::read_page(&all["stored"][key]).expect("a page");
    assert!(all["stored"][key].to_string().len() > 2048);
    let mut registry = MachineRegistry::new("c0", s.value_bytes);
    registry.apply_page(key, &rows, 9);
    assert_eq!(registry.names().len(), rows.len());
    let new = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.1:1".into() };
    registry.register("i-900000", &new);
    // A changed machine of the overlong page is written to another page, and its old entry stays on the overlong one.
    registry.register(&rows[0].0, &rows[0].1);
    let w = registry.next_write(true).expect("a page");
    assert!(w.key != key && w.names.len() == 2 && w.base_version == 0);
    assert!(registry.next_write(true).is_none(), "the long page is left alone");
    registry.commit_write(&w, 10);
    registry.remove_gone(|n| rows[10..].iter().any(|(name, _)| name == n));
    let w = registry.next_write(true).expect("it fits again");
    assert_eq!((w.key.as_str(), w.base_version, w.names.len()), (key, 9, 10));
    assert!(w.value.expect("a page").to_string().len() <= 2048);
}
