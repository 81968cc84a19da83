//! Machines that have yet to show this epoch's token, asked directly instead of waited for.
//!
//! A report that shows our token proves that its list is complete. By itself a worker gets there by two reports: one with
//! an older token, whose answer brings ours, and the next. That takes two report periods where the token has changed a
//! moment ago already. A direct message without commands brings the token as well, and its answer is a report.

use super::*;

/// A machine that has not shown the token after so many tries is left to its reports.
const TRIES: u8 = 3;
/// Between two tries; each takes longer to come than the last.
const PAUSE: Micros = Micros::from_millis(1500);

/// A machine that is to be told the token, and to report.
#[derive(Clone, Debug, PartialEq)]
pub struct FencingProbe {
    /// The machine.
    pub machine: String,
    /// Where it takes direct commands.
    pub addr: String,
    /// Its session, as far as we know.
    pub session: u64,
}

impl MachineShard {
    /// Up to `most` of our machines that may hold tasks that we don't know of, to be asked now.
    pub fn to_greet(&mut self, now: Micros, most: usize) -> Vec<FencingProbe> {
        let due = |x: &&mut Machine| {
            x.standing == InventoryState::Unconfirmed
                && !x.addr.is_empty()
                && x.greeted.0 < TRIES
                && now >= x.greeted.1 + Micros(PAUSE.0 * u64::from(x.greeted.0))
        };
        let mut out = Vec::new();
        for (name, x) in self.machines.iter_mut() {
            if out.len() == most {
                break;
            }
            if !due(&&mut *x) {
                continue;
            }
            x.greeted = (x.greeted.0 + 1, now);
            // Nearly all machines are in their first session; one that is not says so.
            out.push(FencingProbe { machine: name.clone(), addr: x.addr.clone(), session: x.last.0.max(1) });
        }
        out
    }

    /// A machine has answered. Only an answer that shows our token says anything, and only of a machine on which nothing
    /// was started in this epoch: what goes out with answers to reports is settled by reports.
    pub fn greeted(&mut self, now: Micros, m: &Membership, r: &Heartbeat) -> Verdict {
        if r.token > m.epoch {
            return Verdict::Deposed;
        }
        let waits = |x: &Machine| x.standing == InventoryState::Unconfirmed;
        if r.token < m.epoch
            || m.machine_leader(&r.machine) != Some(m.me)
            || !self.machines.get(&r.machine).is_some_and(waits)
        {
            return Verdict::Stale;
        }
        self.report(now, m, r)
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{ROOM, ready, report, setup, starts, want, whole};
    use super::*;

    #[test]
    fn an_answer_that_shows_our_token_makes_a_machine_known() {
        let (m, mut home) = setup();
        let named =
            MachineRecord { kind: "k".into(), zone: "z".into(), spot: false, addr: "10.0.0.5:1".into() };
        home.recorded(Micros(9), "i-1", named);
        let asked = home.to_greet(Micros(10), 9);
        assert_eq!(asked.iter().map(|g| (g.machine.as_str(), g.session)).collect::<Vec<_>>(), [("i-1", 1)]);
        assert!(home.to_greet(Micros(11), 9).is_empty(), "once, and again after a while");
        assert_eq!(home.to_greet(Micros(2_000_000), 9).len(), 1);
        assert_eq!(home.greeted(Micros(20), &m, &report(3, 6, &[])), Verdict::Stale);
        assert_eq!(home.counts(), (0, 1), "an older token's answer may still be executed");
        assert_eq!(home.greeted(Micros(20), &m, &report(4, 8, &[])), Verdict::Deposed);
        assert_eq!(home.greeted(Micros(20), &m, &report(5, 7, &[("wk-1/0", 1, "running")])), Verdict::Taken);
        assert_eq!(home.counts(), (1, 1));
        assert_eq!(home.digest(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines[0].tasks.len(), 1);
        assert!(home.to_greet(Micros(9_000_000), 9).is_empty());
    }

    /// An answer says nothing about a start that went out with the answer to a report: the worker may have had the one
    /// before the other.
    #[test]
    fn a_late_answer_does_not_undo_a_start() {
        let (m, mut home) = ready();
        home.wanted(Micros(11), 0, &whole(1, vec![want(1, 3000)]), &m, |_| Some(ROOM));
        assert_eq!(starts(&mut home, &m), 1);
        assert_eq!(home.greeted(Micros(20), &m, &report(9, 7, &[])), Verdict::Stale);
        let d = home.digest(Micros(21), &m, 0, 0, |_| Some(ROOM)).machines.remove(0);
        assert_eq!((d.free.cpus, d.tasks.len()), (1000, 1));
    }
}
