//! Random races against a conditional store, with the package's own decisions: joins race closing, ends, cancels, waivers and
//! reopening; three controllers hold old readings, forget all in a crash, get no answers, and their commits come late.

use hazelsaddle_coordination::census::{
    Census, CensusJobState, CensusStep, FINAL_RECORD_PREFIX, JobMemberships, LIVE_JOB_PREFIX,
};
use hazelsaddle_coordination::record::{CoordinationRecord, Key, Phase};
use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_release::calendar::{Calendar, Calendars, Stage};
use hazelsaddle_release::join::{Refusal, ReleaseJoin, decide_join};
use hazelsaddle_release::readiness::{MemberState, Readiness, assess};
use hazelsaddle_release::release_record::{self, MISSING, Member, Release};
use hazelsaddle_release::release_ref::ReleaseRef;
use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

const TITLE: &str = "boldog";
const NIGHT: &str = "2026-12-01";
/// 20:00 UTC of that day; renders are due at 22:00.
const BEGINS: u64 = 1_796_155_200_000_000;
const MINUTE: u64 = 60_000_000;
const PAGE: usize = 120;

fn calendars() -> Calendars {
    let pairs = [
        ("title", "*"),
        ("zone", "UTC"),
        ("night_begins", "20:00"),
        ("renders_due", "22:00"),
        ("rotation_due", "23:00"),
    ];
    Calendars(vec![Calendar::parse("nightly", pairs).expect("valid")])
}

fn key() -> Key {
    says(Stage::Render, None).key().expect("a key")
}

fn says(stage: Stage, expects: Option<u64>) -> ReleaseRef {
    ReleaseRef { title: TITLE.into(), night: Some(NIGHT.into()), stage, expects }
}

#[derive(Clone, Debug)]
struct Commit {
    conditions: Vec<(String, u64)>,
    writes: Vec<(String, Option<Value>)>,
}

#[derive(Default)]
struct Store {
    ledger: u64,
    rows: BTreeMap<String, (Value, u64)>,
    late: Vec<Commit>,
}

impl Store {
    fn store_version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |r| r.1)
    }
    fn apply(&mut self, c: &Commit) -> bool {
        if c.conditions.iter().any(|(k, store_version)| self.store_version(k) != *store_version) {
            return false;
        }
        self.ledger += 1;
        for (k, v) in &c.writes {
            match v {
                Some(v) => self.rows.insert(k.clone(), (v.clone(), self.ledger)),
                None => self.rows.remove(k),
            };
        }
        true
    }
    fn held(&self) -> (CachedRecord, u64) {
        match self.rows.get(&key().head_key()) {
            None => (CachedRecord::Absent, 0),
            Some((v, store_version)) => (
                CoordinationRecord::read(v).map_or_else(CachedRecord::Unreadable, CachedRecord::Present),
                *store_version,
            ),
        }
    }
    fn fact(&self, id: &str) -> MemberState {
        match self.rows.get(&format!("{FINAL_RECORD_PREFIX}{id}")) {
            Some((v, _)) if v["end"] == "done" => MemberState::Done,
            Some(_) => MemberState::Cancelled,
            None => MemberState::Live,
        }
    }
    /// Every rebuild and render that was accepted, as its own record says.
    fn accepted(&self) -> Vec<(String, ReleaseRef)> {
        let of = |(k, (v, _)): (&String, &(Value, u64))| {
            let id = k.strip_prefix(LIVE_JOB_PREFIX).or_else(|| k.strip_prefix(FINAL_RECORD_PREFIX))?;
            let says = ReleaseRef::parse(&v["says"]).expect("written by us");
            (says.stage != Stage::Rotation).then(|| (id.to_owned(), says))
        };
        self.rows.iter().filter_map(of).collect()
    }
}

fn read(_: &str, v: &Value) -> Option<JobMemberships> {
    let state = match v["end"].as_str() {
        None => CensusJobState::Live,
        Some("done") => CensusJobState::Done,
        Some(_) => CensusJobState::Cancelled,
    };
    Some(JobMemberships { joined: vec![(key().head_key(), v["says"].clone())], state })
}

/// What one controller holds; all of it is gone in a crash.
struct Controller {
    held: CachedRecord,
    store_version: u64,
    census: Option<Census>,
    members: Option<Vec<Member>>,
}

