//! One controller: the slices put together. `step` takes an event and the time and gives back what
//! is to be done; it reads no clock and does no input or output, so that a simulated world can
//! drive the code that runs.

mod coordination;
mod dependencies;
mod fencing_probe;
mod flap_damping;
mod freshness;
mod gpu_lending;
mod handoff;
mod heartbeats;
mod membership;
mod operator_requests;
mod peer_traffic;
mod release;
mod start_replica;
mod state_store_io;
mod user_requests;

use self::coordination::{PendingRecordRequest, RecordSlice};
use self::dependencies::Dependencies;
use self::flap_damping::FlapDamping;
use self::freshness::{Freshness, PendingFreshnessRequest};
use self::gpu_lending::{Loans, PendingLoanRequest};
use self::handoff::Handoff;
pub use self::handoff::LEAVING;
use self::release::Releases;
use self::start_replica::StartReplica;
use crate::autoscaler::{Autoscaler, CloudAnswer, CloudRequest, FleetView};
use crate::config::settings::Settings;
use crate::job_shard::{JobOutcome, JobShard, RecordWrite};
use crate::machine_registry::{self, MachineRegistry, PageWrite};
use crate::machine_shard::{FencingProbe, Heartbeat, MachineShard, Verdict};
use crate::membership::step_down::{MisroutedHeartbeats, StepDown};
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredState, Frame, Message, Reply, UserRequest};
use crate::quota::{AllocationInput, AllocationWrite, QuotaLedger};
use crate::spec::{JobKind, JobSpec};
use crate::state_store::{KeyValue, RateLimiter, StoreAnswer, StoreRequest, Transaction};
use crate::units::{Micros, Ranges};
use hazelsaddle_coordination::record::{CoordinationRecord, Key};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where the epoch record is kept.
const EPOCH_KEY: &str = "ring/epoch";
/// Users' requests that wait for an answer of the store or a peer; more are turned away at once.
const WAITING_LIMIT: usize = 1000;
/// Requests of one purpose under way at the state service.
const IN_FLIGHT: usize = 12;
/// The same, from which on polls of jobs whose owner doesn't answer are not looked up.
const PEEKS: usize = 30;
/// A gap between two rounds from which on this process is taken to have stood still. Rounds are a
/// tenth of a second apart.
const PAUSE: Micros = Micros::from_millis(1000);
/// Waiting jobs, and jobs that each waits for, named in the status.
const SHOWN: usize = 20;
/// Workers tried in one probe.
const PROBED: usize = 3;

/// What happens to a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A worker's report; the answer goes to the ticket.
    Heartbeat(u64, Heartbeat),
    /// A user's request, its syntax checked.
    User(u64, UserRequest),
    /// An operator's request about releases or batches.
    Operator(u64, crate::server::operator_api::OpRequest),
    /// A health probe.
    Ready(u64),
    /// An operator asks how things stand.
    Status(u64),
    /// A peer's frame.
    Frame(Box<Frame>),
    /// An answer of the state service.
    Store(u64, StoreAnswer),
    /// An answer of the cloud.
    Cloud(CloudRequest, CloudAnswer),
    /// Whether one of the workers that were to be probed has answered.
    Probed(bool),
    /// What a worker answered that was asked directly.
    Greeted(Heartbeat),
    /// The process is to end: hand everything on and leave the ring.
    Leave,
    /// Only time has passed.
    Tick,
}

/// What a controller wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a ticket.
    Reply(u64, Reply),
    /// Send a frame to a peer.
    Send(usize, Frame),
    /// Ask the state service. `true`: on the line kept for the ring.
    Store(u64, StoreRequest, bool),
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// Find out whether a worker at one of these addresses answers.
    Probe(Vec<String>),
    /// Tell these workers the token, without any command, and bring back their reports.
    Greet(u64, Vec<FencingProbe>),
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Caller {
    Ticket(u64),
    Peer(usize, u64),
}

