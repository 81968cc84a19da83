//! Model check of the stale-input guard: explores all interleavings of a small model that makes its decisions by the code
//! of the crate.
//!
//! Two merges of one batch depend on run `s` of version 1. Version 2 may be recorded at any time; run `n` of version 2 ends
//! some time after that. Machines fail, the leader changes once, writes are lost or delayed, and permit requests are
//! delayed. Checked invariants: no permit is granted on a stale run, each newer version lists every write under way,
//! fencing tokens rise, no request is rejected wrongly, no write is stopped, no leader starts a merge whose inputs were stale
//! since before its epoch, and from every state both merges can still finish. Without any one of the guards, one of
//! these breaks.

use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_freshness::batch::{Batch, Permit, VersionChange, Writer};
use hazelsaddle_freshness::guard::{Merge, PermitAnswer, Verdict, decide_permit};
use hazelsaddle_freshness::settings::Settings;
use hazelsaddle_freshness::upstream::{BatchVersion, JobDeclaration, JobLookup, Run};
use std::collections::{BTreeSet, HashMap, VecDeque};

#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A merge starts only on a fresh verdict.
    start_on_verdict: bool,
    /// A new leader reads the records before it decides anything.
    reread_after_failover: bool,
    /// A write of the batch's record is conditional on the store version that was read.
    store_version: bool,
    /// A permit request is answered from a read that began after the request arrived.
    read_after_request: bool,
    /// A permit is released only after its attempt has ended.
    release_after_end: bool,
    /// The fencing token goes on rising when permits end.
    fence: bool,
    /// A delayed request of an older attempt does not replace a newer attempt's permit.
    reject_older_attempt: bool,
    /// A task that holds a permit is not stopped.
    keep_writers: bool,
    /// Newer runs of the batch supersede stale ones.
    superseded: bool,
    /// A permit is granted only after it has been recorded.
    record_before_grant: bool,
}

