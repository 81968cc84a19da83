//! What controllers say to one another, and the links that carry it: framed TCP, each message an
//! `rkyv` archive that is validated on arrival. A message holds all that changed since the state the
//! receiver last said it has, so a lost, repeated or overtaken one costs a delay and nothing else.

use crate::units::{Micros, Resources};
use hazelsaddle_cluster::transport::{self, Framed};
pub use hazelsaddle_cluster::transport::{dial, enqueue, listen};
use rkyv::{Archive, Deserialize, Serialize};

/// One start of one task.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub struct TaskKey {
    /// The job.
    pub job: String,
    /// The task's number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
}

/// What an owner wants of a start that it has placed.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredAction {
    /// Keep room for it, don't start it yet (gangs).
    Hold,
    /// Start it.
    Run,
    /// It was seen on the machine: keep it, never start it anew.
    Keep,
    /// Stop it, giving it this long to save.
    Stop(Micros),
    /// Its end is on record: let the worker forget it.
    Forget,
}

/// A start that an owner has placed on a machine of the receiving home.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct DesiredTask {
    /// Which start.
    pub key: TaskKey,
    /// On which machine.
    pub machine: String,
    /// What it takes.
    pub room: Resources,
    /// What is wanted.
    pub want: DesiredAction,
    /// Priority of the job, higher first.
    pub priority: u8,
    /// Hash of the image's name.
    pub image: u64,
}

/// Where a start stands, as its home sees it.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Room is kept.
    Held,
    /// Accepted; the command goes out with the next answer to the machine.
    Queued,
    /// The command is out; whether it arrived is not yet known.
    InDoubt,
    /// Waiting for its image.
    Fetching,
    /// Waiting for its gang.
    Waiting,
    /// Running.
    Running,
    /// Saving.
    Saving,
    /// Ended.
    Exited(TaskExit),
}

impl TaskPhase {
    /// Whether the worker is known to have had the command.
    pub fn arrived(self) -> bool {
        !matches!(self, TaskPhase::Held | TaskPhase::Queued | TaskPhase::InDoubt)
    }
}

/// How a task ended.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskExit {
    /// Completed.
    Done,
    /// Stopped by command; whether it saved.
    Stopped(bool),
    /// Another task of the gang is gone.
    Peers,
    /// The gang was not complete in time.
    Alone,
    /// Failed.
    Error,
    /// The worker refused it for want of room.
    NoRoom,
    /// The worker has another attempt of it.
    Busy,
    /// The worker knows no such task.
    Unknown,
}

/// A start on a machine of the sending home.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ObservedTask {
    /// Which start.
    pub key: TaskKey,
    /// Where it stands.
    pub phase: TaskPhase,
}

/// What is known of a machine's tasks.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum InventoryState {
    /// It may hold tasks that its home doesn't know of.
    Unconfirmed,
    /// Its tasks are exactly those listed.
    Known,
    /// It is gone for good, with all its tasks.
    Gone,
}

/// A machine in a home's digest, with those of its tasks that the receiver owns.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineStatus {
    /// The machine.
    pub name: String,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is known of its tasks.
    pub standing: InventoryState,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Time until the cloud takes it away, if that was announced; as of sending, like all spans here.
    pub notice: Option<Micros>,
    /// Free room.
    pub free: Resources,
    /// All its room.
    pub total: Resources,
    /// Room taken by tasks of each priority that aren't being stopped.
    pub by_priority: Vec<(u8, Resources)>,
    /// Images that it is likely to have, by the hashes of their names.
    pub images: Vec<u64>,
    /// How many tasks of any owner are on it or accepted for it.
    pub busy: u32,
    /// How long it has been without a task, if it is.
    pub idle: Option<Micros>,
    /// How long it has been silent, if it missed reports.
    pub silent: Option<Micros>,
    /// The receiver's tasks on it.
    pub tasks: Vec<ObservedTask>,
}

