//! Small HTTP calls with JSON.
use primitives::Addr;
use std::time::Duration;
use tinyjson::JsonValue;
use ureq::Agent;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const INPUT_BUFFER: usize = 16 << 10;
const OUTPUT_BUFFER: usize = 4 << 10;

/// An HTTP client that gives up on a call after `timeout`, follows no redirects and returns
/// every status as an answer.
pub fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .input_buffer_size(INPUT_BUFFER)
        .output_buffer_size(OUTPUT_BUFFER)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .build();
    Agent::new_with_config(config)
}

/// Gets `path`: the status and the JSON of the answer (null if it is none), or `None` without
/// an answer.
pub fn get(agent: &Agent, at: Addr, path: &str) -> Option<(u16, JsonValue)> {
    let mut response = agent.get(format!("http://{at}/{path}")).call().ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    Some((response.status().as_u16(), text.parse().unwrap_or(JsonValue::Null)))
}

/// Posts JSON to `path`; answers as [`get`] does.
pub fn post(agent: &Agent, at: Addr, path: &str, body: &JsonValue) -> Option<(u16, JsonValue)> {
    let body = body.stringify().ok()?;
    let request = agent.post(format!("http://{at}/{path}")).content_type("application/json");
    let mut response = request.send(body).ok()?;
    let text = response.body_mut().read_to_string().ok()?;
    Some((response.status().as_u16(), text.parse().unwrap_or(JsonValue::Null)))
}
