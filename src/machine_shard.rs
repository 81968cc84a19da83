//! The shard of machines that this controller leads: their heartbeats, incarnations and leases, the starts that are
//! admitted on them, and the commands they are given.
//!
//! [`MachineShard`] owns this state alone and keeps none of it in the store but the machines' names. It must never start a
//! task on a machine whose tasks it does not know, admit a start twice, or take a task for gone that may still run.
//! It reads no clock and sends nothing: times are passed in, and what is to be sent is returned.
//!
//! The *owner* of a task, here and below, is the leader of its job: it alone says what is wanted of the task.

use crate::config::settings::Settings;
use crate::membership::Membership;
use crate::peer::{
    DesiredAction, DesiredState, DesiredTask, InventoryState, MachineStatus, MachineStatusDelta,
    ObservedTask, TaskKey, TaskPhase,
};
use crate::units::{Micros, Resources};
use crate::wire::workers::HeartbeatId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod agent_lease;
mod commands;
mod fencing_probe;
mod handoff;
mod heartbeats;
mod machine;
mod owner_liveness;
mod registration;
mod status_delta;

pub use crate::wire::workers::{Command, Heartbeat, HeartbeatResponse, HeartbeatTask};
pub(crate) use agent_lease::RESPONSE_TIMEOUT;
pub use fencing_probe::FencingProbe;
pub use heartbeats::HeartbeatOutcome;
pub use registration::MachineRecord;

use fencing_probe::ProbeState;
use machine::{Machine, Registration, TaskEntry};
use owner_liveness::{OwnerBasis, OwnerLiveness};
use status_delta::ChangeLog;

/// All that a controller knows as the leader of machines.
pub struct MachineShard {
    worker_lease: Micros,
    machines: BTreeMap<String, Machine>,
    /// Starts that were decided on, accepted or refused, with the leader that asked for them. A start is never decided on
    /// twice: the job's leader may have placed the task elsewhere since.
    decided_starts: BTreeMap<TaskKey, usize>,
    /// Number of the latest message of each jobs' leader.
    owner_revisions: Vec<u64>,
    changes: ChangeLog,
    /// A machine that has been silent for this long may be dead.
    silence_limit: Micros,
    next_lease_check: Micros,
    /// Machines that the cloud has taken back, whoever leads them, the newest names. The registry pages of a controller
    /// that is down name them on, and a new epoch must not wait for them.
    returned_machines: BTreeSet<String>,
    /// What jobs' leaders want of starts on machines that have yet to list their tasks. It is said only once, and a
    /// machine's first heartbeat in an epoch may come after it.
    pending_desired: BTreeMap<String, BTreeMap<TaskKey, DesiredTask>>,
    /// From when on no other controller can be answering workers, by what this epoch says.
    older_leaders_stopped_at: Micros,
    owner_liveness: OwnerLiveness,
    /// The adopted epoch; 0 before the first.
    epoch: u64,
}

impl MachineShard {
    /// A shard without machines, before the first epoch.
    pub fn new(settings: &Settings) -> MachineShard {
        MachineShard {
            worker_lease: settings.worker_lease,
            machines: BTreeMap::new(),
            decided_starts: BTreeMap::new(),
            owner_revisions: vec![0; settings.members.len()],
            changes: ChangeLog::default(),
            // Two heartbeats missed.
            silence_limit: Micros(settings.report.0 * 5 / 2 + 500_000),
            next_lease_check: Micros(0),
            returned_machines: BTreeSet::new(),
            pending_desired: BTreeMap::new(),
            older_leaders_stopped_at: Micros(0),
            owner_liveness: OwnerLiveness::new(settings),
            epoch: 0,
        }
    }

