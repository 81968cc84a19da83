use super::*;
use crate::server::http_api::parse_permit_query;
use crate::wire::percent_encoding::percent_encode;

fn parse_status(method: &str, url: &str, body: &str) -> Result<OperatorCommand, u16> {
    parse(method, url, |_| Ok(body.to_owned())).map_err(|reply| reply.status)
}

fn selector(title: &str, night: Option<String>) -> ReleaseSelector {
    ReleaseSelector { title: title.into(), night }
}

#[test]
fn operator_requests_are_parsed_and_malformed_ones_rejected() {
    let night = Some("2026-12-01".to_owned());
    let title = "Kő-és-Kard";
    assert_eq!(percent_decode(&percent_encode(title)).as_deref(), Some(title));
    let url = format!("/ops/releases/{}?night=2026-12-01", percent_encode(title));
    assert_eq!(
        parse_status("GET", &url, ""),
        Ok(OperatorCommand::ShowRelease(selector(title, night.clone())))
    );
    assert_eq!(parse_status("GET", "/ops/releases", ""), Ok(OperatorCommand::ListReleases));
    let close = r#"{"title":"t","night":"2026-12-01"}"#;
    assert_eq!(
        parse_status("POST", "/ops/releases/close", close),
        Ok(OperatorCommand::CloseRelease(selector("t", night)))
    );
    let waive = r#"{"title":"t","job":"wk-1","why":"known"}"#;
    assert_eq!(
        parse_status("POST", "/ops/releases/waive", waive),
        Ok(OperatorCommand::Waive {
            release: selector("t", None),
            job: "wk-1".into(),
            reason: "known".into()
        })
    );
    assert_eq!(
        parse_status("POST", "/ops/batches", r#"{"name":"b","version":7}"#),
        Ok(OperatorCommand::PutBatch { name: "b".into(), version: 7 })
    );
    for (method, url, body, status) in [
        ("POST", "/ops/releases/close", r#"{"title":"t","night":"x"}"#, 400),
        ("POST", "/ops/releases/close", "{}", 400),
        ("POST", "/ops/releases/waive", r#"{"title":"t","job":"7","why":"x"}"#, 400),
        ("POST", "/ops/releases/waive", r#"{"title":"t","job":"wk-7","why":" "}"#, 400),
        ("POST", "/ops/batches", r#"{"name":"b","version":-7}"#, 400),
        ("GET", "/ops/releases/%zz", "", 400),
        ("DELETE", "/ops/releases", "", 405),
        ("GET", "/ops/nowhere", "", 404),
    ] {
        assert_eq!(parse_status(method, url, body), Err(status), "{method} {url} {body}");
    }
    assert_eq!(parse_permit_query("/v1/jobs/wk-1/permit?attempt=9&task=3"), Some((9, 3)));
    assert_eq!(parse_permit_query("/v1/jobs/wk-1/permit?attempt=9"), None);
}