impl Controller {
    fn new() -> Controller {
        Controller { held: CachedRecord::NotRead, store_version: 0, census: None, members: None }
    }
    fn read(&mut self, store: &Store) {
        let (held, store_version) = store.held();
        if store_version != self.store_version || self.held == CachedRecord::NotRead {
            *self = Controller { held, store_version, census: None, members: None };
        }
    }
}

/// How a commit fares.
#[derive(Clone, Copy, Debug)]
enum Way {
    Answered,
    NoAnswer,
    Late,
}

#[derive(Clone, Debug)]
enum Op {
    Read(usize),
    Join(usize, u8, bool),
    End(u8, bool),
    Step(usize),
    Close(usize),
    Waive(usize, u8),
    Reopen(usize),
    Late(usize),
    Crash(usize),
    Minutes(u64),
}

struct World {
    store: Store,
    controllers: Vec<Controller>,
    calendars: Calendars,
    now: u64,
    started: bool,
    refused: BTreeSet<String>,
}

impl World {
    fn new() -> World {
        World {
            store: Store::default(),
            controllers: (0..3).map(|_| Controller::new()).collect(),
            calendars: calendars(),
            now: BEGINS + MINUTE,
            started: false,
            refused: BTreeSet::new(),
        }
    }

    fn send(&mut self, c: usize, commit: Commit, way: Way) -> bool {
        match way {
            Way::Answered => {
                let done = self.store.apply(&commit);
                self.controllers[c].read(&self.store);
                done
            }
            Way::NoAnswer => {
                self.store.apply(&commit);
                false
            }
            Way::Late => {
                self.store.late.push(commit);
                false
            }
        }
    }

    fn head(&mut self, c: usize, record: &CoordinationRecord, way: Way) -> bool {
        let key = key().head_key();
        if let CachedRecord::Present(old) = &self.controllers[c].held {
            old.check_transition(record).expect("no decision goes back");
        }
        let commit = Commit {
            conditions: vec![(key.clone(), self.controllers[c].store_version)],
            writes: vec![(key, Some(record.to_value()))],
        };
        self.send(c, commit, way)
    }

    fn join(&mut self, c: usize, job: u8, way: Way) {
        let id = format!("wk-{job}");
        let stage = if job == 0 { Stage::Rebuild } else { Stage::Render };
        let says = says(stage, (job == 0).then_some(3));
        match decide_join(&self.controllers[c].held, &self.calendars, &says, "any", self.now) {
            ReleaseJoin::Join => {
                let conditions = vec![
                    (key().head_key(), self.controllers[c].store_version),
                    (format!("{LIVE_JOB_PREFIX}{id}"), 0),
                    (format!("{FINAL_RECORD_PREFIX}{id}"), 0),
                ];
                let writes = vec![(format!("{LIVE_JOB_PREFIX}{id}"), Some(json!({"says": says.to_value()})))];
                self.send(c, Commit { conditions, writes }, way);
            }
            ReleaseJoin::OpenFirst(record) => {
                self.head(c, &record, way);
            }
            ReleaseJoin::Refused(why) => {
                assert!(matches!(why, Refusal::Closed { .. } | Refusal::Over { .. }), "{why}");
                self.refused.insert(id);
            }
            ReleaseJoin::Retry(_) => {}
        }
    }

    /// What a controller does by itself, one step.
    fn step(&mut self, c: usize, way: Way) {
        let CachedRecord::Present(record) = self.controllers[c].held.clone() else { return };
        let body = Release::read(&record).expect("readable");
        match record.phase {
            Phase::Open => {
                let live: Vec<Member> = self
                    .store
                    .accepted()
                    .into_iter()
                    .filter_map(|(id, s)| {
                        let counts = self.store.fact(&id) != MemberState::Cancelled;
                        counts.then_some(Member { id, stage: s.stage, expects: s.expects })
                    })
                    .collect();
                if let Some(by) = body.close_reason(&live, self.now) {
                    let next = release_record::begin_closing(&record, by).expect("it is open");
                    self.head(c, &next, way);
                }
            }
            Phase::Closing => self.count(c, &record, way),
            Phase::Closed => {
                if self.controllers[c].members.is_none() {
                    let pages: Vec<Value> = (0..record.pages)
                        .filter_map(|n| {
                            self.store.rows.get(&key().page_key(record.version, n)).map(|r| r.0.clone())
                        })
                        .collect();
                    if pages.len() == record.pages {
                        self.controllers[c].members =
                            Some(release_record::read_member_pages(&pages).expect("readable"));
                    }
                    return;
                }
                let me = &self.controllers[c];
                match assess(&me.held, me.members.as_deref(), |id| self.store.fact(id)) {
                    Readiness::MayStart => self.started = true,
                    Readiness::Ready(next) => {
                        self.head(c, &next, way);
                    }
                    Readiness::Held { why } => assert!(!why.is_empty()),
                }
            }
        }
    }

