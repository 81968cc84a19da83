//! The event loop of one controller: dispatch, and a file a duty.
//!
//! [`Controller::step`] takes an event and the time, [`Controller::reconcile`] works off what is due, and both give back the
//! effects that are to be carried out. Neither reads a clock, does input or output, or blocks, so that the simulated cluster
//! drives the code that runs. Each duty's struct owns its state; `Controller` has one field a duty.

mod coordination;
mod dependencies;
mod fencing_probe;
mod flap_damping;
mod frame_forms;
mod freshness;
mod gpu_lending;
mod handoff;
mod heartbeats;
mod membership;
mod operator_requests;
mod peer_traffic;
mod record_loading;
mod record_writes;
mod release;
mod start_replica;
mod state_store_io;
mod status;
mod user_requests;

use self::coordination::{CoordinationRecords, PendingRecordRequest};
use self::dependencies::Dependencies;
use self::fencing_probe::FencingProbes;
use self::flap_damping::FlapDamping;
use self::frame_forms::FrameForms;
use self::freshness::{Freshness, PendingFreshnessRequest};
use self::gpu_lending::{Loans, PendingLoanRequest};
use self::handoff::Handoff;
pub use self::handoff::LEAVE_TIMEOUT;
use self::heartbeats::HeldHeartbeats;
use self::membership::{MembershipLoop, PendingRingRequest};
pub use self::operator_requests::{OperatorCommand, ReleaseSelector};
use self::peer_traffic::PeerTraffic;
use self::record_loading::{LoadStage, RecordLoading};
use self::release::Releases;
use self::start_replica::StartReplica;
use self::state_store_io::{PendingStoreRequest, StateStoreIo};
use self::user_requests::{Caller, CoordinatedWrite, StandIns, UserRequests};
use crate::autoscaler::{Autoscaler, CloudAnswer, CloudRequest, FleetView};
use crate::config::settings::Settings;
use crate::job_shard::{JobOutcome, JobShard, RecordWrite};
use crate::machine_registry::{self, MachineRegistry, PageWrite};
use crate::machine_shard::{FencingProbe, Heartbeat, HeartbeatOutcome, MachineShard};
use crate::membership::misrouted_heartbeats::MisroutedHeartbeats;
use crate::membership::step_down::StepDown;
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredState, Frame, MachineStatusDelta, Message, ReplicatedItem, Reply, UserRequest};
use crate::quota::{AllocationInput, AllocationWrite, QuotaLedger};
use crate::spec::{JobKind, JobSpec};
use crate::state_store::{KeyValue, RateLimiter, StoreAnswer, StoreRequest, Transaction};
use crate::units::{Micros, TaskIndexSet};
use crate::wire::users::submission::stored_description;
use hazelsaddle_coordination::record::{CoordinationRecord, Key};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where the epoch record is kept.
const EPOCH_KEY: &str = "ring/epoch";
/// Requests of one purpose under way at the state store.
const IN_FLIGHT: usize = 12;
/// A gap between two rounds from which on this process is taken to have stood still. Rounds are a
/// tenth of a second apart.
const STALL: Micros = Micros::from_millis(1000);
/// A scheduling pass is made so often while something has changed, and so often otherwise.
const PASS_PERIOD: Micros = Micros::from_millis(100);
const IDLE_PASS_DELAY: Micros = Micros::from_millis(400);
/// Rows of a list that is shown in the status.
const SHOWN: usize = 20;
/// Machines tried in one probe.
const PROBED: usize = 3;

/// What happens to a controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A machine's heartbeat; the answer goes to the ticket.
    Heartbeat {
        /// Where the answer goes.
        ticket: u64,
        /// What the machine says.
        heartbeat: Heartbeat,
    },
    /// A user's request, its syntax checked.
    User {
        /// Where the answer goes.
        ticket: u64,
        /// The request.
        request: UserRequest,
    },
    /// An operator's request about releases or batches.
    Operator {
        /// Where the answer goes.
        ticket: u64,
        /// The request.
        request: OperatorCommand,
    },
    /// A health probe, with its ticket.
    Ready(u64),
    /// An operator asks for the status, with the ticket of the answer.
    Status(u64),
    /// Another controller's frame.
    Frame(Box<Frame>),
    /// An answer of the state store.
    Store {
        /// The number of the request.
        id: u64,
        /// The answer.
        answer: StoreAnswer,
    },
    /// An answer of the cloud.
    Cloud {
        /// The request that it answers.
        request: CloudRequest,
        /// The answer.
        answer: CloudAnswer,
    },
    /// Whether one of the machines that were to be probed has answered.
    Probed(bool),
    /// What a machine answered to a fencing probe.
    FencingProbeAnswered(Heartbeat),
    /// The process is to end: hand everything off and leave the ring.
    Leave,
    /// Only time has passed.
    Tick,
}

