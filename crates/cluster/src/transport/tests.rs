use super::*;

/// Guards against losing the first frames to a process that restarted at once: they were written to the connection of
/// the process before it.
#[test]
fn a_connection_closed_by_the_peer_is_detected_before_writing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let sender = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (receiver, _) = listener.accept().expect("the other side");
    assert!(!has_ended(&sender) && !has_ended(&sender));
    drop(receiver);
    assert!((0..10_000).any(|_| {
        std::thread::yield_now();
        has_ended(&sender)
    }));
}
