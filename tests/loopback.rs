//! Network clients over real sockets on loopback, against fake servers for the external systems.

use hazelsaddle::autoscaler::{CloudAnswer, CloudClient, CloudRequest, ScaleOut};
use hazelsaddle::peer::{self, Frame, Message};
use hazelsaddle::state_store::{StoreAnswer, StoreClient, StoreRequest, Transaction};
use hazelsaddle::units::Micros;
use serde_json::{Value, json};
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

/// A request that a fake server received: method, path and body.
type ReceivedRequests = Vec<(String, String, Value)>;

/// Starts a fake server that answers each request in turn with a status and a body, and returns the requests that it
/// received.
fn start_fake_server(
    answers: Vec<(u16, Value)>,
) -> (SocketAddrV4, std::thread::JoinHandle<ReceivedRequests>) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port is free");
    let Some(SocketAddr::V4(addr)) = server.server_addr().to_ip() else { panic!("an IPv4 address") };
    let received = std::thread::spawn(move || {
        let mut received = Vec::new();
        for (status, body) in answers {
            let mut r = server.recv().expect("a request");
            let mut text = String::new();
            r.as_reader().read_to_string(&mut text).expect("a body");
            let sent = serde_json::from_str(&text).unwrap_or(Value::Null);
            received.push((r.method().to_string(), r.url().to_owned(), sent));
            r.respond(tiny_http::Response::from_string(body.to_string()).with_status_code(status))
                .expect("the client is there");
        }
        received
    });
    (addr, received)
}

#[test]
fn the_state_store_client_follows_its_protocol() {
    let commit = StoreRequest::Transaction(Transaction {
        conditions: vec![("a/b".into(), 0)],
        puts: vec![("a/b".into(), json!({"x": 1}), Some(7))],
        deletes: vec!["c/d".into()],
    });
    let row = json!({"k": "a/b", "v": {"x": 1}, "mark": 412, "tether": 7});
    let (addr, received) = start_fake_server(vec![
        (200, row.clone()),
        (404, json!({"ledger": 431})),
        (200, json!({"rows": [row], "more": true, "ledger": 431})),
        (200, json!({"ledger": 432})),
        (409, json!({"failed": ["a/b"], "ledger": 431})),
        (400, json!({"error": "no such lease"})),
        (503, json!({})),
        (200, json!({"tether": 9})),
        (404, json!({})),
        (200, json!("nonsense")),
    ]);
    let client = StoreClient::new(addr, Duration::from_secs(5));
    let get = StoreRequest::Get("a/b".into());
    assert!(
        matches!(client.call(&get), StoreAnswer::Got(Some(r)) if r.store_version == 412 && r.value == json!({"x": 1}))
    );
    assert_eq!(client.call(&get), StoreAnswer::Got(None));
    let page = client.call(&StoreRequest::List("a/".into(), "a/a".into()));
    assert!(matches!(page, StoreAnswer::Page(rows, true) if rows.len() == 1));
    assert_eq!(client.call(&commit), StoreAnswer::Committed(432));
    assert_eq!(client.call(&commit), StoreAnswer::Conflict(vec!["a/b".into()]));
    assert_eq!(client.call(&commit), StoreAnswer::NoLease);
    assert_eq!(client.call(&commit), StoreAnswer::Refused, "certainly not executed");
    assert_eq!(client.call(&StoreRequest::Grant(5000)), StoreAnswer::Granted(9));
    assert_eq!(client.call(&StoreRequest::Renew(9)), StoreAnswer::NoLease);
    assert_eq!(client.call(&get), StoreAnswer::Unknown, "an unreadable answer tells nothing");
    let received = received.join().expect("the fake server ended without a panic");
    assert_eq!(received[0].1, "/store/a/b");
    assert_eq!(received[2].1, "/store?prefix=a/&limit=200&after=a/a");
    let expected = json!({"if": [{"k": "a/b", "mark": 0}],
        "writes": [{"write": "a/b", "v": {"x": 1}, "tether": 7}, {"drop": "c/d"}]});
    assert_eq!(received[3], ("POST".into(), "/commit".into(), expected));
    assert_eq!(received[7].2, json!({"lifeMs": 5000}));
    assert_eq!(received[8].1, "/grants/9/renew");
    // The server is gone: it is unknown whether the request was executed.
    assert_eq!(client.call(&commit), StoreAnswer::Unknown);
}

#[test]
fn the_cloud_client_follows_its_protocol() {
    let (addr, received) = start_fake_server(vec![
        (200, json!({"stalls": ["i-000231"]})),
        (503, json!({"error": "no capacity"})),
        (503, json!({"error": "trouble"})),
        (200, json!({})),
    ]);
    let client = CloudClient::new(addr);
    let rental =
        ScaleOut { name: "r-17".into(), machine_type: "g8".into(), zone: "a".into(), spot: true, count: 12 };
    let rent = CloudRequest::ScaleOut(rental);
    assert_eq!(client.call(&rent), CloudAnswer::ScaledOut(vec!["i-000231".into()]));
    assert_eq!(client.call(&rent), CloudAnswer::NoCapacity);
    assert_eq!(client.call(&rent), CloudAnswer::Failed);
    assert_eq!(client.call(&CloudRequest::ScaleIn(vec!["i-000231".into()])), CloudAnswer::ScaledIn);
    let received = received.join().expect("the fake server ended without a panic");
    let expected = json!({"hire": "r-17", "stallKind": "g8", "paddock": "a", "borrowed": true, "count": 12});
    assert_eq!(received[0], ("POST".into(), "/rentals".into(), expected));
    assert_eq!(received[3], ("POST".into(), "/rentals/return".into(), json!({"stalls": ["i-000231"]})));
}

#[test]
fn a_malformed_frame_closes_only_its_own_connection() {
    use std::io::Write;
    let (tx, rx) = crossbeam_channel::unbounded();
    let any = "127.0.0.1:0".parse().expect("an address");
    let addr = peer::listen(any, move |f| tx.send(f).expect("the test listens")).expect("a port is free");
    let mut bad = std::net::TcpStream::connect(addr).expect("it listens");
    bad.write_all(&[5, 0, 0, 0, 1, 2, 3, 4, 5]).expect("written");
    let frame = Frame {
        from: 1,
        epoch: 3,
        members: vec![0, 1],
        clock: Micros(7),
        boot: 8,
        echo: Micros(6),
        echo_boot: 9,
        sequence_seen: 0,
        body: Message::KeepAlive,
    };
    peer::enqueue(&peer::dial(addr), frame.clone());
    assert_eq!(rx.recv_timeout(Duration::from_secs(60)), Ok(frame));
}
