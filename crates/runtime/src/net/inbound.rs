//! The receiving side: listeners, and the connections they accept.
use super::decoder::FrameDecoder;
use super::{count, Counts, Handshake};
use crate::frame::{decode, FrameError};
use control_state::Msg;
use mio::net::{TcpListener, TcpStream};
use mio::Token;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::{KeepAlive, TcpKeepCount, TcpKeepIdle, TcpKeepInterval};
use primitives::Addr;
use std::io::{ErrorKind, Read};
use std::rc::Rc;
use std::sync::Arc;

/// What a part does with a message; false ends the connection it came on.
pub(super) type Take = dyn Fn(Addr, Msg) -> bool + Send;

/// Reads of one connection before the others have their turn.
const READS_PER_TURN: usize = 8;
/// A peer that lost its power says nothing: after so many seconds of silence it is asked,
/// so often, at such intervals, and its connection then closed.
const KEEPALIVE_IDLE_SECS: u32 = 15;
const KEEPALIVE_INTERVAL_SECS: u32 = 5;
const KEEPALIVE_COUNT: u32 = 3;

/// Where one part listens.
pub(super) struct Listener {
    pub(super) socket: TcpListener,
    pub(super) counts: Arc<Counts>,
    pub(super) take: Rc<Take>,
}

/// Whether a connection's turn has left something to read.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// All that had arrived is read.
    Drained,
    /// There may be more.
    More,
    Ended,
}

/// Why reading stops for good.
enum Stop {
    BadFrame(FrameError),
    /// The part takes no more.
    Refused,
}

impl From<FrameError> for Stop {
    fn from(problem: FrameError) -> Stop {
        Stop::BadFrame(problem)
    }
}

/// One accepted connection. Its first frame tells who sends.
pub(super) struct Inbound {
    stream: TcpStream,
    pub(super) listener: Token,
    pub(super) from: Option<Handshake>,
    decoder: FrameDecoder,
    counts: Arc<Counts>,
    take: Rc<Take>,
}

impl Inbound {
    pub(super) fn new(stream: TcpStream, at: Token, listener: &Listener) -> Inbound {
        let (counts, take) = (listener.counts.clone(), listener.take.clone());
        Inbound { stream, listener: at, from: None, decoder: FrameDecoder::default(), counts, take }
    }

    pub(super) fn prepare(&mut self) -> nix::Result<&mut TcpStream> {
        setsockopt(&self.stream, KeepAlive, &true)?;
        setsockopt(&self.stream, TcpKeepIdle, &KEEPALIVE_IDLE_SECS)?;
        setsockopt(&self.stream, TcpKeepInterval, &KEEPALIVE_INTERVAL_SECS)?;
        setsockopt(&self.stream, TcpKeepCount, &KEEPALIVE_COUNT)?;
        Ok(&mut self.stream)
    }

    /// Reads what has arrived, up to a bound. `ending` tells that the peer has closed,
    /// so that a short read is not the last one.
    pub(super) fn read(&mut self, scratch: &mut [u8], ending: bool) -> ReadOutcome {
        for _ in 0..READS_PER_TURN {
            match self.stream.read(scratch) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(n) => {
                    if !self.feed(&scratch[..n]) {
                        return ReadOutcome::Ended;
                    }
                    if n < scratch.len() && !ending {
                        return ReadOutcome::Drained;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return ReadOutcome::Drained,
                Err(e) if e.kind() == ErrorKind::Interrupted => (),
                Err(_) => return ReadOutcome::Ended,
            }
        }
        ReadOutcome::More
    }

    fn feed(&mut self, bytes: &[u8]) -> bool {
        let Inbound { from, decoder, counts, take, .. } = self;
        let fed = decoder.feed(bytes, |content| on_frame(content, from, counts, &**take));
        if let Err(Stop::BadFrame(problem)) = &fed {
            counts.refused(problem);
        }
        fed.is_ok()
    }
}

fn on_frame(content: &[u8], from: &mut Option<Handshake>, counts: &Counts, take: &Take) -> Result<(), Stop> {
    let Some(Handshake { from: sender, .. }) = *from else {
        *from = Some(decode(content)?);
        return Ok(());
    };
    let m: Msg = decode(content)?;
    count(&counts.received, 1);
    take(sender, m).then_some(()).ok_or(Stop::Refused)
}
