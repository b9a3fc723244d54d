//! A ledger whose log is trimmed: outcomes stay where they were written until their keys' windows are
//! over, and only what can be remembered is granted.
mod common;
use common::{addr, follow, sent};
use control_state::*;
use ledger::{Kept, Ledger, LedgerEnv, LogForm};
use primitives::{Birth, Mono, NodeId, Span, Version};

const CAPACITY: usize = 400_000;
const BODY_BYTES: usize = 2_000;
const WINDOW: Span = Span::secs(90);
const START: u64 = 1_000_000;

/// The log as a disk holds it: the records that were not trimmed.
struct Disk {
    records: Vec<Vec<u8>>,
    /// Number of the first one.
    first: u64,
}

impl Disk {
    fn new() -> Disk {
        let records = [Kept::Birth(Birth(7)), Kept::Open].map(|record| record.encode());
        Disk { records: records.to_vec(), first: 0 }
    }

    fn write(&mut self, out: &[Out]) {
        for output in out {
            match output {
                Out::Save(record) => self.records.push(record.clone()),
                Out::Base(_) => panic!("a trimmed log is never written anew as a whole"),
                Out::Trim(first) => {
                    self.records.drain(..(first - self.first) as usize);
                    self.first = *first;
                }
                _ => (),
            }
        }
    }

    fn bytes(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }

    /// A ledger that starts from this disk; its records are numbered anew.
    fn start(&mut self, now: Mono, boot: u64) -> Ledger {
        let env = LedgerEnv {
            follow: follow(1),
            window: WINDOW,
            compact_after_bytes: CAPACITY,
            log_form: LogForm::Trimmed { capacity: CAPACITY },
            room: 0,
            most: CAPACITY,
            boot,
            max_content_bytes: usize::MAX,
            losses: 1,
            leave: control_state::LEAVE,
            minimal_outcome_copies: true,
        };
        self.first = 0;
        let kept = self.records.iter().map(|record| Kept::decode(record).expect("was encoded")).collect();
        Ledger::start(env, kept, 1, now, &mut vec![])
    }
}

fn step(ledger: &mut Ledger, disk: &mut Disk, now: Mono, input: In) -> Vec<Msg> {
    let mut out = vec![];
    ledger.step(now, input, &mut out);
    disk.write(&out);
    sent(out)
}

fn round(node: u64, n: u64) -> RoundId {
    RoundId { node: NodeId(node), birth: Birth(1), n }
}

fn claim(ledger: &mut Ledger, disk: &mut Disk, now: Mono, node: u64, n: u64) -> Claimed {
    let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
    let message = Msg::Claim { key, print, round: round(node, n), roll: Version(1) };
    let answers = step(ledger, disk, now, In::Msg(addr(5), message));
    let said =
        answers.into_iter().find_map(|m| if let Msg::Claimed { said, .. } = m { Some(said) } else { None });
    said.expect("a claim is answered")
}

/// Runs one key, and returns whether it was granted.
fn run_key(ledger: &mut Ledger, disk: &mut Disk, now: Mono, n: u64) -> bool {
    if claim(ledger, disk, now, 9, n) != Claimed::Granted {
        return false;
    }
    let (key, print) = (format!("pay/k{n}"), Fingerprint([1; 32]));
    let whole = Whole::new(200, "", vec![n as u8; BODY_BYTES]);
    let outcome = Msg::Outcome { key, print, round: round(9, n), whole };
    step(ledger, disk, now, In::Msg(addr(5), outcome));
    step(ledger, disk, now, In::Tick);
    true
}

fn is_known(ledger: &mut Ledger, disk: &mut Disk, now: Mono, n: u64) -> bool {
    matches!(claim(ledger, disk, now, 8, n), Claimed::Held(Some(whole)) if *whole.body == vec![n as u8; BODY_BYTES])
}