/// Tasks of one shape that an owner can't place for want of machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Demand {
    /// What one takes.
    pub room: Resources,
    /// Allowed machine types; empty: any.
    pub kinds: Vec<String>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All of a gang must be in one zone.
    pub one_zone: bool,
    /// Whether spot machines will do.
    pub spot: bool,
    /// How many.
    pub count: u32,
    /// Estimated run time of one.
    pub estimate: Micros,
    /// Priority, higher first.
    pub priority: u8,
    /// How long this work may queue before a machine is worth renting for it.
    pub horizon: Micros,
    /// How many must run at the same time: a gang's size, otherwise one.
    pub together: u32,
}

/// A machine that an owner wants for waiting work: others place nothing of lower priority there.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The machine.
    pub machine: String,
    /// Priority of the work.
    pub priority: u8,
    /// Room it needs there.
    pub need: Resources,
    /// Whether tasks of lower priority are to be stopped for it.
    pub evict: bool,
}

/// Owner to home: what the sender wants on the receiver's machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct DesiredState {
    /// Grows with every such message.
    pub rev: u64,
    /// The receiver's state on which the change builds; 0: this is the whole state.
    pub since: u64,
    /// The starts that are new or changed.
    pub list: Vec<DesiredTask>,
    /// The starts no longer wanted, by machine.
    pub dropped: Vec<(String, TaskKey)>,
}

/// Home to owner: the sender's machines.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct MachineStatusDelta {
    /// Grows with every change of a machine.
    pub seq: u64,
    /// The receiver's state on which the change builds; 0: this is the whole state.
    pub since: u64,
    /// The receiver's latest `rev` that this state takes account of.
    pub rev_seen: u64,
    /// The machines that changed.
    pub machines: Vec<MachineStatus>,
}

/// The body of a frame. What the first version reads, up to `KeepAlive`, must keep its layout: it runs beside
/// this one during an upgrade. New kinds come behind, none larger than the largest of the first form, or all
/// would change. `tests/compat.rs` compares with what the first version wrote.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum Message {
    /// Between owners and homes, in both directions.
    State(DesiredState, MachineStatusDelta),
    /// Owner to decider: what can't be placed, and shapes of jobs seen of late (count 0).
    Demands(Vec<Demand>),
    /// Owner to owners: machines kept for its waiting work.
    Reserve(Vec<Reservation>),
    /// Decider to home: machines to take no new tasks for, and machines the cloud has taken.
    ScalingPlan {
        /// Machines about to be returned.
        drain: Vec<String>,
        /// Machines whose return the cloud has confirmed.
        gone: Vec<String>,
        /// Types (and whether spot) left to work of at least a priority, which fits nowhere else.
        kept: Vec<(String, bool, u8)>,
        /// Machines left to work of at least a priority.
        kept_machines: Vec<(String, u8)>,
    },
    /// A user's request passed to the owner.
    ForwardRequest {
        /// The sender's number for it.
        id: u64,
        /// The request.
        request: UserRequest,
    },
    /// The owner's answer to it.
    ForwardResponse {
        /// The number it was asked under.
        id: u64,
        /// The answer.
        reply: Reply,
    },
    /// To a home: machines of its that turned up at the sender and were sent on.
    MisroutedHeartbeats(Vec<String>),
    /// Only what every frame says: epoch and clocks.
    KeepAlive,
    /// From form 2 on: to the owner of jobs that the sender's waiting jobs need, how urgent those are.
    /// Sent only to processes that read form 2: the others would drop the link.
    InheritedPriorities(Vec<(String, u8)>),
    /// From form 3 on: what the sender knew of jobs and machines that are the receiver's in this epoch and were the
    /// sender's in the one directly before it.
    Handoff {
        /// The sender's number for it.
        number: u64,
        /// What it holds.
        parcel: HandoffBatch,
    },
    /// From form 3 on: the sender has these parcels of the receiver's.
    HandoffAck(Vec<u64>),
    /// From form 3 on, to a witness: what the sender alone decides and alone carries out.
    ReplicateStarts {
        /// Grows with every such message.
        rev: u64,
        /// The receiver's state on which the change builds; 0: this is the whole state.
        since: u64,
        /// Items that are new.
        added: Vec<ReplicatedItem>,
        /// Items that are no more.
        dropped: Vec<ReplicatedItem>,
    },
    /// From form 3 on: the sender holds what that message of the receiver's said.
    StartsReplicated(u64),
    /// From form 4 on, where operators have switched loans on: what the sender's jobs could lend, and what they lack.
    Lending(Lending),
}

