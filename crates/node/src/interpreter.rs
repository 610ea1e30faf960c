//! The link to the interpreter: its messages, and a task that keeps the link up across disconnects.
//!
//! Commands are kept until their arrival is confirmed. The interpreter processes commands in order, so the
//! answer to a [`Command::Gauges`] confirms all before it. After a reconnect the link first reads all
//! messages that it missed, and then resends unconfirmed commands that still apply.
//!
//! A command may so arrive twice. [`Command::Resolve`] does not name its call: a run that comes to its next call just
//! before the second copy arrives takes that for the reply to this call. Such a run is reported by
//! [`Message::AmbiguousReply`].

use crate::config::Peers;
use crate::engine::input::{Input, Message, RunEnd};
use crate::log;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::collections::{HashMap, VecDeque};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Maximum line length: a result of 4 KiB in base64, with a margin.
const MAX_LINE_BYTES: usize = 64 * 1024;
/// Maximum number of arrays and objects in a line. The JSON parser recurses into each, so this bounds its
/// stack.
const MAX_NESTED_VALUES: usize = 64;
/// Delay between attempts to connect. A link that was up for at least this long is reconnected at once.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Request for the gauges whose answer shows that all missed messages have been read. The engine's tags begin
/// at 1.
const CATCH_UP: Command = Command::Gauges { tag: 0 };
/// Maximum number of commands waiting to be sent.
pub const QUEUE: usize = 4096;

/// Commands to the interpreter.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Runs a request.
    Apply {
        /// The request.
        uid: Rc<str>,
        /// The name of its class as a JSON string; see [`quoted`].
        class: Rc<str>,
        /// Its body.
        body: Rc<[u8]>,
    },
    /// Stops the run of a request.
    Break {
        /// The request.
        uid: Rc<str>,
    },
    /// Resumes a paused run.
    Continue {
        /// The request.
        uid: Rc<str>,
    },
    /// Delivers the reply to the call that a run waits for.
    Resolve {
        /// The request.
        uid: Rc<str>,
        /// The reply, unchanged.
        content: Rc<[u8]>,
    },
    /// Continues a run without its call.
    Stub {
        /// The request.
        uid: Rc<str>,
        /// Position of the message that requested the call.
        pos: u64,
    },
    /// Requests the gauges.
    Gauges {
        /// Returned with the answer.
        tag: u64,
    },
}

impl Command {
    /// Returns the uid of the request that a command concerns.
    fn uid(&self) -> Option<&Rc<str>> {
        match self {
            Command::Apply { uid, .. }
            | Command::Break { uid }
            | Command::Continue { uid }
            | Command::Resolve { uid, .. }
            | Command::Stub { uid, .. } => Some(uid),
            Command::Gauges { .. } => None,
        }
    }

