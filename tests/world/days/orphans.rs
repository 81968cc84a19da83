//! Jobs that follow a cancelled job, while the state store can't tell their leaders of the cancellation. That none is
//! called queued or running later than `cancel_s` after the cancellation is checked with each answer (`check_user_answer`).

use super::compound::*;
use crate::*;
use rand::seq::IndexedRandom;

const CANCEL: u64 = CANCEL_S as u64 * S;
/// How long the state store is out: longer than `cancel_s`.
const OUTAGE: u64 = CANCEL + 14 * S;
/// A job about which no question is answered for this long counts as forgotten.
const MAX_SILENCE: u64 = 75 * S;
const CANCELLED_JOBS: u32 = 6;

/// Adds a job of one task that follows another one.
pub(super) fn add_follower(w: &mut World, follows: &str) -> String {
    add_follower_of(w, &[follows])
}

/// Adds a job of one task that follows several others.
pub(super) fn add_follower_of(w: &mut World, follows: &[&str]) -> String {
    let id = format!("wk-{:06}", 500_000 + w.jobs.len());
    let body = json!({"uid": id, "breed": "follower", "herd": "t1", "gait": "batch", "rank": "normal", "strides": 1,
        "vcpus": 1.0, "cards": 0, "ramGb": 1.0, "tack": "img", "imageGb": 1.0, "together": false,
        "scatter": false, "borrowed": false, "rideS": 5.0, "restS": 0.0, "unsaddleS": 0.0, "dueS": null,
        "follows": follows});
    w.add_described_job(&body, 5 * S);
    id
}

fn assert_all_cancelled(w: &World, ids: &[String]) {
    let left: Vec<&String> = ids.iter().filter(|id| w.jobs[*id].known != KnownState::Cancelled).collect();
    assert!(left.is_empty(), "{left:?}");
}

/// Guards against followers that are called queued because their leader learns of a cancellation from the state store alone.
#[test]
fn follower_is_not_called_queued_while_the_store_refuses_its_leader_and_is_then_out() {
    let mut told_in_time = 0;
    for seed in 4700..4706 {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs: 0, ..SMALL });
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let cancelled = add_long_jobs(w, CANCELLED_JOBS, 300 * S);
            w.run(0, 40 * S);
            let followers: Vec<String> = cancelled.iter().map(|id| add_follower(w, id)).collect();
            w.run(0, 50 * S);
            // The followers of the followers, too.
            let all: Vec<String> =
                followers.iter().map(|id| add_follower(w, id)).chain(followers.clone()).collect();
            w.run(0, 65 * S);
            let refused = seed as usize % 3;
            w.refuse(refused, 4 * S);
            for id in &cancelled {
                w.cancel_job((refused + 1) % 3, id);
            }
            let outage_at = w.now + 3 * S;
            w.run(0, outage_at);
            told_in_time += cancelled.iter().filter(|id| w.jobs[*id].cancelled_at.is_some()).count();
            w.outage_until = outage_at + OUTAGE;
            w.run(0, outage_at + OUTAGE);
            for id in &cancelled {
                if w.jobs[id].cancelled_at.is_none() {
                    w.cancel_job(refused, id);
                }
            }
            w.run(0, outage_at + OUTAGE + 40 * S);
            assert_all_cancelled(w, &all);
        });
    }
    assert!(told_in_time > 6, "{told_in_time} users were told of a cancellation before the outage");
}

/// Adds jobs that run for long, jobs that follow them, and jobs that follow these. Returns the first ones, and all others by
/// the first one that they follow.
fn add_chains(w: &mut World) -> (Vec<String>, BTreeMap<String, Vec<String>>) {
    w.run(0, 20 * S);
    let first = add_long_jobs(w, CANCELLED_JOBS, 300 * S);
    w.run(0, 40 * S);
    let mut followers: BTreeMap<String, Vec<String>> =
        first.iter().map(|id| (id.clone(), vec![add_follower(w, id)])).collect();
    w.run(0, 50 * S);
    for chain in followers.values_mut() {
        let last = add_follower(w, &chain[0]);
        chain.push(last);
    }
    w.run(0, 65 * S);
    (first, followers)
}

/// Guards against followers that are called queued because the only controller that knows of a cancellation has ended: its
/// next process confirms the epoch to the others, which go on leading, and knows nothing of it.
#[test]
fn follower_is_not_called_queued_after_the_leader_of_a_cancelled_job_has_restarted_in_an_outage() {
    let mut told = 0;
    for seed in 4720..4735 {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs: 0, ..SMALL });
        w.answer_gaps.pollers = true;
        print_log_on_panic(seed, &mut w, |w| {
            let (first, followers) = add_chains(w);
            let ending = seed as usize % 3;
            let is_led = |id: &String| job_leader(w, id) == Some(ending);
            let cancelled: Vec<String> = first.into_iter().filter(is_led).collect();
            w.refuse((ending + 1 + seed as usize / 3 % 2) % 3, 2 * S);
            let until = w.now + S;
            w.run(0, until);
            for id in &cancelled {
                w.cancel_job(ending, id);
            }
            let until = w.now + S / 10;
            w.run(0, until);
            told += cancelled.iter().filter(|id| w.jobs[*id].cancelled_at.is_some()).count();
            w.crash_for(ending, 8 * S..9 * S);
            let outage_at = w.now + S;
            w.run(0, outage_at);
            w.outage_until = outage_at + OUTAGE;
            w.run(0, outage_at + OUTAGE);
            cancel_all(w, &cancelled, 30 * S);
            w.run(0, outage_at + OUTAGE + 70 * S);
            for id in cancelled {
                assert_all_cancelled(w, &followers[&id]);
            }
        });
    }
    assert!(told > 9, "{told} users were told of a cancellation before its leader ended");
}

