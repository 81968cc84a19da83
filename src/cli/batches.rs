//! The subcommand `batch`.

use super::client::{format_json, send_request};
use super::{CliError, ControllerArgs};
use crate::wire::percent_encoding::percent_encode;
use clap::Subcommand;
use serde_json::{Value, json};

/// The path of the operators' API for batches.
const PATH: &str = "/ops/batches";

/// What is asked about batches.
#[derive(Subcommand, Clone, Debug)]
pub enum BatchCommand {
    /// List all batches with their versions.
    List(ControllerArgs),
    /// Show a batch: its version, its runs, permits that are held, and writes that a newer version came after.
    Show {
        /// The batch.
        name: String,
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        controllers: ControllerArgs,
    },
    /// Put a batch's version on record. It only rises; the same twice is fine.
    Put {
        /// The batch.
        name: String,
        /// The version.
        #[arg(long)]
        version: u64,
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        controllers: ControllerArgs,
    },
}

/// Runs a command about batches and returns the text to print.
///
/// # Errors
/// If no controller answers, or one rejects the request.
pub fn run(command: &BatchCommand) -> Result<String, CliError> {
    let (answer, controllers) = match command {
        BatchCommand::List(controllers) => (send_request(controllers, "GET", PATH, None)?, controllers),
        BatchCommand::Show { name, controllers } => (
            send_request(controllers, "GET", &format!("{PATH}/{}", percent_encode(name)), None)?,
            controllers,
        ),
        BatchCommand::Put { name, version, controllers } => {
            let body = json!({"name": name, "version": version});
            (send_request(controllers, "POST", PATH, Some(&body))?, controllers)
        }
    };
    if controllers.json {
        return Ok(format_json(&answer));
    }
    Ok(match answer["batches"].as_array() {
        Some(batches) => batches.iter().map(format_batch).collect(),
        None => format_batch(&answer),
    })
}

/// Formats a batch as text.
fn format_batch(batch: &Value) -> String {
    let mut text = format!("{}: version {}\n", field_text(batch, "batch"), field_text(batch, "version"));
    for run in array_items(batch, "runs") {
        let (job, class) = (field_text(run, "job"), field_text(run, "class"));
        let (version, state) = (field_text(run, "version"), field_text(run, "stands"));
        text.push_str(&format!("  run {job} ({class}): version {version}, {state}\n"));
    }
    for permit in array_items(batch, "permits") {
        let (job, attempt) = (field_text(permit, "job"), field_text(permit, "attempt"));
        let (fence, version) = (field_text(permit, "fence"), field_text(permit, "version"));
        text.push_str(&format!("  writes {job}, attempt {attempt}: version {version}, fence {fence}\n"));
    }
    for write in array_items(batch, "after") {
        let (version, fence) = (field_text(write, "version"), field_text(write, "after_fence"));
        text.push_str(&format!("  version {version} came after the write with fence {fence}\n"));
    }
    text
}

/// The items of the array at a key; none if it is no array.
fn array_items<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value[key].as_array().into_iter().flatten()
}

/// The value of a key as text.
fn field_text(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::String(text) => text.clone(),
        Value::Null => "none".into(),
        other => other.to_string(),
    }
}
