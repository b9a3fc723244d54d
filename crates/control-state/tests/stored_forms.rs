//! Texts and bytes that are stored or that other processes read. The names of types, variants and
//! fields are part of the texts: a renamed field must leave them as they are.
//!
//! The hash beside a text tells if the expected text itself was edited.
mod samples;

use control_state::*;
use primitives::{Birth, NodeId, Span, Version};
use samples::{addr, encoded, node, row};
use std::fmt::Debug;

fn origin() -> Origin {
    let (svc, zone, tag) = ("shop".into(), "west/b".into(), "shop-7".into());
    Origin { svc, birth: Birth(77), zone, cap: 12, tag, standing: Standing::Leaving }
}

fn seat(id: u64) -> Seat {
    Seat { id: NodeId(id), addr: addr(6), zone: "east/c".into(), birth: Birth(5) }
}

fn lane() -> Body {
    Body::Lane(LaneEntry {
        host: "example.org".into(),
        prefix: "/cart/".into(),
        kind: Kind::Once,
        timeout: Span::secs(9),
        aim: Span::ms(250),
        rank: 2,
        weights: vec![("shop".into(), 700), ("spare".into(), 300)],
        attempts: 3,
        ttl: Span::secs(60),
        said: "{\"a\":1}".into(),
    })
}

fn service() -> Body {
    Body::Service(ServiceEntry {
        health: "/well".into(),
        connections: 64,
        dedups: true,
        rate: Some(390_000),
        said: "{\"b\":2}".into(),
    })
}

fn limits() -> Body {
    Body::Limits(CallerLimits {
        heads: 8192,
        body: 65_536,
        head_wait: Span::secs(4),
        idle: Span::secs(30),
        said: "{\"c\":3}".into(),
    })
}

fn edit(section: Section, name: &str, body: Option<Body>) -> Op {
    Op::Edit(vec![Edit::new(section, name, Version(8), body)])
}

fn row_op(row: Option<Row>) -> Op {
    Op::Row { lane: "cart".into(), svc: "shop".into(), expect: Version(6), row }
}

fn ops() -> Vec<Op> {
    let page = PurgeBy::Page("example.org".into(), "/cart/9".into());
    vec![
        row_op(Some(row())),
        row_op(None),
        Op::Register(addr(1), origin()),
        Op::Drain(addr(1), Birth(77)),
        Op::Remove(addr(2), Birth(78)),
        Op::SignOff(addr(3), Birth(79)),
        Op::SignOffName("shop-7".into()),
        Op::Join(NodeId(41), node()),
        Op::DrainNode(NodeId(42)),
        Op::RemoveNode(NodeId(43)),
        Op::Purge(vec![("shop".into(), "/cart/".into())]),
        Op::PurgeBy(vec![page, PurgeBy::Tag("sale".into())]),
        edit(Section::Lanes, "cart", Some(lane())),
        edit(Section::Services, "shop", Some(service())),
        edit(Section::Limits, "guests", Some(limits())),
        edit(Section::Lanes, "cart", None),
        Op::Seats { expect: Version(15), next: vec![seat(51), seat(52)] },
        Op::Settle { expect: Version(16), early: true },
    ]
}

fn bodies() -> Vec<Body> {
    let roll = Roll { sets: vec![vec![seat(51)], vec![seat(52)]] };
    vec![
        Body::Row(row()),
        Body::Origin(origin()),
        Body::Node(node()),
        Body::Purge,
        Body::Roll(roll),
        lane(),
        service(),
        limits(),
    ]
}

/// All debug texts, separated by spaces.
fn texts<T: Debug>(all: &[T]) -> String {
    all.iter().map(|value| format!("{value:?}")).collect::<Vec<_>>().join(" ")
}