/// What an owner's jobs run on GPUs beyond their teams' guarantees, and what work within a guarantee lacks.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Lending {
    /// Jobs some of whose room could be had.
    pub jobs: Vec<Lendable>,
    /// By team: room that its work within its guarantee lacks, and for how long it has.
    pub lacks: Vec<(String, Resources, Micros)>,
}

/// A job some of whose room could be had.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Lendable {
    /// The job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// Its rank, without what a guarantee adds.
    pub rank: u8,
    /// Whether it is a gang, which is stopped whole.
    pub gang: bool,
    /// What each task takes.
    pub room: Resources,
    /// Its tasks.
    pub tasks: Vec<LendableTask>,
}

/// One task of such a job.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct LendableTask {
    /// Its number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// Run time that would be lost, in milliseconds.
    pub lost_ms: u64,
    /// Whether it must be left alone for now.
    pub fixed: bool,
}

/// What would be lost with a controller that owns a job and is the home of the machine that runs it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rkyv(derive(Debug))]
pub enum ReplicatedItem {
    /// Every start of this job that may be alive on the sender's own machines is among the items.
    Job(String),
    /// A start that may be on a machine.
    Start {
        /// Which start.
        key: TaskKey,
        /// The machine.
        machine: String,
        /// Its zone.
        zone: String,
    },
}

/// What a controller that was a member of the epoch before heard of another that is there no more.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ReplicatedStarts {
    /// The one that is there no more.
    pub of: u32,
    /// The last epoch of which it was a member.
    pub epoch: u64,
    /// That epoch's members. Only together do they hold all that was witnessed.
    pub members: Vec<u32>,
    /// The epoch in which the sender last heard of it, 0: never.
    pub heard_in: u64,
    /// That epoch's members.
    pub heard_with: Vec<u32>,
    /// The epoch from which on the sender has taken up every one, and in each of which starts had to be witnessed.
    pub since: u64,
    /// What was heard of jobs that are the receiver's now.
    pub items: Vec<ReplicatedItem>,
    /// Jobs that the sender accepted in that last epoch in its place: nobody can have started them before.
    pub fresh: Vec<String>,
}

/// Jobs and machines handed over. The sender commands none of them any more.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct HandoffBatch {
    /// Jobs, for their new owner.
    pub jobs: Vec<JobHandoff>,
    /// Sets of machines that may hold tasks of handed jobs unknown to the sender.
    pub doubts: Vec<Vec<String>>,
    /// Machines, for their new home.
    pub machines: Vec<MachineHandoff>,
    /// What others had vouched for.
    pub testimony: Vec<ReplicatedStarts>,
    /// Machines of the receiver's that the cloud has taken back for certain: pages of the roll name them on.
    pub gone: Vec<String>,
}

/// A job as its owner of the epoch before knew it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct JobHandoff {
    /// The job.
    pub id: String,
    /// Its completed tasks, also those not yet on record, as ranges.
    pub done: String,
    /// Starts that may be on a machine.
    pub starts: Vec<StartHandoff>,
    /// Which of the parcel's sets of machines may hold other tasks of it; None: no machine does.
    pub doubt: Option<u32>,
}

/// A start that may be on a machine, or on its way there.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct StartHandoff {
    /// The task's number.
    pub index: u32,
    /// Which start.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Where it stood, if its home had said.
    pub phase: Option<TaskPhase>,
}

/// A machine as its home of the epoch before knew it.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineHandoff {
    /// The machine.
    pub name: String,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Where it takes direct commands.
    pub addr: String,
    /// Whether its name is on record.
    pub on_record: bool,
    /// Whether its tasks were exactly those listed here, or on their way with an answer to the latest report.
    pub known: bool,
    /// Session and number of its latest report.
    pub last: (u64, u64),
    /// How long ago, as of packing, the latest report came; if it is not known: how long ago nobody could have
    /// answered it any more.
    pub silent: Micros,
    /// Time until the cloud takes it away, if that was announced.
    pub notice: Option<Micros>,
    /// How long it has been without a task, if it is.
    pub idle: Option<Micros>,
    /// Images that it is likely to have.
    pub images: Vec<u64>,
    /// Its tasks.
    pub tasks: Vec<TaskHandoff>,
}

