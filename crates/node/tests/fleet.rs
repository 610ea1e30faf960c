//! Five real nodos as a fleet, under faults of processes, links and disks. Safety is judged by the record of what was acted on, with no
//! allowance; progress within generous bounds.

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::fleet::{Fleet, Task, wait_for_acts};
use jaspershunt_stand_ins::link::{Fault, Way};
use jaspershunt_stand_ins::resource::Resource;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_blocking};
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const TTL: Duration = Duration::from_secs(1);
/// For anything to go on again; far more than the 2.5 leases' time that are measured, as machines are slow.
const GENEROUS: Duration = Duration::from_secs(40);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(150), test).await.expect("the test hangs");
    });
}

/// A fleet, and what its two tasks act on: one that checks tokens, and one that cannot.
struct Rig {
    fleet: Fleet,
    checks: Resource,
    cannot: Resource,
}

impl Rig {
    async fn new(name: &str) -> Rig {
        Rig::with_clocks(name, &[]).await
    }

    async fn with_clocks(name: &str, rates: &[f64]) -> Rig {
        let checks = Resource::start(true, Duration::from_millis(40)).await;
        let cannot = Resource::start(false, Duration::from_millis(100)).await;
        let task = |name: &str, resource: &Resource, rest: &str| Task {
            name: name.to_string(),
            resource: resource.address(),
            rest: format!("  every = \"1s\"\n  tries = 1000\n  wait = \"50ms\"\n{rest}"),
        };
        let tasks = [
            task("checked", &checks, "  grade = \"checked\"\n  timeout = \"300ms\""),
            task("timed", &cannot, "  grade = \"timed\"\n  timeout = \"200ms\"\n  way = \"250ms\""),
        ];
        let program = Path::new(PROGRAM);
        let fleet = Fleet::with_clocks(program, name, (5, 3), TTL, &tasks, rates).await.unwrap();
        Rig { fleet, checks, cannot }
    }

    /// With all started, and voters that have their votes.
    async fn started(name: &str) -> Rig {
        Rig::new(name).await.start().await
    }

    async fn start(self) -> Rig {
        let mut rig = self;
        rig.fleet.start_all().await.unwrap();
        rig.within("its votes", rig.fleet.wait_for_votes()).await;
        rig.goes_on("at the start").await;
        rig
    }

    async fn within<T>(&self, what: &str, done: impl Future<Output = T>) -> T {
        match timeout(GENEROUS, done).await {
            Ok(done) => done,
            Err(_) => panic!("{what}: {}", self.fleet.logs()),
        }
    }

    /// Both tasks go on, and nothing was that must never be.
    async fn goes_on(&self, what: &str) {
        self.within(what, async {
            tokio::join!(wait_for_acts(&self.checks, 2), wait_for_acts(&self.cannot, 2))
        })
        .await;
        self.is_safe(what);
    }

    fn is_safe(&self, what: &str) {
        assert_eq!(self.checks.stale_token_acts(), [], "{what}: {}", self.fleet.logs());
        assert_eq!(self.cannot.overlaps(), [], "{what}: {}", self.fleet.logs());
        assert_eq!(self.cannot.stale_token_acts(), [], "{what}: {}", self.fleet.logs());
    }

