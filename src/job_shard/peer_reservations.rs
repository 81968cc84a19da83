//! Machines that other job leaders, or the leaders of the previous epoch, have reserved for waiting work.

use crate::peer::Reservation;
use crate::units::{Micros, Resources};
use std::collections::BTreeMap;

/// How long after an epoch change machines stay reserved for gangs of the previous epoch. The gangs' new
/// leader cannot place them before it knows their running tasks, and by then small jobs would have filled the
/// machines.
pub(super) const INHERITED_RESERVATION_VALIDITY: Micros = Micros::from_millis(40_000);
/// How long a peer's announcement of reservations is valid.
const PEER_RESERVATION_VALIDITY: Micros = Micros::from_millis(3_000);

/// Reservations of other job leaders.
#[derive(Debug, Default)]
pub(super) struct PeerReservations {
    /// By peer, its latest announcement.
    pub(super) announced: BTreeMap<usize, AnnouncedReservations>,
    /// By machine, the reservations of the previous epoch.
    pub(super) inherited: BTreeMap<String, InheritedReservation>,
    /// Until when the inherited reservations are valid; None until the first scheduling pass of the epoch.
    pub(super) inherited_until: Option<Micros>,
}

/// A peer's reservations.
#[derive(Debug)]
pub(super) struct AnnouncedReservations {
    pub(super) received_at: Micros,
    pub(super) list: Vec<Reservation>,
}

/// A machine that was reserved in the previous epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct InheritedReservation {
    pub(super) priority: u8,
    /// Resources of one task of the work that it was reserved for.
    pub(super) resources: Resources,
}

impl PeerReservations {
    /// Replaces a peer's reservations.
    pub(super) fn set_announced(&mut self, now: Micros, peer: usize, list: Vec<Reservation>) {
        self.announced.insert(peer, AnnouncedReservations { received_at: now, list });
    }

    /// Reservations that peers announced recently, by peer.
    pub(super) fn valid(&self, now: Micros) -> impl Iterator<Item = (usize, &Reservation)> {
        let valid = self
            .announced
            .iter()
            .filter(move |(_, announced)| now.since(announced.received_at) < PEER_RESERVATION_VALIDITY);
        valid.flat_map(|(peer, announced)| announced.list.iter().map(move |reservation| (*peer, reservation)))
    }

    /// Adopts a new epoch: recent reservations of this shard (`local`) and of peers stay in force for a while,
    /// whichever controller leads the gangs now.
    pub(super) fn inherit(&mut self, local: &[Reservation]) {
        if !self.announced.is_empty() || !local.is_empty() {
            self.inherited.clear();
            self.inherited_until = None;
        }
        let announced = std::mem::take(&mut self.announced);
        for reservation in announced.values().flat_map(|announced| &announced.list).chain(local) {
            // The first reservation of a machine carries the gang's own priority.
            let inherited =
                InheritedReservation { priority: reservation.priority, resources: reservation.resources };
            self.inherited.entry(reservation.machine.clone()).or_insert(inherited);
        }
    }

    /// Starts the validity period of inherited reservations in the first scheduling pass of an epoch.
    pub(super) fn start_inheritance_period(&mut self, now: Micros) {
        if self.inherited_until.is_none() && !self.inherited.is_empty() {
            self.inherited_until = Some(now + INHERITED_RESERVATION_VALIDITY);
        }
    }

    /// Inherited reservations that are still valid.
    pub(super) fn inherited(&self, now: Micros) -> impl Iterator<Item = (&String, &InheritedReservation)> {
        let holds = self.inherited_until.is_some_and(|until| now < until);
        self.inherited.iter().filter(move |_| holds)
    }

    /// Machines that were reserved in the previous epoch for tasks that need these resources.
    pub(super) fn inherited_for(&self, now: Micros, resources: Resources) -> Vec<String> {
        let matching = self.inherited(now).filter(|(_, inherited)| inherited.resources == resources);
        matching.map(|(machine, _)| machine.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
