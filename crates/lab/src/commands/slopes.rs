//! `slopes`: what each role of the control plane costs at growing sizes.

use super::error::CommandError;
use super::{print_line, program};
use clap::Args;
use sagearch_lab::cost_curves;
use sagearch_lab::cost_curves::report::RoleReport;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The role that is measured from outside, with the gateway's program.
const FEED_PLAIN: &str = "feed-plain";
const FEED_PLAIN_THREADS: usize = 2;

/// The arguments of `slopes`.
#[derive(Args)]
pub struct SlopesArguments {
    /// Where the results go as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// One role instead of all.
    #[arg(long)]
    role: Option<String>,
    /// The gateway's program, for the role `feed-plain`.
    #[arg(long, default_value = "target/release/sagearch", hide = true)]
    gateway: PathBuf,
}

fn show(report: &RoleReport) {
    print_line!("{}", cost_curves::report::text(report));
}

fn measure_feed_plain(gateway: &Path) -> Result<RoleReport, CommandError> {
    let gateway = program(gateway)?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(FEED_PLAIN_THREADS).enable_all().build();
    let measured =
        runtime.map_err(CommandError::Runtime)?.block_on(cost_curves::feed_plain::measure(&gateway));
    Ok(measured?)
}

fn measure(role: Option<&str>, gateway: &Path) -> Result<Vec<RoleReport>, CommandError> {
    if role != Some(FEED_PLAIN) {
        return Ok(cost_curves::run(role, show)?);
    }
    let report = measure_feed_plain(gateway)?;
    show(&report);
    Ok(vec![report])
}

/// Measures, and shows the results.
pub fn run(arguments: &SlopesArguments) -> Result<ExitCode, CommandError> {
    let reports = measure(arguments.role.as_deref(), &arguments.gateway)?;
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&reports)? + "\n";
        std::fs::write(path, text).map_err(CommandError::file(path))?;
    }
    Ok(ExitCode::SUCCESS)
}
