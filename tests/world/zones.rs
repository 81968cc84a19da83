//! Zones: partitions that isolate a zone, and the checks of a job's zone and machine type constraints at each task
//! start.

use super::*;

/// The controllers' zones. The last one has no machines.
pub(crate) const SEATS: [&str; 3] = ["a", "b", "c"];

/// From this time on, the load balancer has removed an unreachable controller and reset its connections.
const REROUTED: u64 = 5 * S;
/// The controllers' timeout for cloud requests.
const CLOUD_PATIENCE: u64 = 4 * S;

/// A partition that isolates a zone from other zones, the state store, the cloud and the clients.
#[derive(Clone, Copy, Debug)]
struct ZoneCut {
    zone: &'static str,
    from: u64,
    until: u64,
    /// Whether messages across the partition are held back until it heals; otherwise they are lost.
    hold: bool,
}

#[derive(Default)]
pub(crate) struct Zones {
    cuts: Vec<ZoneCut>,
    /// Until this time, the cloud fails all requests.
    pub(crate) cloud_out: u64,
    /// Heartbeats that a controller inside an isolated zone answered.
    pub(crate) inside: usize,
    /// Heartbeats, client requests and cloud requests that were stopped by a partition.
    pub(crate) stopped: [usize; 3],
    /// Task starts of jobs with placement constraints; and, of jobs with constraints among their own tasks, starts
    /// while another task of the job was on an unreachable machine.
    pub(crate) bound: [usize; 2],
    /// The zones in which tasks of such jobs started.
    pub(crate) places: BTreeMap<String, BTreeSet<String>>,
}

impl Zones {
    /// Whether any zone is isolated.
    pub(crate) fn cut(&self, now: u64) -> bool {
        self.cuts.iter().any(|c| now < c.until)
    }
    /// When the last partition heals.
    pub(crate) fn until(&self) -> u64 {
        self.cuts.iter().map(|c| c.until).max().unwrap_or(0)
    }
}

impl World {
    pub(crate) fn zone_cut(&mut self, zone: &'static str, long: u64, hold: bool) {
        let (from, until) = (self.now, self.now + long);
        self.zones.cuts.push(ZoneCut { zone, from, until, hold });
    }

    /// The partition between two zones, if any. `None` stands for the region's services, which are in no zone.
    fn cut_between(&self, a: Option<&str>, b: Option<&str>) -> Option<ZoneCut> {
        let parts = |c: &&ZoneCut| self.now < c.until && (a == Some(c.zone)) != (b == Some(c.zone));
        self.zones.cuts.iter().find(parts).copied()
    }

    /// The extra delay of a message between two zones; `None` if it is lost.
    fn across(&self, a: Option<&str>, b: Option<&str>) -> Option<u64> {
        match self.cut_between(a, b) {
            None => Some(0),
            Some(c) => c.hold.then(|| c.until - self.now),
        }
    }

    /// The extra delay between two endpoints. Workers are in several zones: see `worker_reached_in`.
    pub(crate) fn across_zones(&self, a: End, b: End) -> Option<u64> {
        let place = |e: End| match e {
            End::Controller(n) => Some(SEATS[n]),
            End::Store | End::Workers => None,
        };
        if a == End::Workers || b == End::Workers { Some(0) } else { self.across(place(a), place(b)) }
    }

    /// The delay of a controller's message to a worker; `None` if it is lost.
    pub(crate) fn worker_reached_in(&mut self, n: usize, i: usize) -> Option<u64> {
        let delay = self.travel(End::Controller(n), End::Workers)?;
        Some(delay + self.across(Some(SEATS[n]), Some(&self.workers[i].zone))?)
    }

    /// The delay of a worker's message to a controller; `None` if it is lost.
    pub(crate) fn worker_heard_in(&mut self, i: usize, n: usize) -> Option<u64> {
        let delay = self.travel(End::Workers, End::Controller(n))?;
        let more = self.across(Some(&self.workers[i].zone), Some(SEATS[n]));
        self.zones.stopped[0] += usize::from(more != Some(0));
        Some(delay + more?)
    }

    /// Whether a controller can reach at least one of these machines now.
    pub(crate) fn reaches_any(&self, n: usize, names: &[String]) -> bool {
        let near = |w: &Worker| self.across(Some(SEATS[n]), Some(&w.zone)) == Some(0);
        self.workers.iter().any(|w| names.contains(&w.name) && near(w))
    }

    /// Counts the responses to workers inside an isolated zone.
    pub(crate) fn note_answer(&mut self, n: usize, i: usize, reply: &Reply) {
        let cut = self.cut_between(Some(SEATS[n]), None).is_some();
        let inside = reply.status == 200 && self.workers[i].zone == SEATS[n];
        self.zones.inside += usize::from(cut && inside);
    }

