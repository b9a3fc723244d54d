//! HTTP client for attempts at origins. Nothing is sent after an attempt's send deadline, and
//! no connection is reused for another request.
use primitives::Mono;
use std::cell::Cell;
use std::time::Duration;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::Agent;

thread_local! {
    /// Send deadline of this thread's attempt, and whether any byte of it was sent.
    static SEND_STATE: Cell<(Mono, bool)> = const { Cell::new((Mono(0), false)) };
    /// Whether the origin closed its side of this thread's connection.
    static PEER_CLOSED: Cell<bool> = const { Cell::new(false) };
}

/// Connector whose connections check the deadline.
#[derive(Debug)]
struct DeadlineConnector;

/// Checks the send deadline right before bytes are sent: after the machine was frozen, nothing is
/// sent on a decision made before the freeze.
#[derive(Debug)]
struct DeadlineTransport<T>(T);

impl<In: Transport> Connector<In> for DeadlineConnector {
    type Out = DeadlineTransport<In>;
    fn connect(
        &self,
        _: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<DeadlineTransport<In>>, ureq::Error> {
        Ok(chained.map(DeadlineTransport))
    }
}

impl<T: Transport> Transport for DeadlineTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        let (deadline, any_sent) = SEND_STATE.get();
        if !any_sent && crate::now() >= deadline {
            return Err(ureq::Error::Io(std::io::ErrorKind::TimedOut.into()));
        }
        SEND_STATE.set((deadline, true));
        self.0.transmit_output(amount, timeout)
    }
    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let more = self.0.await_input(timeout)?;
        if !more {
            PEER_CLOSED.set(true);
        }
        Ok(more)
    }
    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}

/// Takes the address of an origin as it stands in the URL, where there are no host names. The library's
/// resolver would start a thread for each request.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(&self, uri: &Uri, _: &Config, _: NextTimeout) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// A client with the given timeouts for a whole request and for connecting. It does not pool: a
/// kept-alive connection could outlive the service behind it.
pub(crate) fn agent(timeout: Duration, connect: Duration) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .proxy(None)
        // Adds no header fields that the caller did not send.
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(connect))
        // Fits a head and a small body; large bodies take several reads or writes.
        .input_buffer_size(16 << 10)
        .output_buffer_size(16 << 10)
        .timeout_global(Some(timeout))
        .build();
    let tcp: TcpConnector = TcpConnector::default();
    Agent::with_parts(config, Connector::<()>::chain(tcp, DeadlineConnector), AddressResolver)
}

/// Begins an attempt on this thread, which must not be sent after `deadline`.
pub(crate) fn set_send_deadline(deadline: Mono) {
    SEND_STATE.set((deadline, false));
    PEER_CLOSED.set(false);
}

/// Whether any byte of this thread's attempt was sent.
pub(crate) fn any_bytes_sent() -> bool {
    SEND_STATE.get().1
}

/// Whether the response to this thread's attempt was read up to the end of the connection.
pub(crate) fn peer_closed() -> bool {
    PEER_CLOSED.get()
}
