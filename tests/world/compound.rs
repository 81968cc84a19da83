//! Faults that are combined with others, and counters of their effects: late transactions, late copies of heartbeats,
//! machines that receive no messages, a state store that refuses one controller or is slow, and one-way partitions
//! between controllers.

use super::*;
use rand::seq::IndexedRandom;

/// What happens to messages on a faulty link between controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Lost,
    Held,
    /// Delayed by this additional time, in order.
    Late(u64),
}

/// A link that fails in one direction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    pub(crate) from: End,
    pub(crate) to: End,
    pub(crate) until: u64,
    pub(crate) fate: Fate,
}

/// The faults that a test can inject, alone or in combination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    Restart,
    RestartAll,
    /// The process is asked to shut down, and restarts at once.
    Leave,
    StandsStill,
    Outage,
    Refused,
    SlowStore,
    LateWrites,
    CutFromStore,
    CutFromWorkers,
    CutFromPeer,
    CutOneWay,
    LatePeers,
    /// Partitioned from the state store and the peers, but not from workers and clients.
    CutFromStoreAndPeers,
    CutFromAll,
    /// Partition of a zone with its workers and controller.
    ZoneCut,
    LateReports,
    MachinesDeaf,
    MachinesHang,
    MachinesDie,
    MachinesTakenBack,
    CloseLooks,
    CancelAtEnd,
    OddRequests,
    /// Writes to the state store are carried out at once, but their answers are lost.
    AnswersLost,
    /// Copies of heartbeats arrive at every controller when the next epoch begins, or after the first task start in
    /// it.
    ReportsForNext,
    /// The machines reach no controller, but fencing probes reach them.
    MachinesMute,
    /// Running jobs are cancelled within 0.2 s; with `CancelNowHang` some of their machines become unresponsive.
    CancelNow,
    CancelNowHang,
    /// Fencing probes arrive late, after those of a newer leader.
    LateCommands,
}

pub(crate) const TROUBLES: [Trouble; 30] = [
    Trouble::Restart,
    Trouble::RestartAll,
    Trouble::Leave,
    Trouble::StandsStill,
    Trouble::Outage,
    Trouble::Refused,
    Trouble::SlowStore,
    Trouble::LateWrites,
    Trouble::CutFromStore,
    Trouble::CutFromWorkers,
    Trouble::CutFromPeer,
    Trouble::CutOneWay,
    Trouble::LatePeers,
    Trouble::CutFromStoreAndPeers,
    Trouble::CutFromAll,
    Trouble::ZoneCut,
    Trouble::LateReports,
    Trouble::MachinesDeaf,
    Trouble::MachinesHang,
    Trouble::MachinesDie,
    Trouble::MachinesTakenBack,
    Trouble::CloseLooks,
    Trouble::CancelAtEnd,
    Trouble::OddRequests,
    Trouble::AnswersLost,
    Trouble::ReportsForNext,
    Trouble::MachinesMute,
    Trouble::CancelNow,
    Trouble::CancelNowHang,
    Trouble::LateCommands,
];

/// A client was told that a job is cancelled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Told {
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
    slow: u64,
    /// Range of answer delays of a slow state store; 1 to 5 s if `None`.
    slow_by: Option<std::ops::Range<u64>>,
    pub(crate) ways: Vec<Way>,
    /// When the latest transaction of each controller was committed.
    committed: [u64; 3],
    /// Late transactions: all, those after newer ones of the same controller, and of these, the committed ones.
    pub(crate) writes: [usize; 3],
    /// Late copies of heartbeats: all, those after newer ones, and those older than a lease.
    pub(crate) copies: [usize; 3],
    /// Copies from an earlier incarnation of the worker.
    pub(crate) earlier: usize,
    /// Responses and fencing probes lost on the way to machines.
    pub(crate) unheard: usize,
    /// Requests of controllers that the state store refused alone, and requests that a slow store carried out after
    /// the client's timeout.
    pub(crate) refusals: usize,
    pub(crate) slow_unknown: usize,
    /// Jobs reported as cancelled to a client, with the first such answer.
    pub(crate) told: BTreeMap<String, Told>,
}

impl Compound {
    /// Whether controllers or services that they need are failing.
    pub(crate) fn troubles(&self, now: u64) -> bool {
        let until = [self.late_writes.1, self.slow].into_iter().chain(self.refused);
        until.chain(self.ways.iter().map(|w| w.until)).any(|t| now < t)
    }
}

impl World {
    /// For this time, this share of transactions gets no answer and is carried out 2 to 12 s late.
    pub(crate) fn late_writes(&mut self, share: f64, long: u64) {
        self.compound.late_writes = (share, self.now + long);
    }

