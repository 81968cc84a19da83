//! Faults that are combined with others, and counters of their effects: late transactions, late copies of heartbeats,
//! machines that receive no messages, a state store that refuses one controller or is slow, and one-way partitions
//! between controllers.

use super::*;
use rand::seq::IndexedRandom;

/// What happens to messages on a faulty link between controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkFault {
    Lost,
    Held,
    /// Delayed by this additional time, in order.
    Late(u64),
}

/// A link that fails in one direction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultyLink {
    pub(crate) from: Endpoint,
    pub(crate) to: Endpoint,
    pub(crate) until: u64,
    pub(crate) fate: LinkFault,
}

/// The faults that a test can inject, alone or in combination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Restart,
    RestartAll,
    /// The process is asked to shut down, and restarts at once.
    Leave,
    ProcessPaused,
    Outage,
    StoreRefuses,
    SlowStore,
    LateWrites,
    PartitionFromStore,
    PartitionFromWorkers,
    PartitionFromPeer,
    OneWayPartition,
    LatePeers,
    /// Partitioned from the state store and the peers, but not from workers and clients.
    PartitionFromStoreAndPeers,
    PartitionFromAll,
    /// Partition of a zone with its workers and controller.
    ZonePartition,
    LateHeartbeats,
    MachinesInboundLost,
    MachinesUnresponsive,
    MachinesFail,
    MachinesReturned,
    ProbeBursts,
    CancelAtEnd,
    InvalidRequests,
    /// Writes to the state store are carried out at once, but their answers are lost.
    AnswersLost,
    /// Copies of heartbeats arrive at every controller when the next epoch begins, or after the first task start in
    /// it.
    HeldBackHeartbeats,
    /// The machines reach no controller, but fencing probes reach them.
    MachinesOutboundLost,
    /// Running jobs are cancelled within 0.2 s; with `MassCancelUnresponsive` some of their machines become
    /// unresponsive.
    MassCancel,
    MassCancelUnresponsive,
    /// Fencing probes arrive late, after those of a newer leader.
    LateFencingProbes,
}

pub(crate) const FAULTS: [Fault; 30] = [
    Fault::Restart,
    Fault::RestartAll,
    Fault::Leave,
    Fault::ProcessPaused,
    Fault::Outage,
    Fault::StoreRefuses,
    Fault::SlowStore,
    Fault::LateWrites,
    Fault::PartitionFromStore,
    Fault::PartitionFromWorkers,
    Fault::PartitionFromPeer,
    Fault::OneWayPartition,
    Fault::LatePeers,
    Fault::PartitionFromStoreAndPeers,
    Fault::PartitionFromAll,
    Fault::ZonePartition,
    Fault::LateHeartbeats,
    Fault::MachinesInboundLost,
    Fault::MachinesUnresponsive,
    Fault::MachinesFail,
    Fault::MachinesReturned,
    Fault::ProbeBursts,
    Fault::CancelAtEnd,
    Fault::InvalidRequests,
    Fault::AnswersLost,
    Fault::HeldBackHeartbeats,
    Fault::MachinesOutboundLost,
    Fault::MassCancel,
    Fault::MassCancelUnresponsive,
    Fault::LateFencingProbes,
];

/// A client was told that a job is cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelAnswer {
    pub(crate) at: u64,
    pub(crate) by: usize,
    /// The controllers that the state store refused at that time.
    pub(crate) refused: [bool; 3],
    pub(crate) outage: bool,
    /// The job's tasks on machines, including those that fetch their image.
    pub(crate) tasks: usize,
}

