//! Zones that are cut off, jobs that are bound to zones, and leaders that change again and again or are all away.

use super::compound::*;
use crate::*;

const LEASE: u64 = (LEASE_S * 1e6) as u64;

fn world(seed: u64, jobs: u32) -> World {
    let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 12, jobs, ..SMALL });
    w.answer_gaps.pollers = true;
    w
}

/// One kind of job and what it says of where its tasks may be.
struct Bound {
    gait: &'static str,
    tasks: u32,
    zone: Option<&'static str>,
    together: bool,
    scatter: bool,
    kinds: Option<&'static str>,
    spot: bool,
}

const fn bound(gait: &'static str, tasks: u32) -> Bound {
    Bound { gait, tasks, zone: None, together: false, scatter: false, kinds: None, spot: false }
}

const BOUND: [Bound; 10] = [
    Bound { zone: Some("a"), ..bound("batch", 6) },
    Bound { together: true, ..bound("group", 3) },
    Bound { together: true, ..bound("batch", 5) },
    Bound { zone: Some("b"), ..bound("group", 4) },
    Bound { scatter: true, ..bound("batch", 7) },
    Bound { scatter: true, ..bound("group", 5) },
    Bound { kinds: Some("large"), spot: true, ..bound("batch", 4) },
    Bound { zone: Some("b"), together: true, ..bound("group", 2) },
    Bound { zone: Some("b"), spot: true, ..bound("batch", 3) },
    Bound { together: true, scatter: true, ..bound("batch", 4) },
];

/// Jobs that are bound to zones, types or kinds of machine, each kind in turn.
pub(super) fn bound_jobs(w: &mut World, count: usize, run: u64) -> Vec<String> {
    (0..count)
        .map(|i| {
            let b = &BOUND[(w.jobs.len() + i) % BOUND.len()];
            let id = format!("wk-{:06}", (w.jobs.len() as u64 + 1) * 7919 % 1_000_000);
            let body = json!({"uid": id, "breed": format!("{}-bound", b.gait), "herd": "t1", "gait": b.gait,
                "rank": "normal", "strides": b.tasks, "vcpus": 2.0, "cards": 0, "ramGb": 1.0, "tack": "img",
                "imageGb": 1.0, "breedsOfStall": b.kinds.map(|k| vec![k]), "paddock": b.zone,
                "together": b.together, "scatter": b.scatter, "borrowed": b.spot, "rideS": run as f64 / 1e6,
                "restS": 0.0, "unsaddleS": 0.0, "dueS": null});
            w.add_described_job(&body, run);
            id
        })
        .collect()
}

/// Machines of a zone that are there.
fn machines_of(w: &World, zone: &str) -> Vec<usize> {
    let there = |x: &Worker| x.zone == zone && !x.gone && !x.dead && w.now >= x.up_at;
    (0..w.workers.len()).filter(|&i| there(&w.workers[i])).collect()
}

fn pass(w: &mut World, from: u64, to: u64) {
    let until = w.now + w.rng.random_range(from..to);
    w.run(0, until);
}

/// Inside the zone the controller and its workers reach one another, and nothing else: the state service, the cloud and the
/// users belong to the region. Jobs with tasks inside are cancelled through the others, and new ones come.
#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    let (mut inside, mut confirmed, mut left, mut stopped) = (0, 0, 0, [0; 3]);
    for seed in seeds().take(8).map(|s| s + 25_000) {
        let mut w = world(seed, 24);
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let mut ids = long_jobs(w, 9, 120 * S);
            ids.extend(bound_jobs(w, 5, 100 * S));
            w.run(0, 45 * S);
            let zone = ZONES[seed as usize % 2];
            let long = [20, 30, 50, 80][seed as usize / 2 % 4] * S;
            let (epoch, from) = (w.epoch(), w.now);
            w.partition_zone(zone, long, seed % 4 < 2);
            // By now the others have raised the epoch.
            w.run(0, from + 9 * S);
            assert!(w.epoch() > epoch, "seed {seed}: the others go on without the controller inside");
            let holds =
                |w: &World, id: &str| w.machines_with_live_tasks(id).any(|i| w.workers[i].zone == zone);
            let its: Vec<String> = ids.iter().filter(|id| holds(w, id)).cloned().collect();
            left += its.len();
            cancel_all(w, &its[..its.len() * 2 / 3], long + 10 * S);
            let new = |t: &&CancelAnswer| t.at > from + S && t.at < from + long && t.tasks > 0;
            confirmed += w.compound.cancel_answers.values().filter(new).count();
            settle(w, 560 * S);
        });
        ended(&mut w, seed);
        inside += w.zones.inside;
        stopped.iter_mut().zip(w.zones.stopped).for_each(|(a, b)| *a += b);
    }
    assert!(inside > 25, "{inside} reports answered inside a cut zone");
    assert!(
        left > 40 && confirmed > 15,
        "{left} jobs inside, {confirmed} cancelled while tasks of theirs lived"
    );
    assert!(stopped[0] > 100 && stopped[1] > 20, "reports, requests, calls to the cloud: {stopped:?}");
}

