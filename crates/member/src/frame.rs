//! What members say to each other, as bytes: the version first, then the fleet's name, who speaks, and what is said, in postcard. The
//! frame round it, with its length, is a library's ([`crate::driver`]). Nothing here waits or reads.

use jaspershunt_fleet::client::RenewalAnswer;
use jaspershunt_fleet::disk_rollback::{RolledBack, VoterIncarnation};
use jaspershunt_fleet::parts::PartView;
use jaspershunt_fleet::{Entry, Holder, Outcome};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The version of this protocol. Another one is told by name, and nothing else of it is read.
pub const VERSION: u16 = 1;
/// The longest frame. The largest is a snapshot of the agreed state, whose bounds come to less: 8 MB, and what its parts have.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Who speaks, and what.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name.
    pub fleet: String,
    /// Who speaks, with the incarnation.
    pub from: Holder,
    /// What is said.
    pub message: Message,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A member is here: said first on each connection, and now and then where nothing else is.
    KeepAlive,
    /// A voter says which start of its disk it is, and asks to be welcomed.
    Incarnation(VoterIncarnation),
    /// That start is written down; or its disk is older than what it once promised.
    IncarnationVerdict {
        /// The disk of the one that says so.
        by: u64,
        /// The start.
        incarnation: u64,
        /// What was drawn for it.
        nonce: u64,
        /// Whether it is welcome.
        verdict: Result<(), RolledBack>,
    },
    /// Agreement among voters.
    Raft(RaftMessage),
    /// A member asks whether its leases go on.
    RenewalRequest {
        /// Which question.
        number: u64,
        /// What it would hold, where that has to be said.
        wanted: Option<Vec<String>>,
        /// The disk with which it would vote, or votes.
        disk: Option<u64>,
        /// What its clock on the wall shows, in Unix seconds.
        unix: i64,
        /// The last question whose answer it has had.
        answered: u64,
    },
    /// The one that leads answers.
    Answer(RenewalAnswer),
    /// This voter does not lead.
    NotLeader {
        /// Who does, if that is known.
        leader: Option<String>,
    },
    /// A member has an entry to be agreed.
    Propose {
        /// Which.
        id: u64,
        /// The entry.
        entry: Entry,
    },
    /// What came of it; `None` if that is not known.
    Proposed {
        /// Which.
        id: u64,
        /// What came of it.
        outcome: Option<Outcome>,
    },
    /// A member would see the agreed state.
    QueryState {
        /// Which question.
        id: u64,
    },
    /// The agreed state, as far as this voter has it.
    StateReport {
        /// Which question.
        id: u64,
        /// What is shown.
        report: StateReport,
    },
    /// A member says which epochs of the agreed state's parts it knows. Said with each question, where there are parts.
    KnownEpochs {
        /// The parts, each with the epoch.
        epochs: Vec<(String, u64)>,
    },
    /// The one that leads says what parts show this start, as far as that is new.
    PartViews {
        /// What they show.
        views: Vec<PartView>,
    },
}

/// The agreed state as one voter has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateReport {
    /// The voter.
    pub by: String,
    /// Who leads, as far as it knows.
    pub leader: Option<String>,
    /// Milliseconds since it heard of the one that leads; 0 at that one itself.
    pub age_ms: Option<u64>,
    /// The term.
    pub term: u64,
    /// How many entries it has applied.
    pub applied: u64,
    /// The disks that take part: member, whether it votes, number.
    pub voter_slots: Vec<(String, bool, u64)>,
    /// Milliseconds since each member was heard, where this voter leads.
    pub heard_ms: Vec<(String, u64)>,
    /// The agreed state ([`jaspershunt_fleet::Fleet::save`]).
    pub fleet: Vec<u8>,
    /// Its parts ([`jaspershunt_fleet::parts::ReplicatedState::save_parts`]).
    pub parts: Vec<u8>,
}

/// A message of the library for agreement. Its own form of bytes is never read from the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    /// The disk that it is for.
    pub to: u64,
    /// The disk that says it.
    pub from: u64,
    /// Which start of that disk.
    pub incarnation: u64,
    /// In which term.
    pub term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<LogEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    kind: u8,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its place.
    pub index: u64,
    data: Vec<u8>,
    context: Vec<u8>,
}

/// The agreed state at some place of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The place.
    pub index: u64,
    /// The term of the entry there.
    pub term: u64,
    /// Who takes part there.
    pub membership: Membership,
    /// The state.
    pub data: Vec<u8>,
}

