//! Partitioned zones, jobs with zone constraints, and leaders that change repeatedly or are all down.

use super::compound::*;
use crate::*;

const LEASE_US: u64 = (LEASE_S * 1e6) as u64;

fn world(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

/// One kind of job and its placement constraints.
struct JobKind {
    kind: &'static str,
    tasks: u32,
    zone: Option<&'static str>,
    together: bool,
    scatter: bool,
    machine_type: Option<&'static str>,
    spot: bool,
}

const fn job_kind(kind: &'static str, tasks: u32) -> JobKind {
    JobKind { kind, tasks, zone: None, together: false, scatter: false, machine_type: None, spot: false }
}

const JOB_KINDS: [JobKind; 10] = [
    JobKind { zone: Some("a"), ..job_kind("batch", 6) },
    JobKind { together: true, ..job_kind("group", 3) },
    JobKind { together: true, ..job_kind("batch", 5) },
    JobKind { zone: Some("b"), ..job_kind("group", 4) },
    JobKind { scatter: true, ..job_kind("batch", 7) },
    JobKind { scatter: true, ..job_kind("group", 5) },
    JobKind { machine_type: Some("large"), spot: true, ..job_kind("batch", 4) },
    JobKind { zone: Some("b"), together: true, ..job_kind("group", 2) },
    JobKind { zone: Some("b"), spot: true, ..job_kind("batch", 3) },
    JobKind { together: true, scatter: true, ..job_kind("batch", 4) },
];

/// Adds jobs that are constrained to zones, machine types or spot machines, each kind in turn.
pub(super) fn add_constrained_jobs(w: &mut World, count: usize, run: u64) -> Vec<String> {
    (0..count)
        .map(|i| {
            let job = &JOB_KINDS[(w.jobs.len() + i) % JOB_KINDS.len()];
            let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
            let body = json!({"uid": id, "breed": format!("{}-bound", job.kind), "herd": "t1", "gait": job.kind,
                "rank": "normal", "strides": job.tasks, "vcpus": 2.0, "cards": 0, "ramGb": 1.0, "tack": "img",
                "imageGb": 1.0, "breedsOfStall": job.machine_type.map(|k| vec![k]), "paddock": job.zone,
                "together": job.together, "scatter": job.scatter, "borrowed": job.spot, "rideS": run as f64 / 1e6,
                "restS": 0.0, "unsaddleS": 0.0, "dueS": null});
            w.add_described_job(&body, run);
            id
        })
        .collect()
}

/// The running machines of a zone.
fn machines_of(w: &World, zone: &str) -> Vec<usize> {
    let is_running = |x: &Worker| x.zone == zone && !x.gone && !x.dead && w.now >= x.up_at;
    (0..w.workers.len()).filter(|&i| is_running(&w.workers[i])).collect()
}

fn run_for_random_time(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

/// Inside the zone the controller and its workers reach one another and nothing else: the state store, the cloud and the users
/// are outside. Jobs with tasks inside are cancelled through the other controllers, and new jobs are submitted.
#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned_for_longer_than_a_lease() {
    let (mut inside, mut confirmed, mut left, mut stopped) = (0, 0, 0, [0; 3]);
    for seed in seeds().take(8).map(|s| s + 25_000) {
        let mut w = world(seed, 24);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let mut ids = add_long_jobs(w, 9, 120 * S);
            ids.extend(add_constrained_jobs(w, 5, 100 * S));
            w.run(0, 45 * S);
            let zone = ZONES[seed as usize % 2];
            let duration = [20, 30, 50, 80][seed as usize / 2 % 4] * S;
            let (epoch, from) = (w.epoch(), w.now);
            w.partition_zone(zone, duration, seed % 4 < 2);
            // The other controllers have raised the epoch by now.
            w.run(0, from + 9 * S);
            assert!(w.epoch() > epoch, "seed {seed}: the others proceed without the controller inside");
            let has_task_inside =
                |w: &World, id: &str| w.machines_with_live_tasks(id).any(|i| w.workers[i].zone == zone);
            let jobs_inside: Vec<String> = ids.iter().filter(|id| has_task_inside(w, id)).cloned().collect();
            left += jobs_inside.len();
            cancel_all(w, &jobs_inside[..jobs_inside.len() * 2 / 3], duration + 10 * S);
            let is_during_partition =
                |t: &&CancelAnswer| t.at > from + S && t.at < from + duration && t.tasks > 0;
            confirmed += w.compound.cancel_answers.values().filter(is_during_partition).count();
            run_until_finished(w, 560 * S);
        });
        assert_all_finished(&mut w, seed);
        inside += w.zones.inside;
        stopped.iter_mut().zip(w.zones.stopped).for_each(|(a, b)| *a += b);
    }
    assert!(inside > 25, "{inside} reports answered inside a partitioned zone");
    assert!(
        left > 40 && confirmed > 15,
        "{left} jobs inside, {confirmed} cancelled while they had live tasks"
    );
    assert!(stopped[0] > 100 && stopped[1] > 20, "reports, requests, calls to the cloud: {stopped:?}");
}

