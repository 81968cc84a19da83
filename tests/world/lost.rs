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
pub(crate) enum Carried {
    Never,
    AtOnce,
    /// After 2 to 12 s.
    Late,
    /// After another process has written the same key.
    AfterSuccessor,
}

/// Selects the writes whose answers are lost: by kind and controller, where `None` matches all.
#[derive(Clone, Copy, Debug)]
struct Loss {
    of: Option<Write>,
    by: Option<usize>,
    share: f64,
    until: u64,
    carried: Carried,
}

/// A write whose sender gets no answer.
#[derive(Clone, Debug)]
pub(crate) struct Unanswered {
    n: usize,
    boot: u64,
    kind: Write,
    carried: Carried,
    request: StoreRequest,
}

/// A write that was carried out without an answer and has not been read back by its sender yet.
#[derive(Debug)]
struct Unread {
    n: usize,
    boot: u64,
    kind: Write,
    carried: Carried,
    keys: Vec<String>,
    until: u64,
}

/// Counters for writes of one kind without an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Count {
    pub(crate) asked: usize,
    /// Writes that were carried out; of these, the committed ones.
    pub(crate) applied: usize,
    pub(crate) took: usize,
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
    losses: Vec<Loss>,
    pub(crate) counts: BTreeMap<(Write, Carried), Count>,
    /// Writes that wait for another process to write the same key.
    waiting: Vec<Unanswered>,
    unread: Vec<Unread>,
    /// Share and end time for copying heartbeats, and the copies by worker.
    reports: (f64, u64),
    kept: Vec<(usize, Heartbeat)>,
    /// Copies that wait until a task is started in the epoch: epoch, worker, heartbeat.
    held: Vec<(u64, usize, Heartbeat)>,
    epoch: u64,
    pub(crate) copies: Copies,
    /// Heartbeats lost by machines that reach no controller, and their answers to fencing probes.
    pub(crate) muted: usize,
    pub(crate) spoken: usize,
    /// Range of the boot times of new machines; random if `None`.
    pub(crate) boots: Option<Range<u64>>,
    rentals: (f64, u64),
    /// Scale-outs carried out without an answer.
    pub(crate) rented: usize,
    /// End time and extra delay of each controller's requests on its membership lane.
    ring_line: [(u64, u64); 3],
}

impl Lost {
    /// The end of the last fault.
    pub(crate) fn until(&self) -> u64 {
        let ends = self.losses.iter().map(|l| l.until).chain(self.ring_line.iter().map(|l| l.0));
        ends.chain([self.reports.1, self.rentals.1]).max().unwrap_or(0)
    }

    /// Whether controllers or services that they need are failing.
    pub(crate) fn troubles(&self, now: u64) -> bool {
        self.losses.iter().any(|l| now < l.until) || self.ring_line.iter().any(|l| now < l.0)
    }

    pub(crate) fn count(&self, kind: Write, carried: Carried) -> Count {
        self.counts.get(&(kind, carried)).copied().unwrap_or_default()
    }
}

/// The keys that a transaction writes or deletes.
fn keys_of(r: &StoreRequest) -> Vec<String> {
    let StoreRequest::Transaction(c) = r else { return Vec::new() };
    c.puts.iter().map(|p| &p.0).chain(&c.deletes).cloned().collect()
}

impl World {
    /// For this time, this share of the writes of a kind (`None`: of any kind) gets no answer.
    pub(crate) fn answers_lost(&mut self, of: Option<Write>, share: f64, long: u64, carried: Carried) {
        self.lost.losses.push(Loss { of, by: None, share, until: self.now + long, carried });
    }

    /// Like `answers_lost`, for one controller.
    pub(crate) fn answers_lost_by(&mut self, n: usize, of: Write, share: f64, long: u64, carried: Carried) {
        let until = self.now + long;
        self.lost.losses.push(Loss { of: Some(of), by: Some(n), share, until, carried });
    }

    /// For this time, copies of this share of the workers' heartbeats are held back until the next epoch. Then they
    /// arrive at every controller, half of them only after a task was started in that epoch.
    pub(crate) fn reports_for_next(&mut self, share: f64, long: u64) {
        self.lost.reports = (share, self.now + long);
    }

    /// These machines reach no controller, but fencing probes reach them.
    pub(crate) fn machine_mute(&mut self, machines: &[usize], long: u64) {
        for &i in machines {
            self.workers[i].mute_until = self.now + long;
        }
    }

    /// For this time, this share of scale-outs is carried out without an answer.
    pub(crate) fn rentals_lost(&mut self, share: f64, long: u64) {
        self.lost.rentals = (share, self.now + long);
    }

    /// Delays a controller's requests on its membership lane, but not its other requests.
    pub(crate) fn ring_line_slow(&mut self, n: usize, by: u64, long: u64) {
        self.lost.ring_line[n] = (self.now + long, by);
    }

    pub(crate) fn ring_line(&self, n: usize, ring: bool) -> u64 {
        let (until, by) = self.lost.ring_line[n];
        if ring && self.now < until { by } else { 0 }
    }

