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

/// Guards against dropping hand-off batches and requests while the queue is full of states, which the next state
/// replaces.
#[test]
fn repeated_frames_do_not_crowd_out_frames_sent_once() {
    let (queue, receiver) = channel();
    for i in 0..QUEUE_CAPACITY as u32 - 1 {
        assert!(queue.push(Enqueued::State(i)) && queue.push(Enqueued::Once(i)));
    }
    assert!(queue.push(Enqueued::State(99)), "it replaces the last state");
    assert!(!queue.push(Enqueued::Once(99)), "full");
    drop(queue);
    let mut received: Vec<Enqueued> = std::iter::from_fn(|| receiver.pop()).collect();
    assert_eq!(received.pop(), Some(Enqueued::State(99)));
    assert_eq!(received, (0..QUEUE_CAPACITY as u32 - 1).map(Enqueued::Once).collect::<Vec<_>>());
}
