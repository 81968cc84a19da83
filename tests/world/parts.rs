//! The data types of a simulated world.

use super::*;

#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) job: String,
    pub(crate) index: u32,
    pub(crate) attempt: u64,
    pub(crate) state: &'static str,
    pub(crate) cause: Option<&'static str>,
    pub(crate) saved: bool,
    pub(crate) until: u64,
}

impl Task {
    /// Whether the task occupies resources on its machine.
    pub(crate) fn is_placed(&self) -> bool {
        matches!(self.state, "waiting" | "running" | "flushing")
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) created_at: u64,
    pub(crate) up_at: u64,
    pub(crate) unresponsive_until: u64,
    /// Until this time, responses and fencing probes sent to the worker are lost.
    pub(crate) inbound_lost_until: u64,
    /// Until this time, the worker's messages reach no controller.
    pub(crate) outbound_lost_until: u64,
    /// Whether the worker has ever accepted a task.
    pub(crate) has_run_tasks: bool,
    /// Returned to the cloud.
    pub(crate) gone: bool,
    /// The machine has failed.
    pub(crate) dead: bool,
    pub(crate) target: usize,
    pub(crate) incarnation: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    /// Send time of the last acknowledged heartbeat.
    pub(crate) lease_from: u64,
    /// The heartbeat in flight: its sequence number and send time.
    pub(crate) in_flight: Option<(u64, u64)>,
    pub(crate) next: u64,
    pub(crate) changed: bool,
    pub(crate) tasks: Vec<Task>,
}