/// What a request to the state service was for.
#[derive(Clone, Debug)]
enum PendingStoreRequest {
    Grant,
    ReadOwn,
    Register,
    ReadEpoch(Micros),
    ReadMembers(Micros),
    Raise(EpochRecord),
    Renew(Micros),
    LoadJobs(u64),
    LoadMachines(u64),
    LoadTeams(u64),
    LoadUnwitnessed(u64),
    Unwitnessed(u64),
    Accept(String, u64),
    Record(String, RecordWrite),
    Verify(String, u64),
    VerifyEnd(String, u64),
    Lookup(String, u64),
    Peek(String, Caller),
    LookupEnd(String, u64),
    MachineRegistry(u64, PageWrite),
    ReadPage(u64, u32),
    Claim(AllocationWrite),
    ReadTeam(String),
    NoteForms(u64),
    Pact(PendingRecordRequest),
    Fresh(PendingFreshnessRequest),
    Revision,
    Watch,
    ReadEnd(String),
    Check(String, String),
    CheckEnd(String, String),
    Refuse(String, String),
    Loan(PendingLoanRequest),
}

/// What is read at the beginning of an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    Jobs,
    Machines,
    QuotaLedger,
    Unwitnessed,
    Done,
}

struct Accepting {
    origins: Vec<Caller>,
    /// Requests that came after it was sent to the store: by the time of the answer the job may have ended.
    late: Vec<Caller>,
    /// Whether it was sent to the store.
    sent: bool,
    spec: JobSpec,
    raw: Value,
    wall: Micros,
    /// Jobs that it follows and that are not yet known to have been accepted.
    unknown: BTreeSet<String>,
    /// When it came, by the steady clock.
    began: Micros,
    /// Readings that decide about it must have begun since.
    since: Micros,
    /// A record that is put on record together with it, and when that went out.
    with: Option<(Key, CoordinationRecord, Micros)>,
}

/// A reading of a job's record that is under way.
struct Lookup {
    /// Tells its answer from those of earlier readings, also of an earlier epoch.
    number: u64,
    /// Requests that came before it began.
    waiting: Vec<(Caller, UserRequest)>,
    /// Requests that came since. What is being read may be older than what their users were told before they asked, so they
    /// wait for the next reading.
    next: Vec<(Caller, UserRequest)>,
}

/// A request passed to a peer.
struct ForwardedRequest {
    /// Who waits for the answer, if anybody does.
    ticket: Option<u64>,
    at: Micros,
    request: UserRequest,
}

/// One controller.
pub struct Controller {
    settings: Settings,
    boot: u64,
    /// What it knows of the ring.
    pub membership: Membership,
    /// Its work as an owner.
    pub job_shard: JobShard,
    /// Its work as a home.
    pub machine_shard: MachineShard,
    /// The teams' records.
    pub quota: QuotaLedger,
    /// Its work as the decider.
    pub autoscaler: Autoscaler,
    machine_registry: MachineRegistry,
    next_prune: Micros,
    // Ring loop.
    lease: Option<u64>,
    registered: bool,
    seen: Option<(EpochRecord, u64, Micros)>,
    ring_busy: bool,
    next_ring: Micros,
    step_down: StepDown,
    flap_damping: FlapDamping,
    /// Other controllers whose store leases lived when last read.
    alive: Vec<usize>,
    /// Per controller: machines of its that turned up here and were sent on to it.
    strays: Vec<MisroutedHeartbeats>,
    /// When the last round ended; a gap means that the process stood still.
    last_round: Micros,
    // Loading.
    load: Load,
    load_after: String,
    load_busy: bool,
    load_retry: Micros,
    machines_on_record: Vec<String>,
    // State service.
    next_id: u64,
    in_flight: BTreeMap<u64, PendingStoreRequest>,
    requests: RateLimiter,
    writes: RateLimiter,
    store_pause: Micros,
    next_team_plan: Micros,
    // Users.
    accepting: BTreeMap<String, Accepting>,
    dependencies: Dependencies,
    coordination: RecordSlice,
    freshness: Freshness,
    releases: Releases,
    handoff: Handoff,
    /// The version of its own key, if it was read since that was last written, and what was last written there without an
    /// answer.
    own_key_version: Option<u64>,
    own_sent: Option<Value>,
    loans: Loans,
    start_replica: StartReplica,
    lookups: BTreeMap<String, Lookup>,
    withdrawing: BTreeMap<String, Vec<Caller>>,
    forwarded: BTreeMap<u64, ForwardedRequest>,
    /// Jobs accepted in place of an owner that did not answer, and when it is next told.
    standing_in: BTreeMap<String, Micros>,
    // Peers.
    clocks: Vec<(u64, Micros)>,
    /// Per controller: when it was last told our state, up to which change of our machines, which
    /// of those it says it holds, and whether it waits to hear which of its we hold.
    sent: Vec<Micros>,
    sent_seq: Vec<u64>,
    acked: Vec<u64>,
    owe_ack: Vec<bool>,
    sent_demands: Micros,
    next_plan: Micros,
    next_greeting: Micros,
    wall: Micros,
    was_acting: bool,
    /// Reports whose answer waits a little, by machine, and the order in which they came.
    held: BTreeMap<String, u64>,
    held_order: VecDeque<(Micros, String, u64)>,
    /// Machines whose report is held because an owner of their tasks is out of reach.
    unreached: BTreeSet<String>,
}

