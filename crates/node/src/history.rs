//! The history of this process, if the operator's file configures one: its operations on the replicated state
//! and their results, in the format of `jaspershunt-histories`, for checkers that read it afterwards. Without
//! its block there is no thread and no file.
//!
//! A thread of its own writes. The engine never waits for it: an operation waits for the fleet in a task of
//! its own, and that task first has its `begin` written. It waits for the disk no longer than
//! [`WRITE_TIMEOUT`]; if a line is late or the queue is full, the history is marked as cut short.

use crate::engine::input::ProposalResult;
use crate::log;
use jaspershunt_histories::format::{self, Op, Table, Ticket, Told, Value, Who, WorkEnd, Writer};
use jaspershunt_member::driver::Newest;
use jaspershunt_operator as operator;
use jaspershunt_routes::Outcome as EditOutcome;
use jaspershunt_work::{End, Entry, Outcome, Refusal};
use rustix::time::{ClockId, clock_gettime};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The route table's name in histories.
const ROUTES: &str = "routes";
/// The most lines that wait for the thread.
const MAX_QUEUED_LINES: usize = 1024;
/// The most open operations for which the thread keeps what it needs to end them.
const MAX_OPEN: usize = 4096;
/// How long an operation waits for its line: far longer than a busy machine keeps a thread from running.
/// After that it proceeds, and the history is cut short.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

enum Line {
    Begin { id: u64, at: u64, op: Op, written: oneshot::Sender<()> },
    End { id: u64, at: u64, came: format::Came },
    Note { at: u64, op: Op, told: Told, written: Option<oneshot::Sender<()>> },
}

/// A handle to the writing thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct History {
    to: SyncSender<Line>,
    /// A line was lost.
    cut: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

/// Returns the monotonic clock in nanoseconds, which all histories of a machine share.
fn now() -> u64 {
    let time = clock_gettime(ClockId::Monotonic);
    let (seconds, nanos) = (u64::try_from(time.tv_sec), u64::try_from(time.tv_nsec));
    seconds.unwrap_or_default() * 1_000_000_000 + nanos.unwrap_or_default()
}