    /// For this time, copies of this share of the workers' heartbeats arrive again, 2 s to 1.6 leases later.
    pub(crate) fn late_reports(&mut self, share: f64, long: u64) {
        self.compound.late_reports = (share, self.now + long);
    }

    /// Heartbeats of these machines arrive, but responses and fencing probes to them are lost.
    pub(crate) fn machine_deaf(&mut self, machines: &[usize], long: u64) {
        for &i in machines {
            self.workers[i].deaf_until = self.now + long;
        }
    }

    /// The state store refuses one controller's requests with status 503, including its open watches.
    pub(crate) fn refuse(&mut self, n: usize, long: u64) {
        self.compound.refused[n] = self.now + long;
        let (its, others) = std::mem::take(&mut self.watches).into_iter().partition(|w| w.0 == n);
        self.watches = others;
        for (n, boot, id, ..) in its {
            self.later(1000, What::Controller(n, boot, Event::Store { id, answer: StoreAnswer::Refused }));
        }
    }

    pub(crate) fn is_refused(&self, n: usize) -> bool {
        self.now < self.compound.refused[n]
    }

    /// The state store answers after 1 to 5 s; its clients time out after 2 s.
    pub(crate) fn slow_store(&mut self, long: u64) {
        (self.compound.slow, self.compound.slow_by) = (self.now + long, None);
    }

    /// The state store answers each request after a random time in this range, and so out of order.
    pub(crate) fn slow_store_by(&mut self, long: u64, by: std::ops::Range<u64>) {
        (self.compound.slow, self.compound.slow_by) = (self.now + long, Some(by));
    }

    /// One controller is partitioned from the state store and its peers, but not from workers and clients.
    pub(crate) fn cut_from_store_and_peers(&mut self, n: usize, long: u64, hold: bool) {
        self.cuts.push((End::Controller(n), End::Store, self.now + long, hold));
        for p in (0..3).filter(|&p| p != n) {
            self.cuts.push((End::Controller(n), End::Controller(p), self.now + long, hold));
        }
    }

    /// Messages from one controller to another are lost, held back or late; the other direction works.
    pub(crate) fn one_way(&mut self, from: usize, to: usize, long: u64, fate: Fate) {
        let (from, to) = (End::Controller(from), End::Controller(to));
        self.compound.ways.push(Way { from, to, until: self.now + long, fate });
    }

    /// The extra delay of a message due to one-way faults; `None` if it is lost.
    pub(crate) fn waylaid(&self, from: End, to: End) -> Option<u64> {
        let hit = |w: &&Way| w.from == from && w.to == to && self.now < w.until;
        match self.compound.ways.iter().find(hit) {
            None => Some(0),
            Some(w) => match w.fate {
                Fate::Lost => None,
                Fate::Held => Some(w.until - self.now),
                Fate::Late(by) => Some(by),
            },
        }
    }

    /// Sends a request other than a watch to the state store; `delay` is `None` if it is lost.
    pub(crate) fn ask_store(&mut self, n: usize, id: u64, r: StoreRequest, delay: Option<u64>) {
        const LIMIT: u64 = 2 * S;
        let boot = self.boots[n];
        let unknown = |w: &mut World| {
            w.later(LIMIT, What::Controller(n, boot, Event::Store { id, answer: StoreAnswer::Unknown }))
        };
        let Some(delay) = delay else { return unknown(self) };
        if self.is_refused(n) {
            self.compound.refusals += 1;
            return self
                .later(delay, What::Controller(n, boot, Event::Store { id, answer: StoreAnswer::Refused }));
        }
        if self.loses_answer(n, &r, delay) {
            return unknown(self);
        }
        let (share, until) = self.compound.late_writes;
        if self.now < until && matches!(r, StoreRequest::Transaction(_)) && self.rng.random_bool(share) {
            let late = self.rng.random_range(2 * S..12 * S);
            let issued = self.now;
            self.later(late, What::LateWrite(n, issued, r));
            return unknown(self);
        }
        let slow = match self.now < self.compound.slow {
            true => self.rng.random_range(self.compound.slow_by.clone().unwrap_or(S..5 * S)),
            false => 0,
        };
        // A request that takes longer than the client's timeout has an unknown outcome and is applied late.
        if delay + slow < LIMIT {
            self.later(delay + slow / 2, What::StoreApply(n, boot, id, r, Some(slow / 2)));
        } else {
            self.compound.slow_unknown += usize::from(slow > 0);
            self.later(delay + slow / 2, What::StoreApply(n, boot, id, r, None));
            unknown(self);
        }
    }