impl Controller {
    /// A controller that has just started; `boot` is a random number.
    pub fn new(settings: Settings, boot: u64) -> Controller {
        let n = settings.members.len();
        Controller {
            boot,
            membership: Membership::new(&settings, boot),
            job_shard: JobShard::new(&settings),
            machine_shard: MachineShard::new(&settings),
            quota: QuotaLedger::new(&settings.teams),
            autoscaler: Autoscaler::new(boot, &settings),
            machine_registry: MachineRegistry::new(&settings.member, settings.value_bytes),
            next_prune: Micros(0),
            lease: None,
            registered: false,
            seen: None,
            ring_busy: false,
            next_ring: Micros(0),
            step_down: StepDown::new(&settings),
            flap_damping: FlapDamping::default(),
            alive: Vec::new(),
            strays: (0..n).map(|_| MisroutedHeartbeats::default()).collect(),
            last_round: Micros(0),
            load: Load::Done,
            load_after: String::new(),
            load_busy: false,
            load_retry: Micros(0),
            machines_on_record: Vec::new(),
            // Peers answer late: what an earlier process asked must not answer what this one asks under the same number.
            next_id: boot << 12,
            in_flight: BTreeMap::new(),
            requests: RateLimiter::new(settings.store_rps),
            writes: RateLimiter::new(settings.store_write_rps),
            store_pause: Micros(0),
            next_team_plan: Micros(0),
            accepting: BTreeMap::new(),
            dependencies: Dependencies::default(),
            coordination: RecordSlice::default(),
            freshness: Freshness::default(),
            releases: Releases::default(),
            handoff: Handoff::new(n),
            loans: Loans::default(),
            start_replica: StartReplica::new(n),
            lookups: BTreeMap::new(),
            withdrawing: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            standing_in: BTreeMap::new(),
            clocks: vec![(0, Micros(0)); n],
            own_key_version: None,
            own_sent: None,
            sent: vec![Micros(0); n],
            sent_seq: vec![0; n],
            acked: vec![0; n],
            owe_ack: vec![false; n],
            sent_demands: Micros(0),
            next_plan: Micros(0),
            next_greeting: Micros(0),
            wall: Micros(0),
            was_acting: false,
            held: BTreeMap::new(),
            held_order: VecDeque::new(),
            unreached: BTreeSet::new(),
            settings,
        }
    }

    /// Takes one event.
    pub fn step(&mut self, now: Micros, wall: Micros, event: Event, out: &mut Vec<Effect>) {
        self.wall = wall;
        self.wake(now);
        match event {
            Event::Heartbeat(ticket, r) => {
                if let Some(reply) = self.report(now, ticket, &r, out) {
                    out.push(Effect::Reply(ticket, reply));
                }
            }
            Event::User(ticket, r) => self.user(now, Caller::Ticket(ticket), r, out),
            Event::Operator(ticket, r) => self.operator(now, ticket, r, out),
            Event::Ready(ticket) => {
                // Also while it reads its records: polls and submissions are answered all the same, and what is not
                // would not be through another node either. The load balancer leaves out who fails two probes for 3 s,
                // and for twice as long each time, up to a minute. While nobody can act, being left out helps no user
                // either, and when the trouble is over all are missing.
                let helps = self.membership.is_leader(now)
                    || self.membership.can_pass(now)
                    || self.membership.nobody_acts(now);
                let reply = if self.handoff.leaving().is_some() {
                    Reply::later("leaving")
                } else if helps {
                    Reply::json(200, &json!({"ready": true}))
                } else {
                    Reply::later("not yet able to act")
                };
                out.push(Effect::Reply(ticket, reply));
            }
            Event::Status(ticket) => out.push(Effect::Reply(ticket, Reply::json(200, &self.status(now)))),
            Event::Frame(f) => self.frame(now, *f, out),
            Event::Store(id, a) => {
                if let Some(p) = self.in_flight.remove(&id) {
                    self.stored(now, p, a, out);
                }
            }
            Event::Cloud(r, a) => {
                let before = (r == CloudRequest::MachineTypes).then(|| self.autoscaler.types.clone());
                self.autoscaler.apply_answer(now, &r, a);
                if before.is_some_and(|t| t != self.autoscaler.types) {
                    self.machine_shard.touch_all();
                }
            }
            Event::Probed(reached) => self.step_down.probed(reached),
            Event::Greeted(r) => self.greeted(now, &r),
            Event::Leave => self.handoff.leave(now),
            Event::Tick => {}
        }
    }

