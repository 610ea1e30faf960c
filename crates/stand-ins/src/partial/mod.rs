//! Test rig for partial failures: seven nodos in three regions with keyed work of two classes, a recording
//! resource, breakable links, and a history of each process and client. Faults are injected one by one
//! ([`Rig::inject`]) or drawn from a seed ([`faults::draw`]).
//!
//! Histories are checked only after the run, by [`Rig::verdict`].

pub mod clients;
pub mod editors;
pub mod faults;

use crate::fleet::Fleet;
use crate::link::Link;
use crate::resource::Resource;
use clients::Clients;
use editors::Editors;
use faults::{Ends, Fault};
use jaspershunt_histories::folder::{Files, check, read_all};
use jaspershunt_histories::format::{Came, FILE_BYTES, Op, Record, Told, Who, Writer};
use jaspershunt_histories::verdict::{History, Verdict as PropertyVerdict};
use jaspershunt_histories::work::without_outcome;
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of nodos.
pub const NODOS: usize = 7;
/// Number of voters, one in each region.
pub const VOTERS: usize = 3;
/// Region of each nodo.
pub const REGIONS: [&str; NODOS] = ["norte", "sur", "oeste", "norte", "sur", "oeste", "norte"];
/// Lease time under randomly drawn faults.
pub const TTL: Duration = Duration::from_secs(1);
/// Timeout for the fleet to recover all votes and converge.
pub const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks for faults to remove.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Prefix of keys of the class whose resource is queried for the outcome.
pub const QUERIED_PREFIX: &str = "a-";
/// Prefix of keys of the class whose resource fences tokens and answers repeats.
pub const FENCED_PREFIX: &str = "f-";
/// The key window exceeds the duration of any run, so that a repeat never counts as new work.
const CLASSES: &str = concat!(
    r#"{"name":"sign","worth":3,"targetS":8,"deadlineS":10,"semantics":"guarded","windowS":150},"#,
    r#"{"name":"note","worth":3,"targetS":8,"deadlineS":10,"semantics":"guarded","windowS":150}"#
);

/// Returns nanoseconds of the monotonic clock, which all histories of a machine share.
pub fn now() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let (seconds, nanos) = (u64::try_from(time.tv_sec), u64::try_from(time.tv_nsec));
    seconds.unwrap_or_default() * 1_000_000_000 + nanos.unwrap_or_default()
}

/// State of a nodo's process.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Runs,
    Dead { until: Instant },
    Paused { until: Instant },
}

/// An active cut.
struct Cut {
    ends: Ends,
    way: Option<crate::link::Way>,
    began: Instant,
    until: Instant,
    /// Interval at which the cut is toggled, if it flaps.
    flaps: Option<Duration>,
}

/// A running fleet with its load.
pub struct Rig {
    /// The fleet.
    pub fleet: Fleet,
    /// Resource that the work acts on.
    pub resource: Resource,
    /// Link from each nodo to the resource.
    pub to_resource: Vec<Link>,
    /// Clients that send keyed work.
    pub clients: Clients,
    /// Teams that edit the route table, if handover is configured.
    pub editors: Editors,
    histories: PathBuf,
    states: [State; NODOS],
    cuts: Vec<Cut>,
    /// Links that are cut at present, by direction.
    active_cuts: BTreeMap<faults::LinkId, [bool; 2]>,
    /// Whether a voter whose disk was emptied has not yet regained its vote.
    is_repairing: bool,
}

/// Result of checking the histories of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Files that were read.
    pub files: Files,
    /// Verdict on each property.
    pub verdicts: Vec<(&'static str, PropertyVerdict)>,
    /// Keys that had their effect more than once.
    pub doubled: Vec<String>,
    /// Accepted work without a reported outcome.
    pub without_outcome: Vec<String>,
    /// Number of keys.
    pub keys: usize,
    /// Number of effects.
    pub effects: usize,
    /// All records, for statistics.
    pub history: History,
}

impl Verdict {
    /// Returns the properties that were not confirmed.
    pub fn unconfirmed(&self) -> Vec<String> {
        let unconfirmed = self.verdicts.iter().filter(|(_, verdict)| !verdict.is_fine());
        unconfirmed.map(|(name, verdict)| format!("{name}: {}: {verdict}", verdict.name())).collect()
    }

