//! Records what the module is told and asks for, where the operator's file wants it. The engine hands pieces over and never
//! waits; a thread of its own makes blocks of them, keeps the last ones and writes files. What is decided of all that is in
//! `jaspershunt-capture`: [`Tap`] on this side, [`Sink`] on that.

use crate::log;
use jaspershunt::{Action, Event};
use jaspershunt_capture::record::{AuxiliaryStates, AuxiliarySteps, Header, Round};
use jaspershunt_capture::recorder::Limits;
use jaspershunt_capture::sink::{Bounds, Sink, Storage, WriteOutcome};
use jaspershunt_capture::tap::{Message, Reason, RefusalSpikeDetector, Tap};
use jaspershunt_operator::Capture as Wanted;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// Pieces are handed over so many at a time: each time wakes the thread, which costs the engine more than what it copies.
const BATCH: usize = 64;
/// Batches that wait for the thread. Their bytes have a bound of their own.
const BATCHES: usize = 1024;
/// The part of the capture's memory that waits for the thread, at most; the ring has the rest.
const WAITING_PART: usize = 4;
/// While the nodo is pressed for memory the ring keeps this part of its bound.
const PRESSED_PART: usize = 8;

/// A capture under way.
pub struct Capture {
    /// `None` once it has ended.
    to: Option<SyncSender<Vec<Message>>>,
    batch: Vec<Message>,
    waiting: Arc<AtomicUsize>,
    most_waiting: usize,
    ring: usize,
    tap: Tap,
    jump: RefusalSpikeDetector,
    /// The round that is under way is handed over when it is made.
    open: bool,
    pressed: bool,
    /// All is written, what is kept at the end too.
    all: bool,
    thread: Option<JoinHandle<()>>,
}

