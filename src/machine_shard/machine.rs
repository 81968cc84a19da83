//! The state that a machine's leader keeps of it: what it reported, which starts it holds, and whether it accepts more.

use super::MachineRecord;
use super::fencing_probe::ProbeState;
use super::job_leader_liveness::JobLeaderEvidence;
use crate::peer::{DesiredAction, DesiredTask, InventoryState, TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use crate::wire::workers::HeartbeatId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of images recorded per machine.
const MAX_IMAGES: usize = 32;
/// After this many heartbeats in a row that do not carry the epoch's fencing token, a machine counts as not receiving
/// responses and gets no tasks: the response to the first of these heartbeats carried the token.
const MAX_STALE_TOKEN_HEARTBEATS: u32 = 3;

/// A task start on a machine.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    /// Resources that the task needs; None until its job leader has sent them.
    pub(super) resources: Option<Resources>,
    pub(super) priority: u8,
    pub(super) image: u64,
    pub(super) phase: TaskPhase,
    pub(super) desired: Option<DesiredAction>,
    /// The heartbeat whose response carried the start command.
    pub(super) sent_with: HeartbeatId,
    /// Evidence that the job has not been cancelled, which decides how long the machine's lease may be renewed.
    pub(super) job_leader_evidence: JobLeaderEvidence,
}

impl TaskEntry {
    /// Creates an entry for a start that was reported or accepted, before its job leader's desired state is applied.
    pub(super) fn new(phase: TaskPhase, job_leader_evidence: JobLeaderEvidence) -> TaskEntry {
        TaskEntry {
            resources: None,
            priority: 0,
            image: 0,
            phase,
            desired: None,
            sent_with: HeartbeatId::default(),
            job_leader_evidence,
        }
    }

    /// Applies the job leader's desired state of this task.
    pub(super) fn apply_desired(&mut self, desired: &DesiredTask) {
        self.job_leader_evidence.mark_desired();
        self.resources = Some(desired.resources);
        self.priority = desired.priority;
        self.image = desired.image;
        self.desired = Some(desired.action);
    }

    /// Whether the start command was sent, so that the task may be on the machine.
    pub(super) fn can_be_on_machine(&self) -> bool {
        !matches!(self.phase, TaskPhase::Held | TaskPhase::Queued)
    }

    /// Whether the task has not ended.
    pub(super) fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Exited(_))
    }

    /// Whether the task is being stopped.
    fn is_stopping(&self) -> bool {
        matches!(self.desired, Some(DesiredAction::Stop(_)))
    }

    /// Whether the task's image is present on the machine.
    fn has_image(&self) -> bool {
        self.image != 0 && matches!(self.phase, TaskPhase::Running | TaskPhase::Waiting | TaskPhase::Saving)
    }
}

/// Whether the machine's name is stored in the state store, so that a new leader waits for the machine after a
/// failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Registration {
    Missing,
    Requested,
    Stored,
}

/// The state of one machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) record: MachineRecord,
    pub(super) registration: Registration,
    pub(super) inventory: InventoryState,
    pub(super) last_heartbeat: HeartbeatId,
    /// When the last heartbeat arrived; for a machine that has sent none, when this controller began to lead it.
    pub(super) last_heartbeat_at: Micros,
    pub(super) has_sent_heartbeat: bool,
    /// For a machine whose task list is not confirmed: the latest time at which another controller can have responded
    /// to it. None: as the present epoch shows. A machine whose leader does not change keeps the bound of the epoch
    /// in which that leader began to lead it; otherwise its lease would be counted anew in each epoch.
    pub(super) others_responded_until: Option<Micros>,
    pub(super) probes: ProbeState,
    /// All incarnations up to this one have certainly ended.
    pub(super) ended_incarnation: u64,
    /// The first epoch in which this controller can have responded to the machine, since other controllers last could.
    pub(super) led_since_epoch: u64,
    /// When the latest heartbeat arrived, if that heartbeat shows that the machine has received no response from this
    /// controller.
    pub(super) no_response_received_at: Option<Micros>,
    /// Number of heartbeats in a row that did not carry the fencing token of the epoch in which they arrived.
    pub(super) stale_token_heartbeats: u32,
    /// Number of responses in a row that carried starts and were lost.
    pub(super) lost_responses: u32,
    /// The machine gets no tasks until this time because responses were lost.
    pub(super) no_starts_until: Micros,
    /// When the cloud terminates the machine, if that was announced.
    pub(super) termination_at: Option<Micros>,
    pub(super) tasks: BTreeMap<TaskKey, TaskEntry>,
    pub(super) is_draining: bool,
    pub(super) idle_since: Option<Micros>,
    /// Whether the machine accepted new tasks when that was last checked.
    pub(super) was_schedulable: bool,
    /// Images that tasks have run from, the latest last.
    pub(super) images: Vec<u64>,
    /// Revision of the latest change of this machine.
    pub(super) revision: u64,
}