impl History {
    /// Creates the file of this process and starts the thread.
    ///
    /// # Errors
    /// Fails if the file cannot be written.
    pub fn start(wanted: &operator::History, process: &str, incarnation: u64) -> io::Result<History> {
        let folder = Path::new(&wanted.folder);
        std::fs::create_dir_all(folder)?;
        let writer = Writer::create(folder, &Who::new(process, incarnation), wanted.bytes.0);
        let writer = writer.map_err(|e| io::Error::other(format!("{}: {e}", folder.display())))?;
        let (to, lines) = sync_channel(MAX_QUEUED_LINES);
        let (cut, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
        let history = History { to, cut: cut.clone(), next: lost };
        std::thread::Builder::new().name("history".to_string()).spawn(move || write(writer, &lines, &cut))?;
        Ok(history)
    }

    fn put(&self, line: Line) -> bool {
        let put = self.to.try_send(line).is_ok();
        if !put {
            self.cut.store(true, Ordering::Relaxed);
        }
        put
    }

    /// Waits until a line has been written, at most [`WRITE_TIMEOUT`].
    async fn until(&self, put: bool, written: oneshot::Receiver<()>) {
        if put && !matches!(timeout(WRITE_TIMEOUT, written).await, Ok(Ok(()))) {
            self.cut.store(true, Ordering::Relaxed);
        }
    }

    /// Records that an entry is about to be proposed. It may be proposed only after this has returned.
    pub async fn begin(&self, entry: &Entry) -> Option<Begun> {
        Some(self.begin_op(operation_of_entry(entry)?).await)
    }

    /// Records that an edit of the route table is about to be proposed, by its team and number.
    pub async fn begin_edit(&self, edit: String) -> Begun {
        self.begin_op(Op::Edit { table: ROUTES.to_string(), edit }).await
    }

    /// Records the result of an edit; `None` if it is unknown.
    pub fn end_edit(&self, Begun { id }: Begun, came: Option<&EditOutcome>) {
        self.put(Line::End { id, at: now(), came: result_of_edit(came) });
    }

    async fn begin_op(&self, op: Op) -> Begun {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (written, seen) = oneshot::channel();
        let put = self.put(Line::Begin { id, at: now(), op, written });
        self.until(put, seen).await;
        Begun { id }
    }

    /// Records the result of an entry. If it begins a run, returns only after that is written.
    pub async fn end(&self, asked: Option<Begun>, entry: &Entry, came: &ProposalResult) {
        let Some(Begun { id }) = asked else { return };
        self.put(Line::End { id, at: now(), came: result_of_entry(entry, came) });
        if let (
            Entry::Offer { offer, begin: true, .. },
            ProposalResult::Committed(Outcome::Yours { token }),
        ) = (entry, came)
        {
            let (written, seen) = oneshot::channel();
            let op = Op::Begun { key: offer.key.clone(), token: *token };
            let put = self.put(Line::Note { at: now(), op, told: Told::Nothing, written: Some(written) });
            self.until(put, seen).await;
        }
    }

    fn note(&self, op: Op, told: Told) {
        self.put(Line::Note { at: now(), op, told, written: None });
    }
}

/// An operation that was begun.
#[derive(Debug)]
pub struct Begun {
    id: u64,
}

/// Converts the result of an edit. An open edit may still have any result, and one whose revision was rolled
/// back had been in that revision.
fn result_of_edit(came: Option<&EditOutcome>) -> format::Came {
    use jaspershunt_routes::{FinalState, merge::RefusalReason};
    match came {
        Some(EditOutcome::Ended(FinalState::Published(revision))) => {
            format::Came::Ok(Told::Revision(*revision))
        }
        Some(EditOutcome::Ended(FinalState::Refused(RefusalReason::RolledBack { .. }))) => {
            format::Came::Unknown
        }
        Some(EditOutcome::Ended(_) | EditOutcome::Refused(_)) => format::Came::Failed,
        _ => format::Came::Unknown,
    }
}

/// Converts an entry; `None` for those that no checker uses.
fn operation_of_entry(entry: &Entry) -> Option<Op> {
    match entry {
        Entry::Offer { offer, .. } => {
            let unix = UNIX_EPOCH.elapsed().map_or(0, |unix| unix.as_millis() as u64);
            // Begun work ends when its window has passed, at the latest.
            let due = now() + offer.window_ends_ms.saturating_sub(unix).saturating_mul(1_000_000);
            Some(Op::Offer { key: offer.key.clone(), due, leaves_effect: false })
        }
        Entry::Begin { key, token, .. } => Some(Op::Begun { key: key.clone(), token: *token }),
        Entry::End { key, .. } => Some(Op::Outcome { key: key.clone() }),
        _ => None,
    }
}

/// Converts the result of an entry.
fn result_of_entry(entry: &Entry, came: &ProposalResult) -> format::Came {
    let token = match entry {
        Entry::End { token, .. } => Some(*token),
        _ => None,
    };
    match (entry, came) {
        (_, ProposalResult::NotSent) => format::Came::Failed,
        (_, ProposalResult::Unknown) => format::Came::Unknown,
        (Entry::Offer { .. }, ProposalResult::ResentRefused(_)) => format::Came::Unknown,
        (_, ProposalResult::ResentRefused(_)) => format::Came::Failed,
        (Entry::Begin { .. }, ProposalResult::Committed(Outcome::Yours { .. })) => {
            format::Came::Ok(Told::Nothing)
        }
        (Entry::Begin { .. }, ProposalResult::Committed(_)) => format::Came::Failed,
        (_, ProposalResult::Committed(Outcome::Yours { .. } | Outcome::Waits)) => {
            format::Came::Ok(Told::Nothing)
        }
        // The offer was refused and may be offered again: this one did not run, and no more is known.
        (Entry::Offer { .. }, ProposalResult::Committed(Outcome::Known(End::NeverRan))) => {
            format::Came::Failed
        }
        (_, ProposalResult::Committed(Outcome::Known(end))) => {
            format::Came::Ok(Told::Work { end: ended(end), token })
        }
        // The entry is committed, but its result is not known.
        (_, ProposalResult::Committed(Outcome::Done)) => format::Came::Unknown,
        (Entry::Offer { .. }, ProposalResult::Committed(Outcome::Refused(Refusal::Dropped))) => {
            format::Came::Unknown
        }
        (_, ProposalResult::Committed(Outcome::Refused(_))) => format::Came::Failed,
    }
}

fn ended(end: &End) -> WorkEnd {
    match end {
        End::Done(result) => WorkEnd::Done(Value::of(result)),
        End::Failed => WorkEnd::Failed,
        End::NeverRan => WorkEnd::NeverRan,
        End::Unknown => WorkEnd::Unknown,
    }
}

/// Records the newest views of the parts of the replicated state.
#[derive(Debug, Default)]
pub struct Shown {
    epochs: BTreeMap<String, u64>,
    /// Keys of the work whose end the last view contained.
    ended: BTreeSet<String>,
}

impl Shown {
    /// Records the views that changed.
    pub fn note(&mut self, newest: &Newest, history: &History) {
        for (part, (epoch, bytes)) in newest {
            if self.epochs.get(part).is_some_and(|before| before == epoch) {
                continue;
            }
            self.epochs.insert(part.clone(), *epoch);
            match part.as_str() {
                jaspershunt_work::part::NAME => self.work(bytes, history),
                jaspershunt_routes::part::NAME => {
                    let Some(seen) = jaspershunt_routes::part::MemberView::from_bytes(bytes) else {
                        continue;
                    };
                    // In the form that operators see.
                    let content = Value::of(serde_json::json!(seen.table).to_string());
                    let table = Table { revision: seen.revision, content, edits: Vec::new() };
                    history.note(Op::SeenTable { table: ROUTES.to_string() }, Told::Table(table));
                }
                jaspershunt_steering::part::NAME => {
                    let table = Table { revision: *epoch, content: Value::of(bytes), edits: Vec::new() };
                    history.note(Op::SeenSteering, Told::Table(table));
                }
                _ => {}
            }
        }
    }

