//! Teams with more jobs than one value of the state store has space for in their quota record.

use super::compound::{job_leader, print_log_on_panic};
use crate::*;

/// More jobs than fit into two pages of a record.
const JOBS: u64 = 150;
/// Time between two submissions: four a second.
const PAUSE: u64 = S / 4;
/// Longest time that a job may wait while machines have room and its team is within its limit.
const MAX_WAIT: u64 = 90 * S;
/// Enough machines, and a limit of the team, for all jobs at once.
const ROOMY: Shape = Shape { machines: 60, zone_capacity: 60, jobs: 0, ..SMALL };

/// Adds jobs of one task and one processor each, all of a team with a guarantee and a limit.
fn add_small_jobs(w: &mut World, numbers: std::ops::Range<u64>, run: u64) -> Vec<String> {
    let begin = w.now;
    let add = |number: u64| {
        let id = format!("wk-{:06}", 100_000 + number);
        let body = json!({"uid": id, "breed": "small", "herd": "t0", "gait": "batch", "rank": "normal", "strides": 1,
            "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false,
            "scatter": false, "borrowed": false, "rideS": 10.0, "restS": 0.0, "unsaddleS": 0.0, "dueS": null});
        w.add_described_job(&body, run).next = begin + number * PAUSE;
        id
    };
    numbers.map(add).collect()
}

/// Adds an array of tasks of two processors each, of the team with a limit, that the given controller leads.
fn add_array_led_by(w: &mut World, leader: usize, tasks: u32) -> String {
    let mut numbers = 300_000 + w.jobs.len() as u64..;
    let id = numbers
        .find_map(|number| {
            let id = format!("wk-{number:06}");
            (job_leader(w, &id) == Some(leader) && !w.jobs.contains_key(&id)).then_some(id)
        })
        .expect("a job of this leader");
    let body = json!({"uid": id, "breed": "array", "herd": "t0", "gait": "batch", "rank": "normal", "strides": tasks,
        "vcpus": 2.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false,
        "scatter": false, "borrowed": false, "rideS": 600.0, "restS": 0.0, "unsaddleS": 0.0, "dueS": null});
    w.add_described_job(&body, 600 * S);
    id
}

/// The number of a job's tasks that run.
fn running(w: &World, id: &str) -> usize {
    let tasks = w.workers.iter().flat_map(|worker| &worker.tasks);
    tasks.filter(|task| task.job == id && task.state == "running").count()
}

/// Makes all running tasks of a job fail now, and later ones when they start.
fn fail_tasks(w: &mut World, id: &str) {
    w.jobs.get_mut(id).expect("a job").always_fails = true;
    let now = w.now;
    let tasks = w.workers.iter_mut().flat_map(|worker| &mut worker.tasks);
    tasks.filter(|task| task.job == id).for_each(|task| task.until = now);
}

fn run_until_true(w: &mut World, longest: u64, condition: impl Fn(&World) -> bool) {
    let end = w.now + longest;
    while !condition(w) {
        assert!(w.now < end, "not within {} s", longest / S);
        let next = w.now + S / 10;
        w.run(0, next);
    }
}

fn waiting<'a>(w: &World, ids: &'a [String]) -> Vec<&'a String> {
    ids.iter().filter(|id| w.jobs[*id].started_at.is_none()).collect()
}

/// Guards against jobs that never start because their team's quota record is as long as a value may be.
#[test]
fn every_job_within_the_limit_starts_however_many_the_team_has() {
    for seed in 4600..4603 {
        let mut w = World::new(seed, ROOMY);
        run_until(&mut w, 30 * S);
        let ids = add_small_jobs(&mut w, 0..JOBS, 600 * S);
        let last_submission = w.now + JOBS * PAUSE;
        run_until(&mut w, last_submission + MAX_WAIT);
        let waiting = waiting(&w, &ids);
        assert!(waiting.is_empty(), "seed {seed}: {} of {JOBS} wait: {waiting:?}", waiting.len());
    }
}

