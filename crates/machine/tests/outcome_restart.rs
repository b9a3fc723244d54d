//! The ledger of one machine at the load of a deployment, over restarts: after each the windows of all its keys
//! begin anew, so that it holds the keys of two windows for a time.
mod common;
use common::config;
use control_state::*;
use ledger::{Kept, Ledger};
use primitives::{Addr, Birth, Mono, NodeId, Span, Version};

const MB: usize = 1 << 20;
const DISK_MB: u64 = 64;
/// The window that callers are promised.
const KEY_WINDOW: Span = Span::secs(60);
const BODY_BYTES: usize = 1_500;
const START: Mono = Mono(1_000_000);

/// A ledger with the disk that it writes to.
struct LedgerOnDisk {
    ledger: Ledger,
    memory_mb: usize,
    /// The records that were not trimmed, and the number of the first one.
    records: Vec<Vec<u8>>,
    first: u64,
}

impl LedgerOnDisk {
    fn new(memory_mb: usize) -> LedgerOnDisk {
        let kept = [Kept::Birth(Birth(7)), Kept::Open];
        let records = kept.iter().map(Kept::encode).collect();
        let ledger = config(memory_mb * MB, Some(DISK_MB)).ledger(kept.to_vec(), START, &mut vec![]);
        LedgerOnDisk { ledger, memory_mb, records, first: 0 }
    }

    fn restart(&mut self, now: Mono) {
        let kept = self.records.iter().map(|record| Kept::decode(record).expect("was encoded")).collect();
        self.ledger = config(self.memory_mb * MB, Some(DISK_MB)).ledger(kept, now, &mut vec![]);
        self.first = 0;
    }

    /// Executes the outputs; returns the messages.
    fn execute(&mut self, outputs: Vec<Out>) -> Vec<Msg> {
        let mut messages = vec![];
        for output in outputs {
            match output {
                Out::Save(record) => self.records.push(record),
                Out::Trim(first) => {
                    self.records.drain(..(first - self.first) as usize);
                    self.first = first;
                }
                Out::Send(_, message) => messages.push(message),
                _ => (),
            }
        }
        messages
    }

    fn step(&mut self, now: Mono, message: Msg) -> Vec<Msg> {
        let mut out = vec![];
        let from = Addr("127.0.0.1:9".parse().expect("an address"));
        self.ledger.step(now, In::Msg(from, message), &mut out);
        self.ledger.step(now, In::Tick, &mut out);
        self.execute(out)
    }

    fn claim(&mut self, now: Mono, node: u64, n: u64) -> Claimed {
        let round = RoundId { node: NodeId(node), birth: Birth(1), n };
        let (key, print) = (format!("pay.example/k-{n}"), Fingerprint([1; 32]));
        let answers = self.step(now, Msg::Claim { key, print, round, roll: Version(1) });
        let said = |m: Msg| if let Msg::Claimed { said, .. } = m { Some(said) } else { None };
        answers.into_iter().find_map(said).expect("a claim is answered")
    }

    /// A key is granted, and its outcome stored.
    fn run_key(&mut self, now: Mono, n: u64) -> Claimed {
        let said = self.claim(now, 9, n);
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let (key, print) = (format!("pay.example/k-{n}"), Fingerprint([1; 32]));
        let whole = Whole::new(200, "", vec![1; BODY_BYTES]);
        if said == Claimed::Granted {
            self.step(now, Msg::Outcome { key, print, round, whole });
        }
        said
    }
}

// Guards against keys that are refused for want of memory after ledgers were started again.
#[test]
fn given_a_restart_at_the_load_of_a_deployment_then_no_key_is_refused_and_all_outcomes_are_known() {
    // Memory in MB, and keys a second at one ledger.
    for (memory_mb, keys_per_second) in [(78, 75), (160, 80)] {
        let mut ledger = LedgerOnDisk::new(memory_mb);
        let window = keys_per_second * KEY_WINDOW.as_ms() / 1000;
        for n in 0..window * 4 {
            let now = Mono(START.0 + n * 1_000_000 / keys_per_second);
            let what = format!("key {n}, {memory_mb} MB, {keys_per_second} a second");
            assert_eq!(ledger.run_key(now, n), Claimed::Granted, "{what}");
            let oldest = n.saturating_sub(window - 1);
            let said = ledger.claim(now, 8, oldest);
            assert!(matches!(said, Claimed::Held(Some(_))), "{oldest} at {what}: {said:?}");
            if n == window * 3 / 2 {
                ledger.restart(now);
            }
        }
    }
}
