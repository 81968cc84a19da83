//! The machines that this controller leads: their heartbeats, incarnations and leases, the task starts that are
//! admitted on them, and the commands that their workers receive.
//!
//! [`MachineShard`] owns this state. Only the machines' records are kept in the state store. The shard must
//! never start a task on a machine whose task list is not confirmed, admit a start twice, or treat a task as ended
//! while it may still run. It reads no clock and does no I/O: the current time is a parameter, and what is to be sent
//! is returned.
//!
//! The *job leader* of a task is the controller that leads its job. It alone decides whether the task is to run or to
//! be stopped.

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
mod commands;
mod fencing_probe;
mod handoff;
mod heartbeats;
mod job_leader_liveness;
mod machine;
mod registration;
mod status_delta;
mod worker_lease;

pub use crate::wire::workers::{Command, Heartbeat, HeartbeatResponse, HeartbeatTask};
pub use fencing_probe::FencingProbe;
pub use heartbeats::HeartbeatOutcome;
pub use registration::MachineRecord;
pub(crate) use worker_lease::RESPONSE_TIMEOUT;

use fencing_probe::ProbeState;
use job_leader_liveness::{JobLeaderEvidence, JobLeaderLiveness};
use machine::{Machine, Registration, TaskEntry};
use status_delta::ChangeLog;

/// The state that a controller keeps as the leader of machines.
pub struct MachineShard {
    worker_lease: Micros,
    machines: BTreeMap<String, Machine>,
    /// Starts that were accepted or refused, with the job leader that requested them. No start is decided twice:
    /// after a refusal the job leader may have placed the task on another machine.
    decided_starts: BTreeMap<TaskKey, usize>,
    /// By job leader, the revision of its latest desired state that was applied.
    desired_revisions: Vec<u64>,
    changes: ChangeLog,
    /// A machine from which no heartbeat has come for this long may be down.
    silence_limit: Micros,
    next_lease_check: Micros,
    /// Machines returned to the cloud, whichever controller leads them. If there are too many, the lowest names are
    /// dropped: machine names grow with time. Registry pages of a controller that is down may still list these
    /// machines, and after a new epoch nothing must wait for them.
    returned_machines: BTreeSet<String>,
    /// The desired state of starts on machines whose task list is not confirmed. A job leader sends it only once, and
    /// it may arrive before the machine's first heartbeat in an epoch.
    pending_desired: BTreeMap<String, BTreeMap<TaskKey, DesiredTask>>,
    /// The time from which no other controller can be responding to workers, as far as this epoch shows.
    older_leaders_stopped_at: Micros,
    job_leader_liveness: JobLeaderLiveness,
    /// The adopted epoch; 0 before the first.
    epoch: u64,
}

impl MachineShard {
    /// Creates a shard without machines, before the first epoch.
    pub fn new(settings: &Settings) -> MachineShard {
        MachineShard {
            worker_lease: settings.worker_lease,
            machines: BTreeMap::new(),
            decided_starts: BTreeMap::new(),
            desired_revisions: vec![0; settings.members.len()],
            changes: ChangeLog::default(),
            // Two missed heartbeats.
            silence_limit: Micros(settings.report.0 * 5 / 2 + 500_000),
            next_lease_check: Micros(0),
            returned_machines: BTreeSet::new(),
            pending_desired: BTreeMap::new(),
            older_leaders_stopped_at: Micros(0),
            job_leader_liveness: JobLeaderLiveness::new(settings),
            epoch: 0,
        }
    }

