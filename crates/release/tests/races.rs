//! Randomised test of the crate's decisions against a store with conditional writes. Joins race with closing, ends,
//! cancellations, waivers and reopening. Three controllers work on stale reads, lose their state in crashes, miss answers of
//! the store, and have their commits delayed.

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
const PAGE_BYTES: usize = 120;

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

fn release_key() -> Key {
    release_ref(Stage::Render, None).key().expect("a key")
}

fn release_ref(stage: Stage, expects: Option<u64>) -> ReleaseRef {
    ReleaseRef { title: TITLE.into(), night: Some(NIGHT.into()), stage, expects }
}

/// A transaction: its writes are applied if all keys have these store versions.
#[derive(Clone, Debug)]
struct Commit {
    conditions: Vec<(String, u64)>,
    writes: Vec<(String, Option<Value>)>,
}

#[derive(Default)]
struct Store {
    /// The store version of the last commit.
    revision: u64,
    /// Values with their store versions, by key.
    rows: BTreeMap<String, (Value, u64)>,
    /// Commits in flight.
    delayed: Vec<Commit>,
}

impl Store {
    fn store_version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.1)
    }
    fn apply(&mut self, commit: &Commit) -> bool {
        if commit.conditions.iter().any(|(key, store_version)| self.store_version(key) != *store_version) {
            return false;
        }
        self.revision += 1;
        for (key, value) in &commit.writes {
            match value {
                Some(value) => self.rows.insert(key.clone(), (value.clone(), self.revision)),
                None => self.rows.remove(key),
            };
        }
        true
    }
    fn release_record(&self) -> (CachedRecord, u64) {
        match self.rows.get(&release_key().head_key()) {
            None => (CachedRecord::Absent, 0),
            Some((value, store_version)) => (
                CoordinationRecord::read(value).map_or_else(CachedRecord::Unreadable, CachedRecord::Present),
                *store_version,
            ),
        }
    }
    fn member_state(&self, id: &str) -> MemberState {
        match self.rows.get(&format!("{FINAL_RECORD_PREFIX}{id}")) {
            Some((record, _)) if record["end"] == "done" => MemberState::Done,
            Some(_) => MemberState::Cancelled,
            None => MemberState::Live,
        }
    }
    /// All accepted rebuilds and renders, according to the jobs' own records.
    fn accepted_members(&self) -> Vec<(String, ReleaseRef)> {
        let member = |(key, (record, _)): (&String, &(Value, u64))| {
            let id = key.strip_prefix(LIVE_JOB_PREFIX).or_else(|| key.strip_prefix(FINAL_RECORD_PREFIX))?;
            let release_ref = ReleaseRef::parse(&record["release"]).expect("written by this test");
            (release_ref.stage != Stage::Rotation).then(|| (id.to_owned(), release_ref))
        };
        self.rows.iter().filter_map(member).collect()
    }
}

/// Reads a job's record for the census.
fn read_job(_: &str, record: &Value) -> Option<JobMemberships> {
    let state = match record["end"].as_str() {
        None => CensusJobState::Live,
        Some("done") => CensusJobState::Done,
        Some(_) => CensusJobState::Cancelled,
    };
    Some(JobMemberships { joined: vec![(release_key().head_key(), record["release"].clone())], state })
}

/// The state of one controller, which a crash loses.
struct Controller {
    /// The release's record as it was last read, and its store version.
    record: CachedRecord,
    store_version: u64,
    census: Option<Census>,
    members: Option<Vec<Member>>,
}

impl Controller {
    fn new() -> Controller {
        Controller { record: CachedRecord::NotRead, store_version: 0, census: None, members: None }
    }
    fn read(&mut self, store: &Store) {
        let (record, store_version) = store.release_record();
        if store_version != self.store_version || self.record == CachedRecord::NotRead {
            *self = Controller { record, store_version, census: None, members: None };
        }
    }
}

/// What happens to a commit.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// It is applied, and its sender gets the answer.
    Answered,
    /// It is applied, but its sender gets no answer.
    NoAnswer,
    /// It stays in flight.
    Delayed,
}

/// One step of the test. The first number is a controller's index, unless noted.
#[derive(Clone, Debug)]
enum Op {
    Read(usize),
    /// This job is submitted; the flag says whether the controller reads the record first.
    Join(usize, u8, bool),
    /// This job ends; the flag says whether it is cancelled.
    End(u8, bool),
    Step(usize),
    Close(usize),
    /// An operator waives this job; 9 stands for [`MISSING`].
    Waive(usize, u8),
    Reopen(usize),
    /// The delayed commit of this index (modulo their number) is applied.
    ApplyDelayed(usize),
    Crash(usize),
    /// This many minutes pass.
    Minutes(u64),
}

