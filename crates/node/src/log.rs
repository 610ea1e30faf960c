//! Log lines for the operator on standard error: text or JSON, filtered by level, rate-limited.

use std::fmt;
use std::sync::Mutex;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Maximum lines per second. Further lines are counted and dropped, so that no peer can fill the disk or use
/// up the core with them.
const LINES_PER_SECOND: u32 = 25;

/// Limits the lines of each second.
#[derive(Debug)]
pub struct Limiter {
    max_lines: u32,
    second: u64,
    lines: u32,
    dropped: u64,
}

impl Limiter {
    /// Creates a limiter of this many lines per second.
    pub const fn new(max_lines: u32) -> Self {
        Limiter { max_lines, second: 0, lines: 0, dropped: 0 }
    }

    /// Calls [`Limiter::admit`] with the current time.
    pub fn admit_now(&mut self) -> Option<u64> {
        self.admit(std::time::UNIX_EPOCH.elapsed().map_or(0, |t| t.as_secs()))
    }

    /// Returns the number of lines dropped before this one, or `None` if this line must be dropped too.
    pub fn admit(&mut self, second: u64) -> Option<u64> {
        if second != self.second {
            (self.second, self.lines) = (second, 0);
        }
        if self.lines >= self.max_lines {
            self.dropped += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

static LIMITER: Mutex<Limiter> = Mutex::new(Limiter::new(LINES_PER_SECOND));

/// Asks the program's limiter whether a line may be written. Used by [`log!`](crate::log).
pub fn admit() -> Option<u64> {
    LIMITER.lock().map_or(Some(0), |mut limiter| limiter.admit_now())
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// `jaspershunt: ` and the text; a level is named where it is not that of ordinary lines.
    #[default]
    Text,
    /// One JSON object a line, with time, level and text.
    Json,
}

/// Starts writing lines of this level and above to standard error. A second call has no effect.
pub fn start(form: Form, least: Level) {
    let lines = tracing_subscriber::fmt().with_max_level(least).with_writer(std::io::stderr);
    // An error means that logging was started before.
    let _ = match form {
        Form::Text => lines.event_format(Text).try_init(),
        Form::Json => lines.json().flatten_event(true).with_target(false).try_init(),
    };
}

/// Formats lines as text.
struct Text;

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        write!(to, "jaspershunt: ")?;
        if *event.metadata().level() != Level::INFO {
            write!(to, "{}: ", event.metadata().level().as_str().to_lowercase())?;
        }
        let mut message = Message(&mut to, Ok(()));
        event.record(&mut message);
        message.1?;
        writeln!(to)
    }
}

/// Writes the message of a line, the only field that lines have.
struct Message<'a, 'b>(&'a mut Writer<'b>, fmt::Result);

impl Visit for Message<'_, '_> {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.1 = write!(self.0, "{value:?}");
        }
    }
}

/// Writes a log line, unless the rate limit is reached. A level other than INFO comes first: `log!(WARN,
/// "…")`.
#[macro_export]
macro_rules! log {
    ($level:ident, $($arg:tt)*) => {
        if let Some(dropped) = $crate::log::admit() {
            if dropped > 0 {
                ::tracing::warn!("{dropped} lines were left out here");
            }
            ::tracing::event!(::tracing::Level::$level, $($arg)*);
        }
    };
    ($($arg:tt)*) => {
        $crate::log!(INFO, $($arg)*)
    };
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::sync::Arc;

    #[test]
    fn lines_beyond_the_limit_are_dropped_and_counted() {
        let mut limiter = Limiter::new(LINES_PER_SECOND);
        let written = (0..100).filter(|_| limiter.admit(7).is_some()).count();
        assert_eq!(written, LINES_PER_SECOND as usize);
        assert_eq!(limiter.admit(8), Some(100 - u64::from(LINES_PER_SECOND)));
        assert_eq!(limiter.admit(8), Some(0));
    }

    #[derive(Clone, Default)]
    struct Lines(Arc<Mutex<Vec<u8>>>);

    impl Write for Lines {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().unwrap().write(bytes)
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn text_lines_name_their_level_unless_it_is_info() {
        let lines = Lines::default();
        let to = lines.clone();
        let subscriber = tracing_subscriber::fmt()
            .with_max_level(Level::INFO)
            .with_writer(move || to.clone())
            .event_format(Text)
            .finish();
        tracing::subscriber::with_default(subscriber, || {
            tracing::info!("n{} is up", 3);
            tracing::warn!("a \"word\"");
            tracing::debug!("not this");
        });
        let written = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
        assert_eq!(written, "jaspershunt: n3 is up\njaspershunt: warn: a \"word\"\n");
    }
}