// Guards against outcomes that are forgotten within the window of their keys at a steady load, also
// over a restart, and against a log that grows without end.
#[test]
fn given_a_steady_load_for_many_windows_and_restarts_then_every_outcome_is_known_for_its_window() {
    let mut disk = Disk::new();
    let mut ledger = disk.start(Mono(START), 1);
    // 60 keys a window; after a restart the windows of all begin anew, and the log holds twice as many.
    let interval = WINDOW.0 / 60;
    for n in 0..1_200 {
        let now = Mono(START + n * interval);
        assert!(run_key(&mut ledger, &mut disk, now, n), "key {n} was not granted");
        let oldest = n.saturating_sub(59);
        assert!(is_known(&mut ledger, &mut disk, now, oldest), "{oldest} is forgotten when {n} has run");
        assert!(disk.bytes() < CAPACITY * 4 / 3, "{} bytes on disk after key {n}", disk.bytes());
        if n % 170 == 169 {
            ledger = disk.start(now, 1);
        }
    }
}

// Guards against the loss of what the trimmed beginning of a log said: grants without an outcome stay.
#[test]
fn given_a_restart_at_any_time_then_no_grant_is_forgotten_and_no_key_is_granted_twice() {
    let mut disk = Disk::new();
    let mut ledger = disk.start(Mono(START), 1);
    let at = |n: u64| Mono(START + n * WINDOW.0 / 60);
    let mut ran = std::collections::BTreeSet::new();
    for n in 0..600 {
        // Every third key is granted and never runs.
        let key = 10_000 + n;
        let idle = n % 3 == 0 && claim(&mut ledger, &mut disk, at(n), 9, key) == Claimed::Granted;
        ran.extend(Some(key).filter(|_| idle));
        // While the windows that began anew with a restart last, some may be turned away.
        ran.extend(Some(n).filter(|n| run_key(&mut ledger, &mut disk, at(*n), *n)));
        if n % 65 == 0 {
            ledger = disk.start(at(n), 1 + n / 280);
        }
        for earlier in (0..60.min(n)).map(|back| n - back).filter(|earlier| ran.contains(earlier)) {
            let says = claim(&mut ledger, &mut disk, at(n), 8, earlier);
            assert!(matches!(says, Claimed::Held(Some(_))), "{earlier} at {n}: {says:?}");
            if ran.contains(&(10_000 + earlier)) {
                assert_eq!(claim(&mut ledger, &mut disk, at(n), 8, 10_000 + earlier), Claimed::Held(None));
            }
        }
    }
    assert!(ran.len() > 600, "{} of 800 keys were granted", ran.len());
}

// Guards against a key that runs though its outcome cannot be kept: it is turned away before it runs.
#[test]
fn given_more_than_fits_then_new_keys_are_turned_away_and_no_outcome_of_a_key_that_ran_is_forgotten() {
    let mut disk = Disk::new();
    let mut ledger = disk.start(Mono(START), 1);
    let at = |n: u64| Mono(START + n * WINDOW.0 / 600);
    let ran: Vec<u64> = (0..500).filter(|n| run_key(&mut ledger, &mut disk, at(*n), *n)).collect();
    assert!((120..200).contains(&ran.len()), "{} keys ran", ran.len());
    let now = at(500);
    assert!(ran.iter().all(|n| is_known(&mut ledger, &mut disk, now, *n)));
    // The first ones leave with their windows, and further keys are granted again.
    assert!(run_key(&mut ledger, &mut disk, at(640), 5_000));
}

// Guards against outcomes of a size that origins may send and that are not kept at all.
#[test]
fn given_an_outcome_of_a_sixteenth_of_the_room_then_it_is_kept() {
    let mut disk = Disk::new();
    let mut ledger = disk.start(Mono(START), 1);
    assert_eq!(claim(&mut ledger, &mut disk, Mono(START), 9, 1), Claimed::Granted);
    let (key, print) = ("pay/k1".into(), Fingerprint([1; 32]));
    let whole = Whole::new(200, "", vec![1; CAPACITY / 16 - 200]);
    let outcome = Msg::Outcome { key, print, round: round(9, 1), whole };
    step(&mut ledger, &mut disk, Mono(START), In::Msg(addr(5), outcome));
    let mut again = disk.start(Mono(START), 2);
    assert!(matches!(claim(&mut again, &mut disk, Mono(START), 8, 1), Claimed::Held(Some(_))));
}
