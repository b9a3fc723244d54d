//! The beats of a stub origin: periodic reports to a controller that it is alive.
use super::state::SharedState;
use super::StubOriginEnv;
use crate::web;
use control_state::{num, obj, text};
use std::collections::HashMap;
use std::thread;
use std::time::Duration;
use tinyjson::JsonValue;

const INTERVAL: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(400);

/// Sends beats to one controller, and to the next one whenever that does not answer.
pub(super) fn send_forever(env: &StubOriginEnv, state: &SharedState, birth: u64) -> ! {
    let agent = web::agent(TIMEOUT);
    let controllers = env.controllers.len().max(1);
    let mut current = birth as usize % controllers;
    // The last answer's mark, a time of that controller's clock; returned to no other.
    let mut mark: Option<JsonValue> = None;
    loop {
        let body = beat(env, state, birth, mark.take());
        let controller = env.controllers.get(current);
        let answer = controller.and_then(|at| web::post(&agent, *at, "lanewing/beats", &body));
        match answer {
            Some((200, answer)) => mark = read_mark(&answer),
            _ => current = (current + 1) % controllers,
        }
        thread::sleep(INTERVAL);
    }
}

fn beat(env: &StubOriginEnv, state: &SharedState, birth: u64, mark: Option<JsonValue>) -> JsonValue {
    let (mood, in_hand) = {
        let state = state.lock().expect("not poisoned");
        (state.mood(), state.in_hand)
    };
    let mut fields = vec![
        ("service", text(&env.svc)),
        ("address", text(env.at)),
        ("birth", num(birth)),
        ("zone", text(&env.zone)),
        ("cap", num(env.cap as u64)),
        ("occupancy", num(in_hand as u64)),
        ("mood", text(mood)),
    ];
    fields.extend(mark.map(|mark| ("mark", mark)));
    obj(fields)
}

fn read_mark(answer: &JsonValue) -> Option<JsonValue> {
    answer.get::<HashMap<String, JsonValue>>()?.get("mark").cloned()
}
