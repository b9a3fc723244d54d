//! Small HTTP calls with JSON.
use primitives::Addr;
use std::time::Duration;
use tinyjson::JsonValue;
use ureq::Agent;

pub fn agent(most: Duration) -> Agent {
    let c = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .input_buffer_size(16 << 10)
        .output_buffer_size(4 << 10)
        .proxy(None)
        .timeout_connect(Some(Duration::from_millis(500)))
        .timeout_global(Some(most))
        .build();
    Agent::new_with_config(c)
}

/// The status and the JSON of the answer; none if there was no answer.
pub fn get(a: &Agent, at: Addr, path: &str) -> Option<(u16, JsonValue)> {
    let mut r = a.get(format!("http://{at}/{path}")).call().ok()?;
    let s = r.body_mut().read_to_string().ok()?;
    Some((r.status().as_u16(), s.parse().unwrap_or(JsonValue::Null)))
}

pub fn post(a: &Agent, at: Addr, path: &str, v: &JsonValue) -> Option<(u16, JsonValue)> {
    let b = v.stringify().ok()?;
    let mut r = a.post(format!("http://{at}/{path}")).content_type("application/json").send(b).ok()?;
    let s = r.body_mut().read_to_string().ok()?;
    Some((r.status().as_u16(), s.parse().unwrap_or(JsonValue::Null)))
}
