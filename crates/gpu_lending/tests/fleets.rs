//! Randomised tests on random fleets and event sequences: no task within its team's guarantee is preempted, no preemption is
//! superfluous, gangs are preempted as a whole, every loan ends, and reclaim never takes a team below its guarantee.

use hazelsaddle_gpu_lending::ResourceVector;
use hazelsaddle_gpu_lending::ledger::{CLAIM_TIMEOUT_S, Ledger, LoanFacts, LoanState};
use hazelsaddle_gpu_lending::preemption::{Machine, ReplicaDemand, Task, can_preempt, choose_preemptions};
use hazelsaddle_gpu_lending::reclaim::{Borrower, ReclaimTerms, ReplicasOnLoan, Shortfall, loans_to_reclaim};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

fn with_gpus(gpus: i64) -> ResourceVector {
    ResourceVector { gpus: gpus * 1000, cpus: gpus * 8000, memory: gpus * 64_000 }
}

struct Fleet {
    machines: Vec<Machine>,
    tasks: Vec<Task>,
}

/// Machines of eight GPUs with tasks of job arrays and gangs of several teams.
fn random_fleet(rng: &mut StdRng) -> Fleet {
    let machine_count = rng.random_range(1..12usize);
    let mut free = vec![8i64; machine_count];
    let mut tasks = Vec::new();
    for job in 0..rng.random_range(0..14u32) {
        let gang = rng.random_bool(0.4);
        let size = [1, 1, 2, 4, 8][rng.random_range(0..5usize)];
        let (within, fixed) = (rng.random_bool(0.3), rng.random_bool(0.1));
        let rank = rng.random_range(0..4u8);
        let team = ["vision", "speech", "serve"][rng.random_range(0..3usize)];
        let lost_ms = rng.random_range(0..400_000);
        for index in 0..rng.random_range(1..6u32) {
            let machine = rng.random_range(0..machine_count);
            if free[machine] < size {
                continue;
            }
            free[machine] -= size;
            tasks.push(Task {
                job: format!("wk-{job}"),
                index,
                attempt: 5,
                team: team.into(),
                base_priority: rank,
                within_guarantee: within,
                is_gang: gang,
                machine: format!("i-{machine}"),
                resources: with_gpus(size),
                lost_work_ms: lost_ms,
                protected: fixed,
            });
        }
    }
    let machines = (0..machine_count).map(|i| Machine {
        name: format!("i-{i}"),
        zone: ["a", "b"][i % 2].into(),
        free: with_gpus(free[i]),
        has_image: rng.random_bool(0.3),
    });
    Fleet { machines: machines.collect(), tasks }
}

