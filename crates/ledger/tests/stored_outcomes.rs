//! Outcomes whose contents stand in the log only: all that another process gets of them is read from there.
mod common;
use common::*;
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv, RecoveredRecord};
use primitives::{Birth, Mono, NodeId, Span, Token, Version};

const KEYS: u64 = 40;
const BODY_BYTES: usize = 20_000;

/// A ledger that keeps no contents in memory but those of the newest outcome, and its disk.
struct LedgerOnDisk {
    env: LedgerEnv,
    ledger: Ledger,
    records: Vec<Vec<u8>>,
}

fn body(n: u64) -> Vec<u8> {
    vec![n as u8; BODY_BYTES]
}

fn round(n: u64) -> RoundId {
    RoundId { node: NodeId(9), birth: Birth(1), n }
}

impl LedgerOnDisk {
    fn new(minimal_outcome_copies: bool) -> LedgerOnDisk {
        LedgerOnDisk::with_contents(0, minimal_outcome_copies)
    }

    fn with_contents(max_content_bytes: usize, minimal_outcome_copies: bool) -> LedgerOnDisk {
        let env = LedgerEnv { minimal_outcome_copies, max_content_bytes, ..trimmed_env(1) };
        let kept = vec![Kept::Birth(Birth(1)), Kept::Open];
        let records = kept.iter().map(Kept::encode).collect();
        let ledger = Ledger::start(env.clone(), kept, 1, Mono(1), &mut vec![]);
        LedgerOnDisk { env, ledger, records }
    }

    fn restart(&mut self, now: Mono) {
        let recovered: Option<Vec<_>> =
            self.records.iter().map(|record| RecoveredRecord::decode(record)).collect();
        self.ledger = Ledger::start(self.env.clone(), recovered.expect("all decode"), 1, now, &mut vec![]);
    }

    /// Gives an input and reads what the ledger asks for; the messages that it sends.
    fn step(&mut self, now: Mono, input: In) -> Vec<Msg> {
        let mut outputs = vec![];
        self.ledger.step(now, input, &mut outputs);
        let mut messages = vec![];
        for output in outputs {
            match output {
                Out::Save(record) => self.records.push(record),
                Out::Send(_, message) => messages.push(message),
                Out::Read(message) => {
                    let record = |n: &u64| self.records.get(*n as usize).cloned();
                    let records = message.log_records().iter().map(record).collect();
                    messages.extend(self.step(now, In::Read(message, records)));
                }
                _ => (),
            }
        }
        messages
    }

    fn deliver(&mut self, now: Mono, from: u16, message: Msg) -> Vec<Msg> {
        self.step(now, In::Msg(addr(from), message))
    }

    fn claim(&mut self, now: Mono, n: u64, round: RoundId) -> Vec<Msg> {
        let (key, print) = (format!("pay/k{n:04}"), Fingerprint([1; 32]));
        self.deliver(now, 5, Msg::Claim { key, print, round, roll: Version(1) })
    }

    /// Stores the outcomes of all keys, held by the ledgers at these ports.
    fn fill(&mut self, holders: &[u16]) {
        let holders: Vec<Holder> =
            holders.iter().map(|port| Holder { addr: addr(*port), birth: Birth(1) }).collect();
        for n in 0..KEYS {
            self.claim(Mono(2), n, round(n));
            let (key, print) = (format!("pay/k{n:04}"), Fingerprint([1; 32]));
            let whole = Whole::new(200, "", body(n)).with_holders(&holders);
            self.deliver(Mono(2), 5, Msg::Outcome { key, print, round: round(n), whole });
        }
    }

    fn key_bytes(&mut self, now: Mono) -> u64 {
        let mut out = vec![];
        self.ledger.step(now, In::Ask(Token(1), Ask::Ready), &mut out);
        let counts = out.into_iter().find_map(|output| match output {
            Out::Tell(_, NodeReply::Health(health)) => Some(health.counts),
            _ => None,
        });
        let counts = counts.expect("a report of its health");
        counts.iter().find(|(name, _)| *name == "key bytes").expect("is counted").1
    }
}

fn number(key: &str) -> u64 {
    key.trim_start_matches("pay/k").parse().expect("a number")
}

