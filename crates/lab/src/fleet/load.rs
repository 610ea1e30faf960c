//! A nodo at twice its capacity, with and without the fleet. The leader is overloaded; this must not raise
//! its latency, lose a lease or cause an election. Both sides of a pair run at once, so that other load on
//! the machine affects both alike.

use super::fault_injection::{TTL, resources};
use crate::report::{Figure, table, verdict};
use crate::site::on_one_thread;
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::fleet::{Fleet, wait_for_acts};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Pairs of runs, and the duration of each load.
const PAIRS: u64 = 5;
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Twice the capacity of the nodo's interpreter, which has eight cores and takes 8 ms for each request.
const RATE_PER_SECOND: f64 = 2000.0;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Bound on the median ratio of the p99 latencies.
const MAX_P99_RATIO: f64 = 1.05;

/// The result of one side of a pair.
#[derive(Clone, Debug, Default)]
struct Side {
    /// Time to each answer, in milliseconds.
    took: Vec<f64>,
    served: usize,
    /// Leases lost and elections during the load.
    lost: usize,
    elections: u64,
    /// Acts of the tasks during the load.
    acts: usize,
}

impl Side {
    fn p99(&self) -> f64 {
        super::measure::percentile(&self.took, 0.99)
    }
}

async fn run_side(nodo: &Path, seed: u64, on: bool) -> io::Result<Side> {
    let (checked, unchecked, tasks) = resources().await;
    let name = format!("load-{seed}-{on}");
    let mut fleet = Fleet::new(nodo, &name, (3, 3), TTL, &tasks).await?;
    if !on {
        fleet.nodos.iter_mut().for_each(|nodo| nodo.operator = None);
    }
    fleet.start_all().await?;
    if on {
        let ready = async {
            fleet.wait_for_votes().await;
            tokio::join!(wait_for_acts(&checked, 2), wait_for_acts(&unchecked, 2));
        };
        timeout(READY_TIMEOUT, ready).await.map_err(|_| io::Error::other(fleet.logs()))?;
    }
    let leads = if on { fleet.leader().await.unwrap_or(0) } else { 0 };
    let lost = |fleet: &Fleet| -> usize {
        fleet.nodos.iter().map(|nodo| nodo.logs().matches("does not hold task/").count()).sum()
    };
    let acts = || checked.acts().len() + unchecked.acts().len();
    let (lost_before, acts_before) = (lost(&fleet), acts());
    let term = if on { term(&fleet, leads).await } else { 0 };
    let balancer = Rc::new(Balancer::new(fleet.nodos[leads].address, 1, None));
    let side: Rc<RefCell<Side>> = Rc::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let began = Instant::now();
    let (mut at, mut sent) = (0.0, Vec::new());
    while at < LOAD_TIME.as_secs_f64() {
        sleep_until(began + Duration::from_secs_f64(at)).await;
        let (balancer, side) = (balancer.clone(), side.clone());
        sent.push(spawn_local(async move {
            let answer = balancer.send(&Request::new("read", b"x"), ANSWER_TIMEOUT).await;
            let mut side = side.borrow_mut();
            side.took.push(answer.took.as_secs_f64() * 1000.0);
            side.served += usize::from(answer.status == 200);
        }));
        at += -(1.0 - rng.random_range(0.0..1.0f64)).ln() / RATE_PER_SECOND;
    }
    for one in sent {
        let _ = one.await;
    }
    let mut side = side.take();
    if on {
        // An overloaded nodo may not answer; ask again.
        let shown = async {
            loop {
                if let Some(leads) = fleet.leader().await {
                    return self::term(&fleet, leads).await;
                }
            }
        };
        let now = timeout(READY_TIMEOUT, shown).await.unwrap_or(u64::MAX);
        (side.lost, side.elections) = (lost(&fleet) - lost_before, now.saturating_sub(term));
        side.acts = acts() - acts_before;
    }
    Ok(side)
}

async fn term(fleet: &Fleet, n: usize) -> u64 {
    fleet.show(n).await.and_then(|shown| shown["term"].as_u64()).unwrap_or(0)
}

/// Runs all pairs and prints the report. Returns whether the bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let (mut rows, mut ratios, mut with) = (Vec::new(), Vec::new(), Vec::new());
    for pair in 0..PAIRS {
        let play = |on| on_one_thread(run_side(nodo, seed * 100 + pair, on));
        let (on, off) = thread::scope(|scope| {
            let off = scope.spawn(|| play(false));
            (play(true), off.join().unwrap_or_else(|_| Err(io::Error::other("a run panicked"))))
        });
        let (on, off) = (on?, off?);
        ratios.push(on.p99() / off.p99());
        rows.push(vec![
            (pair + 1).to_string(),
            format!("{} / {}", on.took.len(), on.served),
            format!("{} / {}", off.took.len(), off.served),
            format!("{:.1}", on.p99()),
            format!("{:.1}", off.p99()),
            format!("{:.3}", on.p99() / off.p99()),
        ]);
        with.push(on);
    }
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ratios.len() / 2];
    let elections: u64 = with.iter().map(|side| side.elections).sum();
    let figures = [
        Figure::zero("leases lost", with.iter().map(|side| side.lost).sum()),
        Figure::zero("elections", usize::try_from(elections).unwrap_or(usize::MAX)),
        Figure::new(
            "p99 with the fleet against without, median of the pairs",
            format!("{median:.3}"),
            "≤ 1.05",
            median <= MAX_P99_RATIO,
        ),
    ];
    let (bounds, last, holds) = verdict("fleet-load", &figures);
    let pairs = table(
        &["pair", "asked / served, on", "asked / served, off", "p99 on, ms", "p99 off, ms", "ratio"],
        &rows,
    );
    let acts: usize = with.iter().map(|side| side.acts).sum();
    let text = format!(
        "The leader receives {RATE_PER_SECOND:.0} requests per second, twice its capacity; the tasks made {acts} acts meanwhile.\n\n{bounds}\n\n{pairs}\n"
    );
    println!("{text}");
    if let Some(out) = out {
        let head = format!(
            "# The fleet at twice its load, measured\n\n    jaspershunt-lab measure fleet-load --out docs/measured   # seed {seed}\n\n"
        );
        std::fs::write(out.join("fleet-load.md"), format!("{head}{text}\n{last}\n"))?;
    }
    println!("{last}");
    Ok(holds)
}