/// Who takes part in agreement, as the library has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Those that vote.
    pub voters: Vec<u64>,
    /// Those that learn.
    pub learners: Vec<u64>,
}

impl From<&eraftpb::ConfState> for Membership {
    fn from(membership: &eraftpb::ConfState) -> Membership {
        Membership { voters: membership.voters.clone(), learners: membership.learners.clone() }
    }
}

impl From<&Membership> for eraftpb::ConfState {
    fn from(membership: &Membership) -> eraftpb::ConfState {
        eraftpb::ConfState::from((membership.voters.clone(), membership.learners.clone()))
    }
}

impl From<&eraftpb::Entry> for LogEntry {
    fn from(entry: &eraftpb::Entry) -> LogEntry {
        LogEntry {
            kind: entry.entry_type as u8,
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<LogEntry> for eraftpb::Entry {
    fn from(entry: LogEntry) -> eraftpb::Entry {
        let mut into = eraftpb::Entry::default();
        into.set_entry_type(match entry.kind {
            1 => eraftpb::EntryType::EntryConfChange,
            2 => eraftpb::EntryType::EntryConfChangeV2,
            _ => eraftpb::EntryType::EntryNormal,
        });
        (into.term, into.index) = (entry.term, entry.index);
        (into.data, into.context) = (entry.data.into(), entry.context.into());
        into
    }
}

impl From<&eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: &eraftpb::Snapshot) -> Snapshot {
        let at = snapshot.get_metadata();
        let membership = at.get_conf_state().into();
        Snapshot { index: at.index, term: at.term, membership, data: snapshot.data.to_vec() }
    }
}

impl From<&Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: &Snapshot) -> eraftpb::Snapshot {
        let mut into = eraftpb::Snapshot::default();
        into.data = snapshot.data.clone().into();
        let at = into.mut_metadata();
        (at.index, at.term) = (snapshot.index, snapshot.term);
        at.set_conf_state((&snapshot.membership).into());
        into
    }
}

/// The kinds of messages that one voter says to another, by their numbers. Others are a process's own, or not used here: some of
/// those the library takes for granted what nobody has checked.
const MESSAGE_KINDS: [eraftpb::MessageType; 9] = {
    use eraftpb::MessageType::*;
    [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
    ]
};

impl RaftMessage {
    /// A message on its way out; `None` for one that is for no other voter.
    pub fn new(message: &eraftpb::Message, incarnation: u64) -> Option<RaftMessage> {
        let kind = MESSAGE_KINDS.iter().position(|kind| *kind == message.msg_type)?;
        let has_snapshot = message.msg_type == eraftpb::MessageType::MsgSnapshot;
        Some(RaftMessage {
            kind: kind as u8,
            to: message.to,
            from: message.from,
            incarnation,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(LogEntry::from).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: has_snapshot.then(|| message.get_snapshot().into()),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// The library's form; `None` if the kind is none.
    pub fn into_raft(self) -> Option<eraftpb::Message> {
        let mut into = eraftpb::Message::default();
        into.set_msg_type(*MESSAGE_KINDS.get(usize::from(self.kind))?);
        (into.to, into.from, into.term) = (self.to, self.from, self.term);
        (into.log_term, into.index) = (self.log_term, self.index);
        into.entries = self.entries.into_iter().map(eraftpb::Entry::from).collect::<Vec<_>>().into();
        (into.commit, into.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            into.set_snapshot(snapshot.into());
        }
        (into.request_snapshot, into.reject, into.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        into.context = self.context.into();
        into.priority = self.priority;
        Some(into)
    }

    /// Up to where a follower that is told this must have written already: more than its disk has means that the disk is older than
    /// what it once promised.
    pub fn min_log_index(&self) -> u64 {
        match MESSAGE_KINDS.get(usize::from(self.kind)) {
            Some(eraftpb::MessageType::MsgHeartbeat) => self.commit,
            _ => 0,
        }
    }

    /// Whether it brings entries of the log.
    pub fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Up to where the one that says this has written, if it says so.
    pub fn persisted_index(&self) -> Option<u64> {
        let kind = MESSAGE_KINDS.get(usize::from(self.kind))?;
        (*kind == eraftpb::MessageType::MsgAppendResponse && !self.reject).then_some(self.index)
    }
}

/// Why bytes are no message to this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Another version.
    Version(u16),
    /// Another fleet.
    Fleet(String),
    /// No message at all.
    Malformed,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DecodeError::Version(version) => write!(f, "it speaks version {version}, this program {VERSION}"),
            DecodeError::Fleet(name) => write!(f, "it belongs to the fleet {name:?}"),
            DecodeError::Malformed => f.write_str("it says what no member says"),
        }
    }
}

/// The message as bytes.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Writing into memory fails for nothing that a message holds.
    postcard::to_stdvec(&(VERSION, envelope)).unwrap_or_default()
}

