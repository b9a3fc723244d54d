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

/// Delivers a message and its sender to a part; returning false closes the connection.
pub(super) type OnMessage = dyn Fn(Addr, Msg) -> bool + Send;

/// Most reads of one connection before other connections are served.
const READS_PER_TURN: usize = 8;
/// TCP keep-alive, because a peer that lost power closes nothing: seconds of silence before
/// the first probe, seconds between probes, and unanswered probes before the connection is
/// closed.
const KEEPALIVE_IDLE_SECS: u32 = 15;
const KEEPALIVE_INTERVAL_SECS: u32 = 5;
const KEEPALIVE_COUNT: u32 = 3;

/// The listening socket of one part.
pub(super) struct Listener {
    pub(super) socket: TcpListener,
    pub(super) counts: Arc<Counts>,
    pub(super) on_message: Rc<OnMessage>,
}

/// The state of a connection after its turn to be read.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Everything received so far has been read.
    Drained,
    /// There may be more to read.
    More,
    /// The connection has ended or must be closed.
    Ended,
}

/// Why a connection must be closed.
enum CloseReason {
    BadFrame(FrameError),
    /// The part accepts no more messages.
    Refused,
}

impl From<FrameError> for CloseReason {
    fn from(error: FrameError) -> CloseReason {
        CloseReason::BadFrame(error)
    }
}

/// An accepted connection. Its first frame is the handshake, which identifies the sender.
pub(super) struct Inbound {
    stream: TcpStream,
    pub(super) listener: Token,
    pub(super) from: Option<Handshake>,
    decoder: FrameDecoder,
    counts: Arc<Counts>,
    on_message: Rc<OnMessage>,
}

impl Inbound {
    pub(super) fn new(stream: TcpStream, listener_token: Token, listener: &Listener) -> Inbound {
        let (counts, on_message) = (listener.counts.clone(), listener.on_message.clone());
        Inbound {
            stream,
            listener: listener_token,
            from: None,
            decoder: FrameDecoder::default(),
            counts,
            on_message,
        }
    }

    /// Enables keep-alive and returns the stream to be registered.
    pub(super) fn prepare(&mut self) -> nix::Result<&mut TcpStream> {
        setsockopt(&self.stream, KeepAlive, &true)?;
        setsockopt(&self.stream, TcpKeepIdle, &KEEPALIVE_IDLE_SECS)?;
        setsockopt(&self.stream, TcpKeepInterval, &KEEPALIVE_INTERVAL_SECS)?;
        setsockopt(&self.stream, TcpKeepCount, &KEEPALIVE_COUNT)?;
        Ok(&mut self.stream)
    }

    /// Reads what was received, at most `READS_PER_TURN` times. `ending` means that the peer has
    /// closed the connection: then a short read is not the last one, for the end follows.
    pub(super) fn read(&mut self, buffer: &mut [u8], ending: bool) -> ReadOutcome {
        for _ in 0..READS_PER_TURN {
            match self.stream.read(buffer) {
                Ok(0) => return ReadOutcome::Ended,
                Ok(n) => {
                    if !self.feed(&buffer[..n]) {
                        return ReadOutcome::Ended;
                    }
                    if n < buffer.len() && !ending {
                        return ReadOutcome::Drained;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Drained,
                Err(error) if error.kind() == ErrorKind::Interrupted => (),
                Err(_) => return ReadOutcome::Ended,
            }
        }
        ReadOutcome::More
    }

    /// Decodes and delivers received bytes; false if the connection must be closed.
    fn feed(&mut self, bytes: &[u8]) -> bool {
        let Inbound { from, decoder, counts, on_message, .. } = self;
        let result = decoder.feed(bytes, |content| on_frame(content, from, counts, &**on_message));
        if let Err(CloseReason::BadFrame(error)) = &result {
            counts.count_rejected_frame(error);
        }
        result.is_ok()
    }
}

fn on_frame(
    content: &[u8],
    from: &mut Option<Handshake>,
    counts: &Counts,
    on_message: &OnMessage,
) -> Result<(), CloseReason> {
    let Some(Handshake { from: sender, .. }) = *from else {
        *from = Some(decode(content)?);
        return Ok(());
    };
    let message: Msg = decode(content)?;
    count(&counts.received, 1);
    on_message(sender, message).then_some(()).ok_or(CloseReason::Refused)
}
