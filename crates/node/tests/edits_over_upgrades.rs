//! Edits of the route table that an operator gives to a nodo while it is upgraded: real processes of three nodos.

use jaspershunt_stand_ins::fleet::Fleet;
use jaspershunt_stand_ins::nodo::Incarnation;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const LEASE_TTL: Duration = Duration::from_secs(1);
/// Time allowed for an edit to reach the fleet.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);
const NODOS: usize = 3;
/// The nodo that is upgraded.
const UPGRADED: usize = 2;

async fn send_edit(incarnation: &Incarnation, number: u64) -> Value {
    let changes = json!([{"add": {"thing": format!("region/r{number}")}}]);
    let edit =
        json!({"id": {"team": "brio", "number": number}, "base": 0, "reason": "a place", "changes": changes});
    let body = json!({"edit": edit}).to_string();
    let answer = incarnation.call(&format!("ROUTES SAY {}\r\n{body}", body.len())).await;
    serde_json::from_str(answer.strip_suffix("\r\n.\r\n").expect(&answer)).unwrap()
}

async fn show(incarnation: &Incarnation) -> Value {
    let answer = incarnation.call("ROUTES SHOW").await;
    serde_json::from_str(answer.trim_end_matches("\r\n.\r\n")).unwrap_or_default()
}

/// Waits until the operators' view of a process meets the condition.
async fn wait_until_shown(incarnation: &Incarnation, what: &str, condition: impl Fn(&Value) -> bool) {
    let deadline = Instant::now() + PROGRESS_TIMEOUT;
    loop {
        let shown = show(incarnation).await;
        if condition(&shown) {
            return;
        }
        assert!(Instant::now() < deadline, "{what}: {shown}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until this nodo's table has the region of each of these edits, and no edit is pending at it.
async fn wait_for_regions(fleet: &Fleet, n: usize, numbers: &[u64]) {
    let incarnation = fleet.incarnations[n].as_ref().unwrap();
    let has = |shown: &Value, number: &u64| {
        shown["here"]["table"]["things"][format!("region/r{number}")].is_object()
    };
    let has_all =
        |shown: &Value| numbers.iter().all(|number| has(shown, number)) && shown["held"] == json!([]);
    wait_until_shown(incarnation, &format!("edits {numbers:?} at n{n}"), has_all).await;
}

/// Guards against edits that a replaced process accepts, and that no process sends: only the later one has a
/// member, and it had read the pending edits before.
#[test]
fn edits_that_a_replaced_process_accepts_reach_the_fleet() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let test = async {
            let size = (NODOS, NODOS);
            let mut fleet =
                Fleet::new(Path::new(PROGRAM), "edits-upgrade", size, LEASE_TTL, &[]).await.unwrap();
            for nodo in &mut fleet.nodos {
                nodo.operator = nodo.operator.take().map(|file| file + "team \"brio\" {}\n");
            }
            fleet.start_all().await.unwrap();
            fleet.wait_for_votes().await;
            let mut earlier = fleet.incarnations[UPGRADED].take().unwrap();
            fleet.start(UPGRADED).await.unwrap();
            wait_until_shown(&earlier, "end of its membership", |shown| shown["member"].is_null()).await;
            let accepted = send_edit(&earlier, 1).await;
            assert_eq!(accepted["state"], "held", "{accepted}");
            // The replaced process still runs, and its operator sees that the fleet has the edit.
            wait_for_regions(&fleet, 0, &[1]).await;
            wait_until_shown(&earlier, "edits pending at its operator", |shown| shown["held"] == json!([]))
                .await;
            // The last edit comes just before its end.
            assert_eq!(send_edit(&earlier, 2).await["state"], "held");
            earlier.process.terminate();
            assert!(earlier.process.wait().await, "it exits with a failure");
            wait_for_regions(&fleet, UPGRADED, &[1, 2]).await;
        };
        timeout(Duration::from_secs(100), test).await.expect("the test hangs");
    });
}