#[derive(Default)]
pub(crate) struct Compound {
    /// Share and end time.
    late_writes: (f64, u64),
    late_reports: (f64, u64),
    pub(crate) refused: [u64; 3],
    /// Until this time the state store refuses listings of keys that begin like this.
    pub(crate) refused_lists: (&'static str, u64),
    slow_until: u64,
    /// Range of answer delays of a slow state store; 1 to 5 s if `None`.
    slow_delays: Option<std::ops::Range<u64>>,
    pub(crate) faulty_links: Vec<FaultyLink>,
    /// When the latest transaction of each controller was committed.
    committed: [u64; 3],
    /// Late transactions: all, those after newer ones of the same controller, and of these, the committed ones.
    pub(crate) writes: [usize; 3],
    /// Late copies of heartbeats: all, those after newer ones, and those older than a lease.
    pub(crate) copies: [usize; 3],
    /// Copies from an earlier incarnation of the worker.
    pub(crate) earlier: usize,
    /// Responses and fencing probes lost on the way to machines.
    pub(crate) lost_to_workers: usize,
    /// Requests of controllers that the state store refused alone, and requests that a slow store carried out after
    /// the client's timeout.
    pub(crate) refusals: usize,
    pub(crate) slow_unknown: usize,
    /// Jobs reported as cancelled to a client, with the first such answer.
    pub(crate) cancel_answers: BTreeMap<String, CancelAnswer>,
}

impl Compound {
    /// Whether controllers or services that they need are failing.
    pub(crate) fn has_fault(&self, now: u64) -> bool {
        let until =
            [self.late_writes.1, self.slow_until, self.refused_lists.1].into_iter().chain(self.refused);
        until.chain(self.faulty_links.iter().map(|w| w.until)).any(|t| now < t)
    }
}

impl World {
    /// For `duration`, this share of transactions gets no answer and is carried out 2 to 12 s late.
    pub(crate) fn delay_writes(&mut self, share: f64, duration: u64) {
        self.compound.late_writes = (share, self.now + duration);
    }

    /// For `duration`, copies of this share of the workers' heartbeats arrive again, 2 s to 1.6 leases later.
    pub(crate) fn delay_heartbeats(&mut self, share: f64, duration: u64) {
        self.compound.late_reports = (share, self.now + duration);
    }

    /// Heartbeats of these machines arrive, but responses and fencing probes to them are lost.
    pub(crate) fn lose_inbound_messages(&mut self, machines: &[usize], duration: u64) {
        for &machine in machines {
            self.workers[machine].inbound_lost_until = self.now + duration;
        }
    }

    /// The state store refuses one controller's requests with status 503, including its open watches.
    pub(crate) fn refuse(&mut self, controller: usize, duration: u64) {
        self.compound.refused[controller] = self.now + duration;
        let (its, others) = std::mem::take(&mut self.watches).into_iter().partition(|w| w.0 == controller);
        self.watches = others;
        for (controller, boot, id, ..) in its {
            self.schedule(
                1000,
                SimEvent::Controller(controller, boot, Event::Store { id, answer: StoreAnswer::Refused }),
            );
        }
    }

    pub(crate) fn is_refused(&self, controller: usize) -> bool {
        self.now < self.compound.refused[controller]
    }

    /// The state store answers after 1 to 5 s; its clients time out after 2 s.
    pub(crate) fn slow_store(&mut self, duration: u64) {
        (self.compound.slow_until, self.compound.slow_delays) = (self.now + duration, None);
    }

    /// The state store answers each request after a random time in this range, and so out of order.
    pub(crate) fn slow_store_by(&mut self, duration: u64, by: std::ops::Range<u64>) {
        (self.compound.slow_until, self.compound.slow_delays) = (self.now + duration, Some(by));
    }

    /// One controller is partitioned from the state store and its peers, but not from workers and clients.
    pub(crate) fn cut_from_store_and_peers(&mut self, controller: usize, duration: u64, hold: bool) {
        self.partitions.push((Endpoint::Controller(controller), Endpoint::Store, self.now + duration, hold));
        for peer in (0..3).filter(|&peer| peer != controller) {
            self.partitions.push((
                Endpoint::Controller(controller),
                Endpoint::Controller(peer),
                self.now + duration,
                hold,
            ));
        }
    }

    /// Messages from one controller to another are lost, held back or late; the other direction works.
    pub(crate) fn fail_one_way(&mut self, from: usize, to: usize, duration: u64, fate: LinkFault) {
        let (from, to) = (Endpoint::Controller(from), Endpoint::Controller(to));
        self.compound.faulty_links.push(FaultyLink { from, to, until: self.now + duration, fate });
    }

    /// The extra delay of a message due to one-way faults; `None` if it is lost.
    pub(crate) fn one_way_delay(&self, from: Endpoint, to: Endpoint) -> Option<u64> {
        let matches_link = |link: &&FaultyLink| link.from == from && link.to == to && self.now < link.until;
        match self.compound.faulty_links.iter().find(matches_link) {
            None => Some(0),
            Some(link) => match link.fate {
                LinkFault::Lost => None,
                LinkFault::Held => Some(link.until - self.now),
                LinkFault::Late(by) => Some(by),
            },
        }
    }

