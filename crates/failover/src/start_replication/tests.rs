use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Messages and answers are lost, doubled, late and overtaken, items come and go and come again: whatever is replicated
/// is held by some replica at that moment and from then on for as long as it is there, and nothing that a replica
/// holds after a quiet while is no more.
#[test]
fn what_is_replicated_is_held_by_somebody_until_it_is_gone() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sender: ReplicationSender<u32> = ReplicationSender::default();
        sender.restart([1, 2].into_iter());
        let mut receivers = [ReplicationReceiver::default(), ReplicationReceiver::default()];
        let mut road: Vec<(usize, ReplicationDelta<u32>)> = Vec::new();
        let mut back: Vec<(usize, u64)> = Vec::new();
        let mut there = BTreeSet::new();
        let mut replicated_ever = 0;
        for step in 0..500 {
            let calm = step > 460;
            match rng.random_range(0..7) {
                0 | 1 if !calm => {
                    let (k, on) = (rng.random_range(0..25u32), rng.random_bool(0.6));
                    sender.set(k, on);
                    if on {
                        there.insert(k)
                    } else {
                        there.remove(&k)
                    };
                }
                2 | 3 => {
                    let p = rng.random_range(1..3);
                    if sender.has_unsent(p) || sender.awaits_acknowledgement(p) {
                        road.push((p, sender.next_delta(p).expect("a replica")));
                    }
                }
                4 | 5 if !road.is_empty() => {
                    let i = if calm { road.len() - 1 } else { rng.random_range(0..road.len()) };
                    let again = !calm && rng.random_bool(0.2);
                    let (p, c) = if again { road[i].clone() } else { road.swap_remove(i) };
                    if calm || rng.random_bool(0.8) {
                        back.extend(receivers[p - 1].apply(c).map(|rev| (p, rev)));
                    }
                }
                6 if !calm && rng.random_bool(0.1) => sender.reset_replica(2),
                _ if !back.is_empty() => {
                    let (p, rev) = back.swap_remove(rng.random_range(0..back.len()));
                    if calm || rng.random_bool(0.8) {
                        for k in sender.acknowledge(p, rev) {
                            assert!(sender.is_replicated(&k), "seed {seed}");
                            replicated_ever += 1;
                        }
                    }
                }
                _ => {}
            }
            for k in &there {
                let held = receivers.iter().any(|h| h.items().any(|x| x == k));
                assert!(!sender.is_replicated(k) || held, "seed {seed}, step {step}: {k} is held by nobody");
            }
        }
        assert!(replicated_ever > 10, "seed {seed}");
        for p in [1, 2] {
            let c = sender.next_delta(p).expect("a replica");
            let rev = receivers[p - 1].apply(c).expect("it builds on what is held");
            sender.acknowledge(p, rev);
            assert!(
                receivers[p - 1].items().eq(there.iter()) && !sender.awaits_acknowledgement(p),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn nothing_is_replicated_without_an_acknowledgement() {
    let mut sender: ReplicationSender<u32> = ReplicationSender::default();
    sender.restart(std::iter::empty());
    sender.set(1, true);
    assert!(!sender.is_replicated(&1));
    sender.restart(std::iter::once(1));
    sender.set(1, true);
    let rev = sender.next_delta(1).expect("a replica").revision;
    assert!(!sender.is_replicated(&1), "not before it has said so");
    assert_eq!(sender.acknowledge(1, rev), [1]);
    assert!(sender.is_replicated(&1));
    sender.restart(std::iter::once(1));
    sender.set(1, true);
    assert!(
        sender.acknowledge(1, rev).is_empty() && !sender.is_replicated(&1),
        "a word on what was said before means nothing"
    );
}
