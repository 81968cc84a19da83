use super::*;
use crate::peer::MachineStatus;

fn machine(i: usize, zone: &str, busy: &[(u8, i64)]) -> MachineStatus {
    let total = Resources { cpus: 16_000, gpus: 0, memory: 64_000 };
    let by_priority: Vec<(u8, Resources)> =
        busy.iter().map(|(p, c)| (*p, Resources { cpus: *c, ..Resources::default() })).collect();
    MachineStatus {
        name: format!("i-{i:02}"),
        kind: "k".into(),
        zone: zone.into(),
        spot: false,
        standing: InventoryState::Known,
        open: true,
        notice: None,
        free: by_priority.iter().fold(total, |a, (_, r)| a - *r),
        total,
        by_priority,
        images: Vec::new(),
        busy: 0,
        idle: None,
        silent: None,
        tasks: Vec::new(),
    }
}

fn gang(tasks: u32, priority: u8) -> JobSpec {
    let raw = json!({"uid":"wk-1","breed":"b","herd":"t","gait":"group","rank":"idle","strides":tasks,"vcpus":15.0,
        "cards":0,"ramGb":1.0,"tack":"i","imageGb":1,"together":true,"scatter":false,"borrowed":false,"rideS":1,
        "restS":0,"unsaddleS":0});
    JobSpec { priority, ..JobSpec::from_value(&raw).expect("valid") }
}

fn places(machines: &[MachineStatus]) -> Vec<Place<'_>> {
    let place =
        |d| Place { machine: d, free: d.free, unseen: Resources::default(), near: false, kept_for: None };
    machines.iter().map(place).collect()
}

fn reservation(machine: &str, priority: u8, evict: bool) -> Reservation {
    let need = Resources { cpus: 15_000, gpus: 0, memory: 1000 };
    Reservation { machine: machine.into(), priority, need, evict }
}

/// Two large gangs that hold half of what each needs would wait for one another for ever.
#[test]
fn a_gang_keeps_all_its_machines_or_none_and_none_of_another_owners() {
    let machines: Vec<MachineStatus> = (0..40).map(|i| machine(i, "a", &[(0, 4000)])).collect();
    let keep = |taken: usize| {
        let taken = (0..taken).map(|i| format!("i-{i:02}")).collect();
        keep_places(&mut places(&machines), &gang(24, 1), QuotaTier::Unpromised, false, &[], &taken).0
    };
    assert_eq!(keep(0).len(), 24);
    assert!(keep(16).iter().all(|n| n.as_str() >= "i-16") && keep(16).len() == 24);
    assert!(keep(17).is_empty(), "23 are left");
}

#[test]
fn borrowed_gangs_do_not_count_on_what_they_may_not_stop() {
    let machines = [
        machine(0, "a", &[(1, 15_000)]),
        machine(1, "a", &[(0, 15_000)]),
        machine(2, "a", &[(10, 9000)]),
    ];
    let keep = |footing| {
        keep_places(&mut places(&machines), &gang(1, 11), footing, false, &[], &BTreeSet::new()).0
    };
    let keeps = |tasks, footing, due| {
        keep_places(&mut places(&machines), &gang(tasks, 11), footing, due, &[], &BTreeSet::new()).0.len()
    };
    let all = |tasks, footing| keeps(tasks, footing, false);
    assert_eq!(keep(QuotaTier::Within), ["i-02"], "where the least is on it");
    assert_eq!(
        (all(3, QuotaTier::Within), all(3, QuotaTier::Beyond), all(2, QuotaTier::Beyond)),
        (3, 0, 2)
    );
    assert_eq!(
        keeps(3, QuotaTier::Beyond, true),
        3,
        "what it may not stop runs out: it is not overtaken again"
    );
}

/// While a gang's new owner learns what the gang had running, small work would fill its machines.
#[test]
fn what_was_kept_before_a_takeover_stays_kept_for_a_while() {
    let mut o = PeerReservations::default();
    let now = Micros::from_millis(50_000);
    o.said.insert(1, (now, vec![reservation("i-1", 11, true), reservation("i-1", 12, false)]));
    o.inherit(&[reservation("i-2", 10, true)]);
    o.until = Some(now + INHERITED);
    o.inherit(&[]);
    assert_eq!(o.inherited["i-1"].0, 11, "the gang's own priority: it may go there itself");
    let need = reservation("", 0, false).need;
    assert_eq!(o.kept_before(now, need), ["i-1", "i-2"], "a second epoch at once changes nothing");
    assert!(o.kept_before(now, Resources::default()).is_empty(), "for gangs of such tasks only");
    assert!(o.kept_before(now + INHERITED, need).is_empty(), "not for ever");
}
