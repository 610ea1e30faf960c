//! The link between two processes of one nodo: a Unix socket that carries messages and descriptors.

use super::wire::{self, Message};
use crate::request::{Relay, Reply};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};

/// The most messages that wait to be sent. Room for the whole key table, which is sent in pieces.
pub const MAX_QUEUED_MESSAGES: usize = 8192;
/// Bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;
/// The most descriptors received ahead of their messages. Each message that needs a descriptor carries one.
const MAX_DESCRIPTORS: usize = 64;
/// The longest path that every system accepts for a Unix socket.
const MAX_PATH_BYTES: usize = 100;

/// A message to be sent.
#[derive(Debug)]
pub struct Out {
    /// The message.
    pub message: Message,
    /// The descriptor that is sent with it.
    pub descriptor: Option<OwnedFd>,
    /// Notified once the message has been sent.
    pub sent: Option<oneshot::Sender<()>>,
}

impl From<Message> for Out {
    fn from(message: Message) -> Out {
        Out { message, descriptor: None, sent: None }
    }
}

impl Relay for mpsc::Sender<Out> {
    fn reply(&self, ticket: u64, reply: Reply) {
        // An error means that the other process has ended, so no reply is needed.
        let _ = self.try_send(Message::Reply { ticket, reply: reply.into() }.into());
    }
}

/// The sending half of a link.
pub struct Writer {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
}

/// The receiving half of a link.
pub struct Reader {
    stream: Rc<UnixStream>,
    input: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

/// Splits a link into its two halves.
pub fn ends(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    let reader = Reader { stream: stream.clone(), input: Vec::new(), descriptors: VecDeque::new() };
    (reader, Writer { stream, buffer: Vec::new() })
}

impl Writer {
    /// Sends one whole message, with its descriptor if there is one.
    ///
    /// # Errors
    /// Fails if the link is broken or the message is longer than [`wire::MAX_MESSAGE_BYTES`].
    pub async fn send(&mut self, message: &Message, descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        self.buffer.clear();
        if !wire::write(message, &mut self.buffer) {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "the message is too long"));
        }
        let mut rest = &self.buffer[..];
        let mut descriptor = descriptor;
        while !rest.is_empty() {
            let sent = self
                .stream
                .async_io(Interest::WRITABLE, || send_bytes(&self.stream, rest, descriptor))
                .await?;
            rest = &rest[sent..];
            // The descriptor was sent with the first bytes.
            descriptor = None;
        }
        Ok(())
    }

    /// Sends all messages of a queue, until the queue is closed.
    ///
    /// # Errors
    /// Fails if the link is broken.
    pub async fn send_all(mut self, mut messages: mpsc::Receiver<Out>) -> io::Result<()> {
        while let Some(Out { message, descriptor, sent }) = messages.recv().await {
            self.send(&message, descriptor.as_ref().map(AsFd::as_fd)).await?;
            if let Some(sent) = sent {
                // An error means that the receiver is gone.
                let _ = sent.send(());
            }
        }
        Ok(())
    }
}

impl Reader {
    /// Reads the next message, with its descriptor if it has one.
    ///
    /// # Errors
    /// Fails if the link is broken or the bytes are not a valid message.
    pub async fn next(&mut self) -> io::Result<(Message, Option<OwnedFd>)> {
        loop {
            let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
            if let Some(message) = wire::next(&mut self.input).map_err(|_| bad("invalid message"))? {
                let carries = matches!(
                    message,
                    Message::Welcome { .. }
                        | Message::Connection { .. }
                        | Message::Yours { .. }
                        | Message::Yield { .. }
                        | Message::Listener
                );
                let descriptor = if carries { self.descriptors.pop_front() } else { None };
                if carries && descriptor.is_none() {
                    return Err(bad("a message arrived without its descriptor"));
                }
                return Ok((message, descriptor));
            }
            let (stream, descriptors) = (&self.stream, &mut self.descriptors);
            let mut chunk = [0; CHUNK_BYTES];
            let n = stream
                .async_io(Interest::READABLE, || receive_bytes(stream, &mut chunk, descriptors))
                .await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.descriptors.len() > MAX_DESCRIPTORS {
                return Err(bad("too many descriptors arrived without messages"));
            }
            self.input.extend(&chunk[..n]);
        }
    }
}