/// Text, its hash as receipts store it, and encoded bytes, in the order of `ops`.
const OPS: &[(&str, u64, &str)] = &[
    (
        "Row { lane: Lane(\"cart\"), svc: Svc(\"shop\"), expect: Version(6), row: Some(Row { weight: 70, \
         ceiling: 390, rank: 3, kind: Keyed, ttl: Span(20000000) }) }",
        0xc2fa_cfe7_a6ce_1546,
        "0004636172740473686f700601468603030380dac409",
    ),
    (
        "Row { lane: Lane(\"cart\"), svc: Svc(\"shop\"), expect: Version(6), row: None }",
        0xd865_23e7_0075_a207,
        "0004636172740473686f700600",
    ),
    (
        "Register(Addr(10.0.0.1:8080), Origin { svc: Svc(\"shop\"), birth: Birth(77), zone: \
         Zone(\"west/b\"), cap: 12, tag: \"shop-7\", standing: Leaving })",
        0xa0d5_7367_8b93_c092,
        "01000a000001903f0473686f704d06776573742f620c0673686f702d3701",
    ),
    ("Drain(Addr(10.0.0.1:8080), Birth(77))", 0x4b06_7b9b_d592_3171, "02000a000001903f4d"),
    ("Remove(Addr(10.0.0.2:8080), Birth(78))", 0x0e2e_bf50_3450_e270, "03000a000002903f4e"),
    ("SignOff(Addr(10.0.0.3:8080), Birth(79))", 0x6b6e_423b_f253_55c1, "04000a000003903f4f"),
    ("SignOffName(\"shop-7\")", 0x0c74_661e_a250_3183, "050673686f702d37"),
    (
        "Join(NodeId(41), Node { role: Ledger, addr: Addr(10.0.0.4:8080), http: Addr(10.0.0.5:8080), \
         zone: Zone(\"west/a\"), birth: Birth(91), standing: Leaving, capacity: 520 })",
        0x8657_301a_7d3a_a97a,
        "062902000a000004903f000a000005903f06776573742f615b038804",
    ),
    ("DrainNode(NodeId(42))", 0x1926_4206_38e6_01db, "072a"),
    ("RemoveNode(NodeId(43))", 0xc598_b84a_14af_583c, "082b"),
    ("Purge([(Svc(\"shop\"), \"/cart/\")])", 0x15d8_e143_f27d_0880, "09010473686f70062f636172742f"),
    (
        "PurgeBy([Page(\"example.org\", \"/cart/9\"), Tag(\"sale\")])",
        0x8f1e_d7b0_3054_f611,
        "0a02000b6578616d706c652e6f7267072f636172742f39010473616c65",
    ),
    (
        "Edit([Edit { section: Lanes, name: \"cart\", ver: Version(8), body: Some(Lane(LaneEntry { host: \
         \"example.org\", prefix: \"/cart/\", kind: Once, timeout: Span(9000000), aim: Span(250000), \
         rank: 2, weights: [(Svc(\"shop\"), 700), (Svc(\"spare\"), 300)], attempts: 3, ttl: \
         Span(60000000), said: \"{\\\"a\\\":1}\" })), content: ContentDigest([127, 39, 148, 179, 126, 29, \
         246, 176, 97, 8, 195, 239, 226, 120, 231, 98]) }])",
        0x7920_c618_7eb8_029e,
        "84 bytes, hash acf5d933f8f16edb",
    ),
    (
        "Edit([Edit { section: Services, name: \"shop\", ver: Version(8), body: Some(Service(ServiceEntry \
         { health: \"/well\", connections: 64, dedups: true, rate: Some(390000), said: \"{\\\"b\\\":2}\" \
         })), content: ContentDigest([229, 82, 24, 72, 244, 176, 172, 243, 95, 230, 186, 114, 224, 0, \
         240, 103]) }])",
        0x889a_4653_f7a8_0a72,
        "47 bytes, hash 6a533050d92c1325",
    ),
    (
        "Edit([Edit { section: Limits, name: \"guests\", ver: Version(8), body: Some(Limits(CallerLimits \
         { heads: 8192, body: 65536, head_wait: Span(4000000), idle: Span(30000000), said: \
         \"{\\\"c\\\":3}\" })), content: ContentDigest([235, 168, 205, 224, 26, 9, 196, 144, 112, 177, \
         51, 249, 207, 76, 217, 209]) }])",
        0xacec_b598_37fb_4427,
        "50 bytes, hash 52b5a2e43a8ad7d4",
    ),
    (
        "Edit([Edit { section: Lanes, name: \"cart\", ver: Version(8), body: None, content: \
         ContentDigest([231, 205, 156, 58, 181, 218, 24, 149, 245, 42, 191, 236, 230, 136, 192, 241]) }])",
        0xbbea_3e77_8e3b_5ebb,
        "0b010004636172740800e7cd9c3ab5da1895f52abfece688c0f1",
    ),
    (
        "Seats { expect: Version(15), next: [Seat { id: NodeId(51), addr: Addr(10.0.0.6:8080), zone: \
         Zone(\"east/c\"), birth: Birth(5) }, Seat { id: NodeId(52), addr: Addr(10.0.0.6:8080), zone: \
         Zone(\"east/c\"), birth: Birth(5) }] }",
        0xf000_c472_80ff_d465,
        "0c0f0233000a000006903f06656173742f630534000a000006903f06656173742f6305",
    ),
    ("Settle { expect: Version(16), early: true }", 0x84c9_b648_8630_3c67, "0d1001"),
];

