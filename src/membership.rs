//! Membership: the hash ring, the adopted epoch (which is also the workers' fencing token), which controller leads
//! what, and whether this controller may act.
//!
//! [`Membership`] holds what this controller has learned of the others. It must never report this controller as a
//! leader under an epoch for which it has yielded, or on the confirmations of only some peers. It reads no clock and
//! does no I/O; the controller raises epochs and renews leases. [`step_down`] decides when this controller leaves the
//! ring by itself.

mod announced_epoch;
mod epoch_record;
mod leadership;
pub mod misrouted_heartbeats;
pub mod step_down;

pub use epoch_record::EpochRecord;
pub use hazelsaddle_cluster::hash_ring::Ring;

use crate::config::settings::Settings;
use crate::units::Micros;
use announced_epoch::{AnnouncedEpoch, NamedEpoch};
use leadership::PeerConfirmation;

/// Class of the keys that place jobs on the ring.
const JOB_CLASS: &str = "job/";
/// Class of the keys that place machines on the ring.
const MACHINE_CLASS: &str = "machine/";
/// The key that places the autoscaler on the ring.
const AUTOSCALER_KEY: &str = "fleet";

/// What this controller has learned of the ring and of its own leadership.
#[derive(Clone)]
pub struct Membership {
    names: Vec<String>,
    /// This controller's index.
    pub me: usize,
    /// The boot ID, which identifies this process among all processes that have run under the same name.
    pub boot: u64,
    member_lease: Micros,
    confirmation_lifetime: Micros,
    /// The adopted epoch; 0 before the first.
    pub epoch: u64,
    /// State store version of the epoch record; every write has it as a precondition.
    pub store_version: u64,
    /// Members of the adopted epoch.
    pub members: Vec<usize>,
    /// The ring of the adopted epoch.
    pub ring: Ring,
    /// When it was adopted.
    pub adopted_at: Micros,
    /// Until when the lease on the state store entitles this controller to act.
    store_lease_until: Micros,
    /// By controller, what it has confirmed to this one.
    confirmations: Vec<PeerConfirmation>,
    /// A newer epoch that only peers have announced. It determines where to forward requests; it grants no leadership.
    announced: Option<AnnouncedEpoch>,
    /// The newest epoch for which this controller has given up its leadership under older ones.
    yielded_to: u64,
    /// The epoch that each controller's latest frame named.
    named_epochs: Vec<NamedEpoch>,
    /// Since when, in this epoch, all other controllers are known to have stopped acting under older epochs.
    older_leaders_stopped_since: Option<Micros>,
    /// Whether this controller has left the ring by its own decision and must not act.
    pub has_stepped_down: bool,
}

impl Membership {
    /// Creates the state before the first epoch.
    pub fn new(settings: &Settings, boot: u64) -> Membership {
        let controllers = settings.members.len();
        Membership {
            names: settings.members.clone(),
            me: settings.me,
            boot,
            member_lease: settings.member_lease,
            confirmation_lifetime: settings.confirmation,
            epoch: 0,
            store_version: 0,
            members: Vec::new(),
            ring: Ring::default(),
            adopted_at: Micros(0),
            store_lease_until: Micros(0),
            confirmations: vec![PeerConfirmation::default(); controllers],
            announced: None,
            yielded_to: 0,
            named_epochs: vec![NamedEpoch::default(); controllers],
            older_leaders_stopped_since: None,
            has_stepped_down: false,
        }
    }

    /// Adopts a newer epoch. Returns whether it directly succeeds the one held. In that case no other controller can
    /// have sent commands for the jobs and machines whose leader stays this controller.
    pub fn adopt_epoch(&mut self, now: Micros, record: &EpochRecord, store_version: u64) -> bool {
        let is_direct_successor = self.epoch != 0 && record.epoch == self.epoch + 1;
        let index = |member: &String| self.names.iter().position(|name| name == member);
        self.members = record.members.iter().filter_map(|(member, _)| index(member)).collect();
        self.epoch = record.epoch;
        self.store_version = store_version;
        self.ring = Ring::new(&self.names, &self.members);
        self.adopted_at = now;
        self.older_leaders_stopped_since = None;
        is_direct_successor
    }

    /// Whether this process is a member according to the record.
    #[must_use]
    pub fn is_member_of(&self, record: &EpochRecord) -> bool {
        record.members.iter().any(|(member, boot)| *member == self.names[self.me] && *boot == self.boot)
    }

    /// Returns the other members of the adopted epoch.
    pub fn others(&self) -> impl Iterator<Item = usize> {
        self.members.iter().copied().filter(|&member| member != self.me)
    }

    /// Returns the leader of a job.
    #[must_use]
    pub fn job_leader(&self, id: &str) -> Option<usize> {
        self.ring.owner_of(JOB_CLASS, id)
    }

    /// Returns the leader of a machine.
    #[must_use]
    pub fn machine_leader(&self, machine: &str) -> Option<usize> {
        self.ring.owner_of(MACHINE_CLASS, machine)
    }

    /// Returns the controller that scales the number of machines out and in.
    #[must_use]
    pub fn autoscaler(&self) -> Option<usize> {
        self.ring.owner(AUTOSCALER_KEY)
    }

    /// Returns a controller's name.
    #[must_use]
    pub fn name(&self, index: usize) -> &str {
        self.names.get(index).map_or("?", String::as_str)
    }
}

#[cfg(test)]
mod tests;
