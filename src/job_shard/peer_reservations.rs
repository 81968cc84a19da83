//! Machines that other leaders of jobs, and those of the epoch before, reserved for waiting work.

use crate::peer::Reservation;
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// How long after an epoch change machines stay reserved for gangs of the epoch before. The gangs' new leader can't place
/// them before it knows what they had running, and small work would have filled the machines by then.
pub(super) const INHERITED_FOR: Micros = Micros::from_millis(40_000);
/// How long what a peer said of its reservations holds.
const VALID_FOR: Micros = Micros::from_millis(3_000);

/// What other leaders of jobs have reserved.
#[derive(Debug, Default)]
pub(super) struct PeerReservations {
    /// By peer, and when it said so.
    pub(super) announced: BTreeMap<usize, AnnouncedReservations>,
    /// Of the epoch before, by machine.
    pub(super) inherited: BTreeMap<String, InheritedReservation>,
    /// Until when those hold; None until the first scheduling pass of the epoch.
    pub(super) inherited_until: Option<Micros>,
}

/// A peer's reservations.
#[derive(Debug)]
pub(super) struct AnnouncedReservations {
    pub(super) at: Micros,
    pub(super) list: Vec<Reservation>,
}

/// A machine that was reserved in the epoch before.
#[derive(Clone, Copy, Debug)]
pub(super) struct InheritedReservation {
    pub(super) priority: u8,
    /// Room of one task of the work that it was reserved for.
    pub(super) room: Resources,
}

impl PeerReservations {
    /// Takes a peer's reservations, in place of what it said before.
    pub(super) fn announce(&mut self, now: Micros, peer: usize, list: Vec<Reservation>) {
        self.announced.insert(peer, AnnouncedReservations { at: now, list });
    }

    /// What peers said of late, by peer.
    pub(super) fn valid(&self, now: Micros) -> impl Iterator<Item = (usize, &Reservation)> {
        let valid = self.announced.iter().filter(move |(_, announced)| now.since(announced.at) < VALID_FOR);
        valid.flat_map(|(peer, announced)| announced.list.iter().map(move |reservation| (*peer, reservation)))
    }

    /// A new epoch: what `ours` and the peers reserved of late stays reserved for a while, whoever leads the gangs now.
    pub(super) fn inherit(&mut self, ours: &[Reservation]) {
        if !self.announced.is_empty() || !ours.is_empty() {
            self.inherited.clear();
            self.inherited_until = None;
        }
        let announced = std::mem::take(&mut self.announced);
        for reservation in announced.values().flat_map(|announced| &announced.list).chain(ours) {
            // The first for a machine names the gang's own priority.
            let inherited =
                InheritedReservation { priority: reservation.priority, room: reservation.resources };
            self.inherited.entry(reservation.machine.clone()).or_insert(inherited);
        }
    }

    /// The first scheduling pass of an epoch sets the time until which inherited reservations hold.
    pub(super) fn start_inheritance(&mut self, now: Micros) {
        if self.inherited_until.is_none() && !self.inherited.is_empty() {
            self.inherited_until = Some(now + INHERITED_FOR);
        }
    }

    /// Inherited reservations that hold still.
    pub(super) fn inherited(&self, now: Micros) -> impl Iterator<Item = (&String, &InheritedReservation)> {
        let holds = self.inherited_until.is_some_and(|until| now < until);
        self.inherited.iter().filter(move |_| holds)
    }

    /// Machines that were reserved in the epoch before for tasks that need such room.
    pub(super) fn inherited_for(&self, now: Micros, room: Resources) -> Vec<String> {
        let alike = self.inherited(now).filter(|(_, inherited)| inherited.room == room);
        alike.map(|(machine, _)| machine.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
