use super::*;

fn names() -> Vec<String> {
    (0..3).map(|i| format!("c{i}")).collect()
}

#[test]
fn a_lost_member_moves_only_its_own_keys() {
    let full_ring = Ring::new(&names(), &[0, 1, 2]);
    let ring_without_1 = Ring::new(&names(), &[0, 2]);
    let mut key_counts = [0; 3];
    for i in 0..3000 {
        let key = format!("job/wk-{i:06}");
        let owner = full_ring.owner(&key).unwrap();
        key_counts[owner] += 1;
        if owner != 1 {
            assert_eq!(ring_without_1.owner(&key), Some(owner));
        }
    }
    assert!(key_counts.iter().all(|&count| count > 600), "{key_counts:?}");
    assert_eq!(Ring::default().owner("x"), None);
}

#[test]
fn successors_are_distinct_and_begin_with_the_owner() {
    let full_ring = Ring::new(&names(), &[0, 1, 2]);
    for i in 0..200 {
        let key = format!("job/wk-{i:06}");
        let successors = full_ring.successors(hash(&key), 2);
        assert_eq!((successors.len(), successors.first().copied()), (2, full_ring.owner(&key)));
        assert_ne!(successors[0], successors[1]);
        let remaining: Vec<usize> = (0..3).filter(|member| *member != successors[0]).collect();
        assert_eq!(
            Ring::new(&names(), &remaining).owner(&key),
            Some(successors[1]),
            "the next member takes over"
        );
    }
    assert_eq!(full_ring.successors(7, 9).len(), 3);
    assert!(Ring::default().successors(7, 2).is_empty());
}
