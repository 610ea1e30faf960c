//! A voter: Raft by the `raft` library, the replicated state, and the leader's rules while this voter leads.
//!
//! No message leaves this process before the state it depends on is on disk. A disk that fails or was rolled
//! back ends the voter ([`Fault`]); the member then opens a new one.

use crate::frame::{Membership, Message, RaftMessage, Snapshot, StateReport};
use crate::log::Log;
use crate::member::Recipient;
use crate::store::{Batch, Identity, Store, StoreError, StoredState};
use jaspershunt_fleet::client::RenewalAnswer;
use jaspershunt_fleet::disk_rollback::{
    Admission, MAX_DISKS, RolledBack, VoterIncarnation, VoterIncarnations,
};
use jaspershunt_fleet::leader::{Leader, RenewalRequest};
use jaspershunt_fleet::lease_queue::LeaseQueue;
use jaspershunt_fleet::mutants::{Mutant, is_active};
use jaspershunt_fleet::parts::{self, LoadError, MAX_PARTS, Part};
use jaspershunt_fleet::voter_slots::{Observed, VoterSlot, VoterSlotChange, VoterSlots};
use jaspershunt_fleet::wall_clock::MemberClocks;
use jaspershunt_fleet::{Entry, Fleet, Holder, LeaseTiming, Outcome, Refusal};
use raft::eraftpb::{self, EntryType};
use raft::{Config, ProgressState, RawNode, ReadOnlyOption, SnapshotStatus, StateRole};
use redb::StorageBackend;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Ticks without a leader until the first configured voter starts an election. Each further voter waits
/// [`ELECTION_STEP_TICKS`] longer, so that no two start at once. The library's random timeout is overridden
/// to make every run deterministic.
const ELECTION_TICKS: usize = 10;
/// See [`ELECTION_TICKS`].
const ELECTION_STEP_TICKS: usize = 3;
/// Ticks between two heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;
/// Log entries after which a new snapshot is taken.
const MAX_LOG_ENTRIES: usize = 1024;
/// Bytes of entries in one message, unless a single entry is larger.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// Bytes of proposed entries that are not yet committed.
const MAX_UNCOMMITTED_BYTES: u64 = 8 * 1024 * 1024;
/// Messages in flight to a voter that has not answered.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;
/// Members' proposals that are not yet committed.
const MAX_PROPOSALS: usize = 4096;
/// Ticks after which an unanswered confirmation of leadership is requested again.
const CONFIRMATION_TIMEOUT_TICKS: u64 = 20;
/// Ticks between two announcements of this voter's incarnation until it is admitted.
const ANNOUNCE_TICKS: u64 = 3;
/// Ticks between two such announcements after it is admitted.
const ADMITTED_ANNOUNCE_TICKS: u64 = 100;
/// Ticks after which an unacknowledged snapshot counts as lost.
const SNAPSHOT_TIMEOUT_TICKS: u64 = 50;
/// A voter that is at most this many entries behind has caught up.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// Ticks between the leader's two checks of what parts need: a twentieth of a lease's duration.
const PART_PROPOSAL_TICKS: u64 = 5;
/// Entries for parts that the leader proposes at once; the rest follows once these are applied.
pub const MAX_PART_PROPOSALS: usize = 64;
/// Bytes of part views that the leader sends in one tick; the remaining members come first in the next tick.
pub const MAX_VIEW_BYTES_PER_TICK: usize = 2 * 1024 * 1024;

/// Why a voter has ended.
#[derive(Debug)]
pub enum Fault {
    /// Its disk failed: what is on it is unknown until it is opened again.
    Disk(StoreError),
    /// Its disk was rolled back: it must not vote with it again.
    RolledBack(RolledBack),
}

impl From<StoreError> for Fault {
    fn from(e: StoreError) -> Fault {
        Fault::Disk(e)
    }
}

/// The replicated state with its voter slots.
#[derive(Debug, Default)]
pub struct VoterState {
    state: parts::ReplicatedState,
    voter_slots: VoterSlots,
}

/// The part of the serialized state that every program version knows. Parts follow it, if there are any.
#[derive(Serialize, Deserialize)]
struct FleetState {
    fleet: Fleet,
    voter_slots: VoterSlots,
}