/// A task on a handed machine.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct TaskHandoff {
    /// Which start.
    pub key: TaskKey,
    /// What it takes, if its owner has said.
    pub room: Option<Resources>,
    /// Priority of its job.
    pub priority: u8,
    /// Hash of its image's name.
    pub image: u64,
    /// Where it stands.
    pub phase: TaskPhase,
    /// What its owner wants.
    pub want: Option<DesiredAction>,
    /// Session and number of the report with whose answer the start went out.
    pub sent_to: (u64, u64),
}

/// A user's request.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub enum UserRequest {
    /// Submit; the checked body as the user sent it, and the job's id.
    Submit(String, String),
    /// Query.
    Query(String),
    /// Withdraw.
    Withdraw(String),
    /// From form 4 on: why it waits.
    Why(String),
    /// From form 4 on: whether a task's attempt may write, as `ATTEMPT/TASK`. Text, so that the older kinds keep
    /// their layout.
    Permit(String, String),
}

impl UserRequest {
    /// What it asks for, for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            UserRequest::Submit(..) => "submit",
            UserRequest::Query(_) => "query",
            UserRequest::Withdraw(_) => "withdraw",
            UserRequest::Why(_) => "why",
            UserRequest::Permit(..) => "permit",
        }
    }
    /// The job it is about.
    pub fn job(&self) -> &str {
        match self {
            UserRequest::Submit(id, _)
            | UserRequest::Query(id)
            | UserRequest::Withdraw(id)
            | UserRequest::Why(id)
            | UserRequest::Permit(id, _) => id,
        }
    }
}

/// An answer to a user or worker.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u32>,
}

impl Reply {
    /// An answer with a body.
    pub fn json(status: u16, body: &serde_json::Value) -> Reply {
        Reply { status, body: body.to_string(), retry_after: None }
    }
    /// An error with its reason.
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": reason }))
    }
    /// Not now; come back.
    pub fn later(reason: &str) -> Reply {
        Reply { retry_after: Some(1), ..Reply::error(503, reason) }
    }
}

/// What travels between controllers. Every frame also confirms to the receiver which epoch the
/// sender knows, and how much of the receiver's clock it has heard.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Frame {
    /// The sender's number.
    pub from: u32,
    /// The epoch the sender has adopted.
    pub epoch: u64,
    /// Its members, by number.
    pub members: Vec<u32>,
    /// The sender's steady clock.
    pub clock: Micros,
    /// Which process the sender is.
    pub boot: u64,
    /// The latest clock reading of the receiver that the sender has had.
    pub echo: Micros,
    /// Which process of the receiver that reading came from: a restarted one may count anew.
    pub echo_boot: u64,
    /// The `seq` of the receiver's digest that the sender holds in this epoch; 0: none yet.
    pub digest_seen: u64,
    /// The rest.
    pub body: Message,
}

impl Frame {
    /// The frame as bytes, with its length in front.
    pub fn encode(&self) -> Option<Vec<u8>> {
        transport::encode(self)
    }
    /// Reads the bytes behind the length; None if they are no valid frame.
    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        transport::decode(bytes)
    }
}