/// The message of these bytes, to a member of this fleet.
///
/// # Errors
/// They are none.
pub fn decode(bytes: &[u8], fleet: &str) -> Result<Envelope, DecodeError> {
    let (version, rest) = postcard::take_from_bytes::<u16>(bytes).map_err(|_| DecodeError::Malformed)?;
    if version != VERSION {
        return Err(DecodeError::Version(version));
    }
    let (named, _) = postcard::take_from_bytes::<&str>(rest).map_err(|_| DecodeError::Malformed)?;
    if named != fleet {
        return Err(DecodeError::Fleet(named.chars().take(64).collect()));
    }
    let (envelope, rest) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    if rest.is_empty() { Ok(envelope) } else { Err(DecodeError::Malformed) }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn envelope(message: Message) -> Envelope {
        Envelope { fleet: "cordoba".into(), from: Holder::new("n1", 3), message }
    }

    #[test]
    fn what_is_said_comes_back_and_other_fleets_and_versions_are_named() {
        let message = envelope(Message::RenewalRequest {
            number: 5,
            wanted: Some(vec!["task/x".into()]),
            disk: Some(9),
            unix: 7,
            answered: 4,
        });
        let bytes = encode(&message);
        assert_eq!(decode(&bytes, "cordoba"), Ok(message));
        assert_eq!(decode(&bytes, "salta"), Err(DecodeError::Fleet("cordoba".into())));
        let mut other = bytes.clone();
        other[0] = 2;
        assert_eq!(decode(&other, "cordoba"), Err(DecodeError::Version(2)));
        for cut in 0..bytes.len() {
            assert!(decode(&bytes[..cut], "cordoba").is_err(), "{cut}");
        }
        let mut longer = bytes;
        longer.push(0);
        assert_eq!(decode(&longer, "cordoba"), Err(DecodeError::Malformed));
        // A length of what follows that is far beyond it.
        assert_eq!(decode(&[1, 0xff, 0xff, 0xff, 0xff, 0x0f], "cordoba"), Err(DecodeError::Malformed));
    }

    #[test]
    fn messages_of_the_library_come_back_as_they_were() {
        for kind in MESSAGE_KINDS {
            let mut message = eraftpb::Message::default();
            message.set_msg_type(kind);
            (message.to, message.from, message.term, message.index) = (1, 2, 3, 4);
            (message.log_term, message.commit, message.commit_term) = (5, 6, 7);
            (message.reject, message.reject_hint, message.request_snapshot) = (true, 8, 9);
            (message.context, message.priority) = (vec![1, 2].into(), -3);
            let mut entry = eraftpb::Entry::default();
            entry.set_entry_type(eraftpb::EntryType::EntryConfChangeV2);
            (entry.term, entry.index, entry.data, entry.context) = (3, 5, vec![7].into(), vec![8, 9].into());
            message.entries = vec![entry].into();
            if kind == eraftpb::MessageType::MsgSnapshot {
                let membership = Membership { voters: vec![1, 2], learners: vec![3] };
                message.set_snapshot((&Snapshot { index: 4, term: 3, membership, data: vec![4, 5] }).into());
            }
            let sent = RaftMessage::new(&message, 8).unwrap();
            let bytes = encode(&envelope(Message::Raft(sent)));
            let Message::Raft(came) = decode(&bytes, "cordoba").unwrap().message else { panic!("{kind:?}") };
            assert_eq!(came.into_raft().unwrap(), message, "{kind:?}");
        }
        // A process's own affairs are said to nobody, and taken from nobody.
        let mut own = eraftpb::Message::default();
        own.set_msg_type(eraftpb::MessageType::MsgHup);
        assert_eq!(RaftMessage::new(&own, 8), None);
        assert!(RaftMessage { kind: 99, ..RaftMessage::default() }.into_raft().is_none());
    }
}
