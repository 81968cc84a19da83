use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Messages and acknowledgements are lost, duplicated, delayed and reordered, and items are added and removed
/// repeatedly. An item that is reported as replicated must be held by some replica as long as it exists, and after an
/// exchange without losses no replica may hold an item that was removed.
#[test]
fn a_replicated_item_is_held_by_a_replica_until_it_is_removed() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sender: ReplicationSender<u32> = ReplicationSender::default();
        sender.restart([1, 2].into_iter());
        let mut receivers = [ReplicationReceiver::default(), ReplicationReceiver::default()];
        let mut messages: Vec<(usize, ReplicationDelta<u32>)> = Vec::new();
        let mut acknowledgements: Vec<(usize, u64)> = Vec::new();
        let mut items = BTreeSet::new();
        let mut replicated_count = 0;
        for step in 0..500 {
            let is_lossless = step > 460;
            match rng.random_range(0..7) {
                0 | 1 if !is_lossless => {
                    let (item, is_present) = (rng.random_range(0..25u32), rng.random_bool(0.6));
                    sender.set(item, is_present);
                    if is_present {
                        items.insert(item)
                    } else {
                        items.remove(&item)
                    };
                }
                2 | 3 => {
                    let peer = rng.random_range(1..3);
                    if sender.has_unsent(peer) || sender.awaits_acknowledgement(peer) {
                        messages.push((peer, sender.next_delta(peer).expect("a replica")));
                    }
                }
                4 | 5 if !messages.is_empty() => {
                    let i =
                        if is_lossless { messages.len() - 1 } else { rng.random_range(0..messages.len()) };
                    let is_duplicate = !is_lossless && rng.random_bool(0.2);
                    let (peer, delta) =
                        if is_duplicate { messages[i].clone() } else { messages.swap_remove(i) };
                    if is_lossless || rng.random_bool(0.8) {
                        acknowledgements
                            .extend(receivers[peer - 1].apply(delta).map(|revision| (peer, revision)));
                    }
                }
                6 if !is_lossless && rng.random_bool(0.1) => sender.reset_replica(2),
                _ if !acknowledgements.is_empty() => {
                    let (peer, revision) =
                        acknowledgements.swap_remove(rng.random_range(0..acknowledgements.len()));
                    if is_lossless || rng.random_bool(0.8) {
                        for item in sender.acknowledge(peer, revision) {
                            assert!(sender.is_replicated(&item), "seed {seed}");
                            replicated_count += 1;
                        }
                    }
                }
                _ => {}
            }
            for item in &items {
                let is_held = receivers.iter().any(|receiver| receiver.items().any(|other| other == item));
                assert!(
                    !sender.is_replicated(item) || is_held,
                    "seed {seed}, step {step}: no replica holds {item}"
                );
            }
        }
        assert!(replicated_count > 10, "seed {seed}");
        for peer in [1, 2] {
            let delta = sender.next_delta(peer).expect("a replica");
            let revision = receivers[peer - 1].apply(delta).expect("it builds on a revision that is held");
            sender.acknowledge(peer, revision);
            assert!(
                receivers[peer - 1].items().eq(items.iter()) && !sender.awaits_acknowledgement(peer),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn an_item_is_not_replicated_without_an_acknowledgement() {
    let mut sender: ReplicationSender<u32> = ReplicationSender::default();
    sender.restart(std::iter::empty());
    sender.set(1, true);
    assert!(!sender.is_replicated(&1));
    sender.restart(std::iter::once(1));
    sender.set(1, true);
    let revision = sender.next_delta(1).expect("a replica").revision;
    assert!(!sender.is_replicated(&1), "not before the acknowledgement");
    assert_eq!(sender.acknowledge(1, revision), [1]);
    assert!(sender.is_replicated(&1));
    sender.restart(std::iter::once(1));
    sender.set(1, true);
    assert!(
        sender.acknowledge(1, revision).is_empty() && !sender.is_replicated(&1),
        "an acknowledgement from before the restart is ignored"
    );
}
