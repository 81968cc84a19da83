//! Which format version each controller reads, so that no controller is sent frames or jobs that it would
//! drop or misread.
//!
//! [`FormatVersions`] owns the versions listed in the member keys. Controllers of several versions run side
//! by side during an upgrade.

use super::*;

/// The newest format version that this build reads and that its member key lists. Builds of version 1 list
/// none. Version 2 adds jobs that follow others, version 3 hand-off and replicated starts, version 4
/// releases, batches and loans, version 5 quota records of several pages, version 6 announcements of
/// cancelled jobs.
pub(super) const CURRENT_FORMAT_VERSION: u64 = 6;
/// The first version in which jobs may follow others; it added `Message::InheritedPriorities`.
const DEPENDENCIES_FORMAT_VERSION: u64 = 2;
/// The first version in which jobs may name releases and batches.
pub(super) const COORDINATION_FORMAT_VERSION: u64 = 4;
/// The first version that reads quota records of several pages.
const QUOTA_PAGES_FORMAT_VERSION: u64 = 5;
/// The first version that reads `Message::CancelledJobs`.
pub(super) const CANCELLED_JOBS_FORMAT_VERSION: u64 = 6;
/// Key of the newest version that all controllers have read at the same time, so that a controller that is
/// merely absent need not be waited for. The key is listed together with the member keys; builds of version 1
/// skip it because it is no member's name.
const CLUSTER_FORMAT_KEY: &str = "ring/m/*";

/// The format version of a process, from its member key.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessFormat {
    boot: u64,
    /// 0 if the controller has no member key.
    version: u64,
}

/// The format versions from the member keys.
#[derive(Default)]
pub(super) struct FormatVersions {
    /// By controller number.
    processes: Vec<ProcessFormat>,
    /// The newest version that all controllers have read at the same time, from its own record.
    cluster_version: u64,
    is_recording: bool,
}

impl FormatVersions {
    fn is_supported_by_all(&self, version: u64) -> bool {
        self.cluster_version >= version
            && self.processes.iter().all(|process| process.version == 0 || process.version >= version)
    }
}

fn format_version_of(row: &KeyValue) -> u64 {
    row.value.get("reads").and_then(Value::as_u64).unwrap_or(1)
}

impl Controller {
    /// Records the format versions listed in the member keys.
    pub(super) fn note_format_versions(&mut self, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let members = &self.settings.members;
        let versions = &mut self.format_versions;
        versions.processes = vec![ProcessFormat::default(); members.len()];
        let mut store_version = 0;
        for row in rows {
            let version = format_version_of(row);
            if row.key == CLUSTER_FORMAT_KEY {
                versions.cluster_version = versions.cluster_version.max(version);
                store_version = row.store_version;
            }
            let name = row.key.strip_prefix("ring/m/");
            let number = name.and_then(|name| members.iter().position(|member| member == name));
            if let (Some(number), Some(boot)) = (number, row.value.get("boot").and_then(Value::as_u64)) {
                versions.processes[number] = ProcessFormat { boot, version };
                self.start_replica.note_format_version(boot, version);
            }
        }
        let supported_by_all = versions
            .processes
            .iter()
            .map(|process| process.version)
            .min()
            .unwrap_or(0)
            .min(CURRENT_FORMAT_VERSION);
        if versions.cluster_version < supported_by_all
            && !versions.is_recording
            && supported_by_all >= DEPENDENCIES_FORMAT_VERSION
        {
            versions.is_recording = true;
            tracing::info!(form = supported_by_all, "every controller reads the new format version");
            self.record_cluster_format(supported_by_all, store_version, out);
        }
    }

    fn record_cluster_format(&mut self, version: u64, store_version: u64, out: &mut Vec<Effect>) {
        // The condition keeps a late transaction from replacing a newer version by an older one.
        let transaction = Transaction {
            conditions: vec![(CLUSTER_FORMAT_KEY.into(), store_version)],
            puts: vec![(CLUSTER_FORMAT_KEY.into(), json!({ "reads": version }), None)],
            ..Transaction::default()
        };
        let pending = PendingStoreRequest::RecordClusterFormat { version };
        self.send_store_request(pending, StoreRequest::Transaction(transaction), out);
    }

    pub(super) fn apply_recorded_cluster_format(&mut self, version: u64, committed: bool) {
        self.format_versions.is_recording = false;
        if committed {
            self.format_versions.cluster_version = self.format_versions.cluster_version.max(version);
        }
    }

    /// Whether jobs that follow others may be accepted: no controller of version 1 is present, and none has
    /// yet to be upgraded. Such a controller would run the job at once, or accept it without its
    /// dependencies.
    pub(super) fn can_accept_dependencies(&self) -> bool {
        self.format_versions.is_supported_by_all(DEPENDENCIES_FORMAT_VERSION)
    }

    /// Whether jobs that name a release or a batch may be accepted: an older controller would accept them
    /// without these constraints.
    pub(super) fn can_accept_coordination(&self) -> bool {
        self.format_versions.is_supported_by_all(COORDINATION_FORMAT_VERSION)
    }

    /// Whether a quota record may get a second page: an older controller could not read the record then, and would start
    /// nothing for the team.
    pub(super) fn can_page_quota(&self) -> bool {
        self.format_versions.is_supported_by_all(QUOTA_PAGES_FORMAT_VERSION)
    }

    /// The reason why a job can't be accepted yet, if an older controller is in the ring.
    pub(super) fn upgrade_rejection(&self, spec: &JobSpec) -> Option<Reply> {
        if spec.has_coordination_record() && !self.can_accept_coordination() {
            return Some(Reply::refuse(Refusal::CoordinationUnsupported));
        }
        (!spec.dependencies.is_empty() && !self.can_accept_dependencies())
            .then(|| Reply::refuse(Refusal::DependenciesUnsupported))
    }

    /// Whether a peer's current process reads this version: the version is listed in its member key, and its
    /// frames come from that process. A peer that was restarted with an older build has a different boot ID.
    pub(super) fn can_read_format(&self, peer: usize, version: u64) -> bool {
        peer == self.settings.me
            || self.format_versions.processes.get(peer).is_some_and(|process| {
                let boot = self.peer_traffic.links.get(peer).map(|link| link.last_clock.boot);
                process.version >= version && boot == Some(process.boot)
            })
    }

    /// Whether a peer is known to run a build that does not read this version.
    pub(super) fn is_known_older(&self, peer: usize, version: u64) -> bool {
        let process = self.format_versions.processes.get(peer);
        process.is_some_and(|process| process.version > 0 && process.version < version)
    }

    /// Whether a peer reads jobs that follow others.
    pub(super) fn can_read_dependencies(&self, peer: usize) -> bool {
        self.can_read_format(peer, DEPENDENCIES_FORMAT_VERSION)
    }
}
