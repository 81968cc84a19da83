//! Random fleets and sequences: nothing within a guarantee is stopped, nothing is taken in vain, gangs go whole, no loan stays
//! for ever, and giving back never takes a team below its guarantee.

use hazelsaddle_gpu_lending::ResourceVector;
use hazelsaddle_gpu_lending::ledger::{Ledger, LoanFacts, LoanState, TAKING_S};
use hazelsaddle_gpu_lending::preemption::{Machine, ReplicaDemand, Task, choose_preemptions, may_preempt};
use hazelsaddle_gpu_lending::reclaim::{Borrower, ReclaimTerms, ReplicasOnLoan, Shortfall, loans_to_reclaim};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

fn gpus(n: i64) -> ResourceVector {
    ResourceVector { gpus: n * 1000, cpus: n * 8000, memory: n * 64_000 }
}

struct Fleet {
    machines: Vec<Machine>,
    tasks: Vec<Task>,
}

/// Machines of eight GPUs, filled by arrays and gangs of several teams.
fn fleet(rng: &mut StdRng) -> Fleet {
    let n = rng.random_range(1..12usize);
    let mut free = vec![8i64; n];
    let mut tasks = Vec::new();
    for job in 0..rng.random_range(0..14u32) {
        let gang = rng.random_bool(0.4);
        let size = [1, 1, 2, 4, 8][rng.random_range(0..5usize)];
        let (within, fixed) = (rng.random_bool(0.3), rng.random_bool(0.1));
        let rank = rng.random_range(0..4u8);
        let team = ["vision", "speech", "serve"][rng.random_range(0..3usize)];
        let lost_ms = rng.random_range(0..400_000);
        for index in 0..rng.random_range(1..6u32) {
            let at = rng.random_range(0..n);
            if free[at] < size {
                continue;
            }
            free[at] -= size;
            tasks.push(Task {
                job: format!("wk-{job}"),
                index,
                attempt: 5,
                team: team.into(),
                base_priority: rank,
                within_guarantee: within,
                is_gang: gang,
                machine: format!("i-{at}"),
                resources: gpus(size),
                lost_work_ms: lost_ms,
                protected: fixed,
            });
        }
    }
    let machines = (0..n).map(|i| Machine {
        name: format!("i-{i}"),
        zone: ["a", "b"][i % 2].into(),
        free: gpus(free[i]),
        has_image: rng.random_bool(0.3),
    });
    Fleet { machines: machines.collect(), tasks }
}