    /// Adopts a new epoch. A machine's task list stays confirmed only if the epoch directly succeeds the one before
    /// (`is_direct_successor`) and this controller already led the machine: then no other controller can have sent it
    /// commands. Starts that have not been sent are dropped if the leader of their job changed, since the new leader
    /// has not requested them. `previous_job_leader` returns the leader of a job in the epoch before.
    pub fn adopt_epoch(
        &mut self,
        now: Micros,
        membership: &Membership,
        is_direct_successor: bool,
        previous_job_leader: impl Fn(&str) -> Option<usize>,
    ) {
        self.machines.retain(|name, _| membership.machine_leader(name) == Some(membership.me));
        self.pending_desired.clear();
        self.changes.adopt_epoch(membership.epoch);
        self.next_lease_check = Micros(0);
        for (name, machine) in &mut self.machines {
            self.changes.record(name, &mut machine.revision);
            if is_direct_successor {
                machine.adopt_next_epoch(self.older_leaders_stopped_at);
            } else {
                machine.adopt_later_epoch(now, membership.epoch);
            }
            let is_leader_unchanged = |key: &TaskKey| {
                is_direct_successor && previous_job_leader(&key.job) == membership.job_leader(&key.job)
            };
            machine.tasks.retain(|key, task| task.can_be_on_machine() || is_leader_unchanged(key));
            for (key, task) in &mut machine.tasks {
                let job_leader = membership.job_leader(&key.job);
                task.job_leader_evidence.adopt_epoch(&self.job_leader_liveness, job_leader, machine.revision);
            }
        }
        self.job_leader_liveness.adopt_epoch();
        if !is_direct_successor {
            self.decided_starts.clear();
        }
        self.older_leaders_stopped_at = membership.older_leaders_stopped_at();
        self.epoch = membership.epoch;
    }

    /// Returns the addresses of up to `max_addresses` machines for direct commands. The selection rotates every second.
    #[must_use]
    pub fn sample_addresses(&self, max_addresses: usize, now: Micros) -> Vec<String> {
        let known: Vec<&String> = self
            .machines
            .values()
            .filter(|machine| machine.inventory != InventoryState::Gone)
            .map(|machine| &machine.record.addr)
            .collect();
        let start = (now.0 / 1_000_000) as usize * max_addresses;
        (0..max_addresses.min(known.len())).map(|i| known[(start + i) % known.len()].clone()).collect()
    }

    /// Records a message from a job leader. `echo` is the latest reading of this controller's clock that the job
    /// leader had received when it sent the message; `seen_revision` is the revision of this shard's status that the
    /// message takes into account.
    pub fn record_job_leader_message(&mut self, job_leader: usize, echo: Micros, seen_revision: u64) {
        self.job_leader_liveness.record_message(job_leader, echo, seen_revision);
    }

    /// Returns whether a message from a job leader was recorded since the last call, and clears that flag.
    #[must_use]
    pub fn take_job_leader_message_flag(&mut self) -> bool {
        self.job_leader_liveness.take_new_message_flag()
    }

    /// Whether a response may renew a machine's lease. It may not if the job leader of one of its tasks may have
    /// confirmed to a user that the job is cancelled, so long ago that the task could no longer be stopped within
    /// `cancel_s`.
    #[must_use]
    pub fn can_renew_lease(&self, now: Micros, name: &str) -> bool {
        self.machines.get(name).is_none_or(|machine| self.job_leader_liveness.can_renew_lease(now, machine))
    }

    /// Returns the number of machines whose task list is complete, and the number of all machines.
    #[must_use]
    pub fn count_known_and_total(&self) -> (usize, usize) {
        let is_known = |machine: &&Machine| machine.inventory == InventoryState::Known;
        (self.machines.values().filter(is_known).count(), self.machines.len())
    }
}

impl Machine {
    /// Adopts the direct successor of the epoch held. No other controller can have responded to the machine since.
    fn adopt_next_epoch(&mut self, others_stopped_at: Micros) {
        self.reset_requests();
        if self.inventory == InventoryState::Unconfirmed {
            self.others_responded_until = self.others_responded_until.or(Some(others_stopped_at));
        }
    }

    /// Adopts an epoch after others were missed, in which other controllers may have sent the machine commands. Its
    /// task list is confirmed again once a heartbeat carries the new fencing token.
    fn adopt_later_epoch(&mut self, now: Micros, epoch: u64) {
        self.reset_requests();
        if self.inventory == InventoryState::Known {
            self.inventory = InventoryState::Unconfirmed;
            self.last_heartbeat_at = now;
        }
        self.others_responded_until = None;
        self.led_since_epoch = epoch;
        self.no_response_received_at = None;
    }

    /// Resets what was requested for the machine in the last epoch. A registration that was requested then fails
    /// because of the new epoch, and its failure is not reported here.
    fn reset_requests(&mut self) {
        self.probes = ProbeState::default();
        if self.registration == Registration::Requested {
            self.registration = Registration::Missing;
        }
    }
}

#[cfg(test)]
mod tests;
