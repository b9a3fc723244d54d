//! The figures of one role in one phase, and their line of JSON.
use crate::plan::Result;
use control_state::{num, obj, text};
use primitives::{JsonError, Look, Reason};
use tinyjson::JsonValue;

/// The greatest whole number that is read.
const MOST: u64 = 1 << 52;

/// What a phase cost one role, per process and virtual second unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// The phase; in JSON it is called `stretch`.
    pub phase: String,
    /// The role.
    pub role: String,
    /// Seed of the run.
    pub seed: u64,
    /// Virtual seconds that were counted.
    pub secs: u64,
    /// Edges and ledgers together.
    pub nodes: usize,
    /// Processes of the role that ran their real part; processor time and memory are theirs.
    pub whole: usize,
    /// Origins.
    pub origins: usize,
    /// Services.
    pub services: usize,
    /// Messages received.
    pub msgs_in: f64,
    /// Messages sent.
    pub msgs_out: f64,
    /// Bytes received, with the headers of frames.
    pub bytes_in: f64,
    /// Bytes sent, with the headers of frames.
    pub bytes_out: f64,
    /// Microseconds of processor time, on average.
    pub cpu_us: f64,
    /// Microseconds of processor time of the busiest process.
    pub cpu_us_most: f64,
    /// Bytes resident after the start.
    pub memory: f64,
    /// Purges and changes asked for in the phase.
    pub asked: usize,
    /// Those that some node never got.
    pub missing: usize,
    /// Those that were refused.
    pub refused: usize,
    /// Milliseconds from the asking until the last node had it; the median.
    pub last_ms: f64,
    /// The same, of the slowest.
    pub last_ms_most: f64,
    /// Milliseconds from the asking until it was acknowledged as in force; the median.
    pub force_ms: f64,
    /// The same, of the slowest.
    pub force_ms_most: f64,
}

/// A figure as it is kept: to thousandths.
fn rounded(figure: f64) -> JsonValue {
    JsonValue::from((figure * 1000.0).round() / 1000.0)
}

fn whole(look: &Look, name: &str) -> std::result::Result<u64, JsonError> {
    look.field(name)?.num(0, MOST)
}

fn count(look: &Look, name: &str) -> std::result::Result<usize, JsonError> {
    Ok(whole(look, name)? as usize)
}

fn real(look: &Look, name: &str) -> std::result::Result<f64, JsonError> {
    let field = look.field(name)?;
    let number: Option<&f64> = field.v.get();
    number.copied().map_or_else(|| field.bad(Reason::Not { what: "a number" }), Ok)
}

impl Row {
    /// As one line of JSON.
    pub fn line(&self) -> String {
        let fields = vec![
            ("stretch", text(&self.phase)),
            ("role", text(&self.role)),
            ("seed", num(self.seed)),
            ("secs", num(self.secs)),
            ("nodes", num(self.nodes as u64)),
            ("whole", num(self.whole as u64)),
            ("origins", num(self.origins as u64)),
            ("services", num(self.services as u64)),
            ("msgs_in", rounded(self.msgs_in)),
            ("msgs_out", rounded(self.msgs_out)),
            ("bytes_in", rounded(self.bytes_in)),
            ("bytes_out", rounded(self.bytes_out)),
            ("cpu_us", rounded(self.cpu_us)),
            ("cpu_us_most", rounded(self.cpu_us_most)),
            ("memory", rounded(self.memory)),
            ("asked", num(self.asked as u64)),
            ("missing", num(self.missing as u64)),
            ("refused", num(self.refused as u64)),
            ("last_ms", rounded(self.last_ms)),
            ("last_ms_most", rounded(self.last_ms_most)),
            ("force_ms", rounded(self.force_ms)),
            ("force_ms_most", rounded(self.force_ms_most)),
        ];
        obj(fields).stringify().unwrap_or_default()
    }

    /// Reads a line back.
    pub fn read(line: &str) -> Result<Row> {
        let value = primitives::parse(line)?;
        let look = Look::at(&value, "");
        Ok(Row {
            phase: look.field("stretch")?.text()?,
            role: look.field("role")?.text()?,
            seed: whole(&look, "seed")?,
            secs: whole(&look, "secs")?,
            nodes: count(&look, "nodes")?,
            whole: count(&look, "whole")?,
            origins: count(&look, "origins")?,
            services: count(&look, "services")?,
            msgs_in: real(&look, "msgs_in")?,
            msgs_out: real(&look, "msgs_out")?,
            bytes_in: real(&look, "bytes_in")?,
            bytes_out: real(&look, "bytes_out")?,
            cpu_us: real(&look, "cpu_us")?,
            cpu_us_most: real(&look, "cpu_us_most")?,
            memory: real(&look, "memory")?,
            asked: count(&look, "asked")?,
            missing: count(&look, "missing")?,
            refused: count(&look, "refused")?,
            last_ms: real(&look, "last_ms")?,
            last_ms_most: real(&look, "last_ms_most")?,
            force_ms: real(&look, "force_ms")?,
            force_ms_most: real(&look, "force_ms_most")?,
        })
    }
}
