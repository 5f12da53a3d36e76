//! Processes of a scale run. Each ends with the laboratory, whatever ends that.

use super::usage::Usage;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

/// A process that does not end after a request to end is killed after this.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// What a process is started with.
pub struct ProcessOptions<'a> {
    /// The laboratory's own program: its command `leash` runs another program that ends with the laboratory.
    pub launcher: &'a Path,
    /// The program.
    pub program: &'a Path,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Variables that are added to its environment.
    pub environment: Vec<(&'static str, PathBuf)>,
    /// The file that its standard error is appended to.
    pub log: PathBuf,
}

/// A process that runs.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
    output: Option<BufReader<ChildStdout>>,
    /// Its id.
    pub pid: u32,
}

impl Process {
    /// Starts a process.
    ///
    /// # Errors
    ///
    /// Where its log can't be opened, or it can't be started.
    pub fn start(options: ProcessOptions) -> io::Result<Process> {
        let log = std::fs::File::options().create(true).append(true).open(&options.log)?;
        let mut command = Command::new(options.launcher);
        command.args(["leash", &std::process::id().to_string()]).arg(options.program);
        command.args(&options.arguments).envs(options.environment);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn()?;
        let pid = child.id().ok_or_else(|| io::Error::other("it has ended at once"))?;
        let (input, output) = (child.stdin.take(), child.stdout.take().map(BufReader::new));
        Ok(Process { child, input, output, pid })
    }

    /// The next line on its standard output.
    ///
    /// # Errors
    ///
    /// Where its output has ended, or no line comes within the time.
    pub async fn read_line(&mut self, timeout: Duration) -> io::Result<String> {
        let Some(output) = &mut self.output else { return Err(io::ErrorKind::NotConnected.into()) };
        let mut line = String::new();
        match tokio::time::timeout(timeout, output.read_line(&mut line)).await {
            Ok(Ok(0)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => read.map(|_| line.trim().to_string()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Writes a line to its standard input.
    ///
    /// # Errors
    ///
    /// Where the process no longer reads it.
    pub async fn write_line(&mut self, line: &str) -> io::Result<()> {
        match &mut self.input {
            Some(input) => input.write_all(format!("{line}\n").as_bytes()).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Where the process is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill(Pid::from_raw(self.pid.cast_signed()), signal).map_err(Into::into)
    }

    /// What it has used so far.
    ///
    /// # Errors
    ///
    /// Where the process is gone.
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of_process(self.pid)
    }

    /// Kills it, and returns once it is gone.
    ///
    /// # Errors
    ///
    /// Where it can't be killed.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Closes its standard input, and waits for its end.
    ///
    /// # Errors
    ///
    /// Where it does not end in time. It is killed then.
    pub async fn close_input(mut self) -> io::Result<ExitStatus> {
        drop(self.input.take());
        self.wait().await
    }

    /// Sends SIGTERM, and waits for its end.
    ///
    /// # Errors
    ///
    /// Where it is gone, or does not end in time. It is killed then.
    pub async fn terminate(self) -> io::Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait().await
    }

    async fn wait(mut self) -> io::Result<ExitStatus> {
        if let Ok(status) = tokio::time::timeout(EXIT_TIMEOUT, self.child.wait()).await {
            return status;
        }
        self.child.kill().await?;
        Err(io::Error::new(io::ErrorKind::TimedOut, "it did not end in time, and was killed"))
    }
}

/// Processes that did not end with success.
#[derive(Debug, Default)]
pub struct UncleanExits(Vec<String>);

impl UncleanExits {
    /// Keeps the end of a process, where it is no success.
    pub fn check(&mut self, process: &str, exit: io::Result<ExitStatus>) {
        match exit {
            Ok(status) if status.success() => {}
            Ok(status) => self.0.push(format!("{process} ended with {status}")),
            Err(error) => self.0.push(format!("{process}: {error}")),
        }
    }

    /// One text for each.
    pub fn into_texts(self) -> Vec<String> {
        self.0
    }
}
