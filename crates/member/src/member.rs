//! A member: its client side of the fleet, and its voter if it has a disk. It has no socket, thread, clock or
//! random source: time, messages and outcomes of calls are passed in; messages and calls are returned. The
//! disk is reached through [`Disk`].

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

/// Delay until a disk that could not be opened is tried again.
const OPEN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Messages to itself that a member handles in one step; more indicate an endless loop.
const MAX_SELF_MESSAGES: usize = 100_000;

/// A voter's disk.
pub trait Disk {
    /// Opens the disk, creating an empty one if there is none.
    ///
    /// # Errors
    /// It cannot be opened.
    fn open(&mut self) -> Result<Box<dyn StorageBackend>, StoreError>;

    /// Moves the current content aside, so that the next one opened is empty.
    ///
    /// # Errors
    /// It cannot be moved.
    fn set_aside(&mut self) -> Result<(), StoreError>;
}

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The fleet's name.
    pub fleet: String,
    /// This incarnation.
    pub me: Holder,
    /// The members that are to vote.
    pub voters: Vec<String>,
    /// How long leases last; the same for all members.
    pub timing: LeaseTiming,
    /// The tasks of this member.
    pub tasks: Vec<TaskSpec>,
    /// Creates the empty parts of the replicated state. Must be the same for all voters: a voter that does
    /// not know a part ignores its entries. See [`no_parts`].
    pub parts: fn() -> Vec<Box<dyn Part>>,
    /// What the leader proposes for parts on its own: pairs of a part's name and an entry for it. Called
    /// every few ticks, once the earlier proposals are applied. Two leaders may propose the same, so a part
    /// must treat a repeated entry as one. See [`no_part_proposals`].
    pub part_proposals: PartProposals,
}

/// See [`Setup::part_proposals`]; the first argument is the wall-clock time in Unix milliseconds.
pub type PartProposals = fn(u64, &ReplicatedState) -> Vec<(String, Vec<u8>)>;

/// No parts.
pub fn no_parts() -> Vec<Box<dyn Part>> {
    Vec::new()
}

/// Proposes nothing for parts.
pub fn no_part_proposals(_: u64, _: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    Vec::new()
}

/// The tick of all members of a fleet: a hundredth of a lease's duration, within bounds that a machine can
/// keep.
pub fn tick(timing: LeaseTiming) -> Duration {
    (timing.ttl / 100).clamp(Duration::from_millis(10), Duration::from_millis(100))
}

/// The recipient of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// A voter, in whichever incarnation.
    Voter(String),
    /// An incarnation that has sent a message, over the connection on which it did.
    Holder(Holder),
}

/// Input of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Received {
        /// The sender.
        from: Holder,
        /// The message.
        message: Message,
    },
    /// The connection to a voter was lost.
    ConnectionLost {
        /// The voter's name.
        voter: String,
    },
    /// The call of a task ended.
    CallEnded {
        /// The task.
        task: String,
        /// The call's number.
        number: u64,
        /// Its outcome.
        outcome: CallOutcome,
    },
    /// An operator proposes an entry.
    Propose {
        /// Returned in [`Output::Settled`].
        ticket: u64,
        /// The entry.
        entry: Entry,
    },
    /// An operator queries the replicated state.
    QueryState {
        /// Returned in [`Output::StateReport`].
        ticket: u64,
    },
    /// This incarnation is about to end.
    Leave,
}

/// Output of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The recipient.
        to: Recipient,
        /// The message.
        message: Message,
    },
    /// Make a call for a task.
    Call(Call),
    /// The outcome of an operator's proposal; `None` if it is unknown.
    Settled {
        /// The ticket of the proposal.
        ticket: u64,
        /// The outcome.
        outcome: Option<Outcome>,
        /// The proposal was sent more than once: after a refusal, another copy may still be committed.
        sent_again: bool,
    },
    /// The answer to a query of the replicated state.
    StateReport {
        /// The ticket of the query.
        ticket: u64,
        /// The state.
        report: Box<StateReport>,
    },
    /// A new view of a part for this incarnation. Epochs of a part only grow.
    Part {
        /// The part.
        name: String,
        /// The epoch of the view.
        epoch: u64,
        /// The view, in the part's own encoding.
        bytes: Vec<u8>,
    },
    /// A log line; `true` for a warning.
    Log(String, bool),
    /// The member has left, as far as it can know.
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
    /// Operators' proposals: the client's id and the ticket.
    tickets: Vec<(u64, u64)>,
    /// The last logged error of opening the disk.
    open_error: String,
    has_left: bool,
    /// The newest epoch of each part's view; `None` if there are no parts.
    epochs: Option<BTreeMap<String, u64>>,
}

impl Member {
    /// Creates an incarnation of a member; it votes if it has a disk.
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

    /// The client side of the fleet.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// The voter, while its disk is open.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// The voter, while its disk is open.
    pub fn voter_mut(&mut self) -> Option<&mut Voter> {
        self.voter.as_mut()
    }

    /// This incarnation.
    pub fn me(&self) -> &Holder {
        &self.setup.me
    }

    /// Handles an input and returns the outputs in order. `unix` is the wall-clock time since 1970.
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
                    // An empty disk gets the whole state from the other voters.
                    let aside = disk.set_aside();
                    let aside = aside.map_or_else(
                        |e| format!("cannot be moved aside: {e}"),
                        |()| "was moved aside".into(),
                    );
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
                    // Guards against views of a former leader that has not yet learned of its successor.
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
                // Messages that it has not sent yet are dropped.
                self.voter = None;
                match fault {
                    Fault::Disk(e) => {
                        let what = format!("the voter is stopped until its disk can be opened again: {e}");
                        outputs.push(Output::Log(what, true));
                    }
                    Fault::RolledBack(why) => {
                        let aside = self.disk.as_mut().map(|disk| disk.set_aside());
                        let what = match aside {
                            Some(Err(e)) => format!("it cannot be moved aside: {e}"),
                            _ => "it was moved aside, and this voter restarts with an empty disk".into(),
                        };
                        let what = format!("the voter's disk is older than its promises ({why}): {what}");
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
                    let what = "a later incarnation of this member is in the fleet, or this folder is an \
                                older copy: this one holds no lease until that one has ended";
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
