//! Processes of a scale run. Each is on a leash: it ends with the laboratory, whatever ends that.

use super::usage::Usage;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// A process that was told to end is ended by force after this.
const ENDS_WITHIN: Duration = Duration::from_secs(10);

/// What a process is started with.
pub struct Start<'a> {
    /// The laboratory's own program, which holds the leash.
    pub leash: &'a Path,
    pub program: &'a Path,
    pub arguments: Vec<String>,
    pub environment: Vec<(&'static str, PathBuf)>,
    /// Where its standard error goes.
    pub log: PathBuf,
}

/// A process that runs.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    output: Option<BufReader<ChildStdout>>,
    pub pid: u32,
}

impl Process {
    pub fn start(start: Start) -> io::Result<Process> {
        let log = std::fs::File::options().create(true).append(true).open(&start.log)?;
        let mut command = Command::new(start.leash);
        command.args(["leash", &std::process::id().to_string()]).arg(start.program);
        command.args(&start.arguments).envs(start.environment);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn()?;
        let pid = child.id().ok_or_else(|| io::Error::other("it has ended at once"))?;
        let (input, output) = (child.stdin.take(), child.stdout.take().map(BufReader::new));
        Ok(Process { child, input, output, pid })
    }

    /// The next line on its standard output.
    pub async fn line(&mut self, within: Duration) -> io::Result<String> {
        let Some(output) = &mut self.output else { return Err(io::ErrorKind::NotConnected.into()) };
        let mut line = String::new();
        match tokio::time::timeout(within, output.read_line(&mut line)).await {
            Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => read.map(|_| line.trim().to_string()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Writes a line to its standard input.
    pub async fn tell(&mut self, line: &str) -> io::Result<()> {
        match &mut self.input {
            Some(input) => input.write_all(format!("{line}\n").as_bytes()).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill(Pid::from_raw(self.pid as i32), signal).map_err(Into::into)
    }

    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of_process(self.pid)
    }

    /// Kills it, and returns once it is gone.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Ends its standard input, and waits for its end.
    pub async fn end_input(mut self) -> io::Result<ExitStatus> {
        drop(self.input.take());
        self.wait().await
    }

    /// SIGTERM, and waits for its end.
    pub async fn terminate(self) -> io::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait().await
    }

    async fn wait(mut self) -> io::Result<ExitStatus> {
        match tokio::time::timeout(ENDS_WITHIN, self.child.wait()).await {
            Ok(status) => status,
            Err(_) => {
                self.child.kill().await?;
                Err(io::Error::new(io::ErrorKind::TimedOut, "it did not end when it was told to"))
            }
        }
    }
}
