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

/// A shard whose attempts have been sent to the machine's leader, which has not yet responded, and the
/// message that contained them.
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
fn running_tasks_do_not_delay_the_final_record() {
    let (membership, _, mut shard, machine, desired) = started(raw("batch", 2, 0.0));
    let tasks = desired.tasks.iter().map(|w| running(&w.key)).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, desired.revision, listed(&machine, tasks)),
    );
    cancel(&mut shard);
    assert!(ends(&mut shard, at(1200)));
    assert!(
        shard
            .next_desired_state(0, &membership)
            .tasks
            .iter()
            .all(|w| w.action != DesiredAction::Stop(Micros(0))),
        "running tasks are not stopped before the final record is stored"
    );
}

/// The attempt is queued at the machine's leader, which would send it with its next response to the machine.
#[test]
fn a_queued_attempt_is_withdrawn_before_the_final_record() {
    let (membership, _, mut shard, machine, desired) = started(raw("batch", 2, 0.0));
    let queued =
        desired.tasks.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Queued }).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, desired.revision, listed(&machine, queued)),
    );
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(1200)));
    let stops = shard.next_desired_state(0, &membership);
    assert!(
        stops.tasks.len() == 2 && stops.tasks.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
    assert!(!ends(&mut shard, at(1300)), "the machine's leader has not acknowledged the withdrawal");
    shard.apply_machine_status(
        at(1400),
        &membership,
        0,
        whole_status(&membership, 3, stops.revision, listed(&machine, Vec::new())),
    );
    assert!(ends(&mut shard, at(1400)));
}

/// The attempt was sent just before the cancellation. The worker drops a response that is four seconds late.
#[test]
fn an_attempt_in_transit_delays_the_final_record_until_it_arrives_or_cannot_arrive() {
    for arrives in [true, false] {
        let (membership, _, mut shard, machine, desired) = started(raw("batch", 1, 0.0));
        let as_ = |phase| listed(&machine, vec![ObservedTask { key: desired.tasks[0].key.clone(), phase }]);
        shard.apply_machine_status(
            at(1100),
            &membership,
            0,
            whole_status(&membership, 2, desired.revision, as_(TaskPhase::Queued)),
        );
        cancel(&mut shard);
        assert!(!ends(&mut shard, at(1200)));
        let revision = shard.next_desired_state(0, &membership).revision;
        shard.apply_machine_status(
            at(1300),
            &membership,
            0,
            whole_status(&membership, 3, revision, as_(TaskPhase::InDoubt)),
        );
        shard.next_desired_state(0, &membership);
        assert!(!ends(&mut shard, at(1300)));
        if arrives {
            shard.apply_machine_status(
                at(1800),
                &membership,
                0,
                whole_status(&membership, 4, revision, as_(TaskPhase::Fetching)),
            );
            assert!(ends(&mut shard, at(1800)));
        } else {
            assert!(!ends(&mut shard, at(5290)));
            assert!(ends(&mut shard, at(5400)));
        }
    }
}

/// Without messages from the job's leader, a machine leader keeps answering its machines for at most
/// `leader_silence_limit`.
#[test]
fn an_unresponsive_machine_leader_delays_the_final_record_for_a_bounded_time() {
    let (membership, _, mut shard, ..) = started(raw("batch", 1, 0.0));
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(2000)));
    for second in 3..29 {
        shard.next_desired_state(0, &membership);
        assert!(!ends(&mut shard, at(second * 1000)), "{second}");
    }
    assert!(ends(&mut shard, at(30_100)), "{:?}", shard.leader_silence_limit);
}

/// Another controller may have answered the machine in the older epoch until just now.
#[test]
fn attempts_of_an_older_epoch_delay_the_final_record_until_they_cannot_arrive() {
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
    // The machine has reported with this epoch's token, so it accepts no response of an older epoch.
    heard.fail_write(at(15_000), "wk-1", true);
    heard.jobs.get_mut("wk-1").expect("live").cancellation = Cancellation::default();
    assert!(!ends(&mut heard, at(15_600)));
    heard.apply_machine_status(at(15_700), &membership, 0, whole_status(&membership, 1, 0, vec![machine]));
    assert!(ends(&mut heard, at(15_700)));
}

