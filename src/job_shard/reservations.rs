//! Machines reserved for waiting gangs of this shard, and machines that the autoscaler reserves for urgent
//! work.
//!
//! A gang that cannot be placed reserves machines until all its members fit, and announces them to the other
//! job leaders. A gang that has waited for `OVERDUE_AFTER` is no longer overtaken: see `docs/design.md`, "The
//! largest begin".

use super::JobShard;
use super::job::Job;
use super::scheduling_pass::SchedulingPass;
use crate::peer::{MachineStatus, Reservation};
use crate::quota::tier::{self, QuotaTier};
use crate::scheduler::placement::PlacementTarget;
use crate::scheduler::reservations::{ReservationRequest, reserve_machines};
use crate::spec::JobSpec;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Waiting time after which a job that has not begun is no longer overtaken by work that is not more urgent.
const OVERDUE_AFTER: Micros = Micros::from_millis(45_000);
/// Maximum number of tasks that an overdue array starts ahead of its turn: it should begin, but not displace
/// many small jobs.
pub(super) const MAX_OVERDUE_ARRAY_STARTS: usize = 16;

/// The autoscaler's reservations of machines for urgent work.
#[derive(Debug, Default)]
pub(super) struct AutoscalerReservations {
    /// Machine types, whether spot, and the minimum priority that may use them.
    types: Vec<(String, bool, u8)>,
    /// Single machines, and the minimum priority that may use them.
    machines: BTreeMap<String, u8>,
    /// Whether this process has received any. Until then nothing is placed for a while: after a restart,
    /// queued work would take the machines that urgent work needs.
    pub(super) received: bool,
}

impl AutoscalerReservations {
    /// The minimum priority of work that may use a machine.
    pub(super) fn priority_for(&self, machine: &MachineStatus) -> Option<u8> {
        let of_type = self
            .types
            .iter()
            .filter(|(kind, spot, _)| *kind == machine.machine_type && *spot == machine.spot);
        of_type.map(|(.., priority)| *priority).max().max(self.machines.get(&machine.name).copied())
    }
}

/// The reservations of a scheduling pass so far.
pub(super) struct ReservationPlan {
    /// Machines that other job leaders have reserved.
    taken: BTreeSet<String>,
    /// Number of machines withheld from work that could have used them.
    withheld: usize,
}

impl ReservationPlan {
    /// Whether a gang may reserve machines in this pass.
    ///
    /// One gang may at a time, and none while another leader's gang waits: several gangs that each empty a
    /// few machines make no progress and keep all other work out. On a large fleet several may, if the tasks
    /// in their way can be preempted or if they have waited for long: one after the other, the last would
    /// wait forever. Machines that are already withheld from less urgent work do not count.
    fn can_reserve_for(&self, targets: &[PlacementTarget], job: &Job, overdue: bool) -> bool {
        if self.withheld == 0 {
            return true;
        }
        if !overdue && job.quota_tier != QuotaTier::NoGuarantee {
            return false;
        }
        let usable = targets.iter().filter(|target| target.is_allowed(&job.spec)).count();
        let most = if overdue { usable / 8 } else { (usable / 2).min(targets.len() / 6) };
        self.withheld + job.spec.task_count as usize <= most
    }
}

impl JobShard {
    /// Reservations that peers announced recently.
    pub(super) fn announced_reservations(&self, now: Micros) -> impl Iterator<Item = &Reservation> {
        self.peer_reservations.valid(now).map(|(_, reservation)| reservation)
    }

    /// Replaces the reservations of another job leader.
    pub fn apply_peer_reservations(&mut self, now: Micros, from: usize, list: Vec<Reservation>) {
        self.peer_reservations.set_announced(now, from, list);
    }

    /// The reservations of this shard.
    pub fn reservations(&self) -> &[Reservation] {
        &self.reservations
    }

    /// Replaces the autoscaler's reservations: machine types and machines that are reserved for work of at
    /// least a priority.
    pub fn apply_autoscaler_reservations(
        &mut self,
        types: Vec<(String, bool, u8)>,
        machines: Vec<(String, u8)>,
    ) {
        self.autoscaler_reservations =
            AutoscalerReservations { types, machines: machines.into_iter().collect(), received: true };
    }

    /// Whether a job is overdue to begin.
    pub(super) fn is_overdue_to_begin(&self, job: &Job) -> bool {
        job.assignments.is_empty()
            && job.done.is_empty()
            && self.wall_clock.since(job.ready_wall()) >= OVERDUE_AFTER
    }

    /// Starts the reservations of a scheduling pass.
    pub(super) fn begin_reservation_plan(&mut self, now: Micros) -> ReservationPlan {
        self.peer_reservations.start_inheritance_period(now);
        let taken = self.announced_reservations(now).map(|reservation| reservation.machine.clone());
        ReservationPlan { taken: taken.collect(), withheld: 0 }
    }

    /// Reserves machines for a gang that could not be placed, if it may reserve any. Returns the machines and
    /// the reservations to announce. Other leaders are informed only once the gang has waited for a while,
    /// since machines kept empty do no work.
    pub(super) fn reserve_machines_for(
        &self,
        pass: &mut SchedulingPass,
        job: &Job,
        age: Micros,
    ) -> (Vec<String>, Vec<Reservation>) {
        let overdue = age >= OVERDUE_AFTER;
        let SchedulingPass { targets, reservation_plan: plan, now, .. } = pass;
        if !plan.can_reserve_for(targets, job, overdue) {
            return Default::default();
        }
        let inherited;
        let previous = if job.reserved_machines.is_empty() {
            inherited = self.peer_reservations.inherited_for(*now, job.spec.resources_per_task);
            &inherited
        } else {
            &job.reserved_machines
        };
        let request = ReservationRequest {
            spec: &job.spec,
            quota_tier: job.quota_tier,
            overdue,
            previous,
            taken: &plan.taken,
        };
        let reserved = reserve_machines(targets, &request);
        plan.withheld += reserved.withheld;
        let announced = if age >= self.preemption_delay(&job.spec) {
            let announce = |machine: &String| announcements(machine, &job.spec, job.quota_tier, overdue);
            reserved.names.iter().flat_map(announce).collect()
        } else {
            Vec::new()
        };
        (reserved.names, announced)
    }
}

/// The reservations of a machine that are announced to the other job leaders.
fn announcements(machine: &str, spec: &JobSpec, quota_tier: QuotaTier, overdue: bool) -> Vec<Reservation> {
    let preempting = tier::preempting_priority(spec.priority, quota_tier);
    let reservation = |priority, evict| Reservation {
        machine: machine.to_owned(),
        priority,
        resources: spec.resources_per_task,
        must_preempt: evict,
    };
    let mut announced = vec![reservation(spec.priority, preempting == spec.priority)];
    if overdue {
        // Later work of the same base priority must no longer be placed there.
        announced.push(reservation(spec.priority + 1, false));
        if preempting < spec.priority {
            announced.push(reservation(preempting, true));
        }
    }
    announced
}