    fn count(&mut self, c: usize, record: &CoordinationRecord, way: Way) {
        let census =
            self.controllers[c].census.get_or_insert_with(|| Census::begin([key().head_key()].into()));
        match census.next_step() {
            CensusStep::ReadPage { prefix, after } => {
                let rows = self.store.rows.range(after..).filter(|(k, _)| k.starts_with(prefix));
                let mut rows: Vec<(String, Value)> = rows.map(|(k, r)| (k.clone(), r.0.clone())).collect();
                if let CensusStep::ReadPage { after, .. } = census.next_step() {
                    rows.retain(|(k, _)| *k > after);
                }
                let more = rows.len() > 2;
                census.apply_page(rows.into_iter().take(2), more, read);
            }
            CensusStep::Complete => {
                let found = census.members(&key().head_key()).expect("all readable");
                let (pages, head) =
                    release_record::finish_closing(&key(), record, &found, PAGE).expect("closing");
                let store_version = self.controllers[c].store_version;
                for (k, v) in pages {
                    let commit = Commit {
                        conditions: vec![(key().head_key(), store_version)],
                        writes: vec![(k, Some(v))],
                    };
                    // The head counts on its pages: it is written once each is known to be there.
                    if !self.store.rows.contains_key(&commit.writes[0].0) && !self.send(c, commit, way) {
                        return;
                    }
                }
                self.head(c, &head, way);
            }
        }
    }

    fn operator(
        &mut self,
        c: usize,
        change: impl Fn(&CoordinationRecord, &[Member]) -> Result<CoordinationRecord, release_record::ChangeError>,
        way: Way,
    ) {
        let CachedRecord::Present(record) = self.controllers[c].held.clone() else { return };
        let known = self.controllers[c].members.clone().unwrap_or_default();
        if let Ok(next) = change(&record, &known) {
            self.head(c, &next, way);
        }
    }

    fn end(&mut self, job: u8, cancel: bool) {
        let live = format!("{LIVE_JOB_PREFIX}wk-{job}");
        if let Some((mut v, _)) = self.store.rows.get(&live).cloned() {
            v["end"] = if cancel { "cancelled" } else { "done" }.into();
            let writes = vec![(live, None), (format!("{FINAL_RECORD_PREFIX}wk-{job}"), Some(v))];
            self.store.apply(&Commit { conditions: vec![], writes });
        }
    }

    fn play(&mut self, op: &Op, way: Way) {
        match *op {
            Op::Read(c) => self.controllers[c].read(&self.store),
            Op::Join(c, job, fresh) => {
                if fresh {
                    self.controllers[c].read(&self.store);
                }
                self.join(c, job, way);
            }
            Op::End(job, cancel) => self.end(job, cancel),
            Op::Step(c) => self.step(c, way),
            Op::Close(c) => self.operator(c, |r, _| release_record::close(r), way),
            Op::Waive(c, job) => {
                let job = if job == 9 { MISSING.to_owned() } else { format!("wk-{job}") };
                self.operator(c, |r, known| release_record::waive(r, known, &job, "we do without"), way);
            }
            Op::Reopen(c) => self.operator(c, |r, _| release_record::reopen(r), way),
            Op::Late(n) => {
                if !self.store.late.is_empty() {
                    let n = n % self.store.late.len();
                    let commit = self.store.late.swap_remove(n);
                    self.store.apply(&commit);
                }
            }
            Op::Crash(c) => self.controllers[c] = Controller::new(),
            Op::Minutes(n) => self.now += n * MINUTE,
        }
        self.rules();
    }

