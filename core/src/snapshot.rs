//! Snapshots of the ledger: encoding in pieces, verification and assembly.

use std::collections::BTreeMap;

use crate::ids::LogOffset;
use crate::ids::WriterId;
use crate::ledger::LedgerState;

/// Format version of each piece.
pub const SNAPSHOT_VERSION: u16 = 1;

plain_data! {
    /// One piece of a snapshot, stored as one record of the snapshot stream.
    pub struct SnapshotPiece {
        /// Format version; see [`SNAPSHOT_VERSION`].
        pub version: u16,
        /// The writer of the snapshot.
        pub writer: WriterId,
        /// The offset to resume reading from. The writer and this offset identify the snapshot.
        pub next: LogOffset,
        /// Index of the piece, from 0.
        pub index: u32,
        /// Number of pieces of the snapshot.
        pub count: u32,
        /// CRC-32 of `text`.
        pub checksum: u32,
        /// Part of the ledger's JSON text.
        pub text: String,
    }
}

/// Encodes a ledger in pieces of at most `piece_bytes` bytes of text, but at least 4 bytes, so a
/// UTF-8 character always fits.
#[must_use]
pub fn encode(ledger: &LedgerState, writer: &WriterId, piece_bytes: usize) -> Vec<Vec<u8>> {
    let text = serde_json::to_string(ledger).unwrap_or_default();
    let parts = split_text(&text, piece_bytes.max(4));
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(parts)
        .map(|(index, part)| SnapshotPiece {
            version: SNAPSHOT_VERSION,
            writer: writer.clone(),
            next: ledger.next,
            index,
            count,
            checksum: crc32fast::hash(part.as_bytes()),
            text: part.to_owned(),
        })
        .map(|piece| serde_json::to_vec(&piece).unwrap_or_default())
        .collect()
}

fn split_text(mut text: &str, bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    while text.len() > bytes {
        let (part, rest) = text.split_at(text.floor_char_boundary(bytes));
        parts.push(part);
        text = rest;
    }
    parts.push(text);
    parts
}

/// Decodes one record of the snapshot stream. Returns `None` when the piece is malformed or its
/// checksum does not match.
#[must_use]
pub fn decode_piece(bytes: &[u8]) -> Option<SnapshotPiece> {
    let piece: SnapshotPiece = serde_json::from_slice(bytes).ok()?;
    (crc32fast::hash(piece.text.as_bytes()) == piece.checksum).then_some(piece)
}

/// Assembles the latest complete snapshot. A corrupt or missing piece invalidates only its own
/// snapshot, and an older complete one is used; a repeated piece is harmless.
#[must_use]
pub fn assemble(pieces: impl IntoIterator<Item = SnapshotPiece>) -> Option<LedgerState> {
    let mut snapshots: BTreeMap<(LogOffset, String), BTreeMap<u32, SnapshotPiece>> =
        BTreeMap::new();
    for piece in pieces {
        let writer = format!("{}/{}", piece.writer.daemon, piece.writer.incarnation);
        snapshots
            .entry((piece.next, writer))
            .or_default()
            .insert(piece.index, piece);
    }
    snapshots
        .into_values()
        .rev()
        .find_map(|pieces| join_pieces(&pieces))
}

fn join_pieces(pieces: &BTreeMap<u32, SnapshotPiece>) -> Option<LedgerState> {
    let first = pieces.get(&0)?;
    if pieces.len() != first.count as usize {
        return None;
    }
    let text: String = pieces.values().map(|piece| piece.text.as_str()).collect();
    decode(&text)
}

/// Decodes a ledger from its JSON text and rebuilds the indexes. Returns `None` when the text is
/// not a valid ledger.
#[must_use]
pub fn decode(text: &str) -> Option<LedgerState> {
    let mut ledger: LedgerState = serde_json::from_str(text).ok()?;
    ledger.rebuild_index();
    Some(ledger)
}
