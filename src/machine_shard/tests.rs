//! The home side by itself.

use super::*;
use crate::membership::EpochRecord;

pub(super) const ROOM: Resources = Resources { cpus: 4000, gpus: 0, memory: 8000 };

pub(super) fn setup() -> (Membership, MachineShard) {
    let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
        state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
        gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
        txn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
    let s = Settings::parse("test", text).expect("valid");
    let mut m = Membership::new(&s, 1);
    m.adopt(Micros(1), &EpochRecord { epoch: 7, members: vec![("c0".into(), 1)] }, 1);
    (m, MachineShard::new(&s))
}
pub(super) fn report(seq: u64, token: u64, tasks: &[(&str, u64, &str)]) -> Heartbeat {
    let tasks = tasks
        .iter()
        .map(|(task, attempt, state)| HeartbeatTask {
            task: (*task).into(),
            attempt: *attempt,
            state: (*state).into(),
            why: None,
            saved: None,
        })
        .collect();
    Heartbeat {
        machine: "i-1".into(),
        addr: String::new(),
        kind: "k".into(),
        zone: "z".into(),
        spot: false,
        session: 1,
        seq,
        token,
        notice_s: None,
        tasks,
    }
}
pub(super) fn want(attempt: u64, cpus: i64) -> DesiredTask {
    DesiredTask {
        key: TaskKey { job: "wk-1".into(), index: 0, attempt },
        machine: "i-1".into(),
        room: Resources { cpus, gpus: 0, memory: 0 },
        action: DesiredAction::Run,
        priority: 0,
        image: 0,
    }
}
pub(super) fn whole(rev: u64, list: Vec<DesiredTask>) -> DesiredState {
    DesiredState { revision: rev, base_revision: 0, list, removed: Vec::new() }
}
pub(super) fn starts(home: &mut MachineShard, m: &Membership) -> usize {
    let orders = home.orders(m, "i-1", |_| true).expect("known");
    orders.commands.iter().filter(|c| c.op == "run").count()
}
pub(super) fn ready() -> (Membership, MachineShard) {
    let (m, mut home) = setup();
    assert_eq!(home.report(Micros(10), &m, &report(1, 7, &[])), Verdict::Taken);
    home.on_record("i-1");
    (m, home)
}

