//! Responses, independent of the server that sends them.
use control_state::{obj, text, Headers, MemoryHold};
use primitives::Mono;
use std::sync::Arc;
use tinyjson::JsonValue;

/// An HTTP response.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// Header fields, without those that the server sets itself.
    pub heads: Headers,
    pub body: Arc<Vec<u8>>,
    /// Value of `content-length` in bytes where no body is sent, as with a HEAD.
    pub length: Option<usize>,
    /// The response is not sent after this time.
    pub until: Mono,
    /// Keeps the body's memory reserved until the response is dropped.
    pub hold: MemoryHold,
}

impl Reply {
    /// A response without a deadline or reserved memory.
    pub fn new(status: u16, heads: Headers, body: Arc<Vec<u8>>) -> Reply {
        Reply { status, heads, body, length: None, until: Mono(u64::MAX), hold: MemoryHold::default() }
    }

    /// A response with a JSON body.
    pub fn json(status: u16, v: JsonValue) -> Reply {
        let body = v.stringify().unwrap_or_default().into_bytes();
        Reply::new(status, Headers::default().with("content-type", "application/json"), Arc::new(body))
    }

    /// An error response with a JSON body: `name` classifies the error and `why` is the reason
    /// for a reader.
    pub fn problem(status: u16, name: &str, why: impl ToString) -> Reply {
        Reply::json(status, obj(vec![("problem", text(name)), ("reason", text(why.to_string()))]))
    }

    /// Adds `retry-after`, of at least one second.
    pub fn after(mut self, secs: u64) -> Reply {
        self.heads.push("retry-after", secs.max(1).to_string());
        self
    }

    /// The response, or a 503 once its deadline has passed: a machine that was frozen must not
    /// send responses that it decided on before the freeze.
    pub(crate) fn unless_expired(self) -> Reply {
        if crate::now() < self.until {
            return self;
        }
        Reply::problem(503, "stale", "the response expired before it was sent").after(1)
    }
}
