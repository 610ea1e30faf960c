//! Six real nodos in three regions with links that add delay: groups of clients go where the table says, the near region is found by what is
//! measured in passing, and a region that is cut off loses its groups. Tables are judged after the fact by what each nodo wrote down.

use jaspershunt_histories::check_folder;
use jaspershunt_histories::verdict::Verdict;
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::fleet::Fleet;
use jaspershunt_stand_ins::link::{Fault, Link, Way};
use serde_json::Value;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const TTL: Duration = Duration::from_secs(1);
const GENEROUS: Duration = Duration::from_secs(60);
const REGIONS: [&str; 3] = ["norte", "sur", "oeste"];
const NODOS: usize = 6;
/// Groups, each a balancer's; a third is nearest to each region, and the first comes to another one at first.
const GROUPS: usize = 12;
const NEAR: Duration = Duration::from_millis(4);
const FAR: Duration = Duration::from_millis(40);
/// The table moves a hundredth of all traffic a second, and has saved up ten of these: a group is less than that.
const STRAY: usize = 1;
/// Requests that a client sends one after the other to one nodo: what lies between an answer and the next is a way there and back.
const IN_A_ROW: usize = 4;

fn home(group: usize) -> usize {
    group % REGIONS.len()
}

/// Where a group's clients go while there is no table.
fn first(group: usize) -> usize {
    if group == STRAY { 2 } else { home(group) }
}

struct Rig {
    fleet: Fleet,
    histories: PathBuf,
    /// From each group to each nodo.
    ways: Vec<Vec<Balancer>>,
    _links: Vec<Link>,
    /// The shares of each group by region, as its agent knows them.
    shares: RefCell<Vec<Vec<u16>>>,
}

impl Rig {
    async fn started() -> Rc<Rig> {
        let mut fleet = Fleet::new(Path::new(PROGRAM), "steering", (NODOS, 3), TTL, &[]).await.unwrap();
        let histories = fleet.nodos[0].folder.join("histories");
        for (n, nodo) in fleet.nodos.iter_mut().enumerate() {
            let site = nodo.operator.take().unwrap();
            let region = REGIONS[n % 3];
            let site = site.replacen("fleet {\n", &format!("fleet {{\n  region = \"{region}\"\n"), 1);
            let steering =
                "steering {\n  every = \"400ms\"\n  capacity = \"500/s\"\n  delays = \"gaps\"\n}\n";
            let history = format!("history {{\n  folder = \"{}\"\n}}\n", histories.display());
            nodo.operator = Some(format!("{site}{steering}{history}"));
        }
        fleet.start_all().await.unwrap();
        let (mut ways, mut links) = (Vec::new(), Vec::new());
        for group in 0..GROUPS {
            let mut of = Vec::new();
            for (n, nodo) in fleet.nodos.iter().enumerate() {
                let link = Link::start(nodo.address, (group * NODOS + n) as u64).await;
                let late = if n % 3 == home(group) { NEAR } else { FAR };
                link.set(Way::There, Fault::Late(late / 2, Duration::ZERO));
                link.set(Way::Back, Fault::Late(late / 2, Duration::ZERO));
                of.push(Balancer::new(link.address(), 1 + group as u64, None));
                links.push(link);
            }
            ways.push(of);
        }
        let alone = |group: usize| (0..3).map(|r| if r == first(group) { 1000 } else { 0 }).collect();
        let shares = RefCell::new((0..GROUPS).map(alone).collect());
        Rc::new(Rig { fleet, histories, ways, _links: links, shares })
    }

    /// A group's clients: a few requests one after the other, in the region on which their share of a thousand falls. A third of them
    /// go by no table, and try each region in turn.
    fn clients(self: &Rc<Rig>, group: usize) {
        let rig = self.clone();
        spawn_local(async move {
            for n in 0usize.. {
                let shares = rig.shares.borrow()[group].clone();
                // In a fixed order that spreads evenly: 619 and 1000 have no common divisor.
                let mut at = ((n * 619 + group * 97) % 1000) as u16;
                let by_table = shares.iter().position(|share| match at.checked_sub(*share) {
                    None => true,
                    Some(rest) => {
                        at = rest;
                        false
                    }
                });
                let region = if n % 3 == 0 { n / 3 % 3 } else { by_table.unwrap_or(0) };
                let way = &rig.ways[group][region + 3 * (n / 9 % 2)];
                for _ in 0..IN_A_ROW {
                    way.send(&Request::new("read", b"x"), Duration::from_secs(1)).await;
                }
            }
        });
    }

