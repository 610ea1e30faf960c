//! Members with parts, without sockets: what one says reaches the other at once, or never.

use super::tests::{Memory, Shared, TIMING, founded_for, setup};
use super::*;
use jaspershunt_fleet::Fleet;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};

/// What shows everyone [`jaspershunt_fleet::parts::MAX_VIEW_BYTES`] bytes.
const WIDE: &[u8] = b"wide";

/// Keeps its entries and the members as it heard of them; shows everyone the last entry.
#[derive(Debug, Default, PartialEq)]
struct Board {
    entries: Vec<Vec<u8>>,
    members: Vec<String>,
}

impl Part for Board {
    fn name(&self) -> &'static str {
        "board"
    }

    fn apply(&mut self, _: &Fleet, entry: &[u8]) -> Vec<u8> {
        self.entries.push(entry.to_vec());
        vec![self.entries.len() as u8]
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        self.members = fleet.members().map(|(name, _)| name.to_string()).collect();
    }

    fn epoch(&self, _: &Holder) -> u64 {
        self.entries.len() as u64
    }

    fn view_for(&self, _: &Holder) -> Vec<u8> {
        let last = self.entries.last().cloned().unwrap_or_default();
        if last == WIDE { vec![7; jaspershunt_fleet::parts::MAX_VIEW_BYTES] } else { last }
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&(&self.entries, &self.members)).unwrap()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let loaded = postcard::from_bytes(bytes);
        loaded.map(|(entries, members)| *self = Board { entries, members }).is_ok()
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}

fn boards() -> Vec<Box<dyn Part>> {
    vec![Box::new(Board::default())]
}

fn board(member: &Member) -> &Board {
    board_of(member.voter().unwrap().state())
}

fn board_of(state: &ReplicatedState) -> &Board {
    state.part("board").unwrap().as_any().downcast_ref().unwrap()
}

/// Says who was last seen to be missing, once for each; and more than is taken in one go.
fn proposals_when_one_is_missing(unix_ms: u64, state: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    let board = board_of(state);
    if board.members.len() != 3 || board.entries.len() > 1 {
        return Vec::new();
    }
    let entry = ("board".to_string(), unix_ms.to_le_bytes().to_vec());
    vec![entry; 10 * crate::voter::MAX_PART_PROPOSALS]
}

#[derive(Default)]
struct Net {
    members: BTreeMap<String, Member>,
    disks: BTreeMap<String, Shared>,
    cut: BTreeSet<String>,
    /// Whose clock on the wall is an hour ahead.
    ahead: Option<String>,
    now: Duration,
    starts: u64,
    /// What parts showed each, and what became of entries.
    views: BTreeMap<String, Vec<(u64, Vec<u8>)>>,
    settled: Vec<Option<Outcome>>,
    logged: Vec<String>,
}

const VOTERS: [&str; 3] = ["n1", "n2", "n3"];

impl Net {
    fn new(names: &[&str]) -> Net {
        let mut net = Net::default();
        net.disks.insert("n1".into(), founded_for("n1"));
        names.iter().for_each(|name| net.start(name, boards, no_part_proposals));
        net
    }

    fn start(&mut self, name: &str, parts: fn() -> Vec<Box<dyn Part>>, part_proposals: PartProposals) {
        self.starts += 1;
        let voters = VOTERS.map(String::from).to_vec();
        let setup = Setup { voters, tasks: Vec::new(), parts, part_proposals, ..setup(name, self.starts) };
        let mut count = 1000 * self.starts;
        let random = Box::new(move || {
            count += 1;
            count
        });
        let disk = self.disks.entry(name.into()).or_default().clone();
        let disk = Box::new(Memory { disk, aside: Default::default() }) as Box<dyn Disk>;
        let disk = VOTERS.contains(&name).then_some(disk);
        self.members.insert(name.into(), Member::new(setup, disk, random, self.now));
    }

    fn step(&mut self, name: &str, input: Input) {
        let mut inputs = VecDeque::from([(name.to_string(), input)]);
        while let Some((name, input)) = inputs.pop_front() {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let me = member.me().clone();
            let hour = if self.ahead.as_ref() == Some(&name) { 3600 } else { 0 };
            for output in member.step(self.now, Duration::from_secs(1000 + hour) + self.now, input) {
                match output {
                    Output::Send { to, message } => {
                        let to = match to {
                            Recipient::Voter(name) => name,
                            Recipient::Holder(holder) => holder.member,
                        };
                        if !self.cut.contains(&to) && !self.cut.contains(&name) {
                            inputs.push_back((to, Input::Received { from: me.clone(), message }));
                        }
                    }
                    Output::Part { epoch, bytes, .. } => {
                        self.views.entry(name.clone()).or_default().push((epoch, bytes));
                    }
                    Output::Settled { outcome, .. } => self.settled.push(outcome),
                    Output::Log(what, _) => self.logged.push(what),
                    _ => {}
                }
            }
        }
    }