/// Ten changes in two minutes by restarts, shutdowns and loss of the connection to the state store. In every other run the
/// state store is down for more than a lease in between, while the changes continue.
#[test]
fn leaders_change_ten_times_in_two_minutes_also_during_an_outage() {
    let (mut calm, mut within, mut confirmed) = (Vec::new(), 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_100) {
        let mut w = world(seed, 30);
        w.handoff_fault_rate = 0.2;
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 10, 110 * S);
            w.run(0, 40 * S);
            let epoch = w.epoch();
            for (i, id) in ids.iter().enumerate() {
                if seed % 2 == 1 && i == 3 {
                    w.outage_until = w.now + w.rng.random_range(24 * S..50 * S);
                }
                within += usize::from(w.now < w.outage_until);
                let n = (seed as usize + i) % 3;
                match (seed as usize / 2 + i) % 4 {
                    0 => w.crash_for(n, S / 20..S / 10),
                    1 => w.inject_fault(Fault::Leave, n, 0),
                    2 => w.crash_for(n, 7 * S..9 * S),
                    _ => w.partitions.push((
                        Endpoint::Controller(n),
                        Endpoint::Store,
                        w.now + 9 * S,
                        i % 2 == 0,
                    )),
                }
                run_for_random_time(w, 0, 2 * S);
                let p = w.rng.random_range(0..3);
                w.cancel_job(p, id);
                let until = 40 * S + (i as u64 + 1) * 12 * S;
                w.run(0, until);
            }
            if seed % 2 == 0 {
                calm.push(w.epoch() - epoch);
            }
            confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
            run_until_finished(w, 560 * S);
        });
        assert_all_finished(&mut w, seed);
    }
    assert!(calm.iter().all(|n| *n >= 10), "epochs raised in two minutes: {calm:?}");
    assert!(within >= 12 && confirmed > 30, "{within} changes inside an outage, {confirmed} cancellations");
}

/// Arrays and gangs are constrained to a given zone, to a single zone, to two zones or to a machine type. Their machines die,
/// hang, receive no answers or are partitioned with their zone, so that tasks that no controller sees may still run. Job
/// leaders crash meanwhile.
#[test]
fn jobs_with_zone_constraints_lose_machines() {
    let (mut bound, mut moved, mut both) = ([0; 2], 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_200) {
        let mut w = world(seed, 0);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            add_constrained_jobs(w, 12, 25 * S);
            w.run(0, 30 * S);
            for i in 0..6 {
                let zone = ZONES[(seed as usize + i) % 2];
                let machines = machines_of(w, zone);
                let duration = w.rng.random_range(10 * S..34 * S);
                let affected = machines.len() * 2 / 3;
                match (seed as usize + i) % 4 {
                    0 => machines[..affected / 2].iter().for_each(|&m| {
                        w.workers[m].dead = true;
                        w.workers[m].tasks.clear();
                    }),
                    1 => machines[..affected]
                        .iter()
                        .for_each(|&m| w.workers[m].unresponsive_until = w.now + duration),
                    2 => w.lose_inbound_messages(&machines[..affected], duration),
                    _ => w.partition_zone(zone, duration, i % 2 == 0),
                }
                if i % 2 == 1 {
                    let n = w.rng.random_range(0..3);
                    w.crash_for(n, S / 20..S / 10);
                }
                run_for_random_time(w, S, 6 * S);
                add_constrained_jobs(w, 5, 25 * S);
                run_for_random_time(w, 5 * S, 14 * S);
            }
            run_until_finished(w, 560 * S);
        });
        assert_all_finished(&mut w, seed);
        bound.iter_mut().zip(w.zones.constrained_starts).for_each(|(a, b)| *a += b);
        let is_single_zone = |id: &&String| w.jobs[*id].spec.one_zone && w.jobs[*id].spec.zone.is_none();
        moved += w.zones.places.iter().filter(|(id, z)| is_single_zone(id) && z.len() > 1).count();
        let is_scattered = |id: &&String| w.jobs[*id].spec.spread && !w.jobs[*id].spec.one_zone;
        both += w.zones.places.iter().filter(|(id, z)| is_scattered(id) && z.len() > 1).count();
    }
    assert!(
        bound[0] > 800 && bound[1] > 8,
        "starts, and starts beside tasks that no controller sees: {bound:?}"
    );
    assert!(moved > 5 && both > 20, "{moved} jobs moved to the other zone, {both} were in both");
}

/// No controller answers a worker for longer than a lease, and every task is killed. The controllers restart together, one
/// first, or one after the other; some jobs were cancelled in the seconds before.
#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    let (mut expired, mut alive, mut confirmed) = (0, 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_300) {
        let mut w = world(seed, 24);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 12, 60 * S);
            add_constrained_jobs(w, 5, 40 * S);
            w.run(0, 45 * S);
            ids[..5].iter().for_each(|id| w.cancel_job(seed as usize % 3, id));
            run_for_random_time(w, 0, 2 * S);
            confirmed += w.compound.cancel_answers.len();
            alive += w.workers.iter().flat_map(|x| &x.tasks).filter(|t| t.is_placed()).count();
            let sessions = |w: &World| w.workers.iter().map(|x| x.incarnation - 1).sum::<u64>();
            let before = sessions(w);
            let first = w.rng.random_range(LEASE_US + 4 * S..LEASE_US + 20 * S);
            for i in 0..3 {
                let n = (seed as usize + i) % 3;
                let more = match seed % 4 {
                    0 => 0,
                    1 => i.min(1) as u64 * 30 * S,
                    2 => i as u64 * 7 * S,
                    _ => i as u64 * S / 5,
                };
                w.crash_for(n, first + more..first + more + S / 10);
            }
            let until = w.now + first;
            w.run(0, until);
            expired += sessions(w) - before;
            if seed % 4 == 3 {
                // The controller that restarted first crashes again just as the next one starts.
                run_for_random_time(w, S / 10, S);
                w.crash_for(seed as usize % 3, S / 20..S / 10);
            }
            run_until_finished(w, 560 * S);
        });
        assert_all_finished(&mut w, seed);
    }
    assert!(
        expired > 80 && alive > 150 && confirmed > 10,
        "{expired} leases, {alive} tasks, {confirmed} cancelled before"
    );
}
