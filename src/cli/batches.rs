//! Verbs about batches.

use super::*;

/// What is asked about batches.
#[derive(Subcommand, Clone, Debug)]
pub enum BatchCommand {
    /// List all batches with their versions.
    List(Asked),
    /// Show a batch: its version, its runs, permits that are held, and writes that a newer version came after.
    Show {
        /// The batch.
        name: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Put a batch's version on record. It only rises; the same twice is fine.
    Put {
        /// The batch.
        name: String,
        /// The version.
        #[arg(long)]
        version: u64,
        #[command(flatten)]
        asked: Asked,
    },
}

fn shown(v: &Value) -> String {
    let said = |v: &Value, key: &str| match &v[key] {
        Value::String(s) => s.clone(),
        Value::Null => "none".into(),
        other => other.to_string(),
    };
    let mut text = format!("{}: version {}\n", said(v, "batch"), said(v, "version"));
    for r in v["runs"].as_array().into_iter().flatten() {
        let (job, class) = (said(r, "job"), said(r, "class"));
        text.push_str(&format!(
            "  run {job} ({class}): version {}, {}\n",
            said(r, "version"),
            said(r, "stands")
        ));
    }
    for p in v["permits"].as_array().into_iter().flatten() {
        let (job, attempt) = (said(p, "job"), said(p, "attempt"));
        let (fence, version) = (said(p, "fence"), said(p, "version"));
        text.push_str(&format!("  writes {job}, attempt {attempt}: version {version}, fence {fence}\n"));
    }
    for a in v["after"].as_array().into_iter().flatten() {
        let (version, fence) = (said(a, "version"), said(a, "after_fence"));
        text.push_str(&format!("  version {version} came after the write with fence {fence}\n"));
    }
    text
}

/// Carries out a command about batches; the text to print.
///
/// # Errors
/// As [`ask`].
pub fn batch(command: &BatchCommand) -> Result<String, Failed> {
    let path = "/ops/batches";
    let (v, asked) = match command {
        BatchCommand::List(asked) => (ask(asked, "GET", path, None)?, asked),
        BatchCommand::Show { name, asked } => {
            (ask(asked, "GET", &format!("{path}/{}", encoded(name)), None)?, asked)
        }
        BatchCommand::Put { name, version, asked } => {
            (ask(asked, "POST", path, Some(&json!({"name": name, "version": version})))?, asked)
        }
    };
    if asked.json {
        return Ok(format!("{v}\n"));
    }
    Ok(match v["batches"].as_array() {
        Some(all) => all.iter().map(shown).collect(),
        None => shown(&v),
    })
}
