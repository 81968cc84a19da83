//! The event loop of one controller: event dispatch here, and one submodule per responsibility.
//!
//! [`Controller::step`] applies one event; [`Controller::reconcile`] runs the periodic work. Both take the
//! current time as an argument and append the resulting effects to a list. Neither reads a clock, performs
//! I/O or blocks, so the simulated cluster in the tests runs the same code as production. Each responsibility
//! keeps its state in a struct of its own, and `Controller` has one field for each of them.

mod cancelled_jobs;
mod coordination;
mod dependencies;
mod fencing_probe;
mod flap_damping;
mod format_versions;
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
mod request_log;
mod start_replica;
mod state_store_io;
mod status;
mod user_requests;

use self::cancelled_jobs::CancelledJobs;
use self::coordination::{CoordinationRecords, PendingRecordRequest};
use self::dependencies::Dependencies;
use self::fencing_probe::FencingProbes;
use self::flap_damping::FlapDamping;
use self::format_versions::FormatVersions;
use self::freshness::{Freshness, PendingFreshnessRequest};
use self::gpu_lending::{Loans, PendingLoanRequest};
use self::handoff::Handoff;
pub use self::handoff::LEAVE_TIMEOUT;
use self::heartbeats::HeldHeartbeats;
use self::membership::{MembershipLoop, PendingMembershipRequest};
pub use self::operator_requests::{OperatorCommand, ReleaseSelector};
use self::peer_traffic::PeerTraffic;
use self::record_loading::{LoadStage, RecordLoading};
use self::release::Releases;
use self::request_log::RequestLog;
use self::start_replica::StartReplica;
use self::state_store_io::{PendingStoreRequest, StateStoreIo};
use self::user_requests::{Caller, CoordinatedWrite, ProxyAcceptances, RecordPoll, UserRequests};
use crate::autoscaler::{Autoscaler, CloudAnswer, CloudRequest, FleetView};
use crate::config::settings::Settings;
use crate::job_shard::{DependencyRead, JobOutcome, JobShard, RecordWrite};
use crate::machine_registry::{self, MachineRegistry, PageWrite};
use crate::machine_shard::{FencingProbe, Heartbeat, HeartbeatOutcome, MachineShard};
use crate::membership::misrouted_heartbeats::MisroutedHeartbeats;
use crate::membership::step_down::StepDown;
use crate::membership::{EpochRecord, Membership};
use crate::peer::{
    DesiredState, Frame, MachineStatusDelta, Message, Refusal, ReplicatedItem, Reply, UserRequest,
};
use crate::quota::{AllocationInput, AllocationWrite, QuotaLedger};
use crate::spec::{JobKind, JobSpec};
use crate::state_store::{KeyValue, RateLimiter, StoreAnswer, StoreRequest, Transaction};
use crate::units::{Micros, TaskIndexSet};
use crate::wire::users::submission::stored_description;
use hazelsaddle_coordination::record::{CoordinationRecord, Key};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Key of the epoch record in the state store.
const EPOCH_KEY: &str = "ring/epoch";
/// Limit of concurrent state store requests for background work.
const MAX_IN_FLIGHT: usize = 12;
/// A gap between two rounds of at least this length counts as a stall of this process. Rounds are normally a
/// tenth of a second apart.
const STALL_THRESHOLD: Micros = Micros::from_millis(1000);
/// Time between scheduling passes while there are changes; without changes, [`IDLE_PASS_DELAY`] is added.
const PASS_PERIOD: Micros = Micros::from_millis(100);
const IDLE_PASS_DELAY: Micros = Micros::from_millis(400);
/// Maximum number of rows in a list in the status response.
const MAX_STATUS_ROWS: usize = 20;
/// Number of machines tried in one probe.
const PROBE_SAMPLE_SIZE: usize = 3;

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A heartbeat of a machine.
    Heartbeat {
        /// The request to answer.
        ticket: u64,
        /// The content of the heartbeat.
        heartbeat: Heartbeat,
    },
    /// A user's request whose syntax has been checked.
    User {
        /// The request to answer.
        ticket: u64,
        /// The request.
        request: UserRequest,
    },
    /// An operator's request about releases or batches.
    Operator {
        /// The request to answer.
        ticket: u64,
        /// The request.
        request: OperatorCommand,
    },
    /// A health probe, with its ticket.
    Ready(u64),
    /// An operator's status request, with its ticket.
    Status(u64),
    /// A frame from another controller.
    Frame(Box<Frame>),
    /// A response of the state store.
    Store {
        /// The number of the request.
        id: u64,
        /// The response.
        answer: StoreAnswer,
    },
    /// A response of the cloud.
    Cloud {
        /// The request.
        request: CloudRequest,
        /// The response.
        answer: CloudAnswer,
    },
    /// Whether any of the probed machines has responded.
    Probed(bool),
    /// A machine's response to a fencing probe.
    FencingProbeAnswered(Heartbeat),
    /// The process is shutting down: hand off all jobs and machines and leave the ring.
    Leave,
    /// Time has passed; nothing else has happened.
    Tick,
}