    fn work(&mut self, bytes: &[u8], history: &History) {
        let Some(seen) = jaspershunt_work::MemberView::from_bytes(bytes) else { return };
        let before = std::mem::take(&mut self.ended);
        for heard in seen.ended {
            // Refused work may be offered again, and the view does not tell to which offer this end belongs.
            if heard.end != End::NeverRan && !before.contains(&heard.key) {
                let told = Told::Work { end: ended(&heard.end), token: None };
                history.note(Op::Answered { key: heard.key.clone() }, told);
            }
            self.ended.insert(heard.key);
        }
    }
}

/// Writes the lines of the queue until all handles are dropped.
fn write(mut writer: Writer<File>, lines: &Receiver<Line>, cut: &AtomicBool) {
    let mut open: BTreeMap<u64, Ticket> = BTreeMap::new();
    let mut told = false;
    let mut say = |what: &str, written: Result<(), format::WriteError>| {
        if let (Err(e), false) = (written, std::mem::replace(&mut told, true)) {
            log!(ERROR, "history: {what}: {e}; it can't be judged by what it says");
        }
    };
    while let Ok(line) = lines.recv() {
        match line {
            Line::Begin { id, at, op, written } => match writer.begin(at, op) {
                Ok(ticket) => {
                    open.insert(id, ticket);
                    // An error means that the operation timed out and marked the history as cut short.
                    let _ = written.send(());
                    if open.len() > MAX_OPEN {
                        // The operation stays unknown in the history, which is always correct.
                        open.pop_first();
                    }
                }
                Err(e) => say("a begin is lost", Err(e)),
            },
            Line::End { id, at, came } => {
                if let Some(ticket) = open.remove(&id) {
                    say("an end is lost", writer.end(ticket, at, came));
                }
            }
            Line::Note { at, op, told, written } => {
                let wrote = writer.note(at, op, told);
                if let (true, Some(written)) = (wrote.is_ok(), written) {
                    let _ = written.send(());
                }
                say("a note is lost", wrote);
            }
        }
        if cut.load(Ordering::Relaxed) {
            say("its end", writer.cut(now()));
        }
    }
    if cut.load(Ordering::Relaxed) {
        say("its end", writer.cut(now()));
    }
}

#[cfg(test)]
mod tests;
