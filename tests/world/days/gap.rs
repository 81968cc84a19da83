//! The state store first refuses one controller only, while another one confirms cancellations. Then the state store is down
//! for all controllers for longer than `cancel_s`, while workers keep reporting to the refused controller.

use super::compound::*;
use crate::*;

/// Role of the refused controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// Leader of the cancelled jobs.
    JobLeader,
    /// Leader of machines that run the cancelled jobs, and leader of none of these jobs.
    MachineLeader,
    /// The controller that raised the epoch.
    EpochRaiser,
    /// The controller that rents machines.
    Autoscaler,
}
const ROLES: [Role; 4] = [Role::JobLeader, Role::MachineLeader, Role::EpochRaiser, Role::Autoscaler];

/// State of the network between the refused controller and the others meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerNetwork {
    Connected,
    /// Messages of the refused controller to the others are lost.
    OutboundLost,
    /// Messages of the others to the refused controller are lost.
    InboundLost,
    Partitioned,
    /// Messages both ways are delayed by this many microseconds.
    Delayed(u64),
}
const PEER_NETWORKS: [PeerNetwork; 6] = [
    PeerNetwork::Connected,
    PeerNetwork::OutboundLost,
    PeerNetwork::InboundLost,
    PeerNetwork::Partitioned,
    PeerNetwork::Delayed(2 * S),
    PeerNetwork::Delayed(10 * S),
];

/// Seconds from the refusal to the outage. They lie before and after the expiry of the refused controller's lease at the state
/// store (6 s) and the next epoch of the others.
const GAPS_S: [u64; 5] = [2, 4, 8, 12, 20];
const OUTAGE_US: u64 = 70 * S;

/// Counts of one run.
struct Outcome {
    /// Cancellations that were confirmed while the state store refused one controller: all; those of jobs with live tasks; and
    /// of the latter, those that another controller confirmed and that exercise the role of the refused one.
    confirmed: [usize; 3],
}

fn play_gap(seed: u64, role: Role, peer_network: PeerNetwork, gap: u64) -> Outcome {
    let mut w = World::new(seed, Shape { machines: 12, jobs: 0, zone_capacity: 12, ..SMALL });
    w.answer_gaps.pollers = true;
    let mut out = Outcome { confirmed: [0; 3] };
    print_log_on_panic(seed, &mut w, |w| {
        w.log.push(format!("{role:?}, {peer_network:?}, outage after {gap} s"));
        w.run(0, 15 * S);
        let mut n = seed as usize % 3;
        match role {
            Role::Autoscaler => {
                n = w.nodes[0].as_ref().and_then(|x| x.membership.autoscaler()).expect("an autoscaler")
            }
            // A controller that joins raises the epoch itself.
            Role::EpochRaiser => w.crash_for(n, S / 20..S / 10),
            _ => {}
        }
        w.run(0, 20 * S);
        let ids = add_long_jobs(w, 14, 190 * S);
        w.run(0, 45 * S);
        let membership = &w.nodes[n].as_ref().expect("the controller runs").membership;
        let led: BTreeSet<&String> = ids.iter().filter(|id| membership.job_leader(id) == Some(n)).collect();
        let leads_machine_of = |w: &World, id: &str| {
            let membership = &w.nodes[n].as_ref().expect("the controller runs").membership;
            w.machines_with_live_tasks(id).any(|i| membership.machine_leader(&w.workers[i].name) == Some(n))
        };
        let on_led_machines: BTreeSet<&String> = ids.iter().filter(|id| leads_machine_of(w, id)).collect();
        let cancelled: Vec<String> = ids
            .iter()
            .filter(|id| match role {
                Role::JobLeader => led.contains(id),
                Role::MachineLeader => on_led_machines.contains(id) && !led.contains(id),
                Role::EpochRaiser | Role::Autoscaler => true,
            })
            .cloned()
            .collect();
        w.refuse(n, gap * S + S);
        let fault_duration = gap * S + OUTAGE_US;
        for p in (0..3).filter(|&p| p != n) {
            match peer_network {
                PeerNetwork::Connected => {}
                PeerNetwork::OutboundLost => w.fail_one_way(n, p, fault_duration, LinkFault::Lost),
                PeerNetwork::InboundLost => w.fail_one_way(p, n, fault_duration, LinkFault::Lost),
                PeerNetwork::Partitioned => w.partitions.push((
                    Endpoint::Controller(n),
                    Endpoint::Controller(p),
                    w.now + fault_duration,
                    false,
                )),
                PeerNetwork::Delayed(by) => {
                    w.fail_one_way(n, p, fault_duration, LinkFault::Late(by));
                    w.fail_one_way(p, n, fault_duration, LinkFault::Late(by));
                }
            }
        }
        let outage_at = w.now + gap * S;
        let mut is_down = false;
        let outage_ends_at = outage_at + OUTAGE_US;
        while w.now < outage_ends_at {
            if !is_down && w.now >= outage_at {
                (is_down, w.outage_until) = (true, outage_ends_at);
            }
            // Users ask any controller and retry until they are answered.
            for id in &cancelled {
                if w.jobs[id].known == KnownState::Accepted {
                    let p = w.rng.random_range(0..3);
                    w.cancel_job(p, id);
                }
            }
            let until = (w.now + S).min(if is_down { outage_ends_at } else { outage_at });
            w.run(0, until);
        }
        for id in &cancelled {
            let Some(confirmation) = w.compound.cancel_answers.get(id) else { continue };
            if confirmation.refused[n] && !confirmation.outage {
                let is_in_role = match role {
                    Role::JobLeader => led.contains(id),
                    Role::MachineLeader => on_led_machines.contains(id) && !led.contains(id),
                    Role::EpochRaiser | Role::Autoscaler => true,
                };
                let counts = [
                    true,
                    confirmation.tasks > 0,
                    confirmation.tasks > 0 && is_in_role && confirmation.by != n,
                ];
                for (count, counted) in out.confirmed.iter_mut().zip(counts) {
                    *count += usize::from(counted);
                }
            }
        }
        run_until_finished(w, outage_ends_at + 330 * S);
    });
    assert_all_finished(&mut w, seed);
    out
}

