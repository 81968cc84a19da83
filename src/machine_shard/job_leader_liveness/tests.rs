use super::super::tests::{CAPACITY, desired_start, heartbeat};
use super::super::{HeartbeatOutcome, MachineShard};
use crate::config::settings::Settings;
use crate::membership::{EpochRecord, Membership};
use crate::peer::{DesiredAction, DesiredState, DesiredTask, TaskKey};
use crate::units::Micros;

/// A machine shard (controller c0) in a cluster of three controllers, each of which can be a job leader.
struct Fixture {
    membership: Membership,
    shard: MachineShard,
    contact_limit: Micros,
    /// By job leader, the revision of its latest message.
    revisions: [u64; 3],
    sequence: u64,
}

fn at(milliseconds: u64) -> Micros {
    Micros::from_millis(milliseconds)
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
        let settings = Settings::parse("test", &text).expect("valid");
        let mut membership = Membership::new(&settings, 1);
        membership.adopt_epoch(at(1000), &record(7, &[0, 1, 2]), 1);
        Fixture {
            membership,
            shard: MachineShard::new(&settings),
            contact_limit: settings.reach,
            revisions: [0; 3],
            sequence: 0,
        }
    }

    /// Returns a machine that c0 leads whichever other controllers are members.
    fn machine(&self) -> String {
        (0..)
            .map(|i| format!("i-{i}"))
            .find(|name| self.membership.machine_leader(name) == Some(0))
            .expect("c0 leads some machines")
    }

    /// Returns a job that the controller `job_leader` leads.
    fn job(&self, job_leader: usize) -> String {
        (0..)
            .map(|i| format!("wk-{i}"))
            .find(|job| self.membership.job_leader(job) == Some(job_leader))
            .expect("each controller leads some jobs")
    }

    fn heartbeat(&mut self, now: Micros, machine: &str, tasks: &[(&str, u64, &str)]) -> HeartbeatOutcome {
        self.sequence += 1;
        let mut heartbeat = heartbeat(self.sequence, self.membership.epoch, tasks);
        heartbeat.machine = machine.into();
        self.shard.apply_heartbeat(now, &self.membership, &heartbeat)
    }

    /// Delivers a job leader's message that lists `list`. When it was sent, the job leader had received the clock
    /// reading `echo` and the present status.
    fn deliver(&mut self, now: Micros, job_leader: usize, echo: Micros, list: Vec<DesiredTask>) {
        self.deliver_with_seen_revision(now, job_leader, echo, list, self.shard.revision());
    }

    fn deliver_with_seen_revision(
        &mut self,
        now: Micros,
        job_leader: usize,
        echo: Micros,
        list: Vec<DesiredTask>,
        seen_revision: u64,
    ) {
        let since = self.revisions[job_leader];
        self.revisions[job_leader] += 1;
        let state =
            DesiredState { revision: since + 1, base_revision: since, tasks: list, removed: Vec::new() };
        let membership = self.membership.clone();
        assert!(
            self.shard.apply_desired_state(now, job_leader, &state, &membership, |_| Some(CAPACITY)),
            "no message is missing"
        );
        self.shard.record_job_leader_message(job_leader, echo, seen_revision);
    }

    fn adopt(&mut self, now: Micros, epoch: u64, members: &[usize]) {
        let membership_before = self.membership.clone();
        let is_direct_successor = self.membership.adopt_epoch(now, &record(epoch, members), epoch);
        self.shard
            .adopt_epoch(now, &self.membership, is_direct_successor, |job| membership_before.job_leader(job));
    }
}

/// The job leader has told a user that the job is cancelled while the machine leader no longer receives its messages.
/// Guards against renewing the machine's lease too long, whether messages are lost in both directions, lost in one, or
/// late.
#[test]
fn a_lease_is_renewed_only_while_cancel_s_can_be_kept() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    assert!(!fixture.shard.can_renew_lease(at(2000), &machine), "the job leader has sent no message");
    fixture.deliver(at(3000), 1, at(2900), vec![]);
    assert!(
        fixture.shard.can_renew_lease(at(3000), &machine),
        "the job leader's message takes the task into account and does not stop it"
    );
    let limit_end = at(2900) + fixture.contact_limit;
    assert!(
        fixture.shard.can_renew_lease(Micros(limit_end.0 - 1), &machine)
            && !fixture.shard.can_renew_lease(limit_end, &machine),
        "no more messages arrive"
    );
    // One direction: the job leader's messages arrive, but the echo does not advance, so they may be as old as the
    // echo.
    for second in 4..40 {
        fixture.deliver(at(second * 1000), 1, at(2900), vec![]);
    }
    assert!(!fixture.shard.can_renew_lease(limit_end, &machine));
    // Late: this message was sent long ago.
    fixture.deliver(at(40_000), 1, at(20_000), vec![]);
    assert!(
        fixture.shard.can_renew_lease(at(40_000), &machine)
            && !fixture.shard.can_renew_lease(at(20_000) + fixture.contact_limit, &machine)
    );
    // Messages of another controller are no evidence.
    fixture.deliver(at(50_000), 2, at(50_000), vec![]);
    assert!(!fixture.shard.can_renew_lease(at(50_000), &machine));
}

