use super::*;

#[test]
fn the_file_in_deploy_is_valid_and_wrong_keys_are_named() {
    let all = Operators::parse("f.ini", include_str!("../../../deploy/operators.ini")).expect("valid");
    assert_eq!(all, Operators::default(), "everything in it is commented out");
    let on = Operators::parse("f.ini", "[logs]\nstores = 10.3.0.1:7103, 10.3.0.2:7103\n").expect("valid");
    assert_eq!(on.log_stores.len(), 2);
    let on = Operators::parse("f.ini", "[loans]\nborrowers = serve, chat\nstay_s = 60\n").expect("valid");
    let terms = on.loans.expect("switched on");
    assert_eq!((terms.borrowers.len(), terms.stay, terms.back.as_secs()), (2, Micros::from_secs(60.0), 30.0));
    for (text, named) in [
        ("[logs]\nstores = here:1\n", "f.ini: [logs] stores"),
        ("[logs]\nstore = 10.0.0.1:1\n", "f.ini: [logs] store:"),
        ("[calendar n]\ntitel = x\n", "f.ini: [calendar n] titel:"),
        ("[calendar n]\ntitle = x\n", "f.ini: [calendar n] zone:"),
        ("[loans]\nstay_s = soon\n", "f.ini: [loans] stay_s"),
        ("[loans]\nback_s = 31\n", "f.ini: [loans] back_s"),
        ("[loans]\nborrower = serve\n", "f.ini: [loans] borrower:"),
        ("[log]\nstores = 10.0.0.1:1\n", "f.ini: [log] stores:"),
        ("[freshness]\nsource = bet-bolu\n", "f.ini: [freshness] source"),
        ("[freshness]\nsources = bet bolu\n", "f.ini: [freshness] sources"),
        ("[freshness]\nsources = a\nrequired = b\n", "f.ini: [freshness] required"),
    ] {
        let e = Operators::parse("f.ini", text).expect_err(text).to_string();
        assert!(e.starts_with(named) && !e.contains('\n'), "{e}");
    }
}
