use super::*;

#[test]
fn worker_of_another_incarnation_is_told_the_token_in_that_one() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a port");
    let addr = server.server_addr().to_string();
    let worker = std::thread::spawn(move || {
        for session in [1, 3] {
            let mut r = server.recv().expect("a request");
            let mut text = String::new();
            r.as_reader().read_to_string(&mut text).expect("a body");
            let said: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            assert_eq!(r.url(), "/do");
            assert_eq!(said, serde_json::json!({"rein": 9, "ride": session, "calls": []}));
            let token = if session == 3 { 9 } else { 4 };
            let report = serde_json::json!({"stall": "i-1", "stallKind": "k", "paddock": "z", "ride": 3, "hoofbeat": 8, "rein": token});
            let status = if session == 3 { 200 } else { 409 };
            let answer = tiny_http::Response::from_string(report.to_string()).with_status_code(status);
            r.respond(answer).expect("sent");
        }
    });
    let probe = FencingProbe { machine: "i-1".into(), addr, session: 1 };
    let heartbeat = send_fencing_token(&fencing_agent(), 9, &probe).expect("a heartbeat");
    assert_eq!((heartbeat.session, heartbeat.token, heartbeat.seq), (3, 9, 8));
    worker.join().expect("asked twice");
    let nobody = FencingProbe { addr: "127.0.0.1:1".into(), ..probe };
    assert!(send_fencing_token(&fencing_agent(), 9, &nobody).is_none());
}
