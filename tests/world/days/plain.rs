//! Days of all troubles, at the small and at the grown size.

use crate::*;

#[test]
fn a_quiet_day_finishes_every_job() {
    let w = day(1, SMALL, 0, 300 * S);
    assert!(w.unfinished_jobs().is_empty(), "{:?}", w.unfinished_jobs());
    assert!(w.starts > 40);
}

#[test]
fn the_rules_hold_and_jobs_finish_whatever_fails() {
    for seed in seeds() {
        let mut w = day(seed, SMALL, 250 * S, 520 * S);
        let states = w.states();
        assert!(
            w.unfinished_jobs().is_empty(),
            "seed {seed}: {:?} {:#?} {states:#?}",
            w.unfinished_jobs(),
            w.log
        );
    }
}

/// Controllers stand still between deciding and doing while their clocks run on, for half a second up
/// to three leases of a worker, at any step, on top of all other troubles.
#[test]
fn the_rules_hold_when_controllers_stand_still_between_two_steps() {
    for seed in 500..520 {
        let mut w = World::new(seed, SMALL);
        w.pause_rate = 0.0005;
        let w = play(seed, w, 250 * S, 300 * S, 620 * S);
        assert!(w.log.iter().any(|l| l.contains("stands still")));
        assert!(w.unfinished_jobs().is_empty(), "seed {seed}: {:?} {:#?}", w.unfinished_jobs(), w.log);
    }
}

/// The state service takes it for well and its workers can't reach it: it must leave in time for them
/// to find another home within their lease, and come back once. Seen on sanaq-forms-ops.
#[test]
fn a_controller_cut_from_its_workers_alone_loses_none_of_them() {
    for (seed, hold) in (0..10).map(|seed| (seed, seed % 2 == 0)) {
        let mut w = World::new(700 + seed, Shape { machines: 24, zone_capacity: 16, ..SMALL });
        let n = seed as usize % 3;
        let (from, until) = (60 * S, 110 * S);
        run_until(&mut w, from);
        let ran_out = |w: &World| w.workers.iter().map(|w| w.incarnation - 1).sum::<u64>();
        let before = ran_out(&w);
        let epoch = w.epoch();
        w.partitions.push((Endpoint::Controller(n), Endpoint::Workers, until, hold));
        run_until(&mut w, until);
        let lost = ran_out(&w) - before;
        assert_eq!(w.epoch(), epoch + 1, "seed {seed}: one change on leaving");
        assert_eq!(lost, 0, "seed {seed}: leases that ran out");
        run_until(&mut w, until + 40 * S);
        assert_eq!(w.epoch(), epoch + 2, "seed {seed}: one on coming back");
    }
}

/// The owner of a new job stands still; whoever gets the submission takes it at once, and the owner
/// runs the job when it goes on.
#[test]
fn a_new_job_is_accepted_while_its_owner_stands_still() {
    let mut w = World::new(800, Shape { jobs: 0, ..SMALL });
    run_until(&mut w, 30 * S);
    let owner = |w: &World, id: &str| w.nodes[0].as_ref().and_then(|n| n.membership.job_leader(id));
    let mut n = 1000;
    let id = loop {
        w.add_job(n);
        let id = format!("wk-{:06}", n * 7919 % 1_000_000);
        if owner(&w, &id) == Some(1) {
            break id;
        }
        w.jobs.remove(&id);
        n += 1;
    };
    let job = w.jobs.get_mut(&id).expect("added");
    (job.next, job.always_fails) = (u64::MAX, false);
    w.paused_until[1] = w.now + 4 * S;
    w.submit_to(0, &id);
    run_until(&mut w, 31 * S);
    assert_eq!(w.jobs[&id].known, KnownState::Accepted, "within a second");
    let boots = w.boot_ids.clone();
    run_until(&mut w, 150 * S);
    assert_eq!((w.boot_ids, w.jobs[&id].done.len()), (boots, w.jobs[&id].spec.task_count as usize));
}

/// The bar that `play` holds every day to can fail: workers refuse all starts of one class, and it is named.
#[test]
fn a_day_on_which_one_class_is_starved_fails() {
    const CLASS: &str = "group-normal";
    let mut w = World::new(1, SMALL);
    w.rejected_class = Some(CLASS);
    run_until(&mut w, 300 * S);
    let named = w.underserved();
    assert!(named.iter().any(|n| n.starts_with(CLASS)), "{named:?}");
    // What waits behind it may be named too; on the same day without that nobody is.
    let mut fed = World::new(1, SMALL);
    run_until(&mut fed, 420 * S);
    assert!(fed.underserved().is_empty(), "{:?}", fed.underserved());
    assert!(
        std::panic::catch_unwind(|| {
            let mut w = World::new(1, SMALL);
            w.rejected_class = Some(CLASS);
            play(1, w, 0, 0, 300 * S)
        })
        .is_err()
    );
}

/// Few steps, since each is checked, but hundreds of machines and thousands of tasks.
#[test]
fn the_rules_hold_at_the_grown_size() {
    for seed in 300..303 {
        let w = day(seed, LARGE, 80 * S, 240 * S);
        assert!(w.starts > 1000, "seed {seed}: {} starts", w.starts);
    }
}

/// So can the bar for each class's largest jobs, while the class as a whole is served; and they begin too late.
#[test]
fn a_day_on_which_the_largest_jobs_are_starved_fails() {
    const CLASS: &str = "batch-normal";
    // The first world in which most of the class's largest jobs are that large, and less than half of all.
    let large = |w: &World| {
        let of = |j: &&UserJob| j.spec.class == CLASS && !j.cancel_asked && !j.always_fails;
        let (all, large) =
            (w.jobs.values().filter(of), w.jobs.values().filter(of).filter(|j| j.spec.task_count >= 9));
        let (all, large) = (all.count(), large.count());
        2 * large > all.div_ceil(5) && 2 * large < all
    };
    let played = |seed: u64| {
        let mut w = World::new(seed, SMALL);
        (w.rejected_class, w.rejected_min_tasks) = (Some(CLASS), 9);
        run_until(&mut w, 420 * S);
        w
    };
    let w = (1..20).map(played).find(large).expect("a world with such jobs");
    let named = w.underserved();
    assert!(named.iter().any(|n| n.starts_with("largest of batch-normal")), "{named:?}");
    assert!(!named.iter().any(|n| n.starts_with(CLASS)), "{named:?}");
    assert!(!w.started_late().is_empty());
}
