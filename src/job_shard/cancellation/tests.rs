use super::super::tests::{owner_of, raw, running, whole};
use super::*;
use crate::membership::EpochRecord;
use crate::peer::{DesiredState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit};
use crate::quota::QuotaLedger;

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// An owner whose job's starts have been asked for, of which its home has not yet said anything, and that message.
fn asked(raw: Value) -> (Membership, QuotaLedger, JobShard, MachineStatus, DesiredState) {
    let (mut m, teams, mut owner, machine) = owner_of(raw);
    m.note_stopped(at(500));
    owner.digest(at(900), &m, 0, whole(&m, 1, 0, vec![machine.clone()]));
    owner.plan(at(1000), at(1000), &m, &teams);
    let wishes = owner.wanted(0, &m);
    assert!(!wishes.list.is_empty());
    (m, teams, owner, machine, wishes)
}

fn cancel(owner: &mut JobShard) {
    assert!(owner.cancel("wk-1"));
}

fn ends(owner: &mut JobShard, now: Micros) -> bool {
    match owner.next_write(now, true) {
        Some((_, RecordWrite::End(JobOutcome::Cancelled, _), _)) => true,
        None => false,
        other => panic!("{other:?}"),
    }
}

fn listed(machine: &MachineStatus, tasks: Vec<ObservedTask>) -> Vec<MachineStatus> {
    vec![MachineStatus { tasks, ..machine.clone() }]
}

#[test]
fn what_runs_does_not_hold_up_the_end() {
    let (m, _, mut owner, machine, w) = asked(raw("batch", 2, 0.0));
    let tasks = w.list.iter().map(|w| running(&w.key)).collect();
    owner.digest(at(1100), &m, 0, whole(&m, 2, w.revision, listed(&machine, tasks)));
    cancel(&mut owner);
    assert!(ends(&mut owner, at(1200)));
    assert!(
        owner.wanted(0, &m).list.iter().all(|w| w.action != DesiredAction::Stop(Micros(0))),
        "not before it is on record"
    );
}

/// It waits at its home, and would go out with the next answer to its machine.
#[test]
fn a_start_that_has_not_gone_out_is_withdrawn_before_the_end() {
    let (m, _, mut owner, machine, w) = asked(raw("batch", 2, 0.0));
    let queued =
        w.list.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Queued }).collect();
    owner.digest(at(1100), &m, 0, whole(&m, 2, w.revision, listed(&machine, queued)));
    cancel(&mut owner);
    assert!(!ends(&mut owner, at(1200)));
    let stops = owner.wanted(0, &m);
    assert!(
        stops.list.len() == 2 && stops.list.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
    assert!(!ends(&mut owner, at(1300)), "its home has yet to say so");
    owner.digest(at(1400), &m, 0, whole(&m, 3, stops.revision, listed(&machine, Vec::new())));
    assert!(ends(&mut owner, at(1400)));
}

/// It went out just before. The worker drops an answer that is four seconds late.
#[test]
fn a_start_in_doubt_holds_up_the_end_until_it_has_arrived_or_can_not_arrive() {
    for arrives in [true, false] {
        let (m, _, mut owner, machine, w) = asked(raw("batch", 1, 0.0));
        let as_ = |phase| listed(&machine, vec![ObservedTask { key: w.list[0].key.clone(), phase }]);
        owner.digest(at(1100), &m, 0, whole(&m, 2, w.revision, as_(TaskPhase::Queued)));
        cancel(&mut owner);
        assert!(!ends(&mut owner, at(1200)));
        let rev = owner.wanted(0, &m).revision;
        owner.digest(at(1300), &m, 0, whole(&m, 3, rev, as_(TaskPhase::InDoubt)));
        owner.wanted(0, &m);
        assert!(!ends(&mut owner, at(1300)));
        if arrives {
            owner.digest(at(1800), &m, 0, whole(&m, 4, rev, as_(TaskPhase::Fetching)));
            assert!(ends(&mut owner, at(1800)));
        } else {
            assert!(!ends(&mut owner, at(5290)));
            assert!(ends(&mut owner, at(5400)));
        }
    }
}

/// While it hears nothing of us it answers the machine for no longer than `reach`.
#[test]
fn a_home_that_says_nothing_holds_up_the_end_for_a_bounded_time() {
    let (m, _, mut owner, ..) = asked(raw("batch", 1, 0.0));
    cancel(&mut owner);
    assert!(!ends(&mut owner, at(2000)));
    for s in 3..29 {
        owner.wanted(0, &m);
        assert!(!ends(&mut owner, at(s * 1000)), "{s}");
    }
    assert!(ends(&mut owner, at(30_100)), "{:?}", owner.reach);
}

