//! Validation of submissions, and jobs that can never run: by PROTOCOL, "POST /v1/jobs".

use hazelsaddle::config::settings::Settings;
use hazelsaddle::job_shard::JobShard;
use hazelsaddle::peer::Reply;
use hazelsaddle::server::http_api::{self, Dispatch};
use hazelsaddle::spec::{JobSpec, MachineType, MachineTypes};
use hazelsaddle::units::{Micros, Resources, TaskIndexSet};
use hazelsaddle::wire::users::submission::SubmissionError;
use serde_json::{Value, json};

fn body() -> Value {
    json!({"uid":"wk-000412","breed":"train","herd":"vision","gait":"group","rank":"high","strides":4,
        "vcpus":8.0,"cards":1.0,"ramGb":64.0,"tack":"img-07","imageGb":6.2,"breedsOfStall":["g8"],
        "paddock":"a","together":true,"scatter":false,"borrowed":true,"rideS":240.0,"restS":30.0,
        "unsaddleS":4.0,"dueS":900.0})
}

fn body_with(changes: &[(&str, Value)]) -> Value {
    let mut b = body();
    for (key, v) in changes {
        b[*key] = v.clone();
    }
    b
}

/// The status with which a submission is refused, if it is: by the API edge, or, where it names a job that may have
/// been accepted with another body, by the job's leader once the state store has no record of it.
fn submit_status(text: &str) -> Option<u16> {
    let read = |limit| http_api::read_body(text.as_bytes().to_vec(), limit);
    match http_api::dispatch(1, "POST", "/v1/jobs", read) {
        Dispatch::Reply(Reply { status, .. }) => Some(status),
        Dispatch::Event(_) => JobSpec::parse(text).err().map(|e| e.status()),
    }
}

/// The field table: only fields that may be null may be omitted, and both mean the same.
#[test]
fn only_nullable_fields_may_be_omitted() {
    let nullable = ["breedsOfStall", "paddock", "dueS"];
    for key in body().as_object().expect("an object").keys() {
        let mut without = body();
        without.as_object_mut().expect("an object").remove(key);
        let null = body_with(&[(key, Value::Null)]);
        let is_nullable = nullable.contains(&key.as_str());
        for b in [&without, &null] {
            assert_eq!(submit_status(&b.to_string()), (!is_nullable).then_some(400), "{key}");
        }
        if is_nullable {
            assert_eq!(JobSpec::from_value(&without), JobSpec::from_value(&null), "{key}");
        }
    }
    assert_eq!(submit_status(&body_with(&[("unheardOf", json!({"of": [1]}))]).to_string()), None, "ignored");
}

#[test]
fn a_wrong_type_or_value_is_malformed() {
    let texts = ["uid", "breed", "herd", "gait", "rank", "tack", "paddock"];
    let amounts = ["vcpus", "cards", "ramGb", "imageGb", "rideS", "restS", "unsaddleS", "dueS"];
    let flags = ["together", "scatter", "borrowed"];
    let mut wrong: Vec<(&str, Value)> = Vec::new();
    for key in texts {
        wrong.extend([json!(7), json!(true), json!([]), json!({}), json!("")].map(|v| (key, v)));
    }
    for key in amounts {
        wrong.extend([json!("4.0"), json!(true), json!([4.0]), json!(-0.5), json!(1e300)].map(|v| (key, v)));
    }
    for key in flags {
        wrong.extend([json!(0), json!(1), json!("true"), json!({})].map(|v| (key, v)));
    }
    wrong.extend([json!(0), json!(-1), json!(1.5), json!("4"), json!(100_001)].map(|v| ("strides", v)));
    wrong
        .extend([json!("g8"), json!([]), json!([7]), json!([null]), json!({})].map(|v| ("breedsOfStall", v)));
    wrong.extend([json!("wk-"), json!("wk-x"), json!("vk-000412"), json!("wk-000412 ")].map(|v| ("uid", v)));
    wrong.extend([("rank", json!("urgent")), ("rank", json!("High")), ("gait", json!("gang"))]);
    for (key, v) in wrong {
        let text = body_with(&[(key, v.clone())]).to_string();
        assert_eq!(submit_status(&text), Some(400), "{key}: {v}");
        assert!(
            matches!(JobSpec::parse(&text), Err(SubmissionError::Field { field, .. }) if field == key),
            "{key}: {v}"
        );
    }
    // Neither is JSON: numbers in requests are finite.
    for text in ["NaN", "Infinity", "1e999"] {
        let text = body().to_string().replace("\"vcpus\":8.0", &format!("\"vcpus\":{text}"));
        assert_eq!(submit_status(&text), Some(400), "{text}");
    }
    assert_eq!(submit_status(&body_with(&[("strides", json!(100_000))]).to_string()), None);
}

