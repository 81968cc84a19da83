//! One worker and a succession of machine leaders, with copies of old heartbeats, lost responses to heartbeats that
//! arrived, delayed direct messages, and leaders that start without state. A task that a machine leader reports as
//! absent from the machine is absent.

use hazelsaddle::config::settings::Settings;
use hazelsaddle::machine_shard::{
    Heartbeat, HeartbeatOutcome, HeartbeatResponse, HeartbeatTask, MachineRecord, MachineShard,
};
use hazelsaddle::membership::{EpochRecord, Membership};
use hazelsaddle::peer::*;
use hazelsaddle::units::{Micros, Resources};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

const ROOM: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };
const LEASE: u64 = 18_000;
const STEP: u64 = 100;

fn settings() -> Settings {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[[seeds]]\nmember = \"c1\"\n\
        addr = \"10.0.0.2:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\n\
        report_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\n\
        rps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    Settings::parse("test", text).expect("valid")
}

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// A worker that follows the protocol. Times are in milliseconds.
struct Worker {
    machine: String,
    session: u64,
    seq: u64,
    token: u64,
    /// Tasks by attempt, and whether each has ended.
    tasks: BTreeMap<u64, bool>,
    /// The time at which the last answered heartbeat was sent, or at which the incarnation began.
    renewed: u64,
    in_flight: Option<(u64, u64)>,
    next: u64,
    ever: BTreeSet<u64>,
}

