use super::*;

fn names() -> Vec<String> {
    (0..3).map(|i| format!("c{i}")).collect()
}

#[test]
fn a_lost_member_moves_only_its_own_keys() {
    let all = Ring::new(&names(), &[0, 1, 2]);
    let two = Ring::new(&names(), &[0, 2]);
    let mut share = [0; 3];
    for k in 0..3000 {
        let key = format!("job/wk-{k:06}");
        let was = all.owner(&key).unwrap();
        share[was] += 1;
        if was != 1 {
            assert_eq!(two.owner(&key), Some(was));
        }
    }
    assert!(share.iter().all(|&s| s > 600), "{share:?}");
    assert_eq!(Ring::default().owner("x"), None);
}

#[test]
fn successors_are_distinct_and_begin_with_the_owner() {
    let all = Ring::new(&names(), &[0, 1, 2]);
    for k in 0..200 {
        let key = format!("job/wk-{k:06}");
        let of = all.successors(hash(&key), 2);
        assert_eq!((of.len(), of.first().copied()), (2, all.owner(&key)));
        assert_ne!(of[0], of[1]);
        let without: Vec<usize> = (0..3).filter(|m| *m != of[0]).collect();
        assert_eq!(Ring::new(&names(), &without).owner(&key), Some(of[1]), "the next takes over");
    }
    assert_eq!(all.successors(7, 9).len(), 3);
    assert!(Ring::default().successors(7, 2).is_empty());
}
