use super::*;
use crossbeam_channel::{Receiver, unbounded};
use std::io::{Read, Write};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than a silent connection is kept when others wait for its place.
const MAKE_ROOM_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts a server that passes each request on.
fn start(max_connections: usize) -> (Server, Receiver<(Request, Responder)>) {
    let (sender, requests) = unbounded();
    let limits = Limits { max_connections, max_body_bytes: 1000, write_timeout: ANSWER_TIMEOUT };
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(any, limits, move |request, responder| {
        let _ = sender.send((request, responder));
    });
    (server.expect("a free port"), requests)
}

/// Starts a server that answers each request with its target.
fn start_echo(max_connections: usize) -> Server {
    let (server, requests) = start(max_connections);
    std::thread::spawn(move || {
        for (request, responder) in requests {
            responder.respond(&text(&request.target));
        }
    });
    server
}

fn text(body: &str) -> Response {
    Response { status: 200, headers: Vec::new(), body: body.into() }
}

fn connect(server: &Server) -> TcpStream {
    let connection = TcpStream::connect(server.address()).expect("a connection");
    connection.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    connection
}

/// What the server sends until it closes the connection or sends nothing any more.
fn read_all(connection: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = connection.read_to_end(&mut bytes);
    String::from_utf8(bytes).expect("text")
}

#[test]
fn responses_are_sent_in_the_order_of_the_requests() {
    let (server, requests) = start(10);
    let mut client = connect(&server);
    client.write_all(b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n").expect("sent");
    let (first, responder) = requests.recv_timeout(ANSWER_TIMEOUT).expect("a request");
    assert_eq!(first.target, "/1");
    assert!(requests.recv_timeout(Duration::from_millis(100)).is_err(), "the first one is not answered yet");
    responder.respond(&text("one"));
    let (second, responder) = requests.recv_timeout(ANSWER_TIMEOUT).expect("a request");
    assert_eq!(second.target, "/2");
    responder.respond(&text("two"));
    assert_eq!(
        read_all(&mut client),
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none\
        HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\ntwo"
    );
}

#[test]
fn response_to_a_head_request_has_no_body() {
    let server = start_echo(10);
    let mut client = connect(&server);
    client.write_all(b"HEAD /abc HTTP/1.0\r\n\r\n").expect("sent");
    assert_eq!(read_all(&mut client), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\n");
}

#[test]
fn malformed_request_is_refused_and_ends_only_its_own_connection() {
    let server = start_echo(10);
    let mut bad = connect(&server);
    bad.write_all(b"nonsense\r\n\r\n").expect("sent");
    assert!(read_all(&mut bad).starts_with("HTTP/1.1 400 Bad Request\r\n"));
    let mut good = connect(&server);
    good.write_all(b"GET /good HTTP/1.0\r\n\r\n").expect("sent");
    assert!(read_all(&mut good).ends_with("/good"));
}

#[test]
fn request_that_nobody_will_answer_ends_its_connection() {
    let (server, requests) = start(10);
    let mut client = connect(&server);
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    drop(requests.recv_timeout(ANSWER_TIMEOUT).expect("a request"));
    assert_eq!(client.read(&mut [0; 10]).expect("closed, not timed out"), 0);
}

/// Guards against connections of clients that are gone, which would keep others out for good.
#[test]
fn silent_connections_make_room_for_others() {
    let server = start_echo(4);
    let silent: Vec<TcpStream> = (0..4).map(|_| connect(&server)).collect();
    let mut client = connect(&server);
    client.set_read_timeout(Some(MAKE_ROOM_TIMEOUT)).expect("set");
    client.write_all(b"GET /room HTTP/1.0\r\n\r\n").expect("sent");
    assert!(read_all(&mut client).ends_with("/room"));
    drop(silent);
}

#[test]
fn clients_are_asked_to_close_when_connections_are_short() {
    let server = start_echo(8);
    let silent: Vec<TcpStream> = (0..6).map(|_| connect(&server)).collect();
    let mut client = connect(&server);
    client.write_all(b"GET /short HTTP/1.1\r\n\r\n").expect("sent");
    assert!(read_all(&mut client).contains("Connection: close\r\n"));
    drop(silent);
}

#[test]
fn address_is_free_again_after_the_server_was_dropped() {
    let server = start_echo(10);
    let address = server.address();
    drop(server);
    let is_free = |_: &usize| {
        std::thread::sleep(ACCEPT_DELAY);
        TcpStream::connect(address).is_err()
    };
    assert!((0..100usize).find(is_free).is_some(), "still listening");
}