impl Worker {
    fn report(&mut self, job: &str) -> Heartbeat {
        self.seq += 1;
        let task = |(attempt, ended): (&u64, &bool)| HeartbeatTask {
            task: format!("{job}/0"),
            attempt: *attempt,
            state: if *ended { "ended" } else { "running" }.into(),
            cause: ended.then(|| "error".into()),
            saved: None,
        };
        Heartbeat {
            machine: self.machine.clone(),
            addr: "10.0.0.5:1".into(),
            machine_type: "k".into(),
            zone: "z".into(),
            spot: false,
            incarnation: self.session,
            sequence: self.seq,
            token: self.token,
            time_to_termination_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
    fn tick(&mut self, now: u64) {
        if now >= self.renewed + LEASE {
            self.tasks.clear();
            (self.session, self.renewed) = (self.session + 1, now);
        }
        if self.in_flight.is_some_and(|(_, sent)| now >= sent + 4000) {
            (self.in_flight, self.next) = (None, now + 1000);
        }
    }
    fn answered(&mut self, now: u64, a: &Answer) {
        if self.in_flight != Some((a.seq, a.sent)) {
            return;
        }
        (self.in_flight, self.next) = (None, now + 2500);
        let Some(o) = &a.orders else { return };
        if o.token < self.token || a.session != self.session {
            return;
        }
        (self.token, self.renewed) = (o.token, a.sent);
        for c in &o.commands {
            let attempt = c.task().attempt;
            match c.verb() {
                "run" if !self.tasks.contains_key(&attempt) => {
                    assert!(self.ever.insert(attempt), "attempt {attempt} is started once more");
                    self.tasks.insert(attempt, false);
                }
                "kill" => _ = self.tasks.insert(attempt, true),
                "forget" => _ = self.tasks.remove(&attempt),
                _ => {}
            }
        }
    }
}

#[derive(Clone)]
struct Answer {
    session: u64,
    seq: u64,
    sent: u64,
    orders: Option<HeartbeatResponse>,
}

enum Mail {
    Heartbeat(Heartbeat, Option<u64>),
    Answer(Answer),
    FencingProbe(u64, u64),
    Greeted(Heartbeat),
}

/// The machine leader of one epoch, with the attempts that the job leader wants.
struct Reign {
    m: Membership,
    home: MachineShard,
    began: u64,
    rev: u64,
    starts: u64,
}

/// Runs until `until`. The worker receives nothing during the spans in `deaf`, in milliseconds. `look` is called with
/// the state after each step.
fn play(
    seed: u64,
    deaf: &[(u64, u64)],
    until: u64,
    mut look: impl FnMut(u64, &Reign, &MachineStatus),
) -> Worker {
    let mut rng = StdRng::seed_from_u64(seed);
    let s = settings();
    let mut m = Membership::new(&s, 1);
    let record = |epoch| EpochRecord { epoch, members: vec![("c0".into(), epoch), ("c1".into(), 1)] };
    m.adopt_epoch(at(1), &record(7), 7);
    let own = |p: &str, of: &dyn Fn(&str) -> Option<usize>| {
        (0..).map(|i| format!("{p}-{i:06}")).find(|n| of(n) == Some(0)).expect("one of many")
    };
    let (machine, job) = (own("i", &|n| m.machine_leader(n)), own("wk", &|n| m.job_leader(n)));
    let mut w = Worker {
        machine: machine.clone(),
        session: 1,
        seq: 0,
        token: 0,
        tasks: BTreeMap::new(),
        renewed: 0,
        in_flight: None,
        next: 0,
        ever: BTreeSet::new(),
    };
    let mut mail: BTreeMap<(u64, u64), Mail> = BTreeMap::new();
    let mut n = 0;
    let mut post = |when: u64, what: Mail, mail: &mut BTreeMap<(u64, u64), Mail>| {
        n += 1;
        mail.insert((when, n), what);
    };
    let begin = |now: u64, epoch: u64, m: &Membership, known: bool| {
        let mut m = m.clone();
        m.adopt_epoch(at(now), &record(epoch), epoch);
        let mut home = MachineShard::new(&settings());
        home.adopt_epoch(at(now), &m, false, |_| None);
        if known {
            let r =
                MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.5:1".into() };
            home.load_record(at(now), &machine, r);
        }
        Reign { m, home, began: now, rev: epoch << 32, starts: 0 }
    };
    let mut reign = begin(1, 7, &m, false);
    // The machine leader of the previous epoch goes on for a while, in another process.
    let mut last: Option<(Reign, u64)> = None;
    let mut next_epoch = rng.random_range(20_000..60_000);
    let mut now = 1;
    while now < until {
        now += STEP;
        w.tick(now);
        if now >= next_epoch {
            next_epoch = now + rng.random_range(2_000..90_000);
            let epoch = reign.m.epoch + 1;
            if rng.random_bool(0.3) {
                // The same machine leader goes on in the epoch that follows directly.
                reign.m.adopt_epoch(at(now), &record(epoch), epoch);
                reign.home.adopt_epoch(at(now), &reign.m, true, |_| Some(0));
                (reign.began, reign.rev, reign.starts) = (now, epoch << 32, 0);
                last = None;
                continue;
            }
            let new = begin(now, epoch, &m, true);
            // Its lease expires at most a store lease after it was replaced, whatever it still decides.
            last = Some((std::mem::replace(&mut reign, new), now + rng.random_range(0..5_900)));
        }
        last = last.filter(|(_, ends)| now < *ends);
        if w.in_flight.is_none() && now >= w.next {
            let r = w.report(&job);
            w.in_flight = Some((r.sequence, now));
            let late =
                if rng.random_bool(0.05) { rng.random_range(300..60_000) } else { rng.random_range(1..300) };
            post(now + late, Mail::Heartbeat(r.clone(), Some(now)), &mut mail);
            if rng.random_bool(0.3) {
                post(now + rng.random_range(2_000..50_000), Mail::Heartbeat(r, None), &mut mail);
            }
        }
        if rng.random_bool(0.005)
            && let Some(ended) = w.tasks.values_mut().next()
        {
            *ended = true;
        }
        let hears = !deaf.iter().any(|(from, to)| (*from..*to).contains(&now));
        while let Some(e) = mail.first_entry()
            && e.key().0 <= now
        {
            let delay = now + rng.random_range(1..300);
            match e.remove() {
                Mail::Heartbeat(r, sent) => {
                    // An old process still has the worker's connection.
                    let old = last.as_mut().filter(|_| rng.random_bool(0.5)).map(|(old, _)| old);
                    let to = old.unwrap_or(&mut reign);
                    let orders = match to.home.apply_heartbeat(at(now), &to.m, &r) {
                        HeartbeatOutcome::Accepted => to.home.issue_commands(&to.m, &machine, |_| true),
                        _ => None,
                    };
                    // The sender of a copy awaits no response.
                    if let Some(sent) = sent {
                        let a = Answer { session: r.incarnation, seq: r.sequence, sent, orders };
                        post(delay, Mail::Answer(a), &mut mail);
                    }
                }
                Mail::Answer(a) if hears => w.answered(now, &a),
                Mail::FencingProbe(token, session) if hears => {
                    if token >= w.token && session == w.session {
                        w.token = token;
                    }
                    let r = w.report(&job);
                    post(delay + if rng.random_bool(0.2) { 9_000 } else { 0 }, Mail::Greeted(r), &mut mail);
                }
                Mail::Greeted(r) => _ = reign.home.apply_probe_answer(at(now), &reign.m, &r),
                Mail::Answer(_) | Mail::FencingProbe(..) => {}
            }
        }
        for g in reign.home.take_due_probes(at(now), 9) {
            let held = if rng.random_bool(0.3) { rng.random_range(1_000..20_000) } else { 1 };
            post(now + held, Mail::FencingProbe(reign.m.epoch, g.incarnation), &mut mail);
        }
        for _ in 0..reign.home.take_unregistered().len() {
            reign.home.confirm_registered(&machine);
        }
        reign.m.note_older_leaders_stopped(at(now));
        reign.home.expire_leases(at(now), &reign.m);
        let digest = |r: &Reign| r.home.status_delta(at(now), &r.m, 0, 0, |_| Some(ROOM)).machines.pop();
        let Some(d) = digest(&reign) else { continue };
        // The job leader: one attempt at a time, unknown attempts are kept, ended ones may be forgotten.
        let wish = |attempt, want| DesiredTask {
            key: TaskKey { job: job.clone(), index: 0, attempt },
            machine: machine.clone(),
            resources: Resources { cpus: 1000, gpus: 0, memory: 1000 },
            action: want,
            priority: 0,
            image: 0,
        };
        let mut list: Vec<DesiredTask> = Vec::new();
        for t in &d.tasks {
            let want = match t.phase {
                TaskPhase::Exited(_) => DesiredAction::Forget,
                TaskPhase::Held | TaskPhase::Queued | TaskPhase::InDoubt => DesiredAction::Run,
                _ => DesiredAction::Keep,
            };
            list.push(wish(t.key.attempt, want));
        }
        if d.inventory_state == InventoryState::Known
            && !d.tasks.iter().any(|t| !matches!(t.phase, TaskPhase::Exited(_)))
        {
            reign.starts += 1;
            list.push(wish((reign.m.epoch << 24) + reign.starts, DesiredAction::Run));
        }
        reign.rev += 1;
        let wishes = DesiredState { revision: reign.rev, base_revision: 0, tasks: list, removed: Vec::new() };
        let m = reign.m.clone();
        reign.home.apply_desired_state(at(now), 0, &wishes, &m, |_| Some(ROOM));
        let Some(d) = digest(&reign) else { continue };
        if d.inventory_state == InventoryState::Known {
            for (attempt, _) in w.tasks.iter().filter(|(_, ended)| !**ended) {
                let listed = d.tasks.iter().any(|t| t.key.attempt == *attempt);
                assert!(
                    listed,
                    "seed {seed}, {now} ms, epoch {}: attempt {attempt} runs and is not listed",
                    m.epoch
                );
            }
        }
        look(now, &reign, &d);
    }
    w
}

/// Copies, delayed heartbeats, spans without responses and new machine leaders at random times.
#[test]
fn what_a_home_says_is_not_on_a_machine_is_not() {
    let (mut started, mut sessions) = (0, 0);
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(1000 + seed);
        let mut deaf = Vec::new();
        let mut t = 0;
        while t < 600_000 {
            let from = t + rng.random_range(5_000..90_000);
            t = from + rng.random_range(2_000..120_000);
            deaf.push((from, t));
        }
        let w = play(seed, &deaf, 600_000, |_, _, _| {});
        started += w.ever.len();
        sessions += w.session;
    }
    assert!(started > 600 && sessions > 300, "{started} starts, {sessions} sessions: nothing was tried");
}

/// A machine that reports but receives nothing blocks its tasks only for a bounded time, and gets no new commands.
#[test]
fn a_deaf_machine_is_waited_for_only_until_what_others_began_is_over() {
    let mut late = 0;
    for seed in 0..40 {
        let mut since = None;
        play(seed, &[(15_000, 400_000)], 400_000, |now, reign, d| {
            // A store lease, until the other leaders have stopped; the worker's lease; its request timeout, and two
            // heartbeats.
            let bound = 6_000 + LEASE + 4_000 + 2 * 5_000 + 1_500;
            // A heartbeat that arrived just before that may have been answered, which adds one lease.
            let worst = bound + LEASE;
            if reign.m.epoch > 7 && now > reign.began + worst {
                assert_eq!(d.inventory_state, InventoryState::Known, "seed {seed}, {now} ms");
                late += 1;
            }
            // Three heartbeats without the fencing token show that the worker receives nothing.
            if reign.m.epoch > 7 && now > *since.get_or_insert(now) + 20_000 {
                assert!(
                    !d.is_schedulable,
                    "seed {seed}, {now} ms: it would get tasks that it never hears of"
                );
            }
        });
    }
    assert!(late > 1000, "{late}");
}
