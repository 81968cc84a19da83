//! Announces cancelled jobs to the other controllers, so that the leaders of jobs that follow them know of the
//! cancellation while the state store can't tell them.
//!
//! A controller keeps its leadership during an outage of the state store by messages with all its peers, so
//! the same messages bring the announcements before it can answer for long. Each is repeated until it is
//! acknowledged. What is announced never becomes untrue, so announcements may arrive late, twice, or in another
//! epoch.
//!
//! A controller that ends right after it told a user of a cancellation has announced it to nobody. So a controller whose
//! jobs wait for others asks all members once per digest period, by an empty list, whether they have anything to
//! announce. A member without announcements answers with an empty acknowledgement. `job_shard::dependencies` decides what
//! may be said of waiting jobs while a member does not answer.

use super::format_versions::CANCELLED_JOBS_FORMAT_VERSION;
use super::*;

/// Most announcements kept for a peer; the oldest are dropped. A peer that reads none for so long is gone, and
/// its next process reads the final records.
const MAX_UNACKNOWLEDGED: usize = 1000;

/// The announcements that peers have not acknowledged.
#[derive(Default)]
pub(super) struct CancelledJobs {
    /// By peer.
    peers: BTreeMap<usize, PeerAnnouncements>,
}

#[derive(Default)]
struct PeerAnnouncements {
    /// The peer's process, by its boot ID.
    boot: u64,
    /// Oldest first.
    unacknowledged: VecDeque<String>,
    /// Whether an announcement was dropped that this process of the peer has not acknowledged.
    has_dropped: bool,
}

impl PeerAnnouncements {
    fn add(&mut self, job: &str) {
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
            self.has_dropped = true;
        }
        self.unacknowledged.push_back(job.to_owned());
    }

    fn are_all_acknowledged(&self) -> bool {
        self.unacknowledged.is_empty() && !self.has_dropped
    }
}

impl CancelledJobs {
    /// Drops the announcements that a peer has acknowledged.
    pub(super) fn apply_acknowledgement(&mut self, peer: usize, acknowledged: &[String]) {
        let acknowledged: BTreeSet<&String> = acknowledged.iter().collect();
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.unacknowledged.retain(|job| !acknowledged.contains(job));
        }
    }
}

impl Controller {
    /// The other controllers.
    pub(super) fn peers(&self) -> impl Iterator<Item = usize> + use<> {
        let me = self.settings.me;
        (0..self.settings.members.len()).filter(move |&peer| peer != me)
    }

    /// Announces a job that is cancelled for good.
    pub(super) fn announce_cancelled_job(&mut self, job: &str) {
        for peer in self.peers() {
            self.cancelled_jobs.peers.entry(peer).or_default().add(job);
        }
    }

    /// Sends the announcements that are not acknowledged, and asks for those of other members. Called once per digest
    /// period.
    pub(super) fn send_cancelled_jobs(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.announce_newly_orphaned();
        let is_asking = self.job_shard.has_awaited_dependencies();
        for peer in self.peers() {
            self.repeat_orphans_to_new_process(peer);
            if self.is_known_older(peer, CANCELLED_JOBS_FORMAT_VERSION) {
                self.job_shard.exempt_from_evidence(peer);
            }
            if !self.can_read_format(peer, CANCELLED_JOBS_FORMAT_VERSION) {
                continue;
            }
            let Some(announcements) = self.cancelled_jobs.peers.get(&peer) else { continue };
            // A newer list replaces one that is still queued, so an empty one must not follow another.
            let jobs: Vec<String> = announcements.unacknowledged.iter().cloned().collect();
            if is_asking || !jobs.is_empty() {
                self.send(now, peer, Message::CancelledJobs(jobs), out);
            }
        }
        self.job_shard.refresh_cancellation_evidence(now);
    }

    fn announce_newly_orphaned(&mut self) {
        for job in self.job_shard.take_newly_orphaned() {
            self.announce_cancelled_job(&job);
        }
    }

    /// Answers a member that asks whether there is anything to announce, if there is certainly nothing. What this
    /// controller has announced must be acknowledged, and it must know which of its jobs were cancelled with others.
    fn answer_without_announcements(&mut self, now: Micros, peer: usize, out: &mut Vec<Effect>) {
        self.announce_newly_orphaned();
        self.repeat_orphans_to_new_process(peer);
        let announcements = self.cancelled_jobs.peers.get(&peer);
        if self.is_active_member()
            && self.membership.is_leader(now)
            && self.job_shard.has_looked_for_outcomes()
            && announcements.is_some_and(PeerAnnouncements::are_all_acknowledged)
        {
            self.send(now, peer, Message::CancelledJobsAck(Vec::new()), out);
        }
    }

    /// A peer's new process finds in the store which ends are on record, but not which other jobs can only be
    /// cancelled.
    fn repeat_orphans_to_new_process(&mut self, peer: usize) {
        let boot = self.peer_traffic.links[peer].last_clock.boot;
        let announcements = self.cancelled_jobs.peers.entry(peer).or_default();
        if announcements.boot == boot {
            return;
        }
        announcements.boot = boot;
        announcements.has_dropped = false;
        for job in self.job_shard.orphans() {
            announcements.add(job);
        }
    }

    /// Applies a peer's announcements and acknowledges them, or answers its question whether there are any here.
    pub(super) fn apply_cancelled_jobs(
        &mut self,
        now: Micros,
        from: usize,
        jobs: Vec<String>,
        is_same_epoch: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(first) = jobs.first() else {
            if is_same_epoch {
                self.answer_without_announcements(now, from, out);
            }
            return;
        };
        tracing::debug!(from, jobs = jobs.len(), first, "cancellations announced by a peer");
        for job in &jobs {
            self.job_shard.apply_cancelled_dependency(job);
        }
        self.send(now, from, Message::CancelledJobsAck(jobs), out);
    }

    /// Applies a peer's acknowledgement, or its answer that it has nothing to announce. `echo` is the reading of our clock
    /// that the peer echoes, if it is in our epoch.
    pub(super) fn apply_cancelled_jobs_ack(
        &mut self,
        now: Micros,
        from: usize,
        jobs: &[String],
        echo: Option<Micros>,
    ) {
        match echo {
            Some(echo) if jobs.is_empty() => self.job_shard.note_nothing_to_announce(now, from, echo),
            _ => self.cancelled_jobs.apply_acknowledgement(from, jobs),
        }
    }
}

#[cfg(test)]
mod tests;
