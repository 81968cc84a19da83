use super::super::RecordWrite;
use super::super::tests::{raw, running, shard_with_job, whole_status};
use super::*;
use crate::membership::EpochRecord;
use crate::membership::Membership;
use crate::peer::{DesiredState, MachineStatus, MachineStatusDelta, ObservedTask, TaskExit, TaskPhase};
use crate::quota::QuotaLedger;
use crate::spec::JobSpec;
use crate::units::TaskIndexSet;
use serde_json::{Value, json};

fn at(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// A shard whose job's starts have been named to the machine's leader, which has not yet answered, and that message.
fn started(raw: Value) -> (Membership, QuotaLedger, JobShard, MachineStatus, DesiredState) {
    let (mut membership, quota, mut shard, machine) = shard_with_job(raw);
    membership.note_older_leaders_stopped(at(500));
    shard.apply_machine_status(
        at(900),
        &membership,
        0,
        whole_status(&membership, 1, 0, vec![machine.clone()]),
    );
    shard.run_scheduling_pass(at(1000), at(1000), &membership, &quota);
    let desired = shard.next_desired_state(0, &membership);
    assert!(!desired.tasks.is_empty());
    (membership, quota, shard, machine, desired)
}

fn cancel(shard: &mut JobShard) {
    assert!(shard.cancel("wk-1"));
}

fn ends(shard: &mut JobShard, now: Micros) -> bool {
    match shard.next_write(now, true) {
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
    let (membership, _, mut shard, machine, w) = started(raw("batch", 2, 0.0));
    let tasks = w.tasks.iter().map(|w| running(&w.key)).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, w.revision, listed(&machine, tasks)),
    );
    cancel(&mut shard);
    assert!(ends(&mut shard, at(1200)));
    assert!(
        shard
            .next_desired_state(0, &membership)
            .tasks
            .iter()
            .all(|w| w.action != DesiredAction::Stop(Micros(0))),
        "not before it is on record"
    );
}

/// It waits at its leader, and would go out with the next answer to its machine.
#[test]
fn a_start_that_has_not_gone_out_is_withdrawn_before_the_end() {
    let (membership, _, mut shard, machine, w) = started(raw("batch", 2, 0.0));
    let queued =
        w.tasks.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Queued }).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, w.revision, listed(&machine, queued)),
    );
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(1200)));
    let stops = shard.next_desired_state(0, &membership);
    assert!(
        stops.tasks.len() == 2 && stops.tasks.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
    assert!(!ends(&mut shard, at(1300)), "its leader has yet to say so");
    shard.apply_machine_status(
        at(1400),
        &membership,
        0,
        whole_status(&membership, 3, stops.revision, listed(&machine, Vec::new())),
    );
    assert!(ends(&mut shard, at(1400)));
}

/// It went out just before. The agent drops an answer that is four seconds late.
#[test]
fn a_start_in_doubt_holds_up_the_end_until_it_has_arrived_or_can_not_arrive() {
    for arrives in [true, false] {
        let (membership, _, mut shard, machine, w) = started(raw("batch", 1, 0.0));
        let as_ = |phase| listed(&machine, vec![ObservedTask { key: w.tasks[0].key.clone(), phase }]);
        shard.apply_machine_status(
            at(1100),
            &membership,
            0,
            whole_status(&membership, 2, w.revision, as_(TaskPhase::Queued)),
        );
        cancel(&mut shard);
        assert!(!ends(&mut shard, at(1200)));
        let rev = shard.next_desired_state(0, &membership).revision;
        shard.apply_machine_status(
            at(1300),
            &membership,
            0,
            whole_status(&membership, 3, rev, as_(TaskPhase::InDoubt)),
        );
        shard.next_desired_state(0, &membership);
        assert!(!ends(&mut shard, at(1300)));
        if arrives {
            shard.apply_machine_status(
                at(1800),
                &membership,
                0,
                whole_status(&membership, 4, rev, as_(TaskPhase::Fetching)),
            );
            assert!(ends(&mut shard, at(1800)));
        } else {
            assert!(!ends(&mut shard, at(5290)));
            assert!(ends(&mut shard, at(5400)));
        }
    }
}

/// While it hears nothing of us it answers the machine for no longer than `leader_silence_limit`.
#[test]
fn a_machines_leader_that_says_nothing_holds_up_the_end_for_a_bounded_time() {
    let (membership, _, mut shard, ..) = started(raw("batch", 1, 0.0));
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(2000)));
    for s in 3..29 {
        shard.next_desired_state(0, &membership);
        assert!(!ends(&mut shard, at(s * 1000)), "{s}");
    }
    assert!(ends(&mut shard, at(30_100)), "{:?}", shard.leader_silence_limit);
}

