//! Members with parts, without sockets: a message arrives at once or never.

use super::tests::{Memory, Shared, TIMING, bootstrapped_for, setup};
use super::*;
use jaspershunt_fleet::Fleet;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};

/// An entry that makes the view [`jaspershunt_fleet::parts::MAX_VIEW_BYTES`] long.
const WIDE: &[u8] = b"wide";

/// Records its entries and the members; its view is the last entry, for every member.
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

/// Proposes entries once a member is missing, and more of them than the leader takes at once.
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
    /// The member whose wall clock is an hour ahead.
    ahead: Option<String>,
    now: Duration,
    starts: u64,
    /// The views that each member got, the outcomes of proposals and the log lines.
    views: BTreeMap<String, Vec<(u64, Vec<u8>)>>,
    settled: Vec<Option<Outcome>>,
    logged: Vec<String>,
}

const VOTERS: [&str; 3] = ["n1", "n2", "n3"];

impl Net {
    fn new(names: &[&str]) -> Net {
        let mut net = Net::default();
        net.disks.insert("n1".into(), bootstrapped_for("n1"));
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

    fn run(&mut self, length: Duration) {
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
        self.run(Duration::from_millis(100));
        self.settled.pop().flatten()
    }

    fn leader(&self) -> Option<&str> {
        let is_leader = |member: &Member| member.voter().is_some_and(Voter::is_leader);
        self.members.iter().find(|(_, member)| is_leader(member)).map(|(name, _)| name.as_str())
    }

    fn last_view(&self, name: &str) -> Option<&(u64, Vec<u8>)> {
        self.views.get(name)?.last()
    }
}

const LEASE: Duration = TIMING.ttl;

/// The view of an entry that a non-voter proposed reaches all members, also after the loss of the leader, and
/// no epoch decreases.
#[test]
fn views_reach_all_members_and_epochs_never_decrease() {
    let mut net = Net::new(&["n1", "n2", "n3", "n4", "n5"]);
    net.run(5 * LEASE);
    let outcome = net.propose("n4", b"one");
    assert_eq!(outcome, Some(Outcome::Part(vec![1])));
    for name in ["n1", "n2", "n3", "n4", "n5"] {
        assert_eq!(net.last_view(name), Some(&(1, b"one".to_vec())), "{name}");
    }
    // A member that was cut off only gets the newest view after it is back, and was not removed.
    net.cut.insert("n5".into());
    for _ in 0..3 {
        net.propose("n4", b"more");
    }
    net.propose("n4", b"newest");
    net.cut.remove("n5");
    net.run(LEASE);
    assert_eq!(net.views["n5"], [(1, b"one".to_vec()), (5, b"newest".to_vec())]);
    // The leader is lost, and another one takes over.
    let leader = net.leader().unwrap().to_string();
    net.members.remove(&leader);
    net.run(3 * LEASE);
    let next = net.leader().unwrap().to_string();
    assert_ne!(next, leader);
    assert_eq!(net.propose("n5", b"after"), Some(Outcome::Part(vec![6])));
    for (name, views) in &net.views {
        assert!(views.is_sorted_by(|one, other| one.0 < other.0), "{name}: {views:?}");
        assert!(*name == leader || views.last().unwrap().0 == 6, "{name}: {views:?}");
    }
    // Views that a former leader still sends are ignored.
    let views = vec![PartView { name: "board".into(), epoch: 3, bytes: b"more".to_vec() }];
    net.step("n4", Input::Received { from: Holder::new(&leader, 1), message: Message::PartViews { views } });
    assert_eq!(net.last_view("n4").unwrap().0, 6);
}

/// A new voter with an empty disk and a restarted voter get the parts from a snapshot.
#[test]
fn a_snapshot_carries_parts() {
    let mut net = Net::new(&["n1"]);
    net.run(3 * LEASE);
    assert_eq!(net.propose("n1", b"one"), Some(Outcome::Part(vec![1])));
    net.start("n2", boards, no_part_proposals);
    net.run(5 * LEASE);
    assert_eq!(board(&net.members["n2"]), board(&net.members["n1"]));
    assert_eq!(board(&net.members["n2"]).entries, [b"one"]);
    // The voter slots changed, so the snapshot on the disk covers that entry.
    net.members.remove("n1");
    net.members.remove("n2");
    let (_, found) =
        crate::store::Store::open(Box::new(net.disks["n1"].clone()), "cordoba", "n1", [1, 2]).unwrap();
    let kept = crate::voter::VoterState::load(&found.snapshot.data, boards()).unwrap();
    assert_eq!(board_of(kept.state()).entries, [b"one"]);
    net.start("n1", boards, no_part_proposals);
    net.run(Duration::from_millis(50));
    assert_eq!(board(&net.members["n1"]).entries, [b"one"]);
}

/// A voter that did not know a part while its entries were applied gives up its disk and gets the state from
/// the others; a leader that does not know the part refuses its entries.
#[test]
fn a_voter_that_did_not_know_a_part_discards_its_disk() {
    let mut net = Net::new(&["n1", "n4"]);
    for name in ["n2", "n3"] {
        net.start(name, no_parts, no_part_proposals);
    }
    net.run(5 * LEASE);
    assert_eq!(net.leader(), Some("n1"));
    assert_eq!(net.propose("n4", b"one"), Some(Outcome::Part(vec![1])));
    net.members.remove("n1");
    net.run(3 * LEASE);
    assert!(matches!(net.leader(), Some("n2" | "n3")));
    assert_eq!(net.propose("n4", b"two"), Some(Outcome::Refused(jaspershunt_fleet::Refusal::NotFound)));
    for name in ["n1", "n2", "n3"] {
        net.start(name, boards, no_part_proposals);
        net.run(5 * LEASE);
    }
    assert!(net.leader().is_some(), "{:?}", net.logged);
    assert_eq!(net.propose("n4", b"two"), Some(Outcome::Part(vec![2])));
    for name in VOTERS {
        assert_eq!(board(&net.members[name]).entries, [b"one", b"two"], "{name}: {:?}", net.logged);
    }
}

/// With parts, a lost member is removed after little more than a lease's duration. The leader then proposes
/// what the parts need, within its bound.
#[test]
fn a_lost_member_is_removed_after_a_lease_and_the_leader_proposes_for_parts() {
    let mut net = Net::new(&[]);
    for name in ["n1", "n2", "n3", "n4"] {
        net.start(name, boards, proposals_when_one_is_missing);
    }
    net.run(5 * LEASE);
    assert_eq!(net.propose("n4", b"one"), Some(Outcome::Part(vec![1])));
    assert_eq!(board(&net.members["n1"]).members.len(), 4);
    net.members.remove("n4");
    net.ahead = net.leader().map(String::from);
    let lost = net.now;
    while board(&net.members["n1"]).entries.len() == 1 {
        net.run(tick(TIMING));
        assert!(net.now - lost < 2 * LEASE, "{:?}", board(&net.members["n1"]));
    }
    // Its last renewal request was sent up to a quarter of a lease's duration earlier.
    let took = (net.now - lost).as_secs_f64() / LEASE.as_secs_f64();
    assert!((0.75..1.2).contains(&took), "{took}");
    net.run(LEASE);
    let entries = &board(&net.members["n2"]).entries;
    assert_eq!(entries.len(), 1 + crate::voter::MAX_PART_PROPOSALS);
    let proposed_at = u64::from_le_bytes(entries[1][..].try_into().unwrap());
    let proposed_at = Duration::from_millis(proposed_at) - Duration::from_secs(1000);
    // By the fleet's time, not the leader's own clock.
    assert!(lost < proposed_at && proposed_at < net.now + Duration::from_secs(1), "{proposed_at:?}");
}

/// The bytes of views sent in one tick are bounded; members left out come first in the next tick, so none
/// starves.
#[test]
fn view_bytes_per_tick_are_bounded_and_no_member_starves() {
    let names: Vec<String> = (1..=20).map(|n| format!("n{n}")).collect();
    let mut net = Net::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
    net.run(5 * LEASE);
    let max_views = crate::voter::MAX_VIEW_BYTES_PER_TICK / jaspershunt_fleet::parts::MAX_VIEW_BYTES;
    let entry = Entry::Part { part: "board".into(), bytes: WIDE.to_vec() };
    net.step("n20", Input::Propose { ticket: 1, entry });
    let mut ticks = Vec::new();
    let mut before = 0;
    for _ in 0..10 {
        net.run(tick(TIMING));
        let reached = net.views.len();
        ticks.push(reached - before);
        before = reached;
    }
    assert!(ticks.iter().all(|sent| *sent <= max_views), "{ticks:?}");
    assert!(ticks.contains(&max_views) && before == names.len(), "{ticks:?}");
}

/// A member tracks at most [`MAX_PARTS`] parts, however many a peer names.
#[test]
fn a_member_tracks_a_bounded_number_of_parts() {
    let mut net = Net::new(&["n4"]);
    let view = |n| PartView { name: format!("p{n}"), epoch: 1, bytes: Vec::new() };
    let views: Vec<PartView> = (0..2 * MAX_PARTS).map(view).collect();
    let message = Message::PartViews { views };
    net.step("n4", Input::Received { from: Holder::new("n5", 1), message: message.clone() });
    assert!(net.views.is_empty(), "only voters send views");
    net.step("n4", Input::Received { from: Holder::new("n1", 1), message });
    assert_eq!(net.views["n4"].len(), MAX_PARTS);
}