/// An output of the controller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a request.
    Reply {
        /// The request to answer.
        ticket: u64,
        /// The answer.
        reply: Reply,
    },
    /// Send a frame to another controller.
    Send {
        /// The receiver's number.
        to: usize,
        /// The frame.
        frame: Frame,
    },
    /// Send a request to the state store.
    Store {
        /// The number under which the response is expected.
        id: u64,
        /// The request.
        request: StoreRequest,
        /// The connection to use.
        lane: StoreLane,
    },
    /// Send a request to the cloud.
    Cloud(CloudRequest),
    /// Check whether any machine at these addresses responds.
    Probe(Vec<String>),
    /// Send the fencing token, without any commands, to these machines, and return their heartbeats.
    FencingProbe {
        /// The fencing token.
        epoch: u64,
        /// The machines.
        probes: Vec<FencingProbe>,
    },
}

/// The connections to the state store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreLane {
    /// Reserved for the membership loop, so that other requests can't delay it.
    Membership,
    /// Used by all other requests.
    Records,
}

/// One controller, with one field for each responsibility.
pub struct Controller {
    settings: Settings,
    /// Random ID of this process.
    boot: u64,
    /// The ring and the epoch as far as this controller has learned them.
    pub membership: Membership,
    /// The jobs that this controller leads.
    pub job_shard: JobShard,
    /// The machines that this controller leads.
    pub machine_shard: MachineShard,
    /// The teams' quotas and their allocation.
    pub quota: QuotaLedger,
    /// Scales the fleet if this controller is the ring's autoscaler.
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
    request_log: RequestLog,
    proxy_acceptances: ProxyAcceptances,
    format_versions: FormatVersions,
    dependencies: Dependencies,
    cancelled_jobs: CancelledJobs,
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

/// State of the event loop's rounds.
#[derive(Default)]
struct Rounds {
    /// Wall-clock time of the latest event.
    wall: Micros,
    /// When the last round ended; a long gap means that the process was stalled.
    last_round: Micros,
    next_scheduling_pass: Micros,
    /// Whether this controller was entitled to act as a leader in the last round.
    was_leader: bool,
}

/// Generates IDs for state store requests, peer requests and record lookups.
struct RequestIds {
    last: u64,
}

impl RequestIds {
    /// Starts at a value that depends on the boot ID: a late response to a request of an earlier process must
    /// not match a request of this one.
    fn new(boot: u64) -> RequestIds {
        RequestIds { last: boot << 12 }
    }

    fn next(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}

impl Controller {
    /// Creates a controller that has just started; `boot` is its random boot ID.
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
            request_log: RequestLog::default(),
            proxy_acceptances: ProxyAcceptances::default(),
            format_versions: FormatVersions::default(),
            dependencies: Dependencies::default(),
            cancelled_jobs: CancelledJobs::default(),
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