/// Another controller may have answered the machine under the older epoch until a moment ago.
#[test]
fn starts_of_an_older_epoch_hold_up_the_end_until_they_can_not_arrive() {
    let (mut membership, _, mut shard, machine) = shard_with_job(raw("batch", 1, 0.0));
    shard.jobs.clear();
    membership.adopt_epoch(at(10_000), &EpochRecord { epoch: 2, members: vec![("c0".into(), 1)] }, 2);
    shard.adopt_epoch(&membership, false);
    shard.finish_loading(std::iter::once("i-1".to_owned()));
    let raw = raw("batch", 1, 0.0);
    shard.insert_job(
        raw.clone(),
        JobSpec::from_value(&raw).expect("valid"),
        Micros(1),
        TaskIndexSet::default(),
        1,
        false,
    );
    cancel(&mut shard);
    let silent = membership.older_leaders_stopped_at();
    assert!(!ends(&mut shard, at(10_100)) && !ends(&mut shard, silent + at(3_900)));
    let mut heard = shard;
    assert!(ends(&mut heard, silent + at(4_100)));
    // Its machine has shown this epoch's token: it takes no older answer.
    heard.fail_write(at(15_000), "wk-1", true);
    heard.jobs.get_mut("wk-1").expect("live").cancellation = Cancellation::default();
    assert!(!ends(&mut heard, at(15_600)));
    heard.apply_machine_status(at(15_700), &membership, 0, whole_status(&membership, 1, 0, vec![machine]));
    assert!(ends(&mut heard, at(15_700)));
}

/// All of a gang were accepted, and it is cancelled before they are told to start.
#[test]
fn a_gang_that_is_cancelled_while_it_is_held_does_not_begin() {
    let (membership, quota, mut shard, machine, w) = started(raw("group", 2, 0.0));
    assert!(w.tasks.iter().all(|w| w.action == DesiredAction::Hold));
    cancel(&mut shard);
    let held = w.tasks.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Held }).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, w.revision, listed(&machine, held)),
    );
    shard.run_scheduling_pass(at(1200), at(1200), &membership, &quota);
    let stops = shard.next_desired_state(0, &membership);
    assert!(
        stops.tasks.len() == 2 && stops.tasks.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
}

/// Nor do starts that are there no more because they were withdrawn count against its leader.
#[test]
fn a_withdrawn_start_is_no_refusal() {
    let (membership, _, mut shard, machine, w) = started(raw("batch", 1, 0.0));
    let left_alone = |shard: &mut JobShard| shard.placement_refusals.refusing(at(1500), &membership);
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(1200)));
    let rev = shard.next_desired_state(0, &membership).revision.max(w.revision);
    shard.apply_machine_status(
        at(1400),
        &membership,
        0,
        whole_status(&membership, 3, rev, listed(&machine, Vec::new())),
    );
    assert!(ends(&mut shard, at(1400)) && left_alone(&mut shard).is_empty());
}

/// Found by the seeded world: with more ends than the state service takes, the same few waited for minutes.
#[test]
fn cancellations_go_first_and_then_ends_by_age() {
    let (.., mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    let mut add = |id: &str| {
        let mut r = raw("batch", 1, 0.0);
        r["uid"] = json!(id);
        shard.insert_job(
            r.clone(),
            JobSpec::from_value(&r).expect("valid"),
            Micros(1),
            TaskIndexSet::default(),
            1,
            true,
        );
    };
    ["wk-2", "wk-3", "wk-4"].into_iter().for_each(&mut add);
    let mut next = |done: &[&str], cancelled: &[&str], now: u64| {
        done.iter().for_each(|id| shard.complete_task(id, 0));
        cancelled.iter().for_each(|id| assert!(shard.cancel(id)));
        let next = shard.next_write(at(now), true);
        next.map(|(id, ..)| {
            shard.end_job(&id, JobOutcome::Done);
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
    let (.., mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    shard.complete_task("wk-1", 0);
    shard.note_ends(at(1000));
    assert!(!shard.cancel("wk-1"));
    let next = shard.next_write(at(1000), true);
    assert!(matches!(next, Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}

/// Progress is put on record now and then only; who has ended, or is cancelled right after, doesn't wait for the next time.
#[test]
fn an_end_does_not_wait_for_the_pause_between_two_writes_of_progress() {
    let (membership, _, mut shard, machine, w) = started(raw("batch", 2, 0.0));
    let exited = |w: &crate::peer::DesiredTask| ObservedTask {
        key: w.key.clone(),
        phase: TaskPhase::Exited(TaskExit::Done),
    };
    let one = vec![exited(&w.tasks[0]), running(&w.tasks[1].key)];
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, w.revision, listed(&machine, one)),
    );
    let (id, write, _) = shard.next_write(at(1200), false).expect("progress is due");
    let RecordWrite::Progress(_, kept) = write else { panic!("not an end") };
    shard.confirm_progress(at(1210), &id, kept, 9);
    let all: MachineStatusDelta =
        whole_status(&membership, 3, w.revision, listed(&machine, w.tasks.iter().map(exited).collect()));
    shard.apply_machine_status(at(1300), &membership, 0, all);
    assert!(matches!(shard.next_write(at(1400), true), Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}
