//! Five real nodos as a fleet, under faults of processes, links and disks. Safety is checked without
//! tolerance from the resources' records of operations; progress is checked within generous timeouts.

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
const LEASE_TTL: Duration = Duration::from_secs(1);
/// Time allowed for each expected progress; far more than the usual 2.5 lease durations, for slow machines.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(40);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(150), test).await.expect("the test hangs");
    });
}

/// A fleet and the resources of its two tasks: one checks fencing tokens, the other cannot.
struct Deployment {
    fleet: Fleet,
    checking_resource: Resource,
    nonchecking_resource: Resource,
}

impl Deployment {
    async fn new(name: &str) -> Deployment {
        Deployment::with_clocks(name, &[]).await
    }

    async fn with_clocks(name: &str, rates: &[f64]) -> Deployment {
        let checking_resource = Resource::start(true, Duration::from_millis(40)).await;
        let nonchecking_resource = Resource::start(false, Duration::from_millis(100)).await;
        let task = |name: &str, resource: &Resource, rest: &str| Task {
            name: name.to_string(),
            resource: resource.address(),
            rest: format!("  every = \"1s\"\n  tries = 1000\n  wait = \"50ms\"\n{rest}"),
        };
        let tasks = [
            task("checked", &checking_resource, "  grade = \"checked\"\n  timeout = \"300ms\""),
            task(
                "timed",
                &nonchecking_resource,
                "  grade = \"timed\"\n  timeout = \"200ms\"\n  way = \"250ms\"",
            ),
        ];
        let program = Path::new(PROGRAM);
        let fleet = Fleet::with_clocks(program, name, (5, 3), LEASE_TTL, &tasks, rates).await.unwrap();
        Deployment { fleet, checking_resource, nonchecking_resource }
    }

    /// Starts all nodos and waits until the voters can vote and both tasks run.
    async fn started(name: &str) -> Deployment {
        Deployment::new(name).await.start().await
    }

    async fn start(self) -> Deployment {
        let mut deployment = self;
        deployment.fleet.start_all().await.unwrap();
        deployment.within("votes of the voters", deployment.fleet.wait_for_votes()).await;
        deployment.assert_tasks_progress("at the start").await;
        deployment
    }

    async fn within<T>(&self, what: &str, future: impl Future<Output = T>) -> T {
        match timeout(PROGRESS_TIMEOUT, future).await {
            Ok(output) => output,
            Err(_) => panic!("timed out: {what}: {}", self.fleet.logs()),
        }
    }

    /// Waits until both tasks have run again, and checks safety.
    async fn assert_tasks_progress(&self, what: &str) {
        self.within(what, async {
            tokio::join!(
                wait_for_acts(&self.checking_resource, 2),
                wait_for_acts(&self.nonchecking_resource, 2)
            )
        })
        .await;
        self.assert_safe(what);
    }

    /// Checks that no operation carried a stale token and that operations of the timed task never overlap.
    fn assert_safe(&self, what: &str) {
        assert_eq!(self.checking_resource.stale_token_acts(), [], "{what}: {}", self.fleet.logs());
        assert_eq!(self.nonchecking_resource.overlaps(), [], "{what}: {}", self.fleet.logs());
        assert_eq!(self.nonchecking_resource.stale_token_acts(), [], "{what}: {}", self.fleet.logs());
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
        self.within("a leader", leader).await
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
        self.within("a lease holder", holder).await
    }

    /// Returns the identity of the disk with which a nodo votes.
    async fn voting_disk(&self, n: usize) -> Option<String> {
        let shown = self.fleet.show(self.fleet.leader().await?).await?;
        let slots = shown["seats"].as_array()?.clone();
        let slot = slots.iter().find(|slot| slot["member"] == format!("n{n}") && slot["votes"] == true)?;
        Some(slot["disk"].as_str()?.to_string())
    }