/// Plays every delay of the outage with every state of the network.
fn play_all_gaps(role: Role, base: u64) {
    let mut confirmed = [0; 3];
    let range = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..1 };
    let full = std::env::var("WORLD_SEEDS").is_ok();
    for seed in range {
        for (h, peer_network) in PEER_NETWORKS.into_iter().enumerate() {
            for (g, gap) in GAPS_S.into_iter().enumerate() {
                // By default each state of the network is played with one or two delays, and each delay with some states.
                if !full && (g + h) % 3 != base as usize % 3 {
                    continue;
                }
                let outcome = play_gap(base + 1000 * seed + (5 * h + g) as u64, role, peer_network, gap);
                confirmed.iter_mut().zip(outcome.confirmed).for_each(|(all, n)| *all += n);
            }
        }
    }
    assert!(confirmed[2] >= 4, "{role:?}: confirmed while one controller was refused: {confirmed:?}");
}

#[test]
fn cancelled_jobs_end_in_time_when_their_leader_is_refused_before_an_outage() {
    play_all_gaps(ROLES[0], 20_000);
}

#[test]
fn cancelled_tasks_end_in_time_when_their_machine_leader_is_refused_before_an_outage() {
    play_all_gaps(ROLES[1], 20_101);
}

#[test]
fn cancelled_jobs_end_in_time_when_the_epoch_raiser_is_refused_before_an_outage() {
    play_all_gaps(ROLES[2], 20_201);
}

#[test]
fn cancelled_jobs_end_in_time_when_the_autoscaler_is_refused_before_an_outage() {
    play_all_gaps(ROLES[3], 20_302);
}

/// Users cancel at the moment at which one controller is refused. A second later the state store is down for all controllers.
#[test]
fn jobs_cancelled_as_one_controller_is_refused_end_in_time_when_an_outage_follows_a_second_later() {
    let mut confirmed = [0; 3];
    for (k, role) in ROLES.into_iter().enumerate() {
        for (h, peer_network) in
            [PeerNetwork::Connected, PeerNetwork::Partitioned, PeerNetwork::Delayed(2 * S)]
                .into_iter()
                .enumerate()
        {
            let outcome = play_gap(121_900 + (3 * k + h) as u64, role, peer_network, 1);
            confirmed.iter_mut().zip(outcome.confirmed).for_each(|(all, n)| *all += n);
        }
    }
    assert!(confirmed[1] >= 6 && confirmed[2] >= 3, "confirmed within that second: {confirmed:?}");
}
