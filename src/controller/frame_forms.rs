//! Which form of frames and records each controller reads, so that none is sent what it would drop or misread.
//!
//! [`FrameForms`] owns what the member keys say. Controllers of several versions run side by side during an upgrade.

use super::*;

/// The newest form that this version reads; it says so in its member key. Version 1 says nothing. Form 2 adds jobs that
/// follow others, form 3 hand-off and replicated starts, form 4 releases, batches and loans.
pub(super) const NEWEST: u64 = 4;
/// The form from which on jobs may follow others; `Message::InheritedPriorities` came with it.
const DEPENDENCIES_FORM: u64 = 2;
/// The form from which on jobs may name releases and batches.
pub(super) const COORDINATION_FORM: u64 = 4;
/// Says which form every controller has read at one time, so that one that is merely away need not
/// be waited for. It lies among the member keys, which are read anyway; the first version skips it,
/// since it is no member's name.
const FORMS_KEY: &str = "ring/m/*";

/// The form that a process reads, by its member key.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessForm {
    boot: u64,
    /// 0: the controller has no member key.
    form: u64,
}

/// What the member keys say.
#[derive(Default)]
pub(super) struct FrameForms {
    /// By controller.
    processes: Vec<ProcessForm>,
    /// The newest form that all have read at one time, by the record of that.
    all_once: u64,
    recording: bool,
}

impl FrameForms {
    fn all_read(&self, least: u64) -> bool {
        self.all_once >= least && self.processes.iter().all(|p| p.form == 0 || p.form >= least)
    }
}

fn form_of(row: &KeyValue) -> u64 {
    row.value.get("reads").and_then(Value::as_u64).unwrap_or(1)
}

impl Controller {
    /// Takes note of the forms that controllers read, from the member keys.
    pub(super) fn note_forms(&mut self, rows: &[KeyValue], out: &mut Vec<Effect>) {
        let members = &self.settings.members;
        let forms = &mut self.frame_forms;
        forms.processes = vec![ProcessForm::default(); members.len()];
        let mut store_version = 0;
        for row in rows {
            let form = form_of(row);
            if row.key == FORMS_KEY {
                forms.all_once = forms.all_once.max(form);
                store_version = row.store_version;
            }
            let name = row.key.strip_prefix("ring/m/");
            let number = name.and_then(|name| members.iter().position(|member| member == name));
            if let (Some(number), Some(boot)) = (number, row.value.get("boot").and_then(Value::as_u64)) {
                forms.processes[number] = ProcessForm { boot, form };
                self.start_replica.note_form(boot, form);
            }
        }
        let all = forms.processes.iter().map(|process| process.form).min().unwrap_or(0).min(NEWEST);
        if forms.all_once < all && !forms.recording && all >= DEPENDENCIES_FORM {
            forms.recording = true;
            tracing::info!(form = all, "every controller reads the new form");
            self.record_form(all, store_version, out);
        }
    }

    fn record_form(&mut self, form: u64, store_version: u64, out: &mut Vec<Effect>) {
        // Guards against one that is carried out late: an older form would stand for a newer one.
        let transaction = Transaction {
            conditions: vec![(FORMS_KEY.into(), store_version)],
            puts: vec![(FORMS_KEY.into(), json!({ "reads": form }), None)],
            ..Transaction::default()
        };
        let pending = PendingStoreRequest::RecordFrameForm { form };
        self.ask_store(pending, StoreRequest::Transaction(transaction), out);
    }

    pub(super) fn apply_recorded_form(&mut self, form: u64, committed: bool) {
        self.frame_forms.recording = false;
        if committed {
            self.frame_forms.all_once = self.frame_forms.all_once.max(form);
        }
    }

    /// Whether jobs that wait for others may be taken: no controller of the first version is there, and
    /// none has yet to be replaced. One would run such a job at once, or take it without its list.
    pub(super) fn takes_dependencies(&self) -> bool {
        self.frame_forms.all_read(DEPENDENCIES_FORM)
    }

    /// The same for jobs that name a release or a batch: an older controller would take one without what binds it.
    pub(super) fn takes_coordination(&self) -> bool {
        self.frame_forms.all_read(COORDINATION_FORM)
    }

    /// Why a job can't be taken yet, if an older controller is in the ring.
    pub(super) fn why_it_must_wait_for_upgrade(&self, spec: &JobSpec) -> Option<Reply> {
        if spec.has_coordination_record() && !self.takes_coordination() {
            return Some(Reply::retry_later("not every controller knows of releases and batches yet"));
        }
        (!spec.dependencies.is_empty() && !self.takes_dependencies())
            .then(|| Reply::retry_later("not every controller can run jobs that follow others yet"))
    }

    /// Whether the process behind a peer's link reads this form: its member key says so, and its frames
    /// come from that process. One that was restarted as an older version has another number.
    pub(super) fn reads(&self, peer: usize, least: u64) -> bool {
        peer == self.settings.me
            || self.frame_forms.processes.get(peer).is_some_and(|process| {
                let heard = self.peer_traffic.links.get(peer).map(|link| link.heard.boot);
                process.form >= least && heard == Some(process.boot)
            })
    }

    /// Whether it reads of jobs that follow others.
    pub(super) fn reads_dependencies(&self, peer: usize) -> bool {
        self.reads(peer, DEPENDENCIES_FORM)
    }
}