impl Machine {
    /// Creates a machine that this controller began to lead just now; its task list is not confirmed.
    pub(super) fn new(now: Micros, led_since_epoch: u64, record: MachineRecord) -> Machine {
        Machine {
            record,
            registration: Registration::Missing,
            inventory: InventoryState::Unconfirmed,
            last_heartbeat: HeartbeatId::default(),
            last_heartbeat_at: now,
            has_sent_heartbeat: false,
            others_responded_until: None,
            probes: ProbeState::default(),
            ended_incarnation: 0,
            led_since_epoch,
            no_response_received_at: None,
            stale_token_heartbeats: 0,
            lost_responses: 0,
            no_starts_until: Micros(0),
            termination_at: None,
            tasks: BTreeMap::new(),
            is_draining: false,
            idle_since: None,
            was_schedulable: false,
            images: Vec::new(),
            revision: 0,
        }
    }

    /// Returns the free resources; None while the needs of some task are unknown.
    pub(super) fn free(&self, total: Resources) -> Option<Resources> {
        let mut free = total;
        for task in self.tasks.values().filter(|task| task.is_live()) {
            free = free - task.resources?;
        }
        Some(free)
    }

    /// Returns the resources used at each priority by tasks that are not being stopped.
    pub(super) fn used_by_priority(&self) -> Vec<(u8, Resources)> {
        let mut sums: BTreeMap<u8, Resources> = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.is_live() && !task.is_stopping()) {
            let sum = sums.entry(task.priority).or_default();
            *sum = *sum + task.resources.unwrap_or_default();
        }
        sums.into_iter().collect()
    }

    /// Returns the number of tasks that have not ended.
    pub(super) fn count_live_tasks(&self) -> usize {
        self.tasks.values().filter(|task| task.is_live()).count()
    }

    /// Whether the machine accepts new tasks. One that has sent no heartbeat for `silence_limit` may be down.
    pub(super) fn is_schedulable(&self, now: Micros, silence_limit: Micros) -> bool {
        let is_receiving_responses =
            self.stale_token_heartbeats < MAX_STALE_TOKEN_HEARTBEATS && now >= self.no_starts_until;
        !self.is_draining
            && self.termination_at.is_none()
            && self.has_sent_heartbeat
            && is_receiving_responses
            && now.since(self.last_heartbeat_at) < silence_limit
    }

    /// Whether the task list is complete and the name is stored: only then are tasks started on the machine.
    pub(super) fn is_ready_for_starts(&self) -> bool {
        self.inventory == InventoryState::Known && self.registration == Registration::Stored
    }

    /// Records the images of running tasks. Returns whether any of them is new.
    pub(super) fn record_images(&mut self) -> bool {
        let present: BTreeSet<u64> =
            self.tasks.values().filter(|task| task.has_image()).map(|task| task.image).collect();
        let mut changed = false;
        for image in present {
            if !self.images.contains(&image) {
                self.images.push(image);
                changed = true;
            }
        }
        let surplus = self.images.len().saturating_sub(MAX_IMAGES);
        self.images.drain(..surplus);
        changed
    }
}
