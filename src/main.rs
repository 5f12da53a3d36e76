//! The gateway program. The platform starts it without arguments.

#![warn(missing_docs)]

use clap::{Parser, Subcommand};
use log::LevelFilter;
use sagearch::commands::{self, identity};
use sagearch::config::{self, Config, ConfigError};
use sagearch::consensus;
use sagearch::log::Format;
use sagearch::net;
use sagearch::net::lifecycle::gateway::{Gateway, StartError};
use sagearch::net::lifecycle::signal;
use sagearch_operators::Operators;
use sagearch_operators::identity::Identity;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, OnceLock};
use thiserror::Error;

/// The file name of the control service's program, which is installed in the same folder as this one.
const CONTROL_PROGRAM: &str = "sagearch-control";

#[derive(Parser)]
#[command(
    version,
    about = "A cache gateway: takes requests in and sends them to caches, parents and the origin"
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// The configuration, instead of what `NODE_CONFIG` names
    #[arg(long, global = true, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' file: what the platform does not know. Without one, all in it is off
    #[arg(long, global = true, value_name = "FILE", default_value = "deploy/gateway.kdl")]
    operators: PathBuf,
    /// How much is logged: off, error, warn, info, debug or trace
    #[arg(long, global = true, default_value = "info")]
    log: LevelFilter,
    /// How it is written
    #[arg(long, global = true, value_enum, default_value_t)]
    log_format: Format,
}

#[derive(Subcommand)]
enum Command {
    /// Serve (the default)
    Serve,
    /// Print the version
    Version,
    /// Read and check the configuration, and say what it holds
    CheckConfig,
    /// Check, format and compare operators' files
    #[command(subcommand)]
    Config(commands::config::Command),
    /// Check tokens and certificates, show keys, and issue some
    #[command(subcommand)]
    Identity(identity::Command),
    /// The control service and its commands, by the program `sagearch-control` beside this one
    #[command(disable_help_flag = true)]
    Control {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Have the group agree on new routes of the name front: `deadline` and `source`s, as in the operators' file
    Propose {
        /// Where an instance of the group listens
        #[arg(long, value_name = "ADDRESS")]
        to: SocketAddr,
        file: PathBuf,
    },
}

/// The error that ended a command.
#[derive(Debug, Error)]
enum CommandError {
    /// The signal handlers can't be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration can't be used; the message names the key.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operators' file can't be used; the message names the location of each fault.
    #[error("{0}")]
    OperatorsFile(String),
    /// A part of the gateway can't be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The document to propose can't be read.
    #[error("{}: {cause}", path.display())]
    Document {
        path: PathBuf,
        #[source]
        cause: io::Error,
    },
    /// The consensus group has not committed the document.
    #[error(transparent)]
    Propose(#[from] consensus::ProposeError),
    /// The path of this program can't be determined.
    #[error("the path of this program: {0}")]
    OwnPath(#[source] io::Error),
    /// The program of the control service can't be run.
    #[error("{}: {cause}; build it with: cargo build --release -p {CONTROL_PROGRAM}", path.display())]
    Program {
        path: PathBuf,
        #[source]
        cause: io::Error,
    },
}

/// Serves until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP reloads the configuration.
fn serve(
    read_config: impl Fn() -> Result<Config, ConfigError> + Send + Sync + 'static,
) -> Result<(), CommandError> {
    net::set_up();
    let started: Arc<OnceLock<Gateway>> = Arc::default();
    let read_config = Arc::new(read_config);
    let (running_gateway, read_again) = (started.clone(), read_config.clone());
    // After a failed reload the configuration in force stays: a mistake in a file must not stop a gateway that is serving.
    let reload = move || {
        let result = read_again().and_then(|config| running_gateway.wait().reload(config));
        if let Err(cause) = result {
            log::error!("{cause}; going on with the configuration in force");
        }
    };
    // Signals are handled before the slow steps of the start: without a handler a signal terminates the process at once.
    let stop = signal::handle_signals(reload).map_err(CommandError::Signals)?;
    let gateway = Gateway::start(read_config()?)?;
    started.get_or_init(|| gateway).finish(&stop);
    log::info!("all that was taken has been answered");
    Ok(())
}

/// Replaces this process by the program of the control service. It is a separate program so that the gateway does not contain
/// code that only the service needs. Returns only if the replacement fails.
fn run_control(arguments: &[OsString]) -> CommandError {
    let own_path = match std::env::current_exe() {
        Ok(path) => path,
        Err(cause) => return CommandError::OwnPath(cause),
    };
    let path = own_path.with_file_name(CONTROL_PROGRAM);
    let cause = std::process::Command::new(&path).args(arguments).exec();
    CommandError::Program { path, cause }
}

/// Proposes a document to the consensus group, and returns once the group has committed it.
fn propose(to: SocketAddr, file: &Path) -> Result<(), CommandError> {
    let document =
        std::fs::read(file).map_err(|cause| CommandError::Document { path: file.to_path_buf(), cause })?;
    consensus::propose(to, &document)?;
    println!("agreed");
    Ok(())
}

/// Prints a summary of the configuration, or fails if its operators' file can't be used.
fn check_config(config: &Config) -> Result<(), CommandError> {
    println!("{} listens on {}, its event bus is {}", config.name, config.listen, config.bus);
    println!("{} events are known, {} descriptors", config.known.batch.len(), config.sockets);
    match &config.operators {
        Ok(operators) => print_operators(operators),
        Err(cause) => return Err(CommandError::OperatorsFile(cause.to_string())),
    }
    Ok(())
}

/// Prints which parts the operators' file enables.
fn print_operators(operators: &Operators) {
    match &operators.dns {
        Some(dns) => println!("names under {} are answered on {}", dns.domain, dns.listen),
        None => println!("the name front is off"),
    }
    match &operators.raft {
        Some(raft) => println!("instance {} of {} agrees on its routes", raft.id, raft.peers.len() + 1),
        None => println!("its routes are this instance's own"),
    }
    match &operators.identity {
        Some(Identity { settings, .. }) => {
            let (issuers, tenants) = (settings.issuers.len(), settings.tenants.len());
            println!("callers are told apart: {issuers} issuers, {tenants} tenants");
        }
        None => println!("callers are not told apart"),
    }
}

fn run(cli: Cli) -> Result<ExitCode, CommandError> {
    let Cli { command, config, operators, .. } = cli;
    let read_config = {
        let operators = operators.clone();
        move || config::read(config.as_deref(), &operators)
    };
    match command.unwrap_or(Command::Serve) {
        Command::Serve => serve(read_config)?,
        Command::Version => println!("sagearch {}", env!("CARGO_PKG_VERSION")),
        Command::CheckConfig => check_config(&read_config()?)?,
        // These commands define their own exit codes.
        Command::Config(command) => return Ok(commands::config::run(&command)),
        Command::Identity(command) => return Ok(identity::run(&command, &operators)),
        Command::Control { arguments } => return Err(run_control(&arguments)),
        Command::Propose { to, file } => propose(to, &file)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    sagearch::log::start(cli.log, cli.log_format);
    match run(cli) {
        Ok(code) => code,
        Err(cause) => {
            log::error!("{cause}");
            ExitCode::FAILURE
        }
    }
}
