//! Two processes as one nodo, while a later start of the program takes over from an earlier one.
//!
//! The earlier start keeps a Unix socket in `$TMPDIR`. The later one finds it, gets the listener of balancers over it, and,
//! once its interpreter is up, the table of keys. From then on all that is new is the later one's: what still reaches the
//! earlier one is sent over the link and its reply sent back, and connections follow as soon as they are quiet, with what
//! was read of them. The earlier one ends what it has in hand. [`claims`] decides who may run what, [`wire`] has the
//! messages, [`link`] the socket; the engine's side is in `engine/upgrade`.

pub mod claims;
pub mod link;
pub mod wire;

use crate::engine::Idle;
use crate::engine::input::{Input, Peer};
use crate::fastcgi::connection::{Came, Front};
use crate::log;
use link::{Out, Place, Reader, Writer, ends};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use wire::{Message, VERSION};

/// For a word of the other process.
const ANSWERS_WITHIN: Duration = Duration::from_secs(1);
/// The earlier start may itself be taking over: it is asked again for so long, every so often.
const ASK_FOR: Duration = Duration::from_secs(5);
const ASK_EVERY: Duration = Duration::from_millis(50);

/// What a later start finds.
pub enum Earlier {
    /// No other process serves under this name.
    None,
    /// One is there and does not hand over. What it ran is not known.
    Silent,
    /// One that hands over.
    Found(Box<Found>),
}

/// An earlier start that hands over.
pub struct Found {
    reader: Reader,
    writer: Writer,
    listener: std::net::TcpListener,
    /// Operators had clients sent away.
    pub lameduck: bool,
}

impl Found {
    /// Where balancers connect: the listener that both processes share, so that what waits there is lost by neither.
    ///
    /// # Errors
    /// The system does not give it to the runtime.
    pub fn listener(&self) -> io::Result<TcpListener> {
        let listener = self.listener.try_clone()?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    }
}

/// Looks for an earlier start.
pub async fn find(place: &Place, name: &str, listen: SocketAddr) -> Earlier {
    let until = Instant::now() + ASK_FOR;
    loop {
        let stream = match place.connect().await {
            Ok(Some(stream)) => stream,
            Ok(None) => return Earlier::None,
            Err(e) => {
                log!(WARN, "upgrade: the socket of an earlier start cannot be reached: {e}");
                return Earlier::None;
            }
        };
        match timeout(ANSWERS_WITHIN, ask(stream, name, listen)).await {
            Ok(Ok(Ok(found))) => return Earlier::Found(Box::new(found)),
            Ok(Ok(Err(why))) if Instant::now() > until => {
                log!(WARN, "upgrade: an earlier start does not hand over: {why}");
                return Earlier::Silent;
            }
            Ok(Ok(Err(_))) => sleep(ASK_EVERY).await,
            Ok(Err(e)) => {
                log!(WARN, "upgrade: an earlier start does not hand over: {e}");
                return Earlier::Silent;
            }
            Err(_) => {
                log!(WARN, "upgrade: an earlier start does not answer");
                return Earlier::Silent;
            }
        }
    }
}

async fn ask(stream: UnixStream, name: &str, listen: SocketAddr) -> io::Result<Result<Found, String>> {
    let (mut reader, mut writer) = ends(stream);
    let hello = Message::Hello { version: VERSION, name: name.to_string(), listen: listen.to_string() };
    writer.send(&hello, None).await?;
    match reader.next().await? {
        (Message::Welcome { lameduck }, Some(listener)) => {
            Ok(Ok(Found { reader, writer, listener: listener.into(), lameduck }))
        }
        (Message::NotNow { why }, _) => Ok(Err(why)),
        _ => Err(unexpected()),
    }
}

fn unexpected() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "what it says does not belong here")
}

/// The later start's side of the link: takes in what the earlier one hands over. `owns` is told once all that is new is
/// this process's, and dropped if the link breaks before. Ends with the link.
pub async fn take_over(
    found: Found,
    outs: mpsc::Receiver<Out>,
    out: mpsc::Sender<Out>,
    engine: mpsc::Sender<Input>,
    front: Rc<Front>,
    owns: oneshot::Sender<()>,
) {
    let Found { mut reader, writer, .. } = found;
    let mut owns = Some(owns);
    let reading = async {
        loop {
            let peer = match reader.next().await? {
                (Message::Table(entries), _) => Peer::Table(entries),
                (Message::Yours, _) => {
                    let _ = engine.send(Input::Peer(Peer::Yours)).await;
                    // The receiver is there until it is told.
                    owns.take().map(|owns| owns.send(()));
                    continue;
                }
                (Message::Work { ticket, work }, _) => Peer::Work { ticket, work, to: out.clone() },
                (Message::Gone { ticket }, _) => Peer::Gone { ticket },
                (Message::Load(load), _) => {
                    front.leave_to_other(load.descriptors as usize);
                    Peer::Load(load)
                }
                (Message::Ended(entry), _) => Peer::Ended(entry),
                (Message::Lameduck { on }, _) => Peer::Lameduck { on },
                (Message::Connection { input, used, waited_ms }, Some(stream)) => {
                    let stream = std::net::TcpStream::from(stream);
                    let peer = stream.peer_addr();
                    match peer.and_then(|peer| Ok((tokio::net::TcpStream::from_std(stream)?, peer))) {
                        Ok((stream, peer)) => {
                            let waited = waited_ms.map(Duration::from_millis);
                            front.take_over(stream, peer, Came { input, used, waited });
                        }
                        Err(e) => log!(WARN, "upgrade: a connection was lost on the way: {e}"),
                    }
                    continue;
                }
                (Message::Farewell, _) => return Ok(true),
                _ => return Err(unexpected()),
            };
            if engine.send(Input::Peer(peer)).await.is_err() {
                return Ok(false);
            }
        }
    };
    let ended: io::Result<bool> = tokio::select! {
        ended = reading => ended,
        ended = writer.send_all(outs) => ended.map(|()| false),
    };
    let over = match ended {
        Ok(true) => {
            log!("upgrade: the earlier start has ended its work");
            Peer::Farewell
        }
        Ok(false) => Peer::Broke,
        Err(e) => {
            log!(WARN, "upgrade: the link to the earlier start broke: {e}");
            Peer::Broke
        }
    };
    front.leave_to_other(0);
    let _ = engine.send(Input::Peer(over)).await;
}