impl VoterState {
    /// The initial state of a fleet, with one voter.
    pub fn founded(disk: u64, member: &str) -> VoterState {
        let slot = VoterSlot { member: member.to_string(), votes: true };
        VoterState { voter_slots: VoterSlots { disks: [(disk, slot)].into() }, ..VoterState::default() }
    }

    /// Serializes the state deterministically.
    pub fn save(&self) -> Vec<u8> {
        // Serializing these types into memory does not fail.
        let mut bytes = postcard::to_stdvec(&(&self.state.fleet, &self.voter_slots)).unwrap_or_default();
        bytes.extend(self.state.save_parts());
        bytes
    }

    /// Members, leases, tasks and parts.
    pub fn state(&self) -> &parts::ReplicatedState {
        &self.state
    }

    /// Restores the state. `parts` are empty and are filled from it.
    ///
    /// # Errors
    /// The bytes are malformed, or a part in them is outdated.
    pub fn load(bytes: &[u8], parts: Vec<Box<dyn Part>>) -> Result<VoterState, StoreError> {
        if bytes.is_empty() {
            return Ok(VoterState { state: parts::ReplicatedState::new(parts), ..VoterState::default() });
        }
        let malformed = || StoreError::Disk("the replicated state is malformed".to_string());
        let (core, rest): (FleetState, _) = postcard::take_from_bytes(bytes).map_err(|_| malformed())?;
        // `Fleet::load` also validates the state.
        let fleet = Fleet::load(&core.fleet.save()).ok_or_else(malformed)?;
        let state = parts::ReplicatedState::load_parts(fleet, rest, parts).map_err(|why| match why {
            LoadError::Corrupt => malformed(),
            LoadError::Outdated(part) => StoreError::PartOutdated(part),
        })?;
        Ok(VoterState { state, voter_slots: core.voter_slots })
    }
}

/// The configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterSetup {
    /// The fleet's name.
    pub fleet: String,
    /// The members that are to vote, in the order of the file.
    pub configured_voters: Vec<String>,
    /// How long leases last.
    pub timing: LeaseTiming,
    /// The duration of a tick.
    pub tick: Duration,
    /// Creates the empty parts of the replicated state.
    pub parts: fn() -> Vec<Box<dyn Part>>,
    /// What the leader proposes for parts: see [`crate::Setup`].
    pub part_proposals: crate::member::PartProposals,
}

/// The state of a leader.
struct Leadership {
    leader: Leader,
    lease_queue: LeaseQueue,
    clocks: MemberClocks,
    /// The disk that each member last reported, and when.
    disks: BTreeMap<String, (u64, Duration)>,
    /// The pending confirmation of leadership, and the tick at which it was requested.
    pending_read: Option<(u64, u64)>,
    /// Leadership is confirmed once this index is applied.
    read_index: Option<u64>,
    /// Disks to which a snapshot is being sent, and since which tick.
    snapshots: BTreeMap<u64, u64>,
    /// The epochs of the views that each incarnation has or was sent.
    known_epochs: BTreeMap<Holder, BTreeMap<String, u64>>,
    /// Whether an incarnation may lack the newest views.
    views_pending: bool,
    /// The last incarnation that was sent views; the next tick continues after it.
    last_view_recipient: Option<Holder>,
    /// The index of the last entry that was proposed for parts.
    last_part_index: u64,
}

/// A voter.
pub struct Voter {
    node: RawNode<Log>,
    store: Store,
    setup: VoterSetup,
    me: Holder,
    identity: Identity,
    state: VoterState,
    membership: Membership,
    applied: (u64, u64),
    incarnations: VoterIncarnations,
    admission: Admission,
    leadership: Option<Leadership>,
    /// Who made each pending proposal, and under which id.
    proposals: BTreeMap<u64, (Holder, u64)>,
    last_number: u64,
    ticks: u64,
    next_tick: Duration,
    leader_heard_at: Option<Duration>,
    /// The membership has changed and is not on disk yet.
    membership_changed: bool,
    /// The members of disks that sent a message: a learner without voter slots yet has to answer them.
    disk_members: BTreeMap<u64, String>,
    /// Index, term and digest of what was applied, for tests that compare voters.
    trace: Option<Vec<(u64, u64, u64)>>,
    outbox: Vec<(Recipient, Message)>,
}