/// Guards against followers that are refused an answer in an outage although no controller could have told of a cancellation.
#[test]
fn followers_are_answered_throughout_an_outage_in_which_no_controller_ends() {
    for seed in 4740..4744 {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs: 0, ..SMALL });
        print_log_on_panic(seed, &mut w, |w| {
            let (_, followers) = add_chains(w);
            w.outage_until = w.now + OUTAGE;
            let until = w.now + OUTAGE - 8 * S;
            w.run(0, until);
            for (number, id) in followers.into_values().flatten().enumerate() {
                let reply = w.ask(number % 3, UserRequest::Query(id.clone()));
                assert_eq!(reply.status, 200, "{id}: {reply:?}");
            }
        });
    }
}

/// Time of a question and its answer (`World::ask`).
const QUESTION: u64 = S / 10;
/// Time to notice that a controller has ended, to raise the epoch, to read the records, and until nobody can answer under the
/// older epoch.
const TAKEOVER: u64 = 2 * S;
/// Two digest periods of 0.5 s: to ask the other members for evidence, and to get their answers.
const EVIDENCE: u64 = S;

/// The time from now until questions about all these jobs are answered, each through any controller that runs.
fn time_to_answers(w: &mut World, ids: &[String]) -> u64 {
    let from = w.now;
    let mut left: Vec<&String> = ids.iter().collect();
    while !left.is_empty() {
        assert!(w.now < from + MAX_SILENCE, "{left:?}");
        let running: Vec<usize> = (0..3).filter(|controller| w.nodes[*controller].is_some()).collect();
        let controller = *running.choose(&mut w.rng).expect("a controller");
        let id = left.remove(0);
        if w.ask(controller, UserRequest::Query(id.clone())).status != 200 {
            left.push(id);
        }
    }
    w.now - from
}

/// Guards against evidence that takes longer than the takeover itself.
#[test]
fn followers_are_answered_soon_after_a_change_of_leaders() {
    for seed in 4750..4756 {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs: 0, ..SMALL });
        print_log_on_panic(seed, &mut w, |w| {
            let (_, followers) = add_chains(w);
            let followers: Vec<String> = followers.into_values().flatten().collect();
            // A controller that is back at once raises the epoch; one that is not loses its lease first.
            for (pause, lease) in [(S / 5, 0), (12 * S, (LEASE_S * 1e6) as u64 / 3 + S)] {
                w.crash_for(seed as usize % 3, pause..pause + S / 10);
                let restart_at = w.now + pause + S / 10;
                let left = time_to_answers(w, &followers);
                w.run(0, restart_at.max(w.now));
                let returned = time_to_answers(w, &followers);
                let bound = TAKEOVER + EVIDENCE + followers.len() as u64 * QUESTION;
                assert!(left <= lease + bound && returned <= bound, "seed {seed}: {left}, {returned} µs");
                let until = w.now + 15 * S;
                w.run(0, until);
            }
        });
    }
}

/// When the job that 400 others follow is cancelled.
const CANCELLED_AT: u64 = 140 * S;

/// Cancels a job that 400 others follow, and returns these.
pub(super) fn cancel_job_with_400_followers(w: &mut World) -> Vec<String> {
    w.run(0, 20 * S);
    let cancelled = add_long_jobs(w, 1, 300 * S).remove(0);
    w.run(0, 30 * S);
    let followers: Vec<String> = (0..400).map(|_| add_follower(w, &cancelled)).collect();
    w.run(0, CANCELLED_AT);
    let accepted = followers.iter().filter(|id| w.jobs[*id].known == KnownState::Accepted).count();
    assert!(accepted > 380, "{accepted}");
    w.cancel_job(0, &cancelled);
    followers
}

/// Guards against followers that are called queued because their ends wait for the budget of writes.
#[test]
fn followers_are_not_called_queued_while_their_ends_wait_to_be_written() {
    let mut w = World::new(4710, Shape { jobs: 0, ..SMALL });
    w.answer_gaps.check_no_bounds();
    let followers = cancel_job_with_400_followers(&mut w);
    // Their leaders call them queued for half of `cancel_s`, and then don't answer until their ends are on record.
    w.run(0, CANCELLED_AT + CANCEL / 2 + MAX_SILENCE);
    assert_all_cancelled(&w, &followers);
}
