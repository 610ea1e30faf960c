//! Measures steering in fifty simulations, prints the table, and reports whether its bounds hold. The
//! arguments are the number of simulations and the first seed.

use jaspershunt_steering::emulator::{Run, Strategy, measure};
use std::process::ExitCode;

fn main() -> ExitCode {
    let number = |at: usize, or: u64| std::env::args().nth(at).and_then(|n| n.parse().ok()).unwrap_or(or);
    let (simulations, from) = (number(1, 50), number(2, 0));
    let (table, short) = measure::table(from, simulations);
    println!(
        "# Steering, measured\n\n    cargo run --profile test -p jaspershunt-steering --example geography -- {simulations} {from}\n"
    );
    println!(
        "{simulations} worlds of six regions, thirty edges and forty groups, 70 minutes of virtual time each, the first ten not counted.\n"
    );
    println!("{table}");
    let mut run = Run::new(measure::simulation(from), Strategy::Steering, from);
    while run.window < 120 {
        run.step();
    }
    println!("What `why` says after 20 minutes of the first world:\n");
    for clients in run.simulation.groups.iter().take(6) {
        println!("    {}", run.part.tables().explain(&clients.group));
    }
    match short.is_empty() {
        true => println!("\nsteering: holds"),
        false => println!("\nsteering: falls short: {}", short.join("; ")),
    }
    if short.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
