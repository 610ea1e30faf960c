//! A fleet of several nodos: real processes, a folder for each, and a breakable link from each nodo to each
//! voter. The resources that tasks call hold the authoritative record of what ran.

use crate::link::Link;
use crate::nodo::{Incarnation, Nodo};
use crate::process::Process;
use crate::resource::Resource;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Name of the fleet.
pub const NAME: &str = "prueba";
/// Timeout of an operator's call; a paused nodo never answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A task of the fleet.
#[derive(Clone, Debug)]
pub struct Task {
    /// Task name.
    pub name: String,
    /// Address of the resource that the task calls.
    pub resource: SocketAddr,
    /// Remaining lines of its configuration block.
    pub rest: String,
}

/// A fleet of nodos.
pub struct Fleet {
    /// The nodos; the first ones are the voters.
    pub nodos: Vec<Nodo>,
    /// Their running processes; `None` while stopped.
    pub incarnations: Vec<Option<Incarnation>>,
    /// Links from each nodo to each other voter.
    pub links: BTreeMap<(usize, usize), Link>,
    /// Listening address of each voter.
    pub voter_addresses: Vec<SocketAddr>,
    voters: usize,
}

/// Returns an unused address of 127.0.0.0/8, with a host part derived from the process id so that other tests
/// do not take the port.
fn address() -> io::Result<SocketAddr> {
    static LAST: AtomicU8 = AtomicU8::new(0);
    let n = LAST.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let pid = std::process::id();
    let at = SocketAddr::from(([127, (pid % 200 + 10) as u8, (pid / 200 % 250) as u8, n], 0));
    TcpListener::bind(at)?.local_addr()
}

/// Converts real milliseconds to the configured value for a process whose clock runs at `rate`, rounded so that
/// the error does not exceed the rate.
fn by_process_clock(ms: u128, rate: f64) -> u128 {
    let ms = ms as f64 / rate;
    (if rate > 1.0 { ms.ceil() } else { ms.floor() }) as u128
}

/// Scales the time bounds in a task's block for a clock of this rate.
fn bounds_by_clock(rest: &str, rate: f64) -> String {
    let line = |line: &str| {
        let bound = line.split_once(" = ").filter(|(key, _)| ["timeout", "way"].contains(&key.trim()));
        let ms = bound.and_then(|(_, time)| time.trim_matches('"').strip_suffix("ms")?.parse().ok());
        match (bound, ms) {
            (Some((key, _)), Some(ms)) => format!("{key} = \"{}ms\"\n", by_process_clock(ms, rate)),
            _ => format!("{line}\n"),
        }
    };
    rest.lines().map(line).collect()
}

impl Fleet {
    /// Creates and founds a fleet without starting it.
    ///
    /// # Errors
    /// Fails if folders or ports are unavailable, or if the fleet cannot be founded.
    pub async fn new(
        program: &Path,
        name: &str,
        sizes: (usize, usize),
        ttl: Duration,
        tasks: &[Task],
    ) -> io::Result<Fleet> {
        Fleet::with_clocks(program, name, sizes, ttl, tasks, &[]).await
    }