/// Encoded items, in the order of `bodies`.
const ITEMS: &[&str] = &[
    "ac020100468603030380dac409",
    "ac0201010473686f704d06776573742f620c0673686f702d3701",
    "ac02010202000a000004903f000a000005903f06776573742f615b038804",
    "ac020103",
    "ac020104020133000a000006903f06656173742f63050134000a000006903f06656173742f6305",
    "61 bytes, hash e6c75d4bef2b326e",
    "ac020106052f77656c6c400101f0e617077b2262223a327d",
    "ac02010780408080048092f4018087a70e077b2263223a337d",
];

#[test]
fn given_each_operation_then_its_text_hash_and_bytes_are_as_stored() {
    let ops = ops();
    assert_eq!(ops.len(), OPS.len());
    for (op, (text, hash, bytes)) in ops.iter().zip(OPS) {
        let now = format!("{op:?}");
        assert_eq!(now, *text);
        assert_eq!(primitives::hash(&now), *hash, "{text}");
        assert_eq!(encoded(op), *bytes, "{text}");
    }
}

#[test]
fn given_an_item_of_each_kind_then_its_bytes_are_as_stored() {
    let item = |body| Item { ver: Version(300), body: Some(body) };
    let now: Vec<String> = bodies().into_iter().map(|body| encoded(&item(body))).collect();
    assert_eq!(now, ITEMS);
    assert_eq!(encoded(&Item { ver: Version(300), body: None }), "ac0200");
}

#[test]
fn given_all_variants_of_stored_enums_then_their_texts_and_bytes_are_as_stored() {
    let kinds = [Kind::Read, Kind::Plain, Kind::Once, Kind::Keyed];
    let standings = [Standing::Serving, Standing::Leaving];
    let sections = [Section::Lanes, Section::Services, Section::Limits];
    assert_eq!(texts(&kinds), "Read Plain Once Keyed");
    assert_eq!(texts(&standings), "Serving Leaving");
    assert_eq!(texts(&sections), "Lanes Services Limits");
    assert_eq!(encoded(&(kinds, standings, sections)), "000102030001000102");
}

#[test]
fn given_all_variants_that_are_labels_or_answers_then_their_texts_stay() {
    let voids = [Void::OtherLife, Void::Absent, Void::IdTaken, Void::NothingNew];
    let moods = [Mood::Warming, Mood::Serving, Mood::Leaving, Mood::Gone];
    let roles = [Role::Controller, Role::Edge, Role::Ledger];
    assert_eq!(texts(&voids), "OtherLife Absent IdTaken NothingNew");
    assert_eq!(texts(&moods), "Warming Serving Leaving Gone");
    assert_eq!(texts(&roles), "Controller Edge Ledger");
    assert_eq!(encoded(&(voids, moods, roles)), "0001020300010203000102");
}

#[test]
fn given_all_reasons_to_deny_a_request_then_their_texts_stay() {
    use Denied::*;
    let reasons = [NoLane, NoKey, KeyReused, BadMethod, NoLease, NoOrigin, Ceiling];
    let others = [SplitVote, Leaving, TooMany, KeyAtWork, Refused];
    assert_eq!(texts(&reasons), "NoLane NoKey KeyReused BadMethod NoLease NoOrigin Ceiling");
    assert_eq!(texts(&others), "SplitVote Leaving TooMany KeyAtWork Refused");
}
