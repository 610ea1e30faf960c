//! Lines for the operator on standard error, a bounded number of them a second.

use std::sync::Mutex;

/// Lines a second; more are counted and left out, so that no peer can fill a disk or take the core with them.
const LINES_PER_SECOND: u32 = 25;

/// Counts the lines of the present second.
#[derive(Debug)]
pub struct Limiter {
    most: u32,
    second: u64,
    lines: u32,
    dropped: u64,
}

impl Limiter {
    /// A limiter that has let nothing through yet, of so many lines a second.
    pub const fn new(most: u32) -> Self {
        Limiter { most, second: 0, lines: 0, dropped: 0 }
    }

    /// [`Limiter::admit`] at the present time.
    pub fn admit_now(&mut self) -> Option<u64> {
        self.admit(std::time::UNIX_EPOCH.elapsed().map_or(0, |t| t.as_secs()))
    }

    /// Whether a line may be written in this second, with the number of those left out before it.
    pub fn admit(&mut self, second: u64) -> Option<u64> {
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        if self.lines >= self.most {
            self.dropped += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

static LIMITER: Mutex<Limiter> = Mutex::new(Limiter::new(LINES_PER_SECOND));

/// Asks the program's one limiter for a line. Used by [`log!`](crate::log).
pub fn admit() -> Option<u64> {
    LIMITER.lock().map_or(Some(0), |mut limiter| limiter.admit_now())
}

/// Writes a line to standard error, unless too many were written in this second.
#[macro_export]
macro_rules! log {
    ($($arg:tt)*) => {
        if let Some(dropped) = $crate::log::admit() {
            if dropped > 0 {
                eprintln!("jaspershunt: {dropped} lines were left out here");
            }
            eprintln!("jaspershunt: {}", format_args!($($arg)*));
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let mut limiter = Limiter::new(LINES_PER_SECOND);
        let written = (0..100).filter(|_| limiter.admit(7).is_some()).count();
        assert_eq!(written, LINES_PER_SECOND as usize);
        assert_eq!(limiter.admit(8), Some(100 - u64::from(LINES_PER_SECOND)));
        assert_eq!(limiter.admit(8), Some(0));
    }
}
