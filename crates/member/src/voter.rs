//! One voter: agreement by the library `raft`, what is agreed, and, where this one leads, the leader's rules.
//!
//! Nothing leaves this process that rests on a promise which is not on disk yet. A disk that fails, or turns out to be older than what
//! it once promised, ends the voter ([`Fault`]); the member opens a new one.

use crate::frame::{Conf, RaftMessage, Said, Shown, Snapshot};
use crate::log::Log;
use crate::member::To;
use crate::store::{Batch, Found, Identity, Store, StoreError};
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

/// Ticks without a word from the one that leads until the first voter of the file asks for votes; each further one waits
/// [`ELECTION_STEP`] longer, so that no two ask at once. The library would draw this; so it is the same in every run.
const ELECTION: usize = 10;
/// See [`ELECTION`].
const ELECTION_STEP: usize = 3;
/// Ticks between two words of the one that leads.
const HEARTBEAT: usize = 2;
/// Entries behind a snapshot until the next one.
const MOST_ENTRIES: usize = 1024;
/// Bytes of entries in one message, as far as one entry is not more.
const MESSAGE: u64 = 256 * 1024;
/// Bytes of entries that are proposed and not agreed.
const MOST_UNCOMMITTED: u64 = 8 * 1024 * 1024;
/// Messages to a voter that has not answered.
const IN_FLIGHT: usize = 64;
/// Entries of members that wait to be agreed here.
const MOST_PROPOSALS: usize = 4096;
/// Ticks until a question to a majority is asked again.
const CONFIRM_AGAIN: u64 = 20;
/// Ticks between two words about this voter's life while it is not admitted, and after.
const LIFE_EVERY: u64 = 3;
/// See [`LIFE_EVERY`].
const LIFE_LATER: u64 = 100;
/// Ticks until a snapshot that was sent and not acknowledged counts as lost.
const SNAPSHOT_LOST: u64 = 50;
/// A voter that is so many entries behind has caught up.
const NEARLY: u64 = 64;
/// Ticks between two looks of the one that leads at what parts are in need of: a twentieth of a lease's time.
const LEAD_EVERY: u64 = 5;
/// Entries of parts that the one that leads proposes of its own in one go; the rest comes once these are agreed.
pub const MAX_LEAD_PROPOSALS: usize = 64;
/// Bytes of parts that the one that leads says in one tick; whoever is behind then comes first in the next.
pub const MAX_SAID: usize = 2 * 1024 * 1024;

/// Why a voter has ended.
#[derive(Debug)]
pub enum Fault {
    /// Its disk failed: what is on it is not known until it is opened anew.
    Disk(StoreError),
    /// Its disk is older than what it once promised: it must not vote with it again.
    Old(RolledBack),
}

impl From<StoreError> for Fault {
    fn from(e: StoreError) -> Fault {
        Fault::Disk(e)
    }
}

/// All that is agreed.
#[derive(Debug, Default)]
pub struct Agreed {
    state: parts::ReplicatedState,
    seats: VoterSlots,
}

/// What of it every program knows: the first bytes of what is saved. Parts follow, where there are any.
#[derive(Serialize, Deserialize)]
struct Core {
    fleet: Fleet,
    seats: VoterSlots,
}

impl Agreed {
    /// What a fleet begins with: one voter.
    pub fn founded(disk: u64, member: &str) -> Agreed {
        let seat = VoterSlot { member: member.to_string(), votes: true };
        Agreed { seats: VoterSlots { disks: [(disk, seat)].into() }, ..Agreed::default() }
    }

    /// As bytes, the same for the same state.
    pub fn save(&self) -> Vec<u8> {
        // Writing into memory fails for nothing that is kept here.
        let mut bytes = postcard::to_stdvec(&(&self.state.fleet, &self.seats)).unwrap_or_default();
        bytes.extend(self.state.save_parts());
        bytes
    }

    /// Members, leases, tasks and parts.
    pub fn state(&self) -> &parts::ReplicatedState {
        &self.state
    }

