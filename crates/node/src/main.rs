//! One nodo: serves balancers until it is told to leave.

use jaspershunt_node::clock::Clock;
use jaspershunt_node::{config, log, server};
use std::io;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

fn main() -> ExitCode {
    let config = match config::load(variable) {
        Ok(config) => config,
        Err(e) => {
            log!("configuration: {e}");
            return ExitCode::FAILURE;
        }
    };
    // One core and one thread: nothing here waits but on sockets and timers.
    let run = || {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let mut hangup = signal(SignalKind::hangup())?;
            let listener = TcpListener::bind(config.listen)
                .await
                .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", config.listen)))?;
            let leave = async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            let (moves, peers) = watch::channel(config.peers);
            let running = config.clone();
            spawn_local(async move {
                while hangup.recv().await.is_some() {
                    server::reload(&running, config::load(variable), &moves);
                }
            });
            server::run(config, Clock::System, listener, peers, leave).await;
            Ok::<(), io::Error>(())
        })
    };
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log!("{e}");
            ExitCode::FAILURE
        }
    }
}