fn random_demand(rng: &mut StdRng) -> ReplicaDemand {
    let zones = rng.random_bool(0.3).then(|| BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]));
    ReplicaDemand {
        team: "serve".into(),
        base_priority: rng.random_range(0..4),
        within_guarantee: rng.random_bool(0.5),
        resources_per_replica: with_gpus([1, 2, 4, 8][rng.random_range(0..4usize)]),
        replicas: rng.random_range(1..6),
        zone_quota: zones,
        one_zone: rng.random_bool(0.2),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn preemptions_are_allowed_and_none_is_superfluous(seed in any::<u64>()) {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (fleet, demand) = (random_fleet(rng), random_demand(rng));
        let claims = choose_preemptions(&demand, &fleet.machines, &fleet.tasks);
        prop_assert_eq!(&claims, &choose_preemptions(&demand, &fleet.machines, &fleet.tasks));
        prop_assert!(claims.iter().map(|claim| claim.replicas).sum::<u32>() <= demand.replicas);
        let mut ledger = Ledger::default();
        for claim in &claims {
            ledger = ledger.claim(1, "wk-s", demand.replicas, claim, &[], 1 << 20).expect("no task is named twice");
            let machine = fleet.machines.iter().find(|machine| machine.name == claim.machine).expect("known");
            // Replicas that fit into free resources need no preemption.
            let on_free_resources = machine.free.max_count_of(demand.resources_per_replica);
            let available = claim.shares.iter().fold(machine.free, |sum, share| sum + share.resources);
            prop_assert!(available.max_count_of(demand.resources_per_replica) >= claim.replicas + on_free_resources, "the claimed replicas fit");
            for share in &claim.shares {
                let without = available - share.resources;
                prop_assert!(without.max_count_of(demand.resources_per_replica) < claim.replicas + on_free_resources, "the share of {} on {} is superfluous", share.job, claim.machine);
                for (index, _) in &share.tasks {
                    let task = fleet.tasks.iter().find(|task| task.job == share.job && task.index == *index).expect("known");
                    prop_assert!(can_preempt(&demand, task) && !task.within_guarantee && !task.protected && task.machine == claim.machine);
                    // A gang is preempted as a whole, so all its tasks must be preemptible.
                    let gang = fleet.tasks.iter().filter(|other| task.is_gang && other.job == task.job);
                    for other in gang {
                        prop_assert!(can_preempt(&demand, other) && !other.protected);
                        let is_on_machine = other.machine == claim.machine;
                        prop_assert!(!is_on_machine || share.tasks.contains(&(other.index, other.attempt)), "a gang is preempted as a whole");
                    }
                }
            }
        }
        let zone = |name: &str| fleet.machines.iter().find(|machine| machine.name == name).map(|machine| machine.zone.clone());
        let zones: BTreeSet<_> = claims.iter().map(|claim| zone(&claim.machine)).collect();
        prop_assert!(!demand.one_zone || zones.len() <= 1);
    }

    /// While replicas start and stop, facts are known or unknown and lenders have shortfalls or not, each loan ends; none is
    /// reclaimed that the borrower's guarantee needs, or before the minimum durations have passed.
    #[test]
    fn loans_end_and_are_reclaimed_only_when_allowed(seed in any::<u64>()) {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (fleet, demand) = (random_fleet(rng), ReplicaDemand { replicas: 5, ..random_demand(rng) });
        let (back_us, terms) = (30_000_000, ReclaimTerms { min_stay_us: 60_000_000, min_shortfall_us: 8_000_000 });
        let mut ledger = Ledger::default();
        for claim in choose_preemptions(&demand, &fleet.machines, &fleet.tasks) {
            ledger = ledger.claim(1, "wk-s", 5, &claim, &[], 1 << 20).expect("no task is named twice");
        }
        let guarantee = rng.random_range(0..6) * demand.resources_per_replica.gpus;
        let (mut now, mut fence) = (1u64, ledger.fence);
        // Machines on which a replica runs.
        let mut running: BTreeSet<String> = BTreeSet::new();
        // By loan, its state and when that began.
        let mut states: BTreeMap<u64, (LoanState, u64)> = BTreeMap::new();
        // When the borrowing job ends.
        let end = rng.random_range(0..400_000_000u64);
        for _ in 0..200 {
            now += rng.random_range(100_000..9_000_000u64);
            for loan in &ledger.loans {
                if loan.state == LoanState::Taking && rng.random_bool(0.2) {
                    running.insert(loan.machine.clone());
                }
                if loan.state == LoanState::Returning {
                    running.remove(&loan.machine);
                }
            }
            let known = rng.random_bool(0.8);
            let facts = |loan: &hazelsaddle_gpu_lending::ledger::Loan| LoanFacts {
                is_borrower_live: known.then_some(now < end),
                replicas_on_machine: known.then_some(u32::from(running.contains(&loan.machine))),
                unplaced_replicas: Some(1),
                is_machine_gone: false,
                is_preemption_refused: false,
                is_lender_short: Some(true),
            };
            let next = ledger.advance(now, back_us, facts).unwrap_or_else(|| ledger.clone());
            let used = running.len() as i64 * demand.resources_per_replica.gpus;
            let since_us = now - rng.random_range(0..20_000_000u64).min(now);
            let shortfall = Shortfall { resources: with_gpus(rng.random_range(0..20)), since_us };
            let shortfalls: BTreeMap<String, Shortfall> = [("vision".to_owned(), shortfall)].into();
            let one_replica = |_: &str, _: &str| ReplicasOnLoan { replicas: 1, milligpus_per_replica: demand.resources_per_replica.gpus, within_guarantee: false };
            let ids = loans_to_reclaim(now, terms, &next, Borrower { used_milligpus: used, guaranteed_milligpus: guarantee }, &shortfalls, one_replica);
            let reclaimed: BTreeSet<&String> = next.loans.iter().filter(|loan| ids.contains(&loan.id)).map(|loan| &loan.machine).collect();
            prop_assert!(reclaimed.is_empty() || used - reclaimed.len() as i64 * demand.resources_per_replica.gpus >= guarantee);
            for loan in next.loans.iter().filter(|loan| ids.contains(&loan.id)) {
                prop_assert!(loan.state == LoanState::Held && now - loan.since_us >= terms.min_stay_us);
                prop_assert!(now - shortfall.since_us >= terms.min_shortfall_us);
            }
            ledger = next.begin_return(now, &ids).unwrap_or(next);
            prop_assert!(ledger.fence >= fence);
            fence = ledger.fence;
            for loan in &ledger.loans {
                let (previous, since) = states.get(&loan.id).copied().unwrap_or((loan.state, now));
                prop_assert!(loan.state >= previous, "the state moved backwards");
                let since = if loan.state == previous { since } else { now };
                states.insert(loan.id, (loan.state, since));
                // 9 s is the longest step of the simulated clock.
                let max_duration_us = match loan.state {
                    LoanState::Taking => CLAIM_TIMEOUT_S * 1_000_000 + 9_000_000,
                    LoanState::Held => u64::MAX,
                    LoanState::Returning => back_us + 9_000_000,
                };
                prop_assert!(now - since <= max_duration_us, "{loan:?} lasts too long");
            }
        }
        for _ in 0..3 {
            now += 500_000_000;
            let job_ended = |_: &hazelsaddle_gpu_lending::ledger::Loan| LoanFacts { is_borrower_live: Some(false), ..LoanFacts::default() };
            ledger = ledger.advance(now, back_us, job_ended).unwrap_or(ledger);
        }
        prop_assert!(ledger.loans.is_empty());
    }
}