    /// Called before anything else is done: notes whether this process stood still while its clock
    /// ran on. What others did in that time was not heard, so it can't be held against them.
    fn wake(&mut self, now: Micros) {
        let pause = now.since(self.last_round);
        if self.last_round > Micros(0) && pause >= PAUSE {
            tracing::info!(epoch = self.membership.epoch, seconds = pause.secs(), "this process stood still");
            self.machine_shard.paused(now, pause);
            self.step_down.paused(now, pause);
            // Its standing may have changed: that comes first.
            self.next_ring = now;
        }
        self.last_round = now;
    }

    /// The last look before an effect goes out. Between a decision and its effect the process may
    /// have stood still and lost its right to act: what rests on that right is taken back.
    pub fn vetted(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        if !self.was_acting || self.membership.is_leader(now) {
            return Some(effect);
        }
        match effect {
            // Never a user's answer that may be out of date by now, nor a command.
            Effect::Reply(t, r) if (200..300).contains(&r.status) => {
                Some(Effect::Reply(t, Reply::later("not entitled to act any more")))
            }
            Effect::Cloud(r @ (CloudRequest::ScaleOut(_) | CloudRequest::ScaleIn(_))) => {
                self.autoscaler.apply_answer(now, &r, CloudAnswer::Failed);
                None
            }
            other => Some(other),
        }
    }

    /// Works off the differences between what is wanted and what is. Called after events and at
    /// least every tenth of a second.
    pub fn reconcile(&mut self, now: Micros, wall: Micros, out: &mut Vec<Effect>) {
        self.wall = wall;
        self.wake(now);
        self.step_aside(now, out);
        self.ring_loop(now, out);
        self.load_loop(now, out);
        let acting = self.membership.is_leader(now);
        if acting != self.was_acting {
            self.was_acting = acting;
            tracing::info!(epoch = self.membership.epoch, acting, "right to act changed");
            self.release_held(now, out);
        }
        // One that has stepped aside leaves it to the new homes to say what is gone.
        if !self.membership.aside {
            self.machine_shard.tick(now, &self.membership);
        }
        self.job_shard.alone = self.membership.others_have_stopped(now);
        if acting && self.job_shard.loaded {
            if now >= self.next_plan
                && (self.job_shard.replan || now >= self.next_plan + Micros::from_millis(400))
            {
                self.next_plan = now + Micros::from_millis(100);
                self.job_shard.replan = false;
                self.job_shard.plan(now, self.wall, &self.membership, &self.quota);
                self.job_shard.make_room(now, &self.membership);
            }
            self.team_loop(now, out);
            self.loan_loop(now, out);
            self.record_loop(now, out);
            if self.autoscaler.is_due(now) {
                let decider = self.membership.decider() == Some(self.settings.me);
                let machines: Vec<_> =
                    self.job_shard.machines(self.membership.epoch).filter(|_| decider).collect();
                let fleet = decider.then(|| FleetView {
                    machines: &machines,
                    all_reported: self.job_shard.all_homes_heard(&self.membership),
                    rebuilt: self.job_shard.rebuilt(),
                    members: &self.membership.members,
                });
                let request = self.autoscaler.next_request(now, fleet);
                out.extend(request.map(Effect::Cloud));
            }
        } else if self.autoscaler.types.is_empty()
            && let Some(r) = self.autoscaler.next_request(now, None)
        {
            out.push(Effect::Cloud(r));
        }
        self.follow_loop(now, out);
        self.pact_loop(now, out);
        self.greet(now, out);
        self.membership.note_stopped(now);
        self.vouch(now, out);
        self.say(now, out);
        self.say_parcels(now, out);
        self.held_reports(now, out);
        self.overdue(now, out);
        self.last_round = now;
    }

