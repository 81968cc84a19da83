//! Membership: the ring, the adopted epoch (the workers' fencing token), who leads what, and whether this controller may act.
//!
//! [`Membership`] owns what one controller knows of the others. It must never say that this controller is a leader under an
//! epoch for which it has yielded, or on the word of some peers alone. It reads no clock and sends nothing; the controller
//! raises epochs and renews leases. [`step_down`] says when to leave the ring without being told to.

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
const JOBS: &str = "job/";
/// Class of the keys that place machines on the ring.
const MACHINES: &str = "machine/";
/// The key that places the autoscaler on the ring.
const AUTOSCALER: &str = "fleet";

/// What this controller knows of the ring and of its own leadership.
#[derive(Clone)]
pub struct Membership {
    names: Vec<String>,
    /// This controller's number.
    pub me: usize,
    /// This process, to tell it from earlier ones of the same name.
    pub boot: u64,
    member_lease: Micros,
    confirmation: Micros,
    /// The adopted epoch; 0 before the first.
    pub epoch: u64,
    /// Store version of the epoch record; every write carries it as a condition.
    pub store_version: u64,
    /// Members of the adopted epoch.
    pub members: Vec<usize>,
    /// The ring of the adopted epoch.
    pub ring: Ring,
    /// When it was adopted.
    pub adopted_at: Micros,
    /// Until when the store's word entitles this controller to act.
    store_lease_until: Micros,
    /// What each controller has confirmed to us.
    confirmations: Vec<PeerConfirmation>,
    /// A newer epoch, known from peers only. It says whom to ask; it gives no leadership.
    announced: Option<AnnouncedEpoch>,
    /// The newest epoch for which this controller has given up its leadership under older ones.
    yielded_to: u64,
    /// The epoch that each controller's latest frame named.
    named_epochs: Vec<NamedEpoch>,
    /// Since when, in this epoch, every other controller is known to have stopped acting under older ones.
    older_stopped_at: Option<Micros>,
    /// It has stepped down: it leaves the ring by its own decision and acts no more.
    pub has_stepped_down: bool,
}

impl Membership {
    /// Before the first epoch.
    pub fn new(settings: &Settings, boot: u64) -> Membership {
        let controllers = settings.members.len();
        Membership {
            names: settings.members.clone(),
            me: settings.me,
            boot,
            member_lease: settings.member_lease,
            confirmation: settings.confirmation,
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
            older_stopped_at: None,
            has_stepped_down: false,
        }
    }

    /// Adopts a newer epoch. Returns whether it directly follows the one held, in which case nobody else can have commanded
    /// what stays ours.
    pub fn adopt_epoch(&mut self, now: Micros, record: &EpochRecord, store_version: u64) -> bool {
        let follows = self.epoch != 0 && record.epoch == self.epoch + 1;
        let number = |member: &String| self.names.iter().position(|name| name == member);
        self.members = record.members.iter().filter_map(|(member, _)| number(member)).collect();
        self.epoch = record.epoch;
        self.store_version = store_version;
        self.ring = Ring::new(&self.names, &self.members);
        self.adopted_at = now;
        self.older_stopped_at = None;
        follows
    }

    /// Whether this process is a member by that record.
    #[must_use]
    pub fn is_member_of(&self, record: &EpochRecord) -> bool {
        record.members.iter().any(|(member, boot)| *member == self.names[self.me] && *boot == self.boot)
    }

    /// The other members of the adopted epoch.
    pub fn others(&self) -> impl Iterator<Item = usize> {
        self.members.iter().copied().filter(|&member| member != self.me)
    }

    /// The leader of a job.
    #[must_use]
    pub fn job_leader(&self, id: &str) -> Option<usize> {
        self.ring.owner_of(JOBS, id)
    }

    /// The leader of a machine.
    #[must_use]
    pub fn machine_leader(&self, machine: &str) -> Option<usize> {
        self.ring.owner_of(MACHINES, machine)
    }

    /// The controller that scales the fleet out and in.
    #[must_use]
    pub fn autoscaler(&self) -> Option<usize> {
        self.ring.owner(AUTOSCALER)
    }

    /// A controller's name.
    #[must_use]
    pub fn name(&self, number: usize) -> &str {
        self.names.get(number).map_or("?", String::as_str)
    }
}

#[cfg(test)]
mod tests;