/// What a controller wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a request.
    Reply {
        /// Whose.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// Send a frame to another controller.
    Send {
        /// Its number.
        to: usize,
        /// The frame.
        frame: Frame,
    },
    /// Ask the state store.
    Store {
        /// The number under which the answer is expected.
        id: u64,
        /// The request.
        request: StoreRequest,
        /// The line that it goes out on.
        lane: StoreLane,
    },
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// Find out whether a machine at one of these addresses answers.
    Probe(Vec<String>),
    /// Tell these machines the fencing token, without any command, and bring back their heartbeats.
    FencingProbe {
        /// The fencing token.
        epoch: u64,
        /// The machines.
        probes: Vec<FencingProbe>,
    },
}

/// The lines to the state store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreLane {
    /// The line kept for the membership loop, so that nothing else delays it.
    Membership,
    /// All else.
    Records,
}

/// One controller: a field a duty.
pub struct Controller {
    settings: Settings,
    /// The random number of this process.
    boot: u64,
    /// The ring and the epoch as this controller knows them.
    pub membership: Membership,
    /// The jobs whose leader this controller is.
    pub job_shard: JobShard,
    /// The machines whose leader this controller is.
    pub machine_shard: MachineShard,
    /// The teams' quota and what is allocated of it.
    pub quota: QuotaLedger,
    /// Scaling, where this controller is the one that decides about it.
    pub autoscaler: Autoscaler,
    machine_registry: MachineRegistry,
    membership_loop: MembershipLoop,
    step_down: StepDown,
    flap_damping: FlapDamping,
    record_loading: RecordLoading,
    state_store: StateStoreIo,
    request_ids: RequestIds,
    rounds: Rounds,
    user_requests: UserRequests,
    stand_ins: StandIns,
    frame_forms: FrameForms,
    dependencies: Dependencies,
    coordination: CoordinationRecords,
    freshness: Freshness,
    releases: Releases,
    loans: Loans,
    handoff: Handoff,
    start_replica: StartReplica,
    peer_traffic: PeerTraffic,
    held_heartbeats: HeldHeartbeats,
    fencing_probes: FencingProbes,
}

/// The rounds of the event loop.
#[derive(Default)]
struct Rounds {
    /// The time of day at the latest event.
    wall: Micros,
    /// When the last round ended; a gap means that the process stood still.
    last_round: Micros,
    next_scheduling_pass: Micros,
    /// Whether this controller was a leader in the last round.
    was_leader: bool,
}

/// Numbers for what must be told apart: requests to the state store and to peers, readings of records.
struct RequestIds {
    last: u64,
}

impl RequestIds {
    /// Peers answer late: what an earlier process asked must not answer what this one asks under the same number.
    fn new(boot: u64) -> RequestIds {
        RequestIds { last: boot << 12 }
    }