#[test]
fn nothing_is_started_before_a_report_shows_our_token() {
    let (m, mut home) = setup();
    home.report(Micros(10), &m, &report(1, 6, &[]));
    home.on_record("i-1");
    home.wanted(Micros(11), 0, &whole(1, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 0, "an older token's answer may still be executed");
    home.report(Micros(20), &m, &report(2, 7, &[]));
    // Found by a hunt on sanaq-forms: the wish of before, repeated, must not start the task now.
    // The digest has told the owner that it isn't there, and it may have been placed elsewhere.
    home.wanted(Micros(21), 0, &whole(2, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 0);
    home.wanted(Micros(22), 0, &whole(3, vec![want(2, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 1);
    assert_eq!(home.report(Micros(30), &m, &report(3, 8, &[])), Verdict::Deposed);
}

#[test]
fn a_late_report_changes_nothing() {
    let (m, mut home) = ready();
    home.report(Micros(20), &m, &report(5, 7, &[("wk-1/0", 1, "running")]));
    assert_eq!(home.report(Micros(30), &m, &report(4, 7, &[])), Verdict::Stale);
    assert_eq!(home.digest(Micros(31), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(), 1);
}

#[test]
fn a_start_is_decided_on_once() {
    let (m, mut home) = ready();
    home.wanted(Micros(11), 0, &whole(1, vec![want(1, 4000), want(2, 4000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 1);
    // The accepted one never arrived; the refused one would fit now. The owner may have placed
    // either elsewhere since, so neither goes out again until it says so under a new attempt.
    home.report(Micros(20), &m, &report(2, 7, &[]));
    assert!(home.digest(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.is_empty());
    home.wanted(Micros(22), 0, &whole(2, vec![want(1, 4000), want(2, 4000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 0);
    home.wanted(Micros(23), 0, &whole(3, vec![want(3, 4000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 1);
}

/// Found by a replay on sanaq-forms-ops: a cancelled job's task whose machine had just changed its
/// home ran on for longer than `cancel_s`. Its owner's wish to stop it came before the machine's
/// first report, was dropped, and was never said again.
#[test]
fn what_is_wanted_of_a_machine_that_has_yet_to_report_is_not_lost() {
    for recorded in [false, true] {
        let (m, mut home) = setup();
        if recorded {
            let r = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
            home.recorded(Micros(9), "i-1", r);
        }
        let stop = DesiredTask { action: DesiredAction::Stop(Micros(0)), ..want(1, 3000) };
        let keep = DesiredTask {
            action: DesiredAction::Keep,
            key: TaskKey { job: "wk-1".into(), index: 1, attempt: 1 },
            ..want(1, 500)
        };
        home.wanted(Micros(10), 0, &whole(1, vec![stop, keep]), &m, |_| Some(ROOM));
        let running = [("wk-1/0", 1, "running"), ("wk-1/1", 1, "running")];
        home.report(Micros(20), &m, &report(1, 6, &running));
        let orders = home.orders(&m, "i-1", |_| true).expect("known");
        let told: Vec<_> = orders.commands.iter().map(|c| (c.op, c.task.as_str())).collect();
        assert_eq!(told, [("kill", "wk-1/0")]);
        home.report(Micros(30), &m, &report(2, 7, &running));
        let d = home.digest(Micros(31), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
        assert!(d.open && d.free.cpus == 500, "what the tasks take is known too: {d:?}");
    }
}

#[test]
fn a_start_in_doubt_holds_its_room_until_a_newer_report() {
    let (m, mut home) = ready();
    home.wanted(Micros(11), 0, &whole(1, vec![want(1, 3000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 1);
    // The owner asks for it no more: what is out can't be called back by silence.
    home.wanted(Micros(12), 0, &whole(2, vec![]), &m, |_| Some(ROOM));
    let d = home.digest(Micros(13), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
    assert_eq!((d.free.cpus, d.tasks[0].phase), (1000, TaskPhase::InDoubt));
    home.report(Micros(20), &m, &report(2, 7, &[("wk-1/0", 1, "pulling")]));
    let d = home.digest(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
    assert_eq!((d.free.cpus, d.tasks[0].phase), (1000, TaskPhase::Fetching));
}

#[test]
fn nothing_is_started_on_a_machine_that_is_not_on_record() {
    let (m, mut home) = setup();
    home.report(Micros(10), &m, &report(1, 7, &[]));
    home.wanted(Micros(11), 0, &whole(1, vec![want(1, 1000)]), &m, |_| Some(ROOM));
    assert_eq!(starts(&mut home, &m), 0);
}

/// The cloud has taken a machine back and all controllers were told, so nothing is kept of it but its name. A copy of a
/// report of this very epoch would make it known, with room, and put it on record again.
#[test]
fn a_copy_does_not_bring_a_returned_machine_back() {
    let (m, mut home) = ready();
    let copy = report(2, 7, &[("wk-1/0", 1, "running")]);
    home.report(Micros(20), &m, &copy);
    home.fleet(&BTreeSet::new(), &["i-1".into()]);
    home.drop_gone(&[u64::MAX]);
    assert_eq!(home.counts(), (0, 0));
    assert_eq!(home.report(Micros(60_000_000), &m, &report(3, 7, &[])), Verdict::Stale);
    assert_eq!(home.report(Micros(61_000_000), &m, &copy), Verdict::Stale);
    assert_eq!((home.counts(), home.live(Micros(61_000_001)), home.to_record().len()), ((0, 0), 0, 0));
}

/// A report that was on its way for longer than a lease, so that its number is the highest seen, and its original never
/// came: the session in which it was sent is over.
#[test]
fn what_was_sent_in_a_session_that_is_over_proves_nothing() {
    for tasks in [&[("wk-1/0", 1, "running")][..], &[]] {
        let (m, mut home) = ready();
        home.report(Micros(20), &m, &report(5, 7, tasks));
        let later = Micros(20_000_000);
        home.tick(later, &m);
        assert_eq!(home.report(later, &m, &report(6, 7, tasks)), Verdict::Stale);
        let d = home.digest(later, &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
        assert!(!d.open && d.tasks.is_empty() && home.live(later) == 0, "{d:?}");
        assert_eq!(home.report(later, &m, &Heartbeat { session: 2, ..report(1, 7, &[]) }), Verdict::Taken);
        assert_eq!(home.live(later), 1);
    }
}

/// A deaf machine that has shown our token loses each start, and would be given the next with its next report.
#[test]
fn a_machine_that_loses_answers_in_a_row_is_given_nothing_for_a_while() {
    let (m, mut home) = ready();
    let open = |home: &mut MachineShard, at: u64| {
        home.tick(Micros(at), &m);
        home.digest(Micros(at), &m, 0, 0, |_| Some(ROOM)).machines.remove(0).open
    };
    for lost in 1..3 {
        let at = lost * 3_000_000;
        home.wanted(Micros(at), 0, &whole(lost, vec![want(lost, 1000)]), &m, |_| Some(ROOM));
        assert_eq!(starts(&mut home, &m), 1);
        home.report(Micros(at + 1000), &m, &report(1 + lost, 7, &[]));
        assert_eq!(open(&mut home, at + 300_000), lost == 1, "one is lost now and then");
    }
    home.report(Micros(16_000_000), &m, &report(4, 7, &[]));
    assert!(open(&mut home, 16_300_000), "and it may hear again");
}

/// A home of epoch 7 that knows a machine by its name on record.
fn taken_over() -> (Membership, MachineShard) {
    let (m, mut home) = setup();
    home.adopt(Micros(1), &m, false, |_| None);
    let r = MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: String::new() };
    home.recorded(Micros(1), "i-1", r);
    (m, home)
}

fn standing(home: &mut MachineShard, m: &Membership, s: f64) -> InventoryState {
    home.tick(Micros::from_secs(s), m);
    home.digest(Micros::from_secs(s), m, 0, 0, |_| Some(ROOM)).machines[0].standing
}

/// Others may have answered it for a store lease, 6 s, and its lease with the margin is over after another 18.71 s. A
/// report that comes then may have been sent before, and be answered by us in time.
#[test]
fn a_report_that_comes_as_a_lease_ends_may_renew_it() {
    let (m, mut home) = taken_over();
    let running = [("wk-1/0", 1, "running")];
    home.report(Micros::from_secs(24.9), &m, &report(1, 6, &running));
    assert_eq!(standing(&mut home, &m, 25.5), InventoryState::Unconfirmed);
    home.report(Micros::from_secs(28.0), &m, &report(2, 6, &running));
    assert_eq!(standing(&mut home, &m, 40.0), InventoryState::Unconfirmed);
    home.report(Micros::from_secs(41.0), &m, &report(3, 6, &running));
    assert_eq!(
        standing(&mut home, &m, 41.5),
        InventoryState::Known,
        "sent after all that others began was over"
    );
    assert!(home.digest(Micros::from_secs(41.5), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.is_empty());
}

/// It took an answer of ours in the epoch before this one: its older tasks live on.
#[test]
fn a_machine_that_shows_an_earlier_token_of_ours_has_heard_us() {
    let (mut m, mut home) = taken_over();
    let running = [("wk-1/0", 1, "running")];
    home.report(Micros::from_secs(20.0), &m, &report(1, 6, &running));
    m.adopt(Micros::from_secs(21.0), &EpochRecord { epoch: 8, members: vec![("c0".into(), 1)] }, 2);
    home.adopt(Micros::from_secs(21.0), &m, true, |_| Some(0));
    home.report(Micros::from_secs(33.0), &m, &report(2, 7, &running));
    assert_eq!(standing(&mut home, &m, 33.5), InventoryState::Unconfirmed);
    assert_eq!(home.digest(Micros::from_secs(33.5), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(), 1);
}
