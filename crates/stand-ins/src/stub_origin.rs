//! A stub origin: sends beats, serves generated pages, misbehaves on request and counts
//! every request that reaches it.
use crate::stub_origin::serve::Server;
use primitives::Addr;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

mod beats;
mod serve;
mod state;

/// Requests that are served at the same time.
const THREADS: usize = 64;

/// What a stub origin is told.
#[derive(Clone, Debug)]
pub struct StubOriginEnv {
    /// Where it listens.
    pub at: Addr,
    /// The service that it serves.
    pub svc: String,
    /// Region and zone.
    pub zone: String,
    /// Concurrent requests that it claims to hold.
    pub cap: u32,
    /// HTTP addresses of the controllers that get its beats.
    pub controllers: Vec<Addr>,
    /// How long an answer takes.
    pub work: Duration,
}

/// Wall time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Serves until the process ends. Returns false at once if it cannot listen.
pub fn run(env: StubOriginEnv) -> bool {
    let Ok(listener) = TcpListener::bind(env.at.0) else { return false };
    let Ok(http) = tiny_http::Server::from_listener(listener, None) else { return false };
    let (http, state) = (Arc::new(http), Arc::new(Mutex::default()));
    let server = Server { env, state, birth: runtime::life() };
    for _ in 0..THREADS {
        let (http, server) = (http.clone(), server.clone());
        thread::spawn(move || {
            while let Ok(request) = http.recv() {
                server.serve(request);
            }
        });
    }
    beats::send_forever(&server.env, &server.state, server.birth)
}