    /// Appends the line of a command; `confirms` is the number of commands before it. Uids are hex digits and
    /// contents base64, so they need no escaping, and the class in [`Command::Apply`] is already escaped.
    fn write(&self, out: &mut Vec<u8>, confirms: u64) {
        // Writing to a Vec cannot fail.
        let _ = match self {
            Command::Apply { uid, class, body } => {
                let _ = write!(
                    out,
                    r#"{{"action":"APPLY","uid":"{uid}","lane":{class},"content":"{}"}}"#,
                    base64(body)
                );
                writeln!(out)
            }
            Command::Break { uid } => writeln!(out, r#"{{"action":"BREAK","uid":"{uid}"}}"#),
            Command::Continue { uid } => writeln!(out, r#"{{"action":"CONTINUE","uid":"{uid}"}}"#),
            Command::Resolve { uid, content } => {
                writeln!(out, r#"{{"action":"RESOLVE","uid":"{uid}","content":"{}"}}"#, base64(content))
            }
            Command::Stub { uid, pos } => writeln!(out, r#"{{"action":"STUB","uid":"{uid}","pos":{pos}}}"#),
            Command::Gauges { tag } => writeln!(out, r#"{{"action":"TOP","echo":"{tag}-{confirms}"}}"#),
        };
    }
}

/// Encodes bytes as base64 for a line.
fn base64(bytes: &[u8]) -> base64::display::Base64Display<'_, '_, base64::engine::GeneralPurpose> {
    base64::display::Base64Display::new(bytes, &BASE64)
}

/// Encodes the name of a class as a JSON string.
pub fn quoted(class: &str) -> Rc<str> {
    // Only non-finite numbers fail to serialize.
    JsonValue::String(class.to_string()).stringify().unwrap_or_default().into()
}

/// Parses a line.
///
/// # Errors
/// The problem with the line.
pub fn read_line(line: &[u8]) -> Result<Message, String> {
    if line.iter().filter(|b| matches!(b, b'[' | b'{')).count() > MAX_NESTED_VALUES {
        return Err("has too many arrays and objects".to_string());
    }
    let line = std::str::from_utf8(line).map_err(|_| "is not UTF-8".to_string())?;
    let value: JsonValue = line.parse().map_err(|_| "is not JSON".to_string())?;
    let object: &HashMap<String, JsonValue> = value.get().ok_or("is not an object")?;
    let word = |key: &str| match object.get(key) {
        Some(JsonValue::String(text)) => Ok(text.as_str()),
        _ => Err(format!("lacks the string {key}")),
    };
    let count = |key: &str| match object.get(key) {
        Some(JsonValue::Number(n)) if *n >= 0.0 && n.is_finite() => Ok(*n),
        _ => Err(format!("lacks the number {key}")),
    };
    let content =
        || BASE64.decode(word("content")?).map_err(|_| "has content that is not base64".to_string());
    // The cast is exact: positions are integers far below 2^53.
    let pos = || count("pos").map(|n| n as u64);
    let uid = || word("uid").map(Rc::from);
    Ok(match word("action")? {
        "BANNER" => Message::Banner { cold: word("code")? == "COLD", age: count("wall_ms")? / 1000.0 },
        "VALUE" => {
            let end = match word("code")? {
                "OK" => RunEnd::Done(content()?),
                "ERROR" => RunEnd::Failed,
                "STOPPED" => RunEnd::Stopped,
                "MOOT" => RunEnd::NotStarted,
                other => return Err(format!("has an unknown end {other:?}")),
            };
            Message::Value { pos: pos()?, uid: uid()?, end }
        }
        "AWAIT" => Message::Await { pos: pos()?, uid: uid()?, content: content()? },
        "TOPS" => {
            let (tag, vouches) = word("echo")?.split_once('-').ok_or("has a malformed echo")?;
            let whole = |text: &str| text.parse().map_err(|_| "has a malformed echo".to_string());
            let Some(JsonValue::Array(meters)) = object.get("meters") else {
                return Err("lacks the list meters".to_string());
            };
            let reading = |value: &JsonValue| value.get::<f64>().copied().filter(|n| n.is_finite());
            let readings = meters.iter().map(reading).collect();
            Message::Gauges { tag: whole(tag)?, vouches: whole(vouches)?, readings }
        }
        "ERROR" => Message::Rejected { command: word("code")?.to_string(), uid: uid().unwrap_or_default() },
        "TRACE" => Message::Remark { pos: pos()? },
        other => return Err(format!("has an unknown action {other:?}")),
    })
}

/// A command whose arrival is unconfirmed.
#[derive(Debug)]
struct SentCommand {
    /// Its number among the commands sent.
    number: u64,
    command: Command,
    /// Whether it was sent over an earlier connection too, so that it may arrive twice.
    resent: bool,
}

/// State of the link that outlasts its connections.
#[derive(Debug, Default)]
struct LinkState {
    /// Position of the last numbered message read.
    pos: u64,
    /// Number of commands sent.
    sent: u64,
    unconfirmed: VecDeque<SentCommand>,
}

impl LinkState {
    fn send(&mut self, command: Command, out: &mut Vec<u8>) {
        self.write(command, false, out);
    }

    /// Sends the unconfirmed commands again.
    fn resend(&mut self, out: &mut Vec<u8>) {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let has_replies = unconfirmed.iter().any(|sent| matches!(sent.command, Command::Resolve { .. }));
        for sent in unconfirmed {
            self.write(sent.command, true, out);
        }
        if has_replies {
            // Separates the calls that a run made before these replies arrived from those it makes after them.
            self.write(CATCH_UP, false, out);
        }
    }

    fn write(&mut self, command: Command, resent: bool, out: &mut Vec<u8>) {
        command.write(out, self.sent);
        if command.uid().is_some() {
            self.sent += 1;
            self.unconfirmed.push_back(SentCommand { number: self.sent, command, resent });
        }
    }

    /// Updates the state and returns the message for the engine, if it is new. Messages repeated after a
    /// reconnect are skipped. A message of a run confirms its earlier commands, which must not be sent again.
    fn accept(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::Value { pos, ref uid, .. } if pos > self.pos => {
                self.advance(pos);
                self.unconfirmed.retain(|sent| sent.command.uid() != Some(uid));
            }
            Message::Await { pos, uid, content } if pos > self.pos => {
                self.advance(pos);
                let is_ambiguous = self.has_resent_reply(&uid);
                // A run that makes a new call has processed all its commands except possibly a stop.
                self.unconfirmed.retain(|sent| {
                    sent.command.uid() != Some(&uid) || matches!(sent.command, Command::Break { .. })
                });
                return Some(if is_ambiguous {
                    Message::AmbiguousReply { pos, uid }
                } else {
                    Message::Await { pos, uid, content }
                });
            }
            Message::Remark { pos } if pos > self.pos => self.advance(pos),
            Message::Value { .. } | Message::Await { .. } | Message::Remark { .. } => return None,
            Message::Gauges { vouches, .. } => {
                while self.unconfirmed.front().is_some_and(|sent| sent.number <= vouches) {
                    self.unconfirmed.pop_front();
                }
            }
            Message::AmbiguousReply { .. } | Message::Banner { .. } | Message::Rejected { .. } => {}
        }
        Some(message)
    }

    /// Whether the reply to the former call of a run was sent again, and its arrival is unconfirmed. If the first
    /// copy had arrived, the run may take the second one for the reply to its present call.
    fn has_resent_reply(&self, uid: &Rc<str>) -> bool {
        self.unconfirmed.iter().any(|sent| {
            sent.resent && sent.command.uid() == Some(uid) && matches!(sent.command, Command::Resolve { .. })
        })
    }

    fn advance(&mut self, pos: u64) {
        if pos > self.pos + 1 {
            log!(ERROR, "interpreter: {} messages were lost", pos - self.pos - 1);
        }
        self.pos = pos;
    }
}

/// Keeps the link to the interpreter, reconnecting when its address changes. Messages go to the engine; the
/// engine's commands come from `commands`. Ends when the engine does.
pub async fn keep_link(
    mut peers: watch::Receiver<Peers>,
    engine: mpsc::Sender<Input>,
    mut commands: mpsc::Receiver<Command>,
) {
    let mut state = LinkState::default();
    let mut known_down = false;
    loop {
        let address = peers.borrow_and_update().interpreter;
        let began = Instant::now();
        let ended = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                known_down = false;
                Link::new(stream, &engine)
                    .exchange(&mut state, &mut commands, until_moved(&mut peers, address))
                    .await
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        };
        if engine.is_closed() || engine.send(Input::LinkDown).await.is_err() {
            return;
        }
        if let Err(e) = ended
            && !known_down
        {
            log!(WARN, "interpreter: no link to {address}: {e}");
            known_down = true;
        }
        if began.elapsed() < RECONNECT_DELAY {
            sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Returns once the interpreter's address has changed.
async fn until_moved(peers: &mut watch::Receiver<Peers>, address: SocketAddr) {
    if peers.wait_for(|peers| peers.interpreter != address).await.is_err() {
        // The address can no longer change.
        std::future::pending().await
    }
}

struct Link<'a> {
    stream: TcpStream,
    engine: &'a mpsc::Sender<Input>,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl<'a> Link<'a> {
    fn new(stream: TcpStream, engine: &'a mpsc::Sender<Input>) -> Link<'a> {
        let _ = stream.set_nodelay(true);
        Link { stream, engine, input: Vec::new(), output: Vec::new() }
    }

    async fn exchange(
        &mut self,
        state: &mut LinkState,
        commands: &mut mpsc::Receiver<Command>,
        moved: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let mut moved = std::pin::pin!(moved);
        // Writing to a Vec cannot fail.
        let _ = writeln!(self.output, r#"{{"action":"CONNECT","pos":{}}}"#, state.pos);
        let mut caught_up = false;
        loop {
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                biased;
                () = &mut moved => return Err(io::Error::other("the interpreter's address has changed")),
                read = reader.read_buf(&mut self.input) => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    let caught_up_now = self.process_input(state).await?;
                    if caught_up_now && !caught_up {
                        caught_up = true;
                        state.resend(&mut self.output);
                        if self.engine.send(Input::LinkUp).await.is_err() {
                            return Ok(());
                        }
                    }
                }
                written = writer.write(&self.output), if !self.output.is_empty() => {
                    self.output.drain(..written?);
                }
                command = commands.recv(), if caught_up && self.output.len() < MAX_LINE_BYTES => {
                    let Some(command) = command else { return Ok(()) };
                    state.send(command, &mut self.output);
                    while self.output.len() < MAX_LINE_BYTES && let Ok(command) = commands.try_recv() {
                        state.send(command, &mut self.output);
                    }
                }
            }
        }
    }

    /// Processes all complete lines; returns whether the link has caught up with the missed messages.
    async fn process_input(&mut self, state: &mut LinkState) -> io::Result<bool> {
        let mut caught_up = false;
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            let line = &rest[..end];
            rest = &rest[end + 1..];
            match read_line(line) {
                Ok(message) => {
                    match &message {
                        // The interpreter rejects all but the greeting until it is up, so the catch-up
                        // request is sent only now. Its answer confirms no commands sent over an earlier
                        // connection.
                        Message::Banner { .. } => CATCH_UP.write(&mut self.output, 0),
                        Message::Gauges { tag: 0, .. } => caught_up = true,
                        // A rejected catch-up request was still answered in order.
                        Message::Rejected { command, .. } if command == "TOP" => caught_up = true,
                        _ => {}
                    }
                    if let Some(message) = state.accept(message)
                        && self.engine.send(Input::Interpreter(message)).await.is_err()
                    {
                        return Ok(caught_up);
                    }
                }
                Err(problem) => log!(WARN, "interpreter: ignored a line that {problem}"),
            }
        }
        if rest.len() > MAX_LINE_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a line is too long"));
        }
        self.input = rest.to_vec();
        Ok(caught_up)
    }
}

#[cfg(test)]
mod tests;
