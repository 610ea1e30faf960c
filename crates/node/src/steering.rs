//! What this nodo sees of its clients' delays in passing, where the operator's file has a `steering` block. It runs on a thread of its own,
//! which tells the fleet; traffic hands over what it sees without a wait, and what finds no room is dropped and counted.

pub mod kernel;

use crate::admin::line::Answer;
use crate::fleet::MemberHandle;
use crate::log;
use jaspershunt_fleet::Entry;
use jaspershunt_member::driver::Order;
use jaspershunt_operator::{By, Delays, File};
use jaspershunt_steering::part::{MemberView as Shown, NAME};
use jaspershunt_steering::{Client, Edge, EdgeReport, Entry as OfSteering, Observation, Tables};
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

/// What traffic saw and the thread has not taken yet: some 200 KiB.
const QUEUE: usize = 2048;
/// Looks at the connections in a window.
const LOOKS: u32 = 10;
/// Connections of which something is kept from one look to the next.
const MAX_PEERS: usize = 1024;
/// Groups that one connection brings requests of, between two looks.
const MAX_OVER: usize = 8;

/// What traffic sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A request came.
    Asked {
        /// Over which connection.
        peer: SocketAddr,
        /// Whose.
        client: Client,
        /// Since the last answer on this connection was written, if it was owed no other one then.
        gap: Option<Duration>,
    },
    /// The connection ended with the request open.
    Reset(Client),
    /// Its caller gave it up.
    TimedOut(Client),
}

/// Traffic's side.
#[derive(Clone, Debug)]
pub struct Samples {
    way: SyncSender<Seen>,
    by: By,
    field: String,
    figures: Arc<Figures>,
}

impl Samples {
    /// The client of a request, by what the file says; `None` if the request does not say.
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

