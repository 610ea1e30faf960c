//! A whole member: its side of the fleet, and the voter on its disk if it is one. No socket, thread, clock or random source: `now`,
//! messages and what came of calls go in, messages and calls come out. The disk is reached through [`Disk`].

use crate::frame::{Message, StateReport};
use crate::store::StoreError;
use crate::voter::{Fault, Voter, VoterSetup};
use jaspershunt_fleet::client::{Action, Call, Client, Event};
use jaspershunt_fleet::parts::{MAX_PARTS, Part, PartView, ReplicatedState};
use jaspershunt_fleet::tasks::{CallOutcome, TaskSpec};
use jaspershunt_fleet::{Entry, Holder, LeaseTiming, Outcome};
use redb::StorageBackend;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A disk that cannot be opened is tried again so often.
const OPEN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Messages to itself that a member carries on with in one go; more means that something is wrong with this program.
const MAX_SELF_MESSAGES: usize = 100_000;

/// A voter's disk.
pub trait Disk {
    /// Opens it; where nothing is there it is new.
    ///
    /// # Errors
    /// It cannot be opened.
    fn open(&mut self) -> Result<Box<dyn StorageBackend>, StoreError>;

    /// Puts aside what is there, so that the next one is new.
    ///
    /// # Errors
    /// It cannot be.
    fn set_aside(&mut self) -> Result<(), StoreError>;
}

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name.
    pub fleet: String,
    /// This start.
    pub me: Holder,
    /// The members that are to vote.
    pub voters: Vec<String>,
    /// The terms of leases, the same for all.
    pub timing: LeaseTiming,
    /// The tasks of this member.
    pub tasks: Vec<TaskSpec>,
    /// Makes the parts of the agreed state, each of them empty. The same for all voters: one that does not know a part that the
    /// others have takes no part in it. See [`no_parts`].
    pub parts: fn() -> Vec<Box<dyn Part>>,
    /// What the one that leads proposes for parts of its own: each a part's name and an entry of it. It is asked every few ticks, once
    /// what it said before is agreed, and two that lead may say the same: a part takes a repeat for one. See [`no_part_proposals`].
    pub part_proposals: PartProposals,
}

/// See [`Setup::part_proposals`]; the first is the time by the wall clock, in Unix milliseconds.
pub type PartProposals = fn(u64, &ReplicatedState) -> Vec<(String, Vec<u8>)>;

/// No parts: nothing is said or saved of any.
pub fn no_parts() -> Vec<Box<dyn Part>> {
    Vec::new()
}

/// Nothing is proposed for parts.
pub fn no_part_proposals(_: u64, _: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    Vec::new()
}

/// The time of a tick of all members of a fleet: a hundredth of a lease's, within bounds that a machine can keep.
pub fn tick(timing: LeaseTiming) -> Duration {
    (timing.ttl / 100).clamp(Duration::from_millis(10), Duration::from_millis(100))
}

/// To whom something is said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// A voter, whichever start of it is there.
    Voter(String),
    /// A start that has said something, over the link on which it did.
    Holder(Holder),
}

/// What reaches a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A member says something.
    Received {
        /// Who.
        from: Holder,
        /// What.
        message: Message,
    },
    /// The connection to a voter broke.
    ConnectionLost {
        /// Its name.
        voter: String,
    },
    /// What came of a call for a task.
    CallEnded {
        /// The task.
        task: String,
        /// Which call.
        number: u64,
        /// What came of it.
        outcome: CallOutcome,
    },
    /// An operator has an entry.
    Propose {
        /// Comes back with [`Output::Settled`].
        ticket: u64,
        /// The entry.
        entry: Entry,
    },
    /// An operator would see the agreed state.
    QueryState {
        /// Comes back with [`Output::StateReport`].
        ticket: u64,
    },
    /// This start is about to end.
    Leave,
}

/// What a member wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Say this.
    Send {
        /// To whom.
        to: Recipient,
        /// What.
        message: Message,
    },
    /// Call for a task.
    Call(Call),
    /// What came of an operator's entry; `None` if nobody knows.
    Settled {
        /// Whose.
        ticket: u64,
        /// What came of it.
        outcome: Option<Outcome>,
        /// It was said more than once: where this outcome is a refusal, another copy may be agreed yet.
        sent_again: bool,
    },
    /// The agreed state.
    StateReport {
        /// For whom.
        ticket: u64,
        /// What is shown.
        report: Box<StateReport>,
    },
    /// A part of the agreed state shows this start something new. Epochs of a part only grow.
    Part {
        /// The part.
        name: String,
        /// Of what it shows.
        epoch: u64,
        /// What it shows, as the part has it.
        bytes: Vec<u8>,
    },
    /// To be logged; `true` where operators should look.
    Log(String, bool),
    /// It has left, as far as that can be known.
    Left,
}

