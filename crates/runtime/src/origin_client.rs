//! The HTTP client's side of a round: nothing leaves past its point in time, and no
//! connection outlives its request.
use primitives::Mono;
use std::cell::Cell;
use std::time::Duration;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::Agent;

thread_local! {
    /// Until when this thread's round may leave, and whether any of it did.
    static LEAVE: Cell<(Mono, bool)> = const { Cell::new((Mono(0), false)) };
    /// Whether the origin's end of this thread's connection was seen.
    static ENDED: Cell<bool> = const { Cell::new(false) };
}

/// Looks at the clock right before bytes leave: after a freeze nothing goes out
/// on a decision made before it.
#[derive(Debug)]
struct Turnstile;

#[derive(Debug)]
struct Turned<T>(T);

impl<In: Transport> Connector<In> for Turnstile {
    type Out = Turned<In>;
    fn connect(&self, _: &ConnectionDetails, chained: Option<In>) -> Result<Option<Turned<In>>, ureq::Error> {
        Ok(chained.map(Turned))
    }
}

impl<T: Transport> Transport for Turned<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let (until, left) = LEAVE.get();
        if !left && crate::now() >= until {
            return Err(ureq::Error::Io(std::io::ErrorKind::TimedOut.into()));
        }
        LEAVE.set((until, true));
        self.0.transmit_output(amount, timeout)
    }
    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let more = self.0.await_input(timeout)?;
        if !more {
            ENDED.set(true);
        }
        Ok(more)
    }
    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Never pools: a kept-alive connection could outlive the service behind it.
pub(crate) fn agent(most: Duration, connect: Duration) -> Agent {
    let c = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None)
        // What the caller did not send is not made up.
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect))
        // Heads and small bodies; large ones take more turns.
        .input_buffer_size(16 << 10)
        .output_buffer_size(16 << 10)
        .timeout_global(Some(most))
        .build();
    let tcp: TcpConnector = TcpConnector::default();
    Agent::with_parts(c, Connector::<()>::chain(tcp, Turnstile), DefaultResolver::default())
}

/// From now on this thread's round may leave until then.
pub(crate) fn set_send_deadline(until: Mono) {
    LEAVE.set((until, false));
    ENDED.set(false);
}

/// Whether a byte of this thread's round has left.
pub(crate) fn any_bytes_sent() -> bool {
    LEAVE.get().1
}

/// Whether all that the origin of this thread's round sends was read to its connection's end.
pub(crate) fn peer_closed() -> bool {
    ENDED.get()
}
