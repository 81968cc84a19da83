//! Operators' requests about releases and batches, and users' requests why a job waits. Any controller
//! answers them from the stored records and changes those by compare-and-swap.

use super::coordination::OperatorRequest;
use super::*;
use crate::wire::users;

/// A release: its title, and the night on which it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseSelector {
    /// The title.
    pub title: String,
    /// The night, YYYY-MM-DD; None selects the latest stored one.
    pub night: Option<String>,
}

/// An operator's request about releases or batches whose syntax has been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// List all releases.
    ListReleases,
    /// Show one release.
    ShowRelease(ReleaseSelector),
    /// Close a release: no further job may join it.
    CloseRelease(ReleaseSelector),
    /// Reopen a closed release.
    ReopenRelease(ReleaseSelector),
    /// Allow a rotation to start without a job.
    Waive {
        /// The release.
        release: ReleaseSelector,
        /// The job, or `missing` for the declared renders that are missing.
        job: String,
        /// The reason, which is stored.
        reason: String,
    },
    /// List all batches.
    ListBatches,
    /// Show one batch.
    ShowBatch {
        /// The batch's name.
        name: String,
    },
    /// Store a new version of a batch.
    PutBatch {
        /// The batch's name.
        name: String,
        /// The version. Versions never decrease.
        version: u64,
    },
}

/// A request that could not be answered for this long is answered with an error.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(8000);
/// Maximum number of pending requests.
const MAX_PENDING_REQUESTS: usize = 50;

impl Controller {
    /// Handles a new operator request.
    pub(super) fn handle_operator_request(
        &mut self,
        now: Micros,
        ticket: u64,
        request: OperatorCommand,
        out: &mut Vec<Effect>,
    ) {
        if self.coordination.operator_requests.len() >= MAX_PENDING_REQUESTS {
            return out.push(Effect::Reply { ticket, reply: Reply::retry_later("overloaded") });
        }
        self.coordination.operator_requests.push(OperatorRequest {
            ticket,
            command: request,
            received_at: now,
        });
        self.continue_operator_requests(now, out);
    }

    /// Continues requests that wait for a record.
    pub(super) fn continue_operator_requests(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for request in std::mem::take(&mut self.coordination.operator_requests) {
            let reply = if !self.membership.is_leader(now) {
                Some(Reply::retry_later("not able to act"))
            } else if now.since(request.received_at) >= REQUEST_TIMEOUT {
                Some(Reply::retry_later("the records could not be read or changed in time"))
            } else {
                match request.command {
                    OperatorCommand::ListBatches
                    | OperatorCommand::ShowBatch { .. }
                    | OperatorCommand::PutBatch { .. } => self.answer_batch_request(now, &request, out),
                    _ => self.answer_release_request(now, &request, out),
                }
            };
            match reply {
                Some(reply) => out.push(Effect::Reply { ticket: request.ticket, reply }),
                // The pending change sends the answer once it is stored.
                None if self.coordination.answered_by_change.remove(&request.ticket) => {}
                None => self.coordination.operator_requests.push(request),
            }
        }
    }

    /// Explains why a job led by this controller waits.
    pub(super) fn explain_wait(&self, id: &str) -> Option<Reply> {
        let job = self.job_shard.jobs.get(id)?;
        let prerequisites: Vec<&str> = job.unfinished_dependencies().collect();
        let state = self.job_shard.user_status(id).map_or(users::PENDING, |status| status.0);
        let reason = job.hold().map(|hold| hold.reason());
        Some(Reply::json(200, &users::waiting_body(id, state, &prerequisites, reason)))
    }
}