    /// The state that was saved, with these parts, which are empty until then.
    ///
    /// # Errors
    /// It cannot be read, or is not what is agreed.
    pub fn load(bytes: &[u8], parts: Vec<Box<dyn Part>>) -> Result<Agreed, StoreError> {
        if bytes.is_empty() {
            return Ok(Agreed { state: parts::ReplicatedState::new(parts), ..Agreed::default() });
        }
        let spoilt = || StoreError::Disk("the agreed state cannot be read".to_string());
        let (core, rest): (Core, _) = postcard::take_from_bytes(bytes).map_err(|_| spoilt())?;
        // By the one way in which states are loaded.
        let fleet = Fleet::load(&core.fleet.save()).ok_or_else(spoilt)?;
        let state = parts::ReplicatedState::load_parts(fleet, rest, parts).map_err(|why| match why {
            LoadError::Corrupt => spoilt(),
            LoadError::Outdated(part) => StoreError::Behind(part),
        })?;
        Ok(Agreed { state, seats: core.seats })
    }
}

/// What a voter is told at its start.
#[derive(Clone, Debug)]
pub struct Place {
    /// The fleet's name.
    pub fleet: String,
    /// The members that are to vote, in the order of the file.
    pub named: Vec<String>,
    /// The terms of leases.
    pub terms: LeaseTiming,
    /// The time of a tick.
    pub tick: Duration,
    /// The parts of the agreed state, each of them empty.
    pub parts: fn() -> Vec<Box<dyn Part>>,
    /// What the one that leads proposes for parts: see [`crate::Setup`].
    pub lead: crate::member::Lead,
}

/// What this voter keeps while it leads.
struct Leading {
    leader: Leader,
    places: LeaseQueue,
    walls: MemberClocks,
    /// The disk that each member was heard with last.
    here: BTreeMap<String, (u64, Duration)>,
    /// The question to a majority that is under way, and since which tick.
    reading: Option<(u64, u64)>,
    /// A majority has said that this one leads, once so much is applied.
    read: Option<u64>,
    /// Disks to which a snapshot is on its way, since which tick.
    snapshots: BTreeMap<u64, u64>,
    /// The epochs of parts that each start knows, or was said.
    knows: BTreeMap<Holder, BTreeMap<String, u64>>,
    /// Some start may not know the newest of them.
    behind: bool,
    /// The start after which the next one is told.
    told: Option<Holder>,
    /// The place of the last entry that was proposed for parts.
    led: u64,
}

/// A voter.
pub struct Voter {
    node: RawNode<Log>,
    store: Store,
    place: Place,
    me: Holder,
    identity: Identity,
    agreed: Agreed,
    conf: Conf,
    applied: (u64, u64),
    lives: VoterIncarnations,
    admission: Admission,
    leading: Option<Leading>,
    /// Whose entries are on their way, by the number that goes with each.
    proposals: BTreeMap<u64, (Holder, u64)>,
    count: u64,
    ticks: u64,
    next_tick: Duration,
    heard_leader: Option<Duration>,
    /// Who takes part has changed, and is not on disk yet.
    seats_changed: bool,
    /// The members of disks that spoke: one that learns knows no seats yet, and has to answer.
    spoke: BTreeMap<u64, String>,
    /// What was applied, for those who compare voters.
    trace: Option<Vec<(u64, u64, u64)>>,
    out: Vec<(To, Said)>,
}

impl Voter {
    /// Opens the voter on this disk.
    ///
    /// # Errors
    /// The disk cannot be used.
    pub fn open(
        backend: Box<dyn StorageBackend>,
        place: Place,
        me: Holder,
        random: [u64; 2],
        now: Duration,
    ) -> Result<Voter, StoreError> {
        let (store, found) = Store::open(backend, &place.fleet, &me.member, random)?;
        let Found { identity, hard, snapshot, entries, lives, .. } = found;
        let agreed = Agreed::load(&snapshot.data, (place.parts)())?;
        let applied = (snapshot.term, snapshot.index);
        let conf = snapshot.seats.clone();
        let rank = place.named.iter().position(|name| *name == me.member).unwrap_or(place.named.len());
        let election = ELECTION + ELECTION_STEP * rank;
        let config = Config {
            id: identity.disk,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: snapshot.index,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: IN_FLIGHT,
            check_quorum: true,
            pre_vote: true,
            min_election_tick: election,
            max_election_tick: election + 1,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: MOST_UNCOMMITTED,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, Log::new(hard, snapshot, entries), &quiet)
            .map_err(|e| StoreError::Disk(e.to_string()))?;
        Ok(Voter {
            node,
            store,
            place,
            me,
            identity,
            agreed,
            conf,
            applied,
            lives: VoterIncarnations::new(lives),
            admission: Admission::default(),
            leading: None,
            proposals: BTreeMap::new(),
            count: 0,
            ticks: 0,
            next_tick: now,
            heard_leader: None,
            seats_changed: false,
            spoke: BTreeMap::new(),
            trace: None,
            out: Vec::new(),
        })
    }

