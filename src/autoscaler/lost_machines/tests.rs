use super::*;
use crate::autoscaler::tests::{autoscaler, machine};
use crate::autoscaler::{Autoscaler, CloudMachine, MachineState};
use crate::peer::MachineStatus;
use std::collections::BTreeMap;

fn listed(i: usize, age_s: f64) -> (String, CloudMachine) {
    let d = machine(i, "small", 4.0, 4.0);
    let l = CloudMachine {
        name: d.name.clone(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        state: MachineState::Running,
        age_s,
    };
    (d.name.clone(), l)
}

/// Machines that were given back may still stand in the machine registry when all controllers come back. Otherwise every
/// job waits for their leases to expire, and each restart of a controller begins them anew.
#[test]
fn silent_machines_missing_from_the_cloud_list_are_removed_at_once() {
    let mut autoscaler = autoscaler(vec![]);
    autoscaler.list_lag = Micros::from_millis(8_000);
    let now = Micros(200_000_000);
    let mut seen: Vec<MachineSnapshot> = (0..9)
        .map(|i| {
            let mut d = machine(i, "small", 4.0, 4.0);
            if i < 8 {
                d = MachineSnapshot::new(
                    now,
                    MachineStatus { inventory_state: InventoryState::Unconfirmed, ..(*d).clone() },
                );
            }
            d
        })
        .collect();
    // 3 is listed. 6 came just before 7, the youngest that is old enough to prove anything; 8 is heard.
    autoscaler.inventory.listed = Some([listed(3, 300.0), listed(7, 27.0)].into());
    let gone = |autoscaler: &mut Autoscaler, seen: &[MachineSnapshot]| {
        autoscaler.next_scale_in(now, &by_name(seen), Micros(1), false)
    };
    assert_eq!(gone(&mut autoscaler, &seen), ["i-000", "i-001", "i-002", "i-004", "i-005", "i-006"]);
    autoscaler.inventory.listed = Some([listed(3, 300.0), listed(7, 25.0)].into());
    assert_eq!(gone(&mut autoscaler, &seen), ["i-000", "i-001", "i-002"], "a page may be older than 7");
    // One that is heard of goes on, whatever the list says, and one that fell silent goes.
    seen[0] = machine(0, "small", 4.0, 4.0);
    seen[1] = machine(1, "small", 4.0, 4.0);
    seen[1].silent_since = Some(Micros(195_000_000));
    assert_eq!(gone(&mut autoscaler, &seen), ["i-001", "i-002"]);
    autoscaler.inventory.listed = None;
    assert!(gone(&mut autoscaler, &seen).is_empty(), "no list, no hint");
}

fn by_name(list: &[MachineSnapshot]) -> BTreeMap<&str, &MachineSnapshot> {
    list.iter().map(|d| (d.name.as_str(), d)).collect()
}