/// Guards against a team that is locked out for good because its quota record is longer than a limit that has fallen.
#[test]
fn team_whose_record_exceeds_a_lowered_limit_is_served_again() {
    let mut w = World::new(4610, ROOMY);
    w.limited = [true; 3];
    run_until(&mut w, 30 * S);
    // Each controller may drop the entries of its own jobs, a third: what is left must still be too long.
    let old = add_small_jobs(&mut w, 0..170, 120 * S);
    run_until(&mut w, 30 * S + 170 * PAUSE + 30 * S);
    let record = w.store.keys["team/t0"].0.to_string();
    assert!(record.len() * 2 / 3 > NEXT_LIMITS.0, "{} bytes", record.len());
    for n in 0..3 {
        w.limited[n] = false;
        w.crash(n);
    }
    w.limits_fall = w.now;
    let until = w.now + 180 * S;
    run_until(&mut w, until);
    assert!(waiting(&w, &old).is_empty());
    let new = add_small_jobs(&mut w, 200..203, 10 * S);
    let until = w.now + 203 * PAUSE + MAX_WAIT;
    run_until(&mut w, until);
    assert!(waiting(&w, &new).is_empty(), "{:?}", waiting(&w, &new));
    assert!(w.unfinished_jobs().is_empty(), "{:?}", w.unfinished_jobs());
}

/// The rules hold under all faults while records grow to several pages and shrink again, and no job is left behind.
#[test]
fn invariants_hold_when_quota_records_have_several_pages() {
    for seed in 4620..4626 {
        let mut w = World::new(seed, ROOMY);
        let mut most_pages = 0;
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            run_until(&mut w, 30 * S);
            add_small_jobs(&mut w, 0..JOBS, 60 * S);
            for id in 0..JOBS / 10 {
                let id = format!("wk-{:06}", 100_000 + id * 10);
                w.jobs.get_mut(&id).expect("added").cancel_asked = true;
            }
            for _ in 0..20 {
                let until = w.now + 10 * S;
                w.run(150 * S, until);
                most_pages = most_pages.max(w.store.keys.keys().filter(|k| k.starts_with("team/t0")).count());
            }
            let until = w.now + 200 * S;
            w.run(0, until);
        }));
        if let Err(panic) = result {
            eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
            std::panic::resume_unwind(panic);
        }
        assert!(most_pages > 1, "seed {seed}: the record had one page");
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
        let left: Vec<&String> = w.store.keys.keys().filter(|k| k.starts_with("team/t0!")).collect();
        assert!(left.is_empty(), "seed {seed}: pages without entries are left: {left:?}");
    }
}

/// Guards against starts under an allocation that was read in an earlier epoch and that the job's last leader has shrunk
/// since, while a record of several pages has yet to be read in the new epoch.
#[test]
fn new_leader_starts_nothing_under_an_allocation_of_an_earlier_epoch() {
    for seed in 4640..4643 {
        let last_leader = seed as usize % 3;
        let mut w = World::new(seed, ROOMY);
        print_log_on_panic(seed, &mut w, |w| {
            run_until(w, 30 * S);
            let failing: Vec<String> = (0..6).map(|_| add_array_led_by(w, last_leader, 10)).collect();
            run_until_true(w, 90 * S, |w| failing.iter().all(|id| running(w, id) == 10));
            let small = add_small_jobs(w, 0..JOBS, 900 * S);
            run_until_true(w, JOBS * PAUSE + 30 * S, |w| waiting(w, &small).is_empty());
            failing.iter().for_each(|id| fail_tasks(w, id));
            run_until_true(w, 10 * S, |w| failing.iter().all(|id| running(w, id) == 0));
            // It gets what the failing arrays no longer need, and the team is at its limit.
            let large = add_array_led_by(w, last_leader, 96);
            run_until_true(w, 60 * S, |w| running(w, &large) == 96);
            failing.iter().for_each(|id| w.jobs.get_mut(id).expect("a job").always_fails = false);
            w.crash_for(last_leader, 60 * S..61 * S);
            // All records are listed when the epoch begins. A later read of this one, if it has several pages, is refused.
            w.compound.refused_lists = ("team/t0", w.now + 60 * S);
            let until = w.now + 40 * S;
            w.run(0, until);
            let started = failing.iter().filter(|id| running(w, id) > 0).count();
            assert_eq!(started, failing.len(), "what the team's limit leaves is used again");
        });
    }
}
