//! Stored records and messages, byte for byte: what the code writes for fixed values equals
//! `fixtures/current-form.json` (`fixtures/README.md`), and what is read from there is written again unchanged. A
//! renaming or a refactoring must not change any of it.
//!
//! This test never writes the fixtures. `GOLDEN_WRITE=1 cargo test --test golden -- --nocapture` prints what the
//! code writes now to standard output, one line for each value, and changes no file.

use hazelsaddle::autoscaler::{CloudAnswer, CloudRequest};
use hazelsaddle::config::operators::Operators;
use hazelsaddle::config::settings::Settings;
use hazelsaddle::controller::{Controller, Effect, Event, read_final_record};
use hazelsaddle::job_shard::{JobOutcome, JobShard, RecordWrite};
use hazelsaddle::machine_registry::{self, MachineRegistry};
use hazelsaddle::machine_shard::{Heartbeat, HeartbeatTask, MachineRecord};
use hazelsaddle::membership::EpochRecord;
use hazelsaddle::peer::*;
use hazelsaddle::quota::{AllocationInput, QuotaLedger, QuotaNeed};
use hazelsaddle::spec::JobSpec;
use hazelsaddle::state_store::{KeyValue, StoreAnswer, StoreRequest, Transaction};
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use hazelsaddle_coordination::census::{CensusJobState, Member};
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Kind, read_page_items, split_into_pages};
use hazelsaddle_freshness::batch::{Batch, PermitGrant, VersionChange, Writer};
use hazelsaddle_gpu_lending::ledger::{Ledger, Loan, LoanState};
use hazelsaddle_release::release_record::{self, ClosedBy, Release};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

type NamedValues = Vec<(String, Value)>;

fn fixtures(section: &str) -> Map<String, Value> {
    let all: Value = serde_json::from_str(include_str!("fixtures/current-form.json")).expect("JSON");
    all[section].as_object().cloned().unwrap_or_default()
}

/// Compares what the code writes with sections of the fixtures, byte for byte.
fn assert_unchanged(sections: &[(&str, NamedValues)]) {
    if std::env::var_os("GOLDEN_WRITE").is_some_and(|v| v == "1") {
        for (section, values) in sections {
            values.iter().for_each(|(name, value)| println!("\ngolden\t{section}\t{name}\t{value}"));
        }
    }
    sections.iter().for_each(|(section, values)| assert_section_unchanged(section, values));
}

