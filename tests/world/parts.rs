//! What a world consists of.

use super::*;

#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) job: String,
    pub(crate) index: u32,
    pub(crate) attempt: u64,
    pub(crate) state: &'static str,
    pub(crate) why: Option<&'static str>,
    pub(crate) saved: bool,
    pub(crate) until: u64,
}

impl Task {
    /// Whether it counts as being on its machine.
    pub(crate) fn on(&self) -> bool {
        matches!(self.state, "waiting" | "running" | "flushing")
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) rented: u64,
    pub(crate) up_at: u64,
    pub(crate) hung_until: u64,
    /// Until when answers and direct commands to it are lost.
    pub(crate) deaf_until: u64,
    /// Until when it reaches no controller.
    pub(crate) mute_until: u64,
    /// It was given a task once.
    pub(crate) begun: bool,
    pub(crate) gone: bool,
    pub(crate) dead: bool,
    pub(crate) target: usize,
    pub(crate) session: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    /// When the last answered report was sent.
    pub(crate) lease_from: u64,
    /// Report in flight: its number and when it was sent.
    pub(crate) flight: Option<(u64, u64)>,
    pub(crate) next: u64,
    pub(crate) changed: bool,
    pub(crate) tasks: Vec<Task>,
}

#[derive(Debug)]
pub(crate) enum What {
    Controller(usize, u64, Event),
    Effects(usize, u64, Vec<Effect>),
    /// A request reaches the state service; its answer takes so much longer than usual, or is not waited for.
    StoreApply(usize, u64, u64, StoreRequest, Option<u64>),
    /// A transaction that was sent then and whose answer nobody waits for.
    LateWrite(usize, u64, StoreRequest),
    /// A copy of a worker's report that was sent then, to that controller.
    LateReport(usize, usize, u64, Heartbeat),
    /// A change of the state service whose sender gets no answer.
    Unanswered(Unanswered),
    /// A copy of a worker's report that was kept for the next leader, to that controller.
    KeptReport(usize, usize, Heartbeat),
    /// A process that was told to leave ends, and is back at once.
    End(usize, u64),
    Cloud(usize, u64, CloudRequest),
    /// A direct command, its token; and one that was held up on its way.
    Greet(usize, u64, u64, FencingProbe),
    LateCommand(usize, u64, u64, FencingProbe),
    WorkerAnswer(usize, u64, Reply),
    UserAnswer(u64, Reply),
    /// A user who looks closely sends a request.
    Look(Look),
    /// The user of a job asks to cancel it.
    CallOff(String),
    /// A controller's process starts, unless it did before.
    Back(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Known {
    Nothing,
    Accepted,
    Done,
    Cancelled,
}

pub(crate) struct UserJob {
    pub(crate) body: String,
    pub(crate) spec: JobSpec,
    pub(crate) run: u64,
    /// So much longer than its forerunner each task of it runs, unless they are a gang.
    pub(crate) apart: u64,
    pub(crate) known: Known,
    pub(crate) cancel_asked: bool,
    /// Submitted with a mistake: it fails on every machine until its user cancels it.
    pub(crate) mistaken: bool,
    pub(crate) cancelled_at: Option<u64>,
    pub(crate) accepted_at: Option<u64>,
    /// When its first task ran.
    pub(crate) begun_at: Option<u64>,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) next: u64,
    pub(crate) submitted: bool,
    /// It was refused for good: its release had closed.
    pub(crate) refused: bool,
    /// Its latest request: a user asks anew only after giving up on the last answer.
    pub(crate) latest: u64,
}

pub(crate) enum Ticket {
    Worker(usize, u64),
    User(String, char),
    /// A merge asks whether it may write.
    Writer(batches::Question),
    /// A test asks.
    Asked,
    /// A user looks closely.
    Look(Look),
    /// Somebody polls a job through a controller, since when.
    Poll(String, usize, u64),
    /// The load balancer asks whether a controller is ready.
    Probe(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    Controller(usize),
    Store,
    Workers,
}

pub(crate) struct World {
    pub(crate) shape: Shape,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) serial: u64,
    pub(crate) queue: BTreeMap<(u64, u64), What>,
    pub(crate) nodes: Vec<Option<Controller>>,
    pub(crate) boots: Vec<u64>,
    pub(crate) started: Vec<u64>,
    pub(crate) back_at: Vec<u64>,
    pub(crate) drift: Vec<f64>,
    pub(crate) hung: Vec<u64>,
    /// How likely it is that a controller stands still between deciding and doing.
    pub(crate) stalls: f64,
    /// Which controllers are limited to what the first version reads and writes. The binary of that
    /// version is not here: these run this version's code, and what the first would not read or write is
    /// taken out on the way. What it would do wrong in other ways only the bench can show.
    pub(crate) limited: [bool; 3],
    /// What was taken out of records before a limited controller read them.
    pub(crate) hidden: BTreeMap<String, Value>,
    /// When the state service's limits fall.
    pub(crate) limits_fall: u64,
    /// Whether a job that needs a cancelled one must end in time: not while its owner can't know.
    pub(crate) tells_orphans: bool,
    pub(crate) store: State,
    /// Open watches: controller, process, request, prefix, revision and when they time out.
    pub(crate) watches: Vec<(usize, u64, u64, String, u64, u64)>,
    pub(crate) outage_until: u64,
    /// No message takes longer than usual, but for cuts.
    pub(crate) prompt: bool,
    pub(crate) cuts: Vec<(End, End, u64, bool)>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) rentals: BTreeMap<String, Vec<String>>,
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    /// What tests that asked were told.
    pub(crate) answers: BTreeMap<u64, Reply>,
    pub(crate) jobs: BTreeMap<String, UserJob>,
    /// Their ids in the order in which users thought of them.
    pub(crate) order: Vec<String>,
    pub(crate) starts: usize,
    /// Parcels that were sent, and how likely it is that one, or the word that it came, is lost, doubled or late.
    pub(crate) parcels: usize,
    pub(crate) unruly: f64,
    /// A class whose starts the workers refuse, to show that the bar of half a class can fail.
    pub(crate) starved: Option<&'static str>,
    /// Only its jobs of at least so many tasks.
    pub(crate) starved_from: u32,
    /// Controllers' processes that end are back within half a second.
    pub(crate) quick: bool,
    /// How likely it is that a process ends while it raises an epoch, hands over, claims or writes a record.
    pub(crate) brittle: f64,
    pub(crate) silence: Silence,
    pub(crate) balancer: Balancer,
    /// What operators have set beyond the platform's file.
    pub(crate) operators: Option<Operators>,
    pub(crate) batches: batches::Batches,
    /// Gang tasks that ended because others of their gang were gone.
    pub(crate) spoilt: usize,
    /// Since when a gang's attempt has lacked tasks.
    pub(crate) lacks: BTreeMap<(String, u64), u64>,
    pub(crate) compound: Compound,
    pub(crate) register: Register,
    pub(crate) looks: Looks,
    pub(crate) lost: Lost,
    pub(crate) zones: Zones,
    pub(crate) cancels: Cancels,
    pub(crate) commands: Commands,
    /// What controllers ask for, if a test wants to compare it.
    pub(crate) trace: Option<Trace>,
    pub(crate) log: Vec<String>,
}