    /// The number of its disk.
    pub fn disk(&self) -> u64 {
        self.identity.disk
    }

    /// What it has applied.
    pub fn fleet(&self) -> &Fleet {
        &self.agreed.state.fleet
    }

    /// The same with its parts.
    pub fn agreed(&self) -> &parts::ReplicatedState {
        &self.agreed.state
    }

    /// Who takes part, as far as it has applied.
    pub fn seats(&self) -> &VoterSlots {
        &self.agreed.seats
    }

    /// Whether it leads, for all that it knows.
    pub fn leads(&self) -> bool {
        self.leading.is_some()
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// From now on keeps what it applies: place, term, and a print of the entry.
    pub fn keep_trace(&mut self) {
        self.trace.get_or_insert_default();
    }

    /// What was applied since the last call.
    pub fn take_trace(&mut self) -> Vec<(u64, u64, u64)> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn life(&self) -> VoterIncarnation {
        let Identity { disk, life, nonce, .. } = self.identity;
        let log = self.node.store();
        VoterIncarnation { disk, number: life, nonce, term: log.hard.term, last_position: log.position() }
    }

    fn is_admitted(&self) -> bool {
        let voters = self.agreed.seats.voters();
        self.admission.is_admitted(self.identity.disk, &voters, self.place.named.len(), self.ticks)
    }

    /// The member that leads, as far as is known here.
    pub fn leader(&self) -> Option<&str> {
        self.agreed.seats.member_of(self.node.raft.leader_id)
    }

    /// Time has passed. `unix` is the time by the wall clock, since 1970.
    ///
    /// # Errors
    /// The voter has ended.
    pub fn tick(&mut self, now: Duration, unix: Duration) -> Result<Vec<(To, Said)>, Fault> {
        if now >= self.next_tick {
            // After a pause of this process the time is not made up for: it would ask for votes before it has read what came.
            self.next_tick = (self.next_tick + self.place.tick).max(now);
            self.ticks += 1;
            self.say_life();
            if self.is_admitted() {
                self.node.tick();
            }
            self.lead(now);
            self.lead_parts(now, unix);
            self.show_parts();
        }
        self.pump(now)?;
        Ok(std::mem::take(&mut self.out))
    }

    fn say_life(&mut self) {
        let every = if self.is_admitted() { LIFE_LATER } else { LIFE_EVERY };
        if self.ticks % every != 1 {
            return;
        }
        let life = self.life();
        for name in self.place.named.iter().filter(|name| **name != self.me.member) {
            self.out.push((To::Voter(name.clone()), Said::Life(life)));
        }
    }

    /// A member says something.
    ///
    /// # Errors
    /// The voter has ended.
    pub fn hear(&mut self, now: Duration, from: &Holder, said: Said) -> Result<Vec<(To, Said)>, Fault> {
        match said {
            Said::Life(life) if self.place.named.contains(&from.member) => {
                let verdict = self.lives.check_incarnation(&life);
                if let Ok(Some(_)) = verdict {
                    let lives = Some(self.lives.known().clone());
                    self.store.write(&Batch { lives, ..Batch::default() })?;
                }
                let (by, verdict) = (self.identity.disk, verdict.map(|_| ()));
                let welcome = Said::Welcome { by, life: life.number, nonce: life.nonce, verdict };
                self.out.push((To::Holder(from.clone()), welcome));
            }
            Said::Welcome { by, life, nonce, verdict }
                if (life, nonce) == (self.identity.life, self.identity.nonce) =>
            {
                verdict.map_err(Fault::Old)?;
                self.admission.acknowledged(by);
            }
            Said::Raft(message) => self.hear_raft(now, from, message)?,
            Said::Ask { number, wants, disk, unix, answered } => {
                if let Some(leading) = &mut self.leading {
                    leading.walls.observe(now, &from.member, unix);
                    leading.leader.acknowledge_answer(now, from, answered);
                }
                self.asked(now, from, number, wants, disk);
            }
            Said::Knows { epochs } => {
                if let Some(leading) = &mut self.leading {
                    leading.knows.insert(from.clone(), epochs.into_iter().take(MAX_PARTS).collect());
                    leading.behind = true;
                }
            }
            Said::Propose { id, entry } => self.proposed(from, id, &entry),
            Said::Show { id } => {
                let shown = self.show(now);
                self.out.push((To::Holder(from.clone()), Said::Shown { id, shown }));
            }
            _ => {}
        }
        self.pump(now)?;
        Ok(std::mem::take(&mut self.out))
    }

    fn hear_raft(&mut self, now: Duration, sender: &Holder, message: RaftMessage) -> Result<(), Fault> {
        // Guards against a vote by a voter that may have forgotten one: see `disk_rollback`.
        if message.to != self.identity.disk || !self.is_admitted() {
            return Ok(());
        }
        // The one that leads knows that this disk had it once.
        if message.has_promised() > self.node.store().last() {
            return Err(Fault::Old(RolledBack::LongerLog));
        }
        self.spoke.insert(message.from, sender.member.clone());
        while self.spoke.len() > MAX_DISKS {
            self.spoke.pop_first();
        }
        let (from, life, written) = (message.from, message.life, message.has_written());
        let Some(message) = message.into_raft() else { return Ok(()) };
        use eraftpb::MessageType::{MsgRequestPreVote, MsgRequestPreVoteResponse};
        if !matches!(message.msg_type, MsgRequestPreVote | MsgRequestPreVoteResponse) {
            self.lives.record_term(from, life, message.term);
        }
        if let Some(index) = written
            && self.leading.is_some()
            && let Ok(term) = raft::Storage::term(self.node.store(), index)
        {
            self.lives.record_position(from, life, (term, index));
        }
        // An error means that it is from one that takes no part any more.
        let _ = self.node.step(message);
        if from == self.node.raft.leader_id {
            self.heard_leader = Some(now);
        }
        Ok(())
    }

    fn asked(
        &mut self,
        now: Duration,
        from: &Holder,
        number: u64,
        wants: Option<Vec<String>>,
        disk: Option<u64>,
    ) {
        let Some(leading) = &mut self.leading else {
            let leader = self.leader().filter(|name| *name != self.me.member).map(str::to_string);
            return self.out.push((To::Holder(from.clone()), Said::NotLeader { leader }));
        };
        if let Some(wants) = wants {
            leading.places.set_wanted(from, wants);
        }
        if let Some(disk) = disk {
            leading.here.insert(from.member.clone(), (disk, now));
        }
        // One that finds no room asks again.
        let _ = leading.leader.request_renewal(now, RenewalRequest { holder: from.clone(), number });
    }

    fn proposed(&mut self, from: &Holder, id: u64, entry: &Entry) {
        if self.leading.is_none() {
            let leader = self.leader().filter(|name| *name != self.me.member).map(str::to_string);
            return self.out.push((To::Holder(from.clone()), Said::NotLeader { leader }));
        }
        // Guards against entries in the log that this voter passes over and another takes in.
        if !self.agreed.state.knows_part_of(entry) {
            let outcome = Some(Outcome::Refused(Refusal::NotFound));
            return self.out.push((To::Holder(from.clone()), Said::Proposed { id, outcome }));
        }
        self.count += 1;
        self.proposals.insert(self.count, (from.clone(), id));
        if !self.propose(self.count, entry) || self.proposals.len() > MOST_PROPOSALS {
            self.settle(self.count, None);
        }
    }

    fn propose(&mut self, number: u64, entry: &Entry) -> bool {
        // Writing into memory fails for nothing that an entry holds.
        let data = postcard::to_stdvec(entry).unwrap_or_default();
        let context = postcard::to_stdvec(&(self.identity.nonce, number)).unwrap_or_default();
        self.node.propose(context, data).is_ok()
    }

    fn settle(&mut self, number: u64, outcome: Option<Outcome>) {
        if let Some((holder, id)) = self.proposals.remove(&number) {
            self.out.push((To::Holder(holder), Said::Proposed { id, outcome }));
        }
    }

    fn show(&self, now: Duration) -> Shown {
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let fleet = &self.agreed.state.fleet;
        let heard = |leading: &Leading| {
            let members = fleet.members().map(|(name, incarnation)| Holder::new(name, incarnation));
            let ago = |holder: Holder| Some((leading.leader.heard_ago(now, &holder)?, holder.member));
            members.filter_map(ago).map(|(ago, name)| (name, ms(ago))).collect()
        };
        let seats = self.agreed.seats.disks.iter();
        Shown {
            by: self.me.member.clone(),
            leader: self.leader().map(str::to_string),
            age_ms: match (&self.leading, self.heard_leader) {
                (Some(_), _) => Some(0),
                (None, heard) => heard.map(|heard| ms(now.saturating_sub(heard))),
            },
            term: self.node.raft.term,
            applied: self.applied.1,
            seats: seats.map(|(disk, seat)| (seat.member.clone(), seat.votes, *disk)).collect(),
            heard_ms: self.leading.as_ref().map(heard).unwrap_or_default(),
            fleet: fleet.save(),
            parts: self.agreed.state.save_parts(),
        }
    }

    // The one that leads.

    /// Leads on, now that time has passed.
    fn lead(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        let state = &self.agreed.state;
        let fleet = &state.fleet;
        leading.walls.forget_silent(now, 2 * self.place.terms.expiry_wait());
        let mut entries = leading.leader.tick_with_parts(now, fleet, |holder| state.has_view_for(holder));
        let leader = &leading.leader;
        entries.extend(leading.places.tick(fleet, |holder| !leader.receives_no_answers(now, holder)));
        let mut all = true;
        for entry in entries {
            all &= self.propose(0, &entry);
        }
        if let Some(leading) = &mut self.leading
            && !all
        {
            // Guards against a lease whose end was said and not taken, and is not said again: all times begin anew.
            leading.leader = Leader::new(now, self.place.terms);
            leading.reading = None;
        }
        self.change_seats(now);
        self.miss_snapshots();
        if let Some(leading) = &mut self.leading
            && let Some((_, since)) = leading.reading
            && self.ticks - since > CONFIRM_AGAIN
        {
            (leading.reading, leading.read) = (None, None);
            leading.leader.confirmation_failed();
        }
    }

    /// Proposes what parts are in need of.
    fn lead_parts(&mut self, now: Duration, unix: Duration) {
        let Some(leading) = &self.leading else { return };
        // Guards against saying the same again and again while a majority is slow.
        let waits = leading.led > self.applied.1;
        if self.agreed.state.parts.is_empty() || waits || !self.ticks.is_multiple_of(LEAD_EVERY) {
            return;
        }
        // Guards against one clock that jumped, and would end all work as over.
        let majority = self.place.named.len() / 2 + 1;
        let Some(unix_ms) = leading.walls.unix_ms(now, unix, majority) else { return };
        let wanted = (self.place.lead)(unix_ms, &self.agreed.state);
        for (part, bytes) in wanted.into_iter().take(MAX_LEAD_PROPOSALS) {
            // What finds no room is wanted again.
            self.propose(0, &Entry::Part { part, bytes });
        }
        if let Some(leading) = &mut self.leading {
            leading.led = self.node.raft.raft_log.last_index();
        }
    }

    /// Says to each start what parts show it and it does not know yet. What is lost on the way is said again once that start says
    /// what it knows.
    fn show_parts(&mut self) {
        let state = &self.agreed.state;
        let Some(leading) = &mut self.leading else { return };
        if !std::mem::take(&mut leading.behind) {
            return;
        }
        leading.knows.retain(|holder, _| state.fleet.is_present(holder));
        let first = leading.told.take().map_or(Unbounded, Excluded);
        let in_turn = leading.knows.range((first.clone(), Unbounded)).chain(&leading.knows);
        let in_turn: Vec<Holder> =
            in_turn.take(leading.knows.len()).map(|(holder, _)| holder.clone()).collect();
        let mut said = 0;
        for holder in in_turn {
            let Some(knows) = leading.knows.get_mut(&holder) else { continue };
            let sights = state.view_for(&holder, knows);
            if sights.is_empty() {
                continue;
            }
            // There may be more for this one.
            leading.behind = true;
            said += sights.iter().map(|sight| sight.bytes.len()).sum::<usize>();
            knows.extend(sights.iter().map(|sight| (sight.name.clone(), sight.epoch)));
            self.out.push((To::Holder(holder.clone()), Said::Parts { sights }));
            if said >= MAX_SAID {
                leading.told = Some(holder);
                break;
            }
        }
    }

    /// Guards against a snapshot that was lost on the way: the library sends nothing more to that disk until it hears of it.
    fn miss_snapshots(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        let under_way: Vec<u64> = (self.node.raft.prs().iter())
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(disk, _)| *disk)
            .collect();
        leading.snapshots.retain(|disk, _| under_way.contains(disk));
        for disk in under_way {
            let since = *leading.snapshots.entry(disk).or_insert(self.ticks);
            if self.ticks - since > SNAPSHOT_LOST {
                leading.snapshots.remove(&disk);
                self.node.report_snapshot(disk, SnapshotStatus::Failure);
            }
        }
    }

