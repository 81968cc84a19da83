use super::*;

/// The first frames to a process that was back at once went into the connection of the one before it.
#[test]
fn a_connection_that_the_other_side_has_ended_is_known_before_it_is_written_to() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let ours = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (theirs, _) = listener.accept().expect("the other side");
    assert!(!has_ended(&ours) && !has_ended(&ours));
    drop(theirs);
    assert!((0..10_000).any(|_| {
        std::thread::yield_now();
        has_ended(&ours)
    }));
}
