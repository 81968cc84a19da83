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

/// Or hand-off batches and requests would be dropped while states wait that the next one says again.
#[test]
fn what_is_said_again_never_takes_the_place_of_what_is_not() {
    let (queue, receiver) = channel();
    for i in 0..QUEUE_CAPACITY as u32 - 1 {
        assert!(queue.push(Enqueued::State(i)) && queue.push(Enqueued::Once(i)));
    }
    assert!(queue.push(Enqueued::State(99)), "in the place of the last");
    assert!(!queue.push(Enqueued::Once(99)), "full");
    drop(queue);
    let mut all: Vec<Enqueued> = std::iter::from_fn(|| receiver.pop()).collect();
    assert_eq!(all.pop(), Some(Enqueued::State(99)));
    assert_eq!(all, (0..QUEUE_CAPACITY as u32 - 1).map(Enqueued::Once).collect::<Vec<_>>());
}
