//! The command line.

use clap::{Parser, Subcommand};
use hazelsaddle::cli::loans;
use hazelsaddle::cli::{self, Asked, BatchCommand, ReleaseCommand};
use hazelsaddle::config::operators::Operators;
use hazelsaddle::config::settings::{CancellationBudget, Settings};
use hazelsaddle::server;
use hazelsaddle_logs::cli as logs_cli;
use std::process::ExitCode;

/// A cluster scheduler: controllers that take jobs, rent machines and decide what runs where.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Run a controller. SIGTERM or SIGINT makes it hand on what it knows, leave the ring and end with code 0
    /// within 5 s; a second one ends it at once. Logs go to standard error, as much as LOG_LEVEL (error, info
    /// or debug) says.
    Run {
        /// The platform's settings file (TOML).
        #[arg(long, value_name = "FILE")]
        config: String,
        /// Operators' own settings (INI); without them nothing is switched on.
        #[arg(long, value_name = "FILE")]
        operators: Option<String>,
    },
    /// Run a log store until it is told to end.
    Store(logs_cli::StoreArgs),
    /// Show and change which log stores there are.
    #[command(subcommand)]
    Stores(logs_cli::StoresCommand),
    /// Read what tasks wrote, also while they run.
    Logs(logs_cli::LogsArgs),
    /// List and fetch the files that tasks produced.
    #[command(subcommand)]
    Artefacts(logs_cli::ArtefactsCommand),
    /// Show and change releases: what a rotation waits for.
    #[command(subcommand)]
    Release(ReleaseCommand),
    /// Show and change batches: what merges may start and write on.
    #[command(subcommand)]
    Batch(BatchCommand),
    /// Say why a job waits.
    Why {
        /// The job.
        job: String,
        #[command(flatten)]
        asked: Asked,
    },
    /// Show who lent GPUs to whom, and when they are due back.
    Loans(Asked),
    /// Check a settings file and print what follows from it.
    Check {
        /// The platform's settings file (TOML).
        #[arg(long, value_name = "FILE")]
        config: String,
        /// Operators' own settings (INI).
        #[arg(long, value_name = "FILE")]
        operators: Option<String>,
    },
}

fn logs() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let filter = match level.as_str() {
        "debug" => "hazelsaddle=debug,hazelsaddle_logs=debug,info",
        "error" => "error",
        _ => "info",
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::new(filter))
        .with_ansi(false)
        .init();
}

fn main() -> ExitCode {
    let load = |file: &str, operators: Option<&str>| {
        let refused = |e: String| {
            eprintln!("hazelsaddle: {e}");
            ExitCode::from(2)
        };
        let mut settings = Settings::load(file).map_err(|e| refused(e.to_string()))?;
        if let Some(file) = operators {
            settings.operators = Operators::load(file).map_err(|e| refused(e.to_string()))?;
        }
        Ok(settings)
    };
    let told = |done: Result<(), logs_cli::Failure>| match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(logs_cli::Failure(code, why)) => {
            eprintln!("hazelsaddle: {why}");
            ExitCode::from(code)
        }
    };
    let said = |answer: Result<String, cli::Failed>| match answer {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(cli::Failed(code, why)) => {
            eprintln!("hazelsaddle: {why}");
            ExitCode::from(code)
        }
    };
    match Cli::parse().command {
        Action::Release(command) => said(cli::release(&command)),
        Action::Batch(command) => said(cli::batch(&command)),
        Action::Why { job, asked } => said(cli::why(&asked, &job)),
        Action::Loans(args) => match loans::loans(&args) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(why) => {
                eprintln!("hazelsaddle: {why}");
                ExitCode::from(1)
            }
        },
        Action::Store(args) => {
            logs();
            told(logs_cli::store(&args))
        }
        Action::Stores(command) => told(logs_cli::stores(&command)),
        Action::Logs(args) => told(logs_cli::logs(&args)),
        Action::Artefacts(command) => told(logs_cli::artefacts(&command)),
        Action::Run { config, operators } => {
            logs();
            let settings = match load(&config, operators.as_deref()) {
                Ok(s) => s,
                Err(code) => return code,
            };
            if let Err(e) = CancellationBudget::of(&settings).check() {
                // What it does serve is worth more than a refusal to start.
                tracing::error!(reason = %e, "cancellations can't be kept to on these settings");
            }
            if let Err(e) = server::run(settings) {
                eprintln!("hazelsaddle: {e}");
                return ExitCode::from(1);
            }
            ExitCode::SUCCESS
        }
        Action::Check { config, operators } => match load(&config, operators.as_deref()) {
            Ok(s) => {
                println!("{s:#?}");
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
    }
}
