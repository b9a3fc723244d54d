//! Recall: a ledger asks the members of the authoritative ledger set for all their records of
//! its keys. A ledger with a new disk grants again once it cannot have missed a grant of the
//! lost disk; the members of a newer set are filled the same way (see `fill`).
use crate::ledger::Ledger;
use crate::records::*;
use control_state::*;
use primitives::{Addr, Mono, Span, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Time without an answer after which a member is asked again.
const RETRY_INTERVAL: Span = Span::ms(300);

/// The answers received so far. Invariant: all were requested under this version of the ledger
/// sets, for this purpose and by this process; to reopen after a disk loss, also once every
/// round that counts a vote of the lost disk had left its edge or never will.
#[derive(Clone, Debug)]
pub(crate) struct Recall {
    pub task: (Version, RecallPurpose),
    members: BTreeMap<Addr, Answers>,
    last_request: u64,
    /// Rounds that released their key meanwhile: an answer may still contain them.
    released: BTreeSet<RoundId>,
}

/// How far one member has answered. It is asked for one page after the other, so that it never has
/// to hold its answer as a whole.
#[derive(Clone, Debug)]
struct Answers {
    /// The request for the next page.
    request: u64,
    /// The last key of the pages received.
    after: Option<String>,
    last_sent: Mono,
    complete: bool,
}

impl Recall {
    /// `life` keeps the request numbers apart from those of an earlier process.
    pub fn new(life: u64) -> Recall {
        let task = (Version(0), RecallPurpose::AfterDiskLoss);
        Recall { task, members: BTreeMap::new(), last_request: life << 20, released: BTreeSet::new() }
    }

    pub(crate) fn add_released(&mut self, round: RoundId) {
        if !self.members.is_empty() {
            self.released.insert(round);
        }
    }

    fn begin(&mut self, task: (Version, RecallPurpose)) {
        if self.task != task {
            self.members.clear();
            self.released.clear();
            self.task = task;
        }
    }
}

impl Ledger {
    /// Opens the ledger for grants: at once on the disk with which it became a member, else only
    /// after every valid grant of an earlier disk was recalled or has expired.
    pub(crate) fn maybe_open(&mut self, now: Mono, out: &mut Vec<Out>) {
        if self.open {
            return;
        }
        let me = &self.follow.env;
        let ledger_sets = Roll::of(&self.follow.items);
        let is_me = |member: &&Seat| member.addr == me.addr;
        let has_original_disk = ledger_sets.seats().any(|member| is_me(&member))
            && ledger_sets.seats().filter(is_me).all(|member| (member.id, member.birth) == (me.id, me.birth));
        let waited = self.follow.own_node().is_some() && now - self.boot >= self.env.window.padded();
        let recalled = self.may_reopen(now) && self.unanswered_members() <= self.max_unanswered_members();
        if has_original_disk || waited || recalled {
            self.open = true;
            out.push(Out::Note("open: grants keys from now on"));
            // Votes of an earlier disk at this address, under an earlier version, may be known
            // to the others; this disk must not add further votes to them.
            self.raise_fence(now, self.ledger_set_version(), out);
            self.save(now, Kept::Open, out);
        }
    }

    /// Members of the authoritative set whose answer is not needed: those that may have lost
    /// their disks besides this one.
    fn max_unanswered_members(&self) -> usize {
        let me = self.follow.env.addr;
        let is_authoritative = Roll::of(&self.follow.items).authoritative_set().iter().any(|m| m.addr == me);
        self.env.losses - is_authoritative as usize
    }

    /// Requires the lease: only then this ledger knows every version of the ledger sets under
    /// which a vote of the lost disk was counted. Also requires that no such round can leave
    /// its edge any more: a member that has not yet voted for it need not be asked for it.
    fn may_reopen(&self, now: Mono) -> bool {
        let me = &self.follow.env;
        let is_member = |sets: &Roll| sets.seats().any(|member| (member.id, member.addr) == (me.id, me.addr));
        self.env.losses > 0
            && now - self.boot >= self.env.leave.padded()
            && self.follow.lease_quorum_until() > now
            && self.recall.task == (self.ledger_set_version(), RecallPurpose::AfterDiskLoss)
            && is_member(&Roll::of(&self.follow.items))
    }

    pub(crate) fn ledger_set_version(&self) -> Version {
        Roll::version(&self.follow.items)
    }

    /// The members that are asked. The newer set is not: while the set changes every round has
    /// a quorum in the older one.
    fn sources(&self) -> BTreeSet<Addr> {
        let me = self.follow.env.addr;
        let ledger_sets = Roll::of(&self.follow.items);
        ledger_sets.authoritative_set().iter().map(|member| member.addr).filter(|addr| *addr != me).collect()
    }

    /// Number of members that have not yet answered in full.
    pub(crate) fn unanswered_members(&self) -> usize {
        let is_complete = |addr: &Addr| self.recall.members.get(addr).is_some_and(|a| a.complete);
        self.sources().iter().filter(|addr| !is_complete(addr)).count()
    }

    pub(crate) fn recall(&mut self, now: Mono, out: &mut Vec<Out>) {
        let filling = self.filling();
        if self.open && !filling {
            return;
        }
        let purpose = if filling { RecallPurpose::Fill } else { RecallPurpose::AfterDiskLoss };
        self.recall.begin((self.ledger_set_version(), purpose));
        if filling || self.may_reopen(now) {
            self.send_recalls(now, out);
        }
        self.maybe_open(now, out);
        self.maybe_complete_fill(out);
    }

    fn send_recalls(&mut self, now: Mono, out: &mut Vec<Out>) {
        for addr in self.sources() {
            match self.recall.members.get(&addr) {
                None => self.request_page(now, addr, None, out),
                Some(answers) if !answers.complete && now - answers.last_sent >= RETRY_INTERVAL => {
                    self.send_request(now, addr, out);
                }
                Some(_) => (),
            }
        }
    }

    /// Asks a member for the page after this key.
    fn request_page(&mut self, now: Mono, addr: Addr, after: Option<String>, out: &mut Vec<Out>) {
        self.recall.last_request += 1;
        let request = self.recall.last_request;
        self.recall.members.insert(addr, Answers { request, after, last_sent: now, complete: false });
        self.send_request(now, addr, out);
    }

    fn send_request(&mut self, now: Mono, addr: Addr, out: &mut Vec<Out>) {
        let (roll, purpose) = self.recall.task;
        let Some(answers) = self.recall.members.get_mut(&addr) else { return };
        answers.last_sent = now;
        let (ask, after) = (answers.request, answers.after.clone());
        out.push(Out::Send(addr, Msg::Recall { ask, roll, purpose, after }));
    }

    /// A page of a member's answer. The answer is complete with its last page; a page that comes
    /// twice counts once.
    pub(crate) fn on_recalled(
        &mut self,
        now: Mono,
        from: Addr,
        (ask, next): (u64, Option<String>),
        held: Vec<Held>,
        out: &mut Vec<Out>,
    ) {
        let expected = self.recall.members.get(&from).is_some_and(|a| a.request == ask && !a.complete);
        if !expected || (self.open && !self.filling()) {
            return;
        }
        let is_released = |record: &Held| self.recall.released.contains(&record.round);
        let records: Vec<Held> = held.into_iter().filter(|record| !is_released(record)).collect();
        for record in records {
            self.merge_recalled(now, record, out);
        }
        self.grants.drop_old(now, self.env.window);
        if self.grants.bytes() > self.env.most {
            // The keys that it must know do not fit: it stays closed until the window is over.
            return self.count("no room for keys");
        }
        if next.is_some() {
            return self.request_page(now, from, next, out);
        }
        self.recall.members.entry(from).and_modify(|answers| answers.complete = true);
        self.maybe_open(now, out);
        self.maybe_complete_fill(out);
    }

    /// Of two rounds with the same key at most one runs: the one with a known outcome; without
    /// one, nobody can tell which, and the key is granted to neither (`RoundId::NONE`). A grant
    /// of this ledger's own is so withheld from others too. Invariant: the key is held at least
    /// as long as its youngest record.
    fn merge_recalled(&mut self, now: Mono, record: Held, out: &mut Vec<Out>) {
        if record.age >= self.env.window {
            return;
        }
        let own = self.grants.get(&record.key).map(|g| (g.round, g.outcome.is_some(), g.granted_at));
        let round = match own {
            None => record.round,
            Some((own_round, known, _)) if known || own_round == record.round => own_round,
            Some(_) if record.whole.is_some() => record.round,
            Some(_) => RoundId::NONE,
        };
        if own.is_none_or(|(own_round, ..)| own_round != round) {
            self.count("recalled");
            self.save(now, Kept::Grant { key: record.key.clone(), print: record.print, round }, out);
        }
        let granted_at = own.map_or(Mono(0), |(.., at)| at).max(now - record.age);
        self.grants.set_granted_at(&record.key, granted_at);
        let known = own.is_some_and(|(_, known, _)| known);
        if let (Some(whole), true) = (record.whole, round == record.round && !known) {
            self.store_outcome(now, record.key, round, whole, out);
        }
    }
}
