//! The nodo's program: serves balancers until it receives a signal to leave; its subcommands are tools for
//! operators.

use clap::Parser;
use jaspershunt_node::admin::{self, AdminState, Order};
use jaspershunt_node::cli::{self, Cli, Command, Serve};
use jaspershunt_node::clock::Clock;
use jaspershunt_node::config::{self, Config};
use jaspershunt_node::server::Endpoints;
use jaspershunt_node::upgrade::link::Place;
use jaspershunt_node::{log, server};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serve(&Serve::default()),
        Some(Command::Serve(how)) => serve(&how),
        Some(Command::Check { file, config }) => cli::check(&file, config.as_deref()),
        Some(Command::Explain { file, json }) => cli::write_out(&file, json),
        Some(Command::Capture(what)) => cli::capture::run(&what),
        Some(Command::Fleet(what)) => cli::fleet::run(&what),
        Some(Command::Work(what)) => cli::work::run(&what),
        Some(Command::Steering(what)) => cli::steering::run(&what),
        Some(Command::Routes(what)) => cli::routes::run(&what),
    }
}

/// Loads the configuration, with the operator's file if there is one.
fn configuration(how: &Serve) -> Result<Config, String> {
    let config = config::load(variable).map_err(|e| format!("configuration: {e}"))?;
    let Some(path) = &how.operator else { return Ok(config) };
    let file = jaspershunt_operator::load(path).map_err(|problems| one_line(problems.iter()))?;
    config.with_operator(file).map_err(|wrong| format!("{path}: {}", one_line(wrong.iter())))
}

/// Formats the first of several messages with the number of further ones.
fn one_line<T: ToString>(mut messages: impl ExactSizeIterator<Item = T>) -> String {
    let more = messages.len().saturating_sub(1);
    let first = messages.next().map_or(String::new(), |first| first.to_string());
    if more > 0 { format!("{first} (and {more} more: see check)") } else { first }
}

fn serve(how: &Serve) -> ExitCode {
    cli::start_log(how);
    let config = match configuration(how) {
        Ok(config) => config,
        Err(e) => {
            log!(ERROR, "{e}");
            return ExitCode::FAILURE;
        }
    };
    // One thread suffices: tasks wait only on sockets and timers.
    let run = || {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let ended = LocalSet::new().block_on(&runtime, async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let mut hangup = signal(SignalKind::hangup())?;
            let admin = config.admin.map(|at| server::listen("admin", at, false)).transpose()?;
            // A later process can take over if operators can call and both processes see the same folder.
            let folder = config.admin.and(variable("TMPDIR").filter(|folder| !folder.is_empty()));
            let upgrade = folder.and_then(|folder| {
                let place = Place::new(Path::new(&folder), &config.name);
                match place.mark_alive() {
                    Ok(alive) => Some((place, alive)),
                    // Without the file two processes could serve at one address without knowing of each
                    // other.
                    Err(e) => {
                        log!(WARN, "upgrade: {folder} cannot be used: {e}; no other start can take over");
                        None
                    }
                }
            });
            let desk = Rc::new(AdminState::default());
            let orders = mpsc::channel(admin::QUEUE);
            let to_engine = orders.0.clone();
            let endpoints = Endpoints { listener: None, admin, desk: desk.clone(), orders, upgrade };
            let leave = async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            // Without captures the signal keeps its default action.
            if config.operator.as_ref().is_some_and(|file| file.capture.is_some()) {
                let mut asked = signal(SignalKind::user_defined1())?;
                let orders = to_engine.clone();
                spawn_local(async move {
                    while asked.recv().await.is_some() {
                        let _ = orders.send(Order::WriteCapture).await;
                    }
                });
            }
            let (moves, peers) = watch::channel(config.peers);
            let (operators, operator) = watch::channel(None);
            let mut running = config.clone();
            let path = how.operator.clone();
            let counts = desk;
            spawn_local(async move {
                while hangup.recv().await.is_some() {
                    server::reload(&mut running, config::load(variable), &moves, &to_engine, &counts).await;
                    let Some(path) = &path else { continue };
                    let read = jaspershunt_operator::load(path).map_err(|problems| one_line(problems.iter()));
                    let fits = read.and_then(|file| match running.against(&file) {
                        wrong if wrong.is_empty() => Ok(file),
                        wrong => Err(format!("{path}: {}", one_line(wrong.iter()))),
                    });
                    match fits {
                        Ok(file) => operators.send_modify(|operator| *operator = Some(Rc::new(file))),
                        Err(e) => log!(ERROR, "{e}; the one before stays in force"),
                    }
                }
            });
            server::run(config, Clock::System, endpoints, peers, operator, leave).await
        });
        // Does not wait for threads blocked on a stalled disk.
        runtime.shutdown_background();
        ended
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log!(ERROR, "{e}");
            ExitCode::FAILURE
        }
    }
}