    /// Creates a fleet in which the clocks of the first nodos run at these rates. A clock that runs 5 % fast
    /// is simulated by configured durations that are 5 % shorter. This suffices for the lease time and the
    /// bounds of timed acts: each process measures them with its own clock and never sends them. Due times
    /// are not changed.
    ///
    /// # Errors
    /// Fails if folders or ports are unavailable, or if the fleet cannot be founded.
    pub async fn with_clocks(
        program: &Path,
        name: &str,
        (members, voters): (usize, usize),
        ttl: Duration,
        tasks: &[Task],
        rates: &[f64],
    ) -> io::Result<Fleet> {
        let voter_addresses = (0..voters).map(|_| address()).collect::<io::Result<Vec<_>>>()?;
        let (mut nodos, mut links) = (Vec::new(), BTreeMap::new());
        for n in 0..members {
            let mut nodo = Nodo::new(program, &format!("{name}-{n}")).await?;
            nodo.name = format!("n{n}");
            let rate = rates.get(n).copied().unwrap_or(1.0);
            let mut site = format!(
                "fleet {{\n  name = \"{NAME}\"\n  folder = \"{}\"\n  ttl = \"{}ms\"\n",
                nodo.folder.join("fleet").display(),
                by_process_clock(ttl.as_millis(), rate)
            );
            if let Some(listen) = voter_addresses.get(n) {
                let _ = writeln!(site, "  listen = \"{listen}\"");
            }
            for (voter, at) in voter_addresses.iter().enumerate() {
                let seen = if voter == n {
                    *at
                } else {
                    let link = Link::start(*at, (n * 10 + voter) as u64).await;
                    let seen = link.address();
                    links.insert((n, voter), link);
                    seen
                };
                let _ = writeln!(site, "  voter \"n{voter}\" {{\n    address = \"{seen}\"\n  }}");
            }
            site.push_str("}\n");
            for Task { name, resource, rest } in tasks {
                let _ = writeln!(
                    site,
                    "task \"{name}\" {{\n  address = \"{resource}\"\n{}\n}}",
                    bounds_by_clock(rest, rate)
                );
            }
            nodo.operator = Some(site);
            nodos.push(nodo);
        }
        let folder = nodos[0].folder.join("fleet");
        let mut found = std::process::Command::new(program);
        found.args(["fleet", "found"]).arg(&folder).args(["--fleet", NAME, "--member", "n0"]);
        let found = found.output()?;
        if !found.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&found.stderr).into_owned()));
        }
        let incarnations = (0..members).map(|_| None).collect();
        Ok(Fleet { nodos, incarnations, links, voter_addresses, voters })
    }

    /// Starts a nodo and waits until it accepts clients.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub async fn start(&mut self, n: usize) -> io::Result<()> {
        self.incarnations[n] = Some(self.nodos[n].start().await?);
        Ok(())
    }

    /// Starts all stopped nodos concurrently.
    ///
    /// # Errors
    /// Fails if a nodo cannot be started.
    pub async fn start_all(&mut self) -> io::Result<()> {
        for n in 0..self.nodos.len() {
            if self.incarnations[n].is_none() {
                self.incarnations[n] = Some(self.nodos[n].start_without_waiting().await?);
            }
        }
        for start in self.incarnations.iter().flatten() {
            start.wait_until_ready().await;
        }
        Ok(())
    }

    /// Kills a nodo.
    pub async fn kill(&mut self, n: usize) {
        if let Some(mut start) = self.incarnations[n].take() {
            start.process.kill().await;
        }
    }

    /// Returns the process of a nodo.
    ///
    /// # Panics
    /// Panics if the nodo is not running.
    pub fn process(&self, n: usize) -> &Process {
        &self.incarnations[n].as_ref().expect("a nodo that runs").process
    }

    /// Returns the folder of a nodo's fleet state.
    pub fn folder(&self, n: usize) -> PathBuf {
        self.nodos[n].folder.join("fleet")
    }

    /// Returns a nodo's view of the fleet, or `None` if it does not answer.
    pub async fn show(&self, n: usize) -> Option<Value> {
        let answer = self.incarnations[n].as_ref()?.call("FLEET SHOW");
        let answer = timeout(ANSWER_TIMEOUT, answer).await.ok()?;
        serde_json::from_str(answer.strip_suffix("\r\n.\r\n")?).ok()
    }

    /// Returns the nodo that reports itself as the leader.
    pub async fn leader(&self) -> Option<usize> {
        for n in 0..self.voters {
            if let Some(shown) = self.show(n).await
                && shown["age_ms"] == 0
            {
                return Some(n);
            }
        }
        None
    }

    /// Returns the nodo that holds a lease, as reported by the leader.
    pub async fn holder(&self, lease: &str) -> Option<usize> {
        let shown = self.show(self.leader().await?).await?;
        let lease = shown["leases"].as_array()?.iter().find(|other| other["name"] == lease)?;
        self.nodos.iter().position(|nodo| lease["holder"] == nodo.name.as_str())
    }

    /// Waits until all configured voters have a vote.
    pub async fn wait_for_votes(&self) {
        loop {
            if let Some(leader) = self.leader().await
                && let Some(shown) = self.show(leader).await
            {
                let seats = shown["seats"].as_array().cloned().unwrap_or_default();
                let votes = seats.iter().filter(|seat| seat["votes"] == true).count();
                if votes == self.voters && seats.len() == self.voters {
                    return;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies a fault to all links between a nodo and the others.
    pub fn isolate(&self, n: usize, fault: crate::link::Fault) {
        for ((from, to), link) in &self.links {
            if *from == n || *to == n {
                link.set_both(fault);
            }
        }
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.links.values().for_each(Link::heal);
    }

    /// Returns the last log lines of all nodos.
    pub fn logs(&self) -> String {
        let lines = |nodo: &Nodo| {
            let all = nodo.logs();
            let lines: Vec<&str> = all.lines().collect();
            lines[lines.len().saturating_sub(40)..].join("\n")
        };
        self.nodos.iter().map(|nodo| format!("\n--- {}: {}", nodo.name, lines(nodo))).collect()
    }
}

/// Waits until the resource has accepted this many more acts.
pub async fn wait_for_acts(resource: &Resource, more: usize) {
    let count = || resource.acts().iter().filter(|act| !act.turned_away).count();
    let before = count();
    while count() < before + more {
        sleep(POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bounds_of_an_act_are_scaled_by_the_clock_rate() {
        let rest = "  every = \"1s\"\n  timeout = \"200ms\"\n  way = \"250ms\"";
        assert_eq!(bounds_by_clock(rest, 1.0), format!("{rest}\n"));
        let fast = "  every = \"1s\"\n  timeout = \"191ms\"\n  way = \"239ms\"\n";
        assert_eq!(bounds_by_clock(rest, 1.05), fast);
        let slow = "  every = \"1s\"\n  timeout = \"210ms\"\n  way = \"263ms\"\n";
        assert_eq!(bounds_by_clock(rest, 0.95), slow);
    }
}
