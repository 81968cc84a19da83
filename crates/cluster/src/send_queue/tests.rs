use super::*;

#[derive(Debug, PartialEq)]
enum Enqueued {
    State(u32),
    Once(u32),
}
impl Framed for Enqueued {
    fn encode(&self) -> Option<Vec<u8>> {
        None
    }
    fn decode(_: &[u8]) -> Option<Self> {
        None
    }
    fn replaces(&self, older: &Self) -> bool {
        matches!((self, older), (Enqueued::State(_), Enqueued::State(_)))
    }
}

/// Measured: 358 frames to peers dropped on a rough day, parcels and requests among them, while hundreds of states
/// waited that the next one said again.
#[test]
fn what_is_said_again_never_takes_the_place_of_what_is_not() {
    let (tx, rx) = channel();
    for i in 0..QUEUE as u32 - 1 {
        assert!(tx.put(Enqueued::State(i)) && tx.put(Enqueued::Once(i)));
    }
    assert!(tx.put(Enqueued::State(99)), "in the place of the last");
    assert!(!tx.put(Enqueued::Once(99)), "full");
    drop(tx);
    let mut all: Vec<Enqueued> = std::iter::from_fn(|| rx.take()).collect();
    assert_eq!(all.pop(), Some(Enqueued::State(99)));
    assert_eq!(all, (0..QUEUE as u32 - 1).map(Enqueued::Once).collect::<Vec<_>>());
}
