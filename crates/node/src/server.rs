//! Starts the parts of a nodo, and shuts them down in order when it leaves.

use crate::admin::{self, AdminState, Order};
use crate::clock::Clock;
use crate::config::{Config, ConfigError, Peers};
use crate::engine::input::{self, Input, Peer};
use crate::engine::{self, Channels, Engine, IdlePolicy};
use crate::fastcgi::connections::Connections;
use crate::steering::Steering;
use crate::upgrade::link::Place;
use crate::upgrade::ownership::AliveMarker;
use crate::upgrade::{Keeper, Listeners};
use crate::{database, directory, fleet, interpreter, log};
use jaspershunt_operator::File;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Maximum time from SIGTERM to the kill of a process that a later one took over from: the longest deadline in
/// force, or this if that is longer, plus `RETIRE_SLACK`. Both are set by the operators.
const MAX_RETIRE_TIME: Duration = Duration::from_secs(3);
/// Added to the time until the kill.
const RETIRE_SLACK: Duration = Duration::from_millis(700);
/// A retiring process ends this long before the kill in any case.
const RETIRE_MARGIN: Duration = Duration::from_millis(200);
/// Remaining answers are given as failures this long before the end.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(100);
/// Connections that still have requests are read no more this long before the end. Nearly all answers take
/// less than this.
const LAST_CALL_MARGIN: Duration = Duration::from_secs(1);
/// Listen backlog.
const BACKLOG: u32 = 1024;
/// Maximum wait, on a notice to leave, for the engine to check whether this process is still the owner.
const OWNERSHIP_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which the listener stays open after the grace, for requests sent just within it.
const EXTRA_GRACE: Duration = Duration::from_millis(100);
/// The program ends this long before the kill in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(40);
/// Connections that still have requests are read no more this long before the end, and close after their last
/// answer: otherwise the program's end would reset them and lose read requests and unread answers. Answers
/// take less than this, and the module gives its last ones before it.
const HANG_UP_MARGIN: Duration = Duration::from_millis(60);
/// Maximum wait at the start for the fleet member's incarnation number, since tries that the fleet records
/// are refused until then. Bounded because the disk may stall.
const INCARNATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without owed answers before a leaving nodo closes its connections, for requests still on their way.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

/// Opens a listener on an address; error messages name the key. With `shared`, a later process of the program
/// may listen there at the same time.
///
/// # Errors
/// The address is not available.
pub fn listen(key: &str, at: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let open = || {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(shared)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|e| io::Error::new(e.kind(), format!("{key}: cannot listen on {at}: {e}")))
}

/// Applies the changeable parts of a configuration that was read again, which then becomes the one in force.
/// An invalid one is rejected as a whole and changes nothing.
pub async fn reload(
    running: &mut Config,
    read: Result<Config, ConfigError>,
    moves: &watch::Sender<Peers>,
    orders: &mpsc::Sender<Order>,
    desk: &AdminState,
) {
    let taken = async {
        let new = read.map_err(|e| e.to_string())?;
        running.followed_by(&new).map_err(|e| e.to_string())?;
        let settings = new.facts() != running.facts();
        if settings {
            let (done, taken) = oneshot::channel();
            let order = Order::Settings { facts: Rc::new(new.facts()), done };
            let gone = || "the nodo has ended its work".to_string();
            orders.send(order).await.map_err(|_| gone())?;
            taken.await.map_err(|_| gone())?.map_err(|problem| new.wrong(problem).to_string())?;
        }
        Ok::<_, String>((new, settings))
    };
    let taken = taken.await;
    desk.counts.borrow_mut().configuration_read(taken.is_ok());
    let (new, settings) = match taken {
        Ok(taken) => taken,
        Err(e) => return log!(WARN, "configuration: {e}; the one before stays in force"),
    };
    let moved = moves.send_if_modified(|peers| std::mem::replace(peers, new.peers) != new.peers);
    let kept = running.kept_keys(&new);
    let what = match (moved, settings) {
        (true, true) => "new addresses and settings are in use",
        (true, false) => "new addresses are in use",
        (false, true) => "new settings are in use",
        (false, false) => "neither addresses nor settings have changed",
    };
    let ignored = if kept.is_empty() {
        String::new()
    } else {
        format!("; ignored until a restart: {}", kept.join(", "))
    };
    log!("configuration read again: {what}{ignored}");
    let operator = running.operator.take();
    *running = new;
    running.operator = operator;
}

