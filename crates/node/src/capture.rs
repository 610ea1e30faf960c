//! Records the events and actions of the module, if the operator's file configures it. The engine enqueues
//! pieces and never waits; a thread of its own builds blocks of them, keeps the last ones and writes files.
//! The decisions are made in `jaspershunt-capture`: by [`Tap`] in the engine, by [`Sink`] in the thread.

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

/// Pieces per batch: each batch wakes the thread, which costs the engine more than copying the pieces.
const BATCH_PIECES: usize = 64;
/// The most batches that wait for the thread. Their bytes are limited separately.
const MAX_QUEUED_BATCHES: usize = 1024;
/// The queue gets at most one such part of the capture's memory; the ring has the rest.
const QUEUE_DIVISOR: usize = 4;
/// Under memory pressure the ring is limited to one such part of its size.
const PRESSURE_DIVISOR: usize = 8;

/// A running capture.
pub struct Capture {
    /// `None` once it has ended.
    to: Option<SyncSender<Vec<Message>>>,
    batch: Vec<Message>,
    waiting: Arc<AtomicUsize>,
    most_waiting: usize,
    ring: usize,
    tap: Tap,
    jump: RefusalSpikeDetector,
    /// The present round is enqueued when it is complete.
    open: bool,
    pressed: bool,
    /// Everything is written, also what the ring contains at the end.
    all: bool,
    thread: Option<JoinHandle<()>>,
}

impl Capture {
    /// Starts recording.
    ///
    /// # Errors
    /// Fails if the folder cannot be written or the thread cannot be started.
    pub fn start(wanted: &Wanted, head: Header) -> io::Result<Capture> {
        let folder = Folder(PathBuf::from(&wanted.folder));
        fs::create_dir_all(&folder.0)?;
        folder.sweep()?;
        // The cast loses nothing: the size is checked against the memory limit.
        let bytes = wanted.ring.0 as usize;
        let most_waiting = bytes / QUEUE_DIVISOR;
        let ring = bytes - most_waiting;
        let bounds = Bounds { ring_bytes: ring, max_files: wanted.files, write_all: wanted.all };
        let every = wanted.snapshot.0.as_secs_f64();
        let limits = Limits { snapshot_every: every, ..Limits::default() };
        let sink = Sink::new(head, limits, bounds, folder);
        let (to, pieces) = sync_channel(MAX_QUEUED_BATCHES);
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

    /// Begins a round of the engine; `states` returns the present states.
    pub fn begin(&mut self, now: f64, states: impl FnOnce() -> (Vec<u8>, AuxiliaryStates)) {
        let Capture { batch, waiting, most_waiting, tap, .. } = self;
        let states = || {
            let (module, sides) = states();
            (module, Some(sides))
        };
        self.open = tap.begin(now, states, |piece| put(batch, waiting, *most_waiting, piece));
    }

    /// Records a complete round.
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

    /// Records the steps beside the module since the round began.
    pub fn sides(&mut self, sides: AuxiliarySteps) {
        if !sides.keys.is_empty() || !sides.dependencies.is_empty() {
            self.offer(Message::AuxiliarySteps(sides.encode()));
        }
    }

    /// Enqueues a piece that depends on those before it; after a gap it is dropped until a state has been
    /// recorded again.
    fn offer(&mut self, piece: Message) {
        if !self.open || !put(&mut self.batch, &self.waiting, self.most_waiting, piece) {
            self.tap.missed();
            self.open = false;
        }
        if self.batch.len() >= BATCH_PIECES {
            self.hand_over();
        }
    }

    /// Sends the batch to the thread. If the queue is full, all its pieces count as missing.
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

    /// Requests that the ring is written to a file.
    pub fn write_out(&mut self, reason: Reason) {
        if put(&mut self.batch, &self.waiting, self.most_waiting, Message::WriteOut(reason)) {
            self.hand_over();
        } else {
            log!(WARN, "capture: the queue is full; nothing is written out");
        }
    }

    /// Shrinks the ring under memory pressure, and restores its size afterwards.
    pub fn press(&mut self, pressed: bool) {
        if pressed != self.pressed {
            let most = if pressed { self.ring / PRESSURE_DIVISOR } else { self.ring };
            if put(&mut self.batch, &self.waiting, self.most_waiting, Message::SetRingBytes(most)) {
                self.pressed = pressed;
                self.hand_over();
            }
        }
    }
}

impl Drop for Capture {
    /// Waits until the thread has processed all batches and written the requested files.
    fn drop(&mut self) {
        if self.all {
            self.write_out(Reason::End);
        }
        self.hand_over();
        self.to = None;
        if let Some(thread) = self.thread.take() {
            // An error means that it panicked, which has been logged.
            let _ = thread.join();
        }
    }
}

/// Adds a piece to the batch, if the limit of queued bytes allows it.
fn put(batch: &mut Vec<Message>, waiting: &AtomicUsize, most: usize, piece: Message) -> bool {
    let weight = piece.memory_bytes();
    // Only this thread adds, so the value read is never too low.
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

/// The suffix of a file that is being written.
const HALF: &str = ".half";

impl Folder {
    /// Removes partial files that a killed process left.
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
            // Removes the partial file; if that fails too, the next process does.
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