const ALL: Guards = Guards {
    start_on_verdict: true,
    reread_after_failover: true,
    store_version: true,
    read_after_request: true,
    release_after_end: true,
    fence: true,
    reject_older_attempt: true,
    keep_writers: true,
    superseded: true,
    record_before_grant: true,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PermitRequest {
    attempt: u64,
    /// All inputs were fresh when it arrived and have been ever since.
    fresh: bool,
    /// The leader has read the record since it arrived.
    read: bool,
    /// A write that grants it is in flight.
    in_flight: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    attempt: u64,
    running: bool,
    done: bool,
    request: Option<PermitRequest>,
    /// A request of an attempt that has ended, still in flight.
    late_request: Option<PermitRequest>,
    /// The permit with which the attempt's request was answered (200).
    granted: Option<Permit>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Purpose {
    Permit(usize, Permit),
    Release,
    Version,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    epoch: u8,
    store_version: u8,
    next: Batch,
    purpose: Purpose,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    batch: Batch,
    store_version: u8,
    /// The final record of run `n` is stored.
    rerun_done: bool,
    epoch: u8,
    /// The inputs were stale when this epoch began and have been ever since.
    stale_all_epoch: bool,
    /// The leader's last read: the record, its store version, and whether `n` was done.
    leader_read: Option<(Batch, u8, bool)>,
    jobs: [Job; 2],
    pending_writes: Vec<PendingWrite>,
    highest_fence: u64,
    /// Most attempts of a merge.
    max_attempts: u64,
    violation: Option<&'static str>,
}

fn id(merge: usize) -> String {
    format!("m{merge}")
}

impl Guards {
    fn assess(self, batch: &Batch, rerun_done: bool) -> (CachedRecord, Verdict) {
        let mut settings = Settings::default();
        settings.set("sources", "split").expect("valid");
        let batch_version = BatchVersion { name: "b".into(), version: 1 };
        let declaration = JobDeclaration {
            class: Some("split".into()),
            batch: Some(batch_version.clone()),
            dependencies: vec![],
        };
        let run = Run { job: "n".into(), class: "split".into(), version: 2 };
        let runs: BTreeSet<Run> = if rerun_done && self.superseded { [run].into() } else { [].into() };
        let batch_record = CachedRecord::Present(batch.to_record());
        let merge = Merge { batch: batch_version, dependencies: vec!["s".into()] };
        let verdict =
            merge.assess(&settings, &batch_record, |_| JobLookup::Ended(declaration.clone()), &runs);
        (batch_record, verdict)
    }

    /// Whether all inputs are fresh according to the stored records, independent of the guards.
    fn fresh(world: &World) -> bool {
        world.batch.version == 1 || world.rerun_done
    }

    fn next(self, world: &World) -> Vec<World> {
        let mut successors = Vec::new();
        let mut add_successor = |apply: &dyn Fn(&mut World)| {
            let mut successor = world.clone();
            apply(&mut successor);
            successor.stale_all_epoch &= !Guards::fresh(&successor);
            for job in &mut successor.jobs {
                for request in [&mut job.request, &mut job.late_request].into_iter().flatten() {
                    request.fresh &= successor.batch.version == 1 || successor.rerun_done;
                }
            }
            self.check_invariants(&mut successor);
            if successor != *world {
                successors.push(successor);
            }
        };
        let can_write = world.pending_writes.len() < 2;
        add_successor(&|successor| {
            successor.leader_read =
                Some((successor.batch.clone(), successor.store_version, successor.rerun_done));
            for request in
                successor.jobs.iter_mut().flat_map(|job| [&mut job.request, &mut job.late_request]).flatten()
            {
                request.read = true;
            }
        });
        if world.epoch == 0 {
            add_successor(&|successor| {
                successor.epoch = 1;
                successor.stale_all_epoch = !Guards::fresh(successor);
                if self.reread_after_failover {
                    successor.leader_read = None;
                }
                for job in &mut successor.jobs {
                    (job.request, job.late_request) = (None, None);
                }
            });
        }
        // A run or an operator names version 2, based on a read of the present record; the write is applied later, or never.
        if can_write
            && !world.pending_writes.iter().any(|write| write.purpose == Purpose::Version)
            && let Ok(VersionChange::Raised(next)) = world.batch.put_version(2)
        {
            let write = PendingWrite {
                epoch: world.epoch,
                store_version: world.store_version,
                next,
                purpose: Purpose::Version,
            };
            add_successor(&|successor| successor.pending_writes.push(write.clone()));
        }
        if world.batch.version == 2 {
            add_successor(&|successor| successor.rerun_done = true);
        }
        for (i, write) in world.pending_writes.iter().enumerate() {
            add_successor(&|successor| {
                successor.pending_writes.remove(i);
                self.apply_write(successor, write, true);
            });
            // The write is lost; the writer that waits for it sends its request again.
            add_successor(&|successor| {
                successor.pending_writes.remove(i);
                self.apply_write(successor, write, false);
            });
        }
        for (merge, job) in world.jobs.iter().enumerate() {
            self.add_job_steps(world, merge, job, can_write, &mut add_successor);
        }
        successors
    }

    fn apply_write(self, successor: &mut World, write: &PendingWrite, reached: bool) {
        let is_applied = reached
            && write.epoch == successor.epoch
            && (!self.store_version || write.store_version == successor.store_version);
        if is_applied {
            if write.next.version < successor.batch.version {
                successor.violation = Some("a version that falls");
            }
            successor.batch = write.next.clone();
            successor.store_version += 1;
        }
        let Purpose::Permit(merge, permit) = &write.purpose else { return };
        if is_applied && !Guards::fresh(successor) {
            successor.violation = Some("a permit on a stale run");
        }
        if is_applied && permit.fence <= successor.highest_fence {
            successor.violation = Some("a fence that does not rise");
        }
        if is_applied {
            successor.highest_fence = successor.highest_fence.max(permit.fence);
        }
        let job = &mut successor.jobs[*merge];
        if job.request.as_ref().is_some_and(|request| request.attempt == permit.attempt) {
            job.request = None;
            if is_applied && job.running && job.attempt == permit.attempt {
                job.granted = Some(permit.clone());
            }
        }
        if job.late_request.as_ref().is_some_and(|request| request.attempt == permit.attempt) {
            job.late_request = None;
        }
    }

    fn stop(job: &mut Job) {
        job.running = false;
        job.granted = None;
        if let Some(request) = job.request.take() {
            job.late_request = Some(request);
        }
    }

    fn add_job_steps(
        self,
        world: &World,
        merge: usize,
        job: &Job,
        can_write: bool,
        add_successor: &mut impl FnMut(&dyn Fn(&mut World)),
    ) {
        if job.done {
            return;
        }
        let leader_read = world.leader_read.as_ref();
        let view = leader_read.map(|(batch, store_version, rerun_done)| {
            (batch, *store_version, self.assess(batch, *rerun_done))
        });
        let can_start =
            !self.start_on_verdict || view.as_ref().is_some_and(|(.., (_, verdict))| verdict.can_start());
        if !job.running && job.attempt < world.max_attempts && can_start {
            add_successor(&|successor| {
                let job = &mut successor.jobs[merge];
                (job.attempt, job.running) = (job.attempt + 1, true);
                if successor.stale_all_epoch {
                    successor.violation = Some("a start on stale inputs");
                }
            });
        }
        if job.running {
            if job.attempt + 1 < world.max_attempts {
                add_successor(&|successor| Guards::stop(&mut successor.jobs[merge]));
            }
            if job.request.is_none() && job.granted.is_none() {
                let request =
                    PermitRequest { attempt: job.attempt, fresh: true, read: false, in_flight: false };
                add_successor(&|successor| successor.jobs[merge].request = Some(request.clone()));
            }
            if job.granted.is_some() {
                add_successor(&|successor| {
                    let job = &mut successor.jobs[merge];
                    (job.running, job.done, job.granted, job.late_request) = (false, true, None, None);
                });
            }
            if let Some((.., (batch_record, verdict))) = &view {
                let writer = Writer { job: id(merge), attempt: job.attempt, task: None };
                let is_stopped = match self.keep_writers {
                    true => verdict.must_stop(batch_record, &writer),
                    false => matches!(verdict, Verdict::Stale(..)),
                };
                // A stop decided from a stale read may hit a write that has begun since; that is allowed.
                let has_known_permit =
                    world.batch.find_permit(&writer).is_some() && has_permit(batch_record, &writer);
                if is_stopped {
                    add_successor(&|successor| {
                        if has_known_permit {
                            successor.violation = Some("a write stopped");
                        }
                        Guards::stop(&mut successor.jobs[merge]);
                    });
                }
            }
        }
        for (is_late, query) in [(false, &job.request), (true, &job.late_request)] {
            let (Some(query), Some((batch, version, (record, verdict)))) = (query, &view) else { continue };
            if query.in_flight || (self.read_after_request && !query.read) {
                continue;
            }
            let writer = Writer { job: id(merge), attempt: query.attempt, task: None };
            let mut answer = decide_permit(verdict, record, &writer, 4000);
            if !self.reject_older_attempt && answer == PermitAnswer::Superseded {
                let mut without = (*batch).clone();
                without.permits.retain(|permit| permit.job != writer.job);
                answer = decide_permit(verdict, &CachedRecord::Present(without.to_record()), &writer, 4000);
            }
            match answer {
                PermitAnswer::GrantAfterWrite(mut next, mut permit) => {
                    if !self.fence {
                        permit.fence = batch.permits.iter().map(|permit| permit.fence).max().unwrap_or(0) + 1;
                        next.fence = permit.fence;
                        next.permits.last_mut().expect("new").fence = permit.fence;
                    }
                    let purpose = Purpose::Permit(merge, permit.clone());
                    let write = PendingWrite { epoch: world.epoch, store_version: *version, next, purpose };
                    if can_write {
                        add_successor(&|successor| {
                            successor.pending_writes.push(write.clone());
                            let job = &mut successor.jobs[merge];
                            let query = if is_late { &mut job.late_request } else { &mut job.request };
                            query.as_mut().expect("asked").in_flight = true;
                            if !self.record_before_grant && !is_late {
                                (job.request, job.granted) = (None, Some(permit.clone()));
                            }
                        });
                    }
                }
                PermitAnswer::AlreadyHeld(permit) if !is_late => add_successor(&|successor| {
                    let job = &mut successor.jobs[merge];
                    (job.request, job.granted) = (None, Some(permit.clone()));
                }),
                PermitAnswer::Stale(..) if !is_late => add_successor(&|successor| {
                    if query.fresh {
                        successor.violation = Some("fresh inputs rejected");
                    }
                    successor.jobs[merge].request = None;
                    Guards::stop(&mut successor.jobs[merge]);
                }),
                _ => add_successor(&|successor| {
                    let job = &mut successor.jobs[merge];
                    if is_late { job.late_request = None } else { job.request = None }
                }),
            }
        }
        // The leader releases the permits of attempts that have ended.
        if let Some((batch, store_version, _)) = leader_read
            && can_write
        {
            let jobs = &world.jobs;
            let has_ended = |permit: &Permit| {
                let job = &jobs[usize::from(permit.job == "m1")];
                permit.attempt < job.attempt || !job.running || !self.release_after_end
            };
            if let Some(next) = batch.release_permits(has_ended) {
                let write = PendingWrite {
                    epoch: world.epoch,
                    store_version: *store_version,
                    next,
                    purpose: Purpose::Release,
                };
                if !world.pending_writes.contains(&write) {
                    add_successor(&|successor| successor.pending_writes.push(write.clone()));
                }
            }
        }
    }

    /// Checks the invariants that must hold in every state.
    fn check_invariants(self, successor: &mut World) {
        for (merge, job) in successor.jobs.iter().enumerate() {
            let Some(permit) = &job.granted else { continue };
            let writer = Writer { job: id(merge), attempt: job.attempt, task: None };
            if successor.batch.find_permit(&writer) != Some(permit) {
                successor.violation = Some("a permit that is not recorded");
            } else if successor.batch.version > permit.version
                && !successor.batch.outdated_writes.iter().any(|(_, fence)| *fence == permit.fence)
            {
                successor.violation = Some("a newer version that does not list the write");
            }
        }
    }
}

fn has_permit(record: &CachedRecord, writer: &Writer) -> bool {
    matches!(record, CachedRecord::Present(record) if Batch::read(record) .is_ok_and( | batch | batch.find_permit(writer) .is_some() ) )
}

struct Explored {
    states: usize,
    /// Whether the whole state space was explored.
    complete: bool,
    violations: BTreeSet<&'static str>,
    /// A state from which the merges can never finish.
    stuck: Option<World>,
    /// Whether in some state both merges are done after run `n`, without a write that precedes version 2: they have waited
    /// for the new run.
    finished_after_rerun: bool,
}

fn explore(guards: Guards, max_states: usize) -> Explored {
    // The first model has one merge with up to three attempts, the second two merges with up to two.
    let first = World {
        batch: Batch::new(1),
        store_version: 1,
        rerun_done: false,
        epoch: 0,
        stale_all_epoch: false,
        leader_read: None,
        jobs: [Job::default(), Job { done: true, ..Job::default() }],
        pending_writes: vec![],
        highest_fence: 0,
        max_attempts: 3,
        violation: None,
    };
    let second = World { jobs: [Job::default(), Job::default()], max_attempts: 2, ..first.clone() };
    let mut result = Explored {
        states: 0,
        complete: true,
        violations: BTreeSet::new(),
        stuck: None,
        finished_after_rerun: false,
    };
    for first in [first, second] {
        let mut index_of = HashMap::from([(first.clone(), 0usize)]);
        let mut predecessors: Vec<Vec<usize>> = vec![vec![]];
        let mut all = vec![first.clone()];
        let mut queue = VecDeque::from([0usize]);
        while let Some(i) = queue.pop_front() {
            if all.len() > max_states {
                break;
            }
            let world = all[i].clone();
            if let Some(violation) = world.violation {
                result.violations.insert(violation);
                continue;
            }
            for successor in guards.next(&world) {
                let index = *index_of.entry(successor.clone()).or_insert_with(|| {
                    all.push(successor);
                    predecessors.push(vec![]);
                    queue.push_back(all.len() - 1);
                    all.len() - 1
                });
                predecessors[index].push(i);
            }
        }
        let is_finished = |world: &World| world.jobs.iter().all(|job| job.done);
        let complete = all.len() <= max_states && result.violations.is_empty();
        let mut can_finish: Vec<bool> = all.iter().map(is_finished).collect();
        let mut pending: Vec<usize> = (0..all.len()).filter(|i| can_finish[*i]).collect();
        result.finished_after_rerun |= all
            .iter()
            .any(|world| is_finished(world) && world.rerun_done && world.batch.outdated_writes.is_empty());
        while let Some(i) = pending.pop() {
            for &predecessor in &predecessors[i] {
                if !std::mem::replace(&mut can_finish[predecessor], true) {
                    pending.push(predecessor);
                }
            }
        }
        if complete && let Some(i) = can_finish.iter().position(|can_finish| !can_finish) {
            result.stuck.get_or_insert_with(|| all[i].clone());
        }
        result.states += all.len();
        result.complete &= all.len() <= max_states;
    }
    result
}

#[test]
fn no_interleaving_writes_on_stale_runs_or_gets_stuck() {
    let result = explore(ALL, 3_000_000);
    println!("{} states, complete: {}", result.states, result.complete);
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    assert!(result.stuck.is_none(), "stuck: {:#?}", result.stuck);
    assert!(result.finished_after_rerun && result.states > 5000, "{} states", result.states);
}

#[test]
fn without_any_one_guard_some_interleaving_violates_an_invariant() {
    let without = [
        ("start on verdict", Guards { start_on_verdict: false, ..ALL }, "a start on stale inputs"),
        ("reread after failover", Guards { reread_after_failover: false, ..ALL }, "a start on stale inputs"),
        ("store version", Guards { store_version: false, ..ALL }, "a version that falls"),
        ("read after request", Guards { read_after_request: false, ..ALL }, "fresh inputs rejected"),
        ("release after end", Guards { release_after_end: false, ..ALL }, "a permit that is not recorded"),
        ("fence", Guards { fence: false, ..ALL }, "a fence that does not rise"),
        (
            "reject older attempt",
            Guards { reject_older_attempt: false, ..ALL },
            "a permit that is not recorded",
        ),
        ("keep writers", Guards { keep_writers: false, ..ALL }, "a write stopped"),
        ("superseded", Guards { superseded: false, ..ALL }, "fresh inputs rejected"),
        (
            "record before grant",
            Guards { record_before_grant: false, ..ALL },
            "a permit that is not recorded",
        ),
    ];
    for (name, guards, violation) in without {
        let result = explore(guards, 60_000);
        assert!(result.violations.contains(violation), "without {name}: {:?}", result.violations);
    }
}