/// All records with the content of their outcome, by the number of their key.
fn assert_complete(records: Vec<Held>) {
    let mut numbers: Vec<u64> = records.iter().map(|record| number(&record.key)).collect();
    numbers.sort();
    assert_eq!(numbers, (0..KEYS).collect::<Vec<_>>());
    for record in records {
        let whole = record.whole.expect("the outcome is known");
        assert_eq!(*whole.body, body(number(&record.key)), "{}", record.key);
    }
}

#[test]
fn given_more_outcomes_than_memory_holds_then_repeats_get_them_also_after_a_restart() {
    let mut member = LedgerOnDisk::new(true);
    member.deliver(Mono(1), CONTROLLER, update());
    member.fill(&[1, 2]);
    for _ in 0..2 {
        let now = Mono(3_000_000);
        let bytes = member.key_bytes(now);
        assert!(bytes < 2 * BODY_BYTES as u64, "{bytes} bytes in memory");
        for n in 0..KEYS {
            let answers = member.claim(now, n, round(n + 1000));
            let [Msg::Claimed { said: Claimed::Held(Some(whole)), .. }] = &answers[..] else {
                panic!("key {n}: {answers:?}")
            };
            assert_eq!(*whole.body, body(n));
        }
        member.restart(now);
    }
}

#[test]
fn given_a_process_near_its_memory_limit_then_contents_leave_memory_and_are_still_known() {
    let mut member = LedgerOnDisk::with_contents(usize::MAX, true);
    member.deliver(Mono(1), CONTROLLER, update());
    member.fill(&[1, 2]);
    let now = Mono(3_000_000);
    assert!(member.key_bytes(now) > KEYS * BODY_BYTES as u64);
    member.step(now, In::Ask(Token(2), Ask::MemoryPressure(MemoryPressure::High)));
    let bytes = member.key_bytes(now);
    assert!(bytes < BODY_BYTES as u64, "{bytes} bytes in memory");
    let answers = member.claim(now, 0, round(1000));
    assert!(matches!(answers[..], [Msg::Claimed { said: Claimed::Held(Some(_)), .. }]), "{answers:?}");
}

#[test]
fn given_contents_in_the_log_then_recalls_and_repairs_are_answered_with_them() {
    let mut member = LedgerOnDisk::new(false);
    member.deliver(Mono(1), CONTROLLER, update());
    member.fill(&[]);
    let now = Mono(12_000_000);
    let (mut recalled, mut after) = (vec![], None);
    for ask in 1.. {
        let (roll, purpose) = (Version(1), RecallPurpose::AfterDiskLoss);
        let answers = member.deliver(now, 2, Msg::Recall { ask, roll, purpose, after });
        let [Msg::Recalled { held, next, .. }] = &answers[..] else { panic!("{} answers", answers.len()) };
        recalled.extend(held.clone());
        after = next.clone();
        if after.is_none() {
            break;
        }
    }
    assert_complete(recalled);
    let mut repaired = std::collections::BTreeMap::new();
    for turn in 0..64 {
        let digests = Msg::Digests(vec![0; 64]);
        let answers = member.deliver(now + Span::secs(2 * turn), 2, digests);
        let ranges = answers.into_iter().flat_map(|m| if let Msg::Ranges(r) = m { r } else { vec![] });
        repaired.extend(ranges.flat_map(|(_, held)| held).map(|record| (record.key.clone(), record)));
    }
    assert_complete(repaired.into_values().collect());
}

#[test]
fn given_contents_in_the_log_when_the_ledger_leaves_then_it_hands_them_over() {
    let mut member = LedgerOnDisk::new(true);
    member.deliver(Mono(1), CONTROLLER, update());
    member.fill(&[1]);
    let now = Mono(20_000_000);
    let mut pages = member.step(now, In::Ask(Token(1), Ask::Drain));
    let mut handed_over = vec![];
    while let Some(Msg::HandOver { ask, held }) =
        pages.iter().find(|m| matches!(m, Msg::HandOver { .. })).cloned()
    {
        handed_over.extend(held);
        pages = member.deliver(now, 2, Msg::HandedOver { ask });
    }
    assert_complete(handed_over);
}