/// All members of the gang were accepted, and the gang is cancelled before they are told to start.
#[test]
fn a_gang_cancelled_while_held_does_not_start() {
    let (membership, quota, mut shard, machine, desired) = started(raw("group", 2, 0.0));
    assert!(desired.tasks.iter().all(|w| w.action == DesiredAction::Hold));
    cancel(&mut shard);
    let held =
        desired.tasks.iter().map(|w| ObservedTask { key: w.key.clone(), phase: TaskPhase::Held }).collect();
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, desired.revision, listed(&machine, held)),
    );
    shard.run_scheduling_pass(at(1200), at(1200), &membership, &quota);
    let stops = shard.next_desired_state(0, &membership);
    assert!(
        stops.tasks.len() == 2 && stops.tasks.iter().all(|w| w.action == DesiredAction::Stop(Micros(0))),
        "{stops:?}"
    );
}

/// Attempts that disappear because they were withdrawn must not count against the machine's leader.
#[test]
fn a_withdrawn_attempt_does_not_count_as_a_refusal() {
    let (membership, _, mut shard, machine, desired) = started(raw("batch", 1, 0.0));
    let left_alone = |shard: &mut JobShard| shard.placement_refusals.leaders_to_avoid(at(1500), &membership);
    cancel(&mut shard);
    assert!(!ends(&mut shard, at(1200)));
    let revision = shard.next_desired_state(0, &membership).revision.max(desired.revision);
    shard.apply_machine_status(
        at(1400),
        &membership,
        0,
        whole_status(&membership, 3, revision, listed(&machine, Vec::new())),
    );
    assert!(ends(&mut shard, at(1400)) && left_alone(&mut shard).is_empty());
}

/// Guards against starvation, which the seeded simulation found: with more final records than the state store
/// accepts, the same few jobs waited for minutes.
#[test]
fn cancellations_are_stored_first_and_then_outcomes_by_age() {
    let (.., mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    let mut add = |id: &str| {
        let mut raw_spec = raw("batch", 1, 0.0);
        raw_spec["uid"] = json!(id);
        shard.insert_job(
            raw_spec.clone(),
            JobSpec::from_value(&raw_spec).expect("valid"),
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
    assert_eq!(next(&["wk-1"], &[], 2000).as_deref(), Some("wk-3"), "the one that has waited longest");
    assert_eq!(next(&[], &["wk-2"], 3000).as_deref(), Some("wk-2"));
    assert_eq!(next(&[], &[], 4000).as_deref(), Some("wk-1"));
    assert_eq!(next(&[], &[], 5000), None);
}

/// An outcome that was decided is final: a later cancellation does not change what the user is told.
#[test]
fn a_job_that_ends_as_done_cannot_be_cancelled() {
    let (.., mut shard, _) = shard_with_job(raw("batch", 1, 0.0));
    shard.complete_task("wk-1", 0);
    shard.collect_ends(at(1000));
    assert!(!shard.cancel("wk-1"));
    let next = shard.next_write(at(1000), true);
    assert!(matches!(next, Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}

/// Progress is written only at intervals. A job that ends or is cancelled right after such a write does not
/// wait for the next one.
#[test]
fn a_final_record_does_not_wait_for_the_progress_interval() {
    let (membership, _, mut shard, machine, desired) = started(raw("batch", 2, 0.0));
    let exited = |w: &crate::peer::DesiredTask| ObservedTask {
        key: w.key.clone(),
        phase: TaskPhase::Exited(TaskExit::Done),
    };
    let one = vec![exited(&desired.tasks[0]), running(&desired.tasks[1].key)];
    shard.apply_machine_status(
        at(1100),
        &membership,
        0,
        whole_status(&membership, 2, desired.revision, listed(&machine, one)),
    );
    let (id, write, _) = shard.next_write(at(1200), false).expect("progress is due");
    let RecordWrite::Progress(_, recorded) = write else { panic!("expected a progress write") };
    shard.confirm_progress(at(1210), &id, recorded, 9);
    let all: MachineStatusDelta = whole_status(
        &membership,
        3,
        desired.revision,
        listed(&machine, desired.tasks.iter().map(exited).collect()),
    );
    shard.apply_machine_status(at(1300), &membership, 0, all);
    assert!(matches!(shard.next_write(at(1400), true), Some((_, RecordWrite::End(JobOutcome::Done, _), _))));
}