/// A member.
pub struct Member {
    setup: Setup,
    client: Client,
    voter: Option<Voter>,
    disk: Option<Box<dyn Disk>>,
    open_at: Duration,
    random: Box<dyn FnMut() -> u64>,
    /// Operators' entries, by the client's number.
    tickets: Vec<(u64, u64)>,
    /// Why the disk could not be opened, as it was logged.
    open_error: String,
    has_left: bool,
    /// The newest epoch of each part that was shown; `None` where there are no parts.
    epochs: Option<BTreeMap<String, u64>>,
}

impl Member {
    /// A start of a member that votes if it has a disk.
    pub fn new(
        setup: Setup,
        disk: Option<Box<dyn Disk>>,
        random: Box<dyn FnMut() -> u64>,
        now: Duration,
    ) -> Member {
        let Setup { me, voters, timing, tasks, .. } = setup.clone();
        let client = Client::new(me, timing, voters, tasks);
        let (tickets, open_error) = (Vec::new(), String::new());
        let epochs = (!(setup.parts)().is_empty()).then(BTreeMap::new);
        let (voter, open_at, has_left) = (None, now, false);
        Member { setup, client, voter, disk, open_at, random, tickets, open_error, has_left, epochs }
    }

    /// Its side of the fleet.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Its voter, while that is there.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Its voter, while that is there.
    pub fn voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut()
    }

    /// This start.
    pub fn me(&self) -> &Holder {
        &self.setup.me
    }

    /// Takes in one thing; what is to be done comes out, in order. `unix` is the time by the wall clock, since 1970.
    pub fn step(&mut self, now: Duration, unix: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut to_self = VecDeque::new();
        match input {
            Input::Tick => {
                self.open(now, &mut outputs);
                let result = self.voter.as_mut().map(|voter| voter.tick(now, unix));
                self.on_voter_result(result, &mut to_self, &mut outputs);
            }
            Input::Received { from, message } => self.receive(now, from, message, &mut to_self, &mut outputs),
            Input::ConnectionLost { voter } => self.client.on_connection_lost(now, &voter),
            Input::CallEnded { task, number, outcome } => self.client.call_ended(now, &task, number, outcome),
            Input::Propose { ticket, entry } => match self.client.propose(now, entry, true) {
                Some(id) => self.tickets.push((id, ticket)),
                None => outputs.push(Output::Settled { ticket, outcome: None, sent_again: false }),
            },
            Input::QueryState { ticket } => {
                let me = self.setup.me.member.clone();
                let asks = if self.voter.is_some() { Some(me.as_str()) } else { self.client.current_voter() };
                if let Some(asks) = asks.map(str::to_string) {
                    self.send(
                        Recipient::Voter(asks),
                        Message::QueryState { id: ticket },
                        &mut to_self,
                        &mut outputs,
                    );
                }
            }
            Input::Leave => self.client.leave(now),
        }
        let actions = self.client.step(now, i64::try_from(unix.as_secs()).unwrap_or(i64::MAX));
        self.apply_actions(actions, &mut to_self, &mut outputs);
        for _ in 0..MAX_SELF_MESSAGES {
            let Some(message) = to_self.pop_front() else { break };
            self.receive(now, self.setup.me.clone(), message, &mut to_self, &mut outputs);
        }
        if self.client.has_left() && !std::mem::replace(&mut self.has_left, true) {
            outputs.push(Output::Left);
        }
        outputs
    }

    fn open(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let Some(disk) = &mut self.disk else { return };
        if self.voter.is_some() || now < self.open_at {
            return;
        }
        self.open_at = now + OPEN_RETRY_DELAY;
        let voter_setup = VoterSetup {
            fleet: self.setup.fleet.clone(),
            configured_voters: self.setup.voters.clone(),
            timing: self.setup.timing,
            tick: tick(self.setup.timing),
            parts: self.setup.parts,
            part_proposals: self.setup.part_proposals,
        };
        let random = [(self.random)(), (self.random)()];
        let opened = disk
            .open()
            .and_then(|backend| Voter::open(backend, voter_setup, self.setup.me.clone(), random, now));
        match opened {
            Ok(voter) => {
                outputs.push(Output::Log(format!("the voter's disk {:016x} is open", voter.disk()), false));
                self.voter = Some(voter);
                self.open_error.clear();
            }
            Err(e) => {
                let mut open_error = e.to_string();
                if matches!(e, StoreError::PartOutdated(_)) {
                    // A new disk learns all of it from the others.
                    let aside = disk.set_aside();
                    let aside = aside
                        .map_or_else(|e| format!("cannot be put aside: {e}"), |()| "is put aside".into());
                    open_error = format!("{open_error}; it {aside}");
                }
                if open_error != self.open_error {
                    outputs
                        .push(Output::Log(format!("the voter's disk cannot be opened: {open_error}"), true));
                    self.open_error = open_error;
                }
            }
        }
    }

    fn receive(
        &mut self,
        now: Duration,
        from: Holder,
        message: Message,
        to_self: &mut VecDeque<Message>,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Answer(answer) => self.client.on_answer(now, &from.member, &answer),
            Message::NotLeader { leader } => {
                self.client.on_not_leader(now, &from.member, leader.as_deref());
            }
            Message::Proposed { id, outcome } => {
                let actions = self.client.on_outcome(now, id, outcome);
                self.apply_actions(actions, to_self, outputs);
            }
            Message::PartViews { views } if self.setup.voters.contains(&from.member) => {
                let Some(epochs) = &mut self.epochs else { return };
                for PartView { name, epoch, bytes } in views {
                    let room = epochs.len() < MAX_PARTS || epochs.contains_key(&name);
                    // Guards against one that led and does not know that it does not any more.
                    if room && epochs.get(&name).is_none_or(|known| *known < epoch) {
                        epochs.insert(name.clone(), epoch);
                        outputs.push(Output::Part { name, epoch, bytes });
                    }
                }
            }
            Message::StateReport { id, report } => {
                outputs.push(Output::StateReport { ticket: id, report: Box::new(report) });
            }
            message => {
                let result = self.voter.as_mut().map(|voter| voter.receive(now, &from, message));
                self.on_voter_result(result, to_self, outputs);
            }
        }
    }

    fn on_voter_result(
        &mut self,
        result: Option<Result<Vec<(Recipient, Message)>, Fault>>,
        to_self: &mut VecDeque<Message>,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            None => {}
            Some(Ok(all)) => {
                all.into_iter().for_each(|(to, message)| self.send(to, message, to_self, outputs))
            }
            Some(Err(fault)) => {
                // Whatever it has not said yet is never said.
                self.voter = None;
                match fault {
                    Fault::Disk(e) => {
                        let what = format!("the voter says nothing more until its disk is open again: {e}");
                        outputs.push(Output::Log(what, true));
                    }
                    Fault::RolledBack(why) => {
                        let aside = self.disk.as_mut().map(|disk| disk.set_aside());
                        let what = match aside {
                            Some(Err(e)) => format!("and cannot be put aside: {e}"),
                            _ => "it is put aside, and this voter begins anew with an empty one".into(),
                        };
                        let what =
                            format!("the voter's disk is older than what it once promised ({why}): {what}");
                        outputs.push(Output::Log(what, true));
                    }
                }
            }
        }
    }

    fn send(
        &self,
        to: Recipient,
        message: Message,
        to_self: &mut VecDeque<Message>,
        outputs: &mut Vec<Output>,
    ) {
        let me = &self.setup.me;
        let is_own = match &to {
            Recipient::Voter(name) => *name == me.member,
            Recipient::Holder(holder) => holder == me,
        };
        if is_own {
            to_self.push_back(message);
        } else {
            outputs.push(Output::Send { to, message });
        }
    }

    fn apply_actions(
        &mut self,
        actions: Vec<Action>,
        to_self: &mut VecDeque<Message>,
        outputs: &mut Vec<Output>,
    ) {
        for action in actions {
            match action {
                Action::Renew { to, number, wanted, unix, answered } => {
                    let disk = self.voter.as_ref().map(Voter::disk);
                    if let Some(epochs) = &self.epochs {
                        let epochs = epochs.clone().into_iter().collect();
                        self.send(
                            Recipient::Voter(to.clone()),
                            Message::KnownEpochs { epochs },
                            to_self,
                            outputs,
                        );
                    }
                    self.send(
                        Recipient::Voter(to),
                        Message::RenewalRequest { number, wanted, disk, unix, answered },
                        to_self,
                        outputs,
                    );
                }
                Action::Propose { to, id, entry } => {
                    self.send(Recipient::Voter(to), Message::Propose { id, entry }, to_self, outputs);
                }
                Action::Call(call) => outputs.push(Output::Call(call)),
                Action::Settled { id, outcome, sent_again } => {
                    if let Some(index) = self.tickets.iter().position(|(other, _)| *other == id) {
                        let (_, ticket) = self.tickets.swap_remove(index);
                        outputs.push(Output::Settled { ticket, outcome, sent_again });
                    }
                }
                Action::Report(Event::Acquired { lease, token }) => {
                    outputs.push(Output::Log(format!("holds {lease} under token {token}"), false));
                }
                Action::Report(Event::Lost { lease, token }) => {
                    outputs
                        .push(Output::Log(format!("does not hold {lease} any more, token {token}"), false));
                }
                Action::Report(Event::Superseded) => {
                    let what = "a later start of this member is in the fleet, or its folder is an older copy: \
                                this one holds nothing until that one has gone";
                    outputs.push(Output::Log(what.to_string(), true));
                }
            }
        }
    }
}

#[cfg(test)]
mod parts_tests;
#[cfg(test)]
mod tests;
