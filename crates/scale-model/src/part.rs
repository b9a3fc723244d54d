//! What one simulated process runs: a real part, or a thin stand-in for an edge.
use control_state::*;
use controller::Controller;
use edge::Edge;
use ledger::Ledger;
use primitives::{Epoch, Mono};

/// The part of one simulated process.
pub(crate) enum SimulatedPart {
    Controller(Box<Controller>),
    Edge(Box<Edge>),
    Ledger(Box<Ledger>),
    Thin(Box<ThinEdge>),
}

/// Sends and receives what an edge does for its feeds and leases, and keeps no items.
pub(crate) struct ThinEdge(Follower);

impl ThinEdge {
    pub(crate) fn new(env: FollowerEnv) -> ThinEdge {
        ThinEdge(Follower::new(env))
    }

    fn step(&mut self, now: Mono, input: In, outputs: &mut Vec<Out>) {
        match input {
            In::Tick if self.0.due(now) => self.0.subscribe(now, &[], Epoch(0), outputs),
            In::Msg(from, Msg::Update(news)) => {
                self.0.on_update(now, from, &news, outputs);
                self.0.items.clear();
            }
            _ => (),
        }
    }
}

impl SimulatedPart {
    pub(crate) fn step(&mut self, now: Mono, input: In, outputs: &mut Vec<Out>) {
        match self {
            SimulatedPart::Controller(controller) => controller.step(now, input, outputs),
            SimulatedPart::Edge(edge) => edge.step(now, input, outputs),
            SimulatedPart::Ledger(ledger) => ledger.step(now, input, outputs),
            SimulatedPart::Thin(thin) => thin.step(now, input, outputs),
        }
    }

    /// Whether it holds a lease, if it is an edge; true of the other roles.
    pub(crate) fn leased(&self, now: Mono) -> bool {
        match self {
            SimulatedPart::Edge(edge) => edge.leased(now),
            SimulatedPart::Thin(thin) => thin.0.leased(now),
            SimulatedPart::Controller(_) | SimulatedPart::Ledger(_) => true,
        }
    }

    pub(crate) fn is_thin(&self) -> bool {
        matches!(self, SimulatedPart::Thin(_))
    }
}
