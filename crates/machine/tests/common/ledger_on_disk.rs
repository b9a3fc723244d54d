//! The ledger of a machine with a disk that holds what it saves.
#![allow(dead_code)]
use crate::common::config;
use control_state::*;
use ledger::{Kept, Ledger, RecoveredRecord};
use primitives::{Addr, Birth, Mono, NodeId, Version};

pub const MB: usize = 1 << 20;
const DISK_MB: u64 = 64;
pub const START: Mono = Mono(1_000_000);

/// A ledger with the disk that it writes to.
pub struct LedgerOnDisk {
    ledger: Ledger,
    memory_mb: usize,
    /// The records that were not trimmed, and the number of the first one.
    records: Vec<Vec<u8>>,
    first: u64,
}

impl LedgerOnDisk {
    pub fn new(memory_mb: usize) -> LedgerOnDisk {
        let kept = [Kept::Birth(Birth(7)), Kept::Open];
        let records = kept.iter().map(Kept::encode).collect();
        let ledger = config(memory_mb * MB, Some(DISK_MB)).ledger(kept.to_vec(), START, &mut vec![]);
        LedgerOnDisk { ledger, memory_mb, records, first: 0 }
    }

    pub fn restart(&mut self, now: Mono) {
        let recovered: Vec<_> =
            self.records.iter().map(|record| RecoveredRecord::decode(record).expect("was encoded")).collect();
        self.ledger = config(self.memory_mb * MB, Some(DISK_MB)).ledger(recovered, now, &mut vec![]);
        self.first = 0;
    }

    /// Executes the outputs; returns the messages. Records are read at once.
    fn execute(&mut self, now: Mono, outputs: Vec<Out>) -> Vec<Msg> {
        let mut messages = vec![];
        for output in outputs {
            match output {
                Out::Save(record) => self.records.push(record),
                Out::Trim(first) => {
                    self.records.drain(..(first - self.first) as usize);
                    self.first = first;
                }
                Out::Send(_, message) => messages.push(message),
                Out::Read(message) => {
                    let record = |n: &u64| Some(self.records[(n - self.first) as usize].clone());
                    let records = message.log_records().iter().map(record).collect();
                    let mut out = vec![];
                    self.ledger.step(now, In::Read(message, records), &mut out);
                    messages.extend(self.execute(now, out));
                }
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
        self.execute(now, out)
    }

    pub fn claim(&mut self, now: Mono, node: u64, n: u64) -> Claimed {
        let round = RoundId { node: NodeId(node), birth: Birth(1), n };
        let (key, print) = (format!("pay.example/k-{n}"), Fingerprint([1; 32]));
        let answers = self.step(now, Msg::Claim { key, print, round, roll: Version(1) });
        let said = |m: Msg| if let Msg::Claimed { said, .. } = m { Some(said) } else { None };
        answers.into_iter().find_map(said).expect("a claim is answered")
    }

    /// A key is granted, and its outcome stored.
    pub fn run_key(&mut self, now: Mono, n: u64, bytes: usize) -> Claimed {
        let said = self.claim(now, 9, n);
        let round = RoundId { node: NodeId(9), birth: Birth(1), n };
        let (key, print) = (format!("pay.example/k-{n}"), Fingerprint([1; 32]));
        let whole = Whole::new(200, "", vec![1; bytes]);
        if said == Claimed::Granted {
            self.step(now, Msg::Outcome { key, print, round, whole });
        }
        said
    }
}
