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
fn replica_by_replica_and_never_below_the_guarantee() {
    let s = |n: u64| n * 1_000_000;
    let loans = vec![
        loan(1, "a", 10, LoanState::Held),
        loan(2, "b", 20, LoanState::Held),
        loan(3, "c", 30, LoanState::Held),
    ];
    let ledger = Ledger { loans, ..Ledger::default() };
    let terms = ReclaimTerms { min_stay_us: s(60), min_shortfall_us: s(10) };
    let lack = |gpus: i64| {
        let room = ResourceVector { gpus, ..ResourceVector::default() };
        BTreeMap::from([("vision".to_owned(), Shortfall { resources: room, since_us: s(100) })])
    };
    let stands = |_: &str, _: &str| ReplicasOnLoan {
        replicas: 1,
        milligpus_per_replica: 4000,
        within_guarantee: false,
    };
    let much = Borrower { used_milligpus: 20_000, guaranteed_milligpus: 8_000 };
    let back = |now, b, lacks: &BTreeMap<_, _>, l: &Ledger| loans_to_reclaim(now, terms, l, b, lacks, stands);
    assert_eq!(back(s(200), much, &lack(4000), &ledger), [3]);
    assert_eq!(back(s(200), much, &lack(5000), &ledger), [3, 2]);
    assert_eq!(back(s(200), much, &lack(90_000), &ledger), [3, 2, 1]);
    assert_eq!(
        back(s(200), Borrower { used_milligpus: 13_000, ..much }, &lack(90_000), &ledger),
        [3],
        "not below the guarantee"
    );
    assert!(back(s(105), much, &lack(4000), &ledger).is_empty(), "a short burst is waited out");
    let late = BTreeMap::from([("vision".to_owned(), Shortfall { since_us: 0, ..lack(9000)["vision"] })]);
    assert_eq!(back(s(81), much, &late, &ledger), [2, 1], "the third came a short time ago");
    let mut coming = ledger.clone();
    coming.loans[2].state = LoanState::Returning;
    assert!(back(s(200), much, &lack(4000), &coming).is_empty(), "it is on its way");
    let within = |_: &str, _: &str| ReplicasOnLoan {
        replicas: 1,
        milligpus_per_replica: 4000,
        within_guarantee: true,
    };
    assert!(loans_to_reclaim(s(200), terms, &ledger, much, &lack(4000), within).is_empty());
}
