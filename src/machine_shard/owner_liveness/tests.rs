use super::super::tests::{ROOM, heartbeat, want};
use super::super::{HeartbeatOutcome, MachineShard};
use crate::config::settings::Settings;
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
use crate::units::Micros;

/// One machine shard (c0) beside two other controllers; a task of each.
struct Fixture {
    m: Membership,
    shard: MachineShard,
    limit: Micros,
    /// Each jobs' leader's latest message.
    revs: [u64; 3],
    seq: u64,
}

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn record(epoch: u64, members: &[usize]) -> EpochRecord {
    EpochRecord { epoch, members: members.iter().map(|i| (format!("c{i}"), 1)).collect() }
}

impl Fixture {
    fn new() -> Fixture {
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
        m.adopt_epoch(at(1000), &record(7, &[0, 1, 2]), 1);
        Fixture { m, shard: MachineShard::new(&s), limit: s.reach, revs: [0; 3], seq: 0 }
    }

    /// A machine of ours. It stays so while others come and go.
    fn machine(&self) -> String {
        (0..).map(|i| format!("i-{i}")).find(|n| self.m.machine_leader(n) == Some(0)).expect("some are ours")
    }

    /// A job that it leads.
    fn job(&self, owner: usize) -> String {
        (0..)
            .map(|i| format!("wk-{i}"))
            .find(|j| self.m.job_leader(j) == Some(owner))
            .expect("each owns some")
    }

    fn heartbeat(&mut self, now: Micros, machine: &str, tasks: &[(&str, u64, &str)]) -> HeartbeatOutcome {
        self.seq += 1;
        let mut heartbeat = heartbeat(self.seq, self.m.epoch, tasks);
        heartbeat.machine = machine.into();
        self.shard.apply_heartbeat(now, &self.m, &heartbeat)
    }

    /// A jobs' leader's message that names `list`, sent when it had heard `echo` of our clock and our state of now.
    fn deliver(&mut self, now: Micros, owner: usize, echo: Micros, list: Vec<DesiredTask>) {
        self.deliver_seeing(now, owner, echo, list, self.shard.revision());
    }

    fn deliver_seeing(&mut self, now: Micros, owner: usize, echo: Micros, list: Vec<DesiredTask>, seen: u64) {
        let since = self.revs[owner];
        self.revs[owner] += 1;
        let w = DesiredState { revision: since + 1, base_revision: since, tasks: list, removed: Vec::new() };
        let m = self.m.clone();
        assert!(self.shard.apply_desired_state(now, owner, &w, &m, |_| Some(ROOM)), "nothing is missing");
        self.shard.record_job_leader_message(owner, echo, seen);
    }

    fn adopt(&mut self, now: Micros, epoch: u64, members: &[usize]) {
        let before = self.m.clone();
        let follows = self.m.adopt_epoch(now, &record(epoch, members), epoch);
        self.shard.adopt_epoch(now, &self.m, follows, |j| before.job_leader(j));
    }
}

/// A user was told by the job's leader that it is cancelled, and the machine's leader no longer hears that one: whether they hear one
/// another not at all, in one direction, or late, the lease must be left to run out in time.
#[test]
fn leases_are_renewed_only_as_long_as_a_cancellation_can_still_be_kept() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    assert!(!fixture.shard.can_renew_lease(at(2000), &machine), "nobody has spoken for it");
    fixture.deliver(at(3000), 1, at(2900), vec![]);
    assert!(
        fixture.shard.can_renew_lease(at(3000), &machine),
        "it has seen the task, and doesn't want it stopped"
    );
    let end = at(2900) + fixture.limit;
    assert!(
        fixture.shard.can_renew_lease(Micros(end.0 - 1), &machine)
            && !fixture.shard.can_renew_lease(end, &machine),
        "not at all"
    );
    // One way: its messages come, but it doesn't hear us, so they may have been under way for as long.
    for s in 4..40 {
        fixture.deliver(at(s * 1000), 1, at(2900), vec![]);
    }
    assert!(!fixture.shard.can_renew_lease(end, &machine));
    // Late: what comes now was sent long ago.
    fixture.deliver(at(40_000), 1, at(20_000), vec![]);
    assert!(
        fixture.shard.can_renew_lease(at(40_000), &machine)
            && !fixture.shard.can_renew_lease(at(20_000) + fixture.limit, &machine)
    );
    // Others don't matter to it.
    fixture.deliver(at(50_000), 2, at(50_000), vec![]);
    assert!(!fixture.shard.can_renew_lease(at(50_000), &machine));
}

