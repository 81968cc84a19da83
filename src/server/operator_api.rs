//! Operators' requests about releases and batches: the paths below `/ops/`.

use super::http_api::query_value;
use crate::controller::{OperatorCommand, ReleaseSelector};
use crate::peer::Reply;
use crate::spec::is_job_id;
use crate::wire::operators as form;
use crate::wire::percent_encoding::percent_decode;
use hazelsaddle_release::calendar::date_of;
use hazelsaddle_release::release_record::MISSING;
use serde::Deserialize;

/// Longest body of an operator's request, in bytes.
const BODY_LIMIT: usize = 4096;
/// Longest reason of a waiver, in bytes.
const REASON_LIMIT: usize = 200;

/// Reads a request below `/ops/`. `read_body` is called, with the limit in bytes, only where a body belongs.
///
/// # Errors
/// The reply to one that is malformed.
pub fn parse(
    method: &str,
    url: &str,
    read_body: impl FnOnce(usize) -> Result<String, Reply>,
) -> Result<OperatorCommand, Reply> {
    let path = url.split('?').next().unwrap_or("").strip_prefix("/ops/").unwrap_or("");
    let (collection, rest) = path.split_once('/').unwrap_or((path, ""));
    let body = || read_body(BODY_LIMIT);
    match (method, collection, rest) {
        ("GET", "releases", "") => Ok(OperatorCommand::ListReleases),
        ("GET", "releases", title) => show_release(title, url),
        ("POST", "releases", "close") => release_in(body()).map(OperatorCommand::CloseRelease),
        ("POST", "releases", "reopen") => release_in(body()).map(OperatorCommand::ReopenRelease),
        ("POST", "releases", "waive") => waiver_in(body()),
        ("GET", "batches", "") => Ok(OperatorCommand::ListBatches),
        ("GET", "batches", name) => show_batch(name),
        ("POST", "batches", "") => batch_version_in(body()),
        (_, "releases" | "batches", _) => Err(Reply::error(405, "no such method here")),
        _ => Err(Reply::error(404, "no such path")),
    }
}

/// `GET /ops/releases/{title}[?night=YYYY-MM-DD]`.
fn show_release(title: &str, url: &str) -> Result<OperatorCommand, Reply> {
    let night = query_value(url, "night").map(decode).transpose()?;
    selector(decode(title)?, night).map(OperatorCommand::ShowRelease)
}

/// `POST /ops/releases/close` and `reopen`.
fn release_in(body: Result<String, Reply>) -> Result<ReleaseSelector, Reply> {
    let release: form::Release = from_json(body)?;
    selector(release.title, release.night)
}

/// `POST /ops/releases/waive`.
fn waiver_in(body: Result<String, Reply>) -> Result<OperatorCommand, Reply> {
    let waiver: form::Waive = from_json(body)?;
    if !is_job_id(&waiver.job) && waiver.job != MISSING {
        return Err(Reply::error(400, "job: must be wk- and digits, or missing"));
    }
    if waiver.why.trim().is_empty() || waiver.why.len() > REASON_LIMIT {
        return Err(Reply::error(400, "why: must have 1 to 200 bytes"));
    }
    let release = selector(waiver.title, waiver.night)?;
    Ok(OperatorCommand::Waive { release, job: waiver.job, reason: waiver.why })
}

/// `GET /ops/batches/{name}`.
fn show_batch(name: &str) -> Result<OperatorCommand, Reply> {
    decode(name).map(|name| OperatorCommand::ShowBatch { name })
}

/// `POST /ops/batches`.
fn batch_version_in(body: Result<String, Reply>) -> Result<OperatorCommand, Reply> {
    let batch: form::Batch = from_json(body)?;
    Ok(OperatorCommand::PutBatch { name: batch.name, version: batch.version })
}

fn selector(title: String, night: Option<String>) -> Result<ReleaseSelector, Reply> {
    match night {
        Some(night) if date_of(&night).is_err() => Err(Reply::error(400, "night must be a date, YYYY-MM-DD")),
        night => Ok(ReleaseSelector { title, night }),
    }
}

fn decode(part: &str) -> Result<String, Reply> {
    percent_decode(part).ok_or_else(|| Reply::error(400, "the path can't be read"))
}

fn from_json<T: for<'a> Deserialize<'a>>(body: Result<String, Reply>) -> Result<T, Reply> {
    serde_json::from_str(&body?).map_err(|e| Reply::error(400, &e.to_string()))
}

#[cfg(test)]
mod tests;
