use super::*;
use crate::store::Store;
use crate::voter::VoterState;
use jaspershunt_fleet::holder::Grade;
use jaspershunt_fleet::schedule::{Missed, Schedule};
use redb::backends::InMemoryBackend;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// An in-memory disk that several openings share.
#[derive(Debug, Clone, Default)]
pub struct Shared(Arc<Mutex<Vec<u8>>>);

impl StorageBackend for Shared {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> std::io::Result<Vec<u8>> {
        Ok(self.0.lock().unwrap()[offset as usize..offset as usize + len].to_vec())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        self.0.lock().unwrap().resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self, _: bool) -> std::io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.0.lock().unwrap()[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        Ok(())
    }
}

pub struct Memory {
    pub disk: Shared,
    pub aside: Rc<RefCell<u32>>,
}

impl Disk for Memory {
    fn open(&mut self) -> Result<Box<dyn StorageBackend>, StoreError> {
        Ok(Box::new(self.disk.clone()))
    }

    fn set_aside(&mut self) -> Result<(), StoreError> {
        *self.aside.borrow_mut() += 1;
        self.disk = Shared::default();
        Ok(())
    }
}

pub const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_secs(1), drift_permille: 50 };

pub fn setup(name: &str, incarnation: u64) -> Setup {
    let task = TaskSpec {
        name: "cierre".into(),
        when: Schedule::every(Duration::from_secs(5)).unwrap(),
        missed: Missed::Once,
        grade: Grade::Checked,
        timeout: Duration::from_secs(1),
        tries: 3,
        backoff: Duration::from_millis(100),
        max_lateness: Duration::from_secs(5),
    };
    Setup {
        fleet: "cordoba".into(),
        me: Holder::new(name, incarnation),
        voters: vec!["n1".into()],
        timing: TIMING,
        tasks: vec![task],
        parts: no_parts,
        part_proposals: no_part_proposals,
    }
}

fn bootstrapped() -> Shared {
    bootstrapped_for("n1")
}

pub fn bootstrapped_for(name: &str) -> Shared {
    let disk = Shared::default();
    let (mut store, found) = Store::open(Box::new(disk.clone()), "cordoba", name, [5, 6]).unwrap();
    assert!(found.is_new);
    store.bootstrap(5, VoterState::founded(5, name).save()).unwrap();
    disk
}

fn member(disk: Shared, incarnation: u64) -> (Member, Rc<RefCell<u32>>) {
    let mut count = 100 * incarnation;
    let random = Box::new(move || {
        count += 1;
        count
    });
    let aside = Rc::new(RefCell::new(0));
    let disk = Memory { disk, aside: aside.clone() };
    (Member::new(setup("n1", incarnation), Some(Box::new(disk)), random, Duration::ZERO), aside)
}

/// Runs a member alone; calls succeed at once.
fn run(member: &mut Member, from: Duration, length: Duration) -> Vec<Output> {
    let mut all = Vec::new();
    let mut now = from;
    while now < from + length {
        now += tick(TIMING);
        let unix = Duration::from_secs(1000) + now;
        let mut outputs = member.step(now, unix, Input::Tick);
        while let Some(output) = outputs.pop() {
            if let Output::Call(Call { task, number, .. }) = &output {
                let came = CallOutcome::Done(b"done".to_vec());
                let (task, number) = (task.clone(), *number);
                outputs.extend(member.step(now, unix, Input::CallEnded { task, number, outcome: came }));
            }
            all.push(output);
        }
    }
    all
}

