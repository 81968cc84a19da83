//! Machines that the cloud has taken back and nobody remembers: after a restart of all controllers the pages of the roll
//! name them, no worker reports for them, and every job would wait for their leases.
//!
//! That the list does not name one is only a hint (lists lag, and may be older than the one before). It is acted upon by
//! asking for the machine's return: a name that is unknown is ignored, and once the answer is there the machine and all
//! on it are gone for certain.

use super::*;

/// The pages of one list are asked for within this time, as a rule.
const PAGES: Micros = Micros::from_millis(10_000);

impl Autoscaler {
    /// The youngest listed machine that is so old that every page of the list, however late, describes a time at which
    /// it was there, and with it all machines that are older. Names are in the order of creation.
    pub(super) fn listed_up_to(&self) -> Option<&str> {
        let age = Micros(self.list_lag.0 * 2) + PAGES;
        let listed = self.listed.as_ref()?;
        listed.values().rev().find(|l| Micros::from_secs(l.age_s) >= age).map(|l| l.name.as_str())
    }

    /// Whether a machine that nobody hears is absent from a list that would name it if it were there.
    pub(super) fn absent(&self, d: &MachineSnapshot, up_to: Option<&str>) -> bool {
        let quiet = d.standing == InventoryState::Unconfirmed || d.silent_since.is_some();
        quiet
            && up_to.is_some_and(|name| d.name.as_str() < name)
            && self.listed.as_ref().is_some_and(|l| !l.contains_key(&d.name))
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{fleet, machine};
    use super::*;
    use crate::peer::MachineStatus;

    fn listed(i: usize, age_s: f64) -> (String, Listed) {
        let d = machine(i, "small", 4.0, 4.0);
        let l = Listed {
            name: d.name.clone(),
            kind: "small".into(),
            zone: "a".into(),
            spot: false,
            state: "running".into(),
            age_s,
        };
        (d.name.clone(), l)
    }

    /// Measured on rough days of the large sites: 110 machines that had been returned stood on the roll when all
    /// controllers came back. Every job waited for their leases, and each restart of one began them anew: 60 to 110 s.
    #[test]
    fn unheard_machines_that_the_cloud_lists_no_more_are_returned_at_once() {
        let mut f = fleet(vec![]);
        f.list_lag = Micros::from_millis(8_000);
        let now = Micros(200_000_000);
        let mut seen: Vec<MachineSnapshot> = (0..9)
            .map(|i| {
                let mut d = machine(i, "small", 4.0, 4.0);
                if i < 8 {
                    d = MachineSnapshot::new(
                        now,
                        MachineStatus { standing: InventoryState::Unconfirmed, ..(*d).clone() },
                    );
                }
                d
            })
            .collect();
        // 3 is listed. 6 came just before 7, the youngest that is old enough to prove anything; 8 is heard.
        f.listed = Some([listed(3, 300.0), listed(7, 27.0)].into());
        let gone =
            |f: &mut Autoscaler, seen: &[MachineSnapshot]| f.returns(now, &by_name(seen), Micros(1), false);
        assert_eq!(gone(&mut f, &seen), ["i-000", "i-001", "i-002", "i-004", "i-005", "i-006"]);
        f.listed = Some([listed(3, 300.0), listed(7, 25.0)].into());
        assert_eq!(gone(&mut f, &seen), ["i-000", "i-001", "i-002"], "a page may be older than 7");
        // One that is heard of goes on, whatever the list says, and one that fell silent goes.
        seen[0] = machine(0, "small", 4.0, 4.0);
        seen[1] = machine(1, "small", 4.0, 4.0);
        seen[1].silent_since = Some(Micros(195_000_000));
        assert_eq!(gone(&mut f, &seen), ["i-001", "i-002"]);
        f.listed = None;
        assert!(gone(&mut f, &seen).is_empty(), "no list, no hint");
    }

    fn by_name(list: &[MachineSnapshot]) -> BTreeMap<&str, &MachineSnapshot> {
        list.iter().map(|d| (d.name.as_str(), d)).collect()
    }
}
