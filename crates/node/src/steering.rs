//! Passive measurement of the delays of this nodo's clients, if the operator's file has a `steering` block. A
//! thread of its own reports them to the fleet. Connections enqueue their observations without waiting; those
//! that find the queue full are dropped and counted.

pub mod kernel;

use crate::admin::line::Answer;
use crate::fleet::MemberHandle;
use crate::log;
use jaspershunt_fleet::Entry;
use jaspershunt_member::driver::Order;
use jaspershunt_operator::{By, Delays, File};
use jaspershunt_steering::part::{MemberView as Shown, NAME};
use jaspershunt_steering::{Client, Edge, EdgeReport, Entry as SteeringEntry, Observation, Tables};
use kernel::Kernel;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// The most observations in the queue: some 200 KiB.
const MAX_QUEUED: usize = 2048;
/// How often per window the connections are sampled.
const SAMPLES_PER_WINDOW: u32 = 10;
/// The most connections tracked between two samples.
const MAX_PEERS: usize = 1024;
/// The most clients tracked per connection between two samples.
const MAX_CLIENTS_PER_PEER: usize = 8;

/// An observation of a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A request arrived.
    Asked {
        /// The peer of its connection.
        peer: SocketAddr,
        /// Its client.
        client: Client,
        /// The time since the last answer on this connection, if no other answer was outstanding then.
        gap: Option<Duration>,
    },
    /// The connection was reset while a request was in flight.
    Reset(Client),
    /// The caller of a request timed out.
    TimedOut(Client),
}

/// The side of the connections, which sends observations.
#[derive(Clone, Debug)]
pub struct Samples {
    way: SyncSender<Seen>,
    by: By,
    field: String,
    figures: Arc<Figures>,
}

impl Samples {
    /// Returns the client of a request as the file defines it; `None` if the request does not name one.
    pub fn client<'a>(
        &self,
        peer: SocketAddr,
        balancer: u64,
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<Client> {
        match self.by {
            By::Balancer => u32::try_from(balancer).ok().map(Client::Balancer),
            By::Address => Some(Client::Address(peer.ip())),
            By::Field => field(&self.field).map(|value| Client::Field(value.trim().to_string())),
        }
    }

