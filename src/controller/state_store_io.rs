//! What is read from and written to the state service, within its limits.

use super::*;

impl Controller {
    /// Every change carries this condition: a controller that has been deposed can't write, not
    /// even by a transaction that is applied late.
    pub(super) fn fence(&self) -> (String, u64) {
        (EPOCH_KEY.into(), self.membership.store_version)
    }

    pub(super) fn ask_store(&mut self, p: PendingStoreRequest, r: StoreRequest, out: &mut Vec<Effect>) {
        let id = self.fresh_id();
        let ring = matches!(
            p,
            PendingStoreRequest::Grant
                | PendingStoreRequest::ReadOwn
                | PendingStoreRequest::Register
                | PendingStoreRequest::ReadEpoch(_)
                | PendingStoreRequest::ReadMembers(_)
                | PendingStoreRequest::Raise(_)
                | PendingStoreRequest::Renew(_)
        );
        self.in_flight.insert(id, p);
        out.push(Effect::Store(id, r, ring));
    }

    pub(super) fn load_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.load == Load::Done || self.load_busy || now < self.load_retry || self.membership.epoch == 0 {
            return;
        }
        if !self.requests.take(now, 1.0, 0.0) {
            return;
        }
        self.load_busy = true;
        let e = self.membership.epoch;
        let (purpose, prefix) = match self.load {
            Load::Jobs => (PendingStoreRequest::LoadJobs(e), "job/"),
            Load::Machines => (PendingStoreRequest::LoadMachines(e), machine_registry::PREFIX),
            Load::QuotaLedger => (PendingStoreRequest::LoadTeams(e), "team/"),
            _ => (PendingStoreRequest::LoadUnwitnessed(e), start_replica::PREFIX),
        };
        let r = StoreRequest::List(prefix.into(), self.load_after.clone());
        self.ask_store(purpose, r, out);
    }

    pub(super) fn loaded_page(&mut self, now: Micros, part: Load, rows: Vec<KeyValue>, more: bool) {
        if let Some(last) = rows.last() {
            self.load_after = last.key.clone();
        }
        for row in rows {
            match part {
                Load::Jobs => {
                    self.take_job_row(row);
                }
                Load::Machines => {
                    let Ok(list) = machine_registry::read_page(&row.value) else {
                        tracing::error!(key = %row.key, "unreadable page of machines");
                        continue;
                    };
                    self.machine_registry.apply_page(&row.key, &list, row.store_version);
                    for (name, r) in list {
                        if self.membership.machine_leader(&name) == Some(self.settings.me) {
                            self.machine_shard.recorded(now, &name, r);
                        }
                        self.machines_on_record.push(name);
                    }
                }
                Load::QuotaLedger => {
                    if let Some(team) = row.key.strip_prefix("team/") {
                        self.quota.apply_record(team, Some((&row.value, row.store_version)));
                    }
                }
                _ => self.unwitnessed_on_record(&row),
            }
        }
        if more {
            return;
        }
        self.load_after.clear();
        self.load = match part {
            Load::Jobs => Load::Machines,
            Load::Machines => Load::QuotaLedger,
            Load::QuotaLedger => Load::Unwitnessed,
            _ => Load::Done,
        };
        if self.load == Load::Done {
            let names = std::mem::take(&mut self.machines_on_record);
            self.job_shard.load_done(names.into_iter());
            let (jobs, ..) = self.job_shard.counts();
            tracing::info!(
                epoch = self.membership.epoch,
                jobs,
                machines = self.job_shard.unheard(),
                "records read"
            );
            self.unpack(now);
        }
    }

    /// Takes a job's record; false if it can't be read, in which case nothing may be said of the job.
    pub(super) fn take_job_row(&mut self, row: KeyValue) -> bool {
        let Some(id) = row.key.strip_prefix("job/") else { return false };
        if self.membership.job_leader(id) != Some(self.settings.me) {
            return true;
        }
        match JobShard::read_record(&row.value) {
            Some((raw, spec, accepted, done)) if spec.id == id => {
                // Of one that we know the latest write may be our own, and says nothing of what it had before us.
                let unknown = !self.job_shard.jobs.contains_key(id);
                self.job_shard.insert(raw, spec, accepted, done, row.store_version, false);
                if unknown
                    && self.job_shard.jobs.contains_key(id)
                    && row.store_version > self.membership.store_version
                {
                    self.job_shard.maybe_new(self.last_round, id);
                }
                true
            }
            _ => {
                tracing::error!(job = id, "unreadable job record");
                false
            }
        }
    }

    pub(super) fn stored(
        &mut self,
        now: Micros,
        p: PendingStoreRequest,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        if let StoreAnswer::Conflict(keys) = &a
            && keys.iter().any(|k| k == EPOCH_KEY)
        {
            self.next_ring = now;
        }
        if a == StoreAnswer::Refused {
            // Over its limits or out of order: a pause costs less than more refusals.
            self.store_pause = now + Micros::from_millis(200);
        }
        match p {
            PendingStoreRequest::Grant
            | PendingStoreRequest::Register
            | PendingStoreRequest::ReadOwn
            | PendingStoreRequest::ReadEpoch(_)
            | PendingStoreRequest::ReadMembers(_)
            | PendingStoreRequest::Raise(_)
            | PendingStoreRequest::Renew(_) => {
                self.ring_answer(now, p, a, out);
            }
            PendingStoreRequest::LoadJobs(e)
            | PendingStoreRequest::LoadMachines(e)
            | PendingStoreRequest::LoadTeams(e)
            | PendingStoreRequest::LoadUnwitnessed(e) => {
                if e != self.membership.epoch {
                    return;
                }
                self.load_busy = false;
                let part = match p {
                    PendingStoreRequest::LoadJobs(_) => Load::Jobs,
                    PendingStoreRequest::LoadMachines(_) => Load::Machines,
                    PendingStoreRequest::LoadTeams(_) => Load::QuotaLedger,
                    _ => Load::Unwitnessed,
                };
                match a {
                    StoreAnswer::Page(rows, more) => self.loaded_page(now, part, rows, more),
                    _ => self.load_retry = now + Micros::from_millis(300),
                }
            }
            PendingStoreRequest::Unwitnessed(e) => {
                self.unwitnessed(now, e, matches!(a, StoreAnswer::Committed(_)))
            }
            PendingStoreRequest::Peek(id, from) => self.peeked(now, id, from, a, out),
            PendingStoreRequest::NoteForms(form) => {
                self.forms_noted(form, matches!(a, StoreAnswer::Committed(_)))
            }
            PendingStoreRequest::Pact(p) => self.pact_answer(now, p, a, out),
            PendingStoreRequest::Fresh(p) => self.fresh_answer(now, p, a, out),
            PendingStoreRequest::Revision | PendingStoreRequest::Watch => self.watched(now, a),
            PendingStoreRequest::ReadEnd(id) => self.prerequisite_read(now, &id, a),
            PendingStoreRequest::Check(id, p) => self.checked(now, id, p, a, false, out),
            PendingStoreRequest::CheckEnd(id, p) => self.checked(now, id, p, a, true, out),
            PendingStoreRequest::Refuse(id, why) => self.refused(now, id, why, a, out),
            PendingStoreRequest::Loan(p) => self.loan_answer(now, p, a),
            PendingStoreRequest::Accept(id, epoch) => self.accepted(now, id, epoch, a, out),
            PendingStoreRequest::Record(id, w) => self.recorded(now, &id, w, a, out),
            // Guards against what was read in an earlier epoch: the job may have ended since under another owner, and would
            // live again here. Each epoch has what it keeps read anew.
            PendingStoreRequest::Verify(id, epoch) if epoch == self.membership.epoch => match a {
                StoreAnswer::Got(Some(row)) => {
                    if let Some(j) = self.job_shard.jobs.get_mut(&id) {
                        j.writing = false;
                        self.take_job_row(row);
                    }
                }
                StoreAnswer::Got(None) => {
                    let purpose = PendingStoreRequest::VerifyEnd(id.clone(), epoch);
                    self.ask_store(purpose, StoreRequest::Get(format!("done/{id}")), out);
                }
                _ => self.job_shard.write_failed(now, &id, false),
            },
            PendingStoreRequest::VerifyEnd(id, epoch) if epoch == self.membership.epoch => match a {
                StoreAnswer::Got(Some(row)) => match read_end(&row.value) {
                    Some((f, _)) => self.end(now, &id, f, out),
                    None => tracing::error!(job = %id, "unreadable final record"),
                },
                _ => self.job_shard.write_failed(now, &id, false),
            },
            PendingStoreRequest::Verify(..) | PendingStoreRequest::VerifyEnd(..) => {}
            // Guards against the answer to an earlier reading of the same job, which is older than those who wait now.
            PendingStoreRequest::Lookup(id, number) | PendingStoreRequest::LookupEnd(id, number)
                if self.lookups.get(&id).is_none_or(|l| l.number != number) => {}
            PendingStoreRequest::Lookup(id, number) => match a {
                StoreAnswer::Got(Some(row)) => {
                    let read = self.take_job_row(row);
                    self.looked_up(now, &id, read, out);
                }
                StoreAnswer::Got(None) => {
                    let purpose = PendingStoreRequest::LookupEnd(id.clone(), number);
                    self.ask_store(purpose, StoreRequest::Get(format!("done/{id}")), out);
                }
                _ => self.looked_up(now, &id, false, out),
            },
            PendingStoreRequest::LookupEnd(id, _) => match a {
                StoreAnswer::Got(row) => {
                    if let Some(row) = row {
                        match read_end(&row.value) {
                            Some((f, done)) => self.job_shard.remember_final(&id, f, done),
                            None => {
                                tracing::error!(job = %id, "unreadable final record");
                                return self.looked_up(now, &id, false, out);
                            }
                        }
                    }
                    self.looked_up(now, &id, true, out);
                }
                _ => self.looked_up(now, &id, false, out),
            },
            PendingStoreRequest::MachineRegistry(epoch, w) if epoch == self.membership.epoch => match a {
                StoreAnswer::Committed(store_version) => {
                    self.machine_registry.commit_write(&w, store_version);
                    for n in &w.names {
                        self.machine_shard.on_record(n);
                    }
                }
                a => self.machine_registry.fail_write(w.page, a == StoreAnswer::Refused),
            },
            PendingStoreRequest::ReadPage(epoch, page) if epoch == self.membership.epoch => {
                let read = match &a {
                    StoreAnswer::Got(None) => Some((0, Vec::new())),
                    StoreAnswer::Got(Some(row)) => {
                        Some((row.store_version, machine_registry::read_page(&row.value).unwrap_or_default()))
                    }
                    _ => None,
                };
                let read = read.as_ref().map(|(store_version, rows)| (*store_version, rows.as_slice()));
                // Guards against machines that get no work for as long as no write of their page is answered.
                for n in self.machine_registry.apply_read_back(page, read) {
                    self.machine_shard.on_record(&n);
                }
            }
            // Of an epoch that has passed: the page has been read again since.
            PendingStoreRequest::MachineRegistry(..) | PendingStoreRequest::ReadPage(..) => {}
            PendingStoreRequest::Claim(w) => match a {
                StoreAnswer::Committed(store_version) => {
                    self.quota.commit_write(w, store_version);
                    self.job_shard.replan = true;
                }
                StoreAnswer::Conflict(_) | StoreAnswer::Refused => self.quota.fail_write(&w, true),
                _ => self.quota.fail_write(&w, false),
            },
            PendingStoreRequest::ReadTeam(team) => match a {
                StoreAnswer::Got(row) => {
                    self.quota.apply_record(&team, row.as_ref().map(|r| (&r.value, r.store_version)))
                }
                _ => self.quota.require_read(&team),
            },
        }
    }

    pub(super) fn recorded(
        &mut self,
        now: Micros,
        id: &str,
        w: RecordWrite,
        a: StoreAnswer,
        out: &mut Vec<Effect>,
    ) {
        match (a, w) {
            (StoreAnswer::Committed(store_version), RecordWrite::Progress(_, kept)) => {
                self.job_shard.progress_written(now, id, kept, store_version);
            }
            (StoreAnswer::Committed(_), RecordWrite::End(f, _)) => self.end(now, id, f, out),
            (a, w) => {
                self.job_shard.write_failed(now, id, a == StoreAnswer::Refused);
                if matches!(w, RecordWrite::End(..)) {
                    for o in self.withdrawing.remove(id).unwrap_or_default() {
                        self.reply(now, o, Reply::later("the job's end could not be put on record"), out);
                    }
                }
            }
        }
    }

    pub(super) fn team_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.next_team_plan || now < self.store_pause {
            return;
        }
        self.next_team_plan = now + Micros::from_millis(100);
        let needs = self.job_shard.needs(&self.quota);
        for team in self.quota.next_reads(now, &needs) {
            self.ask_store(
                PendingStoreRequest::ReadTeam(team.clone()),
                StoreRequest::Get(format!("team/{team}")),
                out,
            );
        }
        let none = Vec::new();
        for team in self.quota.team_names() {
            let m = &self.membership;
            let me = self.settings.me;
            let list = needs.get(&team).unwrap_or(&none);
            let input = AllocationInput {
                team: &team,
                needs: list,
                is_ours: &|job| m.job_leader(job) == Some(me),
                is_released: &|job| self.job_shard.released(job),
                value_bytes: self.settings.value_bytes,
            };
            let w = self.quota.next_write(now, &input);
            let Some(w) = w else { continue };
            if !self.writes.take(now, 1.0, 0.5) {
                break;
            }
            self.quota.begin_write(now, &w);
            let c = Transaction {
                conditions: vec![self.fence(), (format!("team/{team}"), w.base_version)],
                puts: vec![(format!("team/{team}"), w.value.clone(), None)],
                drops: Vec::new(),
            };
            self.ask_store(PendingStoreRequest::Claim(w), StoreRequest::Transaction(c), out);
        }
    }

    pub(super) fn record_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now < self.store_pause || self.in_flight.len() > IN_FLIGHT {
            return;
        }
        while let Some(id) = self.job_shard.next_verify() {
            if !self.requests.take(now, 2.0, 0.2) {
                break;
            }
            if let Some(j) = self.job_shard.jobs.get_mut(&id) {
                j.writing = true;
            }
            let purpose = PendingStoreRequest::Verify(id.clone(), self.membership.epoch);
            self.ask_store(purpose, StoreRequest::Get(format!("job/{id}")), out);
        }
        // The budget holds a second's worth and no more. It is kept nearly full, which costs no
        // throughput, so that a submission that comes now is not turned away.
        while self.writes.level(now) >= 0.75 && self.in_flight.len() < IN_FLIGHT {
            let Some((id, w, store_version)) = self.job_shard.next_write(now, true) else { break };
            self.writes.take(now, 2.0, 0.0);
            self.commit_record(id, w, store_version, out);
        }
        self.roll_loop(now, out);
        while self.writes.level(now) >= 0.9 && self.in_flight.len() < IN_FLIGHT {
            let Some((id, w, store_version)) = self.job_shard.next_write(now, false) else { break };
            self.writes.take(now, 1.0, 0.0);
            self.commit_record(id, w, store_version, out);
        }
    }

    /// Keeps our pages of the roll of machines.
    pub(super) fn roll_loop(&mut self, now: Micros, out: &mut Vec<Effect>) {
        for (name, r) in self.machine_shard.to_record() {
            self.machine_registry.register(&name, &r);
        }
        if now >= self.next_prune {
            self.next_prune = now + Micros::from_millis(5000);
            let (home, owner, m) = (&self.machine_shard, &self.job_shard, &self.membership);
            self.machine_registry.remove_gone(|n| match home.is_gone(n) {
                Some(gone) => gone,
                None => m.machine_leader(n) != Some(m.me) && owner.gone(n, m),
            });
            let acked: Vec<u64> = self.membership.members.iter().map(|&p| self.acked[p]).collect();
            self.machine_shard.drop_gone(&acked);
        }
        let epoch = self.membership.epoch;
        while let Some((page, key)) = self.machine_registry.next_read() {
            self.ask_store(PendingStoreRequest::ReadPage(epoch, page), StoreRequest::Get(key), out);
        }
        while self.writes.level(now) >= 0.5 && self.in_flight.len() < IN_FLIGHT {
            let spare = self.writes.level(now) >= 0.9;
            let Some(w) = self.machine_registry.next_write(spare) else { break };
            self.writes.take(now, 1.0, 0.0);
            let mut c = Transaction {
                conditions: vec![self.fence(), (w.key.clone(), w.base_version)],
                ..Transaction::default()
            };
            match &w.value {
                Some(v) => c.puts.push((w.key.clone(), v.clone(), None)),
                None => c.drops.push(w.key.clone()),
            }
            self.ask_store(PendingStoreRequest::MachineRegistry(epoch, w), StoreRequest::Transaction(c), out);
        }
    }

    pub(super) fn commit_record(
        &mut self,
        id: String,
        w: RecordWrite,
        store_version: u64,
        out: &mut Vec<Effect>,
    ) {
        // The record's own version keeps a late transaction from bringing back an older state.
        let mut c = Transaction {
            conditions: vec![self.fence(), (format!("job/{id}"), store_version)],
            ..Transaction::default()
        };
        match &w {
            RecordWrite::Progress(v, _) => c.puts.push((format!("job/{id}"), v.clone(), None)),
            RecordWrite::End(_, v) => {
                c.puts.push((format!("done/{id}"), v.clone(), None));
                c.drops.push(format!("job/{id}"));
            }
        }
        self.ask_store(PendingStoreRequest::Record(id, w), StoreRequest::Transaction(c), out);
    }
}