impl Voter {
    /// Opens the voter on this disk.
    ///
    /// # Errors
    /// The disk cannot be used.
    pub fn open(
        backend: Box<dyn StorageBackend>,
        setup: VoterSetup,
        me: Holder,
        random: [u64; 2],
        now: Duration,
    ) -> Result<Voter, StoreError> {
        let (store, found) = Store::open(backend, &setup.fleet, &me.member, random)?;
        let StoredState { identity, hard, snapshot, entries, incarnations, .. } = found;
        let state = VoterState::load(&snapshot.data, (setup.parts)())?;
        let applied = (snapshot.term, snapshot.index);
        let membership = snapshot.membership.clone();
        let rank = setup
            .configured_voters
            .iter()
            .position(|name| *name == me.member)
            .unwrap_or(setup.configured_voters.len());
        let election = ELECTION_TICKS + ELECTION_STEP_TICKS * rank;
        let config = Config {
            id: identity.disk,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: snapshot.index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            min_election_tick: election,
            max_election_tick: election + 1,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, Log::new(hard, snapshot, entries), &quiet)
            .map_err(|e| StoreError::Disk(e.to_string()))?;
        Ok(Voter {
            node,
            store,
            setup,
            me,
            identity,
            state,
            membership,
            applied,
            incarnations: VoterIncarnations::new(incarnations),
            admission: Admission::default(),
            leadership: None,
            proposals: BTreeMap::new(),
            last_number: 0,
            ticks: 0,
            next_tick: now,
            leader_heard_at: None,
            membership_changed: false,
            disk_members: BTreeMap::new(),
            trace: None,
            outbox: Vec::new(),
        })
    }

    /// The id of its disk.
    pub fn disk(&self) -> u64 {
        self.identity.disk
    }

    /// The fleet's state as applied here.
    pub fn fleet(&self) -> &Fleet {
        &self.state.state.fleet
    }

    /// The replicated state as applied here, with its parts.
    pub fn state(&self) -> &parts::ReplicatedState {
        &self.state.state
    }

    /// The voter slots as applied here.
    pub fn voter_slots(&self) -> &VoterSlots {
        &self.state.voter_slots
    }

    /// Whether this voter is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Starts to record what is applied: index, term and digest of each entry.
    pub fn keep_trace(&mut self) {
        self.trace.get_or_insert_default();
    }

    /// Returns what was applied since the last call.
    pub fn take_trace(&mut self) -> Vec<(u64, u64, u64)> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn incarnation(&self) -> VoterIncarnation {
        let Identity { disk, incarnation, nonce, .. } = self.identity;
        let log = self.node.store();
        VoterIncarnation {
            disk,
            number: incarnation,
            nonce,
            term: log.hard.term,
            last_position: log.position(),
        }
    }

    fn is_admitted(&self) -> bool {
        let voters = self.state.voter_slots.voters();
        self.admission.is_admitted(
            self.identity.disk,
            &voters,
            self.setup.configured_voters.len(),
            self.ticks,
        )
    }

    /// The member that leads, as far as this voter knows.
    pub fn leader(&self) -> Option<&str> {
        self.state.voter_slots.member_of(self.node.raft.leader_id)
    }

    /// Advances time. `unix` is the wall-clock time since 1970.
    ///
    /// # Errors
    /// The voter has ended.
    pub fn tick(&mut self, now: Duration, unix: Duration) -> Result<Vec<(Recipient, Message)>, Fault> {
        if now >= self.next_tick {
            // Ticks missed during a pause of this process are skipped: otherwise the voter would start an
            // election before it has read the queued messages.
            self.next_tick = (self.next_tick + self.setup.tick).max(now);
            self.ticks += 1;
            self.announce_incarnation();
            if self.is_admitted() {
                self.node.tick();
            }
            self.tick_leader(now);
            self.propose_for_parts(now, unix);
            self.send_part_views();
        }
        self.process_ready(now)?;
        Ok(std::mem::take(&mut self.outbox))
    }

    fn announce_incarnation(&mut self) {
        let every = if self.is_admitted() { ADMITTED_ANNOUNCE_TICKS } else { ANNOUNCE_TICKS };
        if self.ticks % every != 1 {
            return;
        }
        let incarnation = self.incarnation();
        for name in self.setup.configured_voters.iter().filter(|name| **name != self.me.member) {
            self.outbox.push((Recipient::Voter(name.clone()), Message::Incarnation(incarnation)));
        }
    }

