//! Who owns the keys while two processes are one nodo, and so where a try may run. Without I/O.
//!
//! Keys have one owner at a time. The earlier start owns them until it gives them away with its whole table; from then on
//! it runs only what it has in hand, tells what that comes to, and sends all that is new to the later start. When the link
//! between the two breaks, nobody can say what the other ran. A keyed try is then run only if it is proven to be the first
//! of its request, or if all that is known of its key lies here; any other fails, which promises nothing.

use jaspershunt::Seconds;

/// What is known here of the key of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// The try has no key, and may run any number of times.
    NoKey,
    /// Nothing.
    Nothing,
    /// A try of it is held here, runs here, or ran.
    Here,
}

/// What is known of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// What is known of its key.
    pub known: Known,
    /// It is marked as a further try, or such are not marked.
    pub may_repeat: bool,
    /// When it came to the machine.
    pub arrived: Seconds,
}

/// Where a try goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goes {
    /// To this process's own decisions.
    Here,
    /// To the process that owns the keys.
    There,
    /// Nowhere: it fails, since another try of it may have run.
    Nowhere,
}

/// Who owns the keys, seen from one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Claims {
    /// This process, and nobody else has run anything that it does not know of.
    Mine,
    /// The later start.
    Theirs,
    /// This process, since the other one is gone, which may have run what nobody else knows of: tries that came before
    /// `since` reached it perhaps, and the keys of those are remembered until `until`.
    Orphaned {
        /// When the other one was last known to be there.
        since: Seconds,
        /// When all windows have passed of what it may have run.
        until: Seconds,
    },
}

impl Claims {
    /// The keys are given to the later start.
    pub fn give(&mut self) {
        *self = Claims::Theirs;
    }

    /// The link to the other process broke, which may have run tries that came before now.
    pub fn break_off(&mut self, now: Seconds, longest_window: Seconds) {
        *self = Claims::Orphaned { since: now, until: now + longest_window };
    }

    /// Where a try goes.
    pub fn place(&mut self, now: Seconds, a_try: Try) -> Goes {
        match *self {
            Claims::Mine => Goes::Here,
            Claims::Theirs => Goes::There,
            Claims::Orphaned { until, .. } if now > until => {
                *self = Claims::Mine;
                Goes::Here
            }
            Claims::Orphaned { since, .. } => match a_try.known {
                Known::NoKey | Known::Here => Goes::Here,
                // Only the first try of a request is not marked, and what came after the break never reached the other.
                Known::Nothing if !a_try.may_repeat && a_try.arrived > since => Goes::Here,
                Known::Nothing => Goes::Nowhere,
            },
        }
    }
}

#[cfg(test)]
mod tests;
