//! Puts the parts together, and takes them apart again when the nodo leaves.

use crate::admin::{self, Desk, Order};
use crate::clock::Clock;
use crate::config::{Config, ConfigError, Peers};
use crate::engine::input::{self, Input, Peer};
use crate::engine::{self, Engine, Idle, Ways};
use crate::fastcgi::connection::Front;
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

/// From SIGTERM to the kill of a process that a later start took over from: the longest deadline, or this if that is longer,
const RETIRE_WITHIN: Duration = Duration::from_secs(3);
/// and this. The operators' figures.
const RETIRE_SLACK: Duration = Duration::from_millis(700);
/// It ends so long before the kill whatever is left. Ours, as the next two: a tenth of a second for each step.
const RETIRE_AHEAD: Duration = Duration::from_millis(200);
/// What is owed is failed so long before that.
const GIVE_UP_AHEAD: Duration = Duration::from_millis(100);
/// Connections that are never quiet are read no more so long before: answers take less than this, but for a few.
const LAST_CALL: Duration = Duration::from_secs(1);
/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;
/// A notice to leave waits so long at most for the engine to see whether this process still has the right to run.
const LOOK_WITHIN: Duration = Duration::from_millis(100);
/// Beyond the grace the listener stays open so long, since a request that came just within it may be on its way.
const BEYOND_GRACE: Duration = Duration::from_millis(100);
/// The program ends so long before the kill whatever is left.
const EXIT_AHEAD: Duration = Duration::from_millis(40);
/// Connections that still bring requests so long before that are read no more, and end behind their last answer: the end of the
/// program would reset them, over requests that were read and answers that the peer has not. Ours: answers take less than this,
/// and the module's last ones are given before it.
const HANG_UP_AHEAD: Duration = Duration::from_millis(60);
/// Tries that the fleet has to hold are refused until its member has its number. A nodo that starts waits so long for that before it
/// takes clients, and no longer: the disk may stall.
const NUMBER_WITHIN: Duration = Duration::from_millis(300);
/// A nodo that owes nothing waits so long for what may still be on its way before it closes its connections.
const QUIET: Duration = Duration::from_millis(100);

/// A listener on an address; the message of an error names the key. With `shared`, a later start of the program may listen
/// there too, while this one still does.
///
/// # Errors
/// The address cannot be had.
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

