//! Tests that fingerprints stay as they are stored and exchanged.

use wisteriapoint_types::Digest;
use xxhash_rust::xxh3::xxh3_128;

/// Guards against fingerprints that differ from those of earlier versions, which hashed the joined
/// parts; nodes of both versions exchange them, and the store keeps them.
#[test]
fn fingerprint_is_the_hash_of_the_joined_parts() {
    for sizes in [&[0][..], &[1, 0, 7], &[100, 240, 241], &[1_000, 70_001]] {
        let parts: Vec<Vec<u8>> = sizes
            .iter()
            .map(|&size| (0..size).map(|at| (at * 31 % 251) as u8).collect())
            .collect();
        let mut joined = Vec::new();
        for part in &parts {
            joined.extend_from_slice(&(part.len() as u64).to_le_bytes());
            joined.extend_from_slice(part);
        }
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        assert_eq!(Digest::new(&parts), Digest(xxh3_128(&joined)));
    }
}