    /// Describes what is wrong, with only the records of the keys concerned: the whole history would be too
    /// long.
    pub fn describe_problems(&self) -> String {
        let keys: Vec<&String> = self.doubled.iter().chain(&self.without_outcome).collect();
        let of = |record: &&Record| match &record.op {
            Op::Offer { key, .. }
            | Op::Begun { key, .. }
            | Op::Outcome { key }
            | Op::Answered { key }
            | Op::Effect { key, .. } => keys.contains(&key),
            _ => false,
        };
        let mut records: Vec<&Record> = self.history.records.iter().filter(of).collect();
        records.sort_by_key(|record| record.begin);
        let lines = records.iter().map(|record| format!("{record:?}\n"));
        let heads = format!(
            "{:#?}\ntwice {:?}, without an outcome {:?}\n",
            self.unconfirmed(),
            self.doubled,
            self.without_outcome
        );
        std::iter::once(heads).chain(lines).collect()
    }

    /// Returns whether nothing is wrong.
    pub fn is_fine(&self) -> bool {
        self.unconfirmed().is_empty() && self.doubled.is_empty() && self.without_outcome.is_empty()
    }
}

impl Rig {
    /// Starts everything, with this lease time and duration of the resource's acts. Without `handover` the
    /// operators' files do not configure it, and the clients run alone.
    ///
    /// # Errors
    /// Fails if the fleet cannot be started.
    pub async fn start(
        program: &Path,
        name: &str,
        handover: bool,
        (ttl, lasts): (Duration, Duration),
    ) -> io::Result<Rig> {
        let resource = Resource::start(true, lasts).await;
        resource.answers_repeats_of(FENCED_PREFIX);
        let mut fleet = Fleet::new(program, name, (NODOS, VOTERS), ttl, &[]).await?;
        let histories = fleet.nodos[0].folder.join("histories");
        std::fs::create_dir_all(&histories)?;
        let mut to_resource = Vec::new();
        for (n, (nodo, region)) in fleet.nodos.iter_mut().zip(REGIONS).enumerate() {
            let link = Link::start(resource.address(), 1000 + n as u64).await;
            let at = link.address();
            to_resource.push(link);
            let site = nodo.operator.take().unwrap_or_default();
            let site = site.replacen("fleet {\n", &format!("fleet {{\n  region = \"{region}\"\n"), 1);
            nodo.operator = Some(if handover {
                format!(
                    "{site}history {{\n  folder = \"{}\"\n}}\nhandover \"sign\" {{\n  effect = \"asks\"\n  resource = \"{at}\"\n  \
                     path = \"/operaciones\"\n  timeout = \"1s\"\n}}\nhandover \"note\" {{\n  effect = \"fenced\"\n}}\n{}",
                    histories.display(),
                    editors::BLOCKS
                )
            } else {
                site
            });
            nodo.database = Some(at);
            nodo.extra_classes = vec!["note".to_string()];
            let sign = r#"{"name":"sign""#;
            let (before, rest) = nodo.settings.split_once(sign).unwrap_or_default();
            let after = rest.split_once('}').unwrap_or_default().1;
            nodo.settings = format!("{before}{CLASSES}{after}");
        }
        fleet.start_all().await?;
        let nodos = fleet.nodos.iter().map(|nodo| (nodo.address, nodo.latest_interpreter.clone())).collect();
        let writer = Writer::create(&histories, &Who::new("clients", 1), 4 * FILE_BYTES);
        let clients = Clients::new(nodos, writer.map_err(io::Error::other)?);
        let admins = fleet.nodos.iter().map(|nodo| nodo.admin_address.clone()).collect();
        let writer = Writer::create(&histories, &Who::new("teams", 1), 4 * FILE_BYTES);
        let editors = Editors::new(admins, writer.map_err(io::Error::other)?);
        Ok(Rig {
            fleet,
            resource,
            to_resource,
            clients,
            editors,
            histories,
            states: [State::Runs; NODOS],
            cuts: Vec::new(),
            active_cuts: BTreeMap::new(),
            is_repairing: false,
        })
    }

