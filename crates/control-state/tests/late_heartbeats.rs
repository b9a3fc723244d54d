//! Late heartbeats of an incarnation that has left: they neither register it again nor count as
//! serving.
use control_state::*;
use primitives::{Addr, Birth, Mono};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

fn addr() -> Addr {
    Addr(SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 80))
}

fn origin_heartbeat(birth: u64, seq: u64, mood: Mood) -> OriginHeartbeat {
    OriginHeartbeat {
        svc: "desk".into(),
        addr: addr(),
        birth: Birth(birth),
        zone: "a/b".into(),
        cap: 3,
        occupancy: 0,
        mood,
        seq,
        tag: format!("i-{birth}"),
    }
}

fn apply(state: &mut ControlState, op: Op) -> Verdict {
    state.apply(&Change { id: None, op }).0
}

fn register(birth: u64) -> Op {
    Op::Register(addr(), Origin::of(origin_heartbeat(birth, 1, Mood::Serving)))
}

#[test]
fn given_an_incarnation_deregistered_by_address_or_name_then_a_late_heartbeat_does_not_register_it() {
    for deregistration in [Op::SignOff(addr(), Birth(1)), Op::SignOffName("i-1".into())] {
        let mut state = ControlState::default();
        assert!(matches!(apply(&mut state, register(1)), Verdict::Done(_)));
        assert!(matches!(apply(&mut state, deregistration), Verdict::Done(_)));
        assert_eq!(apply(&mut state, register(1)), Verdict::Void(Void::OtherLife));
        assert!(state.origin(&addr()).is_none());
        // Another incarnation at the address is another origin.
        assert!(matches!(apply(&mut state, register(2)), Verdict::Done(_)));
        assert_eq!(state.origin(&addr()).map(|origin| origin.birth), Some(Birth(2)));
    }
}

#[test]
fn given_heartbeats_out_of_order_then_the_higher_number_counts_and_a_leaving_origin_never_serves_again() {
    let known = |origin_heartbeat: OriginHeartbeat| Some((origin_heartbeat, Mono(1_000)));
    let later = Mono(5_000_000);
    let serving = |seq| origin_heartbeat(1, seq, Mood::Serving);
    assert!(serving(3).replaces(later, known(serving(2)).as_ref()));
    assert!(
        !serving(2).replaces(later, known(serving(3)).as_ref()),
        "one of the late heartbeats of the same incarnation"
    );
    assert!(
        !serving(9).replaces(later, known(origin_heartbeat(1, 4, Mood::Leaving)).as_ref()),
        "it has reported that it leaves"
    );
    assert!(origin_heartbeat(2, 1, Mood::Serving)
        .replaces(later, known(origin_heartbeat(1, 4, Mood::Leaving)).as_ref()));
}

#[test]
fn given_a_repeated_deregistration_then_only_the_first_changes_anything() {
    let mut state = ControlState::default();
    apply(&mut state, register(1));
    apply(&mut state, Op::SignOff(addr(), Birth(1)));
    let version = state.item(&Key::Origin(addr())).ver;
    for _ in 0..5 {
        assert_eq!(apply(&mut state, Op::SignOff(addr(), Birth(1))), Verdict::Void(Void::NothingNew));
    }
    assert_eq!(state.item(&Key::Origin(addr())).ver, version);
}
