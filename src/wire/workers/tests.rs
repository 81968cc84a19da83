use super::*;

fn key(attempt: u64) -> TaskKey {
    TaskKey { job: "wk-1".into(), index: 4, attempt }
}

fn task(name: &str, state: &str, cause: Option<&str>) -> HeartbeatTask {
    let cause = cause.map(str::to_owned);
    HeartbeatTask { task: name.into(), attempt: 2, state: state.into(), cause, saved: Some(true) }
}

#[test]
fn a_heartbeat_is_read_with_its_defaults_and_unknown_fields_are_ignored() {
    let text =
        r#"{"stall":"i-1","stallKind":"k","paddock":"z","ride":3,"hoofbeat":8,"rein":9,"colour":"bay"}"#;
    let read: Heartbeat = serde_json::from_str(text).expect("a heartbeat");
    assert_eq!((read.machine.as_str(), read.machine_type.as_str(), read.zone.as_str()), ("i-1", "k", "z"));
    assert_eq!(
        (read.addr.as_str(), read.spot, read.time_to_termination_s, read.tasks.len()),
        ("", false, None, 0)
    );
    assert_eq!((read.id(), read.token), (HeartbeatId { incarnation: 3, sequence: 8 }, 9));
}

#[test]
fn what_is_missing_in_a_heartbeat_is_named_in_the_protocols_words() {
    for field in ["stall", "stallKind", "paddock", "ride", "hoofbeat", "rein"] {
        let mut body = serde_json::json!({
            "stall": "i-1", "stallKind": "k", "paddock": "z", "ride": 3, "hoofbeat": 8, "rein": 9
        });
        body.as_object_mut().expect("an object").remove(field);
        let error = serde_json::from_str::<Heartbeat>(&body.to_string()).expect_err("incomplete").to_string();
        assert!(error.starts_with(&format!("missing field `{field}`")), "{error}");
    }
    let error = serde_json::from_str::<Heartbeat>("7").expect_err("no object").to_string();
    assert_eq!(error, "invalid type: integer `7`, expected struct Report at line 1 column 1");
    let error = serde_json::from_str::<Heartbeat>("[]").expect_err("nothing in it").to_string();
    assert_eq!(error, "invalid length 0, expected struct Report with 10 elements at line 1 column 2");
}

#[test]
fn each_state_and_cause_has_its_phase() {
    let phase = |state, cause| ObservedTask::try_from(&task("a/b/7", state, cause)).map(|t| t.phase);
    assert_eq!(phase("pulling", None), Ok(TaskPhase::Fetching));
    assert_eq!(phase("waiting", None), Ok(TaskPhase::Waiting));
    assert_eq!(phase("running", None), Ok(TaskPhase::Running));
    assert_eq!(phase("flushing", None), Ok(TaskPhase::Saving));
    let exits = [
        (Some("done"), TaskExit::Done),
        (Some("stopped"), TaskExit::Stopped(true)),
        (Some("peers"), TaskExit::PeerLost),
        (Some("alone"), TaskExit::GangIncomplete),
        (Some("no_room"), TaskExit::NoRoom),
        (Some("busy"), TaskExit::AttemptConflict),
        (Some("unknown"), TaskExit::UnknownTask),
        (Some("a cause of tomorrow"), TaskExit::Error),
        (None, TaskExit::Error),
    ];
    for (cause, exit) in exits {
        assert_eq!(phase("ended", cause), Ok(TaskPhase::Exited(exit)), "{cause:?}");
    }
    assert_eq!(phase("grazing", None), Err(UnreadableTask::State));
}

#[test]
fn a_task_name_ends_in_its_index() {
    let read = |name| ObservedTask::try_from(&task(name, "running", None)).map(|t| (t.key.job, t.key.index));
    assert_eq!(read("a/b/7"), Ok(("a/b".to_owned(), 7)));
    for bad in ["a", "a/", "a/x", "a/-1", "a/4294967296"] {
        assert_eq!(read(bad), Err(UnreadableTask::Name), "{bad}");
    }
}

#[test]
fn responses_and_probes_are_written_byte_for_byte() {
    let commands = vec![
        Command::Forget(key(1)),
        Command::Kill(key(2), Micros::from_millis(2500)),
        Command::Kill(key(3), Micros(0)),
        Command::Run(key(4)),
    ];
    let text = serde_json::to_string(&HeartbeatResponse { token: 9, commands }).expect("a response");
    assert_eq!(
        text,
        concat!(
            r#"{"rein":9,"calls":[{"call":"forget","stride":"wk-1/4","mount":1},"#,
            r#"{"call":"kill","stride":"wk-1/4","mount":2,"cooldownS":2.5},"#,
            r#"{"call":"kill","stride":"wk-1/4","mount":3,"cooldownS":0.0},"#,
            r#"{"call":"run","stride":"wk-1/4","mount":4}]}"#
        )
    );
    assert_eq!(fencing_probe_body(9, 3), r#"{"calls":[],"rein":9,"ride":3}"#);
}