    /// Carries out a transaction after its client's timeout; its conditions are checked now.
    pub(crate) fn late_write(&mut self, n: usize, issued: u64, r: StoreRequest) {
        // One that arrives during an outage is carried out afterwards.
        if self.now < self.outage_until {
            let delay = self.outage_until - self.now + S / 10;
            return self.later(delay, What::LateWrite(n, issued, r));
        }
        let newer = self.compound.committed[n] > issued;
        let a = self.store_apply(r);
        self.run_watches();
        let done = matches!(a, StoreAnswer::Committed(_));
        for (count, is) in self.compound.writes.iter_mut().zip([true, newer, newer && done]) {
            *count += usize::from(is);
        }
    }

    /// Records the time of a controller's committed transaction.
    pub(crate) fn note_commit(&mut self, n: usize, a: &StoreAnswer) {
        if matches!(a, StoreAnswer::Committed(_)) {
            self.compound.committed[n] = self.now;
        }
    }

    /// Schedules a late copy of a random share of the heartbeats.
    pub(crate) fn copy_report(&mut self, worker: usize, target: usize, report: &Heartbeat) {
        let (share, until) = self.compound.late_reports;
        if self.now < until && self.rng.random_bool(share) {
            let late = self.rng.random_range(2 * S..(1.6 * LEASE_S * 1e6) as u64);
            self.later(late, What::LateReport(worker, target, self.now, report.clone()));
        }
    }

    pub(crate) fn late_report(&mut self, i: usize, target: usize, sent: u64, report: Heartbeat) {
        let w = &self.workers[i];
        let newer = (w.session, w.seq) > (report.incarnation, report.sequence);
        let old = self.now > sent + (LEASE_S * 1e6) as u64;
        for (count, is) in self.compound.copies.iter_mut().zip([true, newer, old]) {
            *count += usize::from(is);
        }
        self.compound.earlier += usize::from(w.session > report.incarnation);
        // The response to the copy is dropped.
        self.serial += 1;
        self.drive(target, Event::Heartbeat { ticket: self.serial, heartbeat: report });
    }

    /// Checks an answer to a client. From the first 200 that reports a job as cancelled, its tasks have `cancel_s` to
    /// end, no matter which client asked and whether the answer arrives.
    pub(crate) fn note_told(&mut self, by: usize, reply: &Reply) {
        self.vet_told(by, reply);
        if reply.status != 200 || !reply.body.contains("aborted") {
            return;
        }
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        let (Some("aborted"), Some(id)) = (body["stance"].as_str(), body["uid"].as_str()) else { return };
        let tasks = self.alive(id).count();
        let refused = [0, 1, 2].map(|n| self.is_refused(n));
        let told = Told { at: self.now, by, refused, outage: self.now < self.outage_until, tasks };
        self.compound.told.entry(id.to_owned()).or_insert(told);
        if let Some(j) = self.jobs.get_mut(id) {
            j.cancelled_at.get_or_insert(told.at);
        }
    }

    /// Machines with a valid lease and an unfinished task of the job.
    pub(crate) fn alive<'a>(&'a self, id: &'a str) -> impl Iterator<Item = usize> + 'a {
        let lives = |w: &Worker| !w.gone && !w.dead && self.now <= w.lease_from + (LEASE_S * 1e6) as u64;
        let has = move |w: &Worker| w.tasks.iter().any(|t| t.job == id && t.state != "ended");
        (0..self.workers.len()).filter(move |&i| lives(&self.workers[i]) && has(&self.workers[i]))
    }

    /// Random running machines, at most a third of them.
    pub(crate) fn some_machines(&mut self) -> Vec<usize> {
        let now = self.now;
        let there = |i: &usize| {
            let w = &self.workers[*i];
            !w.gone && !w.dead && now >= w.up_at
        };
        let all: Vec<usize> = (0..self.workers.len()).filter(there).collect();
        let n = self.rng.random_range(1..=(all.len() / 3).max(1));
        all.sample(&mut self.rng, n).copied().collect()
    }