/// A fleet of one member elects itself, runs its task, and continues after a restart.
#[test]
fn a_fleet_of_one_runs_its_tasks_over_restarts() {
    let disk = bootstrapped();
    let (mut first, _) = member(disk.clone(), 1);
    let calls =
        |outputs: &[Output]| outputs.iter().filter(|output| matches!(output, Output::Call(_))).count();
    let came = run(&mut first, Duration::ZERO, Duration::from_secs(12));
    assert_eq!(calls(&came), 2, "at 1005 and 1010: {came:?}");
    let voter = first.voter().unwrap();
    assert!(voter.is_leader() && voter.fleet().task("cierre").unwrap().last_due == Some(1010));
    let tokens = voter.fleet().last_token();
    drop(first);
    let (mut second, _) = member(disk, 2);
    let came = run(&mut second, Duration::from_secs(12), Duration::from_secs(6));
    assert_eq!(calls(&came), 1, "at 1015: {came:?}");
    assert!(second.voter().unwrap().fleet().last_token() > tokens);
    // A member reports when it has left.
    let now = Duration::from_secs(19);
    second.step(now, Duration::from_secs(1019), Input::Leave);
    let left = run(&mut second, now, Duration::from_millis(200));
    assert!(left.contains(&Output::Left), "{left:?}");
    assert_eq!(second.voter().unwrap().fleet().leases().count(), 0);
}

/// The answers to an operator's query and proposal carry their tickets.
#[test]
fn operators_queries_and_proposals_are_answered() {
    let (mut alone, _) = member(bootstrapped(), 1);
    run(&mut alone, Duration::ZERO, Duration::from_secs(2));
    let now = Duration::from_secs(2);
    let report = alone.step(now, Duration::from_secs(1002), Input::QueryState { ticket: 7 });
    let Some(Output::StateReport { ticket: 7, report }) =
        report.iter().find(|output| matches!(output, Output::StateReport { .. }))
    else {
        panic!("{report:?}")
    };
    assert_eq!((report.leader.as_deref(), report.age_ms, report.voter_slots.len()), (Some("n1"), Some(0), 1));
    let entry = Entry::Pause { task: "cierre".into(), paused: true };
    let settled = alone.step(now, Duration::from_secs(1002), Input::Propose { ticket: 8, entry });
    assert!(
        settled.contains(&Output::Settled { ticket: 8, outcome: Some(Outcome::Done), sent_again: false }),
        "{settled:?}"
    );
}

/// The disk of another member or another fleet is refused with an error that names the owner.
#[test]
fn a_disk_of_another_owner_is_refused() {
    let disk = bootstrapped();
    let other = Store::open(Box::new(disk.clone()), "salta", "n1", [1, 2]);
    assert!(other.is_err_and(|e| e.to_string().contains("the fleet \"cordoba\"")));
    let other = Store::open(Box::new(disk), "cordoba", "n2", [1, 2]);
    assert!(other.is_err_and(|e| e.to_string().contains("the member \"n1\"")));
    let noise = InMemoryBackend::new();
    noise.set_len(4096).unwrap();
    noise.write(0, &[0x55; 4096]).unwrap();
    assert!(Store::open(Box::new(noise), "cordoba", "n1", [1, 2]).is_err());
}

/// A heartbeat with a commit index beyond the own log shows that the disk was rolled back: it is never used
/// again.
#[test]
fn a_rolled_back_disk_is_moved_aside() {
    let (mut alone, aside) = member(bootstrapped(), 1);
    run(&mut alone, Duration::ZERO, Duration::from_millis(50));
    let mut beat = raft::eraftpb::Message::default();
    beat.set_msg_type(raft::eraftpb::MessageType::MsgHeartbeat);
    (beat.to, beat.from, beat.term, beat.commit) = (5, 9, 1, 400);
    let message = Message::Raft(crate::frame::RaftMessage::new(&beat, 1).unwrap());
    let from = Holder::new("n2", 1);
    let outputs =
        alone.step(Duration::from_millis(60), Duration::from_secs(1000), Input::Received { from, message });
    assert!(outputs.iter().any(|output| matches!(output, Output::Log(what, true) if what.contains("older"))));
    assert_eq!(*aside.borrow(), 1);
    run(&mut alone, Duration::from_secs(2), Duration::from_secs(1));
    assert_ne!(alone.voter().unwrap().disk(), 5);
}