struct World {
    store: Store,
    controllers: Vec<Controller>,
    calendars: Calendars,
    now: u64,
    started: bool,
    /// Jobs that were rejected.
    rejected: BTreeSet<String>,
}

impl World {
    fn new() -> World {
        World {
            store: Store::default(),
            controllers: (0..3).map(|_| Controller::new()).collect(),
            calendars: calendars(),
            now: BEGINS + MINUTE,
            started: false,
            rejected: BTreeSet::new(),
        }
    }

    /// Sends a commit; true if the controller gets the answer that it was applied.
    fn send(&mut self, controller: usize, commit: Commit, delivery: Delivery) -> bool {
        match delivery {
            Delivery::Answered => {
                let applied = self.store.apply(&commit);
                self.controllers[controller].read(&self.store);
                applied
            }
            Delivery::NoAnswer => {
                self.store.apply(&commit);
                false
            }
            Delivery::Delayed => {
                self.store.delayed.push(commit);
                false
            }
        }
    }

    /// Writes the head of the release's record, on condition that it is unchanged since the controller read it.
    fn write_head(&mut self, controller: usize, record: &CoordinationRecord, delivery: Delivery) -> bool {
        let key = release_key().head_key();
        if let CachedRecord::Present(old) = &self.controllers[controller].record {
            old.check_transition(record).expect("an allowed transition");
        }
        let commit = Commit {
            conditions: vec![(key.clone(), self.controllers[controller].store_version)],
            writes: vec![(key, Some(record.to_value()))],
        };
        self.send(controller, commit, delivery)
    }

    /// A controller handles the submission of a job: job 0 is a rebuild that declares three renders, the others are renders.
    fn join(&mut self, controller: usize, job: u8, delivery: Delivery) {
        let id = format!("wk-{job}");
        let stage = if job == 0 { Stage::Rebuild } else { Stage::Render };
        let release_ref = release_ref(stage, (job == 0).then_some(3));
        match decide_join(
            &self.controllers[controller].record,
            &self.calendars,
            &release_ref,
            "any",
            self.now,
        ) {
            ReleaseJoin::Join => {
                let conditions = vec![
                    (release_key().head_key(), self.controllers[controller].store_version),
                    (format!("{LIVE_JOB_PREFIX}{id}"), 0),
                    (format!("{FINAL_RECORD_PREFIX}{id}"), 0),
                ];
                let writes = vec![(
                    format!("{LIVE_JOB_PREFIX}{id}"),
                    Some(json!({"release": release_ref.to_value()})),
                )];
                self.send(controller, Commit { conditions, writes }, delivery);
            }
            ReleaseJoin::OpenFirst(record) => {
                self.write_head(controller, &record, delivery);
            }
            ReleaseJoin::Refused(refusal) => {
                assert!(matches!(refusal, Refusal::Closed { .. } | Refusal::Over { .. }), "{refusal}");
                self.rejected.insert(id);
            }
            ReleaseJoin::Retry(_) => {}
        }
    }

    /// A controller takes the next step towards the rotation: closing, census, reading the pages, or the start.
    fn step(&mut self, controller: usize, delivery: Delivery) {
        let CachedRecord::Present(record) = self.controllers[controller].record.clone() else { return };
        let body = Release::read(&record).expect("readable");
        match record.phase {
            Phase::Open => {
                let live: Vec<Member> = self
                    .store
                    .accepted_members()
                    .into_iter()
                    .filter_map(|(id, member)| {
                        let counts = self.store.member_state(&id) != MemberState::Cancelled;
                        counts.then_some(Member { id, stage: member.stage, expects: member.expects })
                    })
                    .collect();
                if let Some(by) = body.close_reason(&live, self.now) {
                    let next = release_record::begin_closing(&record, by).expect("it is open");
                    self.write_head(controller, &next, delivery);
                }
            }
            Phase::Closing => self.advance_census(controller, &record, delivery),
            Phase::Closed => {
                if self.controllers[controller].members.is_none() {
                    let pages: Vec<Value> = (0..record.pages)
                        .filter_map(|index| {
                            self.store
                                .rows
                                .get(&release_key().page_key(record.version, index))
                                .map(|row| row.0.clone())
                        })
                        .collect();
                    if pages.len() == record.pages {
                        self.controllers[controller].members =
                            Some(release_record::read_member_pages(&pages).expect("readable"));
                    }
                    return;
                }
                let this = &self.controllers[controller];
                match assess(&this.record, this.members.as_deref(), |id| self.store.member_state(id)) {
                    Readiness::MayStart => self.started = true,
                    Readiness::Ready(next) => {
                        self.write_head(controller, &next, delivery);
                    }
                    Readiness::Held { causes } => assert!(!causes.is_empty()),
                }
            }
        }
    }