    /// Handles a message of a member.
    ///
    /// # Errors
    /// The voter has ended.
    pub fn receive(
        &mut self,
        now: Duration,
        from: &Holder,
        message: Message,
    ) -> Result<Vec<(Recipient, Message)>, Fault> {
        match message {
            Message::Incarnation(incarnation) if self.setup.configured_voters.contains(&from.member) => {
                let verdict = self.incarnations.check_incarnation(&incarnation);
                if let Ok(Some(_)) = verdict {
                    let incarnations = Some(self.incarnations.known().clone());
                    self.store.write(&Batch { incarnations, ..Batch::default() })?;
                }
                let (by, verdict) = (self.identity.disk, verdict.map(|_| ()));
                let welcome = Message::IncarnationVerdict {
                    by,
                    incarnation: incarnation.number,
                    nonce: incarnation.nonce,
                    verdict,
                };
                self.outbox.push((Recipient::Holder(from.clone()), welcome));
            }
            Message::IncarnationVerdict { by, incarnation, nonce, verdict }
                if (incarnation, nonce) == (self.identity.incarnation, self.identity.nonce) =>
            {
                verdict.map_err(Fault::RolledBack)?;
                self.admission.acknowledged(by);
            }
            Message::Raft(message) => self.receive_raft(now, from, message)?,
            Message::RenewalRequest { number, wanted, disk, unix, answered } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.clocks.observe(now, &from.member, unix);
                    leadership.leader.acknowledge_answer(now, from, answered);
                }
                self.receive_renewal_request(now, from, number, wanted, disk);
            }
            Message::KnownEpochs { epochs } => {
                if let Some(leadership) = &mut self.leadership {
                    leadership
                        .known_epochs
                        .insert(from.clone(), epochs.into_iter().take(MAX_PARTS).collect());
                    leadership.views_pending = true;
                }
            }
            Message::Propose { id, entry } => self.receive_proposal(from, id, &entry),
            Message::QueryState { id } => {
                let report = self.state_report(now);
                self.outbox.push((Recipient::Holder(from.clone()), Message::StateReport { id, report }));
            }
            _ => {}
        }
        self.process_ready(now)?;
        Ok(std::mem::take(&mut self.outbox))
    }

    fn receive_raft(&mut self, now: Duration, sender: &Holder, message: RaftMessage) -> Result<(), Fault> {
        // Guards against a vote by a voter that may have forgotten an earlier one: see `disk_rollback`.
        if message.to != self.identity.disk || !self.is_admitted() {
            return Ok(());
        }
        // The leader only sends a commit index that this disk has acknowledged.
        if message.min_log_index() > self.node.store().last() {
            return Err(Fault::RolledBack(RolledBack::LongerLog));
        }
        self.disk_members.insert(message.from, sender.member.clone());
        while self.disk_members.len() > MAX_DISKS {
            self.disk_members.pop_first();
        }
        let (from, incarnation, written) = (message.from, message.incarnation, message.persisted_index());
        let Some(message) = message.into_raft() else { return Ok(()) };
        use eraftpb::MessageType::{MsgRequestPreVote, MsgRequestPreVoteResponse};
        if !matches!(message.msg_type, MsgRequestPreVote | MsgRequestPreVoteResponse) {
            self.incarnations.record_term(from, incarnation, message.term);
        }
        if let Some(index) = written
            && self.leadership.is_some()
            && let Ok(term) = raft::Storage::term(self.node.store(), index)
        {
            self.incarnations.record_position(from, incarnation, (term, index));
        }
        // An error means that the sender is no longer in the membership.
        let _ = self.node.step(message);
        if from == self.node.raft.leader_id {
            self.leader_heard_at = Some(now);
        }
        Ok(())
    }

    fn receive_renewal_request(
        &mut self,
        now: Duration,
        from: &Holder,
        number: u64,
        wanted: Option<Vec<String>>,
        disk: Option<u64>,
    ) {
        let Some(leadership) = &mut self.leadership else {
            let leader = self.leader().filter(|name| *name != self.me.member).map(str::to_string);
            return self.outbox.push((Recipient::Holder(from.clone()), Message::NotLeader { leader }));
        };
        if let Some(wanted) = wanted {
            leadership.lease_queue.set_wanted(from, wanted);
        }
        if let Some(disk) = disk {
            leadership.disks.insert(from.member.clone(), (disk, now));
        }
        // If the queue is full, the member repeats the request.
        let _ = leadership.leader.request_renewal(now, RenewalRequest { holder: from.clone(), number });
    }

    fn receive_proposal(&mut self, from: &Holder, id: u64, entry: &Entry) {
        if self.leadership.is_none() {
            let leader = self.leader().filter(|name| *name != self.me.member).map(str::to_string);
            return self.outbox.push((Recipient::Holder(from.clone()), Message::NotLeader { leader }));
        }
        // Guards against log entries that this voter ignores and other voters apply.
        if !self.state.state.knows_part_of(entry) {
            let outcome = Some(Outcome::Refused(Refusal::NotFound));
            return self.outbox.push((Recipient::Holder(from.clone()), Message::Proposed { id, outcome }));
        }
        self.last_number += 1;
        self.proposals.insert(self.last_number, (from.clone(), id));
        if !self.propose(self.last_number, entry) || self.proposals.len() > MAX_PROPOSALS {
            self.finish_proposal(self.last_number, None);
        }
    }

    fn propose(&mut self, number: u64, entry: &Entry) -> bool {
        // Serializing an entry into memory does not fail.
        let data = postcard::to_stdvec(entry).unwrap_or_default();
        let context = postcard::to_stdvec(&(self.identity.nonce, number)).unwrap_or_default();
        self.node.propose(context, data).is_ok()
    }

    fn finish_proposal(&mut self, number: u64, outcome: Option<Outcome>) {
        if let Some((holder, id)) = self.proposals.remove(&number) {
            self.outbox.push((Recipient::Holder(holder), Message::Proposed { id, outcome }));
        }
    }

    fn state_report(&self, now: Duration) -> StateReport {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let fleet = &self.state.state.fleet;
        let heard = |leadership: &Leadership| {
            let members = fleet.members().map(|(name, incarnation)| Holder::new(name, incarnation));
            let ago = |holder: Holder| Some((leadership.leader.heard_ago(now, &holder)?, holder.member));
            members.filter_map(ago).map(|(ago, name)| (name, ms(ago))).collect()
        };
        let voter_slots = self.state.voter_slots.disks.iter();
        StateReport {
            by: self.me.member.clone(),
            leader: self.leader().map(str::to_string),
            age_ms: match (&self.leadership, self.leader_heard_at) {
                (Some(_), _) => Some(0),
                (None, last) => last.map(|last| ms(now.saturating_sub(last))),
            },
            term: self.node.raft.term,
            applied: self.applied.1,
            voter_slots: voter_slots.map(|(disk, slot)| (slot.member.clone(), slot.votes, *disk)).collect(),
            heard_ms: self.leadership.as_ref().map(heard).unwrap_or_default(),
            fleet: fleet.save(),
            parts: self.state.state.save_parts(),
        }
    }

    // The leader.

    /// Runs the leader's periodic work.
    fn tick_leader(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        let state = &self.state.state;
        let fleet = &state.fleet;
        leadership.clocks.forget_silent(now, 2 * self.setup.timing.expiry_wait());
        let mut entries = leadership.leader.tick_with_parts(now, fleet, |holder| state.has_view_for(holder));
        let leader = &leadership.leader;
        entries.extend(leadership.lease_queue.tick(fleet, |holder| !leader.receives_no_answers(now, holder)));
        let mut all = true;
        for entry in entries {
            all &= self.propose(0, &entry);
        }
        if let Some(leadership) = &mut self.leadership
            && !all
        {
            // A lease's expiry that could not be proposed would not be proposed again, so all of the leader's
            // timers are reset.
            leadership.leader = Leader::new(now, self.setup.timing);
            leadership.pending_read = None;
        }
        self.change_voter_slots(now);
        self.expire_snapshots();
        if let Some(leadership) = &mut self.leadership
            && let Some((_, since)) = leadership.pending_read
            && self.ticks - since > CONFIRMATION_TIMEOUT_TICKS
        {
            (leadership.pending_read, leadership.read_index) = (None, None);
            leadership.leader.confirmation_failed();
        }
    }

    /// Proposes what parts need.
    fn propose_for_parts(&mut self, now: Duration, unix: Duration) {
        let Some(leadership) = &self.leadership else { return };
        // Guards against repeating the same proposals while a majority is slow.
        let is_waiting = leadership.last_part_index > self.applied.1;
        if self.state.state.parts.is_empty() || is_waiting || !self.ticks.is_multiple_of(PART_PROPOSAL_TICKS)
        {
            return;
        }
        // Guards against a single clock that jumped and would make all work appear overdue.
        let majority = self.setup.configured_voters.len() / 2 + 1;
        let Some(unix_ms) = leadership.clocks.unix_ms(now, unix, majority) else { return };
        let proposals = (self.setup.part_proposals)(unix_ms, &self.state.state);
        for (part, bytes) in proposals.into_iter().take(MAX_PART_PROPOSALS) {
            // A proposal that is rejected is requested again later.
            self.propose(0, &Entry::Part { part, bytes });
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.last_part_index = self.node.raft.raft_log.last_index();
        }
    }

    /// Sends each incarnation the views of parts that it does not have yet. A lost view is sent again once
    /// the incarnation reports the epochs that it has.
    fn send_part_views(&mut self) {
        let state = &self.state.state;
        let Some(leadership) = &mut self.leadership else { return };
        if !std::mem::take(&mut leadership.views_pending) {
            return;
        }
        leadership.known_epochs.retain(|holder, _| state.fleet.is_present(holder));
        let first = leadership.last_view_recipient.take().map_or(Unbounded, Excluded);
        let in_turn =
            leadership.known_epochs.range((first.clone(), Unbounded)).chain(&leadership.known_epochs);
        let in_turn: Vec<Holder> =
            in_turn.take(leadership.known_epochs.len()).map(|(holder, _)| holder.clone()).collect();
        let mut sent_bytes = 0;
        for holder in in_turn {
            let Some(known_epochs) = leadership.known_epochs.get_mut(&holder) else { continue };
            let views = state.view_for(&holder, known_epochs);
            if views.is_empty() {
                continue;
            }
            // More views may be left for this incarnation.
            leadership.views_pending = true;
            sent_bytes += views.iter().map(|view| view.bytes.len()).sum::<usize>();
            known_epochs.extend(views.iter().map(|view| (view.name.clone(), view.epoch)));
            self.outbox.push((Recipient::Holder(holder.clone()), Message::PartViews { views }));
            if sent_bytes >= MAX_VIEW_BYTES_PER_TICK {
                leadership.last_view_recipient = Some(holder);
                break;
            }
        }
    }

    /// Reports lost snapshots: the library sends nothing more to a disk until it learns what became of the
    /// snapshot.
    fn expire_snapshots(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let under_way: Vec<u64> = (self.node.raft.prs().iter())
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(disk, _)| *disk)
            .collect();
        leadership.snapshots.retain(|disk, _| under_way.contains(disk));
        for disk in under_way {
            let since = *leadership.snapshots.entry(disk).or_insert(self.ticks);
            if self.ticks - since > SNAPSHOT_TIMEOUT_TICKS {
                leadership.snapshots.remove(&disk);
                self.node.report_snapshot(disk, SnapshotStatus::Failure);
            }
        }
    }

    fn change_voter_slots(&mut self, now: Duration) {
        let Some(leadership) = &self.leadership else { return };
        if self.node.raft.has_pending_conf() {
            return;
        }
        let progress = self.node.raft.prs();
        let near = self.node.store().last().saturating_sub(CAUGHT_UP_ENTRIES);
        let caught_up = progress.iter().filter(|(id, progress)| {
            **id == self.identity.disk || progress.recent_active && progress.matched >= near
        });
        let observed = Observed {
            configured: self.setup.configured_voters.iter().cloned().collect(),
            last_heard: (leadership.disks.iter())
                .map(|(name, (disk, heard))| (name.clone(), (*disk, now.saturating_sub(*heard))))
                .collect(),
            caught_up: caught_up.map(|(id, _)| *id).collect(),
            silent_after: self.setup.timing.expiry_wait(),
        };
        if let Some(change) = self.state.voter_slots.next_change(self.identity.disk, &observed) {
            let context = postcard::to_stdvec(&change).unwrap_or_default();
            // An error means that this voter no longer leads.
            let _ = self.node.propose_conf_change(context, conf_change(&change));
        }
    }

    /// Requests confirmation of leadership by a majority if a renewal needs it, and answers renewals that are
    /// confirmed.
    fn confirm_leadership(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.leader.begin_confirmation() {
            self.last_number += 1;
            if Leader::answers_without_majority() {
                leadership.read_index = Some(self.applied.1);
            } else {
                leadership.pending_read = Some((self.last_number, self.ticks));
                self.node.read_index(self.last_number.to_le_bytes().to_vec());
            }
        }
        if leadership.read_index.is_some_and(|index| index <= self.applied.1) {
            (leadership.read_index, leadership.pending_read) = (None, None);
            for answer in leadership.leader.confirmation_succeeded(&self.state.state.fleet) {
                let holder = answer.request.holder;
                let message = RenewalAnswer {
                    number: answer.request.number,
                    leases: answer.leases,
                    enrolled: answer.enrolled,
                    unix: leadership.clocks.unix_seconds(now, self.setup.configured_voters.len() / 2 + 1),
                    send_wanted: !leadership.lease_queue.has_wanted(&holder),
                    view: self.state.state.fleet.view_for(&holder).save(),
                };
                self.outbox.push((Recipient::Holder(holder), Message::Answer(message)));
            }
        }
    }

    // Raft.

    /// Carries out everything that the library requests.
    fn process_ready(&mut self, now: Duration) -> Result<(), Fault> {
        loop {
            self.confirm_leadership(now);
            if self.node.store().wants_fresh() {
                let (term, index) = self.applied;
                let fresh =
                    Snapshot { index, term, membership: self.membership.clone(), data: self.state.save() };
                self.node.mut_store().fresh = Some(fresh);
            }
            if !self.node.has_ready() {
                return Ok(());
            }
            let mut ready = self.node.ready();
            self.send_raft(ready.take_messages());
            if ready.ss().is_some_and(|soft| soft.raft_state != StateRole::Leader) {
                self.step_down();
            }
            for read_state in ready.take_read_states() {
                if let Some(leadership) = &mut self.leadership
                    && leadership
                        .pending_read
                        .is_some_and(|(count, _)| count.to_le_bytes()[..] == read_state.request_ctx[..])
                {
                    leadership.read_index = Some(read_state.index);
                }
            }
            let mut batch = Batch { entries: ready.take_entries(), ..Batch::default() };
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot());
                self.state = VoterState::load(&snapshot.data, (self.setup.parts)())?;
                (self.membership, self.applied) =
                    (snapshot.membership.clone(), (snapshot.term, snapshot.index));
                batch.snapshot = Some((snapshot, true));
            }
            // The commit index need not be on disk: it is learned again.
            batch.hard = ready.hs().filter(|_| ready.must_sync()).cloned();
            if batch.hard.is_some() || batch.snapshot.is_some() || !batch.entries.is_empty() {
                self.store.write(&batch)?;
            }
            let log = self.node.mut_store();
            if let Some((snapshot, _)) = batch.snapshot {
                log.install(snapshot);
            }
            log.append(&batch.entries);
            if let Some(hard) = ready.hs() {
                log.hard = hard.clone();
            }
            // Everything that these messages promise is now on disk.
            self.send_raft(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.apply(now, committed)?;
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().hard.commit = commit;
            }
            self.send_raft(light.take_messages());
            self.apply(now, light.take_committed_entries())?;
            self.node.advance_apply();
            self.trim()?;
        }
    }

    fn send_raft(&mut self, messages: Vec<eraftpb::Message>) {
        for message in messages {
            let member = self.state.voter_slots.member_of(message.to);
            let member = member.or_else(|| self.disk_members.get(&message.to).map(String::as_str));
            if let Some(member) = member
                && let Some(message) = RaftMessage::new(&message, self.identity.incarnation)
            {
                self.outbox.push((Recipient::Voter(member.to_string()), Message::Raft(message)));
            }
        }
    }

    fn step_down(&mut self) {
        if self.leadership.take().is_some() {
            // This voter no longer learns the outcome of pending proposals.
            let numbers: Vec<u64> = self.proposals.keys().copied().collect();
            numbers.into_iter().for_each(|number| self.finish_proposal(number, None));
        }
    }

    fn apply(&mut self, now: Duration, entries: Vec<eraftpb::Entry>) -> Result<(), Fault> {
        for entry in entries {
            if let Some(trace) = &mut self.trace {
                trace.push((entry.index, entry.term, digest(&entry)));
            }
            match entry.entry_type {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_entry(&entry),
                _ => self.apply_membership_change(&entry),
            }
            self.applied = (entry.term, entry.index);
            let is_leader = self.node.raft.state == StateRole::Leader && entry.term == self.node.raft.term;
            if is_leader && self.leadership.is_none() {
                // The first entry of its own term is applied, and with it everything committed earlier.
                self.leadership = Some(Leadership {
                    leader: Leader::new(now, self.setup.timing),
                    lease_queue: LeaseQueue::default(),
                    clocks: MemberClocks::default(),
                    disks: [(self.me.member.clone(), (self.identity.disk, now))].into(),
                    pending_read: None,
                    read_index: None,
                    snapshots: BTreeMap::new(),
                    known_epochs: BTreeMap::new(),
                    views_pending: false,
                    last_view_recipient: None,
                    last_part_index: 0,
                });
            }
        }
        Ok(())
    }

    /// An entry that cannot be parsed is ignored by every voter alike.
    fn apply_entry(&mut self, entry: &eraftpb::Entry) {
        let Ok(committed) = postcard::from_bytes::<Entry>(&entry.data) else { return };
        let outcome = self.state.state.apply(&committed);
        if let Some(leadership) = &mut self.leadership {
            leadership.views_pending = !self.state.state.parts.is_empty();
        }
        if let Ok((nonce, number)) = postcard::from_bytes::<(u64, u64)>(&entry.context)
            && nonce == self.identity.nonce
        {
            self.finish_proposal(number, Some(outcome));
        }
    }

    fn apply_membership_change(&mut self, entry: &eraftpb::Entry) {
        let Ok(change) = postcard::from_bytes::<VoterSlotChange>(&entry.context) else { return };
        self.state.voter_slots.apply(&change);
        // A change that the library rejects is rejected by every voter alike.
        if let Ok(membership) = self.node.apply_conf_change(&conf_change(&change)) {
            self.membership = (&membership).into();
            self.membership_changed = true;
        }
    }

    /// Takes a snapshot and truncates the log if it is long or the membership has changed.
    fn trim(&mut self) -> Result<(), Fault> {
        let (term, index) = self.applied;
        // Guards against a voter that restarts with an outdated membership, perhaps with itself as the only
        // voter. Later messages depend on the current membership, so it has to be on disk before any of them
        // is sent.
        let changed = std::mem::take(&mut self.membership_changed) && !is_active(Mutant::SeatsNotWritten);
        let full = self.node.store().len() >= MAX_LOG_ENTRIES && index > self.node.store().snapshot.index;
        if !changed && !full {
            return Ok(());
        }
        let snapshot = Snapshot { index, term, membership: self.membership.clone(), data: self.state.save() };
        let hard = self.node.store().hard.clone();
        let batch = Batch { hard: Some(hard), snapshot: Some((snapshot.clone(), false)), ..Batch::default() };
        self.store.write(&batch)?;
        self.node.mut_store().trim(snapshot);
        Ok(())
    }
}

/// Converts a change to the library's type.
fn conf_change(change: &VoterSlotChange) -> eraftpb::ConfChange {
    use eraftpb::ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};
    let mut into = eraftpb::ConfChange::default();
    (into.change_type, into.node_id) = match change {
        VoterSlotChange::AddLearner { disk, .. } => (AddLearnerNode, *disk),
        VoterSlotChange::Promote { disk } => (AddNode, *disk),
        VoterSlotChange::Remove { disk } => (RemoveNode, *disk),
    };
    into
}

/// An FNV-1a digest of an entry, to compare what voters have applied.
fn digest(entry: &eraftpb::Entry) -> u64 {
    let bytes = entry.data.iter().chain(entry.context.iter());
    bytes
        .fold(0xcbf2_9ce4_8422_2325, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

#[cfg(test)]
mod tests;
