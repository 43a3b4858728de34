//! Compression of documents that nodes send to each other. Uncompressed, a large
//! document that many nodes request at once would fill the link of a small VM
//! for seconds.

use std::io::Read;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};

/// Maximum size of content from a peer after decompression.
const CONTENT_MAX_BYTES: u64 = 8 * 1024 * 1024;

/// Compresses content with zlib.
pub(crate) fn compress(content: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(content, Compression::fast());
    let mut compressed = Vec::new();
    // Reading from memory cannot fail.
    let _ = encoder.read_to_end(&mut compressed);
    compressed.into()
}

/// Decompresses the output of [`compress`]. Returns `None` if it is invalid or
/// larger than [`CONTENT_MAX_BYTES`].
pub(crate) fn decompress(compressed: &[u8]) -> Option<Bytes> {
    let mut content = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(CONTENT_MAX_BYTES + 1);
    let length = decoder.read_to_end(&mut content).ok()? as u64;
    (length <= CONTENT_MAX_BYTES).then(|| content.into())
}
