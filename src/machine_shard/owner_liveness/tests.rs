use super::super::tests::{ROOM, report, want};
use super::super::{MachineShard, Verdict};
use crate::config::settings::Settings;
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
use crate::units::Micros;

/// One home (c0) beside two other controllers; a task of each.
struct Town {
    m: Membership,
    home: MachineShard,
    limit: Micros,
    /// Each owner's latest message.
    revs: [u64; 3],
    seq: u64,
}

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn record(epoch: u64, members: &[usize]) -> EpochRecord {
    EpochRecord { epoch, members: members.iter().map(|i| (format!("c{i}"), 1)).collect() }
}

impl Town {
    fn new() -> Town {
        let seed = |i: usize| format!("[[seeds]]\nmember = \"c{i}\"\naddr = \"10.0.0.{i}:2\"\n");
        let text = format!(
            "member = \"c0\"\napi_addr = \"10.0.0.9:1\"\nback = \"10.0.0.9:2\"\n{}{}[outside]\ncloud = \"10.0.0.9:1\"\n\
            state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
            gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
            txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n",
            seed(1),
            seed(2)
        );
        let s = Settings::parse("test", &text).expect("valid");
        let mut m = Membership::new(&s, 1);
        m.adopt(at(1000), &record(7, &[0, 1, 2]), 1);
        Town { m, home: MachineShard::new(&s), limit: s.reach, revs: [0; 3], seq: 0 }
    }

    /// A machine of ours. It stays so while others come and go.
    fn machine(&self) -> String {
        (0..).map(|i| format!("i-{i}")).find(|n| self.m.machine_leader(n) == Some(0)).expect("some are ours")
    }

    /// A job of that owner.
    fn job(&self, owner: usize) -> String {
        (0..)
            .map(|i| format!("wk-{i}"))
            .find(|j| self.m.job_leader(j) == Some(owner))
            .expect("each owns some")
    }

    fn report(&mut self, now: Micros, machine: &str, tasks: &[(&str, u64, &str)]) -> Verdict {
        self.seq += 1;
        let mut r = report(self.seq, self.m.epoch, tasks);
        r.machine = machine.into();
        self.home.report(now, &self.m, &r)
    }

    /// An owner's message that names `list`, sent when it had heard `echo` of our clock and our state of now.
    fn hears(&mut self, now: Micros, owner: usize, echo: Micros, list: Vec<DesiredTask>) {
        self.hears_state(now, owner, echo, list, self.home.seq());
    }

    fn hears_state(&mut self, now: Micros, owner: usize, echo: Micros, list: Vec<DesiredTask>, seen: u64) {
        let since = self.revs[owner];
        self.revs[owner] += 1;
        let w = DesiredState { revision: since + 1, base_revision: since, list, removed: Vec::new() };
        let m = self.m.clone();
        assert!(self.home.wanted(now, owner, &w, &m, |_| Some(ROOM)), "nothing is missing");
        self.home.said(owner, echo, seen);
    }

    fn adopt(&mut self, now: Micros, epoch: u64, members: &[usize]) {
        let before = self.m.clone();
        let follows = self.m.adopt(now, &record(epoch, members), epoch);
        self.home.adopt(now, &self.m, follows, |j| before.job_leader(j));
    }
}

/// A user was told by the owner that the job is cancelled, and the home no longer hears the owner: whether they hear one
/// another not at all, in one direction, or late, the lease must be left to run out in time.
#[test]
fn a_home_answers_for_an_owner_only_as_long_as_a_cancellation_can_still_be_kept() {
    let mut t = Town::new();
    let machine = t.machine();
    let task = format!("{}/0", t.job(1));
    t.report(at(2000), &machine, &[(&task, 1, "running")]);
    assert!(!t.home.in_reach(at(2000), &machine), "nobody has spoken for it");
    t.hears(at(3000), 1, at(2900), vec![]);
    assert!(t.home.in_reach(at(3000), &machine), "it has seen the task, and doesn't want it stopped");
    let end = at(2900) + t.limit;
    assert!(t.home.in_reach(Micros(end.0 - 1), &machine) && !t.home.in_reach(end, &machine), "not at all");
    // One way: its messages come, but it doesn't hear us, so they may have been under way for as long.
    for s in 4..40 {
        t.hears(at(s * 1000), 1, at(2900), vec![]);
    }
    assert!(!t.home.in_reach(end, &machine));
    // Late: what comes now was sent long ago.
    t.hears(at(40_000), 1, at(20_000), vec![]);
    assert!(t.home.in_reach(at(40_000), &machine) && !t.home.in_reach(at(20_000) + t.limit, &machine));
    // Others don't matter to it.
    t.hears(at(50_000), 2, at(50_000), vec![]);
    assert!(!t.home.in_reach(at(50_000), &machine));
}