/// Ten in two minutes: restarts, leaving, the way to the state service lost. On every other day the state service is out for
/// more than a lease in between, and the changes go on.
#[test]
fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    let (mut calm, mut within, mut confirmed) = (Vec::new(), 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_100) {
        let mut w = world(seed, 30);
        w.handoff_fault_rate = 0.2;
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = long_jobs(w, 10, 110 * S);
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
                pass(w, 0, 2 * S);
                let p = w.rng.random_range(0..3);
                w.cancel_job(p, id);
                let until = 40 * S + (i as u64 + 1) * 12 * S;
                w.run(0, until);
            }
            if seed % 2 == 0 {
                calm.push(w.epoch() - epoch);
            }
            confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
            settle(w, 560 * S);
        });
        ended(&mut w, seed);
    }
    assert!(calm.iter().all(|n| *n >= 10), "epochs raised in two minutes: {calm:?}");
    assert!(within >= 12 && confirmed > 30, "{within} changes inside an outage, {confirmed} cancellations");
}

/// Arrays and gangs that are bound to a zone, to one zone for all, to two zones, or to a type: their machines die, hang, hear
/// nobody, or are cut off with their zone, and tasks of theirs that nobody sees may still run. Owners end beside it.
#[test]
fn jobs_bound_to_zones_lose_machines() {
    let (mut bound, mut moved, mut both) = ([0; 2], 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_200) {
        let mut w = world(seed, 0);
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            bound_jobs(w, 12, 25 * S);
            w.run(0, 30 * S);
            for i in 0..6 {
                let zone = ZONES[(seed as usize + i) % 2];
                let of = machines_of(w, zone);
                let long = w.rng.random_range(10 * S..34 * S);
                let some = of.len() * 2 / 3;
                match (seed as usize + i) % 4 {
                    0 => of[..some / 2].iter().for_each(|&m| {
                        w.workers[m].dead = true;
                        w.workers[m].tasks.clear();
                    }),
                    1 => of[..some].iter().for_each(|&m| w.workers[m].unresponsive_until = w.now + long),
                    2 => w.lose_inbound_messages(&of[..some], long),
                    _ => w.partition_zone(zone, long, i % 2 == 0),
                }
                if i % 2 == 1 {
                    let n = w.rng.random_range(0..3);
                    w.crash_for(n, S / 20..S / 10);
                }
                pass(w, S, 6 * S);
                bound_jobs(w, 5, 25 * S);
                pass(w, 5 * S, 14 * S);
            }
            settle(w, 560 * S);
        });
        ended(&mut w, seed);
        bound.iter_mut().zip(w.zones.constrained_starts).for_each(|(a, b)| *a += b);
        let one = |id: &&String| w.jobs[*id].spec.one_zone && w.jobs[*id].spec.zone.is_none();
        moved += w.zones.places.iter().filter(|(id, z)| one(id) && z.len() > 1).count();
        let scattered = |id: &&String| w.jobs[*id].spec.spread && !w.jobs[*id].spec.one_zone;
        both += w.zones.places.iter().filter(|(id, z)| scattered(id) && z.len() > 1).count();
    }
    assert!(bound[0] > 800 && bound[1] > 8, "starts, and beside tasks that nobody sees: {bound:?}");
    assert!(moved > 5 && both > 20, "{moved} jobs went to the other zone, {both} were in both");
}

/// Nobody answers a worker for longer than a lease, and every task is gone. All come back at once, or one alone, or one after
/// the other; some jobs were cancelled in the seconds before.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let (mut lapsed, mut alive, mut told) = (0, 0, 0);
    for seed in seeds().take(8).map(|s| s + 25_300) {
        let mut w = world(seed, 24);
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = long_jobs(w, 12, 60 * S);
            bound_jobs(w, 5, 40 * S);
            w.run(0, 45 * S);
            ids[..5].iter().for_each(|id| w.cancel_job(seed as usize % 3, id));
            pass(w, 0, 2 * S);
            told += w.compound.cancel_answers.len();
            alive += w.workers.iter().flat_map(|x| &x.tasks).filter(|t| t.is_placed()).count();
            let sessions = |w: &World| w.workers.iter().map(|x| x.incarnation - 1).sum::<u64>();
            let before = sessions(w);
            let first = w.rng.random_range(LEASE + 4 * S..LEASE + 20 * S);
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
            lapsed += sessions(w) - before;
            if seed % 4 == 3 {
                // Whoever was back first ends again just as the next begins.
                pass(w, S / 10, S);
                w.crash_for(seed as usize % 3, S / 20..S / 10);
            }
            settle(w, 560 * S);
        });
        ended(&mut w, seed);
    }
    assert!(
        lapsed > 80 && alive > 150 && told > 10,
        "{lapsed} leases, {alive} tasks, {told} cancelled before"
    );
}
