//! Starting the daemons.
use crate::desk;
use control_state::*;
use primitives::{Addr, Birth, Span};
use runtime::env::{Env, EnvProblem, Place};
use runtime::exec::ExecEnv;
use runtime::front::{self, FrontEnv, Open};
use runtime::logs::{on_panic, LogRing};
use runtime::net::{Counts, Net};
use runtime::ring::{Ring, RingProblem};
use runtime::room::Room;
use runtime::shell::{self, Frame, Handle};
use slog::info;
use snafu::{ResultExt, Snafu};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Debug, Snafu)]
pub enum StartProblem {
    #[snafu(display("{source}"), context(false))]
    Env { source: EnvProblem },
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen { addr: Addr, source: std::io::Error },
    #[snafu(display("disk: {source}"), context(false))]
    Disk { source: RingProblem },
    #[snafu(display("disk: a record with a good checksum does not decode; another version wrote it"))]
    Undecodable,
    #[snafu(display("signals: {source}"))]
    Signals { source: std::io::Error },
}

pub struct Start {
    pub env: Env,
    pub place: Place,
    pub data: PathBuf,
    pub simulate: bool,
}

type Result<T> = std::result::Result<T, StartProblem>;

fn bind(a: Addr) -> Result<TcpListener> {
    TcpListener::bind(a.0).context(ListenSnafu { addr: a })
}

impl Start {
    fn follow(&self, birth: u64) -> FollowEnv {
        let p = self.place.clone();
        FollowEnv {
            id: p.node,
            role: p.role,
            addr: p.cohort,
            http: p.http,
            zone: p.zone,
            seeds: p.seeds,
            birth: Birth(birth),
            life: runtime::life(),
            lease: self.env.limits.lease,
            serve_on: false,
        }
    }

    fn net(&self, counts: &Arc<Counts>) -> Net {
        let (env, me, on) = (self.env.clone(), self.place.zone.clone(), self.simulate);
        let zone = move |a: &Addr| env.nodes.iter().find(|p| p.cohort == *a).map(|p| env.away(&me, &p.zone));
        let far = move |a: &Addr| zone(a).filter(|_| on).unwrap_or_default();
        Net::new(self.place.cohort, Arc::new(far), counts.clone())
    }

    fn disk(&self) -> Result<(Ring, Vec<Vec<u8>>)> {
        let dir = self.data.join(format!("node-{}", self.place.node));
        let (ring, recs) = Ring::open(&dir, 4, (self.env.limits.ring_mb << 20) as u64 / 4)?;
        shell::unpack(recs).map(|e| (ring, e)).ok_or(StartProblem::Undecodable)
    }

    fn run(self, part: Box<dyn Part>, first: Vec<Out>, ring: Option<Ring>) -> Result<()> {
        let logs = LogRing::default();
        on_panic(logs.clone());
        let role = runtime::env::role_name(self.place.role);
        let log = logs.logger().new(slog::o!("role" => role, "node" => self.place.node.0));
        let counts = Arc::new(Counts::default());
        let net = self.net(&counts);
        let cohort = bind(self.place.cohort)?;
        let http = bind(self.place.http)?;
        let edge = self.place.role == Role::Edge;
        let l = self.env.limits.clone();
        let room = Room::new(l.memory_mb << 20);
        let (tx, start) = runtime::exec::rounds(ExecEnv {
            answer: l.answer_kb << 10,
            room: room.clone(),
            manner: Default::default(),
        });
        let front =
            FrontEnv { callers: l.callers, body: l.body_kb << 10, room, patience: Default::default() };
        let frame = Frame { part, first, ring, net, rounds: Some(tx), log: log.clone() };
        let mut signals = signal_hook::iterator::Signals::new([15, 2]).context(SignalsSnafu)?;
        let (patience, grace) = (l.patience, l.grace);
        let c = counts.clone();
        shell::run(frame, cohort, counts, move |h| {
            let hh = h.clone();
            let open = front::serve(http, front, move |call| desk::answer(&hh, role, &c, call));
            if edge {
                start(h.clone());
                runtime::exec::probe(h.clone());
            }
            thread::spawn(move || {
                if let Some(s) = signals.forever().next() {
                    info!(log, "leaving"; "signal" => s);
                    leave(&h, &open, patience, grace);
                    open.shut_idle();
                    h.stop();
                }
            });
        });
        Ok(())
    }
}

/// Is not ready any more, takes requests for the grace, then waits for what is in
/// hand, so that no request that an origin still works on is cut off.
fn leave(h: &Handle, open: &Open, patience: Span, grace: Span) {
    let tick = Duration::from_millis(50);
    let most = Duration::from(patience.times(3) + grace).as_millis() / tick.as_millis();
    let mut calm = 0;
    for _ in 0..most {
        let busy = match h.ask(Ask::Drain, Duration::from_secs(1)) {
            Some(Receipt::Health(x)) => x.in_hand > 0 || x.taking,
            _ => false,
        };
        calm = if busy || open.any() { 0 } else { calm + 1 };
        if calm > 3 {
            return;
        }
        thread::sleep(tick);
    }
}

pub fn controller(s: Start) -> Result<()> {
    let (ring, recs) = s.disk()?;
    let kept = recs.iter().map(|r| controller::Kept::decode(r)).collect::<Option<Vec<_>>>();
    let kept = kept.ok_or(StartProblem::Undecodable)?;
    let (l, p) = (s.env.limits.clone(), s.place.clone());
    let env = controller::ControllerEnv {
        addr: p.cohort,
        http: p.http,
        zone: p.zone,
        seeds: p.seeds,
        found: true,
        open: None,
        lease: l.lease,
        cut_at: l.cut_at,
        window: l.window,
        vanish: l.vanish,
        base_after: l.ring_mb << 18,
        room: (l.ring_mb << 20) * 3 / 8,
        pace: caesar::Pace::default(),
    };
    let mut out = vec![];
    let k = controller::Controller::start(env, kept, runtime::life(), runtime::now(), &mut out);
    s.run(Box::new(k), out, Some(ring))
}

pub fn edge(s: Start) -> Result<()> {
    let l = s.env.limits.clone();
    let env = edge::EdgeEnv {
        follow: s.follow(runtime::life()),
        fresh: l.fresh,
        patience: l.patience,
        copies: l.copies_mb << 20,
        // A quarter for one service: two that hang leave half to the others.
        hands: (l.callers / 4, l.callers),
        grace: l.grace,
        policy: edge::EdgePolicy::default(),
        losses: 1,
        stock: true,
        leave: LEAVE,
    };
    s.run(Box::new(edge::Edge::new(env)), vec![], None)
}

pub fn ledger(s: Start) -> Result<()> {
    let (ring, recs) = s.disk()?;
    let kept = recs.iter().map(|r| ledger::Kept::decode(r)).collect::<Option<Vec<_>>>();
    let kept = kept.ok_or(StartProblem::Undecodable)?;
    let base_after = s.env.limits.ring_mb << 18;
    let room = s.env.limits.ring_mb << 16;
    let env = ledger::LedgerEnv {
        follow: s.follow(0),
        window: s.env.limits.window,
        base_after,
        room,
        // One file of the ring, less the copies and an eighth to spare.
        most: base_after - room - base_after / 8,
        boot: runtime::boot(),
        losses: 1,
        leave: LEAVE,
        sparing: false,
    };
    let mut out = vec![];
    let c = ledger::Ledger::start(env, kept, runtime::life(), runtime::now(), &mut out);
    s.run(Box::new(c), out, Some(ring))
}
