//! Random damage to the bytes of an HTTP message.
use fastrand::Rng;

/// Bytes that mean something in a head, or in nothing.
const BYTES: &[u8] = b"\r\n\t :;,0159aZ\0\x7f\xe9/%.?#-+x";

/// Changes, leaves out, puts in or cuts off something, somewhere; with `appends` it may also
/// put a part behind the whole message.
pub fn damage(b: &mut Vec<u8>, r: &mut Rng, parts: &[&str], appends: bool) {
    let at = r.usize(..b.len());
    let kinds = if appends { 7 } else { 6 };
    match r.usize(..kinds) {
        0 => b[at] = BYTES[r.usize(..BYTES.len())],
        1 => b[at] ^= 1 << r.u32(..8),
        2 => b.insert(at, BYTES[r.usize(..BYTES.len())]),
        3 => drop(b.remove(at)),
        4 => drop(b.splice(at..at, parts[r.usize(..parts.len())].bytes())),
        5 if appends => b.extend_from_slice(parts[r.usize(..parts.len())].as_bytes()),
        _ => b.truncate(at.max(1)),
    }
}