    /// Waits for all votes; returns whether they are present in time.
    pub async fn wait_for_votes(&self) -> bool {
        timeout(CONVERGENCE_TIMEOUT, self.fleet.wait_for_votes()).await.is_ok()
    }

    fn is_impaired(&self, n: usize) -> bool {
        self.states[n] != State::Runs
    }

    /// Returns whether a nodo is cut off from others in at least one direction.
    fn is_cut(&self, n: usize) -> bool {
        self.cuts.iter().any(|cut| match &cut.ends {
            Ends::Nodo(m) => *m == n,
            Ends::Region(region) => REGIONS[n] == *region,
            Ends::Halves(_) => true,
            Ends::Two(..) | Ends::Resource(_) => false,
        })
    }

    /// Injects a fault into the nodos that are running; returns whether it had any effect.
    ///
    /// # Errors
    /// Fails if a disk cannot be emptied.
    pub async fn inject(&mut self, fault: &Fault) -> io::Result<bool> {
        let now = Instant::now();
        match fault {
            Fault::Kill { who, empty, back } => {
                let who: Vec<usize> = who.iter().copied().filter(|n| !self.is_impaired(*n)).collect();
                for n in &who {
                    self.fleet.kill(*n).await;
                    self.states[*n] = State::Dead { until: now + *back };
                    if *empty {
                        std::fs::remove_dir_all(self.fleet.folder(*n))?;
                        self.is_repairing |= *n < VOTERS;
                    }
                }
                Ok(!who.is_empty())
            }
            Fault::Freeze { who, lasts } => {
                let who: Vec<usize> = who.iter().copied().filter(|n| !self.is_impaired(*n)).collect();
                for n in &who {
                    self.fleet.process(*n).pause();
                    self.states[*n] = State::Paused { until: now + *lasts };
                }
                Ok(!who.is_empty())
            }
            Fault::Cut { ends, way, flaps, lasts } => {
                let until = now + *lasts;
                self.cuts.push(Cut { ends: ends.clone(), way: *way, began: now, until, flaps: *flaps });
                self.set_links(now);
                Ok(true)
            }
            Fault::Reset { ends } => {
                for (id, link) in links(&self.fleet, &self.to_resource) {
                    if ends.has(id) {
                        link.reset();
                    }
                }
                Ok(true)
            }
        }
    }

    /// Removes the faults that have expired.
    ///
    /// # Errors
    /// Fails if a nodo cannot be started.
    pub async fn heal(&mut self) -> io::Result<()> {
        let now = Instant::now();
        for n in 0..NODOS {
            match self.states[n] {
                State::Dead { until } if until <= now => {
                    self.fleet.incarnations[n] = Some(self.fleet.nodos[n].start_without_waiting().await?);
                    self.states[n] = State::Runs;
                }
                State::Paused { until } if until <= now => {
                    self.fleet.process(n).resume();
                    self.states[n] = State::Runs;
                }
                _ => {}
            }
        }
        self.cuts.retain(|cut| cut.until > now);
        self.set_links(now);
        if self.is_repairing && timeout(POLL_INTERVAL, self.fleet.wait_for_votes()).await.is_ok() {
            self.is_repairing = false;
        }
        Ok(())
    }