fn assert_section_unchanged(section: &str, now: &NamedValues) {
    let golden = fixtures(section);
    for (name, value) in now {
        let stored = golden.get(name).unwrap_or_else(|| panic!("{section}: {name} is not in the fixtures"));
        assert_eq!(value.to_string(), stored.to_string(), "{section}: {name} is written to the byte");
    }
    assert_eq!(golden.len(), now.len(), "{section}: each form once, and no other");
}

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"vision\"\ncpus = 16.0\ncpus_max = 40.0\n\
        [settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n\
        [settings.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
        [settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn body(id: &str) -> Value {
    json!({"uid":id,"breed":"train","herd":"vision","gait":"group","rank":"high","strides":16,
        "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
        "paddock":null,"together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
        "unsaddleS":4.0,"dueS":900.0})
}

fn body_with(key: &str, value: Value) -> Value {
    let mut raw = body("wk-000412");
    raw[key] = value;
    raw
}

// Frames.

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

fn resources(n: i64) -> Resources {
    Resources { cpus: 1000 * n, gpus: n, memory: 2500 * n }
}

fn key(index: u32) -> TaskKey {
    TaskKey { job: "wk-000412".into(), index, attempt: (7 << 24) + 2 }
}

fn machine_handoff() -> MachineHandoff {
    let task = TaskHandoff {
        key: key(3),
        resources: Some(resources(2)),
        priority: 12,
        image: 99,
        phase: TaskPhase::Exited(TaskExit::Stopped(true)),
        action: Some(DesiredAction::Stop(Micros(4_000_000))),
        sent_with_heartbeat: (1, 88),
    };
    MachineHandoff {
        name: "i-000231".into(),
        machine_type: "tolgy16".into(),
        zone: "buda-a".into(),
        spot: true,
        addr: "10.1.0.232:9000".into(),
        on_record: true,
        inventory_known: true,
        last_heartbeat: (1, 90),
        silent_time: Micros(400_000),
        time_to_termination: Some(Micros(9_000_000)),
        idle_time: None,
        images: vec![7, 8],
        tasks: vec![task],
    }
}

fn replicated_items() -> Vec<ReplicatedItem> {
    let start = ReplicatedItem::Start { key: key(4), machine: "i-000231".into(), zone: "buda-a".into() };
    vec![ReplicatedItem::Job("wk-000412".into()), start]
}

fn handoff_batch() -> HandoffBatch {
    let start = StartHandoff {
        index: 3,
        attempt: (7 << 24) + 2,
        machine: "i-000231".into(),
        zone: "buda-a".into(),
        stopping: true,
        phase: Some(TaskPhase::InDoubt),
    };
    let replicated_starts = ReplicatedStarts {
        former_member: 2,
        last_epoch: 6,
        members: vec![0, 1, 2],
        last_contact_epoch: 5,
        last_contact_members: vec![1, 2],
        adopted_since: 4,
        items: replicated_items(),
        accepted_jobs: vec!["wk-000413".into()],
    };
    let job = JobHandoff {
        id: "wk-000412".into(),
        done: "0-2".into(),
        starts: vec![start],
        unresolved_set: Some(0),
    };
    HandoffBatch {
        jobs: vec![job],
        unresolved_sets: vec![vec!["i-000007".into()]],
        machines: vec![machine_handoff()],
        replicated_starts: vec![replicated_starts],
        removed_machines: vec!["i-000005".into()],
    }
}

fn lending() -> LendingReport {
    let task = LendableTask {
        index: 2,
        attempt: 9,
        machine: "i-000231".into(),
        lost_work_ms: 61_000,
        is_protected: true,
    };
    let job = LendableJob {
        job: "wk-000412".into(),
        team: "vision".into(),
        priority: 3,
        is_gang: true,
        resources_per_task: resources(2),
        tasks: vec![task],
    };
    LendingReport { jobs: vec![job], shortfalls: vec![("chat".into(), resources(4), Micros(21_000_000))] }
}

/// One frame of each kind of message that `first-form.json` doesn't contain.
fn frames() -> Vec<(&'static str, Frame)> {
    let id = || "wk-000412".to_owned();
    let forward_request = |request| Message::ForwardRequest { id: 9, request };
    let replicate_starts = Message::ReplicateStarts {
        revision: 5,
        base_revision: 4,
        added: replicated_items(),
        removed: replicated_items(),
    };
    [
        ("needed", Message::InheritedPriorities(vec![(id(), 2), ("wk-1".into(), 1)])),
        ("hand_over", Message::Handoff { number: 4, batch: handoff_batch() }),
        ("taken", Message::HandoffAck(vec![4, 5])),
        ("vouch", replicate_starts),
        ("noted", Message::ReplicationAck(5)),
        ("lending", Message::Lending(lending())),
        ("cancelled_jobs", Message::CancelledJobs(vec![id(), "wk-1".into()])),
        ("cancelled_jobs_ack", Message::CancelledJobsAck(vec![id()])),
        ("why", forward_request(UserRequest::Why(id()))),
        ("permit", forward_request(UserRequest::Permit(id(), "117440514/3".into()))),
        ("answer_without_time", Message::ForwardResponse { id: 8, reply: Reply::error(404, "no such job") }),
    ]
    .map(|(name, body)| (name, frame(body)))
    .into()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn frames_round_trip_byte_for_byte() {
    let written = |f: &Frame| Value::from(hex(&f.encode().expect("encoded")));
    let values = frames().iter().map(|(name, f)| ((*name).to_owned(), written(f))).collect();
    assert_unchanged(&[("frames", values)]);
    let golden = fixtures("frames");
    for (name, f) in frames() {
        let bytes = bytes_of(golden[name].as_str().expect("text"));
        let read = Frame::decode(&bytes[4..]).expect(name);
        assert_eq!(read, f, "{name} is read");
        assert_eq!(read.encode(), Some(bytes), "{name} is written again alike");
    }
}

// Stored records.

/// Job descriptions, by the optional fields that they contain.
fn descriptions() -> [(&'static str, Value); 5] {
    let release = json!({"title": "t", "night": "2026-12-01", "stage": "rotation"});
    let mut both = body_with("release", release.clone());
    both["follows"] = json!(["wk-000398", "wk-405"]);
    [
        ("plain", body("wk-000412")),
        ("follows", body_with("follows", json!(["wk-000398", "wk-405"]))),
        ("release", both),
        ("batch", body_with("batch", json!({"name": "b-7", "version": 3}))),
        ("merges", body_with("merges", json!({"name": "b-7", "version": 3}))),
    ]
}

const ACCEPTED: Micros = Micros(1_790_000_000_000_000);

fn final_record(record: &Value, outcome: JobOutcome) -> Value {
    let (raw, spec, accepted, done) = JobShard::read_record(record).expect("a record");
    let id = spec.id.clone();
    let mut owner = JobShard::new(&settings());
    owner.insert_job(raw, spec, accepted, done, 1, true);
    owner.jobs.get_mut(&id).expect("live").pending_outcome = Some(outcome);
    match owner.next_write(Micros(1), true) {
        Some((_, RecordWrite::End(_, end), _)) => end,
        _ => panic!("no end"),
    }
}

fn job_values() -> NamedValues {
    let mut out = NamedValues::new();
    for (name, raw) in descriptions() {
        let spec = JobSpec::from_value(&raw).expect("valid");
        let record = JobShard::build_new_record(&raw, &spec, ACCEPTED);
        for (end, f) in [("done", JobOutcome::Done), ("cancelled", JobOutcome::Cancelled)] {
            out.push((format!("job/{name}/{end}"), final_record(&record, f)));
        }
        out.push((format!("job/{name}"), record));
    }
    let done = TaskIndexSet::decode("0-3,7", 16).expect("ranges");
    let progress = JobShard::build_record(&body("wk-000412"), ACCEPTED, &done.encode(1000));
    out.push(("job/progress/cancelled".into(), final_record(&progress, JobOutcome::Cancelled)));
    out.push(("job/progress".into(), progress));
    out
}

#[test]
fn job_records_round_trip_byte_for_byte() {
    assert_unchanged(&[("jobs", job_values())]);
    let golden = fixtures("jobs");
    for (name, raw) in descriptions() {
        let stored = &golden[&format!("job/{name}")];
        let (read, spec, accepted, done) = JobShard::read_record(stored).expect(name);
        assert_eq!((accepted, done.len()), (ACCEPTED, 0), "{name}");
        assert_eq!(spec, JobSpec::from_value(&raw).expect("valid"), "{name} is read");
        assert_eq!(
            JobShard::build_new_record(&read, &spec, accepted).to_string(),
            stored.to_string(),
            "{name}"
        );
        for (end, f) in [("done", JobOutcome::Done), ("cancelled", JobOutcome::Cancelled)] {
            let ended = &golden[&format!("job/{name}/{end}")];
            assert_eq!(read_final_record(ended), Some((f, 0)), "{name} {end} is read");
            assert_eq!(final_record(stored, f).to_string(), ended.to_string(), "{name} {end}");
        }
    }
    let stored = &golden["job/progress"];
    let (raw, _, accepted, done) = JobShard::read_record(stored).expect("a record");
    assert_eq!(JobShard::build_record(&raw, accepted, &done.encode(1000)).to_string(), stored.to_string());
    assert_eq!(read_final_record(&golden["job/progress/cancelled"]), Some((JobOutcome::Cancelled, 5)));
}

fn epoch() -> EpochRecord {
    EpochRecord { epoch: 7, members: vec![("c0".into(), 11), ("c1".into(), 12)] }
}

fn machines() -> [(&'static str, MachineRecord); 2] {
    let record = |spot, addr: &str| MachineRecord {
        kind: "tolgy16".into(),
        zone: "buda-a".into(),
        spot,
        addr: addr.into(),
    };
    [("i-000231", record(true, "10.1.0.232:9000")), ("i-000232", record(false, ""))]
}

fn page_of(rows: &[(String, MachineRecord)]) -> Value {
    let mut registry = MachineRegistry::new("c0", 2048);
    for (name, record) in rows {
        registry.register(name, record);
    }
    let write = registry.next_write(true).expect("a page");
    assert_eq!(write.key, "mach/c0/0");
    write.value.expect("not empty")
}

fn need(job: &str, each: i64, accepted: Micros) -> QuotaNeed {
    QuotaNeed {
        job: job.into(),
        per_task: Resources { cpus: each, gpus: 0, memory: 0 },
        in_use: Resources::default(),
        is_usage_known: true,
        more_tasks: 2,
        all_or_nothing: true,
        priority: 3,
        accepted,
    }
}

/// The team's record that a job leader with only these jobs writes.
fn updated_team_record(record: &Value, needs: &[QuotaNeed]) -> Value {
    let settings_c0 = settings();
    let mut quota = QuotaLedger::new(&settings_c0.teams);
    quota.apply_record("vision", Some((record, 5)));
    let is_led_locally = |job: &str| needs.iter().any(|n| n.job == job);
    let value_bytes = settings_c0.value_bytes;
    let input = AllocationInput {
        team: "vision",
        needs,
        is_led_locally: &is_led_locally,
        can_release: &|_| false,
        value_bytes,
        max_pages: 1,
    };
    let write = quota.next_write(Micros(60_000_000), &input);
    write.expect("a change").value
}

/// A record of two pages, by key.
fn team_pages() -> Value {
    let quota_of = |value_bytes| {
        let needs: Vec<QuotaNeed> = (1..=4)
            .map(|job| QuotaNeed { more_tasks: 1, ..need(&format!("wk-{job:06}"), 9000, ACCEPTED) })
            .collect();
        let mut quota = QuotaLedger::new(&settings().teams);
        quota.apply_record("vision", None);
        let input = AllocationInput {
            team: "vision",
            needs: &needs,
            is_led_locally: &|_| true,
            can_release: &|_| false,
            value_bytes,
            max_pages: 2,
        };
        quota.next_write(Micros(60_000_000), &input).expect("a change")
    };
    // Space for two entries of the size that is reserved for one.
    let write = quota_of(150);
    let [second] = &write.pages[..] else { panic!("not two pages") };
    json!({"team/vision": write.value, second.key.as_str(): second.value})
}

/// Claims of two and three parts, and one of six parts that waits for free resources.
fn team() -> Value {
    let before = json!({"wk-000001": [9000, 0], "wk-000002": [9000, 2, 1_789_999_999]});
    updated_team_record(&before, &[need("wk-000003", 5000, ACCEPTED), need("wk-000004", 15_000, ACCEPTED)])
}

fn loan(id: u64, state: LoanState) -> Loan {
    Loan {
        id,
        job: "wk-000500".into(),
        lender: "vision".into(),
        from: "wk-000412".into(),
        tasks: vec![(0, 9), (1, 10)],
        gpus: 4000,
        cpus: 16_000,
        memory: 64_000,
        replicas: 2,
        hold: (4000, 8000, 32_000),
        machine: "i-000231".into(),
        since_us: ACCEPTED.0,
        state,
    }
}

fn ledger() -> Ledger {
    let states = [LoanState::Taking, LoanState::Held, LoanState::Returning];
    let mut rest = Map::new();
    rest.insert("drains".into(), json!({"i-000009": 2}));
    Ledger {
        fence: 9,
        loans: states.into_iter().zip(6..).map(|(s, id)| loan(id, s)).collect(),
        other_fields: rest,
    }
}

fn release() -> Release {
    let mut rest = Map::new();
    rest.insert("later".into(), json!(1));
    Release {
        title: "t".into(),
        night: "2026-12-01".into(),
        calendar: "n".into(),
        begins_us: 1,
        renders_us: 2,
        due_us: 3,
        opened_us: 4,
        expects: None,
        closed_by: None,
        waived: BTreeMap::new(),
        rotated: false,
        by_hand: true,
        unknown_fields: rest,
    }
}

/// A release in each phase: open, closing, and closed with its page.
fn release_values() -> NamedValues {
    let key = Key::new(Kind::Release, "t@2026-12-01").expect("a name");
    let member = |says: Value| Member { state: CensusJobState::Live, declaration: says };
    let says = |stage: &str| json!({"title": "t", "night": "2026-12-01", "stage": stage});
    let mut rebuild = says("rebuild");
    rebuild["expects"] = json!(2);
    let found =
        BTreeMap::from([("wk-1".to_owned(), member(rebuild)), ("wk-2".to_owned(), member(says("render")))]);
    let open = release().to_record();
    let closing = release_record::begin_closing(&open, ClosedBy::Count).expect("it is open");
    let (written, head) =
        release_record::finish_closing(&key, &closing, &found, 2048).expect("it is closing");
    let known = release_record::read_member_pages(written.iter().map(|(_, v)| v)).expect("members");
    let waived = release_record::waive(&head, &known, "wk-2", "lost").expect("waived");
    let heads = [("open", open), ("closing", closing), ("closed", head), ("waived", waived)];
    let heads = heads.into_iter().map(|(name, r)| (format!("release/{name}"), r.to_value()));
    heads.chain(written.into_iter().map(|(k, v)| (format!("release/page/{k}"), v))).collect()
}

fn batch_values() -> NamedValues {
    let writer = |attempt, task| Writer { job: "wk-000412".into(), attempt, task };
    let granted = |b: &Batch, w: &Writer| match b.grant_permit(w, 2048) {
        PermitGrant::New(next, _) => next,
        other => panic!("{other:?}"),
    };
    let first = Batch::new(7);
    let held = granted(&granted(&first, &writer(9, Some(3))), &writer(10, None));
    let Ok(VersionChange::Raised(raised)) = held.put_version(8) else { panic!("not raised") };
    let all = [("first", first), ("held", held), ("raised", raised)];
    all.into_iter().map(|(name, b)| (format!("batch/{name}"), b.to_record().to_value())).collect()
}

fn record_values() -> NamedValues {
    let rows: Vec<_> = machines().into_iter().map(|(n, r)| (n.to_owned(), r)).collect();
    let (pages, lost) = split_into_pages([json!(["a", 1]), json!(["b"])], 50);
    assert_eq!(lost, 0);
    let mut out: NamedValues = vec![
        ("epoch".into(), serde_json::to_value(epoch()).expect("plain")),
        ("machines".into(), page_of(&rows)),
        ("team".into(), team()),
        ("team/pages".into(), team_pages()),
        ("ledger".into(), CoordinationRecord::open(1, ledger().body()).to_value()),
        ("pact/pages".into(), pages.into()),
    ];
    for (kind, name) in [(Kind::Release, "release"), (Kind::Batch, "batch"), (Kind::Loan, "loan")] {
        let key = Key::new(kind, "n").expect("a name");
        out.push((format!("pact/keys/{name}"), json!([kind.prefix(), key.head_key(), key.page_key(3, 12)])));
    }
    out.extend(release_values());
    out.extend(batch_values());
    out
}

#[test]
fn other_records_are_written_byte_for_byte() {
    assert_unchanged(&[("records", record_values())]);
}

#[test]
fn other_records_round_trip() {
    let golden = fixtures("records");
    let again = |name: &str, value: Value| assert_eq!(value.to_string(), golden[name].to_string(), "{name}");
    let read: EpochRecord = serde_json::from_value(golden["epoch"].clone()).expect("an epoch");
    assert_eq!(read, epoch());
    again("epoch", serde_json::to_value(read).expect("plain"));

    let rows = machine_registry::read_page(&golden["machines"]).expect("a page");
    assert_eq!(rows, machines().map(|(n, r)| (n.to_owned(), r)));
    again("machines", page_of(&rows));

    // The claim of another job leader is added to the existing ones.
    let mut updated = updated_team_record(&golden["team"], &[need("wk-000005", 100, ACCEPTED)]);
    assert!(updated.as_object_mut().expect("claims").remove("wk-000005").is_some());
    again("team", updated);

    let rows: Vec<KeyValue> = golden["team/pages"]
        .as_object()
        .expect("pages")
        .iter()
        .map(|(key, value)| KeyValue { key: key.clone(), value: value.clone(), store_version: 5 })
        .collect();
    let mut quota = QuotaLedger::new(&settings().teams);
    quota.apply_rows("vision", &rows, false);
    assert!(quota.is_paged("vision"));
    for job in 1..=4 {
        assert_eq!(quota.allocation("vision", &format!("wk-{job:06}")).cpus, 9000);
    }

    let record = CoordinationRecord::read(&golden["ledger"]).expect("a record");
    let read = Ledger::read(&record.body).expect("a ledger");
    assert_eq!(read, ledger());
    again("ledger", CoordinationRecord { body: read.body(), ..record }.to_value());

    for page in golden["pact/pages"].as_array().expect("pages") {
        let (again, lost) = split_into_pages(read_page_items(page).expect("a page").iter().cloned(), 50);
        assert_eq!((again, lost), (vec![page.clone()], 0));
    }
    for name in ["release", "batch", "loan"] {
        let head = golden[&format!("pact/keys/{name}")][1].as_str().expect("a key");
        assert_eq!(Key::parse(head).expect("a key").head_key(), head);
    }
}

#[test]
fn releases_and_batches_round_trip() {
    for (name, stored) in fixtures("records") {
        if name.starts_with("release/page/") {
            let (again, _) =
                split_into_pages(read_page_items(&stored).expect("a page").iter().cloned(), 2048);
            assert_eq!(again, std::slice::from_ref(&stored), "{name}");
            assert_eq!(release_record::read_member_pages([&stored]).expect("members").len(), 2);
        } else if name.starts_with("release/") {
            let record = CoordinationRecord::read(&stored).expect("a record");
            let body = serde_json::to_value(Release::read(&record).expect("a release")).expect("plain");
            assert_eq!(
                CoordinationRecord { body, ..record }.to_value().to_string(),
                stored.to_string(),
                "{name}"
            );
        } else if name.starts_with("batch/") {
            let read = Batch::read(&CoordinationRecord::read(&stored).expect("a record")).expect("a batch");
            assert_eq!(read.to_record().to_value().to_string(), stored.to_string(), "{name}");
        }
    }
}

// Responses to users, workers and operators.

fn reply_values(r: &Reply) -> Value {
    json!([r.status, r.body, r.retry_after])
}

/// A state store that executes every transaction at once.
#[derive(Default)]
struct FakeStateStore {
    rows: BTreeMap<String, (Value, u64)>,
    revision: u64,
    /// The first value that was written under each key.
    first: BTreeMap<String, Value>,
    /// The latest value of each key, including keys that have been deleted.
    last: BTreeMap<String, Value>,
}

impl FakeStateStore {
    fn row(&self, key: &str) -> Option<KeyValue> {
        let (value, store_version) = self.rows.get(key)?;
        Some(KeyValue { key: key.into(), value: value.clone(), store_version: *store_version })
    }

    fn commit(&mut self, c: Transaction) -> StoreAnswer {
        let store_version = |key: &str| self.rows.get(key).map_or(0, |r| r.1);
        let failed: Vec<String> =
            c.conditions.iter().filter(|(k, m)| store_version(k) != *m).map(|(k, _)| k.clone()).collect();
        if !failed.is_empty() {
            return StoreAnswer::Conflict(failed);
        }
        self.revision += 1;
        for (key, value, _) in c.puts {
            self.first.entry(key.clone()).or_insert_with(|| value.clone());
            self.last.insert(key.clone(), value.clone());
            self.rows.insert(key, (value, self.revision));
        }
        for key in c.deletes {
            self.rows.remove(&key);
        }
        StoreAnswer::Committed(self.revision)
    }

    fn answer(&mut self, r: StoreRequest) -> StoreAnswer {
        match r {
            StoreRequest::Get(key) => StoreAnswer::Got(self.row(&key)),
            StoreRequest::List(prefix, after) => {
                let keys = self.rows.keys().filter(|k| k.starts_with(&prefix) && **k > after);
                StoreAnswer::Page(keys.filter_map(|k| self.row(k)).collect(), false)
            }
            StoreRequest::Transaction(c) => self.commit(c),
            StoreRequest::Grant(_) => StoreAnswer::Granted(1),
            StoreRequest::Renew(_) => StoreAnswer::Renewed,
            StoreRequest::Revision => StoreAnswer::CurrentRevision(self.revision),
            StoreRequest::Watch(..) => StoreAnswer::Changes(self.revision, Vec::new()),
        }
    }
}

/// One controller with its state store, in steps of a tenth of a second.
struct Harness {
    controller: Controller,
    store: FakeStateStore,
    now: Micros,
    out: Vec<Effect>,
    answers: Vec<(u64, Reply)>,
    ticket: u64,
}

impl Harness {
    fn start(settings: Settings, store: FakeStateStore) -> Harness {
        let controller = Controller::new(settings, 11);
        let now = Micros(1_000_000);
        let mut harness = Harness { controller, store, now, out: Vec::new(), answers: Vec::new(), ticket: 0 };
        harness.run_steps(200);
        assert!(harness.controller.membership.is_leader(harness.now), "it is the leader");
        harness
    }

    fn wall(&self) -> Micros {
        Micros(ACCEPTED.0 + self.now.0)
    }

    fn cloud(request: &CloudRequest) -> CloudAnswer {
        let kind = json!({"sku":"k8","vcpus":8,"cards":0,"ramGb":64,"cacheGb":10,"fetchGbPerS":1,"rate":1.0,
            "lowPrice":0.5,"startupS":5,"paddocks":["z"]});
        match request {
            CloudRequest::MachineTypes => {
                CloudAnswer::MachineTypes(vec![serde_json::from_value(kind).expect("a type")])
            }
            CloudRequest::List(_) => CloudAnswer::Page(Vec::new(), false),
            CloudRequest::ScaleOut(_) => CloudAnswer::NoCapacity,
            CloudRequest::ScaleIn(_) => CloudAnswer::Failed,
        }
    }

    fn step_controller(&mut self) {
        let wall = self.wall();
        for effect in std::mem::take(&mut self.out) {
            let event = match effect {
                Effect::Reply { ticket, reply } => {
                    self.answers.push((ticket, reply));
                    continue;
                }
                Effect::Store { id, request, .. } => Event::Store { id, answer: self.store.answer(request) },
                Effect::Cloud(request) => {
                    let answer = Harness::cloud(&request);
                    Event::Cloud { request, answer }
                }
                _ => continue,
            };
            self.controller.step(self.now, wall, event, &mut self.out);
        }
        self.now = self.now + Micros(100_000);
        self.controller.reconcile(self.now, self.wall(), &mut self.out);
    }

    fn run_steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step_controller();
        }
    }

    fn submit_event(&mut self, event: impl FnOnce(u64) -> Event) -> u64 {
        self.ticket += 1;
        let wall = self.wall();
        self.controller.step(self.now, wall, event(self.ticket), &mut self.out);
        self.ticket
    }

    fn take_reply(&mut self, ticket: u64) -> Option<Reply> {
        let at = self.answers.iter().position(|(t, _)| *t == ticket)?;
        Some(self.answers.remove(at).1)
    }

    fn wait_for_reply(&mut self, event: impl FnOnce(u64) -> Event) -> Reply {
        let ticket = self.submit_event(event);
        let answer = (0..100).find_map(|_| {
            self.step_controller();
            self.take_reply(ticket)
        });
        answer.expect("an answer within ten seconds")
    }

    /// The HTTP response to a user: status, body and retry delay.
    fn send_user_request(&mut self, request: UserRequest) -> Value {
        let r = self.wait_for_reply(|ticket| Event::User { ticket, request });
        reply_values(&r)
    }

    fn submit(&mut self, raw: &Value) -> Value {
        let id = raw["uid"].as_str().expect("an id").to_owned();
        self.send_user_request(UserRequest::Submit(id, raw.to_string()))
    }

    fn query(&mut self, id: &str) -> Value {
        self.send_user_request(UserRequest::Query(id.into()))
    }

    fn cancel(&mut self, id: &str) -> Value {
        self.send_user_request(UserRequest::Cancel(id.into()))
    }
}

/// A worker that executes its commands and reports when its tasks are done.
#[derive(Default)]
struct Worker {
    token: u64,
    seq: u64,
    tasks: Vec<HeartbeatTask>,
    /// The first response body with each set of commands.
    reply_values: NamedValues,
}

impl Worker {
    fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: "i-000231".into(),
            addr: "10.1.0.232:9000".into(),
            machine_type: "k8".into(),
            zone: "z".into(),
            spot: false,
            incarnation: 1,
            sequence: self.seq,
            token: self.token,
            time_to_termination_s: None,
            tasks: self.tasks.clone(),
        }
    }

    fn end_tasks(&mut self, why: &str) {
        for t in &mut self.tasks {
            (t.state, t.cause, t.saved) = ("ended".into(), Some(why.into()), Some(why == "stopped"));
        }
    }

    fn execute(&mut self, command: &Value) {
        let task = command["stride"].as_str().expect("a task").to_owned();
        match command["call"].as_str().expect("a command") {
            "run" => self.tasks.push(HeartbeatTask {
                task,
                attempt: command["mount"].as_u64().expect("an attempt"),
                state: "running".into(),
                cause: None,
                saved: None,
            }),
            "kill" => self.end_tasks("stopped"),
            _ => self.tasks.retain(|t| t.task != task),
        }
    }

    /// Sends heartbeats until a response contains commands, or at most the given number of times.
    fn heartbeats(&mut self, harness: &mut Harness, max_count: usize) {
        for _ in 0..max_count {
            let report = self.report();
            let reply = harness.wait_for_reply(|ticket| Event::Heartbeat { ticket, heartbeat: report });
            harness.run_steps(10);
            if reply.status != 200 {
                continue;
            }
            let body: Value = serde_json::from_str(&reply.body).expect("JSON");
            self.token = body["rein"].as_u64().expect("a token");
            let calls = body["calls"].as_array().expect("commands").clone();
            let names: Vec<&str> = calls.iter().filter_map(|c| c["call"].as_str()).collect();
            let name = if names.is_empty() { "nothing".to_owned() } else { names.join("+") };
            if !self.reply_values.iter().any(|(n, _)| *n == name) {
                self.reply_values.push((name, reply.body.clone().into()));
            }
            calls.iter().for_each(|c| self.execute(c));
        }
    }
}