    async fn wait_for_other_voting_disk(&self, n: usize, before: &Option<String>) {
        loop {
            self.fleet.wait_for_votes().await;
            let disk = self.voting_disk(n).await;
            if disk.is_some() && disk != *before {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn assert_serves(&self, n: usize) {
        let balancer = Balancer::new(self.fleet.nodos[n].address, 900 + n as u64, None);
        let answer = balancer.send(&Request::new("read", b"x"), PROGRESS_TIMEOUT).await;
        assert_eq!(answer.status, 200, "{}", self.fleet.logs());
    }
}

#[test]
fn tasks_continue_without_overlap_after_any_nodo_is_killed() {
    local(async {
        let mut deployment = Deployment::started("kill").await;
        for task in ["timed", "checked", "timed"] {
            let holder = deployment.holder(task).await;
            deployment.fleet.kill(holder).await;
            deployment.assert_tasks_progress("after the holder is killed").await;
            deployment.fleet.start(holder).await.unwrap();
        }
        for _ in 0..2 {
            let leader = deployment.leader().await;
            deployment.fleet.kill(leader).await;
            deployment.assert_tasks_progress("after the leader is killed").await;
            deployment.fleet.start(leader).await.unwrap();
        }
        // All nodos at once: committed entries, including tokens, are on disk.
        let highest = deployment.nonchecking_resource.acts().iter().map(|act| act.token).max().unwrap();
        for n in 0..5 {
            deployment.fleet.kill(n).await;
        }
        deployment.fleet.start_all().await.unwrap();
        deployment.assert_tasks_progress("after all nodos are killed").await;
        assert!(deployment.nonchecking_resource.acts().last().unwrap().token > highest);
        deployment.assert_serves(0).await;
    });
}

/// Clock rates at both limits that the fleet file allows, for the leader as well as the lease holders. A
/// holder that is cut off, paused or killed must not act once the next holder does, and leases are still
/// renewed.
#[test]
fn clocks_five_percent_fast_and_slow_cause_no_overlap_and_leases_are_renewed() {
    local(async {
        let mut deployment =
            Deployment::with_clocks("clocks", &[1.05, 0.95, 1.05, 0.95, 1.05]).await.start().await;
        // Without faults the holders keep their leases. On a busy machine they may lose one occasionally.
        let tokens = || {
            [&deployment.checking_resource, &deployment.nonchecking_resource]
                .map(|resource| resource.acts().last().map(|act| act.token))
        };
        let leases_kept = async {
            loop {
                let before = tokens();
                sleep(4 * LEASE_TTL).await;
                if tokens() == before {
                    return;
                }
            }
        };
        deployment.within("renewal of all leases", leases_kept).await;
        deployment.assert_safe("without faults");
        // Longer operations, so that one is running when its holder's lease expires.
        deployment.nonchecking_resource.set_duration(Duration::from_millis(150));
        for task in ["timed", "checked", "timed", "timed"] {
            let holder = deployment.holder(task).await;
            deployment.fleet.isolate(holder, Fault::Cut);
            deployment.assert_tasks_progress("after the holder is cut off").await;
            deployment.fleet.heal();
            let holder = deployment.holder(task).await;
            deployment.fleet.process(holder).pause();
            deployment.assert_tasks_progress("after the holder is paused").await;
            deployment.fleet.process(holder).resume();
            deployment.assert_tasks_progress("after the holder is resumed").await;
        }
        let leader = deployment.leader().await;
        deployment.fleet.kill(leader).await;
        deployment.assert_tasks_progress("after the leader is killed").await;
        deployment.fleet.start(leader).await.unwrap();
        deployment.assert_tasks_progress("after its restart").await;
    });
}

/// A process is paused for longer than its lease during an operation and resumed: it has lost the lease.
#[test]
fn a_paused_holder_or_leader_does_not_act_when_resumed() {
    local(async {
        let mut deployment = Deployment::started("freeze").await;
        for task in ["timed", "checked"] {
            let holder = deployment.holder(task).await;
            let resource = if task == "timed" {
                &deployment.nonchecking_resource
            } else {
                &deployment.checking_resource
            };
            resource.set_duration(Duration::from_millis(150));
            deployment.within("an operation", wait_for_acts(resource, 1)).await;
            deployment.fleet.process(holder).pause();
            deployment.assert_tasks_progress("after the holder is paused").await;
            deployment.fleet.process(holder).resume();
            deployment.assert_tasks_progress("after the holder is resumed").await;
        }
        let leader = deployment.leader().await;
        deployment.fleet.process(leader).pause();
        deployment.assert_tasks_progress("after the leader is paused").await;
        let other = deployment.leader().await;
        deployment.fleet.process(leader).resume();
        deployment.assert_tasks_progress("after the former leader is resumed").await;
        assert_ne!(leader, other);
        // Both at once.
        let (leader, holder) = (deployment.leader().await, deployment.holder("timed").await);
        deployment.fleet.process(leader).pause();
        if holder != leader {
            deployment.fleet.process(holder).pause();
        }
        sleep(2 * LEASE_TTL).await;
        deployment.fleet.process(leader).resume();
        if holder != leader {
            deployment.fleet.process(holder).resume();
        }
        deployment.assert_tasks_progress("after both are resumed").await;
        deployment.fleet.kill(leader).await;
        deployment.assert_tasks_progress("after the former leader is killed").await;
    });
}

#[test]
fn cut_links_leave_one_actor_and_delayed_bytes_have_no_effect() {
    local(async {
        let deployment = Deployment::started("cut").await;
        let leader = deployment.leader().await;
        // Both directions, then each alone: the rest of the fleet elects another leader.
        for resets in [false, true] {
            deployment.fleet.isolate(leader, Fault::Cut);
            if resets {
                for link in deployment.fleet.links.values() {
                    link.reset();
                }
            }
            deployment.assert_tasks_progress("after the leader is cut off").await;
            deployment.assert_serves(leader).await;
            deployment.fleet.heal();
            deployment.assert_tasks_progress("after the leader is reconnected").await;
        }
        for way in [Way::There, Way::Back] {
            let leader = deployment.leader().await;
            let links = deployment.fleet.links.iter();
            for (_, link) in links.filter(|((from, to), _)| *from == leader || *to == leader) {
                link.set(way, Fault::Cut);
            }
            deployment.assert_tasks_progress("after one direction is cut").await;
            deployment.fleet.heal();
            deployment.assert_tasks_progress("after the direction is restored").await;
        }
        // Without a quorum tasks stop, requests are still served, and tasks resume once the quorum is back.
        for n in 0..3 {
            deployment.fleet.isolate(n, Fault::Cut);
        }
        sleep(3 * LEASE_TTL).await;
        let acts = deployment.nonchecking_resource.acts().len();
        sleep(LEASE_TTL).await;
        assert_eq!(
            deployment.nonchecking_resource.acts().len(),
            acts,
            "operations without a quorum: {}",
            deployment.fleet.logs()
        );
        for n in 0..5 {
            deployment.assert_serves(n).await;
        }
        deployment.fleet.heal();
        deployment.assert_tasks_progress("after the quorum is restored").await;
    });
}

/// A voter restarts with an older copy of its disk, and then with an empty one.
#[test]
fn a_voter_with_an_empty_or_older_disk_does_not_vote_with_its_former_identity() {
    local(async {
        let mut deployment = Deployment::started("disk").await;
        let leader = deployment.leader().await;
        let voter = (leader + 1) % 3;
        let (file, copy) =
            (deployment.fleet.folder(voter).join("voter.redb"), deployment.fleet.folder(voter).join("copy"));
        deployment.fleet.kill(voter).await;
        std::fs::copy(&file, &copy).unwrap();
        deployment.fleet.start(voter).await.unwrap();
        deployment.within("votes of the voters", deployment.fleet.wait_for_votes()).await;
        deployment.assert_tasks_progress("after the copy").await;
        let disk = deployment.voting_disk(voter).await;
        deployment.fleet.kill(voter).await;
        std::fs::copy(&copy, &file).unwrap();
        deployment.fleet.start(voter).await.unwrap();
        deployment
            .within(
                "detection of the older disk",
                deployment.fleet.process(voter).wait_for_output("the voter's disk is older"),
            )
            .await;
        deployment
            .within("a vote with another disk", deployment.wait_for_other_voting_disk(voter, &disk))
            .await;
        deployment.assert_tasks_progress("after the older disk").await;
        let disk = deployment.voting_disk(voter).await;
        deployment.fleet.kill(voter).await;
        std::fs::remove_file(&file).unwrap();
        deployment.fleet.start(voter).await.unwrap();
        deployment
            .within("a vote with another disk", deployment.wait_for_other_voting_disk(voter, &disk))
            .await;
        // Its vote counts: with it and one other voter the fleet makes progress.
        deployment.fleet.kill((leader + 2) % 3).await;
        deployment.assert_tasks_progress("with the voter that lost its disk").await;
    });
}

/// A second incarnation of a nodo takes over while the first runs or is paused: they never hold a lease at
/// once.
#[test]
fn the_two_processes_of_an_upgrade_never_hold_a_lease_at_once() {
    local(async {
        let mut deployment = Deployment::started("twins").await;
        for paused in [false, true] {
            let holder = deployment.holder("timed").await;
            let earlier = deployment.fleet.incarnations[holder].take().unwrap();
            if paused {
                earlier.process.pause();
            }
            deployment.fleet.start(holder).await.unwrap();
            deployment.assert_tasks_progress("after the start of the later incarnation").await;
            earlier.process.resume();
            deployment.assert_tasks_progress("while both run").await;
            drop(earlier);
            deployment.assert_tasks_progress("after the end of the earlier incarnation").await;
            deployment.within("votes of the voters", deployment.fleet.wait_for_votes()).await;
        }
    });
}

/// Connections that send random bytes, a frame length of 3 GB or HTTP, and many silent ones, are closed.
#[test]
fn connections_of_non_members_are_closed_without_effect_on_the_fleet() {
    local(async {
        let deployment = Deployment::started("noise").await;
        let at = deployment.fleet.voter_addresses[deployment.leader().await];
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
            // A reset counts as a close.
            let _ = tokio::io::AsyncReadExt::read_to_end(stream, &mut rest).await;
        };
        deployment.within("close of the oversized frame", closed(&mut noise)).await;
        deployment.within("close of the malformed connection", closed(&mut garbled)).await;
        for stream in &mut silent {
            deployment.within("close of a silent connection", closed(stream)).await;
        }
        deployment.assert_tasks_progress("after the invalid connections").await;
        let lines = deployment.fleet.logs().matches("is closed:").count()
            + deployment.fleet.logs().matches("makes room").count();
        assert!(lines < 30, "{lines} lines for 152 connections");
    });
}

/// The operators' commands, sent to one nodo.
#[test]
fn operators_inspect_the_fleet_release_leases_and_pause_run_and_resume_tasks() {
    local(async {
        let deployment = Deployment::started("operators").await;
        let admin = deployment.fleet.incarnations[4].as_ref().unwrap().admin.to_string();
        let run_command = async |args: &[&str]| {
            let mut command = std::process::Command::new(PROGRAM);
            command.arg("fleet").args(args).args(["--at", &admin]);
            let out = spawn_blocking(move || command.output()).await.unwrap().unwrap();
            let text = [out.stdout, out.stderr].concat();
            (out.status.code(), String::from_utf8_lossy(&text).into_owned())
        };
        let (code, status) = run_command(&["status"]).await;
        assert!(code == Some(0) && status.contains("leads: n") && status.contains("told by"), "{status}");
        let (code, members) = run_command(&["members"]).await;
        assert!(code == Some(0) && (0..5).all(|n| members.contains(&format!("n{n} "))), "{members}");
        let (_, leases) = run_command(&["leases"]).await;
        assert!(leases.contains("task/timed") && leases.contains("task/checked"), "{leases}");
        let before = deployment.holder("timed").await;
        assert_eq!(run_command(&["release", "task/timed"]).await, (Some(0), "agreed\n".to_string()));
        let moved = async {
            while deployment.fleet.holder("task/timed").await.is_none_or(|holder| holder == before) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        deployment.within("a new lease holder", moved).await;
        assert_eq!(run_command(&["task", "pause", "checked"]).await.0, Some(0));
        // Operations already started may still arrive.
        sleep(2 * LEASE_TTL).await;
        let acts = deployment.checking_resource.acts().len();
        sleep(2 * LEASE_TTL).await;
        assert_eq!(deployment.checking_resource.acts().len(), acts, "the task ran while paused");
        let (code, why) = run_command(&["task", "run", "checked"]).await;
        assert!(code == Some(1) && why.contains("paused"), "{why}");
        assert_eq!(run_command(&["task", "resume", "checked"]).await.0, Some(0));
        deployment.assert_tasks_progress("after the task is resumed").await;
        let (code, json) = run_command(&["tasks", "--json"]).await;
        let tasks: serde_json::Value = serde_json::from_str(&json).unwrap();
        assert_eq!((code, tasks["tasks"].as_array().unwrap().len()), (Some(0), 2));
        let (code, why) = run_command(&["release", "task/nothing"]).await;
        assert!(code == Some(1) && why.contains("nothing of that name"), "{why}");
    });
}

/// Without a fleet in the operator file the nodo starts no fleet thread, and fleet commands return an error.
#[test]
fn without_a_fleet_no_thread_runs_and_fleet_commands_fail() {
    local(async {
        let mut nodo = jaspershunt_stand_ins::nodo::Nodo::new(Path::new(PROGRAM), "fleetless").await.unwrap();
        let incarnation = nodo.start().await.unwrap();
        assert_eq!(incarnation.call("FLEET SHOW").await, "-ERR this nodo is in no fleet\r\n");
        let threads = std::fs::read_dir(format!("/proc/{}/task", incarnation.process.id())).unwrap().count();
        assert_eq!(threads, 1);
    });
}
