//! The time of day, in Unix seconds. Code that depends on it receives a [`Clock`], so that tests can set it.

use std::time::UNIX_EPOCH;
use tokio::time::Instant;

/// A source of the time.
#[derive(Clone, Copy, Debug)]
pub enum Clock {
    /// The system's clock.
    System,
    /// A clock that read `unix` seconds at `since` and follows the runtime's, which tests can pause.
    Runtime {
        /// Unix seconds at that instant.
        unix: f64,
        /// The instant.
        since: Instant,
    },
}

impl Clock {
    /// Creates a clock that reads `unix` seconds now and follows the runtime's.
    pub fn runtime(unix: f64) -> Clock {
        Clock::Runtime { unix, since: Instant::now() }
    }

    /// Returns the time in Unix seconds.
    pub fn now(&self) -> f64 {
        match self {
            // Times before 1970 read as 1970.
            Clock::System => UNIX_EPOCH.elapsed().map_or(0.0, |t| t.as_secs_f64()),
            Clock::Runtime { unix, since } => unix + since.elapsed().as_secs_f64(),
        }
    }
}