fn types() -> MachineTypes {
    let t = |name: &str, cpus: f64, gpus: f64, zones: &[&str]| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 768.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: zones.iter().map(|z| z.to_string()).collect(),
    };
    let all = [
        t("g8", 96.0, 8.0, &["a"]),
        t("c16", 16.0, 0.0, &["a", "b"]),
        t("c4", 4.0, 0.0, &["b"]),
        t("old", 512.0, 8.0, &[]),
    ];
    all.into_iter().map(|t| (t.name.clone(), t)).collect()
}

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings]\n[[settings.teams]]\nname = \"vision\"\ncpus_max = 60.0\ngpus_max = 5.0\n\
        [settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n\
        [settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n\
        [settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn is_impossible(changes: &[(&str, Value)]) -> bool {
    let spec = JobSpec::from_value(&body_with(changes)).expect("well-formed");
    spec.check(&types(), &settings().teams).is_err()
}

#[test]
fn a_job_that_fits_no_machine_type_zone_or_limit_is_impossible() {
    assert!(!is_impossible(&[]));
    for changes in [
        &[("herd", json!("nobody"))][..],
        &[("paddock", json!("c"))],
        // The type exists, but not in this zone.
        &[("paddock", json!("b"))],
        &[("breedsOfStall", json!(["g9"]))],
        // The type is listed, but offered in no zone.
        &[("breedsOfStall", json!(["old"])), ("paddock", Value::Null)],
        // The zone has types that are large enough, but none that is allowed.
        &[("breedsOfStall", json!(["c4"])), ("paddock", json!("b")), ("cards", json!(0))],
        &[("vcpus", json!(96.1))],
        // No type has both.
        &[("breedsOfStall", json!(["c16"])), ("cards", json!(1))],
        &[("ramGb", json!(768.001))],
        // All tasks of a gang or a service, and one of an array, must be within the limit.
        &[("strides", json!(6))],
        &[("gait", json!("service")), ("strides", json!(6))],
        &[("gait", json!("batch")), ("cards", json!(6))],
        &[("strides", json!(1)), ("vcpus", json!(60.5))],
    ] {
        assert!(is_impossible(changes), "{changes:?}");
    }
    assert!(!is_impossible(&[("strides", json!(5))]), "just the limit");
    assert!(!is_impossible(&[("gait", json!("batch")), ("strides", json!(100_000))]));
    assert!(!is_impossible(&[("breedsOfStall", json!(["g9", "g8"]))]), "one of those allowed is enough");
}

/// At most half of the tasks, rounded up, run in one zone, and all of a gang at the same time.
#[test]
fn a_scattered_gang_with_only_one_zone_is_impossible() {
    let is_impossible_scattered = |more: &[(&str, Value)]| {
        let base = [("scatter", json!(true)), ("together", json!(false)), ("paddock", Value::Null)];
        let base = base.into_iter().chain([("breedsOfStall", json!(["c16"])), ("cards", json!(0))]);
        let all: Vec<(&str, Value)> = base.chain(more.iter().cloned()).collect();
        is_impossible(&all)
    };
    assert!(!is_impossible_scattered(&[]), "two zones have the type");
    assert!(is_impossible_scattered(&[("together", json!(true))]));
    assert!(is_impossible_scattered(&[("paddock", json!("a"))]));
    assert!(is_impossible_scattered(&[("breedsOfStall", json!(["g8"]))]), "one zone has the type");
    assert!(is_impossible_scattered(&[
        ("vcpus", json!(15)),
        ("cards", json!(1)),
        ("breedsOfStall", Value::Null)
    ]));
    assert!(
        !is_impossible_scattered(&[("strides", json!(1)), ("paddock", json!("a"))]),
        "one of one may be there"
    );
    // Tasks of an array need not run at the same time, and replicas can run in part.
    for gait in ["batch", "service"] {
        assert!(!is_impossible_scattered(&[("gait", json!(gait)), ("paddock", json!("a"))]), "{gait}");
    }
}

/// Valid but unusual submissions: tasks that need no resources, estimates of centuries.
#[test]
fn unusual_amounts_cause_no_overflow() {
    let resources = Resources { cpus: i64::MAX / 4, gpus: i64::MAX / 4, memory: i64::MAX / 4 };
    let fits = resources.max_count_of(Resources::default());
    assert!(fits >= 100_000 && fits.checked_mul(100_000).is_some(), "{fits}");
    let mut leader = JobShard::new(&settings());
    for (n, tasks) in [(1, 100_000), (2, 100_000), (3, 7)] {
        let raw = body_with(&[
            ("uid", json!(format!("wk-{n}"))),
            ("gait", json!("batch")),
            ("strides", json!(tasks)),
            ("rideS", json!(1e9)),
            ("dueS", json!(1e9)),
            ("vcpus", json!(0)),
            ("cards", json!(0)),
            ("ramGb", json!(0)),
        ]);
        let spec = JobSpec::from_value(&raw).expect("well-formed");
        leader.insert_job(raw, spec, Micros(n), TaskIndexSet::default(), 1, true);
    }
    assert_eq!(leader.queue_order().len(), 3);
}
