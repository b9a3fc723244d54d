//! Logs: a ring in memory, written out when something goes wrong.
use slog::{Drain, Level, Logger, OwnedKVList, Record, KV};
use std::collections::VecDeque;
use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::sync::{Arc, Mutex};

const KEPT: usize = 1000;

/// Invariant: at most `KEPT` lines; a written-out line is not written again.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<VecDeque<String>>>);

impl LogBuffer {
    pub fn logger(&self) -> Logger {
        Logger::root(self.clone().fuse(), slog::o!())
    }

    pub fn dump(&self) {
        let mut e = std::io::stderr().lock();
        let mut q = self.0.lock().unwrap_or_else(|p| p.into_inner());
        q.drain(..).for_each(|l| {
            let _ = writeln!(e, "{l}");
        });
    }
}

struct Fields(String);

impl slog::Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, val: &fmt::Arguments) -> slog::Result {
        write!(self.0, " {key}={val}").map_err(|_| slog::Error::Other)
    }
}

impl Drain for LogBuffer {
    type Ok = ();
    type Err = slog::Error;

    /// An error or worse writes out all that led to it.
    fn log(&self, r: &Record, kv: &OwnedKVList) -> Result<(), slog::Error> {
        let mut f = Fields(String::new());
        r.kv().serialize(r, &mut f)?;
        kv.serialize(r, &mut f)?;
        let at = crate::now();
        let line =
            format!("{:>10}.{:03} {} {}{}", at.0 / 1_000_000, at.0 / 1000 % 1000, r.level(), r.msg(), f.0);
        {
            let mut q = self.0.lock().unwrap_or_else(|p| p.into_inner());
            if q.len() == KEPT {
                q.pop_front();
            }
            q.push_back(line);
        }
        if r.level().is_at_least(Level::Error) {
            self.dump();
        }
        Ok(())
    }
}

/// A panic is something going wrong: the ring first, then the process ends,
/// for a part that panicked must not go on half done.
pub fn on_panic(ring: LogBuffer) {
    let was = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |i| {
        ring.dump();
        was(i);
        std::process::abort();
    }));
}