fn send_bytes(stream: &UnixStream, bytes: &[u8], descriptor: Option<BorrowedFd<'_>>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = descriptor.map(|fd| [fd]);
    if let Some(descriptors) = &descriptors
        && !control.push(SendAncillaryMessage::ScmRights(descriptors))
    {
        return Err(io::Error::other("no room for a descriptor"));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(sent)
}

fn receive_bytes(
    stream: &UnixStream,
    chunk: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(chunk)];
    let got = rustix::net::recvmsg(stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(came) = message {
            descriptors.extend(came);
        }
    }
    Ok(got.bytes)
}

/// The folder and names of the socket and other files of a nodo.
#[derive(Clone, Debug)]
pub struct Place {
    folder: PathBuf,
    file: String,
    /// Makes names of this process's files unique, also when process ids repeat.
    mark: String,
}

impl Place {
    /// Creates the place for the nodo of this name in the given folder.
    pub fn new(folder: &Path, name: &str) -> Place {
        let born = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let mark = format!("{}-{:x}", std::process::id(), born.as_nanos());
        Place { folder: folder.to_path_buf(), file: format!("jaspershunt-{name}.sock"), mark }
    }

    /// Returns the folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the name of another file of this nodo.
    pub fn name_of(&self, what: &str) -> String {
        format!("{}.{what}", self.file.trim_end_matches(".sock"))
    }

    /// Returns the path of another file of this nodo.
    pub fn path(&self, what: &str) -> PathBuf {
        self.folder.join(self.name_of(what))
    }

    /// Returns the path of a file of this process alone.
    pub fn file_of_this_process(&self, what: &str) -> PathBuf {
        self.path(&format!("{what}.{}", self.mark))
    }

    /// Calls `act` with a path to a file in the folder that is short enough for a socket; if the folder's own
    /// path is too long, the path goes through a descriptor of the folder.
    fn with_short_path<T>(&self, file: &str, act: impl FnOnce(&Path) -> io::Result<T>) -> io::Result<T> {
        let path = self.folder.join(file);
        if path.as_os_str().len() <= MAX_PATH_BYTES {
            return act(&path);
        }
        let folder = std::fs::File::open(&self.folder)?;
        let short = format!("/proc/self/fd/{}/{file}", std::os::fd::AsRawFd::as_raw_fd(&folder));
        act(Path::new(&short))
    }

    /// Creates a listener that replaces any earlier one.
    ///
    /// # Errors
    /// Fails if the folder cannot be written.
    pub fn listen(&self) -> io::Result<UnixListener> {
        // Renamed over the old socket, so that the path always has a listener.
        let fresh = format!("{}.{}", self.file, self.mark);
        let _ = std::fs::remove_file(self.folder.join(&fresh));
        let listener = self.with_short_path(&fresh, |path| UnixListener::bind(path))?;
        std::fs::rename(self.folder.join(&fresh), self.folder.join(&self.file))?;
        Ok(listener)
    }

    /// Connects to the process that listens; `None` if none does, even if an ended process left its socket
    /// file.
    ///
    /// # Errors
    /// Fails on any other error of the connection.
    pub async fn connect(&self) -> io::Result<Option<UnixStream>> {
        let stream = self.with_short_path(&self.file, |path| std::os::unix::net::UnixStream::connect(path));
        match stream {
            Ok(stream) => {
                stream.set_nonblocking(true)?;
                UnixStream::from_std(stream).map(Some)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
                Ok(None)
            }
            Err(e) => Err(e),
        }
    }
}
