//! Lost or late messages whose outcome the sender can't determine, and counters of their effects: lost answers to
//! writes, heartbeats held back for the next leader, machines that reach no controller, machines that boot at once,
//! and scale-outs without an answer.

use super::*;
use std::ops::Range;

/// A kind of write to the state store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Write {
    Raise,
    Member,
    Grant,
    Renewal,
    Acceptance,
    Progress,
    End,
    /// Updates of a team's record: one in which no job's claim shrinks, and one in which some job's claim does.
    Claim,
    Shrinking,
    Page,
    Unwitnessed,
    Release,
    Batch,
    Loan,
}

/// Whether and when a write without an answer is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Execution {
    Never,
    AtOnce,
    /// After 2 to 12 s.
    Late,
    /// After another process has written the same key.
    AfterSuccessor,
}

/// Selects the writes whose answers are lost: by kind and controller, where `None` matches all.
#[derive(Clone, Copy, Debug)]
struct AnswerLoss {
    of: Option<Write>,
    by: Option<usize>,
    share: f64,
    until: u64,
    execution: Execution,
}

/// A write whose sender gets no answer.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredWrite {
    controller: usize,
    boot: u64,
    kind: Write,
    execution: Execution,
    request: StoreRequest,
}

/// A write that was carried out without an answer and has not been read back by its sender yet.
#[derive(Debug)]
struct UnreadWrite {
    controller: usize,
    boot: u64,
    kind: Write,
    execution: Execution,
    keys: Vec<String>,
    until: u64,
}

/// Counters for writes of one kind without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) asked: usize,
    /// Writes that were carried out; of these, the committed ones.
    pub(crate) applied: usize,
    pub(crate) committed: usize,
    /// Writes read by another controller before their sender.
    pub(crate) read: usize,
}

/// Counters for the held-back copies of heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Copies {
    pub(crate) all: usize,
    /// Copies that reached the machine's leader before the machine had seen its token.
    pub(crate) first: usize,
    /// Copies that reached the leader after a task started in its epoch was on the machine.
    pub(crate) acted: usize,
    /// Copies from an earlier incarnation.
    pub(crate) earlier: usize,
    /// Copies from a machine that no longer existed.
    pub(crate) gone: usize,
    /// Copies that list a task as done which the machine has since forgotten.
    pub(crate) forgotten: usize,
}

#[derive(Default)]
pub(crate) struct Lost {
    losses: Vec<AnswerLoss>,
    pub(crate) counts: BTreeMap<(Write, Execution), Count>,
    /// Writes that wait for another process to write the same key.
    waiting: Vec<UnansweredWrite>,
    unread: Vec<UnreadWrite>,
    /// Share and end time for copying heartbeats, and the copies by worker.
    reports: (f64, u64),
    held_back: Vec<(usize, Heartbeat)>,
    /// Copies that wait until a task is started in the epoch: epoch, worker, heartbeat.
    awaiting_start: Vec<(u64, usize, Heartbeat)>,
    epoch: u64,
    pub(crate) copies: Copies,
    /// Heartbeats lost by machines that reach no controller, and their answers to fencing probes.
    pub(crate) lost_heartbeats: usize,
    pub(crate) fencing_answers: usize,
    /// Range of the boot times of new machines; random if `None`.
    pub(crate) boot_times: Option<Range<u64>>,
    scale_outs: (f64, u64),
    /// Scale-outs carried out without an answer.
    pub(crate) lost_scale_outs: usize,
    /// End time and extra delay of each controller's requests on its membership lane.
    membership_delay: [(u64, u64); 3],
}

impl Lost {
    /// The end of the last fault.
    pub(crate) fn until(&self) -> u64 {
        let ends = self.losses.iter().map(|l| l.until).chain(self.membership_delay.iter().map(|l| l.0));
        ends.chain([self.reports.1, self.scale_outs.1]).max().unwrap_or(0)
    }

    /// Whether controllers or services that they need are failing.
    pub(crate) fn has_fault(&self, now: u64) -> bool {
        self.losses.iter().any(|l| now < l.until) || self.membership_delay.iter().any(|l| now < l.0)
    }

    pub(crate) fn count(&self, kind: Write, execution: Execution) -> Count {
        self.counts.get(&(kind, execution)).copied().unwrap_or_default()
    }
}

/// The keys that a transaction writes or deletes.
fn keys_of(request: &StoreRequest) -> Vec<String> {
    let StoreRequest::Transaction(transaction) = request else { return Vec::new() };
    transaction.puts.iter().map(|p| &p.0).chain(&transaction.deletes).cloned().collect()
}

