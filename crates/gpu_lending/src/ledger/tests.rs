use super::*;
use crate::ResourceVector;

fn claim(machine: &str, job: &str, task: u32) -> Claim {
    let resources = ResourceVector { gpus: 8000, cpus: 9000, memory: 1 };
    let share = LenderShare { lender: "vision".into(), job: job.into(), tasks: vec![(task, 7)], resources };
    Claim { machine: machine.into(), replicas: 1, resources_per_replica: resources, shares: vec![share] }
}

#[test]
fn missing_replicas_are_claimed_once_and_tasks_lent_once() {
    let ledger = Ledger::default().claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("claimed");
    let same_replica = ledger.claim(6, "wk-1", 1, &claim("i-2", "wk-9", 1), &[], 4096);
    assert_eq!(same_replica, Err(LedgerError::AlreadyClaimed(1, 1)));
    let same_task = ledger.claim(6, "wk-1", 2, &claim("i-1", "wk-9", 0), &[], 4096);
    assert_eq!(same_task, Err(LedgerError::TaskAlreadyLent("wk-9".into(), 0)));
    let other_team = Ledger::default().claim(6, "wk-2", 2, &claim("i-1", "wk-9", 0), &[&ledger], 4096);
    assert_eq!(
        other_team,
        Err(LedgerError::TaskAlreadyLent("wk-9".into(), 0)),
        "lent according to another team's ledger"
    );
    assert!(ledger.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 4096).is_ok());
    assert!(matches!(
        ledger.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 300),
        Err(LedgerError::TooLong(_))
    ));
}

#[test]
fn unknown_fields_of_the_body_are_kept() {
    let body = json!({"fence": 3, "loans": [], "drains": {"budget": 2}});
    let ledger = Ledger::read(&body).expect("valid");
    assert_eq!(ledger.body(), body);
    let ledger = ledger.claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("claimed");
    assert_eq!((ledger.fence, ledger.body()["drains"]["budget"].as_u64()), (4, Some(2)));
    assert_eq!(Ledger::read(&ledger.body()), Ok(ledger));
    assert!(Ledger::read(&json!({"fence": 1, "loans": [{"id": 1}]})).is_err());
    assert!(Ledger::read(&json!([])).is_err());
}

#[test]
fn loan_moves_forward_and_ends() {
    let taking = Ledger::default().claim(0, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("claimed");
    let secs = |seconds: u64| seconds * 1_000_000;
    let advance = |ledger: &Ledger, now: u64, facts: LoanFacts| ledger.advance(now, secs(30), |_| facts);
    let live = LoanFacts {
        is_borrower_live: Some(true),
        replicas_on_machine: Some(0),
        unplaced_replicas: Some(1),
        ..LoanFacts::default()
    };
    assert_eq!(advance(&taking, secs(10), live), None);
    assert!(
        advance(&taking, secs(10), LoanFacts { is_preemption_refused: true, ..live })
            .expect("changed")
            .loans
            .is_empty()
    );
    assert_eq!(
        advance(&taking, secs(500), LoanFacts { is_borrower_live: Some(true), ..live })
            .expect("changed")
            .loans[0]
            .state,
        LoanState::Returning
    );
    let held = advance(
        &taking,
        secs(20),
        LoanFacts { replicas_on_machine: Some(1), unplaced_replicas: Some(0), ..live },
    )
    .expect("changed");
    assert_eq!((held.loans[0].state, held.loans[0].since_us, held.fence), (LoanState::Held, secs(20), 2));
    assert_eq!(
        advance(&held, secs(9000), LoanFacts { replicas_on_machine: Some(1), ..live }),
        None,
        "kept while a replica runs"
    );
    assert_eq!(advance(&held, secs(21), LoanFacts::default()), None, "unknown facts change nothing");
    let returning =
        advance(&held, secs(90), LoanFacts { replicas_on_machine: Some(0), ..live }).expect("changed");
    assert_eq!(returning.loans[0].state, LoanState::Returning);
    let lender_short = LoanFacts { is_lender_short: Some(true), ..live };
    assert_eq!(advance(&returning, secs(100), lender_short), None, "reserved for the lender");
    assert!(advance(&returning, secs(121), lender_short).expect("changed").loans.is_empty());
    assert!(
        advance(&returning, secs(91), LoanFacts { is_lender_short: Some(false), ..live })
            .expect("changed")
            .loans
            .is_empty()
    );
    assert!(
        advance(&held, secs(91), LoanFacts { is_machine_gone: true, ..live })
            .expect("changed")
            .loans
            .is_empty()
    );
    assert_eq!(
        advance(
            &held,
            secs(91),
            LoanFacts { is_borrower_live: Some(false), replicas_on_machine: Some(1), ..live }
        )
        .expect("changed")
        .loans[0]
            .state,
        LoanState::Returning
    );
}