/// Takes up what may change in a nodo that runs, from a configuration that was read anew, which is then the one in force.
/// One that cannot be used changes nothing: it is taken whole or not at all.
pub async fn reload(
    running: &mut Config,
    read: Result<Config, ConfigError>,
    moves: &watch::Sender<Peers>,
    orders: &mpsc::Sender<Order>,
    desk: &Desk,
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
    desk.counts.borrow_mut().configuration(taken.is_ok());
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

/// Where a nodo is called.
pub struct Doors {
    /// By balancers; where there is none yet, the configured address is listened at.
    pub listener: Option<TcpListener>,
    /// By operators, if they may.
    pub admin: Option<TcpListener>,
    /// What operators are shown.
    pub desk: Rc<Desk>,
    /// What operators have the engine do.
    pub orders: (mpsc::Sender<Order>, mpsc::Receiver<Order>),
    /// By other starts of the program, if several can be one nodo: where that is settled.
    pub upgrade: Option<(Place, AliveMarker)>,
}

impl Doors {
    /// Balancers alone can call.
    pub fn new(listener: TcpListener) -> Doors {
        let listener = Some(listener);
        Doors {
            listener,
            admin: None,
            desk: Rc::default(),
            orders: mpsc::channel(admin::QUEUE),
            upgrade: None,
        }
    }
}

/// Runs a nodo on a listener until it is told to leave and has left. Needs to run in a local set. The addresses in
/// `peers` take the place of those in `config`, and a file in `operator` that of the one before.
///
/// # Errors
/// The address for balancers cannot be had.
pub async fn run(
    config: Config,
    clock: Clock,
    doors: Doors,
    peers: watch::Receiver<Peers>,
    mut operator: watch::Receiver<Option<Rc<File>>>,
    leave: impl Future<Output = ()>,
) -> io::Result<()> {
    let Doors { listener, admin, desk, orders: (orders_in, orders_out), upgrade } = doors;
    desk.shared.set(upgrade.is_some());
    let (engine_in, engine_out) = mpsc::channel(input::QUEUE);
    let (commands_in, commands_out) = mpsc::channel(interpreter::QUEUE);
    let (calls_in, calls_out) = mpsc::channel(engine::CALLS);
    let (mode_in, mode_out) = watch::channel(None);
    let (idle_in, idle_out) = watch::channel(Idle::default());
    let (facts_in, facts) = watch::channel(Rc::new(config.facts()));
    let (owed_in, mut owed) = watch::channel(0);
    let ways = Ways {
        engine: engine_in.downgrade(),
        interpreter: commands_in,
        database: calls_in,
        directory: mode_in,
        idle: idle_in.clone(),
        owed: owed_in,
        desk: desk.clone(),
        facts: facts_in,
    };
    spawn_local(Engine::new(&config, clock, ways).run(engine_out, orders_out));
    spawn_local(interpreter::keep_link(peers.clone(), engine_in.clone(), commands_out));
    spawn_local(database::make_calls(peers.clone(), config.bounds.calls, engine_in.clone(), calls_out));
    let to_engine = engine_in.downgrade();
    spawn_local(async move {
        while operator.changed().await.is_ok() {
            let file = operator.borrow_and_update().clone();
            let (Some(file), Some(engine)) = (file, to_engine.upgrade()) else { continue };
            let _ = engine.send(Input::Operator(file)).await;
        }
    });
    let name = config.name.clone();
    spawn_local(async move { directory::report(peers, &name, mode_out).await });
    let steering = config.operator.as_ref().and_then(|file| Steering::new(file, &config.name));
    desk.steering.borrow_mut().clone_from(&steering);
    let mut front = Front::new(&config, engine_in.clone(), idle_out, facts.clone(), desk.connections.clone());
    front.samples = steering.as_ref().map(|steering| steering.samples());
    let front = Rc::new(front);
    let listeners = Rc::new(Listeners::new(front.clone()));
    // Operators are answered from the first moment on, also while an earlier start still serves.
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
    // The system's choice where the port was 0.
    let listens = listener.local_addr().unwrap_or(config.listen);
    if let Some(steering) = &steering {
        steering.start(listens);
    }
    let mut member = None;
    if let Some(file) = config.operator.clone().filter(|file| file.fleet.is_some()) {
        let (here, lost, idle, at) = (desk.clone(), desk.clone(), idle_in.subscribe(), desk.clone());
        // Work that the fleet holds for this nodo is ended or handed over before the member leaves: what it has is an heir's then.
        let holds = !file.handover.is_empty();
        let leaving = move || here.leaves.get() && (!holds || here.handed.get());
        let others = desk.clone();
        let serves = move || !leaving() && !others.lost.get() && !idle.borrow().passing;
        let leaves = move || lost.leaves.get();
        let to_engine = engine_in.downgrade();
        let service =
            (!file.team.is_empty()).then(|| fleet::routes::RouteTableService::new(&file, &desk.tally));
        *desk.routes.borrow_mut() = service.clone();
        let (numbered, number) = (Rc::new(Notify::new()), Instant::now() + NUMBER_WITHIN);
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
            // Guards against a repeat that is refused by a nodo which starts, though the fleet knows what became of its key.
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
    let told = Instant::now();
    desk.leaves.set(true);
    if desk.shared.get() {
        // Guards against a process that was frozen and takes the notice for one to the nodo, before it has seen that it lost.
        let (answer, seen) = oneshot::channel();
        let _ = engine_in.send(Input::Peer(Peer::Look { told: answer })).await;
        let _ = timeout_at(told + LOOK_WITHIN, seen).await;
    }
    // Another process serves, or will: this one says nothing for the nodo.
    if idle_in.borrow().passing || desk.lost.get() {
        let longest = facts.borrow().settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        retire(&config.name, longest, told, &engine_in, &front, &idle_in, &mut owed).await;
        return Ok(());
    }
    let end = told + config.stop.saturating_sub(EXIT_AHEAD);
    let _ = engine_in.send(Input::Leave { told }).await;
    let grace = Duration::from_secs_f64(facts.borrow().settings.drain_grace.min(1e6));
    sleep_until((told + grace + BEYOND_GRACE).min(end)).await;
    // New connections are refused from here on, which proves to balancers that nothing ran.
    listeners.close(end).await;
    let last = end - HANG_UP_AHEAD;
    let _ = timeout_at(last, quiet(&mut owed)).await;
    let mut member = std::pin::pin!(timeout_at(end, async {
        if let Some(member) = member {
            desk.handed.set(true);
            let _ = member.await;
        }
    }));
    // Guards against a member that takes until the end: what still comes on connections would be reset by that.
    let waits = timeout_at(last, &mut member).await.is_err();
    idle_in.send_modify(|idle| (idle.limit, idle.standing) = (Duration::ZERO, true));
    let all_ended = async {
        while front.open.get() > 0 {
            front.ended.notified().await;
        }
    };
    let mut all_ended = std::pin::pin!(all_ended);
    let mut left_over = timeout_at(last, &mut all_ended).await.is_err();
    if left_over {
        idle_in.send_modify(|idle| idle.hang_up = true);
        left_over = timeout_at(end, all_ended).await.is_err();
    }
    if waits {
        let _ = member.await;
    }
    log!("{} leaves{}", config.name, if left_over { " with connections open" } else { "" });
    Ok(())
}

/// Ends what is in hand while a later start serves. This is no notice to drain: health stays good, and what still comes
/// goes to the later start.
async fn retire(
    name: &str,
    longest: f64,
    told: Instant,
    engine: &mpsc::Sender<Input>,
    front: &Front,
    idle: &watch::Sender<Idle>,
    owed: &mut watch::Receiver<usize>,
) {
    let end = told + Duration::from_secs_f64(longest.min(RETIRE_WITHIN.as_secs_f64())) + RETIRE_SLACK
        - RETIRE_AHEAD;
    log!("{name} leaves the work to a later start");
    let done = async {
        loop {
            let ended = front.ended.notified();
            if front.open.get() == 0 && *owed.borrow_and_update() == 0 {
                return;
            }
            tokio::select! {
                () = ended => {}
                _ = owed.changed() => {}
            }
        }
    };
    let mut done = std::pin::pin!(done);
    if timeout_at(end - LAST_CALL, &mut done).await.is_err() {
        idle.send_modify(|idle| idle.last_call = true);
        if timeout_at(end - GIVE_UP_AHEAD, &mut done).await.is_err() {
            let _ = engine.send(Input::Peer(Peer::GiveUp)).await;
            let _ = timeout_at(end, &mut done).await;
        }
    }
    front.farewell(end).await;
    log!("{name} ends, {} connections are left", front.open.get());
}

/// Waits until nothing has been owed for a while.
async fn quiet(owed: &mut watch::Receiver<usize>) {
    loop {
        if owed.wait_for(|owed| *owed == 0).await.is_err() {
            return;
        }
        let until = Instant::now() + QUIET;
        if timeout_at(until, owed.wait_for(|owed| *owed > 0)).await.is_err() {
            return;
        }
    }
}
