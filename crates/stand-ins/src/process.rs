//! A child process that can be paused, resumed, terminated and killed.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A child process. Dropping it kills the process, even while paused.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program whose output goes to the file `log`.
    ///
    /// # Errors
    /// Fails if the file cannot be created or the program cannot be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Process> {
        let output = File::create(log)?;
        let child = command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).spawn()?;
        Ok(Process { child, log: log.to_path_buf() })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // The process is not reaped before its exit is observed or `self` is dropped, so the id cannot be
        // reused.
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // An error means that the process has exited.
            let _ = kill_process(id, signal);
        }
    }

    /// Pauses the process with SIGSTOP until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests termination with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Requests a reload with SIGHUP.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills the process and waits until it has exited.
    pub async fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait().await;
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the exit; returns whether it was successful.
    pub async fn wait(&mut self) -> bool {
        loop {
            if let Some(status) = self.exit_status() {
                return status.success();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the whole output so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the output contains `text`; returns the rest of that line.
    pub async fn wait_for_output(&self, text: &str) -> String {
        loop {
            if let Some((_, rest)) = self.output().split_once(text)
                && let Some((line, _)) = rest.split_once('\n')
            {
                return line.to_string();
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    /// A paused process does nothing, a resumed one continues, and a killed one exits even while paused.
    #[tokio::test]
    async fn a_process_is_paused_resumed_and_killed() {
        let log = std::env::temp_dir().join(format!("jaspershunt-process-{}", std::process::id()));
        let mut command = Command::new("sh");
        command
            .args(["-c", "read a < /dev/null; n=0; while :; do n=$((n+1)); echo line $n; sleep 0.01; done"]);
        let mut process = Process::start(&mut command, &log).unwrap();
        process.wait_for_output("line 3").await;
        process.pause();
        // Output is complete once the system reports the process as stopped.
        let stopped = || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        };
        while !stopped() {
            sleep(POLL_INTERVAL).await;
        }
        let lines = process.output().lines().count();
        sleep(Duration::from_millis(100)).await;
        assert_eq!(process.output().lines().count(), lines);
        process.resume();
        process.wait_for_output(&format!("line {}", lines + 3)).await;
        process.pause();
        timeout(Duration::from_secs(10), process.kill()).await.unwrap();
        assert!(process.exit_status().is_some_and(|status| !status.success()));
        std::fs::remove_file(log).unwrap();
    }
}
