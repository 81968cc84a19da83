//! Why a controller refuses a user's request for the time being (status 503).

use std::fmt;

/// The reason of a refusal. `docs/silences.md` has a row for each: what sets it, what clears it, also if that event is
/// lost, and the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// This process has not learned of any ring yet.
    NoRing,
    /// This controller leads the job but can't answer for it yet.
    TakingOver,
    /// The job's leader does not answer, and its record can't be used instead.
    LeaderSilent,
    /// The controllers disagree about the job's leader.
    JobMoved,
    /// A new epoch was adopted while the request waited.
    RingChanged,
    /// Leadership was lost between the decision and the answer.
    LeadershipLost,
    /// This controller may not write.
    NotLeader,
    /// This process was told to end.
    Leaving,
    /// A budget of requests or writes is used up, or too many requests wait.
    Overloaded,
    /// The job's record is being written for the first time.
    BeingAccepted,
    /// A lookup of the job's record failed, or the record has an unknown format.
    RecordUnreadable,
    /// The write that accepts the job failed, or its result is unknown.
    NotOnRecord,
    /// The write of the job's final record failed, or its result is unknown.
    EndNotOnRecord,
    /// The job follows a cancelled one, and its own final record is not written yet.
    EndPending,
    /// Whether a job that it follows is cancelled has not been read yet.
    DependencyUnread,
    /// A job that it follows may have been cancelled: some other member of the epoch has not denied it for some time.
    DependencyUncertain,
    /// Not all jobs that a submission follows have been looked up.
    DependenciesToLookUp,
    /// A job that a submission follows could not be looked up.
    DependencyUnreadable,
    /// The machine types are not known yet.
    MachineTypesUnknown,
    /// The machine types changed while the submission was looked up.
    MachineTypesChanged,
    /// An older controller can't read such a request.
    UnreadableByPeer,
    /// An older controller would accept the job without the jobs that it follows.
    DependenciesUnsupported,
    /// An older controller would accept the job without its release or batch.
    CoordinationUnsupported,
    /// A release's or a batch's record could not be read or changed in time.
    CoordinationRecordBusy,
    /// The record of the batch that a submission names has an unknown format.
    BatchUnreadable,
    /// A batch's record could not be read or changed in time for a write permit.
    PermitRecordBusy,
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Refusal; 26] = [
        Refusal::NoRing,
        Refusal::TakingOver,
        Refusal::LeaderSilent,
        Refusal::JobMoved,
        Refusal::RingChanged,
        Refusal::LeadershipLost,
        Refusal::NotLeader,
        Refusal::Leaving,
        Refusal::Overloaded,
        Refusal::BeingAccepted,
        Refusal::RecordUnreadable,
        Refusal::NotOnRecord,
        Refusal::EndNotOnRecord,
        Refusal::EndPending,
        Refusal::DependencyUnread,
        Refusal::DependencyUncertain,
        Refusal::DependenciesToLookUp,
        Refusal::DependencyUnreadable,
        Refusal::MachineTypesUnknown,
        Refusal::MachineTypesChanged,
        Refusal::UnreadableByPeer,
        Refusal::DependenciesUnsupported,
        Refusal::CoordinationUnsupported,
        Refusal::CoordinationRecordBusy,
        Refusal::BatchUnreadable,
        Refusal::PermitRecordBusy,
    ];

    /// The reason as users read it.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Refusal::NoRing => "no ring yet",
            Refusal::TakingOver => "taking over",
            Refusal::LeaderSilent => "the job's owner does not answer",
            Refusal::JobMoved => "the job has moved",
            Refusal::RingChanged => "the ring has changed",
            Refusal::LeadershipLost => "not entitled to act any more",
            Refusal::NotLeader => "not able to act",
            Refusal::Leaving => "this controller is leaving",
            Refusal::Overloaded => "overloaded",
            Refusal::BeingAccepted => "being accepted",
            Refusal::RecordUnreadable => "the job's record could not be read",
            Refusal::NotOnRecord => "the job could not be put on record",
            Refusal::EndNotOnRecord => "the job's end could not be put on record",
            Refusal::EndPending => "a job that it follows is cancelled, and its own end is not on record yet",
            Refusal::DependencyUnread => "whether a job that it follows is cancelled has not been read yet",
            Refusal::DependencyUncertain => "whether a job that it follows is cancelled can't be known now",
            Refusal::DependenciesToLookUp => "some of the jobs that it follows are still to be looked up",
            Refusal::DependencyUnreadable => "a job that it follows could not be read",
            Refusal::MachineTypesUnknown => "machine types are not known yet",
            Refusal::MachineTypesChanged => "machine types have changed",
            Refusal::UnreadableByPeer => "not every controller can run such jobs yet",
            Refusal::DependenciesUnsupported => "not every controller can run jobs that follow others yet",
            Refusal::CoordinationUnsupported => "not every controller knows of releases and batches yet",
            Refusal::CoordinationRecordBusy => "a record that it names could not be read or changed in time",
            Refusal::BatchUnreadable => "the record of its batch can't be read",
            Refusal::PermitRecordBusy => "the batch's record could not be read or changed in time",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.text())
    }
}