fn small(id: &str) -> Value {
    json!({"uid":id,"breed":"b","herd":"vision","gait":"batch","rank":"idle","strides":1,"vcpus":1.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,"borrowed":false,"rideS":100,
        "restS":2.5,"unsaddleS":1})
}

/// Runs a job to its end, and a dependent job that is cancelled while it runs, and records all responses meanwhile.
fn run_scenario() -> (Harness, Worker, NamedValues) {
    let mut harness = Harness::start(settings(), FakeStateStore::default());
    let mut worker = Worker::default();
    worker.heartbeats(&mut harness, 4);
    let mut replies = NamedValues::new();
    let mut record_reply = |name: &str, reply: Value| replies.push((name.to_owned(), reply));
    record_reply("query of no job", harness.query("wk-000009"));
    record_reply("withdraw of no job", harness.cancel("wk-000009"));
    record_reply("submit", harness.submit(&small("wk-000001")));
    record_reply("submit again", harness.submit(&small("wk-000001")));
    let mut wrong = small("wk-000003");
    wrong["strides"] = json!(0);
    record_reply("submit of a wrong field", harness.submit(&wrong));
    let mut never = small("wk-000003");
    never["vcpus"] = json!(9.0);
    record_reply("submit of what fits nowhere", harness.submit(&never));
    let mut after = small("wk-000002");
    after["follows"] = json!(["wk-000001"]);
    record_reply("submit of one that follows", harness.submit(&after));
    worker.heartbeats(&mut harness, 4);
    record_reply("query while it runs", harness.query("wk-000001"));
    record_reply("query while it waits", harness.query("wk-000002"));
    worker.end_tasks("done");
    worker.heartbeats(&mut harness, 8);
    record_reply("query when done", harness.query("wk-000001"));
    record_reply("withdraw when done", harness.cancel("wk-000001"));
    record_reply("submit when done", harness.submit(&small("wk-000001")));
    let cancel_ticket = harness
        .submit_event(|ticket| Event::User { ticket, request: UserRequest::Cancel("wk-000002".into()) });
    worker.heartbeats(&mut harness, 8);
    let reply = harness.take_reply(cancel_ticket).expect("an answer");
    record_reply("withdraw while it runs", reply_values(&reply));
    record_reply("query when withdrawn", harness.query("wk-000002"));
    (harness, worker, replies)
}

