//! Values with no field at its default, shared by the tests of stored and sent forms.
use control_state::*;
use primitives::{Addr, Birth, Span};
use serde::Serialize;

/// Longer encodings are compared by length and hash.
const LONGEST_HEX: usize = 40;

/// The encoded bytes in hexadecimal, or for many bytes their number and hash.
pub fn encoded<T: Serialize>(value: &T) -> String {
    let bytes = postcard::to_stdvec(value).expect("plain data always encodes");
    match bytes.len() {
        0..=LONGEST_HEX => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
        many => format!("{many} bytes, hash {:016x}", primitives::hash(&bytes)),
    }
}

pub fn addr(last: u8) -> Addr {
    format!("10.0.0.{last}:8080").parse().expect("an address")
}

pub fn row() -> Row {
    Row { weight: 70, ceiling: 390, rank: 3, kind: Kind::Keyed, ttl: Span::secs(20) }
}

pub fn node() -> Node {
    let (role, addr, http, zone) = (Role::Ledger, addr(4), addr(5), Zone::from("west/a"));
    Node { role, addr, http, zone, birth: Birth(91), standing: Standing::Leaving, capacity: 520 }
}