    fn fresh_id(&mut self) -> u64 {
        self.next_id = self.next_id.wrapping_add(1);
        self.next_id
    }

    /// How things stand, for operators.
    pub fn status(&mut self, now: Micros) -> Value {
        let m = &self.membership;
        let (jobs, placed, left) = self.job_shard.counts();
        let (bad_jobs, bad_machines) = self.job_shard.suspects(now);
        let (known, machines) = self.machine_shard.counts();
        let waiting = self.job_shard.waiting_jobs();
        let shown = |j: &&crate::job_shard::Job| {
            let on: Vec<&str> = j.waits_for().take(SHOWN).collect();
            json!({"job": j.spec.id, "waits_for": on, "for_s": self.wall.since(j.accepted_wall).secs()})
        };
        let oldest: Vec<Value> = waiting.iter().take(SHOWN).map(shown).collect();
        let teams: BTreeMap<&str, Value> = self
            .quota
            .usage()
            .map(|team| (team.team, json!({"guaranteed_cpus": team.guarantee.cpus as f64 / 1000.0, "claimed_cpus": team.allocated.cpus as f64 / 1000.0})))
            .collect();
        let mut status = json!({
            "member": self.settings.member,
            "epoch": m.epoch,
            "members": m.members.iter().map(|&i| m.name(i)).collect::<Vec<_>>(),
            "acting": m.is_leader(now),
            "aside": self.step_down.away().map(|a| format!("{a:?}").to_lowercase()),
            "decider": m.decider().map(|d| m.name(d)),
            "records_read": self.job_shard.loaded,
            "machines_unheard": self.job_shard.unheard(),
            "takeover": self.takeover_status(now),
            "home": {"machines": machines, "known": known},
            "jobs": {"live": jobs, "tasks_placed": placed, "tasks_left": left},
            "waiting": {"jobs": waiting.len(), "oldest": oldest},
            "takes_follows": self.takes_follows(),
            "pacts": self.pact_status(),
            "batches": self.batch_status(),
            "suspected": {"jobs": bad_jobs, "machines": bad_machines},
            "overdue": self.autoscaler.overdue(),
            "teams": teams,
            "store": {"requests_left": self.requests.level(now), "writes_left": self.writes.level(now), "in_flight": self.in_flight.len()},
        });
        if self.settings.operators.loans.is_some() {
            status["loans"] = self.loan_status();
        }
        if !self.settings.operators.log_stores.is_empty() {
            status["logs"] = json!({"stores": self.settings.operators.log_stores});
        }
        status
    }
}

fn stance_of(f: JobOutcome) -> &'static str {
    match f {
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "aborted",
    }
}

/// Reads the record of a job's end.
pub fn read_end(v: &Value) -> Option<(JobOutcome, u32)> {
    let f = match v.get("end")?.as_str()? {
        "done" => JobOutcome::Done,
        "cancelled" => JobOutcome::Cancelled,
        _ => return None,
    };
    Some((f, v.get("done").and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok()).unwrap_or(0)))
}

/// Only the fields of a description that are read, each job that it follows once, and the pacts that it names.
fn trimmed(raw: &Value, spec: &JobSpec) -> Value {
    const KEPT: [&str; 20] = [
        "uid",
        "breed",
        "herd",
        "gait",
        "rank",
        "strides",
        "vcpus",
        "cards",
        "ramGb",
        "tack",
        "imageGb",
        "breedsOfStall",
        "paddock",
        "together",
        "scatter",
        "borrowed",
        "rideS",
        "restS",
        "unsaddleS",
        "dueS",
    ];
    let Some(map) = raw.as_object() else { return Value::Null };
    let kept = map.iter().filter(|(k, _)| KEPT.contains(&k.as_str()));
    let mut kept: serde_json::Map<String, Value> = kept.map(|(k, v)| (k.clone(), v.clone())).collect();
    if !spec.follows.is_empty() {
        kept.insert("follows".into(), json!(spec.follows));
    }
    if let Some(r) = &spec.release {
        kept.insert("release".into(), r.value());
    }
    for (key, batch) in [("batch", &spec.batch), ("merges", &spec.merges)] {
        if let Some(b) = batch {
            kept.insert(key.into(), json!({"name": b.name, "version": b.version}));
        }
    }
    Value::Object(kept)
}
