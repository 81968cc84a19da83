use super::*;
use crate::autoscaler::tests::{autoscaler, machine};
use crate::autoscaler::{Autoscaler, CloudMachine, MachineState};
use crate::peer::MachineStatus;
use std::collections::BTreeMap;

fn listed(i: usize, age_s: f64) -> (String, CloudMachine) {
    let snapshot = machine(i, "small", 4.0, 4.0);
    let machine_listed = CloudMachine {
        name: snapshot.name.clone(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        state: MachineState::Running,
        age_s,
    };
    (snapshot.name.clone(), machine_listed)
}

/// After a restart of all controllers the machine registry may still list machines that the cloud has removed. If the
/// autoscaler did not remove them, every job would wait for their leases to expire, and each restart of a controller
/// would start these leases again.
#[test]
fn silent_machines_missing_from_the_cloud_list_are_removed_at_once() {
    let mut autoscaler = autoscaler(vec![]);
    autoscaler.list_lag = Micros::from_millis(8_000);
    let now = Micros(200_000_000);
    let mut seen: Vec<MachineSnapshot> = (0..9)
        .map(|i| {
            let mut snapshot = machine(i, "small", 4.0, 4.0);
            if i < 8 {
                snapshot = MachineSnapshot::new(
                    now,
                    MachineStatus { inventory_state: InventoryState::Unconfirmed, ..(*snapshot).clone() },
                );
            }
            snapshot
        })
        .collect();
    // Machine 3 is listed. Machine 6 was created just before 7, up to which the list is complete. Machine 8 sends
    // heartbeats.
    autoscaler.inventory.listed = Some([listed(3, 300.0), listed(7, 27.0)].into());
    let gone = |autoscaler: &mut Autoscaler, seen: &[MachineSnapshot]| {
        autoscaler.next_scale_in(now, &by_name(seen), Micros(1), false)
    };
    assert_eq!(gone(&mut autoscaler, &seen), ["i-000", "i-001", "i-002", "i-004", "i-005", "i-006"]);
    autoscaler.inventory.listed = Some([listed(3, 300.0), listed(7, 25.0)].into());
    assert_eq!(
        gone(&mut autoscaler, &seen),
        ["i-000", "i-001", "i-002"],
        "a page may be older than machine 7"
    );
    // A machine that sends heartbeats stays whatever the list says; one that has fallen silent is removed.
    seen[0] = machine(0, "small", 4.0, 4.0);
    seen[1] = machine(1, "small", 4.0, 4.0);
    seen[1].silent_since = Some(Micros(195_000_000));
    assert_eq!(gone(&mut autoscaler, &seen), ["i-001", "i-002"]);
    autoscaler.inventory.listed = None;
    assert!(gone(&mut autoscaler, &seen).is_empty(), "nothing is removed without a list");
}

fn by_name(list: &[MachineSnapshot]) -> BTreeMap<&str, &MachineSnapshot> {
    list.iter().map(|machine| (machine.name.as_str(), machine)).collect()
}