/// The endpoints of a nodo.
pub struct Endpoints {
    /// Listener for balancers; `None` listens on the configured address.
    pub listener: Option<TcpListener>,
    /// Listener for operators, if configured.
    pub admin: Option<TcpListener>,
    /// State shown to operators.
    pub desk: Rc<AdminState>,
    /// Operators' orders to the engine.
    pub orders: (mpsc::Sender<Order>, mpsc::Receiver<Order>),
    /// For several processes of the program that may be one nodo: where they settle which one serves.
    pub upgrade: Option<(Place, AliveMarker)>,
}

impl Endpoints {
    /// Creates endpoints for balancers only.
    pub fn new(listener: TcpListener) -> Endpoints {
        let listener = Some(listener);
        Endpoints {
            listener,
            admin: None,
            desk: Rc::default(),
            orders: mpsc::channel(admin::QUEUE),
            upgrade: None,
        }
    }
}

/// Runs a nodo until `leave` completes and the shutdown is done. Must run in a local set. Addresses from
/// `peers` replace those in `config`, and a file from `operator` replaces the previous one.
///
/// # Errors
/// The address for balancers is not available.
pub async fn run(
    config: Config,
    clock: Clock,
    endpoints: Endpoints,
    peers: watch::Receiver<Peers>,
    mut operator: watch::Receiver<Option<Rc<File>>>,
    leave: impl Future<Output = ()>,
) -> io::Result<()> {
    let Endpoints { listener, admin, desk, orders: (orders_in, orders_out), upgrade } = endpoints;
    desk.shared.set(upgrade.is_some());
    let (engine_in, engine_out) = mpsc::channel(input::QUEUE);
    let (commands_in, commands_out) = mpsc::channel(interpreter::QUEUE);
    let (calls_in, calls_out) = mpsc::channel(engine::CALL_QUEUE);
    let (mode_in, mode_out) = watch::channel(None);
    let (idle_in, idle_out) = watch::channel(IdlePolicy::default());
    let (facts_in, facts) = watch::channel(Rc::new(config.facts()));
    let (owed_in, mut owed) = watch::channel(0);
    let channels = Channels {
        engine: engine_in.downgrade(),
        interpreter: commands_in,
        database: calls_in,
        directory: mode_in,
        idle: idle_in.clone(),
        owed: owed_in,
        desk: desk.clone(),
        facts: facts_in,
    };
    spawn_local(Engine::new(&config, clock, channels).run(engine_out, orders_out));
    spawn_local(interpreter::keep_link(peers.clone(), engine_in.clone(), commands_out));
    spawn_local(database::make_calls(peers.clone(), config.bounds.calls, engine_in.clone(), calls_out));
    let to_engine = engine_in.downgrade();
    spawn_local(async move {
        while operator.changed().await.is_ok() {
            let file = operator.borrow_and_update().clone();
            let (Some(file), Some(engine)) = (file, to_engine.upgrade()) else { continue };
            let _ = engine.send(Input::OperatorFile(file)).await;
        }
    });
    let name = config.name.clone();
    spawn_local(async move { directory::report(peers, &name, mode_out).await });
    let steering = config.operator.as_ref().and_then(|file| Steering::new(file, &config.name));
    desk.steering.borrow_mut().clone_from(&steering);
    let mut connections =
        Connections::new(&config, engine_in.clone(), idle_out, facts.clone(), desk.connections.clone());
    connections.samples = steering.as_ref().map(|steering| steering.samples());
    let connections = Rc::new(connections);
    let listeners = Rc::new(Listeners::new(connections.clone()));
    // Operators are answered from the start, even while an earlier process still serves.
    if let Some(admin) = admin {
        let at = admin.local_addr().map_or(String::new(), |at| format!(" on {at}"));
        log!("{} answers operators{at}", config.name);
        spawn_local(admin::serve(admin, desk.clone(), orders_in));
    }
    let mut leave = std::pin::pin!(leave);
    let keeper = upgrade.map(|(place, alive)| Keeper {
        place,
        alive,
        name: config.name.clone(),
        listen: config.listen,
        engine: engine_in.clone(),
        idle: idle_in.clone(),
        desk: desk.clone(),
        listeners: listeners.clone(),
    });
    let at = || listen("listen", config.listen, true);
    let begun = async {
        Ok::<_, io::Error>(match (&keeper, listener) {
            (Some(keeper), _) => {
                let serves = keeper.begin(at).await?;
                (serves.listener.clone(), Some(serves))
            }
            (None, Some(listener)) => (Rc::new(listener), None),
            (None, None) => (Rc::new(listen("listen", config.listen, false)?), None),
        })
    };
    let (listener, serves) = tokio::select! {
        begun = begun => begun?,
        () = &mut leave => {
            log!("{} leaves before it has taken over", config.name);
            return Ok(());
        }
    };
    // The system chose the port if it was 0.
    let listens = listener.local_addr().unwrap_or(config.listen);
    if let Some(steering) = &steering {
        steering.start(listens);
    }
    let mut member = None;
    if let Some(file) = config.operator.clone().filter(|file| file.fleet.is_some()) {
        let (here, lost, idle, at) = (desk.clone(), desk.clone(), idle_in.subscribe(), desk.clone());
        // Work that the fleet records for this nodo is ended or handed over before the member leaves: what is
        // left goes to a successor.
        let holds = !file.handover.is_empty();
        let leaving = move || here.leaves.get() && (!holds || here.handed.get());
        let others = desk.clone();
        let serves = move || !leaving() && !others.lost.get() && !idle.borrow().hand_over;
        let leaves = move || lost.leaves.get();
        let to_engine = engine_in.downgrade();
        let service =
            (!file.team.is_empty()).then(|| fleet::routes::RouteTableService::new(&file, &desk.tally));
        *desk.routes.borrow_mut() = service.clone();
        let (numbered, number) = (Rc::new(Notify::new()), Instant::now() + INCARNATION_TIMEOUT);
        let has_number = numbered.clone();
        let publish = move |way: Option<fleet::MemberHandle>| {
            if let (Some(service), Some(way)) = (&service, &way) {
                spawn_local(service.clone().attend(way.clone(), to_engine.clone()));
            }
            if let Some(way) = way.clone().filter(|_| holds) {
                spawn_local(fleet::watch_work(way, to_engine.clone()));
            }
            if let Some(steering) = &steering {
                steering.publish(way.clone());
            }
            *at.fleet.borrow_mut() = way;
            has_number.notify_one();
        };
        member = Some(spawn_local(fleet::run_member(file, config.name.clone(), serves, leaves, publish)))
            .filter(|_| holds);
        if holds {
            // Without this wait a starting nodo would refuse repeats although the fleet knows the outcome of
            // their keys.
            let _ = timeout_at(number, numbered.notified()).await;
        }
    }
    listeners.accept(listener);
    desk.listens.set(true);
    if let (Some(keeper), Some(serves)) = (keeper, serves) {
        spawn_local(keeper.keep(serves));
    }
    log!("{} listens on {listens}", config.name);

    leave.await;
    let notified_at = Instant::now();
    desk.leaves.set(true);
    if desk.shared.get() {
        // A process that was paused may take the notice as one to the nodo before it has seen that it lost
        // ownership.
        let (answer, seen) = oneshot::channel();
        let _ = engine_in.send(Input::Peer(Peer::OwnershipQuery { answer })).await;
        let _ = timeout_at(notified_at + OWNERSHIP_CHECK_TIMEOUT, seen).await;
    }
    // Another process serves, or will: this one reports nothing for the nodo.
    if idle_in.borrow().hand_over || desk.lost.get() {
        let longest_deadline = facts.borrow().longest_deadline();
        retire(&config.name, longest_deadline, notified_at, &engine_in, &connections, &idle_in, &mut owed)
            .await;
        return Ok(());
    }
    let end = notified_at + config.stop.saturating_sub(EXIT_MARGIN);
    let _ = engine_in.send(Input::Leave { since: notified_at }).await;
    let grace = Duration::from_secs_f64(facts.borrow().settings.drain_grace.min(1e6));
    sleep_until((notified_at + grace + EXTRA_GRACE).min(end)).await;
    // From here on new connections are refused, which proves to balancers that nothing ran.
    listeners.close(end).await;
    let last = end - HANG_UP_MARGIN;
    let _ = timeout_at(last, quiet(&mut owed)).await;
    let mut member = std::pin::pin!(timeout_at(end, async {
        if let Some(member) = member {
            desk.handed.set(true);
            let _ = member.await;
        }
    }));
    // If the member takes until the end, input still arriving on connections would be reset by that.
    let member_waits = timeout_at(last, &mut member).await.is_err();
    idle_in.send_modify(|idle| (idle.limit, idle.permanent) = (Duration::ZERO, true));
    let all_ended = async {
        while connections.open.get() > 0 {
            connections.ended.notified().await;
        }
    };
    let mut all_ended = std::pin::pin!(all_ended);
    let mut connections_left = timeout_at(last, &mut all_ended).await.is_err();
    if connections_left {
        idle_in.send_modify(|idle| idle.close_after_answers = true);
        connections_left = timeout_at(end, all_ended).await.is_err();
    }
    if member_waits {
        let _ = member.await;
    }
    log!("{} leaves{}", config.name, if connections_left { " with connections open" } else { "" });
    Ok(())
}