    fn next(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

impl Controller {
    /// A controller that has just started; `boot` is a random number.
    pub fn new(settings: Settings, boot: u64) -> Controller {
        let controllers = settings.members.len();
        Controller {
            boot,
            membership: Membership::new(&settings, boot),
            job_shard: JobShard::new(&settings),
            machine_shard: MachineShard::new(&settings),
            quota: QuotaLedger::new(&settings.teams),
            autoscaler: Autoscaler::new(boot, &settings),
            machine_registry: MachineRegistry::new(&settings.member, settings.value_bytes),
            membership_loop: MembershipLoop::default(),
            step_down: StepDown::new(&settings),
            flap_damping: FlapDamping::default(),
            record_loading: RecordLoading::default(),
            state_store: StateStoreIo::new(&settings),
            request_ids: RequestIds::new(boot),
            rounds: Rounds::default(),
            user_requests: UserRequests::default(),
            stand_ins: StandIns::default(),
            frame_forms: FrameForms::default(),
            dependencies: Dependencies::default(),
            coordination: CoordinationRecords::default(),
            freshness: Freshness::default(),
            releases: Releases::default(),
            loans: Loans::default(),
            handoff: Handoff::new(controllers),
            start_replica: StartReplica::new(controllers),
            peer_traffic: PeerTraffic::new(controllers),
            held_heartbeats: HeldHeartbeats::default(),
            fencing_probes: FencingProbes::default(),
            settings,
        }
    }

    /// Takes one event. What is to be done is added to `out`, in the order in which it is to go out.
    pub fn step(&mut self, now: Micros, wall: Micros, event: Event, out: &mut Vec<Effect>) {
        self.rounds.wall = wall;
        self.note_stall(now);
        match event {
            Event::Heartbeat { ticket, heartbeat } => self.take_heartbeat(now, ticket, &heartbeat, out),
            Event::User { ticket, request } => {
                self.take_user_request(now, Caller::Ticket(ticket), request, out)
            }
            Event::Operator { ticket, request } => self.operator(now, ticket, request, out),
            Event::Ready(ticket) => out.push(Effect::Reply { ticket, reply: self.readiness(now) }),
            Event::Status(ticket) => {
                out.push(Effect::Reply { ticket, reply: Reply::json(200, &self.status(now)) })
            }
            Event::Frame(frame) => self.take_frame(now, *frame, out),
            Event::Store { id, answer } => self.take_store_answer(now, id, answer, out),
            Event::Cloud { request, answer } => self.take_cloud_answer(now, &request, answer),
            Event::Probed(reached) => self.step_down.record_probe(reached),
            Event::FencingProbeAnswered(heartbeat) => self.apply_fencing_probe_answer(now, &heartbeat),
            Event::Leave => self.handoff.leave(now),
            Event::Tick => {}
        }
    }

    /// The answer to a health probe.
    fn readiness(&self, now: Micros) -> Reply {
        // Also while it reads its records: polls and submissions are answered all the same, and what is not
        // would not be through another controller either. The load balancer leaves out who fails two probes for 3 s,
        // and for twice as long each time, up to a minute. While nobody can act, being left out helps no user
        // either, and when the trouble is over all are missing.
        let helps = self.membership.is_leader(now)
            || self.membership.can_forward(now)
            || self.membership.is_leaderless(now);
        if self.handoff.leaving().is_some() {
            Reply::retry_later("leaving")
        } else if helps {
            Reply::json(200, &json!({"ready": true}))
        } else {
            Reply::retry_later("not yet able to act")
        }
    }

    fn take_cloud_answer(&mut self, now: Micros, request: &CloudRequest, answer: CloudAnswer) {
        let types_before =
            (*request == CloudRequest::MachineTypes).then(|| self.autoscaler.machine_types.clone());
        self.autoscaler.apply_answer(now, request, answer);
        if types_before.is_some_and(|types| types != self.autoscaler.machine_types) {
            self.machine_shard.mark_all_changed();
        }
    }

    /// Called before anything else is done: notes whether this process stood still while its clock
    /// ran on. What others did in that time was not heard, so it can't be held against them.
    fn note_stall(&mut self, now: Micros) {
        let gap = now.since(self.rounds.last_round);
        if self.rounds.last_round > Micros(0) && gap >= STALL {
            tracing::info!(epoch = self.membership.epoch, seconds = gap.as_secs(), "event loop stalled");
            self.machine_shard.discount_pause(now, gap);
            self.step_down.discount_pause(now, gap);
            // Its standing may have changed: that comes first.
            self.membership_loop.step_at_once(now);
        }
        self.rounds.last_round = now;
    }

    /// The last look before an effect goes out. Between a decision and its effect the process may
    /// have stood still and lost its leadership: what rests on that is taken back.
    #[must_use]
    pub fn revalidate_effect(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        if !self.rounds.was_leader || self.membership.is_leader(now) {
            return Some(effect);
        }
        match effect {
            // Never a user's answer that may be out of date by now, nor a command.
            Effect::Reply { ticket, reply } if (200..300).contains(&reply.status) => {
                Some(Effect::Reply { ticket, reply: Reply::retry_later("not entitled to act any more") })
            }
            Effect::Cloud(request @ (CloudRequest::ScaleOut(_) | CloudRequest::ScaleIn(_))) => {
                self.autoscaler.apply_answer(now, &request, CloudAnswer::Failed);
                None
            }
            other => Some(other),
        }
    }

    /// Works off the differences between what is wanted and what is. Called after events and at
    /// least every tenth of a second.
    pub fn reconcile(&mut self, now: Micros, wall: Micros, out: &mut Vec<Effect>) {
        self.rounds.wall = wall;
        self.note_stall(now);
        self.step_down_or_return(now, out);
        self.run_membership_loop(now, out);
        self.load_records(now, out);
        self.note_leadership(now, out);
        // One that has stepped down leaves it to the new leaders to say what is gone.
        if !self.membership.has_stepped_down {
            self.machine_shard.expire_leases(now, &self.membership);
        }
        self.job_shard.older_leaders_stopped = self.membership.have_older_leaders_stopped(now);
        if self.rounds.was_leader && self.job_shard.loaded {
            self.schedule(now);
            self.write_quota(now, out);
            self.loan_loop(now, out);
            self.write_records(now, out);
            self.scale(now, out);
        } else {
            self.learn_machine_types(now, out);
        }
        self.watch_outcomes(now, out);
        self.run_coordination(now, out);
        self.send_fencing_probes(now, out);
        self.membership.note_older_leaders_stopped(now);
        self.send_replicated_starts(now, out);
        self.send_state(now, out);
        self.send_handoff_batches(now, out);
        self.answer_due_heartbeats(now, out);
        self.handle_overdue_requests(now, out);
        self.rounds.last_round = now;
    }

    fn note_leadership(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let is_leader = self.membership.is_leader(now);
        if is_leader == self.rounds.was_leader {
            return;
        }
        self.rounds.was_leader = is_leader;
        let epoch = self.membership.epoch;
        tracing::info!(epoch, "{}", if is_leader { "leadership acquired" } else { "leadership lost" });
        self.release_held_heartbeats(now, out);
    }

    /// A scheduling pass, if one is due.
    fn schedule(&mut self, now: Micros) {
        let next = self.rounds.next_scheduling_pass;
        if now < next || !(self.job_shard.replan || now >= next + IDLE_PASS_DELAY) {
            return;
        }
        self.rounds.next_scheduling_pass = now + PASS_PERIOD;
        self.job_shard.replan = false;
        self.job_shard.run_scheduling_pass(now, self.rounds.wall, &self.membership, &self.quota);
        self.job_shard.preempt_tasks(now, &self.membership);
    }

    /// The autoscaler's next request to the cloud, if one is due.
    fn scale(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.autoscaler.is_due(now) {
            return;
        }
        let decides = self.membership.autoscaler() == Some(self.settings.me);
        let machines: Vec<_> = self.job_shard.machines(self.membership.epoch).filter(|_| decides).collect();
        let fleet = decides.then(|| FleetView {
            machines: &machines,
            all_reported: self.job_shard.have_all_machine_shards_reported(&self.membership),
            failover_complete: self.job_shard.is_rebuilt(),
            members: &self.membership.members,
        });
        let request = self.autoscaler.next_request(now, fleet);
        out.extend(request.map(Effect::Cloud));
    }

    /// Who doesn't act must know the machine types too: it may have to accept jobs.
    fn learn_machine_types(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.autoscaler.machine_types.is_empty() {
            let request = self.autoscaler.next_request(now, None);
            out.extend(request.map(Effect::Cloud));
        }
    }
}

/// Reads the record of a job's end.
pub fn read_final_record(v: &Value) -> Option<(JobOutcome, u32)> {
    let f = match v.get("end")?.as_str()? {
        "done" => JobOutcome::Done,
        "cancelled" => JobOutcome::Cancelled,
        _ => return None,
    };
    Some((f, v.get("done").and_then(Value::as_u64).and_then(|n| u32::try_from(n).ok()).unwrap_or(0)))
}
