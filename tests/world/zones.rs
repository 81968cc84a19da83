//! Zones: partitions that isolate a zone, and the checks of a job's zone and machine type constraints at each task
//! start.

use super::*;

/// The controllers' zones. The last one has no machines.
pub(crate) const CONTROLLER_ZONES: [&str; 3] = ["a", "b", "c"];

/// After this time, the load balancer has removed an unreachable controller and reset its connections.
const REROUTE_DELAY: u64 = 5 * S;
/// The controllers' timeout for cloud requests.
const CLOUD_TIMEOUT: u64 = 4 * S;

/// A partition that isolates a zone from other zones, the state store, the cloud and the clients.
#[derive(Clone, Copy, Debug)]
struct ZonePartition {
    zone: &'static str,
    from: u64,
    until: u64,
    /// Whether messages across the partition are held back until it heals; otherwise they are lost.
    hold: bool,
}

#[derive(Default)]
pub(crate) struct Zones {
    partitions: Vec<ZonePartition>,
    /// Until this time, the cloud fails all requests.
    pub(crate) cloud_outage_until: u64,
    /// Heartbeats that a controller inside an isolated zone answered.
    pub(crate) inside: usize,
    /// Heartbeats, client requests and cloud requests that were stopped by a partition.
    pub(crate) stopped: [usize; 3],
    /// Task starts of jobs with placement constraints; and, of jobs with constraints among their own tasks, starts
    /// while another task of the job was on an unreachable machine.
    pub(crate) constrained_starts: [usize; 2],
    /// The zones in which tasks of such jobs started.
    pub(crate) places: BTreeMap<String, BTreeSet<String>>,
}

impl Zones {
    /// Whether any zone is isolated.
    pub(crate) fn is_partitioned(&self, now: u64) -> bool {
        self.partitions.iter().any(|c| now < c.until)
    }
    /// When the last partition heals.
    pub(crate) fn until(&self) -> u64 {
        self.partitions.iter().map(|c| c.until).max().unwrap_or(0)
    }
}

impl World {
    pub(crate) fn partition_zone(&mut self, zone: &'static str, duration: u64, hold: bool) {
        let (from, until) = (self.now, self.now + duration);
        self.zones.partitions.push(ZonePartition { zone, from, until, hold });
    }

    /// The partition between two zones, if any. `None` stands for the region's services, which are in no zone.
    fn partition_between(&self, from: Option<&str>, to: Option<&str>) -> Option<ZonePartition> {
        let crosses =
            |c: &&ZonePartition| self.now < c.until && (from == Some(c.zone)) != (to == Some(c.zone));
        self.zones.partitions.iter().find(crosses).copied()
    }

    /// The extra delay of a message between two zones; `None` if it is lost.
    fn zone_delay(&self, from: Option<&str>, to: Option<&str>) -> Option<u64> {
        match self.partition_between(from, to) {
            None => Some(0),
            Some(partition) => partition.hold.then(|| partition.until - self.now),
        }
    }

    /// The extra delay between two endpoints. Workers are in several zones: see `delay_to_worker`.
    pub(crate) fn endpoint_delay(&self, from: Endpoint, to: Endpoint) -> Option<u64> {
        let zone_of = |e: Endpoint| match e {
            Endpoint::Controller(n) => Some(CONTROLLER_ZONES[n]),
            Endpoint::Store | Endpoint::Workers => None,
        };
        if from == Endpoint::Workers || to == Endpoint::Workers {
            Some(0)
        } else {
            self.zone_delay(zone_of(from), zone_of(to))
        }
    }

    /// The delay of a controller's message to a worker; `None` if it is lost.
    pub(crate) fn delay_to_worker(&mut self, controller: usize, worker_index: usize) -> Option<u64> {
        let delay = self.message_delay(Endpoint::Controller(controller), Endpoint::Workers)?;
        Some(
            delay
                + self
                    .zone_delay(Some(CONTROLLER_ZONES[controller]), Some(&self.workers[worker_index].zone))?,
        )
    }

    /// The delay of a worker's message to a controller; `None` if it is lost.
    pub(crate) fn delay_from_worker(&mut self, worker_index: usize, controller: usize) -> Option<u64> {
        let delay = self.message_delay(Endpoint::Workers, Endpoint::Controller(controller))?;
        let extra_delay =
            self.zone_delay(Some(&self.workers[worker_index].zone), Some(CONTROLLER_ZONES[controller]));
        self.zones.stopped[0] += usize::from(extra_delay != Some(0));
        Some(delay + extra_delay?)
    }

    /// Whether a controller can reach at least one of these machines now.
    pub(crate) fn can_reach_any(&self, controller: usize, names: &[String]) -> bool {
        let near = |w: &Worker| self.zone_delay(Some(CONTROLLER_ZONES[controller]), Some(&w.zone)) == Some(0);
        self.workers.iter().any(|w| names.contains(&w.name) && near(w))
    }

    /// Counts the responses to workers inside an isolated zone.
    pub(crate) fn count_isolated_answer(&mut self, controller: usize, worker_index: usize, reply: &Reply) {
        let partition = self.partition_between(Some(CONTROLLER_ZONES[controller]), None).is_some();
        let inside = reply.status == 200 && self.workers[worker_index].zone == CONTROLLER_ZONES[controller];
        self.zones.inside += usize::from(partition && inside);
    }

