//! Messages between members and their encoding: protocol version, fleet name, sender and message, in
//! postcard. The length-delimited frame around it is added by a library ([`crate::driver`]). Does no I/O.

use jaspershunt_fleet::client::RenewalAnswer;
use jaspershunt_fleet::disk_rollback::{RolledBack, VoterIncarnation};
use jaspershunt_fleet::parts::PartView;
use jaspershunt_fleet::{Entry, Holder, Outcome};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The protocol version. Of a message of another version nothing but the version is read.
pub const VERSION: u16 = 1;
/// Maximum size of a frame. The largest message is a snapshot of the replicated state, which is bounded by
/// less: 8 MB and its parts.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The fleet's name.
    pub fleet: String,
    /// The sender and its incarnation.
    pub from: Holder,
    /// The message.
    pub message: Message,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Keep-alive: the first message of each connection, repeated while nothing else is sent.
    KeepAlive,
    /// A voter announces the incarnation of its disk and asks the others to record it.
    Incarnation(VoterIncarnation),
    /// The incarnation is recorded, or the disk was rolled back.
    IncarnationVerdict {
        /// The disk of the voter that answers.
        by: u64,
        /// The incarnation that was announced.
        incarnation: u64,
        /// The random number of that incarnation.
        nonce: u64,
        /// Whether the incarnation is accepted.
        verdict: Result<(), RolledBack>,
    },
    /// A message of Raft.
    Raft(RaftMessage),
    /// A member asks the leader to renew its leases.
    RenewalRequest {
        /// The request's number.
        number: u64,
        /// The leases that the member wants, when they have changed.
        wanted: Option<Vec<String>>,
        /// The disk with which it votes or is to vote.
        disk: Option<u64>,
        /// The sender's wall clock, in Unix seconds.
        unix: i64,
        /// The last request whose answer was received.
        answered: u64,
    },
    /// The leader's answer to a renewal request.
    Answer(RenewalAnswer),
    /// This voter is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<String>,
    },
    /// A member proposes an entry.
    Propose {
        /// The proposal's id.
        id: u64,
        /// The entry.
        entry: Entry,
    },
    /// The outcome of a proposal; `None` if it is unknown.
    Proposed {
        /// The proposal's id.
        id: u64,
        /// The outcome.
        outcome: Option<Outcome>,
    },
    /// A member queries the replicated state.
    QueryState {
        /// The query's id.
        id: u64,
    },
    /// The replicated state as this voter has applied it.
    StateReport {
        /// The query's id.
        id: u64,
        /// The state.
        report: StateReport,
    },
    /// The epochs of the parts' views that a member has. Sent with each renewal request if there are parts.
    KnownEpochs {
        /// The parts and the epochs of their views.
        epochs: Vec<(String, u64)>,
    },
    /// The leader sends the views of parts that are new to this incarnation.
    PartViews {
        /// The views.
        views: Vec<PartView>,
    },
}

/// The replicated state as one voter has applied it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateReport {
    /// The voter.
    pub by: String,
    /// The leader, as far as this voter knows.
    pub leader: Option<String>,
    /// Milliseconds since a message of the leader arrived; 0 at the leader itself.
    pub age_ms: Option<u64>,
    /// The term.
    pub term: u64,
    /// The index of the last applied entry.
    pub applied: u64,
    /// The disks with a voter slot: member, whether it votes, disk id.
    pub voter_slots: Vec<(String, bool, u64)>,
    /// Milliseconds since each member was last heard; empty unless this voter leads.
    pub heard_ms: Vec<(String, u64)>,
    /// The serialized state ([`jaspershunt_fleet::Fleet::save`]).
    pub fleet: Vec<u8>,
    /// The serialized parts ([`jaspershunt_fleet::parts::ReplicatedState::save_parts`]).
    pub parts: Vec<u8>,
}

/// A message of the `raft` library, re-encoded: the library's own encoding is never read from the wire.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    /// The recipient's disk.
    pub to: u64,
    /// The sender's disk.
    pub from: u64,
    /// The incarnation of the sender's disk.
    pub incarnation: u64,
    /// The sender's term.
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
    /// Its index.
    pub index: u64,
    data: Vec<u8>,
    context: Vec<u8>,
}

/// The replicated state at an index of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index.
    pub index: u64,
    /// The term of the entry at that index.
    pub term: u64,
    /// The membership at that index.
    pub membership: Membership,
    /// The serialized state.
    pub data: Vec<u8>,
}

/// The Raft membership, by disk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    /// Voting disks.
    pub voters: Vec<u64>,
    /// Learners.
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

/// The message types that voters exchange, by their number on the wire. All others are local to a process or
/// unused: some of them the library would trust without validation.
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
    /// Converts an outgoing message; `None` if its type is not sent to other voters.
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

    /// Converts to the library's message; `None` if the type number is invalid.
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

    /// The lowest log index that the recipient must have written. A recipient whose log is shorter has a disk
    /// that was rolled back.
    pub fn min_log_index(&self) -> u64 {
        match MESSAGE_KINDS.get(usize::from(self.kind)) {
            Some(eraftpb::MessageType::MsgHeartbeat) => self.commit,
            _ => 0,
        }
    }

    /// Whether the message contains log entries.
    pub fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// The index up to which the sender has written its log, if the message reports one.
    pub fn persisted_index(&self) -> Option<u64> {
        let kind = MESSAGE_KINDS.get(usize::from(self.kind))?;
        (*kind == eraftpb::MessageType::MsgAppendResponse && !self.reject).then_some(self.index)
    }
}

/// Why bytes are not a message to this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Another protocol version.
    Version(u16),
    /// Another fleet.
    Fleet(String),
    /// Not a valid message.
    Malformed,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DecodeError::Version(version) => {
                write!(f, "its protocol version is {version}, this program supports {VERSION}")
            }
            DecodeError::Fleet(name) => write!(f, "it belongs to the fleet {name:?}"),
            DecodeError::Malformed => f.write_str("malformed message"),
        }
    }
}

/// Serializes a message.
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    // Serializing a message into memory does not fail.
    postcard::to_stdvec(&(VERSION, envelope)).unwrap_or_default()
}

/// Parses a message that is addressed to a member of this fleet.
///
/// # Errors
/// The bytes are not such a message.
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
    fn messages_round_trip_and_other_fleets_and_versions_are_named() {
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
        // A length prefix that is far beyond the end of the input.
        assert_eq!(decode(&[1, 0xff, 0xff, 0xff, 0xff, 0x0f], "cordoba"), Err(DecodeError::Malformed));
    }

    #[test]
    fn raft_messages_round_trip() {
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
            let Message::Raft(received) = decode(&bytes, "cordoba").unwrap().message else {
                panic!("{kind:?}")
            };
            assert_eq!(received.into_raft().unwrap(), message, "{kind:?}");
        }
        // Messages local to a process are neither sent nor accepted.
        let mut own = eraftpb::Message::default();
        own.set_msg_type(eraftpb::MessageType::MsgHup);
        assert_eq!(RaftMessage::new(&own, 8), None);
        assert!(RaftMessage { kind: 99, ..RaftMessage::default() }.into_raft().is_none());
    }
}