impl World {
    /// For `duration`, this share of the writes of a kind (`None`: of any kind) gets no answer.
    pub(crate) fn lose_answers(
        &mut self,
        of: Option<Write>,
        share: f64,
        duration: u64,
        execution: Execution,
    ) {
        self.lost.losses.push(AnswerLoss { of, by: None, share, until: self.now + duration, execution });
    }

    /// Like `lose_answers`, for one controller.
    pub(crate) fn lose_answers_of(
        &mut self,
        controller: usize,
        of: Write,
        share: f64,
        duration: u64,
        execution: Execution,
    ) {
        let until = self.now + duration;
        self.lost.losses.push(AnswerLoss { of: Some(of), by: Some(controller), share, until, execution });
    }

    /// For `duration`, copies of this share of the workers' heartbeats are held back until the next epoch. Then they
    /// arrive at every controller, half of them only after a task was started in that epoch.
    pub(crate) fn hold_back_heartbeats(&mut self, share: f64, duration: u64) {
        self.lost.reports = (share, self.now + duration);
    }

    /// These machines reach no controller, but fencing probes reach them.
    pub(crate) fn lose_outbound_messages(&mut self, machines: &[usize], duration: u64) {
        for &machine in machines {
            self.workers[machine].outbound_lost_until = self.now + duration;
        }
    }

    /// For `duration`, this share of scale-outs is carried out without an answer.
    pub(crate) fn lose_scale_out_answers(&mut self, share: f64, duration: u64) {
        self.lost.scale_outs = (share, self.now + duration);
    }

    /// Delays a controller's requests on its membership lane, but not its other requests.
    pub(crate) fn slow_membership_lane(&mut self, controller: usize, by: u64, duration: u64) {
        self.lost.membership_delay[controller] = (self.now + duration, by);
    }

    pub(crate) fn membership_delay(&self, controller: usize, ring: bool) -> u64 {
        let (until, by) = self.lost.membership_delay[controller];
        if ring && self.now < until { by } else { 0 }
    }

    fn kind_of(&self, request: &StoreRequest) -> Option<Write> {
        let transaction = match request {
            StoreRequest::Grant(_) => return Some(Write::Grant),
            StoreRequest::Renew(_) => return Some(Write::Renewal),
            StoreRequest::Transaction(transaction) => transaction,
            _ => return None,
        };
        let keys = keys_of(request);
        let has = |prefix: &str| keys.iter().any(|k| k.starts_with(prefix));
        let new = || {
            transaction
                .conditions
                .iter()
                .any(|(k, store_version)| k.starts_with("job/") && *store_version == 0)
        };
        const PLAIN: [(&str, Write); 8] = [
            ("ring/epoch", Write::Raise),
            ("ring/m/", Write::Member),
            ("done/", Write::End),
            ("mach/", Write::Page),
            ("unwitnessed/", Write::Unwitnessed),
            ("pact/r/", Write::Release),
            ("pactpage/r/", Write::Release),
            ("pact/l/", Write::Loan),
        ];
        if let Some((_, kind)) = PLAIN.iter().find(|(prefix, _)| has(prefix)) {
            return Some(*kind);
        }
        match () {
            _ if has("job/") => Some(if new() { Write::Acceptance } else { Write::Progress }),
            _ if has("team/") => {
                Some(if self.reduces_claim(transaction) { Write::Shrinking } else { Write::Claim })
            }
            _ if has("pact/b/") => Some(Write::Batch),
            _ => None,
        }
    }

    /// Whether the transaction reduces a job's claim in a team's record.
    fn reduces_claim(&self, transaction: &Transaction) -> bool {
        let claims = |v: &Value| -> BTreeMap<String, i64> {
            let all = v.as_object().into_iter().flatten();
            all.map(|(job, claim)| (job.clone(), claim[0].as_i64().unwrap_or(0))).collect()
        };
        transaction.puts.iter().any(|(key, value, _)| {
            let before = self.store.keys.get(key).map(|v| claims(&v.0)).unwrap_or_default();
            let after = claims(value);
            before.iter().any(|(job, claim)| after.get(job).copied().unwrap_or(0) < *claim)
        })
    }