    /// Hands over what was seen, or drops it: requests never wait for this.
    pub fn tell(&self, seen: Seen) {
        if self.way.try_send(seen).is_err() {
            self.figures.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// What operators are shown of it.
#[derive(Debug, Default)]
struct Figures {
    dropped: AtomicU64,
    samples: AtomicU64,
    untold: AtomicU64,
    windows: AtomicU64,
    /// The system tells round trips.
    kernel: AtomicBool,
}

/// What both sides and operators have.
#[derive(Debug)]
pub struct Steering {
    name: String,
    region: String,
    figures: Arc<Figures>,
    /// The way to the member while there is one.
    way: Arc<Mutex<Option<MemberHandle>>>,
    samples: Samples,
    /// Until the nodo's address is known.
    starts: RefCell<Option<(Thread, Receiver<Seen>)>>,
}

impl Steering {
    /// What the file wants; nothing is started yet.
    pub fn new(file: &File, name: &str) -> Option<Rc<Steering>> {
        let steering = file.steering.as_ref()?;
        let region = file.fleet.as_ref()?.region.clone()?;
        let (way, queue) = sync_channel(QUEUE);
        let figures = Arc::new(Figures::default());
        let samples = Samples {
            way,
            by: steering.by,
            field: steering.field.clone().unwrap_or_default(),
            figures: figures.clone(),
        };
        let way = Arc::new(Mutex::new(None));
        // Higher than that of any start before, as long as the clock is.
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
            over: BTreeMap::new(),
            asked: 0,
            way: way.clone(),
            figures: figures.clone(),
        };
        let starts = RefCell::new(Some((thread, queue)));
        Some(Rc::new(Steering { name: name.to_string(), region, figures, way, samples, starts }))
    }

    /// Traffic's side.
    pub fn samples(&self) -> Samples {
        self.samples.clone()
    }

    /// Begins, now that balancers connect here.
    pub fn start(&self, listens: SocketAddr) {
        let Some((mut thread, queue)) = self.starts.borrow_mut().take() else { return };
        if !thread.gaps {
            match Kernel::new(listens) {
                Ok(kernel) => thread.kernel = Some(kernel),
                Err(e) => {
                    log!(WARN, "steering: the system tells no round trips: {e}; no delays are measured here")
                }
            }
        }
        self.figures.kernel.store(thread.kernel.is_some(), Ordering::Relaxed);
        let started =
            std::thread::Builder::new().name("steering".to_string()).spawn(move || thread.run(&queue));
        if let Err(e) = started {
            log!(ERROR, "steering: {e}; nothing is measured, requests are served as ever");
        }
    }

    /// The member is there, or not any more.
    pub fn publish(&self, way: Option<MemberHandle>) {
        *self.way.lock().unwrap_or_else(PoisonError::into_inner) = way;
    }

    fn tables(&self) -> Tables {
        let way = self.way.lock().unwrap_or_else(PoisonError::into_inner);
        way.as_ref().and_then(tables).map(|(_, tables)| tables).unwrap_or_default()
    }

    /// Answers an operator, from what this nodo has: nobody else is asked.
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

/// The table as operators' calls have it: groups by name.
fn rows(tables: &Tables) -> Vec<Value> {
    let row = |(group, row): (&jaspershunt_steering::Group, &jaspershunt_steering::Row)| json!({"group": group.to_string(), "row": row});
    tables.rows.iter().map(row).collect()
}

/// The table that the member has, with its epoch.
fn tables(way: &MemberHandle) -> Option<(u64, Tables)> {
    let seen = way.seen.as_ref()?.borrow().get(NAME).cloned();
    let (epoch, bytes) = seen?;
    Some((epoch, Shown::from_bytes(&bytes)?.tables))
}

/// What came over a connection since the last look.
#[derive(Debug, Default)]
struct Over {
    clients: Vec<(Client, Option<Duration>)>,
}

/// The thread's side.
#[derive(Debug)]
struct Thread {
    name: String,
    region: String,
    every: Duration,
    capacity_milli: u32,
    kernel: Option<Kernel>,
    /// Round trips are what lies between an answer and the next request.
    gaps: bool,
    edge: Edge,
    /// Of the table that the edge goes by.
    epoch: u64,
    over: BTreeMap<SocketAddr, Over>,
    /// Requests in this window.
    asked: u64,
    way: Arc<Mutex<Option<MemberHandle>>>,
    figures: Arc<Figures>,
}

impl Thread {
    /// Until nobody hands over anything any more.
    fn run(mut self, queue: &Receiver<Seen>) {
        let look = self.every / LOOKS;
        let mut next = Instant::now() + look;
        let mut looks = 0;
        loop {
            match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(seen) => self.take(seen),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() < next {
                continue;
            }
            // Guards against many looks in a row after a freeze.
            next = Instant::now() + look;
            self.look();
            looks += 1;
            if looks == LOOKS {
                looks = 0;
                self.tell();
            }
        }
    }

    fn sample(&mut self, client: &Client, what: Observation) {
        self.figures.samples.fetch_add(1, Ordering::Relaxed);
        self.edge.record(client, what);
    }

    fn take(&mut self, seen: Seen) {
        match seen {
            Seen::Asked { peer, client, gap } => {
                self.asked += 1;
                self.sample(&client, Observation::Request);
                if self.over.len() >= MAX_PEERS && !self.over.contains_key(&peer) {
                    return;
                }
                let clients = &mut self.over.entry(peer).or_default().clients;
                if let Some((_, least)) = clients.iter_mut().find(|(other, _)| *other == client) {
                    *least = (*least).into_iter().chain(gap).min();
                } else if clients.len() < MAX_OVER {
                    clients.push((client, gap));
                }
            }
            Seen::Reset(client) => self.sample(&client, Observation::Reset),
            Seen::TimedOut(client) => self.sample(&client, Observation::TimedOut),
        }
    }

    /// The delays of connections over which something came since the last look.
    fn look(&mut self) {
        let over = std::mem::take(&mut self.over);
        if over.is_empty() {
            return;
        }
        let us = |time: Duration| u32::try_from(time.as_micros()).unwrap_or(u32::MAX).max(1);
        // The file says that clients ask again as soon as they are answered. What they think is in it: the shortest has least of that.
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
                // Once: what failed fails again.
                self.kernel = None;
                self.figures.kernel.store(false, Ordering::Relaxed);
                return log!(WARN, "steering: the system tells no round trips any more: {e}");
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

    /// Ends the window, and tells the fleet of it. One that does not come through is lost: the next one comes soon.
    fn tell(&mut self) {
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
        let entry = Entry::Part { part: NAME.to_string(), bytes: OfSteering::Report(told).to_bytes() };
        // Nobody waits for what comes of it.
        let (answer, _) = oneshot::channel();
        if way.orders.try_send(Order::Propose { entry, answer }).is_ok() {
            self.figures.windows.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests;
