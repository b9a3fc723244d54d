//! Records on their way to other processes. Outcomes whose content stands in the log only are read
//! before the message that needs them is sent.
use crate::grant::Grant;
use crate::ledger::Ledger;
use crate::records::Kept;
use control_state::*;
use primitives::Addr;

/// A record for another ledger, whose outcome may still have to be read from the log.
pub(crate) struct OutgoingRecord {
    pub held: Held,
    /// The number of the log's record, the holders and the size of the outcome.
    pub in_log: Option<OutcomeInLog>,
}

/// An outcome whose content stands in the log only.
#[derive(Clone, Debug)]
pub(crate) struct OutcomeInLog {
    pub log_record: u64,
    pub holders: Vec<Holder>,
    pub size: usize,
}

impl OutgoingRecord {
    /// Approximate size in bytes, with its outcome.
    pub fn size(&self) -> usize {
        self.held.size() + self.in_log.as_ref().map_or(0, |outcome| outcome.size)
    }

    /// The same without the outcome.
    pub fn without_outcome(self) -> OutgoingRecord {
        OutgoingRecord { held: Held { whole: None, ..self.held }, in_log: None }
    }

    /// The same with other holders of the outcome.
    pub fn with_holders(self, holders: &[Holder]) -> OutgoingRecord {
        let OutgoingRecord { held, in_log } = self;
        let whole = held.whole.map(|whole| whole.with_holders(holders));
        let in_log = in_log.map(|outcome| OutcomeInLog { holders: holders.to_vec(), ..outcome });
        OutgoingRecord { held: Held { whole, ..held }, in_log }
    }
}

impl OutcomeInLog {
    /// The entry for a message that lacks the outcome of the record at this position.
    pub fn missing_at(self, position: usize) -> MissingOutcome {
        MissingOutcome { position, log_record: self.log_record, holders: self.holders }
    }
}

impl Grant {
    /// The outcome, if it is known and its content is not in memory.
    pub fn outcome_in_log(&self) -> Option<OutcomeInLog> {
        let outcome = self.outcome.as_ref().filter(|outcome| outcome.content.is_none())?;
        let (log_record, size) = (self.stored_at.record, outcome.size);
        Some(OutcomeInLog { log_record, holders: outcome.holders.clone(), size })
    }
}

/// Sends a message, once what it lacks was read from the log.
pub(crate) fn send(to: Addr, message: Msg, missing: Vec<MissingOutcome>, out: &mut Vec<Out>) {
    if missing.is_empty() {
        out.push(Out::Send(to, message));
    } else {
        out.push(Out::Read(Box::new(StoredMessage { to, message, missing })));
    }
}

/// Sets the outcome of the record at this position of a message.
fn set_outcome(message: &mut Msg, position: usize, whole: Option<Whole>) {
    let record = match message {
        Msg::Claimed { said, .. } => {
            *said = Claimed::Held(whole);
            return;
        }
        Msg::Recalled { held, .. } | Msg::HandOver { held, .. } => held.get_mut(position),
        Msg::Ranges(ranges) => ranges.iter_mut().flat_map(|(_, held)| held).nth(position),
        _ => None,
    };
    if let Some(record) = record {
        record.whole = whole;
    }
}

/// The outcome in a record of the log.
fn decode_outcome(record: &[u8], holders: &[Holder]) -> Option<Whole> {
    let Kept::Outcome { whole, .. } = Kept::decode(record)? else { return None };
    Some(if whole.holders() == holders { whole } else { whole.with_holders(holders) })
}

impl Ledger {
    /// The log was read: the message is sent. An outcome that could not be read is left out, as if it were
    /// not known here.
    pub(crate) fn on_read(
        &mut self,
        stored: StoredMessage,
        records: Vec<Option<Vec<u8>>>,
        out: &mut Vec<Out>,
    ) {
        let StoredMessage { to, mut message, missing } = stored;
        for (outcome, record) in missing.into_iter().zip(records) {
            let whole = record.and_then(|record| decode_outcome(&record, &outcome.holders));
            self.count(if whole.is_some() { "outcomes read" } else { "outcomes not readable" });
            set_outcome(&mut message, outcome.position, whole);
        }
        out.push(Out::Send(to, message));
    }
}