/// An owner that doesn't know of a task is silent about it whatever became of its job: the message has to take account of
/// the report that brought it.
#[test]
fn an_owner_speaks_for_a_task_only_once_it_knows_of_it() {
    let mut t = Town::new();
    let machine = t.machine();
    let task = format!("{}/0", t.job(1));
    let before = t.home.seq();
    t.report(at(2000), &machine, &[(&task, 1, "running")]);
    t.hears_state(at(3000), 1, at(2900), vec![], before);
    assert!(!t.home.in_reach(at(3000), &machine));
    t.hears(at(4000), 1, at(3900), vec![]);
    assert!(t.home.in_reach(at(4000), &machine));
}

/// The answer that keeps the lease alive stops the task: nothing is waited for.
#[test]
fn what_is_being_stopped_holds_nothing_back() {
    let mut t = Town::new();
    let machine = t.machine();
    let job = t.job(1);
    t.report(at(2000), &machine, &[(&format!("{job}/0"), 1, "running")]);
    let key = TaskKey { job, index: 0, attempt: 1 };
    let stop = DesiredTask {
        key,
        machine: machine.clone(),
        action: DesiredAction::Stop(Micros(0)),
        ..want(1, 1000)
    };
    t.hears(at(3000), 1, at(2900), vec![stop]);
    assert!(t.home.in_reach(at(900_000), &machine));
    let m = t.m.clone();
    let orders = t.home.orders(&m, &machine, |_| true).expect("known");
    assert_eq!(orders.commands.iter().map(|c| c.op).collect::<Vec<_>>(), ["kill"]);
}

/// Takeover after takeover while the state service is away now and then: no new owner speaks, and each epoch must not
/// begin the time anew.
#[test]
fn an_epoch_begins_nothing_anew() {
    let mut t = Town::new();
    let machine = t.machine();
    let task = format!("{}/0", t.job(1));
    t.report(at(2000), &machine, &[(&task, 1, "running")]);
    t.hears(at(3000), 1, at(2900), vec![]);
    let end = at(2900) + t.limit;
    for (n, members) in [[0, 2], [0, 1], [0, 2]].iter().enumerate() {
        t.adopt(at(10_000 + 4000 * n as u64), 8 + n as u64, members);
        assert!(t.home.in_reach(Micros(end.0 - 1), &machine) && !t.home.in_reach(end, &machine));
    }
    let owner = t.m.job_leader(task.split('/').next().expect("a job")).expect("somebody");
    t.hears(at(22_000), owner, at(21_900), vec![]);
    assert!(t.home.in_reach(end, &machine), "the new owner has read the records and seen the task");
}

/// A machine that comes to us brings no word of the owner: the home before may have been out of its reach for long.
#[test]
fn a_machine_new_to_a_home_is_answered_once_the_owner_has_spoken() {
    let mut t = Town::new();
    t.hears(at(1500), 1, at(1400), vec![]);
    t.adopt(at(2000), 8, &[0, 1]);
    let machine = t.machine();
    let task = format!("{}/0", t.job(1));
    t.report(at(3000), &machine, &[(&task, 1, "running")]);
    assert!(!t.home.in_reach(at(3000), &machine));
    t.hears(at(3500), 1, at(3400), vec![]);
    assert!(t.home.in_reach(at(3500), &machine));
    // One without tasks keeps nothing alive.
    t.report(at(4000), &machine, &[]);
    assert!(t.home.in_reach(at(900_000), &machine));
}

/// A start goes out in an answer too: one whose owner is out of reach may be of a job that is cancelled.
#[test]
fn a_start_that_waits_is_held_back_as_well() {
    let mut t = Town::new();
    let machine = t.machine();
    t.report(at(2000), &machine, &[]);
    t.home.on_record(&machine);
    let key = TaskKey { job: t.job(1), index: 0, attempt: 1 };
    t.hears(at(3000), 1, at(2900), vec![DesiredTask { key, machine: machine.clone(), ..want(1, 1000) }]);
    assert!(t.home.in_reach(at(3000), &machine) && !t.home.in_reach(at(2900) + t.limit, &machine));
    let m = t.m.clone();
    assert_eq!(t.home.orders(&m, &machine, |_| true).map(|o| o.commands.len()), Some(1));
}