    /// Once the rotation has started: all that was ever accepted is done on record, or waived there; and no declared render is
    /// missing that nobody said to do without.
    fn rules(&self) {
        if !self.started {
            return;
        }
        let (held, _) = self.store.held();
        let CachedRecord::Present(record) = held else { panic!("started without a record") };
        let body = Release::read(&record).expect("readable");
        assert!(record.phase == Phase::Closed && body.rotated, "started before it was closed: {record:?}");
        let all = self.store.accepted();
        for (id, _) in &all {
            let good = self.store.fact(id) == MemberState::Done || body.waived.contains_key(id);
            assert!(good, "{id} was accepted and not waited for");
        }
        // What is waived may have been cancelled only after the start.
        let stands = |id: &String| self.store.fact(id) != MemberState::Cancelled;
        let there = |id: &String| stands(id) || body.waived.contains_key(id);
        let renders = all.iter().filter(|(id, s)| s.stage == Stage::Render && there(id)).count() as u64;
        let declared = all.iter().filter(|(id, _)| stands(id)).filter_map(|(_, s)| s.expects).sum::<u64>();
        let missing = renders == 0 || declared > renders;
        assert!(!missing || body.waived.contains_key(MISSING), "{renders} of {declared} renders");
    }

    /// Troubles are over: one controller does all that is left, operators waive what was cancelled or never came.
    fn settle(&mut self) {
        self.controllers[0] = Controller::new();
        for job in 0..8 {
            self.end(job, false);
        }
        self.now += 24 * 60 * MINUTE;
        for _ in 0..60 {
            self.play(&Op::Read(0), Way::Answered);
            self.play(&Op::Step(0), Way::Answered);
            if let CachedRecord::Present(r) = &self.controllers[0].held
                && Release::read(r).is_ok_and(|b| b.by_hand && r.phase == Phase::Open)
            {
                self.play(&Op::Close(0), Way::Answered);
            }
            let me = &self.controllers[0];
            if let (Some(members), Readiness::Held { why }) =
                (&me.members, assess(&me.held, me.members.as_deref(), |id| self.store.fact(id)))
            {
                let known = members.clone();
                let job = why.iter().find_map(|c| c.job()).unwrap_or(MISSING).to_owned();
                self.operator(
                    0,
                    |r, _| release_record::waive(r, &known, &job, "we do without"),
                    Way::Answered,
                );
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let c = 0usize..3;
    prop_oneof![
        3 => c.clone().prop_map(Op::Read),
        5 => (c.clone(), 0u8..8, any::<bool>()).prop_map(|(c, j, f)| Op::Join(c, j, f)),
        3 => (0u8..8, prop::bool::weighted(0.15)).prop_map(|(j, x)| Op::End(j, x)),
        10 => c.clone().prop_map(Op::Step),
        1 => c.clone().prop_map(Op::Close),
        1 => (c.clone(), 0u8..10).prop_map(|(c, j)| Op::Waive(c, j)),
        1 => c.clone().prop_map(Op::Reopen),
        2 => (0usize..8).prop_map(Op::Late),
        1 => c.prop_map(Op::Crash),
        1 => (1u64..40).prop_map(Op::Minutes),
    ]
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![6 => Just(Way::Answered), 1 => Just(Way::NoAnswer), 2 => Just(Way::Late)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]
    #[test]
    fn a_rotation_waits_for_all_that_was_accepted_and_for_nothing_for_ever(
        ops in prop::collection::vec((op(), way()), 20..160)
    ) {
        let mut w = World::new();
        for (op, way) in &ops {
            w.play(op, *way);
        }
        let begun = !matches!(w.store.held().0, CachedRecord::Absent);
        w.settle();
        prop_assert!(w.started || !begun, "held for ever: {:?}", w.store.held());
        // Whatever comes late now changes nothing.
        while !w.store.late.is_empty() {
            w.play(&Op::Late(0), Way::Answered);
        }
    }
}

#[test]
fn the_races_reach_every_outcome() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let (mut refused, mut started, mut reopened, mut cancelled) = (0, 0, 0, 0);
    for _ in 0..400 {
        let ops =
            prop::collection::vec((op(), way()), 80..160).new_tree(&mut runner).expect("a tree").current();
        let mut w = World::new();
        for (op, way) in &ops {
            w.play(op, *way);
        }
        refused += usize::from(!w.refused.is_empty());
        started += usize::from(w.started);
        reopened += usize::from(matches!(w.store.held().0, CachedRecord::Present(r) if r.version > 1));
        cancelled +=
            usize::from(w.store.accepted().iter().any(|(id, _)| w.store.fact(id) == MemberState::Cancelled));
    }
    assert!(
        refused > 20 && started > 20 && reopened > 5 && cancelled > 20,
        "{refused} {started} {reopened} {cancelled}"
    );
}