#[test]
fn responses_to_users_and_workers_are_unchanged_byte_for_byte() {
    let (harness, worker, replies) = run_scenario();
    let (first, last) = (harness.store.first, harness.store.last);
    assert_unchanged(&[
        ("answers", replies),
        ("heartbeats", worker.reply_values),
        ("stored first", first.into_iter().collect()),
        ("stored last", last.into_iter().collect()),
    ]);
}

/// A controller that starts from the stored values of the fixtures loads all of them and writes them again unchanged.
#[test]
fn a_controller_loads_the_stored_values_at_its_start() {
    let mut store = FakeStateStore { revision: 1, ..FakeStateStore::default() };
    let ended = |key: &str| key == "job/wk-000001" || key == "job/wk-000002";
    for (key, value) in fixtures("stored last").into_iter().filter(|(k, _)| !ended(k)) {
        store.rows.insert(key, (value, 1));
    }
    let mut harness = Harness::start(settings(), store);
    let golden = fixtures("answers");
    assert_eq!(harness.query("wk-000001"), golden["query when done"]);
    assert_eq!(harness.query("wk-000002"), golden["query when withdrawn"]);
    let stored = fixtures("stored last");
    for key in ["ring/m/c0", "ring/m/*", "mach/c0/0"] {
        assert_eq!(harness.store.rows[key].0.to_string(), stored[key].to_string(), "{key}");
    }
}