    /// Sends a request other than a watch to the state store; `delay` is `None` if it is lost.
    pub(crate) fn send_store_request(
        &mut self,
        controller: usize,
        id: u64,
        request: StoreRequest,
        delay: Option<u64>,
    ) {
        const LIMIT: u64 = 2 * S;
        let boot = self.boot_ids[controller];
        let unknown = |world: &mut World| {
            world.schedule(
                LIMIT,
                SimEvent::Controller(controller, boot, Event::Store { id, answer: StoreAnswer::Unknown }),
            )
        };
        let Some(delay) = delay else { return unknown(self) };
        let is_refused_list = match &request {
            StoreRequest::List(prefix, _) => {
                let (refused, until) = self.compound.refused_lists;
                self.now < until && prefix.starts_with(refused)
            }
            _ => false,
        };
        if self.is_refused(controller) || is_refused_list {
            self.compound.refusals += 1;
            return self.schedule(
                delay,
                SimEvent::Controller(controller, boot, Event::Store { id, answer: StoreAnswer::Refused }),
            );
        }
        if self.is_answer_dropped(controller, &request, delay) {
            return unknown(self);
        }
        let (share, until) = self.compound.late_writes;
        if self.now < until && matches!(request, StoreRequest::Transaction(_)) && self.rng.random_bool(share)
        {
            let late = self.rng.random_range(2 * S..12 * S);
            let issued = self.now;
            self.schedule(late, SimEvent::LateWrite(controller, issued, request));
            return unknown(self);
        }
        let slow = match self.now < self.compound.slow_until {
            true => self.rng.random_range(self.compound.slow_delays.clone().unwrap_or(S..5 * S)),
            false => 0,
        };
        // A request that takes longer than the client's timeout has an unknown outcome and is applied late.
        if delay + slow < LIMIT {
            self.schedule(
                delay + slow / 2,
                SimEvent::StoreApply(controller, boot, id, request, Some(slow / 2)),
            );
        } else {
            self.compound.slow_unknown += usize::from(slow > 0);
            self.schedule(delay + slow / 2, SimEvent::StoreApply(controller, boot, id, request, None));
            unknown(self);
        }
    }

    /// Carries out a transaction after its client's timeout; its conditions are checked now.
    pub(crate) fn apply_late_write(&mut self, controller: usize, issued: u64, request: StoreRequest) {
        // One that arrives during an outage is carried out afterwards.
        if self.now < self.outage_until {
            let delay = self.outage_until - self.now + S / 10;
            return self.schedule(delay, SimEvent::LateWrite(controller, issued, request));
        }
        let newer = self.compound.committed[controller] > issued;
        let answer = self.store_apply(request);
        self.run_watches();
        let done = matches!(answer, StoreAnswer::Committed(_));
        for (count, applies) in self.compound.writes.iter_mut().zip([true, newer, newer && done]) {
            *count += usize::from(applies);
        }
    }

    /// Records the time of a controller's committed transaction.
    pub(crate) fn record_commit(&mut self, controller: usize, answer: &StoreAnswer) {
        if matches!(answer, StoreAnswer::Committed(_)) {
            self.compound.committed[controller] = self.now;
        }
    }

    /// Schedules a late copy of a random share of the heartbeats.
    pub(crate) fn schedule_late_heartbeat(&mut self, worker: usize, target: usize, heartbeat: &Heartbeat) {
        let (share, until) = self.compound.late_reports;
        if self.now < until && self.rng.random_bool(share) {
            let late = self.rng.random_range(2 * S..(1.6 * LEASE_S * 1e6) as u64);
            self.schedule(late, SimEvent::LateHeartbeat(worker, target, self.now, heartbeat.clone()));
        }
    }

    pub(crate) fn deliver_late_heartbeat(
        &mut self,
        worker_index: usize,
        target: usize,
        sent: u64,
        heartbeat: Heartbeat,
    ) {
        let worker = &self.workers[worker_index];
        let newer = (worker.incarnation, worker.seq) > (heartbeat.incarnation, heartbeat.sequence);
        let old = self.now > sent + (LEASE_S * 1e6) as u64;
        for (count, applies) in self.compound.copies.iter_mut().zip([true, newer, old]) {
            *count += usize::from(applies);
        }
        self.compound.earlier += usize::from(worker.incarnation > heartbeat.incarnation);
        // The response to the copy is dropped.
        self.serial += 1;
        self.step_controller(target, Event::Heartbeat { ticket: self.serial, heartbeat });
    }

