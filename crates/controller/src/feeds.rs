//! Numbered news to edges and ledgers, and the setup leases that hang on them.
use crate::controller::Controller;
use caesar::Cid;
use control_state::*;
use primitives::{Addr, Mono, NodeId, Span};
use std::collections::VecDeque;

/// One subscriber. Numbers are of this feed alone: two controllers may apply
/// commuting commands in different orders.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    pub addr: Option<Addr>,
    pub feed: u64,
    pub sent: u64,
    pub got: u64,
    /// What each number not yet acknowledged changed.
    pub line: VecDeque<(u64, Key, Option<Cid>)>,
    /// The last number that went out.
    pub out: u64,
    /// Until when a lease from here may be alive, by this controller's clock.
    pub lent: Mono,
    pub pushed: Mono,
    /// Which life of the subscriber it is for: what an earlier one acknowledged,
    /// this one may not hold.
    pub life: u64,
    /// The era whose roster the subscriber goes by, as last heard.
    pub era: Era,
    /// Beats heard up to then were told.
    pub beats: Mono,
    /// When the feed was started anew.
    pub begun: Mono,
    /// The subscriber said last that it leaves.
    pub leaving: bool,
}

impl Feed {
    fn unsure(lent: Mono) -> Feed {
        Feed {
            addr: None,
            feed: 0,
            sent: 1,
            got: 0,
            line: VecDeque::new(),
            out: 0,
            lent,
            pushed: Mono(0),
            begun: Mono(0),
            beats: Mono(0),
            life: 0,
            era: Era(0),
            leaving: false,
        }
    }
    /// The subscriber acknowledged this number.
    fn hold(&mut self, got: u64) {
        self.got = self.got.max(got.min(self.out));
        let got = self.got;
        self.line.retain(|(n, ..)| *n > got);
    }
    pub(crate) fn behind(&self) -> bool {
        self.got < self.sent
    }
}

/// A feed with more unacknowledged news than this starts anew.
pub(crate) const LONGEST: usize = 2000;

impl Controller {
    pub(crate) fn assume_lent(&mut self, until: Mono) {
        let ids = self.pic.items.keys().filter_map(|k| match k {
            Key::Node(n) => Some(*n),
            _ => None,
        });
        self.feeds = ids.map(|n| (n, Feed::unsure(until))).collect();
    }

    pub(crate) fn on_got(&mut self, id: NodeId, feed: u64, got: u64) {
        if let Some(f) = self.feeds.get_mut(&id).filter(|f| f.feed == feed && feed != 0) {
            f.hold(got);
        }
    }

    pub(crate) fn on_sub(&mut self, now: Mono, from: Addr, s: Sub, out: &mut Vec<Out>) {
        if self.mach.is_none() {
            return;
        }
        let known = self.pic.node(&s.id).cloned();
        let same = |n: &Node| n.birth == s.node.birth && n.addr == s.node.addr && n.role == s.node.role;
        let seated = known.as_ref().is_some_and(same);
        if seated {
            self.newcomers.remove(&s.id);
        }
        let leaving = s.node.standing == Standing::Leaving;
        if !seated && !leaving && self.connected(now) && self.my_turn(now, &s) {
            self.derive(now, Op::Join(s.id, s.node.clone()), out);
        }
        // A full picture would show what is not yet to be seen.
        let (shown, company) =
            (self.all_shown() && self.may_feed(now), self.in_company(now) && self.caught_up());
        let wait = self.feed_again();
        let f = self.feeds.entry(s.id).or_insert_with(|| Feed::unsure(Mono(0)));
        f.addr = Some(from);
        f.leaving = leaving;
        // Askings that crossed a new feed's first news must not start it once more:
        // two of them would keep voiding each other's feed for ever.
        let other = f.feed == 0 || s.feed != f.feed || s.life != f.life;
        let anew = other && shown && (f.feed == 0 || now - f.begun >= wait);
        if anew {
            self.feed_no += 1;
            f.feed = self.feed_no;
            f.begun = now;
            f.beats = Mono(0);
            f.life = s.life;
            f.sent = 1;
            f.out = 1;
            f.got = 0;
            f.line.clear();
            f.era = s.era;
        } else if !other {
            f.era = s.era;
            f.hold(s.got);
        }
        let again = f.got < f.out && !other && now - f.pushed >= Span::ms(100);
        if anew || again {
            f.pushed = now;
        }
        // A lease goes only to a subscriber that holds all this controller applied, and
        // goes by no earlier roster; see `landing`.
        let lent = seated && !other && !f.behind() && s.era >= self.base.era && company;
        if lent {
            f.lent = f.lent.max(now + self.env.lease.padded());
        }
        let items: Vec<(Key, Item)> = if anew {
            self.pic.items.iter().map(|(k, i)| (k.clone(), i.clone())).collect()
        } else if again {
            f.line
                .iter()
                .take_while(|(n, ..)| *n <= f.out)
                .map(|(_, k, _)| (k.clone(), self.pic.item(k)))
                .collect()
        } else {
            vec![]
        };
        let (feed, to, told) = (f.feed, f.out, f.beats);
        f.beats = now;
        let from_no = if anew {
            0
        } else if again {
            f.got
        } else {
            f.out
        };
        let reply = Reply {
            ask: s.ask,
            life: s.life,
            kid: self.kid,
            lent,
            beats: self.beats_since(now, told).filter(|_| s.node.role == Role::Edge).collect(),
            slices: self.lend(now, &s),
            epoch: self.duty.held_epoch(now),
        };
        let n = News {
            feed,
            from: from_no,
            to,
            full: anew,
            items,
            era: self.base.era,
            members: self.base.members.clone(),
            reply: Some(reply),
        };
        out.push(Out::Send(from, Msg::News(Box::new(n))));
    }

    /// One controller sees to a newcomer, or many of them would propose the same; the next
    /// ones step in if it does not.
    fn my_turn(&mut self, now: Mono, s: &Sub) -> bool {
        let since = *self.newcomers.entry(s.id).or_insert(now);
        let kids: Vec<_> = self.base.members.iter().map(|m| m.kid).collect();
        let order = primitives::rank(&s.id, &kids, |k| k.0 as u64);
        let place = order.iter().position(|k| *k == self.kid).unwrap_or(0) as u64;
        now - since >= Span::ms(600).times(place)
    }

    /// Who with a live lease from here lacks what was applied so far.
    pub(crate) fn lacking(&self, now: Mono) -> Vec<(NodeId, u64)> {
        let lacks = |f: &Feed| f.lent > now && f.behind();
        self.feeds.iter().filter(|(_, f)| lacks(f)).map(|(n, f)| (*n, f.sent)).collect()
    }

    /// Whether the subscriber has news up to `no`, or its lease ran out.
    pub(crate) fn paid(&self, now: Mono, id: NodeId, feed_no: u64) -> bool {
        self.feeds.get(&id).is_none_or(|f| f.lent <= now || f.got >= feed_no.min(f.sent) && f.got > 0)
    }
}