impl World {
    pub(crate) fn new(seed: u64, shape: Shape) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let drift = (0..3).map(|_| 1.0 + rng.random_range(-0.0005..0.0005)).collect();
        let mut w = World {
            shape,
            rng,
            now: S,
            serial: 0,
            queue: BTreeMap::new(),
            nodes: vec![None, None, None],
            boots: vec![0; 3],
            started: vec![0; 3],
            back_at: vec![0; 3],
            drift,
            hung: vec![0; 3],
            stalls: 0.0,
            limited: [false; 3],
            hidden: BTreeMap::new(),
            limits_fall: NEVER,
            tells_orphans: true,
            // Few changes kept, so that watches miss some; small pages, so that much is read in several. The ring's
            // few keys always fit into one.
            store: State::sized(5, (100, 4), LIMITS),
            watches: Vec::new(),
            outage_until: 0,
            prompt: false,
            cuts: Vec::new(),
            workers: Vec::new(),
            rentals: BTreeMap::new(),
            tickets: BTreeMap::new(),
            answers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            order: Vec::new(),
            starts: 0,
            parcels: 0,
            unruly: 0.0,
            starved: None,
            starved_from: 0,
            quick: false,
            brittle: 0.0,
            silence: Silence::default(),
            balancer: Balancer::default(),
            operators: None,
            batches: batches::Batches::default(),
            spoilt: 0,
            lacks: BTreeMap::new(),
            compound: Compound::default(),
            register: Register::default(),
            looks: Looks::default(),
            lost: Lost::default(),
            zones: Zones::default(),
            cancels: Cancels::default(),
            commands: Commands::default(),
            trace: None,
            log: Vec::new(),
        };
        for i in 0..shape.machines {
            w.add_worker("large", ZONES[i % 2], false, 0);
        }
        for i in 0..shape.gpus {
            w.add_worker("gpu", ZONES[i % 2], false, 0);
        }
        w
    }

    pub(crate) fn add_worker(&mut self, kind: &str, zone: &str, spot: bool, boot: u64) -> String {
        let name = format!("i-{:06}", self.workers.len());
        let up_at = self.now + boot;
        self.workers.push(Worker {
            name: name.clone(),
            kind: kind.into(),
            zone: zone.into(),
            spot,
            rented: self.now,
            up_at,
            hung_until: 0,
            deaf_until: 0,
            mute_until: 0,
            begun: false,
            gone: false,
            dead: false,
            target: self.rng.random_range(0..3),
            session: 1,
            seq: 0,
            token: 0,
            lease_from: up_at,
            flight: None,
            next: up_at,
            changed: false,
            tasks: Vec::new(),
        });
        name
    }
}
