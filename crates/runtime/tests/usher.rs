//! A connection that broke the framing stays known as such, also where the usher does not
//! find it: one accepted while it looks, or one whose two sides were shut already.
use runtime::usher::{Doing, Patience, Usher};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

#[test]
fn given_an_outcast_that_the_usher_does_not_find_then_what_follows_it_is_still_refused() {
    let at: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let who: SocketAddr = "127.0.0.1:2".parse().expect("an address");
    let usher = Usher::start(at, Patience::default());
    usher.set(who, Doing::Outcast);
    for _ in 0..5 {
        sleep(Duration::from_millis(100));
        assert!(usher.outcast(who), "forgotten while its bytes may still be read");
        usher.set(who, Doing::Asking);
    }
    // The address may come back, with another connection.
    sleep(Duration::from_secs(3));
    assert!(!usher.outcast(who));
}