    /// Whether the answer to a request is lost; if so, this also determines when the request is carried out.
    pub(crate) fn is_answer_dropped(
        &mut self,
        controller: usize,
        request: &StoreRequest,
        delay: u64,
    ) -> bool {
        if !self.lost.losses.iter().any(|loss| self.now < loss.until) {
            return false;
        }
        let Some(kind) = self.kind_of(request) else { return false };
        let hit = |loss: &&AnswerLoss| {
            self.now < loss.until
                && loss.of.is_none_or(|k| k == kind)
                && loss.by.is_none_or(|p| p == controller)
        };
        let Some(loss) = self.lost.losses.iter().find(hit).copied() else { return false };
        if !self.rng.random_bool(loss.share) {
            return false;
        }
        self.lost.counts.entry((kind, loss.execution)).or_default().asked += 1;
        let write = UnansweredWrite {
            controller,
            boot: self.boot_ids[controller],
            kind,
            execution: loss.execution,
            request: request.clone(),
        };
        match loss.execution {
            Execution::Never => {}
            Execution::AtOnce => self.schedule(delay, SimEvent::Unanswered(write)),
            Execution::Late => {
                let late = self.rng.random_range(2 * S..12 * S);
                self.schedule(late, SimEvent::Unanswered(write));
            }
            Execution::AfterSuccessor => self.lost.waiting.push(write),
        }
        true
    }

    /// Carries out a write whose sender gets no answer; its conditions are checked now.
    pub(crate) fn apply_unanswered(&mut self, write: UnansweredWrite) {
        if self.now < self.outage_until {
            // A late write is carried out after the outage. The others are refused, and their senders are not
            // informed.
            if write.execution == Execution::Late {
                let delay = self.outage_until - self.now + S / 10;
                self.schedule(delay, SimEvent::Unanswered(write));
            }
            return;
        }
        let keys = keys_of(&write.request);
        let answer = self.store_apply_by(write.controller, write.boot, write.request);
        self.run_watches();
        let took =
            matches!(answer, StoreAnswer::Committed(_) | StoreAnswer::Granted(_) | StoreAnswer::Renewed);
        // A newer write of another process must not be overwritten by this one.
        assert!(
            !took || write.execution != Execution::AfterSuccessor,
            "{:?} of {keys:?} by {} was committed after another process's write at {}",
            write.kind,
            write.controller,
            self.now
        );
        let count = self.lost.counts.entry((write.kind, write.execution)).or_default();
        count.applied += 1;
        count.committed += usize::from(took);
        if took && !keys.is_empty() {
            let until = self.now + 10 * S;
            self.lost.unread.push(UnreadWrite {
                controller: write.controller,
                boot: write.boot,
                kind: write.kind,
                execution: write.execution,
                keys,
                until,
            });
        }
    }

    /// A controller's request reaches the state store.
    pub(crate) fn store_apply_by(
        &mut self,
        controller: usize,
        boot: u64,
        request: StoreRequest,
    ) -> StoreAnswer {
        self.record_read(controller, boot, &request);
        let keys = keys_of(&request);
        let answer = self.store_apply(request);
        if matches!(answer, StoreAnswer::Committed(_)) && !self.lost.waiting.is_empty() {
            let writes_same_key = |write: &mut UnansweredWrite| {
                (write.controller, write.boot) != (controller, boot)
                    && keys_of(&write.request).iter().any(|k| keys.contains(k))
            };
            for write in self.lost.waiting.extract_if(.., writes_same_key).collect::<Vec<_>>() {
                let soon = self.rng.random_range(1..3 * S / 10);
                self.schedule(soon, SimEvent::Unanswered(write));
            }
        }
        answer
    }

    /// Records whether the sender or another process first reads a write without an answer.
    fn record_read(&mut self, controller: usize, boot: u64, request: &StoreRequest) {
        let now = self.now;
        let covers = |key: &String| match request {
            StoreRequest::Get(k) => k == key,
            StoreRequest::List(prefix, after) => key.starts_with(prefix) && key > after,
            _ => false,
        };
        let mut read: Vec<(Write, Execution)> = Vec::new();
        self.lost.unread.retain(|write| {
            if now >= write.until {
                return false;
            }
            if !write.keys.iter().any(covers) {
                return true;
            }
            if (write.controller, write.boot) != (controller, boot) {
                read.push((write.kind, write.execution));
            }
            false
        });
        for key in read {
            self.lost.counts.entry(key).or_default().read += 1;
        }
    }

    /// Holds back a copy of a random share of the heartbeats, at most four for each machine, old ones included.
    pub(crate) fn hold_back_heartbeat(&mut self, worker_index: usize, heartbeat: &Heartbeat) {
        const KEPT: usize = 4;
        let (share, until) = self.lost.reports;
        if self.now >= until || !self.rng.random_bool(share) {
            return;
        }
        let from_worker: Vec<usize> = (0..self.lost.held_back.len())
            .filter(|slot| self.lost.held_back[*slot].0 == worker_index)
            .collect();
        if from_worker.len() < KEPT {
            self.lost.held_back.push((worker_index, heartbeat.clone()));
        } else {
            let slot = from_worker[self.rng.random_range(0..KEPT)];
            self.lost.held_back[slot].1 = heartbeat.clone();
        }
    }

