use super::*;
use crate::ResourceVector;

fn claim(machine: &str, from: &str, task: u32) -> Claim {
    let room = ResourceVector { gpus: 8000, cpus: 9000, memory: 1 };
    let part = LenderShare { lender: "vision".into(), from: from.into(), tasks: vec![(task, 7)], room };
    Claim { machine: machine.into(), replicas: 1, each: room, parts: vec![part] }
}

#[test]
fn what_is_on_record_covers_the_need_and_a_task_is_lent_once() {
    let l = Ledger::default().claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
    let again = l.claim(6, "wk-1", 1, &claim("i-2", "wk-9", 1), &[], 4096);
    assert_eq!(again, Err(LedgerError::Enough(1, 1)));
    let twice = l.claim(6, "wk-1", 2, &claim("i-1", "wk-9", 0), &[], 4096);
    assert_eq!(twice, Err(LedgerError::Lent("wk-9".into(), 0)));
    let other = Ledger::default().claim(6, "wk-2", 2, &claim("i-1", "wk-9", 0), &[&l], 4096);
    assert_eq!(other, Err(LedgerError::Lent("wk-9".into(), 0)), "also in another team's ledger");
    assert!(l.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 4096).is_ok());
    assert!(matches!(l.claim(6, "wk-1", 2, &claim("i-2", "wk-9", 1), &[], 300), Err(LedgerError::Full(_))));
}

#[test]
fn members_of_the_body_that_are_others_are_handed_on() {
    let body = json!({"fence": 3, "loans": [], "drains": {"budget": 2}});
    let l = Ledger::read(&body).expect("valid");
    assert_eq!(l.body(), body);
    let l = l.claim(5, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
    assert_eq!((l.fence, l.body()["drains"]["budget"].as_u64()), (4, Some(2)));
    assert_eq!(Ledger::read(&l.body()), Ok(l));
    assert!(Ledger::read(&json!({"fence": 1, "loans": [{"id": 1}]})).is_err());
    assert!(Ledger::read(&json!([])).is_err());
}

#[test]
fn a_loan_goes_forward_and_ends() {
    let fresh = Ledger::default().claim(0, "wk-1", 1, &claim("i-1", "wk-9", 0), &[], 4096).expect("free");
    let s = |n: u64| n * 1_000_000;
    let at = |l: &Ledger, now: u64, f: LoanFacts| l.advance(now, s(30), |_| f);
    let live = LoanFacts {
        is_borrower_live: Some(true),
        replicas_on_machine: Some(0),
        unplaced_replicas: Some(1),
        ..LoanFacts::default()
    };
    assert_eq!(at(&fresh, s(10), live), None);
    assert!(
        at(&fresh, s(10), LoanFacts { is_preemption_refused: true, ..live }).expect("moves").loans.is_empty()
    );
    assert_eq!(
        at(&fresh, s(500), LoanFacts { is_borrower_live: Some(true), ..live }).expect("moves").loans[0].state,
        LoanState::Returning
    );
    let held =
        at(&fresh, s(20), LoanFacts { replicas_on_machine: Some(1), unplaced_replicas: Some(0), ..live })
            .expect("moves");
    assert_eq!((held.loans[0].state, held.loans[0].since_us, held.fence), (LoanState::Held, s(20), 2));
    assert_eq!(
        at(&held, s(9000), LoanFacts { replicas_on_machine: Some(1), ..live }),
        None,
        "kept while it serves"
    );
    assert_eq!(at(&held, s(21), LoanFacts::default()), None, "nobody who knows has looked");
    let back = at(&held, s(90), LoanFacts { replicas_on_machine: Some(0), ..live }).expect("moves");
    assert_eq!(back.loans[0].state, LoanState::Returning);
    let lacks = LoanFacts { is_lender_short: Some(true), ..live };
    assert_eq!(at(&back, s(100), lacks), None, "kept for the lender");
    assert!(at(&back, s(121), lacks).expect("moves").loans.is_empty());
    assert!(
        at(&back, s(91), LoanFacts { is_lender_short: Some(false), ..live }).expect("moves").loans.is_empty()
    );
    assert!(at(&held, s(91), LoanFacts { is_machine_gone: true, ..live }).expect("moves").loans.is_empty());
    assert_eq!(
        at(&held, s(91), LoanFacts { is_borrower_live: Some(false), replicas_on_machine: Some(1), ..live })
            .expect("moves")
            .loans[0]
            .state,
        LoanState::Returning
    );
}