    /// Whether the machine is unreachable from outside an isolated zone, or from everywhere.
    pub(crate) fn unseen(&self, w: &Worker) -> bool {
        self.now < w.hung_until.max(w.deaf_until).max(w.mute_until)
            || self.cut_between(Some(&w.zone), None).is_some()
    }

    /// The controller that receives a client's request sent to controller `n`. The load balancer opens no connections
    /// to an unreachable controller; until it has noticed, they fail. `boot` is not 0 for a request addressed to a
    /// particular controller.
    pub(crate) fn arrives(&mut self, n: usize, boot: u64, e: &Event) -> Option<usize> {
        if !matches!(e, Event::User { .. } | Event::Ready(_) | Event::Operator { .. }) {
            return Some(n);
        }
        let Some(cut) = self.cut_between(Some(SEATS[n]), None) else { return Some(n) };
        self.zones.stopped[1] += 1;
        let well = |p: &usize| self.cut_between(Some(SEATS[*p]), None).is_none();
        let other = [(n + 1) % 3, (n + 2) % 3].into_iter().find(well);
        other.filter(|_| boot == 0 && self.now >= cut.from + REROUTED)
    }

    /// Whether an answer to a client or a readiness probe is lost because the controller's zone is isolated. The
    /// cancellation that such an answer reports is counted nevertheless.
    pub(crate) fn kept_from_users(&mut self, n: usize, ticket: u64, reply: &Reply) -> bool {
        let region = !matches!(self.tickets.get(&ticket), None | Some(Ticket::Worker(..)));
        let lost = region && self.cut_between(Some(SEATS[n]), None).is_some();
        if lost {
            self.tickets.remove(&ticket);
            self.note_told(n, reply);
        }
        lost
    }

    /// Sends a request to the cloud. One stopped by a partition fails for the controller; one held back is carried
    /// out late.
    pub(crate) fn ask_cloud(&mut self, n: usize, r: CloudRequest) {
        const NOBODY: u64 = u64::MAX;
        let boot = self.boots[n];
        if self.now < self.zones.cloud_out {
            return self.later(
                80_000,
                What::Controller(n, boot, Event::Cloud { request: r, answer: CloudAnswer::Failed }),
            );
        }
        let more = self.across(Some(SEATS[n]), None);
        if more == Some(0) {
            return self.later(80_000, What::Cloud(n, boot, r));
        }
        self.zones.stopped[2] += 1;
        let failed = Event::Cloud { request: r.clone(), answer: CloudAnswer::Failed };
        self.later(CLOUD_PATIENCE, What::Controller(n, boot, failed));
        if let Some(more) = more {
            self.later(more + 80_000, What::Cloud(n, NOBODY, r));
        }
    }

    /// Checks the constraints of a task's job when the task has its image and starts, also against the job's tasks on
    /// unreachable machines.
    pub(crate) fn check_start(&mut self, i: usize, job: &str) {
        let s = &self.jobs[job].spec;
        let w = &self.workers[i];
        let (now, name) = (self.now, &w.name);
        assert!(
            s.machine_types.is_empty() || s.machine_types.contains(&w.kind),
            "wrong_place: {job} on {name} at {now}"
        );
        assert!(s.zone.as_ref().is_none_or(|z| *z == w.zone), "wrong_place: {job} on {name} at {now}");
        assert!(s.spot_allowed || !w.spot, "wrong_place: {job} on {name} at {now}");
        let lives = |x: &&Worker| !x.gone && !x.dead && now <= x.lease_from + (LEASE_S * 1e6) as u64;
        let there: Vec<(&Worker, usize)> = (self.workers.iter().filter(lives))
            .map(|x| (x, x.tasks.iter().filter(|t| t.job == job && t.on()).count()))
            .filter(|(_, n)| *n > 0)
            .collect();
        let here: usize = there.iter().filter(|(x, _)| x.zone == w.zone).map(|(_, n)| n).sum();
        let all: usize = there.iter().map(|(_, n)| n).sum();
        assert!(!s.one_zone || here == all, "wrong_place: {job} on {name}, others elsewhere at {now}");
        let most = s.task_count.div_ceil(2) as usize;
        assert!(
            !s.spread || here <= most,
            "wrong_place: {job}: {here} of {} on {name} at {now}",
            s.task_count
        );
        let bound = s.one_zone || s.spread || s.zone.is_some() || !s.machine_types.is_empty();
        let hidden = there.iter().any(|(x, _)| x.name != *name && self.unseen(x));
        let hidden = (s.one_zone || s.spread) && hidden;
        let zone = w.zone.clone();
        for (count, is) in self.zones.bound.iter_mut().zip([bound, hidden]) {
            *count += usize::from(is);
        }
        if bound {
            self.zones.places.entry(job.to_owned()).or_default().insert(zone);
        }
    }
}