    /// Injects a fault for a duration; `n` is the affected controller, if any.
    pub(crate) fn begin(&mut self, trouble: Trouble, n: usize, long: u64) {
        let now = self.now;
        self.log.push(format!("{:.1}: {trouble:?} of {n} for {:.1}", now as f64 / 1e6, long as f64 / 1e6));
        let hold = self.rng.random_bool(0.5);
        let (p, q) = ((n + 1) % 3, (n + 2) % 3);
        match trouble {
            Trouble::Restart => self.crash_for(n, S / 20..S / 10),
            Trouble::RestartAll => (0..3).for_each(|n| self.crash_for(n, S / 20..S / 10)),
            Trouble::Leave => {
                self.later(1, What::Controller(n, self.boots[n], Event::Leave));
                self.later(5 * S, What::End(n, self.boots[n]));
            }
            Trouble::StandsStill => self.hung[n] = now + long,
            Trouble::Outage => self.outage_until = now + long,
            Trouble::Refused => self.refuse(n, long),
            Trouble::SlowStore => self.slow_store(long),
            Trouble::LateWrites => {
                let share = self.rng.random_range(0.05..0.6);
                self.late_writes(share, long);
            }
            Trouble::CutFromStore => self.cuts.push((End::Controller(n), End::Store, now + long, hold)),
            Trouble::CutFromWorkers => self.cuts.push((End::Controller(n), End::Workers, now + long, hold)),
            Trouble::CutFromPeer => {
                self.cuts.push((End::Controller(n), End::Controller(p), now + long, hold))
            }
            Trouble::CutOneWay => {
                let (a, b) = if self.rng.random_bool(0.5) { (n, p) } else { (p, n) };
                self.one_way(a, b, long, if hold { Fate::Held } else { Fate::Lost });
            }
            Trouble::LatePeers => {
                let by = self.rng.random_range(S / 2..8 * S);
                for (a, b) in [(n, p), (p, n), (n, q), (q, n)] {
                    self.one_way(a, b, long, Fate::Late(by));
                }
            }
            Trouble::CutFromStoreAndPeers => self.cut_from_store_and_peers(n, long, hold),
            Trouble::CutFromAll => {
                self.cut_from_store_and_peers(n, long, hold);
                self.cuts.push((End::Controller(n), End::Workers, now + long, hold));
            }
            Trouble::ZoneCut => self.zone_cut(ZONES[n % 2], long, hold),
            Trouble::LateReports => {
                let share = self.rng.random_range(0.1..0.9);
                self.late_reports(share, long);
            }
            Trouble::AnswersLost => {
                let share = self.rng.random_range(0.05..0.6);
                self.answers_lost(None, share, long, Carried::AtOnce);
            }
            Trouble::ReportsForNext => {
                let share = self.rng.random_range(0.1..0.9);
                self.reports_for_next(share, long);
            }
            Trouble::MachinesMute => {
                let some = self.some_machines();
                self.machine_mute(&some, long);
            }
            Trouble::MachinesDeaf => {
                let some = self.some_machines();
                self.machine_deaf(&some, long);
            }
            Trouble::MachinesHang => {
                for i in self.some_machines() {
                    self.workers[i].hung_until = now + long;
                }
            }
            Trouble::MachinesDie => {
                let Some(&i) = self.some_machines().first() else { return };
                self.workers[i].dead = true;
                self.workers[i].tasks.clear();
            }
            Trouble::MachinesTakenBack => {
                let Some(&i) = self.some_machines().first() else { return };
                self.workers[i].gone = true;
                self.workers[i].tasks.clear();
            }
            Trouble::CloseLooks => self.close_looks(long),
            Trouble::CancelAtEnd => {
                let share = self.rng.random_range(0.2..0.8);
                self.cancel_at_end(share, long);
            }
            Trouble::OddRequests => self.odd_requests(long),
            Trouble::CancelNow => {
                self.cancel_now(CALLED_OFF, 0);
            }
            Trouble::CancelNowHang => {
                self.cancel_now(CALLED_OFF, long);
            }
            Trouble::LateCommands => {
                let share = self.rng.random_range(0.2..1.0);
                self.late_commands(share, long);
            }
        }
    }

    /// Injects two overlapping faults: the second begins during the first or shortly after it.
    pub(crate) fn pair(&mut self, first: Trouble, second: Trouble) {
        let (a, b) = (self.rng.random_range(0..3usize), self.rng.random_range(0..3usize));
        let long = self.rng.random_range(4 * S..60 * S);
        self.begin(first, a, long);
        let brief = matches!(
            first,
            Trouble::Restart | Trouble::RestartAll | Trouble::MachinesDie | Trouble::MachinesTakenBack
        );
        let gap = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(0..S),
            _ if brief => self.rng.random_range(0..6 * S),
            1 => self.rng.random_range(0..(6 * S).min(long)),
            _ => self.rng.random_range(0..long),
        };
        let until = self.now + gap;
        self.run(0, until);
        let long = self.rng.random_range(4 * S..70 * S);
        self.begin(second, b, long);
    }

    /// The end of the last fault.
    pub(crate) fn over_at(&self) -> u64 {
        let c = &self.compound;
        let ends = [
            self.outage_until,
            c.late_writes.1,
            c.late_reports.1,
            c.slow,
            self.looks.over_at(),
            self.lost.until(),
            self.zones.until(),
            self.commands.until(),
        ];
        let ends = ends.into_iter().chain(c.refused).chain(self.hung.iter().copied());
        let ends = ends.chain(c.ways.iter().map(|w| w.until)).chain(self.cuts.iter().map(|c| c.2));
        ends.chain(self.workers.iter().flat_map(|w| [w.deaf_until, w.mute_until]))
            .filter(|&t| t < NEVER)
            .max()
            .unwrap_or(0)
    }
}
