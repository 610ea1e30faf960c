//! Six real nodos in three regions with links that add delay: groups of clients follow the steering table,
//! the nearest region is found from passive measurements, and a region that is cut off loses its groups. The
//! tables are checked after the run from the histories of the nodos.

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
const LEASE_TTL: Duration = Duration::from_secs(1);
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);
const REGIONS: [&str; 3] = ["norte", "sur", "oeste"];
const NODOS: usize = 6;
/// Client groups, one per balancer; a third of them is nearest to each region, and `STRAY` starts at a
/// farther one.
const GROUPS: usize = 12;
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(4);
const FAR_ROUND_TRIP: Duration = Duration::from_millis(40);
/// The group that starts at a farther region. The table moves a hundredth of all traffic a second and can
/// save up ten of these; one group is less than that.
const STRAY: usize = 1;
/// Sequential requests of a client to one nodo: the gap between an answer and the next request is one round
/// trip.
const SEQUENTIAL_REQUESTS: usize = 4;

fn nearest_region(group: usize) -> usize {
    group % REGIONS.len()
}

/// Returns the region of a group's clients while there is no table.
fn initial_region(group: usize) -> usize {
    if group == STRAY { 2 } else { nearest_region(group) }
}

struct Deployment {
    fleet: Fleet,
    histories: PathBuf,
    /// Balancers from each group to each nodo.
    balancers: Vec<Vec<Balancer>>,
    _links: Vec<Link>,
    /// Per-mille shares of each group by region, as last read by the group's agent.
    shares: RefCell<Vec<Vec<u16>>>,
}

impl Deployment {
    async fn started() -> Rc<Deployment> {
        let mut fleet = Fleet::new(Path::new(PROGRAM), "steering", (NODOS, 3), LEASE_TTL, &[]).await.unwrap();
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
        let (mut balancers, mut links) = (Vec::new(), Vec::new());
        for group in 0..GROUPS {
            let mut group_balancers = Vec::new();
            for (n, nodo) in fleet.nodos.iter().enumerate() {
                let link = Link::start(nodo.address, (group * NODOS + n) as u64).await;
                let round_trip =
                    if n % 3 == nearest_region(group) { NEAR_ROUND_TRIP } else { FAR_ROUND_TRIP };
                link.set(Way::There, Fault::Late(round_trip / 2, Duration::ZERO));
                link.set(Way::Back, Fault::Late(round_trip / 2, Duration::ZERO));
                group_balancers.push(Balancer::new(link.address(), 1 + group as u64, None));
                links.push(link);
            }
            balancers.push(group_balancers);
        }
        let initial_shares =
            |group: usize| (0..3).map(|r| if r == initial_region(group) { 1000 } else { 0 }).collect();
        let shares = RefCell::new((0..GROUPS).map(initial_shares).collect());
        Rc::new(Deployment { fleet, histories, balancers, _links: links, shares })
    }

    /// Starts a group's clients, which send a few sequential requests to the region chosen by the shares. A
    /// third of them ignore the table and use the regions in turn.
    fn start_clients(self: &Rc<Deployment>, group: usize) {
        let deployment = self.clone();
        spawn_local(async move {
            for n in 0usize.. {
                let shares = deployment.shares.borrow()[group].clone();
                // A fixed order that spreads evenly: 619 and 1000 have no common divisor.
                let mut at = ((n * 619 + group * 97) % 1000) as u16;
                let by_table = shares.iter().position(|share| match at.checked_sub(*share) {
                    None => true,
                    Some(rest) => {
                        at = rest;
                        false
                    }
                });
                let region = if n % 3 == 0 { n / 3 % 3 } else { by_table.unwrap_or(0) };
                let balancer = &deployment.balancers[group][region + 3 * (n / 9 % 2)];
                for _ in 0..SEQUENTIAL_REQUESTS {
                    balancer.send(&Request::new("read", b"x"), Duration::from_secs(1)).await;
                }
            }
        });
    }