/// A job leader that has not learned of a task omits it from its messages whatever became of the job. So a message
/// counts only if it takes the heartbeat into account that listed the task.
#[test]
fn a_message_is_evidence_only_if_its_sender_has_learned_of_the_task() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    let revision_before = fixture.shard.revision();
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    fixture.deliver_with_seen_revision(at(3000), 1, at(2900), vec![], revision_before);
    assert!(!fixture.shard.can_renew_lease(at(3000), &machine));
    fixture.deliver(at(4000), 1, at(3900), vec![]);
    assert!(fixture.shard.can_renew_lease(at(4000), &machine));
}

/// A response that carries the command to stop the task may renew the lease.
#[test]
fn a_task_that_is_being_stopped_does_not_block_renewal() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let job = fixture.job(1);
    fixture.heartbeat(at(2000), &machine, &[(&format!("{job}/0"), 1, "running")]);
    let key = TaskKey { job, index: 0, attempt: 1 };
    let stop = DesiredTask {
        key,
        machine: machine.clone(),
        action: DesiredAction::Stop(Micros(0)),
        ..desired_start(1, 1000)
    };
    fixture.deliver(at(3000), 1, at(2900), vec![stop]);
    assert!(fixture.shard.can_renew_lease(at(900_000), &machine));
    let membership = fixture.membership.clone();
    let response = fixture.shard.issue_commands(&membership, &machine, |_| true).expect("known");
    assert_eq!(response.commands.iter().map(|command| command.verb()).collect::<Vec<_>>(), ["kill"]);
}

/// Several failovers in a row while the state store is unavailable at times, so that no new job leader sends messages.
/// Guards against restarting the time limit with each epoch.
#[test]
fn a_new_epoch_does_not_restart_the_time_limit() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(2000), &machine, &[(&task, 1, "running")]);
    fixture.deliver(at(3000), 1, at(2900), vec![]);
    let limit_end = at(2900) + fixture.contact_limit;
    for (index, members) in [[0, 2], [0, 1], [0, 2]].iter().enumerate() {
        fixture.adopt(at(10_000 + 4000 * index as u64), 8 + index as u64, members);
        assert!(
            fixture.shard.can_renew_lease(Micros(limit_end.0 - 1), &machine)
                && !fixture.shard.can_renew_lease(limit_end, &machine)
        );
    }
    let job_leader = fixture.membership.job_leader(task.split('/').next().expect("a job")).expect("a leader");
    fixture.deliver(at(22_000), job_leader, at(21_900), vec![]);
    assert!(
        fixture.shard.can_renew_lease(limit_end, &machine),
        "the new job leader has read the job's record and received the status with the task"
    );
}

/// When this controller begins to lead a machine, there is no evidence about its tasks: the machine leader before may
/// have received no message of the job leader for long.
#[test]
fn a_machine_with_a_new_leader_needs_a_message_of_the_job_leader() {
    let mut fixture = Fixture::new();
    fixture.deliver(at(1500), 1, at(1400), vec![]);
    fixture.adopt(at(2000), 8, &[0, 1]);
    let machine = fixture.machine();
    let task = format!("{}/0", fixture.job(1));
    fixture.heartbeat(at(3000), &machine, &[(&task, 1, "running")]);
    assert!(!fixture.shard.can_renew_lease(at(3000), &machine));
    fixture.deliver(at(3500), 1, at(3400), vec![]);
    assert!(fixture.shard.can_renew_lease(at(3500), &machine));
    // A machine without tasks needs no evidence.
    fixture.heartbeat(at(4000), &machine, &[]);
    assert!(fixture.shard.can_renew_lease(at(900_000), &machine));
}

/// A start is also sent in a response. If its job leader's messages no longer arrive, the job may be cancelled.
#[test]
fn a_queued_start_needs_evidence_as_well() {
    let mut fixture = Fixture::new();
    let machine = fixture.machine();
    fixture.heartbeat(at(2000), &machine, &[]);
    fixture.shard.confirm_registered(&machine);
    let key = TaskKey { job: fixture.job(1), index: 0, attempt: 1 };
    fixture.deliver(
        at(3000),
        1,
        at(2900),
        vec![DesiredTask { key, machine: machine.clone(), ..desired_start(1, 1000) }],
    );
    assert!(
        fixture.shard.can_renew_lease(at(3000), &machine)
            && !fixture.shard.can_renew_lease(at(2900) + fixture.contact_limit, &machine)
    );
    let membership = fixture.membership.clone();
    assert_eq!(
        fixture.shard.issue_commands(&membership, &machine, |_| true).map(|response| response.commands.len()),
        Some(1)
    );
}
