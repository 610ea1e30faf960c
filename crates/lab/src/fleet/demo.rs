//! A demonstration of five nodos as a fleet with two tasks, while a holder is killed, the leader is paused,
//! and a nodo's links are cut.

use super::fault_injection::{TTL, resources};
use crate::site::on_one_thread;
use jaspershunt_stand_ins::fleet::Fleet;
use jaspershunt_stand_ins::link::Fault;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const EVENT_INTERVAL: Duration = Duration::from_secs(5);
const LINE_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the demonstration. Returns whether no two holders acted at once.
pub fn run(nodo: &Path) -> io::Result<bool> {
    on_one_thread(async {
        let (checked, unchecked, tasks) = resources().await;
        let mut fleet = Fleet::new(nodo, "demo", (5, 3), TTL, &tasks).await?;
        println!("five nodos, three of them voters; a lease lasts {TTL:?}; each task is due every second\n");
        fleet.start_all().await?;
        // If the votes take longer, the table shows it.
        let _ = timeout(4 * EVENT_INTERVAL, fleet.wait_for_votes()).await;
        println!(
            "{:>6}  {:<26} {:<8} {:<8} {:<8} {:>6} {:>9}",
            "s", "", "leads", "checked", "timed", "acts", "overlaps"
        );
        let began = Instant::now();
        let (mut killed, mut paused) = (None, None);
        for event in 0..7 {
            let what = match event {
                1 => {
                    killed = fleet.holder("task/timed").await;
                    if let Some(n) = killed {
                        fleet.kill(n).await;
                    }
                    killed.map(|n| format!("n{n}, the holder, is killed"))
                }
                2 => {
                    if let Some(n) = killed {
                        fleet.start(n).await?;
                    }
                    killed.map(|n| format!("n{n} is back"))
                }
                3 => {
                    paused = fleet.leader().await;
                    if let Some(n) = paused {
                        fleet.process(n).pause();
                    }
                    paused.map(|n| format!("n{n}, the leader, is paused"))
                }
                4 => {
                    if let Some(n) = paused {
                        fleet.process(n).resume();
                    }
                    paused.map(|n| format!("n{n} resumes"))
                }
                5 => {
                    let holder = fleet.holder("task/timed").await;
                    if let Some(n) = holder {
                        fleet.isolate(n, Fault::Cut);
                    }
                    holder.map(|n| format!("n{n}, the holder, is cut off"))
                }
                6 => {
                    fleet.heal();
                    Some("the links are restored".to_string())
                }
                _ => None,
            };
            let mut what = what.unwrap_or_default();
            let until = Instant::now() + EVENT_INTERVAL;
            while Instant::now() < until {
                let name = |n: Option<usize>| n.map_or("–".to_string(), |n| format!("n{n}"));
                let (leader, one, two) = (
                    fleet.leader().await,
                    fleet.holder("task/checked").await,
                    fleet.holder("task/timed").await,
                );
                let acts =
                    checked.acts().iter().chain(&unchecked.acts()).filter(|act| !act.turned_away).count();
                println!(
                    "{:>6.1}  {what:<26} {:<8} {:<8} {:<8} {acts:>6} {:>9}",
                    began.elapsed().as_secs_f64(),
                    name(leader),
                    name(one),
                    name(two),
                    unchecked.overlaps().len() + checked.stale_token_acts().len()
                );
                what.clear();
                sleep(LINE_INTERVAL).await;
            }
        }
        let acts = checked.acts().iter().chain(&unchecked.acts()).filter(|act| !act.turned_away).count();
        let wrong = unchecked.overlaps().len() + checked.stale_token_acts().len();
        println!("\n{acts} acts, {wrong} overlaps");
        Ok(wrong == 0)
    })
}