    /// Returns the steering state that a nodo shows.
    async fn show(&self, n: usize) -> Option<Value> {
        let reply = self.fleet.incarnations[n].as_ref()?.call("STEERING SHOW");
        let answer = timeout(Duration::from_secs(1), reply).await.ok()?;
        serde_json::from_str(answer.strip_suffix("\r\n.\r\n")?).ok()
    }

    /// Waits until the rows of the groups in this nodo's table meet the condition; meanwhile the agents of
    /// all groups follow the table.
    async fn wait_for_rows(&self, n: usize, groups: &[usize], condition: impl Fn(&Value) -> bool) {
        loop {
            if let Some(shown) = self.show(n).await {
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
                        .is_some_and(|row| condition(&row["row"]))
                };
                if groups.iter().all(row) {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn within<T>(&self, what: &str, future: impl Future<Output = T>) -> T {
        match timeout(PROGRESS_TIMEOUT, future).await {
            Ok(output) => output,
            Err(_) => panic!("timed out: {what}: {:#?} {}", self.show(0).await, self.fleet.logs()),
        }
    }

    /// Runs a `steering` command of the program against a nodo and returns its output.
    fn run_command(&self, n: usize, args: &[&str]) -> String {
        let at = self.fleet.incarnations[n].as_ref().unwrap().admin.to_string();
        let output = Command::new(PROGRAM).arg("steering").args(args).args(["--at", &at]).output().unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    }
}

fn has_majority_share(row: &Value, region: &str) -> bool {
    let places = row["places"].as_array().unwrap();
    places.iter().any(|place| place["region"] == region && place["share"].as_u64() > Some(500))
}

#[test]
fn groups_move_to_the_nearest_region_and_leave_a_cut_off_one() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let deployment = Deployment::started().await;
        deployment.within("votes of the voters", deployment.fleet.wait_for_votes()).await;
        (0..GROUPS).for_each(|group| deployment.start_clients(group));
        let near = REGIONS[nearest_region(STRAY)];
        deployment
            .within(
                "move to the nearest region",
                deployment.wait_for_rows(0, &[STRAY], |row| has_majority_share(row, near)),
            )
            .await;
        let why = deployment.run_command(2, &["why", "balancer:2"]);
        assert!(why.contains(&format!("in {near} (")), "{why}");
        println!("{why}{}", deployment.run_command(0, &["show"]));

        // The second region is cut off from all others; its own clients still reach it until their table
        // moves.
        for n in [1, 4] {
            deployment.fleet.isolate(n, Fault::Cut);
        }
        let lost: Vec<usize> = (0..GROUPS).filter(|group| nearest_region(*group) == 1).collect();
        deployment
            .within(
                "move away from the cut-off region",
                deployment.wait_for_rows(0, &lost, |row| !has_majority_share(row, near)),
            )
            .await;
        let why = deployment.run_command(0, &["why", "balancer:5"]);
        let (served, others) = why.split_once(" Others: ").unwrap();
        assert!(!served.contains("in sur") && others.contains("sur "), "{why}");
        println!("{why}");
        // The reconnected nodos receive the later tables.
        deployment.fleet.heal();
        let epoch = |shown: Option<Value>| shown.and_then(|shown| shown["epoch"].as_u64());
        let last = epoch(deployment.show(0).await).unwrap();
        let table_received = async {
            for n in [1, 4] {
                while epoch(deployment.show(n).await) < Some(last) {
                    sleep(Duration::from_millis(100)).await;
                }
            }
        };
        deployment.within("the newest table at the reconnected nodos", table_received).await;
        // Checks the histories of the tables that each nodo used.
        let report = check_folder(&deployment.histories).unwrap();
        assert!(report.is_fine(), "{:#?} {}", report.verdicts, deployment.fleet.logs());
        let steering = report.verdicts.iter().find(|(of, _)| *of == "epochs");
        let Some((_, Verdict::Fine(figures))) = steering else { panic!("{:?}", report.verdicts) };
        assert!(figures.keys == NODOS as u64 && figures.records >= 2 * figures.keys, "{figures:?}");
        println!("{} tables were seen by {} nodos", figures.records, figures.keys);
    });
}