fn need(rng: &mut StdRng) -> ReplicaDemand {
    let zones = rng.random_bool(0.3).then(|| BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]));
    ReplicaDemand {
        team: "serve".into(),
        base_priority: rng.random_range(0..4),
        within_guarantee: rng.random_bool(0.5),
        resources_per_replica: gpus([1, 2, 4, 8][rng.random_range(0..4usize)]),
        replicas: rng.random_range(1..6),
        zone_quota: zones,
        one_zone: rng.random_bool(0.2),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_taken_may_be_and_nothing_in_vain(seed in any::<u64>()) {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (f, need) = (fleet(rng), need(rng));
        let claims = choose_preemptions(&need, &f.machines, &f.tasks);
        prop_assert_eq!(&claims, &choose_preemptions(&need, &f.machines, &f.tasks));
        prop_assert!(claims.iter().map(|c| c.replicas).sum::<u32>() <= need.replicas);
        let mut ledger = Ledger::default();
        for c in &claims {
            ledger = ledger.claim(1, "wk-s", need.replicas, c, &[], 1 << 20).expect("nothing is named twice");
            let m = f.machines.iter().find(|m| m.name == c.machine).expect("known");
            // Free room serves first, and nothing is stopped for that.
            let for_nothing = m.free.count_of(need.resources_per_replica);
            let given = c.parts.iter().fold(m.free, |a, p| a + p.room);
            prop_assert!(given.count_of(need.resources_per_replica) >= c.replicas + for_nothing, "it holds what it is for");
            for p in &c.parts {
                let left = given - p.room;
                prop_assert!(left.count_of(need.resources_per_replica) < c.replicas + for_nothing, "{} gives in vain on {}", p.from, c.machine);
                for (index, _) in &p.tasks {
                    let t = f.tasks.iter().find(|t| t.job == p.from && t.index == *index).expect("known");
                    prop_assert!(may_preempt(&need, t) && !t.within_guarantee && !t.protected && t.machine == c.machine);
                    // All of a gang goes if one of it does, so all of it must be free to go.
                    let whole = f.tasks.iter().filter(|o| t.is_gang && o.job == t.job);
                    for o in whole {
                        prop_assert!(may_preempt(&need, o) && !o.protected);
                        let here = o.machine == c.machine;
                        prop_assert!(!here || p.tasks.contains(&(o.index, o.attempt)), "a gang goes whole");
                    }
                }
            }
        }
        let zone = |c: &str| f.machines.iter().find(|m| m.name == c).map(|m| m.zone.clone());
        let at: BTreeSet<_> = claims.iter().map(|c| zone(&c.machine)).collect();
        prop_assert!(!need.one_zone || at.len() <= 1);
    }

    /// The borrower comes, goes, crashes, is short and isn't; time goes on. Each loan ends, and none is given back
    /// that the borrower's guarantee needs, or so early or so late that room swings.
    #[test]
    fn no_loan_is_for_ever_and_none_swings(seed in any::<u64>()) {
        let rng = &mut StdRng::seed_from_u64(seed);
        let (f, need) = (fleet(rng), ReplicaDemand { replicas: 5, ..need(rng) });
        let (back_us, terms) = (30_000_000, ReclaimTerms { min_stay_us: 60_000_000, min_shortfall_us: 8_000_000 });
        let mut ledger = Ledger::default();
        for c in choose_preemptions(&need, &f.machines, &f.tasks) {
            ledger = ledger.claim(1, "wk-s", 5, &c, &[], 1 << 20).expect("free");
        }
        let guarantee = rng.random_range(0..6) * need.resources_per_replica.gpus;
        let (mut now, mut fence) = (1u64, ledger.fence);
        let mut held: BTreeSet<String> = BTreeSet::new();
        let mut states: BTreeMap<u64, (LoanState, u64)> = BTreeMap::new();
        let end = rng.random_range(0..400_000_000u64);
        for _ in 0..200 {
            now += rng.random_range(100_000..9_000_000u64);
            for l in &ledger.loans {
                if l.state == LoanState::Taking && rng.random_bool(0.2) {
                    held.insert(l.machine.clone());
                }
                if l.state == LoanState::Returning {
                    held.remove(&l.machine);
                }
            }
            let known = rng.random_bool(0.8);
            let facts = |l: &hazelsaddle_gpu_lending::ledger::Loan| LoanFacts {
                is_borrower_live: known.then_some(now < end),
                replicas_on_machine: known.then_some(u32::from(held.contains(&l.machine))),
                unplaced_replicas: Some(1),
                is_machine_gone: false,
                is_preemption_refused: false,
                is_lender_short: Some(true),
            };
            let next = ledger.advance(now, back_us, facts).unwrap_or_else(|| ledger.clone());
            let used = held.len() as i64 * need.resources_per_replica.gpus;
            let since_us = now - rng.random_range(0..20_000_000u64).min(now);
            let lack = Shortfall { resources: gpus(rng.random_range(0..20)), since_us };
            let lacks: BTreeMap<String, Shortfall> = [("vision".to_owned(), lack)].into();
            let stands = |_: &str, _: &str| ReplicasOnLoan { replicas: 1, milligpus_per_replica: need.resources_per_replica.gpus, within_guarantee: false };
            let ids = loans_to_reclaim(now, terms, &next, Borrower { used_milligpus: used, guaranteed_milligpus: guarantee }, &lacks, stands);
            let gone: BTreeSet<&String> = next.loans.iter().filter(|l| ids.contains(&l.id)).map(|l| &l.machine).collect();
            prop_assert!(gone.is_empty() || used - gone.len() as i64 * need.resources_per_replica.gpus >= guarantee);
            for l in next.loans.iter().filter(|l| ids.contains(&l.id)) {
                prop_assert!(l.state == LoanState::Held && now - l.since_us >= terms.min_stay_us);
                prop_assert!(now - lack.since_us >= terms.min_shortfall_us);
            }
            ledger = next.begin_return(now, &ids).unwrap_or(next);
            prop_assert!(ledger.fence >= fence);
            fence = ledger.fence;
            for l in &ledger.loans {
                let (was, since) = states.get(&l.id).copied().unwrap_or((l.state, now));
                prop_assert!(l.state >= was, "it went back");
                let since = if l.state == was { since } else { now };
                states.insert(l.id, (l.state, since));
                let bound = match l.state {
                    LoanState::Taking => TAKING_S * 1_000_000 + 9_000_000,
                    LoanState::Held => u64::MAX,
                    LoanState::Returning => back_us + 9_000_000,
                };
                prop_assert!(now - since <= bound, "{l:?} lasts");
            }
        }
        for _ in 0..3 {
            now += 500_000_000;
            let over = |_: &hazelsaddle_gpu_lending::ledger::Loan| LoanFacts { is_borrower_live: Some(false), ..LoanFacts::default() };
            ledger = ledger.advance(now, back_us, over).unwrap_or(ledger);
        }
        prop_assert!(ledger.loans.is_empty());
    }
}