    /// Applies one event. Appends the resulting effects to `out` in the order in which they must be carried
    /// out.
    pub fn step(&mut self, now: Micros, wall: Micros, event: Event, out: &mut Vec<Effect>) {
        self.rounds.wall = wall;
        self.note_stall(now);
        match event {
            Event::Heartbeat { ticket, heartbeat } => self.handle_heartbeat(now, ticket, &heartbeat, out),
            Event::User { ticket, request } => {
                self.request_log.note_request(now, ticket, &request);
                self.handle_user_request(now, Caller::Ticket(ticket), request, out)
            }
            Event::Operator { ticket, request } => self.handle_operator_request(now, ticket, request, out),
            Event::Ready(ticket) => out.push(Effect::Reply { ticket, reply: self.check_readiness(now) }),
            Event::Status(ticket) => {
                out.push(Effect::Reply { ticket, reply: Reply::json(200, &self.status(now)) })
            }
            Event::Frame(frame) => self.handle_frame(now, *frame, out),
            Event::Store { id, answer } => self.handle_store_answer(now, id, answer, out),
            Event::Cloud { request, answer } => self.handle_cloud_answer(now, &request, answer),
            Event::Probed(reached) => self.step_down.record_probe(reached),
            Event::FencingProbeAnswered(heartbeat) => self.apply_fencing_probe_answer(now, &heartbeat),
            Event::Leave => self.handoff.leave(now),
            Event::Tick => {}
        }
    }

    /// The answer to a health probe.
    fn check_readiness(&self, now: Micros) -> Reply {
        // The controller is also ready while it loads its records: it already answers polls and submissions,
        // and requests that it can't answer yet would fail at the other controllers too. The load balancer
        // removes a controller after two failed probes for 3 s, and for twice as long after each further
        // failure, up to a minute. While no controller is able to act, removal would not help any user, and
        // after the outage all controllers would be missing from the load balancer.
        let can_serve = self.membership.is_leader(now)
            || self.membership.can_forward(now)
            || self.membership.is_leaderless(now);
        if self.handoff.leaving().is_some() {
            Reply::retry_later("leaving")
        } else if can_serve {
            Reply::json(200, &json!({"ready": true}))
        } else {
            Reply::retry_later("not yet able to act")
        }
    }

    fn handle_cloud_answer(&mut self, now: Micros, request: &CloudRequest, answer: CloudAnswer) {
        let types_before =
            (*request == CloudRequest::MachineTypes).then(|| self.autoscaler.machine_types.clone());
        self.autoscaler.apply_answer(now, request, answer);
        if types_before.is_some_and(|types| types != self.autoscaler.machine_types) {
            self.machine_shard.mark_all_changed();
        }
    }

    /// Detects a stall of this process; must run before any other work. Messages that other components sent
    /// during the stall were not received, so the silence must not count against them.
    fn note_stall(&mut self, now: Micros) {
        let gap = now.since(self.rounds.last_round);
        if self.rounds.last_round > Micros(0) && gap >= STALL_THRESHOLD {
            tracing::info!(epoch = self.membership.epoch, seconds = gap.as_secs(), "event loop stalled");
            self.machine_shard.discount_pause(now, gap);
            self.step_down.discount_pause(now, gap);
            // Leadership may have been lost during the stall, so membership is checked first.
            self.membership_loop.step_at_once(now);
        }
        self.rounds.last_round = now;
    }

    /// Checks an effect immediately before it is carried out. The process may have been stalled between the
    /// decision and this point and have lost its leadership: an effect that depends on leadership is then
    /// withdrawn.
    #[must_use]
    pub fn revalidate_effect(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        let effect = self.withdraw_without_leadership(now, effect);
        if let Some(Effect::Reply { ticket, reply }) = &effect {
            self.request_log.note_reply(now, self.membership.epoch, *ticket, reply);
        }
        effect
    }