#[test]
fn refusals_of_heartbeats_are_unchanged_byte_for_byte() {
    let mut harness = Harness::start(settings(), FakeStateStore::default());
    let mut worker = Worker::default();
    worker.heartbeats(&mut harness, 2);
    worker.seq -= 1;
    let (late, mut newer) = (worker.report(), worker.report());
    newer.token += 1;
    let late = harness.wait_for_reply(|ticket| Event::Heartbeat { ticket, heartbeat: late });
    let newer = harness.wait_for_reply(|ticket| Event::Heartbeat { ticket, heartbeat: newer });
    let values = vec![("late".into(), reply_values(&late)), ("newer epoch".into(), reply_values(&newer))];
    assert_unchanged(&[("refusals", values)]);
}

fn keys(v: &Value) -> Value {
    v.as_object().expect("an object").keys().cloned().collect::<Vec<_>>().into()
}

#[test]
fn the_status_has_the_same_keys() {
    let mut extended = settings();
    let text = "[logs]\nstores = 10.3.0.1:7103\n[loans]\nborrowers = chat\n";
    extended.operators = Operators::parse("f.ini", text).expect("valid");
    let mut out = NamedValues::new();
    for (name, settings) in [("plain", settings()), ("loans and logs", extended)] {
        let mut harness = Harness::start(settings, FakeStateStore::default());
        let body = harness.wait_for_reply(Event::Status).body;
        let status: Value = serde_json::from_str(&body).expect("JSON");
        out.push((name.into(), keys(&status)));
        for (key, part) in status.as_object().expect("an object").iter().filter(|(_, v)| v.is_object()) {
            out.push((format!("{name}/{key}"), keys(part)));
        }
    }
    assert_unchanged(&[("status", out)]);
}

