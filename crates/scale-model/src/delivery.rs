//! Steps parts and carries out what they ask for: sync, then send, framed as on a link.
use crate::meter::Tally;
use crate::plan::*;
use crate::world::*;
use control_state::*;
use primitives::{Addr, Span, Token};

/// Bytes of a frame's header: magic, version, length, checksum.
pub(crate) const FRAME_HEADER: u64 = 11;
/// How long a sync takes, in microseconds.
const SYNC_US: std::ops::Range<u64> = 300..2500;
/// One-way delays in microseconds: within a zone, within a region, and between regions with
/// what each region in between adds.
const ZONE_US: u64 = 250;
const REGION_US: u64 = 1_000;
const REGIONS_US: u64 = 10_000;
const NEXT_REGION_US: u64 = 13_000;
const JITTER_US: u64 = 50;

/// A message on its way.
pub(crate) struct Envelope {
    /// Bytes of the frame.
    size: u64,
    content: Content,
    /// Numbers of the watched changes that it tells of.
    changes: Vec<usize>,
}

enum Content {
    Encoded {
        bytes: Vec<u8>,
        checksum: u32,
    },
    /// What a thin edge needs of the message.
    Trimmed(Box<Msg>),
}

impl Content {
    fn open(self) -> Option<Msg> {
        match self {
            Content::Trimmed(message) => Some(*message),
            Content::Encoded { bytes, checksum } if crc32fast::hash(&bytes) == checksum => {
                postcard::from_bytes(&bytes).ok()
            }
            Content::Encoded { .. } => None,
        }
    }
}

impl World {
    pub(crate) fn receive(&mut self, from: Addr, to: usize, envelope: Envelope) {
        if let Some(node) = to.checked_sub(CONTROLLERS) {
            envelope.changes.iter().for_each(|number| self.changes[*number].arrived(node, self.now));
        }
        let tally = &mut self.processes[to].tally;
        tally.msgs_in += 1;
        tally.bytes_in += envelope.size;
        self.step_metered(to, || envelope.content.open().map(|message| In::Msg(from, message)));
    }

    pub(crate) fn step(&mut self, i: usize, input: In) {
        self.step_metered(i, || Some(input));
    }

    /// Reads an input and steps the part with it, both on the part's account.
    fn step_metered(&mut self, i: usize, read: impl FnOnce() -> Option<In>) {
        let (now, process) = (self.now, &mut self.processes[i]);
        let part = &mut process.part;
        let (outputs, cost) = self.meter.of(|| {
            let mut outputs = vec![];
            if let Some(input) = read() {
                part.step(now, input, &mut outputs);
            }
            outputs
        });
        process.tally.cpu += cost;
        let (immediate, ordered): (Vec<Out>, Vec<Out>) = outputs.into_iter().partition(Out::is_immediate);
        process.outputs.extend(ordered);
        self.carry_out(i, immediate);
        self.flush(i);
    }

    /// Syncs, then sends. What gathers during a sync goes with the next one.
    pub(crate) fn flush(&mut self, i: usize) {
        let process = &mut self.processes[i];
        if process.syncing || process.outputs.is_empty() {
            return;
        }
        let outputs: Vec<Out> = process.outputs.drain(..).collect();
        if outputs.iter().any(|output| matches!(output, Out::Save(_) | Out::Base(_) | Out::Trim(_))) {
            process.syncing = true;
            let sync = Span(self.rng.u64(SYNC_US));
            return self.schedule(sync, Event::Synced(i, outputs));
        }
        self.carry_out(i, outputs);
    }

    pub(crate) fn carry_out(&mut self, i: usize, outputs: Vec<Out>) {
        for output in outputs {
            match output {
                Out::Send(to, message) | Out::SendNow(to, message) => self.send(i, to, message),
                Out::Tell(token, receipt) => self.answered(token, receipt),
                _ => (),
            }
        }
    }

    fn answered(&mut self, token: Token, receipt: NodeReply) {
        let Some(number) = self.asked.remove(&token) else { return };
        let change = &mut self.changes[number];
        change.refused = !matches!(receipt, NodeReply::Change(Verdict::Done(_)));
        change.in_force = Some(self.now).filter(|_| !change.refused);
    }

    fn send(&mut self, i: usize, addr: Addr, message: Msg) {
        let Some(to) = self.by_addr.get(&addr).copied() else { return };
        let changes = self.watched_in(&message);
        let thin = self.processes[to].part.is_thin();
        let ((size, content), cost) = self.meter.of(|| seal(message, thin));
        let due = self.now + self.delay(i, to);
        let arrival = self.links.entry((i, to)).or_default();
        *arrival = due.max(*arrival);
        let delay = *arrival - self.now;
        let Tally { cpu, msgs_out, bytes_out, .. } = &mut self.processes[i].tally;
        *cpu += cost;
        *msgs_out += 1;
        *bytes_out += size;
        let from = self.processes[i].addr;
        self.schedule(delay, Event::Message { from, to, envelope: Envelope { size, content, changes } });
    }

    fn watched_in(&self, message: &Msg) -> Vec<usize> {
        match message {
            Msg::Update(news) if !self.watch.is_empty() => {
                let number =
                    |(key, item): &(Key, Item)| self.watch.get(&fingerprint(key, item.ver.0)).copied();
                news.items.iter().filter_map(number).collect()
            }
            _ => vec![],
        }
    }

    /// One way, between regions by how far apart they are on a ring.
    fn delay(&mut self, from: usize, to: usize) -> Span {
        if from == to {
            return Span(0);
        }
        let (from, to) = (self.processes[from].place, self.processes[to].place);
        let apart = from.0.abs_diff(to.0);
        let base = match apart.min(REGIONS - apart) as u64 {
            _ if from.1 == to.1 => ZONE_US,
            0 => REGION_US,
            steps => REGIONS_US + NEXT_REGION_US * steps,
        };
        Span(base + self.rng.u64(0..base / 10 + JITTER_US))
    }
}

/// Encodes a message: the bytes of its frame, and what travels.
fn seal(message: Msg, thin: bool) -> (u64, Content) {
    let bytes = postcard::to_stdvec(&message).unwrap_or_default();
    let (checksum, size) = (crc32fast::hash(&bytes), bytes.len() as u64 + FRAME_HEADER);
    if thin {
        (size, Content::Trimmed(Box::new(trim(message))))
    } else {
        (size, Content::Encoded { bytes, checksum })
    }
}

/// What a thin edge needs: numbers and leases, and one item, so that it acknowledges.
fn trim(message: Msg) -> Msg {
    match message {
        Msg::Update(mut news) => {
            news.items.truncate(1);
            news.items.shrink_to_fit();
            news.reply.iter_mut().for_each(|reply| reply.beats = vec![]);
            Msg::Update(news)
        }
        other => other,
    }
}