    fn change_seats(&mut self, now: Duration) {
        let Some(leading) = &self.leading else { return };
        if self.node.raft.has_pending_conf() {
            return;
        }
        let progress = self.node.raft.prs();
        let near = self.node.store().last().saturating_sub(NEARLY);
        let caught_up = progress.iter().filter(|(id, progress)| {
            **id == self.identity.disk || progress.recent_active && progress.matched >= near
        });
        let sight = Observed {
            configured: self.place.named.iter().cloned().collect(),
            last_heard: (leading.here.iter())
                .map(|(name, (disk, heard))| (name.clone(), (*disk, now.saturating_sub(*heard))))
                .collect(),
            caught_up: caught_up.map(|(id, _)| *id).collect(),
            silent_after: self.place.terms.expiry_wait(),
        };
        if let Some(change) = self.agreed.seats.next_change(self.identity.disk, &sight) {
            let context = postcard::to_stdvec(&change).unwrap_or_default();
            // An error means that it does not lead any more.
            let _ = self.node.propose_conf_change(context, conf_change(&change));
        }
    }

    /// Has a majority say that this one leads, if a question waits for it; and answers those that waited.
    fn confirm(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        if leading.leader.begin_confirmation() {
            self.count += 1;
            if Leader::answers_without_majority() {
                leading.read = Some(self.applied.1);
            } else {
                leading.reading = Some((self.count, self.ticks));
                self.node.read_index(self.count.to_le_bytes().to_vec());
            }
        }
        if leading.read.is_some_and(|read| read <= self.applied.1) {
            (leading.read, leading.reading) = (None, None);
            for answer in leading.leader.confirmation_succeeded(&self.agreed.state.fleet) {
                let holder = answer.request.holder;
                let said = RenewalAnswer {
                    number: answer.request.number,
                    leases: answer.leases,
                    enrolled: answer.enrolled,
                    unix: leading.walls.unix_seconds(now, self.place.named.len() / 2 + 1),
                    send_wanted: !leading.places.has_wanted(&holder),
                    view: self.agreed.state.fleet.view_for(&holder).save(),
                };
                self.out.push((To::Holder(holder), Said::Answer(said)));
            }
        }
    }

