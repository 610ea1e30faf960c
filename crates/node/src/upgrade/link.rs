//! The link between two processes that are one nodo: a Unix socket, over which messages and descriptors travel.

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

/// Messages that wait to be sent. The table of keys goes in pieces, so that all of it fits.
pub const QUEUE: usize = 8192;
/// Read at once.
const CHUNK: usize = 16 * 1024;
/// Descriptors that came and whose message has not: one travels beside each message that names one.
const MAX_DESCRIPTORS: usize = 64;
/// The longest path that a Unix socket can have, on any system.
const MAX_PATH: usize = 100;

/// A message on its way out.
#[derive(Debug)]
pub struct Out {
    /// The message.
    pub message: Message,
    /// What travels beside it.
    pub beside: Option<OwnedFd>,
    /// Told once it has left this process.
    pub left: Option<oneshot::Sender<()>>,
}

impl From<Message> for Out {
    fn from(message: Message) -> Out {
        Out { message, beside: None, left: None }
    }
}

impl Relay for mpsc::Sender<Out> {
    fn reply(&self, ticket: u64, reply: Reply) {
        // An error means that the other process has ended: nobody waits.
        let _ = self.try_send(Message::Reply { ticket, reply: reply.into() }.into());
    }
}

/// The end of a link that sends.
pub struct Writer {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
}

/// The end that receives.
pub struct Reader {
    stream: Rc<UnixStream>,
    input: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
}

/// Both ends of a link.
pub fn ends(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    let reader = Reader { stream: stream.clone(), input: Vec::new(), descriptors: VecDeque::new() };
    (reader, Writer { stream, buffer: Vec::new() })
}

impl Writer {
    /// Sends one message whole, with what travels beside it.
    ///
    /// # Errors
    /// The link is broken, or the message is over its length.
    pub async fn send(&mut self, message: &Message, beside: Option<BorrowedFd<'_>>) -> io::Result<()> {
        self.buffer.clear();
        if !wire::write(message, &mut self.buffer) {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "a message is over its length"));
        }
        let mut rest = &self.buffer[..];
        let mut beside = beside;
        while !rest.is_empty() {
            let sent = self.stream.async_io(Interest::WRITABLE, || put(&self.stream, rest, beside)).await?;
            rest = &rest[sent..];
            // It went with the first bytes.
            beside = None;
        }
        Ok(())
    }

    /// Sends all that comes, until nothing more can.
    ///
    /// # Errors
    /// The link is broken.
    pub async fn send_all(mut self, mut messages: mpsc::Receiver<Out>) -> io::Result<()> {
        while let Some(Out { message, beside, left }) = messages.recv().await {
            self.send(&message, beside.as_ref().map(AsFd::as_fd)).await?;
            if let Some(left) = left {
                // An error means that nobody waits for it.
                let _ = left.send(());
            }
        }
        Ok(())
    }
}

impl Reader {
    /// The next message, with what travelled beside it.
    ///
    /// # Errors
    /// The link is broken, or what came is no message.
    pub async fn next(&mut self) -> io::Result<(Message, Option<OwnedFd>)> {
        loop {
            let bad = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what);
            if let Some(message) = wire::next(&mut self.input).map_err(|_| bad("what came is no message"))? {
                let carries = matches!(
                    message,
                    Message::Welcome { .. }
                        | Message::Connection { .. }
                        | Message::Yours { .. }
                        | Message::Yield { .. }
                        | Message::Listener
                );
                let beside = if carries { self.descriptors.pop_front() } else { None };
                if carries && beside.is_none() {
                    return Err(bad("a message came without its descriptor"));
                }
                return Ok((message, beside));
            }
            let (stream, descriptors) = (&self.stream, &mut self.descriptors);
            let mut chunk = [0; CHUNK];
            let n = stream.async_io(Interest::READABLE, || take(stream, &mut chunk, descriptors)).await?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.descriptors.len() > MAX_DESCRIPTORS {
                return Err(bad("too many descriptors came"));
            }
            self.input.extend(&chunk[..n]);
        }
    }
}

fn put(stream: &UnixStream, bytes: &[u8], beside: Option<BorrowedFd<'_>>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = beside.map(|fd| [fd]);
    if let Some(descriptors) = &descriptors
        && !control.push(SendAncillaryMessage::ScmRights(descriptors))
    {
        return Err(io::Error::other("no room for a descriptor"));
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(sent)
}

fn take(stream: &UnixStream, chunk: &mut [u8], descriptors: &mut VecDeque<OwnedFd>) -> io::Result<usize> {
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

/// Where the socket of a nodo lies.
#[derive(Clone, Debug)]
pub struct Place {
    folder: PathBuf,
    file: String,
    /// Tells files of this process from those of all others, also where process ids repeat.
    mark: String,
}

impl Place {
    /// In this folder, for the nodo of this name.
    pub fn new(folder: &Path, name: &str) -> Place {
        let born = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let mark = format!("{}-{:x}", std::process::id(), born.as_nanos());
        Place { folder: folder.to_path_buf(), file: format!("jaspershunt-{name}.sock"), mark }
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The name of another file of this nodo.
    pub fn name_of(&self, what: &str) -> String {
        format!("{}.{what}", self.file.trim_end_matches(".sock"))
    }

    /// Another file of this nodo.
    pub fn path(&self, what: &str) -> PathBuf {
        self.folder.join(self.name_of(what))
    }

    /// Another file, of this process alone.
    pub fn file_of_this_process(&self, what: &str) -> PathBuf {
        self.path(&format!("{what}.{}", self.mark))
    }

    /// Does something with a path to a file in the folder that is short enough for a socket: where the folder's is not, by
    /// way of its descriptor.
    fn with<T>(&self, file: &str, act: impl FnOnce(&Path) -> io::Result<T>) -> io::Result<T> {
        let path = self.folder.join(file);
        if path.as_os_str().len() <= MAX_PATH {
            return act(&path);
        }
        let folder = std::fs::File::open(&self.folder)?;
        let short = format!("/proc/self/fd/{}/{file}", std::os::fd::AsRawFd::as_raw_fd(&folder));
        act(Path::new(&short))
    }

    /// A listener in the place of whatever lies there.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn listen(&self) -> io::Result<UnixListener> {
        // Renamed over the old one, so that at any moment something answers there.
        let fresh = format!("{}.{}", self.file, self.mark);
        let _ = std::fs::remove_file(self.folder.join(&fresh));
        let listener = self.with(&fresh, |path| UnixListener::bind(path))?;
        std::fs::rename(self.folder.join(&fresh), self.folder.join(&self.file))?;
        Ok(listener)
    }

    /// A link to the process that listens there; `None` if none does, also where one that has died left its file.
    ///
    /// # Errors
    /// Anything else.
    pub async fn connect(&self) -> io::Result<Option<UnixStream>> {
        let stream = self.with(&self.file, |path| std::os::unix::net::UnixStream::connect(path));
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
