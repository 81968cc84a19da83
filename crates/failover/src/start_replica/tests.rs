use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Messages and answers are lost, doubled, late and overtaken, items come and go and come again: whatever is witnessed
/// is held by some witness at that moment and from then on for as long as it is there, and nothing that a witness
/// holds after a quiet while is no more.
#[test]
fn what_is_witnessed_is_held_by_somebody_until_it_is_gone() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut told: ReplicationUpdate<u32> = ReplicationUpdate::default();
        told.begin([1, 2].into_iter());
        let mut heard = [ReceivedStarts::default(), ReceivedStarts::default()];
        let mut road: Vec<(usize, Changes<u32>)> = Vec::new();
        let mut back: Vec<(usize, u64)> = Vec::new();
        let mut there = BTreeSet::new();
        let mut witnessed_ever = 0;
        for step in 0..500 {
            let calm = step > 460;
            match rng.random_range(0..7) {
                0 | 1 if !calm => {
                    let (k, on) = (rng.random_range(0..25u32), rng.random_bool(0.6));
                    told.set(k, on);
                    if on {
                        there.insert(k)
                    } else {
                        there.remove(&k)
                    };
                }
                2 | 3 => {
                    let p = rng.random_range(1..3);
                    if told.has_news(p) || told.waits(p) {
                        road.push((p, told.tell(p).expect("a witness")));
                    }
                }
                4 | 5 if !road.is_empty() => {
                    let i = if calm { road.len() - 1 } else { rng.random_range(0..road.len()) };
                    let again = !calm && rng.random_bool(0.2);
                    let (p, c) = if again { road[i].clone() } else { road.swap_remove(i) };
                    if calm || rng.random_bool(0.8) {
                        back.extend(heard[p - 1].take(c).map(|rev| (p, rev)));
                    }
                }
                6 if !calm && rng.random_bool(0.1) => told.forget(2),
                _ if !back.is_empty() => {
                    let (p, rev) = back.swap_remove(rng.random_range(0..back.len()));
                    if calm || rng.random_bool(0.8) {
                        for k in told.noted(p, rev) {
                            assert!(told.witnessed(&k), "seed {seed}");
                            witnessed_ever += 1;
                        }
                    }
                }
                _ => {}
            }
            for k in &there {
                let held = heard.iter().any(|h| h.items().any(|x| x == k));
                assert!(!told.witnessed(k) || held, "seed {seed}, step {step}: {k} is held by nobody");
            }
        }
        assert!(witnessed_ever > 10, "seed {seed}");
        for p in [1, 2] {
            let c = told.tell(p).expect("a witness");
            let rev = heard[p - 1].take(c).expect("it builds on what is held");
            told.noted(p, rev);
            assert!(heard[p - 1].items().eq(there.iter()) && !told.waits(p), "seed {seed}");
        }
    }
}

#[test]
fn nothing_is_witnessed_by_nobody() {
    let mut told: ReplicationUpdate<u32> = ReplicationUpdate::default();
    told.begin(std::iter::empty());
    told.set(1, true);
    assert!(!told.witnessed(&1));
    told.begin(std::iter::once(1));
    told.set(1, true);
    let rev = told.tell(1).expect("a witness").rev;
    assert!(!told.witnessed(&1), "not before it has said so");
    assert_eq!(told.noted(1, rev), [1]);
    assert!(told.witnessed(&1));
    told.begin(std::iter::once(1));
    told.set(1, true);
    assert!(
        told.noted(1, rev).is_empty() && !told.witnessed(&1),
        "a word on what was said before means nothing"
    );
}