    /// Enqueues an observation, or drops it: requests never wait for this.
    pub fn tell(&self, seen: Seen) {
        if self.way.try_send(seen).is_err() {
            self.figures.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Figures for operators.
#[derive(Debug, Default)]
struct Figures {
    dropped: AtomicU64,
    samples: AtomicU64,
    untold: AtomicU64,
    windows: AtomicU64,
    /// Whether the system reports round trips.
    kernel: AtomicBool,
}

/// The measurement, as shared by connections, thread and operators.
#[derive(Debug)]
pub struct Steering {
    name: String,
    region: String,
    figures: Arc<Figures>,
    /// The handle to the member while one runs.
    way: Arc<Mutex<Option<MemberHandle>>>,
    samples: Samples,
    /// The thread's state and queue, until the nodo's address is known.
    starts: RefCell<Option<(Thread, Receiver<Seen>)>>,
}

impl Steering {
    /// Creates the measurement if the file configures one; starts nothing yet.
    pub fn new(file: &File, name: &str) -> Option<Rc<Steering>> {
        let steering = file.steering.as_ref()?;
        let region = file.fleet.as_ref()?.region.clone()?;
        let (way, queue) = sync_channel(MAX_QUEUED);
        let figures = Arc::new(Figures::default());
        let samples = Samples {
            way,
            by: steering.by,
            field: steering.field.clone().unwrap_or_default(),
            figures: figures.clone(),
        };
        let way = Arc::new(Mutex::new(None));
        // Higher than the window numbers of earlier processes, provided that the clock does not go back.
        let window = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let thread = Thread {
            name: name.to_string(),
            region: region.clone(),
            every: steering.every.0,
            capacity_milli: (steering.capacity.0 * 1000.0).min(f64::from(u32::MAX)) as u32,
            kernel: None,
            gaps: steering.delays == Delays::Gaps,
            edge: Edge::new(name, &region, window).splitting_all(),
            epoch: 0,
            clients_by_peer: BTreeMap::new(),
            asked: 0,
            way: way.clone(),
            figures: figures.clone(),
        };
        let starts = RefCell::new(Some((thread, queue)));
        Some(Rc::new(Steering { name: name.to_string(), region, figures, way, samples, starts }))
    }

    /// Returns the side of the connections.
    pub fn samples(&self) -> Samples {
        self.samples.clone()
    }

    /// Starts the thread, once the address for balancers is known.
    pub fn start(&self, listens: SocketAddr) {
        let Some((mut thread, queue)) = self.starts.borrow_mut().take() else { return };
        if !thread.gaps {
            match Kernel::new(listens) {
                Ok(kernel) => thread.kernel = Some(kernel),
                Err(e) => {
                    log!(
                        WARN,
                        "steering: the system reports no round trips: {e}; no delays are measured here"
                    )
                }
            }
        }
        self.figures.kernel.store(thread.kernel.is_some(), Ordering::Relaxed);
        let started =
            std::thread::Builder::new().name("steering".to_string()).spawn(move || thread.run(&queue));
        if let Err(e) = started {
            log!(ERROR, "steering: {e}; nothing is measured, requests are served as before");
        }
    }

    /// Sets the handle to the member; `None` when the member has ended.
    pub fn publish(&self, way: Option<MemberHandle>) {
        *self.way.lock().unwrap_or_else(PoisonError::into_inner) = way;
    }

    fn tables(&self) -> Tables {
        let way = self.way.lock().unwrap_or_else(PoisonError::into_inner);
        way.as_ref().and_then(tables).map(|(_, tables)| tables).unwrap_or_default()
    }

    /// Answers an operator from this nodo's own state.
    pub fn answer(&self) -> Answer {
        let tables = self.tables();
        let figure = |of: &AtomicU64| of.load(Ordering::Relaxed);
        let edge = json!({"region": self.region, "windows": figure(&self.figures.windows),
            "samples": figure(&self.figures.samples), "untold": figure(&self.figures.untold),
            "dropped": figure(&self.figures.dropped), "kernel": self.figures.kernel.load(Ordering::Relaxed)});
        Answer::Figures(
            json!({"by": self.name, "edge": edge, "epoch": tables.epoch, "rows": rows(&tables)}).to_string(),
        )
    }
}

/// Formats the table for operators, with groups by name.
fn rows(tables: &Tables) -> Vec<Value> {
    let row = |(group, row): (&jaspershunt_steering::Group, &jaspershunt_steering::Row)| json!({"group": group.to_string(), "row": row});
    tables.rows.iter().map(row).collect()
}

/// Returns the member's table, with its epoch.
fn tables(way: &MemberHandle) -> Option<(u64, Tables)> {
    let seen = way.seen.as_ref()?.borrow().get(NAME).cloned();
    let (epoch, bytes) = seen?;
    Some((epoch, Shown::from_bytes(&bytes)?.tables))
}

/// The clients of a connection since the last sample.
#[derive(Debug, Default)]
struct PeerClients {
    clients: Vec<(Client, Option<Duration>)>,
}

/// The state of the thread.
#[derive(Debug)]
struct Thread {
    name: String,
    region: String,
    every: Duration,
    capacity_milli: u32,
    kernel: Option<Kernel>,
    /// Round trips are measured as the gap between an answer and the next request.
    gaps: bool,
    edge: Edge,
    /// The epoch of the table that the edge follows.
    epoch: u64,
    clients_by_peer: BTreeMap<SocketAddr, PeerClients>,
    /// Requests in this window.
    asked: u64,
    way: Arc<Mutex<Option<MemberHandle>>>,
    figures: Arc<Figures>,
}

impl Thread {
    /// Runs until all senders are dropped.
    fn run(mut self, queue: &Receiver<Seen>) {
        let look = self.every / SAMPLES_PER_WINDOW;
        let mut next = Instant::now() + look;
        let mut looks = 0;
        loop {
            match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(seen) => self.record(seen),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() < next {
                continue;
            }
            // Guards against a burst of samples after a pause.
            next = Instant::now() + look;
            self.sample_delays();
            looks += 1;
            if looks == SAMPLES_PER_WINDOW {
                looks = 0;
                self.report_window();
            }
        }
    }

    fn sample(&mut self, client: &Client, what: Observation) {
        self.figures.samples.fetch_add(1, Ordering::Relaxed);
        self.edge.record(client, what);
    }

    fn record(&mut self, seen: Seen) {
        match seen {
            Seen::Asked { peer, client, gap } => {
                self.asked += 1;
                self.sample(&client, Observation::Request);
                if self.clients_by_peer.len() >= MAX_PEERS && !self.clients_by_peer.contains_key(&peer) {
                    return;
                }
                let clients = &mut self.clients_by_peer.entry(peer).or_default().clients;
                if let Some((_, least)) = clients.iter_mut().find(|(other, _)| *other == client) {
                    *least = (*least).into_iter().chain(gap).min();
                } else if clients.len() < MAX_CLIENTS_PER_PEER {
                    clients.push((client, gap));
                }
            }
            Seen::Reset(client) => self.sample(&client, Observation::Reset),
            Seen::TimedOut(client) => self.sample(&client, Observation::TimedOut),
        }
    }

    /// Samples the delays of the connections with requests since the last sample.
    fn sample_delays(&mut self) {
        let over = std::mem::take(&mut self.clients_by_peer);
        if over.is_empty() {
            return;
        }
        let us = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX).max(1);
        // The file states that clients send the next request as soon as they are answered. The gap includes
        // their think time, of which the shortest gap has least.
        if self.gaps {
            for (client, gap) in over.into_values().flat_map(|over| over.clients) {
                if let Some(gap) = gap {
                    self.sample(&client, Observation::RoundTrip { us: us(gap) });
                }
            }
            return;
        }
        let trips: BTreeMap<SocketAddr, u32> = match self.kernel.as_ref().map(Kernel::round_trips) {
            None => BTreeMap::new(),
            Some(Ok(told)) => told.into_iter().collect(),
            Some(Err(e)) => {
                // Logged once; not retried.
                self.kernel = None;
                self.figures.kernel.store(false, Ordering::Relaxed);
                return log!(WARN, "steering: the system no longer reports round trips: {e}");
            }
        };
        for (peer, over) in over {
            for (client, gap) in over.clients {
                if let Some(us) = trips.get(&peer) {
                    self.sample(&client, Observation::RoundTrip { us: *us });
                }
                if let Some(gap) = gap {
                    self.sample(&client, Observation::Gap { us: us(gap), queue_us: 0 });
                }
            }
        }
    }

    /// Closes the window and reports it to the fleet. A lost report is not repeated: the next one follows
    /// soon.
    fn report_window(&mut self) {
        let way = self.way.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some((epoch, tables)) = way.as_ref().and_then(tables)
            && epoch != self.epoch
        {
            self.epoch = epoch;
            self.edge.follow_table(&tables);
        }
        let summary = self.edge.close_window();
        self.figures.untold.store(self.edge.dropped_samples, Ordering::Relaxed);
        let asked = std::mem::take(&mut self.asked);
        let load = asked as f64 / self.every.as_secs_f64() * 1000.0;
        let told = EdgeReport {
            edge: self.name.clone(),
            region: self.region.clone(),
            interval_ms: self.every.as_millis() as u32,
            capacity_milli: self.capacity_milli,
            load_milli: load.min(f64::from(u32::MAX)) as u32,
            summary: summary.to_bytes(),
        };
        let Some(way) = way else { return };
        let entry = Entry::Part { part: NAME.to_string(), bytes: SteeringEntry::Report(told).to_bytes() };
        // The outcome is not awaited.
        let (answer, _) = oneshot::channel();
        if way.orders.try_send(Order::Propose { entry, answer }).is_ok() {
            self.figures.windows.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
