//! One machine as its leader knows it: what it reported, which starts it holds, and whether it takes more.

use super::MachineRecord;
use super::fencing_probe::ProbeState;
use super::owner_liveness::OwnerBasis;
use crate::peer::{DesiredAction, DesiredTask, InventoryState, TaskKey, TaskPhase};
use crate::units::{Micros, Resources};
use crate::wire::workers::HeartbeatId;
use std::collections::{BTreeMap, BTreeSet};

/// Images remembered a machine.
const IMAGES: usize = 32;
/// A machine with so many heartbeats in a row that do not show the epoch's token receives no responses, and gets no
/// tasks: the response to the first of them brought the token.
const STALE_TOKEN_HEARTBEATS: u32 = 3;

/// A start on a machine.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    /// None until the job's leader has said what the task takes.
    pub(super) resources: Option<Resources>,
    pub(super) priority: u8,
    pub(super) image: u64,
    pub(super) phase: TaskPhase,
    pub(super) desired: Option<DesiredAction>,
    /// The heartbeat whose response carried the start.
    pub(super) sent_with: HeartbeatId,
    /// How long the machine may be answered on behalf of the job's leader.
    pub(super) owner_basis: OwnerBasis,
}

impl TaskEntry {
    /// A start that was seen or accepted, before anything is known of what its job's leader wants.
    pub(super) fn new(phase: TaskPhase, owner_basis: OwnerBasis) -> TaskEntry {
        TaskEntry {
            resources: None,
            priority: 0,
            image: 0,
            phase,
            desired: None,
            sent_with: HeartbeatId::default(),
            owner_basis,
        }
    }

    /// Takes over what the job's leader says of this very task.
    pub(super) fn apply_desired(&mut self, desired: &DesiredTask) {
        self.owner_basis.mark_named();
        self.resources = Some(desired.resources);
        self.priority = desired.priority;
        self.image = desired.image;
        self.desired = Some(desired.action);
    }

    /// Whether the start has gone out, so that the task may be on the machine.
    pub(super) fn may_be_on_machine(&self) -> bool {
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

    /// Whether the task's image is present on its machine.
    fn has_image(&self) -> bool {
        self.image != 0 && matches!(self.phase, TaskPhase::Running | TaskPhase::Waiting | TaskPhase::Saving)
    }
}

/// Whether the store has a machine's name, so that after a failover it is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Registration {
    Missing,
    Requested,
    Stored,
}

/// All that is known of one machine.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) record: MachineRecord,
    pub(super) registration: Registration,
    pub(super) inventory: InventoryState,
    pub(super) last_heartbeat: HeartbeatId,
    /// When the last heartbeat came; for a machine that never sent one, when it became ours.
    pub(super) heard_at: Micros,
    pub(super) has_reported: bool,
    /// While its tasks are not known: when at the latest another controller can have answered it. None: as the present
    /// epoch says. A machine that stays ours keeps the bound of the epoch in which it became ours, or its lease would
    /// begin anew with each epoch.
    pub(super) others_answered_until: Option<Micros>,
    pub(super) probes: ProbeState,
    /// Incarnations up to this one have certainly ended.
    pub(super) ended_incarnation: u64,
    /// The first epoch as whose leader we can have answered it since others last could.
    pub(super) led_since_epoch: u64,
    /// When its latest heartbeat came, if that shows that it has received no response of ours.
    pub(super) unanswered_at: Option<Micros>,
    /// Heartbeats in a row that do not show the token of the epoch they came in.
    pub(super) stale_token_heartbeats: u32,
    /// Responses with starts that were lost in a row.
    pub(super) lost_responses: u32,
    /// Until when it gets no tasks because of lost responses.
    pub(super) closed_until: Micros,
    /// When the cloud takes it, if that was announced.
    pub(super) termination_at: Option<Micros>,
    pub(super) tasks: BTreeMap<TaskKey, TaskEntry>,
    pub(super) is_draining: bool,
    pub(super) idle_since: Option<Micros>,
    /// Whether it took new tasks when that was last looked at.
    pub(super) was_schedulable: bool,
    /// Images that tasks have run from, the latest last.
    pub(super) images: Vec<u64>,
    /// The change that it was last touched by.
    pub(super) revision: u64,
}

impl Machine {
    /// A machine that became ours just now; its tasks are not known.
    pub(super) fn new(now: Micros, led_since_epoch: u64, record: MachineRecord) -> Machine {
        Machine {
            record,
            registration: Registration::Missing,
            inventory: InventoryState::Unconfirmed,
            last_heartbeat: HeartbeatId::default(),
            heard_at: now,
            has_reported: false,
            others_answered_until: None,
            probes: ProbeState::default(),
            ended_incarnation: 0,
            led_since_epoch,
            unanswered_at: None,
            stale_token_heartbeats: 0,
            lost_responses: 0,
            closed_until: Micros(0),
            termination_at: None,
            tasks: BTreeMap::new(),
            is_draining: false,
            idle_since: None,
            was_schedulable: false,
            images: Vec::new(),
            revision: 0,
        }
    }

    /// Free resources; None while some task's needs are unknown.
    pub(super) fn free(&self, total: Resources) -> Option<Resources> {
        let mut free = total;
        for task in self.tasks.values().filter(|task| task.is_live()) {
            free = free - task.resources?;
        }
        Some(free)
    }

    /// Resources taken by tasks of each priority that are not being stopped.
    pub(super) fn used_by_priority(&self) -> Vec<(u8, Resources)> {
        let mut sums: BTreeMap<u8, Resources> = BTreeMap::new();
        for task in self.tasks.values().filter(|task| task.is_live() && !task.is_stopping()) {
            let sum = sums.entry(task.priority).or_default();
            *sum = *sum + task.resources.unwrap_or_default();
        }
        sums.into_iter().collect()
    }

    /// How many tasks have not ended.
    pub(super) fn live_tasks(&self) -> usize {
        self.tasks.values().filter(|task| task.is_live()).count()
    }

    /// Whether it takes new tasks. One that has been silent for `silence_limit` may be dead.
    pub(super) fn is_schedulable(&self, now: Micros, silence_limit: Micros) -> bool {
        let receives_responses =
            self.stale_token_heartbeats < STALE_TOKEN_HEARTBEATS && now >= self.closed_until;
        !self.is_draining
            && self.termination_at.is_none()
            && self.has_reported
            && receives_responses
            && now.since(self.heard_at) < silence_limit
    }

    /// Whether its tasks are known and its name is stored: only then is anything started on it.
    pub(super) fn is_ready_for_starts(&self) -> bool {
        self.inventory == InventoryState::Known && self.registration == Registration::Stored
    }

    /// Notes the images of tasks that run. Returns whether any is new.
    pub(super) fn remember_images(&mut self) -> bool {
        let present: BTreeSet<u64> =
            self.tasks.values().filter(|task| task.has_image()).map(|task| task.image).collect();
        let mut changed = false;
        for image in present {
            if !self.images.contains(&image) {
                self.images.push(image);
                changed = true;
            }
        }
        let surplus = self.images.len().saturating_sub(IMAGES);
        self.images.drain(..surplus);
        changed
    }
}