    fn play(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += tick(TIMING);
            let names: Vec<String> = self.members.keys().cloned().collect();
            names.iter().for_each(|name| self.step(name, Input::Tick));
        }
    }

    fn propose(&mut self, name: &str, bytes: &[u8]) -> Option<Outcome> {
        self.settled.clear();
        let entry = Entry::Part { part: "board".into(), bytes: bytes.to_vec() };
        self.step(name, Input::Propose { ticket: 1, entry });
        self.play(Duration::from_millis(100));
        self.settled.pop().flatten()
    }

    fn leader(&self) -> Option<&str> {
        let is_leader = |member: &Member| member.voter().is_some_and(Voter::is_leader);
        self.members.iter().find(|(_, member)| is_leader(member)).map(|(name, _)| name.as_str())
    }

    fn last_shown(&self, name: &str) -> Option<&(u64, Vec<u8>)> {
        self.views.get(name)?.last()
    }
}

const LEASE: Duration = TIMING.ttl;

/// An entry of one that does not vote is seen by all, through the loss of the one that leads, and no epoch goes back.
#[test]
fn what_a_part_shows_reaches_all_and_never_goes_back() {
    let mut net = Net::new(&["n1", "n2", "n3", "n4", "n5"]);
    net.play(5 * LEASE);
    let outcome = net.propose("n4", b"one");
    assert_eq!(outcome, Some(Outcome::Part(vec![1])));
    for name in ["n1", "n2", "n3", "n4", "n5"] {
        assert_eq!(net.last_shown(name), Some(&(1, b"one".to_vec())), "{name}");
    }
    // One that is away hears the newest alone, once it is back, and is still a member to whom it is shown.
    net.cut.insert("n5".into());
    for _ in 0..3 {
        net.propose("n4", b"more");
    }
    net.propose("n4", b"newest");
    net.cut.remove("n5");
    net.play(LEASE);
    assert_eq!(net.views["n5"], [(1, b"one".to_vec()), (5, b"newest".to_vec())]);
    // The one that leads is lost; another goes on.
    let leader = net.leader().unwrap().to_string();
    net.members.remove(&leader);
    net.play(3 * LEASE);
    let next = net.leader().unwrap().to_string();
    assert_ne!(next, leader);
    assert_eq!(net.propose("n5", b"after"), Some(Outcome::Part(vec![6])));
    for (name, views) in &net.views {
        assert!(views.is_sorted_by(|one, other| one.0 < other.0), "{name}: {views:?}");
        assert!(*name == leader || views.last().unwrap().0 == 6, "{name}: {views:?}");
    }
    // What an earlier leader still says is passed over.
    let views = vec![PartView { name: "board".into(), epoch: 3, bytes: b"more".to_vec() }];
    net.step("n4", Input::Received { from: Holder::new(&leader, 1), message: Message::PartViews { views } });
    assert_eq!(net.last_shown("n4").unwrap().0, 6);
}

/// A voter that comes with an empty disk, and one that starts again, have the parts from a snapshot.
#[test]
fn a_snapshot_carries_parts() {
    let mut net = Net::new(&["n1"]);
    net.play(3 * LEASE);
    assert_eq!(net.propose("n1", b"one"), Some(Outcome::Part(vec![1])));
    net.start("n2", boards, no_part_proposals);
    net.play(5 * LEASE);
    assert_eq!(board(&net.members["n2"]), board(&net.members["n1"]));
    assert_eq!(board(&net.members["n2"]).entries, [b"one"]);
    // The seats changed, so the snapshot on the disk is behind that entry.
    net.members.remove("n1");
    net.members.remove("n2");
    let (_, found) =
        crate::store::Store::open(Box::new(net.disks["n1"].clone()), "cordoba", "n1", [1, 2]).unwrap();
    let kept = crate::voter::VoterState::load(&found.snapshot.data, boards()).unwrap();
    assert_eq!(board_of(kept.state()).entries, [b"one"]);
    net.start("n1", boards, no_part_proposals);
    net.play(Duration::from_millis(50));
    assert_eq!(board(&net.members["n1"]).entries, [b"one"]);
}

