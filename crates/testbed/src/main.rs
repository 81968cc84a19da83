//! The laboratory's command line.

use clap::{Parser, Subcommand};
use hazelsaddle::config::operators::Operators;
use hazelsaddle::config::settings::Settings;
use hazelsaddle::server;
use hazelsaddle_logs::{cli, spool::Policy};
use hazelsaddle_testbed::experiment::{self, Plan};
use hazelsaddle_testbed::local_cluster::{LocalCluster, Size};
use hazelsaddle_testbed::measure;
use hazelsaddle_testbed::worker::Script;
use hazelsaddle_testbed::{batches, releases};
use std::process::ExitCode;
use std::time::Duration;

/// Stand-ins for the systems that hazelsaddle serves, and experiments on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Start a whole deployment on free loopback ports, run a sample job, show its logs, and end.
    Up {
        /// Go on until Enter is pressed or standard input ends.
        #[arg(long)]
        stay: bool,
    },
    /// Run an experiment; the last line on standard output is one JSON document.
    #[command(subcommand)]
    Experiment(Experiment),
    /// Measure log stores on this machine; the last line on standard output is one JSON document.
    #[command(subcommand)]
    Measure(Measure),
    #[command(hide = true)]
    Controller {
        #[arg(long)]
        config: String,
        #[arg(long)]
        operators: Option<String>,
    },
    #[command(hide = true)]
    Store {
        #[arg(long)]
        config: String,
    },
}

