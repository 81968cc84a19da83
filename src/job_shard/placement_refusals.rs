//! Leaders of machines that refused starts of late. A leader sees at once what is free on its machines, others see it
//! later: where it has waiting work itself, most of what others ask for is gone, and each refusal costs a round of
//! messages.

use crate::membership::Membership;
use crate::units::Micros;
use std::collections::BTreeMap;

/// How long a leader's machines are left alone after a first refusal.
const FIRST_PAUSE: Micros = Micros::from_millis(200);
/// The most doublings of that.
const DOUBLINGS: u32 = 4;

/// What became of starts of late.
#[derive(Debug, Default)]
pub(super) struct PlacementRefusals {
    /// Starts on machines in order, and whether each was accepted.
    answers: Vec<(String, bool)>,
    /// By leader of machines.
    pauses: BTreeMap<usize, RefusalPause>,
}

#[derive(Debug)]
struct RefusalPause {
    /// Rounds of refusals without a start accepted since.
    rounds: u32,
    until: Micros,
}

impl PlacementRefusals {
    /// A start on a machine was accepted or refused.
    pub(super) fn note(&mut self, machine: &str, accepted: bool) {
        self.answers.push((machine.to_owned(), accepted));
    }

    /// The leaders whose machines are to be left alone now: never ourselves.
    pub(super) fn refusing(&mut self, now: Micros, membership: &Membership) -> Vec<usize> {
        for (machine, accepted) in std::mem::take(&mut self.answers) {
            let leader = membership.machine_leader(&machine).filter(|leader| *leader != membership.me);
            let Some(leader) = leader else { continue };
            let pause = self.pauses.entry(leader).or_insert(RefusalPause { rounds: 0, until: now });
            if accepted {
                pause.rounds = 0;
            } else if now >= pause.until {
                pause.until = now + Micros(FIRST_PAUSE.0 << pause.rounds);
                pause.rounds = (pause.rounds + 1).min(DOUBLINGS);
            }
        }
        self.pauses.iter().filter(|(_, pause)| now < pause.until).map(|(leader, _)| *leader).collect()
    }
}