/// What an earlier start hands over from.
pub struct Keeper {
    /// Where its socket lies.
    pub place: Place,
    /// The nodo's name.
    pub name: String,
    /// Where balancers connect, as configured.
    pub listen: SocketAddr,
    /// The listener there.
    pub listener: Rc<TcpListener>,
    /// The way to the engine.
    pub engine: mpsc::Sender<Input>,
    /// The connections.
    pub front: Rc<Front>,
    /// Tells connections that they are to be passed on.
    pub idle: watch::Sender<Idle>,
}

impl Keeper {
    /// Waits for a later start, and hands over to it. One that dies leaves this process to serve as before.
    ///
    /// While this process itself still takes over, as `taking` tells, others are asked to come again.
    pub async fn keep(self, taking: Option<JoinHandle<()>>) {
        let mut taking = taking;
        loop {
            let socket = match self.place.listen() {
                Ok(socket) => socket,
                Err(e) => return log!(WARN, "upgrade: no socket for a later start: {e}"),
            };
            if let Some(taking) = taking.take() {
                tokio::select! {
                    _ = taking => {}
                    () = turn_away(&socket) => {}
                }
            }
            let (reader, writer) = loop {
                if let Some(link) = self.greeted(&socket).await {
                    break link;
                }
            };
            log!("upgrade: a later start is here");
            let ended = tokio::select! {
                ended = self.hand_over(reader, writer) => ended,
                () = turn_away(&socket) => Ok(()),
            };
            self.front.hand_to(None);
            self.idle.send_modify(|idle| idle.passing = false);
            let _ = self.engine.send(Input::Peer(Peer::Broke)).await;
            if let Err(e) = ended {
                log!(WARN, "upgrade: the link to the later start broke: {e}; this process serves as before");
            }
        }
    }

    async fn greeted(&self, socket: &UnixListener) -> Option<(Reader, Writer)> {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ASK_EVERY).await;
            return None;
        };
        let (mut reader, mut writer) = ends(stream);
        let (lameduck, told) = oneshot::channel();
        let _ = self.engine.send(Input::Peer(Peer::Lame { told: lameduck })).await;
        let greeting = async {
            let Ok((Message::Hello { version, name, listen }, _)) = reader.next().await else {
                return Ok(false);
            };
            let why = if version != VERSION {
                format!("it speaks version {version}, this process {VERSION}")
            } else if name != self.name || listen != self.listen.to_string() {
                format!("it is {name} on {listen}, this process {} on {}", self.name, self.listen)
            } else {
                let welcome = Message::Welcome { lameduck: told.await.unwrap_or(false) };
                writer.send(&welcome, Some(self.listener.as_fd())).await?;
                return Ok(true);
            };
            log!(WARN, "upgrade: a later start is turned away: {why}");
            if version != VERSION {
                // It will serve on its own, beside this process.
                let _ = self.engine.send(Input::Peer(Peer::Beside)).await;
            }
            writer.send(&Message::NotNow { why }, None).await.map(|()| false)
        };
        let welcome: Result<io::Result<bool>, _> = timeout(ANSWERS_WITHIN, greeting).await;
        matches!(welcome, Ok(Ok(true))).then_some((reader, writer))
    }

    async fn hand_over(&self, mut reader: Reader, writer: Writer) -> io::Result<()> {
        let (out, outs) = mpsc::channel(link::QUEUE);
        let reading = async {
            loop {
                let peer = match reader.next().await? {
                    (Message::Begin, _) => {
                        let (given, is_given) = oneshot::channel();
                        let begin = Peer::Begin { to: out.clone(), given };
                        let _ = self.engine.send(Input::Peer(begin)).await;
                        if !is_given.await.unwrap_or(false) {
                            return Err(io::Error::other("the table of keys is too long for it"));
                        }
                        continue;
                    }
                    (Message::Reply { ticket, reply }, _) => Peer::Reply { ticket, reply },
                    (Message::Lameduck { on }, _) => Peer::Lameduck { on },
                    (Message::Ready, _) => {
                        self.front.hand_to(Some(out.clone()));
                        self.idle.send_modify(|idle| idle.passing = true);
                        continue;
                    }
                    _ => return Err(unexpected()),
                };
                if self.engine.send(Input::Peer(peer)).await.is_err() {
                    return Ok(());
                }
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = writer.send_all(outs) => ended,
        }
    }
}

/// While one later start is here, others are told to come again.
async fn turn_away(socket: &UnixListener) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ASK_EVERY).await;
            continue;
        };
        let (_, mut writer) = ends(stream);
        let why = "another start is taking over".to_string();
        let _ = timeout(ANSWERS_WITHIN, writer.send(&Message::NotNow { why }, None)).await;
    }
}
