//! What a role is to its shell: a pure part that is stepped and answers with
//! outputs. Simulator and stakker run the same parts.
use crate::command::Change;
use crate::configuration::CallerLimits;
use crate::digest::ItemsDigest;
use crate::headers::Headers;
use crate::items::*;
use crate::message::*;
use crate::report::Report;
use crate::state::ControlState;
use crate::verdict::Verdict;
use crate::whole::Whole;
use primitives::{Addr, Birth, Mono, Span, Token};
use std::sync::Arc;

/// A caller's request as an edge sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    pub method: String,
    /// Found by host and path, if there is a host.
    pub lane: Lane,
    pub host: Option<String>,
    pub path: String,
    pub key: Option<String>,
    /// End-to-end fields, with those that forwarding adds.
    pub heads: Headers,
    pub body: Arc<Vec<u8>>,
    /// How long its caller waits, if it says so.
    pub left: Option<Span>,
}

/// One try at an origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    pub n: u64,
    pub addr: Addr,
    pub svc: Svc,
    pub birth: Birth,
    /// What the origin calls its life itself, if it does.
    pub tag: String,
    /// Invariant: not a byte leaves after this.
    pub until: Mono,
    /// When the answer is given up.
    pub answer_deadline: Mono,
    /// Not the request's first round.
    pub extra: bool,
    pub req: CallerRequest,
}

/// What became of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    Whole(Whole),
    /// Not a byte left.
    NotSent,
    /// The origin says that it did not run it.
    Refused,
    /// Another life is at the address: it did not run it.
    WrongIncarnation,
    /// Bytes left and no whole answer came back.
    Lost,
    /// The answer is longer than any that is served here.
    TooLarge,
}

/// Why a request is denied; nothing of it ever went out.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Denied {
    NoLane,
    NoKey,
    KeyReused,
    BadMethod,
    NoLease,
    NoOrigin,
    Ceiling,
    SplitVote,
    Leaving,
    TooMany,
    /// Another try of the key is under way, or its outcome is not known.
    KeyAtWork,
    /// Origins took it, none could run it.
    Refused,
}

/// The last word on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Invariant: not a byte leaves after the point given.
    Serve(Arc<Whole>, AnswerSource, Mono),
    /// Denied, with when to come back.
    Deny(Denied, Span),
    /// Sent, and what became of it is unknown.
    OutcomeUnknown(Span),
}

/// Where an answer came from.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AnswerSource {
    Origin,
    /// A shared copy, and its age.
    Copy(Span),
    /// The recorded outcome of an earlier round.
    Record,
    /// lanewing's own last word, where the origin's cannot be passed on.
    Own,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    // at controllers
    Change(Change),
    /// A beat, and if its origin gives it back, the controller's clock as of the last
    /// reply it had: the beat is no older.
    OriginHeartbeat(OriginHeartbeat, Option<Mono>),
    /// An origin signs off, by what it calls its life itself.
    SignOff(String),
    /// Swap a lost controller for the one now at an address.
    Replace {
        old: Addr,
        new: Addr,
    },
    Table,
    /// The whole state, unless it is just what the asker holds.
    TableIfChanged(ItemsDigest),
    /// The whole state by agreement, whoever is asked.
    Read,
    // at edges
    Begin(CallerRequest),
    Done(u64, FetchOutcome),
    /// What a probe that was begun then found: service, life, whether it serves.
    ProbeResult(Addr, Option<(Svc, Birth, bool)>, Mono),
    Probes,
    /// What callers may send.
    Limits,
    // at any
    Ready,
    /// Stop taking new work; finished once nothing is in hand.
    Drain,
}

/// What `Ask::Ready` finds out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub ready: bool,
    pub why: &'static str,
    pub in_hand: u64,
    /// Not ready, but still taking requests: it has begun to leave.
    pub accepting_requests: bool,
    pub counts: Vec<(&'static str, u64)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum NodeReply {
    /// Decided and in force (or of no effect, as the verdict says).
    Change(Verdict),
    Acknowledged,
    Unavailable(&'static str),
    Table(Box<ControlState>, Vec<(OriginHeartbeat, Span)>),
    /// The asker holds all there is.
    Unchanged,
    Step(Step),
    Probes(Vec<Addr>),
    Limits(Option<CallerLimits>),
    Health(Health),
}

#[derive(Clone, Debug, PartialEq)]
pub enum In {
    Msg(Addr, Msg),
    Ask(Token, Ask),
    Tick,
}

/// Invariant: an output leaves only after every `Save` and `Base` before it was synced.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Save(Vec<u8>),
    /// A record that stands for all records before it.
    Base(Vec<u8>),
    Send(Addr, Msg),
    /// A message that relies on nothing saved: it leaves at once, also past a save under way.
    SendNow(Addr, Msg),
    Tell(Token, NodeReply),
    /// The executor runs this round and reports with `Ask::Done`.
    Fetch(Round),
    /// Something worth remembering when something goes wrong.
    Note(&'static str),
    /// Something went wrong: the log ring is written out.
    Alarm(&'static str),
    /// A call that was slow or not answered; written out at once.
    Report(Report),
}

impl Out {
    /// Whether it leaves at once, past the saves ahead of it.
    pub fn is_immediate(&self) -> bool {
        matches!(self, Out::SendNow(..))
    }
}

pub trait Part: Send {
    fn step(&mut self, now: Mono, inp: In, out: &mut Vec<Out>);
}
