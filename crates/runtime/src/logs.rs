//! Logging: recent lines are kept in memory and written to standard error after an error.
use slog::{Drain, Level, Logger, OwnedKVList, Record, KV};
use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex};

/// Most lines held in memory; older ones are dropped.
const MAX_LINES: usize = 1000;

/// The most recent log lines; clones share them. Invariant: at most `MAX_LINES` lines, and a line
/// that was written out is removed.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<VecDeque<String>>>);

impl LogBuffer {
    /// A logger that writes to this buffer.
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), slog::o!())
    }

    /// Writes all buffered lines to standard error and empties the buffer.
    pub fn dump(&self) {
        let mut stderr = std::io::stderr().lock();
        let mut lines = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        lines.drain(..).for_each(|line| {
            let _ = writeln!(stderr, "{line}");
        });
    }
}

/// Formats the key-value pairs of a log record.
struct Fields(String);

impl slog::Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(|_| slog::Error::Other)
    }
}

impl Drain for LogBuffer {
    type Ok = ();
    type Err = slog::Error;

    /// Buffers the line; a line of level error or worse writes out the whole buffer.
    fn log(&self, record: &Record, logger_values: &OwnedKVList) -> Result<(), slog::Error> {
        let mut fields = Fields(String::new());
        record.kv().serialize(record, &mut fields)?;
        logger_values.serialize(record, &mut fields)?;
        let time = crate::now();
        let line = format!(
            "{:>10}.{:03} {} {}{}",
            time.0 / 1_000_000,
            time.0 / 1000 % 1000,
            record.level(),
            record.msg(),
            fields.0
        );
        {
            let mut lines = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            if lines.len() == MAX_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
        if record.level().is_at_least(Level::Error) {
            self.dump();
        }
        Ok(())
    }
}

/// Installs a panic hook that writes out the buffer and aborts the process, since a part that
/// panicked must not continue with inconsistent state.
pub fn on_panic(buffer: LogBuffer) {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        buffer.dump();
        previous_hook(info);
        std::process::abort();
    }));
}