    /// What a nodo shows.
    async fn look(&self, n: usize) -> Option<Value> {
        let asked = self.fleet.incarnations[n].as_ref()?.call("STEERING SHOW");
        let answer = timeout(Duration::from_secs(1), asked).await.ok()?;
        serde_json::from_str(answer.strip_suffix("\r\n.\r\n")?).ok()
    }

    /// Until the table, as this nodo has it, sends a group there; the agents of all groups go by it meanwhile.
    async fn served_in(&self, n: usize, groups: &[usize], region: impl Fn(&Value) -> bool) {
        loop {
            if let Some(shown) = self.look(n).await {
                let rows = shown["rows"].as_array().unwrap();
                for entry in rows {
                    let name = entry["group"].as_str().unwrap();
                    let Some(number) = name.strip_prefix("balancer:") else { continue };
                    let places = entry["row"]["places"].as_array().unwrap();
                    let share = |region: &str| {
                        let place = places.iter().find(|place| place["region"] == region);
                        place.map_or(0, |place| place["share"].as_u64().unwrap() as u16)
                    };
                    let number: usize = number.parse().unwrap();
                    self.shares.borrow_mut()[number - 1] = REGIONS.map(share).to_vec();
                }
                let row = |group: &usize| {
                    let name = format!("balancer:{}", group + 1);
                    rows.iter()
                        .find(|entry| entry["group"] == name.as_str())
                        .is_some_and(|row| region(&row["row"]))
                };
                if groups.iter().all(row) {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn within<T>(&self, what: &str, done: impl Future<Output = T>) -> T {
        match timeout(GENEROUS, done).await {
            Ok(done) => done,
            Err(_) => panic!("{what}: {:#?} {}", self.look(0).await, self.fleet.logs()),
        }
    }

    fn says(&self, n: usize, args: &[&str]) -> String {
        let at = self.fleet.incarnations[n].as_ref().unwrap().admin.to_string();
        let said = Command::new(PROGRAM).arg("steering").args(args).args(["--at", &at]).output().unwrap();
        assert!(said.status.success(), "{said:?}");
        String::from_utf8(said.stdout).unwrap()
    }
}

fn main_is(row: &Value, region: &str) -> bool {
    let places = row["places"].as_array().unwrap();
    places.iter().any(|place| place["region"] == region && place["share"].as_u64() > Some(500))
}

#[test]
fn the_near_region_is_found_and_a_lost_one_is_left() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let rig = Rig::started().await;
        rig.within("its votes", rig.fleet.wait_for_votes()).await;
        (0..GROUPS).for_each(|group| rig.clients(group));
        let near = REGIONS[home(STRAY)];
        rig.within("the near region", rig.served_in(0, &[STRAY], |row| main_is(row, near))).await;
        let why = rig.says(2, &["why", "balancer:2"]);
        assert!(why.contains(&format!("in {near} (")), "{why}");
        println!("{why}{}", rig.says(0, &["show"]));

        // The second region is cut off from all others; its own clients still reach it until their table moves.
        for n in [1, 4] {
            rig.fleet.isolate(n, Fault::Cut);
        }
        let lost: Vec<usize> = (0..GROUPS).filter(|group| home(*group) == 1).collect();
        rig.within("a lost region", rig.served_in(0, &lost, |row| !main_is(row, near))).await;
        let why = rig.says(0, &["why", "balancer:5"]);
        let (served, others) = why.split_once(" Others: ").unwrap();
        assert!(!served.contains("in sur") && others.contains("sur "), "{why}");
        println!("{why}");
        // Who was cut off hears of the tables since.
        rig.fleet.heal();
        let epoch = |shown: Option<Value>| shown.and_then(|shown| shown["epoch"].as_u64());
        let last = epoch(rig.look(0).await).unwrap();
        let heard = async {
            for n in [1, 4] {
                while epoch(rig.look(n).await) < Some(last) {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        rig.within("the newest table", heard).await;
        // What each nodo wrote down of the tables that it went by.
        let report = check_folder(&rig.histories).unwrap();
        assert!(report.is_fine(), "{:#?} {}", report.verdicts, rig.fleet.logs());
        let steering = report.verdicts.iter().find(|(of, _)| *of == "epochs");
        let Some((_, Verdict::Fine(figures))) = steering else { panic!("{:?}", report.verdicts) };
        assert!(figures.keys == NODOS as u64 && figures.records >= 2 * figures.keys, "{figures:?}");
        println!("{} tables were seen by {} nodos", figures.records, figures.keys);
    });
}
