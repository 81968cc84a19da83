//! The command line: arguments, subcommands and exit codes. Each subcommand is a function; its output is formatted in
//! [`hazelsaddle::cli`] and [`hazelsaddle_logs::cli`].

use clap::{Parser, Subcommand};
use hazelsaddle::cli::batches::BatchCommand;
use hazelsaddle::cli::releases::ReleaseCommand;
use hazelsaddle::cli::{self, CliError, ControllerArgs};
use hazelsaddle::config::operators::Operators;
use hazelsaddle::config::settings::{CancellationBudget, Settings, SettingsError};
use hazelsaddle::server::{self, ServerError};
use hazelsaddle_logs::cli as logs_cli;
use hazelsaddle_logs::config::ConfigError;
use std::process::ExitCode;

/// A cluster scheduler: controllers that take jobs, rent machines and decide what runs where.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
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
        controllers: ControllerArgs,
    },
    /// Show who lent GPUs to whom, and when they are due back.
    Loans(ControllerArgs),
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

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a controller that can't start.
const EXIT_SERVER: u8 = 1;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The platform's settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operators' settings can't be used.
    #[error(transparent)]
    Operators(#[from] ConfigError),
    /// A controller can't start.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// A subcommand that queries a controller failed.
    #[error(transparent)]
    Cli(#[from] CliError),
    /// A subcommand of the log stores failed: its exit code and its message.
    #[error("{1}")]
    Logs(u8, String),
}

impl From<logs_cli::Failure> for CommandError {
    fn from(failure: logs_cli::Failure) -> CommandError {
        CommandError::Logs(failure.0, failure.1)
    }
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            CommandError::Settings(_) | CommandError::Operators(_) => EXIT_SETTINGS,
            CommandError::Server(_) => EXIT_SERVER,
            CommandError::Cli(e) => e.exit_code(),
            CommandError::Logs(code, _) => *code,
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("hazelsaddle: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run { config, operators } => run_controller(&config, operators.as_deref()),
        Command::Store(args) => run_log_store(&args),
        Command::Stores(command) => Ok(logs_cli::stores(&command)?),
        Command::Logs(args) => Ok(logs_cli::logs(&args)?),
        Command::Artefacts(command) => Ok(logs_cli::artefacts(&command)?),
        Command::Release(command) => print_output(cli::releases::run(&command)),
        Command::Batch(command) => print_output(cli::batches::run(&command)),
        Command::Why { job, controllers } => print_output(cli::why::run(&controllers, &job)),
        Command::Loans(controllers) => print_output(cli::loans::run(&controllers)),
        Command::Check { config, operators } => check_settings(&config, operators.as_deref()),
    }
}

fn run_controller(config: &str, operators: Option<&str>) -> Result<(), CommandError> {
    log_to_stderr();
    let settings = load_settings(config, operators)?;
    if let Err(e) = CancellationBudget::from_settings(&settings).check() {
        // The controller starts all the same: one that misses `cancel_s` serves its users better than none.
        tracing::error!(reason = %e, "cancel_s can't be held on these settings");
    }
    server::run(settings)?;
    Ok(())
}

fn run_log_store(args: &logs_cli::StoreArgs) -> Result<(), CommandError> {
    log_to_stderr();
    logs_cli::store(args)?;
    Ok(())
}

fn check_settings(config: &str, operators: Option<&str>) -> Result<(), CommandError> {
    println!("{:#?}", load_settings(config, operators)?);
    Ok(())
}

fn print_output(output: Result<String, CliError>) -> Result<(), CommandError> {
    print!("{}", output?);
    Ok(())
}

fn load_settings(config: &str, operators: Option<&str>) -> Result<Settings, CommandError> {
    let mut settings = Settings::load(config)?;
    if let Some(file) = operators {
        settings.operators = Operators::load(file)?;
    }
    Ok(settings)
}

/// Sends the logs to standard error, at the level that the environment variable LOG_LEVEL names.
fn log_to_stderr() {
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
