//! What users are told.

use super::super::handoff::tests::{at, node};
use super::*;

/// The owner may not know that its end is on record, as its write had no answer or is late, and says that the job runs.
#[test]
fn who_peeks_at_a_record_tells_live_jobs_and_no_end() {
    let mut n = node();
    let mut told = |value: Option<Value>| {
        let mut out = Vec::new();
        let got =
            StoreAnswer::Got(value.map(|value| KeyValue { key: String::new(), value, store_version: 9 }));
        n.answer_poll_from_record(at(2000), "wk-1", Caller::Ticket(5), &got, &mut out);
        match &out[..] {
            [Effect::Reply { ticket: 5, reply: r }] => (r.status, r.body.contains("\"stance\":\"pending\"")),
            other => panic!("{other:?}"),
        }
    };
    let raw = json!({
        "uid": "wk-1",
        "breed": "b",
        "herd": "t",
        "gait": "batch",
        "rank": "idle",
        "strides": 2,
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
    });
    assert_eq!(told(Some(JobShard::build_record(&raw, Micros(1), ""))), (200, true));
    assert_eq!(told(None).0, 503, "its end may be on record");
    assert_eq!(told(Some(json!({"end": "done", "done": 2}))).0, 503);
}

/// c0 with its records read and the machine types known, while nobody acts in an older epoch; and a job that it owns, or not.
fn owner(owns: bool) -> (Controller, String) {
    let mut n = node();
    n.membership.renew_store_lease(NOW);
    n.job_shard.finish_loading(std::iter::empty());
    n.record_loading.stage = LoadStage::Done;
    let kind = json!({
        "sku": "k",
        "vcpus": 8,
        "cards": 0,
        "ramGb": 64,
        "cacheGb": 10,
        "fetchGbPerS": 1,
        "rate": 1.0,
        "lowPrice": 0.5,
        "startupS": 5,
        "paddocks": ["z"],
    });
    let types = [serde_json::from_value(kind).expect("a machine type")];
    n.autoscaler.machine_types =
        types.into_iter().map(|t: crate::spec::MachineType| (t.name.clone(), t)).collect();
    let team = crate::config::settings::TeamSettings {
        name: "t".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    n.settings.teams.push(team);
    let ids = (0..).map(|i| format!("wk-{i:06}"));
    let id = ids.into_iter().find(|id| (n.membership.job_leader(id) == Some(0)) == owns).expect("a job");
    assert_eq!(n.answers_for(NOW, &id), owns);
    (n, id)
}

const NOW: Micros = Micros::from_millis(60_000);

fn body(id: &str) -> Value {
    json!({
        "uid": id,
        "breed": "b",
        "herd": "t",
        "gait": "batch",
        "rank": "idle",
        "strides": 2,
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
    })
}

fn live(id: &str, store_version: u64) -> StoreAnswer {
    let value = JobShard::build_record(&body(id), Micros(1), "");
    StoreAnswer::Got(Some(KeyValue { key: format!("job/{id}"), value, store_version }))
}

/// What an event brings about: answers to users as (ticket, status, stance), and requests to the state service.
#[derive(Debug, Default)]
struct Told {
    answers: Vec<(u64, u16, String)>,
    reads: Vec<(u64, String)>,
    commits: Vec<(u64, Vec<String>)>,
}

impl Told {
    fn by(n: &mut Controller, event: Event) -> Told {
        let mut out = Vec::new();
        n.step(NOW, Micros(1), event, &mut out);
        let mut told = Told::default();
        for e in out {
            match e {
                Effect::Reply { ticket: t, reply: r } => {
                    let body: Value = serde_json::from_str(&r.body).unwrap_or_default();
                    told.answers.push((t, r.status, body["stance"].as_str().unwrap_or("").to_owned()));
                }
                Effect::Store { id, request: StoreRequest::Get(key), .. } => told.reads.push((id, key)),
                Effect::Store { id, request: StoreRequest::Transaction(c), .. } => {
                    told.commits.push((id, c.puts.into_iter().map(|p| p.0).collect()));
                }
                _ => {}
            }
        }
        told
    }

    fn asked(n: &mut Controller, ticket: u64, r: UserRequest) -> Told {
        Told::by(n, Event::User { ticket, request: r })
    }

    fn one(self) -> (u64, u16, String) {
        assert_eq!(self.answers.len(), 1, "{self:?}");
        self.answers.into_iter().next().expect("an answer")
    }
}

fn submit(id: &str) -> UserRequest {
    UserRequest::Submit(id.into(), body(id).to_string())
}

fn query(id: &str) -> UserRequest {
    UserRequest::Query(id.into())
}

/// Between the reading and the second question another controller may have accepted the job and said so.
#[test]
fn a_question_is_answered_by_a_reading_that_began_after_it() {
    let (mut n, id) = owner(true);
    let first = Told::asked(&mut n, 1, query(&id));
    let (number, _) = first.reads[0];
    let joined = Told::asked(&mut n, 2, query(&id));
    assert!(
        joined.answers.is_empty() && joined.reads.is_empty(),
        "one reading of a job at a time: {joined:?}"
    );
    let end = Told::by(&mut n, Event::Store { id: number, answer: StoreAnswer::Got(None) });
    let end = Told::by(&mut n, Event::Store { id: end.reads[0].0, answer: StoreAnswer::Got(None) });
    assert_eq!(end.answers, [(1, 404, String::new())]);
    let again = Told::by(&mut n, Event::Store { id: end.reads[0].0, answer: live(&id, 9) });
    assert_eq!(again.one(), (2, 200, "pending".into()));
}

/// Its answer may be that of a reading in an epoch that has passed.
#[test]
fn the_answer_to_an_earlier_reading_is_nobodys() {
    let (mut n, id) = owner(true);
    let (old, _) = Told::asked(&mut n, 1, query(&id)).reads.remove(0);
    n.user_requests.lookups.clear();
    let (new, _) = Told::asked(&mut n, 2, query(&id)).reads.remove(0);
    let told = Told::by(&mut n, Event::Store { id: old, answer: StoreAnswer::Got(None) });
    assert!(told.answers.is_empty() && told.reads.is_empty(), "{told:?}");
    assert_eq!(Told::by(&mut n, Event::Store { id: new, answer: live(&id, 9) }).one().1, 200);
}

/// The record can be read, and the job be cancelled, before the answer to the write that accepted it is here.
#[test]
fn an_acceptance_that_is_answered_after_the_end_brings_nothing_back() {
    let (mut n, id) = owner(true);
    let (read, _) = Told::asked(&mut n, 1, query(&id)).reads.remove(0);
    let (accept, _) = Told::asked(&mut n, 2, submit(&id)).commits.remove(0);
    assert_eq!(
        Told::by(&mut n, Event::Store { id: read, answer: live(&id, 9) }).one(),
        (1, 200, "pending".into())
    );
    // The epoch stands, so nobody else can have started it.
    n.job_shard.confirm_epoch(NOW + Micros(1));
    assert!(Told::asked(&mut n, 3, UserRequest::Cancel(id.clone())).answers.is_empty());
    let (_, end, store_version) = n.job_shard.next_write(NOW, true).expect("its end is due");
    let mut out = Vec::new();
    n.write_job(id.clone(), end, store_version, &mut out);
    let Some(Effect::Store { id: write, .. }) = out.first() else { panic!("{out:?}") };
    assert_eq!(
        Told::by(&mut n, Event::Store { id: *write, answer: StoreAnswer::Committed(10) }).one(),
        (3, 200, "aborted".into())
    );
    assert_eq!(
        Told::by(&mut n, Event::Store { id: accept, answer: StoreAnswer::Committed(9) }).one(),
        (2, 200, "aborted".into())
    );
    assert_eq!(Told::asked(&mut n, 4, query(&id)).one(), (4, 200, "aborted".into()));
}

/// While the answer to a stand-in's write is on its way, the owner may have read the record and told the job's end.
#[test]
fn who_repeats_a_submission_is_not_told_by_a_write_that_went_out_before() {
    let (mut n, id) = owner(false);
    let mut out = Vec::new();
    assert!(n.accept_unseen(NOW, Caller::Ticket(1), &id, &body(&id).to_string(), &mut out));
    let Some(Effect::Store { id: accept, request: StoreRequest::Transaction(_), .. }) = out.pop() else {
        panic!("{out:?}")
    };
    assert!(n.accept_unseen(NOW, Caller::Ticket(2), &id, &body(&id).to_string(), &mut out) && out.is_empty());
    let told = Told::by(&mut n, Event::Store { id: accept, answer: StoreAnswer::Committed(9) });
    assert_eq!(told.answers, [(1, 201, "pending".into())]);
    let (peek, key) = &told.reads[0];
    assert_eq!(*key, format!("job/{id}"));
    assert_eq!(
        Told::by(&mut n, Event::Store { id: *peek, answer: StoreAnswer::Got(None) }).one().1,
        503,
        "it has ended"
    );
}

#[test]
fn a_repeat_that_lacks_a_field_is_turned_down_only_if_there_is_no_record() {
    let odd = |id: &str| UserRequest::Submit(id.into(), json!({"uid": id, "breed": "b"}).to_string());
    let (mut n, id) = owner(true);
    let (read, _) = Told::asked(&mut n, 1, odd(&id)).reads.remove(0);
    assert_eq!(
        Told::by(&mut n, Event::Store { id: read, answer: live(&id, 9) }).one(),
        (1, 200, "pending".into())
    );
    let (mut n, id) = owner(true);
    let (read, _) = Told::asked(&mut n, 1, odd(&id)).reads.remove(0);
    let (end, _) =
        Told::by(&mut n, Event::Store { id: read, answer: StoreAnswer::Got(None) }).reads.remove(0);
    assert_eq!(Told::by(&mut n, Event::Store { id: end, answer: StoreAnswer::Got(None) }).one().1, 400);
}

/// What this one has read of a job in an earlier epoch says nothing in this one: another owner may have ended it.
#[test]
fn what_was_read_in_an_earlier_epoch_brings_nothing_back() {
    let (mut n, id) = owner(true);
    let mut out = Vec::new();
    n.ask_store(
        PendingStoreRequest::VerifyJob { job: id.clone(), epoch: 6 },
        StoreRequest::Get(format!("job/{id}")),
        &mut out,
    );
    let Some(Effect::Store { id: old, .. }) = out.first() else { panic!("{out:?}") };
    Told::by(&mut n, Event::Store { id: *old, answer: live(&id, 9) });
    assert!(!n.job_shard.jobs.contains_key(&id));
    // Nor does an acceptance that was sent in it.
    let spec = JobSpec::from_value(&body(&id)).expect("valid");
    let job = NewJob { id: id.clone(), spec, description: body(&id) };
    n.accept(NOW, Caller::Ticket(1), job, &mut out);
    n.job_shard.loaded = false;
    n.apply_acceptance(NOW, id.clone(), 6, StoreAnswer::Committed(9), &mut out);
    assert!(!n.job_shard.jobs.contains_key(&id));
}