/// Another controller may have answered the machine under the older epoch until a moment ago.
#[test]
fn starts_of_an_older_epoch_hold_up_the_end_until_they_can_not_arrive() {
    let (mut m, _, mut owner, machine) = owner_of(raw("batch", 1, 0.0));
    owner.jobs.clear();
    m.adopt(at(10_000), &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
    owner.adopt(&m, false);
    owner.load_done(std::iter::once("i-1".to_owned()));
    let raw = raw("batch", 1, 0.0);
    owner.insert(
        raw.clone(),
        JobSpec::from_value(&raw).expect("valid"),
        Micros(1),
        Ranges::default(),
        1,
        false,
    );
    cancel(&mut owner);
    let silent = m.older_silent_at();
    assert!(!ends(&mut owner, at(10_100)) && !ends(&mut owner, silent + at(3_900)));
    let mut heard = owner;
    assert!(ends(&mut heard, silent + at(4_100)));
    // Its machine has shown this epoch's token: it takes no older answer.
    heard.write_failed(at(15_000), "wk-1", true);
    heard.jobs.get_mut("wk-1").expect("live").withdrawal = Cancellation::default();
    assert!(!ends(&mut heard, at(15_600)));
    heard.digest(at(15_700), &m, 0, whole(&m, 1, 0, vec![machine]));
    assert!(ends(&mut heard, at(15_700)));
}

/// All of a gang were accepted, and it is cancelled before they are told to start.
#[test]
fn a_gang_that_is_cancelled_while_it_is_held_does_not_begin() {
    let (m, teams, mut owner, machine, w) = asked(raw("group", 2, 0.0));
    assert!(w.list.iter().all(|w| w.action == DesiredAction::Hold));
    cancel(&mut owner);
    let held = w.list.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Held }).collect();
    owner.digest(at(1100), &m, 0, whole(&m, 2, w.revision, listed(&machine, held)));
    owner.plan(at(1200), at(1200), &m, &teams);
    let stops = owner.wanted(0, &m);
    assert!(
        stops.list.len() == 2 && stops.list.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
}

/// Nor do starts that are there no more because they were withdrawn count against their home.
#[test]
fn a_withdrawn_start_is_no_refusal() {
    let (m, _, mut owner, machine, w) = asked(raw("batch", 1, 0.0));
    let left_alone = |owner: &mut JobShard| owner.refusals.current(at(1500), &m);
    cancel(&mut owner);
    assert!(!ends(&mut owner, at(1200)));
    let rev = owner.wanted(0, &m).revision.max(w.revision);
    owner.digest(at(1400), &m, 0, whole(&m, 3, rev, listed(&machine, Vec::new())));
    assert!(ends(&mut owner, at(1400)) && left_alone(&mut owner).is_empty());
}

/// Found by the seeded world: with more ends than the state service takes, the same few waited for minutes.
#[test]
fn cancellations_go_first_and_then_ends_by_age() {
    let (.., mut owner, _) = owner_of(raw("batch", 1, 0.0));
    let mut add = |id: &str| {
        let mut r = raw("batch", 1, 0.0);
        r["uid"] = json!(id);
        owner.insert(
            r.clone(),
            JobSpec::from_value(&r).expect("valid"),
            Micros(1),
            Ranges::default(),
            1,
            true,
        );
    };
    ["wk-2", "wk-3", "wk-4"].into_iter().for_each(&mut add);
    let mut next = |done: &[&str], cancelled: &[&str], now: u64| {
        done.iter().for_each(|id| owner.complete(id, 0));
        cancelled.iter().for_each(|id| assert!(owner.cancel(id)));
        let next = owner.next_write(at(now), true);
        next.map(|(id, ..)| {
            owner.ended(&id, JobOutcome::Done);
            id
        })
    };
    assert_eq!(next(&["wk-4", "wk-3"], &["wk-4"], 1000).as_deref(), Some("wk-4"));
    assert_eq!(next(&["wk-1"], &[], 2000).as_deref(), Some("wk-3"), "the oldest");
    assert_eq!(next(&[], &["wk-2"], 3000).as_deref(), Some("wk-2"));
    assert_eq!(next(&[], &[], 4000).as_deref(), Some("wk-1"));
    assert_eq!(next(&[], &[], 5000), None);
}

/// An end that was noted stands: a cancellation that comes later doesn't change what its user is told.
#[test]
fn a_job_that_is_to_end_as_done_is_not_cancelled_any_more() {
    let (.., mut owner, _) = owner_of(raw("batch", 1, 0.0));
    owner.complete("wk-1", 0);
    owner.note_endings(at(1000));
    assert!(!owner.cancel("wk-1"));
    let next = owner.next_write(at(1000), true);
    assert!(matches!(next, Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}

/// Progress is put on record now and then only; who has ended, or is cancelled right after, doesn't wait for the next time.
#[test]
fn an_end_does_not_wait_for_the_pause_between_two_writes_of_progress() {
    let (m, _, mut owner, machine, w) = asked(raw("batch", 2, 0.0));
    let exited = |w: &crate::peer::DesiredTask| ObservedTask {
        key: w.key.clone(),
        phase: TaskPhase::Exited(TaskExit::Done),
    };
    let one = vec![exited(&w.list[0]), running(&w.list[1].key)];
    owner.digest(at(1100), &m, 0, whole(&m, 2, w.revision, listed(&machine, one)));
    let (id, write, _) = owner.next_write(at(1200), false).expect("progress is due");
    let RecordWrite::Progress(_, kept) = write else { panic!("not an end") };
    owner.progress_written(at(1210), &id, kept, 9);
    let all: MachineStatusDelta =
        whole(&m, 3, w.revision, listed(&machine, w.list.iter().map(exited).collect()));
    owner.digest(at(1300), &m, 0, all);
    assert!(matches!(owner.next_write(at(1400), true), Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}