    /// Adopts a new epoch. A machine stays known only if the epoch `follows` directly on the one before and the machine was
    /// ours before: then nobody else can have commanded it. Queued starts of jobs that changed their leader are dropped,
    /// since the new leader hasn't asked for them; `owner_before` says who led a job in the epoch before.
    pub fn adopt_epoch(
        &mut self,
        now: Micros,
        membership: &Membership,
        follows: bool,
        owner_before: impl Fn(&str) -> Option<usize>,
    ) {
        self.machines.retain(|name, _| membership.machine_leader(name) == Some(membership.me));
        self.pending_desired.clear();
        self.changes.adopt_epoch(membership.epoch);
        self.next_lease_check = Micros(0);
        for (name, machine) in &mut self.machines {
            self.changes.record(name, &mut machine.revision);
            if follows {
                machine.adopt_next_epoch(self.older_leaders_stopped_at);
            } else {
                machine.adopt_later_epoch(now, membership.epoch);
            }
            let keeps_leader =
                |key: &TaskKey| follows && owner_before(&key.job) == membership.job_leader(&key.job);
            machine.tasks.retain(|key, task| task.may_be_on_machine() || keeps_leader(key));
            for (key, task) in &mut machine.tasks {
                let owner = membership.job_leader(&key.job);
                task.owner_basis.adopt_epoch(&self.owner_liveness, owner, machine.revision);
            }
        }
        self.owner_liveness.adopt_epoch();
        if !follows {
            self.decided_starts.clear();
        }
        self.older_leaders_stopped_at = membership.older_leaders_stopped_at();
        self.epoch = membership.epoch;
    }

    /// Where some of the machines can be reached; others each second.
    #[must_use]
    pub fn sample_addresses(&self, most: usize, now: Micros) -> Vec<String> {
        let known: Vec<&String> = self
            .machines
            .values()
            .filter(|machine| machine.inventory != InventoryState::Gone)
            .map(|machine| &machine.record.addr)
            .collect();
        let first = (now.0 / 1_000_000) as usize * most;
        (0..most.min(known.len())).map(|i| known[(first + i) % known.len()].clone()).collect()
    }

    /// A message of a jobs' leader was taken; it had heard our clock at `echo`, and takes account of our state numbered
    /// `seen`.
    pub fn record_job_leader_message(&mut self, owner: usize, echo: Micros, seen: u64) {
        self.owner_liveness.note_message(owner, echo, seen);
    }

    /// Whether any jobs' leader has said something since this was last called.
    #[must_use]
    pub fn take_job_leader_message_flag(&mut self) -> bool {
        self.owner_liveness.take_news()
    }

    /// Whether a response may renew a machine's lease: not while the leader of one of its tasks may have told a user that
    /// the job is cancelled, so long ago that the task could not be stopped in time any more.
    #[must_use]
    pub fn can_renew_lease(&self, now: Micros, name: &str) -> bool {
        self.machines.get(name).is_none_or(|machine| self.owner_liveness.covers_all(now, machine))
    }

    /// How many machines have known tasks, and how many there are.
    #[must_use]
    pub fn count_known_and_total(&self) -> (usize, usize) {
        let is_known = |machine: &&Machine| machine.inventory == InventoryState::Known;
        (self.machines.values().filter(is_known).count(), self.machines.len())
    }
}

impl Machine {
    /// The epoch directly follows the one before, in which the machine was ours: nobody but us can have answered it since.
    fn adopt_next_epoch(&mut self, others_until: Micros) {
        self.forget_requests();
        if self.inventory == InventoryState::Unconfirmed {
            self.others_answered_until = self.others_answered_until.or(Some(others_until));
        }
    }

    /// Epochs were missed, in which others may have commanded the machine: it has to show the new token first.
    fn adopt_later_epoch(&mut self, now: Micros, epoch: u64) {
        self.forget_requests();
        if self.inventory == InventoryState::Known {
            self.inventory = InventoryState::Unconfirmed;
            self.heard_at = now;
        }
        self.others_answered_until = None;
        self.led_since_epoch = epoch;
        self.unanswered_at = None;
    }

    /// What was asked of it in the last epoch counts no more. What was being written for that epoch fails, and nobody is
    /// told of it.
    fn forget_requests(&mut self) {
        self.probes = ProbeState::default();
        if self.registration == Registration::Requested {
            self.registration = Registration::Missing;
        }
    }
}

#[cfg(test)]
mod tests;
