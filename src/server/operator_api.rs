//! Operators' requests about releases and batches: the paths `/ops/releases` and `/ops/batches`.

use super::http_api::find_query_value;
use crate::controller::{OperatorCommand, ReleaseSelector};
use crate::peer::Reply;
use crate::spec::is_job_id;
use crate::wire::operators as form;
use crate::wire::percent_encoding::percent_decode;
use hazelsaddle_release::calendar::parse_night;
use hazelsaddle_release::release_record::MISSING;
use serde::Deserialize;

/// Longest body of an operator's request, in bytes.
const BODY_LIMIT_BYTES: usize = 4096;
/// Longest reason of a waiver, in bytes.
const REASON_LIMIT_BYTES: usize = 200;

/// Parses a request below `/ops/`. `read_body` is called, with the limit in bytes, only for requests that have a body.
///
/// # Errors
/// The reply to a request that is malformed.
pub fn parse(
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Result<OperatorCommand, Reply> {
    let path = url.split('?').next().unwrap_or("").strip_prefix("/ops/").unwrap_or("");
    let (collection, rest) = path.split_once('/').unwrap_or((path, ""));
    let body = || read_body(BODY_LIMIT_BYTES);
    match (method, collection, rest) {
        ("GET", "releases", "") => Ok(OperatorCommand::ListReleases),
        ("GET", "releases", title) => parse_show_release(title, url),
        ("POST", "releases", "close") => parse_release(body()).map(OperatorCommand::CloseRelease),
        ("POST", "releases", "reopen") => parse_release(body()).map(OperatorCommand::ReopenRelease),
        ("POST", "releases", "waive") => parse_waiver(body()),
        ("GET", "batches", "") => Ok(OperatorCommand::ListBatches),
        ("GET", "batches", name) => parse_show_batch(name),
        ("POST", "batches", "") => parse_batch_version(body()),
        (_, "releases" | "batches", _) => Err(Reply::error(405, "no such method here")),
        _ => Err(Reply::error(404, "no such path")),
    }
}

/// `GET /ops/releases/{title}[?night=YYYY-MM-DD]`.
fn parse_show_release(title: &str, url: &str) -> Result<OperatorCommand, Reply> {
    let night = find_query_value(url, "night").map(decode).transpose()?;
    build_selector(decode(title)?, night).map(OperatorCommand::ShowRelease)
}

/// `POST /ops/releases/close` and `reopen`.
fn parse_release(body: Result<String, Reply>) -> Result<ReleaseSelector, Reply> {
    let release: form::Release = parse_json(body)?;
    build_selector(release.title, release.night)
}

/// `POST /ops/releases/waive`.
fn parse_waiver(body: Result<String, Reply>) -> Result<OperatorCommand, Reply> {
    let waiver: form::Waive = parse_json(body)?;
    if !is_job_id(&waiver.job) && waiver.job != MISSING {
        return Err(Reply::error(400, "job: must be wk- and digits, or missing"));
    }
    if waiver.why.trim().is_empty() || waiver.why.len() > REASON_LIMIT_BYTES {
        return Err(Reply::error(400, "why: must have 1 to 200 bytes"));
    }
    let release = build_selector(waiver.title, waiver.night)?;
    Ok(OperatorCommand::Waive { release, job: waiver.job, reason: waiver.why })
}

/// `GET /ops/batches/{name}`.
fn parse_show_batch(name: &str) -> Result<OperatorCommand, Reply> {
    decode(name).map(|name| OperatorCommand::ShowBatch { name })
}

/// `POST /ops/batches`.
fn parse_batch_version(body: Result<String, Reply>) -> Result<OperatorCommand, Reply> {
    let batch: form::Batch = parse_json(body)?;
    Ok(OperatorCommand::PutBatch { name: batch.name, version: batch.version })
}

fn build_selector(title: String, night: Option<String>) -> Result<ReleaseSelector, Reply> {
    match night {
        Some(night) if parse_night(&night).is_err() => {
            Err(Reply::error(400, "night must be a date, YYYY-MM-DD"))
        }
        night => Ok(ReleaseSelector { title, night }),
    }
}

fn decode(encoded: &str) -> Result<String, Reply> {
    percent_decode(encoded).ok_or_else(|| Reply::error(400, "the path can't be read"))
}

fn parse_json<T: for<'a> Deserialize<'a>>(body: Result<String, Reply>) -> Result<T, Reply> {
    serde_json::from_str(&body?).map_err(|e| Reply::error(400, &e.to_string()))
}

#[cfg(test)]
mod tests;