    /// One step of a controller's census. After the last one it writes the pages and the closed head.
    fn advance_census(&mut self, controller: usize, record: &CoordinationRecord, delivery: Delivery) {
        let census = self.controllers[controller]
            .census
            .get_or_insert_with(|| Census::begin([release_key().head_key()].into()));
        match census.next_step() {
            CensusStep::ReadPage { prefix, after } => {
                let rows = self.store.rows.range(after..).filter(|(key, _)| key.starts_with(prefix));
                let mut rows: Vec<(String, Value)> =
                    rows.map(|(key, row)| (key.clone(), row.0.clone())).collect();
                if let CensusStep::ReadPage { after, .. } = census.next_step() {
                    rows.retain(|(key, _)| *key > after);
                }
                let has_more = rows.len() > 2;
                census.apply_page(rows.into_iter().take(2), has_more, read_job);
            }
            CensusStep::Complete => {
                let found = census.members(&release_key().head_key()).expect("all readable");
                let (pages, head) =
                    release_record::finish_closing(&release_key(), record, &found, PAGE_BYTES)
                        .expect("closing");
                let store_version = self.controllers[controller].store_version;
                for (key, page) in pages {
                    let commit = Commit {
                        conditions: vec![(release_key().head_key(), store_version)],
                        writes: vec![(key, Some(page))],
                    };
                    // The head depends on its pages, so it is written only after all of them are known to be stored.
                    if !self.store.rows.contains_key(&commit.writes[0].0)
                        && !self.send(controller, commit, delivery)
                    {
                        return;
                    }
                }
                self.write_head(controller, &head, delivery);
            }
        }
    }

    /// A controller carries out an operator's change, if it is allowed.
    fn apply_operator_change(
        &mut self,
        controller: usize,
        change: impl Fn(&CoordinationRecord, &[Member]) -> Result<CoordinationRecord, release_record::ChangeError>,
        delivery: Delivery,
    ) {
        let CachedRecord::Present(record) = self.controllers[controller].record.clone() else { return };
        let known = self.controllers[controller].members.clone().unwrap_or_default();
        if let Ok(next) = change(&record, &known) {
            self.write_head(controller, &next, delivery);
        }
    }

    /// Ends a job: replaces its live record by a final one.
    fn end(&mut self, job: u8, is_cancelled: bool) {
        let live_key = format!("{LIVE_JOB_PREFIX}wk-{job}");
        if let Some((mut record, _)) = self.store.rows.get(&live_key).cloned() {
            record["end"] = if is_cancelled { "cancelled" } else { "done" }.into();
            let writes = vec![(live_key, None), (format!("{FINAL_RECORD_PREFIX}wk-{job}"), Some(record))];
            self.store.apply(&Commit { conditions: vec![], writes });
        }
    }

    fn run(&mut self, op: &Op, delivery: Delivery) {
        match *op {
            Op::Read(controller) => self.controllers[controller].read(&self.store),
            Op::Join(controller, job, reads_first) => {
                if reads_first {
                    self.controllers[controller].read(&self.store);
                }
                self.join(controller, job, delivery);
            }
            Op::End(job, is_cancelled) => self.end(job, is_cancelled),
            Op::Step(controller) => self.step(controller, delivery),
            Op::Close(controller) => {
                self.apply_operator_change(controller, |r, _| release_record::close(r), delivery)
            }
            Op::Waive(controller, job) => {
                let job = if job == 9 { MISSING.to_owned() } else { format!("wk-{job}") };
                self.apply_operator_change(
                    controller,
                    |record, known| release_record::waive(record, known, &job, "not needed"),
                    delivery,
                );
            }
            Op::Reopen(controller) => {
                self.apply_operator_change(controller, |record, _| release_record::reopen(record), delivery)
            }
            Op::ApplyDelayed(number) => {
                if !self.store.delayed.is_empty() {
                    let index = number % self.store.delayed.len();
                    let commit = self.store.delayed.swap_remove(index);
                    self.store.apply(&commit);
                }
            }
            Op::Crash(controller) => self.controllers[controller] = Controller::new(),
            Op::Minutes(minutes) => self.now += minutes * MINUTE,
        }
        self.check_invariants();
    }