    /// Checks an answer to a client. From the first 200 that reports a job as cancelled, its tasks have `cancel_s` to
    /// end, no matter which client asked and whether the answer arrives.
    pub(crate) fn check_sent_answer(&mut self, by: usize, reply: &Reply) {
        self.check_outcome_stored(by, reply);
        if reply.status != 200 || !reply.body.contains("aborted") {
            return;
        }
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        let (Some("aborted"), Some(id)) = (body["stance"].as_str(), body["uid"].as_str()) else { return };
        let tasks = self.machines_with_live_tasks(id).count();
        let refused = [0, 1, 2].map(|n| self.is_refused(n));
        let cancel_answer =
            CancelAnswer { at: self.now, by, refused, outage: self.now < self.outage_until, tasks };
        self.compound.cancel_answers.entry(id.to_owned()).or_insert(cancel_answer);
        if let Some(user_job) = self.jobs.get_mut(id) {
            user_job.cancelled_at.get_or_insert(cancel_answer.at);
        }
    }

    /// Machines with a valid lease and an unfinished task of the job.
    pub(crate) fn machines_with_live_tasks<'a>(&'a self, id: &'a str) -> impl Iterator<Item = usize> + 'a {
        let has_lease = |w: &Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let has = move |w: &Worker| w.tasks.iter().any(|t| t.job == id && t.state != "ended");
        (0..self.workers.len()).filter(move |&i| has_lease(&self.workers[i]) && has(&self.workers[i]))
    }

    /// Random running machines, at most a third of them.
    pub(crate) fn some_machines(&mut self) -> Vec<usize> {
        let now = self.now;
        let is_running = |i: &usize| {
            let worker = &self.workers[*i];
            !worker.gone && !worker.dead && now >= worker.up_at
        };
        let all: Vec<usize> = (0..self.workers.len()).filter(is_running).collect();
        let count = self.rng.random_range(1..=(all.len() / 3).max(1));
        all.sample(&mut self.rng, count).copied().collect()
    }

