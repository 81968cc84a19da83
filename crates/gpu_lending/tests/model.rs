//! Model check of the rule that a loan is recorded before its tasks are stopped: explores all interleavings of a small model.
//!
//! In the model one replica is missing, and each of two tasks would free enough resources for it. Three controllers lead the
//! borrowing job one after the other; each may crash at any time, and its writes may be delayed. The leader of a lent task
//! stops the task once it reads the loan. Checked invariants: the two tasks are never both stopped, no task is stopped
//! without a recorded loan, and in every final state nothing is lent. Without any one of the guards, an interleaving breaks
//! this.

use std::collections::{HashSet, VecDeque};

/// The last store version of the explored states: enough changes for a claim, its replica, its return, and one more.
const MAX_STORE_VERSION: u8 = 5;

#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A claim is written on condition that the record has the store version that was read.
    store_version: bool,
    /// A claim is written on condition of the epoch, like every change. For claims the store version alone would suffice.
    epoch: bool,
    /// Recorded claims count against the missing replicas.
    count_claims: bool,
    /// A task is stopped only after its claim has been recorded.
    record_before_stop: bool,
    /// A claim without effect claim_timeout after a timeout.
    claim_timeout: bool,
    /// A loan whose job has ended is return_after_end by the present leader, whichever leader claimed it.
    return_after_end: bool,
}

