//! One nodo: serves balancers until it is told to leave.

use jaspershunt_node::clock::Clock;
use jaspershunt_node::{config, log, server};
use std::io;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let config = match config::load(|name| std::env::var(name).ok()) {
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
            let listener = TcpListener::bind(config.listen)
                .await
                .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", config.listen)))?;
            let leave = async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            server::run(config, Clock::System, listener, leave).await;
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
