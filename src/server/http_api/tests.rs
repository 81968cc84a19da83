use super::*;

fn status(method: &str, url: &str, text: &str) -> Option<u16> {
    let text = text.as_bytes().to_vec();
    match dispatch(1, method, url, |limit| read_body(text, limit)) {
        Dispatch::Reply(reply) => Some(reply.status),
        Dispatch::Event(_) => None,
    }
}

#[test]
fn malformed_requests_are_rejected_without_the_controller() {
    assert_eq!(status("GET", "/ready", ""), None);
    assert_eq!(status("POST", "/ready", ""), Some(405));
    assert_eq!(status("GET", "/nowhere", ""), Some(404));
    assert_eq!(status("DELETE", "/v1/jobs/wk-000001", ""), Some(405));
    assert_eq!(status("GET", "/v1/jobs/wk-000001/withdraw", ""), Some(405));
    assert_eq!(status("GET", "/v1/jobs/..%2F", ""), Some(404));
    assert_eq!(status("GET", "/v1/jobs/wk-000001", ""), None);
    assert_eq!(status("POST", "/v1/jobs/wk-000001/withdraw", "{}"), None);
    assert_eq!(status("POST", "/v1/jobs", "{"), Some(400));
    assert_eq!(status("POST", "/v1/jobs", r#"{"uid":"x","breed":"b"}"#), Some(400));
    assert_eq!(
        status("POST", "/v1/jobs", r#"{"uid":"wk-000001","breed":"b"}"#),
        None,
        "the job may already be accepted"
    );
    assert_eq!(status("POST", "/v1/jobs", &"x".repeat(BODY_LIMIT_BYTES + 1)), Some(400));
    assert_eq!(status("POST", "/hello", "{}"), Some(400));
    assert_eq!(
        status(
            "POST",
            "/hello",
            r#"{"stall":"i-1","stallKind":"k","paddock":"z","ride":1,"hoofbeat":1,"rein":0}"#
        ),
        None
    );
}