// Settings.

const VALID_PLATFORM: &str = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c1\"\n\
    addr = \"10.0.0.2:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[[settings.teams]]\n\
    name = \"t\"\ncpus = 1.0\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
    gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 4.0\n\
    txn_ops = 8\n[settings.state.next]\nvalue_kb = 2.0\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";

/// Changes of the platform's file, each of which makes it invalid.
const INVALID_PLATFORM: [(&str, &str, &str); 12] = [
    ("no TOML", "member = \"c0\"", "member ="),
    ("a key is missing", "lease_s = 18.0\n", ""),
    ("a key of another type", "lease_s = 18.0", "lease_s = \"long\""),
    ("no address", "10.0.0.9:1", "cloud"),
    ("not above 0", "report_s = 3.0", "report_s = 0.0"),
    ("no number", "lease_s = 18.0", "lease_s = nan"),
    ("a lag below 0", "list_lag_s = 8.0", "list_lag_s = -1.0"),
    ("few changes", "txn_ops = 8", "txn_ops = 3"),
    ("a later limit", "value_kb = 2.0", "value_kb = -2.0"),
    ("a team without a name", "name = \"t\"", "name = \"\""),
    ("a guarantee below 0", "cpus = 1.0", "cpus = -1.0"),
    ("a name twice", "member = \"c1\"", "member = \"c0\""),
];

