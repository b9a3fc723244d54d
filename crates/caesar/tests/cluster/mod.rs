//! Four replicas whose messages are delivered one by one, as the test chooses.
#[path = "../sim/cmd.rs"]
mod cmd;
use caesar::*;
pub use cmd::Cmd;
use primitives::{Mono, Span};

/// Sender, recipient and message.
pub type Envelope = (usize, usize, Message<Cmd>);

#[derive(Clone)]
pub struct Cluster {
    pub replicas: Vec<Machine<Cmd>>,
    pub now: Mono,
    /// Messages sent but not yet delivered.
    pub in_transit: Vec<Envelope>,
    /// Ids of the commands that each replica has delivered, in order.
    pub delivered: Vec<Vec<u64>>,
}

impl Cluster {
    pub fn new(config: ReplicaConfig) -> Cluster {
        let members: Vec<MemberId> = (0..4).map(MemberId).collect();
        let now = Mono(1_000_000);
        let replica = |i: u16| Machine::new(MemberId(i), members.clone(), config, now);
        Cluster {
            replicas: (0..4).map(replica).collect(),
            now,
            in_transit: vec![],
            delivered: vec![vec![]; 4],
        }
    }

    /// Replicas 0, 2 and 3 have decided command 1. Replica 1 has not received the decision; it
    /// proposed command 2, which was rejected, and has sent a Retry at a later timestamp, which
    /// only replica 0 has received.
    #[allow(dead_code)]
    pub fn with_retry_at_one_replica(config: ReplicaConfig) -> Cluster {
        let mut cluster = Cluster::new(config);
        cluster.with_replica(0, |machine, _, out| machine.advance_clock(50, out));
        cluster.propose(0, 1);
        cluster.deliver_where(|(from, to, _)| *from != 1 && *to != 1);
        cluster.in_transit.clear();
        cluster.with_replica(2, |machine, _, out| machine.advance_clock(60, out));
        cluster.propose(1, 2);
        cluster.deliver_where(|(from, to, message)| {
            *from != 3 && *to != 3 && !matches!(message, Message::Retry(_))
        });
        cluster.deliver_where(|(_, to, message)| *to == 0 && matches!(message, Message::Retry(_)));
        cluster
    }

    /// Calls `action` on a replica and carries out its outputs.
    pub fn with_replica(
        &mut self,
        i: usize,
        action: impl FnOnce(&mut Machine<Cmd>, Mono, &mut Vec<Out<Cmd>>),
    ) {
        let mut out = vec![];
        action(&mut self.replicas[i], self.now, &mut out);
        for output in out {
            match output {
                Out::Send(to, message) => self.in_transit.push((i, to.0 as usize, message)),
                Out::Deliver(_, cmd) => self.delivered[i].push(cmd.id),
                Out::Save(_) => (),
            }
        }
    }

    pub fn propose(&mut self, i: usize, id: u64) {
        self.with_replica(i, |machine, now, out| {
            machine.propose(now, Cmd { id, keys: vec![1] }, out);
        });
    }

    /// Delivers messages for which `may_pass` holds until there are none left; all others stay
    /// in transit.
    pub fn deliver_where(&mut self, may_pass: impl Fn(&Envelope) -> bool) {
        while let Some(index) = self.in_transit.iter().position(&may_pass) {
            let (from, to, message) = self.in_transit.remove(index);
            self.with_replica(to, |machine, now, out| machine.take(now, MemberId(from as u16), message, out));
        }
    }

    /// Runs `connected` for `span` with a timer tick each `step`. All messages among them arrive,
    /// all others are lost.
    pub fn run(&mut self, connected: &[usize], span: Span, step: Span) {
        for _ in 0..span.0 / step.0 {
            self.now = self.now + step;
            for i in connected {
                self.with_replica(*i, |machine, now, out| machine.tick(now, out));
            }
            self.deliver_where(|(from, to, _)| connected.contains(from) && connected.contains(to));
            self.in_transit.retain(|(from, to, _)| connected.contains(from) && connected.contains(to));
        }
    }
}