    fn withdraw_without_leadership(&mut self, now: Micros, effect: Effect) -> Option<Effect> {
        if !self.rounds.was_leader || self.membership.is_leader(now) {
            return Some(effect);
        }
        match effect {
            // Successful user responses may be out of date by now, and scaling commands need leadership.
            Effect::Reply { ticket, reply } if (200..300).contains(&reply.status) => {
                Some(Effect::Reply { ticket, reply: Reply::refuse(Refusal::LeadershipLost) })
            }
            Effect::Cloud(request @ (CloudRequest::ScaleOut(_) | CloudRequest::ScaleIn(_))) => {
                self.autoscaler.apply_answer(now, &request, CloudAnswer::Failed);
                None
            }
            other => Some(other),
        }
    }

    /// Reconciles the desired and the actual state. Called after events and at least every tenth of a second.
    pub fn reconcile(&mut self, now: Micros, wall: Micros, out: &mut Vec<Effect>) {
        self.rounds.wall = wall;
        self.note_stall(now);
        self.step_down_or_return(now, out);
        self.run_membership_loop(now, out);
        self.load_records(now, out);
        self.note_leadership(now, out);
        // After stepping down, only the new leaders may declare leases expired.
        if !self.membership.has_stepped_down {
            self.machine_shard.expire_leases(now, &self.membership);
        }
        self.job_shard.older_leaders_stopped = self.membership.have_older_leaders_stopped(now);
        if self.rounds.was_leader && self.job_shard.loaded {
            self.schedule(now);
            self.write_quota(now, out);
            self.reconcile_loans(now, out);
            self.write_records(now, out);
            self.scale(now, out);
        } else {
            self.fetch_machine_types(now, out);
        }
        self.watch_outcomes(now, out);
        self.run_coordination(now, out);
        self.send_fencing_probes(now, out);
        self.membership.note_older_leaders_stopped(now);
        self.send_replicated_starts(now, out);
        self.send_state(now, out);
        self.send_handoff_batches(now, out);
        self.answer_due_heartbeats(now, out);
        self.answer_held_requests(now, out);
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
        let (token, by_store_lease) = (epoch, self.membership.has_store_lease(now));
        let event = if is_leader { "leadership acquired" } else { "leadership lost" };
        tracing::info!(epoch, token, by_store_lease, records_read = self.job_shard.loaded, "{event}");
        self.release_held_heartbeats(now, out);
    }

    /// Runs a scheduling pass if one is due.
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

    /// Sends the autoscaler's next request to the cloud if one is due.
    fn scale(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.autoscaler.is_due(now) {
            return;
        }
        let is_autoscaler = self.membership.autoscaler() == Some(self.settings.me);
        let machines: Vec<_> =
            self.job_shard.machines(self.membership.epoch).filter(|_| is_autoscaler).collect();
        let fleet = is_autoscaler.then(|| FleetView {
            machines: &machines,
            all_reported: self.job_shard.have_all_machine_shards_reported(&self.membership),
            failover_complete: self.job_shard.is_rebuilt(),
            members: &self.membership.members,
        });
        let request = self.autoscaler.next_request(now, fleet);
        out.extend(request.map(Effect::Cloud));
    }

    /// Fetches the machine types also while this controller is not entitled to act, since it may have to
    /// accept jobs.
    fn fetch_machine_types(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.autoscaler.machine_types.is_empty() {
            let request = self.autoscaler.next_request(now, None);
            out.extend(request.map(Effect::Cloud));
        }
    }
}

/// Parses the final record of a job: its outcome, and how many of its tasks were done.
pub fn read_final_record(record: &Value) -> Option<(JobOutcome, u32)> {
    let outcome = match record.get("end")?.as_str()? {
        "done" => JobOutcome::Done,
        "cancelled" => JobOutcome::Cancelled,
        _ => return None,
    };
    Some((
        outcome,
        record.get("done").and_then(Value::as_u64).and_then(|done| u32::try_from(done).ok()).unwrap_or(0),
    ))
}