#[derive(Subcommand)]
enum Experiment {
    /// Tasks write while machines, stores and controllers are killed and machines drained; then all is read back.
    /// Exits with 1 if anything is lost, doubled, mixed up or not on record.
    Logs {
        /// Where all chance comes from.
        #[arg(long)]
        seed: u64,
        /// Machines at the start.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=24))]
        workers: u32,
        /// Machines, stores and controllers killed.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(0..=40))]
        kills: u32,
        /// Machines drained.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(0..=20))]
        drains: u32,
        /// MiB written three times over to measure the disk; 0: not measured.
        #[arg(long, default_value_t = 64)]
        mib: u64,
        /// One JSON document and nothing else.
        #[arg(long)]
        json: bool,
    },
    /// Rebuilds, renders and rotations of many titles, while controllers and machines are killed and controllers come back at
    /// once. Exits with 1 if a rotation starts early, an accepted render isn't waited for, or anything is lost or held for ever.
    Releases {
        /// Where all chance comes from.
        #[arg(long)]
        seed: u64,
        /// Machines at the start.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(4..=60))]
        machines: u32,
        /// Controllers and machines killed.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(0..=60))]
        kills: u32,
        /// One JSON document and nothing else.
        #[arg(long)]
        json: bool,
    },
    /// Batches that are replaced while merges wait, start, run and ask whether they may write, and controllers and machines are
    /// killed. Exits with 1 if a merge starts or writes on old runs, is refused wrongly or stuck, or anything is lost.
    Freshness {
        /// Where all chance comes from.
        #[arg(long)]
        seed: u64,
        /// Machines at the start.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(4..=60))]
        machines: u32,
        /// Controllers and machines killed.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(0..=60))]
        kills: u32,
        /// One JSON document and nothing else.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Subcommand)]
enum Measure {
    /// What a store takes beside plain writes with as many bytes a sync.
    Ingest {
        #[arg(long, default_value_t = 256)]
        mib: u64,
    },
    /// How soon a follower sees a line, idle and at half load.
    Follow {
        #[arg(long, default_value_t = 256)]
        mib: u64,
    },
    /// How long a store takes to open what it holds.
    Recover {
        #[arg(long, default_value_t = 2048)]
        mib: u64,
    },
    /// What a store holds in memory by the number of attempts.
    Memory {
        #[arg(long, value_delimiter = ',', default_value = "100,10000,100000")]
        attempts: Vec<u32>,
    },
}

fn logging(default: &str) {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| default.to_owned());
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .with_ansi(false)
        .init();
}

fn up(stay: bool) -> Result<(), Box<dyn std::error::Error>> {
    let town =
        LocalCluster::start(&std::env::current_exe()?, &Size { workers: 3, stores: 3, ..Size::default() })?;
    let shown =
        |a: &[std::net::SocketAddrV4]| a.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
    println!("controllers  {}", shown(&town.api));
    println!("log stores   {}   (readers; for --stores)", shown(&town.doors));
    let id = "wk-000001".to_owned();
    let script = Script {
        team: "lab-team".into(),
        cpus: 1.0,
        lines: 20,
        width: 60,
        pause: Duration::from_millis(100),
        burst: 1,
        policy: Policy::Block,
        spool: 1 << 20,
        file: 100_000,
    };
    town.submit(&id, 4, script)?;
    println!("submitted    {id}, 4 tasks");
    let late = town.wait(std::slice::from_ref(&id), Duration::from_secs(60), || {});
    if !late.is_empty() {
        eprintln!("{}", town.logs());
        return Err(format!("{id} is not done after a minute").into());
    }
    println!("done         {}", town.stance(&id).map_or(String::new(), |s| s.to_string()));
    let show = |args: &[&str]| -> Result<(), String> {
        #[derive(Parser)]
        struct Logs {
            #[command(flatten)]
            args: cli::LogsArgs,
        }
        #[derive(Parser)]
        enum Files {
            #[command(flatten)]
            Of(cli::ArtefactsCommand),
        }
        let done = match args[0] {
            "logs" => cli::logs(&Logs::try_parse_from(args).map_err(|e| e.to_string())?.args),
            _ => {
                let Files::Of(command) = Files::try_parse_from(args).map_err(|e| e.to_string())?;
                cli::artefacts(&command)
            }
        };
        done.map_err(|f| f.1)
    };
    let doors = shown(&town.doors);
    println!("\n$ hazelsaddle logs {id} --tail 2 --stores {doors}");
    show(&["logs", &id, "--tail", "2", "--stores", &doors])?;
    println!("\n$ hazelsaddle artefacts list {id} --stores {doors}");
    show(&["artefacts", "list", &id, "--stores", &doors])?;
    if stay {
        println!("\nPress Enter to end.");
        let _ = std::io::stdin().read_line(&mut String::new());
    }
    drop(town);
    println!("ended");
    Ok(())
}

fn failed(e: Box<dyn std::error::Error>) -> ExitCode {
    eprintln!("hazelsaddle-testbed: {e}");
    ExitCode::from(1)
}

/// Runs an experiment: its outcome goes to standard output as one line, and 1 is the code if it doesn't hold.
fn tried(
    json: bool,
    run: impl FnOnce(&std::path::Path) -> Result<(String, bool), Box<dyn std::error::Error>>,
) -> ExitCode {
    logging(if json { "error" } else { "info" });
    match std::env::current_exe().map_err(Into::into).and_then(|program| run(&program)) {
        Ok((line, holds)) => {
            println!("{line}");
            if holds { ExitCode::SUCCESS } else { ExitCode::from(1) }
        }
        Err(e) => failed(e),
    }
}

fn main() -> ExitCode {
    let printed = |r: Result<serde_json::Value, Box<dyn std::error::Error>>| match r {
        Ok(v) => {
            println!("{v}");
            ExitCode::SUCCESS
        }
        Err(e) => failed(e),
    };
    match Cli::parse().command {
        Action::Up { stay } => {
            logging("error");
            up(stay).map_or_else(failed, |()| ExitCode::SUCCESS)
        }
        Action::Experiment(Experiment::Logs { seed, workers, kills, drains, mib, json }) => {
            logging(if json { "error" } else { "info" });
            let plan =
                Plan { seed, workers: workers as usize, kills: kills as usize, drains: drains as usize, mib };
            let program = match std::env::current_exe() {
                Ok(p) => p,
                Err(e) => return failed(e.into()),
            };
            match experiment::logs(&program, plan) {
                Ok(out) => {
                    println!("{}", serde_json::to_string(&out).unwrap_or_default());
                    if out.holds() { ExitCode::SUCCESS } else { ExitCode::from(1) }
                }
                Err(e) => failed(e),
            }
        }
        Action::Experiment(Experiment::Releases { seed, machines, kills, json }) => tried(json, |program| {
            let out = releases::releases(program, seed, machines as usize, kills as usize)?;
            Ok((serde_json::to_string(&out)?, out.holds()))
        }),
        Action::Experiment(Experiment::Freshness { seed, machines, kills, json }) => tried(json, |program| {
            let out = batches::freshness(program, seed, machines as usize, kills as usize)?;
            Ok((serde_json::to_string(&out)?, out.holds()))
        }),
        Action::Measure(m) => {
            logging("error");
            printed(match m {
                Measure::Ingest { mib } => measure::ingest(mib).map(
                    |(s, d)| serde_json::json!({"store_mb_per_s": s, "disk_mb_per_s": d, "share": s / d}),
                ),
                Measure::Follow { mib } => measure::follow(mib),
                Measure::Recover { mib } => measure::recover(mib),
                Measure::Memory { attempts } => measure::memory(&attempts),
            })
        }
        Action::Controller { config, operators } => {
            logging("info");
            let load = || -> Result<Settings, Box<dyn std::error::Error>> {
                let mut s = Settings::load(&config)?;
                if let Some(file) = &operators {
                    s.operators = Operators::load(file)?;
                }
                Ok(s)
            };
            match load() {
                Ok(s) => server::run(s).map_or_else(|e| failed(e.into()), |()| ExitCode::SUCCESS),
                Err(e) => failed(e),
            }
        }
        Action::Store { config } => {
            logging("info");
            let args = cli::StoreArgs { config: Some(config), sample: false, check: false };
            cli::store(&args).map_or_else(|f| failed(f.1.into()), |()| ExitCode::SUCCESS)
        }
    }
}