    /// Runs for this long, removing faults as they expire.
    ///
    /// # Errors
    /// Fails if a nodo cannot be started.
    pub async fn run_for(&mut self, length: Duration) -> io::Result<()> {
        let end = Instant::now() + length;
        while Instant::now() < end {
            self.heal().await?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Removes all faults and starts all nodos; returns whether the fleet recovers its votes in time.
    ///
    /// # Errors
    /// Fails if a nodo cannot be started.
    pub async fn heal_all(&mut self) -> io::Result<bool> {
        let now = Instant::now();
        self.cuts.clear();
        for state in &mut self.states {
            match state {
                State::Runs => {}
                State::Dead { until } | State::Paused { until } => *until = now,
            }
        }
        self.heal().await?;
        for start in self.fleet.incarnations.iter().flatten() {
            if timeout(CONVERGENCE_TIMEOUT, start.wait_until_ready()).await.is_err() {
                return Ok(false);
            }
        }
        Ok(self.wait_for_votes().await)
    }

    fn set_links(&mut self, now: Instant) {
        let mut cut: BTreeMap<faults::LinkId, [bool; 2]> = BTreeMap::new();
        for one in &self.cuts {
            let turn = |every: &Duration| {
                (now - one.began).as_millis().checked_div(every.as_millis()).unwrap_or(0).is_multiple_of(2)
            };
            if one.flaps.as_ref().is_some_and(|every| !turn(every)) {
                continue;
            }
            for (id, _) in links(&self.fleet, &self.to_resource).filter(|(id, _)| one.ends.has(*id)) {
                let ways = cut.entry(id).or_default();
                ways[0] |= one.way != Some(crate::link::Way::Back);
                ways[1] |= one.way != Some(crate::link::Way::There);
            }
        }
        for (id, link) in links(&self.fleet, &self.to_resource) {
            let (before, after) = (self.active_cuts.get(&id), cut.get(&id));
            if before == after {
                continue;
            }
            let fault = |on: bool| if on { crate::link::Fault::Cut } else { crate::link::Fault::None };
            let [there, back] = after.copied().unwrap_or_default();
            link.set(crate::link::Way::There, fault(there));
            link.set(crate::link::Way::Back, fault(back));
        }
        self.active_cuts = cut;
    }

    /// Waits until all nodos show the same route table, records it, and returns its revision.
    ///
    /// # Errors
    /// Returns what the nodos show instead.
    pub async fn wait_for_one_table(&self) -> Result<u64, String> {
        self.editors.wait_for_convergence(&self.histories).await
    }

    /// Records the resource's effects and checks all histories.
    ///
    /// # Errors
    /// Fails if the histories cannot be read or written.
    pub fn verdict(&self) -> io::Result<Verdict> {
        let mut writer = Writer::create(&self.histories, &Who::new("resource", 1), 4 * FILE_BYTES)
            .map_err(io::Error::other)?;
        let nanos = |time: Duration| u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        let began = now().saturating_sub(nanos(self.resource.elapsed()));
        let effects = self.resource.effects();
        for effect in &effects {
            let op = Op::Effect {
                key: effect.key.clone(),
                fence: None,
                token: effect.token,
                who: Who::new("nodo", 0),
            };
            let ticket = writer.begin(began + nanos(effect.begin), op).map_err(io::Error::other)?;
            if let Some(end) = effect.end {
                let end = began + nanos(end);
                writer.end(ticket, end, Came::Ok(Told::Nothing)).map_err(io::Error::other)?;
            }
        }
        let mut seen = BTreeSet::new();
        let doubled = effects.iter().filter(|effect| !seen.insert(&effect.key));
        let doubled = doubled.map(|effect| effect.key.clone()).collect();
        let (history, files) = read_all(&self.histories)?;
        Ok(Verdict {
            files,
            verdicts: check(&history),
            doubled,
            without_outcome: without_outcome(&history),
            keys: self.clients.keys().len(),
            effects: effects.len(),
            history,
        })
    }

    /// Copies histories and logs to a folder for inspection and returns its path.
    ///
    /// # Errors
    /// Fails if they cannot be copied.
    pub fn save_artifacts(&self, name: &str) -> io::Result<PathBuf> {
        let to = std::env::temp_dir().join(format!("jaspershunt-kept-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&to)?;
        for file in std::fs::read_dir(&self.histories)? {
            let file = file?;
            std::fs::copy(file.path(), to.join(file.file_name()))?;
        }
        for nodo in &self.fleet.nodos {
            std::fs::write(to.join(format!("{}.log", nodo.name)), nodo.logs())?;
        }
        Ok(to)
    }
}

/// Returns all links with their ids.
fn links<'a>(fleet: &'a Fleet, to_resource: &'a [Link]) -> impl Iterator<Item = (faults::LinkId, &'a Link)> {
    let between = fleet.links.iter().map(|((from, to), link)| (faults::LinkId::Between(*from, *to), link));
    let to_resource = to_resource.iter().enumerate().map(|(n, link)| (faults::LinkId::Resource(n), link));
    between.chain(to_resource)
}