#[derive(Debug)]
pub(crate) enum SimEvent {
    Controller(usize, u64, Event),
    Effects(usize, u64, Vec<Effect>),
    /// A request reaches the state store. Its answer is delayed by this additional time, or dropped if `None`.
    StoreApply(usize, u64, u64, StoreRequest, Option<u64>),
    /// A delayed transaction with its send time. The sender no longer waits for the answer.
    LateWrite(usize, u64, StoreRequest),
    /// A copy of a worker's heartbeat with its send time, delivered to this controller.
    LateHeartbeat(usize, usize, u64, Heartbeat),
    /// A write to the state store whose answer is lost.
    Unanswered(UnansweredWrite),
    /// A copy of a worker's heartbeat that was held back for the next leader, delivered to this controller.
    HeldBackHeartbeat(usize, usize, Heartbeat),
    /// A late copy of a message.
    LateCopy(LateCopy),
    /// A process that was asked to shut down ends, and restarts at once.
    Exit(usize, u64),
    Cloud(usize, u64, CloudRequest),
    /// A fencing probe with its epoch. `DeliverLateProbe` is one that was delayed in the network.
    DeliverProbe(usize, u64, u64, FencingProbe),
    DeliverLateProbe(usize, u64, u64, FencingProbe),
    WorkerAnswer(usize, u64, Reply),
    UserAnswer(u64, Reply),
    /// A probing client sends a request.
    ClientProbe(ClientProbe),
    /// The job's client asks to cancel it.
    RetryCancel(String),
    /// A controller's process starts, unless it is already running.
    Restart(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KnownState {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

pub(crate) struct UserJob {
    pub(crate) body: String,
    pub(crate) spec: JobSpec,
    pub(crate) run: u64,
    /// Additional run time of each task over the task with the next lower index. Gangs ignore it.
    pub(crate) extra_run_per_index: u64,
    pub(crate) known: KnownState,
    pub(crate) cancel_asked: bool,
    /// Submitted with a mistake: its tasks fail on every machine until the client cancels the job.
    pub(crate) always_fails: bool,
    pub(crate) cancelled_at: Option<u64>,
    pub(crate) accepted_at: Option<u64>,
    /// When the job's first task started to run.
    pub(crate) started_at: Option<u64>,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) next: u64,
    pub(crate) submitted: bool,
    /// Whether the job was refused permanently because its release had closed.
    pub(crate) refused: bool,
    /// Ticket of the latest request. The client sends the next one only after it stops waiting for this answer.
    pub(crate) latest: u64,
}

pub(crate) enum Ticket {
    Worker(usize, u64),
    /// A client's request: job ID and kind, 's' for a submission, 'q' for a query and 'w' for a cancellation.
    User(String, char),
    /// A merge job asks for a write permit.
    Writer(batches::PermitRequest),
    /// A request of the test itself.
    TestRequest,
    /// A request of a probing client.
    ClientProbe(ClientProbe),
    /// A client polls a job: job ID, controller and send time.
    Poll(String, usize, u64),
    /// The load balancer probes the readiness of a controller.
    Probe(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    Controller(usize),
    Store,
    Workers,
}

pub(crate) struct World {
    pub(crate) shape: Shape,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) serial: u64,
    pub(crate) queue: BTreeMap<(u64, u64), SimEvent>,
    pub(crate) nodes: Vec<Option<Controller>>,
    pub(crate) boot_ids: Vec<u64>,
    pub(crate) started: Vec<u64>,
    pub(crate) restart_at: Vec<u64>,
    pub(crate) drift: Vec<f64>,
    pub(crate) paused_until: Vec<u64>,
    /// Probability that a controller's process pauses between a decision and the resulting effects.
    pub(crate) pause_rate: f64,
    /// Controllers limited to what version 1 reads and writes. The binary of version 1 is not part of this test:
    /// these controllers run the current code, and fields unknown to version 1 are removed in transit. Other
    /// differences of version 1 show only in the bench.
    pub(crate) limited: [bool; 3],
    /// Fields that were removed from records before a limited controller read them.
    pub(crate) removed_fields: BTreeMap<String, Value>,
    /// When the state store's limits fall.
    pub(crate) limits_fall: u64,
    /// Whether a job with a cancelled dependency must be cancelled in time. False if the job's leader can't learn of
    /// the cancellation.
    pub(crate) checks_orphans: bool,
    pub(crate) store: State,
    /// Open watches: controller, boot ID, request, prefix, revision and deadline.
    pub(crate) watches: Vec<(usize, u64, u64, String, u64, u64)>,
    pub(crate) outage_until: u64,
    /// Messages have no random extra delay; network partitions still apply.
    pub(crate) no_slow_messages: bool,
    pub(crate) partitions: Vec<(Endpoint, Endpoint, u64, bool)>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) scale_outs: BTreeMap<String, Vec<String>>,
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    /// Answers to the requests of the test itself.
    pub(crate) answers: BTreeMap<u64, Reply>,
    pub(crate) jobs: BTreeMap<String, UserJob>,
    /// Job IDs in the order of their creation.
    pub(crate) order: Vec<String>,
    /// Long jobs, each with the jobs that follow it or one of its followers.
    pub(crate) fans: Vec<Vec<String>>,
    pub(crate) starts: usize,
    /// Hand-off batches sent, and the probability that a batch or its acknowledgement is lost, duplicated or delayed.
    pub(crate) handoff_batches: usize,
    pub(crate) handoff_fault_rate: f64,
    /// A job class whose tasks the workers reject, to show that the check for at least half of each class done can
    /// fail.
    pub(crate) rejected_class: Option<&'static str>,
    /// Of that class, only jobs with at least this many tasks are rejected.
    pub(crate) rejected_min_tasks: u32,
    /// Controllers' processes restart within half a second.
    pub(crate) quick_restarts: bool,
    /// Probability that a process crashes while it raises an epoch, hands off, claims or writes a record.
    pub(crate) crash_rate: f64,
    pub(crate) answer_gaps: AnswerGaps,
    pub(crate) balancer: Balancer,
    /// Operator settings in addition to the platform's configuration file.
    pub(crate) operators: Option<Operators>,
    pub(crate) batches: batches::Batches,
    /// Gang tasks that ended because other tasks of their gang were missing.
    pub(crate) peer_failures: usize,
    /// When each gang's attempt first had missing tasks.
    pub(crate) incomplete_since: BTreeMap<(String, u64), u64>,
    pub(crate) compound: Compound,
    pub(crate) register: Register,
    pub(crate) client_probes: ClientProbes,
    pub(crate) lost: Lost,
    pub(crate) zones: Zones,
    pub(crate) cancels: Cancels,
    pub(crate) commands: Commands,
    pub(crate) copies: LateCopies,
    /// The recorded effects of the controllers, if a test compares them.
    pub(crate) trace: Option<Trace>,
    pub(crate) log: Vec<String>,
}

impl World {
    pub(crate) fn new(seed: u64, shape: Shape) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let drift = (0..3).map(|_| 1.0 + rng.random_range(-0.0005..0.0005)).collect();
        let mut world = World {
            shape,
            rng,
            now: S,
            serial: 0,
            queue: BTreeMap::new(),
            nodes: vec![None, None, None],
            boot_ids: vec![0; 3],
            started: vec![0; 3],
            restart_at: vec![0; 3],
            drift,
            paused_until: vec![0; 3],
            pause_rate: 0.0,
            limited: [false; 3],
            removed_fields: BTreeMap::new(),
            limits_fall: NEVER,
            checks_orphans: true,
            // A short change history, so that watches miss changes; small pages, so that long lists take several
            // reads. The few keys of the ring always fit into one page.
            store: State::sized(5, (100, 4), LIMITS),
            watches: Vec::new(),
            outage_until: 0,
            no_slow_messages: false,
            partitions: Vec::new(),
            workers: Vec::new(),
            scale_outs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            answers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            order: Vec::new(),
            fans: Vec::new(),
            starts: 0,
            handoff_batches: 0,
            handoff_fault_rate: 0.0,
            rejected_class: None,
            rejected_min_tasks: 0,
            quick_restarts: false,
            crash_rate: 0.0,
            answer_gaps: AnswerGaps::default(),
            balancer: Balancer::default(),
            operators: None,
            batches: batches::Batches::default(),
            peer_failures: 0,
            incomplete_since: BTreeMap::new(),
            compound: Compound::default(),
            register: Register::default(),
            client_probes: ClientProbes::default(),
            lost: Lost::default(),
            zones: Zones::default(),
            cancels: Cancels::default(),
            commands: Commands::default(),
            copies: LateCopies::default(),
            trace: None,
            log: Vec::new(),
        };
        for i in 0..shape.machines {
            world.add_worker("large", ZONES[i % 2], false, 0);
        }
        for i in 0..shape.gpus {
            world.add_worker("gpu", ZONES[i % 2], false, 0);
        }
        world
    }

    pub(crate) fn add_worker(&mut self, kind: &str, zone: &str, spot: bool, boot: u64) -> String {
        let name = format!("i-{:06}", self.workers.len());
        let up_at = self.now + boot;
        self.workers.push(Worker {
            name: name.clone(),
            kind: kind.into(),
            zone: zone.into(),
            spot,
            created_at: self.now,
            up_at,
            unresponsive_until: 0,
            inbound_lost_until: 0,
            outbound_lost_until: 0,
            has_run_tasks: false,
            gone: false,
            dead: false,
            target: self.rng.random_range(0..3),
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_from: up_at,
            in_flight: None,
            next: up_at,
            changed: false,
            tasks: Vec::new(),
        });
        name
    }
}