impl Framed for Frame {
    fn encode(&self) -> Option<Vec<u8>> {
        Frame::encode(self)
    }
    fn decode(bytes: &[u8]) -> Option<Frame> {
        Frame::decode(bytes)
    }
    /// What holds all that changed since the state which its receiver said it has covers what was said before it, and so
    /// does a list that is sent whole. Parcels, requests, answers and strays are said once.
    fn replaces(&self, older: &Frame) -> bool {
        use Message::*;
        let newer = self.boot == older.boot && self.epoch >= older.epoch;
        newer
            && match (&self.body, &older.body) {
                (State(w, d), State(old, from)) => {
                    self.epoch > older.epoch || (w.rev >= old.rev && d.seq >= from.seq)
                }
                (ReplicateStarts { rev, .. }, ReplicateStarts { rev: old, .. })
                | (StartsReplicated(rev), StartsReplicated(old)) => self.epoch > older.epoch || rev >= old,
                (Demands(_), Demands(_))
                | (Reserve(_), Reserve(_))
                | (InheritedPriorities(_), InheritedPriorities(_)) => true,
                (ScalingPlan { .. }, ScalingPlan { .. }) | (_, KeepAlive) => true,
                _ => false,
            }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    #[test]
    fn frames_survive_the_trip_and_broken_ones_are_refused() {
        let key = TaskKey { job: "wk-1".into(), index: 3, attempt: 9 };
        let f = Frame {
            from: 1,
            epoch: 7,
            members: vec![0, 1],
            clock: Micros(5),
            boot: 1,
            echo: Micros(4),
            echo_boot: 2,
            digest_seen: 3,
            body: Message::State(
                DesiredState::default(),
                MachineStatusDelta {
                    seq: 2,
                    since: 1,
                    rev_seen: 1,
                    machines: vec![MachineStatus {
                        name: "i-1".into(),
                        kind: "k".into(),
                        zone: "z".into(),
                        spot: true,
                        standing: InventoryState::Known,
                        open: true,
                        notice: None,
                        free: Resources::need(1.0, 0.0, 2.0),
                        total: Resources::need(2.0, 0.0, 4.0),
                        by_priority: vec![(1, Resources::need(1.0, 0.0, 2.0))],
                        images: vec![7],
                        busy: 1,
                        idle: Some(Micros(0)),
                        silent: None,
                        tasks: vec![ObservedTask { key, phase: TaskPhase::Exited(TaskExit::Stopped(true)) }],
                    }],
                },
            ),
        };
        let bytes = f.encode().unwrap();
        assert_eq!(Frame::decode(&bytes[4..]), Some(f));
        let mut rng = StdRng::seed_from_u64(1);
        for _ in 0..2000 {
            let mut broken = bytes[4..].to_vec();
            for _ in 0..rng.random_range(1..6) {
                let at = rng.random_range(0..broken.len());
                broken[at] = rng.random();
            }
            broken.truncate(rng.random_range(0..=broken.len()));
            let _ = Frame::decode(&broken);
        }
        assert_eq!(Frame::decode(&[]), None);
    }

    /// What is said once must not give way to a newer frame, and nothing to an older one.
    #[test]
    fn a_frame_gives_way_only_to_one_that_says_it_again() {
        let frame = |epoch: u64, boot: u64, body: Message| Frame {
            from: 1,
            epoch,
            members: Vec::new(),
            clock: Micros(5),
            boot,
            echo: Micros(4),
            echo_boot: 2,
            digest_seen: 3,
            body,
        };
        let state = |rev, seq| {
            let digest = MachineStatusDelta { seq, ..MachineStatusDelta::default() };
            Message::State(DesiredState { rev, ..DesiredState::default() }, digest)
        };
        let vouch = |rev| Message::ReplicateStarts { rev, since: 0, added: Vec::new(), dropped: Vec::new() };
        let old = frame(7, 1, state(5, 5));
        assert!(frame(7, 1, state(6, 5)).replaces(&old) && frame(8, 1, state(1, 1)).replaces(&old));
        assert!(!frame(7, 1, state(4, 6)).replaces(&old) && !frame(6, 1, state(9, 9)).replaces(&old));
        assert!(!frame(7, 2, state(6, 6)).replaces(&old), "another process counts anew");
        assert!(frame(7, 1, vouch(3)).replaces(&frame(7, 1, vouch(2))));
        assert!(!frame(7, 1, vouch(2)).replaces(&frame(7, 1, vouch(3))));
        let once = [
            Message::Handoff { number: 1, parcel: HandoffBatch::default() },
            Message::HandoffAck(vec![1]),
            Message::MisroutedHeartbeats(vec!["i-1".into()]),
            Message::ForwardResponse { id: 1, reply: Reply::later("x") },
            Message::ForwardRequest { id: 1, request: UserRequest::Query("wk-1".into()) },
        ];
        for body in once {
            let again = frame(8, 1, body.clone());
            assert!(!again.replaces(&frame(7, 1, body.clone())), "{body:?}");
            assert!(!frame(8, 1, state(9, 9)).replaces(&frame(7, 1, body)));
        }
    }
}
