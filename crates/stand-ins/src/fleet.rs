//! Several nodos as one fleet: the program itself, a folder for each, and between each two of them a link that can be broken. What the
//! tasks act on keeps the record that is the truth.

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

/// The fleet's name.
pub const NAME: &str = "prueba";
/// A nodo that is frozen answers nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A task of the fleet.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// What it calls.
    pub resource: SocketAddr,
    /// The rest of its block.
    pub rest: String,
}

/// A fleet.
pub struct Fleet {
    /// The nodos; the first so many vote.
    pub nodos: Vec<Nodo>,
    /// Their processes, while they run.
    pub incarnations: Vec<Option<Incarnation>>,
    /// From each nodo to each voter.
    pub links: BTreeMap<(usize, usize), Link>,
    /// Where each voter voter_addresses.
    pub voter_addresses: Vec<SocketAddr>,
    voters: usize,
}

/// An address that no other socket takes meanwhile: one of loopback that is used by nobody else.
fn address() -> io::Result<SocketAddr> {
    static LAST: AtomicU8 = AtomicU8::new(0);
    let n = LAST.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let pid = std::process::id();
    let at = SocketAddr::from(([127, (pid % 200 + 10) as u8, (pid / 200 % 250) as u8, n], 0));
    TcpListener::bind(at)?.local_addr()
}

/// So many milliseconds of true time in a file whose process has a clock of this rate: no further off than that.
fn by_process_clock(ms: u128, rate: f64) -> u128 {
    let ms = ms as f64 / rate;
    (if rate > 1.0 { ms.ceil() } else { ms.floor() }) as u128
}

/// A task's block, with the bounds of an act by this clock.
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
    /// A fleet that is founded and not started yet.
    ///
    /// # Errors
    /// Folders or ports cannot be had, or the fleet cannot be founded.
    pub async fn new(
        program: &Path,
        name: &str,
        sizes: (usize, usize),
        ttl: Duration,
        tasks: &[Task],
    ) -> io::Result<Fleet> {
        Fleet::with_clocks(program, name, sizes, ttl, tasks, &[]).await
    }

    /// The same, where the clocks of the first so many nodos run at these rates. A clock that runs 5 % fast is over a time 5 % early, and
    /// so is a process whose file has that time 5 % shorter: leases' time and the bounds of a timed act are counted by its own clock
    /// alone, and nothing of them is said to others. Due times are not changed.
    ///
    /// # Errors
    /// Folders or ports cannot be had, or the fleet cannot be founded.
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

    /// Starts a nodo, and waits until it takes clients.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn start(&mut self, n: usize) -> io::Result<()> {
        self.incarnations[n] = Some(self.nodos[n].start().await?);
        Ok(())
    }

    /// Starts all that do not run, at once.
    ///
    /// # Errors
    /// One cannot be started.
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

    /// The process of a nodo.
    ///
    /// # Panics
    /// It does not run.
    pub fn process(&self, n: usize) -> &Process {
        &self.incarnations[n].as_ref().expect("a nodo that runs").process
    }

    /// The folder of a nodo's part of the fleet.
    pub fn folder(&self, n: usize) -> PathBuf {
        self.nodos[n].folder.join("fleet")
    }

    /// What a nodo shows of the fleet; nothing where it does not answer.
    pub async fn show(&self, n: usize) -> Option<Value> {
        let asked = self.incarnations[n].as_ref()?.call("FLEET SHOW");
        let answer = timeout(ANSWER_TIMEOUT, asked).await.ok()?;
        serde_json::from_str(answer.strip_suffix("\r\n.\r\n")?).ok()
    }

    /// The nodo that leads, by its own word.
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

    /// The nodo that holds a lease, by the word of the one that leads.
    pub async fn holder(&self, lease: &str) -> Option<usize> {
        let shown = self.show(self.leader().await?).await?;
        let lease = shown["leases"].as_array()?.iter().find(|other| other["name"] == lease)?;
        self.nodos.iter().position(|nodo| lease["holder"] == nodo.name.as_str())
    }

    /// Waits until all named members have a vote.
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

    /// Nothing reaches a nodo from others, and nothing of it reaches others; or all does again.
    pub fn isolate(&self, n: usize, fault: crate::link::Fault) {
        for ((from, to), link) in &self.links {
            if *from == n || *to == n {
                link.set_both(fault);
            }
        }
    }

    /// All links pass again.
    pub fn heal(&self) {
        self.links.values().for_each(Link::heal);
    }

    /// What all nodos have said.
    pub fn logs(&self) -> String {
        let lines = |nodo: &Nodo| {
            let all = nodo.logs();
            let lines: Vec<&str> = all.lines().collect();
            lines[lines.len().saturating_sub(40)..].join("\n")
        };
        self.nodos.iter().map(|nodo| format!("\n--- {}: {}", nodo.name, lines(nodo))).collect()
    }
}

/// Waits until something was acted on so often more.
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
    fn a_clock_that_is_off_has_the_bounds_of_an_act_in_its_file() {
        let rest = "  every = \"1s\"\n  timeout = \"200ms\"\n  way = \"250ms\"";
        assert_eq!(bounds_by_clock(rest, 1.0), format!("{rest}\n"));
        let fast = "  every = \"1s\"\n  timeout = \"191ms\"\n  way = \"239ms\"\n";
        assert_eq!(bounds_by_clock(rest, 1.05), fast);
        let slow = "  every = \"1s\"\n  timeout = \"210ms\"\n  way = \"263ms\"\n";
        assert_eq!(bounds_by_clock(rest, 0.95), slow);
    }
}
