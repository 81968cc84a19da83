use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

#[test]
fn ranges_agree_with_a_plain_set() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut ranges = TaskIndexSet::default();
        let mut plain = std::collections::BTreeSet::new();
        for _ in 0..200 {
            let n = rng.random_range(0..150u32);
            assert_eq!(ranges.insert(n), plain.insert(n));
            assert_eq!(ranges.len() as usize, plain.len());
        }
        let gaps: Vec<u32> = ranges.gaps(150).collect();
        let expect: Vec<u32> = (0..150).filter(|n| !plain.contains(n)).collect();
        assert_eq!(gaps, expect);
        assert_eq!(TaskIndexSet::decode(&ranges.encode(10_000), 150), Some(ranges.clone()));
        let short = ranges.encode(40);
        assert!(short.len() <= 40);
        let part = TaskIndexSet::decode(&short, 150).expect("what was written is read");
        assert!((0..150).all(|n| !part.contains(n) || plain.contains(&n)));
    }
    assert_eq!(TaskIndexSet::decode("3-1", 10), None);
    assert_eq!(TaskIndexSet::decode("9-10", 10), None);
}