/// Invalid operators' files.
const INVALID_OPERATORS: [(&str, &str); 13] = [
    ("an unknown section", "[log]\nstores = 10.0.0.1:1\n"),
    ("an unknown key", "[logs]\nstore = 10.0.0.1:1\n"),
    ("no address", "[logs]\nstores = here:1\n"),
    ("a calendar's unknown key", "[calendar n]\ntitel = x\n"),
    ("a calendar's missing key", "[calendar n]\ntitle = x\n"),
    ("an unknown key of loans", "[loans]\nborrower = serve\n"),
    ("no time", "[loans]\nstay_s = soon\n"),
    ("too long a time", "[loans]\nback_s = 31\n"),
    ("an unknown key of freshness", "[freshness]\nsource = a\n"),
    ("no name of a class", "[freshness]\nsources = a b\n"),
    ("a class twice", "[freshness]\nsources = a, a\n"),
    ("required and no source", "[freshness]\nsources = a\nrequired = b\n"),
    ("source and merge", "[freshness]\nsources = a\nmerges = a\n"),
];

/// Exit code and message of the command for these files. A file without a text is missing.
fn run_check(folder: &Path, config: Option<&str>, operators: Option<&str>) -> Value {
    for (name, text) in [("c.toml", config), ("o.ini", operators)] {
        let file = folder.join(name);
        let _ = std::fs::remove_file(&file);
        text.into_iter().for_each(|text| std::fs::write(&file, text).expect("written"));
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazelsaddle"));
    command.current_dir(folder).args(["check", "--config", "c.toml", "--operators", "o.ini"]);
    let out = command.output().expect("it runs");
    json!([out.status.code(), String::from_utf8(out.stderr).expect("text")])
}

#[test]
fn invalid_settings_are_refused_with_unchanged_messages() {
    let folder = std::env::temp_dir().join(format!("hazelsaddle-golden-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut out: NamedValues = vec![
        ("valid".into(), run_check(&folder, Some(VALID_PLATFORM), Some(""))),
        ("platform: no file".into(), run_check(&folder, None, Some(""))),
        ("operators: no file".into(), run_check(&folder, Some(VALID_PLATFORM), None)),
    ];
    for (name, from, to) in INVALID_PLATFORM {
        assert!(VALID_PLATFORM.contains(from), "{name}");
        let text = VALID_PLATFORM.replacen(from, to, 1);
        out.push((format!("platform: {name}"), run_check(&folder, Some(&text), Some(""))));
    }
    for (name, text) in INVALID_OPERATORS {
        out.push((format!("operators: {name}"), run_check(&folder, Some(VALID_PLATFORM), Some(text))));
    }
    std::fs::remove_dir_all(&folder).expect("removed");
    assert_unchanged(&[("settings", out)]);
}
