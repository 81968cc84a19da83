use super::*;

fn loan(id: u64, machine: &str, since_s: u64, state: LoanState) -> Loan {
    Loan {
        id,
        job: "wk-1".into(),
        lender: "vision".into(),
        from: "wk-9".into(),
        tasks: vec![(0, id)],
        gpus: 4000,
        cpus: 0,
        memory: 0,
        replicas: 1,
        hold: (4000, 0, 0),
        machine: machine.into(),
        since_us: since_s * 1_000_000,
        state,
    }
}

#[test]
fn replicas_are_reclaimed_one_by_one_and_never_below_the_guarantee() {
    let secs = |seconds: u64| seconds * 1_000_000;
    let loans = vec![
        loan(1, "a", 10, LoanState::Held),
        loan(2, "b", 20, LoanState::Held),
        loan(3, "c", 30, LoanState::Held),
    ];
    let ledger = Ledger { loans, ..Ledger::default() };
    let terms = ReclaimTerms { min_stay_us: secs(60), min_shortfall_us: secs(10) };
    let shortfall = |gpus: i64| {
        let room = ResourceVector { gpus, ..ResourceVector::default() };
        BTreeMap::from([("vision".to_owned(), Shortfall { resources: room, since_us: secs(100) })])
    };
    let one_replica = |_: &str, _: &str| ReplicasOnLoan {
        replicas: 1,
        milligpus_per_replica: 4000,
        within_guarantee: false,
    };
    let far_beyond_guarantee = Borrower { used_milligpus: 20_000, guaranteed_milligpus: 8_000 };
    let reclaim = |now, borrower, shortfalls: &BTreeMap<_, _>, ledger: &Ledger| {
        loans_to_reclaim(now, terms, ledger, borrower, shortfalls, one_replica)
    };
    assert_eq!(reclaim(secs(200), far_beyond_guarantee, &shortfall(4000), &ledger), [3]);
    assert_eq!(reclaim(secs(200), far_beyond_guarantee, &shortfall(5000), &ledger), [3, 2]);
    assert_eq!(reclaim(secs(200), far_beyond_guarantee, &shortfall(90_000), &ledger), [3, 2, 1]);
    assert_eq!(
        reclaim(
            secs(200),
            Borrower { used_milligpus: 13_000, ..far_beyond_guarantee },
            &shortfall(90_000),
            &ledger
        ),
        [3],
        "not below the guarantee"
    );
    assert!(
        reclaim(secs(105), far_beyond_guarantee, &shortfall(4000), &ledger).is_empty(),
        "the shortfall is too recent"
    );
    let long_shortfall =
        BTreeMap::from([("vision".to_owned(), Shortfall { since_us: 0, ..shortfall(9000)["vision"] })]);
    assert_eq!(
        reclaim(secs(81), far_beyond_guarantee, &long_shortfall, &ledger),
        [2, 1],
        "the third replica is within its minimum stay"
    );
    let mut returning = ledger.clone();
    returning.loans[2].state = LoanState::Returning;
    assert!(
        reclaim(secs(200), far_beyond_guarantee, &shortfall(4000), &returning).is_empty(),
        "the loan being returned covers the shortfall"
    );
    let within_guarantee = |_: &str, _: &str| ReplicasOnLoan {
        replicas: 1,
        milligpus_per_replica: 4000,
        within_guarantee: true,
    };
    assert!(
        loans_to_reclaim(secs(200), terms, &ledger, far_beyond_guarantee, &shortfall(4000), within_guarantee)
            .is_empty()
    );
}
