//! The verb `batch`.

use super::client::{ask, one_line};
use super::{CliError, ControllerArgs};
use crate::wire::percent_encoding::percent_encode;
use clap::Subcommand;
use serde_json::{Value, json};

/// Where batches are asked for.
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

/// Carries out a command about batches; the text to print.
///
/// # Errors
/// If no controller answers, or one refuses.
pub fn run(command: &BatchCommand) -> Result<String, CliError> {
    let (answer, controllers) = match command {
        BatchCommand::List(controllers) => (ask(controllers, "GET", PATH, None)?, controllers),
        BatchCommand::Show { name, controllers } => {
            (ask(controllers, "GET", &format!("{PATH}/{}", percent_encode(name)), None)?, controllers)
        }
        BatchCommand::Put { name, version, controllers } => {
            let body = json!({"name": name, "version": version});
            (ask(controllers, "POST", PATH, Some(&body))?, controllers)
        }
    };
    if controllers.json {
        return Ok(one_line(&answer));
    }
    Ok(match answer["batches"].as_array() {
        Some(batches) => batches.iter().map(in_words).collect(),
        None => in_words(&answer),
    })
}

/// A batch in words.
fn in_words(batch: &Value) -> String {
    let mut text = format!("{}: version {}\n", member(batch, "batch"), member(batch, "version"));
    for run in members(batch, "runs") {
        let (job, class) = (member(run, "job"), member(run, "class"));
        let (version, state) = (member(run, "version"), member(run, "stands"));
        text.push_str(&format!("  run {job} ({class}): version {version}, {state}\n"));
    }
    for permit in members(batch, "permits") {
        let (job, attempt) = (member(permit, "job"), member(permit, "attempt"));
        let (fence, version) = (member(permit, "fence"), member(permit, "version"));
        text.push_str(&format!("  writes {job}, attempt {attempt}: version {version}, fence {fence}\n"));
    }
    for write in members(batch, "after") {
        let (version, fence) = (member(write, "version"), member(write, "after_fence"));
        text.push_str(&format!("  version {version} came after the write with fence {fence}\n"));
    }
    text
}

fn members<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value[key].as_array().into_iter().flatten()
}

fn member(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::String(text) => text.clone(),
        Value::Null => "none".into(),
        other => other.to_string(),
    }
}