/// Ends in-flight requests while a later process serves. This does not drain the nodo: health stays good, and
/// new requests go to the later process.
async fn retire(
    name: &str,
    longest_deadline: f64,
    notified_at: Instant,
    engine: &mpsc::Sender<Input>,
    connections: &Connections,
    idle: &watch::Sender<IdlePolicy>,
    owed: &mut watch::Receiver<usize>,
) {
    let end = notified_at
        + Duration::from_secs_f64(longest_deadline.min(MAX_RETIRE_TIME.as_secs_f64()))
        + RETIRE_SLACK
        - RETIRE_MARGIN;
    log!("{name} leaves the work to a later start");
    let done = async {
        loop {
            let ended = connections.ended.notified();
            if connections.open.get() == 0 && *owed.borrow_and_update() == 0 {
                return;
            }
            tokio::select! {
                () = ended => {}
                _ = owed.changed() => {}
            }
        }
    };
    let mut done = std::pin::pin!(done);
    if timeout_at(end - LAST_CALL_MARGIN, &mut done).await.is_err() {
        idle.send_modify(|idle| idle.stop_reading = true);
        if timeout_at(end - GIVE_UP_MARGIN, &mut done).await.is_err() {
            let _ = engine.send(Input::Peer(Peer::GiveUp)).await;
            // Without a later process, connections cannot be passed on.
            idle.send_modify(|idle| idle.close_after_answers = !idle.hand_over);
            let _ = timeout_at(end, &mut done).await;
        }
    }
    connections.send_farewell(end).await;
    log!("{name} ends, {} connections are left", connections.open.get());
}

/// Waits until no answer has been owed for `QUIET_PERIOD`.
async fn quiet(owed: &mut watch::Receiver<usize>) {
    loop {
        if owed.wait_for(|owed| *owed == 0).await.is_err() {
            return;
        }
        let until = Instant::now() + QUIET_PERIOD;
        if timeout_at(until, owed.wait_for(|owed| *owed > 0)).await.is_err() {
            return;
        }
    }
}
