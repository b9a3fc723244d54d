//! What a stub origin serves: bytes whose service and path can be told from outside.

const SMALLEST_PAGE: usize = 512;
const PAGE_SIZES: u64 = 4096;

/// The whole answer to a path. It names its service, its path and its size; pseudo-random
/// filler derived from them makes any mixing or truncation show.
pub fn page(service: &str, path: &str) -> Vec<u8> {
    let seed = primitives::hash(&(service, path));
    let size = SMALLEST_PAGE + (seed % PAGE_SIZES) as usize;
    let mut bytes = format!("{service}|{path}|{size}|").into_bytes();
    let mut state = seed | 1;
    while bytes.len() < size {
        state = xorshift(state);
        bytes.push(b'a' + (state % 26) as u8);
    }
    bytes
}

/// One step of Marsaglia's xorshift generator.
fn xorshift(mut state: u64) -> u64 {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    state
}

/// Whether `body` is the page of this path from one of these services.
pub fn is_page(body: &[u8], path: &str, services: &[String]) -> bool {
    services.iter().any(|service| page(service, path) == body)
}

/// The service that a page names first, whether or not the rest is whole.
pub(crate) fn service_of(body: &[u8]) -> Option<String> {
    let first = body.split(|byte| *byte == b'|').next()?;
    String::from_utf8(first.to_vec()).ok()
}
