//! The argument for claiming before stopping, checked over all interleavings.
//!
//! One need of one replica, and two tasks, either of which makes room for it. Three controllers own the borrowing job one after
//! the other: each may crash at any moment, and what it has sent may be applied late. Every owner of a lent task stops it once
//! it reads of it. Never are both tasks stopped, never is one stopped that no record names, and wherever nothing more can
//! happen nothing is lent. With any guard taken out, a way to break that is found.

use std::collections::{HashSet, VecDeque};

/// So many changes are looked at: a claim, its replica, its return, and one more.
const LAST: u8 = 5;

#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A claim is on condition of the mark that was read.
    store_version: bool,
    /// A claim is on condition of the epoch, as all changes are. For claims alone the mark would do.
    epoch: bool,
    /// What is on record counts against the need.
    counted: bool,
    /// Nothing is stopped before its claim is on record.
    record_first: bool,
    /// A claim without effect ends by itself.
    ends: bool,
    /// A loan whose job is over goes back, whoever took it.
    returned: bool,
}

const ALL: Guards = Guards {
    store_version: true,
    epoch: true,
    counted: true,
    record_first: true,
    ends: true,
    returned: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Loan {
    None,
    Taking,
    Held,
}

/// What a claimer has sent: for which task, on which mark and epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sent {
    Nothing,
    Claim { task: usize, store_version: u8, epoch: u8 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LoanState {
    /// The controller that owns the job by the epoch record; each lives until it crashes.
    epoch: u8,
    lives: [bool; 3],
    /// Which controllers take themselves for the owner still: one that stands still learns late.
    thinks: [bool; 3],
    /// The record: what is lent of each task.
    store_version: u8,
    loans: [Loan; 2],
    /// What each has read: the mark, and whether anything was claimed.
    read: [Option<(u8, bool)>; 3],
    sent: [Sent; 3],
    /// A question that its sender has given up, and that may be carried out all the same.
    late: Sent,
    stopped: [bool; 2],
    /// A replica stands; the job is over.
    stands: bool,
    over: bool,
    /// A task was stopped that no record named.
    unnamed: bool,
    /// Both were ever stopped for the one need.
    twice: bool,
}

const FIRST: LoanState = LoanState {
    epoch: 0,
    lives: [true; 3],
    thinks: [true, false, false],
    store_version: 1,
    loans: [Loan::None; 2],
    read: [None; 3],
    sent: [Sent::Nothing; 3],
    late: Sent::Nothing,
    stopped: [false; 2],
    stands: false,
    over: false,
    unnamed: false,
    twice: false,
};

impl Guards {
    fn next(self, s: &LoanState) -> Vec<LoanState> {
        let mut out = Vec::new();
        let mut then = |change: &dyn Fn(&mut LoanState)| {
            let mut n = s.clone();
            change(&mut n);
            if n != *s {
                out.push(n);
            }
        };
        let claimed = s.loans.iter().any(|l| *l != Loan::None);
        let missing = !s.stands && !s.over;
        for c in 0..3 {
            let acts = s.lives[c] && s.thinks[c];
            if acts && s.sent[c] == Sent::Nothing && missing {
                then(&|n| n.read[c] = Some((s.store_version, claimed)));
                if let Some((store_version, was)) = s.read[c]
                    && (!was || !self.counted)
                {
                    for task in [0, 1] {
                        then(&|n| {
                            n.sent[c] = Sent::Claim { task, store_version, epoch: c as u8 };
                            n.read[c] = None;
                            if !self.record_first {
                                n.stopped[task] = true;
                            }
                        });
                    }
                }
            }
            if s.late == Sent::Nothing && s.lives[c] {
                then(&|n| (n.late, n.sent[c]) = (s.sent[c], Sent::Nothing));
            }
            if s.lives[c] && c < 2 {
                then(&|n| n.lives[c] = false);
            }
            if s.thinks[c] && c as u8 != s.epoch {
                then(&|n| n.thinks[c] = false);
            }
        }
        // What was sent is applied, late or not, or never.
        for at in 0..4 {
            let sent = if at < 3 { s.sent[at] } else { s.late };
            let Sent::Claim { task, store_version, epoch } = sent else { continue };
            let clear =
                |n: &mut LoanState| if at < 3 { n.sent[at] = Sent::Nothing } else { n.late = Sent::Nothing };
            let holds = (!self.store_version || store_version == s.store_version)
                && (!self.epoch || epoch == s.epoch);
            then(&|n| {
                clear(n);
                if holds && n.loans[task] == Loan::None && n.store_version < LAST {
                    n.loans[task] = Loan::Taking;
                    n.store_version += 1;
                }
            });
            then(&clear);
        }
        // The next controller takes over, whether the last is dead or only silent.
        if s.epoch < 2 {
            then(&|n| {
                n.epoch += 1;
                n.thinks[n.epoch as usize] = true;
            });
        }
        for task in [0, 1] {
            // The owner of the lent task reads the record.
            if s.loans[task] == Loan::Taking && !s.stopped[task] {
                then(&|n| n.stopped[task] = true);
            }
            // The owner of the job goes by the record, whoever wrote it.
            let owner = s.lives[s.epoch as usize] && s.store_version < LAST;
            if s.loans[task] == Loan::Taking && s.stopped[task] && owner && missing {
                then(&|n| {
                    (n.loans[task], n.stands) = (Loan::Held, true);
                    n.store_version += 1;
                });
            }
            if s.loans[task] == Loan::Taking && owner && self.ends && !missing {
                then(&|n| {
                    n.loans[task] = Loan::None;
                    n.store_version += 1;
                });
            }
            if s.loans[task] == Loan::Held && s.over && owner && self.returned {
                then(&|n| {
                    (n.loans[task], n.stopped[task]) = (Loan::None, false);
                    n.store_version += 1;
                });
            }
        }
        if !s.over {
            then(&|n| (n.over, n.stands) = (true, false));
        }
        for n in &mut out {
            n.unnamed |= (0..2).any(|t| n.stopped[t] && !s.stopped[t] && s.loans[t] == Loan::None);
            n.twice |= n.stopped == [true, true] || n.loans.iter().all(|l| *l != Loan::None);
        }
        out
    }
}

struct Explored {
    states: usize,
    vain: Option<LoanState>,
    unnamed: Option<LoanState>,
    kept: Option<LoanState>,
}

fn explore(g: Guards) -> Explored {
    let mut seen = HashSet::from([FIRST]);
    let mut queue = VecDeque::from([FIRST]);
    let mut e = Explored { states: 0, vain: None, unnamed: None, kept: None };
    while let Some(s) = queue.pop_front() {
        e.states += 1;
        if e.vain.is_some() || e.unnamed.is_some() || e.kept.is_some() {
            break;
        }
        if s.twice {
            e.vain.get_or_insert_with(|| s.clone());
        }
        if s.unnamed {
            e.unnamed.get_or_insert_with(|| s.clone());
        }
        let next = g.next(&s);
        if next.is_empty() && s.store_version < LAST && s.loans.iter().any(|l| *l != Loan::None) {
            e.kept.get_or_insert_with(|| s.clone());
        }
        queue.extend(next.into_iter().filter(|n| seen.insert(n.clone())));
    }
    e
}

#[test]
fn no_interleaving_takes_twice_or_unnamed_or_keeps_for_ever() {
    let e = explore(ALL);
    assert!(e.vain.is_none(), "twice for one need: {:#?}", e.vain);
    assert!(e.unnamed.is_none(), "stopped without a record: {:#?}", e.unnamed);
    assert!(e.kept.is_none(), "kept for ever: {:#?}", e.kept);
    assert!(e.states > 1000, "{} states", e.states);
}

#[test]
fn without_any_one_guard_some_interleaving_does() {
    let without = [
        ("mark", Guards { store_version: false, ..ALL }),
        ("counted", Guards { counted: false, ..ALL }),
        ("record first", Guards { record_first: false, ..ALL }),
        ("ends", Guards { ends: false, ..ALL }),
        ("returned", Guards { returned: false, ..ALL }),
    ];
    for (name, guards) in without {
        let e = explore(guards);
        assert!(e.vain.is_some() || e.unnamed.is_some() || e.kept.is_some(), "without {name} nothing breaks");
    }
}
