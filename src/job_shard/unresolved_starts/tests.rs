use super::super::tests::{owner_of, raw, running, whole};
use super::*;
use crate::peer::MachineStatus;
use crate::units::Ranges;

/// Measured on rough days of the large sites: for half a minute at a time all work waited for a few dead machines, and
/// the decider saw nothing queue.
#[test]
fn what_waits_for_a_dead_machine_asks_for_room_and_what_is_likely_there_does_not() {
    let (m, teams, mut owner, machine) = owner_of(raw("batch", 4, 0.0));
    let now = Micros::from_millis(1000);
    let fleet: Vec<MachineStatus> = (0..20)
        .map(|i| MachineStatus { name: format!("i-{i:02}"), open: i < 2, ..machine.clone() })
        .collect();
    // A new epoch: one machine of twenty is not heard, and 40 tasks of a job taken over run on the others.
    owner.adopt(&m, false);
    let mut r = raw("batch", 100, 0.0);
    r["uid"] = json!("wk-2");
    let spec = JobSpec::from_value(&r).expect("valid");
    owner.insert(r, spec, Micros(1), Ranges::default(), 1, false);
    owner.load_done(fleet.iter().map(|d| d.name.clone()));
    let mut seq = 0;
    let mut tell = |owner: &mut JobShard, unheard: usize| {
        let mut list = fleet.clone();
        for (i, d) in list.iter_mut().enumerate() {
            let key = |index| TaskKey { job: "wk-2".into(), index, attempt: 9 };
            match i < unheard {
                true => (d.standing, d.open) = (InventoryState::Unconfirmed, false),
                false => d.tasks = (0..2).map(|k| running(&key((i * 2 + k) as u32))).collect(),
            }
        }
        seq += 1;
        owner.digest(now, &m, 0, whole(&m, seq, 0, list));
    };
    let asked = |owner: &mut JobShard, at: u64| {
        let now = Micros::from_millis(at);
        owner.plan(now, now, &m, &teams);
        owner.demands().iter().map(|d| d.count).sum::<u32>()
    };
    tell(&mut owner, 5);
    assert_eq!(asked(&mut owner, 1000), 0, "too few are heard");
    tell(&mut owner, 1);
    // Less those seen, those that may well be on the unheard one, and those that fit beside two on the one open.
    assert_eq!(asked(&mut owner, 2000), 100 - 38 - 2 - 2);
    assert!(
        owner.wanted(0, &m).list.iter().all(|w| w.want != DesiredAction::Run),
        "nothing of it is placed"
    );
    assert_eq!(owner.in_doubt(), 1);
    tell(&mut owner, 0);
    assert_eq!((owner.in_doubt(), asked(&mut owner, 3000)), (0, 100 - 40 - 4));
}
