use super::*;

#[test]
fn fencing_probe_is_repeated_for_the_workers_current_incarnation() {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let addr = server.server_addr().to_string();
    let worker = std::thread::spawn(move || {
        for incarnation in [1, 3] {
            let mut request = server.recv().expect("a request");
            let mut text = String::new();
            request.as_reader().read_to_string(&mut text).expect("a body");
            let body: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            assert_eq!(request.url(), "/do");
            assert_eq!(body, serde_json::json!({"rein": 9, "ride": incarnation, "calls": []}));
            let token = if incarnation == 3 { 9 } else { 4 };
            let heartbeat = serde_json::json!({"stall": "i-1", "stallKind": "k", "paddock": "z", "ride": 3, "hoofbeat": 8, "rein": token});
            let status = if incarnation == 3 { 200 } else { 409 };
            let response = tiny_http::Response::from_string(heartbeat.to_string()).with_status_code(status);
            request.respond(response).expect("sent");
        }
    });
    let probe = FencingProbe { machine: "i-1".into(), addr, incarnation: 1 };
    let heartbeat = send_fencing_token(&build_fencing_agent(), 9, &probe).expect("a heartbeat");
    assert_eq!((heartbeat.incarnation, heartbeat.token, heartbeat.sequence), (3, 9, 8));
    worker.join().expect("two requests");
    let unreachable = FencingProbe { addr: "127.0.0.1:1".into(), ..probe };
    assert!(send_fencing_token(&build_fencing_agent(), 9, &unreachable).is_none());
}