    async fn leader(&self) -> usize {
        let leader = async {
            loop {
                if let Some(leader) = self.fleet.leader().await {
                    return leader;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        self.within("nobody leads", leader).await
    }

    async fn holder(&self, task: &str) -> usize {
        let holder = async {
            loop {
                if let Some(holder) = self.fleet.holder(&format!("task/{task}")).await {
                    return holder;
                }
                sleep(Duration::from_millis(10)).await;
            }
        };
        self.within("nobody holds", holder).await
    }

    /// The disk with which a nodo votes.
    async fn disk(&self, n: usize) -> Option<String> {
        let shown = self.fleet.show(self.fleet.leader().await?).await?;
        let seats = shown["seats"].as_array()?.clone();
        let seat = seats.iter().find(|seat| seat["member"] == format!("n{n}") && seat["votes"] == true)?;
        Some(seat["disk"].as_str()?.to_string())
    }

    async fn has_another_disk(&self, n: usize, before: &Option<String>) {
        loop {
            self.fleet.wait_for_votes().await;
            let disk = self.disk(n).await;
            if disk.is_some() && disk != *before {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// A nodo serves requests.
    async fn serves(&self, n: usize) {
        let balancer = Balancer::new(self.fleet.nodos[n].address, 900 + n as u64, None);
        let answer = balancer.send(&Request::new("read", b"x"), GENEROUS).await;
        assert_eq!(answer.status, 200, "{}", self.fleet.logs());
    }
}

#[test]
fn whoever_is_killed_the_tasks_go_on_one_at_a_time() {
    local(async {
        let mut rig = Rig::started("kill").await;
        for task in ["timed", "checked", "timed"] {
            let holder = rig.holder(task).await;
            rig.fleet.kill(holder).await;
            rig.goes_on("the holder is killed").await;
            rig.fleet.start(holder).await.unwrap();
        }
        for _ in 0..2 {
            let leader = rig.leader().await;
            rig.fleet.kill(leader).await;
            rig.goes_on("the one that leads is killed").await;
            rig.fleet.start(leader).await.unwrap();
        }
        // All at once: agreed entries, tokens among them, are on disk.
        let highest = rig.cannot.acts().iter().map(|act| act.token).max().unwrap();
        for n in 0..5 {
            rig.fleet.kill(n).await;
        }
        rig.fleet.start_all().await.unwrap();
        rig.goes_on("all are killed").await;
        assert!(rig.cannot.acts().last().unwrap().token > highest);
        rig.serves(0).await;
    });
}

/// Clocks as far off as the fleet's file allows, to either side: who leads counts fast or slow, and so does who holds. A holder that is
/// cut off, frozen or killed acts no more when the next one does, and leases go on.
#[test]
fn with_clocks_five_percent_fast_and_slow_one_acts_at_a_time_and_leases_go_on() {
    local(async {
        let mut rig = Rig::with_clocks("clocks", &[1.05, 0.95, 1.05, 0.95, 1.05]).await.start().await;
        // While nothing is wrong those that hold keep what they hold. A busy machine may have them lose it now and then.
        let tokens =
            || [&rig.checks, &rig.cannot].map(|resource| resource.acts().last().map(|act| act.token));
        let kept = async {
            loop {
                let before = tokens();
                sleep(4 * TTL).await;
                if tokens() == before {
                    return;
                }
            }
        };
        rig.within("leases that go on", kept).await;
        rig.is_safe("nothing is wrong");
        // Longer acts, so that one is under way when its holder's time ends.
        rig.cannot.set_duration(Duration::from_millis(150));
        for task in ["timed", "checked", "timed", "timed"] {
            let holder = rig.holder(task).await;
            rig.fleet.isolate(holder, Fault::Cut);
            rig.goes_on("the holder is cut off").await;
            rig.fleet.heal();
            let holder = rig.holder(task).await;
            rig.fleet.process(holder).pause();
            rig.goes_on("the holder is frozen").await;
            rig.fleet.process(holder).resume();
            rig.goes_on("the holder is woken").await;
        }
        let leader = rig.leader().await;
        rig.fleet.kill(leader).await;
        rig.goes_on("the one that leads is killed").await;
        rig.fleet.start(leader).await.unwrap();
        rig.goes_on("it is back").await;
    });
}

/// Frozen for longer than the lease, in the middle of an act, and woken: what it has held it has lost.
#[test]
fn a_frozen_holder_or_leader_acts_no_more_when_it_wakes() {
    local(async {
        let mut rig = Rig::started("freeze").await;
        for task in ["timed", "checked"] {
            let holder = rig.holder(task).await;
            let resource = if task == "timed" { &rig.cannot } else { &rig.checks };
            resource.set_duration(Duration::from_millis(150));
            rig.within("an act", wait_for_acts(resource, 1)).await;
            rig.fleet.process(holder).pause();
            rig.goes_on("the holder is frozen").await;
            rig.fleet.process(holder).resume();
            rig.goes_on("the holder is woken").await;
        }
        let leader = rig.leader().await;
        rig.fleet.process(leader).pause();
        rig.goes_on("the one that leads is frozen").await;
        let other = rig.leader().await;
        rig.fleet.process(leader).resume();
        rig.goes_on("the one that led is woken").await;
        assert_ne!(leader, other);
        // And both at once.
        let (leader, holder) = (rig.leader().await, rig.holder("timed").await);
        rig.fleet.process(leader).pause();
        if holder != leader {
            rig.fleet.process(holder).pause();
        }
        sleep(2 * TTL).await;
        rig.fleet.process(leader).resume();
        if holder != leader {
            rig.fleet.process(holder).resume();
        }
        rig.goes_on("both are woken").await;
        rig.fleet.kill(leader).await;
        rig.goes_on("and killed").await;
    });
}

#[test]
fn cut_links_leave_one_that_acts_and_old_bytes_change_nothing() {
    local(async {
        let rig = Rig::started("cut").await;
        let leader = rig.leader().await;
        // Each way alone, and both: the rest of the fleet goes on with another one.
        for resets in [false, true] {
            rig.fleet.isolate(leader, Fault::Cut);
            if resets {
                for link in rig.fleet.links.values() {
                    link.reset();
                }
            }
            rig.goes_on("the one that leads is cut off").await;
            rig.serves(leader).await;
            rig.fleet.heal();
            rig.goes_on("and back").await;
        }
        for way in [Way::There, Way::Back] {
            let leader = rig.leader().await;
            let links = rig.fleet.links.iter();
            for (_, link) in links.filter(|((from, to), _)| *from == leader || *to == leader) {
                link.set(way, Fault::Cut);
            }
            rig.goes_on("one way is cut").await;
            rig.fleet.heal();
            rig.goes_on("the way is back").await;
        }
        // Without a quorum nothing acts for long, requests are served, and it goes on by itself.
        for n in 0..3 {
            rig.fleet.isolate(n, Fault::Cut);
        }
        sleep(3 * TTL).await;
        let acts = rig.cannot.acts().len();
        sleep(TTL).await;
        assert_eq!(rig.cannot.acts().len(), acts, "acts without a quorum: {}", rig.fleet.logs());
        for n in 0..5 {
            rig.serves(n).await;
        }
        rig.fleet.heal();
        rig.goes_on("the quorum is back").await;
    });
}

/// A voter comes back with an empty disk, and one with an older copy of its disk.
#[test]
fn a_voter_with_an_empty_or_an_older_disk_does_not_vote_as_if_nothing_had_been() {
    local(async {
        let mut rig = Rig::started("disk").await;
        let leader = rig.leader().await;
        let voter = (leader + 1) % 3;
        let (file, copy) = (rig.fleet.folder(voter).join("voter.redb"), rig.fleet.folder(voter).join("copy"));
        rig.fleet.kill(voter).await;
        std::fs::copy(&file, &copy).unwrap();
        rig.fleet.start(voter).await.unwrap();
        rig.within("its votes", rig.fleet.wait_for_votes()).await;
        rig.goes_on("after the copy").await;
        let disk = rig.disk(voter).await;
        rig.fleet.kill(voter).await;
        std::fs::copy(&copy, &file).unwrap();
        rig.fleet.start(voter).await.unwrap();
        rig.within(
            "the older disk is seen",
            rig.fleet.process(voter).wait_for_output("the voter's disk is older"),
        )
        .await;
        rig.within("another disk's vote", rig.has_another_disk(voter, &disk)).await;
        rig.goes_on("after the older disk").await;
        let disk = rig.disk(voter).await;
        rig.fleet.kill(voter).await;
        std::fs::remove_file(&file).unwrap();
        rig.fleet.start(voter).await.unwrap();
        rig.within("another disk's vote", rig.has_another_disk(voter, &disk)).await;
        // It counts: with it and one other the fleet goes on.
        rig.fleet.kill((leader + 2) % 3).await;
        rig.goes_on("with the one that lost its disk").await;
    });
}

/// A second start of one nodo takes over while the first is frozen, slow or well: the two hold nothing at once.
#[test]
fn the_two_processes_of_an_upgrade_hold_nothing_at_once() {
    local(async {
        let mut rig = Rig::started("twins").await;
        for frozen in [false, true] {
            let holder = rig.holder("timed").await;
            let earlier = rig.fleet.incarnations[holder].take().unwrap();
            if frozen {
                earlier.process.pause();
            }
            rig.fleet.start(holder).await.unwrap();
            rig.goes_on("a later start is here").await;
            earlier.process.resume();
            rig.goes_on("both are").await;
            drop(earlier);
            rig.goes_on("the earlier one is gone").await;
            rig.within("its votes", rig.fleet.wait_for_votes()).await;
        }
    });
}

/// Noise, another fleet, a frame of 3 GB, and many connections that say nothing.
#[test]
fn who_is_no_member_is_closed_and_nothing_is_lost() {
    local(async {
        let rig = Rig::started("noise").await;
        let at = rig.fleet.voter_addresses[rig.leader().await];
        let mut silent = Vec::new();
        for _ in 0..150 {
            silent.push(TcpStream::connect(at).await.unwrap());
        }
        let mut noise = TcpStream::connect(at).await.unwrap();
        noise.write_all(&[0xc0, 0, 0, 0, 1, 2, 3]).await.unwrap();
        let mut garbled = TcpStream::connect(at).await.unwrap();
        garbled.write_all(b"\x00\x00\x00\x05GET /").await.unwrap();
        let closed = async |stream: &mut TcpStream| {
            let mut rest = Vec::new();
            // A reset is a close too.
            let _ = tokio::io::AsyncReadExt::read_to_end(stream, &mut rest).await;
        };
        rig.within("noise is closed", closed(&mut noise)).await;
        rig.within("what is garbled is closed", closed(&mut garbled)).await;
        for stream in &mut silent {
            rig.within("silence is closed", closed(stream)).await;
        }
        rig.goes_on("after the noise").await;
        let lines =
            rig.fleet.logs().matches("is closed:").count() + rig.fleet.logs().matches("makes room").count();
        assert!(lines < 30, "{lines} lines for 152 connections");
    });
}

/// What operators see and do, by any nodo.
#[test]
fn operators_see_the_fleet_and_have_tasks_run_paused_and_taken_back() {
    local(async {
        let rig = Rig::started("operators").await;
        let admin = rig.fleet.incarnations[4].as_ref().unwrap().admin.to_string();
        let said = async |args: &[&str]| {
            let mut command = std::process::Command::new(PROGRAM);
            command.arg("fleet").args(args).args(["--at", &admin]);
            let out = spawn_blocking(move || command.output()).await.unwrap().unwrap();
            let text = [out.stdout, out.stderr].concat();
            (out.status.code(), String::from_utf8_lossy(&text).into_owned())
        };
        let (code, status) = said(&["status"]).await;
        assert!(code == Some(0) && status.contains("leads: n") && status.contains("told by"), "{status}");
        let (code, members) = said(&["members"]).await;
        assert!(code == Some(0) && (0..5).all(|n| members.contains(&format!("n{n} "))), "{members}");
        let (_, leases) = said(&["leases"]).await;
        assert!(leases.contains("task/timed") && leases.contains("task/checked"), "{leases}");
        let before = rig.holder("timed").await;
        assert_eq!(said(&["release", "task/timed"]).await, (Some(0), "agreed\n".to_string()));
        let moved = async {
            while rig.fleet.holder("task/timed").await.is_none_or(|holder| holder == before) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        rig.within("the lease does not move", moved).await;
        assert_eq!(said(&["task", "pause", "checked"]).await.0, Some(0));
        // What was begun may still be on its way.
        sleep(2 * TTL).await;
        let acts = rig.checks.acts().len();
        sleep(2 * TTL).await;
        assert_eq!(rig.checks.acts().len(), acts, "it is paused");
        let (code, why) = said(&["task", "run", "checked"]).await;
        assert!(code == Some(1) && why.contains("paused"), "{why}");
        assert_eq!(said(&["task", "resume", "checked"]).await.0, Some(0));
        rig.goes_on("it goes on").await;
        let (code, json) = said(&["tasks", "--json"]).await;
        let tasks: serde_json::Value = serde_json::from_str(&json).unwrap();
        assert_eq!((code, tasks["tasks"].as_array().unwrap().len()), (Some(0), 2));
        let (code, why) = said(&["release", "task/nothing"]).await;
        assert!(code == Some(1) && why.contains("nothing of that name"), "{why}");
    });
}

/// Without a fleet in the operator's file there is no thread and no descriptor of it, and operators are told so.
#[test]
fn without_a_fleet_there_is_nothing_of_it() {
    local(async {
        let mut nodo = jaspershunt_stand_ins::nodo::Nodo::new(Path::new(PROGRAM), "fleetless").await.unwrap();
        let start = nodo.start().await.unwrap();
        assert_eq!(start.call("FLEET SHOW").await, "-ERR this nodo is in no fleet\r\n");
        let threads = std::fs::read_dir(format!("/proc/{}/task", start.process.id())).unwrap().count();
        assert_eq!(threads, 1);
    });
}
