//! Backoff from machine leaders that recently refused attempts. A machine leader sees at once what is free on
//! its machines, and other controllers see it later. If the machine leader has waiting work itself, most
//! requests of others are refused, and each refusal costs a message round trip.

use crate::membership::Membership;
use crate::units::Micros;
use std::collections::BTreeMap;

/// How long a leader's machines are avoided after a first refusal.
const FIRST_PAUSE: Micros = Micros::from_millis(200);
/// Maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// Recent responses of machine leaders to attempts.
#[derive(Debug, Default)]
pub(super) struct PlacementRefusals {
    /// Machines in the order of the responses, and whether each attempt was accepted.
    answers: Vec<(String, bool)>,
    /// By machine leader.
    pauses: BTreeMap<usize, RefusalPause>,
}

#[derive(Debug)]
struct RefusalPause {
    /// Rounds of refusals since the last accepted attempt.
    rounds: u32,
    until: Micros,
}

impl PlacementRefusals {
    /// Records that an attempt on a machine was accepted or refused.
    pub(super) fn note(&mut self, machine: &str, accepted: bool) {
        self.answers.push((machine.to_owned(), accepted));
    }

    /// The leaders whose machines are to be avoided now, never including this controller.
    pub(super) fn leaders_to_avoid(&mut self, now: Micros, membership: &Membership) -> Vec<usize> {
        for (machine, accepted) in std::mem::take(&mut self.answers) {
            let leader = membership.machine_leader(&machine).filter(|leader| *leader != membership.me);
            let Some(leader) = leader else { continue };
            let pause = self.pauses.entry(leader).or_insert(RefusalPause { rounds: 0, until: now });
            if accepted {
                pause.rounds = 0;
            } else if now >= pause.until {
                pause.until = now + Micros(FIRST_PAUSE.0 << pause.rounds);
                pause.rounds = (pause.rounds + 1).min(MAX_DOUBLINGS);
            }
        }
        self.pauses.iter().filter(|(_, pause)| now < pause.until).map(|(leader, _)| *leader).collect()
    }
}
