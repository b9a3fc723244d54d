//! What a stand-in origin serves: bytes that can be told apart from outside.

/// The whole answer to a path: it names its service and path, and its filler
/// follows from both, so any mixing or cutting shows.
pub fn page(svc: &str, path: &str) -> Vec<u8> {
    let seed = primitives::hash(&(svc, path));
    let size = 512 + (seed % 4096) as usize;
    let mut b = format!("{svc}|{path}|{size}|").into_bytes();
    let mut x = seed | 1;
    while b.len() < size {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        b.push(b'a' + (x % 26) as u8);
    }
    b
}

/// Whether these are the bytes of that path from one of these services.
pub fn is_page(body: &[u8], path: &str, svcs: &[String]) -> bool {
    svcs.iter().any(|s| page(s, path) == body)
}
