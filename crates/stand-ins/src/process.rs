//! A program as a process of its own that can be killed, frozen, woken and started again.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::time::sleep;

/// Between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A process that was started here. It is killed when this is dropped, frozen or not.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a program; what it says goes to the file `log`.
    ///
    /// # Errors
    /// The file cannot be made, or the program cannot be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Process> {
        let said = File::create(log)?;
        let child = command.stdin(Stdio::null()).stdout(said.try_clone()?).stderr(said).spawn()?;
        Ok(Process { child, log: log.to_path_buf() })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // Not reaped before this is dropped or its end was seen, so that the id is still its own.
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // An error means that it has ended.
            let _ = kill_process(id, signal);
        }
    }

    /// Stops it where it is, until [`Process::resume`].
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Asks it to read its files again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// Ends it at once, and waits until it is gone.
    pub async fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait().await;
    }

    /// Whether it has ended, and how.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; whether that was one in good order.
    pub async fn wait(&mut self) -> bool {
        loop {
            if let Some(status) = self.exit_status() {
                return status.success();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// All that it has said so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has said something; returns the rest of that line.
    pub async fn wait_for_output(&self, what: &str) -> String {
        loop {
            if let Some((_, rest)) = self.output().split_once(what)
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

    /// A frozen process does nothing, one that is woken goes on, and one that is killed is gone, also while it is frozen.
    #[tokio::test]
    async fn a_process_is_frozen_woken_and_killed() {
        let log = std::env::temp_dir().join(format!("jaspershunt-process-{}", std::process::id()));
        let mut command = Command::new("sh");
        command
            .args(["-c", "read a < /dev/null; n=0; while :; do n=$((n+1)); echo line $n; sleep 0.01; done"]);
        let mut process = Process::start(&mut command, &log).unwrap();
        process.wait_for_output("line 3").await;
        process.pause();
        // It is stopped once the system says so; what it had written by then is all.
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