const ALL: Guards = Guards {
    store_version: true,
    epoch: true,
    count_claims: true,
    record_before_stop: true,
    claim_timeout: true,
    return_after_end: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Loan {
    None,
    Taking,
    Held,
}

/// A controller's write in flight: the claimed task, and the store version and epoch that are its conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum PendingClaim {
    Absent,
    Claim { task: usize, store_version: u8, epoch: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The controller that leads the job according to the epoch record.
    epoch: u8,
    /// Controllers that have not crashed.
    alive: [bool; 3],
    /// Controllers that act as leader; one that was paused learns of a newer epoch late.
    acts_as_leader: [bool; 3],
    /// The store version of the ledger.
    store_version: u8,
    /// The ledger: the loan of each task.
    loans: [Loan; 2],
    /// Each controller's last read of the ledger: the store version, and whether it had a claim.
    read: [Option<(u8, bool)>; 3],
    pending: [PendingClaim; 3],
    /// A write whose sender has timed out; it may still be applied.
    delayed: PendingClaim,
    stopped: [bool; 2],
    /// Whether a replica runs.
    replica_runs: bool,
    /// Whether the borrowing job has ended.
    job_ended: bool,
    /// Violation: a task was stopped without a recorded loan.
    stopped_without_record: bool,
    /// Violation: both tasks were stopped or lent for the one replica.
    lent_twice: bool,
}

const FIRST: State = State {
    epoch: 0,
    alive: [true; 3],
    acts_as_leader: [true, false, false],
    store_version: 1,
    loans: [Loan::None; 2],
    read: [None; 3],
    pending: [PendingClaim::Absent; 3],
    delayed: PendingClaim::Absent,
    stopped: [false; 2],
    replica_runs: false,
    job_ended: false,
    stopped_without_record: false,
    lent_twice: false,
};

impl Guards {
    fn next(self, state: &State) -> Vec<State> {
        let mut successors = Vec::new();
        let mut add_successor = |apply: &dyn Fn(&mut State)| {
            let mut successor = state.clone();
            apply(&mut successor);
            if successor != *state {
                successors.push(successor);
            }
        };
        let claimed = state.loans.iter().any(|loan| *loan != Loan::None);
        let missing = !state.replica_runs && !state.job_ended;
        for controller in 0..3 {
            let is_leader = state.alive[controller] && state.acts_as_leader[controller];
            if is_leader && state.pending[controller] == PendingClaim::Absent && missing {
                add_successor(&|successor| successor.read[controller] = Some((state.store_version, claimed)));
                if let Some((store_version, had_claim)) = state.read[controller]
                    && (!had_claim || !self.count_claims)
                {
                    for task in [0, 1] {
                        add_successor(&|successor| {
                            successor.pending[controller] =
                                PendingClaim::Claim { task, store_version, epoch: controller as u8 };
                            successor.read[controller] = None;
                            if !self.record_before_stop {
                                successor.stopped[task] = true;
                            }
                        });
                    }
                }
            }
            if state.delayed == PendingClaim::Absent && state.alive[controller] {
                add_successor(&|successor| {
                    (successor.delayed, successor.pending[controller]) =
                        (state.pending[controller], PendingClaim::Absent)
                });
            }
            if state.alive[controller] && controller < 2 {
                add_successor(&|successor| successor.alive[controller] = false);
            }
            if state.acts_as_leader[controller] && controller as u8 != state.epoch {
                add_successor(&|successor| successor.acts_as_leader[controller] = false);
            }
        }
        // A pending or delayed write is applied, or lost.
        for index in 0..4 {
            let pending = if index < 3 { state.pending[index] } else { state.delayed };
            let PendingClaim::Claim { task, store_version, epoch } = pending else { continue };
            let remove = |successor: &mut State| {
                if index < 3 {
                    successor.pending[index] = PendingClaim::Absent
                } else {
                    successor.delayed = PendingClaim::Absent
                }
            };
            let is_accepted = (!self.store_version || store_version == state.store_version)
                && (!self.epoch || epoch == state.epoch);
            add_successor(&|successor| {
                remove(successor);
                if is_accepted
                    && successor.loans[task] == Loan::None
                    && successor.store_version < MAX_STORE_VERSION
                {
                    successor.loans[task] = Loan::Taking;
                    successor.store_version += 1;
                }
            });
            add_successor(&remove);
        }
        // The next controller takes over; the previous one has crashed or is only unresponsive.
        if state.epoch < 2 {
            add_successor(&|successor| {
                successor.epoch += 1;
                successor.acts_as_leader[successor.epoch as usize] = true;
            });
        }
        for task in [0, 1] {
            // The leader of the lent task reads the ledger.
            if state.loans[task] == Loan::Taking && !state.stopped[task] {
                add_successor(&|successor| successor.stopped[task] = true);
            }
            // The job's leader acts on the ledger, whichever leader wrote it.
            let leader_can_write =
                state.alive[state.epoch as usize] && state.store_version < MAX_STORE_VERSION;
            if state.loans[task] == Loan::Taking && state.stopped[task] && leader_can_write && missing {
                add_successor(&|successor| {
                    (successor.loans[task], successor.replica_runs) = (Loan::Held, true);
                    successor.store_version += 1;
                });
            }
            if state.loans[task] == Loan::Taking && leader_can_write && self.claim_timeout && !missing {
                add_successor(&|successor| {
                    successor.loans[task] = Loan::None;
                    successor.store_version += 1;
                });
            }
            if state.loans[task] == Loan::Held && state.job_ended && leader_can_write && self.return_after_end
            {
                add_successor(&|successor| {
                    (successor.loans[task], successor.stopped[task]) = (Loan::None, false);
                    successor.store_version += 1;
                });
            }
        }
        if !state.job_ended {
            add_successor(&|successor| (successor.job_ended, successor.replica_runs) = (true, false));
        }
        for successor in &mut successors {
            successor.stopped_without_record |= (0..2).any(|task| {
                successor.stopped[task] && !state.stopped[task] && state.loans[task] == Loan::None
            });
            successor.lent_twice |=
                successor.stopped == [true, true] || successor.loans.iter().all(|loan| *loan != Loan::None);
        }
        successors
    }
}

struct Explored {
    states: usize,
    /// A state in which both tasks were lent or stopped.
    lent_twice: Option<State>,
    /// A state in which a task was stopped without a recorded loan.
    stopped_without_record: Option<State>,
    /// A final state in which a task is still lent.
    lent_for_ever: Option<State>,
}

fn explore(guards: Guards) -> Explored {
    let mut seen = HashSet::from([FIRST]);
    let mut queue = VecDeque::from([FIRST]);
    let mut result =
        Explored { states: 0, lent_twice: None, stopped_without_record: None, lent_for_ever: None };
    while let Some(state) = queue.pop_front() {
        result.states += 1;
        if result.lent_twice.is_some()
            || result.stopped_without_record.is_some()
            || result.lent_for_ever.is_some()
        {
            break;
        }
        if state.lent_twice {
            result.lent_twice.get_or_insert_with(|| state.clone());
        }
        if state.stopped_without_record {
            result.stopped_without_record.get_or_insert_with(|| state.clone());
        }
        let next = guards.next(&state);
        if next.is_empty()
            && state.store_version < MAX_STORE_VERSION
            && state.loans.iter().any(|loan| *loan != Loan::None)
        {
            result.lent_for_ever.get_or_insert_with(|| state.clone());
        }
        queue.extend(next.into_iter().filter(|successor| seen.insert(successor.clone())));
    }
    result
}

#[test]
fn no_interleaving_lends_twice_or_without_record_or_for_ever() {
    let result = explore(ALL);
    assert!(result.lent_twice.is_none(), "lent twice for one replica: {:#?}", result.lent_twice);
    assert!(
        result.stopped_without_record.is_none(),
        "stopped without a record: {:#?}",
        result.stopped_without_record
    );
    assert!(result.lent_for_ever.is_none(), "lent for ever: {:#?}", result.lent_for_ever);
    assert!(result.states > 1000, "{} states", result.states);
}

#[test]
fn without_any_one_guard_some_interleaving_violates_an_invariant() {
    let without = [
        ("store version", Guards { store_version: false, ..ALL }),
        ("count claims", Guards { count_claims: false, ..ALL }),
        ("record before stop", Guards { record_before_stop: false, ..ALL }),
        ("claim timeout", Guards { claim_timeout: false, ..ALL }),
        ("return after end", Guards { return_after_end: false, ..ALL }),
    ];
    for (name, guards) in without {
        let result = explore(guards);
        assert!(
            result.lent_twice.is_some()
                || result.stopped_without_record.is_some()
                || result.lent_for_ever.is_some(),
            "without {name} no invariant breaks"
        );
    }
}