    /// When the epoch was raised, delivers the copies held back for the next leader, now or after the first task
    /// start in it.
    pub(crate) fn observe_epoch(&mut self) {
        let Some(epoch) = self.store.keys.get("ring/epoch").and_then(|v| v.0["epoch"].as_u64()) else {
            return;
        };
        if epoch == self.lost.epoch {
            return;
        }
        self.lost.epoch = epoch;
        for (worker_index, heartbeat) in std::mem::take(&mut self.lost.held_back) {
            if self.rng.random_bool(0.5) {
                self.deliver_to_all(worker_index, &heartbeat);
            } else {
                self.lost.awaiting_start.push((epoch, worker_index, heartbeat));
            }
        }
    }

    /// A worker accepts a task start; delivers the copies that wait for a start in its epoch.
    pub(crate) fn observe_start(&mut self, attempt: u64) {
        if self.lost.awaiting_start.is_empty() {
            return;
        }
        // The upper bits of an attempt hold its epoch.
        let epoch = attempt >> 24;
        for (_, worker_index, heartbeat) in
            self.lost.awaiting_start.extract_if(.., |h| h.0 <= epoch).collect::<Vec<_>>()
        {
            self.deliver_to_all(worker_index, &heartbeat);
        }
    }

    fn deliver_to_all(&mut self, worker_index: usize, heartbeat: &Heartbeat) {
        for controller in 0..3 {
            let soon = self.rng.random_range(1..3 * S / 10);
            self.schedule(soon, SimEvent::HeldBackHeartbeat(worker_index, controller, heartbeat.clone()));
        }
    }

    /// Counts and delivers a copy that was held back. The response to it is dropped.
    pub(crate) fn deliver_held_back(&mut self, worker_index: usize, controller: usize, heartbeat: Heartbeat) {
        let worker = &self.workers[worker_index];
        let copies = &mut self.lost.copies;
        copies.all += 1;
        if let Some(node) = &self.nodes[controller]
            && node.membership.machine_leader(&worker.name) == Some(controller)
        {
            let epoch = node.membership.epoch;
            copies.first += usize::from(worker.token < epoch);
            copies.acted += usize::from(worker.tasks.iter().any(|t| t.attempt >> 24 >= epoch));
        }
        copies.earlier += usize::from(worker.incarnation > heartbeat.incarnation);
        copies.gone += usize::from(worker.gone || worker.dead);
        let lists = |r: &HeartbeatTask| {
            worker.tasks.iter().any(|t| t.attempt == r.attempt && r.task == format!("{}/{}", t.job, t.index))
        };
        copies.forgotten +=
            usize::from(heartbeat.tasks.iter().any(|r| r.cause.as_deref() == Some("done") && !lists(r)));
        self.serial += 1;
        self.step_controller(controller, Event::Heartbeat { ticket: self.serial, heartbeat });
    }

    /// Drops the answers to a random share of successful scale-outs.
    pub(crate) fn filter_rental_answer(
        &mut self,
        request: &CloudRequest,
        answer: CloudAnswer,
    ) -> CloudAnswer {
        let (share, until) = self.lost.scale_outs;
        let rented = matches!((request, &answer), (CloudRequest::ScaleOut(_), CloudAnswer::ScaledOut(_)));
        if !rented || self.now >= until || !self.rng.random_bool(share) {
            return answer;
        }
        self.lost.lost_scale_outs += 1;
        CloudAnswer::Failed
    }

    /// Whether a machine is registered.
    pub(crate) fn is_registered(&self, name: &str) -> bool {
        let pages = self.store.keys.range("mach/".to_owned().."mach0".to_owned());
        pages.into_iter().any(|(_, v)| v.0.get(name).is_some())
    }

    /// A client polls a job through one controller.
    pub(crate) fn poll(&mut self, controller: usize, id: &str) {
        if self.nodes[controller].is_none() {
            return;
        }
        self.serial += 1;
        self.tickets.insert(self.serial, Ticket::Poll(id.to_owned(), controller, self.now));
        let query = Event::User { ticket: self.serial, request: UserRequest::Query(id.to_owned()) };
        self.schedule(1, SimEvent::Controller(controller, self.boot_ids[controller], query));
    }
}
