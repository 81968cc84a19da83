//! What operators ask of releases and batches: paths below `/ops/`, and a merge's question whether it may write.

use crate::peer::Reply;
use hazelsaddle_release::calendar::date_of;
use hazelsaddle_release::set::MISSING;
use serde::Deserialize;

/// Longest body of an operator's request.
const LIMIT: usize = 4096;
/// Longest reason.
const WHY: usize = 200;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpRequest {
    /// All releases.
    Releases,
    /// One release; without a night the latest.
    Release(String, Option<String>),
    /// Close a release.
    Close(String, Option<String>),
    /// Open one again that was closed.
    Reopen(String, Option<String>),
    /// Do without a job, or without the renders that are missing: the release, the job, and why.
    Waive(String, Option<String>, String, String),
    /// All batches.
    Batches,
    /// One batch.
    Batch(String),
    /// Put a batch's version on record.
    PutBatch(String, u64),
}

#[derive(Deserialize)]
struct Release {
    title: String,
    #[serde(default)]
    night: Option<String>,
}
#[derive(Deserialize)]
struct Waive {
    title: String,
    #[serde(default)]
    night: Option<String>,
    job: String,
    why: String,
}
#[derive(Deserialize)]
struct Batch {
    name: String,
    version: u64,
}

/// Decodes what a client has put in place of bytes that a path can't hold.
pub fn decoded(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(b) = rest.next() {
        bytes.push(match b {
            b'%' => {
                let digit = |c: Option<u8>| char::from(c?).to_digit(16);
                u8::try_from(digit(rest.next())? * 16 + digit(rest.next())?).ok()?
            }
            b => b,
        });
    }
    String::from_utf8(bytes).ok()
}

/// The opposite of [`decoded`].
pub fn encoded(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    text.bytes().map(|b| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") }).collect()
}

fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, all) = url.split_once('?')?;
    all.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
}

/// Reads a request below `/ops/`.
///
/// # Errors
/// The answer to one that can't be read.
pub fn parse(
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Result<OpRequest, Reply> {
    fn read<T: for<'a> Deserialize<'a>>(text: Result<String, Reply>) -> Result<T, Reply> {
        serde_json::from_str(&text?).map_err(|e| Reply::error(400, &e.to_string()))
    }
    let night_of = |r: Release| match r.night {
        Some(n) if date_of(&n).is_err() => Err(Reply::error(400, "night must be a date, YYYY-MM-DD")),
        n => Ok((r.title, n)),
    };
    let bad = || Reply::error(400, "the path can't be read");
    let path = url.split('?').next().unwrap_or("").strip_prefix("/ops/").unwrap_or("");
    match (method, path.split_once('/').map_or((path, ""), |(a, b)| (a, b))) {
        ("GET", ("releases", "")) => Ok(OpRequest::Releases),
        ("GET", ("releases", title)) => {
            let night = query(url, "night").map(|n| decoded(n).ok_or_else(bad)).transpose()?;
            let title = decoded(title).ok_or_else(bad)?;
            night_of(Release { title, night }).map(|(t, n)| OpRequest::Release(t, n))
        }
        ("POST", ("releases", "close")) => {
            night_of(read(read_body(LIMIT))?).map(|(t, n)| OpRequest::Close(t, n))
        }
        ("POST", ("releases", "reopen")) => {
            night_of(read(read_body(LIMIT))?).map(|(t, n)| OpRequest::Reopen(t, n))
        }
        ("POST", ("releases", "waive")) => {
            let w: Waive = read(read_body(LIMIT))?;
            if !crate::spec::is_job_id(&w.job) && w.job != MISSING {
                return Err(Reply::error(400, "job: must be wk- and digits, or missing"));
            }
            if w.why.trim().is_empty() || w.why.len() > WHY {
                return Err(Reply::error(400, "why: must have 1 to 200 bytes"));
            }
            let (title, night) = night_of(Release { title: w.title, night: w.night })?;
            Ok(OpRequest::Waive(title, night, w.job, w.why))
        }
        ("GET", ("batches", "")) => Ok(OpRequest::Batches),
        ("GET", ("batches", name)) => decoded(name).map(OpRequest::Batch).ok_or_else(bad),
        ("POST", ("batches", "")) => {
            let b: Batch = read(read_body(LIMIT))?;
            Ok(OpRequest::PutBatch(b.name, b.version))
        }
        (_, ("releases" | "batches", _)) => Err(Reply::error(405, "no such method here")),
        _ => Err(Reply::error(404, "no such path")),
    }
}

/// Reads a merge's question: `attempt` and `task` of `GET /v1/jobs/{id}/permit?attempt=N&task=I`.
pub fn permit(url: &str) -> Option<(u64, u32)> {
    Some((query(url, "attempt")?.parse().ok()?, query(url, "task")?.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(method: &str, url: &str, body: &str) -> Result<OpRequest, u16> {
        parse(method, url, |_| Ok(body.to_owned())).map_err(|r| r.status)
    }

    #[test]
    fn requests_are_read_and_bad_ones_told() {
        let night = Some("2026-12-01".to_owned());
        let title = "Kő-és-Kard";
        assert_eq!(decoded(&encoded(title)).as_deref(), Some(title));
        let url = format!("/ops/releases/{}?night=2026-12-01", encoded(title));
        assert_eq!(told("GET", &url, ""), Ok(OpRequest::Release(title.into(), night.clone())));
        assert_eq!(told("GET", "/ops/releases", ""), Ok(OpRequest::Releases));
        let close = r#"{"title":"t","night":"2026-12-01"}"#;
        assert_eq!(told("POST", "/ops/releases/close", close), Ok(OpRequest::Close("t".into(), night)));
        let waive = r#"{"title":"t","job":"wk-1","why":"known"}"#;
        assert_eq!(
            told("POST", "/ops/releases/waive", waive),
            Ok(OpRequest::Waive("t".into(), None, "wk-1".into(), "known".into()))
        );
        assert_eq!(
            told("POST", "/ops/batches", r#"{"name":"b","version":7}"#),
            Ok(OpRequest::PutBatch("b".into(), 7))
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
            assert_eq!(told(method, url, body), Err(status), "{method} {url} {body}");
        }
        assert_eq!(permit("/v1/jobs/wk-1/permit?attempt=9&task=3"), Some((9, 3)));
        assert_eq!(permit("/v1/jobs/wk-1/permit?attempt=9"), None);
    }
}
