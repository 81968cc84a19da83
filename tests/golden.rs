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

type Forms = Vec<(String, Value)>;

fn fixtures(section: &str) -> Map<String, Value> {
    let all: Value = serde_json::from_str(include_str!("fixtures/current-form.json")).expect("JSON");
    all[section].as_object().cloned().unwrap_or_default()
}

/// Compares what the code writes with sections of the fixtures, byte for byte.
fn same(sections: &[(&str, Forms)]) {
    if std::env::var_os("GOLDEN_WRITE").is_some_and(|v| v == "1") {
        for (section, forms) in sections {
            forms.iter().for_each(|(name, value)| println!("\ngolden\t{section}\t{name}\t{value}"));
        }
    }
    sections.iter().for_each(|(section, forms)| same_section(section, forms));
}

fn same_section(section: &str, now: &Forms) {
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

fn room(n: i64) -> Resources {
    Resources { cpus: 1000 * n, gpus: n, memory: 2500 * n }
}

fn key(index: u32) -> TaskKey {
    TaskKey { job: "wk-000412".into(), index, attempt: (7 << 24) + 2 }
}

fn handed_machine() -> MachineHandoff {
    let task = TaskHandoff {
        key: key(3),
        resources: Some(room(2)),
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

fn vouched() -> Vec<ReplicatedItem> {
    let start = ReplicatedItem::Start { key: key(4), machine: "i-000231".into(), zone: "buda-a".into() };
    vec![ReplicatedItem::Job("wk-000412".into()), start]
}

fn batch() -> HandoffBatch {
    let start = StartHandoff {
        index: 3,
        attempt: (7 << 24) + 2,
        machine: "i-000231".into(),
        zone: "buda-a".into(),
        stopping: true,
        phase: Some(TaskPhase::InDoubt),
    };
    let testimony = ReplicatedStarts {
        former_member: 2,
        last_epoch: 6,
        members: vec![0, 1, 2],
        last_contact_epoch: 5,
        last_contact_members: vec![1, 2],
        adopted_since: 4,
        items: vouched(),
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
        machines: vec![handed_machine()],
        replicated_starts: vec![testimony],
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
        resources_per_task: room(2),
        tasks: vec![task],
    };
    LendingReport { jobs: vec![job], shortfalls: vec![("chat".into(), room(4), Micros(21_000_000))] }
}

/// One frame of each kind of message that `first-form.json` doesn't contain.
fn frames() -> Vec<(&'static str, Frame)> {
    let id = || "wk-000412".to_owned();
    let ask = |request| Message::ForwardRequest { id: 9, request };
    let vouch =
        Message::ReplicateStarts { revision: 5, base_revision: 4, added: vouched(), removed: vouched() };
    [
        ("needed", Message::InheritedPriorities(vec![(id(), 2), ("wk-1".into(), 1)])),
        ("hand_over", Message::Handoff { number: 4, batch: batch() }),
        ("taken", Message::HandoffAck(vec![4, 5])),
        ("vouch", vouch),
        ("noted", Message::ReplicationAck(5)),
        ("lending", Message::Lending(lending())),
        ("why", ask(UserRequest::Why(id()))),
        ("permit", ask(UserRequest::Permit(id(), "117440514/3".into()))),
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
fn frames_are_written_and_read_to_the_byte() {
    let written = |f: &Frame| Value::from(hex(&f.encode().expect("encoded")));
    let forms = frames().iter().map(|(name, f)| ((*name).to_owned(), written(f))).collect();
    same(&[("frames", forms)]);
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

fn end_of(record: &Value, f: JobOutcome) -> Value {
    let (raw, spec, accepted, done) = JobShard::read_record(record).expect("a record");
    let id = spec.id.clone();
    let mut owner = JobShard::new(&settings());
    owner.insert_job(raw, spec, accepted, done, 1, true);
    owner.jobs.get_mut(&id).expect("live").pending_outcome = Some(f);
    match owner.next_write(Micros(1), true) {
        Some((_, RecordWrite::End(_, end), _)) => end,
        _ => panic!("no end"),
    }
}

fn job_forms() -> Forms {
    let mut out = Forms::new();
    for (name, raw) in descriptions() {
        let spec = JobSpec::from_value(&raw).expect("valid");
        let record = JobShard::build_new_record(&raw, &spec, ACCEPTED);
        for (end, f) in [("done", JobOutcome::Done), ("cancelled", JobOutcome::Cancelled)] {
            out.push((format!("job/{name}/{end}"), end_of(&record, f)));
        }
        out.push((format!("job/{name}"), record));
    }
    let done = TaskIndexSet::decode("0-3,7", 16).expect("ranges");
    let progress = JobShard::build_record(&body("wk-000412"), ACCEPTED, &done.encode(1000));
    out.push(("job/progress/cancelled".into(), end_of(&progress, JobOutcome::Cancelled)));
    out.push(("job/progress".into(), progress));
    out
}

#[test]
fn records_of_jobs_are_written_and_read_to_the_byte() {
    same(&[("jobs", job_forms())]);
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
            assert_eq!(end_of(stored, f).to_string(), ended.to_string(), "{name} {end}");
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
fn team_after(record: &Value, needs: &[QuotaNeed]) -> Value {
    let s = settings();
    let mut teams = QuotaLedger::new(&s.teams);
    teams.apply_record("vision", Some((record, 5)));
    let mine = |job: &str| needs.iter().any(|n| n.job == job);
    let value_bytes = s.value_bytes;
    let input = AllocationInput {
        team: "vision",
        needs,
        is_led_locally: &mine,
        can_release: &|_| false,
        value_bytes,
    };
    let write = teams.next_write(Micros(60_000_000), &input);
    write.expect("a change").value
}

/// Claims of two and three parts, and one of six parts that waits for free resources.
fn team() -> Value {
    let before = json!({"wk-000001": [9000, 0], "wk-000002": [9000, 2, 1_789_999_999]});
    team_after(&before, &[need("wk-000003", 5000, ACCEPTED), need("wk-000004", 15_000, ACCEPTED)])
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
fn release_forms() -> Forms {
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

fn batch_forms() -> Forms {
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

fn record_forms() -> Forms {
    let rows: Vec<_> = machines().into_iter().map(|(n, r)| (n.to_owned(), r)).collect();
    let (pages, lost) = split_into_pages([json!(["a", 1]), json!(["b"])], 50);
    assert_eq!(lost, 0);
    let mut out: Forms = vec![
        ("epoch".into(), serde_json::to_value(epoch()).expect("plain")),
        ("machines".into(), page_of(&rows)),
        ("team".into(), team()),
        ("ledger".into(), CoordinationRecord::open(1, ledger().body()).to_value()),
        ("pact/pages".into(), pages.into()),
    ];
    for (kind, name) in [(Kind::Release, "release"), (Kind::Batch, "batch"), (Kind::Loan, "loan")] {
        let key = Key::new(kind, "n").expect("a name");
        out.push((format!("pact/keys/{name}"), json!([kind.prefix(), key.head_key(), key.page_key(3, 12)])));
    }
    out.extend(release_forms());
    out.extend(batch_forms());
    out
}

#[test]
fn other_records_are_written_to_the_byte() {
    same(&[("records", record_forms())]);
}

#[test]
fn other_records_are_read_and_written_again_alike() {
    let golden = fixtures("records");
    let again = |name: &str, value: Value| assert_eq!(value.to_string(), golden[name].to_string(), "{name}");
    let read: EpochRecord = serde_json::from_value(golden["epoch"].clone()).expect("an epoch");
    assert_eq!(read, epoch());
    again("epoch", serde_json::to_value(read).expect("plain"));

    let rows = machine_registry::read_page(&golden["machines"]).expect("a page");
    assert_eq!(rows, machines().map(|(n, r)| (n.to_owned(), r)));
    again("machines", page_of(&rows));

    // The claim of another job leader is added to the existing ones.
    let mut beside = team_after(&golden["team"], &[need("wk-000005", 100, ACCEPTED)]);
    assert!(beside.as_object_mut().expect("claims").remove("wk-000005").is_some());
    again("team", beside);

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
fn releases_and_batches_are_read_and_written_again_alike() {
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

fn told(r: &Reply) -> Value {
    json!([r.status, r.body, r.retry_after])
}

/// A state store that executes every transaction at once.
#[derive(Default)]
struct Service {
    rows: BTreeMap<String, (Value, u64)>,
    revision: u64,
    /// The first value that was written under each key.
    first: BTreeMap<String, Value>,
    /// The latest value of each key, including keys that have been deleted.
    last: BTreeMap<String, Value>,
}

impl Service {
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
struct Play {
    node: Controller,
    service: Service,
    now: Micros,
    out: Vec<Effect>,
    answers: Vec<(u64, Reply)>,
    ticket: u64,
}

impl Play {
    fn start(settings: Settings, service: Service) -> Play {
        let node = Controller::new(settings, 11);
        let now = Micros(1_000_000);
        let mut play = Play { node, service, now, out: Vec::new(), answers: Vec::new(), ticket: 0 };
        play.rounds(200);
        assert!(play.node.membership.is_leader(play.now), "it acts");
        play
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

    fn round(&mut self) {
        let wall = self.wall();
        for effect in std::mem::take(&mut self.out) {
            let event = match effect {
                Effect::Reply { ticket, reply } => {
                    self.answers.push((ticket, reply));
                    continue;
                }
                Effect::Store { id, request, .. } => {
                    Event::Store { id, answer: self.service.answer(request) }
                }
                Effect::Cloud(request) => {
                    let answer = Play::cloud(&request);
                    Event::Cloud { request, answer }
                }
                _ => continue,
            };
            self.node.step(self.now, wall, event, &mut self.out);
        }
        self.now = self.now + Micros(100_000);
        self.node.reconcile(self.now, self.wall(), &mut self.out);
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn begin(&mut self, event: impl FnOnce(u64) -> Event) -> u64 {
        self.ticket += 1;
        let wall = self.wall();
        self.node.step(self.now, wall, event(self.ticket), &mut self.out);
        self.ticket
    }

    fn answered(&mut self, ticket: u64) -> Option<Reply> {
        let at = self.answers.iter().position(|(t, _)| *t == ticket)?;
        Some(self.answers.remove(at).1)
    }

    fn ask(&mut self, event: impl FnOnce(u64) -> Event) -> Reply {
        let ticket = self.begin(event);
        let answer = (0..100).find_map(|_| {
            self.round();
            self.answered(ticket)
        });
        answer.expect("an answer within ten seconds")
    }

    /// The HTTP response to a user: status, body and retry delay.
    fn user(&mut self, request: UserRequest) -> Value {
        let r = self.ask(|ticket| Event::User { ticket, request });
        told(&r)
    }

    fn submit(&mut self, raw: &Value) -> Value {
        let id = raw["uid"].as_str().expect("an id").to_owned();
        self.user(UserRequest::Submit(id, raw.to_string()))
    }

    fn query(&mut self, id: &str) -> Value {
        self.user(UserRequest::Query(id.into()))
    }

    fn withdraw(&mut self, id: &str) -> Value {
        self.user(UserRequest::Cancel(id.into()))
    }
}

/// A worker that executes its commands and reports when its tasks are done.
#[derive(Default)]
struct Worker {
    token: u64,
    seq: u64,
    tasks: Vec<HeartbeatTask>,
    /// The first response body with each set of commands.
    told: Forms,
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

    fn end(&mut self, why: &str) {
        for t in &mut self.tasks {
            (t.state, t.cause, t.saved) = ("ended".into(), Some(why.into()), Some(why == "stopped"));
        }
    }

    fn obey(&mut self, command: &Value) {
        let task = command["stride"].as_str().expect("a task").to_owned();
        match command["call"].as_str().expect("a command") {
            "run" => self.tasks.push(HeartbeatTask {
                task,
                attempt: command["mount"].as_u64().expect("an attempt"),
                state: "running".into(),
                cause: None,
                saved: None,
            }),
            "kill" => self.end("stopped"),
            _ => self.tasks.retain(|t| t.task != task),
        }
    }

    /// Sends heartbeats until a response contains commands, or at most the given number of times.
    fn heartbeats(&mut self, play: &mut Play, most: usize) {
        for _ in 0..most {
            let report = self.report();
            let reply = play.ask(|ticket| Event::Heartbeat { ticket, heartbeat: report });
            play.rounds(10);
            if reply.status != 200 {
                continue;
            }
            let body: Value = serde_json::from_str(&reply.body).expect("JSON");
            self.token = body["rein"].as_u64().expect("a token");
            let calls = body["calls"].as_array().expect("commands").clone();
            let names: Vec<&str> = calls.iter().filter_map(|c| c["call"].as_str()).collect();
            let name = if names.is_empty() { "nothing".to_owned() } else { names.join("+") };
            if !self.told.iter().any(|(n, _)| *n == name) {
                self.told.push((name, reply.body.clone().into()));
            }
            calls.iter().for_each(|c| self.obey(c));
        }
    }
}

fn small(id: &str) -> Value {
    json!({"uid":id,"breed":"b","herd":"vision","gait":"batch","rank":"idle","strides":1,"vcpus":1.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":false,"scatter":false,"borrowed":false,"rideS":100,
        "restS":2.5,"unsaddleS":1})
}

/// Runs a job to its end, and a dependent job that is cancelled while it runs, and records all responses meanwhile.
fn story() -> (Play, Worker, Forms) {
    let mut play = Play::start(settings(), Service::default());
    let mut worker = Worker::default();
    worker.heartbeats(&mut play, 4);
    let mut told_all = Forms::new();
    let mut note = |name: &str, reply: Value| told_all.push((name.to_owned(), reply));
    note("query of no job", play.query("wk-000009"));
    note("withdraw of no job", play.withdraw("wk-000009"));
    note("submit", play.submit(&small("wk-000001")));
    note("submit again", play.submit(&small("wk-000001")));
    let mut wrong = small("wk-000003");
    wrong["strides"] = json!(0);
    note("submit of a wrong field", play.submit(&wrong));
    let mut never = small("wk-000003");
    never["vcpus"] = json!(9.0);
    note("submit of what fits nowhere", play.submit(&never));
    let mut after = small("wk-000002");
    after["follows"] = json!(["wk-000001"]);
    note("submit of one that follows", play.submit(&after));
    worker.heartbeats(&mut play, 4);
    note("query while it runs", play.query("wk-000001"));
    note("query while it waits", play.query("wk-000002"));
    worker.end("done");
    worker.heartbeats(&mut play, 8);
    note("query when done", play.query("wk-000001"));
    note("withdraw when done", play.withdraw("wk-000001"));
    note("submit when done", play.submit(&small("wk-000001")));
    let withdrawn =
        play.begin(|ticket| Event::User { ticket, request: UserRequest::Cancel("wk-000002".into()) });
    worker.heartbeats(&mut play, 8);
    let reply = play.answered(withdrawn).expect("an answer");
    note("withdraw while it runs", told(&reply));
    note("query when withdrawn", play.query("wk-000002"));
    (play, worker, told_all)
}

#[test]
fn users_and_workers_are_told_the_same_to_the_byte() {
    let (play, worker, told) = story();
    let (first, last) = (play.service.first, play.service.last);
    same(&[
        ("answers", told),
        ("heartbeats", worker.told),
        ("stored first", first.into_iter().collect()),
        ("stored last", last.into_iter().collect()),
    ]);
}

/// A controller that starts from the stored values of the fixtures loads all of them and writes them again unchanged.
#[test]
fn a_controller_that_starts_from_the_stored_values_knows_them() {
    let mut service = Service { revision: 1, ..Service::default() };
    let ended = |key: &str| key == "job/wk-000001" || key == "job/wk-000002";
    for (key, value) in fixtures("stored last").into_iter().filter(|(k, _)| !ended(k)) {
        service.rows.insert(key, (value, 1));
    }
    let mut play = Play::start(settings(), service);
    let golden = fixtures("answers");
    assert_eq!(play.query("wk-000001"), golden["query when done"]);
    assert_eq!(play.query("wk-000002"), golden["query when withdrawn"]);
    let stored = fixtures("stored last");
    for key in ["ring/m/c0", "ring/m/*", "mach/c0/0"] {
        assert_eq!(play.service.rows[key].0.to_string(), stored[key].to_string(), "{key}");
    }
}

#[test]
fn refusals_of_reports_are_the_same_to_the_byte() {
    let mut play = Play::start(settings(), Service::default());
    let mut worker = Worker::default();
    worker.heartbeats(&mut play, 2);
    worker.seq -= 1;
    let (late, mut newer) = (worker.report(), worker.report());
    newer.token += 1;
    let late = play.ask(|ticket| Event::Heartbeat { ticket, heartbeat: late });
    let newer = play.ask(|ticket| Event::Heartbeat { ticket, heartbeat: newer });
    let forms = vec![("late".into(), told(&late)), ("newer epoch".into(), told(&newer))];
    same(&[("refusals", forms)]);
}

fn keys(v: &Value) -> Value {
    v.as_object().expect("an object").keys().cloned().collect::<Vec<_>>().into()
}

#[test]
fn the_status_has_the_same_keys() {
    let mut on = settings();
    let text = "[logs]\nstores = 10.3.0.1:7103\n[loans]\nborrowers = chat\n";
    on.operators = Operators::parse("f.ini", text).expect("valid");
    let mut out = Forms::new();
    for (name, settings) in [("plain", settings()), ("loans and logs", on)] {
        let mut play = Play::start(settings, Service::default());
        let body = play.ask(Event::Status).body;
        let status: Value = serde_json::from_str(&body).expect("JSON");
        out.push((name.into(), keys(&status)));
        for (key, part) in status.as_object().expect("an object").iter().filter(|(_, v)| v.is_object()) {
            out.push((format!("{name}/{key}"), keys(part)));
        }
    }
    same(&[("status", out)]);
}

// Settings.

const PLAIN: &str = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c1\"\n\
    addr = \"10.0.0.2:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[[settings.teams]]\n\
    name = \"t\"\ncpus = 1.0\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
    gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 50.0\nvalue_kb = 4.0\n\
    txn_ops = 8\n[settings.state.next]\nvalue_kb = 2.0\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";

/// Changes of the platform's file, each of which makes it invalid.
const WRONG: [(&str, &str, &str); 12] = [
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
const REFUSED: [(&str, &str); 13] = [
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
fn checked(folder: &Path, config: Option<&str>, operators: Option<&str>) -> Value {
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
fn settings_that_are_wrong_are_refused_in_the_same_words() {
    let folder = std::env::temp_dir().join(format!("hazelsaddle-golden-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let mut out: Forms = vec![
        ("valid".into(), checked(&folder, Some(PLAIN), Some(""))),
        ("platform: no file".into(), checked(&folder, None, Some(""))),
        ("operators: no file".into(), checked(&folder, Some(PLAIN), None)),
    ];
    for (name, from, to) in WRONG {
        assert!(PLAIN.contains(from), "{name}");
        let text = PLAIN.replacen(from, to, 1);
        out.push((format!("platform: {name}"), checked(&folder, Some(&text), Some(""))));
    }
    for (name, text) in REFUSED {
        out.push((format!("operators: {name}"), checked(&folder, Some(PLAIN), Some(text))));
    }
    std::fs::remove_dir_all(&folder).expect("removed");
    same(&[("settings", out)]);
}