    /// Whether the machine is unreachable from outside an isolated zone, or from everywhere.
    pub(crate) fn is_unreachable(&self, worker: &Worker) -> bool {
        self.now < worker.unresponsive_until.max(worker.inbound_lost_until).max(worker.outbound_lost_until)
            || self.partition_between(Some(&worker.zone), None).is_some()
    }

    /// The controller that receives a client's request sent to controller `node`. The load balancer opens no
    /// connections to an unreachable controller; until it has noticed, they fail. `boot` is not 0 for a request
    /// addressed to a particular controller.
    pub(crate) fn receiving_controller(&mut self, node: usize, boot: u64, event: &Event) -> Option<usize> {
        if !matches!(event, Event::User { .. } | Event::Ready(_) | Event::Operator { .. }) {
            return Some(node);
        }
        let Some(cut) = self.partition_between(Some(CONTROLLER_ZONES[node]), None) else { return Some(node) };
        self.zones.stopped[1] += 1;
        let is_reachable = |p: &usize| self.partition_between(Some(CONTROLLER_ZONES[*p]), None).is_none();
        let other = [(node + 1) % 3, (node + 2) % 3].into_iter().find(is_reachable);
        other.filter(|_| boot == 0 && self.now >= cut.from + REROUTE_DELAY)
    }

    /// Whether an answer to a client or a readiness probe is lost because the controller's zone is isolated. The
    /// cancellation that such an answer reports is counted nevertheless.
    pub(crate) fn is_answer_lost(&mut self, controller: usize, ticket: u64, reply: &Reply) -> bool {
        let region = !matches!(self.tickets.get(&ticket), None | Some(Ticket::Worker(..)));
        let lost = region && self.partition_between(Some(CONTROLLER_ZONES[controller]), None).is_some();
        if lost {
            self.tickets.remove(&ticket);
            self.check_sent_answer(controller, reply);
        }
        lost
    }

    /// Sends a request to the cloud. One stopped by a partition fails for the controller; one held back is carried
    /// out late.
    pub(crate) fn send_cloud_request(&mut self, controller: usize, request: CloudRequest) {
        const NO_PROCESS: u64 = u64::MAX;
        let boot = self.boot_ids[controller];
        if self.now < self.zones.cloud_outage_until {
            return self.schedule(
                80_000,
                SimEvent::Controller(controller, boot, Event::Cloud { request, answer: CloudAnswer::Failed }),
            );
        }
        let extra_delay = self.zone_delay(Some(CONTROLLER_ZONES[controller]), None);
        if extra_delay == Some(0) {
            return self.schedule(80_000, SimEvent::Cloud(controller, boot, request));
        }
        self.zones.stopped[2] += 1;
        let failed = Event::Cloud { request: request.clone(), answer: CloudAnswer::Failed };
        self.schedule(CLOUD_TIMEOUT, SimEvent::Controller(controller, boot, failed));
        if let Some(extra_delay) = extra_delay {
            self.schedule(extra_delay + 80_000, SimEvent::Cloud(controller, NO_PROCESS, request));
        }
    }

    /// Checks the constraints of a task's job when the task has its image and starts, also against the job's tasks on
    /// unreachable machines.
    pub(crate) fn check_placement(&mut self, worker_index: usize, job: &str) {
        let spec = &self.jobs[job].spec;
        let worker = &self.workers[worker_index];
        let (now, name) = (self.now, &worker.name);
        assert!(
            spec.machine_types.is_empty() || spec.machine_types.contains(&worker.kind),
            "wrong_place: {job} on {name} at {now}"
        );
        assert!(
            spec.zone.as_ref().is_none_or(|z| *z == worker.zone),
            "wrong_place: {job} on {name} at {now}"
        );
        assert!(spec.spot_allowed || !worker.spot, "wrong_place: {job} on {name} at {now}");
        let has_lease = |x: &&Worker| !x.gone && !x.dead && now <= x.lease_from + (LEASE_S * 1e6) as u64;
        let placed: Vec<(&Worker, usize)> = (self.workers.iter().filter(has_lease))
            .map(|x| (x, x.tasks.iter().filter(|t| t.job == job && t.is_placed()).count()))
            .filter(|(_, n)| *n > 0)
            .collect();
        let in_zone: usize = placed.iter().filter(|(x, _)| x.zone == worker.zone).map(|(_, n)| n).sum();
        let all: usize = placed.iter().map(|(_, n)| n).sum();
        assert!(!spec.one_zone || in_zone == all, "wrong_place: {job} on {name}, others elsewhere at {now}");
        let max_in_zone = spec.task_count.div_ceil(2) as usize;
        assert!(
            !spec.spread || in_zone <= max_in_zone,
            "wrong_place: {job}: {in_zone} of {} on {name} at {now}",
            spec.task_count
        );
        let bound = spec.one_zone || spec.spread || spec.zone.is_some() || !spec.machine_types.is_empty();
        let hidden = placed.iter().any(|(x, _)| x.name != *name && self.is_unreachable(x));
        let hidden = (spec.one_zone || spec.spread) && hidden;
        let zone = worker.zone.clone();
        for (count, applies) in self.zones.constrained_starts.iter_mut().zip([bound, hidden]) {
            *count += usize::from(applies);
        }
        if bound {
            self.zones.places.entry(job.to_owned()).or_default().insert(zone);
        }
    }
}
