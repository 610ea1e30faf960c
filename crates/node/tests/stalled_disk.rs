//! Guards against a stalled disk that blocks a nodo of a fleet. A FIFO replaces a file: opening it to read
//! blocks until the test opens it to write.

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::fleet::Fleet;
use jaspershunt_stand_ins::nodo::keyed;
use rustix::fs::{CWD, FileType, Mode, OFlags, mknodat};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const TTL: Duration = Duration::from_secs(1);
/// From SIGTERM to SIGKILL, for the nodos here.
const STOP: Duration = Duration::from_millis(3200);
/// Timeout for progress, far longer than needed on a slow machine.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test hangs");
    });
}

fn replace_with_fifo(file: &Path) {
    std::fs::create_dir_all(file.parent().unwrap()).unwrap();
    let _ = std::fs::remove_file(file);
    mknodat(CWD, file, FileType::Fifo, Mode::RWXU, 0).unwrap();
}

/// Waits until a reader is blocked on the file. It stays blocked until the returned file is written to and
/// dropped.
async fn wait_for_reader(file: &Path) -> File {
    let awaited = async {
        loop {
            // Fails while no reader has it open or is opening it.
            let flags = OFlags::NONBLOCK.bits() as i32;
            if let Ok(file) = OpenOptions::new().write(true).custom_flags(flags).open(file) {
                return file;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, awaited).await.expect("no reader waits for the disk")
}

/// Creates three voters with additional blocks in their files. The last one's disk can be made to stall
/// before it starts.
async fn fleet(name: &str, more: &str) -> Fleet {
    let mut fleet = Fleet::new(Path::new(PROGRAM), name, (3, 3), TTL, &[]).await.unwrap();
    for nodo in &mut fleet.nodos {
        nodo.operator = nodo.operator.take().map(|site| format!("{site}{more}"));
        nodo.extra_config = format!(r#","stop_ms":{}"#, STOP.as_millis());
    }
    fleet
}

/// Checks that the nodo serves requests and answers operators.
async fn assert_serves(fleet: &Fleet, n: usize, round: u64) {
    let balancer = Balancer::new(fleet.nodos[n].address, 900 + round, None);
    for (n, request) in
        [Request::new("read", b"x"), keyed("sign", &format!("sign-{round}"), false)].iter().enumerate()
    {
        let answer = balancer.send(request, PROGRESS_TIMEOUT).await;
        assert_eq!(answer.status, 200, "{round}, {n}: {}", fleet.logs());
    }
    assert!(fleet.incarnations[n].as_ref().unwrap().is_ready().await, "{}", fleet.logs());
}

/// Starts a nodo with a stalled disk. If the disk blocked its traffic, it would never report that it is
/// ready.
async fn start(fleet: &mut Fleet, n: usize) {
    if timeout(PROGRESS_TIMEOUT, fleet.start(n)).await.is_err() {
        panic!("a stalled disk blocks it: {}", fleet.logs());
    }
}

/// Terminates the nodo and checks that it exits successfully before the kill.
async fn assert_exits_in_time(fleet: &mut Fleet, n: usize) {
    let mut start = fleet.incarnations[n].take().unwrap();
    let terminated_at = Instant::now();
    start.process.terminate();
    let ended = timeout(PROGRESS_TIMEOUT, start.process.wait()).await;
    let took = terminated_at.elapsed();
    assert!(matches!(ended, Ok(true)), "it does not exit: {}", fleet.logs());
    assert!(took < STOP, "it exits too late: {took:?} {}", fleet.logs());
}

/// Waits until the nodo reports that it is a member of the fleet.
async fn wait_for_participation(fleet: &Fleet, n: usize) {
    let part = async {
        while fleet.show(n).await.is_none_or(|shown| shown["leader"].is_null()) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, part).await.unwrap_or_else(|_| panic!("n{n} is no member: {}", fleet.logs()));
}

/// The disk stalls as the member starts, with and without state in the member. Requests are served, operators
/// answered, and the nodo exits in time. Once the disk works again, the nodo joins the fleet.
#[test]
fn a_disk_stalled_at_member_start_blocks_neither_requests_nor_shutdown() {
    local(async {
        for (name, more) in
            [("starts", ""), ("starts-holds", "handover \"slow\" {\n  effect = \"unknown\"\n}\n")]
        {
            let mut fleet = fleet(name, more).await;
            let starts = fleet.folder(2).join("starts");
            replace_with_fifo(&starts);
            start(&mut fleet, 2).await;
            let stalled = wait_for_reader(&starts).await;
            assert_serves(&fleet, 2, 0).await;
            assert_exits_in_time(&mut fleet, 2).await;
            drop(stalled);
            for n in [0, 1] {
                fleet.start(n).await.unwrap();
            }
            start(&mut fleet, 2).await;
            assert_serves(&fleet, 2, 1).await;
            wait_for_reader(&starts).await.write_all(b"7\n").unwrap();
            wait_for_participation(&fleet, 2).await;
            assert_serves(&fleet, 2, 2).await;
            assert_exits_in_time(&mut fleet, 2).await;
        }
    });
}

/// Returns whether a process has a thread of this name.
fn has_thread(process: u32, name: &str) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).unwrap().flatten();
    let names = threads.filter_map(|thread| std::fs::read_to_string(thread.path().join("comm")).ok());
    names.into_iter().any(|of| of.trim() == name)
}

/// A member that waited for its disk while another process took over must not join with the number that it
/// then gets.
#[test]
fn a_member_superseded_while_its_disk_stalled_does_not_participate() {
    local(async {
        let mut fleet = fleet("overtaken", "").await;
        let starts = fleet.folder(2).join("starts");
        for n in [0, 1] {
            fleet.start(n).await.unwrap();
        }
        replace_with_fifo(&starts);
        start(&mut fleet, 2).await;
        let earlier = fleet.incarnations[2].take().unwrap();
        // The later process's disk works, and the stalled file stays there for the earlier one.
        let mut stalled = wait_for_reader(&starts).await;
        std::fs::rename(&starts, starts.with_extension("stalled")).unwrap();
        fleet.start(2).await.unwrap();
        wait_for_participation(&fleet, 2).await;
        stalled.write_all(b"7\n").unwrap();
        drop(stalled);
        // It has got its number, and then its thread has ended.
        let over = async {
            while std::fs::read_to_string(&starts).unwrap().trim() != "8"
                || has_thread(earlier.process.id(), "fleet")
            {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(PROGRESS_TIMEOUT, over).await.unwrap_or_else(|_| panic!("it still waits: {}", fleet.logs()));
        assert_serves(&fleet, 2, 0).await;
        drop(earlier);
        let logs = fleet.nodos[2].logs();
        assert_eq!(logs.matches("takes part in").count(), 1, "both are members: {logs}");
    });
}

/// Edits queued by an earlier process are on a stalled disk. Requests are served, and the nodo exits in time.
#[test]
fn queued_edits_on_a_stalled_disk_block_neither_requests_nor_shutdown() {
    local(async {
        let mut fleet = fleet("edits", "team \"alfa\" {}\n").await;
        let edits = fleet.folder(2).join("edits/alfa-1-0.json");
        replace_with_fifo(&edits);
        start(&mut fleet, 2).await;
        let _stalled = wait_for_reader(&edits).await;
        assert_serves(&fleet, 2, 0).await;
        assert_exits_in_time(&mut fleet, 2).await;
    });
}