impl Capture {
    /// Begins to record.
    ///
    /// # Errors
    /// The folder cannot be written, or the thread not be started.
    pub fn start(wanted: &Wanted, head: Header) -> io::Result<Capture> {
        let folder = Folder(PathBuf::from(&wanted.folder));
        fs::create_dir_all(&folder.0)?;
        folder.sweep()?;
        // The cast loses nothing: the size is checked against the memory limit.
        let bytes = wanted.ring.0 as usize;
        let most_waiting = bytes / WAITING_PART;
        let ring = bytes - most_waiting;
        let bounds = Bounds { ring_bytes: ring, max_files: wanted.files, write_all: wanted.all };
        let every = wanted.snapshot.0.as_secs_f64();
        let limits = Limits { snapshot_every: every, ..Limits::default() };
        let sink = Sink::new(head, limits, bounds, folder);
        let (to, pieces) = sync_channel(BATCHES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let counted = waiting.clone();
        let thread = std::thread::Builder::new()
            .name("capture".to_string())
            .spawn(move || gather(sink, &pieces, &counted))?;
        Ok(Capture {
            to: Some(to),
            batch: Vec::new(),
            waiting,
            most_waiting,
            ring,
            tap: Tap::new(every),
            jump: RefusalSpikeDetector::new(wanted.refusals.0),
            open: false,
            pressed: false,
            all: wanted.all,
            thread: Some(thread),
        })
    }

    /// The engine begins to take things in; `states` are the states as they stand.
    pub fn begin(&mut self, now: f64, states: impl FnOnce() -> (Vec<u8>, AuxiliaryStates)) {
        let Capture { batch, waiting, most_waiting, tap, .. } = self;
        let states = || {
            let (module, sides) = states();
            (module, Some(sides))
        };
        self.open = tap.begin(now, states, |piece| put(batch, waiting, *most_waiting, piece));
    }

    /// A round was made.
    pub fn round(
        &mut self,
        now: f64,
        names: Vec<(jaspershunt::RequestId, String)>,
        events: Vec<Event>,
        actions: &[Action],
    ) {
        let jumped = self.jump.round(now, &events, actions);
        let number = self.tap.number();
        let piece = Message::Round(Round { number, now, names, events, actions: actions.to_vec() });
        self.offer(piece);
        if jumped {
            self.write_out(Reason::Refusals);
        }
    }

    /// What was asked beside the module, since the engine began to take things in.
    pub fn sides(&mut self, sides: AuxiliarySteps) {
        if !sides.keys.is_empty() || !sides.dependencies.is_empty() {
            self.offer(Message::AuxiliarySteps(sides.encode()));
        }
    }

    /// Hands over what stands on what came before it; behind a hole nothing does until the state has gone along again.
    fn offer(&mut self, piece: Message) {
        if !self.open || !put(&mut self.batch, &self.waiting, self.most_waiting, piece) {
            self.tap.missed();
            self.open = false;
        }
        if self.batch.len() >= BATCH {
            self.hand_over();
        }
    }

    /// Hands over what has gathered. Where even that finds no room, all of it is missing.
    fn hand_over(&mut self) {
        let batch = std::mem::take(&mut self.batch);
        if batch.is_empty() {
            return;
        }
        let lost = match &self.to {
            Some(to) => to.try_send(batch).err().map(|e| match e {
                TrySendError::Full(batch) | TrySendError::Disconnected(batch) => batch,
            }),
            None => Some(batch),
        };
        for piece in lost.into_iter().flatten() {
            self.waiting.fetch_sub(piece.memory_bytes(), Ordering::Relaxed);
            match piece {
                Message::Missed(rounds) => (0..rounds).for_each(|_| self.tap.missed()),
                Message::Round(_) | Message::AuxiliarySteps(_) => self.tap.missed(),
                _ => {}
            }
            self.open = false;
        }
    }

    /// Has what is kept written out.
    pub fn write_out(&mut self, reason: Reason) {
        if put(&mut self.batch, &self.waiting, self.most_waiting, Message::WriteOut(reason)) {
            self.hand_over();
        } else {
            log!(WARN, "capture: too much waits; nothing is written out");
        }
    }

    /// Keeps less while the nodo is pressed for memory, and as much as it may when it is not.
    pub fn press(&mut self, pressed: bool) {
        if pressed != self.pressed {
            let most = if pressed { self.ring / PRESSED_PART } else { self.ring };
            if put(&mut self.batch, &self.waiting, self.most_waiting, Message::SetRingBytes(most)) {
                self.pressed = pressed;
                self.hand_over();
            }
        }
    }
}

impl Drop for Capture {
    /// Waits until all that was handed over is taken in, and what was asked for is written.
    fn drop(&mut self) {
        if self.all {
            self.write_out(Reason::End);
        }
        self.hand_over();
        self.to = None;
        if let Some(thread) = self.thread.take() {
            // An error means that it panicked, which it has told of itself.
            let _ = thread.join();
        }
    }
}

/// Puts a piece to those that are handed over next, if there is room for it on the way.
fn put(batch: &mut Vec<Message>, waiting: &AtomicUsize, most: usize, piece: Message) -> bool {
    let weight = piece.memory_bytes();
    // Only this side adds, so that what it reads is never too low.
    if waiting.load(Ordering::Relaxed) + weight > most {
        return false;
    }
    waiting.fetch_add(weight, Ordering::Relaxed);
    batch.push(piece);
    true
}

fn gather(mut sink: Sink<Folder>, pieces: &Receiver<Vec<Message>>, waiting: &AtomicUsize) {
    while let Ok(batch) = pieces.recv() {
        for piece in batch {
            let weight = piece.memory_bytes();
            match sink.take(piece) {
                Some(WriteOutcome::Written(name)) => log!("capture: {name} was written"),
                Some(WriteOutcome::Failed(why)) => log!(WARN, "capture: {why}"),
                None => {}
            }
            waiting.fetch_sub(weight, Ordering::Relaxed);
        }
    }
}

/// A folder of the file system.
struct Folder(PathBuf);

/// What the name of a file ends with while it is written.
const HALF: &str = ".half";

impl Folder {
    /// Removes what a process that died left half-written.
    fn sweep(&self) -> io::Result<()> {
        for entry in fs::read_dir(&self.0)? {
            let path = entry?.path();
            if path.to_string_lossy().ends_with(&format!("{}{HALF}", jaspershunt_capture::sink::ENDING)) {
                fs::remove_file(path)?;
            }
        }
        Ok(())
    }

    fn put(&self, half: &Path, parts: &[&[u8]]) -> io::Result<()> {
        let mut file = File::create(half)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()
    }
}

impl Storage for Folder {
    fn write(&mut self, name: &str, parts: &[&[u8]]) -> io::Result<()> {
        let half = self.0.join(format!("{name}{HALF}"));
        let written = self.put(&half, parts).and_then(|()| fs::rename(&half, self.0.join(name)));
        if written.is_err() {
            // Nothing is left of what was not written whole; where even that fails, the next start sweeps.
            let _ = fs::remove_file(&half);
        }
        written
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        fs::read_dir(&self.0)?.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }
}
