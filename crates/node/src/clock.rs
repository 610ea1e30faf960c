//! The time of day, in Unix seconds. Everything that depends on it is handed a [`Clock`], so that tests can set it.

use std::time::UNIX_EPOCH;
use tokio::time::Instant;

/// Tells the time.
#[derive(Clone, Copy, Debug)]
pub enum Clock {
    /// The system's clock.
    System,
    /// A clock that stood at `unix` seconds at `since` and follows the runtime's, which tests can pause.
    Runtime {
        /// Unix seconds at that instant.
        unix: f64,
        /// The instant.
        since: Instant,
    },
}

impl Clock {
    /// A clock that stands at `unix` seconds now and follows the runtime's.
    pub fn runtime(unix: f64) -> Clock {
        Clock::Runtime { unix, since: Instant::now() }
    }

    /// Unix seconds.
    pub fn now(&self) -> f64 {
        match self {
            // A clock before 1970 reads as 1970.
            Clock::System => UNIX_EPOCH.elapsed().map_or(0.0, |t| t.as_secs_f64()),
            Clock::Runtime { unix, since } => unix + since.elapsed().as_secs_f64(),
        }
    }
}
