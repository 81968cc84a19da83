//! The meeting before all others: the state service refuses one controller alone, another confirms cancellations, and then
//! the state service is down for everybody for longer than `cancel_s`, while workers keep reporting to the refused one.

use super::compound::*;
use crate::*;

/// What the refused controller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Owner of the cancelled jobs.
    JobShard,
    /// Home of machines that run them, and owner of none of them.
    MachineShard,
    /// Whoever raised the epoch.
    Raiser,
    /// Whoever rents machines.
    Decider,
}
const ROLES: [Role; 4] = [Role::JobShard, Role::MachineShard, Role::Raiser, Role::Decider];

/// How the refused one and the others hear one another meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hearing {
    BothWays,
    /// The others hear nothing of it.
    Unheard,
    /// It hears nothing of the others.
    Hearsless,
    NotAtAll,
    Late(u64),
}
const HEARINGS: [Hearing; 6] = [
    Hearing::BothWays,
    Hearing::Unheard,
    Hearing::Hearsless,
    Hearing::NotAtAll,
    Hearing::Late(2 * S),
    Hearing::Late(10 * S),
];

/// Seconds from the refusal to the outage: before and after the refused one's lease at the state service (6 s) and the
/// others' next epoch.
const GAPS: [u64; 5] = [2, 4, 8, 12, 20];
const OUTAGE: u64 = 70 * S;

/// What came of one such day.
struct Outcome {
    /// Cancellations confirmed while the state service refused the one: all, with tasks alive, and of those, the ones that
    /// show the refused one in its role.
    confirmed: [usize; 3],
}

fn gap_day(seed: u64, role: Role, hearing: Hearing, gap: u64) -> Outcome {
    let mut w = World::new(seed, Shape { machines: 12, jobs: 0, zone_capacity: 12, ..SMALL });
    w.answer_gaps.pollers = true;
    let mut out = Outcome { confirmed: [0; 3] };
    guarded(seed, &mut w, |w| {
        w.log.push(format!("{role:?}, {hearing:?}, outage after {gap} s"));
        w.run(0, 15 * S);
        let mut n = seed as usize % 3;
        match role {
            Role::Decider => {
                n = w.nodes[0].as_ref().and_then(|x| x.membership.autoscaler()).expect("one rents")
            }
            // Whoever joins raises the epoch itself.
            Role::Raiser => w.crash_for(n, S / 20..S / 10),
            _ => {}
        }
        w.run(0, 20 * S);
        let ids = long_jobs(w, 14, 190 * S);
        w.run(0, 45 * S);
        let m = &w.nodes[n].as_ref().expect("it lives").membership;
        let owned: BTreeSet<&String> = ids.iter().filter(|id| m.job_leader(id) == Some(n)).collect();
        let at_home = |w: &World, id: &str| {
            let m = &w.nodes[n].as_ref().expect("it lives").membership;
            w.machines_with_live_tasks(id).any(|i| m.machine_leader(&w.workers[i].name) == Some(n))
        };
        let homed: BTreeSet<&String> = ids.iter().filter(|id| at_home(w, id)).collect();
        let cancelled: Vec<String> = ids
            .iter()
            .filter(|id| match role {
                Role::JobShard => owned.contains(id),
                Role::MachineShard => homed.contains(id) && !owned.contains(id),
                Role::Raiser | Role::Decider => true,
            })
            .cloned()
            .collect();
        w.refuse(n, gap * S + S);
        let long = gap * S + OUTAGE;
        for p in (0..3).filter(|&p| p != n) {
            match hearing {
                Hearing::BothWays => {}
                Hearing::Unheard => w.fail_one_way(n, p, long, LinkFault::Lost),
                Hearing::Hearsless => w.fail_one_way(p, n, long, LinkFault::Lost),
                Hearing::NotAtAll => {
                    w.partitions.push((Endpoint::Controller(n), Endpoint::Controller(p), w.now + long, false))
                }
                Hearing::Late(by) => {
                    w.fail_one_way(n, p, long, LinkFault::Late(by));
                    w.fail_one_way(p, n, long, LinkFault::Late(by));
                }
            }
        }
        let outage_at = w.now + gap * S;
        let mut down = false;
        let over = outage_at + OUTAGE;
        while w.now < over {
            if !down && w.now >= outage_at {
                (down, w.outage_until) = (true, over);
            }
            // Users ask any controller, and again until they are answered.
            for id in &cancelled {
                if w.jobs[id].known == KnownState::Accepted {
                    let p = w.rng.random_range(0..3);
                    w.cancel_job(p, id);
                }
            }
            let until = (w.now + S).min(if down { over } else { outage_at });
            w.run(0, until);
        }
        for id in &cancelled {
            let Some(told) = w.compound.cancel_answers.get(id) else { continue };
            if told.refused[n] && !told.outage {
                let shows = match role {
                    Role::JobShard => owned.contains(id),
                    Role::MachineShard => homed.contains(id) && !owned.contains(id),
                    Role::Raiser | Role::Decider => true,
                };
                let counts = [true, told.tasks > 0, told.tasks > 0 && shows && told.by != n];
                for (c, is) in out.confirmed.iter_mut().zip(counts) {
                    *c += usize::from(is);
                }
            }
        }
        settle(w, over + 330 * S);
    });
    ended(&mut w, seed);
    out
}

/// All outages after one refusal, in all ways of hearing one another.
fn in_all_ways(role: Role, base: u64) {
    let mut confirmed = [0; 3];
    let range = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..1 };
    let full = std::env::var("WORLD_SEEDS").is_ok();
    for seed in range {
        for (h, hearing) in HEARINGS.into_iter().enumerate() {
            for (g, gap) in GAPS.into_iter().enumerate() {
                // By default each way with two outages, and each outage with some ways.
                if !full && (g + h) % 3 != base as usize % 3 {
                    continue;
                }
                let o = gap_day(base + 1000 * seed + (5 * h + g) as u64, role, hearing, gap);
                confirmed.iter_mut().zip(o.confirmed).for_each(|(all, n)| *all += n);
            }
        }
    }
    assert!(confirmed[2] >= 4, "{role:?}: confirmed while one was refused: {confirmed:?}");
}

#[test]
fn the_owner_is_refused_then_everybody_and_its_cancelled_jobs_end_in_time() {
    in_all_ways(ROLES[0], 20_000);
}

#[test]
fn the_home_is_refused_then_everybody_and_cancelled_tasks_on_its_machines_end_in_time() {
    in_all_ways(ROLES[1], 20_101);
}

#[test]
fn who_raised_the_epoch_is_refused_then_everybody_and_cancelled_jobs_end_in_time() {
    in_all_ways(ROLES[2], 20_201);
}

#[test]
fn who_rents_is_refused_then_everybody_and_cancelled_jobs_end_in_time() {
    in_all_ways(ROLES[3], 20_302);
}

/// Users cancel at the very moment at which the one is refused; a second later nobody reaches the state service any more.
#[test]
fn jobs_are_cancelled_as_one_is_refused_and_a_second_later_all_are() {
    let mut confirmed = [0; 3];
    for (k, role) in ROLES.into_iter().enumerate() {
        for (h, hearing) in
            [Hearing::BothWays, Hearing::NotAtAll, Hearing::Late(2 * S)].into_iter().enumerate()
        {
            let o = gap_day(121_900 + (3 * k + h) as u64, role, hearing, 1);
            confirmed.iter_mut().zip(o.confirmed).for_each(|(all, n)| *all += n);
        }
    }
    assert!(confirmed[1] >= 6 && confirmed[2] >= 3, "confirmed in that second: {confirmed:?}");
}