    fn kind_of(&self, r: &StoreRequest) -> Option<Write> {
        let c = match r {
            StoreRequest::Grant(_) => return Some(Write::Grant),
            StoreRequest::Renew(_) => return Some(Write::Renewal),
            StoreRequest::Transaction(c) => c,
            _ => return None,
        };
        let keys = keys_of(r);
        let has = |prefix: &str| keys.iter().any(|k| k.starts_with(prefix));
        let new =
            || c.conditions.iter().any(|(k, store_version)| k.starts_with("job/") && *store_version == 0);
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
            _ if has("team/") => Some(if self.shrinks(c) { Write::Shrinking } else { Write::Claim }),
            _ if has("pact/b/") => Some(Write::Batch),
            _ => None,
        }
    }

    /// Whether the transaction reduces a job's claim in a team's record.
    fn shrinks(&self, c: &Transaction) -> bool {
        let claims = |v: &Value| -> BTreeMap<String, i64> {
            let all = v.as_object().into_iter().flatten();
            all.map(|(job, c)| (job.clone(), c[0].as_i64().unwrap_or(0))).collect()
        };
        c.puts.iter().any(|(key, value, _)| {
            let before = self.store.keys.get(key).map(|v| claims(&v.0)).unwrap_or_default();
            let after = claims(value);
            before.iter().any(|(job, c)| after.get(job).copied().unwrap_or(0) < *c)
        })
    }

    /// Whether the answer to a request is lost; if so, this also determines when the request is carried out.
    pub(crate) fn loses_answer(&mut self, n: usize, r: &StoreRequest, delay: u64) -> bool {
        if !self.lost.losses.iter().any(|l| self.now < l.until) {
            return false;
        }
        let Some(kind) = self.kind_of(r) else { return false };
        let hit =
            |l: &&Loss| self.now < l.until && l.of.is_none_or(|k| k == kind) && l.by.is_none_or(|p| p == n);
        let Some(l) = self.lost.losses.iter().find(hit).copied() else { return false };
        if !self.rng.random_bool(l.share) {
            return false;
        }
        self.lost.counts.entry((kind, l.carried)).or_default().asked += 1;
        let u = Unanswered { n, boot: self.boots[n], kind, carried: l.carried, request: r.clone() };
        match l.carried {
            Carried::Never => {}
            Carried::AtOnce => self.later(delay, What::Unanswered(u)),
            Carried::Late => {
                let late = self.rng.random_range(2 * S..12 * S);
                self.later(late, What::Unanswered(u));
            }
            Carried::AfterSuccessor => self.lost.waiting.push(u),
        }
        true
    }

    /// Carries out a write whose sender gets no answer; its conditions are checked now.
    pub(crate) fn carried_out(&mut self, u: Unanswered) {
        if self.now < self.outage_until {
            // A late write is carried out after the outage. The others are refused, and their senders are not
            // informed.
            if u.carried == Carried::Late {
                let delay = self.outage_until - self.now + S / 10;
                self.later(delay, What::Unanswered(u));
            }
            return;
        }
        let keys = keys_of(&u.request);
        let a = self.store_apply_by(u.n, u.boot, u.request);
        self.run_watches();
        let took = matches!(a, StoreAnswer::Committed(_) | StoreAnswer::Granted(_) | StoreAnswer::Renewed);
        // A newer write of another process must not be overwritten by this one.
        assert!(
            !took || u.carried != Carried::AfterSuccessor,
            "{:?} of {keys:?} by {} took effect after its successor's at {}",
            u.kind,
            u.n,
            self.now
        );
        let count = self.lost.counts.entry((u.kind, u.carried)).or_default();
        count.applied += 1;
        count.took += usize::from(took);
        if took && !keys.is_empty() {
            let until = self.now + 10 * S;
            self.lost.unread.push(Unread {
                n: u.n,
                boot: u.boot,
                kind: u.kind,
                carried: u.carried,
                keys,
                until,
            });
        }
    }

    /// A controller's request reaches the state store.
    pub(crate) fn store_apply_by(&mut self, n: usize, boot: u64, r: StoreRequest) -> StoreAnswer {
        self.note_read(n, boot, &r);
        let keys = keys_of(&r);
        let a = self.store_apply(r);
        if matches!(a, StoreAnswer::Committed(_)) && !self.lost.waiting.is_empty() {
            let follows = |u: &mut Unanswered| {
                (u.n, u.boot) != (n, boot) && keys_of(&u.request).iter().any(|k| keys.contains(k))
            };
            for u in self.lost.waiting.extract_if(.., follows).collect::<Vec<_>>() {
                let soon = self.rng.random_range(1..3 * S / 10);
                self.later(soon, What::Unanswered(u));
            }
        }
        a
    }

    /// Records whether the sender or another process first reads a write without an answer.
    fn note_read(&mut self, n: usize, boot: u64, r: &StoreRequest) {
        let now = self.now;
        let covers = |key: &String| match r {
            StoreRequest::Get(k) => k == key,
            StoreRequest::List(prefix, after) => key.starts_with(prefix) && key > after,
            _ => false,
        };
        let mut read: Vec<(Write, Carried)> = Vec::new();
        self.lost.unread.retain(|u| {
            if now >= u.until {
                return false;
            }
            if !u.keys.iter().any(covers) {
                return true;
            }
            if (u.n, u.boot) != (n, boot) {
                read.push((u.kind, u.carried));
            }
            false
        });
        for key in read {
            self.lost.counts.entry(key).or_default().read += 1;
        }
    }

    /// Holds back a copy of a random share of the heartbeats, at most four for each machine, old ones included.
    pub(crate) fn keep_report(&mut self, i: usize, report: &Heartbeat) {
        const KEPT: usize = 4;
        let (share, until) = self.lost.reports;
        if self.now >= until || !self.rng.random_bool(share) {
            return;
        }
        let mine: Vec<usize> = (0..self.lost.kept.len()).filter(|k| self.lost.kept[*k].0 == i).collect();
        if mine.len() < KEPT {
            self.lost.kept.push((i, report.clone()));
        } else {
            let k = mine[self.rng.random_range(0..KEPT)];
            self.lost.kept[k].1 = report.clone();
        }
    }

    /// When the epoch was raised, delivers the copies held back for the next leader, now or after the first task
    /// start in it.
    pub(crate) fn note_epoch(&mut self) {
        let Some(epoch) = self.store.keys.get("ring/epoch").and_then(|v| v.0["epoch"].as_u64()) else {
            return;
        };
        if epoch == self.lost.epoch {
            return;
        }
        self.lost.epoch = epoch;
        for (i, report) in std::mem::take(&mut self.lost.kept) {
            if self.rng.random_bool(0.5) {
                self.deliver_to_everybody(i, &report);
            } else {
                self.lost.held.push((epoch, i, report));
            }
        }
    }

    /// A worker accepts a task start; delivers the copies that wait for a start in its epoch.
    pub(crate) fn note_start(&mut self, attempt: u64) {
        if self.lost.held.is_empty() {
            return;
        }
        // The upper bits of an attempt hold its epoch.
        let epoch = attempt >> 24;
        for (_, i, report) in self.lost.held.extract_if(.., |h| h.0 <= epoch).collect::<Vec<_>>() {
            self.deliver_to_everybody(i, &report);
        }
    }

    fn deliver_to_everybody(&mut self, i: usize, report: &Heartbeat) {
        for n in 0..3 {
            let soon = self.rng.random_range(1..3 * S / 10);
            self.later(soon, What::KeptReport(i, n, report.clone()));
        }
    }

    /// Counts and delivers a copy that was held back. The response to it is dropped.
    pub(crate) fn kept_report(&mut self, i: usize, n: usize, report: Heartbeat) {
        let w = &self.workers[i];
        let c = &mut self.lost.copies;
        c.all += 1;
        if let Some(node) = &self.nodes[n]
            && node.membership.machine_leader(&w.name) == Some(n)
        {
            let epoch = node.membership.epoch;
            c.first += usize::from(w.token < epoch);
            c.acted += usize::from(w.tasks.iter().any(|t| t.attempt >> 24 >= epoch));
        }
        c.earlier += usize::from(w.session > report.incarnation);
        c.gone += usize::from(w.gone || w.dead);
        let lists = |r: &HeartbeatTask| {
            w.tasks.iter().any(|t| t.attempt == r.attempt && r.task == format!("{}/{}", t.job, t.index))
        };
        c.forgotten +=
            usize::from(report.tasks.iter().any(|r| r.cause.as_deref() == Some("done") && !lists(r)));
        self.serial += 1;
        self.drive(n, Event::Heartbeat { ticket: self.serial, heartbeat: report });
    }

    /// Drops the answers to a random share of successful scale-outs.
    pub(crate) fn rental_answer(&mut self, r: &CloudRequest, a: CloudAnswer) -> CloudAnswer {
        let (share, until) = self.lost.rentals;
        let rented = matches!((r, &a), (CloudRequest::ScaleOut(_), CloudAnswer::ScaledOut(_)));
        if !rented || self.now >= until || !self.rng.random_bool(share) {
            return a;
        }
        self.lost.rented += 1;
        CloudAnswer::Failed
    }

    /// Whether a machine is registered.
    pub(crate) fn on_record(&self, name: &str) -> bool {
        let pages = self.store.keys.range("mach/".to_owned().."mach0".to_owned());
        pages.into_iter().any(|(_, v)| v.0.get(name).is_some())
    }

    /// A client polls a job through one controller.
    pub(crate) fn poll(&mut self, n: usize, id: &str) {
        if self.nodes[n].is_none() {
            return;
        }
        self.serial += 1;
        self.tickets.insert(self.serial, Ticket::Poll(id.to_owned(), n, self.now));
        let ask = Event::User { ticket: self.serial, request: UserRequest::Query(id.to_owned()) };
        self.later(1, What::Controller(n, self.boots[n], ask));
    }
}