/// A voter that did not know a part while its entries went by gives its disk up and learns from the others; one that leads without
/// knowing it lets none into the log.
#[test]
fn a_voter_that_did_not_know_a_part_learns_it_anew() {
    let mut net = Net::new(&["n1", "n4"]);
    for name in ["n2", "n3"] {
        net.start(name, no_parts, no_part_proposals);
    }
    net.play(5 * LEASE);
    assert_eq!(net.leader(), Some("n1"));
    assert_eq!(net.propose("n4", b"one"), Some(Outcome::Part(vec![1])));
    net.members.remove("n1");
    net.play(3 * LEASE);
    assert!(matches!(net.leader(), Some("n2" | "n3")));
    assert_eq!(net.propose("n4", b"two"), Some(Outcome::Refused(jaspershunt_fleet::Refusal::NotFound)));
    for name in ["n1", "n2", "n3"] {
        net.start(name, boards, no_part_proposals);
        net.play(5 * LEASE);
    }
    assert!(net.leader().is_some(), "{:?}", net.logged);
    assert_eq!(net.propose("n4", b"two"), Some(Outcome::Part(vec![2])));
    for name in VOTERS {
        assert_eq!(board(&net.members[name]).entries, [b"one", b"two"], "{name}: {:?}", net.logged);
    }
}

/// One that is lost has gone after little more than a lease's time where parts show it something, and what parts want then is
/// proposed by the one that leads, within its bound.
#[test]
fn a_lost_member_has_gone_after_a_leases_time_and_parts_are_led() {
    let mut net = Net::new(&[]);
    for name in ["n1", "n2", "n3", "n4"] {
        net.start(name, boards, proposals_when_one_is_missing);
    }
    net.play(5 * LEASE);
    assert_eq!(net.propose("n4", b"one"), Some(Outcome::Part(vec![1])));
    assert_eq!(board(&net.members["n1"]).members.len(), 4);
    net.members.remove("n4");
    net.ahead = net.leader().map(String::from);
    let lost = net.now;
    while board(&net.members["n1"]).entries.len() == 1 {
        net.play(tick(TIMING));
        assert!(net.now - lost < 2 * LEASE, "{:?}", board(&net.members["n1"]));
    }
    // Its last question was up to a quarter of a lease's time before.
    let took = (net.now - lost).as_secs_f64() / LEASE.as_secs_f64();
    assert!((0.75..1.2).contains(&took), "{took}");
    net.play(LEASE);
    let entries = &board(&net.members["n2"]).entries;
    assert_eq!(entries.len(), 1 + crate::voter::MAX_PART_PROPOSALS);
    let told = u64::from_le_bytes(entries[1][..].try_into().unwrap());
    let told = Duration::from_millis(told) - Duration::from_secs(1000);
    // By the fleet's time, not its own.
    assert!(lost < told && told < net.now + Duration::from_secs(1), "{told:?}");
}

/// In one tick so much is said and no more; whoever waits is first in the next, and nobody waits for ever.
#[test]
fn what_is_shown_in_one_tick_is_bounded_and_all_have_their_turn() {
    let names: Vec<String> = (1..=20).map(|n| format!("n{n}")).collect();
    let mut net = Net::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
    net.play(5 * LEASE);
    let most = crate::voter::MAX_VIEW_BYTES_PER_TICK / jaspershunt_fleet::parts::MAX_VIEW_BYTES;
    let entry = Entry::Part { part: "board".into(), bytes: WIDE.to_vec() };
    net.step("n20", Input::Propose { ticket: 1, entry });
    let mut ticks = Vec::new();
    let mut before = 0;
    for _ in 0..10 {
        net.play(tick(TIMING));
        let reached = net.views.len();
        ticks.push(reached - before);
        before = reached;
    }
    assert!(ticks.iter().all(|told| *told <= most), "{ticks:?}");
    assert!(ticks.contains(&most) && before == names.len(), "{ticks:?}");
}

/// However many parts another names, a member keeps count of so many.
#[test]
fn a_member_counts_so_many_parts() {
    let mut net = Net::new(&["n4"]);
    let view = |n| PartView { name: format!("p{n}"), epoch: 1, bytes: Vec::new() };
    let views: Vec<PartView> = (0..2 * MAX_PARTS).map(view).collect();
    let message = Message::PartViews { views };
    net.step("n4", Input::Received { from: Holder::new("n5", 1), message: message.clone() });
    assert!(net.views.is_empty(), "only voters say so");
    net.step("n4", Input::Received { from: Holder::new("n1", 1), message });
    assert_eq!(net.views["n4"].len(), MAX_PARTS);
}