    /// Injects a fault for `duration`; `controller` is the affected one, if any.
    pub(crate) fn inject_fault(&mut self, fault: Fault, controller: usize, duration: u64) {
        let now = self.now;
        self.log.push(format!(
            "{:.1}: {fault:?} of {controller} for {:.1}",
            now as f64 / 1e6,
            duration as f64 / 1e6
        ));
        let hold = self.rng.random_bool(0.5);
        let (next_peer, other_peer) = ((controller + 1) % 3, (controller + 2) % 3);
        match fault {
            Fault::Restart => self.crash_for(controller, S / 20..S / 10),
            Fault::RestartAll => (0..3).for_each(|controller| self.crash_for(controller, S / 20..S / 10)),
            Fault::Leave => {
                self.schedule(1, SimEvent::Controller(controller, self.boot_ids[controller], Event::Leave));
                self.schedule(5 * S, SimEvent::Exit(controller, self.boot_ids[controller]));
            }
            Fault::ProcessPaused => self.paused_until[controller] = now + duration,
            Fault::Outage => self.outage_until = now + duration,
            Fault::StoreRefuses => self.refuse(controller, duration),
            Fault::SlowStore => self.slow_store(duration),
            Fault::LateWrites => {
                let share = self.rng.random_range(0.05..0.6);
                self.delay_writes(share, duration);
            }
            Fault::PartitionFromStore => self.partitions.push((
                Endpoint::Controller(controller),
                Endpoint::Store,
                now + duration,
                hold,
            )),
            Fault::PartitionFromWorkers => self.partitions.push((
                Endpoint::Controller(controller),
                Endpoint::Workers,
                now + duration,
                hold,
            )),
            Fault::PartitionFromPeer => self.partitions.push((
                Endpoint::Controller(controller),
                Endpoint::Controller(next_peer),
                now + duration,
                hold,
            )),
            Fault::OneWayPartition => {
                let (a, b) =
                    if self.rng.random_bool(0.5) { (controller, next_peer) } else { (next_peer, controller) };
                self.fail_one_way(a, b, duration, if hold { LinkFault::Held } else { LinkFault::Lost });
            }
            Fault::LatePeers => {
                let by = self.rng.random_range(S / 2..8 * S);
                for (a, b) in [
                    (controller, next_peer),
                    (next_peer, controller),
                    (controller, other_peer),
                    (other_peer, controller),
                ] {
                    self.fail_one_way(a, b, duration, LinkFault::Late(by));
                }
            }
            Fault::PartitionFromStoreAndPeers => self.cut_from_store_and_peers(controller, duration, hold),
            Fault::PartitionFromAll => {
                self.cut_from_store_and_peers(controller, duration, hold);
                self.partitions.push((
                    Endpoint::Controller(controller),
                    Endpoint::Workers,
                    now + duration,
                    hold,
                ));
            }
            Fault::ZonePartition => self.partition_zone(ZONES[controller % 2], duration, hold),
            Fault::LateHeartbeats => {
                let share = self.rng.random_range(0.1..0.9);
                self.delay_heartbeats(share, duration);
            }
            Fault::AnswersLost => {
                let share = self.rng.random_range(0.05..0.6);
                self.lose_answers(None, share, duration, Execution::AtOnce);
            }
            Fault::HeldBackHeartbeats => {
                let share = self.rng.random_range(0.1..0.9);
                self.hold_back_heartbeats(share, duration);
            }
            Fault::MachinesOutboundLost => {
                let machines = self.some_machines();
                self.lose_outbound_messages(&machines, duration);
            }
            Fault::MachinesInboundLost => {
                let machines = self.some_machines();
                self.lose_inbound_messages(&machines, duration);
            }
            Fault::MachinesUnresponsive => {
                for machine in self.some_machines() {
                    self.workers[machine].unresponsive_until = now + duration;
                }
            }
            Fault::MachinesFail => {
                let Some(&machine) = self.some_machines().first() else { return };
                self.workers[machine].dead = true;
                self.workers[machine].tasks.clear();
            }
            Fault::MachinesReturned => {
                let Some(&machine) = self.some_machines().first() else { return };
                self.workers[machine].gone = true;
                self.workers[machine].tasks.clear();
            }
            Fault::ProbeBursts => self.enable_probe_bursts(duration),
            Fault::CancelAtEnd => {
                let share = self.rng.random_range(0.2..0.8);
                self.cancel_at_end(share, duration);
            }
            Fault::InvalidRequests => self.enable_invalid_requests(duration),
            Fault::MassCancel => {
                self.mass_cancel(MASS_CANCEL_JOBS, 0);
            }
            Fault::MassCancelUnresponsive => {
                self.mass_cancel(MASS_CANCEL_JOBS, duration);
            }
            Fault::LateFencingProbes => {
                let share = self.rng.random_range(0.2..1.0);
                self.delay_fencing_probes(share, duration);
            }
        }
    }

    /// Injects two overlapping faults: the second begins during the first or shortly after it.
    pub(crate) fn pair(&mut self, first: Fault, second: Fault) {
        let (first_target, second_target) =
            (self.rng.random_range(0..3usize), self.rng.random_range(0..3usize));
        let duration = self.rng.random_range(4 * S..60 * S);
        self.inject_fault(first, first_target, duration);
        let brief = matches!(
            first,
            Fault::Restart | Fault::RestartAll | Fault::MachinesFail | Fault::MachinesReturned
        );
        let gap = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(0..S),
            _ if brief => self.rng.random_range(0..6 * S),
            1 => self.rng.random_range(0..(6 * S).min(duration)),
            _ => self.rng.random_range(0..duration),
        };
        let until = self.now + gap;
        self.run(0, until);
        let duration = self.rng.random_range(4 * S..70 * S);
        self.inject_fault(second, second_target, duration);
    }

    /// The end of the last fault.
    pub(crate) fn last_fault_end(&self) -> u64 {
        let compound = &self.compound;
        let ends = [
            self.outage_until,
            compound.late_writes.1,
            compound.late_reports.1,
            compound.slow_until,
            self.client_probes.last_fault_end(),
            self.lost.until(),
            self.zones.until(),
            self.commands.until(),
        ];
        let ends = ends.into_iter().chain(compound.refused).chain(self.paused_until.iter().copied());
        let ends = ends
            .chain(compound.faulty_links.iter().map(|w| w.until))
            .chain(self.partitions.iter().map(|cut| cut.2));
        ends.chain(self.workers.iter().flat_map(|w| [w.inbound_lost_until, w.outbound_lost_until]))
            .filter(|&t| t < NEVER)
            .max()
            .unwrap_or(0)
    }
}
