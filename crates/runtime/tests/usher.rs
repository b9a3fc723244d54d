//! A connection that broke the framing stays known as such, also where the usher does not
//! find it: one accepted while it looks, or one whose two sides were shut already.
use runtime::connection_monitor::{ConnectionMonitor, ConnectionPhase, Patience};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

#[test]
fn given_an_outcast_that_the_usher_does_not_find_then_what_follows_it_is_still_refused() {
    let at: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let who: SocketAddr = "127.0.0.1:2".parse().expect("an address");
    let connection_monitor = ConnectionMonitor::start(at, Patience::default());
    connection_monitor.set(who, ConnectionPhase::ProtocolViolation);
    for _ in 0..5 {
        sleep(Duration::from_millis(100));
        assert!(connection_monitor.violated_protocol(who), "forgotten while its bytes may still be read");
        connection_monitor.set(who, ConnectionPhase::Asking);
    }
    // The address may come back, with another connection.
    sleep(Duration::from_secs(3));
    assert!(!connection_monitor.violated_protocol(who));
}