    /// Once the rotation has started, every accepted member is done or waived according to its record, and no declared render
    /// is missing without a waiver.
    fn check_invariants(&self) {
        if !self.started {
            return;
        }
        let (record, _) = self.store.release_record();
        let CachedRecord::Present(record) = record else { panic!("started without a record") };
        let body = Release::read(&record).expect("readable");
        assert!(record.phase == Phase::Closed && body.rotated, "started before it was closed: {record:?}");
        let members = self.store.accepted_members();
        for (id, _) in &members {
            let may_start = self.store.member_state(id) == MemberState::Done || body.waived.contains_key(id);
            assert!(may_start, "the rotation did not wait for {id}, which was accepted");
        }
        // A waived render may have been cancelled after the start, so it counts.
        let is_active = |id: &String| self.store.member_state(id) != MemberState::Cancelled;
        let counts = |id: &String| is_active(id) || body.waived.contains_key(id);
        let renders =
            members.iter().filter(|(id, member)| member.stage == Stage::Render && counts(id)).count() as u64;
        let declared = members
            .iter()
            .filter(|(id, _)| is_active(id))
            .filter_map(|(_, member)| member.expects)
            .sum::<u64>();
        let missing = renders == 0 || declared > renders;
        assert!(!missing || body.waived.contains_key(MISSING), "{renders} of {declared} renders");
    }

    /// After all failures one controller completes the release; an operator waives cancelled members and missing renders.
    fn settle(&mut self) {
        self.controllers[0] = Controller::new();
        for job in 0..8 {
            self.end(job, false);
        }
        self.now += 24 * 60 * MINUTE;
        for _ in 0..60 {
            self.run(&Op::Read(0), Delivery::Answered);
            self.run(&Op::Step(0), Delivery::Answered);
            if let CachedRecord::Present(record) = &self.controllers[0].record
                && Release::read(record).is_ok_and(|body| body.by_hand && record.phase == Phase::Open)
            {
                self.run(&Op::Close(0), Delivery::Answered);
            }
            let this = &self.controllers[0];
            if let (Some(members), Readiness::Held { causes }) = (
                &this.members,
                assess(&this.record, this.members.as_deref(), |id| self.store.member_state(id)),
            ) {
                let known = members.clone();
                let job = causes.iter().find_map(|cause| cause.job()).unwrap_or(MISSING).to_owned();
                self.apply_operator_change(
                    0,
                    |record, _| release_record::waive(record, &known, &job, "not needed"),
                    Delivery::Answered,
                );
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let controller = 0usize..3;
    prop_oneof![
        3 => controller.clone().prop_map(Op::Read),
        5 => (controller.clone(), 0u8..8, any::<bool>()).prop_map(|(controller, job, reads_first)| Op::Join(controller, job, reads_first)),
        3 => (0u8..8, prop::bool::weighted(0.15)).prop_map(|(job, is_cancelled)| Op::End(job, is_cancelled)),
        10 => controller.clone().prop_map(Op::Step),
        1 => controller.clone().prop_map(Op::Close),
        1 => (controller.clone(), 0u8..10).prop_map(|(controller, job)| Op::Waive(controller, job)),
        1 => controller.clone().prop_map(Op::Reopen),
        2 => (0usize..8).prop_map(Op::ApplyDelayed),
        1 => controller.prop_map(Op::Crash),
        1 => (1u64..40).prop_map(Op::Minutes),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![6 => Just(Delivery::Answered), 1 => Just(Delivery::NoAnswer), 2 => Just(Delivery::Delayed)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3000))]
    #[test]
    fn rotation_waits_for_all_accepted_members_and_always_starts(
        ops in prop::collection::vec((op(), delivery()), 20..160)
    ) {
        let mut world = World::new();
        for (op, delivery) in &ops {
            world.run(op, *delivery);
        }
        let opened = !matches!(world.store.release_record().0, CachedRecord::Absent);
        world.settle();
        prop_assert!(world.started || !opened, "held for ever: {:?}", world.store.release_record());
        // Delayed commits that are applied after the start must not break the invariants.
        while !world.store.delayed.is_empty() {
            world.run(&Op::ApplyDelayed(0), Delivery::Answered);
        }
    }
}

#[test]
fn random_runs_reach_every_outcome() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let (mut rejected, mut started, mut reopened, mut cancelled) = (0, 0, 0, 0);
    for _ in 0..400 {
        let ops = prop::collection::vec((op(), delivery()), 80..160)
            .new_tree(&mut runner)
            .expect("a tree")
            .current();
        let mut world = World::new();
        for (op, delivery) in &ops {
            world.run(op, *delivery);
        }
        rejected += usize::from(!world.rejected.is_empty());
        started += usize::from(world.started);
        reopened += usize::from(
            matches!(world.store.release_record().0, CachedRecord::Present(record) if record.version > 1),
        );
        cancelled += usize::from(
            world
                .store
                .accepted_members()
                .iter()
                .any(|(id, _)| world.store.member_state(id) == MemberState::Cancelled),
        );
    }
    assert!(
        rejected > 20 && started > 20 && reopened > 5 && cancelled > 20,
        "{rejected} {started} {reopened} {cancelled}"
    );
}
