//! Command-line arguments of `sagearch-control`.

use clap::{Args, Parser, Subcommand};
use jiff::SignedDuration;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    version,
    name = "sagearch control",
    about = "Streams versions of the operators' configuration to gateways"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// Which service is called, and by whom.
#[derive(Args)]
pub struct Target {
    /// Where the service listens
    #[arg(long, value_name = "ADDRESS")]
    pub to: SocketAddr,
    /// The name that its certificate must hold
    #[arg(long)]
    pub name: String,
    #[arg(long, value_name = "FILE")]
    pub roots: PathBuf,
    /// The operator's own certificate, and its key
    #[arg(long, value_name = "FILE")]
    pub certificate: PathBuf,
    #[arg(long, value_name = "FILE")]
    pub key: PathBuf,
    #[arg(long)]
    pub json: bool,
}

/// How a version is rolled out.
#[derive(Args)]
pub struct RolloutArguments {
    /// Growing shares of the fleet in percent, the last one 100
    #[arg(long, value_delimiter = ',', default_value = "10,50,100")]
    pub stages: Vec<u8>,
    /// How long each stage is watched
    #[arg(long, default_value = "30s")]
    pub hold: SignedDuration,
    /// How long gateways of a stage may take
    #[arg(long, default_value = "60s")]
    pub within: SignedDuration,
    /// Gateways that may turn it down
    #[arg(long, default_value_t = 0)]
    pub nacks: u32,
    /// By how much the share of failed requests may rise, in percent
    #[arg(long, default_value_t = 5.0)]
    pub rise: f64,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serve, in the foreground, as a file states
    Serve {
        file: PathBuf,
        #[arg(long)]
        log_json: bool,
    },
    /// Check a file and publish it as a version
    Publish {
        file: PathBuf,
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        rollout: RolloutArguments,
    },
    /// What counts, what is on its way, and who has what
    Status {
        #[command(flatten)]
        target: Target,
    },
    /// Back to what a version held, for all at once, under a new number
    Rollback {
        number: u64,
        #[command(flatten)]
        target: Target,
    },
    /// What differs between two versions, by meaning
    Diff {
        before: u64,
        after: u64,
        #[command(flatten)]
        target: Target,
    },
    /// The event feed: what its relays know of gateways
    #[command(subcommand)]
    Feed(FeedCommand),
}

/// Which relays are asked.
#[derive(Args)]
pub struct Relays {
    /// Where a relay listens; of several, the first one that answers counts
    #[arg(long = "relay", value_name = "ADDRESS", required = true)]
    pub addresses: Vec<SocketAddr>,
    #[arg(long)]
    pub json: bool,
}

/// Commands about the event feed.
#[derive(Subcommand)]
pub enum FeedCommand {
    /// The relay's offset and age, its subscribers, and who is in doubt or behind
    Status {
        /// Also who has not acknowledged this offset
        #[arg(long)]
        offset: Option<u64>,
        #[command(flatten)]
        relays: Relays,
    },
    /// Wait until an offset is in force everywhere; exit code 1 where it is not in time
    Wait {
        offset: u64,
        /// How long to wait
        #[arg(long, default_value = "10s")]
        within: SignedDuration,
        #[command(flatten)]
        relays: Relays,
    },
    /// Take a subscriber that is gone for good out of the table
    Forget {
        name: String,
        #[command(flatten)]
        relays: Relays,
    },
}