/// A jobs' leader that doesn't know of a task is silent about it whatever became of its job: the message has to take account of
/// the heartbeat that brought it.
#[test]
fn a_leader_speaks_for_a_task_only_once_it_knows_of_it() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    let before = fixture.shard.revision();
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    fixture.deliver_seeing(at(3000), 1, at(2900), vec![], before);
    assert!(!fixture.shard.can_renew_lease(at(3000), &machine));
    fixture.deliver(at(4000), 1, at(3900), vec![]);
    assert!(fixture.shard.can_renew_lease(at(4000), &machine));
}

/// The answer that keeps the lease alive stops the task: nothing is waited for.
#[test]
fn what_is_being_stopped_holds_nothing_back() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let job = fixture.job(1);
    fixture.heartbeat(at(2000), &machine, &[(&format!("{job}/0"), 1, "running")]);
    let key = TaskKey { job, index: 0, attempt: 1 };
    let stop = DesiredTask {
        key,
        machine: machine.clone(),
        action: DesiredAction::Stop(Micros(0)),
        ..want(1, 1000)
    };
    fixture.deliver(at(3000), 1, at(2900), vec![stop]);
    assert!(fixture.shard.can_renew_lease(at(900_000), &machine));
    let m = fixture.m.clone();
    let orders = fixture.shard.issue_commands(&m, &machine, |_| true).expect("known");
    assert_eq!(orders.commands.iter().map(|c| c.verb()).collect::<Vec<_>>(), ["kill"]);
}

/// Failover after failover while the state service is away now and then: no new leader speaks, and each epoch must not
/// begin the time anew.
#[test]
fn an_epoch_does_not_begin_the_time_anew() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    fixture.deliver(at(3000), 1, at(2900), vec![]);
    let end = at(2900) + fixture.limit;
    for (n, members) in [[0, 2], [0, 1], [0, 2]].iter().enumerate() {
        fixture.adopt(at(10_000 + 4000 * n as u64), 8 + n as u64, members);
        assert!(
            fixture.shard.can_renew_lease(Micros(end.0 - 1), &machine)
                && !fixture.shard.can_renew_lease(end, &machine)
        );
    }
    let owner = fixture.m.job_leader(task.split('/').next().expect("a job")).expect("somebody");
    fixture.deliver(at(22_000), owner, at(21_900), vec![]);
    assert!(
        fixture.shard.can_renew_lease(end, &machine),
        "the new leader has read the records and seen the task"
    );
}

/// A machine that comes to us brings no word of the jobs' leader: the machine's leader before may have been out of its reach for long.
#[test]
fn a_machine_new_to_a_shard_is_answered_once_the_jobs_leader_has_spoken() {
    let mut fixture = Fixture::new();
    fixture.deliver(at(1500), 1, at(1400), vec![]);
    fixture.adopt(at(2000), 8, &[0, 1]);
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(3000), &machine, &[(&task, 1, "running")]);
    assert!(!fixture.shard.can_renew_lease(at(3000), &machine));
    fixture.deliver(at(3500), 1, at(3400), vec![]);
    assert!(fixture.shard.can_renew_lease(at(3500), &machine));
    // One without tasks keeps nothing alive.
    fixture.heartbeat(at(4000), &machine, &[]);
    assert!(fixture.shard.can_renew_lease(at(900_000), &machine));
}

/// A start goes out in an answer too: one whose job's leader is out of reach may be of a job that is cancelled.
#[test]
fn a_start_that_waits_is_held_back_as_well() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    fixture.heartbeat(at(2000), &machine, &[]);
    fixture.shard.confirm_registered(&machine);
    let key = TaskKey { job: fixture.job(1), index: 0, attempt: 1 };
    fixture.deliver(
        at(3000),
        1,
        at(2900),
        vec![DesiredTask { key, machine: machine.clone(), ..want(1, 1000) }],
    );
    assert!(
        fixture.shard.can_renew_lease(at(3000), &machine)
            && !fixture.shard.can_renew_lease(at(2900) + fixture.limit, &machine)
    );
    let m = fixture.m.clone();
    assert_eq!(fixture.shard.issue_commands(&m, &machine, |_| true).map(|o| o.commands.len()), Some(1));
}
