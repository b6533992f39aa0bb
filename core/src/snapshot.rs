//! Snapshots of the ledger: pieces, assembly and verification.

use std::collections::BTreeMap;

use crate::ids::LogOffset;
use crate::ids::WriterId;
use crate::ledger::LedgerState;

/// Version written into each piece.
pub const SNAPSHOT_VERSION: u16 = 1;

plain_data! {
    /// One piece of a snapshot, as one record of the snapshot stream.
    pub struct SnapshotPiece {
        /// Version of the format.
        pub version: u16,
        /// The writer of the snapshot.
        pub writer: WriterId,
        /// The offset that reading continues from. Writer and offset name the snapshot.
        pub next: LogOffset,
        /// The piece's index, from 0.
        pub index: u32,
        /// Number of pieces.
        pub count: u32,
        /// CRC-32 of the piece's text.
        pub checksum: u32,
        /// Part of the ledger as JSON text.
        pub text: String,
    }
}

/// Encodes a ledger in pieces of at most `piece_bytes` bytes of text.
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

/// Decodes one record of the snapshot stream. Returns `None` when it is not an intact piece.
#[must_use]
pub fn decode_piece(bytes: &[u8]) -> Option<SnapshotPiece> {
    let piece: SnapshotPiece = serde_json::from_slice(bytes).ok()?;
    (crc32fast::hash(piece.text.as_bytes()) == piece.checksum).then_some(piece)
}

/// Assembles the newest whole snapshot. Torn, missing or doubled pieces only cost the snapshot
/// that they belong to, and an older whole one is used.
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

/// Decodes a whole ledger from its JSON text.
#[must_use]
pub fn decode(text: &str) -> Option<LedgerState> {
    let mut ledger: LedgerState = serde_json::from_str(text).ok()?;
    ledger.rebuild_index();
    Some(ledger)
}