    // Agreement.

    /// Carries out all that the library asks for.
    fn pump(&mut self, now: Duration) -> Result<(), Fault> {
        loop {
            self.confirm(now);
            if self.node.store().wants_fresh() {
                let (term, index) = self.applied;
                let fresh = Snapshot { index, term, seats: self.conf.clone(), data: self.agreed.save() };
                self.node.mut_store().fresh = Some(fresh);
            }
            if !self.node.has_ready() {
                return Ok(());
            }
            let mut ready = self.node.ready();
            self.say(ready.take_messages());
            if ready.ss().is_some_and(|soft| soft.raft_state != StateRole::Leader) {
                self.leads_no_more();
            }
            for read in ready.take_read_states() {
                if let Some(leading) = &mut self.leading
                    && leading
                        .reading
                        .is_some_and(|(count, _)| count.to_le_bytes()[..] == read.request_ctx[..])
                {
                    leading.read = Some(read.index);
                }
            }
            let mut batch = Batch { entries: ready.take_entries(), ..Batch::default() };
            if !ready.snapshot().is_empty() {
                let snapshot = Snapshot::from(ready.snapshot());
                self.agreed = Agreed::load(&snapshot.data, (self.place.parts)())?;
                (self.conf, self.applied) = (snapshot.seats.clone(), (snapshot.term, snapshot.index));
                batch.snapshot = Some((snapshot, true));
            }
            // How far is agreed need not be on disk: it is learned again.
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
            // From here on all that was promised is on disk.
            self.say(ready.take_persisted_messages());
            let committed = ready.take_committed_entries();
            self.apply(now, committed)?;
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().hard.commit = commit;
            }
            self.say(light.take_messages());
            self.apply(now, light.take_committed_entries())?;
            self.node.advance_apply();
            self.trim()?;
        }
    }

    fn say(&mut self, messages: Vec<eraftpb::Message>) {
        for message in messages {
            let member = self.agreed.seats.member_of(message.to);
            let member = member.or_else(|| self.spoke.get(&message.to).map(String::as_str));
            if let Some(member) = member
                && let Some(said) = RaftMessage::new(&message, self.identity.life)
            {
                self.out.push((To::Voter(member.to_string()), Said::Raft(said)));
            }
        }
    }

    fn leads_no_more(&mut self) {
        if self.leading.take().is_some() {
            // Nobody here hears any more what becomes of them.
            let numbers: Vec<u64> = self.proposals.keys().copied().collect();
            numbers.into_iter().for_each(|number| self.settle(number, None));
        }
    }

    fn apply(&mut self, now: Duration, entries: Vec<eraftpb::Entry>) -> Result<(), Fault> {
        for entry in entries {
            if let Some(trace) = &mut self.trace {
                trace.push((entry.index, entry.term, print(&entry)));
            }
            match entry.entry_type {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.apply_entry(&entry),
                _ => self.apply_change(&entry),
            }
            self.applied = (entry.term, entry.index);
            let leads = self.node.raft.state == StateRole::Leader && entry.term == self.node.raft.term;
            if leads && self.leading.is_none() {
                // The first entry of its own term: all that was agreed before is applied.
                self.leading = Some(Leading {
                    leader: Leader::new(now, self.place.terms),
                    places: LeaseQueue::default(),
                    walls: MemberClocks::default(),
                    here: [(self.me.member.clone(), (self.identity.disk, now))].into(),
                    reading: None,
                    read: None,
                    snapshots: BTreeMap::new(),
                    knows: BTreeMap::new(),
                    behind: false,
                    told: None,
                    led: 0,
                });
            }
        }
        Ok(())
    }

    /// What cannot be read is the same for every voter, and changes nothing.
    fn apply_entry(&mut self, entry: &eraftpb::Entry) {
        let Ok(said) = postcard::from_bytes::<Entry>(&entry.data) else { return };
        let outcome = self.agreed.state.apply(&said);
        if let Some(leading) = &mut self.leading {
            leading.behind = !self.agreed.state.parts.is_empty();
        }
        if let Ok((nonce, number)) = postcard::from_bytes::<(u64, u64)>(&entry.context)
            && nonce == self.identity.nonce
        {
            self.settle(number, Some(outcome));
        }
    }

    fn apply_change(&mut self, entry: &eraftpb::Entry) {
        let Ok(change) = postcard::from_bytes::<VoterSlotChange>(&entry.context) else { return };
        self.agreed.seats.apply(&change);
        // A change that the library does not take is taken by no voter.
        if let Ok(conf) = self.node.apply_conf_change(&conf_change(&change)) {
            self.conf = (&conf).into();
            self.seats_changed = true;
        }
    }

    /// Takes a snapshot and lets go of what it covers, once that is much.
    fn trim(&mut self) -> Result<(), Fault> {
        let (term, index) = self.applied;
        // Guards against a voter that starts again and takes itself for one of those that took part before: alone, perhaps. What it
        // does from here on rests on who takes part now, so that has to be on disk before any of it leaves.
        let changed = std::mem::take(&mut self.seats_changed) && !is_active(Mutant::SeatsNotWritten);
        let full = self.node.store().len() >= MOST_ENTRIES && index > self.node.store().snapshot.index;
        if !changed && !full {
            return Ok(());
        }
        let snapshot = Snapshot { index, term, seats: self.conf.clone(), data: self.agreed.save() };
        let hard = self.node.store().hard.clone();
        let batch = Batch { hard: Some(hard), snapshot: Some((snapshot.clone(), false)), ..Batch::default() };
        self.store.write(&batch)?;
        self.node.mut_store().trim(snapshot);
        Ok(())
    }
}

/// The change as the library has it.
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

/// A print of an entry, to compare what voters have applied: FNV-1a.
fn print(entry: &eraftpb::Entry) -> u64 {
    let bytes = entry.data.iter().chain(entry.context.iter());
    bytes.fold(0xcbf2_9ce4_8422_2325, |print, byte| (print ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

#[cfg(test)]
mod tests;
