//! Operators' requests about releases and batches, and why a job waits. Any controller answers, from the records
//! themselves, by conditional changes.

use super::coordination::OperatorRequest;
use super::*;
use crate::wire::users;

/// A release: its title, and the night on which it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseSelector {
    /// The title.
    pub title: String,
    /// The night, YYYY-MM-DD; None: the latest that is on record.
    pub night: Option<String>,
}

/// What an operator asks about releases or batches, its syntax checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// List all releases.
    ListReleases,
    /// Show one release.
    ShowRelease(ReleaseSelector),
    /// Close a release: no job joins it any more.
    CloseRelease(ReleaseSelector),
    /// Open one again that was closed.
    ReopenRelease(ReleaseSelector),
    /// Let a rotation do without a job.
    Waive {
        /// The release.
        release: ReleaseSelector,
        /// The job, or `missing`: the renders that are missing.
        job: String,
        /// Why. It is kept on record.
        reason: String,
    },
    /// List all batches.
    ListBatches,
    /// Show one batch.
    ShowBatch {
        /// Its name.
        name: String,
    },
    /// Put a batch's version on record.
    PutBatch {
        /// Its name.
        name: String,
        /// The version. It only rises.
        version: u64,
    },
}

/// A request that can't be answered for so long is given up.
const PATIENCE: Micros = Micros::from_millis(8000);
/// Requests under way at the most.
const MOST: usize = 50;

impl Controller {
    /// An operator's request has come.
    pub(super) fn operator(
        &mut self,
        now: Micros,
        ticket: u64,
        request: OperatorCommand,
        out: &mut Vec<Effect>,
    ) {
        if self.coordination.operating.len() >= MOST {
            return out.push(Effect::Reply { ticket, reply: Reply::retry_later("overloaded") });
        }
        self.coordination.operating.push(OperatorRequest { ticket, request, began: now });
        self.operate(now, out);
    }

    /// Goes on with requests that wait for a record.
    pub(super) fn operate(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for o in std::mem::take(&mut self.coordination.operating) {
            let reply = if !self.membership.is_leader(now) {
                Some(Reply::retry_later("not able to act"))
            } else if now.since(o.began) >= PATIENCE {
                Some(Reply::retry_later("the records could not be read or changed in time"))
            } else {
                match o.request {
                    OperatorCommand::ListBatches
                    | OperatorCommand::ShowBatch { .. }
                    | OperatorCommand::PutBatch { .. } => self.batch_request(now, &o, out),
                    _ => self.release_request(now, &o, out),
                }
            };
            match reply {
                Some(r) => out.push(Effect::Reply { ticket: o.ticket, reply: r }),
                // A change under way answers when it is on record.
                None if self.coordination.replying.remove(&o.ticket) => {}
                None => self.coordination.operating.push(o),
            }
        }
    }

    /// Why a job of ours waits.
    pub(super) fn why(&self, id: &str) -> Option<Reply> {
        let job = self.job_shard.jobs.get(id)?;
        let prerequisites: Vec<&str> = job.unfinished_dependencies().collect();
        let state = self.job_shard.user_status(id).map_or(users::PENDING, |status| status.0);
        let held = job.hold().map(|hold| hold.reason());
        Some(Reply::json(200, &users::waiting_body(id, state, &prerequisites, held)))
    }
}
